#include "trunk/session.hpp"

#include <tuple>
#include <utility>

namespace nettlestall::trunk {

Session::Session(const LinkIdentity& identity, std::uint32_t life, LinkEvents& events)
    : identity_(identity), life_(life), events_(events) {}

void Session::connected() {
    connected_ = true;
    up_ = false;
    reader_ = {};
    output_ = write(Hello{.point = identity_.ends.own,
                          .far_point = identity_.ends.far,
                          .group = identity_.group,
                          .circuits = identity_.circuits,
                          .life = life_,
                          .far_life = far_life_,
                          .received = received_});
}

void Session::disconnected() {
    connected_ = up_ = false;
    output_.clear();
}

void Session::renew() {
    ++life_;
    far_life_ = 0;
    start_anew();
}

void Session::start_anew() {
    unconfirmed_.clear();
    unconfirmed_size_ = 0;
    confirmed_ = received_ = 0;
}

bool Session::refuse(std::string why, bool tell) {
    complaint_ = std::move(why);
    if (tell) output_ += write(Bye{complaint_.substr(0, kLongestName)});
    return false;
}

bool Session::fed(std::string_view bytes) {
    reader_.fed(bytes);
    for (Frame frame;;) {
        switch (reader_.next(frame)) {
            case FrameReader::Next::more:
                return true;
            case FrameReader::Next::malformed:
                ++counts_.malformed;
                return refuse("malformed bytes", true);
            case FrameReader::Next::frame:
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
                               : take(std::get<Numbered>(frame));
        if (!sound) return false;
        if (!connected_) return true;  // what it brought about has closed the connection
    }
}

std::string Session::wrong_with(const Hello& hello) const {
    const std::tuple<const char*, std::int64_t, std::int64_t> pairs[] = {
        {"version", hello.version, kVersion},
        {"group", hello.group, identity_.group},
        {"point code of the far end", hello.point, identity_.ends.far},
        {"point code of this end", hello.far_point, identity_.ends.own},
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
    if (std::string wrong = wrong_with(hello); !wrong.empty()) {
        ++counts_.mismatched;
        return refuse(std::move(wrong), true);
    }
    const bool resumed = far_life_ != 0 && hello.life == far_life_ && hello.far_life == life_;
    if (resumed && !confirm(hello.received)) {
        renew();  // counts that don't fit: nothing that was sent can be relied on
        return false;
    }
    if (!resumed) start_anew();
    far_life_ = hello.life;
    up_ = true;
    ++(resumed ? counts_.resumed : counts_.anew);
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

bool Session::take(const Numbered& numbered) {
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
        renew();
        return refuse(std::string(wrong), true);
    }
    return true;
}

void Session::write_numbered(const Message& message, std::uint32_t sequence) {
    output_ += write(Numbered{sequence, received_, message});
}

void Session::send(const Message& message) {
    const std::size_t before = output_.size();
    const auto sequence = confirmed_ + static_cast<std::uint32_t>(unconfirmed_.size()) + 1;
    std::size_t size = 0;
    if (up_) {
        write_numbered(message, sequence);
        size = output_.size() - before;
    } else {
        size = write(Numbered{sequence, received_, message}).size();
    }
    ++counts_.sent;
    unconfirmed_.push_back({message, size});
    unconfirmed_size_ += size;
    // Guards the memory against a far end that confirms nothing.
    if (unconfirmed_size_ > kMostUnconfirmed) {
        complaint_ = "too much that the far end has not confirmed";
        renew();
        disconnected();
    }
}

void Session::beat() {
    if (up_) output_ += write(Heartbeat{received_});
}

}  // namespace nettlestall::trunk
