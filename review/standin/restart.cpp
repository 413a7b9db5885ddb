// The process of one hub dies and a new one starts at the same address. The list tells of the start some
// seconds later, when calls already stand at the new process.
#include "world.hpp"

using namespace review;

namespace {
constexpr double kDiesAt = 5.0, kDownFor = 0.4;  // seconds
constexpr double kToldAfter = 2.5;               // from the new start until the list tells of it
constexpr double kCallsUntil = 20.0, kEnd = 36.0;
constexpr double kCallsPerSecond = 6;

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
        s.hold = 12.0;
        s.start(run.ip);
        entries += (entries.empty() ? "" : ",") + s.entry();
    }
    feed.tell(entries);
    const int port = free_port(run.ip);
    Gatekeeper gatekeeper(run.root, "first", folder.path);
    gatekeeper.start(run.ip + ":" + std::to_string(port), feed.address(), feed.known(), {0, 5, "suva"});
    Caller caller("caller", "127.0.0.2");
    connect_when_ready(caller, run.ip, port);
    loop().run_until(2.0);

    int sent = 0;
    std::function<void()> next = [&] {
        caller.give_up_overdue();
        if (now() >= kCallsUntil || !caller.is_connected()) return;
        caller.set_up(1 + sent++ % 4);
        loop().after(1.0 / kCallsPerSecond, next);
    };
    next();
    Switch& hub = *switches.front();
    if (run.trouble) {
        loop().run_until(kDiesAt);
        hub.die();
        loop().run_until(kDiesAt + kDownFor);
        hub.start_again();
        const std::int64_t started = unix_ms();
        loop().run_until(kDiesAt + kDownFor + kToldAfter);
        record("the list tells of the start of s-1");
        feed.tell(hub.entry("active", started));
    }
    loop().run_until(kEnd);
    caller.give_up_overdue();

    // A call that a process of the hub holds, and that neither the hub nor the caller has ended, is over for
    // its caller: the gatekeeper has said so to the caller alone.
    std::vector<std::string> violations;
    std::size_t answered = 0, cut_with_process = 0;
    char text[300];
    for (const auto& [id, call] : caller.calls) {
        answered += call.answered_at >= 0;
        if (call.released_at < 0) continue;
        for (const auto& s : switches) {
            const auto at = s->calls.find(id);
            if (at == s->calls.end() || !at->second.answered) continue;
            cut_with_process += call.release_cause != 16 && at->second.ended_at <= call.released_at;
            if (at->second.over && at->second.ended_at <= call.released_at) continue;
            if (at->second.released_by_gatekeeper_at >= 0) continue;  // cut at both ends
            std::snprintf(
                text, sizeof text,
                "%016lx: set up at the new process at %.3f, released towards its caller at %.3f with "
                "cause %d, stood at %s until %.3f and was never released there",
                id, at->second.set_up_at, call.released_at, call.release_cause, s->id.c_str(),
                at->second.ended_at);
            violations.push_back(text);
        }
    }
    gatekeeper.signal(SIGTERM);
    loop().run_until(now() + 6, [&] { return gatekeeper.has_ended(); });
    gatekeeper.record_log();
    std::snprintf(
        text, sizeof text,
        "%d set-ups, %zu answered, %zu cut with the process that died, %zu standing calls lost by the news",
        sent, answered, cut_with_process, violations.size());
    return finish(violations, text);
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(play, argc, argv);
}
