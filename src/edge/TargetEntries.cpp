// Applies entries of targets in the order of their revisions.
#include "edge/TargetEntries.h"

#include "adapters/Logging.h"
#include "edge/WorkspaceQuota.h"

namespace guavapond::edge {

namespace {

constexpr Duration goneKept = std::chrono::minutes(2); // longer than a peer stays behind

// Of all that a target says of itself; an entry's revision also changes with heartbeats.
uint64_t targetDigest(const TargetInfo& target)
{
    const std::string text = target.id + '|' + target.service + '|' + addressText(target.address) + '|' + target.failureDomain + '|'
        + target.version + '|' + std::to_string(target.slots) + (target.draining ? "|draining|" : "|ready|")
        + std::to_string(target.startedUnixMs);
    return nameHash(text);
}

} // namespace

void TargetEntries::apply(const TargetEntry& entry)
{
    const auto former = this->gone.find(entry.id);
    if (former != this->gone.end() && entry.revision <= former->second.revision)
        return;
    Known& known = this->targets[entry.id];
    if (entry.revision <= known.entry.revision)
        return;
    const bool changed = entry.value != known.entry.value;
    known.entry = entry;
    if (!changed)
        return;
    const uint64_t formerDigest = known.digest;
    known.digest = 0;
    const auto decoded = this->hooks.decode(entry);
    if (!decoded) {
        if (known.usable)
            this->hooks.gone(entry.id);
        known.usable = false;
        return;
    }
    const bool usable = !decoded->draining;
    if (usable != known.usable)
        log(LogLevel::Info, usable ? "target joined" : "target is draining",
            { { "target", entry.id }, { "service", decoded->service }, { "revision", revisionInEra(entry.revision) } });
    known.usable = usable;
    known.digest = targetDigest(*decoded);
    if (known.digest == formerDigest)
        return; // a heartbeat
    known.changedRevision = entry.revision;
    this->hooks.changed(*decoded);
}

bool TargetEntries::removeMissing(const std::set<std::string>& present, StoreRevision revision, bool isKept, TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto& [id, known] : this->targets) {
        if (!present.contains(id) && known.entry.revision <= revision)
            missing.push_back(id);
    }
    if (isKept)
        return missing.empty();
    for (const std::string& id : missing)
        this->remove(id, revision, now);
    return true;
}

void TargetEntries::removeOlder(const std::string& id, StoreRevision missingAt, TimePoint now)
{
    const auto known = this->targets.find(id);
    if (known != this->targets.end() && known->second.entry.revision <= missingAt)
        this->remove(id, missingAt, now);
}

void TargetEntries::remove(const std::string& id, StoreRevision missingAt, TimePoint now)
{
    const auto found = this->targets.find(id);
    log(LogLevel::Info, "target is gone", { { "target", id }, { "revision", revisionInEra(found->second.entry.revision) } });
    this->gone[id] = { missingAt, now };
    this->targets.erase(found);
    this->hooks.gone(id);
    std::erase_if(this->gone, [&](const auto& item) { return now - item.second.at > goneKept; });
}

std::vector<TargetEntries::Change> TargetEntries::changesAfter(StoreRevision revision) const
{
    std::vector<Change> result;
    for (const auto& [id, known] : this->targets) {
        if ((known.digest == 0 ? known.entry.revision : known.changedRevision) > revision)
            result.push_back({ known.entry, false });
    }
    for (const auto& [id, former] : this->gone) {
        if (former.revision > revision)
            result.push_back({ { id, "", former.revision }, true });
    }
    return result;
}

uint64_t TargetEntries::digest() const
{
    uint64_t digest = 0;
    for (const auto& [id, target] : this->targets)
        digest += target.digest;
    return digest;
}

} // namespace guavapond::edge
