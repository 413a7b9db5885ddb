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
    trunk::PointCode point = 1;
    int number = kNowhere;
    std::string listen;  // address:port; empty: nobody dials this hub
    std::string ledger;  // a folder; empty: none
    std::vector<ListedExchange> lines;
    struct Group {
        trunk::GroupSettings settings;
        std::string dial;  // address:port; empty: the far hub dials
    };
    std::vector<Group> groups;
};

struct OperatorFile {
    LogSettings log;
    std::optional<TrunkSettings> trunk;
};

// Throws json::BadInput, whose text has a line for each complaint: file, line, element and what was expected.
OperatorFile read_operator_file(const std::string& path);
OperatorFile read_operator_text(const std::string& text, const std::string& name);

// What a reload can't take over in service: groups, hubs and addresses; empty: nothing differs in these.
std::string needs_restart(const OperatorFile& before, const OperatorFile& after);

}  // namespace nettlestall::config
