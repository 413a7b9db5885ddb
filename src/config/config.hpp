// What a gatekeeper is told at its start, from the environment and its configuration file: read, checked and
// given defaults here and nowhere else.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "calls/signals.hpp"
#include "config/settings.hpp"

namespace nettlestall::config {

struct Config {
    std::string name;
    std::string listen_address;     // address:port
    std::string feed_address;       // address:port; empty: none
    std::string operators_address;  // address:port; empty: no address for operators
    std::uint64_t seed = 0;
    int memory_mb = 0, max_sockets = 0;
    Settings settings;
    NetSettings net;
    std::int64_t last_event_number = 0;  // the number of the last event
    std::vector<ListEvent> known_events;

    // Where this process and the one that takes over from it meet; empty: nowhere.
    std::string handover_path;

    // After the order to end, until all that is owed must have been answered.
    Duration shutdown_time_limit() const;
    // The same where another process has taken over: it is given longer.
    Duration shutdown_time_limit_superseded() const;
};

// From the environment (BALANCER_CONFIG names the file, TMPDIR a folder for the hand-over; BALANCER_NAME,
// BALANCER_LISTEN and BALANCER_OPERATOR win over it). Throws json::BadInput.
Config load();

// From the text of the file.
Config parse_config(const std::string& text);

}  // namespace nettlestall::config
