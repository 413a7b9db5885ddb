// Reads and writes the binary messages of callers and carrier switches. The bytes of a connection are split
// into messages in place: the contents of a message are given as views into these bytes.
//
// A message is a length of two bytes, a type, a call id of eight bytes and parameters. A parameter is a code,
// a length of two bytes and its value. All lengths are big-endian and count what follows them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::protocol {

enum class MessageType : std::uint8_t {
    set_up = 1,
    progress = 6,
    answer = 9,
    release = 12,
    release_complete = 16,  // confirms a release
    group_state = 43,       // circuits toward the exchange; belongs to no call
    health_check = 52,
    health_check_result = 53,  // its cause is 1 if the gatekeeper is ready, else 0
};

enum class ParameterCode : std::uint8_t {
    service_class = 16,  // its name
    time_left = 18,      // milliseconds, as decimal text
    redial = 22,         // `1` for a redial
    number = 24,         // the number called
    attributes = 26,     // of a set-up: pairs such as `dest:2;width:1`
    note = 30,           // details of a release's cause, such as `no_circuit`
    report = 34,         // load of the exchange: pairs such as `x0:12;x1:40`
    cause = 44,          // one byte
    description = 46,    // of the media
};

// Values of the parameter `cause`.
namespace cause {
constexpr std::uint8_t kNormalClearing = 16, kBusy = 17, kNoCircuit = 34, kReset = 41, kCongestion = 42,
                       kFault = 47, kTimerExpired = 102, kMissingParameter = 96;
}

constexpr std::size_t kLengthBytes = 2;  // the message's length field
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kHeaderBytes = 1 + kIdBytes;    // type and call id; the message's length counts them
constexpr std::size_t kMaxMessageBytes = 16 * 1024;   // the length field included
constexpr std::size_t kParameterHeaderBytes = 1 + 2;  // code and length
// Of one message; the protocol has twelve. Each look for a parameter goes through them.
constexpr std::size_t kMaxParameters = 64;

// One message in place. Made only by MessageReader, which has checked that the parameters fill it exactly.
struct Message {
    MessageType type{};
    std::string_view id;          // the call id: eight bytes
    std::string_view parameters;  // one after the other

    // The value of the first parameter with this code; std::nullopt if there is none.
    std::optional<std::string_view> find(ParameterCode code) const;
    // The same, empty if there is none.
    std::string_view text(ParameterCode code) const { return find(code).value_or(std::string_view{}); }
    std::uint8_t cause() const;  // zero if there is none
    CallId call() const;         // the call id as 16 lower-case hex digits
    // Zero is not a call id.
    bool has_call_id() const { return id.find_first_not_of('\0') != std::string_view::npos; }
};

// Splits the bytes of one connection into messages. Read into read_buffer() and then call consume(), or else
// call add_bytes() and then next() until it returns no further message. A message's views are valid until
// read_buffer() is called again.
class MessageReader {
   public:
    enum class Result { message, incomplete, malformed };

    // Where the next bytes are to be read into; never empty. It has room for the whole of a message that has
    // begun.
    std::span<char> read_buffer();
    // `bytes` bytes were read into read_buffer().
    void add_bytes(std::size_t bytes);
    // Takes the next message. Only with Result::message is `message` set. After Result::malformed the reader
    // can't be used any more.
    Result next(Message& message);

    // What has come and was not taken. Once next() has returned Result::incomplete, these are the bytes of a
    // message that is not complete yet.
    bool has_partial_message() const { return end_ > begin_; }
    std::string_view partial_message() const { return {bytes_.data() + begin_, end_ - begin_}; }
    // How many messages were taken.
    std::uint64_t whole_messages() const { return whole_messages_; }

    // Adds `bytes` bytes and calls `handle` with each message. False if a message is malformed or `handle`
    // returns false.
    template <class F>
    bool consume(std::size_t bytes, F&& handle) {
        add_bytes(bytes);
        Message message;
        Result found = next(message);
        for (; found == Result::message; found = next(message))
            if (!handle(message)) return false;
        return found != Result::malformed;
    }

   private:
    std::vector<char> bytes_;
    std::size_t begin_ = 0, end_ = 0;  // positions in bytes_: what has come and was not taken yet
    std::uint64_t whole_messages_ = 0;
};

// An encoded message: everything up to the description, and the description behind it, which is shared and
// not copied.
struct Frame {
    std::string header;
    std::shared_ptr<const std::string> description;
    bool is_attempt = false;  // a set-up to a carrier switch: counted once all of it was written

    std::size_t size() const { return header.size() + (description ? description->size() : 0); }
    // The memory that the message takes while it waits for being written; for a short one this is several
    // times its size.
    std::size_t held_bytes() const { return sizeof(Frame) + size(); }
};

// Encodes one message. Parameters are written in the order in which they are added. The size is not checked:
// the caller has to keep the message within kMaxMessageBytes.
class FrameBuilder {
   public:
    // `call`: 16 lower-case hex digits. Missing ones are written as zero, so an empty id stands for no call.
    FrameBuilder(MessageType type, const CallId& call);
    FrameBuilder& text(ParameterCode code, std::string_view value);
    FrameBuilder& cause(std::uint8_t value);
    // Both leave the builder empty. A null description is left out.
    Frame build();
    Frame build(std::shared_ptr<const std::string> description);

   private:
    Frame finish(std::shared_ptr<const std::string> description);
    std::string header_;
};

// Calls found(name, value) for each pair of a text such as `dest:2;width:1`. Parts without a colon are
// skipped.
template <class F>
void for_each_attribute(std::string_view text, F&& found) {
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find(';'));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        if (const auto colon = pair.find(':'); colon != std::string_view::npos)
            found(pair.substr(0, colon), pair.substr(colon + 1));
    }
}

// The whole text as a number; std::nullopt if it isn't one or is not finite.
std::optional<double> to_number(std::string_view text);
std::optional<std::int64_t> to_integer(std::string_view text);

// Reads a report such as `x0:12;x1:40`. Unknown names and values that are not numbers are ignored.
LoadReport read_load_report(std::string_view text);

}  // namespace nettlestall::protocol
