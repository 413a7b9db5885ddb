// Two hubs, each with a call table, the real decision module and a trunk manager, joined by a circuit group.
// Checks what callers and subscriber lines receive.
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

using Events = std::vector<std::string>;

// The callers of a hub: what each call receives.
struct Callers final : CallerLink {
    std::map<CallId, Events> events;
    bool answer(const CallId& call, Description) override {
        events[call].push_back("answer");
        return true;
    }
    void release(const CallId& call, ReleaseReason reason) override {
        const char* const names[] = {"refused", "failed", "ended", "cut"};
        events[call].push_back(names[static_cast<int>(reason)]);
    }
    std::string_view origin() const override { return "here"; }
};

// The subscriber lines of a hub: what is set up to them.
struct Lines final : Switches {
    std::vector<CallId> offered;
    std::set<CallId> ended;  // cancelled or released
    void set_up(const ExchangeId&, const OutgoingSetUp& request) override { offered.push_back(request.call); }
    void cancel(const ExchangeId&, const CallId& call) override { ended.insert(call); }
    void release(const ExchangeId&, const CallId& call) override { ended.insert(call); }
};

// A hub with one circuit group, to the hub with the other number (1 or 2).
struct Hub {
    Instant& now;
    Counters counters;
    Lines lines;
    calls::Routes routes{lines};
    calls::Gatekeeper table;
    TrunkManager manager;
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
          manager(
              number, [this] { return now; }, table, table, table) {
        GroupSettings g;
        g.id = 7, g.exchange = "far", g.number = 3 - number;
        g.rules.point_codes = {number * 10, (3 - number) * 10}, g.rules.circuits = circuits;
        trunk = &manager.add(g);
        manager.begin(1, nullptr);
        routes.add_route("far", manager);
        ListedExchange own;
        own.entry.exchange = "lines", own.entry.number = number;
        manager.add_subscriber_lines(own);
        table.apply_list(manager.with_far_hubs(
            {.number = 1, .has_list = true, .kind = ListKind::cached, .version = 1, .entries = {}}));
        LoadReport load;
        load.free_circuits = load.group_size = 100;
        table.on_group_state("lines", load);
        table.on_caller_connected(callers);
    }
    void call(const CallId& id, int to, int width = 1, Duration time_left = 5s) {
        SetUpRequest request;
        request.call = id, request.service_class = width == 1 ? "move" : "live-board", request.number = id,
        request.description = "offer";
        request.time_left = time_left, request.destination = to, request.width = width;
        table.on_set_up(callers, request);
    }
    const Events& events(const CallId& id) { return callers.events[id]; }
};

// Two hubs, the bytes in transit between them, and a clock.
struct TwoHubs {
    Instant now{1'000'000s};
    Hub a, b;
    std::string in_transit[2];  // bytes to a, to b
    explicit TwoHubs(int circuits) : a(now, 1, circuits), b(now, 2, circuits) { connect(), deliver_all(); }
    void connect() { a.trunk->connected(), b.trunk->connected(); }
    void disconnect() {
        collect();
        in_transit[0].clear(), in_transit[1].clear();
        a.trunk->disconnected(), b.trunk->disconnected();
    }
    void collect() { in_transit[1] += a.trunk->take_output(), in_transit[0] += b.trunk->take_output(); }
    void deliver_all() {
        for (collect(); !in_transit[0].empty() || !in_transit[1].empty(); collect())
            CHECK(a.trunk->receive_bytes(std::exchange(in_transit[0], {})) &&
                  b.trunk->receive_bytes(std::exchange(in_transit[1], {})));
    }
    void advance(Duration time) {
        for (const Instant end = now + time; now < end;) {
            now += 5ms;
            for (Hub* hub : {&a, &b}) hub->table.run_timers(), hub->manager.run_timers();
            deliver_all();
        }
    }
    int busy_circuits() {
        return a.trunk->group().circuits().busy_count() + b.trunk->group().circuits().busy_count();
    }
};

void call_crosses_and_ends_once() {
    TwoHubs t(4);
    t.a.call("x", 2);
    t.deliver_all();
    CHECK(t.b.lines.offered == std::vector<CallId>{"x"});
    t.b.table.on_answer("lines", "x", "media");
    t.deliver_all();
    CHECK(t.a.events("x") == Events{"answer"} && t.busy_circuits() == 2);
    t.b.table.on_call_ended("lines", "x", Outcome::ended, Cause::none, {});
    t.deliver_all();
    CHECK((t.a.events("x") == Events{"answer", "ended"}) && t.busy_circuits() == 0);
    // Ended by the caller.
    t.a.call("y", 2);
    t.deliver_all();
    t.b.table.on_answer("lines", "y", "media");
    t.deliver_all();
    t.a.table.on_release(t.a.callers, "y");
    t.deliver_all();
    CHECK(t.b.lines.ended.count("y") && t.busy_circuits() == 0 && t.a.table.calls() == 0 &&
          t.b.table.calls() == 0);
}

// The decision module receives the number of free circuits, which is zero while the link is down.
void decision_module_knows_the_free_circuits() {
    TwoHubs t(2);
    for (const char* id : {"x", "y", "z"}) t.a.call(id, 2), t.deliver_all();
    CHECK(t.b.lines.offered.size() == 2 && t.a.events("z").empty());  // it waits for a circuit
    t.a.table.on_release(t.a.callers, "x");
    t.deliver_all();
    CHECK(t.b.lines.offered.size() == 3);
    t.disconnect();
    t.advance(400ms);
    t.a.call("w", 2, 1, 200ms);
    t.advance(500ms);
    CHECK(t.a.events("w").size() == 1 && t.b.lines.offered.size() == 3);
}

// A call that has lost a glare is tried again at once, without the wait that follows a reset.
void lost_glare_counts_as_no_circuit() {
    TwoHubs t(2);
    t.a.call("a1", 2), t.b.call("b1", 1);  // own halves: no glare
    t.deliver_all();
    CHECK(t.a.lines.offered.size() == 1 && t.b.lines.offered.size() == 1);
    t.a.table.on_release(t.a.callers, "a1"), t.b.table.on_release(t.b.callers, "b1");
    t.deliver_all();
    t.a.call("a2", 2), t.a.call("a3", 2), t.b.call("b2", 1);  // circuit 2 is wanted by both
    t.deliver_all();
    CHECK(t.b.lines.offered.back() == "a2" && t.a.lines.offered.back() == "b2");
    CHECK(t.a.trunk->group().counts().glares_lost == 1 && t.a.events("a3").empty());
    t.b.table.on_release(t.b.callers, "b2");
    t.deliver_all();  // no time has passed
    CHECK(t.b.lines.offered.back() == "a3");
    t.b.table.on_answer("lines", "a3", "media");
    t.deliver_all();
    CHECK(t.a.events("a3") == Events{"answer"});
}

// Two set-ups collide and later time out. One is cancelled before the glare is noticed (0) or after it (2),
// or the link breaks during the glare (1). Each caller that still waits must receive exactly one final
// answer.
void set_up_cancelled_during_glare_has_one_final_answer() {
    for (const int when : {0, 1, 2}) {
        TwoHubs t(1);
        t.a.call("a", 2, 1, 100ms), t.b.call("b", 1, 1, 100ms);
        t.collect();
        if (when == 0) t.b.table.on_release(t.b.callers, "b");
        if (when == 1) t.disconnect(), t.connect();
        t.deliver_all();
        if (when == 2) t.b.table.on_release(t.b.callers, "b");
        t.deliver_all();
        t.advance(1s);
        CHECK(t.a.events("a").size() == 1 && t.b.events("b").size() == (when == 1 ? 1u : 0u));
        CHECK(t.busy_circuits() == 0 && t.a.table.unanswered_calls() == 0 &&
              t.b.table.unanswered_calls() == 0);
    }
}

void link_break_cancels_set_ups_and_keeps_standing_calls() {
    TwoHubs t(4);
    t.a.call("s", 2), t.a.call("o", 2, 1, 2s);
    t.deliver_all();
    t.b.table.on_answer("lines", "s", "media");
    t.deliver_all();
    t.disconnect();
    CHECK(t.b.lines.ended.count("o") && !t.b.lines.ended.count("s"));
    t.advance(200ms);
    t.connect();
    t.deliver_all();
    CHECK(t.b.lines.offered.size() == 2);  // not before 300 ms have passed
    t.advance(200ms);
    CHECK(t.b.lines.offered.size() == 3 && t.b.lines.offered.back() == "o");
    t.b.table.on_call_ended("lines", "s", Outcome::ended, Cause::none, {});
    t.deliver_all();
    CHECK((t.a.events("s") == Events{"answer", "ended"}));
    // A call whose link stays down is cut at both ends.
    t.b.table.on_answer("lines", "o", "media");
    t.deliver_all();
    t.disconnect();
    t.advance(31s);
    CHECK((t.a.events("o") == Events{"answer", "cut"}) && t.b.lines.ended.count("o"));
}

// A memory fault makes the group of one hub lose a call that its call table still has. Both hubs must release
// the call.
void calls_of_group_or_table_only_are_released() {
    for (const bool near : {true, false}) {
        TwoHubs t(4);
        t.a.call("x", 2, 3);
        t.deliver_all();
        t.b.table.on_answer("lines", "x", "media");
        t.deliver_all();
        Hub& faulty = near ? t.a : t.b;
        faulty.trunk->inject_memory_loss(faulty.trunk->ref_of("x"));
        t.advance(70s);
        CHECK(t.busy_circuits() == 0 && t.a.table.calls() == 0 && t.b.table.calls() == 0);
        CHECK((t.a.events("x") == Events{"answer", "cut"}) && t.b.lines.ended.count("x"));
    }
}

// The far end sets a call up again under another reference while the first set-up is still known here.
void repeated_set_up_replaces_the_first() {
    TwoHubs t(4);
    t.a.call("x", 2);
    t.deliver_all();
    const CallRef again = (1ull << 32) + 99;
    CHECK(!t.b.trunk->received(
        Seize{again, {3}, {.call = "x", .service_class = "move", .destination = 2, .time_limit = 5s}}));
    CHECK(t.b.lines.offered.size() == 2 && t.b.lines.ended.count("x") && t.b.table.calls() == 1);
    CHECK(t.b.trunk->ref_of("x") == again);
}

}  // namespace

int main() {
    call_crosses_and_ends_once();
    decision_module_knows_the_free_circuits();
    lost_glare_counts_as_no_circuit();
    set_up_cancelled_during_glare_has_one_final_answer();
    link_break_cancels_set_ups_and_keeps_standing_calls();
    calls_of_group_or_table_only_are_released();
    repeated_set_up_replaces_the_first();
}
