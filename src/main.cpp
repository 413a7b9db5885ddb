// The command line. Without a word `nettlestall` serves, as `nettlestall serve` does.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "cli/circuits.hpp"
#include "config/operator_file.hpp"
#include "program.hpp"

namespace {

using namespace nettlestall;
using cli::ExitCode;

int run(const std::function<int()>& work) {
    try {
        return work();
    } catch (const std::exception& problem) {
        std::cerr << "nettlestall: " << problem.what() << '\n';
        return ExitCode::kFailure;
    }
}

void add_circuits(CLI::App& app, int& result) {
    struct Words {
        std::string at, circuits = "", kind = "soft";
        std::uint32_t group = 0;
        bool all = false;
    };
    const auto words = std::make_shared<Words>();
    CLI::App* circuits =
        app.add_subcommand("circuits", "Circuit groups, through a gatekeeper's operators' address");
    circuits->add_option("--at", words->at, "The operators' address, address:port")
        ->envname("BALANCER_OPERATOR")
        ->required();
    circuits->require_subcommand(1);
    const auto target = [words](const std::string& what) {
        return "/circuits/" + std::to_string(words->group) + what;
    };
    CLI::App* list =
        circuits->add_subcommand("list", "All groups, or the circuits of one that are not idle and free");
    list->add_option("--group", words->group);
    list->add_flag("--all", words->all, "Of the group, every circuit");
    list->callback([words, target, list, &result] {
        const std::string of = list->count("--group") ? target(words->all ? "?all=1" : "") : "/circuits";
        result = cli::send_operators_request(words->at, "GET", of);
    });
    for (const auto& [name, about] :
         {std::pair{"block", "Takes circuits out of use, here and at the far end"},
          {"unblock", "Gives them back"},
          {"reset", "Makes them idle at both ends; calls on them are cut"}}) {
        CLI::App* order = circuits->add_subcommand(name, about);
        order->add_option("--group", words->group)->required();
        order->add_option("--circuits", words->circuits, "all, or numbers and ranges such as 1-4,7")
            ->required();
        if (std::string(name) == "block")
            order->add_option("--kind", words->kind, "soft: calls on them go on; hard: they are cut")
                ->check(CLI::IsMember({"soft", "hard"}))
                ->capture_default_str();
        order->callback([words, target, what = std::string(name), &result] {
            std::string query = "/" + what + "?circuits=" + words->circuits;
            if (what == "block") query += "&kind=" + words->kind;
            result = cli::send_operators_request(words->at, "POST", target(query));
        });
    }
    CLI::App* audit = circuits->add_subcommand("audit", "Compares a group with its far end now");
    audit->add_option("--group", words->group)->required();
    audit->callback([words, target, &result] {
        result = cli::send_operators_request(words->at, "POST", target("/audit"));
    });
}

}  // namespace

int main(int count, char** words) {
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("The gatekeeper of a game hub. Without a subcommand it serves.", "nettlestall");
    app.footer(
        "Exit codes: 0 done; 1 it can't start, or a file is wrong; 2 the command line is wrong; 3 the "
        "gatekeeper "
        "refused the order; 4 no gatekeeper answered.");
    app.require_subcommand(0, 1);
    int result = ExitCode::kSuccess;

    ServeOptions options;
    CLI::App* serve =
        app.add_subcommand("serve", "Serves; its configuration is in the file that BALANCER_CONFIG names");
    serve->add_option("--file", options.operator_file, "The operator's own file; none: nothing of it is on");
    serve->callback([&] { result = run([&] { return nettlestall::serve(options); }); });

    std::string file;
    CLI::App* check = app.add_subcommand("check-config",
                                         "Reads an operator's file as `serve` would, and says what is wrong");
    check->add_option("FILE", file)->required();
    check->callback([&] {
        result = run([&] {
            config::read_operator_file(file);
            std::cout << file << ": in order\n";
            return static_cast<int>(ExitCode::kSuccess);
        });
    });

    app.add_subcommand("version", "Prints the version")->callback([] {
        std::cout << "nettlestall " NETTLESTALL_VERSION "\n";
    });
    add_circuits(app, result);

    try {
        app.parse(count, words);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? ExitCode::kSuccess : ExitCode::kUsageError;
    }
    if (app.get_subcommands().empty()) result = run([&] { return nettlestall::serve(options); });
    return result;
}
