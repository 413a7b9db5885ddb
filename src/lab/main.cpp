// nettlestall_lab: experiments with the gatekeeper. `glare` and `search` run on a virtual clock; the last
// line of their output is one JSON object, and one seed gives the same bytes every time. `live` runs real
// processes.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

#include "lab/glare.hpp"
#include "lab/live.hpp"
#include "lab/search.hpp"

namespace {

// Each function adds the subcommand of one experiment, which runs while the command line is parsed.
void add_glare(CLI::App& app) {
    using namespace nettlestall::lab;
    auto settings = std::make_shared<GlareSettings>();
    auto json = std::make_shared<bool>(false);
    auto samples = std::make_shared<bool>(false);
    CLI::App* glare = app.add_subcommand("glare", "Hubs joined by circuit groups, through hours of faults");
    glare->add_option("--seed", settings->seed, "Seed of all random numbers")->capture_default_str();
    glare->add_option("--hours", settings->hours, "Hours of simulated time")
        ->check(CLI::Range(0.01, 1000.0))
        ->capture_default_str();
    glare->add_option("--hubs", settings->hubs, "Number of hubs, joined each with each")
        ->check(CLI::Range(2, 20))
        ->capture_default_str();
    glare->add_option("--circuits", settings->circuits, "Circuits of each group")
        ->check(CLI::Range(4, 2048))
        ->capture_default_str();
    glare->add_option("--load", settings->load, "Offered traffic, as a share of the circuits")
        ->check(CLI::Range(0.01, 5.0))
        ->capture_default_str();
    glare->add_flag("!--no-parity", settings->parity, "Baseline: hunt from the lowest circuit at both ends");
    glare->add_flag("!--no-audits", settings->audits, "Baseline: no audits");
    glare->add_flag("!--no-ledgers", settings->ledgers, "No hub restores its calls after a crash");
    glare->add_flag("!--no-crashes", settings->crashes,
                    "All faults except crashes, which free stuck circuits");
    glare->add_flag("!--no-faults", settings->faults, "No faults, only traffic");
    glare->add_flag("--json", *json, "Print only the JSON object");
    glare->add_flag("--samples", *samples,
                    "Print hours, share of stuck and of busy circuits every ten minutes");
    glare->callback([settings, json, samples] {
        const GlareResult result = run_glare(*settings);
        if (*samples)
            for (const auto& sample : result.samples)
                std::printf("%.3f %.4f %.4f\n", sample.hours, sample.stuck, sample.busy);
        if (!*json && !*samples)
            std::printf("%llu calls, %llu answered; %llu glares; %llu circuits stuck at the end\n",
                        static_cast<unsigned long long>(result.calls),
                        static_cast<unsigned long long>(result.answered),
                        static_cast<unsigned long long>(result.glares),
                        static_cast<unsigned long long>(result.stuck_circuits));
        std::printf("%s\n", to_json(*settings, result).c_str());
    });
}

void add_search(CLI::App& app) {
    using namespace nettlestall::lab;
    auto settings = std::make_shared<SearchSettings>();
    CLI::App* search = app.add_subcommand("search", "All states that two ends of a group can reach together");
    search->add_option("--circuits", settings->circuits)->check(CLI::Range(1, 8))->capture_default_str();
    search->add_option("--calls", settings->calls, "Calls that each end may place")->capture_default_str();
    search->add_option("--breaks", settings->breaks, "Link breaks after which the link starts anew")
        ->capture_default_str();
    search->add_option("--resumes", settings->resumes, "Link breaks after which the link is resumed")
        ->capture_default_str();
    search->add_option("--crashes", settings->crashes)->capture_default_str();
    search->add_option("--losses", settings->losses, "Calls whose state one end loses")
        ->capture_default_str();
    search->add_option("--repeats", settings->repeats, "Messages that are received twice")
        ->capture_default_str();
    search->add_option("--audits", settings->audits, "Audits, started at any time")->capture_default_str();
    search->add_option("--ticks", settings->ticks, "Steps of six seconds, at any time")
        ->capture_default_str();
    search->add_option("--most-states", settings->max_states)->capture_default_str();
    search->add_flag("--wide", settings->wide, "Calls take two circuits");
    search->add_flag("!--no-ledger", settings->ledger, "A crashed end does not restore its calls");
    search->add_option("--broken", settings->broken, "A rule to break on purpose")
        ->check(CLI::IsMember({"", "glare", "audit"}));
    search->callback([settings] {
        const SearchResult result = nettlestall::lab::search(*settings);
        for (std::size_t i = 0; i < result.trace.size() && !result.violation.empty(); ++i)
            std::printf("%3zu  %s\n", i + 1, result.trace[i].c_str());
        if (!result.violation.empty()) std::printf("     %s\n", result.violation.c_str());
        std::printf(
            "{\"experiment\":\"search\",\"states\":%llu,\"transitions\":%llu,\"complete\":%s,\"wrong\":\"%"
            "s\"}\n",
            static_cast<unsigned long long>(result.states),
            static_cast<unsigned long long>(result.transitions), result.complete ? "true" : "false",
            result.violation.c_str());
    });
}

void add_live(CLI::App& app, int& result) {
    using namespace nettlestall::lab;
    auto settings = std::make_shared<LiveSettings>();
    CLI::App* live =
        app.add_subcommand("live", "Two real gatekeepers on loopback, with scripted callers and lines");
    live->add_option("--program", settings->program, "Path of the gatekeeper")->capture_default_str();
    live->add_option("--seconds", settings->seconds, "Seconds during which calls are placed")
        ->check(CLI::Range(1.0, 3600.0))
        ->capture_default_str();
    live->add_option("--rate", settings->calls_per_second, "Calls a second at each hub")
        ->check(CLI::Range(0.1, 2000.0))
        ->capture_default_str();
    live->add_option("--circuits", settings->circuits)->check(CLI::Range(1, 2048))->capture_default_str();
    live->add_option("--seed", settings->seed)->capture_default_str();
    live->callback([settings, &result] { result = run_live(*settings); });
}

}  // namespace

int main(int count, char** arguments) {
    int result = 0;
    CLI::App app("Experiments with the gatekeeper", "nettlestall_lab");
    app.require_subcommand(1);
    add_glare(app);
    add_search(app);
    add_live(app, result);
    try {
        app.parse(count, arguments);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? 0 : 2;
    } catch (const std::exception& problem) {
        std::cerr << "nettlestall_lab: " << problem.what() << '\n';
        return 1;
    }
    return result;
}
