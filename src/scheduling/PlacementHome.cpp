// Queue of a home: grants, refusals and redirects of placement requests, and the load that granted places add to the pool.
#include "scheduling/PlacementHome.h"

#include "scheduling/WorkspaceQuota.h"

#include <array>

namespace guavapond::edge {

namespace {

constexpr Duration maxReturnDelay = std::chrono::seconds(10); // longer than most callers wait
// A request is refused at once if its predicted wait is this many times what it may wait: with less, one of lower priority that comes
// later may find a slot within that time.
constexpr double hopelessWaitFactor = 3;
constexpr double minServedShare = 0.05; // bounds the predicted wait of a priority that gets nothing

} // namespace

std::string_view placementVerdictName(PlacementVerdict verdict)
{
    static constexpr std::array<std::string_view, placementVerdictCount> names { "granted", "queued", "elsewhere", "full" };
    return names.at(static_cast<size_t>(verdict));
}

bool isInTime(const TargetPool::Choice& choice, const std::optional<TimePoint>& latestFirst, TimePoint now)
{
    return choice.isIdle || !latestFirst || now + choice.firstEvent <= *latestFirst;
}

PlacementHome::PlacementHome(TargetPool& pool, std::string group, const HomeSettings& settings)
    : pool(pool)
    , group(std::move(group))
    , settings(settings)
    , spill(this->group, pool.spillSettings(), [&pool](const std::string& domain) { return pool.isEvacuated(domain); })
{
}

// The homes of several groups of a service may run on one node and share its pool, so the key holds the group as well.
uint64_t PlacementHome::loadKey(uint64_t node) const { return node ^ nameHash(this->group); }

void PlacementHome::enqueue(const PlacementRequest& request, TimePoint now)
{
    if (this->keysByRequest.contains({ request.node, request.id }))
        return;
    Requester& requester = this->requesters[request.node];
    const auto answered
        = std::find_if(requester.answers.begin(), requester.answers.end(), [&](const PlacementAnswer& a) { return a.id == request.id; });
    const bool isRepeat = answered != requester.answers.end();
    Turn turn;
    if (this->pool.plansRoom())
        turn = this->turns.arrive({ request.rank, request.workspace, request.workspaceWeight,
            this->pool.expectedSlotTime(request.promptTokens, request.outputEvents) });
    const WaitKey key = this->queue.add(request.rank, now + request.maxWait, turn.start);
    Waiting& waiting = this->waitingByKey[key];
    waiting.turn = turn;
    waiting.request = request;
    waiting.giveUpAt = now + request.maxWait;
    if (request.firstEventWithin)
        waiting.latestFirst = now + *request.firstEventWithin;
    this->keysByRequest[{ request.node, request.id }] = key;
    if (this->pool.plansRoom())
        this->arrived.push_back(key);
    if (!isRepeat) {
        this->spill.onArrival(now);
        return;
    }
    // The previous answer was lost. Its grant is revoked, and the request is decided again. The workspace is charged for both.
    std::erase_if(requester.unconfirmed, [&](const Grant& grant) { return grant.number == answered->grant; });
    requester.answers.erase(answered);
    this->updatePoolLoads(request.node, requester, now);
}

void PlacementHome::removeWaiting(const WaitKey& key, bool isPlaced)
{
    const auto found = this->waitingByKey.find(key);
    if (found == this->waitingByKey.end())
        return;
    if (isPlaced)
        this->turns.onPlaced(key.rank, found->second.turn);
    else
        this->turns.giveBack(key.rank, found->second.request.workspace, found->second.turn);
    this->queue.remove(key);
    // `key` may refer to what this erases.
    this->keysByRequest.erase({ found->second.request.node, found->second.request.id });
    this->waitingByKey.erase(found);
}

void PlacementHome::withdraw(uint64_t node, uint64_t id)
{
    const auto found = this->keysByRequest.find({ node, id });
    if (found != this->keysByRequest.end())
        this->removeWaiting(found->second);
}

void PlacementHome::updateLoads(uint64_t node, uint64_t seenGrant, std::span<const TargetLoadReport> loads, TimePoint now)
{
    Requester& requester = this->requesters[node];
    // Grants older than one that the node has received were received as well, or lost.
    std::erase_if(
        requester.unconfirmed, [&](const Grant& grant) { return grant.number <= seenGrant || now - grant.at > this->settings.grantTtl; });
    requester.reported.assign(loads.begin(), loads.end());
    requester.reportedAt = now;
    this->updatePoolLoads(node, requester, now);
}

void PlacementHome::updatePoolLoads(uint64_t node, const Requester& requester, TimePoint now)
{
    this->pool.peerLoads(this->loadKey(node), requester.reported, requester.reportedAt);
    for (const Grant& grant : requester.unconfirmed)
        this->pool.addPeerRun(this->loadKey(node), grant.target, grant.tokens, now);
}

void PlacementHome::updateRemoteCapacity(const GroupCapacity& capacity, TimePoint now)
{
    this->remoteCapacities[capacity.group] = { capacity, now };
    const auto others = static_cast<uint32_t>(this->remoteCapacities.size());
    this->spill.onAnnounced(capacity.group,
        { capacity.offered.value_or(capacity.freeSlots / others), capacity.shortBy, capacity.shortestWait,
            this->pool.roundTrip(this->group, capacity.group) },
        now);
}

Demand demandOf(const PlacementRequest& request)
{
    Demand demand;
    demand.promptTokens = request.promptTokens;
    demand.outputEvents = request.outputEvents;
    demand.urgent = request.urgent;
    demand.repeatable = request.repeatable;
    demand.parts = request.parts;
    demand.onlyVersion = request.onlyVersion;
    demand.notVersion = request.notVersion;
    demand.onlyDomain = request.group;
    demand.fromDomain = request.failureDomain;
    demand.transferBytes = request.transferBytes;
    return demand;
}

PlacementAnswer PlacementHome::makeAnswer(const PlacementRequest& request) const
{
    PlacementAnswer answer;
    answer.node = request.node;
    answer.id = request.id;
    answer.rank = request.rank;
    answer.workspace = request.workspace;
    answer.service = request.service;
    answer.group = this->group;
    return answer;
}

std::vector<TargetPool::Index> PlacementHome::excludedIndices(const PlacementRequest& request) const
{
    std::vector<TargetPool::Index> result;
    for (const uint64_t hash : request.excludedTargets) {
        if (const auto index = this->pool.find(hash))
            result.push_back(*index);
    }
    return result;
}

PlacementAnswer PlacementHome::grant(const PlacementRequest& request, const TargetPool::Choice& choice, TimePoint now)
{
    PlacementAnswer answer = this->makeAnswer(request);
    answer.verdict = PlacementVerdict::Granted;
    answer.target = this->pool.hashOf(choice.target);
    answer.grant = ++this->lastGrant;
    answer.firstEvent = choice.firstEvent;
    answer.backlogTokens = choice.backlogTokens;
    answer.countedByLimit = this->pool.takeFromRate(choice.target, now);
    answer.countedByWarmUp = answer.countedByLimit && this->pool.rate(choice.target).isWarmUpCounted(now);
    answer.passedLimit = choice.passedLimit;
    const LimitStatement& limit = this->pool.rate(choice.target).limit().statement();
    if (!answer.countedByLimit && limit.at != TimePoint {})
        answer.limitEndedFor = now - limit.at;
    this->requesters[request.node].unconfirmed.push_back({ answer.grant, answer.target, request.promptTokens, now });
    this->pool.addPeerRun(this->loadKey(request.node), answer.target, request.promptTokens, now);
    return answer;
}

std::optional<PlacementHome::Redirect> PlacementHome::findRedirect(Waiting& waiting, std::optional<Duration> firstEventHere, TimePoint now)
{
    if (!waiting.request.mayRedirect)
        return std::nullopt;
    if (this->pool.spillSettings().enabled)
        return this->findPricedRedirect(waiting, firstEventHere, now);
    RemoteCapacity* best = nullptr;
    for (auto& [name, remote] : this->remoteCapacities) {
        if (now - remote.at > this->settings.capacityTtl || remote.capacity.freeSlots == 0)
            continue;
        if (waiting.latestFirst && now + remote.capacity.shortestWait > *waiting.latestFirst)
            continue;
        if (!best || remote.capacity.freeSlots > best->capacity.freeSlots)
            best = &remote;
    }
    if (!best)
        return std::nullopt;
    --best->capacity.freeSlots;
    return Redirect { best->capacity.group, std::nullopt };
}

std::optional<PlacementHome::Redirect> PlacementHome::findPricedRedirect(
    Waiting& waiting, std::optional<Duration> firstEventHere, TimePoint now)
{
    SpillRequest request;
    request.bytes = waiting.request.transferBytes;
    request.prefill = this->pool.prefillTime(waiting.request.promptTokens);
    request.waitHere = firstEventHere ? std::max(*firstEventHere - request.prefill, Duration::zero()) : this->predictWait(now);
    request.latestFirst = waiting.latestFirst;
    request.giveUpAt = waiting.giveUpAt;
    request.isCounted = waiting.wouldLeave;
    const Departure departure = this->spill.choose(request, now);
    waiting.wouldLeave = waiting.wouldLeave || departure.wouldLeave;
    if (!departure.domain.empty())
        return Redirect { departure.domain, departure.reason };
    ++this->aheadHere;
    return std::nullopt;
}

const std::optional<Duration>& PlacementHome::slotIntervalAt(TimePoint now)
{
    if (!this->slotInterval)
        this->slotInterval = this->pool.slotInterval(this->group, now);
    return *this->slotInterval;
}

std::optional<Duration> PlacementHome::predictWait(TimePoint now)
{
    const std::optional<Duration>& interval = this->slotIntervalAt(now);
    return interval ? std::optional<Duration>(*interval * (this->aheadHere + 1)) : std::nullopt;
}

std::optional<PlacementAnswer> PlacementHome::decide(Waiting& waiting, TimePoint now)
{
    const PlacementRequest& request = waiting.request;
    const bool isUnrestricted = request.excludedTargets.empty() && request.onlyVersion.empty();
    bool& full = request.urgent ? this->fullForUrgent : this->fullForOthers;
    std::optional<Duration> firstEventHere;
    if (!isUnrestricted || !full) {
        const auto excluded = this->excludedIndices(request);
        const auto choice = this->pool.choose(demandOf(request), excluded, now);
        if (choice && isInTime(*choice, waiting.latestFirst, now))
            return this->grant(request, *choice, now);
        if (choice)
            firstEventHere = choice->firstEvent;
        full = full || (isUnrestricted && !choice);
    }
    PlacementAnswer answer = this->makeAnswer(request);
    if (const auto redirect = this->findRedirect(waiting, firstEventHere, now)) {
        answer.verdict = PlacementVerdict::Redirected;
        answer.otherGroup = redirect->group;
        answer.spillReason = redirect->reason;
        return answer;
    }
    if (auto refusal = this->limitsInForce ? this->refuseByLimit(waiting, now) : std::nullopt)
        return refusal;
    if (now >= waiting.giveUpAt)
        return answer;
    waiting.isExamined = true;
    if (waiting.queuedSent || (this->pool.plansRoom() && !this->limitsInForce))
        return std::nullopt;
    waiting.queuedSent = true;
    answer.verdict = PlacementVerdict::Queued;
    return answer;
}

std::optional<PlacementAnswer> PlacementHome::refuseByLimit(const Waiting& waiting, TimePoint now)
{
    const auto room = this->pool.limitedRoom(demandOf(waiting.request), this->excludedIndices(waiting.request), now);
    if (!room || !room->isAll)
        return std::nullopt;
    const bool hasShare = room->perSecond > 0;
    const Duration wait = hasShare ? room->next + fromSeconds(this->aheadAtLimits++ / room->perSecond) : Duration::max();
    if (hasShare && now + wait <= waiting.giveUpAt)
        return std::nullopt;
    PlacementAnswer answer = this->makeAnswer(waiting.request);
    answer.passedLimit = true;
    if (!hasShare)
        return answer;
    // Callers return one after the other, as fast as the limits allow.
    this->nextReturn = std::max(this->nextReturn + fromSeconds(1 / room->perSecond), now + room->next);
    this->nextReturn = std::min(this->nextReturn, now + maxReturnDelay);
    answer.retryAfter = this->nextReturn - now;
    return answer;
}

// Slots go to requests ahead in the queue, and to more urgent ones that arrive meanwhile: these show in the share of refused requests.
bool PlacementHome::isHopeless(const WaitKey& key, const Waiting& waiting, TimePoint now)
{
    const std::optional<Duration>& interval = this->slotIntervalAt(now);
    // The first of each rank waits, so that the next slot goes by priority also where slots seldom become free.
    if (!interval || this->queue.isFirstOfRank(key))
        return false;
    const double served = std::max(1 - this->refusals.share(key.rank, waiting.request.workspace, now), minServedShare);
    const double wait = toSeconds(*interval) * static_cast<double>(this->queue.ahead(key) + 1) / served;
    return wait > hopelessWaitFactor * toSeconds(waiting.giveUpAt - now);
}

void PlacementHome::decideArrived(std::vector<PlacementAnswer>& answers, TimePoint now)
{
    const std::vector<WaitKey> keys = std::exchange(this->arrived, {});
    if (this->limitsInForce || this->queue.empty())
        return;
    for (const WaitKey& key : keys) {
        const auto found = this->waitingByKey.find(key);
        if (found == this->waitingByKey.end())
            continue;
        Waiting& waiting = found->second;
        if (!waiting.isExamined && !(waiting.request.urgent ? this->fullForUrgent : this->fullForOthers)) {
            this->arrived.push_back(key); // there may be a free slot: the next round tells
            continue;
        }
        PlacementAnswer answer = this->makeAnswer(waiting.request);
        if (this->isHopeless(key, waiting, now)) {
            answers.push_back(answer);
            this->removeWaiting(key);
        } else if (waiting.isExamined) {
            waiting.queuedSent = true;
            answer.verdict = PlacementVerdict::Queued;
            answers.push_back(answer);
        }
    }
}

void PlacementHome::noteDecision(PlacementAnswer& answer, TimePoint now)
{
    const bool isRefused = answer.verdict == PlacementVerdict::Full;
    if (answer.verdict == PlacementVerdict::Redirected || (isRefused && answer.passedLimit))
        return;
    this->refusals.onDecided(answer.rank, answer.workspace, isRefused, now);
    if (isRefused)
        answer.refusedShare = this->refusals.share(answer.rank, answer.workspace, now);
}

std::vector<PlacementAnswer> PlacementHome::processQueue(TimePoint now)
{
    std::vector<PlacementAnswer> result;
    if (this->queue.empty()) {
        this->arrived.clear();
        return result;
    }
    this->fullForUrgent = this->fullForOthers = false;
    this->limitsInForce = this->pool.hasRates(now);
    this->aheadAtLimits = 0;
    this->aheadHere = 0;
    this->slotInterval.reset();
    for (const WaitKey& key : this->queue.first(this->settings.requestsPerRound)) {
        const auto answer = this->decide(this->waitingByKey.at(key), now);
        if (!answer)
            continue;
        result.push_back(*answer);
        if (answer->verdict != PlacementVerdict::Queued)
            this->removeWaiting(key, answer->verdict == PlacementVerdict::Granted);
    }
    this->decideArrived(result, now);
    for (const WaitKey& key : this->queue.expired(now)) {
        result.push_back(this->makeAnswer(this->waitingByKey.at(key).request));
        this->removeWaiting(key);
    }
    const double occupancy = result.empty() ? 0 : this->pool.occupancy(this->group, now);
    for (PlacementAnswer& answer : result) {
        answer.occupancy = occupancy;
        if (answer.verdict == PlacementVerdict::Queued)
            continue;
        if (this->pool.plansRoom())
            this->noteDecision(answer, now);
        auto& answers = this->requesters[answer.node].answers;
        answers.push_back(answer);
        if (answers.size() > this->settings.answersPerNode)
            answers.pop_front();
    }
    return result;
}

GroupCapacity PlacementHome::capacity(uint64_t service, TimePoint now) const
{
    GroupCapacity result { service, this->group };
    const TargetPool::Room room = this->pool.room(this->group, now);
    result.freeSlots = room.freeSlots > this->queue.size() ? room.freeSlots - static_cast<uint32_t>(this->queue.size()) : 0;
    result.shortestWait = room.soonest;
    if (this->pool.spillSettings().enabled)
        result.shortBy = this->spill.shortBy(this->queue.size() - std::min<size_t>(this->queue.size(), room.freeSlots), now);
    return result;
}

std::vector<uint32_t> PlacementHome::offers(const GroupCapacity& capacity, std::span<const std::string> others, TimePoint now) const
{
    return this->pool.spillSettings().enabled ? this->spill.offers(capacity.freeSlots, others, now) : std::vector<uint32_t> {};
}

} // namespace guavapond::edge
