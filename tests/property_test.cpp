// Random but legal events under varied settings: the rules hold, and equal events give equal actions.
#include <map>
#include <random>
#include <set>

#include "call_control_driver.hpp"

namespace nettlestall::test {
namespace {

// A small world of our own: it answers what the call control does with seeded chance, and checks the rules.
class World {
   public:
    World(Settings settings, std::uint64_t seed) : s(std::move(settings)), dice(seed), control(s, seed) {}

    std::vector<std::string> run(int steps) {
        list(ListKind::cached);
        for (int step = 0; step < steps; ++step) {
            now += 5ms;
            timers_due();
            outcomes_due();
            overdue();
            if (roll(0.5)) offer();
            if (roll(0.3)) circuits(1 + pick(others));
            if (roll(0.01)) list(roll(0.3) ? ListKind::complete : ListKind::changes);
            if (roll(0.002)) give(PeerMessage{1, {1, 2, 3}});
            if (roll(0.002)) give(TimerExpired{99});
        }
        for (int step = 0; step < 2500; ++step) {  // no more calls: all must end
            now += 5ms;
            timers_due();
            outcomes_due();
            overdue();
        }
        for (const auto& [id, c] : calls)
            EXPECT_TRUE(c.done || c.standing) << id << " was left without an answer";
        return log;
    }

   private:
    struct Known {
        Instant answer_by{}, not_before{};
        bool out = false, done = false, standing = false, gone = false, transit = false;
        int destination = 0, attempts = 0, service_class = 0;
        bool proven = true;
    };
    struct Due {
        CallId call;
        int attempt;
        ExchangeId exchange;
        bool standing;
    };

    bool roll(double chance) { return std::uniform_real_distribution<>(0, 1)(dice) < chance; }
    int pick(int n) { return std::uniform_int_distribution<>(0, n - 1)(dice); }

    template <class E>
    void give(const E& event) {
        std::vector<Action> actions;
        control.handle(now, event, actions);
        for (const Action& a : actions) std::visit([this](const auto& x) { did(x); }, a);
    }

    void offer() {
        CallOffered c;
        c.call = "call" + std::to_string(++made);
        c.destination = 1 + pick(others);
        c.service_class = pick(static_cast<int>(s.classes.size()));
        c.width = 1 + pick(3);
        c.time_left = Duration(1000 * (1 + pick(roll(0.1) ? 60 : 4000)));
        c.transit = !s.uses_pools && roll(0.2);
        if (c.transit) c.previous_exchange = 1 + pick(others);
        c.called_number = "n" + std::to_string(pick(20));
        c.is_reconnect = roll(0.05);
        c.advised_exchange = roll(0.2) ? pick(others + 1) : kNoExchange;
        if (!s.tenants.empty()) c.tenant = pick(static_cast<int>(s.tenants.size()));
        open.insert(c.call);
        Known& k = calls[c.call];
        k.answer_by = now + c.time_left + s.answer_grace;
        k.transit = c.transit;
        k.destination = c.destination;
        k.service_class = c.service_class;
        if (roll(0.05)) leaving.emplace(now + Duration(1000 * pick(3000)), c.call);
        give(c);
    }

    void circuits(int number) {
        ExchangeReport r;
        r.exchange = machine(number);
        if (!listed.count(r.exchange)) return;
        r.load.group_size = 20;
        r.load.free_circuits = pick(21);
        give(r);
    }

    ExchangeId machine(int number) const {
        return "x" + std::to_string(number) + "." +
               std::to_string(replaced.count(number) ? replaced.at(number) : 0);
    }

    void list(ListKind kind) {
        ExchangeList l;
        l.kind = kind;
        const auto entry = [&](int number) {
            ExchangeEntry e;
            e.exchange = machine(number);
            e.number = number;
            e.state = kind == ListKind::cached ? ExchangeState::ready
                                               : static_cast<ExchangeState>(std::max(0, pick(6) - 3));
            e.started = started[number];
            return e;
        };
        if (kind == ListKind::changes) {
            const int number = 1 + pick(others);
            ExchangeEntry e = entry(number);
            if (roll(0.3)) started[number] = e.started = now - Duration(1000 * pick(2000));
            l.entries.push_back(e);
            if (roll(0.2)) {  // a new machine takes its place
                ++replaced[number];
                started[number] = now;
                l.entries.push_back(entry(number));
            }
        } else {
            for (int number = 0; number <= others; ++number)
                if (kind == ListKind::cached || number == 0 || roll(0.85)) l.entries.push_back(entry(number));
            std::set<ExchangeId> present;
            for (const auto& e : l.entries) present.insert(e.exchange);
            for (const auto& id : listed)
                if (!present.count(id)) left.emplace(id, now);
        }
        for (const auto& e : l.entries) {
            listed.insert(e.exchange);
            number_of[e.exchange] = e.number;
            if (e.state == ExchangeState::ready) {
                left.erase(e.exchange);
            } else {
                left.emplace(e.exchange, now);
            }
        }
        give(l);
    }

    void timers_due() {
        while (!timers.empty() && timers.begin()->first <= now) {
            const TimerExpired timer{timers.begin()->second};
            timers.erase(timers.begin());
            give(timer);
        }
    }

    void outcomes_due() {
        while (!due.empty() && due.begin()->first <= now) {
            const Due d = due.begin()->second;
            due.erase(due.begin());
            Known& k = calls[d.call];
            if (d.standing) {
                AttemptEnded e{.call = d.call, .attempt = d.attempt, .exchange = d.exchange};
                e.final = true;
                e.outcome = roll(0.2) ? Outcome::reset : Outcome::ended;
                k.standing = false;
                k.done = true;
                give(e);
            } else if (!k.gone && roll(0.5)) {
                k.out = false;
                k.standing = true;
                due.emplace(now + Duration(1000 * pick(8000)), Due{d.call, d.attempt, d.exchange, true});
                give(CallAnswered{d.call, d.attempt, d.exchange, 30ms});
            } else {
                AttemptEnded e{.call = d.call, .attempt = d.attempt, .exchange = d.exchange};
                e.outcome = static_cast<Outcome>(1 + pick(7));
                e.cause = static_cast<Cause>(pick(6));
                e.final = k.gone;
                k.out = false;
                if (e.outcome == Outcome::timed_out || e.outcome == Outcome::reset ||
                    e.outcome == Outcome::cancelled) {
                    k.not_before = now + s.release_wait;
                    k.proven = false;
                }
                if (e.outcome == Outcome::failed) k.proven = false;
                give(e);
            }
        }
    }

    void overdue() {
        while (!leaving.empty() && leaving.begin()->first <= now) {
            Known& k = calls[leaving.begin()->second];
            const CallId id = leaving.begin()->second;
            leaving.erase(leaving.begin());
            if (k.done || k.standing) continue;
            k.done = k.gone = true;
            give(CallAbandoned{id});
        }
        for (auto id = open.begin(); id != open.end();) {
            const Known& k = calls[*id];
            if (k.done || k.standing) {
                id = open.erase(id);
                continue;
            }
            ASSERT_LE(now, k.answer_by) << *id << " had no answer in time";
            ++id;
        }
    }

    void did(const SetUp& a) {
        Known& k = calls[a.call];
        ASSERT_TRUE(number_of.count(a.exchange)) << "an exchange that no list named";
        EXPECT_FALSE(k.done) << a.call << " was sent after its end";
        EXPECT_FALSE(k.out || k.standing) << a.call << " has two attempts out";
        EXPECT_GE(now, k.not_before) << a.call << " did not await the release";
        EXPECT_LE(++k.attempts, s.max_attempts);
        EXPECT_NE(number_of[a.exchange], s.own_exchange);
        EXPECT_GT(a.time_out, Duration::zero());
        EXPECT_TRUE(!k.transit || number_of[a.exchange] == k.destination);
        EXPECT_TRUE(!left.count(a.exchange) || now - left[a.exchange] <= s.drain_grace);
        const bool safe = s.classes[static_cast<std::size_t>(k.service_class)].repeat == RepeatPolicy::safe;
        EXPECT_TRUE(safe || k.proven);
        k.out = true;
        const Duration lag(1000 * pick(roll(0.1) ? 5000 : 200));
        due.emplace(now + std::min(lag, a.time_out), Due{a.call, k.attempts - 1, a.exchange, false});
        log.push_back(std::to_string(now.count()) + " set up " + a.call + " " + a.exchange);
    }
    void did(const Refuse& a) { end(a.call, "refuse"); }
    void did(const Fail& a) { end(a.call, "fail"); }
    void did(const SetTimer& a) {
        EXPECT_GE(a.delay, Duration::zero());
        timers.emplace(now + std::max(a.delay, Duration(1)), a.token);
    }
    void did(const Probe&) { EXPECT_TRUE(s.may_probe); }
    void did(const SendPeerMessage& a) {
        EXPECT_TRUE(s.may_message_peers);
        EXPECT_LE(a.bytes.size(), 256u);
    }
    void did(const Cancel&) { EXPECT_TRUE(s.may_cancel); }
    void did(const SubscribeList&) {}
    void did(const RequestList&) {}
    void did(const CloseIdleConnection&) {}
    void did(const Note&) {}

    void end(const CallId& id, const char* how) {
        Known& k = calls[id];
        EXPECT_FALSE(k.done || k.standing) << id << " has two final answers";
        EXPECT_FALSE(k.out) << id << " was ended with an attempt out";
        k.done = true;
        log.push_back(std::to_string(now.count()) + " " + how + " " + id);
    }

    Settings s;
    std::mt19937_64 dice;
    CallControl control;
    Instant now{100s};
    int others = 4, made = 0;
    std::map<CallId, Known> calls;
    std::set<CallId> open;
    std::multimap<Instant, Due> due;
    std::multimap<Instant, std::int64_t> timers;
    std::multimap<Instant, CallId> leaving;
    std::map<int, int> replaced;
    std::map<int, Instant> started;
    std::set<ExchangeId> listed;
    std::map<ExchangeId, int> number_of;
    std::map<ExchangeId, Instant> left;
    std::vector<std::string> log;
};

Settings varied(int variant) {
    Settings s = mesh();
    if (variant & 1) {
        s.uses_pools = true;
        s.own_exchange = kNoExchange;
        s.classes[0].pools = {1, 2, 3};
    }
    if (variant & 2) {
        s.classes[1].repeat = RepeatPolicy::never;
        s.overload_span = Duration::zero();
        s.tenants = {{"a", 3.0, 0.5}, {"b", 0.0, 0.5}};
        s.over_share_worth = 0.1;
    }
    if (variant & 4) {
        s.may_advise_pause = s.may_message_peers = s.may_cancel = s.may_probe = true;
        s.list_on_request = true;
        s.max_attempts = 2;
        for (int i = 0; i < 6; ++i) s.classes.push_back(s.classes[0]);
    }
    return s;
}

class Rules : public testing::TestWithParam<int> {};

TEST_P(Rules, HoldAndEqualEventsGiveEqualActions) {
    const auto seed = static_cast<std::uint64_t>(GetParam());
    const Settings settings = varied(GetParam());
    const auto once = World(settings, seed).run(4000);
    EXPECT_FALSE(once.empty());
    EXPECT_EQ(once, World(settings, seed).run(4000));
}
INSTANTIATE_TEST_SUITE_P(Seeds, Rules, testing::Range(0, 24));

}  // namespace
}  // namespace nettlestall::test
