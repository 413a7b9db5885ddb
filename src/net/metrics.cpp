#include "net/metrics.hpp"

#include <string_view>

namespace nettlestall::net {

std::string figures(const calls::Gatekeeper& gatekeeper, const Counters& counters) {
    std::string text;
    const auto line = [&text](std::string_view name, std::uint64_t value, char kind) {
        text.append("app.").append(name).append(":").append(std::to_string(value)).append("|");
        text.append(1, kind).append("\n");
    };
    for (const calls::Gatekeeper::Replies& replies : gatekeeper.replies()) {
        const std::string of = "replies." + replies.service_class;
        line(of + ".success", replies.served, 'c');
        line(of + ".overload", replies.refused, 'c');
        line(of + ".error", replies.failed, 'c');
    }
    line("dispatches", counters.set_ups_written, 'c');
    line("concurrent", gatekeeper.calls(), 'g');
    line("targets", gatekeeper.listed_exchanges(), 'g');
    line("targets_disabled", gatekeeper.avoided_exchanges(), 'g');
    return text;
}

std::string oldest_calls(const calls::Gatekeeper& gatekeeper, std::size_t most) {
    std::string text = "call at seconds\n";
    for (const calls::Gatekeeper::OldCall& old : gatekeeper.oldest_calls(most))
        text += old.call + ' ' + old.exchange + ' ' +
                std::to_string(std::chrono::duration_cast<std::chrono::seconds>(old.age).count()) + '\n';
    return text;
}

}  // namespace nettlestall::net
