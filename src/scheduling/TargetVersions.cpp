// What a move to a new version has to know of a service's targets.
#include "scheduling/TargetPool.h"

#include <algorithm>

namespace guavapond::edge {

bool TargetPool::hasVersion(std::string_view version) const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [&](const Target& t) { return isOpen(t) && t.info.version == version; });
}

uint64_t TargetPool::inFlightOutside(std::string_view version) const
{
    uint64_t count = 0;
    for (const Target& target : this->targets)
        count += target.info.version == version ? 0 : target.running;
    return count;
}

void TargetPool::addTargetsOf(std::string_view version, std::vector<uint64_t>& hashes) const
{
    for (const Target& target : this->targets) {
        if (isOpen(target) && target.info.version == version)
            hashes.push_back(target.hash);
    }
}

TargetPool::LoadedTargets TargetPool::loadedTargets(std::string_view version, TimePoint now) const
{
    std::map<std::string_view, const Target*> loaded; // by group; the lowest hash, so that nodes need not agree on it
    const auto isCandidate
        = [&](const Target& target) { return target.info.version == version && isOpen(target) && !isPaused(target, now); };
    size_t candidates = 0;
    for (const Target& target : this->targets) {
        if (!isCandidate(target))
            continue;
        ++candidates;
        const Target*& lowest = loaded[this->grouped ? std::string_view(target.info.failureDomain) : std::string_view()];
        if (!lowest || target.hash < lowest->hash)
            lowest = &target;
    }
    LoadedTargets result;
    if (loaded.empty())
        return result;
    result.targetsPerLoaded = static_cast<double>(candidates) / static_cast<double>(loaded.size());
    for (const Target& target : this->targets) {
        const bool isLoaded = std::any_of(loaded.begin(), loaded.end(), [&](const auto& item) { return item.second == &target; });
        if (target.info.version == version && !target.leaving && !isLoaded)
            result.notLoaded.push_back(target.hash);
    }
    return result;
}

} // namespace guavapond::edge
