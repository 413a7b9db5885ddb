// The operator's own file (deploy/nettlestall.xml, after deploy/nettlestall.xsd): read, checked and given
// defaults here and nowhere else. Nothing in it is on unless it is there.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "calls/signals.hpp"
#include "trunk/trunk_manager.hpp"

namespace nettlestall::config {

struct LogSettings {
    bool json = false;
    std::string level = "info";  // debug, info, warning, error
};

struct TrunkSettings {
    trunk::PointCode point_code = 1;
    int exchange_number = kNoExchange;
    std::string listen_address;  // address:port; empty: nobody dials this hub
    std::string ledger_folder;   // a folder; empty: none
    std::vector<ListedExchange> lines;
    struct Group {
        trunk::GroupSettings settings;
        std::string dial_address;  // address:port; empty: the far hub dials
    };
    std::vector<Group> groups;
};

struct OperatorFile {
    LogSettings log;
    std::optional<TrunkSettings> trunk;
};

// Throws json::BadInput, whose text has a line for each complaint: file, line, element and what was expected.
OperatorFile read_operator_file(const std::string& path);
OperatorFile parse_operator_file(const std::string& text, const std::string& name);

// What a reload can't take over in service: groups, hubs and addresses; empty: nothing differs in these.
std::string find_restart_reason(const OperatorFile& before, const OperatorFile& after);

}  // namespace nettlestall::config
