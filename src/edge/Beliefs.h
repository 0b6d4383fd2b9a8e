// What a node believes, as JSON for the command line: configuration with the age of its proof, targets with load, speed and health,
// use of quotas, other nodes, moves.
//
// Index
//   beliefsPage
#pragma once

#include "edge/PeerTable.h"
#include "edge/Relay.h"

namespace guavapond::edge {

std::string nodeStatusPage(const std::string& node, Relay& relay, const PeerTable& peers, TimePoint now);

} // namespace guavapond::edge
