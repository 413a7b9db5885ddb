#include "net/clients.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kAcceptPause{20};  // after an error such as too many descriptors
constexpr milliseconds kSweep{200};
constexpr milliseconds kAwayTick{20};
constexpr milliseconds kFirstChance{500};     // in a drain, for a connection that has asked for nothing yet
constexpr milliseconds kFirstWord{2000};      // from its start until a connection has asked for something
constexpr milliseconds kRestOfMessage{2000};  // from a message's first byte until its last

}  // namespace

class Clients::Client final : public protocol::CallerSession::Out {
   public:
    Client(tcp::socket socket, CallerEvents& events, Counters& counters)
        : connection_(std::make_shared<Connection>(std::move(socket), counters)),
          session_(events, *this, counters, connection_->origin()) {}

    void send(protocol::Frame frame) override { connection_->send(std::move(frame)); }
    Connection& connection() { return *connection_; }
    protocol::CallerSession& session() { return session_; }
    const CallerLink::Use& use() const { return session_.use; }
    bool idle() const { return connection_->idle(); }
    Clock::time_point heard() const { return half_.last_read(); }
    void hears(Clock::time_point now) { half_.heard(session_, now); }
    // Closed now it takes nothing from anybody: no answer is owed, none is on its way, nothing has begun.
    bool in_a_gap(Clock::time_point now) const {
        return use().open == 0 && use().standing == 0 && idle() && !session_.within_message() &&
               (session_.has_asked() || now - opened_ >= kFirstChance);
    }
    // Ordinary callers may hold a connection without a call for as long as they like: only one that never
    // asked for anything, or that stopped within a message, takes a descriptor for nothing.
    bool overdue(Clock::time_point now) {
        return half_.older_than(kRestOfMessage, session_, now) ||
               (!session_.has_asked() && now - opened_ >= kFirstWord);
    }

   private:
    std::shared_ptr<Connection> connection_;
    protocol::CallerSession session_;
    HalfMessage half_;
    Clock::time_point opened_ = Clock::now();
};

Clients::Clients(asio::io_context& io, const tcp::endpoint& listen, std::size_t most, CallerEvents& events,
                 Counters& counters)
    : acceptor_(io), sweep_(io), away_tick_(io), most_(most), events_(events), counters_(counters) {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen);
    acceptor_.listen(1024);
}

Clients::~Clients() = default;

void Clients::start() {
    spawn(acceptor_.get_executor(), accept());
    spawn(acceptor_.get_executor(), sweep());
    spawn(acceptor_.get_executor(), send_away());
}

void Clients::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

bool Clients::idle() const {
    return std::all_of(open_.begin(), open_.end(), [](const auto& client) { return client->idle(); });
}

asio::awaitable<void> Clients::accept() {
    asio::steady_timer pause(acceptor_.get_executor());
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            pause.expires_after(kAcceptPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (open_.size() >= most_ && !make_room()) {  // guards the descriptors that the switches need
            ++counters_.client_connections_turned_away;
            continue;
        }
        ++counters_.client_connections;
        open_.push_back(std::make_shared<Client>(std::move(socket), events_, counters_));
        events_.caller_up(open_.back()->session());
        spawn(acceptor_.get_executor(), serve(open_.back()));
    }
}

// Guards against callers that hold connections for nothing, be it one with hundreds or hundreds with one
// each: a further caller takes the place of a connection without a set-up. Whoever holds the most of these
// loses one first, then one that never asked, one without a standing call, the one longest silent.
bool Clients::make_room() {
    std::map<std::string_view, int> held;
    for (const auto& client : open_) ++held[client->session().origin()];
    const auto worth_keeping = [&held](const std::shared_ptr<Client>& client) {
        protocol::CallerSession& session = client->session();
        return std::tuple(session.use.open > 0, -held[session.origin()], session.has_asked(),
                          session.use.standing > 0, client->heard());
    };
    const auto least = std::min_element(open_.begin(), open_.end(), [&](const auto& a, const auto& b) {
        return worth_keeping(a) < worth_keeping(b);
    });
    if (least == open_.end() || (*least)->use().open > 0) return false;
    ++counters_.client_connections_displaced;
    drop(*least);
    return true;
}

// At once, not when its coroutine ends: nothing more is to be sent there, and its place is free.
void Clients::drop(std::shared_ptr<Client> client) {
    if (std::erase(open_, client) == 0) return;
    events_.caller_gone(client->session());
    client->connection().close();
}

asio::awaitable<void> Clients::sweep() {
    while (acceptor_.is_open()) {
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

asio::awaitable<void> Clients::send_away() {
    while (acceptor_.is_open()) {
        away_tick_.expires_after(kAwayTick);
        co_await away_tick_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!away_()) continue;
        std::vector<std::shared_ptr<Client>> quiet;
        const auto now = Clock::now();
        std::copy_if(open_.begin(), open_.end(), std::back_inserter(quiet),
                     [now](const auto& client) { return client->in_a_gap(now); });
        counters_.client_connections_sent_away += quiet.size();
        for (const auto& client : quiet) drop(client);
    }
}

asio::awaitable<void> Clients::serve(std::shared_ptr<Client> client) {
    co_await client->connection().read_into(client->session(), [&client] { client->hears(Clock::now()); });
    drop(client);
}

}  // namespace nettlestall::net
