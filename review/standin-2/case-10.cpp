// A connection to a carrier switch is reset before the switch has read the release of a standing call, which
// the caller has ended. The switch's process lives on, and its calls stand.
#include "scene.hpp"

using namespace review;

int main() {
    const bool trouble = begin("case: a release is lost with the connection to the switch");
    Scene scene;
    const auto gatekeeper = scene.start_ready("n0");
    const auto caller = scene.connect_caller("127.84.0.1");
    std::set<std::string> answered, heard;
    caller->on_message = [&](const Message& message) {
        record("caller: gets type %d for %s, cause %d", message.type, message.call.c_str(), message.cause());
        if (message.type == kAnswer) answered.insert(message.call);
        if (message.type == kReleaseHeard) heard.insert(message.call);
    };
    const std::string ended = call_id(0xa001), later = call_id(0xa002);
    caller->send(set_up_message(ended, 1, 3600));
    loop().run_until(now() + 2, [&] { return answered.count(ended) > 0; });
    if (!answered.count(ended)) cannot_run("the call was not answered");
    loop().run_until(now() + 0.5);

    // The switch's connections are silent for 1.5 s, in which the caller ends its call, and are then reset.
    const auto connections = scene.carrier.connections;
    if (trouble) {
        record("switch 1: its connections fall silent");
        for (const auto& connection : connections) connection->paused = true;
        loop().run_until(now() + 0.5);
    }
    record("caller: ends %s", ended.c_str());
    caller->send(release_message(ended, 16));
    if (trouble) {
        loop().run_until(now() + 1);
        int unread = 0;
        for (const auto& connection : connections) unread += connection->unread();
        if (unread == 0) cannot_run("no release came");
        for (const auto& connection : connections) {
            record("switch 1: connection %d is reset, %d bytes unread", connection->number,
                   connection->unread());
            connection->reset();
            if (connection->on_close) connection->on_close();
        }
    }
    // The connection is up again at once, and calls go on.
    loop().after(1, [&] { caller->send(set_up_message(later, 1, 3600)); });
    loop().run_until(now() + 12);
    if (!answered.count(later)) cannot_run("the later call was not answered");
    const bool lost = scene.carrier.calls[ended].stands;
    record(
        "call %s: its caller ended it 12 s ago and was told that this was heard: %s; at the switch it "
        "stands: "
        "%s; connections to the switch: %zu",
        ended.c_str(), heard.count(ended) ? "yes" : "no", lost ? "yes" : "no",
        scene.carrier.connections.size());
    return verdict(lost || gatekeeper->has_ended(),
                   "a call that its caller has ended is ended at its switch");
}
