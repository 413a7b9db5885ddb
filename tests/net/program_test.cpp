// Starts the program and speaks to it over loopback sockets, as callers, a carrier switch and the feed do.
// Waits for what must come and never for a span of time, so that a busy machine only makes it slower.
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "check.hpp"
#include "protocol/codec.hpp"

using namespace nettlestall::protocol;
using nettlestall::CallId;

namespace {

constexpr int kPatienceSeconds = 20;  // for anything that must come

// An address of this process's own, so that tests side by side do not meet.
std::string own_address() {
    const int pid = getpid();
    return "127." + std::to_string(64 + (pid >> 16 & 63)) + '.' + std::to_string(pid >> 8 & 255) + '.' +
           std::to_string(1 + (pid & 255) % 254);
}

sockaddr_in to_sockaddr(int port) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, own_address().c_str(), &to.sin_addr);
    return to;
}

class Fd {
   public:
    explicit Fd(int fd) : fd_(fd) {
        CHECK(fd >= 0);
        const timeval patience{kPatienceSeconds, 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    }
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~Fd() { close(); }
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    int get() const { return fd_; }

   private:
    int fd_;
};

struct Heard {
    Type type;
    CallId call;
    int cause;
    std::string description, number, service_class;
};

class Peer {
   public:
    explicit Peer(int fd) : fd_(fd) {}

    static Peer connect(int port) {
        for (;;) {  // until the program listens
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in to = to_sockaddr(port);
            if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return Peer(fd);
            ::close(fd);
            usleep(5000);
        }
    }
    void say(const std::string& bytes) {
        CHECK(::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
              static_cast<ssize_t>(bytes.size()));
    }
    void say(const Frame& frame) { say(frame.head + (frame.tail ? *frame.tail : "")); }
    // The next message that is not merely polite.
    Heard hear() {
        for (Message message;;) {
            const Inbox::Next next = inbox_.next(message);
            CHECK(next != Inbox::Next::malformed);
            if (next == Inbox::Next::message) {
                if (message.type == Type::release_heard) continue;
                return {message.type,
                        message.call(),
                        message.cause(),
                        std::string(message.text(Code::description)),
                        std::string(message.text(Code::number)),
                        std::string(message.text(Code::service_class))};
            }
            const auto space = inbox_.space();
            const ssize_t bytes = ::recv(fd_.get(), space.data(), space.size(), 0);
            CHECK(bytes > 0);
            inbox_.filled(static_cast<std::size_t>(bytes));
        }
    }
    int fd() const { return fd_.get(); }
    bool closed_by_far_end() {
        char byte = 0;
        const ssize_t bytes = ::recv(fd_.get(), &byte, 1, 0);
        return bytes == 0 || (bytes < 0 && errno == ECONNRESET);
    }
    std::string line() {
        std::string text;
        for (char c = 0; c != '\n'; text += c) CHECK(::recv(fd_.get(), &c, 1, 0) == 1);
        return text;
    }
    void hang_up() { fd_.close(); }

   private:
    Fd fd_;
    Inbox inbox_;
};

class Listener {
   public:
    Listener() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in at = to_sockaddr(0);
        CHECK(::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        CHECK(::listen(fd_.get(), 16) == 0);
        socklen_t size = sizeof at;
        CHECK(getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size) == 0);
        port_ = ntohs(at.sin_port);
    }
    Peer accept() { return Peer(::accept(fd_.get(), nullptr, nullptr)); }
    void hang_up() { fd_.close(); }
    int port() const { return port_; }
    std::string address() const { return own_address() + ':' + std::to_string(port_); }

   private:
    Fd fd_;
    int port_ = 0;
};

class Program {
   public:
    Program(const char* path, const std::string& config)
        : stem_("/tmp/program_test." + std::to_string(getpid())) {
        configure(config);
        pid_ = fork();
        CHECK(pid_ >= 0);
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // a check that fails must not leave it running
            setenv("BALANCER_CONFIG", (stem_ + ".json").c_str(), 1);
            unsetenv("BALANCER_LISTEN");
            dup2(open((stem_ + ".log").c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600), 2);
            execl(path, path, nullptr);
            _exit(127);
        }
    }
    ~Program() {
        if (pid_ > 0) ::kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
        for (const char* end : {".json", ".log"}) unlink((stem_ + end).c_str());
    }
    void configure(const std::string& config) { std::ofstream(stem_ + ".json") << config; }
    void signal(int number) { CHECK(::kill(pid_, number) == 0); }
    int exit_code() {
        int status = 0;
        CHECK(waitpid(std::exchange(pid_, -1), &status, 0) > 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::string log() const {
        std::stringstream text;
        text << std::ifstream(stem_ + ".log").rdbuf();
        return text.str();
    }
    void await_log(const std::string& text) const {
        while (log().find(text) == std::string::npos) usleep(5000);
    }

   private:
    std::string stem_;
    pid_t pid_ = -1;
};

std::string server(int cell, const std::string& address, const char* state = "active") {
    return R"({"id":"s-)" + std::to_string(cell) + R"(","addr":")" + address + R"(","cell":)" +
           std::to_string(cell) + R"(,"state":")" + state + R"(","started_ms":0})";
}

std::string event(int number, bool full, const std::string& servers) {
    return R"({"n":)" + std::to_string(number) + R"(,"members":{"version":1,"full":)" +
           (full ? "true" : "false") + R"(,"servers":[)" + servers + "]}}";
}

std::string set_up(const CallId& call, int to, int patience_ms, const char* service_class = "move") {
    const Frame frame = FrameBuilder(Type::set_up, call)
                            .text(Code::service_class, service_class)
                            .text(Code::patience, std::to_string(patience_ms))
                            .text(Code::number, "7f3a")
                            .text(Code::figures, "dest:" + std::to_string(to) + ";width:1;via:-1")
                            .done(std::make_shared<const std::string>("offer of " + call));
    return frame.head + *frame.tail;
}

Frame answer(const CallId& call) {
    return FrameBuilder(Type::answer, call).done(std::make_shared<const std::string>("media\r\n of " + call));
}

Frame group(const char* state) {
    return FrameBuilder(Type::group_state, "").text(Code::report, state).done();
}

Frame release(const CallId& call, std::uint8_t cause) {
    return FrameBuilder(Type::release, call).cause(cause).done();
}

Heard test(Peer& caller) {
    caller.say(FrameBuilder(Type::test, "00000000000000aa").cause(0).done());
    const Heard heard = caller.hear();
    CHECK(heard.type == Type::test_result && heard.call == "00000000000000aa");
    return heard;
}

void bad_config_is_told_and_ends_it(const char* path) {
    Program program(path, R"({"listen":"127.0.0.1:0","settings":{"limits":7}})");
    CHECK(program.exit_code() == 1);
    CHECK(program.log().find("'limits' must be an object") != std::string::npos);
}

// A long connect time-out keeps the program from taking a slow test for a silent switch.
std::string config(int port, const Listener& feed, const Listener& at_switch, const char* connect_time_out) {
    return R"({"name":"n","listen":")" + own_address() + ':' + std::to_string(port) + R"(","feed":")" +
           feed.address() + R"(","seed":"5","known":{"n":1,"events":[)" +
           event(1, true, server(1, at_switch.address())) +
           R"(]},"limits":{"sockets":40},"settings":{"self_index":0,"fleet_size":3,)"
           R"("family_info":{"this_node":0,"release_s":0.3},)"
           R"("grades":[{"name":"move","aim_s":20,"deadline_s":90}],"limits":{"send_cap":5,"open_cap":100,)"
           R"("dial_timeout_s":)" +
           connect_time_out + R"(},"obligations":{"drain_grace_s":0.5,"grace_to_answer_s":0.02}}})";
}

// A cut link says nothing: without a further connection the releases of dropped calls never came.
void a_silent_switch_is_dialled_anew(const char* path) {
    Listener at, feed_at;
    const int port = Listener().port();
    Program program(path, config(port, feed_at, at, "0.1"));
    Peer at_switch = at.accept();
    at_switch.say(group("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (test(caller).cause != 1) usleep(5000);
    caller.say(set_up("0000000000000001", 1, 20'000));
    CHECK(at.accept().fd() >= 0);
}

// The file is replaced in service. A faulty one changes nothing; a good one moves the feed, whose numbers go
// on, and a call that is out meanwhile gets its answer.
void it_takes_a_new_configuration(const char* path) {
    Listener first, second, third, feed_at, moved_to;
    const int port = Listener().port();
    Program program(path, config(port, feed_at, first, "10"));
    Peer feed = feed_at.accept();
    CHECK(feed.line() == "SUB 1\n");
    Peer at_switch = first.accept();
    at_switch.say(group("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (test(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001", two = "0000000000000002";
    caller.say(set_up(one, 1, 20'000));
    CHECK(at_switch.hear().call == one);

    program.configure(config(port, moved_to, first, "-1"));
    program.signal(SIGHUP);
    program.await_log("'dial_timeout_s' must be more than 0");
    program.configure(config(port + 1, moved_to, first, "10"));
    program.signal(SIGHUP);
    program.await_log("'listen' must be the same until a restart");
    feed.say(event(2, false, server(2, second.address())) + "\n");
    Peer at_second = second.accept();

    program.configure(config(port, moved_to, first, "10"));
    program.signal(SIGHUP);
    Peer moved = moved_to.accept();
    CHECK(moved.line() == "SUB 2\n");
    CHECK(feed.closed_by_far_end());
    moved.say(event(3, false, server(3, third.address())) + "\n");
    Peer at_third = third.accept();
    at_switch.say(group("x0:0;x1:9"));  // else it could be the tandem, until the other group is known
    at_switch.say(answer(one));
    CHECK(caller.hear().description == "media\r\n of " + one);
    at_third.say(group("x0:9;x1:9"));
    caller.say(set_up(two, 3, 20'000));
    CHECK(at_third.hear().call == two);
    program.signal(SIGUSR1);
    program.await_log(" reloads=1 reloads_refused=2 ");
}

// Connections that are held for nothing cost no ordinary caller a place: neither by their number nor for
// good.
void idle_connections_make_room(const char* path) {
    Listener at, feed_at;
    const int port = Listener().port();
    Program program(path, config(port, feed_at, at, "10"));  // 40 descriptors: 20 callers
    Peer at_switch = at.accept();
    at_switch.say(group("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (test(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001";
    caller.say(set_up(one, 1, 20'000));
    CHECK(at_switch.hear().call == one);

    std::vector<Peer> silent;
    for (int i = 0; i < 60; ++i) silent.push_back(Peer::connect(port));
    Peer second = Peer::connect(port);
    CHECK(test(second).cause == 1);
    silent.back().say(set_up(one, 1, 20'000).substr(0, 20));  // and half a message
    for (Peer& peer : silent) CHECK(peer.closed_by_far_end());
    // The one with an open set-up and the one that once asked stay.
    CHECK(test(second).cause == 1);
    at_switch.say(answer(one));
    CHECK(caller.hear().call == one);
    program.signal(SIGUSR1);
    program.await_log(" client_connections_turned_away=0 ");
}

// An answer stops short and the connection stays open: what is out there would wait behind it for ever.
void a_halted_connection_is_closed(const char* path) {
    Listener at, feed_at;
    const int port = Listener().port();
    Program program(path, config(port, feed_at, at, "1"));
    Peer at_switch = at.accept();
    at_switch.say(group("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (test(caller).cause != 1) usleep(5000);
    const CallId one = "0000000000000001";
    caller.say(set_up(one, 1, 20'000));
    CHECK(at_switch.hear().call == one);
    const Frame whole = answer(one);
    at_switch.say(whole.head.substr(0, 9));
    Peer again = at.accept();
    again.say(group("x0:9;x1:9"));
    CHECK(at_switch.closed_by_far_end());
    Heard heard = again.hear();  // should its answer have been lost, it stands for nobody
    CHECK(heard.type == Type::release && heard.call == one);
    heard = again.hear();
    CHECK(heard.type == Type::set_up && heard.call == one);
    again.say(whole);
    CHECK(caller.hear().type == Type::answer);
}

void it_serves(const char* path) {
    Listener first, second, feed_at;
    const int port = Listener().port();  // free again, at an address that nobody else uses
    Program program(path, config(port, feed_at, first, "10"));
    Peer feed = feed_at.accept();
    CHECK(feed.line() == "SUB 1\n");
    Peer at_switch = first.accept();
    at_switch.say(group("x0:9;x1:9"));
    Peer caller = Peer::connect(port);
    while (test(caller).cause != 1) usleep(5000);

    // One call to its end.
    const CallId one = "0000000000000001", two = "0000000000000002", three = "0000000000000003";
    caller.say(set_up(one, 1, 20'000));
    const Heard sent = at_switch.hear();
    CHECK(sent.type == Type::set_up && sent.call == one && sent.description == "offer of " + one);
    CHECK(sent.number == "7f3a" && sent.service_class == "move");
    at_switch.say(answer(one));
    Heard heard = caller.hear();
    CHECK(heard.type == Type::answer && heard.call == one && heard.description == "media\r\n of " + one);
    // The group's state goes before the release, so that whoever hears of the release knows it was read.
    at_switch.say(group("x0:0;x1:9"));
    at_switch.say(release(one, 16));
    heard = caller.hear();
    CHECK(heard.type == Type::release && heard.call == one && heard.cause == 16);

    // Refused: no circuit is free. Failed: nobody knows its class.
    caller.say(set_up(two, 1, 200));
    heard = caller.hear();
    CHECK(heard.type == Type::release && heard.call == two && heard.cause == 34);
    caller.say(set_up(three, 1, 200, "nonsense"));
    heard = caller.hear();
    CHECK(heard.type == Type::release && heard.call == three && heard.cause == 47);

    // What is malformed closes its own connection and harms nobody else.
    Peer noise = Peer::connect(port);
    noise.say(std::string("GET / HTTP/1.1\r\n\r\n"));
    CHECK(noise.closed_by_far_end());
    CHECK(test(caller).cause == 1);

    // The feed breaks off after an event, in the middle of the next: it is resumed behind the former.
    feed.say(event(2, false, server(2, second.address())) + "\n{\"n\":3,\"mem");
    Peer at_second = second.accept();
    feed.hang_up();
    feed = feed_at.accept();
    CHECK(feed.line() == "SUB 2\n");
    feed.say(std::string("{\"n\":2}\n"));

    // A connection breaks with a set-up open on it: the set-up comes again, on a new connection.
    at_second.say(group("x0:9;x1:9"));
    const CallId six = "0000000000000006", seven = "0000000000000007";
    caller.say(set_up(six, 2, 20'000));
    CHECK(at_second.hear().call == six);
    at_second.hang_up();
    at_second = second.accept();
    at_second.say(group("x0:9;x1:9"));
    CHECK(at_second.hear().type == Type::release);
    CHECK(at_second.hear().call == six);
    at_second.say(answer(six));
    CHECK(caller.hear().type == Type::answer);

    // A process dies: its port refuses, and what stood there is cut.
    at_switch.say(group("x0:9;x1:9"));
    caller.say(set_up(seven, 1, 20'000));
    CHECK(at_switch.hear().call == seven);
    at_switch.say(answer(seven));
    CHECK(caller.hear().type == Type::answer);
    first.hang_up();
    at_switch.hang_up();
    heard = caller.hear();
    CHECK(heard.type == Type::release && heard.call == seven && heard.cause == 41);

    // SIGTERM: an open set-up is served to its answer, a new connection too, and then it ends.
    const CallId four = "0000000000000004", five = "0000000000000005";
    caller.say(set_up(four, 2, 20'000));
    CHECK(at_second.hear().call == four);
    program.signal(SIGUSR1);
    program.await_log(" set_ups=6 ");
    program.signal(SIGTERM);
    while (test(caller).cause != 0) usleep(5000);
    Peer late = Peer::connect(port);
    late.say(set_up(five, 2, 20'000));
    CHECK(at_second.hear().call == five);
    at_second.say(answer(five));
    CHECK(late.hear().type == Type::answer);
    at_second.say(answer(four));
    CHECK(caller.hear().description == "media\r\n of " + four);
    CHECK(program.exit_code() == 0);
    CHECK(program.log().find(" answered=5 refused=1 failed=1 ") != std::string::npos);
}

}  // namespace

int main(int count, char** arguments) {
    CHECK(count == 2);
    bad_config_is_told_and_ends_it(arguments[1]);
    a_silent_switch_is_dialled_anew(arguments[1]);
    it_takes_a_new_configuration(arguments[1]);
    idle_connections_make_room(arguments[1]);
    a_halted_connection_is_closed(arguments[1]);
    it_serves(arguments[1]);
}
