#include "net/feed.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace nettlestall::net {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReconnectInterval{100};
constexpr milliseconds kMaxSilence{2500};  // the feed sends a line every second
// For a feed that was found to be slow and not dead. What it tells must be known 7 s afterwards.
constexpr milliseconds kMaxSilenceOfSlowFeed{5000};
// Until the first line has come; shorter, as a new process waits for it.
constexpr milliseconds kMaxFirstSilence{1300};
constexpr int kMaxSilenceDoublings = 3;
// Without a byte, from the dial on. Longer than the 7 s after which what the feed tells counts as told.
constexpr milliseconds kMaxSubscriptionSilence{10'000};
constexpr milliseconds kCheckInterval{50};

}  // namespace

// One connection to the feed.
class FeedClient::Subscription {
   public:
    Subscription(asio::io_context& io, std::int64_t last_event, protocol::FeedSession::ListHandler on_event,
                 std::size_t max_line_bytes)
        : session(last_event, std::move(on_event), max_line_bytes), socket(io) {}

    // Bytes that have come and were not handled are dropped.
    void close() {
        closed = true;
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    protocol::FeedSession session;
    tcp::socket socket;
    Clock::time_point last_progress = Clock::now();
    bool closed = false;
};

FeedClient::FeedClient(asio::io_context& io, std::optional<tcp::endpoint> address, std::int64_t known,
                       protocol::FeedSession::ListHandler on_event, std::size_t max_line_bytes,
                       Counters& counters)
    : io_(io),
      address_(std::move(address)),
      events_(known, std::move(on_event), max_line_bytes),
      max_line_bytes_(max_line_bytes),
      counters_(counters),
      timer_(io),
      max_silence_(kMaxSilence) {}

FeedClient::~FeedClient() = default;

void FeedClient::set_max_line_bytes(std::size_t max_line_bytes) {
    max_line_bytes_ = max_line_bytes;
    for (const auto& subscription : subscriptions_) subscription->session.set_max_line_bytes(max_line_bytes);
}

void FeedClient::start() {
    spawn(io_, keep_subscribed());
}

void FeedClient::stop() {
    stopped_ = true;
    close_all();
    timer_.cancel();
}

void FeedClient::set_address(std::optional<tcp::endpoint> to) {
    if (to == address_) return;
    address_ = to;
    close_all();
    tries_without_line_ = 0;
    max_silence_ = kMaxSilence;
    next_try_ = {};  // without a pause: the old address is not read any more
    timer_.cancel();
}

void FeedClient::apply_events(std::int64_t last, const std::vector<ListEvent>& events) {
    events_.catch_up(last, events);
}

asio::awaitable<void> FeedClient::keep_subscribed() {
    while (!stopped_) {
        const auto now = Clock::now();
        close_overdue(now);
        if (is_subscription_due(now)) subscribe(now);
        timer_.expires_after(kCheckInterval);
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void FeedClient::close_overdue(Clock::time_point now) {
    for (const auto& subscription : std::vector(subscriptions_)) {
        if (now - subscription->last_progress < kMaxSubscriptionSilence) continue;
        subscription->close();
        std::erase(subscriptions_, subscription);
    }
}

bool FeedClient::is_subscription_due(Clock::time_point now) const {
    if (!address_) return false;
    if (subscriptions_.empty()) return now >= next_try_;
    const int doublings = std::clamp(tries_without_line_ - 1, 0, kMaxSilenceDoublings);
    const Clock::duration max_silence = received_line_ ? max_silence_ : Clock::duration(kMaxFirstSilence);
    return now - last_progress_ >= max_silence * (1 << doublings);
}

void FeedClient::subscribe(Clock::time_point now) {
    ++tries_without_line_;
    last_progress_ = now;
    const auto apply = [this](const ListEvent& event) { events_.catch_up(event.number, {event}); };
    subscriptions_.push_back(
        std::make_shared<Subscription>(io_, events_.last_number(), apply, max_line_bytes_));
    spawn(io_, serve(subscriptions_.back(), *address_));
}

asio::awaitable<void> FeedClient::serve(std::shared_ptr<Subscription> subscription, tcp::endpoint address) {
    protocol::FeedSession& session = subscription->session;
    tcp::socket& socket = subscription->socket;
    boost::system::error_code error = co_await connect(socket, address, kMaxSubscriptionSilence);
    if (!error && !subscription->closed) {
        ++counters_.feed_connections;
        configure_socket(socket);
        const std::string line = session.subscribe();
        co_await asio::async_write(socket, asio::buffer(line), asio::as_tuple(asio::use_awaitable));
    }
    while (!error && !subscription->closed) {
        const auto space = session.read_buffer();
        std::size_t bytes = 0;
        std::tie(error, bytes) = co_await socket.async_read_some(asio::buffer(space.data(), space.size()),
                                                                 asio::as_tuple(asio::use_awaitable));
        if (error || subscription->closed) break;
        subscription->last_progress = last_progress_ = Clock::now();
        const std::uint64_t lines = session.whole_lines();
        const bool is_well_formed = session.consume(bytes);
        if (session.whole_lines() > lines) on_line(subscription);
        if (is_well_formed) continue;
        ++counters_.malformed;
        break;
    }
    subscription->close();
    if (std::erase(subscriptions_, subscription) > 0) next_try_ = Clock::now() + kReconnectInterval;
}

// The subscriptions before this one are dead, and those after it are not needed: they were begun because this
// one was slow.
void FeedClient::on_line(const std::shared_ptr<Subscription>& from) {
    received_line_ = true;
    tries_without_line_ = 0;
    if (subscriptions_.size() < 2) return;
    const bool was_slow = subscriptions_.back() != from;
    max_silence_ = kMaxSilence;
    if (was_slow) max_silence_ = kMaxSilenceOfSlowFeed;
    ++(was_slow ? counters_.feed_subscriptions_slow : counters_.feed_subscriptions_silent);
    for (const auto& other : subscriptions_)
        if (other != from) other->close();
    subscriptions_ = {from};
}

void FeedClient::close_all() {
    for (const auto& subscription : subscriptions_) subscription->close();
    subscriptions_.clear();
}

}  // namespace nettlestall::net
