// Two gatekeeper processes joined by circuit group 7 on loopback. The test plays their callers and carrier
// switches.
#pragma once

#include <filesystem>
#include <memory>

#include "net/loopback.hpp"

namespace nettlestall::test {

// Starts both processes; the destructor ends them and removes their folders. Hub a has exchange number 1 and
// point code 10, hub b has 2 and 20.
struct Hubs {
    enum { a, b };

    struct Hub {
        // Ports of the addresses for callers, for operators and for other hubs, which were free a moment ago.
        int callers_port = Listener().port(), operators_port = Listener().port(),
            trunk_port = Listener().port();
        Listener lines;  // where the carrier switch listens
        std::string folder, file;
        std::unique_ptr<Program> program;
    };

    // `ledgers`: both hubs record their circuits on disk. `parts`: children of <group>. Calls of the class
    // `live-board` take three circuits, those of `move` one.
    Hubs(const char* path, int circuits, bool ledgers, const std::string& parts = "") : path_(path) {
        for (int h : {a, b}) {
            Hub& hub = at(h);
            hub.folder = "/tmp/trunk_test." + std::to_string(getpid()) + '.' +
                         std::to_string(++instance_count()) + (h ? "b" : "a");
            std::filesystem::create_directories(hub.folder);
            hub.file = hub.folder + "/nettlestall.xml";
            write_file(h, circuits, ledgers, parts);
        }
        for (int h : {a, b}) start(h);
    }
    ~Hubs() {
        for (int h : {a, b}) {
            at(h).program.reset();
            std::filesystem::remove_all(at(h).folder);
        }
    }

    Hub& at(int h) { return hubs_[h]; }

    // Writes the operator's file of hub h; the parameters are those of the constructor. Hub a dials hub b.
    void write_file(int h, int circuits, bool ledgers, const std::string& parts = "") {
        Hub& hub = at(h);
        const std::string own = std::to_string(h + 1), far = std::to_string(2 - h);
        std::ofstream(hub.file)
            << "<nettlestall><log level=\"debug\"/><trunk point=\"" << own << "0\" number=\"" << own
            << "\" listen=\"" << own_address() << ':' << hub.trunk_port << '"'
            << (ledgers ? " ledger=\"" + hub.folder + "\"" : "") << "><lines exchange=\"lines-" << own
            << "\" number=\"" << own << "\" address=\"" << hub.lines.address() << "\"/>"
            << "<group id=\"7\" exchange=\"hub-" << far << "\" number=\"" << far << "\" far-point=\"" << far
            << "0\" circuits=\"" << circuits << '"'
            << (h == a ? " dial=\"" + own_address() + ':' + std::to_string(at(b).trunk_port) + '"' : "")
            << '>' << parts << "</group></trunk></nettlestall>";
    }
    // The configuration of hub h.
    std::string config(int h) {
        return R"({"name":"hub-)" + std::to_string(h + 1) + R"(","listen":")" + own_address() + ':' +
               std::to_string(at(h).callers_port) +
               R"(","limits":{"sockets":64},"settings":{"self_index":0,"fleet_size":2,)"
               R"("family_info":{"release_s":0.3,"class_width":[1,3]},"grades":[{"name":"move","aim_s":20,)"
               R"("deadline_s":90},{"name":"live-board","points":3,"aim_s":20,"deadline_s":90}],)"
               R"("limits":{"send_cap":5,"open_cap":1000,"dial_timeout_s":10},)"
               R"("obligations":{"drain_grace_s":0.5,"grace_to_answer_s":0.02}}})";
    }
    // Starts a process of hub h with its files as they are.
    void start(int h) {
        at(h).program =
            std::make_unique<Program>(path_, config(h), at(h).operators_port, at(h).folder, at(h).file);
    }
    // Starts a second process of hub h, which is to take over from the first one.
    std::unique_ptr<Program> successor(int h, int operators_port) {
        return std::make_unique<Program>(path_, config(h), operators_port, at(h).folder, at(h).file);
    }
    // Kills the process and starts it again.
    void crash(int h) {
        at(h).program.reset();
        start(h);
    }
    // Accepts the hub's connection to its carrier switch and reports free lines.
    Peer lines(int h) {
        Peer peer = at(h).lines.accept();
        peer.send(group_state("x0:500;x1:500"));
        return peer;
    }
    // Waits until the group is up at both hubs. Like the other waits, it is ended only by the test's time
    // limit in CMake.
    void await_link() {
        for (int h : {a, b})
            while (operator_reply(at(h).operators_port, "GET /circuits").find(" up ") == std::string::npos)
                usleep(5000);
    }
    // The operators' table of circuits; with an empty `path`, that of groups.
    std::string circuits(int h, const std::string& path = "/7?all=1") {
        return operator_reply(at(h).operators_port, "GET /circuits" + path);
    }
    // The number of circuits that are not idle at hub h.
    int busy(int h) {
        const std::string text = circuits(h);
        int found = 0;
        for (std::size_t at = text.find('\n', text.find("circuit ")) + 1; at < text.size();
             at = text.find('\n', at) + 1)
            found += text.substr(at, text.find('\n', at) - at).find(" idle ") == std::string::npos;
        return found;
    }
    // Waits until all circuits are idle at both hubs.
    void await_idle() {
        for (int h : {a, b})
            while (busy(h) > 0) usleep(5000);
    }

    // The bytes of a set-up to exchange number `to`.
    static std::string call_to(const CallId& call, int to, const char* service_class = "move",
                               int time_left_ms = 20'000) {
        const int width = std::string(service_class) == "live-board" ? 3 : 1;
        const Frame frame =
            FrameBuilder(MessageType::set_up, call)
                .text(ParameterCode::service_class, service_class)
                .text(ParameterCode::time_left, std::to_string(time_left_ms))
                .text(ParameterCode::number, "7f3a")
                .text(ParameterCode::attributes,
                      "dest:" + std::to_string(to) + ";width:" + std::to_string(width) + ";via:-1")
                .build(std::make_shared<const std::string>("offer of " + call));
        return frame.header + *frame.description;
    }

   private:
    static int& instance_count() {
        static int instances = 0;
        return instances;
    }
    const char* path_;
    Hub hubs_[2];
};

}  // namespace nettlestall::test
