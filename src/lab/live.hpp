// Two real gatekeepers joined by a circuit group on loopback, with callers and lines that are scripted here:
// what ./quickstart shows.
#pragma once

#include <cstdint>
#include <string>

namespace nettlestall::lab {

struct LiveSettings {
    std::string program = "build/nettlestall";
    double seconds = 20;
    double calls_per_second = 5;  // at each hub
    int circuits = 30;
    std::uint64_t seed = 1;
};

// Shows a line a second, then a summary. 0: each call had exactly one final answer, and no circuit stayed
// busy.
int run_live(const LiveSettings& settings);

}  // namespace nettlestall::lab
