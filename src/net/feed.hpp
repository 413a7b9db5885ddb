// The control feed: one connection, resumed after the last event that is known.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/connection.hpp"
#include "protocol/feed.hpp"

namespace nettlestall::net {

class Feed {
   public:
    Feed(asio::io_context& io, std::optional<tcp::endpoint> at, std::int64_t known,
         protocol::FeedSession::Take take, Counters& counters);

    void start();
    void stop();

   private:
    asio::awaitable<void> follow();
    asio::awaitable<void> watch();

    std::optional<tcp::endpoint> at_;
    protocol::FeedSession session_;
    Counters& counters_;
    tcp::socket socket_;
    asio::steady_timer pause_, silence_;
    std::chrono::steady_clock::time_point heard_{};
    bool stopped_ = false;
};

}  // namespace nettlestall::net
