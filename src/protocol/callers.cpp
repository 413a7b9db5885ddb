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

std::uint8_t cause_of(Ending ending) {
    switch (ending) {
        case Ending::refused:
            return cause::kNoCircuit;
        case Ending::failed:
            return cause::kFault;
        case Ending::cut:
            return cause::kReset;
        case Ending::ended:
            break;
    }
    return cause::kGivenUp;
}

}  // namespace

bool CallerSession::fed(std::size_t bytes) {
    const bool well_formed = inbox_.fed(bytes, [this](const Message& message) { return take(message); });
    if (!well_formed) ++counters_.malformed;
    return well_formed;
}

bool CallerSession::resume(bool has_asked, std::string_view begun) {
    asked_ = has_asked;
    while (!begun.empty()) {
        const std::span<char> room = space();
        const std::size_t part = std::min(room.size(), begun.size());
        std::copy_n(begun.data(), part, room.data());
        begun.remove_prefix(part);
        if (!fed(part)) return false;
    }
    return true;
}

bool CallerSession::take(const Message& message) {
    switch (message.type) {
        case Type::set_up:
            asked_ = true;
            return offer(message);
        case Type::release:
            asked_ = true;
            // The release heard goes first: it belongs to nobody's call table.
            out_.send(FrameBuilder(Type::release_heard, message.call()).done());
            events_.released(*this, message.call());
            return true;
        case Type::test:
            asked_ = true;
            ++counters_.tests;
            out_.send(FrameBuilder(Type::test_result, message.call()).cause(events_.ready()).done());
            return true;
        case Type::progress:
        case Type::release_heard:
            ++counters_.ignored;
            return true;
        default:  // noise, or an endless stream of what means nothing here
            return false;
    }
}

bool CallerSession::offer(const Message& message) {
    // No call has the id nought: a carrier switch closes the connection on which it comes, with all set-ups
    // of others that are open there.
    if (!message.names_call()) return false;
    // Nor is there a way on for what is longer, once the patience is written anew, than a message may be.
    if (kHeadBytes + message.parameters.size() + kSpare > kLongestMessage) return false;
    Offer offer;
    offer.call = message.call();
    offer.service_class = message.text(Code::service_class);
    offer.number = message.text(Code::number);
    offer.description = message.text(Code::description);
    offer.redial = message.text(Code::redial) == "1";
    const auto patience = to_whole(message.text(Code::patience)).value_or(0);
    offer.patience = std::chrono::milliseconds(std::clamp<std::int64_t>(patience, 0, kLongestPatienceMs));
    for_each_figure(message.text(Code::figures), [&offer](std::string_view name, std::string_view value) {
        const auto whole = to_whole(value);
        if (name == "dest") offer.destination = small(whole, kNoExchange);
        if (name == "width") offer.width = small(whole, 0);
        if (name == "via") offer.via = small(whole, kNoExchange);
        if (name == "transit") offer.transit = whole == 1;
        if (name == "again") offer.again = whole == 1;
    });
    events_.offered(*this, offer);
    return true;
}

void CallerSession::answer(const CallId& call, Description description) {
    out_.send(FrameBuilder(Type::answer, call).done(std::move(description)));
}

void CallerSession::release(const CallId& call, Ending ending) {
    out_.send(FrameBuilder(Type::release, call).cause(cause_of(ending)).done());
}

}  // namespace nettlestall::protocol
