// Releases of standing calls whose callers have no connection at present. Each waits for a connection of its
// own caller.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "calls/signals.hpp"

namespace nettlestall::calls {

// A release that a caller is owed, with the connection that the call was set up on.
struct CallerRelease {
    CallId call;
    CallerAddress caller;
    ReleaseReason reason = ReleaseReason::ended;
};

// The releases by the origin of their callers. Those of callers that do not come back are dropped after a
// while; beyond the bound the oldest are.
class HeldReleases {
   public:
    static constexpr Duration kMaxAge = std::chrono::seconds(60);
    static constexpr std::size_t kMaxReleases = 10'000;
    static constexpr std::size_t kMaxUnconfirmed = 4096;  // that are kept in case their connection ends

    void hold(CallerRelease release, Instant now) {
        drop_old(now);
        std::string origin = release.caller.origin;
        arrivals_.push_back({now, origin});
        by_origin_[std::move(origin)].push_back(std::move(release));
        ++count_;
        if (count_ > kMaxReleases) drop_oldest();
    }
    bool has(std::string_view origin) const { return by_origin_.find(origin) != by_origin_.end(); }
    // Removes and returns the releases for the caller with this origin, the oldest first.
    std::deque<CallerRelease> take(std::string_view origin) {
        const auto found = by_origin_.find(origin);
        if (found == by_origin_.end()) return {};
        std::deque<CallerRelease> taken = std::move(found->second);
        by_origin_.erase(found);
        count_ -= taken.size();
        std::erase_if(arrivals_, [origin](const Arrival& arrival) { return arrival.origin == origin; });
        return taken;
    }
    // Removes and returns the releases for all callers.
    std::vector<CallerRelease> take_all() {
        std::vector<CallerRelease> taken;
        for (auto& [origin, releases] : by_origin_)
            for (CallerRelease& release : releases) taken.push_back(std::move(release));
        by_origin_.clear();
        arrivals_.clear();
        count_ = 0;
        return taken;
    }
    std::size_t size() const { return count_; }

   private:
    struct Arrival {
        Instant at;
        std::string origin;
    };

    void drop_old(Instant now) {
        while (!arrivals_.empty() && now - arrivals_.front().at >= kMaxAge) drop_oldest();
    }
    void drop_oldest() {
        const auto found = by_origin_.find(arrivals_.front().origin);
        arrivals_.pop_front();
        found->second.pop_front();
        if (found->second.empty()) by_origin_.erase(found);
        --count_;
    }

    std::map<std::string, std::deque<CallerRelease>, std::less<>> by_origin_;
    std::deque<Arrival> arrivals_;  // of all releases, the oldest first
    std::size_t count_ = 0;
};

}  // namespace nettlestall::calls
