// A region is cut off and comes back; the answers that its hubs gave meanwhile arrive together.
#include "world.hpp"

using namespace review;

namespace {
constexpr int kNear = 1, kFar = 5;          // hubs beside the gatekeeper's own, by region
constexpr double kCutAt = 5.0, kCut = 6.5;  // seconds
constexpr double kEnd = 24.0;               // of the set-ups
constexpr double kCallsPerSecond = 20;      // of the caller

int play(int argc, char** argv) {
    const Arguments run = begin(argc, argv);
    Folder folder;
    Feed feed;
    feed.start(run.ip);
    std::vector<std::unique_ptr<Switch>> switches;
    std::string entries;
    for (int n = 1; n <= kNear + kFar; ++n) {
        auto& s = *switches.emplace_back(std::make_unique<Switch>());
        s.id = "s-" + std::to_string(n);
        s.cell = n;
        s.zone = n <= kNear ? "suva" : "auckland";
        s.answer_after = 0.6;
        s.hold = 3.0;
        s.description_bytes = 16370;
        s.start(run.ip);
        entries += (entries.empty() ? "" : ",") + s.entry();
    }
    feed.tell(entries);
    const int port = free_port(run.ip);
    Gatekeeper gatekeeper(run.root, "first", folder.path);
    gatekeeper.start(run.ip + ":" + std::to_string(port), feed.address(), feed.known(),
                     {0, 1 + kNear + kFar, "suva"});
    Caller caller("caller", "127.0.0.2");
    connect_when_ready(caller, run.ip, port);
    loop().run_until(2.0);

    int sent = 0;
    std::function<void()> next = [&] {
        caller.give_up_overdue();
        if (now() >= kEnd || !caller.is_connected()) return;
        caller.set_up(1 + sent++ % (kNear + kFar));
        loop().after(1.0 / kCallsPerSecond, next);
    };
    next();
    if (run.trouble) {
        loop().at(kCutAt, [&] {
            for (auto& s : switches)
                if (s->zone == "auckland") s->cut();
        });
        loop().at(kCutAt + kCut, [&] {
            for (auto& s : switches)
                if (s->zone == "auckland") s->heal();
        });
    }
    loop().run_until(kEnd + 12.0);
    caller.give_up_overdue();

    std::vector<std::string> violations;
    std::size_t answered = 0, refused = 0;
    char text[200];
    for (const auto& [id, call] : caller.calls) {
        answered += call.answered_at >= 0;
        refused += call.answered_at < 0 && call.refusal > 0;
        if (call.on_closed_connection) {
            std::snprintf(text, sizeof text, "%016lx: its connection ended with no whole answer", id);
            violations.push_back(text);
        }
    }
    gatekeeper.signal(SIGTERM);
    loop().run_until(now() + 6, [&] { return gatekeeper.has_ended(); });
    gatekeeper.record_log();
    std::snprintf(text, sizeof text,
                  "%d set-ups, %zu answered, %zu refused or failed, %zu lost with the connection", sent,
                  answered, refused, violations.size());
    return finish(violations, text);
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(play, argc, argv);
}
