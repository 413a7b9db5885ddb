#include "calls/gatekeeper.hpp"

#include <algorithm>
#include <utility>

namespace nettlestall::calls {
namespace {

using std::chrono::milliseconds;

constexpr Duration kReadyAnyway =
    milliseconds(1500);                               // a silent switch must not keep the front away for ever
constexpr Duration kOverdueSlack = milliseconds(20);  // past the caller's patience, before the guard answers
constexpr Duration kFrontTurns = milliseconds(200);   // from the first no until callers come no more
constexpr Duration kNobodyAsks = milliseconds(600);   // after an order to drain
constexpr Duration kNoMoreSetUps = milliseconds(1800);  // after it: callers must be gone 4 s after it
constexpr std::size_t kReleasesOwed = 20'000;

}  // namespace

Gatekeeper::Gatekeeper(const Settings& settings, std::uint64_t seed, Clock time, Switches& switches,
                       Counters& counters, const Bounds& bounds)
    : settings_(settings),
      control_(settings, seed),
      time_(std::move(time)),
      switches_(switches),
      counters_(counters),
      bounds_(bounds),
      started_(time_()) {
    for (const ClassSettings& named : settings_.classes) replies_.push_back({.service_class = named.name});
}

void Gatekeeper::apply_settings(const Settings& settings, const Bounds& bounds) {
    settings_ = settings;
    control_.apply(settings);
    bounds_ = bounds;
}

// ---- The module ------------------------------------------------------------------------------------

void Gatekeeper::tell(Event event) {
    later(std::move(event));
    if (telling_) return;  // what an action brought about waits for the actions before it
    telling_ = true;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        actions_.clear();
        control_.handle(time_(), next, actions_);
        for (std::size_t i = 0; i < actions_.size(); ++i)
            std::visit([this](const auto& action) { act(action); }, actions_[i]);
    }
    telling_ = false;
}

Gatekeeper::Timers::iterator Gatekeeper::schedule(Instant at, Due due) {
    const bool first = due_.empty() || at < due_.begin()->first;
    const auto entry = due_.emplace(at, std::move(due));
    if (first && earlier_) earlier_(at);
    return entry;
}

// Guards against callers who claim to wait for an hour: a timer would stay that long after its call has
// ended.
void Gatekeeper::unschedule(std::optional<Timers::iterator>& timer) {
    if (timer) due_.erase(*timer);
    timer.reset();
}

std::size_t Gatekeeper::table_entries() const {
    return calls_.size() + exchanges_.size() + due_.size() + owed_.size() + control_.table_entry_count();
}

void Gatekeeper::run_timers() {
    while (!due_.empty() && due_.begin()->first <= time_()) {
        const Due next = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        std::visit([this](const auto& timer) { due(timer); }, next);
    }
    if (!due_.empty() && earlier_) earlier_(due_.begin()->first);
}

void Gatekeeper::due(const ModuleTimer& timer) {
    tell(TimerExpired{timer.token});
}

void Gatekeeper::due(const AttemptTimeOut& timer) {
    const auto at = calls_.find(timer.call);
    if (at == calls_.end() || at->second.phase != Phase::out || at->second.attempts != timer.attempt) return;
    at->second.time_out.reset();
    ++counters_.timed_out;
    switches_.cancel(at->second.at, at->first);
    end_attempt(at, Outcome::timed_out, Cause::none, {});
}

// Guards against a call without a final answer, whatever the module or an exchange did: the module answers
// before this comes due.
void Gatekeeper::due(const AnswerDue& timer) {
    const auto at = calls_.find(timer.call);
    if (at == calls_.end() || at->second.phase == Phase::standing) return;
    at->second.answer_due.reset();
    ++counters_.overdue;
    CallerLink* const link = at->second.link;
    const std::string service_class = at->second.service_class;
    abandon(at);
    refuse_or_fail(link, timer.call, service_class, ReleaseReason::failed);
}

// ---- Its actions -----------------------------------------------------------------------------------

bool Gatekeeper::may_set_up(const Call& call, const ExchangeId& at) const {
    const auto exchange = exchanges_.find(at);
    return call.phase == Phase::waiting && call.attempts < settings_.max_attempts &&
           time_() >= call.not_before && exchange != exchanges_.end() &&
           exchange->second.state == ExchangeState::ready &&
           exchange->second.number != settings_.own_exchange &&
           (!call.transit || exchange->second.number == call.destination);
}

void Gatekeeper::act(const SetUp& action) {
    const auto at = calls_.find(action.call);
    if (at == calls_.end()) return;
    Call& call = at->second;
    // Guards the rules whatever the module asks for: no second attempt beside one that is out, none before
    // the release, none to an exchange that drains or has gone, none beyond the cap, no call in transit to
    // any but its destination.
    if (!may_set_up(call, action.exchange)) {
        ++counters_.held_back;
        if (call.phase != Phase::waiting) return;
        return later(AttemptEnded{.call = action.call,
                                  .attempt = call.attempts++,
                                  .exchange = action.exchange,
                                  .outcome = Outcome::not_sent});
    }
    const Instant now = time_();
    const Duration left = call.answer_by - now;
    const Duration wait = action.time_out > Duration::zero() ? std::min(action.time_out, left) : left;
    call.phase = Phase::out;
    call.at = action.exchange;
    call.sent = now;
    ++call.attempts;
    ++counters_.attempts;
    call.time_out = schedule(now + wait, AttemptTimeOut{action.call, call.attempts});
    switches_.set_up(call.at, {.call = action.call,
                               .service_class = call.service_class,
                               .number = call.number,
                               .description = call.description,
                               .time_limit = wait,
                               .destination = call.destination,
                               .width = call.width,
                               .was_cut = call.again,
                               .redial = call.redial});
}

void Gatekeeper::act(const Refuse& action) {
    // The pause that the module may advise has no place in this protocol's messages.
    ++counters_.refused;
    final_answer(action.call, ReleaseReason::refused);
}

void Gatekeeper::act(const Fail& action) {
    ++counters_.failed;
    final_answer(action.call, ReleaseReason::failed);
}

void Gatekeeper::act(const Cancel& action) {
    const auto at = calls_.find(action.call);
    if (at == calls_.end() || at->second.phase != Phase::out || at->second.attempts != action.attempt + 1)
        return;
    ++counters_.cancelled;
    switches_.cancel(at->second.at, at->first);
    end_attempt(at, Outcome::cancelled, Cause::none, {});
}

void Gatekeeper::act(const SetTimer& action) {
    schedule(time_() + action.delay, ModuleTimer{action.token});
}

void Gatekeeper::act(const Note& action) {
    if (note_) note_(action.text);
}

void Gatekeeper::final_answer(const CallId& id, ReleaseReason ending) {
    const auto at = calls_.find(id);
    if (at == calls_.end() || at->second.phase == Phase::standing) return;
    if (at->second.phase == Phase::out) switches_.cancel(at->second.at, id);
    CallerLink* const link = at->second.link;
    const std::string service_class = std::move(at->second.service_class);
    settle_answer(at->second);
    calls_.erase(at);
    refuse_or_fail(link, id, service_class, ending);
}

void Gatekeeper::refuse_or_fail(CallerLink* link, const CallId& id, std::string_view service_class,
                                ReleaseReason ending) {
    if (!link) return;
    count(service_class, ending == ReleaseReason::refused ? &Replies::refused : &Replies::failed);
    link->release(id, ending);
}

void Gatekeeper::count(std::string_view service_class, std::uint64_t Replies::*reply) {
    for (Replies& replies : replies_)
        if (replies.service_class == service_class) ++(replies.*reply);
}

// The call has its final answer, or is owed none.
void Gatekeeper::settle_answer(Call& call) {
    unschedule(call.answer_due);
    unschedule(call.time_out);
    if (call.link) --call.link->usage.open_set_ups;
    --unanswered_;
    held_ -= call.description->size();
    call.description = nullptr;
    call.number.clear();
}

// ---- Callers ---------------------------------------------------------------------------------------

void Gatekeeper::on_set_up(CallerLink& link, const SetUpRequest& offer) {
    if (const auto at = calls_.find(offer.call); at != calls_.end()) {
        ++counters_.repeated;
        // On the call's own connection its one answer will do. Elsewhere somebody else waits for an answer.
        if (at->second.link != &link)
            refuse_or_fail(&link, offer.call, offer.service_class, ReleaseReason::failed);
        return;
    }
    ++counters_.set_ups;
    counters_.transit += offer.transit;
    counters_.redials += offer.redial;
    const auto named = std::find_if(settings_.classes.begin(), settings_.classes.end(),
                                    [&](const ClassSettings& c) { return c.name == offer.service_class; });
    // A drain's refusals are for connections that never pause: each is to have its last answer and be closed.
    const bool full =
        takes_none() || at_the_bound() || held_ + offer.description.size() > bounds_.max_description_bytes ||
        (settings_.max_open_calls > 0 && unanswered_ >= static_cast<std::size_t>(settings_.max_open_calls));
    if (named == settings_.classes.end() || !makes_sense(offer, *named) || full) {
        ++(full ? counters_.refused : counters_.failed);
        return refuse_or_fail(&link, offer.call, offer.service_class,
                              full ? ReleaseReason::refused : ReleaseReason::failed);
    }
    Call& call = calls_[offer.call];
    ++unanswered_;
    call.link = &link;
    ++link.usage.open_set_ups;
    call.origin = link.origin();
    call.destination = offer.destination;
    call.transit = offer.transit;
    call.again = offer.was_cut;
    call.redial = offer.redial;
    call.width = offer.width;
    call.service_class = offer.service_class;
    call.number = offer.number;
    call.description = std::make_shared<const std::string>(offer.description);
    held_ += offer.description.size();
    const Duration patience = std::min(offer.time_left, end_ - time_());
    call.answer_by = time_() + patience;
    call.answer_due = schedule(call.answer_by + kOverdueSlack, AnswerDue{offer.call});

    CallOffered event;
    event.call = offer.call;
    event.destination = offer.destination;
    event.width = offer.width;
    event.service_class = static_cast<int>(named - settings_.classes.begin());
    (offer.transit ? event.previous_exchange : event.advised_exchange) = offer.via;
    event.time_left = patience;
    event.transit = offer.transit;
    event.is_reconnect = offer.was_cut;
    event.redial = offer.redial;
    event.called_number = call.number;
    tell(std::move(event));
}

// Guards against set-ups that no carrier switch can use, and that would wait here in vain: a call takes as
// many circuits as its class is wide, and somebody waits for it.
bool Gatekeeper::makes_sense(const SetUpRequest& offer, const ClassSettings& service_class) {
    return offer.width == service_class.width && offer.destination >= 0 && offer.time_left > Duration::zero();
}

void Gatekeeper::on_release(CallerLink& link, const CallId& id) {
    const auto at = calls_.find(id);
    if (at == calls_.end()) {  // over already, and told twice
        if (successor_) successor_->hand_over_release(id);
        return;
    }
    // A set-up is given up by whoever waits for it; a call that stands belongs to no connection.
    if (at->second.phase != Phase::standing && at->second.link != &link) {
        ++counters_.ignored;
        return;
    }
    if (at->second.phase == Phase::standing) return release_standing(at);
    ++counters_.abandoned;
    abandon(at);
}

// The caller waits no longer: no answer is owed, and what is out is given up.
void Gatekeeper::abandon(Calls::iterator at) {
    const CallId id = at->first;
    Call call = std::move(at->second);
    calls_.erase(at);
    settle_answer(call);
    if (call.phase == Phase::out) switches_.cancel(call.at, id);
    tell(CallAbandoned{id});
    if (call.phase == Phase::out)
        tell(AttemptEnded{.call = id,
                          .attempt = call.attempts - 1,
                          .exchange = call.at,
                          .outcome = Outcome::cancelled,
                          .final = true,
                          .response_time = time_() - call.sent});
}

void Gatekeeper::drain() {
    if (!drain_) drain_ = Drain{.since = time_(), .heard = {}};
}

bool Gatekeeper::can_close_callers() const {
    if (!drain_) return false;
    return time_() >= std::min(drain_->since + kNobodyAsks,
                               drain_->heard.value_or(Instant::max() - kFrontTurns) + kFrontTurns);
}

bool Gatekeeper::takes_none() const {
    return drain_ && time_() - drain_->since >= kNoMoreSetUps;
}

bool Gatekeeper::is_ready() {
    if (drain_ && !drain_->heard) drain_->heard = time_();
    if (drain_) return false;
    if (successor_) return true;
    if (leaving_) return false;
    if (time_() - started_ >= kReadyAnyway) return true;
    return !exchanges_.empty() &&
           std::all_of(exchanges_.begin(), exchanges_.end(), [this](const auto& known) {
               const Exchange& x = known.second;
               return x.group_known || x.state != ExchangeState::ready || x.number == settings_.own_exchange;
           });
}

void Gatekeeper::on_caller_connected(CallerLink& link) {
    links_.push_back(&link);
    for (const Owed& owed : std::exchange(owed_, {})) link.release(owed.call, owed.ending);
}

void Gatekeeper::on_caller_disconnected(CallerLink& link) {
    std::erase(links_, &link);
    std::vector<CallId> open;
    for (auto& [id, call] : calls_) {
        if (call.link != &link) continue;
        call.link = nullptr;  // and with it its use
        if (call.phase != Phase::standing) open.push_back(id);
    }
    for (const CallId& id : open) {
        const auto at = calls_.find(id);
        if (at == calls_.end()) continue;
        ++counters_.abandoned;
        abandon(at);
    }
}

// A standing call belongs to no connection: its release goes on its own one, else on the newest of the same
// caller, else on any, else on the next that is opened.
void Gatekeeper::release_caller(const CallId& id, const Call& call, ReleaseReason ending) {
    CallerLink* link = call.link;
    if (!link && !links_.empty()) {
        const auto same = std::find_if(links_.rbegin(), links_.rend(), [&call](const CallerLink* other) {
            return other->origin() == call.origin;
        });
        link = same == links_.rend() ? links_.back() : *same;
    }
    if (link) return link->release(id, ending);
    if (owed_.size() < kReleasesOwed) owed_.push_back({id, ending});
}

void Gatekeeper::refuse_all() {
    std::vector<CallId> open;
    for (const auto& [id, call] : calls_)
        if (call.phase != Phase::standing) open.push_back(id);
    for (const CallId& id : open) {
        const auto at = calls_.find(id);
        if (at == calls_.end()) continue;
        ++counters_.refused;
        CallerLink* const link = at->second.link;
        const std::string service_class = at->second.service_class;
        abandon(at);  // the module hears of it too
        refuse_or_fail(link, id, service_class, ReleaseReason::refused);
    }
}

// ---- Carrier switches ------------------------------------------------------------------------------

void Gatekeeper::on_answer(const ExchangeId& exchange, const CallId& id, std::string_view description) {
    const auto at = calls_.find(id);
    if (at == calls_.end() || at->second.phase == Phase::waiting || at->second.at != exchange) {
        // The answer crossed a give-up: the call may stand there, with nobody at this end.
        ++counters_.crossed;
        return switches_.release(exchange, id);
    }
    Call& call = at->second;
    if (call.phase == Phase::standing) return;  // told twice
    call.phase = Phase::standing;
    settle_answer(call);
    ++counters_.stood;
    ++counters_.answered;
    if (call.link) ++call.link->usage.standing_calls;
    if (call.link) {
        count(call.service_class, &Replies::served);
        call.link->answer(id, std::make_shared<const std::string>(description));
    }
    tell(CallAnswered{id, call.attempts - 1, exchange, time_() - call.sent});
    if (successor_) pass_on(at);
}

void Gatekeeper::on_call_ended(const ExchangeId& exchange, const CallId& id, Outcome outcome, Cause cause,
                               const LoadReport& load) {
    const auto at = calls_.find(id);
    if (at == calls_.end() || at->second.phase == Phase::waiting || at->second.at != exchange) {
        if (at == calls_.end() && successor_) successor_->hand_over_end(exchange, id, outcome);
        return on_group_state(exchange, load);  // late; its report is still news
    }
    if (at->second.phase == Phase::standing)
        return end_standing(at, outcome == Outcome::ended ? Outcome::ended : Outcome::reset, load, true);
    // The end of a call that has not stood here: its answer was lost on the way. Guards against an end taken
    // for the exchange's answer: the length of the call would count as the time that it takes to answer.
    end_attempt(at, outcome == Outcome::ended ? Outcome::reset : outcome, cause, load);
}

void Gatekeeper::end_attempt(Calls::iterator at, Outcome outcome, Cause cause, const LoadReport& load) {
    Call& call = at->second;
    call.phase = Phase::waiting;
    unschedule(call.time_out);
    const Instant now = time_();
    if (outcome == Outcome::timed_out || outcome == Outcome::reset || outcome == Outcome::cancelled)
        call.not_before = now + settings_.release_wait;
    counters_.turned_back += outcome == Outcome::rejected;
    counters_.errors += outcome == Outcome::failed;
    counters_.reset += outcome == Outcome::reset;
    counters_.unreachable += outcome == Outcome::unreachable;
    counters_.moot += outcome == Outcome::not_sent;
    tell(AttemptEnded{.call = at->first,
                      .attempt = call.attempts - 1,
                      .exchange = call.at,
                      .outcome = outcome,
                      .cause = cause,
                      .final = false,
                      .response_time = now - call.sent,
                      .load = load});
}

void Gatekeeper::on_group_state(const ExchangeId& exchange, const LoadReport& load) {
    if (load.free_circuits < 0 || load.group_size < 0) return;
    ++counters_.group_states;
    if (const auto at = exchanges_.find(exchange); at != exchanges_.end()) at->second.group_known = true;
    tell(ExchangeReport{.exchange = exchange, .load = load});
}

void Gatekeeper::on_process_failed(const ExchangeId& exchange) {
    cut_standing(exchange);
}

// ---- The list --------------------------------------------------------------------------------------

void Gatekeeper::apply_list(const ListEvent& event) {
    ++counters_.list_events;
    ExchangeList told{.kind = event.kind, .version = event.version, .entries = {}};
    std::set<ExchangeId> dead;
    if (event.kind != ListKind::changes)
        for (auto& [id, x] : exchanges_) x.state = ExchangeState::gone;  // unless it is in the list
    for (const ListedExchange& listed : event.entries) {
        const ExchangeEntry& e = listed.entry;
        told.entries.push_back(e);
        const auto [at, fresh] = exchanges_.try_emplace(e.exchange);
        Exchange& x = at->second;
        // A fresh start of the same machine: its process has died, and its calls with it.
        if (!fresh && x.started != e.started) dead.insert(e.exchange);
        x.state = e.state;
        x.started = e.started;
        x.number = e.number;
    }
    for (const auto& [id, x] : exchanges_)
        if (x.state == ExchangeState::gone) dead.insert(id);
    tell(std::move(told));
    for (const ExchangeId& id : dead) cut_standing(id);
    std::erase_if(exchanges_, [](const auto& known) { return known.second.state == ExchangeState::gone; });
}

}  // namespace nettlestall::calls
