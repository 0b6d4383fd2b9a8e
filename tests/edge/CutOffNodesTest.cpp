// Nodes that are cut off from all targets while callers and the other nodes reach them: what their callers get, and what callers of the
// other nodes get meanwhile.
#include "EdgeWorld.h"
#include "PortReservation.h"
#include "edge/LinkProxy.h"
#include "edge/PeerLink.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;
using standins::LinkProxy;
using standins::LinkState;

namespace {

constexpr size_t nodeCount = 4;
constexpr size_t targetCount = 6;
constexpr uint32_t targetSlots = 8;
constexpr Duration contactTime = 1500ms; // from the start of a cut until callers of the nodes that are cut off are served again
constexpr Duration callInterval = 4ms;   // between requests of all callers
constexpr double leastShare = 2.0 / 3;   // of first tries that are served, against the other nodes

// A node with a loopback address of its own and a link of its own to each target.
struct Node {
    Node(net::io_context& loop, size_t number, uint16_t port)
        : self { "n" + std::to_string(number), "127.0.0." + std::to_string(21 + number), port }
        , generator(number)
        , relay(loop, settings(number), this->metrics, [this] { return std::uniform_real_distribution<double>(0, 1)(this->generator); })
        , link(loop, linkSettings(this->self, domain(number)), this->relay, hooks(), 1 + number)
        , listener(
              loop, { { "127.0.0.1", 0 }, 1000 },
              [this](const CallerPointer& caller, CallerRequest request) { this->relay.handle(caller, std::move(request)); },
              [this] { return this->relay.callerLimits(); })
    {
        this->link.start();
        this->listener.listen();
    }
    static std::string domain(size_t number) { return number < 2 ? "a" : "b"; }
    static RelaySettings settings(size_t number)
    {
        RelaySettings result = EdgeWorld::settings();
        result.connections = {};
        result.placement = {};
        result.placement.failureDomain = domain(number);
        return result;
    }
    static PeerLinkSettings linkSettings(const Member& self, const std::string& domain)
    {
        PeerLinkSettings result;
        result.node = self.node;
        result.failureDomain = domain;
        result.address = { self.ip, self.port };
        return result;
    }
    static PeerLink::Hooks hooks()
    {
        PeerLink::Hooks result;
        result.items = [](const ItemRevisions&) { return StoreItems {}; };
        result.knownRevisions = [] { return ItemRevisions {}; };
        result.itemsReceived = [](const StoreItems&) {};
        result.fetchFailed = [] {};
        result.copies = [](TimePoint) { return CopyReports {}; };
        result.peerCopies = [](const std::string&, const CopyReports&, TimePoint) { return false; };
        result.isBehind = [](TimePoint) { return false; };
        return result;
    }

    Member self;
    EdgeMetrics metrics;
    std::mt19937_64 generator;
    Relay relay;
    PeerLink link;
    HttpListener listener;
    std::vector<std::unique_ptr<LinkProxy>> links; // to the targets
};

struct Call {
    size_t node;
    std::string id;
    bool isOrder;
    TimePoint sentAt;
    std::shared_ptr<CallerAnswer> answer;
};

class Fleet {
public:
    Fleet()
    {
        EdgeWorld world;
        const auto catalog = std::make_shared<const Catalog>(world.catalog());
        for (size_t i = 0; i < targetCount; ++i) {
            standins::RunnerSettings settings;
            settings.id = "t" + std::to_string(i);
            settings.address = { "127.0.0.1", 0 };
            this->targets.push_back(std::make_unique<standins::PlatformRunner>(this->loop, settings));
            this->targets.back()->start();
        }
        std::vector<Member> members;
        for (size_t n = 0; n < nodeCount; ++n) {
            Node& node = *this->nodes.emplace_back(std::make_unique<Node>(this->loop, n, this->port.port()));
            node.relay.setCatalog(catalog);
            members.push_back(node.self);
            for (size_t i = 0; i < targetCount; ++i) {
                node.links.push_back(std::make_unique<LinkProxy>(this->loop, this->targets[i]->address()));
                TargetInfo info;
                info.id = "t" + std::to_string(i);
                info.service = "drafts";
                info.address = node.links.back()->address();
                info.failureDomain = i % 2 == 0 ? "a" : "b";
                info.slots = targetSlots;
                node.relay.upsertTarget(info);
            }
        }
        for (const auto& node : this->nodes)
            node->link.setMembers(members);
        this->runFor(2500ms, false); // until the nodes know each other, and none counts as just started
    }

    void runFor(Duration span, bool isLoaded = true)
    {
        const TimePoint end = bootTime() + span;
        while (bootTime() < end) {
            const TimePoint now = bootTime();
            if (now >= this->nextTick) {
                this->nextTick = now + 10ms;
                for (const auto& node : this->nodes) {
                    node->relay.freshness.prove(now);
                    node->relay.tick();
                    node->link.tick();
                }
            }
            if (isLoaded && now >= this->nextCall) {
                this->nextCall = now + callInterval;
                this->call(this->calls.size() % nodeCount, this->calls.size() % 8 < 4);
            }
            this->loop.run_for(1ms);
        }
    }

    void cut(size_t nodesToCut, LinkState state)
    {
        for (size_t n = 0; n < nodesToCut; ++n) {
            for (const auto& link : this->nodes[n]->links)
                link->set(state);
        }
    }

    struct Share {
        size_t sent = 0;
        size_t served = 0;
        double share() const { return this->sent == 0 ? 0 : static_cast<double>(this->served) / static_cast<double>(this->sent); }
        std::string text() const { return std::to_string(this->served) + " of " + std::to_string(this->sent); }
    };
    Share share(bool isCut, size_t nodesCut, TimePoint from, TimePoint to) const
    {
        Share result;
        for (const Call& call : this->calls) {
            if ((call.node < nodesCut) != isCut || call.sentAt < from || call.sentAt >= to)
                continue;
            ++result.sent;
            result.served += call.answer->complete && call.answer->status == 200 ? 1 : 0;
        }
        return result;
    }

    std::string untruths() const // orders that ran twice, or that ran and were refused
    {
        std::map<std::string, size_t> runs;
        for (const auto& target : this->targets) {
            for (const auto& run : target->runs)
                ++runs[run.attempt];
        }
        std::string result;
        for (const Call& call : this->calls) {
            const size_t count = runs.contains(call.id) ? runs.at(call.id) : 0;
            const unsigned status = call.answer->status;
            if (call.isOrder && count > 1)
                result += "TWICE " + call.id + "\n";
            if (call.isOrder && count > 0 && (status == 503 || status == 429 || status == 421 || status == 408))
                result += "REFUSED " + call.id + "\n";
        }
        return result;
    }

    net::io_context loop;
    const PortReservation port { "0.0.0.0" };
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Call> calls;

private:
    void call(size_t node, bool isOrder)
    {
        const std::string id = "c" + std::to_string(this->calls.size());
        const auto answer = callNode(this->loop, { "127.0.0.1", this->nodes[node]->listener.port() },
            std::string("POST ") + (isOrder ? "/once/x" : "/plain/x"),
            std::string("Host: ") + EdgeWorld::host + "\r\nGuavapond-Attempt-Id: " + id
                + "\r\nGuavapond-Key: key-1\r\nContent-Length: 4\r\n",
            "text", this->connections);
        this->calls.push_back({ node, id, isOrder, bootTime(), answer });
    }

    std::vector<std::unique_ptr<standins::PlatformRunner>> targets;
    std::vector<ConnectionPointer> connections;
    TimePoint nextTick {};
    TimePoint nextCall {};
};

// Cuts off `nodesToCut` nodes, twice in a row, and returns what was wrong; empty: nothing.
std::string playCuts(LinkState state)
{
    Fleet fleet;
    std::string wrong;
    fleet.runFor(500ms);
    for (const size_t nodesToCut : { size_t { 1 }, size_t { 2 }, size_t { 3 }, size_t { 1 } }) {
        fleet.cut(nodesToCut, state);
        fleet.runFor(contactTime);
        const TimePoint from = bootTime();
        fleet.runFor(1s);
        const TimePoint to = bootTime();
        fleet.cut(nodesToCut, LinkState::Up);
        fleet.runFor(1s);
        const TimePoint healed = bootTime();
        fleet.runFor(500ms);
        const TimePoint end = bootTime();
        fleet.runFor(300ms, false);
        const auto cut = fleet.share(true, nodesToCut, from, to);
        const auto others = fleet.share(false, nodesToCut, from, to);
        const auto after = fleet.share(true, nodesToCut, healed, end);
        if (cut.share() < leastShare * others.share() || others.share() < 0.9 || after.share() < 0.9)
            wrong += std::to_string(nodesToCut) + " cut off: they served " + cut.text() + ", the others " + others.text()
                + ", after the cut they served " + after.text() + "\n";
    }
    fleet.runFor(4s, false); // until the last request has ended
    return wrong + fleet.untruths();
}

} // namespace

TEST_GROUP(CutOffNodes) {};

// Guards against nodes that refuse their callers while their connections to all targets hang, and that take others' targets out of use.
TEST(CutOffNodes, ServeWhileConnectionsHang) { STRCMP_EQUAL("", playCuts(LinkState::Hangs).c_str()); }

// Guards against the same while connections to all targets are reset and refused.
TEST(CutOffNodes, ServeWhileConnectionsAreReset) { STRCMP_EQUAL("", playCuts(LinkState::Resets).c_str()); }

// Guards against the same while open connections to targets live on and new ones are refused.
TEST(CutOffNodes, ServeWhileNewConnectionsAreRefused) { STRCMP_EQUAL("", playCuts(LinkState::RefusesNew).c_str()); }
