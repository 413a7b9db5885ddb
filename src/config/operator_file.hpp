// The operator's file (example: deploy/nettlestall.xml; schema: deploy/nettlestall.xsd). All of its reading,
// checking and defaulting is in this module. A feature is off unless the file has its element.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "calls/signals.hpp"
#include "trunk/trunk_manager.hpp"

namespace nettlestall::config {

// The element <log>.
struct LogSettings {
    bool json = false;           // false: lines of text
    std::string level = "info";  // debug, info, warning or error
};

// The element <trunk>: this hub's identity and its circuit groups to other hubs.
struct TrunkSettings {
    trunk::PointCode point_code = 1;
    int exchange_number = kNoExchange;
    std::string listen_address;         // address:port; empty: no other hub connects to this one
    std::string ledger_folder;          // empty: circuits are not recorded on disk
    std::vector<ListedExchange> lines;  // carrier switches that serve this hub's own numbers
    // The element <group>: a circuit group to another hub.
    struct Group {
        trunk::GroupSettings settings;
        std::string dial_address;  // address:port of the far hub; empty: the far hub connects
    };
    std::vector<Group> groups;
};

// The file's contents.
struct OperatorFile {
    LogSettings log;
    std::optional<TrunkSettings> trunk;
};

// Read the file at `path`, and parse the text of such a file; `name` is the file name that the errors show.
// Both throw json::BadInput, whose text has one line for each error: file, line, element and what was
// expected.
OperatorFile read_operator_file(const std::string& path);
OperatorFile parse_operator_file(const std::string& text, const std::string& name);

// Returns a message that names the first difference between the two files that needs a restart (hubs,
// addresses, ledger, groups). Empty: there is none, and a reload can apply the new file in service.
std::string find_restart_reason(const OperatorFile& before, const OperatorFile& after);

}  // namespace nettlestall::config
