// One edge node: its listeners, the relay, the link to its peers, and the order of a planned stop. Where the configuration and the
// targets come from is the adapter's business.
//
// Index
//   EdgePaths    of the node's own pages
//   EdgeNode     start, stop, applySettings
#pragma once

#include "edge/EdgeSettings.h"

namespace guavapond::edge {

struct EdgePaths {
    std::string ready = "/ready";
    std::string metrics = "/metrics";
    std::string beliefs = "/beliefs"; // at the metrics address
};

class EdgeNode {
public:
    EdgeNode(net::io_context& loop, const EdgeSettings& settings, const WireHeaders& headers, const EdgePaths& paths,
        PeerLink::Hooks peerHooks, uint64_t incarnation, std::function<double()> random);

    void start();                                     // throws boost::system::system_error if an address can't be used
    void stop(std::function<void()> drained);         // planned stop: `drained` is called once nothing is under way, or the grace is over
    void applySettings(const EdgeSettings& settings); // bounds only; addresses need a restart

    Relay& relay() { return this->requests; }
    void onMoveResult(std::function<void(const MoveOrder&, MoveState)> hook) { this->publishMove = std::move(hook); }
    void orderMove(const MoveOrder& order, std::optional<TimePoint> earliest); // empty: it may be older than this process
    PeerLink& peers() { return this->peerLink; }
    EdgeMetrics& metrics() { return this->counters; }

private:
    static RelaySettings relaySettings(const EdgeSettings& settings, const WireHeaders& headers);
    void onReady(const CallerPointer& caller, const CallerRequest& request);
    void onMetrics(const CallerPointer& caller, const CallerRequest& request);
    void tick();
    void checkStop(TimePoint now);
    void logReadinessChange();
    void advanceMoves(TimePoint now);

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
    std::optional<TimePoint> stoppingSince;
    std::function<void()> drained;
    std::function<void(const MoveOrder&, MoveState)> publishMove; // writes the state to the store; repeats are harmless
    bool wasReady = false;
};

} // namespace guavapond::edge
