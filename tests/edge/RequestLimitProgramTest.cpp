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

namespace {

// One caller for each node sends at random times while nodes are killed, frozen and stopped, the store falls silent and targets change
// their limits. Returns what broke; empty: nothing.
std::string soak(uint64_t seed, Duration span)
{
    std::mt19937_64 generator(seed);
    const auto pick = [&](uint64_t bound) { return generator() % bound; };
    EdgeFleet fleet(2 + pick(3));
    for (int i = 0; i < 4; ++i)
        fleet.addTarget();
    fleet.startNodes();
    if (!fleet.runUntil([&] { return fleet.allReady(); }))
        return "a node did not get ready";
    fleet.nameLimit(0, 1 + static_cast<double>(pick(60)) / 10);
    const auto disturb = [&](TimePoint now) {
        const size_t node = pick(fleet.nodes.size());
        const TimePoint later = now + 300ms + 10ms * pick(150);
        switch (pick(6)) {
        case 0:
            fleet.kill(node);
            fleet.schedule(later, [&fleet, node] { fleet.restart(node); });
            break;
        case 1:
            fleet.freeze(node);
            fleet.schedule(later, [&fleet, node] { fleet.resume(node); });
            break;
        case 2:
            fleet.stop(node);
            fleet.schedule(now + 5s, [&fleet, node] { fleet.restart(node); });
            break;
        case 3:
            fleet.store.mode = standins::StoreMode::Busy;
            fleet.schedule(later, [&fleet] { fleet.store.mode = standins::StoreMode::Up; });
            break;
        default:
            fleet.nameLimit(pick(2), 0.5 + static_cast<double>(pick(80)) / 10);
            break;
        }
    };
    const TimePoint end = edge::bootTime() + span;
    TimePoint nextFault = edge::bootTime() + 4s;
    while (edge::bootTime() < end) {
        const TimePoint now = edge::bootTime();
        if (now >= nextFault && now < end - 4s) {
            disturb(now);
            nextFault = now + 200ms + 10ms * pick(150);
        }
        fleet.runDue(now);
        fleet.call(pick(fleet.nodes.size()));
        fleet.runFor(1ms * (1 + pick(15)));
    }
    fleet.runDue(TimePoint::max());
    fleet.store.mode = standins::StoreMode::Up;
    const auto isEnded = [](const auto& call) { return call->answer.ended; };
    if (!fleet.runUntil([&] { return std::all_of(fleet.calls.begin(), fleet.calls.end(), isEnded); }, 15s))
        return "a call has no end";
    if (const auto worst = fleet.limits.worst(); worst.ratio > 1)
        return worst.text();
    for (const auto& call : fleet.calls) {
        const auto& answer = call->answer;
        if (answer.status == 503 && fleet.runsOf(call->attempt) > 0)
            return call->attempt + " was refused as not run and ran";
        if (answer.status == 200 && answer.complete && answer.body.find("id: 3") == std::string::npos)
            return call->attempt + " got a part of its answer as the whole";
    }
    if (!fleet.runUntil([&] { return fleet.allReady(); }, 15s))
        return "a node did not get ready again";
    const TimePoint calm = edge::bootTime();
    size_t answered = 0;
    for (int i = 0; i < 50; ++i) {
        const auto call = fleet.call(pick(fleet.nodes.size()));
        fleet.runUntil([&] { return call->answer.ended; }, 10s);
        answered += call->answer.status == 200 ? 1 : 0;
    }
    return answered >= 40 ? ""
                          : std::to_string(answered) + " of 50 calls were served after the faults, within "
            + std::to_string(toMilliseconds(edge::bootTime() - calm)) + " ms";
}

} // namespace

// Guards against faults that come in series and overlap. By hand: GUAVAPOND_SOAK_SEEDS="FIRST LAST".
TEST(RequestLimitProgram, LimitsHoldThroughKillsFreezesStopsAndAStoreThatRefuses)
{
    uint64_t first = 1;
    uint64_t last = 2;
    if (const char* seeds = std::getenv("GUAVAPOND_SOAK_SEEDS"))
        std::istringstream(seeds) >> first >> last;
    for (uint64_t seed = first; seed <= last; ++seed) {
        const std::string fault = soak(seed, 14s);
        CHECK_TEXT(fault.empty(), ("seed " + std::to_string(seed) + ": " + fault).c_str());
    }
}
