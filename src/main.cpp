// The command line of `nettlestall`. Without a subcommand it serves, like `nettlestall serve`.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "cli/circuits.hpp"
#include "config/operator_file.hpp"
#include "program.hpp"

namespace {

using namespace nettlestall;
using cli::ExitCode;

// Runs `work`. An exception ends it with its message on standard error and exit code kFailure.
int run(const std::function<int()>& work) {
    try {
        return work();
    } catch (const std::exception& error) {
        std::cerr << "nettlestall: " << error.what() << '\n';
        return ExitCode::kFailure;
    }
}

// Adds the subcommand `circuits`, which sends requests to a running gatekeeper. `result` receives the exit
// code.
void add_circuits(CLI::App& app, int& result) {
    struct CircuitOptions {
        std::string at, circuits = "", kind = "soft";
        std::uint32_t group = 0;
        bool all = false;
    };
    const auto options = std::make_shared<CircuitOptions>();
    CLI::App* circuits =
        app.add_subcommand("circuits", "Shows and controls circuit groups of a running gatekeeper");
    circuits->add_option("--at", options->at, "The operators' address, address:port")
        ->envname("BALANCER_OPERATOR")
        ->required();
    circuits->require_subcommand(1);
    const auto target = [options](const std::string& suffix) {
        return "/circuits/" + std::to_string(options->group) + suffix;
    };
    CLI::App* list = circuits->add_subcommand(
        "list", "Lists all groups, or one group's circuits that are not both idle and free");
    list->add_option("--group", options->group);
    list->add_flag("--all", options->all, "With --group: lists all its circuits");
    list->callback([options, target, list, &result] {
        const std::string path = list->count("--group") ? target(options->all ? "?all=1" : "") : "/circuits";
        result = cli::send_operators_request(options->at, "GET", path);
    });
    for (const auto& [name, description] :
         {std::pair{"block", "Blocks circuits for new calls, here and at the far end"},
          {"unblock", "Unblocks circuits"},
          {"reset", "Makes circuits idle at both ends; calls on them are cut"}}) {
        CLI::App* command = circuits->add_subcommand(name, description);
        command->add_option("--group", options->group)->required();
        command->add_option("--circuits", options->circuits, "`all`, or numbers and ranges such as 1-4,7")
            ->required();
        if (std::string(name) == "block")
            command->add_option("--kind", options->kind, "soft: calls on them go on; hard: they are cut")
                ->check(CLI::IsMember({"soft", "hard"}))
                ->capture_default_str();
        command->callback([options, target, action = std::string(name), &result] {
            std::string query = "/" + action + "?circuits=" + options->circuits;
            if (action == "block") query += "&kind=" + options->kind;
            result = cli::send_operators_request(options->at, "POST", target(query));
        });
    }
    CLI::App* audit = circuits->add_subcommand("audit", "Compares a group's circuits with the far end's now");
    audit->add_option("--group", options->group)->required();
    audit->callback([options, target, &result] {
        result = cli::send_operators_request(options->at, "POST", target("/audit"));
    });
}

}  // namespace

int main(int count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("The gatekeeper of a game hub. Without a subcommand it serves.", "nettlestall");
    app.footer(
        "Exit codes: 0 success; 1 it cannot start, or a file is faulty; 2 the command line is faulty; 3 the "
        "gatekeeper "
        "refused the command; 4 no gatekeeper answered.");
    app.require_subcommand(0, 1);
    int result = ExitCode::kSuccess;

    ServeOptions options;
    CLI::App* serve =
        app.add_subcommand("serve", "Serves with the configuration file that BALANCER_CONFIG names");
    serve->add_option(
        "--file", options.operator_file,
        "The operator's file; without one, trunk signalling is off and the log has its defaults");
    serve->callback([&] { result = run([&] { return nettlestall::serve(options); }); });

    std::string file;
    CLI::App* check =
        app.add_subcommand("check-config", "Reads an operator's file as `serve` does and reports its faults");
    check->add_option("FILE", file)->required();
    check->callback([&] {
        result = run([&] {
            config::read_operator_file(file);
            std::cout << file << ": valid\n";
            return static_cast<int>(ExitCode::kSuccess);
        });
    });

    app.add_subcommand("version", "Prints the version")->callback([] {
        std::cout << "nettlestall " NETTLESTALL_VERSION "\n";
    });
    add_circuits(app, result);

    try {
        app.parse(count, arguments);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? ExitCode::kSuccess : ExitCode::kUsageError;
    }
    if (app.get_subcommands().empty()) result = run([&] { return nettlestall::serve(options); });
    return result;
}
