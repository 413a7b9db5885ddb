// What the process that serves and the one that takes over tell each other. A message is a length, a kind and
// parts; descriptors travel beside the bytes. Knows no socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::protocol {

enum class HandoverKind : std::uint8_t {
    hello = 1,          // name, version; from the old one with its listening socket
    exchange_list,      // the exchanges, as a line of the feed
    take_over,          // the new one is ready
    handed_over,        // the old one accepts no more
    caller_connection,  // has asked (1 or 0), bytes of a message that has begun; with the connection
    remaining_callers,  // callers' connections that the old one still has
    standing_call,      // exchange, call, origin
    call_ended,         // exchange, call, 1 where it came to its end and 0 where it was cut
    call_released,      // call, by its caller
};

struct HandoverMessage {
    HandoverKind kind{};
    std::vector<std::string> parts;

    static HandoverMessage hello();
    bool is_valid_hello() const;  // in this version
    bool carries_descriptor() const {
        return kind == HandoverKind::hello || kind == HandoverKind::caller_connection;
    }
    std::string encode() const;
};

class HandoverReader {
   public:
    static constexpr std::size_t kMaxMessageBytes = 1024 * 1024;  // of a message behind its length

    std::span<char> read_buffer();
    // False: malformed, the conversation is over.
    bool consume(std::size_t bytes);
    std::optional<HandoverMessage> next();  // nothing: more is wanted

   private:
    std::vector<char> bytes_;
    std::size_t end_ = 0;
    std::vector<HandoverMessage> whole_;
};

}  // namespace nettlestall::protocol
