// The call table. It turns what comes from callers, carrier switches and the control feed into events for the
// decision module (CallControl), and carries out the module's actions as set-ups, cancellations and final
// answers. It makes no decision of its own, does no I/O and knows no message format. It reads the time from
// the Clock that it is given; the owner calls run_timers() at the times that the timer handler announces.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "calls/call_log.hpp"
#include "calls/held_releases.hpp"
#include "calls/signals.hpp"
#include "calls/taken_ids.hpp"
#include "calls/tried_exchanges.hpp"
#include "calls/unconfirmed_releases.hpp"
#include "counters.hpp"
#include "shared_budget.hpp"

namespace nettlestall::calls {

// The call table. A call is in it from its set-up until its final answer, or until its end if it is answered.
class Gatekeeper final : public CallerEvents, public SwitchEvents, public CallTable {
   public:
    using Clock = std::function<Instant()>;

    // Limits that keep the memory bounded. Beyond them a set-up is refused at once, with the cause after
    // which a caller may dial again.
    struct Bounds {
        // Bytes that all calls without a final answer hold: their entries in the tables, their texts, and
        // all copies of these.
        std::size_t max_set_up_bytes = 32 * 1024 * 1024;
        std::size_t max_calls = 1'000'000;  // calls without a final answer and standing calls
    };
    // `switches` and `counters` have to outlive the gatekeeper. `seed` is for the decision module.
    Gatekeeper(const Settings& settings, std::uint64_t seed, Clock clock, Switches& switches,
               Counters& counters, const Bounds& bounds);

    // `handler` is called with the time of the next timer whenever that is earlier than before, and after
    // each run_timers() that leaves timers.
    void set_timer_handler(std::function<void(Instant)> handler) { timer_handler_ = std::move(handler); }
    // `handler` gets texts for the log: notes of the decision module, and a note when the table is full.
    void set_note_handler(std::function<void(const std::string&)> handler) {
        note_handler_ = std::move(handler);
    }

    // `handler` gets the lines of the log that concern a call.
    void set_call_log_handler(CallLog::Handler handler) { call_log_.set_handler(std::move(handler)); }

    // Applies a change to the list of exchanges. Standing calls at an exchange that has gone or was started
    // anew are cut.
    void apply_list(const ListEvent& event);
    // Handles all timers that have expired.
    void run_timers();

    // Settings can be changed while the gatekeeper serves: calls, timers and what the decision module has
    // learned are kept. apply_settings() requires can_apply().
    bool can_apply(const Settings& settings) const { return control_.can_apply(settings); }
    void apply_settings(const Settings& settings, const Bounds& bounds);

    // From now on health checks fail, so that the load balancer sends no more callers. Set-ups that come
    // nevertheless are handled, with a time limit that ends at `end` at the latest.
    void begin_shutdown(Instant end) { shutting_down_ = true, shutdown_end_ = end; }

    // From drain() to undrain() health checks fail, so that the load balancer sends callers elsewhere. Calls
    // in the table go on.
    void drain();
    void undrain() { drain_.reset(); }
    // Whether the load balancer has had enough time to react to the drain: connections of callers without an
    // open set-up may now be closed.
    bool can_close_callers() const;

    // Hands over to the process that replaces this one: all standing calls now, and later each call that is
    // answered. Set-ups that were accepted here get their final answer here. Unless the gatekeeper drains,
    // health checks pass until this process ends, since to the load balancer both processes are one
    // gatekeeper. Null: the successor has gone.
    void hand_over_to(Successor* successor);
    // Adds a standing call that the predecessor process has handed over or that the circuit ledger holds.
    // `link` gets the call's release; null: a connection of the caller gets it. A call at an exchange that is
    // not in the list is cut at once. A call that is in the table already stays as it is. `age`: since its
    // set-up was sent; std::nullopt: not known.
    void accept_standing(const ExchangeId& exchange, const CallId& call, const CallerAddress& caller,
                         CallerLink* link = nullptr, std::optional<Duration> age = std::nullopt);
    // Releases a standing call: its caller's release came to the predecessor process.
    void accept_release(const CallId& call);
    // Has releases for callers whose connections the predecessor still holds sent there. Null: it has gone.
    void use_predecessor(Predecessor* predecessor);
    // The predecessor has tried to send a release.
    void on_release_relayed(const CallId& call, bool is_delivered);
    // The other process of an upgrade has taken a set-up with this id.
    void on_set_up_taken(const CallId& call, Duration time);
    // Sends a release for the successor. False: the caller has no connection here.
    bool deliver_release(const CallId& call, const CallerAddress& caller, ReleaseReason reason);

    struct OldCall {
        CallId call;
        ExchangeId exchange;
        Duration age;  // since its set-up was sent, or since this process took it over
    };
    // The oldest standing calls, the oldest first.
    std::vector<OldCall> oldest_calls(std::size_t max_count) const;

    // How many calls have no final answer yet, and how many there are with the standing ones.
    std::size_t unanswered_calls() const { return unanswered_calls_; }
    std::size_t calls() const { return calls_.size(); }
    // Counts of the final answers that callers were sent, for one service class.
    struct Replies {
        std::string service_class;
        std::uint64_t served = 0, refused = 0, failed = 0;  // served: the call was answered
    };
    const std::vector<Replies>& replies() const { return replies_; }
    std::size_t listed_exchanges() const { return exchanges_.size(); }
    // How many of the listed exchanges the decision module gives no new set-ups at present.
    std::size_t avoided_exchanges() const { return control_.avoided_exchange_count(); }
    // How many entries all tables have, the decision module's included. Each table is bounded by the calls
    // and exchanges that are known at the time.
    std::size_t table_entries() const;
    // Refuses every call that has no final answer yet.
    void refuse_all();

    void on_set_up(CallerLink& link, const SetUpRequest& request) override;
    void on_release(CallerLink& link, const CallId& call) override;
    bool is_ready() override;
    void on_caller_connected(CallerLink& link) override;
    void on_caller_disconnected(CallerLink& link, ConnectionEnd end) override;
    void on_release_confirmed(CallerLink& link, const CallId& call) override;

    void on_answer(const ExchangeId& exchange, const CallId& call, std::string_view description) override;
    void on_call_ended(const ExchangeId& exchange, const CallId& call, Outcome outcome, Cause cause,
                       const LoadReport& load) override;
    void on_unattributed_end(const ExchangeId& exchange, const CallId& call, Outcome outcome, Cause cause,
                             const LoadReport& load) override;
    void on_group_state(const ExchangeId& exchange, const LoadReport& load) override;
    void on_process_failed(const ExchangeId& exchange) override;
    bool has_standing_calls(const ExchangeId& exchange) const override;

    const ExchangeId* exchange_of(const CallId& call) const override;
    std::string_view origin_of(const CallId& call) const override;
    std::vector<CallId> calls_at(const ExchangeId& exchange) const override;
    std::vector<CallId> calls_from(const CallerLink& link) const override;

   private:
    // Waiting: no attempt is under way. Attempting: a set-up was sent and its answer is awaited.
    enum class Phase { waiting, attempting, standing };

    struct ModuleTimer {  // set by the decision module
        std::int64_t token;
    };
    struct AttemptTimeout {  // the time limit of an attempt
        CallId call;
        int attempt;  // counted from 1
    };
    struct AnswerDeadline {  // the last time for the call's final answer
        CallId call;
    };
    struct HeldReleaseTimeout {  // the releases for a caller have waited long enough for a certain connection
        std::string origin;
    };
    using Timer = std::variant<ModuleTimer, AttemptTimeout, AnswerDeadline, HeldReleaseTimeout>;
    using Timers = std::multimap<Instant, Timer>;

    struct Call {
        CallerLink* link = nullptr;  // the connection that it came on; null once that was closed
        std::string origin;          // of that connection
        int port = kNoPort;          // likewise
        Phase phase = Phase::waiting;
        bool transit = false, is_reconnect = false, redial = false;
        int destination = kNoExchange, width = 1;
        std::string service_class, number;
        Description description;
        std::size_t set_up_bytes = 0;            // counted for it; zero once it has its final answer
        int attempts = 0;                        // set-ups that were sent for it or held back
        std::vector<ExchangeId> tried;           // where they were sent; emptied with the final answer
        ExchangeId exchange;                     // of the attempt under way or of the standing call
        bool has_earlier_attempt_there = false;  // at the same exchange
        bool may_have_run = false;               // an attempt may have
        bool is_age_known = true;
        bool taken_over = false;  // from another process, whose attempts for it are not known here
        Instant sent_at{};        // when that attempt was sent or the standing call was taken over
        Instant not_before{};     // no attempt before this: the exchange may not have released the last one
        Instant answer_deadline{};
        std::optional<Timers::iterator> answer_timer, attempt_timer;  // std::nullopt: not set
    };
    using Calls = std::map<CallId, Call>;

    struct Exchange {
        ExchangeState state = ExchangeState::ready;
        Instant started{};         // the start of its process
        int number = kNoExchange;  // exchange number
        bool group_known = false;  // the state of the circuits toward it was reported
    };

    // Passes the event to the decision module and carries out the actions that come back. Events that the
    // actions cause are handled in the same way, after all actions that came before.
    void handle_event(Event event);
    // Whether a drain has lasted so long that new set-ups are refused.
    bool refuses_set_ups() const;
    // Adds an event to those that handle_event() still has to handle.
    void queue_event(Event event) { events_.push_back(std::move(event)); }
    // Adds a timer, and calls the timer handler if it is the earliest.
    Timers::iterator schedule(Instant when, Timer timer);
    // Removes a timer, if it is set.
    void cancel_timer(std::optional<Timers::iterator>& timer);
    void on_timer(const ModuleTimer& timer);
    void on_timer(const AttemptTimeout& timer);
    void on_timer(const AnswerDeadline& timer);
    void on_timer(const HeldReleaseTimeout& timer);

    void carry_out(const SetUp& action);
    void carry_out(const Refuse& action);
    void carry_out(const Fail& action);
    void carry_out(const Cancel& action);
    void carry_out(const SetTimer& action);
    void carry_out(const Note& action);
    // Nothing is to be done for these: the protocol has no message for probes or for messages between
    // gatekeepers, the control feed sends the list without a request, and the one connection to each carrier
    // switch stays open.
    void carry_out(const Probe&) {}
    void carry_out(const SendPeerMessage&) {}
    void carry_out(const SubscribeList&) {}
    void carry_out(const RequestList&) {}
    void carry_out(const CloseIdleConnection&) {}

    // Whether the rules allow an attempt at this exchange now.
    bool can_set_up(const Call& call, const ExchangeId& exchange) const;
    // Reports the outcome of a call's attempt to the decision module; the call waits for another attempt.
    // `withdrawn`: as in AttemptEnded.
    void end_attempt(Calls::iterator entry, Outcome outcome, Cause cause, const LoadReport& load,
                     bool withdrawn = false);
    // Whether an end with that outcome, which names only the call, may be that of an earlier attempt.
    static bool is_ambiguous(const Call& call, Outcome outcome);
    // Whether the call has an attempt or stands at the exchange.
    bool is_at(Calls::iterator entry, const ExchangeId& exchange) const;
    // Removes a standing call; the caller is sent its release if `notify_caller`.
    void end_standing(Calls::iterator entry, Outcome outcome, const LoadReport& load, bool notify_caller);
    // Refuses or fails a call that has no final answer, and removes it. An attempt under way is cancelled.
    void send_final_answer(const CallId& call, ReleaseReason reason);
    // Removes a call whose caller waits no longer. An attempt under way is cancelled.
    void abandon(Calls::iterator entry);
    // To be called before a call without an answer is removed.
    void remember_tried(const CallId& id, Call& call);
    // To be called when a call is removed: keeps its id from being taken again, here and in the other process
    // of an upgrade.
    void remember_id(const CallId& id, const Call& call);
    // Tells the other process of an upgrade, if there is one.
    void announce_set_up(const CallId& id, Duration time);
    // Sends the caller of a standing call its release.
    void release_caller(const CallId& id, const Call& call, ReleaseReason reason);
    // Sends the release of a standing call on this connection, and again on another one if this one ends
    // before the caller has confirmed it.
    void send_release(CallerLink& link, CallerRelease release);
    // Sends a release on any connection on which its caller has placed a call, or holds it until there is
    // one.
    void send_or_hold(CallerRelease release);
    // Has the successor send a release whose caller has no connection here any more.
    void pass_to_successor(const CallerRelease& release);
    // The connection itself; null: it is not here.
    CallerLink* find_connection(const CallerAddress& caller) const;
    // The caller's newest connection on which it has placed a call; null: there is none.
    CallerLink* find_calling_connection(std::string_view origin) const;
    // The caller's newest connection that is no health check's; null: there is none.
    CallerLink* find_unused_connection(std::string_view origin) const;
    // Sends all releases that were held for the connection's caller.
    void send_held_releases(CallerLink& link);
    // To be called when a connection has shown that a caller with calls uses it.
    void note_calling(CallerLink& link);
    // Remembers that a call is over which the predecessor may be about to hand over. `exchange`: where it has
    // ended; empty if its caller has released it.
    void remember_early_end(const CallId& call, const ExchangeId& exchange);
    // Gives the connection the standing calls that were set up on it in the predecessor process.
    void adopt_calls(CallerLink& link);
    // To be called when a call has its final answer or needs none: ends its timers, and frees its description
    // and number, which only attempts need.
    void close_set_up(Call& call);
    // The bytes that a set-up holds until its final answer.
    static std::size_t set_up_bytes(const SetUpRequest& request);
    // Gives a standing call to the successor and removes it.
    void hand_over(Calls::iterator entry);
    // Gives a standing call that has no link its link.
    void adopt_link(Calls::iterator entry, CallerLink* link);
    // Fails a call whose answer has come but can't be queued for its caller, and removes it.
    void fail_unsendable_answer(Calls::iterator entry);
    // Releases a standing call at its exchange, for its caller, and removes it.
    void release_standing(Calls::iterator entry);
    // Sends the final answer to the caller and counts it, if the caller's connection is still there.
    void refuse_or_fail(CallerLink* link, const CallId& id, std::string_view service_class,
                        ReleaseReason reason);
    void count_reply(std::string_view service_class, std::uint64_t Replies::*reply);
    // Whether the set-up can be served at all.
    static bool is_valid(const SetUpRequest& request, const ClassSettings& service_class);
    // Ends the standing calls at the exchange as cut. `process_start`: only those of processes that started
    // before, as far as known.
    void cut_standing(const ExchangeId& exchange, Instant process_start = Instant::max());
    // Whether Bounds::max_calls is reached. If so, writes a note that names the oldest calls, unless the
    // last such note is recent.
    bool is_table_full();

    Settings settings_;
    CallControl control_;
    Clock clock_;
    Switches& switches_;
    Counters& counters_;
    std::vector<Replies> replies_;  // by class, in the order of the settings
    std::function<void(Instant)> timer_handler_;
    std::function<void(const std::string&)> note_handler_;
    CallLog call_log_;

    Calls calls_;
    TakenIds taken_ids_;
    TriedExchanges tried_exchanges_;  // of calls in transit that are over
    std::size_t unanswered_calls_ = 0;
    SharedBudget set_up_budget_;  // of the unanswered calls; the holders are the callers' connections
    Bounds bounds_;
    Instant next_full_note_{};  // no note of a full table before this
    std::map<ExchangeId, Exchange> exchanges_;
    std::vector<CallerLink*> caller_links_;  // open connections, the newest last
    HeldReleases held_releases_;
    UnconfirmedReleases<CallerRelease, Instant> unconfirmed_releases_{HeldReleases::kMaxUnconfirmed};
    std::map<CallId, CallerRelease> relayed_releases_;  // to the predecessor, which has not replied yet
    std::map<CallId, ExchangeId> early_ends_;           // as remember_early_end() says
    // Standing calls that were handed over, by the connections that are to follow them: origin and port.
    std::map<std::pair<std::string, int>, std::vector<CallId>> calls_to_adopt_;
    std::set<CallId> handed_over_;  // answered calls that the successor owns
    Timers timers_;
    std::deque<Event> events_;  // to be handled
    std::vector<Action> actions_;
    bool handling_events_ = false;
    Instant started_{};
    Successor* successor_ = nullptr;
    Predecessor* predecessor_ = nullptr;
    bool shutting_down_ = false;
    struct Drain {
        Instant since{};
        std::optional<Instant> first_health_check;  // the first one that failed because of the drain
    };
    std::optional<Drain> drain_;
    Instant shutdown_end_ = Instant::max();  // every final answer is due by this
};

}  // namespace nettlestall::calls
