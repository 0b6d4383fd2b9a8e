// Tests of what the kernel's view of a connection says about the peer.
#include "scheduling/PeerLiveness.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

TEST_GROUP(PeerLiveness)
{
    TimePoint now = TimePoint(1h);
    PeerLiveness liveness { 1500ms };
    PeerState judgeAfter(Duration pause, const TransmitState& state)
    {
        this->now += pause;
        return this->liveness.judge(state, this->now);
    }
};

// Guards against ending the connection of a peer that answers window probes, however long its window stays closed.
TEST(PeerLiveness, AClosedWindowIsNoSilence)
{
    for (int i = 0; i < 240; ++i)
        CHECK(judgeAfter(250ms, { 5000, false, 200ms * (i % 40) }) == PeerState::WindowClosed);
    CHECK(judgeAfter(250ms, { 0, false, 10s }) == PeerState::HasAll);
}

// Guards against a peer that is gone and stays for as long as a slow one: in the middle of a transfer, and behind a closed window.
TEST(PeerLiveness, SilenceOfTheBoundEndsAConnection)
{
    CHECK(judgeAfter(250ms, { 5000, false, 100ms }) == PeerState::WindowClosed);
    CHECK(judgeAfter(250ms, { 5000, true, 350ms }) == PeerState::Answering);
    CHECK(judgeAfter(1250ms, { 5000, true, 1600ms }) == PeerState::Answering);
    CHECK(judgeAfter(250ms, { 5000, true, 1850ms }) == PeerState::Gone);
}

// Guards against a steady flow, in which some bytes are always under way, that counts as silence.
TEST(PeerLiveness, EachAcknowledgementBeginsTheTimeAnew)
{
    for (int i = 0; i < 100; ++i)
        CHECK(judgeAfter(250ms, { 5000, true, 20ms }) == PeerState::Answering);
}

// Guards against a probe that was just sent after a long pause being taken for a long silence.
TEST(PeerLiveness, SilenceCountsFromWhatWasSent)
{
    CHECK(judgeAfter(250ms, { 5000, false, 30s }) == PeerState::WindowClosed);
    CHECK(judgeAfter(250ms, { 5000, true, 30s }) == PeerState::Answering);
}

// Guards against a second send while the target takes the request in: what it takes has to show.
TEST(PeerLiveness, TellsWhenThePeerLastTookBytes)
{
    judgeAfter(250ms, { 5000, false, 0ms });
    CHECK_FALSE(this->liveness.lastTakenAt().has_value());
    judgeAfter(250ms, { 4000, false, 0ms });
    const TimePoint taken = this->now;
    judgeAfter(250ms, { 4000, false, 0ms });
    CHECK(this->liveness.lastTakenAt() == taken);
}
