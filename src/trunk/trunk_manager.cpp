#include "trunk/trunk_manager.hpp"

#include <algorithm>
#include <utility>

namespace nettlestall::trunk {
namespace {

// Lower limit of the time left that the call table is given for a set-up, whatever the far end sends.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(1);

// The outcome that the call table is given when a call of this hub ends on the group. `direct`: a refusal is
// by the call's destination, not by a tandem.
std::pair<Outcome, Cause> outcome_of(Reason reason, bool was_answered, bool direct) {
    if (was_answered) return {reason == Reason::normal ? Outcome::ended : Outcome::reset, Cause::none};
    switch (reason) {
        case Reason::glare:
        case Reason::not_idle:
        case Reason::unusable:
            return {Outcome::rejected, Cause::no_circuit};  // the far hub was never offered the call
        case Reason::refused:
            return {Outcome::rejected, direct ? Cause::processor_full : Cause::rejected_by_tandem};
        case Reason::normal:
        case Reason::failed:
            return {Outcome::failed, Cause::none};
        case Reason::cut:
        case Reason::link_lost:
        case Reason::reset:
            break;
    }
    return {Outcome::reset, Cause::none};
}

// The reason that the far end is given when the call table releases one of its calls.
Reason to_reason(ReleaseReason reason) {
    switch (reason) {
        case ReleaseReason::refused:
            return Reason::refused;
        case ReleaseReason::failed:
            return Reason::failed;
        case ReleaseReason::ended:
            return Reason::normal;
        case ReleaseReason::cut:
            break;
    }
    return Reason::cut;
}

}  // namespace

// ---- One group ---------------------------------------------------------------------------------------

TrunkManager::Trunk::Trunk(TrunkManager& manager, const GroupSettings& settings)
    : manager_(manager),
      settings_(settings),
      origin_("trunk:" + std::to_string(settings.id)),
      group_(settings.rules, 0),
      session_({settings.rules.point_codes, settings.id, settings.rules.circuits}, 0, *this) {}

CallRef TrunkManager::Trunk::ref_of(const CallId& call) const {
    for (const auto* calls : {&outgoing_, &incoming_})
        if (const auto found = calls->find(call); found != calls->end()) return found->second;
    return kNoCall;
}

void TrunkManager::Trunk::carry_out(Effects effects) {
    for (const Effect& effect : effects) {
        if (const auto* send = std::get_if<Send>(&effect)) {
            session_.send(send->message);
        } else if (const auto* store = std::get_if<StoreCall>(&effect)) {
            if (!manager_.ledger_) continue;
            LedgerCall call{settings_.id, store->claim, store->call, store->outgoing, {}, {}};
            const ExchangeId* exchange = manager_.table_.exchange_of(store->call);
            if (!store->outgoing && exchange) call.exchange = *exchange;
            if (store->outgoing) call.origin = manager_.table_.origin_of(store->call);
            manager_.ledger_->store_call(call);
        } else if (const auto* remove = std::get_if<RemoveCall>(&effect)) {
            if (manager_.ledger_) manager_.ledger_->remove_call(settings_.id, remove->claim);
        } else if (const auto* blocked = std::get_if<StoreBlocking>(&effect)) {
            if (manager_.ledger_)
                manager_.ledger_->store_blocking(settings_.id, blocked->circuit, blocked->blocking);
        } else if (std::holds_alternative<RestartLink>(effect)) {
            session_.begin_new_incarnation();
        }
    }
    for (const Effect& effect : effects) {
        if (const auto* offered = std::get_if<Offered>(&effect)) notify_table(*offered);
        if (const auto* answered = std::get_if<Answered>(&effect)) notify_table(*answered);
        if (const auto* ended = std::get_if<Ended>(&effect)) notify_table(*ended);
        if (const auto* freed = std::get_if<FreedByAudit>(&effect); freed && manager_.freed_)
            manager_.freed_(*this, *freed);
    }
    // The session closes its connection itself if too many bytes are unconfirmed.
    if (group_.in_service() && !session_.is_connected()) {
        Effects down;
        group_.link_down(manager_.now_(), down);
        return carry_out(std::move(down));
    }
    report_state();
    if (session_.has_output() && manager_.output_) manager_.output_(*this);
    if (manager_.schedule_) manager_.schedule_(group_.next_timer());
}

void TrunkManager::Trunk::report_state() {
    const int free = group_.free_circuits();
    if (free == reported_free_ || (reported_free_ < 0 && !group_.in_service())) return;
    reported_free_ = free;
    LoadReport load;
    load.free_circuits = free;
    load.group_size = group_.circuits().size();
    manager_.switches_.on_group_state(settings_.exchange, load);
}

void TrunkManager::Trunk::notify_table(const Offered& effect) {
    if (!group_.leg(effect.ref)) return;
    const CallData& data = effect.data;
    // The far end sets the same call up again, under another reference: its earlier set-up is over there.
    if (const auto earlier = incoming_.find(data.call); earlier != incoming_.end()) {
        const CallRef ref = earlier->second;
        incoming_.erase(earlier);
        manager_.callers_.on_release(*this, data.call);
        Effects effects;
        group_.release(manager_.now_(), ref, Reason::normal, effects);
        carry_out(std::move(effects));
    }
    ++manager_.counts_.offered;
    incoming_[data.call] = effect.ref;
    SetUpRequest request;
    request.call = data.call;
    request.service_class = data.service_class;
    request.number = data.number;
    request.description = data.description;
    request.time_left = std::max(kMinTimeLeft, data.time_limit);
    request.destination = data.destination;
    request.width = effect.width;
    request.via = data.via;
    request.transit = true;
    request.is_reconnect = data.is_reconnect;
    request.redial = data.redial;
    manager_.callers_.on_set_up(*this, request);
}

void TrunkManager::Trunk::notify_table(const Answered& effect) {
    const auto found = outgoing_.find(effect.call);
    if (found == outgoing_.end() || found->second != effect.ref) return;
    manager_.switches_.on_answer(settings_.exchange, effect.call, effect.description);
}

void TrunkManager::Trunk::notify_table(const Ended& effect) {
    auto& calls = effect.outgoing ? outgoing_ : incoming_;
    const auto found = calls.find(effect.call);
    if (found == calls.end() || found->second != effect.ref) return;
    calls.erase(found);
    if (!effect.outgoing) return manager_.callers_.on_release(*this, effect.call);
    if (effect.reason == Reason::glare && manager_.glare_lost_) manager_.glare_lost_(*this, effect.call);
    // Any refusal counts as the far hub's own, since only that hub knows whether it was the call's
    // destination.
    const auto [outcome, cause] = outcome_of(effect.reason, effect.was_answered, true);
    manager_.switches_.on_call_ended(settings_.exchange, effect.call, outcome, cause, {});
}

void TrunkManager::Trunk::set_up(const OutgoingSetUp& request) {
    CallData data{.call = request.call,
                  .service_class = request.service_class,
                  .number = request.number,
                  .description = request.description ? *request.description : std::string(),
                  .destination = request.destination,
                  .via = manager_.own_number_,
                  .time_limit = request.time_limit,
                  .is_reconnect = request.is_reconnect,
                  .redial = request.redial};
    Effects effects;
    const CallRef ref = group_.set_up(manager_.now_(), std::move(data), request.width, effects);
    if (ref == kNoCall)
        return manager_.switches_.on_call_ended(settings_.exchange, request.call, Outcome::rejected,
                                                Cause::no_circuit, {});
    outgoing_[request.call] = ref;
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::release_outgoing(const CallId& call, Reason reason) {
    const auto found = outgoing_.find(call);
    if (found == outgoing_.end()) return;
    const CallRef ref = found->second;
    outgoing_.erase(found);
    Effects effects;
    group_.release(manager_.now_(), ref, reason, effects);
    carry_out(std::move(effects));
}

bool TrunkManager::Trunk::answer(const CallId& call, Description description) {
    const auto found = incoming_.find(call);
    if (found == incoming_.end()) return true;  // the far end has released it: it needs no answer
    Effects effects;
    group_.answer(manager_.now_(), found->second, *description, effects);
    carry_out(std::move(effects));
    return true;
}

void TrunkManager::Trunk::release(const CallId& call, ReleaseReason reason) {
    const auto found = incoming_.find(call);
    if (found == incoming_.end()) return;
    const CallRef ref = found->second;
    incoming_.erase(found);
    Effects effects;
    group_.release(manager_.now_(), ref, to_reason(reason), effects);
    carry_out(std::move(effects));
}

// ---- The link of a group ------------------------------------------------------------------------------

void TrunkManager::Trunk::connected() {
    session_.connected();
    if (manager_.output_) manager_.output_(*this);
}

bool TrunkManager::Trunk::receive_bytes(std::string_view bytes) {
    const bool keep_open = session_.receive_bytes(bytes);
    if (session_.has_output() && manager_.output_) manager_.output_(*this);
    return keep_open && session_.is_connected();
}

void TrunkManager::Trunk::disconnected() {
    session_.disconnected();
    Effects effects;
    group_.link_down(manager_.now_(), effects);
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::send_heartbeat() {
    session_.send_heartbeat();
    if (session_.has_output() && manager_.output_) manager_.output_(*this);
}

void TrunkManager::Trunk::link_up(bool resumed) {
    Effects effects;
    group_.link_up(manager_.now_(), resumed, effects);
    carry_out(std::move(effects));
}

const char* TrunkManager::Trunk::received(const Message& message) {
    Effects effects;
    const char* error = group_.receive(manager_.now_(), message, effects);
    carry_out(std::move(effects));
    return error;
}

void TrunkManager::Trunk::run_timers() {
    const Instant now = manager_.now_();
    Effects effects;
    group_.run_timers(now, effects);
    if (!effects.empty()) carry_out(std::move(effects));
    const AuditRules& audit = settings_.rules.audit;
    if (audit.enabled && now - last_reconciled_ >= audit.interval) {
        last_reconciled_ = now;
        reconcile_with_table();
    }
}

// Finds what an audit with the far end cannot: differences between this hub's own call table and group.
void TrunkManager::Trunk::reconcile_with_table() {
    std::vector<std::pair<CallId, CallRef>> only_in_group;
    for (const auto& [ref, leg] : group_.legs()) {
        if (leg.state == LegState::yielding || leg.state == LegState::releasing) continue;
        const auto& calls = leg.outgoing ? outgoing_ : incoming_;
        const auto found = calls.find(leg.call);
        const ExchangeId* exchange = manager_.table_.exchange_of(leg.call);
        const bool is_known = found != calls.end() && found->second == ref && exchange &&
                              (!leg.outgoing || *exchange == settings_.exchange);
        if (!is_known) only_in_group.emplace_back(leg.call, ref);
    }
    for (const auto& [call, ref] : only_in_group) {
        ++manager_.counts_.only_in_group;
        for (auto* calls : {&outgoing_, &incoming_})
            if (const auto found = calls->find(call); found != calls->end() && found->second == ref)
                calls->erase(found);
        Effects effects;
        group_.release(manager_.now_(), ref, Reason::cut, effects);
        carry_out(std::move(effects));
    }
    const auto is_held = [this](const std::map<CallId, CallRef>& calls, const CallId& call) {
        const auto found = calls.find(call);
        return found != calls.end() && group_.leg(found->second);
    };
    for (const CallId& call : manager_.table_.calls_at(settings_.exchange)) {
        if (is_held(outgoing_, call)) continue;
        ++manager_.counts_.only_in_table;
        outgoing_.erase(call);
        manager_.switches_.on_call_ended(settings_.exchange, call, Outcome::reset, Cause::none, {});
    }
    for (const CallId& call : manager_.table_.calls_from(*this)) {
        if (is_held(incoming_, call)) continue;
        ++manager_.counts_.only_in_table;
        incoming_.erase(call);
        manager_.callers_.on_release(*this, call);
    }
}

bool TrunkManager::Trunk::restore(const LedgerCall& call) {
    if (!group_.restore(call.claim, call.call, call.outgoing, manager_.now_())) return false;
    (call.outgoing ? outgoing_ : incoming_)[call.call] = call.claim.call;
    return true;
}

// ---- Operators' commands ------------------------------------------------------------------------------

void TrunkManager::Trunk::block(const CircuitList& circuits, Blocking blocking) {
    Effects effects;
    group_.block(manager_.now_(), circuits, blocking, effects);
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::reset(const CircuitList& circuits) {
    Effects effects;
    group_.reset(manager_.now_(), circuits, Reason::reset, effects);
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::audit() {
    group_.audit_now(manager_.now_());
    last_reconciled_ = {};
    run_timers();
    if (manager_.schedule_) manager_.schedule_(group_.next_timer());
}

void TrunkManager::Trunk::update_timers(const GroupRules& rules) {
    settings_.rules = rules;
    group_.update_timers(rules);
    if (manager_.schedule_) manager_.schedule_(group_.next_timer());
}

void TrunkManager::Trunk::inject_memory_loss(CallRef ref) {
    group_.inject_memory_loss(ref);
    report_state();
}

// ---- All groups --------------------------------------------------------------------------------------

TrunkManager::TrunkManager(int own_number, Clock now, CallerEvents& callers, SwitchEvents& switches,
                           const CallTable& table)
    : own_number_(own_number), now_(std::move(now)), callers_(callers), switches_(switches), table_(table) {}

void TrunkManager::begin(std::uint32_t incarnation, Ledger* ledger) {
    ledger_ = ledger;
    for (const auto& [id, trunk] : trunks_) {
        trunk->group_.set_incarnation(incarnation);
        trunk->session_.set_incarnation(incarnation);
    }
}

TrunkManager::~TrunkManager() = default;

TrunkManager::Trunk& TrunkManager::add(const GroupSettings& settings) {
    auto& trunk = trunks_[settings.id] = std::make_unique<Trunk>(*this, settings);
    by_exchange_[settings.exchange] = trunk.get();
    return *trunk;
}

std::vector<TrunkManager::Trunk*> TrunkManager::trunks() const {
    std::vector<Trunk*> all;
    for (const auto& [id, trunk] : trunks_) all.push_back(trunk.get());
    return all;
}

TrunkManager::Trunk* TrunkManager::find(std::uint32_t group) const {
    const auto found = trunks_.find(group);
    return found == trunks_.end() ? nullptr : found->second.get();
}

ListEvent TrunkManager::with_far_hubs(ListEvent event) const {
    std::erase_if(event.entries, [this](const ListedExchange& listed) {
        return by_exchange_.count(listed.entry.exchange) > 0 ||
               std::any_of(lines_.begin(), lines_.end(),
                           [&](const auto& own) { return own.entry.exchange == listed.entry.exchange; });
    });
    if (event.kind == ListKind::changes) return event;
    event.entries.insert(event.entries.end(), lines_.begin(), lines_.end());
    for (const auto& [exchange, trunk] : by_exchange_) {
        ListedExchange& listed = event.entries.emplace_back();
        listed.entry.exchange = exchange;
        listed.entry.number = trunk->settings().number;
        listed.entry.zone = trunk->settings().zone;
    }
    return event;
}

std::size_t TrunkManager::restore(
    const std::vector<LedgerCall>& calls,
    const std::function<void(const LedgerCall&, CallerLink*)>& restore_in_table) {
    std::size_t restored = 0;
    for (const auto& [id, trunk] : trunks_) {
        std::vector<Claim> stored;
        for (const LedgerCall& call : calls)
            if (call.group == id) stored.push_back(call.claim);
        const std::vector<Claim> claimable = select_claimable(stored, trunk->settings_.rules.circuits);
        for (const LedgerCall& call : calls) {
            if (call.group != id ||
                std::find(claimable.begin(), claimable.end(), call.claim) == claimable.end())
                continue;
            if (trunk->ref_of(call.call) != kNoCall || !trunk->restore(call)) continue;
            ++restored;
            restore_in_table(call, call.outgoing ? nullptr : static_cast<CallerLink*>(trunk.get()));
        }
    }
    if (schedule_) schedule_(next_timer());
    return restored;
}

void TrunkManager::restore_blocked(std::uint32_t group, CircuitNumber circuit, Blocking blocking) {
    if (Trunk* const trunk = find(group)) trunk->group_.restore(circuit, blocking);
}

void TrunkManager::set_up(const ExchangeId& exchange, const OutgoingSetUp& request) {
    if (const auto trunk = by_exchange_.find(exchange); trunk != by_exchange_.end())
        trunk->second->set_up(request);
}

void TrunkManager::cancel(const ExchangeId& exchange, const CallId& call) {
    if (const auto trunk = by_exchange_.find(exchange); trunk != by_exchange_.end())
        trunk->second->release_outgoing(call, Reason::normal);
}

void TrunkManager::release(const ExchangeId& exchange, const CallId& call) {
    if (const auto trunk = by_exchange_.find(exchange); trunk != by_exchange_.end())
        trunk->second->release_outgoing(call, Reason::normal);
}

void TrunkManager::add_subscriber_lines(const ListedExchange& lines) {
    lines_.push_back(lines);
    lines_.back().entry.never_tandem = true;
}

void TrunkManager::hand_over() {
    handed_over_ = true;
    ledger_ = nullptr;
}

void TrunkManager::run_timers() {
    if (handed_over_) return;
    for (const auto& [id, trunk] : trunks_)
        if (trunk->group().next_timer() <= now_()) trunk->run_timers();
    if (schedule_) schedule_(next_timer());
}

Instant TrunkManager::next_timer() const {
    Instant next = Instant::max();
    for (const auto& [id, trunk] : trunks_) next = std::min(next, trunk->group().next_timer());
    return next;
}

}  // namespace nettlestall::trunk
