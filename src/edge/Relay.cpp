// Admission of requests, and the state that all requests of a node share: targets, quotas, connections and version moves.
#include "edge/Relay.h"

#include "adapters/Logging.h"
#include "edge/Exchange.h"
#include "scheduling/RequestFields.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace guavapond::edge {

namespace {

// Between checks for stalled attempts, idle connections and full services.
constexpr Duration housekeepingInterval = std::chrono::milliseconds(100);
constexpr double initialMeanEvents = 30;     // events per answer that a route is assumed to have before any was measured
constexpr double fullServiceOccupancy = 0.9; // a service counts as full from here on, and ranks in its queue decide who is served

constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;

std::string hostWithoutPort(std::string_view host) { return lowerCase(host.substr(0, host.find(':'))); }

} // namespace

ConnectionSettings Relay::connectionSettings(const RelaySettings& settings) const
{
    ConnectionSettings result = settings.connections;
    result.exceptionContained = this->metrics.exceptionHook();
    return result;
}

Relay::Relay(net::io_context& loop, const RelaySettings& initial, EdgeMetrics& metrics, std::function<double()> random)
    : freshness(initial.keyProofMaxAge)
    , quota(bootTime())
    , secondTries(initial.secondTries, bootTime())
    , placement(this->placementHooks())
    , loop(loop)
    , metrics(metrics)
    , random(std::move(random))
    , connections(loop, this->connectionSettings(initial))
    , forwarders(TargetPool(initial.placement, false, [this] { return this->random(); }), 0)
{
    this->configure(initial);
}

Relay::~Relay()
{
    // A connection and its exchange own each other until one of them ends, so each exchange must release its connections.
    for (const auto& exchange : this->exchanges)
        exchange->abandon();
}

void Relay::configure(const RelaySettings& value)
{
    this->settings = value;
    this->freshness.setBound(value.keyProofMaxAge);
    this->secondTries.configure(value.secondTries);
    this->quota.setWindow(value.quotaWindow);
    this->droppedFields
        = { "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length" };
    const WireHeaders& names = this->settings.headers;
    for (const std::string& field : { names.callerLimit, names.key, names.workspace, names.expectedTarget, names.forwardedBy })
        this->droppedFields.insert(lowerCase(field));
    for (const std::string& field : names.reserved)
        this->droppedFields.insert(lowerCase(field));
}

CallerLimits Relay::callerLimits() const { return this->current ? this->current->limits : CallerLimits {}; }

void Relay::setCatalog(CatalogPointer catalog)
{
    this->current = std::move(catalog);
    for (const Service& service : this->current->services) {
        ServiceTargets& known = this->service(service.name);
        known.targets.setEngine(service.engine.has_value());
        this->applyWarmUps(known, service, bootTime());
    }
}

void Relay::applyWarmUps(ServiceTargets& service, const Service& terms, TimePoint now)
{
    bool isSound = true;
    const WarmUpTerms checked = checkedTerms(terms.warmUpPerSecond, terms.warmUpSeconds, this->settings.placement.warmUps, isSound);
    if (!isSound && service.targets.warmUpTerms() != checked)
        log(LogLevel::Warn, "warm-up terms of a service make no sense",
            { { "service", terms.name }, { "perSecond", terms.warmUpPerSecond }, { "seconds", terms.warmUpSeconds },
                { "usedPerSecond", checked.perSecond }, { "usedMs", toMilliseconds(checked.time) } });
    service.targets.setWarmUp(checked, now);
}

// Without a recent proof from the store or a peer, each target of a service with a warm-up rate may have begun to warm up.
void Relay::checkEntryAge(TimePoint now)
{
    const auto age = this->freshness.age(now);
    const bool isOld = !age || *age > this->settings.entryMaxAge;
    const bool isChange = isOld != std::exchange(this->entriesOld, isOld);
    bool matters = false;
    for (const auto& [name, service] : this->byService) {
        service->targets.setEntriesOld(isOld, now);
        matters = matters || service->targets.hasWarmUpRate();
    }
    if (isChange && matters)
        log(LogLevel::Info, isOld ? "any target may warm up" : "the targets' warm-ups are known again",
            { { "proofAgeMs", age ? toMilliseconds(*age) : -1 } });
}

ServiceTargets& Relay::service(const std::string& name)
{
    auto& entry = this->byService[name];
    if (!entry) {
        const Service* service = this->current ? this->current->findService(name) : nullptr;
        const bool isEngine = service && service->engine;
        entry = std::make_unique<ServiceTargets>(TargetPool(this->settings.placement, isEngine, this->random), nameHash(name));
        entry->targets.setEvacuated(this->evacuatedNames());
        if (service)
            this->applyWarmUps(*entry, *service, bootTime());
        this->byServiceHash[entry->hash] = entry.get();
    }
    return *entry;
}

void Relay::setRoundTrips(const std::map<std::string, Duration, std::less<>>& values)
{
    for (const auto& item : this->byService)
        item.second->targets.setRoundTrips(values);
}

void Relay::upsertTarget(const TargetInfo& info)
{
    const auto known = this->serviceOfTarget.find(info.id);
    if (known != this->serviceOfTarget.end() && known->second != info.service)
        this->service(known->second).targets.markLeaving(info.id);
    this->serviceOfTarget[info.id] = info.service;
    ServiceTargets& service = this->service(info.service);
    service.targets.upsert(info, bootTime());
    this->placement.onLoadChanged(service.hash, bootTime());
}

void Relay::removeTarget(const std::string& id)
{
    const auto known = this->serviceOfTarget.find(id);
    if (known == this->serviceOfTarget.end())
        return;
    this->service(known->second).targets.markLeaving(id);
    this->serviceOfTarget.erase(known);
}

std::set<std::string> Relay::evacuatedNames() const
{
    std::set<std::string> names;
    for (const auto& entry : this->evacuatedDomains)
        names.insert(entry.first);
    return names;
}

void Relay::setEvacuated(const EvacuatedDomains& domains)
{
    const std::set<std::string> before = this->evacuatedNames();
    this->evacuatedDomains = domains;
    const std::set<std::string> names = this->evacuatedNames();
    const TimePoint now = bootTime();
    this->metrics.setEvacuated(std::vector<std::string>(names.begin(), names.end()));
    for (const auto& item : this->byService) {
        // Targets that got nothing may have to warm up again, and their entries tell so only later.
        for (const std::string& domain : before) {
            if (!domain.empty() && !names.contains(domain))
                item.second->targets.assumeWarmUp(domain, now);
        }
        item.second->targets.setEvacuated(names);
        this->placement.onLoadChanged(item.second->hash, now);
    }
}

bool Relay::isTargetUnresponsive(const std::string& id) const
{
    const auto known = this->serviceOfTarget.find(id);
    return known != this->serviceOfTarget.end() && this->byService.at(known->second)->targets.isUnresponsive(id);
}

Readiness Relay::readiness() const
{
    const TimePoint now = bootTime();
    ReadinessInput input;
    input.hasConfiguration = this->current != nullptr;
    // Where all targets are evacuated, callers get a clear answer from this node rather than none from the balancer.
    input.hasTargets = std::any_of(this->byService.begin(), this->byService.end(),
        [](const auto& item) { return item.second->targets.usableCount() + item.second->targets.evacuatedCount() > 0; });
    input.wasProved = this->freshness.age(now).has_value();
    input.isProofYoung = this->freshness.holds(now);
    input.reachableShare = this->reachableShare;
    return judgeReadiness(input);
}

Placement::Hooks Relay::placementHooks()
{
    Placement::Hooks hooks;
    hooks.pool = [this](uint64_t service) {
        const auto found = this->byServiceHash.find(service);
        return found == this->byServiceHash.end() ? nullptr : &found->second->targets;
    };
    hooks.services = [this] {
        std::vector<uint64_t> result;
        for (const auto& item : this->byServiceHash)
            result.push_back(item.first);
        return result;
    };
    hooks.send = [this](const std::string& node, const PlacementMessage& message) {
        if (this->sendPlacement)
            this->sendPlacement(node, message);
    };
    hooks.scheduleFlush = [this] {
        if (std::exchange(this->flushScheduled, true))
            return;
        net::post(this->loop, [this] {
            this->flushScheduled = false;
            this->placement.flush(bootTime());
        });
    };
    hooks.random = [this] { return this->random(); };
    return hooks;
}

const std::string& Relay::chooseService(const Route& route)
{
    double total = 0;
    for (const ServiceShare& share : route.shares)
        total += share.weight;
    double drawn = this->random() * total;
    for (const ServiceShare& share : route.shares) {
        if (drawn < share.weight)
            return share.service;
        drawn -= share.weight;
    }
    return route.shares.back().service;
}

void Relay::answerLocally(
    const CallerPointer& caller, std::string_view requestId, unsigned status, std::string_view reason, std::optional<Duration> retry)
{
    LocalResponse answer = makeErrorResponse(status, reason);
    if (!requestId.empty())
        answer.fields.set(this->settings.headers.requestId, std::string(requestId));
    if (retry) {
        std::ostringstream seconds;
        seconds << std::fixed << std::setprecision(3) << toSeconds(*retry);
        answer.fields.set(http::field::retry_after, seconds.str());
    }
    caller->sendResponse(makeResponse(answer));
}

void Relay::reject(const CallerPointer& caller, const CallerRequest& request, const Refusal& refusal)
{
    const TimePoint now = bootTime();
    const std::string_view id = request.message[this->settings.headers.requestId];
    const RequestResult result = refusal.status == 429 ? RequestResult::OverQuota
        : refusal.status == 503                        ? RequestResult::Refused
                                                       : RequestResult::Rejected;
    this->metrics.requestEnded(result, now - request.arrivedAt, std::nullopt);
    const auto proofAge = this->freshness.age(now);
    log(LogLevel::Info, "request rejected",
        { { "request", id }, { "connection", request.connection }, { "position", request.position }, { "status", refusal.status },
            { "reason", refusal.reason }, { "catalogVersion", this->current ? this->current->version : 0 },
            { "catalogFrom", this->current ? std::string_view(this->current->source) : std::string_view() },
            { "proofAgeMs", proofAge ? toMilliseconds(*proofAge) : -1 },
            { "retryAfterMs", refusal.retryAfter ? toMilliseconds(*refusal.retryAfter) : -1 } });
    this->answerLocally(caller, id, refusal.status, refusal.reason, refusal.retryAfter);
}

Duration Relay::returnDelay(ReturnInput input)
{
    input.random = this->random();
    return edge::returnDelay(this->settings.admission, input);
}

Duration Relay::retryDelay(double occupancy) { return retryAfter(this->settings.admission, occupancy, this->random()); }

// Targets are shared, so that another node has room at once unless the service is full.
Duration Relay::retryDelayElsewhere(const std::string& service, TimePoint now)
{
    const double occupancy = this->placement.occupancy(nameHash(service), now);
    return occupancy < fullServiceOccupancy ? Duration::zero() : this->retryDelay(occupancy);
}

void Relay::endAll()
{
    const std::vector<std::shared_ptr<Exchange>> present(this->exchanges.begin(), this->exchanges.end());
    for (const auto& exchange : present)
        exchange->endForStop();
}

void Relay::handle(const CallerPointer& caller, CallerRequest request) { this->handle(caller, std::move(request), false); }

void Relay::handleForwarded(const CallerPointer& caller, CallerRequest request)
{
    log(LogLevel::Info, "request forwarded by peer",
        { { "request", request.message[this->settings.headers.requestId] },
            { "peer", request.message[this->settings.headers.forwardedBy] } });
    this->handle(caller, std::move(request), true);
}

void Relay::handle(const CallerPointer& caller, CallerRequest request, bool isForwarded)
{
    const TimePoint now = bootTime();
    if (request.isPipelined)
        this->metrics.requestPipelined();
    ExchangePlan plan;
    plan.isForwarded = isForwarded;
    auto refusal = this->identify(request, plan, now);
    // A 503 promises that the request has not run, which the id of one that may have run can't be told either.
    const bool promisesNotRun = refusal && refusal->status == statusUnavailable;
    const bool mayBeOrder = !plan.route || !plan.route->mayRepeat();
    if ((!refusal || promisesNotRun) && mayBeOrder && this->admitted.contains(request.message[this->settings.headers.requestId], now)) {
        this->metrics.requestIdRepeated();
        refusal = Refusal { statusConflict, "a request with this id was admitted before", std::nullopt };
    }
    if (!refusal)
        refusal = this->admit(request, plan, now);
    if (refusal)
        return this->reject(caller, request, *refusal);
    if (!plan.route->mayRepeat())
        this->admitted.insert(request.message[this->settings.headers.requestId], now);
    const auto exchange = std::make_shared<Exchange>(*this, caller, std::move(request), std::move(plan));
    this->exchanges.insert(exchange);
    exchange->begin();
}

// Finds the route and, by its key, the workspace of a request.
std::optional<Relay::Refusal> Relay::identify(const CallerRequest& request, ExchangePlan& plan, TimePoint now)
{
    const WireHeaders& names = this->settings.headers;
    if (!this->current)
        return Refusal { 503, "no configuration yet", this->retryDelay(1) };
    if (request.message.count(names.requestId) != 1 || request.message.count(http::field::host) != 1
        || !request.message.target().starts_with('/'))
        return Refusal { 400, "one request id, one host and a path are needed", std::nullopt };
    // A route or key is rejected as unknown only with a recent proof that the configuration is current: other nodes may have a newer one.
    const auto proofAge = this->freshness.age(now);
    const bool canReject = proofAge && *proofAge < this->settings.rejectionProofMaxAge;
    plan.catalog = this->current;
    const std::string_view target = request.message.target();
    plan.route = this->current->findRoute(hostWithoutPort(request.message[http::field::host]), target.substr(0, target.find('?')));
    if (!plan.route || plan.route->shares.empty()) {
        if (!canReject)
            return Refusal { 503, "route unknown here, configuration not proved current", this->retryDelay(1) };
        return Refusal { 404, "no such route", std::nullopt };
    }
    plan.rank = { plan.route->priority, plan.route->priority };
    if (!this->current->needsKey(*plan.route))
        return std::nullopt;
    if (request.message.count(names.key) == 1)
        plan.workspace = this->current->findWorkspace(request.message[names.key]);
    if (!plan.workspace && !canReject)
        return Refusal { 503, "key unknown here, configuration not proved current", this->retryDelay(1) };
    if (!plan.workspace)
        return Refusal { 401, "unknown key", std::nullopt };
    if (!this->freshness.holds(now))
        return Refusal { 503, "no young proof of the configuration", this->retryDelay(1) };
    plan.rank.workspace = plan.workspace->priority.value_or(plan.route->priority);
    return std::nullopt;
}

// Chooses the service, takes the tokens from the workspace's quota and estimates the work of the request.
std::optional<Relay::Refusal> Relay::admit(const CallerRequest& request, ExchangePlan& plan, TimePoint now)
{
    const WireHeaders& names = this->settings.headers;
    plan.service = this->chooseService(*plan.route);
    if (const auto move = this->movesByService.find(plan.service); move != this->movesByService.end()) {
        if (!plan.isForwarded) // the peer has counted it
            move->second.plan.onRequest();
        plan.tryNewVersion = move->second.plan.sendToNew(this->random());
    }
    if (const auto limit = parseNumber<int64_t>(request.message[names.callerLimit]))
        plan.callerLimit = std::chrono::milliseconds(std::clamp<int64_t>(*limit, 0, 24 * 3600 * 1000));
    if (this->stop) {
        const Duration limit = std::min(plan.route->timeout, plan.callerLimit.value_or(plan.route->timeout));
        if (!this->stop->admits(now + limit, now))
            return Refusal { 503, "the node is stopping", this->retryDelayElsewhere(plan.service, now) };
        plan.callerLimit = std::min(limit, this->stop->answerBy - now);
    }
    const auto tokens = parseTokenCount(request.message[names.tokenCount]);
    plan.tokens = 1;
    if (plan.workspace && plan.workspace->countsTokens)
        plan.tokens = tokens ? tokens->prompt + tokens->maxOutput : plan.workspace->defaultTokens;
    if (plan.isForwarded)
        plan.tokens = 0; // taken by the peer
    if (plan.workspace && !plan.isForwarded) {
        const QuotaVerdict verdict = this->quota.take(*plan.workspace, plan.tokens, plan.rank.route == 0 || !this->reservesTokens, now);
        if (!verdict.allowed) {
            log(LogLevel::Info, "over the quota",
                { { "request", request.message[names.requestId] }, { "workspace", plan.workspace->name }, { "route", plan.route->name },
                    { "tokens", plan.tokens }, { "available", verdict.level }, { "inWindow", verdict.inWindow },
                    { "ratePerSecond", plan.workspace->ratePerSecond }, { "burst", plan.workspace->burst },
                    { "keepsForUrgent", this->reservesTokens } });
            return Refusal { 429, "over the workspace's rate", std::max(verdict.retryAfter, this->settings.admission.minRetryAfter) };
        }
    }
    if (tokens) {
        plan.demand.promptTokens = static_cast<uint32_t>(tokens->prompt);
        plan.maxOutputTokens = tokens->maxOutput;
        const double meanEvents = this->eventsOfRoute.try_emplace(plan.route->name, initialMeanEvents).first->second;
        plan.demand.outputEvents = static_cast<uint32_t>(std::max(1.0, meanEvents));
        const Service* service = this->current->findService(plan.service);
        plan.expectedOutputTokens = parseNumber<uint32_t>(request.message[names.lengthHint]).value_or(0);
        if (plan.expectedOutputTokens > 0 && service && service->engine)
            plan.demand.outputEvents = static_cast<uint32_t>(1 + plan.expectedOutputTokens / std::max(service->engine->tokensPerEvent, 1U));
        plan.parts = parsePromptParts(request.message[names.promptParts]);
        for (const std::string_view id : sharedPartIds(request.message[names.promptParts]))
            plan.sharedParts.push_back(partKey(id));
    }
    plan.demand.urgent = plan.rank.workspace == 0 || plan.rank.route == 0;
    plan.demand.repeatable = plan.route->mayRepeat();
    return std::nullopt;
}

void Relay::tick()
{
    const TimePoint now = bootTime();
    this->placement.tick(now);
    if (now - this->lastHousekeeping < housekeepingInterval)
        return;
    this->lastHousekeeping = now;
    this->connections.expire(now);
    this->checkEntryAge(now);
    if (this->reach.isCutOff())
        this->updateForwarders(now);
    if (this->reach.isProbeDue(now))
        this->probeTarget();
    else if (!this->reach.isCutOff())
        this->probeTargets(now);
    this->updateQuarantine(now);
    this->reservesTokens = std::all_of(this->byService.begin(), this->byService.end(),
        [&](const auto& item) { return this->placement.occupancy(item.second->hash, now) < fullServiceOccupancy; });
    if (!this->movesByService.empty()) {
        for (const auto& exchange : this->exchanges)
            exchange->judgePace(now);
    }
    for (const auto& exchange : this->exchanges)
        exchange->readAhead(now);
    std::vector<std::shared_ptr<Exchange>> stalled; // a copy, since leaveStalledTarget() may end an exchange and remove it from the set
    std::copy_if(this->exchanges.begin(), this->exchanges.end(), std::back_inserter(stalled),
        [&](const auto& exchange) { return exchange->isStalled(now); });
    for (const auto& exchange : stalled)
        exchange->leaveStalledTarget();
}

void Relay::updateForwarders(TimePoint now)
{
    for (const TargetInfo& peer : this->listForwarders(now))
        this->forwarders.targets.upsert(peer, now);
}

void Relay::onTargetContact(TimePoint now)
{
    const auto since = this->reach.cutOffSince();
    this->reach.onContact(now);
    if (!since)
        return;
    log(LogLevel::Warn, "targets reached again", { { "cutOffMs", toMilliseconds(now - *since) } });
    // What failed meanwhile says nothing about the targets, and connections from before may be dead.
    for (const auto& [service, entry] : this->byService) {
        entry->targets.endPauses();
        entry->targets.forEachAddress([this](const Address& address) { this->connections.drop(address); });
    }
}

void Relay::onTargetFailure(const ServiceTargets& service, TargetPool::Index target, TimePoint now)
{
    size_t known = 0;
    for (const auto& item : this->byService)
        known += item.second->targets.usableCount();
    const bool wasCutOff = this->reach.isCutOff();
    this->reach.onFailure(service.targets.hashOf(target), known, now);
    if (!this->reach.isCutOff() || wasCutOff)
        return;
    this->updateForwarders(now);
    log(LogLevel::Warn, "cut off from targets", { { "lastTarget", service.targets.info(target).id }, { "targets", known } });
}

void Relay::probeTarget()
{
    std::vector<Address> addresses;
    for (const auto& [service, entry] : this->byService)
        entry->targets.forEachAddress([&](const Address& address) { addresses.push_back(address); });
    if (addresses.empty())
        return;
    const Address& address = addresses[static_cast<size_t>(this->random() * static_cast<double>(addresses.size()))];
    this->connectTo(address, [this](bool isReached) {
        if (isReached)
            this->onTargetContact(bootTime());
    });
}

void Relay::probeTargets(TimePoint now)
{
    for (const auto& item : this->byService) {
        const TargetPool& pool = item.second->targets;
        for (const TargetPool::Index target : item.second->targets.takeDueProbes(now))
            this->connectTo(pool.info(target).address, [this, service = item.second.get(), target](bool isReached) {
                const TimePoint end = bootTime();
                service->targets.probed(target, isReached, end);
                if (isReached)
                    this->onTargetContact(end);
                else
                    this->onTargetFailure(*service, target, end);
            });
    }
}

void Relay::connectTo(const Address& address, std::function<void(bool isReached)> hook)
{
    boost::system::error_code badAddress;
    const auto ip = net::ip::make_address(address.ip, badAddress);
    if (badAddress)
        return hook(false);
    const auto socket = std::make_shared<tcp::socket>(this->loop);
    const auto timer = std::make_shared<net::steady_timer>(this->loop, this->settings.connections.connectTimeout);
    socket->async_connect(
        { ip, address.port }, [socket, timer, hook = std::move(hook), alive = std::weak_ptr(this->alive)](boost::system::error_code error) {
            timer->cancel();
            if (!alive.expired())
                hook(!error);
        });
    timer->async_wait([socket](boost::system::error_code error) {
        boost::system::error_code ignored; // a socket that can't be closed ends with its last owner
        if (!error)
            socket->close(ignored);
    });
}

size_t Relay::slowTargets() const
{
    return static_cast<size_t>(
        std::count_if(this->exchanges.begin(), this->exchanges.end(), [](const auto& exchange) { return exchange->isTargetSlow(); }));
}

std::optional<TimePoint> Relay::lastAnswerAt(uint64_t targetHash) const
{
    for (const auto& [name, service] : this->byService) {
        if (const auto target = service->targets.find(targetHash))
            return service->targets.lastAnswerAt(*target);
    }
    return std::nullopt;
}

void Relay::updateQuarantine(TimePoint now)
{
    const auto changes = this->quarantine.decide(now);
    for (const PromptQuarantine::Change& change : changes) {
        const std::string_view message = change.isRequest ? (change.isQuarantined ? "request quarantined" : "request released")
            : change.isQuarantined                        ? "prompt part quarantined"
                                                          : "prompt part released";
        log(LogLevel::Warn, message,
            { { change.isRequest ? "requestKey" : "part", partText(change.part) }, { "crashes", change.crashes },
                { "from", change.isOwn ? "this node" : "peer" }, { "seenBy", change.seenBy },
                { "replacedBy", change.replacedBy != 0 ? partText(change.replacedBy) : std::string() },
                { "replacementCrashes", change.replacementCrashes } });
    }
    std::for_each(changes.begin(), changes.end(), this->quarantineChanged);
    const bool isAnyNew = std::any_of(changes.begin(), changes.end(), [](const auto& change) { return change.isQuarantined; });
    if (!isAnyNew)
        return;
    // Posted, since an exchange that ends here may be the one that reported the loss.
    net::post(this->loop, [this] {
        const TimePoint later = bootTime();
        const std::vector<std::shared_ptr<Exchange>> present(this->exchanges.begin(), this->exchanges.end());
        for (const auto& exchange : present)
            exchange->endQuarantined(later);
    });
}

void Relay::orderMove(const MoveOrder& order, const MoveSettings& bounds, std::optional<TimePoint> earliest)
{
    const auto known = this->movesByService.find(order.service);
    if (known != this->movesByService.end() && known->second.plan.order().revision >= order.revision)
        return;
    log(LogLevel::Info, "move ordered",
        { { "service", order.service }, { "version", order.version }, { "revision", order.revision },
            { "spanMs", toMilliseconds(order.span) }, { "isDated", earliest.has_value() } });
    std::set<std::string>& reverted = this->service(order.service).revertedVersions;
    if (known != this->movesByService.end() && known->second.plan.state() == MoveState::Reverted)
        reverted.insert(known->second.plan.order().version);
    reverted.erase(order.version);
    this->movesByService.insert_or_assign(
        order.service, RunningMove { VersionMove(order, bounds, earliest, bootTime()), MoveState::Trying, {} });
}

void Relay::onPeerMoveReport(uint64_t peer, uint64_t serviceHash, const VersionMove::Report& report)
{
    for (auto& [service, move] : this->movesByService) {
        if (nameHash(service) == serviceHash)
            move.plan.onPeerReport(peer, report, bootTime());
    }
}

uint64_t Relay::inFlightOutside(const std::string& service, std::string_view version) const
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? 0 : found->second->targets.inFlightOutside(version);
}

double Relay::targetsPerLoaded(const std::string& service, std::string_view version, TimePoint now) const
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? 0 : found->second->targets.loadedTargets(version, now).targetsPerLoaded;
}

void Relay::onTargetLeaving(const LeavingTarget& leaving)
{
    for (auto& [name, service] : this->byService)
        service->targets.onLeaveAnnounced(leaving);
}

std::vector<LeavingTarget> Relay::leavingTargets() const
{
    std::vector<LeavingTarget> result;
    for (const auto& [name, service] : this->byService) {
        const auto leaving = service->targets.leavingTargets();
        result.insert(result.end(), leaving.begin(), leaving.end());
    }
    return result;
}

void Relay::finished(const std::shared_ptr<Exchange>& exchange) { this->exchanges.erase(exchange); }

} // namespace guavapond::edge
