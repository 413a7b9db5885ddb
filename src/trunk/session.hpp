// One end of a group's link, which outlives its connections. It exchanges hellos, numbers its messages,
// confirms what it receives, resends what a broken connection has lost, and restarts the link where that is
// impossible. Bytes go in and out; no socket and no clock. Its driver reports connections and calls
// send_heartbeat() every second.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "trunk/messages.hpp"

namespace nettlestall::trunk {

// What both ends of a link must agree on.
struct LinkIdentity {
    PointCodes point_codes{};
    std::uint32_t group = 0;
    int circuits = 0;
};

// Receives the events of a link.
class LinkEvents {
   public:
    // The hellos have been exchanged. `resumed`: no message of either end is lost. Otherwise one of the ends
    // has forgotten the link, and nothing that was sent before counts.
    virtual void link_up(bool resumed) = 0;
    // Null if the message was accepted, else what is wrong with it; the connection is closed then.
    virtual const char* received(const Message& message) = 0;

   protected:
    ~LinkEvents() = default;
};

// Numbered messages that were sent, received, received again and resent; hellos that resumed or restarted the
// link; frames that were malformed or not allowed; hellos that were refused.
struct LinkCounts {
    std::uint64_t sent = 0, received = 0, repeated = 0, resent = 0, resumed = 0, restarted = 0, malformed = 0,
                  mismatched = 0;
};

// One end of a link. A driver passes it the bytes of one connection after another and writes its output.
class Session {
   public:
    // Limit of the encoded messages that are kept until the far end confirms them. Beyond it the link
    // restarts, so that a far end that never confirms does not fill the memory.
    static constexpr std::size_t kMaxUnconfirmedBytes = 4 * 1024 * 1024;

    Session(const LinkIdentity& identity, std::uint32_t incarnation, LinkEvents& events);

    // Only before the first connection.
    void set_incarnation(std::uint32_t incarnation) { incarnation_ = incarnation; }
    // A connection is open: the output is this end's hello.
    void connected();
    // The connection is gone or is about to be closed.
    void disconnected();
    // Processes bytes that were read. False: the connection is to be closed once the output has been written.
    bool receive_bytes(std::string_view bytes);
    // Sends now, or on the next connection.
    void send(const Message& message);
    // Shows that this end is alive, and confirms what it has received so that the far end need not keep it.
    void send_heartbeat();
    // Makes the next connection restart the link.
    void begin_new_incarnation();

    // How a far end's hello differs from what both ends must agree on; empty if it does not.
    std::string find_mismatch(const Hello& hello) const;

    bool is_connected() const { return connected_; }
    // Connected, and the hellos have been exchanged.
    bool is_up() const { return up_; }
    // The bytes to write to the connection, which are then removed from the session.
    std::string take_output() { return std::exchange(output_, {}); }
    bool has_output() const { return !output_.empty(); }
    const LinkCounts& counts() const { return counts_; }
    // Why a connection was last closed by this class or by the far end's closing message.
    const std::string& close_reason() const { return close_reason_; }
    std::uint32_t incarnation() const { return incarnation_; }

   private:
    // Each of these returns false if the connection is to be closed.
    bool handle_hello(const Hello& hello);
    bool handle_confirmation(std::uint32_t received);
    bool handle_message(const NumberedMessage& numbered);
    // Keeps `why` as the reason for closing, and sends it to the far end if `notify_far_end`. Always false.
    bool fail(std::string why, bool notify_far_end);

    void write_numbered(const Message& message, std::uint32_t sequence);
    void reset_numbering();

    LinkIdentity identity_;
    std::uint32_t incarnation_, far_incarnation_ = 0;  // far: zero if unknown
    LinkEvents& events_;
    FrameReader reader_;
    std::string output_, close_reason_;
    LinkCounts counts_;
    bool connected_ = false, up_ = false;
    struct Unconfirmed {
        Message message;
        std::size_t size;  // bytes
    };
    std::deque<Unconfirmed> unconfirmed_;
    std::size_t unconfirmed_bytes_ = 0;
    // Last own sequence number that the far end has confirmed; unconfirmed_ follows it.
    std::uint32_t confirmed_ = 0;
    // Last sequence number received from the far end, in order.
    std::uint32_t received_ = 0;
};

}  // namespace nettlestall::trunk
