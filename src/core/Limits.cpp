// Token buckets and concurrency limits, one entry per workspace and tier.
#include "core/Limits.h"

#include <algorithm>
#include <cassert>

namespace guavapond {

namespace {

size_t indexOf(WorkspaceId workspace, Tier tier) { return static_cast<size_t>(raw(workspace)) * tierCount + raw(tier); }

// Engine seconds per second with which the next start is estimated while this node's part is zero.
constexpr double leastRate = 1e-3;

bool hasBucket(const TierLimits& limits) { return limits.engineSecondsPerSecond > 0; }

} // namespace

Limits::Limits(const LimitsSettings& initial)
    : settings(initial)
{
}

void Limits::applyTable(const TableIndex& table, TimePoint now)
{
    size_t size = table.workspaceCount() * tierCount;
    if (size > this->entries.size())
        this->entries.resize(size);
    for (size_t w = 0; w < this->entries.size() / tierCount; ++w) {
        auto workspace = static_cast<WorkspaceId>(w);
        const WorkspaceRow* row = w < table.workspaceCount() ? table.row(workspace) : nullptr;
        for (size_t t = 0; t < tierCount; ++t) {
            auto& entry = this->entries[indexOf(workspace, static_cast<Tier>(t))];
            bool isNew = row && !entry.known;
            entry.known = row != nullptr;
            if (!row || (!isNew && entry.limits == row->tiers[t]))
                continue;
            // A bucket that had no rate before starts full, as a new one does.
            bool startFull = isNew || !hasBucket(entry.limits);
            refill(entry, now);
            entry.limits = row->tiers[t];
            entry.refilled = now;
            double burst = burstOf(entry);
            entry.engineSeconds = startFull ? burst : std::min(entry.engineSeconds, burst);
        }
    }
}

void Limits::setFactor(WorkspaceId workspace, Tier tier, double factor, TimePoint now)
{
    auto& entry = this->at(workspace, tier);
    refill(entry, now);
    entry.factor = std::clamp(factor, 0.0, 1.0);
    entry.engineSeconds = std::min(entry.engineSeconds, burstOf(entry));
}

bool Limits::isKnown(WorkspaceId workspace) const
{
    const auto* entry = this->find(workspace, Tier::Urgent);
    return entry && entry->known;
}

double Limits::weight(WorkspaceId workspace, Tier tier) const
{
    const auto* entry = this->find(workspace, tier);
    return entry && entry->limits.weight > 0 ? entry->limits.weight : 1;
}

std::optional<Failure> Limits::checkQueue(WorkspaceId workspace, Tier tier, TimePoint latestStart, TimePoint now) const
{
    const auto* entry = this->find(workspace, tier);
    if (!entry)
        return std::nullopt;
    if (entry->limits.queued > 0 && entry->queued >= entry->limits.queued)
        return Failure { FailureKind::LimitReached, Disposition::NotRun,
            "the workspace has " + std::to_string(entry->queued) + " requests waiting in this tier, which is its limit",
            this->hint(Duration::zero()) };
    auto allowed = this->nextAllowed(workspace, tier, now);
    if (allowed && *allowed > latestStart)
        return Failure { FailureKind::LimitReached, Disposition::NotRun,
            "the workspace has used up its engine time in this tier until after the request's deadline", this->hint(*allowed - now) };
    return std::nullopt;
}

void Limits::onQueued(WorkspaceId workspace, Tier tier) { ++this->at(workspace, tier).queued; }

void Limits::onUnqueued(WorkspaceId workspace, Tier tier)
{
    auto& entry = this->at(workspace, tier);
    assert(entry.queued > 0 && "onUnqueued without onQueued");
    --entry.queued;
}

bool Limits::mayRun(WorkspaceId workspace, Tier tier, TimePoint now) const
{
    const auto* entry = this->find(workspace, tier);
    if (!entry)
        return true;
    auto most = std::max<uint32_t>(1, static_cast<uint32_t>(entry->limits.running * entry->factor));
    if (entry->limits.running > 0 && entry->running >= most)
        return false;
    return !hasBucket(entry->limits) || level(*entry, now) > 0;
}

std::optional<TimePoint> Limits::nextAllowed(WorkspaceId workspace, Tier tier, TimePoint now) const
{
    const auto* entry = this->find(workspace, tier);
    if (!entry || !hasBucket(entry->limits))
        return std::nullopt;
    double saved = level(*entry, now);
    if (saved > 0)
        return std::nullopt;
    // One millisecond more than the exact time, so that rounding leaves the bucket above zero.
    return now + fromSeconds(-saved / std::max(leastRate, rateOf(*entry))) + std::chrono::milliseconds(1);
}

void Limits::onStarted(WorkspaceId workspace, Tier tier, Duration estimatedCost, TimePoint now)
{
    auto& entry = this->at(workspace, tier);
    ++entry.running;
    if (!hasBucket(entry.limits))
        return;
    refill(entry, now);
    entry.engineSeconds -= toSeconds(estimatedCost);
}

void Limits::onFinished(WorkspaceId workspace, Tier tier, Duration estimatedCost, Duration actualCost, TimePoint now)
{
    auto& entry = this->at(workspace, tier);
    assert(entry.running > 0 && "onFinished without onStarted");
    --entry.running;
    if (!hasBucket(entry.limits))
        return;
    refill(entry, now);
    double burst = burstOf(entry);
    entry.engineSeconds = std::min(burst, entry.engineSeconds + toSeconds(estimatedCost) - toSeconds(actualCost));
}

uint32_t Limits::running(WorkspaceId workspace, Tier tier) const
{
    const auto* entry = this->find(workspace, tier);
    return entry ? entry->running : 0;
}

uint32_t Limits::queued(WorkspaceId workspace, Tier tier) const
{
    const auto* entry = this->find(workspace, tier);
    return entry ? entry->queued : 0;
}

const Limits::Entry* Limits::find(WorkspaceId workspace, Tier tier) const
{
    size_t index = indexOf(workspace, tier);
    return index < this->entries.size() ? &this->entries[index] : nullptr;
}

Limits::Entry& Limits::at(WorkspaceId workspace, Tier tier)
{
    size_t index = indexOf(workspace, tier);
    assert(index < this->entries.size() && "a workspace outside the table");
    return this->entries[index];
}

// A bucket that can hold nothing would never allow a request, so a burst of zero counts as one second.
double Limits::burstOf(const Entry& entry) { return std::max<double>(1, entry.limits.burstEngineSeconds * entry.factor); }

double Limits::rateOf(const Entry& entry) { return entry.limits.engineSecondsPerSecond * entry.factor; }

double Limits::level(const Entry& entry, TimePoint now)
{
    double gained = toSeconds(now - entry.refilled) * rateOf(entry);
    return std::min(burstOf(entry), entry.engineSeconds + std::max(0.0, gained));
}

void Limits::refill(Entry& entry, TimePoint now)
{
    entry.engineSeconds = level(entry, now);
    entry.refilled = std::max(entry.refilled, now);
}

Duration Limits::hint(Duration wait) const { return std::clamp(wait, this->settings.minRetryAfter, this->settings.maxRetryAfter); }

} // namespace guavapond
