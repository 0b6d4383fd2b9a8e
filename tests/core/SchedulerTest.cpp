// Guards the scheduler's rules: strict shedding by tier, fairness by weight, limits, immediate refusal, one answer for each request.
#include "core/Scheduler.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <random>

using namespace guavapond;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

struct Setup {
    uint32_t targets = 4;
    uint32_t window = 4; // requests; fixed
    uint32_t models = 1;
    std::vector<WorkspaceRow> workspaces { { .name = "labs", .token = "", .tiers = {} }, { .name = "port", .token = "", .tiers = {} } };
    SchedulerSettings scheduler {};
};

// A scheduler with its parts, and the record of what became of each request.
struct Node {
    struct Running {
        RequestSpec spec;
        TargetId target {};
        TimePoint started {};
        bool isShort = false;
    };
    explicit Node(const Setup& setup, uint64_t seed = 1)
        : random(seed)
        , targets(TargetSettings { .initialWindow = setup.window, .windowDecrease = 1, .windowIncrease = 0 }, "lalitpur")
        , router(RouterSettings {}, targets, prefixes, costs, [this](uint64_t below) { return this->random() % below; })
        , scheduler(setup.scheduler, targets, router, costs)
    {
        Table table { .workspaces = setup.workspaces, .targets = {}, .shares = {}, .moves = {} };
        for (uint32_t i = 0; i < setup.targets; ++i)
            table.targets.push_back({ .name = "runner" + std::to_string(i),
                .address = "http://127.0.0.1:" + std::to_string(7000 + i),
                .failureDomain = "lalitpur",
                .model = "model" + std::to_string(i % setup.models),
                .version = "1" });
        this->index = TableIndex(table, 1);
        // With a learning rate of zero the expected length stays above every request's own limit, so that the limit is the estimate.
        for (uint32_t i = 0; i < setup.workspaces.size() * tierCount; ++i)
            this->costs.learn(static_cast<WorkspaceId>(i / tierCount), ModelId {}, static_cast<Tier>(i % tierCount), 1'000'000);
        this->targets.applyTable(this->index, this->now);
        this->router.applyTable(this->index, this->now);
        this->scheduler.applyTable(this->index, this->now);
    }

    // Output tokens at the default decode rate of 40 tokens/s.
    RequestSpec spec(uint32_t workspace, Tier tier, Duration cost, Duration deadline)
    {
        RequestSpec request;
        request.id = RequestId { ++this->lastId };
        request.workspace = WorkspaceId { workspace };
        request.tier = tier;
        request.arrival = this->now;
        request.deadline = this->now + deadline;
        request.maxOutputTokens = static_cast<uint32_t>(std::max(1.0, toSeconds(cost) * 40));
        return request;
    }

    std::optional<Failure> submit(const RequestSpec& request)
    {
        auto failure = this->scheduler.submit(request, this->now);
        if (failure) {
            this->end(request, *failure);
        } else {
            this->queued.emplace(request.id, request);
        }
        return failure;
    }

    RequestId submitNew(uint32_t workspace, Tier tier, Duration cost, Duration deadline)
    {
        auto request = this->spec(workspace, tier, cost, deadline);
        this->submit(request);
        return request.id;
    }

    void end(const RequestSpec& request, const Failure& failure)
    {
        CHECK(this->answers.emplace(request.id, failure).second); // answered twice
        bool isForCapacity = failure.kind == FailureKind::Shed || failure.kind == FailureKind::QueueFull
            || failure.kind == FailureKind::DeadlineUnreachable;
        if (isForCapacity && failure.disposition == Disposition::NotRun)
            this->unchecked.emplace_back(request, failure.kind);
    }

    // P2: no request is refused for want of capacity while lower-tier work of its model runs that may be cancelled. The one case passed
    // over is work that would miss its deadline on every target even if no lower-tier work ran there.
    void checkInversions()
    {
        for (const auto& [refused, kind] : std::exchange(this->unchecked, {})) {
            bool isLowerRunning = false;
            for (const auto& [id, run] : this->running)
                isLowerRunning = isLowerRunning || (run.spec.model == refused.model && run.spec.tier > refused.tier && run.spec.idempotent);
            if (!isLowerRunning)
                continue;
            CHECK(kind == FailureKind::DeadlineUnreachable);
            for (TargetId target : this->targets.targetsOf(refused.model))
                CHECK_TEXT(!this->isFeasible(refused, target), "a request was refused that lower-tier work kept from its target");
        }
    }

    // Whether the target would finish the request in time without lower-tier work; what can't be cancelled, and equal and higher tiers,
    // stay. Nothing has a prompt here.
    bool isFeasible(const RequestSpec& request, TargetId target)
    {
        auto view = this->targets.view(target, this->now);
        if (view.window == 0)
            return false;
        double all = 0;
        double longWork = 0;
        for (const auto& [id, run] : this->running) {
            if (run.target != target || (run.spec.tier > request.tier && run.spec.idempotent))
                continue;
            all += 1;
            longWork += run.isShort ? 0 : 1;
        }
        double seconds = *request.maxOutputTokens / view.rates.decodeTokensPerSecond;
        double keptForShort = std::max(1.0, std::floor(view.window * 0.25));
        bool hasSlot = all == 0 || (all < view.window && (seconds <= 2 || longWork < view.window - keptForShort));
        double slowed = seconds * (1 + 0.5 * std::min(1.0, all / view.window));
        return hasSlot && this->now + fromSeconds(slowed) < request.deadline;
    }

    void advance()
    {
        bool isRefusedHere = false;
        for (const auto& action : this->scheduler.advance(this->now)) {
            // A refusal is checked against what ran when it was decided. What submit() cancels before it refuses is handed out here.
            isRefusedHere = isRefusedHere || action.kind == Action::Kind::Refuse;
            if (action.kind == Action::Kind::Dispatch || (action.kind == Action::Kind::CancelRunning && isRefusedHere))
                this->checkInversions();
            if (action.kind == Action::Kind::Dispatch) {
                auto node = this->queued.extract(action.request);
                CHECK(!node.empty()); // dispatched twice, or after its answer
                CHECK(!this->answers.contains(action.request));
                this->running.emplace(action.request, Running { node.mapped(), action.target, this->now, action.cost <= 2s });
                ++this->dispatched[raw(action.request)];
                this->scheduler.onFirstToken(action.request, this->now);
            } else if (action.kind == Action::Kind::Refuse) {
                auto node = this->queued.extract(action.request);
                CHECK(!node.empty());
                CHECK(action.failure->disposition == Disposition::NotRun);
                this->end(node.mapped(), *action.failure);
            } else {
                auto node = this->running.extract(action.request);
                CHECK(!node.empty() && node.mapped().spec.idempotent);
                CHECK(action.failure->disposition == Disposition::Unknown);
                this->end(node.mapped().spec, *action.failure);
                this->cancelling.emplace(action.request, node.mapped());
            }
        }
        this->checkInversions();
    }

    void finish(RequestId id, RunOutcome outcome = RunOutcome::Completed)
    {
        if (auto node = this->running.extract(id); !node.empty()) {
            CHECK(!this->answers.contains(id));
            this->answers.emplace(id, std::nullopt);
            this->scheduler.onTokens(id, *node.mapped().spec.maxOutputTokens, this->now);
            this->used[raw(node.mapped().spec.workspace)] += toSeconds(this->now - node.mapped().started);
        }
        this->cancelling.erase(id);
        this->scheduler.onFinished(id, outcome, this->now);
    }

    // Lets time pass; each running request finishes when its output tokens are decoded.
    void run(Duration length, Duration step = 20ms)
    {
        for (TimePoint end = this->now + length; this->now < end;) {
            this->now += step;
            std::vector<RequestId> done;
            for (const auto& [id, run] : this->running) {
                double factor = this->slowdown.contains(raw(run.spec.workspace)) ? this->slowdown.at(raw(run.spec.workspace)) : 1;
                if (this->now - run.started >= fromSeconds(factor * *run.spec.maxOutputTokens / 40.0))
                    done.push_back(id);
            }
            for (const auto& [id, run] : this->cancelling)
                done.push_back(id);
            for (RequestId id : done)
                this->finish(id);
            this->advance();
        }
    }

    std::mt19937_64 random;
    TimePoint now = start;
    TargetSet targets;
    PrefixIndex prefixes { PrefixSettings {} };
    CostModel costs { CostSettings { .learningRate = 0 } };
    Router router;
    Scheduler scheduler;
    TableIndex index;
    uint64_t lastId = 0;
    std::map<RequestId, RequestSpec> queued;
    std::map<RequestId, Running> running;
    std::map<RequestId, Running> cancelling;
    std::map<RequestId, std::optional<Failure>> answers; // none: the answer of the target
    std::map<uint64_t, int> dispatched;
    std::map<uint32_t, double> used;                            // engine seconds by workspace
    std::map<uint32_t, double> slowdown;                        // actual over estimated time, by workspace
    std::vector<std::pair<RequestSpec, FailureKind>> unchecked; // refused since the last check
};

bool isRefusedAs(const Node& node, RequestId id, FailureKind kind)
{
    auto answer = node.answers.find(id);
    return answer != node.answers.end() && answer->second && answer->second->kind == kind;
}

} // namespace

TEST_GROUP(Scheduler) {};

// Failure: a request that can't be served is kept until its deadline instead of being refused at once with a typed reason.
TEST(Scheduler, RefusesAtOnceWhatCannotRun)
{
    struct Case {
        const char* name;
        std::function<void(RequestSpec&)> spoil;
        FailureKind kind;
    };
    const std::vector<Case> cases {
        { "unknown workspace", [](RequestSpec& r) { r.workspace = WorkspaceId { 99 }; }, FailureKind::WorkspaceForbidden },
        { "deadline passed", [](RequestSpec& r) { r.deadline = start; }, FailureKind::DeadlineExceeded },
        { "longer than its deadline", [](RequestSpec& r) { r.deadline = start + 1s; }, FailureKind::DeadlineUnreachable },
        { "unknown model", [](RequestSpec& r) { r.model = ModelId { 7 }; }, FailureKind::NoTarget },
    };
    for (const auto& [name, spoil, kind] : cases) {
        Node node { Setup {} };
        auto request = node.spec(0, Tier::Urgent, 10s, 60s);
        spoil(request);
        auto failure = node.submit(request);
        CHECK_TEXT(failure && failure->kind == kind, name);
        CHECK_TEXT(failure->disposition == Disposition::NotRun, name);
        LONGS_EQUAL(1, node.scheduler.stats().refused[0][static_cast<size_t>(kind)]);
    }
}

// Failure: work whose deadline can't be met given the work ahead is queued, expires there, and its caller learns it too late.
TEST(Scheduler, RefusesBeforePrefillWhatTheQueueMakesLate)
{
    Node node { Setup {} };
    size_t admitted = 0;
    std::optional<Failure> failure;
    for (; !failure && admitted < 500; ++admitted)
        failure = node.submit(node.spec(0, Tier::Standard, 10s, 60s));
    // 16 slots, of which 12 take long work: about 60 requests of 10 s within 60 s.
    CHECK(admitted > 30 && admitted < 110);
    CHECK(failure->kind == FailureKind::DeadlineUnreachable && failure->retryAfter > Duration::zero());
    node.run(70s);
    size_t completed = std::count_if(node.answers.begin(), node.answers.end(), [](auto& a) { return !a.second; });
    CHECK(completed >= admitted * 8 / 10);
    LONGS_EQUAL(0, node.queued.size());
}

// Failure: a higher tier is shed or expires while lower-tier work holds the slots.
TEST(Scheduler, LowerTiersGiveWayInOrder)
{
    Node node { Setup { .targets = 1 } };
    std::vector<RequestId> batch;
    batch.reserve(3);
    for (int i = 0; i < 3; ++i)
        batch.push_back(node.submitNew(0, Tier::Batch, 100s, 600s));
    node.advance();
    LONGS_EQUAL(3, node.running.size()); // the fourth slot is kept for short work
    auto waiting = node.submitNew(0, Tier::Batch, 100s, 600s);
    node.advance();
    auto urgent = node.submitNew(0, Tier::Urgent, 10s, 12s);
    node.advance();
    node.run(3s);
    CHECK(node.running.contains(urgent));
    CHECK(node.dispatched[raw(urgent)] == 1);
    LONGS_EQUAL(2, std::count_if(batch.begin(), batch.end(), [&](auto id) { return node.running.contains(id); }));
    LONGS_EQUAL(1, node.scheduler.stats().cancelled[raw(Tier::Batch)]);
    LONGS_EQUAL(0, node.scheduler.stats().tierInversions);
    CHECK(node.queued.contains(waiting) || isRefusedAs(node, waiting, FailureKind::Shed));
}

// Failure: a request with a tight deadline is refused, or expires, beside a free slot because lower-tier work would slow it down.
TEST(Scheduler, LowerTierGivesWayAlthoughASlotIsFree)
{
    Node node { Setup { .targets = 1, .window = 8 } };
    for (int i = 0; i < 4; ++i)
        node.submitNew(0, Tier::Batch, 100s, 600s);
    node.advance();
    LONGS_EQUAL(4, node.running.size());
    auto atOnce = node.submitNew(0, Tier::Urgent, 10s, 10500ms);
    node.advance();
    CHECK(node.running.contains(atOnce));
    CHECK(node.scheduler.stats().cancelled[raw(Tier::Batch)] > 0);
    LONGS_EQUAL(0, node.scheduler.stats().tierInversions);
}

// Failure: one urgent request cancels the lower-tier work of the whole model.
TEST(Scheduler, DisplacesOnOneTargetOnly)
{
    Node node { Setup { .targets = 4 } };
    for (int i = 0; i < 12; ++i)
        node.submitNew(0, Tier::Batch, 100s, 600s);
    node.advance();
    LONGS_EQUAL(12, node.running.size());
    auto urgent = node.submitNew(0, Tier::Urgent, 10s, 12s);
    node.run(3s);
    CHECK(node.running.contains(urgent));
    LONGS_EQUAL(12, node.running.size());
    LONGS_EQUAL(1, node.scheduler.stats().cancelled[raw(Tier::Batch)]);
}

// Failure: after a pause of the node a queued request expires although displacing lower-tier work would still meet its deadline.
TEST(Scheduler, DisplacesBeforeExpiryAfterAPause)
{
    Node node { Setup { .targets = 1 } };
    for (int i = 0; i < 3; ++i)
        node.submitNew(0, Tier::Batch, 100s, 600s);
    node.advance();
    auto urgent = node.submitNew(0, Tier::Urgent, 10s, 12s); // to start within 1 s
    node.advance();
    CHECK(node.queued.contains(urgent));
    node.now += 1500ms;
    node.advance();
    CHECK(node.running.contains(urgent));
}

// Failure: lower-tier work is cancelled for a request that can't meet its deadline on any target.
TEST(Scheduler, InfeasibleWorkDisplacesNothing)
{
    Node node { Setup { .targets = 2 } };
    for (int i = 0; i < 6; ++i)
        node.submitNew(0, Tier::Batch, 100s, 600s);
    node.advance();
    auto urgent = node.submitNew(0, Tier::Urgent, 10s, 8s);
    node.advance();
    CHECK(isRefusedAs(node, urgent, FailureKind::DeadlineUnreachable));
    LONGS_EQUAL(6, node.running.size());
    LONGS_EQUAL(0, node.scheduler.stats().tierInversions);
}

// Failure: a call that must not be repeated is cancelled to make room.
TEST(Scheduler, NonIdempotentWorkIsNeverDisplaced)
{
    Node node { Setup { .targets = 1 } };
    for (int i = 0; i < 3; ++i) {
        auto request = node.spec(0, Tier::Batch, 100s, 600s);
        request.idempotent = false;
        node.submit(request);
    }
    node.advance();
    auto urgent = node.submitNew(0, Tier::Urgent, 10s, 12s);
    node.run(5s);
    LONGS_EQUAL(3, node.running.size());
    CHECK(isRefusedAs(node, urgent, FailureKind::DeadlineUnreachable));
    LONGS_EQUAL(0, node.scheduler.stats().tierInversions);
}

// Failure: a cancelled request keeps its slot for good, or its late end is taken for a second answer.
TEST(Scheduler, CancelledRequestFreesItsSlotOnce)
{
    Node node { Setup { .targets = 1, .window = 2 } };
    auto first = node.submitNew(0, Tier::Batch, 100s, 600s);
    node.advance();
    node.scheduler.abandon(first, node.now);
    LONGS_EQUAL(1, node.scheduler.stats().refused[raw(Tier::Batch)][static_cast<size_t>(FailureKind::CallerGone)]);
    node.advance();
    auto second = node.submitNew(0, Tier::Batch, 100s, 600s);
    node.advance();
    CHECK(node.queued.contains(second));
    node.finish(first, RunOutcome::Cancelled);
    node.scheduler.onFinished(first, RunOutcome::Completed, node.now);
    node.advance();
    CHECK(node.running.contains(second));
}

// Failure: a request that finished before its cancellation was handed out is answered twice.
TEST(Scheduler, FinishBeforeCancellationIsHandedOutWins)
{
    Node node { Setup { .targets = 1 } };
    auto request = node.submitNew(0, Tier::Batch, 10s, 20s);
    node.advance();
    node.scheduler.abandon(request, node.now);
    node.finish(request);
    node.advance(); // checks that no action names a finished request
    CHECK(!node.answers.at(request));
}

// Failure: short questions wait behind dossiers 100 times longer that fill all slots and the queue.
TEST(Scheduler, ShortQuestionsRunBesideDossiers)
{
    Node node { Setup {} };
    for (int i = 0; i < 60; ++i)
        node.submitNew(0, Tier::Standard, 30s, 600s);
    node.advance();
    for (int i = 0; i < 40; ++i) {
        node.run(200ms);
        auto question = node.submitNew(i % 2, Tier::Standard, 300ms, 3s);
        node.run(1s);
        CHECK(node.answers.contains(question) && !node.answers.at(question));
    }
}

// Failure: a dossier starves while short questions and other dossiers keep coming.
TEST(Scheduler, DossierDoesNotStarve)
{
    Node node { Setup { .targets = 1 } };
    for (int i = 0; i < 40; ++i)
        node.submitNew(0, Tier::Standard, 1s, 600s);
    auto dossier = node.submitNew(0, Tier::Standard, 20s, 600s);
    for (int i = 0; i < 2000 && node.queued.contains(dossier); ++i) {
        node.submitNew(0, Tier::Standard, 1s, 600s);
        node.run(200ms);
    }
    CHECK(node.running.contains(dossier) || node.answers.contains(dossier));
    // Overtaken by the questions that arrive within 19 s / ageing 0.5, of which 4 slots serve 4 a second.
    CHECK(node.now - start < 60s);
}

// Failure: engine time in a saturated tier is not shared by weight when the workspaces' requests differ in length.
TEST(Scheduler, EngineTimeFollowsTheWeights)
{
    Setup setup;
    setup.workspaces.push_back({ .name = "inspectors", .token = "", .tiers = {} });
    const std::vector<double> weights { 1, 2, 5 };
    for (size_t w = 0; w < weights.size(); ++w)
        setup.workspaces[w].tiers[raw(Tier::Standard)].weight = weights[w];
    Node node { setup };
    const std::vector<Duration> costs { 4s, 3s, 8s };
    for (int i = 0; i < 3000; ++i) {
        for (uint32_t w = 0; w < weights.size(); ++w) {
            while (std::count_if(node.queued.begin(), node.queued.end(), [&](auto& q) { return raw(q.second.workspace) == w; }) < 20)
                node.submitNew(w, Tier::Standard, costs[w], 1h);
        }
        node.run(200ms, 100ms);
    }
    double total = node.used[0] + node.used[1] + node.used[2];
    for (uint32_t w = 0; w < weights.size(); ++w)
        DOUBLES_EQUAL(weights[w] / 8, node.used[w] / total, 0.1 * weights[w] / 8);
}

// Failure: a workspace whose requests take longer than estimated gets more than its share.
TEST(Scheduler, SharesFollowTheActualEngineTime)
{
    Node node { Setup {} };
    node.slowdown = { { 1, 3.0 } };
    for (int i = 0; i < 3000; ++i) {
        for (uint32_t w = 0; w < 2; ++w) {
            while (std::count_if(node.queued.begin(), node.queued.end(), [&](auto& q) { return raw(q.second.workspace) == w; }) < 20)
                node.submitNew(w, Tier::Standard, 3s, 1h);
        }
        node.run(200ms, 100ms);
    }
    DOUBLES_EQUAL(0.5, node.used[0] / (node.used[0] + node.used[1]), 0.05);
}

// Failure: a resumed stream waits for a slot although its target holds the work already, or moves to another target.
TEST(Scheduler, ResumedStreamContinuesWhereItRan)
{
    Node node { Setup { .targets = 2 } };
    for (int i = 0; i < 20; ++i)
        node.submitNew(0, Tier::Urgent, 30s, 600s);
    node.advance();
    auto resumed = node.spec(0, Tier::Batch, 10s, 600s);
    resumed.onlyTarget = TargetId { 1 };
    node.submit(resumed);
    node.advance();
    CHECK(node.running.contains(resumed.id) && node.running.at(resumed.id).target == TargetId { 1 });
}

// Failure: after some sequence of events a request is lost, answered twice, kept past its deadline, or run above a limit, or a higher
// tier is refused while lower-tier work that could be displaced runs.
TEST(Scheduler, RandomEventsKeepTheRules)
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        Setup setup { .targets = 1 + static_cast<uint32_t>(seed % 5), .window = 1 + static_cast<uint32_t>(seed % 6), .models = 1 };
        setup.scheduler.queue.maxPerModel = seed % 3 == 0 ? 12 : 1000;
        setup.workspaces[0].tiers.fill({ .weight = 2, .running = 3, .queued = 10 });
        setup.workspaces[1].tiers.fill({ .engineSecondsPerSecond = 4, .burstEngineSeconds = 10 });
        setup.workspaces.push_back({ .name = "inspectors", .token = "", .tiers = {} });
        Node node { setup, seed };
        auto& random = node.random;
        size_t submitted = 0;
        size_t abandoned = 0;
        for (int step = 0; step < 4000; ++step) {
            auto chance = random() % 100;
            if (chance < 55) {
                auto cost = Duration(50'000 * (1 + random() % (random() % 8 == 0 ? 400 : 20)));
                auto request = node.spec(random() % 3, static_cast<Tier>(random() % 3), cost, cost + Duration(random() % 20'000'000));
                request.idempotent = random() % 6 != 0;
                node.submit(request);
                ++submitted;
            } else if (chance < 80 && !node.running.empty()) {
                const RunOutcome outcomes[] = { RunOutcome::Completed, RunOutcome::Completed, RunOutcome::Completed, RunOutcome::TimedOut,
                    RunOutcome::FailedByTarget, RunOutcome::ConnectionLost };
                node.finish(std::next(node.running.begin(), random() % node.running.size())->first, outcomes[random() % 6]);
            } else if (chance < 84 && !node.queued.empty()) {
                auto id = std::next(node.queued.begin(), random() % node.queued.size())->first;
                node.advance();
                if (node.queued.erase(id) > 0) {
                    node.scheduler.abandon(id, node.now);
                    ++abandoned;
                }
            } else if (chance < 85) {
                node.targets.onHealthCheck(TargetId { static_cast<uint32_t>(random() % setup.targets) }, random() % 2 == 0, node.now);
            } else if (chance < 86) {
                node.scheduler.applyTable(node.index, node.now);
            } else {
                node.now += Duration(random() % 500'000);
            }
            if (random() % 4 == 0 && !node.cancelling.empty())
                node.finish(node.cancelling.begin()->first, RunOutcome::Cancelled);
            node.advance();
            for (const auto& [id, request] : node.queued)
                CHECK(request.deadline >= node.now);
            std::array<std::array<uint32_t, tierCount>, 3> running {};
            for (const auto* group : { &node.running, &node.cancelling }) {
                for (const auto& [id, run] : *group)
                    ++running[raw(run.spec.workspace)][raw(run.spec.tier)];
            }
            for (size_t t = 0; t < tierCount; ++t)
                CHECK(running[0][t] <= 3);
            auto stats = node.scheduler.stats();
            LONGS_EQUAL(node.queued.size(), stats.queued[0] + stats.queued[1] + stats.queued[2]);
            LONGS_EQUAL(node.running.size(), stats.running[0] + stats.running[1] + stats.running[2]);
            LONGS_EQUAL(0, stats.tierInversions);
            auto wake = node.scheduler.nextWake(node.now);
            CHECK(node.queued.empty() || (wake && *wake <= node.now + 1s));
        }
        while (!node.running.empty())
            node.finish(node.running.begin()->first);
        node.now += 1h;
        node.advance();
        CHECK(node.queued.empty());
        LONGS_EQUAL(submitted, node.answers.size() + abandoned);
        for (const auto& [id, times] : node.dispatched)
            LONGS_EQUAL(1, times);
    }
}
