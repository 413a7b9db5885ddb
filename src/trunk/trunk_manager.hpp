// Connects the trunk signalling with the call table. To the call table a circuit group is an exchange that it
// sends set-ups to, and the far hubs' calls are set-ups like any caller's. Keeps which call is on which group
// under which reference. No socket and no clock of its own: a function yields the time, bytes go through the
// sessions, and the host runs the timers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "calls/signals.hpp"
#include "trunk/group.hpp"
#include "trunk/session.hpp"

namespace nettlestall::trunk {

// A circuit group of this hub: its far end and its rules.
struct GroupSettings {
    std::uint32_t id = 0;      // the same at both ends
    ExchangeId exchange{};     // the far hub's id in the call table
    int number = kNoExchange;  // the far hub's exchange number
    std::string zone{};        // of the far hub
    GroupRules rules{};
};

// A standing call as the ledger has it.
struct LedgerCall {
    std::uint32_t group = 0;
    Claim claim{};
    CallId call{};
    bool outgoing = false;
    ExchangeId exchange{};  // of an incoming call: the exchange that it was routed to
    std::string origin{};   // of an outgoing call: the origin of its caller's connection
    bool operator==(const LedgerCall&) const = default;
};

// What outlives the process: standing calls and blocked circuits. A call is stored before the far end learns
// that it is answered. Each circuit has one entry, which belongs to the last call stored for it; an earlier
// call that has lost an entry in this way no longer counts.
class Ledger {
   public:
    virtual ~Ledger() = default;
    virtual void store_call(const LedgerCall& call) = 0;
    // Removes the entries that still belong to the call.
    virtual void remove_call(std::uint32_t group, const Claim& claim) = 0;
    // Stores how this end blocks a circuit; Blocking::none: it is not blocked.
    virtual void store_blocking(std::uint32_t group, CircuitNumber circuit, Blocking blocking) = 0;
};

// Events on all groups since the start.
struct TrunkManagerCounts {
    std::uint64_t offered = 0;  // calls that far hubs have set up
    // Calls that were released because only the group, or only the call table, had them.
    std::uint64_t only_in_group = 0, only_in_table = 0;
};

// All circuit groups of this hub.
class TrunkManager final : public Switches {
   public:
    using Clock = std::function<Instant()>;  // the present time

    class Trunk;  // one circuit group and its link

    // `own_number` is this hub's exchange number. `callers`, `switches` and `table` are the call table; all
    // must outlive this object.
    TrunkManager(int own_number, Clock now, CallerEvents& callers, SwitchEvents& switches,
                 const CallTable& table);
    ~TrunkManager();

    // Only before begin().
    Trunk& add(const GroupSettings& settings);
    // To be called once all groups are added, before anything else. `incarnation` must differ from one start
    // to the next. With a null ledger nothing is stored.
    void begin(std::uint32_t incarnation, Ledger* ledger);
    // All groups, ordered by id.
    std::vector<Trunk*> trunks() const;
    // Null if there is no such group.
    Trunk* find(std::uint32_t group) const;

    // Adds a carrier switch that serves this hub's own subscriber lines: calls end there, and it is no
    // tandem.
    void add_subscriber_lines(const ListedExchange& lines);
    // A list of exchanges with the far hubs of the groups, which have no address, and this hub's own
    // subscriber lines added. Entries that the list itself has for these exchanges are removed, also from a
    // list of changes, to which nothing is added.
    ListEvent with_far_hubs(ListEvent event) const;

    // The successor process has the ledger and the calls from now on: nothing is stored, and no timer runs
    // here.
    void hand_over();

    // Restores the calls of a ledger: their groups claim them, and `restore_in_table` is called for each,
    // with a null link for an outgoing call. Calls that contradict each other, or the groups as they are now,
    // are left out. Returns the number of calls restored.
    std::size_t restore(const std::vector<LedgerCall>& calls,
                        const std::function<void(const LedgerCall&, CallerLink*)>& restore_in_table);
    // Restores how this end blocks a circuit; ignored if there is no such group or circuit.
    void restore_blocked(std::uint32_t group, CircuitNumber circuit, Blocking blocking);

    // Switches: the call table's commands about calls to the far hub `exchange`. Ignored if no group leads
    // there.
    void set_up(const ExchangeId& exchange, const OutgoingSetUp& request) override;
    void cancel(const ExchangeId& exchange, const CallId& call) override;
    void release(const ExchangeId& exchange, const CallId& call) override;

    // `schedule` is called with the time at which run_timers() is needed, whenever that may have become
    // earlier.
    void on_schedule(std::function<void(Instant)> schedule) { schedule_ = std::move(schedule); }
    // `output` is called when a group's session has bytes to write.
    void on_output(std::function<void(Trunk&)> output) { output_ = std::move(output); }
    // `freed` is called when an audit frees a circuit.
    void on_freed(std::function<void(const Trunk&, const FreedByAudit&)> freed) { freed_ = std::move(freed); }
    // `glare_lost` is called when a set-up of this hub loses a dual seizure.
    void on_glare_lost(std::function<void(const Trunk&, const CallId&)> glare_lost) {
        glare_lost_ = std::move(glare_lost);
    }
    // Runs the timers that have expired, of all groups.
    void run_timers();
    // When the next timer expires; Instant::max() if none is running.
    Instant next_timer() const;
    const TrunkManagerCounts& counts() const { return counts_; }

   private:
    friend class Trunk;

    int own_number_;
    Clock now_;
    CallerEvents& callers_;
    SwitchEvents& switches_;
    const CallTable& table_;
    Ledger* ledger_ = nullptr;
    std::function<void(Instant)> schedule_;
    std::function<void(Trunk&)> output_;
    std::function<void(const Trunk&, const FreedByAudit&)> freed_;
    std::function<void(const Trunk&, const CallId&)> glare_lost_;
    std::map<std::uint32_t, std::unique_ptr<Trunk>> trunks_;  // by group id
    std::map<ExchangeId, Trunk*> by_exchange_;                // by the far hub's id
    std::vector<ListedExchange> lines_;                       // this hub's own subscriber lines
    bool handed_over_ = false;
    TrunkManagerCounts counts_;
};

// One circuit group with its link, and the references of the calls on it. To the call table it is also the
// connection on which the far hub's calls arrive.
class TrunkManager::Trunk final : public CallerLink, public LinkEvents {
   public:
    Trunk(TrunkManager& manager, const GroupSettings& settings);

    const GroupSettings& settings() const { return settings_; }
    const Group& group() const { return group_; }
    const Session& session() const { return session_; }
    // The bytes to write to the connection; they are removed from the session.
    std::string take_output() { return session_.take_output(); }

    // The connection, as its driver reports it. receive_bytes() returns false if the connection is to be
    // closed once the output is written.
    void connected();
    bool receive_bytes(std::string_view bytes);
    void disconnected();
    void send_heartbeat();

    // Operators' commands.
    void block(const CircuitList& circuits, Blocking blocking);
    void reset(const CircuitList& circuits);
    void audit();
    // Applies the time limits and audit rules of reloaded settings.
    void update_timers(const GroupRules& rules);
    // For tests and the lab: see Group::inject_memory_loss().
    void inject_memory_loss(CallRef ref);

    // The reference of a call on this group; kNoCall if the call is not on it.
    CallRef ref_of(const CallId& call) const;

    // CallerLink: what the call table decides about the far hub's calls.
    bool answer(const CallId& call, Description description) override;
    void release(const CallId& call, ReleaseReason reason) override;
    std::string_view origin() const override { return origin_; }

    // LinkEvents.
    void link_up(bool resumed) override;
    const char* received(const Message& message) override;

   private:
    friend class TrunkManager;

    void set_up(const OutgoingSetUp& request);
    void release_outgoing(const CallId& call, Reason reason);
    bool restore(const LedgerCall& call);
    // Releases calls that only the group or only the call table has.
    void reconcile_with_table();
    void run_timers();

    // Carries out effects: first what goes to the far end and into the ledger, in order, and only then the
    // events for the call table. Messages that the call table causes in turn thus follow the earlier ones.
    void carry_out(Effects effects);
    void notify_table(const Offered& effect);
    void notify_table(const Answered& effect);
    void notify_table(const Ended& effect);
    void report_state();  // reports the number of free circuits to the call table if it has changed

    TrunkManager& manager_;
    GroupSettings settings_;
    std::string origin_;
    Group group_;
    Session session_;
    std::map<CallId, CallRef> outgoing_, incoming_;  // calls on the group, by which end seized the circuits
    int reported_free_ = -1;                         // negative: nothing reported yet
    Instant last_reconciled_{};
};

}  // namespace nettlestall::trunk
