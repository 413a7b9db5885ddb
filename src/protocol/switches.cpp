#include "protocol/switches.hpp"

namespace nettlestall::protocol {
namespace {

Outcome outcome_of(std::uint8_t cause) {
    switch (cause) {
        case cause::kNoCircuit:
            return Outcome::turned_back;
        case cause::kTimer:
            return Outcome::not_sent;
        case cause::kReset:
            return Outcome::reset;
        case cause::kGivenUp:
            return Outcome::ended;
        default:
            return Outcome::failed;
    }
}

Cause cause_of(std::string_view note) {
    if (note == "no_circuit") return Cause::no_circuit;
    if (note == "turned_back") return Cause::by_tandem;
    if (note == "far_overload") return Cause::by_tandem_far_processor;
    if (note == "overload") return Cause::processor_full;
    if (note == "lines_busy") return Cause::number_busy;
    return Cause::none;
}

}  // namespace

bool SwitchSession::fed(std::size_t bytes) {
    const bool well_formed = inbox_.fed(bytes, [this](const Message& message) {
        take(message);
        return true;
    });
    if (!well_formed) ++counters_.malformed;
    return well_formed;
}

void SwitchSession::take(const Message& message) {
    switch (message.type) {
        case Type::answer:
            return events_.stands(at_, message.call(), message.text(Code::description));
        case Type::release:
            return events_.ended(at_, message.call(), outcome_of(message.cause()),
                                 cause_of(message.text(Code::note)), read_report(message.text(Code::report)));
        case Type::group_state:
            return events_.group_state(at_, read_report(message.text(Code::report)));
        default:
            ++counters_.ignored;
    }
}

Frame SwitchSession::set_up(const Forward& forward) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(forward.wait).count();
    FrameBuilder frame(Type::set_up, forward.call);
    frame.text(Code::service_class, forward.service_class).text(Code::patience, std::to_string(wait));
    if (!forward.number.empty()) frame.text(Code::number, forward.number);
    return frame.done(forward.description);
}

Frame SwitchSession::release(const CallId& call) {
    return FrameBuilder(Type::release, call).cause(cause::kGivenUp).done();
}

}  // namespace nettlestall::protocol
