// Tests of probing, suspicion, refutation and the spread of updates among many nodes in virtual time.
#include "ClusterWorld.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::test;

namespace {

constexpr double budget = 3072; // bytes per node and second for all control

size_t changesOf(const ClusterWorld& world)
{
    size_t changes = 0;
    for (const auto& node : world.nodes)
        changes += node->revision();
    return changes;
}

} // namespace

TEST_GROUP(Membership) {};

// Guards against false deaths on networks that lose, delay and repeat messages.
TEST(Membership, FaultyNetworkKillsNobody)
{
    struct Case {
        const char* name;
        ClusterFaults faults;
    };
    const Case cases[] = {
        { "lost", { .loss = 0.1 } },
        { "late", { .maxDelay = 400ms } },
        { "repeated", { .repeat = 0.5 } },
        { "all", { .loss = 0.1, .repeat = 0.3, .maxDelay = 150ms } },
        { "one way", { .isCut = [](size_t from, size_t to) { return from == 3 && to % 2 == 0; } } },
    };
    for (const auto& test : cases) {
        ClusterWorld world(32, 4, 7);
        world.faults = test.faults;
        world.run(60s);
        LONGS_EQUAL_TEXT(0, world.wrongViews(), test.name);
    }
}

// Guards against a crashed node that keeps duties, at the sizes of both deployments and of the design scale.
TEST(Membership, CrashIsNoticedByAll)
{
    for (size_t nodes : { 4, 32, 128 }) {
        ClusterWorld world(nodes, 4, 11);
        world.run(5s);
        world.down[1] = true;
        world.run(20s);
        LONGS_EQUAL(0, world.wrongViews());
    }
}

// Guards against a restarted node that is taken for its dead predecessor, or whose new incarnation some nodes never learn.
TEST(Membership, RestartIsANewIncarnation)
{
    for (Duration downTime : { 200ms, 20000ms }) {
        ClusterWorld world(32, 4, 13);
        world.run(40s); // a round of probes: each node has heard of the first incarnation
        world.down[5] = true;
        world.run(downTime);
        world.restart(5);
        world.run(20s);
        LONGS_EQUAL(0, world.wrongViews());
        auto incarnation = world.nodes[5]->members()[0].incarnation;
        for (const auto& node : world.nodes)
            CHECK(incarnation == node->find("node-5")->incarnation);
    }
}

// Guards against a started node that hands duties to nodes which died before its time.
TEST(Membership, StartedNodeLearnsOfTheDead)
{
    ClusterWorld world(64, 4, 17);
    for (size_t i = 40; i < 50; ++i)
        world.down[i] = true;
    world.run(60s);
    world.restart(3);
    world.run(10s);
    LONGS_EQUAL(0, world.wrongViews());
}

// Guards against a node that was paused: it must not suspect the others for answers it did not read, and must not stay dead for them.
TEST(Membership, PausedNodeSuspectsNobodyAndReturns)
{
    for (Duration pause : { 2s, 30s }) {
        ClusterWorld world(32, 4, 19);
        world.run(10s);
        world.pausedUntil[7] = world.now + pause;
        world.run(pause);
        world.run(100ms);
        for (const auto& member : world.nodes[7]->members())
            CHECK(MemberState::Alive == member.state);
        world.run(20s);
        LONGS_EQUAL(0, world.wrongViews());
    }
}

// Guards against a false suspicion that becomes a death although the node lives: it refutes with a higher version.
TEST(Membership, FalseSuspicionIsRefuted)
{
    ClusterWorld world(32, 4, 23);
    world.run(5s);
    MembershipMessage rumour;
    rumour.to = "node-0";
    rumour.sender = { "node-1", world.nodes[1]->members()[0].incarnation, 0, MemberState::Alive, false };
    rumour.updates.push_back({ "node-2", world.nodes[2]->members()[0].incarnation, 0, MemberState::Suspect, false });
    world.nodes[0]->onMessage(rumour, world.now);
    CHECK(MemberState::Suspect == world.nodes[0]->find("node-2")->state);
    world.run(30s);
    LONGS_EQUAL(0, world.wrongViews());
    CHECK(MemberState::Alive == world.nodes[0]->find("node-2")->state);
}

// Guards against new duties for VMs that are about to go, and against taking the platform's lagging list for the truth.
TEST(Membership, LeavingNodesAreLiveButNotEligible)
{
    ClusterWorld world(8, 2, 29);
    world.run(5s);
    std::vector<std::string> listed { "node-1" };
    world.nodes[0]->setLeavingByPlatform(listed);
    world.nodes[2]->leave();
    world.run(10s);
    for (const char* leaving : { "node-1", "node-2" }) {
        CHECK(world.nodes[0]->find(leaving)->isLive());
        CHECK(!world.nodes[0]->find(leaving)->isEligible());
    }
    CHECK(world.nodes[0]->find("node-3")->isEligible());
    world.nodes[0]->setLeavingByPlatform({});
    CHECK(world.nodes[0]->find("node-1")->isEligible());
    CHECK(!world.nodes[0]->find("node-2")->isEligible());
}

// Guards against a storm when a rack, a failure domain or the other region is lost for minutes, and when it returns: all nodes have the
// right view again after a bounded time, and no node exceeds the budget over 10 s.
TEST(Membership, LargeLossesAndReturnsCauseNoStorm)
{
    struct Case {
        const char* name;
        std::function<bool(size_t)> isLost; // cut off from the rest
        size_t lost;
    };
    const Case cases[] = {
        { "rack", [](size_t i) { return i < 18; }, 18 },
        { "failure domain", [](size_t i) { return i % 6 == 0; }, 22 },
        { "region", [](size_t i) { return i % 2 == 0; }, 64 },
    };
    for (const auto& test : cases) {
        ClusterWorld world(128, 6, 31);
        double most = 0;
        auto watch = [&](int seconds) {
            for (int i = 0; i < seconds; i += 10) {
                world.resetBytes();
                world.run(10s);
                most = std::max(most, world.maxBytesPerSecond(10s));
            }
        };
        watch(10);
        world.faults.isCut = [&](size_t from, size_t to) { return test.isLost(from) != test.isLost(to); };
        watch(120); // a small part needs long to probe all that it lost
        LONGS_EQUAL_TEXT(2 * test.lost * (128 - test.lost), world.wrongViews(), test.name);
        world.faults.isCut = nullptr;
        watch(60);
        LONGS_EQUAL_TEXT(0, world.wrongViews(), test.name);
        watch(90); // by then each node has probed each other one, and has learned from it what updates did not bring
        auto settled = changesOf(world);
        watch(20);
        LONGS_EQUAL_TEXT(settled, changesOf(world), test.name);
        UT_PRINT(StringFromFormat("%s: at most %.0f B/s of one node over 10 s", test.name, most).asCharString());
        CHECK_TEXT(most < budget, test.name);
    }
}

// Guards against control messages that use up the network as nodes are added.
TEST(Membership, IdleBytesStayInBudget)
{
    for (size_t nodes : { 64, 128, 350 }) {
        ClusterWorld world(nodes, 6, 37);
        world.run(5s);
        world.resetBytes();
        world.run(20s);
        size_t sum = 0;
        for (auto sent : world.bytes)
            sum += sent;
        double mean = static_cast<double>(sum) / static_cast<double>(nodes) / 20;
        UT_PRINT(StringFromFormat("%d nodes: %.0f B/s per node", static_cast<int>(nodes), mean).asCharString());
        CHECK(mean < budget / 4); // the rest is for slots and bursts
    }
}
