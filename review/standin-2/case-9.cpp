// An upgrade while calls that stand come to their ends. The old process has handed them over, and ends after
// its SIGTERM; a switch sends releases on the connection of the set-up, which is the old process's.
#include "scene.hpp"

using namespace review;

int main() {
    const bool trouble = begin("case: releases that reach the old process as it ends");
    constexpr unsigned kCalls = 240;
    constexpr double kPerSecond = 120;
    Scene scene;
    for (Switch* one : {&scene.carrier, &scene.other}) {
        one->circuits = 400;
        one->quiet = true;
    }
    auto old = scene.start_ready("old");
    std::map<std::string, double> answered, released;
    const auto handle = [&](const Message& message) {
        if (message.type == kAnswer) answered[message.call] = now();
        if (message.type == kRelease) released[message.call] = now();
    };
    std::vector<ConnectionPtr> callers;
    for (unsigned i = 0; i < 12; ++i) {
        callers.push_back(scene.connect_caller("127.84.0." + std::to_string(i + 1)));
        callers.back()->on_message = handle;
        callers.back()->on_close = [i] { record("caller %u: its connection was closed", i + 1); };
    }
    std::vector<std::string> calls;
    for (unsigned i = 0; i < kCalls; ++i) {
        calls.push_back(call_id(0xb0000u + i));
        loop().after(0.01 * i, [&, i] {
            callers[i % callers.size()]->send(set_up_message(calls[i], static_cast<int>(1 + i % 2), 3600));
        });
    }
    loop().run_until(now() + 0.01 * kCalls + 1);
    std::erase_if(calls, [&](const auto& id) { return !answered.count(id); });
    if (calls.size() < kCalls / 2) cannot_run("too few calls were answered");
    record("%zu calls stand", calls.size());
    for (Switch* one : {&scene.carrier, &scene.other}) one->path_delay = 0.02;

    // Further calls, so that the switches are never quiet.
    const auto further = scene.connect_caller("127.84.0.99");
    further->on_message = handle;
    unsigned sent = 0;
    const std::function<void()> send = [&] {
        const std::string id = call_id(0xc0000u + ++sent);
        further->send(set_up_message(id, static_cast<int>(1 + sent % 2), 3600));
        loop().after(0.1, send);
    };
    send();

    std::unique_ptr<Gatekeeper> next;
    if (trouble) {
        const double begun = now();
        next = scene.start_ready("new");
        record("the new process is ready");
        loop().run_until(begun + 6);
        old->signal(SIGTERM);
    }
    const double start = now();
    double old_ended = -1;
    std::map<std::string, double> ended;
    for (std::size_t i = 0; i < calls.size(); ++i)
        loop().after(0.2 + static_cast<double>(i) / kPerSecond, [&, i] {
            for (Switch* one : {&scene.carrier, &scene.other})
                if (const auto at = one->calls.find(calls[i]); at != one->calls.end() && at->second.stands)
                    one->end(calls[i], 16), ended[calls[i]] = now();
        });
    const double stop = start + 14;
    while (now() < stop) {
        loop().run_until(now() + 0.005);
        if (trouble && old_ended < 0 && old->has_ended()) old_ended = now();
        if (trouble && old_ended < 0 && now() > start + 5.7) old->end(), old_ended = now();
    }
    // What still stands when the old process ends is owed no release and is left out here.
    unsigned late = 0, never = 0, excused = 0;
    for (const std::string& id : calls) {
        const auto told = released.find(id);
        if (told != released.end() && told->second <= ended[id] + 1.05) continue;
        if (old_ended >= 0 && ended[id] > old_ended - 0.006) {
            ++excused;
            continue;
        }
        ++(told == released.end() ? never : late);
        record(
            "call %s: over at its switch at %.3f, the old process ended at %.3f, its caller was told at %.3f",
            id.c_str(), ended[id], old_ended, told == released.end() ? -1.0 : told->second);
    }
    record("%zu calls that stood before: %u callers told late, %u never within %.0f s, %u more left out",
           calls.size(), late, never, stop - start, excused);
    return verdict(static_cast<int>(never), "what has stood and is over is released towards its client");
}
