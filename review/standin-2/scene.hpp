// What most cases start with: two carrier switches, the feed and one gatekeeper that is ready.
#pragma once

#include "kit.hpp"

namespace review {

struct Scene {
    explicit Scene(const SettingsText& settings = {})
        : carrier("switch 1", "127.82.0.1"), other("switch 2", "127.82.0.2"), settings_(settings) {
        feed.add(true, entry("s-1", carrier.listener.address_text(), 1) + "," +
                           entry("s-2", other.listener.address_text(), 2));
    }
    // Starts a gatekeeper with an operators' address of its own; all share the callers' address and $TMPDIR.
    std::unique_ptr<Gatekeeper> start(const std::string& name, int& operators) {
        operators = free_port(ip);
        return std::make_unique<Gatekeeper>(
            folder.path, name,
            config_text(ip + ":" + std::to_string(port), ip + ":" + std::to_string(operators), feed,
                        settings_),
            folder.path);
    }
    std::unique_ptr<Gatekeeper> start_ready(const std::string& name) {
        int operators = 0;
        auto gatekeeper = start(name, operators);
        if (!await_ready("127.86.0.1", ip, operators)) cannot_run("the gatekeeper is not ready");
        return gatekeeper;
    }
    ConnectionPtr connect_caller(const std::string& from) {
        auto caller = connect_from(from, ip, port);
        if (!caller) cannot_run("the gatekeeper accepts no caller");
        return caller;
    }

    Folder folder;
    Feed feed{"127.83.0.1"};
    Switch carrier, other;
    const std::string ip = "127.81.0.1";
    const int port = free_port(ip);

   private:
    SettingsText settings_;
};

}  // namespace review
