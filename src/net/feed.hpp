// The control feed's client: follows the numbered changes to the list of carrier switches.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/connection.hpp"
#include "protocol/feed.hpp"

namespace nettlestall::net {

// Subscribes to the feed behind the last known event, so that events go on in order after a reconnect.
//
// A subscription that says nothing may be dead or only slow, so it is kept for a while beside a further one.
// The first of them that says something goes on alone. Each further one is opened after twice the time of the
// one before, so that a slow feed is not asked faster than it can reply. Events that come on several
// subscriptions are applied once.
class FeedClient {
   public:
    // `known` is the number of the last event that is known already; without an address there is no feed.
    // Each new event goes to `on_event`. A line longer than `max_line_bytes` is malformed.
    FeedClient(asio::io_context& io, std::optional<tcp::endpoint> address, std::int64_t known,
               protocol::FeedSession::ListHandler on_event, std::size_t max_line_bytes, Counters& counters);
    ~FeedClient();

    void set_max_line_bytes(std::size_t max_line_bytes);

    void start();
    void stop();
    std::int64_t last_event() const { return events_.last_number(); }  // its number
    // Whether a whole line has come since the start, so that all earlier events are known. Also true without
    // a feed.
    bool is_synchronized() const { return received_line_ || !address_; }

    // Follows the feed at another address from now on, behind the last known event.
    void set_address(std::optional<tcp::endpoint> to);
    // Applies events from another source than the feed, up to number `last`; known ones are ignored.
    void apply_events(std::int64_t last, const std::vector<ListEvent>& events);

   private:
    using Clock = std::chrono::steady_clock;
    class Subscription;

    asio::awaitable<void> keep_subscribed();
    // Connects and reads until the connection is closed or a line is malformed.
    asio::awaitable<void> serve(std::shared_ptr<Subscription> subscription, tcp::endpoint address);
    void close_overdue(Clock::time_point now);
    bool is_subscription_due(Clock::time_point now) const;
    void subscribe(Clock::time_point now);
    void on_line(const std::shared_ptr<Subscription>& from);
    void close_all();

    asio::io_context& io_;
    std::optional<tcp::endpoint> address_;
    protocol::FeedSession events_;  // applies events of all sources once and in order
    std::size_t max_line_bytes_;
    Counters& counters_;
    asio::steady_timer timer_;
    std::vector<std::shared_ptr<Subscription>> subscriptions_;  // open or connecting, the oldest first
    Clock::time_point next_try_{};                              // if there is no subscription
    Clock::time_point last_progress_{};                         // when bytes came or a subscription was begun
    int tries_without_line_ = 0;
    Clock::duration max_silence_;
    bool stopped_ = false, received_line_ = false;
};

}  // namespace nettlestall::net
