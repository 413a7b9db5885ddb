#include "protocol/switches.hpp"

namespace nettlestall::protocol {
namespace {

Outcome outcome_of(std::uint8_t cause) {
    switch (cause) {
        case cause::kNoCircuit:
            return Outcome::rejected;
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
    if (note == "turned_back") return Cause::rejected_by_tandem;
    if (note == "far_overload") return Cause::far_processor_full;
    if (note == "overload") return Cause::processor_full;
    if (note == "lines_busy") return Cause::number_busy;
    return Cause::none;
}

}  // namespace

bool SwitchSession::fed(std::size_t bytes) {
    const bool well_formed = inbox_.fed(bytes, [this](const Message& message) { return take(message); });
    if (!well_formed) ++counters_.malformed;
    return well_formed;
}

bool SwitchSession::take(const Message& message) {
    switch (message.type) {
        case Type::answer:
            // Without a description it is spoilt: a caller is told only what a carrier switch made for it.
            if (!message.find(Code::description)) return false;
            events_.stands(at_, message.call(), message.text(Code::description));
            return true;
        case Type::release:
            events_.ended(at_, message.call(), outcome_of(message.cause()),
                          cause_of(message.text(Code::note)), read_report(message.text(Code::report)));
            return true;
        case Type::group_state:
            events_.group_state(at_, read_report(message.text(Code::report)));
            return true;
        case Type::progress:
        case Type::release_heard:
        case Type::test_result:
            ++counters_.ignored;
            return true;
        default:  // noise that happens to have a length: what follows it can't be trusted either
            return false;
    }
}

Frame SwitchSession::set_up(const Forward& forward) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(forward.wait).count();
    FrameBuilder frame(Type::set_up, forward.call);
    frame.text(Code::service_class, forward.service_class).text(Code::patience, std::to_string(wait));
    if (!forward.number.empty()) frame.text(Code::number, forward.number);
    Frame done = frame.done(forward.description);
    done.attempt = true;
    return done;
}

Frame SwitchSession::release(const CallId& call) {
    return FrameBuilder(Type::release, call).cause(cause::kGivenUp).done();
}

}  // namespace nettlestall::protocol
