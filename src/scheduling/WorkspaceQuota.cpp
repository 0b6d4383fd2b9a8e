// Counts the dispatched tokens of each workspace in a sliding window of time slices, and applies a token bucket on top of it.
#include "scheduling/WorkspaceQuota.h"

#include <algorithm>
#include <xxhash.h>

namespace guavapond::edge {

namespace {

// A process that just started does not know what its predecessor and its peers dispatched shortly before.
constexpr double initialBurstShare = 0.3;   // of the burst; the rest of the limit counts as dispatched in the window before the start
constexpr double urgentReserveShare = 0.15; // of the burst
constexpr int64_t reportSlices = 4;         // latest complete slices; their reports give the number of peers that use a workspace
constexpr double maxRetryFactor = 4.0;      // largest factor applied to retryAfter where callers request far more than the limit

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
    for (int cleared = 0; bucket.newest < slice && cleared < static_cast<int>(bucket.recent.size()); ++cleared)
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

bool WorkspaceQuota::exceedsOwnShare(const Bucket& bucket, double remaining, double requested) const
{
    if (this->reportInterval == Duration::zero())
        return false;
    double reports = 0;
    for (int64_t slice = bucket.newest - reportSlices; slice < bucket.newest; ++slice)
        reports += bucket.recent[static_cast<size_t>(std::max<int64_t>(slice, 0)) % bucket.recent.size()].reports;
    const double intervals = toSeconds(this->window) * reportSlices / slices / toSeconds(this->reportInterval);
    const double nodes = 1 + reports / std::max(intervals, 1.0);
    const auto unreported = static_cast<double>(bucket.used - std::min(bucket.used, bucket.reported));
    return unreported + requested > std::max(remaining, 0.0) / nodes;
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
        bucket.level += bucket.burst * initialBurstShare;
        // The usage before the start is unknown for all nodes, however few of them are reachable yet: it counts as the whole limit, of
        // which scaledToReachable() takes this node's part.
        const double unknownUsage = workspace.ratePerSecond * toSeconds(this->window) + workspace.burst * (1 - initialBurstShare);
        const double unknownPerSlice = std::max(0.0, unknownUsage) / slices;
        const int64_t startSlice = this->sliceOf(this->started);
        for (int64_t slice = std::max(bucket.newest - static_cast<int64_t>(slices), startSlice - static_cast<int64_t>(slices));
             slice < startSlice; ++slice) {
            bucket.recent[static_cast<size_t>(slice) % bucket.recent.size()].dispatched += unknownPerSlice;
        }
    }
    const TimePoint since = bucket.filledAt.value_or(this->started);
    bucket.level = std::min(bucket.level + toSeconds(now - since) * limit / toSeconds(this->window), bucket.burst);
    bucket.filledAt = now;
}

Duration WorkspaceQuota::timeUntilCapacity(const Bucket& bucket, const Slice& sum, double needed, double limit) const
{
    const double secondsUntilLevel = (needed - bucket.level) / (limit / toSeconds(this->window));
    // The oldest slices leave the window first.
    double excess = sum.dispatched + needed - limit;
    int64_t slice = bucket.newest - static_cast<int64_t>(slices);
    for (; slice <= bucket.newest && excess > 0; ++slice)
        excess -= this->scaledToReachable(bucket.recent[static_cast<size_t>(slice) % bucket.recent.size()]);
    const auto expiringSlices = static_cast<double>(slice - bucket.newest + static_cast<int64_t>(slices));
    const double secondsUntilWindow = expiringSlices * toSeconds(this->window) / slices;
    const double requestRatio = 1 + sum.refused / std::max(sum.dispatched, 1.0);
    return fromSeconds(std::max({ secondsUntilLevel, secondsUntilWindow, 0.0 }) * std::min(requestRatio, maxRetryFactor));
}

QuotaVerdict WorkspaceQuota::take(const Workspace& workspace, uint64_t tokens, bool urgent, TimePoint now)
{
    Bucket& bucket = this->buckets[nameHash(workspace.name)];
    const auto requested = static_cast<double>(tokens);
    if (workspace.ratePerSecond <= 0) {
        bucket.used += tokens;
        return {};
    }
    this->refill(bucket, workspace, now);
    const double limit = this->windowLimit(workspace);
    const double urgentReserve = urgent ? 0 : bucket.burst * urgentReserveShare;
    // A request larger than the burst is allowed when the bucket is full; the negative level delays the next ones.
    const double needed = std::min(requested + urgentReserve, bucket.burst);
    const Slice sum = this->inWindow(bucket);
    const bool isShareExceeded = this->exceedsOwnShare(bucket, limit - sum.dispatched, requested);
    if (isShareExceeded || bucket.level < needed || sum.dispatched + std::min(requested + urgentReserve, limit) > limit) {
        const Duration wait
            = std::max(this->timeUntilCapacity(bucket, sum, needed, limit), isShareExceeded ? this->reportInterval : Duration::zero());
        newestSlice(bucket).refused += requested;
        return { false, wait, bucket.level, sum.dispatched };
    }
    bucket.level -= requested;
    bucket.used += tokens;
    this->count(bucket, requested, now);
    return { true, Duration::zero(), bucket.level, sum.dispatched + requested };
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
    // The debt is limited to one burst, which is enough to offset what the peers have already dispatched.
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
