// Counts of tokens by slices of time.
#include "edge/WorkspaceQuota.h"

#include <algorithm>
#include <xxhash.h>

namespace guavapond::edge {

namespace {

// A process that just started does not know what its predecessor and its peers dispatched a moment ago.
constexpr double unusedAtStart = 0.3;  // of the burst; all else counts as dispatched in the window before the start
constexpr double keptForUrgent = 0.15; // of the burst
constexpr int64_t slicesOfReports = 4; // over which peers that use a workspace are counted
constexpr double longestStretch = 4.0; // of the time until there is room, where callers ask for far more than they may

} // namespace

uint64_t nameHash(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

void WorkspaceQuota::setWindow(Duration value)
{
    if (value == this->window)
        return;
    this->window = value;
    for (auto& [workspace, bucket] : this->buckets) {
        bucket.recent = {};
        bucket.newest = 0;
    }
}

void WorkspaceQuota::advance(Bucket& bucket, TimePoint now) const
{
    const int64_t slice = this->sliceOf(now);
    for (int passed = 0; bucket.newest < slice && passed < static_cast<int>(bucket.recent.size()); ++passed)
        bucket.recent[static_cast<size_t>(++bucket.newest) % bucket.recent.size()] = {};
    bucket.newest = slice;
}

WorkspaceQuota::Slice& WorkspaceQuota::newestSlice(Bucket& bucket)
{
    return bucket.recent[static_cast<size_t>(bucket.newest) % bucket.recent.size()];
}

void WorkspaceQuota::count(Bucket& bucket, double tokens, TimePoint now) const
{
    this->advance(bucket, now);
    Slice& slice = newestSlice(bucket);
    slice.dispatched += tokens;
    slice.reachableShare = this->reachableShare;
}

WorkspaceQuota::Slice WorkspaceQuota::inWindow(const Bucket& bucket) const
{
    Slice sum;
    for (const Slice& slice : bucket.recent) {
        sum.dispatched += this->scaledToReachable(slice);
        sum.refused += slice.refused;
    }
    return sum;
}

bool WorkspaceQuota::exceedsOwnPart(const Bucket& bucket, double left, double asked) const
{
    if (this->reportInterval == Duration::zero())
        return false;
    double reports = 0;
    for (int64_t slice = bucket.newest - slicesOfReports; slice < bucket.newest; ++slice)
        reports += bucket.recent[static_cast<size_t>(std::max<int64_t>(slice, 0)) % bucket.recent.size()].reports;
    const double intervals = toSeconds(this->window) * slicesOfReports / slices / toSeconds(this->reportInterval);
    const double nodes = 1 + reports / std::max(intervals, 1.0);
    const auto unreported = static_cast<double>(bucket.used - std::min(bucket.used, bucket.reported));
    return unreported + asked > std::max(left, 0.0) / nodes;
}

void WorkspaceQuota::onUsageReported()
{
    for (auto& [workspace, bucket] : this->buckets)
        bucket.reported = bucket.used;
}

double WorkspaceQuota::windowLimit(const Workspace& workspace) const
{
    return (workspace.ratePerSecond * toSeconds(this->window) + workspace.burst) * this->reachableShare;
}

void WorkspaceQuota::refill(Bucket& bucket, const Workspace& workspace, TimePoint now) const
{
    this->advance(bucket, now);
    const double limit = this->windowLimit(workspace);
    bucket.burst = workspace.burst * this->reachableShare;
    if (!bucket.filledAt) {
        bucket.level += bucket.burst * unusedAtStart;
        // What all nodes dispatched before is unknown, however few of them are heard yet; `weighed` takes this node's part.
        const double whole = workspace.ratePerSecond * toSeconds(this->window) + workspace.burst * (1 - unusedAtStart);
        const double unknown = std::max(0.0, whole) / slices;
        const int64_t startSlice = this->sliceOf(this->started);
        for (int64_t slice = std::max(bucket.newest - static_cast<int64_t>(slices), startSlice - static_cast<int64_t>(slices));
             slice < startSlice; ++slice) {
            bucket.recent[static_cast<size_t>(slice) % bucket.recent.size()].dispatched += unknown;
        }
    }
    const TimePoint since = bucket.filledAt.value_or(this->started);
    bucket.level = std::min(bucket.level + toSeconds(now - since) * limit / toSeconds(this->window), bucket.burst);
    bucket.filledAt = now;
}

Duration WorkspaceQuota::timeUntilCapacity(const Bucket& bucket, const Slice& sum, double needed, double limit) const
{
    const double ofLevel = (needed - bucket.level) / (limit / toSeconds(this->window));
    // The oldest slices leave the window first.
    double over = sum.dispatched + needed - limit;
    int64_t slice = bucket.newest - static_cast<int64_t>(slices);
    for (; slice <= bucket.newest && over > 0; ++slice)
        over -= this->scaledToReachable(bucket.recent[static_cast<size_t>(slice) % bucket.recent.size()]);
    const auto left = static_cast<double>(slice - bucket.newest + static_cast<int64_t>(slices));
    const double ofWindow = left * toSeconds(this->window) / slices;
    const double asked = 1 + sum.refused / std::max(sum.dispatched, 1.0);
    return fromSeconds(std::max({ ofLevel, ofWindow, 0.0 }) * std::min(asked, longestStretch));
}

QuotaVerdict WorkspaceQuota::take(const Workspace& workspace, uint64_t tokens, bool urgent, TimePoint now)
{
    Bucket& bucket = this->buckets[nameHash(workspace.name)];
    const auto asked = static_cast<double>(tokens);
    if (workspace.ratePerSecond <= 0) {
        bucket.used += tokens;
        return {};
    }
    this->refill(bucket, workspace, now);
    const double limit = this->windowLimit(workspace);
    const double kept = urgent ? 0 : bucket.burst * keptForUrgent;
    // A request larger than the whole burst passes when the bucket is full; its debt delays the next ones.
    const double needed = std::min(asked + kept, bucket.burst);
    const Slice sum = this->inWindow(bucket);
    const bool isAhead = this->exceedsOwnPart(bucket, limit - sum.dispatched, asked);
    if (isAhead || bucket.level < needed || sum.dispatched + std::min(asked + kept, limit) > limit) {
        const Duration wait
            = std::max(this->timeUntilCapacity(bucket, sum, needed, limit), isAhead ? this->reportInterval : Duration::zero());
        newestSlice(bucket).refused += asked;
        return { false, wait, bucket.level, sum.dispatched };
    }
    bucket.level -= asked;
    bucket.used += tokens;
    this->count(bucket, asked, now);
    return { true, Duration::zero(), bucket.level, sum.dispatched + asked };
}

void WorkspaceQuota::refund(const Workspace& workspace, uint64_t tokens, TimePoint now)
{
    Bucket& bucket = this->buckets[nameHash(workspace.name)];
    bucket.level += static_cast<double>(tokens);
    bucket.used -= std::min(bucket.used, tokens);
    this->count(bucket, -static_cast<double>(tokens), now);
}

void WorkspaceQuota::peerUsed(uint64_t workspaceHash, int64_t tokens, TimePoint now)
{
    Bucket& bucket = this->buckets[workspaceHash];
    bucket.level -= static_cast<double>(tokens);
    this->count(bucket, static_cast<double>(tokens), now);
    newestSlice(bucket).reports += tokens > 0 ? 1 : 0;
    // One burst of debt is enough to hold back what the peers have already dispatched.
    if (bucket.filledAt)
        bucket.level = std::max(bucket.level, -bucket.burst);
}

WorkspaceQuota::View WorkspaceQuota::view(const Workspace& workspace, TimePoint now) const
{
    const auto found = this->buckets.find(nameHash(workspace.name));
    if (found == this->buckets.end() || workspace.ratePerSecond <= 0)
        return {};
    Bucket bucket = found->second;
    this->refill(bucket, workspace, now);
    return { bucket.level, this->inWindow(bucket).dispatched, this->windowLimit(workspace) };
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
