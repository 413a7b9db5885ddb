#include "calls/call_log.hpp"

namespace nettlestall::calls {
namespace {

std::string attempt_at(int attempt, const ExchangeId& exchange) {
    return "attempt " + std::to_string(attempt) + " at " + exchange;
}

// After these the call may not be sent again at once, so they are logged for a first attempt too.
bool needs_release_wait(Outcome outcome) {
    return outcome == Outcome::timed_out || outcome == Outcome::reset || outcome == Outcome::cancelled;
}

}  // namespace

std::string_view to_string(Outcome outcome) {
    switch (outcome) {
        case Outcome::ended:
            return "ended";
        case Outcome::failed:
            return "failed";
        case Outcome::rejected:
            return "rejected";
        case Outcome::timed_out:
            return "timed out";
        case Outcome::unreachable:
            return "unreachable";
        case Outcome::reset:
            return "reset";
        case Outcome::cancelled:
            return "cancelled";
        case Outcome::not_sent:
            return "not sent";
    }
    return "unknown";
}

void CallLog::attempt_sent(const CallId& call, int attempt, const ExchangeId& exchange) const {
    if (handler_ && attempt > 1) handler_(attempt_at(attempt, exchange) + ": sent", call);
}

void CallLog::attempt_ended(const CallId& call, int attempt, const ExchangeId& exchange, Outcome outcome,
                            Duration after) const {
    if (!handler_ || (attempt == 1 && !needs_release_wait(outcome))) return;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(after).count();
    handler_(attempt_at(attempt, exchange) + ": " + std::string(to_string(outcome)) + " after " +
                 std::to_string(milliseconds) + " ms",
             call);
}

void CallLog::withdrawn(const CallId& call, int attempt, const ExchangeId& exchange) const {
    if (handler_)
        handler_(attempt_at(attempt, exchange) + ": withdrawn, the end may be an earlier attempt's", call);
}

void CallLog::answered(const CallId& call, int attempt, const ExchangeId& exchange) const {
    if (handler_ && attempt > 1) handler_(attempt_at(attempt, exchange) + ": answered", call);
}

void CallLog::closed(const CallId& call, int attempts, std::string_view result) const {
    if (handler_ && attempts > 1)
        handler_(std::string(result) + " after " + std::to_string(attempts) + " attempts", call);
}

void CallLog::end_ignored(const CallId& call, const ExchangeId& exchange, Outcome outcome) const {
    if (handler_)
        handler_("end at " + exchange + " ignored: " + std::string(to_string(outcome)) +
                     ", no attempt is out there",
                 call);
}

}  // namespace nettlestall::calls
