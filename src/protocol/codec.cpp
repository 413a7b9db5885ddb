#include "protocol/codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>

namespace nettlestall::protocol {
namespace {

constexpr std::size_t kRoom = 4 * 1024;  // of a connection at rest: a dozen usual messages

std::size_t big_endian(const char* at) {
    return static_cast<std::size_t>(static_cast<unsigned char>(at[0])) << 8 |
           static_cast<unsigned char>(at[1]);
}

void put_big_endian(std::string& to, std::size_t at, std::size_t value) {
    to[at] = static_cast<char>(value >> 8);
    to[at + 1] = static_cast<char>(value & 0xFF);
}

// Whether the parameters follow one another up to the message's last byte.
bool whole(std::string_view parameters) {
    while (!parameters.empty()) {
        if (parameters.size() < kParameterHeaderBytes) return false;
        const std::size_t length = kParameterHeaderBytes + big_endian(parameters.data() + 1);
        if (parameters.size() < length) return false;
        parameters.remove_prefix(length);
    }
    return true;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    return 0;
}

}  // namespace

std::optional<std::string_view> Message::find(ParameterCode code) const {
    for (std::string_view rest = parameters; !rest.empty();) {
        const std::size_t length = big_endian(rest.data() + 1);
        if (static_cast<std::uint8_t>(rest[0]) == static_cast<std::uint8_t>(code))
            return rest.substr(kParameterHeaderBytes, length);
        rest.remove_prefix(kParameterHeaderBytes + length);
    }
    return std::nullopt;
}

std::uint8_t Message::cause() const {
    const std::string_view value = text(ParameterCode::cause);
    return value.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(value[0]);
}

CallId Message::call() const {
    CallId text;
    text.reserve(2 * id.size());
    for (const char c : id)
        for (const int nibble : {static_cast<unsigned char>(c) >> 4, c & 15})
            text += "0123456789abcdef"[nibble];
    return text;
}

std::span<char> MessageReader::read_buffer() {
    if (begin_ > 0) {
        std::memmove(bytes_.data(), bytes_.data() + begin_, end_ - begin_);
        end_ -= begin_;
        begin_ = 0;
    }
    // Room for the whole message that has begun, whose length next() has judged; given back when it is taken.
    const std::size_t begun = end_ < kLengthBytes ? 0 : kLengthBytes + big_endian(bytes_.data());
    const std::size_t room = std::max(kRoom, begun);
    if (bytes_.size() < room) bytes_.resize(room);
    if (bytes_.size() > room) {
        bytes_.resize(room);
        bytes_.shrink_to_fit();
    }
    return {bytes_.data() + end_, bytes_.size() - end_};
}

void MessageReader::add_bytes(std::size_t bytes) {
    end_ += bytes;
}

MessageReader::Result MessageReader::next(Message& message) {
    const std::size_t held = end_ - begin_;
    if (held < kLengthBytes) return Result::incomplete;
    const char* at = bytes_.data() + begin_;
    const std::size_t length = big_endian(at);
    // Judged by the length alone: a peer that announces too much must not be waited for.
    if (length < kHeaderBytes || length + kLengthBytes > kMaxMessageBytes) return Result::malformed;
    if (held < kLengthBytes + length) return Result::incomplete;
    const std::string_view body(at + kLengthBytes, length);
    message.type = static_cast<MessageType>(static_cast<std::uint8_t>(body[0]));
    message.id = body.substr(1, kIdBytes);
    message.parameters = body.substr(kHeaderBytes);
    if (!whole(message.parameters)) return Result::malformed;
    begin_ += kLengthBytes + length;
    ++whole_messages_;
    return Result::message;
}

FrameBuilder::FrameBuilder(MessageType type, const CallId& call) : head_(kLengthBytes, '\0') {
    head_ += static_cast<char>(type);
    for (std::size_t i = 0; i < kIdBytes; ++i) {
        const bool there = 2 * i + 1 < call.size();
        head_ += static_cast<char>(there ? hex_digit(call[2 * i]) * 16 + hex_digit(call[2 * i + 1]) : 0);
    }
}

FrameBuilder& FrameBuilder::text(ParameterCode code, std::string_view value) {
    const std::size_t at = head_.size();
    head_.append(kParameterHeaderBytes, static_cast<char>(code));
    put_big_endian(head_, at + 1, value.size());
    head_.append(value);
    return *this;
}

FrameBuilder& FrameBuilder::cause(std::uint8_t value) {
    const char byte = static_cast<char>(value);
    return text(ParameterCode::cause, {&byte, 1});
}

Frame FrameBuilder::build() {
    return close(nullptr);
}

Frame FrameBuilder::build(std::shared_ptr<const std::string> description) {
    if (!description) return close(nullptr);
    const std::size_t at = head_.size();
    head_.append(kParameterHeaderBytes, static_cast<char>(ParameterCode::description));
    put_big_endian(head_, at + 1, description->size());
    return close(std::move(description));
}

Frame FrameBuilder::close(std::shared_ptr<const std::string> tail) {
    Frame frame{.header = std::move(head_), .description = std::move(tail)};
    put_big_endian(frame.header, 0, frame.size() - kLengthBytes);
    return frame;
}

std::optional<double> to_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::optional<std::int64_t> to_integer(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

LoadReport read_load_report(std::string_view text) {
    LoadReport load;
    for_each_attribute(text, [&load](std::string_view name, std::string_view value) {
        const auto number = to_number(value);
        if (!number) return;
        const auto circuits = [&] { return static_cast<int>(std::lround(std::clamp(*number, -1.0, 1e9))); };
        if (name == "x0" || name == "free") load.free_circuits = circuits();
        if (name == "x1" || name == "size") load.group_size = circuits();
        if (name == "inflight" || name == "busy_reqs") load.busy_messages = *number;
        if (name == "queue" || name == "pending") load.waiting_messages = *number;
        if (name == "util" || name == "cpu_share") load.utilisation = *number;
        if (name == "latency_ms" || name == "svc_ms") load.wait_ms = *number;
        if (name == "qps" || name == "can_take") load.max_set_ups_per_second = *number;
        if (name == "eps" || name == "hold_back") load.throttle_share = *number;
    });
    return load;
}

}  // namespace nettlestall::protocol
