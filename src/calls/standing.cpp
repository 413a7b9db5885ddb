// The call table: calls that stand, their bound, and who owns them.
#include <algorithm>
#include <utility>

#include "calls/gatekeeper.hpp"

namespace nettlestall::calls {
namespace {

constexpr Duration kBoundNotes = std::chrono::seconds(10);  // between two of them

}  // namespace

// ---- Their end -------------------------------------------------------------------------------------

void Gatekeeper::release_standing(Calls::iterator at) {
    ++counters_.released;
    switches_.release(at->second.at, at->first);
    end_standing(at, Outcome::cancelled, {}, false);
}

void Gatekeeper::end_standing(Calls::iterator at, Outcome outcome, const LoadReport& load, bool tell_caller) {
    const CallId id = at->first;
    const Call call = std::move(at->second);
    calls_.erase(at);
    if (call.link) --call.link->usage.standing_calls;
    ++(outcome == Outcome::reset ? counters_.cut : counters_.ended);
    if (tell_caller)
        release_caller(id, call, outcome == Outcome::reset ? ReleaseReason::cut : ReleaseReason::ended);
    tell(AttemptEnded{.call = id,
                      .attempt = call.attempts - 1,
                      .exchange = call.at,
                      .outcome = outcome,
                      .final = true,
                      .response_time = time_() - call.sent,
                      .load = load});
}

void Gatekeeper::cut_standing(const ExchangeId& exchange) {
    std::vector<CallId> standing;
    for (const auto& [id, call] : calls_)
        if (call.phase == Phase::standing && call.at == exchange) standing.push_back(id);
    for (const CallId& id : standing)
        if (const auto at = calls_.find(id); at != calls_.end()) end_standing(at, Outcome::reset, {}, true);
}

// ---- Their bound -----------------------------------------------------------------------------------

std::vector<Gatekeeper::OldCall> Gatekeeper::oldest_calls(std::size_t most) const {
    std::vector<OldCall> found;
    for (const auto& [id, call] : calls_)
        if (call.phase == Phase::standing) found.push_back({id, call.at, time_() - call.sent});
    const auto end = found.begin() + static_cast<std::ptrdiff_t>(std::min(most, found.size()));
    std::partial_sort(found.begin(), end, found.end(), [](const OldCall& a, const OldCall& b) {
        return a.age != b.age ? a.age > b.age : a.call < b.call;
    });
    found.erase(end, found.end());
    return found;
}

// Guards the memory against calls whose end never comes. Whoever reads the log hears of the oldest, now and
// then: they are the likeliest to be over.
bool Gatekeeper::at_the_bound() {
    if (calls_.size() < bounds_.max_calls) return false;
    if (note_ && time_() >= next_bound_note_) {
        next_bound_note_ = time_() + kBoundNotes;
        std::string text = "the table is full with " + std::to_string(calls_.size()) + " calls; the oldest:";
        for (const OldCall& old : oldest_calls(3))
            text += " " + old.call + " at " + old.exchange + " for " +
                    std::to_string(std::chrono::duration_cast<std::chrono::seconds>(old.age).count()) + " s;";
        note_(text);
    }
    return true;
}

// ---- Looked into -----------------------------------------------------------------------------------

const ExchangeId* Gatekeeper::exchange_of(const CallId& call) const {
    const auto at = calls_.find(call);
    static const ExchangeId kNone;
    if (at == calls_.end()) return nullptr;
    return at->second.phase == Phase::waiting ? &kNone : &at->second.at;
}

std::string_view Gatekeeper::origin_of(const CallId& call) const {
    const auto at = calls_.find(call);
    return at == calls_.end() ? std::string_view{} : std::string_view(at->second.origin);
}

std::vector<CallId> Gatekeeper::calls_at(const ExchangeId& exchange) const {
    std::vector<CallId> found;
    for (const auto& [id, call] : calls_)
        if (call.phase != Phase::waiting && call.at == exchange) found.push_back(id);
    return found;
}

std::vector<CallId> Gatekeeper::calls_from(const CallerLink& link) const {
    std::vector<CallId> found;
    for (const auto& [id, call] : calls_)
        if (call.link == &link) found.push_back(id);
    return found;
}

// ---- Another process -------------------------------------------------------------------------------

void Gatekeeper::hand_over_to(Successor* successor) {
    successor_ = successor;
    std::vector<CallId> standing;
    for (const auto& [id, call] : calls_)
        if (call.phase == Phase::standing) standing.push_back(id);
    for (const CallId& id : standing)
        if (const auto at = calls_.find(id); successor_ && at != calls_.end()) pass_on(at);
}

// Guards against releases that nobody passes on once this process has ended: from now on the other one owns
// the call. The module here sees it as over.
void Gatekeeper::pass_on(Calls::iterator standing) {
    const CallId id = standing->first;
    const Call call = std::move(standing->second);
    calls_.erase(standing);
    if (call.link) --call.link->usage.standing_calls;
    successor_->hand_over_call(call.at, id, call.origin);
    tell(AttemptEnded{.call = id, .attempt = call.attempts - 1, .exchange = call.at, .final = true});
}

void Gatekeeper::accept_standing(const ExchangeId& at, const CallId& id, std::string_view origin,
                                 CallerLink* link) {
    if (successor_) return successor_->hand_over_call(at, id, origin);  // upgraded again meanwhile
    const auto [entry, fresh] = calls_.try_emplace(id);
    if (!fresh) return;
    ++counters_.calls_taken_over;
    Call& call = entry->second;
    call.phase = Phase::standing;
    call.at = at;
    call.origin = origin;
    call.link = link;
    if (link) ++link->usage.standing_calls;
    call.sent = time_();
    call.attempts = 1;
    // The machine has gone, as this process knows already: the call was cut with it.
    if (!exchanges_.count(at)) end_standing(entry, Outcome::reset, {}, true);
}

void Gatekeeper::accept_release(const CallId& id) {
    const auto at = calls_.find(id);
    if (at != calls_.end() && at->second.phase == Phase::standing) return release_standing(at);
    if (at == calls_.end() && successor_) successor_->hand_over_release(id);
}

}  // namespace nettlestall::calls
