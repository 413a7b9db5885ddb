// The texts for operators that come from the call table: metrics and the oldest standing calls.
#pragma once

#include <string>

#include "calls/gatekeeper.hpp"

namespace nettlestall::net {

// A header line, then a line for each of the `max_calls` oldest standing calls: the call, the exchange that
// it is at, and its age in seconds.
std::string oldest_calls(const calls::Gatekeeper& gatekeeper, std::size_t max_calls);

// A line for each metric: name:value|kind. Kind c is a count since the start, g a current value.
std::string metrics(const calls::Gatekeeper& gatekeeper, const Counters& counters);

}  // namespace nettlestall::net
