// Messages that come together from many connections, and far ends that do not read. A connection whose far
// end reads is never closed, however much is queued for it in one turn of the event loop.
#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

#include "loopback.hpp"

using namespace nettlestall::test;
using nettlestall::CallId;

namespace {

constexpr std::size_t kLongDescription = 16'300;  // the message is nearly as long as allowed

CallId to_call(std::size_t number) {
    char call[17];
    std::snprintf(call, sizeof call, "%016zx", number);
    return call;
}

std::string set_up_with(const CallId& call, int to, std::size_t description_bytes) {
    return FrameBuilder(MessageType::set_up, call)
        .text(ParameterCode::service_class, "move")
        .text(ParameterCode::time_left, "60000")
        .text(ParameterCode::number, call)
        .text(ParameterCode::attributes, "dest:" + std::to_string(to) + ";width:1;via:-1")
        .text(ParameterCode::description, std::string(description_bytes, 'o'))
        .build()
        .header;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

std::string answer_with(const CallId& call, std::size_t description_bytes) {
    return FrameBuilder(MessageType::answer, call)
        .text(ParameterCode::description, std::string(description_bytes, 'm'))
        .build()
        .header;
}

// A gatekeeper with `switch_count` carrier switches, which are exchanges 1 and up.
struct Site {
    Site(const char* path, int switch_count)
        : switch_listeners(static_cast<std::size_t>(switch_count)),
          port(Listener().port()),
          program(path, config(), 0) {
        for (Listener& listener : switch_listeners) switches.push_back(listener.accept());
        for (Peer& carrier_switch : switches) carrier_switch.send(group_state("x0:9000;x1:9000"));
        Peer caller = connect_caller();
        while (health_check(caller).cause != 1) usleep(5000);
    }
    ~Site() { program.kill(); }

    std::string config() const {
        std::string text = config_json(port, feed_listener, switch_listeners[0], "10");
        const auto replace = [&text](const std::string& from, const std::string& to) {
            const auto at = text.find(from);
            CHECK(at != std::string::npos);
            text.replace(at, from.size(), to);
        };
        std::string entries;
        for (std::size_t i = 0; i < switch_listeners.size(); ++i)
            entries += (i ? "," : "") + switch_json(static_cast<int>(i) + 1, switch_listeners[i].address());
        replace(switch_json(1, switch_listeners[0].address()), entries);
        replace("\"sockets\":40", "\"sockets\":256,\"memory_mb\":64");
        replace("\"open_cap\":100", "\"open_cap\":20000");
        return text;
    }
    Peer connect_caller() { return Peer::connect(port); }
    Peer& carrier_switch(std::size_t exchange) { return switches[exchange - 1]; }
    // What is sent to the program until it goes on comes to it in one turn of its event loop.
    void stop_program() { program.signal(SIGSTOP), usleep(50'000); }
    void continue_program() { program.signal(SIGCONT); }

    Listener feed_listener;
    std::vector<Listener> switch_listeners;
    int port;
    Program program;
    std::vector<Peer> switches;
};

// The answers of several switches come together, as after the end of a cut. They are more than was allowed to
// wait on a connection, whose caller reads at once: it was closed, with all set-ups open on it.
void passes_on_answers_that_come_together(const char* path, int switch_count, std::size_t description_bytes) {
    Site site(path, switch_count);
    Peer caller = site.connect_caller();
    const auto count = static_cast<std::size_t>(switch_count);
    for (std::size_t i = 1; i <= count; ++i) caller.send(set_up_with(to_call(i), static_cast<int>(i), 40));
    for (std::size_t i = 1; i <= count; ++i) CHECK(site.carrier_switch(i).receive().call == to_call(i));
    site.stop_program();
    for (std::size_t i = 1; i <= count; ++i)
        site.carrier_switch(i).send(answer_with(to_call(i), description_bytes));
    usleep(50'000);
    site.continue_program();
    for (std::size_t i = 1; i <= count; ++i) {
        const Received reply = caller.receive();
        CHECK(reply.type == MessageType::answer && reply.description.size() == description_bytes);
    }
    CHECK(health_check(caller).cause == 1);
}

// Thousands of calls of one caller are cut at once, when the process of their switch dies. Their releases are
// short, but many.
void sends_releases_of_all_calls_that_are_cut_together(const char* path) {
    constexpr std::size_t kCalls = 6000;
    Site site(path, 1);
    Peer caller = site.connect_caller();
    for (std::size_t i = 1; i <= kCalls; ++i) {
        caller.send(set_up_with(to_call(i), 1, 40));
        CHECK(site.carrier_switch(1).receive().call == to_call(i));
        site.carrier_switch(1).send(answer(to_call(i)));
        CHECK(caller.receive().type == MessageType::answer);
    }
    site.switch_listeners[0].close();
    site.carrier_switch(1).close();  // the next dial is refused: no process listens
    for (std::size_t i = 1; i <= kCalls; ++i) {
        const Received reply = caller.receive();
        CHECK(reply.type == MessageType::release && reply.cause == 41);
    }
    CHECK(health_check(caller).type == MessageType::health_check_result);
}

// Long set-ups of several callers come together and go to one switch, which reads at once. Its connection was
// closed, and all set-ups to it failed.
void passes_on_set_ups_that_come_together(const char* path) {
    constexpr std::size_t kCallers = 10;
    // Prompt answers after which the decision module lets as many set-ups be pending at one switch.
    constexpr std::size_t kWarmUpCalls = 100;
    Site site(path, 1);
    Peer first = site.connect_caller();
    for (std::size_t i = 1; i <= kWarmUpCalls; ++i) {
        const CallId call = to_call(kCallers + i);
        first.send(set_up_with(call, 1, 40));
        CHECK(site.carrier_switch(1).receive().call == call);
        site.carrier_switch(1).send(answer(call));
        CHECK(first.receive().type == MessageType::answer);
    }
    std::vector<Peer> callers;
    for (std::size_t i = 0; i < kCallers; ++i) callers.push_back(site.connect_caller());
    for (Peer& caller : callers) CHECK(health_check(caller).cause == 1);
    site.stop_program();
    for (std::size_t i = 0; i < kCallers; ++i)
        callers[i].send(set_up_with(to_call(i + 1), 1, kLongDescription - 200));
    usleep(50'000);
    site.continue_program();
    std::vector<CallId> arrived;
    for (std::size_t i = 0; i < kCallers; ++i) arrived.push_back(site.carrier_switch(1).receive().call);
    for (const CallId& call : arrived) site.carrier_switch(1).send(answer(call));
    std::sort(arrived.begin(), arrived.end());
    CHECK(std::unique(arrived.begin(), arrived.end()) == arrived.end());
    for (Peer& caller : callers) CHECK(caller.receive().type == MessageType::answer);
}

// A caller sends without end and reads nothing. What waits for it is bounded, and then its connection is
// closed; another caller is served meanwhile.
void closes_a_connection_that_is_never_read(const char* path, bool checks_memory) {
    Site site(path, 1);
    Peer silent = site.connect_caller(), usual = site.connect_caller();
    const timeval send_time_out{0, 50'000};
    setsockopt(silent.fd(), SOL_SOCKET, SO_SNDTIMEO, &send_time_out, sizeof send_time_out);
    std::string checks;
    for (int i = 0; i < 1000; ++i)
        checks += FrameBuilder(MessageType::health_check, "00000000000000aa").cause(0).build().header;
    std::size_t calls = 0;
    long most_kb = 0;
    while (!contains(site.program.log(), " overflowed=1 ")) {
        // Fails once the connection is closed, and while the gatekeeper reads too slowly.
        for (int i = 0; i < 50; ++i) ::send(silent.fd(), checks.data(), checks.size(), MSG_NOSIGNAL);
        most_kb = std::max(most_kb, site.program.memory_kb());
        const CallId call = to_call(++calls);
        usual.send(set_up_with(call, 1, 40));
        CHECK(site.carrier_switch(1).receive().call == call);
        site.carrier_switch(1).send(answer(call));
        CHECK(usual.receive().type == MessageType::answer);
        site.program.signal(SIGUSR1);
    }
    std::printf("a caller that does not read: at most %ld kB\n", most_kb);
    if (checks_memory) CHECK(most_kb <= 64 * 1024);
    CHECK(health_check(usual).cause == 1);
}

}  // namespace

// The second argument `unchecked` leaves out the checks of the memory: sanitizers need more of it.
int main(int count, char** arguments) {
    CHECK(count >= 2);
    const char* const path = arguments[1];
    const bool checks_memory = count < 3 || std::string(arguments[2]) != "unchecked";
    passes_on_answers_that_come_together(path, 6, kLongDescription);
    passes_on_answers_that_come_together(path, 12, 6'000);
    passes_on_set_ups_that_come_together(path);
    sends_releases_of_all_calls_that_are_cut_together(path);
    closes_a_connection_that_is_never_read(path, checks_memory);
}
