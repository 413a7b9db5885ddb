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

    std::span<char> read_buffer() { return inbox_.read_buffer(); }
    // Takes what was read into space(). False: malformed, the connection is to be closed.
    bool consume(std::size_t bytes);

    bool has_partial_message() const { return inbox_.has_partial_message(); }
    std::uint64_t whole_messages() const { return inbox_.whole_messages(); }

    static Frame set_up_frame(const OutgoingSetUp& forward);
    static Frame release_frame(const CallId& call);  // before the answer it gives the set-up up

   private:
    bool take(const Message& message);  // false: malformed

    ExchangeId at_;
    SwitchEvents& events_;
    Counters& counters_;
    MessageReader inbox_;
};

}  // namespace nettlestall::protocol
