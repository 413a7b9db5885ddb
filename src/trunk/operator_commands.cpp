#include "trunk/operator_commands.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace nettlestall::trunk {
namespace {

using protocol::OperatorReply;

// The value of `name` in a query such as `circuits=1-4&kind=hard`; std::nullopt if it is missing.
std::optional<std::string_view> parameter(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const auto equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) return pair.substr(std::min(equals + 1, pair.size()));
    }
    return std::nullopt;
}

// The number that makes up the whole text; std::nullopt if it is not one.
template <class T>
std::optional<T> to_number(std::string_view text) {
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

// As operators see it.
const char* name_of(Blocking blocking) {
    return blocking == Blocking::hard ? "hard" : blocking == Blocking::soft ? "soft" : "no";
}

// 16 hex digits.
std::string to_hex(CallRef ref) {
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(ref));
    return digits;
}

}  // namespace

std::optional<CircuitList> parse_circuits(std::string_view text, int circuits) {
    std::set<CircuitNumber> all;
    if (text == "all") {
        for (CircuitNumber n = 1; n <= circuits; ++n) all.insert(n);
    } else {
        do {
            const std::string_view part = text.substr(0, text.find(','));
            text.remove_prefix(std::min(text.size(), part.size() + 1));
            const auto dash = std::min(part.find('-'), part.size());
            const auto first = to_number<int>(part.substr(0, dash));
            const auto last = dash == part.size() ? first : to_number<int>(part.substr(dash + 1));
            if (!first || !last || *first < 1 || *last > circuits || *first > *last) return std::nullopt;
            for (CircuitNumber n = *first; n <= *last; ++n) all.insert(n);
        } while (!text.empty());
    }
    return CircuitList(all.begin(), all.end());
}

std::optional<OperatorReply> OperatorCommands::handle(std::string_view method, std::string_view path,
                                                      std::string_view query) {
    constexpr std::string_view kRoot = "/circuits";
    if (!path.starts_with(kRoot)) return std::nullopt;
    path.remove_prefix(kRoot.size());
    const bool is_get = method == "GET";
    if (path.empty()) return is_get ? OperatorReply{200, list_groups()} : OperatorReply{405, "GET"};
    if (path.front() != '/') return std::nullopt;
    path.remove_prefix(1);
    const std::string_view group = path.substr(0, path.find('/'));
    path.remove_prefix(std::min(path.size(), group.size() + 1));
    const auto id = to_number<std::uint32_t>(group);
    TrunkManager::Trunk* const trunk = id ? manager_.find(*id) : nullptr;
    if (!trunk) return OperatorReply{404, "there is no group " + std::string(group) + "\n"};
    if (path.empty()) {
        if (!is_get) return OperatorReply{405, "GET"};
        return OperatorReply{200, list_circuits(*trunk, parameter(query, "all").value_or("0") == "1")};
    }
    const std::string_view commands[] = {"block", "unblock", "reset", "audit"};
    if (std::find(std::begin(commands), std::end(commands), path) == std::end(commands)) return std::nullopt;
    if (method != "POST") return OperatorReply{405, "POST"};
    return run_command(*trunk, path, query);
}

OperatorReply OperatorCommands::run_command(TrunkManager::Trunk& trunk, std::string_view command,
                                            std::string_view query) {
    if (command == "audit") {
        if (!trunk.group().rules().audit.enabled) return {409, "audits of this group are off\n"};
        trunk.audit();
        return {200, trunk.group().in_service() ? "the audit is under way\n"
                                                : "the audit begins when the link is up again\n"};
    }
    const auto circuits =
        parse_circuits(parameter(query, "circuits").value_or(""), trunk.group().circuits().size());
    if (!circuits) {
        return {400, "'circuits' must be all, or numbers and ranges from 1 to " +
                         std::to_string(trunk.group().circuits().size()) + " such as 1-4,7\n"};
    }
    if (command == "reset") {
        if (!trunk.group().in_service()) return {409, "the link of this group is down\n"};
        trunk.reset(*circuits);
        return {200, "reset under way\n"};
    }
    const std::string_view kind = parameter(query, "kind").value_or("soft");
    if (kind != "soft" && kind != "hard") return {400, "'kind' must be soft or hard\n"};
    if (command == "unblock") {
        trunk.block(*circuits, Blocking::none);
        return {200, "unblocked\n"};
    }
    trunk.block(*circuits, kind == "hard" ? Blocking::hard : Blocking::soft);
    return {200, "blocked\n"};
}

std::string OperatorCommands::list_groups() const {
    std::string text =
        "group exchange far-point link circuits free busy blocked-here blocked-there suspect\n";
    for (const TrunkManager::Trunk* trunk : manager_.trunks()) {
        const Group& g = trunk->group();
        int here = 0, there = 0;
        for (CircuitNumber n = 1; n <= g.circuits().size(); ++n) {
            here += g.circuits().at(n).blocked_here != Blocking::none;
            there += g.circuits().at(n).blocked_there != Blocking::none;
        }
        text += std::to_string(trunk->settings().id) + ' ' + trunk->settings().exchange + ' ' +
                std::to_string(g.rules().point_codes.far) + ' ' +
                (g.in_service()             ? "up"
                 : trunk->session().is_up() ? "settling"
                                            : "down") +
                ' ' + std::to_string(g.circuits().size()) + ' ' + std::to_string(g.free_circuits()) + ' ' +
                std::to_string(g.circuits().busy_count()) + ' ' + std::to_string(here) + ' ' +
                std::to_string(there) + ' ' + std::to_string(g.audits().suspect_count()) + '\n';
    }
    return text;
}

std::string OperatorCommands::list_circuits(const TrunkManager::Trunk& trunk, bool all) const {
    const Group& g = trunk.group();
    std::string text = "circuit state seconds direction call reference blocked-here blocked-there control\n";
    for (CircuitNumber n = 1; n <= g.circuits().size(); ++n) {
        const Circuit& c = g.circuits().at(n);
        if (!all && c.is_free()) continue;
        const Leg* leg = g.leg(c.call);
        const auto age =
            leg ? std::chrono::duration_cast<std::chrono::seconds>(now_() - leg->since).count() : 0;
        text += std::to_string(n) + ' ' + std::string(trunk::name_of(c.state)) + ' ' +
                (leg ? std::to_string(age) + (leg->outgoing ? " out " : " in ") + leg->call
                     : std::string("- - -")) +
                ' ' + (c.call == kNoCall ? std::string("-") : to_hex(c.call)) + ' ' +
                name_of(c.blocked_here) + ' ' + name_of(c.blocked_there) +
                (controls(g.rules().point_codes, n) ? " own\n" : " far\n");
    }
    return text;
}

std::string OperatorCommands::metrics() const {
    std::string text;
    for (const TrunkManager::Trunk* trunk : manager_.trunks()) {
        const std::string prefix = "app.trunk." + std::to_string(trunk->settings().id) + '.';
        const auto line = [&](const char* name, std::uint64_t value, char kind) {
            text += prefix + name + ':' + std::to_string(value) + '|' + kind + '\n';
        };
        const Group& g = trunk->group();
        const GroupCounts& c = g.counts();
        line("up", g.in_service(), 'g');
        line("circuits", static_cast<std::uint64_t>(g.circuits().size()), 'g');
        line("free", static_cast<std::uint64_t>(g.free_circuits()), 'g');
        line("busy", static_cast<std::uint64_t>(g.circuits().busy_count()), 'g');
        line("suspect", static_cast<std::uint64_t>(g.audits().suspect_count()), 'g');
        line("seizures", c.seizures, 'c'), line("taken", c.seizures_accepted, 'c'),
            line("rejected", c.rejected, 'c');
        line("glares", c.glares, 'c'), line("glares_lost", c.glares_lost, 'c');
        line("no_circuit", c.no_circuit, 'c'), line("resets", c.resets, 'c'),
            line("guards", c.release_timeouts, 'c');
        line("audits", g.audits().queries(), 'c'), line("audit_freed", c.audit_freed, 'c');
        line("recovered", c.recovered, 'c'), line("not_recovered", c.not_recovered, 'c');
        line("contradictions", c.contradictions, 'c');
        const LinkCounts& l = trunk->session().counts();
        line("link.resumed", l.resumed, 'c'), line("link.anew", l.restarted, 'c'),
            line("link.repeated", l.repeated, 'c');
        line("link.malformed", l.malformed, 'c'), line("link.mismatched", l.mismatched, 'c');
    }
    return text;
}

}  // namespace nettlestall::trunk
