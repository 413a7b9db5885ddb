#include "net/feed.hpp"

#include <boost/asio/write.hpp>

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeOut{1000};
constexpr std::chrono::milliseconds kPause{100};
constexpr std::chrono::milliseconds kSilence{2500};       // it says something every second
constexpr std::chrono::milliseconds kFirstSilence{1300};  // a new process waits for it
constexpr std::chrono::milliseconds kLook{100};

}  // namespace

Feed::Feed(asio::io_context& io, std::optional<tcp::endpoint> at, std::int64_t known,
           protocol::FeedSession::ListHandler take, std::size_t longest_line, Counters& counters)
    : at_(std::move(at)),
      session_(known, std::move(take), longest_line),
      counters_(counters),
      socket_(io),
      pause_(io),
      silence_(io) {}

void Feed::start() {
    spawn(socket_.get_executor(), follow());
    spawn(socket_.get_executor(), watch());
}

void Feed::stop() {
    stopped_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    pause_.cancel();
    silence_.cancel();
}

void Feed::move(std::optional<tcp::endpoint> to) {
    if (to == at_) return;
    at_ = to;
    moved_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    pause_.cancel();
}

void Feed::catch_up(std::int64_t last, const std::vector<ListEvent>& events) {
    session_.catch_up(last, events);
}

asio::awaitable<void> Feed::follow() {
    while (!stopped_) {
        moved_ = false;
        if (at_) co_await converse();
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (stopped_) co_return;
        if (moved_) continue;  // dialled at once: the old address tells nothing more
        pause_.expires_after(kPause);
        co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> Feed::converse() {
    if (co_await connect(socket_, *at_, kConnectTimeOut) || moved_) co_return;
    ++counters_.feed_connections;
    set_up_socket(socket_);
    heard_ = Clock::now();
    const std::string line = session_.subscribe();
    co_await asio::async_write(socket_, asio::buffer(line), asio::as_tuple(asio::use_awaitable));
    for (;;) {
        const auto space = session_.read_buffer();
        const auto [broken, bytes] = co_await socket_.async_read_some(
            asio::buffer(space.data(), space.size()), asio::as_tuple(asio::use_awaitable));
        // What had come from the address before a move is not taken: the new one tells it again.
        if (broken || moved_) co_return;
        heard_ = Clock::now();
        if (session_.consume(bytes)) {
            spoken_ = spoken_ || session_.whole_lines() > 0;
            continue;
        }
        ++counters_.malformed;
        co_return;
    }
}

// Guards against a feed that has fallen silent on an open connection: drains would be learned too late.
asio::awaitable<void> Feed::watch() {
    while (!stopped_) {
        silence_.expires_after(kLook);
        co_await silence_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (heard_ == Clock::time_point{} || Clock::now() - heard_ < (spoken_ ? kSilence : kFirstSilence))
            continue;
        heard_ = {};
        boost::system::error_code ignored;
        socket_.close(ignored);
    }
}

}  // namespace nettlestall::net
