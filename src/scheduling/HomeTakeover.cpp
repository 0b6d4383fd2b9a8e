// Collects reports for a node that begins to act as home, and bounds what a stand-in grants.
#include "scheduling/HomeTakeover.h"

#include <algorithm>

namespace guavapond::edge {

HomeTakeover::HomeTakeover(const HomeTakeoverSettings& settings)
    : settings(settings)
{
}

void HomeTakeover::setHome(bool isHome, TimePoint now)
{
    if (!isHome)
        this->homeSince.reset();
    else if (!this->homeSince)
        this->homeSince = now;
}

bool HomeTakeover::isCollectionDue(TimePoint now) const
{
    if (!this->collectedAt)
        return true;
    return this->homeSince ? *this->collectedAt < *this->homeSince : now - *this->collectedAt > this->settings.standInInterval;
}

void HomeTakeover::begin(std::set<uint64_t> asked, TimePoint now)
{
    this->collectedAt = now;
    this->outstanding = std::move(asked);
}

bool HomeTakeover::isCollecting(TimePoint now) const
{
    return this->collectedAt && !this->outstanding.empty() && now - *this->collectedAt < this->settings.collectTime;
}

bool HomeTakeover::accept(uint32_t freeSlots, TimePoint now)
{
    if (!this->isStandIn())
        return true;
    if (now - this->intervalAt > this->settings.standInInterval) {
        this->intervalAt = now;
        this->accepted = 0;
    }
    if (this->accepted >= std::max(1.0, freeSlots * this->settings.standInShare))
        return false;
    ++this->accepted;
    return true;
}

} // namespace guavapond::edge
