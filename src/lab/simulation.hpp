// A discrete-event simulation on a virtual clock, and the random numbers of the experiments.
#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <functional>
#include <queue>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::lab {

// A seeded source of random numbers. It uses Boost's distributions because, unlike those of the standard
// library, they give the same numbers with every compiler and library.
class Random {
   public:
    explicit Random(std::uint64_t seed) : engine_(seed) {}
    // A number from 0 to end - 1.
    int draw_below(int end) { return boost::random::uniform_int_distribution<int>(0, end - 1)(engine_); }
    // A number from 0 to less than 1.
    double draw_unit() { return boost::random::uniform_real_distribution<double>(0.0, 1.0)(engine_); }
    // True with that probability.
    bool draw_bool(double probability) { return draw_unit() < probability; }
    // Uniformly distributed from `min` to less than `max`.
    Duration draw_between(Duration min, Duration max) {
        return min +
               Duration(static_cast<std::int64_t>(draw_unit() * static_cast<double>((max - min).count())));
    }
    // Exponentially distributed with that mean, at least one microsecond.
    Duration draw_exponential(Duration mean) {
        const double rate = 1.0 / static_cast<double>(mean.count());
        return Duration(
            static_cast<std::int64_t>(boost::random::exponential_distribution<double>(rate)(engine_)) + 1);
    }

   private:
    boost::random::mt19937_64 engine_;
};

// Runs tasks in the order of their times. The clock starts at one hour and moves only in run_until().
class Simulation {
   public:
    using Task = std::function<void()>;

    Instant now() const { return now_; }
    // Runs the task at `time`, or at the current time if that is past.
    void schedule_at(Instant time, Task task) {
        events_.push({std::max(time, now_), ++last_sequence_, std::move(task)});
    }
    void schedule_after(Duration delay, Task task) { schedule_at(now_ + delay, std::move(task)); }
    // Runs all tasks that are due up to `end`, also those that they schedule, and sets the clock to `end`.
    void run_until(Instant end) {
        while (!events_.empty() && events_.top().time <= end) {
            now_ = events_.top().time;
            const Task task = std::move(const_cast<Event&>(events_.top()).task);
            events_.pop();
            ++executed_;
            task();
        }
        now_ = end;
    }
    // The number of tasks that have run.
    std::uint64_t executed() const { return executed_; }

   private:
    struct Event {
        Instant time;
        std::uint64_t sequence;  // tasks for the same time run in the order in which they were scheduled
        Task task;
        bool operator<(const Event& other) const {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    std::priority_queue<Event> events_;
    Instant now_{std::chrono::hours(1)};
    std::uint64_t last_sequence_ = 0, executed_ = 0;
};

}  // namespace nettlestall::lab
