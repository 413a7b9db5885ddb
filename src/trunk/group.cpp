#include "trunk/group.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace nettlestall::trunk {
namespace {

constexpr std::array<std::string_view, 6> kLegNames{"seizing",  "proceeding", "incoming",
                                                    "standing", "yielding",   "releasing"};

bool unanswered(LegState state) {
    return state == LegState::seizing || state == LegState::proceeding || state == LegState::incoming;
}

bool awaits_the_far_end(LegState state) {
    return state == LegState::yielding || state == LegState::releasing;
}

void append(std::string& to, std::int64_t value) {
    to.append(std::to_string(value)).push_back(',');
}

}  // namespace

std::string_view name_of(LegState state) {
    return kLegNames[static_cast<std::size_t>(state)];
}

Group::Group(const GroupRules& rules, std::uint32_t incarnation)
    : rules_(rules), circuits_(rules.circuits), audit_(rules.audit) {
    set_incarnation(incarnation);
}

void Group::set_incarnation(std::uint32_t incarnation) {
    next_ref_ = static_cast<CallRef>(rules_.point_codes.own_is_higher()) << 63 |
                static_cast<CallRef>(incarnation & 0x7fffffff) << 32;
}

const Leg* Group::leg(CallRef ref) const {
    const auto at = legs_.find(ref);
    return at == legs_.end() ? nullptr : &at->second;
}

void Group::update_timers(const GroupRules& rules) {
    rules_.release_guard = rules.release_guard;
    rules_.reset_repeat_interval = rules.reset_repeat_interval;
    rules_.link_down_hold = rules.link_down_hold;
    rules_.audit = rules.audit;
    audit_.take(rules.audit);
}

bool Group::exist(const CircuitList& circuits) const {
    return std::all_of(circuits.begin(), circuits.end(),
                       [this](CircuitNumber n) { return circuits_.exists(n); });
}

void Group::move(Leg& leg, CallRef ref, LegState to, CircuitEvent by, Instant now) {
    leg.state = to;
    leg.since = now;
    for (const CircuitNumber n : leg.circuits)
        if (circuits_.at(n).call == ref) circuits_.apply(n, by, ref);
}

void Group::erase(Legs::iterator at, Effects& out) {
    for (const CircuitNumber n : at->second.circuits)
        if (circuits_.at(n).call == at->first) circuits_.apply(n, CircuitEvent::clear, kNoCall);
    if (at->second.state == LegState::standing) out.push_back(RemoveCall{{at->first, at->second.circuits}});
    legs_.erase(at);
}

void Group::end(Legs::iterator at, Reason reason, Effects& out) {
    const Leg& leg = at->second;
    if (awaits_the_far_end(leg.state)) return;  // whoever had the call knows
    out.push_back(Ended{at->first, leg.call, leg.outgoing, leg.state == LegState::standing, reason});
}

// ---- At the start ----------------------------------------------------------------------------------

bool Group::restore(const Claim& claim, const CallId& call, bool outgoing, Instant now) {
    const bool free =
        exist(claim.circuits) && std::all_of(claim.circuits.begin(), claim.circuits.end(),
                                             [this](CircuitNumber n) { return circuits_.at(n).is_idle(); });
    if (!free || legs_.count(claim.call)) return false;
    Leg& leg = legs_[claim.call];
    leg = {outgoing, LegState::standing, claim.circuits, call, now};
    for (const CircuitNumber n : claim.circuits) {
        circuits_.apply(n, CircuitEvent::accept_incoming, claim.call);
        circuits_.apply(n, CircuitEvent::answer, claim.call);
    }
    held_on_ = true;
    down_since_ = now;
    return true;
}

void Group::restore(CircuitNumber circuit, Blocking blocking) {
    if (circuits_.exists(circuit)) circuits_.block_here(circuit, blocking);
}

// ---- Calls -----------------------------------------------------------------------------------------

CallRef Group::set_up(Instant now, CallData data, int width, Effects& out) {
    if (!in_service()) return kNoCall;
    CircuitList chosen = hunt(circuits_, rules_.point_codes, width, rules_.hunting, lately_);
    if (chosen.empty()) {
        ++counts_.no_circuit;
        return kNoCall;
    }
    lately_.clear();
    ++counts_.seizures;
    const CallRef ref = ++next_ref_;
    legs_[ref] = {true, LegState::seizing, chosen, data.call, now};
    for (const CircuitNumber n : chosen) circuits_.apply(n, CircuitEvent::seize, ref);
    out.push_back(Send{Seize{ref, std::move(chosen), std::move(data)}});
    return ref;
}

bool Group::answer(Instant now, CallRef ref, std::string description, Effects& out) {
    const auto at = legs_.find(ref);
    if (at == legs_.end() || at->second.state != LegState::incoming) return false;
    ++counts_.answered;
    move(at->second, ref, LegState::standing, CircuitEvent::answer, now);
    out.push_back(StoreCall{{ref, at->second.circuits}, at->second.call, false});
    out.push_back(Send{Answer{ref, std::move(description)}});
    return true;
}

void Group::release(Instant now, CallRef ref, Reason reason, Effects& out) {
    const auto at = legs_.find(ref);
    if (at == legs_.end() || awaits_the_far_end(at->second.state)) return;
    ++counts_.released;
    // An unanswered set-up of the far end is let go in one message: it frees the circuits when that comes,
    // and whatever is seized here after it comes behind it.
    if (at->second.state == LegState::incoming) {
        erase(at, out);
        out.push_back(Send{Reject{ref, reason}});
        return;
    }
    let_go(now, at, reason, out);
}

// The circuits stay out of use until the far end confirms (Q.764, 2.3.1).
void Group::let_go(Instant now, Legs::iterator at, Reason reason, Effects& out) {
    if (at->second.state == LegState::standing) out.push_back(RemoveCall{{at->first, at->second.circuits}});
    move(at->second, at->first, LegState::releasing, CircuitEvent::release, now);
    out.push_back(Send{Release{at->first, reason}});
}

// ---- The link --------------------------------------------------------------------------------------

std::vector<Claim> Group::claims() const {
    std::vector<Claim> all;
    for (const auto& [ref, leg] : legs_)
        if (leg.state == LegState::standing) all.push_back({ref, leg.circuits});
    return all;
}

void Group::link_up(Instant now, bool resumed, Effects& out) {
    up_ = true;
    // What awaits a word of the far end has its time from now on.
    for (auto& [ref, leg] : legs_)
        if (awaits_the_far_end(leg.state)) leg.since = now;
    for (auto& [id, reset] : resets_) reset.at = now;
    if (resumed) return;

    // Only what stands is claimed. All else has no owner at the far end, or may have none.
    synced_ = false;
    last_taken_ = kNoCall;
    last_reset_heard_ = 0;
    audit_.forget();
    resets_.clear();
    for (auto at = legs_.begin(); at != legs_.end();) {
        const auto leg = at++;
        if (leg->second.state == LegState::standing) continue;
        end(leg, Reason::link_lost, out);
        legs_.erase(leg);
    }
    for (CircuitNumber n = 1; n <= circuits_.size(); ++n) {
        circuits_.block_there(n, Blocking::none);
        const Circuit& c = circuits_.at(n);
        if (!c.is_idle() && c.state != CircuitState::standing)
            circuits_.apply(n, CircuitEvent::mark_unsure, c.call);
    }
    Claims message{claims(), {}};
    for (CircuitNumber n = 1; n <= circuits_.size(); ++n)
        if (const Blocking b = circuits_.at(n).blocked_here; b != Blocking::none)
            message.blocked.emplace_back(n, b);
    out.push_back(Send{std::move(message)});
}

void Group::link_down(Instant now, Effects& out) {
    if (!std::exchange(up_, false)) return;
    down_since_ = now;
    held_on_ = true;
    // Nobody may wait for an answer over a link that is cut. Should the far end have answered, its call is
    // released on the next connection.
    std::vector<CallRef> open;
    for (const auto& [ref, leg] : legs_)
        if (unanswered(leg.state)) open.push_back(ref);
    for (const CallRef ref : open) {
        const auto at = legs_.find(ref);
        end(at, Reason::link_lost, out);
        let_go(now, at, Reason::link_lost, out);
    }
}

const char* Group::receive(Instant now, const Message& message, Effects& out) {
    if (!synced_ && !std::holds_alternative<Claims>(message)) return "a message before the claims";
    return std::visit([&](const auto& m) { return on(now, m, out); }, message);
}

const char* Group::on(Instant now, const Claims& m, Effects& out) {
    if (synced_) return "claims on a link that goes on";
    if (const char* wrong = find_error(m, circuits_.size())) return wrong;
    const Reconciled result = reconcile(claims(), m.calls);
    counts_.recovered += result.kept.size();
    counts_.not_recovered += result.ours.size();
    for (const CallRef ref : result.ours) {
        const auto at = legs_.find(ref);
        end(at, Reason::cut, out);
        erase(at, out);
    }
    for (CircuitNumber n = 1; n <= circuits_.size(); ++n)
        if (circuits_.at(n).state == CircuitState::unsure) circuits_.apply(n, CircuitEvent::clear, kNoCall);
    for (const auto& [n, blocking] : m.blocked) circuits_.block_there(n, blocking);
    synced_ = true;
    held_on_ = false;
    (void)now;
    return nullptr;
}

// ---- Seizures --------------------------------------------------------------------------------------

// Our seizures that crossed this one and lose to it are given back at once: they never ran, and may route
// again. False: one of ours stands.
bool Group::yield_to(Instant now, const Seize& m, Effects& out) {
    std::set<CallRef> crossed;
    for (const CircuitNumber n : m.circuits)
        if (const Circuit& c = circuits_.at(n); c.state == CircuitState::seizing) crossed.insert(c.call);
    bool yields = true;
    // One that has yielded to another before is judged all the same. Guards against the far end taking this
    // one for the winner of the pair, which it judges too, while it is given up here.
    std::erase_if(yielding_, [&](CallRef ref) {
        const Leg* yielded = leg(ref);
        if (!yielded || yielded->state != LegState::yielding) return true;
        if (lowest_contested_circuit(yielded->circuits, m.circuits) &&
            rules_.glare_rule(rules_.point_codes, yielded->circuits, m.circuits))
            yields = false;
        return false;
    });
    for (const CallRef ref : crossed) {
        ++counts_.glares;
        const auto at = legs_.find(ref);
        if (rules_.glare_rule(rules_.point_codes, at->second.circuits, m.circuits)) {
            yields = false;
            continue;
        }
        ++counts_.glares_lost;
        lately_ = m.circuits;
        end(at, Reason::glare, out);
        move(at->second, ref, LegState::yielding, CircuitEvent::yield, now);
        yielding_.insert(ref);
    }
    return yields;
}

const char* Group::on(Instant now, const Seize& m, Effects& out) {
    if (ours(m.call)) return "a seizure in our name";
    if (!exist(m.circuits)) return "a seizure of a circuit that does not exist";
    // Repeated. Guards against a call that is over and would come to life again at this end alone.
    if (m.call <= last_taken_) return nullptr;
    last_taken_ = m.call;
    Reason reason = Reason::normal;
    // Each crossing pair is judged by itself, also where this seizure fails for another reason: the far end
    // judges the same pair when it hears of ours.
    if (!yield_to(now, m, out)) reason = Reason::glare;
    for (const CircuitNumber n : m.circuits) {
        const Circuit& c = circuits_.at(n);
        CircuitState next{};
        if (reason == Reason::normal && c.blocked_here != Blocking::none) reason = Reason::unusable;
        // Guards a call of ours, and a circuit whose release or reset the far end has not confirmed.
        if (reason != Reason::glare && !next_state(c.state, CircuitEvent::accept_incoming, next))
            reason = Reason::not_idle;
        const bool held = c.state == CircuitState::proceeding || c.state == CircuitState::incoming ||
                          c.state == CircuitState::standing;
        if (!held) continue;
        ++counts_.contradictions;  // the far end takes it for idle
        audit_.start_now(now);
    }
    if (reason != Reason::normal) {
        ++counts_.rejected;
        out.push_back(Send{Reject{m.call, reason}});
        return nullptr;
    }
    ++counts_.seizures_accepted;
    legs_[m.call] = {false, LegState::incoming, m.circuits, m.data.call, now};
    for (const CircuitNumber n : m.circuits) circuits_.apply(n, CircuitEvent::accept_incoming, m.call);
    out.push_back(Send{Accept{m.call}});
    out.push_back(Offered{m.call, static_cast<int>(m.circuits.size()), m.data});
    return nullptr;
}

const char* Group::on(Instant now, const Accept& m, Effects& out) {
    if (!ours(m.call)) return "an acceptance of its own seizure";
    const auto at = legs_.find(m.call);
    if (at == legs_.end() || at->second.state == LegState::yielding) {
        // Nobody here has the call any more; the far end must not hold circuits for it.
        ++counts_.contradictions;
        if (at != legs_.end()) at->second.state = LegState::releasing, at->second.since = now;
        out.push_back(Send{Release{m.call, Reason::normal}});
        return nullptr;
    }
    if (at->second.state == LegState::seizing)
        move(at->second, m.call, LegState::proceeding, CircuitEvent::accept, now);
    return nullptr;
}

const char* Group::on(Instant now, const Reject& m, Effects& out) {
    if (!ours(m.call)) return "a rejection of its own seizure";
    const auto at = legs_.find(m.call);
    if (at == legs_.end()) return nullptr;
    if (m.reason == Reason::not_idle || m.reason == Reason::unusable) {
        lately_ = at->second.circuits;
        audit_.start_now(now);
    }
    end(at, at->second.state == LegState::standing ? Reason::cut : m.reason, out);
    erase(at, out);
    return nullptr;
}

const char* Group::on(Instant now, const Answer& m, Effects& out) {
    if (!ours(m.call)) return "an answer to its own seizure";
    const auto at = legs_.find(m.call);
    if (at == legs_.end()) {
        ++counts_.contradictions;
        out.push_back(Send{Release{m.call, Reason::normal}});
        return nullptr;
    }
    if (at->second.state == LegState::seizing) return "an answer before the acceptance";
    if (at->second.state != LegState::proceeding) return nullptr;  // crossed our release, or repeated
    ++counts_.answered;
    move(at->second, m.call, LegState::standing, CircuitEvent::answer, now);
    out.push_back(StoreCall{{m.call, at->second.circuits}, at->second.call, true});
    out.push_back(Answered{m.call, at->second.call, m.description});
    return nullptr;
}

// ---- Release and reset -----------------------------------------------------------------------------

const char* Group::on(Instant, const Release& m, Effects& out) {
    if (const auto at = legs_.find(m.call); at != legs_.end()) {
        end(at, m.reason, out);
        erase(at, out);
    }
    out.push_back(Send{ReleaseComplete{m.call}});
    return nullptr;
}

const char* Group::on(Instant, const ReleaseComplete& m, Effects& out) {
    const auto at = legs_.find(m.call);
    if (at != legs_.end() && at->second.state == LegState::releasing) erase(at, out);
    return nullptr;
}

// Whatever is held on these circuits ends. Where a wide call has circuits beside them, the far end may still
// hold those: they are released and stay out of use until it confirms.
void Group::cut_on(Instant now, const CircuitList& circuits, Reason reason, Effects& out) {
    std::set<CallRef> held;
    for (const CircuitNumber n : circuits)
        if (const CallRef ref = circuits_.at(n).call; ref != kNoCall) held.insert(ref);
    for (const CallRef ref : held) {
        const auto at = legs_.find(ref);
        if (at == legs_.end()) continue;
        const CircuitList& own = at->second.circuits;
        const bool whole = std::includes(circuits.begin(), circuits.end(), own.begin(), own.end());
        end(at, reason, out);
        if (!whole && !awaits_the_far_end(at->second.state))
            let_go(now, at, reason, out);
        else if (whole)
            erase(at, out);
    }
}

const char* Group::on(Instant now, const Reset& m, Effects& out) {
    if (!exist(m.circuits)) return "a reset of a circuit that does not exist";
    out.push_back(Send{ResetDone{m.id, m.circuits}});
    if (m.id <= last_reset_heard_) return nullptr;  // repeated: what is there now came after it
    last_reset_heard_ = m.id;
    ++counts_.resets;
    cut_on(now, m.circuits, Reason::reset, out);
    for (const CircuitNumber n : m.circuits) circuits_.apply(n, CircuitEvent::clear, kNoCall);
    return nullptr;
}

const char* Group::on(Instant, const ResetDone& m, Effects&) {
    const auto pending = resets_.find(m.id);
    if (pending == resets_.end() || pending->second.circuits != m.circuits) return nullptr;  // repeated
    resets_.erase(pending);
    // A reset of the far end that crossed ours has made them idle before; they may be in use again.
    for (const CircuitNumber n : m.circuits)
        if (circuits_.at(n).state == CircuitState::resetting)
            circuits_.apply(n, CircuitEvent::clear, kNoCall);
    return nullptr;
}

void Group::send_reset(Instant now, CircuitList circuits, Effects& out) {
    for (const CircuitNumber n : circuits) circuits_.apply(n, CircuitEvent::reset, kNoCall);
    const std::uint32_t id = ++last_reset_;
    out.push_back(Send{Reset{id, circuits}});
    resets_[id] = {std::move(circuits), now};
}

// A call that has a circuit among these is reset with all of its circuits.
void Group::reset(Instant now, const CircuitList& circuits, Reason reason, Effects& out) {
    if (!in_service()) return;
    std::set<CircuitNumber> all;
    for (const CircuitNumber n : circuits) {
        if (!circuits_.exists(n)) continue;
        all.insert(n);
        if (const Leg* held = leg(circuits_.at(n).call))
            for (const CircuitNumber other : held->circuits)
                if (circuits_.at(other).call == circuits_.at(n).call) all.insert(other);
    }
    if (all.empty()) return;
    CircuitList list(all.begin(), all.end());
    cut_on(now, list, reason, out);
    send_reset(now, std::move(list), out);
}

// ---- Maintenance -----------------------------------------------------------------------------------

void Group::block(Instant now, const CircuitList& circuits, Blocking blocking, Effects& out) {
    CircuitList known;
    std::set<CallRef> cut;
    for (const CircuitNumber n : circuits) {
        if (!circuits_.exists(n)) continue;
        known.push_back(n);
        circuits_.block_here(n, blocking);
        out.push_back(StoreBlocking{n, blocking});
        if (blocking == Blocking::hard && circuits_.at(n).call != kNoCall) cut.insert(circuits_.at(n).call);
    }
    if (known.empty()) return;
    out.push_back(Send{Block{false, blocking, known}});  // a link that starts anew tells it with the claims
    for (const CallRef ref : cut) {
        const auto at = legs_.find(ref);
        if (at == legs_.end() || awaits_the_far_end(at->second.state)) continue;
        end(at, Reason::cut, out);
        let_go(now, at, Reason::cut, out);
    }
}

const char* Group::on(Instant, const Block& m, Effects& out) {
    if (!exist(m.circuits)) return "blocking of a circuit that does not exist";
    if (m.done) return nullptr;
    for (const CircuitNumber n : m.circuits) circuits_.block_there(n, m.blocking);
    out.push_back(Send{Block{true, m.blocking, m.circuits}});
    return nullptr;
}

const char* Group::on(Instant, const Query& m, Effects& out) {
    if (!circuits_.exists(m.first) || m.count < 1 || !circuits_.exists(m.first + m.count - 1))
        return "a query about a circuit that does not exist";
    QueryResponse response{m.id, m.first, {}};
    for (CircuitNumber n = m.first; n < m.first + m.count; ++n)
        response.calls.push_back(circuits_.at(n).is_transient() ? kTransient : circuits_.at(n).call);
    out.push_back(Send{std::move(response)});
    return nullptr;
}

const char* Group::on(Instant now, const QueryResponse& m, Effects& out) {
    const std::vector<CircuitNumber> stuck = audit_.judge(m, circuits_);
    if (stuck.empty()) return nullptr;
    for (const CircuitNumber n : stuck) {
        const CallRef ref = circuits_.at(n).call;
        const Leg* held = leg(ref);
        ++counts_.audit_freed;
        out.push_back(FreedByAudit{n, ref, held ? held->call : CallId()});
    }
    reset(now, stuck, Reason::reset, out);
    return nullptr;
}

void Group::audit_now(Instant now) {
    audit_.start_now(now);
}

// ---- Time ------------------------------------------------------------------------------------------

Instant Group::next_timer() const {
    if (!up_) return held_on_ && !legs_.empty() ? down_since_ + rules_.link_down_hold : Instant::max();
    if (!synced_) return Instant::max();
    Instant due = audit_.next_timer();
    for (const auto& [ref, leg] : legs_)
        if (awaits_the_far_end(leg.state)) due = std::min(due, leg.since + rules_.release_guard);
    for (const auto& [id, reset] : resets_) due = std::min(due, reset.at + rules_.reset_repeat_interval);
    return due;
}

void Group::run_timers(Instant now, Effects& out) {
    if (!up_) {
        if (!held_on_ || now < down_since_ + rules_.link_down_hold) return;
        held_on_ = false;
        // Callers must not stand for ever over a link that does not come back. The far end keeps its own
        // time, so what it still has is not to be taken for ours: the next link starts anew.
        for (auto at = legs_.begin(); at != legs_.end();) {
            const auto leg = at++;
            end(leg, Reason::cut, out);
            if (leg->second.state == LegState::standing)
                out.push_back(RemoveCall{{leg->first, leg->second.circuits}});
            for (const CircuitNumber n : leg->second.circuits)
                if (circuits_.at(n).call == leg->first)
                    circuits_.apply(n, CircuitEvent::mark_unsure, leg->first);
            legs_.erase(leg);
        }
        out.push_back(RestartLink{});
        return;
    }
    if (!synced_) return;
    CircuitList unconfirmed;
    for (auto at = legs_.begin(); at != legs_.end();) {
        const auto leg = at++;
        if (!awaits_the_far_end(leg->second.state) || now < leg->second.since + rules_.release_guard)
            continue;
        ++counts_.release_timeouts;
        for (const CircuitNumber n : leg->second.circuits)
            if (circuits_.at(n).call == leg->first) unconfirmed.push_back(n);
        legs_.erase(leg);
    }
    std::sort(unconfirmed.begin(), unconfirmed.end());
    if (!unconfirmed.empty()) send_reset(now, std::move(unconfirmed), out);
    std::vector<CircuitList> again;
    for (auto at = resets_.begin(); at != resets_.end();) {
        const auto reset = at++;
        if (now < reset->second.at + rules_.reset_repeat_interval) continue;
        CircuitList waiting;
        for (const CircuitNumber n : reset->second.circuits)
            if (circuits_.at(n).state == CircuitState::resetting) waiting.push_back(n);
        if (!waiting.empty()) again.push_back(std::move(waiting));
        resets_.erase(reset);
    }
    for (CircuitList& circuits : again) send_reset(now, std::move(circuits), out);
    if (auto question = audit_.ask(now, circuits_)) out.push_back(Send{std::move(*question)});
}

// ---- For the search of states ------------------------------------------------------------------------

std::string Group::state_key(Instant now) const {
    std::string text = std::string(up_ ? "u" : "d") + (synced_ ? "s" : "-") + (held_on_ ? "h" : "-");
    append(text, static_cast<std::int64_t>(next_ref_));
    append(text, static_cast<std::int64_t>(last_taken_));
    append(text, last_reset_heard_);
    for (CircuitNumber n = 1; n <= circuits_.size(); ++n) {
        const Circuit& c = circuits_.at(n);
        append(text, static_cast<int>(c.state));
        append(text, static_cast<std::int64_t>(c.call));
        append(text, static_cast<int>(c.blocked_here) * 3 + static_cast<int>(c.blocked_there));
    }
    for (const auto& [ref, leg] : legs_) {
        append(text, static_cast<std::int64_t>(ref));
        append(text, static_cast<int>(leg.state));
        if (awaits_the_far_end(leg.state)) append(text, (leg.since - now).count());
    }
    for (const auto& [id, reset] : resets_) append(text, id), append(text, (reset.at - now).count());
    for (const CircuitNumber n : lately_) append(text, n);
    if (!up_ && held_on_) append(text, (down_since_ - now).count());
    if (audit_.next_timer() != Instant::max()) append(text, (audit_.next_timer() - now).count());
    return text;
}

void Group::inject_memory_loss(CallRef ref) {
    Effects unheard;
    if (const auto at = legs_.find(ref); at != legs_.end()) erase(at, unheard);
}

}  // namespace nettlestall::trunk
