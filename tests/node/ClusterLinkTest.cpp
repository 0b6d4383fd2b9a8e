// Tests of the transport of membership: calls in memory, virtual time, tasks run in place.
#include "node/ClusterLink.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <random>
#include <set>

using namespace guavapond;
using namespace std::chrono_literals;

namespace {

class Links {
public:
    explicit Links(size_t count)
    {
        std::vector<PeerAddress> all;
        for (size_t i = 0; i < count; ++i)
            all.push_back({ "node-" + std::to_string(i), "10.0.0." + std::to_string(i) + ":8081", "lalitpur" });
        for (size_t i = 0; i < count; ++i)
            this->links.push_back(this->make(all, i));
    }

    void run(Duration time)
    {
        for (auto until = this->now + time; this->now < until; this->now += 50ms) {
            for (size_t i = 0; i < this->links.size(); ++i) {
                if (!this->down.contains(i))
                    this->links[i]->step(this->now);
            }
        }
    }

    std::vector<std::unique_ptr<ClusterLink>> links;
    std::set<size_t> down;
    TimePoint now {};

private:
    std::unique_ptr<ClusterLink> make(std::vector<PeerAddress> all, size_t self)
    {
        auto name = all[self].name;
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(self));
        ClusterLinkPorts ports;
        ports.peers = std::move(all);
        ports.clock = [this] { return this->now; };
        ports.background = [](const std::function<void()>& task) { task(); };
        ports.random = [generator = std::mt19937_64(self)](uint64_t bound) mutable { return generator() % bound; };
        ports.peer.gossip = [this](std::string_view address, const MembershipMessage& message) -> Result<std::optional<MembershipMessage>> {
            size_t to = std::stoul(std::string(address.substr(7)));
            if (this->down.contains(to))
                return Failure { FailureKind::OwnerUnreachable, Disposition::Unknown, "down", {} };
            return this->links[to]->onMessage(message);
        };
        return std::make_unique<ClusterLink>(NodeIdentity { name, self + 1 }, "lalitpur", ClusterLinkSettings {}, std::move(ports));
    }
};

} // namespace

TEST_GROUP(ClusterLink) {};

// Guards against answers that are lost between calls and state machine: live nodes stay live, a dead one is noticed and its return too.
TEST(ClusterLink, DeathAndReturnAreSeen)
{
    Links world(4);
    world.run(20s);
    for (size_t i = 0; i < 4; ++i)
        CHECK(world.links[0]->isEligible("node-" + std::to_string(i)));
    world.down.insert(2);
    world.run(20s);
    CHECK(!world.links[0]->isLive("node-2"));
    CHECK(world.links[0]->isLive("node-3"));
    world.down.clear();
    world.run(20s);
    CHECK(world.links[0]->isEligible("node-2"));
    CHECK(world.links[2]->isLive("node-0"));
}

// Guards against new duties for a node that stops or whose VM is about to go.
TEST(ClusterLink, LeavingNodesAreNotEligible)
{
    Links world(3);
    world.run(5s);
    const std::vector<VmEntry> vms { { "10.0.0.1", "lalitpur", VmState::Leaving }, { "10.0.0.2", "lalitpur", VmState::Live } };
    world.links[0]->onVmList(vms);
    CHECK(!world.links[0]->isEligible("node-1"));
    CHECK(world.links[0]->isEligible("node-2"));
    world.links[2]->leave();
    world.run(5s);
    CHECK(!world.links[0]->isEligible("node-2"));
    CHECK(world.links[0]->isLive("node-2"));
}
