// Membership table of the other edge nodes: which nodes exist, which of them are heard, and what their last beacons said. Members come
// from the store and from beacons. A node that has fallen silent stays a member for a while, since it may still be serving on the
// other side of a network partition.
//
// Index
//   Member        address of a node
//   Beacon        a received beacon, decoded
//   PeerSettings  when a peer counts as silent, and when it is removed
//   PeerTable     setMembers, onBeacon, reachableFraction, roundTrips
#pragma once

#include "edge/SharedCopy.h"
#include "scheduling/Placement.h"
#include "scheduling/WorkspaceQuota.h"

#include <array>
#include <map>
#include <string>

namespace guavapond::edge {

struct Member {
    std::string node;
    std::string ip;
    uint16_t port = 0; // of beacons (UDP) and of store items (TCP)
    bool operator==(const Member&) const = default;
};

struct Beacon {
    std::string node;
    uint64_t incarnation = 0;         // random at each start of the sender
    uint64_t sequence = 0;            // grows with each beacon of an incarnation
    TimePoint sentAt {};              // by the sender's clock
    std::optional<Duration> echoHeld; // from the arrival of that beacon to this one; empty: not told
    TimePoint echo {};  // send time of the receiver's beacon, by the receiver's clock; the epoch: none from its current process
    CopyReports copies; // of the sender
    uint16_t port = 0;  // where the sender serves its store items
    std::string failureDomain;
    bool stopping = false;     // the sender is shutting down and takes over no more work
    bool starting = false;     // the sender has just started
    bool cutOff = false;       // the sender reaches no target
    uint32_t version = 0;      // of the sender's messages; 0: of a build before versions
    uint32_t homeCapacity = 0; // see homeCapacity(); 0: not told
    std::vector<WorkspaceQuota::Use> uses;
};

struct PeerSettings {
    Duration silentAfter = std::chrono::milliseconds(700); // without a beacon; raised to silentIntervals beacon intervals if that is longer
    double silentIntervals = 5;                            // in beacon intervals, which grow with the number of nodes
    Duration forgetAfter = std::chrono::seconds(12);       // a node that is neither heard nor listed in the store for this long is removed
};

class PeerTable {
public:
    PeerTable(std::string self, const PeerSettings& settings);

    void setBeaconInterval(Duration value); // between two beacons of a peer
    // The same of the peers in other failure domains, if that is longer. `domain` is that of this node.
    void setOtherDomainInterval(std::string domain, Duration value);
    void setMembers(std::span<const Member> members, TimePoint now); // as the store lists them
    struct BeaconResult {
        bool accepted = false;                          // the beacon was newer than the last one of that node
        bool isRegained = false;                        // first beacon of the node, or first after a silence
        std::vector<std::pair<uint64_t, int64_t>> uses; // workspace hash, tokens since the last beacon
    };
    BeaconResult onBeacon(const Beacon& beacon, const std::string& ip, TimePoint now);
    std::vector<std::string> takeNewlySilent(TimePoint now); // nodes that fell silent since the last call

    std::vector<Member> members() const; // without this node
    std::optional<Member> member(const std::string& node) const;
    bool isElsewhere(const std::string& node) const;                  // its failure domain is known to be another one
    std::vector<Placement::Node> placementNodes(TimePoint now) const; // all that are not shutting down; without this node
    std::vector<TargetInfo> forwarders(TimePoint now) const;          // peers that can send this node's requests to targets
    struct Echo {                                                     // identifies the last beacon of a node
        TimePoint sentAt {};                                          // by that node's clock; the epoch: no beacon yet
        uint64_t incarnation = 0;
        TimePoint heardAt {}; // its arrival
    };
    Echo echoFor(const std::string& node) const;
    // Between this node's failure domain and each other one: the shortest of the last measurements, since the rest holds waits of
    // processes.
    std::map<std::string, Duration, std::less<>> roundTrips(TimePoint now) const;
    double reachableFraction(TimePoint now) const; // heard nodes and this one, divided by all members
    size_t nodeCount() const { return this->peers.size() + 1; }
    size_t heardCount(TimePoint now) const;                                                // without this node
    std::optional<Duration> sinceLastBeacon(const std::string& node, TimePoint now) const; // empty: no beacon yet
    size_t heardNodesBefore(TimePoint now) const; // heard nodes whose names sort before this node's: its place in reading and driving moves

private:
    struct Peer {
        Member member;
        uint64_t incarnation = 0; // 0: no beacon yet
        uint64_t sequence = 0;
        TimePoint heardAt {};    // arrival of the last beacon; the epoch: none yet
        TimePoint lastSentAt {}; // send time of the last beacon, by the peer's clock
        TimePoint listedAt {};   // when the store last listed the node; the epoch: never
        bool silent = true;
        std::string failureDomain;
        bool stopping = false;
        bool starting = false;
        bool cutOff = false;
        uint32_t version = 0;
        uint32_t homeCapacity = 0;
        std::map<uint64_t, uint64_t> uses;                 // workspace hash, tokens dispatched since the peer started
        std::array<std::optional<Duration>, 8> roundTrips; // last measurements, in a ring
        size_t nextRoundTrip = 0;
    };
    bool isElsewhere(const Peer& peer) const;
    Duration silentAfterOf(const Peer& peer) const;
    bool isHeard(const Peer& peer, TimePoint now) const { return !peer.silent && now - peer.heardAt <= this->silentAfterOf(peer); }

    std::string self;
    PeerSettings settings;
    Duration silentAfter;
    std::string domain;                // of this node; empty: not told, and all peers count as those of its own
    Duration silentAfterElsewhere {};  // of peers in other failure domains; the longer of the two counts
    std::map<std::string, Peer> peers; // by node name; without this node
};

} // namespace guavapond::edge
