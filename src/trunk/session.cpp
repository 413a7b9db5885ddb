#include "trunk/session.hpp"

#include <tuple>
#include <utility>

namespace nettlestall::trunk {

Session::Session(const LinkIdentity& identity, std::uint32_t incarnation, LinkEvents& events)
    : identity_(identity), incarnation_(incarnation), events_(events) {}

void Session::connected() {
    connected_ = true;
    up_ = false;
    reader_ = {};
    output_ = encode(Hello{.point = identity_.point_codes.own,
                           .far_point = identity_.point_codes.far,
                           .group = identity_.group,
                           .circuits = identity_.circuits,
                           .incarnation = incarnation_,
                           .far_incarnation = far_incarnation_,
                           .received = received_});
}

void Session::disconnected() {
    connected_ = up_ = false;
    output_.clear();
}

void Session::begin_new_incarnation() {
    ++incarnation_;
    far_incarnation_ = 0;
    reset_numbering();
}

void Session::reset_numbering() {
    unconfirmed_.clear();
    unconfirmed_bytes_ = 0;
    confirmed_ = received_ = 0;
}

bool Session::fail(std::string why, bool notify_far_end) {
    close_reason_ = std::move(why);
    if (notify_far_end) output_ += encode(Bye{close_reason_.substr(0, kMaxTextBytes)});
    return false;
}

bool Session::receive_bytes(std::string_view bytes) {
    reader_.append(bytes);
    for (Frame frame;;) {
        switch (reader_.next(frame)) {
            case FrameReader::Status::incomplete:
                return true;
            case FrameReader::Status::malformed:
                ++counts_.malformed;
                return fail("malformed bytes", true);
            case FrameReader::Status::complete:
                break;
        }
        if (const auto* bye = std::get_if<Bye>(&frame))
            return fail("closed by the far end: " + bye->reason, false);
        if (const auto* hello = std::get_if<Hello>(&frame)) {
            if (up_ || !connected_) return ++counts_.malformed, fail("a second hello", true);
            if (!handle_hello(*hello)) return false;
            continue;
        }
        if (!up_) return ++counts_.malformed, fail("a message before the hello", true);
        const bool accepted = std::holds_alternative<Heartbeat>(frame)
                                  ? handle_confirmation(std::get<Heartbeat>(frame).received)
                                  : handle_message(std::get<NumberedMessage>(frame));
        if (!accepted) return false;
        if (!connected_) return true;  // handling the message has closed the connection
    }
}

std::string Session::find_mismatch(const Hello& hello) const {
    const std::tuple<const char*, std::int64_t, std::int64_t> pairs[] = {
        {"version", hello.version, kProtocolVersion},
        {"group", hello.group, identity_.group},
        {"point code of the far end", hello.point, identity_.point_codes.far},
        {"point code of this end", hello.far_point, identity_.point_codes.own},
        {"number of circuits", hello.circuits, identity_.circuits},
    };
    for (const auto& [what, theirs, ours] : pairs)
        if (theirs != ours)
            return std::string(what) + " is " + std::to_string(theirs) + " there and " +
                   std::to_string(ours) + " here";
    return {};
}

// Each end sees both hellos, so both come to the same decision. Resuming requires that each end knows the
// other's current incarnation: a message sent before a restart, such as a release, must not affect the call
// that has its circuits now.
bool Session::handle_hello(const Hello& hello) {
    if (std::string mismatch = find_mismatch(hello); !mismatch.empty()) {
        ++counts_.mismatched;
        return fail(std::move(mismatch), true);
    }
    const bool resumed = far_incarnation_ != 0 && hello.incarnation == far_incarnation_ &&
                         hello.far_incarnation == incarnation_;
    if (resumed && !handle_confirmation(hello.received)) {
        begin_new_incarnation();  // the numbers contradict each other: nothing that was sent can be relied on
        return false;
    }
    if (!resumed) reset_numbering();
    far_incarnation_ = hello.incarnation;
    up_ = true;
    ++(resumed ? counts_.resumed : counts_.restarted);
    std::uint32_t sequence = confirmed_;
    for (const Unconfirmed& unconfirmed : unconfirmed_) {
        ++counts_.resent;
        write_numbered(unconfirmed.message, ++sequence);
    }
    events_.link_up(resumed);
    return true;
}

bool Session::handle_confirmation(std::uint32_t received) {
    if (received < confirmed_ || received - confirmed_ > unconfirmed_.size()) {
        ++counts_.malformed;
        return fail("confirmation of a message that was not sent", true);
    }
    for (; confirmed_ < received; ++confirmed_) {
        unconfirmed_bytes_ -= unconfirmed_.front().size;
        unconfirmed_.pop_front();
    }
    return true;
}

bool Session::handle_message(const NumberedMessage& numbered) {
    if (!handle_confirmation(numbered.received)) return false;
    if (numbered.sequence <= received_) {
        ++counts_.repeated;
        return true;
    }
    // A gap. The far end resends what is missing on the next connection, in order.
    if (numbered.sequence != received_ + 1) return ++counts_.malformed, fail("a message out of order", true);
    ++received_;  // before the event, so that replies confirm it
    ++counts_.received;
    if (const char* error = events_.received(numbered.message)) {
        ++counts_.malformed;
        // The far end would resend the message on each connection, so the link has to restart.
        begin_new_incarnation();
        return fail(std::string(error), true);
    }
    return true;
}

void Session::write_numbered(const Message& message, std::uint32_t sequence) {
    output_ += encode(NumberedMessage{sequence, received_, message});
}

void Session::send(const Message& message) {
    const std::size_t before = output_.size();
    const auto sequence = confirmed_ + static_cast<std::uint32_t>(unconfirmed_.size()) + 1;
    std::size_t size = 0;
    if (up_) {
        write_numbered(message, sequence);
        size = output_.size() - before;
    } else {
        size = encode(NumberedMessage{sequence, received_, message}).size();
    }
    ++counts_.sent;
    unconfirmed_.push_back({message, size});
    unconfirmed_bytes_ += size;
    // Keeps a far end that confirms nothing from filling the memory.
    if (unconfirmed_bytes_ > kMaxUnconfirmedBytes) {
        close_reason_ = "too many bytes that the far end has not confirmed";
        begin_new_incarnation();
        disconnected();
    }
}

void Session::send_heartbeat() {
    if (up_) output_ += encode(Heartbeat{received_});
}

}  // namespace nettlestall::trunk
