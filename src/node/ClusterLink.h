// Runs the probing of the other nodes, and answers who is live.
//
// Index
//   ClusterLinkSettings, ClusterLinkPorts
//   ClusterLink
//     run, step    sends what membership has to say; run() on a thread of its own
//     onMessage    a message of another node
//     onVmList     the platform's list of VMs
//     leave        planned stop
//     find, isLive, isEligible, members
#pragma once

#include "core/Membership.h"
#include "node/TableWatcher.h"
#include "ports/Peer.h"
#include "ports/Platform.h"

#include <atomic>
#include <mutex>

namespace guavapond {

struct ClusterLinkSettings {
    MembershipSettings membership;
    Duration interval = std::chrono::milliseconds(50); // between two rounds; well below the probes' timeouts
};

struct ClusterLinkPorts {
    Peer peer;
    std::vector<PeerAddress> peers; // all other nodes
    std::function<TimePoint()> clock;
    std::function<void(Duration)> sleep;
    std::function<void(std::function<void()>)> background;
    std::function<uint64_t(uint64_t bound)> random; // below the bound
};

class ClusterLink {
public:
    ClusterLink(const NodeIdentity& self, const std::string& failureDomain, const ClusterLinkSettings& settings, ClusterLinkPorts ports);

    void run(const std::atomic<bool>& stop);
    void step(TimePoint now); // one round
    std::optional<MembershipMessage> onMessage(const MembershipMessage& message);
    void onVmList(std::span<const VmEntry> vms);
    void leave();

    struct Member {
        std::string node;
        std::string failureDomain;
        MemberState state = MemberState::Alive;
        bool leaving = false;
    };
    std::vector<Member> members() const; // this node first
    bool isLive(std::string_view node) const;
    bool isEligible(std::string_view node) const; // for new duties

private:
    void send(std::vector<MembershipMessage> messages);
    void call(const MembershipMessage& message);

    ClusterLinkSettings settings;
    ClusterLinkPorts ports;
    mutable std::mutex mutex; // guards `membership`
    Membership membership;
};

} // namespace guavapond
