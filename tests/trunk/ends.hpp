// Two ends of a group and the messages under way between them, which the test hands over one by one.
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
        up(false), settle();
    }

    std::array<Group, 2> ends;
    std::array<std::deque<Message>, 2> to;
    std::array<std::vector<std::string>, 2> heard;  // by the call table of that end
    std::array<std::vector<Claim>, 2> ledger;
    std::array<bool, 2> renewed{};
    Instant now = 1000s;

    std::size_t at(int e) const { return static_cast<std::size_t>(e); }
    Group& end(int e) { return ends[at(e)]; }
    std::deque<Message>& inbox(int e) { return to[at(e)]; }

    void carry_out(int e, const Effects& effects) {
        auto& words = heard[at(e)];
        for (const Effect& effect : effects) {
            if (const auto* send = std::get_if<Send>(&effect)) to[at(1 - e)].push_back(send->message);
            if (const auto* offered = std::get_if<Offered>(&effect))
                words.push_back("offered " + offered->data.call);
            if (const auto* answered = std::get_if<Answered>(&effect))
                words.push_back("answered " + answered->call);
            if (const auto* ended = std::get_if<Ended>(&effect))
                words.push_back("ended " + ended->call + " " +
                                std::to_string(static_cast<int>(ended->reason)));
            if (const auto* freed = std::get_if<FreedByAudit>(&effect))
                words.push_back("freed " + std::to_string(freed->circuit));
            if (const auto* stands = std::get_if<StoreCall>(&effect)) ledger[at(e)].push_back(stands->claim);
            if (const auto* over = std::get_if<RemoveCall>(&effect))
                std::erase_if(ledger[at(e)], [&](const Claim& c) { return c.call == over->claim.call; });
            if (std::holds_alternative<RestartLink>(effect)) renewed[at(e)] = true;
        }
    }
    template <class F>
    auto with(int e, F&& act) {
        Effects effects;
        auto result = act(end(e), effects);
        carry_out(e, effects);
        return result;
    }

    CallRef seize(int e, const char* call, int width = 1) {
        return with(e, [&](Group& g, Effects& out) { return g.set_up(now, {.call = call}, width, out); });
    }
    bool answer(int e, CallRef ref) {
        return with(e, [&](Group& g, Effects& out) { return g.answer(now, ref, "", out); });
    }
    void release(int e, CallRef ref, Reason reason = Reason::normal) {
        with(e, [&](Group& g, Effects& out) { return g.release(now, ref, reason, out), 0; });
    }
    const char* deliver(int e) {
        CHECK(!inbox(e).empty());
        const Message message = inbox(e).front();
        inbox(e).pop_front();
        return with(e, [&](Group& g, Effects& out) { return g.receive(now, message, out); });
    }
    const char* receive(int e, const Message& message) {
        return with(e, [&](Group& g, Effects& out) { return g.receive(now, message, out); });
    }
    void settle() {
        while (!to[0].empty() || !to[1].empty())
            for (int e : {low, high})
                if (!inbox(e).empty()) CHECK(!deliver(e));
    }
    void down() {
        for (int e : {low, high}) with(e, [&](Group& g, Effects& out) { return g.link_down(now, out), 0; });
    }
    void up(bool resumed) {
        if (!resumed) to[0].clear(), to[1].clear();
        for (int e : {low, high})
            with(e, [&](Group& g, Effects& out) { return g.link_up(now, resumed, out), 0; });
    }
    void pass(Duration time) {
        now += time;
        for (int e : {low, high}) with(e, [&](Group& g, Effects& out) { return g.run_timers(now, out), 0; });
    }
    void crash(int e, bool with_ledger) {
        down();
        const std::vector<Claim> stood = ledger[at(e)];
        const GroupRules r = end(e).rules();
        end(e) = Group(r, 2);
        if (with_ledger)
            for (const Claim& claim : stood) end(e).restore(claim, "back", true, now);
        else
            ledger[at(e)].clear();
    }
    CallRef stand(int e, const char* call, int width = 1) {
        const CallRef ref = seize(e, call, width);
        CHECK(ref != kNoCall);
        settle();
        CHECK(answer(1 - e, ref));
        settle();
        CHECK(stands(ref));
        return ref;
    }
    bool stands(CallRef ref) {
        for (int e : {low, high})
            if (const Leg* leg = end(e).leg(ref); !leg || leg->state != LegState::standing) return false;
        return true;
    }
    bool all_idle() { return ends[0].circuits().busy_count() + ends[1].circuits().busy_count() == 0; }
    bool told(int e, const std::string& words) {
        return std::count(heard[at(e)].begin(), heard[at(e)].end(), words) == 1;
    }
};

}  // namespace nettlestall::test
