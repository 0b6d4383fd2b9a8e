// Explains a choice among the targets of a service: each target with its load, its predicted times and what excludes it. For operators;
// nothing is sent and no state changes.
//
// Index
//   TargetExclusion    why a target can't take a request now
//   TargetCandidate    a target as seen by a request; TargetPool::candidates() lists them
#pragma once

#include "scheduling/TargetPool.h"

namespace guavapond::edge {

enum class TargetExclusion : uint8_t {
    None,
    Leaving,
    Evacuated,
    OtherDomain,  // the group of the request has other targets
    OtherVersion, // a move to a new version allows others
    Paused,       // for failures, or since it asked for it
    Probation,    // only a repeatable request may try it
    Stalled,      // silent for longer than its prompts explain
    Full,         // all slots taken, and the queue is as long as it may be
    Rate,         // no room within a request limit or a warm-up
    Brittle,      // it could turn the request away, and falls over when it turns away too many
};
std::string_view targetExclusionName(TargetExclusion exclusion); // lower_snake_case

struct TargetCandidate {
    TargetPool::Index target = 0;
    TargetExclusion exclusion = TargetExclusion::None;
    uint32_t running = 0;       // requests of all nodes
    uint32_t prefillTokens = 0; // prompt tokens ahead
    uint32_t cachedTokens = 0;  // of the request's prompt
    Duration firstEvent {};     // predicted
    Duration slotWait {};       // predicted wait for a slot, part of firstEvent
    double scoreMs = 0;         // the smallest is chosen; without the random part
};

} // namespace guavapond::edge
