// The carrier switch's side of the binary protocol: turns a connection's bytes into events for the call
// table, and set-ups and releases into messages. It does no I/O of its own.
#pragma once

#include "calls/signals.hpp"
#include "counters.hpp"
#include "protocol/codec.hpp"

namespace nettlestall::protocol {

// One connection to the carrier switch of `exchange`.
class SwitchSession {
   public:
    // `events` and `counters` have to outlive the session.
    SwitchSession(ExchangeId exchange, SwitchEvents& events, Counters& counters)
        : exchange_(std::move(exchange)), events_(events), counters_(counters) {}

    // Where the next bytes of the connection are to be read into.
    std::span<char> read_buffer() { return reader_.read_buffer(); }
    // Handles `bytes` bytes that were read into read_buffer(). False: they are malformed and the connection
    // is to be closed.
    bool consume(std::size_t bytes);

    // Whether a message has begun that is not complete yet, and how many messages were read.
    bool has_partial_message() const { return reader_.has_partial_message(); }
    std::uint64_t whole_messages() const { return reader_.whole_messages(); }

    // The messages to the switch. A release that is sent before the answer cancels the set-up.
    static Frame set_up_frame(const OutgoingSetUp& set_up);
    static Frame release_frame(const CallId& call);

   private:
    bool handle_message(const Message& message);  // false: malformed

    ExchangeId exchange_;
    SwitchEvents& events_;
    Counters& counters_;
    MessageReader reader_;
};

}  // namespace nettlestall::protocol
