// What operators see of circuit groups and order: paths and parameters in, lines of text out. No I/O.
//
//     GET  /circuits                      a line for each group
//     GET  /circuits/GROUP                a line for each circuit that is not idle and free; ?all=1: for each
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

// `all`, or numbers and ranges from 1 to `circuits` such as `1-4,7`. Nothing: it is not of that form.
std::optional<CircuitList> parse_circuits(std::string_view text, int circuits);

class OperatorCommands {
   public:
    using Clock = TrunkManager::Clock;
    OperatorCommands(TrunkManager& front, Clock time) : front_(front), time_(std::move(time)) {}

    // Nothing: no such path.
    std::optional<protocol::OperatorReply> handle(std::string_view method, std::string_view path,
                                                  std::string_view query);
    // Lines for /metrics: name:value|kind.
    std::string metrics() const;

   private:
    std::string list() const;
    std::string list(const TrunkManager::Trunk& trunk, bool all) const;
    protocol::OperatorReply order(TrunkManager::Trunk& trunk, std::string_view what, std::string_view query);

    TrunkManager& front_;
    Clock time_;
};

}  // namespace nettlestall::trunk
