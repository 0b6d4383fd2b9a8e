// Admission, queueing, dispatch and load shedding of one node. Owned by one thread or guarded by one mutex.
//
// Index
//   SchedulerSettings, SchedulerStats
//   Action       what the caller has to do: send a request to a target, answer with a refusal, cancel a running request
//   Scheduler    submit and events in, actions out
//
// Use: after submit() or any on...() call advance(), carry out its actions, and call advance() again at nextWake() at the latest.
// A request has exactly one end: a Failure from submit(), a Refuse or a CancelRunning action, onFinished() of a request that was not
// cancelled, or abandon(). After CancelRunning the adapter still calls onFinished(Cancelled), which only frees the slot.
//
// Load shedding: while lower-tier work of the model runs, a request is refused for want of capacity only if it could not meet its
// deadline on any target even with no lower-tier work there (higher and equal tiers counted). Otherwise it is placed at once on one
// target, on which running lower-tier work is cancelled, the lowest tier first, until a slot is free and the estimate meets the deadline.
// It passes queued lower-tier work, which is refused only when the queue is full or a higher tier is refused, and then only if no tier
// below its own runs. Non-idempotent work that runs is never displaced. The place is taken before the cancelled work has ended, so that
// no other request takes it.
#pragma once

#include "core/FairQueue.h"
#include "core/Limits.h"
#include "core/Router.h"
#include "core/TargetSet.h"
#include "core/Types.h"

#include <array>
#include <deque>
#include <set>
#include <unordered_map>

namespace guavapond {

struct SchedulerSettings {
    LimitsSettings limits;
    FairQueueSettings queue;
    Duration preemptLead = std::chrono::milliseconds(500); // before its latest start a request displaces lower tiers that run
    // Prefill that a target may have left when it gets another request; twice as much for the top tier. Engines prefill in order of
    // arrival: with more, short work misses its first-token goal of 640 ms behind long prompts.
    Duration maxPrefillBacklog = std::chrono::milliseconds(400);
    Duration retryInterval = std::chrono::milliseconds(20);    // a model without a free slot is tried again
    Duration overloadHold = std::chrono::seconds(1);           // lower tiers wait this long after a higher tier was refused
    Duration capacityLifetime = std::chrono::milliseconds(50); // a model's slot count is read again after this time
    Duration minRetryAfter = std::chrono::milliseconds(100);   // bounds of the hint given with a refusal
    Duration maxRetryAfter = std::chrono::seconds(60);
    double waitLearningRate = 0.05; // weight of a new observation of waiting time against its prediction
    double deadlineTolerance = 0.1; // part of the engine time by which an estimate may miss the deadline when nothing is ahead
    double deadlineMargin = 0.1;    // part of the engine time kept in reserve by a request that has waited
};

struct SchedulerStats {
    std::array<size_t, tierCount> queued {};                                  // requests now
    std::array<size_t, tierCount> running {};                                 // requests now, without those being cancelled
    std::array<std::array<uint64_t, failureKindCount>, tierCount> refused {}; // by tier and reason
    std::array<uint64_t, tierCount> cancelled {};                             // running requests displaced by a higher tier
    uint64_t dispatched = 0;
    uint64_t tierInversions = 0; // a request refused for want of capacity that displacing lower-tier work would have placed; must stay 0
};

struct Action {
    enum class Kind : uint8_t {
        Dispatch,
        Refuse,
        CancelRunning,
    };
    Kind kind = Kind::Dispatch;
    RequestId request {};
    TargetId target {};             // Dispatch and CancelRunning
    std::optional<Failure> failure; // Refuse and CancelRunning
    uint32_t cachedTokens = 0;      // Dispatch: tokens expected in the target's cache
    Duration cost {};               // Dispatch: µs of engine time expected
};

class Scheduler {
public:
    Scheduler(const SchedulerSettings& settings, TargetSet& targets, Router& router, CostModel& costs);

    void applyTable(const TableIndex& table, TimePoint now);                  // the targets and the router get theirs from the caller
    std::optional<Failure> submit(const RequestSpec& request, TimePoint now); // refused at once, or queued
    std::vector<Action> advance(TimePoint now);
    void onFirstToken(RequestId request, TimePoint now);
    void onTokens(RequestId request, uint32_t count, TimePoint now);
    void onFinished(RequestId request, RunOutcome outcome, TimePoint now); // frees the slot, feeds the models
    void abandon(RequestId request, TimePoint now);                        // the caller went away
    std::optional<TimePoint> nextWake(TimePoint now) const;                // next deadline, limit or retry of a full model
    SchedulerStats stats() const;

private:
    enum class State : uint8_t {
        Queued,
        Running,
        Cancelling, // its final answer was given; the slot is still taken
    };
    // A running request that is not being cancelled, as listed under its target.
    struct TargetWork {
        RequestId id {};
        Tier tier = Tier::Standard;
        bool shortWork = false;
        bool isDisplaceable = false; // idempotent
        Duration prefill {};         // µs left; zero after the first token
        TimePoint dispatched {};
    };
    struct Placement {
        Choice choice;
        std::vector<RequestId> victims;                 // running lower-tier work to cancel on the target
        std::array<size_t, tierCount> victimsByTier {}; // requests
        Duration lost {};                               // µs for which the victims have run
    };
    struct Entry {
        RequestSpec spec;
        State state = State::Queued;
        Duration cost {};          // µs of engine time; estimate
        Duration predictedWait {}; // µs
        bool shortWork = false;
        TargetId target {};
        TimePoint dispatched {};
        uint32_t tokens = 0; // received
    };
    using ByTime = std::set<std::pair<TimePoint, RequestId>>;
    struct ModelState {
        std::array<size_t, tierCount> displaceable {};        // running idempotent requests that are not being cancelled
        std::array<TimePoint, tierCount> refusedUntil {};     // end of the overload hold of a tier
        std::array<double, tierCount> waitFactor { 1, 1, 1 }; // observed over predicted waiting time
        size_t running = 0;
        Duration runningCost {}; // µs; sum of the estimates of what runs
        uint32_t capacity = 0;   // slots, as of capacityRead
        std::optional<TimePoint> capacityRead;
        std::optional<TimePoint> retry; // its entry in retries
        bool dirty = false;             // listed in dirtyModels
        bool isFullForLong = false;     // no slot at the last attempt
        bool isFullForShort = false;
    };
    using WorkspaceTier = std::pair<WorkspaceId, Tier>;

    // ---- Admission
    std::optional<Failure> checkRequest(const RequestSpec& request, TimePoint now) const;
    std::optional<Failure> admit(const RequestSpec& request, const QueuedItem& item, Duration wait, TimePoint now);
    Failure refuseNew(const RequestSpec& request, Failure failure, TimePoint now);
    bool makeRoom(const RequestSpec& request, TimePoint now);
    Duration expectedWait(const QueuedItem& item, TimePoint now);
    uint32_t capacityOf(ModelId model, TimePoint now);
    Duration retryHint(Duration wait) const;

    // ---- Dispatch
    void advanceModel(ModelId model, TimePoint now);
    void dispatchModel(ModelId model, TimePoint now);
    const QueuedItem* nextItem(ModelId model, Tier tier, QueueClass which, TimePoint now) const;
    bool isTooLate(const QueuedItem& item, const Choice& choice, TimePoint now) const;
    void start(RequestId id, const Choice& choice, TimePoint now);
    void startPinned(TimePoint now);
    void holdBack(const QueuedItem& item, TimePoint now);
    void release(WorkspaceId workspace, Tier tier);
    void learnWait(const Entry& entry, TimePoint now);

    // ---- Shedding
    void expireQueued(ModelId model, TimePoint now);
    void expire(QueuedItem item, TimePoint now);
    void expireRunning(TimePoint now);
    void preemptForUrgent(ModelId model, TimePoint now);
    void shedQueuedBelow(ModelId model, Tier tier, TimePoint now);
    void shedQueued(RequestId request, TimePoint now);
    void cancelBelow(ModelId model, Tier tier);
    bool hasDisplaceable(ModelId model, Tier tier) const;
    bool isPlaceable(const RequestSpec& request, TimePoint now);
    RemainingWork workWithoutLower(TargetId target, Tier tier) const;
    std::optional<Placement> findPlacement(const RequestSpec& request, TimePoint now);
    std::optional<Placement> placementOn(const RequestSpec& request, TargetId target, TimePoint now) const;
    bool placeQueued(RequestId request, TimePoint now);
    void displace(RequestId request);
    void place(RequestId request, const Placement& placement, TimePoint now);
    void list(RequestId request, const Entry& entry, Duration prefill);
    void unlist(RequestId request, const Entry& entry);
    TargetWork* findWork(RequestId request, TargetId target);
    bool isHeldByHigherTier(ModelId model, Tier tier, TimePoint now) const;
    void cancel(RequestId request, Entry& entry, Failure failure);
    void refuseQueued(RequestId request, Failure failure);
    void noteRefusal(const RequestSpec& request, const Failure& failure);
    void checkInversion(const RequestSpec& request, TimePoint now);
    void withdrawCancellation(RequestId request, const Entry& entry);
    void noteCapacityRefusal(const RequestSpec& request, TimePoint now);

    ModelState& stateOf(ModelId model);
    void markDirty(ModelId model);
    void scheduleRetry(ModelId model, TimePoint now);

    SchedulerSettings settings;
    TargetSet& targets;
    Router& router;
    CostModel& costs;
    Limits limits;
    FairQueue queue;
    std::unordered_map<RequestId, Entry> entries;
    std::deque<ModelState> models;
    std::vector<std::vector<TargetWork>> targetWork; // by target
    std::vector<ModelId> dirtyModels;
    std::set<std::pair<TimePoint, ModelId>> retries;
    ByTime runningDeadlines;                                // idempotent requests that run
    std::vector<RequestId> pinned;                          // resumed streams, to be dispatched where they ran
    std::map<WorkspaceTier, std::vector<ModelId>> heldBack; // lanes in which the workspace is blocked by its limits
    std::set<std::pair<TimePoint, WorkspaceTier>> bucketTimers;
    std::vector<Action> actions; // of the next advance()
    SchedulerStats counters;
};

} // namespace guavapond
