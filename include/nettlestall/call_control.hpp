// nettlestall: the call control of one exchange in a mesh of switches.
//
// The host hands every event to CallControl::handle with its own clock and carries out the actions
// that come back, in order. Nothing here does I/O, reads a clock or starts a thread.
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
using Instant = std::chrono::microseconds;  // since an origin of the host's choosing; never runs back
using CallId = std::string;
using ExchangeId = std::string;  // one machine; a machine that takes its place has another id

constexpr int kNoExchange = -1;  // no exchange number

// ---- Settings: what is known at the start -------------------------------------------------------

enum class RepeatPolicy { safe, discarded_by_group, never };  // may an attempt that perhaps ran be sent again
enum class RepeatScope { all, zone, exchange };               // who discards repeats

struct ClassSettings {
    std::string name;
    double worth = 1.0;
    double late_worth = 0.0;  // share of the worth if set up after the aim
    Duration aim{};
    Duration deadline{};
    double aim_stretch = 0.0;  // aim grows by this multiple of the call's expected work
    int width = 1;             // circuits on each trunk group
    Duration holding_time{};   // mean; zero if not told
    RepeatPolicy repeat = RepeatPolicy::safe;
    RepeatScope repeat_scope = RepeatScope::all;
    Duration repeat_window{};
    std::vector<int> pools;  // pools that may serve it; empty: all
};

struct TenantSettings {
    std::string name;
    double quota_per_second = 0.0;  // over all call controls; zero: none stated
    double share = 0.0;
};

struct Prices {  // points of service, each for its full rate
    double late_failure = 0.0, wasted_work = 0.0, probe = 0.0, peer_message = 0.0, discovery = 0.0;
    double cross_zone = 0.0;
};

struct Settings {
    int own_exchange = kNoExchange;  // kNoExchange where the far ends are pools
    int own_index = 0;
    int call_control_count = 1;  // call controls in the network, this one included
    std::string own_zone;
    bool uses_pools = false;  // pools of agents in place of a mesh: no transit
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    double over_share_worth = 1.0;
    Duration min_event_interval{};  // events come no more often than this

    int max_attempts = 1;
    int max_open_calls = 0;  // zero: none stated
    bool may_cancel = false, may_probe = false, may_message_peers = false, may_advise_pause = false;
    bool may_duplicate = false;
    Duration max_pause{};

    bool list_on_request = false;
    Duration list_request_time_limit{};
    bool callers_mark_redials = false;
    bool centre_advises_tandem = false;  // calls name the tandem with most room at a centre's last look
    bool reports_wait = false;           // a full processor names a wait
    Duration set_up_repeat_interval{};   // a waiting set-up is sent again after this; zero: never
    bool reports_load = false;           // in the ends of attempts
    bool reports_load_on_probe = false;

    Duration answer_grace{};        // slack after the deadline within which a final answer counts
    Duration drain_grace{};         // until sends to a draining or gone exchange must have stopped
    Duration release_wait{};        // after a time-out, reset or cancel, until the call may be sent again
    double cold_start_share = 1.0;  // share of its capacity that a fresh processor has at least
    Duration warm_up_time{};        // and this long until it has all of it
    double overload_multiple = 0;   // sent more than this multiple of its present capacity
    Duration overload_span{};       // for this long, it falls over; zero: no such rule
    Prices prices;
};

// ---- Events --------------------------------------------------------------------------------------

struct LoadReport {  // negative: not reported
    int free_circuits = -1;
    int group_size = -1;
    double busy_messages = -1, waiting_messages = -1, utilisation = -1, wait_ms = -1;
    double max_set_ups_per_second = -1;  // new set-ups, from all senders together
    double throttle_share = -1;          // of new set-ups, asked of each sender
};

struct CallOffered {
    CallId call{};
    int destination = kNoExchange;
    int width = 1;
    int service_class = 0;
    int tenant = 0;
    int advised_exchange = kNoExchange;   // tandem or pool named by the centre
    int previous_exchange = kNoExchange;  // in transit: the exchange that it comes from
    Duration time_left{};                 // left until this try must have its final answer
    Duration expected_work{};
    bool transit = false;
    bool is_reconnect = false;    // it stood, was cut and comes again
    bool redial = false;          // where callers mark redials
    std::string called_number{};  // the number called; may be empty
};

struct CallAnswered {
    CallId call;
    int attempt = 0;
    ExchangeId exchange;
    Duration response_time{};
};

enum class Outcome { ended, failed, rejected, timed_out, unreachable, reset, cancelled, not_sent };
enum class Cause { none, no_circuit, rejected_by_tandem, far_processor_full, processor_full, number_busy };

struct AttemptEnded {
    CallId call{};
    int attempt = 0;
    ExchangeId exchange{};
    Outcome outcome = Outcome::ended;
    Cause cause = Cause::none;
    Duration requested_wait{};
    bool final = false;  // the call is finished, by this or earlier
    Duration response_time{};
    LoadReport load{};
};

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
struct ExchangeEntry {
    ExchangeId exchange;
    int number = kNoExchange;
    ExchangeState state = ExchangeState::ready;
    Instant started{};  // zero: long ago
    std::string zone{};
    std::string kind{};
    double size = 1.0;
    bool never_tandem = false;  // it ends calls and never passes them on: no tandem
};

enum class ListKind { changes, complete, cached, failed };
struct ExchangeList {
    ListKind kind = ListKind::complete;
    std::int64_t version = 0;
    std::vector<ExchangeEntry> entries;
};

struct PeerMessage {
    int from = 0;
    std::vector<std::uint8_t> bytes;
};

struct TimerExpired {
    std::int64_t token = 0;
};

using Event = std::variant<CallOffered, CallAnswered, AttemptEnded, CallAbandoned, ExchangeReport,
                           ExchangeList, PeerMessage, TimerExpired>;

// ---- Actions -------------------------------------------------------------------------------------

struct SetUp {  // toward the destination: direct; toward another exchange: with it as the tandem
    CallId call;
    ExchangeId exchange;
    Duration time_out{};
};
struct Refuse {  // final: the caller may dial again, after the pause if one is advised
    CallId call;
    Duration pause{};
};
struct Fail {  // final: given up
    CallId call;
};
struct Cancel {
    CallId call;
    int attempt = 0;
};
struct Probe {
    ExchangeId exchange;
};
struct SendPeerMessage {
    int to = kNoExchange;  // kNoExchange: all
    std::vector<std::uint8_t> bytes;
};
struct SetTimer {
    Duration delay{};
    std::int64_t token = 0;
};
struct SubscribeList {
    bool on = true;
};
struct RequestList {};
struct CloseIdleConnection {
    ExchangeId exchange;
};
struct Note {
    std::string text;
};

using Action = std::variant<SetUp, Refuse, Fail, Cancel, Probe, SendPeerMessage, SetTimer, SubscribeList,
                            RequestList, CloseIdleConnection, Note>;

class CallControl {
   public:
    CallControl(Settings settings, std::uint64_t seed);
    ~CallControl();
    CallControl(CallControl&&) noexcept;
    CallControl& operator=(CallControl&&) noexcept;

    // Appends what is to be done to `actions`. `now` must not run back from one event to the next.
    void handle(Instant now, const Event& event, std::vector<Action>& actions);

    // Whether these settings speak of the same exchange and the same classes, so that what was learned and
    // the calls in hand keep their meaning; only then may they be taken over in service.
    bool can_apply(const Settings& settings) const;
    void apply(Settings settings);

    // Exchanges of the list that get no new set-ups as things are: those that drain, and those silent or full
    // when last asked, which get a trial now and then.
    std::size_t avoided_exchange_count() const;

    // In all tables that grow with calls and exchanges; for tests.
    std::size_t table_entry_count() const;

   private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestall
