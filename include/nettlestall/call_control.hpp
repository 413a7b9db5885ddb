// The call control of one exchange in a mesh of switches: it decides which calls are accepted and over which
// route each one is set up.
//
// The host hands every event to CallControl::handle with its own clock and carries out the actions that come
// back, in order. Nothing here does I/O, reads a clock or starts a thread.
// All decisions are in src/call_control.cpp.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace nettlestall {

using Duration = std::chrono::microseconds;
using Instant = std::chrono::microseconds;  // since an origin that the host chooses; never decreases
using CallId = std::string;
using ExchangeId = std::string;  // one machine; a machine that replaces it has another id

constexpr int kNoExchange = -1;  // no exchange number

// ---- Settings: what is known at the start -------------------------------------------------------

// Whether an attempt that may already have run may be sent again: `safe` always, `discarded_by_group` where
// the receivers discard repeats, `never`.
enum class RepeatPolicy { safe, discarded_by_group, never };
// Which receivers discard repeats together.
enum class RepeatScope { all, zone, exchange };

// One service class. The decisions do not use late_worth, aim_stretch, width (each call brings its own),
// repeat_scope and repeat_window.
struct ClassSettings {
    std::string name;
    double worth = 1.0;       // value of a call that is answered within the aim
    double late_worth = 0.0;  // share of the worth if the call is set up after the aim
    Duration aim{};           // answer-time target
    // Counted from the first offer. After it an answer is worth nothing, and the call should have had its
    // final answer. The decisions use it only for redials: a later call to the same number counts as a new
    // call. When a call must have its answer follows from CallOffered::time_left. The program also derives
    // from it how long a process that was told to stop may go on.
    Duration deadline{};
    double aim_stretch = 0.0;  // the aim grows by this multiple of the call's expected work
    int width = 1;             // circuits on each trunk group
    Duration holding_time{};   // mean; zero if unknown
    RepeatPolicy repeat = RepeatPolicy::safe;
    RepeatScope repeat_scope = RepeatScope::all;
    Duration repeat_window{};  // how long repeats are discarded
    std::vector<int> pools;    // pools that may serve it; empty: all
};

// One tenant. The decisions make no difference between tenants.
struct TenantSettings {
    std::string name;
    double quota_per_second = 0.0;  // over all call controls; zero: no quota
    double share = 0.0;             // the tenant's part of all calls, from 0 to 1
};

// What each of these costs in points of service if it occurs at its full rate. Not used by the decisions.
struct Prices {
    double late_failure = 0.0, wasted_work = 0.0, probe = 0.0, peer_message = 0.0, discovery = 0.0;
    double cross_zone = 0.0;
};

// All settings of one call control. Several fields describe the network or what is allowed there, and are not
// used by the decisions.
struct Settings {
    int own_exchange = kNoExchange;  // kNoExchange where the far ends are pools
    int own_index = 0;               // of this call control among all of them
    int call_control_count = 1;      // call controls in the network, this one included
    std::string own_zone;
    bool uses_pools = false;  // pools of agents instead of a mesh: no transit
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    // Factor on the worth of a tenant's calls beyond its share; 1: no difference. Not used by the decisions.
    double over_share_worth = 1.0;
    Duration min_event_interval{};  // events come no more often than this

    int max_attempts = 1;    // for each call
    int max_open_calls = 0;  // zero: no limit
    bool may_cancel = false, may_probe = false, may_message_peers = false, may_advise_pause = false;
    bool may_duplicate = false;
    Duration max_pause{};  // longest pause that callers honour

    bool list_on_request = false;        // the exchange list must be requested, it is not sent unasked
    Duration list_request_time_limit{};  // within which the list must be requested
    bool callers_mark_redials = false;
    // Calls name the tandem that had the most free circuits when a centre last looked.
    bool centre_advises_tandem = false;
    bool reports_wait = false;          // a full processor names the time to wait
    Duration set_up_repeat_interval{};  // a waiting set-up is sent again after this; zero: never
    bool reports_load = false;          // in the ends of attempts
    bool reports_load_on_probe = false;

    Duration answer_grace{};        // slack after the deadline within which a final answer counts
    Duration drain_grace{};         // until set-ups to a draining or gone exchange must have stopped
    Duration release_wait{};        // after a time-out, reset or cancel, until the call may be sent again
    double cold_start_share = 1.0;  // share of its capacity that a processor has at least when it starts
    Duration warm_up_time{};        // from the start of a processor until it has its full capacity
    // The overload rule: a processor fails if it is sent more than overload_multiple times its present
    // capacity for overload_span. A span of zero: there is no such rule.
    double overload_multiple = 0;
    Duration overload_span{};
    Prices prices;
};

// ---- Events --------------------------------------------------------------------------------------

// What an exchange reports of its load. Negative: not reported.
struct LoadReport {
    int free_circuits = -1;
    int group_size = -1;  // circuits
    double busy_messages = -1, waiting_messages = -1, utilisation = -1, wait_ms = -1;
    double max_set_ups_per_second = -1;  // new set-ups that it can handle, from all senders together
    double throttle_share = -1;          // share of new set-ups that each sender is asked to hold back
};

// A caller offers a call. It gets one final answer: a set-up that is answered (CallAnswered), Refuse or Fail.
// An id that is still in use is ignored.
struct CallOffered {
    CallId call{};
    int destination = kNoExchange;
    int width = 1;  // circuits
    int service_class = 0;
    int tenant = 0;
    int advised_exchange = kNoExchange;   // tandem or pool named by the centre
    int previous_exchange = kNoExchange;  // in transit: the exchange that it comes from
    Duration time_left{};                 // until this attempt of the caller must have its final answer
    Duration expected_work{};
    bool transit = false;
    bool is_reconnect = false;    // it was answered, was cut and is offered again
    bool redial = false;          // where callers mark redials
    std::string called_number{};  // may be empty
    std::string caller{};         // identifies who has sent it; empty: not known
};

// A set-up was answered.
struct CallAnswered {
    CallId call;
    int attempt = 0;
    ExchangeId exchange;
    Duration response_time{};  // from the set-up to the answer
};

// How an attempt ended.
enum class Outcome { ended, failed, rejected, timed_out, unreachable, reset, cancelled, not_sent };
// Why it ended. Two of these come from a tandem and not from the destination: `rejected_by_tandem`, and
// `far_processor_full` where the tandem found the processor behind it full.
enum class Cause { none, no_circuit, rejected_by_tandem, far_processor_full, processor_full, number_busy };

// An attempt or an answered call is over.
struct AttemptEnded {
    CallId call{};
    int attempt = 0;
    ExchangeId exchange{};
    Outcome outcome = Outcome::ended;
    Cause cause = Cause::none;
    Duration requested_wait{};  // time that a full processor asks senders to wait
    bool final = false;         // the call is finished, by this attempt or an earlier one
    // The attempt was cancelled too, since the reported end may be that of an earlier attempt: it may have
    // run, and the release wait applies.
    bool withdrawn = false;
    Duration response_time{};  // from the set-up to this end
    LoadReport load{};
};

// The caller left before the final answer.
struct CallAbandoned {
    CallId call;
};

// The circuits toward an exchange changed, or a probe was answered.
struct ExchangeReport {
    ExchangeId exchange;
    bool answered = true;  // false: a probe failed
    bool probe = false;
    Duration response_time{};
    LoadReport load{};
};

enum class ExchangeState { ready, draining, gone };
// One machine in the exchange list.
struct ExchangeEntry {
    ExchangeId exchange;
    int number = kNoExchange;
    ExchangeState state = ExchangeState::ready;
    Instant started{};  // zero: long ago
    std::string zone{};
    std::string kind{};
    double size = 1.0;
    bool never_tandem = false;  // it has subscriber lines only and passes no calls on
};

// What the entries of a list are: the changes since the last list, all exchanges, all exchanges as a cache
// had them, or nothing, since the request failed.
enum class ListKind { changes, complete, cached, failed };
struct ExchangeList {
    ListKind kind = ListKind::complete;
    std::int64_t version = 0;
    std::vector<ExchangeEntry> entries;
};

// A message from another call control.
struct PeerMessage {
    int from = 0;  // its index
    std::vector<std::uint8_t> bytes;
};

// A timer of SetTimer has expired.
struct TimerExpired {
    std::int64_t token = 0;
};

using Event = std::variant<CallOffered, CallAnswered, AttemptEnded, CallAbandoned, ExchangeReport,
                           ExchangeList, PeerMessage, TimerExpired>;

// ---- Actions -------------------------------------------------------------------------------------

// Send a set-up: to the destination on the direct route, to another exchange with it as the tandem.
struct SetUp {
    CallId call;
    ExchangeId exchange;
    Duration time_out{};
};
// Final answer: the call is refused. The caller may dial again, after the pause if one is advised.
struct Refuse {
    CallId call;
    Duration pause{};  // zero: none advised
};
// Final answer: the call failed and may already have run.
struct Fail {
    CallId call;
};
// Cancel an attempt.
struct Cancel {
    CallId call;
    int attempt = 0;
};
// Ask an exchange for a report.
struct Probe {
    ExchangeId exchange;
};
// Send a message to other call controls.
struct SendPeerMessage {
    int to = kNoExchange;  // index of the receiver; kNoExchange: all
    std::vector<std::uint8_t> bytes;
};
// Deliver TimerExpired with this token after the delay.
struct SetTimer {
    Duration delay{};
    std::int64_t token = 0;
};
// Start or end the subscription to the exchange list.
struct SubscribeList {
    bool on = true;
};
// Request the exchange list once.
struct RequestList {};
// Close the idle connection to an exchange.
struct CloseIdleConnection {
    ExchangeId exchange;
};
// Write a line to the log.
struct Note {
    std::string text;
};

using Action = std::variant<SetUp, Refuse, Fail, Cancel, Probe, SendPeerMessage, SetTimer, SubscribeList,
                            RequestList, CloseIdleConnection, Note>;

// Decides on the calls of one exchange. Equal settings, seeds and events give equal actions.
class CallControl {
   public:
    // `seed` starts the random numbers.
    CallControl(Settings settings, std::uint64_t seed);
    ~CallControl();
    CallControl(CallControl&&) noexcept;
    CallControl& operator=(CallControl&&) noexcept;

    // Appends what is to be done to `actions`. `now` must not decrease from one event to the next. Every
    // event may also bring actions for calls that wait, since time has passed. Besides that, an event on an
    // unknown call or exchange has no effect, with three exceptions: a call offered to an unknown
    // destination, to the own exchange or with an invalid class or width is refused; the load in AttemptEnded
    // counts even if its call is unknown; and for a known call, CallAnswered and AttemptEnded count for the
    // exchange that the set-up was sent to, whichever exchange they name.
    void handle(Instant now, const Event& event, std::vector<Action>& actions);

    // Whether these settings are for the same exchange, the same kind of far ends (exchanges or pools) and
    // classes of the same names in the same order. Only then may they be applied in service, since the
    // learned tables and the calls in hand refer to classes by position.
    bool can_apply(const Settings& settings) const;
    // Replaces the settings; can_apply must hold for them.
    void apply(Settings settings);

    // Exchanges in the list that are avoided at present: those that drain get no new set-ups; those that were
    // silent or full and have not answered since get a trial set-up now and then.
    std::size_t avoided_exchange_count() const;

    // Entries in all tables that grow with calls and exchanges, to test that they are bounded.
    std::size_t table_entry_count() const;
    // How many waiting calls all events up to now have gone through: a measure of the work.
    std::uint64_t scanned_calls() const;

   private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestall
