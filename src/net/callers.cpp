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

constexpr milliseconds kAcceptPause{20};  // after an error such as too many descriptors
constexpr milliseconds kPieceGap{400};    // within it a caller goes on, who has connected or sent a piece
constexpr milliseconds kSweep{100};
constexpr milliseconds kAwayTick{20};
constexpr milliseconds kFirstChance{500};  // in a drain, for a connection that has asked for nothing yet
// From its start until a connection has asked for something, in pieces or not: whoever never does is owed a
// close within 3 s.
constexpr milliseconds kFirstWord{2800};
constexpr milliseconds kRestOfMessage{2800};  // from a message's first byte until its last

// Of a socket that another process has passed on.
tcp family_of(int descriptor) {
    sockaddr at{};
    socklen_t size = sizeof at;
    ::getsockname(descriptor, &at, &size);
    return at.sa_family == AF_INET6 ? tcp::v6() : tcp::v4();
}

}  // namespace

class CallerConnections::Client final : public protocol::CallerSession::Output {
   public:
    Client(tcp::socket socket, CallerEvents& events, Counters& counters)
        : connection_(std::make_shared<Connection>(std::move(socket), counters)),
          session_(events, *this, counters, connection_->origin()) {}

    void send(protocol::Frame frame) override { connection_->send(std::move(frame)); }
    Connection& connection() { return *connection_; }
    protocol::CallerSession& session() { return session_; }
    const CallerLink::Usage& use() const { return session_.usage; }
    bool idle() const { return connection_->idle(); }
    Clock::time_point heard() const { return half_.last_read(); }
    void hears(Clock::time_point now) { half_.heard(session_, now); }
    // New, or with a message that comes in pieces.
    bool about_to_ask(Clock::time_point now) const {
        return (!session_.has_sent_request() || session_.has_partial_message()) && now - heard() < kPieceGap;
    }
    bool between_set_ups() const { return use().open_set_ups == 0 && idle(); }
    // Closed now it takes nothing from anybody: no answer is owed, none is on its way, nothing has begun.
    bool in_a_gap(Clock::time_point now) const {
        return between_set_ups() && use().standing_calls == 0 && !session_.has_partial_message() &&
               (session_.has_sent_request() || now - opened_ >= kFirstChance);
    }
    // Ordinary callers may hold a connection without a call for as long as they like: only one that never
    // asked for anything, or that stopped within a message, takes a descriptor for nothing.
    bool overdue(Clock::time_point now) {
        return half_.older_than(kRestOfMessage, session_, now) ||
               (!session_.has_sent_request() && now - opened_ >= kFirstWord);
    }

   private:
    std::shared_ptr<Connection> connection_;
    protocol::CallerSession session_;
    HalfMessage half_;
    Clock::time_point opened_ = Clock::now();
};

CallerConnections::CallerConnections(asio::io_context& io, std::size_t most, CallerEvents& events,
                                     Counters& counters)
    : acceptor_(io), sweep_(io), away_tick_(io), most_(most), events_(events), counters_(counters) {}

void CallerConnections::listen(const tcp::endpoint& at) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    // For an upgrade where the listening socket cannot be passed on.
    acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
    acceptor_.bind(at);
    acceptor_.listen(1024);
}

void CallerConnections::listen_on(int descriptor) {
    acceptor_.assign(family_of(descriptor), descriptor);
}

CallerConnections::~CallerConnections() = default;

void CallerConnections::start() {
    resume();
    spawn(sweep_.get_executor(), sweep());
    spawn(sweep_.get_executor(), send_away());
}

void CallerConnections::stop() {
    stopped_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void CallerConnections::pause() {
    accepting_ = false;
    boost::system::error_code ignored;
    acceptor_.cancel(ignored);
}

void CallerConnections::resume() {
    if (!std::exchange(accepting_, true)) spawn(acceptor_.get_executor(), accept());
}

bool CallerConnections::idle() const {
    return std::all_of(open_.begin(), open_.end(), [](const auto& client) { return client->idle(); });
}

asio::awaitable<void> CallerConnections::accept() {
    asio::steady_timer pause(acceptor_.get_executor());
    while (acceptor_.is_open() && accepting_) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            if (!accepting_) break;
            pause.expires_after(kAcceptPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (open_.size() >= most_ && !make_room()) {  // guards the descriptors that the switches need
            ++counters_.client_connections_turned_away;
            continue;
        }
        ++counters_.client_connections;
        take_in(std::move(socket), false, {});
    }
}

void CallerConnections::adopt(int descriptor, bool has_asked, std::string_view begun) {
    tcp::socket socket(acceptor_.get_executor());
    boost::system::error_code error;
    socket.assign(family_of(descriptor), descriptor, error);
    if (error) ::close(descriptor);
    if (error) return;
    ++counters_.client_connections_taken_over;
    take_in(std::move(socket), has_asked, begun);
}

void CallerConnections::take_in(tcp::socket socket, bool has_asked, std::string_view begun) {
    const auto client = std::make_shared<Client>(std::move(socket), events_, counters_);
    open_.push_back(client);
    events_.on_caller_connected(client->session());
    if (!client->session().resume(has_asked, begun)) return drop(client);
    spawn(acceptor_.get_executor(), serve(client));
}

// Guards against callers that hold connections for nothing, be it one with hundreds or hundreds with one
// each: a further caller takes the place of a connection without a set-up. One where calls stand goes last,
// as their releases are to find it, and before it one that is still about to ask. Of the others whoever holds
// the most loses one first, then one that never asked, the one longest silent.
bool CallerConnections::make_room() {
    std::map<std::string_view, int> held;
    for (const auto& client : open_) ++held[client->session().origin()];
    const auto now = Clock::now();
    const auto worth_keeping = [&held, now](const std::shared_ptr<Client>& client) {
        protocol::CallerSession& session = client->session();
        return std::tuple(session.usage.open_set_ups > 0, session.usage.standing_calls > 0,
                          client->about_to_ask(now), -held[session.origin()], session.has_sent_request(),
                          client->heard());
    };
    const auto least = std::min_element(open_.begin(), open_.end(), [&](const auto& a, const auto& b) {
        return worth_keeping(a) < worth_keeping(b);
    });
    if (least == open_.end() || (*least)->use().open_set_ups > 0) return false;
    ++counters_.client_connections_displaced;
    drop(*least);
    return true;
}

// At once, not when its coroutine ends: nothing more is to be sent there, and its place is free.
void CallerConnections::drop(std::shared_ptr<Client> client) {
    if (std::erase(open_, client) == 0) return;
    events_.on_caller_disconnected(client->session());
    client->connection().close();
}

asio::awaitable<void> CallerConnections::sweep() {
    while (!stopped_) {
        sweep_.expires_after(kSweep);
        co_await sweep_.async_wait(asio::as_tuple(asio::use_awaitable));
        std::vector<std::shared_ptr<Client>> overdue;
        const auto now = Clock::now();
        std::copy_if(open_.begin(), open_.end(), std::back_inserter(overdue),
                     [now](const auto& client) { return client->overdue(now); });
        counters_.client_connections_overdue += overdue.size();
        for (const auto& client : overdue) drop(client);
    }
}

asio::awaitable<void> CallerConnections::send_away() {
    while (!stopped_) {
        away_tick_.expires_after(kAwayTick);
        co_await away_tick_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (pass_) {
            for (const auto& client : open_)
                if (client->between_set_ups()) client->connection().pause_reading();
            continue;
        }
        if (!away_()) continue;
        std::vector<std::shared_ptr<Client>> quiet;
        const auto now = Clock::now();
        std::copy_if(open_.begin(), open_.end(), std::back_inserter(quiet),
                     [now](const auto& client) { return client->in_a_gap(now); });
        counters_.client_connections_sent_away += quiet.size();
        for (const auto& client : quiet) drop(client);
    }
}

asio::awaitable<void> CallerConnections::serve(std::shared_ptr<Client> client) {
    Connection& connection = client->connection();
    protocol::CallerSession& session = client->session();
    while (co_await connection.read_into(session, [&client] { client->hears(Clock::now()); })) {
        // Something may have begun since the reading was paused: then it goes on here.
        if (!pass_ || !client->between_set_ups() || std::erase(open_, client) == 0) continue;
        ++counters_.client_connections_passed_on;
        const std::string begun(session.partial_message());
        events_.on_caller_disconnected(session);
        const int descriptor = connection.release();
        if (descriptor >= 0) pass_(descriptor, session.has_sent_request(), begun);
        co_return;
    }
    drop(client);
}

}  // namespace nettlestall::net
