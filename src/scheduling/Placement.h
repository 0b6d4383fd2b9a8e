// Places each request of this node by asking the home of the targets (see PlacementHome.h). Which node is the home of a group follows
// from the list of reachable nodes, without an election (see HomeChoice.h). A home confirms each request at once. One that does not is
// skipped when it counts as dead (see HomeLiveness.h), and a request that reaches no home is placed by this node itself, which then uses
// only a small part of the targets' capacity: targets that run none of its requests.
//
// Messages may be lost, late or duplicated: a request is retransmitted until it is answered, and each load report is complete.
//
// Index
//   GroupReport         load of a node at a group, sent to the home
//   Withdrawal          takes back a placement request
//   GroupName           a group of targets
//   PlacementMessage    one datagram between two nodes
//   PlacementBounds     intervals, timeouts and limits of the protocol
//   LimitAnswer         what an answer says of the target's request limit
//   Placement           setSelf, setNodes, onHeard, request, withdraw, onLoadChanged, shareSample, onLimitAnswer, handleMessage, tick,
//                       flush, homeOf, occupancy, waiting, counts, view
#pragma once

#include "scheduling/HomeChoice.h"
#include "scheduling/HomeLiveness.h"
#include "scheduling/HomeTakeover.h"
#include "scheduling/PlacementHome.h"

#include <set>

namespace guavapond::edge {

struct GroupReport {
    uint64_t service = 0;
    std::string group;
    uint64_t homeIncarnation = 0;        // incarnation of the process that sent seenGrant
    uint64_t seenGrant = 0;              // newest grant received from that process; 0: none
    std::vector<TargetLoadReport> loads; // everything that the node runs at the group
};

struct Withdrawal {
    uint64_t service = 0;
    std::string group;
    uint64_t id = 0; // of the request
};

struct GroupName {
    uint64_t service = 0;
    std::string group;
};

struct PlacementMessage {
    std::string node;         // name of the sender
    uint64_t incarnation = 0; // random at each start of the sender
    uint64_t sequence = 0;    // increases with each message of an incarnation
    std::vector<GroupReport> reports;
    std::vector<PlacementRequest> requests;
    std::vector<Withdrawal> withdrawals;
    std::vector<RunSample> samples;
    std::vector<PlacementAnswer> answers;
    std::vector<GroupCapacity> capacities;
    std::vector<LimitReport> limits;
    std::vector<WarmUpReport> warmUps;
    uint32_t version = 0;           // of the sender's messages; 0: of a build that names none
    std::vector<uint64_t> received; // ids of requests that wait at the sender
    std::vector<uint64_t> declined; // ids of requests that the sender, which is not the home, does not take
    std::vector<GroupName> wanted;  // groups of which the sender needs a report at once
    bool isProbe = false;           // the receiver replies at once
    bool isProbeReply = false;
    bool empty() const
    {
        return this->reports.empty() && this->requests.empty() && this->withdrawals.empty() && this->samples.empty()
            && this->answers.empty() && this->capacities.empty() && this->limits.empty() && this->warmUps.empty() && this->received.empty()
            && this->declined.empty() && this->wanted.empty() && !this->isProbe && !this->isProbeReply;
    }
};

struct PlacementBounds {
    HomeLivenessSettings liveness;
    HomeTakeoverSettings takeover;
    Duration lateAnswerGrace = std::chrono::milliseconds(40);  // after the end of a queued request's wait; then the answer counts as lost
    Duration reportInterval = std::chrono::milliseconds(150);  // of load reports, while this node has work at a group
    Duration capacityInterval = std::chrono::milliseconds(25); // between announcements of a capacity that changed
    Duration capacityRepeatInterval = std::chrono::milliseconds(250); // between announcements of an unchanged capacity
    Duration limitReportInterval = std::chrono::milliseconds(200);    // between reports to a home of the same request limit
    Duration limitRepeatInterval = std::chrono::seconds(1); // between reports of all request limits to the other nodes that have a share
    uint32_t maxHomesTried = 2;                             // tried in turn before this node places a request itself
    double localSpread = 1.0; // random part of predicted times when nodes place requests themselves (Demand::scoreJitter)
};

struct LimitAnswer {
    std::optional<double> perSecond; // empty: a sound answer that names no limit
    TimePoint sentAt {};             // of the request
    bool counted = false;            // the place of the request was taken from a request limit
};

class Placement {
public:
    using Node = HomeNode;
    using Callback = std::function<void(const PlacementAnswer&)>; // Granted or Full
    struct Hooks {
        std::function<TargetPool*(uint64_t service)> pool; // null: this node does not know the service
        std::function<std::vector<uint64_t>()> services;   // all that this node knows
        std::function<void(const std::string& node, const PlacementMessage&)> send;
        std::function<void()> scheduleFlush; // calls flush after the current events are handled
        std::function<double()> random;      // uniform in [0, 1)
    };
    Placement(Hooks hooks, const PlacementBounds& bounds = {});

    void setSelf(const Node& self, uint64_t incarnation);
    void setNodes(std::vector<Node> others);                        // all known nodes that are not shutting down, without this one
    void setStarting(bool value) { this->self.isStarting = value; } // see Node::isStarting, of this node
    void setStopping() { this->stopping = true; }                   // this node grants no more places within request limits
    void onHeard(const std::string& node, TimePoint now) { this->liveness.heard(node, now); } // a message that is not for placement

    // Returns the id of the request. Sets its node, id, group and failure domain; may invoke `callback` before it returns.
    uint64_t request(PlacementRequest request, Callback callback, TimePoint now);
    void withdraw(uint64_t id);                               // `callback` will not be invoked
    void onLoadChanged(uint64_t service, TimePoint now);      // call when this node's load at the service's targets has changed
    void shareSample(const RunSample& sample, TimePoint now); // sends it to the home of the target's group
    // This node got an answer of a target that names a request limit or none. The target's home is told, and whoever grants places at it
    // next. Returns what changed for this node.
    LimitChange onLimitAnswer(uint64_t service, TargetPool::Index target, const LimitAnswer& answer, TimePoint now);
    // Whether this node may use a granted place. It may not if the target named a limit to this node, or this node knows that the target
    // warms up, and the place was not taken from such a rate: the home is told instead.
    bool accepts(TargetPool::Index target, const PlacementAnswer& answer, TimePoint now);
    void handleMessage(const PlacementMessage& message, TimePoint now);
    void tick(TimePoint now); // every few milliseconds
    void flush(TimePoint now);

    std::string homeOf(uint64_t service, const std::string& group, TimePoint now) const;      // name of the home's node
    std::string groupFor(const TargetPool& pool) const { return this->preferredGroup(pool); } // that this node's requests are asked of
    double occupancy(uint64_t service, TimePoint now) const; // share of slots in use at this node's group; its home's last value if recent
    size_t waiting() const { return this->pending.size(); }
    struct Counts { // since the start
        uint64_t requested = 0;
        uint64_t granted = 0;
        uint64_t full = 0;
        uint64_t redirected = 0;
        uint64_t withoutHome = 0;     // requests placed by this node itself
        uint64_t silentHomes = 0;     // homes of which nothing was heard in time
        uint64_t unansweredHomes = 0; // homes that were heard and did not answer
        uint64_t homeChanges = 0;     // groups whose home moved to another node, as this node sees it
        uint64_t declined = 0;        // requests of other nodes that this one did not take in the place of a home
        uint64_t datagrams = 0;       // sent
    };
    const Counts& counts() const { return this->total; }
    const HomeLiveness& homeLiveness() const { return this->liveness; }
    struct HomeView { // for operators
        uint64_t service = 0;
        std::string group;
        std::string home;
        size_t waiting = 0;                          // requests queued here; 0 where another node is the home
        size_t workspacesAhead = 0;                  // that have had more than their part
        uint64_t granted = 0;                        // by this node as home
        std::vector<DomainSpill::View> neighbors {}; // other groups that this node as home may send requests to
    };
    std::vector<HomeView> view(uint64_t service, TimePoint now) const;

private:
    using GroupKey = std::pair<uint64_t, std::string>; // service, failure domain
    struct Pending {
        PlacementRequest request;
        Callback callback;
        std::string home;
        TimePoint dispatchedAt {}; // first sent to the present home
        TimePoint sentAt {};       // last sent
        TimePoint giveUpAt {};
        std::optional<TimePoint> latestFirst;
        uint32_t homesTried = 0;
        bool queued = false;                    // the home confirmed that the request waits there
        bool answered = false;                  // by the present home, or confirmed
        std::optional<SpillReason> spillReason; // why it left the failure domain
    };
    struct GroupState { // of a group whose home this node sends requests to
        uint64_t homeIncarnation = 0;
        uint64_t seenGrant = 0; // newest grant of that incarnation
        std::string home;       // receiver of the last report
        TimePoint reportedAt {};
        bool reportDue = false;
        bool hadWork = false; // the last report was not empty
        std::optional<double> occupancy;
        TimePoint occupancyAt {};
    };
    struct LocalHome { // a home that runs on this node
        std::unique_ptr<PlacementHome> home;
        GroupCapacity lastCapacity;
        std::set<std::string> spillsTo;   // other groups that get a share of the requests, as last logged
        std::vector<uint32_t> lastOffers; // of lastCapacity, to the other groups
        TimePoint capacitySentAt {};
        HomeTakeover takeover;
        bool isProcessing = false;
        bool processAgain = false;
    };
    double groupOccupancy(uint64_t service, const TargetPool& pool, const std::string& group, TimePoint now) const;
    std::string preferredGroup(const TargetPool& pool) const;
    static std::vector<std::string> groups(const TargetPool& pool);
    LocalHome* localHome(const GroupKey& key);
    PlacementMessage& outbox(const std::string& node);
    void dispatch(uint64_t id, TimePoint now);
    void processQueue(const GroupKey& key, TimePoint now);
    void handleAnswer(const PlacementAnswer& answer, const std::string& from, uint64_t incarnation, TimePoint now);
    void finish(uint64_t id, const PlacementAnswer& answer);
    void checkTimeout(uint64_t id, TimePoint now); // retransmits, asks the next home or places the request itself
    void abandonHome(uint64_t id, TimePoint now);  // asks the next home or places the request itself
    void probeHomes(TimePoint now);                // at which requests of this node wait
    void confirmReceipt(const PlacementMessage& message);
    void handleRequests(const PlacementMessage& message, uint64_t from, std::set<GroupKey>& changedGroups, TimePoint now);
    void prepareToGrant(const GroupKey& key, LocalHome& local, TimePoint now); // asks for reports where they are needed
    GroupReport makeReport(const GroupKey& key, const TargetPool& pool, TimePoint now);
    void addWantedReports(const PlacementMessage& message, TimePoint now);
    void doubtHome(const GroupKey& key, TimePoint now);
    void noteAnswer(Pending& entry, TimePoint now);
    void noteLateAnswer(uint64_t id, const std::string& from, TimePoint now);
    void placeWithoutHome(uint64_t id, TimePoint now);
    void addReports(TimePoint now);
    void skipHome(const std::string& node, HomeState reason, TimePoint now);
    void sendCapacity(const GroupKey& key, LocalHome& local, TimePoint now);
    static void logSpill(const GroupKey& key, LocalHome& local, TimePoint now);
    void createHomes(TimePoint now); // of groups that this node is the home of, before the first request arrives
    void sendCapacities(TimePoint now);
    size_t shareRank(uint64_t service, const std::string& group) const;
    void updateShares(TimePoint now);
    bool acceptsUncounted(TargetPool::Index target, const PlacementAnswer& answer, TimePoint now);
    void tellWarmUps(TimePoint now); // to the other nodes that have a share
    void handleWarmUpReport(const WarmUpReport& report, const std::string& from, TimePoint now);
    void reportLimit(uint64_t service, TargetPool& pool, TargetPool::Index target, LimitReport report, TimePoint now);
    void repeatLimits(TimePoint now);
    std::vector<std::string> nodesWithShare(const GroupKey& key) const; // reachable ones, without this node
    void handleLimitReport(const LimitReport& report, const std::string& from, TimePoint now);

    Hooks hooks;
    PlacementBounds bounds;
    Node self;
    uint64_t selfHash = 0;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    uint64_t lastRequestId = 0;
    std::vector<Node> nodes;             // reachable ones, with this one
    std::map<uint64_t, Pending> pending; // by request id
    std::map<uint64_t, std::pair<std::string, TimePoint>>
        abandoned; // homes that did not answer in time, and when they were asked; by request id
    std::map<GroupKey, GroupState> groupStates;
    std::map<GroupKey, LocalHome> homes;              // groups for which this node is home or was addressed as home
    std::map<std::string, PlacementMessage> outgoing; // by node
    std::map<uint64_t, std::string> nodeNames;        // by hash of the name
    HomeLiveness liveness;
    std::map<std::string, TimePoint> doubted; // homes that other nodes do not reach, and when one of them last asked this node
    std::map<std::string, std::pair<uint64_t, uint64_t>> lastReceived; // incarnation and newest sequence, by node
    std::map<std::string, uint32_t> versions;                          // of the messages of other nodes
    Counts total;
    std::map<uint64_t, RefusalShare> refusalsWithoutHome; // of requests that this node places itself, by service
    TimePoint homesCheckedAt {};
    bool stopping = false;
    std::map<uint64_t, TimePoint> limitReportedAt; // to the home, by hash of the target's id
    TimePoint limitsRepeatedAt {};
    TimePoint sharesUpdatedAt {};
    TimePoint warmUpsToldAt {};
};

} // namespace guavapond::edge
