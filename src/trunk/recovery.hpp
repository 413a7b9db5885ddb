// What a hub claims after a link that starts anew (its own restart, the far end's, or a break that outlasted
// patience), and what remains of it once the far end's claims are there. No I/O and no clock.
#pragma once

#include <map>
#include <vector>

#include "trunk/messages.hpp"

namespace nettlestall::trunk {

struct Reconciled {
    std::vector<CallRef> kept;    // both ends have them, on the same circuits
    std::vector<CallRef> ours;    // only this end has them: they are cut here
    std::vector<CallRef> theirs;  // only the far end has them: it cuts them by the same rule
};

// A call stands only if both ends say so and on the same circuits. Neither a ledger nor a memory is believed
// over the far end, so both come to the same result without another word.
Reconciled reconcile(const std::vector<Claim>& ours, const std::vector<Claim>& theirs);

// What is wrong with claims of the far end, which no honest end sends: a circuit that does not exist, one
// claimed twice, a call claimed twice. Null: nothing.
const char* find_error(const Claims& claims, int circuits);

// The calls that a ledger with one place a circuit still holds whole: on every circuit of theirs.
template <class Call>
std::vector<Call> complete_calls(const std::map<CircuitNumber, Call>& places) {
    std::vector<Call> found;
    for (const auto& [circuit, call] : places) {
        const CircuitList& own = call.claim.circuits;
        bool all = !own.empty() && own.front() == circuit;  // once, at its first
        for (const CircuitNumber n : own)
            if (const auto at = places.find(n); at == places.end() || at->second.claim != call.claim)
                all = false;
        if (all) found.push_back(call);
    }
    return found;
}

// The calls of a ledger that may be claimed: each circuit once and within the group's size of now. A group
// that has shrunk, or a ledger that contradicts itself, loses the calls concerned.
std::vector<Claim> select_claimable(const std::vector<Claim>& remembered, int circuits);

}  // namespace nettlestall::trunk
