// Selects the circuits that a set-up seizes. No I/O and no clock.
#pragma once

#include "trunk/circuits.hpp"
#include "trunk/terms.hpp"

namespace nettlestall::trunk {

// In which order free circuits are selected.
enum class Hunting : std::uint8_t {
    own_half,   // Q.764, 2.9.1.3, method 2: first the circuits that this end controls, of these the one
                // longest idle; then the others, of these the one most recently idle
    ascending,  // from the lowest number on, at both ends; the baseline for experiments
};

// `width` free circuits in ascending order. Empty if fewer are free; then none may be seized. Circuits in
// `avoid` are used only if there are not enough others: on these this end has just lost a glare, or the far
// end has rejected its seizure. Hunting::ascending ignores `avoid`.
CircuitList hunt(const Circuits& circuits, const PointCodes& point_codes, int width, Hunting hunting,
                 const CircuitList& avoid = {});

}  // namespace nettlestall::trunk
