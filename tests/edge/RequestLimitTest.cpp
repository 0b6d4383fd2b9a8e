// Tests of request limits: values of the header field, and when a limit begins, changes and ends.
#include "EdgeWorld.h"
#include "edge/Beliefs.h"
#include "edge/PeerTable.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

std::optional<double> parse(std::vector<std::string_view> values) { return parseRequestLimit(values); }

} // namespace

TEST_GROUP(RequestLimit) {};

TEST(RequestLimit, ReadsDecimalNumbersOnly)
{
    DOUBLES_EQUAL(6.7, *parse({ "6.7" }), 1e-9);
    DOUBLES_EQUAL(12, *parse({ " 12 " }), 1e-9);
    DOUBLES_EQUAL(0, *parse({ "0" }), 1e-9);
    for (const char* malformed : { "", " ", "-1", "+1", "nan", "inf", "1e3", "0x10", "1.2.3", ".", "five", "1 2" })
        CHECK_FALSE_TEXT(parse({ malformed }).has_value(), malformed);
    CHECK_FALSE(parse({ std::string(1000, '9') }).has_value());
    CHECK_FALSE(parse({}).has_value());
}

// Guards against a looser limit than the target meant where it names several.
TEST(RequestLimit, TheSmallestOfSeveralValuesCounts)
{
    DOUBLES_EQUAL(2.5, *parse({ "7", "2.5" }), 1e-9);
    DOUBLES_EQUAL(2.5, *parse({ "7, 2.5" }), 1e-9);
    DOUBLES_EQUAL(7, *parse({ "7", "many" }), 1e-9);
}

// Guards against a limit that ends by an answer that the target composed before it named one, or by a single answer without it.
TEST(RequestLimit, EndsWithTwoLaterAnswersThatNameNone)
{
    RequestLimit limit;
    CHECK(limit.onNamed(5, start) == LimitChange::Set);
    CHECK(limit.onNotNamed(start - 1s, start + 1s) == LimitChange::None);
    CHECK(limit.onNotNamed(start - 1s, start + 1s) == LimitChange::None);
    CHECK(limit.onNotNamed(start + 1s, start + 2s) == LimitChange::None);
    CHECK(limit.onNamed(5, start + 3s) == LimitChange::None);
    CHECK(limit.onNotNamed(start + 4s, start + 5s) == LimitChange::None);
    CHECK(limit.isSet());
    CHECK(limit.onNotNamed(start + 4s, start + 6s) == LimitChange::Ended);
    CHECK_FALSE(limit.isSet());
    CHECK(limit.onNamed(5, start + 7s) == LimitChange::Set);
}

// Guards against a log that a target fills by naming another figure in each answer.
TEST(RequestLimit, ReportsChangesAtMostOnceASecond)
{
    RequestLimit limit;
    CHECK(limit.onNamed(5, start) == LimitChange::Set);
    CHECK(limit.onNamed(6, start + 10ms) == LimitChange::None);
    DOUBLES_EQUAL(6, *limit.statement().perSecond, 1e-9);
    CHECK(limit.onNamed(7, start + 1100ms) == LimitChange::Changed);
}

// Guards against an operator who can't see which targets name a limit: the node's pages show it.
TEST(RequestLimit, AnswersSetAndEndTheLimitThatThePagesShow)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    auto& runner = world.addRunner("r1");
    runner.requestLimits = { "50", "40.5" };
    CHECK(world.runUntilEnded(world.send("/plain/a", "a1")));
    const TargetPool& targets = world.relay.services().at("drafts")->targets;
    DOUBLES_EQUAL(40.5, *targets.view(bootTime()).at(0).requestLimit.perSecond, 1e-9);
    LONGS_EQUAL(1, targets.limitedCount());
    const PeerTable peers("n1", {});
    CHECK(nodeStatusPage("n1", world.relay, peers, bootTime()).find("\"requestLimit\":40.5") != std::string::npos);
    CHECK(world.metrics.page().find("guavapond_edge_limit_changes_total{change=\"set\"} 1") != std::string::npos);
    runner.requestLimits = { "soon" };
    CHECK(world.runUntilEnded(world.send("/plain/a", "a2")));
    CHECK_TEXT(targets.limitedCount() == 1, "a malformed value neither sets nor ends a limit");
    runner.requestLimits = {};
    for (const char* attempt : { "a3", "a4" })
        CHECK(world.runUntilEnded(world.send("/plain/a", attempt)));
    LONGS_EQUAL(0, targets.limitedCount());
    CHECK(world.metrics.page().find("guavapond_edge_limited_sends_total{kind=\"first\"} 3") != std::string::npos);
}

// Guards against a limit that outlives the process that named it.
TEST(RequestLimit, ARestartedTargetHasNoLimit)
{
    TargetPool pool({}, false, [] { return 0.5; });
    TargetInfo info;
    info.id = "r1";
    info.startedUnixMs = 1;
    const auto index = pool.upsert(info, start);
    pool.requestLimit(index).onNamed(5, start);
    pool.upsert(info, start);
    LONGS_EQUAL(1, pool.limitedCount());
    info.startedUnixMs = 2;
    pool.upsert(info, start);
    LONGS_EQUAL(0, pool.limitedCount());
}
