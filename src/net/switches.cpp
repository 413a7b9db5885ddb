#include "net/switches.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;
using protocol::SwitchSession;

constexpr Duration kFirstPause = std::chrono::milliseconds(50);  // until it is dialled again, doubling
constexpr Duration kWatch = std::chrono::milliseconds(50);
constexpr int kSilence = 4;  // connect time-outs, until a further connection is tried
constexpr int kCutOff = 13;  // connect time-outs without a word while dials time out, until calls are cut
constexpr Duration kLeastPause = std::chrono::milliseconds(5);  // even where set-ups wait for it

}  // namespace

// One carrier switch. It outlives its place in the list while its coroutine runs, and is silent then.
class SwitchConnections::Peer final : public std::enable_shared_from_this<Peer>, public SwitchEvents {
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
    void use_connect_time_out(Duration time_out) { time_out_ = time_out; }
    bool idle() const { return !connection_ || connection_->idle(); }

    void start() { spawn(io_, run(shared_from_this())); }

    void stop() {
        stopped_ = true;
        pause_.cancel();
        for (const auto& connection : {connection_, previous_})
            if (connection) connection->close();
        lose_waiting(Outcome::unreachable);
        lose_out(nullptr);
    }

    void set_up(const OutgoingSetUp& forward) {
        used_ = true;
        if (connection_ && connection_->open())
            return put_out(forward.call, SwitchSession::set_up_frame(forward));
        waiting_.emplace_back(forward.call, SwitchSession::set_up_frame(forward));
        pause_.cancel();  // dialled at once
    }

    // On the connection of its set-up; where that is closed, it has been given up with it.
    void give_up(const CallId& call) {
        std::erase_if(waiting_, [&](const auto& w) { return w.first == call; });
        const auto at = out_.find(call);
        if (at == out_.end()) return;
        at->second->send(SwitchSession::release_frame(call));
        out_.erase(at);
    }

    // Without a connection it waits for the next: the call may stand there.
    void release(const CallId& call) {
        if (connection_ && connection_->open()) return connection_->send(SwitchSession::release_frame(call));
        if (releases_.size() < kMostReleases) releases_.push_back(call);
    }

    // Set-ups that no connection came up for: they never ran.
    void lose_waiting(Outcome outcome) {
        for (const auto& [call, frame] : std::exchange(waiting_, {}))
            events_.on_call_ended(id_, call, outcome, Cause::none, {});
    }

    void on_answer(const ExchangeId& at, const CallId& call, std::string_view description) override {
        out_.erase(call);
        events_.on_answer(at, call, description);
    }
    void on_call_ended(const ExchangeId& at, const CallId& call, Outcome outcome, Cause cause,
                       const LoadReport& load) override {
        out_.erase(call);
        events_.on_call_ended(at, call, outcome, cause, load);
    }
    void on_group_state(const ExchangeId& at, const LoadReport& load) override {
        events_.on_group_state(at, load);
    }
    void on_process_failed(const ExchangeId& at) override { events_.on_process_failed(at); }

   private:
    struct Line {  // what comes on one connection
        SwitchSession session;
        HalfMessage half;
    };

    static constexpr std::size_t kMostReleases = 4096;

    void put_out(const CallId& call, protocol::Frame frame) {
        if (!asked_) asked_ = Clock::now();
        out_[call] = connection_;
        connection_->send(std::move(frame));
    }

    // What is out on a connection that has gone, or on any, is given up with it. Should the call stand there,
    // its answer lost on the way, it is released on the next connection: it would hold circuits for nobody.
    void lose_out(const std::shared_ptr<Connection>& connection) {
        std::vector<CallId> lost;
        for (const auto& [call, on] : out_)
            if (!connection || on == connection) lost.push_back(call);
        for (const CallId& call : lost) {
            out_.erase(call);
            release(call);
            events_.on_call_ended(id_, call, Outcome::reset, Cause::none, {});
        }
    }

    // Holds the peer: the list may have dropped it by the time that this starts.
    static asio::awaitable<void> run(std::shared_ptr<Peer> self) { co_await self->keep_up(); }

    asio::awaitable<void> keep_up() {
        const auto to = to_endpoint(address_);
        Duration pause = kFirstPause;
        bool had = false;  // a connection, since the process was last known to live
        while (!stopped_) {
            close_halted();
            if (connection_ && !silent()) {
                pause_.expires_after(kWatch);
                co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
                continue;
            }
            tcp::socket socket(io_);
            boost::system::error_code error = asio::error::invalid_argument;
            if (to) error = co_await connect(socket, *to, time_out_);
            if (stopped_) co_return;
            if (!error) {
                had = true;
                pause = kFirstPause;
                adopt(std::move(socket));
            } else {
                lose_waiting(Outcome::unreachable);
                // Refused after it was there: no process listens, so the one that held the calls is gone.
                bool dead = error == asio::error::connection_refused;
                // Guards against calls that stand for ever over a cut link: nothing can tell that they were
                // dropped. Neither an old connection nor a new one speaks for so long that they must be.
                if (error == asio::error::timed_out) dead = Clock::now() - heard_ >= kCutOff * time_out_;
                if (dead && std::exchange(had, false)) events_.on_process_failed(id_);
            }
            // Also after a connection that came up: guards against a far end that closes each at once.
            pause_.expires_after(waiting_.empty() ? pause : kLeastPause);
            pause = std::min(2 * pause, time_out_);
            co_await pause_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    // Nothing at all has come since the first of those set-ups that may still have an answer, or for long. A
    // further connection finds out whether it is the connection or the machine that says nothing.
    bool silent() const {
        const auto now = Clock::now();
        return (asked_ && now - *asked_ >= time_out_) || (used_ && now - heard_ >= kSilence * time_out_);
    }

    // Guards against a connection on which a message has stopped short: whatever is set up there would wait
    // for an answer behind one that never ends. May harm where a lost packet is all that is missing: what is
    // out there comes again on the next connection.
    void close_halted() {
        const auto now = Clock::now();
        for (const auto& [connection, line] : lines_)
            if (line->half.older_than(time_out_ / 2, line->session, now)) connection->close();
    }

    // The new connection serves from now on. One that fell silent is read on until the next takes its place:
    // what is set up on it may still be answered there.
    void adopt(tcp::socket socket) {
        ++counters_.switch_connections;
        if (previous_) previous_->close();
        previous_ = std::exchange(connection_, std::make_shared<Connection>(std::move(socket), counters_));
        heard_ = Clock::now();
        asked_.reset();
        for (const CallId& call : std::exchange(releases_, {}))
            connection_->send(SwitchSession::release_frame(call));
        for (auto& [call, frame] : std::exchange(waiting_, {})) put_out(call, std::move(frame));
        spawn(io_, converse(shared_from_this(), connection_));
    }

    static asio::awaitable<void> converse(std::shared_ptr<Peer> self,
                                          std::shared_ptr<Connection> connection) {
        Line line{SwitchSession(self->id_, *self, self->counters_), {}};
        self->lines_[connection] = &line;
        co_await connection->read_into(line.session, [&] {
            self->heard_ = Clock::now();
            self->asked_.reset();
            line.half.heard(line.session, self->heard_);
        });
        self->lines_.erase(connection);
        connection->close();
        if (self->stopped_) co_return;
        ++self->counters_.switch_connections_lost;
        if (connection == self->previous_) self->previous_ = nullptr;
        if (connection == self->connection_) {
            self->connection_ = nullptr;
            self->pause_.cancel();
        }
        self->lose_out(connection);
    }

    asio::io_context& io_;
    asio::steady_timer pause_;
    ExchangeId id_;
    std::string address_;
    Duration time_out_;
    SwitchEvents& events_;
    Counters& counters_;
    std::shared_ptr<Connection> connection_, previous_;
    std::map<std::shared_ptr<Connection>, Line*> lines_;  // owned by the coroutines that read them
    std::optional<Clock::time_point> asked_;              // the first set-up since anything came
    Clock::time_point heard_{};                           // the last that came on any connection
    std::map<CallId, std::shared_ptr<Connection>> out_;   // set-ups without an end, and where they went
    bool used_ = false;  // something was set up there, so that its silence means something
    std::vector<std::pair<CallId, protocol::Frame>> waiting_;  // set-ups for the next connection
    std::vector<CallId> releases_;
    bool stopped_ = false;
};

SwitchConnections::SwitchConnections(asio::io_context& io, Duration connect_time_out, Counters& counters)
    : io_(io), connect_time_out_(connect_time_out), counters_(counters) {}

SwitchConnections::~SwitchConnections() = default;

void SwitchConnections::list(const ListEvent& event) {
    std::set<ExchangeId> named;
    for (const auto& [entry, address] : event.entries) {
        if (entry.state == ExchangeState::gone) {
            drop(entry.exchange);
            continue;
        }
        named.insert(entry.exchange);
        const auto at = peers_.find(entry.exchange);
        if (at != peers_.end() && at->second->address() == address) {
            // Guards against a set-up that waits for a connection and is written long after the drain was
            // told.
            if (entry.state == ExchangeState::draining) at->second->lose_waiting(Outcome::not_sent);
            continue;
        }
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

void SwitchConnections::use_connect_time_out(Duration time_out) {
    connect_time_out_ = time_out;
    for (const auto& [id, peer] : peers_) peer->use_connect_time_out(time_out);
}

void SwitchConnections::drop(const ExchangeId& id) {
    const auto at = peers_.find(id);
    if (at == peers_.end()) return;
    const auto peer = at->second;
    peers_.erase(at);
    peer->stop();
}

void SwitchConnections::stop() {
    for (const auto& [id, peer] : std::exchange(peers_, {})) peer->stop();
}

bool SwitchConnections::idle() const {
    return std::all_of(peers_.begin(), peers_.end(), [](const auto& p) { return p.second->idle(); });
}

void SwitchConnections::set_up(const ExchangeId& at, const OutgoingSetUp& forward) {
    const auto peer = peers_.find(at);
    if (peer != peers_.end()) return peer->second->set_up(forward);
    events_->on_call_ended(at, forward.call, Outcome::unreachable, Cause::none, {});
}

void SwitchConnections::cancel(const ExchangeId& at, const CallId& call) {
    if (const auto peer = peers_.find(at); peer != peers_.end()) peer->second->give_up(call);
}

void SwitchConnections::release(const ExchangeId& at, const CallId& call) {
    if (const auto peer = peers_.find(at); peer != peers_.end()) peer->second->release(call);
}

}  // namespace nettlestall::net
