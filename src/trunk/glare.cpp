#include "trunk/glare.hpp"

namespace nettlestall::trunk {

bool controls(const Ends& ends, CircuitNumber circuit) {
    return (circuit % 2 == 0) == ends.higher();
}

CircuitNumber contested(const CircuitList& ours, const CircuitList& theirs) {
    for (auto a = ours.begin(), b = theirs.begin(); a != ours.end() && b != theirs.end();) {
        if (*a == *b) return *a;
        *a < *b ? ++a : ++b;
    }
    return 0;
}

bool ours_stands(const Ends& ends, const CircuitList& ours, const CircuitList& theirs) {
    const CircuitNumber at = contested(ours, theirs);
    return at == 0 || controls(ends, at);
}

}  // namespace nettlestall::trunk
