// The carrier switch's side of the binary protocol: a connection's bytes in, events to the call table, and
// set-ups and releases as messages. Knows no socket.
#pragma once

#include "calls/signals.hpp"
#include "counters.hpp"
#include "protocol/codec.hpp"

namespace nettlestall::protocol {

class SwitchSession {
   public:
    SwitchSession(ExchangeId at, SwitchEvents& events, Counters& counters)
        : at_(std::move(at)), events_(events), counters_(counters) {}

    std::span<char> space() { return inbox_.space(); }
    // Takes what was read into space(). False: malformed, the connection is to be closed.
    bool fed(std::size_t bytes);

    bool within_message() const { return inbox_.within_message(); }
    std::uint64_t whole_messages() const { return inbox_.whole_messages(); }

    static Frame set_up(const Forward& forward);
    static Frame release(const CallId& call);  // before the answer it gives the set-up up

   private:
    bool take(const Message& message);  // false: malformed

    ExchangeId at_;
    SwitchEvents& events_;
    Counters& counters_;
    Inbox inbox_;
};

}  // namespace nettlestall::protocol
