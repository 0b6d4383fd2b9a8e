// Scenario surge: a week's work submitted at once, in virtual time, with and without the scheduler on the same arrivals.
//
// Workload: normal load, then `surgeFactor` times the fleet's capacity, then normal load again. Short questions run beside dossiers
// (or briefs) about 100 times longer. Engines differ in speed; one becomes a straggler, another crashes and comes back with an empty
// cache; load reports are late. Capacity is engine time: an output token costs 44 ms divided by the batch that keeps this pace, a prompt
// token that no other request shares its prefill time; shared prompt tokens are free. The top tier alone fits.
//
// Goodput is the part of the requests that finished whole before their deadline, of all that were submitted (`goodputByTier` the
// same for each tier). Wasted prefill is the prompt tokens that engines computed for requests that did not. A client gives up at its
// deadline in both runs, and its request is then cancelled at the engine.
//
// Baseline: first come first served, sent at once to the target with the least outstanding requests by the last report and what was
// sent since; no tiers, no affinity, no refusal. A target without recent reports gets nothing.
//
// --set surge=F        offered load during the surge against capacity; default 3
// --set detail=1       adds refusals by reason and the state of the targets at the end
#include "Bench.h"
#include "EngineModel.h"

#include "core/Scheduler.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <queue>
#include <random>

namespace guavapond::bench {

namespace {

using namespace std::chrono_literals;

const TimePoint origin { 1000s };
constexpr double tokenGoal = 0.044; // s between tokens
constexpr Duration warmUp = 60s;
constexpr Duration surgeLength = 180s;
constexpr Duration coolDown = 60s;
constexpr double normalLoad = 0.6;  // of capacity
constexpr double urgentLoad = 0.35; // of capacity, in normal load and in the surge alike
constexpr Duration reportInterval = 500ms;
constexpr Duration reportLag = 1s;
constexpr Duration healthInterval = 100ms;
constexpr Duration downAfter = 1500ms; // without a report the baseline takes a target for down
constexpr double stragglerSlowdown = 5;
constexpr uint64_t lostEventBatches = 50; // one batch of cache events in so many is lost
constexpr uint32_t openLetters = 6;       // of a workspace at a time
constexpr Duration letterInterval = 20s;  // between two new letters of a workspace

struct Deployment {
    uint32_t engines;
    std::vector<std::string> domains;
    std::vector<double> workspaceShare; // of the submitted work
    double longPromptTokens;            // mean, of dossiers and briefs
    double letterQuestions;             // part of the questions that ask about an open letter or dossier
};

Deployment deploymentOf(const std::string& name)
{
    if (name == "himal")
        return { 12, { "lalitpur", "bhaktapur", "kirtipur" }, { 0.4, 0.3, 0.15, 0.1, 0.05 }, 8000, 0.1 };
    return { 9, { "palermo", "catania", "acireale", "siracusa" }, { 0.35, 0.35, 0.15, 0.1, 0.05 }, 12000, 0.3 };
}

// ---- Workload
struct Arrival {
    RequestSpec spec;
    uint32_t outputTokens = 0;
};

class Workload {
public:
    Workload(const Deployment& chosen, const EngineSettings& reference, double capacitySpeed, double surge, uint64_t seed)
        : deployment(chosen)
        , random(seed)
        , capacity(capacitySpeed)
        , outputSeconds(1 / EngineModel(reference).decodeTokensPerSecond(tokenGoal))
        , promptSeconds(reference.prefillTokenSeconds)
    {
        Duration length = warmUp + surgeLength + coolDown;
        for (Duration at {}; at < length; at += 100ms) {
            bool isSurge = at >= warmUp && at < warmUp + surgeLength;
            this->addTier(Tier::Urgent, urgentLoad, at);
            double rest = (isSurge ? surge : normalLoad) - urgentLoad;
            this->addTier(Tier::Standard, rest * 0.5, at);
            this->addTier(Tier::Batch, rest * 0.5, at);
        }
        std::sort(this->arrivals.begin(), this->arrivals.end(), [](auto& a, auto& b) { return a.spec.arrival < b.spec.arrival; });
        for (size_t i = 0; i < this->arrivals.size(); ++i)
            this->arrivals[i].spec.id = RequestId { i };
    }

    std::vector<Arrival> arrivals;

private:
    uint32_t uniform(double low, double high) { return static_cast<uint32_t>(std::uniform_real_distribution(low, high)(this->random)); }

    // Adds requests until the tier's share of the capacity of this 100 ms is used up; the rest is carried over.
    void addTier(Tier tier, double load, Duration at)
    {
        double& budget = this->budgets[raw(tier)];
        budget += load * this->capacity * 0.1;
        while (budget > 0) {
            // Half of the work is in short requests, half in long ones, so that long ones are one in a hundred or so.
            bool isLong = this->uniform(0, 101) == 0;
            budget -= this->add(tier, isLong, origin + at + Duration(this->uniform(0, 100000)));
        }
    }

    double add(Tier tier, bool isLong, TimePoint at)
    {
        std::discrete_distribution<uint32_t> shares(this->deployment.workspaceShare.begin(), this->deployment.workspaceShare.end());
        uint32_t workspace = shares(this->random);
        Arrival arrival;
        auto& spec = arrival.spec;
        spec.workspace = WorkspaceId { workspace };
        spec.tier = tier;
        spec.arrival = at;
        std::vector<uint64_t> prefix;
        uint32_t own = 0; // prompt tokens that no other request shares
        if (isLong) {
            prefix = this->chain(1000 + workspace * 4 + this->uniform(0, 4), 12);
            own = this->uniform(0.5 * this->deployment.longPromptTokens, 1.5 * this->deployment.longPromptTokens);
            this->extend(prefix, own / prefixBlockTokens, ++this->unique);
            spec.promptTokens = static_cast<uint32_t>(prefix.size()) * prefixBlockTokens + this->uniform(1, 256);
            arrival.outputTokens = this->uniform(1000, 2200);
            const Duration limits[] = { 180s, 240s, 400s };
            spec.deadline = at + limits[raw(tier)];
        } else {
            bool isAboutLetter = this->uniform(0, 1000) < this->deployment.letterQuestions * 1000;
            prefix = isAboutLetter ? this->openLetter(workspace, at) : this->chain(100 + workspace, 2);
            own = this->uniform(20, 250);
            spec.promptTokens = static_cast<uint32_t>(prefix.size()) * prefixBlockTokens + own;
            arrival.outputTokens = this->uniform(8, 25);
            spec.maxOutputTokens = 32;
            const Duration limits[] = { 4s, 8s, 20s };
            spec.deadline = at + limits[raw(tier)];
        }
        spec.prefixBlocks = std::move(prefix);
        double work = arrival.outputTokens * this->outputSeconds + own * this->promptSeconds;
        this->arrivals.push_back(std::move(arrival));
        return work;
    }

    // Each workspace has some letters open at a time; one of them is replaced at each interval.
    std::vector<uint64_t> openLetter(uint32_t workspace, TimePoint at)
    {
        uint64_t letter = static_cast<uint64_t>((at - origin) / letterInterval) + this->uniform(0, openLetters);
        auto prefix = this->chain(1000 + workspace * 4 + letter % 4, 12);
        this->extend(prefix, static_cast<size_t>(this->deployment.longPromptTokens / prefixBlockTokens), (letter + 1) * 1000 + workspace);
        return prefix;
    }

    std::vector<uint64_t> chain(uint64_t name, size_t blocks)
    {
        std::vector<uint64_t> result;
        this->extend(result, blocks, name);
        return result;
    }

    void extend(std::vector<uint64_t>& blocks, size_t count, uint64_t name)
    {
        uint64_t hash = blocks.empty() ? 0 : blocks.back();
        for (size_t i = 0; i < count; ++i) {
            hash = (hash ^ (name * 1000003 + i + 1)) * 0x9E3779B97F4A7C15;
            hash ^= hash >> 29;
            blocks.push_back(hash);
        }
    }

    const Deployment& deployment;
    std::mt19937_64 random;
    double capacity;      // reference engines
    double outputSeconds; // engine seconds for each output token
    double promptSeconds; // engine seconds for each prompt token
    std::array<double, tierCount> budgets {};
    uint64_t unique = 1'000'000;
};

// ---- What decides
class Simulation;

struct Policy {
    virtual ~Policy() = default;
    virtual void onArrival(const Arrival& arrival, TimePoint now) = 0;
    virtual void onProgress(RequestId id, const EngineProgress& progress, TimePoint now) = 0;
    virtual void onEnd(RequestId id, RunOutcome outcome, TimePoint now) = 0;
    virtual void onTimeout(RequestId id, TimePoint now) = 0; // the client went away
    virtual void onReport(uint32_t engine, uint32_t running, uint32_t waiting, TimePoint now) = 0;
    virtual void onCacheChanges(uint32_t, const std::vector<CacheChange>&, TimePoint) { }
    virtual void onHealthTick(TimePoint) { }
    virtual std::optional<TimePoint> step(TimePoint now) = 0; // acts; the time of the next step
    virtual void describe(nlohmann::json&) const { }
};

// ---- Simulation
class Simulation {
public:
    Simulation(const std::vector<Arrival>& work, const std::vector<EngineSettings>& engineSettings, uint64_t seed)
        : arrivals(work)
        , isUp(engineSettings.size(), true)
        , finished(work.size())
        , ended(work.size())
        , target(work.size())
        , sentTo(work.size())
    {
        for (const auto& settings : engineSettings)
            this->engines.emplace_back(settings);
        std::mt19937_64 random(seed);
        this->straggler = static_cast<uint32_t>(random() % this->engines.size());
        this->crasher = static_cast<uint32_t>((this->straggler + 1 + random() % (this->engines.size() - 1)) % this->engines.size());
    }

    void run(Policy& policy)
    {
        for (size_t i = 0; i < this->arrivals.size(); ++i) {
            this->schedule(this->arrivals[i].spec.arrival, Kind::Arrival, i);
            this->schedule(this->arrivals[i].spec.deadline, Kind::Timeout, i);
        }
        for (uint32_t e = 0; e < this->engines.size(); ++e)
            this->schedule(origin + e * reportInterval / this->engines.size(), Kind::Report, e);
        this->schedule(origin, Kind::Health, 0);
        this->schedule(origin + warmUp + 30s, Kind::Slow, 0);
        this->schedule(origin + warmUp + 60s, Kind::Crash, 0);
        this->schedule(origin + warmUp + 90s, Kind::Restart, 0);
        this->end = origin + warmUp + surgeLength + coolDown + 420s;
        while (!this->events.empty() && this->events.top().time < this->end) {
            Event event = this->events.top();
            this->events.pop();
            this->handle(event, policy);
            auto next = policy.step(event.time);
            if (next && (!this->wake || *next < *this->wake || *this->wake <= event.time)) {
                this->wake = std::max(*next, event.time + Duration(1));
                this->schedule(*this->wake, Kind::Wake, 0);
            }
        }
    }

    void send(RequestId id, uint32_t engine, TimePoint now)
    {
        if (!this->isUp[engine]) {
            this->schedule(now + 1ms, Kind::Lost, raw(id));
            return;
        }
        const auto& arrival = this->arrivals[raw(id)];
        this->target[raw(id)] = engine;
        this->sentTo[raw(id)] = engine;
        this->engines[engine].admit({ raw(id), arrival.spec.promptTokens, arrival.outputTokens, arrival.spec.prefixBlocks }, now);
        this->scheduleEngine(engine);
    }

    void cancel(RequestId id, TimePoint now)
    {
        if (auto engine = this->target[raw(id)]) {
            this->engines[*engine].cancel(raw(id), now);
            this->countPrefill(id, *engine);
        }
        this->schedule(now + 2ms, Kind::Cancelled, raw(id));
    }

    // The request will get no answer of a target: refused, or its client went away.
    void close(RequestId id) { this->ended[raw(id)] = true; }
    bool isEnded(RequestId id) const { return this->ended[raw(id)]; }

    size_t engineCount() const { return this->engines.size(); }

    nlohmann::json result() const
    {
        nlohmann::json line;
        std::array<double, tierCount> good {};
        std::array<double, tierCount> all {};
        for (size_t i = 0; i < this->arrivals.size(); ++i) {
            size_t tier = raw(this->arrivals[i].spec.tier);
            all[tier] += 1;
            good[tier] += this->finished[i] ? 1 : 0;
        }
        line["goodput"] = (good[0] + good[1] + good[2]) / (all[0] + all[1] + all[2]);
        for (size_t t = 0; t < tierCount; ++t)
            line["goodputByTier"][std::string(tierName(static_cast<Tier>(t)))] = good[t] / all[t];
        std::array<double, 2> goodTokens {};
        std::array<double, 2> goodCount {};
        std::array<double, 2> allCount {};
        for (size_t i = 0; i < this->arrivals.size(); ++i) {
            size_t isLong = this->arrivals[i].spec.maxOutputTokens ? 0 : 1;
            goodTokens[isLong] += this->finished[i] ? this->arrivals[i].outputTokens : 0;
            goodCount[isLong] += this->finished[i] ? 1 : 0;
            allCount[isLong] += 1;
        }
        for (size_t i = 0; i < this->arrivals.size(); ++i) {
            const auto& spec = this->arrivals[i].spec;
            if (spec.tier != Tier::Urgent || this->finished[i])
                continue;
            std::string kind = this->kindOf(i);
            kind += this->sentTo[i] ? " engine" + std::to_string(*this->sentTo[i]) : " refused";
            auto& n = line["topTierLost"][kind];
            n = (n.is_null() ? 0 : n.get<int>()) + 1;
        }
        line["wasteByKind"] = this->wasteByKind;
        line["goodputShort"] = goodCount[0] / allCount[0];
        line["goodputLong"] = goodCount[1] / allCount[1];
        line["goodOutputTokens"] = goodTokens[0] + goodTokens[1];
        uint64_t total = 0;
        for (const auto& engine : this->engines)
            total += engine.prefilledTokens();
        line["prefillTokens"] = total;
        line["wastedPrefillTokens"] = total - this->usefulPrefill;
        return line;
    }

private:
    enum class Kind : uint8_t {
        Iteration,
        Arrival,
        Timeout,
        Report,
        Measured,
        Health,
        Lost,
        Cancelled,
        Slow,
        Crash,
        Restart,
        Wake,
    };
    struct Event {
        TimePoint time;
        uint64_t order = 0;
        Kind kind = Kind::Wake;
        uint64_t subject = 0;
        uint32_t running = 0;
        uint32_t waiting = 0;
        bool operator>(const Event& other) const { return std::pair(this->time, this->order) > std::pair(other.time, other.order); }
    };

    void schedule(TimePoint time, Kind kind, uint64_t subject, uint32_t running = 0, uint32_t waiting = 0)
    {
        this->events.push({ time, ++this->order, kind, subject, running, waiting });
    }

    void scheduleEngine(uint32_t engine)
    {
        auto next = this->engines[engine].nextEvent();
        if (next && this->scheduled[engine] != *next) {
            this->scheduled[engine] = *next;
            this->schedule(*next, Kind::Iteration, engine);
        }
    }

    void handle(const Event& event, Policy& policy)
    {
        TimePoint now = event.time;
        auto id = RequestId { event.subject };
        auto engine = static_cast<uint32_t>(event.subject);
        switch (event.kind) {
        case Kind::Arrival:
            policy.onArrival(this->arrivals[event.subject], now);
            break;
        case Kind::Timeout:
            if (!this->ended[event.subject]) {
                this->close(id);
                policy.onTimeout(id, now);
            }
            break;
        case Kind::Iteration:
            if (this->engines[engine].nextEvent() == now)
                this->iterate(engine, policy, now);
            break;
        case Kind::Report:
            this->cacheChanges[engine].push_back(this->engines[engine].takeCacheChanges());
            if (this->isUp[engine])
                this->schedule(now + reportLag, Kind::Measured, engine, this->engines[engine].running(), this->engines[engine].waiting());
            this->schedule(now + reportInterval, Kind::Report, engine);
            break;
        case Kind::Measured:
            policy.onReport(engine, event.running, event.waiting, now);
            // Cache events arrive as late as the report, and some batches of them are lost.
            if (this->cacheChanges[engine].size() > 2) {
                if (++this->reportsSeen % lostEventBatches != 0)
                    policy.onCacheChanges(engine, this->cacheChanges[engine].front(), now);
                this->cacheChanges[engine].pop_front();
            }
            break;
        case Kind::Health:
            policy.onHealthTick(now);
            this->schedule(now + healthInterval, Kind::Health, 0);
            break;
        case Kind::Lost:
            this->close(id);
            policy.onEnd(id, RunOutcome::ConnectionLost, now);
            break;
        case Kind::Cancelled:
            policy.onEnd(id, RunOutcome::Cancelled, now);
            break;
        case Kind::Slow:
            this->engines[this->straggler].setSlowdown(stragglerSlowdown);
            break;
        case Kind::Crash:
            this->isUp[this->crasher] = false;
            for (uint64_t lost : this->engines[this->crasher].crash()) {
                this->noteWaste(lost, this->engines[this->crasher].takePrefilled(lost));
                this->target[lost].reset();
                this->schedule(now, Kind::Lost, lost);
            }
            break;
        case Kind::Restart:
            this->isUp[this->crasher] = true;
            break;
        case Kind::Wake:
            break;
        }
    }

    void iterate(uint32_t engine, Policy& policy, TimePoint now)
    {
        for (const auto& progress : this->engines[engine].advance(now)) {
            auto id = RequestId { progress.id };
            policy.onProgress(id, progress, now);
            if (!progress.isFinished)
                continue;
            this->target[progress.id].reset();
            uint32_t computed = this->engines[engine].takePrefilled(progress.id);
            if (!this->ended[progress.id] && now <= this->arrivals[progress.id].spec.deadline) {
                this->finished[progress.id] = true;
                this->usefulPrefill += computed;
            } else {
                this->noteWaste(progress.id, computed);
            }
            this->close(id);
            policy.onEnd(id, RunOutcome::Completed, now);
        }
        this->scheduleEngine(engine);
    }

    void noteWaste(uint64_t id, uint32_t tokens)
    {
        this->wasteByKind[std::string(tierName(this->arrivals[id].spec.tier)) + " " + this->kindOf(id)] += tokens;
    }

    std::string kindOf(uint64_t id) const
    {
        const auto& spec = this->arrivals[id].spec;
        return !spec.maxOutputTokens ? "long" : spec.promptTokens > 2000 ? "letter" : "question";
    }

    void countPrefill(RequestId id, uint32_t engine)
    {
        this->noteWaste(raw(id), this->engines[engine].takePrefilled(raw(id)));
        this->target[raw(id)].reset();
    }

public:
    bool isUpNow(uint32_t engine) const { return this->isUp[engine]; }

private:
    const std::vector<Arrival>& arrivals;
    std::deque<EngineModel> engines;
    std::vector<bool> isUp;
    std::vector<bool> finished;
    std::vector<bool> ended;
    std::vector<std::optional<uint32_t>> target;
    std::vector<std::optional<uint32_t>> sentTo;
    std::map<uint32_t, TimePoint> scheduled;
    std::map<uint32_t, std::deque<std::vector<CacheChange>>> cacheChanges; // by engine; not delivered yet
    uint64_t reportsSeen = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    uint64_t order = 0;
    std::optional<TimePoint> wake;
    TimePoint end {};
    uint32_t straggler = 0;
    uint32_t crasher = 0;
    uint64_t usefulPrefill = 0;
    std::map<std::string, uint64_t> wasteByKind; // prefilled tokens by tier and kind of request
};

// ---- Baseline
class Baseline : public Policy {
public:
    explicit Baseline(Simulation& sim)
        : simulation(sim)
        , reported(sim.engineCount(), 0)
        , sentSince(sim.engineCount())
        , lastReport(sim.engineCount(), origin + reportLag)
    {
    }

    void onArrival(const Arrival& arrival, TimePoint now) override
    {
        std::optional<uint32_t> best;
        double least = 0;
        for (uint32_t e = 0; e < this->reported.size(); ++e) {
            auto& sent = this->sentSince[e];
            while (!sent.empty() && sent.front() < this->lastReport[e] - reportLag)
                sent.pop_front();
            double outstanding = this->reported[e] + static_cast<double>(sent.size());
            if (now - this->lastReport[e] > downAfter || (best && outstanding >= least))
                continue;
            best = e;
            least = outstanding;
        }
        if (!best) {
            this->simulation.close(arrival.spec.id);
            return;
        }
        this->sentSince[*best].push_back(now);
        this->simulation.send(arrival.spec.id, *best, now);
    }
    void onProgress(RequestId, const EngineProgress&, TimePoint) override { }
    void onEnd(RequestId, RunOutcome, TimePoint) override { }
    void onTimeout(RequestId id, TimePoint now) override { this->simulation.cancel(id, now); }
    void onReport(uint32_t engine, uint32_t running, uint32_t waiting, TimePoint now) override
    {
        this->reported[engine] = running + waiting;
        this->lastReport[engine] = now;
    }
    std::optional<TimePoint> step(TimePoint) override { return std::nullopt; }

private:
    Simulation& simulation;
    std::vector<double> reported;
    std::vector<std::deque<TimePoint>> sentSince; // times of what was sent since the last report was measured
    std::vector<TimePoint> lastReport;
};

// ---- The project's scheduler
class Scheduled : public Policy {
public:
    Scheduled(Simulation& sim, const Deployment& deployment, uint64_t seed)
        : simulation(sim)
        , random(seed)
        , targets(TargetSettings {}, deployment.domains.front())
        , router(RouterSettings {}, targets, prefixes, costs, [this](uint64_t below) { return this->random() % below; })
        , scheduler(SchedulerSettings {}, targets, router, costs)
    {
        Table table;
        for (size_t w = 0; w < deployment.workspaceShare.size(); ++w) {
            WorkspaceRow row { .name = "workspace" + std::to_string(w), .token = "", .tiers = {} };
            for (auto& tier : row.tiers)
                tier.weight = deployment.workspaceShare[w] * 20;
            table.workspaces.push_back(row);
        }
        for (uint32_t e = 0; e < deployment.engines; ++e)
            table.targets.push_back({ .name = "engine" + std::to_string(e),
                .address = "http://127.0.0.1:" + std::to_string(7000 + e),
                .failureDomain = deployment.domains[e % deployment.domains.size()],
                .model = "drafts",
                .version = "1" });
        TableIndex index(table, 1);
        this->targets.applyTable(index, origin);
        this->router.applyTable(index, origin);
        this->scheduler.applyTable(index, origin);
    }

    void onArrival(const Arrival& arrival, TimePoint now) override
    {
        this->specs.emplace(arrival.spec.id, &arrival.spec);
        if (auto failure = this->scheduler.submit(arrival.spec, now)) {
            ++this->messages[std::string(tierName(arrival.spec.tier)) + " " + failure->message];
            this->simulation.close(arrival.spec.id);
        }
    }
    void onProgress(RequestId id, const EngineProgress& progress, TimePoint now) override
    {
        if (progress.isFirst)
            this->scheduler.onFirstToken(id, now);
        this->scheduler.onTokens(id, 1, now);
    }
    void onEnd(RequestId id, RunOutcome outcome, TimePoint now) override { this->scheduler.onFinished(id, outcome, now); }
    void onTimeout(RequestId id, TimePoint now) override { this->scheduler.abandon(id, now); }
    void onReport(uint32_t engine, uint32_t running, uint32_t waiting, TimePoint now) override
    {
        this->targets.onLoadReport(TargetId { engine }, running, waiting, reportLag, now);
    }
    void onCacheChanges(uint32_t engine, const std::vector<CacheChange>& changes, TimePoint now) override
    {
        for (const auto& change : changes)
            this->prefixes.onCacheEvent(TargetId { engine }, change.seq, change.block, change.isAdded, now);
    }
    void onHealthTick(TimePoint now) override
    {
        for (TargetId target : this->targets.dueHealthChecks(now))
            this->targets.onHealthCheck(target, this->simulation.isUpNow(raw(target)), now);
    }
    std::optional<TimePoint> step(TimePoint now) override
    {
        for (const auto& action : this->scheduler.advance(now)) {
            if (action.kind == Action::Kind::Dispatch) {
                this->prefixes.onDispatched(action.target, this->specs.at(action.request)->prefixBlocks, now);
                this->simulation.send(action.request, raw(action.target), now);
                continue;
            }
            this->simulation.close(action.request);
            ++this->messages[std::string(tierName(this->specs.at(action.request)->tier)) + " " + action.failure->message];
            if (action.kind == Action::Kind::CancelRunning)
                this->simulation.cancel(action.request, now);
        }
        return this->scheduler.nextWake(now);
    }
    void describe(nlohmann::json& line) const override
    {
        auto stats = this->scheduler.stats();
        line["messages"] = this->messages;
        line["tierInversions"] = stats.tierInversions;
        for (size_t t = 0; t < tierCount; ++t) {
            for (size_t k = 0; k < failureKindCount; ++k) {
                if (stats.refused[t][k] > 0)
                    line["refused"][std::string(tierName(static_cast<Tier>(t)))][std::string(failureKindName(static_cast<FailureKind>(k)))]
                        = stats.refused[t][k];
            }
            line["displaced"][std::string(tierName(static_cast<Tier>(t)))] = stats.cancelled[t];
        }
        for (uint32_t e = 0; e < this->simulation.engineCount(); ++e) {
            auto view = this->targets.view(TargetId { e }, origin);
            line["targets"].push_back({ view.window, view.running, static_cast<int>(view.health), view.rates.decodeTokensPerSecond,
                view.rates.prefillTokensPerSecond });
        }
    }

private:
    Simulation& simulation;
    std::map<std::string, uint64_t> messages; // refusals and cancellations by tier and message
    std::mt19937_64 random;
    std::unordered_map<RequestId, const RequestSpec*> specs;
    TargetSet targets;
    PrefixIndex prefixes { PrefixSettings {} };
    CostModel costs { CostSettings {} };
    Router router;
    Scheduler scheduler;
};

double numberOf(const BenchOptions& options, const std::string& name, double otherwise)
{
    auto position = options.extra.find(name);
    return position == options.extra.end() ? otherwise : std::stod(position->second);
}

nlohmann::json runSurge(const BenchOptions& options)
{
    auto deployment = deploymentOf(options.deployment);
    std::vector<EngineSettings> engines(deployment.engines);
    const double speeds[] = { 1, 0.7, 1.3, 1 };
    double capacity = 0; // reference engines
    for (size_t e = 0; e < engines.size(); ++e) {
        engines[e].speed = speeds[e % 4];
        capacity += engines[e].speed;
    }
    Workload workload(deployment, EngineSettings {}, capacity, numberOf(options, "surge", 3), options.seed);

    Simulation scheduledRun(workload.arrivals, engines, options.seed);
    Scheduled scheduled(scheduledRun, deployment, options.seed);
    scheduledRun.run(scheduled);
    Simulation baselineRun(workload.arrivals, engines, options.seed);
    Baseline baseline(baselineRun);
    baselineRun.run(baseline);

    auto mine = scheduledRun.result();
    auto other = baselineRun.result();
    nlohmann::json line;
    line["requests"] = workload.arrivals.size();
    line["topTierGoodput"] = mine["goodputByTier"]["urgent"];
    line["baselineTopTierGoodput"] = other["goodputByTier"]["urgent"];
    for (const auto* name :
        { "goodput", "goodputByTier", "goodputShort", "goodputLong", "goodOutputTokens", "prefillTokens", "wastedPrefillTokens" }) {
        line[name] = mine[name];
        std::string capital(name);
        capital[0] = static_cast<char>(std::toupper(capital[0]));
        line["baseline" + capital] = other[name];
    }
    nlohmann::json detail;
    scheduled.describe(detail);
    line["tierInversions"] = detail["tierInversions"];
    if (numberOf(options, "detail", 0) > 0)
        line["detail"] = detail;
    if (numberOf(options, "detail", 0) > 0)
        line["lost"] = { mine["topTierLost"], mine["wasteByKind"], other["wasteByKind"] };
    return line;
}

const bool registered = registerScenario({ "surge", "a week's work at once, with stale reports, a straggler and a crash", runSurge });

} // namespace

} // namespace guavapond::bench
