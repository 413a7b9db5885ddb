// The part of the call table that concerns carrier switches and the list of exchanges.
#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "calls/gatekeeper.hpp"

namespace nettlestall::calls {

// ---- Carrier switches -------------------------------------------------------------------------------

bool Gatekeeper::is_at(Calls::iterator entry, const ExchangeId& exchange) const {
    return entry != calls_.end() && entry->second.phase != Phase::waiting &&
           entry->second.exchange == exchange;
}

void Gatekeeper::on_answer(const ExchangeId& exchange, const CallId& id, std::string_view description) {
    const auto entry = calls_.find(id);
    if (!is_at(entry, exchange)) {
        if (entry == calls_.end() && handed_over_.count(id)) return;  // reported twice; the successor has it
        // The answer has crossed a cancellation: the call may be connected there, but has no caller here.
        ++counters_.crossed;
        return switches_.release(exchange, id);
    }
    Call& call = entry->second;
    if (call.phase == Phase::standing) return;  // reported twice
    call.phase = Phase::standing;
    close_set_up(call);
    call_log_.answered(id, call.attempts, exchange);
    ++counters_.stood;
    if (call.link) ++call.link->usage.standing_calls;
    const bool is_answered =
        !call.link || call.link->answer(id, std::make_shared<const std::string>(description));
    counters_.answered += is_answered;
    if (call.link && is_answered) count_reply(call.service_class, &Replies::served);
    handle_event(CallAnswered{id, call.attempts - 1, exchange, clock_() - call.sent_at});
    if (!is_answered) return fail_unsendable_answer(entry);
    if (successor_) hand_over(entry);
}

// The caller gets a short failure in place of the answer, and the call must not stand at the exchange.
void Gatekeeper::fail_unsendable_answer(Calls::iterator entry) {
    const CallId id = entry->first;
    CallerLink* const link = entry->second.link;
    const std::string service_class = entry->second.service_class;
    ++counters_.answers_without_room;
    ++counters_.failed;
    call_log_.closed(id, entry->second.attempts, "failed, no room for its answer");
    switches_.release(entry->second.exchange, id);
    end_standing(entry, Outcome::cancelled, {}, false);
    refuse_or_fail(link, id, service_class, ReleaseReason::failed);
}

void Gatekeeper::on_call_ended(const ExchangeId& exchange, const CallId& id, Outcome outcome, Cause cause,
                               const LoadReport& load) {
    const auto entry = calls_.find(id);
    if (!is_at(entry, exchange)) {
        ++counters_.ends_ignored;
        if (entry != calls_.end()) call_log_.end_ignored(id, exchange, outcome);
        if (entry == calls_.end() && successor_) successor_->hand_over_end(exchange, id, outcome);
        // Any other end may be that of an earlier attempt of the call.
        if (entry == calls_.end() && outcome == Outcome::ended) remember_early_end(id, exchange);
        // Too late for the call, but the report on the circuits is of use.
        return on_group_state(exchange, load);
    }
    if (entry->second.phase == Phase::standing)
        return end_standing(entry, outcome == Outcome::ended ? Outcome::ended : Outcome::reset, load, true);
    // A call that was never answered here has ended in the normal way: its answer was lost. The end must not
    // count as the exchange's answer, or the length of the call would count as the time to answer.
    end_attempt(entry, outcome == Outcome::ended ? Outcome::reset : outcome, cause, load);
}

// The earlier attempts of a call that was taken over are not known. Few calls have any, so a normal end
// counts as the call's own.
bool Gatekeeper::is_ambiguous(const Call& call, Outcome outcome) {
    return call.has_earlier_attempt_there || (call.taken_over && outcome != Outcome::ended);
}

// Where the end may be that of an earlier attempt, the last one may still be out, or stand, at the exchange.
// It is withdrawn there before anything else is done with the call, so that no second one is out beside it
// and no call stands that is over here.
void Gatekeeper::on_unattributed_end(const ExchangeId& exchange, const CallId& id, Outcome outcome,
                                     Cause cause, const LoadReport& load) {
    const auto entry = calls_.find(id);
    if (!is_at(entry, exchange) || !is_ambiguous(entry->second, outcome))
        return on_call_ended(exchange, id, outcome, cause, load);
    if (entry->second.phase == Phase::standing) {
        switches_.release(exchange, id);
        return on_call_ended(exchange, id, outcome, cause, load);
    }
    ++counters_.withdrawn;
    call_log_.withdrawn(id, entry->second.attempts, exchange);
    switches_.cancel(exchange, id);
    end_attempt(entry, outcome == Outcome::ended ? Outcome::reset : outcome, cause, load, true);
}

void Gatekeeper::end_attempt(Calls::iterator entry, Outcome outcome, Cause cause, const LoadReport& load,
                             bool withdrawn) {
    Call& call = entry->second;
    call.phase = Phase::waiting;
    call.may_have_run =
        call.may_have_run || withdrawn ||
        (outcome != Outcome::rejected && outcome != Outcome::not_sent && outcome != Outcome::unreachable);
    cancel_timer(call.attempt_timer);
    const Instant now = clock_();
    if (withdrawn || outcome == Outcome::timed_out || outcome == Outcome::reset ||
        outcome == Outcome::cancelled)
        call.not_before = now + settings_.release_wait;
    counters_.turned_back += outcome == Outcome::rejected;
    counters_.errors += outcome == Outcome::failed;
    counters_.reset += outcome == Outcome::reset;
    counters_.unreachable += outcome == Outcome::unreachable;
    counters_.moot += outcome == Outcome::not_sent;
    call_log_.attempt_ended(entry->first, call.attempts, call.exchange, outcome, now - call.sent_at);
    handle_event(AttemptEnded{.call = entry->first,
                              .attempt = call.attempts - 1,
                              .exchange = call.exchange,
                              .outcome = outcome,
                              .cause = cause,
                              .final = false,
                              .withdrawn = withdrawn,
                              .response_time = now - call.sent_at,
                              .load = load});
}

void Gatekeeper::on_group_state(const ExchangeId& exchange, const LoadReport& load) {
    if (load.free_circuits < 0 || load.group_size < 0) return;  // not reported
    ++counters_.group_states;
    if (const auto entry = exchanges_.find(exchange); entry != exchanges_.end())
        entry->second.group_known = true;
    handle_event(ExchangeReport{.exchange = exchange, .load = load});
}

void Gatekeeper::on_process_failed(const ExchangeId& exchange) {
    cut_standing(exchange);
}

bool Gatekeeper::has_standing_calls(const ExchangeId& exchange) const {
    return std::any_of(calls_.begin(), calls_.end(), [&exchange](const auto& entry) {
        return entry.second.phase == Phase::standing && entry.second.exchange == exchange;
    });
}

// ---- The list of exchanges --------------------------------------------------------------------------

void Gatekeeper::apply_list(const ListEvent& event) {
    ++counters_.list_events;
    ExchangeList list{.kind = event.kind, .version = event.version, .entries = {}};
    std::set<ExchangeId> gone;
    std::map<ExchangeId, Instant> restarted;  // with the start of the new process
    if (event.kind != ListKind::changes)
        // A whole list: exchanges that are not in it have gone. The others get their state below.
        for (auto& [id, exchange] : exchanges_) exchange.state = ExchangeState::gone;
    for (const ListedExchange& listed : event.entries) {
        const ExchangeEntry& entry = listed.entry;
        list.entries.push_back(entry);
        const auto [known, is_new] = exchanges_.try_emplace(entry.exchange);
        Exchange& exchange = known->second;
        // The same machine has another start time: its process has died, and its calls with it. The news may
        // be late, and calls may stand at the new process already.
        if (!is_new && exchange.started != entry.started) restarted[entry.exchange] = entry.started;
        exchange.state = entry.state;
        exchange.started = entry.started;
        exchange.number = entry.number;
    }
    for (const auto& [id, exchange] : exchanges_)
        if (exchange.state == ExchangeState::gone) gone.insert(id);
    handle_event(std::move(list));
    for (const auto& [id, process_start] : restarted) cut_standing(id, process_start);
    for (const ExchangeId& id : gone) cut_standing(id);
    std::erase_if(exchanges_, [](const auto& known) { return known.second.state == ExchangeState::gone; });
}

}  // namespace nettlestall::calls
