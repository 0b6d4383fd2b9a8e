// Tests of windows, health, load reports and the free lists of targets.
#include "Fleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::test;

namespace {

constexpr TargetId first { 0 };
constexpr TargetId second { 1 };

// Keeps one request running on each target that accepts one, until `end`; the speeds are by target. Events come in order of time.
TimePoint runAll(Fleet& fleet, TimePoint start, TimePoint end, const std::vector<Duration>& perToken)
{
    constexpr uint32_t tokens = 20;
    struct Engine {
        TimePoint next;
        std::optional<RequestId> running;
        uint32_t sent = 0;
    };
    std::vector<Engine> engineStates(perToken.size(), Engine { start, {}, 0 });
    while (true) {
        auto soonest
            = std::min_element(engineStates.begin(), engineStates.end(), [](const Engine& a, const Engine& b) { return a.next < b.next; });
        Engine& engine = *soonest;
        auto index = static_cast<size_t>(soonest - engineStates.begin());
        TargetId target { static_cast<uint32_t>(index) };
        TimePoint now = engine.next;
        if (now >= end && std::none_of(engineStates.begin(), engineStates.end(), [](const Engine& e) { return e.running.has_value(); }))
            return now;
        fleet.targets.refresh(now);
        engine.next = now + perToken[index];
        if (!engine.running) {
            if (now < end && fleet.targets.accepts(target, true, now)) {
                engine.running = fleet.dispatch(target, now);
                engine.sent = 0;
                engine.next = now + perToken[index] * 5;
            }
        } else if (engine.sent++ == 0) {
            fleet.targets.onFirstToken(*engine.running, now);
        } else {
            fleet.targets.onTokens(*engine.running, 1, now);
            if (engine.sent == tokens) {
                fleet.targets.onFinished(*engine.running, RunOutcome::Completed, now);
                engine.running.reset();
            }
        }
    }
}

uint32_t windowOf(Fleet& fleet, TargetId target, TimePoint now) { return fleet.targets.view(target, now).window; }

// An engine whose token time grows with what runs on it; a virtual-time loop keeps its window full of requests of 50 tokens.
double settledWindow(double baseMs, double perRequestMs, uint32_t maxRunning)
{
    auto rows = engines(1);
    rows[0].maxRunning = maxRunning;
    Fleet fleet(rows);
    struct Stream {
        RequestId id;
        uint32_t tokens;
    };
    std::vector<Stream> streams;
    TimePoint now = at(0s);
    double sum = 0;
    int samples = 0;
    while (now < at(300s)) {
        while (fleet.targets.accepts(first, true, now))
            streams.push_back({ fleet.dispatch(first, now), 0 });
        now += fromSeconds((baseMs + perRequestMs * static_cast<double>(streams.size())) / 1000);
        for (Stream& stream : streams) {
            fleet.targets.onTokens(stream.id, 1, now);
            if (++stream.tokens == 50)
                fleet.targets.onFinished(stream.id, RunOutcome::Completed, now);
        }
        std::erase_if(streams, [](const Stream& stream) { return stream.tokens == 50; });
        if (now > at(100s)) {
            sum += fleet.targets.view(first, now).window;
            ++samples;
        }
    }
    return sum / samples;
}

} // namespace

TEST_GROUP(TargetSet) {};

// ---- Windows

// Guards against a fixed window: fast engines left idle, slow ones overfilled.
TEST(TargetSet, WindowsConvergeForUnlikeEngines)
{
    struct Case {
        double baseMs;
        double perRequestMs;
        uint32_t maxRunning;
        double least;
        double most;
    };
    // The goal of 44 ms allows (44 - base) / perRequest requests; the decrease swings the window below that.
    for (Case c : { Case { 10, 1, 64, 22, 36 }, Case { 20, 4, 64, 3.5, 7 }, Case { 5, 0.1, 64, 60, 64 }, Case { 10, 1, 8, 8, 8 } }) {
        double window = settledWindow(c.baseMs, c.perRequestMs, c.maxRunning);
        CHECK_TEXT(window >= c.least && window <= c.most, std::to_string(window).c_str());
    }
}

// Guards against an old hardware generation that is squeezed to one request although a smaller window does not make it faster.
TEST(TargetSet, EngineSlowerThanTheGoalKeepsAWindow) { CHECK(settledWindow(60, 0.5, 32) >= 8); }

// Guards against a long dossier in every slot while short questions wait.
TEST(TargetSet, PartOfTheWindowIsKeptForShortWork)
{
    Fleet fleet(engines(1));
    for (int i = 0; i < 3; ++i) {
        CHECK(fleet.targets.accepts(first, false, at(0s)));
        fleet.dispatch(first, at(0s), 60s);
    }
    CHECK(!fleet.targets.accepts(first, false, at(0s)));
    CHECK(fleet.targets.accepts(first, true, at(0s)));
    RequestId question = fleet.dispatch(first, at(0s), 1s);
    CHECK(!fleet.targets.accepts(first, true, at(0s)));
    fleet.targets.onFinished(question, RunOutcome::Completed, at(1s));
    CHECK(!fleet.targets.accepts(first, false, at(1s)));
    CHECK(fleet.targets.accepts(first, true, at(1s)));
}

// Guards against a router that compares a fast and a slow engine as equals.
TEST(TargetSet, LearnsRatesOfUnlikeTargets)
{
    Fleet fleet(engines(2));
    TimePoint now = at(0s);
    for (int i = 0; i < 20; ++i) {
        RequestId fast = fleet.dispatch(first, now, 1s, 4000);
        RequestId slow = fleet.dispatch(second, now, 1s, 4000);
        fleet.stream(fast, now + 400ms, 10ms, 20);
        fleet.stream(slow, now + 800ms, 25ms, 20);
        now += 2s;
    }
    DOUBLES_EQUAL(10000, fleet.targets.rates(first).prefillTokensPerSecond, 100);
    DOUBLES_EQUAL(5000, fleet.targets.rates(second).prefillTokensPerSecond, 100);
    DOUBLES_EQUAL(100, fleet.targets.rates(first).decodeTokensPerSecond, 1);
    DOUBLES_EQUAL(40, fleet.targets.rates(second).decodeTokensPerSecond, 1);
}

// ---- Load reports

// Guards against a load report that empties or fills a target after it is out of date.
TEST(TargetSet, LoadReports)
{
    struct Case {
        const char* name;
        uint32_t own; // running from this node
        uint32_t reported;
        Duration age;    // at arrival
        Duration waited; // after arrival
        bool accepts;
    };
    const std::vector<Case> cases {
        { "own requests are not counted twice", 2, 2, 0s, 0s, true },
        { "fresh load of others fills", 2, 20, 0s, 0s, false },
        { "load fades", 2, 20, 0s, 5s, true },
        { "load that was old at arrival counts little", 2, 20, 5s, 0s, true },
        { "an empty report frees no slot that this node uses", 4, 0, 0s, 0s, false },
        { "a node without a request there may send one", 0, 500, 0s, 0s, true },
        { "a report from the future counts as fresh", 2, 20, -60s, 0s, false },
    };
    for (const Case& c : cases) {
        Fleet fleet(engines(1));
        for (uint32_t i = 0; i < c.own; ++i)
            fleet.dispatch(first, at(10s));
        fleet.targets.onLoadReport(first, c.reported, 0, c.age, at(10s));
        CHECK_EQUAL_TEXT(c.accepts, fleet.targets.accepts(first, true, at(10s) + c.waited), c.name);
    }
}

// Guards against this node's own requests that ended after the report was taken and are then counted as others' load.
TEST(TargetSet, OwnRequestsThatEndedSinceAreNotForeignLoad)
{
    Fleet fleet(engines(1));
    std::vector<RequestId> running;
    running.reserve(4);
    for (int i = 0; i < 4; ++i)
        running.push_back(fleet.dispatch(first, at(0s)));
    for (size_t i = 0; i < 3; ++i)
        fleet.targets.onFinished(running[i], RunOutcome::Completed, at(1s));
    fleet.targets.onLoadReport(first, 4, 0, 100ms, at(1s) + 50ms);
    CHECK(fleet.targets.view(first, at(1s) + 50ms).foreignRunning < 1);
}

// Guards against a slot that opens with time alone and is never noticed by the lists that a pick reads.
TEST(TargetSet, FadedLoadReopensTheFreeList)
{
    Fleet fleet(engines(1));
    fleet.dispatch(first, at(0s));
    fleet.targets.onLoadReport(first, 40, 0, 0s, at(0s));
    CHECK(fleet.targets.versionsOf(ModelId { 0 })[0].freeShort[0].empty());
    CHECK(!fleet.router.pick(fleet.request(), at(1s)));
    TimePoint now = at(0s);
    while (fleet.targets.versionsOf(ModelId { 0 })[0].freeLong[0].empty() && now < at(60s)) {
        auto change = fleet.targets.nextChange();
        CHECK(change && *change > now);
        now = *change;
        fleet.targets.refresh(now);
    }
    CHECK(now < at(5s));
    CHECK(fleet.router.pick(fleet.request(), now).has_value());
}

// ---- Health

// Guards against a straggler that keeps getting work, and against one that is never taken back.
TEST(TargetSet, StragglerGetsLessThenNothingAndIsProbedBack)
{
    Fleet fleet(engines(5));
    TimePoint now = runAll(fleet, at(0s), at(5s), { 10ms, 12ms, 14ms, 10ms, 12ms });
    CHECK(fleet.health(first, now) == TargetHealth::Healthy);

    now = runAll(fleet, now, now + 3s, { 45ms, 12ms, 14ms, 10ms, 12ms });
    CHECK(fleet.health(first, now) == TargetHealth::Suspect);
    CHECK(windowOf(fleet, first, now) <= 4);
    CHECK(windowOf(fleet, first, now) >= 1);

    while (fleet.health(first, now) != TargetHealth::Ejected && now < at(30s))
        now = runAll(fleet, now, now + 100ms, { 200ms, 12ms, 14ms, 10ms, 12ms });
    CHECK(fleet.health(first, now) == TargetHealth::Ejected);
    CHECK(!fleet.targets.accepts(first, true, now));
    CHECK(fleet.targets.dueHealthChecks(now).empty());

    CHECK(fleet.targets.nextChange() && *fleet.targets.nextChange() <= now + 30s);
    now = std::max(now, *fleet.targets.nextChange());
    fleet.targets.refresh(now);
    CHECK(fleet.health(first, now) == TargetHealth::Probing);
    RequestId probe = fleet.dispatch(first, now);
    CHECK(!fleet.targets.accepts(first, true, now));
    fleet.stream(probe, now + 50ms, 10ms, 20);
    now = runAll(fleet, now + 1s, now + 3s, { 10ms, 12ms, 14ms, 10ms, 12ms });
    CHECK(fleet.health(first, now) == TargetHealth::Healthy);
}

// Guards against a target that alternates between two states at the edge of the ratio.
TEST(TargetSet, SuspicionHasHysteresis)
{
    Fleet fleet(engines(5));
    TimePoint now = runAll(fleet, at(0s), at(5s), { 35ms, 10ms, 10ms, 10ms, 10ms });
    CHECK(fleet.health(first, now) == TargetHealth::Suspect);
    now = runAll(fleet, now, now + 10s, { 25ms, 10ms, 10ms, 10ms, 10ms });
    CHECK(fleet.health(first, now) == TargetHealth::Suspect);
    now = runAll(fleet, now, now + 10s, { 15ms, 10ms, 10ms, 10ms, 10ms });
    CHECK(fleet.health(first, now) == TargetHealth::Healthy);
    now = runAll(fleet, now, now + 10s, { 25ms, 10ms, 10ms, 10ms, 10ms });
    CHECK(fleet.health(first, now) == TargetHealth::Healthy);
}

// Guards against the ejection of healthy targets when all of them become slow together, or when there is no peer.
TEST(TargetSet, CommonSlownessEjectsNobody)
{
    for (uint32_t count : { 1U, 2U, 5U }) {
        Fleet fleet(engines(count));
        TimePoint now = runAll(fleet, at(0s), at(5s), std::vector<Duration>(count, 10ms));
        now = runAll(fleet, now, now + 20s, std::vector<Duration>(count, 300ms));
        for (uint32_t i = 0; i < count; ++i)
            CHECK(fleet.health(TargetId { i }, now) == TargetHealth::Healthy);
    }
}

// Guards against ejection by sporadic failures, by lost connections to a healthy target or by cancellations, and against sending on to a
// target that failed.
TEST(TargetSet, FailuresAndEjection)
{
    enum class Step {
        Fail,
        Lose,
        TimeOut,
        Cancel,
        Complete,
        CheckGood,
        CheckBad,
    };
    using enum Step;
    struct Case {
        const char* name;
        std::vector<Step> steps;
        bool ejected;
    };
    const std::vector<Case> cases {
        { "consecutive failures", { Fail, Fail, Fail }, true },
        { "a success between failures", { Fail, Fail, Complete, Fail, Fail }, false },
        { "cancelled runs are neutral", { Cancel, Cancel, Cancel, Cancel }, false },
        { "lost connections alone", { Lose, Lose, Lose, Lose, Lose }, false },
        { "lost connections, target answers", { Lose, Lose, Lose, CheckGood, Lose, CheckGood }, false },
        { "lost connection, fresh check fails", { Lose, CheckBad }, true },
        { "silence alone", { TimeOut, TimeOut, TimeOut, TimeOut }, false },
        { "silence, fresh check fails", { TimeOut, CheckBad }, true },
        { "answers checks, but no requests", { TimeOut, CheckGood, TimeOut, CheckGood, TimeOut, CheckGood }, true },
        { "one failed check without a failed request", { CheckBad }, false },
        { "failed checks in sequence", { CheckBad, CheckBad, CheckBad }, true },
    };
    for (const Case& c : cases) {
        Fleet fleet(engines(3));
        TimePoint now = at(0s);
        for (Step step : c.steps) {
            now += 10s;
            if (step == CheckGood || step == CheckBad) {
                fleet.targets.onHealthCheck(first, step == CheckGood, now);
                continue;
            }
            RunOutcome outcome = step == Fail ? RunOutcome::FailedByTarget
                : step == Lose                ? RunOutcome::ConnectionLost
                : step == TimeOut             ? RunOutcome::TimedOut
                : step == Cancel              ? RunOutcome::Cancelled
                                              : RunOutcome::Completed;
            fleet.targets.onFinished(fleet.dispatch(first, now), outcome, now + 1s);
            bool asksForCheck = !fleet.targets.dueHealthChecks(now + 1s).empty();
            CHECK_EQUAL_TEXT(step == Lose || step == TimeOut, asksForCheck, c.name);
        }
        CHECK_EQUAL_TEXT(c.ejected, fleet.health(first, now) == TargetHealth::Ejected, c.name);
        CHECK_EQUAL_TEXT(!c.ejected, fleet.targets.accepts(first, true, now), c.name);
    }
}

// Guards against a flapping target that takes a request down each time it is readmitted: the pause between probes has to grow.
TEST(TargetSet, FlappingTargetIsProbedAtDoublingIntervals)
{
    Fleet fleet(engines(3));
    TimePoint now = at(0s);
    for (int i = 0; i < 3; ++i)
        fleet.targets.onFinished(fleet.dispatch(first, now), RunOutcome::FailedByTarget, now);
    std::vector<Duration> pauses;
    TimePoint ejected = now;
    for (int round = 0; round < 8; ++round) {
        while (fleet.targets.dueHealthChecks(now).empty())
            now += 10ms;
        pauses.push_back(now - ejected);
        fleet.targets.onHealthCheck(first, true, now);
        CHECK(fleet.health(first, now) == TargetHealth::Probing);
        LONGS_EQUAL(1, windowOf(fleet, first, now));
        fleet.targets.onFinished(fleet.dispatch(first, now), RunOutcome::FailedByTarget, now);
        CHECK(fleet.health(first, now) == TargetHealth::Ejected);
        ejected = now;
    }
    for (size_t i = 1; i < pauses.size(); ++i)
        CHECK(pauses[i] >= pauses[i - 1]);
    CHECK(pauses.front() <= 1100ms);
    CHECK(pauses.back() >= 25s && pauses.back() <= 31s);
}

// Guards against checks of a dead target that are sent without a pause.
TEST(TargetSet, FailedChecksBackOff)
{
    Fleet fleet(engines(1));
    for (int i = 0; i < 3; ++i)
        fleet.targets.onFinished(fleet.dispatch(first, at(0s)), RunOutcome::FailedByTarget, at(0s));
    int checks = 0;
    for (TimePoint now = at(0s); now < at(120s); now += 10ms) {
        for (TargetId target : fleet.targets.dueHealthChecks(now)) {
            ++checks;
            fleet.targets.onHealthCheck(target, false, now);
        }
    }
    CHECK(checks >= 5 && checks <= 9);
}

// ---- Leaving

// Guards against work sent to a target that is on its way out, and against the loss of what still runs there.
TEST(TargetSet, DrainingLeavingAndRemovedTargetsAcceptNothing)
{
    for (int way = 0; way < 3; ++way) {
        Fleet fleet(engines(2));
        RequestId running = fleet.dispatch(first, at(0s));
        if (way == 0)
            fleet.table.targets[0].state = TargetState::Draining;
        else if (way == 1)
            fleet.targets.setLeaving(first, true, at(1s));
        else
            fleet.table.targets.erase(fleet.table.targets.begin());
        fleet.apply(at(1s));
        CHECK(!fleet.targets.accepts(first, true, at(1s)));
        CHECK(fleet.targets.view(first, at(1s)).draining);
        LONGS_EQUAL(4, fleet.router.capacity(ModelId { 0 }, at(1s)));
        for (int i = 0; i < 4; ++i) {
            auto choice = fleet.router.pick(fleet.request(), at(1s));
            CHECK(choice && choice->target == second);
            fleet.dispatch(second, at(1s));
        }
        CHECK(!fleet.router.pick(fleet.request(), at(1s)));
        CHECK(fleet.targets.targetOf(running) == first);
        CHECK_EQUAL(way != 2, fleet.targets.acceptsResume(first));
        fleet.stream(running, at(2s), 10ms, 20);
        LONGS_EQUAL(0, fleet.targets.view(first, at(3s)).running);
        CHECK(!fleet.targets.accepts(first, true, at(3s)));
    }
}

// Guards against a leaving mark that outlives its target's return, and against a target lost after its row came back.
TEST(TargetSet, ReturnedTargetIsUsedAgain)
{
    Fleet fleet(engines(2));
    fleet.targets.setLeaving(first, true, at(0s));
    Table full = fleet.table;
    fleet.table.targets.erase(fleet.table.targets.begin());
    fleet.apply(at(1s));
    LONGS_EQUAL(1, fleet.targets.size());
    fleet.table = full;
    fleet.apply(at(2s));
    LONGS_EQUAL(2, fleet.targets.size());
    CHECK(fleet.targets.accepts(*fleet.index.target("runner-0"), true, at(2s)));
}

// Guards against speeds, windows and cached prefixes of a process that was replaced.
TEST(TargetSet, RestartedTargetRelearns)
{
    for (int way = 0; way < 3; ++way) {
        Fleet fleet(engines(2));
        const std::vector<uint64_t> chain { 1, 2, 3 };
        fleet.prefixes.onDispatched(first, chain, at(0s));
        TimePoint now = runAll(fleet, at(0s), at(20s), { 5ms, 5ms });
        DOUBLES_EQUAL(200, fleet.targets.rates(first).decodeTokensPerSecond, 1);
        if (way == 0) {
            fleet.targets.onRestarted(first, now);
        } else {
            (way == 1 ? fleet.table.targets[0].address : fleet.table.targets[0].version) = "other";
            fleet.apply(now);
        }
        DOUBLES_EQUAL(TokenRates {}.decodeTokensPerSecond, fleet.targets.rates(first).decodeTokensPerSecond, 0.1);
        LONGS_EQUAL(4, windowOf(fleet, first, now));
        LONGS_EQUAL(0, fleet.prefixes.cachedTokens(first, chain, now));
        DOUBLES_EQUAL(200, fleet.targets.rates(second).decodeTokensPerSecond, 1);
        fleet.run(first, now, 50ms, 20ms);
        DOUBLES_EQUAL(50, fleet.targets.rates(first).decodeTokensPerSecond, 1);
    }
}

// Guards against a crash that comes back as a new process and is judged by the old one's cache and window.
TEST(TargetSet, TargetThatCameBackAfterACrashHasAnEmptyCache)
{
    Fleet fleet(engines(2));
    const std::vector<uint64_t> chain { 1, 2, 3 };
    fleet.prefixes.onDispatched(first, chain, at(0s));
    fleet.targets.onFinished(fleet.dispatch(first, at(0s)), RunOutcome::ConnectionLost, at(1s));
    fleet.targets.onHealthCheck(first, false, at(1s));
    fleet.targets.onHealthCheck(first, true, at(5s));
    CHECK(fleet.health(first, at(5s)) == TargetHealth::Probing);
    LONGS_EQUAL(0, fleet.prefixes.cachedTokens(first, chain, at(5s)));
}

// Guards against observations that arrive for requests no longer known, or in an unexpected order.
TEST(TargetSet, UnknownRequestsAreIgnored)
{
    Fleet fleet(engines(1));
    fleet.targets.onFirstToken(RequestId { 99 }, at(0s));
    fleet.targets.onTokens(RequestId { 99 }, 1, at(0s));
    fleet.targets.onFinished(RequestId { 99 }, RunOutcome::Completed, at(0s));
    RequestId id = fleet.dispatch(first, at(0s));
    fleet.targets.onTokens(id, 5, at(1s));
    fleet.targets.onFirstToken(id, at(1s));
    fleet.targets.onFinished(id, RunOutcome::Completed, at(2s));
    fleet.targets.onFinished(id, RunOutcome::Completed, at(2s));
    TargetView view = fleet.targets.view(first, at(2s));
    LONGS_EQUAL(0, view.running);
    LONGS_EQUAL(0, view.backlog.count());
    LONGS_EQUAL(0, view.pendingPrefill.count());
}

// Guards against a node that takes more of a target than its home granted, and against a share that outlives its home.
TEST(TargetSet, ShareCapsRunningUntilItExpires)
{
    Fleet fleet(engines(1));
    fleet.targets.setShare(first, 1, at(5s), at(0s));
    CHECK(fleet.targets.accepts(first, true, at(0s)));
    fleet.dispatch(first, at(0s));
    CHECK(!fleet.targets.accepts(first, true, at(1s)));
    fleet.targets.setShare(first, 2, at(8s), at(4s));
    CHECK(fleet.targets.accepts(first, true, at(4s)));
    fleet.targets.setShare(first, 0, at(9s), at(4s));
    fleet.targets.refresh(at(8s));
    CHECK(!fleet.targets.accepts(first, true, at(8s)));
    CHECK(fleet.targets.versionsOf(ModelId {})[0].isUsable());
    fleet.targets.refresh(at(9s));
    CHECK(fleet.targets.accepts(first, true, at(9s)));
}
