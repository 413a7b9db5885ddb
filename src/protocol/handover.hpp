// The messages between a serving process and the successor that takes over from it in an upgrade. A message
// is a length of four bytes, a kind of one byte and parts; each part is a length of four bytes and its text.
// File descriptors are passed beside the bytes. This code does no I/O of its own.
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

// The kinds of messages. The comments name the parts. Each part is text; a flag is `1` or `0`.
enum class HandoverKind : std::uint8_t {
    hello = 1,          // name, version; with the listening socket if the predecessor sends it
    exchange_list,      // the exchanges, as a line of the control feed
    take_over,          // no parts: the successor is ready
    handed_over,        // no parts: the predecessor accepts no more connections
    caller_connection,  // flag: has sent a request; bytes of a message that has begun; with the connection
    remaining_callers,  // how many callers' connections the predecessor still has
    standing_call,      // exchange, call, origin
    call_ended,         // exchange, call, flag: ended in the normal way, else it was cut
    call_released,      // call; by its caller
};

// One message, with as many parts as its kind has.
struct HandoverMessage {
    HandoverKind kind{};
    std::vector<std::string> parts;

    // The hello of this program in this version of the messages.
    static HandoverMessage hello();
    // Whether it equals hello().
    bool is_valid_hello() const;
    // Whether a file descriptor may come with it.
    bool carries_descriptor() const {
        return kind == HandoverKind::hello || kind == HandoverKind::caller_connection;
    }
    // The bytes of the message, its length field included.
    std::string encode() const;
};

// Splits the bytes of one connection into messages.
class HandoverReader {
   public:
    static constexpr std::size_t kMaxMessageBytes = 1024 * 1024;  // without the message's own length field

    // Where the next bytes are to be read into.
    std::span<char> read_buffer();
    // Handles `bytes` bytes that were read into read_buffer(). False: they are malformed and the connection
    // is to be closed.
    bool consume(std::size_t bytes);
    // Takes the next message; std::nullopt if none is complete.
    std::optional<HandoverMessage> next();

   private:
    std::vector<char> bytes_;
    std::size_t end_ = 0;                    // how many bytes of an incomplete message bytes_ holds
    std::vector<HandoverMessage> messages_;  // complete, not taken yet
};

}  // namespace nettlestall::protocol
