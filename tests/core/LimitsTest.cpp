// Guards the limits of workspaces: none may take more engine time or slots than its row allows, and each refusal says when to come back.
#include "core/Limits.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
constexpr auto tier = Tier::Standard;

TableIndex tableWith(const TierLimits& limits, const TableIndex* predecessor = nullptr)
{
    Table table;
    WorkspaceRow row { .name = "labs", .token = "" };
    row.tiers.fill(limits);
    table.workspaces.push_back(row);
    return { table, predecessor ? predecessor->revision() + 1 : 1, predecessor };
}

} // namespace

TEST_GROUP(Limits)
{
    Limits limits { LimitsSettings {} };
    const WorkspaceId labs {};
};

// Failure: a workspace runs more engine time than its rate and burst allow.
TEST(Limits, EngineTimeStaysWithinRateAndBurst)
{
    struct Case {
        double rate;
        uint32_t burst;
        Duration cost;
    };
    for (const auto& [rate, burst, cost] : { Case { 2, 10, 500ms }, Case { 0.5, 1, 3s }, Case { 20, 60, 100ms }, Case { 1, 0, 200ms } }) {
        Limits limited { LimitsSettings {} };
        limited.applyTable(tableWith({ .engineSecondsPerSecond = rate, .burstEngineSeconds = burst }), start);
        double used = 0;
        constexpr Duration length = 100s;
        for (TimePoint now = start; now < start + length; now += 10ms) {
            while (limited.mayRun(this->labs, tier, now)) {
                limited.onStarted(this->labs, tier, cost, now);
                limited.onFinished(this->labs, tier, cost, cost, now);
                used += toSeconds(cost);
            }
        }
        double allowed = std::max(1U, burst) + rate * toSeconds(length);
        CHECK(used <= allowed + toSeconds(cost));
        CHECK(used >= allowed - toSeconds(cost) - rate);
    }
}

// Failure: the time given for the next request is too early, so that the caller comes back in vain, or far too late.
TEST(Limits, NextAllowedIsTheFirstTimeThatWorks)
{
    this->limits.applyTable(tableWith({ .engineSecondsPerSecond = 2, .burstEngineSeconds = 4 }), start);
    this->limits.onStarted(this->labs, tier, 10s, start);
    auto next = this->limits.nextAllowed(this->labs, tier, start);
    CHECK(next.has_value());
    CHECK(this->limits.mayRun(this->labs, tier, *next));
    CHECK(!this->limits.mayRun(this->labs, tier, *next - 2ms));
    auto refused = this->limits.checkQueue(this->labs, tier, *next - 1s, start);
    CHECK(refused && refused->kind == FailureKind::LimitReached && refused->disposition == Disposition::NotRun);
    CHECK(start + refused->retryAfter >= *next);
    CHECK(!this->limits.checkQueue(this->labs, tier, *next + 1s, start));
}

// Failure: an estimate that was too high or too low stays charged.
TEST(Limits, ChargeIsCorrectedByTheActualCost)
{
    this->limits.applyTable(tableWith({ .engineSecondsPerSecond = 1, .burstEngineSeconds = 5 }), start);
    this->limits.onStarted(this->labs, tier, 10s, start);
    this->limits.onFinished(this->labs, tier, 10s, 1s, start);
    CHECK(this->limits.mayRun(this->labs, tier, start));
    this->limits.onStarted(this->labs, tier, 1s, start);
    this->limits.onFinished(this->labs, tier, 1s, 10s, start);
    CHECK(!this->limits.mayRun(this->labs, tier, start));
}

// Failure: more requests run or wait than the row allows, or a change of the table loses the counts of what runs.
TEST(Limits, ConcurrencyHoldsAcrossATableChange)
{
    auto first = tableWith({ .running = 2, .queued = 1 });
    this->limits.applyTable(first, start);
    this->limits.onStarted(this->labs, tier, 1s, start);
    CHECK(this->limits.mayRun(this->labs, tier, start));
    this->limits.onStarted(this->labs, tier, 1s, start);
    CHECK(!this->limits.mayRun(this->labs, tier, start));
    CHECK(!this->limits.nextAllowed(this->labs, tier, start)); // waits for a finish, not for a time
    this->limits.onQueued(this->labs, tier);
    CHECK(this->limits.checkQueue(this->labs, tier, start + 1h, start).has_value());
    this->limits.applyTable(tableWith({ .running = 3, .queued = 2 }, &first), start);
    CHECK(this->limits.mayRun(this->labs, tier, start));
    CHECK(!this->limits.checkQueue(this->labs, tier, start + 1h, start));
    this->limits.onStarted(this->labs, tier, 1s, start);
    CHECK(!this->limits.mayRun(this->labs, tier, start));
}

// Failure: a lowered burst leaves the old savings usable, or a reload of the table refills a bucket in debt.
TEST(Limits, TableChangeNeitherRefillsNorKeepsTooMuch)
{
    auto first = tableWith({ .engineSecondsPerSecond = 1, .burstEngineSeconds = 50 });
    this->limits.applyTable(first, start);
    this->limits.onStarted(this->labs, tier, 60s, start);
    this->limits.applyTable(tableWith({ .engineSecondsPerSecond = 2, .burstEngineSeconds = 100 }, &first), start);
    CHECK(!this->limits.mayRun(this->labs, tier, start + 4s));
    CHECK(this->limits.mayRun(this->labs, tier, start + 6s));
}

// Guards against a node that uses a whole limit which it shares with others, and against one whose part rounds to nothing.
TEST(Limits, FactorScalesRateBurstAndRunning)
{
    this->limits.applyTable(tableWith({ .engineSecondsPerSecond = 10, .burstEngineSeconds = 20, .running = 4 }), start);
    this->limits.setFactor(this->labs, tier, 0.5, start);
    this->limits.onStarted(this->labs, tier, 15s, start);
    CHECK(!this->limits.mayRun(this->labs, tier, start));
    CHECK(this->limits.mayRun(this->labs, tier, start + 1100ms));
    this->limits.onStarted(this->labs, tier, 0s, start + 2s);
    CHECK(!this->limits.mayRun(this->labs, tier, start + 2s));
    this->limits.setFactor(this->labs, tier, 1, start + 2s);
    CHECK(this->limits.mayRun(this->labs, tier, start + 2s));
    this->limits.onFinished(this->labs, tier, 0s, 0s, start + 2s);
    this->limits.onFinished(this->labs, tier, 0s, 0s, start + 2s);
    this->limits.setFactor(this->labs, tier, 0.01, start + 2s);
    CHECK(this->limits.mayRun(this->labs, tier, start + 2s));
}
