// The experiment `glare`: hubs joined by circuit groups over hours of faults, all from one seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/hub.hpp"

namespace nettlestall::lab {

struct GlareSettings {
    std::uint64_t seed = 1;
    double hours = 1.0;
    int hubs = 2;
    int circuits = 30;  // of each group
    double load = 0.7;  // of the circuits, if every call stood
    bool parity = true, audits = true, ledgers = true, faults = true, crashes = true;
    double wide_share = 0.1;
};

struct GlareResult {
    std::uint64_t calls = 0, stood = 0, answers_missing = 0, answers_double = 0;
    std::uint64_t seizures = 0, glares = 0, stuck_circuits = 0, live_calls_cut = 0, audit_freed = 0;
    std::uint64_t cut_by_faults = 0, recovered = 0, guards = 0, memory_faults = 0, breaks = 0, cuts = 0,
                  crashes = 0, stalls = 0;
    double time_to_free_p50_s = 0, time_to_free_p99_s = 0, utilisation = 0;
    // Every ten minutes: circuits that are stuck at one end at least, and busy ones, in shares of all.
    struct Sample {
        double hours, stuck, busy;
    };
    std::vector<Sample> samples;
};

GlareResult run_glare(const GlareSettings& settings);
std::string to_json(const GlareSettings& settings, const GlareResult& result);

}  // namespace nettlestall::lab
