// Releases that were sent and whose receipt the far end has not confirmed. If their connection ends, they may
// never have been read, and are sent again on another one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::calls {

// How a connection has ended.
enum class ConnectionEnd {
    orderly,   // the far end has closed it, after it had read nearly all that was sent
    broken,    // it was reset or closed at this end: the far end may have been silent for long
    passed_on  // it was not closed: another process serves it
};

// The releases by their calls. `Release` is what is needed to send one again. The oldest are forgotten beyond
// a number and an age, since a far end need not confirm any.
template <class Release, class Time>
class UnconfirmedReleases {
   public:
    explicit UnconfirmedReleases(std::size_t max_releases) : max_releases_(max_releases) {}

    // `connection` identifies the connection on which the release was sent.
    void add(const void* connection, const CallId& call, Release release, Time now) {
        forget_old(now);
        confirm(call);
        entries_.emplace(call, Entry{connection, now, ++last_number_, std::move(release)});
        order_.emplace(last_number_, Sent{now, call});
        if (order_.size() > max_releases_) confirm(CallId(order_.begin()->second.call));
    }
    void confirm(const CallId& call) {
        const auto entry = entries_.find(call);
        if (entry == entries_.end()) return;
        order_.erase(entry->second.number);
        entries_.erase(entry);
    }
    // Forgets those for which kMaxAge has passed.
    void forget_old(Time now) {
        while (!order_.empty() && now - order_.begin()->second.at >= kMaxAge)
            confirm(CallId(order_.begin()->second.call));
    }
    // Removes those of a connection that has ended and returns the ones that are to be sent again.
    std::vector<Release> take(const void* connection, ConnectionEnd end, Time now) {
        const auto max_age = end == ConnectionEnd::orderly ? kMaxUnreadAge : kMaxAge;
        std::vector<Release> unread;
        for (auto at = entries_.begin(); at != entries_.end();) {
            if (at->second.connection != connection) {
                ++at;
                continue;
            }
            if (end != ConnectionEnd::passed_on && now - at->second.sent_at <= max_age)
                unread.push_back(std::move(at->second.release));
            order_.erase(at->second.number);
            at = entries_.erase(at);
        }
        return unread;
    }
    // Whether one was sent so recently that its confirmation may still be under way.
    bool awaits_confirmation(Time now) const {
        return !order_.empty() && now - order_.rbegin()->second.at <= kMaxUnreadAge;
    }
    std::size_t size() const { return order_.size(); }

   private:
    // Longer than the longest cut of a link after which its connections are reset.
    static constexpr Duration kMaxAge = std::chrono::seconds(20);
    // What was sent before that has been read by a far end that reads, or is confirmed if it confirms.
    static constexpr Duration kMaxUnreadAge = std::chrono::milliseconds(300);

    struct Entry {
        const void* connection;
        Time sent_at;
        std::uint64_t number;
        Release release;
    };
    struct Sent {
        Time at;
        CallId call;
    };

    std::size_t max_releases_;
    std::uint64_t last_number_ = 0;
    std::map<CallId, Entry> entries_;
    std::map<std::uint64_t, Sent> order_;  // by their numbers, in the order of time
};

}  // namespace nettlestall::calls
