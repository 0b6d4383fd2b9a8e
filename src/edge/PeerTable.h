// What this node knows of the other edge nodes: which there are, which are heard, and how fresh their reports are. Members come from
// the store and from beacons; a node that fell silent stays a member for a while, since it may go on serving behind a cut.
//
// Index
//   Member      address of a node
//   PeerTable   setMembers, heard, reachableShare
#pragma once

#include "edge/Placement.h"
#include "edge/SharedCopy.h"
#include "edge/WorkspaceQuota.h"

#include <map>
#include <string>

namespace guavapond::edge {

struct Member {
    std::string node;
    std::string ip;
    uint16_t port = 0; // of beacons (UDP) and of store items (TCP)
    bool operator==(const Member&) const = default;
};

// A beacon in the node's own types.
struct Beacon {
    std::string node;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    TimePoint sentAt {}; // by the sender's clock
    TimePoint echo {};   // by the receiver's clock; the epoch: none of this process of the receiver
    CopyReports copies;  // the sender's
    uint16_t port = 0;
    std::string failureDomain;
    bool stopping = false; // it takes over nothing any more
    std::vector<WorkspaceQuota::Use> uses;
};

struct PeerSettings {
    Duration silentAfter = std::chrono::milliseconds(700); // without a beacon, at the least
    double silentIntervals = 5;                            // the same in intervals between beacons, which grow with the nodes
    Duration forgetAfter = std::chrono::seconds(12);       // a silent node that left the store is no member any longer
};

class PeerTable {
public:
    PeerTable(std::string self, const PeerSettings& settings);

    void setBeaconInterval(Duration value);                          // between two beacons of a peer
    void setMembers(std::span<const Member> members, TimePoint now); // as the store lists them
    struct BeaconResult {
        bool accepted = false;                          // newer than the last beacon of that node
        bool isRegained = false;                        // first beacon, or first after a silence
        std::vector<std::pair<uint64_t, int64_t>> uses; // workspace hash, tokens since the last beacon
    };
    BeaconResult onBeacon(const Beacon& beacon, const std::string& ip, TimePoint now);
    std::vector<std::string> takeNewlySilent(TimePoint now); // nodes that fell silent since the last call

    std::vector<Member> members() const; // without this node
    std::optional<Member> member(const std::string& node) const;
    std::vector<Placement::Node> availableNodes(TimePoint now) const; // that are heard and don't stop, without this node
    struct Echo {                                                     // of a node's last beacon
        TimePoint sentAt {};                                          // by its clock; the epoch: none came
        uint64_t incarnation = 0;
    };
    Echo echoFor(const std::string& node) const;
    double reachableFraction(TimePoint now) const; // this node and those that are heard, over all members
    size_t nodeCount() const { return this->peers.size() + 1; }
    size_t heardCount(TimePoint now) const;
    std::optional<Duration> sinceLastBeacon(const std::string& node, TimePoint now) const; // since its last beacon; empty: none came yet
    size_t heardNodesBefore(TimePoint now) const; // heard nodes whose names come before this one's: the order in which nodes drive

private:
    struct Peer {
        Member member;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        TimePoint heardAt {};
        TimePoint lastSentAt {}; // by its clock
        TimePoint listedAt {};   // last time in the store's list
        bool silent = true;
        std::string failureDomain;
        bool stopping = false;
        std::map<uint64_t, uint64_t> uses;
    };
    bool isHeard(const Peer& peer, TimePoint now) const { return !peer.silent && now - peer.heardAt <= this->silentAfter; }

    std::string self;
    PeerSettings settings;
    Duration silentAfter;
    std::map<std::string, Peer> peers; // by node name; never this node
};

} // namespace guavapond::edge
