// guavapond-bench: one subcommand per registered scenario; prints one JSON line per run.
#include "Bench.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <exception>
#include <iostream>

using namespace guavapond::bench;

namespace {

void addOptions(CLI::App& command, BenchOptions& options, std::vector<std::string>& settings)
{
    command.add_option("--deployment", options.deployment, "Deployment to model")->check(CLI::IsMember({ "himal", "consorzio" }));
    command.add_option("--seed", options.seed, "Seed of all random numbers");
    command.add_flag("--quick", options.quick, "A shorter run");
    command.add_flag("--check", options.check, "Exit status 1 when a guarantee is broken");
    command.add_option("--seconds", options.seconds, "Length of the measurement; 0: the scenario's default");
    command.add_option("--set", settings, "Further setting of the scenario, name=value");
}

void parseSettings(const std::vector<std::string>& settings, BenchOptions& options)
{
    for (const auto& setting : settings) {
        auto separator = setting.find('=');
        if (separator == std::string::npos)
            throw CLI::ValidationError("--set", "expected name=value, got " + setting);
        options.extra[setting.substr(0, separator)] = setting.substr(separator + 1);
    }
}

int run(int argc, char** argv)
{
    CLI::App app { "Benchmarks of Guavapond; one JSON line per scenario" };
    app.require_subcommand(1);
    BenchOptions options;
    std::vector<std::string> settings;
    auto& all = scenarios();
    std::sort(all.begin(), all.end(), [](const Scenario& a, const Scenario& b) { return a.name < b.name; });
    for (const auto& scenario : all)
        addOptions(*app.add_subcommand(scenario.name, scenario.description), options, settings);
    try {
        app.parse(argc, argv);
        parseSettings(settings, options);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    }
    for (const auto& scenario : all) {
        if (!app.got_subcommand(scenario.name))
            continue;
        auto line = scenario.run(options);
        line["scenario"] = scenario.name;
        line["deployment"] = options.deployment;
        line["seed"] = options.seed;
        std::cout << line.dump() << '\n';
        if (options.check && !line.value("violations", nlohmann::json::array()).empty())
            return 1;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "guavapond-bench: " << error.what() << '\n';
        return 1;
    }
}
