// Weighs failed answers of a target against those of the others.
#include "scheduling/Ejection.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace guavapond::edge {

namespace {

constexpr uint32_t judgedAnswers = 12;  // newest answers of a target that decide on a pause
constexpr uint32_t failuresToPause = 4; // failed ones among them that pause the target
constexpr uint32_t judgedAnswersMask = (1U << judgedAnswers) - 1;
constexpr double newestAnswerWeight = 0.15;      // in failedShare; most in the mean, which a slow target's few answers make up
constexpr double failedShareHalfLifeSeconds = 3; // without an answer; lets the target be tried again
constexpr double meanSeconds = 0.5;              // time constant of the mean; chance moves it less the more answers it holds
constexpr double clearlyWorse = 0.15;            // difference of means from which on leaving the target serves callers
constexpr uint32_t maxDoublings = 5;             // of a pause; keeps its length in range

} // namespace

bool isOutOfReach(TargetOutcome outcome)
{
    return outcome == TargetOutcome::Unreachable || outcome == TargetOutcome::Broken || outcome == TargetOutcome::Silent;
}

bool isFailedAnswer(TargetOutcome outcome) { return outcome == TargetOutcome::Failed || outcome == TargetOutcome::BrokenOff; }

void Pause::begin(const EjectionBounds& bounds, TimePoint now)
{
    const Duration length = bounds.firstPause * (1 << std::min(this->failures, maxDoublings));
    ++this->failures;
    this->until = now + std::min(length, bounds.longestPause);
    this->probation = true;
}

void AnswerHistory::record(TargetOutcome outcome, TimePoint now)
{
    const double elapsed = std::max(toSeconds(now - this->updatedAt), 0.0);
    const double meanWeight = std::min(newestAnswerWeight, 1 - std::exp(-elapsed / meanSeconds));
    const bool isFailed = isFailedAnswer(outcome);
    this->failedShare = this->expectedFailures(now);
    this->failedShare += newestAnswerWeight * ((outcome == TargetOutcome::Answered ? 0.0 : 1.0) - this->failedShare);
    this->mean += meanWeight * ((isFailed ? 1.0 : 0.0) - this->mean);
    this->updatedAt = now;
    this->recentFailures = ((this->recentFailures << 1) | (isFailed ? 1U : 0U)) & judgedAnswersMask;
}

double AnswerHistory::expectedFailures(TimePoint now) const
{
    return this->failedShare * std::exp2(-toSeconds(now - this->updatedAt) / failedShareHalfLifeSeconds);
}

bool AnswerHistory::hasManyFailures() const { return std::popcount(this->recentFailures) >= static_cast<int>(failuresToPause); }

bool ejectsForAnswers(const AnswerHistory& history, const OtherTargets& others, const EjectionBounds& bounds)
{
    if (!history.hasManyFailures())
        return false;
    // Where the others fail as well, leaving this one gains callers nothing and takes its room.
    const bool isWorse
        = others.meanFailures == 0 || history.meanFailures() > others.meanFailures + std::min(clearlyWorse, others.meanFailures);
    return isWorse && static_cast<double>(others.paused + 1) <= bounds.maxPausedShare * static_cast<double>(others.total);
}

} // namespace guavapond::edge
