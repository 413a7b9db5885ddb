// Stand-ins for the review's cases: callers, carrier switches and the control feed on loopback addresses, and
// the gatekeeper as a separate process that the command of the deploy file starts. One thread, real clock, no
// library of the project.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace review {

// The case could not run.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};
[[noreturn]] inline void cannot_run(const std::string& why) {
    throw CannotRun(why);
}

// Seconds since the start of the case.
inline double now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// ---- The record -------------------------------------------------------------------------------------

inline std::FILE*& record_file() {
    static std::FILE* file = nullptr;
    return file;
}

[[gnu::format(printf, 1, 2)]] inline void record(const char* format, ...) {
    if (!record_file()) return;
    std::fprintf(record_file(), "%9.4f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_file(), format, arguments);
    va_end(arguments);
    std::fputc('\n', record_file());
    std::fflush(record_file());
}

// ---- Messages ---------------------------------------------------------------------------------------

enum Type : std::uint8_t {
    kSetUp = 1,
    kAnswer = 9,
    kRelease = 12,
    kReleaseHeard = 16,
    kGroupState = 43,
    kTest = 52,
    kTestResult = 53
};

struct Message {
    std::uint8_t type = 0;
    std::uint64_t call = 0;
    std::map<int, std::string> parameters;
    int cause() const {
        const auto at = parameters.find(44);
        return at == parameters.end() || at->second.empty() ? 0 : static_cast<unsigned char>(at->second[0]);
    }
    std::string text(int code) const {
        const auto at = parameters.find(code);
        return at == parameters.end() ? std::string() : at->second;
    }
};

inline std::string encode(const Message& message) {
    std::string body(1, static_cast<char>(message.type));
    for (int shift = 56; shift >= 0; shift -= 8) body += static_cast<char>(message.call >> shift & 255);
    for (const auto& [code, value] : message.parameters) {
        body += static_cast<char>(code);
        body += static_cast<char>(value.size() >> 8);
        body += static_cast<char>(value.size() & 255);
        body += value;
    }
    std::string bytes{static_cast<char>(body.size() >> 8), static_cast<char>(body.size() & 255)};
    return bytes + body;
}

// Takes the next whole message from the front of `bytes`.
inline std::optional<Message> take_message(std::string& bytes) {
    const auto at = [&bytes](std::size_t i) {
        return static_cast<std::size_t>(static_cast<unsigned char>(bytes[i]));
    };
    if (bytes.size() < 2) return std::nullopt;
    const std::size_t length = at(0) << 8 | at(1);
    if (length < 9) cannot_run("a message without a header came from the gatekeeper");
    if (bytes.size() < 2 + length) return std::nullopt;
    Message message;
    message.type = static_cast<std::uint8_t>(at(2));
    for (std::size_t i = 3; i < 11; ++i) message.call = message.call << 8 | at(i);
    for (std::size_t i = 11; i + 3 <= 2 + length;) {
        const std::size_t size = at(i + 1) << 8 | at(i + 2);
        message.parameters.emplace(static_cast<int>(at(i)), bytes.substr(i + 3, size));
        i += 3 + size;
    }
    bytes.erase(0, 2 + length);
    return message;
}

inline Message release_message(std::uint64_t call, int cause) {
    return {kRelease, call, {{44, std::string(1, static_cast<char>(cause))}}};
}

// ---- The loop ---------------------------------------------------------------------------------------

// One TCP connection. What is sent waits in `out` until the socket takes it.
struct Connection {
    int fd = -1;
    std::string in, out;
    bool held = false;                           // as on a cut link: nothing is read and nothing is written
    std::function<void(Connection&)> on_bytes;   // there are new bytes in `in`
    std::function<void(Connection&)> on_closed;  // the far end has closed or reset it
    bool is_open() const { return fd >= 0; }
    void send(const Message& message) { send_bytes(encode(message)); }
    void send_bytes(const std::string& bytes) {
        if (!is_open()) return;
        out += bytes;
        flush();
    }
    void flush() {
        while (is_open() && !held && !out.empty()) {
            const ssize_t sent = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent <= 0) return;
            out.erase(0, static_cast<std::size_t>(sent));
        }
    }
    void close() {
        if (fd >= 0) ::close(fd);
        fd = -1;
    }
    // As when the process at this end dies.
    void reset() {
        const linger at_once{1, 0};
        if (fd >= 0) ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }
};
using ConnectionPtr = std::shared_ptr<Connection>;

inline sockaddr_in to_sockaddr(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) cannot_run("address " + ip);
    return address;
}

inline int new_socket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) cannot_run("socket");
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

// A listening socket of a stand-in.
struct Listener {
    int fd = -1;
    std::string ip;
    int port = 0;
    bool held = false;
    std::vector<int> fillers;  // connections that keep the queue full while the link is cut
    std::set<int> filler_ports;
    std::function<void(ConnectionPtr)> on_accept;

    std::string address() const { return ip + ":" + std::to_string(port); }
    void open(const std::string& at_ip, int at_port) {
        ip = at_ip;
        fd = new_socket();
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = to_sockaddr(ip, at_port);
        if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) cannot_run("bind " + ip);
        if (::listen(fd, 128) != 0) cannot_run("listen");
        socklen_t size = sizeof address;
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }
    void close() {
        if (fd >= 0) ::close(fd);
        fd = -1;
    }
    // New connections never come up from now on: the queue of the listening socket is filled, and the kernel
    // drops what else wants to connect.
    void hold() {
        held = true;
        ::listen(fd, 0);
        for (int i = 0; i < 3; ++i) {
            const int filler = new_socket();
            const sockaddr_in to = to_sockaddr(ip, port);
            ::connect(filler, reinterpret_cast<const sockaddr*>(&to), sizeof to);
            sockaddr_in own{};
            socklen_t size = sizeof own;
            ::getsockname(filler, reinterpret_cast<sockaddr*>(&own), &size);
            filler_ports.insert(ntohs(own.sin_port));
            fillers.push_back(filler);
        }
    }
    void resume() {
        held = false;
        ::listen(fd, 128);
        for (const int filler : fillers) ::close(filler);
        fillers.clear();
    }
};

// Waits for sockets and moments, and calls what is registered for them.
class Loop {
   public:
    static Loop& get() {
        static Loop loop;
        return loop;
    }
    void add(const ConnectionPtr& connection) { connections_.push_back(connection); }
    void add(Listener& listener) { listeners_.push_back(&listener); }
    void at(double when, std::function<void()> what) { timers_.emplace(when, std::move(what)); }
    void after(double seconds, std::function<void()> what) { at(now() + seconds, std::move(what)); }
    void run_until(double end) {
        while (now() < end) step(end);
    }
    bool run_until(double end, const std::function<bool()>& done) {
        while (now() < end && !done()) step(std::min(end, now() + 0.02));
        return done();
    }
    ConnectionPtr connect(const std::string& from, const std::string& ip, int port) {
        const auto connection = std::make_shared<Connection>();
        connection->fd = new_socket();
        const sockaddr_in own = to_sockaddr(from, 0), to = to_sockaddr(ip, port);
        if (::bind(connection->fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0)
            cannot_run("bind " + from);
        ::fcntl(connection->fd, F_SETFL, 0);
        const bool connected =
            ::connect(connection->fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
        ::fcntl(connection->fd, F_SETFL, O_NONBLOCK);
        if (!connected) connection->close();
        if (connected) add(connection);
        return connection;
    }

   private:
    void step(double end) {
        while (!timers_.empty() && timers_.begin()->first <= now()) {
            const auto what = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            what();
        }
        std::erase_if(connections_, [](const ConnectionPtr& c) { return !c->is_open(); });
        std::vector<pollfd> polled;
        std::vector<ConnectionPtr> read_from;
        std::vector<Listener*> accept_from;
        for (const ConnectionPtr& c : connections_) {
            if (c->held) continue;
            polled.push_back({c->fd, static_cast<short>(POLLIN | (c->out.empty() ? 0 : POLLOUT)), 0});
            read_from.push_back(c);
        }
        for (Listener* listener : listeners_) {
            if (listener->fd < 0 || listener->held) continue;
            polled.push_back({listener->fd, POLLIN, 0});
            accept_from.push_back(listener);
        }
        double wait = end - now();
        if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - now());
        const timespec limit{0, static_cast<long>(std::max(0.0, std::min(wait, 0.9)) * 1e9)};
        if (::ppoll(polled.data(), polled.size(), &limit, nullptr) <= 0) return;
        for (std::size_t i = 0; i < read_from.size(); ++i)
            if (polled[i].revents) serve(read_from[i], polled[i].revents);
        for (std::size_t i = 0; i < accept_from.size(); ++i)
            if (polled[read_from.size() + i].revents) accept(*accept_from[i]);
    }
    void serve(const ConnectionPtr& c, short events) {
        if (!c->is_open()) return;
        if (events & POLLOUT) c->flush();
        if (!(events & (POLLIN | POLLERR | POLLHUP))) return;
        char buffer[65536];
        const ssize_t bytes = ::recv(c->fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (bytes < 0 && (errno == EAGAIN || errno == EINTR)) return;
        if (bytes > 0) {
            c->in.append(buffer, static_cast<std::size_t>(bytes));
            if (c->on_bytes) c->on_bytes(*c);
            return;
        }
        c->close();
        if (c->on_closed) c->on_closed(*c);
    }
    void accept(Listener& listener) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const int fd =
            ::accept4(listener.fd, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (fd < 0) return;
        if (listener.filler_ports.count(ntohs(peer.sin_port))) {
            ::close(fd);
            return;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto connection = std::make_shared<Connection>();
        connection->fd = fd;
        add(connection);
        listener.on_accept(connection);
    }

    std::vector<ConnectionPtr> connections_;
    std::vector<Listener*> listeners_;
    std::multimap<double, std::function<void()>> timers_;
};

inline Loop& loop() {
    return Loop::get();
}

// ---- Carrier switches -------------------------------------------------------------------------------

// The carrier switch of one hub. It answers each set-up after `answer_after` seconds and releases the call
// `hold` seconds later (cause 16), unless the gatekeeper releases it first.
class Switch {
   public:
    struct Call {
        std::weak_ptr<Connection> connection;  // of its set-up
        bool answered = false, over = false;
        double set_up_at = 0, answered_at = -1, ended_at = -1;  // ended_at: its end at this switch
        double released_by_gatekeeper_at = -1;
        bool release_sent = false;
    };
    std::string id;
    int cell = 0;
    std::string zone = "suva";
    double answer_after = 0.01, hold = 3.0;
    std::size_t description_bytes = 40;
    bool record_calls = true;
    std::size_t longest_number = 64;  // a set-up with a longer one is of no use to it: answered with an error
    std::map<std::uint64_t, Call> calls;

    void start(const std::string& ip, int port = 0) {
        listener_.open(ip, port);
        if (listener_.on_accept) return;
        listener_.on_accept = [this](const ConnectionPtr& c) { accepted(c); };
        loop().add(listener_);
    }
    std::string address() const { return listener_.address(); }
    std::string entry(const char* state = "active", std::int64_t started_ms = 0) const {
        return R"({"id":")" + id + R"(","addr":")" + address() + R"(","zone":")" + zone +
               R"(","kind":"single-core","cell":)" + std::to_string(cell) + R"(,"state":")" + state +
               R"(","weight":1,"started_ms":)" + std::to_string(started_ms) + "}";
    }
    std::size_t open_connections() const {
        std::size_t open = 0;
        for (const auto& c : connections_) open += c->is_open();
        return open;
    }

    // The process dies: connections are reset and its calls are cut.
    void die() {
        record("switch %s: process dies, connections reset, its calls are cut", id.c_str());
        listener_.close();
        for (const auto& c : connections_) c->reset();
        connections_.clear();
        releases_.clear();
        for (auto& [call, state] : calls)
            if (!state.over) state.over = true, state.ended_at = now();
    }
    // A new process at the same address.
    void start_again() {
        record("switch %s: a new process at the same address", id.c_str());
        start(listener_.ip, listener_.port);
    }
    // The link to the gatekeeper is cut: open connections say nothing, and new ones never come up.
    void cut() {
        record("link to switch %s cut", id.c_str());
        is_cut_ = true;
        listener_.hold();
        for (const auto& c : connections_) c->held = true;
    }
    void heal() {
        record("link to switch %s healed", id.c_str());
        is_cut_ = false;
        listener_.resume();
        for (const auto& c : connections_) c->held = false;
        for (const auto& c : connections_) c->flush();
    }

   private:
    void accepted(const ConnectionPtr& c) {
        connections_.push_back(c);
        c->send(state());
        // A release is sent also on the next connection that is opened.
        for (const std::uint64_t call : releases_) c->send(release_message(call, 16));
        releases_.clear();
        std::weak_ptr<Connection> weak = c;
        c->on_bytes = [this, weak](Connection&) {
            const auto self = weak.lock();
            while (auto message = self ? take_message(self->in) : std::nullopt) handle(self, *message);
        };
        c->on_closed = [this, weak](Connection&) {
            // The set-ups that are open on it are given up.
            for (auto& [call, state] : calls)
                if (!state.answered && !state.over && state.connection.lock() == weak.lock())
                    state.over = true, state.ended_at = now();
            std::erase_if(connections_, [](const ConnectionPtr& known) { return !known->is_open(); });
        };
    }
    // The state of the circuits toward this hub: each call takes one from its set-up until its end.
    Message state() const {
        int held = 0;
        for (const auto& [call, at] : calls) held += !at.over;
        return {kGroupState, 0, {{34, "x0:" + std::to_string(std::max(0, 100 - held)) + ";x1:100"}}};
    }
    // It comes without being asked on the open connections, at most four.
    void report_state() {
        int reported = 0;
        for (const auto& c : connections_)
            if (c->is_open() && ++reported <= 4) c->send(state());
    }
    void handle(const ConnectionPtr& c, const Message& message) {
        if (message.type == kRelease) {
            c->send({kReleaseHeard, message.call, {}});
            const auto at = calls.find(message.call);
            if (at == calls.end() || at->second.over) return;
            if (record_calls)
                record("switch %s: release of %016lx from the gatekeeper, %s", id.c_str(), message.call,
                       at->second.answered ? "the call stood" : "not answered yet");
            at->second.over = true;
            at->second.ended_at = at->second.released_by_gatekeeper_at = now();
            report_state();
            return;
        }
        if (message.type != kSetUp) return;
        if (message.text(24).size() > longest_number) {
            c->send(release_message(message.call, 47));
            return;
        }
        if (record_calls) record("switch %s: set-up of %016lx", id.c_str(), message.call);
        Call& call = calls[message.call];
        call = {};
        call.connection = c;
        call.set_up_at = now();
        report_state();
        const std::uint64_t number = message.call;
        const double set_up_at = call.set_up_at;
        loop().after(answer_after, [this, number, set_up_at] { answer(number, set_up_at); });
    }
    // The connection on which what concerns the call is sent: that of its set-up, or else any open one.
    ConnectionPtr connection_of(const Call& call) const {
        if (const auto c = call.connection.lock(); c && c->is_open()) return c;
        for (const auto& c : connections_)
            if (c->is_open()) return c;
        return nullptr;
    }
    void answer(std::uint64_t number, double set_up_at) {
        Call& call = calls[number];
        if (call.over || call.answered || call.set_up_at != set_up_at) return;
        const auto c = call.connection.lock();
        if (!c || !c->is_open()) return;
        call.answered = true;
        call.answered_at = now();
        std::string description = "media of " + std::to_string(number) + " by " + id + " ";
        description.resize(std::max(description.size(), description_bytes), 'm');
        if (record_calls) record("switch %s: answer to %016lx", id.c_str(), number);
        c->send({kAnswer, number, {{46, description}}});
        loop().after(hold, [this, number, set_up_at] { end(number, set_up_at); });
    }
    void end(std::uint64_t number, double set_up_at) {
        Call& call = calls[number];
        if (call.over || call.set_up_at != set_up_at) return;
        call.over = true;
        call.ended_at = now();
        call.release_sent = true;
        if (record_calls)
            record("switch %s: end of %016lx%s", id.c_str(), number,
                   is_cut_ ? ", its release waits at the cut" : ", release sent");
        if (const auto c = connection_of(call)) c->send(release_message(number, 16));
        releases_.push_back(number);
        report_state();
    }

    Listener listener_;
    std::vector<ConnectionPtr> connections_;
    std::vector<std::uint64_t> releases_;  // to be sent again on the next connection
    bool is_cut_ = false;
};

// ---- The control feed -------------------------------------------------------------------------------

class Feed {
   public:
    void start(const std::string& ip) {
        listener_.open(ip, 0);
        listener_.on_accept = [this](const ConnectionPtr& c) {
            connections_.push_back(c);
            std::weak_ptr<Connection> weak = c;
            c->on_bytes = [this, weak](Connection& self) {
                const auto end = self.in.find('\n');
                if (end == std::string::npos || self.in.rfind("SUB ", 0) != 0) return;
                const long known = std::atol(self.in.c_str() + 4);
                self.in.erase(0, end + 1);
                for (const auto& [number, line] : events_)
                    if (number > known) self.send_bytes(line + "\n");
                subscribed_.insert(weak.lock());
            };
        };
        loop().add(listener_);
        loop().after(1.0, [this] { heartbeat(); });
    }
    std::string address() const { return listener_.address(); }
    // The event; the first one is the whole list.
    void tell(const std::string& servers) {
        const long number = static_cast<long>(events_.size()) + 1;
        events_[number] = R"({"n":)" + std::to_string(number) + R"(,"members":{"version":)" +
                          std::to_string(number) + R"(,"full":)" + (number == 1 ? "true" : "false") +
                          R"(,"servers":[)" + servers + "]}}";
        for (const auto& c : subscribed_) c->send_bytes(events_[number] + "\n");
    }
    std::string known() const {
        std::string text;
        for (const auto& [number, line] : events_) text += (text.empty() ? "" : ",") + line;
        return R"({"n":)" + std::to_string(events_.size()) + R"(,"events":[)" + text + "]}";
    }

   private:
    void heartbeat() {
        for (const auto& c : subscribed_) c->send_bytes(std::to_string(events_.size()) + "\n");
        loop().after(1.0, [this] { heartbeat(); });
    }
    Listener listener_;
    std::map<long, std::string> events_;
    std::vector<ConnectionPtr> connections_;
    std::set<ConnectionPtr> subscribed_;
};

// ---- Callers ----------------------------------------------------------------------------------------

// One caller with an address of its own and one connection.
class Caller {
   public:
    struct Call {
        double sent_at = 0, patience = 9.0;
        bool on_closed_connection = false;  // the connection ended before its final answer
        double answered_at = -1, refused_at = -1;
        int refusal = 0;
        double released_at = -1;  // the release after its answer
        int release_cause = 0;
        int answers = 0;
    };
    std::string name, ip;
    std::map<std::uint64_t, Call> calls;
    std::vector<std::uint64_t> foreign;  // releases and answers for calls of somebody else
    double closed_at = -1;
    bool record_calls = true;

    Caller(std::string caller_name, std::string own_ip)
        : name(std::move(caller_name)), ip(std::move(own_ip)) {}

    bool connect(const std::string& to_ip, int port) {
        connection_ = loop().connect(ip, to_ip, port);
        if (!connection_->is_open()) return false;
        connection_->on_bytes = [this](Connection& c) {
            while (auto message = take_message(c.in)) handle(*message);
        };
        connection_->on_closed = [this](Connection&) {
            closed_at = now();
            std::size_t open = 0;
            for (auto& [id, call] : calls)
                if (call.answered_at < 0 && call.refused_at < 0 && now() < call.sent_at + call.patience)
                    call.on_closed_connection = true, ++open;
            record("%s: its connection was closed by the gatekeeper, %zu set-ups open on it", name.c_str(),
                   open);
        };
        return true;
    }
    bool is_connected() const { return connection_ && connection_->is_open(); }
    std::uint64_t set_up(int destination, const char* service_class = "move", int width = 1,
                         double patience = 9.0, std::size_t description_bytes = 40) {
        static std::uint64_t last = static_cast<std::uint64_t>(unix_ms()) << 20;
        const std::uint64_t id = ++last;
        calls[id] = {.sent_at = now(), .patience = patience};
        std::string description(description_bytes, 'o');
        if (record_calls) record("%s: set-up of %016lx to hub %d", name.c_str(), id, destination);
        connection_->send(
            {kSetUp,
             id,
             {{16, service_class},
              {18, std::to_string(static_cast<int>(patience * 1000))},
              {24, "7f3a9c21" + std::to_string(id & 0xffffff)},
              {26, "dest:" + std::to_string(destination) + ";width:" + std::to_string(width) + ";via:-1"},
              {46, description}}});
        return id;
    }
    // A caller whose time is over gives the set-up up; no answer is owed then.
    void give_up_overdue() {
        for (auto& [id, call] : calls) {
            if (call.answered_at >= 0 || call.refused_at >= 0 || now() < call.sent_at + call.patience + 0.07)
                continue;
            call.refused_at = now();
            call.refusal = -1;
            record("%s: no answer to %016lx in its time", name.c_str(), id);
        }
    }
    void test() { connection_->send({kTest, 0xaa, {{44, std::string(1, '\0')}}}); }
    int test_result = -1;

   private:
    void handle(const Message& message) {
        if (message.type == kTestResult) {
            test_result = message.cause();
            return;
        }
        if (message.type != kAnswer && message.type != kRelease) return;
        const auto at = calls.find(message.call);
        if (at == calls.end()) {
            foreign.push_back(message.call);
            record("%s: %s of %016lx, which is not a call of this caller", name.c_str(),
                   message.type == kAnswer ? "answer" : "release", message.call);
            return;
        }
        Call& call = at->second;
        if (message.type == kAnswer) {
            ++call.answers;
            if (call.answered_at < 0) call.answered_at = now();
            if (record_calls) record("%s: answer to %016lx", name.c_str(), message.call);
        } else if (call.answered_at < 0) {
            call.refused_at = now();
            call.refusal = message.cause();
            if (record_calls)
                record("%s: release of %016lx before its answer, cause %d", name.c_str(), message.call,
                       message.cause());
        } else {
            call.released_at = now();
            call.release_cause = message.cause();
            if (record_calls)
                record("%s: release of %016lx after its answer, cause %d", name.c_str(), message.call,
                       message.cause());
        }
    }
    ConnectionPtr connection_;
};

// ---- The gatekeeper ---------------------------------------------------------------------------------

// A private temporary folder that is removed at the end.
class Folder {
   public:
    Folder() {
        const char* base = std::getenv("TMPDIR");
        std::string pattern = std::string(base && *base ? base : "/tmp") + "/review.XXXXXX";
        if (!::mkdtemp(pattern.data())) cannot_run("temporary folder");
        path = pattern;
    }
    ~Folder() {
        const std::string command = "rm -rf '" + path + "'";
        if (std::system(command.c_str()) != 0) std::fprintf(stderr, "left behind: %s\n", path.c_str());
    }
    std::string path;
};

// The command `run` of the deploy file.
inline std::string run_command(const std::string& root) {
    std::ifstream file(root + "/deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("run", 0) != 0) continue;
        const auto begin = line.find('"'), end = line.rfind('"');
        if (begin != std::string::npos && end > begin) return line.substr(begin + 1, end - begin - 1);
    }
    cannot_run("no `run` in the deploy file");
}

struct Settings {
    int own_cell = 0, hubs = 6;
    std::string zone = "suva";
    int memory_mb = 192, sockets = 1024;
};

// The settings as the wire's page shows them, for a small deployment.
inline std::string settings_json(const Settings& settings) {
    const auto grade = [](const char* name, const char* aim, const char* points) {
        return std::string(R"({"name":")") + name + R"(","aim_s":)" + aim + R"(,"points":)" + points +
               R"(,"deadline_s":9.0,"group":"all","late_worth":0.25,"repeat":"retryable","stream":true,)" +
               R"("window_s":5.0})";
    };
    return R"({"client_habits":{"marks_retry":true},"discovery":"pushed","domain_type":"trunks",)"
           R"("family_info":{"class_hold_s":[9.4,9.4,7.5],"class_width":[1,3,1],"hints_route":false,)"
           R"("layout":"mesh","peer_load":"inline","release_s":0.3,"resend_s":0.0,"retry_hint":false,)"
           R"("skilled_pools":[],"this_node":)" +
           std::to_string(settings.own_cell) + R"(},"fleet_size":)" + std::to_string(settings.hubs) +
           R"(,"grades":[)" + grade("move", "2.0", "1.0") + "," + grade("live-board", "2.0", "3.0") + "," +
           grade("seek", "1.5", "2.0") +
           R"(],"kinds":["single-core"],"limits":{"cancel":true,"conn_idle_s":600.0,)"
           R"("cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout_s":0.5,"max_retry_after_s":2.0,)"
           R"("may_duplicate":false,"open_cap":20000,"peers":false,"probes":false,"retry_after":false,)"
           R"("send_cap":5,"streams_per_conn":1048576},"obligations":{"cold_from":0.37,)"
           R"("drain_grace_s":0.5,"fall_multiple":3.0,"fall_s":2.0,"grace_to_answer_s":0.02,)"
           R"("must_ask_in_s":10.0,"ramp_time_s":13.0},"over_share_worth":0.1,"parties":[],)"
           R"("prices":{"late_fail":0.066,"waste":0.02},"report":{"names":["free","size","svc_ms",)"
           R"("can_take"],"source":"inline"},"self_index":)" +
           std::to_string(settings.own_cell) +
           R"(,"stage":0,"step_s":0.005,"tiers":["game-hubs"],"value_by":"request","weights":"off",)"
           R"("zone":")" +
           settings.zone + R"(","zones":["suva","auckland"]})";
}

// A gatekeeper process; killed at the end if it still runs.
class Gatekeeper {
   public:
    // `folder`: becomes TMPDIR, and holds the configuration and the log.
    Gatekeeper(std::string root, std::string name, const std::string& folder)
        : root_(std::move(root)), name_(std::move(name)), folder_(folder) {}
    ~Gatekeeper() { kill(); }
    // `operators`: the second address; empty: none.
    void start(const std::string& listen, const std::string& feed, const std::string& known,
               const Settings& settings, const std::string& operators = "") {
        const std::string config = folder_ + "/" + name_ + ".json", log = folder_ + "/" + name_ + ".log";
        const std::string shared = folder_ + "/shared";
        ::mkdir(shared.c_str(), 0700);
        std::ofstream(config) << R"({"name":"n0","listen":")" << listen << R"(","seed":"8c1f30d27a5be964",)"
                              << R"("limits":{"cores":1.0,"memory_mb":)" << settings.memory_mb
                              << R"(,"sockets":)" << settings.sockets << R"(},"feed":")" << feed
                              << R"(","known":)" << known << R"(,"settings":)" << settings_json(settings)
                              << "}";
        const std::string command = run_command(root_);
        pid_ = ::fork();
        if (pid_ < 0) cannot_run("fork");
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("BALANCER_NAME", "n0", 1);
            ::setenv("BALANCER_LISTEN", listen.c_str(), 1);
            ::setenv("BALANCER_CONFIG", config.c_str(), 1);
            operators.empty() ? ::unsetenv("BALANCER_OPERATOR")
                              : ::setenv("BALANCER_OPERATOR", operators.c_str(), 1);
            ::setenv("TMPDIR", shared.c_str(), 1);
            const int to = ::open(log.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
            ::dup2(to, 1), ::dup2(to, 2);
            if (::chdir(root_.c_str()) != 0) ::_exit(127);
            ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
            ::_exit(127);
        }
        record("gatekeeper process %s started: %s", name_.c_str(), command.c_str());
    }
    void signal(int number) {
        record("signal %d to gatekeeper process %s", number, name_.c_str());
        if (pid_ > 0) ::kill(pid_, number);
    }
    // The memory that the process holds, in kB; 0 if it can't be read.
    long memory_kb() const {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6);
        return 0;
    }
    bool has_ended() {
        if (pid_ <= 0) return true;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
        record("gatekeeper process %s ended, %s %d", name_.c_str(),
               WIFEXITED(status) ? "exit code" : "signal",
               WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
        crashed = !WIFEXITED(status) || WEXITSTATUS(status) != 0;
        pid_ = -1;
        return true;
    }
    void kill() {
        if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    // Adds the gatekeeper's own log to the record.
    void record_log() {
        std::ifstream log(folder_ + "/" + name_ + ".log");
        int lines = 0;
        for (std::string line; std::getline(log, line) && ++lines <= 400;)
            if (record_file()) std::fprintf(record_file(), "   log of %s: %s\n", name_.c_str(), line.c_str());
    }
    bool crashed = false;

   private:
    std::string root_, name_, folder_;
    pid_t pid_ = -1;
};

// ---- The frame of a case ----------------------------------------------------------------------------

struct Arguments {
    std::string root, ip;  // ip: a loopback address of this run
    bool trouble = true;
};

// Arguments: the project's root and the file for the record.
inline Arguments begin(int argc, char** argv) {
    if (argc < 3) cannot_run("arguments: ROOT RECORD");
    ::signal(SIGPIPE, SIG_IGN);
    now();
    record_file() = std::fopen(argv[2], "w");
    if (!record_file()) cannot_run("record");
    Arguments arguments;
    arguments.root = argv[1];
    const char* trouble = std::getenv("TROUBLE");
    arguments.trouble = !trouble || std::string(trouble) != "0";
    const int pid = ::getpid();
    arguments.ip = "127." + std::to_string(80 + (pid >> 16 & 31)) + "." + std::to_string(pid >> 8 & 255) +
                   "." + std::to_string(10 + pid % 200);
    record("case starts, TROUBLE=%d", arguments.trouble ? 1 : 0);
    return arguments;
}

inline int free_port(const std::string& ip) {
    Listener listener;
    listener.open(ip, 0);
    listener.close();
    return listener.port;
}

// Whether the process with this operators' address says that it is ready.
inline bool is_ready(const std::string& ip, int port) {
    const ConnectionPtr c = loop().connect(ip, ip, port);
    if (!c->is_open()) return false;
    std::string reply;
    c->on_bytes = [&reply](Connection& self) { reply += std::exchange(self.in, {}); };
    c->send_bytes("GET /ready HTTP/1.1\r\nHost: gatekeeper\r\n\r\n");
    loop().run_until(now() + 1.0,
                     [&] { return !c->is_open() || reply.find("\r\n\r\n") != std::string::npos; });
    c->on_bytes = nullptr;
    c->close();
    return reply.rfind("HTTP/1.1 200", 0) == 0;
}

// Connects the caller and waits until the gatekeeper passes a test on the connection.
inline void connect_when_ready(Caller& caller, const std::string& ip, int port) {
    const double end = now() + 10;
    while (now() < end && !caller.connect(ip, port)) loop().run_until(now() + 0.05);
    while (now() < end && caller.test_result != 1) {
        if (!caller.is_connected()) cannot_run("the gatekeeper closed the first connection");
        caller.test();
        loop().run_until(now() + 0.1);
    }
    if (caller.test_result != 1) cannot_run("the gatekeeper did not become ready");
    record("the gatekeeper is ready");
}

// Plays a case and returns the exit code; 2 if it could not run.
inline int run_case(int (*play)(int, char**), int argc, char** argv) {
    try {
        return play(argc, argv);
    } catch (const CannotRun& reason) {
        record("cannot run: %s", reason.what());
        std::fprintf(stderr, "cannot run: %s\n", reason.what());
        return 2;
    }
}

// Prints and records the result, and returns the exit code.
inline int finish(const std::vector<std::string>& violations, const std::string& summary) {
    for (const std::string& violation : violations) record("BROKEN: %s", violation.c_str());
    record("%s", summary.c_str());
    record("result: %s", violations.empty() ? "the rule held" : "the rule was broken");
    std::printf("%s: %s\n", violations.empty() ? "held" : "BROKEN", summary.c_str());
    return violations.empty() ? 0 : 1;
}

}  // namespace review
