// The phases of a planned stop in virtual time: what each admits and what ends it.
#include "edge/StopSequence.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

TEST_GROUP(StopSequence)
{
    static constexpr NodeLoad idle {};
    static constexpr NodeLoad busy { 1, 1 };
    static constexpr NodeLoad connected { 0, 1 }; // an answer is on its way, or a request
    const TimePoint start { 100s };
    StopSequence stop;

    void begin(Duration grace = 8s) { this->stop.begin(grace, this->start); }
    // Moves on as far as it goes with this load.
    StopPhase advance(const NodeLoad& load, Duration since)
    {
        while (this->stop.advance(load, this->start + since)) { }
        return this->stop.phase();
    }
    void check(StopPhase expected, StopPhase phase)
    {
        STRCMP_EQUAL(std::string(stopPhaseName(expected)).c_str(), std::string(stopPhaseName(phase)).c_str());
    }
};

// Guards against a stop that begins by itself, or that a second signal begins anew.
TEST(StopSequence, BeginsOnce)
{
    check(StopPhase::Serving, advance(idle, 1h));
    CHECK_FALSE(stop.isStopping());
    CHECK_FALSE(stop.bounds().has_value());
    begin();
    const TimePoint endBy = stop.bounds()->endBy;
    stop.begin(8s, start + 5s);
    CHECK(stop.bounds()->endBy == endBy);
    check(StopPhase::Announcing, stop.phase());
}

// Guards against a node that ends while the load balancer still sends it connections, because nothing is in progress at the moment.
TEST(StopSequence, AnnouncesUntilTheBalancerHasRemovedTheNode)
{
    begin();
    check(StopPhase::Announcing, advance(idle, 3199ms));
    check(StopPhase::Leaving, advance(idle, 3200ms));
}

// Guards against a last look that is not kept true: nothing is in progress, but a connection that may carry a request is open.
TEST(StopSequence, DrainsWhileARequestOrAConnectionIsThere)
{
    begin();
    check(StopPhase::Draining, advance(busy, 4s));
    check(StopPhase::Draining, advance(connected, 5s));
    check(StopPhase::Draining, advance(connected, 7599ms));
    check(StopPhase::Closing, advance(connected, 7600ms));
}

// Guards against a process that ends while connections that were taken from the kernel at the last moment have no answer.
TEST(StopSequence, ClosingWaitsForTheLastConnections)
{
    begin();
    check(StopPhase::Draining, advance(connected, 4s));
    CHECK(stop.advance(idle, start + 4s));
    check(StopPhase::Closing, stop.phase());
    check(StopPhase::Closing, advance(connected, 4s)); // the kernel had one more
    check(StopPhase::Leaving, advance(idle, 4100ms));
}

// Guards against a store that doesn't answer and keeps a node until it is killed, and against an entry that is left behind although the
// store answers.
TEST(StopSequence, LeavesWhenTheEntryIsRemovedOrTheGraceEnds)
{
    begin();
    stop.entryRemoved(); // too early: not asked for
    check(StopPhase::Leaving, advance(idle, 4s));
    check(StopPhase::Leaving, advance(idle, 5s));
    stop.entryRemoved();
    check(StopPhase::Ended, advance(idle, 5s));
    StopSequence silent;
    silent.begin(8s, start);
    while (silent.advance(busy, start + 7950ms)) { }
    check(StopPhase::Ended, silent.phase());
}

// Guards against a request that is taken although its answer may be due after the end, and against one that is refused while the load
// balancer has no better choice.
TEST(StopSequence, AdmitsWhatCanEndInTime)
{
    begin();
    const StopBounds& bounds = *stop.bounds();
    CHECK_TEXT(bounds.admits(start + 30s, start + 2699ms), "the balancer may know no better");
    CHECK_FALSE(bounds.admits(start + 30s, start + 2700ms));
    CHECK(bounds.admits(start + 7600ms, start + 6100ms));
    CHECK_FALSE(bounds.admits(start + 7601ms, start + 6101ms));
}

// Guards against a node that was suspended in its stop and goes on where it was, past the time at which it is killed.
TEST(StopSequence, ASuspendedNodeCatchesUp)
{
    begin();
    check(StopPhase::Leaving, advance(busy, 7900ms));
    CHECK_FALSE(stop.bounds()->admits(start + 8s, start + 7900ms));
}

// Guards against bounds that lie after the end of a short grace, or that have no order.
TEST(StopSequence, ShortGraceKeepsTheOrder)
{
    for (const Duration grace : { Duration(1ms), Duration(200ms), Duration(1s), Duration(3s), Duration(60s) }) {
        StopSequence shortStop;
        shortStop.begin(grace, start);
        const StopBounds& bounds = *shortStop.bounds();
        CHECK(bounds.admitAllUntil <= bounds.drainFrom);
        CHECK(bounds.drainFrom <= bounds.answerBy);
        CHECK(bounds.answerBy <= bounds.closeBy);
        CHECK(bounds.closeBy <= bounds.endBy);
        CHECK(bounds.endBy <= start + grace);
    }
}
