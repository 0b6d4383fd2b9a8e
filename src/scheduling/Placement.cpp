// Sends placement requests to homes, handles their answers and skips homes that do not respond; runs the homes of this node.
#include "scheduling/Placement.h"

#include "adapters/Logging.h"
#include "scheduling/Rendezvous.h"
#include "scheduling/WorkspaceQuota.h"

#include <algorithm>
#include <set>

namespace guavapond::edge {

namespace {

// Sets a flag until the end of a scope.
class ScopedFlag {
public:
    explicit ScopedFlag(bool& flag)
        : flag(flag)
    {
        this->flag = true;
    }
    ~ScopedFlag() { this->flag = false; }
    ScopedFlag(const ScopedFlag&) = delete;
    ScopedFlag& operator=(const ScopedFlag&) = delete;

private:
    bool& flag;
};

constexpr Duration occupancyTtl = std::chrono::seconds(1);         // how long the occupancy in a home's answer is used
constexpr Duration lateAnswerLifetime = std::chrono::seconds(1);   // after the request; no caller waits for such an answer
constexpr Duration doubtLifetime = std::chrono::milliseconds(200); // a probe is answered, or a home found dead, in less
constexpr uint32_t placementVersion = 1;                           // of the messages; see docs/design/homes.md
constexpr uint32_t maxOwnWithoutHome = 1; // most requests of this node at a target when it places a request without a home

} // namespace

Placement::Placement(Hooks hooks, const PlacementBounds& bounds)
    : hooks(std::move(hooks))
    , bounds(bounds)
    , liveness(bounds.liveness)
{
    this->setSelf({ "self", "" }, 1);
}

void Placement::setSelf(const Node& value, uint64_t processIncarnation)
{
    this->self = value;
    this->selfHash = nameHash(value.name);
    this->incarnation = processIncarnation;
    this->setNodes({});
}

void Placement::setNodes(std::vector<Node> others)
{
    others.push_back(this->self);
    if (others == this->nodes)
        return;
    this->nodes = std::move(others);
    std::vector<std::string> names;
    for (const Node& node : this->nodes) {
        this->nodeNames[nameHash(node.name)] = node.name;
        names.push_back(node.name);
    }
    this->liveness.retain(names);
}

std::string Placement::homeOf(uint64_t service, const std::string& group, TimePoint now) const
{
    const HomeNode* home = chooseHome(this->nodes, groupHash(service, group), group, [&](const HomeNode& node) {
        return node.name == this->self.name || (node.isReachable && !this->liveness.isSkipped(node.name, now));
    });
    return home ? home->name : this->self.name;
}

std::vector<std::string> Placement::groups(const TargetPool& pool)
{
    return pool.isGrouped() ? pool.domains() : std::vector<std::string> { "" };
}

std::string Placement::preferredGroup(const TargetPool& pool) const
{
    const std::vector<std::string> all = groups(pool);
    if (all.empty() || std::find(all.begin(), all.end(), this->self.failureDomain) != all.end())
        return all.empty() ? "" : this->self.failureDomain;
    return all[static_cast<size_t>(this->hooks.random() * static_cast<double>(all.size()))];
}

Placement::LocalHome* Placement::localHome(const GroupKey& key)
{
    LocalHome& local = this->homes[key];
    if (local.home)
        return &local;
    TargetPool* pool = this->hooks.pool(key.first);
    if (!pool) {
        this->homes.erase(key);
        return nullptr;
    }
    local.home = std::make_unique<PlacementHome>(*pool, key.second);
    local.takeover = HomeTakeover(this->bounds.takeover);
    log(LogLevel::Info, "home of a target group created", { { "service", std::to_string(key.first) }, { "group", key.second } });
    return &local;
}

PlacementMessage& Placement::outbox(const std::string& node)
{
    if (this->outgoing.empty())
        this->hooks.scheduleFlush();
    return this->outgoing[node];
}

uint64_t Placement::request(PlacementRequest request, Callback callback, TimePoint now)
{
    const uint64_t id = ++this->lastRequestId;
    ++this->total.requested;
    TargetPool* pool = this->hooks.pool(request.service);
    request.node = this->selfHash;
    request.id = id;
    request.failureDomain = this->self.failureDomain;
    if (pool) {
        request.group = this->preferredGroup(*pool);
        const auto unwanted = pool->unavailableTargets(request.group, now);
        request.excludedTargets.insert(request.excludedTargets.end(), unwanted.begin(), unwanted.end());
    }
    Pending& entry = this->pending[id];
    entry.giveUpAt = now + request.maxWait;
    if (request.firstEventWithin)
        entry.latestFirst = now + *request.firstEventWithin;
    entry.callback = std::move(callback);
    entry.request = std::move(request);
    this->dispatch(id, now);
    return id;
}

void Placement::dispatch(uint64_t id, TimePoint now)
{
    Pending& entry = this->pending.at(id);
    const GroupKey key { entry.request.service, entry.request.group };
    entry.home = this->homeOf(key.first, key.second, now);
    entry.dispatchedAt = now;
    entry.sentAt = now;
    entry.queued = false;
    entry.answered = false;
    entry.request.maxWait = std::max(entry.giveUpAt - now, Duration::zero());
    if (entry.latestFirst)
        entry.request.firstEventWithin = *entry.latestFirst - now;
    if (entry.home != this->self.name) {
        this->outbox(entry.home).requests.push_back(entry.request);
        this->groupStates[key].reportDue = true;
        return;
    }
    LocalHome* local = this->localHome(key);
    if (!local)
        return this->placeWithoutHome(id, now);
    this->prepareToGrant(key, *local, now);
    local->home->enqueue(entry.request, now);
    this->processQueue(key, now);
}

void Placement::prepareToGrant(const GroupKey& key, LocalHome& local, TimePoint now)
{
    local.takeover.setHome(this->homeOf(key.first, key.second, now) == this->self.name, now);
    if (!local.takeover.isCollectionDue(now))
        return;
    std::set<uint64_t> asked;
    for (const Node& node : this->nodes) {
        if (node.name == this->self.name || !node.isReachable || this->liveness.isSkipped(node.name, now))
            continue;
        asked.insert(nameHash(node.name));
        this->outbox(node.name).wanted.push_back({ key.first, key.second });
    }
    log(LogLevel::Info, local.takeover.isStandIn() ? "stands in for a home" : "takes over as home",
        { { "service", std::to_string(key.first) }, { "group", key.second }, { "asked", asked.size() } });
    local.takeover.begin(std::move(asked), now);
}

// Answers invoke callbacks of this node's requests, which may add or withdraw requests. A nested call only asks the running loop for
// another pass over the queue.
void Placement::processQueue(const GroupKey& key, TimePoint now)
{
    LocalHome* local = this->localHome(key);
    if (!local || local->takeover.isCollecting(now)) // the next tick continues
        return;
    local->processAgain = true;
    if (local->isProcessing)
        return;
    const ScopedFlag processing(local->isProcessing); // an exception must not leave the queue unserved for good
    while (local->processAgain) {
        local->processAgain = false;
        for (const PlacementAnswer& answer : local->home->processQueue(now)) {
            if (answer.node != this->selfHash) {
                const auto name = this->nodeNames.find(answer.node);
                if (name != this->nodeNames.end())
                    this->outbox(name->second).answers.push_back(answer);
                continue;
            }
            this->handleAnswer(answer, this->self.name, this->incarnation, now);
            // The pool already counts this node's own load, so the report confirms the grant and adds no load.
            if (answer.verdict == PlacementVerdict::Granted)
                local->home->updateLoads(this->selfHash, answer.grant, {}, now);
        }
    }
}

void Placement::handleAnswer(const PlacementAnswer& answer, const std::string& from, uint64_t homeIncarnation, TimePoint now)
{
    GroupState& state = this->groupStates[{ answer.service, answer.group }];
    if (state.homeIncarnation != homeIncarnation)
        state.seenGrant = 0;
    state.homeIncarnation = homeIncarnation;
    state.seenGrant = std::max(state.seenGrant, answer.grant);
    state.occupancy = answer.occupancy;
    state.occupancyAt = now;
    const auto found = this->pending.find(answer.id);
    if (found == this->pending.end() || found->second.home != from || found->second.request.service != answer.service) {
        this->noteLateAnswer(answer.id, from, now);
        state.reportDue = true; // so that the home stops counting a grant that is not used
        return;
    }
    Pending& entry = found->second;
    this->noteAnswer(entry, now);
    switch (answer.verdict) {
    case PlacementVerdict::Queued:
        entry.queued = true;
        return;
    case PlacementVerdict::Redirected:
        ++this->total.redirected;
        entry.request.group = answer.otherGroup;
        entry.request.mayRedirect = false;
        entry.spillReason = answer.spillReason;
        entry.homesTried = 0;
        return this->dispatch(answer.id, now);
    case PlacementVerdict::Granted:
        // A node that stood still reads answers that may be old. What was counted then must not be sent together now.
        if (answer.countedByLimit && now > entry.giveUpAt + this->bounds.lateAnswerGrace) {
            PlacementAnswer late = answer;
            late.verdict = PlacementVerdict::Full;
            late.passedLimit = true;
            state.reportDue = true;
            return this->finish(answer.id, late);
        }
        return this->finish(answer.id, answer);
    case PlacementVerdict::Full:
        return this->finish(answer.id, answer);
    }
}

void Placement::noteAnswer(Pending& entry, TimePoint now)
{
    if (!entry.answered && entry.home != this->self.name)
        this->liveness.answered(entry.home, now - entry.dispatchedAt, now);
    entry.answered = true;
}

// Without the answers that come too late a home that has become slow would be taken for a fast one.
void Placement::noteLateAnswer(uint64_t id, const std::string& from, TimePoint now)
{
    const auto found = this->abandoned.find(id);
    if (found == this->abandoned.end() || found->second.first != from)
        return;
    this->liveness.answered(from, now - found->second.second, now);
    this->abandoned.erase(found);
}

void Placement::finish(uint64_t id, const PlacementAnswer& answer)
{
    const auto found = this->pending.find(id);
    const Callback callback = std::move(found->second.callback);
    PlacementAnswer result = answer;
    result.spillReason = found->second.spillReason;
    this->pending.erase(found);
    ++(answer.verdict == PlacementVerdict::Granted ? this->total.granted : this->total.full);
    callback(result);
}

void Placement::withdraw(uint64_t id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    const PlacementRequest& request = found->second.request;
    if (found->second.home != this->self.name)
        this->outbox(found->second.home).withdrawals.push_back({ request.service, request.group, id });
    else if (LocalHome* local = this->localHome({ request.service, request.group }))
        local->home->withdraw(this->selfHash, id);
    this->pending.erase(found);
}

void Placement::onLoadChanged(uint64_t service, TimePoint now)
{
    for (auto state = this->groupStates.lower_bound({ service, "" }); state != this->groupStates.end() && state->first.first == service;
         ++state) {
        state->second.reportDue = true;
        this->hooks.scheduleFlush();
    }
    std::vector<GroupKey> keys;
    for (auto home = this->homes.lower_bound({ service, "" }); home != this->homes.end() && home->first.first == service; ++home)
        keys.push_back(home->first);
    for (const GroupKey& key : keys)
        this->processQueue(key, now);
}

void Placement::shareSample(const RunSample& sample, TimePoint now)
{
    TargetPool* pool = this->hooks.pool(sample.service);
    const auto index = pool ? pool->find(sample.target) : std::nullopt;
    if (!index)
        return;
    const std::string group = pool->isGrouped() ? pool->info(*index).failureDomain : "";
    const std::string home = this->homeOf(sample.service, group, now);
    if (home != this->self.name)
        this->outbox(home).samples.push_back(sample);
}

void Placement::skipHome(const std::string& node, HomeState reason, TimePoint now)
{
    if (!this->liveness.skip(node, reason, now))
        return;
    ++(reason == HomeState::Silent ? this->total.silentHomes : this->total.unansweredHomes);
    const auto answerTime = this->liveness.answerTime(node);
    log(LogLevel::Info, "home does not answer",
        { { "home", node }, { "state", homeStateName(reason) }, { "asks", this->pending.size() },
            { "timeoutMs", toMilliseconds(this->liveness.timeout(node, now)) },
            { "answerMs", answerTime ? toMilliseconds(*answerTime) : -1 } });
}

void Placement::checkTimeout(uint64_t id, TimePoint now)
{
    Pending& entry = this->pending.at(id);
    if (entry.home == this->self.name) // the local home's queue ends the wait
        return;
    if (this->liveness.isSkipped(entry.home, now))
        return this->abandonHome(id, now);
    if (entry.queued && now > entry.giveUpAt + this->bounds.lateAnswerGrace + this->liveness.retryInterval(entry.home)) // it was lost
        return this->abandonHome(id, now);
    const HomeState state = entry.queued ? HomeState::Waiting : this->liveness.check(entry.home, entry.dispatchedAt, now);
    if (state != HomeState::Waiting) {
        this->skipHome(entry.home, state, now);
        return this->abandonHome(id, now);
    }
    const bool isAnswerDue = !entry.queued || now > entry.giveUpAt; // a home ends a wait in time
    if (isAnswerDue && now - entry.sentAt > this->liveness.retryInterval(entry.home)) {
        entry.sentAt = now;
        this->outbox(entry.home).requests.push_back(entry.request);
    }
}

void Placement::abandonHome(uint64_t id, TimePoint now)
{
    Pending& entry = this->pending.at(id);
    if (!entry.answered)
        this->abandoned[id] = { entry.home, entry.dispatchedAt };
    // If the home lives after all, it keeps no place for the request.
    this->outbox(entry.home).withdrawals.push_back({ entry.request.service, entry.request.group, id });
    if (++entry.homesTried < this->bounds.maxHomesTried && now < entry.giveUpAt)
        return this->dispatch(id, now);
    this->placeWithoutHome(id, now);
}

// A home says nothing to a node whose requests only wait there. A peer of an earlier build replies to no probe.
void Placement::probeHomes(TimePoint now)
{
    std::set<std::string> waitedFor;
    for (const auto& [id, entry] : this->pending) {
        const auto version = this->versions.find(entry.home);
        if (entry.queued && version != this->versions.end() && version->second > 0)
            waitedFor.insert(entry.home);
    }
    for (const auto& [home, at] : this->doubted)
        waitedFor.insert(home);
    std::erase_if(this->doubted, [&](const auto& item) { return now - item.second > doubtLifetime; });
    for (const std::string& home : waitedFor) {
        if (this->liveness.isSilent(home, now))
            this->skipHome(home, HomeState::Silent, now);
        else if (this->liveness.isProbeDue(home, now)) {
            this->liveness.probed(home, now);
            this->outbox(home).isProbe = true;
        }
    }
}

void Placement::placeWithoutHome(uint64_t id, TimePoint now)
{
    const Pending& entry = this->pending.at(id);
    ++this->total.withoutHome;
    PlacementAnswer answer;
    answer.id = id;
    answer.service = entry.request.service;
    if (TargetPool* pool = this->hooks.pool(entry.request.service)) {
        Demand demand = demandOf(entry.request);
        demand.onlyDomain = {};
        demand.maxOwnInFlight = maxOwnWithoutHome;
        demand.scoreJitter = this->bounds.localSpread;
        demand.guessingNodes = this->nodes.size();
        std::vector<TargetPool::Index> excludedIndices;
        for (const uint64_t hash : entry.request.excludedTargets) {
            if (const auto index = pool->find(hash))
                excludedIndices.push_back(*index);
        }
        const auto choice = pool->choose(demand, excludedIndices, now);
        if (choice && isInTime(*choice, entry.latestFirst, now)) {
            answer.verdict = PlacementVerdict::Granted;
            answer.target = pool->hashOf(choice->target);
            answer.countedByLimit = pool->takeFromRate(choice->target, now);
            answer.countedByWarmUp = answer.countedByLimit && pool->rate(choice->target).isWarmUpCounted(now);
            pool->takeGuess(choice->target, demand.guessingNodes, now);
            answer.firstEvent = choice->firstEvent;
            answer.backlogTokens = choice->backlogTokens;
        }
        if (pool->plansRoom()) {
            RefusalShare& refusals = this->refusalsWithoutHome[entry.request.service];
            const bool isRefused = answer.verdict == PlacementVerdict::Full;
            refusals.onDecided(entry.request.rank, entry.request.workspace, isRefused, now);
            if (isRefused)
                answer.refusedShare = refusals.share(entry.request.rank, entry.request.workspace, now);
        }
    }
    this->finish(id, answer);
}

void Placement::handleMessage(const PlacementMessage& message, TimePoint now)
{
    if (message.node == this->self.name)
        return;
    this->liveness.heard(message.node, now);
    this->versions[message.node] = message.version;
    const uint64_t from = nameHash(message.node);
    this->nodeNames[from] = message.node;
    auto& [lastIncarnation, lastSequence] = this->lastReceived[message.node];
    // Load reports older than one already received are ignored; the other parts of a message do not depend on their order.
    const bool isNewest = lastIncarnation != message.incarnation || message.sequence > lastSequence;
    if (isNewest) {
        lastIncarnation = message.incarnation;
        lastSequence = message.sequence;
    }
    std::set<GroupKey> changedGroups;
    for (const GroupReport& report : message.reports) {
        LocalHome* local = isNewest ? this->localHome({ report.service, report.group }) : nullptr;
        if (!local)
            continue;
        local->home->updateLoads(from, report.homeIncarnation == this->incarnation ? report.seenGrant : 0, report.loads, now);
        local->takeover.reported(from);
        changedGroups.insert({ report.service, report.group });
    }
    for (const RunSample& sample : message.samples) {
        TargetPool* pool = this->hooks.pool(sample.service);
        if (const auto index = pool ? pool->find(sample.target) : std::nullopt)
            pool->applySample(*index, sample, from, now);
    }
    this->handleRequests(message, from, changedGroups, now);
    for (const Withdrawal& withdrawal : message.withdrawals) {
        if (LocalHome* local = this->localHome({ withdrawal.service, withdrawal.group }))
            local->home->withdraw(from, withdrawal.id);
    }
    for (const GroupCapacity& capacity : message.capacities) {
        for (auto& [key, local] : this->homes) {
            if (isNewest && key.first == capacity.service && key.second != capacity.group)
                local.home->updateRemoteCapacity(capacity, now);
        }
    }
    for (const LimitReport& report : message.limits)
        this->handleLimitReport(report, message.node, now);
    for (const WarmUpReport& report : message.warmUps)
        this->handleWarmUpReport(report, message.node, now);
    for (const PlacementAnswer& answer : message.answers)
        this->handleAnswer(answer, message.node, message.incarnation, now);
    for (const uint64_t id : message.received) {
        const auto found = this->pending.find(id);
        if (found == this->pending.end() || found->second.home != message.node) {
            this->noteLateAnswer(id, message.node, now);
            continue;
        }
        this->noteAnswer(found->second, now);
        found->second.queued = true;
    }
    for (const uint64_t id : message.declined) {
        const auto found = this->pending.find(id);
        if (found == this->pending.end() || found->second.home != message.node)
            continue;
        this->noteAnswer(found->second, now);
        this->placeWithoutHome(id, now);
    }
    this->addWantedReports(message, now);
    if (message.isProbe)
        this->outbox(message.node).isProbeReply = true;
    for (const GroupKey& key : changedGroups)
        this->processQueue(key, now);
    this->confirmReceipt(message);
}

void Placement::handleRequests(const PlacementMessage& message, uint64_t from, std::set<GroupKey>& changedGroups, TimePoint now)
{
    for (const PlacementRequest& request : message.requests) {
        const GroupKey key { request.service, request.group };
        LocalHome* local = request.node == from ? this->localHome(key) : nullptr;
        if (!local)
            continue;
        this->prepareToGrant(key, *local, now);
        this->doubtHome(key, now);
        if (!local->takeover.accept(local->home->capacity(key.first, now).freeSlots, now)) {
            ++this->total.declined;
            local->home->withdraw(from, request.id); // an earlier transmission may wait here
            this->outbox(message.node).declined.push_back(request.id);
            continue;
        }
        local->home->enqueue(request, now);
        changedGroups.insert(key);
    }
}

// Another node did not reach the home: this one makes sure that it lives, and takes over if it does not.
void Placement::doubtHome(const GroupKey& key, TimePoint now)
{
    const std::string home = this->homeOf(key.first, key.second, now);
    const auto version = this->versions.find(home);
    if (home != this->self.name && version != this->versions.end() && version->second > 0)
        this->doubted[home] = now;
}

// A home answers only the first requests of its queue at once. The others are confirmed here, so that their nodes know that they wait, and
// once more when a node asks again because a confirmation was lost.
void Placement::confirmReceipt(const PlacementMessage& message)
{
    if (message.requests.empty())
        return;
    PlacementMessage& reply = this->outbox(message.node);
    for (const PlacementRequest& request : message.requests) {
        const bool isKnown = this->homes.contains({ request.service, request.group });
        const auto isAnswer = [&](const PlacementAnswer& answer) { return answer.id == request.id; };
        if (isKnown && std::none_of(reply.answers.begin(), reply.answers.end(), isAnswer)
            && std::find(reply.declined.begin(), reply.declined.end(), request.id) == reply.declined.end())
            reply.received.push_back(request.id);
    }
}

void Placement::tick(TimePoint now)
{
    this->probeHomes(now);
    std::erase_if(this->abandoned, [&](const auto& item) { return now - item.second.second > lateAnswerLifetime; });
    std::vector<uint64_t> ids;
    ids.reserve(this->pending.size());
    for (const auto& item : this->pending)
        ids.push_back(item.first);
    for (const uint64_t id : ids) {
        if (this->pending.contains(id))
            this->checkTimeout(id, now);
    }
    std::vector<GroupKey> waitingGroups;
    for (const auto& [key, local] : this->homes) {
        if (local.home->waiting() > 0)
            waitingGroups.push_back(key);
    }
    for (const GroupKey& key : waitingGroups)
        this->processQueue(key, now);
    for (auto& [key, state] : this->groupStates)
        state.reportDue = state.reportDue || (state.hadWork && now - state.reportedAt >= this->bounds.reportInterval);
    this->updateShares(now);
    this->repeatLimits(now);
    this->tellWarmUps(now);
    this->sendCapacities(now);
    this->flush(now);
}

void Placement::createHomes(TimePoint now)
{
    if (now - this->homesCheckedAt < this->bounds.capacityRepeatInterval)
        return;
    this->homesCheckedAt = now;
    for (const uint64_t service : this->hooks.services()) {
        const TargetPool* pool = this->hooks.pool(service);
        if (!pool || !pool->isGrouped())
            continue;
        for (const std::string& group : groups(*pool)) {
            const GroupKey key { service, group };
            const bool isHome = this->homeOf(service, group, now) == this->self.name;
            LocalHome* local = isHome || this->homes.contains(key) ? this->localHome(key) : nullptr;
            if (local && isHome)
                this->prepareToGrant(key, *local, now);
            else if (local)
                local->takeover.setHome(false, now);
        }
    }
}

void Placement::sendCapacities(TimePoint now)
{
    this->createHomes(now);
    for (auto& [key, local] : this->homes) {
        const TargetPool* pool = this->hooks.pool(key.first);
        if (now - local.capacitySentAt >= this->bounds.capacityInterval && pool && pool->isGrouped()
            && this->homeOf(key.first, key.second, now) == this->self.name)
            this->sendCapacity(key, local, now);
    }
}

void Placement::logSpill(const GroupKey& key, LocalHome& local, TimePoint now)
{
    for (const DomainSpill::View& neighbor : local.home->domainSpill().view(now)) {
        const bool hasShare = neighbor.share > 0;
        if (hasShare == local.spillsTo.contains(neighbor.neighbor))
            continue;
        if (hasShare)
            local.spillsTo.insert(neighbor.neighbor);
        else
            local.spillsTo.erase(neighbor.neighbor);
        log(LogLevel::Info, hasShare ? "requests leave the failure domain" : "no share leaves the failure domain",
            { { "service", std::to_string(key.first) }, { "from", key.second }, { "to", neighbor.neighbor }, { "share", neighbor.share },
                { "offered", neighbor.offered }, { "isOpen", neighbor.isOpen }, { "requests", neighbor.requests },
                { "bytes", neighbor.bytes } });
    }
}

void Placement::sendCapacity(const GroupKey& key, LocalHome& local, TimePoint now)
{
    logSpill(key, local, now);
    GroupCapacity capacity = local.home->capacity(key.first, now);
    const TargetPool& pool = *this->hooks.pool(key.first);
    std::vector<std::string> others = groups(pool);
    // Nodes that do not know of an evacuation yet still ask the home of the evacuated group, which sends them on.
    const std::vector<std::string> evacuated = pool.evacuatedDomains();
    others.insert(others.end(), evacuated.begin(), evacuated.end());
    std::erase(others, key.second);
    const std::vector<uint32_t> offers = local.home->offers(capacity, others, now);
    if (capacity == local.lastCapacity && offers == local.lastOffers && now - local.capacitySentAt < this->bounds.capacityRepeatInterval)
        return;
    local.lastCapacity = capacity;
    local.lastOffers = offers;
    local.capacitySentAt = now;
    for (size_t i = 0; i < others.size(); ++i) {
        const std::string& group = others[i];
        if (!offers.empty())
            capacity.offered = offers[i];
        const std::string home = this->homeOf(key.first, group, now);
        if (home != this->self.name)
            this->outbox(home).capacities.push_back(capacity);
        else if (const auto other = this->homes.find({ key.first, group }); other != this->homes.end())
            other->second.home->updateRemoteCapacity(capacity, now);
    }
}

GroupReport Placement::makeReport(const GroupKey& key, const TargetPool& pool, TimePoint now)
{
    const GroupState& state = this->groupStates[key];
    return { key.first, key.second, state.homeIncarnation, state.seenGrant, pool.ownLoads(key.second, now) };
}

// A report without loads tells the new home that it waits for nothing more of this node.
void Placement::addWantedReports(const PlacementMessage& message, TimePoint now)
{
    for (const GroupName& wanted : message.wanted) {
        if (const TargetPool* pool = this->hooks.pool(wanted.service))
            this->outbox(message.node).reports.push_back(this->makeReport({ wanted.service, wanted.group }, *pool, now));
    }
}

void Placement::addReports(TimePoint now)
{
    for (auto& [key, state] : this->groupStates) {
        const std::string home = this->homeOf(key.first, key.second, now);
        TargetPool* pool = this->hooks.pool(key.first);
        const bool isNewHome = home != state.home && state.hadWork;
        if ((!state.reportDue && !isNewHome) || !pool)
            continue;
        state.reportDue = false;
        if (!state.home.empty() && state.home != home) {
            ++this->total.homeChanges;
            log(LogLevel::Info, "home of a target group moved",
                { { "service", std::to_string(key.first) }, { "group", key.second }, { "from", state.home }, { "to", home } });
        }
        state.home = home;
        if (home == this->self.name)
            continue;
        GroupReport report = this->makeReport(key, *pool, now);
        state.hadWork = !report.loads.empty();
        state.reportedAt = now;
        this->outgoing[home].reports.push_back(std::move(report));
    }
}

void Placement::flush(TimePoint now)
{
    this->addReports(now);
    const auto messages = std::exchange(this->outgoing, {});
    for (const auto& [node, content] : messages) {
        if (content.empty())
            continue;
        PlacementMessage message = content;
        message.node = this->self.name;
        message.incarnation = this->incarnation;
        message.sequence = ++this->sequence;
        message.version = placementVersion;
        ++this->total.datagrams;
        this->hooks.send(node, message);
    }
}

double Placement::occupancy(uint64_t service, TimePoint now) const
{
    const TargetPool* pool = this->hooks.pool(service);
    if (!pool)
        return 1;
    if (!pool->isGrouped())
        return this->groupOccupancy(service, *pool, "", now);
    const std::vector<std::string> all = groups(*pool);
    if (all.empty() || std::find(all.begin(), all.end(), this->self.failureDomain) != all.end())
        return this->groupOccupancy(service, *pool, this->self.failureDomain, now);
    // This node has no targets in its own domain and asks all others.
    double sum = 0;
    for (const std::string& group : all)
        sum += this->groupOccupancy(service, *pool, group, now);
    return sum / static_cast<double>(all.size());
}

double Placement::groupOccupancy(uint64_t service, const TargetPool& pool, const std::string& group, TimePoint now) const
{
    const auto found = this->groupStates.find({ service, group });
    if (found != this->groupStates.end() && found->second.occupancy && now - found->second.occupancyAt < occupancyTtl
        && this->homeOf(service, group, now) != this->self.name)
        return *found->second.occupancy;
    return pool.occupancy(group, now);
}

std::vector<Placement::HomeView> Placement::view(uint64_t service, TimePoint now) const
{
    std::vector<HomeView> result;
    const TargetPool* pool = this->hooks.pool(service);
    if (!pool)
        return result;
    for (const std::string& group : groups(*pool)) {
        HomeView entry { service, group, this->homeOf(service, group, now) };
        const auto local = this->homes.find({ service, group });
        if (local != this->homes.end()) {
            entry.waiting = local->second.home->waiting();
            entry.granted = local->second.home->granted();
            entry.workspacesAhead = local->second.home->workspacesAhead();
            entry.neighbors = local->second.home->domainSpill().view(now);
        }
        result.push_back(entry);
    }
    return result;
}

} // namespace guavapond::edge
