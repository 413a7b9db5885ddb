// The trunk signalling's ledger in an SQLite file. What is stored outlives the process, as long as the disk
// is sound.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "trunk/trunk_manager.hpp"

namespace nettlestall::store {

// The ledger of one hub. No function throws a database error: the first one is logged, and nothing is stored
// or read after it.
class TrunkLedger final : public trunk::Ledger {
   public:
    using Log = std::function<void(const std::string&)>;

    // Opens the ledger of the hub with point code `own` in `folder`, or creates it. A file that is damaged,
    // unreadable, of another program, version or hub is reported to `log`, renamed and never used. If it
    // cannot be renamed or no new one can be created, the ledger stores nothing.
    TrunkLedger(const std::string& folder, trunk::PointCode own, Log log);
    ~TrunkLedger() override;

    // False: nothing is stored, since the file could not be opened or a transaction has failed.
    bool is_open() const { return db_ != nullptr; }
    // An incarnation that is higher than at any earlier start, and at least `at_least`.
    std::uint32_t next_incarnation(std::uint32_t at_least);
    // The stored calls that still have the entries of all of their circuits.
    std::vector<trunk::LedgerCall> calls();
    struct BlockedCircuit {
        std::uint32_t group;
        trunk::CircuitNumber circuit;
        trunk::Blocking blocking;
    };
    // The circuits that this end blocks.
    std::vector<BlockedCircuit> blocked();

    void store_call(const trunk::LedgerCall& call) override;
    void remove_call(std::uint32_t group, const trunk::Claim& claim) override;
    void store_blocking(std::uint32_t group, trunk::CircuitNumber circuit, trunk::Blocking blocking) override;

   private:
    class Database;

    // Null if the file cannot be used; `reason` says why then.
    std::unique_ptr<Database> open(const std::string& path, trunk::PointCode own, std::string& reason) const;
    // Runs `work` as one transaction. Once one has failed nothing more is written, because an incomplete
    // ledger is of no use.
    void transact(const std::function<void(Database&)>& work);

    Log log_;
    std::unique_ptr<Database> db_;
};

}  // namespace nettlestall::store
