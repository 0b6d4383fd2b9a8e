// Transport of the membership protocol.
#include "node/ClusterLink.h"

#include <algorithm>

namespace guavapond {

namespace {

// The list names a VM by its IP address, and in tests on one machine by address and port.
bool isOn(std::string_view peerAddress, std::string_view vmAddress)
{
    return peerAddress == vmAddress || peerAddress.substr(0, peerAddress.rfind(':')) == vmAddress;
}

} // namespace

ClusterLink::ClusterLink(const NodeIdentity& self, const std::string& domain, const ClusterLinkSettings& s, ClusterLinkPorts p)
    : settings(s)
    , ports(std::move(p))
    , membership(self, domain, s.membership, this->ports.random)
{
    for (const auto& peer : this->ports.peers)
        this->membership.addPeer(peer.name, peer.failureDomain);
}

void ClusterLink::run(const std::atomic<bool>& stop)
{
    while (!stop) {
        this->step(this->ports.clock());
        this->ports.sleep(this->settings.interval);
    }
}

void ClusterLink::step(TimePoint now)
{
    std::vector<MembershipMessage> messages;
    {
        std::lock_guard lock(this->mutex);
        messages = this->membership.advance(now);
    }
    this->send(std::move(messages));
}

void ClusterLink::send(std::vector<MembershipMessage> messages)
{
    for (auto& message : messages)
        this->ports.background([this, message = std::move(message)] { this->call(message); });
}

// A call without an answer is left to the timeouts of the state machine.
void ClusterLink::call(const MembershipMessage& message)
{
    auto peer = std::find_if(
        this->ports.peers.begin(), this->ports.peers.end(), [&](const PeerAddress& known) { return known.name == message.to; });
    if (peer == this->ports.peers.end())
        return;
    auto reply = this->ports.peer.gossip(peer->address, message);
    if (!reply || !reply->has_value())
        return;
    if (auto answer = this->onMessage(**reply))
        this->send({ *answer });
}

// The message to the sender, if there is one, is the answer of the call.
std::optional<MembershipMessage> ClusterLink::onMessage(const MembershipMessage& message)
{
    std::vector<MembershipMessage> out;
    {
        std::lock_guard lock(this->mutex);
        out = this->membership.onMessage(message, this->ports.clock());
    }
    std::optional<MembershipMessage> answer;
    std::vector<MembershipMessage> others;
    for (auto& next : out) {
        if (!answer && next.to == message.sender.node)
            answer = std::move(next);
        else
            others.push_back(std::move(next));
    }
    this->send(std::move(others));
    return answer;
}

void ClusterLink::onVmList(std::span<const VmEntry> vms)
{
    std::vector<std::string> leaving;
    for (const auto& peer : this->ports.peers) {
        bool isLeaving = std::any_of(
            vms.begin(), vms.end(), [&](const VmEntry& vm) { return vm.state == VmState::Leaving && isOn(peer.address, vm.address); });
        if (isLeaving)
            leaving.push_back(peer.name);
    }
    std::lock_guard lock(this->mutex);
    this->membership.setLeavingByPlatform(leaving);
}

void ClusterLink::leave()
{
    std::lock_guard lock(this->mutex);
    this->membership.leave();
}

std::vector<ClusterLink::Member> ClusterLink::members() const
{
    std::lock_guard lock(this->mutex);
    std::vector<Member> result;
    for (const auto& view : this->membership.members())
        result.push_back({ std::string(view.node), std::string(view.failureDomain), view.state, view.leaving });
    return result;
}

bool ClusterLink::isLive(std::string_view node) const
{
    std::lock_guard lock(this->mutex);
    auto view = this->membership.find(node);
    return view && view->isLive();
}

bool ClusterLink::isEligible(std::string_view node) const
{
    std::lock_guard lock(this->mutex);
    auto view = this->membership.find(node);
    return view && view->isEligible();
}

} // namespace guavapond
