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

constexpr int kDefaultMemoryMb = 192;
constexpr int kDefaultSockets = 1024;
constexpr int kFewestSockets = 32;

// Who orders a restart waits for the longest deadline, up to a limit, and a little more; then it kills.
constexpr Duration kLongestWait = std::chrono::seconds(3);
constexpr Duration kLongestWaitSuperseded = std::chrono::seconds(5);
constexpr Duration kWaitsOn = std::chrono::milliseconds(700);
constexpr Duration kBeforeTheKill = std::chrono::milliseconds(250);

std::uint64_t read_seed(const std::string& text) {
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        throw_bad_key("seed", "at most 16 hex digits");
    return seed;
}

// Only the form is checked here: an address, a colon and a port.
std::string checked_address(std::string text, const char* key) {
    const auto colon = text.rfind(':');
    int port = -1;
    if (colon != std::string::npos && colon > 0) {
        const auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
        if (error != std::errc{} || end != text.data() + text.size()) port = -1;
    }
    if (port < 0 || port > 65535) throw_bad_key(key, "address:port");
    return text;
}

// Runs `read` and puts the place before its complaint.
template <class F>
void within(const char* place, F&& read) {
    try {
        read();
    } catch (const BadInput& problem) {
        throw_bad_input(std::string("in '") + place + "': " + problem.what());
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

    Config c;
    c.name = get_or<std::string>(document, "name", "");
    c.listen_address = get_or<std::string>(document, "listen", "");
    if (find(document, "feed"))
        c.feed_address = checked_address(get_required<std::string>(document, "feed"), "feed");
    if (find(document, "operator"))
        c.operators_address = checked_address(get_required<std::string>(document, "operator"), "operator");
    c.seed = read_seed(get_or<std::string>(document, "seed", "1"));
    within("limits", [&] {
        const Value& limits = get_container_or_empty(document, "limits", false);
        c.memory_mb = get_or(limits, "memory_mb", kDefaultMemoryMb);
        c.max_sockets = get_or(limits, "sockets", kDefaultSockets);
        if (c.memory_mb < 1) throw_bad_key("memory_mb", "1 or more");
        if (c.max_sockets < kFewestSockets) throw_bad_key("sockets", "32 or more");
    });
    const Value& settings = get_container(document, "settings", false);
    within("settings", [&] {
        c.settings = read_settings(settings);
        c.net = read_net_settings(settings);
    });
    within("known", [&] {
        const Value& known = get_container_or_empty(document, "known", false);
        for (const Value& event : get_container_or_empty(known, "events", true).GetArray())
            c.known_events.push_back(protocol::read_list_event(event));
        const std::int64_t last = c.known_events.empty() ? 0 : c.known_events.back().number;
        c.last_event_number = get_or<std::int64_t>(known, "n", last);
    });
    return c;
}

static Duration before_the_kill(const Settings& settings, Duration longest_wait) {
    Duration longest{};
    for (const ClassSettings& c : settings.classes) longest = std::max(longest, c.deadline);
    return std::min(longest, longest_wait) + kWaitsOn - kBeforeTheKill;
}

Duration Config::shutdown_time_limit() const {
    return before_the_kill(settings, kLongestWait);
}

Duration Config::shutdown_time_limit_superseded() const {
    return before_the_kill(settings, kLongestWaitSuperseded);
}

Config load() {
    const char* path = std::getenv("BALANCER_CONFIG");
    if (!path || !*path) throw_bad_input("BALANCER_CONFIG is not set");
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) throw_bad_input(std::string("BALANCER_CONFIG: cannot read ") + path);
    Config c;
    within("BALANCER_CONFIG", [&] { c = parse_config(text.str()); });
    if (const char* name = std::getenv("BALANCER_NAME"); name && *name) c.name = name;
    if (const char* listen = std::getenv("BALANCER_LISTEN"); listen && *listen) c.listen_address = listen;
    if (const char* at = std::getenv("BALANCER_OPERATOR"); at && *at)
        c.operators_address = checked_address(at, "BALANCER_OPERATOR");
    if (c.listen_address.empty()) throw_bad_input("neither BALANCER_LISTEN nor 'listen' is set");
    c.listen_address = checked_address(c.listen_address, "listen");
    if (const char* folder = std::getenv("TMPDIR"); folder && *folder)
        c.handover_path = std::string(folder) + "/nettlestall-" + c.listen_address + ".sock";
    return c;
}

}  // namespace nettlestall::config
