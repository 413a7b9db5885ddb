// The caller's side of the binary protocol: turns a connection's bytes into events for the call table, and
// the call table's answers into messages. It does no I/O of its own.
#pragma once

#include "calls/signals.hpp"
#include "counters.hpp"
#include "protocol/codec.hpp"

namespace nettlestall::protocol {

// What a process has to know of a connection that another process has served.
struct CallerState {
    bool has_sent_request = false, has_placed_call = false;
    std::string partial_message{};  // the bytes that have come of a message that is not complete yet
};

// One connection of a caller.
class CallerSession final : public CallerLink {
   public:
    // Where messages to the caller are sent.
    class Output {
       public:
        virtual void send(Frame frame) = 0;
        // False: there is no room for the message, and it was not sent.
        virtual bool send_if_room(Frame frame) = 0;

       protected:
        ~Output() = default;
    };

    // `events`, `output` and `counters` have to outlive the session. `caller`: where it comes from.
    CallerSession(CallerEvents& events, Output& output, Counters& counters, CallerAddress caller = {})
        : events_(events), output_(output), counters_(counters), caller_(std::move(caller)) {}

    // Where the next bytes of the connection are to be read into.
    std::span<char> read_buffer() { return reader_.read_buffer(); }
    // Handles `bytes` bytes that were read into read_buffer(). False: they are malformed and the connection
    // is to be closed.
    bool consume(std::size_t bytes);

    // The caller has closed the connection: set-ups that are read from now on are given up already, and
    // nothing can be answered. What it releases still counts.
    void on_far_end_closed() { far_end_closed_ = true; }

    CallerState state() const {
        return {.has_sent_request = has_sent_request_,
                .has_placed_call = usage.has_placed_call,
                .partial_message = std::string(reader_.partial_message())};
    }
    // Continues where the session of another process stopped on the same connection. False: the bytes of the
    // partial message are malformed.
    bool resume(const CallerState& state);
    // Whether the caller has sent any message that gets an answer.
    bool has_sent_request() const { return has_sent_request_; }
    bool has_partial_message() const { return reader_.has_partial_message(); }
    // How many messages were read.
    std::uint64_t whole_messages() const { return reader_.whole_messages(); }

    bool answer(const CallId& call, Description description) override;
    void release(const CallId& call, ReleaseReason reason) override;
    std::string_view origin() const override { return caller_.origin; }
    int port() const override { return caller_.port; }

   private:
    // Both return false if the message is malformed.
    bool handle_message(const Message& message);
    bool handle_set_up(const Message& message);

    CallerEvents& events_;
    Output& output_;
    Counters& counters_;
    CallerAddress caller_;
    MessageReader reader_;
    bool has_sent_request_ = false, far_end_closed_ = false;
};

}  // namespace nettlestall::protocol
