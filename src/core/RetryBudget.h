// Limits retries to a fraction of recent successes, and tells refused callers when to come back, so that retries never multiply a surge.
//
// Index
//   RetrySettings
//   RetryBudget    takeRetry, backOff, retryAfter
#pragma once

#include "core/Types.h"

#include <functional>

namespace guavapond {

struct RetrySettings {
    double retryFraction = 0.1; // retries earned by each success
    double tricklePerSecond = 0.2; // retries/s earned without successes, so that a quiet node can retry at all
    double leastBurst = 3; // retries that can always be saved up
    Duration recent = std::chrono::seconds(10); // half-life of the counts of successes
    Duration firstBackOff = std::chrono::milliseconds(100); // upper bound before the first retry; doubles with each attempt
    Duration maxBackOff = std::chrono::seconds(10);
    Duration leastRetryAfter = std::chrono::seconds(1); // hint on an idle node
    Duration maxRetryAfter = std::chrono::minutes(2);
    double returnFraction = 0.5; // refused callers are told to return at this fraction of the rate of successes
    double spread = 0.5; // random addition to a hint, as a fraction of it
};

class RetryBudget {
public:
    // `random` returns a uniform number below its argument.
    RetryBudget(const RetrySettings& settings, std::function<uint64_t(uint64_t)> random);

    void onSuccess(TimePoint now);
    bool takeRetry(TimePoint now); // true: a retry is allowed and paid for
    Duration backOff(uint32_t attempt); // before retry number `attempt`, from 1; random up to an exponential bound
    // When a refused caller should come back. `queueTime` is how long the queue needs to drain. Each call books a return time of its own
    // at a rate that the node can serve, so that callers who were refused together do not come back together.
    Duration retryAfter(Duration queueTime, TimePoint now);
    double successesPerSecond(TimePoint now) const;

private:
    void advance(TimePoint now);
    Duration randomUpTo(Duration bound);

    RetrySettings settings;
    std::function<uint64_t(uint64_t)> random;
    double tokens; // retries that may be taken now; at most a fraction of the recent successes, or leastBurst
    double recentSuccesses = 0; // count that fades with settings.recent
    std::optional<TimePoint> updated;
    TimePoint nextReturn = TimePoint::min(); // booked for the last refused caller
};

} // namespace guavapond
