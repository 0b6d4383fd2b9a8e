// Tests of the state machine of a request: what may follow each end of a run, and what a caller may be told.
#include "edge/RequestLife.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {};

Route route(RouteKind kind, bool resumable, uint32_t maxTargets)
{
    Route result;
    result.kind = kind;
    result.resumable = resumable;
    result.maxTargets = maxTargets;
    result.timeout = 2s;
    return result;
}

bool allow() { return true; }
bool deny() { return false; }

struct Row {
    const char* name;
    RouteKind kind;
    bool resumable;
    uint32_t maxTargets;
    bool answerBegan;
    AttemptOutcome end;
    bool budget;
    NextStep expected;
};

constexpr RouteKind idempotent = RouteKind::Idempotent;
constexpr RouteKind once = RouteKind::NonIdempotent;
constexpr RouteKind stream = RouteKind::Streaming;

} // namespace

TEST_GROUP(RequestLife) {};

// Guards against a second run of work that must not repeat, and against "not run" for work that may have run.
TEST(RequestLife, FollowsTheTable)
{
    const Row rows[] = {
        { "non-idempotent, never sent", once, false, 1, false, AttemptOutcome::NotSent, true, NextStep::SendElsewhere },
        { "non-idempotent, never sent, no budget: costs none", once, false, 1, false, AttemptOutcome::NotSent, false,
            NextStep::SendElsewhere },
        { "non-idempotent, address moved", once, false, 1, false, AttemptOutcome::Moved, false, NextStep::SendElsewhere },
        { "non-idempotent, declined, one target only", once, false, 1, false, AttemptOutcome::Declined, true, NextStep::AnswerNotRun },
        { "non-idempotent, declined, a second target", once, false, 2, false, AttemptOutcome::Declined, true, NextStep::SendElsewhere },
        { "non-idempotent, declined, no budget", once, false, 2, false, AttemptOutcome::Declined, false, NextStep::AnswerNotRun },
        { "non-idempotent, broken", once, false, 3, false, AttemptOutcome::Broken, true, NextStep::AnswerUnknown },
        { "non-idempotent, invalid answer", once, false, 3, false, AttemptOutcome::Invalid, true, NextStep::AnswerUnknown },
        { "non-idempotent, failed", once, false, 3, false, AttemptOutcome::Failed, true, NextStep::ForwardFailure },
        { "idempotent, broken", idempotent, false, 2, false, AttemptOutcome::Broken, true, NextStep::SendElsewhere },
        { "idempotent, broken, no budget", idempotent, false, 2, false, AttemptOutcome::Broken, false, NextStep::AnswerUnknown },
        { "idempotent, broken, one target only", idempotent, false, 1, false, AttemptOutcome::Broken, true, NextStep::AnswerUnknown },
        { "idempotent, failed", idempotent, false, 2, false, AttemptOutcome::Failed, true, NextStep::SendElsewhere },
        { "idempotent, failed, no budget", idempotent, false, 2, false, AttemptOutcome::Failed, false, NextStep::ForwardFailure },
        { "idempotent, silent", idempotent, false, 2, false, AttemptOutcome::Silent, true, NextStep::SendElsewhere },
        { "stream, broken before its first event", stream, false, 2, false, AttemptOutcome::Broken, true, NextStep::AnswerUnknown },
        { "stream, broken midway", stream, false, 2, true, AttemptOutcome::Broken, true, NextStep::AbortAnswer },
        { "resumable stream, broken midway", stream, true, 2, true, AttemptOutcome::Broken, true, NextStep::SendElsewhere },
        { "resumable stream, broken midway, no budget", stream, true, 2, true, AttemptOutcome::Broken, false, NextStep::AbortAnswer },
        { "resumable stream, failed when it goes on", stream, true, 1, true, AttemptOutcome::Failed, true, NextStep::AbortAnswer },
        { "resumable stream, declined when it goes on", stream, true, 1, true, AttemptOutcome::Declined, true, NextStep::AbortAnswer },
    };
    for (const Row& row : rows) {
        RequestLife life(route(row.kind, row.resumable, row.maxTargets), std::nullopt, start);
        life.sent();
        if (row.answerBegan)
            life.answerBegan(true);
        CHECK_TEXT(life.attemptEnded(row.end, row.budget ? allow : deny, start + 10ms) == row.expected, row.name);
    }
}

// Guards against a refusal that says "not run" after an earlier send may have run.
TEST(RequestLife, NeverSaysNotRunAfterAnUnknownRun)
{
    RequestLife life(route(idempotent, false, 3), std::nullopt, start);
    life.sent();
    CHECK(life.attemptEnded(AttemptOutcome::Broken, allow, start + 1ms) == NextStep::SendElsewhere);
    life.sent();
    CHECK(life.attemptEnded(AttemptOutcome::NotSent, allow, start + 2ms) == NextStep::SendElsewhere);
    CHECK(life.onNoTarget() == NextStep::AnswerUnknown);
    CHECK(life.onDeadline() == NextStep::AnswerUnknown);
}

// Guards against a further send after the route's timeout or the caller's own limit.
TEST(RequestLife, SendsNothingAfterItIsDue)
{
    RequestLife life(route(idempotent, false, 3), 300ms, start);
    CHECK(life.deadline() == start + 300ms);
    life.sent();
    CHECK(life.attemptEnded(AttemptOutcome::Declined, allow, start + 300ms) == NextStep::AnswerNotRun);
}

// Guards against an endless round over targets that all refuse connections.
TEST(RequestLife, BoundsSendsThatReachNobody)
{
    RequestLife life(route(once, false, 1), std::nullopt, start);
    uint32_t sends = 0;
    NextStep step = NextStep::SendElsewhere;
    while (step == NextStep::SendElsewhere) {
        life.sent();
        ++sends;
        step = life.attemptEnded(AttemptOutcome::NotSent, allow, start);
    }
    LONGS_EQUAL(RequestLife::maxSends, sends);
    CHECK(step == NextStep::AnswerNotRun);
}

// Guards against "not run" at the timeout of a request that a target has.
TEST(RequestLife, TimeoutOfARequestUnderWayIsUnknown)
{
    RequestLife waiting(route(once, false, 1), std::nullopt, start);
    CHECK(waiting.onDeadline() == NextStep::AnswerNotRun);
    RequestLife sent(route(once, false, 1), std::nullopt, start);
    sent.sent();
    CHECK(sent.onDeadline() == NextStep::AnswerUnknown);
    RequestLife answering(route(stream, false, 1), std::nullopt, start);
    answering.sent();
    answering.answerBegan(true);
    CHECK(answering.onDeadline() == NextStep::AbortAnswer);
}

// Guards against a second answer that is joined to the first part of one that can't be continued.
TEST(RequestLife, CutsOffWhatCannotBeContinued)
{
    RequestLife life(route(idempotent, false, 3), std::nullopt, start);
    life.sent();
    life.answerBegan(false);
    CHECK(life.attemptEnded(AttemptOutcome::Broken, allow, start) == NextStep::AbortAnswer);
}
