// Runs the gatekeeper as a child process and plays callers, carrier switches and the feed over loopback
// sockets. The tests wait for messages and log lines, never for a span of time, so that a busy machine only
// slows them.
#include "loopback.hpp"

using namespace nettlestall::test;
using nettlestall::CallId;

namespace {

void ends_with_an_error_on_a_bad_configuration(const char* path) {
    Program program(path, R"({"listen":"127.0.0.1:0","settings":{"limits":7}})");
    CHECK(program.exit_code() == 1);
    CHECK(program.log().find("'limits' must be an object") != std::string::npos);
}

// Over a cut link nothing arrives, not even an error. Unless the gatekeeper opened a second connection, the
// releases of calls that the switch has dropped would never reach it.
void dials_a_silent_switch_again(const char* path) {
    Listener switch_listener, feed_listener;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_listener, switch_listener, "0.1"));
    Peer carrier_switch = switch_listener.accept();
    carrier_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    caller.send(set_up("0000000000000001", 1, 20'000));
    CHECK(switch_listener.accept().fd() >= 0);
}

// A new configuration that is announced while the process ends must not turn an orderly end into a crash.
void ends_in_order_when_reloads_come_until_its_end(const char* path) {
    Listener switch_listener, feed_listener;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_listener, switch_listener, "10"));
    Peer carrier_switch = switch_listener.accept();
    program.await_log("listening on");
    program.signal(SIGTERM);
    while (!program.has_ended()) program.signal(SIGHUP), usleep(20);
    CHECK(program.exit_code() == 0);
}

// A faulty file changes nothing. A valid one changes the feed's address; the feed is resumed behind the last
// known event, and a set-up that is pending at that time gets its answer.
void reloads_the_configuration(const char* path) {
    Listener first_listener, second_listener, third_listener, feed_listener, new_feed_listener;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_listener, first_listener, "10"));
    Peer feed = feed_listener.accept();
    CHECK(feed.read_line() == "SUB 1\n");
    Peer carrier_switch = first_listener.accept();
    carrier_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001", two = "0000000000000002";
    caller.send(set_up(one, 1, 20'000));
    CHECK(carrier_switch.receive().call == one);

    program.write_config(config_json(port, new_feed_listener, first_listener, "-1"));
    program.signal(SIGHUP);
    program.await_log("'dial_timeout_s' must be more than 0");
    program.write_config(config_json(port + 1, new_feed_listener, first_listener, "10"));
    program.signal(SIGHUP);
    program.await_log("'listen' must be the same until a restart");
    feed.send(event_json(2, false, switch_json(2, second_listener.address())) + "\n");
    Peer second_switch = second_listener.accept();

    program.write_config(config_json(port, new_feed_listener, first_listener, "10"));
    program.signal(SIGHUP);
    Peer new_feed = new_feed_listener.accept();
    CHECK(new_feed.read_line() == "SUB 2\n");
    CHECK(feed.closed_by_far_end());
    new_feed.send(event_json(3, false, switch_json(3, third_listener.address())) + "\n");
    Peer third_switch = third_listener.accept();
    // Otherwise the switch could serve as the tandem until the other group's state is known.
    carrier_switch.send(group_state("x0:0;x1:9"));
    carrier_switch.send(answer(one));
    CHECK(caller.receive().description == "media\r\n of " + one);
    third_switch.send(group_state("x0:9;x1:9"));
    caller.send(set_up(two, 3, 20'000));
    CHECK(third_switch.receive().call == two);
    program.signal(SIGUSR1);
    program.await_log(" reloads=1 reloads_refused=2 ");
}

// Calls that are never released must not fill the memory: their number is bounded by the memory limit.
void bounds_the_number_of_standing_calls(const char* path) {
    Listener switch_listener, feed_listener;
    const int port = Listener().port();
    std::string small_config = config_json(port, feed_listener, switch_listener, "10");
    small_config.replace(small_config.find("\"sockets\":40"), 12, "\"sockets\":40,\"memory_mb\":1");
    Program program(path, small_config);
    Peer carrier_switch = switch_listener.accept();
    carrier_switch.send(group_state("x0:900;x1:900"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const int max_calls = 1024 * 1024 / 5 / 800;
    for (int i = 1; i <= max_calls; ++i) {
        char call[17];
        std::snprintf(call, sizeof call, "%016x", i);
        caller.send(set_up(call, 1, 20'000));
        CHECK(carrier_switch.receive().call == call);
        carrier_switch.send(answer(call));
        CHECK(caller.receive().type == MessageType::answer);
    }
    const CallId last = "0000000000000001";
    caller.send(set_up("000000000000ffff", 1, 20'000));
    const Received refused = caller.receive();
    CHECK(refused.type == MessageType::release && refused.cause == 34);
    program.await_log("the table is full with 262 calls; the oldest: 0000000000000001 at s-1");
    caller.send(release(last, 16));
    CHECK(carrier_switch.receive().call == last);
    caller.send(set_up("000000000000fffe", 1, 20'000));
    CHECK(carrier_switch.receive().type == MessageType::set_up);
}

// Connections that never send a request would keep callers out once they hold all descriptors for callers.
// They are closed for new connections, and after some seconds in any case.
void closes_unused_connections_for_new_callers(const char* path) {
    Listener switch_listener, feed_listener;
    const int port = Listener().port();
    // 40 descriptors: 20 for callers.
    Program program(path, config_json(port, feed_listener, switch_listener, "10"));
    Peer carrier_switch = switch_listener.accept();
    carrier_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001";
    caller.send(set_up(one, 1, 20'000));
    CHECK(carrier_switch.receive().call == one);

    std::vector<Peer> silent;
    for (int i = 0; i < 60; ++i) silent.push_back(Peer::connect(port));
    Peer second = Peer::connect(port);
    CHECK(health_check(second).cause == 1);
    silent.back().send(set_up(one, 1, 20'000).substr(0, 20));  // an incomplete message
    for (Peer& peer : silent) CHECK(peer.closed_by_far_end());
    // The connection with an open set-up and the one that has sent a request are still open.
    CHECK(health_check(second).cause == 1);
    carrier_switch.send(answer(one));
    CHECK(caller.receive().call == one);
    program.signal(SIGUSR1);
    program.await_log(" client_connections_turned_away=0 ");
}

// A call's release is sent on the connection of its set-up. That connection must not be displaced, although
// its caller holds more connections than any other and 60 further callers, which all have sent a request,
// need places.
void keeps_connections_with_standing_calls(const char* path) {
    Listener switch_listener, feed_listener;
    const int port = Listener().port();
    // 40 descriptors: 20 for callers.
    Program program(path, config_json(port, feed_listener, switch_listener, "10"));
    Peer carrier_switch = switch_listener.accept();
    carrier_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port), spare = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001", two = "0000000000000002";
    spare.send(set_up(two, 1, 20'000));
    CHECK(carrier_switch.receive().call == two);
    caller.send(set_up(one, 1, 20'000));
    CHECK(carrier_switch.receive().call == one);
    carrier_switch.send(answer(one));
    CHECK(caller.receive().type == MessageType::answer);
    std::vector<Peer> crowd;
    for (int i = 1; i <= 60; ++i) {
        crowd.push_back(Peer::connect(port, ("127.1.0." + std::to_string(i)).c_str()));
        CHECK(health_check(crowd.back()).cause == 1);  // each new connection is accepted
    }
    carrier_switch.send(release(one, 16));
    const Received received = caller.receive();
    CHECK(received.type == MessageType::release && received.call == one);
}

// A switch's answer stops half-way and the connection stays open: all further answers on it would wait behind
// it for ever.
void closes_a_connection_with_a_stalled_message(const char* path) {
    Listener switch_listener, feed_listener;
    const int port = Listener().port();
    Program program(path, config_json(port, feed_listener, switch_listener, "1"));
    Peer carrier_switch = switch_listener.accept();
    carrier_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001";
    caller.send(set_up(one, 1, 20'000));
    CHECK(carrier_switch.receive().call == one);
    const Frame answer_frame = answer(one);
    carrier_switch.send(answer_frame.header.substr(0, 9));
    Peer new_connection = switch_listener.accept();
    new_connection.send(group_state("x0:9;x1:9"));
    CHECK(carrier_switch.closed_by_far_end());
    Received received = new_connection.receive();  // its answer may have been lost; nobody would use the call
    CHECK(received.type == MessageType::release && received.call == one);
    received = new_connection.receive();
    CHECK(received.type == MessageType::set_up && received.call == one);
    new_connection.send(answer_frame);
    CHECK(caller.receive().type == MessageType::answer);
}

// One process through a call, refusals, malformed bytes, a broken feed, a lost connection, a switch that
// dies, and SIGTERM.
void serves_calls_through_failures_until_its_end(const char* path) {
    Listener first_listener, second_listener, feed_listener;
    const int port = Listener().port();  // closed again, so that the program can listen there
    Program program(path, config_json(port, feed_listener, first_listener, "10"));
    Peer feed = feed_listener.accept();
    CHECK(feed.read_line() == "SUB 1\n");
    Peer carrier_switch = first_listener.accept();
    carrier_switch.send(group_state("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (health_check(caller).cause != 1) usleep(5000);

    // One call to its end.
    const CallId one = "0000000000000001", two = "0000000000000002", three = "0000000000000003";
    caller.send(set_up(one, 1, 20'000));
    const Received sent = carrier_switch.receive();
    CHECK(sent.type == MessageType::set_up && sent.call == one && sent.description == "offer of " + one);
    CHECK(sent.number == "7f3a" && sent.service_class == "move");
    carrier_switch.send(answer(one));
    Received received = caller.receive();
    CHECK(received.type == MessageType::answer && received.call == one &&
          received.description == "media\r\n of " + one);
    // The group's state is sent before the release, so that it has been read when the release arrives.
    carrier_switch.send(group_state("x0:0;x1:9"));
    carrier_switch.send(release(one, 16));
    received = caller.receive();
    CHECK(received.type == MessageType::release && received.call == one && received.cause == 16);

    // Refused, as no circuit is free; failed, as the service class is unknown.
    caller.send(set_up(two, 1, 200));
    received = caller.receive();
    CHECK(received.type == MessageType::release && received.call == two && received.cause == 34);
    caller.send(set_up(three, 1, 200, "nonsense"));
    received = caller.receive();
    CHECK(received.type == MessageType::release && received.call == three && received.cause == 47);

    // A malformed message closes its own connection and no other.
    Peer malformed = Peer::connect(port);
    malformed.send(std::string("GET / HTTP/1.1\r\n\r\n"));
    CHECK(malformed.closed_by_far_end());
    CHECK(health_check(caller).cause == 1);

    // The feed breaks off in the middle of an event: it is resumed behind the last complete one.
    feed.send(event_json(2, false, switch_json(2, second_listener.address())) + "\n{\"n\":3,\"mem");
    Peer second_switch = second_listener.accept();
    feed.close();
    feed = feed_listener.accept();
    CHECK(feed.read_line() == "SUB 2\n");
    feed.send(std::string("{\"n\":2}\n"));

    // A connection breaks with an open set-up: the set-up is released and sent again on a new connection.
    second_switch.send(group_state("x0:9;x1:9"));
    const CallId six = "0000000000000006", seven = "0000000000000007";
    caller.send(set_up(six, 2, 20'000));
    CHECK(second_switch.receive().call == six);
    second_switch.close();
    second_switch = second_listener.accept();
    second_switch.send(group_state("x0:9;x1:9"));
    CHECK(second_switch.receive().type == MessageType::release);
    CHECK(second_switch.receive().call == six);
    second_switch.send(answer(six));
    CHECK(caller.receive().type == MessageType::answer);

    // A switch's process dies and its port refuses connections: its standing calls are cut.
    carrier_switch.send(group_state("x0:9;x1:9"));
    caller.send(set_up(seven, 1, 20'000));
    CHECK(carrier_switch.receive().call == seven);
    carrier_switch.send(answer(seven));
    CHECK(caller.receive().type == MessageType::answer);
    first_listener.close();
    carrier_switch.close();
    received = caller.receive();
    CHECK(received.type == MessageType::release && received.call == seven && received.cause == 41);

    // After SIGTERM an open set-up and one on a new connection are still answered; then the process ends.
    const CallId four = "0000000000000004", five = "0000000000000005";
    caller.send(set_up(four, 2, 20'000));
    CHECK(second_switch.receive().call == four);
    program.signal(SIGUSR1);
    program.await_log(" set_ups=6 ");
    program.signal(SIGTERM);
    while (health_check(caller).cause != 0) usleep(5000);
    Peer late = Peer::connect(port);
    late.send(set_up(five, 2, 20'000));
    CHECK(second_switch.receive().call == five);
    second_switch.send(answer(five));
    CHECK(late.receive().type == MessageType::answer);
    second_switch.send(answer(four));
    CHECK(caller.receive().description == "media\r\n of " + four);
    CHECK(program.exit_code() == 0);
    CHECK(program.log().find(" answered=5 refused=1 failed=1 ") != std::string::npos);
}

}  // namespace

int main(int count, char** arguments) {
    CHECK(count == 2);
    ends_with_an_error_on_a_bad_configuration(arguments[1]);
    dials_a_silent_switch_again(arguments[1]);
    reloads_the_configuration(arguments[1]);
    ends_in_order_when_reloads_come_until_its_end(arguments[1]);
    bounds_the_number_of_standing_calls(arguments[1]);
    closes_unused_connections_for_new_callers(arguments[1]);
    keeps_connections_with_standing_calls(arguments[1]);
    closes_a_connection_with_a_stalled_message(arguments[1]);
    serves_calls_through_failures_until_its_end(arguments[1]);
}
