// Counts the crashes in which a part or a request was lost, and keeps the list of those in quarantine.
#include "scheduling/PromptQuarantine.h"

#include <algorithm>
#include <tuple>

namespace guavapond::edge {

namespace {

constexpr size_t maxPartsPerPrompt = 64; // that are looked at; keeps a prompt of very many parts from filling beacons and the memory

std::span<const PartKey> bounded(std::span<const PartKey> parts) { return parts.first(std::min(parts.size(), maxPartsPerPrompt)); }

using Times = std::unordered_map<uint64_t, TimePoint>;
std::optional<TimePoint> latest(uint64_t key, const Times& own, const Times& ofPeers)
{
    std::optional<TimePoint> last;
    for (const Times* times : { &own, &ofPeers }) {
        if (const auto found = times->find(key); found != times->end())
            last = std::max(last.value_or(found->second), found->second);
    }
    return last;
}

template <typename Crash> bool holds(const Crash& crash, PartKey part)
{
    return std::any_of(crash.lost.begin(), crash.lost.end(),
        [&](const auto& lost) { return std::find(lost.parts.begin(), lost.parts.end(), part) != lost.parts.end(); });
}

bool contains(std::span<const PartKey> parts, PartKey part) { return std::find(parts.begin(), parts.end(), part) != parts.end(); }

} // namespace

// ---- What happened

void PromptQuarantine::onBegan(PartKey key, TimePoint now)
{
    if (this->ownBegunAt.size() >= this->settings.maxParts && !this->ownBegunAt.contains(key))
        std::erase_if(this->ownBegunAt, [&](const auto& item) { return now - item.second >= this->settings.knownTime / 2; });
    if (this->ownBegunAt.size() < this->settings.maxParts || this->ownBegunAt.contains(key))
        this->ownBegunAt[key] = now;
    const auto found = this->quarantined.find(key);
    const bool isRequest = found != this->quarantined.end() && found->second.isRequest;
    if (this->release(key, true))
        this->releasedAt[key] = { now, isRequest };
}

void PromptQuarantine::onBegan(std::span<const PartKey> parts, TimePoint now, RequestKey request)
{
    for (const PartKey part : bounded(parts))
        this->onBegan(part, now);
    // Sound requests are not remembered one by one.
    if (request != 0 && this->isInQuestion(request))
        this->onBegan(request, now);
}

void PromptQuarantine::onUnprovedEnd(uint64_t target, RequestKey request, TimePoint now)
{
    if (request == 0 || !this->isInQuestion(request))
        return;
    if (this->unprovedEnds.size() >= this->settings.maxCrashes)
        this->unprovedEnds.pop_front();
    this->unprovedEnds.push_back({ target, request, now });
}

bool PromptQuarantine::isInQuestion(RequestKey request) const
{
    return this->quarantined.contains(request) || std::any_of(this->crashes.begin(), this->crashes.end(), [&](const Crash& crash) {
        return std::any_of(crash.lost.begin(), crash.lost.end(), [&](const Lost& lost) { return lost.request == request; });
    });
}

void PromptQuarantine::onLost(uint64_t target, uint64_t prompt, std::span<const PartKey> parts, TimePoint now, RequestKey request)
{
    if (!parts.empty() || request != 0)
        this->addLost(target, now, { prompt, { parts.begin(), parts.end() }, request, true }, now);
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
    const bool isKnown = std::any_of(crash->lost.begin(), crash->lost.end(),
        [&](const Lost& known) { return known.prompt == lost.prompt && known.request == lost.request; });
    lost.parts.resize(std::min(lost.parts.size(), maxPartsPerPrompt));
    if (isKnown || crash->lost.size() >= this->settings.maxLostPerCrash)
        return;
    crash->lost.push_back(std::move(lost));
    this->lastLossAt = now;
    ++this->changeCount;
}

std::optional<TimePoint> PromptQuarantine::begunAt(PartKey part) const { return latest(part, this->ownBegunAt, this->peerBegunAt); }

std::optional<TimePoint> PromptQuarantine::answeredAt(RequestKey request) const
{
    return latest(request, this->ownBegunAt, this->peerAnsweredAt);
}

bool PromptQuarantine::hasBegunSince(PartKey part, TimePoint time) const
{
    const auto last = this->begunAt(part);
    return last && *last >= time;
}

bool PromptQuarantine::isAnsweredSince(RequestKey request, TimePoint time) const
{
    const auto last = this->answeredAt(request);
    return last && *last >= time;
}

// ---- What follows from it

bool PromptQuarantine::isExplained(const Crash& crash) const
{
    return std::any_of(crash.lost.begin(), crash.lost.end(), [&](const Lost& lost) {
        return this->quarantined.contains(lost.request)
            || std::any_of(lost.parts.begin(), lost.parts.end(), [&](PartKey part) { return this->quarantined.contains(part); });
    });
}

// Connections may be lost without their target: an answer after them shows it. A target that starts again takes longer than that.
void PromptQuarantine::judgeCrashes(TimePoint now)
{
    for (Crash& crash : this->crashes) {
        if (crash.isJudged || now - crash.heardAt < this->settleTime)
            continue;
        crash.isJudged = true;
        const auto answeredAt = this->lastAnswer ? this->lastAnswer(crash.target) : std::nullopt;
        crash.isDismissed = answeredAt && *answeredAt > crash.at + this->settings.answerMargin;
    }
}

void PromptQuarantine::judgeEnds(TimePoint now)
{
    while (!this->unprovedEnds.empty() && now - this->unprovedEnds.front().at >= this->settleTime) {
        const UnprovedEnd end = this->unprovedEnds.front();
        this->unprovedEnds.pop_front();
        const auto answeredAt = this->lastAnswer ? this->lastAnswer(end.target) : std::nullopt;
        if (answeredAt && *answeredAt > end.at + this->settings.answerMargin)
            this->onBegan(end.request, now);
    }
}

void PromptQuarantine::Count::add(const Crash& crash, const Lost& lost, size_t partPosition, Duration spacing)
{
    this->position = std::max(this->position, partPosition);
    if (!contains(this->prompts, lost.prompt))
        this->prompts.push_back(lost.prompt);
    if (!contains(this->targets, crash.target))
        this->targets.push_back(crash.target);
    this->in.push_back(&crash);
    this->lastHeardAt = std::max(this->lastHeardAt, crash.heardAt);
    if (this->countedAt && std::chrono::abs(crash.at - *this->countedAt) < spacing)
        return;
    this->countedAt = crash.at;
    this->countedHeardAt.push_back(crash.heardAt);
    ++this->crashes;
}

PromptQuarantine::Crashes PromptQuarantine::knownCrashes() const
{
    Crashes result;
    for (const Crash& crash : this->crashes) {
        if (!crash.isDismissed)
            result.push_back(&crash);
    }
    std::sort(result.begin(), result.end(),
        [](const Crash* a, const Crash* b) { return std::pair(a->at, a->target) < std::pair(b->at, b->target); });
    return result;
}

std::unordered_map<PartKey, PromptQuarantine::Count> PromptQuarantine::countParts(const Crashes& among) const
{
    std::unordered_map<PartKey, Count> counts;
    for (const Crash* crash : among) {
        const bool isOfRequest = std::any_of(
            crash->lost.begin(), crash->lost.end(), [&](const Lost& lost) { return this->quarantined.contains(lost.request); });
        for (const Lost& lost : crash->lost) {
            // What has crashed the target is this request, but perhaps for a part that others have too.
            if (isOfRequest && !this->quarantined.contains(lost.request))
                continue;
            for (size_t i = 0; i < lost.parts.size(); ++i) {
                if (this->hasBegunSince(lost.parts[i], crash->at) || this->isWithdrawn(lost.parts[i], crash->at))
                    continue;
                const auto [entry, isNew] = counts.try_emplace(lost.parts[i]);
                if (isNew)
                    entry->second.heardAt = crash->heardAt;
                entry->second.add(*crash, lost, i, this->settings.crashSpacing);
            }
        }
    }
    return counts;
}

// Of the crashes whose time has settled: until then peers may know of an answer that clears a request.
std::unordered_map<RequestKey, PromptQuarantine::Count> PromptQuarantine::countRequests(TimePoint now) const
{
    std::unordered_map<RequestKey, Count> counts;
    for (const Crash* crash : this->knownCrashes()) {
        if (now - crash->heardAt < this->settleTime || this->isExplained(*crash))
            continue;
        for (const Lost& lost : crash->lost) {
            if (lost.request != 0 && !this->isAnsweredSince(lost.request, crash->at))
                counts[lost.request].add(*crash, lost, 0, this->settings.requestCrashSpacing);
        }
    }
    return counts;
}

// The requests that were lost most often, if that is often enough. Several at once were lost in the same crashes: before they are all
// taken for culprits, there is time for the answers that clear the bystanders.
std::vector<RequestKey> PromptQuarantine::culpritRequests(const std::unordered_map<RequestKey, Count>& counts, TimePoint now) const
{
    const Count* most = nullptr;
    for (const auto& [request, count] : counts) {
        if (count.crashes >= this->settings.minCrashes && count.targets.size() >= this->settings.minTargets
            && (!most || count.crashes > most->crashes))
            most = &count;
    }
    std::vector<RequestKey> culprits;
    if (!most)
        return culprits;
    for (const auto& [request, count] : counts) {
        if (count.in == most->in)
            culprits.push_back(request);
    }
    const TimePoint provedAt = most->countedHeardAt[this->settings.minCrashes - 1];
    if (culprits.size() > 1 && now - provedAt < this->settleTime + this->settings.rivalTime)
        culprits.clear();
    return culprits;
}

size_t PromptQuarantine::crashesOf(RequestKey request) const
{
    return static_cast<size_t>(std::count_if(this->crashes.begin(), this->crashes.end(), [&](const Crash& crash) {
        return !crash.isDismissed && !this->isAnsweredSince(request, crash.at)
            && std::any_of(crash.lost.begin(), crash.lost.end(), [&](const Lost& lost) { return lost.request == request; });
    }));
}

// A part in quarantine explains whatever it was lost in. Until the time has settled, peers may know of an event that clears a part; one
// that has delivered events is probably used by sound requests too, so that each of its crashes is given that time.
bool PromptQuarantine::mayConvict(PartKey part, const Count& count, TimePoint now) const
{
    if (this->quarantined.contains(part))
        return true;
    const bool hasBegun = this->begunAt(part).has_value();
    const size_t required = hasBegun ? this->settings.minCrashesOfKnown : this->settings.minCrashes;
    return count.crashes >= required && count.prompts.size() >= required && count.targets.size() >= this->settings.minTargets
        && now - (hasBegun ? count.lastHeardAt : count.heardAt) >= this->settleTime;
}

// The part that is in most crashes. One crash makes no difference, since a less specific part is also in the prompts of bystanders: of
// parts that are as good, one in quarantine comes first, the latest verdict before others, then one that never delivered an event, then
// the most specific, since keeping it out refuses the fewest requests.
std::optional<PartKey> PromptQuarantine::nextCulprit(const std::unordered_map<PartKey, Count>& counts, TimePoint now) const
{
    // Parts that have delivered events are in most prompts, and stand back until enough speaks against them.
    const auto isCandidate = [&](PartKey part, const Count& count) { return !this->begunAt(part) || this->mayConvict(part, count, now); };
    size_t most = 0;
    for (const auto& [part, count] : counts)
        most = std::max(most, isCandidate(part, count) ? count.crashes : 0);
    const auto rank = [&](PartKey part, const Count& count) {
        const auto known = this->quarantined.find(part);
        const TimePoint since = known == this->quarantined.end() ? TimePoint::min() : known->second.since;
        return std::tuple(since, !this->begunAt(part), count.position, count.crashes, part);
    };
    const std::pair<const PartKey, Count>* best = nullptr;
    for (const auto& entry : counts) {
        const auto& [part, count] = entry;
        if (isCandidate(part, count) && count.crashes + 1 >= most && (!best || rank(part, count) > rank(best->first, best->second)))
            best = &entry;
    }
    if (!best || !this->mayConvict(best->first, best->second, now))
        return std::nullopt;
    return best->first;
}

void PromptQuarantine::judgeParts(TimePoint now)
{
    Crashes open = this->knownCrashes();
    const auto all = this->countParts(open);
    std::vector<Culprit> culprits;
    std::unordered_map<PartKey, Count> rest; // of the crashes that no culprit explains
    while (const auto part = this->nextCulprit(culprits.empty() ? all : rest, now)) {
        if (!this->quarantined.contains(*part))
            this->convict(*part, (culprits.empty() ? all : rest).at(*part), false, now);
        culprits.push_back({ *part, all.at(*part).crashes });
        std::erase_if(open, [&](const Crash* crash) { return holds(*crash, *part); });
        rest = this->countParts(open);
    }
    if (!culprits.empty())
        this->withdrawReplaced(culprits, now);
}

// A verdict is wrong if another part was lost in all of its crashes, and in more. A node that knows fewer of them than a verdict needs
// leaves it to others.
void PromptQuarantine::withdrawReplaced(const std::vector<Culprit>& culprits, TimePoint now)
{
    const Crashes known = this->knownCrashes();
    std::vector<PartKey> parts;
    for (const auto& [part, entry] : this->quarantined) {
        const auto isPart = [part = part](const Culprit& culprit) { return culprit.part == part; };
        if (!entry.isRequest && std::none_of(culprits.begin(), culprits.end(), isPart))
            parts.push_back(part);
    }
    for (const PartKey part : parts) {
        Count count;
        for (const Crash* crash : known) {
            const auto lost
                = std::find_if(crash->lost.begin(), crash->lost.end(), [&](const Lost& item) { return contains(item.parts, part); });
            if (lost != crash->lost.end())
                count.add(*crash, *lost, 0, this->settings.crashSpacing);
        }
        const auto better = std::find_if(culprits.begin(), culprits.end(), [&](const Culprit& culprit) {
            return culprit.crashes > count.crashes
                && std::all_of(count.in.begin(), count.in.end(), [&](const Crash* crash) { return holds(*crash, culprit.part); });
        });
        if (count.crashes >= this->settings.minCrashes && better != culprits.end())
            this->withdraw(part, now, { part, false, count.crashes, true, false, {}, better->part, better->crashes });
    }
}

void PromptQuarantine::withdraw(PartKey part, TimePoint at, Change change)
{
    if (this->withdrawnAt.size() >= this->settings.maxQuarantined && !this->withdrawnAt.contains(part))
        this->withdrawnAt.erase(std::min_element(
            this->withdrawnAt.begin(), this->withdrawnAt.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
    TimePoint& last = this->withdrawnAt[part];
    last = std::max(last, at);
    if (this->quarantined.erase(part) > 0)
        this->pendingChanges.push_back(std::move(change));
    ++this->changeCount;
}

bool PromptQuarantine::isWithdrawn(PartKey part, TimePoint quarantinedAt) const
{
    const auto found = this->withdrawnAt.find(part);
    return found != this->withdrawnAt.end() && found->second >= quarantinedAt;
}

void PromptQuarantine::convict(PartKey key, const Count& count, bool isRequest, TimePoint now)
{
    std::vector<std::string_view> names;
    for (const Crash* crash : count.in) {
        for (const Lost& lost : crash->lost) {
            const std::string_view name = lost.isOwn ? std::string_view("this node") : std::string_view(lost.seenBy);
            if (std::find(names.begin(), names.end(), name) == names.end())
                names.push_back(name);
        }
    }
    std::string seenBy;
    for (const std::string_view name : names)
        (seenBy += seenBy.empty() ? "" : ",") += name;
    this->quarantine(key, count.crashes, now, isRequest, std::move(seenBy));
}

void PromptQuarantine::quarantine(PartKey part, size_t crashCount, TimePoint since, bool isRequest, std::string seenBy)
{
    if (this->quarantined.size() >= this->settings.maxQuarantined && !this->quarantined.contains(part)) {
        if (crashCount == 0)
            return; // a peer's
        const auto oldest = std::min_element(this->quarantined.begin(), this->quarantined.end(),
            [](const auto& a, const auto& b) { return a.second.since < b.second.since; });
        this->quarantined.erase(oldest);
    }
    const size_t kept = this->keptBack(part);
    this->quarantined[part] = { since, std::nullopt, isRequest, kept };
    this->pendingChanges.push_back({ part, true, crashCount, crashCount > 0, isRequest, std::move(seenBy) });
    ++this->changeCount;
}

size_t PromptQuarantine::keptBack(PartKey key) const
{
    const auto found = this->quarantined.find(key);
    return found == this->quarantined.end() ? 0 : found->second.keptBack;
}

bool PromptQuarantine::release(PartKey part, bool isOwn)
{
    const auto found = this->quarantined.find(part);
    if (found == this->quarantined.end())
        return false;
    this->pendingChanges.push_back({ part, false, 0, isOwn, found->second.isRequest, {} });
    this->quarantined.erase(found);
    ++this->changeCount;
    return true;
}

bool PromptQuarantine::lift(PartKey key, TimePoint now)
{
    if (!this->quarantined.contains(key))
        return false;
    this->onBegan(key, now); // what an answer would do
    return true;
}

void PromptQuarantine::renewAfterProbe(TimePoint now)
{
    for (const Crash& crash : this->crashes) {
        for (const Lost& lost : crash.lost) {
            const auto renew = [&](PartKey key) {
                const auto found = this->quarantined.find(key);
                if (found != this->quarantined.end() && found->second.probedAt && crash.at >= *found->second.probedAt)
                    this->quarantine(key, 1, now, found->second.isRequest);
            };
            std::for_each(lost.parts.begin(), lost.parts.end(), renew);
            renew(lost.request);
        }
    }
}

void PromptQuarantine::expire(TimePoint now)
{
    const auto isOld = [&](const auto& item) { return now - item.second >= this->settings.knownTime; };
    std::erase_if(this->crashes, [&](const Crash& crash) { return now - crash.at >= this->settings.knownTime; });
    std::erase_if(this->peerBegunAt, isOld);
    std::erase_if(this->peerAnsweredAt, isOld);
    std::erase_if(
        this->quarantined, [&](const auto& item) { return now - item.second.since >= forgottenAfter * this->settings.quarantineTime; });
    std::erase_if(this->releasedAt, [&](const auto& item) { return now - item.second.at >= this->settings.releaseReportTime; });
    std::erase_if(this->withdrawnAt, [&](const auto& item) { return now - item.second >= forgottenAfter * this->settings.quarantineTime; });
}

// A part explains more than a request that holds it, so parts go first.
void PromptQuarantine::convictAll(TimePoint now)
{
    // After that, what this node hears only clears suspects, unless more requests are lost.
    if (this->decidedAt > this->lastLossAt + this->settleTime + this->settings.rivalTime)
        return;
    this->decidedAt = now;
    this->judgeParts(now);
    this->judgeRequests(now);
}

void PromptQuarantine::judgeRequests(TimePoint now)
{
    for (size_t i = 0; i < this->settings.maxCrashes; ++i) {
        const auto counts = this->countRequests(now);
        const auto culprits = this->culpritRequests(counts, now);
        if (culprits.empty())
            break;
        for (const RequestKey request : culprits)
            this->convict(request, counts.at(request), true, now);
    }
}

std::vector<PromptQuarantine::Change> PromptQuarantine::decide(TimePoint now)
{
    this->expire(now);
    this->judgeEnds(now);
    if (!this->crashes.empty()) {
        this->judgeCrashes(now);
        this->renewAfterProbe(now);
        this->convictAll(now);
    }
    return std::exchange(this->pendingChanges, {});
}

// ---- Requests

bool PromptQuarantine::allows(const Quarantine& entry, TimePoint now) const
{
    return this->isProbing && now - entry.since >= this->settings.quarantineTime
        && (!entry.probedAt || now - *entry.probedAt >= this->settings.probeTime);
}

bool PromptQuarantine::blocks(std::span<const PartKey> parts, TimePoint now, RequestKey request)
{
    if (this->quarantined.empty())
        return false;
    std::vector<Quarantine*> entries;
    const auto add = [&](PartKey key) {
        if (const auto found = this->quarantined.find(key); found != this->quarantined.end())
            entries.push_back(&found->second);
    };
    std::for_each(parts.begin(), parts.end(), add);
    if (request != 0)
        add(request);
    const auto blocking = std::find_if(entries.begin(), entries.end(), [&](const Quarantine* entry) { return !this->allows(*entry, now); });
    if (blocking != entries.end()) {
        ++(*blocking)->keptBack;
        return true;
    }
    for (Quarantine* entry : entries)
        entry->probedAt = now;
    return false;
}

bool PromptQuarantine::isBlockedBy(PartKey key, TimePoint now) const
{
    const auto found = this->quarantined.find(key);
    if (found == this->quarantined.end())
        return false;
    const auto& probedAt = found->second.probedAt;
    return !probedAt || now - *probedAt >= this->settings.probeTime;
}

bool PromptQuarantine::isBlocked(std::span<const PartKey> parts, TimePoint now, RequestKey request) const
{
    return (request != 0 && this->isBlockedBy(request, now))
        || std::any_of(parts.begin(), parts.end(), [&](PartKey part) { return this->isBlockedBy(part, now); });
}

bool PromptQuarantine::isSuspect(uint64_t prompt, std::span<const PartKey> parts, RequestKey request) const
{
    if (request != 0 && this->crashesOf(request) >= crashesOfSuspect)
        return true;
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

} // namespace guavapond::edge
