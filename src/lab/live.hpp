// The experiment `live`, which ./quickstart runs: two gatekeeper processes that are joined by a circuit group
// on loopback, with simulated callers and subscriber lines.
#pragma once

#include <cstdint>
#include <string>

namespace nettlestall::lab {

// The options of the command line.
struct LiveSettings {
    std::string program = "build/nettlestall";
    double seconds = 20;          // how long calls are placed
    double calls_per_second = 5;  // at each hub
    int circuits = 30;
    std::uint64_t seed = 1;
};

// Prints a line every second, then a summary. Returns 0 if each call had exactly one final answer and no
// circuit stayed busy, otherwise 1. Throws std::runtime_error if the gatekeepers do not start.
int run_live(const LiveSettings& settings);

}  // namespace nettlestall::lab
