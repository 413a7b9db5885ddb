// Remembers for a while where the attempts of calls in transit went that are over here. The exchange that
// such a call comes from may set it up again with the same id, and what comes late from an exchange may then
// concern an attempt of the earlier set-up.
#pragma once

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "nettlestall/call_control.hpp"

namespace nettlestall::calls {

class TriedExchanges {
   public:
    void remember(const CallId& call, std::vector<ExchangeId> exchanges, Instant now) {
        if (exchanges.empty()) return;
        forget_old(now);
        exchanges_[call] = std::move(exchanges);
        expiries_.emplace_back(now + kMemory, call);
    }
    // Where the earlier set-up of the call was tried; empty if it is not known.
    std::vector<ExchangeId> take(const CallId& call, Instant now) {
        forget_old(now);
        const auto found = exchanges_.find(call);
        if (found == exchanges_.end()) return {};
        std::vector<ExchangeId> taken = std::move(found->second);
        exchanges_.erase(found);
        return taken;
    }
    std::size_t size() const { return expiries_.size(); }

   private:
    static constexpr Duration kMemory = std::chrono::seconds(10);
    static constexpr std::size_t kMaxCalls = 4096;

    void forget_old(Instant now) {
        while (!expiries_.empty() && (expiries_.front().first <= now || expiries_.size() > kMaxCalls)) {
            exchanges_.erase(expiries_.front().second);
            expiries_.pop_front();
        }
    }

    std::map<CallId, std::vector<ExchangeId>> exchanges_;
    std::deque<std::pair<Instant, CallId>> expiries_;  // in the order of time
};

}  // namespace nettlestall::calls
