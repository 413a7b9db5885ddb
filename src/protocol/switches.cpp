#include "protocol/switches.hpp"

namespace nettlestall::protocol {
namespace {

Outcome outcome_of(std::uint8_t cause) {
    switch (cause) {
        case cause::kNoCircuit:
            return Outcome::rejected;
        case cause::kTimerExpired:
            return Outcome::not_sent;
        case cause::kReset:
            return Outcome::reset;
        case cause::kNormalClearing:
            return Outcome::ended;
        default:
            return Outcome::failed;
    }
}

Cause cause_of(std::string_view note) {
    if (note == "no_circuit") return Cause::no_circuit;
    if (note == "turned_back") return Cause::rejected_by_tandem;
    if (note == "far_overload") return Cause::far_processor_full;
    if (note == "overload") return Cause::processor_full;
    if (note == "lines_busy") return Cause::number_busy;
    return Cause::none;
}

}  // namespace

bool SwitchSession::consume(std::size_t bytes) {
    const bool well_formed = inbox_.consume(bytes, [this](const Message& message) { return take(message); });
    if (!well_formed) ++counters_.malformed;
    return well_formed;
}

bool SwitchSession::take(const Message& message) {
    switch (message.type) {
        case MessageType::answer:
            // Without a description it is spoilt: a caller is told only what a carrier switch made for it.
            if (!message.find(ParameterCode::description)) return false;
            events_.on_answer(at_, message.call(), message.text(ParameterCode::description));
            return true;
        case MessageType::release:
            events_.on_call_ended(at_, message.call(), outcome_of(message.cause()),
                                  cause_of(message.text(ParameterCode::note)),
                                  read_load_report(message.text(ParameterCode::report)));
            return true;
        case MessageType::group_state:
            events_.on_group_state(at_, read_load_report(message.text(ParameterCode::report)));
            return true;
        case MessageType::progress:
        case MessageType::release_complete:
        case MessageType::health_check_result:
            ++counters_.ignored;
            return true;
        default:  // noise that happens to have a length: what follows it can't be trusted either
            return false;
    }
}

Frame SwitchSession::set_up_frame(const OutgoingSetUp& forward) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(forward.time_limit).count();
    FrameBuilder frame(MessageType::set_up, forward.call);
    frame.text(ParameterCode::service_class, forward.service_class)
        .text(ParameterCode::time_left, std::to_string(wait));
    if (!forward.number.empty()) frame.text(ParameterCode::number, forward.number);
    Frame done = frame.build(forward.description);
    done.is_attempt = true;
    return done;
}

Frame SwitchSession::release_frame(const CallId& call) {
    return FrameBuilder(MessageType::release, call).cause(cause::kNormalClearing).build();
}

}  // namespace nettlestall::protocol
