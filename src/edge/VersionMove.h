// The move of a service's traffic to a new version by a deadline. A small share of the requests tries the new version; their outcomes
// at all nodes decide. A bad version gets nothing further from the moment at which a node knows; a good one gets everything shortly
// before the deadline, so that a version that turns bad late has met few requests.
//
// Index
//   MoveOrder       what the operator asks for
//   VersionCounts, RouteCounts   outcomes of one version, and of both on one route
//   MoveSettings    bounds
//   VersionMove     route, count, peer, decide
#pragma once

#include "core/Types.h"

#include <array>
#include <map>

namespace guavapond::edge {

struct MoveOrder {
    std::string service;
    std::string version;
    Duration span {};      // from the order to its deadline
    uint64_t revision = 0; // of the order; a later order replaces an earlier one
};

struct VersionCounts {
    uint64_t requests = 0;
    uint64_t bad = 0; // failed, or several times slower than the old version on the same route
    VersionCounts& operator+=(const VersionCounts& other)
    {
        this->requests += other.requests;
        this->bad += other.bad;
        return *this;
    }
};

struct RouteCounts {
    VersionCounts newVersion; // of the new version
    VersionCounts oldVersion; // of the old version
    RouteCounts& operator+=(const RouteCounts& other)
    {
        this->newVersion += other.newVersion;
        this->oldVersion += other.oldVersion;
        return *this;
    }
};

enum class MoveState : uint8_t {
    Trying,    // a small share
    Switching, // all requests go to the new version
    Completed,
    Reverted,
};
std::string_view moveStateName(MoveState state); // lower_snake_case

struct MoveSettings {
    double mostExposed = 0.1;                                   // share of the service's requests that a bad version may get
    double exposedAllowance = 0;                                // requests on top of it
    double canaryShare = 0.05;                                  // of requests, while the version is unproved
    uint64_t minCanaryRequests = 20;                            // requests of all nodes before all go to the new version
    double badExcess = 0.05;                                    // of outcomes beyond the old version's, that make a version bad
    uint64_t minBadRequests = 5;                                // outcomes before a version is called bad
    uint64_t minBadRequestsIfMostBad = 3;                       // the same, where most outcomes of a route are bad
    double slowFactor = 2.5;                                    // against the old version's mean time on the same route
    Duration maxSwitchTime = std::chrono::milliseconds(2500);   // before the deadline
    Duration completionMargin = std::chrono::milliseconds(250); // before the deadline, the move ends either way
};

class VersionMove {
public:
    // `orderedAfter`: a time at which the order was not there yet; empty: it may be older than this process, and peers tell its age.
    VersionMove(const MoveOrder& order, const MoveSettings& settings, std::optional<TimePoint> orderedAfter, TimePoint now);

    bool sendToNew(double random) const; // `random` is uniform in [0, 1)
    void onRequest() { ++this->arrivals; }
    void count(bool isNew, std::string_view route, bool failed, std::optional<Duration> time);

    struct Report { // what nodes tell each other
        uint64_t revision = 0;
        uint64_t arrivals = 0;
        std::map<uint64_t, RouteCounts> routes; // by hash of the route's name
        uint64_t oldInFlight = 0;
        bool judgedBad = false;
        bool switched = false;       // sends nothing to other versions any longer
        std::optional<Duration> age; // of the order; empty: the node does not know it
    };
    Report report(uint64_t oldInFlight, TimePoint now) const;
    RouteCounts counts() const; // of all nodes and routes
    void onPeerReport(uint64_t node, const Report& report, TimePoint now);

    // Advances the state. `oldInFlight` counts this node's work at old targets, `otherNodes` the nodes that may send to them besides this
    // one. A final state is what the driver writes.
    MoveState advance(uint64_t oldInFlight, size_t otherNodes, TimePoint now);
    void settle(MoveState final) { this->current = final; } // as the store has it
    MoveState state() const { return this->current; }
    const MoveOrder& order() const { return this->moveOrder; }
    bool isDrained(uint64_t oldInFlight, size_t otherNodes) const; // no node has work at old targets, or will send any

private:
    struct RouteTime {
        double meanMs = 0; // of the old version
        uint64_t count = 0;
    };
    std::map<uint64_t, RouteCounts> totals() const; // of all nodes, by route
    uint64_t canaryRequests() const;                // requests that the new version ended, at all nodes
    uint64_t totalArrivals() const;
    bool isBad(const RouteCounts& counts) const;
    bool isBad() const; // on one route, or on all together
    TimePoint deadline() const { return this->orderedAt + this->moveOrder.span; }
    Duration switchTime(TimePoint now) const; // before the deadline; what the bound on exposure leaves

    MoveOrder moveOrder;
    MoveSettings settings;
    TimePoint orderedAt; // at most this long ago; the start of this process until isDated
    bool isOrderTimeKnown;
    MoveState current = MoveState::Trying;
    uint64_t arrivals = 0;
    std::map<uint64_t, RouteCounts> routes; // of this node
    bool judgedBad = false;                 // by a node; never taken back
    std::map<std::string, RouteTime, std::less<>> times;
    std::map<uint64_t, Report> peers;
};

} // namespace guavapond::edge
