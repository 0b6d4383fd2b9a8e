// Communication between edge nodes: beacons over UDP several times a second, and the newest store items over HTTP when a peer holds
// newer ones than this node. Beacons may be lost, late or repeated, so each carries the complete state and depends on no earlier one.
//
// Index
//   StoreItem         an item of the store, passed on as bytes
//   ItemRevisions     up to which revisions a copy of the store is complete
//   StoreItems        items with the revisions that they complete
//   PeerLinkSettings  address and intervals
//   PeerLink          start, tick, forceBeacon, readOrder
#pragma once

#include "edge/PeerTable.h"
#include "edge/Relay.h"
#include "scheduling/StoreRevision.h"

namespace guavapond::edge {

namespace wire {
class Beacon;
}

struct StoreItem {
    std::string key;
    std::string value;
    StoreRevision revision = 0;
    bool gone = false; // the item existed with this revision and has been deleted since
};

// A copy of the store's items holds every change up to these revisions of the store.
struct ItemRevisions {
    StoreRevision operators = 0;
    StoreRevision targets = 0;
    StoreRevision evacuations = 0; // a list of all of them; 0: none, as from a node of an earlier version
};

struct StoreItems {
    ItemRevisions upTo;
    std::vector<StoreItem> items;
    std::string from {}; // the peer that passed them on
};

struct PeerLinkSettings {
    std::string node;
    std::string failureDomain;
    Address address;                                        // of beacons and store items
    MachineSettings machine;                                // of this node
    Duration busyInterval = std::chrono::milliseconds(20);  // least time between beacons whose content has changed
    Duration idleInterval = std::chrono::milliseconds(150); // between beacons whose content stays the same
    // Quota use that is reported this often reaches all nodes in time. With longer intervals a node limits its use between reports.
    Duration maxPromptReportInterval = std::chrono::milliseconds(100);
    size_t nodesAtBusyInterval = 6;                                   // with more nodes busyInterval grows in proportion
    Duration behindFetchInterval = std::chrono::milliseconds(800);    // between item fetches while isBehind and the peer's copy is equal
    Duration differingFetchInterval = std::chrono::milliseconds(300); // between item fetches while isBehind and the peer's copy differs
    Duration newerFetchInterval = std::chrono::milliseconds(80);      // between item fetches while the peer's copy is newer
    bool measuresRoundTrips = false;                                  // beacons tell how long the echoed one was held
    // Peers in other failure domains get a beacon this many intervals apart, as long as only the use of quotas changes.
    int otherDomainIntervals = 1;
    size_t maxItemsBytes = 24 * 1024; // of an answer to a node that can read the store; larger ones would fill a small VM's link
    Duration placementNodesInterval = std::chrono::milliseconds(50); // between updates of the nodes that Placement can choose as homes
    // This long after its start, and after the store has listed it among the nodes, a node has heard the beacons of all peers, also at the
    // longest interval, and they have heard its own.
    Duration startTime = std::chrono::seconds(2);
    PeerSettings peers;
};

class PeerLink {
public:
    struct Hooks {
        std::function<StoreItems(const ItemRevisions& after)> items; // items of this node's copy that changed after these revisions
        std::function<ItemRevisions()> knownRevisions;               // of this node's copy
        std::function<void(const StoreItems&)> itemsReceived;        // a peer's items
        std::function<void()> fetchFailed;                           // the items of a peer with a newer copy could not be fetched
        std::function<CopyReports(TimePoint now)> copies;            // reports of this node's copies
        // A peer's reports, from a beacon that echoes this node's beacon sent at `askedAt`. Returns true if the peer's copy is newer.
        std::function<bool(const std::string& peer, const CopyReports& copies, TimePoint askedAt)> peerCopies;
        std::function<bool(TimePoint now)> isBehind; // the store does not answer this node, so it regularly fetches its peers' items
    };
    PeerLink(net::io_context& loop, const PeerLinkSettings& settings, Relay& relay, Hooks hooks, uint64_t incarnation);

    void start(); // throws boost::system::system_error if the address can't be used
    void setMembers(std::span<const Member> members);
    void tick();                                      // sends a beacon when one is due, and detects silent peers
    void setStopping();                               // peers stop choosing this node as a home
    void forceBeacon() { this->beaconForced = true; } // the next beacon is sent even if its content has not changed
    ReadOrder readOrder(TimePoint now) const;
    const PeerTable& table() const { return this->peers; }

private:
    void receive();
    void receiveDatagram(size_t bytes);
    void onDatagram(size_t bytes);
    void onPlacement(std::string_view bytes, TimePoint now);
    void sendPlacement(const std::string& node, const PlacementMessage& content);
    void sendTo(const Member& member, const std::string& datagram);
    void sendBeacons(TimePoint now);
    void addMoves(wire::Beacon& message, TimePoint now);
    void addQuarantine(wire::Beacon& message, TimePoint now);
    void readQuarantine(const wire::Beacon& message, TimePoint now);
    void fetchItems(const Member& member, bool isNewer);
    CallerLimits peerLimits() const;
    void onPeerRequest(const CallerPointer& caller, CallerRequest request);
    void answerItems(const CallerPointer& caller, std::string_view target);
    void compareCopies(const Beacon& beacon, TimePoint now);
    Duration otherDomainInterval() const; // longest time between beacons to other failure domains
    Duration interval() const;            // least time between two beacons, with the present number of nodes
    bool isStarting(TimePoint now) const;

    net::io_context& loop;
    PeerLinkSettings settings;
    Relay& relay;
    Hooks hooks;
    uint64_t incarnation; // of this process; peers echo it, so that a time sent by an earlier process is recognized
    PeerTable peers;
    net::ip::udp::socket socket;
    net::ip::udp::endpoint sender; // of the datagram in `buffer`
    std::vector<char> buffer;
    HttpListener itemsListener;
    ConnectionPool connections;
    uint64_t sequence = 0; // of the last beacon
    TimePoint sentAt {};   // of the last beacon
    TimePoint itemsRequestedAt {};
    TimePoint sentElsewhereAt {};  // the same, to other failure domains
    std::string lastContent;       // of the last beacon, serialized, to detect a change
    std::string lastUrgentContent; // the same without the use of quotas
    bool beaconForced = false;
    uint64_t reportedQuarantineChanges = 0; // PromptQuarantine::changes() at the last beacon
    bool stopping = false;
    TimePoint placementNodesSetAt {};
    std::optional<TimePoint> startedAt; // empty: before the first tick
    std::optional<TimePoint> listedAt;  // first list of the store that names this node: only from then on are its peers known to it
};

} // namespace guavapond::edge
