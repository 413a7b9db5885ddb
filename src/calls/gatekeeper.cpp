// The call table: events, actions and timers, and callers. Carrier switches and the list of exchanges are in
// switch_events.cpp, what concerns standing calls is in standing.cpp.
#include "calls/gatekeeper.hpp"

#include <algorithm>
#include <utility>

namespace nettlestall::calls {
namespace {

using std::chrono::milliseconds;

// This long after its start the gatekeeper is ready even if not every exchange has reported its circuits: a
// silent carrier switch must not keep the load balancer away for ever.
constexpr Duration kReadyWithoutReports = milliseconds(1500);
// The answer timer expires this long after the call's deadline, so that the decision module answers first.
constexpr Duration kAnswerTimerDelay = milliseconds(20);
// From the first failed health check until the load balancer sends no more callers.
constexpr Duration kBalancerReaction = milliseconds(200);
// From the command to drain until callers are sent away even though no health check has come.
constexpr Duration kDrainWithoutHealthCheck = milliseconds(600);
// From the command to drain until set-ups are refused. All callers must be gone 4 s after the command.
constexpr Duration kRefusalDelayInDrain = milliseconds(1800);
// A number called is held in the call table and once more in a set-up that waits for a connection to its
// carrier switch. The decision module keeps no number, and descriptions are shared.
constexpr std::size_t kNumberCopies = 2;
// What a set-up holds besides its texts: in the tables here, in the decision module and for its carrier
// switch.
constexpr std::size_t kSetUpEntryBytes = 1200;
// For which the id of a call that may have run is not taken again.
constexpr Duration kIdMemory = std::chrono::seconds(10);

}  // namespace

Gatekeeper::Gatekeeper(const Settings& settings, std::uint64_t seed, Clock clock, Switches& switches,
                       Counters& counters, const Bounds& bounds)
    : settings_(settings),
      control_(settings, seed),
      clock_(std::move(clock)),
      switches_(switches),
      counters_(counters),
      set_up_budget_(bounds.max_set_up_bytes),
      bounds_(bounds),
      started_(clock_()) {
    for (const ClassSettings& named : settings_.classes) replies_.push_back({.service_class = named.name});
}

void Gatekeeper::apply_settings(const Settings& settings, const Bounds& bounds) {
    settings_ = settings;
    control_.apply(settings);
    bounds_ = bounds;
    set_up_budget_.set_max_bytes(bounds.max_set_up_bytes);
}

// ---- The decision module and the timers -------------------------------------------------------------

void Gatekeeper::handle_event(Event event) {
    queue_event(std::move(event));
    if (handling_events_) return;  // an event caused by an action waits until the actions before it are done
    handling_events_ = true;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        actions_.clear();
        control_.handle(clock_(), next, actions_);
        for (std::size_t i = 0; i < actions_.size(); ++i)
            std::visit([this](const auto& action) { carry_out(action); }, actions_[i]);
    }
    handling_events_ = false;
}

Gatekeeper::Timers::iterator Gatekeeper::schedule(Instant when, Timer timer) {
    const bool is_earliest = timers_.empty() || when < timers_.begin()->first;
    const auto entry = timers_.emplace(when, std::move(timer));
    if (is_earliest && timer_handler_) timer_handler_(when);
    return entry;
}

// Timers are removed with their call: a caller that claims to wait for an hour would otherwise leave a timer
// behind for that long.
void Gatekeeper::cancel_timer(std::optional<Timers::iterator>& timer) {
    if (timer) timers_.erase(*timer);
    timer.reset();
}

std::size_t Gatekeeper::table_entries() const {
    return calls_.size() + exchanges_.size() + timers_.size() + held_releases_.size() +
           relayed_releases_.size() + unconfirmed_releases_.size() + early_ends_.size() +
           handed_over_.size() + taken_ids_.size() + tried_exchanges_.size() + control_.table_entry_count();
}

void Gatekeeper::run_timers() {
    unconfirmed_releases_.forget_old(clock_());
    taken_ids_.forget_old(clock_());
    while (!timers_.empty() && timers_.begin()->first <= clock_()) {
        const Timer next = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        std::visit([this](const auto& timer) { on_timer(timer); }, next);
    }
    if (!timers_.empty() && timer_handler_) timer_handler_(timers_.begin()->first);
}

void Gatekeeper::on_timer(const ModuleTimer& timer) {
    handle_event(TimerExpired{timer.token});
}

void Gatekeeper::on_timer(const AttemptTimeout& timer) {
    const auto entry = calls_.find(timer.call);
    if (entry == calls_.end() || entry->second.phase != Phase::attempting ||
        entry->second.attempts != timer.attempt)
        return;
    entry->second.attempt_timer.reset();
    ++counters_.timed_out;
    switches_.cancel(entry->second.exchange, entry->first);
    end_attempt(entry, Outcome::timed_out, Cause::none, {});
}

// Ensures that every call gets a final answer, whatever the decision module or an exchange does. Normally the
// module has answered before this timer expires.
void Gatekeeper::on_timer(const AnswerDeadline& timer) {
    const auto entry = calls_.find(timer.call);
    if (entry == calls_.end() || entry->second.phase == Phase::standing) return;
    entry->second.answer_timer.reset();
    ++counters_.overdue;
    CallerLink* const link = entry->second.link;
    const std::string service_class = entry->second.service_class;
    abandon(entry);
    refuse_or_fail(link, timer.call, service_class, ReleaseReason::failed);
}

// ---- Actions of the decision module -----------------------------------------------------------------

bool Gatekeeper::can_set_up(const Call& call, const ExchangeId& exchange) const {
    const auto listed = exchanges_.find(exchange);
    return call.phase == Phase::waiting && call.attempts < settings_.max_attempts &&
           clock_() >= call.not_before && listed != exchanges_.end() &&
           listed->second.state == ExchangeState::ready && listed->second.number != settings_.own_exchange &&
           (!call.transit || listed->second.number == call.destination);
}

void Gatekeeper::carry_out(const SetUp& action) {
    const auto entry = calls_.find(action.call);
    if (entry == calls_.end()) return;
    Call& call = entry->second;
    // Enforces the rules whatever the module asks for: only one attempt of a call at a time, none before the
    // last one was released, none to an exchange that drains or has gone, none beyond the maximum number, and
    // no call in transit to any exchange but its destination.
    if (!can_set_up(call, action.exchange)) {
        ++counters_.held_back;
        if (call.phase != Phase::waiting) return;
        return queue_event(AttemptEnded{.call = action.call,
                                        .attempt = call.attempts++,
                                        .exchange = action.exchange,
                                        .outcome = Outcome::not_sent});
    }
    const Instant now = clock_();
    const Duration time_left = call.answer_deadline - now;
    const Duration time_limit =
        action.time_out > Duration::zero() ? std::min(action.time_out, time_left) : time_left;
    call.phase = Phase::attempting;
    call.exchange = action.exchange;
    call.has_earlier_attempt_there =
        std::find(call.tried.begin(), call.tried.end(), action.exchange) != call.tried.end();
    if (!call.has_earlier_attempt_there) call.tried.push_back(action.exchange);
    call.sent_at = now;
    ++call.attempts;
    ++counters_.attempts;
    call_log_.attempt_sent(action.call, call.attempts, call.exchange);
    call.attempt_timer = schedule(now + time_limit, AttemptTimeout{action.call, call.attempts});
    switches_.set_up(call.exchange, {.call = action.call,
                                     .service_class = call.service_class,
                                     .number = call.number,
                                     .description = call.description,
                                     .time_limit = time_limit,
                                     .destination = call.destination,
                                     .width = call.width,
                                     .is_reconnect = call.is_reconnect,
                                     .redial = call.redial});
}

void Gatekeeper::carry_out(const Refuse& action) {
    // The module may advise a pause before the next try, but the protocol's messages have no field for it.
    ++counters_.refused;
    send_final_answer(action.call, ReleaseReason::refused);
}

void Gatekeeper::carry_out(const Fail& action) {
    ++counters_.failed;
    send_final_answer(action.call, ReleaseReason::failed);
}

void Gatekeeper::carry_out(const Cancel& action) {
    const auto entry = calls_.find(action.call);
    if (entry == calls_.end() || entry->second.phase != Phase::attempting ||
        entry->second.attempts != action.attempt + 1)
        return;
    ++counters_.cancelled;
    switches_.cancel(entry->second.exchange, entry->first);
    end_attempt(entry, Outcome::cancelled, Cause::none, {});
}

void Gatekeeper::carry_out(const SetTimer& action) {
    schedule(clock_() + action.delay, ModuleTimer{action.token});
}

void Gatekeeper::carry_out(const Note& action) {
    if (note_handler_) note_handler_(action.text);
}

void Gatekeeper::send_final_answer(const CallId& id, ReleaseReason reason) {
    const auto entry = calls_.find(id);
    if (entry == calls_.end() || entry->second.phase == Phase::standing) return;
    if (entry->second.phase == Phase::attempting) switches_.cancel(entry->second.exchange, id);
    remember_tried(id, entry->second);
    call_log_.closed(id, entry->second.attempts, reason == ReleaseReason::refused ? "refused" : "failed");
    CallerLink* const link = entry->second.link;
    const std::string service_class = std::move(entry->second.service_class);
    close_set_up(entry->second);
    calls_.erase(entry);
    refuse_or_fail(link, id, service_class, reason);
}

void Gatekeeper::refuse_or_fail(CallerLink* link, const CallId& id, std::string_view service_class,
                                ReleaseReason reason) {
    if (!link) return;
    count_reply(service_class, reason == ReleaseReason::refused ? &Replies::refused : &Replies::failed);
    link->release(id, reason);
}

void Gatekeeper::count_reply(std::string_view service_class, std::uint64_t Replies::*reply) {
    for (Replies& replies : replies_)
        if (replies.service_class == service_class) ++(replies.*reply);
}

// Callers give each set-up a new id, so only a call in transit can come again under its id.
void Gatekeeper::remember_id(const CallId& id, const Call& call) {
    const Instant now = clock_();
    const bool may_have_run = call.may_have_run || call.phase != Phase::waiting;
    const Duration time = may_have_run && !call.transit ? kIdMemory : Duration::zero();
    taken_ids_.forget_old(now);
    taken_ids_.remember(id, now + time, now);
    announce_set_up(id, time);
}

void Gatekeeper::announce_set_up(const CallId& id, Duration time) {
    if (successor_) return successor_->announce_set_up(id, time);
    if (predecessor_) predecessor_->announce_set_up(id, time);
}

void Gatekeeper::on_set_up_taken(const CallId& id, Duration time) {
    taken_ids_.remember(id, clock_() + time, clock_());
}

void Gatekeeper::remember_tried(const CallId& id, Call& call) {
    remember_id(id, call);
    if (call.transit) tried_exchanges_.remember(id, std::move(call.tried), clock_());
}

void Gatekeeper::close_set_up(Call& call) {
    cancel_timer(call.answer_timer);
    cancel_timer(call.attempt_timer);
    if (call.link) --call.link->usage.open_set_ups;
    --unanswered_calls_;
    set_up_budget_.remove(call.set_up_bytes);
    if (call.link) call.link->usage.set_up_bytes -= call.set_up_bytes;
    call.set_up_bytes = 0;
    call.description = nullptr;
    std::string().swap(call.number);  // clear() would keep the memory
    call.tried = {};
}

std::size_t Gatekeeper::set_up_bytes(const SetUpRequest& request) {
    return kSetUpEntryBytes + request.description.size() + kNumberCopies * request.number.size();
}

// ---- Callers ----------------------------------------------------------------------------------------

void Gatekeeper::on_set_up(CallerLink& link, const SetUpRequest& request) {
    if (const auto entry = calls_.find(request.call); entry != calls_.end()) {
        ++counters_.repeated;
        // On the call's own connection a repeated set-up needs no answer besides the call's own. On another
        // connection, another caller waits for an answer.
        if (entry->second.link != &link)
            refuse_or_fail(&link, request.call, request.service_class, ReleaseReason::failed);
        return;
    }
    if (taken_ids_.has(request.call, clock_()) || handed_over_.count(request.call)) {
        ++counters_.repeated;
        return refuse_or_fail(&link, request.call, request.service_class,
                              request.transit ? ReleaseReason::refused : ReleaseReason::failed);
    }
    ++counters_.set_ups;
    counters_.transit += request.transit;
    counters_.redials += request.redial;
    const auto service_class =
        std::find_if(settings_.classes.begin(), settings_.classes.end(),
                     [&](const ClassSettings& c) { return c.name == request.service_class; });
    // Late in a drain set-ups are refused: a connection on which they come without a pause would otherwise
    // always have one open and could not be closed.
    const std::size_t bytes = set_up_bytes(request);
    const bool has_room = set_up_budget_.has_room_for(link.usage.set_up_bytes, bytes);
    counters_.refused_for_memory += !has_room;
    const bool is_full = !has_room || refuses_set_ups() || is_table_full() ||
                         (settings_.max_open_calls > 0 &&
                          unanswered_calls_ >= static_cast<std::size_t>(settings_.max_open_calls));
    if (service_class == settings_.classes.end() || !is_valid(request, *service_class) || is_full) {
        ++(is_full ? counters_.refused : counters_.failed);
        return refuse_or_fail(&link, request.call, request.service_class,
                              is_full ? ReleaseReason::refused : ReleaseReason::failed);
    }
    Call& call = calls_[request.call];
    ++unanswered_calls_;
    call.link = &link;
    ++link.usage.open_set_ups;
    note_calling(link);
    call.origin = link.origin();
    call.port = link.port();
    call.destination = request.destination;
    call.transit = request.transit;
    call.is_reconnect = request.is_reconnect;
    call.redial = request.redial;
    if (request.transit) call.tried = tried_exchanges_.take(request.call, clock_());
    call.width = request.width;
    call.service_class = request.service_class;
    call.number = request.number;
    call.description = std::make_shared<const std::string>(request.description);
    call.set_up_bytes = bytes;
    set_up_budget_.add(bytes);
    link.usage.set_up_bytes += bytes;
    const Duration time_left = std::min(request.time_left, shutdown_end_ - clock_());
    call.answer_deadline = clock_() + time_left;
    call.answer_timer = schedule(call.answer_deadline + kAnswerTimerDelay, AnswerDeadline{request.call});
    announce_set_up(request.call, time_left);

    CallOffered event;
    event.call = request.call;
    event.destination = request.destination;
    event.width = request.width;
    event.service_class = static_cast<int>(service_class - settings_.classes.begin());
    (request.transit ? event.previous_exchange : event.advised_exchange) = request.via;
    event.time_left = time_left;
    event.transit = request.transit;
    event.is_reconnect = request.is_reconnect;
    event.redial = request.redial;
    event.called_number = call.number;
    event.caller = call.origin;
    handle_event(std::move(event));
}

// A set-up is useless unless it takes as many circuits as its class says, names a destination, and has time
// left. No carrier switch could serve it, and it would only wait here until its deadline.
bool Gatekeeper::is_valid(const SetUpRequest& request, const ClassSettings& service_class) {
    return request.width == service_class.width && request.destination >= 0 &&
           request.time_left > Duration::zero();
}

void Gatekeeper::on_release(CallerLink& link, const CallId& id) {
    const auto entry = calls_.find(id);
    if (entry == calls_.end()) {  // already over, and reported twice; or handed over to the successor
        if (successor_ && (handed_over_.count(id) || successor_->has_room()))
            successor_->hand_over_release(id);
        remember_early_end(id, {});
        return;
    }
    // Only the connection that a set-up came on can cancel it. A standing call can be released on any
    // connection.
    if (entry->second.phase != Phase::standing && entry->second.link != &link) {
        ++counters_.ignored;
        return;
    }
    if (entry->second.phase == Phase::standing) {
        note_calling(link);
        return release_standing(entry);
    }
    ++counters_.abandoned;
    abandon(entry);
}

void Gatekeeper::abandon(Calls::iterator entry) {
    const CallId id = entry->first;
    Call call = std::move(entry->second);
    calls_.erase(entry);
    remember_tried(id, call);
    close_set_up(call);
    call_log_.closed(id, call.attempts, "abandoned");
    if (call.phase == Phase::attempting) switches_.cancel(call.exchange, id);
    handle_event(CallAbandoned{id});
    if (call.phase == Phase::attempting)
        handle_event(AttemptEnded{.call = id,
                                  .attempt = call.attempts - 1,
                                  .exchange = call.exchange,
                                  .outcome = Outcome::cancelled,
                                  .final = true,
                                  .response_time = clock_() - call.sent_at});
}

void Gatekeeper::drain() {
    if (!drain_) drain_ = Drain{.since = clock_(), .first_health_check = {}};
}

bool Gatekeeper::can_close_callers() const {
    if (!drain_) return false;
    return clock_() >= std::min(drain_->since + kDrainWithoutHealthCheck,
                                drain_->first_health_check.value_or(Instant::max() - kBalancerReaction) +
                                    kBalancerReaction);
}

bool Gatekeeper::refuses_set_ups() const {
    return drain_ && clock_() - drain_->since >= kRefusalDelayInDrain;
}

bool Gatekeeper::is_ready() {
    if (drain_ && !drain_->first_health_check) drain_->first_health_check = clock_();
    if (drain_) return false;
    if (successor_) return true;
    if (shutting_down_) return false;
    if (clock_() - started_ >= kReadyWithoutReports) return true;
    return !exchanges_.empty() &&
           std::all_of(exchanges_.begin(), exchanges_.end(), [this](const auto& known) {
               const Exchange& exchange = known.second;
               return exchange.group_known || exchange.state != ExchangeState::ready ||
                      exchange.number == settings_.own_exchange;
           });
}

void Gatekeeper::on_caller_disconnected(CallerLink& link, ConnectionEnd end) {
    std::erase(caller_links_, &link);
    for (CallerRelease& release : unconfirmed_releases_.take(&link, end, clock_())) {
        ++counters_.releases_repeated;
        successor_ ? pass_to_successor(release) : send_or_hold(std::move(release));
    }
    // Most connections have no call, and the table may be long.
    if (link.usage.open_set_ups == 0 && link.usage.standing_calls == 0) return;
    std::vector<CallId> open;
    for (auto& [id, call] : calls_) {
        if (call.link != &link) continue;
        call.link = nullptr;  // its usage needs no update, since it is gone too
        if (call.phase != Phase::standing) open.push_back(id);
    }
    for (const CallId& id : open) {
        const auto entry = calls_.find(id);
        if (entry == calls_.end()) continue;
        ++counters_.abandoned;
        abandon(entry);
    }
}

void Gatekeeper::refuse_all() {
    std::vector<CallId> open;
    for (const auto& [id, call] : calls_)
        if (call.phase != Phase::standing) open.push_back(id);
    for (const CallId& id : open) {
        const auto entry = calls_.find(id);
        if (entry == calls_.end()) continue;
        ++counters_.refused;
        CallerLink* const link = entry->second.link;
        const std::string service_class = entry->second.service_class;
        abandon(entry);  // reports the end to the decision module
        refuse_or_fail(link, id, service_class, ReleaseReason::refused);
    }
}

}  // namespace nettlestall::calls
