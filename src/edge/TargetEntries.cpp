// Applies entries of targets in the order of their revisions.
#include "edge/TargetEntries.h"

#include "adapters/Logging.h"
#include "scheduling/WorkspaceQuota.h"

namespace guavapond::edge {

namespace {

constexpr Duration goneKept = std::chrono::minutes(2); // longer than a peer stays behind

// Of all that a target says of itself; an entry's revision also changes with heartbeats. A warm-up counts with what is left of it, so
// that one which begins again while it lasts is passed on.
uint64_t targetDigest(const TargetInfo& target)
{
    const bool hasWarmUp = target.warmUpLeft.value_or(Duration::zero()) > Duration::zero();
    const std::string text = target.id + '|' + target.service + '|' + addressText(target.address) + '|' + target.failureDomain + '|'
        + target.version + '|' + std::to_string(target.slots) + (target.draining ? "|draining|" : "|ready|")
        + std::to_string(target.startedUnixMs) + (hasWarmUp ? "|warming up " + std::to_string(target.warmUpLeft->count()) : "");
    return nameHash(text);
}

} // namespace

void TargetEntries::onRead(StoreRevision revision)
{
    if (!this->copiedUpTo)
        this->copiedUpTo = revision;
}

bool TargetEntries::mayBeCopied(const TargetEntry& entry) const { return !this->copiedUpTo || entry.revision <= *this->copiedUpTo; }

// The entry says that a target takes work which is known to have left or to drain, and may be from the copy. A living target writes its
// entry again within a heartbeat.
bool TargetEntries::isOutdated(const TargetEntry& entry, const TargetInfo& info) const
{
    if (info.draining || !this->mayBeCopied(entry))
        return false;
    if (const auto former = this->gone.find(entry.id); former != this->gone.end())
        return info.startedUnixMs <= former->second.report.startedUnixMs;
    const auto known = this->targets.find(entry.id);
    return known != this->targets.end() && known->second.digest != 0 && !known->second.usable
        && info.startedUnixMs <= known->second.report.startedUnixMs;
}

TargetEntries::Credibility TargetEntries::credibility(const TargetReport& report, const TargetReport& known, bool isGone) const
{
    if (report.startedUnixMs != known.startedUnixMs && report.startedUnixMs != 0 && known.startedUnixMs != 0) {
        // The former process under this id, unless the clock was set back between the two starts.
        return report.startedUnixMs < known.startedUnixMs ? Credibility::Unclear : Credibility::Later;
    }
    const bool isSameProcess = report.startedUnixMs != 0 && report.startedUnixMs == known.startedUnixMs;
    const bool isOrdered = report.number != 0 && known.number != 0;
    if (isOrdered && (report.number < known.number || (isGone && report.number == known.number)))
        return isSameProcess ? Credibility::Late : Credibility::Unclear; // after a restart the numbers begin anew
    // A write of the last report that is done after the removal of the entry looks like a target that goes on after a silence.
    return isGone && isOrdered && isSameProcess && !this->mayHaveLapsed ? Credibility::Unclear : Credibility::Later;
}

// Whether the entry says something later than what is known of its target.
bool TargetEntries::isBelieved(const TargetEntry& entry, const TargetInfo& info)
{
    const auto former = this->gone.find(entry.id);
    const auto present = this->targets.find(entry.id);
    const bool isGone = former != this->gone.end() && present == this->targets.end();
    if (!isGone && (present == this->targets.end() || present->second.digest == 0))
        return true;
    const TargetReport& known = isGone ? former->second.report : present->second.report;
    const TargetReport report { info.startedUnixMs, info.reportNumber };
    Credibility verdict = this->credibility(report, known, isGone);
    const bool isFormer = report.startedUnixMs != 0 && report.startedUnixMs < known.startedUnixMs;
    if (info.draining && !isFormer)
        verdict = Credibility::Later; // a process that drains is never ready again
    if (verdict == Credibility::Later) {
        this->unclear.erase(entry.id);
        return true;
    }
    const auto [waiting, isNew] = this->unclear.try_emplace(entry.id, report);
    const bool isNext = !isNew && waiting->second.startedUnixMs == report.startedUnixMs && report.number > waiting->second.number;
    if (verdict == Credibility::Unclear && isNext) {
        this->unclear.erase(waiting);
        return true;
    }
    const bool isRepeated = !isNew && waiting->second.startedUnixMs == report.startedUnixMs && waiting->second.number == report.number;
    if (!isRepeated)
        log(LogLevel::Info, "report of a target is late or waits for its next one",
            { { "target", entry.id }, { "revision", revisionInEra(entry.revision) }, { "isGone", isGone },
                { "isLate", verdict == Credibility::Late }, { "startedUnixMs", report.startedUnixMs }, { "number", report.number },
                { "knownStartedUnixMs", known.startedUnixMs }, { "knownNumber", known.number } });
    waiting->second = report;
    return false;
}

void TargetEntries::apply(const TargetEntry& entry)
{
    const auto former = this->gone.find(entry.id);
    if (former != this->gone.end() && entry.revision <= former->second.revision)
        return;
    const auto present = this->targets.find(entry.id);
    if (present != this->targets.end() && entry.revision <= present->second.entry.revision)
        return;
    if (present != this->targets.end() && entry.value == present->second.entry.value) {
        present->second.entry = entry;
        return;
    }
    const auto decoded = this->hooks.decode(entry);
    if (decoded && (this->isOutdated(entry, *decoded) || !this->isBelieved(entry, *decoded)))
        return;
    Known& known = this->targets[entry.id];
    known.entry = entry;
    const uint64_t formerDigest = known.digest;
    known.digest = 0;
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
    known.report = { decoded->startedUnixMs, decoded->reportNumber };
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
    const size_t missingCount = missing.size();
    if (missingCount * 2 <= this->targets.size())
        this->mayHaveLapsed = this->mayHaveLapsed && isKept;
    else if (this->mayHaveLapsed && !isKept)
        std::erase_if(missing, [&](const std::string& id) { return !this->hooks.isUnresponsive(id); });
    const size_t kept = isKept ? missingCount : missingCount - missing.size();
    if (missingCount > 0 && (kept == 0 || kept != this->keptMissing))
        log(kept > 0 && !isKept ? LogLevel::Warn : LogLevel::Info, "targets are missing in the store",
            { { "missing", missingCount }, { "listed", present.size() }, { "kept", kept }, { "isWaiting", isKept },
                { "era", eraOf(revision) }, { "storeRevision", revisionInEra(revision) } });
    this->keptMissing = kept;
    if (isKept)
        return missingCount == 0;
    for (const std::string& id : missing)
        this->remove(id, revision, now);
    return true;
}

void TargetEntries::merge(const Change& change, TimePoint now)
{
    if (change.gone)
        this->removeGone(change.entry, now);
    else
        this->apply(change.entry);
}

void TargetEntries::removeGone(const TargetEntry& last, TimePoint now)
{
    const auto info = last.value.empty() ? std::nullopt : this->hooks.decode(last);
    const auto known = this->targets.find(last.id);
    if (known == this->targets.end()) {
        if (info)
            this->rememberGone(last, { info->startedUnixMs, info->reportNumber }, now);
        return;
    }
    Known& target = known->second;
    // The peer may have seen later reports than this node, which takes a late write for news then.
    const bool hasSaidMore = info && info->startedUnixMs != 0 && info->startedUnixMs == target.report.startedUnixMs
        && target.report.number != 0 && info->reportNumber >= target.report.number;
    if (target.entry.revision > last.revision && !hasSaidMore)
        return;
    if (info && info->startedUnixMs == target.report.startedUnixMs)
        target.report.number = std::max(target.report.number, info->reportNumber);
    this->remove(last.id, last.revision, now);
}

// This node may hear of a late write before it has read of the target itself.
void TargetEntries::rememberGone(const TargetEntry& last, const TargetReport& report, TimePoint now)
{
    const auto [former, isNew] = this->gone.try_emplace(last.id, Gone { last.revision, now, report, last.value });
    if (!isNew && former->second.report.startedUnixMs == report.startedUnixMs)
        former->second.report.number = std::max(former->second.report.number, report.number);
}

void TargetEntries::remove(const std::string& id, StoreRevision missingAt, TimePoint now)
{
    const auto found = this->targets.find(id);
    Known& target = found->second;
    log(LogLevel::Info, "target is gone",
        { { "target", id }, { "revision", revisionInEra(target.entry.revision) }, { "number", target.report.number } });
    this->gone[id] = { missingAt, now, target.report, std::move(target.entry.value) };
    this->targets.erase(found);
    this->unclear.erase(id);
    this->hooks.gone(id);
    std::erase_if(this->gone, [&](const auto& item) { return now - item.second.at > goneKept; });
    std::erase_if(this->unclear, [&](const auto& item) { return !this->gone.contains(item.first) && !this->targets.contains(item.first); });
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
            result.push_back({ { id, former.value, former.revision }, true });
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
