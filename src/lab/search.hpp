// An exhaustive search of the states that two real ends of a group can reach together, with messages under
// way, breaks that lose the link's memory, crashes, repeats and time that passes; each fault a bounded
// number of times. In no state may two calls both own a circuit, and from each quiet must lead to all idle.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trunk/group.hpp"

namespace nettlestall::lab {

struct SearchSettings {
    int circuits = 2;
    int calls = 2;  // that each end may place
    int breaks = 0, resumes = 0, crashes = 0, losses = 0, repeats = 0, audits = 0, ticks = 0;
    bool wide = false;     // calls take two circuits
    bool ledger = true;    // a crashed end remembers what stood
    std::string broken{};  // a rule that is broken on purpose: "", "glare", "guard", "audit"
    std::uint64_t most_states = 20'000'000;
};

struct SearchResult {
    std::uint64_t states = 0, transitions = 0, quiet_runs = 0;
    bool complete = false;           // all states within the bounds were seen
    std::string wrong;               // empty: nothing is
    std::vector<std::string> trail;  // how it came to that, a step each
};

SearchResult search(const SearchSettings& settings);

}  // namespace nettlestall::lab
