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
    class Out {
       public:
        virtual void send(Frame frame) = 0;

       protected:
        ~Out() = default;
    };

    CallerSession(CallerEvents& events, Out& out, Counters& counters, std::string origin = {})
        : events_(events), out_(out), counters_(counters), origin_(std::move(origin)) {}

    std::span<char> space() { return inbox_.space(); }
    // Takes what was read into space(). False: malformed, the connection is to be closed.
    bool fed(std::size_t bytes);

    std::string_view begun() const { return inbox_.begun(); }  // of a message that has no end yet
    // Goes on where another session stopped, on the same connection.
    bool resume(bool has_asked, std::string_view begun);
    bool has_asked() const { return asked_; }  // for anything that has an answer
    bool within_message() const { return inbox_.within_message(); }
    std::uint64_t whole_messages() const { return inbox_.whole_messages(); }

    void answer(const CallId& call, Description description) override;
    void release(const CallId& call, Ending ending) override;
    std::string_view origin() const override { return origin_; }

   private:
    bool take(const Message& message);  // false: malformed
    bool offer(const Message& message);

    CallerEvents& events_;
    Out& out_;
    Counters& counters_;
    std::string origin_;
    Inbox inbox_;
    bool asked_ = false;
};

}  // namespace nettlestall::protocol
