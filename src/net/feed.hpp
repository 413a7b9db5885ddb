// The control feed's client: follows the numbered changes to the list of carrier switches over one
// connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/connection.hpp"
#include "protocol/feed.hpp"

namespace nettlestall::net {

// Keeps one connection to the feed and subscribes behind the last known event, so that events go on in order
// after a reconnect. Closes the connection when it is silent for too long or a line is malformed or too long,
// and connects again.
class FeedClient {
   public:
    // `known` is the number of the last event that is known already; without an address there is no feed.
    // Each new event goes to `on_event`. A line longer than `max_line_bytes` is malformed.
    FeedClient(asio::io_context& io, std::optional<tcp::endpoint> address, std::int64_t known,
               protocol::FeedSession::ListHandler on_event, std::size_t max_line_bytes, Counters& counters);

    void set_max_line_bytes(std::size_t max_line_bytes) { session_.set_max_line_bytes(max_line_bytes); }

    void start();
    void stop();
    std::int64_t last_event() const { return session_.last_number(); }  // its number
    // Whether a whole line has come since the start, so that all earlier events are known. Also true without
    // a feed.
    bool is_synchronized() const { return received_line_ || !address_; }

    // Follows the feed at another address from now on, behind the last known event.
    void set_address(std::optional<tcp::endpoint> to);
    // Applies events from another source than the feed, up to number `last`; known ones are ignored.
    void apply_events(std::int64_t last, const std::vector<ListEvent>& events);

   private:
    asio::awaitable<void> keep_connected();
    asio::awaitable<void> read_events();
    asio::awaitable<void> watch_silence();

    std::optional<tcp::endpoint> address_;
    bool address_changed_ = false;
    protocol::FeedSession session_;
    Counters& counters_;
    tcp::socket socket_;
    asio::steady_timer reconnect_timer_, silence_timer_;
    std::chrono::steady_clock::time_point last_read_{};
    bool stopped_ = false, received_line_ = false;
};

}  // namespace nettlestall::net
