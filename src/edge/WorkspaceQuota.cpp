// Shared token buckets.
#include "edge/WorkspaceQuota.h"

#include <algorithm>
#include <xxhash.h>

namespace guavapond::edge {

namespace {

// A process that just started does not know what its predecessor and its peers dispatched a moment ago.
constexpr double levelAtStart = 0.3; // part of the burst

} // namespace

uint64_t nameHash(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

void WorkspaceQuota::fill(Bucket& bucket, const Workspace& workspace, TimePoint now) const
{
    const double burst = workspace.burst * this->reachable;
    if (!bucket.filledAt)
        bucket.level += burst * levelAtStart;
    const TimePoint since = bucket.filledAt.value_or(this->started);
    bucket.level += toSeconds(now - since) * workspace.ratePerSecond * this->reachable;
    bucket.level = std::min(bucket.level, burst);
    bucket.burst = burst;
    bucket.filledAt = now;
}

QuotaVerdict WorkspaceQuota::take(const Workspace& workspace, uint64_t tokens, TimePoint now)
{
    Bucket& bucket = this->buckets[nameHash(workspace.name)];
    if (workspace.ratePerSecond <= 0) {
        bucket.used += tokens;
        return {};
    }
    this->fill(bucket, workspace, now);
    // A request larger than the whole burst passes when the bucket is full; its debt delays the next ones.
    const double needed = std::min(static_cast<double>(tokens), bucket.burst);
    if (bucket.level < needed) {
        const double rate = workspace.ratePerSecond * std::max(this->reachable, 0.01);
        return { false, fromSeconds((needed - bucket.level) / rate) };
    }
    bucket.level -= static_cast<double>(tokens);
    bucket.used += tokens;
    return {};
}

void WorkspaceQuota::refund(const Workspace& workspace, uint64_t tokens)
{
    Bucket& bucket = this->buckets[nameHash(workspace.name)];
    bucket.level += static_cast<double>(tokens);
    bucket.used -= std::min(bucket.used, tokens);
}

void WorkspaceQuota::peerUsed(uint64_t workspaceHash, int64_t tokens)
{
    Bucket& bucket = this->buckets[workspaceHash];
    bucket.level -= static_cast<double>(tokens);
    // One burst of debt is enough to hold back what the peers have already dispatched.
    if (bucket.filledAt)
        bucket.level = std::max(bucket.level, -bucket.burst);
}

std::vector<WorkspaceQuota::Use> WorkspaceQuota::uses() const
{
    std::vector<Use> result;
    for (const auto& [hash, bucket] : this->buckets) {
        if (bucket.used > 0)
            result.push_back({ hash, bucket.used });
    }
    return result;
}

} // namespace guavapond::edge
