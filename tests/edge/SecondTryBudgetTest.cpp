// Tests of the bound on further sends, over several nodes that don't talk.
#include "edge/SecondTryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {};
constexpr SecondTrySettings settings { 0.2, 10s, 54, 0.8 };

} // namespace

TEST_GROUP(SecondTryBudget) {};

// Guards against nodes whose further sends exceed the bound together.
TEST(SecondTryBudget, AllNodesTogetherStayWithinTheBound)
{
    constexpr int nodes = 5;
    int taken = 0;
    int requests = 0;
    for (int node = 0; node < nodes; ++node) {
        SecondTryBudget budget(settings, start);
        budget.setNodes(nodes);
        for (TimePoint now = start + 30s; now < start + 40s; now += 10ms) {
            budget.onRequest("drafts", now);
            ++requests;
            taken += budget.take("drafts", now) ? 1 : 0;
        }
    }
    CHECK(taken <= 0.2 * requests + 54);
    CHECK(taken >= 0.5 * (0.2 * requests + 54));
}

// Guards against a process that starts again and uses the fixed allowance a second time within one window.
TEST(SecondTryBudget, GrowsFromNothingAfterAStart)
{
    SecondTryBudget budget(settings, start);
    CHECK_FALSE(budget.take("drafts", start + 100ms));
    CHECK(budget.take("drafts", start + 10s));
}

// Guards against one service that uses up the sends of another.
TEST(SecondTryBudget, CountsEachServiceByItself)
{
    SecondTryBudget budget(settings, start);
    while (budget.take("drafts", start + 10s)) { }
    CHECK(budget.take("ledger", start + 10s));
}
