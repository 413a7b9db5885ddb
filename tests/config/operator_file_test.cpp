// The operator's file: values and defaults that are read, errors with their place, and what a reload can
// change. Also the log's JSON lines and level names.
#include "config/operator_file.hpp"

#include <fstream>

#include "config/json.hpp"
#include "log/log.hpp"
#include "net/check.hpp"

using namespace nettlestall;
using namespace nettlestall::config;
using namespace std::chrono_literals;

namespace {

// The errors that the text gives; empty: none.
std::string errors_of(const std::string& text) {
    try {
        parse_operator_file(text, "f.xml");
    } catch (const json::BadInput& problem) {
        return problem.what();
    }
    return "";
}

// A file with one <trunk>, on line 2; its children begin on line 3.
std::string trunk(const std::string& groups, const std::string& attributes = "point=\"10\" number=\"1\"") {
    return "<nettlestall>\n<trunk " + attributes + ">\n" + groups + "\n</trunk>\n</nettlestall>";
}
const std::string kGroup =
    R"(<group id="7" exchange="hub-2" number="2" far-point="20" circuits="30" dial="127.0.0.1:7002">)";

void empty_file_leaves_features_off() {
    const OperatorFile file = parse_operator_file("<nettlestall/>", "f.xml");
    CHECK(!file.trunk && !file.log.json && file.log.level == "info");
}

void valid_values_are_read() {
    const OperatorFile file = parse_operator_file(
        R"(<nettlestall><trunk point="10" number="1" listen="[::1]:7001" ledger="/var/l">)"
        R"(<lines exchange="l" number="1" address="127.0.0.1:7100"/>)" +
            kGroup +
            R"(<times hold-s="12.5"/><audit on="false" every-s="9"/></group></trunk>)"
            R"(<log format="json" level="debug"/></nettlestall>)",
        "f.xml");
    CHECK(file.log.json && file.log.level == "debug" && file.trunk->listen_address == "[::1]:7001");
    CHECK(file.trunk->ledger_folder == "/var/l" && file.trunk->lines.size() == 1 &&
          file.trunk->lines[0].entry.never_tandem);
    const auto& group = file.trunk->groups.at(0);
    CHECK(group.dial_address == "127.0.0.1:7002" && group.settings.rules.point_codes.own == 10 &&
          group.settings.rules.point_codes.far == 20);
    CHECK(group.settings.rules.link_down_hold == 12500ms && group.settings.rules.release_guard == 4s &&
          !group.settings.rules.audit.enabled);
    CHECK(group.settings.rules.audit.interval == 9s && group.settings.rules.audit.confirmations == 2);
}

void errors_name_line_and_element() {
    const auto check_errors = [](const std::string& text, std::initializer_list<const char*> parts) {
        const std::string errors = errors_of(text);
        for (const char* part : parts) {
            if (errors.find(part) == std::string::npos) std::cerr << errors << " lacks " << part << '\n';
            CHECK(errors.find(part) != std::string::npos);
        }
    };
    check_errors("", {"f.xml:"});
    check_errors("<nettlestall>", {"f.xml:1:"});
    check_errors("<other/>", {"f.xml:1: <other>"});
    check_errors("<nettlestall>\n<grop/></nettlestall>", {"f.xml:2: <grop>", "not expected"});
    check_errors(trunk(""), {"f.xml:2: <trunk>", "group"});
    check_errors(trunk("<group id=\"1\"/>"), {"f.xml:3: <group>", "'circuits' is required"});
    check_errors(trunk(kGroup + "<audit every-s=\"0\"/></group>"), {"f.xml:3: <audit>", "every-s", "0.05"});
    check_errors(trunk(kGroup + "</group>", "point=\"20000\" number=\"1\""), {"f.xml:2: <trunk>", "16383"});
    check_errors(trunk(kGroup + "</group>\n" + kGroup + "</group>"),
                 {"f.xml:4: <group>: attribute 'id': '7' is another group's", "'exchange'", "'number'"});
    check_errors(trunk(kGroup + "</group>", "point=\"20\" number=\"1\""), {"is this hub's own point"});
    check_errors(trunk(kGroup + "</group>", "point=\"30\" number=\"1\""),
                 {"'dial' is not expected", "f.xml:2: <trunk>: attribute 'listen' is expected"});
    check_errors(trunk("<group id=\"7\" exchange=\"a\" number=\"2\" far-point=\"20\" circuits=\"3\"/>"),
                 {"'dial' is expected"});
    check_errors(trunk(kGroup + "<audit every-s=\"1\"/></group>"), {"'patience-s' of at most 'every-s'"});
    check_errors(trunk(kGroup + "</group>", "point=\"10\" number=\"1\" listen=\"127.0.0.300:1\""),
                 {"'listen'", "65535"});
    // Two errors are reported at once; document types, and with them external entities, are refused.
    check_errors(trunk("<group id=\"x\"/>\n<lines/>"), {"f.xml:3:", "f.xml:4:"});
    check_errors("<!DOCTYPE a [<!ENTITY b SYSTEM \"/etc/hostname\">]><nettlestall>&b;</nettlestall>",
                 {"f.xml:1:"});
}

// Random bytes and truncation: the file is accepted or refused with an error, nothing else.
void corrupted_files_are_handled() {
    test::Random random{11};
    const std::string valid = trunk(kGroup + "<audit every-s=\"9\"/></group>");
    for (int i = 0; i < 3000; ++i) {
        std::string corrupted = valid;
        for (std::size_t n = 1 + random.below(4); n > 0; --n)
            corrupted[random.below(corrupted.size())] = static_cast<char>(random.below(256));
        if (random.below(3) == 0) corrupted.resize(random.below(corrupted.size()));
        errors_of(corrupted);  // must neither crash nor throw anything but json::BadInput
    }
}

void only_audit_and_times_change_in_service() {
    const auto read = [](const std::string& text) { return parse_operator_file(text, "f.xml"); };
    const OperatorFile before = read(trunk(kGroup + "</group>"));
    CHECK(find_restart_reason(before, read(trunk(kGroup + "<times hold-s=\"9\"/></group>"))).empty());
    CHECK(!find_restart_reason(before, read(trunk(kGroup + "</group>", "point=\"9\" number=\"1\""))).empty());
    CHECK(!find_restart_reason(before, read("<nettlestall/>")).empty());
    CHECK(
        find_restart_reason(read("<nettlestall/>"), read("<nettlestall><log format=\"json\"/></nettlestall>"))
            .empty());
}

void log_lines_are_valid_json() {
    using namespace log;
    CHECK(format_json("T", Level::info, "text", "c1") ==
          R"({"time":"T","level":"info","call":"c1","text":"text"})");
    CHECK(format_json("T", Level::error, "a\"b\n\xff", "") ==
          R"({"time":"T","level":"error","text":"a\"b\\x0a\\xff"})");
    CHECK(parse_level("warning") == Level::warning && parse_level("none") == Level::info);
}

}  // namespace

int main() {
    empty_file_leaves_features_off();
    valid_values_are_read();
    errors_name_line_and_element();
    corrupted_files_are_handled();
    only_audit_and_times_change_in_service();
    log_lines_are_valid_json();
}
