#include "trunk/circuits.hpp"

#include <algorithm>
#include <array>

namespace nettlestall::trunk {
namespace {

using S = CircuitState;
using E = CircuitEvent;

constexpr S kNot = static_cast<S>(255);  // can't happen

// By state, then by event: seize, accept, take, answer, yield, release, clear, reset, doubt. A seizure of the
// far end may take a circuit that yields: it is the one that won. A circuit that is being released or reset
// takes none, which guards against a seizure that crosses a release.
constexpr std::array<std::array<S, kCircuitEventCount>, kCircuitStateCount> kNext{{
    /* idle       */ {S::seizing, kNot, S::incoming, kNot, kNot, kNot, kNot, S::resetting, S::unsure},
    /* seizing    */
    {kNot, S::proceeding, kNot, kNot, S::yielding, S::releasing, S::idle, S::resetting, S::unsure},
    /* proceeding */ {kNot, kNot, kNot, S::standing, kNot, S::releasing, S::idle, S::resetting, S::unsure},
    /* incoming   */ {kNot, kNot, kNot, S::standing, kNot, S::releasing, S::idle, S::resetting, S::unsure},
    /* standing   */ {kNot, kNot, kNot, kNot, kNot, S::releasing, S::idle, S::resetting, S::unsure},
    /* yielding   */ {kNot, kNot, S::incoming, kNot, kNot, kNot, S::idle, S::resetting, S::unsure},
    /* releasing  */ {kNot, kNot, kNot, kNot, kNot, kNot, S::idle, S::resetting, S::unsure},
    /* resetting  */ {kNot, kNot, kNot, kNot, kNot, kNot, S::idle, S::resetting, S::unsure},
    /* unsure     */ {kNot, kNot, kNot, kNot, kNot, kNot, S::idle, S::resetting, S::unsure},
}};

constexpr std::array<std::string_view, kCircuitStateCount> kNames{
    "idle", "seizing", "proceeding", "incoming", "standing", "yielding", "releasing", "resetting", "unsure"};

}  // namespace

std::string_view name_of(CircuitState state) {
    return kNames[static_cast<std::size_t>(state)];
}

bool next_state(CircuitState state, CircuitEvent event, CircuitState& next) {
    const S to = kNext[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
    if (to == kNot) return false;
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
    if (next == S::idle) circuit.idle_since = ++fallen_idle_;
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
