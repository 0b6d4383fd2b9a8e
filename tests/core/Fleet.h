// A table of targets with the decision parts around it, for tests in virtual time.
#pragma once

#include "core/Router.h"

#include <random>

namespace guavapond::test {

using namespace std::chrono_literals;

inline TimePoint at(Duration sinceStart) { return TimePoint {} + sinceStart; }

inline TargetRow engineRow(const std::string& name, const std::string& version = "v1", const std::string& domain = "lalitpur")
{
    return { .name = name, .address = "http://" + name, .failureDomain = domain, .model = "dossier", .version = version };
}

// Targets of the model "dossier" with ids in the order of the rows.
struct Fleet {
    explicit Fleet(std::vector<TargetRow> rows, std::vector<ShareRow> shares = {}, TargetSettings settings = {})
        : targets(settings, "lalitpur")
    {
        this->table.targets = std::move(rows);
        this->table.shares = std::move(shares);
        this->apply(at(0s));
    }

    void apply(TimePoint now)
    {
        this->index = TableIndex(this->table, this->index.revision() + 1, this->index.revision() > 0 ? &this->index : nullptr);
        this->targets.applyTable(this->index, now);
        this->router.applyTable(this->index, now);
    }

    RequestSpec request(uint32_t promptTokens = 100)
    {
        RequestSpec spec;
        spec.id = RequestId { ++this->lastRequest };
        spec.promptTokens = promptTokens;
        spec.maxOutputTokens = 20;
        return spec;
    }

    RequestId dispatch(TargetId target, TimePoint now, Duration cost = 1s, uint32_t promptTokens = 100)
    {
        RequestSpec spec = this->request(promptTokens);
        this->targets.onDispatched(target, spec, 0, cost, now);
        return spec.id;
    }

    // One request from dispatch to its end on an engine with the given speeds; returns when it ended.
    TimePoint run(TargetId target, TimePoint start, Duration toFirstToken, Duration perToken, uint32_t tokens = 20)
    {
        RequestId id = this->dispatch(target, start);
        return this->stream(id, start + toFirstToken, perToken, tokens);
    }

    TimePoint stream(RequestId id, TimePoint firstToken, Duration perToken, uint32_t tokens)
    {
        TimePoint now = firstToken;
        this->targets.onFirstToken(id, now);
        for (uint32_t i = 1; i < tokens; ++i) {
            now += perToken;
            this->targets.onTokens(id, 1, now);
        }
        this->targets.onFinished(id, RunOutcome::Completed, now);
        return now;
    }

    TargetHealth health(TargetId target, TimePoint now) { return this->targets.view(target, now).health; }

    Table table;
    TableIndex index;
    TargetSet targets;
    PrefixIndex prefixes { PrefixSettings {} };
    CostModel costs { CostSettings {} };
    std::mt19937_64 generator { 7 };
    Router router { RouterSettings {}, this->targets, this->prefixes, this->costs,
        [this](uint64_t below) { return this->generator() % below; } };
    uint64_t lastRequest = 0;
};

inline std::vector<TargetRow> engines(uint32_t count)
{
    std::vector<TargetRow> rows;
    for (uint32_t i = 0; i < count; ++i)
        rows.push_back(engineRow("runner-" + std::to_string(i)));
    return rows;
}

} // namespace guavapond::test
