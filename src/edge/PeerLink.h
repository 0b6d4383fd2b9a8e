// Exchange between edge nodes: beacons by UDP several times a second, and the newest store items by HTTP when a peer holds newer
// ones. Beacons are lost, late and repeated; each stands for itself.
//
// Index
//   StoreItem         an item of the store, passed on as bytes
//   PeerLinkSettings
//   PeerLink          start, tick, announce, readOrder
#pragma once

#include "edge/PeerTable.h"
#include "edge/Relay.h"

namespace guavapond::edge {

namespace wire {
class Beacon;
}

struct StoreItem {
    std::string key;
    std::string value;
    uint64_t revision = 0;
    bool gone = false; // the item was there with this revision, and is no more
};

// How far a copy of the store's items is complete: it holds every change up to these revisions of the store.
struct ItemRevisions {
    uint64_t operators = 0;
    uint64_t targets = 0;
};

struct StoreItems {
    ItemRevisions upTo;
    std::vector<StoreItem> items;
};

struct PeerLinkSettings {
    std::string node;
    std::string failureDomain;
    Address address;                                                   // of beacons and store items
    Duration busyInterval = std::chrono::milliseconds(20);             // between beacons while there is news
    Duration idleInterval = std::chrono::milliseconds(150);            // between beacons otherwise
    Duration maxPromptReportInterval = std::chrono::milliseconds(100); // uses that are reported as often are known to all in time
    size_t nodesAtBusyInterval = 6;                                    // with more nodes the interval grows in proportion
    Duration behindFetchInterval = std::chrono::milliseconds(800);     // the same while this node is behind, whatever peers announce
    Duration differingFetchInterval = std::chrono::milliseconds(300);  // the same while the peer's copy differs
    Duration newerFetchInterval = std::chrono::milliseconds(80);       // the same while the peer's copy is newer
    size_t maxItemsBytes = 24 * 1024; // passed on to a node that reaches the store; more would fill a small VM's link
    Duration placementNodesInterval = std::chrono::milliseconds(50); // between looks at which nodes can be homes
    PeerSettings peers;
};

class PeerLink {
public:
    struct Hooks {
        std::function<StoreItems(const ItemRevisions& after)> items; // what this node would pass on: changes after these revisions
        std::function<ItemRevisions()> knownRevisions;               // of this node's copy
        std::function<void(const StoreItems&)> itemsReceived;        // a peer's items
        std::function<void()> fetchFailed;                           // a newer peer's items did not come
        std::function<CopyReports(TimePoint now)> copies;            // what this node knows of the store
        // A peer's copies, in a beacon that echoes one sent at `askedAt`. True: the peer's copy is newer than this node's.
        std::function<bool(const std::string& peer, const CopyReports& copies, TimePoint askedAt)> peerCopies;
        std::function<bool(TimePoint now)> isBehind; // the store does not answer this node: peers' items are asked for now and then
    };
    PeerLink(net::io_context& loop, const PeerLinkSettings& settings, Relay& relay, Hooks hooks, uint64_t incarnation);

    void start(); // throws boost::system::system_error if the address can't be used
    void setMembers(std::span<const Member> members);
    void tick();                                      // sends a beacon when one is due, and notices silent peers
    void setStopping() { this->stopping = true; }     // peers choose other homes
    void forceBeacon() { this->beaconForced = true; } // the next beacon goes out also if it says nothing new
    ReadOrder readOrder(TimePoint now) const;
    const PeerTable& table() const { return this->peers; }

private:
    void receive();
    void onDatagram(size_t bytes);
    void onPlacement(std::string_view bytes, TimePoint now);
    void sendPlacement(const std::string& node, const PlacementMessage& content);
    void sendTo(const Member& member, const std::string& datagram);
    void sendBeacons(TimePoint now);
    void addMoves(wire::Beacon& message, TimePoint now);
    void fetchItems(const Member& member, bool isNewer);
    void answerItems(const CallerPointer& caller, std::string_view target);
    void compareCopies(const Beacon& beacon, TimePoint now);
    Duration interval() const;

    net::io_context& loop;
    PeerLinkSettings settings;
    Relay& relay;
    Hooks hooks;
    uint64_t incarnation;
    PeerTable peers;
    net::ip::udp::socket socket;
    net::ip::udp::endpoint sender;
    std::vector<char> buffer;
    HttpListener itemsListener;
    ConnectionPool connections;
    uint64_t sequence = 0;
    TimePoint sentAt {};
    TimePoint itemsRequestedAt {};
    std::string lastContent; // serialized, to see a change
    bool beaconForced = false;
    bool stopping = false;
    TimePoint placementNodesSetAt {};
};

} // namespace guavapond::edge
