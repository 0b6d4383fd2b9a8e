// Composition of a node.
#include "daemon/NodeProcess.h"

#include "adapters/HttpEngine.h"
#include "adapters/HttpPlatform.h"
#include "adapters/HttpService.h"
#include "adapters/Logging.h"
#include "adapters/UnixTime.h"

#include <boost/asio/post.hpp>
#include <random>

namespace guavapond {

namespace {

constexpr unsigned requestTaskThreads = 64;
constexpr unsigned witnessTaskThreads = 8;
constexpr unsigned monitorTaskThreads = 24; // a silent target holds one for as long as its call's timeout
constexpr Duration lameDuckTime = std::chrono::milliseconds(500);
constexpr unsigned clusterTaskThreads = 8;
constexpr Duration peerStopTime = std::chrono::seconds(1);
constexpr std::chrono::seconds movePlanInterval { 1 };

TimePoint presentTimeOfProcess() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

uint64_t randomBelow(uint64_t bound)
{
    thread_local std::mt19937_64 generator(std::random_device {}());
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(generator);
}

double randomUnit()
{
    thread_local std::mt19937_64 generator(std::random_device {}());
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

} // namespace

NodeProcess::NodeProcess(const Settings& s, uint64_t incarnation)
    : settings(s)
    , engine(makeHttpEngine(engineSettings(s)))
    , service(makeHttpService(serviceSettings(s)))
    , peer(makeGrpcPeer({}))
    , keyValue(httpKeyValue(platformSettings(s)))
    , vms(httpVmList(platformSettings(s)))
    , audit({ s.auditFile, s.auditFileBytes, s.auditFiles })
    , table(std::make_shared<const TableIndex>())
    , decisions({ s.name, incarnation }, s.failureDomain, decisionSettings(s), randomBelow)
    , moves(JudgeSettings {}, MovePlanSettings {})
    , requestTasks(requestTaskThreads)
    , witnessTasks(witnessTaskThreads)
    , monitorTasks(monitorTaskThreads)
    , clusterTasks(clusterTaskThreads)
{
    this->cluster = std::make_unique<ClusterLink>(
        NodeIdentity { s.name, incarnation }, s.failureDomain, ClusterLinkSettings {}, this->clusterPorts());
    this->path = std::make_unique<RequestPath>(requestPathSettings(s), this->requestPathPorts(), this->table, this->decisions);
    this->monitor = std::make_unique<TargetMonitor>(monitorSettings(s), this->monitorPorts(), this->table, this->decisions);
    this->watcher = std::make_unique<TableWatcher>(s.name, s.failureDomain, tableWatcherSettings(s), this->watcherPorts());
    this->witnessLink = std::make_unique<WitnessLink>(s.failureDomain, WitnessLinkSettings {}, this->witnessPorts(), this->decisions);
    NodeApiPorts apiPorts;
    apiPorts.clock = presentTimeOfProcess;
    apiPorts.metrics
        = [this] { return this->metrics.page(this->decisions, *this->table.get(), this->moves.status(), presentTimeOfProcess()); };
    apiPorts.moves = [this] { return this->moves.status(); };
    apiPorts.hasTable = [this] { return this->watcher->revision() > 0; };
    apiPorts.members = [this] { return this->memberStatus(); };
    apiPorts.nodeName = s.name;
    apiPorts.failureDomain = s.failureDomain;
    apiPorts.adminToken = s.adminToken;
    this->api = std::make_unique<NodeApi>(std::move(apiPorts), *this->path, this->table, this->decisions);
    this->server = std::make_unique<HttpServer>(
        serverSettings(s),
        [this](const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) { this->api->handle(request, reply); },
        [](const Failure& failure) { return errorBody(failure, {}); });
    this->peerServer = std::make_unique<GrpcPeerServer>(s.nodesAddress, s.nodesPort, GrpcPeerSettings {}, this->peerHandler());
}

NodeProcess::~NodeProcess()
{
    this->stop = true;
    this->path->wakeTimer();
    this->planMovesNow();
    this->monitor->wake();
    this->watcher->wake();
    this->witnessLink->poke();
    for (auto& thread : this->threads)
        thread.join();
    this->server->stop();
    this->peerServer->stop(std::chrono::seconds(1));
    this->requestTasks.join();
    this->witnessTasks.join();
    this->monitorTasks.join();
    this->clusterTasks.join();
}

std::optional<Failure> NodeProcess::start()
{
    if (auto failure = this->peerServer->start())
        return failure;
    if (auto failure = this->server->start())
        return failure;
    this->threads.emplace_back([this] { this->path->runTimer(this->stop); });
    this->threads.emplace_back([this] { this->monitor->run(this->stop); });
    this->threads.emplace_back([this] { this->watcher->watchPlatform(this->stop); });
    this->threads.emplace_back([this] { this->watcher->askPeers(this->stop); });
    this->threads.emplace_back([this] { this->witnessLink->run(this->stop); });
    this->threads.emplace_back([this] { this->cluster->run(this->stop); });
    this->threads.emplace_back([this] { this->runMoves(); });
    return std::nullopt;
}

void NodeProcess::stopGracefully()
{
    constexpr Duration step = std::chrono::milliseconds(50);
    this->path->stopAdmitting();
    this->server->closeAfterAnswers();
    this->cluster->leave();
    log(LogLevel::Info, "stopping", { { "active", this->path->active() } });
    auto until = presentTimeOfProcess() + this->settings.shutdownTime;
    // An answer that has ended may still wait for a caller that reads slowly; the server's write time-out bounds that wait.
    // Callers that keep idle connections learn by their next answer, or by /readyz, that the node leaves.
    std::this_thread::sleep_for(lameDuckTime);
    while ((this->path->active() > 0 || this->server->answering() > 0) && presentTimeOfProcess() < until)
        std::this_thread::sleep_for(step);
    this->witnessLink->handOver();
    this->server->stopAccepting();
    // Lets calls of other nodes end whose last piece is under way.
    this->peerServer->stop(peerStopTime);
    log(LogLevel::Info, "stopped", { { "active", this->path->active() } });
}

std::function<void(std::function<void()>)> NodeProcess::runOn(boost::asio::thread_pool& pool)
{
    return [&pool](std::function<void()> task) { boost::asio::post(pool, std::move(task)); };
}

RequestPathPorts NodeProcess::requestPathPorts()
{
    RequestPathPorts ports;
    ports.engine = this->engine;
    ports.service = this->service;
    ports.peer = this->peer;
    ports.clock = presentTimeOfProcess;
    ports.background = this->runOn(this->requestTasks);
    ports.peerAddress = [this](std::string_view node) -> std::optional<std::string> {
        for (const auto& known : this->settings.peers) {
            if (known.name == node)
                return known.address;
        }
        return std::nullopt;
    };
    ports.askWitness = [this] { this->witnessLink->poke(); };
    ports.resolve = [this](const Ticket& ticket) { return this->witnessLink->resolve(ticket); };
    ports.observer = this->metrics.observer();
    auto count = ports.observer.ended;
    ports.observer.ended = [this, count](const RequestSummary& summary) {
        count(summary);
        this->logEnded(summary);
        // On a thread of its own: this hook may run with the decision mutex held.
        if (this->moves.observe(summary, presentTimeOfProcess()))
            this->planMovesNow();
    };
    return ports;
}

PeerHandler NodeProcess::peerHandler()
{
    PeerHandler handler;
    handler.forward = [this](const ForwardedRequest& request, const auto& onChunk) { this->path->forwarded(request, onChunk); };
    handler.outcome = [this](std::string_view ticket) { return this->path->outcomeJson(ticket); };
    handler.table = [this](uint64_t revision) { return this->watcher->versionAbove(revision); };
    handler.identity = [this] { return this->decisions.ledger.identity(); };
    handler.witness = [this](const OwnerMessage& message) { return this->witnessLink->onOwnerMessage(message); };
    handler.takeover
        = [this](std::string_view ticket, const NodeIdentity& witness) { return this->witnessLink->takeover(ticket, witness); };
    handler.gossip = [this](const MembershipMessage& message) { return this->cluster->onMessage(message); };
    return handler;
}

ClusterLinkPorts NodeProcess::clusterPorts()
{
    ClusterLinkPorts ports;
    ports.peer = this->peer;
    ports.peers = this->peerAddresses();
    ports.clock = presentTimeOfProcess;
    ports.sleep = [](Duration time) { std::this_thread::sleep_for(time); };
    ports.background = this->runOn(this->clusterTasks);
    ports.random = randomBelow;
    return ports;
}

// One read of the platform's list serves the targets and the members.
VmList NodeProcess::sharedVmList() const
{
    return { [this] {
        auto vms = this->vms.list();
        if (vms)
            this->cluster->onVmList(*vms);
        return vms;
    } };
}

nlohmann::json NodeProcess::memberStatus() const
{
    constexpr std::array<const char*, 3> stateNames { "alive", "suspect", "dead" }; // in the order of MemberState
    auto list = nlohmann::json::array();
    for (const auto& member : this->cluster->members()) {
        list.push_back({ { "node", member.node }, { "failureDomain", member.failureDomain },
            { "state", stateNames.at(static_cast<size_t>(member.state)) }, { "leaving", member.leaving } });
    }
    return list;
}

std::vector<PeerAddress> NodeProcess::peerAddresses() const
{
    std::vector<PeerAddress> addresses;
    for (const auto& known : this->settings.peers)
        addresses.push_back({ known.name, known.address, known.failureDomain });
    return addresses;
}

WitnessLinkPorts NodeProcess::witnessPorts()
{
    WitnessLinkPorts ports;
    ports.peer = this->peer;
    ports.keyValue = this->keyValue;
    ports.peers = this->peerAddresses();
    ports.clock = presentTimeOfProcess;
    ports.sleep = [](Duration time) { std::this_thread::sleep_for(time); };
    ports.background = this->runOn(this->witnessTasks);
    ports.isEligible = [this](std::string_view node) { return this->cluster->isEligible(node); };
    ports.granted = [this] { this->path->grantsChanged(); };
    return ports;
}

TargetMonitorPorts NodeProcess::monitorPorts()
{
    return { this->engine, this->sharedVmList(), presentTimeOfProcess, this->runOn(this->monitorTasks), [this] { this->path->poke(); } };
}

TableWatcherPorts NodeProcess::watcherPorts()
{
    TableWatcherPorts ports;
    ports.keyValue = this->keyValue;
    ports.peer = this->peer;
    ports.peers = this->peerAddresses();
    ports.isLive = [this](std::string_view node) { return this->cluster->isLive(node); };
    ports.random = randomUnit;
    ports.adopted = [this](const std::shared_ptr<const TableIndex>& next, const TableHead& head) { this->adopt(next, head); };
    ports.failed = [](const Failure& failure) { log(LogLevel::Warn, "platform call failed", { { "reason", failure.message } }); };
    return ports;
}

void NodeProcess::adopt(const std::shared_ptr<const TableIndex>& next, const TableHead& head)
{
    auto now = presentTimeOfProcess();
    // Targets first: a request that is parsed against the new revision has to find its targets known. The publication waits for
    // readers, some of which hold the mutex, so it comes after the mutex is released.
    std::vector<MoveChange> changes;
    {
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.applyTable(*next, now);
        changes = this->moves.applyTable(next, this->decisions.router, unixMsNow());
    }
    this->table.publish(next);
    logMoves(changes);
    log(LogLevel::Info, "table revision in force", { { "revision", next->revision() } });
    if (!this->audit.record(head.edits))
        log(LogLevel::Error, "audit trail can't be written", { { "file", this->settings.auditFile } });
    this->path->poke();
}

// ---- Moves
void NodeProcess::planMovesNow()
{
    std::lock_guard lock(this->movesMutex);
    this->movesWoken = true;
    this->movesChanged.notify_all();
}

void NodeProcess::runMoves()
{
    while (!this->stop) {
        {
            std::unique_lock lock(this->movesMutex);
            this->movesChanged.wait_for(lock, movePlanInterval, [this] { return this->movesWoken; });
            this->movesWoken = false;
        }
        std::vector<MoveChange> changes;
        {
            std::lock_guard lock(this->decisions.mutex);
            changes = this->moves.replan(this->decisions.router, unixMsNow());
        }
        logMoves(changes);
        if (!changes.empty())
            this->path->poke();
    }
}

void NodeProcess::logMoves(std::span<const MoveChange> changes)
{
    for (const MoveChange& change : changes) {
        const MoveStatus& move = change.status;
        if (change.verdictChanged)
            log(LogLevel::Info, "verdict on a version",
                { { "move", move.row.id }, { "model", move.row.model }, { "version", move.row.toVersion },
                    { "verdict", verdictName(move.verdict.kind) }, { "reason", badReasonName(move.verdict.reason) },
                    { "route", move.verdict.route }, { "requests", move.newSamples } });
        if (change.shareChanged)
            log(LogLevel::Info, "share of a version",
                { { "move", move.row.id }, { "model", move.row.model }, { "version", move.row.toVersion }, { "percent", move.view.percent },
                    { "phase", movePhaseName(move.view.phase) } });
    }
}

void NodeProcess::logEnded(const RequestSummary& summary)
{
    log(LogLevel::Info, "request ended",
        { { "ticket", summary.ticket }, { "workspace", summary.workspace }, { "model", summary.model }, { "target", summary.target },
            { "tier", tierName(summary.tier) }, { "queueMs", toMilliseconds(summary.queueTime) },
            { "totalMs", toMilliseconds(summary.total) }, { "outputTokens", summary.outputTokens },
            { "result", summary.failure ? failureKindName(summary.failure->kind) : "whole" },
            { "disposition", summary.failure ? dispositionName(summary.failure->disposition) : "ran" } });
}

} // namespace guavapond
