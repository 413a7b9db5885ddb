#include "net/feed.hpp"

#include <boost/asio/write.hpp>

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeOut{1000};
constexpr std::chrono::milliseconds kReconnectInterval{100};
constexpr std::chrono::milliseconds kMaxSilence{2500};  // the feed sends a line every second
// Until the first line has come; shorter, as a new process waits for it.
constexpr std::chrono::milliseconds kMaxFirstSilence{1300};
constexpr std::chrono::milliseconds kSilenceCheckInterval{100};

}  // namespace

FeedClient::FeedClient(asio::io_context& io, std::optional<tcp::endpoint> address, std::int64_t known,
                       protocol::FeedSession::ListHandler on_event, std::size_t max_line_bytes,
                       Counters& counters)
    : address_(std::move(address)),
      session_(known, std::move(on_event), max_line_bytes),
      counters_(counters),
      socket_(io),
      reconnect_timer_(io),
      silence_timer_(io) {}

void FeedClient::start() {
    spawn(socket_.get_executor(), keep_connected());
    spawn(socket_.get_executor(), watch_silence());
}

void FeedClient::stop() {
    stopped_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    reconnect_timer_.cancel();
    silence_timer_.cancel();
}

void FeedClient::set_address(std::optional<tcp::endpoint> to) {
    if (to == address_) return;
    address_ = to;
    address_changed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    reconnect_timer_.cancel();
}

void FeedClient::apply_events(std::int64_t last, const std::vector<ListEvent>& events) {
    session_.catch_up(last, events);
}

// Serves the feed until stop(): connects, reads until the connection closes, and connects again.
asio::awaitable<void> FeedClient::keep_connected() {
    while (!stopped_) {
        address_changed_ = false;
        if (address_) co_await read_events();
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (stopped_) co_return;
        if (address_changed_) continue;  // without a pause: the old address is not read any more
        reconnect_timer_.expires_after(kReconnectInterval);
        co_await reconnect_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// Reads one connection until it is closed, a line is malformed or the address changes.
asio::awaitable<void> FeedClient::read_events() {
    if (co_await connect(socket_, *address_, kConnectTimeOut) || address_changed_) co_return;
    ++counters_.feed_connections;
    configure_socket(socket_);
    last_read_ = Clock::now();
    const std::string line = session_.subscribe();
    co_await asio::async_write(socket_, asio::buffer(line), asio::as_tuple(asio::use_awaitable));
    for (;;) {
        const auto space = session_.read_buffer();
        const auto [error, bytes] = co_await socket_.async_read_some(asio::buffer(space.data(), space.size()),
                                                                     asio::as_tuple(asio::use_awaitable));
        // Bytes that came from the old address before a change are dropped: the new one sends the events
        // again.
        if (error || address_changed_) co_return;
        last_read_ = Clock::now();
        if (session_.consume(bytes)) {
            received_line_ = received_line_ || session_.whole_lines() > 0;
            continue;
        }
        ++counters_.malformed;
        co_return;
    }
}

// Closes a connection on which the feed has fallen silent: drains would be learned too late.
asio::awaitable<void> FeedClient::watch_silence() {
    while (!stopped_) {
        silence_timer_.expires_after(kSilenceCheckInterval);
        co_await silence_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (last_read_ == Clock::time_point{} ||
            Clock::now() - last_read_ < (received_line_ ? kMaxSilence : kMaxFirstSilence))
            continue;
        last_read_ = {};
        boost::system::error_code ignored;
        socket_.close(ignored);
    }
}

}  // namespace nettlestall::net
