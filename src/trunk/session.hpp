// One end of a group's link over many connections: greets, numbers its messages, acknowledges, sends again
// what a broken connection lost, and starts anew where that is impossible. Fed bytes, knows no socket and no
// clock; whoever drives it tells it of connections and calls send_heartbeat() every second.
#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "trunk/messages.hpp"

namespace nettlestall::trunk {

struct LinkIdentity {
    PointCodes point_codes{};
    std::uint32_t group = 0;
    int circuits = 0;
};

class LinkEvents {
   public:
    // `resumed`: no message of either end is lost. Else the far end, or this one, has forgotten the link, and
    // nothing sent before counts.
    virtual void link_up(bool resumed) = 0;
    // Null: taken. Else what is wrong with it: the connection is to be closed.
    virtual const char* received(const Message& message) = 0;

   protected:
    ~LinkEvents() = default;
};

struct LinkCounts {
    std::uint64_t sent = 0, received = 0, repeated = 0, sent_again = 0, resumed = 0, restarted = 0,
                  malformed = 0, mismatched = 0;
};

class Session {
   public:
    // Bytes of messages that the far end has not confirmed; beyond it the link starts anew.
    static constexpr std::size_t kMaxUnconfirmedBytes = 4 * 1024 * 1024;

    Session(const LinkIdentity& identity, std::uint32_t incarnation, LinkEvents& events);

    void set_incarnation(std::uint32_t incarnation) {
        incarnation_ = incarnation;
    }                     // another one, before the first connection
    void connected();     // a connection is there: our hello goes out
    void disconnected();  // the connection has gone, or is about to be closed
    // What was read. False: the connection is to be closed, once what is in output() has been written.
    bool receive_bytes(std::string_view bytes);
    void send(const Message& message);  // now, or on the next connection
    void send_heartbeat();              // confirms, so that the far end may forget, and shows that we live
    void begin_new_incarnation();       // the next connection starts anew

    // How a far end's hello differs from what is agreed; empty: it does not.
    std::string find_mismatch(const Hello& hello) const;

    bool is_connected() const { return connected_; }
    bool is_up() const { return up_; }
    std::string take_output() { return std::exchange(output_, {}); }
    bool has_output() const { return !output_.empty(); }
    const LinkCounts& counts() const { return counts_; }
    const std::string& close_reason() const { return close_reason_; }  // why a connection was closed last
    std::uint32_t incarnation() const { return incarnation_; }

   private:
    bool greet(const Hello& hello);
    bool confirm(std::uint32_t received);
    bool take(const NumberedMessage& numbered);
    bool refuse(std::string why, bool tell);
    void write_numbered(const Message& message, std::uint32_t sequence);
    void start_anew();

    LinkIdentity identity_;
    std::uint32_t incarnation_, far_incarnation_ = 0;
    LinkEvents& events_;
    FrameReader reader_;
    std::string output_, close_reason_;
    LinkCounts counts_;
    bool connected_ = false, up_ = false;
    struct Unconfirmed {
        Message message;
        std::size_t size;
    };
    std::deque<Unconfirmed> unconfirmed_;
    std::size_t unconfirmed_size_ = 0;
    std::uint32_t confirmed_ = 0;  // of ours, by the far end; then unconfirmed_ follows
    std::uint32_t received_ = 0;   // of theirs, in order
};

}  // namespace nettlestall::trunk
