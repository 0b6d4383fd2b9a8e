// Connects the parts of an edge node, serves its readiness and metrics pages, runs its periodic work and performs the graceful shutdown.
#include "edge/EdgeNode.h"

#include "adapters/Logging.h"
#include "edge/Beliefs.h"
#include "edge/PlacementReport.h"
#include "scheduling/RequestFields.h"

namespace guavapond::edge {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(10); // period in which queued requests, beacons and moves are processed
// Subtracted from the key revocation bound to cover clock rounding. Network delay needs no allowance, because the age of a proof counts
// from the start of the call that fetched it.
constexpr Duration revocationMargin = std::chrono::milliseconds(250);
constexpr uint32_t reservedDescriptors = 260;                // file descriptors for files, the store and peers
constexpr double callerDescriptorShare = 0.6;                // fraction of the remaining descriptors for callers; the rest is for targets
constexpr double receivedMemoryShare = 0.25;                 // of the process's memory, for requests of callers
constexpr double unsentAnswerShare = 0.2;                    // of the process's memory, for answers that callers have not read
constexpr double keptAnswerShare = 0.125;                    // of the process's memory, for answers that are not whole
constexpr CallerLimits internalLimits { .bodyBytes = 4096 }; // pages of the node itself are asked for without a body
constexpr Duration moveWriterDelay = std::chrono::milliseconds(300); // per node ahead in the order of writers; time for a store call
constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusWrongMethod = 405;
constexpr int otherDomainIntervals = 2; // of beacons to other failure domains, where the bytes between them have a price
constexpr std::string_view wherePath = "/where";
constexpr std::string_view liftPath = "/quarantine/lift/"; // and the key of a request or the id of a part

PeerLinkSettings peerSettings(const EdgeSettings& settings)
{
    PeerLinkSettings result;
    result.node = settings.node;
    result.failureDomain = settings.placement.failureDomain;
    result.address = settings.peers;
    result.machine = settings.machine;
    const SpillSettings& spill = settings.placement.spill;
    result.measuresRoundTrips = spill.enabled;
    result.otherDomainIntervals = spill.enabled && spill.gigabytePrice > 0 ? otherDomainIntervals : 1;
    return result;
}

size_t maxCallerConnections(const EdgeSettings& settings)
{
    const uint32_t available
        = settings.descriptors > 2 * reservedDescriptors ? settings.descriptors - reservedDescriptors : settings.descriptors / 2;
    return static_cast<size_t>(available * callerDescriptorShare);
}

} // namespace

RelaySettings EdgeNode::relaySettings(const EdgeSettings& settings, const WireHeaders& headers)
{
    RelaySettings result;
    result.headers = headers;
    result.placement = settings.placement;
    result.admission = settings.admission;
    result.secondTries = settings.secondTries;
    result.quotaWindow = settings.quotaWindow;
    result.maxKeptAnswerBytes = static_cast<size_t>(static_cast<double>(settings.memoryBytes) * keptAnswerShare);
    result.keyProofMaxAge = settings.checksRevocation ? settings.maxKeyRevocationDelay - revocationMargin : Duration::max();
    return result;
}

EdgeNode::EdgeNode(net::io_context& loop, const EdgeSettings& settings, const WireHeaders& headers, const EdgePaths& paths,
    PeerLink::Hooks peerHooks, uint64_t incarnation, std::function<double()> random)
    : settings(settings)
    , headers(headers)
    , paths(paths)
    , requests(loop, relaySettings(settings, headers), this->counters, std::move(random))
    , peerLink(loop, peerSettings(settings), this->requests, std::move(peerHooks), incarnation)
    , callers(
          loop,
          { .address = settings.callers,
              .maxConnections = maxCallerConnections(settings),
              .maxReceivedBytes = static_cast<size_t>(static_cast<double>(settings.memoryBytes) * receivedMemoryShare),
              .maxUnsentBytes = static_cast<size_t>(static_cast<double>(settings.memoryBytes) * unsentAnswerShare),
              .exceptionContained = this->counters.exceptionHook(),
              .answerDropped = [this](size_t bytes) { this->counters.answerDropped(bytes); },
              .requestRefused = [this](http::status status) { this->counters.requestUnread(static_cast<unsigned>(status)); } },
          [this](const CallerPointer& caller, CallerRequest request) { this->requests.handle(caller, std::move(request)); },
          [this] { return this->requests.callerLimits(); })
    , ready(
          loop, { .address = settings.ready, .maxConnections = 64, .exceptionContained = this->counters.exceptionHook() },
          [this](const CallerPointer& caller, const CallerRequest& request) { this->onReady(caller, request); },
          [] { return internalLimits; })
    , metricsListener(
          loop, { .address = settings.metrics, .maxConnections = 16, .exceptionContained = this->counters.exceptionHook() },
          [this](const CallerPointer& caller, const CallerRequest& request) { this->onMetrics(caller, request); },
          [] { return internalLimits; })
    , timer(loop)
{
}

void EdgeNode::start()
{
    this->ready.listen();
    this->metricsListener.listen();
    this->peerLink.start();
    this->callers.listen();
    this->tick();
}

void EdgeNode::applySettings(const EdgeSettings& value)
{
    this->settings = value;
    this->requests.configure(relaySettings(value, this->headers));
}

void EdgeNode::onReady(const CallerPointer& caller, const CallerRequest& request)
{
    if (request.message.target() != this->paths.ready)
        return caller->sendResponse(makeResponse({ statusNotFound, "", "", {} }));
    const bool takesCallers = !this->stopSequence.isStopping() && isReady(this->requests.readiness());
    caller->sendResponse(makeResponse({ takesCallers ? statusOk : statusUnavailable, "", "", {} }));
}

void EdgeNode::onMetrics(const CallerPointer& caller, const CallerRequest& request)
{
    const TimePoint now = bootTime();
    if (request.message.target() == this->paths.beliefs)
        return caller->sendResponse(makeResponse(
            { statusOk, nodeStatusPage(this->settings.node, this->requests, this->peerLink.table(), now, this->callers.slowCallers()),
                "application/json", {} }));
    if (request.message.target() == wherePath)
        return this->onWhere(caller, request);
    if (const std::string_view target = request.message.target(); target.starts_with(liftPath))
        return this->onLift(caller, request.message.method(), target.substr(liftPath.size()));
    if (request.message.target() != this->paths.metrics)
        return caller->sendResponse(makeResponse({ statusNotFound, "", "", {} }));
    EdgeMetrics& gauges = this->counters;
    gauges.setGauge("guavapond_edge_in_flight", "Requests under way", static_cast<double>(this->requests.inFlight()));
    gauges.setGauge("guavapond_edge_waiting", "Requests that wait for room at a target", static_cast<double>(this->requests.waiting()));
    gauges.setGauge(
        "guavapond_edge_peers_heard", "Other nodes that are heard", static_cast<double>(this->peerLink.table().heardCount(now)));
    gauges.setGauge("guavapond_edge_catalog_version", "Version of the configuration in force",
        this->requests.catalog() ? static_cast<double>(this->requests.catalog()->version) : 0);
    size_t limited = 0;
    std::array<size_t, rateKindCount> underRate {};
    for (const auto& item : this->requests.services()) {
        limited += item.second->targets.limitedCount();
        const auto counts = item.second->targets.rateCounts(now);
        std::transform(counts.begin(), counts.end(), underRate.begin(), underRate.begin(), std::plus<>());
    }
    for (const RateKind kind : { RateKind::Limit, RateKind::WarmUp, RateKind::MayBeNew })
        gauges.setGauge("guavapond_edge_targets_rated_" + std::string(rateKindName(kind)),
            "Targets whose rate in force is one of this kind", static_cast<double>(underRate.at(static_cast<size_t>(kind))));
    size_t brittle = 0;
    for (const auto& item : this->requests.services())
        brittle += item.second->targets.brittleCount(now);
    gauges.setGauge("guavapond_edge_brittle_targets", "Targets that say that they fall over when they turn away too many requests",
        static_cast<double>(brittle));
    gauges.setGauge("guavapond_edge_quarantined_parts", "Prompt parts that crash targets, as this node knows",
        static_cast<double>(this->requests.quarantine.size()));
    gauges.setGauge("guavapond_edge_limited_targets", "Targets whose request limit this node knows", static_cast<double>(limited));
    const Placement::Counts& placements = this->requests.placement.counts();
    gauges.setGauge("guavapond_edge_places_asked", "Places asked for since the start", static_cast<double>(placements.requested));
    gauges.setGauge("guavapond_edge_places_granted", "Places granted since the start", static_cast<double>(placements.granted));
    gauges.setGauge("guavapond_edge_places_refused", "Places refused since the start", static_cast<double>(placements.full));
    gauges.setGauge(
        "guavapond_edge_places_elsewhere", "Asks sent on to another group since the start", static_cast<double>(placements.redirected));
    gauges.setGauge(
        "guavapond_edge_places_alone", "Requests placed without a home since the start", static_cast<double>(placements.withoutHome));
    gauges.setGauge("guavapond_edge_homes_silent", "Homes that did not answer in time since the start",
        static_cast<double>(placements.silentHomes + placements.unansweredHomes));
    gauges.setGauge("guavapond_edge_homes_unanswered", "Homes that were heard and did not answer in time since the start",
        static_cast<double>(placements.unansweredHomes));
    gauges.setGauge("guavapond_edge_home_changes", "Groups whose home moved to another node since the start, as this node sees it",
        static_cast<double>(placements.homeChanges));
    gauges.setGauge("guavapond_edge_home_declined", "Requests of other nodes that this node declined as a stand-in since the start",
        static_cast<double>(placements.declined));
    gauges.setGauge("guavapond_edge_home_answer_seconds", "Smoothed answer time of the slowest home; 0: none measured",
        toSeconds(this->requests.placement.homeLiveness().slowestAnswer()));
    gauges.setGauge(
        "guavapond_edge_placement_datagrams", "Placement messages sent since the start", static_cast<double>(placements.datagrams));
    this->setSpillGauges(now);
    const auto age = this->requests.freshness.age(now);
    gauges.setGauge(
        "guavapond_edge_proof_age_seconds", "Age of the proof that the configuration is current; -1: none", age ? toSeconds(*age) : -1);
    gauges.setGauge("guavapond_edge_ready_without_proof", "1: stays ready without a young proof, since all nodes that it hears lack it",
        this->requests.readiness() == Readiness::ReadyWithoutProof ? 1 : 0);
    const auto cutOffSince = this->requests.reach.cutOffSince();
    gauges.setGauge("guavapond_edge_cut_off_seconds", "Time since this node reaches no target; 0: it reaches some",
        cutOffSince ? toSeconds(now - *cutOffSince) : 0);
    gauges.setGauge(
        "guavapond_edge_unsent_bytes", "Bytes of answers that callers have not read", static_cast<double>(this->callers.unsent()));
    gauges.setGauge("guavapond_edge_slow_callers", "Callers that keep their window closed and read their answers slowly",
        static_cast<double>(this->callers.slowCallers()));
    gauges.setGauge("guavapond_edge_slow_targets", "Targets that keep their window closed and take a request in slowly",
        static_cast<double>(this->requests.slowTargets()));
    gauges.setGauge("guavapond_edge_connections_opened", "Connections to targets since the start",
        static_cast<double>(this->requests.connectionsOpened()));
    caller->sendResponse(makeResponse({ statusOk, gauges.page(), "text/plain; version=0.0.4", {} }));
}

// Of the homes on this node. The labels are bounded by the services and failure domains of the deployment.
void EdgeNode::setSpillGauges(TimePoint now)
{
    EdgeMetrics& gauges = this->counters;
    for (const auto& [service, entry] : this->requests.services()) {
        for (const Placement::HomeView& home : this->requests.placement.view(entry->hash, now)) {
            for (const DomainSpill::View& neighbor : home.neighbors) {
                const std::map<std::string, std::string> labels { { "service", service }, { "from", home.group },
                    { "to", neighbor.neighbor } };
                gauges.setGauge(
                    "guavapond_edge_spill_share", "Share of a domain's requests that leaves for another", labels, neighbor.share);
                gauges.setGauge("guavapond_edge_spill_offered", "Slots that the other domain offers", labels, neighbor.offered);
                gauges.setGauge("guavapond_edge_spill_requests", "Requests that left for the other domain, since the start", labels,
                    static_cast<double>(neighbor.requests));
                gauges.setGauge("guavapond_edge_spill_bytes", "Estimated bytes of these requests and their answers", labels,
                    static_cast<double>(neighbor.bytes));
            }
        }
    }
}

void EdgeNode::onWhere(const CallerPointer& caller, const CallerRequest& request)
{
    if (request.message.method() != http::verb::post)
        return caller->sendResponse(makeResponse({ statusWrongMethod, "", "", {} }));
    const PlacementReport report = reportPlacement(this->settings.node, this->requests, request.message.body(), bootTime());
    caller->sendResponse(makeResponse({ report.status, report.body, "application/json", {} }));
}

void EdgeNode::onLift(const CallerPointer& caller, http::verb method, std::string_view key)
{
    if (method != http::verb::post)
        return caller->sendResponse(makeResponse({ statusWrongMethod, "", "", {} }));
    const bool isLifted = this->requests.quarantine.lift(partKey(key), bootTime());
    log(LogLevel::Warn, "quarantine lifted by an operator", { { "key", key }, { "wasInQuarantine", isLifted } });
    caller->sendResponse(makeResponse({ isLifted ? statusOk : statusNotFound, "", "", {} }));
}

void EdgeNode::stop(StopHooks hooks)
{
    if (this->stopSequence.isStopping())
        return;
    this->stopHooks = std::move(hooks);
    this->stopSequence.begin(this->settings.stopGrace, bootTime());
    this->requests.setStop(*this->stopSequence.bounds());
    this->callers.disableKeepAlive();
    this->peerLink.setStopping();
    this->peerLink.forceBeacon();
    log(LogLevel::Info, "stopping",
        { { "inFlight", this->requests.inFlight() }, { "connections", this->callers.connections() },
            { "graceMs", toMilliseconds(this->settings.stopGrace) } });
}

void EdgeNode::entryRemoved() { this->stopSequence.entryRemoved(); }

void EdgeNode::advanceStop(TimePoint now)
{
    if (!this->stopSequence.isStopping())
        return;
    if (this->stopSequence.phase() >= StopPhase::Draining)
        this->callers.closeIdle(now);
    if (now >= this->stopSequence.bounds()->answerBy) // before a late tick moves on and closes the connections
        this->requests.endAll();
    while (this->stopSequence.advance(this->load(), now)) {
        const StopPhase phase = this->stopSequence.phase();
        log(LogLevel::Info, "stop phase",
            { { "phase", stopPhaseName(phase) }, { "ms", toMilliseconds(this->stopSequence.elapsed(now)) },
                { "inFlight", this->requests.inFlight() }, { "connections", this->callers.connections() } });
        this->enterStopPhase(phase);
    }
}

NodeLoad EdgeNode::load() const
{
    const bool mayGrow = this->stopSequence.phase() >= StopPhase::Closing && this->callers.mayAddConnection();
    return { this->requests.inFlight(), this->callers.connections() + (mayGrow ? 1 : 0) };
}

void EdgeNode::enterStopPhase(StopPhase phase)
{
    switch (phase) {
    case StopPhase::Closing:
        return this->callers.stopAccepting();
    case StopPhase::Leaving:
        this->callers.closeAll();
        return this->stopHooks.removeEntry();
    case StopPhase::Ended:
        return this->stopHooks.ended();
    case StopPhase::Serving:
    case StopPhase::Announcing:
    case StopPhase::Draining:
        return;
    }
}

void EdgeNode::logReadinessChange()
{
    const Readiness readiness = this->requests.readiness();
    const bool takesCallers = !this->stopSequence.isStopping() && isReady(readiness);
    if (takesCallers == this->tookCallers && readiness == this->lastReadiness)
        return;
    const bool isChange = takesCallers != this->tookCallers;
    this->tookCallers = takesCallers;
    this->lastReadiness = readiness;
    const auto age = this->requests.freshness.age(bootTime());
    const std::string_view unchanged = takesCallers ? "stays ready" : "stays not ready";
    log(LogLevel::Info, isChange ? (takesCallers ? "ready" : "not ready") : unchanged,
        { { "readiness", readinessName(readiness) }, { "hasConfiguration", this->requests.catalog() != nullptr },
            { "proofAgeMs", age ? toMilliseconds(*age) : -1 }, { "heard", this->peerLink.table().heardCount(bootTime()) },
            { "stopping", this->stopSequence.isStopping() } });
}

void EdgeNode::orderMove(const MoveOrder& order, std::optional<TimePoint> earliest)
{
    this->requests.orderMove(order, this->settings.moves, earliest);
}

void EdgeNode::advanceMoves(TimePoint now)
{
    for (auto& [service, move] : this->requests.moves()) {
        const std::string& version = move.plan.order().version;
        const uint64_t oldInFlight = this->requests.inFlightOutside(service, version);
        if (!isFinal(move.lastState))
            move.plan.setNewTargets(this->requests.targetsPerLoaded(service, version, now));
        const MoveState state = move.plan.advance(oldInFlight, this->peerLink.table().nodeCount() - 1, now);
        if (state != move.lastState || !move.changedAt) {
            const RouteCounts counts = move.plan.counts();
            log(LogLevel::Info, "move",
                { { "service", service }, { "version", version }, { "state", moveStateName(state) },
                    { "newRequests", counts.newVersion.requests }, { "newBad", counts.newVersion.bad },
                    { "oldRequests", counts.oldVersion.requests }, { "oldBad", counts.oldVersion.bad }, { "oldInFlight", oldInFlight } });
            move.lastState = state;
            move.changedAt = now;
        }
        // The nodes take turns by name, so that normally only the first node writes the state. A later node writes it if the state has not
        // appeared in the store by then.
        const Duration delay = moveWriterDelay * static_cast<int64_t>(this->peerLink.table().heardNodesBefore(now));
        if (this->publishMove && now - *move.changedAt >= delay)
            this->publishMove(move.plan.order(), state);
    }
}

void EdgeNode::tick()
{
    const TimePoint now = bootTime();
    this->requests.tick();
    this->peerLink.tick();
    this->logReadinessChange();
    this->advanceMoves(now);
    this->advanceStop(now);
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->tick();
    });
}

} // namespace guavapond::edge
