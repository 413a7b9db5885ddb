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

constexpr Duration kTimeStep = std::chrono::seconds(6);  // longer than the timers of releases and resets
constexpr int kMaxQuiescenceRounds = 60;                 // of 10 s each

// A broken rule for dual seizures: both ends decide that the other's seizure wins.
bool never_wins(const trunk::PointCodes&, const trunk::CircuitList&, const trunk::CircuitList&) {
    return false;
}

// The rules of one end. One mismatch suffices for an audit to free a circuit, and audits run only as steps of
// the search or after a minute.
GroupRules rules_for(const SearchSettings& settings, int end) {
    GroupRules rules;
    rules.point_codes = end == 0 ? trunk::PointCodes{1, 2} : trunk::PointCodes{2, 1};
    rules.circuits = settings.circuits;
    rules.audit.confirmations = 1;
    rules.audit.interval = std::chrono::minutes(1);
    if (settings.broken == "glare") rules.glare_rule = &never_wins;
    if (settings.broken == "audit") rules.audit.skip_changed_circuits = false;
    return rules;
}

// ---- The state of the two ends -------------------------------------------------------------------------

// Both ends, the messages in transit between them, and how many calls, faults and other steps may still come.
struct SystemState {
    explicit SystemState(const SearchSettings& settings)
        : ends{Group(rules_for(settings, 0), 1), Group(rules_for(settings, 1), 1)},
          calls{settings.calls, settings.calls},
          breaks(settings.breaks),
          resumes(settings.resumes),
          crashes(settings.crashes),
          losses(settings.losses),
          repeats(settings.repeats),
          ticks(settings.ticks),
          audits(settings.audits) {
        link_up(false);
    }

    std::array<Group, 2> ends;
    std::array<std::deque<trunk::Message>, 2> in_transit;  // by receiving end
    std::array<int, 2> calls;                              // by end
    std::array<std::uint32_t, 2> incarnations{1, 1};
    int breaks, resumes, crashes, losses, repeats, ticks, audits;
    // Whether the link is up; whether it must start anew, that is, may not be resumed; whether an end has
    // lost a call's state or received a duplicate, after which audits may free calls.
    bool is_up = false, must_restart_link = false, any_state_lost = false;
    Instant now{std::chrono::hours(1)};
    std::string violation;  // the rule that was broken; empty: none

    // Carries out what the group of end `by` wants done.
    void apply_effects(int by, const Effects& effects) {
        for (const trunk::Effect& effect : effects) {
            if (const auto* send = std::get_if<trunk::Send>(&effect))
                in_transit[other(by)].push_back(send->message);
            if (std::holds_alternative<trunk::RestartLink>(effect)) must_restart_link = true;
            if (std::holds_alternative<trunk::FreedByAudit>(effect) && !any_state_lost)
                violation = "an audit freed a call although no state was lost";
        }
    }
    static std::size_t other(int end) { return static_cast<std::size_t>(1 - end); }
    Group& end(int which) { return ends[static_cast<std::size_t>(which)]; }
    const Group& end(int which) const { return ends[static_cast<std::size_t>(which)]; }
    std::deque<trunk::Message>& inbox(int which) { return in_transit[static_cast<std::size_t>(which)]; }

    // Take the link down and up at both ends. Unless the link is resumed, the messages in transit are lost.
    void link_down() {
        is_up = false;
        for (int e : {0, 1}) {
            Effects effects;
            end(e).link_down(now, effects);
            apply_effects(e, effects);
        }
    }
    void link_up(bool resumed) {
        if (!resumed) in_transit[0].clear(), in_transit[1].clear(), must_restart_link = false;
        is_up = true;
        for (int e : {0, 1}) {
            Effects effects;
            end(e).link_up(now, resumed, effects);
            apply_effects(e, effects);
        }
    }
    // Delivers the next message to end e; a duplicate stays in transit.
    void deliver(int e, bool duplicate = false) {
        const trunk::Message message = inbox(e).front();
        if (!duplicate) inbox(e).pop_front();
        Effects effects;
        const char* session_error = end(e).receive(now, message, effects);
        apply_effects(e, effects);
        if (session_error) link_down(), link_up(false);  // as the link's session does
    }
    // Restarts an end, which restores its answered calls if it has a ledger.
    void crash(int e, const SearchSettings& settings) {
        if (is_up) link_down();
        std::vector<std::pair<trunk::Claim, const Leg*>> standing;
        const Group before = end(e);
        for (const auto& [ref, leg] : before.legs())
            if (leg.state == LegState::standing) standing.push_back({{ref, leg.circuits}, &leg});
        end(e) = Group(rules_for(settings, e), ++incarnations[static_cast<std::size_t>(e)]);
        if (settings.ledger)
            for (const auto& [claim, leg] : standing) end(e).restore(claim, leg->call, leg->outgoing, now);
        must_restart_link = true;
    }
    void advance_time(Duration time) {
        now += time;
        for (int e : {0, 1}) {
            Effects effects;
            end(e).run_timers(now, effects);
            apply_effects(e, effects);
        }
    }
    void release(int e, CallRef ref) {
        Effects effects;
        end(e).release(now, ref, trunk::Reason::normal, effects);
        apply_effects(e, effects);
    }

    // A text that is equal for equal states. It holds times relative to now, not the clock itself.
    std::string state_key() const {
        std::string text;
        for (const Group& group : ends) text += group.state_key(now) + '|';
        for (const auto& inbox : in_transit) {
            for (const trunk::Message& message : inbox)
                text += trunk::encode(trunk::NumberedMessage{0, 0, message});
            text += '|';
        }
        for (const int left : {calls[0], calls[1], breaks, resumes, crashes, losses, repeats, ticks, audits})
            text += static_cast<char>('0' + left);
        return text + (is_up ? 'u' : 'd') + (must_restart_link ? 'r' : '-') + (any_state_lost ? 'l' : '-');
    }

    // Sets the violation if both ends hold a circuit for accepted calls and it is not the same call.
    void check_ownership() {
        for (int n = 1; n <= ends[0].circuits().size() && violation.empty(); ++n) {
            const trunk::Circuit &a = ends[0].circuits().at(n), &b = ends[1].circuits().at(n);
            if (owns_circuit(a.state) && owns_circuit(b.state) && a.call != b.call)
                violation = "two calls own circuit " + std::to_string(n);
        }
    }
    static bool owns_circuit(trunk::CircuitState state) {
        return state == trunk::CircuitState::proceeding || state == trunk::CircuitState::incoming ||
               state == trunk::CircuitState::standing;
    }
};

// ---- The search ----------------------------------------------------------------------------------------

// A depth-first search.
class Search {
   public:
    explicit Search(const SearchSettings& settings) : settings_(settings) {}

    SearchResult run() {
        const SystemState first(settings_);
        complete_ = true;
        visit(first);
        result_.complete = complete_ && result_.violation.empty();
        return std::move(result_);
    }

   private:
    // Changes the state as one event does.
    using Step = std::function<void(SystemState&)>;

    // Records the state; true if it was visited before. Keeps two hashes instead of the state, to save
    // memory.
    bool mark_seen(const SystemState& state) {
        const std::string key = state.state_key();
        const std::uint64_t first_hash = std::hash<std::string_view>{}(key);
        const std::uint64_t second_hash = std::hash<std::string_view>{}(key + '*');
        return !visited_.insert({first_hash, second_hash}).second;
    }

    // Visits the state and all that can be reached from it. Returns false, and leaves the trace as it is, on
    // a violation or if there are too many states.
    bool visit(const SystemState& state) {
        if (mark_seen(state)) return true;
        ++result_.states;
        if (result_.states >= settings_.max_states) return complete_ = false;
        if (!check_quiescence(state)) return false;
        std::vector<std::pair<std::string, Step>> steps;
        list_steps(state, steps);
        for (auto& [name, step] : steps) {
            SystemState next = state;
            step(next);
            next.check_ownership();
            ++result_.transitions;
            result_.trace.push_back(name);
            if (!next.violation.empty()) {
                result_.violation = next.violation;
                return false;
            }
            if (!visit(next)) return false;
            result_.trace.pop_back();
        }
        return true;
    }

    // Lists all events that can happen in the state.
    void list_steps(const SystemState& state, std::vector<std::pair<std::string, Step>>& steps) {
        const char* const names[] = {"A", "B"};
        for (int e : {0, 1}) {
            const std::string end_name = names[e];
            const Group& group = state.end(e);
            if (state.is_up && !state.in_transit[static_cast<std::size_t>(e)].empty()) {
                const std::string message_name(
                    trunk::name_of(state.in_transit[static_cast<std::size_t>(e)].front()));
                steps.emplace_back(end_name + " receives: " + message_name,
                                   [e](SystemState& s) { s.deliver(e); });
                if (state.repeats > 0)
                    steps.emplace_back(
                        end_name + " receives a duplicate: " + message_name,
                        [e](SystemState& s) { --s.repeats, s.any_state_lost = true, s.deliver(e, true); });
            }
            if (group.in_service() && state.calls[static_cast<std::size_t>(e)] > 0)
                steps.emplace_back(end_name + " seizes", [this, e](SystemState& s) {
                    --s.calls[static_cast<std::size_t>(e)];
                    Effects effects;
                    s.end(e).set_up(s.now, {.call = "c"}, settings_.wide ? 2 : 1, effects);
                    s.apply_effects(e, effects);
                });
            for (const auto& [ref, leg] : group.legs()) {
                const std::string call = " call " + std::to_string(ref & 0xff);
                if (leg.state == LegState::incoming)
                    steps.emplace_back(end_name + " answers" + call, [e, r = ref](SystemState& s) {
                        Effects effects;
                        s.end(e).answer(s.now, r, "", effects);
                        s.apply_effects(e, effects);
                    });
                if (leg.state != LegState::yielding && leg.state != LegState::releasing)
                    steps.emplace_back(end_name + " releases" + call,
                                       [e, r = ref](SystemState& s) { s.release(e, r); });
                if (state.losses > 0 && leg.state == LegState::standing)
                    steps.emplace_back(end_name + " loses the state of" + call, [e, r = ref](SystemState& s) {
                        --s.losses, s.any_state_lost = true;
                        s.end(e).inject_memory_loss(r);
                    });
            }
            if (state.audits > 0 && group.in_service())
                steps.emplace_back(end_name + " audits", [e](SystemState& s) {
                    --s.audits;
                    s.end(e).audit_now(s.now);
                    Effects effects;
                    s.end(e).run_timers(s.now, effects);
                    s.apply_effects(e, effects);
                });
            if (state.crashes > 0)
                steps.emplace_back(end_name + " crashes",
                                   [this, e](SystemState& s) { --s.crashes, s.crash(e, settings_); });
        }
        if (state.is_up && state.breaks + state.resumes > 0)
            steps.emplace_back("the link breaks", [](SystemState& s) { s.link_down(); });
        if (!state.is_up && state.resumes > 0 && !state.must_restart_link)
            steps.emplace_back("the link is resumed", [](SystemState& s) { --s.resumes, s.link_up(true); });
        if (!state.is_up && (state.breaks > 0 || state.must_restart_link))
            steps.emplace_back("the link starts anew", [](SystemState& s) {
                s.breaks -= s.must_restart_link ? 0 : 1, s.link_up(false);
            });
        if (state.ticks > 0)
            steps.emplace_back("six seconds pass",
                               [](SystemState& s) { --s.ticks, s.advance_time(kTimeStep); });
    }

    // Checks that all circuits become idle when there are no more faults and seizures and each call is
    // released by the end that seized it, if that end still has it.
    bool check_quiescence(const SystemState& from) {
        SystemState state = from;
        ++result_.quiescence_checks;
        for (int round = 0; round < kMaxQuiescenceRounds && state.violation.empty(); ++round) {
            if (!state.is_up) state.link_up(!state.must_restart_link);
            while (!state.in_transit[0].empty() || !state.in_transit[1].empty())
                for (int e : {0, 1})
                    if (!state.inbox(e).empty()) state.deliver(e);
            for (int e : {0, 1}) {
                std::vector<CallRef> own;
                for (const auto& [ref, leg] : state.end(e).legs())
                    if (leg.outgoing) own.push_back(ref);
                for (const CallRef ref : own) state.release(e, ref);
            }
            state.check_ownership();
            if (is_idle(state)) return true;
            state.advance_time(std::chrono::seconds(10));
        }
        result_.violation = state.violation.empty() ? "circuits stay busy without faults and calls"
                                                    : state.violation + ", after the last fault";
        return false;
    }

    // True if no message is in transit, and both ends are in service and have neither calls nor busy
    // circuits.
    static bool is_idle(const SystemState& state) {
        return state.in_transit[0].empty() && state.in_transit[1].empty() &&
               std::all_of(state.ends.begin(), state.ends.end(), [](const Group& group) {
                   return group.in_service() && group.circuits().busy_count() == 0 && group.legs().empty();
               });
    }

    struct Hash {
        std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& hashes) const {
            return hashes.first;
        }
    };
    const SearchSettings& settings_;
    SearchResult result_;
    bool complete_ = false;
    std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, Hash> visited_;
};

}  // namespace

SearchResult search(const SearchSettings& settings) {
    return Search(settings).run();
}

}  // namespace nettlestall::lab
