// The trunk signalling in the program itself: two processes on loopback.
#include <poll.h>

#include <map>

#include "trunk/hubs.hpp"
#include "trunk/messages.hpp"

using namespace nettlestall::test;
using nettlestall::CallId;

namespace {

constexpr int a = Hubs::a, b = Hubs::b;
const CallId one = "0000000000000001", two = "0000000000000002", three = "0000000000000003";

void a_call_goes_over_the_group_and_back(const char* path) {
    Hubs hubs(path, 4, false);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    Peer caller = Peer::connect(hubs.at(a).callers);
    caller.send(Hubs::call_to(one, 2, "live-board"));
    const Received offer = lines_b.receive();
    CHECK(offer.type == MessageType::set_up && offer.call == one && offer.service_class == "live-board");
    CHECK(offer.number == "7f3a" && offer.description == "offer of " + one);
    CHECK(hubs.busy(a) == 3 && hubs.busy(b) == 3);
    lines_b.send(answer(one));
    const Received answered = caller.receive();
    CHECK(answered.type == MessageType::answer && answered.description == "media\r\n of " + one);
    lines_b.send(release(one, 16));
    const Received over = caller.receive();
    CHECK(over.type == MessageType::release && over.call == one && over.cause == 16);
    hubs.await_idle();
    // The other way, ended by the caller; then one that the far lines refuse.
    Peer other = Peer::connect(hubs.at(b).callers);
    other.send(Hubs::call_to(two, 1));
    CHECK(lines_a.receive().call == two);
    lines_a.send(answer(two));
    CHECK(other.receive().type == MessageType::answer);
    other.send(release(two, 16));
    CHECK(lines_a.receive().type == MessageType::release);
    hubs.await_idle();
}

// What stood before a crash is known after it: the callee's end still reaches the caller.
void a_standing_call_survives_a_crash(const char* path) {
    for (const int crashed : {a, b}) {
        Hubs hubs(path, 4, true);
        Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
        hubs.await_link();
        Peer caller = Peer::connect(hubs.at(a).callers);
        caller.send(Hubs::call_to(one, 2));
        CHECK(lines_b.receive().call == one);
        lines_b.send(answer(one));
        CHECK(caller.receive().type == MessageType::answer);
        hubs.crash(crashed);
        Peer lines_again = hubs.lines(crashed);
        hubs.await_link();
        CHECK(hubs.busy(a) == 1 && hubs.busy(b) == 1);
        Peer caller_again = crashed == a ? Peer::connect(hubs.at(a).callers) : std::move(caller);
        (crashed == b ? lines_again : lines_b).send(release(one, 16));
        const Received over = caller_again.receive();
        CHECK(over.type == MessageType::release && over.call == one && over.cause == 16);
        hubs.await_idle();
    }
}

// The groups go to the next process by way of the ledger, and with them the calls that stand.
void a_standing_call_survives_an_upgrade(const char* path) {
    for (const int upgraded : {a, b}) {
        Hubs hubs(path, 4, true);
        Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
        hubs.await_link();
        Peer caller = Peer::connect(hubs.at(a).callers);
        caller.send(Hubs::call_to(one, 2));
        CHECK(lines_b.receive().call == one);
        lines_b.send(answer(one));
        CHECK(caller.receive().type == MessageType::answer);
        const int desk = Listener().port();
        auto next = hubs.successor(upgraded, desk);
        Peer lines_next = hubs.lines(upgraded);
        while (!succeeds(desk, "GET /ready")) usleep(5000);
        hubs.at(upgraded).operators = desk;
        hubs.await_link();
        hubs.at(upgraded).program->signal(SIGTERM);
        CHECK(hubs.at(upgraded).program->exit_code() == 0);
        CHECK(hubs.busy(a) == 1 && hubs.busy(b) == 1);
        (upgraded == b ? lines_next : lines_b).send(release(one, 16));
        const Received over = caller.receive();
        CHECK(over.type == MessageType::release && over.call == one && over.cause == 16);
        hubs.await_idle();
        caller.send(Hubs::call_to(two, 2));
        CHECK((upgraded == b ? lines_next : lines_b).receive().call == two);
    }
}

void without_a_ledger_a_crash_frees_the_circuits(const char* path) {
    Hubs hubs(path, 4, false);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    Peer caller = Peer::connect(hubs.at(a).callers);
    caller.send(Hubs::call_to(one, 2, "live-board"));
    CHECK(lines_b.receive().call == one);
    lines_b.send(answer(one));
    CHECK(caller.receive().type == MessageType::answer);
    hubs.crash(b);
    const Received cut = caller.receive();
    CHECK(cut.type == MessageType::release && cut.call == one && cut.cause == 41);
    Peer lines_again = hubs.lines(b);
    hubs.await_link();
    hubs.await_idle();
    caller.send(Hubs::call_to(two, 2));
    CHECK(lines_again.receive().call == two);
}

// A ledger that is torn or of another hub is named, set aside and not believed.
void a_bad_ledger_is_set_aside(const char* path) {
    Hubs hubs(path, 4, true);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    const std::string ledger = hubs.at(a).folder + "/trunk-10.ledger";
    hubs.at(a).program.reset();
    for (const char* end : {"-wal", "-shm"})
        std::filesystem::remove(ledger + end);  // it holds all of the file
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

// Whoever connects to the trunk address with something else closes only its own connection.
void strangers_harm_nothing(const char* path) {
    Hubs hubs(path, 4, false);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    Peer caller = Peer::connect(hubs.at(a).callers);
    caller.send(Hubs::call_to(one, 2));
    CHECK(lines_b.receive().call == one);
    const auto refused = [&](const std::string& bytes) {
        Peer stranger = Peer::connect(hubs.at(b).trunk);
        stranger.send(bytes);
        stranger.read_all();  // until it is closed
    };
    refused(std::string(64, '\xff'));
    refused(std::string("\0\0\0\0", 4));
    using namespace nettlestall::trunk;
    refused(write(Hello{.point = 10, .far_point = 20, .group = 7, .circuits = 5, .life = 1}));
    refused(write(Hello{.point = 10, .far_point = 20, .group = 8, .circuits = 4, .life = 1}));
    hubs.at(b).program->await_log("group 8 is not known here");
    hubs.at(b).program->await_log("number of circuits is 5 there and 4 here");
    std::vector<Peer> silent;
    for (int i = 0; i < 20; ++i) silent.push_back(Peer::connect(hubs.at(b).trunk));
    lines_b.send(answer(one));
    CHECK(caller.receive().type == MessageType::answer && hubs.busy(b) == 1);
}

void operators_see_block_and_audit(const char* path) {
    Hubs hubs(path, 4, true);
    Peer lines_a = hubs.lines(a), lines_b = hubs.lines(b);
    hubs.await_link();
    const auto order = [&](const std::string& words, int expected) {
        const std::string line = std::string(path) + " circuits --at " + own_address() + ':' +
                                 std::to_string(hubs.at(a).operators) + ' ' + words + " >/dev/null 2>&1";
        const int status = std::system(line.c_str());
        CHECK(WIFEXITED(status) && WEXITSTATUS(status) == expected);
    };
    order("list", 0), order("list --group 7 --all", 0), order("audit --group 7", 0);
    order("list --group 8", 3), order("block --group 7 --circuits 9", 3), order("block --group 7", 2);
    order("block --group 7 --circuits 1-2,4", 0);
    while (hubs.circuits(b).find("1 idle - - - - no soft") == std::string::npos) usleep(5000);
    CHECK(hubs.circuits(a, "").find("7 hub-2 20 up 4 1 0 3 0 0") != std::string::npos);
    // A wide call finds no circuits, and blocking outlives the process.
    Peer caller = Peer::connect(hubs.at(a).callers);
    caller.send(Hubs::call_to(one, 2, "live-board", 300));
    CHECK(caller.receive().type == MessageType::release);
    hubs.crash(a);
    Peer lines_again = hubs.lines(a);
    hubs.await_link();
    CHECK(hubs.circuits(a, "").find("7 hub-2 20 up 4 1 0 3 0 0") != std::string::npos);
    order("unblock --group 7 --circuits all", 0);
    CHECK(hubs.circuits(a, "").find("7 hub-2 20 up 4 4 0 0 0 0") != std::string::npos);
    hubs.at(a).program.reset();
    order("list", 4);
}

void a_reload_takes_the_file_whole_or_not_at_all(const char* path) {
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
    while (operator_reply(hubs.at(a).operators, "GET /metrics").find("app.trunk.7.audits:0|") !=
           std::string::npos)
        usleep(5000);
}

}  // namespace

int main(int, char** words) {
    const char* path = words[1];
    a_call_goes_over_the_group_and_back(path);
    a_standing_call_survives_a_crash(path);
    a_standing_call_survives_an_upgrade(path);
    without_a_ledger_a_crash_frees_the_circuits(path);
    a_bad_ledger_is_set_aside(path);
    strangers_harm_nothing(path);
    operators_see_block_and_audit(path);
    a_reload_takes_the_file_whole_or_not_at_all(path);
}
