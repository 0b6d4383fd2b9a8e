// Times and transitions of a planned stop.
#include "edge/StopSequence.h"

#include <algorithm>
#include <array>

namespace guavapond::edge {

namespace {

// The load balancer checks a node once a second, and removes it after two failed checks.
constexpr Duration balancerRemovalTime = std::chrono::milliseconds(3200);
// Until shortly before that, refusing a request would send its caller back to a balancer that may choose this node again.
constexpr Duration admitAllTime = std::chrono::milliseconds(2700);

// Before the end of the grace; a short grace is shared out in proportion.
constexpr Duration answerMargin = std::chrono::milliseconds(400); // answers that are due at once still have to be sent
constexpr Duration closeMargin = std::chrono::milliseconds(200);  // a call to the store, which answers in milliseconds
constexpr Duration endMargin = std::chrono::milliseconds(50);     // timers are late
constexpr int answerFraction = 4;
constexpr int closeFraction = 8;
constexpr int endFraction = 32;

} // namespace

std::string_view stopPhaseName(StopPhase phase)
{
    static constexpr std::array<std::string_view, 6> names { "serving", "announcing", "draining", "closing", "leaving", "ended" };
    return names.at(static_cast<size_t>(phase));
}

void StopSequence::begin(Duration grace, TimePoint now)
{
    if (this->isStopping())
        return;
    this->current = StopPhase::Announcing;
    this->begunAt = now;
    StopBounds bounds;
    bounds.answerBy = now + grace - std::min(answerMargin, grace / answerFraction);
    bounds.closeBy = now + grace - std::min(closeMargin, grace / closeFraction);
    bounds.endBy = now + grace - std::min(endMargin, grace / endFraction);
    bounds.drainFrom = std::min(now + balancerRemovalTime, bounds.answerBy);
    bounds.admitAllUntil = std::min(now + admitAllTime, bounds.answerBy);
    this->times = bounds;
}

bool StopSequence::isOver(const NodeLoad& load, TimePoint now) const
{
    switch (this->current) {
    case StopPhase::Serving:
    case StopPhase::Ended:
        return false;
    case StopPhase::Announcing:
        return now >= this->times->drainFrom;
    case StopPhase::Draining:
        return now >= this->times->answerBy || (load.requests == 0 && load.connections == 0);
    case StopPhase::Closing:
        return now >= this->times->closeBy || (load.requests == 0 && load.connections == 0);
    case StopPhase::Leaving:
        return now >= this->times->endBy || this->isEntryRemoved;
    }
    return false;
}

bool StopSequence::advance(const NodeLoad& load, TimePoint now)
{
    if (!this->isOver(load, now))
        return false;
    this->current = static_cast<StopPhase>(static_cast<uint8_t>(this->current) + 1);
    return true;
}

void StopSequence::entryRemoved()
{
    if (this->current == StopPhase::Leaving)
        this->isEntryRemoved = true;
}

} // namespace guavapond::edge
