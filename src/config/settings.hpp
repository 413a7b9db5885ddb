// Reads the object `settings` of the gatekeeper's configuration; the simulator sends the same object in its
// first message. Both functions throw json::BadInput.
#pragma once

#include "config/json.hpp"
#include "nettlestall/call_control.hpp"

namespace nettlestall::config {

// Settings of the sockets, which the decision module does not use.
struct NetSettings {
    Duration connect_time_out{};  // of connections to exchanges; more than zero
};

// Reads the settings of the decision module.
Settings read_settings(const json::Value& object);
// Reads the settings of the sockets, which are in the same object.
NetSettings read_net_settings(const json::Value& object);

}  // namespace nettlestall::config
