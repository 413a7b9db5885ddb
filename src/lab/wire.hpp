// A simulated TCP connection between two ends of a group, with delay, breaks and cuts: bytes that arrive do
// so in order and unchanged; what is under way when the connection breaks is lost.
#pragma once

#include <functional>
#include <string>

#include "lab/simulation.hpp"

namespace nettlestall::lab {

class WireEnd {
   public:
    virtual bool reachable() const = 0;  // a process is there and takes connections
    virtual void connected() = 0;
    virtual void arrived(std::string bytes) = 0;
    virtual void broken() = 0;

   protected:
    ~WireEnd() = default;
};

class Wire {
   public:
    Wire(Simulation& simulation, Chance& chance) : simulation_(simulation), chance_(chance) {}

    void join(WireEnd& a, WireEnd& b) { ends_[0] = &a, ends_[1] = &b, dial(); }
    void write(const WireEnd& from, std::string bytes);
    // One end has given the connection up; the other one hears of it, unless the wire is cut.
    void hang_up(const WireEnd& by);
    void break_off();  // both hear of it at once

    // Nothing arrives and nothing comes up until then. What is written is kept, as TCP does.
    void cut(Duration length) { cut_until_ = std::max(cut_until_, simulation_.now() + length); }
    bool is_cut() const { return simulation_.now() < cut_until_; }
    void slow_down(Duration extra) { extra_ = extra; }

   private:
    void dial();
    int side(const WireEnd& end) const { return &end == ends_[0] ? 0 : 1; }

    Simulation& simulation_;
    Chance& chance_;
    WireEnd* ends_[2] = {nullptr, nullptr};
    bool open_[2] = {false, false};  // as that end sees it
    Instant last_[2] = {};           // arrival of what was written last, by direction
    std::uint64_t connection_ = 0;
    Instant cut_until_{};
    Duration extra_{};
};

}  // namespace nettlestall::lab
