// Glare, the dual seizure of a circuit (Q.764, 2.9.1): which end controls a circuit, and which seizure
// yields. Both ends come to the same answer from circuits and point codes alone, in whatever order they learn
// of the two seizures. No I/O and no clock.
#pragma once

#include "trunk/terms.hpp"

namespace nettlestall::trunk {

// Whether this end controls `circuit`: the end with the higher point code controls the circuits with even
// numbers, the other end the odd ones (Q.764, 2.9.1.4).
bool controls(const PointCodes& point_codes, CircuitNumber circuit);

// The lowest circuit that is in both lists, which must be in ascending order. Zero: there is none, so the two
// seizures do not collide.
CircuitNumber lowest_contested_circuit(const CircuitList& ours, const CircuitList& theirs);

// Of two seizures that crossed: whether this end's wins. The lowest contested circuit decides for the whole
// seizure. Decided circuit by circuit, two calls of several circuits each could both win one circuit and lose
// another, and both would fail.
bool our_seizure_wins(const PointCodes& point_codes, const CircuitList& ours, const CircuitList& theirs);

}  // namespace nettlestall::trunk
