#include "trunk/recovery.hpp"

#include <algorithm>
#include <set>

namespace nettlestall::trunk {

Reconciliation reconcile(const std::vector<Claim>& ours, const std::vector<Claim>& theirs) {
    std::map<CallRef, const CircuitList*> there;
    for (const Claim& claim : theirs) there.emplace(claim.call, &claim.circuits);
    Reconciliation result;
    for (const Claim& claim : ours) {
        const auto at = there.find(claim.call);
        const bool same = at != there.end() && *at->second == claim.circuits;
        (same ? result.kept : result.only_ours).push_back(claim.call);
        if (same) there.erase(at);
    }
    for (const auto& [call, circuits] : there) result.only_theirs.push_back(call);
    return result;
}

const char* find_error(const Claims& claims, int circuits) {
    std::set<CallRef> calls;
    std::set<CircuitNumber> claimed;
    for (const Claim& claim : claims.calls) {
        if (!calls.insert(claim.call).second) return "a call that is claimed twice";
        for (const CircuitNumber n : claim.circuits) {
            if (n > circuits) return "a claimed circuit that does not exist";
            if (!claimed.insert(n).second) return "a circuit that is claimed twice";
        }
    }
    const bool all_exist = std::all_of(claims.blocked.begin(), claims.blocked.end(),
                                       [&](const auto& blocked) { return blocked.first <= circuits; });
    return all_exist ? nullptr : "a blocked circuit that does not exist";
}

std::vector<Claim> select_claimable(const std::vector<Claim>& stored, int circuits) {
    std::map<CircuitNumber, int> claims;
    std::map<CallRef, int> calls;
    for (const Claim& claim : stored) {
        ++calls[claim.call];
        for (const CircuitNumber n : claim.circuits) ++claims[n];
    }
    std::vector<Claim> claimable;
    for (const Claim& claim : stored) {
        const bool has_own_circuits =
            std::all_of(claim.circuits.begin(), claim.circuits.end(),
                        [&](CircuitNumber n) { return n >= 1 && n <= circuits && claims[n] == 1; });
        const bool is_ascending = std::is_sorted(claim.circuits.begin(), claim.circuits.end());
        if (has_own_circuits && is_ascending && !claim.circuits.empty() && claim.call != kNoCall &&
            calls[claim.call] == 1)
            claimable.push_back(claim);
    }
    return claimable;
}

}  // namespace nettlestall::trunk
