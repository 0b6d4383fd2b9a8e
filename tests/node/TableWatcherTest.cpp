// Guards against a node that goes back to an older table, or gets no newer one because the platform is away.
#include "node/TableWatcher.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;

namespace {

// The key-value service in memory; `down` refuses every call.
struct MemoryPlatform {
    std::map<std::string, KeyValuePair, std::less<>> keys;
    bool down = false;
    std::vector<KeyValuePair> staleHeads; // served before the true head

    static Failure outage() { return { FailureKind::PlatformUnavailable, Disposition::NotRun, "down", {} }; }

    KeyValue port()
    {
        KeyValue kv;
        kv.get = [this](std::string_view key) -> Result<KeyValuePair> {
            if (this->down)
                return outage();
            if (key == headKey && !this->staleHeads.empty()) {
                auto stale = this->staleHeads.front();
                return stale;
            }
            auto found = this->keys.find(key);
            return found == this->keys.end() ? KeyValuePair {} : found->second;
        };
        kv.put = [this](std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId>) -> Result<Revision> {
            if (this->down)
                return outage();
            auto& entry = this->keys[std::string(key)];
            if (entry.revision != expected)
                return Failure { FailureKind::Conflict, Disposition::NotRun, "conflict", {} };
            entry = { std::string(value), entry.revision + 1 };
            return entry.revision;
        };
        return kv;
    }

    void edit(const std::string& id, const std::string& cell, const std::string& value)
    {
        TableStore store(this->port(), {});
        CHECK(store.refresh().value.has_value());
        TableEdit change;
        change.id = id;
        change.seenRevision = store.head().revision;
        change.who = "operator";
        if (cell.empty()) {
            Table whole;
            whole.workspaces.push_back({ "labs", "", {} });
            change.whole = whole;
        } else {
            change.cells.push_back({ CellEdit::Action::Set, cell, value });
        }
        CHECK(store.edit(change).revision.has_value());
    }
};

struct Node {
    Node(MemoryPlatform& platform, const std::string& name, std::vector<PeerAddress> peers, const Peer& peer)
    {
        TableWatcherPorts ports;
        ports.keyValue = platform.port();
        ports.peer = peer;
        ports.peers = std::move(peers);
        ports.random = [] { return 0.0; };
        ports.adopted
            = [this](const std::shared_ptr<const TableIndex>& next, const TableHead&) { this->adopted.push_back(next->revision()); };
        this->watcher = std::make_unique<TableWatcher>(name, "lalitpur", TableWatcherSettings {}, std::move(ports));
    }

    std::vector<uint64_t> adopted;
    std::unique_ptr<TableWatcher> watcher;
};

} // namespace

TEST_GROUP(TableWatcher)
{
    MemoryPlatform platform;
    Peer noPeer;
};

TEST(TableWatcher, AdoptsEachNewRevisionOnce)
{
    platform.edit("e1", "", "");
    Node node(platform, "n1", {}, noPeer);
    CHECK(node.watcher->refresh());
    CHECK(node.watcher->refresh());
    platform.edit("e2", "workspaces/labs/urgent.weight", "3");
    CHECK(node.watcher->refresh());
    CHECK(node.adopted == (std::vector<uint64_t> { 1, 2 }));
}

// P9: a replica of the platform that lags, or one restored from a backup, must not take a node back.
TEST(TableWatcher, NeverGoesBackToALowerRevision)
{
    platform.edit("e1", "", "");
    auto old = platform.keys.at(std::string(headKey));
    platform.edit("e2", "workspaces/labs/urgent.weight", "3");
    Node node(platform, "n1", {}, noPeer);
    CHECK(node.watcher->refresh());
    platform.staleHeads.push_back(old);
    node.watcher->refresh();
    CHECK_EQUAL(2U, node.watcher->revision());
    CHECK(node.adopted == std::vector<uint64_t> { 2 });
}

TEST(TableWatcher, ANodeThatStartsDuringAnOutageTakesItsPeersTable)
{
    platform.edit("e1", "", "");
    Node first(platform, "n1", {}, noPeer);
    CHECK(first.watcher->refresh());
    platform.down = true;
    Peer peer;
    peer.table
        = [&](std::string_view, uint64_t revision) -> Result<std::optional<TableVersion>> { return first.watcher->versionAbove(revision); };
    Node second(platform, "n2", { { "n1", "10.0.0.1:1", "lalitpur" } }, peer);
    CHECK(!second.watcher->refresh());
    CHECK_EQUAL(0U, second.watcher->revision());
    second.watcher->askOnePeer();
    CHECK_EQUAL(1U, second.watcher->revision());
    second.watcher->askOnePeer();
    CHECK(second.adopted == std::vector<uint64_t> { 1 });
}

TEST(TableWatcher, AnUnreachablePeerOrNonsenseFromItChangesNothing)
{
    platform.edit("e1", "", "");
    Peer peer;
    bool nonsense = false;
    peer.table = [&](std::string_view, uint64_t) -> Result<std::optional<TableVersion>> {
        if (nonsense)
            return std::optional<TableVersion>({ 99, "{\"revision\":" });
        return Failure { FailureKind::OwnerUnreachable, Disposition::NotRun, "down", {} };
    };
    Node node(platform, "n1", { { "n2", "10.0.0.2:1", "lalitpur" } }, peer);
    CHECK(node.watcher->refresh());
    node.watcher->askOnePeer();
    nonsense = true;
    node.watcher->askOnePeer();
    CHECK_EQUAL(1U, node.watcher->revision());
}

// The platform counts each waiting watch as a call.
TEST(TableWatcher, OnlyAFewNodesOfADomainKeepAWatch)
{
    std::vector<std::string> names;
    names.reserve(20);
    for (int i = 0; i < 20; ++i)
        names.push_back("n" + std::to_string(i));
    size_t watching = 0;
    for (const auto& self : names) {
        std::vector<PeerAddress> peers;
        for (const auto& other : names) {
            if (other != self)
                peers.push_back({ other, "10.0.0.1:1", "lalitpur" });
        }
        watching += Node(platform, self, peers, noPeer).watcher->keepsWatch() ? 1 : 0;
    }
    CHECK_EQUAL(TableWatcherSettings {}.watchersPerDomain, watching);
}

// Guards against nodes that wait for the table of a dead peer, and against a view that leaves nobody to ask.
TEST(TableWatcher, AsksALivePeer)
{
    std::string asked;
    Peer peer;
    peer.table = [&](std::string_view address, uint64_t) {
        asked = address;
        return Result<std::optional<TableVersion>>(std::optional<TableVersion> {});
    };
    std::string live = "n3";
    TableWatcherPorts ports;
    ports.keyValue = platform.port();
    ports.peer = peer;
    ports.peers = { { "n2", "10.0.0.2:1", "lalitpur" }, { "n3", "10.0.0.3:1", "lalitpur" } };
    ports.isLive = [&](std::string_view node) { return node == live; };
    ports.random = [] { return 0.0; };
    TableWatcher watcher("n1", "lalitpur", TableWatcherSettings {}, std::move(ports));
    watcher.askOnePeer();
    STRCMP_EQUAL("10.0.0.3:1", asked.c_str());
    live.clear();
    watcher.askOnePeer();
    STRCMP_EQUAL("10.0.0.2:1", asked.c_str());
}
