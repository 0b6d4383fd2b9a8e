// Virtual times of workspaces, by rank.
#include "scheduling/WorkspaceTurns.h"

#include <algorithm>
#include <cmath>

namespace guavapond::edge {

namespace {

constexpr size_t maxRanks = 64;    // more than any deployment's priorities
constexpr size_t maxLanes = 10000; // workspaces that are ahead at once; further ones go by their arrival
// Weights come from other nodes. A turn stays a finite number with any that lies between these.
constexpr double minWeight = 1e-3;
constexpr double maxWeight = 1e12;

// 0: none is stated.
double validWeight(double stated) { return std::isfinite(stated) && stated > 0 ? std::clamp(stated, minWeight, maxWeight) : 0; }

} // namespace

WorkspaceTurns::RankTurns& WorkspaceTurns::turnsOf(const Rank& rank)
{
    if (this->byRank.size() >= maxRanks && !this->byRank.contains(rank))
        this->byRank.clear();
    return this->byRank[rank];
}

double WorkspaceTurns::weightOf(const RankTurns& turns, double stated)
{
    if (stated > 0)
        return stated;
    double sum = 0;
    size_t count = 0;
    for (const auto& [workspace, lane] : turns.lanes) {
        sum += lane.weight;
        count += lane.weight > 0 ? 1 : 0;
    }
    return count > 0 ? sum / static_cast<double>(count) : 1;
}

Turn WorkspaceTurns::arrive(const WorkspaceWork& work)
{
    RankTurns& turns = this->turnsOf(work.rank);
    if (turns.lanes.size() >= maxLanes)
        std::erase_if(turns.lanes, [&](const auto& item) { return item.second.next <= turns.now; });
    if (work.workspace == 0 || (turns.lanes.size() >= maxLanes && !turns.lanes.contains(work.workspace)))
        return { turns.now, 0 };
    const double stated = validWeight(work.weight);
    const double weight = weightOf(turns, stated);
    Lane& lane = turns.lanes[work.workspace];
    lane.weight = stated;
    const Turn turn { std::max(lane.next, turns.now), toSeconds(work.slotTime) / weight };
    lane.next = turn.start + turn.charge;
    lane.lastCharge = turn.charge;
    return turn;
}

void WorkspaceTurns::onPlaced(const Rank& rank, const Turn& turn)
{
    RankTurns& turns = this->turnsOf(rank);
    turns.now = std::max(turns.now, turn.start);
}

void WorkspaceTurns::giveBack(const Rank& rank, uint64_t workspace, const Turn& turn)
{
    const auto turns = this->byRank.find(rank);
    if (turns == this->byRank.end())
        return;
    if (const auto lane = turns->second.lanes.find(workspace); lane != turns->second.lanes.end())
        lane->second.next = std::max(lane->second.next - turn.charge, 0.0);
}

size_t WorkspaceTurns::aheadCount() const
{
    size_t count = 0;
    for (const auto& [rank, turns] : this->byRank) {
        const auto isAhead = [now = turns.now](const auto& item) { return item.second.next > now + item.second.lastCharge; };
        count += static_cast<size_t>(std::ranges::count_if(turns.lanes, isAhead));
    }
    return count;
}

} // namespace guavapond::edge
