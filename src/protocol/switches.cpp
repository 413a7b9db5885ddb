#include "protocol/switches.hpp"

namespace nettlestall::protocol {
namespace {

// What the cause of a release from the switch means for the attempt or the standing call.
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

// The detail that the parameter `note` gives; Cause::none if there is none or it is unknown.
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
    const bool well_formed =
        reader_.consume(bytes, [this](const Message& message) { return handle_message(message); });
    if (!well_formed) ++counters_.malformed;
    return well_formed;
}

bool SwitchSession::handle_message(const Message& message) {
    switch (message.type) {
        case MessageType::answer:
            // An answer without a description is malformed: the caller must get one from the switch itself.
            if (!message.find(ParameterCode::description)) return false;
            events_.on_answer(exchange_, message.call(), message.text(ParameterCode::description));
            return true;
        case MessageType::release:
            events_.on_call_ended(exchange_, message.call(), outcome_of(message.cause()),
                                  cause_of(message.text(ParameterCode::note)),
                                  read_load_report(message.text(ParameterCode::report)));
            return true;
        case MessageType::group_state:
            events_.on_group_state(exchange_, read_load_report(message.text(ParameterCode::report)));
            return true;
        case MessageType::release_complete:
            events_.on_release_confirmed(exchange_, message.call());
            return true;
        case MessageType::progress:
        case MessageType::health_check_result:
            ++counters_.ignored;
            return true;
        default:  // noise that happens to have the form of a message: what follows can't be trusted either
            return false;
    }
}

Frame SwitchSession::set_up_frame(const OutgoingSetUp& set_up) {
    const auto time_limit_ms = std::chrono::ceil<std::chrono::milliseconds>(set_up.time_limit).count();
    FrameBuilder frame(MessageType::set_up, set_up.call);
    frame.text(ParameterCode::service_class, set_up.service_class)
        .text(ParameterCode::time_left, std::to_string(time_limit_ms));
    if (!set_up.number.empty()) frame.text(ParameterCode::number, set_up.number);
    Frame built = frame.build(set_up.description);
    built.is_attempt = true;
    return built;
}

Frame SwitchSession::release_frame(const CallId& call) {
    return FrameBuilder(MessageType::release, call).cause(cause::kNormalClearing).build();
}

}  // namespace nettlestall::protocol
