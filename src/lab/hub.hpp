// One hub of the lab: the real decision module, call table and trunk signalling, on the virtual clock. Its
// callers and its lines are stand-ins that live on when its process crashes.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "calls/gatekeeper.hpp"
#include "calls/routes.hpp"
#include "lab/simulation.hpp"
#include "lab/wire.hpp"
#include "trunk/trunk_manager.hpp"

namespace nettlestall::lab {

// What callers and lines know: the truth that the hubs' states are held against.
struct TrueCall {
    int from = 0, to = 0;
    Instant placed{};
    enum class Caller { waits, stands, over } caller = Caller::waits;
    bool line_stands = false;
    bool given_up = false;
    bool damaged = false;  // a crash or a fault has taken what its end needs to go on
    int finals = 0;        // final answers that the caller heard
    bool live() const { return caller == Caller::stands && line_stands && !damaged; }
};

struct Truth {
    std::map<CallId, TrueCall> calls;
    std::uint64_t answers_double = 0, cut = 0, stood = 0, live_cut_by_audit = 0;
    std::uint64_t live_at_crash = 0, survived_crash = 0;
    std::uint64_t offered = 0;
    double circuit_seconds = 0;
};

// Survives the process, as a disk does.
class MemoryLedger final : public trunk::Ledger {
   public:
    void store_call(const trunk::LedgerCall& call) override {
        for (const trunk::CircuitNumber n : call.claim.circuits) places[call.group][n] = call;
    }
    void remove_call(std::uint32_t group, const trunk::Claim& claim) override {
        std::erase_if(places[group],
                      [&](const auto& place) { return place.second.claim.call == claim.call; });
    }
    void store_blocking(std::uint32_t group, trunk::CircuitNumber circuit,
                        trunk::Blocking blocking) override {
        blocked[{group, circuit}] = blocking;
    }
    std::map<std::uint32_t, std::map<trunk::CircuitNumber, trunk::LedgerCall>> places;
    std::map<std::pair<std::uint32_t, trunk::CircuitNumber>, trunk::Blocking> blocked;
};

struct HubSettings {
    int number = 0, hubs = 2;
    std::vector<trunk::GroupSettings> groups;
    Duration holding{}, patience{};
    double wide_share = 0.0;
    int wide = 3;
};

class Hub {
   public:
    Hub(Simulation& simulation, Chance& chance, Truth& truth, HubSettings settings);
    ~Hub();

    WireEnd& end(std::uint32_t group);
    void connect(std::uint32_t group, Wire& wire);
    void start(bool with_ledger);
    void crash();
    void stall(Duration length) { stalled_until_ = std::max(stalled_until_, simulation_.now() + length); }
    bool alive() const { return process_ != nullptr; }
    bool stalled() const { return simulation_.now() < stalled_until_; }

    void place_call(int to, bool wide);
    // Who is told that a line of another hub hangs up.
    void on_line_end(std::function<void(int, const CallId&)> end) { line_ends_by_ = std::move(end); }
    void line_hangs_up(const CallId& call);

    trunk::TrunkManager* front();
    const Counters* counters() const;

   private:
    struct Process;
    class End;
    class Callers;
    class Lines;

    // Runs now, or once the hub no longer stalls; never in another life.
    void do_awake(std::function<void()> work);
    void caller_hangs_up(const CallId& call);
    void heard_answer(const CallId& call);
    void heard_release(const CallId& call, ReleaseReason ending);
    void line_set_up(const CallId& call);
    void lines_tell_room();

    Simulation& simulation_;
    Chance& chance_;
    Truth& truth_;
    HubSettings settings_;
    MemoryLedger ledger_;
    std::map<std::uint32_t, std::unique_ptr<End>> ends_;
    std::unique_ptr<Process> process_;
    std::uint32_t life_ = 0;
    bool remembers_ = false;  // this life notes its calls in the ledger
    Instant stalled_until_{};
    std::vector<CallId> caller_releases_;  // for the next life
    std::vector<CallId> line_ends_;
    std::uint64_t placed_ = 0;
    std::function<void(int, const CallId&)> line_ends_by_;
};

}  // namespace nettlestall::lab
