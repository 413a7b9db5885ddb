// The gatekeeper's start configuration, from the environment and the configuration file. All of its reading,
// checking and defaulting is in this module.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "calls/signals.hpp"
#include "config/settings.hpp"

namespace nettlestall::config {

// The configuration, checked and with its defaults filled in.
struct Config {
    std::string name;               // of this gatekeeper; may be empty
    std::string listen_address;     // address:port for callers
    std::string feed_address;       // address:port of the control feed; empty: no feed
    std::string operators_address;  // address:port for operators' HTTP; empty: not served
    std::uint64_t seed = 0;         // of the decision module's random numbers
    int memory_mb = 0;              // memory limit, in MiB
    int max_sockets = 0;            // limit of open sockets
    Settings settings;
    NetSettings net;
    // The exchange list as it was when the file was written: number of its last event, and the events.
    std::int64_t last_event_number = 0;
    std::vector<ListEvent> known_events;

    // Path of the socket on which the successor process connects to this one; empty (TMPDIR is not set): no
    // hand-over.
    std::string handover_path;

    // Time from the order to shut down until every open set-up must have had its final answer.
    Duration shutdown_time_limit() const;
    // The same after a successor process has taken over: the supervisor then waits longer.
    Duration shutdown_time_limit_superseded() const;
};

// Reads the configuration that the environment points to: BALANCER_CONFIG names the file, TMPDIR the folder
// of the hand-over socket; BALANCER_NAME, BALANCER_LISTEN and BALANCER_OPERATOR override the file. Throws
// json::BadInput.
Config load();

// Parses the text of a configuration file. Throws json::BadInput.
Config parse_config(const std::string& text);

}  // namespace nettlestall::config
