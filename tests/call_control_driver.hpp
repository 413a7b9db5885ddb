// A call control under test, its settings and short ways to tell it things.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::test {

using namespace std::chrono_literals;

// Exchange 0 is the own one; 1 to 3 are "north", "east", "west". Class 0 is cheap and narrow, class 1 dear.
inline Settings mesh() {
    Settings s;
    s.own_exchange = 0;
    s.call_control_count = 4;
    s.max_attempts = 4;
    s.min_event_interval = 5ms;
    s.release_wait = 200ms;
    s.drain_grace = 1s;
    s.answer_grace = 20ms;
    s.max_pause = 2s;
    s.cold_start_share = 0.3;
    s.warm_up_time = 15s;
    s.overload_multiple = 2;
    s.overload_span = 3s;
    ClassSettings cheap;
    cheap.name = "cheap";
    cheap.aim = 1s;
    cheap.deadline = 9s;
    cheap.late_worth = 0.25;
    cheap.holding_time = 10s;
    ClassSettings dear = cheap;
    dear.name = "dear";
    dear.worth = 6;
    s.classes = {cheap, dear};
    return s;
}

inline const char* kNames[] = {"here", "north", "east", "west", "south"};

class Desk {
   public:
    explicit Desk(Settings settings = mesh(), std::uint64_t seed = 7) : control(std::move(settings), seed) {}

    // All exchanges ready, and `size` circuits free toward each.
    void open(int size, int others = 3) {
        ExchangeList all;
        for (int i = 0; i <= others; ++i) all.entries.push_back({.exchange = kNames[i], .number = i});
        tell(all);
        for (int i = 1; i <= others; ++i) circuits(i, size, size);
    }

    template <class E>
    Desk& tell(const E& event) {
        control.handle(now, event, actions);
        return *this;
    }

    Desk& circuits(int number, int free, int size) {
        ExchangeReport report;
        report.exchange = kNames[number];
        report.load.free_circuits = free;
        report.load.group_size = size;
        return tell(report);
    }

    Desk& state(int number, ExchangeState s, Instant started = {}) {
        ExchangeList list;
        list.kind = ListKind::changes;
        list.entries.push_back(
            {.exchange = kNames[number], .number = number, .state = s, .started = started});
        return tell(list);
    }

    CallOffered call(const CallId& id, int destination, int service_class = 0, int width = 1) const {
        CallOffered c;
        c.call = id;
        c.destination = destination;
        c.service_class = service_class;
        c.width = width;
        c.time_left = 3s;
        return c;
    }

    Desk& offer(const CallId& id, int destination, int service_class = 0, int width = 1) {
        return tell(call(id, destination, service_class, width));
    }

    Desk& transit(const CallId& id, int destination, int width = 1) {
        CallOffered c = call(id, destination, 0, width);
        c.transit = true;
        c.previous_exchange = 3;
        return tell(c);
    }

    Desk& stands(const CallId& id, int number, Duration lag = 30ms, int attempt = 0) {
        return tell(CallAnswered{id, attempt, kNames[number], lag});
    }

    Desk& ended(const CallId& id, int number, Outcome outcome, Cause cause = Cause::none, bool final = false,
                int attempt = 0) {
        AttemptEnded e;
        e.call = id;
        e.attempt = attempt;
        e.exchange = kNames[number];
        e.outcome = outcome;
        e.cause = cause;
        e.final = final;
        e.response_time = 30ms;
        return tell(e);
    }

    // Turned back by a full processor that names a wait.
    Desk& full(const CallId& id, int number, Duration requested_wait) {
        AttemptEnded e;
        e.call = id;
        e.exchange = kNames[number];
        e.outcome = Outcome::rejected;
        e.cause = Cause::processor_full;
        e.requested_wait = requested_wait;
        return tell(e);
    }

    // Lets time pass, delivering the timers that fall due.
    Desk& pass(Duration time) {
        const Instant end = now + time;
        for (;;) {
            collect_timers();
            auto first = timers.begin();
            if (first == timers.end() || first->first > end) break;
            now = std::max(now, first->first);
            const TimerExpired due{first->second};
            timers.erase(first);
            control.handle(now, due, actions);
        }
        now = end;
        return *this;
    }

    // All set-ups sent so far stand and end; how many there were. Earlier actions are forgotten.
    std::size_t answer_all(Duration lag = 30ms) {
        collect_timers();
        const std::vector<Action> done = std::exchange(actions, {});
        seen = 0;
        std::size_t count = 0;
        for (const Action& action : done)
            if (const auto* s = std::get_if<nettlestall::SetUp>(&action)) {
                const auto name = std::find(std::begin(kNames), std::end(kNames), s->exchange);
                const int to = static_cast<int>(name - std::begin(kNames));
                stands(s->call, to, lag).ended(s->call, to, Outcome::ended, Cause::none, true);
                ++count;
            }
        return count;
    }

    // Where a call was sent; empty if it was not.
    std::vector<std::string> sent(const CallId& id) const {
        std::vector<std::string> to;
        for (const Action& a : actions)
            if (const auto* s = std::get_if<SetUp>(&a); s && s->call == id) to.push_back(s->exchange);
        return to;
    }
    std::string sent_to(const CallId& id) const {
        const auto all = sent(id);
        return all.empty() ? "" : all.back();
    }
    std::optional<nettlestall::SetUp> set_up(const CallId& id) const {
        for (const Action& a : actions)
            if (const auto* s = std::get_if<nettlestall::SetUp>(&a); s && s->call == id) return *s;
        return {};
    }
    int sends() const {
        int n = 0;
        for (const Action& a : actions) n += std::holds_alternative<SetUp>(a);
        return n;
    }
    std::optional<Refuse> refused(const CallId& id) const {
        for (const Action& a : actions)
            if (const auto* r = std::get_if<Refuse>(&a); r && r->call == id) return *r;
        return {};
    }
    bool failed(const CallId& id) const {
        for (const Action& a : actions)
            if (const auto* f = std::get_if<Fail>(&a); f && f->call == id) return true;
        return false;
    }
    bool answered(const CallId& id) const { return refused(id) || failed(id); }

    CallControl control;
    Instant now{1s};
    std::vector<Action> actions;

   private:
    void collect_timers() {
        for (; seen < actions.size(); ++seen)
            if (const auto* t = std::get_if<SetTimer>(&actions[seen]))
                timers.emplace(now + t->delay, t->token);
    }
    std::multimap<Instant, std::int64_t> timers;
    std::size_t seen = 0;
};

}  // namespace nettlestall::test
