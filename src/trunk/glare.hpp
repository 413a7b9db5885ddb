// Dual seizure (Q.764, 2.9.1): who controls a circuit, and who yields. Both ends come to the same answer from
// circuits and point codes alone, in whatever order they hear of the two seizures. No I/O and no clock.
#pragma once

#include "trunk/terms.hpp"

namespace nettlestall::trunk {

// The end with the higher point code controls the circuits with even numbers, the other one the odd ones
// (Q.764, 2.9.1.4).
bool controls(const PointCodes& point_codes, CircuitNumber circuit);

// The lowest circuit that both want; nought: none, so that there is no glare between them. Both lists rise.
CircuitNumber lowest_contested_circuit(const CircuitList& ours, const CircuitList& theirs);

// Of two seizures that crossed: whether ours stands. It is judged as a whole by the lowest contested circuit:
// judged circuit by circuit, two wide calls could each win one and lose one, and neither would get its way.
bool our_seizure_wins(const PointCodes& point_codes, const CircuitList& ours, const CircuitList& theirs);

}  // namespace nettlestall::trunk
