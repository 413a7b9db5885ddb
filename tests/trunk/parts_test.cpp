// The parts of the trunk signalling that have no I/O, each by itself: circuits, glare, selection, audit,
// recovery, coding.
#include <algorithm>
#include <limits>
#include <set>

#include "net/check.hpp"
#include "trunk/audit.hpp"
#include "trunk/glare.hpp"
#include "trunk/messages.hpp"
#include "trunk/recovery.hpp"
#include "trunk/selection.hpp"

using namespace nettlestall;
using namespace nettlestall::trunk;
using namespace std::chrono_literals;
using test::Random;

namespace {

void circuits_reject_events_that_their_state_does_not_allow() {
    Circuits c(2);
    CHECK(c.free_count() == 2 && c.exists(2) && !c.exists(3) && !c.exists(0));
    CHECK(!c.apply(1, CircuitEvent::answer, 7));  // not seized
    CHECK(c.apply(1, CircuitEvent::seize, 7) && c.at(1).call == 7 && c.free_count() == 1);
    // A seizure of the far end: the glare has to be settled first.
    CHECK(!c.apply(1, CircuitEvent::accept_incoming, 8));
    CHECK(c.apply(1, CircuitEvent::yield, 7) && c.apply(1, CircuitEvent::accept_incoming, 8) &&
          c.at(1).call == 8);
    CHECK(c.apply(1, CircuitEvent::answer, 8) && c.apply(1, CircuitEvent::release, 8));
    CHECK(!c.apply(1, CircuitEvent::accept_incoming, 9));  // not before the far end has confirmed the release
    CHECK(c.apply(1, CircuitEvent::clear, 0) && c.at(1).is_idle() && c.at(1).call == kNoCall);
    CHECK(c.at(1).changes == 6 && c.at(1).idle_order > c.at(2).idle_order);
    c.block_there(2, Blocking::soft);
    CHECK(c.free_count() == 1 && c.busy_count() == 0);
}

void both_ends_agree_which_seizure_wins() {
    const PointCodes low{10, 20}, high{20, 10};
    CHECK(controls(high, 2) && !controls(low, 2) && controls(low, 1) && !controls(high, 1));
    Random random{99};
    for (int i = 0; i < 20'000; ++i) {
        std::set<CircuitNumber> a, b;
        for (std::size_t n = 1 + random.below(5); n > 0; --n) a.insert(1 + static_cast<int>(random.below(8)));
        for (std::size_t n = 1 + random.below(5); n > 0; --n) b.insert(1 + static_cast<int>(random.below(8)));
        const CircuitList as(a.begin(), a.end()), bs(b.begin(), b.end());
        const bool low_wins = our_seizure_wins(low, as, bs), high_wins = our_seizure_wins(high, bs, as);
        if (lowest_contested_circuit(as, bs) == 0)
            CHECK(low_wins && high_wins);
        else
            CHECK(low_wins != high_wins);  // exactly one
    }
}

void each_end_hunts_in_its_own_half_first() {
    Circuits c(6);
    const PointCodes low{10, 20}, high{20, 10};
    CHECK(hunt(c, low, 3, Hunting::own_half) == (CircuitList{1, 3, 5}));
    CHECK(hunt(c, high, 3, Hunting::own_half) == (CircuitList{2, 4, 6}));
    CHECK(hunt(c, high, 3, Hunting::ascending) == (CircuitList{1, 2, 3}));
    CHECK(hunt(c, low, 7, Hunting::own_half).empty());  // fewer are free: none is selected
    // In the own half the circuit longest idle comes first, in the other half the one most recently idle
    // (Q.764, method 2).
    for (const int n : {1, 4, 2}) c.apply(n, CircuitEvent::seize, 1), c.apply(n, CircuitEvent::clear, 0);
    CHECK(hunt(c, low, 1, Hunting::own_half) == (CircuitList{3}));
    CHECK(hunt(c, low, 4, Hunting::own_half) == (CircuitList{1, 2, 3, 5}));
    // A circuit just lost in a glare comes last, but is used if there is no other.
    CHECK(hunt(c, low, 1, Hunting::own_half, {3}) == (CircuitList{5}));
    CHECK(hunt(c, low, 6, Hunting::own_half, {3}).size() == 6);
    c.block_here(5, Blocking::soft);
    CHECK(hunt(c, low, 6, Hunting::own_half).empty());
}

// A group of four circuits with a call on circuit 2, and a query about all of them.
struct AuditRound {
    Circuits circuits{4};
    AuditRules rules;
    Query query;
    Audit audit;
    explicit AuditRound(int confirmations = 1, bool skip_changed_circuits = true)
        : rules{.confirmations = confirmations, .skip_changed_circuits = skip_changed_circuits},
          audit(rules) {
        circuits.apply(2, CircuitEvent::seize, 7), circuits.apply(2, CircuitEvent::accept, 7);
        send_query(1000s);
    }
    void send_query(Instant now) {
        audit.start_now(now);
        const auto sent = audit.next_query(now, circuits);
        CHECK(sent && sent->first == 1 && sent->count == 4);
        query = *sent;
    }
    QueryResponse response(std::vector<CallRef> calls) const {
        return {query.id, query.first, std::move(calls)};
    }
};

void audit_finds_circuits_held_at_one_end_only() {
    AuditRound same;
    CHECK(same.audit.evaluate(same.response({0, 7, 0, 0}), same.circuits).empty());
    AuditRound gone;
    CHECK(gone.audit.evaluate(gone.response({0, 0, 0, 0}), gone.circuits) == std::vector<CircuitNumber>{2});
    AuditRound other;
    CHECK(other.audit.evaluate(other.response({0, 8, 0, 5}), other.circuits) ==
          (std::vector<CircuitNumber>{2, 4}));
    // Only the response to the last query counts, and only once.
    AuditRound late;
    const QueryResponse first = late.response({0, 0, 0, 0});
    late.send_query(1010s);
    CHECK(late.audit.evaluate(first, late.circuits).empty());
    CHECK(late.audit.evaluate(late.response({0, 0}), late.circuits).empty());
    // After a change of the rules the response to an earlier query does not count either.
    AuditRound before;
    const QueryResponse old = before.response({0, 0, 0, 0});
    before.audit.set_rules(before.rules);
    before.send_query(1010s);
    CHECK(before.audit.evaluate(old, before.circuits).empty());
    // A circuit that waits for a message from the other end, at either end, is no mismatch: a rejection may
    // be in transit.
    AuditRound transient;
    CHECK(transient.audit.evaluate(transient.response({0, kTransient, kTransient, 0}), transient.circuits)
              .empty());
    transient.circuits.apply(1, CircuitEvent::seize, 9);
    transient.send_query(1010s);
    CHECK(transient.audit.evaluate(transient.response({0, 7, 0, 0}), transient.circuits).empty());
    // With two confirmations a circuit is found at the second mismatch in a row.
    AuditRound twice(2);
    CHECK(twice.audit.evaluate(twice.response({0, 0, 0, 0}), twice.circuits).empty() &&
          twice.audit.suspect_count() == 1);
    twice.send_query(1001s);
    CHECK(twice.audit.evaluate(twice.response({0, 0, 0, 0}), twice.circuits) ==
          std::vector<CircuitNumber>{2});
    // A match between two mismatches starts the count again.
    AuditRound interrupted(2);
    CHECK(interrupted.audit.evaluate(interrupted.response({0, 0, 0, 0}), interrupted.circuits).empty());
    interrupted.send_query(1001s);
    CHECK(interrupted.audit.evaluate(interrupted.response({0, 7, 0, 0}), interrupted.circuits).empty());
    interrupted.send_query(1002s);
    CHECK(interrupted.audit.evaluate(interrupted.response({0, 0, 0, 0}), interrupted.circuits).empty());
}

// A circuit that changed between query and response is no mismatch. With skip_changed_circuits off it counts
// as one.
void audit_skips_circuits_that_changed_after_the_query() {
    for (const bool skips : {true, false}) {
        AuditRound seized(1, skips);
        // The message about this seizure crosses the response.
        seized.circuits.apply(3, CircuitEvent::accept_incoming, 9);
        CHECK(seized.audit.evaluate(seized.response({0, 7, 0, 0}), seized.circuits).empty() == skips);
        AuditRound released(1, skips);
        released.circuits.apply(2, CircuitEvent::clear, 0);
        CHECK(released.audit.evaluate(released.response({0, 7, 0, 0}), released.circuits).empty() == skips);
        AuditRound again(1, skips);  // released and seized again: the same state, another call
        again.circuits.apply(2, CircuitEvent::clear, 0);
        again.circuits.apply(2, CircuitEvent::accept_incoming, 8);
        CHECK(again.audit.evaluate(again.response({0, 7, 0, 0}), again.circuits).empty() == skips);
    }
}

void audit_queries_the_whole_group_in_turn() {
    Circuits c(10);
    Audit audit({.interval = 30s, .response_timeout = 5s, .circuits_per_query = 4});
    CHECK(!audit.next_query(1000s, c) && audit.next_timer() == 1030s);
    std::vector<int> firsts;
    Instant now = 1030s;
    for (int i = 0; i < 3; ++i) {
        const auto sent = audit.next_query(now, c);
        CHECK(sent);
        firsts.push_back(sent->first);
        CHECK(!audit.next_query(now, c));  // one query at a time
        audit.evaluate({sent->id, sent->first, std::vector<CallRef>(static_cast<std::size_t>(sent->count))},
                       c);
    }
    CHECK(firsts == (std::vector<int>{1, 5, 9}) && audit.next_timer() == 1060s);
    CHECK(audit.next_query(1060s, c) && !audit.next_query(1064s, c) &&
          audit.next_query(1065s, c));  // repeated after the response time-out
    CHECK(!Audit({.enabled = false}).next_query(1000s, c));
}

void only_calls_claimed_by_both_ends_are_kept() {
    const std::vector<Claim> ours{{1, {1}}, {2, {2, 3}}, {3, {4}}}, theirs{{1, {1}}, {2, {2, 5}}, {4, {6}}};
    const Reconciliation a = reconcile(ours, theirs), b = reconcile(theirs, ours);
    CHECK(a.kept == std::vector<CallRef>{1} && b.kept == a.kept);
    CHECK(a.only_ours == (std::vector<CallRef>{2, 3}) && a.only_theirs == (std::vector<CallRef>{2, 4}));
    CHECK(!find_error({theirs, {{9, Blocking::hard}}}, 9));
    CHECK(find_error({theirs, {}}, 5) && find_error({{{1, {1}}, {1, {2}}}, {}}, 9));
    CHECK(find_error({{{1, {1}}, {2, {1}}}, {}}, 9) && find_error({{}, {{10, Blocking::soft}}}, 9));
    // Where a ledger contradicts itself or comes from a larger group, only the calls concerned are lost.
    const std::vector<Claim> claimable = select_claimable(
        {{1, {1}}, {2, {2, 3}}, {3, {3}}, {4, {7}}, {5, {}}, {6, {5, 4}}, {8, {6}}, {8, {5}}, {9, {0}}}, 6);
    CHECK(claimable == (std::vector<Claim>{{1, {1}}}));
}

// ---- Coding ------------------------------------------------------------------------------------------

// One frame of each kind and each message.
std::vector<Frame> samples() {
    const CallData data{
        "00000000000000aa", "live-board", "7f3a", std::string("a\0b", 3), 3, 1, 1500ms, true, false};
    std::vector<Frame> all{Hello{1, 10, 20, 7, 30, 5, 6, 9}, Heartbeat{44}, Bye{"why"}};
    const Message messages[] = {Seize{1ull << 63 | 5, {1, 4, 2048}, data},
                                Accept{5},
                                Reject{5, Reason::glare},
                                Answer{5, "media"},
                                Release{5, Reason::cut},
                                ReleaseComplete{5},
                                Reset{1, {2, 3}},
                                ResetDone{1, {2, 3}},
                                Block{true, Blocking::hard, {1}},
                                Query{3, 1, 30},
                                QueryResponse{3, 1, {0, 5, 0}},
                                Claims{{{5, {1, 2}}}, {{4, Blocking::soft}}}};
    for (const Message& message : messages) all.push_back(NumberedMessage{77, 76, message});
    return all;
}

void encoded_frames_are_decoded() {
    FrameReader reader;
    std::string bytes;
    for (const Frame& frame : samples()) bytes += encode(frame);
    std::vector<std::string> decoded;
    Frame frame;
    for (const char byte : bytes) {  // one at a time
        reader.append(std::string_view(&byte, 1));
        while (reader.next(frame) == FrameReader::Status::complete) decoded.push_back(encode(frame));
    }
    CHECK(decoded.size() == samples().size());
    for (std::size_t i = 0; i < decoded.size(); ++i) CHECK(decoded[i] == encode(samples()[i]));
}

void malformed_frames_are_refused() {
    for (const Frame& sample : samples()) {
        const std::string whole = encode(sample).substr(kFrameLengthBytes);
        for (std::size_t cut = 0; cut < whole.size(); ++cut) CHECK(!decode(whole.substr(0, cut)));
        CHECK(!decode(whole + '\0'));
    }
    const auto refused = [](const Message& message) {
        return !decode(std::string_view(encode(NumberedMessage{1, 0, message})).substr(kFrameLengthBytes));
    };
    CHECK(refused(Seize{1, {}, {.call = "a"}}) && refused(Seize{1, {2, 1}, {.call = "a"}}));
    CHECK(refused(Seize{1, {2, 2}, {.call = "a"}}) && refused(Seize{1, {0}, {.call = "a"}}));
    CHECK(refused(Seize{1, {2049}, {.call = "a"}}) && refused(Seize{0, {1}, {.call = "a"}}));
    CHECK(refused(Seize{1, {1}, {.call = ""}}) && refused(Reset{1, {3, 1}}));
    CHECK(refused(Claims{{{0, {1}}}, {}}) && refused(Claims{{{1, {}}}, {}}));
    FrameReader huge;
    huge.append(std::string("\xff\xff\xff\xff", 4));
    Frame frame;
    CHECK(huge.next(frame) == FrameReader::Status::malformed);
}

void corrupted_bytes_yield_only_valid_frames() {
    Random random{4711};
    const std::vector<Frame> all = samples();
    for (int i = 0; i < 60'000; ++i) {
        std::string bytes = encode(all[random.below(all.size())]);
        for (std::size_t n = random.below(4); n > 0; --n)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        if (random.below(4) == 0) bytes.resize(random.below(bytes.size()));
        FrameReader reader;
        reader.append(bytes);
        Frame frame;
        while (reader.next(frame) == FrameReader::Status::complete) {
            // A decoded frame keeps to its limits, and yields the same bytes when encoded and decoded again.
            const auto again = decode(std::string_view(encode(frame)).substr(kFrameLengthBytes));
            CHECK(again && encode(*again) == encode(frame));
        }
    }
}

}  // namespace

int main() {
    circuits_reject_events_that_their_state_does_not_allow();
    both_ends_agree_which_seizure_wins();
    each_end_hunts_in_its_own_half_first();
    audit_finds_circuits_held_at_one_end_only();
    audit_skips_circuits_that_changed_after_the_query();
    audit_queries_the_whole_group_in_turn();
    only_calls_claimed_by_both_ends_are_kept();
    encoded_frames_are_decoded();
    malformed_frames_are_refused();
    corrupted_bytes_yield_only_valid_frames();
}
