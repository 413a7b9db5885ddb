// Operators' view of the circuit groups and their commands on circuits: HTTP paths and parameters in, lines
// of text out. No I/O.
//
//     GET  /circuits                      one line per group
//     GET  /circuits/GROUP                one line per circuit that is not both idle and unblocked;
//                                         ?all=1: one per circuit
//     POST /circuits/GROUP/block          ?circuits=1-4,7 &kind=soft (default) or hard
//     POST /circuits/GROUP/unblock        ?circuits=...
//     POST /circuits/GROUP/reset          ?circuits=...: calls on them are cut
//     POST /circuits/GROUP/audit
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/operators.hpp"
#include "trunk/trunk_manager.hpp"

namespace nettlestall::trunk {

// Parses `all`, or numbers and ranges from 1 to `circuits` such as `1-4,7`, into an ascending list.
// std::nullopt if the text is not of that form.
std::optional<CircuitList> parse_circuits(std::string_view text, int circuits);

// Serves the paths above for all groups of a TrunkManager.
class OperatorCommands {
   public:
    using Clock = TrunkManager::Clock;
    OperatorCommands(TrunkManager& manager, Clock now) : manager_(manager), now_(std::move(now)) {}

    // Handles a request to one of the paths above; std::nullopt if the path is none of them.
    std::optional<protocol::OperatorReply> handle(std::string_view method, std::string_view path,
                                                  std::string_view query);
    // The metrics of all groups, as lines of name:value|kind for /metrics.
    std::string metrics() const;

   private:
    // The bodies of GET /circuits and GET /circuits/GROUP.
    std::string list_groups() const;
    std::string list_circuits(const TrunkManager::Trunk& trunk, bool all) const;
    // `command` is block, unblock, reset or audit.
    protocol::OperatorReply run_command(TrunkManager::Trunk& trunk, std::string_view command,
                                        std::string_view query);

    TrunkManager& manager_;
    Clock now_;
};

}  // namespace nettlestall::trunk
