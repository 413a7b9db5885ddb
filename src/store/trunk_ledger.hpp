// The trunk signalling's ledger in an SQLite file: what outlives the process, for as long as the disk is
// sound.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "trunk/trunk_manager.hpp"

namespace nettlestall::store {

class TrunkLedger final : public trunk::Ledger {
   public:
    using Note = std::function<void(const std::string&)>;

    // Opens the ledger of this hub in `folder`, or makes one. What is torn, of another form or version, of
    // another hub or can't be read is named to `note`, renamed and never used; where not even that can be
    // done, the ledger remembers nothing.
    TrunkLedger(const std::string& folder, trunk::PointCode own, Note note);
    ~TrunkLedger() override;

    bool is_open() const { return db_ != nullptr; }
    // More than at any start before: at least `at_least`.
    std::uint32_t next_incarnation(std::uint32_t at_least);
    std::vector<trunk::LedgerCall> calls();  // those that hold all of their places
    struct Blocked {
        std::uint32_t group;
        trunk::CircuitNumber circuit;
        trunk::Blocking blocking;
    };
    std::vector<Blocked> blocked();

    void store_call(const trunk::LedgerCall& call) override;
    void remove_call(std::uint32_t group, const trunk::Claim& claim) override;
    void store_blocking(std::uint32_t group, trunk::CircuitNumber circuit, trunk::Blocking blocking) override;

   private:
    class Database;

    std::unique_ptr<Database> open(const std::string& path, trunk::PointCode own, std::string& wrong) const;
    // Runs `work` as one transaction. Once one has failed, nothing more is written: half a ledger is none.
    void write(const std::function<void(Database&)>& work);

    Note note_;
    std::unique_ptr<Database> db_;
};

}  // namespace nettlestall::store
