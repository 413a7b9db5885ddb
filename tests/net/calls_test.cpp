// The call table with a clock, callers and carrier switches of the test's own.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "calls/gatekeeper.hpp"
#include "check.hpp"

using namespace nettlestall;
using namespace std::chrono_literals;
using test::Random;

namespace {

struct Link final : CallerLink {
    std::string from = "a";
    std::map<CallId, std::vector<std::string>> heard;
    void answer(const CallId& call, Description d) override { heard[call].push_back("answer " + *d); }
    void release(const CallId& call, ReleaseReason ending) override {
        const char* const names[] = {"refused", "failed", "ended", "cut"};
        heard[call].push_back(names[static_cast<int>(ending)]);
    }
    std::string_view origin() const override { return from; }
};

struct World final : Switches {
    struct Sent {
        ExchangeId at;
        CallId call;
        Duration wait;
        std::string description;
    };
    Instant now = 1'000'000s;
    std::vector<Sent> sent;
    std::vector<std::pair<ExchangeId, CallId>> given_up, released;
    Counters counters;
    calls::Gatekeeper gatekeeper;
    Link link;

    static Settings settings() {
        Settings s;
        s.own_exchange = 0;
        s.call_control_count = 3;
        s.max_attempts = 5;
        s.release_wait = 300ms;
        s.drain_grace = 500ms;
        ClassSettings c;
        c.name = "move";
        c.aim = 2s;
        c.deadline = 9s;
        s.classes = {c};
        return s;
    }
    static ListEvent all(std::initializer_list<std::pair<const char*, ExchangeState>> states,
                         ListKind kind = ListKind::cached) {
        ListEvent event{.number = 1, .has_list = true, .kind = kind, .version = 1, .entries = {}};
        for (const auto& [id, state] : states) {
            ListedExchange& listed = event.entries.emplace_back();
            listed.entry.exchange = id, listed.entry.number = id[2] - '0', listed.entry.state = state;
            listed.address = "127.0.0.1:1";
        }
        return event;
    }
    explicit World(std::size_t most_held = 1'000'000, std::size_t most_calls = 1'000'000)
        : gatekeeper(settings(), 5, [this] { return now; }, *this, counters,
                     {.max_description_bytes = most_held, .max_calls = most_calls}) {
        gatekeeper.apply_list(all(
            {{"s-0", ExchangeState::ready}, {"s-1", ExchangeState::ready}, {"s-2", ExchangeState::ready}}));
        gatekeeper.on_caller_connected(link);
    }
    void circuits(const ExchangeId& at, int free) {
        LoadReport load;
        load.free_circuits = free, load.group_size = 20;
        gatekeeper.on_group_state(at, load);
    }
    void open() { circuits("s-1", 20), circuits("s-2", 20); }
    void offer(const CallId& call, int to = 1, Duration patience = 3s, bool transit = false) {
        SetUpRequest o;
        o.call = call, o.service_class = "move", o.number = call, o.description = "offer";
        o.time_left = patience, o.destination = to, o.width = 1, o.transit = transit;
        gatekeeper.on_set_up(link, o);
    }
    void pass(Duration time) {
        for (const Instant end = now + time; now < end;) now += 1ms, gatekeeper.run_timers();
    }
    std::vector<std::string> heard(const CallId& call) { return link.heard[call]; }

    void set_up(const ExchangeId& at, const OutgoingSetUp& f) override {
        sent.push_back({at, f.call, f.time_limit, *f.description});
    }
    void cancel(const ExchangeId& at, const CallId& call) override { given_up.emplace_back(at, call); }
    void release(const ExchangeId& at, const CallId& call) override { released.emplace_back(at, call); }
};

using Words = std::vector<std::string>;

void a_call_stands_and_ends_once() {
    World w;
    CHECK(!w.gatekeeper.is_ready());
    w.open();
    CHECK(w.gatekeeper.is_ready());
    w.offer("a");
    CHECK(w.sent.size() == 1 && w.sent[0].at == "s-1" && w.sent[0].description == "offer");
    CHECK(w.sent[0].wait > 2s && w.sent[0].wait <= 3s);
    w.offer("a");  // repeated
    CHECK(w.counters.repeated == 1 && w.gatekeeper.unanswered_calls() == 1);
    w.gatekeeper.on_answer("s-1", "a", "answer");
    w.gatekeeper.on_answer("s-1", "a", "answer");
    CHECK(w.heard("a") == Words{"answer answer"});
    w.gatekeeper.on_call_ended("s-1", "a", Outcome::ended, Cause::none, {});
    w.gatekeeper.on_call_ended("s-1", "a", Outcome::ended, Cause::none, {});
    w.pass(10s);
    CHECK((w.heard("a") == Words{"answer answer", "ended"}));
    CHECK(w.sent.size() == 1 && w.gatekeeper.calls() == 0 && w.released.empty());
}

void what_cannot_be_served_is_answered_at_once() {
    World w;
    w.open();
    SetUpRequest o;
    o.call = "x", o.service_class = "unheard of", o.destination = 1, o.width = 1, o.time_left = 1s;
    w.gatekeeper.on_set_up(w.link, o);
    CHECK(w.heard("x") == Words{"failed"});
    o.call = "wide", o.service_class = "move", o.width = 400;
    w.gatekeeper.on_set_up(w.link, o);
    o.call = "nobody waits", o.width = 1, o.time_left = 0s;
    w.gatekeeper.on_set_up(w.link, o);
    CHECK(w.heard("wide") == Words{"failed"} && w.heard("nobody waits") == Words{"failed"});
    w.offer("far", 9);
    CHECK(w.heard("far") == Words{"refused"});
    World small(3);
    small.open();
    small.offer("big");
    CHECK(small.heard("big") == Words{"refused"});
}

void a_set_up_belongs_to_its_connection() {
    World w;
    w.open();
    Link stranger;
    w.gatekeeper.on_caller_connected(stranger);
    w.offer("a");
    SetUpRequest o;
    o.call = "a", o.service_class = "move", o.destination = 1, o.width = 1, o.time_left = 1s;
    w.gatekeeper.on_set_up(stranger, o);  // the id of an open set-up
    CHECK(stranger.heard["a"] == Words{"failed"} && w.heard("a").empty());
    w.gatekeeper.on_release(stranger, "a");
    CHECK(w.given_up.empty() && w.link.usage.open_set_ups == 1);
    w.gatekeeper.on_answer("s-1", "a", "d");
    CHECK(w.heard("a") == Words{"answer d"} && w.link.usage.open_set_ups == 0 &&
          w.link.usage.standing_calls == 1);
    w.gatekeeper.on_release(stranger, "a");  // a call that stands belongs to none
    CHECK(w.released.size() == 1 && w.link.usage.standing_calls == 0);
}

void an_answer_that_crosses_a_give_up_is_released() {
    World w;
    w.open();
    w.offer("a");
    w.gatekeeper.on_release(w.link, "a");
    CHECK(w.given_up.size() == 1);
    w.gatekeeper.on_answer("s-1", "a", "late");
    CHECK(w.released.size() == 1 && w.heard("a").empty());

    w.offer("b", 1, 1s);
    w.pass(1500ms);  // times out
    CHECK(w.given_up.size() == 2 && w.heard("b") == Words{"refused"});
    w.gatekeeper.on_answer("s-1", "b", "late");
    CHECK(w.released.size() == 2 && w.heard("b").size() == 1);
    w.gatekeeper.on_call_ended("s-1", "b", Outcome::ended, Cause::none, {});
    CHECK(w.heard("b").size() == 1);
}

void after_a_reset_the_release_is_awaited() {
    World w;
    w.open();
    w.offer("a");
    const Instant lost = w.now;
    w.gatekeeper.on_call_ended("s-1", "a", Outcome::reset, Cause::none, {});
    while (w.sent.size() < 2 && w.now < lost + 2s) w.pass(1ms);
    CHECK(w.sent.size() == 2 && w.now >= lost + 300ms);
}

// The end of a call whose answer was lost says nothing of how soon the exchange answers.
void an_end_without_an_answer_is_no_answer() {
    World w;
    w.open();
    w.offer("lost");
    w.pass(1900ms);
    w.gatekeeper.on_call_ended("s-1", "lost", Outcome::ended, Cause::none, {});
    CHECK(w.counters.reset == 1 && w.counters.errors == 0 && w.counters.answered == 0);
    w.pass(4s);
    CHECK(w.heard("lost") == Words{"refused"} && w.gatekeeper.calls() == 0);
}

void nothing_new_goes_to_what_drains_or_has_gone() {
    World w;
    w.open();
    w.offer("a");
    w.gatekeeper.on_answer("s-1", "a", "d");
    w.gatekeeper.apply_list(World::all({{"s-1", ExchangeState::draining}}, ListKind::changes));
    w.offer("b");
    w.pass(4s);
    CHECK(w.sent.size() == 1 && w.heard("b") == Words{"refused"});
    CHECK(w.heard("a").size() == 1);  // stands while it drains
    w.gatekeeper.apply_list(World::all({{"s-1", ExchangeState::gone}}, ListKind::changes));
    CHECK((w.heard("a") == Words{"answer d", "cut"}));
}

void a_fresh_start_or_a_dead_process_cuts_its_calls() {
    World w;
    w.open();
    for (const char* id : {"a", "b"}) w.offer(id), w.gatekeeper.on_answer("s-1", id, "d");
    w.offer("c", 2);
    w.gatekeeper.on_answer("s-2", "c", "d");
    w.gatekeeper.on_process_failed("s-1");
    CHECK(w.heard("a").back() == "cut" && w.heard("b").back() == "cut");
    ListEvent fresh = World::all({{"s-2", ExchangeState::ready}}, ListKind::changes);
    fresh.entries[0].entry.started = w.now;
    CHECK(w.heard("c").size() == 1);
    w.gatekeeper.apply_list(fresh);
    CHECK(w.heard("c").back() == "cut");
}

void a_standing_call_outlives_its_connection() {
    World w;
    w.open();
    Link other, stranger;
    stranger.from = "b";
    for (const char* id : {"a", "b", "c"}) w.offer(id), w.gatekeeper.on_answer("s-1", id, "d");
    w.offer("open");
    w.gatekeeper.on_caller_disconnected(w.link);
    CHECK(w.given_up.size() == 1);  // the set-up that was open on it
    w.gatekeeper.on_call_ended("s-1", "a", Outcome::ended, Cause::none, {});
    w.gatekeeper.on_caller_connected(other);
    CHECK(other.heard["a"] == Words{"ended"});  // owed while no connection was open
    w.gatekeeper.on_caller_connected(stranger);
    w.gatekeeper.on_call_ended("s-1", "b", Outcome::reset, Cause::none, {});
    CHECK(other.heard["b"] == Words{"cut"} && stranger.heard.empty());
    w.gatekeeper.on_release(other, "c");
    CHECK(w.released.size() == 1 && other.heard.count("c") == 0);
}

void a_call_in_transit_goes_to_its_destination_or_back() {
    World w;
    w.open();
    w.circuits("s-1", 0);
    w.offer("a", 1, 3s, true);
    CHECK(w.sent.empty() && w.heard("a") == Words{"refused"});
}

void the_test_is_failed_while_leaving() {
    World w;
    w.pass(2s);
    CHECK(w.gatekeeper.is_ready());  // a silent switch does not keep the front away for ever
    w.gatekeeper.begin_shutdown(w.now + 1s);
    CHECK(!w.gatekeeper.is_ready());
    w.open();
    w.offer("a");
    // Nobody is there to answer after the end: what is tried until then must be over by it.
    CHECK(w.sent.size() == 1 && w.sent[0].wait <= 1s);
    w.gatekeeper.refuse_all();
    CHECK(w.heard("a") == Words{"refused"} && w.gatekeeper.unanswered_calls() == 0);
}

void a_drain_takes_set_ups_until_callers_must_go() {
    World w;
    w.open();
    w.offer("before");
    w.gatekeeper.drain();
    CHECK(!w.gatekeeper.can_close_callers());
    w.pass(100ms);
    CHECK(!w.gatekeeper.is_ready());  // the front has heard
    w.pass(100ms);
    w.gatekeeper.drain();  // once more: it goes on as it is
    CHECK(!w.gatekeeper.can_close_callers());
    w.pass(110ms);
    CHECK(w.gatekeeper.can_close_callers());
    w.offer("within");
    CHECK(w.sent.size() == 2);
    w.pass(1500ms);
    w.offer("late");
    CHECK(w.heard("late") == Words{"refused"} && w.sent.size() == 2 && w.gatekeeper.unanswered_calls() == 2);
    w.gatekeeper.on_answer("s-1", "before", "d");
    CHECK(w.heard("before") == Words{"answer d"});
    w.gatekeeper.undrain();
    CHECK(w.gatekeeper.is_ready() && !w.gatekeeper.can_close_callers());
    w.offer("after");
    CHECK(w.sent.size() == 3);
    const auto& replies = w.gatekeeper.replies().at(0);
    CHECK(replies.served == 1 && replies.refused == 1 && replies.failed == 0);
    CHECK(w.gatekeeper.listed_exchanges() == 3 && w.gatekeeper.avoided_exchanges() == 0);
    w.pass(5s);  // nobody has answered in time
    CHECK(w.gatekeeper.avoided_exchanges() == 1);
    World unasked;
    unasked.gatekeeper.drain();
    unasked.pass(700ms);
    CHECK(unasked.gatekeeper.can_close_callers());
}

struct Other final : Successor {
    std::vector<std::string> told;
    void hand_over_call(const ExchangeId& at, const CallId& call, std::string_view origin) override {
        told.push_back("stands " + at + ' ' + call + ' ' + std::string(origin));
    }
    void hand_over_end(const ExchangeId&, const CallId& call, Outcome outcome) override {
        told.push_back((outcome == Outcome::ended ? "ended " : "cut ") + call);
    }
    void hand_over_release(const CallId& call) override { told.push_back("released " + call); }
};

void standing_calls_move_to_the_next_process() {
    World old;
    old.open();
    old.offer("stands");
    old.gatekeeper.on_answer("s-1", "stands", "d");
    old.offer("open");
    Other other;
    old.gatekeeper.hand_over_to(&other);
    CHECK(other.told == Words{"stands s-1 stands a"} && old.gatekeeper.calls() == 1);
    CHECK(old.link.usage.standing_calls == 0 && old.link.usage.open_set_ups == 1);
    old.gatekeeper.begin_shutdown(old.now + 3s);
    CHECK(old.gatekeeper.is_ready());  // the front sees one gatekeeper
    old.gatekeeper.on_answer("s-1", "open", "d");
    CHECK(old.heard("open") == Words{"answer d"} && old.gatekeeper.calls() == 0);
    old.gatekeeper.on_call_ended("s-1", "stands", Outcome::ended, Cause::none, {});
    old.gatekeeper.on_release(old.link, "open");
    CHECK((other.told == Words{"stands s-1 stands a", "stands s-1 open a", "ended stands", "released open"}));

    World fresh;
    for (const char* id : {"ends", "released", "cut", "by its caller"})
        fresh.gatekeeper.accept_standing("s-1", id, "a");
    fresh.gatekeeper.accept_standing("unheard of", "gone", "a");
    CHECK(fresh.heard("gone") == Words{"cut"} && fresh.gatekeeper.calls() == 4);
    fresh.gatekeeper.on_call_ended("s-1", "ends", Outcome::ended, Cause::none, {});
    fresh.gatekeeper.on_call_ended("s-1", "cut", Outcome::reset, Cause::none, {});
    CHECK(fresh.heard("ends") == Words{"ended"} && fresh.heard("cut") == Words{"cut"});
    fresh.gatekeeper.accept_release("released");
    fresh.gatekeeper.on_release(fresh.link, "by its caller");
    CHECK(fresh.released.size() == 2 && fresh.gatekeeper.calls() == 0);
}

// Exchanges are replaced all day and every call has a new id and number: nothing of them may stay.
void tables_shrink_back() {
    World w;
    w.open();
    w.pass(20s);
    const std::size_t at_first = w.gatekeeper.table_entries();
    for (int round = 0; round < 60; ++round) {
        const ExchangeId id =
            "s-1" + std::string(1, 'a' + static_cast<char>(round % 26)) + std::to_string(round);
        ListEvent fresh = World::all({{"s-1", ExchangeState::ready}}, ListKind::changes);
        fresh.entries[0].entry.exchange = id;
        w.gatekeeper.apply_list(fresh);
        w.circuits(id, 20);
        for (int i = 0; i < 30; ++i) {
            const CallId call = std::to_string(round) + '/' + std::to_string(i);
            w.offer(call, 1 + i % 2, 3600s);
            if (i % 5 == 0) w.gatekeeper.on_release(w.link, call);
            const ExchangeId at = w.sent.empty() ? id : w.sent.back().at;
            if (i % 5 == 1)
                w.gatekeeper.on_call_ended(at, call, Outcome::rejected, Cause::rejected_by_tandem, {});
            if (i % 5 == 2) w.gatekeeper.on_call_ended(at, call, Outcome::failed, Cause::number_busy, {});
            if (i % 5 >= 3) w.gatekeeper.on_answer(at, call, "d");
            if (i % 5 == 3) w.gatekeeper.on_call_ended(at, call, Outcome::ended, Cause::none, {});
        }
        fresh.entries[0].entry.state = ExchangeState::gone;
        w.gatekeeper.apply_list(fresh);
        w.pass(100ms);
    }
    w.gatekeeper.refuse_all();
    Link other;
    w.gatekeeper.on_caller_disconnected(w.link);
    w.gatekeeper.on_caller_connected(other);
    for (const auto& sent : w.sent) w.gatekeeper.on_release(other, sent.call);
    w.pass(20s);
    w.circuits("s-2", 20);  // the module forgets with the next event
    CHECK(w.gatekeeper.calls() == 0);
    CHECK(w.gatekeeper.table_entries() <= at_first);
}

// Whatever happens in whatever order: one final answer, one attempt out, no resend before the release.
void the_rules_hold_in_any_order() {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Random dice{seed * 104729};
        World w;
        w.open();
        std::vector<CallId> ids;
        std::map<CallId, ExchangeId> out;
        std::map<CallId, Instant> not_before;
        std::set<CallId> abandoned;
        std::size_t sent = 0, gone = 0;
        const auto follow = [&] {  // sends and give-ups, as the far ends see them
            for (; gone < w.given_up.size(); ++gone)
                if (out.erase(w.given_up[gone].second)) not_before[w.given_up[gone].second] = w.now + 300ms;
            for (; sent < w.sent.size(); ++sent) {
                const auto& s = w.sent[sent];
                CHECK(!out.count(s.call) && s.at != "s-0" && w.now >= not_before[s.call]);
                CHECK(s.wait > Duration::zero());
                out[s.call] = s.at;
            }
        };
        for (int step = 0; step < 600; ++step) {
            const ExchangeId at = dice.below(2) ? "s-1" : "s-2";
            const CallId any = ids.empty() ? "none" : ids[dice.below(ids.size())];
            switch (dice.below(9)) {
                case 0:
                case 1:
                case 2:
                    ids.push_back("call" + std::to_string(ids.size()));
                    w.offer(ids.back(), 1 + static_cast<int>(dice.below(2)),
                            std::chrono::milliseconds(dice.below(3000)), dice.below(5) == 0);
                    break;
                case 3:
                    if (const auto o = out.find(any); o != out.end() && o->second == at) out.erase(o);
                    w.gatekeeper.on_answer(at, any, "d");
                    break;
                case 4: {
                    const Outcome outcome = static_cast<Outcome>(dice.below(8));
                    if (const auto o = out.find(any); o != out.end() && o->second == at) {
                        out.erase(o);
                        if (outcome == Outcome::reset) not_before[any] = w.now + 300ms;
                    }
                    w.gatekeeper.on_call_ended(at, any, outcome, static_cast<Cause>(dice.below(6)), {});
                    break;
                }
                case 5:
                    if (!w.link.heard.count(any)) abandoned.insert(any);
                    w.gatekeeper.on_release(w.link, any);
                    break;
                case 6:
                    for (const auto& [id, where] : std::map(out))  // a connection breaks
                        if (where == at) {
                            out.erase(id), not_before[id] = w.now + 300ms;
                            w.gatekeeper.on_call_ended(at, id, Outcome::reset, Cause::none, {});
                            follow();
                        }
                    break;
                case 7:
                    w.circuits(at, static_cast<int>(dice.below(21)));
                    break;
                default:
                    for (std::size_t ms = dice.below(200); ms > 0; --ms) w.pass(1ms), follow();
            }
            follow();
        }
        for (int ms = 0; ms < 4000; ++ms) w.pass(1ms), follow();
        CHECK(w.gatekeeper.unanswered_calls() == 0);
        for (const CallId& id : ids) {
            const Words words = w.heard(id);
            if (abandoned.count(id)) {
                CHECK(words.empty());
                continue;
            }
            CHECK(!words.empty());
            CHECK(words.size() == 1 || (words.size() == 2 && words[0] == "answer d" &&
                                        (words[1] == "ended" || words[1] == "cut")));
        }
    }
}

}  // namespace

// Calls whose end never comes must not fill the memory: at the bound set-ups are refused at once, harmlessly,
// and the oldest calls are named.
void standing_calls_have_a_bound() {
    World w(1'000'000, 3);
    std::vector<std::string> notes;
    w.gatekeeper.set_note_handler([&notes](const std::string& text) { notes.push_back(text); });
    w.open();
    for (const char* call : {"a", "b", "c"}) {
        w.offer(call);
        w.gatekeeper.on_answer("s-1", call, "answer");
        w.pass(2s);
    }
    w.offer("d"), w.offer("e");
    CHECK(w.heard("d") == Words{"refused"} && w.heard("e") == Words{"refused"} && w.sent.size() == 3);
    CHECK(w.gatekeeper.calls() == 3 && notes.size() == 1);
    CHECK(
        notes[0] ==
        "the table is full with 3 calls; the oldest: a at s-1 for 6 s; b at s-1 for 4 s; c at s-1 for 2 s;");
    CHECK(w.gatekeeper.oldest_calls(1).size() == 1 && w.gatekeeper.oldest_calls(9).front().call == "a");
    w.gatekeeper.on_call_ended("s-1", "b", Outcome::ended, Cause::none, {});
    w.offer("f");
    CHECK(w.sent.size() == 4);
}

int main() {
    standing_calls_have_a_bound();
    a_call_stands_and_ends_once();
    what_cannot_be_served_is_answered_at_once();
    a_set_up_belongs_to_its_connection();
    an_answer_that_crosses_a_give_up_is_released();
    after_a_reset_the_release_is_awaited();
    an_end_without_an_answer_is_no_answer();
    nothing_new_goes_to_what_drains_or_has_gone();
    a_fresh_start_or_a_dead_process_cuts_its_calls();
    a_standing_call_outlives_its_connection();
    a_call_in_transit_goes_to_its_destination_or_back();
    the_test_is_failed_while_leaving();
    a_drain_takes_set_ups_until_callers_must_go();
    standing_calls_move_to_the_next_process();
    tables_shrink_back();
    the_rules_hold_in_any_order();
}
