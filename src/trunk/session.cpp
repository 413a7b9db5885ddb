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
    start_anew();
}

void Session::start_anew() {
    unconfirmed_.clear();
    unconfirmed_size_ = 0;
    confirmed_ = received_ = 0;
}

bool Session::refuse(std::string why, bool tell) {
    close_reason_ = std::move(why);
    if (tell) output_ += encode(Bye{close_reason_.substr(0, kMaxTextBytes)});
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
                return refuse("malformed bytes", true);
            case FrameReader::Status::complete:
                break;
        }
        if (const auto* bye = std::get_if<Bye>(&frame))
            return refuse("the far end says: " + bye->reason, false);
        if (const auto* hello = std::get_if<Hello>(&frame)) {
            if (up_ || !connected_) return ++counts_.malformed, refuse("a second hello", true);
            if (!greet(*hello)) return false;
            continue;
        }
        if (!up_) return ++counts_.malformed, refuse("a message before the hello", true);
        const bool sound = std::holds_alternative<Heartbeat>(frame)
                               ? confirm(std::get<Heartbeat>(frame).received)
                               : take(std::get<NumberedMessage>(frame));
        if (!sound) return false;
        if (!connected_) return true;  // what it brought about has closed the connection
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

// Each end sees both hellos, so both come to the same answer. Guards against messages of another life: a
// release of a call before a restart must not meet the call that has its circuits now.
bool Session::greet(const Hello& hello) {
    if (std::string wrong = find_mismatch(hello); !wrong.empty()) {
        ++counts_.mismatched;
        return refuse(std::move(wrong), true);
    }
    const bool resumed = far_incarnation_ != 0 && hello.incarnation == far_incarnation_ &&
                         hello.far_incarnation == incarnation_;
    if (resumed && !confirm(hello.received)) {
        begin_new_incarnation();  // counts that don't fit: nothing that was sent can be relied on
        return false;
    }
    if (!resumed) start_anew();
    far_incarnation_ = hello.incarnation;
    up_ = true;
    ++(resumed ? counts_.resumed : counts_.restarted);
    std::uint32_t sequence = confirmed_;
    for (const Unconfirmed& u : unconfirmed_) {
        ++counts_.sent_again;
        write_numbered(u.message, ++sequence);
    }
    events_.link_up(resumed);
    return true;
}

bool Session::confirm(std::uint32_t received) {
    if (received < confirmed_ || received - confirmed_ > unconfirmed_.size()) {
        ++counts_.malformed;
        return refuse("a message confirmed that was not sent", true);
    }
    for (; confirmed_ < received; ++confirmed_) {
        unconfirmed_size_ -= unconfirmed_.front().size;
        unconfirmed_.pop_front();
    }
    return true;
}

bool Session::take(const NumberedMessage& numbered) {
    if (!confirm(numbered.received)) return false;
    if (numbered.sequence <= received_) {
        ++counts_.repeated;
        return true;
    }
    // A gap: what is missing comes again on the next connection, in order.
    if (numbered.sequence != received_ + 1)
        return ++counts_.malformed, refuse("a message out of order", true);
    ++received_;  // replies confirm it
    ++counts_.received;
    if (const char* wrong = events_.received(numbered.message)) {
        ++counts_.malformed;
        // It would come again for ever: whatever this end and the far end make of the link, they start anew.
        begin_new_incarnation();
        return refuse(std::string(wrong), true);
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
    unconfirmed_size_ += size;
    // Guards the memory against a far end that confirms nothing.
    if (unconfirmed_size_ > kMaxUnconfirmedBytes) {
        close_reason_ = "too much that the far end has not confirmed";
        begin_new_incarnation();
        disconnected();
    }
}

void Session::send_heartbeat() {
    if (up_) output_ += encode(Heartbeat{received_});
}

}  // namespace nettlestall::trunk
