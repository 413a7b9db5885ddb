// The configuration file: keys that are read, defaults, and error messages that name the faulty key.
#include "config/config.hpp"

#include <cstdlib>
#include <string>

#include "check.hpp"

using namespace nettlestall;

namespace {

const std::string kSettings =
    R"({"self_index":0,"fleet_size":2,"grades":[{"name":"move","aim_s":2,"deadline_s":9}],)"
    R"("limits":{"send_cap":5},"obligations":{}})";

std::string config_text(const std::string& keys, const std::string& settings = kSettings) {
    return "{" + keys + "\"settings\":" + settings + "}";
}

// The message of the error that parse_config() throws; empty: none.
std::string error_of(const std::string& text) {
    try {
        config::parse_config(text);
    } catch (const json::BadInput& error) {
        return error.what();
    }
    return "";
}

bool error_names(const std::string& text, const std::string& key) {
    return error_of(text).find("'" + key + "'") != std::string::npos;
}

void reads_every_key() {
    const config::Config parsed = config::parse_config(config_text(
        R"("name":"n3","listen":"127.0.0.1:3868","feed":"127.0.0.2:4222","seed":"8c1f30d27a5be964",)"
        R"("limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"n":4,"events":[{"n":3,"members":)"
        R"({"version":1,"full":true,"servers":[)"
        R"({"id":"s","addr":"127.0.0.3:1","cell":1,"state":"active"}]}}]},)"));
    CHECK(parsed.name == "n3" && parsed.listen_address == "127.0.0.1:3868" &&
          parsed.feed_address == "127.0.0.2:4222");
    CHECK(parsed.seed == 0x8c1f30d27a5be964u && parsed.memory_mb == 64 && parsed.max_sockets == 256);
    CHECK(parsed.last_event_number == 4 && parsed.known_events.size() == 1 &&
          parsed.known_events[0].entries[0].entry.number == 1);
    CHECK(parsed.settings.max_attempts == 5 && parsed.settings.classes.at(0).aim == std::chrono::seconds(2));
    CHECK(parsed.net.connect_time_out == std::chrono::milliseconds(500));
}

void applies_defaults_to_missing_keys() {
    const config::Config parsed = config::parse_config(config_text(""));
    CHECK(parsed.memory_mb == 192 && parsed.max_sockets == 1024 && parsed.feed_address.empty() &&
          parsed.last_event_number == 0 && parsed.known_events.empty());
}

void error_names_the_key() {
    CHECK(error_of("{").find("not JSON") == 0);
    CHECK(error_of("[]") == "must be an object");
    CHECK(error_names("{}", "settings"));
    CHECK(error_names(config_text("\"name\":7,"), "name"));
    CHECK(error_names(config_text("\"seed\":\"zz\","), "seed"));
    CHECK(error_names(config_text("\"operator\":\"nowhere\","), "operator"));
    CHECK(error_names(config_text("\"feed\":\"nowhere\","), "feed"));
    CHECK(error_names(config_text("\"feed\":\"127.0.0.1:70000\","), "feed"));
    CHECK(error_names(config_text("\"limits\":{\"sockets\":4},"), "sockets"));
    CHECK(error_names(config_text("\"limits\":{\"memory_mb\":\"much\"},"), "memory_mb"));
    CHECK(error_names(config_text("\"known\":{\"events\":[{\"n\":\"x\"}]},"), "n"));
    CHECK(error_names(config_text("", R"({"self_index":0,"fleet_size":2,"grades":[],"obligations":{}})"),
                      "limits"));
    CHECK(error_names(
        config_text("", R"({"self_index":0,"fleet_size":2,"grades":[{"name":"m","deadline_s":9}],)"
                        R"("limits":{},"obligations":{}})"),
        "aim_s"));
    CHECK(error_names(
        config_text("", R"({"self_index":0,"fleet_size":2,"grades":[{"name":"m","aim_s":1,"deadline_s":9}],)"
                        R"("limits":{"dial_timeout_s":0},"obligations":{}})"),
        "dial_timeout_s"));
}

void error_names_the_missing_environment_variable() {
    unsetenv("BALANCER_CONFIG");
    std::string message;
    try {
        config::load();
    } catch (const json::BadInput& error) {
        message = error.what();
    }
    CHECK(message.find("BALANCER_CONFIG") == 0);
}

// The process is killed 0.7 s after the longest deadline, or after 3.7 s if that is sooner.
void shutdown_ends_before_the_kill() {
    using std::chrono::milliseconds;
    config::Config config;
    config.settings.classes.resize(2);
    config.settings.classes[1].deadline = milliseconds(1200);
    CHECK(config.shutdown_time_limit() < milliseconds(1900) &&
          config.shutdown_time_limit() > milliseconds(1500));
    config.settings.classes[0].deadline = milliseconds(9000);
    CHECK(config.shutdown_time_limit() < milliseconds(3700) &&
          config.shutdown_time_limit() > milliseconds(3300));
}

}  // namespace

int main() {
    reads_every_key();
    applies_defaults_to_missing_keys();
    error_names_the_key();
    error_names_the_missing_environment_variable();
    shutdown_ends_before_the_kill();
}
