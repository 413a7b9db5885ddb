// What all stand-ins of the soak share: the event loop, the clock, random numbers and timers.
#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>

#include "lab/simulation.hpp"

namespace nettlestall::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

// An address that no other process of the tests listens on, and from which no connection is opened, so that a
// port there stays free while it is closed for a time.
inline asio::ip::address own_address() {
    const auto pid = static_cast<unsigned>(getpid());
    return asio::ip::address_v4((127u << 24) | ((64 + (pid >> 16 & 63)) << 16) | (pid & 0xffff));
}

// The event loop of one run. Everything is called from it.
class World {
   public:
    explicit World(std::uint64_t seed) : random(seed), start_(Clock::now()) { measure_lateness(); }

    asio::io_context io{1};
    lab::Random random;

    static Time now() { return Clock::now(); }
    double seconds(Time time) const { return std::chrono::duration<double>(time - start_).count(); }
    milliseconds draw(int min_ms, int max_ms) {
        return milliseconds(min_ms + random.draw_below(max_ms - min_ms + 1));
    }
    void after(Clock::duration delay, std::function<void()> task) {
        auto timer = std::make_shared<asio::steady_timer>(io, delay);
        timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& stopped) {
            if (!stopped) task();
        });
    }
    // By how much this loop was late at most within the last seconds. Times that it measures can be wrong by
    // that much.
    Clock::duration lateness() const {
        Clock::duration most{};
        for (const auto& [at, late] : late_) most = std::max(most, late);
        return most;
    }

   private:
    static constexpr milliseconds kTick{5};
    static constexpr std::chrono::seconds kLatenessMemory{4};

    void measure_lateness() {
        const Time due = now() + kTick;
        after(kTick, [this, due] {
            late_.emplace_back(now(), now() - due);
            while (now() - late_.front().first > kLatenessMemory) late_.pop_front();
            measure_lateness();
        });
    }

    Time start_;
    std::deque<std::pair<Time, Clock::duration>> late_;
};

}  // namespace nettlestall::soak
