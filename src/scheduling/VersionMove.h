// Canary release: moves a service's traffic to a new version by a deadline. A small share of the requests goes to the new version, and
// their outcomes at all nodes decide. A node sends no more requests to a version that it or a peer found bad. A good version gets all
// requests only shortly before the deadline, so that one that turns bad late has received few requests.
//
// A version may be bad under load only, and Completed can't be taken back: the old targets stop then. So one new target first gets the
// load that each will have, and after the switch the version is watched for as long as the deadline allows.
//
// Index
//   MoveOrder       the operator's order
//   VersionCounts   outcomes of one version
//   RouteCounts     outcomes of both versions on one route
//   MoveState       progress of the move; moveStateName, isFinal
//   MoveSettings    limits and thresholds
//   VersionMove     sendToNew, onRequest, onSent, onNotCounted, count, countRunning, isSlow; report, onPeerReport; setNewTargets, advance,
//                   hasSwitched, isDrained
#pragma once

#include "core/Types.h"

#include <array>
#include <map>

namespace guavapond::edge {

struct MoveOrder {
    std::string service;
    std::string version;
    Duration span {};      // time from the order to its deadline
    uint64_t revision = 0; // a higher revision replaces an earlier order
};

struct VersionCounts {
    uint64_t requests = 0;
    uint64_t bad = 0;     // failed, or slower than the old version on the same route by MoveSettings::slowFactor; some still run
    uint64_t running = 0; // requests that still run and are not counted in `requests`
    VersionCounts& operator+=(const VersionCounts& other)
    {
        this->requests += other.requests;
        this->bad += other.bad;
        this->running += other.running;
        return *this;
    }
};

struct RouteCounts {
    VersionCounts newVersion;
    VersionCounts oldVersion;
    RouteCounts& operator+=(const RouteCounts& other)
    {
        this->newVersion += other.newVersion;
        this->oldVersion += other.oldVersion;
        return *this;
    }
};

enum class MoveState : uint8_t {
    Trying,    // a small share of the requests goes to the new version
    Loading,   // one new target gets the load that each will have after the switch
    Switching, // all new requests go to the new version; the old targets finish theirs
    Completed,
    Reverted,
};
std::string_view moveStateName(MoveState state); // lower_snake_case
constexpr bool isFinal(MoveState state) { return state == MoveState::Completed || state == MoveState::Reverted; }

struct MoveSettings {
    double mostExposed = 0.1;    // share of the service's requests that a bad version may get
    double exposedAllowance = 0; // number of requests allowed in addition to mostExposed
    double canaryShare = 0.05;   // share of the requests sent to the new version in state Trying
    double loadMargin = 1.2;     // load of the target in state Loading, as a multiple of the mean after the switch; loads are uneven
    Duration maxLoadTime = std::chrono::seconds(4); // longest time in state Loading
    uint64_t minCanaryRequests = 20;                // requests of all nodes to the new version before it may get all requests
    double badExcess = 0.05;              // excess share of bad outcomes that makes a version bad, beyond twice that of the old version
    uint64_t minBadRequests = 5;          // bad outcomes before a version is judged bad
    uint64_t minBadRequestsIfMostBad = 3; // replaces minBadRequests where more than half of the outcomes are bad
    double chanceOfGood = 1e-4;           // a version is bad if one like the old version has so many bad outcomes with a lower probability
    double leastBadShare = 0.01;          // of the old version's outcomes, for chanceOfGood
    double slowFactor = 2.5;  // an answer is bad if its first event, or the time between events, takes this multiple of the old version's
                              // mean on its route
    uint64_t gapsToJudge = 4; // a stream that still runs is judged by the time that this many slow gaps would have taken
    Duration maxSwitchTime = std::chrono::milliseconds(2500); // longest time before the deadline at which all requests move
    // Time before the deadline at which the move completes or reverts. It completes a little earlier if the old targets have finished.
    Duration completionMargin = std::chrono::milliseconds(250);
};

class VersionMove {
public:
    // `orderedAfter`: a time at which the order did not exist yet; empty: the order may be older than this process, and its age comes
    // from the reports of peers.
    VersionMove(const MoveOrder& order, const MoveSettings& settings, std::optional<TimePoint> orderedAfter, TimePoint now);

    bool sendToNew(double random) const; // true: the request goes to the new version; `random` is uniform in [0, 1)
    void onRequest() { ++this->arrivals; }
    void onSent(bool isNew, std::string_view route);       // to a target
    void onNotCounted(bool isNew, std::string_view route); // the request has ended, and says nothing of the version
    struct Times {                                         // of a request at a target; each is empty if it is not known
        std::optional<Duration> first;                     // until the first event, or until the answer of a service that is no engine
        std::optional<Duration> gap;                       // mean time between events
        Duration expectedFirst {};                         // `first` as predicted from the load of the target
    };
    void count(bool isNew, std::string_view route, bool failed, const Times& times); // of a request that has ended
    // Counts a request that still runs and is slow already; it must not be counted again when it ends. Slow answers end last, so a
    // verdict on ended ones alone would see the quick ones first.
    void countRunning(bool isNew, std::string_view route);
    struct Progress {                       // of a request that still runs
        Duration untilFirst {};             // until its first event, or until now
        Duration expectedFirst {};          // as predicted from the load of the target
        std::optional<Duration> sinceFirst; // since the first event; empty: there was none
        uint64_t gaps = 0;                  // between its events so far
    };
    bool isSlow(std::string_view route, const Progress& progress) const;

    struct Report { // a node's counts and state of the move, sent to its peers
        uint64_t revision = 0;
        uint64_t arrivals = 0;                  // requests for the service
        std::map<uint64_t, RouteCounts> routes; // by hash of the route's name
        uint64_t oldInFlight = 0;               // requests at targets of other versions
        bool judgedBad = false;                 // the node found the version bad, or follows a peer that did
        bool switched = false;                  // the node sends new requests only to the new version
        std::optional<Duration> age;            // age of the order; empty: the node does not know it
    };
    Report report(uint64_t oldInFlight, TimePoint now) const;
    RouteCounts counts() const; // over all nodes and routes
    void onPeerReport(uint64_t node, const Report& report, TimePoint now);

    // Number of the new version's targets for each one that gets the load in state Loading.
    void setNewTargets(double perLoaded) { this->newTargets = perLoaded; }
    // Advances the state and returns it. `oldInFlight`: this node's requests at targets of other versions. `otherNodes`: how many other
    // nodes may send requests to those targets. The node that drives the move writes a final state to the store.
    MoveState advance(uint64_t oldInFlight, size_t otherNodes, TimePoint now);
    void settle(MoveState final) { this->current = final; } // sets the state that the store holds
    MoveState state() const { return this->current; }
    bool hasSwitched() const { return this->current == MoveState::Switching || this->current == MoveState::Completed; }
    const MoveOrder& order() const { return this->moveOrder; }
    bool isDrained(uint64_t oldInFlight, size_t otherNodes) const; // no node has requests at targets of other versions or will send any

private:
    struct MeanTime {       // of the old version's answers on a route
        double ms = 0;      // exponentially weighted mean
        uint64_t count = 0; // of samples
        void add(Duration sample);
    };
    struct RouteTimes {
        MeanTime first;
        MeanTime gap;
    };
    bool isSlow(const MeanTime& mean, Duration time) const;
    bool isSlowFirst(const MeanTime& mean, Duration time, Duration expected) const;
    VersionCounts& countsOf(bool isNew, std::string_view route);
    using CountsByRoute = std::map<uint64_t, RouteCounts>; // by hash of the route's name
    CountsByRoute totals() const;                          // over all nodes
    uint64_t canaryRequests() const;                       // requests at the new version that ended, at all nodes
    uint64_t exposedRequests() const;                      // the same, with those that run
    uint64_t totalArrivals() const;
    bool isBad(const RouteCounts& counts) const;
    bool isUnlikelyGood(const RouteCounts& counts) const;
    bool isBad(const CountsByRoute& byRoute) const;  // on a single route or over all routes
    bool isBad() const;                              // since the order, or under load
    void advanceTrial(Duration left, TimePoint now); // `left`: until the deadline
    void startLoad(MoveState next);
    TimePoint deadline() const { return this->orderedAt + this->moveOrder.span; }
    double loadShare() const; // of the requests in state Loading
    double requestsPerSecond(TimePoint now) const;
    double remainingExposure(TimePoint now) const; // requests that the new version may still get until the deadline
    // How long one target can get the load, and then all requests can move, so that the new version gets so many requests until the
    // deadline.
    Duration loadTime(double exposure, TimePoint now) const;
    Duration switchTime(double exposure, TimePoint now) const;

    MoveOrder moveOrder;
    MoveSettings settings;
    TimePoint orderedAt; // a time at or before the order; the start of this process until isOrderTimeKnown
    bool isOrderTimeKnown;
    MoveState current = MoveState::Trying;
    double newShare;       // of the requests to the new version until the switch
    double newTargets = 0; // for each one that gets the load
    uint64_t arrivals = 0;
    CountsByRoute routes;                                 // outcomes of this node
    CountsByRoute beforeLoad;                             // outcomes at all nodes when state Trying ended
    bool judgedBad = false;                               // by any node; never reset
    std::map<std::string, RouteTimes, std::less<>> times; // by route
    std::map<uint64_t, Report> peers;                     // last report, by node
};

} // namespace guavapond::edge
