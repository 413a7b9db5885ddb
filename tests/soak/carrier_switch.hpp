// A carrier switch of the soak: answers set-ups, and has the faults of the run.
#pragma once

#include <deque>
#include <map>

#include "faults.hpp"
#include "link.hpp"
#include "rules.hpp"

namespace nettlestall::soak {

class CarrierSwitch {
   public:
    // `before_set_up(gatekeeper)` reads all other connections of the gatekeeper: what it has written before a
    // set-up has to be known when the set-up is checked.
    CarrierSwitch(World& world, Rules& rules, const Faults& faults, std::string id, int number,
                  int gatekeepers, std::function<void(int)> before_set_up);

    std::string state = "active";  // in discovery's list

    const std::string& id() const { return id_; }
    int number() const { return number_; }
    std::string address(int gatekeeper) const {
        return ports_[static_cast<std::size_t>(gatekeeper)].acceptor->address();
    }
    std::int64_t started_ms() const { return started_ms_; }
    bool is_up() const { return is_up_; }

    void crash();    // resets all connections, refuses new ones; all calls are cut
    void restart();  // as a new process
    void hang(Clock::duration time) { hangs_until_ = World::now() + time; }  // reads, but sends nothing
    void lose_connections();  // resets the connections of one gatekeeper
    void drain_links(int gatekeeper);
    // The process of the gatekeeper has ended: all that concerns it is forgotten.
    void forget(int gatekeeper);

   private:
    struct LateRelease {
        CallId call;
        std::uint8_t cause;
    };
    struct Port {  // the address that is set aside for one gatekeeper
        std::unique_ptr<Acceptor> acceptor;
        std::vector<std::shared_ptr<Link>> links;
        std::deque<LateRelease> releases;  // repeated on the next connection
    };
    struct SetUp {
        int attempt, gatekeeper;
        CallId call;
        std::shared_ptr<Link> link;
        bool answer_begun = false;
    };
    struct Standing {
        int attempt, gatekeeper;
        std::weak_ptr<Link> link;
    };

    void accept(int gatekeeper, std::shared_ptr<Link> link);
    void serve(int gatekeeper, const std::shared_ptr<Link>& link);
    void handle(int gatekeeper, const std::shared_ptr<Link>& link, const protocol::Message& message);
    void handle_set_up(int gatekeeper, const std::shared_ptr<Link>& link, const CallId& call);
    void handle_release(int gatekeeper, const std::shared_ptr<Link>& link, const CallId& call);
    void respond(int attempt,
                 std::function<void(SetUp)> response);  // once it does not hang, if it is still out
    void answer(SetUp set_up);
    void begin_answer(SetUp set_up);
    void refuse(SetUp set_up, std::uint8_t cause, const char* note, AttemptEnd end);
    void end_standing(const CallId& call, int attempt);
    void stand(const SetUp& set_up);
    void close(const std::shared_ptr<Link>& link, AttemptEnd end);  // ends what is out on it
    void report_state(int gatekeeper);
    Port& port(int gatekeeper) { return ports_[static_cast<std::size_t>(gatekeeper)]; }

    static constexpr int kCircuits = 8;  // of the group toward each gatekeeper

    World& world_;
    Rules& rules_;
    const Faults& faults_;
    std::string id_;
    int number_;
    std::function<void(int)> before_set_up_;
    std::vector<Port> ports_;
    std::map<int, SetUp> set_ups_;  // by attempt
    std::map<CallId, Standing> standing_;
    Time hangs_until_{};
    std::int64_t started_ms_ = 0;
    bool is_up_ = true;
};

}  // namespace nettlestall::soak
