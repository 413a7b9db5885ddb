// The circuits of one end of a group, each with its own state machine. Every change of a call is applied to
// each of its circuits here, and an event that is not allowed in a circuit's state is rejected. No I/O and no
// clock.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "trunk/terms.hpp"

namespace nettlestall::trunk {

// State of one circuit as this end sees it.
enum class CircuitState : std::uint8_t {
    idle,
    seizing,     // this end sent a seizure and has no reply yet
    proceeding,  // the far end has accepted this end's seizure
    incoming,    // this end has accepted the far end's seizure
    standing,    // the call is answered, whichever end seized the circuit
    yielding,    // this end's seizure lost a dual seizure; the far end has not rejected it yet
    releasing,   // this end sent a release that is not confirmed yet (the release guard of Q.764, 2.3)
    resetting,   // this end sent a reset that is not confirmed yet
    unsure,      // not known to be idle at the far end; has to be reset or cleared first
};
constexpr int kCircuitStateCount = 9;
// The state's name as operators see it.
std::string_view name_of(CircuitState state);

// What can happen to a circuit; next_state() tells what it leads to in each state.
enum class CircuitEvent : std::uint8_t {
    seize,            // this end seizes the circuit
    accept,           // the far end accepts this end's seizure
    accept_incoming,  // this end accepts the far end's seizure
    answer,           // either end answers
    yield,            // this end's seizure loses to the far end's
    release,          // this end releases the call
    clear,            // the far end has released the call, or confirms this end's release, reset or yielding
    reset,            // this end resets the circuit
    mark_unsure,      // the link has restarted or was down for too long; the far end's view is unknown
};
constexpr int kCircuitEventCount = 9;

// Sets `next` to the state that `event` leads to from `state`. False if the event is not allowed in that
// state; `next` is unchanged then.
bool next_state(CircuitState state, CircuitEvent event, CircuitState& next);

// One circuit: its state, the call that is on it, and how each end blocks it.
struct Circuit {
    CircuitState state = CircuitState::idle;
    CallRef call = kNoCall;
    Blocking blocked_here = Blocking::none, blocked_there = Blocking::none;
    // Counts changes of state or call, which shows whether something known about the circuit still holds.
    std::uint32_t changes = 0;
    // Rises each time that a circuit of the group becomes idle; zero: never busy.
    std::uint64_t idle_order = 0;

    bool is_idle() const { return state == CircuitState::idle; }
    // This end waits for a message from the far end. If none comes, a time limit or a restart of the link
    // settles the state, so audits leave the circuit alone.
    bool is_transient() const {
        return state == CircuitState::seizing || state == CircuitState::yielding ||
               state == CircuitState::releasing || state == CircuitState::resetting ||
               state == CircuitState::unsure;
    }
    // Idle and not blocked: a set-up may seize it.
    bool is_free() const {
        return is_idle() && blocked_here == Blocking::none && blocked_there == Blocking::none;
    }
};

// All circuits of a group, numbered from 1 to size().
class Circuits {
   public:
    explicit Circuits(int size) : circuits_(static_cast<std::size_t>(size)) {}

    int size() const { return static_cast<int>(circuits_.size()); }
    bool exists(CircuitNumber number) const { return number >= 1 && number <= size(); }
    const Circuit& at(CircuitNumber number) const { return circuits_[index(number)]; }

    // Applies `event`; `call` is the call that has the circuit afterwards. False if the event is not allowed
    // in the circuit's state; nothing changes then.
    bool apply(CircuitNumber number, CircuitEvent event, CallRef call);
    // Sets how this end, or the far end, blocks the circuit; the call on it is not changed.
    void block_here(CircuitNumber number, Blocking blocking) {
        circuits_[index(number)].blocked_here = blocking;
    }
    void block_there(CircuitNumber number, Blocking blocking) {
        circuits_[index(number)].blocked_there = blocking;
    }

    int free_count() const;  // circuits that a set-up may seize
    int busy_count() const;  // circuits that are not idle

   private:
    static std::size_t index(CircuitNumber number) { return static_cast<std::size_t>(number - 1); }
    std::vector<Circuit> circuits_;
    std::uint64_t last_idle_order_ = 0;
};

}  // namespace nettlestall::trunk
