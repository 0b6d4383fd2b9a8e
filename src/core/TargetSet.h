// What this node knows of each target: speed, window of running work, health, load and version. Soft state: it may be wrong and heals.
//
// Index
//   Settings     TargetSettings
//   State        TargetHealth, TargetView, VersionGroup
//   TargetSet    table and VM list in, observations in, views out
#pragma once

#include "core/CostModel.h"
#include "core/Table.h"
#include "core/Types.h"

#include <array>
#include <functional>
#include <queue>

namespace guavapond {

struct TargetSettings {
    uint32_t initialWindow = 4;                                 // requests
    uint32_t minWindow = 1;                                     // requests
    double shortWorkFraction = 0.25;                            // part of a window kept for short work; at least one slot from window 2 on
    Duration shortWork = std::chrono::seconds(2);               // engine time up to which work counts as short
    Duration firstTokenGoal = std::chrono::milliseconds(640);   // window shrinks when short work misses it
    Duration betweenTokensGoal = std::chrono::milliseconds(44); // window shrinks when it is missed
    // A window is grown back by one slot for each round of requests, which takes long where they run for a minute: at 0.7 the surge
    // benchmark's engines ran half empty.
    double windowDecrease = 0.85;                  // factor
    double windowIncrease = 1.0;                   // slots for each window of requests that met the goals
    double stragglerRatio = 3.0;                   // token time against the median of the model's targets: suspect
    double ejectRatio = 6.0;                       // the same: ejected
    uint32_t ejectFailures = 3;                    // consecutive failures: ejected
    Duration firstProbe = std::chrono::seconds(1); // after ejection; doubles up to maxProbe
    Duration maxProbe = std::chrono::seconds(30);
    Duration loadHalfLife = std::chrono::milliseconds(500);       // a report counts half at this age
    double learningRate = 0.1;                                    // weight of a new speed observation
    Duration evaluationInterval = std::chrono::milliseconds(250); // between comparisons of a model's targets
    Duration windowCooldown = std::chrono::seconds(3); // between two decreases of a window; requests run for longer than a second
    double recoverRatio = 2.0;                         // below it a suspect target is healthy again; under stragglerRatio for hysteresis
    double suspectWindow = 0.5;                        // factor on the window of a suspect target
    uint32_t probeSuccesses = 2;                       // requests in sequence that readmit a probed target
    double engineFloor = 1.25;                         // the token time goal is at least this times the best token time seen of the target
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
    bool local = true;          // in this node's failure domain
    uint32_t window = 0;        // requests
    uint32_t running = 0;       // requests from this node
    double foreignRunning = 0;  // requests of other nodes, from load reports, discounted by age
    Duration backlog {};        // µs of engine time of what runs from this node
    Duration pendingPrefill {}; // µs of prefill of what this node sent and has no first token yet
    bool freeShort = false;     // a slot is free for short work
    bool freeLong = false;      // a slot is free for any work
    TokenRates rates;
};

// Part of what this node runs on a target: what would be left after some of it was cancelled.
struct RemainingWork {
    uint32_t running = 0;     // requests
    uint32_t runningLong = 0; // those that are not short work
    Duration prefill {};      // µs of prefill not done yet
};

// The targets of one model with one version, with the lists that make a pick independent of the number of targets.
// Each list has two sides: targets in this node's failure domain, and the others.
struct VersionGroup {
    using Sides = std::array<std::vector<TargetId>, 2>; // [0] local, [1] remote
    std::string version;
    Sides usable;           // healthy, suspect or probing, and not draining
    Sides freeShort;        // a slot is free for short work
    Sides freeLong;         // a slot is free for any work
    uint32_t members = 0;   // targets, usable or not
    uint32_t windowSum = 0; // requests; windows of the usable targets

    bool isUsable() const { return !this->usable[0].empty() || !this->usable[1].empty(); }
};

class TargetSet {
public:
    explicit TargetSet(const TargetSettings& settings, std::string failureDomain);

    // ---- What operators and the platform say
    void applyTable(const TableIndex& table, TimePoint now);
    void setLeaving(TargetId target, bool leaving, TimePoint now); // from the VM list
    // This node's share of the window, in running requests, until `expiry`; from the target's home or the fair part.
    void setShare(TargetId target, uint32_t running, TimePoint expiry, TimePoint now);

    // ---- What this node observes
    void onDispatched(TargetId target, const RequestSpec& request, uint32_t cachedTokens, Duration cost, TimePoint now);
    void onFirstToken(RequestId request, TimePoint now);
    void onTokens(RequestId request, uint32_t count, TimePoint now);
    void onFinished(RequestId request, RunOutcome outcome, TimePoint now);
    void onLoadReport(TargetId target, uint32_t running, uint32_t waiting, Duration age, TimePoint now);
    void onHealthCheck(TargetId target, bool healthy, TimePoint now); // result of a check on a fresh connection
    void onRestarted(TargetId target, TimePoint now);                 // forgets speed and window; the target's cache is gone
    void refresh(TimePoint now); // applies what changes with time alone: load reports that faded, probes that are due
    // Called with each target whose cache and speed are void: restarted, readdressed or removed.
    void setForgetHook(std::function<void(TargetId)> hook) { this->forgetHook = std::move(hook); }
    using DispatchHook = std::function<void(TargetId, const RequestSpec&, TimePoint)>;
    void setDispatchHook(DispatchHook hook) { this->dispatchHook = std::move(hook); } // called by onDispatched

    // ---- Reading
    size_t size() const;
    bool contains(TargetId target) const; // false: a hole, or not in any table yet
    TargetView view(TargetId target, TimePoint now) const;
    const TokenRates& rates(TargetId target) const;
    std::span<const TargetId> targetsOf(ModelId model) const;
    bool accepts(TargetId target, bool shortWork, TimePoint now) const; // a slot is free and the target is usable
    bool wouldAccept(TargetId target, const RemainingWork& remaining, bool shortWork, TimePoint now) const; // accepts() beside it
    bool acceptsResume(TargetId target) const; // of a stream that ran there; a draining target finishes what it has
    bool isIn(const VersionGroup& group, TargetId target) const;
    std::optional<TargetId> targetOf(RequestId request) const; // where it runs
    std::span<const VersionGroup> versionsOf(ModelId model) const;
    // Targets to check on a fresh connection: those ejected for failures whose probe time has come, and those that lost a connection.
    std::vector<TargetId> dueHealthChecks(TimePoint now);
    std::optional<TimePoint> nextChange() const; // when refresh() may free a slot
    const TargetSettings& settingsInUse() const { return this->settings; }

private:
    enum class EjectReason : uint8_t {
        Failures, // readmitted after a health check
        Slowness, // a health check says nothing about speed: probed by requests
    };
    // Moving average that takes its first observations at full weight.
    struct Average {
        double value = 0;
        uint32_t observations = 0;
        void add(double observation, double weight);
    };
    // What is learned of a running target process; reset when it restarts.
    struct Learned {
        TokenRates rates;
        Average prefillSeconds;      // s for each uncached token
        Average tokenSeconds;        // s for each output token
        Average pace;                // s to the first token, for each uncached token and paceOverheadTokens
        double bestTokenSeconds = 0; // s; 0: unknown
        double window = 0;           // requests
        TimePoint lastDecrease = TimePoint::min();
    };
    struct Load {
        double reported = 0; // requests of other nodes
        TimePoint measured {};
    };
    enum ListName : uint8_t {
        UsableList,
        FreeShortList,
        FreeLongList,
        ListNames,
    };
    static constexpr uint32_t unlisted = UINT32_MAX;
    struct Target {
        std::string name;
        std::string address;
        std::string version;
        ModelId model {};
        RequestKind kind = RequestKind::Engine;
        bool present = false;
        bool local = true;
        bool draining = false; // by the table
        bool leaving = false;  // by the VM list
        uint32_t maxRunning = 0;
        std::optional<uint32_t> share; // cap on running requests of this node; from the target's home
        TimePoint shareExpiry {};

        uint32_t running = 0;     // requests from this node
        uint32_t runningLong = 0; // those that are not short work
        Duration backlog {};
        Duration pendingPrefill {}; // of requests without a first token
        uint32_t pendingTokens = 0; // uncached prompt tokens of the same
        double peakRunning = 0;     // highest running count, fading with loadHalfLife
        TimePoint peakTime {};
        std::optional<Load> load;
        Learned learned;

        TargetHealth health = TargetHealth::Healthy;
        EjectReason reason = EjectReason::Failures;
        uint32_t consecutiveFailures = 0;
        uint32_t pendingLost = 0;     // connections lost, to be judged by the next health check
        uint32_t pendingTimeouts = 0; // requests timed out, to be judged by the next health check
        bool wasDown = false;         // a health check failed since the target last served
        uint32_t probePassed = 0;     // successes in sequence while Probing
        Duration probeInterval {};
        TimePoint nextProbe {};
        TimePoint readmitted {};

        uint32_t group = 0;         // position in groups
        uint32_t countedWindow = 0; // effective window at the last reindex(); part of the group's windowSum
        double roomShort = -1;      // room() at the last reindex(), which follows each change of the target
        double roomLong = -1;
        std::array<uint32_t, ListNames> position { unlisted, unlisted, unlisted };
        std::optional<TimePoint> wake; // earliest entry in wakes
    };
    struct Run {
        TargetId target {};
        RequestKind kind = RequestKind::Engine;
        bool shortWork = false;
        bool missedGoal = false;
        uint32_t uncachedTokens = 0;
        uint32_t tokensAhead = 0; // uncached prompt tokens that the target still had to prefill at the dispatch
        Duration prefillAhead {}; // the same as an estimate of time
        uint32_t tokens = 0;      // received
        Duration cost {};
        Duration prefill {}; // share of pendingPrefill; zero after the first token
        TimePoint dispatched {};
        std::optional<TimePoint> firstToken {};
        TimePoint lastToken {};
    };
    struct Model {
        std::vector<TargetId> targets;
        uint32_t firstGroup = 0;
        uint32_t groupCount = 0;
        double medianTokenSeconds = 0; // 0: too few observations
        double medianPace = 0;
        TimePoint nextEvaluation = TimePoint::min();
    };
    struct Wake {
        TimePoint time;
        TargetId target;
        bool operator>(const Wake& other) const { return this->time > other.time; }
    };

    Target& at(TargetId id) { return this->targets[raw(id)]; }
    const Target& at(TargetId id) const { return this->targets[raw(id)]; }
    void applyRow(TargetId id, const TableIndex& table, TimePoint now);
    void rebuildGroups(const TableIndex& table, TimePoint now);
    uint32_t groupFor(Model& model, const std::string& version);
    void forgetLearned(TargetId id);

    bool isUsable(const Target& target) const;
    uint32_t effectiveWindow(const Target& target) const;
    double foreignAt(const Target& target, TimePoint now) const;
    double room(const Target& target, const RemainingWork& work, bool shortWork) const;
    std::optional<TimePoint> slotOpening(const Target& target, TimePoint now) const;
    void reindex(TargetId id, TimePoint now);
    void setListed(TargetId id, ListName list, bool listed);
    void wakeAt(TargetId id, TimePoint time);
    void notePeak(Target& target, TimePoint now) const;

    void observePrefill(Target& target, const Run& run, Duration elapsed);
    void observeTokens(Target& target, Run& run, uint32_t count, TimePoint now);
    void observeService(Target& target, Duration elapsed);
    double tokenGoal(const Target& target) const;
    void decreaseWindow(Target& target, TimePoint now);
    void increaseWindow(Target& target);
    void onSuccess(TargetId id, const Run& run, TimePoint now);
    void onFailure(TargetId id, RunOutcome outcome, TimePoint now);

    double slowness(const Target& target) const;
    void evaluate(ModelId model, TimePoint now);
    void judgeSpeed(TargetId id, TimePoint now);
    void eject(Target& target, EjectReason reason, TimePoint now);
    void startProbing(TargetId id);
    void readmit(Target& target, TimePoint now);

    TargetSettings settings;
    std::string failureDomain;
    std::vector<Target> targets;                                        // by target id; holes are not present
    std::vector<Model> models;                                          // by model id
    std::vector<VersionGroup> groups;                                   // those of one model stand together
    std::unordered_map<uint64_t, Run> runs;                             // by request id
    std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes; // may hold entries that were overtaken
    std::function<void(TargetId)> forgetHook;
    DispatchHook dispatchHook;
};

} // namespace guavapond
