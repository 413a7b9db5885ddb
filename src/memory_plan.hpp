// Divides the memory and the descriptors that the configuration allows among the parts of the program.
#pragma once

#include <cstddef>

#include "config/config.hpp"

namespace nettlestall {

// The shares add up to no more than the memory limit; the rest is for the process itself.
struct MemoryPlan {
    std::size_t max_callers;         // callers' connections that are open at a time
    std::size_t caller_queue_bytes;  // messages that wait for being written to callers
    std::size_t switch_queue_bytes;  // messages that wait for being written to carrier switches
    std::size_t set_up_bytes;        // set-ups without a final answer
    std::size_t max_calls;           // calls without a final answer and standing calls
    std::size_t feed_line_bytes;     // the longest line of the control feed
    // Connections to carrier switches, above which none is opened beside another one to hear releases.
    std::size_t max_switch_connections;

    explicit MemoryPlan(const config::Config& config);
};

}  // namespace nettlestall
