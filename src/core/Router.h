// Picks the target for a request: the least expected completion time among a bounded number of candidates.
//
// Index
//   RouterSettings, Choice
//   Router    applies version shares, then compares candidates
#pragma once

#include "core/CostModel.h"
#include "core/PrefixIndex.h"
#include "core/TargetSet.h"
#include "core/Types.h"

#include <functional>

namespace guavapond {

struct RouterSettings {
    size_t prefixCandidates = 3;                            // targets with the longest cached prefix
    size_t sampledCandidates = 6;                           // further targets of the model
    Duration remotePenalty = std::chrono::milliseconds(20); // added for a target in another failure domain
};

struct Choice {
    TargetId target {};
    uint32_t cachedTokens = 0; // tokens expected in the target's cache
    Duration engineTime {};    // µs of engine time this request will take there
    Duration completion {};    // µs from now until the last token, running work included
    Duration firstToken {};    // µs from now until the first token
    bool free = true;          // a slot is free now
};

class Router {
public:
    // `random` returns a uniform number below its argument.
    Router(const RouterSettings& settings, TargetSet& targets, PrefixIndex& prefixes, CostModel& costs,
        std::function<uint64_t(uint64_t)> random);

    void applyTable(const TableIndex& table, TimePoint now);
    // Versions that must not be used now, by model: verdicts of this node or its peers.
    void setBlockedVersions(ModelId model, std::vector<std::string> versions);

    // Best target with a free slot; none: all usable targets are full, or there is none.
    std::optional<Choice> pick(const RequestSpec& request, TimePoint now);
    // Least cost of the request on any usable target, whether a slot is free or not; none: no usable target.
    std::optional<Choice> estimate(const RequestSpec& request, TimePoint now);
    // Sum of the windows of the model's usable targets: requests.
    uint32_t capacity(ModelId model, TimePoint now) const;

private:
    RouterSettings settings;
    TargetSet& targets;
    PrefixIndex& prefixes;
    CostModel& costs;
    std::function<uint64_t(uint64_t)> random;
};

} // namespace guavapond
