// Some bad clients beside a usual caller: each sends hundreds of set-ups at once, with a number called that
// fills the message, and the same again as soon as it is turned away. The platform kills what goes over its
// memory limit.
#include "world.hpp"

using namespace review;

namespace {

constexpr int kMemoryMb = 64, kSockets = 256;
constexpr int kBadClients = 5, kAtOnce = 500;
constexpr std::size_t kDigits = 16'000;  // the message stays under 16 KiB
constexpr double kBadFrom = 4.0, kBadUntil = 16.0, kCallsUntil = 18.0, kEnd = 30.0;

// A set-up of a bad client, to one of the hubs 1 to 4.
Message bad_set_up(std::uint64_t id) {
    std::string number = std::to_string(id);
    number.resize(kDigits, '7');
    return {kSetUp,
            id,
            {{16, "move"},
             {18, "9000"},
             {24, number},
             {26, "dest:" + std::to_string(1 + id % 4) + ";width:1;via:-1"},
             {46, "offer"}}};
}

int play(int argc, char** argv) {
    const Arguments run = begin(argc, argv);
    Folder folder;
    Feed feed;
    feed.start(run.ip);
    std::vector<std::unique_ptr<Switch>> switches;
    std::string entries;
    for (int n = 1; n <= 4; ++n) {
        auto& s = *switches.emplace_back(std::make_unique<Switch>());
        s.id = "s-" + std::to_string(n);
        s.cell = n;
        s.answer_after = 0.03;
        s.hold = 10.0;
        s.start(run.ip);
        entries += (entries.empty() ? "" : ",") + s.entry();
    }
    feed.tell(entries);
    const int port = free_port(run.ip);
    Gatekeeper gatekeeper(run.root, "first", folder.path);
    gatekeeper.start(run.ip + ":" + std::to_string(port), feed.address(), feed.known(),
                     {0, 5, "suva", kMemoryMb, kSockets});
    Caller caller("caller", "127.0.0.2");
    connect_when_ready(caller, run.ip, port);
    loop().run_until(2.0);

    int sent = 0;
    std::function<void()> next = [&] {
        caller.give_up_overdue();
        if (now() >= kCallsUntil || !caller.is_connected()) return;
        caller.set_up(1 + sent++ % 4);
        loop().after(0.25, next);
    };
    next();

    // The platform.
    long most_kb = 0;
    double killed_at = -1;
    int looks = 0;
    std::function<void()> platform = [&] {
        const long kb = gatekeeper.memory_kb();
        most_kb = std::max(most_kb, kb);
        if (++looks % 50 == 0) record("the gatekeeper holds %ld kB", kb);
        if (kb > kMemoryMb * 1024L) {
            record("the gatekeeper holds %ld kB of %d MB: killed", kb, kMemoryMb);
            killed_at = now();
            gatekeeper.kill();
            return;
        }
        loop().after(0.02, platform);
    };
    platform();

    std::vector<ConnectionPtr> bad;
    std::uint64_t id = 1ULL << 60;
    long turned_away = 0;
    loop().run_until(kBadFrom);
    for (int n = 0; run.trouble && n < kBadClients; ++n) {
        const ConnectionPtr c = loop().connect("127.0.1." + std::to_string(1 + n), run.ip, port);
        if (!c->is_open()) cannot_run("a bad client could not connect");
        bad.push_back(c);
        c->on_bytes = [&](Connection& self) {
            while (const auto message = take_message(self.in)) {
                if (message->type != kRelease) continue;
                ++turned_away;
                if (now() < kBadUntil) self.send(bad_set_up(++id));
            }
        };
        record("bad client %d: %d set-ups at once", n + 1, kAtOnce);
        for (int k = 0; k < kAtOnce; ++k) c->send(bad_set_up(++id));
    }
    loop().run_until(kEnd);
    caller.give_up_overdue();

    std::vector<std::string> violations;
    char text[300];
    std::size_t answered = 0, standing = 0, open = 0;
    for (const auto& [call_id, call] : caller.calls) {
        answered += call.answered_at >= 0;
        standing += killed_at >= 0 && call.answered_at >= 0 && call.released_at < 0;
        open += call.on_closed_connection;
    }
    if (killed_at >= 0) {
        std::snprintf(
            text, sizeof text,
            "the gatekeeper went over its limit of %d MB and was killed, with %zu standing calls and %zu "
            "open set-ups of the usual caller",
            kMemoryMb, standing, open);
        violations.push_back(text);
    } else if (gatekeeper.has_ended()) {
        violations.push_back("the gatekeeper crashed");
    }
    gatekeeper.signal(SIGTERM);
    loop().run_until(now() + 6, [&] { return gatekeeper.has_ended(); });
    gatekeeper.record_log();
    std::snprintf(
        text, sizeof text,
        "%d set-ups of the usual caller, %zu answered; bad clients turned away %ld times; at most %ld kB "
        "of %d MB",
        sent, answered, turned_away, most_kb, kMemoryMb);
    return finish(violations, text);
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(play, argc, argv);
}
