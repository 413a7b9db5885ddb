#include "protocol/codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>

namespace nettlestall::protocol {
namespace {

// The buffer size of a connection on which no longer message has begun: enough for a dozen usual messages.
constexpr std::size_t kBufferBytes = 4 * 1024;

// Both handle a length of two bytes.
std::size_t read_big_endian(const char* bytes) {
    return static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) << 8 |
           static_cast<unsigned char>(bytes[1]);
}

void write_big_endian(std::string& bytes, std::size_t offset, std::size_t value) {
    bytes[offset] = static_cast<char>(value >> 8);
    bytes[offset + 1] = static_cast<char>(value & 0xFF);
}

// Whether the parameters are complete and not too many, and the last one ends with the message's last byte.
bool is_well_formed(std::string_view parameters) {
    for (std::size_t count = 1; !parameters.empty(); ++count) {
        if (parameters.size() < kParameterHeaderBytes || count > kMaxParameters) return false;
        const std::size_t length = kParameterHeaderBytes + read_big_endian(parameters.data() + 1);
        if (parameters.size() < length) return false;
        parameters.remove_prefix(length);
    }
    return true;
}

// The value of a lower-case hex digit; zero for any other character.
int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    return 0;
}

}  // namespace

std::optional<std::string_view> Message::find(ParameterCode code) const {
    for (std::string_view rest = parameters; !rest.empty();) {
        const std::size_t length = read_big_endian(rest.data() + 1);
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
    // Makes room for the whole of the message that has begun, whose length next() has checked. Once that
    // message was taken, the memory is freed.
    const std::size_t message_bytes = end_ < kLengthBytes ? 0 : kLengthBytes + read_big_endian(bytes_.data());
    const std::size_t buffer_bytes = std::max(kBufferBytes, message_bytes);
    if (bytes_.size() < buffer_bytes) bytes_.resize(buffer_bytes);
    if (bytes_.size() > buffer_bytes) {
        bytes_.resize(buffer_bytes);
        bytes_.shrink_to_fit();
    }
    return {bytes_.data() + end_, bytes_.size() - end_};
}

void MessageReader::add_bytes(std::size_t bytes) {
    end_ += bytes;
}

MessageReader::Result MessageReader::next(Message& message) {
    const std::size_t available = end_ - begin_;
    if (available < kLengthBytes) return Result::incomplete;
    const char* start = bytes_.data() + begin_;
    const std::size_t length = read_big_endian(start);
    // Checked before the rest has come: the rest of a message that is announced as too long must not be
    // waited for.
    if (length < kHeaderBytes || length + kLengthBytes > kMaxMessageBytes) return Result::malformed;
    if (available < kLengthBytes + length) return Result::incomplete;
    const std::string_view body(start + kLengthBytes, length);
    message.type = static_cast<MessageType>(static_cast<std::uint8_t>(body[0]));
    message.id = body.substr(1, kIdBytes);
    message.parameters = body.substr(kHeaderBytes);
    if (!is_well_formed(message.parameters)) return Result::malformed;
    begin_ += kLengthBytes + length;
    ++whole_messages_;
    return Result::message;
}

FrameBuilder::FrameBuilder(MessageType type, const CallId& call) : header_(kLengthBytes, '\0') {
    header_ += static_cast<char>(type);
    for (std::size_t i = 0; i < kIdBytes; ++i) {
        const bool is_given = 2 * i + 1 < call.size();
        header_ += static_cast<char>(is_given ? hex_digit(call[2 * i]) * 16 + hex_digit(call[2 * i + 1]) : 0);
    }
}

FrameBuilder& FrameBuilder::text(ParameterCode code, std::string_view value) {
    const std::size_t offset = header_.size();
    header_.append(kParameterHeaderBytes, static_cast<char>(code));
    write_big_endian(header_, offset + 1, value.size());
    header_.append(value);
    return *this;
}

FrameBuilder& FrameBuilder::cause(std::uint8_t value) {
    const char byte = static_cast<char>(value);
    return text(ParameterCode::cause, {&byte, 1});
}

Frame FrameBuilder::build() {
    return finish(nullptr);
}

Frame FrameBuilder::build(std::shared_ptr<const std::string> description) {
    if (!description) return finish(nullptr);
    const std::size_t offset = header_.size();
    header_.append(kParameterHeaderBytes, static_cast<char>(ParameterCode::description));
    write_big_endian(header_, offset + 1, description->size());
    return finish(std::move(description));
}

Frame FrameBuilder::finish(std::shared_ptr<const std::string> description) {
    Frame frame{.header = std::move(header_), .description = std::move(description)};
    write_big_endian(frame.header, 0, frame.size() - kLengthBytes);
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
        // Each value has two names.
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
