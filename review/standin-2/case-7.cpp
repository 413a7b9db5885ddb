// A carrier switch that holds all the connections it accepts refuses one more. The gatekeeper's own
// connection to it is open all the time, and so do its calls stand.
#include "kit.hpp"

using namespace review;

int main() {
    const bool trouble = begin("case: a further connection is refused");
    Folder folder;
    Feed feed("127.83.0.1");
    Switch carrier("switch 1", "127.82.0.1"), other("switch 2", "127.82.0.2");
    feed.add(true, entry("s-1", carrier.listener.address_text(), 1) + "," +
                       entry("s-2", other.listener.address_text(), 2));
    const std::string ip = "127.81.0.1";
    const int port = free_port(ip), operators = free_port(ip);

    // Connections of other hubs' gatekeepers; they stay open.
    constexpr std::size_t kMaxConnections = 4;
    std::vector<ConnectionPtr> others;
    for (int i = 0; i < 3; ++i)
        others.push_back(
            connect_from("127.85.0." + std::to_string(i + 1), "127.82.0.1", carrier.listener.port()));
    // At the limit the switch no longer listens; it listens again once a connection has ended.
    carrier.on_connections = [&] {
        if (!trouble) return;
        if (carrier.connections.size() >= kMaxConnections) {
            carrier.listener.close();
            record("switch 1: holds %zu connections, accepts no more", carrier.connections.size());
        } else {
            carrier.listener.open();
        }
    };
    loop().run_until(now() + 0.2);

    Gatekeeper gatekeeper(
        folder.path, "n0",
        config_text(ip + ":" + std::to_string(port), ip + ":" + std::to_string(operators), feed),
        folder.path);
    if (!await_ready("127.86.0.1", ip, operators)) cannot_run("the gatekeeper is not ready");

    const auto caller = connect_from("127.84.0.1", ip, port);
    if (!caller) cannot_run("the gatekeeper accepts no caller");
    std::map<std::string, double> answered;
    std::map<std::string, double> released;  // toward the caller
    caller->on_message = [&](const Message& message) {
        record("caller: gets type %d for %s, cause %d", message.type, message.call.c_str(), message.cause());
        if (message.type == kAnswer) answered[message.call] = now();
        if (message.type == kRelease) released[message.call] = now();
    };
    caller->on_close = [] { record("caller: its connection was closed"); };
    carrier.holding_time = 11;
    for (int i = 1; i <= 5; ++i)
        loop().after(0.1 * i, [&, id = call_id(0x7000u + static_cast<unsigned>(i))] {
            record("caller: sets up %s", id.c_str());
            caller->send(set_up_message(id, 1, 3600));
        });
    loop().run_until(now() + 14);

    if (answered.size() < 3) cannot_run("too few calls were answered");
    int broken = 0;
    for (const auto& [id, at] : answered) {
        const Switch::Call& call = carrier.calls[id];
        const auto told = released.find(id);
        const double end = call.ended ? call.released_at : now();
        if (told != released.end() && told->second < end) {
            ++broken;
            record(
                "call %s: its caller was told after %.2f s that it is over; at the switch it stood for %.2f "
                "s, "
                "released there by the gatekeeper: %s",
                id.c_str(), told->second - at, end - call.answered_at,
                call.released_by_gatekeeper ? "yes" : "no");
        }
        if (call.ended && (told == released.end() || told->second > end + 1.05)) {
            ++broken;
            record("call %s: over at the switch, its caller not told within 1.05 s", id.c_str());
        }
    }
    if (gatekeeper.has_ended()) ++broken;
    return verdict(broken, "a call that stands is not ended for its caller alone");
}
