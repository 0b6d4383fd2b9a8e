// Judges the new version of a running move against the old one over the same time, by failures and by latency.
//
// Index
//   JudgeSettings     criteria, error rates and bounds
//   VersionSample     one ended request
//   VersionVerdict    what is known about the new version
//   SequentialTest    Wald's sequential probability ratio test of a rate, repeated with a bounded total error
//   VersionJudge      one instance per move
//
// Invariants: a Bad verdict is final. Memory is bounded by JudgeSettings::maxRoutes.
#pragma once

#include "core/Types.h"

#include <array>

namespace guavapond {

struct JudgeSettings {
    double badFailureRate = 0.02;                      // failures above the old version's that make the new one bad
    double badLatencyRatio = 1.5;                      // latency against the old version's that makes the new one bad
    double goodRolledBack = 0.01;                      // most good versions judged bad, over all tests of a move
    double badMissed = 0.01;                           // most bad versions accepted by the first run of the tests of all routes together
    double badMissedOnRoute = 0.1;                     // most accepted by the first run of one route's tests; watching goes on
    size_t maxRoutes = 7;                              // routes judged apart; others count in the whole only
    double routeForGood = 0.1;                         // part of the traffic from which a route has to pass before Good
    Duration latencyMaxAge = std::chrono::seconds(60); // age up to which an old version's latency is compared
};

enum class VersionSide : uint8_t {
    Old,
    New,
};

struct VersionSample {
    VersionSide side = VersionSide::Old;
    std::string_view route; // chat, completion, or the prefix of a service's path
    // None: whole. Failures that are the request's own do not count; neither do requests without a dispatch.
    std::optional<FailureKind> failure {};
    bool faultOfRequest = false; // the target refused the request itself (4xx)
    uint32_t promptTokens = 0;
    std::optional<Duration> firstToken {};   // µs from dispatch; for a service the whole call
    std::optional<Duration> timePerToken {}; // µs; after the first token
};

enum class VerdictKind : uint8_t {
    Undecided,
    Good,
    Bad,
};
std::string_view verdictName(VerdictKind kind);

enum class BadReason : uint8_t {
    None,
    Failures,
    FirstToken,
    TimePerToken,
};
std::string_view badReasonName(BadReason reason);

struct VersionVerdict {
    VerdictKind kind = VerdictKind::Undecided;
    BadReason reason = BadReason::None;
    std::string route; // of Bad; "all": the routes together
};

// Each decision for the low rate starts the test again, so that a version that turns bad later is found without outweighing its past.
// Run k uses the error rate `falseHigh` / (k (k + 1)), which sums to `falseHigh` over all runs.
class SequentialTest {
public:
    void add(bool event, double lowRate, double highRate, double falseHigh, double falseLow);
    bool isHigh() const { return this->high; }
    uint64_t passes() const { return this->run - 1; }                     // decisions for the low rate
    bool hasReached(double ratio) const { return this->lowest <= ratio; } // log likelihood ratio, at any time

private:
    double logRatio = 0;
    double lowest = 0; // logRatio's
    uint64_t run = 1;
    bool high = false;
};

class VersionJudge {
public:
    explicit VersionJudge(const JudgeSettings& settings);

    void add(const VersionSample& sample, TimePoint now);
    const VersionVerdict& verdict() const { return this->current; }
    uint64_t newSamples() const { return this->samples; } // that count, of the new version

private:
    static constexpr size_t lengthClasses = 10; // by powers of two of the prompt's length
    static constexpr size_t recentOld = 31;     // latencies of the old version kept for each class
    struct Latency {
        double value = 0;
        TimePoint at {};
    };
    struct LatencyClass {
        std::array<Latency, recentOld> recent {};
        uint64_t count = 0;
        size_t comparisons = 0; // still allowed against the values held
    };
    struct LatencyTest {
        std::array<LatencyClass, lengthClasses> classes {};
        SequentialTest test;
        uint64_t compared = 0;
    };
    struct Route {
        std::string name;
        double oldLong = 0;      // failure rate of the old version over many requests
        double oldShort = 0;     // over the last ones
        uint64_t oldSamples = 0; // requests
        uint64_t newSamples = 0; // requests
        SequentialTest slightFailures;
        SequentialTest heavyFailures;
        LatencyTest firstToken;
        LatencyTest timePerToken;
    };

    Route* routeFor(std::string_view name);
    void addTo(Route& route, const VersionSample& sample, TimePoint now);
    void addFailure(Route& route, VersionSide side, bool failed);
    void addLatency(LatencyTest& test, VersionSide side, size_t lengthClass, double value, TimePoint now);
    bool hasPassed(const Route& route) const;
    void conclude(const Route& route);
    double errorOfOneTest() const;

    JudgeSettings settings;
    std::vector<Route> routes; // the first one holds all requests
    VersionVerdict current;
    uint64_t samples = 0;
};

} // namespace guavapond
