// Test kit for upgrades: a gatekeeper in service and a second process that takes over from it.
#pragma once

#include <poll.h>
#include <sys/stat.h>

#include <optional>

#include "loopback.hpp"

namespace nettlestall::test {

inline const CallId kOne = "0000000000000001", kTwo = "0000000000000002", kThree = "0000000000000003";

inline bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

// Waits until one of two peers has received something and returns it.
inline Peer* first_to_receive(Peer& a, Peer& b) {
    pollfd both[] = {{a.fd(), POLLIN, 0}, {b.fd(), POLLIN, 0}};
    CHECK(poll(both, 2, 1000 * kReceiveTimeoutSeconds) > 0);
    return both[0].revents ? &a : &b;
}

// A gatekeeper with a carrier switch, the feed and an operators' address.
struct Site {
    explicit Site(const char* path, const std::string& shared_folder = "")
        : port(Listener().port()),
          operator_port(Listener().port()),
          program(path, config_json(port, feed_listener, switch_listener, "10"), operator_port,
                  shared_folder),
          carrier_switch(switch_listener.accept()),
          feed(feed_listener.accept()) {
        carrier_switch.send(group_state("x0:9;x1:9"));
        while (!succeeds(operator_port, "GET /ready")) usleep(5000);
    }
    ~Site() { program.kill(); }  // before its connections are closed
    // Sends a set-up from `caller` and has the carrier switch answer it.
    void set_up_answered(Peer& caller, const CallId& call) {
        caller.send(set_up(call, 1, 20'000));
        CHECK(carrier_switch.receive().call == call);
        carrier_switch.send(answer(call));
        CHECK(caller.receive().type == MessageType::answer);
    }

    Listener switch_listener, feed_listener;
    int port, operator_port;
    Program program;
    Peer carrier_switch, feed;
};

// A folder that predecessor and successor share for the hand-over. `socket`: their listening address, which
// is part of the name of the Unix socket there.
struct Folder {
    Folder() : path("/tmp/upgrade_test." + std::to_string(getpid())) { mkdir(path.c_str(), 0700); }
    ~Folder() {
        for (const char* suffix : {"", ".new"})
            unlink((path + "/nettlestall-" + socket + ".sock" + suffix).c_str());
        rmdir(path.c_str());
    }
    std::string path, socket;
};

// A second process that starts while the site's process serves. It has a feed listener of its own, since
// processes connect to the feed again when it is silent: on a shared listener, an accepted connection could
// be another process's. The carrier switch's address has to be the site's, as it comes with the exchange
// list; there a process connects again only after it has lost the connection, has waited 10 s for an answer
// or, once it has sent set-ups, has read nothing for 40 s.
struct Successor {
    Successor(const char* path, Site& site, const Folder& folder)
        : operator_port(Listener().port()),
          program(path, config_json(site.port, feed_listener, site.switch_listener, "10"), operator_port,
                  folder.path),
          carrier_switch(site.switch_listener.accept()),
          feed(feed_listener.accept()) {}
    // Kills the process before its connections are closed. It would connect to the carrier switch again, and
    // the next successor's accept() would return the dead connection.
    ~Successor() { program.kill(); }
    // Gives the process what it waits for, and returns once it serves.
    void prepare() {
        carrier_switch.send(group_state("x0:9;x1:9"));
        CHECK(feed.read_line() == "SUB 1\n");
        feed.send(std::string("1\n"));
        while (!succeeds(operator_port, "GET /ready")) usleep(5000);
    }
    Listener feed_listener;
    int operator_port;
    Program program;
    Peer carrier_switch, feed;
};

}  // namespace nettlestall::test
