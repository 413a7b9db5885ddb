#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "protocol/feed.hpp"

namespace nettlestall::config {
namespace {

using namespace json;

// The limits, if the file does not have them, and the lowest limit of sockets that is accepted.
constexpr int kDefaultMemoryMb = 192;
constexpr int kDefaultSockets = 1024;
constexpr int kMinSockets = 32;

// A supervisor that stops this process waits for the longest deadline of a service class, at most for
// kSupervisorMaxWait (kSupervisorMaxWaitSuperseded if a successor process has taken over), plus
// kSupervisorExtraWait; then it kills the process. Work has to end kKillMargin before that.
constexpr Duration kSupervisorMaxWait = std::chrono::seconds(3);
constexpr Duration kSupervisorMaxWaitSuperseded = std::chrono::seconds(5);
constexpr Duration kSupervisorExtraWait = std::chrono::milliseconds(700);
constexpr Duration kKillMargin = std::chrono::milliseconds(250);

// Parses a hexadecimal number.
std::uint64_t parse_seed(const std::string& text) {
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        throw_bad_key("seed", "at most 16 hex digits");
    return seed;
}

// Returns `text` if it has the form of an address, a colon and a port. The address itself is not checked.
std::string validate_address(std::string text, const char* key) {
    const auto colon = text.rfind(':');
    int port = -1;
    if (colon != std::string::npos && colon > 0) {
        const auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
        if (error != std::errc{} || end != text.data() + text.size()) port = -1;
    }
    if (port < 0 || port > 65535) throw_bad_key(key, "address:port");
    return text;
}

// Runs `read` and puts the section's name in front of the message of a BadInput that it throws.
template <class F>
void read_section(const char* section, F&& read) {
    try {
        read();
    } catch (const BadInput& problem) {
        throw_bad_input(std::string("in '") + section + "': " + problem.what());
    }
}

}  // namespace

Config parse_config(const std::string& text) {
    rapidjson::Document document;
    document.Parse<rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag>(text.data(),
                                                                                        text.size());
    if (document.HasParseError())
        throw_bad_input("not JSON, at byte " + std::to_string(document.GetErrorOffset()));
    if (!document.IsObject()) throw_bad_input("must be an object");

    Config config;
    config.name = get_or<std::string>(document, "name", "");
    config.listen_address = get_or<std::string>(document, "listen", "");
    if (find(document, "feed"))
        config.feed_address = validate_address(get_required<std::string>(document, "feed"), "feed");
    if (find(document, "operator"))
        config.operators_address =
            validate_address(get_required<std::string>(document, "operator"), "operator");
    config.seed = parse_seed(get_or<std::string>(document, "seed", "1"));
    read_section("limits", [&] {
        const Value& limits = get_container_or_empty(document, "limits", false);
        config.memory_mb = get_or(limits, "memory_mb", kDefaultMemoryMb);
        config.max_sockets = get_or(limits, "sockets", kDefaultSockets);
        if (config.memory_mb < 1) throw_bad_key("memory_mb", "1 or more");
        if (config.max_sockets < kMinSockets) throw_bad_key("sockets", "32 or more");
    });
    const Value& settings = get_container(document, "settings", false);
    read_section("settings", [&] {
        config.settings = read_settings(settings);
        config.net = read_net_settings(settings);
    });
    read_section("known", [&] {
        const Value& known = get_container_or_empty(document, "known", false);
        for (const Value& event : get_container_or_empty(known, "events", true).GetArray())
            config.known_events.push_back(protocol::read_list_event(event));
        const std::int64_t last_number = config.known_events.empty() ? 0 : config.known_events.back().number;
        config.last_event_number = get_or<std::int64_t>(known, "n", last_number);
    });
    return config;
}

// The time from the order to shut down until kKillMargin before the supervisor kills the process. `max_wait`
// limits the part that depends on the deadlines.
static Duration time_before_kill(const Settings& settings, Duration max_wait) {
    Duration longest_deadline{};
    for (const ClassSettings& service_class : settings.classes)
        longest_deadline = std::max(longest_deadline, service_class.deadline);
    return std::min(longest_deadline, max_wait) + kSupervisorExtraWait - kKillMargin;
}

Duration Config::shutdown_time_limit() const {
    return time_before_kill(settings, kSupervisorMaxWait);
}

Duration Config::shutdown_time_limit_superseded() const {
    return time_before_kill(settings, kSupervisorMaxWaitSuperseded);
}

Config load() {
    const char* path = std::getenv("BALANCER_CONFIG");
    if (!path || !*path) throw_bad_input("BALANCER_CONFIG is not set");
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) throw_bad_input(std::string("BALANCER_CONFIG: cannot read ") + path);
    Config config;
    read_section("BALANCER_CONFIG", [&] { config = parse_config(text.str()); });
    if (const char* name = std::getenv("BALANCER_NAME"); name && *name) config.name = name;
    if (const char* listen = std::getenv("BALANCER_LISTEN"); listen && *listen)
        config.listen_address = listen;
    if (const char* address = std::getenv("BALANCER_OPERATOR"); address && *address)
        config.operators_address = validate_address(address, "BALANCER_OPERATOR");
    if (config.listen_address.empty()) throw_bad_input("neither BALANCER_LISTEN nor 'listen' is set");
    config.listen_address = validate_address(config.listen_address, "listen");
    if (const char* folder = std::getenv("TMPDIR"); folder && *folder)
        config.handover_path = std::string(folder) + "/nettlestall-" + config.listen_address + ".sock";
    return config;
}

}  // namespace nettlestall::config
