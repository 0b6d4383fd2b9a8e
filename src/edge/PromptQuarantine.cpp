// Counts the crashes in which a part was lost, and keeps the list of parts in quarantine.
#include "edge/PromptQuarantine.h"

#include <algorithm>

namespace guavapond::edge {

namespace {

constexpr int forgottenAfter = 2; // quarantine times; no request has probed the part meanwhile

constexpr size_t maxPartsPerPrompt = 64; // that are looked at; keeps a prompt of very many parts from filling beacons and the memory

std::span<const PartKey> bounded(std::span<const PartKey> parts) { return parts.first(std::min(parts.size(), maxPartsPerPrompt)); }

bool contains(std::span<const PartKey> parts, PartKey part) { return std::find(parts.begin(), parts.end(), part) != parts.end(); }

} // namespace

// ---- What happened

void PromptQuarantine::onBegan(std::span<const PartKey> parts, TimePoint now)
{
    for (const PartKey part : bounded(parts)) {
        if (this->ownBegunAt.size() >= this->settings.maxParts && !this->ownBegunAt.contains(part))
            std::erase_if(this->ownBegunAt, [&](const auto& item) { return now - item.second >= this->settings.knownTime / 2; });
        if (this->ownBegunAt.size() < this->settings.maxParts || this->ownBegunAt.contains(part))
            this->ownBegunAt[part] = now;
        if (this->release(part, true))
            this->releasedAt[part] = now;
    }
}

void PromptQuarantine::onLost(uint64_t target, uint64_t prompt, std::span<const PartKey> parts, TimePoint now)
{
    if (!parts.empty())
        this->addLost(target, now, { prompt, { parts.begin(), parts.end() }, true }, now);
}

void PromptQuarantine::addLost(uint64_t target, TimePoint at, Lost lost, TimePoint now)
{
    auto crash = std::find_if(this->crashes.begin(), this->crashes.end(),
        [&](const Crash& known) { return known.target == target && std::chrono::abs(known.at - at) < this->settings.sameCrash; });
    if (crash == this->crashes.end()) {
        if (this->crashes.size() >= this->settings.maxCrashes)
            this->crashes.pop_front();
        this->crashes.push_back({ target, at, now, {} });
        crash = std::prev(this->crashes.end());
    }
    const bool isKnown
        = std::any_of(crash->lost.begin(), crash->lost.end(), [&](const Lost& known) { return known.prompt == lost.prompt; });
    lost.parts.resize(std::min(lost.parts.size(), maxPartsPerPrompt));
    if (isKnown || crash->lost.size() >= this->settings.maxLostPerCrash)
        return;
    crash->lost.push_back(std::move(lost));
    ++this->changeCount;
}

std::optional<TimePoint> PromptQuarantine::begunAt(PartKey part) const
{
    std::optional<TimePoint> last;
    for (const auto* times : { &this->ownBegunAt, &this->peerBegunAt }) {
        if (const auto found = times->find(part); found != times->end())
            last = std::max(last.value_or(found->second), found->second);
    }
    return last;
}

bool PromptQuarantine::hasBegunSince(PartKey part, TimePoint time) const
{
    const auto last = this->begunAt(part);
    return last && *last >= time;
}

// ---- What follows from it

bool PromptQuarantine::isExplained(const Crash& crash) const
{
    return std::any_of(crash.lost.begin(), crash.lost.end(), [&](const Lost& lost) {
        return std::any_of(lost.parts.begin(), lost.parts.end(), [&](PartKey part) { return this->quarantined.contains(part); });
    });
}

void PromptQuarantine::Count::add(const Crash& crash, const Lost& lost, size_t partPosition, Duration spacing)
{
    this->position = std::max(this->position, partPosition);
    if (!contains(this->prompts, lost.prompt))
        this->prompts.push_back(lost.prompt);
    if (!contains(this->targets, crash.target))
        this->targets.push_back(crash.target);
    if (this->countedAt && std::chrono::abs(crash.at - *this->countedAt) < spacing)
        return;
    this->countedAt = crash.at;
    ++this->crashes;
}

std::unordered_map<PartKey, PromptQuarantine::Count> PromptQuarantine::countParts() const
{
    std::unordered_map<PartKey, Count> counts;
    for (const Crash& crash : this->crashes) {
        if (this->isExplained(crash))
            continue;
        for (const Lost& lost : crash.lost) {
            for (size_t i = 0; i < lost.parts.size(); ++i) {
                if (this->hasBegunSince(lost.parts[i], crash.at))
                    continue;
                const auto [entry, isNew] = counts.try_emplace(lost.parts[i]);
                if (isNew)
                    entry->second.heardAt = crash.heardAt;
                entry->second.add(crash, lost, i, this->settings.crashSpacing);
            }
        }
    }
    return counts;
}

// Of the parts that are in as many crashes as any other, or one fewer, the most specific: keeping it out refuses the fewest requests. One
// crash makes no difference, since a less specific part is also in the prompts of bystanders.
std::optional<PartKey> PromptQuarantine::likeliest(const std::unordered_map<PartKey, Count>& counts, bool begun) const
{
    size_t most = 0;
    for (const auto& [part, count] : counts) {
        if (this->begunAt(part).has_value() == begun)
            most = std::max(most, count.crashes);
    }
    std::optional<PartKey> best;
    for (const auto& [part, count] : counts) {
        if (this->begunAt(part).has_value() != begun || count.crashes + 1 < most)
            continue;
        const auto key = [&](PartKey candidate) { return std::pair(counts.at(candidate).position, counts.at(candidate).crashes); };
        if (!best || key(part) > key(*best))
            best = part;
    }
    return best;
}

// Parts that never delivered an event come first: the others are in the same prompts.
std::optional<PartKey> PromptQuarantine::nextCulprit(const std::unordered_map<PartKey, Count>& counts, TimePoint now) const
{
    for (const bool begun : { false, true }) {
        const size_t required = begun ? this->settings.minCrashesOfKnown : this->settings.minCrashes;
        const auto part = this->likeliest(counts, begun);
        if (!part)
            continue;
        const Count& count = counts.at(*part);
        // Until the time has settled, peers may know of an event that clears the part.
        if (count.crashes >= required && count.prompts.size() >= required && count.targets.size() >= this->settings.minTargets
            && now - count.heardAt >= this->settleTime)
            return part;
    }
    return std::nullopt;
}

void PromptQuarantine::quarantine(PartKey part, size_t crashCount, TimePoint since)
{
    if (this->quarantined.size() >= this->settings.maxQuarantined && !this->quarantined.contains(part))
        return;
    this->quarantined[part] = { since, std::nullopt };
    this->pendingChanges.push_back({ part, true, crashCount, crashCount > 0 });
    ++this->changeCount;
}

bool PromptQuarantine::release(PartKey part, bool isOwn)
{
    if (this->quarantined.erase(part) == 0)
        return false;
    this->pendingChanges.push_back({ part, false, 0, isOwn });
    ++this->changeCount;
    return true;
}

void PromptQuarantine::renewAfterProbe(TimePoint now)
{
    for (const Crash& crash : this->crashes) {
        for (const Lost& lost : crash.lost) {
            for (const PartKey part : lost.parts) {
                const auto found = this->quarantined.find(part);
                if (found != this->quarantined.end() && found->second.probedAt && crash.at >= *found->second.probedAt)
                    this->quarantine(part, 1, now);
            }
        }
    }
}

void PromptQuarantine::expire(TimePoint now)
{
    const auto isOld = [&](const auto& item) { return now - item.second >= this->settings.knownTime; };
    std::erase_if(this->crashes, [&](const Crash& crash) { return now - crash.at >= this->settings.knownTime; });
    std::erase_if(this->peerBegunAt, isOld);
    std::erase_if(
        this->quarantined, [&](const auto& item) { return now - item.second.since >= forgottenAfter * this->settings.quarantineTime; });
    std::erase_if(this->releasedAt, [&](const auto& item) { return now - item.second >= this->settings.releaseReportTime; });
}

std::vector<PromptQuarantine::Change> PromptQuarantine::decide(TimePoint now)
{
    this->expire(now);
    if (!this->crashes.empty()) {
        this->renewAfterProbe(now);
        for (auto counts = this->countParts(); const auto culprit = this->nextCulprit(counts, now); counts = this->countParts()) {
            if (this->quarantined.size() >= this->settings.maxQuarantined)
                break;
            this->quarantine(*culprit, counts.at(*culprit).crashes, now);
        }
    }
    return std::exchange(this->pendingChanges, {});
}

// ---- Requests

bool PromptQuarantine::allows(const Quarantine& entry, TimePoint now) const
{
    return this->isProbing && now - entry.since >= this->settings.quarantineTime
        && (!entry.probedAt || now - *entry.probedAt >= this->settings.probeTime);
}

bool PromptQuarantine::blocks(std::span<const PartKey> parts, TimePoint now)
{
    if (this->quarantined.empty())
        return false;
    const bool blocked = std::any_of(parts.begin(), parts.end(), [&](PartKey part) {
        const auto found = this->quarantined.find(part);
        return found != this->quarantined.end() && !this->allows(found->second, now);
    });
    if (blocked)
        return true;
    for (const PartKey part : parts) {
        if (const auto found = this->quarantined.find(part); found != this->quarantined.end())
            found->second.probedAt = now;
    }
    return false;
}

bool PromptQuarantine::isBlocked(std::span<const PartKey> parts, TimePoint now) const
{
    return std::any_of(parts.begin(), parts.end(), [&](PartKey part) {
        const auto found = this->quarantined.find(part);
        if (found == this->quarantined.end())
            return false;
        const auto& probedAt = found->second.probedAt;
        return !probedAt || now - *probedAt >= this->settings.probeTime;
    });
}

bool PromptQuarantine::isSuspect(uint64_t prompt, std::span<const PartKey> parts) const
{
    return std::any_of(this->crashes.begin(), this->crashes.end(), [&](const Crash& crash) {
        return std::any_of(crash.lost.begin(), crash.lost.end(), [&](const Lost& lost) {
            return lost.prompt != prompt && std::any_of(lost.parts.begin(), lost.parts.end(), [&](PartKey part) {
                return contains(parts, part) && !this->begunAt(part);
            });
        });
    });
}

Duration PromptQuarantine::retryAfter(std::span<const PartKey> parts, TimePoint now) const
{
    Duration longest {};
    for (const PartKey part : parts) {
        if (const auto found = this->quarantined.find(part); found != this->quarantined.end())
            longest = std::max(longest, found->second.since + this->settings.quarantineTime - now);
    }
    return longest;
}

// ---- Peers

QuarantineReport PromptQuarantine::report(TimePoint now) const
{
    QuarantineReport result;
    std::vector<PartKey> inQuestion;
    const auto ask = [&](PartKey part) {
        const auto found = this->ownBegunAt.find(part);
        if (found == this->ownBegunAt.end() || contains(inQuestion, part) || result.begun.size() >= this->settings.maxReportedParts)
            return;
        inQuestion.push_back(part);
        result.begun.push_back({ part, now - found->second });
    };
    for (const auto& [part, at] : this->releasedAt)
        ask(part);
    for (size_t i = this->crashes.size(); i > 0; --i) { // the newest first
        const Crash& crash = this->crashes[i - 1];
        const bool isNew = now - crash.heardAt < this->settings.reportTime + this->settleTime;
        if (!isNew)
            continue;
        for (const Lost& lost : crash.lost) {
            std::for_each(lost.parts.begin(), lost.parts.end(), ask);
            if (lost.isOwn && result.lost.size() < this->settings.maxReportedStreams)
                result.lost.push_back({ crash.target, lost.prompt, now - crash.at, lost.parts });
        }
    }
    result.quarantined = this->list(now);
    result.quarantined.resize(std::min(result.quarantined.size(), this->settings.maxReportedParts));
    return result;
}

std::vector<PartAge> PromptQuarantine::list(TimePoint now) const
{
    std::vector<PartAge> result;
    for (const auto& [part, entry] : this->quarantined)
        result.push_back({ part, now - entry.since });
    return result;
}

void PromptQuarantine::onPeerReport(const QuarantineReport& report, TimePoint now)
{
    for (const LostStream& lost : report.lost) {
        if (!lost.parts.empty())
            this->addLost(lost.target, now - lost.age, { lost.prompt, lost.parts, false }, now);
    }
    for (const PartAge& begun : report.begun) {
        if (this->peerBegunAt.size() >= this->settings.maxParts && !this->peerBegunAt.contains(begun.part))
            continue;
        TimePoint& last = this->peerBegunAt[begun.part];
        last = std::max(last, now - begun.age);
        const auto found = this->quarantined.find(begun.part);
        if (found != this->quarantined.end() && last >= found->second.since)
            this->release(begun.part, false);
    }
    for (const PartAge& entry : report.quarantined) {
        if (entry.age >= forgottenAfter * this->settings.quarantineTime)
            continue;
        const TimePoint since = now - entry.age;
        const auto known = this->quarantined.find(entry.part);
        const bool isRenewed = known != this->quarantined.end() && since > known->second.since + this->settings.renewalMargin;
        const bool isReleased = this->hasBegunSince(entry.part, since - this->settings.renewalMargin);
        if ((known == this->quarantined.end() && !isReleased) || isRenewed)
            this->quarantine(entry.part, 0, since);
    }
}

} // namespace guavapond::edge
