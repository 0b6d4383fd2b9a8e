// Combines the node's own reads and its peers' reports into the proof of a copy, and computes when the next read is due.
#include "edge/SharedCopy.h"

#include <algorithm>

namespace guavapond::edge {

SharedCopySettings copySettingsWithin(Duration bound)
{
    constexpr Duration leastInterval = std::chrono::milliseconds(100);
    constexpr int shareForReads = 2; // of the bound; the rest is for slow answers and a failed read
    SharedCopySettings result;
    const Duration interval = bound / shareForReads - result.maxPropagationDelay - result.maxPlaceDelay;
    result.interval = std::clamp(interval, leastInterval, result.interval);
    return result;
}

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
    const bool differedBefore = this->differs();
    std::optional<TimePoint>& latest = isEqual ? this->equalAt : this->differingProvedAt;
    if (!isEqual && (!latest || peerProvedAt >= *latest))
        this->differingDigest = report.digest;
    latest = std::max(latest.value_or(peerProvedAt), peerProvedAt);
    if (!differedBefore && this->differs())
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
    const Duration sharedInterval = this->settings.retryIntervalPerNode * static_cast<int64_t>(order.nodes);
    const TimePoint earliestRetry = *this->triedAt + std::max(this->settings.retryInterval, sharedInterval);
    if (!this->equalAt)
        return earliestRetry;
    if (this->differs())
        return this->differsSince ? std::max(earliestRetry, *this->differsSince + this->settings.peerFetchTime) : earliestRetry;
    const auto place = static_cast<int64_t>(order.place);
    const Duration extraDelay = place == 0 ? Duration::zero()
                                           : std::min(order.propagationDelay, this->settings.maxPropagationDelay)
            + std::min<Duration>(this->settings.delayPerPlace * place, this->settings.maxPlaceDelay);
    const TimePoint due = *this->equalAt + this->settings.interval + extraDelay;
    if (!this->failing)
        return std::max(due, earliestRetry);
    // While the node's reads fail, it keeps trying even if its peers keep the copy current, so that it notices when the store answers
    // again.
    const TimePoint retryWhileCurrent = *this->triedAt + this->settings.currentRetryInterval;
    return std::max(earliestRetry, std::min(due, retryWhileCurrent));
}

CopyReport SharedCopy::report(TimePoint now) const
{
    return { this->digest, this->equalAt ? std::optional<Duration>(now - *this->equalAt) : std::nullopt };
}

} // namespace guavapond::edge
