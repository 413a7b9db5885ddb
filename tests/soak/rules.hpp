// Checks the rules of the service from what the stand-ins see: one attempt of a call out at a time, the wait
// after an attempt that was reset or given up, no set-up to a switch that drains, one final answer in time,
// answers that a switch has made, and the release of calls that are over.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "nettlestall/call_control.hpp"
#include "world.hpp"

namespace nettlestall::soak {

// Figures of the settings that the gatekeepers get, and the slack that the protocol allows on each.
constexpr milliseconds kReleaseWait{300}, kDrainGrace{500}, kSlack{50};
// After its time an answer is only worthless for this long, and then lost.
constexpr milliseconds kLostAfter{500};
// From a switch's release, or the end of a call for which no release could be sent, to the caller's release.
constexpr milliseconds kMaxReleaseTime{1000}, kMaxUnreportedTime{8000};
constexpr milliseconds kMaxToldTime{6000};  // from when discovery has a change and can be reached

// How an attempt ended at its switch.
enum class AttemptEnd {
    answered,  // also if the answer was not read
    refused,   // a further attempt may follow at once
    broken,    // reset, or closed without a whole answer: the release wait applies
    given_up,  // by the gatekeeper, by a release or by closing the connection: likewise
};

class Rules {
   public:
    explicit Rules(World& world) : world_(world) {}

    // ---- Callers
    void offered(const CallId& call, int gatekeeper, milliseconds time_left, Time last_byte);
    void caller_gave_up(const CallId& call) { calls_[call].is_excused = true; }
    void final_answer(const CallId& call, bool served, const std::string& description);
    void caller_released(const CallId& call);  // the caller was told that the answered call is over
    void caller_ended(const CallId& call) { caller_released(call); }  // the caller ended it itself
    // The gatekeeper closed the connection without an answer. `oldest`: when the first of the set-ups that
    // were open on it was sent.
    void connection_closed(const CallId& call, Time oldest);
    // Nothing more is expected of the calls of a process that was killed.
    void killed(int gatekeeper);

    // ---- Switches. Attempts are numbered over the whole run.
    int taken(const CallId& call, const std::string& exchange);
    void attempt_over(int attempt, AttemptEnd how);
    bool is_out(int attempt) const { return attempts_[static_cast<std::size_t>(attempt)].is_out; }
    void answer_written(const CallId& call, int attempt, const std::string& description) {
        calls_[call].descriptions[description] = attempt;
    }
    // The call that was answered as this attempt has ended at its switch; `reported`: a release was written
    // to the gatekeeper. Without effect if the caller got the answer to another attempt.
    void standing_over(const CallId& call, int attempt, bool reported);

    // Something about the call that a violation is to be reported with.
    void note(const CallId& call, const std::string& text);

    // ---- Discovery
    // From `at` on the gatekeeper must not send set-ups there, as far as the drain grace goes.
    void told(int gatekeeper, const std::string& exchange, Time at);
    void ready_again(const std::string& exchange);

    // To be called often, and at the end: finds what is overdue.
    void check_times();
    void violation(const std::string& rule, const std::string& text);
    const std::vector<std::string>& violations() const { return violations_; }
    std::string summary() const;

   private:
    struct Attempt {
        CallId call;
        std::string exchange;
        Time taken, over{};
        bool is_out = true;
        AttemptEnd end{};
    };
    struct Call {
        int gatekeeper = -1;
        Time due = Time::max();      // for the final answer
        Time over_by = Time::max();  // for the caller's release
        int final_answers = 0;
        bool is_excused = false, stands = false;
        std::map<std::string, int> descriptions;  // of the answers that switches have written: the attempt
        int serving_attempt = -1;                 // whose answer the caller got
        std::vector<int> attempts;
        std::string notes;
    };
    std::string describe(const CallId& call) const;

    World& world_;
    std::map<CallId, Call> calls_;
    std::vector<Attempt> attempts_;
    std::map<std::pair<int, std::string>, Time> told_;
    std::vector<std::string> violations_;
    int served_ = 0, refused_ = 0;
};

}  // namespace nettlestall::soak
