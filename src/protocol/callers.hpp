// The caller's side of the binary protocol: a connection's bytes in, events to the call table, and the call
// table's answers as messages. Knows no socket.
#pragma once

#include "calls/signals.hpp"
#include "counters.hpp"
#include "protocol/codec.hpp"

namespace nettlestall::protocol {

class CallerSession final : public CallerLink {
   public:
    // Where messages to the caller go.
    class Output {
       public:
        virtual void send(Frame frame) = 0;

       protected:
        ~Output() = default;
    };

    CallerSession(CallerEvents& events, Output& out, Counters& counters, std::string origin = {})
        : events_(events), out_(out), counters_(counters), origin_(std::move(origin)) {}

    std::span<char> read_buffer() { return inbox_.read_buffer(); }
    // Takes what was read into space(). False: malformed, the connection is to be closed.
    bool consume(std::size_t bytes);

    std::string_view partial_message() const {
        return inbox_.partial_message();
    }  // of a message that has no end yet
    // Goes on where another session stopped, on the same connection.
    bool resume(bool has_asked, std::string_view begun);
    bool has_sent_request() const { return asked_; }  // for anything that has an answer
    bool has_partial_message() const { return inbox_.has_partial_message(); }
    std::uint64_t whole_messages() const { return inbox_.whole_messages(); }

    void answer(const CallId& call, Description description) override;
    void release(const CallId& call, ReleaseReason ending) override;
    std::string_view origin() const override { return origin_; }

   private:
    bool take(const Message& message);  // false: malformed
    bool offer(const Message& message);

    CallerEvents& events_;
    Output& out_;
    Counters& counters_;
    std::string origin_;
    MessageReader inbox_;
    bool asked_ = false;
};

}  // namespace nettlestall::protocol
