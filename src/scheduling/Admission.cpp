// Order and expiry of the wait queue, and the limits and Retry-After of admission control.
#include "scheduling/Admission.h"

#include <algorithm>

namespace guavapond::edge {

namespace {

constexpr double fullOccupancy = 1.0; // all slots in use; beyond it Retry-After grows
constexpr double maxStretch = 3.0;    // limit of the factor by which load raises the minimum Retry-After
// Shares of refused requests between which return times rise from the shortest to the longest. Below the first, a retry that comes soon
// is mostly served; above the second, mostly refused.
constexpr double soonReturnShare = 0.6;
constexpr double lateReturnShare = 0.9;
constexpr double earliestLateReturn = 0.75; // of the time that a caller heeds

} // namespace

WaitKey WaitQueue::add(const Rank& rank, TimePoint giveUpAt, double turn)
{
    const WaitKey key { rank, turn, this->nextTicket++ };
    this->waiting[key] = giveUpAt;
    return key;
}

std::vector<WaitKey> WaitQueue::expired(TimePoint now) const
{
    std::vector<WaitKey> result;
    for (const auto& [key, giveUpAt] : this->waiting) {
        if (giveUpAt <= now)
            result.push_back(key);
    }
    return result;
}

std::vector<WaitKey> WaitQueue::first(size_t count) const
{
    std::vector<WaitKey> result;
    for (const auto& item : this->waiting) {
        if (result.size() == count)
            break;
        result.push_back(item.first);
    }
    return result;
}

size_t WaitQueue::ahead(const WaitKey& key) const
{
    return static_cast<size_t>(std::distance(this->waiting.begin(), this->waiting.lower_bound(key)));
}

bool WaitQueue::isFirstOfRank(const WaitKey& key) const
{
    const auto first = this->waiting.lower_bound({ key.rank, 0, 0 });
    return first != this->waiting.end() && first->first == key;
}

Duration maxWait(const AdmissionSettings& settings, Duration objective)
{
    return std::chrono::duration_cast<Duration>(objective * settings.maxWaitFraction);
}

Duration firstEventBound(const AdmissionSettings& settings, Duration objective)
{
    return std::chrono::duration_cast<Duration>(objective * settings.maxFirstEventFactor);
}

Duration retryAfter(const AdmissionSettings& settings, double occupancy, double random)
{
    const double stretch = std::clamp(occupancy / fullOccupancy, 1.0, maxStretch);
    const auto minimum = std::chrono::duration_cast<Duration>(settings.minRetryAfter * stretch);
    return minimum + std::chrono::duration_cast<Duration>(settings.retryAfterJitter * random);
}

Duration returnDelay(const AdmissionSettings& settings, const ReturnInput& input)
{
    const Duration soon = retryAfter(settings, input.occupancy, input.random);
    const double spread = earliestLateReturn + (1 - earliestLateReturn) * input.random;
    const Duration late = std::chrono::duration_cast<Duration>(std::max(input.left, Duration::zero()) * settings.heededShare * spread);
    const double part = std::clamp((input.refusedShare - soonReturnShare) / (lateReturnShare - soonReturnShare), 0.0, 1.0);
    return std::max(soon, soon + std::chrono::duration_cast<Duration>((late - soon) * part));
}

} // namespace guavapond::edge
