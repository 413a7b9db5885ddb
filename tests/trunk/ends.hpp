// Both ends of a circuit group, and the messages in transit between them, which the test delivers one by one.
#pragma once

#include <array>
#include <deque>
#include <string>
#include <vector>

#include "net/check.hpp"
#include "trunk/group.hpp"

namespace nettlestall::test {

using namespace nettlestall::trunk;
using namespace std::chrono_literals;

// The link is up from the start. An end is named by its index, low or high.
struct TwoEnds {
    enum { low, high };  // the low end controls odd circuits

    static GroupRules rules(int end, int circuits) {
        GroupRules r;
        r.point_codes = end == low ? PointCodes{10, 20} : PointCodes{20, 10};
        r.circuits = circuits;
        return r;
    }

    explicit TwoEnds(int circuits = 4) : TwoEnds(rules(low, circuits), rules(high, circuits)) {}
    TwoEnds(const GroupRules& a, const GroupRules& b) : ends{Group(a, 1), Group(b, 1)} {
        link_up(false), deliver_all();
    }

    std::array<Group, 2> ends;
    std::array<std::deque<Message>, 2> in_transit;   // to that end
    std::array<std::vector<std::string>, 2> events;  // reported to the call table of that end
    std::array<std::vector<Claim>, 2> ledger;        // of that end
    std::array<bool, 2> restarted{};                 // that end has asked for a restart of the link
    Instant now = 1000s;

    std::size_t index(int e) const { return static_cast<std::size_t>(e); }
    Group& end(int e) { return ends[index(e)]; }
    std::deque<Message>& inbox(int e) { return in_transit[index(e)]; }

    // Carries out the effects at end `e`: keeps the events as texts, and puts messages in transit.
    void carry_out(int e, const Effects& effects) {
        auto& reported = events[index(e)];
        for (const Effect& effect : effects) {
            if (const auto* send = std::get_if<Send>(&effect))
                in_transit[index(1 - e)].push_back(send->message);
            if (const auto* offered = std::get_if<Offered>(&effect))
                reported.push_back("offered " + offered->data.call);
            if (const auto* answered = std::get_if<Answered>(&effect))
                reported.push_back("answered " + answered->call);
            if (const auto* ended = std::get_if<Ended>(&effect))
                reported.push_back("ended " + ended->call + " " +
                                   std::to_string(static_cast<int>(ended->reason)));
            if (const auto* freed = std::get_if<FreedByAudit>(&effect))
                reported.push_back("freed " + std::to_string(freed->circuit));
            if (const auto* store = std::get_if<StoreCall>(&effect)) ledger[index(e)].push_back(store->claim);
            if (const auto* remove = std::get_if<RemoveCall>(&effect))
                std::erase_if(ledger[index(e)], [&](const Claim& c) { return c.call == remove->claim.call; });
            if (std::holds_alternative<RestartLink>(effect)) restarted[index(e)] = true;
        }
    }
    // Runs `action` with the group at end `e`, carries out its effects and returns its result.
    template <class F>
    auto run(int e, F&& action) {
        Effects effects;
        auto result = action(end(e), effects);
        carry_out(e, effects);
        return result;
    }

    CallRef seize(int e, const char* call, int width = 1) {
        return run(e, [&](Group& g, Effects& out) { return g.set_up(now, {.call = call}, width, out); });
    }
    bool answer(int e, CallRef ref) {
        return run(e, [&](Group& g, Effects& out) { return g.answer(now, ref, "", out); });
    }
    void release(int e, CallRef ref, Reason reason = Reason::normal) {
        run(e, [&](Group& g, Effects& out) { return g.release(now, ref, reason, out), 0; });
    }
    // Delivers the next message to end `e`.
    const char* deliver(int e) {
        CHECK(!inbox(e).empty());
        const Message message = inbox(e).front();
        inbox(e).pop_front();
        return run(e, [&](Group& g, Effects& out) { return g.receive(now, message, out); });
    }
    // Delivers a message that the test has made.
    const char* receive(int e, const Message& message) {
        return run(e, [&](Group& g, Effects& out) { return g.receive(now, message, out); });
    }
    void deliver_all() {
        while (!in_transit[0].empty() || !in_transit[1].empty())
            for (int e : {low, high})
                if (!inbox(e).empty()) CHECK(!deliver(e));
    }
    void link_down() {
        for (int e : {low, high}) run(e, [&](Group& g, Effects& out) { return g.link_down(now, out), 0; });
    }
    // Brings the link up. Messages in transit are lost unless it is resumed.
    void link_up(bool resumed) {
        if (!resumed) in_transit[0].clear(), in_transit[1].clear();
        for (int e : {low, high})
            run(e, [&](Group& g, Effects& out) { return g.link_up(now, resumed, out), 0; });
    }
    // Lets `time` pass and then runs the timers of both ends.
    void advance(Duration time) {
        now += time;
        for (int e : {low, high}) run(e, [&](Group& g, Effects& out) { return g.run_timers(now, out), 0; });
    }
    // Restarts end `e` while the link is down, with or without its ledger. Restored calls have the id "back".
    void crash(int e, bool with_ledger) {
        link_down();
        const std::vector<Claim> stored = ledger[index(e)];
        const GroupRules r = end(e).rules();
        end(e) = Group(r, 2);
        if (with_ledger)
            for (const Claim& claim : stored) end(e).restore(claim, "back", true, now);
        else
            ledger[index(e)].clear();
    }
    // Sets up a call from end `e` and answers it.
    CallRef establish(int e, const char* call, int width = 1) {
        const CallRef ref = seize(e, call, width);
        CHECK(ref != kNoCall);
        deliver_all();
        CHECK(answer(1 - e, ref));
        deliver_all();
        CHECK(is_standing(ref));
        return ref;
    }
    // Whether the call is answered and known at both ends.
    bool is_standing(CallRef ref) {
        for (int e : {low, high})
            if (const Leg* leg = end(e).leg(ref); !leg || leg->state != LegState::standing) return false;
        return true;
    }
    bool all_idle() { return ends[0].circuits().busy_count() + ends[1].circuits().busy_count() == 0; }
    // Whether end `e` has reported `event` exactly once.
    bool was_reported(int e, const std::string& event) {
        return std::count(events[index(e)].begin(), events[index(e)].end(), event) == 1;
    }
};

}  // namespace nettlestall::test
