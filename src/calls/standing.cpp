// The part of the call table that concerns standing calls: their end, the limit on their number, queries, and
// the hand-over to a successor process.
#include <algorithm>
#include <utility>

#include "calls/gatekeeper.hpp"

namespace nettlestall::calls {
namespace {

constexpr Duration kStartResolution = std::chrono::milliseconds(1);    // of processes, in the list
constexpr Duration kTableFullNoteInterval = std::chrono::seconds(10);  // the shortest time between two notes

}  // namespace

// ---- The end of a standing call ---------------------------------------------------------------------

void Gatekeeper::release_standing(Calls::iterator entry) {
    ++counters_.released;
    switches_.release(entry->second.exchange, entry->first);
    end_standing(entry, Outcome::cancelled, {}, false);
}

void Gatekeeper::end_standing(Calls::iterator entry, Outcome outcome, const LoadReport& load,
                              bool notify_caller) {
    const CallId id = entry->first;
    const Call call = std::move(entry->second);
    calls_.erase(entry);
    remember_id(id, call);
    if (call.link) --call.link->usage.standing_calls;
    ++(outcome == Outcome::reset ? counters_.cut : counters_.ended);
    if (notify_caller)
        release_caller(id, call, outcome == Outcome::reset ? ReleaseReason::cut : ReleaseReason::ended);
    handle_event(AttemptEnded{.call = id,
                              .attempt = call.attempts - 1,
                              .exchange = call.exchange,
                              .outcome = outcome,
                              .final = true,
                              .response_time = clock_() - call.sent_at,
                              .load = load});
}

void Gatekeeper::cut_standing(const ExchangeId& exchange, Instant process_start) {
    const bool all = process_start == Instant::max();
    std::vector<CallId> standing;
    for (const auto& [id, call] : calls_)
        if (call.phase == Phase::standing && call.exchange == exchange &&
            (all || !call.is_age_known || call.sent_at < process_start + kStartResolution))
            standing.push_back(id);
    for (const CallId& id : standing)
        if (const auto entry = calls_.find(id); entry != calls_.end())
            end_standing(entry, Outcome::reset, {}, true);
}

// ---- The limit on the number of calls ---------------------------------------------------------------

std::vector<Gatekeeper::OldCall> Gatekeeper::oldest_calls(std::size_t max_count) const {
    std::vector<OldCall> found;
    for (const auto& [id, call] : calls_)
        if (call.phase == Phase::standing) found.push_back({id, call.exchange, clock_() - call.sent_at});
    const auto end = found.begin() + static_cast<std::ptrdiff_t>(std::min(max_count, found.size()));
    std::partial_sort(found.begin(), end, found.end(), [](const OldCall& a, const OldCall& b) {
        return a.age != b.age ? a.age > b.age : a.call < b.call;
    });
    found.erase(end, found.end());
    return found;
}

// Calls whose end is never reported must not fill the memory. The note for the log names the oldest
// calls, since they are the most likely to be over.
bool Gatekeeper::is_table_full() {
    if (calls_.size() < bounds_.max_calls) return false;
    if (note_handler_ && clock_() >= next_full_note_) {
        next_full_note_ = clock_() + kTableFullNoteInterval;
        std::string text = "the table is full with " + std::to_string(calls_.size()) + " calls; the oldest:";
        for (const OldCall& old_call : oldest_calls(3))
            text += " " + old_call.call + " at " + old_call.exchange + " for " +
                    std::to_string(std::chrono::duration_cast<std::chrono::seconds>(old_call.age).count()) +
                    " s;";
        note_handler_(text);
    }
    return true;
}

// ---- Queries ----------------------------------------------------------------------------------------

const ExchangeId* Gatekeeper::exchange_of(const CallId& call) const {
    const auto entry = calls_.find(call);
    static const ExchangeId kNone;
    if (entry == calls_.end()) return nullptr;
    return entry->second.phase == Phase::waiting ? &kNone : &entry->second.exchange;
}

std::string_view Gatekeeper::origin_of(const CallId& call) const {
    const auto entry = calls_.find(call);
    return entry == calls_.end() ? std::string_view{} : std::string_view(entry->second.origin);
}

std::vector<CallId> Gatekeeper::calls_at(const ExchangeId& exchange) const {
    std::vector<CallId> found;
    for (const auto& [id, call] : calls_)
        if (call.phase != Phase::waiting && call.exchange == exchange) found.push_back(id);
    return found;
}

std::vector<CallId> Gatekeeper::calls_from(const CallerLink& link) const {
    std::vector<CallId> found;
    for (const auto& [id, call] : calls_)
        if (call.link == &link) found.push_back(id);
    return found;
}

// ---- The successor process --------------------------------------------------------------------------

void Gatekeeper::hand_over_to(Successor* successor) {
    successor_ = successor;
    handed_over_.clear();
    const Instant now = clock_();
    for (const auto& [id, call] : calls_)
        if (successor_ && call.phase != Phase::standing) announce_set_up(id, call.answer_deadline - now);
    for (const auto& [id, until] : taken_ids_.all())
        if (successor_) announce_set_up(id, until - now);
    std::vector<CallId> standing;
    for (const auto& [id, call] : calls_)
        if (call.phase == Phase::standing) standing.push_back(id);
    for (const CallId& id : standing)
        if (const auto entry = calls_.find(id); successor_ && entry != calls_.end()) hand_over(entry);
    if (!successor_) return;
    for (const CallerRelease& release : held_releases_.take_all()) pass_to_successor(release);
}

// From now on the successor owns the call: once this process has ended, it could not pass on the call's
// release. For the decision module of this process the call is over.
void Gatekeeper::hand_over(Calls::iterator entry) {
    const CallId id = entry->first;
    const Call call = std::move(entry->second);
    calls_.erase(entry);
    if (call.link) --call.link->usage.standing_calls;
    successor_->hand_over_call(call.exchange, id, {call.origin, call.port}, clock_() - call.sent_at);
    handed_over_.insert(id);
    handle_event(
        AttemptEnded{.call = id, .attempt = call.attempts - 1, .exchange = call.exchange, .final = true});
}

void Gatekeeper::accept_standing(const ExchangeId& exchange, const CallId& id, const CallerAddress& caller,
                                 CallerLink* link, std::optional<Duration> age) {
    // Meanwhile this process is itself being replaced.
    if (successor_) {
        handed_over_.insert(id);
        return successor_->hand_over_call(exchange, id, caller, age.value_or(Duration::zero()));
    }
    const auto [entry, is_new] = calls_.try_emplace(id);
    if (!is_new) return adopt_link(entry, link);
    ++counters_.calls_taken_over;
    Call& call = entry->second;
    call.phase = Phase::standing;
    call.exchange = exchange;
    call.taken_over = true;
    call.origin = caller.origin;
    call.port = caller.port;
    call.link = link;
    if (!link && predecessor_ && caller.port != kNoPort)
        calls_to_adopt_[{caller.origin, caller.port}].push_back(id);
    if (link) ++link->usage.standing_calls;
    call.sent_at = clock_() - age.value_or(Duration::zero());
    call.is_age_known = age.has_value();
    call.attempts = 1;
    // The exchange is not in the list of this process: its machine has gone, and the call was cut with it.
    if (!exchanges_.count(exchange)) return end_standing(entry, Outcome::reset, {}, true);
    const auto early = early_ends_.find(id);
    if (early == early_ends_.end()) return;
    const ExchangeId ended_at = early->second;
    early_ends_.erase(early);
    if (ended_at.empty()) return release_standing(entry);
    if (ended_at == exchange) end_standing(entry, Outcome::ended, {}, true);
}

// The ledger has a call in transit once for each group that it uses, and either may come first. Only the
// group that the call came on has a link for its release.
void Gatekeeper::adopt_link(Calls::iterator entry, CallerLink* link) {
    Call& call = entry->second;
    if (!link || call.link || call.phase != Phase::standing) return;
    call.link = link;
    ++link->usage.standing_calls;
}

void Gatekeeper::accept_release(const CallId& id) {
    const auto entry = calls_.find(id);
    if (entry != calls_.end() && entry->second.phase == Phase::standing) return release_standing(entry);
    if (entry == calls_.end() && successor_) successor_->hand_over_release(id);
}

}  // namespace nettlestall::calls
