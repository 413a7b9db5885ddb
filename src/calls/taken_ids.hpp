// Ids of set-ups that must not be taken here: another process of an upgrade has taken them, or they were
// taken here, may have run and are over. A caller gives each set-up a new id, so one that comes again would
// run twice.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::calls {

class TakenIds {
   public:
    static constexpr std::size_t kMaxIds = 8192;  // beyond it those are forgotten whose time ends first

    // In place of an earlier time for the same id. A time that has passed makes the id free.
    void remember(const CallId& id, Instant until, Instant now) {
        forget(id);
        if (until <= now) return;
        ends_.emplace(until, id);
        ids_.emplace(id, until);
        if (ids_.size() > kMaxIds) forget(CallId(ends_.begin()->second));
    }
    bool has(const CallId& id, Instant now) const {
        const auto found = ids_.find(id);
        return found != ids_.end() && now < found->second;
    }
    void forget_old(Instant now) {
        while (!ends_.empty() && ends_.begin()->first <= now) forget(CallId(ends_.begin()->second));
    }
    // All ids, with the ends of their times.
    const std::map<CallId, Instant>& all() const { return ids_; }
    std::size_t size() const { return ids_.size(); }

   private:
    void forget(const CallId& id) {
        const auto found = ids_.find(id);
        if (found == ids_.end()) return;
        ends_.erase({found->second, id});
        ids_.erase(found);
    }

    std::map<CallId, Instant> ids_;
    std::set<std::pair<Instant, CallId>> ends_;
};

}  // namespace nettlestall::calls
