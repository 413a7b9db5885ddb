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
         protocol::FeedSession::ListHandler take, std::size_t longest_line, Counters& counters);

    void use_longest_line(std::size_t longest) { session_.set_max_line_bytes(longest); }

    void start();
    void stop();
    std::int64_t last() const { return session_.last_number(); }
    // It has told something since its start here, so that what it told before is known; or there is none.
    bool has_spoken() const { return spoken_ || !at_; }

    // Follows the feed at another address from now on, behind the last event that is known.
    void move(std::optional<tcp::endpoint> to);
    // Events that came by another way than the feed; those known already are passed over.
    void catch_up(std::int64_t last, const std::vector<ListEvent>& events);

   private:
    asio::awaitable<void> follow();
    asio::awaitable<void> converse();
    asio::awaitable<void> watch();

    std::optional<tcp::endpoint> at_;
    bool moved_ = false;
    protocol::FeedSession session_;
    Counters& counters_;
    tcp::socket socket_;
    asio::steady_timer pause_, silence_;
    std::chrono::steady_clock::time_point heard_{};
    bool stopped_ = false, spoken_ = false;
};

}  // namespace nettlestall::net
