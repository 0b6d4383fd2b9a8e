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
