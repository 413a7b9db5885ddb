#include "trunk/circuits.hpp"

#include <algorithm>
#include <array>

namespace nettlestall::trunk {
namespace {

using S = CircuitState;
using E = CircuitEvent;

constexpr S kNo = static_cast<S>(255);  // the event is not allowed

// Transitions by state, then by event: seize, accept, accept_incoming, answer, yield, release, clear, reset,
// mark_unsure. A yielding circuit may accept a seizure of the far end, because that one won. A circuit that
// is being released or reset accepts none, since a seizure of the far end may have crossed the release.
constexpr std::array<std::array<S, kCircuitEventCount>, kCircuitStateCount> kTransitions{{
    /* idle       */ {S::seizing, kNo, S::incoming, kNo, kNo, kNo, kNo, S::resetting, S::unsure},
    /* seizing    */
    {kNo, S::proceeding, kNo, kNo, S::yielding, S::releasing, S::idle, S::resetting, S::unsure},
    /* proceeding */ {kNo, kNo, kNo, S::standing, kNo, S::releasing, S::idle, S::resetting, S::unsure},
    /* incoming   */ {kNo, kNo, kNo, S::standing, kNo, S::releasing, S::idle, S::resetting, S::unsure},
    /* standing   */ {kNo, kNo, kNo, kNo, kNo, S::releasing, S::idle, S::resetting, S::unsure},
    /* yielding   */ {kNo, kNo, S::incoming, kNo, kNo, kNo, S::idle, S::resetting, S::unsure},
    /* releasing  */ {kNo, kNo, kNo, kNo, kNo, kNo, S::idle, S::resetting, S::unsure},
    /* resetting  */ {kNo, kNo, kNo, kNo, kNo, kNo, S::idle, S::resetting, S::unsure},
    /* unsure     */ {kNo, kNo, kNo, kNo, kNo, kNo, S::idle, S::resetting, S::unsure},
}};

constexpr std::array<std::string_view, kCircuitStateCount> kStateNames{
    "idle", "seizing", "proceeding", "incoming", "standing", "yielding", "releasing", "resetting", "unsure"};

}  // namespace

std::string_view name_of(CircuitState state) {
    return kStateNames[static_cast<std::size_t>(state)];
}

bool next_state(CircuitState state, CircuitEvent event, CircuitState& next) {
    const S to = kTransitions[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
    if (to == kNo) return false;
    next = to;
    return true;
}

bool Circuits::apply(CircuitNumber number, CircuitEvent event, CallRef call) {
    Circuit& circuit = circuits_[index(number)];
    CircuitState next{};
    if (!next_state(circuit.state, event, next)) return false;
    circuit.state = next;
    circuit.call = next == S::idle ? kNoCall : call;
    ++circuit.changes;
    if (next == S::idle) circuit.idle_order = ++last_idle_order_;
    return true;
}

int Circuits::free_count() const {
    return static_cast<int>(
        std::count_if(circuits_.begin(), circuits_.end(), [](const Circuit& c) { return c.is_free(); }));
}

int Circuits::busy_count() const {
    return static_cast<int>(
        std::count_if(circuits_.begin(), circuits_.end(), [](const Circuit& c) { return !c.is_idle(); }));
}

}  // namespace nettlestall::trunk
