#include "net/servers.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

namespace nettlestall::net {
namespace {

constexpr Duration kFirstPause = std::chrono::milliseconds(50);  // until it is dialled again, doubling
constexpr Duration kLeastPause = std::chrono::milliseconds(5);   // even where set-ups wait for it

}  // namespace

// One carrier switch. It outlives its place in the list while its coroutine runs, and is silent then.
class Servers::Peer : public std::enable_shared_from_this<Peer> {
   public:
    Peer(asio::io_context& io, ExchangeId id, std::string address, Duration connect_time_out,
         SwitchEvents& events, Counters& counters)
        : io_(io),
          pause_(io),
          id_(std::move(id)),
          address_(std::move(address)),
          time_out_(connect_time_out),
          events_(events),
          counters_(counters) {}

    const std::string& address() const { return address_; }
    bool idle() const { return !connection_ || connection_->idle(); }

    void start() {
        asio::co_spawn(
            io_, [self = shared_from_this()] { return self->run(); }, asio::detached);
    }

    void stop() {
        stopped_ = true;
        pause_.cancel();
        if (connection_) connection_->close();
        lose(Outcome::unreachable);
    }

    void set_up(const Forward& forward) {
        if (connection_ && connection_->open())
            return connection_->send(protocol::SwitchSession::set_up(forward));
        waiting_.emplace_back(forward.call, protocol::SwitchSession::set_up(forward));
        pause_.cancel();  // dialled at once
    }

    void give_up(const CallId& call) {
        const auto unsent = std::erase_if(waiting_, [&](const auto& w) { return w.first == call; });
        if (unsent == 0) release(call);
    }

    // Without a connection it waits for the next: the call may stand there.
    void release(const CallId& call) {
        if (connection_ && connection_->open())
            return connection_->send(protocol::SwitchSession::release(call));
        if (releases_.size() < kMostReleases) releases_.push_back(call);
    }

   private:
    static constexpr std::size_t kMostReleases = 4096;

    asio::awaitable<void> run() {
        const auto self = shared_from_this();
        const auto to = to_endpoint(address_);
        Duration pause = kFirstPause;
        bool had = false;  // a connection, since the process was last known to live
        while (!stopped_) {
            tcp::socket socket(io_);
            boost::system::error_code error = asio::error::invalid_argument;
            if (to) error = co_await connect(socket, *to, time_out_);
            if (stopped_) co_return;
            if (!error) {
                had = true;
                pause = kFirstPause;
                co_await converse(std::move(socket));
                if (stopped_) co_return;
            } else {
                lose(Outcome::unreachable);
                // Refused after it was there: no process listens, so the one that held the calls is gone.
                if (error == asio::error::connection_refused && std::exchange(had, false))
                    events_.process_dead(id_);
            }
            // Also after a connection that came up: guards against a far end that closes each at once.
            pause_.expires_after(waiting_.empty() ? pause : kLeastPause);
            pause = std::min(2 * pause, time_out_);
            co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::awaitable<void> converse(tcp::socket socket) {
        ++counters_.switch_connections;
        connection_ = std::make_shared<Connection>(std::move(socket), counters_);
        for (const CallId& call : std::exchange(releases_, {}))
            connection_->send(protocol::SwitchSession::release(call));
        for (auto& [call, frame] : std::exchange(waiting_, {})) connection_->send(std::move(frame));
        protocol::SwitchSession session(id_, events_, counters_);
        const auto connection = connection_;
        co_await connection->read_into(session);
        connection->close();
        connection_ = nullptr;
        if (stopped_) co_return;
        ++counters_.switch_connections_lost;
        events_.connection_lost(id_);
    }

    // Set-ups that no connection came up for: they never ran.
    void lose(Outcome outcome) {
        for (const auto& [call, frame] : std::exchange(waiting_, {}))
            events_.ended(id_, call, outcome, Cause::none, {});
    }

    asio::io_context& io_;
    asio::steady_timer pause_;
    ExchangeId id_;
    std::string address_;
    Duration time_out_;
    SwitchEvents& events_;
    Counters& counters_;
    std::shared_ptr<Connection> connection_;
    std::vector<std::pair<CallId, protocol::Frame>> waiting_;  // set-ups for the next connection
    std::vector<CallId> releases_;
    bool stopped_ = false;
};

Servers::Servers(asio::io_context& io, Duration connect_time_out, Counters& counters)
    : io_(io), connect_time_out_(connect_time_out), counters_(counters) {}

Servers::~Servers() = default;

void Servers::list(const ListEvent& event) {
    std::set<ExchangeId> named;
    for (const auto& [entry, address] : event.entries) {
        if (entry.state == ExchangeState::gone) {
            drop(entry.exchange);
            continue;
        }
        named.insert(entry.exchange);
        const auto at = peers_.find(entry.exchange);
        if (at != peers_.end() && at->second->address() == address) continue;
        drop(entry.exchange);
        auto peer =
            std::make_shared<Peer>(io_, entry.exchange, address, connect_time_out_, *events_, counters_);
        peers_[entry.exchange] = peer;
        peer->start();
    }
    if (event.kind == ListKind::changes) return;
    std::vector<ExchangeId> left;
    for (const auto& [id, peer] : peers_)
        if (!named.count(id)) left.push_back(id);
    for (const ExchangeId& id : left) drop(id);
}

void Servers::drop(const ExchangeId& id) {
    const auto at = peers_.find(id);
    if (at == peers_.end()) return;
    const auto peer = at->second;
    peers_.erase(at);
    peer->stop();
    events_->connection_lost(id);
}

void Servers::stop() {
    for (const auto& [id, peer] : std::exchange(peers_, {})) peer->stop();
}

bool Servers::idle() const {
    return std::all_of(peers_.begin(), peers_.end(), [](const auto& p) { return p.second->idle(); });
}

void Servers::set_up(const ExchangeId& at, const Forward& forward) {
    const auto peer = peers_.find(at);
    if (peer != peers_.end()) return peer->second->set_up(forward);
    events_->ended(at, forward.call, Outcome::unreachable, Cause::none, {});
}

void Servers::give_up(const ExchangeId& at, const CallId& call) {
    if (const auto peer = peers_.find(at); peer != peers_.end()) peer->second->give_up(call);
}

void Servers::release(const ExchangeId& at, const CallId& call) {
    if (const auto peer = peers_.find(at); peer != peers_.end()) peer->second->release(call);
}

}  // namespace nettlestall::net
