// Puts the parts of a node together and runs them until a planned stop.
//
// Index
//   NodeProcess    start, waitForStop, and what the threads do in between
#pragma once

#include "adapters/AuditLog.h"
#include "adapters/GrpcPeer.h"
#include "adapters/HttpServer.h"
#include "adapters/Metrics.h"
#include "adapters/Settings.h"
#include "daemon/SettingsMap.h"
#include "node/ClusterLink.h"
#include "node/MoveWatch.h"
#include "node/NodeApi.h"
#include "node/TableWatcher.h"
#include "node/TargetMonitor.h"
#include "node/WitnessLink.h"

#include <boost/asio/thread_pool.hpp>

namespace guavapond {

class NodeProcess {
public:
    NodeProcess(const Settings& settings, uint64_t incarnation);
    ~NodeProcess();
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    std::optional<Failure> start();
    void stopGracefully(); // refuses new work, waits for all admitted work, then returns
    uint16_t callerPort() const { return this->server->port(); }
    uint16_t peerPort() const { return this->peerServer->port(); }

private:
    RequestPathPorts requestPathPorts();
    TargetMonitorPorts monitorPorts();
    TableWatcherPorts watcherPorts();
    WitnessLinkPorts witnessPorts();
    ClusterLinkPorts clusterPorts();
    VmList sharedVmList() const;
    nlohmann::json memberStatus() const;
    PeerHandler peerHandler();
    std::vector<PeerAddress> peerAddresses() const;
    void adopt(const std::shared_ptr<const TableIndex>& next, const TableHead& head);
    void logEnded(const RequestSummary& summary);
    void runMoves();     // replans on a thread of its own, until `stop`
    void planMovesNow(); // wakes that thread
    static void logMoves(std::span<const MoveChange> changes);
    std::function<void(std::function<void()>)> runOn(boost::asio::thread_pool& pool);

    const Settings settings;
    Engine engine;
    Service service;
    Peer peer;
    KeyValue keyValue;
    VmList vms;
    Metrics metrics;
    AuditLog audit;
    Snapshot<TableIndex> table;
    Decisions decisions;
    MoveWatch moves;
    std::mutex movesMutex;
    std::condition_variable movesChanged;
    bool movesWoken = false;               // guarded by movesMutex
    boost::asio::thread_pool requestTasks; // forwards and outcomes of other nodes; each may last as long as its stream
    boost::asio::thread_pool witnessTasks; // messages of the witness protocol: never behind slow calls
    boost::asio::thread_pool monitorTasks; // short polls of targets and platform
    boost::asio::thread_pool clusterTasks; // probes of other nodes: never behind slow calls
    std::unique_ptr<ClusterLink> cluster;
    std::unique_ptr<RequestPath> path;
    std::unique_ptr<NodeApi> api;
    std::unique_ptr<TargetMonitor> monitor;
    std::unique_ptr<TableWatcher> watcher;
    std::unique_ptr<WitnessLink> witnessLink;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<GrpcPeerServer> peerServer;
    std::atomic<bool> stop { false };
    std::vector<std::thread> threads;
};

} // namespace guavapond
