// One hub of the lab: the real decision module, call table and trunk signalling, on the virtual clock. Its
// callers and subscriber lines are simulated; they go on when the hub's process crashes.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "calls/gatekeeper.hpp"
#include "calls/routes.hpp"
#include "lab/link.hpp"
#include "lab/simulation.hpp"
#include "trunk/trunk_manager.hpp"

namespace nettlestall::lab {

// The state of one call as its caller and its line see it. The states of the hubs are compared with it.
struct CallRecord {
    int from = 0, to = 0;  // numbers of the hubs
    Instant placed{};
    // `finished`: the caller has hung up, was rejected or cut, or lost its connection in a crash.
    enum class CallerState { waiting, connected, finished } caller = CallerState::waiting;
    bool line_connected = false;
    bool cancelled = false;  // by its caller, before an answer
    bool damaged = false;    // a crash or a fault has removed state that one of its hubs needs
    int final_answers = 0;   // answers and rejections that the caller received
    // True while the call is answered at both ends and no fault has damaged it.
    bool is_intact() const { return caller == CallerState::connected && line_connected && !damaged; }
};

// All calls of an experiment, and counters of them; all hubs share it. Double answers are final answers
// beyond the first of a call. Calls that were cut, and circuits that an audit freed, count only if the call
// was intact.
struct GroundTruth {
    std::map<CallId, CallRecord> calls;
    std::uint64_t double_answers = 0, cut_calls = 0, answered = 0, live_cut_by_audit = 0;
    std::uint64_t live_at_crash = 0, survived_crash = 0;
    std::uint64_t offered = 0;
    double circuit_seconds = 0;
};

// A circuit ledger in memory. Like a file, it survives a crash of the hub's process.
class MemoryLedger final : public trunk::Ledger {
   public:
    void store_call(const trunk::LedgerCall& call) override {
        for (const trunk::CircuitNumber n : call.claim.circuits) circuits_held[call.group][n] = call;
    }
    void remove_call(std::uint32_t group, const trunk::Claim& claim) override {
        std::erase_if(circuits_held[group],
                      [&](const auto& held) { return held.second.claim.call == claim.call; });
    }
    void store_blocking(std::uint32_t group, trunk::CircuitNumber circuit,
                        trunk::Blocking blocking) override {
        blocked[{group, circuit}] = blocking;
    }
    std::map<std::uint32_t, std::map<trunk::CircuitNumber, trunk::LedgerCall>> circuits_held;
    std::map<std::pair<std::uint32_t, trunk::CircuitNumber>, trunk::Blocking> blocked;
};

struct HubSettings {
    int number = 0;  // from 0
    int hub_count = 2;
    std::vector<trunk::GroupSettings> groups;
    Duration mean_holding_time{};  // of answered calls
    Duration caller_time_limit{};  // callers wait that long for an answer
    double wide_share = 0.0;       // share of wide calls
    int wide_width = 3;            // circuits that a wide call takes
};

// The hub. All references that it is given must outlive it.
class Hub {
   public:
    Hub(Simulation& simulation, Random& random, GroundTruth& truth, HubSettings settings);
    ~Hub();

    // This hub's end of the link of that group, and the link itself, to be attached before start().
    LinkEnd& link_end(std::uint32_t group);
    void attach_link(std::uint32_t group, Link& link);
    // Starts a process, which records its calls in the ledger and restores those that it has if
    // `with_ledger`.
    void start(bool with_ledger);
    // Ends the process without notice. Its connections close.
    void crash();
    // The process does nothing for that long; events wait until then.
    void stall(Duration length) { stalled_until_ = std::max(stalled_until_, simulation_.now() + length); }
    // True while there is a process, stalled or not.
    bool is_running() const { return process_ != nullptr; }
    bool is_stalled() const { return simulation_.now() < stalled_until_; }

    // A caller of this hub calls a number of hub `to`. Nothing happens if the hub is stalled or not running.
    void place_call(int to, bool wide);
    // Sets the function that lets the line of a call at another hub hang up; it gets the hub's number and the
    // call.
    void on_far_line_release(std::function<void(int, const CallId&)> release) {
        release_far_line_ = std::move(release);
    }
    // The line of this hub that has the call hangs up.
    void release_by_line(const CallId& call);

    // Both return nullptr while no process is running.
    trunk::TrunkManager* trunk_manager();
    const Counters* counters() const;

   private:
    struct Process;
    class GroupEnd;
    class CallerStub;
    class LineStub;

    // Runs the task now, or when the hub no longer stalls; drops it if the process has ended by then.
    void run_when_responsive(std::function<void()> task);
    // The caller of this hub that has the call hangs up.
    void release_by_caller(const CallId& call);
    // What the caller receives: an answer, and a rejection or release.
    void handle_answer(const CallId& call);
    void handle_release(const CallId& call, ReleaseReason reason);
    // Offers the call to a subscriber line.
    void set_up_line(const CallId& call);
    void report_free_lines();

    Simulation& simulation_;
    Random& random_;
    GroundTruth& truth_;
    HubSettings settings_;
    MemoryLedger ledger_;
    std::map<std::uint32_t, std::unique_ptr<GroupEnd>> group_ends_;
    std::unique_ptr<Process> process_;
    std::uint32_t incarnation_ = 0;
    bool uses_ledger_ = false;  // this incarnation records its calls in the ledger
    Instant stalled_until_{};
    // Releases by callers and lines while no process was running; the next incarnation receives them.
    std::vector<CallId> pending_caller_releases_;
    std::vector<CallId> pending_line_releases_;
    std::uint64_t calls_placed_ = 0;
    std::function<void(int, const CallId&)> release_far_line_;
};

}  // namespace nettlestall::lab
