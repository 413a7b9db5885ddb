// The callers of one gatekeeper: connections on which set-ups are placed, with the faults of the run.
#pragma once

#include <map>

#include "faults.hpp"
#include "link.hpp"
#include "rules.hpp"

namespace nettlestall::soak {

class Callers {
   public:
    Callers(World& world, Rules& rules, const Faults& faults, int gatekeeper, tcp::endpoint to,
            int connections, int switches);

    // Callers come once the gatekeeper is ready. A new one may come until new_ones_until.
    void come();
    void stop_coming() { may_connect_ = false; }
    // The gatekeeper is gone. `was_told_to_end`: calls without an answer are lost then.
    void gatekeeper_gone(bool was_told_to_end);
    bool are_present() const { return ready_; }
    void drain_links();
    // From then on no further calls are placed.
    void finish() { finished_ = true; }

   private:
    struct Slot {
        std::shared_ptr<Link> link;
        std::map<CallId, Time> open;  // set-ups without a final answer, with the time of their last byte
    };

    void check_ready();
    void place_later(std::size_t slot);
    void place(std::size_t slot);
    bool connect(std::size_t slot);
    void handle(std::size_t slot, const protocol::Message& message);
    void answered(std::size_t slot, const CallId& call);
    void closed(std::size_t slot);
    void act_as_bad_client();
    std::shared_ptr<Link> open_link();
    CallId next_call();

    World& world_;
    Rules& rules_;
    const Faults& faults_;
    int gatekeeper_;
    tcp::endpoint to_;
    std::vector<Slot> slots_;
    int switches_;
    std::shared_ptr<Link> health_link_;
    std::map<CallId, bool> standing_;
    std::uint64_t calls_ = 0;
    bool ready_ = false, may_connect_ = false, finished_ = false;
    int run_ = 0;  // counts the gatekeeper's processes
};

}  // namespace nettlestall::soak
