// The experiment `search`: an exhaustive search of the states that the two ends of a circuit group can reach
// together, with messages in transit, link breaks, crashes, duplicate messages and time that passes, each a
// bounded number of times. In no state may two calls own the same circuit, and from each state all circuits
// must become idle when no more faults happen and all calls are released.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trunk/group.hpp"

namespace nettlestall::lab {

// The bounds of the search, and the rules that the two ends follow.
struct SearchSettings {
    int circuits = 2;
    int calls = 2;  // that each end may seize circuits for
    // How often: the link breaks and starts anew, breaks and is resumed, an end crashes, an end loses a
    // call's state, a message is received twice, an audit starts, and six seconds pass.
    int breaks = 0, resumes = 0, crashes = 0, losses = 0, repeats = 0, audits = 0, ticks = 0;
    bool wide = false;     // calls take two circuits
    bool ledger = true;    // a crashed end restores its answered calls
    std::string broken{};  // a rule to break on purpose: "", "glare" or "audit"
    std::uint64_t max_states = 20'000'000;
};

// What the search has found.
struct SearchResult {
    // States visited, steps taken from them, and states from which it was checked that circuits become idle.
    std::uint64_t states = 0, transitions = 0, quiescence_checks = 0;
    bool complete = false;           // all states within the bounds were visited, without a violation
    std::string violation;           // the rule that was broken; empty: none
    std::vector<std::string> trace;  // the steps that led to the violation
};

// Searches until all states are visited, a violation is found, or there are `max_states` states.
SearchResult search(const SearchSettings& settings);

}  // namespace nettlestall::lab
