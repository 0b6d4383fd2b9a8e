// Tests of header fields that other programs fill.
#include "edge/RequestFields.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond::edge;

TEST_GROUP(RequestFields) {};

// Guards against a size that is taken from a part of a field, which would count too little against a quota.
TEST(RequestFields, ReadsTokenCountsOrNothing)
{
    const auto count = parseTokenCount("1460, 80");
    CHECK(count && count->prompt == 1460 && count->mostOutput == 80);
    for (const char* bad : { "", "1460", "1460,", ",80", "a,80", "1460,80x", "-1,80", "1460,80,3", "4294967296,1" })
        CHECK_FALSE_TEXT(parseTokenCount(bad).has_value(), bad);
}

// Guards against parts that are believed shared though an earlier part differs.
TEST(RequestFields, ChainsPromptParts)
{
    const auto first = parsePromptParts("5c1e07a2:800, 91bd3f06:410");
    const auto same = parsePromptParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    const auto other = parsePromptParts("5c1e07a3:800,91bd3f06:410");
    LONGS_EQUAL(2, first.size());
    LONGS_EQUAL(3, same.size());
    CHECK(first[1].prefixHash == same[1].prefixHash && first[1].tokens == 410);
    CHECK(first[1].prefixHash != other[1].prefixHash);
    LONGS_EQUAL(1, parsePromptParts("5c1e07a2:800,91bd3f06,e4402b7d:250").size());
    LONGS_EQUAL(0, parsePromptParts(":,").size());
}
