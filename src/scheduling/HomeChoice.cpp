// Order of nodes by the class of their machine and by rendezvous hashing.
#include "scheduling/HomeChoice.h"

#include "scheduling/Rendezvous.h"

#include <algorithm>
#include <bit>

namespace guavapond::edge {

namespace {

constexpr double messagesPerCore = 50'000; // 20 us to decode, decide and encode one
constexpr double messagesPerMbit = 500;    // 250 bytes, with the headers of the datagram

bool isInGroup(const HomeNode& node, const std::string& group) { return group.empty() || node.failureDomain == group; }

// A node whose domain is not known yet counts as one of each group.
bool mayBeInGroup(const HomeNode& node, const std::string& group) { return node.failureDomain.empty() || isInGroup(node, group); }

int machineClass(const HomeNode& node) { return std::bit_width(node.homeCapacity); }

// One pass, since a node chooses homes for each message: the first by the hash and the first by the machine are found together. Whether a
// node is a candidate takes a look-up by its name, so it is asked only of nodes that would change the result.
const HomeNode* best(std::span<const HomeNode> nodes, uint64_t groupHash, const std::function<bool(const HomeNode&)>& isCandidate)
{
    const HomeNode* byHash = nullptr;
    const HomeNode* byMachine = nullptr;
    uint64_t hashScore = 0;
    uint64_t machineScore = 0;
    bool allTell = true;
    for (const HomeNode& node : nodes) {
        const uint64_t score = scoreOf(groupHash, node.name);
        const int difference = byMachine ? machineClass(node) - machineClass(*byMachine) : 1;
        const bool isFirstByHash = !byHash || score > hashScore;
        const bool isFirstByMachine = difference > 0 || (difference == 0 && score > machineScore);
        const bool tells = node.homeCapacity > 0;
        if ((!isFirstByHash && !isFirstByMachine && (tells || !allTell)) || !isCandidate(node))
            continue;
        allTell = allTell && tells;
        if (isFirstByHash) {
            byHash = &node;
            hashScore = score;
        }
        if (isFirstByMachine) {
            byMachine = &node;
            machineScore = score;
        }
    }
    return allTell ? byMachine : byHash;
}

size_t rankBy(std::span<const HomeNode> nodes, const HomeNode& self, uint64_t groupHash, const std::string& group, bool byCapacity)
{
    const bool isSelfInGroup = mayBeInGroup(self, group);
    return static_cast<size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const HomeNode& node) {
        if (node.name == self.name || node.isStarting)
            return false;
        if (mayBeInGroup(node, group) != isSelfInGroup)
            return !isSelfInGroup;
        // A node that was never heard may not know of this one, and then ranks itself without it.
        const bool isUnknown = !node.wasHeard || (byCapacity && node.homeCapacity == 0);
        return isUnknown || ranksBefore(node, self, groupHash, byCapacity);
    }));
}

} // namespace

uint32_t homeCapacity(const MachineSettings& machine)
{
    const double byCores = machine.cores * messagesPerCore;
    const double byLink = machine.linkMbps * messagesPerMbit;
    const double capacity = byCores > 0 && byLink > 0 ? std::min(byCores, byLink) : std::max(byCores, byLink);
    return capacity <= 0 ? 0 : static_cast<uint32_t>(std::clamp(capacity, 1.0, 4e9));
}

bool ranksBefore(const HomeNode& a, const HomeNode& b, uint64_t groupHash, bool byCapacity)
{
    const int classA = byCapacity ? machineClass(a) : 0;
    const int classB = byCapacity ? machineClass(b) : 0;
    return classA != classB ? classA > classB : scoreOf(groupHash, a.name) > scoreOf(groupHash, b.name);
}

const HomeNode* chooseHome(
    std::span<const HomeNode> nodes, uint64_t groupHash, const std::string& group, const std::function<bool(const HomeNode&)>& isUsable)
{
    // A node that has just started knows little of the load and grants nothing within request limits, so others are preferred.
    for (const bool allowStarting : { false, true }) {
        const HomeNode* found = best(nodes, groupHash,
            [&](const HomeNode& node) { return isInGroup(node, group) && node.isStarting == allowStarting && isUsable(node); });
        if (found)
            return found;
    }
    return best(nodes, groupHash, isUsable); // no node is reachable in the failure domain of the targets
}

bool isRankedByCapacity(std::span<const HomeNode> nodes, const std::string& group)
{
    return std::all_of(
        nodes.begin(), nodes.end(), [&](const HomeNode& node) { return node.homeCapacity > 0 || !mayBeInGroup(node, group); });
}

// A node that is heard and tells no capacity is of an earlier build, and ranks by the hash alone: so do all. One that was never heard may
// be of either build, so the greater of both ranks counts: shares that shrink with the rank stay within their sum.
size_t homeRank(std::span<const HomeNode> nodes, const HomeNode& self, uint64_t groupHash, const std::string& group)
{
    if (isRankedByCapacity(nodes, group))
        return rankBy(nodes, self, groupHash, group, true);
    const size_t byHash = rankBy(nodes, self, groupHash, group, false);
    const bool isAnyUnheard = std::any_of(nodes.begin(), nodes.end(),
        [&](const HomeNode& node) { return node.homeCapacity == 0 && !node.isReachable && mayBeInGroup(node, group); });
    return isAnyUnheard && self.homeCapacity > 0 ? std::max(byHash, rankBy(nodes, self, groupHash, group, true)) : byHash;
}

} // namespace guavapond::edge
