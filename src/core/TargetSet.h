// What this node knows of each target: speed, window of running work, health, load and version. Soft state: it may be wrong and heals.
//
// Index
//   Settings     TargetSettings
//   State        TargetHealth, TargetView
//   TargetSet    table and VM list in, observations in, views out
#pragma once

#include "core/CostModel.h"
#include "core/Table.h"
#include "core/Types.h"

namespace guavapond {

struct TargetSettings {
    uint32_t initialWindow = 4;                                 // requests
    uint32_t minWindow = 1;                                     // requests
    double shortWorkFraction = 0.25;                            // part of a window kept for short work; at least one slot from window 2 on
    Duration shortWork = std::chrono::seconds(2);               // engine time up to which work counts as short
    Duration firstTokenGoal = std::chrono::milliseconds(640);   // window shrinks when short work misses it
    Duration betweenTokensGoal = std::chrono::milliseconds(44); // window shrinks when it is missed
    double windowDecrease = 0.7;                                // factor
    double windowIncrease = 1.0;                                // slots for each window of requests that met the goals
    double stragglerRatio = 3.0;                                // token time against the median of the model's targets: suspect
    double ejectRatio = 6.0;                                    // the same: ejected
    uint32_t ejectFailures = 3;                                 // consecutive failures: ejected
    Duration firstProbe = std::chrono::seconds(1);              // after ejection; doubles up to maxProbe
    Duration maxProbe = std::chrono::seconds(30);
    Duration loadHalfLife = std::chrono::milliseconds(500); // a report counts half at this age
    double learningRate = 0.1;                              // weight of a new speed observation
};

enum class TargetHealth : uint8_t {
    Healthy,
    Suspect, // gets less
    Ejected, // gets nothing
    Probing, // gets one request at a time
};

// What the router reads of one target.
struct TargetView {
    TargetId id {};
    ModelId model {};
    TargetHealth health = TargetHealth::Healthy;
    bool draining = false;
    bool local = true;         // in this node's failure domain
    uint32_t window = 0;       // requests
    uint32_t running = 0;      // requests from this node
    double foreignRunning = 0; // requests of other nodes, from load reports, discounted by age
    Duration backlog {};       // µs of engine time of what runs from this node
    TokenRates rates;
};

class TargetSet {
public:
    explicit TargetSet(const TargetSettings& settings, std::string failureDomain);

    // ---- What operators and the platform say
    void applyTable(const TableIndex& table, TimePoint now);
    void setLeaving(TargetId target, bool leaving, TimePoint now); // from the VM list

    // ---- What this node observes
    void onDispatched(TargetId target, const RequestSpec& request, uint32_t cachedTokens, Duration cost, TimePoint now);
    void onFirstToken(RequestId request, TimePoint now);
    void onTokens(RequestId request, uint32_t count, TimePoint now);
    void onFinished(RequestId request, RunOutcome outcome, TimePoint now);
    void onLoadReport(TargetId target, uint32_t running, uint32_t waiting, Duration age, TimePoint now);
    void onHealthCheck(TargetId target, bool healthy, TimePoint now); // result of a check on a fresh connection

    // ---- Reading
    size_t size() const;
    TargetView view(TargetId target, TimePoint now) const;
    const TokenRates& rates(TargetId target) const;
    std::span<const TargetId> targetsOf(ModelId model) const;
    bool accepts(TargetId target, bool shortWork, TimePoint now) const; // a slot is free and the target is usable
    std::optional<TargetId> targetOf(RequestId request) const;          // where it runs
    std::vector<TargetId> dueHealthChecks(TimePoint now);               // ejected targets whose probe time has come
    const TargetSettings& settingsInUse() const { return this->settings; }

private:
    TargetSettings settings;
    std::string failureDomain;
};

} // namespace guavapond
