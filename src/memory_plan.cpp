#include "memory_plan.hpp"

#include <algorithm>

namespace nettlestall {
namespace {

// Descriptors that callers cannot use: for the carrier switches, the feed and the process's own files.
constexpr std::size_t kReservedSockets = 96;
constexpr std::size_t kBytesPerCall = 800;  // in the call table and the decision module: 750, rounded up
// Memory for each caller's connection: a message that is being read, and a share of the queues.
constexpr std::size_t kBytesPerCaller = 80 * 1024;

// Parts of the memory, as divisors.
constexpr std::size_t kCallerPart = 2;  // callers' connections, if their number is not limited otherwise
constexpr std::size_t kCallerQueuePart = 6;
constexpr std::size_t kSwitchQueuePart = 16;
constexpr std::size_t kSetUpPart = 6;
constexpr std::size_t kCallTablePart = 5;
constexpr std::size_t kFeedLinePart = 128;  // a line takes about ten times its length while it is parsed

std::size_t reserved_sockets(const config::Config& config) {
    return std::min(kReservedSockets, static_cast<std::size_t>(config.max_sockets) / 2);
}

std::size_t max_callers(const config::Config& config, std::size_t memory_bytes) {
    const std::size_t by_sockets = static_cast<std::size_t>(config.max_sockets) - reserved_sockets(config);
    const std::size_t by_memory = memory_bytes / kCallerPart / kBytesPerCaller;
    return std::max<std::size_t>(1, std::min(by_sockets, by_memory));
}

}  // namespace

MemoryPlan::MemoryPlan(const config::Config& config) {
    const std::size_t memory_bytes = static_cast<std::size_t>(config.memory_mb) * 1024 * 1024;
    max_callers = nettlestall::max_callers(config, memory_bytes);
    caller_queue_bytes = memory_bytes / kCallerQueuePart;
    switch_queue_bytes = memory_bytes / kSwitchQueuePart;
    set_up_bytes = memory_bytes / kSetUpPart;
    max_calls = memory_bytes / kCallTablePart / kBytesPerCall;
    feed_line_bytes = memory_bytes / kFeedLinePart;
    // The rest is for the feed, operators and files.
    max_switch_connections = reserved_sockets(config) * 3 / 4;
}

}  // namespace nettlestall
