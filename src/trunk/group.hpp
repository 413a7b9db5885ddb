// One end of a circuit group between two hubs: the procedures of Q.764 (seizure, dual seizure, release and
// its guard, reset, blocking, query) over circuits, selection, glare, audit and recovery. Messages and orders
// go in with the time, effects come out. No I/O and no clock.
//
// The link keeps messages in order and loses none; where it can't, it starts anew (link_up with `resumed`
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

using GlareRule = bool (*)(const PointCodes& point_codes, const CircuitList& ours, const CircuitList& theirs);

struct GroupRules {
    PointCodes point_codes{};
    int circuits = 1;
    Hunting hunting = Hunting::own_half;
    GlareRule glare_rule = &our_seizure_wins;  // another one only in experiments
    AuditRules audit{};
    Duration release_guard = std::chrono::seconds(4);  // until what is not confirmed is reset (T1, T5)
    Duration reset_repeat_interval = std::chrono::seconds(5);  // until a reset is repeated (T16, T17)
    Duration link_down_hold = std::chrono::seconds(30);  // for calls that stand over a link that is down
};

enum class LegState : std::uint8_t { seizing, proceeding, incoming, standing, yielding, releasing };
std::string_view name_of(LegState state);

struct Leg {  // one call on the group
    bool outgoing = false;
    LegState state = LegState::seizing;
    CircuitList circuits{};
    CallId call{};
    Instant since{};  // of its state
};

// ---- Effects ---------------------------------------------------------------------------------------

struct Send {
    Message message;
};
struct Offered {  // the far end's set-up
    CallRef ref;
    int width;
    CallData data;
};
struct Answered {  // our set-up
    CallRef ref;
    CallId call;
    std::string description;
};
struct Ended {  // a call of ours or theirs, by anything but this end's own release()
    CallRef ref;
    CallId call;
    bool outgoing, was_answered;
    Reason reason;
};
struct StoreCall {  // a call stands; comes before the message that says so to the far end
    Claim claim;
    CallId call;
    bool outgoing;
};
struct RemoveCall {  // it does so no longer
    Claim claim;
};
struct StoreBlocking {
    CircuitNumber circuit;
    Blocking blocking;
};
struct FreedByAudit {  // by an audit
    CircuitNumber circuit;
    CallRef ref;  // what was held here; kNoCall: the far end held something
    CallId call;
};
struct RestartLink {};  // the link must not be resumed: it has been down for too long
using Effect = std::variant<Send, Offered, Answered, Ended, StoreCall, RemoveCall, StoreBlocking,
                            FreedByAudit, RestartLink>;
using Effects = std::vector<Effect>;

struct GroupCounts {
    std::uint64_t seizures = 0, seizures_accepted = 0, glares = 0, glares_lost = 0, rejected = 0,
                  no_circuit = 0;
    std::uint64_t answered = 0, released = 0, resets = 0, audit_freed = 0, recovered = 0, not_recovered = 0;
    std::uint64_t contradictions = 0,
                  release_timeouts = 0;  // guards: releases that were not confirmed in time
};

class Group {
   public:
    // `life` differs from one start of this end to the next; 31 bits count.
    Group(const GroupRules& rules, std::uint32_t incarnation);
    void set_incarnation(std::uint32_t incarnation);  // another one, before the first call

    // ---- At the start, from a ledger
    // False: a circuit of it does not exist or is another call's.
    bool restore(const Claim& claim, const CallId& call, bool outgoing, Instant now);
    void restore(CircuitNumber circuit, Blocking blocking);

    // ---- Calls. kNoCall: no circuits, or the link is down; nothing was sent.
    CallRef set_up(Instant now, CallData data, int width, Effects& out);
    bool answer(Instant now, CallRef ref, std::string description, Effects& out);  // of an incoming one
    void release(Instant now, CallRef ref, Reason reason, Effects& out);           // of any, in any state

    // ---- The link
    void link_up(Instant now, bool resumed, Effects& out);
    void link_down(Instant now, Effects& out);
    // What is wrong with a message that no honest far end sends: its connection is to be closed, and nothing
    // here has changed. Null: nothing.
    const char* receive(Instant now, const Message& message, Effects& out);

    // ---- Maintenance. Hard blocking cuts calls; Blocking::none unblocks.
    void block(Instant now, const CircuitList& circuits, Blocking blocking, Effects& out);
    void reset(Instant now, const CircuitList& circuits, Reason reason, Effects& out);
    void audit_now(Instant now);

    void run_timers(Instant now, Effects& out);
    Instant next_timer() const;

    bool in_service() const { return up_ && synced_; }
    // What the decision module is told: free circuits; none while nothing can be set up.
    int free_circuits() const { return in_service() ? circuits_.free_count() : 0; }
    const Circuits& circuits() const { return circuits_; }
    const std::map<CallRef, Leg>& legs() const { return legs_; }
    const Leg* leg(CallRef ref) const;
    const GroupRules& rules() const { return rules_; }
    const GroupCounts& counts() const { return counts_; }
    const Audit& audits() const { return audit_; }
    void update_timers(const GroupRules& rules);  // a reload: all but ends, circuits and hunting

    // All that decides what comes next, for the search of states; times relative to `now`.
    std::string state_key(Instant now) const;
    // For tests and the lab: the end forgets a call without a word, as a fault in memory would have it.
    void inject_memory_loss(CallRef ref);

   private:
    using Legs = std::map<CallRef, Leg>;

    const char* on(Instant now, const Seize& m, Effects& out);
    const char* on(Instant now, const Accept& m, Effects& out);
    const char* on(Instant now, const Reject& m, Effects& out);
    const char* on(Instant now, const Answer& m, Effects& out);
    const char* on(Instant now, const Release& m, Effects& out);
    const char* on(Instant now, const ReleaseComplete& m, Effects& out);
    const char* on(Instant now, const Reset& m, Effects& out);
    const char* on(Instant now, const ResetDone& m, Effects& out);
    const char* on(Instant now, const Block& m, Effects& out);
    const char* on(Instant now, const Query& m, Effects& out);
    const char* on(Instant now, const QueryResponse& m, Effects& out);
    const char* on(Instant now, const Claims& m, Effects& out);

    bool ours(CallRef ref) const { return ((ref >> 63) != 0) == rules_.point_codes.own_is_higher(); }
    bool exist(const CircuitList& circuits) const;
    void move(Leg& leg, CallRef ref, LegState to, CircuitEvent by, Instant now);
    void end(Legs::iterator at, Reason reason, Effects& out);  // tells whoever has the call
    void erase(Legs::iterator at, Effects& out);               // and clears its circuits
    void let_go(Instant now, Legs::iterator at, Reason reason, Effects& out);
    void cut_on(Instant now, const CircuitList& circuits, Reason reason, Effects& out);
    void send_reset(Instant now, CircuitList circuits, Effects& out);
    bool yield_to(Instant now, const Seize& m, Effects& out);
    std::vector<Claim> claims() const;

    GroupRules rules_;
    Circuits circuits_;
    Legs legs_;
    Audit audit_;
    GroupCounts counts_;
    CallRef next_ref_ = 0;
    bool up_ = false, synced_ = false;
    Instant down_since_{};
    bool held_on_ = false;  // calls stand over the link that is down
    struct PendingReset {
        CircuitList circuits;
        Instant at;
    };
    std::map<std::uint32_t, PendingReset> resets_;
    std::uint32_t last_reset_ = 0;
    std::set<CallRef> yielding_;  // perhaps more than still do
    // Of the far end, on this link: its references and reset numbers only rise.
    CallRef last_taken_ = kNoCall;
    std::uint32_t last_reset_heard_ = 0;
    CircuitList lately_;  // contested in the last glare that was lost here
};

}  // namespace nettlestall::trunk
