// Tests of moves to a new version, played over several nodes that report to each other.
#include "edge/VersionMove.h"

#include <functional>

#include <CppUTest/TestHarness.h>
#include <random>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {};
constexpr Duration span = 12s;

struct Played {
    MoveState state = MoveState::Trying;
    Duration endedAfter {};
    uint64_t requests = 0;
    uint64_t toNew = 0;
    uint64_t toNewAfterBad = 0; // later than 5 s after the 50th bad answer
};

MoveSettings bounds()
{
    MoveSettings settings;
    settings.mostExposed = 0.1;
    settings.exposedAllowance = 50;
    return settings;
}

// Good answers of the new version until all requests go to it, with work left at old targets. Returns when that is.
TimePoint proveAndSwitch(VersionMove& move, size_t otherNodes)
{
    for (int i = 0; i < 200; ++i) {
        move.onRequest();
        move.count(true, "letters", false, 100ms);
    }
    TimePoint now = start;
    while (move.advance(3, otherNodes, now) == MoveState::Trying && now < start + span)
        now += 10ms;
    return now;
}

// 5 nodes with 40 requests/s each. `answer` tells whether a request of the new version fails and how long it takes.
Played play(const std::function<std::pair<bool, Duration>(Duration sinceStart, int route)>& answer, uint64_t seed)
{
    constexpr size_t nodes = 5;
    std::mt19937_64 generator(seed);
    std::uniform_real_distribution<double> uniform;
    std::vector<VersionMove> moves(nodes, VersionMove({ "drafts", "v2", span, 9 }, bounds(), start, start));
    Played played;
    uint64_t badAnswers = 0;
    std::optional<TimePoint> fiftieth;
    for (TimePoint now = start; now < start + span; now += 5ms) {
        for (size_t node = 0; node < nodes; ++node) {
            VersionMove& move = moves[node];
            for (size_t other = 0; other < nodes; ++other) {
                if (other != node)
                    move.onPeerReport(other, moves[other].report(0, now), now);
            }
            const MoveState state = move.advance(0, 0, now);
            if (node == 0 && played.state != state) {
                played.state = state;
                played.endedAfter = now - start;
            }
            if (uniform(generator) >= 0.2)
                continue;
            move.onRequest();
            ++played.requests;
            const int route = uniform(generator) < 0.1 ? 1 : 0;
            const std::string name = route == 0 ? "letters" : "questions";
            if (!move.sendToNew(uniform(generator))) {
                move.count(false, name, uniform(generator) < 0.02, 100ms);
                continue;
            }
            ++played.toNew;
            if (fiftieth && now > *fiftieth + 5s)
                ++played.toNewAfterBad;
            const auto [failed, time] = answer(now - start, route);
            move.count(true, name, failed, time);
            if ((failed || time > 300ms) && ++badAnswers == 50)
                fiftieth = now;
        }
    }
    return played;
}

} // namespace

TEST_GROUP(VersionMove) {};

// Guards against good versions that are not moved in by the deadline, also when the old version fails now and then.
TEST(VersionMove, MovesAGoodVersionInTime)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 generator(seed);
        const Played played = play([&](Duration, int) { return std::pair(generator() % 50 == 0, Duration(100ms)); }, seed);
        CHECK(played.state == MoveState::Completed);
        CHECK(played.endedAfter < span);
    }
}

// Guards against a bad version that is kept, or that gets more than its share, whatever way it is bad.
TEST(VersionMove, TakesABadVersionBack)
{
    struct Row {
        const char* name;
        std::function<std::pair<bool, Duration>(Duration, int)> answer;
    };
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 generator(seed);
        const auto chance = [&](unsigned percent) { return generator() % 100 < percent; };
        const Row rows[] = {
            { "fails at once", [&](Duration, int) { return std::pair(chance(40), Duration(100ms)); } },
            { "slow at once", [&](Duration, int) { return std::pair(false, chance(50) ? Duration(600ms) : Duration(100ms)); } },
            { "fails later", [&](Duration since, int) { return std::pair(since > 4s && chance(60), Duration(100ms)); } },
            { "fails on one route", [&](Duration, int route) { return std::pair(route == 1, Duration(100ms)); } },
        };
        for (const Row& row : rows) {
            const Played played = play(row.answer, seed);
            CHECK_TEXT(played.state == MoveState::Reverted, row.name);
            CHECK_TEXT(static_cast<double>(played.toNew) <= 0.1 * static_cast<double>(played.requests) + 50, row.name);
            LONGS_EQUAL_TEXT(0, played.toNewAfterBad, row.name);
        }
    }
}

// Guards against a bound on exposure that a version breaks when it turns bad as soon as it gets everything.
TEST(VersionMove, KeepsTheBoundWhenTheVersionFailsUnderLoad)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        const Played played = play([](Duration since, int) { return std::pair(since > 10s, Duration(100ms)); }, seed);
        CHECK(static_cast<double>(played.toNew) <= 0.1 * static_cast<double>(played.requests) + 50);
    }
}

// Guards against old targets that are stopped while they work, and against a move that never ends because of one node.
TEST(VersionMove, WaitsForOldWorkUntilShortlyBeforeTheDeadline)
{
    VersionMove move({ "drafts", "v2", span, 9 }, bounds(), start, start);
    const TimePoint now = proveAndSwitch(move, 0);
    CHECK(move.state() == MoveState::Switching);
    CHECK(move.advance(3, 0, now + 10ms) == MoveState::Switching);
    CHECK(move.advance(3, 0, start + span - 250ms) == MoveState::Completed);
}

// Guards against a move that is called completed, so that the old targets are stopped, while another node still sends to them or was
// not heard about this order yet.
TEST(VersionMove, IsDrainedOnlyWhenAllNodesHaveSwitched)
{
    VersionMove move({ "drafts", "v2", span, 9 }, bounds(), start, start);
    const TimePoint now = proveAndSwitch(move, 1);
    CHECK_TEXT(move.advance(0, 1, now) == MoveState::Switching, "the other node was not heard");
    VersionMove::Report report;
    report.revision = 9;
    move.onPeerReport(1, report, now);
    CHECK_TEXT(move.advance(0, 1, now) == MoveState::Switching, "it has no work there, but may send some");
    report.switched = true;
    report.oldInFlight = 1;
    move.onPeerReport(1, report, now);
    CHECK(move.advance(0, 1, now) == MoveState::Switching);
    report.oldInFlight = 0;
    move.onPeerReport(1, report, now);
    CHECK(move.advance(0, 1, now) == MoveState::Completed);
}

// Guards against a report about an earlier order, and against a verdict of a peer that is not followed.
TEST(VersionMove, FollowsAPeersVerdictOnThisOrderOnly)
{
    VersionMove move({ "drafts", "v2", span, 9 }, bounds(), start, start);
    VersionMove::Report report;
    report.judgedBad = true;
    report.revision = 8;
    move.onPeerReport(1, report, start);
    CHECK(move.advance(0, 0, start) == MoveState::Trying);
    report.revision = 9;
    move.onPeerReport(1, report, start);
    CHECK(move.advance(0, 0, start) == MoveState::Reverted);
    CHECK_FALSE(move.sendToNew(0));
}

// Guards against a move that ends after its deadline, because the process that drives it started in its midst and counts from there.
TEST(VersionMove, TakesTheAgeOfTheOrderFromAPeer)
{
    const TimePoint restarted = start + 9s;
    VersionMove known({ "drafts", "v2", span, 9 }, bounds(), start, start + 300ms);
    VersionMove move({ "drafts", "v2", span, 9 }, bounds(), std::nullopt, restarted);
    VersionMove other({ "drafts", "v2", span, 9 }, bounds(), std::nullopt, restarted + 1s);
    CHECK_FALSE(move.report(0, restarted).age.has_value());
    other.onPeerReport(1, move.report(0, restarted + 1s), restarted + 1s);
    CHECK_FALSE_TEXT(other.report(0, restarted + 1s).age.has_value(), "the start of a process says nothing of the order");
    move.onPeerReport(1, known.report(0, restarted + 1s), restarted + 1010ms);
    CHECK(*move.report(0, restarted + 2s).age == 10990ms);
    proveAndSwitch(move, 0);
    CHECK(move.advance(0, 0, start + span - 200ms) == MoveState::Completed);
    known.onPeerReport(1, move.report(0, restarted), restarted + 5s);
    CHECK_TEXT(*known.report(0, restarted).age == 9s, "a node that knows the age keeps it");
}
