// Guards the tables of names against a new enumerator without an entry.
#include "core/Types.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;

TEST_GROUP(Types) {};

TEST(Types, EveryFailureKindHasANameAndAnErrorStatus)
{
    for (size_t i = 0; i < failureKindCount; ++i) {
        auto kind = static_cast<FailureKind>(i);
        CHECK(!failureKindName(kind).empty());
        CHECK(failureStatus(kind) >= 400 && failureStatus(kind) < 600);
    }
}

TEST(Types, TierNamesRoundTrip)
{
    for (size_t i = 0; i < tierCount; ++i)
        CHECK(parseTier(tierName(static_cast<Tier>(i))) == static_cast<Tier>(i));
    CHECK(!parseTier("platinum"));
}
