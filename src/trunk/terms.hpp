// Terms of the trunk signalling between two hubs, after ITU-T Q.763 and Q.764. The coding is our own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::trunk {

using PointCode = int;      // of a hub, 1 to 16383 (14 bits, as in Q.704)
using CircuitNumber = int;  // within its group, from 1 on
using CircuitList = std::vector<CircuitNumber>;

constexpr PointCode kMaxPointCode = 16383;
constexpr int kMaxCircuitsPerGroup = 2048;  // of one group: a claim of all of them is one message
constexpr int kMaxCircuitsPerCall = 64;     // circuits of one call

// One call on a group, named by the end that seized. Both ends and both lives of a restarted end make
// different ones: the top bit tells the end with the higher point code, 31 bits its life, 32 count.
using CallRef = std::uint64_t;
constexpr CallRef kNoCall = 0;
constexpr CallRef kTransient =
    ~CallRef{0};  // in a query response: the circuit awaits a word of the other end

// Of one end of a group.
struct PointCodes {
    PointCode own = 1, far = 2;
    bool own_is_higher() const { return own > far; }
};

// Why a seizure, or a call, comes to nothing or to its end.
enum class Reason : std::uint8_t {
    normal = 0,     // the call has come to its end, or was given up
    glare = 1,      // it lost a dual seizure (Q.764, 2.9.1): it never ran
    not_idle = 2,   // a circuit of it is not idle at the far end: it never ran
    unusable = 3,   // a circuit of it is blocked or does not exist there: it never ran
    refused = 4,    // by the far end's decision module: trying again is harmless
    failed = 5,     // by the far end
    cut = 6,        // the call stood and was cut
    link_lost = 7,  // nobody knows what became of it
    reset = 8,      // the circuit was reset (Q.764, 2.9.3)
};
constexpr int kReasonCount = 9;

// What a set-up carries from hub to hub; the values are passed on as they came.
struct CallData {
    CallId call{};  // 16 hex digits, the same at both ends
    std::string service_class{}, number{}, description{};
    int destination = kNoExchange;
    int via = kNoExchange;  // number of the hub that sends it
    Duration wait{};        // until the sender gives it up
    bool again = false, redial = false;
};

enum class Blocking : std::uint8_t { none = 0, soft = 1, hard = 2 };  // hard: calls on it are cut

}  // namespace nettlestall::trunk
