#include "trunk/group.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace nettlestall::trunk {
namespace {

constexpr std::array<std::string_view, 6> kLegStateNames{"seizing",  "proceeding", "incoming",
                                                         "standing", "yielding",   "releasing"};

// A call that is being set up.
bool is_unanswered(LegState state) {
    return state == LegState::seizing || state == LegState::proceeding || state == LegState::incoming;
}

// The call has ended for this end, but its circuits wait for a message from the far end.
bool awaits_far_end(LegState state) {
    return state == LegState::yielding || state == LegState::releasing;
}

// Appends `value` and a comma.
void append(std::string& text, std::int64_t value) {
    text.append(std::to_string(value)).push_back(',');
}

}  // namespace

std::string_view name_of(LegState state) {
    return kLegStateNames[static_cast<std::size_t>(state)];
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
    const auto found = legs_.find(ref);
    return found == legs_.end() ? nullptr : &found->second;
}

void Group::update_timers(const GroupRules& rules) {
    rules_.release_guard = rules.release_guard;
    rules_.reset_repeat_interval = rules.reset_repeat_interval;
    rules_.link_down_hold = rules.link_down_hold;
    rules_.audit = rules.audit;
    audit_.set_rules(rules.audit);
}

bool Group::all_exist(const CircuitList& circuits) const {
    return std::all_of(circuits.begin(), circuits.end(),
                       [this](CircuitNumber n) { return circuits_.exists(n); });
}

void Group::change_state(Leg& leg, CallRef ref, LegState to, CircuitEvent event, Instant now) {
    leg.state = to;
    leg.since = now;
    for (const CircuitNumber n : leg.circuits)
        if (circuits_.at(n).call == ref) circuits_.apply(n, event, ref);
}

void Group::remove(Legs::iterator entry, Effects& out) {
    for (const CircuitNumber n : entry->second.circuits)
        if (circuits_.at(n).call == entry->first) circuits_.apply(n, CircuitEvent::clear, kNoCall);
    if (entry->second.state == LegState::standing)
        out.push_back(RemoveCall{{entry->first, entry->second.circuits}});
    legs_.erase(entry);
}

void Group::report_end(Legs::iterator entry, Reason reason, Effects& out) {
    const Leg& leg = entry->second;
    if (awaits_far_end(leg.state)) return;  // its end was reported before
    out.push_back(Ended{entry->first, leg.call, leg.outgoing, leg.state == LegState::standing, reason});
}

// ---- At the start ----------------------------------------------------------------------------------

bool Group::restore(const Claim& claim, const CallId& call, bool outgoing, Instant now) {
    const bool can_restore = all_exist(claim.circuits) &&
                             std::all_of(claim.circuits.begin(), claim.circuits.end(),
                                         [this](CircuitNumber n) { return circuits_.at(n).is_idle(); });
    if (!can_restore || legs_.count(claim.call)) return false;
    Leg& leg = legs_[claim.call];
    leg = {outgoing, LegState::standing, claim.circuits, call, now};
    for (const CircuitNumber n : claim.circuits) {
        circuits_.apply(n, CircuitEvent::accept_incoming, claim.call);
        circuits_.apply(n, CircuitEvent::answer, claim.call);
    }
    holds_calls_ = true;
    down_since_ = now;
    return true;
}

void Group::restore(CircuitNumber circuit, Blocking blocking) {
    if (circuits_.exists(circuit)) circuits_.block_here(circuit, blocking);
}

// ---- Calls -----------------------------------------------------------------------------------------

CallRef Group::set_up(Instant now, CallData data, int width, Effects& out) {
    if (!in_service()) return kNoCall;
    CircuitList chosen = hunt(circuits_, rules_.point_codes, width, rules_.hunting, avoid_);
    if (chosen.empty()) {
        ++counts_.no_circuit;
        return kNoCall;
    }
    avoid_.clear();
    ++counts_.seizures;
    const CallRef ref = ++next_ref_;
    legs_[ref] = {true, LegState::seizing, chosen, data.call, now};
    for (const CircuitNumber n : chosen) circuits_.apply(n, CircuitEvent::seize, ref);
    out.push_back(Send{Seize{ref, std::move(chosen), std::move(data)}});
    return ref;
}

bool Group::answer(Instant now, CallRef ref, std::string description, Effects& out) {
    const auto found = legs_.find(ref);
    if (found == legs_.end() || found->second.state != LegState::incoming) return false;
    ++counts_.answered;
    change_state(found->second, ref, LegState::standing, CircuitEvent::answer, now);
    out.push_back(StoreCall{{ref, found->second.circuits}, found->second.call, false});
    out.push_back(Send{Answer{ref, std::move(description)}});
    return true;
}

void Group::release(Instant now, CallRef ref, Reason reason, Effects& out) {
    const auto found = legs_.find(ref);
    if (found == legs_.end() || awaits_far_end(found->second.state)) return;
    ++counts_.released;
    // An unanswered set-up of the far end is rejected in one message, without waiting for a confirmation. The
    // message frees the circuits at the far end, and any later seizure by this end follows it on the link.
    if (found->second.state == LegState::incoming) {
        remove(found, out);
        out.push_back(Send{Reject{ref, reason}});
        return;
    }
    start_release(now, found, reason, out);
}

// Releases a call. Its circuits stay out of use until the far end confirms (Q.764, 2.3.1).
void Group::start_release(Instant now, Legs::iterator entry, Reason reason, Effects& out) {
    if (entry->second.state == LegState::standing)
        out.push_back(RemoveCall{{entry->first, entry->second.circuits}});
    change_state(entry->second, entry->first, LegState::releasing, CircuitEvent::release, now);
    out.push_back(Send{Release{entry->first, reason}});
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
    // The time limits of messages that the far end has to confirm start again.
    for (auto& [ref, leg] : legs_)
        if (awaits_far_end(leg.state)) leg.since = now;
    for (auto& [id, reset] : pending_resets_) reset.sent_at = now;
    if (resumed) return;

    // Only standing calls are claimed. The far end may no longer know of any others.
    synced_ = false;
    last_far_ref_ = kNoCall;
    last_far_reset_id_ = 0;
    audit_.clear();
    pending_resets_.clear();
    for (auto next = legs_.begin(); next != legs_.end();) {
        const auto leg = next++;
        if (leg->second.state == LegState::standing) continue;
        report_end(leg, Reason::link_lost, out);
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
    holds_calls_ = true;
    // No set-up may wait for an answer while the link is down. If the far end has answered, its call is
    // released on the next connection.
    std::vector<CallRef> unanswered;
    for (const auto& [ref, leg] : legs_)
        if (is_unanswered(leg.state)) unanswered.push_back(ref);
    for (const CallRef ref : unanswered) {
        const auto found = legs_.find(ref);
        report_end(found, Reason::link_lost, out);
        start_release(now, found, Reason::link_lost, out);
    }
}

const char* Group::receive(Instant now, const Message& message, Effects& out) {
    if (!synced_ && !std::holds_alternative<Claims>(message)) return "a message before the claims";
    return std::visit([&](const auto& m) { return handle(now, m, out); }, message);
}

const char* Group::handle(Instant now, const Claims& m, Effects& out) {
    if (synced_) return "claims on a link that has not restarted";
    if (const char* error = find_error(m, circuits_.size())) return error;
    const Reconciliation result = reconcile(claims(), m.calls);
    counts_.recovered += result.kept.size();
    counts_.not_recovered += result.only_ours.size();
    for (const CallRef ref : result.only_ours) {
        const auto found = legs_.find(ref);
        report_end(found, Reason::cut, out);
        remove(found, out);
    }
    for (CircuitNumber n = 1; n <= circuits_.size(); ++n)
        if (circuits_.at(n).state == CircuitState::unsure) circuits_.apply(n, CircuitEvent::clear, kNoCall);
    for (const auto& [n, blocking] : m.blocked) circuits_.block_there(n, blocking);
    synced_ = true;
    holds_calls_ = false;
    (void)now;
    return nullptr;
}

// ---- Seizures --------------------------------------------------------------------------------------

// Settles the glares between the far end's seizure and this end's seizures that crossed it. Seizures of this
// end that lose are reported as ended at once: the far hub is never offered their calls, which may be routed
// again. False if a seizure of this end wins.
bool Group::resolve_glare(Instant now, const Seize& m, Effects& out) {
    std::set<CallRef> crossed;
    for (const CircuitNumber n : m.circuits)
        if (const Circuit& c = circuits_.at(n); c.state == CircuitState::seizing) crossed.insert(c.call);
    bool far_end_wins = true;
    // A seizure of this end that has already yielded to another one is compared all the same. The far end
    // compares this pair too. Where this end's seizure wins, the far end treats its own as lost, so it must
    // not be accepted here.
    std::erase_if(yielding_, [&](CallRef ref) {
        const Leg* yielded = leg(ref);
        if (!yielded || yielded->state != LegState::yielding) return true;
        if (lowest_contested_circuit(yielded->circuits, m.circuits) &&
            rules_.glare_rule(rules_.point_codes, yielded->circuits, m.circuits))
            far_end_wins = false;
        return false;
    });
    for (const CallRef ref : crossed) {
        ++counts_.glares;
        const auto found = legs_.find(ref);
        if (rules_.glare_rule(rules_.point_codes, found->second.circuits, m.circuits)) {
            far_end_wins = false;
            continue;
        }
        ++counts_.glares_lost;
        avoid_ = m.circuits;
        report_end(found, Reason::glare, out);
        change_state(found->second, ref, LegState::yielding, CircuitEvent::yield, now);
        yielding_.insert(ref);
    }
    return far_end_wins;
}

const char* Group::handle(Instant now, const Seize& m, Effects& out) {
    if (is_ours(m.call)) return "a seizure with a reference of the receiving end";
    if (!all_exist(m.circuits)) return "a seizure of a circuit that does not exist";
    // A repeated message. Without this check an ended call would exist again, at this end alone.
    if (m.call <= last_far_ref_) return nullptr;
    last_far_ref_ = m.call;
    Reason reason = Reason::normal;
    // Each crossing pair is compared by itself, also if this seizure fails for another reason: the far end
    // compares the same pair when it receives this end's seizure.
    if (!resolve_glare(now, m, out)) reason = Reason::glare;
    for (const CircuitNumber n : m.circuits) {
        const Circuit& c = circuits_.at(n);
        CircuitState next{};
        if (reason == Reason::normal && c.blocked_here != Blocking::none) reason = Reason::unusable;
        // The circuit has a call of this end, or a release or reset that the far end has not confirmed.
        if (reason != Reason::glare && !next_state(c.state, CircuitEvent::accept_incoming, next))
            reason = Reason::not_idle;
        const bool is_held = c.state == CircuitState::proceeding || c.state == CircuitState::incoming ||
                             c.state == CircuitState::standing;
        if (!is_held) continue;
        ++counts_.contradictions;  // the far end believes that it is idle
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

const char* Group::handle(Instant now, const Accept& m, Effects& out) {
    if (!is_ours(m.call)) return "an acceptance of the sender's own seizure";
    const auto found = legs_.find(m.call);
    if (found == legs_.end() || found->second.state == LegState::yielding) {
        // This end no longer has the call, so the far end must not hold circuits for it.
        ++counts_.contradictions;
        if (found != legs_.end()) found->second.state = LegState::releasing, found->second.since = now;
        out.push_back(Send{Release{m.call, Reason::normal}});
        return nullptr;
    }
    if (found->second.state == LegState::seizing)
        change_state(found->second, m.call, LegState::proceeding, CircuitEvent::accept, now);
    return nullptr;
}

const char* Group::handle(Instant now, const Reject& m, Effects& out) {
    if (!is_ours(m.call)) return "a rejection of the sender's own seizure";
    const auto found = legs_.find(m.call);
    if (found == legs_.end()) return nullptr;
    if (m.reason == Reason::not_idle || m.reason == Reason::unusable) {
        avoid_ = found->second.circuits;
        audit_.start_now(now);
    }
    report_end(found, found->second.state == LegState::standing ? Reason::cut : m.reason, out);
    remove(found, out);
    return nullptr;
}

const char* Group::handle(Instant now, const Answer& m, Effects& out) {
    if (!is_ours(m.call)) return "an answer to the sender's own seizure";
    const auto found = legs_.find(m.call);
    if (found == legs_.end()) {
        ++counts_.contradictions;
        out.push_back(Send{Release{m.call, Reason::normal}});
        return nullptr;
    }
    if (found->second.state == LegState::seizing) return "an answer before the acceptance";
    if (found->second.state != LegState::proceeding) return nullptr;  // it crossed a release, or is a repeat
    ++counts_.answered;
    change_state(found->second, m.call, LegState::standing, CircuitEvent::answer, now);
    out.push_back(StoreCall{{m.call, found->second.circuits}, found->second.call, true});
    out.push_back(Answered{m.call, found->second.call, m.description});
    return nullptr;
}

// ---- Release and reset -----------------------------------------------------------------------------

const char* Group::handle(Instant, const Release& m, Effects& out) {
    if (const auto found = legs_.find(m.call); found != legs_.end()) {
        report_end(found, m.reason, out);
        remove(found, out);
    }
    out.push_back(Send{ReleaseComplete{m.call}});
    return nullptr;
}

const char* Group::handle(Instant, const ReleaseComplete& m, Effects& out) {
    const auto found = legs_.find(m.call);
    if (found != legs_.end() && found->second.state == LegState::releasing) remove(found, out);
    return nullptr;
}

// Ends all calls on these circuits. If such a call has other circuits as well, the far end may still hold
// those: the call is released, and they stay out of use until the far end confirms.
void Group::end_calls_on(Instant now, const CircuitList& circuits, Reason reason, Effects& out) {
    std::set<CallRef> calls;
    for (const CircuitNumber n : circuits)
        if (const CallRef ref = circuits_.at(n).call; ref != kNoCall) calls.insert(ref);
    for (const CallRef ref : calls) {
        const auto found = legs_.find(ref);
        if (found == legs_.end()) continue;
        const CircuitList& own = found->second.circuits;
        const bool covers_all = std::includes(circuits.begin(), circuits.end(), own.begin(), own.end());
        report_end(found, reason, out);
        if (!covers_all && !awaits_far_end(found->second.state))
            start_release(now, found, reason, out);
        else if (covers_all)
            remove(found, out);
    }
}

const char* Group::handle(Instant now, const Reset& m, Effects& out) {
    if (!all_exist(m.circuits)) return "a reset of a circuit that does not exist";
    out.push_back(Send{ResetDone{m.id, m.circuits}});
    if (m.id <= last_far_reset_id_) return nullptr;  // a repeat; the calls on the circuits now are newer
    last_far_reset_id_ = m.id;
    ++counts_.resets;
    end_calls_on(now, m.circuits, Reason::reset, out);
    for (const CircuitNumber n : m.circuits) circuits_.apply(n, CircuitEvent::clear, kNoCall);
    return nullptr;
}

const char* Group::handle(Instant, const ResetDone& m, Effects&) {
    const auto pending = pending_resets_.find(m.id);
    if (pending == pending_resets_.end() || pending->second.circuits != m.circuits)
        return nullptr;  // a repeat
    pending_resets_.erase(pending);
    // A reset of the far end that crossed this one has already made them idle; they may be in use again.
    for (const CircuitNumber n : m.circuits)
        if (circuits_.at(n).state == CircuitState::resetting)
            circuits_.apply(n, CircuitEvent::clear, kNoCall);
    return nullptr;
}

void Group::send_reset(Instant now, CircuitList circuits, Effects& out) {
    for (const CircuitNumber n : circuits) circuits_.apply(n, CircuitEvent::reset, kNoCall);
    const std::uint32_t id = ++last_reset_id_;
    out.push_back(Send{Reset{id, circuits}});
    pending_resets_[id] = {std::move(circuits), now};
}

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
    end_calls_on(now, list, reason, out);
    send_reset(now, std::move(list), out);
}

// ---- Maintenance -----------------------------------------------------------------------------------

void Group::block(Instant now, const CircuitList& circuits, Blocking blocking, Effects& out) {
    CircuitList known;
    std::set<CallRef> to_cut;
    for (const CircuitNumber n : circuits) {
        if (!circuits_.exists(n)) continue;
        known.push_back(n);
        circuits_.block_here(n, blocking);
        out.push_back(StoreBlocking{n, blocking});
        if (blocking == Blocking::hard && circuits_.at(n).call != kNoCall)
            to_cut.insert(circuits_.at(n).call);
    }
    if (known.empty()) return;
    out.push_back(Send{Block{false, blocking, known}});  // if the link restarts, the claims report it
    for (const CallRef ref : to_cut) {
        const auto found = legs_.find(ref);
        if (found == legs_.end() || awaits_far_end(found->second.state)) continue;
        report_end(found, Reason::cut, out);
        start_release(now, found, Reason::cut, out);
    }
}

const char* Group::handle(Instant, const Block& m, Effects& out) {
    if (!all_exist(m.circuits)) return "blocking of a circuit that does not exist";
    if (m.is_acknowledgement) return nullptr;
    for (const CircuitNumber n : m.circuits) circuits_.block_there(n, m.blocking);
    out.push_back(Send{Block{true, m.blocking, m.circuits}});
    return nullptr;
}

const char* Group::handle(Instant, const Query& m, Effects& out) {
    if (!circuits_.exists(m.first) || m.count < 1 || !circuits_.exists(m.first + m.count - 1))
        return "a query about a circuit that does not exist";
    QueryResponse response{m.id, m.first, {}};
    for (CircuitNumber n = m.first; n < m.first + m.count; ++n)
        response.calls.push_back(circuits_.at(n).is_transient() ? kTransient : circuits_.at(n).call);
    out.push_back(Send{std::move(response)});
    return nullptr;
}

const char* Group::handle(Instant now, const QueryResponse& m, Effects& out) {
    const std::vector<CircuitNumber> stuck = audit_.evaluate(m, circuits_);
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

// ---- Timers ----------------------------------------------------------------------------------------

Instant Group::next_timer() const {
    if (!up_) return holds_calls_ && !legs_.empty() ? down_since_ + rules_.link_down_hold : Instant::max();
    if (!synced_) return Instant::max();
    Instant next = audit_.next_timer();
    for (const auto& [ref, leg] : legs_)
        if (awaits_far_end(leg.state)) next = std::min(next, leg.since + rules_.release_guard);
    for (const auto& [id, reset] : pending_resets_)
        next = std::min(next, reset.sent_at + rules_.reset_repeat_interval);
    return next;
}

void Group::run_timers(Instant now, Effects& out) {
    if (!up_) {
        if (!holds_calls_ || now < down_since_ + rules_.link_down_hold) return;
        holds_calls_ = false;
        // Calls must not stand for ever on a link that does not come back. The far end has its own time limit
        // and may still hold these calls, so the link may not be resumed.
        for (auto next = legs_.begin(); next != legs_.end();) {
            const auto leg = next++;
            report_end(leg, Reason::cut, out);
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
    CircuitList timed_out;
    for (auto next = legs_.begin(); next != legs_.end();) {
        const auto leg = next++;
        if (!awaits_far_end(leg->second.state) || now < leg->second.since + rules_.release_guard) continue;
        ++counts_.release_timeouts;
        for (const CircuitNumber n : leg->second.circuits)
            if (circuits_.at(n).call == leg->first) timed_out.push_back(n);
        legs_.erase(leg);
    }
    std::sort(timed_out.begin(), timed_out.end());
    if (!timed_out.empty()) send_reset(now, std::move(timed_out), out);
    std::vector<CircuitList> to_repeat;
    for (auto next = pending_resets_.begin(); next != pending_resets_.end();) {
        const auto reset = next++;
        if (now < reset->second.sent_at + rules_.reset_repeat_interval) continue;
        CircuitList unconfirmed;
        for (const CircuitNumber n : reset->second.circuits)
            if (circuits_.at(n).state == CircuitState::resetting) unconfirmed.push_back(n);
        if (!unconfirmed.empty()) to_repeat.push_back(std::move(unconfirmed));
        pending_resets_.erase(reset);
    }
    for (CircuitList& circuits : to_repeat) send_reset(now, std::move(circuits), out);
    if (auto query = audit_.next_query(now, circuits_)) out.push_back(Send{std::move(*query)});
}

// ---- For tests and experiments ------------------------------------------------------------------------

std::string Group::state_key(Instant now) const {
    std::string text = std::string(up_ ? "u" : "d") + (synced_ ? "s" : "-") + (holds_calls_ ? "h" : "-");
    append(text, static_cast<std::int64_t>(next_ref_));
    append(text, static_cast<std::int64_t>(last_far_ref_));
    append(text, last_far_reset_id_);
    for (CircuitNumber n = 1; n <= circuits_.size(); ++n) {
        const Circuit& c = circuits_.at(n);
        append(text, static_cast<int>(c.state));
        append(text, static_cast<std::int64_t>(c.call));
        append(text, static_cast<int>(c.blocked_here) * 3 + static_cast<int>(c.blocked_there));
    }
    for (const auto& [ref, leg] : legs_) {
        append(text, static_cast<std::int64_t>(ref));
        append(text, static_cast<int>(leg.state));
        if (awaits_far_end(leg.state)) append(text, (leg.since - now).count());
    }
    for (const auto& [id, reset] : pending_resets_)
        append(text, id), append(text, (reset.sent_at - now).count());
    for (const CircuitNumber n : avoid_) append(text, n);
    if (!up_ && holds_calls_) append(text, (down_since_ - now).count());
    if (audit_.next_timer() != Instant::max()) append(text, (audit_.next_timer() - now).count());
    return text;
}

void Group::inject_memory_loss(CallRef ref) {
    Effects ignored;
    if (const auto found = legs_.find(ref); found != legs_.end()) remove(found, ignored);
}

}  // namespace nettlestall::trunk
