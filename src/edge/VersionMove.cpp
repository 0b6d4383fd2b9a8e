// Judgement and steps of a move.
#include "edge/VersionMove.h"
#include "edge/WorkspaceQuota.h"

#include <algorithm>

namespace guavapond::edge {

namespace {

constexpr uint64_t timesBeforeJudging = 10; // of the old version on a route
constexpr double learnWeight = 0.1;
constexpr double exposureSafety = 0.7; // part of the bound that is planned for: nodes count a little late

} // namespace

std::string_view moveStateName(MoveState state)
{
    static constexpr std::array<std::string_view, 4> names { "trying", "switching", "completed", "reverted" };
    return names.at(static_cast<size_t>(state));
}

VersionMove::VersionMove(const MoveOrder& order, const MoveSettings& settings, std::optional<TimePoint> orderedAfter, TimePoint now)
    : moveOrder(order)
    , settings(settings)
    , orderedAt(orderedAfter.value_or(now))
    , isOrderTimeKnown(orderedAfter.has_value())
{
}

bool VersionMove::sendToNew(double random) const
{
    switch (this->current) {
    case MoveState::Trying:
        return random < this->settings.canaryShare;
    case MoveState::Switching:
    case MoveState::Completed:
        return true;
    case MoveState::Reverted:
        break;
    }
    return false;
}

void VersionMove::count(bool isNew, std::string_view route, bool failed, std::optional<Duration> time)
{
    bool bad = failed;
    auto found = this->times.find(route);
    if (found == this->times.end())
        found = this->times.emplace(std::string(route), RouteTime {}).first;
    RouteTime& old = found->second;
    if (time && !failed) {
        const double ms = toSeconds(*time) * 1000;
        if (!isNew) {
            old.meanMs = old.count == 0 ? ms : old.meanMs + learnWeight * (ms - old.meanMs);
            ++old.count;
        }
        bad = old.count >= timesBeforeJudging && ms > this->settings.slowFactor * old.meanMs;
    }
    RouteCounts& ofRoute = this->routes[nameHash(route)];
    VersionCounts& counts = isNew ? ofRoute.newVersion : ofRoute.oldVersion;
    ++counts.requests;
    counts.bad += bad ? 1 : 0;
}

std::map<uint64_t, RouteCounts> VersionMove::totals() const
{
    std::map<uint64_t, RouteCounts> sum = this->routes;
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

uint64_t VersionMove::totalArrivals() const
{
    uint64_t sum = this->arrivals;
    for (const auto& [node, report] : this->peers)
        sum += report.arrivals;
    return sum;
}

bool VersionMove::isBad(const RouteCounts& counts) const
{
    const VersionCounts& newOnes = counts.newVersion;
    const VersionCounts& oldOnes = counts.oldVersion;
    const uint64_t least = 2 * newOnes.bad > newOnes.requests ? this->settings.minBadRequestsIfMostBad : this->settings.minBadRequests;
    if (newOnes.bad < least)
        return false;
    const double oldRate = oldOnes.requests > 0 ? static_cast<double>(oldOnes.bad) / static_cast<double>(oldOnes.requests) : 0;
    // Twice the old version's share beyond the excess: few outcomes scatter.
    return static_cast<double>(newOnes.bad) > (2 * oldRate + this->settings.badExcess) * static_cast<double>(newOnes.requests);
}

bool VersionMove::isBad() const
{
    const auto byRoute = this->totals();
    return this->isBad(this->counts())
        || std::any_of(byRoute.begin(), byRoute.end(), [&](const auto& item) { return this->isBad(item.second); });
}

VersionMove::Report VersionMove::report(uint64_t oldInFlight, TimePoint now) const
{
    const bool switched = this->current == MoveState::Switching || this->current == MoveState::Completed;
    return { this->moveOrder.revision, this->arrivals, this->routes, oldInFlight, this->judgedBad, switched,
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

Duration VersionMove::switchTime(TimePoint now) const
{
    const double elapsed = std::max(toSeconds(now - this->orderedAt), 0.001);
    const double perSecond = static_cast<double>(this->totalArrivals()) / elapsed;
    const double expected = perSecond * toSeconds(this->moveOrder.span);
    const double allowed = exposureSafety * (this->settings.mostExposed * expected + this->settings.exposedAllowance);
    const double left = std::max(0.0, allowed - static_cast<double>(this->canaryRequests()));
    const Duration time = perSecond > 0 ? fromSeconds(left / perSecond) : this->settings.maxSwitchTime;
    return std::clamp(time, 2 * this->settings.completionMargin, this->settings.maxSwitchTime);
}

bool VersionMove::isDrained(uint64_t oldInFlight, size_t otherNodes) const
{
    return oldInFlight == 0 && this->peers.size() >= otherNodes
        && std::all_of(
            this->peers.begin(), this->peers.end(), [](const auto& item) { return item.second.switched && item.second.oldInFlight == 0; });
}

MoveState VersionMove::advance(uint64_t oldInFlight, size_t otherNodes, TimePoint now)
{
    if (this->current == MoveState::Completed || this->current == MoveState::Reverted)
        return this->current;
    this->judgedBad = this->judgedBad || this->isBad();
    if (this->judgedBad)
        this->current = MoveState::Reverted;
    else if (this->current == MoveState::Trying) {
        const bool proved = this->canaryRequests() >= this->settings.minCanaryRequests;
        if (proved && now >= this->deadline() - this->switchTime(now))
            this->current = MoveState::Switching;
        else if (now >= this->deadline() - this->settings.completionMargin)
            this->current = MoveState::Reverted; // too little was seen to move all
    } else if (this->isDrained(oldInFlight, otherNodes) || now >= this->deadline() - this->settings.completionMargin)
        this->current = MoveState::Completed;
    return this->current;
}

} // namespace guavapond::edge
