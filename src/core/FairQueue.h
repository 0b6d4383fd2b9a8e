// Requests that wait for a slot. One lane per model and tier; start-time fair queueing among the workspaces of a lane.
//
// Index
//   FairQueueSettings, QueuedItem, QueueClass
//   FairQueue    push, peek, take, remove; blocked workspaces; victims of shedding; expiry; work ahead of a request
//
// Among workspaces: each has a start tag in virtual engine seconds; the smallest is served next and grows by cost / weight.
// Inside a workspace: the smallest cost + ageing * arrival. The key does not change while a request waits, so the order is kept in a
// tree; a request of cost c is overtaken only by shorter ones that arrive within c / ageing after it, which rules out starvation.
// Each operation takes O(log n) in the number of requests and workspaces of the lane.
#pragma once

#include "core/Types.h"

#include <array>
#include <deque>
#include <set>
#include <unordered_map>

namespace guavapond {

struct FairQueueSettings {
    double ageing = 0.5;        // engine seconds of advantage for each second of waiting
    size_t maxPerModel = 32768; // requests waiting in all tiers of a model
};

struct QueuedItem {
    RequestId id {};
    WorkspaceId workspace {};
    Tier tier = Tier::Standard;
    ModelId model {};
    Duration cost {};       // µs of engine time
    bool shortWork = false; // may use the slots that are kept for short work
    TimePoint arrival {};
    TimePoint latestStart {}; // past it the deadline can't be met
    double weight = 1;        // of the workspace in this tier
};

enum class QueueClass : uint8_t {
    Any,
    ShortOnly,
};

// Engine time that is served before a request of a given workspace and cost.
struct WorkAhead {
    double all = 0;       // engine seconds
    double shortWork = 0; // engine seconds; the part of it that is short
};

class FairQueue {
public:
    explicit FairQueue(const FairQueueSettings& settings);

    // ---- In and out
    bool isFull(ModelId model) const;
    void push(const QueuedItem& item); // the model must not be full, the id not queued
    const QueuedItem* find(RequestId id) const;
    const QueuedItem* peek(ModelId model, Tier tier, QueueClass which) const; // next to serve; null: none
    QueuedItem take(RequestId id);                                            // removes it and charges its cost to the workspace
    QueuedItem remove(RequestId id);                                          // removes it without a charge
    void correctCharge(ModelId model, Tier tier, WorkspaceId workspace, double weight, Duration difference); // actual minus estimate

    // ---- Workspaces that must not run more now: peek passes over them. A block ends when the workspace has nothing waiting.
    void block(ModelId model, Tier tier, WorkspaceId workspace);
    void unblock(ModelId model, Tier tier, WorkspaceId workspace);

    // ---- Shedding and expiry
    // Of the lowest tier below `tier` that has requests waiting: the last to be served. Null: none.
    const QueuedItem* victimBelow(ModelId model, Tier tier) const;
    const QueuedItem* earliest(ModelId model, Tier tier) const;                              // smallest latestStart; null: empty
    size_t countStartingBefore(ModelId model, Tier tier, TimePoint time, size_t most) const; // latestStart < time; counts up to `most`

    // ---- Figures
    WorkAhead workAhead(ModelId model, Tier tier, WorkspaceId workspace, double weight, Duration cost, bool shortWork) const;
    WorkAhead work(ModelId model, Tier tier) const; // of the whole lane
    size_t size(ModelId model, Tier tier) const;
    size_t size() const { return this->items.size(); }

private:
    // Waiting work by size class; class i holds costs up to 2^(i-4) seconds.
    static constexpr size_t sizeClasses = 16;
    using WorkBySize = std::array<double, sizeClasses>; // engine seconds

    using Key = std::pair<double, RequestId>; // cost + ageing * arrival
    struct Flow {
        std::set<Key> shortItems;
        std::set<Key> longItems;
        WorkBySize work {};
        double start = 0; // virtual engine seconds; start tag of the next request
        double weight = 1;
        bool blocked = false;

        bool isEmpty() const { return this->shortItems.empty() && this->longItems.empty(); }
    };
    // Invariant: a flow with requests is in `order` (and in `shortOrder` if it has short ones), or in `blockedOrder` if it is blocked.
    // An empty flow is in `idle` until the virtual time has passed its tag, then it is forgotten.
    using Tag = std::pair<double, WorkspaceId>;
    struct Lane {
        std::unordered_map<WorkspaceId, Flow> flows;
        std::set<Tag> order;
        std::set<Tag> shortOrder;
        std::set<Tag> blockedOrder;
        std::set<Tag> idle;
        std::set<std::pair<TimePoint, RequestId>> byLatestStart;
        WorkBySize work {};
        double shortWork = 0;    // engine seconds
        double activeWeight = 0; // of the flows in `order`
        double virtualTime = 0;  // engine seconds per unit of weight
        double largestTag = 0;
    };

    static size_t sizeClass(Duration cost);
    const Lane* lane(ModelId model, Tier tier) const;
    Lane& laneFor(ModelId model, Tier tier);
    double keyOf(const QueuedItem& item) const;
    static void enlist(Lane& lane, WorkspaceId workspace, Flow& flow);
    static void delist(Lane& lane, WorkspaceId workspace, Flow& flow);
    static void advanceVirtualTime(Lane& lane);
    QueuedItem extract(RequestId id, bool charge);
    const QueuedItem* lastOf(const Lane& lane) const;

    FairQueueSettings settings;
    std::unordered_map<RequestId, QueuedItem> items;
    std::deque<std::array<Lane, tierCount>> lanes; // by model
};

} // namespace guavapond
