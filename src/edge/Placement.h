// Finds a place for each request of this node, at the home of the targets. Which node is the home of a group follows from the nodes
// that are heard: the first by rendezvous hashing among those of the group's failure domain. Nobody is elected, and nothing waits for a
// home longer than a few milliseconds: one that does not answer is passed over until it is heard again, and a request that reached no
// home is placed by this node alone, on a small part of the targets.
//
// Messages are lost, late and repeated: a request is asked for until it is answered, and each report is whole.
//
// Index
//   PlacementMessage    what nodes send each other, to a home and from it
//   PlacementBounds
//   Placement           setNodes, ask, withdraw, changed, learned, received, tick, flush
#pragma once

#include "edge/PlacementHome.h"

namespace guavapond::edge {

struct GroupReport { // of a node, to a home
    uint64_t service = 0;
    std::string group;
    uint64_t homeIncarnation = 0; // of the process that made the grants
    uint64_t seenGrant = 0;
    std::vector<TargetLoadReport> loads;
};

struct Withdrawal { // of an ask
    uint64_t service = 0;
    std::string group;
    uint64_t id = 0;
};

struct PlacementMessage {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    std::vector<GroupReport> reports;
    std::vector<PlacementRequest> requests;
    std::vector<Withdrawal> withdrawals;
    std::vector<RunSample> samples;
    std::vector<PlacementAnswer> answers;
    std::vector<GroupCapacity> capacities;
    bool empty() const
    {
        return this->reports.empty() && this->requests.empty() && this->withdrawals.empty() && this->samples.empty()
            && this->answers.empty() && this->capacities.empty();
    }
};

struct PlacementBounds {
    Duration retryInterval = std::chrono::milliseconds(8);            // an ask without an answer
    Duration homeTimeout = std::chrono::milliseconds(24);             // a home that has not answered an ask for so long is passed over
    Duration unresponsiveFor = std::chrono::seconds(2);               // at the longest; anything that is heard from it ends this
    Duration lateAnswerGrace = std::chrono::milliseconds(40);         // after a queued request's wait has ended, the answer counts as lost
    Duration reportInterval = std::chrono::milliseconds(150);         // while this node has work at a group
    Duration capacityInterval = std::chrono::milliseconds(25);        // between sums that changed
    Duration capacityRepeatInterval = std::chrono::milliseconds(250); // between equal sums
    uint32_t maxHomesTried = 2;                                       // before this node places a request alone
    double localSpread = 1.0;                                         // of the choices of nodes that place alone
};

class Placement {
public:
    struct Node {
        std::string name;
        std::string failureDomain;
        bool operator==(const Node&) const = default;
    };
    using Callback = std::function<void(const PlacementAnswer&)>; // Granted or Full
    struct Hooks {
        std::function<TargetPool*(uint64_t service)> pool; // null: no such service here
        std::function<std::vector<uint64_t>()> services;
        std::function<void(const std::string& node, const PlacementMessage&)> send;
        std::function<void()> scheduleFlush; // call flush once the present events are handled
        std::function<double()> random;      // uniform in [0, 1)
    };
    Placement(Hooks hooks, const PlacementBounds& bounds = {});

    void setSelf(const Node& self, uint64_t incarnation);
    void setNodes(std::vector<Node> others); // that are heard and don't stop; without this one

    // `ask` says what is needed; node, id and group are filled in. `done` may be called at once.
    uint64_t request(PlacementRequest request, Callback callback, TimePoint now);
    void withdraw(uint64_t id);                          // `done` is not called any more
    void onLoadChanged(uint64_t service, TimePoint now); // this node's work at the service's targets
    void shareSample(const RunSample& sample, TimePoint now);
    void handleMessage(const PlacementMessage& message, TimePoint now);
    void tick(TimePoint now); // every few milliseconds
    void flush(TimePoint now);

    std::string homeOf(uint64_t service, const std::string& group, TimePoint now) const; // a node's name
    double occupancy(uint64_t service, TimePoint now) const; // of the group that this node asks, as its home last told
    size_t waiting() const { return this->pending.size(); }
    struct Counts { // since the start
        uint64_t requested = 0;
        uint64_t granted = 0;
        uint64_t full = 0;
        uint64_t redirected = 0;
        uint64_t withoutHome = 0;       // placed without a home
        uint64_t unresponsiveHomes = 0; // homes that did not answer
    };
    const Counts& counts() const { return this->total; }
    struct HomeView { // for operators
        uint64_t service = 0;
        std::string group;
        std::string home;
        size_t waiting = 0; // here, where this node is the home
        uint64_t granted = 0;
    };
    std::vector<HomeView> view(uint64_t service, TimePoint now) const;

private:
    using GroupKey = std::pair<uint64_t, std::string>; // service, failure domain
    struct Pending {
        PlacementRequest request;
        Callback callback;
        std::string home;
        TimePoint dispatchedAt {};
        TimePoint sentAt {};
        TimePoint giveUpAt {};
        std::optional<TimePoint> latestFirst;
        uint32_t homesTried = 0;
        bool queued = false;
    };
    struct GroupState { // as a node that asks
        uint64_t homeIncarnation = 0;
        uint64_t seenGrant = 0;
        std::string home; // to which the last report went
        TimePoint reportedAt {};
        bool reportDue = false;
        bool hadWork = false;
        std::optional<double> occupancy;
        TimePoint occupancyAt {};
    };
    struct LocalHome {
        std::unique_ptr<PlacementHome> home;
        GroupCapacity lastCapacity;
        TimePoint capacitySentAt {};
        bool isProcessing = false;
        bool processAgain = false;
    };
    std::string preferredGroup(const TargetPool& pool) const;
    static std::vector<std::string> groups(const TargetPool& pool);
    LocalHome* localHome(const GroupKey& key);
    PlacementMessage& outbox(const std::string& node);
    void dispatch(uint64_t id, TimePoint now);
    void processQueue(const GroupKey& key, TimePoint now);
    void handleAnswer(const PlacementAnswer& answer, const std::string& from, uint64_t incarnation, TimePoint now);
    void finish(uint64_t id, const PlacementAnswer& answer);
    void checkTimeout(uint64_t id, TimePoint now); // an ask without an answer
    void placeWithoutHome(uint64_t id, TimePoint now);
    void addReports(TimePoint now);
    void markUnresponsive(const std::string& node, TimePoint now);
    void sendCapacity(const GroupKey& key, LocalHome& own, TimePoint now);
    void createHomes(TimePoint now); // groups whose home is this node, also before anybody asks
    void sendCapacities(TimePoint now);
    bool isUnresponsive(const std::string& node, TimePoint now) const;

    Hooks hooks;
    PlacementBounds bounds;
    Node self;
    uint64_t selfHash = 0;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    uint64_t lastRequestId = 0;
    std::vector<Node> nodes;             // with this one
    std::map<uint64_t, Pending> pending; // by number of the ask
    std::map<GroupKey, GroupState> groupStates;
    std::map<GroupKey, LocalHome> homes;              // of which a node believed this one to be the home
    std::map<std::string, PlacementMessage> outgoing; // by node
    std::map<uint64_t, std::string> nodeNames;        // of nodes, by hash
    std::map<std::string, TimePoint> unresponsive;
    std::map<std::string, std::pair<uint64_t, uint64_t>> lastReceived; // incarnation and newest sequence, by node
    Counts total;
    TimePoint homesCheckedAt {};
};

} // namespace guavapond::edge
