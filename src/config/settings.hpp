// The settings object, the same from the simulator's first message and from a gatekeeper's configuration.
#pragma once

#include "config/json.hpp"
#include "nettlestall/call_control.hpp"

namespace nettlestall::config {

struct NetSettings {  // of the sockets, beside the module's own
    Duration connect_time_out{};
};

Settings read_settings(const json::Value& facts);
NetSettings read_net_settings(const json::Value& facts);

}  // namespace nettlestall::config
