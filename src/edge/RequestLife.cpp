// Transitions of a request.
#include "edge/RequestLife.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace guavapond::edge {

std::string_view runEndName(RunEnd end)
{
    static constexpr std::array<std::string_view, runEndCount> names { "not_sent", "declined", "moved", "failed", "broken", "invalid",
        "silent" };
    return names.at(static_cast<size_t>(end));
}

std::string_view nextStepName(NextStep step)
{
    static constexpr std::array<std::string_view, 5> names { "send_elsewhere", "pass_failure_on", "answer_not_run", "answer_unknown",
        "cut_off" };
    return names.at(static_cast<size_t>(step));
}

RequestLife::RequestLife(const Route& route, std::optional<Duration> callerLimit, TimePoint arrival)
    : arrived(arrival)
    , dueAt(arrival + std::min(route.timeout, callerLimit.value_or(route.timeout)))
    , maxTargets(std::max(route.maxTargets, 1U))
    , mayRepeat(route.mayRepeat())
{
}

void RequestLife::sent()
{
    assert(this->current == LifeState::Waiting || this->current == LifeState::Answering);
    if (this->current == LifeState::Waiting)
        this->current = LifeState::Sent;
    ++this->sendCount;
}

void RequestLife::answerBegan(bool goesOnElsewhere)
{
    assert(this->current == LifeState::Sent || this->current == LifeState::Answering);
    this->current = LifeState::Answering;
    this->mayRepeat = this->mayRepeat && goesOnElsewhere;
}

void RequestLife::ended() { this->current = LifeState::Ended; }

bool RequestLife::allowsFurtherTarget(TimePoint now) const
{
    return now < this->dueAt && this->sendCount < maxSends && this->arrivals < this->maxTargets;
}

NextStep RequestLife::giveUp() const
{
    if (this->current == LifeState::Answering)
        return NextStep::CutOff;
    return this->unknownRun ? NextStep::AnswerUnknown : NextStep::AnswerNotRun;
}

NextStep RequestLife::runEnded(RunEnd end, const std::function<bool()>& takeSecondTry, TimePoint now)
{
    assert(this->current == LifeState::Sent || this->current == LifeState::Answering);
    const bool arrived = end != RunEnd::NotSent && end != RunEnd::Moved;
    const bool hasNotRun = !arrived || end == RunEnd::Declined;
    if (arrived)
        ++this->arrivals;
    if (!hasNotRun)
        this->unknownRun = true;
    const bool allowed = (hasNotRun || this->mayRepeat) && this->allowsFurtherTarget(now);
    // A send that reached nobody costs no second try: its successor is the first arrival.
    if (allowed && (this->arrivals == 0 || takeSecondTry())) {
        if (this->current == LifeState::Sent)
            this->current = LifeState::Waiting;
        return NextStep::SendElsewhere;
    }
    if (end == RunEnd::Failed && this->current == LifeState::Sent)
        return NextStep::PassFailureOn;
    return this->giveUp();
}

NextStep RequestLife::onDue() const
{
    if (this->current == LifeState::Sent)
        return NextStep::AnswerUnknown;
    return this->giveUp();
}

NextStep RequestLife::onNoTarget() const { return this->giveUp(); }

} // namespace guavapond::edge
