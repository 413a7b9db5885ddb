// Drives a call control under test: its settings, helpers that hand it events, and queries of its actions.
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

// Settings of a mesh. Exchange 0 is the own one. Class 0 has a low worth, class 1 a high one.
inline Settings mesh_settings() {
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
    ClassSettings low_worth;
    low_worth.name = "low";
    low_worth.aim = 1s;
    low_worth.deadline = 9s;
    low_worth.late_worth = 0.25;
    low_worth.holding_time = 10s;
    ClassSettings high_worth = low_worth;
    high_worth.name = "high";
    high_worth.worth = 6;
    s.classes = {low_worth, high_worth};
    return s;
}

// Ids of the exchanges, by number.
inline const char* kExchangeNames[] = {"here", "north", "east", "west", "south"};

// Hands events to a call control on a clock of its own and keeps its actions until answer_all().
class CallControlDriver {
   public:
    explicit CallControlDriver(Settings settings = mesh_settings(), std::uint64_t seed = 7)
        : control(std::move(settings), seed) {}

    // Lists the own exchange and `others` more as ready, with all `size` circuits free toward each of these.
    void open_exchanges(int size, int others = 3) {
        ExchangeList all;
        for (int i = 0; i <= others; ++i) all.entries.push_back({.exchange = kExchangeNames[i], .number = i});
        handle(all);
        for (int i = 1; i <= others; ++i) report_circuits(i, size, size);
    }

    // Hands over an event at the present time.
    template <class E>
    CallControlDriver& handle(const E& event) {
        control.handle(now, event, actions);
        return *this;
    }

    // Reports the circuits toward an exchange.
    CallControlDriver& report_circuits(int number, int free, int size) {
        ExchangeReport report;
        report.exchange = kExchangeNames[number];
        report.load.free_circuits = free;
        report.load.group_size = size;
        return handle(report);
    }

    // Sends a change of the list: an exchange has another state or start.
    CallControlDriver& set_state(int number, ExchangeState s, Instant started = {}) {
        ExchangeList list;
        list.kind = ListKind::changes;
        list.entries.push_back(
            {.exchange = kExchangeNames[number], .number = number, .state = s, .started = started});
        return handle(list);
    }

    // Makes a call whose caller waits for 3 s, without offering it.
    CallOffered make_call(const CallId& id, int destination, int service_class = 0, int width = 1) const {
        CallOffered c;
        c.call = id;
        c.destination = destination;
        c.service_class = service_class;
        c.width = width;
        c.time_left = 3s;
        return c;
    }

    // Offers a call whose caller waits for 3 s.
    CallControlDriver& offer(const CallId& id, int destination, int service_class = 0, int width = 1) {
        return handle(make_call(id, destination, service_class, width));
    }

    // Offers a call in transit, which comes from exchange 3.
    CallControlDriver& offer_transit(const CallId& id, int destination, int width = 1) {
        CallOffered c = make_call(id, destination, 0, width);
        c.transit = true;
        c.previous_exchange = 3;
        return handle(c);
    }

    // Reports that a set-up was answered.
    CallControlDriver& answer(const CallId& id, int number, Duration response_time = 30ms, int attempt = 0) {
        return handle(CallAnswered{id, attempt, kExchangeNames[number], response_time});
    }

    // Reports that an attempt or an answered call has ended.
    CallControlDriver& end_attempt(const CallId& id, int number, Outcome outcome, Cause cause = Cause::none,
                                   bool final = false, int attempt = 0) {
        AttemptEnded e;
        e.call = id;
        e.attempt = attempt;
        e.exchange = kExchangeNames[number];
        e.outcome = outcome;
        e.cause = cause;
        e.final = final;
        e.response_time = 30ms;
        return handle(e);
    }

    // Reports that a full processor rejected an attempt and named a time to wait.
    CallControlDriver& reject_as_full(const CallId& id, int number, Duration requested_wait) {
        AttemptEnded e;
        e.call = id;
        e.exchange = kExchangeNames[number];
        e.outcome = Outcome::rejected;
        e.cause = Cause::processor_full;
        e.requested_wait = requested_wait;
        return handle(e);
    }

    // Advances the clock and delivers the timers that expire meanwhile.
    CallControlDriver& advance(Duration time) {
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

    // Reports that all set-ups sent since the last call of this function were answered and ended. Returns how
    // many there were; earlier actions are dropped.
    std::size_t answer_all(Duration response_time = 30ms) {
        collect_timers();
        const std::vector<Action> done = std::exchange(actions, {});
        scanned_actions = 0;
        std::size_t count = 0;
        for (const Action& action : done)
            if (const auto* s = std::get_if<nettlestall::SetUp>(&action)) {
                const auto name =
                    std::find(std::begin(kExchangeNames), std::end(kExchangeNames), s->exchange);
                const int to = static_cast<int>(name - std::begin(kExchangeNames));
                answer(s->call, to, response_time)
                    .end_attempt(s->call, to, Outcome::ended, Cause::none, true);
                ++count;
            }
        return count;
    }

    // The exchanges that set-ups for a call were sent to, in order.
    std::vector<std::string> set_ups_of(const CallId& id) const {
        std::vector<std::string> to;
        for (const Action& a : actions)
            if (const auto* s = std::get_if<SetUp>(&a); s && s->call == id) to.push_back(s->exchange);
        return to;
    }
    // The exchange that the last set-up for a call was sent to; empty if there was none.
    std::string sent_to(const CallId& id) const {
        const auto all = set_ups_of(id);
        return all.empty() ? "" : all.back();
    }
    // The first set-up for a call.
    std::optional<nettlestall::SetUp> set_up(const CallId& id) const {
        for (const Action& a : actions)
            if (const auto* s = std::get_if<nettlestall::SetUp>(&a); s && s->call == id) return *s;
        return {};
    }
    // The number of set-ups among the kept actions.
    int set_up_count() const {
        int n = 0;
        for (const Action& a : actions) n += std::holds_alternative<SetUp>(a);
        return n;
    }
    // The refusal of a call, if it was refused.
    std::optional<Refuse> refused(const CallId& id) const {
        for (const Action& a : actions)
            if (const auto* r = std::get_if<Refuse>(&a); r && r->call == id) return *r;
        return {};
    }
    // Whether the call got the final answer Fail.
    bool failed(const CallId& id) const {
        for (const Action& a : actions)
            if (const auto* f = std::get_if<Fail>(&a); f && f->call == id) return true;
        return false;
    }
    // Whether the call was refused or failed.
    bool has_final_answer(const CallId& id) const { return refused(id) || failed(id); }

    CallControl control;
    Instant now{1s};
    std::vector<Action> actions;  // since the start or the last answer_all()

   private:
    // Adds the timers of new actions to the table.
    void collect_timers() {
        for (; scanned_actions < actions.size(); ++scanned_actions)
            if (const auto* t = std::get_if<SetTimer>(&actions[scanned_actions]))
                timers.emplace(now + t->delay, t->token);
    }
    std::multimap<Instant, std::int64_t> timers;  // tokens, by when they expire
    std::size_t scanned_actions = 0;              // actions whose timers are in the table
};

}  // namespace nettlestall::test
