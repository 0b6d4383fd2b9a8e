// State transitions of a request and the names of outcomes and steps for logs and metrics.
#include "scheduling/RequestLife.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace guavapond::edge {

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    static constexpr std::array<std::string_view, attemptOutcomeCount> names { "not_sent", "declined", "moved", "failed", "broken",
        "invalid", "silent" };
    return names.at(static_cast<size_t>(outcome));
}

std::string_view nextStepName(NextStep step)
{
    static constexpr std::array<std::string_view, 5> names { "send_elsewhere", "pass_failure_on", "answer_not_run", "answer_unknown",
        "cut_off" };
    return names.at(static_cast<size_t>(step));
}

RequestLife::RequestLife(const Route& route, std::optional<Duration> callerLimit, TimePoint arrival)
    : arrivedAt(arrival)
    , deadlineAt(arrival + std::min(route.timeout, callerLimit.value_or(route.timeout)))
    , maxTargets(std::max(route.maxTargets, 1U))
    , mayRepeat(route.mayRepeat())
{
}

void RequestLife::sent()
{
    assert(this->current == RequestState::Waiting || this->current == RequestState::Answering);
    if (this->current == RequestState::Waiting)
        this->current = RequestState::Sent;
    ++this->sendCount;
}

void RequestLife::answerBegan(bool resumable)
{
    assert(this->current == RequestState::Sent || this->current == RequestState::Answering);
    this->current = RequestState::Answering;
    this->mayRepeat = this->mayRepeat && resumable;
}

void RequestLife::ended() { this->current = RequestState::Ended; }

bool RequestLife::allowsRetry(TimePoint now) const
{
    return now < this->deadlineAt && this->sendCount < maxSends && this->deliveries < this->maxTargets;
}

NextStep RequestLife::finalStep() const
{
    if (this->current == RequestState::Answering)
        return NextStep::AbortAnswer;
    return this->possiblyRan ? NextStep::AnswerUnknown : NextStep::AnswerNotRun;
}

NextStep RequestLife::attemptEnded(AttemptOutcome outcome, const std::function<bool()>& takeRetry, TimePoint now)
{
    assert(this->current == RequestState::Sent || this->current == RequestState::Answering);
    const bool delivered = outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::Moved;
    const bool hasNotRun = !delivered || outcome == AttemptOutcome::Declined;
    if (delivered)
        ++this->deliveries;
    if (!hasNotRun)
        this->possiblyRan = true;
    const bool allowed = (hasNotRun || this->mayRepeat) && this->allowsRetry(now);
    // While no send has reached a target, a further send is still the first delivery and takes no retry from the budget.
    if (allowed && (this->deliveries == 0 || takeRetry())) {
        if (this->current == RequestState::Sent)
            this->current = RequestState::Waiting;
        return NextStep::SendElsewhere;
    }
    const bool isFailure = outcome == AttemptOutcome::Failed && this->current == RequestState::Sent;
    if (this->current == RequestState::Sent)
        this->current = RequestState::Waiting; // mayHaveRun() tells what the send may have led to
    return isFailure ? NextStep::ForwardFailure : this->finalStep();
}

NextStep RequestLife::onDeadline() const
{
    if (this->current == RequestState::Sent)
        return NextStep::AnswerUnknown;
    return this->finalStep();
}

NextStep RequestLife::onNoTarget() const { return this->finalStep(); }

} // namespace guavapond::edge
