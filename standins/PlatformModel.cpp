// Implementation of the platform's model.
#include "PlatformModel.h"

#include <algorithm>

namespace guavapond::standin {

namespace {

Failure unavailable(Disposition disposition, std::string message, Duration retryAfter = {})
{
    return { FailureKind::PlatformUnavailable, disposition, std::move(message), retryAfter };
}

} // namespace

std::optional<Failure> PlatformModel::admit(Bucket& bucket, double perSecond, TimePoint now)
{
    if (this->active.outage != Outage::None) {
        ++this->counts.unavailable;
        return unavailable(Disposition::NotRun, "outage");
    }
    if (perSecond <= 0)
        return std::nullopt;
    if (!bucket.started)
        bucket = { perSecond, now, true };
    bucket.tokens = std::min(perSecond, bucket.tokens + perSecond * toSeconds(now - bucket.filled));
    bucket.filled = now;
    if (bucket.tokens < 1) {
        ++this->counts.rateLimited;
        return unavailable(Disposition::NotRun, "rate limit", fromSeconds((1 - bucket.tokens) / perSecond));
    }
    bucket.tokens -= 1;
    return std::nullopt;
}

void PlatformModel::expire(TimePoint now)
{
    std::vector<LeaseId> lapsed;
    for (const auto& [id, lease] : this->leases) {
        if (lease.expires <= now)
            lapsed.push_back(id);
    }
    for (LeaseId id : lapsed)
        removeLease(id);
}

void PlatformModel::removeLease(LeaseId lease)
{
    this->leases.erase(lease);
    std::erase_if(this->entries, [&](const auto& item) { return item.second.lease == lease; });
}

Result<KeyValuePair> PlatformModel::get(std::string_view key, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.gets;
    if (auto failure = admit(this->reads, this->active.readsPerSecond, now))
        return *failure;
    expire(now);
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return KeyValuePair {};
    return KeyValuePair { found->second.value, found->second.revision };
}

Result<Revision> PlatformModel::put(
    std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId> lease, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.puts;
    if (auto failure = admit(this->writes, this->active.writesPerSecond, now))
        return *failure;
    expire(now);
    if (value.size() > maxValueBytes)
        return Failure { FailureKind::BodyTooLarge, Disposition::NotRun, "value above 1 MB", {} };
    if (lease && !this->leases.contains(*lease))
        return Failure { FailureKind::NotFound, Disposition::NotRun, "the lease has lapsed", {} };
    const auto found = this->entries.find(key);
    const Revision present = found == this->entries.end() ? 0 : found->second.revision;
    if (present != expected) {
        ++this->counts.conflicts;
        return Failure { FailureKind::Conflict, Disposition::NotRun, "the key is at revision " + std::to_string(present), {} };
    }
    this->entries.insert_or_assign(std::string(key), Entry { std::string(value), ++this->lastRevision, lease });
    if (this->active.loseWriteAnswers > 0) {
        --this->active.loseWriteAnswers;
        ++this->counts.lostAnswers;
        return unavailable(Disposition::Unknown, "answer lost");
    }
    return this->lastRevision;
}

std::optional<Failure> PlatformModel::startWatch(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.watches;
    return admit(this->reads, this->active.readsPerSecond, now);
}

std::optional<KeyValuePair> PlatformModel::pollWatch(std::string_view key, Revision after, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    expire(now);
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        return after > 0 ? std::optional(KeyValuePair {}) : std::nullopt;
    if (found->second.revision <= after)
        return std::nullopt;
    return KeyValuePair { found->second.value, found->second.revision };
}

Result<LeaseId> PlatformModel::grantLease(Duration ttl, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.leaseCalls;
    if (auto failure = admit(this->writes, this->active.writesPerSecond, now))
        return *failure;
    const auto id = static_cast<LeaseId>(++this->lastLease);
    this->leases[id] = { ttl, now + ttl };
    return id;
}

Result<bool> PlatformModel::renewLease(LeaseId lease, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.leaseCalls;
    if (auto failure = admit(this->writes, this->active.writesPerSecond, now))
        return *failure;
    expire(now);
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return false;
    found->second.expires = now + found->second.ttl;
    return true;
}

void PlatformModel::revokeLease(LeaseId lease, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.leaseCalls;
    if (!admit(this->writes, this->active.writesPerSecond, now))
        removeLease(lease);
}

Result<std::vector<VmEntry>> PlatformModel::listVms(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    ++this->counts.vmLists;
    if (auto failure = admit(this->reads, this->active.readsPerSecond, now))
        return *failure;
    return this->vms;
}

void PlatformModel::setVms(std::vector<VmEntry> list)
{
    const std::lock_guard lock(this->mutex);
    this->vms = std::move(list);
}

void PlatformModel::setFaults(const PlatformFaults& faults)
{
    const std::lock_guard lock(this->mutex);
    this->active = faults;
    this->reads = {};
    this->writes = {};
}

PlatformFaults PlatformModel::faults() const
{
    const std::lock_guard lock(this->mutex);
    return this->active;
}

PlatformStats PlatformModel::stats() const
{
    const std::lock_guard lock(this->mutex);
    return this->counts;
}

KeyValue PlatformModel::keyValue(const std::function<TimePoint()>& clock)
{
    KeyValue port;
    port.get = [this, clock](std::string_view key) { return get(key, clock()); };
    port.put = [this, clock](std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId> lease) {
        return put(key, value, expected, lease, clock());
    };
    port.watch = [this, clock](std::string_view key, Revision after, Duration) -> Result<std::optional<KeyValuePair>> {
        if (auto failure = startWatch(clock()))
            return *failure;
        return pollWatch(key, after, clock());
    };
    port.grantLease = [this, clock](Duration ttl) { return grantLease(ttl, clock()); };
    port.renewLease = [this, clock](LeaseId lease) { return renewLease(lease, clock()); };
    port.revokeLease = [this, clock](LeaseId lease) { revokeLease(lease, clock()); };
    return port;
}

} // namespace guavapond::standin
