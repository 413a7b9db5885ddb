// Two call tables, each with the real decision module, joined by a group over sessions: what callers hear.
#include <map>
#include <memory>
#include <set>

#include "calls/gatekeeper.hpp"
#include "calls/routes.hpp"
#include "net/check.hpp"
#include "trunk/trunk_manager.hpp"

using namespace nettlestall;
using namespace nettlestall::trunk;
using namespace std::chrono_literals;

namespace {

using Words = std::vector<std::string>;

struct Callers final : CallerLink {
    std::map<CallId, Words> heard;
    void answer(const CallId& call, Description) override { heard[call].push_back("answer"); }
    void release(const CallId& call, ReleaseReason ending) override {
        const char* const names[] = {"refused", "failed", "ended", "cut"};
        heard[call].push_back(names[static_cast<int>(ending)]);
    }
    std::string_view origin() const override { return "here"; }
};

struct Lines final : Switches {
    std::vector<CallId> offered;
    std::set<CallId> gone;
    void set_up(const ExchangeId&, const OutgoingSetUp& f) override { offered.push_back(f.call); }
    void cancel(const ExchangeId&, const CallId& call) override { gone.insert(call); }
    void release(const ExchangeId&, const CallId& call) override { gone.insert(call); }
};

struct Hub {
    Instant& now;
    Counters counters;
    Lines lines;
    calls::Routes routes{lines};
    calls::Gatekeeper table;
    TrunkManager front;
    Callers callers;
    TrunkManager::Trunk* trunk = nullptr;
    bool due = false;

    static Settings settings() {
        Settings s;
        s.call_control_count = 2, s.max_attempts = 5, s.release_wait = 300ms, s.drain_grace = 500ms;
        for (const int width : {1, 3}) {
            ClassSettings c;
            c.name = width == 1 ? "move" : "live-board";
            c.worth = width, c.width = width, c.aim = 20s, c.deadline = 90s;
            s.classes.push_back(c);
        }
        return s;
    }
    Hub(Instant& clock, int number, int circuits)
        : now(clock),
          table(settings(), 5, [this] { return now; }, routes, counters, {}),
          front(
              number, [this] { return now; }, table, table, table) {
        GroupSettings g;
        g.id = 7, g.exchange = "far", g.number = 3 - number;
        g.rules.point_codes = {number * 10, (3 - number) * 10}, g.rules.circuits = circuits;
        trunk = &front.add(g);
        front.begin(1, nullptr);
        routes.add_route("far", front);
        ListedExchange own;
        own.entry.exchange = "lines", own.entry.number = number;
        front.add_subscriber_lines(own);
        table.apply_list(front.with_far_hubs(
            {.number = 1, .has_list = true, .kind = ListKind::cached, .version = 1, .entries = {}}));
        LoadReport room;
        room.free_circuits = room.group_size = 100;
        table.on_group_state("lines", room);
        table.on_caller_connected(callers);
    }
    void call(const CallId& id, int to, int width = 1, Duration patience = 5s) {
        SetUpRequest o;
        o.call = id, o.service_class = width == 1 ? "move" : "live-board", o.number = id,
        o.description = "offer";
        o.time_left = patience, o.destination = to, o.width = width;
        table.on_set_up(callers, o);
    }
    const Words& heard(const CallId& id) { return callers.heard[id]; }
};

struct Pair {
    Instant now{1'000'000s};
    Hub a, b;
    std::string to[2];  // under way
    explicit Pair(int circuits) : a(now, 1, circuits), b(now, 2, circuits) { connect(), pump(); }
    void connect() { a.trunk->connected(), b.trunk->connected(); }
    void drop() {
        collect();
        to[0].clear(), to[1].clear();
        a.trunk->disconnected(), b.trunk->disconnected();
    }
    void collect() { to[1] += a.trunk->take_output(), to[0] += b.trunk->take_output(); }
    void pump() {
        for (collect(); !to[0].empty() || !to[1].empty(); collect())
            CHECK(a.trunk->receive_bytes(std::exchange(to[0], {})) &&
                  b.trunk->receive_bytes(std::exchange(to[1], {})));
    }
    void pass(Duration time) {
        for (const Instant end = now + time; now < end;) {
            now += 5ms;
            for (Hub* hub : {&a, &b}) hub->table.run_timers(), hub->front.run_timers();
            pump();
        }
    }
    int busy() { return a.trunk->group().circuits().busy_count() + b.trunk->group().circuits().busy_count(); }
};

void a_call_crosses_and_ends_once() {
    Pair p(4);
    p.a.call("x", 2);
    p.pump();
    CHECK(p.b.lines.offered == std::vector<CallId>{"x"});
    p.b.table.on_answer("lines", "x", "media");
    p.pump();
    CHECK(p.a.heard("x") == Words{"answer"} && p.busy() == 2);
    p.b.table.on_call_ended("lines", "x", Outcome::ended, Cause::none, {});
    p.pump();
    CHECK((p.a.heard("x") == Words{"answer", "ended"}) && p.busy() == 0);
    // Ended by the caller.
    p.a.call("y", 2);
    p.pump();
    p.b.table.on_answer("lines", "y", "media");
    p.pump();
    p.a.table.on_release(p.a.callers, "y");
    p.pump();
    CHECK(p.b.lines.gone.count("y") && p.busy() == 0 && p.a.table.calls() == 0 && p.b.table.calls() == 0);
}

// The module hears of free circuits, and of none while the link is down.
void the_module_knows_the_group() {
    Pair p(2);
    for (const char* id : {"x", "y", "z"}) p.a.call(id, 2), p.pump();
    CHECK(p.b.lines.offered.size() == 2 && p.a.heard("z").empty());  // it waits for a circuit
    p.a.table.on_release(p.a.callers, "x");
    p.pump();
    CHECK(p.b.lines.offered.size() == 3);
    p.drop();
    p.pass(400ms);
    p.a.call("w", 2, 1, 200ms);
    p.pass(500ms);
    CHECK(p.a.heard("w").size() == 1 && p.b.lines.offered.size() == 3);
}

// A call that lost a glare goes again at once, without the wait that follows a reset.
void a_lost_glare_is_no_circuit() {
    Pair p(2);
    p.a.call("a1", 2), p.b.call("b1", 1);  // own halves: no glare
    p.pump();
    CHECK(p.a.lines.offered.size() == 1 && p.b.lines.offered.size() == 1);
    p.a.table.on_release(p.a.callers, "a1"), p.b.table.on_release(p.b.callers, "b1");
    p.pump();
    p.a.call("a2", 2), p.a.call("a3", 2), p.b.call("b2", 1);  // circuit 2 is wanted by both
    p.pump();
    CHECK(p.b.lines.offered.back() == "a2" && p.a.lines.offered.back() == "b2");
    CHECK(p.a.trunk->group().counts().glares_lost == 1 && p.a.heard("a3").empty());
    p.b.table.on_release(p.b.callers, "b2");
    p.pump();  // no time has passed
    CHECK(p.b.lines.offered.back() == "a3");
    p.b.table.on_answer("lines", "a3", "media");
    p.pump();
    CHECK(p.a.heard("a3") == Words{"answer"});
}

// Given up, timed out, cut while the glare is settled: one final answer, none of it twice.
void a_call_given_up_in_a_glare_is_answered_once() {
    for (const int when : {0, 1, 2}) {
        Pair p(1);
        p.a.call("a", 2, 1, 100ms), p.b.call("b", 1, 1, 100ms);
        p.collect();
        if (when == 0) p.b.table.on_release(p.b.callers, "b");
        if (when == 1) p.drop(), p.connect();
        p.pump();
        if (when == 2) p.b.table.on_release(p.b.callers, "b");
        p.pump();
        p.pass(1s);
        CHECK(p.a.heard("a").size() == 1 && p.b.heard("b").size() == (when == 1 ? 1u : 0u));
        CHECK(p.busy() == 0 && p.a.table.unanswered_calls() == 0 && p.b.table.unanswered_calls() == 0);
    }
}

void a_break_gives_up_what_is_open_and_keeps_what_stands() {
    Pair p(4);
    p.a.call("s", 2), p.a.call("o", 2, 1, 2s);
    p.pump();
    p.b.table.on_answer("lines", "s", "media");
    p.pump();
    p.drop();
    CHECK(p.b.lines.gone.count("o") && !p.b.lines.gone.count("s"));
    p.pass(200ms);
    p.connect();
    p.pump();
    CHECK(p.b.lines.offered.size() == 2);  // not before 300 ms have passed
    p.pass(200ms);
    CHECK(p.b.lines.offered.size() == 3 && p.b.lines.offered.back() == "o");
    p.b.table.on_call_ended("lines", "s", Outcome::ended, Cause::none, {});
    p.pump();
    CHECK((p.a.heard("s") == Words{"answer", "ended"}));
    // One whose link stays away is cut at both ends.
    p.b.table.on_answer("lines", "o", "media");
    p.pump();
    p.drop();
    p.pass(31s);
    CHECK((p.a.heard("o") == Words{"answer", "cut"}) && p.b.lines.gone.count("o"));
}

// What only the group or only the table knows is let go by the next sweep.
void group_and_table_are_compared() {
    for (const bool near : {true, false}) {
        Pair p(4);
        p.a.call("x", 2, 3);
        p.pump();
        p.b.table.on_answer("lines", "x", "media");
        p.pump();
        Hub& forgetful = near ? p.a : p.b;
        forgetful.trunk->inject_memory_loss(forgetful.trunk->ref_of("x"));
        p.pass(70s);
        CHECK(p.busy() == 0 && p.a.table.calls() == 0 && p.b.table.calls() == 0);
        CHECK((p.a.heard("x") == Words{"answer", "cut"}) && p.b.lines.gone.count("x"));
    }
}

// The far end begins a call again under another reference while it has the first one.
void a_call_that_comes_again_replaces_the_first() {
    Pair p(4);
    p.a.call("x", 2);
    p.pump();
    const CallRef again = (1ull << 32) + 99;
    CHECK(!p.b.trunk->received(
        Seize{again, {3}, {.call = "x", .service_class = "move", .destination = 2, .wait = 5s}}));
    CHECK(p.b.lines.offered.size() == 2 && p.b.lines.gone.count("x") && p.b.table.calls() == 1);
    CHECK(p.b.trunk->ref_of("x") == again);
}

}  // namespace

int main() {
    a_call_crosses_and_ends_once();
    the_module_knows_the_group();
    a_lost_glare_is_no_circuit();
    a_call_given_up_in_a_glare_is_answered_once();
    a_break_gives_up_what_is_open_and_keeps_what_stands();
    group_and_table_are_compared();
    a_call_that_comes_again_replaces_the_first();
}
