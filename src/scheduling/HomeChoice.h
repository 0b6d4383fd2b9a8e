// Chooses the home of a group of targets among the nodes, and ranks the nodes for shares of what homes grant together. Both follow from
// one order: what a machine can bear comes first, in classes that differ by a factor of two, then the score of rendezvous hashing. All
// nodes that know the same members choose the same home, without messages. Where all machines are alike, the hash alone decides.
//
// A home receives a message for each request and each change of load of its group. On a small link these wait behind the requests of the
// node's own callers, just when a burst makes the home's answers urgent.
//
// A node of an earlier build tells nothing of its machine and chooses by the hash alone. As long as any candidate tells nothing, all do,
// so nodes of both builds choose the same home while machines are replaced one after the other.
//
// Index
//   HomeNode        a node that may be a home
//   homeCapacity    what a machine can bear as a home
//   chooseHome      the home of a group
//   homeRank        a node's place among those that may grant for a group
//   ranksBefore     order of two nodes that are known to tell their capacity, or both not to
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace guavapond::edge {

struct MachineSettings {
    double cores = 0;    // that the process may use; 0: not known
    double linkMbps = 0; // of the machine's link; 0: not known
};

struct HomeNode {
    std::string name;
    std::string failureDomain; // empty: not known yet
    bool isReachable = true;   // false: it is not heard, or reaches no target; it is no home
    bool isStarting = false;   // it has not heard its peers for long enough to grant places within request limits
    uint32_t homeCapacity = 0; // see homeCapacity(); 0: it tells none. A process never changes it
    bool wasHeard = true;      // false: only the store's list names it
    bool operator==(const HomeNode&) const = default;
};

uint32_t homeCapacity(const MachineSettings& machine); // messages a second; 0: nothing is known of the machine

// `isUsable`: whether the choosing node can reach the candidate. Null: no node is usable. An empty `group` holds all domains.
const HomeNode* chooseHome(
    std::span<const HomeNode> nodes, uint64_t groupHash, const std::string& group, const std::function<bool(const HomeNode&)>& isUsable);

// Number of nodes that come before `self`, reachable or not. What a node does not know of another only ever raises its own rank, so the
// shares that go by it never add up to more than those of different ranks.
size_t homeRank(std::span<const HomeNode> nodes, const HomeNode& self, uint64_t groupHash, const std::string& group);

bool ranksBefore(const HomeNode& a, const HomeNode& b, uint64_t groupHash, bool byCapacity);
bool isRankedByCapacity(std::span<const HomeNode> nodes, const std::string& group); // all nodes of the group tell their capacity

} // namespace guavapond::edge
