// The procedures between both ends of a circuit group: set-up, glare, release, reset, audit, blocking,
// recovery.
#include <algorithm>

#include "trunk/ends.hpp"

using namespace nettlestall;
using namespace nettlestall::test;

namespace {

constexpr int low = TwoEnds::low, high = TwoEnds::high;
const std::string kGlare = std::to_string(static_cast<int>(Reason::glare));
const std::string kCut = std::to_string(static_cast<int>(Reason::cut));
const std::string kReset = std::to_string(static_cast<int>(Reason::reset));
const std::string kLinkLost = std::to_string(static_cast<int>(Reason::link_lost));

void call_seizes_and_frees_its_circuits() {
    TwoEnds t;
    CHECK(t.end(low).free_circuits() == 4);
    const CallRef ref = t.seize(low, "a", 2);
    CHECK(t.end(low).leg(ref)->circuits == (CircuitList{1, 3}));
    t.deliver_all();
    CHECK(t.was_reported(high, "offered a") && t.end(high).free_circuits() == 2);
    CHECK(t.answer(high, ref) && !t.answer(high, ref));
    t.deliver_all();
    CHECK(t.was_reported(low, "answered a") && t.ledger[low].size() == 1 && t.ledger[high] == t.ledger[low]);
    t.release(low, ref);
    CHECK(t.end(low).free_circuits() == 2);  // the release guard: not free before the far end confirms
    t.deliver_all();
    CHECK(t.was_reported(high, "ended a 0") && t.all_idle() && t.ledger[low].empty() &&
          t.ledger[high].empty());
    CHECK(t.events[low] == std::vector<std::string>{"answered a"});  // its own release is not reported
}

void refused_set_up_frees_circuits_at_once() {
    TwoEnds t;
    const CallRef ref = t.seize(high, "a");
    t.deliver_all();
    t.release(low, ref, Reason::refused);
    CHECK(t.end(low).free_circuits() == 4);
    // A seizure after the rejection reaches the far end after it.
    const CallRef next = t.seize(low, "b", 4);
    CHECK(next != kNoCall);
    t.deliver_all();
    CHECK(t.was_reported(high, "ended a " + std::to_string(static_cast<int>(Reason::refused))));
    CHECK(t.was_reported(high, "offered b") && t.end(high).free_circuits() == 0);
}

// Both ends seize the same circuit, and do so again on the next attempt.
void one_of_two_crossing_seizures_wins() {
    for (const int first : {low, high}) {
        TwoEnds t(1);  // circuit 1 is controlled by the low end
        const CallRef a = t.seize(low, "a"), b = t.seize(high, "b");
        CHECK(!t.deliver(first) && !t.deliver(1 - first));
        CHECK(t.was_reported(high, "ended b " + kGlare) && t.was_reported(high, "offered a"));
        CHECK(t.seize(high, "b2") == kNoCall);  // the other end has the circuit
        t.deliver_all();
        CHECK(t.end(low).leg(a)->state == LegState::proceeding && !t.end(high).leg(b));
        CHECK(t.events[low].empty());
        t.release(low, a);
        t.deliver_all();
        // Both seize at once again.
        const CallRef c = t.seize(low, "c");
        CHECK(t.seize(high, "b3") != kNoCall);
        t.deliver_all();
        CHECK(t.was_reported(high, "ended b3 " + kGlare) && t.answer(high, c));
        t.deliver_all();
        CHECK(t.is_standing(c));
    }
}

// A set-up that loses a glare is reported as ended at once, before any message of the far end about it, so
// that it can be routed again.
void lost_glare_is_reported_at_once() {
    TwoEnds t(2);
    const CallRef a = t.seize(low, "a");  // circuit 1
    t.end(high).block(t.now, {2}, Blocking::soft, *std::make_unique<Effects>());
    t.seize(high, "b");  // circuit 1 as well, since the circuit that the high end controls is blocked
    CHECK(!t.deliver(high));
    CHECK(t.was_reported(high, "ended b " + kGlare) && t.end(high).leg(a)->state == LegState::incoming);
}

// A seizure of several circuits that loses one of them loses all; of two crossing seizures exactly one wins.
void wide_seizure_wins_or_loses_as_a_whole() {
    for (int order = 0; order < 2; ++order) {
        TwoEnds t(4);
        const CallRef a = t.seize(low, "a", 3);   // 1 2 3 or 1 3 and one of the others
        const CallRef b = t.seize(high, "b", 3);  // 2 4 and one more
        CHECK(!t.deliver(order) && !t.deliver(1 - order));
        t.deliver_all();
        const bool a_wins = t.end(low).leg(a), b_wins = t.end(high).leg(b);
        CHECK(a_wins != b_wins);
        CHECK(t.end(low).circuits().busy_count() == 3 && t.end(high).circuits().busy_count() == 3);
        const int winner = a_wins ? low : high;
        CHECK(t.end(1 - winner).leg(a_wins ? a : b)->state == LegState::incoming);
        t.release(winner, a_wins ? a : b);
        t.deliver_all();
        CHECK(t.all_idle());
    }
}

// One seizure of several circuits crosses two of the far end: it wins against one and loses to the other. If
// the two ends settled this differently, a circuit would stay busy at one end only.
void both_ends_settle_each_crossing_pair_alike() {
    for (unsigned order = 0; order < 8; ++order) {
        TwoEnds t(7);
        const CallRef x = t.seize(low, "x", 2), y = t.seize(low, "y", 4);  // 1 3, then 5 7 and two even ones
        const CallRef z = t.seize(high, "z", 5);                           // 2 4 6 and two odd ones
        for (unsigned step = 0; step < 3 && !(t.in_transit[0].empty() && t.in_transit[1].empty()); ++step) {
            const int e = order >> step & 1 ? low : high;
            if (!t.inbox(e).empty()) CHECK(!t.deliver(e));
        }
        t.deliver_all();
        for (const CallRef ref : {x, y, z}) {
            const Leg *here = t.end(low).leg(ref), *there = t.end(high).leg(ref);
            CHECK((here == nullptr) == (there == nullptr));  // both ends have the call, or neither
        }
        CHECK(t.end(low).circuits().busy_count() == t.end(high).circuits().busy_count());
        for (const CallRef ref : {x, y, z})
            for (const int e : {low, high})
                if (t.end(e).leg(ref) && t.end(e).leg(ref)->outgoing) t.release(e, ref);
        t.deliver_all();
        CHECK(t.all_idle());
    }
}

// The link breaks while two seizures of the same circuit cross, so that neither end learns of the other's
// until the link resumes.
void glare_during_link_break_is_settled_when_the_link_resumes() {
    TwoEnds t(1);
    const CallRef a = t.seize(low, "a"), b = t.seize(high, "b");
    t.link_down();  // with both seizures in transit
    CHECK(t.was_reported(low, "ended a " + kLinkLost) && t.was_reported(high, "ended b " + kLinkLost));
    t.now += 19s;
    t.link_up(true);
    t.deliver_all();
    CHECK(!t.end(low).leg(a) && !t.end(high).leg(b) && t.all_idle());
    CHECK(t.events[low].size() + t.events[high].size() <= 4);
    CHECK(std::count_if(t.events[low].begin(), t.events[low].end(),
                        [](const std::string& w) { return w.starts_with("ended a"); }) == 1);
}

void set_up_cancelled_during_glare_ends_once() {
    for (const int cancelled_first : {0, 1}) {
        TwoEnds t(1);
        t.seize(low, "a");
        const CallRef b = t.seize(high, "b");
        if (cancelled_first) {
            t.release(high, b);  // cancelled before the glare is noticed
            CHECK(!t.deliver(high));
        } else {
            CHECK(!t.deliver(high));  // lost, then cancelled
            t.release(high, b);
        }
        t.deliver_all();
        CHECK(t.events[high].size() <= 2 && !t.end(high).leg(b));
        CHECK(std::count(t.events[high].begin(), t.events[high].end(), "ended b " + kGlare) ==
              !cancelled_first);
        CHECK(t.end(low).circuits().busy_count() == t.end(high).circuits().busy_count());
    }
}

// A seizure that crosses a release must not meet the old call at the far end: a circuit is not free before
// its release is confirmed.
void circuit_is_out_of_use_until_its_release_is_confirmed() {
    TwoEnds t(1);
    const CallRef a = t.establish(low, "a");
    t.release(high, a);      // the called side hangs up
    CHECK(!t.deliver(low));  // the low end is idle, its confirmation is in transit
    CHECK(t.seize(high, "b") == kNoCall);
    const CallRef c = t.seize(low, "c");
    CHECK(c != kNoCall);
    t.deliver_all();
    CHECK(t.was_reported(high, "offered c") && t.end(high).circuits().busy_count() == 1);
    // Both release one call at once.
    t.answer(high, c);
    t.deliver_all();
    t.release(low, c), t.release(high, c);
    t.deliver_all();
    CHECK(t.all_idle() && t.events[low].size() == 3);
}

// A release is lost: after the release guard the circuit is reset, and the far end's call ends with the
// reset.
void unconfirmed_release_becomes_a_reset() {
    TwoEnds t(2);
    const CallRef a = t.establish(low, "a");
    t.release(low, a);
    t.inbox(high).clear();  // lost
    t.advance(3s);
    CHECK(t.end(low).circuits().busy_count() == 1 && t.end(high).leg(a));
    t.advance(2s);
    CHECK(t.end(low).counts().release_timeouts == 1 &&
          t.end(low).circuits().at(1).state == CircuitState::resetting);
    t.inbox(high).clear();  // and so is the reset
    t.advance(6s);
    t.deliver_all();
    CHECK(t.all_idle() && t.was_reported(high, "ended a " + kReset));
}

void crossing_resets_leave_circuits_idle() {
    TwoEnds t(3);
    const CallRef a = t.establish(low, "a", 3);
    for (int e : {low, high})
        t.run(e, [&](Group& g, Effects& out) { return g.reset(t.now, {1, 2}, Reason::reset, out), 0; });
    CHECK(!t.deliver(low));
    const CallRef b = t.seize(low, "b", 3);  // idle here; its own reset is still to be confirmed
    CHECK(b != kNoCall);
    t.deliver_all();
    // The late confirmation must not clear circuits that have been seized since.
    CHECK(t.end(low).leg(b)->state == LegState::proceeding && t.end(low).circuits().busy_count() == 3);
    CHECK(!t.end(low).leg(a) && !t.end(high).leg(a));
    t.release(low, b);
    t.deliver_all();
    CHECK(t.all_idle());
}

// The far end resets one of the circuits of a call: the whole call ends, and its other circuits do not stay
// busy.
void reset_of_one_circuit_ends_the_wide_call() {
    TwoEnds t(4);
    const CallRef a = t.establish(low, "a", 3);
    CHECK(!t.receive(low, Reset{1, {3}}));
    CHECK(t.was_reported(low, "ended a " + kReset) && t.end(low).circuits().at(3).is_idle());
    t.deliver_all();
    CHECK(t.all_idle() && !t.end(high).leg(a));
}

void audit_frees_circuits_held_at_one_end_only() {
    for (const int faulty : {low, high}) {
        TwoEnds t(4);
        const CallRef kept = t.establish(low, "kept"), a = t.establish(low, "a", 2);
        t.end(faulty).inject_memory_loss(a);
        for (int i = 0; i < 100; ++i) t.advance(1s), t.deliver_all();
        CHECK(!t.end(1 - faulty).leg(a) && t.was_reported(1 - faulty, "ended a " + kReset));
        CHECK(t.is_standing(kept) && t.end(low).circuits().busy_count() == 1 &&
              t.end(high).circuits().busy_count() == 1);
        CHECK(t.end(low).counts().audit_freed + t.end(high).counts().audit_freed > 0);
    }
}

// Seizures, answers and releases cross the queries of an audit that acts on the first mismatch.
void audit_never_cuts_a_live_call() {
    GroupRules a = TwoEnds::rules(low, 4), b = TwoEnds::rules(high, 4);
    a.audit.confirmations = b.audit.confirmations = 1;
    a.audit.interval = b.audit.interval = 1h;
    Random random{5};
    for (int run = 0; run < 3000; ++run) {
        TwoEnds t(a, b);
        for (int step = 0; step < 40; ++step) {
            const int e = static_cast<int>(random.below(2));
            std::vector<CallRef> refs;
            for (const auto& [ref, leg] : t.end(e).legs()) refs.push_back(ref);
            switch (random.below(6)) {
                case 0:
                    t.seize(e, "c", 1 + static_cast<int>(random.below(3)));
                    break;
                case 1:
                    t.end(e).audit_now(t.now);
                    t.advance(0s);
                    break;
                case 2:
                    if (!refs.empty()) t.answer(e, refs[random.below(refs.size())]);
                    break;
                case 3:
                    if (!refs.empty() && random.below(3) == 0) t.release(e, refs[random.below(refs.size())]);
                    break;
                default:
                    if (!t.inbox(e).empty()) CHECK(!t.deliver(e));
            }
        }
        t.deliver_all();
        for (int e : {low, high})
            CHECK(t.end(e).counts().audit_freed == 0 && t.end(e).counts().contradictions == 0);
        CHECK(t.end(low).circuits().busy_count() == t.end(high).circuits().busy_count());
    }
}

void restart_recovers_the_calls_of_the_ledger() {
    for (const bool ledger : {true, false}) {
        TwoEnds t(4);
        const CallRef a = t.establish(low, "a", 2), b = t.seize(low, "b");
        t.deliver_all();
        t.crash(low, ledger);
        t.link_up(false);
        t.deliver_all();
        CHECK(t.is_standing(a) == ledger && !t.end(high).leg(b));
        CHECK(t.was_reported(high, "ended b " + kLinkLost));
        CHECK(t.was_reported(high, "ended a " + kCut) == !ledger);
        CHECK(t.end(high).circuits().busy_count() == (ledger ? 2 : 0));
        CHECK(t.end(low).circuits().busy_count() == (ledger ? 2 : 0));
    }
}

void restart_of_both_ends_keeps_calls_that_both_have_stored() {
    TwoEnds t(4);
    const CallRef a = t.establish(low, "a"), b = t.establish(high, "b");
    t.crash(low, true), t.crash(high, true);
    t.link_up(false), t.deliver_all();
    CHECK(t.is_standing(a) && t.is_standing(b));
    t.crash(low, false), t.crash(high, true);
    t.link_up(false), t.deliver_all();
    CHECK(t.all_idle() && t.was_reported(high, "ended back " + kCut) == false);
    CHECK(t.end(high).counts().not_recovered == 2);
}

// The far end releases a call while the link is down. The ledger of the other end still has the call and must
// not be trusted over the far end.
void call_that_ended_during_a_restart_is_not_recovered() {
    TwoEnds t(4);
    const CallRef a = t.establish(low, "a");
    t.link_down();
    t.release(high, a);  // released while the link is down
    t.crash(low, true);
    t.link_up(false), t.deliver_all();
    CHECK(!t.end(low).leg(a) && t.all_idle() && t.was_reported(low, "ended back " + kCut));
}

void restart_during_reset_and_audit_leaves_no_stuck_circuit() {
    for (const bool ledger : {true, false}) {
        TwoEnds t(4);
        t.establish(low, "a", 2);
        const CallRef b = t.establish(high, "b");
        t.run(high, [&](Group& g, Effects& out) { return g.reset(t.now, {1}, Reason::reset, out), 0; });
        t.end(high).audit_now(t.now);
        t.advance(0s);
        t.crash(low, ledger);
        t.link_up(false), t.deliver_all();
        CHECK(t.is_standing(b) == ledger);
        t.end(high).audit_now(t.now);
        t.advance(0s), t.deliver_all();
        CHECK(t.end(low).circuits().busy_count() == (ledger ? 1 : 0));
        CHECK(t.end(high).circuits().busy_count() == t.end(low).circuits().busy_count());
    }
}

// Standing calls survive a break of 19 s, and are cut if the link is down for longer than they are held.
void long_link_break_ends_standing_calls() {
    TwoEnds t(4);
    const CallRef a = t.establish(low, "a");
    t.link_down();
    t.advance(19s);
    t.link_up(true), t.deliver_all();
    CHECK(t.is_standing(a));
    t.link_down();
    t.advance(31s);
    CHECK(t.was_reported(low, "ended a " + kCut) && t.was_reported(high, "ended a " + kCut) &&
          t.restarted[low] && t.restarted[high]);
    t.link_up(false), t.deliver_all();
    CHECK(t.all_idle() && t.end(low).free_circuits() == 4);
}

void blocked_circuits_are_not_seized() {
    TwoEnds t(4);
    const CallRef a = t.establish(low, "a");  // circuit 1
    t.run(high, [&](Group& g, Effects& out) { return g.block(t.now, {1, 2}, Blocking::soft, out), 0; });
    CHECK(t.end(high).free_circuits() == 2);
    // Soft blocking by both ends at once leaves standing calls alone.
    t.run(low, [&](Group& g, Effects& out) { return g.block(t.now, {3, 4}, Blocking::soft, out), 0; });
    t.deliver_all();
    CHECK(t.is_standing(a) && t.end(low).free_circuits() == 0 && t.end(high).free_circuits() == 0 &&
          t.seize(low, "b") == kNoCall);
    t.run(high, [&](Group& g, Effects& out) { return g.block(t.now, {1, 2}, Blocking::none, out), 0; });
    const CallRef c = t.seize(high, "c");
    CHECK(c != kNoCall && t.end(high).leg(c)->circuits == CircuitList{2});
    t.deliver_all();
    // Hard blocking cuts standing calls.
    t.run(high, [&](Group& g, Effects& out) { return g.block(t.now, {1}, Blocking::hard, out), 0; });
    t.deliver_all();
    CHECK(t.was_reported(high, "ended a " + kCut) && t.was_reported(low, "ended a " + kCut) &&
          t.end(low).leg(c));
    // A restarted far end is told again which circuits are blocked.
    t.crash(low, true);
    t.link_up(false), t.deliver_all();
    CHECK(t.end(low).circuits().at(1).blocked_there == Blocking::hard);
    CHECK(t.end(low).circuits().at(3).blocked_here == Blocking::none);  // it has lost its own blocking
    CHECK(t.end(high).circuits().at(3).blocked_there == Blocking::none);
}

void seizure_of_a_blocked_circuit_is_rejected() {
    TwoEnds t(1);
    t.run(high, [&](Group& g, Effects& out) { return g.block(t.now, {1}, Blocking::soft, out), 0; });
    t.seize(low, "a");  // has not received the blocking yet
    CHECK(!t.deliver(high) && t.events[high].empty());
    t.deliver_all();
    CHECK(t.was_reported(low, "ended a " + std::to_string(static_cast<int>(Reason::unusable))) &&
          t.all_idle());
}

// A message that no correct far end sends is reported as an error and changes nothing.
void invalid_messages_are_refused() {
    TwoEnds t(4);
    const CallRef a = t.establish(low, "a");
    const CallRef theirs = 1ull << 63 | 1ull << 32 | 99, ours = 1ull << 32 | 99;
    CHECK(t.receive(low, Seize{ours, {2}, {.call = "x"}}) &&
          t.receive(low, Seize{theirs, {5}, {.call = "x"}}));
    CHECK(t.receive(low, Accept{theirs}) && t.receive(low, Reject{theirs, Reason::glare}));
    CHECK(t.receive(low, Answer{theirs, ""}) && t.receive(low, Reset{1, {9}}) &&
          t.receive(low, Query{1, 4, 2}));
    CHECK(t.receive(low, Block{false, Blocking::hard, {9}}) && t.receive(low, Claims{}));
    const CallRef b = t.seize(low, "b");
    CHECK(t.receive(low, Answer{b, ""}));  // before the acceptance
    CHECK(t.is_standing(a) && t.events[low].size() == 1);
    // A call that does not exist is released, and a circuit in use is not handed to another call.
    CHECK(!t.receive(low, Accept{ours}));
    CHECK(!t.receive(low, Seize{theirs, {1}, {.call = "x"}}) && t.is_standing(a));
    CHECK(t.end(low).counts().contradictions == 2);
    // Repeated messages change nothing.
    t.deliver_all();
    const std::size_t event_count = t.events[low].size();
    for (int i = 0; i < 2; ++i) {
        CHECK(!t.receive(low, Answer{a, ""}) && !t.receive(low, ReleaseComplete{a}) &&
              !t.receive(low, Accept{a}));
        CHECK(!t.receive(low, ResetDone{7, {1}}) && !t.receive(low, QueryResponse{9, 1, {0, 0, 0, 0}}));
    }
    CHECK(t.events[low].size() == event_count && t.is_standing(a));
    // Nor do a repeated seizure and a repeated reset whose circuits belong to other calls by now.
    const Seize old{1ull << 63 | 1ull << 32 | 200, {4}, {.call = "old"}};
    const Reset reset{50, {4}};
    for (int i = 0; i < 2; ++i) {
        CHECK(!t.receive(low, reset) && !t.receive(low, old));
        t.release(low, old.call);
    }
    CHECK(t.was_reported(low, "offered old") && !t.end(low).leg(old.call));
    const CallRef later = t.seize(low, "n", t.end(low).free_circuits());
    CHECK(t.end(low).circuits().at(4).call == later && !t.receive(low, reset));
    CHECK(t.end(low).leg(later)->state == LegState::seizing);
    Group fresh(TwoEnds::rules(low, 4), 1);
    Effects out;
    fresh.link_up(t.now, false, out);
    CHECK(fresh.receive(t.now, Seize{theirs, {1}, {.call = "x"}}, out));  // before the claims
    CHECK(fresh.receive(t.now, Claims{{{theirs, {5}}}, {}}, out) && !fresh.in_service());
    CHECK(fresh.receive(t.now, Claims{{}, {{5, Blocking::hard}}}, out) && !fresh.in_service());
    CHECK(!fresh.receive(t.now, Claims{{{theirs, {4}}}, {}}, out) && fresh.free_circuits() == 4);
}

// Random traffic, with messages of the two directions delivered in any order, breaks that do or do not resume
// the link, memory faults and crashes. Once all calls are released every circuit must become idle.
void random_traffic_ends_with_all_circuits_idle() {
    Random random{17};
    for (int run = 0; run < 1500; ++run) {
        TwoEnds t(1 + static_cast<int>(random.below(6)));
        bool up = true;
        for (int step = 0; step < 120; ++step) {
            const int e = static_cast<int>(random.below(2));
            std::vector<CallRef> refs;
            for (const auto& [ref, leg] : t.end(e).legs()) refs.push_back(ref);
            const auto any = [&] { return refs[random.below(refs.size())]; };
            switch (random.below(12)) {
                case 0:
                case 1:
                    t.seize(e, "c", 1 + static_cast<int>(random.below(3)));
                    break;
                case 2:
                case 3:
                    if (!refs.empty()) t.answer(e, any());
                    break;
                case 4:
                    if (!refs.empty())
                        t.release(e, any(), random.below(2) ? Reason::normal : Reason::refused);
                    break;
                case 5:
                    if (random.below(6) == 0)
                        up ? t.link_down() : t.link_up(!t.restarted[0] && !t.restarted[1] && random.below(2)),
                            up = !up;
                    break;
                case 6:
                    if (random.below(3) == 0)
                        t.advance(Duration(static_cast<std::int64_t>(random.below(8'000'000))));
                    break;
                case 7:
                    if (random.below(20) == 0 && !refs.empty()) t.end(e).inject_memory_loss(any());
                    break;
                case 8:
                    if (random.below(25) == 0) {
                        if (up) t.link_down();
                        t.crash(e, random.below(2));
                        t.link_up(false), up = true, t.restarted = {};
                    }
                    break;
                default:
                    if (up && !t.inbox(e).empty()) CHECK(!t.deliver(e));
            }
        }
        if (!up) t.link_up(false);
        t.deliver_all();
        for (int i = 0; i < 130 && !t.all_idle(); ++i) {
            for (int e : {low, high}) {
                std::vector<CallRef> own;
                for (const auto& [ref, leg] : t.end(e).legs())
                    if (leg.outgoing) own.push_back(ref);
                for (const CallRef ref : own) t.release(e, ref);
            }
            t.deliver_all(), t.advance(1s), t.deliver_all();
        }
        CHECK(t.all_idle() && t.end(low).legs().empty() && t.end(high).legs().empty());
    }
}

}  // namespace

int main() {
    call_seizes_and_frees_its_circuits();
    refused_set_up_frees_circuits_at_once();
    one_of_two_crossing_seizures_wins();
    lost_glare_is_reported_at_once();
    wide_seizure_wins_or_loses_as_a_whole();
    both_ends_settle_each_crossing_pair_alike();
    glare_during_link_break_is_settled_when_the_link_resumes();
    set_up_cancelled_during_glare_ends_once();
    circuit_is_out_of_use_until_its_release_is_confirmed();
    unconfirmed_release_becomes_a_reset();
    crossing_resets_leave_circuits_idle();
    reset_of_one_circuit_ends_the_wide_call();
    audit_frees_circuits_held_at_one_end_only();
    audit_never_cuts_a_live_call();
    restart_recovers_the_calls_of_the_ledger();
    restart_of_both_ends_keeps_calls_that_both_have_stored();
    call_that_ended_during_a_restart_is_not_recovered();
    restart_during_reset_and_audit_leaves_no_stuck_circuit();
    long_link_break_ends_standing_calls();
    blocked_circuits_are_not_seized();
    seizure_of_a_blocked_circuit_is_rejected();
    invalid_messages_are_refused();
    random_traffic_ends_with_all_circuits_idle();
}
