#include "net/feed.hpp"

#include <boost/asio/write.hpp>

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeOut{1000};
constexpr std::chrono::milliseconds kPause{100};
constexpr std::chrono::milliseconds kSilence{2500};  // it says something every second

}  // namespace

Feed::Feed(asio::io_context& io, std::optional<tcp::endpoint> at, std::int64_t known,
           protocol::FeedSession::Take take, Counters& counters)
    : at_(std::move(at)),
      session_(known, std::move(take)),
      counters_(counters),
      socket_(io),
      pause_(io),
      silence_(io) {}

void Feed::start() {
    if (!at_) return;
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

asio::awaitable<void> Feed::follow() {
    while (!stopped_) {
        const auto error = co_await connect(socket_, *at_, kConnectTimeOut);
        if (!error) {
            ++counters_.feed_connections;
            set_up_socket(socket_);
            heard_ = Clock::now();
            const std::string line = session_.subscribe();
            co_await asio::async_write(socket_, asio::buffer(line), asio::as_tuple(asio::use_awaitable));
            for (;;) {
                const auto space = session_.space();
                const auto [broken, bytes] = co_await socket_.async_read_some(
                    asio::buffer(space.data(), space.size()), asio::as_tuple(asio::use_awaitable));
                if (broken) break;
                heard_ = Clock::now();
                if (!session_.fed(bytes)) {
                    ++counters_.malformed;
                    break;
                }
            }
        }
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (stopped_) co_return;
        pause_.expires_after(kPause);
        co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// Guards against a feed that has fallen silent on an open connection: drains would be learned too late.
asio::awaitable<void> Feed::watch() {
    while (!stopped_) {
        silence_.expires_after(kSilence / 5);
        co_await silence_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (heard_ == Clock::time_point{} || Clock::now() - heard_ < kSilence) continue;
        heard_ = {};
        boost::system::error_code ignored;
        socket_.close(ignored);
    }
}

}  // namespace nettlestall::net
