#include "lab/search.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <string_view>
#include <unordered_set>

namespace nettlestall::lab {
namespace {

using trunk::CallRef;
using trunk::Effects;
using trunk::Group;
using trunk::GroupRules;
using trunk::Leg;
using trunk::LegState;

constexpr Duration kTick = std::chrono::seconds(6);  // longer than the guards of releases and resets
constexpr int kQuietRounds = 60;

bool never_ours(const trunk::PointCodes&, const trunk::CircuitList&, const trunk::CircuitList&) {
    return false;
}

GroupRules rules_of(const SearchSettings& settings, int end) {
    GroupRules rules;
    rules.point_codes = end == 0 ? trunk::PointCodes{1, 2} : trunk::PointCodes{2, 1};
    rules.circuits = settings.circuits;
    rules.audit.confirmations = 1;
    rules.audit.interval = std::chrono::minutes(1);
    if (settings.broken == "glare") rules.glare_rule = &never_ours;
    if (settings.broken == "audit") rules.audit.skip_changed_circuits = false;
    return rules;
}

// ---- One state of the two ends -------------------------------------------------------------------------

struct World {
    explicit World(const SearchSettings& settings)
        : ends{Group(rules_of(settings, 0), 1), Group(rules_of(settings, 1), 1)},
          calls{settings.calls, settings.calls},
          breaks(settings.breaks),
          resumes(settings.resumes),
          crashes(settings.crashes),
          losses(settings.losses),
          repeats(settings.repeats),
          ticks(settings.ticks),
          audits(settings.audits) {
        up(false);
    }

    std::array<Group, 2> ends;
    std::array<std::deque<trunk::Message>, 2> to;  // under way to that end
    std::array<int, 2> calls;
    std::array<std::uint32_t, 2> lives{1, 1};
    int breaks, resumes, crashes, losses, repeats, ticks, audits;
    bool is_up = false, renew = false, lost_any = false;
    Instant now{std::chrono::hours(1)};
    std::string wrong;

    void carry_out(int by, const Effects& effects) {
        for (const trunk::Effect& effect : effects) {
            if (const auto* send = std::get_if<trunk::Send>(&effect)) to[other(by)].push_back(send->message);
            if (std::holds_alternative<trunk::RestartLink>(effect)) renew = true;
            if (std::holds_alternative<trunk::FreedByAudit>(effect) && !lost_any)
                wrong = "an audit freed a call that nobody had forgotten";
        }
    }
    static std::size_t other(int end) { return static_cast<std::size_t>(1 - end); }
    Group& end(int which) { return ends[static_cast<std::size_t>(which)]; }
    const Group& end(int which) const { return ends[static_cast<std::size_t>(which)]; }
    std::deque<trunk::Message>& inbox(int which) { return to[static_cast<std::size_t>(which)]; }

    void down() {
        is_up = false;
        for (int e : {0, 1}) {
            Effects effects;
            end(e).link_down(now, effects);
            carry_out(e, effects);
        }
    }
    void up(bool resumed) {
        if (!resumed) to[0].clear(), to[1].clear(), renew = false;
        is_up = true;
        for (int e : {0, 1}) {
            Effects effects;
            end(e).link_up(now, resumed, effects);
            carry_out(e, effects);
        }
    }
    void deliver(int e, bool keep = false) {
        const trunk::Message message = inbox(e).front();
        if (!keep) inbox(e).pop_front();
        Effects effects;
        const char* complaint = end(e).receive(now, message, effects);
        carry_out(e, effects);
        if (complaint) down(), up(false);  // as the session would
    }
    void crash(int e, const SearchSettings& settings) {
        if (is_up) down();
        std::vector<std::pair<trunk::Claim, const Leg*>> stood;
        const Group before = end(e);
        for (const auto& [ref, leg] : before.legs())
            if (leg.state == LegState::standing) stood.push_back({{ref, leg.circuits}, &leg});
        end(e) = Group(rules_of(settings, e), ++lives[static_cast<std::size_t>(e)]);
        if (settings.ledger)
            for (const auto& [claim, leg] : stood) end(e).restore(claim, leg->call, leg->outgoing, now);
        renew = true;
    }
    void pass(Duration time) {
        now += time;
        for (int e : {0, 1}) {
            Effects effects;
            end(e).run_timers(now, effects);
            carry_out(e, effects);
        }
    }
    void release(int e, CallRef ref) {
        Effects effects;
        end(e).release(now, ref, trunk::Reason::normal, effects);
        carry_out(e, effects);
    }

    std::string image() const {
        std::string text;
        for (const Group& group : ends) text += group.state_key(now) + '|';
        for (const auto& inbox : to) {
            for (const trunk::Message& message : inbox)
                text += trunk::encode(trunk::NumberedMessage{0, 0, message});
            text += '|';
        }
        for (const int left : {calls[0], calls[1], breaks, resumes, crashes, losses, repeats, ticks, audits})
            text += static_cast<char>('0' + left);
        return text + (is_up ? 'u' : 'd') + (renew ? 'r' : '-') + (lost_any ? 'l' : '-');
    }

    // A circuit that both ends hold for calls that were taken must be held for the same one.
    void check() {
        for (int n = 1; n <= ends[0].circuits().size() && wrong.empty(); ++n) {
            const trunk::Circuit &a = ends[0].circuits().at(n), &b = ends[1].circuits().at(n);
            if (owned(a.state) && owned(b.state) && a.call != b.call)
                wrong = "two calls own circuit " + std::to_string(n);
        }
    }
    static bool owned(trunk::CircuitState state) {
        return state == trunk::CircuitState::proceeding || state == trunk::CircuitState::incoming ||
               state == trunk::CircuitState::standing;
    }
};

// ---- The search ----------------------------------------------------------------------------------------

class Search {
   public:
    explicit Search(const SearchSettings& settings) : settings_(settings) {}

    SearchResult run() {
        const World first(settings_);
        complete_ = true;
        visit(first);
        result_.complete = complete_ && result_.wrong.empty();
        return std::move(result_);
    }

   private:
    using Step = std::function<void(World&)>;

    bool seen(const World& world) {
        const std::string image = world.image();
        const std::uint64_t one = std::hash<std::string_view>{}(image);
        const std::uint64_t two = std::hash<std::string_view>{}(image + '*');
        return !seen_.insert({one, two}).second;
    }

    // False: something is wrong, or there are too many states; the trail stays as it is.
    bool visit(const World& world) {
        if (seen(world)) return true;
        ++result_.states;
        if (result_.states >= settings_.most_states) return complete_ = false;
        if (!quiet(world)) return false;
        std::vector<std::pair<std::string, Step>> steps;
        list_steps(world, steps);
        for (auto& [name, step] : steps) {
            World next = world;
            step(next);
            next.check();
            ++result_.transitions;
            result_.trail.push_back(name);
            if (!next.wrong.empty()) {
                result_.wrong = next.wrong;
                return false;
            }
            if (!visit(next)) return false;
            result_.trail.pop_back();
        }
        return true;
    }

    void list_steps(const World& world, std::vector<std::pair<std::string, Step>>& steps) {
        const char* const names[] = {"A", "B"};
        for (int e : {0, 1}) {
            const std::string who = names[e];
            const Group& group = world.end(e);
            if (world.is_up && !world.to[static_cast<std::size_t>(e)].empty()) {
                const std::string what(trunk::name_of(world.to[static_cast<std::size_t>(e)].front()));
                steps.emplace_back(who + " hears: " + what, [e](World& w) { w.deliver(e); });
                if (world.repeats > 0)
                    steps.emplace_back(who + " hears twice: " + what,
                                       [e](World& w) { --w.repeats, w.lost_any = true, w.deliver(e, true); });
            }
            if (group.in_service() && world.calls[static_cast<std::size_t>(e)] > 0)
                steps.emplace_back(who + " seizes", [this, e](World& w) {
                    --w.calls[static_cast<std::size_t>(e)];
                    Effects effects;
                    w.end(e).set_up(w.now, {.call = "c"}, settings_.wide ? 2 : 1, effects);
                    w.carry_out(e, effects);
                });
            for (const auto& [ref, leg] : group.legs()) {
                const std::string call = " call " + std::to_string(ref & 0xff);
                if (leg.state == LegState::incoming)
                    steps.emplace_back(who + " answers" + call, [e, r = ref](World& w) {
                        Effects effects;
                        w.end(e).answer(w.now, r, "", effects);
                        w.carry_out(e, effects);
                    });
                if (leg.state != LegState::yielding && leg.state != LegState::releasing)
                    steps.emplace_back(who + " releases" + call, [e, r = ref](World& w) { w.release(e, r); });
                if (world.losses > 0 && leg.state == LegState::standing)
                    steps.emplace_back(who + " forgets" + call, [e, r = ref](World& w) {
                        --w.losses, w.lost_any = true;
                        w.end(e).inject_memory_loss(r);
                    });
            }
            if (world.audits > 0 && group.in_service())
                steps.emplace_back(who + " audits", [e](World& w) {
                    --w.audits;
                    w.end(e).audit_now(w.now);
                    Effects effects;
                    w.end(e).run_timers(w.now, effects);
                    w.carry_out(e, effects);
                });
            if (world.crashes > 0)
                steps.emplace_back(who + " crashes",
                                   [this, e](World& w) { --w.crashes, w.crash(e, settings_); });
        }
        if (world.is_up && world.breaks + world.resumes > 0)
            steps.emplace_back("the link breaks", [](World& w) { w.down(); });
        if (!world.is_up && world.resumes > 0 && !world.renew)
            steps.emplace_back("the link is resumed", [](World& w) { --w.resumes, w.up(true); });
        if (!world.is_up && (world.breaks > 0 || world.renew))
            steps.emplace_back("the link starts anew",
                               [](World& w) { w.breaks -= w.renew ? 0 : 1, w.up(false); });
        if (world.ticks > 0)
            steps.emplace_back("six seconds pass", [](World& w) { --w.ticks, w.pass(kTick); });
    }

    // Nothing fails any more, nobody seizes, and each call is released by the end that seized it, if that
    // still has it. Everything must fall idle.
    bool quiet(const World& from) {
        World world = from;
        ++result_.quiet_runs;
        for (int round = 0; round < kQuietRounds && world.wrong.empty(); ++round) {
            if (!world.is_up) world.up(!world.renew);
            while (!world.to[0].empty() || !world.to[1].empty())
                for (int e : {0, 1})
                    if (!world.inbox(e).empty()) world.deliver(e);
            for (int e : {0, 1}) {
                std::vector<CallRef> own;
                for (const auto& [ref, leg] : world.end(e).legs())
                    if (leg.outgoing) own.push_back(ref);
                for (const CallRef ref : own) world.release(e, ref);
            }
            world.check();
            if (idle(world)) return true;
            world.pass(std::chrono::seconds(10));
        }
        result_.wrong = world.wrong.empty() ? "quiet does not lead to all idle" : world.wrong + ", in quiet";
        return false;
    }

    static bool idle(const World& world) {
        return world.to[0].empty() && world.to[1].empty() &&
               std::all_of(world.ends.begin(), world.ends.end(), [](const Group& group) {
                   return group.in_service() && group.circuits().busy_count() == 0 && group.legs().empty();
               });
    }

    struct Hash {
        std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& of) const { return of.first; }
    };
    const SearchSettings& settings_;
    SearchResult result_;
    bool complete_ = false;
    std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, Hash> seen_;
};

}  // namespace

SearchResult search(const SearchSettings& settings) {
    return Search(settings).run();
}

}  // namespace nettlestall::lab
