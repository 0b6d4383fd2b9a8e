// Rendezvous hashing of nodes: which node is the home of a group of targets, and the rank of the others.
//
// Index
//   groupHash   of a service's targets in a failure domain
//   scoreOf     score of a node for a group; the node with the highest is the home
#pragma once

#include "scheduling/WorkspaceQuota.h"

namespace guavapond::edge {

// Finalizer of splitmix64: distributes the bits of combined hashes evenly.
inline uint64_t mixBits(uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

inline uint64_t groupHash(uint64_t service, const std::string& group) { return mixBits(service ^ nameHash(group)); }

inline uint64_t scoreOf(uint64_t groupHash, const std::string& node) { return mixBits(groupHash ^ nameHash(node)); }

} // namespace guavapond::edge
