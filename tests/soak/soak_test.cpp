// Runs gatekeepers as processes over loopback, with callers, carrier switches and discovery as stand-ins that
// have faults drawn from a seed, and checks the rules of the service. The signals and faults come at times
// that depend on the seed, but the processes run in real time, so a seed does not repeat a run exactly.
//
//     soak_test PROGRAM FIRST_SEED RUNS SECONDS
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "callers.hpp"
#include "carrier_switch.hpp"
#include "discovery.hpp"
#include "gatekeeper_process.hpp"

namespace nettlestall::soak {
namespace {

// The gatekeepers' ports, below those that the system gives to the stand-ins.
constexpr int kFirstPort = 20'000;
constexpr int kGatekeepers = 3, kSwitches = 4, kConnections = 4;
// SIGKILL comes as early as the page allows: the longest deadline and 0.7 s after SIGTERM.
constexpr milliseconds kDeadline{2000}, kKillAfter = kDeadline + milliseconds(700);
// After SIGTERM new connections come for this time.
constexpr milliseconds kNewConnectionsAfterStop{300};
constexpr milliseconds kPollInterval{5}, kCheckInterval{50};
constexpr std::chrono::seconds kMaxReadyTime{10};
constexpr milliseconds kSettleTime{4500};  // after the last call, until all must be over

constexpr const char* kSettings =
    R"("limits":{"sockets":256,"memory_mb":64},"settings":{"self_index":0,"fleet_size":3,)"
    R"("family_info":{"this_node":0,"release_s":0.3},"grades":[{"name":"move","aim_s":1.5,"deadline_s":2}],)"
    R"("limits":{"send_cap":5,"open_cap":1000,"dial_timeout_s":0.5},)"
    R"("obligations":{"drain_grace_s":0.5,"grace_to_answer_s":0.02}}})";

class Run {
   public:
    Run(const std::string& program, std::uint64_t seed, int seconds)
        : seed_(seed), world_(seed), rules_(world_), faults_(Faults::draw(world_.random)), seconds_(seconds) {
        folder_ = "/tmp/nettlestall-soak." + std::to_string(getpid()) + "." + std::to_string(seed);
        std::filesystem::create_directories(folder_);
        for (int number = 1; number <= kSwitches; ++number) add_switch(number);
        for (int g = 0; g < kGatekeepers; ++g) nodes_.push_back(std::make_unique<Node>(*this, program, g));
    }
    ~Run() { std::filesystem::remove_all(folder_); }

    // Prints what was found. True if no rule was broken.
    bool play() {
        for (const auto& node : nodes_) start(*node);
        schedule_faults();
        poll();
        check();
        world_.after(std::chrono::seconds(seconds_), [this] {
            is_ending_ = true;
            for (const auto& node : nodes_) node->callers.finish();
        });
        world_.after(std::chrono::seconds(seconds_) + kSettleTime, [this] { world_.io.stop(); });
        world_.io.run();
        rules_.check_times();
        std::cout << "seed " << seed_ << ": " << rules_.summary() << "; signals " << signals_
                  << ", late by at most "
                  << std::chrono::duration_cast<milliseconds>(world_.lateness()).count() << " ms at the end"
                  << std::endl;
        for (const std::string& violation : rules_.violations()) std::cout << "  " << violation << std::endl;
        if (!rules_.violations().empty()) keep_logs();
        return rules_.violations().empty();
    }

   private:
    struct Node {
        Node(Run& run, const std::string& program, int number_)
            : number(number_),
              listen_endpoint(own_address(), static_cast<std::uint16_t>(kFirstPort + number)),
              process(program, "n" + std::to_string(number), run.folder_),
              discovery(run.world_, run.rules_, number),
              callers(run.world_, run.rules_, run.faults_, number, listen_endpoint, kConnections, kSwitches) {
        }
        int number;
        tcp::endpoint listen_endpoint;
        GatekeeperProcess process;
        Discovery discovery;
        Callers callers;
        Time started{};
        bool is_stopping = false, was_killed = false, was_late = false;
    };

    // ---- Switches

    void add_switch(int number) {
        const std::string id = "s-" + std::to_string(number) + "-" + std::to_string(switches_.size());
        switches_.push_back(std::make_unique<CarrierSwitch>(world_, rules_, faults_, id, number, kGatekeepers,
                                                            [this](int gatekeeper) {
                                                                for (const auto& other : switches_)
                                                                    other->drain_links(gatekeeper);
                                                            }));
        current_[number] = switches_.back().get();
    }
    static Discovery::Entry entry(const CarrierSwitch& of, int gatekeeper, const char* state) {
        return {of.id(), of.address(gatekeeper), state, of.number(), of.started_ms()};
    }
    void publish(CarrierSwitch& of, const char* state) {
        of.state = state;
        if (std::string(state) == "active") rules_.ready_again(of.id());
        for (const auto& node : nodes_) node->discovery.publish({entry(of, node->number, state)});
    }
    CarrierSwitch& any_switch() { return *current_[1 + world_.random.draw_below(kSwitches)]; }

    void crash(CarrierSwitch& target) {
        if (!target.is_up()) return;
        target.crash();
        world_.after(world_.draw(100, 1500), [this, &target] {
            if (current_[target.number()] != &target) return;
            target.restart();
            world_.after(world_.draw(0, 2000), [this, &target] {
                if (current_[target.number()] == &target) publish(target, "active");
            });
        });
    }
    // A new machine takes the number; the old one drains, and then it has gone.
    void replace(CarrierSwitch& old) {
        if (!old.is_up()) return;
        publish(old, "leaving");
        add_switch(old.number());
        publish(*current_[old.number()], "active");
        world_.after(world_.draw(300, 2000), [this, &old] {
            if (old.is_up()) old.crash();
            publish(old, "left");
        });
    }
    // The drain is taken back.
    void drain_for_a_while(CarrierSwitch& target) {
        publish(target, "leaving");
        world_.after(world_.draw(300, 3000), [this, &target] {
            if (current_[target.number()] == &target) publish(target, "active");
        });
    }

    // ---- Gatekeepers

    void write_config(Node& node) {
        const std::string listen =
            own_address().to_string() + ':' + std::to_string(node.listen_endpoint.port());
        node.process.write_config(R"({"name":"n)" + std::to_string(node.number) + R"(","listen":")" + listen +
                                  R"(","feed":")" + node.discovery.address() + R"(","seed":"5","known":)" +
                                  node.discovery.known() + "," + kSettings);
    }
    void start(Node& node) {
        std::vector<Discovery::Entry> list;
        for (const auto& [number, carrier_switch] : current_)
            list.push_back(entry(*carrier_switch, node.number, carrier_switch->state.c_str()));
        node.discovery.begin(list);
        write_config(node);
        node.is_stopping = node.was_killed = node.was_late = false;
        node.started = World::now();
        node.process.start();
        node.callers.come();
    }
    void stop(Node& node) {
        if (node.is_stopping || !node.process.is_running() || !node.callers.are_present()) return;
        node.is_stopping = true;
        signal(node, SIGTERM);
        world_.after(kNewConnectionsAfterStop, [&node, started = node.started] {
            if (node.started == started) node.callers.stop_coming();
        });
        world_.after(kKillAfter, [this, &node, started = node.started] {
            if (node.started == started) kill(node);
        });
    }
    void kill(Node& node) {
        if (!node.process.is_running()) return;
        node.was_killed = true;
        node.callers.gatekeeper_gone(node.is_stopping);  // before the connections close
        signal(node, SIGKILL);
    }
    // Sometimes several new configurations in quick succession, each with discovery at a new address.
    void reload(Node& node) {
        for (int time = world_.random.draw_below(4); time >= 0; --time)
            world_.after(milliseconds(40 * time), [this, &node] {
                if (!node.process.is_running() || !node.callers.are_present()) return;
                if (world_.random.draw_bool(0.6)) node.discovery.move();
                write_config(node);
                signal(node, SIGHUP);
            });
    }
    void signal(Node& node, int number) {
        ++signals_;
        node.process.signal(number);
    }
    Node& any_node() { return *nodes_[static_cast<std::size_t>(world_.random.draw_below(kGatekeepers))]; }

    void poll() {
        for (const auto& node : nodes_) {
            if (node->process.has_ended()) handle_end(*node);
            if (node->process.is_running() && !node->callers.are_present() && !node->was_late &&
                !node->was_killed && World::now() - node->started > kMaxReadyTime) {
                node->was_late = true;
                rules_.violation("not ready", "n" + std::to_string(node->number));
            }
        }
        world_.after(kPollInterval, [this] { poll(); });
    }
    void handle_end(Node& node) {
        const int status = node.process.status();
        const bool in_order = (WIFEXITED(status) && WEXITSTATUS(status) == 0 && node.is_stopping) ||
                              (node.was_killed && WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
        if (!in_order)
            rules_.violation("crash",
                             "n" + std::to_string(node.number) + " status " + std::to_string(status));
        for (const auto& carrier_switch : switches_) {
            carrier_switch->drain_links(node.number);
            carrier_switch->forget(node.number);
        }
        if (!node.was_killed) node.callers.gatekeeper_gone(node.is_stopping);
        world_.after(world_.draw(20, 500), [this, &node] { start(node); });
    }
    void check() {
        rules_.check_times();
        world_.after(kCheckInterval, [this] { check(); });
    }

    // ---- Faults

    // Runs the fault at random times, so many a second on average.
    void repeat(double per_second, std::function<void()> fault) {
        if (per_second <= 0) return;
        const auto mean = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / per_second));
        world_.after(world_.random.draw_exponential(mean), [this, per_second, fault] {
            if (is_ending_) return;
            fault();
            repeat(per_second, fault);
        });
    }
    void schedule_faults() {
        repeat(kSwitches * faults_.connection_loss, [this] { any_switch().lose_connections(); });
        repeat(kSwitches * faults_.crash, [this] { crash(any_switch()); });
        repeat(kSwitches * faults_.hang, [this] { any_switch().hang(world_.draw(200, 5000)); });
        repeat(kSwitches * faults_.replacement, [this] { replace(any_switch()); });
        repeat(kSwitches * faults_.drain, [this] { drain_for_a_while(any_switch()); });
        repeat(kGatekeepers * faults_.discovery_down,
               [this] { any_node().discovery.go_down(world_.draw(200, 6000)); });
        repeat(kGatekeepers * faults_.discovery_silent,
               [this] { any_node().discovery.fall_silent(world_.draw(500, 6000)); });
        repeat(kGatekeepers * faults_.reload, [this] { reload(any_node()); });
        repeat(faults_.termination, [this] {  // one after another
            for (int g = 0; g < kGatekeepers; ++g)
                world_.after(milliseconds(600 * g),
                             [this, g] { stop(*nodes_[static_cast<std::size_t>(g)]); });
        });
        repeat(kGatekeepers * faults_.termination, [this] { stop(any_node()); });
        repeat(kGatekeepers * faults_.kill, [this] {
            Node& node = any_node();
            if (!node.is_stopping) kill(node);
        });
    }

    void keep_logs() const {
        const std::string kept = "/tmp/nettlestall-soak-logs/" + std::to_string(seed_);
        std::filesystem::remove_all(kept);
        std::filesystem::create_directories(kept);
        for (const auto& node : nodes_) {
            std::error_code ignored;
            std::filesystem::copy(node->process.log_path(), kept, ignored);
        }
        std::cout << "  logs in " << kept << std::endl;
    }

    std::uint64_t seed_;
    World world_;
    Rules rules_;
    Faults faults_;
    int seconds_;
    std::string folder_;
    std::vector<std::unique_ptr<CarrierSwitch>> switches_;  // those that were replaced too
    std::map<int, CarrierSwitch*> current_;                 // by number
    std::vector<std::unique_ptr<Node>> nodes_;
    int signals_ = 0;
    bool is_ending_ = false;
};

}  // namespace
}  // namespace nettlestall::soak

int main(int count, char** arguments) {
    if (count != 5) {
        std::cerr << "usage: soak_test PROGRAM FIRST_SEED RUNS SECONDS\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    const int runs = std::atoi(arguments[3]);
    for (int run = 0; run < runs; ++run)
        failed +=
            !nettlestall::soak::Run(
                 arguments[1], std::strtoull(arguments[2], nullptr, 10) + static_cast<std::uint64_t>(run),
                 std::atoi(arguments[4]))
                 .play();
    std::cout << runs - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
