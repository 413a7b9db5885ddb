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

constexpr Duration kHolding = seconds(20), kPatience = seconds(5);
constexpr Duration kLook = milliseconds(500);
constexpr Duration kQuiet = minutes(10);  // without new calls and faults, at the end
constexpr Duration kSample = minutes(10);

struct Pair {  // a group between two hubs
    std::uint32_t id;
    int a, b;
    std::unique_ptr<Wire> wire;
};

struct Damage {  // what one end has forgotten and the other may hold for ever
    const Pair* pair;
    trunk::CallRef ref;
    Instant since;
};

double seconds_of(Duration time) {
    return static_cast<double>(time.count()) / 1e6;
}

double share_of(std::vector<double>& sorted, double share) {
    if (sorted.empty()) return 0.0;
    const auto at = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::min(sorted.size() - 1, at == 0 ? 0 : at - 1)];
}

class Experiment {
   public:
    explicit Experiment(const GlareSettings& settings)
        : settings_(settings),
          chance_(settings.seed),
          faults_(settings.seed ^ 0x9e3779b97f4a7c15),
          wires_(settings.seed ^ 0xc2b2ae3d27d4eb4f),
          people_(settings.seed ^ 0x165667b19e3779f9) {
        std::vector<HubSettings> hubs(static_cast<std::size_t>(settings.hubs));
        for (int i = 0; i < settings.hubs; ++i) {
            hubs[index(i)].number = i;
            hubs[index(i)].hubs = settings.hubs;
            hubs[index(i)].holding = kHolding;
            hubs[index(i)].patience = kPatience;
            hubs[index(i)].wide_share = settings.wide_share;
        }
        std::uint32_t id = 0;
        for (int a = 0; a < settings.hubs; ++a)
            for (int b = a + 1; b < settings.hubs; ++b) {
                pairs_.push_back({++id, a, b, std::make_unique<Wire>(simulation_, wires_)});
                hubs[index(a)].groups.push_back(group(id, a, b));
                hubs[index(b)].groups.push_back(group(id, b, a));
            }
        for (HubSettings& hub : hubs)
            hubs_.push_back(std::make_unique<Hub>(simulation_, people_, truth_, std::move(hub)));
        for (Pair& pair : pairs_) {
            at(pair.a).connect(pair.id, *pair.wire);
            at(pair.b).connect(pair.id, *pair.wire);
        }
        for (const auto& hub : hubs_) {
            hub->on_line_end([this](int to, const CallId& call) { at(to).line_hangs_up(call); });
            hub->start(settings_.ledgers);
        }
        for (Pair& pair : pairs_) pair.wire->join(at(pair.a).end(pair.id), at(pair.b).end(pair.id));
    }

    GlareResult run() {
        const Instant begin = simulation_.now();
        end_ = begin + Duration(static_cast<std::int64_t>(settings_.hours * 3600e6));
        for (int hub = 0; hub < settings_.hubs; ++hub) place_calls(hub);
        look();
        sample(begin);
        if (settings_.faults) start_faults();
        simulation_.run_until(end_);
        simulation_.run_until(end_ + kQuiet);
        for (const auto& hub : hubs_) add_counts(*hub);
        result_.calls = truth_.offered;
        result_.stood = truth_.stood;
        result_.answers_double = truth_.answers_double;
        result_.live_calls_cut = truth_.live_cut_by_audit;
        result_.cut_by_faults = truth_.cut;
        for (const auto& [id, call] : truth_.calls)
            result_.answers_missing += call.caller == TrueCall::Caller::waits;
        result_.stuck_circuits = count_stuck();
        std::sort(times_to_free_.begin(), times_to_free_.end());
        result_.time_to_free_p50_s = share_of(times_to_free_, 0.50);
        result_.time_to_free_p99_s = share_of(times_to_free_, 0.99);
        result_.utilisation = looks_ > 0 ? busy_ / looks_ : 0.0;
        return result_;
    }

   private:
    static std::size_t index(int hub) { return static_cast<std::size_t>(hub); }
    Hub& at(int hub) { return *hubs_[index(hub)]; }

    trunk::GroupSettings group(std::uint32_t id, int own, int far) const {
        trunk::GroupSettings g;
        g.id = id;
        g.exchange = "hub-" + std::to_string(far);
        g.number = far;
        g.rules.point_codes = {own + 1, far + 1};
        g.rules.circuits = settings_.circuits;
        g.rules.hunting = settings_.parity ? trunk::Hunting::own_half : trunk::Hunting::ascending;
        g.rules.audit.enabled = settings_.audits;
        return g;
    }

    bool over() const { return simulation_.now() >= end_; }

    int other_hub(int hub) {
        const int to = chance_.below(settings_.hubs - 1);
        return to >= hub ? to + 1 : to;
    }

    // ---- Traffic

    void place_calls(int hub) {
        const double width = 1.0 + settings_.wide_share * 2.0;
        const double per_group = settings_.load * settings_.circuits / width / seconds_of(kHolding);
        const double each_second = per_group / 2.0 * (settings_.hubs - 1);
        simulation_.after(chance_.exponential(Duration(static_cast<std::int64_t>(1e6 / each_second))),
                          [this, hub] {
                              if (over()) return;
                              at(hub).place_call(other_hub(hub), chance_.once_in(settings_.wide_share));
                              place_calls(hub);
                          });
    }

    // Both ends of a group at one moment.
    void seize_at_once() {
        every(seconds(5), [this] {
            const Pair& pair = any_pair();
            for (int calls = 1 + faults_.below(3); calls > 0; --calls) {
                const bool wide = faults_.once_in(settings_.wide_share);
                at(pair.a).place_call(pair.b, wide);
                at(pair.b).place_call(pair.a, wide);
            }
        });
    }

    // ---- Faults

    void every(Duration mean, std::function<void()> fault) {
        simulation_.after(faults_.exponential(mean), [this, mean, fault = std::move(fault)] {
            if (over()) return;
            fault();
            every(mean, fault);
        });
    }

    Pair& any_pair() { return pairs_[index(faults_.below(static_cast<int>(pairs_.size())))]; }
    int any_hub() { return faults_.below(settings_.hubs); }

    void start_faults() {
        seize_at_once();
        every(seconds(70), [this] { ++result_.breaks, any_pair().wire->break_off(); });
        every(seconds(150), [this] { ++result_.cuts, cut_region(); });
        if (settings_.crashes) start_crashes();
        every(seconds(120), [this] {
            ++result_.stalls;
            at(any_hub()).stall(faults_.between(milliseconds(200), seconds(10)));
        });
        every(seconds(200), [this] {
            Wire& wire = *any_pair().wire;
            wire.slow_down(faults_.between({}, milliseconds(400)));
            simulation_.after(seconds(20), [&wire] { wire.slow_down({}); });
        });
        every(seconds(25), [this] { lose_memory(); });
    }

    void start_crashes() {
        every(seconds(240), [this] { crash(any_hub()); });
        every(seconds(900), [this] {  // both ends of a group, so that neither remembers for the other
            const Pair& pair = any_pair();
            crash(pair.a), crash(pair.b);
        });
    }

    // A region of some hubs loses the others for up to 19 s.
    void cut_region() {
        const Duration length = faults_.between(milliseconds(500), seconds(19));
        const int first = any_hub();
        for (Pair& pair : pairs_)
            if ((pair.a <= first) != (pair.b <= first) || settings_.hubs == 2) pair.wire->cut(length);
    }

    void crash(int hub) {
        if (!at(hub).alive()) return;
        ++result_.crashes;
        add_counts(at(hub));
        at(hub).crash();
        const bool with_ledger = settings_.ledgers && faults_.once_in(0.7);
        simulation_.after(faults_.between(milliseconds(200), seconds(6)),
                          [this, hub, with_ledger] { at(hub).start(with_ledger); });
    }

    // One end drops what it knows of a standing call: a release that is lost for good looks the same.
    void lose_memory() {
        const Pair& pair = any_pair();
        const int hub = faults_.once_in(0.5) ? pair.a : pair.b;
        if (!at(hub).alive()) return;
        trunk::TrunkManager::Trunk& trunk = *at(hub).front()->find(pair.id);
        std::vector<trunk::CallRef> standing;
        for (const auto& [ref, leg] : trunk.group().legs())
            if (leg.state == trunk::LegState::standing) standing.push_back(ref);
        if (standing.empty() || !trunk.group().in_service()) return;
        const trunk::CallRef ref = standing[index(faults_.below(static_cast<int>(standing.size())))];
        ++result_.memory_faults;
        truth_.calls[trunk.group().leg(ref)->call].damaged = true;
        trunk.inject_memory_loss(ref);
        damages_.push_back({&pair, ref, simulation_.now()});
    }

    // ---- What is seen

    bool held(int hub, std::uint32_t group, trunk::CallRef ref) {
        return at(hub).alive() && at(hub).front()->find(group)->group().leg(ref);
    }

    void look() {
        std::erase_if(damages_, [this](const Damage& damage) {
            if (held(damage.pair->a, damage.pair->id, damage.ref) ||
                held(damage.pair->b, damage.pair->id, damage.ref))
                return false;
            times_to_free_.push_back(seconds_of(simulation_.now() - damage.since));
            return true;
        });
        if (!over()) {
            busy_ += busy_share();
            ++looks_;
        }
        if (simulation_.now() < end_ + kQuiet) simulation_.after(kLook, [this] { look(); });
    }

    // Standing calls that neither fault nor crash has robbed of an end, over all circuits.
    double busy_share() {
        double busy = 0, all = 0;
        for (const Pair& pair : pairs_) {
            all += settings_.circuits;
            if (!at(pair.a).alive()) continue;
            for (const auto& [ref, leg] : at(pair.a).front()->find(pair.id)->group().legs())
                if (leg.state == trunk::LegState::standing && truth_.calls[leg.call].live())
                    busy += static_cast<double>(leg.circuits.size());
        }
        return busy / all;
    }

    // Circuits held at one end or both for a call that is over, or that has lost an end.
    std::uint64_t count_stuck() {
        std::uint64_t stuck = 0;
        for (const Pair& pair : pairs_)
            for (int n = 1; n <= settings_.circuits; ++n) {
                bool busy = false;
                for (const int hub : {pair.a, pair.b}) {
                    if (!at(hub).alive()) continue;
                    const trunk::Group& g = at(hub).front()->find(pair.id)->group();
                    const trunk::Leg* leg = g.leg(g.circuits().at(n).call);
                    busy |= !g.circuits().at(n).is_idle() && !(leg && truth_.calls[leg->call].live());
                }
                stuck += busy;
            }
        return stuck;
    }

    void sample(Instant begin) {
        const double all = static_cast<double>(pairs_.size()) * settings_.circuits;
        result_.samples.push_back({seconds_of(simulation_.now() - begin) / 3600.0,
                                   static_cast<double>(count_stuck()) / all, busy_share()});
        simulation_.after(kSample, [this, begin] {
            if (!over()) sample(begin);
        });
    }

    void add_counts(Hub& hub) {
        if (!hub.alive()) return;
        for (const trunk::TrunkManager::Trunk* trunk : hub.front()->trunks()) {
            const trunk::GroupCounts& c = trunk->group().counts();
            result_.seizures += c.seizures;
            result_.glares += c.glares_lost;
            result_.audit_freed += c.audit_freed;
            result_.recovered += c.recovered;
            result_.guards += c.release_timeouts;
        }
    }

    GlareSettings settings_;
    Simulation simulation_;
    // Of arrivals, faults, delays, and callers and lines, each by itself: the same traffic and the same
    // faults meet each baseline.
    Chance chance_, faults_, wires_, people_;
    Truth truth_;
    std::vector<Pair> pairs_;
    std::vector<std::unique_ptr<Hub>> hubs_;
    Instant end_{};
    GlareResult result_;
    std::vector<Damage> damages_;
    std::vector<double> times_to_free_;
    double busy_ = 0, looks_ = 0;
};

}  // namespace

GlareResult run_glare(const GlareSettings& settings) {
    return Experiment(settings).run();
}

std::string to_json(const GlareSettings& settings, const GlareResult& r) {
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
    count("calls", r.calls), count("stood", r.stood);
    count("answers_missing", r.answers_missing), count("answers_double", r.answers_double);
    count("seizures", r.seizures), count("glares", r.glares), count("stuck_circuits", r.stuck_circuits);
    count("live_calls_cut", r.live_calls_cut), count("audit_freed", r.audit_freed);
    number("time_to_free_p50_s", r.time_to_free_p50_s), number("time_to_free_p99_s", r.time_to_free_p99_s);
    number("utilisation", r.utilisation);
    count("cut_by_faults", r.cut_by_faults), count("recovered", r.recovered), count("guards", r.guards);
    count("memory_faults", r.memory_faults), count("breaks", r.breaks), count("cuts", r.cuts);
    count("crashes", r.crashes), count("stalls", r.stalls);
    out.EndObject();
    return text.GetString();
}

}  // namespace nettlestall::lab
