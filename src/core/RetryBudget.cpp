// Token bucket of retries and paced retry-after hints.
#include "core/RetryBudget.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numbers>

namespace guavapond {

namespace {

constexpr uint32_t maxDoublings = 20; // keeps the shift of the back-off in range
constexpr double leastReturnRate = 1; // callers/s; pace of returns before anything succeeded

} // namespace

RetryBudget::RetryBudget(const RetrySettings& s, std::function<uint64_t(uint64_t)> randomBelow)
    : settings(s)
    , random(std::move(randomBelow))
    , tokens(s.leastBurst)
{
    assert(s.leastRetryAfter <= s.maxRetryAfter && s.firstBackOff > Duration::zero());
}

void RetryBudget::advance(TimePoint now)
{
    if (this->updated && now > *this->updated) {
        double elapsed = toSeconds(now - *this->updated);
        this->recentSuccesses *= std::exp2(-elapsed / toSeconds(this->settings.recent));
        this->tokens += elapsed * this->settings.tricklePerSecond;
    }
    this->updated = this->updated ? std::max(*this->updated, now) : now;
    double burst = std::max(this->settings.leastBurst, this->recentSuccesses * this->settings.retryFraction);
    this->tokens = std::min(this->tokens, burst);
}

void RetryBudget::onSuccess(TimePoint now)
{
    this->advance(now);
    this->recentSuccesses += 1;
    this->tokens += this->settings.retryFraction; // advance() applies the bound
}

bool RetryBudget::takeRetry(TimePoint now)
{
    this->advance(now);
    if (this->tokens < 1)
        return false;
    this->tokens -= 1;
    return true;
}

Duration RetryBudget::randomUpTo(Duration bound)
{
    return Duration(static_cast<int64_t>(this->random(static_cast<uint64_t>(bound.count()) + 1)));
}

Duration RetryBudget::backOff(uint32_t attempt)
{
    Duration bound = this->settings.firstBackOff * (int64_t { 1 } << std::min(std::max(attempt, 1U) - 1, maxDoublings));
    bound = std::min(bound, this->settings.maxBackOff);
    // At least half of the bound: a back-off near zero would repeat the attempt into the same fault.
    return bound / 2 + this->randomUpTo(bound - bound / 2);
}

double RetryBudget::successesPerSecond(TimePoint now) const
{
    if (!this->updated)
        return 0;
    double elapsed = std::max(0.0, toSeconds(now - *this->updated));
    double halfLife = toSeconds(this->settings.recent);
    return this->recentSuccesses * std::exp2(-elapsed / halfLife) * std::numbers::ln2 / halfLife;
}

Duration RetryBudget::retryAfter(Duration queueTime, TimePoint now)
{
    double rate = std::max(this->successesPerSecond(now) * this->settings.returnFraction, leastReturnRate);
    TimePoint earliest = now + std::max(queueTime, this->settings.leastRetryAfter);
    TimePoint latest = now + this->settings.maxRetryAfter;
    this->nextReturn = std::max(this->nextReturn + fromSeconds(1 / rate), earliest);
    if (this->nextReturn >= latest) {
        // More callers than the bound can space out: spread them over its second half.
        this->nextReturn = latest;
        return this->settings.maxRetryAfter / 2 + this->randomUpTo(this->settings.maxRetryAfter / 2);
    }
    Duration hint = this->nextReturn - now;
    Duration spread = this->randomUpTo(fromSeconds(toSeconds(hint) * this->settings.spread));
    return std::min(hint + spread, this->settings.maxRetryAfter);
}

} // namespace guavapond
