// Releases of standing calls while two processes of an upgrade serve. A connection that always has an open
// set-up stays in the old process, and the new one owns its standing calls. Their releases went to other
// callers.
#include "upgrade.hpp"

using namespace nettlestall::test;
using nettlestall::CallId;

namespace {

constexpr const char* kBusyAddress = "127.0.0.2";
constexpr const char* kQuietAddress = "127.0.0.3";
const CallId kOpen = "000000000000000a", kOther = "000000000000000b";

// An old process with a busy connection, on which kOne stands and kOpen is open, and with a quiet one of
// another caller or of the same one, on which kTwo stands. Only the quiet one moves to the new process.
struct Upgrade {
    Upgrade(const char* path, const char* quiet_address)
        : site(path, folder.path),
          busy(Peer::connect(site.port, kBusyAddress)),
          quiet(Peer::connect(site.port, quiet_address)) {
        folder.socket = own_address() + ':' + std::to_string(site.port);
        site.set_up_answered(busy, kOne);
        site.set_up_answered(quiet, kTwo);
        busy.send(set_up(kOpen, 1, 60'000));
        CHECK(site.carrier_switch.receive().call == kOpen);
        successor.emplace(path, site, folder);
        successor->prepare();
        while (!contains(site.program.log(), " client_connections_passed_on=1 "))
            site.program.signal(SIGUSR1), usleep(5000);
    }
    Folder folder;
    Site site;
    Peer busy, quiet;
    std::optional<Successor> successor;
};

void expect_release(Peer& caller, const CallId& call, int cause) {
    const Received received = caller.receive();
    CHECK(received.type == MessageType::release && received.call == call && received.cause == cause);
}

// Nothing but the result of a health check has come to the caller.
void expect_nothing_else(Peer& caller) {
    CHECK(health_check(caller).cause == 1);
}

void releases_go_to_the_connection_in_the_old_process(const char* path, const char* quiet_address) {
    Upgrade upgrade(path, quiet_address);
    // Whichever connection of the switch they come on.
    upgrade.site.carrier_switch.send(release(kOne, 16));
    expect_release(upgrade.busy, kOne, 16);
    upgrade.successor->carrier_switch.send(release(kTwo, 41));
    expect_release(upgrade.quiet, kTwo, 41);
    // A call that is answered by the old process is the new one's from then on.
    upgrade.busy.send(set_up(kThree, 1, 60'000));
    CHECK(upgrade.site.carrier_switch.receive().call == kThree);
    upgrade.site.carrier_switch.send(answer(kThree));
    CHECK(upgrade.busy.receive().type == MessageType::answer);
    upgrade.successor->carrier_switch.send(release(kThree, 16));
    expect_release(upgrade.busy, kThree, 16);
    expect_nothing_else(upgrade.quiet);
    // Once nothing is open on it, the connection moves, and its calls are released there.
    upgrade.site.carrier_switch.send(answer(kOpen));
    CHECK(upgrade.busy.receive().call == kOpen);
    while (!contains(upgrade.site.program.log(), " client_connections_passed_on=2 "))
        upgrade.site.program.signal(SIGUSR1), usleep(5000);
    upgrade.site.carrier_switch.send(release(kOpen, 16));
    expect_release(upgrade.busy, kOpen, 16);
    expect_nothing_else(upgrade.quiet);
    expect_nothing_else(upgrade.busy);
}

// The busy caller loses its connection with the old process. The release waits until that caller is back, and
// neither another caller nor a health check gets it.
void release_waits_for_its_caller_to_come_back(const char* path) {
    Upgrade upgrade(path, kQuietAddress);
    upgrade.site.program.kill();
    CHECK(upgrade.busy.closed_by_far_end());
    upgrade.successor->carrier_switch.send(release(kOne, 16));
    Peer health = Peer::connect(upgrade.site.port, kBusyAddress);
    expect_nothing_else(health);
    Peer back = Peer::connect(upgrade.site.port, kBusyAddress);
    back.send(set_up(kOther, 1, 60'000));
    expect_release(back, kOne, 16);
    CHECK(upgrade.successor->carrier_switch.receive().call == kOther);
    upgrade.successor->carrier_switch.send(answer(kOther));
    CHECK(back.receive().type == MessageType::answer);
    expect_nothing_else(upgrade.quiet);
    expect_nothing_else(health);
}

// The old process stops answering with a release on its way, and is killed.
void release_survives_the_end_of_the_old_process(const char* path) {
    Upgrade upgrade(path, kQuietAddress);
    upgrade.site.program.signal(SIGSTOP);
    upgrade.successor->carrier_switch.send(release(kOne, 16));
    while (!contains(upgrade.successor->program.log(), " releases_relayed=1 "))
        upgrade.successor->program.signal(SIGUSR1), usleep(5000);
    upgrade.site.program.kill();
    CHECK(upgrade.busy.closed_by_far_end());
    Peer back = Peer::connect(upgrade.site.port, kBusyAddress);
    expect_release(back, kOne, 16);  // although it sends nothing
    expect_nothing_else(upgrade.quiet);
}

}  // namespace

int main(int count, char** arguments) {
    CHECK(count == 2);
    releases_go_to_the_connection_in_the_old_process(arguments[1], kQuietAddress);
    releases_go_to_the_connection_in_the_old_process(arguments[1], kBusyAddress);  // two of one caller
    release_waits_for_its_caller_to_come_back(arguments[1]);
    release_survives_the_end_of_the_old_process(arguments[1]);
}
