// Limits how many lines a log gets, so that a fault that touches every call cannot flood it.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace nettlestall::log {

// A token bucket.
class RateLimit {
   public:
    RateLimit(double per_second, double burst) : per_second_(per_second), burst_(burst), tokens_(burst) {}

    // Whether one more line may be written at `now`, the time since any fixed origin. A line that may not is
    // counted as dropped.
    bool allow(std::chrono::microseconds now) {
        if (is_started_)
            tokens_ =
                std::min(burst_, tokens_ + per_second_ * static_cast<double>((now - last_).count()) / 1e6);
        is_started_ = true;
        last_ = now;
        if (tokens_ < 1.0) return ++dropped_, false;
        tokens_ -= 1.0;
        return true;
    }
    // The number of lines dropped since the last call.
    std::uint64_t take_dropped() { return std::exchange(dropped_, 0); }

   private:
    double per_second_, burst_, tokens_;
    std::chrono::microseconds last_{};
    bool is_started_ = false;
    std::uint64_t dropped_ = 0;
};

}  // namespace nettlestall::log
