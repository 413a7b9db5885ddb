// The table of calls and attempts: turns what callers, carrier switches and the list say into the module's
// events, and its actions into answers and set-ups. Makes no decision, knows no codec and no socket, and
// reads no clock: the time comes with `Time`, and the host wakes it at next_due().
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "calls/signals.hpp"
#include "counters.hpp"

namespace nettlestall::calls {

class Gatekeeper final : public CallerEvents, public SwitchEvents, public CallTable {
   public:
    using Clock = std::function<Instant()>;

    // Beyond these set-ups are refused at once, with the cause that makes trying again harmless.
    struct Bounds {
        std::size_t max_description_bytes =
            32 * 1024 * 1024;               // bytes of descriptions of calls without an answer
        std::size_t max_calls = 1'000'000;  // without an answer and standing together
    };
    Gatekeeper(const Settings& settings, std::uint64_t seed, Clock time, Switches& switches,
               Counters& counters, const Bounds& bounds);

    // Whoever runs the timers hears of each earlier moment.
    void set_timer_handler(std::function<void(Instant)> earlier) { earlier_ = std::move(earlier); }
    void set_note_handler(std::function<void(const std::string&)> note) { note_ = std::move(note); }

    void apply_list(const ListEvent& event);
    void run_timers();

    // New settings in service: calls, timers and what was learned go on.
    bool can_apply(const Settings& settings) const { return control_.can_apply(settings); }
    void apply_settings(const Settings& settings, const Bounds& bounds);

    // From the front's tests on nothing new is wanted. What comes all the same is answered by `end`.
    void begin_shutdown(Instant end) { leaving_ = true, end_ = end; }

    // The front is to send callers elsewhere, until the drain ends. Calls that were taken go on as ever.
    void drain();
    void undrain() { drain_.reset(); }
    // The front has had the time to turn away: callers' connections may be closed where nothing is open.
    bool can_close_callers() const;

    // Another process takes over: it gets the calls that stand and those that will, and this one answers
    // what it took. Its front tests pass to the end, for the front sees one gatekeeper. Null: no more.
    void hand_over_to(Successor* successor);
    // What the process before this one passes on.
    // `link`: where its release goes, if it is not a caller's connection.
    void accept_standing(const ExchangeId& at, const CallId& call, std::string_view origin,
                         CallerLink* link = nullptr);
    void accept_release(const CallId& call);

    struct OldCall {
        CallId call;
        ExchangeId exchange;
        Duration age;  // since its set-up went there
    };
    std::vector<OldCall> oldest_calls(std::size_t most) const;  // of those that stand, the oldest first

    std::size_t unanswered_calls() const { return unanswered_; }
    std::size_t calls() const { return calls_.size(); }
    struct Replies {  // final answers passed on to callers of one class
        std::string service_class;
        std::uint64_t served = 0, refused = 0, failed = 0;
    };
    const std::vector<Replies>& replies() const { return replies_; }
    std::size_t listed_exchanges() const { return exchanges_.size(); }
    // of those listed, by the module
    std::size_t avoided_exchanges() const { return control_.avoided_exchange_count(); }
    // In all tables, the module's too: each is bounded by the calls and exchanges in hand.
    std::size_t table_entries() const;
    // Every call still without its final answer gets it now.
    void refuse_all();

    void on_set_up(CallerLink& link, const SetUpRequest& offer) override;
    void on_release(CallerLink& link, const CallId& call) override;
    bool is_ready() override;
    void on_caller_connected(CallerLink& link) override;
    void on_caller_disconnected(CallerLink& link) override;

    void on_answer(const ExchangeId& at, const CallId& call, std::string_view description) override;
    void on_call_ended(const ExchangeId& at, const CallId& call, Outcome outcome, Cause cause,
                       const LoadReport& load) override;
    void on_group_state(const ExchangeId& at, const LoadReport& load) override;
    void on_process_failed(const ExchangeId& at) override;

    const ExchangeId* exchange_of(const CallId& call) const override;
    std::string_view origin_of(const CallId& call) const override;
    std::vector<CallId> calls_at(const ExchangeId& at) const override;
    std::vector<CallId> calls_from(const CallerLink& link) const override;

   private:
    enum class Phase { waiting, out, standing };

    struct ModuleTimer {
        std::int64_t token;
    };
    struct AttemptTimeOut {
        CallId call;
        int attempt;
    };
    struct AnswerDue {
        CallId call;
    };
    using Due = std::variant<ModuleTimer, AttemptTimeOut, AnswerDue>;
    using Timers = std::multimap<Instant, Due>;

    struct Call {
        CallerLink* link = nullptr;  // the connection that it came on, while that is open
        std::string origin;          // of that connection
        Phase phase = Phase::waiting;
        bool transit = false, again = false, redial = false;
        int destination = kNoExchange, width = 1;
        std::string service_class, number;
        Description description;
        int attempts = 0;
        ExchangeId at;  // of the attempt that is out, or of the standing call
        Instant sent{};
        Instant not_before{};
        Instant answer_by{};
        std::optional<Timers::iterator> answer_due, time_out;  // gone with what they guard
    };
    using Calls = std::map<CallId, Call>;

    struct Exchange {
        ExchangeState state = ExchangeState::ready;
        Instant started{};
        int number = kNoExchange;
        bool group_known = false;
    };

    // Tells the module, carries out what it says, and goes on with what comes of that.
    void tell(Event event);
    bool takes_none() const;  // set-ups come too late in a drain for a connection that must be closed
    void later(Event event) { events_.push_back(std::move(event)); }
    Timers::iterator schedule(Instant at, Due due);
    void unschedule(std::optional<Timers::iterator>& timer);
    void due(const ModuleTimer& timer);
    void due(const AttemptTimeOut& timer);
    void due(const AnswerDue& timer);

    void act(const SetUp& action);
    void act(const Refuse& action);
    void act(const Fail& action);
    void act(const Cancel& action);
    void act(const SetTimer& action);
    void act(const Note& action);
    // Nothing is to be done for these: probes and messages between gatekeepers have no message here, the feed
    // tells the list unasked, and the one connection to each carrier switch is kept.
    void act(const Probe&) {}
    void act(const SendPeerMessage&) {}
    void act(const SubscribeList&) {}
    void act(const RequestList&) {}
    void act(const CloseIdleConnection&) {}

    bool may_set_up(const Call& call, const ExchangeId& at) const;
    void end_attempt(Calls::iterator at, Outcome outcome, Cause cause, const LoadReport& load);
    void end_standing(Calls::iterator at, Outcome outcome, const LoadReport& load, bool tell_caller);
    void final_answer(const CallId& call, ReleaseReason ending);
    void abandon(Calls::iterator at);
    void release_caller(const CallId& id, const Call& call, ReleaseReason ending);
    void settle_answer(Call& call);
    void pass_on(Calls::iterator standing);
    void release_standing(Calls::iterator at);
    // Passes the final answer on where somebody is left to hear it, and counts it there.
    void refuse_or_fail(CallerLink* link, const CallId& id, std::string_view service_class,
                        ReleaseReason ending);
    void count(std::string_view service_class, std::uint64_t Replies::*reply);
    static bool makes_sense(const SetUpRequest& offer, const ClassSettings& service_class);
    void cut_standing(const ExchangeId& at);
    bool at_the_bound();  // of calls in the table

    Settings settings_;
    CallControl control_;
    Clock time_;
    Switches& switches_;
    Counters& counters_;
    std::vector<Replies> replies_;  // by class, in the order of the settings
    std::function<void(Instant)> earlier_;
    std::function<void(const std::string&)> note_;

    Calls calls_;
    std::size_t unanswered_ = 0;
    std::size_t held_ = 0;
    Bounds bounds_;
    Instant next_bound_note_{};
    std::map<ExchangeId, Exchange> exchanges_;
    std::vector<CallerLink*> links_;
    struct Owed {
        CallId call;
        ReleaseReason ending;
    };
    std::vector<Owed> owed_;  // releases for which no caller's connection was open
    Timers due_;
    std::deque<Event> events_;
    std::vector<Action> actions_;
    bool telling_ = false;
    Instant started_{};
    Successor* successor_ = nullptr;
    bool leaving_ = false;
    struct Drain {
        Instant since{};
        std::optional<Instant> heard;  // by whoever asked first
    };
    std::optional<Drain> drain_;
    Instant end_ = Instant::max();
};

}  // namespace nettlestall::calls
