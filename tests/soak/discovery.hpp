// The control feed of one gatekeeper: numbered events from its start on, with the faults of the run.
#pragma once

#include <array>
#include <map>

#include "link.hpp"
#include "rules.hpp"

namespace nettlestall::soak {

class Discovery {
   public:
    // One entry of the list of switches.
    struct Entry {
        std::string id, address, state;  // state: active, leaving or left
        int number;
        std::int64_t started_ms;
    };

    Discovery(World& world, Rules& rules, int gatekeeper);

    std::string address() const {
        return endpoint_.address().to_string() + ':' + std::to_string(endpoint_.port());
    }
    // The gatekeeper starts: events are counted from 1 again, and the first one holds the list.
    void begin(const std::vector<Entry>& list);
    // `known` of the configuration: all events up to now.
    std::string known() const;
    void publish(const std::vector<Entry>& changes);
    void go_down(Clock::duration time);      // refuses connections
    void fall_silent(Clock::duration time);  // open connections stay, but nothing comes
    void move();                             // to another address; the old one refuses connections

   private:
    struct Subscriber {
        tcp::socket socket;
        std::string input;
        std::array<char, 64> buffer{};
        std::size_t next = 0;  // the first event that was not sent
        bool subscribed = false;
        explicit Subscriber(tcp::socket s) : socket(std::move(s)) {}
    };

    void open();
    void accept();
    void read(const std::shared_ptr<Subscriber>& subscriber);
    void send_news();
    void send_heartbeats();
    bool is_reachable() const { return !is_down_ && !is_silent_; }
    void note_reachable();
    void note_told(std::size_t event, Time at);
    static std::string to_json(int number, bool full, const std::vector<Entry>& entries);

    World& world_;
    Rules& rules_;
    int gatekeeper_;
    tcp::acceptor listener_;
    tcp::endpoint endpoint_{own_address(), 0};
    std::vector<std::string> events_;                // as lines
    std::vector<std::vector<std::string>> closing_;  // by event: switches that it drains or removes
    std::map<std::string, std::string> states_;      // of the switches, by the last event
    std::vector<std::shared_ptr<Subscriber>> subscribers_;
    bool is_down_ = false, is_silent_ = false;
};

}  // namespace nettlestall::soak
