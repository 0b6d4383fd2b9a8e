// Tests of version shares, candidate choice and failure domains.
#include "Fleet.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::test;

TEST_GROUP(Router) {};

// Guards against a pick that overfills windows or leaves free slots unused.
TEST(Router, FillsEveryWindowAndThenSaysFull)
{
    Fleet fleet(engines(10));
    for (int i = 0; i < 40; ++i) {
        RequestSpec spec = fleet.request();
        auto choice = fleet.router.pick(spec, at(1s));
        CHECK(choice.has_value());
        fleet.targets.onDispatched(choice->target, spec, choice->cachedTokens, choice->engineTime, at(1s));
    }
    CHECK(!fleet.router.pick(fleet.request(), at(1s)));
    CHECK(fleet.router.estimate(fleet.request(), at(1s)).has_value());
    LONGS_EQUAL(40, fleet.router.capacity(ModelId { 0 }, at(1s)));
}

namespace {

constexpr TargetId first { 0 };
constexpr TargetId second { 1 };

void place(Fleet& fleet, const RequestSpec& spec, const Choice& choice, TimePoint now)
{
    fleet.targets.onDispatched(choice.target, spec, choice.cachedTokens, choice.engineTime, now);
}

// Runs `count` requests through the router, at most `concurrent` at a time; returns how many went to each version.
std::map<std::string, int> versionCounts(Fleet& fleet, int count, size_t concurrent)
{
    std::map<std::string, int> counts;
    std::vector<RequestId> running;
    TimePoint now = at(1s);
    int placed = 0;
    for (int attempt = 0; placed < count && attempt < count * 3; ++attempt) {
        now += 1ms;
        RequestSpec spec = fleet.request();
        auto choice = fleet.router.pick(spec, now);
        if (choice) {
            ++counts[fleet.index.row(choice->target)->version];
            ++placed;
            place(fleet, spec, *choice, now);
            running.push_back(spec.id);
        }
        if (running.size() >= concurrent || (!choice && !running.empty())) {
            size_t ended = fleet.generator() % running.size();
            fleet.targets.onFinished(running[ended], RunOutcome::Cancelled, now);
            running.erase(running.begin() + static_cast<ptrdiff_t>(ended));
        }
    }
    return counts;
}

std::vector<TargetRow> twoVersions(uint32_t oldCount, uint32_t newCount)
{
    auto rows = engines(oldCount + newCount);
    for (uint32_t i = oldCount; i < rows.size(); ++i)
        rows[i].version = "v2";
    return rows;
}

} // namespace

// ---- Versions

// Guards against a new version that gets more than its share, above all when it has more free slots than the old one.
TEST(Router, SharesHoldWhateverTheFreeSlots)
{
    struct Case {
        const char* name;
        uint32_t oldTargets;
        uint32_t newTargets;
        double newPercent;
        size_t concurrent;
    };
    const std::vector<Case> cases {
        { "plenty of slots", 4, 4, 5, 4 },
        { "old version full", 1, 10, 5, 44 },
        { "one percent", 4, 4, 1, 16 },
        { "even", 4, 4, 50, 8 },
        { "new version takes the larger part", 4, 4, 90, 8 },
    };
    for (const Case& c : cases) {
        Fleet fleet(
            twoVersions(c.oldTargets, c.newTargets), { { "dossier", "v1", 100 - c.newPercent }, { "dossier", "v2", c.newPercent } });
        auto counts = versionCounts(fleet, 10000, c.concurrent);
        LONGS_EQUAL_TEXT(10000, counts["v1"] + counts["v2"], c.name);
        DOUBLES_EQUAL_TEXT(c.newPercent * 100, counts["v2"], 30 + c.newPercent * 3, c.name);
    }
}

// Guards against a running move whose shares are ignored, or that outlive the next table.
TEST(Router, SharesOfAMoveReplaceTheTables)
{
    Fleet fleet(twoVersions(4, 4), { { "dossier", "v1", 100 } });
    const std::vector<ShareRow> moved { { "dossier", "v1", 90 }, { "dossier", "v2", 10 } };
    fleet.router.setShares(ModelId { 0 }, moved);
    DOUBLES_EQUAL(1000, versionCounts(fleet, 10000, 4)["v2"], 100);
    const std::vector<ShareRow> rolledBack { { "dossier", "v1", 100 }, { "dossier", "v2", 0 } };
    fleet.router.setShares(ModelId { 0 }, rolledBack);
    LONGS_EQUAL(0, versionCounts(fleet, 1000, 4)["v2"]);
    fleet.router.setShares(ModelId { 0 }, moved);
    fleet.apply(at(1s));
    LONGS_EQUAL(0, versionCounts(fleet, 1000, 4)["v2"]);
}

// Guards against a model that stalls because its small version is full while the large one has free slots.
TEST(Router, LargeVersionTakesWhatTheFullSmallOneCannot)
{
    Fleet fleet(twoVersions(10, 1), { { "dossier", "v1", 70 }, { "dossier", "v2", 30 } });
    for (int i = 0; i < 44; ++i) {
        RequestSpec spec = fleet.request();
        auto choice = fleet.router.pick(spec, at(1s));
        if (!choice)
            break;
        place(fleet, spec, *choice, at(1s));
    }
    LONGS_EQUAL(4, fleet.targets.view(TargetId { 10 }, at(1s)).running);
    for (uint32_t i = 0; i < 10; ++i)
        LONGS_EQUAL(4, fleet.targets.view(TargetId { i }, at(1s)).running);
}

// Guards against requests sent to a blocked version, with the other versions up, full, unusable or blocked as well.
TEST(Router, BlockedVersionGetsNothing)
{
    Fleet fleet(twoVersions(2, 2), { { "dossier", "v1", 50 }, { "dossier", "v2", 50 } });
    ModelId model { 0 };
    fleet.router.setBlockedVersions(model, { "v2" });
    LONGS_EQUAL(8, fleet.router.capacity(model, at(1s)));
    LONGS_EQUAL(1000, versionCounts(fleet, 1000, 4)["v1"]);

    fleet.apply(at(2s)); // a new table does not lift the block
    fleet.targets.setLeaving(first, true, at(2s));
    fleet.targets.setLeaving(second, true, at(2s));
    CHECK(!fleet.router.pick(fleet.request(), at(2s)));
    CHECK(!fleet.router.estimate(fleet.request(), at(2s)));
    auto reason = fleet.router.unusable(model);
    CHECK(reason && reason->kind == FailureKind::NoTarget && reason->disposition == Disposition::NotRun);

    fleet.targets.setLeaving(first, false, at(3s));
    CHECK(!fleet.router.unusable(model));
    fleet.router.setBlockedVersions(model, { "v1", "v2" });
    CHECK(!fleet.router.pick(fleet.request(), at(3s)));
    CHECK(fleet.router.unusable(model).has_value());
    fleet.router.setBlockedVersions(model, {});
    CHECK(fleet.router.pick(fleet.request(), at(3s)).has_value());
}

// Guards against traffic to a version that the table gives no share, and to models that are not in it.
TEST(Router, VersionWithoutAShareGetsNothing)
{
    Fleet fleet(twoVersions(2, 2), { { "dossier", "v1", 100 } });
    LONGS_EQUAL(1000, versionCounts(fleet, 1000, 8)["v1"]);
    RequestSpec unknown = fleet.request();
    unknown.model = ModelId { 7 };
    CHECK(!fleet.router.pick(unknown, at(1s)));
    CHECK(!fleet.router.estimate(unknown, at(1s)));
    CHECK(fleet.router.unusable(unknown.model)->kind == FailureKind::NotFound);
}

// Guards against versions that share a model without shares in the table and of which only one is used.
TEST(Router, WithoutSharesAllVersionsAreAlike)
{
    Fleet fleet(twoVersions(3, 3));
    auto counts = versionCounts(fleet, 1000, 6);
    CHECK(counts["v1"] > 400 && counts["v2"] > 400);
}

// ---- Candidates

// Guards against a long letter that is read again elsewhere although a target has it in its cache.
TEST(Router, CachedPrefixWinsUnlessItsTargetIsBusy)
{
    Fleet fleet(engines(50));
    RequestSpec letter = fleet.request(20000);
    for (uint64_t i = 0; i < 78; ++i)
        letter.prefixBlocks.push_back(1000 + i);
    auto choice = fleet.router.pick(letter, at(0s));
    place(fleet, letter, *choice, at(0s));
    TargetId holder = choice->target;
    fleet.stream(letter.id, at(5s), 25ms, 20);
    for (int i = 0; i < 10; ++i) {
        RequestSpec next = fleet.request(20100);
        next.prefixBlocks = letter.prefixBlocks;
        auto again = fleet.router.pick(next, at(10s));
        CHECK(again && again->target == holder);
        LONGS_EQUAL(78 * prefixBlockTokens, again->cachedTokens);
    }
    for (int i = 0; i < 4; ++i)
        fleet.dispatch(holder, at(10s), 1s);
    RequestSpec next = fleet.request(20100);
    next.prefixBlocks = letter.prefixBlocks;
    auto elsewhere = fleet.router.pick(next, at(10s));
    CHECK(elsewhere && elsewhere->target != holder);
}

// Guards against a choice by the number of requests where engines differ in speed.
TEST(Router, FasterEngineIsPreferred)
{
    Fleet fleet(engines(4));
    for (uint32_t i = 0; i < 4; ++i) {
        for (int n = 0; n < 10; ++n)
            fleet.run(TargetId { i }, at(Duration(n * 1000000)), 50ms, i == 2 ? 10ms : 25ms);
    }
    CHECK(fleet.router.pick(fleet.request(), at(20s))->target == TargetId { 2 });
    fleet.dispatch(TargetId { 2 }, at(20s), 5s, 20000);
    CHECK(fleet.router.pick(fleet.request(), at(20s))->target != TargetId { 2 });
}

// Guards against traffic between failure domains that has no reason, and against work that waits for the own domain while others are idle.
TEST(Router, OwnFailureDomainFirstThenTheOthers)
{
    auto rows = engines(40);
    for (uint32_t i = 2; i < 40; ++i)
        rows[i].failureDomain = "bhaktapur";
    Fleet fleet(rows);
    for (int i = 0; i < 160; ++i) {
        RequestSpec spec = fleet.request();
        auto choice = fleet.router.pick(spec, at(1s));
        CHECK(choice.has_value());
        // A local target with one request is slower than an idle one elsewhere by more than the penalty.
        if (i < 8)
            CHECK_EQUAL(i < 2, raw(choice->target) < 2);
        place(fleet, spec, *choice, at(1s));
    }
    CHECK(!fleet.router.pick(fleet.request(), at(1s)));
}

// Guards against long work in the slots kept for short work, and against short work that waits for long work.
TEST(Router, ShortWorkFindsTheReservedSlots)
{
    Fleet fleet(engines(8));
    RequestSpec dossier = fleet.request(40000);
    int placed = 0;
    while (auto choice = fleet.router.pick(dossier, at(1s))) {
        place(fleet, dossier, *choice, at(1s));
        dossier = fleet.request(40000);
        ++placed;
    }
    LONGS_EQUAL(24, placed);
    for (int i = 0; i < 8; ++i) {
        RequestSpec question = fleet.request();
        auto choice = fleet.router.pick(question, at(1s));
        CHECK(choice.has_value());
        place(fleet, question, *choice, at(1s));
    }
    CHECK(!fleet.router.pick(fleet.request(), at(1s)));
}

// Guards against a resumed stream that is sent elsewhere, or refused because its target drains or is full of other work.
TEST(Router, ResumedStreamStaysOnItsTarget)
{
    Fleet fleet(engines(3));
    fleet.targets.setLeaving(second, true, at(1s));
    RequestSpec resumed = fleet.request();
    resumed.onlyTarget = second;
    CHECK(fleet.router.pick(resumed, at(1s))->target == second);
    resumed.onlyTarget = TargetId { 1000 };
    CHECK(!fleet.router.pick(resumed, at(1s)));
}

// Guards against picks that differ from run to run with the same seed.
TEST(Router, SameSeedSameChoices)
{
    std::array<std::vector<uint32_t>, 2> chosen;
    for (auto& run : chosen) {
        Fleet fleet(twoVersions(20, 20), { { "dossier", "v1", 50 }, { "dossier", "v2", 50 } });
        for (int i = 0; i < 100; ++i) {
            RequestSpec spec = fleet.request();
            auto choice = fleet.router.pick(spec, at(1s));
            run.push_back(raw(choice->target));
            place(fleet, spec, *choice, at(1s));
        }
    }
    CHECK(chosen[0] == chosen[1]);
}
