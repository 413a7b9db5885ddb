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
    hello = 1,      // name, version; with the listening socket if the predecessor sends it
    exchange_list,  // the exchanges, as a line of the control feed
    take_over,      // no parts: the successor is ready
    handed_over,    // no parts: the predecessor accepts no more connections
    // flag: has sent a request; bytes of a message that has begun; flag: has placed a call (from version 2
    // on); with the connection
    caller_connection,
    remaining_callers,  // how many callers' connections the predecessor still has
    // exchange, call, origin, port of the caller (from version 2 on), milliseconds since its set-up was sent
    // (from version 3 on)
    standing_call,
    call_ended,     // exchange, call, flag: ended in the normal way, else it was cut
    call_released,  // call; by its caller
    // From version 2 on.
    release_to_relay,  // call, origin, port, reason as its number; by the successor
    release_relayed,   // call, flag: was sent to its caller; by the predecessor
    // From version 3 on.
    set_up_taken,  // call, milliseconds for which the other process must not take it; by either
};

// The versions of the messages. A successor offers its newest one first, and the predecessor keeps to what it
// is offered if it knows it.
constexpr int kOldestHandoverVersion = 1, kNewestHandoverVersion = 3;
// From this version on the predecessor sends releases for the successor, and connections and calls come with
// the caller's port.
constexpr int kRelayHandoverVersion = 2;
// From this version on each process tells the other which set-ups it has taken, and calls come with their
// age.
constexpr int kTakenHandoverVersion = 3;

// One message, with as many parts as its kind has in the version.
struct HandoverMessage {
    HandoverKind kind{};
    std::vector<std::string> parts;

    static HandoverMessage hello(int version);
    // The version of a hello; std::nullopt if this is none of this program in a version that is known.
    std::optional<int> hello_version() const;
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
