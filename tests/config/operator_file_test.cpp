// The operator's file, and the log's lines: what is right is taken, what is wrong is told with its place.
#include "config/operator_file.hpp"

#include <fstream>

#include "config/json.hpp"
#include "log/log.hpp"
#include "net/check.hpp"

using namespace nettlestall;
using namespace nettlestall::config;
using namespace std::chrono_literals;

namespace {

std::string complaint(const std::string& text) {
    try {
        parse_operator_file(text, "f.xml");
    } catch (const json::BadInput& problem) {
        return problem.what();
    }
    return "";
}

std::string trunk(const std::string& groups, const std::string& attributes = "point=\"10\" number=\"1\"") {
    return "<nettlestall>\n<trunk " + attributes + ">\n" + groups + "\n</trunk>\n</nettlestall>";
}
const std::string kGroup =
    R"(<group id="7" exchange="hub-2" number="2" far-point="20" circuits="30" dial="127.0.0.1:7002">)";

void nothing_is_on_by_default() {
    const OperatorFile file = parse_operator_file("<nettlestall/>", "f.xml");
    CHECK(!file.trunk && !file.log.json && file.log.level == "info");
}

void what_is_right_is_taken() {
    const OperatorFile file = parse_operator_file(
        R"(<nettlestall><trunk point="10" number="1" listen="[::1]:7001" ledger="/var/l">)"
        R"(<lines exchange="l" number="1" address="127.0.0.1:7100"/>)" +
            kGroup +
            R"(<times hold-s="12.5"/><audit on="false" every-s="9"/></group></trunk>)"
            R"(<log format="json" level="debug"/></nettlestall>)",
        "f.xml");
    CHECK(file.log.json && file.log.level == "debug" && file.trunk->listen_address == "[::1]:7001");
    CHECK(file.trunk->ledger_folder == "/var/l" && file.trunk->lines.size() == 1 &&
          file.trunk->lines[0].entry.lines_only);
    const auto& g = file.trunk->groups.at(0);
    CHECK(g.dial_address == "127.0.0.1:7002" && g.settings.rules.ends.own == 10 &&
          g.settings.rules.ends.far == 20);
    CHECK(g.settings.rules.hold == 12500ms && g.settings.rules.release_guard == 4s &&
          !g.settings.rules.audit.on);
    CHECK(g.settings.rules.audit.every == 9s && g.settings.rules.audit.confirmations == 2);
}

void what_is_wrong_is_told_with_its_place() {
    const auto tells = [](const std::string& text, std::initializer_list<const char*> parts) {
        const std::string told = complaint(text);
        for (const char* part : parts) {
            if (told.find(part) == std::string::npos) std::cerr << told << " lacks " << part << '\n';
            CHECK(told.find(part) != std::string::npos);
        }
    };
    tells("", {"f.xml:"});
    tells("<nettlestall>", {"f.xml:1:"});
    tells("<other/>", {"f.xml:1: <other>"});
    tells("<nettlestall>\n<grop/></nettlestall>", {"f.xml:2: <grop>", "not expected"});
    tells(trunk(""), {"f.xml:2: <trunk>", "group"});
    tells(trunk("<group id=\"1\"/>"), {"f.xml:3: <group>", "'circuits' is required"});
    tells(trunk(kGroup + "<audit every-s=\"0\"/></group>"), {"f.xml:3: <audit>", "every-s", "0.05"});
    tells(trunk(kGroup + "</group>", "point=\"20000\" number=\"1\""), {"f.xml:2: <trunk>", "16383"});
    tells(trunk(kGroup + "</group>\n" + kGroup + "</group>"),
          {"f.xml:4: <group>: attribute 'id': '7' is another group's", "'exchange'", "'number'"});
    tells(trunk(kGroup + "</group>", "point=\"20\" number=\"1\""), {"is this hub's own point"});
    tells(trunk(kGroup + "</group>", "point=\"30\" number=\"1\""),
          {"'dial' is not expected", "f.xml:2: <trunk>: attribute 'listen' is expected"});
    tells(trunk("<group id=\"7\" exchange=\"a\" number=\"2\" far-point=\"20\" circuits=\"3\"/>"),
          {"'dial' is expected"});
    tells(trunk(kGroup + "<audit every-s=\"1\"/></group>"), {"'patience-s' of at most 'every-s'"});
    tells(trunk(kGroup + "</group>", "point=\"10\" number=\"1\" listen=\"127.0.0.300:1\""),
          {"'listen'", "65535"});
    // Two at once, and neither entities nor other files.
    tells(trunk("<group id=\"x\"/>\n<lines/>"), {"f.xml:3:", "f.xml:4:"});
    tells("<!DOCTYPE a [<!ENTITY b SYSTEM \"/etc/hostname\">]><nettlestall>&b;</nettlestall>", {"f.xml:1:"});
}

void garbage_is_no_file() {
    test::Random dice{11};
    const std::string good = trunk(kGroup + "<audit every-s=\"9\"/></group>");
    for (int i = 0; i < 3000; ++i) {
        std::string bent = good;
        for (std::size_t n = 1 + dice.below(4); n > 0; --n)
            bent[dice.below(bent.size())] = static_cast<char>(dice.below(256));
        if (dice.below(3) == 0) bent.resize(dice.below(bent.size()));
        complaint(bent);  // told or taken; nothing else
    }
}

void only_times_change_in_service() {
    const auto read = [](const std::string& text) { return parse_operator_file(text, "f.xml"); };
    const OperatorFile before = read(trunk(kGroup + "</group>"));
    CHECK(find_restart_reason(before, read(trunk(kGroup + "<times hold-s=\"9\"/></group>"))).empty());
    CHECK(!find_restart_reason(before, read(trunk(kGroup + "</group>", "point=\"9\" number=\"1\""))).empty());
    CHECK(!find_restart_reason(before, read("<nettlestall/>")).empty());
    CHECK(
        find_restart_reason(read("<nettlestall/>"), read("<nettlestall><log format=\"json\"/></nettlestall>"))
            .empty());
}

void log_lines_are_json_whatever_they_hold() {
    using namespace log;
    CHECK(format_json("T", Level::info, "text", "c1") ==
          R"({"time":"T","level":"info","call":"c1","text":"text"})");
    CHECK(format_json("T", Level::error, "a\"b\n\xff", "") ==
          R"({"time":"T","level":"error","text":"a\"b\\x0a\\xff"})");
    CHECK(parse_level("warning") == Level::warning && parse_level("none") == Level::info);
}

}  // namespace

int main() {
    nothing_is_on_by_default();
    what_is_right_is_taken();
    what_is_wrong_is_told_with_its_place();
    garbage_is_no_file();
    only_times_change_in_service();
    log_lines_are_json_whatever_they_hold();
}
