// Checks with random but valid events, under varied settings, that call control keeps the rules on calls and
// that equal events give equal actions.
#include <map>
#include <random>
#include <set>

#include "call_control_driver.hpp"

namespace nettlestall::test {
namespace {

// A simulated network: it answers the actions of a call control at random, from a seed, and checks the rules.
class World {
   public:
    World(Settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), random_(seed), control_(settings_, seed) {}

    // Runs that many steps of 5 ms with new calls, then 12.5 s without, in which all calls must be answered.
    // Returns a log of the actions.
    std::vector<std::string> run(int steps) {
        send_list(ListKind::cached);
        for (int step = 0; step < steps; ++step) {
            now_ += 5ms;
            send_expired_timers();
            send_outcomes();
            check_deadlines();
            if (with_chance(0.5)) offer();
            if (with_chance(0.3)) report_circuits(1 + random_below(exchange_count_));
            if (with_chance(0.01)) send_list(with_chance(0.3) ? ListKind::complete : ListKind::changes);
            if (with_chance(0.002)) send(PeerMessage{1, {1, 2, 3}});
            if (with_chance(0.002)) send(TimerExpired{99});
        }
        for (int step = 0; step < 2500; ++step) {  // no more calls are offered: all must get an answer
            now_ += 5ms;
            send_expired_timers();
            send_outcomes();
            check_deadlines();
        }
        for (const auto& [id, c] : calls_)
            EXPECT_TRUE(c.done || c.standing) << id << " was left without an answer";
        return log_;
    }

   private:
    // What is known of a call, to check the rules.
    struct KnownCall {
        Instant answer_by{}, not_before{};  // not_before: the end of the release time
        // pending: an attempt has no outcome yet. done: the call was refused, failed, ended or was abandoned.
        bool pending = false, done = false, standing = false, abandoned = false, transit = false;
        int destination = 0, attempts = 0, service_class = 0;
        bool never_ran = true;  // no attempt may have run
    };
    // An attempt, or an answered call (standing), whose outcome comes later.
    struct PendingOutcome {
        CallId call;
        int attempt;
        ExchangeId exchange;
        bool standing;
    };

    bool with_chance(double chance) { return std::uniform_real_distribution<>(0, 1)(random_) < chance; }
    int random_below(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }

    // Hands over an event and checks the actions.
    template <class E>
    void send(const E& event) {
        std::vector<Action> actions;
        control_.handle(now_, event, actions);
        for (const Action& a : actions) std::visit([this](const auto& x) { check(x); }, a);
    }

    // Offers a random call.
    void offer() {
        CallOffered c;
        c.call = "call" + std::to_string(++offered_count_);
        c.destination = 1 + random_below(exchange_count_);
        c.service_class = random_below(static_cast<int>(settings_.classes.size()));
        c.width = 1 + random_below(3);
        c.time_left = Duration(1000 * (1 + random_below(with_chance(0.1) ? 60 : 4000)));
        c.transit = !settings_.uses_pools && with_chance(0.2);
        if (c.transit) c.previous_exchange = 1 + random_below(exchange_count_);
        c.called_number = "n" + std::to_string(random_below(20));
        c.is_reconnect = with_chance(0.05);
        c.advised_exchange = with_chance(0.2) ? random_below(exchange_count_ + 1) : kNoExchange;
        if (!settings_.tenants.empty()) c.tenant = random_below(static_cast<int>(settings_.tenants.size()));
        unanswered_.insert(c.call);
        KnownCall& known = calls_[c.call];
        known.answer_by = now_ + c.time_left + settings_.answer_grace;
        known.transit = c.transit;
        known.destination = c.destination;
        known.service_class = c.service_class;
        if (with_chance(0.05)) abandon_times_.emplace(now_ + Duration(1000 * random_below(3000)), c.call);
        send(c);
    }

    // Reports a random number of free circuits toward an exchange.
    void report_circuits(int number) {
        ExchangeReport r;
        r.exchange = machine(number);
        if (!listed_ids_.count(r.exchange)) return;
        r.load.group_size = 20;
        r.load.free_circuits = random_below(21);
        send(r);
    }

    // The id of the present machine with an exchange number.
    ExchangeId machine(int number) const {
        return "x" + std::to_string(number) + "." +
               std::to_string(replacements_.count(number) ? replacements_.at(number) : 0);
    }

    // Sends a random list of this kind.
    void send_list(ListKind kind) {
        ExchangeList l;
        l.kind = kind;
        const auto entry = [&](int number) {
            ExchangeEntry e;
            e.exchange = machine(number);
            e.number = number;
            e.state = kind == ListKind::cached ? ExchangeState::ready
                                               : static_cast<ExchangeState>(std::max(0, random_below(6) - 3));
            e.started = start_times_[number];
            return e;
        };
        if (kind == ListKind::changes) {
            const int number = 1 + random_below(exchange_count_);
            ExchangeEntry e = entry(number);
            if (with_chance(0.3))
                start_times_[number] = e.started = now_ - Duration(1000 * random_below(2000));
            l.entries.push_back(e);
            if (with_chance(0.2)) {  // a new machine replaces it
                ++replacements_[number];
                start_times_[number] = now_;
                l.entries.push_back(entry(number));
            }
        } else {
            for (int number = 0; number <= exchange_count_; ++number)
                if (kind == ListKind::cached || number == 0 || with_chance(0.85))
                    l.entries.push_back(entry(number));
            std::set<ExchangeId> present;
            for (const auto& e : l.entries) present.insert(e.exchange);
            for (const auto& id : listed_ids_)
                if (!present.count(id)) left_at_.emplace(id, now_);
        }
        for (const auto& e : l.entries) {
            listed_ids_.insert(e.exchange);
            number_of_[e.exchange] = e.number;
            if (e.state == ExchangeState::ready) {
                left_at_.erase(e.exchange);
            } else {
                left_at_.emplace(e.exchange, now_);
            }
        }
        send(l);
    }

    void send_expired_timers() {
        while (!timers_.empty() && timers_.begin()->first <= now_) {
            const TimerExpired timer{timers_.begin()->second};
            timers_.erase(timers_.begin());
            send(timer);
        }
    }

    // Sends the outcomes that are due: a pending attempt is answered or ends, an answered call ends.
    void send_outcomes() {
        while (!pending_outcomes_.empty() && pending_outcomes_.begin()->first <= now_) {
            const PendingOutcome outcome = pending_outcomes_.begin()->second;
            pending_outcomes_.erase(pending_outcomes_.begin());
            KnownCall& known = calls_[outcome.call];
            if (outcome.standing) {
                AttemptEnded e{
                    .call = outcome.call, .attempt = outcome.attempt, .exchange = outcome.exchange};
                e.final = true;
                e.outcome = with_chance(0.2) ? Outcome::reset : Outcome::ended;
                known.standing = false;
                known.done = true;
                send(e);
            } else if (!known.abandoned && with_chance(0.5)) {
                known.pending = false;
                known.standing = true;
                pending_outcomes_.emplace(
                    now_ + Duration(1000 * random_below(8000)),
                    PendingOutcome{outcome.call, outcome.attempt, outcome.exchange, true});
                send(CallAnswered{outcome.call, outcome.attempt, outcome.exchange, 30ms});
            } else {
                AttemptEnded e{
                    .call = outcome.call, .attempt = outcome.attempt, .exchange = outcome.exchange};
                e.outcome = static_cast<Outcome>(1 + random_below(7));
                e.cause = static_cast<Cause>(random_below(6));
                e.final = known.abandoned;
                known.pending = false;
                if (e.outcome == Outcome::timed_out || e.outcome == Outcome::reset ||
                    e.outcome == Outcome::cancelled) {
                    known.not_before = now_ + settings_.release_wait;
                    known.never_ran = false;
                }
                if (e.outcome == Outcome::failed) known.never_ran = false;
                send(e);
            }
        }
    }

    // Lets callers leave, and checks that all calls are answered in time.
    void check_deadlines() {
        while (!abandon_times_.empty() && abandon_times_.begin()->first <= now_) {
            KnownCall& known = calls_[abandon_times_.begin()->second];
            const CallId id = abandon_times_.begin()->second;
            abandon_times_.erase(abandon_times_.begin());
            if (known.done || known.standing) continue;
            known.done = known.abandoned = true;
            send(CallAbandoned{id});
        }
        for (auto id = unanswered_.begin(); id != unanswered_.end();) {
            const KnownCall& known = calls_[*id];
            if (known.done || known.standing) {
                id = unanswered_.erase(id);
                continue;
            }
            ASSERT_LE(now_, known.answer_by) << *id << " had no answer in time";
            ++id;
        }
    }

    void check(const SetUp& a) {
        KnownCall& known = calls_[a.call];
        ASSERT_TRUE(number_of_.count(a.exchange)) << "an exchange that no list named";
        EXPECT_FALSE(known.done) << a.call << " was sent after its end";
        EXPECT_FALSE(known.pending || known.standing) << a.call << " has two pending attempts";
        EXPECT_GE(now_, known.not_before) << a.call << " was sent before the release";
        EXPECT_LE(++known.attempts, settings_.max_attempts);
        EXPECT_NE(number_of_[a.exchange], settings_.own_exchange);
        EXPECT_GT(a.time_out, Duration::zero());
        EXPECT_TRUE(!known.transit || number_of_[a.exchange] == known.destination);
        EXPECT_TRUE(!left_at_.count(a.exchange) || now_ - left_at_[a.exchange] <= settings_.drain_grace);
        const bool safe =
            settings_.classes[static_cast<std::size_t>(known.service_class)].repeat == RepeatPolicy::safe;
        EXPECT_TRUE(safe || known.never_ran);
        known.pending = true;
        const Duration response_time(1000 * random_below(with_chance(0.1) ? 5000 : 200));
        pending_outcomes_.emplace(now_ + std::min(response_time, a.time_out),
                                  PendingOutcome{a.call, known.attempts - 1, a.exchange, false});
        log_.push_back(std::to_string(now_.count()) + " set up " + a.call + " " + a.exchange);
    }
    void check(const Refuse& a) { check_final_answer(a.call, "refuse"); }
    void check(const Fail& a) { check_final_answer(a.call, "fail"); }
    void check(const SetTimer& a) {
        EXPECT_GE(a.delay, Duration::zero());
        timers_.emplace(now_ + std::max(a.delay, Duration(1)), a.token);
    }
    void check(const Probe&) { EXPECT_TRUE(settings_.may_probe); }
    void check(const SendPeerMessage& a) {
        EXPECT_TRUE(settings_.may_message_peers);
        EXPECT_LE(a.bytes.size(), 256u);
    }
    void check(const Cancel&) { EXPECT_TRUE(settings_.may_cancel); }
    void check(const SubscribeList&) {}
    void check(const RequestList&) {}
    void check(const CloseIdleConnection&) {}
    void check(const Note&) {}

    void check_final_answer(const CallId& id, const char* how) {
        KnownCall& known = calls_[id];
        EXPECT_FALSE(known.done || known.standing) << id << " has two final answers";
        EXPECT_FALSE(known.pending) << id << " was ended with a pending attempt";
        known.done = true;
        log_.push_back(std::to_string(now_.count()) + " " + how + " " + id);
    }

    Settings settings_;
    std::mt19937_64 random_;
    CallControl control_;
    Instant now_{100s};
    int exchange_count_ = 4, offered_count_ = 0;
    std::map<CallId, KnownCall> calls_;
    std::set<CallId> unanswered_;
    std::multimap<Instant, PendingOutcome> pending_outcomes_;
    std::multimap<Instant, std::int64_t> timers_;   // tokens, by when they expire
    std::multimap<Instant, CallId> abandon_times_;  // when callers leave
    std::map<int, int> replacements_;               // by exchange number: how often its machine was replaced
    std::map<int, Instant> start_times_;            // by exchange number
    std::set<ExchangeId> listed_ids_;               // all that a list has named
    std::map<ExchangeId, int> number_of_;
    std::map<ExchangeId, Instant> left_at_;  // since when an exchange is draining, gone or not listed
    std::vector<std::string> log_;
};

// Each bit of `variant` changes some settings. 1: pools. 2: a class whose attempts must not be repeated,
// tenants, no overload rule. 4: pauses, peer messages, cancels and probes allowed, two attempts at most, more
// classes, a list that must be requested.
Settings varied_settings(int variant) {
    Settings settings = mesh_settings();
    if (variant & 1) {
        settings.uses_pools = true;
        settings.own_exchange = kNoExchange;
        settings.classes[0].pools = {1, 2, 3};
    }
    if (variant & 2) {
        settings.classes[1].repeat = RepeatPolicy::never;
        settings.overload_span = Duration::zero();
        settings.tenants = {{"a", 3.0, 0.5}, {"b", 0.0, 0.5}};
        settings.over_share_worth = 0.1;
    }
    if (variant & 4) {
        settings.may_advise_pause = settings.may_message_peers = settings.may_cancel = settings.may_probe =
            true;
        settings.list_on_request = true;
        settings.max_attempts = 2;
        for (int i = 0; i < 6; ++i) settings.classes.push_back(settings.classes[0]);
    }
    return settings;
}

class Rules : public testing::TestWithParam<int> {};

TEST_P(Rules, HoldAndEqualEventsGiveEqualActions) {
    const auto seed = static_cast<std::uint64_t>(GetParam());
    const Settings settings = varied_settings(GetParam());
    const auto once = World(settings, seed).run(4000);
    EXPECT_FALSE(once.empty());
    EXPECT_EQ(once, World(settings, seed).run(4000));
}
INSTANTIATE_TEST_SUITE_P(Seeds, Rules, testing::Range(0, 24));

}  // namespace
}  // namespace nettlestall::test
