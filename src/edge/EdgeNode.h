// One edge node: connects its HTTP listeners, the request relay and the link to its peers, and performs a graceful shutdown. The
// configuration and the list of targets are supplied from outside through relay().
//
// Index
//   EdgePaths    URL paths of the node's own pages
//   StopHooks    what the node's owner does in a planned stop
//   EdgeNode     start, stop, entryRemoved, applySettings, orderMove, onMoveResult
#pragma once

#include "edge/EdgeSettings.h"
#include "edge/StopSequence.h"

namespace guavapond::edge {

struct EdgePaths {
    std::string ready = "/ready";     // on the readiness listener
    std::string metrics = "/metrics"; // on the metrics listener
    std::string beliefs = "/beliefs"; // on the metrics listener: what this node assumes about targets and peers, as JSON
};

struct StopHooks {
    std::function<void()> removeEntry; // the node's own, from the store; calls entryRemoved() when that is done
    std::function<void()> ended;       // the process may exit
};

class EdgeNode {
public:
    EdgeNode(net::io_context& loop, const EdgeSettings& settings, const WireHeaders& headers, const EdgePaths& paths,
        PeerLink::Hooks peerHooks, uint64_t incarnation, std::function<double()> random);

    void start();               // throws boost::system::system_error if an address can't be used
    void stop(StopHooks hooks); // the planned stop, see StopSequence; a second call does nothing
    void entryRemoved();
    void applySettings(const EdgeSettings& settings); // applies changed limits; changed addresses need a restart

    Relay& relay() { return this->requests; }
    void onMoveResult(std::function<void(const MoveOrder&, MoveState)> hook) { this->publishMove = std::move(hook); }
    // `earliest` is empty if the order may be older than this process.
    void orderMove(const MoveOrder& order, std::optional<TimePoint> earliest);
    PeerLink& peers() { return this->peerLink; }
    EdgeMetrics& metrics() { return this->counters; }

private:
    static RelaySettings relaySettings(const EdgeSettings& settings, const WireHeaders& headers);
    void onReady(const CallerPointer& caller, const CallerRequest& request);
    void onMetrics(const CallerPointer& caller, const CallerRequest& request);
    void setSpillGauges(TimePoint now);
    void onWhere(const CallerPointer& caller, const CallerRequest& request);
    void onLift(const CallerPointer& caller, http::verb method, std::string_view key); // an operator ends a quarantine
    void tick();                                                                       // periodic work
    void advanceStop(TimePoint now);
    void enterStopPhase(StopPhase phase);
    NodeLoad load() const; // what a stop waits for
    void logReadinessChange();
    void advanceMoves(TimePoint now); // updates the moves between versions and publishes their states

    EdgeSettings settings;
    WireHeaders headers;
    EdgePaths paths;
    EdgeMetrics counters;
    Relay requests;
    PeerLink peerLink;
    HttpListener callers;
    HttpListener ready;
    HttpListener metricsListener;
    net::steady_timer timer;
    StopSequence stopSequence;
    StopHooks stopHooks;
    std::function<void(const MoveOrder&, MoveState)> publishMove; // writes the state to the store; repeating it is harmless
    bool tookCallers = false;                                     // at the last logReadinessChange
    Readiness lastReadiness = Readiness::NoConfiguration;         // the same
};

} // namespace guavapond::edge
