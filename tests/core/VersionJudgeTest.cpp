// Guards P3: a bad version is found within its stated error rate, and a good one is not rolled back. Every kind of move is simulated
// hundreds of times from a seed, with requests of both versions over the same time.
#include "core/VersionJudge.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <functional>
#include <random>

using namespace guavapond;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

struct Behaviour {
    double failureRate = 0.01;
    double slowdown = 1;
};

// One request of a simulated move: what a version does depends on its position, its route and the load at that time.
struct Call {
    bool isNew = false;
    bool isChat = true;
    double progress = 0; // 0..1 through the move
    double load = 0;     // 0..1
};

constexpr double usualShare = 0.1;

struct World {
    std::string name;
    std::function<Behaviour(const Call&)> behave;
    size_t calls = 20000;
    double newShare = usualShare;
    double chatShare = 0.7;
    double spread = 0.5; // of the logarithm of latencies
};

VersionSample sampleOf(const Call& call, const Behaviour& behaviour, double spread, std::mt19937_64& random)
{
    std::lognormal_distribution<double> noise(0, spread);
    auto promptTokens = std::uniform_int_distribution<uint32_t>(50, 8000)(random);
    double slow = behaviour.slowdown * (1 + call.load) * (call.isChat ? 1 : 1.4);
    VersionSample sample { .side = call.isNew ? VersionSide::New : VersionSide::Old, .route = call.isChat ? "chat" : "completion" };
    sample.promptTokens = promptTokens;
    if (std::bernoulli_distribution(behaviour.failureRate)(random)) {
        sample.failure = FailureKind::TargetFailed;
        return sample;
    }
    sample.firstToken = fromSeconds(slow * (0.05 + promptTokens / 10000.0) * noise(random));
    sample.timePerToken = fromSeconds(slow * 0.02 * noise(random));
    return sample;
}

VersionVerdict judgeMove(const World& world, uint64_t seed)
{
    std::mt19937_64 random(seed);
    VersionJudge judge { JudgeSettings {} };
    TimePoint now = start;
    for (size_t i = 0; i < world.calls; ++i) {
        now += 20ms;
        Call call;
        call.isNew = std::bernoulli_distribution(world.newShare)(random);
        call.isChat = std::bernoulli_distribution(world.chatShare)(random);
        call.progress = static_cast<double>(i) / static_cast<double>(world.calls);
        call.load = i / 2000 % 2 == 1 ? 1 : 0; // alternates between idle and busy every 40 s
        judge.add(sampleOf(call, world.behave(call), world.spread, random), now);
        if (judge.verdict().kind == VerdictKind::Bad)
            break;
    }
    return judge.verdict();
}

constexpr size_t moves = 200;

struct Counts {
    size_t good = 0;
    size_t bad = 0;
};

Counts judgeMoves(const World& world)
{
    Counts counts;
    for (uint64_t seed = 1; seed <= moves; ++seed) {
        VerdictKind kind = judgeMove(world, seed).kind;
        counts.good += kind == VerdictKind::Good ? 1 : 0;
        counts.bad += kind == VerdictKind::Bad ? 1 : 0;
    }
    printf("\n%s: %zu good, %zu bad of %zu", world.name.c_str(), counts.good, counts.bad, moves);
    return counts;
}

constexpr size_t mostErrors = moves / 100; // the stated 1 %

} // namespace

TEST_GROUP(VersionJudge) {};

// Failure: a version that is as good as the old one is rolled back, or never accepted, by chance, load or a fault that hits both.
TEST(VersionJudge, GoodVersionsAreAccepted)
{
    // The test of failures needs more requests the more both versions fail.
    constexpr size_t longer = 20000;
    constexpr size_t longest = 50000;
    constexpr double largerShare = 0.2;
    const World kinds[] = {
        { "good", [](const Call&) { return Behaviour {}; }, longer, largerShare },
        { "good without failures",
            [](const Call&) {
                return Behaviour { 0, 1 };
            } },
        { "good with many failures",
            [](const Call&) {
                return Behaviour { 0.05, 1 };
            },
            longest, largerShare },
        { "both fail under load",
            [](const Call& call) {
                return Behaviour { call.load > 0 ? 0.06 : 0.005, 1 };
            },
            longer, largerShare },
        { "faster",
            [](const Call& call) {
                return Behaviour { 0.01, call.isNew ? 0.8 : 1 };
            },
            longer, largerShare },
        { "little traffic on a route", [](const Call&) { return Behaviour {}; }, longer, largerShare, 0.995 },
        { "wide spread", [](const Call&) { return Behaviour {}; }, longer, largerShare, 0.7, 0.7 },
    };
    for (const World& world : kinds) {
        Counts counts = judgeMoves(world);
        CHECK_TEXT(counts.bad <= mostErrors, world.name.c_str());
        CHECK_TEXT(counts.good >= moves - mostErrors, world.name.c_str());
    }
}

// Failure: a bad version stays in use because it is bad only later, under load, on one route, or slow without failing.
TEST(VersionJudge, BadVersionsAreFound)
{
    const World kinds[] = {
        { "bad at once",
            [](const Call& call) {
                return Behaviour { call.isNew ? 0.5 : 0.01, 1 };
            } },
        { "slightly bad",
            [](const Call& call) {
                return Behaviour { call.isNew ? 0.04 : 0.01, 1 };
            } },
        { "bad later",
            [](const Call& call) {
                return Behaviour { call.isNew && call.progress > 0.6 ? 0.2 : 0.01, 1 };
            } },
        { "bad under load",
            [](const Call& call) {
                return Behaviour { call.isNew && call.load > 0 ? 0.15 : 0.01, 1 };
            } },
        { "bad on one route",
            [](const Call& call) {
                return Behaviour { call.isNew && !call.isChat ? 0.2 : 0.01, 1 };
            } },
        { "bad on a rare route",
            [](const Call& call) {
                return Behaviour { call.isNew && !call.isChat ? 0.5 : 0.01, 1 };
            },
            20000, usualShare, 0.95 },
        { "slow only",
            [](const Call& call) {
                return Behaviour { 0.01, call.isNew ? 1.5 : 1 };
            } },
        { "slow under load",
            [](const Call& call) {
                return Behaviour { 0.01, call.isNew && call.load > 0 ? 2.5 : 1 };
            } },
        { "slow on one route",
            [](const Call& call) {
                return Behaviour { 0.01, call.isNew && !call.isChat ? 2.0 : 1.0 };
            } },
    };
    for (const World& world : kinds)
        CHECK_TEXT(judgeMoves(world).bad >= moves - mostErrors, world.name.c_str());
}

// Failure: a version that fails every call is found only after many calls.
TEST(VersionJudge, TotalFailureIsFoundAfterFewRequests)
{
    VersionJudge judge { JudgeSettings {} };
    for (int i = 0; i < 200; ++i)
        judge.add({ .side = VersionSide::Old, .route = "chat" }, start);
    for (int i = 0; i < 4; ++i)
        judge.add({ .side = VersionSide::New, .route = "chat", .failure = FailureKind::TargetFailed }, start);
    CHECK(judge.verdict().kind == VerdictKind::Bad);
    CHECK(judge.verdict().reason == BadReason::Failures);
    STRCMP_EQUAL("chat", judge.verdict().route.c_str());
    for (int i = 0; i < 20000; ++i)
        judge.add({ .side = VersionSide::New, .route = "chat" }, start);
    CHECK(judge.verdict().kind == VerdictKind::Bad); // final
}

// Failure: callers' own mistakes, cancellations and load shedding roll a good version back.
TEST(VersionJudge, FaultsOfRequestsDoNotCount)
{
    VersionJudge judge { JudgeSettings {} };
    for (int i = 0; i < 200; ++i)
        judge.add({ .side = VersionSide::Old, .route = "chat" }, start);
    for (int i = 0; i < 5000; ++i) {
        for (auto kind : { FailureKind::CallerGone, FailureKind::Shed, FailureKind::BadRequest, FailureKind::LimitReached })
            judge.add({ .side = VersionSide::New, .route = "chat", .failure = kind }, start);
        judge.add({ .side = VersionSide::New, .route = "chat", .failure = FailureKind::TargetFailed, .faultOfRequest = true }, start);
    }
    CHECK(judge.verdict().kind == VerdictKind::Undecided);
    LONGS_EQUAL(0, judge.newSamples());
}

// Failure: a version that is judged while the old one has no traffic is compared with nothing.
TEST(VersionJudge, NothingIsDecidedWithoutTheOldVersion)
{
    VersionJudge judge { JudgeSettings {} };
    for (int i = 0; i < 1000; ++i)
        judge.add({ .side = VersionSide::New, .route = "chat", .failure = FailureKind::TargetFailed }, start);
    CHECK(judge.verdict().kind == VerdictKind::Undecided);
}
