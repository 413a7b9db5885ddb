#include "trunk/recovery.hpp"

#include <algorithm>
#include <set>

namespace nettlestall::trunk {

Reconciled reconcile(const std::vector<Claim>& ours, const std::vector<Claim>& theirs) {
    std::map<CallRef, const CircuitList*> there;
    for (const Claim& claim : theirs) there.emplace(claim.call, &claim.circuits);
    Reconciled result;
    for (const Claim& claim : ours) {
        const auto at = there.find(claim.call);
        const bool same = at != there.end() && *at->second == claim.circuits;
        (same ? result.kept : result.ours).push_back(claim.call);
        if (same) there.erase(at);
    }
    for (const auto& [call, circuits] : there) result.theirs.push_back(call);
    return result;
}

const char* find_error(const Claims& claims, int circuits) {
    std::set<CallRef> calls;
    std::set<CircuitNumber> taken;
    for (const Claim& claim : claims.calls) {
        if (!calls.insert(claim.call).second) return "a call that is claimed twice";
        for (const CircuitNumber n : claim.circuits) {
            if (n > circuits) return "a claimed circuit that does not exist";
            if (!taken.insert(n).second) return "a circuit that is claimed twice";
        }
    }
    const bool exist = std::all_of(claims.blocked.begin(), claims.blocked.end(),
                                   [&](const auto& blocked) { return blocked.first <= circuits; });
    return exist ? nullptr : "a blocked circuit that does not exist";
}

std::vector<Claim> select_claimable(const std::vector<Claim>& remembered, int circuits) {
    std::map<CircuitNumber, int> claims;
    std::map<CallRef, int> calls;
    for (const Claim& claim : remembered) {
        ++calls[claim.call];
        for (const CircuitNumber n : claim.circuits) ++claims[n];
    }
    std::vector<Claim> sound;
    for (const Claim& claim : remembered) {
        const bool alone = std::all_of(claim.circuits.begin(), claim.circuits.end(), [&](CircuitNumber n) {
            return n >= 1 && n <= circuits && claims[n] == 1;
        });
        const bool rising = std::is_sorted(claim.circuits.begin(), claim.circuits.end());
        if (alone && rising && !claim.circuits.empty() && claim.call != kNoCall && calls[claim.call] == 1)
            sound.push_back(claim);
    }
    return sound;
}

}  // namespace nettlestall::trunk
