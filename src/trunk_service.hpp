// The trunk signalling, where the operator's file asks for it: front, links, ledger and the operators' desk.
#pragma once

#include <memory>
#include <optional>

#include "calls/gatekeeper.hpp"
#include "config/operator_file.hpp"
#include "log/log.hpp"
#include "net/trunk_links.hpp"
#include "store/trunk_ledger.hpp"
#include "trunk/operator_commands.hpp"

namespace nettlestall {

class TrunkService {
   public:
    TrunkService(boost::asio::io_context& io, const config::TrunkSettings& settings,
                 calls::Gatekeeper& gatekeeper, trunk::TrunkManager::Clock time, log::Log& log);

    trunk::TrunkManager& front() { return front_; }
    trunk::OperatorCommands& desk() { return desk_; }
    const trunk::OperatorCommands& desk() const { return desk_; }

    // From now on the groups are this process's: its ledger, its links. The list of exchanges must be known.
    // Throws boost::system::system_error if it can't listen.
    void start();
    void stop();
    bool idle() const { return !links_ || links_->idle(); }
    void retire();  // the next process has ledger, groups and calls
    void take(const config::TrunkSettings& settings);
    // Of a call that came over a group; null: it came otherwise.
    CallerLink* link_of(std::string_view origin);

   private:
    boost::asio::io_context& io_;
    config::TrunkSettings settings_;
    calls::Gatekeeper& gatekeeper_;
    trunk::TrunkManager::Clock time_;
    log::Log& log_;
    std::unique_ptr<store::TrunkLedger> ledger_;
    trunk::TrunkManager front_;
    trunk::OperatorCommands desk_;
    std::optional<net::TrunkLinks> links_;
};

}  // namespace nettlestall
