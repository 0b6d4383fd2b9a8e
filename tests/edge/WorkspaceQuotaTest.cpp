// Tests of the shared token rates, with several nodes that hear of each other late or not at all.
#include "edge/WorkspaceQuota.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {};

Workspace workspace(double rate, double burst)
{
    Workspace result;
    result.name = "inspectors";
    result.ratePerSecond = rate;
    result.burst = burst;
    return result;
}

// Tokens that `nodes` nodes dispatch in `span` when callers ask for more than the rate; reports reach peers after `delay`, or never.
double dispatched(size_t nodes, Duration span, std::optional<Duration> delay, double share)
{
    const Workspace limited = workspace(100000, 100000);
    std::vector<WorkspaceQuota> quotas(nodes, WorkspaceQuota(start));
    struct Report {
        TimePoint at;
        size_t from;
        int64_t tokens;
    };
    std::vector<Report> reports;
    double total = 0;
    const TimePoint warm = start + 20s; // buckets are full
    for (TimePoint now = warm; now < warm + span; now += 5ms) {
        for (size_t node = 0; node < nodes; ++node) {
            quotas[node].setReachable(share);
            if (!quotas[node].take(limited, 3000, now).allowed)
                continue;
            total += 3000;
            if (delay)
                reports.push_back({ now + *delay, node, 3000 });
        }
        for (Report& report : reports) {
            if (report.tokens == 0 || report.at > now)
                continue;
            for (size_t node = 0; node < nodes; ++node) {
                if (node != report.from)
                    quotas[node].peerUsed(nameHash(limited.name), report.tokens);
            }
            report.tokens = 0;
        }
    }
    return total;
}

} // namespace

TEST_GROUP(WorkspaceQuota) {};

// Guards against nodes that each grant the whole rate.
TEST(WorkspaceQuota, HoldsOverAllNodesWhileTheyTalk)
{
    const double bound = 100000.0 * 8 + 100000; // rate x 8 s + burst
    const double total = dispatched(5, 8s, 40ms, 1);
    CHECK(total <= bound * 1.1);
    CHECK(total >= bound * 0.9);
}

// Guards against nodes that are cut off from each other and together grant more than the rate.
TEST(WorkspaceQuota, HoldsOverAllNodesWhileTheyAreCutOff)
{
    const double bound = 100000.0 * 8 + 100000;
    CHECK(dispatched(5, 8s, std::nullopt, 0.2) <= bound * 1.1);
}

// Guards against a caller that is told to come back too early, and against refunds that are lost.
TEST(WorkspaceQuota, TellsWhenEnoughIsBackAndTakesRefunds)
{
    const Workspace limited = workspace(1000, 1000);
    WorkspaceQuota quota(start);
    const TimePoint now = start + 10s;
    CHECK(quota.take(limited, 1000, now).allowed);
    const QuotaVerdict refused = quota.take(limited, 500, now);
    CHECK_FALSE(refused.allowed);
    CHECK(refused.retryAfter == 500ms);
    CHECK(quota.take(limited, 500, now + refused.retryAfter).allowed);
    quota.refund(limited, 500);
    CHECK(quota.take(limited, 500, now + refused.retryAfter).allowed);
}

// Guards against a request larger than the burst that is refused for ever.
TEST(WorkspaceQuota, LetsALargeRequestPassWhenTheBucketIsFull)
{
    const Workspace limited = workspace(1000, 1000);
    WorkspaceQuota quota(start);
    CHECK(quota.take(limited, 5000, start + 10s).allowed);
    CHECK_FALSE(quota.take(limited, 1, start + 11s).allowed);
    CHECK(quota.take(limited, 1, start + 15s).allowed);
}

// Guards against a rate of zero being taken for "nothing" instead of "no limit".
TEST(WorkspaceQuota, ZeroRateIsNoLimit)
{
    WorkspaceQuota quota(start);
    CHECK(quota.take(workspace(0, 0), 1000000, start).allowed);
}
