#include "trunk/trunk_manager.hpp"

#include <algorithm>
#include <utility>

namespace nettlestall::trunk {
namespace {

constexpr Duration kShortestWait = std::chrono::milliseconds(1);

// What an end of a set-up of ours means to the call table.
std::pair<Outcome, Cause> meaning(Reason reason, bool was_answered, bool direct) {
    if (was_answered) return {reason == Reason::normal ? Outcome::ended : Outcome::reset, Cause::none};
    switch (reason) {
        case Reason::glare:
        case Reason::not_idle:
        case Reason::unusable:
            return {Outcome::rejected, Cause::no_circuit};  // it never ran
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

Reason reason_of(ReleaseReason ending) {
    switch (ending) {
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

TrunkManager::Trunk::Trunk(TrunkManager& front, const GroupSettings& settings)
    : front_(front),
      settings_(settings),
      origin_("trunk:" + std::to_string(settings.id)),
      group_(settings.rules, 0),
      session_({settings.rules.point_codes, settings.id, settings.rules.circuits}, 0, *this) {}

CallRef TrunkManager::Trunk::ref_of(const CallId& call) const {
    for (const auto* of : {&outgoing_, &incoming_})
        if (const auto at = of->find(call); at != of->end()) return at->second;
    return kNoCall;
}

void TrunkManager::Trunk::carry_out(Effects effects) {
    for (const Effect& effect : effects) {
        if (const auto* send = std::get_if<Send>(&effect)) {
            session_.send(send->message);
        } else if (const auto* stands = std::get_if<StoreCall>(&effect)) {
            if (!front_.ledger_) continue;
            LedgerCall call{settings_.id, stands->claim, stands->call, stands->outgoing, {}, {}};
            const ExchangeId* at = front_.table_.exchange_of(stands->call);
            if (!stands->outgoing && at) call.exchange = *at;
            if (stands->outgoing) call.origin = front_.table_.origin_of(stands->call);
            front_.ledger_->store_call(call);
        } else if (const auto* over = std::get_if<RemoveCall>(&effect)) {
            if (front_.ledger_) front_.ledger_->remove_call(settings_.id, over->claim);
        } else if (const auto* blocked = std::get_if<StoreBlocking>(&effect)) {
            if (front_.ledger_)
                front_.ledger_->store_blocking(settings_.id, blocked->circuit, blocked->blocking);
        } else if (std::holds_alternative<RestartLink>(effect)) {
            session_.begin_new_incarnation();
        }
    }
    for (const Effect& effect : effects) {
        if (const auto* offered = std::get_if<Offered>(&effect)) tell(*offered);
        if (const auto* answered = std::get_if<Answered>(&effect)) tell(*answered);
        if (const auto* ended = std::get_if<Ended>(&effect)) tell(*ended);
        if (const auto* freed = std::get_if<FreedByAudit>(&effect); freed && front_.freed_)
            front_.freed_(*this, *freed);
    }
    // Too much was unconfirmed: the session has given its connection up.
    if (group_.in_service() && !session_.is_connected()) {
        Effects down;
        group_.link_down(front_.time_(), down);
        return carry_out(std::move(down));
    }
    report();
    if (session_.has_output() && front_.output_) front_.output_(*this);
    if (front_.earlier_) front_.earlier_(group_.next_timer());
}

void TrunkManager::Trunk::report() {
    const int free = group_.free_circuits();
    if (free == told_free_ || (told_free_ < 0 && !group_.in_service())) return;
    told_free_ = free;
    LoadReport load;
    load.free_circuits = free;
    load.group_size = group_.circuits().size();
    front_.switches_.on_group_state(settings_.exchange, load);
}

void TrunkManager::Trunk::tell(const Offered& effect) {
    if (!group_.leg(effect.ref)) return;
    const CallData& data = effect.data;
    // The far end has begun it again, under another reference: what it began before is over there.
    if (const auto before = incoming_.find(data.call); before != incoming_.end()) {
        const CallRef ref = before->second;
        incoming_.erase(before);
        front_.callers_.on_release(*this, data.call);
        Effects effects;
        group_.release(front_.time_(), ref, Reason::normal, effects);
        carry_out(std::move(effects));
    }
    ++front_.counts_.offered;
    incoming_[data.call] = effect.ref;
    SetUpRequest offer;
    offer.call = data.call;
    offer.service_class = data.service_class;
    offer.number = data.number;
    offer.description = data.description;
    offer.time_left = std::max(kShortestWait, data.wait);
    offer.destination = data.destination;
    offer.width = effect.width;
    offer.via = data.via;
    offer.transit = true;
    offer.was_cut = data.again;
    offer.redial = data.redial;
    front_.callers_.on_set_up(*this, offer);
}

void TrunkManager::Trunk::tell(const Answered& effect) {
    const auto at = outgoing_.find(effect.call);
    if (at == outgoing_.end() || at->second != effect.ref) return;
    front_.switches_.on_answer(settings_.exchange, effect.call, effect.description);
}

void TrunkManager::Trunk::tell(const Ended& effect) {
    auto& of = effect.outgoing ? outgoing_ : incoming_;
    const auto at = of.find(effect.call);
    if (at == of.end() || at->second != effect.ref) return;
    of.erase(at);
    if (!effect.outgoing) return front_.callers_.on_release(*this, effect.call);
    if (effect.reason == Reason::glare && front_.glare_lost_) front_.glare_lost_(*this, effect.call);
    // Of two hubs the far one knows best whether it was the call's destination; here any refusal is its own.
    const auto [outcome, cause] = meaning(effect.reason, effect.was_answered, true);
    front_.switches_.on_call_ended(settings_.exchange, effect.call, outcome, cause, {});
}

void TrunkManager::Trunk::set_up(const OutgoingSetUp& forward) {
    CallData data{.call = forward.call,
                  .service_class = forward.service_class,
                  .number = forward.number,
                  .description = forward.description ? *forward.description : std::string(),
                  .destination = forward.destination,
                  .via = front_.own_number_,
                  .wait = forward.time_limit,
                  .again = forward.was_cut,
                  .redial = forward.redial};
    Effects effects;
    const CallRef ref = group_.set_up(front_.time_(), std::move(data), forward.width, effects);
    if (ref == kNoCall)
        return front_.switches_.on_call_ended(settings_.exchange, forward.call, Outcome::rejected,
                                              Cause::no_circuit, {});
    outgoing_[forward.call] = ref;
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::let_go(const CallId& call, Reason reason) {
    const auto at = outgoing_.find(call);
    if (at == outgoing_.end()) return;
    const CallRef ref = at->second;
    outgoing_.erase(at);
    Effects effects;
    group_.release(front_.time_(), ref, reason, effects);
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::answer(const CallId& call, Description description) {
    const auto at = incoming_.find(call);
    if (at == incoming_.end()) return;
    Effects effects;
    group_.answer(front_.time_(), at->second, *description, effects);
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::release(const CallId& call, ReleaseReason ending) {
    const auto at = incoming_.find(call);
    if (at == incoming_.end()) return;
    const CallRef ref = at->second;
    incoming_.erase(at);
    Effects effects;
    group_.release(front_.time_(), ref, reason_of(ending), effects);
    carry_out(std::move(effects));
}

// ---- Its link ----------------------------------------------------------------------------------------

void TrunkManager::Trunk::connected() {
    session_.connected();
    if (front_.output_) front_.output_(*this);
}

bool TrunkManager::Trunk::receive_bytes(std::string_view bytes) {
    const bool sound = session_.receive_bytes(bytes);
    if (session_.has_output() && front_.output_) front_.output_(*this);
    return sound && session_.is_connected();
}

void TrunkManager::Trunk::disconnected() {
    session_.disconnected();
    Effects effects;
    group_.link_down(front_.time_(), effects);
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::send_heartbeat() {
    session_.send_heartbeat();
    if (session_.has_output() && front_.output_) front_.output_(*this);
}

void TrunkManager::Trunk::link_up(bool resumed) {
    Effects effects;
    group_.link_up(front_.time_(), resumed, effects);
    carry_out(std::move(effects));
}

const char* TrunkManager::Trunk::received(const Message& message) {
    Effects effects;
    const char* wrong = group_.receive(front_.time_(), message, effects);
    carry_out(std::move(effects));
    return wrong;
}

void TrunkManager::Trunk::run_timers() {
    const Instant now = front_.time_();
    Effects effects;
    group_.run_timers(now, effects);
    if (!effects.empty()) carry_out(std::move(effects));
    const AuditRules& audit = settings_.rules.audit;
    if (audit.enabled && now - swept_ >= audit.interval) {
        swept_ = now;
        sweep();
    }
}

// Guards against what an audit of the far end can't see: this end's own table and group disagree.
void TrunkManager::Trunk::sweep() {
    std::vector<std::pair<CallId, CallRef>> orphans;
    for (const auto& [ref, leg] : group_.legs()) {
        if (leg.state == LegState::yielding || leg.state == LegState::releasing) continue;
        const auto& of = leg.outgoing ? outgoing_ : incoming_;
        const auto at = of.find(leg.call);
        const ExchangeId* where = front_.table_.exchange_of(leg.call);
        const bool known =
            at != of.end() && at->second == ref && where && (!leg.outgoing || *where == settings_.exchange);
        if (!known) orphans.emplace_back(leg.call, ref);
    }
    for (const auto& [call, ref] : orphans) {
        ++front_.counts_.orphans;
        for (auto* of : {&outgoing_, &incoming_})
            if (const auto at = of->find(call); at != of->end() && at->second == ref) of->erase(at);
        Effects effects;
        group_.release(front_.time_(), ref, Reason::cut, effects);
        carry_out(std::move(effects));
    }
    const auto held = [this](const std::map<CallId, CallRef>& of, const CallId& call) {
        const auto at = of.find(call);
        return at != of.end() && group_.leg(at->second);
    };
    for (const CallId& call : front_.table_.calls_at(settings_.exchange)) {
        if (held(outgoing_, call)) continue;
        ++front_.counts_.lost;
        outgoing_.erase(call);
        front_.switches_.on_call_ended(settings_.exchange, call, Outcome::reset, Cause::none, {});
    }
    for (const CallId& call : front_.table_.calls_from(*this)) {
        if (held(incoming_, call)) continue;
        ++front_.counts_.lost;
        incoming_.erase(call);
        front_.callers_.on_release(*this, call);
    }
}

bool TrunkManager::Trunk::restore(const LedgerCall& call) {
    if (!group_.restore(call.claim, call.call, call.outgoing, front_.time_())) return false;
    (call.outgoing ? outgoing_ : incoming_)[call.call] = call.claim.call;
    return true;
}

// ---- Operators ---------------------------------------------------------------------------------------

void TrunkManager::Trunk::block(const CircuitList& circuits, Blocking blocking) {
    Effects effects;
    group_.block(front_.time_(), circuits, blocking, effects);
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::reset(const CircuitList& circuits) {
    Effects effects;
    group_.reset(front_.time_(), circuits, Reason::reset, effects);
    carry_out(std::move(effects));
}

void TrunkManager::Trunk::audit() {
    group_.audit_now(front_.time_());
    swept_ = {};
    run_timers();
    if (front_.earlier_) front_.earlier_(group_.next_timer());
}

void TrunkManager::Trunk::update_timers(const GroupRules& rules) {
    settings_.rules = rules;
    group_.update_timers(rules);
    if (front_.earlier_) front_.earlier_(group_.next_timer());
}

void TrunkManager::Trunk::inject_memory_loss(CallRef ref) {
    group_.inject_memory_loss(ref);
    report();
}

// ---- All groups --------------------------------------------------------------------------------------

TrunkManager::TrunkManager(int own_number, Clock time, CallerEvents& callers, SwitchEvents& switches,
                           const CallTable& table)
    : own_number_(own_number),
      time_(std::move(time)),
      callers_(callers),
      switches_(switches),
      table_(table) {}

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
    const auto at = trunks_.find(group);
    return at == trunks_.end() ? nullptr : at->second.get();
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

std::size_t TrunkManager::restore(const std::vector<LedgerCall>& calls,
                                  const std::function<void(const LedgerCall&, CallerLink*)>& tell_table) {
    std::size_t restored = 0;
    for (const auto& [id, trunk] : trunks_) {
        std::vector<Claim> remembered;
        for (const LedgerCall& call : calls)
            if (call.group == id) remembered.push_back(call.claim);
        const std::vector<Claim> sound = select_claimable(remembered, trunk->settings_.rules.circuits);
        for (const LedgerCall& call : calls) {
            if (call.group != id || std::find(sound.begin(), sound.end(), call.claim) == sound.end())
                continue;
            if (trunk->ref_of(call.call) != kNoCall || !trunk->restore(call)) continue;
            ++restored;
            tell_table(call, call.outgoing ? nullptr : static_cast<CallerLink*>(trunk.get()));
        }
    }
    if (earlier_) earlier_(next_timer());
    return restored;
}

void TrunkManager::restore_blocked(std::uint32_t group, CircuitNumber circuit, Blocking blocking) {
    if (Trunk* const trunk = find(group)) trunk->group_.restore(circuit, blocking);
}

void TrunkManager::set_up(const ExchangeId& at, const OutgoingSetUp& forward) {
    if (const auto trunk = by_exchange_.find(at); trunk != by_exchange_.end()) trunk->second->set_up(forward);
}

void TrunkManager::cancel(const ExchangeId& at, const CallId& call) {
    if (const auto trunk = by_exchange_.find(at); trunk != by_exchange_.end())
        trunk->second->let_go(call, Reason::normal);
}

void TrunkManager::release(const ExchangeId& at, const CallId& call) {
    if (const auto trunk = by_exchange_.find(at); trunk != by_exchange_.end())
        trunk->second->let_go(call, Reason::normal);
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
        if (trunk->group().next_timer() <= time_()) trunk->run_timers();
    if (earlier_) earlier_(next_timer());
}

Instant TrunkManager::next_timer() const {
    Instant due = Instant::max();
    for (const auto& [id, trunk] : trunks_) due = std::min(due, trunk->group().next_timer());
    return due;
}

}  // namespace nettlestall::trunk
