// Tests of what nodes tell each other over datagrams and the exchange of store items, and of datagrams and items that are damaged.
#include "EdgeWorld.h"
#include "PortReservation.h"

#include "edge/PeerLink.h"

#include <CppUTest/TestHarness.h>
#include <beacon.pb.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

// A node on an address of its own of the loopback network; all nodes use one port.
struct Node {
    Node(net::io_context& loop, const std::string& name, const std::string& ip, uint16_t port, uint64_t incarnation, Duration idle)
        : self { name, ip, port }
        , relay(loop, EdgeWorld::settings(), this->metrics, [] { return 0.5; })
        , link(loop, settings(name, ip, port, idle), this->relay, this->hooks(), incarnation)
    {
        this->copy.setDigest(4);
        this->link.start();
    }
    PeerLink::Hooks hooks()
    {
        PeerLink::Hooks result;
        result.items = [this](const ItemRevisions& after) {
            this->askedAfter = after;
            return StoreItems { { 8, 9 }, this->items };
        };
        result.knownRevisions = [this] { return this->known; };
        result.itemsReceived = [this](const StoreItems& list) {
            this->received.insert(this->received.end(), list.items.begin(), list.items.end());
            this->known = list.upTo;
        };
        result.fetchFailed = [this] { ++this->failures; };
        result.copies = [this](TimePoint now) { return CopyReports { this->copy.report(now), {} }; };
        result.peerCopies = [this](const std::string&, const CopyReports& copies, TimePoint askedAt) {
            this->copy.peerReports(copies.operators, askedAt, bootTime());
            return this->copy.isNewerCopy(copies.operators);
        };
        result.isBehind = [this](TimePoint) { return this->isBehind; };
        return result;
    }
    void read() { this->copy.wasRead(bootTime(), bootTime()); }
    static PeerLinkSettings settings(const std::string& name, const std::string& ip, uint16_t port, Duration idle)
    {
        PeerLinkSettings result;
        result.node = name;
        result.address = { ip, port };
        result.idleInterval = idle;
        result.behindFetchInterval = 50ms;
        result.differingFetchInterval = 20ms;
        return result;
    }

    Member self;
    EdgeMetrics metrics;
    Relay relay;
    std::vector<StoreItem> items;
    std::vector<StoreItem> received;
    ItemRevisions known { 3, 4 };
    ItemRevisions askedAfter;
    size_t failures = 0;
    SharedCopy copy { SharedCopySettings {} }; // of the operators' items
    bool isBehind = false;
    PeerLink link;
};

Workspace limited()
{
    Workspace result;
    result.name = "inspectors";
    result.ratePerSecond = 1;
    result.burst = 1000;
    return result;
}

} // namespace

TEST_GROUP(PeerLink)
{
    net::io_context loop;
    const PortReservation port { "0.0.0.0" }; // on all addresses of the loopback network
    std::vector<std::unique_ptr<Node>> nodes;

    Node& add(const std::string& name, uint64_t incarnation = 7, Duration idle = PeerLinkSettings {}.idleInterval)
    {
        const std::string ip = "127.0.0." + std::to_string(11 + this->nodes.size());
        return *this->nodes.emplace_back(std::make_unique<Node>(this->loop, name, ip, this->port.port(), incarnation, idle));
    }
    void introduce()
    {
        std::vector<Member> members;
        for (const auto& node : this->nodes)
            members.push_back(node->self);
        for (const auto& node : this->nodes)
            node->link.setMembers(members);
    }
    bool runUntil(const std::function<bool()>& condition, Duration bound = 10s)
    {
        const TimePoint end = bootTime() + bound;
        while (!condition() && bootTime() < end) {
            for (const auto& node : this->nodes)
                node->link.tick();
            this->loop.run_for(2ms);
        }
        return condition();
    }
    void sendTo(const Node& node, const std::string& bytes)
    {
        net::ip::udp::socket socket(this->loop, { net::ip::address_v4::loopback(), 0 });
        socket.send_to(net::buffer(bytes), { net::ip::make_address(node.self.ip), node.self.port });
    }
};

// Guards against nodes that each count their own use of a quota only.
TEST(PeerLink, TellsWhatWasDispatched)
{
    Node& first = add("n1");
    Node& second = add("n2");
    introduce();
    CHECK(runUntil([&] { return first.link.table().heardCount(bootTime()) == 1 && second.link.table().heardCount(bootTime()) == 1; }));
    bool taken = false;
    CHECK(runUntil([&] { return taken = taken || first.relay.quota.take(limited(), 250, true, bootTime()).allowed; }));
    // Without the report it is what a start counts as dispatched before: 708 of 1,008 tokens.
    CHECK(runUntil([&] { return second.relay.quota.take(limited(), 0, true, bootTime()).inWindow > 800; }));
}

// Guards against a proof that is honoured for another configuration than the peer proved.
TEST(PeerLink, TakesProofsOfTheSameConfigurationOnly)
{
    Node& first = add("n1");
    Node& second = add("n2");
    second.copy.setDigest(3);
    introduce();
    CHECK(runUntil([&] { return second.link.table().heardCount(bootTime()) == 1; }));
    first.read();
    CHECK_FALSE(runUntil([&] { return second.copy.provedAt().has_value(); }, 400ms));
    CHECK_TEXT(second.copy.differs(), "it has to read for itself");
    second.copy.setDigest(4);
    first.read();
    CHECK(runUntil([&] { return second.copy.provedAt().has_value(); }));
    CHECK_TEXT(*second.copy.provedAt() <= *first.copy.provedAt(), "never younger than the peer's");
}

// Guards against a node without the store that stays behind its peers.
TEST(PeerLink, FetchesItemsWhileBehind)
{
    Node& first = add("n1");
    Node& second = add("n2");
    first.items = { { "a", "text \xff", 5, false }, { "b", "", 6, true } };
    second.isBehind = true;
    introduce();
    first.read();
    CHECK(runUntil([&] { return second.received.size() >= 2; }));
    CHECK(second.received[0].key == "a" && second.received[0].revision == 5 && !second.received[0].gone);
    CHECK(second.received[1].key == "b" && second.received[1].gone);
}

// Guards against a node that ends, or believes something, because of bytes that no node sends.
TEST(PeerLink, RefusesDamagedDatagramsAndItems)
{
    Node& node = add("n1");
    node.isBehind = true;
    introduce();
    sendTo(node, std::string(300, '\xff'));
    sendTo(node, "");
    for (const char* items : { R"({"operators":1,"targets":1,"items":[{"key":1,"value":"x","revision":9,"gone":false}]})",
             R"({"operators":1,"targets":1,"items":[{"key":"k"}]})", R"({"items":[]})", "{", "7" }) {
        standins::ScriptedServer server(loop,
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(std::string_view(items).size()) + "\r\n\r\n" + items,
            standins::ScriptedEnd::KeepOpen);
        wire::Beacon beacon;
        beacon.set_node(std::string("other") + items);
        beacon.set_incarnation(1);
        beacon.set_sequence(1);
        beacon.set_operators_age_us(1000);
        beacon.set_operators_digest(99);
        beacon.set_tcp_port(server.address().port);
        loop.run_for(30ms); // longer than the interval between two requests for items
        sendTo(node, beacon.SerializeAsString());
        CHECK(runUntil([&] { return server.requests == 1; }));
        loop.run_for(20ms);
    }
    LONGS_EQUAL(0, node.received.size());
    CHECK(node.link.table().heardCount(bootTime()) >= 1);
    const size_t heard = node.link.table().heardCount(bootTime());
    wire::Beacon uneven;
    uneven.set_node("uneven");
    uneven.set_incarnation(1);
    uneven.set_sequence(1);
    uneven.set_operators_age_us(-1);
    uneven.add_used_workspaces(5);
    sendTo(node, uneven.SerializeAsString());
    loop.run_for(30ms);
    CHECK_TEXT(node.link.table().heardCount(bootTime()) <= heard, "columns of different lengths");
}

// Guards against a read whose news wait for a change of the loads: until they come, the other nodes read the store themselves.
TEST(PeerLink, AnnouncesAReadWhileLoadsStayTheSame)
{
    Node& first = add("n1", 7, 1h);
    Node& second = add("n2", 7, 1h);
    introduce();
    second.link.forceBeacon(); // the question from which the proof is dated
    CHECK(runUntil([&] { return first.link.table().heardCount(bootTime()) == 1; }));
    first.read();
    CHECK_FALSE(runUntil([&] { return second.copy.provedAt().has_value(); }, 100ms));
    first.link.forceBeacon();
    CHECK(runUntil([&] { return second.copy.provedAt().has_value(); }));
}

// Guards against a change that each node reads from the store: one that hears of it takes it from the node that has read it, and asks
// the store only where the answer would be too long.
TEST(PeerLink, TakesChangesFromTheNodeThatReadThem)
{
    Node& first = add("n1");
    Node& second = add("n2");
    second.copy.setDigest(3);
    second.read();
    first.items = { { "a", "text", 5, false } };
    introduce();
    CHECK(runUntil([&] { return second.link.table().heardCount(bootTime()) == 1; }));
    const auto readAgain = [&] { // later than the second node's last read by more than a beacon's way
        first.read();
        return !second.received.empty();
    };
    CHECK(runUntil(readAgain));
    LONGS_EQUAL(3, first.askedAfter.operators);
    LONGS_EQUAL(4, first.askedAfter.targets);
    LONGS_EQUAL(9, second.known.targets);
    LONGS_EQUAL(0, second.failures);
    first.items = { { "a", std::string(100'000, 'x'), 6, false } };
    CHECK(runUntil([&] { return second.failures > 0; }));
    second.isBehind = true; // the store does not answer it: now the length does not matter
    CHECK(runUntil([&] { return second.received.back().revision == 6; }));
}

// Guards against a proof from the future: a machine that lost power starts its clock anew, and its peers still echo a time that its
// earlier process sent. The node then held a withdrawn key valid for the rest of the day (seen on pupari-comm-grown scale-2).
TEST(PeerLink, TakesNoProofByAnEarlierProcessesClock)
{
    Node& node = add("n1", 7);
    introduce();
    const auto beaconWith = [&](uint64_t incarnation, uint64_t sequence, TimePoint echo) {
        wire::Beacon beacon;
        beacon.set_node("n2");
        beacon.set_incarnation(1);
        beacon.set_sequence(sequence);
        beacon.set_operators_digest(4);
        beacon.set_operators_age_us(1000);
        beacon.set_echo_sent_at_us(echo.time_since_epoch().count());
        beacon.set_echo_incarnation(incarnation);
        return beacon.SerializeAsString();
    };
    sendTo(node, beaconWith(6, 1, bootTime() - 1s));
    sendTo(node, beaconWith(7, 2, bootTime() + 1h));
    loop.run_for(30ms);
    CHECK_FALSE(node.copy.provedAt().has_value());
    sendTo(node, beaconWith(7, 3, bootTime() - 1s));
    CHECK(runUntil([&] { return node.copy.provedAt().has_value(); }));
}
