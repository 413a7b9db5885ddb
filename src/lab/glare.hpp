// The experiment `glare`: hubs that are joined each with each by circuit groups, hours of simulated traffic
// with faults, and ten minutes without either. It counts calls, dual seizures, and circuits that stay busy.
// One seed gives the same result every time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/hub.hpp"

namespace nettlestall::lab {

// The options of the command line.
struct GlareSettings {
    std::uint64_t seed = 1;
    double hours = 1.0;
    int hubs = 2;
    int circuits = 30;  // of each group
    double load = 0.7;  // offered traffic as a share of the circuits, if every call were answered
    // Each is on or off: hunting by parity (off: from the lowest circuit at both ends), audits, circuit
    // ledgers, faults of all kinds (with them, simultaneous calls at both ends of a group), crashes.
    bool parity = true, audits = true, ledgers = true, faults = true, crashes = true;
    double wide_share = 0.1;  // share of calls that take three circuits
};

// Counters and times, which the JSON object shows under the same names (`answered` as `stood`).
struct GlareResult {
    // Calls placed and answered; calls without a final answer, and final answers beyond the first of a call.
    std::uint64_t calls = 0, answered = 0, answers_missing = 0, answers_double = 0;
    // Counts of both ends of all groups: seizures, and those that lost a dual seizure. Circuits that are
    // stuck at the end; circuits that audits freed although their call was intact, and all that audits freed.
    std::uint64_t seizures = 0, glares = 0, stuck_circuits = 0, live_calls_cut = 0, audit_freed = 0;
    // Intact calls that were cut; calls that both ends still had when their link started anew; releases that
    // were not confirmed within the release guard. Then the faults: losses of a call's state, link breaks,
    // interruptions, crashes, stalls.
    std::uint64_t cut_by_faults = 0, recovered = 0, guards = 0, memory_faults = 0, breaks = 0, cuts = 0,
                  crashes = 0, stalls = 0;
    // From the loss of a call's state until neither end holds its circuits: median and 99th percentile. The
    // utilisation is the mean share of circuits that carry intact calls.
    double time_to_free_p50_s = 0, time_to_free_p99_s = 0, utilisation = 0;
    // Taken every ten minutes of simulated time: the shares of all circuits that are stuck at one end at
    // least, and that carry intact calls.
    struct Sample {
        double hours, stuck, busy;
    };
    std::vector<Sample> samples;
};

// Runs the experiment on the virtual clock.
GlareResult run_glare(const GlareSettings& settings);
// The main settings and the result as one JSON object, without a line end.
std::string to_json(const GlareSettings& settings, const GlareResult& result);

}  // namespace nettlestall::lab
