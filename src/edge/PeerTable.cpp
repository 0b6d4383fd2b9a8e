// Keeps the membership table: takes in beacons and the store's list, and detects silent peers.
#include "edge/PeerTable.h"

#include <algorithm>

namespace guavapond::edge {

namespace {

constexpr uint32_t slotsOfForwarder = 1000; // requests at a peer; the peer itself decides what it takes

} // namespace

PeerTable::PeerTable(std::string self, const PeerSettings& settings)
    : self(std::move(self))
    , settings(settings)
    , silentAfter(settings.silentAfter)
{
}

void PeerTable::setBeaconInterval(Duration value)
{
    this->silentAfter = std::max(this->settings.silentAfter, std::chrono::duration_cast<Duration>(value * this->settings.silentIntervals));
}

void PeerTable::setOtherDomainInterval(std::string value, Duration interval)
{
    this->domain = std::move(value);
    this->silentAfterElsewhere = std::chrono::duration_cast<Duration>(interval * this->settings.silentIntervals);
}

Duration PeerTable::silentAfterOf(const Peer& peer) const
{
    return this->isElsewhere(peer) ? std::max(this->silentAfter, this->silentAfterElsewhere) : this->silentAfter;
}

bool PeerTable::isElsewhere(const Peer& peer) const
{
    return !this->domain.empty() && !peer.failureDomain.empty() && peer.failureDomain != this->domain;
}

bool PeerTable::isElsewhere(const std::string& node) const
{
    const auto found = this->peers.find(node);
    return found != this->peers.end() && this->isElsewhere(found->second);
}

void PeerTable::setMembers(std::span<const Member> members, TimePoint now)
{
    for (const Member& member : members) {
        if (member.node == this->self)
            continue;
        Peer& peer = this->peers[member.node];
        peer.member = member;
        peer.listedAt = now;
    }
    std::erase_if(this->peers, [&](const auto& item) {
        const TimePoint lastSeen = std::max(item.second.heardAt, item.second.listedAt);
        return now - lastSeen > this->settings.forgetAfter;
    });
}

PeerTable::BeaconResult PeerTable::onBeacon(const Beacon& beacon, const std::string& ip, TimePoint now)
{
    BeaconResult result;
    if (beacon.node == this->self || beacon.node.empty())
        return result;
    Peer& peer = this->peers[beacon.node];
    const bool restarted = peer.incarnation != beacon.incarnation;
    if (!restarted && beacon.sequence <= peer.sequence)
        return result;
    result.accepted = true;
    result.isRegained = peer.silent;
    peer.silent = false;
    // The first report that is received from a node is only a baseline: its tokens may have been dispatched long before.
    const bool isBaseline = peer.incarnation == 0;
    for (const WorkspaceQuota::Use& use : beacon.uses) {
        uint64_t& last = peer.uses[use.workspaceHash];
        if (restarted)
            last = 0;
        if (!isBaseline)
            result.uses.emplace_back(use.workspaceHash, static_cast<int64_t>(use.tokens) - static_cast<int64_t>(last));
        last = use.tokens;
    }
    peer.incarnation = beacon.incarnation;
    peer.sequence = beacon.sequence;
    peer.heardAt = now;
    if (beacon.echoHeld && beacon.echo != TimePoint {}) {
        const Duration roundTrip = now - beacon.echo - *beacon.echoHeld;
        if (roundTrip >= Duration::zero() && roundTrip <= this->silentAfter)
            peer.roundTrips[peer.nextRoundTrip++ % peer.roundTrips.size()] = roundTrip;
    }
    peer.lastSentAt = beacon.sentAt;
    peer.member = { beacon.node, ip, beacon.port };
    peer.failureDomain = beacon.failureDomain;
    peer.stopping = beacon.stopping;
    peer.starting = beacon.starting;
    peer.cutOff = beacon.cutOff;
    peer.version = beacon.version;
    peer.homeCapacity = beacon.homeCapacity;
    return result;
}

std::vector<std::string> PeerTable::takeNewlySilent(TimePoint now)
{
    std::vector<std::string> result;
    for (auto& [node, peer] : this->peers) {
        if (peer.silent || now - peer.heardAt <= this->silentAfterOf(peer))
            continue;
        peer.silent = true;
        result.push_back(node);
    }
    return result;
}

std::vector<Member> PeerTable::members() const
{
    std::vector<Member> result;
    for (const auto& [node, peer] : this->peers)
        result.push_back(peer.member);
    return result;
}

std::optional<Member> PeerTable::member(const std::string& node) const
{
    const auto found = this->peers.find(node);
    return found == this->peers.end() ? std::nullopt : std::optional<Member>(found->second.member);
}

std::vector<Placement::Node> PeerTable::placementNodes(TimePoint now) const
{
    std::vector<Placement::Node> result;
    for (const auto& [node, peer] : this->peers) {
        if (!peer.stopping)
            // Whether a node that is silent has started meanwhile is not known, so it counts as one that grants.
            result.push_back({ node, peer.failureDomain, this->isHeard(peer, now) && !peer.cutOff,
                peer.starting && this->isHeard(peer, now), peer.homeCapacity, peer.incarnation != 0 });
    }
    return result;
}

std::vector<TargetInfo> PeerTable::forwarders(TimePoint now) const
{
    std::vector<TargetInfo> result;
    for (const auto& [node, peer] : this->peers) {
        TargetInfo info;
        info.id = node;
        info.address = { peer.member.ip, peer.member.port };
        info.failureDomain = peer.failureDomain;
        info.slots = slotsOfForwarder;
        info.draining = peer.stopping || peer.starting || peer.cutOff || !this->isHeard(peer, now);
        result.push_back(std::move(info));
    }
    return result;
}

PeerTable::Echo PeerTable::echoFor(const std::string& node) const
{
    const auto found = this->peers.find(node);
    return found == this->peers.end() ? Echo {} : Echo { found->second.lastSentAt, found->second.incarnation, found->second.heardAt };
}

std::map<std::string, Duration, std::less<>> PeerTable::roundTrips(TimePoint now) const
{
    std::map<std::string, Duration, std::less<>> result;
    for (const auto& [node, peer] : this->peers) {
        for (const auto& roundTrip : peer.roundTrips) {
            if (!roundTrip || peer.failureDomain.empty() || !this->isHeard(peer, now))
                continue;
            const auto [shortest, isNew] = result.try_emplace(peer.failureDomain, *roundTrip);
            shortest->second = std::min(shortest->second, *roundTrip);
        }
    }
    return result;
}

std::optional<Duration> PeerTable::sinceLastBeacon(const std::string& node, TimePoint now) const
{
    const auto found = this->peers.find(node);
    if (found == this->peers.end() || found->second.heardAt == TimePoint {})
        return std::nullopt;
    return now - found->second.heardAt;
}

size_t PeerTable::heardCount(TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& item) { return this->isHeard(item.second, now); }));
}

size_t PeerTable::heardNodesBefore(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(this->peers.begin(), this->peers.end(),
        [&](const auto& item) { return item.first < this->self && this->isHeard(item.second, now); }));
}

double PeerTable::reachableFraction(TimePoint now) const
{
    return (1.0 + static_cast<double>(this->heardCount(now))) / static_cast<double>(this->nodeCount());
}

} // namespace guavapond::edge
