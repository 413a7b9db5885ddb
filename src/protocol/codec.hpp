// The binary messages of callers and carrier switches. A connection's bytes are cut into messages in place;
// what a message holds is given as views into these bytes.
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
    release_complete = 16,
    group_state = 43,
    health_check = 52,
    health_check_result = 53,
};

enum class ParameterCode : std::uint8_t {
    service_class = 16,
    time_left = 18,
    redial = 22,
    number = 24,
    attributes = 26,
    note = 30,
    report = 34,
    cause = 44,
    description = 46,
};

namespace cause {
constexpr std::uint8_t kNormalClearing = 16, kBusy = 17, kNoCircuit = 34, kReset = 41, kCongestion = 42,
                       kFault = 47, kTimerExpired = 102, kMissingParameter = 96;
}

constexpr std::size_t kLengthBytes = 2;
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kHeaderBytes = 1 + kIdBytes;   // counted by the length, before the parameters
constexpr std::size_t kMaxMessageBytes = 16 * 1024;  // all of it, the length too
constexpr std::size_t kParameterHeaderBytes = 1 + 2;

// One message in place. Made only by Inbox, which has checked that its parameters fill it exactly.
struct Message {
    MessageType type{};
    std::string_view id;          // eight bytes
    std::string_view parameters;  // one after the other

    std::optional<std::string_view> find(ParameterCode code) const;
    std::string_view text(ParameterCode code) const { return find(code).value_or(std::string_view{}); }
    std::uint8_t cause() const;  // nought where there is none
    CallId call() const;         // 16 hex digits
    bool has_call_id() const { return id.find_first_not_of('\0') != std::string_view::npos; }
};

// The bytes of one connection. Read into space(), tell filled(), then take messages until there is none; a
// message's views hold until space() is called again.
class MessageReader {
   public:
    enum class Result { message, incomplete, malformed };

    std::span<char> read_buffer();
    void add_bytes(std::size_t bytes);
    Result next(Message& message);

    bool has_partial_message() const { return end_ > begin_; }
    std::string_view partial_message() const { return {bytes_.data() + begin_, end_ - begin_}; }
    std::uint64_t whole_messages() const { return whole_messages_; }

    // Both in one: takes what was read and hands on each message. False once one is malformed, or `take` says
    // that it is.
    template <class F>
    bool consume(std::size_t bytes, F&& take) {
        add_bytes(bytes);
        Message message;
        Result found = next(message);
        for (; found == Result::message; found = next(message))
            if (!take(message)) return false;
        return found != Result::malformed;
    }

   private:
    std::vector<char> bytes_;
    std::size_t begin_ = 0, end_ = 0;
    std::uint64_t whole_messages_ = 0;
};

// A message on its way out: its head, and a description behind it that is not copied.
struct Frame {
    std::string header;
    std::shared_ptr<const std::string> description;
    bool is_attempt = false;  // a set-up to a carrier switch: counted once it is written whole

    std::size_t size() const { return header.size() + (description ? description->size() : 0); }
};

class FrameBuilder {
   public:
    FrameBuilder(MessageType type, const CallId& call);
    FrameBuilder& text(ParameterCode code, std::string_view value);
    FrameBuilder& cause(std::uint8_t value);
    Frame build();
    Frame build(std::shared_ptr<const std::string> description);

   private:
    Frame close(std::shared_ptr<const std::string> tail);
    std::string head_;
};

// The pairs of a text such as `dest:2;width:1`.
template <class F>
void for_each_attribute(std::string_view text, F&& found) {
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find(';'));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        if (const auto colon = pair.find(':'); colon != std::string_view::npos)
            found(pair.substr(0, colon), pair.substr(colon + 1));
    }
}

std::optional<double> to_number(std::string_view text);
std::optional<std::int64_t> to_integer(std::string_view text);

// A report such as `x0:12;x1:40`; names that are not known are passed over.
LoadReport read_load_report(std::string_view text);

}  // namespace nettlestall::protocol
