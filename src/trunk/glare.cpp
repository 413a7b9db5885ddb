#include "trunk/glare.hpp"

namespace nettlestall::trunk {

bool controls(const PointCodes& point_codes, CircuitNumber circuit) {
    return (circuit % 2 == 0) == point_codes.own_is_higher();
}

CircuitNumber lowest_contested_circuit(const CircuitList& ours, const CircuitList& theirs) {
    for (auto a = ours.begin(), b = theirs.begin(); a != ours.end() && b != theirs.end();) {
        if (*a == *b) return *a;
        *a < *b ? ++a : ++b;
    }
    return 0;
}

bool our_seizure_wins(const PointCodes& point_codes, const CircuitList& ours, const CircuitList& theirs) {
    const CircuitNumber at = lowest_contested_circuit(ours, theirs);
    return at == 0 || controls(point_codes, at);
}

}  // namespace nettlestall::trunk
