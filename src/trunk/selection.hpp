// Which circuits a set-up seizes. No I/O and no clock.
#pragma once

#include "trunk/circuits.hpp"
#include "trunk/terms.hpp"

namespace nettlestall::trunk {

enum class Hunting : std::uint8_t {
    own_half,   // Q.764, 2.9.1.3, method 2: of the controlled ones that longest idle, then of the others that
                // latest idle
    ascending,  // from the lowest on, at both ends: the baseline that measurements compare with
};

// `width` free circuits, rising; empty: there are not as many, and none is to be seized. `lately` is skipped
// while others are free: circuits on which this end has just lost a glare, where the far end is at work.
CircuitList hunt(const Circuits& circuits, const PointCodes& point_codes, int width, Hunting hunting,
                 const CircuitList& lately = {});

}  // namespace nettlestall::trunk
