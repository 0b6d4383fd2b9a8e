// Request limits with real processes: several guavapond-edge processes before targets that name limits and count what arrives.
#include "EdgeFleet.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace std::chrono_literals;
using test::EdgeFleet;

namespace {

constexpr Duration callInterval = 20ms; // between calls of one caller

// Each node gets a call every callInterval.
void load(EdgeFleet& fleet, Duration span)
{
    const TimePoint end = edge::bootTime() + span;
    while (edge::bootTime() < end) {
        for (size_t node = 0; node < fleet.nodes.size(); ++node)
            fleet.call(node);
        fleet.runFor(callInterval);
    }
}

} // namespace

TEST_GROUP(RequestLimitProgram) {};

// Guards against processes that go on sending to a target what they sent before it named a limit.
TEST(RequestLimitProgram, ThreeProcessesKeepTheLimitOfATarget)
{
    EdgeFleet fleet(3);
    for (int i = 0; i < 3; ++i)
        fleet.addTarget();
    fleet.startNodes();
    CHECK(fleet.runUntil([&] { return fleet.allReady(); }));
    load(fleet, 1s);
    fleet.nameLimit(0, 2.5);
    load(fleet, 9s);
    const auto worst = fleet.limits.worst();
    CHECK_TEXT(worst.ratio <= 1, worst.text().c_str());
    CHECK_TEXT(worst.arrived > 0, "the target still gets what its limit allows");
    CHECK(
        fleet.runUntil([&] { return std::all_of(fleet.calls.begin(), fleet.calls.end(), [](const auto& c) { return c->answer.ended; }); }));
}
