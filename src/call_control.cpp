// The decision module. Its types, events and actions: include/nettlestall/call_control.hpp.
//
// A call's life: it is offered; the learned tables of its direct group accept or refuse it; it takes the
// direct route if enough circuits are free, else the tandem with the most free first-leg circuits above a
// reserve; else it waits as long as what it lacks can still become available by its aim, and is refused at
// once otherwise. What a processor can handle is judged by how fast it answers.

#include "nettlestall/call_control.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace nettlestall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ==== Constants ====================================================================================

// Learned admission. The cells are coarse, since a process starts with empty tables and has only a day to
// learn.
constexpr int kBusyLevels = 4;         // levels of busy circuits; the last: too few free for one more call
constexpr int kCountLevels = 3;        // levels of a class's own calls: none, up to its usual number, more
constexpr double kLearningRate = 0.2;  // share of each error learned; a group gets a few arrivals a second
// Discount per arrival. A longer view is lost in the noise of cells that are seldom visited.
constexpr double kDiscount = 0.6;
// Share of the calls that fit and would be refused, but are accepted so that the tables can learn.
constexpr double kExploration = 0.02;
// Of (mean worth / mean group size): change of the multiplier at an update, for a blocked share of 1.
constexpr double kMultiplierStep = 0.03;
// Share of calls refused for lack of any route up to which the multiplier does not rise.
constexpr double kBlockedShareAim = 0.02;
constexpr Duration kMultiplierInterval = seconds(2);  // between two updates

// Routes.
constexpr double kReserveShare = 0.08;     // of a group's circuits, kept from transit and tandem calls
constexpr double kLateReserveShare = 0.5;  // of a group's circuits, kept from calls that can only be late
// Of a group's circuits, kept from tandem calls on top of the reserve if every tandem call were rejected.
constexpr double kMaxScarceShare = 0.5;
constexpr double kRejectedWeight = 0.05;  // weight of the newest tandem call in the share of rejected ones
// A tandem that rejected a call gets no more calls to that destination for this long, doubling with each
// further rejection until a call is answered over it.
constexpr Duration kTandemGapMin = seconds(2);
constexpr Duration kTandemGapMax = seconds(8);

// Exchange health: a window limits the pending set-ups to one processor. Prompt answers widen it and late
// ones cut it. The excess response time is that above the least one.
constexpr double kInitialWindow = 3.0;    // pending set-ups
constexpr double kMaxWindow = 12.0;       // pending set-ups; more would only wait in the processor's queue
constexpr double kWindowCutFactor = 0.6;  // share of the window that is kept after a sign of pressure
// Excess response times, of the shortest aim. Below the first a processor is calm, and the window widens;
// above the second there is a sign of pressure, and the window is cut.
constexpr double kCalmShare = 0.12;
constexpr double kPressedShare = 0.3;
// Share of an answer's excess by which the base response time rises, so that it follows a path that has
// become longer, but not a processor that slows down with age.
constexpr double kBaseDrift = 0.001;
constexpr double kOwnExcessStep = 0.2;    // of the shortest aim: most that one answer moves the median excess
constexpr double kResponseWeight = 0.25;  // of the newest response time in the running mean
constexpr double kResponseStep = 0.4;     // of the shortest aim: most that one answer moves that mean
// Share of a processor's excess that is kept over a second without an answer, and of the median excess that
// is kept over every second.
constexpr double kExcessDecay = 0.5;
constexpr Duration kTrialGapMin = milliseconds(500);  // until a silent processor is tried again, doubling
constexpr Duration kTrialGapMax = seconds(2);
// Where calls are sparse both trial gaps are longer, at most by this factor.
constexpr double kMaxSparseness = 3.0;

// Cold processors.
constexpr double kColdMargin = 0.8;  // share of the budget that is used, since the capacity is an estimate
// A call is work at both its ends, so a processor bears twice what it is sent.
constexpr double kWorkPerSetUp = 2.0;
constexpr double kRateWeight = 0.1;   // of the newest second in the usual rate of set-ups
constexpr double kDefaultRate = 1.0;  // set-ups a second of all senders, until a usual rate is known
// Unused credit that is kept, in spans of the overload rule. It is bounded so that many idle senders cannot
// send a burst together.
constexpr double kMaxCreditSpans = 1.0;

// Busy numbers.
constexpr std::size_t kMaxBusyNumbers = 256;        // numbers remembered
constexpr Duration kBusyNumberGapMin = seconds(1);  // until a number found busy is tried again, doubling
constexpr Duration kBusyNumberGapMax = seconds(4);

// Redials.
constexpr std::size_t kMaxRefusedNumbers = 4096;  // refused calls remembered, until the longest deadline

// A refusal that comes later than this after the end of the last wait starts at the least gap again (tandems
// and busy numbers).
constexpr Duration kBackOffMemory = seconds(10);
// Time before the end of a caller's attempt at which it is answered, on top of the host's event interval.
constexpr Duration kAnswerMargin = milliseconds(10);
// All waiting calls are looked at no less often than this, up to kMaxScannedCalls of them.
constexpr Duration kScanInterval = milliseconds(50);
// Up to so many waiting calls are all gone through with each event. Of more, an event goes through parts of
// kScanPart, so that its cost does not grow with their number.
constexpr std::size_t kMaxScannedCalls = 256, kScanPart = 64, kScanHeads = 8;

// Calculations are in seconds, as doubles.
double to_seconds(Duration time) {
    return static_cast<double>(time.count()) / 1e6;
}
Duration from_seconds(double s) {
    return Duration(static_cast<Duration::rep>(s * 1e6));
}

// splitmix64: small, seeded, and the same on every platform.
struct Random {
    std::uint64_t state;
    double next() {  // from 0 to below 1
        std::uint64_t z = (state += 0x9E3779B97F4A7C15u);
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9u;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBu;
        return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
    }
};

// ==== Learned admission ============================================================================

// One table per class for one trunk group; all tables learn from every call that asks for the group.
class Admission {
   public:
    explicit Admission(std::size_t classes) : tables_(classes) {
        for (Table& table : tables_) table.resize(classes * kBusyLevels * kCountLevels);
    }

    // A call that asks for the group.
    struct Arrival {
        int service_class;
        int busy, size;                  // circuits of the group
        bool fits;                       // enough circuits are free for it
        double payoff;                   // if accepted: the worth minus the price of the busy circuits
        const std::vector<int>* counts;  // own calls on the group, by class
    };

    // Whether the call should be accepted: the sum over the tables is no lower for accepting than for
    // refusing.
    bool accepts(const Arrival& arrival) const {
        return total(cells(arrival), 1) >= total(cells(arrival), 0);
    }

    // Learns from the result of the last decision. All tables take the value of the next state for the same
    // action: the one with the higher sum, and accepting only where the call fits.
    void learn(const Arrival& arrival) {
        const std::vector<std::size_t> next = cells(arrival);
        const std::size_t best = arrival.fits && total(next, 1) >= total(next, 0) ? 1 : 0;
        for (std::size_t k = 0; last_ && k < tables_.size(); ++k) {
            const double paid = static_cast<int>(k) == last_->service_class ? last_->payoff : 0.0;
            double& cell = tables_[k][last_->cells[k]][last_->action];
            cell += kLearningRate * (paid + kDiscount * tables_[k][next[k]][best] - cell);
        }
    }

    // Keeps the decision on an arrival for the next learn().
    void record_decision(const Arrival& arrival, bool accepted) {
        last_ =
            Last{cells(arrival), arrival.service_class, accepted ? 1u : 0u, accepted ? arrival.payoff : 0.0};
    }

   private:
    using Table = std::vector<std::array<double, 2>>;  // by cell: the value of refusing and of accepting
    // The last decision.
    struct Last {
        std::vector<std::size_t> cells;
        int service_class;
        std::size_t action;
        double payoff;
    };

    // The cell of each table that the arrival falls into.
    std::vector<std::size_t> cells(const Arrival& arrival) const {
        const int busy_level =
            arrival.fits
                ? std::min(kBusyLevels - 2, arrival.busy * (kBusyLevels - 1) / std::max(1, arrival.size))
                : kBusyLevels - 1;
        std::vector<std::size_t> indices(tables_.size());
        for (std::size_t k = 0; k < indices.size(); ++k) {
            const int count = (*arrival.counts)[k];
            const int usual = std::max(1, arrival.size / static_cast<int>(2 * tables_.size()));
            const int count_level = count == 0 ? 0 : count <= usual ? 1 : kCountLevels - 1;
            indices[k] = static_cast<std::size_t>(
                (arrival.service_class * kBusyLevels + busy_level) * kCountLevels + count_level);
        }
        return indices;
    }

    // The sum over all tables of the value of an action (0: refuse, 1: accept) in the given cells.
    double total(const std::vector<std::size_t>& indices, std::size_t action) const {
        double sum = 0;
        for (std::size_t k = 0; k < tables_.size(); ++k) sum += tables_[k][indices[k]][action];
        return sum;
    }

    std::vector<Table> tables_;
    std::optional<Last> last_;
};

// ==== Exchange health ==============================================================================

// The wait before what refused or was silent is tried again. It doubles with each further refusal.
struct BackOff {
    Instant until{};
    Duration gap{};
    // Starts the wait after a refusal: with the gap `first`, or twice the last gap but no more than
    // `longest`.
    void extend(Instant now, Duration first, Duration longest) {
        gap = gap == Duration::zero() ? first : std::min(longest, gap * 2);
        until = now + gap;
    }
    // Whether there was a refusal since the last reset, even if the wait is over.
    bool is_active() const { return gap > Duration::zero(); }
};

// A limit on the set-ups that are pending at a time; prompt answers widen it and late ones cut it.
struct Window {
    int pending = 0;  // set-ups without an answer yet
    double size, max_size;
    Instant last_cut{};

    bool is_open() const { return pending < static_cast<int>(size); }
    void widen() { size = std::min(max_size, size + 1.0 / size); }
    // Cuts once for each batch of set-ups: those sent before the last cut give no new information.
    void cut(Instant now, Instant sent) {
        if (sent < last_cut) return;
        size = std::max(1.0, size * kWindowCutFactor);
        last_cut = now;
    }
};

// One machine.
struct Exchange {
    ExchangeId id;
    int number = kNoExchange;
    ExchangeState state = ExchangeState::ready;
    Instant started{};
    bool never_tandem = false;

    Window window{0, kInitialWindow, kMaxWindow};
    double response_time = 0, base_response_time = -1;  // seconds: running mean; least seen, negative: none
    BackOff trial_back_off;                             // of trial set-ups while it does not answer
    double credit = 0;                                  // set-ups that may be sent now, while it is cold
    Instant credited_until{};                           // the moment up to which credit was added
    int answers = 0;                                    // in the current second

    // Seconds by which the running mean is over the least response time.
    double excess() const {
        return base_response_time < 0 ? 0.0 : std::max(0.0, response_time - base_response_time);
    }
};

// The circuits between here and one exchange, or the agents of one pool.
struct Group {
    explicit Group(std::size_t classes) : admission(classes), own_calls(classes, 0) {}
    bool known = false;      // a load report gave the number of circuits
    int free = 0, size = 0;  // circuits
    Admission admission;
    std::vector<int> own_calls;  // calls of this call control on the group, by class
    // Seconds: the base response time of its machine that answered last; a new machine is measured by it.
    double base_response_time = -1;
    int last_tandem = kNoExchange;   // the tandem over which a call was last answered there
    Exchange* in_service = nullptr;  // the machine at the far end, if one is ready
    bool has_free(int width) const { return known && free >= width; }
    // Whether the group has the call's width free, and at least one free circuit more than the `kept` ones,
    // which are held back from calls of its kind; the call may then use these too. If the width were added to
    // the reserve of at least one circuit, a wide call could never enter a small group, since the sum is more
    // than the whole group there. This holds at any group size and after lost circuits. Known limit: where
    // wide calls are many and worth little, each may leave a group without its reserve.
    bool has_free_above(int kept, int width) const { return has_free(std::max(width, kept + 1)); }
};

// ==== A call's life ================================================================================

// Stands for a number called in all tables, so that a long number takes no more memory than a short one. Two
// numbers with one fingerprint would be treated as the same number.
using NumberFingerprint = std::uint64_t;
constexpr NumberFingerprint kNoNumber = 0;

// FNV-1a with 64 bits, the same on every platform; kNoNumber for an empty number.
NumberFingerprint fingerprint(std::string_view number) {
    if (number.empty()) return kNoNumber;
    NumberFingerprint hash = 0xCBF29CE484222325u;
    for (const char c : number) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3u;
    return hash == kNoNumber ? 1 : hash;
}

// waiting: for a route; sent: a set-up is pending; standing: answered.
enum class Phase { waiting, sent, standing };

// A call from its offer to its end.
struct Call {
    CallId id;
    Phase phase = Phase::waiting;
    int service_class = 0, destination = kNoExchange, width = 1, advised = kNoExchange;
    // may_have_run: an attempt may have run at the far end. held_for_number: its number was found busy.
    bool transit = false, may_have_run = false, tandem_tried = false, held_for_number = false;
    bool faulted = false;     // an attempt was answered with a failure
    bool needs_scan = false;  // look at it in the next scan in any case: it has just begun to wait
    bool overdue = false;     // the pending attempt has had no answer for the shortest aim
    double value = 1.0;       // its worth if it is answered within the aim
    // first_offered: of a redial, when the call was first offered. answer_by: when it must have its final
    // answer. not_before: when it may be sent again.
    Instant first_offered{}, aim_ends{}, answer_by{}, not_before{};
    NumberFingerprint number = kNoNumber;
    int attempts = 0;
    ExchangeId sent_to;            // where the pending attempt or the standing call was sent
    int held_group = kNoExchange;  // the trunk group from here on which it holds circuits
    Instant sent{};
    std::uint64_t order = 0;  // of the offers
    NumberFingerprint caller = kNoNumber;
    std::uint64_t turn = 0;  // among all callers' calls; see next_turn()
};

}  // namespace

// The state of one call control, with all tables.
class CallControl::Impl {
   public:
    Impl(Settings settings, std::uint64_t seed) : random_{seed} { apply(std::move(settings)); }

    // The learned tables and the calls in hand refer to classes by position.
    bool can_apply(const Settings& fresh) const {
        return fresh.own_exchange == settings_.own_exchange && fresh.uses_pools == settings_.uses_pools &&
               std::equal(fresh.classes.begin(), fresh.classes.end(), settings_.classes.begin(),
                          settings_.classes.end(),
                          [](const auto& a, const auto& b) { return a.name == b.name; });
    }

    std::uint64_t scanned_calls() const { return scanned_calls_; }

    std::size_t table_entry_count() const {
        return exchanges_.size() + calls_.size() + abandoned_.size() + waiting_.size() +
               recent_set_ups_.size() + busy_numbers_.size() + refused_numbers_.size() +
               tandem_back_offs_.size() + last_turns_.size();
    }

    std::size_t avoided_exchange_count() const {
        return static_cast<std::size_t>(
            std::count_if(exchanges_.begin(), exchanges_.end(), [](const auto& entry) {
                const Exchange& exchange = entry.second;
                return exchange.state == ExchangeState::draining ||
                       (exchange.state == ExchangeState::ready && exchange.trial_back_off.is_active());
            }));
    }

    void apply(Settings settings) {
        settings_ = std::move(settings);
        shortest_aim_ = settings_.classes.empty() ? 1.0 : 1e9;
        longest_deadline_ = {}, mean_worth_ = mean_holding_time_ = 0.0;
        for (const ClassSettings& class_settings : settings_.classes) {
            shortest_aim_ = std::min(shortest_aim_, to_seconds(class_settings.aim));
            longest_deadline_ = std::max(longest_deadline_, class_settings.deadline);
            mean_worth_ += class_settings.worth / static_cast<double>(settings_.classes.size());
            mean_holding_time_ +=
                to_seconds(class_settings.holding_time) / static_cast<double>(settings_.classes.size());
        }
    }

    void handle(Instant now, const Event& event, std::vector<Action>& actions) {
        now_ = now;
        actions_ = &actions;
        changed_exchange_ = kNoExchange;
        advance_clock();
        mark_overdue();
        std::visit([this](const auto& alternative) { on(alternative); }, event);
        serve_waiting();
        newly_waiting_ = nullptr;
        arm_timer();
    }

   private:
    // ---- Route ------------------------------------------------------------------------------------

    // The group toward an exchange, which is added if it is new.
    Group& group_of(int number) {
        return groups_.try_emplace(number, settings_.classes.size()).first->second;
    }

    // The machine in service at an exchange, if any.
    Exchange* in_service(int number) const {
        const auto at = groups_.find(number);
        return at == groups_.end() ? nullptr : at->second.in_service;
    }

    // Called after a change of the list. Of several ready machines with one number the one that started
    // last is in service.
    void update_in_service() {
        for (auto& [number, group] : groups_) group.in_service = nullptr;
        for (auto& [id, exchange] : exchanges_) {
            if (exchange.state != ExchangeState::ready) continue;
            Group& group = group_of(exchange.number);
            if (!group.in_service || exchange.started > group.in_service->started)
                group.in_service = &exchange;
        }
    }

    // Circuits kept from transit and tandem calls.
    int reserve(const Group& group) const {
        return std::max(1, static_cast<int>(std::lround(kReserveShare * group.size)));
    }

    // Circuits kept from calls that can only be late.
    int late_reserve(const Group& group) const {
        return std::max(1, static_cast<int>(std::lround(kLateReserveShare * group.size)));
    }

    // Circuits kept from tandem calls as more of these are rejected. Where circuits are short everywhere,
    // each tandem call occupies a first leg and three processors only to be rejected; the same holds where
    // far processors are full. Known limit: a few destinations that reject all calls also hold back calls
    // to the others. A leg that is half empty is always tried, so that the share can fall again.
    int scarcity_reserve(const Group& group) const {
        return static_cast<int>(std::lround(kMaxScarceShare * rejected_share_ * group.size));
    }

    // Whether a pool may serve the call; true without pools.
    bool has_skill(const Call& call, int pool) const {
        if (!settings_.uses_pools) return true;
        const std::vector<int>& pools = settings_.classes[static_cast<std::size_t>(call.service_class)].pools;
        return pools.empty() || std::find(pools.begin(), pools.end(), pool) != pools.end();
    }

    // Whether a set-up sent now would be answered after the aim, at the present response time of the
    // destination.
    bool is_late(const Call& call) const {
        const Exchange* exchange = in_service(call.destination);
        const double response_time = exchange ? exchange->response_time : 0.0;
        return now_ + from_seconds(response_time) > call.aim_ends;
    }

    // Sends the call if it has a route now and returns whether it did. `behind`: another call, which is
    // served before this one, waits for circuits of the direct group.
    bool try_route(Call& call, bool behind = false) {
        if (call.attempts >= settings_.max_attempts || now_ < call.not_before || now_ >= call.answer_by)
            return false;
        if (!call.transit && !own_window_.is_open()) return false;
        Exchange* direct = in_service(call.destination);
        if (!direct && !settings_.uses_pools) return false;
        Group& direct_group = group_of(call.destination);
        // After an attempt was answered with a failure the tandem is tried once, if possible. Otherwise calls
        // use up all their attempts within a quarter of a second at a processor that answers most set-ups
        // with a failure.
        // Known limit: where the call itself is at fault, it then occupies three processors.
        const bool tandem_first = call.faulted && !call.transit && !call.tandem_tried &&
                                  !settings_.uses_pools && direct && !is_late(call) && may_send(*direct) &&
                                  !is_pressed(*direct) && find_tandem(call);
        const int kept = is_late(call)  ? late_reserve(direct_group)
                         : call.transit ? reserve(direct_group)
                                        : 0;
        if (!tandem_first && direct && has_skill(call, call.destination) && !behind &&
            direct_group.has_free_above(kept, call.width)) {
            if (!may_send(*direct) || (is_late(call) && is_pressed(*direct))) return false;
            send(call, *direct);
            return true;
        }
        if (call.transit || call.tandem_tried || is_late(call)) return false;
        if (direct && !settings_.uses_pools && (!may_send(*direct) || is_pressed(*direct))) return false;
        Exchange* tandem = find_tandem(call);
        if (!tandem) return false;
        call.tandem_tried = true;
        if (!settings_.uses_pools) spend_cold_credit(*direct);
        send(call, *tandem);
        return true;
    }

    // The tandem whose first leg has the most free circuits above the reserve; the advised one in a tie. A
    // pair of exchanges without a direct group keeps to the tandem over which its last call was answered,
    // since the freest first leg often leads to a full second leg or a full far processor. Known limit:
    // second legs that fill faster than calls are answered; the gap after a rejection then moves the calls
    // to another tandem.
    Exchange* find_tandem(const Call& call) {
        Exchange* best = nullptr;
        std::tuple<bool, int, bool> best_rank{false, -1, false};
        const Group& direct_group = group_of(call.destination);
        for (auto& [number, group] : groups_) {
            if (number == call.destination || number == settings_.own_exchange) continue;
            const int kept = reserve(group) + (direct_group.size > 0 ? scarcity_reserve(group) : 0);
            if (!has_skill(call, number) || !group.has_free_above(kept, call.width)) continue;
            const std::tuple<bool, int, bool> rank{
                direct_group.size == 0 && number == direct_group.last_tandem, group.free,
                number == call.advised};
            if (rank <= best_rank) continue;
            const auto back_off = tandem_back_offs_.find({number, call.destination});
            if (back_off != tandem_back_offs_.end() && now_ < back_off->second.until) continue;
            if (!group.in_service || group.in_service->never_tandem || !may_send(*group.in_service) ||
                is_pressed(*group.in_service))
                continue;
            best = group.in_service;
            best_rank = rank;
        }
        return best;
    }

    // When a set-up that is sent now is cancelled. Where waiting set-ups are repeated, this is the aim, after
    // which the answer can only be late: slow processors spent their time on repeats for calls that were
    // already late, as in a stampede or where far ends hang. Known limit: calls that are worth much when late
    // are cancelled too.
    Instant cancel_time(const Call& call) const {
        if (settings_.set_up_repeat_interval <= Duration::zero() || is_late(call)) return call.answer_by;
        return std::min(call.answer_by, call.aim_ends);
    }

    // Sends a set-up for the call to the exchange and books the circuits that it uses.
    void send(Call& call, Exchange& exchange) {
        Group& group = group_of(exchange.number);
        group.free -= call.width;
        ++group.own_calls[static_cast<std::size_t>(call.service_class)];
        ++exchange.window.pending;
        ++own_window_.pending;
        spend_cold_credit(exchange);
        call.phase = Phase::sent;
        call.sent_to = exchange.id;
        call.held_group = exchange.number;
        call.sent = now_;
        call.overdue = false;
        present_turn_ = std::max(present_turn_, call.turn);
        recent_set_ups_.push_back({now_, call.id});
        ++call.attempts;
        stop_waiting(call);
        actions_->push_back(SetUp{call.id, exchange.id, cancel_time(call) - now_});
    }

    // ---- Exchange health ----------------------------------------------------------------------------

    // Whether a processor is no longer calm: it answers slowly or not at all. It then gets no late calls and
    // no tandem calls.
    bool is_pressed(const Exchange& exchange) const {
        return exchange.trial_back_off.is_active() || exchange.excess() > kCalmShare * shortest_aim_;
    }

    // Whether a set-up may be sent to the processor now.
    bool may_send(Exchange& exchange) { return exchange.window.is_open() && earliest_send(exchange) <= now_; }

    // The first moment at which a processor may be sent a set-up, as far as known; its window can open at
    // any time.
    Instant earliest_send(Exchange& exchange) {
        if (now_ < exchange.trial_back_off.until) return exchange.trial_back_off.until;
        const double missing = cold_credit_missing(exchange);
        return missing > 0.0 ? now_ + from_seconds(missing) : now_;
    }

    // An answer came: updates the response times and the windows. `sent`: when the set-up was sent.
    void note_answer(Exchange& exchange, Duration response_time, Instant sent) {
        const double took = to_seconds(response_time);
        exchange.trial_back_off = {};
        ++exchange.answers;
        exchange.base_response_time =
            exchange.base_response_time < 0
                ? took
                : std::min(took,
                           exchange.base_response_time + kBaseDrift * (took - exchange.base_response_time));
        group_of(exchange.number).base_response_time = exchange.base_response_time;
        const double step = kResponseStep * shortest_aim_;
        exchange.response_time =
            exchange.response_time <= 0
                ? took
                : exchange.response_time +
                      std::clamp(kResponseWeight * (took - exchange.response_time), -step, step);
        adjust_window(exchange.window, took - exchange.base_response_time, sent);
        adjust_own_window(took - exchange.base_response_time, sent);
    }

    // Cuts the window on an excess (seconds) that shows pressure, widens it on a calm one.
    void adjust_window(Window& window, double excess, Instant sent) {
        if (excess > kPressedShare * shortest_aim_) {
            window.cut(now_, sent);
        } else if (excess < kCalmShare * shortest_aim_) {
            window.widen();
        }
    }

    // A set-up without an answer for the shortest aim counts as unanswered at once, not only at its time-
    // out, and leaves the window on all set-ups. Otherwise far ends that fall silent together, after cut
    // links or hanging processors, fill that window and hold back all calls to the others until their time-
    // outs. Known limit: in a stampede all set-ups are overdue; each still counts there as late.
    void mark_overdue() {
        while (!recent_set_ups_.empty() &&
               now_ - recent_set_ups_.front().first >= from_seconds(shortest_aim_)) {
            const auto [sent, id] = recent_set_ups_.front();
            recent_set_ups_.pop_front();
            auto at = calls_.find(id);
            if (at == calls_.end() && (at = abandoned_.find(id)) == abandoned_.end()) continue;
            Call& call = at->second;
            if (call.phase != Phase::sent || call.sent != sent) continue;
            leave_windows(call);
            call.overdue = true;
            adjust_own_window(shortest_aim_, sent);
            if (const auto exchange = exchanges_.find(call.sent_to); exchange != exchanges_.end())
                note_no_answer(exchange->second, sent);
        }
    }

    // The pending attempt no longer counts in the windows: it was answered, ended, or overdue before.
    void leave_windows(const Call& call) {
        if (call.overdue) return;
        --own_window_.pending;
        if (const auto exchange = exchanges_.find(call.sent_to); exchange != exchanges_.end())
            --exchange->second.window.pending;
    }

    // Follows the median excess with a bounded step for each answer, so that a minority of slow far ends,
    // however slow, does not look like a slow own processor.
    void adjust_own_window(double excess, Instant sent) {
        const double step = kOwnExcessStep * shortest_aim_;
        own_excess_ += std::clamp(excess - own_excess_, -step, step);
        adjust_window(own_window_, own_excess_, sent);
    }

    // Seconds between two set-ups to one far end at its usual rate, from 1 to kMaxSparseness. Where each of
    // many senders seldom calls a far end, short gaps hold nothing back: the trials of all senders together
    // kept a slow processor full. This holds at any size. Known limit: after a short silence each sender
    // learns later that the far end is back.
    double sparseness() const {
        if (warm_rates_.first <= 0.0) return 1.0;  // no usual rate is known yet
        return std::clamp(1.0 / usual_rate(), 1.0, kMaxSparseness);
    }

    // A set-up had no answer, or a full processor rejected it and may have asked for a wait.
    void note_no_answer(Exchange& exchange, Instant sent, Duration requested_wait = {}) {
        // The gap, too, grows only once for each batch of set-ups.
        const bool is_new = !exchange.trial_back_off.is_active() || sent >= exchange.window.last_cut;
        if (is_new) {
            const double gap_factor = sparseness();
            exchange.trial_back_off.extend(now_, from_seconds(gap_factor * to_seconds(kTrialGapMin)),
                                           from_seconds(gap_factor * to_seconds(kTrialGapMax)));
        }
        exchange.window.cut(now_, sent);
        exchange.trial_back_off.until = std::max(exchange.trial_back_off.until, now_ + requested_wait);
    }

    // ---- Cold budget ----------------------------------------------------------------------------------

    // Whether the processor started so recently that it does not have its full capacity yet.
    bool is_cold(const Exchange& exchange) const {
        return settings_.overload_span > Duration::zero() && exchange.started > Instant{} &&
               now_ - exchange.started < settings_.warm_up_time;
    }

    // The usual rate of set-ups from here to one processor, per second: a mean over the warm processors.
    double usual_rate() const {
        return warm_rates_.first > 0.0 ? warm_rates_.first / warm_rates_.second
                                       : kDefaultRate / settings_.call_control_count;
    }

    // Seconds until a set-up may be sent to the processor; zero: now, always for a warm one. The credit keeps
    // all call controls together from overloading a cold processor: each accrues its share of what the rule
    // allows, in fractions of a set-up, from a random start; what stays unused for more than a span is lost,
    // so that many idle senders cannot send a burst together. The same holds when many processors start at
    // once and in stampedes of redials. Known limit: where the processor is warm long before it must be,
    // calls wait for credit that they do not need.
    double cold_credit_missing(Exchange& exchange) {
        if (!is_cold(exchange)) return 0.0;
        const double passed = to_seconds(now_ - exchange.credited_until);
        const double age = to_seconds(now_ - exchange.started) / to_seconds(settings_.warm_up_time);
        const double present =
            settings_.cold_start_share + (1.0 - settings_.cold_start_share) * std::clamp(age, 0.0, 1.0);
        const double rate =
            kColdMargin * settings_.overload_multiple * present * kWorkPerSetUp * usual_rate();
        exchange.credit += rate * passed;
        exchange.credited_until = now_;
        const double max_credit = 1.0 + rate * kMaxCreditSpans * to_seconds(settings_.overload_span);
        if (exchange.credit > max_credit) exchange.credit -= std::ceil(exchange.credit - max_credit);
        return exchange.credit >= 1.0 ? 0.0 : std::max(1e-6, (1.0 - exchange.credit) / std::max(rate, 1e-3));
    }

    // Counts a set-up to, or through a tandem to, a cold processor.
    void spend_cold_credit(Exchange& exchange) {
        if (is_cold(exchange)) exchange.credit -= 1.0;
    }

    // ---- Call lifecycle ---------------------------------------------------------------------------------

    using Key = std::tuple<bool, double, std::uint64_t, std::uint64_t>;
    // The order of waiting calls: those held for a busy number last, then by worth per circuit, then by turn
    // and by age.
    Key key(const Call& call) const {
        return {call.held_for_number, -call.value / call.width, call.turn, call.order};
    }

    // The turn of a caller's next call: callers take turns, so that one with very many waiting calls holds
    // back its own and not those of others (start-time fair queueing).
    std::uint64_t next_turn(NumberFingerprint caller) {
        std::uint64_t& last_turn = caller == kNoNumber ? last_unnamed_turn_ : last_turns_[caller];
        last_turn = std::max(last_turn, present_turn_) + 1;
        return last_turn;
    }

    // Lets the call wait for a route; the next scan looks at it.
    void start_waiting(Call& call) {
        call.phase = Phase::waiting;
        call.needs_scan = true;
        newly_waiting_ = &call;
        waiting_[key(call)] = &call;
        waiting_by_destination_[call.destination][key(call)] = &call;
        waiting_by_end_[{call.answer_by, call.order}] = &call;
        earliest_end_ = std::min(earliest_end_, call.answer_by);
    }

    // Nothing is done if the call does not wait.
    void stop_waiting(const Call& call) {
        if (waiting_.erase(key(call)) == 0) return;
        if (newly_waiting_ == &call) newly_waiting_ = nullptr;
        const auto same_destination = waiting_by_destination_.find(call.destination);
        same_destination->second.erase(key(call));
        if (same_destination->second.empty()) waiting_by_destination_.erase(same_destination);
        waiting_by_end_.erase({call.answer_by, call.order});
    }

    // Treats a call to the number of a refused one as its redial, until the deadline of its class: the aim
    // runs from the first offer, and what is left of it is often nothing. This works whether callers mark
    // redials or not. Known limit: where many callers dial one number, a new call among them may be treated
    // as late; such calls seldom find a free line.
    void recognise_redial(Call& call, Duration deadline) {
        const auto at = refused_numbers_.find(call.number);
        if (at == refused_numbers_.end()) return;
        if (now_ - at->second < deadline) call.first_offered = at->second;
        refused_numbers_.erase(at);
    }

    // Remembers the number of a refused call, by which its redial is recognised.
    void remember_refused(const Call& call) {
        if (!call.transit && call.number != kNoNumber && refused_numbers_.size() < kMaxRefusedNumbers)
            refused_numbers_.try_emplace(call.number, call.first_offered);
    }

    // The first moment at which the call may have a route, as far as known: a set-up may be sent to the
    // destination's processor (with pools: to one that may serve the call), a busy number may be tried again,
    // and the release of the last attempt is over. Instant::max() if no such processor is in service.
    Instant earliest_route(const Call& call) {
        Instant earliest = Instant::max();
        if (Exchange* direct = in_service(call.destination); direct && has_skill(call, call.destination))
            earliest = earliest_send(*direct);
        if (settings_.uses_pools && earliest > now_)
            for (auto& [number, group] : groups_)
                if (group.in_service && has_skill(call, number))
                    earliest = std::min(earliest, earliest_send(*group.in_service));
        const auto busy = busy_numbers_.find(call.number);
        if (busy != busy_numbers_.end()) earliest = std::max(earliest, busy->second.until);
        return std::max({earliest, call.not_before, now_});
    }

    // Seconds until `width` circuits of a group become free, by the mean holding time. Calls ahead may take
    // these circuits first.
    double time_to_free(const Group& group, int width) const {
        return mean_holding_time_ * width / std::max(1, group.size - group.free);
    }

    // Whether what the call waits for can still become available by its aim: circuits, a processor, a number,
    // the end of the release. Otherwise calls would wait only to be refused later or answered late, while
    // their callers could have tried again. This applies to any fault that closes all routes: exchanges gone,
    // silent or cold. Known limits: a stampede, as refused callers dial again, and calls that are worth much
    // even when late.
    bool can_wait(const Call& call) { return !is_late(call) && earliest_route(call) < call.aim_ends; }

    // Seconds until an excess response time has decayed to calm, if no answer comes.
    double time_to_calm(double excess) const {
        const double calm = kCalmShare * shortest_aim_;
        return excess > calm ? std::log(calm / excess) / std::log(kExcessDecay) : 0.0;
    }

    // How long the caller should wait before dialling again, at most max_pause: until a route may be open,
    // circuits may be free, and the processors here and at the far end may be calm.
    Duration advised_pause(const Call& call) {
        const Instant earliest = earliest_route(call);
        if (earliest == Instant::max()) return settings_.max_pause;
        const Group& direct_group = group_of(call.destination);
        const Exchange* exchange = in_service(call.destination);
        const double seconds =
            std::max({to_seconds(earliest - now_), time_to_calm(own_excess_),
                      exchange ? time_to_calm(exchange->excess()) : 0.0,
                      direct_group.has_free(call.width) ? 0.0 : time_to_free(direct_group, call.width)});
        return std::min(settings_.max_pause, from_seconds(seconds));
    }

    // Gives the call its final answer: refused, or failed where it may have run and must not be repeated.
    // `no_route`: it counts as refused for lack of any route, and a pause may be advised.
    void refuse(Call& call, bool no_route) {
        if (!call.transit) ++decided_calls_;
        if (no_route && !call.transit) ++blocked_calls_;
        stop_waiting(call);
        remember_refused(call);
        if (call.may_have_run &&
            settings_.classes[static_cast<std::size_t>(call.service_class)].repeat != RepeatPolicy::safe) {
            actions_->push_back(Fail{call.id});
        } else {
            const bool advise = settings_.may_advise_pause && !call.transit && no_route;
            actions_->push_back(Refuse{call.id, advise ? advised_pause(call) : Duration::zero()});
        }
        calls_.erase(CallId(call.id));
    }

    // The call no longer counts among the own calls of its group. The number of free circuits does not change
    // here, since load reports bring it.
    void free_circuits(Call& call) {
        if (call.held_group == kNoExchange) return;
        --group_of(call.held_group).own_calls[static_cast<std::size_t>(call.service_class)];
        call.held_group = kNoExchange;
    }

    // Sends or refuses waiting calls, those worth most per circuit first. While one waits for circuits of its
    // direct group, the calls behind it cannot take them. Between two full scans only the calls are looked
    // at for which something changed: those for the far end that the event reported on, or that could use
    // it as a tandem.
    void serve_waiting() {
        if (waiting_.empty()) return;
        const bool full_scan = now_ >= next_scan_ || now_ >= earliest_end_;
        const auto changed = groups_.find(changed_exchange_);
        const bool new_tandem = changed != groups_.end() && changed->second.in_service &&
                                changed->second.has_free_above(reserve(changed->second), 1);
        if (full_scan)
            next_scan_ = now_ + kScanInterval, earliest_end_ = waiting_by_end_.begin()->first.first;
        const bool in_parts = waiting_.size() > kMaxScannedCalls;
        for (Call* call : in_parts ? part_of_waiting(full_scan, full_scan || new_tandem) : all_waiting()) {
            const bool look = full_scan || call->needs_scan || call->destination == changed_exchange_ ||
                              (new_tandem && !call->tandem_tried);
            call->needs_scan = false;
            ++scanned_calls_;
            if (look && !is_number_busy(call->number) && now_ < call->answer_by &&
                try_route(*call, is_behind(*call)))
                continue;
            if (now_ >= call->answer_by || (look && !can_wait(*call))) refuse(*call, true);
        }
        if (!in_parts) return;
        while (!waiting_by_end_.empty() && waiting_by_end_.begin()->first.first <= now_)
            refuse(*waiting_by_end_.begin()->second, true);
        if (!waiting_by_end_.empty()) earliest_end_ = waiting_by_end_.begin()->first.first;
    }

    // Whether a call that is served before this one waits for circuits of the same direct group. One that
    // must not be sent yet, as the exchange has not released its last attempt, holds back nobody.
    bool is_behind(const Call& call) {
        if (group_of(call.destination).size <= 0) return false;
        const Key own_key = key(call);
        std::size_t looked_at = 0;
        for (const auto& [earlier_key, earlier] : waiting_by_destination_.at(call.destination)) {
            if (earlier_key >= own_key || ++looked_at > kMaxScannedCalls) return false;
            const bool may_be_sent = now_ >= earlier->not_before && !is_number_busy(earlier->number);
            if (may_be_sent && !is_late(*earlier)) return true;
        }
        return false;
    }

    std::vector<Call*> all_waiting() const {
        std::vector<Call*> all;
        all.reserve(waiting_.size());
        for (const auto& [key, call] : waiting_) all.push_back(call);
        return all;
    }

    // The calls of which an event may have changed something, a part of each kind: the one that has just
    // begun to wait, those for the far end that it reported on, in a full scan the first ones for each far
    // end, and, if any call may be concerned, those after the ones that were gone through last.
    std::vector<Call*> part_of_waiting(bool full_scan, bool any_call) {
        std::map<Key, Call*> part;
        if (newly_waiting_) part.emplace(key(*newly_waiting_), newly_waiting_);
        if (const auto same = waiting_by_destination_.find(changed_exchange_);
            same != waiting_by_destination_.end()) {
            auto next = same->second.begin();
            for (std::size_t i = 0; i < kScanPart && next != same->second.end(); ++i) part.insert(*next++);
        }
        // The first calls for each far end, since they hold back those behind them.
        for (auto& [number, calls] : waiting_by_destination_) {
            auto first = calls.begin();
            for (std::size_t i = 0; full_scan && i < kScanHeads && first != calls.end(); ++i)
                part.insert(*first++);
        }
        auto next = waiting_.upper_bound(last_scanned_);
        for (std::size_t i = 0; any_call && i < kScanPart; ++i, ++next) {
            if (next == waiting_.end()) next = waiting_.begin();
            last_scanned_ = next->first;
            part.insert(*next);
        }
        std::vector<Call*> calls;
        for (const auto& [key, call] : part) calls.push_back(call);
        return calls;
    }

    // Sets the timer for the next scan or the next end among the waiting calls.
    void arm_timer() {
        if (waiting_.empty()) return;
        const Instant due = std::min(next_scan_, earliest_end_);
        if (timer_at_ > now_ && timer_at_ <= due) return;
        timer_at_ = std::max(due, now_ + Duration(1));
        actions_->push_back(SetTimer{timer_at_ - now_, 1});
    }

    // Drops back-offs that ended more than kBackOffMemory ago: a further refusal starts at the least gap
    // again.
    template <class BackOffs>
    void forget_expired(BackOffs& back_offs) {
        std::erase_if(back_offs,
                      [this](const auto& entry) { return now_ > entry.second.until + kBackOffMemory; });
    }

    // Whether the number was found busy and is not to be tried yet.
    bool is_number_busy(NumberFingerprint number) const {
        const auto at = busy_numbers_.find(number);
        return at != busy_numbers_.end() && now_ < at->second.until;
    }

    // The number was found busy. The table is bounded: a new number replaces the one that ends first.
    void note_busy_number(NumberFingerprint number) {
        if (busy_numbers_.size() >= kMaxBusyNumbers && !busy_numbers_.count(number)) {
            auto oldest = busy_numbers_.begin();
            for (auto at = busy_numbers_.begin(); at != busy_numbers_.end(); ++at)
                if (at->second.until < oldest->second.until) oldest = at;
            busy_numbers_.erase(oldest);
        }
        busy_numbers_[number].extend(now_, kBusyNumberGapMin, kBusyNumberGapMax);
    }

    // Updates what depends on time alone. The multiplier λ rises while more than kBlockedShareAim of the
    // calls are refused for lack of any route, and falls otherwise, never below zero.
    void advance_clock() {
        if (next_multiplier_update_ == Instant{})
            next_multiplier_update_ = now_ + kMultiplierInterval, next_second_ = now_ + seconds(1);
        while (now_ >= next_second_) {
            next_second_ += seconds(1);
            std::pair<double, int> warm{0.0, 0};  // answers, processors
            const double gap_factor = sparseness();
            for (auto& [id, exchange] : exchanges_) {
                if (exchange.number != settings_.own_exchange && exchange.state == ExchangeState::ready &&
                    !is_cold(exchange))
                    warm.first += exchange.answers, ++warm.second;
                // Without answers a long response time would stay for ever, since it holds back the calls
                // that could correct it.
                if (exchange.answers == 0 && exchange.base_response_time >= 0)
                    exchange.response_time = exchange.base_response_time +
                                             std::pow(kExcessDecay, 1.0 / gap_factor) * exchange.excess();
                exchange.answers = 0;
            }
            own_excess_ *= kExcessDecay;  // few answers come through a closed window to correct it
            forget_expired(tandem_back_offs_);
            forget_expired(busy_numbers_);
            std::erase_if(last_turns_, [this](const auto& entry) {
                return waiting_.empty() || entry.second <= present_turn_;
            });
            std::erase_if(refused_numbers_,
                          [this](const auto& entry) { return now_ - entry.second >= longest_deadline_; });
            // Both have the same weight, so that their ratio is right from the first second on.
            const double rate = warm.second > 0 ? warm.first / warm.second : 0.0;
            warm_rates_.first += kRateWeight * (rate - warm_rates_.first);
            warm_rates_.second += kRateWeight * ((warm.second > 0 ? 1.0 : 0.0) - warm_rates_.second);
        }
        while (now_ >= next_multiplier_update_) {
            next_multiplier_update_ += kMultiplierInterval;
            double sizes = 0;
            int known = 0;
            for (const auto& [number, group] : groups_)
                if (group.known && group.size > 0) sizes += group.size, ++known;
            const double blocked_share =
                decided_calls_ > 0 ? static_cast<double>(blocked_calls_) / decided_calls_ : 0.0;
            const double unit = known > 0 ? mean_worth_ * known / sizes : 0.0;
            multiplier_ =
                std::max(0.0, multiplier_ + kMultiplierStep * unit * (blocked_share - kBlockedShareAim));
            decided_calls_ = blocked_calls_ = 0;
        }
    }

    // ---- Events -------------------------------------------------------------------------------------------

    void on(const CallOffered& event) {
        if (calls_.count(event.call) || abandoned_.count(event.call)) return;
        // A call that cannot be served here still gets its one final answer.
        if (event.service_class < 0 ||
            static_cast<std::size_t>(event.service_class) >= settings_.classes.size() || event.width < 1 ||
            event.destination == settings_.own_exchange || !groups_.count(event.destination)) {
            actions_->push_back(Refuse{event.call, Duration::zero()});
            return;
        }
        Call& call = calls_[event.call];
        const ClassSettings& class_settings =
            settings_.classes[static_cast<std::size_t>(event.service_class)];
        call.id = event.call;
        call.service_class = event.service_class;
        call.destination = event.destination;
        call.width = event.width;
        call.advised = event.advised_exchange;
        call.transit = event.transit;
        call.number = fingerprint(event.called_number);
        call.order = ++last_order_;
        call.caller = fingerprint(event.caller);
        if (!call.transit) call.turn = next_turn(call.caller);
        call.value = class_settings.worth;
        call.answer_by =
            now_ + std::max(Duration::zero(), event.time_left - kAnswerMargin - settings_.min_event_interval);
        call.first_offered = now_;
        if (!call.transit) recognise_redial(call, class_settings.deadline);
        call.aim_ends = call.first_offered + class_settings.aim;
        if (call.transit) {
            if (!try_route(call)) refuse(call, false);
            return;
        }
        Group& group = group_of(call.destination);
        const bool fits = group.has_free(call.width);
        const Admission::Arrival arrival{call.service_class,
                                         group.size - group.free,
                                         group.size,
                                         fits,
                                         class_settings.worth - multiplier_ * (group.size - group.free),
                                         &group.own_calls};
        group.admission.learn(arrival);
        bool accept = group.admission.accepts(arrival);
        if (!accept && fits && random_.next() < kExploration) accept = true;
        group.admission.record_decision(arrival, accept);
        if (!accept) return refuse(call, false);
        start_waiting(call);
    }

    void on(const CallAnswered& event) {
        const auto found = calls_.find(event.call);
        if (found == calls_.end() || found->second.phase != Phase::sent) return;
        Call& call = found->second;
        call.phase = Phase::standing;
        leave_windows(call);
        if (!call.transit) ++decided_calls_;
        busy_numbers_.erase(call.number);
        tandem_back_offs_.erase({call.held_group, call.destination});
        if (!call.transit && call.held_group != call.destination)
            rejected_share_ -= kRejectedWeight * rejected_share_;
        group_of(call.destination).last_tandem = call.held_group;
        if (const auto exchange = exchanges_.find(call.sent_to); exchange != exchanges_.end()) {
            changed_exchange_ = exchange->second.number;
            note_answer(exchange->second, event.response_time, call.sent);
        }
    }

    void on(const AttemptEnded& event) {
        update_load(event.exchange, event.load);
        const auto found = calls_.find(event.call);
        if (found == calls_.end()) {
            if (const auto lost = abandoned_.find(event.call); lost != abandoned_.end()) {
                handle_attempt_end(lost->second, event);
                free_circuits(lost->second);
                abandoned_.erase(lost);
            }
            return;
        }
        Call& call = found->second;
        if (call.phase == Phase::waiting) return;
        const int tandem = call.held_group == call.destination ? kNoExchange : call.held_group;
        if (call.phase == Phase::sent) handle_attempt_end(call, event);
        free_circuits(call);
        if (event.final) {
            calls_.erase(found);
            return;
        }
        const bool may_run = event.outcome == Outcome::timed_out || event.outcome == Outcome::reset ||
                             event.outcome == Outcome::cancelled || event.withdrawn;
        if (may_run) call.not_before = now_ + settings_.release_wait;
        call.may_have_run = call.may_have_run || may_run || event.outcome == Outcome::failed;
        const bool again =
            !call.may_have_run ||
            settings_.classes[static_cast<std::size_t>(call.service_class)].repeat == RepeatPolicy::safe;
        if (call.transit || !again || call.attempts >= settings_.max_attempts ||
            call.not_before >= call.answer_by)
            return refuse(call, false);
        call.faulted = call.faulted || (event.outcome == Outcome::failed && event.cause == Cause::none);
        if (event.cause == Cause::number_busy) {
            note_busy_number(call.number);
            call.held_for_number = true;
        }
        // The tandem gets no more calls to this destination for a while: a full second leg cannot be seen
        // from here, and the freest first leg would be tried again and again. The same holds for a tandem
        // that rejects calls for another reason. Known limit: the second leg may empty at once; the gap is
        // short for that reason.
        if (event.outcome == Outcome::rejected && event.cause == Cause::rejected_by_tandem &&
            tandem != kNoExchange) {
            rejected_share_ += kRejectedWeight * (1.0 - rejected_share_);
            tandem_back_offs_[{tandem, call.destination}].extend(now_, kTandemGapMin, kTandemGapMax);
        }
        // The own processor is down: nothing reports when it is back, and the call would use up its attempts
        // if it waited.
        if (event.outcome == Outcome::not_sent && event.cause == Cause::processor_full)
            return refuse(call, true);
        if (event.outcome == Outcome::not_sent)
            call.not_before = std::max(call.not_before, now_ + kScanInterval);
        // Where very many wait, each attempt takes a turn: otherwise the further attempts of one caller's
        // calls, whose turns were long ago, would come before all calls of others.
        if (waiting_.size() > kMaxScannedCalls) call.turn = next_turn(call.caller);
        start_waiting(call);
    }

    // Updates the health of the exchange that the ended attempt was sent to.
    void handle_attempt_end(const Call& call, const AttemptEnded& event) {
        leave_windows(call);
        const auto at = exchanges_.find(call.sent_to);
        if (at == exchanges_.end()) return;
        Exchange& exchange = at->second;
        switch (event.outcome) {
            case Outcome::timed_out:
            case Outcome::unreachable:
                if (!call.overdue) note_no_answer(exchange, call.sent);
                return;
            case Outcome::rejected:
                if (event.cause == Cause::processor_full)
                    return note_no_answer(exchange, call.sent, event.requested_wait);
                return note_answer(exchange, event.response_time, call.sent);
            case Outcome::ended:
            case Outcome::failed:
                return note_answer(exchange, event.response_time, call.sent);
            default:
                return;
        }
    }

    // A call with a pending attempt is kept until that attempt ends, since it counts in the windows.
    void on(const CallAbandoned& event) {
        const auto found = calls_.find(event.call);
        if (found == calls_.end()) return;
        stop_waiting(found->second);
        if (found->second.phase != Phase::standing) remember_refused(found->second);
        if (found->second.phase == Phase::sent) {
            abandoned_[event.call] = found->second;
        } else {
            free_circuits(found->second);
        }
        calls_.erase(found);
    }

    // Applies the group size and the free circuits that an exchange reports.
    void update_load(const ExchangeId& id, const LoadReport& load) {
        const auto at = exchanges_.find(id);
        if (at == exchanges_.end()) return;
        changed_exchange_ = at->second.number;
        if (load.group_size >= 0 && load.free_circuits >= 0) {
            Group& group = group_of(at->second.number);
            group.known = true;
            group.size = load.group_size;
            group.free = std::min(load.free_circuits, load.group_size);
        }
    }

    void on(const ExchangeReport& event) { update_load(event.exchange, event.load); }

    void on(const ExchangeList& event) {
        if (event.kind == ListKind::complete || event.kind == ListKind::cached)
            for (auto& [id, exchange] : exchanges_)
                exchange.state = ExchangeState::gone;  // unless the list has it
        for (const ExchangeEntry& entry : event.entries) {
            if (entry.number < 0) continue;
            group_of(entry.number);
            const auto [at, fresh] = exchanges_.try_emplace(entry.exchange);
            Exchange& exchange = at->second;
            if (fresh || entry.started != exchange.started) {
                const int pending = exchange.window.pending;
                const double base =
                    fresh ? group_of(entry.number).base_response_time : exchange.base_response_time;
                exchange = Exchange{};
                exchange.window.pending = pending;
                exchange.base_response_time = base;
                exchange.credit = random_.next();
                exchange.credited_until = now_;
            }
            exchange.id = entry.exchange;
            exchange.number = entry.number;
            exchange.state = entry.state;
            exchange.started = entry.started;
            exchange.never_tandem = entry.never_tandem;
        }
        std::erase_if(exchanges_, [](const auto& entry) {
            return entry.second.state == ExchangeState::gone && entry.second.window.pending <= 0;
        });
        update_in_service();
        if (settings_.list_on_request && (event.kind == ListKind::cached || event.kind == ListKind::failed))
            actions_->push_back(SetTimer{event.kind == ListKind::failed ? kTrialGapMin : Duration(1), 2});
    }

    void on(const PeerMessage&) {}  // not used

    // Token 2 is for the list. Token 1, of arm_timer, needs nothing: every event serves the waiting calls.
    void on(const TimerExpired& event) {
        if (event.token == 2) actions_->push_back(SubscribeList{true});
    }

    Settings settings_;
    Random random_;
    double shortest_aim_ = 1.0, mean_worth_ = 0.0, mean_holding_time_ = 0.0;  // seconds; worth; seconds
    Duration longest_deadline_{};
    Instant now_{};
    std::vector<Action>* actions_ = nullptr;
    std::map<ExchangeId, Exchange> exchanges_;
    std::map<int, Group> groups_;  // by the number of the exchange or pool
    std::map<CallId, Call> calls_;
    std::map<CallId, Call> abandoned_;                            // abandoned with a pending attempt
    std::map<Key, Call*> waiting_;                                // in the order in which they are served
    std::map<int, std::map<Key, Call*>> waiting_by_destination_;  // the same
    std::map<std::pair<Instant, std::uint64_t>, Call*> waiting_by_end_;  // by answer_by and order
    Call* newly_waiting_ = nullptr;  // the call that began to wait with the present event
    std::uint64_t scanned_calls_ = 0;
    Key last_scanned_{};                                     // where part_of_waiting() goes on
    std::deque<std::pair<Instant, CallId>> recent_set_ups_;  // of the last shortest aim, oldest first
    std::map<NumberFingerprint, BackOff> busy_numbers_;
    std::map<NumberFingerprint, Instant>
        refused_numbers_;  // by number: when the refused call was first offered
    std::map<std::pair<int, int>, BackOff> tandem_back_offs_;  // by tandem and destination
    std::uint64_t last_order_ = 0;
    // The turn of the call that was sent last, and of each caller's last call if it is still to come.
    std::uint64_t present_turn_ = 0, last_unnamed_turn_ = 0;
    std::map<NumberFingerprint, std::uint64_t> last_turns_;
    int changed_exchange_ = kNoExchange;  // the exchange that the current event reported on
    // The next full scan of the waiting calls, and the first moment at which one must have its final answer.
    Instant next_scan_{}, earliest_end_ = Instant::max();
    Instant timer_at_{};  // when the timer that was set last expires
    // Limits all pending set-ups from here. Where the own processor is slow or cold, every set-up waits in
    // its queue, and the windows per far end do not prevent that: there are many, and each lets at least one
    // set-up through. It also limits a stampede that presses all far ends. Known limit: it holds back all
    // calls where most far ends are slow and a few are not.
    Window own_window_{0, kMaxWindow, 2.0 * kMaxWindow};
    double rejected_share_ = 0.0;  // share of tandem calls that were rejected
    double own_excess_ = 0.0;      // seconds: median excess response time
    // Usual set-ups a second to a warm processor, and the weight of that mean.
    std::pair<double, double> warm_rates_{0.0, 0.0};
    double multiplier_ = 0.0;  // λ, worth per busy circuit
    // Calls, without those in transit, that were answered or refused since the last update of the multiplier,
    // and those of them that were refused for lack of any route.
    int decided_calls_ = 0, blocked_calls_ = 0;
    Instant next_multiplier_update_{}, next_second_{};
};

CallControl::CallControl(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
CallControl::~CallControl() = default;
CallControl::CallControl(CallControl&&) noexcept = default;
CallControl& CallControl::operator=(CallControl&&) noexcept = default;

bool CallControl::can_apply(const Settings& settings) const {
    return impl_->can_apply(settings);
}
std::size_t CallControl::avoided_exchange_count() const {
    return impl_->avoided_exchange_count();
}
std::size_t CallControl::table_entry_count() const {
    return impl_->table_entry_count();
}
std::uint64_t CallControl::scanned_calls() const {
    return impl_->scanned_calls();
}
void CallControl::apply(Settings settings) {
    impl_->apply(std::move(settings));
}

void CallControl::handle(Instant now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace nettlestall
