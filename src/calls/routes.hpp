// Chooses which component signals to an exchange: the one registered for it, or else the carrier switches.
#pragma once

#include <map>

#include "calls/signals.hpp"

namespace nettlestall::calls {

// Passes each set-up, cancellation and release on to the component that signals to the exchange.
class Routes final : public Switches {
   public:
    // `fallback` serves every exchange that has no route of its own. It has to outlive this object, and so do
    // the components that are added.
    explicit Routes(Switches& fallback) : fallback_(fallback) {}

    // Routes the exchange to `target`, in place of any earlier route.
    void add_route(const ExchangeId& exchange, Switches& target) {
        routes_.insert_or_assign(exchange, &target);
    }
    bool has_route(const ExchangeId& exchange) const { return routes_.count(exchange) > 0; }

    void set_up(const ExchangeId& exchange, const OutgoingSetUp& set_up) override {
        target_of(exchange).set_up(exchange, set_up);
    }
    void cancel(const ExchangeId& exchange, const CallId& call) override {
        target_of(exchange).cancel(exchange, call);
    }
    void release(const ExchangeId& exchange, const CallId& call) override {
        target_of(exchange).release(exchange, call);
    }

   private:
    Switches& target_of(const ExchangeId& exchange) {
        const auto route = routes_.find(exchange);
        return route == routes_.end() ? fallback_ : *route->second;
    }
    Switches& fallback_;
    std::map<ExchangeId, Switches*> routes_;
};

}  // namespace nettlestall::calls
