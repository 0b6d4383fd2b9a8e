// Sequential tests of failures and latencies.
#include "core/VersionJudge.h"

#include <algorithm>
#include <cmath>

namespace guavapond {

namespace {

constexpr std::string_view allRoutes = "all";
constexpr size_t testsOfRoute = 4;        // two of failures, two of latency
constexpr uint64_t leastOldSamples = 100; // requests of the old version before failures are compared
constexpr size_t leastOldLatencies = 9;   // of one class, before latencies are compared
constexpr double longWindow = 2000;       // requests
constexpr double shortWindow = 100;       // requests; follows a fault that hits both versions
// New latencies compared for each one of the old version. Without this bound a median that is wrong by chance is used again and again when
// the old version has little traffic left: 1 of 100 good moves was rolled back.
constexpr size_t comparisonsPerOld = 2;
constexpr double lowestFailureRate = 0.002; // keeps a single failure from deciding when the old version had none
constexpr double highestFailureRate = 0.95;
constexpr double heavyFailureRate = 0.3; // above the old version's: found after a few requests
// Part of the new version's latencies above the old version's median times the square root of the bad ratio. Equal versions stay well
// below the low rate; a version slower by the bad ratio is above the high rate unless the spread exceeds a factor of 2.2.
constexpr double lowSlowPart = 0.45;
constexpr double highSlowPart = 0.6;
constexpr uint32_t promptOffset = 256; // tokens; fixed part of the time to the first token
constexpr uint32_t shortestClass = 64; // tokens

// Failures that a target's version can cause. The rest are refusals, cancellations and faults of the path.
bool countsAgainstVersion(FailureKind kind)
{
    return kind == FailureKind::TargetFailed || kind == FailureKind::StreamCut || kind == FailureKind::DeadlineExceeded;
}

size_t lengthClassOf(uint32_t promptTokens, size_t classes)
{
    size_t found = 0;
    for (uint32_t rest = promptTokens / shortestClass; rest > 0 && found + 1 < classes; rest /= 2)
        ++found;
    return found;
}

} // namespace

std::string_view verdictName(VerdictKind kind)
{
    constexpr std::array<std::string_view, 3> names { "undecided", "good", "bad" };
    return names[static_cast<size_t>(kind)];
}

std::string_view badReasonName(BadReason reason)
{
    constexpr std::array<std::string_view, 4> names { "none", "failures", "first_token", "time_per_token" };
    return names[static_cast<size_t>(reason)];
}

// ---- SequentialTest
void SequentialTest::add(bool event, double lowRate, double highRate, double falseHigh, double falseLow)
{
    this->logRatio += event ? std::log(highRate / lowRate) : std::log((1 - highRate) / (1 - lowRate));
    auto k = static_cast<double>(this->run);
    this->lowest = std::min(this->lowest, this->logRatio);
    if (this->logRatio >= std::log(k * (k + 1) / falseHigh))
        this->high = true;
    if (this->logRatio <= std::log(falseLow)) {
        this->logRatio = 0;
        ++this->run;
    }
}

// ---- VersionJudge
VersionJudge::VersionJudge(const JudgeSettings& s)
    : settings(s)
{
    this->routes.reserve(s.maxRoutes + 1);
    this->routes.emplace_back().name = allRoutes;
}

double VersionJudge::errorOfOneTest() const
{
    return this->settings.goodRolledBack / static_cast<double>(testsOfRoute * (this->settings.maxRoutes + 1));
}

VersionJudge::Route* VersionJudge::routeFor(std::string_view name)
{
    auto found = std::find_if(this->routes.begin() + 1, this->routes.end(), [&](const Route& route) { return route.name == name; });
    if (found != this->routes.end())
        return &*found;
    if (this->routes.size() > this->settings.maxRoutes)
        return nullptr;
    Route& added = this->routes.emplace_back();
    added.name = name;
    return &added;
}

void VersionJudge::add(const VersionSample& sample, TimePoint now)
{
    bool counts = !sample.failure || (countsAgainstVersion(*sample.failure) && !sample.faultOfRequest);
    if (!counts || this->current.kind == VerdictKind::Bad)
        return;
    if (sample.side == VersionSide::New)
        ++this->samples;
    if (Route* route = this->routeFor(sample.route))
        this->addTo(*route, sample, now);
    if (this->current.kind != VerdictKind::Bad)
        this->addTo(this->routes.front(), sample, now);
}

void VersionJudge::addTo(Route& route, const VersionSample& sample, TimePoint now)
{
    this->addFailure(route, sample.side, sample.failure.has_value());
    size_t lengthClass = lengthClassOf(sample.promptTokens, lengthClasses);
    // Routes differ in latency, so a changing mix of routes would look like a change of the version: no latencies for all together.
    bool comparesLatency = &route != &this->routes.front();
    if (comparesLatency && sample.firstToken) {
        double perToken = static_cast<double>(sample.firstToken->count()) / (sample.promptTokens + promptOffset);
        this->addLatency(route.firstToken, sample.side, lengthClass, perToken, now);
    }
    if (comparesLatency && sample.timePerToken)
        this->addLatency(route.timePerToken, sample.side, lengthClass, static_cast<double>(sample.timePerToken->count()), now);
    if (sample.side == VersionSide::New)
        this->conclude(route);
}

void VersionJudge::addFailure(Route& route, VersionSide side, bool failed)
{
    double value = failed ? 1 : 0;
    if (side == VersionSide::Old) {
        auto count = static_cast<double>(++route.oldSamples);
        route.oldLong += (value - route.oldLong) / std::min(count, longWindow);
        route.oldShort += (value - route.oldShort) / std::min(count, shortWindow);
        return;
    }
    ++route.newSamples;
    if (route.oldSamples < leastOldSamples)
        return;
    // One more failure and one standard error above the estimate: an estimate that is too low would make equal versions look worse than the
    // old one.
    auto count = std::min(static_cast<double>(route.oldSamples), longWindow);
    double estimate = std::max(route.oldLong + 1 / count, lowestFailureRate);
    double upper = estimate + std::sqrt(estimate * (1 - estimate) / count);
    double low = std::clamp(std::max(upper, route.oldShort), lowestFailureRate, highestFailureRate);
    double slight = std::min(low + this->settings.badFailureRate, (1 + highestFailureRate) / 2);
    double heavy = std::min(low + std::max(heavyFailureRate, this->settings.badFailureRate), (1 + highestFailureRate) / 2);
    route.slightFailures.add(failed, low, slight, this->errorOfOneTest(), this->settings.badMissed);
    route.heavyFailures.add(failed, low, heavy, this->errorOfOneTest(), this->settings.badMissed);
}

void VersionJudge::addLatency(LatencyTest& test, VersionSide side, size_t lengthClass, double value, TimePoint now)
{
    LatencyClass& old = test.classes[lengthClass];
    if (side == VersionSide::Old) {
        old.recent[old.count++ % recentOld] = { value, now };
        old.comparisons = std::min(old.comparisons + comparisonsPerOld, recentOld);
        return;
    }
    std::array<double, recentOld> fresh {};
    size_t count = 0;
    for (size_t i = 0; i < std::min<uint64_t>(old.count, recentOld); ++i) {
        if (now - old.recent[i].at <= this->settings.latencyMaxAge)
            fresh[count++] = old.recent[i].value;
    }
    if (count < leastOldLatencies || old.comparisons == 0)
        return;
    --old.comparisons;
    auto middle = fresh.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(fresh.begin(), middle, fresh.begin() + static_cast<std::ptrdiff_t>(count));
    bool slow = value > *middle * std::sqrt(this->settings.badLatencyRatio);
    ++test.compared;
    test.test.add(slow, lowSlowPart, highSlowPart, this->errorOfOneTest(), this->settings.badMissed);
}

bool VersionJudge::hasPassed(const Route& route) const
{
    // One route sees part of the traffic only. A looser bound lets a good version be proved in time; a route that is bad after all is
    // found by the runs that follow.
    double bound = std::log(&route == &this->routes.front() ? this->settings.badMissed : this->settings.badMissedOnRoute);
    auto passed = [&](const LatencyTest& test) { return test.compared == 0 || test.test.hasReached(bound); };
    return route.slightFailures.hasReached(bound) && passed(route.firstToken) && passed(route.timePerToken);
}

void VersionJudge::conclude(const Route& route)
{
    BadReason reason = route.slightFailures.isHigh() || route.heavyFailures.isHigh() ? BadReason::Failures
        : route.firstToken.test.isHigh()                                             ? BadReason::FirstToken
        : route.timePerToken.test.isHigh()                                           ? BadReason::TimePerToken
                                                                                     : BadReason::None;
    if (reason != BadReason::None) {
        this->current = { VerdictKind::Bad, reason, route.name };
        return;
    }
    if (this->current.kind == VerdictKind::Good || !this->hasPassed(this->routes.front()))
        return;
    double needed = this->settings.routeForGood * static_cast<double>(this->routes.front().newSamples);
    bool all = std::all_of(this->routes.begin() + 1, this->routes.end(),
        [&](const Route& r) { return static_cast<double>(r.newSamples) < needed || this->hasPassed(r); });
    if (all)
        this->current.kind = VerdictKind::Good;
}

} // namespace guavapond
