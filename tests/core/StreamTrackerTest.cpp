// Guards against crossed, incomplete and doubled answers (P4).
#include "core/StreamTracker.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace guavapond;

namespace {

using Kind = StreamStep::Kind;
constexpr TimePoint start {};
constexpr std::string_view own = "cmpl-gp1.n.0000000000000001.1.w";
constexpr std::string_view other = "cmpl-gp1.n.0000000000000001.2.w";
const Failure lost { FailureKind::TargetFailed, Disposition::Unknown, "connection lost", {} };

StreamTracker tracker(bool resumes) { return { std::string(own), resumes, {}, start }; }

// Forwards tokens 1 to `count`.
StreamTracker trackerAfter(uint64_t count, bool resumes)
{
    StreamTracker stream = tracker(resumes);
    for (uint64_t i = 1; i <= count; ++i)
        CHECK(stream.onToken(0, own, i, start).kind == Kind::Forward);
    return stream;
}

} // namespace

TEST_GROUP(StreamTracker) {};

TEST(StreamTracker, AWholeAnswerFinishesOnce)
{
    StreamTracker stream = trackerAfter(3, false);
    CHECK(stream.onTerminator(0, "", start).kind == Kind::Finish);
    CHECK(stream.ended() && !stream.deadline());
    CHECK(stream.onTerminator(0, "", start).kind == Kind::Drop);
    CHECK(stream.onToken(0, own, 4, start).kind == Kind::Drop);
    CHECK(stream.onFailure(0, lost, true, start).kind == Kind::Drop);
    CHECK(stream.onTime(start + std::chrono::hours(1)).kind == Kind::Drop);
}

// Every way in which a stream can end early, with and without a target that resumes.
TEST(StreamTracker, EarlyEndsResumeWhereTheyCanAndAreCutsOtherwise)
{
    struct Case {
        const char* name;
        StreamStep (*event)(StreamTracker&);
    };
    const Case cases[] = {
        { "gap", [](StreamTracker& s) { return s.onToken(0, own, 4, start); } },
        { "connection lost", [](StreamTracker& s) { return s.onFailure(0, lost, true, start); } },
        { "silent", [](StreamTracker& s) { return s.onTime(start + StreamSettings().betweenTokensTimeout); } },
        { "terminator after another request's token",
            [](StreamTracker& s) {
                CHECK(s.onToken(0, other, 3, start).kind == Kind::Drop);
                return s.onTerminator(0, "", start);
            } },
    };
    for (const Case& c : cases) {
        StreamTracker cutting = trackerAfter(2, false);
        StreamStep step = c.event(cutting);
        CHECK_TEXT(step.kind == Kind::Cut && step.failure->disposition == Disposition::Unknown && cutting.ended(), c.name);
        StreamTracker resuming = trackerAfter(2, true);
        step = c.event(resuming);
        CHECK_TEXT(step.kind == Kind::Resume && step.offset == 2 && resuming.call() == 1, c.name);
        // What the first call still delivers must neither end nor fail the second.
        CHECK(resuming.onTerminator(0, own, start).kind == Kind::Drop);
        CHECK(resuming.onFailure(0, lost, true, start).kind == Kind::Drop);
        CHECK(resuming.onToken(1, own, 2, start).kind == Kind::Drop);
        CHECK(resuming.onToken(1, own, 3, start).kind == Kind::Forward);
        CHECK(resuming.onTerminator(1, "", start).kind == Kind::Finish);
    }
}

// A request that may have been sent is never sent again: without a token there is nothing to resume.
TEST(StreamTracker, NothingIsResumedBeforeTheFirstToken)
{
    StreamTracker silent = tracker(true);
    CHECK(silent.onTime(start + StreamSettings().firstByteTimeout - Duration(1)).kind == Kind::Drop);
    CHECK(silent.onTime(start + StreamSettings().firstByteTimeout).kind == Kind::Cut);
    StreamTracker failed = tracker(true);
    CHECK(failed.onFailure(0, lost, true, start).failure->disposition == Disposition::Unknown);
    StreamTracker unsent = tracker(true);
    CHECK(unsent.onFailure(0, lost, false, start).failure->disposition == Disposition::NotRun);
    StreamTracker terminated = tracker(true);
    CHECK(terminated.onTerminator(0, "", start).kind == Kind::Cut);
    StreamTracker empty = tracker(true);
    CHECK(empty.onTerminator(0, own, start).kind == Kind::Finish); // an answer of no tokens that names its request
}

TEST(StreamTracker, TheTargetsOwnRefusalIsNotResumed)
{
    StreamTracker stream = trackerAfter(1, true);
    StreamStep step = stream.onFailure(0, { FailureKind::TargetFailed, Disposition::Ran, "500", {} }, true, start);
    CHECK(step.kind == Kind::Cut && step.failure->disposition == Disposition::Ran);
}

// A target that fails again and again must not hold the caller for ever.
TEST(StreamTracker, ResumesAreBounded)
{
    StreamTracker stream = trackerAfter(1, true);
    CHECK(stream.onFailure(0, lost, true, start).kind == Kind::Resume);
    CHECK(stream.onFailure(1, lost, false, start).kind == Kind::Resume);
    StreamStep step = stream.onFailure(2, lost, false, start);
    CHECK(step.kind == Kind::Cut && step.failure->disposition == Disposition::Unknown); // unsent resumes prove nothing about the first call
}

// Events that bring no new token of this request must not keep a stalled stream alive.
TEST(StreamTracker, RepeatedAndForeignEventsDoNotExtendTheDeadline)
{
    StreamTracker stream = trackerAfter(2, false);
    TimePoint due = *stream.deadline();
    CHECK(stream.onToken(0, own, 2, due - Duration(1)).kind == Kind::Drop);
    CHECK(stream.onToken(0, own, 1, due - Duration(1)).kind == Kind::Drop);
    CHECK(stream.onToken(0, other, 3, due - Duration(1)).kind == Kind::Drop);
    CHECK(stream.onTerminator(0, other, due - Duration(1)).kind == Kind::Drop);
    UNSIGNED_LONGS_EQUAL(2, stream.foreignEvents());
    CHECK(*stream.deadline() == due);
    CHECK(stream.onTime(due).kind == Kind::Cut);
}

// Streams of random repeats, gaps, foreign events, failures, late events of earlier calls and silence.
TEST(StreamTracker, WhatIsForwardedIsAlwaysAPrefixAndAFinishIsWhole)
{
    int finished = 0;
    int cuts = 0;
    for (uint32_t seed = 0; seed < 3'000; ++seed) {
        std::mt19937 random(seed);
        const uint64_t length = 1 + random() % 6;
        StreamTracker stream = tracker(random() % 2 == 0);
        TimePoint now = start;
        uint64_t forwarded = 0;
        uint64_t next = 1; // what the engine sends next on the present call
        while (!stream.ended()) {
            now += std::chrono::milliseconds(random() % 1000);
            uint32_t call = stream.call();
            StreamStep step;
            uint64_t offset = 0;
            switch (random() % 16) {
            case 0:
                step = stream.onToken(call, other, next, now);
                CHECK(step.kind == Kind::Drop);
                break;
            case 1:
                step = stream.onToken(call, own, offset = random() % next, now);
                break;
            case 2:
                step = stream.onToken(call, own, offset = next + 1, now);
                break;
            case 3:
                step = stream.onFailure(call, lost, random() % 2 == 0, now);
                break;
            case 4:
                step = stream.onTime(now += std::chrono::seconds(random() % 8));
                break;
            case 5:
                step = stream.onTerminator(call - 1, own, now);
                CHECK(step.kind == Kind::Drop);
                break;
            case 6:
                step = stream.onTerminator(call, other, now);
                CHECK(step.kind == Kind::Drop);
                break;
            default:
                step = next <= length ? stream.onToken(call, own, offset = next, now) : stream.onTerminator(call, "", now);
                next += next <= length ? 1 : 0;
            }
            if (step.kind == Kind::Forward) {
                ++forwarded;
                CHECK_EQUAL(forwarded, offset);
            }
            if (step.kind == Kind::Resume)
                next = step.offset + 1;
            if (step.kind == Kind::Finish)
                CHECK_EQUAL(length, forwarded);
            finished += step.kind == Kind::Finish ? 1 : 0;
            cuts += step.kind == Kind::Cut ? 1 : 0;
        }
        CHECK(stream.call() <= StreamSettings().maxResumes);
    }
    CHECK(finished > 300 && cuts > 300);
}
