// Tests of the division of windows and limits among entry nodes, in virtual time with a seeded lossy message queue.
#include "core/Slots.h"
#include "ClusterWorld.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::test;

namespace {

constexpr double budget = 3072; // bytes per node and second for all control

SlotItem item(uint64_t key, uint32_t limit, uint32_t running, uint32_t waiting, Tier tier = Tier::Standard)
{
    SlotItem result { key, SlotScope::Target, limit, {} };
    result.tiers[raw(tier)] = { running, waiting, 1 };
    return result;
}

// Entry nodes, each of which sets its needs anew in each step.
class SlotWorld {
public:
    SlotWorld(size_t nodes, size_t domains, uint64_t seed)
        : random(seed)
    {
        for (size_t i = 0; i < nodes; ++i)
            this->names.push_back({ ClusterWorld::name(i), "domain-" + std::to_string(i % domains) });
        for (const auto& node : this->names) {
            this->nodes.emplace_back(node.name, node.failureDomain, SlotSettings {});
            this->nodes.back().setNodes(this->names, this->names);
        }
        this->down.resize(nodes);
        this->bytes.resize(nodes);
    }

    void run(Duration time, const std::function<void(size_t node)>& setNeeds)
    {
        for (auto until = this->now + time; this->now < until; this->now += 20ms) {
            while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
                auto action = std::move(this->queue.begin()->second);
                this->queue.erase(this->queue.begin());
                action();
            }
            for (size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->down[i])
                    continue;
                setNeeds(i);
                for (const auto& report : this->nodes[i].advance(this->now))
                    this->call(i, report);
            }
        }
    }

    void need(size_t node, const SlotItem& need, const std::string& domain) { this->nodes[node].setNeed(need, domain, this->now); }

    uint32_t part(size_t node, uint64_t key, uint32_t limit, const std::string& domain, SlotScope scope = SlotScope::Target) const
    {
        return this->nodes[node].part(key, scope, limit, domain, this->now);
    }

    size_t homeOf(uint64_t key, const std::string& domain) const
    {
        return std::stoul(this->nodes[0].homeOf(key, SlotScope::Target, domain, this->now)->substr(5));
    }

    double meanBytes(Duration time) const
    {
        size_t sum = 0;
        for (auto sent : this->bytes)
            sum += sent;
        return static_cast<double>(sum) / static_cast<double>(this->bytes.size()) / toSeconds(time);
    }

    std::vector<SlotNode> names;
    std::vector<Slots> nodes;
    std::vector<bool> down;
    std::vector<size_t> bytes;
    double loss = 0;
    double repeat = 0;
    std::function<bool(size_t, size_t)> isCut;
    TimePoint now {};

private:
    void call(size_t from, const SlotReport& report)
    {
        size_t to = std::stoul(report.to.substr(5));
        this->bytes[from] += encodedBytes(report);
        this->send(from, to, [this, from, to, report] {
            auto grants = this->nodes[to].onReport(report, this->now);
            this->bytes[to] += encodedBytes(grants);
            this->send(to, from, [this, from, grants] { this->nodes[from].onGrants(grants, this->now); });
        });
    }

    void send(size_t from, size_t to, const std::function<void()>& arrive)
    {
        auto unit = [this] { return std::uniform_real_distribution<double>(0, 1)(this->random); };
        auto guarded = [this, to, arrive] {
            if (!this->down[to])
                arrive();
        };
        if (this->isCut && this->isCut(from, to))
            return;
        if (unit() < this->repeat)
            this->queue.emplace(this->now + fromSeconds(2 * unit()), guarded);
        if (unit() >= this->loss)
            this->queue.emplace(this->now + 1ms + fromSeconds(unit() / 200), guarded);
    }

    std::mt19937_64 random;
    std::multimap<TimePoint, std::function<void()>> queue;
};

} // namespace

TEST_GROUP(Slots) {};

// Guards against shares that exceed the window, give a lower tier what a higher one needs, or leave slots unused.
TEST(Slots, DividesByTierThenWeightAndDemand)
{
    struct Case {
        const char* name;
        uint32_t limit;
        std::vector<SlotItem> demands;
        std::vector<uint32_t> shares;
    };
    auto weighted = item(1, 9, 0, 20);
    weighted.tiers[raw(Tier::Standard)].weight = 2;
    const Case cases[] = {
        { "fits", 8, { item(1, 8, 0, 2), item(1, 8, 0, 2) }, { 4, 4 } },
        { "one has little", 8, { item(1, 8, 1, 0), item(1, 8, 2, 20) }, { 1, 7 } },
        { "tier first", 8, { item(1, 8, 8, 8, Tier::Batch), item(1, 8, 0, 6, Tier::Urgent) }, { 2, 6 } },
        { "weight", 9, { weighted, item(1, 9, 0, 20) }, { 6, 3 } },
        { "one", 8, { item(1, 8, 0, 1) }, { 8 } },
    };
    for (const auto& test : cases) {
        auto shares = divideSlots(test.limit, test.demands, 0);
        for (size_t i = 0; i < shares.size(); ++i)
            LONGS_EQUAL_TEXT(test.shares[i], shares[i], test.name);
    }
}

// Guards against the same nodes always going without when there are more nodes than slots.
TEST(Slots, OddUnitsRotate)
{
    std::vector<SlotItem> demands(5, item(1, 2, 0, 1));
    std::vector<uint32_t> sums(5);
    for (uint64_t turn = 0; turn < 5; ++turn) {
        auto shares = divideSlots(2, demands, turn);
        for (size_t i = 0; i < 5; ++i)
            sums[i] += shares[i];
    }
    for (auto sum : sums)
        LONGS_EQUAL(2, sum);
}

// Guards against overfull or half empty targets while messages are lost or repeated, and while demand shifts from node to node.
TEST(Slots, SharesFollowDemand)
{
    struct Case {
        const char* name;
        double loss;
        double repeat;
    };
    const Case cases[] = { { "sound", 0, 0 }, { "lost", 0.1, 0 }, { "repeated", 0, 0.5 }, { "both", 0.1, 0.3 } };
    for (const auto& test : cases) {
        SlotWorld world(6, 1, 3);
        world.loss = test.loss;
        world.repeat = test.repeat;
        for (size_t busy : { 0, 3, 5 }) {
            world.run(3s, [&](size_t i) { world.need(i, item(1, 12, 0, i == busy ? 40 : 1), "domain-0"); });
            uint32_t sum = 0;
            for (size_t i = 0; i < 6; ++i)
                sum += world.part(i, 1, 12, "domain-0");
            LONGS_EQUAL_TEXT(12, sum, test.name);
            CHECK_TEXT(world.part(busy, 1, 12, "domain-0") >= 6, test.name);
        }
    }
}

// Guards against a window without a home after its crash: another node divides it within two seconds, before membership says a word.
TEST(Slots, DeadHomeIsReplaced)
{
    SlotWorld world(6, 1, 5);
    auto needs = [&](size_t i) { world.need(i, item(1, 12, 0, i < 2 ? 12 : 1), "domain-0"); };
    world.run(3s, needs);
    size_t home = world.homeOf(1, "domain-0");
    world.down[home] = true;
    auto crash = world.now;
    world.run(2s, needs);
    for (size_t i = 0; i < 6; ++i) {
        if (world.down[i])
            continue;
        CHECK(world.nodes[i].homeOf(1, SlotScope::Target, "domain-0", world.now) != ClusterWorld::name(home));
        CHECK(*world.nodes[i].shareExpiry(1, SlotScope::Target) > crash + SlotSettings {}.shareTime);
    }
}

// Guards against harm by two homes: with different views of who is live, no node gets more than the window and all get something.
TEST(Slots, TwoHomesDoNoHarm)
{
    SlotWorld world(6, 1, 7);
    size_t home = world.homeOf(1, "domain-0");
    auto without = world.names;
    without.erase(without.begin() + static_cast<std::ptrdiff_t>(home));
    for (size_t i = 0; i < 6; i += 2)
        world.nodes[i].setNodes(without, world.names);
    world.run(5s, [&](size_t i) { world.need(i, item(1, 12, 0, 12), "domain-0"); });
    uint32_t sum = 0;
    for (size_t i = 0; i < 6; ++i) {
        auto part = world.part(i, 1, 12, "domain-0");
        CHECK(part >= 1 && part <= 12);
        sum += part;
    }
    CHECK(sum >= 12 && sum <= 24);
}

// Guards against nodes that keep shares of a partition they left, and against limits exceeded on both sides of it.
TEST(Slots, PartitionFallsBackToFairParts)
{
    SlotWorld world(8, 2, 9);
    auto needs = [&](size_t i) {
        auto need = item(7, 1000, 0, i % 2 == 0 ? 400 : 20);
        need.scope = SlotScope::Domain;
        world.need(i, need, world.names[i].failureDomain);
    };
    auto total = [&] {
        uint32_t sum = 0;
        for (size_t i = 0; i < 8; ++i)
            sum += world.part(i, 7, 1000, world.names[i].failureDomain, SlotScope::Domain);
        return sum;
    };
    world.run(8s, needs);
    auto before = total();
    CHECK(before >= 950 && before <= 1050);
    CHECK(world.part(0, 7, 1000, "domain-0", SlotScope::Domain) > 200);
    world.isCut = [](size_t from, size_t to) { return from % 2 != to % 2; };
    world.run(10s, needs);
    CHECK(total() <= 1500);          // the total's home does not know yet that the other side fell back
    for (size_t i = 0; i < 8; ++i) { // what membership says after its suspicions
        auto side = world.names;
        std::erase_if(side, [&](const SlotNode& node) { return node.failureDomain != world.names[i].failureDomain; });
        world.nodes[i].setNodes(side, world.names);
    }
    world.run(10s, needs);
    CHECK(total() <= 1050);
    LONGS_EQUAL(125, world.part(0, 7, 1000, "domain-0", SlotScope::Domain));
    world.isCut = nullptr;
    for (auto& node : world.nodes)
        node.setNodes(world.names, world.names);
    world.run(10s, needs);
    CHECK(world.part(0, 7, 1000, "domain-0", SlotScope::Domain) > 200);
}

// Guards against limits across nodes that are missed by more than 5 % while demand moves between nodes and failure domains.
TEST(Slots, LimitsHoldUnderShiftingDemand)
{
    SlotWorld world(12, 3, 11);
    double sum = 0;
    double highest = 0;
    int samples = 0;
    for (size_t tenth = 0; tenth < 600; ++tenth) {
        world.run(100ms, [&](size_t i) {
            auto need = item(7, 1000, 0, (i + tenth / 50) % 12 < 4 ? 500 : 50);
            need.scope = SlotScope::Domain;
            world.need(i, need, world.names[i].failureDomain);
        });
        if (tenth < 50)
            continue;
        double total = 0;
        for (size_t i = 0; i < 12; ++i)
            total += world.part(i, 7, 1000, world.names[i].failureDomain, SlotScope::Domain);
        sum += total;
        highest = std::max(highest, total);
        ++samples;
    }
    UT_PRINT(StringFromFormat("mean %.0f, highest %.0f of 1000", sum / samples, highest).asCharString());
    CHECK(sum / samples <= 1050 && sum / samples >= 950);
}

// Guards against control messages that use up the network: membership and slots together at idle and at a moderate demand.
TEST(Slots, BytesStayInBudget)
{
    for (size_t nodes : { 64, 128, 350 }) {
        ClusterWorld members(nodes, 6, 13);
        members.run(5s);
        members.resetBytes();
        members.run(10s);
        size_t idle = 0;
        for (auto sent : members.bytes)
            idle += sent;
        double membership = static_cast<double>(idle) / static_cast<double>(nodes) / 10;
        SlotWorld world(nodes, 6, 13);
        world.run(5s, [](size_t) {});
        LONGS_EQUAL(0, world.meanBytes(5s));
        // Eight targets and four workspaces with demand at each node, which changes all the time.
        size_t step = 0;
        world.run(20s, [&](size_t i) {
            ++step;
            for (uint64_t target = 0; target < 8; ++target)
                world.need(i, item(i % 6 * 100 + target, 16, 2, (step / nodes / 10 + i + target) % 7), world.names[i].failureDomain);
            for (uint64_t workspace = 0; workspace < 4; ++workspace) {
                auto need = item(10000 + workspace, 1000, 20, static_cast<uint32_t>((step / nodes / 10 + i) % 90));
                need.scope = SlotScope::Domain;
                world.need(i, need, world.names[i].failureDomain);
            }
        });
        double slots = world.meanBytes(20s);
        UT_PRINT(
            StringFromFormat("%d nodes: membership %.0f B/s, slots %.0f B/s", static_cast<int>(nodes), membership, slots).asCharString());
        CHECK(membership + slots < budget);
    }
}
