// The figures that operators read, one a line: name:value|kind, with c for counts since the start and g for
// what is so now.
#pragma once

#include <string>

#include "calls/gatekeeper.hpp"

namespace nettlestall::net {

std::string figures(const calls::Gatekeeper& gatekeeper, const Counters& counters);

}  // namespace nettlestall::net
