// The procedures between two ends of a group: set-up, glare, release, reset, audit, blocking, recovery.
#include <algorithm>

#include "trunk/ends.hpp"

using namespace nettlestall;
using namespace nettlestall::test;

namespace {

constexpr int low = TwoEnds::low, high = TwoEnds::high;
const std::string kGlare = std::to_string(static_cast<int>(Reason::glare));
const std::string kCut = std::to_string(static_cast<int>(Reason::cut));
const std::string kReset = std::to_string(static_cast<int>(Reason::reset));
const std::string kLost = std::to_string(static_cast<int>(Reason::link_lost));

void a_call_takes_its_circuits_and_gives_them_back() {
    TwoEnds t;
    CHECK(t.end(low).free_circuits() == 4);
    const CallRef ref = t.seize(low, "a", 2);
    CHECK(t.end(low).leg(ref)->circuits == (CircuitList{1, 3}));
    t.settle();
    CHECK(t.told(high, "offered a") && t.end(high).free_circuits() == 2);
    CHECK(t.answer(high, ref) && !t.answer(high, ref));
    t.settle();
    CHECK(t.told(low, "answered a") && t.ledger[low].size() == 1 && t.ledger[high] == t.ledger[low]);
    t.release(low, ref);
    CHECK(t.end(low).free_circuits() == 2);  // the guard: not before the far end confirms
    t.settle();
    CHECK(t.told(high, "ended a 0") && t.all_idle() && t.ledger[low].empty() && t.ledger[high].empty());
    CHECK(t.heard[low] == std::vector<std::string>{"answered a"});  // nothing of its own release
}

void a_refused_set_up_frees_at_once() {
    TwoEnds t;
    const CallRef ref = t.seize(high, "a");
    t.settle();
    t.release(low, ref, Reason::refused);
    CHECK(t.end(low).free_circuits() == 4);
    // What is seized after it comes behind it.
    const CallRef next = t.seize(low, "b", 4);
    CHECK(next != kNoCall);
    t.settle();
    CHECK(t.told(high, "ended a " + std::to_string(static_cast<int>(Reason::refused))));
    CHECK(t.told(high, "offered b") && t.end(high).free_circuits() == 0);
}

// Both ends seize one circuit, and again on the retry.
void one_of_two_seizures_stands() {
    for (const int first : {low, high}) {
        TwoEnds t(1);  // circuit 1 is controlled by the low end
        const CallRef a = t.seize(low, "a"), b = t.seize(high, "b");
        CHECK(!t.deliver(first) && !t.deliver(1 - first));
        CHECK(t.told(high, "ended b " + kGlare) && t.told(high, "offered a"));
        CHECK(t.seize(high, "b2") == kNoCall);  // the circuit is the other's
        t.settle();
        CHECK(t.end(low).leg(a)->state == LegState::proceeding && !t.end(high).leg(b));
        CHECK(t.heard[low].empty());
        t.release(low, a);
        t.settle();
        // The retry: both at once again.
        const CallRef c = t.seize(low, "c");
        CHECK(t.seize(high, "b3") != kNoCall);
        t.settle();
        CHECK(t.told(high, "ended b3 " + kGlare) && t.answer(high, c));
        t.settle();
        CHECK(t.stands(c));
    }
}

// A call that lost is back at once, before the far end has said a word about it.
void the_loser_may_route_again_at_once() {
    TwoEnds t(2);
    const CallRef a = t.seize(low, "a");  // circuit 1
    t.end(high).block(t.now, {2}, Blocking::soft, *std::make_unique<Effects>());
    t.seize(high, "b");  // circuit 1 too: its own is blocked
    CHECK(!t.deliver(high));
    CHECK(t.told(high, "ended b " + kGlare) && t.end(high).leg(a)->state == LegState::incoming);
}

// A wide call that loses on one circuit loses all and keeps none; of any two exactly one gets its way.
void wide_calls_win_or_lose_as_a_whole() {
    for (int order = 0; order < 2; ++order) {
        TwoEnds t(4);
        const CallRef a = t.seize(low, "a", 3);   // 1 2 3 or 1 3 and one of the others
        const CallRef b = t.seize(high, "b", 3);  // 2 4 and one more
        CHECK(!t.deliver(order) && !t.deliver(1 - order));
        t.settle();
        const bool a_stands = t.end(low).leg(a), b_stands = t.end(high).leg(b);
        CHECK(a_stands != b_stands);
        CHECK(t.end(low).circuits().busy_count() == 3 && t.end(high).circuits().busy_count() == 3);
        const int winner = a_stands ? low : high;
        CHECK(t.end(1 - winner).leg(a_stands ? a : b)->state == LegState::incoming);
        t.release(winner, a_stands ? a : b);
        t.settle();
        CHECK(t.all_idle());
    }
}

// One wide seizure against two of the far end, of which it beats one and loses to the other.
void each_crossing_pair_is_settled_alike_at_both_ends() {
    for (unsigned order = 0; order < 8; ++order) {
        TwoEnds t(7);
        const CallRef x = t.seize(low, "x", 2), y = t.seize(low, "y", 4);  // 1 3, then 5 7 and two even ones
        const CallRef z = t.seize(high, "z", 5);                           // 2 4 6 and two odd ones
        for (unsigned step = 0; step < 3 && !(t.to[0].empty() && t.to[1].empty()); ++step) {
            const int e = order >> step & 1 ? low : high;
            if (!t.inbox(e).empty()) CHECK(!t.deliver(e));
        }
        t.settle();
        for (const CallRef ref : {x, y, z}) {
            const Leg *here = t.end(low).leg(ref), *there = t.end(high).leg(ref);
            CHECK((here == nullptr) == (there == nullptr));  // both ends have it, or neither
        }
        CHECK(t.end(low).circuits().busy_count() == t.end(high).circuits().busy_count());
        for (const CallRef ref : {x, y, z})
            for (const int e : {low, high})
                if (t.end(e).leg(ref) && t.end(e).leg(ref)->outgoing) t.release(e, ref);
        t.settle();
        CHECK(t.all_idle());
    }
}

// Both seize while the link is down but neither knows, and believe that they won.
void a_glare_over_a_cut_link_is_settled_when_it_returns() {
    TwoEnds t(1);
    const CallRef a = t.seize(low, "a"), b = t.seize(high, "b");
    t.down();  // with both seizures under way
    CHECK(t.told(low, "ended a " + kLost) && t.told(high, "ended b " + kLost));
    t.now += 19s;
    t.up(true);
    t.settle();
    CHECK(!t.end(low).leg(a) && !t.end(high).leg(b) && t.all_idle());
    CHECK(t.heard[low].size() + t.heard[high].size() <= 4);
    CHECK(std::count_if(t.heard[low].begin(), t.heard[low].end(),
                        [](const std::string& w) { return w.starts_with("ended a"); }) == 1);
}

void a_call_given_up_while_its_glare_is_settled_ends_once() {
    for (const int loser_first : {0, 1}) {
        TwoEnds t(1);
        t.seize(low, "a");
        const CallRef b = t.seize(high, "b");
        if (loser_first) {
            t.release(high, b);  // given up; the glare comes afterwards
            CHECK(!t.deliver(high));
        } else {
            CHECK(!t.deliver(high));  // lost, then given up
            t.release(high, b);
        }
        t.settle();
        CHECK(t.heard[high].size() <= 2 && !t.end(high).leg(b));
        CHECK(std::count(t.heard[high].begin(), t.heard[high].end(), "ended b " + kGlare) == !loser_first);
        CHECK(t.end(low).circuits().busy_count() == t.end(high).circuits().busy_count());
    }
}

// A seizure that crosses a release: the circuit is not free before the release is confirmed.
void a_seizure_that_crosses_a_release_is_turned_back() {
    TwoEnds t(1);
    const CallRef a = t.stand(low, "a");
    t.release(high, a);      // the callee hangs up
    CHECK(!t.deliver(low));  // the low end is idle, its confirmation under way
    CHECK(t.seize(high, "b") == kNoCall);
    const CallRef c = t.seize(low, "c");
    CHECK(c != kNoCall);
    t.settle();
    CHECK(t.told(high, "offered c") && t.end(high).circuits().busy_count() == 1);
    // Both release one call at once.
    t.answer(high, c);
    t.settle();
    t.release(low, c), t.release(high, c);
    t.settle();
    CHECK(t.all_idle() && t.heard[low].size() == 3);
}

// A release that is lost for good: the guard resets the circuit, and the far end's call ends with it.
void an_unconfirmed_release_becomes_a_reset() {
    TwoEnds t(2);
    const CallRef a = t.stand(low, "a");
    t.release(low, a);
    t.inbox(high).clear();  // lost for good
    t.pass(3s);
    CHECK(t.end(low).circuits().busy_count() == 1 && t.end(high).leg(a));
    t.pass(2s);
    CHECK(t.end(low).counts().release_timeouts == 1 &&
          t.end(low).circuits().at(1).state == CircuitState::resetting);
    t.inbox(high).clear();  // and the reset, too
    t.pass(6s);
    t.settle();
    CHECK(t.all_idle() && t.told(high, "ended a " + kReset));
}

void resets_of_both_ends_at_once_end_idle() {
    TwoEnds t(3);
    const CallRef a = t.stand(low, "a", 3);
    for (int e : {low, high})
        t.with(e, [&](Group& g, Effects& out) { return g.reset(t.now, {1, 2}, Reason::reset, out), 0; });
    CHECK(!t.deliver(low));
    const CallRef b = t.seize(low, "b", 3);  // idle here; its own reset is still to be confirmed
    CHECK(b != kNoCall);
    t.settle();
    // The late confirmation must not clear what has been seized since.
    CHECK(t.end(low).leg(b)->state == LegState::proceeding && t.end(low).circuits().busy_count() == 3);
    CHECK(!t.end(low).leg(a) && !t.end(high).leg(a));
    t.release(low, b);
    t.settle();
    CHECK(t.all_idle());
}

// The far end resets one circuit of a wide call: all of it ends, and none of the others leaks.
void a_reset_of_one_circuit_ends_the_wide_call() {
    TwoEnds t(4);
    const CallRef a = t.stand(low, "a", 3);
    CHECK(!t.receive(low, Reset{1, {3}}));
    CHECK(t.told(low, "ended a " + kReset) && t.end(low).circuits().at(3).is_idle());
    t.settle();
    CHECK(t.all_idle() && !t.end(high).leg(a));
}

void an_audit_frees_what_one_end_has_forgotten() {
    for (const int forgetful : {low, high}) {
        TwoEnds t(4);
        const CallRef kept = t.stand(low, "kept"), a = t.stand(low, "a", 2);
        t.end(forgetful).inject_memory_loss(a);
        for (int i = 0; i < 100; ++i) t.pass(1s), t.settle();
        CHECK(!t.end(1 - forgetful).leg(a) && t.told(1 - forgetful, "ended a " + kReset));
        CHECK(t.stands(kept) && t.end(low).circuits().busy_count() == 1 &&
              t.end(high).circuits().busy_count() == 1);
        CHECK(t.end(low).counts().audit_freed + t.end(high).counts().audit_freed > 0);
    }
}

// Seizure, answer and release cross the question of an audit that believes the first finding.
void a_live_call_is_never_cut_by_an_audit() {
    GroupRules a = TwoEnds::rules(low, 4), b = TwoEnds::rules(high, 4);
    a.audit.confirmations = b.audit.confirmations = 1;
    a.audit.interval = b.audit.interval = 1h;
    Random dice{5};
    for (int run = 0; run < 3000; ++run) {
        TwoEnds t(a, b);
        for (int step = 0; step < 40; ++step) {
            const int e = static_cast<int>(dice.below(2));
            std::vector<CallRef> mine;
            for (const auto& [ref, leg] : t.end(e).legs()) mine.push_back(ref);
            switch (dice.below(6)) {
                case 0:
                    t.seize(e, "c", 1 + static_cast<int>(dice.below(3)));
                    break;
                case 1:
                    t.end(e).audit_now(t.now);
                    t.pass(0s);
                    break;
                case 2:
                    if (!mine.empty()) t.answer(e, mine[dice.below(mine.size())]);
                    break;
                case 3:
                    if (!mine.empty() && dice.below(3) == 0) t.release(e, mine[dice.below(mine.size())]);
                    break;
                default:
                    if (!t.inbox(e).empty()) CHECK(!t.deliver(e));
            }
        }
        t.settle();
        for (int e : {low, high})
            CHECK(t.end(e).counts().audit_freed == 0 && t.end(e).counts().contradictions == 0);
        CHECK(t.end(low).circuits().busy_count() == t.end(high).circuits().busy_count());
    }
}

void a_restart_claims_what_its_ledger_knows() {
    for (const bool ledger : {true, false}) {
        TwoEnds t(4);
        const CallRef a = t.stand(low, "a", 2), b = t.seize(low, "b");
        t.settle();
        t.crash(low, ledger);
        t.up(false);
        t.settle();
        CHECK(t.stands(a) == ledger && !t.end(high).leg(b));
        CHECK(t.told(high, "ended b " + kLost));
        CHECK(t.told(high, "ended a " + kCut) == !ledger);
        CHECK(t.end(high).circuits().busy_count() == (ledger ? 2 : 0));
        CHECK(t.end(low).circuits().busy_count() == (ledger ? 2 : 0));
    }
}

void a_restart_of_both_ends_keeps_what_both_remember() {
    TwoEnds t(4);
    const CallRef a = t.stand(low, "a"), b = t.stand(high, "b");
    t.crash(low, true), t.crash(high, true);
    t.up(false), t.settle();
    CHECK(t.stands(a) && t.stands(b));
    t.crash(low, false), t.crash(high, true);
    t.up(false), t.settle();
    CHECK(t.all_idle() && t.told(high, "ended back " + kCut) == false);
    CHECK(t.end(high).counts().not_recovered == 2);
}

// A ledger is never trusted over the far end.
void a_call_that_ended_meanwhile_is_not_recovered() {
    TwoEnds t(4);
    const CallRef a = t.stand(low, "a");
    t.down();
    t.release(high, a);  // hangs up while the link is down
    t.crash(low, true);
    t.up(false), t.settle();
    CHECK(!t.end(low).leg(a) && t.all_idle() && t.told(low, "ended back " + kCut));
}

void a_restart_during_a_reset_or_an_audit_leaves_nothing_stuck() {
    for (const bool ledger : {true, false}) {
        TwoEnds t(4);
        t.stand(low, "a", 2);
        const CallRef b = t.stand(high, "b");
        t.with(high, [&](Group& g, Effects& out) { return g.reset(t.now, {1}, Reason::reset, out), 0; });
        t.end(high).audit_now(t.now);
        t.pass(0s);
        t.crash(low, ledger);
        t.up(false), t.settle();
        CHECK(t.stands(b) == ledger);
        t.end(high).audit_now(t.now);
        t.pass(0s), t.settle();
        CHECK(t.end(low).circuits().busy_count() == (ledger ? 1 : 0));
        CHECK(t.end(high).circuits().busy_count() == t.end(low).circuits().busy_count());
    }
}

// Calls stand over a cut of 19 s, and end where the link stays away for longer than they are held.
void a_link_that_stays_away_ends_its_calls() {
    TwoEnds t(4);
    const CallRef a = t.stand(low, "a");
    t.down();
    t.pass(19s);
    t.up(true), t.settle();
    CHECK(t.stands(a));
    t.down();
    t.pass(31s);
    CHECK(t.told(low, "ended a " + kCut) && t.told(high, "ended a " + kCut) && t.renewed[low] &&
          t.renewed[high]);
    t.up(false), t.settle();
    CHECK(t.all_idle() && t.end(low).free_circuits() == 4);
}

void blocked_circuits_are_left_alone() {
    TwoEnds t(4);
    const CallRef a = t.stand(low, "a");  // circuit 1
    t.with(high, [&](Group& g, Effects& out) { return g.block(t.now, {1, 2}, Blocking::soft, out), 0; });
    CHECK(t.end(high).free_circuits() == 2);
    // A seizure that crosses the blocking is turned back; what stands stays.
    t.with(low, [&](Group& g, Effects& out) { return g.block(t.now, {3, 4}, Blocking::soft, out), 0; });
    t.settle();
    CHECK(t.stands(a) && t.end(low).free_circuits() == 0 && t.end(high).free_circuits() == 0 &&
          t.seize(low, "b") == kNoCall);
    t.with(high, [&](Group& g, Effects& out) { return g.block(t.now, {1, 2}, Blocking::none, out), 0; });
    const CallRef c = t.seize(high, "c");
    CHECK(c != kNoCall && t.end(high).leg(c)->circuits == CircuitList{2});
    t.settle();
    // Hard: what stands is cut.
    t.with(high, [&](Group& g, Effects& out) { return g.block(t.now, {1}, Blocking::hard, out), 0; });
    t.settle();
    CHECK(t.told(high, "ended a " + kCut) && t.told(low, "ended a " + kCut) && t.end(low).leg(c));
    // After a restart of the far end it is told again.
    t.crash(low, true);
    t.up(false), t.settle();
    CHECK(t.end(low).circuits().at(1).blocked_there == Blocking::hard);
    CHECK(t.end(low).circuits().at(3).blocked_here == Blocking::none);  // its own it has forgotten
    CHECK(t.end(high).circuits().at(3).blocked_there == Blocking::none);
}

void a_seizure_of_a_blocked_circuit_is_turned_back() {
    TwoEnds t(1);
    t.with(high, [&](Group& g, Effects& out) { return g.block(t.now, {1}, Blocking::soft, out), 0; });
    t.seize(low, "a");  // has not heard of it
    CHECK(!t.deliver(high) && t.heard[high].empty());
    t.settle();
    CHECK(t.told(low, "ended a " + std::to_string(static_cast<int>(Reason::unusable))) && t.all_idle());
}

// What no honest far end says closes its connection and changes nothing here.
void what_cannot_be_is_refused() {
    TwoEnds t(4);
    const CallRef a = t.stand(low, "a");
    const CallRef theirs = 1ull << 63 | 1ull << 32 | 99, ours = 1ull << 32 | 99;
    CHECK(t.receive(low, Seize{ours, {2}, {.call = "x"}}) &&
          t.receive(low, Seize{theirs, {5}, {.call = "x"}}));
    CHECK(t.receive(low, Accept{theirs}) && t.receive(low, Reject{theirs, Reason::glare}));
    CHECK(t.receive(low, Answer{theirs, ""}) && t.receive(low, Reset{1, {9}}) &&
          t.receive(low, Query{1, 4, 2}));
    CHECK(t.receive(low, Block{false, Blocking::hard, {9}}) && t.receive(low, Claims{}));
    const CallRef b = t.seize(low, "b");
    CHECK(t.receive(low, Answer{b, ""}));  // before it was taken
    CHECK(t.stands(a) && t.heard[low].size() == 1);
    // A call that it makes up is released, and a circuit in use is not given away.
    CHECK(!t.receive(low, Accept{ours}));
    CHECK(!t.receive(low, Seize{theirs, {1}, {.call = "x"}}) && t.stands(a));
    CHECK(t.end(low).counts().contradictions == 2);
    // Repeats change nothing.
    t.settle();
    const std::size_t words = t.heard[low].size();
    for (int i = 0; i < 2; ++i) {
        CHECK(!t.receive(low, Answer{a, ""}) && !t.receive(low, ReleaseComplete{a}) &&
              !t.receive(low, Accept{a}));
        CHECK(!t.receive(low, ResetDone{7, {1}}) && !t.receive(low, QueryResponse{9, 1, {0, 0, 0, 0}}));
    }
    CHECK(t.heard[low].size() == words && t.stands(a));
    // Nor do an old seizure and an old reset, whose circuits others have by now.
    const Seize old{1ull << 63 | 1ull << 32 | 200, {4}, {.call = "old"}};
    const Reset reset{50, {4}};
    for (int i = 0; i < 2; ++i) {
        CHECK(!t.receive(low, reset) && !t.receive(low, old));
        t.release(low, old.call);
    }
    CHECK(t.told(low, "offered old") && !t.end(low).leg(old.call));
    const CallRef later = t.seize(low, "n", t.end(low).free_circuits());
    CHECK(t.end(low).circuits().at(4).call == later && !t.receive(low, reset));
    CHECK(t.end(low).leg(later)->state == LegState::seizing);
    Group fresh(TwoEnds::rules(low, 4), 1);
    Effects out;
    fresh.link_up(t.now, false, out);
    CHECK(fresh.receive(t.now, Seize{theirs, {1}, {.call = "x"}}, out));  // before its claims
    CHECK(fresh.receive(t.now, Claims{{{theirs, {5}}}, {}}, out) && !fresh.in_service());
    CHECK(fresh.receive(t.now, Claims{{}, {{5, Blocking::hard}}}, out) && !fresh.in_service());
    CHECK(!fresh.receive(t.now, Claims{{{theirs, {4}}}, {}}, out) && fresh.free_circuits() == 4);
}

// Traffic at random, messages in any order of the two directions, breaks of both kinds: it always settles.
void random_traffic_always_settles() {
    Random dice{17};
    for (int run = 0; run < 1500; ++run) {
        TwoEnds t(1 + static_cast<int>(dice.below(6)));
        bool up = true;
        for (int step = 0; step < 120; ++step) {
            const int e = static_cast<int>(dice.below(2));
            std::vector<CallRef> mine;
            for (const auto& [ref, leg] : t.end(e).legs()) mine.push_back(ref);
            const auto any = [&] { return mine[dice.below(mine.size())]; };
            switch (dice.below(12)) {
                case 0:
                case 1:
                    t.seize(e, "c", 1 + static_cast<int>(dice.below(3)));
                    break;
                case 2:
                case 3:
                    if (!mine.empty()) t.answer(e, any());
                    break;
                case 4:
                    if (!mine.empty()) t.release(e, any(), dice.below(2) ? Reason::normal : Reason::refused);
                    break;
                case 5:
                    if (dice.below(6) == 0)
                        up ? t.down() : t.up(!t.renewed[0] && !t.renewed[1] && dice.below(2)), up = !up;
                    break;
                case 6:
                    if (dice.below(3) == 0)
                        t.pass(Duration(static_cast<std::int64_t>(dice.below(8'000'000))));
                    break;
                case 7:
                    if (dice.below(20) == 0 && !mine.empty()) t.end(e).inject_memory_loss(any());
                    break;
                case 8:
                    if (dice.below(25) == 0) {
                        if (up) t.down();
                        t.crash(e, dice.below(2));
                        t.up(false), up = true, t.renewed = {};
                    }
                    break;
                default:
                    if (up && !t.inbox(e).empty()) CHECK(!t.deliver(e));
            }
        }
        if (!up) t.up(false);
        t.settle();
        for (int i = 0; i < 130 && !t.all_idle(); ++i) {
            for (int e : {low, high}) {
                std::vector<CallRef> own;
                for (const auto& [ref, leg] : t.end(e).legs())
                    if (leg.outgoing) own.push_back(ref);
                for (const CallRef ref : own) t.release(e, ref);
            }
            t.settle(), t.pass(1s), t.settle();
        }
        CHECK(t.all_idle() && t.end(low).legs().empty() && t.end(high).legs().empty());
    }
}

}  // namespace

int main() {
    a_call_takes_its_circuits_and_gives_them_back();
    a_refused_set_up_frees_at_once();
    one_of_two_seizures_stands();
    the_loser_may_route_again_at_once();
    wide_calls_win_or_lose_as_a_whole();
    each_crossing_pair_is_settled_alike_at_both_ends();
    a_glare_over_a_cut_link_is_settled_when_it_returns();
    a_call_given_up_while_its_glare_is_settled_ends_once();
    a_seizure_that_crosses_a_release_is_turned_back();
    an_unconfirmed_release_becomes_a_reset();
    resets_of_both_ends_at_once_end_idle();
    a_reset_of_one_circuit_ends_the_wide_call();
    an_audit_frees_what_one_end_has_forgotten();
    a_live_call_is_never_cut_by_an_audit();
    a_restart_claims_what_its_ledger_knows();
    a_restart_of_both_ends_keeps_what_both_remember();
    a_call_that_ended_meanwhile_is_not_recovered();
    a_restart_during_a_reset_or_an_audit_leaves_nothing_stuck();
    a_link_that_stays_away_ends_its_calls();
    blocked_circuits_are_left_alone();
    a_seizure_of_a_blocked_circuit_is_turned_back();
    what_cannot_be_is_refused();
    random_traffic_always_settles();
}
