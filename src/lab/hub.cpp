#include "lab/hub.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace nettlestall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kBeat = seconds(1), kSilence = seconds(3);
constexpr Duration kAnswerLeast = milliseconds(40), kAnswerMost = milliseconds(250);
constexpr int kLineCircuits = 1000;
const ExchangeId kLines = "lines";

// Wakes up once at the earliest moment that was asked for.
class Alarm {
   public:
    explicit Alarm(Simulation& simulation, std::function<void(std::function<void()>)> run)
        : simulation_(simulation), run_(std::move(run)) {}
    void on_ring(std::function<void()> ring) { ring_ = std::move(ring); }
    void set(Instant at) {
        if (at >= armed_) return;
        armed_ = at;
        simulation_.at(at, [this, at, alive = std::weak_ptr(alive_)] {
            if (alive.expired() || at != armed_) return;
            run_([this, alive] {
                if (alive.expired()) return;
                armed_ = Instant::max();
                ring_();
            });
        });
    }

   private:
    Simulation& simulation_;
    std::function<void(std::function<void()>)> run_;
    std::function<void()> ring_;
    Instant armed_ = Instant::max();
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

Settings module_settings(const HubSettings& hub) {
    Settings s;
    s.controls = hub.hubs;
    s.max_attempts = 5;
    s.release_wait = milliseconds(300);
    s.drain_grace = milliseconds(500);
    for (const bool wide : {false, true}) {
        ClassSettings c;
        c.name = wide ? "live-board" : "move";
        c.worth = wide ? 3.0 : 1.0;
        c.width = wide ? hub.wide : 1;
        c.aim = seconds(2);
        c.deadline = hub.patience;
        c.holding_time = hub.holding;
        s.classes.push_back(c);
    }
    return s;
}

}  // namespace

// ---- What lives beside the process -------------------------------------------------------------------

class Hub::End final : public WireEnd {
   public:
    End(Hub& hub, std::uint32_t group) : hub_(hub), group_(group) {}

    Wire* wire = nullptr;

    bool reachable() const override { return hub_.alive() && !hub_.stalled(); }
    void connected() override {
        up_ = true;
        heard_ = hub_.simulation_.now();
        if (auto* trunk = hub_.front()->find(group_)) trunk->connected();
        watch(++watch_);
    }
    void arrived(std::string bytes) override {
        hub_.do_awake([this, bytes = std::move(bytes), watch = watch_] {
            if (!up_ || watch != watch_) return;
            heard_ = hub_.simulation_.now();
            if (auto* trunk = hub_.front()->find(group_); !trunk->receive_bytes(bytes)) lose();
        });
    }
    void broken() override {
        hub_.do_awake([this, watch = watch_] {
            if (up_ && watch == watch_) lose();
        });
    }
    void flush(trunk::TrunkManager::Trunk& trunk) {
        if (wire) wire->write(*this, trunk.take_output());
    }
    void gone() { up_ = false; }  // the process has crashed

   private:
    void lose() {
        up_ = false;
        wire->hang_up(*this);
        hub_.front()->find(group_)->disconnected();
    }
    void watch(std::uint64_t which) {
        hub_.simulation_.after(kBeat, [this, which] {
            hub_.do_awake([this, which] {
                if (!up_ || which != watch_) return;
                if (hub_.simulation_.now() - heard_ >= kSilence) return lose();
                hub_.front()->find(group_)->send_heartbeat();
                watch(which);
            });
        });
    }

    Hub& hub_;
    std::uint32_t group_;
    bool up_ = false;
    Instant heard_{};
    std::uint64_t watch_ = 0;
};

class Hub::Callers final : public CallerLink {
   public:
    explicit Callers(Hub& hub) : hub_(hub) {}
    void answer(const CallId& call, Description) override { hub_.heard_answer(call); }
    void release(const CallId& call, ReleaseReason ending) override { hub_.heard_release(call, ending); }
    std::string_view origin() const override { return "callers"; }

   private:
    Hub& hub_;
};

// The lines of the hub: every number answers, is busy, fails or stays silent as chance has it.
class Hub::Lines final : public Switches {
   public:
    explicit Lines(Hub& hub) : hub_(hub) {}
    void set_up(const ExchangeId&, const OutgoingSetUp& forward) override { hub_.line_set_up(forward.call); }
    void cancel(const ExchangeId&, const CallId& call) override { hang_up(call); }
    void release(const ExchangeId&, const CallId& call) override { hang_up(call); }

   private:
    void hang_up(const CallId& call) {
        hub_.truth_.calls[call].line_stands = false;
        hub_.simulation_.after({}, [&hub = hub_] { hub.do_awake([&hub] { hub.lines_tell_room(); }); });
    }
    Hub& hub_;
};

struct Hub::Process {
    explicit Process(Hub& hub)
        : lines(hub),
          routes(lines),
          gatekeeper(module_settings(hub.settings_), hub.life_, [&hub] { return hub.simulation_.now(); },
                     routes, counters, {}),
          front(
              hub.settings_.number, [&hub] { return hub.simulation_.now(); }, gatekeeper, gatekeeper,
              gatekeeper),
          callers(hub),
          calls_alarm(hub.simulation_, [&hub](std::function<void()> work) { hub.do_awake(std::move(work)); }),
          trunk_alarm(hub.simulation_,
                      [&hub](std::function<void()> work) { hub.do_awake(std::move(work)); }) {
        calls_alarm.on_ring([this] { gatekeeper.run_timers(); });
        trunk_alarm.on_ring([this] { front.run_timers(); });
        gatekeeper.set_timer_handler([this](Instant at) { calls_alarm.set(at); });
        front.on_schedule([this](Instant at) { trunk_alarm.set(at); });
    }

    Counters counters;
    Lines lines;
    calls::Routes routes;
    calls::Gatekeeper gatekeeper;
    trunk::TrunkManager front;
    Callers callers;
    Alarm calls_alarm, trunk_alarm;
};

// ---- The hub -----------------------------------------------------------------------------------------

Hub::Hub(Simulation& simulation, Chance& chance, Truth& truth, HubSettings settings)
    : simulation_(simulation), chance_(chance), truth_(truth), settings_(std::move(settings)) {
    for (const trunk::GroupSettings& group : settings_.groups)
        ends_[group.id] = std::make_unique<End>(*this, group.id);
}

Hub::~Hub() = default;

WireEnd& Hub::end(std::uint32_t group) {
    return *ends_.at(group);
}

void Hub::connect(std::uint32_t group, Wire& wire) {
    ends_.at(group)->wire = &wire;
}

trunk::TrunkManager* Hub::front() {
    return process_ ? &process_->front : nullptr;
}

const Counters* Hub::counters() const {
    return process_ ? &process_->counters : nullptr;
}

void Hub::do_awake(std::function<void()> work) {
    if (!process_) return;
    if (!stalled()) return work();
    simulation_.at(stalled_until_, [this, life = life_, work = std::move(work)]() mutable {
        if (process_ && life == life_) do_awake(std::move(work));
    });
}

void Hub::start(bool with_ledger) {
    ++life_;
    stalled_until_ = {};
    process_ = std::make_unique<Process>(*this);
    Process& p = *process_;
    p.front.on_output(
        [this](trunk::TrunkManager::Trunk& trunk) { ends_.at(trunk.settings().id)->flush(trunk); });
    p.front.on_freed([this](const trunk::TrunkManager::Trunk&, const trunk::FreedByAudit& freed) {
        const auto at = truth_.calls.find(freed.call);
        if (at != truth_.calls.end() && at->second.live()) ++truth_.live_cut_by_audit;
    });
    ListEvent list{.number = 1, .has_list = true, .kind = ListKind::remembered, .version = 1, .entries = {}};
    ListedExchange& lines = list.entries.emplace_back();
    lines.entry.exchange = kLines;
    lines.entry.number = settings_.number;
    lines.entry.lines_only = true;
    for (const trunk::GroupSettings& group : settings_.groups)
        p.routes.add_route(p.front.add(group).settings().exchange, p.front);
    p.front.begin(life_, with_ledger ? &ledger_ : nullptr);
    p.gatekeeper.apply_list(p.front.with_far_hubs(list));
    lines_tell_room();
    if (with_ledger) {
        std::vector<trunk::LedgerCall> calls;
        for (const auto& [group, places] : ledger_.places)
            for (trunk::LedgerCall& call : trunk::complete_calls(places)) calls.push_back(std::move(call));
        p.front.restore(calls, [&p](const trunk::LedgerCall& known, CallerLink* link) {
            const ExchangeId at =
                known.outgoing ? p.front.find(known.group)->settings().exchange : known.exchange;
            p.gatekeeper.accept_standing(at, known.call, known.origin, link);
        });
    }
    // Callers and lines that stand here have nobody left who would tell them of an end.
    if (!with_ledger || !std::exchange(remembers_, true)) {
        if (!with_ledger) ledger_.places.clear();
        remembers_ = with_ledger;
        for (auto& [id, call] : truth_.calls)
            if (call.from == settings_.number || call.to == settings_.number) call.damaged = true;
    }
    p.gatekeeper.on_caller_connected(p.callers);
    for (const CallId& call : std::exchange(caller_releases_, {})) caller_hangs_up(call);
    for (const CallId& call : std::exchange(line_ends_, {})) line_hangs_up(call);
}

void Hub::crash() {
    if (!process_) return;
    for (auto& [id, call] : truth_.calls) {
        if (call.from != settings_.number || call.caller != TrueCall::Caller::waits) continue;
        call.caller = TrueCall::Caller::over;  // its connection is reset; nothing is owed any more
        call.damaged = true;
    }
    process_.reset();
    for (auto& [group, end] : ends_) end->gone(), end->wire->hang_up(*end);
}

// ---- Callers -----------------------------------------------------------------------------------------

void Hub::place_call(int to, bool wide) {
    if (!process_ || stalled()) return;  // callers reach only a process that takes them
    char id[17];
    std::snprintf(id, sizeof id, "%04x%012llx", settings_.number + 1,
                  static_cast<unsigned long long>(++placed_));
    const CallId call = id;
    TrueCall& known = truth_.calls[call];
    known.from = settings_.number;
    known.to = to;
    known.placed = simulation_.now();
    ++truth_.offered;
    SetUpRequest offer;
    offer.call = call;
    offer.service_class = wide ? "live-board" : "move";
    offer.number = call;
    offer.description = "offer";
    offer.time_left = settings_.patience;
    offer.destination = to;
    offer.width = wide ? settings_.wide : 1;
    if (chance_.once_in(0.04)) {
        simulation_.after(chance_.between({}, milliseconds(300)), [this, call, life = life_] {
            do_awake([this, call, life] {
                TrueCall& waiting = truth_.calls[call];
                if (life != life_ || waiting.caller != TrueCall::Caller::waits) return;
                waiting.caller = TrueCall::Caller::over;
                waiting.given_up = true;
                process_->gatekeeper.on_release(process_->callers, call);
            });
        });
    }
    process_->gatekeeper.on_set_up(process_->callers, offer);
}

void Hub::heard_answer(const CallId& call) {
    TrueCall& known = truth_.calls[call];
    if (++known.finals > 1) ++truth_.answers_double;
    if (known.caller != TrueCall::Caller::waits) return;
    known.caller = TrueCall::Caller::stands;
    ++truth_.stood;
    const Duration holds = chance_.exponential(settings_.holding);
    const bool caller_ends = chance_.once_in(0.5);
    const int to = known.to;
    simulation_.after(holds, [this, call, caller_ends, to] {
        caller_ends || to == settings_.number ? caller_hangs_up(call) : line_ends_by_(to, call);
    });
}

void Hub::heard_release(const CallId& call, ReleaseReason ending) {
    TrueCall& known = truth_.calls[call];
    if (ending == ReleaseReason::refused || ending == ReleaseReason::failed) {
        if (++known.finals > 1) ++truth_.answers_double;
    } else if (ending == ReleaseReason::cut && known.live()) {
        ++truth_.cut;
    }
    known.caller = TrueCall::Caller::over;
}

void Hub::caller_hangs_up(const CallId& call) {
    TrueCall& known = truth_.calls[call];
    if (known.caller != TrueCall::Caller::stands) return;
    if (!process_) return caller_releases_.push_back(call);
    if (stalled()) return simulation_.at(stalled_until_, [this, call] { caller_hangs_up(call); });
    known.caller = TrueCall::Caller::over;
    process_->gatekeeper.on_release(process_->callers, call);
}

// ---- Lines -------------------------------------------------------------------------------------------

void Hub::line_set_up(const CallId& call) {
    const double fate = chance_.share();
    if (fate > 0.98) return;  // no answer ever comes
    simulation_.after(chance_.between(kAnswerLeast, kAnswerMost), [this, call, fate, life = life_] {
        do_awake([this, call, fate, life] {
            if (life != life_) return;
            const ExchangeId* at = process_->gatekeeper.exchange_of(call);
            if (!at || *at != kLines) return;
            if (fate > 0.95)
                return process_->gatekeeper.on_call_ended(kLines, call, Outcome::failed, Cause::none, {});
            if (fate > 0.90)
                return process_->gatekeeper.on_call_ended(kLines, call, Outcome::turned_back,
                                                          Cause::processor_full, {});
            truth_.calls[call].line_stands = true;
            process_->gatekeeper.on_answer(kLines, call, "answer");
        });
    });
}

void Hub::line_hangs_up(const CallId& call) {
    TrueCall& known = truth_.calls[call];
    if (!known.line_stands) return;
    if (!process_) return line_ends_.push_back(call);
    if (stalled()) return simulation_.at(stalled_until_, [this, call] { line_hangs_up(call); });
    known.line_stands = false;
    process_->gatekeeper.on_call_ended(kLines, call, Outcome::ended, Cause::none, {});
    lines_tell_room();
}

// Lines say how many are free whenever one falls free, as carrier switches do; there are always enough.
void Hub::lines_tell_room() {
    LoadReport room;
    room.free_circuits = room.group_size = kLineCircuits;
    process_->gatekeeper.on_group_state(kLines, room);
}

}  // namespace nettlestall::lab
