// A control feed that is slow: the first line on a connection comes 1.5 s after the subscription. A carrier
// switch begins to drain.
#include "scene.hpp"

using namespace review;

int main() {
    const bool trouble = begin("case: a slow control feed");
    constexpr double kToldAtTheLatest = 7, kGrace = 0.5 + 0.05;  // s
    Scene scene;
    scene.carrier.holding_time = scene.other.holding_time = 2;
    scene.carrier.circuits = scene.other.circuits = 200;
    scene.carrier.quiet = scene.other.quiet = true;
    if (trouble) scene.feed.first_line_delay = 1.5;
    const auto gatekeeper = scene.start_ready("n0");
    const auto caller = scene.connect_caller("127.84.0.1");
    int answered = 0;
    caller->on_message = [&](const Message& message) { answered += message.type == kAnswer; };
    unsigned sent = 0;
    const std::function<void()> send = [&] {
        ++sent;
        caller->send(set_up_message(call_id(0x60000u + sent), 1 + sent % 2, 3600));
        loop().after(0.1, send);
    };
    std::vector<double> set_ups;
    scene.carrier.on_set_up = [&](const std::string&) { set_ups.push_back(now()); };
    send();
    loop().run_until(now() + 5);
    if (answered < 20) cannot_run("the calls were not answered");
    scene.feed.add(false, entry("s-1", scene.carrier.listener.address_text(), 1, "leaving"));
    const double told = now();
    loop().run_until(told + kToldAtTheLatest + kGrace + 8);
    int late = 0, after = 0;
    for (const double at : set_ups) {
        after += at > told;
        late += at > told + kToldAtTheLatest + kGrace;
    }
    record("feed: %d subscriptions, %d of them lasted until their first line", scene.feed.subscriptions,
           scene.feed.answered_subscriptions);
    record("switch 1: %d set-ups after the event, the last one %.2f s after it; %d more than %.2f s after it",
           after, set_ups.back() - told, late, kToldAtTheLatest + kGrace);
    return verdict(late + gatekeeper->has_ended(), "no new work goes to a hub that drains");
}
