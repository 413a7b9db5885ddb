// The trunk signalling as the call table sees it: groups are exchanges that it sets up to, and the far hubs'
// calls are offers like any caller's. Keeps which call has which place on which group. Knows no socket and
// reads no clock: the time comes with `Clock`, bytes go through the sessions, and the host wakes it.
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

struct GroupSettings {
    std::uint32_t id = 0;
    ExchangeId exchange{};     // the far hub, as the call table knows it
    int number = kNoExchange;  // its exchange number
    std::string zone{};
    GroupRules rules{};
};

// What outlives the process. A call is noted before the far end hears that it stands. There is one place a
// circuit: whoever stands on it last has it, and a call that has lost one of its places is not whole any
// more.
struct LedgerCall {
    std::uint32_t group = 0;
    Claim claim{};
    CallId call{};
    bool outgoing = false;
    ExchangeId exchange{};  // of an incoming one: where it went on
    std::string origin{};   // of an outgoing one: of the caller's connection
    bool operator==(const LedgerCall&) const = default;
};
class Ledger {
   public:
    virtual ~Ledger() = default;
    virtual void store_call(const LedgerCall& call) = 0;
    virtual void remove_call(std::uint32_t group, const Claim& claim) = 0;  // where a place is still its own
    virtual void store_blocking(std::uint32_t group, CircuitNumber circuit, Blocking blocking) = 0;
};

struct TrunkManagerCounts {
    std::uint64_t offered = 0, orphans = 0, lost = 0;  // orphans, lost: on one side of the table only
};

class TrunkManager final : public Switches {
   public:
    using Clock = std::function<Instant()>;

    class Trunk;  // one group and its link

    TrunkManager(int own_number, Clock time, CallerEvents& callers, SwitchEvents& switches,
                 const CallTable& table);
    ~TrunkManager();

    Trunk& add(const GroupSettings& settings);
    // Once all groups are there, before anything else. `life` differs from one start to the next; a null
    // ledger remembers nothing.
    void begin(std::uint32_t incarnation, Ledger* ledger);
    std::vector<Trunk*> trunks() const;
    Trunk* find(std::uint32_t group) const;

    // A switch of this hub's own numbers: it ends calls and is no tandem.
    void add_subscriber_lines(const ListedExchange& lines);
    // The list with the groups' far hubs, which have no address, and the own lines in it, whatever it says of
    // them itself.
    ListEvent with_far_hubs(ListEvent event) const;

    // Another process has the ledger and the calls from now on: nothing is noted and nothing comes due here.
    void hand_over();

    // Calls of a ledger: their groups claim them, and the call table has them again. Those that contradict
    // each other, or the groups as they are now, are left out. Yields how many came back.
    std::size_t restore(const std::vector<LedgerCall>& calls,
                        const std::function<void(const LedgerCall&, CallerLink*)>& tell_table);
    void restore_blocked(std::uint32_t group, CircuitNumber circuit, Blocking blocking);

    void set_up(const ExchangeId& at, const OutgoingSetUp& forward) override;
    void cancel(const ExchangeId& at, const CallId& call) override;
    void release(const ExchangeId& at, const CallId& call) override;

    // Whoever runs the timers hears of each earlier moment; whoever writes, of a group with bytes to write.
    void on_schedule(std::function<void(Instant)> earlier) { earlier_ = std::move(earlier); }
    void on_output(std::function<void(Trunk&)> output) { output_ = std::move(output); }
    void on_freed(std::function<void(const Trunk&, const FreedByAudit&)> freed) { freed_ = std::move(freed); }
    void on_glare_lost(std::function<void(const Trunk&, const CallId&)> lost) {
        glare_lost_ = std::move(lost);
    }
    void run_timers();
    Instant next_timer() const;
    const TrunkManagerCounts& counts() const { return counts_; }

   private:
    friend class Trunk;

    int own_number_;
    Clock time_;
    CallerEvents& callers_;
    SwitchEvents& switches_;
    const CallTable& table_;
    Ledger* ledger_ = nullptr;
    std::function<void(Instant)> earlier_;
    std::function<void(Trunk&)> output_;
    std::function<void(const Trunk&, const FreedByAudit&)> freed_;
    std::function<void(const Trunk&, const CallId&)> glare_lost_;
    std::map<std::uint32_t, std::unique_ptr<Trunk>> trunks_;
    std::map<ExchangeId, Trunk*> by_exchange_;
    std::vector<ListedExchange> lines_;
    bool handed_over_ = false;
    TrunkManagerCounts counts_;
};

class TrunkManager::Trunk final : public CallerLink, public LinkEvents {
   public:
    Trunk(TrunkManager& front, const GroupSettings& settings);

    const GroupSettings& settings() const { return settings_; }
    const Group& group() const { return group_; }
    const Session& session() const { return session_; }
    std::string take_output() { return session_.take_output(); }

    // The connection, as its driver sees it. False: it is to be closed once the output is written.
    void connected();
    bool receive_bytes(std::string_view bytes);
    void disconnected();
    void send_heartbeat();

    // Operators' orders.
    void block(const CircuitList& circuits, Blocking blocking);
    void reset(const CircuitList& circuits);
    void audit();
    void update_timers(const GroupRules& rules);
    // For tests and the lab: see Group.
    void inject_memory_loss(CallRef ref);

    CallRef ref_of(const CallId& call) const;

    void answer(const CallId& call, Description description) override;
    void release(const CallId& call, ReleaseReason ending) override;
    std::string_view origin() const override { return origin_; }

    void link_up(bool resumed) override;
    const char* received(const Message& message) override;

   private:
    friend class TrunkManager;

    void set_up(const OutgoingSetUp& forward);
    void let_go(const CallId& call, Reason reason);  // of ours
    bool restore(const LedgerCall& call);
    void sweep();  // what only one of group and call table has
    void run_timers();

    // Carries out effects: what goes to the far end and into the ledger first, in order, and only then what
    // the call table hears. Guards the order of messages: what the table does in turn comes behind them.
    void carry_out(Effects effects);
    void tell(const Offered& effect);
    void tell(const Answered& effect);
    void tell(const Ended& effect);
    void report();  // the group's state, if it has changed

    TrunkManager& front_;
    GroupSettings settings_;
    std::string origin_;
    Group group_;
    Session session_;
    std::map<CallId, CallRef> outgoing_, incoming_;
    int told_free_ = -1;
    Instant swept_{};
};

}  // namespace nettlestall::trunk
