// When a copy is read again.
#include "edge/SharedCopy.h"

#include <algorithm>

namespace guavapond::edge {

void SharedCopy::setDigest(uint64_t value)
{
    this->digest = value;
    if (this->differs() && value == this->differingDigest)
        this->equalAt = this->differingProvedAt;
}

void SharedCopy::wasRead(TimePoint started, TimePoint now)
{
    this->equalAt = std::max(this->equalAt.value_or(started), started);
    this->triedAt = now;
    this->failing = false;
}

void SharedCopy::readFailed(TimePoint now)
{
    this->triedAt = now;
    this->failing = true;
}

bool SharedCopy::peerReports(const CopyReport& report, TimePoint askedAt, TimePoint now)
{
    if (!report.age || askedAt == TimePoint {} || askedAt > now)
        return false;
    const TimePoint peerProvedAt = askedAt - *report.age;
    const bool isEqual = report.digest == this->digest;
    const bool differed = this->differs();
    std::optional<TimePoint>& latest = isEqual ? this->equalAt : this->differingProvedAt;
    if (!isEqual && (!latest || peerProvedAt >= *latest))
        this->differingDigest = report.digest;
    latest = std::max(latest.value_or(peerProvedAt), peerProvedAt);
    if (!differed && this->differs())
        this->differsSince = now;
    return isEqual;
}

std::optional<TimePoint> SharedCopy::lastKnownReadAt() const
{
    return this->equalAt && this->differingProvedAt ? std::max(*this->equalAt, *this->differingProvedAt)
        : this->equalAt                             ? this->equalAt
                                                    : this->differingProvedAt;
}

TimePoint SharedCopy::readDueAt(const ReadOrder& order) const
{
    if (!this->triedAt)
        return {};
    const Duration share = this->settings.retryIntervalPerNode * static_cast<int64_t>(order.nodes);
    const TimePoint soonest = *this->triedAt + std::max(this->settings.retryInterval, share);
    if (!this->equalAt)
        return soonest;
    if (this->differs())
        return this->differsSince ? std::max(soonest, *this->differsSince + this->settings.peerFetchTime) : soonest;
    const auto place = static_cast<int64_t>(order.place);
    const Duration wait = place == 0 ? Duration::zero()
                                     : std::min(order.propagationDelay, this->settings.maxPropagationDelay)
            + std::min<Duration>(this->settings.delayPerPlace * place, this->settings.maxPlaceDelay);
    const TimePoint due = *this->equalAt + this->settings.interval + wait;
    if (!this->failing)
        return std::max(due, soonest);
    // A node that the store turns away goes on trying, so that it notices its return.
    const TimePoint relaxed = *this->triedAt + this->settings.currentRetryInterval;
    return std::max(soonest, std::min(due, relaxed));
}

CopyReport SharedCopy::report(TimePoint now) const
{
    return { this->digest, this->equalAt ? std::optional<Duration>(now - *this->equalAt) : std::nullopt };
}

} // namespace guavapond::edge
