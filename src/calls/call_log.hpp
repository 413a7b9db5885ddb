// Lines for the log that tell how a call went: which attempts were made where, how each of them ended, and
// why there was another one or none. Calls that are answered or refused on their first attempt are not
// logged, so that a log of usual traffic stays short.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "nettlestall/call_control.hpp"

namespace nettlestall::calls {

// The name of the outcome in the log.
std::string_view to_string(Outcome outcome);

// Writes the lines through a handler, or not at all as long as there is none.
class CallLog {
   public:
    // `call` is empty for a line that concerns no single call.
    using Handler = std::function<void(const std::string& text, const CallId& call)>;
    void set_handler(Handler handler) { handler_ = std::move(handler); }

    // Attempts are counted from 1.
    void attempt_sent(const CallId& call, int attempt, const ExchangeId& exchange) const;
    void attempt_ended(const CallId& call, int attempt, const ExchangeId& exchange, Outcome outcome,
                       Duration after) const;
    // The attempt was cancelled, as its reported end may be that of an earlier one.
    void withdrawn(const CallId& call, int attempt, const ExchangeId& exchange) const;
    void answered(const CallId& call, int attempt, const ExchangeId& exchange) const;
    // `result`: the final answer, or why none is needed.
    void closed(const CallId& call, int attempts, std::string_view result) const;
    // The exchange reported an end, but the call has no attempt there.
    void end_ignored(const CallId& call, const ExchangeId& exchange, Outcome outcome) const;
    // Any other line.
    void line(const std::string& text, const CallId& call = {}) const {
        if (handler_) handler_(text, call);
    }

   private:
    Handler handler_;
};

}  // namespace nettlestall::calls
