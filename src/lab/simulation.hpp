// A virtual clock: what is to happen, in the order of its moments, and the numbers that chance draws.
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

// Boost's distributions, unlike the standard library's, draw the same numbers everywhere.
class Chance {
   public:
    explicit Chance(std::uint64_t seed) : source_(seed) {}
    int below(int end) { return boost::random::uniform_int_distribution<int>(0, end - 1)(source_); }
    double share() { return boost::random::uniform_real_distribution<double>(0.0, 1.0)(source_); }
    bool once_in(double share_of_all) { return share() < share_of_all; }
    Duration between(Duration least, Duration most) {
        return least +
               Duration(static_cast<std::int64_t>(share() * static_cast<double>((most - least).count())));
    }
    Duration exponential(Duration mean) {
        const double rate = 1.0 / static_cast<double>(mean.count());
        return Duration(
            static_cast<std::int64_t>(boost::random::exponential_distribution<double>(rate)(source_)) + 1);
    }

   private:
    boost::random::mt19937_64 source_;
};

class Simulation {
   public:
    using Work = std::function<void()>;

    Instant now() const { return now_; }
    void at(Instant moment, Work work) { queue_.push({std::max(moment, now_), ++order_, std::move(work)}); }
    void after(Duration delay, Work work) { at(now_ + delay, std::move(work)); }
    void run_until(Instant end) {
        while (!queue_.empty() && queue_.top().at <= end) {
            now_ = queue_.top().at;
            const Work work = std::move(const_cast<Entry&>(queue_.top()).work);
            queue_.pop();
            ++done_;
            work();
        }
        now_ = end;
    }
    std::uint64_t done() const { return done_; }

   private:
    struct Entry {
        Instant at;
        std::uint64_t order;  // of what is due at one moment: as it was asked for
        Work work;
        bool operator<(const Entry& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    std::priority_queue<Entry> queue_;
    Instant now_{std::chrono::hours(1)};
    std::uint64_t order_ = 0, done_ = 0;
};

}  // namespace nettlestall::lab
