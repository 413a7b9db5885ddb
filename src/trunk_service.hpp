// Trunk signalling as configured in the operator's file: joins the trunk manager, the links, the circuit
// ledger and the operators' commands.
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

// Owns these parts. Until start() the groups exist, but no link is up and no ledger is open.
class TrunkService {
   public:
    TrunkService(boost::asio::io_context& io, const config::TrunkSettings& settings,
                 calls::Gatekeeper& gatekeeper, trunk::TrunkManager::Clock clock, log::Log& log);

    trunk::TrunkManager& trunk_manager() { return trunk_manager_; }
    trunk::OperatorCommands& operator_commands() { return operator_commands_; }
    const trunk::OperatorCommands& operator_commands() const { return operator_commands_; }

    // Opens the ledger, restores its calls and starts the links. The list of exchanges must be known. If it
    // cannot listen, boost::system::system_error leaves the event loop (see TrunkLinks::start()).
    void start();
    void stop();  // closes the links
    bool is_idle() const { return !links_ || links_->is_idle(); }
    // Leaves ledger, groups and calls to a successor process.
    void hand_over();
    // Applies those settings of the groups that may change in service: the times and the audit.
    void apply(const config::TrunkSettings& settings);
    // The group with this origin text; null: the call did not come over a group.
    CallerLink* find_link(std::string_view origin);

   private:
    boost::asio::io_context& io_;
    config::TrunkSettings settings_;
    calls::Gatekeeper& gatekeeper_;
    trunk::TrunkManager::Clock clock_;
    log::Log& log_;
    std::unique_ptr<store::TrunkLedger> ledger_;
    trunk::TrunkManager trunk_manager_;
    trunk::OperatorCommands operator_commands_;
    std::optional<net::TrunkLinks> links_;
};

}  // namespace nettlestall
