// A caller's connection is reset before the release of its standing call is read. The caller connects again
// at once and goes on with further calls.
#include "scene.hpp"

using namespace review;

int main() {
    const bool trouble = begin("case: a release is lost with the caller's connection");
    Scene scene;
    const auto gatekeeper = scene.start_ready("n0");
    std::map<std::string, double> answered, released;
    const auto handle = [&](const Message& message) {
        record("caller: gets type %d for %s, cause %d", message.type, message.call.c_str(), message.cause());
        if (message.type == kAnswer) answered[message.call] = now();
        if (message.type == kRelease) released[message.call] = now();
    };
    auto caller = scene.connect_caller("127.84.0.1");
    caller->on_message = handle;
    const std::string ended = call_id(0x9001);
    caller->send(set_up_message(ended, 1, 3600));
    loop().run_until(now() + 2, [&] { return answered.count(ended) > 0; });
    if (!answered.count(ended)) cannot_run("the call was not answered");
    loop().run_until(now() + 0.5);

    // The path is silent for 3 s, in which the call ends; then the connection is reset, and the caller
    // connects again.
    if (trouble) caller->paused = true;
    if (trouble) loop().run_until(now() + 1);
    scene.carrier.end(ended, 16);
    const double end = now();
    if (trouble) {
        loop().run_until(now() + 2);
        if (caller->unread() == 0) cannot_run("no release came");
        record("caller: its connection is reset, %d bytes unread", caller->unread());
        caller->reset();
        caller = scene.connect_caller("127.84.0.1");
        caller->on_message = handle;
        record("caller: connected again");
    }
    for (int i = 1; i <= 4; ++i)
        loop().after(i, [&, i] {
            caller->send(set_up_message(call_id(0x9100u + static_cast<unsigned>(i)), 1, 3600));
        });
    loop().run_until(now() + 10);
    if (answered.size() < 5) cannot_run("the later calls were not answered");
    const auto told = released.find(ended);
    const bool lost = told == released.end() || told->second > end + 8.05;
    record("call %s: over at the switch for 10 s; its caller was told: %s", ended.c_str(),
           told == released.end() ? "no" : "yes");
    return verdict(lost || gatekeeper->has_ended(),
                   "what has stood and is over is released towards its client");
}
