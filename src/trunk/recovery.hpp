// Which calls survive a restart of the link: after a restart of this or the far hub, or after a break that
// lasted longer than calls are held. Each end claims its standing calls, and both keep what both have
// claimed. No I/O and no clock.
#pragma once

#include <map>
#include <vector>

#include "trunk/messages.hpp"

namespace nettlestall::trunk {

// The result of comparing the claims of both ends.
struct Reconciliation {
    std::vector<CallRef> kept;         // both ends have them, on the same circuits
    std::vector<CallRef> only_ours;    // only this end has them: they are cut here
    std::vector<CallRef> only_theirs;  // only the far end has them: it cuts them by the same rule
};

// Keeps a call only if both ends claim it on the same circuits. Neither a ledger nor a memory is trusted over
// the far end, so both ends come to the same result without a further message.
Reconciliation reconcile(const std::vector<Claim>& ours, const std::vector<Claim>& theirs);

// What makes claims of the far end invalid, which a correct far end never sends: a circuit that does not
// exist, a circuit claimed twice or a call claimed twice. Null if they are valid. `circuits` is the size of
// the group.
const char* find_error(const Claims& claims, int circuits);

// The calls of a ledger that still have all of their circuits. `entries` has the last call stored for each
// circuit; `Call` has a member `claim`.
template <class Call>
std::vector<Call> complete_calls(const std::map<CircuitNumber, Call>& entries) {
    std::vector<Call> found;
    for (const auto& [circuit, call] : entries) {
        const CircuitList& own = call.claim.circuits;
        bool complete = !own.empty() && own.front() == circuit;  // counted once, at its first circuit
        for (const CircuitNumber n : own)
            if (const auto at = entries.find(n); at == entries.end() || at->second.claim != call.claim)
                complete = false;
        if (complete) found.push_back(call);
    }
    return found;
}

// The calls of a ledger that may be claimed: those whose circuits exist in the group of `circuits` circuits
// as it is now and are held by no other call. If a group has become smaller or a ledger contradicts itself,
// only the calls concerned are lost.
std::vector<Claim> select_claimable(const std::vector<Claim>& stored, int circuits);

}  // namespace nettlestall::trunk
