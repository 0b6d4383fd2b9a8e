// Applies the checks of TargetPool::choose to each target and names the one that fails.
#include "scheduling/TargetCandidates.h"

#include <array>

namespace guavapond::edge {

std::string_view targetExclusionName(TargetExclusion exclusion)
{
    static constexpr std::array<std::string_view, 11> names { "none", "leaving", "evacuated", "other_domain", "other_version", "paused",
        "probation", "stalled", "full", "rate", "brittle" };
    return names.at(static_cast<size_t>(exclusion));
}

TargetExclusion TargetPool::exclusion(const Target& target, const Demand& demand, TimePoint now) const
{
    if (target.leaving)
        return TargetExclusion::Leaving;
    if (target.evacuated)
        return TargetExclusion::Evacuated;
    if (!demand.onlyDomain.empty() && target.info.failureDomain != demand.onlyDomain)
        return TargetExclusion::OtherDomain;
    if ((!demand.onlyVersion.empty() && target.info.version != demand.onlyVersion)
        || (!demand.notVersion.empty() && target.info.version == demand.notVersion))
        return TargetExclusion::OtherVersion;
    if (isPaused(target, now))
        return TargetExclusion::Paused;
    if (this->isStalled(target, now))
        return TargetExclusion::Stalled;
    if (!this->isUsable(target, demand, now))
        return TargetExclusion::Probation;
    const Load load = this->load(target, now);
    if (!this->hasCapacity(target, load, demand, now))
        return target.brittle.isSet(now) && load.running < target.info.slots ? TargetExclusion::Brittle : TargetExclusion::Full;
    return this->hasRateRoom(target, now) ? TargetExclusion::None : TargetExclusion::Rate;
}

std::vector<TargetCandidate> TargetPool::candidates(const Demand& demand, TimePoint now) const
{
    std::vector<TargetCandidate> result;
    for (Index i = 0; i < this->targets.size(); ++i) {
        const Target& target = this->targets[i];
        const Load load = this->load(target, now);
        TargetCandidate candidate;
        candidate.target = i;
        candidate.exclusion = this->exclusion(target, demand, now);
        candidate.running = load.running;
        candidate.prefillTokens = load.prefillTokens;
        candidate.cachedTokens = std::min(this->cachedTokens(i, demand, now), demand.promptTokens);
        candidate.firstEvent = this->predictFirst(target, load, demand.promptTokens - candidate.cachedTokens);
        candidate.slotWait = this->slotWait(target, load);
        candidate.scoreMs = this->expectedMs(target, load, demand.promptTokens - candidate.cachedTokens, demand, now);
        result.push_back(candidate);
    }
    return result;
}

} // namespace guavapond::edge
