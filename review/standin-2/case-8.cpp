// Three hubs with circuit groups and ledgers. A call goes from hub 1 over hub 2 to hub 3 and stands; hub 2 is
// killed and starts again; both far ends confirm the call. Then its callee ends it at hub 3.
#include "scene.hpp"

using namespace review;

namespace {

struct Hub {
    std::string name, ip;
    int callers = free_port(ip), operators = free_port(ip), trunk = free_port(ip);
    Feed feed{"127.83.0.1"};
    std::string folder{}, file{};
    std::unique_ptr<Gatekeeper> gatekeeper{};

    std::string trunk_address() const { return ip + ":" + std::to_string(trunk); }
    void start() {
        std::string config =
            config_text(ip + ":" + std::to_string(callers), ip + ":" + std::to_string(operators), feed);
        // An installation with lines of its own has no `this_node`, as its lines have the hub's number.
        const std::string own = "\"this_node\":0,";
        config.erase(config.find(own), own.size());
        gatekeeper = std::make_unique<Gatekeeper>(folder, name, config, folder, " serve --file " + file);
        if (!await_ready("127.86.0.1", ip, operators)) cannot_run(name + " is not ready");
    }
    std::string ask(const std::string& request) {
        OperatorCall call("127.86.0.1", ip, operators, request);
        loop().run_until(now() + 2, [&call] { return call.done; });
        return call.reply;
    }
    // Whether `count` groups are up.
    bool is_up(int count) {
        const std::string text = ask("GET /circuits");
        for (std::size_t at = text.find(" up "); at != std::string::npos; at = text.find(" up ", at + 1))
            --count;
        return count <= 0;
    }
};

void await_links(const std::vector<std::pair<Hub*, int>>& hubs) {
    const double end = now() + 10;
    for (const auto& [hub, groups] : hubs)
        while (!hub->is_up(groups)) {
            if (now() >= end) cannot_run("the links do not come up at " + hub->name);
            loop().run_until(now() + 0.02);
        }
}

}  // namespace

int main() {
    const bool trouble = begin("case: a tandem hub with a ledger is killed and starts again");
    Folder folder;
    Switch lines("lines of hub 3", "127.82.0.3"), elsewhere("switch of hub 3", "127.82.0.4");
    elsewhere.circuits = 0;  // no group leads from hub 1 to hub 3
    Hub one{"hub1", "127.81.0.1"}, two{"hub2", "127.81.0.2"}, three{"hub3", "127.81.0.3"};
    one.feed.add(true, entry("hub-3", elsewhere.listener.address_text(), 3));
    for (Hub* hub : {&one, &two, &three}) {
        hub->folder = folder.path + "/" + hub->name;
        std::filesystem::create_directories(hub->folder);
        hub->file = hub->folder + "/nettlestall.xml";
    }
    const auto group = [](int id, int far, const std::string& dial) {
        const std::string number = std::to_string(far);
        return "<group id=\"" + std::to_string(id) + "\" exchange=\"hub-" + number + "\" number=\"" + number +
               "\" far-point=\"" + number + "0\" circuits=\"30\"" +
               (dial.empty() ? "" : " dial=\"" + dial + "\"") + "/>";
    };
    const auto write = [](const Hub& hub, int number, const std::string& parts) {
        std::ofstream(hub.file) << "<nettlestall><trunk point=\"" << number << "0\" number=\"" << number
                                << "\" listen=\"" << hub.trunk_address() << "\" ledger=\"" << hub.folder
                                << "\">" << parts << "</trunk></nettlestall>\n";
    };
    write(one, 1, group(7, 2, two.trunk_address()));
    write(two, 2, group(5, 3, three.trunk_address()) + group(7, 1, ""));
    write(three, 3,
          "<lines exchange=\"lines-3\" number=\"3\" address=\"" + lines.listener.address_text() + "\"/>" +
              group(5, 2, ""));
    for (Hub* hub : {&three, &two, &one}) hub->start();
    await_links({{&one, 1}, {&two, 2}, {&three, 1}});

    const auto caller = connect_from("127.84.0.1", one.ip, one.callers);
    if (!caller) cannot_run("no caller");
    std::map<std::string, double> answered, released;
    caller->on_message = [&](const Message& message) {
        record("caller: gets type %d for %s, cause %d", message.type, message.call.c_str(), message.cause());
        if (message.type == kAnswer) answered[message.call] = now();
        if (message.type == kRelease) released[message.call] = now();
    };
    std::vector<std::string> calls;
    for (unsigned i = 1; i <= 3; ++i) {
        calls.push_back(call_id(0x8000 + i));
        caller->send(set_up_message(calls.back(), 3, 3600));
    }
    loop().run_until(now() + 3, [&] { return answered.size() == calls.size(); });
    if (answered.size() < calls.size()) cannot_run("a call was not answered");
    loop().run_until(now() + 0.5);
    if (trouble) {
        two.gatekeeper->signal(SIGKILL);
        loop().run_until(now() + 1, [&] { return two.gatekeeper->has_ended(); });
        two.start();
        await_links({{&one, 1}, {&two, 2}, {&three, 1}});
    }
    loop().run_until(now() + 2);
    for (Hub* hub : {&one, &two, &three})
        for (const char* id : {"5", "7"})
            if (hub == &two || (id[0] == '7') == (hub == &one))
                record("%s, group %s:\n%s", hub->name.c_str(), id,
                       hub->ask(std::string("GET /circuits/") + id).c_str());
    if (released.size() > 0) cannot_run("the calls do not stand any more");

    std::map<std::string, double> ended;
    for (const std::string& id : calls) {
        lines.end(id, 16);
        ended[id] = now();
    }
    loop().run_until(now() + 40, [&] { return released.size() == calls.size(); });
    int broken = 0;
    for (const std::string& id : calls) {
        const auto told = released.find(id);
        const double after = told == released.end() ? -1 : told->second - ended[id];
        record("call %s: its caller was told %.2f s after its end (-1: never)", id.c_str(), after);
        broken += after < 0 || after > 1.05;
    }
    return verdict(broken, "what has stood and is over is released towards its client within 1 s");
}
