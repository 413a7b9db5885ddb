#include "net/callers.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kAcceptRetryPause{20};  // after an error such as too many descriptors
// A caller that has just connected, or is sending a message in pieces, goes on within this time.
constexpr milliseconds kMaxPieceGap{400};
constexpr milliseconds kOverdueCheckInterval{100};
constexpr milliseconds kIdleCloseInterval{20};  // between searches for connections to pass on or close
// For the predecessor to pass on connections, before a new one is turned away.
constexpr milliseconds kMaxWaitForRoom{1000};
// In a drain a new connection that has sent no request yet stays open for this time.
constexpr milliseconds kMinFirstRequestTime{500};
// From the start of a connection until its first whole request. A connection that never sends one
// must be closed within 3 s.
constexpr milliseconds kMaxFirstRequestTime{2800};
constexpr milliseconds kMaxMessageTime{2800};  // from a message's first byte to its last
// Without the far end reading. A link that is cut is back by then, or the answers that wait for it are late.
constexpr milliseconds kMaxBlockedTime{20'000};

// The address family of a socket that another process has passed on.
tcp address_family(int descriptor) {
    sockaddr at{};
    socklen_t size = sizeof at;
    ::getsockname(descriptor, &at, &size);
    return at.sa_family == AF_INET6 ? tcp::v6() : tcp::v4();
}

}  // namespace

// One connection of a caller.
class CallerConnections::Caller final : public protocol::CallerSession::Output {
   public:
    Caller(tcp::socket socket, QueueBudget budget, CallerEvents& events, Counters& counters)
        : connection_(std::make_shared<Connection>(std::move(socket), std::move(budget), counters)),
          session_(events, *this, counters, connection_->remote_address()) {}

    void send(protocol::Frame frame) override { connection_->send(std::move(frame)); }
    bool send_if_room(protocol::Frame frame) override { return connection_->send_if_room(std::move(frame)); }
    Connection& connection() { return *connection_; }
    protocol::CallerSession& session() { return session_; }
    const CallerLink::Usage& usage() const { return session_.usage; }
    bool is_idle() const { return connection_->is_idle(); }
    Clock::time_point last_read() const { return partial_.last_read(); }
    void on_read(Clock::time_point now) { partial_.on_read(session_, now); }
    // The connection is new, or a message is arriving in pieces, and the last piece came only just now.
    bool is_about_to_send_request(Clock::time_point now) const {
        return (!session_.has_sent_request() || session_.has_partial_message()) &&
               now - last_read() < kMaxPieceGap;
    }
    // No set-up awaits an answer and all answers have been written.
    bool can_be_passed_on() const { return usage().open_set_ups == 0 && is_idle(); }
    // Closing it now loses nothing: there is no pending answer, no standing call and no incomplete message.
    bool can_be_closed(Clock::time_point now) const {
        return can_be_passed_on() && usage().standing_calls == 0 && !session_.has_partial_message() &&
               (session_.has_sent_request() || now - opened_ >= kMinFirstRequestTime);
    }
    // Callers may hold a connection without a call for as long as they like. Only a connection that never
    // sent a request, or that stopped within a message, uses up a descriptor for nothing. Open set-ups on it
    // have their answers first.
    bool is_overdue(Clock::time_point now) {
        return (can_be_passed_on() && partial_.is_older_than(kMaxMessageTime, session_, now)) ||
               (!session_.has_sent_request() && now - opened_ >= kMaxFirstRequestTime);
    }

   private:
    std::shared_ptr<Connection> connection_;
    protocol::CallerSession session_;
    PartialMessage partial_;
    Clock::time_point opened_ = Clock::now();
};

CallerConnections::CallerConnections(asio::io_context& io, std::size_t max_connections,
                                     std::size_t max_queue_bytes, CallerEvents& events, Counters& counters)
    : acceptor_(io),
      overdue_timer_(io),
      idle_timer_(io),
      max_connections_(max_connections),
      queue_budget_(std::make_shared<SharedBudget>(max_queue_bytes)),
      events_(events),
      counters_(counters) {}

void CallerConnections::listen(const tcp::endpoint& at) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    // Lets a successor process listen at the same address if the listening socket cannot be passed on to it.
    acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    acceptor_.bind(at);
    acceptor_.listen(1024);
}

void CallerConnections::listen_on(int descriptor) {
    acceptor_.assign(address_family(descriptor), descriptor);
}

CallerConnections::~CallerConnections() = default;

void CallerConnections::start() {
    resume_accepting();
    spawn(overdue_timer_.get_executor(), close_overdue());
    spawn(overdue_timer_.get_executor(), close_idle());
}

void CallerConnections::stop() {
    stopped_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void CallerConnections::pause_accepting() {
    accepting_ = false;
    boost::system::error_code ignored;
    acceptor_.cancel(ignored);
}

void CallerConnections::resume_accepting() {
    if (!std::exchange(accepting_, true)) spawn(acceptor_.get_executor(), accept());
}

bool CallerConnections::is_idle() const {
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& caller) { return caller->is_idle(); });
}

asio::awaitable<void> CallerConnections::accept() {
    asio::steady_timer pause(acceptor_.get_executor());
    while (acceptor_.is_open() && accepting_) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            if (!accepting_) break;
            pause.expires_after(kAcceptRetryPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        // The bound leaves descriptors for the connections to carrier switches. A connection that was
        // accepted as another process took over is passed on with the others.
        if (accepting_ && connections_.size() >= max_connections_ && !displace_one() &&
            !co_await wait_for_room()) {
            ++counters_.client_connections_turned_away;
            continue;
        }
        ++counters_.client_connections;
        add(std::move(socket), {});
    }
}

void CallerConnections::set_max_connections(std::size_t max_connections, std::size_t held_elsewhere) {
    max_connections_ = max_connections - std::min(max_connections - 1, held_elsewhere);
    is_taking_over_ = held_elsewhere > 0;
}

asio::awaitable<bool> CallerConnections::wait_for_room() {
    asio::steady_timer pause(acceptor_.get_executor());
    const auto end = Clock::now() + kMaxWaitForRoom;
    while (is_taking_over_ && accepting_ && Clock::now() < end) {
        pause.expires_after(kAcceptRetryPause);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        if (connections_.size() < max_connections_ || displace_one()) co_return true;
    }
    co_return false;
}

void CallerConnections::take_over_connection(int descriptor, const protocol::CallerState& state) {
    tcp::socket socket(acceptor_.get_executor());
    boost::system::error_code error;
    socket.assign(address_family(descriptor), descriptor, error);
    if (error) ::close(descriptor);
    if (error) return;
    ++counters_.client_connections_taken_over;
    add(std::move(socket), state);
}

void CallerConnections::add(tcp::socket socket, const protocol::CallerState& state) {
    const auto caller = std::make_shared<Caller>(std::move(socket), queue_budget_, events_, counters_);
    connections_.push_back(caller);
    caller->session().usage.has_placed_call = state.has_placed_call;
    events_.on_caller_connected(caller->session());
    if (!caller->session().resume(state)) return close(caller);
    spawn(acceptor_.get_executor(), serve(caller));
}

// Closes the least needed connection without an open set-up (nor a standing call, during a take-over), so
// that connections held without use, be it hundreds by one caller or one each by hundreds, keep nobody out.
// Closed last are connections with standing calls, since their releases are sent there, and before these
// those that are about to send a request. Among the others the caller with the most connections loses one
// first; then it is one that never sent a request, and then the one that has been silent for the longest
// time.
bool CallerConnections::displace_one() {
    std::map<std::string_view, int> connections_of;
    for (const auto& caller : connections_) ++connections_of[caller->session().origin()];
    const auto now = Clock::now();
    const auto rank = [&connections_of, now](const std::shared_ptr<Caller>& caller) {
        protocol::CallerSession& session = caller->session();
        return std::tuple(session.usage.open_set_ups > 0, session.usage.standing_calls > 0,
                          caller->is_about_to_send_request(now), -connections_of[session.origin()],
                          session.has_sent_request(), caller->last_read());
    };
    const auto least_needed =
        std::min_element(connections_.begin(), connections_.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    if (least_needed == connections_.end() || (*least_needed)->usage().open_set_ups > 0) return false;
    // The first connections that are passed on are few, and not the least needed of all.
    if (is_taking_over_ && (*least_needed)->usage().standing_calls > 0) return false;
    ++counters_.client_connections_displaced;
    close(*least_needed);
    return true;
}

void CallerConnections::close(std::shared_ptr<Caller> caller) {
    if (std::erase(connections_, caller) == 0) return;
    events_.on_caller_disconnected(caller->session(), caller->connection().end());
    caller->connection().close();
}

// Closes connections that never sent a request, stopped within a message or read nothing.
asio::awaitable<void> CallerConnections::close_overdue() {
    while (!stopped_) {
        overdue_timer_.expires_after(kOverdueCheckInterval);
        co_await overdue_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        std::vector<std::shared_ptr<Caller>> overdue;
        const auto now = Clock::now();
        std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(overdue),
                     [now](const auto& caller) { return caller->is_overdue(now); });
        counters_.client_connections_overdue += overdue.size();
        for (const auto& caller : overdue) close(caller);
        for (const auto& caller : connections_) {
            if (!caller->connection().is_blocked_for(kMaxBlockedTime)) continue;
            ++counters_.overflowed;
            caller->connection().close(CloseReason::overflow);  // its reading ends, and with it the caller
        }
    }
}

// While another process takes over, ends the reading of connections that can be passed on; serve() then
// passes them on. While callers are to be sent elsewhere, closes those that can be closed.
asio::awaitable<void> CallerConnections::close_idle() {
    while (!stopped_) {
        idle_timer_.expires_after(kIdleCloseInterval);
        co_await idle_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (pass_on_) {
            for (const auto& caller : connections_)
                if (caller->can_be_passed_on()) caller->connection().pause_reading();
            continue;
        }
        if (!may_close_idle_()) continue;
        std::vector<std::shared_ptr<Caller>> idle;
        const auto now = Clock::now();
        std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(idle),
                     [now](const auto& caller) { return caller->can_be_closed(now); });
        counters_.client_connections_sent_away += idle.size();
        for (const auto& caller : idle) close(caller);
    }
}

// Serves one caller's connection until the caller closes it, a message is malformed, close() closes it or it
// is passed on to another process.
asio::awaitable<void> CallerConnections::serve(std::shared_ptr<Caller> caller) {
    Connection& connection = caller->connection();
    protocol::CallerSession& session = caller->session();
    while (co_await connection.read_into(session, [&caller] { caller->on_read(Clock::now()); })) {
        // If a set-up has come since the reading was paused, the connection is served on here.
        if (!pass_on_ || !caller->can_be_passed_on() || std::erase(connections_, caller) == 0) continue;
        ++counters_.client_connections_passed_on;
        events_.on_caller_disconnected(session, calls::ConnectionEnd::passed_on);
        const int descriptor = connection.release();
        if (descriptor >= 0) pass_on_(descriptor, session.state());
        co_return;
    }
    close(caller);
}

}  // namespace nettlestall::net
