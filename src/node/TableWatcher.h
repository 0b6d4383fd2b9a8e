// Brings accepted changes of the table into force on this node: from the platform, and from the other nodes, which is the only way while
// the platform is down or out of reach.
//
// Index
//   TableWatcherSettings, TableWatcherPorts
//   TableWatcher
//     watchPlatform    waits for the head to change; on a thread of its own
//     askPeers         asks one other node at a time for a newer revision; on a thread of its own
//     versionAbove     what this node answers when another one asks
//
// Only a few nodes of a failure domain keep a watch open, because the platform counts a waiting watch as a call; the others read the head
// now and then and otherwise hear of changes from their peers.
#pragma once

#include "core/TableStore.h"
#include "node/Snapshot.h"
#include "ports/Peer.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace guavapond {

struct PeerAddress {
    std::string name;
    std::string address; // host:port for calls between nodes
    std::string failureDomain;
};

struct TableWatcherSettings {
    size_t watchersPerDomain = 2;                           // nodes of a failure domain that keep a watch open
    Duration watchWait = std::chrono::seconds(30);          // length of one watch
    Duration pollInterval = std::chrono::seconds(5);        // of the nodes that keep none
    Duration peerInterval = std::chrono::milliseconds(500); // between two questions to other nodes
    Duration minBackoff = std::chrono::milliseconds(200);   // after a failed call to the platform; doubles, with jitter
    Duration maxBackoff = std::chrono::seconds(5);
};

struct TableWatcherPorts {
    KeyValue keyValue;
    Peer peer;
    std::vector<PeerAddress> peers;                                                          // all other nodes
    std::function<bool(std::string_view node)> isLive;                                       // by membership; empty: all are asked
    std::function<double()> random;                                                          // 0 to 1
    std::function<void(const std::shared_ptr<const TableIndex>&, const TableHead&)> adopted; // a higher revision is in force
    std::function<void(const Failure&)> failed;                                              // a call to the platform failed
};

class TableWatcher {
public:
    TableWatcher(
        const std::string& nodeName, const std::string& failureDomain, const TableWatcherSettings& settings, TableWatcherPorts ports);

    void watchPlatform(const std::atomic<bool>& stop);
    void askPeers(const std::atomic<bool>& stop);
    void wake(); // ends present waits, but for a watch under way
    std::optional<TableVersion> versionAbove(uint64_t revision);
    uint64_t revision() const { return this->revisionInForce; }
    bool keepsWatch() const { return this->watches; }

    bool refresh(); // one read of the platform; false: it failed
    void askOnePeer();

private:
    bool waitForChange(); // false: the call failed
    void publishIfNewer(const Result<bool>& adopted);
    void pause(Duration time);
    void markFailed(const Failure& failure);
    bool isAmongWatchers(const std::string& nodeName, const std::string& failureDomain) const;

    TableWatcherSettings settings;
    TableWatcherPorts ports;
    const bool watches;
    std::mutex storeMutex; // guards `store`
    TableStore store;
    std::atomic<uint64_t> revisionInForce { 0 };
    Revision headRevision = 0; // of the head's key, as last seen; used by the watching thread only
    std::mutex waitMutex;
    std::condition_variable waitChanged;
};

} // namespace guavapond
