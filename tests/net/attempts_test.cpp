// Messages of a carrier switch name the call and not the attempt. Here a switch sends, while a later attempt
// of a call is out, what concerns an earlier attempt of the same call at the same switch. Whatever that is,
// there must never be two attempts out at once.
#include <poll.h>

#include <cstring>
#include <optional>

#include "loopback.hpp"

using namespace nettlestall::test;
using nettlestall::CallId;

namespace {

const CallId kCall = "0000000000000001";
constexpr int kTimeLeftMs = 20'000;
// Longer than the release wait of 300 ms: a further set-up that is due at once or after it has come by then.
constexpr int kNextSetUpMs = 600;

// A gatekeeper with one caller and one carrier switch.
struct Site {
    // `connect_time_out`: seconds, also of the silence on a connection after which a second one is opened.
    Site(const char* path, const char* connect_time_out)
        : port(Listener().port()),
          program(path, config_json(port, feed_listener, switch_listener, connect_time_out)),
          first(switch_listener.accept()),
          caller(Peer::connect(port)) {
        first.send(group_state("x0:9;x1:9"));
        while (health_check(caller).cause != 1) usleep(5000);
    }
    ~Site() { program.kill(); }  // before its connections are closed

    Peer accept_next() {
        Peer next = switch_listener.accept();
        next.send(group_state("x0:9;x1:9"));
        return next;
    }
    void check_answered() {
        const Received received = caller.receive();
        CHECK(received.type == MessageType::answer && received.call == kCall);
    }

    Listener switch_listener, feed_listener;
    int port;
    Program program;
    Peer first, caller;
};

// Waits for the call's set-up, and for nothing else that concerns a call.
void await_set_up(Peer& carrier_switch) {
    const Received received = carrier_switch.receive();
    CHECK(received.type == MessageType::set_up && received.call == kCall);
}

void await_release(Peer& carrier_switch) {
    const Received received = carrier_switch.receive();
    CHECK(received.type == MessageType::release && received.call == kCall);
}

// Whether anything arrives within that time.
bool receives_within(const Peer& peer, int milliseconds) {
    pollfd wait{peer.fd(), POLLIN, 0};
    return poll(&wait, 1, milliseconds) > 0;
}

// A switch begins to answer, loses the connection, and repeats its release of that call on the next one,
// where the second attempt is out already. The gatekeeper cannot tell which of the two it concerns: it must
// withdraw the second one before it sends a third.
void late_release_on_the_next_connection(const char* path, std::uint8_t cause) {
    Site site(path, "10");
    site.caller.send(set_up(kCall, 1, kTimeLeftMs));
    await_set_up(site.first);
    site.first.send(answer(kCall).header.substr(0, 9));
    site.first.close();
    Peer next = site.accept_next();
    await_release(next);  // of the first attempt
    await_set_up(next);
    next.send(release(kCall, cause));
    await_release(next);  // of the second attempt
    await_set_up(next);
    next.send(answer(kCall));
    site.check_answered();
}

// A switch refuses a set-up twice, and the second copy comes when the next attempt is out.
void second_copy_of_a_refusal(const char* path) {
    Site site(path, "10");
    site.caller.send(set_up(kCall, 1, kTimeLeftMs));
    await_set_up(site.first);
    site.first.send(release(kCall, 34));
    await_set_up(site.first);
    site.first.send(release(kCall, 34));
    await_release(site.first);
    await_set_up(site.first);
    site.first.send(answer(kCall));
    site.check_answered();
}

// A switch is silent, so a second connection is opened; then it refuses the first attempt on the first
// connection, and the second attempt is sent on the second. Returns the second connection.
Peer open_second_connection(Site& site) {
    site.caller.send(set_up(kCall, 1, kTimeLeftMs));
    await_set_up(site.first);
    Peer second = site.accept_next();
    // From then on set-ups are sent on the second connection.
    site.program.await_log("connection 2 to s-1 up");
    site.first.send(release(kCall, 34));
    await_set_up(second);
    return second;
}

// What comes on the older connection cannot concern an attempt that was sent on the newer one.
void end_on_an_older_connection(const char* path) {
    Site site(path, "1");
    Peer second = open_second_connection(site);
    site.first.send(release(kCall, 41));
    CHECK(!receives_within(second, kNextSetUpMs));
    second.send(answer(kCall));
    site.check_answered();
}

// If the answer to the first attempt counted as the second's, the second would be left standing at the
// switch or would be cut by its own refusal.
void answer_on_an_older_connection(const char* path) {
    Site site(path, "1");
    Peer second = open_second_connection(site);
    site.first.send(answer(kCall));
    CHECK(!receives_within(site.caller, kNextSetUpMs));
    second.send(answer(kCall));
    site.check_answered();
}

// The release of the first attempt comes when the second stands: the caller is told that the call is over,
// so nothing may be left standing at the switch.
void late_release_of_a_standing_call(const char* path) {
    Site site(path, "10");
    site.caller.send(set_up(kCall, 1, kTimeLeftMs));
    await_set_up(site.first);
    site.first.send(release(kCall, 34));
    await_set_up(site.first);
    site.first.send(answer(kCall));
    site.check_answered();
    site.first.send(release(kCall, 41));
    const Received received = site.caller.receive();
    CHECK(received.type == MessageType::release && received.call == kCall);
    await_release(site.first);
}

}  // namespace

int main(int count, char** arguments) {
    CHECK(count == 3);
    const char* const path = arguments[1];
    const std::string scenario = arguments[2];
    if (scenario == "reset_on_the_next_connection") late_release_on_the_next_connection(path, 41);
    if (scenario == "clearing_on_the_next_connection") late_release_on_the_next_connection(path, 16);
    if (scenario == "second_copy_of_a_refusal") second_copy_of_a_refusal(path);
    if (scenario == "end_on_an_older_connection") end_on_an_older_connection(path);
    if (scenario == "answer_on_an_older_connection") answer_on_an_older_connection(path);
    if (scenario == "late_release_of_a_standing_call") late_release_of_a_standing_call(path);
}
