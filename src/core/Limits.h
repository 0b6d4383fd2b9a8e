// Limits of each workspace and tier: a token bucket of engine time, and how many requests run and wait at a time.
//
// Index
//   LimitsSettings
//   Limits    table in; queueing, starting and finishing counted; says when a limit allows the next request
//
// State is one array entry per workspace and tier, and a bucket is refilled only when it is read, so that the cost of an event
// does not depend on the number of workspaces.
#pragma once

#include "core/Table.h"
#include "core/Types.h"

namespace guavapond {

struct LimitsSettings {
    Duration minRetryAfter = std::chrono::milliseconds(100); // lower bound of the hint given with a refusal
    Duration maxRetryAfter = std::chrono::seconds(60);       // upper bound of the hint
};

class Limits {
public:
    explicit Limits(const LimitsSettings& settings);

    void applyTable(const TableIndex& table, TimePoint now); // counts of what runs and waits are kept
    // This node's part of the limits, 0 to 1, until the next call; 1 at first. The limit of running requests stays at least 1.
    void setFactor(WorkspaceId workspace, Tier tier, double factor, TimePoint now);
    bool isKnown(WorkspaceId workspace) const;
    double weight(WorkspaceId workspace, Tier tier) const; // share inside the tier; 1 for an unknown workspace

    // ---- Waiting
    // Refusal if the workspace has too many requests waiting, or if its bucket can't allow the request before `latestStart`.
    std::optional<Failure> checkQueue(WorkspaceId workspace, Tier tier, TimePoint latestStart, TimePoint now) const;
    void onQueued(WorkspaceId workspace, Tier tier);
    void onUnqueued(WorkspaceId workspace, Tier tier);

    // ---- Running
    bool mayRun(WorkspaceId workspace, Tier tier, TimePoint now) const;
    // When the bucket allows the next request; none: it waits for one of its own requests to finish, not for the bucket.
    std::optional<TimePoint> nextAllowed(WorkspaceId workspace, Tier tier, TimePoint now) const;
    void onStarted(WorkspaceId workspace, Tier tier, Duration estimatedCost, TimePoint now);                       // charges the estimate
    void onFinished(WorkspaceId workspace, Tier tier, Duration estimatedCost, Duration actualCost, TimePoint now); // corrects the charge

    uint32_t running(WorkspaceId workspace, Tier tier) const;
    uint32_t queued(WorkspaceId workspace, Tier tier) const;

private:
    // Invariant: engineSeconds <= burstOf(entry). A request starts while it is above zero and may take it below: a
    // request that costs more than the burst runs too, and the debt delays the ones after it.
    struct Entry {
        TierLimits limits;
        double factor = 1;        // part of the limits that this node may use
        double engineSeconds = 0; // saved up, as of `refilled`
        TimePoint refilled {};
        uint32_t running = 0; // requests
        uint32_t queued = 0;  // requests
        bool known = false;
    };

    const Entry* find(WorkspaceId workspace, Tier tier) const;
    Entry& at(WorkspaceId workspace, Tier tier);
    static double burstOf(const Entry& entry);
    static double rateOf(const Entry& entry);
    static double level(const Entry& entry, TimePoint now);
    static void refill(Entry& entry, TimePoint now);
    Duration hint(Duration wait) const;

    LimitsSettings settings;
    std::vector<Entry> entries; // workspace * tierCount + tier
};

} // namespace guavapond
