// Counts the targets that failed since the last contact.
#include "scheduling/TargetReach.h"

#include <algorithm>

namespace guavapond::edge {

void TargetReach::onContact(TimePoint now)
{
    this->failures.clear();
    this->since.reset();
    this->contactAt = now;
}

void TargetReach::onFailure(uint64_t target, size_t known, TimePoint now)
{
    std::erase_if(this->failures, [&](const auto& item) { return now - item.second > this->bounds.failureTtl; });
    this->failures[target] = now;
    const size_t needed = std::clamp<size_t>(known, 1, this->bounds.minTargets);
    const bool isJustReached = this->contactAt && now - *this->contactAt < this->bounds.contactTtl;
    if (!this->since && this->failures.size() >= needed && !isJustReached)
        this->since = now;
}

bool TargetReach::isProbeDue(TimePoint now)
{
    if (!this->since || now - this->probedAt < this->bounds.probeInterval)
        return false;
    this->probedAt = now;
    return true;
}

} // namespace guavapond::edge
