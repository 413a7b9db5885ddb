#include "protocol/callers.hpp"

#include <algorithm>
#include <limits>

namespace nettlestall::protocol {
namespace {

constexpr std::int64_t kMaxTimeLeftMs = 3'600'000;  // a caller that claims to wait longer is held to this
// Of a set-up that is sent on: class, time left, number and description, and the digits of the longest time.
constexpr std::size_t kForwardedParameters = 4, kMaxTimeDigits = 7;

// `value` if it is an exchange number or a count, or -1; else `fallback`.
int int_or(std::optional<std::int64_t> value, int fallback) {
    if (!value || *value < -1 || *value > std::numeric_limits<int>::max()) return fallback;
    return static_cast<int>(*value);
}

// Whether what is sent on of the set-up fits into a message.
bool can_be_forwarded(const SetUpRequest& request) {
    return kLengthBytes + kHeaderBytes + kForwardedParameters * kParameterHeaderBytes + kMaxTimeDigits +
               request.service_class.size() + request.number.size() + request.description.size() <=
           kMaxMessageBytes;
}

std::uint8_t cause_of(ReleaseReason reason) {
    switch (reason) {
        case ReleaseReason::refused:
            return cause::kNoCircuit;
        case ReleaseReason::failed:
            return cause::kFault;
        case ReleaseReason::cut:
            return cause::kReset;
        case ReleaseReason::ended:
            break;
    }
    return cause::kNormalClearing;
}

}  // namespace

bool CallerSession::consume(std::size_t bytes) {
    const bool well_formed =
        reader_.consume(bytes, [this](const Message& message) { return handle_message(message); });
    if (!well_formed) ++counters_.malformed;
    return well_formed;
}

bool CallerSession::resume(const CallerState& state) {
    has_sent_request_ = state.has_sent_request;
    std::string_view partial_message = state.partial_message;
    while (!partial_message.empty()) {
        const std::span<char> buffer = read_buffer();
        const std::size_t part = std::min(buffer.size(), partial_message.size());
        std::copy_n(partial_message.data(), part, buffer.data());
        partial_message.remove_prefix(part);
        if (!consume(part)) return false;
    }
    return true;
}

bool CallerSession::handle_message(const Message& message) {
    switch (message.type) {
        case MessageType::set_up:
            has_sent_request_ = true;
            return handle_set_up(message);
        case MessageType::release:
            has_sent_request_ = true;
            // Confirmed before the call table acts on it: the confirmation doesn't depend on the call's
            // state.
            output_.send(FrameBuilder(MessageType::release_complete, message.call()).build());
            events_.on_release(*this, message.call());
            return true;
        case MessageType::health_check:
            has_sent_request_ = true;
            usage.has_sent_health_check = true;
            ++counters_.tests;
            output_.send(FrameBuilder(MessageType::health_check_result, message.call())
                             .cause(events_.is_ready())
                             .build());
            return true;
        case MessageType::release_complete:
            events_.on_release_confirmed(*this, message.call());
            return true;
        case MessageType::progress:
            ++counters_.ignored;
            return true;
        default:  // not a message from a caller; accepting it would allow an endless stream of noise
            return false;
    }
}

bool CallerSession::handle_set_up(const Message& message) {
    // Zero is not a valid call id. It must not be sent on: a carrier switch closes the connection on which it
    // comes, and with it all set-ups of other callers that are open there.
    if (!message.has_call_id()) return false;
    if (far_end_closed_) {
        ++counters_.set_ups_after_close;
        return true;
    }
    SetUpRequest request;
    request.call = message.call();
    request.service_class = message.text(ParameterCode::service_class);
    request.number = message.text(ParameterCode::number);
    request.description = message.text(ParameterCode::description);
    request.redial = message.text(ParameterCode::redial) == "1";
    const auto time_left_ms = to_integer(message.text(ParameterCode::time_left)).value_or(0);
    request.time_left = std::chrono::milliseconds(std::clamp<std::int64_t>(time_left_ms, 0, kMaxTimeLeftMs));
    for_each_attribute(message.text(ParameterCode::attributes),
                       [&request](std::string_view name, std::string_view value) {
                           const auto integer = to_integer(value);
                           if (name == "dest") request.destination = int_or(integer, kNoExchange);
                           if (name == "width") request.width = int_or(integer, 0);
                           if (name == "via") request.via = int_or(integer, kNoExchange);
                           if (name == "transit") request.transit = integer == 1;
                           if (name == "again") request.is_reconnect = integer == 1;
                       });
    // Without its attributes it is shorter than what has come. One that has none, and is too long, has no
    // destination either, and fails.
    if (!can_be_forwarded(request)) request.destination = kNoExchange;
    events_.on_set_up(*this, request);
    return true;
}

bool CallerSession::answer(const CallId& call, Description description) {
    return output_.send_if_room(FrameBuilder(MessageType::answer, call).build(std::move(description)));
}

void CallerSession::release(const CallId& call, ReleaseReason reason) {
    output_.send(FrameBuilder(MessageType::release, call).cause(cause_of(reason)).build());
}

}  // namespace nettlestall::protocol
