// Stand-ins of the second review: one event loop with callers, carrier switches, the control feed and
// gatekeepers as processes. They speak the protocol of the operators' page, with a codec of their own, on
// loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

constexpr int kBroken = 1, kHeld = 0, kCannotRun = 2;

inline double now() {
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration<double>(steady_clock::now() - start).count();
}

// The record of a run.
inline FILE*& record_file() {
    static FILE* file = stdout;
    return file;
}
[[gnu::format(printf, 1, 2)]] inline void record(const char* format, ...) {
    std::fprintf(record_file(), "%9.3f  ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(record_file(), format, arguments);
    va_end(arguments);
    std::fputc('\n', record_file());
    std::fflush(record_file());
}
[[noreturn]] inline void cannot_run(const std::string& why) {
    record("CANNOT RUN: %s", why.c_str());
    std::exit(kCannotRun);
}

// ---- Messages ------------------------------------------------------------------------------------------

enum Type { kSetUp = 1, kProgress = 6, kAnswer = 9, kRelease = 12, kReleaseHeard = 16, kGroupState = 43 };
enum TestType { kTest = 52, kTestResult = 53 };
enum Code { kClass = 16, kTimeLeft = 18, kNumber = 24, kFigures = 26, kNote = 30, kReport = 34 };
enum LastCodes { kCause = 44, kDescription = 46 };

struct Message {
    int type = 0;
    std::string call;  // 16 hex digits
    std::map<int, std::string> parameters{};
    int cause() const {
        const auto at = parameters.find(kCause);
        return at == parameters.end() || at->second.empty() ? -1 : static_cast<unsigned char>(at->second[0]);
    }
    std::string text(int code) const {
        const auto at = parameters.find(code);
        return at == parameters.end() ? std::string() : at->second;
    }
};

inline std::string big_endian(std::size_t value) {
    return {static_cast<char>(value >> 8), static_cast<char>(value & 255)};
}
inline std::size_t big_endian(const char* bytes) {
    return static_cast<std::size_t>(static_cast<unsigned char>(bytes[0])) << 8 |
           static_cast<unsigned char>(bytes[1]);
}

inline std::string encode(const Message& message) {
    std::string body(1, static_cast<char>(message.type));
    for (std::size_t i = 0; i < 16; i += 2)
        body += static_cast<char>(std::strtol(message.call.substr(i, 2).c_str(), nullptr, 16));
    for (const auto& [code, value] : message.parameters)
        body += static_cast<char>(code) + big_endian(value.size()) + value;
    return big_endian(body.size()) + body;
}
inline std::string release_message(const std::string& call, int cause) {
    return encode({kRelease, call, {{kCause, std::string(1, static_cast<char>(cause))}}});
}

inline std::string call_id(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

// ---- The event loop ------------------------------------------------------------------------------------

class Loop {
   public:
    struct Watched {
        std::function<void()> readable;
        std::function<bool()> wants_write;
        std::function<void()> writable;
        std::function<bool()> wants_read;
    };
    void watch(int fd, Watched watched) { watched_[fd] = std::move(watched); }
    void forget(int fd) { watched_.erase(fd); }
    void at(double when, std::function<void()> action) { timers_.emplace(when, std::move(action)); }
    void after(double delay, std::function<void()> action) { at(now() + delay, std::move(action)); }
    // Runs until `end` or until `done`.
    void run_until(
        double end, const std::function<bool()>& done = [] { return false; }) {
        while (now() < end && !done()) {
            while (!timers_.empty() && timers_.begin()->first <= now()) {
                const auto action = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                action();
            }
            std::vector<pollfd> all;
            for (const auto& [fd, watched] : watched_) {
                const bool reads = !watched.wants_read || watched.wants_read();
                const bool writes = watched.wants_write && watched.wants_write();
                if (reads || writes)
                    all.push_back({fd, static_cast<short>((reads ? POLLIN : 0) | (writes ? POLLOUT : 0)), 0});
            }
            double next = std::min(end, now() + 0.02);
            if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
            const int wait = std::max(0, static_cast<int>((next - now()) * 1000 + 0.5));
            poll(all.data(), all.size(), wait);
            for (const pollfd& ready : all) {
                if (!ready.revents) continue;
                // Copies: a handler may forget its own socket.
                if (const auto at = watched_.find(ready.fd);
                    at != watched_.end() && ready.revents & POLLOUT) {
                    const auto handler = at->second.writable;
                    handler();
                }
                if (const auto at = watched_.find(ready.fd);
                    at != watched_.end() && ready.revents & (POLLIN | POLLHUP | POLLERR)) {
                    const auto handler = at->second.readable;
                    handler();
                }
            }
        }
    }

   private:
    std::map<int, Watched> watched_;
    std::multimap<double, std::function<void()>> timers_;
};

inline Loop& loop() {
    static Loop all;
    return all;
}

// ---- Sockets -------------------------------------------------------------------------------------------

inline sockaddr_in to_sockaddr(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) cannot_run("bad address " + ip);
    return address;
}

// A port that is free on `ip` at this moment.
inline int free_port(const std::string& ip) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = to_sockaddr(ip, 0);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) cannot_run("no free port");
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

// One TCP connection. Bytes are handled by on_bytes, or message by message by on_message.
class Connection {
   public:
    explicit Connection(int fd) : fd_(fd) {
        fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
        loop().watch(fd_, {.readable = [this] { read_available(); },
                           .wants_write = [this] { return !out_.empty(); },
                           .writable = [this] { write_queued(); },
                           .wants_read = [this] { return !paused; }});
    }
    Connection(const Connection&) = delete;
    ~Connection() { close(); }

    std::function<void(const Message&)> on_message;
    std::function<void(std::string&)> on_bytes;  // takes what it wants from the front
    std::function<void()> on_close;              // the far end closed or reset it
    bool paused = false;                         // reads nothing
    int number = 0;                              // for the record

    bool is_open() const { return fd_ >= 0; }
    int unread() const {
        int bytes = 0;
        if (fd_ >= 0) ioctl(fd_, FIONREAD, &bytes);
        return bytes;
    }
    void send(const std::string& bytes) {
        if (fd_ < 0) return;
        out_ += bytes;
        write_queued();
    }
    void close() {
        if (fd_ < 0) return;
        loop().forget(fd_);
        ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        if (fd_ < 0) return;
        const linger at_once{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }

   private:
    void write_queued() {
        while (fd_ >= 0 && !out_.empty()) {
            const ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
            if (sent <= 0) return;
            out_.erase(0, static_cast<std::size_t>(sent));
        }
    }
    void read_available() {
        char buffer[16384];
        const ssize_t bytes = ::recv(fd_, buffer, sizeof buffer, 0);
        if (bytes < 0 && (errno == EAGAIN || errno == EINTR)) return;
        if (bytes <= 0) {
            close();
            if (const auto handler = on_close) handler();
            return;
        }
        in_.append(buffer, static_cast<std::size_t>(bytes));
        if (on_bytes) return on_bytes(in_);
        while (fd_ >= 0 && in_.size() >= 2 && in_.size() >= 2 + big_endian(in_.data())) {
            const std::string body = in_.substr(2, big_endian(in_.data()));
            in_.erase(0, 2 + body.size());
            if (body.size() < 9) cannot_run("a message that is too short");
            Message message{.type = static_cast<unsigned char>(body[0]), .call = {}};
            for (std::size_t i = 1; i < 9; ++i) {
                char digits[3];
                std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(body[i]));
                message.call += digits;
            }
            for (std::size_t at = 9; at + 3 <= body.size();) {
                const std::size_t length = big_endian(body.data() + at + 1);
                message.parameters[static_cast<unsigned char>(body[at])] = body.substr(at + 3, length);
                at += 3 + length;
            }
            if (on_message) on_message(message);
        }
    }

    int fd_;
    std::string in_, out_;
};
using ConnectionPtr = std::shared_ptr<Connection>;

// Connects to ip:port from `source`; null if that is refused.
inline ConnectionPtr connect_from(const std::string& source, const std::string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in from = to_sockaddr(source, 0), to = to_sockaddr(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&from), sizeof from) != 0) cannot_run("bind " + source);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Connection>(fd);
}

// A listening socket, which can be closed and opened again at the same port.
class Listener {
   public:
    Listener(std::string ip, std::function<void(ConnectionPtr)> accept)
        : ip_(std::move(ip)), port_(free_port(ip_)), accept_(std::move(accept)) {
        open();
    }
    ~Listener() { close(); }
    void open() {
        if (fd_ >= 0) return;
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = to_sockaddr(ip_, port_);
        if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            listen(fd_, 64) != 0)
            cannot_run("cannot listen on " + address_text());
        loop().watch(fd_, {.readable =
                               [this] {
                                   const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                                   if (fd >= 0) accept_(std::make_shared<Connection>(fd));
                               },
                           .wants_write = {},
                           .writable = {},
                           .wants_read = {}});
    }
    void close() {
        if (fd_ < 0) return;
        loop().forget(fd_);
        ::close(fd_);
        fd_ = -1;
    }
    std::string address_text() const { return ip_ + ":" + std::to_string(port_); }
    int port() const { return port_; }

   private:
    std::string ip_;
    int port_, fd_ = -1;
    std::function<void(ConnectionPtr)> accept_;
};

// ---- The control feed ----------------------------------------------------------------------------------

// Tells the events that a gatekeeper does not have, and the last number every second.
class Feed {
   public:
    explicit Feed(const std::string& ip)
        : listener_(ip, [this](ConnectionPtr connection) { accepted(std::move(connection)); }) {
        beat();
    }
    std::string address_text() const { return listener_.address_text(); }
    double first_line_delay = 0;  // from a subscription to the first line on its connection
    int subscriptions = 0, answered_subscriptions = 0;
    // Adds the next event; `servers`: its entries.
    void add(bool full, const std::string& servers) {
        const std::size_t n = events_.size() + 1;
        events_.push_back(R"({"n":)" + std::to_string(n) + R"(,"members":{"version":)" + std::to_string(n) +
                          R"(,"full":)" + (full ? "true" : "false") + R"(,"servers":[)" + servers + "]}}");
        record("feed: event %zu %s", n, servers.c_str());
        for (const auto& subscriber : subscribers_) subscriber->send(events_.back() + "\n");
    }
    // The events up to now, as the configuration has them.
    std::string known() const {
        std::string all;
        for (const std::string& event : events_) all += (all.empty() ? "" : ",") + event;
        return R"({"n":)" + std::to_string(events_.size()) + R"(,"events":[)" + all + "]}";
    }

   private:
    void accepted(ConnectionPtr connection) {
        Connection* const raw = connection.get();
        all_.push_back(connection);
        connection->on_bytes = [this, raw, weak = std::weak_ptr(connection)](std::string& bytes) {
            const auto end = bytes.find('\n');
            if (end == std::string::npos) return;
            const std::string line = bytes.substr(0, end);
            bytes.clear();
            if (line.rfind("SUB ", 0) != 0) return raw->close();
            ++subscriptions;
            const std::size_t last = std::strtoul(line.c_str() + 4, nullptr, 10);
            record("feed: SUB %zu", last);
            loop().after(first_line_delay, [this, weak, last, raw] {
                const auto subscriber = weak.lock();
                if (!subscriber || !raw->is_open()) return;
                ++answered_subscriptions;
                for (std::size_t n = last; n < events_.size(); ++n) raw->send(events_[n] + "\n");
                raw->send(std::to_string(events_.size()) + "\n");
                subscribers_.push_back(subscriber);
            });
        };
        connection->on_close = [this, raw] {
            record("feed: a subscriber has closed its connection");
            loop().after(0, [this, raw] {
                std::erase_if(subscribers_, [raw](const auto& at) { return at.get() == raw; });
                std::erase_if(all_, [raw](const auto& at) { return at.get() == raw; });
            });
        };
    }
    void beat() {
        for (const auto& subscriber : subscribers_) subscriber->send(std::to_string(events_.size()) + "\n");
        loop().after(1, [this] { beat(); });
    }

    std::vector<std::string> events_;
    std::vector<ConnectionPtr> all_, subscribers_;
    Listener listener_;
};

// An entry of the feed's list for exchange number `cell`.
inline std::string entry(const std::string& id, const std::string& address, int cell,
                         const char* state = "active", long long started_ms = 0) {
    return R"({"id":")" + id + R"(","addr":")" + address + R"(","zone":"suva","kind":"single-core","cell":)" +
           std::to_string(cell) + R"(,"state":")" + state + R"(","weight":1,"started_ms":)" +
           std::to_string(started_ms) + "}";
}

// ---- Carrier switches ----------------------------------------------------------------------------------

// A sound carrier switch. It answers each set-up after answer_delay, and sends the release of a standing call
// on the connection of its set-up or else on any open one, and once more on the next one that is opened.
class Switch {
   public:
    struct Call {
        std::weak_ptr<Connection> connection;
        bool stands = false, released_by_gatekeeper = false, ended = false;
        double answered_at = 0, released_at = 0;
        int set_ups = 0;
    };

    Switch(std::string name, const std::string& ip)
        : listener(ip, [this](ConnectionPtr connection) { accepted(std::move(connection)); }),
          name_(std::move(name)) {}

    double answer_delay = 0.02;  // negative: set-ups are not answered
    double holding_time = -1;    // negative: calls stand until they are released
    int circuits = 60;
    std::map<std::string, Call> calls;
    std::vector<ConnectionPtr> connections;  // that are open
    std::function<void()> on_connections;    // their number has changed
    std::function<void(const std::string&)> on_set_up, on_release;
    double path_delay = 0;  // each way: of the releases that the switch sends, and of its hearing of a close
    bool quiet = false;     // leaves set-ups and releases out of the record
    Listener listener;

    int used() const {
        int count = 0;
        for (const auto& [id, call] : calls) count += call.stands;
        return count;
    }
    std::string state() const {
        const std::string text =
            "x0:" + std::to_string(circuits - used()) + ";x1:" + std::to_string(circuits);
        return encode({kGroupState, call_id(0), {{kReport, text}}});
    }
    void send_state() {
        for (std::size_t i = 0; i < connections.size() && i < 4; ++i) connections[i]->send(state());
    }
    void answer(const std::string& id) {
        Call& call = calls[id];
        const auto connection = call.connection.lock();
        if (!connection || !connection->is_open() || call.ended || call.stands) return;
        call.stands = true;
        call.answered_at = now();
        if (!quiet) record("%s: answers %s", name_.c_str(), id.c_str());
        connection->send(encode({kAnswer, id, {{kDescription, "media of " + id + " from " + name_}}}));
        send_state();
        if (holding_time >= 0) loop().after(holding_time, [this, id] { end(id, 16); });
    }
    // Ends a standing call from this side.
    void end(const std::string& id, int cause) {
        Call& call = calls[id];
        if (!call.stands) return;
        call.stands = false;
        call.ended = true;
        call.released_at = now();
        if (!quiet) record("%s: releases %s, cause %d", name_.c_str(), id.c_str(), cause);
        auto on = call.connection.lock();
        const bool knows =
            std::any_of(connections.begin(), connections.end(), [&](const auto& c) { return c == on; });
        if ((!on || !knows) && !connections.empty()) on = connections.back();
        if (on && path_delay > 0)
            loop().after(path_delay, [on, id, cause] { on->send(release_message(id, cause)); });
        else if (on)
            on->send(release_message(id, cause));
        again_on_next_.push_back(release_message(id, cause));
        send_state();
    }

   private:
    void accepted(ConnectionPtr connection) {
        connection->number = ++accepted_;
        record("%s: connection %d opened", name_.c_str(), connection->number);
        Connection* const raw = connection.get();
        connection->on_message = [this, raw](const Message& message) { received(raw, message); };
        connection->on_close = [this, raw] { closed(raw); };
        connections.push_back(connection);
        connection->send(state());
        for (const std::string& release : std::exchange(again_on_next_, {})) connection->send(release);
        if (on_connections) on_connections();
    }
    void closed(Connection* raw) {
        record("%s: connection %d closed by the far end", name_.c_str(), raw->number);
        for (auto& [id, call] : calls)
            if (const auto at = call.connection.lock(); at.get() == raw && !call.stands) call.ended = true;
        loop().after(path_delay, [this, raw] {
            std::erase_if(connections, [raw](const auto& at) { return at.get() == raw; });
            if (on_connections) on_connections();
        });
    }
    void received(Connection* raw, const Message& message) {
        const auto self = std::find_if(connections.begin(), connections.end(),
                                       [raw](const auto& at) { return at.get() == raw; });
        if (self == connections.end()) return;
        if (message.type == kSetUp) {
            Call& call = calls[message.call];
            if (!quiet) record("%s: set-up %s", name_.c_str(), message.call.c_str());
            ++call.set_ups;
            call.connection = *self;
            call.ended = false;
            if (on_set_up) on_set_up(message.call);
            if (answer_delay >= 0) loop().after(answer_delay, [this, id = message.call] { answer(id); });
        } else if (message.type == kRelease) {
            if (!quiet) record("%s: release %s from the gatekeeper", name_.c_str(), message.call.c_str());
            (*self)->send(encode({kReleaseHeard, message.call, {}}));
            Call& call = calls[message.call];
            const bool stood = std::exchange(call.stands, false);
            call.released_by_gatekeeper = call.ended = true;
            call.released_at = now();
            if (stood) send_state();
            if (on_release) on_release(message.call);
        } else if (message.type == kTest) {
            (*self)->send(encode({kTestResult, message.call, {{kCause, std::string(1, 1)}}}));
        }
    }

    std::string name_;
    int accepted_ = 0;
    std::vector<std::string> again_on_next_;
};

// ---- Callers -------------------------------------------------------------------------------------------

inline std::string set_up_message(const std::string& call, int to, int time_left_ms,
                                  const char* service_class = "move") {
    return encode({kSetUp,
                   call,
                   {{kClass, service_class},
                    {kTimeLeft, std::to_string(time_left_ms)},
                    {kNumber, "7f3a" + call.substr(4)},
                    {kFigures, "dest:" + std::to_string(to) + ";width:1;via:-1"},
                    {kDescription, "offer of " + call}}});
}

// ---- The gatekeeper ------------------------------------------------------------------------------------

// The folder of a run. It is removed at the end of the program, also if the case couldn't run.
struct Folder {
    std::string path;
    Folder() {
        const char* const base = std::getenv("TMPDIR");
        std::string form = std::string(base && *base ? base : "/tmp") + "/review-2.XXXXXX";
        if (!mkdtemp(form.data())) cannot_run("no temporary folder");
        path = form;
        last() = path;
        std::atexit([] {
            std::error_code ignored;
            std::filesystem::remove_all(last(), ignored);
        });
    }

   private:
    static std::string& last() {
        static auto* const path = new std::string;  // outlives all static objects
        return *path;
    }
};

struct SettingsText {
    std::string dial_timeout_s = "0.5", memory_mb = "192", sockets = "1024";
};

// The configuration of a gatekeeper of a small deployment, at exchange 0 of three.
inline std::string config_text(const std::string& listen, const std::string& operators, const Feed& feed,
                               const SettingsText& text = {}) {
    const auto grade = [](const char* name, const char* aim, const char* points) {
        return std::string(R"({"name":")") + name + R"(","aim_s":)" + aim + R"(,"deadline_s":9.0,"points":)" +
               points +
               R"(,"late_worth":0.25,"group":"all","repeat":"retryable","stream":true,"window_s":5.0})";
    };
    return R"({"name":"n0","listen":")" + listen + R"(","operator":")" + operators +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" + text.memory_mb +
           R"(,"sockets":)" + text.sockets + R"(},"feed":")" + feed.address_text() + R"(","known":)" +
           feed.known() +
           R"(,"settings":{"self_index":0,"fleet_size":3,"zone":"suva","step_s":0.005,)"
           R"("discovery":"pushed","client_habits":{"marks_retry":true},)"
           R"("family_info":{"this_node":0,"layout":"mesh","release_s":0.3,"resend_s":0.0,)"
           R"("class_hold_s":[10,10,8],"class_width":[1,3,1],"hints_route":false,"peer_load":"inline"},)"
           R"("grades":[)" +
           grade("move", "2.0", "1.0") + "," + grade("live-board", "2.0", "3.0") + "," +
           grade("seek", "1.5", "2.0") +
           R"(],"limits":{"send_cap":5,"open_cap":20000,"cancel":true,"conn_idle_s":600.0,)"
           R"("dial_timeout_s":)" +
           text.dial_timeout_s +
           R"(,"may_duplicate":false,"peers":false,"probes":false,"retry_after":false},)"
           R"("obligations":{"drain_grace_s":0.5,"grace_to_answer_s":0.02,"cold_from":0.37,)"
           R"("ramp_time_s":13.0,"fall_multiple":3.0,"fall_s":2.0},)"
           R"("prices":{"late_fail":0.066,"waste":0.02},)"
           R"("report":{"source":"inline","names":["x0","x1","latency_ms","qps"]}}})";
}

// A gatekeeper, started by the command of the deploy file; killed at the end if it still runs.
class Gatekeeper {
   public:
    // `folder`: of its own files. `shared`: its $TMPDIR. `options`: what follows the command of the deploy
    // file.
    Gatekeeper(const std::string& folder, const std::string& name, const std::string& config,
               const std::string& shared, const std::string& options = "")
        : config_path(folder + "/" + name + ".json"), log_path(folder + "/" + name + ".log"), name_(name) {
        std::ofstream(config_path) << config;
        const char* const command = std::getenv("RUN_COMMAND");
        if (!command || !*command) cannot_run("RUN_COMMAND is not set");
        const std::string run = command;
        pid_ = fork();
        if (pid_ != 0) {
            record("%s: started as process %d", name_.c_str(), static_cast<int>(pid_));
            return;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("BALANCER_CONFIG", config_path.c_str(), 1);
        setenv("TMPDIR", shared.c_str(), 1);
        for (const char* const unused : {"BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_OPERATOR"})
            unsetenv(unused);
        const int log = open(log_path.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl("/bin/sh", "/bin/sh", "-c", (run + options).c_str(), nullptr);
        _exit(127);
    }
    Gatekeeper(const Gatekeeper&) = delete;
    ~Gatekeeper() {
        end();
        std::ifstream log(log_path);
        for (std::string line; std::getline(log, line);)
            std::fprintf(record_file(), "log of %s: %s\n", name_.c_str(), line.c_str());
    }
    void signal(int number) {
        record("%s: signal %s", name_.c_str(), strsignal(number));
        if (pid_ > 0) kill(pid_, number);
    }
    bool has_ended() {
        if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) {
            record("%s: ended with status 0x%x", name_.c_str(), static_cast<unsigned>(status_));
            pid_ = -1;
        }
        return pid_ < 0;
    }
    int status() const { return status_; }
    pid_t pid() const { return pid_; }
    void end() {
        if (pid_ <= 0) return;
        kill(pid_, SIGKILL);
        waitpid(pid_, &status_, 0);
        pid_ = -1;
    }
    std::string config_path, log_path;

   private:
    std::string name_;
    pid_t pid_ = -1;
    int status_ = 0;
};

// Whether the operators' address says yes to a request such as "GET /ready".
class OperatorCall {
   public:
    OperatorCall(const std::string& from, const std::string& ip, int port, const std::string& request) {
        connection_ = connect_from(from, ip, port);
        if (!connection_) {
            done = true;
            return;
        }
        connection_->on_bytes = [this](std::string& bytes) { reply += std::exchange(bytes, {}); };
        connection_->on_close = [this] { done = true; };
        connection_->send(request + " HTTP/1.1\r\nHost: gatekeeper\r\nConnection: close\r\n\r\n");
    }
    bool succeeded() const { return reply.find(" 200 ") == 8; }
    bool done = false;
    std::string reply;

   private:
    ConnectionPtr connection_;
};

// Asks until the gatekeeper is ready. False: it is not within `limit` seconds.
inline bool await_ready(const std::string& from, const std::string& ip, int port, double limit = 10) {
    for (const double end = now() + limit; now() < end;) {
        OperatorCall call(from, ip, port, "GET /ready");
        loop().run_until(std::min(end, now() + 1), [&call] { return call.done; });
        if (call.succeeded()) return true;
        loop().run_until(now() + 0.02);
    }
    return false;
}

// Opens the record and tells whether the disruption is to happen (TROUBLE=0: no).
inline bool begin(const char* what) {
    signal(SIGPIPE, SIG_IGN);
    const char* const path = std::getenv("RECORD");
    if (path && *path)
        if (FILE* const file = std::fopen(path, "w")) record_file() = file;
    const char* const trouble = std::getenv("TROUBLE");
    const bool is_troubled = !trouble || std::string(trouble) != "0";
    record("%s, %s the disruption", what, is_troubled ? "with" : "without");
    return is_troubled;
}

inline int verdict(int broken, const char* rule) {
    record("%s: %s", broken ? "BROKEN" : "HELD", rule);
    std::fprintf(stdout, "%s: %s\n", broken ? "BROKEN" : "HELD", rule);
    return broken ? kBroken : kHeld;
}

}  // namespace review
