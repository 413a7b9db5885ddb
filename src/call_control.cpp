// Every decision of nettlestall. Its types, events and actions: include/nettlestall/call_control.hpp.
//
// A call's life: it is offered, the learned tables of its direct group admit or refuse it, it goes direct if
// there is room, else over the tandem with the most free first-leg circuits above a reserve, else it waits
// while what it lacks can still come by its aim, else it is refused at once. What a processor can take is
// judged by how it answers.

#include "nettlestall/call_control.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace nettlestall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ==== Tunables: unit, and why ======================================================================

// Learned admission. A day is short and an instance starts empty, so cells are coarse.
constexpr int kBusyLevels = 4;            // levels of busy circuits; the last: too few free for one more call
constexpr int kCountLevels = 3;           // levels of a class's own calls: none, up to its usual, more
constexpr double kLearningRate = 0.2;     // share of each error learned; a group sees a few arrivals a second
constexpr double kDiscount = 0.6;         // per arrival; a longer view drowns in the noise of sparse cells
constexpr double kExploration = 0.02;     // share of refusals of fitting calls turned into accepts
constexpr double kMultiplierStep = 0.03;  // of (mean worth / mean group size), for a blocked share of 1
constexpr double kBlockedAim = 0.02;      // share of calls refused for want of any route that costs nothing
constexpr Duration kMultiplierSpan = seconds(2);

// Routes.
constexpr double kReserveShare = 0.08;  // of a group's circuits, kept from transit and tandem calls
constexpr double kLateShare = 0.5;      // of a group's circuits, kept from calls that can only stand late
constexpr double kScarceShare = 0.5;  // of a group's circuits, kept too if every tandem call were turned back
constexpr double kBackWeight = 0.05;  // of the newest tandem call in the share of those turned back
constexpr Duration kTurnedBackGap = seconds(2);  // a tandem that turned a call back is not asked for that way
constexpr Duration kLongestTurnedBackGap = seconds(8);  // doubling, until a call stands over it

// Exchange health: set-ups out to one processor at a time, opened by prompt answers, closed by late ones.
constexpr double kWindowStart = 3.0;   // set-ups out
constexpr double kWindowMost = 12.0;   // set-ups out; more would only wait in its line
constexpr double kWindowCut = 0.6;     // kept of the window after a sign of pressure
constexpr double kCalmShare = 0.12;    // of the shortest aim: excess lag under which a processor is calm
constexpr double kPressedShare = 0.3;  // of the shortest aim: excess lag over which it is pressed
constexpr double kBaseCreep =
    0.001;                        // of an answer's excess, so that a longer path, not ageing, is got used to
constexpr double kOwnStep = 0.2;  // of the shortest aim: how far one answer moves the middle excess lag
constexpr double kLagWeight = 0.25;                // of the newest lag in the running mean
constexpr double kLagStep = 0.4;                   // of the shortest aim: how far one answer moves that mean
constexpr double kLagFade = 0.5;                   // of the excess lag kept over a second without an answer
constexpr Duration kTrialGap = milliseconds(500);  // until a silent processor is tried again, doubling
constexpr Duration kLongestTrialGap = seconds(2);
constexpr double kSparsest = 3.0;  // both gaps are at most this many times as long where calls are sparse

// Cold budget.
constexpr double kColdMargin = 0.8;  // of the budget used; the estimate of the capacity is a guess
constexpr double kBothEnds = 2.0;    // a call is work at both its ends, so a peer bears twice what it is sent
constexpr double kRateWeight = 0.1;  // of the newest second in the usual rate of set-ups
constexpr double kUnknownRate = 1.0;  // set-ups a second of all senders, until a usual rate is known
constexpr double kCreditSpans =
    1.0;  // of the rule's span: unused credit kept, so that idle senders can't join

// Busy numbers.
constexpr std::size_t kNumbersKept = 256;    // numbers remembered at most
constexpr Duration kNumberGap = seconds(1);  // until a number found busy is tried again, doubling
constexpr Duration kLongestNumberGap = seconds(4);

// Redials.
constexpr std::size_t kRedialsKept = 4096;  // refused calls remembered at most, until their deadline

constexpr Duration kForgetRefusal =
    seconds(10);  // after a gap has run out, until the next starts small again
constexpr Duration kAnswerMargin = milliseconds(10);  // before a try's end, on top of the host's step
constexpr Duration kTick = milliseconds(50);          // waiting calls are looked at this often at least

double in_seconds(Duration time) {
    return static_cast<double>(time.count()) / 1e6;
}
Duration from_seconds(double s) {
    return Duration(static_cast<Duration::rep>(s * 1e6));
}

struct Random {  // splitmix64: small, seeded, the same everywhere
    std::uint64_t state;
    double next() {
        std::uint64_t z = (state += 0x9E3779B97F4A7C15u);
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9u;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBu;
        return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
    }
};

// ==== Learned admission ============================================================================

// One table per class for one trunk group; all learn from every call that asks for the group.
class Admission {
   public:
    explicit Admission(std::size_t classes) : tables_(classes) {
        for (Table& table : tables_) table.resize(classes * kBusyLevels * kCountLevels);
    }

    struct Arrival {
        int service_class;
        int busy, size;
        bool fits;
        double payoff;                   // if accepted: worth less the price of the busy circuits
        const std::vector<int>* counts;  // own calls on the group, by class
    };

    // Whether the sum over the tables takes the call. A tie accepts.
    bool accepts(const Arrival& arrival) const {
        return total(cells(arrival), 1) >= total(cells(arrival), 0);
    }

    // Learns what the last decision led to. The bootstrap is on one joint action for all tables: the better
    // sum, and accept only where the call fits.
    void learn(const Arrival& arrival) {
        const std::vector<std::size_t> now = cells(arrival);
        const std::size_t best = arrival.fits && total(now, 1) >= total(now, 0) ? 1 : 0;
        for (std::size_t k = 0; last_ && k < tables_.size(); ++k) {
            const double paid = static_cast<int>(k) == last_->service_class ? last_->payoff : 0.0;
            double& cell = tables_[k][last_->cells[k]][last_->action];
            cell += kLearningRate * (paid + kDiscount * tables_[k][now[k]][best] - cell);
        }
    }

    void decided(const Arrival& arrival, bool accepted) {
        last_ =
            Last{cells(arrival), arrival.service_class, accepted ? 1u : 0u, accepted ? arrival.payoff : 0.0};
    }

   private:
    using Table = std::vector<std::array<double, 2>>;
    struct Last {
        std::vector<std::size_t> cells;
        int service_class;
        std::size_t action;
        double payoff;
    };

    std::vector<std::size_t> cells(const Arrival& a) const {
        const int level = a.fits ? std::min(kBusyLevels - 2, a.busy * (kBusyLevels - 1) / std::max(1, a.size))
                                 : kBusyLevels - 1;
        std::vector<std::size_t> at(tables_.size());
        for (std::size_t k = 0; k < at.size(); ++k) {
            const int count = (*a.counts)[k];
            const int usual = std::max(1, a.size / static_cast<int>(2 * tables_.size()));
            const int many = count == 0 ? 0 : count <= usual ? 1 : kCountLevels - 1;
            at[k] = static_cast<std::size_t>((a.service_class * kBusyLevels + level) * kCountLevels + many);
        }
        return at;
    }

    double total(const std::vector<std::size_t>& at, std::size_t action) const {
        double sum = 0;
        for (std::size_t k = 0; k < tables_.size(); ++k) sum += tables_[k][at[k]][action];
        return sum;
    }

    std::vector<Table> tables_;
    std::optional<Last> last_;
};

// ==== Exchange health ==============================================================================

// Something that said no: it is asked again after a gap that doubles with each further no.
struct BackOff {
    Instant until{};
    Duration gap{};
    void no(Instant now, Duration first, Duration longest) {
        gap = gap == Duration::zero() ? first : std::min(longest, gap * 2);
        until = now + gap;
    }
    bool active() const { return gap > Duration::zero(); }
};

// Set-ups out at a time: opened by prompt answers, closed by late ones.
struct Window {
    int out = 0;  // set-ups without an answer
    double size, most;
    Instant last_cut{};

    bool open() const { return out < static_cast<int>(size); }
    void widen() { size = std::min(most, size + 1.0 / size); }
    // One cut for each batch of set-ups: those sent before the last cut tell nothing new.
    void cut(Instant now, Instant sent) {
        if (sent < last_cut) return;
        size = std::max(1.0, size * kWindowCut);
        last_cut = now;
    }
};

struct Exchange {  // one machine
    ExchangeId id;
    int number = kNoExchange;
    ExchangeState state = ExchangeState::ready;
    Instant started{};
    bool never_tandem = false;

    Window window{0, kWindowStart, kWindowMost};
    double lag = 0, base = -1;  // seconds: running mean, and the least seen
    BackOff silent;             // since its last answer
    double credit = 0;          // while it is cold: set-ups that may be sent now
    Instant credited{};         // up to then
    int answered = 0;           // in the second that runs

    double excess() const { return base < 0 ? 0.0 : std::max(0.0, lag - base); }
};

struct Group {  // the circuits between here and one exchange, or the agents of one pool
    explicit Group(std::size_t classes) : admission(classes), own(classes, 0) {}
    bool known = false;
    int free = 0, size = 0;
    Admission admission;
    std::vector<int> own;  // calls of this call control on it, by class
    double base = -1;      // seconds: the least lag of its machines, so that a new one is judged by it
    int stood_over = kNoExchange;    // the tandem over which a call last stood there
    Exchange* in_service = nullptr;  // the machine at the far end, if one is ready
    bool has(int width) const { return known && free >= width; }
    // A call needs its width, and a circuit free above those kept from its sort; it may then take of these.
    // Guards against wide calls being shut out of small groups: width on top of a reserve of at least one is
    // more than the whole group there. Should hold at any size, and after lost circuits. Could harm where
    // wide calls are many and worth little: each may leave a group without its reserve.
    bool has_above(int kept, int width) const { return has(std::max(width, kept + 1)); }
};

// ==== A call's life ================================================================================

enum class Phase { waiting, out, standing };

struct Call {
    CallId id;
    Phase phase = Phase::waiting;
    int service_class = 0, destination = kNoExchange, width = 1, advised = kNoExchange;
    bool transit = false, may_have_run = false, tandem_tried = false, held_for_number = false;
    bool faulted = false;  // an attempt was answered with a fault
    bool look = false;     // at it in any case: it has just begun to wait
    bool overdue = false;  // the attempt that is out has had no answer for the shortest aim
    double value = 1.0;    // worth if it stands in time
    Instant first_offered{}, aim_ends{}, answer_by{}, not_before{};
    std::string number;
    int attempts = 0;
    ExchangeId at;            // where the attempt that is out, or the standing call, went
    int group = kNoExchange;  // the own group that it holds circuits on
    Instant sent{};
    std::uint64_t order = 0;
};

}  // namespace

class CallControl::Impl {
   public:
    Impl(Settings settings, std::uint64_t seed) : random_{seed} { take(std::move(settings)); }

    // The tables and the calls in hand name classes by their place.
    bool can_take(const Settings& fresh) const {
        return fresh.own_exchange == s_.own_exchange && fresh.uses_pools == s_.uses_pools &&
               std::equal(fresh.classes.begin(), fresh.classes.end(), s_.classes.begin(), s_.classes.end(),
                          [](const auto& a, const auto& b) { return a.name == b.name; });
    }

    std::size_t entries() const {
        return exchanges_.size() + calls_.size() + lost_.size() + waiting_.size() + out_.size() +
               numbers_.size() + refused_.size() + turned_back_.size();
    }

    std::size_t avoided() const {
        return static_cast<std::size_t>(
            std::count_if(exchanges_.begin(), exchanges_.end(), [](const auto& at) {
                const Exchange& x = at.second;
                return x.state == ExchangeState::draining ||
                       (x.state == ExchangeState::ready && x.silent.active());
            }));
    }

    void take(Settings settings) {
        s_ = std::move(settings);
        shortest_aim_ = s_.classes.empty() ? 1.0 : 1e9;
        longest_deadline_ = {}, mean_worth_ = mean_hold_ = 0.0;
        for (const ClassSettings& c : s_.classes) {
            shortest_aim_ = std::min(shortest_aim_, in_seconds(c.aim));
            longest_deadline_ = std::max(longest_deadline_, c.deadline);
            mean_worth_ += c.worth / static_cast<double>(s_.classes.size());
            mean_hold_ += in_seconds(c.holding_time) / static_cast<double>(s_.classes.size());
        }
    }

    void handle(Instant now, const Event& event, std::vector<Action>& actions) {
        now_ = now;
        actions_ = &actions;
        changed_ = kNoExchange;
        pass_time();
        find_overdue();
        std::visit([this](const auto& e) { on(e); }, event);
        serve_waiting();
        arm_timer();
    }

   private:
    // ---- Route ------------------------------------------------------------------------------------

    Group& group(int number) { return groups_.try_emplace(number, s_.classes.size()).first->second; }

    // The machine in service at an exchange, if any.
    Exchange* in_service(int number) const {
        const auto at = groups_.find(number);
        return at == groups_.end() ? nullptr : at->second.in_service;
    }

    // After news of the list: of several ready machines with one number the one that started last serves.
    void find_in_service() {
        for (auto& [number, g] : groups_) g.in_service = nullptr;
        for (auto& [id, x] : exchanges_) {
            if (x.state != ExchangeState::ready) continue;
            Group& g = group(x.number);
            if (!g.in_service || x.started > g.in_service->started) g.in_service = &x;
        }
    }

    int reserve(const Group& g) const {
        return std::max(1, static_cast<int>(std::lround(kReserveShare * g.size)));
    }

    int late_reserve(const Group& g) const {
        return std::max(1, static_cast<int>(std::lround(kLateShare * g.size)));
    }

    // Guards against tandem calls where circuits are short all over: each holds a first leg and three
    // processors, only to be turned back. More of a leg is kept from them as more of them are turned back.
    // Should also hold where far processors are full. May harm where a few destinations turn all calls back
    // and the others none; a half empty leg is always tried, so that the share can fall again.
    int scarce(const Group& g) const { return static_cast<int>(std::lround(kScarceShare * back_ * g.size)); }

    bool skilled(const Call& call, int pool) const {
        if (!s_.uses_pools) return true;
        const std::vector<int>& pools = s_.classes[static_cast<std::size_t>(call.service_class)].pools;
        return pools.empty() || std::find(pools.begin(), pools.end(), pool) != pools.end();
    }

    // Whether a set-up sent now would come after the aim, as the destination's set-ups take at present.
    bool late(const Call& call) const {
        const Exchange* x = in_service(call.destination);
        const double lag = x ? x->lag : 0.0;
        return now_ + from_seconds(lag) > call.aim_ends;
    }

    // Sends the call on if there is a way now; `behind`: another waits for the direct group's circuits.
    bool route(Call& call, bool behind = false) {
        if (call.attempts >= s_.max_attempts || now_ < call.not_before || now_ >= call.answer_by)
            return false;
        if (!call.transit && !own_window_.open()) return false;
        Exchange* direct = in_service(call.destination);
        if (!direct && !s_.uses_pools) return false;
        Group& own = group(call.destination);
        // Guards against a processor that answers most set-ups with a fault: a call spent all its attempts
        // there within a quarter of a second. After the first fault the tandem is tried, if it can be. May
        // harm where the call itself is at fault: it crosses three processors.
        const bool round = call.faulted && !call.transit && !call.tandem_tried && !s_.uses_pools && direct &&
                           !late(call) && may_send(*direct) && !pressed(*direct) && freest_tandem(call);
        const int kept = late(call) ? late_reserve(own) : call.transit ? reserve(own) : 0;
        if (!round && direct && skilled(call, call.destination) && !behind &&
            own.has_above(kept, call.width)) {
            if (!may_send(*direct) || (late(call) && pressed(*direct))) return false;
            send(call, *direct);
            return true;
        }
        if (call.transit || call.tandem_tried || late(call)) return false;
        if (direct && !s_.uses_pools && (!may_send(*direct) || pressed(*direct))) return false;
        Exchange* tandem = freest_tandem(call);
        if (!tandem) return false;
        call.tandem_tried = true;
        if (!s_.uses_pools) note_cold_send(*direct);
        send(call, *tandem);
        return true;
    }

    // The tandem whose first leg has the most free circuits above the reserve; the advised one in a tie. A
    // pair without a group keeps to the tandem over which its last call stood: guards against full second
    // legs, which the freest first leg often leads to; should also hold where far processors are full. May
    // harm where second legs fill faster than calls stand: then the turned-back gap sends it on.
    Exchange* freest_tandem(const Call& call) {
        Exchange* best = nullptr;
        std::tuple<bool, int, bool> most{false, -1, false};
        const Group& own = group(call.destination);
        for (auto& [number, g] : groups_) {
            if (number == call.destination || number == s_.own_exchange) continue;
            const int kept = reserve(g) + (own.size > 0 ? scarce(g) : 0);
            if (!skilled(call, number) || !g.has_above(kept, call.width)) continue;
            const std::tuple<bool, int, bool> room{own.size == 0 && number == own.stood_over, g.free,
                                                   number == call.advised};
            if (room <= most) continue;
            const auto back = turned_back_.find({number, call.destination});
            if (back != turned_back_.end() && now_ < back->second.until) continue;
            if (!g.in_service || g.in_service->never_tandem || !may_send(*g.in_service) ||
                pressed(*g.in_service))
                continue;
            best = g.in_service;
            most = room;
        }
        return best;
    }

    // Where a waiting set-up is sent again and again, one that can only stand late is given up: guards
    // against slow processors that spend their time on repeats for calls that are late already. Should hold
    // in a stampede, and where far ends hang. May harm where late calls are worth much: they get none of it.
    Instant give_up_at(const Call& call) const {
        if (s_.set_up_repeat_interval <= Duration::zero() || late(call)) return call.answer_by;
        return std::min(call.answer_by, call.aim_ends);
    }

    void send(Call& call, Exchange& x) {
        Group& g = group(x.number);
        g.free -= call.width;
        ++g.own[static_cast<std::size_t>(call.service_class)];
        ++x.window.out;
        ++own_window_.out;
        note_cold_send(x);
        call.phase = Phase::out;
        call.at = x.id;
        call.group = x.number;
        call.sent = now_;
        call.overdue = false;
        out_.push_back({now_, call.id});
        ++call.attempts;
        waiting_.erase(key(call));
        actions_->push_back(SetUp{call.id, x.id, give_up_at(call) - now_});
    }

    // ---- Exchange health ----------------------------------------------------------------------------

    bool pressed(const Exchange& x) const {
        return x.silent.active() || x.excess() > kCalmShare * shortest_aim_;
    }

    bool may_send(Exchange& x) { return x.window.open() && opens(x) <= now_; }

    // The first moment at which a processor may be sent a set-up, as far as it is known; its window can open
    // at any time.
    Instant opens(Exchange& x) {
        if (now_ < x.silent.until) return x.silent.until;
        const double missing = cold_credit_missing(x);
        return missing > 0.0 ? now_ + from_seconds(missing) : now_;
    }

    void answered(Exchange& x, Duration lag, Instant sent) {
        const double took = in_seconds(lag);
        x.silent = {};
        ++x.answered;
        x.base = x.base < 0 ? took : std::min(took, x.base + kBaseCreep * (took - x.base));
        group(x.number).base = x.base;
        const double step = kLagStep * shortest_aim_;
        x.lag = x.lag <= 0 ? took : x.lag + std::clamp(kLagWeight * (took - x.lag), -step, step);
        judge(x.window, took - x.base, sent);
        judge_own(took - x.base, sent);
    }

    void judge(Window& window, double excess, Instant sent) {
        if (excess > kPressedShare * shortest_aim_) {
            window.cut(now_, sent);
        } else if (excess < kCalmShare * shortest_aim_) {
            window.widen();
        }
    }

    // A set-up without an answer for the shortest aim counts as unanswered at once, not at its time-out, and
    // no longer in the window on all set-ups. Guards against far ends that fall silent together: set-ups out
    // to them filled that window and held back all calls to the others for whole tries. Should hold when
    // links are cut, and for processors that hang. May harm in a stampede, when all are overdue: each still
    // counts there as late.
    void find_overdue() {
        while (!out_.empty() && now_ - out_.front().first >= from_seconds(shortest_aim_)) {
            const auto [sent, id] = out_.front();
            out_.pop_front();
            auto at = calls_.find(id);
            if (at == calls_.end() && (at = lost_.find(id)) == lost_.end()) continue;
            Call& call = at->second;
            if (call.phase != Phase::out || call.sent != sent) continue;
            leave_windows(call);
            call.overdue = true;
            judge_own(shortest_aim_, sent);
            if (const auto x = exchanges_.find(call.at); x != exchanges_.end()) unanswered(x->second, sent);
        }
    }

    // The attempt that is out no longer counts in the windows: answered, ended, or overdue before.
    void leave_windows(const Call& call) {
        if (call.overdue) return;
        --own_window_.out;
        if (const auto x = exchanges_.find(call.at); x != exchanges_.end()) --x->second.window.out;
    }

    // The excess of the middle answer, moved by a bounded step for each: a minority of slow far ends, however
    // slow, does not look like a slow own processor.
    void judge_own(double excess, Instant sent) {
        const double step = kOwnStep * shortest_aim_;
        own_excess_ += std::clamp(excess - own_excess_, -step, step);
        judge(own_window_, own_excess_, sent);
    }

    // Seconds between two set-ups to one far end in its usual way, from one to kSparsest. Guards against gaps
    // that hold nothing back where each of many senders seldom calls a far end: all their trials together
    // kept a slow processor full. Should hold at any size. May harm after a short silence: each finds out
    // later.
    double sparseness() const {
        if (warm_rates_.first <= 0.0) return 1.0;  // no usual rate is known yet
        return std::clamp(1.0 / usual_rate(), 1.0, kSparsest);
    }

    void unanswered(Exchange& x, Instant sent, Duration requested_wait = {}) {
        const bool news = !x.silent.active() || sent >= x.window.last_cut;  // one gap for each batch, too
        if (news) {
            const double many = sparseness();
            x.silent.no(now_, from_seconds(many * in_seconds(kTrialGap)),
                        from_seconds(many * in_seconds(kLongestTrialGap)));
        }
        x.window.cut(now_, sent);
        x.silent.until = std::max(x.silent.until, now_ + requested_wait);
    }

    // ---- Cold budget ----------------------------------------------------------------------------------

    bool cold(const Exchange& x) const {
        return s_.overload_span > Duration::zero() && x.started > Instant{} &&
               now_ - x.started < s_.warm_up_time;
    }

    // What a processor is sent in its usual way from here: a mean over the warm ones, for a second.
    double usual_rate() const {
        return warm_rates_.first > 0.0 ? warm_rates_.first / warm_rates_.second
                                       : kUnknownRate / s_.call_control_count;
    }

    // Guards against pushing over a cold processor by all call controls together: each accrues its share of
    // what the rule allows, as a fraction, from a first moment of its own; what stays unused beyond a span is
    // lost, so that many idle senders cannot join in a burst. Should also hold when many processors start at
    // once, and against stampedes of redials. Harms where the processor is warm long before it must be: calls
    // wait for credit that need not.
    // Returns the seconds until a set-up may be sent; nought: now.
    double cold_credit_missing(Exchange& x) {
        if (!cold(x)) return 0.0;
        const double passed = in_seconds(now_ - x.credited);
        const double age = in_seconds(now_ - x.started) / in_seconds(s_.warm_up_time);
        const double present = s_.cold_start_share + (1.0 - s_.cold_start_share) * std::clamp(age, 0.0, 1.0);
        const double rate = kColdMargin * s_.overload_multiple * present * kBothEnds * usual_rate();
        x.credit += rate * passed;
        x.credited = now_;
        const double most = 1.0 + rate * kCreditSpans * in_seconds(s_.overload_span);
        if (x.credit > most) x.credit -= std::ceil(x.credit - most);
        return x.credit >= 1.0 ? 0.0 : std::max(1e-6, (1.0 - x.credit) / std::max(rate, 1e-3));
    }

    void note_cold_send(Exchange& x) {
        if (cold(x)) x.credit -= 1.0;
    }

    // ---- Call lifecycle ---------------------------------------------------------------------------------

    using Key = std::tuple<bool, double, std::uint64_t>;
    Key key(const Call& call) const { return {call.held_for_number, -call.value / call.width, call.order}; }

    void wait(Call& call) {
        call.phase = Phase::waiting;
        call.look = true;
        waiting_[key(call)] = call.id;
        first_end_ = std::min(first_end_, call.answer_by);
    }

    // A caller who dials again asks for the same number. Guards against redials taken for fresh calls: their
    // aim runs from the first try, and what is left of it is often nothing. Should hold wherever callers dial
    // again, whether they mark it or not. May harm where many callers ring one number: a fresh one among them
    // may be taken for late; such calls seldom find a line.
    void recognise_redial(Call& call, Duration deadline) {
        const auto at = refused_.find(call.number);
        if (at == refused_.end()) return;
        if (now_ - at->second < deadline) call.first_offered = at->second;
        refused_.erase(at);
    }

    void remember_refused(const Call& call) {
        if (!call.transit && !call.number.empty() && refused_.size() < kRedialsKept)
            refused_.try_emplace(call.number, call.first_offered);
    }

    // The first moment at which a way may be open, as far as it is known: of the processors that it needs or,
    // with pools, may choose from; of its number; of the release. Never, if none is in service.
    Instant first_chance(const Call& call) {
        Instant chance = Instant::max();
        if (Exchange* direct = in_service(call.destination); direct && skilled(call, call.destination))
            chance = opens(*direct);
        if (s_.uses_pools && chance > now_)
            for (auto& [number, g] : groups_)
                if (g.in_service && skilled(call, number)) chance = std::min(chance, opens(*g.in_service));
        const auto busy = numbers_.find(call.number);
        if (busy != numbers_.end()) chance = std::max(chance, busy->second.until);
        return std::max({chance, call.not_before, now_});
    }

    // Seconds until `width` circuits of a group come free, as long as calls last; also those for calls ahead.
    double release_time(const Group& g, int width) const {
        return mean_hold_ * width / std::max(1, g.size - g.free);
    }

    // Whether what the call waits for can still come by its aim: circuits, a processor, a number, the
    // release. Guards against calls held only to be refused later, or to stand late, whose callers could have
    // tried again meanwhile. Should hold in any trouble that closes all ways: exchanges gone, silent, cold.
    // May harm in a stampede, as those refused dial again, and where late calls are worth much.
    bool may_wait(const Call& call) { return !late(call) && first_chance(call) < call.aim_ends; }

    // Seconds until an excess lag has faded to calm, if no answer comes.
    double calm_time(double excess) const {
        const double calm = kCalmShare * shortest_aim_;
        return excess > calm ? std::log(calm / excess) / std::log(kLagFade) : 0.0;
    }

    // When the caller should dial again: when what was missing may be there, be it the way as far as it is
    // known, circuits, or calm processors here and there.
    Duration pause(const Call& call) {
        const Instant chance = first_chance(call);
        if (chance == Instant::max()) return s_.max_pause;
        const Group& own = group(call.destination);
        const Exchange* x = in_service(call.destination);
        const double seconds =
            std::max({in_seconds(chance - now_), calm_time(own_excess_), x ? calm_time(x->excess()) : 0.0,
                      own.has(call.width) ? 0.0 : release_time(own, call.width)});
        return std::min(s_.max_pause, from_seconds(seconds));
    }

    void refuse(Call& call, bool for_want_of_route) {
        if (!call.transit) ++decided_;
        if (for_want_of_route && !call.transit) ++blocked_;
        waiting_.erase(key(call));
        remember_refused(call);
        if (call.may_have_run &&
            s_.classes[static_cast<std::size_t>(call.service_class)].repeat != RepeatPolicy::safe) {
            actions_->push_back(Fail{call.id});
        } else {
            const bool advise = s_.may_advise_pause && !call.transit && for_want_of_route;
            actions_->push_back(Refuse{call.id, advise ? pause(call) : Duration::zero()});
        }
        calls_.erase(CallId(call.id));
    }

    void free_circuits(Call& call) {
        if (call.group == kNoExchange) return;
        --group(call.group).own[static_cast<std::size_t>(call.service_class)];
        call.group = kNoExchange;
    }

    // Waiting calls, the dearest per circuit first. A call that waits for its direct group's circuits keeps
    // those behind it from taking them. Between ticks only the calls are looked at for which something
    // changed: those for the far end that the event told of, or that could go over it as a tandem.
    void serve_waiting() {
        if (waiting_.empty()) return;
        const bool all = now_ >= next_look_ || now_ >= first_end_;
        const auto room = groups_.find(changed_);
        const bool tandem = room != groups_.end() && room->second.in_service &&
                            room->second.has_above(reserve(room->second), 1);
        if (all) next_look_ = now_ + kTick, first_end_ = Instant::max();
        std::set<int> taken;
        std::vector<Call*> order;
        for (const auto& [k, id] : waiting_) order.push_back(&calls_.at(id));
        for (Call* call : order) {
            if (all) first_end_ = std::min(first_end_, call->answer_by);
            const bool look =
                all || call->look || call->destination == changed_ || (tandem && !call->tandem_tried);
            call->look = false;
            const bool busy = number_busy(call->number);
            const bool behind = taken.count(call->destination) > 0;
            if (look && !busy && now_ < call->answer_by && route(*call, behind)) continue;
            if (now_ >= call->answer_by || (look && !may_wait(*call))) {
                refuse(*call, true);
            } else if (!busy && !late(*call) && group(call->destination).size > 0) {
                taken.insert(call->destination);
            }
        }
    }

    void arm_timer() {
        if (waiting_.empty()) return;
        const Instant due = std::min(next_look_, first_end_);
        if (timer_due_ > now_ && timer_due_ <= due) return;
        timer_due_ = std::max(due, now_ + Duration(1));
        actions_->push_back(SetTimer{timer_due_ - now_, 1});
    }

    // A no that has long run out doubles nothing any more.
    template <class Refusals>
    void forget(Refusals& refusals) {
        std::erase_if(refusals, [this](const auto& at) { return now_ > at.second.until + kForgetRefusal; });
    }

    bool number_busy(const std::string& number) const {
        const auto at = numbers_.find(number);
        return at != numbers_.end() && now_ < at->second.until;
    }

    void number_found_busy(const std::string& number) {
        if (numbers_.size() >= kNumbersKept && !numbers_.count(number)) {
            auto oldest = numbers_.begin();
            for (auto at = numbers_.begin(); at != numbers_.end(); ++at)
                if (at->second.until < oldest->second.until) oldest = at;
            numbers_.erase(oldest);
        }
        numbers_[number].no(now_, kNumberGap, kLongestNumberGap);
    }

    // λ: rises while calls are refused for want of any route, falls else, never below nought.
    void pass_time() {
        if (next_multiplier_ == Instant{})
            next_multiplier_ = now_ + kMultiplierSpan, next_second_ = now_ + seconds(1);
        while (now_ >= next_second_) {
            next_second_ += seconds(1);
            std::pair<double, int> warm{0.0, 0};  // answers, processors
            const double sparse = sparseness();
            for (auto& [id, x] : exchanges_) {
                if (x.number != s_.own_exchange && x.state == ExchangeState::ready && !cold(x))
                    warm.first += x.answered, ++warm.second;
                // Without answers a bad lag would stand for ever, since it keeps the calls that could mend
                // it.
                if (x.answered == 0 && x.base >= 0)
                    x.lag = x.base + std::pow(kLagFade, 1.0 / sparse) * x.excess();
                x.answered = 0;
            }
            own_excess_ *= kLagFade;  // few answers come through a closed window to mend it
            forget(turned_back_);
            forget(numbers_);
            std::erase_if(refused_, [this](const auto& at) { return now_ - at.second >= longest_deadline_; });
            // Both are discounted alike, so that the ratio is true from the first second on.
            const double share = warm.second > 0 ? warm.first / warm.second : 0.0;
            warm_rates_.first += kRateWeight * (share - warm_rates_.first);
            warm_rates_.second += kRateWeight * ((warm.second > 0 ? 1.0 : 0.0) - warm_rates_.second);
        }
        while (now_ >= next_multiplier_) {
            next_multiplier_ += kMultiplierSpan;
            double sizes = 0;
            int known = 0;
            for (const auto& [number, g] : groups_)
                if (g.known && g.size > 0) sizes += g.size, ++known;
            const double share = decided_ > 0 ? static_cast<double>(blocked_) / decided_ : 0.0;
            const double unit = known > 0 ? mean_worth_ * known / sizes : 0.0;
            multiplier_ = std::max(0.0, multiplier_ + kMultiplierStep * unit * (share - kBlockedAim));
            decided_ = blocked_ = 0;
        }
    }

    // ---- Events -------------------------------------------------------------------------------------------

    void on(const CallOffered& e) {
        if (calls_.count(e.call) || lost_.count(e.call)) return;
        // Guards against a call that nothing here can serve: it still gets its one final answer.
        if (e.service_class < 0 || static_cast<std::size_t>(e.service_class) >= s_.classes.size() ||
            e.width < 1 || e.destination == s_.own_exchange || !groups_.count(e.destination)) {
            actions_->push_back(Refuse{e.call, Duration::zero()});
            return;
        }
        Call& call = calls_[e.call];
        const ClassSettings& c = s_.classes[static_cast<std::size_t>(e.service_class)];
        call.id = e.call;
        call.service_class = e.service_class;
        call.destination = e.destination;
        call.width = e.width;
        call.advised = e.advised_exchange;
        call.transit = e.transit;
        call.number = e.called_number;
        call.order = ++order_;
        call.value = c.worth;
        call.answer_by =
            now_ + std::max(Duration::zero(), e.time_left - kAnswerMargin - s_.min_event_interval);
        call.first_offered = now_;
        if (!call.transit) recognise_redial(call, c.deadline);
        call.aim_ends = call.first_offered + c.aim;
        if (call.transit) {
            if (!route(call)) refuse(call, false);
            return;
        }
        Group& g = group(call.destination);
        const bool fits = g.has(call.width);
        const Admission::Arrival arrival{call.service_class,
                                         g.size - g.free,
                                         g.size,
                                         fits,
                                         c.worth - multiplier_ * (g.size - g.free),
                                         &g.own};
        g.admission.learn(arrival);
        bool accept = g.admission.accepts(arrival);
        if (!accept && fits && random_.next() < kExploration) accept = true;
        g.admission.decided(arrival, accept);
        if (!accept) return refuse(call, false);
        wait(call);
    }

    void on(const CallAnswered& e) {
        const auto at = calls_.find(e.call);
        if (at == calls_.end() || at->second.phase != Phase::out) return;
        Call& call = at->second;
        call.phase = Phase::standing;
        leave_windows(call);
        if (!call.transit) ++decided_;
        numbers_.erase(call.number);
        turned_back_.erase({call.group, call.destination});
        if (!call.transit && call.group != call.destination) back_ -= kBackWeight * back_;
        group(call.destination).stood_over = call.group;
        if (const auto x = exchanges_.find(call.at); x != exchanges_.end()) {
            changed_ = x->second.number;
            answered(x->second, e.response_time, call.sent);
        }
    }

    void on(const AttemptEnded& e) {
        see_load(e.exchange, e.load);
        const auto at = calls_.find(e.call);
        if (at == calls_.end()) {
            if (const auto lost = lost_.find(e.call); lost != lost_.end()) {
                settle(lost->second, e);
                free_circuits(lost->second);
                lost_.erase(lost);
            }
            return;
        }
        Call& call = at->second;
        if (call.phase == Phase::waiting) return;
        const int tandem = call.group == call.destination ? kNoExchange : call.group;
        if (call.phase == Phase::out) settle(call, e);
        free_circuits(call);
        if (e.final) {
            calls_.erase(at);
            return;
        }
        const bool ran =
            e.outcome == Outcome::timed_out || e.outcome == Outcome::reset || e.outcome == Outcome::cancelled;
        if (ran) call.not_before = now_ + s_.release_wait;
        call.may_have_run = call.may_have_run || ran || e.outcome == Outcome::failed;
        const bool again =
            !call.may_have_run ||
            s_.classes[static_cast<std::size_t>(call.service_class)].repeat == RepeatPolicy::safe;
        if (call.transit || !again || call.attempts >= s_.max_attempts || call.not_before >= call.answer_by)
            return refuse(call, false);
        call.faulted = call.faulted || (e.outcome == Outcome::failed && e.cause == Cause::none);
        if (e.cause == Cause::number_busy) {
            number_found_busy(call.number);
            call.held_for_number = true;
        }
        // Guards against a tandem whose second leg is full, which cannot be seen from here: the freest first
        // leg would be asked again and again. Holds too where a tandem turns calls back for any other reason.
        // May harm when the second leg empties at once: the gap is short for that.
        if (e.outcome == Outcome::rejected && e.cause == Cause::rejected_by_tandem && tandem != kNoExchange) {
            back_ += kBackWeight * (1.0 - back_);
            turned_back_[{tandem, call.destination}].no(now_, kTurnedBackGap, kLongestTurnedBackGap);
        }
        // Guards against attempts used up while the own processor is down: nothing tells when it is back.
        if (e.outcome == Outcome::not_sent && e.cause == Cause::processor_full) return refuse(call, true);
        if (e.outcome == Outcome::not_sent) call.not_before = std::max(call.not_before, now_ + kTick);
        wait(call);
    }

    // What the end of an attempt tells of the exchange that it was sent to.
    void settle(const Call& call, const AttemptEnded& e) {
        leave_windows(call);
        const auto at = exchanges_.find(call.at);
        if (at == exchanges_.end()) return;
        Exchange& x = at->second;
        switch (e.outcome) {
            case Outcome::timed_out:
            case Outcome::unreachable:
                if (!call.overdue) unanswered(x, call.sent);
                return;
            case Outcome::rejected:
                if (e.cause == Cause::processor_full) return unanswered(x, call.sent, e.requested_wait);
                return answered(x, e.response_time, call.sent);
            case Outcome::ended:
            case Outcome::failed:
                return answered(x, e.response_time, call.sent);
            default:
                return;
        }
    }

    void on(const CallAbandoned& e) {
        const auto at = calls_.find(e.call);
        if (at == calls_.end()) return;
        waiting_.erase(key(at->second));
        if (at->second.phase != Phase::standing) remember_refused(at->second);
        if (at->second.phase == Phase::out) {
            lost_[e.call] = at->second;
        } else {
            free_circuits(at->second);
        }
        calls_.erase(at);
    }

    void see_load(const ExchangeId& id, const LoadReport& load) {
        const auto at = exchanges_.find(id);
        if (at == exchanges_.end()) return;
        changed_ = at->second.number;
        if (load.group_size >= 0 && load.free_circuits >= 0) {
            Group& g = group(at->second.number);
            g.known = true;
            g.size = load.group_size;
            g.free = std::min(load.free_circuits, load.group_size);
        }
    }

    void on(const ExchangeReport& e) { see_load(e.exchange, e.load); }

    void on(const ExchangeList& e) {
        if (e.kind == ListKind::complete || e.kind == ListKind::cached)
            for (auto& [id, x] : exchanges_) x.state = ExchangeState::gone;  // unless it is in the list
        for (const ExchangeEntry& entry : e.entries) {
            if (entry.number < 0) continue;
            group(entry.number);
            const auto [at, fresh] = exchanges_.try_emplace(entry.exchange);
            Exchange& x = at->second;
            if (fresh || entry.started != x.started) {
                const int out = x.window.out;
                const double base = fresh ? group(entry.number).base : x.base;
                x = Exchange{};
                x.window.out = out;
                x.base = base;
                x.credit = random_.next();
                x.credited = now_;
            }
            x.id = entry.exchange;
            x.number = entry.number;
            x.state = entry.state;
            x.started = entry.started;
            x.never_tandem = entry.never_tandem;
        }
        std::erase_if(exchanges_, [](const auto& at) {
            return at.second.state == ExchangeState::gone && at.second.window.out <= 0;
        });
        find_in_service();
        if (s_.list_on_request && (e.kind == ListKind::cached || e.kind == ListKind::failed))
            actions_->push_back(SetTimer{e.kind == ListKind::failed ? kTrialGap : Duration(1), 2});
    }

    void on(const PeerMessage&) {}

    void on(const TimerExpired& e) {
        if (e.token == 2) actions_->push_back(SubscribeList{true});
    }

    Settings s_;
    Random random_;
    double shortest_aim_ = 1.0, mean_worth_ = 0.0, mean_hold_ = 0.0;  // seconds; worth; seconds
    Duration longest_deadline_{};
    Instant now_{};
    std::vector<Action>* actions_ = nullptr;
    std::map<ExchangeId, Exchange> exchanges_;
    std::map<int, Group> groups_;  // by the number of the exchange or pool
    std::map<CallId, Call> calls_;
    std::map<CallId, Call> lost_;  // abandoned with an attempt still out
    std::map<Key, CallId> waiting_;
    std::deque<std::pair<Instant, CallId>> out_;  // set-ups of the last shortest aim, by when they were sent
    std::map<std::string, BackOff> numbers_;
    std::map<std::string, Instant> refused_;  // by number: when a call refused since was first offered
    std::map<std::pair<int, int>, BackOff> turned_back_;  // by tandem and destination
    std::uint64_t order_ = 0;
    int changed_ = kNoExchange;                         // the exchange that the event in hand told of
    Instant next_look_{}, first_end_ = Instant::max();  // at all waiting calls; of the first of their tries
    Instant timer_due_{};
    // All set-ups out from here. Guards against an own processor that is slow or cold: every set-up waits in
    // its line, but the windows per far end, many and each open by one at least, do not close on that. Also
    // holds in a stampede that presses all far ends. May harm where most far ends are slow and a few are not.
    Window own_window_{0, kWindowMost, 2.0 * kWindowMost};
    double back_ = 0.0;                               // share of tandem calls turned back
    double own_excess_ = 0.0;                         // seconds: excess lag of the middle answer
    std::pair<double, double> warm_rates_{0.0, 0.0};  // usual set-ups a second to a warm one, and the weight
    double multiplier_ = 0.0;                         // λ, worth per busy circuit
    int decided_ = 0, blocked_ = 0;  // own calls decided in this span; those refused for want of any route
    Instant next_multiplier_{}, next_second_{};
};

CallControl::CallControl(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
CallControl::~CallControl() = default;
CallControl::CallControl(CallControl&&) noexcept = default;
CallControl& CallControl::operator=(CallControl&&) noexcept = default;

bool CallControl::can_apply(const Settings& settings) const {
    return impl_->can_take(settings);
}
std::size_t CallControl::avoided_exchange_count() const {
    return impl_->avoided();
}
std::size_t CallControl::table_entry_count() const {
    return impl_->entries();
}
void CallControl::apply(Settings settings) {
    impl_->take(std::move(settings));
}

void CallControl::handle(Instant now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace nettlestall
