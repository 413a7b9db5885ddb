#include "protocol/handover.hpp"

#include <cstring>

namespace nettlestall::protocol {
namespace {

constexpr std::size_t kReadBytes = 16 * 1024;  // buffer space for each read
constexpr std::size_t kLengthFieldBytes = 4;
constexpr const char* kName = "nettlestall";  // the first part of a hello

// How many parts a message of this kind may have, over all versions.
struct PartCount {
    std::size_t min, max;
};
PartCount part_count(HandoverKind kind) {
    switch (kind) {
        case HandoverKind::hello:
        case HandoverKind::release_relayed:
        case HandoverKind::set_up_taken:
            return {2, 2};
        case HandoverKind::caller_connection:
            return {2, 3};
        case HandoverKind::standing_call:
            return {3, 5};
        case HandoverKind::call_ended:
            return {3, 3};
        case HandoverKind::release_to_relay:
            return {4, 4};
        case HandoverKind::exchange_list:
        case HandoverKind::remaining_callers:
        case HandoverKind::call_released:
            return {1, 1};
        case HandoverKind::take_over:
        case HandoverKind::handed_over:
            break;
    }
    return {0, 0};
}

bool is_known(std::uint8_t kind) {
    return kind >= static_cast<std::uint8_t>(HandoverKind::hello) &&
           kind <= static_cast<std::uint8_t>(HandoverKind::set_up_taken);
}

void write_length(std::string& to, std::size_t length) {
    for (int shift = 24; shift >= 0; shift -= 8) to += static_cast<char>(length >> shift & 0xFF);
}

// Removes a length from the start of `from`, which has to hold one, and returns it.
std::size_t read_length(std::string_view& from) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthFieldBytes; ++i)
        length = length << 8 | static_cast<unsigned char>(from[i]);
    from.remove_prefix(kLengthFieldBytes);
    return length;
}

// Reads one message, which is given without its length. std::nullopt: it is malformed.
std::optional<HandoverMessage> read_message(std::string_view body) {
    if (body.empty() || !is_known(static_cast<std::uint8_t>(body[0]))) return std::nullopt;
    HandoverMessage message{.kind = static_cast<HandoverKind>(body[0]), .parts = {}};
    body.remove_prefix(1);
    while (!body.empty()) {
        if (body.size() < kLengthFieldBytes) return std::nullopt;
        const std::size_t length = read_length(body);
        if (length > body.size()) return std::nullopt;
        message.parts.emplace_back(body.substr(0, length));
        body.remove_prefix(length);
    }
    const PartCount allowed = part_count(message.kind);
    if (message.parts.size() < allowed.min || message.parts.size() > allowed.max) return std::nullopt;
    return message;
}

}  // namespace

HandoverMessage HandoverMessage::hello(int version) {
    return {.kind = HandoverKind::hello, .parts = {kName, std::to_string(version)}};
}

std::optional<int> HandoverMessage::hello_version() const {
    for (int version = kOldestHandoverVersion; version <= kNewestHandoverVersion; ++version)
        if (kind == HandoverKind::hello && parts == hello(version).parts) return version;
    return std::nullopt;
}

std::string HandoverMessage::encode() const {
    std::size_t length = 1;
    for (const std::string& part : parts) length += kLengthFieldBytes + part.size();
    std::string encoded;
    write_length(encoded, length);
    encoded += static_cast<char>(kind);
    for (const std::string& part : parts) {
        write_length(encoded, part.size());
        encoded += part;
    }
    return encoded;
}

std::span<char> HandoverReader::read_buffer() {
    bytes_.resize(end_ + kReadBytes);
    return {bytes_.data() + end_, kReadBytes};
}

bool HandoverReader::consume(std::size_t bytes) {
    end_ += bytes;
    std::string_view rest(bytes_.data(), end_);
    while (rest.size() >= kLengthFieldBytes) {
        std::string_view body = rest;
        const std::size_t length = read_length(body);
        if (length == 0 || length > kMaxMessageBytes) return false;  // checked before more memory is used
        if (body.size() < length) break;
        auto message = read_message(body.substr(0, length));
        if (!message) return false;
        messages_.push_back(std::move(*message));
        rest.remove_prefix(kLengthFieldBytes + length);
    }
    std::memmove(bytes_.data(), rest.data(), rest.size());
    end_ = rest.size();
    return true;
}

std::optional<HandoverMessage> HandoverReader::next() {
    if (messages_.empty()) return std::nullopt;
    HandoverMessage first = std::move(messages_.front());
    messages_.erase(messages_.begin());
    return first;
}

}  // namespace nettlestall::protocol
