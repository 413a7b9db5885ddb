// One end of a circuit group between two hubs: the procedures of Q.764 (seizure, dual seizure, release and
// its guard, reset, blocking, query) over circuits, selection, glare, audit and recovery. Messages and
// commands go in with the time, effects come out. No I/O and no clock.
//
// The link keeps messages in order and loses none. Where it cannot, it restarts (link_up with `resumed`
// false), and both ends then settle on the calls that both still have.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "trunk/audit.hpp"
#include "trunk/circuits.hpp"
#include "trunk/glare.hpp"
#include "trunk/messages.hpp"
#include "trunk/recovery.hpp"
#include "trunk/selection.hpp"

namespace nettlestall::trunk {

// Whether this end's seizure wins a dual seizure.
using GlareRule = bool (*)(const PointCodes& point_codes, const CircuitList& ours, const CircuitList& theirs);

// The settings of one end of a group.
struct GroupRules {
    PointCodes point_codes{};
    int circuits = 1;
    Hunting hunting = Hunting::own_half;
    GlareRule glare_rule = &our_seizure_wins;  // others only in experiments
    AuditRules audit{};
    // Time until an unconfirmed release becomes a reset (T1, T5 of Q.764).
    Duration release_guard = std::chrono::seconds(4);
    // Time until an unconfirmed reset is repeated (T16, T17).
    Duration reset_repeat_interval = std::chrono::seconds(5);
    // Standing calls are cut if the link is down for this long.
    Duration link_down_hold = std::chrono::seconds(30);
};

// State of a call on the group. The values have the same meaning as in CircuitState.
enum class LegState : std::uint8_t { seizing, proceeding, incoming, standing, yielding, releasing };
// The state's name in lower case.
std::string_view name_of(LegState state);

// One call on the group.
struct Leg {
    bool outgoing = false;  // this end has seized the circuits
    LegState state = LegState::seizing;
    CircuitList circuits{};
    CallId call{};
    Instant since{};  // start of the state
};

// ---- Effects: what a Group's owner has to carry out, in order ---------------------------------------

// Send a message to the far end.
struct Send {
    Message message;
};
// The far end sets up a call.
struct Offered {
    CallRef ref;
    int width;  // circuits
    CallData data;
};
// The far end has answered this end's set-up.
struct Answered {
    CallRef ref;
    CallId call;
    std::string description;
};
// A call of either end has ended, other than by this end's own release().
struct Ended {
    CallRef ref;
    CallId call;
    bool outgoing, was_answered;
    Reason reason;
};
// Store a standing call in the ledger; comes before the message that reports the answer to the far end.
struct StoreCall {
    Claim claim;
    CallId call;
    bool outgoing;
};
// Remove a call from the ledger: it no longer stands.
struct RemoveCall {
    Claim claim;
};
// Store in the ledger how this end blocks a circuit.
struct StoreBlocking {
    CircuitNumber circuit;
    Blocking blocking;
};
// An audit has found the circuit held at one end only, and frees it.
struct FreedByAudit {
    CircuitNumber circuit;
    CallRef ref;  // the call on the circuit at this end; kNoCall: only the far end held one
    CallId call;
};
// The link has been down for too long and must not be resumed.
struct RestartLink {};
using Effect = std::variant<Send, Offered, Answered, Ended, StoreCall, RemoveCall, StoreBlocking,
                            FreedByAudit, RestartLink>;
using Effects = std::vector<Effect>;

// Events at this end since the group was created.
struct GroupCounts {
    // Seizures by this end; seizures by the far end that were accepted here; seizures by this end that
    // crossed one by the far end, and those of them that lost; seizures by the far end that were rejected
    // here; set-ups for which too few circuits were free.
    std::uint64_t seizures = 0, seizures_accepted = 0, glares = 0, glares_lost = 0, rejected = 0,
                  no_circuit = 0;
    // Calls of either direction that were answered; calls that this end released; resets by the far end;
    // circuits freed by audits; standing calls that a restart of the link has kept, and that it has cut.
    std::uint64_t answered = 0, released = 0, resets = 0, audit_freed = 0, recovered = 0, not_recovered = 0;
    std::uint64_t contradictions = 0;    // messages that do not fit what this end knows of its circuits
    std::uint64_t release_timeouts = 0;  // releases that were not confirmed within the release guard
};

// One end of a circuit group. Functions with a parameter `out` append to it the effects that the owner has to
// carry out.
class Group {
   public:
    // `incarnation` must differ from one start of this end to the next; its lower 31 bits count.
    Group(const GroupRules& rules, std::uint32_t incarnation);
    // Only before the first call.
    void set_incarnation(std::uint32_t incarnation);

    // ---- At the start, from a ledger
    // Restores a standing call. False if one of its circuits does not exist or belongs to another call.
    bool restore(const Claim& claim, const CallId& call, bool outgoing, Instant now);
    // Restores how this end blocks a circuit; ignored if there is no such circuit.
    void restore(CircuitNumber circuit, Blocking blocking);

    // ---- Calls
    // Seizes `width` circuits. kNoCall if not enough are free or the group is out of service; nothing is sent
    // then.
    CallRef set_up(Instant now, CallData data, int width, Effects& out);
    // Answers an incoming call. False if there is no unanswered incoming call of that reference.
    bool answer(Instant now, CallRef ref, std::string description, Effects& out);
    // Releases a call of either direction in any state. A call that is unknown, yielding or already released
    // is ignored.
    void release(Instant now, CallRef ref, Reason reason, Effects& out);

    // ---- The link
    // The link is up. Unless it was resumed, all calls but the standing ones end, and the standing ones are
    // claimed.
    void link_up(Instant now, bool resumed, Effects& out);
    // The link is down: unanswered calls end, standing calls are held for GroupRules::link_down_hold.
    void link_down(Instant now, Effects& out);
    // Processes a message. Null if it was accepted, else an error text: a correct far end never sends such a
    // message, its connection is to be closed, and nothing has changed here.
    const char* receive(Instant now, const Message& message, Effects& out);

    // ---- Maintenance
    // Blocks or (Blocking::none) unblocks circuits at this end. Hard blocking cuts the calls on them.
    void block(Instant now, const CircuitList& circuits, Blocking blocking, Effects& out);
    // Resets circuits together with all circuits of the calls on them. Ignored while the group is out of
    // service.
    void reset(Instant now, const CircuitList& circuits, Reason reason, Effects& out);
    // Starts to audit the whole group at once.
    void audit_now(Instant now);

    // Runs the timers that have expired.
    void run_timers(Instant now, Effects& out);
    // When the next timer expires; Instant::max() if none is running.
    Instant next_timer() const;

    // The link is up and both ends have settled on the standing calls.
    bool in_service() const { return up_ && synced_; }
    // Free circuits as reported to the decision module: zero while nothing can be set up.
    int free_circuits() const { return in_service() ? circuits_.free_count() : 0; }
    const Circuits& circuits() const { return circuits_; }
    const std::map<CallRef, Leg>& legs() const { return legs_; }
    // Null if there is no such call.
    const Leg* leg(CallRef ref) const;
    const GroupRules& rules() const { return rules_; }
    const GroupCounts& counts() const { return counts_; }
    const Audit& audits() const { return audit_; }
    // Applies the time limits and audit rules of reloaded settings. Point codes, number of circuits, hunting
    // and glare rule stay.
    void update_timers(const GroupRules& rules);

    // A text of everything that decides the further behaviour, with times relative to `now`. Equal texts mean
    // equal states in an exhaustive search of states.
    std::string state_key(Instant now) const;
    // For tests and the lab: removes a call without a message or an effect, as a memory fault would.
    void inject_memory_loss(CallRef ref);

   private:
    using Legs = std::map<CallRef, Leg>;

    // One function per message; they return what receive() returns.
    const char* handle(Instant now, const Seize& m, Effects& out);
    const char* handle(Instant now, const Accept& m, Effects& out);
    const char* handle(Instant now, const Reject& m, Effects& out);
    const char* handle(Instant now, const Answer& m, Effects& out);
    const char* handle(Instant now, const Release& m, Effects& out);
    const char* handle(Instant now, const ReleaseComplete& m, Effects& out);
    const char* handle(Instant now, const Reset& m, Effects& out);
    const char* handle(Instant now, const ResetDone& m, Effects& out);
    const char* handle(Instant now, const Block& m, Effects& out);
    const char* handle(Instant now, const Query& m, Effects& out);
    const char* handle(Instant now, const QueryResponse& m, Effects& out);
    const char* handle(Instant now, const Claims& m, Effects& out);

    // Whether this end assigned the reference.
    bool is_ours(CallRef ref) const { return ((ref >> 63) != 0) == rules_.point_codes.own_is_higher(); }
    bool all_exist(const CircuitList& circuits) const;
    // Changes a call's state and applies `event` to its circuits.
    void change_state(Leg& leg, CallRef ref, LegState to, CircuitEvent event, Instant now);
    // Reports the end of a call, unless it was reported when this end released the call or yielded.
    void report_end(Legs::iterator entry, Reason reason, Effects& out);
    // Removes a call and clears its circuits.
    void remove(Legs::iterator entry, Effects& out);
    // Releases a call. Its circuits stay out of use until the far end confirms.
    void start_release(Instant now, Legs::iterator entry, Reason reason, Effects& out);
    // Ends all calls that have one of these circuits.
    void end_calls_on(Instant now, const CircuitList& circuits, Reason reason, Effects& out);
    // Resets circuits, and keeps the reset until the far end confirms it.
    void send_reset(Instant now, CircuitList circuits, Effects& out);
    // Settles the glares between the far end's seizure and this end's. False if a seizure of this end wins.
    bool resolve_glare(Instant now, const Seize& m, Effects& out);
    // The standing calls.
    std::vector<Claim> claims() const;

    GroupRules rules_;
    Circuits circuits_;
    Legs legs_;
    Audit audit_;
    GroupCounts counts_;
    CallRef next_ref_ = 0;
    bool up_ = false, synced_ = false;  // synced: the far end's claims have been processed
    Instant down_since_{};
    bool holds_calls_ = false;  // standing calls are held while the link is down
    struct PendingReset {
        CircuitList circuits;
        Instant sent_at;
    };
    std::map<std::uint32_t, PendingReset> pending_resets_;  // by id
    std::uint32_t last_reset_id_ = 0;
    std::set<CallRef> yielding_;  // may contain calls that no longer yield
    // The highest reference and reset id received from the far end on this link. Both only rise, so lower
    // ones are repeats.
    CallRef last_far_ref_ = kNoCall;
    std::uint32_t last_far_reset_id_ = 0;
    // Circuits that the next set-up avoids: those that the far end seized in the last glare lost here, or
    // those of this end's last seizure that was rejected as not idle or unusable.
    CircuitList avoid_;
};

}  // namespace nettlestall::trunk
