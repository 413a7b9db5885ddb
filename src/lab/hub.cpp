#include "lab/hub.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace nettlestall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A link on which nothing arrives for kSilenceTimeout is closed.
constexpr Duration kHeartbeatInterval = seconds(1), kSilenceTimeout = seconds(3);
// How long a line takes to answer, reject or fail.
constexpr Duration kAnswerDelayMin = milliseconds(40), kAnswerDelayMax = milliseconds(250);
constexpr int kLineCount = 1000;  // more than ever are in use
const ExchangeId kLinesExchange = "lines";

// Expires once, at the earliest time that was set. `run` runs the expiry, at once or later; nothing runs
// after the timer is destroyed.
class Timer {
   public:
    explicit Timer(Simulation& simulation, std::function<void(std::function<void()>)> run)
        : simulation_(simulation), run_(std::move(run)) {}
    void on_expiry(std::function<void()> expire) { on_expiry_ = std::move(expire); }
    void set(Instant time) {
        if (time >= expiry_time_) return;
        expiry_time_ = time;
        simulation_.schedule_at(time, [this, time, lifetime = std::weak_ptr(lifetime_)] {
            if (lifetime.expired() || time != expiry_time_) return;
            run_([this, lifetime] {
                if (lifetime.expired()) return;
                expiry_time_ = Instant::max();
                on_expiry_();
            });
        });
    }

   private:
    Simulation& simulation_;
    std::function<void(std::function<void()>)> run_;
    std::function<void()> on_expiry_;
    Instant expiry_time_ = Instant::max();
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

// Settings of the decision module, with the service classes `move` and `live-board` (wide calls).
Settings decision_settings(const HubSettings& hub) {
    Settings settings;
    settings.call_control_count = hub.hub_count;
    settings.max_attempts = 5;
    settings.release_wait = milliseconds(300);
    settings.drain_grace = milliseconds(500);
    for (const bool wide : {false, true}) {
        ClassSettings service_class;
        service_class.name = wide ? "live-board" : "move";
        service_class.worth = wide ? 3.0 : 1.0;
        service_class.width = wide ? hub.wide_width : 1;
        service_class.aim = seconds(2);
        service_class.deadline = hub.caller_time_limit;
        service_class.holding_time = hub.mean_holding_time;
        settings.classes.push_back(service_class);
    }
    return settings;
}

}  // namespace

// ---- Parts that outlive the process ------------------------------------------------------------------

// This hub's end of a link: connects it with the trunk signalling and monitors heartbeats.
class Hub::GroupEnd final : public LinkEnd {
   public:
    GroupEnd(Hub& hub, std::uint32_t group) : hub_(hub), group_(group) {}

    Link* link = nullptr;

    bool can_connect() const override { return hub_.is_running() && !hub_.is_stalled(); }
    void on_connected() override {
        connected_ = true;
        last_received_ = hub_.simulation_.now();
        if (auto* trunk = hub_.trunk_manager()->find(group_)) trunk->connected();
        watch_heartbeats(++connection_);
    }
    void on_received(std::string bytes) override {
        hub_.run_when_responsive([this, bytes = std::move(bytes), connection = connection_] {
            if (!connected_ || connection != connection_) return;
            last_received_ = hub_.simulation_.now();
            if (auto* trunk = hub_.trunk_manager()->find(group_); !trunk->receive_bytes(bytes)) close();
        });
    }
    void on_closed() override {
        hub_.run_when_responsive([this, connection = connection_] {
            if (connected_ && connection == connection_) close();
        });
    }
    // Sends what the trunk signalling has to send.
    void flush(trunk::TrunkManager::Trunk& trunk) {
        if (link) link->send(*this, trunk.take_output());
    }
    void on_process_crashed() { connected_ = false; }

   private:
    void close() {
        connected_ = false;
        link->close(*this);
        hub_.trunk_manager()->find(group_)->disconnected();
    }
    // Sends heartbeats, and closes the connection if nothing arrives for kSilenceTimeout.
    void watch_heartbeats(std::uint64_t connection) {
        hub_.simulation_.schedule_after(kHeartbeatInterval, [this, connection] {
            hub_.run_when_responsive([this, connection] {
                if (!connected_ || connection != connection_) return;
                if (hub_.simulation_.now() - last_received_ >= kSilenceTimeout) return close();
                hub_.trunk_manager()->find(group_)->send_heartbeat();
                watch_heartbeats(connection);
            });
        });
    }

    Hub& hub_;
    std::uint32_t group_;
    bool connected_ = false;
    Instant last_received_{};
    std::uint64_t connection_ = 0;
};

// The callers' connection: passes answers and releases on to the hub.
class Hub::CallerStub final : public CallerLink {
   public:
    explicit CallerStub(Hub& hub) : hub_(hub) {}
    bool answer(const CallId& call, Description) override { return hub_.handle_answer(call), true; }
    void release(const CallId& call, ReleaseReason reason) override { hub_.handle_release(call, reason); }
    std::string_view origin() const override { return "callers"; }

   private:
    Hub& hub_;
};

// The subscriber lines of the hub, as a carrier switch.
class Hub::LineStub final : public Switches {
   public:
    explicit LineStub(Hub& hub) : hub_(hub) {}
    void set_up(const ExchangeId&, const OutgoingSetUp& request) override { hub_.set_up_line(request.call); }
    void cancel(const ExchangeId&, const CallId& call) override { hang_up(call); }
    void release(const ExchangeId&, const CallId& call) override { hang_up(call); }

   private:
    void hang_up(const CallId& call) {
        hub_.truth_.calls[call].line_connected = false;
        hub_.simulation_.schedule_after(
            {}, [&hub = hub_] { hub.run_when_responsive([&hub] { hub.report_free_lines(); }); });
    }
    Hub& hub_;
};

// The state that a crash destroys.
struct Hub::Process {
    explicit Process(Hub& hub)
        : lines(hub),
          routes(lines),
          gatekeeper(decision_settings(hub.settings_), hub.incarnation_,
                     [&hub] { return hub.simulation_.now(); }, routes, counters, {}),
          trunk_manager(
              hub.settings_.number, [&hub] { return hub.simulation_.now(); }, gatekeeper, gatekeeper,
              gatekeeper),
          callers(hub),
          call_timer(hub.simulation_,
                     [&hub](std::function<void()> task) { hub.run_when_responsive(std::move(task)); }),
          trunk_timer(hub.simulation_,
                      [&hub](std::function<void()> task) { hub.run_when_responsive(std::move(task)); }) {
        call_timer.on_expiry([this] { gatekeeper.run_timers(); });
        trunk_timer.on_expiry([this] { trunk_manager.run_timers(); });
        gatekeeper.set_timer_handler([this](Instant time) { call_timer.set(time); });
        trunk_manager.on_schedule([this](Instant time) { trunk_timer.set(time); });
    }

    Counters counters;
    LineStub lines;
    calls::Routes routes;
    calls::Gatekeeper gatekeeper;
    trunk::TrunkManager trunk_manager;
    CallerStub callers;
    Timer call_timer, trunk_timer;
};

// ---- The hub -----------------------------------------------------------------------------------------

Hub::Hub(Simulation& simulation, Random& random, GroundTruth& truth, HubSettings settings)
    : simulation_(simulation), random_(random), truth_(truth), settings_(std::move(settings)) {
    for (const trunk::GroupSettings& group : settings_.groups)
        group_ends_[group.id] = std::make_unique<GroupEnd>(*this, group.id);
}

Hub::~Hub() = default;

LinkEnd& Hub::link_end(std::uint32_t group) {
    return *group_ends_.at(group);
}

void Hub::attach_link(std::uint32_t group, Link& link) {
    group_ends_.at(group)->link = &link;
}

trunk::TrunkManager* Hub::trunk_manager() {
    return process_ ? &process_->trunk_manager : nullptr;
}

const Counters* Hub::counters() const {
    return process_ ? &process_->counters : nullptr;
}

void Hub::run_when_responsive(std::function<void()> task) {
    if (!process_) return;
    if (!is_stalled()) return task();
    simulation_.schedule_at(stalled_until_,
                            [this, incarnation = incarnation_, task = std::move(task)]() mutable {
                                if (process_ && incarnation == incarnation_)
                                    run_when_responsive(std::move(task));
                            });
}

void Hub::start(bool with_ledger) {
    ++incarnation_;
    stalled_until_ = {};
    process_ = std::make_unique<Process>(*this);
    Process& process = *process_;
    process.trunk_manager.on_output(
        [this](trunk::TrunkManager::Trunk& trunk) { group_ends_.at(trunk.settings().id)->flush(trunk); });
    process.trunk_manager.on_freed(
        [this](const trunk::TrunkManager::Trunk&, const trunk::FreedByAudit& freed) {
            const auto entry = truth_.calls.find(freed.call);
            if (entry != truth_.calls.end() && entry->second.is_intact()) ++truth_.live_cut_by_audit;
        });
    ListEvent list{.number = 1, .has_list = true, .kind = ListKind::cached, .version = 1, .entries = {}};
    ListedExchange& lines = list.entries.emplace_back();
    lines.entry.exchange = kLinesExchange;
    lines.entry.number = settings_.number;
    lines.entry.never_tandem = true;
    for (const trunk::GroupSettings& group : settings_.groups)
        process.routes.add_route(process.trunk_manager.add(group).settings().exchange, process.trunk_manager);
    process.trunk_manager.begin(incarnation_, with_ledger ? &ledger_ : nullptr);
    process.gatekeeper.apply_list(process.trunk_manager.with_far_hubs(list));
    report_free_lines();
    if (with_ledger) {
        std::vector<trunk::LedgerCall> calls;
        for (const auto& [group, circuits_held] : ledger_.circuits_held)
            for (trunk::LedgerCall& call : trunk::complete_calls(circuits_held))
                calls.push_back(std::move(call));
        process.trunk_manager.restore(calls, [&process](const trunk::LedgerCall& record, CallerLink* link) {
            const ExchangeId exchange = record.outgoing
                                            ? process.trunk_manager.find(record.group)->settings().exchange
                                            : record.exchange;
            process.gatekeeper.accept_standing(exchange, record.call, {.origin = record.origin}, link);
        });
    }
    // This process has no ledger, or one that the previous process did not write: it does not know that
    // process's calls, so their callers and lines at this hub get no release.
    if (!with_ledger || !std::exchange(uses_ledger_, true)) {
        if (!with_ledger) ledger_.circuits_held.clear();
        uses_ledger_ = with_ledger;
        for (auto& [id, call] : truth_.calls)
            if (call.from == settings_.number || call.to == settings_.number) call.damaged = true;
    }
    process.gatekeeper.on_caller_connected(process.callers);
    for (const CallId& call : std::exchange(pending_caller_releases_, {})) release_by_caller(call);
    for (const CallId& call : std::exchange(pending_line_releases_, {})) release_by_line(call);
}

void Hub::crash() {
    if (!process_) return;
    for (auto& [id, call] : truth_.calls) {
        if (call.from != settings_.number || call.caller != CallRecord::CallerState::waiting) continue;
        // The caller's connection is reset, so no final answer is expected any more.
        call.caller = CallRecord::CallerState::finished;
        call.damaged = true;
    }
    process_.reset();
    for (auto& [group, end] : group_ends_) end->on_process_crashed(), end->link->close(*end);
}

// ---- Callers -----------------------------------------------------------------------------------------

void Hub::place_call(int to, bool wide) {
    if (!process_ || is_stalled()) return;  // callers reach only a process that accepts connections
    char id[17];
    std::snprintf(id, sizeof id, "%04x%012llx", settings_.number + 1,
                  static_cast<unsigned long long>(++calls_placed_));
    const CallId call = id;  // the hub's number and a sequence number, in hexadecimal
    CallRecord& record = truth_.calls[call];
    record.from = settings_.number;
    record.to = to;
    record.placed = simulation_.now();
    ++truth_.offered;
    SetUpRequest request;
    request.call = call;
    request.service_class = wide ? "live-board" : "move";
    request.number = call;
    request.description = "offer";
    request.time_left = settings_.caller_time_limit;
    request.destination = to;
    request.width = wide ? settings_.wide_width : 1;
    // 4 % of the callers cancel within 300 ms, unless they have a final answer by then.
    if (random_.draw_bool(0.04)) {
        simulation_.schedule_after(
            random_.draw_between({}, milliseconds(300)), [this, call, incarnation = incarnation_] {
                run_when_responsive([this, call, incarnation] {
                    CallRecord& waiting = truth_.calls[call];
                    if (incarnation != incarnation_ || waiting.caller != CallRecord::CallerState::waiting)
                        return;
                    waiting.caller = CallRecord::CallerState::finished;
                    waiting.cancelled = true;
                    process_->gatekeeper.on_release(process_->callers, call);
                });
            });
    }
    process_->gatekeeper.on_set_up(process_->callers, request);
}

void Hub::handle_answer(const CallId& call) {
    CallRecord& record = truth_.calls[call];
    if (++record.final_answers > 1) ++truth_.double_answers;
    if (record.caller != CallRecord::CallerState::waiting) return;
    record.caller = CallRecord::CallerState::connected;
    ++truth_.answered;
    // Either the caller or the line hangs up, each in half of the cases; a call within the hub is always
    // ended by its caller.
    const Duration holding_time = random_.draw_exponential(settings_.mean_holding_time);
    const bool caller_ends = random_.draw_bool(0.5);
    const int to = record.to;
    simulation_.schedule_after(holding_time, [this, call, caller_ends, to] {
        caller_ends || to == settings_.number ? release_by_caller(call) : release_far_line_(to, call);
    });
}

void Hub::handle_release(const CallId& call, ReleaseReason reason) {
    CallRecord& record = truth_.calls[call];
    if (reason == ReleaseReason::refused || reason == ReleaseReason::failed) {
        if (++record.final_answers > 1) ++truth_.double_answers;
    } else if (reason == ReleaseReason::cut && record.is_intact()) {
        ++truth_.cut_calls;
    }
    record.caller = CallRecord::CallerState::finished;
}

void Hub::release_by_caller(const CallId& call) {
    CallRecord& record = truth_.calls[call];
    if (record.caller != CallRecord::CallerState::connected) return;
    if (!process_) return pending_caller_releases_.push_back(call);
    if (is_stalled())
        return simulation_.schedule_at(stalled_until_, [this, call] { release_by_caller(call); });
    record.caller = CallRecord::CallerState::finished;
    process_->gatekeeper.on_release(process_->callers, call);
}

// ---- Lines -------------------------------------------------------------------------------------------

// Of 100 calls, the lines answer 90, reject 5, fail 3 and do not respond to 2.
void Hub::set_up_line(const CallId& call) {
    const double outcome = random_.draw_unit();
    if (outcome > 0.98) return;  // no response
    simulation_.schedule_after(random_.draw_between(kAnswerDelayMin, kAnswerDelayMax),
                               [this, call, outcome, incarnation = incarnation_] {
                                   run_when_responsive([this, call, outcome, incarnation] {
                                       if (incarnation != incarnation_) return;
                                       const ExchangeId* exchange = process_->gatekeeper.exchange_of(call);
                                       if (!exchange || *exchange != kLinesExchange)
                                           return;  // no longer at the lines
                                       if (outcome > 0.95)
                                           return process_->gatekeeper.on_call_ended(
                                               kLinesExchange, call, Outcome::failed, Cause::none, {});
                                       if (outcome > 0.90)
                                           return process_->gatekeeper.on_call_ended(
                                               kLinesExchange, call, Outcome::rejected, Cause::processor_full,
                                               {});
                                       truth_.calls[call].line_connected = true;
                                       process_->gatekeeper.on_answer(kLinesExchange, call, "answer");
                                   });
                               });
}

void Hub::release_by_line(const CallId& call) {
    CallRecord& record = truth_.calls[call];
    if (!record.line_connected) return;
    if (!process_) return pending_line_releases_.push_back(call);
    if (is_stalled()) return simulation_.schedule_at(stalled_until_, [this, call] { release_by_line(call); });
    record.line_connected = false;
    process_->gatekeeper.on_call_ended(kLinesExchange, call, Outcome::ended, Cause::none, {});
    report_free_lines();
}

// Reports the number of free lines, as carrier switches do whenever a line becomes free. There are always
// enough.
void Hub::report_free_lines() {
    LoadReport report;
    report.free_circuits = report.group_size = kLineCount;
    process_->gatekeeper.on_group_state(kLinesExchange, report);
}

}  // namespace nettlestall::lab
