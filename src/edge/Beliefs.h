// Status page of a node, as JSON for the command line: the configuration and how recently it was known to be current; targets with load,
// speed and health; use of quotas; the other nodes; moves. It shows the state as this node sees it, which may differ between nodes.
//
// Index
//   nodeStatusPage
#pragma once

#include "edge/PeerTable.h"
#include "edge/Relay.h"

namespace guavapond::edge {

std::string nodeStatusPage(const std::string& node, Relay& relay, const PeerTable& peers, TimePoint now, size_t slowCallers = 0);

} // namespace guavapond::edge
