// Scenario decide: how many scheduling decisions one core makes, and how their cost grows with the number of targets.
//
// All windows are full and 20,000 requests wait. One decision frees a slot (a running request ends), admits a new request and dispatches
// one that waits: Scheduler::onFirstToken, onFinished, submit and advance are all timed. Virtual time passes at the rate at which the fleet
// serves. A fleet of 1,600 targets and one of 100 with the same models, workspaces and queue take turns in rounds of one process, and so do
// their baselines; the figures are medians over the rounds, the growth ratio is the median of the ratios of each round.
//
// Baseline: a first-come-first-served queue per model and a linear scan of the model's targets for the least outstanding requests; no
// tiers, no weights, no limits, no prefixes.
//
// --set rounds=N       rounds; default 20
// --set decisions=N    decisions of each fleet in a round; default 5000
// --set targets=N      targets of the large fleet; default 1600
// --set only=1         only the large fleet, for a profiler
#include "Bench.h"

#include "core/Scheduler.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <deque>
#include <memory>
#include <random>

namespace guavapond::bench {

namespace {

using namespace std::chrono_literals;

constexpr uint32_t smallFleet = 100; // targets
constexpr uint32_t modelCount = 16;
constexpr uint32_t workspaceCount = 34000;
constexpr uint32_t queuedRequests = 20000;
constexpr uint32_t windowSize = 8; // requests of each target
constexpr uint32_t domainCount = 6;
constexpr uint32_t letterCount = 5000; // different long prompts
constexpr uint32_t letterBlocks = 16; // blocks of a long prompt
constexpr uint64_t lettersPerHundred = 25; // requests with a long prompt
constexpr Duration meanRunTime = 3s; // virtual, of a request on its target
constexpr Duration firstTokenDelay = 200ms; // virtual, after the dispatch
constexpr int fillSteps = 500; // at most, until all windows are full
constexpr Duration reportInterval = 500ms; // virtual, between load reports of a target
constexpr Duration deadline = 2h; // far enough that nothing expires

// ---- Load
Table tableOf(uint32_t targets)
{
    Table table;
    table.workspaces.resize(workspaceCount);
    for (uint32_t i = 0; i < workspaceCount; ++i) {
        table.workspaces[i].name = "workspace-" + std::to_string(i);
        for (TierLimits& limits : table.workspaces[i].tiers) {
            limits.weight = 1 + i % 5;
            limits.running = 1000;
        }
    }
    for (uint32_t i = 0; i < targets; ++i) {
        std::string name = "runner-" + std::to_string(i);
        table.targets.push_back({ .name = name,
            .address = "http://" + name,
            .failureDomain = "domain-" + std::to_string(i / modelCount % domainCount),
            .model = "model-" + std::to_string(i % modelCount),
            .version = "v1",
            .maxRunning = windowSize });
    }
    for (uint32_t m = 0; m < modelCount; ++m)
        table.shares.push_back({ .model = "model-" + std::to_string(m), .version = "v1" });
    return table;
}

RequestSpec requestOf(uint64_t id, std::mt19937_64& random)
{
    RequestSpec spec;
    spec.id = RequestId { id };
    spec.workspace = WorkspaceId { static_cast<uint32_t>(random() % workspaceCount) };
    spec.tier = static_cast<Tier>(random() % tierCount);
    spec.model = ModelId { static_cast<uint32_t>(random() % modelCount) };
    spec.promptTokens = static_cast<uint32_t>(20 + random() % 200);
    spec.maxOutputTokens = static_cast<uint32_t>(16 + random() % 48);
    if (random() % 100 < lettersPerHundred) {
        uint64_t letter = random() % letterCount;
        spec.model = ModelId { static_cast<uint32_t>(letter % modelCount) };
        spec.promptTokens += letterBlocks * prefixBlockTokens;
        spec.maxOutputTokens = 400;
        for (uint64_t block = 0; block < letterBlocks; ++block)
            spec.prefixBlocks.push_back((letter * letterBlocks + block + 1) * 0x9e3779b97f4a7c15ULL);
    }
    return spec;
}

// ---- Fleets
class Decider {
public:
    virtual ~Decider() = default;
    virtual void submit(const RequestSpec& spec, TimePoint now) = 0;
    virtual void firstToken(RequestId, TimePoint) { }
    virtual void finish(RequestId id, TimePoint now) = 0;
    virtual void advance(TimePoint now, std::vector<RequestId>& started) = 0;
    virtual void report(TimePoint, std::mt19937_64&) { }
    virtual uint64_t refused() const { return 0; }
};

class SchedulerDecider : public Decider {
public:
    SchedulerDecider(const Table& table, uint64_t seed)
        : index(table, 1)
        , targets({ .initialWindow = windowSize }, "domain-0")
        , prefixes({})
        , costs({})
        , router({}, targets, prefixes, costs, [generator = std::mt19937_64(seed)](uint64_t below) mutable { return generator() % below; })
        , scheduler({}, targets, router, costs)
    {
        TimePoint now {};
        this->targets.applyTable(this->index, now);
        this->router.applyTable(this->index, now);
        this->scheduler.applyTable(this->index, now);
    }

    void submit(const RequestSpec& spec, TimePoint now) override { this->refusals += this->scheduler.submit(spec, now) ? 1 : 0; }
    void firstToken(RequestId id, TimePoint now) override { this->scheduler.onFirstToken(id, now); }
    void finish(RequestId id, TimePoint now) override { this->scheduler.onFinished(id, RunOutcome::Completed, now); }
    void advance(TimePoint now, std::vector<RequestId>& started) override
    {
        for (const Action& action : this->scheduler.advance(now)) {
            if (action.kind == Action::Kind::Dispatch)
                started.push_back(action.request);
            else
                ++this->refusals;
        }
    }
    // Each target reports what this node runs there and up to two requests of other nodes.
    void report(TimePoint now, std::mt19937_64& random) override
    {
        for (uint32_t i = 0; i < this->index.targetCount(); ++i) {
            auto running = this->targets.view(TargetId { i }, now).running;
            this->targets.onLoadReport(TargetId { i }, running + static_cast<uint32_t>(random() % 3), 0, 200ms, now);
        }
    }
    uint64_t refused() const override { return this->refusals; }

private:
    TableIndex index;
    TargetSet targets;
    PrefixIndex prefixes;
    CostModel costs;
    Router router;
    Scheduler scheduler;
    uint64_t refusals = 0;
};

class BaselineDecider : public Decider {
public:
    explicit BaselineDecider(uint32_t targetCount)
        : outstanding(targetCount, 0)
        , members(modelCount)
        , waiting(modelCount)
    {
        for (uint32_t i = 0; i < targetCount; ++i)
            this->members[i % modelCount].push_back(i);
    }

    void submit(const RequestSpec& spec, TimePoint) override
    {
        this->waiting[raw(spec.model)].push_back(spec);
        this->touched.push_back(raw(spec.model));
    }
    void finish(RequestId id, TimePoint) override
    {
        auto run = this->running.find(raw(id));
        --this->outstanding[run->second];
        this->touched.push_back(run->second % modelCount);
        this->running.erase(run);
    }
    void advance(TimePoint, std::vector<RequestId>& started) override
    {
        for (uint32_t model : std::exchange(this->touched, {})) {
            auto& queue = this->waiting[model];
            while (!queue.empty()) {
                auto fewer = [&](uint32_t a, uint32_t b) { return this->outstanding[a] < this->outstanding[b]; };
                uint32_t least = *std::min_element(this->members[model].begin(), this->members[model].end(), fewer);
                if (this->outstanding[least] >= windowSize)
                    break;
                ++this->outstanding[least];
                this->running.emplace(raw(queue.front().id), least);
                started.push_back(queue.front().id);
                queue.pop_front();
            }
        }
    }

private:
    std::vector<uint32_t> outstanding; // by target
    std::vector<std::vector<uint32_t>> members; // targets by model
    std::vector<std::deque<RequestSpec>> waiting; // by model
    std::unordered_map<uint64_t, uint32_t> running; // target by request
    std::vector<uint32_t> touched; // models with a free slot or a new request
};

// ---- Measurement
struct Fleet {
    Fleet(std::unique_ptr<Decider> made, uint32_t targets, uint64_t seed)
        : decider(std::move(made))
        , random(seed)
        , step(meanRunTime / (static_cast<int64_t>(targets) * windowSize))
    {
        this->fill(targets * windowSize);
        this->dispatched = 0;
    }

    // Submits at once, then lets time pass until every window is full: long prompts hold up the dispatches behind them.
    void fill(uint32_t slots)
    {
        for (uint32_t i = 0; i < slots + queuedRequests; ++i)
            this->decider->submit(this->next(), this->now);
        for (int i = 0; i < fillSteps && this->running.size() < slots; ++i) {
            this->now += firstTokenDelay;
            this->passFirstTokens();
            this->advance();
        }
    }

    void passFirstTokens()
    {
        while (!this->prefilling.empty() && this->prefilling.front().first <= this->now) {
            this->decider->firstToken(this->prefilling.front().second, this->now);
            this->prefilling.pop_front();
        }
    }

    void advance()
    {
        size_t before = this->running.size();
        this->decider->advance(this->now, this->running);
        this->dispatched += this->running.size() - before;
        for (size_t i = before; i < this->running.size(); ++i)
            this->prefilling.emplace_back(this->now + firstTokenDelay, this->running[i]);
    }

    RequestSpec next()
    {
        RequestSpec spec = requestOf(++this->lastId, this->random);
        spec.arrival = this->now;
        spec.deadline = this->now + deadline;
        return spec;
    }

    // Seconds for each decision.
    double measure(uint32_t decisions)
    {
        std::vector<RequestSpec> specs;
        for (uint32_t i = 0; i < decisions; ++i)
            specs.push_back(this->next());
        std::vector<uint64_t> draws(decisions);
        for (uint64_t& draw : draws)
            draw = this->random();
        size_t dispatchedBefore = this->dispatched;
        auto start = std::chrono::steady_clock::now();
        for (uint32_t i = 0; i < decisions; ++i)
            this->decide(specs[i], draws[i]);
        double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        return seconds / static_cast<double>(std::max<size_t>(this->dispatched - dispatchedBefore, 1));
    }

    void decide(RequestSpec& spec, uint64_t draw)
    {
        this->now += this->step;
        spec.arrival = this->now;
        if (this->now >= this->nextReport) {
            this->nextReport = this->now + reportInterval;
            this->decider->report(this->now, this->random);
        }
        this->passFirstTokens();
        size_t ended = draw % this->running.size();
        this->decider->finish(this->running[ended], this->now);
        this->running[ended] = this->running.back();
        this->running.pop_back();
        this->decider->submit(spec, this->now);
        this->advance();
    }

    std::unique_ptr<Decider> decider;
    std::mt19937_64 random;
    Duration step; // virtual time for each decision
    TimePoint now {};
    TimePoint nextReport {};
    std::vector<RequestId> running;
    std::deque<std::pair<TimePoint, RequestId>> prefilling; // dispatched, by the time of the first token
    uint64_t lastId = 0;
    size_t dispatched = 0; // since all windows were full
};

double median(std::vector<double> values)
{
    auto middle = values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

uint32_t setting(const BenchOptions& options, const std::string& name, uint32_t fallback)
{
    auto found = options.extra.find(name);
    return found == options.extra.end() ? fallback : static_cast<uint32_t>(std::stoul(found->second));
}

nlohmann::json runDecide(const BenchOptions& options)
{
    uint32_t rounds = std::max(1U, setting(options, "rounds", 20));
    uint32_t decisions = std::max(1U, setting(options, "decisions", 5000));
    uint32_t largeFleet = std::max(modelCount, setting(options, "targets", 1600));
    auto scheduled = [&](uint32_t targets) {
        return Fleet(std::make_unique<SchedulerDecider>(tableOf(targets), options.seed), targets, options.seed);
    };
    Fleet large = scheduled(largeFleet);
    std::vector<double> largeCost;
    if (setting(options, "only", 0) != 0) {
        for (uint32_t i = 0; i < rounds; ++i)
            largeCost.push_back(large.measure(decisions));
        return { { "decisionsPerSecond", 1 / median(largeCost) } };
    }
    Fleet small = scheduled(smallFleet);
    Fleet baseline(std::make_unique<BaselineDecider>(largeFleet), largeFleet, options.seed);
    Fleet smallBaseline(std::make_unique<BaselineDecider>(smallFleet), smallFleet, options.seed);
    std::vector<double> smallCost;
    std::vector<double> baselineCost;
    std::vector<double> growth;
    std::vector<double> baselineGrowth;
    for (uint32_t i = 0; i < rounds; ++i) {
        smallCost.push_back(small.measure(decisions));
        largeCost.push_back(large.measure(decisions));
        growth.push_back(largeCost.back() / smallCost.back());
        double smallBaselineCost = smallBaseline.measure(decisions);
        baselineCost.push_back(baseline.measure(decisions));
        baselineGrowth.push_back(baselineCost.back() / smallBaselineCost);
    }
    return {
        { "targets", largeFleet },
        { "queued", queuedRequests },
        { "decisionsPerSecond", 1 / median(largeCost) },
        { "decisionsPerSecondSmall", 1 / median(smallCost) },
        { "growthRatio", median(growth) },
        { "baselineDecisionsPerSecond", 1 / median(baselineCost) },
        { "baselineGrowthRatio", median(baselineGrowth) },
        { "dispatchesPerDecision", static_cast<double>(large.dispatched) / (static_cast<double>(rounds) * decisions) },
        { "refused", large.decider->refused() + small.decider->refused() },
    };
}

const bool registered = registerScenario({ "decide", "decisions per second on one core, and their growth with the fleet", runDecide });

} // namespace

} // namespace guavapond::bench
