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
    Duration prefill {};       // µs of it until the first token
    Duration completion {};    // µs from now until the last token, running work included
    Duration firstToken {};    // µs from now until the first token
    bool free = true;          // a slot is free now
};

class Router {
public:
    // Keeps the prefix index in step with the target set through its hooks: dispatches add entries, restarts forget them.
    // `random` returns a uniform number below its argument.
    Router(const RouterSettings& settings, TargetSet& targets, PrefixIndex& prefixes, CostModel& costs,
        std::function<uint64_t(uint64_t)> random);

    void applyTable(const TableIndex& table, TimePoint now); // after TargetSet::applyTable
    // Shares in place of the table's, until the next applyTable: those of running moves. Empty: all versions alike.
    void setShares(ModelId model, std::span<const ShareRow> shares);
    // Versions that must not be used now, by model: verdicts of this node or its peers.
    void setBlockedVersions(ModelId model, std::vector<std::string> versions);

    // Best target with a free slot; none: all usable targets are full, or there is none.
    std::optional<Choice> pick(const RequestSpec& request, TimePoint now);
    // Least cost of the request on any usable target, whether a slot is free or not; none: no usable target.
    std::optional<Choice> estimate(const RequestSpec& request, TimePoint now);
    // Cost on a target on which nothing of this node but `remaining` runs; free: it would then have a slot.
    Choice estimateBeside(const RequestSpec& request, TargetId target, const RemainingWork& remaining, TimePoint now) const;
    // Usable targets on which a request may be placed without exceeding the share of its version.
    std::vector<TargetId> placeable(ModelId model);
    // Why no request of the model can run anywhere now: every version with a share is blocked or has no usable target.
    std::optional<Failure> unusable(ModelId model) const;
    // Sum of the windows of the model's usable targets: requests.
    uint32_t capacity(ModelId model, TimePoint now) const;

private:
    struct Version {
        std::string name;
        double percent = 0;
        bool blocked = false;
        uint32_t group = 0; // position in TargetSet::versionsOf()
    };
    struct ModelShares {
        std::string name;
        std::vector<Version> versions; // those with a share and with targets
        std::optional<size_t> drawn;   // version drawn for the next dispatch
        bool shared = false;           // the table states shares; otherwise all versions are alike
    };
    enum class Pool : uint8_t {
        FreeShort,
        FreeLong,
        Usable,
    };
    struct Draw; // request being placed, with what is the same for all candidates

    bool isUsable(ModelId model, const Version& version) const;
    const VersionGroup& groupOf(ModelId model, const Version& version) const;
    std::optional<size_t> drawVersion(ModelId model);
    void applyBlocked(ModelShares& model);
    std::optional<Choice> pickIn(const Draw& draw, const Version& version);
    std::optional<Choice> best(const Draw& draw, const Version& version, Pool pool);
    void sample(const VersionGroup::Sides& sides, std::vector<TargetId>& chosen);
    Choice cost(const Draw& draw, TargetId target, uint32_t cachedTokens) const;
    std::optional<Choice> only(const Draw& draw, TargetId target, bool needsSlot) const;
    bool isShort(const Choice& choice) const;

    RouterSettings settings;
    TargetSet& targets;
    PrefixIndex& prefixes;
    CostModel& costs;
    std::function<uint64_t(uint64_t)> random;
    std::vector<ModelShares> models;                                           // by model id
    std::unordered_map<std::string, std::vector<std::string>> blockedVersions; // by model name; ids may change with the table
    std::vector<TargetId> candidates;                                          // reused by each pick
};

} // namespace guavapond
