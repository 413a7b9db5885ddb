// The figures that operators read, one a line: name:value|kind, with c for counts since the start and g for
// what is so now.
#pragma once

#include <string>

#include "calls/gatekeeper.hpp"

namespace nettlestall::net {

// A line for each: the call, where it stands, and for how many seconds.
std::string oldest_calls(const calls::Gatekeeper& gatekeeper, std::size_t most);

std::string figures(const calls::Gatekeeper& gatekeeper, const Counters& counters);

}  // namespace nettlestall::net
