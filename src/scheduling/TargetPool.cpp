// Tracks the load, measured speeds and failures of the targets of a service, and chooses the target for a request.
#include "scheduling/TargetPool.h"
#include "scheduling/WorkspaceQuota.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cmath>
#include <set>

namespace guavapond::edge {

namespace {

constexpr double sampleWeight = 0.15;            // of a new sample in a moving average
constexpr double gapGrowthPerRequest = 0.03;     // fraction by which an event takes longer for each request that runs at the target
constexpr uint32_t minPromptSample = 500;        // tokens; shorter prompts give no usable measurement of the prefill speed
constexpr double minPrefillFraction = 0.3;       // least part of the time to a first event that counts as prefill
constexpr double minScoreJitter = 0.04;          // fraction; separates the choices of nodes that see the same loads
constexpr uint32_t failuresToBeUnresponsive = 3; // lost connections or silences in a row
constexpr Duration answerTtl = std::chrono::milliseconds(500);      // an answer this old no longer outweighs a loss of another node
constexpr size_t maxCacheEntries = 20000;                           // prefix hashes
constexpr Duration endedLimitReportTime = std::chrono::seconds(10); // how long nodes tell each other that a limit has ended
constexpr Duration brittleSpreadInterval = std::chrono::seconds(1);
constexpr size_t minTargetsPerGroup = 12; // mean per failure domain at which targets are grouped by domain

void updateAverage(double& value, double sample) { value = value == 0 ? sample : value + sampleWeight * (sample - value); }

double measuredOr(double value, double mean) { return value > 0 ? value : mean; }

} // namespace

TargetPool::TargetPool(const PlacementSettings& settings, bool isEngine, std::function<double()> random)
    : settings(settings)
    , isEngine(isEngine)
    , random(std::move(random))
{
    this->refreshMeans();
}

TargetPool::Index TargetPool::upsert(const TargetInfo& info, TimePoint now)
{
    const auto found = this->byId.find(info.id);
    Index index = 0;
    if (found == this->byId.end()) {
        index = static_cast<Index>(this->targets.size());
        this->targets.emplace_back();
        this->byId[info.id] = index;
        this->targets[index].hash = nameHash(info.id);
        this->byHash[this->targets[index].hash] = index;
        this->targets[index].lastProgress = now;
    } else
        index = found->second;
    Target& target = this->targets[index];
    const bool isNewProcess = target.info.startedUnixMs != info.startedUnixMs || target.info.address != info.address;
    if (isNewProcess) {
        target.brittle = {};
        target.toldBrittleness = false;
        target.history = {};
        target.shared = {};
        target.own = {};
        target.lossesOf.clear();
        target.leaveAnnounced = false;
        target.rate.onNewProcess();
    }
    if (isNewProcess || target.info.revision != info.revision || target.warmAt == TimePoint {})
        this->updateWarmUp(target, info, isNewProcess, now);
    target.info = info;
    target.leaving = info.draining || target.leaveAnnounced;
    target.evacuated = this->evacuated.contains(info.failureDomain);
    this->refreshMeans();
    this->refreshGroups();
    return index;
}

// The entry may have been written well before it is read, so counting from now ends no warm-up early.
void TargetPool::updateWarmUp(Target& target, const TargetInfo& info, bool isNew, TimePoint now)
{
    target.warmAt = now + info.warmUpLeft.value_or(Duration::zero());
    target.rate.setWarmUpRate(this->warmUp.perSecond, now);
    target.rate.setEntryOld(this->entriesOld, now);
    const Duration assumed = isNew ? this->warmUp.time : Duration::zero();
    if (target.rate.onWarmUp(info.warmUpLeft.value_or(assumed), true, now))
        this->warmUpNews = true;
}

void TargetPool::markLeaving(std::string_view id)
{
    const auto found = this->byId.find(std::string(id));
    if (found == this->byId.end())
        return;
    this->targets[found->second].leaving = true;
    this->refreshMeans();
    this->refreshGroups();
}

void TargetPool::onLeaveAnnounced(Index target)
{
    this->targets[target].leaveAnnounced = true;
    this->targets[target].leaving = true;
    this->refreshMeans();
}

void TargetPool::onLeaveAnnounced(const LeavingTarget& leaving)
{
    const auto found = this->byHash.find(leaving.targetHash);
    if (found == this->byHash.end())
        return;
    const int64_t startedUnixMs = this->targets[found->second].info.startedUnixMs;
    if (leaving.startedUnixMs.value_or(startedUnixMs) == startedUnixMs)
        this->onLeaveAnnounced(found->second);
}

std::vector<LeavingTarget> TargetPool::leavingTargets() const
{
    std::vector<LeavingTarget> result;
    for (const Target& target : this->targets) {
        if (target.leaveAnnounced)
            result.push_back({ target.hash, target.info.startedUnixMs });
    }
    return result;
}

void TargetPool::setEvacuated(std::set<std::string> domains)
{
    this->evacuated = std::move(domains);
    for (Target& target : this->targets)
        target.evacuated = this->evacuated.contains(target.info.failureDomain);
}

void TargetPool::pauseFor(Index target, Duration requested, TimePoint now)
{
    Target& t = this->targets[target];
    const TimePoint until = now + std::clamp(requested, Duration::zero(), this->settings.maxRequestedPause);
    t.requestedUntil = std::max(t.requestedUntil, until);
    for (Pause* pause : { &t.shared, &t.own })
        pause->until = std::max(pause->until, until);
}

size_t TargetPool::limitedCount() const
{
    return static_cast<size_t>(
        std::count_if(this->targets.begin(), this->targets.end(), [](const Target& t) { return !t.leaving && t.rate.limit().isSet(); }));
}

std::array<size_t, rateKindCount> TargetPool::rateCounts(TimePoint now) const
{
    std::array<size_t, rateKindCount> counts {};
    for (const Target& target : this->targets) {
        if (!target.leaving)
            ++counts.at(static_cast<size_t>(target.rate.kind(now)));
    }
    return counts;
}

bool TargetPool::hasRates(TimePoint now) const
{
    return std::any_of(this->targets.begin(), this->targets.end(), [&](const Target& t) { return !t.leaving && t.rate.isSet(now); });
}

void TargetPool::setWarmUp(const WarmUpTerms& terms, TimePoint now)
{
    if (this->warmUp == terms)
        return;
    this->warmUp = terms;
    for (Target& target : this->targets) {
        target.rate.setWarmUpRate(terms.perSecond, now);
        if (!target.info.warmUpLeft) // its entry came before the terms, and does not say
            target.rate.onWarmUp(terms.time, true, now);
    }
}

void TargetPool::setEntriesOld(bool value, TimePoint now)
{
    if (this->entriesOld == value)
        return;
    this->entriesOld = value;
    for (Target& target : this->targets)
        target.rate.setEntryOld(value, now);
}

void TargetPool::assumeWarmUp(std::string_view group, TimePoint now)
{
    for (Target& target : this->targets) {
        if (group.empty() || target.info.failureDomain == group)
            this->warmUpNews = target.rate.onWarmUp(this->warmUp.time, true, now) || this->warmUpNews;
    }
}

bool TargetPool::onWarmUpReport(const WarmUpReport& report, TimePoint now)
{
    const auto index = this->find(report.target);
    // A report on a process that this node does not know yet may be about the one that it is about to know.
    return index && report.startedUnixMs >= this->info(*index).startedUnixMs
        && this->targets[*index].rate.onWarmUp(report.left, false, now);
}

std::vector<WarmUpReport> TargetPool::warmUpReports(std::string_view group, TimePoint now) const
{
    std::vector<WarmUpReport> result;
    for (const Target& target : this->targets) {
        const Duration left = target.rate.ownWarmUpLeft(now);
        if (left > Duration::zero() && !target.leaving && (group.empty() || target.info.failureDomain == group))
            result.push_back({ 0, target.hash, target.info.startedUnixMs, left });
    }
    return result;
}

double TargetPool::share(const Target& target) const
{
    if (this->shares.empty())
        return 1;
    auto found = this->shares.find(target.info.failureDomain);
    if (found == this->shares.end())
        found = this->shares.find("");
    return found == this->shares.end() ? 0 : found->second;
}

bool TargetPool::hasRateRoom(const Target& target, TimePoint now) const { return target.rate.hasRoom(this->share(target), now); }

bool TargetPool::takeFromRate(Index target, TimePoint now)
{
    Target& t = this->targets[target];
    if (!t.rate.isSet(now))
        return false;
    t.rate.take(this->share(t), now);
    return true;
}

std::vector<LimitReport> TargetPool::limitReports(std::string_view group, TimePoint now) const
{
    std::vector<LimitReport> result;
    for (const Target& target : this->targets) {
        const LimitStatement& statement = target.rate.limit().statement();
        const bool isEnded = !statement.perSecond;
        if (statement.at == TimePoint {} || target.leaving || (isEnded && now - statement.at > endedLimitReportTime)
            || (!group.empty() && target.info.failureDomain != group))
            continue;
        result.push_back({ 0, target.hash, target.info.startedUnixMs, isEnded ? LimitReport::Kind::Ended : LimitReport::Kind::Named,
            statement.perSecond.value_or(0), now - statement.at, {} });
    }
    return result;
}

std::optional<LimitedRoom> TargetPool::limitedRoom(const Demand& demand, std::span<const Index> tried, TimePoint now) const
{
    LimitedRoom room { 0, Duration::max(), true };
    bool isAny = false;
    for (Index i = 0; i < this->targets.size(); ++i) {
        const Target& target = this->targets[i];
        if (!this->isUsable(target, demand, now) || std::find(tried.begin(), tried.end(), i) != tried.end())
            continue;
        if (!target.rate.isSet(now)) {
            room.isAll = false;
            continue;
        }
        isAny = true;
        const double part = this->share(target);
        room.perSecond += target.rate.grantsPerSecond(part, now);
        room.next = std::min(room.next, target.rate.untilRoom(part, now));
    }
    return isAny ? std::optional<LimitedRoom>(room) : std::nullopt;
}

TargetPool::Load TargetPool::load(const Target& target, TimePoint now) const
{
    Load sum { target.running, target.prefillTokens };
    for (const auto& [peer, report] : target.peers) {
        if (now - report.at > this->settings.peerLoadTtl)
            continue;
        sum.running += report.running;
        sum.prefillTokens += report.prefillTokens;
    }
    return sum;
}

bool TargetPool::isStalled(Index target, TimePoint now) const { return this->isStalled(this->targets[target], now); }

bool TargetPool::isStalled(const Target& target, TimePoint now) const
{
    if (now - target.lastProgress <= this->settings.stallAfter)
        return false;
    const Load load = this->load(target, now);
    // A healthy target is silent while it processes long prompts, so the predicted time for them extends the limit.
    return load.running > 0 && now - target.lastProgress > this->maxSilence(this->predictFirst(target, load, 0));
}

Duration TargetPool::silence(Index target, TimePoint now) const { return now - this->targets[target].lastProgress; }

Duration TargetPool::maxSilence(Duration predictedFirst) const
{
    return this->settings.stallAfter + std::chrono::duration_cast<Duration>(predictedFirst * this->settings.stallFactor);
}

bool TargetPool::isEligible(const Target& target, const Demand& demand, TimePoint now) const
{
    if (!isOpen(target))
        return false;
    if (!demand.onlyVersion.empty() && target.info.version != demand.onlyVersion)
        return false;
    if (!demand.notVersion.empty() && target.info.version == demand.notVersion)
        return false;
    if (!demand.onlyDomain.empty() && target.info.failureDomain != demand.onlyDomain)
        return false;
    if (demand.maxOwnInFlight > 0 && target.running >= demand.maxOwnInFlight)
        return false;
    return !this->isStalled(target, now);
}

bool TargetPool::isUsable(const Target& target, const Demand& demand, TimePoint now) const
{
    if (now < target.shared.until || !this->isEligible(target, demand, now))
        return false;
    // Without repeatable requests no probe can end the probation, so it also ends after longestPause.
    const Pause& pause = target.shared;
    return !pause.probation || (demand.repeatable && target.running == 0) || now > pause.until + this->settings.ejection.longestPause;
}

void TargetPool::refreshMeans()
{
    const auto mean = [&](double Target::*field, double initial) {
        double sum = 0;
        int measured = 0;
        for (const Target& target : this->targets) {
            if (target.*field > 0 && !target.leaving) {
                sum += target.*field;
                ++measured;
            }
        }
        return measured > 0 ? sum / measured : initial;
    };
    this->means = { mean(&Target::tokensPerMs, this->settings.initialTokensPerMs),
        mean(&Target::gapMs, inMilliseconds(this->settings.initialEventGap)),
        mean(&Target::serviceMs, inMilliseconds(this->settings.initialServiceTime)) };
}

double TargetPool::gapMs(const Target& target, uint32_t running) const
{
    return measuredOr(target.gapMs, this->means.gapMs) * (1 + gapGrowthPerRequest * running);
}

Duration TargetPool::slotWait(const Target& target, const Load& load) const
{
    const uint32_t slots = std::max(target.info.slots, 1U);
    if (load.running < slots)
        return Duration::zero();
    // Slots become free at the rate at which a full target completes requests.
    const double serviceMs = measuredOr(target.serviceMs, this->means.serviceMs);
    return fromSeconds((load.running + 1.0 - slots) * serviceMs / slots / 1000);
}

Duration TargetPool::predictFirst(const Target& target, const Load& load, uint32_t tokens) const
{
    const Duration wait = this->slotWait(target, load);
    if (!this->isEngine) {
        const double serviceMs = measuredOr(target.serviceMs, this->means.serviceMs);
        return wait + fromSeconds(serviceMs / 1000);
    }
    // The target processes the prompts ahead and this one, then generates the first event.
    const double tokensPerMs = measuredOr(target.tokensPerMs, this->means.tokensPerMs);
    const double ms = (load.prefillTokens + tokens) / std::max(tokensPerMs, 1.0) + this->gapMs(target, load.running);
    return wait + fromSeconds(ms / 1000);
}

Duration TargetPool::prefillTime(uint32_t tokens) const
{
    return this->isEngine ? fromSeconds(tokens / std::max(this->means.tokensPerMs, 1.0) / 1000) : Duration::zero();
}

Duration TargetPool::expectedSlotTime(uint32_t promptTokens, uint32_t outputEvents) const
{
    if (!this->isEngine)
        return fromSeconds(this->means.serviceMs / 1000);
    return this->prefillTime(promptTokens) + fromSeconds(this->means.gapMs * outputEvents / 1000);
}

// Only round trips from this node's domain are measured. Between two others the longest of them is taken.
Duration TargetPool::roundTrip(std::string_view from, std::string_view to) const
{
    if (from == to)
        return Duration::zero();
    const std::string_view self = this->settings.failureDomain;
    const auto measured = [&](std::string_view domain) {
        const auto found = this->roundTrips.find(domain);
        return found == this->roundTrips.end() ? this->settings.spill.initialRoundTrip : found->second;
    };
    if (from == self || to == self)
        return measured(from == self ? to : from);
    return std::max(measured(from), measured(to));
}

double TargetPool::withDetour(double ms, const Target& target, const Demand& demand) const
{
    const std::string_view from = demand.fromDomain.empty() ? std::string_view(this->settings.failureDomain) : demand.fromDomain;
    if (target.info.failureDomain == from)
        return ms;
    if (!this->settings.spill.enabled)
        return ms * (1 + this->settings.otherDomainCost);
    const Duration detour = this->roundTrip(from, target.info.failureDomain) + waitWorth(this->settings.spill, demand.transferBytes);
    // The spread over idle targets, in score(), is no reason to leave.
    const double spreadMs = this->isEngine ? 0 : target.info.slots;
    return ms + inMilliseconds(detour) + spreadMs;
}

// The score without its random part.
double TargetPool::expectedMs(const Target& target, const Load& load, uint32_t tokens, const Demand& demand, TimePoint now) const
{
    double ms = inMilliseconds(this->predictFirst(target, load, tokens));
    if (this->isEngine)
        ms += this->gapMs(target, load.running) * demand.outputEvents;
    else
        ms += load.running; // spreads requests over idle targets of equal speed
    ms = this->withDetour(ms, target, demand);
    return ms + inMilliseconds(this->settings.failurePenalty) * target.history.expectedFailures(now);
}

double TargetPool::score(const Target& target, const Load& load, uint32_t tokens, const Demand& demand, TimePoint now) const
{
    return this->expectedMs(target, load, tokens, demand, now) * (1 + std::max(minScoreJitter, demand.scoreJitter) * this->random());
}

uint32_t TargetPool::cachedTokens(Index target, const Demand& demand, TimePoint now) const
{
    uint32_t tokens = 0;
    for (const PromptPart& part : demand.parts) {
        const auto found = this->cache.find(part.prefixHash);
        if (found == this->cache.end())
            break;
        const auto& entries = found->second;
        const bool isCached = std::any_of(entries.begin(), entries.end(),
            [&](const CacheEntry& entry) { return entry.target == target && now - entry.at < this->settings.cacheTtl; });
        if (!isCached)
            break;
        tokens += part.tokens;
    }
    return tokens;
}

bool TargetPool::onBrittle(Index target, double perSecond, TimePoint now)
{
    if (now - this->brittleSpreadAt >= brittleSpreadInterval) {
        this->brittleSpreadAt = now;
        for (Target& other : this->targets) {
            if (!other.toldBrittleness && !other.brittle.isSet(now))
                other.brittle.onNamed(perSecond, now);
        }
    }
    this->targets[target].toldBrittleness = true;
    return this->targets[target].brittle.onNamed(perSecond, now);
}

bool TargetPool::onNotBrittle(Index target, TimePoint sentAt)
{
    this->targets[target].toldBrittleness = true;
    return this->targets[target].brittle.onNotNamed(sentAt);
}

size_t TargetPool::brittleCount(TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(this->targets.begin(), this->targets.end(), [&](const Target& t) { return !t.leaving && t.brittle.isSet(now); }));
}

void TargetPool::takeGuess(Index target, size_t nodes, TimePoint now) { this->targets[target].brittle.guess(nodes, now); }

bool TargetPool::hasCapacity(const Target& target, const Load& load, const Demand& demand, TimePoint now) const
{
    if (target.brittle.isSet(now)) {
        const bool isKnown = demand.guessingNodes == 0;
        return !target.brittle.isExhausted(now) && load.running < target.info.slots
            && (isKnown || target.brittle.mayGuess(demand.guessingNodes, now));
    }
    const Duration maxQueueWait = demand.urgent ? this->settings.queueForUrgent : this->settings.queueForOthers;
    return load.running < target.info.slots * this->settings.mostPerSlot && this->slotWait(target, load) <= maxQueueWait;
}

std::optional<TargetPool::Choice> TargetPool::choose(const Demand& demand, std::span<const Index> tried, TimePoint now)
{
    const auto best = this->chooseAmong(demand, tried, false, now);
    // Only what may be repeated is worth the risk. A group without a usable target leaves its requests to the other groups.
    if (best || !demand.repeatable || !demand.onlyDomain.empty() || this->isAnyUsable(demand, tried, now))
        return best;
    return this->chooseAmong(demand, tried, true, now);
}

bool TargetPool::isAnyUsable(const Demand& demand, std::span<const Index> tried, TimePoint now) const
{
    for (Index i = 0; i < this->targets.size(); ++i) {
        if (this->isUsable(this->targets[i], demand, now) && std::find(tried.begin(), tried.end(), i) == tried.end())
            return true;
    }
    return false;
}

bool TargetPool::areAllPaused(TimePoint now) const
{
    return std::all_of(
        this->targets.begin(), this->targets.end(), [&](const Target& target) { return !isOpen(target) || isPaused(target, now); });
}

bool TargetPool::isLastResort(const Target& target, std::optional<TimePoint> answeredAt, TimePoint now)
{
    return now >= target.requestedUntil && answeredAt && now - *answeredAt <= answerTtl;
}

std::optional<TargetPool::Choice> TargetPool::chooseAmong(
    const Demand& demand, std::span<const Index> tried, bool lastResorts, TimePoint now)
{
    std::optional<Choice> best;
    double bestScore = 0;
    bool passedLimit = false;
    for (Index i = 0; i < this->targets.size(); ++i) {
        const Target& target = this->targets[i];
        const bool isCandidate = lastResorts ? this->isEligible(target, demand, now) && isLastResort(target, target.newestAnswer.at, now)
                                             : this->isUsable(target, demand, now);
        if (!isCandidate || std::find(tried.begin(), tried.end(), i) != tried.end())
            continue;
        const Load load = this->load(target, now);
        if (!this->hasCapacity(target, load, demand, now))
            continue;
        if (!this->hasRateRoom(target, now)) {
            passedLimit = true;
            continue;
        }
        const uint32_t cached = std::min(this->cachedTokens(i, demand, now), demand.promptTokens);
        const uint32_t tokens = demand.promptTokens - cached;
        const double score = this->score(target, load, tokens, demand, now);
        if (!best || score < bestScore) {
            best = Choice { i, this->predictFirst(target, load, tokens), load.prefillTokens + tokens };
            best->isIdle = load.running == 0;
            bestScore = score;
        }
    }
    if (best)
        best->passedLimit = passedLimit;
    return best;
}

bool TargetPool::takesWork(Index target, TimePoint now) const
{
    const Target& t = this->targets[target];
    if (!isOpen(t))
        return false;
    return !isPaused(t, now) || (isLastResort(t, t.answeredAt, now) && this->areAllPaused(now));
}

void TargetPool::started(Index target, const Demand& demand, TimePoint now)
{
    Target& t = this->targets[target];
    if (t.running == 0)
        t.lastProgress = now;
    ++t.running;
    t.prefillTokens += demand.promptTokens;
}

void TargetPool::progress(Index target, TimePoint now)
{
    this->targets[target].lastProgress = now;
    this->targets[target].answeredAt = now;
}

void TargetPool::firstEvent(Index target, uint32_t promptTokens, uint32_t backlogTokens, Duration afterStart, TimePoint now)
{
    Target& t = this->targets[target];
    t.prefillTokens -= std::min(t.prefillTokens, promptTokens);
    t.lastProgress = now;
    this->updatePrefillSpeed(target, backlogTokens, afterStart, now);
}

void TargetPool::updatePrefillSpeed(Index target, uint32_t backlogTokens, Duration afterStart, TimePoint now)
{
    Target& t = this->targets[target];
    if (backlogTokens < minPromptSample)
        return;
    const double prefillMs = inMilliseconds(afterStart) - this->gapMs(t, this->load(t, now).running);
    updateAverage(t.tokensPerMs, backlogTokens / std::max(prefillMs, minPrefillFraction * inMilliseconds(afterStart)));
    this->refreshMeans();
}

void TargetPool::eventGap(Index target, Duration gap, TimePoint now)
{
    Target& t = this->targets[target];
    const Load load = this->load(t, now);
    updateAverage(t.gapMs, inMilliseconds(gap) / (1 + gapGrowthPerRequest * load.running));
    this->refreshMeans();
}

void TargetPool::recordAnswer(Target& target, uint64_t node, TimePoint now)
{
    if (target.newestAnswer.node != node)
        target.answerOfOther = target.newestAnswer;
    target.newestAnswer = { node, now };
    target.lossesOf.clear();
    target.rate.onReturned(this->warmUp.time, now);
    target.shared.failures = 0;
    target.shared.probation = false;
    if (node == ownNode)
        target.own = {};
}

bool TargetPool::recordLoss(Target& target, uint64_t node, TimePoint now)
{
    target.lossesOf.insert(node);
    const NodeTime& other = target.newestAnswer.node != node ? target.newestAnswer : target.answerOfOther;
    return target.lossesOf.size() > 1 || !other.at || now - *other.at > answerTtl;
}

void TargetPool::ended(Index target, uint32_t prefillPending, TargetOutcome outcome, std::optional<Duration> serviceTime, TimePoint now)
{
    Target& t = this->targets[target];
    assert(t.running > 0);
    --t.running;
    t.prefillTokens -= std::min(t.prefillTokens, prefillPending);
    this->recordOutcome(target, outcome, serviceTime, ownNode, now);
}

void TargetPool::recordOutcome(Index target, TargetOutcome outcome, std::optional<Duration> serviceTime, uint64_t node, TimePoint now)
{
    Target& t = this->targets[target];
    switch (outcome) {
    case TargetOutcome::Answered:
        this->recordAnswer(t, node, now);
        t.lastProgress = now;
        if (serviceTime) {
            updateAverage(t.serviceMs, inMilliseconds(*serviceTime));
            this->refreshMeans();
        }
        break;
    case TargetOutcome::Failed:
    case TargetOutcome::BrokenOff:
        break;
    case TargetOutcome::Unreachable:
        t.rate.onLost();
        [[fallthrough]];
    case TargetOutcome::Broken:
    case TargetOutcome::Silent:
        if (node == ownNode)
            t.own.begin(this->settings.ejection, now);
        if (!this->recordLoss(t, node, now))
            return;
        t.rate.onLost();
        t.shared.begin(this->settings.ejection, now);
        break;
    case TargetOutcome::Declined:
        t.brittle.onRejected(now);
        t.lastProgress = now;
        return;
    case TargetOutcome::Cancelled:
        return;
    }
    t.history.record(outcome, now);
    if (!isFailedAnswer(outcome) || !ejectsForAnswers(t.history, this->othersThan(t, now), this->settings.ejection))
        return;
    t.shared.failures = std::max(t.shared.failures, 1U);
    t.shared.begin(this->settings.ejection, now);
    t.history.forgetNewest();
}

OtherTargets TargetPool::othersThan(const Target& judged, TimePoint now) const
{
    OtherTargets others;
    size_t inUse = 0;
    for (const Target& target : this->targets) {
        if (!isOpen(target))
            continue;
        ++others.total;
        if (target.shared.probation || now < target.shared.until) {
            ++others.paused;
            continue;
        }
        if (&target == &judged)
            continue;
        ++inUse;
        others.meanFailures += target.history.meanFailures();
    }
    others.meanFailures /= static_cast<double>(std::max<size_t>(inUse, 1));
    return others;
}

void TargetPool::applySample(Index target, const RunSample& sample, uint64_t node, TimePoint now)
{
    if (sample.backlogTokens > 0)
        this->updatePrefillSpeed(target, sample.backlogTokens, sample.firstAfter, now);
    if (!sample.parts.empty())
        this->recordCachedPrompt(target, sample.parts, now);
    if (sample.eventGap)
        this->eventGap(target, *sample.eventGap, now);
    if (sample.brittlePerSecond.value_or(0) > 0)
        this->onBrittle(target, *sample.brittlePerSecond, now);
    else if (sample.brittlePerSecond)
        this->onNotBrittle(target, now - sample.serviceTime.value_or(Duration::zero()));
    if (sample.outcome != TargetOutcome::Cancelled)
        this->recordOutcome(target, sample.outcome, sample.serviceTime, node, now);
}

void TargetPool::recordCachedPrompt(Index target, std::span<const PromptPart> parts, TimePoint now)
{
    if (this->cache.size() > maxCacheEntries)
        std::erase_if(this->cache, [&](const auto& item) { return now - item.second.back().at >= this->settings.cacheTtl; });
    if (this->cache.size() > maxCacheEntries)
        return;
    for (const PromptPart& part : parts) {
        auto& entries = this->cache[part.prefixHash];
        std::erase_if(
            entries, [&](const CacheEntry& entry) { return entry.target == target || now - entry.at >= this->settings.cacheTtl; });
        entries.push_back({ target, now });
    }
}

void TargetPool::peerLoads(uint64_t peer, std::span<const TargetLoadReport> loads, TimePoint now)
{
    std::vector<Index>& reportedTargets = this->reportedBy[peer];
    for (const Index index : reportedTargets)
        this->targets[index].peers.erase(peer);
    reportedTargets.clear();
    for (const TargetLoadReport& report : loads) {
        const auto index = this->find(report.targetHash);
        if (!index)
            continue;
        Target& target = this->targets[*index];
        target.peers[peer] = { report.running, report.prefillTokens, now };
        target.lastProgress = std::max(target.lastProgress, now - report.silence);
        reportedTargets.push_back(*index);
    }
}

void TargetPool::addPeerRun(uint64_t peer, uint64_t targetHash, uint32_t prefillTokens, TimePoint now)
{
    const auto index = this->find(targetHash);
    if (!index)
        return;
    Target& target = this->targets[*index];
    if (this->load(target, now).running == 0)
        target.lastProgress = now;
    const auto [entry, isNew] = target.peers.try_emplace(peer);
    if (isNew)
        this->reportedBy[peer].push_back(*index);
    ++entry->second.running;
    entry->second.prefillTokens += prefillTokens;
    entry->second.at = now;
}

std::vector<TargetLoadReport> TargetPool::ownLoads(std::string_view group, TimePoint now) const
{
    std::vector<TargetLoadReport> result;
    for (const Target& target : this->targets) {
        if (target.running > 0 && (group.empty() || target.info.failureDomain == group))
            result.push_back({ target.hash, target.running, target.prefillTokens, now - target.lastProgress });
    }
    return result;
}

std::vector<uint64_t> TargetPool::unavailableTargets(std::string_view group, TimePoint now) const
{
    std::vector<uint64_t> result;
    const bool allPaused = this->areAllPaused(now);
    for (const Target& target : this->targets) {
        const bool isKnownToAll = target.leaving && !target.leaveAnnounced;
        const bool isOutOfUse = isPaused(target, now) && !(allPaused && isLastResort(target, target.answeredAt, now));
        if ((!isOpen(target) || isOutOfUse) && !isKnownToAll && (group.empty() || target.info.failureDomain == group))
            result.push_back(target.hash);
    }
    return result;
}

std::optional<TargetPool::Index> TargetPool::find(uint64_t targetHash) const
{
    const auto found = this->byHash.find(targetHash);
    return found == this->byHash.end() ? std::nullopt : std::optional<Index>(found->second);
}

std::vector<std::string> TargetPool::domainsOf(bool (*includes)(const Target&)) const
{
    std::set<std::string> result;
    for (const Target& target : this->targets) {
        if (includes(target))
            result.insert(target.info.failureDomain);
    }
    return { result.begin(), result.end() };
}

std::vector<std::string> TargetPool::domains() const { return this->domainsOf(isOpen); }

std::vector<std::string> TargetPool::evacuatedDomains() const
{
    return this->domainsOf([](const Target& target) { return target.evacuated && !target.leaving; });
}

void TargetPool::refreshGroups()
{
    const size_t domainCount = this->domainsOf([](const Target& target) { return !target.leaving; }).size();
    this->grouped = this->usableCount() + this->evacuatedCount() >= minTargetsPerGroup * domainCount;
}

TargetPool::Room TargetPool::room(std::string_view group, TimePoint now) const
{
    Room result { 0, Duration::max() };
    Demand demand;
    demand.onlyDomain = group;
    demand.repeatable = true;
    for (const Target& target : this->targets) {
        if (!this->isUsable(target, demand, now))
            continue;
        const Load load = this->load(target, now);
        if (load.running >= target.info.slots || !this->hasRateRoom(target, now))
            continue;
        uint32_t free = target.info.slots - load.running;
        if (target.rate.isSet(now))
            free = std::min(free, static_cast<uint32_t>(target.rate.tokens(this->share(target), now)));
        result.freeSlots += free;
        result.soonest = std::min(result.soonest, this->predictFirst(target, load, 0));
    }
    return result;
}

std::optional<Duration> TargetPool::slotInterval(std::string_view group, TimePoint now) const
{
    Demand demand;
    demand.onlyDomain = group;
    double slotsPerMs = 0;
    for (const Target& target : this->targets) {
        if (this->isUsable(target, demand, now))
            slotsPerMs += target.info.slots / std::max(measuredOr(target.serviceMs, this->means.serviceMs), 1.0);
    }
    return slotsPerMs > 0 ? std::optional<Duration>(fromSeconds(1 / slotsPerMs / 1000)) : std::nullopt;
}

std::vector<TargetPool::Index> TargetPool::takeDueProbes(TimePoint now)
{
    std::vector<Index> result;
    for (Index i = 0; i < this->targets.size(); ++i) {
        Target& target = this->targets[i];
        if (!isOpen(target) || !target.own.probation || now < target.own.until || std::exchange(target.own.isProbing, true))
            continue;
        result.push_back(i);
    }
    return result;
}

void TargetPool::probed(Index target, bool isReached, TimePoint now)
{
    Target& t = this->targets[target];
    t.own.isProbing = false;
    if (!isReached) {
        t.rate.onLost();
        t.own.begin(this->settings.ejection, now);
        return;
    }
    t.rate.onReturned(this->warmUp.time, now);
    t.own = {};
}

void TargetPool::endPauses()
{
    for (Target& target : this->targets) {
        for (Pause* pause : { &target.shared, &target.own }) {
            if (pause->probation)
                *pause = {};
        }
    }
}

void TargetPool::forEachAddress(const std::function<void(const Address&)>& visit) const
{
    for (const Target& target : this->targets) {
        if (!target.leaving)
            visit(target.info.address);
    }
}

bool TargetPool::isUnresponsive(std::string_view id) const
{
    const auto found = this->byId.find(std::string(id));
    if (found == this->byId.end())
        return false;
    const Pause& pause = this->targets[found->second].shared;
    return pause.probation && pause.failures >= failuresToBeUnresponsive;
}

size_t TargetPool::usableCount() const { return static_cast<size_t>(std::count_if(this->targets.begin(), this->targets.end(), isOpen)); }

size_t TargetPool::evacuatedCount() const
{
    return static_cast<size_t>(
        std::count_if(this->targets.begin(), this->targets.end(), [](const Target& t) { return t.evacuated && !t.leaving; }));
}

double TargetPool::occupancy(std::string_view group, TimePoint now) const
{
    double inFlight = 0;
    double slots = 0;
    for (const Target& target : this->targets) {
        if (!isOpen(target) || now < target.shared.until || (!group.empty() && target.info.failureDomain != group))
            continue;
        const Load load = this->load(target, now);
        inFlight += load.running;
        // A target without room within its rate is full with what it runs.
        slots += this->hasRateRoom(target, now) ? target.info.slots : std::min(load.running, target.info.slots);
    }
    return slots > 0 ? inFlight / slots : 1;
}

std::vector<TargetPool::View> TargetPool::view(TimePoint now) const
{
    std::vector<View> result;
    for (const Target& target : this->targets) {
        const Load load = this->load(target, now);
        const double gapMs = target.gapMs;
        result.push_back({ &target.info, load.running, load.prefillTokens, target.tokensPerMs, fromSeconds(gapMs / 1000),
            now < std::max(target.shared.until, target.own.until), target.leaving, target.evacuated, target.rate.limit().statement(),
            this->share(target), target.rate.kind(now), target.rate.warmUpLeft(now) });
    }
    return result;
}

} // namespace guavapond::edge
