#include "net/switches.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

#include "calls/unconfirmed_releases.hpp"

namespace nettlestall::net {
namespace {

using Clock = std::chrono::steady_clock;
using protocol::SwitchSession;

// Between dials; doubles up to the connect time-out.
constexpr Duration kMinReconnectPause = std::chrono::milliseconds(50);
// Between dials while set-ups wait for a connection.
constexpr Duration kReconnectPauseWithSetUps = std::chrono::milliseconds(5);
constexpr Duration kConnectionCheckInterval = std::chrono::milliseconds(50);
// In connect time-outs: silence after which a second connection is tried.
constexpr int kSilenceInTimeOuts = 4;
// In connect time-outs: silence, while dials time out, after which the switch counts as dead and its calls
// are cut.
constexpr int kDeadInTimeOuts = 13;
// A dial that has timed out is given twice the time at the next try, up to this many connect time-outs.
constexpr int kMaxDialInTimeOuts = 4;
// In half connect time-outs: how long a message may take. Twice as long each time when one took longer.
constexpr int kMinMessageTime = 1, kMaxMessageTime = 8;
// After so many messages in a row that took no longer than the shortest limit, that limit holds again.
constexpr std::uint64_t kQuickMessagesForShortestLimit = 20;
// From the end of a connection until the switch has surely heard of it, also if one packet is lost on the
// way.
constexpr Duration kCloseSettleTime = std::chrono::milliseconds(300);
// Dials for a refresh that fail, with pauses that double from kCloseSettleTime, before it is given up.
constexpr int kMaxRefreshDials = 5;
// Connections that are kept open beside the one on which set-ups are sent, as calls that were set up on them
// may still stand. A refresh may bring one more.
constexpr std::size_t kMaxListeningConnections = 1;

Instant unix_time() {
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace

// One carrier switch of the list. Its coroutines keep it alive after it was removed from the list; it is
// stopped then and reports nothing.
class SwitchConnections::Peer final : public std::enable_shared_from_this<Peer> {
   public:
    Peer(asio::io_context& io, ExchangeId id, std::string address, Instant process_start,
         Duration connect_time_out, QueueBudget queue_budget, SwitchEvents& events, Counters& counters,
         const calls::CallLog& log, std::shared_ptr<ConnectionCounts> connection_counts)
        : io_(io),
          timer_(io),
          stall_timer_(io),
          id_(std::move(id)),
          address_(std::move(address)),
          process_start_(process_start),
          connect_time_out_(connect_time_out),
          queue_budget_(std::move(queue_budget)),
          events_(events),
          counters_(counters),
          log_(log),
          connection_counts_(std::move(connection_counts)) {}

    const std::string& address() const { return address_; }
    // The list tells when the switch's process was started. Connections from before lead to the process that
    // it has replaced, and what was to be sent to that one is dropped.
    void set_process_start(Instant started) {
        if (started == process_start_) return;
        process_start_ = started;
        for (const auto& [connection, reader] : readers_) {
            if (reader->opened_at >= started) continue;
            unconfirmed_releases_.take(connection.get(), calls::ConnectionEnd::passed_on, Clock::now());
            connection->close(CloseReason::restarted);
        }
        if (!connection_ || !connection_->is_open()) pending_releases_.clear();
    }
    void set_connect_time_out(Duration time_out) { connect_time_out_ = time_out; }
    bool is_idle() const {
        return (!connection_ || connection_->is_idle()) &&
               !unconfirmed_releases_.awaits_confirmation(Clock::now());
    }

    // Calls stand there that another process has set up.
    void expect_calls() { has_had_set_ups_ = true; }

    void start() {
        spawn(io_, run(shared_from_this()));
        spawn(io_, watch_for_stalls(shared_from_this()));
    }

    void stop() {
        stopped_ = true;
        timer_.cancel();
        stall_timer_.cancel();
        if (connection_) connection_->close();
        for (const auto& connection : listening_) connection->close();
        fail_waiting(Outcome::unreachable);
        fail_unanswered(nullptr);
    }

    // Sends the set-up, or dials at once if there is no connection and sends it on the next one.
    void set_up(const OutgoingSetUp& request) {
        has_had_set_ups_ = true;
        if (connection_ && connection_->is_open())
            return send_set_up(request.call, SwitchSession::set_up_frame(request));
        if (is_dial_late_)
            return events_.on_call_ended(id_, request.call, Outcome::unreachable, Cause::none, {});
        waiting_.emplace_back(request.call, SwitchSession::set_up_frame(request));
        timer_.cancel();  // dials at once
    }

    // Sends a release on the connection of the set-up. If that is closed, the set-up has failed with it
    // already.
    void cancel(const CallId& call) {
        std::erase_if(waiting_, [&](const auto& w) { return w.first == call; });
        const auto at = unanswered_.find(call);
        if (at == unanswered_.end()) return;
        send_release(*at->second.connection, call);
        unanswered_.erase(at);
    }

    // Without a connection the release waits for the next one, as the call may be connected at the switch.
    void release(const CallId& call) {
        if (connection_ && connection_->is_open()) return send_release(*connection_, call);
        if (pending_releases_.size() < kMaxPendingReleases) pending_releases_.push_back(call);
    }

    // To be called when a connection to the switch has ended, also one of a predecessor process. A switch
    // sends the releases of that connection's calls again, but only on the next connection that is opened
    // after it has heard of the end.
    void schedule_refresh() {
        refresh_at_ = Clock::now() + kCloseSettleTime;
        failed_refresh_dials_ = 0;
    }

    // Ends the set-ups that wait for a connection; they were never sent.
    void fail_waiting(Outcome outcome) {
        for (const auto& [call, frame] : std::exchange(waiting_, {}))
            events_.on_call_ended(id_, call, outcome, Cause::none, {});
    }

   private:
    // Reports what one connection brings, together with the connection.
    class ConnectionEvents final : public SwitchEvents {
       public:
        ConnectionEvents(Peer& peer, const Connection& connection) : peer_(peer), connection_(connection) {}

        void on_answer(const ExchangeId&, const CallId& call, std::string_view description) override {
            peer_.on_answer(connection_, call, description);
        }
        void on_call_ended(const ExchangeId&, const CallId& call, Outcome outcome, Cause cause,
                           const LoadReport& load) override {
            peer_.on_call_ended(connection_, call, outcome, cause, load);
        }
        void on_group_state(const ExchangeId& at, const LoadReport& load) override {
            peer_.events_.on_group_state(at, load);
        }
        void on_process_failed(const ExchangeId& at) override { peer_.events_.on_process_failed(at); }
        void on_release_confirmed(const ExchangeId&, const CallId& call) override {
            peer_.unconfirmed_releases_.confirm(call);
        }

       private:
        Peer& peer_;
        const Connection& connection_;
    };

    struct Reader {  // the reading state of one connection
        ConnectionEvents events;
        SwitchSession session;
        PartialMessage partial;
        std::uint64_t noted_messages = 0;  // by note_pace()
        Instant opened_at = unix_time();
        Reader(Peer& peer, const Connection& connection)
            : events(peer, connection), session(peer.id_, events, peer.counters_) {}
        Reader(const Reader&) = delete;
    };

    struct SetUp {  // one that was sent and is unanswered
        std::shared_ptr<Connection> connection;
        std::uint64_t number;  // of all set-ups to this switch, from 1
    };

    static constexpr std::size_t kMaxPendingReleases = 4096;     // further ones are dropped
    static constexpr std::size_t kMaxUnconfirmedReleases = 512;  // older ones are not sent again

    // Whether a message about the call that came on this connection concerns an earlier set-up of it: the
    // last one still waits for a connection or was sent on another one. A switch sends the answer or the
    // refusal of a set-up on the connection of the set-up.
    bool is_stale(const Connection& connection, const CallId& call) const {
        if (std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& w) { return w.first == call; }))
            return true;
        const auto sent = unanswered_.find(call);
        return sent != unanswered_.end() && sent->second.connection.get() != &connection;
    }

    // A stale answer needs no release: its set-up was cancelled, was given up with its connection, or had
    // ended before. A release would end the later set-up.
    void on_answer(const Connection& connection, const CallId& call, std::string_view description) {
        if (is_stale(connection, call)) return note_stale("answer", call);
        unanswered_.erase(call);
        events_.on_answer(id_, call, description);
    }

    // The set-up is forgotten only after the call table has handled its end, as the table may cancel it. It
    // may also have sent the next one by then.
    void on_call_ended(const Connection& connection, const CallId& call, Outcome outcome, Cause cause,
                       const LoadReport& load) {
        if (is_stale(connection, call)) {
            note_stale("end", call);
            return events_.on_group_state(id_, load);
        }
        unconfirmed_releases_.confirm(call);
        const auto ended = unanswered_.find(call);
        const std::uint64_t number = ended == unanswered_.end() ? 0 : ended->second.number;
        events_.on_unattributed_end(id_, call, outcome, cause, load);
        const auto current = unanswered_.find(call);
        if (current != unanswered_.end() && current->second.number == number) unanswered_.erase(current);
    }

    void note_stale(const char* what, const CallId& call) {
        ++counters_.stale_messages;
        log_.line(std::string(what) + " at " + id_ + " ignored: the set-up is on another connection", call);
    }

    // It is sent again if the connection ends before the switch has confirmed it.
    void send_release(Connection& connection, const CallId& call) {
        unconfirmed_releases_.add(&connection, call, call, Clock::now());
        connection.send(SwitchSession::release_frame(call));
    }

    // A release of an earlier attempt of the call must not be sent again after this.
    void send_set_up(const CallId& call, protocol::Frame frame) {
        unconfirmed_releases_.confirm(call);
        if (!connection_->send_if_room(std::move(frame))) {
            ++counters_.set_ups_without_room;
            return events_.on_call_ended(id_, call, Outcome::unreachable, Cause::none, {});
        }
        if (!first_set_up_since_read_) first_set_up_since_read_ = Clock::now();
        unanswered_[call] = {connection_, ++last_set_up_number_};
    }

    // Ends the unanswered set-ups of a closed connection, or of all if it is null. Each is also released on
    // the next connection: if its answer was lost, the call would hold circuits at the switch that nobody
    // uses.
    void fail_unanswered(const std::shared_ptr<Connection>& connection) {
        std::vector<CallId> lost;
        for (const auto& [call, sent] : unanswered_)
            if (!connection || sent.connection == connection) lost.push_back(call);
        for (const CallId& call : lost) {
            unanswered_.erase(call);
            log_.line("set-up at " + id_ + " lost with its connection", call);
            release(call);
            events_.on_call_ended(id_, call, Outcome::reset, Cause::none, {});
        }
    }

    // Keeps the peer alive: the list may have removed it before the coroutine starts.
    static asio::awaitable<void> run(std::shared_ptr<Peer> self) { co_await self->keep_connected(); }

    // Serves one carrier switch until stop(): dials it while there is no connection, or only a silent one, or
    // when a refresh is due.
    asio::awaitable<void> keep_connected() {
        const auto endpoint = to_endpoint(address_);
        Duration pause = kMinReconnectPause;
        while (!stopped_) {
            const bool is_refresh = connection_ && !is_silent() && is_refresh_due();
            if (connection_ && !is_silent() && !is_refresh) {
                timer_.expires_after(kConnectionCheckInterval);
                co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
                continue;
            }
            tcp::socket socket(io_);
            boost::system::error_code error = asio::error::invalid_argument;
            const auto dialled_at = Clock::now();
            if (endpoint) error = co_await dial(socket, *endpoint);
            if (stopped_) co_return;
            if (!error) {
                if (refresh_at_ && dialled_at >= *refresh_at_) refresh_at_.reset();
                was_connected_ = true;
                pause = kMinReconnectPause;
                connection_ && connection_->is_open() && is_refresh ? use_for_refresh(std::move(socket))
                                                                    : use_connection(std::move(socket));
            } else {
                handle_failed_dial(error);
            }
            // Pauses after a successful dial too, since the far end may close each connection at once.
            timer_.expires_after(waiting_.empty() ? pause : kReconnectPauseWithSetUps);
            pause = std::min(2 * pause, connect_time_out_);
            co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    // Connects within a limit that doubles with each time-out, since the switch may only be slow to accept.
    // The set-ups that wait for the connection don't wait for longer than a connect time-out.
    asio::awaitable<boost::system::error_code> dial(tcp::socket& socket, tcp::endpoint endpoint) {
        Duration limit = dial_limit_in_time_outs_ * connect_time_out_;
        if (was_connected_) limit = std::clamp(time_until_dead(), connect_time_out_, limit);
        asio::steady_timer late(io_, connect_time_out_);
        late.async_wait([weak = weak_from_this()](const boost::system::error_code& cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self || self->stopped_ || !self->is_dialling_) return;
            self->is_dial_late_ = true;
            self->fail_waiting(Outcome::unreachable);
        });
        is_dialling_ = true;
        const auto error = co_await connect(socket, endpoint, limit);
        late.cancel();
        is_dialling_ = is_dial_late_ = false;
        const bool timed_out = error == asio::error::timed_out;
        dial_limit_in_time_outs_ = timed_out ? std::min(2 * dial_limit_in_time_outs_, kMaxDialInTimeOuts) : 1;
        co_return error;
    }

    // How long the switch may still say nothing before it counts as dead.
    Duration time_until_dead() const {
        return std::chrono::duration_cast<Duration>(last_read_ + kDeadInTimeOuts * connect_time_out_ -
                                                    Clock::now());
    }

    void handle_failed_dial(const boost::system::error_code& error) {
        fail_waiting(Outcome::unreachable);
        const bool has_connection = connection_ && connection_->is_open();
        // Refused after a connection had been up, and none is open any more: no process listens, so the
        // process that had the calls is gone.
        bool dead = error == asio::error::connection_refused && !has_connection;
        // Over a cut link no release arrives, and calls would be counted as standing for ever. After such a
        // long silence on old and new connections the switch must have dropped them.
        if (error == asio::error::timed_out) dead = time_until_dead() <= Duration::zero();
        if (dead && std::exchange(was_connected_, false)) events_.on_process_failed(id_);
        if (!has_connection || !refresh_at_) return;
        const Duration pause = kCloseSettleTime * (1 << failed_refresh_dials_);
        refresh_at_ = Clock::now() + pause;
        if (++failed_refresh_dials_ >= kMaxRefreshDials) refresh_at_.reset();
    }

    // Whether a further connection is to be opened, on which the switch repeats releases. Without a standing
    // call there is nothing to repeat. Descriptors are left for the connections that carry set-ups.
    bool is_refresh_due() {
        if (!refresh_at_ || Clock::now() < *refresh_at_) return false;
        const bool has_room = connection_counts_->open < connection_counts_->max_for_refresh;
        if (!has_room || !events_.has_standing_calls(id_)) refresh_at_.reset();
        return refresh_at_.has_value();
    }

    // Whether nothing has come for a connect time-out after a set-up was sent, or for kSilenceInTimeOuts of
    // them if the switch was ever used. A second connection then finds out whether the connection is broken
    // or the machine is silent.
    bool is_silent() const {
        const auto now = Clock::now();
        return (first_set_up_since_read_ && now - *first_set_up_since_read_ >= connect_time_out_) ||
               (has_had_set_ups_ && now - last_read_ >= kSilenceInTimeOuts * connect_time_out_);
    }

    static asio::awaitable<void> watch_for_stalls(std::shared_ptr<Peer> self) {
        while (!self->stopped_) {
            self->close_stalled();
            self->stall_timer_.expires_after(kConnectionCheckInterval);
            co_await self->stall_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    // Closes connections on which a message has stopped half-way, since answers to further set-ups would wait
    // behind it for ever. If the message was only late, this closes a working connection, and the set-ups on
    // it are repeated on the next one, where messages may take longer.
    void close_stalled() {
        const auto now = Clock::now();
        bool found = false;
        for (const auto& [connection, reader] : readers_) {
            if (!connection->is_open() ||
                !reader->partial.is_older_than(message_time(message_time_limit_), reader->session, now))
                continue;
            connection->close(CloseReason::stalled);
            found = true;
        }
        if (!found) return;
        message_time_limit_ = std::min(2 * message_time_limit_, kMaxMessageTime);
        quick_messages_ = 0;
    }

    Duration message_time(int half_time_outs) const { return half_time_outs * connect_time_out_ / 2; }

    // To be called with each read, before the session handles the bytes.
    void note_pace(Reader& reader, Clock::time_point now) {
        quick_messages_ += reader.session.whole_messages() - reader.noted_messages;
        reader.noted_messages = reader.session.whole_messages();
        if (reader.partial.is_older_than(message_time(kMinMessageTime), reader.session, now))
            quick_messages_ = 0;
        if (quick_messages_ >= kQuickMessagesForShortestLimit) message_time_limit_ = kMinMessageTime;
    }

    // Sends on the new connection from now on. The one before, which is silent, is read further, as its
    // set-ups may still be answered there.
    void use_connection(tcp::socket socket) {
        if (connection_) listening_.push_back(connection_);
        for (std::size_t i = 0; i + kMaxListeningConnections < listening_.size(); ++i)
            listening_[i]->close(CloseReason::superseded);
        connection_ = start_reading(std::move(socket), "");
        last_read_ = Clock::now();
        first_set_up_since_read_.reset();
        for (const CallId& call : std::exchange(pending_releases_, {})) send_release(*connection_, call);
        for (auto& [call, frame] : std::exchange(waiting_, {})) send_set_up(call, std::move(frame));
    }

    // Reads the new connection and sends nothing on it: the switch repeats releases there. Closes no other
    // one, as each connection that ends asks for another refresh.
    void use_for_refresh(tcp::socket socket) {
        ++counters_.switch_refreshes;
        listening_.push_back(start_reading(std::move(socket), " to hear releases"));
    }

    std::shared_ptr<Connection> start_reading(tcp::socket socket, const char* purpose) {
        ++counters_.switch_connections;
        const std::uint64_t number = ++connection_counts_->last_number;
        ++connection_counts_->open;
        log_.line("connection " + std::to_string(number) + " to " + id_ + " up" + purpose + ", sends " +
                  std::to_string(pending_releases_.size()) + " releases and " +
                  std::to_string(waiting_.size()) + " set-ups that waited");
        auto connection = std::make_shared<Connection>(std::move(socket), queue_budget_, counters_);
        spawn(io_, read_messages(shared_from_this(), connection, number));
        return connection;
    }

    // Reads one connection to a carrier switch until the switch closes it, a message is malformed,
    // close_stalled() or a later connection closes it, or the peer is stopped.
    static asio::awaitable<void> read_messages(std::shared_ptr<Peer> self,
                                               std::shared_ptr<Connection> connection, std::uint64_t number) {
        Reader reader(*self, *connection);
        self->readers_[connection] = &reader;
        co_await connection->read_into(reader.session, [&] {
            self->last_read_ = Clock::now();
            self->first_set_up_since_read_.reset();
            self->was_connected_ = true;
            if (std::exchange(self->refreshes_when_read_, false)) self->schedule_refresh();
            self->note_pace(reader, self->last_read_);
            reader.partial.on_read(reader.session, self->last_read_);
        });
        self->readers_.erase(connection);
        connection->close();
        --self->connection_counts_->open;
        if (self->stopped_) co_return;
        self->log_.line("connection " + std::to_string(number) + " to " + self->id_ +
                        " lost: " + std::string(to_string(connection->close_reason())));
        ++self->counters_.switch_connections_lost;
        if (connection->close_reason() == CloseReason::superseded)
            self->refreshes_when_read_ = true;
        else
            self->schedule_refresh();
        std::erase(self->listening_, connection);
        if (connection == self->connection_) {
            self->connection_ = nullptr;
            self->timer_.cancel();
        }
        self->repeat_releases(*connection);
        self->fail_unanswered(connection);
    }

    // Sends releases again that were sent on a connection that has ended and may not have been read.
    void repeat_releases(const Connection& ended) {
        const auto unread = unconfirmed_releases_.take(&ended, ended.end(), Clock::now());
        counters_.releases_repeated += unread.size();
        for (const CallId& call : unread) {
            log_.line("release at " + id_ + " may be lost with its connection, sent again", call);
            release(call);
        }
    }

    asio::io_context& io_;
    asio::steady_timer timer_, stall_timer_;
    ExchangeId id_;
    std::string address_;
    Instant process_start_;  // of the switch's, as the list has it
    Duration connect_time_out_;
    QueueBudget queue_budget_;
    SwitchEvents& events_;
    Counters& counters_;
    const calls::CallLog& log_;
    std::shared_ptr<ConnectionCounts> connection_counts_;
    std::shared_ptr<Connection> connection_;             // the newest, on which set-ups are sent
    std::deque<std::shared_ptr<Connection>> listening_;  // only read; the oldest first
    std::optional<Clock::time_point> refresh_at_;        // when a connection is to be opened to hear releases
    int failed_refresh_dials_ = 0;
    bool refreshes_when_read_ = false;                          // a silent switch is not dialled more often
    std::map<std::shared_ptr<Connection>, Reader*> readers_;    // owned by their coroutines
    std::optional<Clock::time_point> first_set_up_since_read_;  // when it was sent
    Clock::time_point last_read_{};                             // on any connection
    std::map<CallId, SetUp> unanswered_;
    std::uint64_t last_set_up_number_ = 0;
    bool has_had_set_ups_ = false;                             // a switch without set-ups may be silent
    std::vector<std::pair<CallId, protocol::Frame>> waiting_;  // set-ups for the next connection
    std::vector<CallId> pending_releases_;
    calls::UnconfirmedReleases<CallId, Clock::time_point> unconfirmed_releases_{kMaxUnconfirmedReleases};
    int dial_limit_in_time_outs_ = 1;
    bool is_dialling_ = false, is_dial_late_ = false;  // late: it takes longer than a connect time-out
    int message_time_limit_ = kMinMessageTime;         // in half connect time-outs
    std::uint64_t quick_messages_ = 0;                 // in a row
    bool was_connected_ = false;  // or read from, since the start or since the process was reported dead
    bool stopped_ = false;
};

SwitchConnections::SwitchConnections(asio::io_context& io, Duration connect_time_out,
                                     std::size_t max_queue_bytes, std::size_t max_connections,
                                     Counters& counters)
    : io_(io),
      connect_time_out_(connect_time_out),
      queue_budget_(std::make_shared<SharedBudget>(max_queue_bytes)),
      counters_(counters),
      connection_counts_(std::make_shared<ConnectionCounts>()) {
    connection_counts_->max_for_refresh = max_connections;
}

SwitchConnections::~SwitchConnections() = default;

void SwitchConnections::apply_list(const ListEvent& event) {
    std::set<ExchangeId> listed;
    for (const auto& [entry, address] : event.entries) {
        if (entry.state == ExchangeState::gone) {
            remove(entry.exchange);
            continue;
        }
        listed.insert(entry.exchange);
        const auto at = peers_.find(entry.exchange);
        if (at != peers_.end() && at->second->address() == address) {
            at->second->set_process_start(entry.started);
            // A set-up that waits for a connection must not be sent long after the drain was announced.
            if (entry.state == ExchangeState::draining) at->second->fail_waiting(Outcome::not_sent);
            continue;
        }
        remove(entry.exchange);
        auto peer = std::make_shared<Peer>(io_, entry.exchange, address, entry.started, connect_time_out_,
                                           queue_budget_, *events_, counters_, log_, connection_counts_);
        peers_[entry.exchange] = peer;
        peer->start();
    }
    if (event.kind == ListKind::changes) return;
    std::vector<ExchangeId> missing;
    for (const auto& [id, peer] : peers_)
        if (!listed.count(id)) missing.push_back(id);
    for (const ExchangeId& id : missing) remove(id);
}

void SwitchConnections::on_predecessor_ended() {
    for (const auto& [id, peer] : peers_) peer->schedule_refresh();
}

void SwitchConnections::expect_calls_at(const ExchangeId& id) {
    if (const auto peer = peers_.find(id); peer != peers_.end()) peer->second->expect_calls();
}

void SwitchConnections::set_connect_time_out(Duration time_out) {
    connect_time_out_ = time_out;
    for (const auto& [id, peer] : peers_) peer->set_connect_time_out(time_out);
}

void SwitchConnections::remove(const ExchangeId& id) {
    const auto at = peers_.find(id);
    if (at == peers_.end()) return;
    const auto peer = at->second;
    peers_.erase(at);
    peer->stop();
}

void SwitchConnections::stop() {
    for (const auto& [id, peer] : std::exchange(peers_, {})) peer->stop();
}

bool SwitchConnections::is_idle() const {
    return std::all_of(peers_.begin(), peers_.end(), [](const auto& p) { return p.second->is_idle(); });
}

void SwitchConnections::set_up(const ExchangeId& at, const OutgoingSetUp& request) {
    const auto peer = peers_.find(at);
    if (peer != peers_.end()) return peer->second->set_up(request);
    events_->on_call_ended(at, request.call, Outcome::unreachable, Cause::none, {});
}

void SwitchConnections::cancel(const ExchangeId& at, const CallId& call) {
    if (const auto peer = peers_.find(at); peer != peers_.end()) peer->second->cancel(call);
}

void SwitchConnections::release(const ExchangeId& at, const CallId& call) {
    if (const auto peer = peers_.find(at); peer != peers_.end()) peer->second->release(call);
}

}  // namespace nettlestall::net
