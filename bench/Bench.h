// Registry of benchmark scenarios. Each scenario is one file that registers itself; Main.cpp makes a subcommand of each.
//
// Index
//   BenchOptions     what every scenario accepts on the command line
//   Scenario         name, description, function from options to one JSON line
//   scenarios, registerScenario
//
// A scenario's file ends with:
//   const bool registered = registerScenario({ "surge", "a week's work at once", runSurge });
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace guavapond::bench {

struct BenchOptions {
    std::string deployment = "himal"; // himal | consorzio
    uint64_t seed = 1;
    bool quick = false;                       // a shorter run; scenarios with real processes only
    bool check = false;                       // exit status 1 when a guarantee is broken: the line's "violations" is not empty
    double seconds = 0;                       // length of the measurement; 0: the scenario's own default
    std::map<std::string, std::string> extra; // --set name=value; each scenario documents its names
};

struct Scenario {
    std::string name;
    std::string description;
    std::function<nlohmann::json(const BenchOptions&)> run;
};

inline std::vector<Scenario>& scenarios()
{
    static std::vector<Scenario> all;
    return all;
}

inline bool registerScenario(Scenario scenario)
{
    scenarios().push_back(std::move(scenario));
    return true;
}

} // namespace guavapond::bench
