// A simulated TCP connection between the two ends of a circuit group, with delays, breaks and interruptions.
// It reconnects by itself. Bytes arrive in order and unchanged; those in transit when the connection breaks
// are lost.
#pragma once

#include <functional>
#include <string>

#include "lab/simulation.hpp"

namespace nettlestall::lab {

// One end of a link, which receives its events.
class LinkEnd {
   public:
    virtual bool can_connect() const = 0;  // true if a process is running that accepts connections
    virtual void on_connected() = 0;
    virtual void on_received(std::string bytes) = 0;
    virtual void on_closed() = 0;  // by the other end or by a break; not after close() by this end

   protected:
    ~LinkEnd() = default;
};

// The link. It keeps references to its ends, which must live as long.
class Link {
   public:
    Link(Simulation& simulation, Random& random) : simulation_(simulation), random_(random) {}

    // Sets the two ends and starts to connect them.
    void attach(LinkEnd& a, LinkEnd& b) { ends_[0] = &a, ends_[1] = &b, schedule_connect(); }
    // Sends bytes to the other end; drops them if `from` has no connection.
    void send(const LinkEnd& from, std::string bytes);
    // Closes the connection by one end. The other end is notified, after an interruption if there is one.
    void close(const LinkEnd& by);
    // Breaks the connection and notifies both ends at once.
    void break_connection();

    // For that long no bytes arrive and no connection is established. Bytes that are sent are kept and arrive
    // afterwards, as with TCP.
    void interrupt(Duration length) {
        interrupted_until_ = std::max(interrupted_until_, simulation_.now() + length);
    }
    bool is_interrupted() const { return simulation_.now() < interrupted_until_; }
    // Adds that much to the delay of bytes that are sent from now on.
    void set_extra_delay(Duration delay) { extra_delay_ = delay; }

   private:
    void schedule_connect();
    int side(const LinkEnd& end) const { return &end == ends_[0] ? 0 : 1; }

    Simulation& simulation_;
    Random& random_;
    LinkEnd* ends_[2] = {nullptr, nullptr};
    bool open_[2] = {false, false};  // by end: whether it considers the connection open
    Instant last_arrival_[2] = {};   // by receiving end: arrival of the bytes that were sent last
    std::uint64_t connection_ = 0;   // number of the current connection; events of earlier ones are void
    Instant interrupted_until_{};
    Duration extra_delay_{};
};

}  // namespace nettlestall::lab
