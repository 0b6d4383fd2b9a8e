// The home of a group of targets: one node that knows all work at them, and so gives out their places. Requests of all nodes wait here
// by rank, and the place that becomes free next is given to the first of them. Written for bursts at many nodes: each node's own view is
// older than most requests live, and all nodes would choose the same target.
//
// State is the nodes': every report of a node holds all that it runs at the group, so a new home knows the group after one report of
// each. A place that was granted counts until the node's next report has seen the grant. No safety rule rests on a home: two nodes that
// both believe to be it only grant more than fits, which targets turn away.
//
// Index
//   PlaceAsk        a node's wish for a place
//   PlaceAnswer
//   GroupSum        what homes tell each other of their groups
//   PlacementHome   ask, withdraw, report, hearSum, serve, sum
#pragma once

#include "edge/Admission.h"
#include "edge/TargetPool.h"

#include <deque>

namespace guavapond::edge {

// Durations count from the arrival of the message: clocks of nodes differ.
struct PlacementRequest {
    uint64_t node = 0; // hash of the asking node's name
    uint64_t id = 0;   // of that node; repeats of a message carry the same
    uint64_t service = 0;
    std::string group;         // failure domain; empty: all targets of the service
    std::string failureDomain; // of the asking node
    Rank rank;
    uint32_t promptTokens = 0;
    uint32_t outputEvents = 1;
    bool urgent = false;
    bool repeatable = false;
    std::vector<PromptPart> parts;
    std::string onlyVersion;
    std::string notVersion;
    std::vector<uint64_t> excludedTargets; // hashes of targets that the node does not want
    Duration maxWait {};
    std::optional<Duration> firstEventWithin; // a later first event is not wanted; empty: any is better than none
    bool mayRedirect = true;
};

enum class PlacementVerdict : uint8_t {
    Granted,
    Queued,     // a final answer follows
    Redirected, // another group has room
    Full,
};
constexpr size_t placementVerdictCount = static_cast<size_t>(PlacementVerdict::Full) + 1;
std::string_view placementVerdictName(PlacementVerdict verdict); // lower_snake_case

struct PlacementAnswer {
    uint64_t node = 0;
    uint64_t id = 0;
    PlacementVerdict verdict = PlacementVerdict::Full;
    uint64_t service = 0;
    std::string group;      // of the home
    std::string otherGroup; // with Elsewhere
    uint64_t target = 0;    // hash of its id
    uint64_t grant = 0;     // number of the grant; grows with each
    Duration firstEvent {};
    uint32_t backlogTokens = 0;
    double occupancy = 1; // of the group's slots
};

struct GroupCapacity {
    uint64_t service = 0;
    std::string group;
    uint32_t freeSlots = 0;
    Duration shortestWait {}; // predicted wait for a first event of a short prompt at the best target
    bool operator==(const GroupCapacity&) const = default;
};

struct HomeSettings {
    Duration grantTtl = std::chrono::milliseconds(250);    // a grant that no report has seen was lost
    Duration capacityTtl = std::chrono::milliseconds(600); // of another group's sum
    size_t answersPerNode = 64;                            // of each node, for messages that are repeated
    size_t requestsPerRound = 64;                          // requests looked at in one round, the most urgent first
};

Demand demandOf(const PlacementRequest& request); // refers to the ask

class PlacementHome {
public:
    PlacementHome(TargetPool& pool, std::string group, const HomeSettings& settings = {});

    void enqueue(const PlacementRequest& request, TimePoint now); // repeats are harmless
    void withdraw(uint64_t node, uint64_t id);
    // All that a node runs at the group, and the newest grant that it had received then.
    void updateLoads(uint64_t node, uint64_t seenGrant, std::span<const TargetLoadReport> loads, TimePoint now);
    void updateRemoteCapacity(const GroupCapacity& capacity, TimePoint now);
    std::vector<PlacementAnswer> processQueue(TimePoint now); // that are due now
    GroupCapacity capacity(uint64_t service, TimePoint now) const;
    size_t waiting() const { return this->queue.size(); }
    uint64_t granted() const { return this->lastGrant; }

private:
    struct Waiting {
        PlacementRequest request;
        TimePoint giveUpAt;
        std::optional<TimePoint> latestFirst;
        bool queuedSent = false; // that it waits
    };
    struct Grant {
        uint64_t number;
        uint64_t target;
        uint32_t tokens;
        TimePoint at;
    };
    struct Requester {
        std::deque<Grant> unconfirmed;       // in order of their numbers
        std::deque<PlacementAnswer> answers; // the last ones
        std::vector<TargetLoadReport> reported;
        TimePoint reportedAt {};
    };
    struct RemoteCapacity {
        GroupCapacity capacity;
        TimePoint at;
    };
    uint64_t loadKey(uint64_t node) const;                             // in the pool: a node's work at this group
    PlacementAnswer makeAnswer(const PlacementRequest& request) const; // Full
    std::vector<TargetPool::Index> excludedIndices(const PlacementRequest& request) const;
    std::optional<PlacementAnswer> decide(Waiting& waiting, TimePoint now);
    PlacementAnswer grant(const PlacementRequest& request, const TargetPool::Choice& choice, TimePoint now);
    RemoteCapacity* findRedirect(const Waiting& waiting, TimePoint now);
    void removeWaiting(const WaitKey& key);
    void updatePoolLoads(uint64_t node, const Requester& requester, TimePoint now); // its work, in the pool

    TargetPool& pool;
    std::string group;
    HomeSettings settings;
    WaitQueue queue;
    std::map<WaitKey, Waiting> waitingByKey;
    std::map<std::pair<uint64_t, uint64_t>, WaitKey> keysByRequest; // by node and its number
    std::map<uint64_t, Requester> requesters;
    std::map<std::string, RemoteCapacity> remoteCapacities; // of other groups
    uint64_t lastGrant = 0;
    bool fullForUrgent = false; // in the present round
    bool fullForOthers = false;
};

} // namespace guavapond::edge
