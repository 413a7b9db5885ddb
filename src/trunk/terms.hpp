// Terms of the trunk signalling between two hubs, after ITU-T Q.763 and Q.764. The coding is this project's
// own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::trunk {

using PointCode = int;      // identifies a hub: 1 to 16383 (14 bits, as in Q.704)
using CircuitNumber = int;  // position within the circuit group, from 1 on
using CircuitList = std::vector<CircuitNumber>;

constexpr PointCode kMaxPointCode = 16383;
constexpr int kMaxCircuitsPerGroup = 2048;  // keeps the claims of all circuits within one message
constexpr int kMaxCircuitsPerCall = 64;

// Reference of one call on a group, assigned by the end that seized the circuits. The top bit is set by the
// end with the higher point code, 31 bits hold that end's incarnation and 32 bits a counter, so neither the
// two ends nor two incarnations of a restarted end ever assign the same reference.
using CallRef = std::uint64_t;
constexpr CallRef kNoCall = 0;
// In a query response, in place of a reference: the circuit waits for a message from the other end.
constexpr CallRef kTransient = ~CallRef{0};

// The point codes of the two ends of a group, as one of them sees them.
struct PointCodes {
    PointCode own = 1, far = 2;
    bool own_is_higher() const { return own > far; }
};

// Why a seizure failed or a call ended. The values are sent to the far end.
enum class Reason : std::uint8_t {
    normal = 0,     // the call ended normally, or its set-up was cancelled
    glare = 1,      // the seizure lost a dual seizure (Q.764, 2.9.1); the far hub was never offered the call
    not_idle = 2,   // one of its circuits is not idle at the far end; the far hub was never offered the call
    unusable = 3,   // one of its circuits is blocked at the far end; the far hub was never offered the call
    refused = 4,    // by the far end's decision module; the set-up may safely be tried again
    failed = 5,     // at the far end
    cut = 6,        // the call had been answered and was cut off
    link_lost = 7,  // the link was lost; the outcome at the far end is unknown
    reset = 8,      // the circuit was reset (Q.764, 2.9.3)
};
constexpr int kReasonCount = 9;

// What a set-up carries from hub to hub. The values are passed on unchanged.
struct CallData {
    CallId call{};  // 16 hex digits, the same at both ends
    std::string service_class{}, number{}, description{};
    int destination = kNoExchange;  // exchange number
    int via = kNoExchange;          // exchange number of the hub that sends it
    Duration time_limit{};          // until the sender cancels the set-up
    bool is_reconnect = false, redial = false;
};

// Whether a circuit is blocked for new calls. Hard blocking also cuts the call that is on the circuit.
enum class Blocking : std::uint8_t { none = 0, soft = 1, hard = 2 };

}  // namespace nettlestall::trunk
