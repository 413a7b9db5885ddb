#include "lab/glare.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>

namespace nettlestall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kMeanHoldingTime = seconds(20), kCallerTimeLimit = seconds(5);
// Interval at which the utilisation and the lost calls are observed; times to free are no more precise.
constexpr Duration kObservationInterval = milliseconds(500);
constexpr Duration kQuietPeriod = minutes(10);  // without new calls and faults, at the end
constexpr Duration kSampleInterval = minutes(10);

// Two hubs that a circuit group joins, by number.
struct HubPair {
    std::uint32_t id;  // of the group
    int hub_a, hub_b;
    std::unique_ptr<Link> link;
};

// A call whose state one end has lost, while the other end may hold its circuits for ever unless an audit
// frees them.
struct LostCall {
    const HubPair* pair;
    trunk::CallRef ref;
    Instant since;
};

double to_seconds(Duration time) {
    return static_cast<double>(time.count()) / 1e6;
}

// The percentile of sorted values; `share` is from 0 to 1. 0 if there are none.
double percentile(std::vector<double>& sorted, double share) {
    if (sorted.empty()) return 0.0;
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::min(sorted.size() - 1, rank == 0 ? 0 : rank - 1)];
}

// One run: the hubs, the links between them, the traffic and the faults.
class Experiment {
   public:
    explicit Experiment(const GlareSettings& settings)
        : settings_(settings),
          traffic_random_(settings.seed),
          fault_random_(settings.seed ^ 0x9e3779b97f4a7c15),
          link_random_(settings.seed ^ 0xc2b2ae3d27d4eb4f),
          party_random_(settings.seed ^ 0x165667b19e3779f9) {
        std::vector<HubSettings> hubs(static_cast<std::size_t>(settings.hubs));
        for (int i = 0; i < settings.hubs; ++i) {
            hubs[index(i)].number = i;
            hubs[index(i)].hub_count = settings.hubs;
            hubs[index(i)].mean_holding_time = kMeanHoldingTime;
            hubs[index(i)].caller_time_limit = kCallerTimeLimit;
            hubs[index(i)].wide_share = settings.wide_share;
        }
        std::uint32_t id = 0;
        for (int a = 0; a < settings.hubs; ++a)
            for (int b = a + 1; b < settings.hubs; ++b) {
                pairs_.push_back({++id, a, b, std::make_unique<Link>(simulation_, link_random_)});
                hubs[index(a)].groups.push_back(make_group_settings(id, a, b));
                hubs[index(b)].groups.push_back(make_group_settings(id, b, a));
            }
        for (HubSettings& hub : hubs)
            hubs_.push_back(std::make_unique<Hub>(simulation_, party_random_, truth_, std::move(hub)));
        for (HubPair& pair : pairs_) {
            hub_at(pair.hub_a).attach_link(pair.id, *pair.link);
            hub_at(pair.hub_b).attach_link(pair.id, *pair.link);
        }
        for (const auto& hub : hubs_) {
            hub->on_far_line_release(
                [this](int to, const CallId& call) { hub_at(to).release_by_line(call); });
            hub->start(settings_.ledgers);
        }
        for (HubPair& pair : pairs_)
            pair.link->attach(hub_at(pair.hub_a).link_end(pair.id), hub_at(pair.hub_b).link_end(pair.id));
    }

    // Runs the traffic, then the quiet period. To be called once.
    GlareResult run() {
        const Instant begin = simulation_.now();
        end_ = begin + Duration(static_cast<std::int64_t>(settings_.hours * 3600e6));
        for (int hub = 0; hub < settings_.hubs; ++hub) place_calls(hub);
        observe();
        record_sample(begin);
        if (settings_.faults) start_faults();
        simulation_.run_until(end_);
        simulation_.run_until(end_ + kQuietPeriod);
        for (const auto& hub : hubs_) add_group_counts(*hub);
        result_.calls = truth_.offered;
        result_.answered = truth_.answered;
        result_.answers_double = truth_.double_answers;
        result_.live_calls_cut = truth_.live_cut_by_audit;
        result_.cut_by_faults = truth_.cut_calls;
        for (const auto& [id, call] : truth_.calls)
            result_.answers_missing += call.caller == CallRecord::CallerState::waiting;
        result_.stuck_circuits = count_stuck();
        std::sort(times_to_free_.begin(), times_to_free_.end());
        result_.time_to_free_p50_s = percentile(times_to_free_, 0.50);
        result_.time_to_free_p99_s = percentile(times_to_free_, 0.99);
        result_.utilisation = observations_ > 0 ? busy_share_sum_ / observations_ : 0.0;
        return result_;
    }

   private:
    static std::size_t index(int hub) { return static_cast<std::size_t>(hub); }
    Hub& hub_at(int hub) { return *hubs_[index(hub)]; }

    // Settings of the group `id` at hub `own`, which leads to hub `far`. Point codes begin with 1.
    trunk::GroupSettings make_group_settings(std::uint32_t id, int own, int far) const {
        trunk::GroupSettings group;
        group.id = id;
        group.exchange = "hub-" + std::to_string(far);
        group.number = far;
        group.rules.point_codes = {own + 1, far + 1};
        group.rules.circuits = settings_.circuits;
        group.rules.hunting = settings_.parity ? trunk::Hunting::own_half : trunk::Hunting::ascending;
        group.rules.audit.enabled = settings_.audits;
        return group;
    }

    bool traffic_ended() const { return simulation_.now() >= end_; }

    // A random hub other than that one.
    int pick_other_hub(int hub) {
        const int to = traffic_random_.draw_below(settings_.hubs - 1);
        return to >= hub ? to + 1 : to;
    }

    // ---- Traffic

    // Places calls from the hub to random other hubs until the traffic ends, at exponentially distributed
    // intervals. Each end of a group offers half of its load; wide calls take two circuits more than others.
    void place_calls(int hub) {
        const double mean_width = 1.0 + settings_.wide_share * 2.0;
        const double per_group =
            settings_.load * settings_.circuits / mean_width / to_seconds(kMeanHoldingTime);
        const double calls_per_second = per_group / 2.0 * (settings_.hubs - 1);
        simulation_.schedule_after(
            traffic_random_.draw_exponential(Duration(static_cast<std::int64_t>(1e6 / calls_per_second))),
            [this, hub] {
                if (traffic_ended()) return;
                hub_at(hub).place_call(pick_other_hub(hub), traffic_random_.draw_bool(settings_.wide_share));
                place_calls(hub);
            });
    }

    // Lets one to three callers at each end of a group call at the same time, every 5 s on average.
    void start_dual_seizures() {
        repeat(seconds(5), [this] {
            const HubPair& pair = pick_pair();
            for (int calls = 1 + fault_random_.draw_below(3); calls > 0; --calls) {
                const bool wide = fault_random_.draw_bool(settings_.wide_share);
                hub_at(pair.hub_a).place_call(pair.hub_b, wide);
                hub_at(pair.hub_b).place_call(pair.hub_a, wide);
            }
        });
    }

    // ---- Faults

    // Runs `fault` at random times, on average every `mean`, until the traffic ends.
    void repeat(Duration mean, std::function<void()> fault) {
        simulation_.schedule_after(fault_random_.draw_exponential(mean),
                                   [this, mean, fault = std::move(fault)] {
                                       if (traffic_ended()) return;
                                       fault();
                                       repeat(mean, fault);
                                   });
    }

    HubPair& pick_pair() { return pairs_[index(fault_random_.draw_below(static_cast<int>(pairs_.size())))]; }
    int pick_hub() { return fault_random_.draw_below(settings_.hubs); }

    // Starts the simultaneous calls, and the faults, at random times: breaks and interruptions of links,
    // crashes, stalls of a hub, extra delay of a link for 20 s, and calls whose state one end loses.
    void start_faults() {
        start_dual_seizures();
        repeat(seconds(70), [this] { ++result_.breaks, pick_pair().link->break_connection(); });
        repeat(seconds(150), [this] { ++result_.cuts, interrupt_region(); });
        if (settings_.crashes) start_crashes();
        repeat(seconds(120), [this] {
            ++result_.stalls;
            hub_at(pick_hub()).stall(fault_random_.draw_between(milliseconds(200), seconds(10)));
        });
        repeat(seconds(200), [this] {
            Link& link = *pick_pair().link;
            link.set_extra_delay(fault_random_.draw_between({}, milliseconds(400)));
            simulation_.schedule_after(seconds(20), [&link] { link.set_extra_delay({}); });
        });
        repeat(seconds(25), [this] { lose_call_state(); });
    }

    // Crashes of one hub, and of both ends of a group.
    void start_crashes() {
        repeat(seconds(240), [this] { crash(pick_hub()); });
        repeat(seconds(900), [this] {  // both ends of a group, so that neither can restore the other's calls
            const HubPair& pair = pick_pair();
            crash(pair.hub_a), crash(pair.hub_b);
        });
    }

    // Interrupts all links between the hubs up to a random number and the others, for 0.5 to 19 s.
    void interrupt_region() {
        const Duration length = fault_random_.draw_between(milliseconds(500), seconds(19));
        const int first = pick_hub();
        for (HubPair& pair : pairs_)
            if ((pair.hub_a <= first) != (pair.hub_b <= first) || settings_.hubs == 2)
                pair.link->interrupt(length);
    }

    // Crashes the hub and starts it again after 0.2 to 6 s, with its ledger in 70 % of the cases if it has
    // one.
    void crash(int hub) {
        if (!hub_at(hub).is_running()) return;
        ++result_.crashes;
        add_group_counts(hub_at(hub));
        hub_at(hub).crash();
        const bool with_ledger = settings_.ledgers && fault_random_.draw_bool(0.7);
        simulation_.schedule_after(fault_random_.draw_between(milliseconds(200), seconds(6)),
                                   [this, hub, with_ledger] { hub_at(hub).start(with_ledger); });
    }

    // One end of a group loses the state of an answered call. A release that is lost for good has the same
    // effect.
    void lose_call_state() {
        const HubPair& pair = pick_pair();
        const int hub = fault_random_.draw_bool(0.5) ? pair.hub_a : pair.hub_b;
        if (!hub_at(hub).is_running()) return;
        trunk::TrunkManager::Trunk& trunk = *hub_at(hub).trunk_manager()->find(pair.id);
        std::vector<trunk::CallRef> standing;
        for (const auto& [ref, leg] : trunk.group().legs())
            if (leg.state == trunk::LegState::standing) standing.push_back(ref);
        if (standing.empty() || !trunk.group().in_service()) return;
        const trunk::CallRef ref =
            standing[index(fault_random_.draw_below(static_cast<int>(standing.size())))];
        ++result_.memory_faults;
        truth_.calls[trunk.group().leg(ref)->call].damaged = true;
        trunk.inject_memory_loss(ref);
        lost_calls_.push_back({&pair, ref, simulation_.now()});
    }

    // ---- Observation

    // True if the hub is running and has that call in the group.
    bool is_held(int hub, std::uint32_t group, trunk::CallRef ref) {
        return hub_at(hub).is_running() && hub_at(hub).trunk_manager()->find(group)->group().leg(ref);
    }

    // Records the time to free of each lost call that neither end holds any more, and the current
    // utilisation.
    void observe() {
        std::erase_if(lost_calls_, [this](const LostCall& lost) {
            if (is_held(lost.pair->hub_a, lost.pair->id, lost.ref) ||
                is_held(lost.pair->hub_b, lost.pair->id, lost.ref))
                return false;
            times_to_free_.push_back(to_seconds(simulation_.now() - lost.since));
            return true;
        });
        if (!traffic_ended()) {
            busy_share_sum_ += measure_busy_share();
            ++observations_;
        }
        if (simulation_.now() < end_ + kQuietPeriod)
            simulation_.schedule_after(kObservationInterval, [this] { observe(); });
    }

    // The share of all circuits that carry answered calls which no fault or crash has damaged, as the first
    // hub of each pair has them. While that hub is not running, the group counts as idle.
    double measure_busy_share() {
        double busy = 0, all = 0;
        for (const HubPair& pair : pairs_) {
            all += settings_.circuits;
            if (!hub_at(pair.hub_a).is_running()) continue;
            for (const auto& [ref, leg] : hub_at(pair.hub_a).trunk_manager()->find(pair.id)->group().legs())
                if (leg.state == trunk::LegState::standing && truth_.calls[leg.call].is_intact())
                    busy += static_cast<double>(leg.circuits.size());
        }
        return busy / all;
    }

    // The number of circuits that are busy at one end at least without an intact call. While there is
    // traffic, these include the circuits of calls that are being set up or released.
    std::uint64_t count_stuck() {
        std::uint64_t stuck = 0;
        for (const HubPair& pair : pairs_)
            for (int n = 1; n <= settings_.circuits; ++n) {
                bool busy = false;
                for (const int hub : {pair.hub_a, pair.hub_b}) {
                    if (!hub_at(hub).is_running()) continue;
                    const trunk::Group& group = hub_at(hub).trunk_manager()->find(pair.id)->group();
                    const trunk::Leg* leg = group.leg(group.circuits().at(n).call);
                    busy |=
                        !group.circuits().at(n).is_idle() && !(leg && truth_.calls[leg->call].is_intact());
                }
                stuck += busy;
            }
        return stuck;
    }

    // Records a sample every kSampleInterval until the traffic ends.
    void record_sample(Instant begin) {
        const double all = static_cast<double>(pairs_.size()) * settings_.circuits;
        result_.samples.push_back({to_seconds(simulation_.now() - begin) / 3600.0,
                                   static_cast<double>(count_stuck()) / all, measure_busy_share()});
        simulation_.schedule_after(kSampleInterval, [this, begin] {
            if (!traffic_ended()) record_sample(begin);
        });
    }

    // Adds the counters of the hub's groups, which end with its process.
    void add_group_counts(Hub& hub) {
        if (!hub.is_running()) return;
        for (const trunk::TrunkManager::Trunk* trunk : hub.trunk_manager()->trunks()) {
            const trunk::GroupCounts& counts = trunk->group().counts();
            result_.seizures += counts.seizures;
            result_.glares += counts.glares_lost;
            result_.audit_freed += counts.audit_freed;
            result_.recovered += counts.recovered;
            result_.guards += counts.release_timeouts;
        }
    }

    GlareSettings settings_;
    Simulation simulation_;
    // Separate random numbers for arrivals, faults, delays, and the behaviour of callers and lines, so that
    // the baselines get the same traffic and the same faults.
    Random traffic_random_, fault_random_, link_random_, party_random_;
    GroundTruth truth_;
    std::vector<HubPair> pairs_;
    std::vector<std::unique_ptr<Hub>> hubs_;
    Instant end_{};
    GlareResult result_;
    std::vector<LostCall> lost_calls_;
    std::vector<double> times_to_free_;
    double busy_share_sum_ = 0, observations_ = 0;
};

}  // namespace

GlareResult run_glare(const GlareSettings& settings) {
    return Experiment(settings).run();
}

std::string to_json(const GlareSettings& settings, const GlareResult& result) {
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> out(text);
    out.SetMaxDecimalPlaces(4);
    const auto count = [&out](const char* name, std::uint64_t value) { out.Key(name), out.Uint64(value); };
    const auto number = [&out](const char* name, double value) { out.Key(name), out.Double(value); };
    out.StartObject();
    out.Key("experiment"), out.String("glare");
    count("seed", settings.seed), number("hours", settings.hours);
    count("hubs", static_cast<std::uint64_t>(settings.hubs));
    out.Key("parity"), out.Bool(settings.parity), out.Key("audits"), out.Bool(settings.audits);
    out.Key("ledgers"), out.Bool(settings.ledgers);
    count("calls", result.calls), count("stood", result.answered);
    count("answers_missing", result.answers_missing), count("answers_double", result.answers_double);
    count("seizures", result.seizures), count("glares", result.glares),
        count("stuck_circuits", result.stuck_circuits);
    count("live_calls_cut", result.live_calls_cut), count("audit_freed", result.audit_freed);
    number("time_to_free_p50_s", result.time_to_free_p50_s),
        number("time_to_free_p99_s", result.time_to_free_p99_s);
    number("utilisation", result.utilisation);
    count("cut_by_faults", result.cut_by_faults), count("recovered", result.recovered),
        count("guards", result.guards);
    count("memory_faults", result.memory_faults), count("breaks", result.breaks), count("cuts", result.cuts);
    count("crashes", result.crashes), count("stalls", result.stalls);
    out.EndObject();
    return text.GetString();
}

}  // namespace nettlestall::lab
