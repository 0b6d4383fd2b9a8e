// Tests of one home: the account of places, order of ranks, repeats and sums.
#include "edge/PlacementHome.h"
#include "edge/WorkspaceQuota.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

TEST_GROUP(PlacementHome)
{
    static constexpr TimePoint start { 10s };
    TargetPool pool { placement(), false, [] { return 0.5; } };
    PlacementHome home { this->pool, "" };

    static PlacementSettings placement()
    {
        PlacementSettings result;
        result.initialServiceTime = 100ms; // a queue at a target is too long at once
        return result;
    }
    void setup() override
    {
        for (const char* id : { "t0", "t1" }) {
            TargetInfo info;
            info.id = id;
            info.slots = 2;
            info.address = { "127.0.0.1", 1 };
            this->pool.upsert(info, start);
        }
    }
    static PlaceAsk ask(uint64_t node, uint64_t id, int rank = 0)
    {
        PlaceAsk result;
        result.node = node;
        result.id = id;
        result.rank = { rank, rank };
        result.mayWait = 50ms;
        return result;
    }
    size_t granted(const std::vector<PlaceAnswer>& answers) const
    {
        return static_cast<size_t>(
            std::count_if(answers.begin(), answers.end(), [](const PlaceAnswer& a) { return a.verdict == PlaceVerdict::Granted; }));
    }
};

// Guards against places that are lent twice between a grant and the node's next report.
TEST(PlacementHome, LendsEachPlaceOnce)
{
    for (uint64_t id = 0; id < 10; ++id)
        home.ask(ask(1 + id % 3, id), start);
    LONGS_EQUAL(4, granted(home.serve(start)));
    LONGS_EQUAL(0, granted(home.serve(start + 1ms)));
    home.report(1, 0, {}, start + 2ms);
    LONGS_EQUAL_TEXT(0, granted(home.serve(start + 2ms)), "a report from before the grants");
}

// Guards against a freed place that goes to whoever asked first, and against waiting beyond the bound.
TEST(PlacementHome, GivesAFreedPlaceToTheMostUrgent)
{
    for (uint64_t id = 0; id < 4; ++id)
        home.ask(ask(1, id), start);
    const auto grants = home.serve(start);
    home.ask(ask(2, 10, 2), start + 1ms);
    home.ask(ask(2, 11, 1), start + 2ms);
    const auto queued = home.serve(start + 2ms);
    CHECK(queued.size() == 2 && queued[0].verdict == PlaceVerdict::Queued);
    std::map<uint64_t, uint32_t> running;
    for (size_t i = 1; i < grants.size(); ++i)
        ++running[grants[i].target];
    std::vector<TargetLoadReport> rest;
    rest.reserve(running.size());
    for (const auto& [target, count] : running)
        rest.push_back({ target, count, 0, 0ms });
    home.report(1, grants.back().grant, rest, start + 10ms);
    const auto next = home.serve(start + 10ms);
    LONGS_EQUAL(1, next.size());
    LONGS_EQUAL(11, next[0].id);
    const auto refused = home.serve(start + 51ms);
    CHECK(refused.size() == 1 && refused[0].id == 10 && refused[0].verdict == PlaceVerdict::Full);
}

// Guards against a lost answer that keeps its place, and against a repeated ask that takes two.
TEST(PlacementHome, AnswersARepeatedAskWithOnePlace)
{
    home.ask(ask(1, 1), start);
    home.ask(ask(1, 1), start);
    LONGS_EQUAL(1, granted(home.serve(start)));
    home.ask(ask(1, 1), start + 8ms);
    LONGS_EQUAL(1, granted(home.serve(start + 8ms)));
    for (uint64_t id = 2; id < 9; ++id)
        home.ask(ask(1, id), start + 9ms);
    LONGS_EQUAL_TEXT(3, granted(home.serve(start + 9ms)), "four places in all");
}

// Guards against grants of which the node never heard that stay taken.
TEST(PlacementHome, AGrantEndsByItselfWhenNoReportHasSeenIt)
{
    for (uint64_t id = 0; id < 4; ++id)
        home.ask(ask(1, id), start);
    LONGS_EQUAL(4, granted(home.serve(start)));
    home.report(1, 0, {}, start + 300ms);
    home.ask(ask(2, 1), start + 300ms);
    LONGS_EQUAL(1, granted(home.serve(start + 300ms)));
}

// Guards against a new home that takes all targets for idle.
TEST(PlacementHome, LearnsWhatRunsFromReports)
{
    const TargetLoadReport loads[] { { nameHash("t0"), 2, 0, 0ms }, { nameHash("t1"), 1, 0, 0ms } };
    home.report(1, 99, loads, start);
    for (uint64_t id = 0; id < 3; ++id)
        home.ask(ask(2, id), start);
    LONGS_EQUAL(1, granted(home.serve(start)));
}

// Guards against requests that are sent on to a group whose room is long gone, or more of them than it has room for.
TEST(PlacementHome, SendsOnAsManyAsTheOtherGroupTakes)
{
    for (uint64_t id = 0; id < 4; ++id)
        home.ask(ask(1, id), start);
    home.serve(start);
    GroupSum sum { 0, "other", 2, 1ms };
    home.hearSum(sum, start);
    for (uint64_t id = 4; id < 8; ++id)
        home.ask(ask(1, id), start + 1ms);
    const auto answers = home.serve(start + 1ms);
    LONGS_EQUAL(
        2, std::count_if(answers.begin(), answers.end(), [](const PlaceAnswer& a) { return a.verdict == PlaceVerdict::Elsewhere; }));
    home.hearSum(sum, start + 2ms);
    const auto late = home.serve(start + 2s);
    CHECK(std::none_of(late.begin(), late.end(), [](const PlaceAnswer& a) { return a.verdict == PlaceVerdict::Elsewhere; }));
}
