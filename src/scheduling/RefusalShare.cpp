// Counts decisions by rank, with an exponential decay.
#include "scheduling/RefusalShare.h"

#include <cmath>

namespace guavapond::edge {

namespace {

constexpr double halfLifeSeconds = 0.5; // a burst shows within its first second
constexpr size_t maxRanks = 64;         // more than any deployment's priorities
constexpr size_t maxWorkspaces = 10000; // of all ranks, whose decisions are remembered
constexpr double priorDecisions = 1;    // that were no refusals: one refusal alone says little
constexpr double rankDecisions = 4;     // of the rank that count among those of a workspace

double decay(TimePoint since, TimePoint now) { return std::exp2(-toSeconds(now - since) / halfLifeSeconds); }

} // namespace

void RefusalShare::onDecided(const Rank& rank, uint64_t workspace, bool isRefused, TimePoint now)
{
    if (this->byRank.size() >= maxRanks && !this->byRank.contains(rank))
        this->byRank.clear();
    count(this->byRank[rank], isRefused, now);
    if (workspace == 0)
        return;
    if (this->byWorkspace.size() >= maxWorkspaces && !this->byWorkspace.contains({ rank, workspace }))
        this->byWorkspace.clear();
    count(this->byWorkspace[{ rank, workspace }], isRefused, now);
}

void RefusalShare::count(Counts& counts, bool isRefused, TimePoint now)
{
    const double kept = decay(counts.at, now);
    counts.decided = counts.decided * kept + 1;
    counts.refused = counts.refused * kept + (isRefused ? 1 : 0);
    counts.at = now;
}

double RefusalShare::share(const Rank& rank, TimePoint now) const
{
    const auto found = this->byRank.find(rank);
    if (found == this->byRank.end())
        return 0;
    const double kept = decay(found->second.at, now);
    return found->second.refused * kept / (found->second.decided * kept + priorDecisions);
}

double RefusalShare::share(const Rank& rank, uint64_t workspace, TimePoint now) const
{
    const double ofRank = this->share(rank, now);
    const auto found = this->byWorkspace.find({ rank, workspace });
    if (found == this->byWorkspace.end())
        return ofRank;
    const double kept = decay(found->second.at, now);
    return (found->second.refused * kept + rankDecisions * ofRank) / (found->second.decided * kept + rankDecisions);
}

} // namespace guavapond::edge
