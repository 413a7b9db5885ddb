#include "rules.hpp"

#include <sstream>

namespace nettlestall::soak {

void Rules::offered(const CallId& call, int gatekeeper, milliseconds time_left, Time last_byte) {
    Call& record = calls_[call];
    record.gatekeeper = gatekeeper;
    record.due = last_byte + time_left + kLostAfter;
}

void Rules::final_answer(const CallId& id, bool served, const std::string& description) {
    Call& call = calls_[id];
    call.due = Time::max();
    ++(served ? served_ : refused_);
    if (++call.final_answers > 1) violation("two final answers", describe(id));
    if (!served) return;
    const auto made = call.descriptions.find(description);
    if (made == call.descriptions.end()) return violation("an answer that no switch made", describe(id));
    call.serving_attempt = made->second;
    call.stands = true;
}

void Rules::caller_released(const CallId& id) {
    Call& call = calls_[id];
    call.stands = false;
    call.over_by = Time::max();
}

void Rules::connection_closed(const CallId& id, Time oldest) {
    Call& call = calls_[id];
    call.due = Time::max();
    if (call.is_excused || call.final_answers > 0) return;
    if (World::now() - oldest <= kSlack + world_.lateness()) return;  // the set-ups have crossed the close
    violation("lost: the connection was closed without an answer", describe(id));
}

void Rules::killed(int gatekeeper) {
    for (auto& [id, call] : calls_)
        if (call.gatekeeper == gatekeeper) call.is_excused = true, call.due = call.over_by = Time::max();
}

int Rules::taken(const CallId& id, const std::string& exchange) {
    Call& call = calls_[id];
    const Time now = World::now();
    const int number = static_cast<int>(attempts_.size());
    attempts_.push_back({.call = id, .exchange = exchange, .taken = now});
    call.attempts.push_back(number);
    for (const int earlier : call.attempts) {
        if (earlier == number) continue;
        const Attempt& attempt = attempts_[static_cast<std::size_t>(earlier)];
        if (attempt.is_out) {
            violation("two attempts out at once", describe(id));
        } else if ((attempt.end == AttemptEnd::broken || attempt.end == AttemptEnd::given_up) &&
                   now - attempt.over < kReleaseWait - kSlack - world_.lateness()) {
            violation("no wait after a release", describe(id));
        }
    }
    const auto told = told_.find({call.gatekeeper, exchange});
    if (told != told_.end() && now > told->second + kDrainGrace + kSlack + world_.lateness())
        violation("a set-up to a switch that drains or has gone", describe(id));
    return number;
}

void Rules::attempt_over(int number, AttemptEnd how) {
    Attempt& attempt = attempts_[static_cast<std::size_t>(number)];
    if (!attempt.is_out) return;
    attempt.is_out = false;
    attempt.over = World::now();
    attempt.end = how;
}

void Rules::standing_over(const CallId& id, int attempt, bool reported) {
    Call& call = calls_[id];
    if (call.serving_attempt != attempt) return;
    if (!call.is_excused && call.stands)
        call.over_by =
            std::min(call.over_by, World::now() + (reported ? kMaxReleaseTime : kMaxUnreportedTime));
}

void Rules::told(int gatekeeper, const std::string& exchange, Time at) {
    const auto [entry, is_new] = told_.try_emplace({gatekeeper, exchange}, at);
    entry->second = std::min(entry->second, at);
}

void Rules::ready_again(const std::string& exchange) {
    std::erase_if(told_, [&exchange](const auto& told) { return told.first.second == exchange; });
}

void Rules::check_times() {
    const Time now = World::now() - kSlack - world_.lateness();
    for (auto& [id, call] : calls_) {
        if (now > call.due && !call.is_excused) {
            call.due = Time::max();
            violation("lost: no final answer", describe(id));
        }
        if (now > call.over_by && call.stands) {
            call.over_by = Time::max();
            violation("lost: a call that is over was not released to its caller", describe(id));
        }
    }
}

void Rules::violation(const std::string& rule, const std::string& text) {
    std::ostringstream line;
    line << rule << " at " << world_.seconds(World::now()) << " s: " << text;
    violations_.push_back(line.str());
}

std::string Rules::describe(const CallId& id) const {
    std::ostringstream text;
    const Call& call = calls_.at(id);
    text << "call " << id << " at n" << call.gatekeeper;
    constexpr const char* kEnds[] = {"answered", "refused", "broken", "given up"};
    for (const int number : call.attempts) {
        const Attempt& attempt = attempts_[static_cast<std::size_t>(number)];
        text << "; " << attempt.exchange << " taken " << world_.seconds(attempt.taken);
        if (attempt.is_out)
            text << " out";
        else
            text << ' ' << kEnds[static_cast<int>(attempt.end)] << ' ' << world_.seconds(attempt.over);
    }
    text << call.notes;
    return text.str();
}

void Rules::note(const CallId& id, const std::string& text) {
    std::ostringstream line;
    line << "; " << text << ' ' << world_.seconds(World::now());
    calls_[id].notes += line.str();
}

std::string Rules::summary() const {
    std::ostringstream text;
    int repeated = 0;
    for (const auto& [id, call] : calls_) repeated += call.attempts.size() > 1;
    text << calls_.size() << " calls, " << served_ << " served, " << refused_ << " refused or failed, "
         << attempts_.size() << " attempts, " << repeated << " calls with several, " << violations_.size()
         << " violations";
    return text.str();
}

}  // namespace nettlestall::soak
