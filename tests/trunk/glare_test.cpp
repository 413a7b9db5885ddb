// Dual seizures between two gatekeeper processes: callers of both ends call at the same moment, over and
// over. Each call must get exactly one final answer, and no circuit may stay busy. The second argument is the
// duration in seconds.
#include <poll.h>

#include <chrono>
#include <map>

#include "trunk/hubs.hpp"

using namespace nettlestall::test;
using nettlestall::CallId;

namespace {

struct CallCounts {
    int calls = 0, answered = 0, rejected = 0;
    std::map<CallId, int> final_answers;
};

// The value of a metric at the operators' address; 0 if it is missing.
int get_metric(int port, const std::string& name) {
    const std::string text = operator_reply(port, "GET /metrics");
    const auto at = text.find(name + ":");
    return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + name.size() + 1);
}

}  // namespace

int main(int count, char** arguments) {
    const double seconds = count > 2 ? std::atof(arguments[2]) : 3.0;
    Hubs hubs(arguments[1], 4, false);
    Peer lines[2] = {hubs.lines(Hubs::a), hubs.lines(Hubs::b)};
    hubs.await_link();
    Peer callers[2] = {Peer::connect(hubs.at(Hubs::a).callers_port),
                       Peer::connect(hubs.at(Hubs::b).callers_port)};
    CallCounts counts;
    std::uint64_t last_id = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (std::chrono::steady_clock::now() < end) {
        std::string bytes[2];
        std::map<CallId, int> open;
        for (int i = 0; i < 2; ++i)
            for (int h = 0; h < 2; ++h) {
                char id[17];
                std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++last_id));
                // The first call of each hub takes three of the four circuits, so at most one of these two
                // can hold its circuits at a time.
                bytes[h] += Hubs::call_to(id, 2 - h, i == 0 ? "live-board" : "move", 2000);
                open[id] = h;
                ++counts.calls;
            }
        callers[0].send(bytes[0]), callers[1].send(bytes[1]);
        while (!open.empty()) {
            pollfd sources[4] = {{callers[0].fd(), POLLIN, 0},
                                 {callers[1].fd(), POLLIN, 0},
                                 {lines[0].fd(), POLLIN, 0},
                                 {lines[1].fd(), POLLIN, 0}};
            CHECK(poll(sources, 4, kReceiveTimeoutSeconds * 1000) > 0);
            for (int h = 0; h < 2; ++h) {
                if (sources[2 + h].revents)
                    CHECK(lines[h].receive_available([&](const Message& message) {
                        if (message.type == MessageType::set_up) lines[h].send(answer(message.call()));
                        if (message.type == MessageType::release) lines[h].send(group_state("x0:500;x1:500"));
                    }));
                if (sources[h].revents)
                    CHECK(callers[h].receive_available([&](const Message& message) {
                        const CallId call = message.call();
                        if (message.type == MessageType::answer) {
                            ++counts.answered, ++counts.final_answers[call];
                            callers[h].send(release(call, 16));
                        } else if (message.type == MessageType::release) {
                            ++counts.rejected, ++counts.final_answers[call];
                        } else {
                            return;
                        }
                        open.erase(call);
                    }));
            }
        }
    }
    CHECK(static_cast<int>(counts.final_answers.size()) == counts.calls);
    for (const auto& [call, final_answers] : counts.final_answers) CHECK(final_answers == 1);
    hubs.await_idle();
    int glares = 0, glares_lost = 0, seizures = 0;
    for (int h = 0; h < 2; ++h) {
        glares += get_metric(hubs.at(h).operators_port, "app.trunk.7.glares");
        glares_lost += get_metric(hubs.at(h).operators_port, "app.trunk.7.glares_lost");
        seizures += get_metric(hubs.at(h).operators_port, "app.trunk.7.seizures");
        CHECK(get_metric(hubs.at(h).operators_port, "app.trunk.7.audit_freed") == 0);
        CHECK(get_metric(hubs.at(h).operators_port, "app.trunk.7.contradictions") == 0);
    }
    std::printf("%d calls, %d answered, %d refused or failed; %d seizures, %d glares lost\n", counts.calls,
                counts.answered, counts.rejected, seizures, glares_lost);
    CHECK(glares_lost > 0 && glares >= glares_lost);
}
