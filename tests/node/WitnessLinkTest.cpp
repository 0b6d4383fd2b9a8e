// Guards the transport of the witness protocol (P1, P5): what is granted, lost, handed over and answered for an owner that is gone.
#include "node/WitnessLink.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <map>

using namespace guavapond;

namespace {

Failure unreachable() { return { FailureKind::OwnerUnreachable, Disposition::Unknown, "test", {} }; }

// Nodes in one process, with a key-value service in memory. Time passes only when the test or a sleeping call says so.
struct World {
    struct Node {
        Node(World& w, const std::string& name, uint64_t incarnation, std::vector<PeerAddress> peers)
            : decisions({ name, incarnation }, "lalitpur", {}, [](uint64_t) { return uint64_t { 0 }; })
            , link("lalitpur", {}, w.ports(std::move(peers), *this), this->decisions)
        {
        }
        Ticket mint() { return this->decisions.ledger.mint(this->decisions.owner.mintsWitnessed(), TimePoint {}); }

        Decisions decisions;
        int grantedCalls = 0;
        WitnessLink link;
    };

    explicit World(const std::vector<std::string>& names)
    {
        std::vector<PeerAddress> all;
        all.reserve(names.size());
        for (const auto& name : names)
            all.push_back({ name, name, "lalitpur" });
        this->addresses = all;
        for (const auto& name : names)
            this->start(name, 1);
    }

    void start(const std::string& name, uint64_t incarnation)
    {
        auto peers = this->addresses;
        std::erase_if(peers, [&](const PeerAddress& peer) { return peer.name == name; });
        this->nodes[name] = std::make_unique<Node>(*this, name, incarnation, peers);
    }
    void kill(const std::string& name) { this->down.insert(name); }
    bool isUp(std::string_view name) const { return this->nodes.contains(std::string(name)) && !this->down.contains(std::string(name)); }
    Node& node(const std::string& name) { return *this->nodes.at(name); }

    WitnessLinkPorts ports(std::vector<PeerAddress> peers, Node& node)
    {
        WitnessLinkPorts ports;
        ports.peers = std::move(peers);
        ports.clock = [this] { return this->now; };
        ports.sleep = [this](Duration time) { this->pass(time); };
        ports.background = [this](std::function<void()> task) { this->tasks.push_back(std::move(task)); };
        ports.granted = [&node] { ++node.grantedCalls; };
        ports.peer.identity = [this](std::string_view address) -> Result<NodeIdentity> {
            if (!this->isUp(address))
                return unreachable();
            return this->node(std::string(address)).decisions.ledger.identity();
        };
        ports.peer.witness = [this](std::string_view address, const OwnerMessage& message) -> Result<std::optional<WitnessMessage>> {
            if (!this->isUp(address))
                return unreachable();
            return this->node(std::string(address)).link.onOwnerMessage(message);
        };
        ports.peer.takeover
            = [this](std::string_view address, std::string_view ticket, const NodeIdentity& witness) -> Result<std::optional<Disposition>> {
            if (!this->isUp(address))
                return unreachable();
            return this->node(std::string(address)).link.takeover(ticket, witness);
        };
        ports.keyValue.get = [this](std::string_view key) -> Result<KeyValuePair> {
            if (this->platformDown)
                return Failure { FailureKind::PlatformUnavailable, Disposition::NotRun, "test", {} };
            return this->keys[std::string(key)];
        };
        ports.keyValue.put
            = [this](std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId>) -> Result<Revision> {
            if (this->platformDown)
                return Failure { FailureKind::PlatformUnavailable, Disposition::Unknown, "test", {} };
            auto& entry = this->keys[std::string(key)];
            if (entry.revision != expected)
                return Failure { FailureKind::Conflict, Disposition::NotRun, "test", {} };
            entry = { std::string(value), entry.revision + 1 };
            return entry.revision;
        };
        return ports;
    }

    // One round of every node that is up, and the tasks that come of it.
    void round()
    {
        for (auto& [name, node] : this->nodes) {
            if (this->isUp(name))
                node->link.step(this->now);
        }
        while (!this->tasks.empty()) {
            auto task = std::move(this->tasks.front());
            this->tasks.pop_front();
            task();
        }
    }
    void pass(Duration time)
    {
        constexpr Duration step = std::chrono::milliseconds(10);
        for (Duration passed {}; passed < time; passed += step) {
            this->now += step;
            this->round();
        }
    }

    TimePoint now { std::chrono::hours(1) };
    bool platformDown = false;
    std::vector<PeerAddress> addresses;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::set<std::string> down;
    std::map<std::string, KeyValuePair> keys;
    std::deque<std::function<void()>> tasks;
};

} // namespace

TEST_GROUP(WitnessLink)
{
    World world { { "n1", "n2", "n3" } };
    World::Node& owner = world.node("n1");

    void settle(int ms = 1000) { world.pass(std::chrono::milliseconds(ms)); }
    // Its present witness's name, once it may mint witnessed tickets.
    std::string witnessed()
    {
        settle();
        CHECK(owner.decisions.owner.mintsWitnessed());
        return owner.decisions.owner.witness().node;
    }
    std::string other(const std::string& name) { return name == "n2" ? "n3" : "n2"; }
    bool grant(const Ticket& ticket)
    {
        owner.decisions.owner.ask(ticket.sequence);
        settle(200);
        return owner.decisions.owner.mayDispatch(ticket.sequence);
    }
};

// Guards against an owner that never becomes witnessed, and against a grant that is not reported to the request path.
TEST(WitnessLink, GrantsArriveAndAreReported)
{
    witnessed();
    auto before = owner.grantedCalls;
    CHECK(grant(owner.mint()));
    CHECK(owner.grantedCalls > before);
}

// Guards against an owner that stays without grants after its witness is lost, and against grants of the old epoch that stay valid.
TEST(WitnessLink, ALostWitnessIsReplaced)
{
    auto first = witnessed();
    auto epoch = owner.decisions.owner.epoch();
    auto ticket = owner.mint();
    CHECK(grant(ticket));
    world.kill(first);
    auto waiting = owner.mint();
    owner.decisions.owner.ask(waiting.sequence);
    settle(3000);
    STRCMP_EQUAL(other(first).c_str(), owner.decisions.owner.witness().node.c_str());
    CHECK(owner.decisions.owner.epoch() > epoch);
    CHECK_FALSE(owner.decisions.owner.mayDispatch(ticket.sequence));
    CHECK(grant(ticket));
}

// P5: guards against "not run" for what was granted, and against "unknown" for what the witness can prove.
TEST(WitnessLink, ADeadOwnersTicketsAreAnsweredByItsWitness)
{
    auto witness = witnessed();
    auto granted = owner.mint();
    auto queued = owner.mint();
    CHECK(granted.witnessed && queued.witnessed);
    CHECK(grant(granted));
    world.kill("n1");
    auto& asking = world.node(other(witness));
    CHECK(asking.link.resolve(queued).disposition == Disposition::NotRun);
    CHECK(asking.link.resolve(granted).disposition == Disposition::Unknown);
    CHECK(world.node(witness).link.resolve(queued).disposition == Disposition::NotRun);
    // The owner was only paused: its grants are void from here on.
    world.down.clear();
    settle();
    CHECK_FALSE(grant(queued));
}

// P5: a later incarnation of the owner answers at the same address; its predecessor's tickets are still answered by the witness.
TEST(WitnessLink, ARestartedOwnersOldTicketsAreAnsweredByTheWitness)
{
    auto witness = witnessed();
    auto queued = owner.mint();
    world.kill("n1");
    world.start("n1", 2);
    world.down.clear();
    settle();
    CHECK(world.node(other(witness)).link.resolve(queued).disposition == Disposition::NotRun);
}

// Guards against a live owner that is fenced because one caller could not reach it.
TEST(WitnessLink, ALiveOwnerIsNotTakenOver)
{
    auto witness = witnessed();
    auto ticket = owner.mint();
    auto failure = world.node(other(witness)).link.resolve(ticket);
    CHECK(failure.kind == FailureKind::OwnerUnreachable);
    CHECK(failure.disposition == Disposition::Unknown);
    CHECK(grant(ticket));
}

// P5: without the record nobody knows which witness may answer.
TEST(WitnessLink, AnUnreadablePlatformGivesNoClaim)
{
    auto witness = witnessed();
    auto ticket = owner.mint();
    world.kill("n1");
    world.platformDown = true;
    auto failure = world.node(other(witness)).link.resolve(ticket);
    CHECK(failure.kind == FailureKind::PlatformUnavailable);
    CHECK(failure.disposition == Disposition::Unknown);
    CHECK(world.node(witness).link.takeover(ticketText(ticket), world.node(witness).decisions.ledger.identity()) == std::nullopt);
    world.platformDown = false;
    CHECK(world.node(other(witness)).link.resolve(ticket).disposition == Disposition::NotRun);
}

// P1: with the platform and the witness away, no witnessed ticket may be dispatched.
TEST(WitnessLink, WithoutWitnessAndPlatformNothingIsGranted)
{
    auto witness = witnessed();
    auto ticket = owner.mint();
    CHECK(ticket.witnessed);
    world.platformDown = true;
    world.kill(witness);
    // The loss shows when a grant is not answered.
    CHECK_FALSE(grant(ticket));
    settle(3000);
    CHECK_FALSE(owner.decisions.owner.mintsWitnessed());
    CHECK_FALSE(grant(ticket));
}

// P8: guards against a planned stop after which granted work that never began can't be proved as not run.
TEST(WitnessLink, AfterAHandoverUnusedGrantsAreProvedNotRun)
{
    auto witness = witnessed();
    auto unused = owner.mint();
    auto used = owner.mint();
    CHECK(grant(unused));
    CHECK(grant(used));
    CHECK(owner.decisions.owner.useGrant(used.sequence));
    owner.link.handOver();
    CHECK(owner.decisions.owner.state() == OwnerState::Stopped);
    world.kill("n1");
    auto& asking = world.node(other(witness));
    CHECK(asking.link.resolve(unused).disposition == Disposition::NotRun);
    CHECK(asking.link.resolve(used).disposition == Disposition::Unknown);
}
