// The part of the call table that finds the connection on which a caller gets the release of a standing call:
// the connection that the call came on, here or in the predecessor process, else another one of the same
// caller. A release is never sent to another caller.
#include <algorithm>
#include <tuple>
#include <utility>

#include "calls/gatekeeper.hpp"

namespace nettlestall::calls {
namespace {

// A caller without a connection on which it has placed a call may be about to set up one; what other
// connections it has may be health checks, where nobody reads releases. After this time it is sent a release
// on one of those that have not shown what they are for. It must have the release after a second.
constexpr Duration kMaxHoldTime = std::chrono::milliseconds(300);
constexpr std::size_t kMaxEarlyEnds = 4096;  // further ones are not remembered

}  // namespace

void Gatekeeper::release_caller(const CallId& id, const Call& call, ReleaseReason reason) {
    CallerRelease release{.call = id, .caller = {call.origin, call.port}, .reason = reason};
    if (call.link) return send_release(*call.link, std::move(release));
    if (CallerLink* const link = find_connection(release.caller))
        return send_release(*link, std::move(release));
    if (!predecessor_) return send_or_hold(std::move(release));
    ++counters_.releases_relayed;
    predecessor_->relay_release(id, release.caller, reason);
    relayed_releases_[id] = std::move(release);
}

void Gatekeeper::send_release(CallerLink& link, CallerRelease release) {
    link.release(release.call, release.reason);
    const CallId call = release.call;
    unconfirmed_releases_.add(&link, call, std::move(release), clock_());
}

void Gatekeeper::on_release_confirmed(CallerLink&, const CallId& call) {
    unconfirmed_releases_.confirm(call);
}

void Gatekeeper::send_or_hold(CallerRelease release) {
    if (CallerLink* const link = find_calling_connection(release.caller.origin)) {
        ++counters_.releases_elsewhere;
        return send_release(*link, std::move(release));
    }
    ++counters_.releases_held;
    call_log_.line("release waits for a connection of its caller at " + release.caller.origin, release.call);
    schedule(clock_() + kMaxHoldTime, HeldReleaseTimeout{release.caller.origin});
    held_releases_.hold(std::move(release), clock_());
}

CallerLink* Gatekeeper::find_connection(const CallerAddress& caller) const {
    const auto found = std::find_if(caller_links_.rbegin(), caller_links_.rend(), [&](const auto* link) {
        return caller.port != kNoPort && link->port() == caller.port && link->origin() == caller.origin;
    });
    return found == caller_links_.rend() ? nullptr : *found;
}

CallerLink* Gatekeeper::find_calling_connection(std::string_view origin) const {
    const auto found = std::find_if(caller_links_.rbegin(), caller_links_.rend(), [&](const auto* link) {
        return link->usage.has_placed_call && link->origin() == origin;
    });
    return found == caller_links_.rend() ? nullptr : *found;
}

CallerLink* Gatekeeper::find_unused_connection(std::string_view origin) const {
    const auto found = std::find_if(caller_links_.rbegin(), caller_links_.rend(), [&](const auto* link) {
        return !link->usage.has_sent_health_check && link->origin() == origin;
    });
    return found == caller_links_.rend() ? nullptr : *found;
}

void Gatekeeper::send_held_releases(CallerLink& link) {
    for (CallerRelease& release : held_releases_.take(link.origin())) send_release(link, std::move(release));
}

void Gatekeeper::on_timer(const HeldReleaseTimeout& timer) {
    if (!held_releases_.has(timer.origin)) return;
    CallerLink* link = find_calling_connection(timer.origin);
    if (!link) link = find_unused_connection(timer.origin);
    if (link) send_held_releases(*link);
}

void Gatekeeper::on_caller_connected(CallerLink& link) {
    caller_links_.push_back(&link);
    if (predecessor_) adopt_calls(link);
    if (!held_releases_.has(link.origin())) return;
    if (link.usage.has_placed_call) return send_held_releases(link);
    schedule(clock_() + kMaxHoldTime, HeldReleaseTimeout{std::string(link.origin())});
}

void Gatekeeper::note_calling(CallerLink& link) {
    if (std::exchange(link.usage.has_placed_call, true)) return;
    if (held_releases_.has(link.origin())) send_held_releases(link);
}

// The connection was passed on, and its standing calls came before it.
void Gatekeeper::adopt_calls(CallerLink& link) {
    const auto found = calls_to_adopt_.find({std::string(link.origin()), link.port()});
    if (found == calls_to_adopt_.end()) return;
    for (const CallId& id : found->second) {
        const auto entry = calls_.find(id);
        if (entry == calls_.end() || entry->second.link || entry->second.phase != Phase::standing) continue;
        entry->second.link = &link;
        ++link.usage.standing_calls;
    }
    calls_to_adopt_.erase(found);
}

// ---- Both processes of an upgrade ---------------------------------------------------------------------

void Gatekeeper::use_predecessor(Predecessor* predecessor) {
    predecessor_ = predecessor;
    if (predecessor_) return;
    early_ends_.clear();
    calls_to_adopt_.clear();
    // It may have sent some of these before it ended. A second release of a call does no harm, a missing one
    // leaves the call standing.
    for (auto& [id, release] : std::exchange(relayed_releases_, {})) send_or_hold(std::move(release));
}

// Its answer has reached the caller, or its end has come on a connection to this process, before the
// predecessor's message about it did.
void Gatekeeper::remember_early_end(const CallId& call, const ExchangeId& exchange) {
    if (predecessor_ && early_ends_.size() < kMaxEarlyEnds) early_ends_.try_emplace(call, exchange);
}

void Gatekeeper::on_release_relayed(const CallId& call, bool is_delivered) {
    const auto found = relayed_releases_.find(call);
    if (found == relayed_releases_.end()) return;
    CallerRelease release = std::move(found->second);
    relayed_releases_.erase(found);
    if (is_delivered) return;
    // Its connection may have been passed on meanwhile.
    if (CallerLink* const link = find_connection(release.caller))
        return send_release(*link, std::move(release));
    send_or_hold(std::move(release));
}

bool Gatekeeper::deliver_release(const CallId& call, const CallerAddress& caller, ReleaseReason reason) {
    CallerLink* link = find_connection(caller);
    if (!link) link = find_calling_connection(caller.origin);
    if (link) send_release(*link, {.call = call, .caller = caller, .reason = reason});
    return link != nullptr;
}

// The caller connects to the successor from now on. The call is handed over as standing and then ended, and
// the successor releases it like any other; a call at an exchange that it does not know is cut there.
void Gatekeeper::pass_to_successor(const CallerRelease& release) {
    const bool has_ended = release.reason == ReleaseReason::ended && !exchanges_.empty();
    const ExchangeId exchange = has_ended ? exchanges_.begin()->first : ExchangeId();
    successor_->hand_over_call(exchange, release.call, release.caller, Duration::zero());
    if (has_ended) successor_->hand_over_end(exchange, release.call, Outcome::ended);
}

}  // namespace nettlestall::calls
