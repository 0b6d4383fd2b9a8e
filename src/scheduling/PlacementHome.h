// The home of a group of targets: the one node that schedules requests onto them. A group is the targets of a service in one failure
// domain, or all targets of the service. Nodes send their placement requests to the home, which knows the load of every node at the
// group. Requests wait here in priority order, and the next place that becomes free goes to the first of them. Without a home, a burst
// that arrives at many nodes overloads single targets: each node's own view is older than the lifetime of most requests, so all nodes
// choose the same target.
//
// The nodes hold the state: each report of a node lists everything that it runs at the group, so a new home knows the full load after
// one report of each node. A granted place counts as load until a report of the node confirms the grant. Safety does not depend on
// there being only one home: two nodes that both act as home can only grant more places than there are, and targets reject the excess.
//
// Index
//   PlacementRequest   what a node asks of a home
//   PlacementVerdict   kind of an answer
//   PlacementAnswer    what the home answers
//   GroupCapacity      free capacity of a group, as homes tell each other
//   HomeSettings       lifetimes and limits of a home
//   demandOf           the request as input of TargetPool::choose
//   isInTime           whether a choice keeps a request's bound on its first event
//   PlacementHome      enqueue, withdraw, updateLoads, updateRemoteCapacity, processQueue, capacity
#pragma once

#include "scheduling/Admission.h"
#include "scheduling/DomainSpill.h"
#include "scheduling/RefusalShare.h"
#include "scheduling/TargetPool.h"
#include "scheduling/WorkspaceTurns.h"

#include <deque>

namespace guavapond::edge {

// Durations count from the arrival of the message, since the clocks of nodes differ.
struct PlacementRequest {
    uint64_t node = 0;         // hash of the requesting node's name
    uint64_t id = 0;           // unique within the node; a retransmission carries the id of the original
    uint64_t service = 0;      // hash of its name
    std::string group;         // failure domain of the targets; empty: all targets of the service
    std::string failureDomain; // of the requesting node
    Rank rank;
    uint32_t promptTokens = 0;
    uint32_t outputEvents = 1;                // expected
    bool urgent = false;                      // has the highest priority
    bool repeatable = false;                  // may be sent to a target on probation
    std::vector<PromptPart> parts;            // of the prompt, in order
    std::string onlyVersion;                  // required version of the target; empty: any
    std::string notVersion;                   // version that is excluded; empty: none
    std::vector<uint64_t> excludedTargets;    // hashes of target ids that must not be chosen
    Duration maxWait {};                      // in the queue of the home
    std::optional<Duration> firstEventWithin; // latest acceptable first event of the response; empty: no bound
    bool mayRedirect = true;                  // false: the home must not redirect it to another group
    uint64_t transferBytes = 0;               // of the body and of the expected answer; 0: not known
    uint64_t workspace = 0;                   // hash of its name; 0: none, or not known
    double workspaceWeight = 0;               // its part of scarce room, relative to other workspaces; 0: that of a mean one
};

enum class PlacementVerdict : uint8_t {
    Granted,
    Queued,     // waits at the home, which sends a final answer later
    Redirected, // another group has free slots: ask its home
    Full,       // no place within the bounds of the request
};
constexpr size_t placementVerdictCount = static_cast<size_t>(PlacementVerdict::Full) + 1;
std::string_view placementVerdictName(PlacementVerdict verdict); // lower_snake_case

struct PlacementAnswer {
    uint64_t node = 0;      // hash of the requesting node's name
    uint64_t id = 0;        // of the request
    Rank rank;              // of the request; not sent
    uint64_t workspace = 0; // of the request; not sent
    PlacementVerdict verdict = PlacementVerdict::Full;
    uint64_t service = 0;
    std::string group;                      // of the home that answers
    std::string otherGroup;                 // with Redirected: the group to ask next
    std::optional<SpillReason> spillReason; // with Redirected: why the request leaves; empty: no room, and prices don't count
    uint64_t target = 0;                    // with Granted: hash of the target's id
    uint64_t grant = 0;                     // with Granted: number of the grant, increasing within a home; 0: none
    Duration firstEvent {};                 // with Granted: predicted time to the first event
    uint32_t backlogTokens = 0;            // with Granted: prompt tokens the target reads before the first event, with those of the request
    double occupancy = 1;                  // share of the group's slots in use
    bool countedByLimit = false;           // with Granted: the place was taken from the target's rate (SharedRate.h)
    bool countedByWarmUp = false;          // with Granted: that rate was at most the one for targets that warm up
    bool passedLimit = false;              // a target was passed over for its rate
    std::optional<Duration> limitEndedFor; // with Granted: how long the home knows that the target's request limit has ended
    std::optional<Duration> retryAfter;    // with Full: when the rates of the targets have room
    std::optional<double> refusedShare;    // with Full: of the requests of its rank that were decided lately; empty: not known
};

struct GroupCapacity {
    uint64_t service = 0;
    std::string group;
    uint32_t freeSlots = 0;             // beyond those that waiting requests will take
    Duration shortestWait {};           // predicted time to the first event of a short prompt at the best target
    uint32_t shortBy = 0;               // requests that the group lacks places for; always 0 where SpillSettings::enabled is not set
    std::optional<uint32_t> offered {}; // of freeSlots, for the receiver; empty: told by a node that doesn't divide them
    bool operator==(const GroupCapacity&) const = default;
};

struct HomeSettings {
    Duration grantTtl = std::chrono::milliseconds(250);    // a grant that no report confirms within this time counts as lost
    Duration capacityTtl = std::chrono::milliseconds(600); // how long a capacity that another home announced is used
    size_t answersPerNode = 64;                            // most recent answers kept, to recognize retransmitted requests
    size_t requestsPerRound = 64;                          // requests examined in one call of processQueue, highest priority first
};

Demand demandOf(const PlacementRequest& request); // holds references into the request
// An idle target always does: a caller that is refused and returns finds nothing sooner, and without requests a slow measurement stays.
bool isInTime(const TargetPool::Choice& choice, const std::optional<TimePoint>& latestFirst, TimePoint now);

class PlacementHome {
public:
    PlacementHome(TargetPool& pool, std::string group, const HomeSettings& settings = {});

    void enqueue(const PlacementRequest& request, TimePoint now); // a retransmission never takes a second place
    void withdraw(uint64_t node, uint64_t id);
    // Replaces the known load of a node by `loads`, everything that it runs at the group; `seenGrant` is the newest grant it had received.
    void updateLoads(uint64_t node, uint64_t seenGrant, std::span<const TargetLoadReport> loads, TimePoint now);
    void updateRemoteCapacity(const GroupCapacity& capacity, TimePoint now);
    std::vector<PlacementAnswer> processQueue(TimePoint now); // returns the answers to send now
    GroupCapacity capacity(uint64_t service, TimePoint now) const;
    // Parts of `capacity` that the homes of the other groups may use; empty: it is not divided.
    std::vector<uint32_t> offers(const GroupCapacity& capacity, std::span<const std::string> others, TimePoint now) const;
    const DomainSpill& domainSpill() const { return this->spill; }
    size_t waiting() const { return this->queue.size(); }
    size_t workspacesAhead() const { return this->turns.aheadCount(); } // that have had more than their part
    uint64_t granted() const { return this->lastGrant; }

private:
    struct Waiting {
        PlacementRequest request;
        TimePoint giveUpAt;
        std::optional<TimePoint> latestFirst;
        bool queuedSent = false; // the Queued answer was sent
        bool wouldLeave = false; // counted by DomainSpill
        bool isExamined = false; // it was among the first of the queue
        Turn turn {};            // its charge is given back unless the request is placed
    };
    struct Grant {
        uint64_t number;
        uint64_t target; // hash of its id
        uint32_t tokens; // of the prompt
        TimePoint at;
    };
    struct Requester {
        std::deque<Grant> unconfirmed;          // grants that no report confirms yet, by increasing number
        std::deque<PlacementAnswer> answers;    // most recent ones, oldest first
        std::vector<TargetLoadReport> reported; // loads of the last report
        TimePoint reportedAt {};
    };
    struct RemoteCapacity {
        GroupCapacity capacity;
        TimePoint at;
    };
    uint64_t loadKey(uint64_t node) const;                             // key of a node's load at this group in the pool
    PlacementAnswer makeAnswer(const PlacementRequest& request) const; // with verdict Full
    std::vector<TargetPool::Index> excludedIndices(const PlacementRequest& request) const;
    std::optional<PlacementAnswer> decide(Waiting& waiting, TimePoint now); // empty: keeps waiting
    PlacementAnswer grant(const PlacementRequest& request, const TargetPool::Choice& choice, TimePoint now);
    // The answer to a request that waits in vain, because rates leave no room in time; empty: it may wait.
    std::optional<PlacementAnswer> refuseByLimit(const Waiting& waiting, TimePoint now);
    struct Redirect {
        std::string group;
        std::optional<SpillReason> reason;
    };
    // Empty: no other group fits. `firstEventHere` is the prediction of a target of this group that takes the request, but too late.
    std::optional<Redirect> findRedirect(Waiting& waiting, std::optional<Duration> firstEventHere, TimePoint now);
    std::optional<Redirect> findPricedRedirect(Waiting& waiting, std::optional<Duration> firstEventHere, TimePoint now);
    const std::optional<Duration>& slotIntervalAt(TimePoint now); // between slots of this group that become free; empty: as below
    std::optional<Duration> predictWait(TimePoint now); // of the request that is decided, for a slot here; empty: no target is usable
    void removeWaiting(const WaitKey& key, bool isPlaced = false);
    // Refuses or confirms the requests that arrived since the last call: those that can't get a slot within their wait don't wait.
    void decideArrived(std::vector<PlacementAnswer>& answers, TimePoint now);
    bool isHopeless(const WaitKey& key, const Waiting& waiting, TimePoint now); // it won't get a slot within its wait
    void noteDecision(PlacementAnswer& answer, TimePoint now);
    void updatePoolLoads(uint64_t node, const Requester& requester, TimePoint now); // reported loads and unconfirmed grants

    TargetPool& pool;
    std::string group;
    HomeSettings settings;
    WaitQueue queue;
    WorkspaceTurns turns; // in use where the pool plans its room
    std::map<WaitKey, Waiting> waitingByKey;
    std::map<std::pair<uint64_t, uint64_t>, WaitKey> keysByRequest; // by node and request id
    std::map<uint64_t, Requester> requesters;                       // by node
    std::map<std::string, RemoteCapacity> remoteCapacities;         // by name of the other group
    DomainSpill spill;
    RefusalShare refusals;
    std::vector<WaitKey> arrived; // since the last call of processQueue; none where the pool doesn't plan its room
    uint64_t lastGrant = 0;
    bool fullForUrgent = false; // no target accepts such requests, in the current call of processQueue
    bool fullForOthers = false; // the same for requests that are not urgent
    bool limitsInForce = false; // a rate is in force at any target of the service, in the current call of processQueue
    std::optional<std::optional<Duration>> slotInterval; // of slotIntervalAt, in the current call of processQueue; empty: not asked yet
    int aheadHere = 0;                                   // requests of this call that stay and wait for a slot
    uint32_t aheadAtLimits = 0;                          // requests of this call that wait for room within rates
    TimePoint nextReturn {};                             // when the next caller that is refused for rates may return
};

} // namespace guavapond::edge
