#include "protocol/handover.hpp"

#include <cstring>

namespace nettlestall::protocol {
namespace {

constexpr std::size_t kRead = 16 * 1024;
constexpr std::size_t kLengthBytes32 = 4;
constexpr const char* kName = "nettlestall";
constexpr const char* kVersion = "1";

std::size_t parts_of(HandoverKind kind) {
    switch (kind) {
        case HandoverKind::hello:
        case HandoverKind::caller_connection:
            return 2;
        case HandoverKind::standing_call:
        case HandoverKind::call_ended:
            return 3;
        case HandoverKind::exchange_list:
        case HandoverKind::remaining_callers:
        case HandoverKind::call_released:
            return 1;
        case HandoverKind::take_over:
        case HandoverKind::handed_over:
            break;
    }
    return 0;
}

bool is_known(std::uint8_t kind) {
    return kind >= static_cast<std::uint8_t>(HandoverKind::hello) &&
           kind <= static_cast<std::uint8_t>(HandoverKind::call_released);
}

void put(std::string& to, std::size_t length) {
    for (int shift = 24; shift >= 0; shift -= 8) to += static_cast<char>(length >> shift & 0xFF);
}

std::size_t take_length(std::string_view& from) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes32; ++i)
        length = length << 8 | static_cast<unsigned char>(from[i]);
    from.remove_prefix(kLengthBytes32);
    return length;
}

// One message without its length.
std::optional<HandoverMessage> read(std::string_view body) {
    if (body.empty() || !is_known(static_cast<std::uint8_t>(body[0]))) return std::nullopt;
    HandoverMessage message{.kind = static_cast<HandoverKind>(body[0]), .parts = {}};
    body.remove_prefix(1);
    while (!body.empty()) {
        if (body.size() < kLengthBytes32) return std::nullopt;
        const std::size_t length = take_length(body);
        if (length > body.size()) return std::nullopt;
        message.parts.emplace_back(body.substr(0, length));
        body.remove_prefix(length);
    }
    if (message.parts.size() != parts_of(message.kind)) return std::nullopt;
    return message;
}

}  // namespace

HandoverMessage HandoverMessage::hello() {
    return {.kind = HandoverKind::hello, .parts = {kName, kVersion}};
}

bool HandoverMessage::is_valid_hello() const {
    return kind == HandoverKind::hello && parts == hello().parts;
}

std::string HandoverMessage::encode() const {
    std::size_t length = 1;
    for (const std::string& part : parts) length += kLengthBytes32 + part.size();
    std::string text;
    put(text, length);
    text += static_cast<char>(kind);
    for (const std::string& part : parts) {
        put(text, part.size());
        text += part;
    }
    return text;
}

std::span<char> HandoverReader::read_buffer() {
    bytes_.resize(end_ + kRead);
    return {bytes_.data() + end_, kRead};
}

bool HandoverReader::consume(std::size_t bytes) {
    end_ += bytes;
    std::string_view rest(bytes_.data(), end_);
    while (rest.size() >= kLengthBytes32) {
        std::string_view body = rest;
        const std::size_t length = take_length(body);
        if (length == 0 || length > kMaxMessageBytes) return false;  // judged before there is room for it
        if (body.size() < length) break;
        auto message = read(body.substr(0, length));
        if (!message) return false;
        whole_.push_back(std::move(*message));
        rest.remove_prefix(kLengthBytes32 + length);
    }
    std::memmove(bytes_.data(), rest.data(), rest.size());
    end_ = rest.size();
    return true;
}

std::optional<HandoverMessage> HandoverReader::next() {
    if (whole_.empty()) return std::nullopt;
    HandoverMessage first = std::move(whole_.front());
    whole_.erase(whole_.begin());
    return first;
}

}  // namespace nettlestall::protocol
