// The trunk signalling in the gatekeeper program: two processes joined by a circuit group on loopback.
#include <poll.h>

#include <map>

#include "trunk/hubs.hpp"
#include "trunk/messages.hpp"

using namespace nettlestall::test;
using nettlestall::CallId;

namespace {

constexpr int a = Hubs::a, b = Hubs::b;
const CallId kOne = "0000000000000001", kTwo = "0000000000000002", kThree = "0000000000000003";

// Calls reach the other hub with all their data, and are answered and released, by the line and by the
// caller.
void calls_pass_both_ways_over_the_group(const char* path) {
    Hubs hubs(path, 4, false);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    Peer caller = Peer::connect(hubs.at(a).callers_port);
    caller.send(Hubs::call_to(kOne, 2, "live-board"));
    const Received offer = lines_b.receive();
    CHECK(offer.type == MessageType::set_up && offer.call == kOne && offer.service_class == "live-board");
    CHECK(offer.number == "7f3a" && offer.description == "offer of " + kOne);
    CHECK(hubs.busy(a) == 3 && hubs.busy(b) == 3);
    lines_b.send(answer(kOne));
    const Received answered = caller.receive();
    CHECK(answered.type == MessageType::answer && answered.description == "media\r\n of " + kOne);
    lines_b.send(release(kOne, 16));
    const Received over = caller.receive();
    CHECK(over.type == MessageType::release && over.call == kOne && over.cause == 16);
    hubs.await_idle();
    // A call in the other direction, which its caller ends.
    Peer other = Peer::connect(hubs.at(b).callers_port);
    other.send(Hubs::call_to(kTwo, 1));
    CHECK(lines_a.receive().call == kTwo);
    lines_a.send(answer(kTwo));
    CHECK(other.receive().type == MessageType::answer);
    other.send(release(kTwo, 16));
    CHECK(lines_a.receive().type == MessageType::release);
    hubs.await_idle();
}

// With a ledger, a call that was answered before a crash is restored: the callee's release still reaches the
// caller.
void answered_call_survives_a_crash(const char* path) {
    for (const int crashed : {a, b}) {
        Hubs hubs(path, 4, true);
        Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
        hubs.await_link();
        Peer caller = Peer::connect(hubs.at(a).callers_port);
        caller.send(Hubs::call_to(kOne, 2));
        CHECK(lines_b.receive().call == kOne);
        lines_b.send(answer(kOne));
        CHECK(caller.receive().type == MessageType::answer);
        hubs.crash(crashed);
        Peer lines_again = hubs.lines(crashed);
        hubs.await_link();
        CHECK(hubs.busy(a) == 1 && hubs.busy(b) == 1);
        Peer caller_again = crashed == a ? Peer::connect(hubs.at(a).callers_port) : std::move(caller);
        (crashed == b ? lines_again : lines_b).send(release(kOne, 16));
        const Received over = caller_again.receive();
        CHECK(over.type == MessageType::release && over.call == kOne && over.cause == 16);
        hubs.await_idle();
    }
}

// The successor process takes over the groups, and restores their answered calls from the ledger.
void answered_call_survives_an_upgrade(const char* path) {
    for (const int upgraded : {a, b}) {
        Hubs hubs(path, 4, true);
        Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
        hubs.await_link();
        Peer caller = Peer::connect(hubs.at(a).callers_port);
        caller.send(Hubs::call_to(kOne, 2));
        CHECK(lines_b.receive().call == kOne);
        lines_b.send(answer(kOne));
        CHECK(caller.receive().type == MessageType::answer);
        const int operators_port = Listener().port();
        auto successor = hubs.successor(upgraded, operators_port);
        Peer successor_lines = hubs.lines(upgraded);
        while (!succeeds(operators_port, "GET /ready")) usleep(5000);
        hubs.at(upgraded).operators_port = operators_port;
        hubs.await_link();
        hubs.at(upgraded).program->signal(SIGTERM);
        CHECK(hubs.at(upgraded).program->exit_code() == 0);
        CHECK(hubs.busy(a) == 1 && hubs.busy(b) == 1);
        (upgraded == b ? successor_lines : lines_b).send(release(kOne, 16));
        const Received over = caller.receive();
        CHECK(over.type == MessageType::release && over.call == kOne && over.cause == 16);
        hubs.await_idle();
        caller.send(Hubs::call_to(kTwo, 2));
        CHECK((upgraded == b ? successor_lines : lines_b).receive().call == kTwo);
    }
}

// Without a ledger, the calls of a crashed hub are cut with cause 41, and their circuits become idle again.
void crash_without_ledger_frees_circuits(const char* path) {
    Hubs hubs(path, 4, false);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    Peer caller = Peer::connect(hubs.at(a).callers_port);
    caller.send(Hubs::call_to(kOne, 2, "live-board"));
    CHECK(lines_b.receive().call == kOne);
    lines_b.send(answer(kOne));
    CHECK(caller.receive().type == MessageType::answer);
    hubs.crash(b);
    const Received cut = caller.receive();
    CHECK(cut.type == MessageType::release && cut.call == kOne && cut.cause == 41);
    Peer lines_again = hubs.lines(b);
    hubs.await_link();
    hubs.await_idle();
    caller.send(Hubs::call_to(kTwo, 2));
    CHECK(lines_again.receive().call == kTwo);
}

// A ledger that is damaged or belongs to another hub is logged, set aside and not used.
void invalid_ledger_is_set_aside(const char* path) {
    Hubs hubs(path, 4, true);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    const std::string ledger = hubs.at(a).folder + "/trunk-10.ledger";
    hubs.at(a).program.reset();
    for (const char* end : {"-wal", "-shm"})
        std::filesystem::remove(ledger + end);  // SQLite would restore the contents from these
    std::ofstream(ledger, std::ios::binary | std::ios::trunc) << std::string(5000, 'x');
    hubs.start(a);
    hubs.at(a).program->await_log("set aside as " + ledger + ".set-aside-1");
    Peer lines_again = hubs.lines(a);
    hubs.await_link();
    hubs.at(a).program.reset();
    std::filesystem::remove(ledger + "-wal"), std::filesystem::remove(ledger + "-shm");
    std::filesystem::copy_file(hubs.at(b).folder + "/trunk-20.ledger", ledger,
                               std::filesystem::copy_options::overwrite_existing);
    hubs.start(a);
    hubs.at(a).program->await_log("set aside as " + ledger + ".set-aside-2");
    Peer lines_third = hubs.lines(a);
    hubs.await_link();
}

// Malformed or unexpected input on the trunk address closes that connection alone.
void invalid_trunk_connections_are_closed(const char* path) {
    Hubs hubs(path, 4, false);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    Peer caller = Peer::connect(hubs.at(a).callers_port);
    caller.send(Hubs::call_to(kOne, 2));
    CHECK(lines_b.receive().call == kOne);
    const auto expect_closed = [&](const std::string& bytes) {
        Peer peer = Peer::connect(hubs.at(b).trunk_port);
        peer.send(bytes);
        peer.read_all();  // until it is closed
    };
    expect_closed(std::string(64, '\xff'));
    expect_closed(std::string("\0\0\0\0", 4));
    using namespace nettlestall::trunk;
    expect_closed(encode(Hello{.point = 10, .far_point = 20, .group = 7, .circuits = 5, .incarnation = 1}));
    expect_closed(encode(Hello{.point = 10, .far_point = 20, .group = 8, .circuits = 4, .incarnation = 1}));
    hubs.at(b).program->await_log("group 8 is not known here");
    hubs.at(b).program->await_log("number of circuits is 5 there and 4 here");
    // Connections that send nothing do not disturb the call either.
    std::vector<Peer> silent;
    for (int i = 0; i < 20; ++i) silent.push_back(Peer::connect(hubs.at(b).trunk_port));
    lines_b.send(answer(kOne));
    CHECK(caller.receive().type == MessageType::answer && hubs.busy(b) == 1);
}

// The command `nettlestall circuits`: its exit codes, and that blocked circuits get no calls and stay blocked
// when the hub crashes, until operators unblock them.
void operators_list_block_and_audit(const char* path) {
    Hubs hubs(path, 4, true);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    const auto run_command = [&](const std::string& arguments, int expected) {
        const std::string line = std::string(path) + " circuits --at " + own_address() + ':' +
                                 std::to_string(hubs.at(a).operators_port) + ' ' + arguments +
                                 " >/dev/null 2>&1";
        const int status = std::system(line.c_str());
        CHECK(WIFEXITED(status) && WEXITSTATUS(status) == expected);
    };
    run_command("list", 0), run_command("list --group 7 --all", 0), run_command("audit --group 7", 0);
    run_command("list --group 8", 3), run_command("block --group 7 --circuits 9", 3),
        run_command("block --group 7", 2);
    run_command("block --group 7 --circuits 1-2,4", 0);
    while (hubs.circuits(b).find("1 idle - - - - no soft") == std::string::npos) usleep(5000);
    CHECK(hubs.circuits(a, "").find("7 hub-2 20 up 4 1 0 3 0 0") != std::string::npos);
    // A call that needs three circuits is rejected, and circuits stay blocked over a crash.
    Peer caller = Peer::connect(hubs.at(a).callers_port);
    caller.send(Hubs::call_to(kOne, 2, "live-board", 300));
    CHECK(caller.receive().type == MessageType::release);
    hubs.crash(a);
    Peer lines_again = hubs.lines(a);
    hubs.await_link();
    CHECK(hubs.circuits(a, "").find("7 hub-2 20 up 4 1 0 3 0 0") != std::string::npos);
    run_command("unblock --group 7 --circuits all", 0);
    CHECK(hubs.circuits(a, "").find("7 hub-2 20 up 4 4 0 0 0 0") != std::string::npos);
    hubs.at(a).program.reset();
    run_command("list", 4);
}

// SIGHUP reads the operator's file again: a file that is invalid or needs a restart is refused and the log
// says why; a valid change of the audits takes effect in service.
void reload_applies_whole_file_or_nothing(const char* path) {
    Hubs hubs(path, 4, false);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    Program& program = *hubs.at(a).program;
    hubs.write_file(a, 5, false);
    program.signal(SIGHUP);
    program.await_log("only <audit> and <times> can change without a restart");
    hubs.write_file(a, 4, false, "<audit every-s=\"0\"/>");
    program.signal(SIGHUP);
    program.await_log("attribute 'every-s'");
    hubs.write_file(a, 4, false, "<audit every-s=\"0.5\" patience-s=\"0.2\"/>");
    program.signal(SIGHUP);
    program.await_log("configuration taken over");
    while (operator_reply(hubs.at(a).operators_port, "GET /metrics").find("app.trunk.7.audits:0|") !=
           std::string::npos)
        usleep(5000);
}

}  // namespace

int main(int, char** arguments) {
    const char* path = arguments[1];
    calls_pass_both_ways_over_the_group(path);
    answered_call_survives_a_crash(path);
    answered_call_survives_an_upgrade(path);
    crash_without_ledger_frees_circuits(path);
    invalid_ledger_is_set_aside(path);
    invalid_trunk_connections_are_closed(path);
    operators_list_block_and_audit(path);
    reload_applies_whole_file_or_nothing(path);
}
