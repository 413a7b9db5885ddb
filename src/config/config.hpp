// What a gatekeeper is told at its start, from the environment and its configuration file: read, checked and
// given defaults here and nowhere else.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/signals.hpp"

namespace nettlestall::config {

struct Config {
    std::string name;
    std::string listen;     // address:port
    std::string feed;       // address:port; empty: none
    std::string operators;  // address:port; empty: no address for operators
    std::uint64_t seed = 0;
    int memory_mb = 0, sockets = 0;
    Settings settings;
    NetSettings net;
    std::int64_t known = 0;  // the number of the last event
    std::vector<ListEvent> events;

    // After the order to end, until all that is owed must have been answered.
    Duration time_to_end() const;
};

// From the environment (BALANCER_CONFIG names the file; BALANCER_NAME, BALANCER_LISTEN and
// BALANCER_OPERATOR win over it).
// Throws json::BadInput.
Config load();

// From the text of the file.
Config read_config(const std::string& text);

}  // namespace nettlestall::config
