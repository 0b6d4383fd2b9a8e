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
// Load shedding: a request is refused for want of capacity only when no lower-tier work of the same model is queued or running that
// could be displaced. Non-idempotent work that runs is never displaced. While a slot is free, only lower-tier work that has not had its
// first token counts as displaceable: the request can wait for a prompt prefilled before its own, but not for work that decodes.
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
    uint64_t tierInversions = 0; // a request refused for want of capacity while displaceable lower-tier work remained; must stay 0
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
    // Running lower-tier work that gives way to a request.
    enum class Reach : uint8_t {
        All,
        Prefilling, // a slot is free: only prompts that may be prefilled before the request's own
    };
    struct Entry {
        RequestSpec spec;
        State state = State::Queued;
        Duration cost {};          // µs of engine time; estimate
        Duration predictedWait {}; // µs
        bool shortWork = false;
        bool isDecoding = false; // its first token has come
        TargetId target {};
        TimePoint dispatched {};
        uint32_t tokens = 0; // received
    };
    using ByTime = std::set<std::pair<TimePoint, RequestId>>;
    struct ModelState {
        // Running idempotent requests by time of dispatch: short and long work, before and after the first token.
        std::array<std::array<ByTime, 4>, tierCount> cancellable;
        std::array<TimePoint, tierCount> refusedUntil {};     // end of the overload hold of a tier
        std::array<double, tierCount> waitFactor { 1, 1, 1 }; // observed over predicted waiting time
        size_t cancelling = 0;                                // requests whose slots are about to be free
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
    std::optional<Failure> makeRoom(const RequestSpec& request, TimePoint now);
    Duration expectedWait(const QueuedItem& item, TimePoint now);
    uint32_t capacityOf(ModelId model, TimePoint now);
    bool reclaimSlot(const RequestSpec& request, bool shortWork, TimePoint now);
    Reach reachOf(const RequestSpec& request, TimePoint now);
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
    void shedQueued(ModelId model, Tier tier);
    void shedAllBelow(ModelId model, Tier tier, Reach reach);
    bool cancelOne(ModelId model, Tier tier, bool shortWork, Reach reach);
    ByTime& cancellableOf(const Entry& entry);
    bool isHeldByHigherTier(ModelId model, Tier tier, TimePoint now) const;
    void cancel(RequestId request, Entry& entry, Failure failure);
    void refuseQueued(RequestId request, Failure failure);
    void noteRefusal(const RequestSpec& request, const Failure& failure);
    void checkInversion(ModelId model, Tier tier, Reach reach);
    void withdrawCancellation(RequestId request, const Entry& entry);
    void noteCapacityRefusal(ModelId model, Tier tier, Reach reach, TimePoint now);

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
