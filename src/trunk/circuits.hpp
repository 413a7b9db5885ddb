// The circuits of one end of a group: one state machine each. Whatever happens to a call goes through here
// for each of its circuits, and what a circuit can't do in its state is not done. No I/O and no clock.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "trunk/terms.hpp"

namespace nettlestall::trunk {

enum class CircuitState : std::uint8_t {
    idle,
    seizing,     // our seizure is on its way, without a reply
    proceeding,  // the far end has taken our seizure
    incoming,    // the far end's seizure, which we took
    standing,    // answered, whoever seized it
    yielding,    // our seizure lost a glare; the far end has not said so yet
    releasing,   // our release is on its way (the guard of Q.764, 2.3)
    resetting,   // our reset is on its way
    unsure,      // not known to be idle at the far end: it is reset before anything else
};
constexpr int kCircuitStateCount = 9;
std::string_view name_of(CircuitState state);

enum class CircuitEvent : std::uint8_t {
    seize,            // by this end
    accept,           // the far end took it
    accept_incoming,  // the far end's seizure is taken
    answer,           // by either end
    yield,            // to the far end's seizure
    release,          // by this end, towards the far end
    clear,            // the far end has released it, or confirms our release, reset or yielding
    reset,            // by this end
    mark_unsure,      // the link was lost for good, or the far end contradicts us
};
constexpr int kCircuitEventCount = 9;

// Where `event` leads from `state`; false: it can't happen there, and nothing changes.
bool next_state(CircuitState state, CircuitEvent event, CircuitState& next);

struct Circuit {
    CircuitState state = CircuitState::idle;
    CallRef call = kNoCall;
    Blocking blocked_here = Blocking::none, blocked_there = Blocking::none;
    std::uint32_t changes = 0;     // of state or call: what is known of it is as old as this number
    std::uint64_t idle_since = 0;  // order in which circuits fell idle; nought: never busy

    bool is_idle() const { return state == CircuitState::idle; }
    // This end awaits the far end's word on it, and lets go by itself if that does not come.
    bool is_transient() const {
        return state == CircuitState::seizing || state == CircuitState::yielding ||
               state == CircuitState::releasing || state == CircuitState::resetting ||
               state == CircuitState::unsure;
    }
    bool is_free() const {
        return is_idle() && blocked_here == Blocking::none && blocked_there == Blocking::none;
    }
};

class Circuits {
   public:
    explicit Circuits(int size) : circuits_(static_cast<std::size_t>(size)) {}

    int size() const { return static_cast<int>(circuits_.size()); }
    bool exists(CircuitNumber number) const { return number >= 1 && number <= size(); }
    const Circuit& at(CircuitNumber number) const { return circuits_[index(number)]; }

    // False: it can't happen in its state, and nothing changed. `call` is of whom the circuit is then.
    bool apply(CircuitNumber number, CircuitEvent event, CallRef call);
    void block_here(CircuitNumber number, Blocking blocking) {
        circuits_[index(number)].blocked_here = blocking;
    }
    void block_there(CircuitNumber number, Blocking blocking) {
        circuits_[index(number)].blocked_there = blocking;
    }

    int free_count() const;  // that a set-up may seize
    int busy_count() const;  // that are not idle

   private:
    static std::size_t index(CircuitNumber number) { return static_cast<std::size_t>(number - 1); }
    std::vector<Circuit> circuits_;
    std::uint64_t fallen_idle_ = 0;
};

}  // namespace nettlestall::trunk
