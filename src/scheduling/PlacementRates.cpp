// Rates of targets in placement: the share of each rate that this node may grant, and what nodes tell each other of limits and warm-ups.
#include "scheduling/Placement.h"

#include "adapters/Logging.h"
#include "scheduling/Rendezvous.h"

#include <algorithm>
#include <cassert>

namespace guavapond::edge {

namespace {

constexpr Duration shareInterval = std::chrono::milliseconds(50); // between updates of the shares of rates
// A warm-up that ends this soon is not asked for in a granted place: the home may count it as ended.
constexpr Duration warmUpEndMargin = std::chrono::milliseconds(100);

} // namespace

// Rank of this node among all known nodes, whether they are reachable or not: nodes that can't reach each other still get different ranks.
size_t Placement::shareRank(uint64_t service, const std::string& group) const
{
    return homeRank(this->nodes, this->self, groupHash(service, group), group);
}

void Placement::updateShares(TimePoint now)
{
    if (now - this->sharesUpdatedAt < shareInterval)
        return;
    this->sharesUpdatedAt = now;
    for (const uint64_t service : this->hooks.services()) {
        TargetPool* pool = this->hooks.pool(service);
        if (!pool || (!pool->hasWarmUpRate() && !pool->hasRates(now)))
            continue;
        std::map<std::string, double> shares;
        for (const std::string& group : groups(*pool))
            shares[group] = this->stopping || this->self.isStarting ? 0 : shareOfRank(this->shareRank(service, group));
        pool->setShares(std::move(shares));
    }
}

LimitChange Placement::onLimitAnswer(uint64_t service, TargetPool::Index target, const LimitAnswer& answer, TimePoint now)
{
    TargetPool* pool = this->hooks.pool(service);
    assert(pool);
    SharedRate& rate = pool->rate(target);
    LimitReport report;
    if (answer.perSecond) {
        const LimitChange change = rate.onNamed(*answer.perSecond, now);
        report.perSecond = *answer.perSecond;
        if (change != LimitChange::None || now - this->limitReportedAt[pool->hashOf(target)] >= this->bounds.limitReportInterval)
            this->reportLimit(service, *pool, target, report, now);
        if (change == LimitChange::Set)
            this->sharesUpdatedAt = {};
        return change;
    }
    report.kind = LimitReport::Kind::NotNamed;
    report.sentAge = now - answer.sentAt;
    if (answer.counted || rate.limit().isSet())
        this->reportLimit(service, *pool, target, report, now);
    return rate.onNotNamed(answer.sentAt, now);
}

bool Placement::accepts(TargetPool::Index target, const PlacementAnswer& answer, TimePoint now)
{
    TargetPool* pool = this->hooks.pool(answer.service);
    assert(pool);
    const Duration left = pool->hasWarmUpRate() ? pool->rate(target).ownWarmUpLeft(now) : Duration::zero();
    if (left > warmUpEndMargin && !answer.countedByWarmUp) {
        const TargetInfo& info = pool->info(target);
        const std::string home = this->homeOf(answer.service, pool->isGrouped() ? info.failureDomain : "", now);
        if (home != this->self.name)
            this->outbox(home).warmUps.push_back({ answer.service, pool->hashOf(target), info.startedUnixMs, left });
        return false;
    }
    return answer.countedByLimit || this->acceptsUncounted(target, answer, now);
}

bool Placement::acceptsUncounted(TargetPool::Index target, const PlacementAnswer& answer, TimePoint now)
{
    TargetPool* pool = this->hooks.pool(answer.service);
    assert(pool);
    SharedRate& rate = pool->rate(target);
    if (answer.limitEndedFor)
        rate.onEnded(now - *answer.limitEndedFor);
    const RequestLimit& limit = rate.limit();
    if (!limit.isFirstHand())
        return true;
    LimitReport report;
    report.perSecond = *limit.statement().perSecond;
    report.age = now - limit.statement().at;
    this->reportLimit(answer.service, *pool, target, report, now);
    return false;
}

void Placement::reportLimit(uint64_t service, TargetPool& pool, TargetPool::Index target, LimitReport report, TimePoint now)
{
    const TargetInfo& info = pool.info(target);
    const std::string home = this->homeOf(service, pool.isGrouped() ? info.failureDomain : "", now);
    if (home == this->self.name)
        return;
    report.service = service;
    report.target = pool.hashOf(target);
    report.startedUnixMs = info.startedUnixMs;
    this->limitReportedAt[report.target] = now;
    this->outbox(home).limits.push_back(report);
}

// Tells the other nodes that may grant places within request limits of a group what this node knows of them, so that each of them can
// take over as home.
void Placement::repeatLimits(TimePoint now)
{
    if (now - this->limitsRepeatedAt < this->bounds.limitRepeatInterval)
        return;
    this->limitsRepeatedAt = now;
    for (const auto& [key, local] : this->homes) {
        const TargetPool* pool = this->hooks.pool(key.first);
        if (!pool)
            continue;
        std::vector<LimitReport> reports = pool->limitReports(key.second, now);
        if (reports.empty())
            continue;
        for (LimitReport& report : reports)
            report.service = key.first;
        for (const std::string& node : this->nodesWithShare(key)) {
            auto& limits = this->outbox(node).limits;
            limits.insert(limits.end(), reports.begin(), reports.end());
        }
    }
}

std::vector<std::string> Placement::nodesWithShare(const GroupKey& key) const
{
    const uint64_t hash = groupHash(key.first, key.second);
    const bool byCapacity = isRankedByCapacity(this->nodes, key.second);
    std::vector<const Node*> ranked;
    for (const Node& node : this->nodes) {
        if (node.isReachable && (key.second.empty() || node.failureDomain == key.second))
            ranked.push_back(&node);
    }
    std::sort(ranked.begin(), ranked.end(), [&](const Node* a, const Node* b) { return ranksBefore(*a, *b, hash, byCapacity); });
    std::vector<std::string> result;
    for (size_t rank = 0; rank < ranked.size() && shareOfRank(rank) > 0; ++rank) {
        if (ranked[rank]->name != this->self.name)
            result.push_back(ranked[rank]->name);
    }
    return result;
}

void Placement::handleLimitReport(const LimitReport& report, const std::string& from, TimePoint now)
{
    TargetPool* pool = this->hooks.pool(report.service);
    const auto index = pool ? pool->find(report.target) : std::nullopt;
    if (!index || pool->info(*index).startedUnixMs != report.startedUnixMs)
        return;
    SharedRate& rate = pool->rate(*index);
    const LimitChange change = rate.onReport(report, now);
    if (change == LimitChange::None)
        return;
    if (change == LimitChange::Set)
        this->sharesUpdatedAt = {};
    log(LogLevel::Info, "request limit of a target",
        { { "target", pool->info(*index).id }, { "change", limitChangeName(change) },
            { "perSecond", rate.limit().statement().perSecond.value_or(-1) }, { "from", from }, { "ageMs", toMilliseconds(report.age) } });
}

// Only what this node has read itself is told: what nodes repeat of each other would end later with each message.
void Placement::tellWarmUps(TimePoint now)
{
    const bool isRepeat = now - this->warmUpsToldAt >= this->bounds.limitRepeatInterval;
    if (isRepeat)
        this->warmUpsToldAt = now;
    for (const uint64_t service : this->hooks.services()) {
        TargetPool* pool = this->hooks.pool(service);
        if (!pool || !pool->hasWarmUpRate() || !(pool->takeWarmUpNews() || isRepeat))
            continue;
        for (const std::string& group : groups(*pool)) {
            if (shareOfRank(this->shareRank(service, group)) <= 0)
                continue;
            std::vector<WarmUpReport> reports = pool->warmUpReports(group, now);
            if (reports.empty())
                continue;
            for (WarmUpReport& report : reports)
                report.service = service;
            for (const std::string& node : this->nodesWithShare({ service, group })) {
                auto& warmUps = this->outbox(node).warmUps;
                warmUps.insert(warmUps.end(), reports.begin(), reports.end());
            }
        }
    }
}

void Placement::handleWarmUpReport(const WarmUpReport& report, const std::string& from, TimePoint now)
{
    TargetPool* pool = this->hooks.pool(report.service);
    if (!pool || !pool->onWarmUpReport(report, now))
        return;
    this->sharesUpdatedAt = {};
    log(LogLevel::Info, "target warms up",
        { { "target", pool->info(*pool->find(report.target)).id }, { "leftMs", toMilliseconds(report.left) }, { "from", from } });
}

} // namespace guavapond::edge
