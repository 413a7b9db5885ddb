// Who signals to which exchange: a front of its own, or else the carrier switches.
#pragma once

#include <map>

#include "calls/signals.hpp"

namespace nettlestall::calls {

class Routes final : public Switches {
   public:
    explicit Routes(Switches& otherwise) : otherwise_(otherwise) {}

    void add_route(const ExchangeId& at, Switches& by) { by_.insert_or_assign(at, &by); }
    bool has_route(const ExchangeId& at) const { return by_.count(at) > 0; }

    void set_up(const ExchangeId& at, const OutgoingSetUp& forward) override { to(at).set_up(at, forward); }
    void cancel(const ExchangeId& at, const CallId& call) override { to(at).cancel(at, call); }
    void release(const ExchangeId& at, const CallId& call) override { to(at).release(at, call); }

   private:
    Switches& to(const ExchangeId& at) {
        const auto by = by_.find(at);
        return by == by_.end() ? otherwise_ : *by->second;
    }
    Switches& otherwise_;
    std::map<ExchangeId, Switches*> by_;
};

}  // namespace nettlestall::calls
