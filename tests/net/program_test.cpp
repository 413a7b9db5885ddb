// Starts the program and speaks to it over loopback sockets, as callers, a carrier switch and the feed do.
// Waits for what must come and never for a span of time, so that a busy machine only makes it slower.
#include "loopback.hpp"

using namespace nettlestall::test;
using nettlestall::CallId;

namespace {

void bad_config_is_told_and_ends_it(const char* path) {
    Program program(path, R"({"listen":"127.0.0.1:0","settings":{"limits":7}})");
    CHECK(program.exit_code() == 1);
    CHECK(program.log().find("'limits' must be an object") != std::string::npos);
}

// A cut link says nothing: without a further connection the releases of dropped calls never came.
void a_silent_switch_is_dialled_anew(const char* path) {
    Listener at, feed_at;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_at, at, "0.1"));
    Peer at_switch = at.accept();
    at_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    caller.send(set_up("0000000000000001", 1, 20'000));
    CHECK(at.accept().fd() >= 0);
}

// The file is replaced in service. A faulty one changes nothing; a good one moves the feed, whose numbers go
// on, and a call that is out meanwhile gets its answer.
void it_takes_a_new_configuration(const char* path) {
    Listener first, second, third, feed_at, moved_to;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_at, first, "10"));
    Peer feed = feed_at.accept();
    CHECK(feed.read_line() == "SUB 1\n");
    Peer at_switch = first.accept();
    at_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001", two = "0000000000000002";
    caller.send(set_up(one, 1, 20'000));
    CHECK(at_switch.receive().call == one);

    program.write_config(config_json(port, moved_to, first, "-1"));
    program.signal(SIGHUP);
    program.await_log("'dial_timeout_s' must be more than 0");
    program.write_config(config_json(port + 1, moved_to, first, "10"));
    program.signal(SIGHUP);
    program.await_log("'listen' must be the same until a restart");
    feed.send(event_json(2, false, switch_json(2, second.address())) + "\n");
    Peer at_second = second.accept();

    program.write_config(config_json(port, moved_to, first, "10"));
    program.signal(SIGHUP);
    Peer moved = moved_to.accept();
    CHECK(moved.read_line() == "SUB 2\n");
    CHECK(feed.closed_by_far_end());
    moved.send(event_json(3, false, switch_json(3, third.address())) + "\n");
    Peer at_third = third.accept();
    at_switch.send(group_state("x0:0;x1:9"));  // else it could be the tandem, until the other group is known
    at_switch.send(answer(one));
    CHECK(caller.receive().description == "media\r\n of " + one);
    at_third.send(group_state("x0:9;x1:9"));
    caller.send(set_up(two, 3, 20'000));
    CHECK(at_third.receive().call == two);
    program.signal(SIGUSR1);
    program.await_log(" reloads=1 reloads_refused=2 ");
}

// Seen from outside: calls whose end never comes stop at a bound that follows from the memory limit.
void standing_calls_have_a_bound(const char* path) {
    Listener at, feed_at;
    const int port = Listener().port();
    std::string small = config_json(port, feed_at, at, "10");
    small.replace(small.find("\"sockets\":40"), 12, "\"sockets\":40,\"memory_mb\":1");
    Program program(path, small);
    Peer at_switch = at.accept();
    at_switch.send(group_state("x0:900;x1:900"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const int most = 1024 * 1024 / 5 / 800;
    for (int i = 1; i <= most; ++i) {
        char call[17];
        std::snprintf(call, sizeof call, "%016x", i);
        caller.send(set_up(call, 1, 20'000));
        CHECK(at_switch.receive().call == call);
        at_switch.send(answer(call));
        CHECK(caller.receive().type == MessageType::answer);
    }
    const CallId last = "0000000000000001";
    caller.send(set_up("000000000000ffff", 1, 20'000));
    const Received refused = caller.receive();
    CHECK(refused.type == MessageType::release && refused.cause == 34);
    program.await_log("the table is full with 262 calls; the oldest: 0000000000000001 at s-1");
    caller.send(release(last, 16));
    CHECK(at_switch.receive().call == last);
    caller.send(set_up("000000000000fffe", 1, 20'000));
    CHECK(at_switch.receive().type == MessageType::set_up);
}

// Connections that are held for nothing cost no ordinary caller a place: neither by their number nor for
// good.
void idle_connections_make_room(const char* path) {
    Listener at, feed_at;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_at, at, "10"));  // 40 descriptors: 20 callers
    Peer at_switch = at.accept();
    at_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001";
    caller.send(set_up(one, 1, 20'000));
    CHECK(at_switch.receive().call == one);

    std::vector<Peer> silent;
    for (int i = 0; i < 60; ++i) silent.push_back(Peer::connect(port));
    Peer second = Peer::connect(port);
    CHECK(health_check(second).cause == 1);
    silent.back().send(set_up(one, 1, 20'000).substr(0, 20));  // and half a message
    for (Peer& peer : silent) CHECK(peer.closed_by_far_end());
    // The one with an open set-up and the one that once asked stay.
    CHECK(health_check(second).cause == 1);
    at_switch.send(answer(one));
    CHECK(caller.receive().call == one);
    program.signal(SIGUSR1);
    program.await_log(" client_connections_turned_away=0 ");
}

// In a crowd of callers that asked once and stay, releases still find the connection of their call, though
// its caller holds more connections than any other.
void a_crowd_displaces_no_standing_call(const char* path) {
    Listener at, feed_at;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_at, at, "10"));  // 40 descriptors: 20 callers
    Peer at_switch = at.accept();
    at_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port), spare = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001", two = "0000000000000002";
    spare.send(set_up(two, 1, 20'000));
    CHECK(at_switch.receive().call == two);
    caller.send(set_up(one, 1, 20'000));
    CHECK(at_switch.receive().call == one);
    at_switch.send(answer(one));
    CHECK(caller.receive().type == MessageType::answer);
    std::vector<Peer> crowd;
    for (int i = 1; i <= 60; ++i) {
        crowd.push_back(Peer::connect(port, ("127.1.0." + std::to_string(i)).c_str()));
        CHECK(health_check(crowd.back()).cause == 1);  // each is let in, however new
    }
    at_switch.send(release(one, 16));
    const Received heard = caller.receive();
    CHECK(heard.type == MessageType::release && heard.call == one);
}

// An answer stops short and the connection stays open: what is out there would wait behind it for ever.
void a_halted_connection_is_closed(const char* path) {
    Listener at, feed_at;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_at, at, "1"));
    Peer at_switch = at.accept();
    at_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001";
    caller.send(set_up(one, 1, 20'000));
    CHECK(at_switch.receive().call == one);
    const Frame whole = answer(one);
    at_switch.send(whole.header.substr(0, 9));
    Peer again = at.accept();
    again.send(group_state("x0:9;x1:9"));
    CHECK(at_switch.closed_by_far_end());
    Received heard = again.receive();  // should its answer have been lost, it stands for nobody
    CHECK(heard.type == MessageType::release && heard.call == one);
    heard = again.receive();
    CHECK(heard.type == MessageType::set_up && heard.call == one);
    again.send(whole);
    CHECK(caller.receive().type == MessageType::answer);
}

void it_serves(const char* path) {
    Listener first, second, feed_at;
    const int port = Listener().port();  // free again, at an address that nobody else uses
    Program program(path, config_json(port, feed_at, first, "10"));
    Peer feed = feed_at.accept();
    CHECK(feed.read_line() == "SUB 1\n");
    Peer at_switch = first.accept();
    at_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);

    // One call to its end.
    const CallId one = "0000000000000001", two = "0000000000000002", three = "0000000000000003";
    caller.send(set_up(one, 1, 20'000));
    const Received sent = at_switch.receive();
    CHECK(sent.type == MessageType::set_up && sent.call == one && sent.description == "offer of " + one);
    CHECK(sent.number == "7f3a" && sent.service_class == "move");
    at_switch.send(answer(one));
    Received heard = caller.receive();
    CHECK(heard.type == MessageType::answer && heard.call == one &&
          heard.description == "media\r\n of " + one);
    // The group's state goes before the release, so that whoever hears of the release knows it was read.
    at_switch.send(group_state("x0:0;x1:9"));
    at_switch.send(release(one, 16));
    heard = caller.receive();
    CHECK(heard.type == MessageType::release && heard.call == one && heard.cause == 16);

    // Refused: no circuit is free. Failed: nobody knows its class.
    caller.send(set_up(two, 1, 200));
    heard = caller.receive();
    CHECK(heard.type == MessageType::release && heard.call == two && heard.cause == 34);
    caller.send(set_up(three, 1, 200, "nonsense"));
    heard = caller.receive();
    CHECK(heard.type == MessageType::release && heard.call == three && heard.cause == 47);

    // What is malformed closes its own connection and harms nobody else.
    Peer noise = Peer::connect(port);
    noise.send(std::string("GET / HTTP/1.1\r\n\r\n"));
    CHECK(noise.closed_by_far_end());
    CHECK(health_check(caller).cause == 1);

    // The feed breaks off after an event, in the middle of the next: it is resumed behind the former.
    feed.send(event_json(2, false, switch_json(2, second.address())) + "\n{\"n\":3,\"mem");
    Peer at_second = second.accept();
    feed.close();
    feed = feed_at.accept();
    CHECK(feed.read_line() == "SUB 2\n");
    feed.send(std::string("{\"n\":2}\n"));

    // A connection breaks with a set-up open on it: the set-up comes again, on a new connection.
    at_second.send(group_state("x0:9;x1:9"));
    const CallId six = "0000000000000006", seven = "0000000000000007";
    caller.send(set_up(six, 2, 20'000));
    CHECK(at_second.receive().call == six);
    at_second.close();
    at_second = second.accept();
    at_second.send(group_state("x0:9;x1:9"));
    CHECK(at_second.receive().type == MessageType::release);
    CHECK(at_second.receive().call == six);
    at_second.send(answer(six));
    CHECK(caller.receive().type == MessageType::answer);

    // A process dies: its port refuses, and what stood there is cut.
    at_switch.send(group_state("x0:9;x1:9"));
    caller.send(set_up(seven, 1, 20'000));
    CHECK(at_switch.receive().call == seven);
    at_switch.send(answer(seven));
    CHECK(caller.receive().type == MessageType::answer);
    first.close();
    at_switch.close();
    heard = caller.receive();
    CHECK(heard.type == MessageType::release && heard.call == seven && heard.cause == 41);

    // SIGTERM: an open set-up is served to its answer, a new connection too, and then it ends.
    const CallId four = "0000000000000004", five = "0000000000000005";
    caller.send(set_up(four, 2, 20'000));
    CHECK(at_second.receive().call == four);
    program.signal(SIGUSR1);
    program.await_log(" set_ups=6 ");
    program.signal(SIGTERM);
    while (health_check(caller).cause != 0) usleep(5000);
    Peer late = Peer::connect(port);
    late.send(set_up(five, 2, 20'000));
    CHECK(at_second.receive().call == five);
    at_second.send(answer(five));
    CHECK(late.receive().type == MessageType::answer);
    at_second.send(answer(four));
    CHECK(caller.receive().description == "media\r\n of " + four);
    CHECK(program.exit_code() == 0);
    CHECK(program.log().find(" answered=5 refused=1 failed=1 ") != std::string::npos);
}

}  // namespace

int main(int count, char** arguments) {
    CHECK(count == 2);
    bad_config_is_told_and_ends_it(arguments[1]);
    a_silent_switch_is_dialled_anew(arguments[1]);
    it_takes_a_new_configuration(arguments[1]);
    standing_calls_have_a_bound(arguments[1]);
    idle_connections_make_room(arguments[1]);
    a_crowd_displaces_no_standing_call(arguments[1]);
    a_halted_connection_is_closed(arguments[1]);
    it_serves(arguments[1]);
}
