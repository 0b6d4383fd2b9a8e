// Tests of request limits across many nodes in virtual time: what arrives at targets that name a limit, judged as operators judge it.
#include "PlacementWorld.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

WorldSettings worldSettings(size_t domains, size_t nodesPerDomain, size_t targetsPerDomain, uint32_t slots)
{
    WorldSettings result;
    result.domains = domains;
    result.nodesPerDomain = nodesPerDomain;
    result.targetsPerDomain = targetsPerDomain;
    result.slots = slots;
    return result;
}

void checkLimitsHold(const PlacementWorld& world)
{
    const auto worst = world.limits.worst();
    CHECK_TEXT(worst.ratio <= 1, worst.text().c_str());
}

} // namespace

TEST_GROUP(RequestLimitFleet) {};

// Guards against nodes that go on sending to a target what they sent before it named a limit (82 requests in 4 s where 46 are allowed).
TEST(RequestLimitFleet, FourNodesKeepTheLimitsOfTwoTargets)
{
    const WorldSettings settings = worldSettings(1, 4, 12, 13);
    PlacementWorld world(settings);
    const TimePoint start = world.now;
    world.run(start + 1s, 120);
    world.nameLimit(0, 6.7);
    world.nameLimit(1, 2.4);
    world.run(start + 12s, 120);
    checkLimitsHold(world);
    CHECK_TEXT(world.outcome(start + 2s, start + 11s).servedShare() >= 0.99, "the other targets have room for all requests");
}

// Guards against limits that each node keeps by itself, so that a limit is exceeded by the number of nodes.
TEST(RequestLimitFleet, ManyNodesKeepTheLimitsOfASixthOfTheTargets)
{
    const WorldSettings settings = worldSettings(5, 12, 18, 7);
    PlacementWorld world(settings);
    const TimePoint start = world.now;
    const double load = 0.4 * 5 * 18 * 7 / toSeconds(settings.meanServiceTime);
    world.run(start + 1s, load);
    for (size_t i = 0; i < world.targets.size(); i += 6)
        world.nameLimit(i, 2.4);
    world.run(start + 9s, load);
    checkLimitsHold(world);
    CHECK_TEXT(world.outcome(start + 2s, start + 8s).servedShare() >= 0.95, "the other targets have room for all requests");
}
