// The configuration: what is read, what is taken for granted, and that a complaint names the key.
#include "config/config.hpp"

#include <cstdlib>
#include <string>

#include "check.hpp"

using namespace nettlestall;

namespace {

const std::string kSettings =
    R"({"self_index":0,"fleet_size":2,"grades":[{"name":"move","aim_s":2,"deadline_s":9}],)"
    R"("limits":{"send_cap":5},"obligations":{}})";

std::string file(const std::string& more, const std::string& settings = kSettings) {
    return "{" + more + "\"settings\":" + settings + "}";
}

std::string complaint(const std::string& text) {
    try {
        config::parse_config(text);
    } catch (const json::BadInput& problem) {
        return problem.what();
    }
    return "";
}

bool names(const std::string& text, const std::string& key) {
    return complaint(text).find("'" + key + "'") != std::string::npos;
}

void all_is_read() {
    const config::Config c = config::parse_config(file(
        R"("name":"n3","listen":"127.0.0.1:3868","feed":"127.0.0.2:4222","seed":"8c1f30d27a5be964",)"
        R"("limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"n":4,"events":[{"n":3,"members":)"
        R"({"version":1,"full":true,"servers":[)"
        R"({"id":"s","addr":"127.0.0.3:1","cell":1,"state":"active"}]}}]},)"));
    CHECK(c.name == "n3" && c.listen_address == "127.0.0.1:3868" && c.feed_address == "127.0.0.2:4222");
    CHECK(c.seed == 0x8c1f30d27a5be964u && c.memory_mb == 64 && c.max_sockets == 256);
    CHECK(c.last_event_number == 4 && c.known_events.size() == 1 &&
          c.known_events[0].entries[0].entry.number == 1);
    CHECK(c.settings.max_attempts == 5 && c.settings.classes.at(0).aim == std::chrono::seconds(2));
    CHECK(c.net.connect_time_out == std::chrono::milliseconds(500));
}

void what_is_missing_has_its_default() {
    const config::Config c = config::parse_config(file(""));
    CHECK(c.memory_mb == 192 && c.max_sockets == 1024 && c.feed_address.empty() && c.last_event_number == 0 &&
          c.known_events.empty());
}

void a_complaint_names_the_key() {
    CHECK(complaint("{").find("not JSON") == 0);
    CHECK(complaint("[]") == "must be an object");
    CHECK(names("{}", "settings"));
    CHECK(names(file("\"name\":7,"), "name"));
    CHECK(names(file("\"seed\":\"zz\","), "seed"));
    CHECK(names(file("\"operator\":\"nowhere\","), "operator"));
    CHECK(names(file("\"feed\":\"nowhere\","), "feed"));
    CHECK(names(file("\"feed\":\"127.0.0.1:70000\","), "feed"));
    CHECK(names(file("\"limits\":{\"sockets\":4},"), "sockets"));
    CHECK(names(file("\"limits\":{\"memory_mb\":\"much\"},"), "memory_mb"));
    CHECK(names(file("\"known\":{\"events\":[{\"n\":\"x\"}]},"), "n"));
    CHECK(names(file("", R"({"self_index":0,"fleet_size":2,"grades":[],"obligations":{}})"), "limits"));
    CHECK(names(file("", R"({"self_index":0,"fleet_size":2,"grades":[{"name":"m","deadline_s":9}],)"
                         R"("limits":{},"obligations":{}})"),
                "aim_s"));
    CHECK(names(file("", R"({"self_index":0,"fleet_size":2,"grades":[{"name":"m","aim_s":1,"deadline_s":9}],)"
                         R"("limits":{"dial_timeout_s":0},"obligations":{}})"),
                "dial_timeout_s"));
}

void the_environment_names_the_file() {
    unsetenv("BALANCER_CONFIG");
    std::string said;
    try {
        config::load();
    } catch (const json::BadInput& problem) {
        said = problem.what();
    }
    CHECK(said.find("BALANCER_CONFIG") == 0);
}

// Before the kill, which comes 0.7 s after the longest deadline, or after 3.7 s where that is sooner.
void the_end_comes_before_the_kill() {
    using std::chrono::milliseconds;
    config::Config c;
    c.settings.classes.resize(2);
    c.settings.classes[1].deadline = milliseconds(1200);
    CHECK(c.shutdown_time_limit() < milliseconds(1900) && c.shutdown_time_limit() > milliseconds(1500));
    c.settings.classes[0].deadline = milliseconds(9000);
    CHECK(c.shutdown_time_limit() < milliseconds(3700) && c.shutdown_time_limit() > milliseconds(3300));
}

}  // namespace

int main() {
    all_is_read();
    what_is_missing_has_its_default();
    a_complaint_names_the_key();
    the_environment_names_the_file();
    the_end_comes_before_the_kill();
}
