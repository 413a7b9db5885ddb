// The pure parts of the trunk signalling, each by itself: circuits, glare, selection, audit, recovery,
// coding.
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

void circuits_go_only_where_they_can() {
    Circuits c(2);
    CHECK(c.free_count() == 2 && c.exists(2) && !c.exists(3) && !c.exists(0));
    CHECK(!c.apply(1, CircuitEvent::answer, 7));  // nobody has seized it
    CHECK(c.apply(1, CircuitEvent::seize, 7) && c.at(1).call == 7 && c.free_count() == 1);
    CHECK(!c.apply(1, CircuitEvent::accept_incoming, 8));  // the far end's seizure: glare comes first
    CHECK(c.apply(1, CircuitEvent::yield, 7) && c.apply(1, CircuitEvent::accept_incoming, 8) &&
          c.at(1).call == 8);
    CHECK(c.apply(1, CircuitEvent::answer, 8) && c.apply(1, CircuitEvent::release, 8));
    CHECK(!c.apply(1, CircuitEvent::accept_incoming, 9));  // the guard: not before the far end has confirmed
    CHECK(c.apply(1, CircuitEvent::clear, 0) && c.at(1).is_idle() && c.at(1).call == kNoCall);
    CHECK(c.at(1).changes == 6 && c.at(1).idle_since > c.at(2).idle_since);
    c.block_there(2, Blocking::soft);
    CHECK(c.free_count() == 1 && c.busy_count() == 0);
}

void both_ends_agree_who_yields() {
    const PointCodes low{10, 20}, high{20, 10};
    CHECK(controls(high, 2) && !controls(low, 2) && controls(low, 1) && !controls(high, 1));
    Random dice{99};
    for (int i = 0; i < 20'000; ++i) {
        std::set<CircuitNumber> a, b;
        for (std::size_t n = 1 + dice.below(5); n > 0; --n) a.insert(1 + static_cast<int>(dice.below(8)));
        for (std::size_t n = 1 + dice.below(5); n > 0; --n) b.insert(1 + static_cast<int>(dice.below(8)));
        const CircuitList as(a.begin(), a.end()), bs(b.begin(), b.end());
        const bool low_stands = our_seizure_wins(low, as, bs), high_stands = our_seizure_wins(high, bs, as);
        if (lowest_contested_circuit(as, bs) == 0)
            CHECK(low_stands && high_stands);
        else
            CHECK(low_stands != high_stands);  // exactly one
    }
}

void each_end_hunts_from_its_own_half() {
    Circuits c(6);
    const PointCodes low{10, 20}, high{20, 10};
    CHECK(hunt(c, low, 3, Hunting::own_half) == (CircuitList{1, 3, 5}));
    CHECK(hunt(c, high, 3, Hunting::own_half) == (CircuitList{2, 4, 6}));
    CHECK(hunt(c, high, 3, Hunting::ascending) == (CircuitList{1, 2, 3}));
    CHECK(hunt(c, low, 7, Hunting::own_half).empty());  // all or none
    // Of the own half that longest idle, of the other half that latest idle (Q.764, method 2).
    for (const int n : {1, 4, 2}) c.apply(n, CircuitEvent::seize, 1), c.apply(n, CircuitEvent::clear, 0);
    CHECK(hunt(c, low, 1, Hunting::own_half) == (CircuitList{3}));
    CHECK(hunt(c, low, 4, Hunting::own_half) == (CircuitList{1, 2, 3, 5}));
    // What was just lost in a glare comes last, but it comes.
    CHECK(hunt(c, low, 1, Hunting::own_half, {3}) == (CircuitList{5}));
    CHECK(hunt(c, low, 6, Hunting::own_half, {3}).size() == 6);
    c.block_here(5, Blocking::soft);
    CHECK(hunt(c, low, 6, Hunting::own_half).empty());
}

struct Question {
    Circuits circuits{4};
    AuditRules rules;
    Query query;
    Audit audit;
    explicit Question(int confirmations = 1, bool skip_changed_circuits = true)
        : rules{.confirmations = confirmations, .skip_changed_circuits = skip_changed_circuits},
          audit(rules) {
        circuits.apply(2, CircuitEvent::seize, 7), circuits.apply(2, CircuitEvent::accept, 7);
        ask(1000s);
    }
    void ask(Instant now) {
        audit.start_now(now);
        const auto asked = audit.ask(now, circuits);
        CHECK(asked && asked->first == 1 && asked->count == 4);
        query = *asked;
    }
    QueryResponse response(std::vector<CallRef> calls) const {
        return {query.id, query.first, std::move(calls)};
    }
};

void an_audit_frees_what_only_one_end_holds() {
    Question same;
    CHECK(same.audit.judge(same.response({0, 7, 0, 0}), same.circuits).empty());
    Question gone;
    CHECK(gone.audit.judge(gone.response({0, 0, 0, 0}), gone.circuits) == std::vector<CircuitNumber>{2});
    Question other;
    CHECK(other.audit.judge(other.response({0, 8, 0, 5}), other.circuits) ==
          (std::vector<CircuitNumber>{2, 4}));
    // Only the response to what was asked counts, and only once.
    Question late;
    const QueryResponse first = late.response({0, 0, 0, 0});
    late.ask(1010s);
    CHECK(late.audit.judge(first, late.circuits).empty());
    CHECK(late.audit.judge(late.response({0, 0}), late.circuits).empty());
    // Nor is an old response one to a question under other rules.
    Question before;
    const QueryResponse old = before.response({0, 0, 0, 0});
    before.audit.take(before.rules);
    before.ask(1010s);
    CHECK(before.audit.judge(old, before.circuits).empty());
    // What awaits a word of the other end, on either side, is no finding: a rejection may be under way.
    Question waits;
    CHECK(waits.audit.judge(waits.response({0, kTransient, kTransient, 0}), waits.circuits).empty());
    waits.circuits.apply(1, CircuitEvent::seize, 9);
    waits.ask(1010s);
    CHECK(waits.audit.judge(waits.response({0, 7, 0, 0}), waits.circuits).empty());
    // Two in a row, where so many are wanted.
    Question twice(2);
    CHECK(twice.audit.judge(twice.response({0, 0, 0, 0}), twice.circuits).empty() &&
          twice.audit.suspect_count() == 1);
    twice.ask(1001s);
    CHECK(twice.audit.judge(twice.response({0, 0, 0, 0}), twice.circuits) == std::vector<CircuitNumber>{2});
    // Between two findings it was seen in order: that starts anew.
    Question mended(2);
    CHECK(mended.audit.judge(mended.response({0, 0, 0, 0}), mended.circuits).empty());
    mended.ask(1001s);
    CHECK(mended.audit.judge(mended.response({0, 7, 0, 0}), mended.circuits).empty());
    mended.ask(1002s);
    CHECK(mended.audit.judge(mended.response({0, 0, 0, 0}), mended.circuits).empty());
}

// What happened between question and response is no finding. Without the guard it is one.
void what_crosses_the_question_is_left_alone() {
    for (const bool heeds : {true, false}) {
        Question taken(1, heeds);
        taken.circuits.apply(3, CircuitEvent::accept_incoming, 9);  // its news crosses the response
        CHECK(taken.audit.judge(taken.response({0, 7, 0, 0}), taken.circuits).empty() == heeds);
        Question released(1, heeds);
        released.circuits.apply(2, CircuitEvent::clear, 0);
        CHECK(released.audit.judge(released.response({0, 7, 0, 0}), released.circuits).empty() == heeds);
        Question again(1, heeds);  // released and seized: the state is as before, the call is another
        again.circuits.apply(2, CircuitEvent::clear, 0);
        again.circuits.apply(2, CircuitEvent::accept_incoming, 8);
        CHECK(again.audit.judge(again.response({0, 7, 0, 0}), again.circuits).empty() == heeds);
    }
}

void audits_go_round_the_group() {
    Circuits c(10);
    Audit audit({.interval = 30s, .response_timeout = 5s, .circuits_per_query = 4});
    CHECK(!audit.ask(1000s, c) && audit.next_timer() == 1030s);
    std::vector<int> firsts;
    Instant now = 1030s;
    for (int i = 0; i < 3; ++i) {
        const auto asked = audit.ask(now, c);
        CHECK(asked);
        firsts.push_back(asked->first);
        CHECK(!audit.ask(now, c));  // one question at a time
        audit.judge({asked->id, asked->first, std::vector<CallRef>(static_cast<std::size_t>(asked->count))},
                    c);
    }
    CHECK(firsts == (std::vector<int>{1, 5, 9}) && audit.next_timer() == 1060s);
    CHECK(audit.ask(1060s, c) && !audit.ask(1064s, c) && audit.ask(1065s, c));  // unanswered: put anew
    CHECK(!Audit({.enabled = false}).ask(1000s, c));
}

void only_what_both_claim_is_kept() {
    const std::vector<Claim> ours{{1, {1}}, {2, {2, 3}}, {3, {4}}}, theirs{{1, {1}}, {2, {2, 5}}, {4, {6}}};
    const Reconciled a = reconcile(ours, theirs), b = reconcile(theirs, ours);
    CHECK(a.kept == std::vector<CallRef>{1} && b.kept == a.kept);
    CHECK(a.ours == (std::vector<CallRef>{2, 3}) && a.theirs == (std::vector<CallRef>{2, 4}));
    CHECK(!find_error({theirs, {{9, Blocking::hard}}}, 9));
    CHECK(find_error({theirs, {}}, 5) && find_error({{{1, {1}}, {1, {2}}}, {}}, 9));
    CHECK(find_error({{{1, {1}}, {2, {1}}}, {}}, 9) && find_error({{}, {{10, Blocking::soft}}}, 9));
    // A ledger that contradicts itself, or is of a larger group, loses the calls concerned and no others.
    const std::vector<Claim> sound = select_claimable(
        {{1, {1}}, {2, {2, 3}}, {3, {3}}, {4, {7}}, {5, {}}, {6, {5, 4}}, {8, {6}}, {8, {5}}, {9, {0}}}, 6);
    CHECK(sound == (std::vector<Claim>{{1, {1}}}));
}

// ---- Coding ------------------------------------------------------------------------------------------

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

void what_is_written_is_read() {
    FrameReader reader;
    std::string bytes;
    for (const Frame& frame : samples()) bytes += encode(frame);
    std::vector<std::string> found;
    Frame frame;
    for (const char byte : bytes) {  // one at a time
        reader.append(std::string_view(&byte, 1));
        while (reader.next(frame) == FrameReader::Status::complete) found.push_back(encode(frame));
    }
    CHECK(found.size() == samples().size());
    for (std::size_t i = 0; i < found.size(); ++i) CHECK(found[i] == encode(samples()[i]));
}

void what_is_malformed_is_told() {
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

void garbage_and_bent_bytes_break_nothing() {
    Random dice{4711};
    const std::vector<Frame> all = samples();
    for (int i = 0; i < 60'000; ++i) {
        std::string bytes = encode(all[dice.below(all.size())]);
        for (std::size_t n = dice.below(4); n > 0; --n)
            bytes[dice.below(bytes.size())] = static_cast<char>(dice.below(256));
        if (dice.below(4) == 0) bytes.resize(dice.below(bytes.size()));
        FrameReader reader;
        reader.append(bytes);
        Frame frame;
        while (reader.next(frame) == FrameReader::Status::complete) {
            // Whatever is taken keeps to its bounds, and is the same when written again.
            const auto again = decode(std::string_view(encode(frame)).substr(kFrameLengthBytes));
            CHECK(again && encode(*again) == encode(frame));
        }
    }
}

}  // namespace

int main() {
    circuits_go_only_where_they_can();
    both_ends_agree_who_yields();
    each_end_hunts_from_its_own_half();
    an_audit_frees_what_only_one_end_holds();
    what_crosses_the_question_is_left_alone();
    audits_go_round_the_group();
    only_what_both_claim_is_kept();
    what_is_written_is_read();
    what_is_malformed_is_told();
    garbage_and_bent_bytes_break_nothing();
}
