// Compares the outcomes of the new version with those of the old one and advances the state of the move.
#include "scheduling/VersionMove.h"
#include "scheduling/WorkspaceQuota.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>

namespace guavapond::edge {

namespace {

constexpr uint64_t minOldSamples = 10;  // answers of the old version on a route before its mean time is used
constexpr double sampleWeight = 0.1;    // of a new sample in a mean time
constexpr double plannedExposure = 0.8; // part of the exposure limit that is planned for, since the counts of peers arrive late
constexpr double switchPart = 0.5;      // of the remaining exposure; the rest is for state Loading
constexpr Duration minRateTime = std::chrono::seconds(1); // since the order, before its rate of requests is used
// Multiples of the completion margin before the deadline.
constexpr double minSwitchMargins = 2; // all requests have moved at the latest
constexpr double drainedMargins = 1.5; // the move completes if no old requests are left; leaves a second node the time to write it

Duration scaled(Duration time, double factor) { return std::chrono::duration_cast<Duration>(time * factor); }

} // namespace

std::string_view moveStateName(MoveState state)
{
    static constexpr std::array<std::string_view, 5> names { "trying", "loading", "switching", "completed", "reverted" };
    return names.at(static_cast<size_t>(state));
}

VersionMove::VersionMove(const MoveOrder& order, const MoveSettings& settings, std::optional<TimePoint> orderedAfter, TimePoint now)
    : moveOrder(order)
    , settings(settings)
    , orderedAt(orderedAfter.value_or(now))
    , isOrderTimeKnown(orderedAfter.has_value())
    , newShare(settings.canaryShare)
{
}

bool VersionMove::sendToNew(double random) const
{
    switch (this->current) {
    case MoveState::Trying:
    case MoveState::Loading:
        return random < this->newShare;
    case MoveState::Switching:
    case MoveState::Completed:
        return true;
    case MoveState::Reverted:
        break;
    }
    return false;
}

void VersionMove::MeanTime::add(Duration sample)
{
    this->ms = this->count == 0 ? inMilliseconds(sample) : this->ms + sampleWeight * (inMilliseconds(sample) - this->ms);
    ++this->count;
}

bool VersionMove::isSlow(const MeanTime& mean, Duration time) const
{
    return mean.count >= minOldSamples && inMilliseconds(time) > this->settings.slowFactor * mean.ms;
}

// A target that works through a queue is late for a reason that its version does not answer for.
bool VersionMove::isSlowFirst(const MeanTime& mean, Duration time, Duration expected) const
{
    return this->isSlow(mean, time) && inMilliseconds(time) > this->settings.slowFactor * inMilliseconds(expected);
}

bool VersionMove::isSlow(std::string_view route, const Progress& progress) const
{
    const auto found = this->times.find(route);
    if (found == this->times.end())
        return false;
    const RouteTimes& old = found->second;
    if (this->isSlowFirst(old.first, progress.untilFirst, progress.expectedFirst))
        return true;
    if (!progress.sinceFirst || !this->isSlow(old.gap, *progress.sinceFirst / static_cast<int64_t>(this->settings.gapsToJudge)))
        return false;
    return this->isSlow(old.gap, *progress.sinceFirst / static_cast<int64_t>(progress.gaps + 1));
}

VersionCounts& VersionMove::countsOf(bool isNew, std::string_view route)
{
    RouteCounts& counts = this->routes[nameHash(route)];
    return isNew ? counts.newVersion : counts.oldVersion;
}

void VersionMove::count(bool isNew, std::string_view route, bool failed, const Times& sample)
{
    auto found = this->times.find(route);
    if (found == this->times.end())
        found = this->times.emplace(std::string(route), RouteTimes {}).first;
    RouteTimes& old = found->second;
    if (!isNew && !failed) {
        if (sample.first)
            old.first.add(*sample.first);
        if (sample.gap)
            old.gap.add(*sample.gap);
    }
    const bool isSlowAnswer = (sample.first && this->isSlowFirst(old.first, *sample.first, sample.expectedFirst))
        || (sample.gap && this->isSlow(old.gap, *sample.gap));
    this->onNotCounted(isNew, route);
    VersionCounts& counts = this->countsOf(isNew, route);
    ++counts.requests;
    counts.bad += failed || isSlowAnswer ? 1 : 0;
}

void VersionMove::countRunning(bool isNew, std::string_view route)
{
    this->onNotCounted(isNew, route);
    VersionCounts& counts = this->countsOf(isNew, route);
    ++counts.requests;
    ++counts.bad;
}

void VersionMove::onSent(bool isNew, std::string_view route) { ++this->countsOf(isNew, route).running; }

void VersionMove::onNotCounted(bool isNew, std::string_view route)
{
    uint64_t& running = this->countsOf(isNew, route).running;
    running -= running > 0 ? 1 : 0; // the request may be older than the order
}

VersionMove::CountsByRoute VersionMove::totals() const
{
    CountsByRoute sum = this->routes;
    for (const auto& [node, report] : this->peers) {
        for (const auto& [route, counts] : report.routes)
            sum[route] += counts;
    }
    return sum;
}

RouteCounts VersionMove::counts() const
{
    RouteCounts sum;
    for (const auto& [route, counts] : this->totals())
        sum += counts;
    return sum;
}

uint64_t VersionMove::canaryRequests() const { return this->counts().newVersion.requests; }

uint64_t VersionMove::exposedRequests() const
{
    const VersionCounts counts = this->counts().newVersion;
    return counts.requests + counts.running;
}

uint64_t VersionMove::totalArrivals() const
{
    uint64_t sum = this->arrivals;
    for (const auto& [node, report] : this->peers)
        sum += report.arrivals;
    return sum;
}

// On a route with few requests a version may stay below the least number of bad outcomes until the deadline.
bool VersionMove::isUnlikelyGood(const RouteCounts& counts) const
{
    const VersionCounts& newCounts = counts.newVersion;
    const VersionCounts& oldCounts = counts.oldVersion;
    const double oldBadShare = static_cast<double>(oldCounts.bad + 1) / static_cast<double>(oldCounts.requests + 2); // rule of succession
    // Counts of peers may not fit together: the distribution must not throw, and one that is undefined is no verdict.
    const uint64_t outcomeCount = std::max(newCounts.requests + newCounts.running, newCounts.bad);
    using Policy = boost::math::policies::policy<boost::math::policies::domain_error<boost::math::policies::ignore_error>,
        boost::math::policies::overflow_error<boost::math::policies::ignore_error>,
        boost::math::policies::evaluation_error<boost::math::policies::ignore_error>>;
    const boost::math::binomial_distribution<double, Policy> outcomes(
        static_cast<double>(outcomeCount), std::min(std::max(oldBadShare, this->settings.leastBadShare), 1.0));
    return boost::math::cdf(boost::math::complement(outcomes, static_cast<double>(newCounts.bad) - 1)) < this->settings.chanceOfGood;
}

bool VersionMove::isBad(const RouteCounts& counts) const
{
    const VersionCounts& newCounts = counts.newVersion;
    const VersionCounts& oldCounts = counts.oldVersion;
    if (newCounts.bad < this->settings.minBadRequestsIfMostBad)
        return false;
    if (this->isUnlikelyGood(counts))
        return true;
    const uint64_t minBad = 2 * newCounts.bad > newCounts.requests ? this->settings.minBadRequestsIfMostBad : this->settings.minBadRequests;
    if (newCounts.bad < minBad)
        return false;
    const double oldBadShare = oldCounts.requests > 0 ? static_cast<double>(oldCounts.bad) / static_cast<double>(oldCounts.requests) : 0;
    // The old version's share counts twice, since a small number of outcomes varies widely.
    // Slow requests count while they run, so the others that run count as well: right after the switch most have not ended yet.
    const auto judged = static_cast<double>(newCounts.requests + newCounts.running);
    return static_cast<double>(newCounts.bad) > (2 * oldBadShare + this->settings.badExcess) * judged;
}

bool VersionMove::isBad(const CountsByRoute& byRoute) const
{
    RouteCounts sum;
    for (const auto& [route, counts] : byRoute)
        sum += counts;
    return this->isBad(sum) || std::any_of(byRoute.begin(), byRoute.end(), [&](const auto& item) { return this->isBad(item.second); });
}

// The many good answers to a small share of the requests say nothing of a version that is bad under load, so those under load also
// count alone.
bool VersionMove::isBad() const
{
    CountsByRoute byRoute = this->totals();
    if (this->isBad(byRoute))
        return true;
    for (const auto& [route, before] : this->beforeLoad) {
        VersionCounts& counts = byRoute[route].newVersion;
        counts.requests -= std::min(counts.requests, before.newVersion.requests); // lower after a peer has restarted
        counts.bad -= std::min(counts.bad, before.newVersion.bad);
    }
    return this->isBad(byRoute);
}

VersionMove::Report VersionMove::report(uint64_t oldInFlight, TimePoint now) const
{
    return { this->moveOrder.revision, this->arrivals, this->routes, oldInFlight, this->judgedBad, this->hasSwitched(),
        this->isOrderTimeKnown ? std::optional<Duration>(now - this->orderedAt) : std::nullopt };
}

void VersionMove::onPeerReport(uint64_t node, const Report& report, TimePoint now)
{
    if (report.revision != this->moveOrder.revision)
        return;
    this->peers[node] = report;
    this->judgedBad = this->judgedBad || report.judgedBad;
    if (!this->isOrderTimeKnown && report.age) {
        this->orderedAt = std::min(this->orderedAt, now - *report.age);
        this->isOrderTimeKnown = true;
    }
}

double VersionMove::requestsPerSecond(TimePoint now) const
{
    const double elapsed = std::max(toSeconds(now - this->orderedAt), 0.001);
    return static_cast<double>(this->totalArrivals()) / elapsed;
}

double VersionMove::remainingExposure(TimePoint now) const
{
    const double expectedRequests = this->requestsPerSecond(now) * toSeconds(this->moveOrder.span);
    const double allowed = plannedExposure * (this->settings.mostExposed * expectedRequests + this->settings.exposedAllowance);
    return std::max(0.0, allowed - static_cast<double>(this->exposedRequests()));
}

double VersionMove::loadShare() const { return this->newTargets > 0 ? std::min(this->settings.loadMargin / this->newTargets, 1.0) : 1; }

Duration VersionMove::switchTime(double exposure, TimePoint now) const
{
    const double perSecond = this->requestsPerSecond(now);
    const Duration time = perSecond > 0 ? fromSeconds(exposure / perSecond) : this->settings.maxSwitchTime;
    return std::clamp(time, scaled(this->settings.completionMargin, minSwitchMargins), this->settings.maxSwitchTime);
}

Duration VersionMove::loadTime(double exposure, TimePoint now) const
{
    const double share = this->loadShare();
    const double perSecond = this->requestsPerSecond(now);
    if (share >= 1 || perSecond <= 0 || now - this->orderedAt < minRateTime)
        return Duration::zero(); // where one target would get as many requests as after the switch, the switch is enough
    const double atSwitch = perSecond * toSeconds(this->switchTime(switchPart * exposure, now));
    return std::min(fromSeconds(std::max(0.0, exposure - atSwitch) / (share * perSecond)), this->settings.maxLoadTime);
}

void VersionMove::startLoad(MoveState next)
{
    if (this->current == MoveState::Trying)
        this->beforeLoad = this->totals();
    this->current = next;
}

bool VersionMove::isDrained(uint64_t oldInFlight, size_t otherNodes) const
{
    return oldInFlight == 0 && this->peers.size() >= otherNodes
        && std::all_of(
            this->peers.begin(), this->peers.end(), [](const auto& item) { return item.second.switched && item.second.oldInFlight == 0; });
}

MoveState VersionMove::advance(uint64_t oldInFlight, size_t otherNodes, TimePoint now)
{
    if (isFinal(this->current))
        return this->current;
    this->judgedBad = this->judgedBad || this->isBad();
    const Duration left = this->deadline() - now;
    const bool isOutOfTime = left <= this->settings.completionMargin;
    const bool lacksEvidence = isOutOfTime && this->current != MoveState::Switching;
    if (this->judgedBad || lacksEvidence)
        this->current = MoveState::Reverted;
    else if (this->current == MoveState::Switching) {
        const bool isDue = left <= scaled(this->settings.completionMargin, drainedMargins) && this->isDrained(oldInFlight, otherNodes);
        if (isDue || isOutOfTime)
            this->current = MoveState::Completed;
    } else
        this->advanceTrial(left, now);
    return this->current;
}

// From state Trying on to the switch, as far as the limit on exposure allows.
void VersionMove::advanceTrial(Duration left, TimePoint now)
{
    const double remaining = this->remainingExposure(now);
    if (this->canaryRequests() >= this->settings.minCanaryRequests && left <= this->switchTime(remaining, now))
        return this->startLoad(MoveState::Switching);
    if (this->current == MoveState::Trying && left > this->switchTime(switchPart * remaining, now) + this->loadTime(remaining, now))
        return;
    this->startLoad(MoveState::Loading);
    const double atSwitch = this->requestsPerSecond(now) * toSeconds(this->switchTime(0, now));
    this->newShare = remaining > atSwitch ? this->loadShare() : this->settings.canaryShare;
}

} // namespace guavapond::edge
