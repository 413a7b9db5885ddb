#include "protocol/callers.hpp"

#include <algorithm>
#include <limits>

namespace nettlestall::protocol {
namespace {

constexpr std::int64_t kLongestPatienceMs = 3'600'000;
constexpr std::size_t kSpare = 16;  // bytes: the length, and a patience in more digits

int small(std::optional<std::int64_t> value, int otherwise) {
    if (!value || *value < -1 || *value > std::numeric_limits<int>::max()) return otherwise;
    return static_cast<int>(*value);
}

std::uint8_t cause_of(ReleaseReason ending) {
    switch (ending) {
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
    const bool well_formed = inbox_.consume(bytes, [this](const Message& message) { return take(message); });
    if (!well_formed) ++counters_.malformed;
    return well_formed;
}

bool CallerSession::resume(bool has_asked, std::string_view begun) {
    asked_ = has_asked;
    while (!begun.empty()) {
        const std::span<char> room = read_buffer();
        const std::size_t part = std::min(room.size(), begun.size());
        std::copy_n(begun.data(), part, room.data());
        begun.remove_prefix(part);
        if (!consume(part)) return false;
    }
    return true;
}

bool CallerSession::take(const Message& message) {
    switch (message.type) {
        case MessageType::set_up:
            asked_ = true;
            return offer(message);
        case MessageType::release:
            asked_ = true;
            // The release heard goes first: it belongs to nobody's call table.
            out_.send(FrameBuilder(MessageType::release_complete, message.call()).build());
            events_.on_release(*this, message.call());
            return true;
        case MessageType::health_check:
            asked_ = true;
            ++counters_.tests;
            out_.send(FrameBuilder(MessageType::health_check_result, message.call())
                          .cause(events_.is_ready())
                          .build());
            return true;
        case MessageType::progress:
        case MessageType::release_complete:
            ++counters_.ignored;
            return true;
        default:  // noise, or an endless stream of what means nothing here
            return false;
    }
}

bool CallerSession::offer(const Message& message) {
    // No call has the id nought: a carrier switch closes the connection on which it comes, with all set-ups
    // of others that are open there.
    if (!message.has_call_id()) return false;
    // Nor is there a way on for what is longer, once the patience is written anew, than a message may be.
    if (kHeaderBytes + message.parameters.size() + kSpare > kMaxMessageBytes) return false;
    SetUpRequest offer;
    offer.call = message.call();
    offer.service_class = message.text(ParameterCode::service_class);
    offer.number = message.text(ParameterCode::number);
    offer.description = message.text(ParameterCode::description);
    offer.redial = message.text(ParameterCode::redial) == "1";
    const auto patience = to_integer(message.text(ParameterCode::time_left)).value_or(0);
    offer.time_left = std::chrono::milliseconds(std::clamp<std::int64_t>(patience, 0, kLongestPatienceMs));
    for_each_attribute(message.text(ParameterCode::attributes),
                       [&offer](std::string_view name, std::string_view value) {
                           const auto whole = to_integer(value);
                           if (name == "dest") offer.destination = small(whole, kNoExchange);
                           if (name == "width") offer.width = small(whole, 0);
                           if (name == "via") offer.via = small(whole, kNoExchange);
                           if (name == "transit") offer.transit = whole == 1;
                           if (name == "again") offer.was_cut = whole == 1;
                       });
    events_.on_set_up(*this, offer);
    return true;
}

void CallerSession::answer(const CallId& call, Description description) {
    out_.send(FrameBuilder(MessageType::answer, call).build(std::move(description)));
}

void CallerSession::release(const CallId& call, ReleaseReason ending) {
    out_.send(FrameBuilder(MessageType::release, call).cause(cause_of(ending)).build());
}

}  // namespace nettlestall::protocol
