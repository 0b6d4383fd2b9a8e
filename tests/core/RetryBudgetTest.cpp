// Tests of the retry budget, the back-off and the retry-after hints.
#include "core/RetryBudget.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace std::chrono_literals;

namespace {

std::function<uint64_t(uint64_t)> seeded()
{
    return [generator = std::mt19937_64(11)](uint64_t below) mutable { return generator() % below; };
}

TimePoint at(Duration sinceStart) { return TimePoint {} + sinceStart; }

int retriesTaken(RetryBudget& budget, int attempts, TimePoint now)
{
    int taken = 0;
    for (int i = 0; i < attempts; ++i)
        taken += budget.takeRetry(now) ? 1 : 0;
    return taken;
}

} // namespace

TEST_GROUP(RetryBudget) {};

// Guards against retries that double the load when everything fails: without successes only the least burst is left.
TEST(RetryBudget, RetriesAreAFractionOfRecentSuccesses)
{
    RetryBudget budget({}, seeded());
    LONGS_EQUAL(3, retriesTaken(budget, 100, at(0s)));
    for (int i = 0; i < 1000; ++i)
        budget.onSuccess(at(1s));
    int taken = retriesTaken(budget, 1000, at(1s));
    CHECK(taken >= 98 && taken <= 101);
}

// Guards against a budget saved up in a good hour and spent all at once in an outage.
TEST(RetryBudget, OldSuccessesDoNotCount)
{
    RetryBudget budget({}, seeded());
    for (int i = 0; i < 10000; ++i)
        budget.onSuccess(at(0s));
    LONGS_EQUAL(3, retriesTaken(budget, 1000, at(10min)));
}

// Guards against retries in step with each other, and against an overflow at a high attempt number.
TEST(RetryBudget, BackOffGrowsIsJitteredAndBounded)
{
    RetryBudget budget({}, seeded());
    struct Case {
        uint32_t attempt;
        Duration least;
        Duration most;
    };
    for (Case c : { Case { 1, 50ms, 100ms }, Case { 3, 200ms, 400ms }, Case { 10, 5s, 10s }, Case { 4000000000U, 5s, 10s } }) {
        Duration lowest = Duration::max();
        Duration highest = Duration::zero();
        for (int i = 0; i < 200; ++i) {
            Duration wait = budget.backOff(c.attempt);
            lowest = std::min(lowest, wait);
            highest = std::max(highest, wait);
        }
        CHECK(lowest >= c.least && highest <= c.most);
        CHECK(highest - lowest > c.least / 2);
    }
}

// Guards against refused callers who come back together and multiply the surge.
TEST(RetryBudget, RefusedCallersReturnNoFasterThanTheNodeServes)
{
    RetryBudget budget({}, seeded());
    for (int i = 0; i < 20000; ++i)
        budget.onSuccess(at(Duration(i * 1000))); // 1,000/s
    std::vector<int64_t> perSecond(200, 0);
    for (int i = 0; i < 10000; ++i)
        ++perSecond[static_cast<size_t>(toMilliseconds(budget.retryAfter(2s, at(20s))) / 1000)];
    LONGS_EQUAL(0, perSecond[0] + perSecond[1]);
    CHECK(*std::max_element(perSecond.begin(), perSecond.end()) <= 1000);
}

// Guards against a hint that stays short while the queue grows, or that exceeds its bound.
TEST(RetryBudget, HintGrowsWithLoadUpToItsBound)
{
    struct Case {
        Duration queueTime;
        Duration least;
        Duration most;
    };
    for (Case c : { Case { 0s, 1s, 1500ms }, Case { 10s, 10s, 15s }, Case { 60s, 60s, 90s }, Case { 24h, 60s, 120s } }) {
        RetryBudget budget({}, seeded());
        Duration hint = budget.retryAfter(c.queueTime, at(0s));
        CHECK(hint >= c.least && hint <= c.most);
    }
}
