// What nodes tell each other of the suspects in quarantine, and what a node makes of the reports of its peers.
#include "scheduling/PromptQuarantine.h"

#include <algorithm>

namespace guavapond::edge {

QuarantineReport PromptQuarantine::report(TimePoint now) const
{
    QuarantineReport result;
    std::vector<PartKey> inQuestion;
    const auto ask = [&](PartKey part, bool isRequest) {
        const auto found = this->ownBegunAt.find(part);
        if (found == this->ownBegunAt.end() || std::find(inQuestion.begin(), inQuestion.end(), part) != inQuestion.end()
            || result.begun.size() >= this->settings.maxReportedParts)
            return;
        inQuestion.push_back(part);
        result.begun.push_back({ part, now - found->second, isRequest });
    };
    for (const auto& [part, release] : this->releasedAt)
        ask(part, release.isRequest);
    std::vector<std::pair<const Crash*, const Lost*>> own; // to be told, the newest first
    for (size_t i = this->crashes.size(); i > 0; --i) {
        const Crash& crash = this->crashes[i - 1];
        const Duration reportSpan = this->settings.reportTime + this->settleTime;
        if (now - crash.heardAt >= reportSpan) {
            // Of a crash that all nodes know, only what has changed since.
            for (const Lost& lost : crash.lost) {
                const auto answered = this->ownBegunAt.find(lost.request);
                if (lost.request != 0 && answered != this->ownBegunAt.end() && now - answered->second < reportSpan)
                    ask(lost.request, true);
            }
            continue;
        }
        for (const Lost& lost : crash.lost) {
            for (const PartKey part : lost.parts)
                ask(part, false);
            if (lost.request != 0)
                ask(lost.request, true);
            if (lost.isOwn)
                own.emplace_back(&crash, &lost);
        }
    }
    // What was lost before goes first, where not all fit into a report.
    if (own.size() > this->settings.maxReportedStreams)
        std::stable_partition(own.begin(), own.end(),
            [&](const auto& item) { return item.second->request != 0 && this->crashesOf(item.second->request) >= crashesOfSuspect; });
    own.resize(std::min(own.size(), this->settings.maxReportedStreams));
    for (const auto& [crash, lost] : own)
        result.lost.push_back({ crash->target, lost->prompt, now - crash->at, lost->parts, lost->request });
    result.quarantined = this->list(now);
    std::sort(result.quarantined.begin(), result.quarantined.end(), [](const PartAge& a, const PartAge& b) { return a.age < b.age; });
    result.quarantined.resize(std::min(result.quarantined.size(), this->settings.maxReportedParts)); // the store lists them all
    for (const auto& [part, at] : this->withdrawnAt) {
        if (now - at < this->settings.releaseReportTime && result.withdrawn.size() < this->settings.maxReportedParts)
            result.withdrawn.push_back({ part, now - at });
    }
    std::sort(result.withdrawn.begin(), result.withdrawn.end(), [](const PartAge& a, const PartAge& b) { return a.part < b.part; });
    return result;
}

std::vector<PartAge> PromptQuarantine::list(TimePoint now) const
{
    std::vector<PartAge> result;
    for (const auto& [part, entry] : this->quarantined)
        result.push_back({ part, now - entry.since, entry.isRequest });
    return result;
}

void PromptQuarantine::onPeerReport(const QuarantineReport& report, TimePoint now, std::string_view peer)
{
    for (const LostStream& lost : report.lost) {
        if (!lost.parts.empty() || lost.request != 0)
            this->addLost(lost.target, now - lost.age, { lost.prompt, lost.parts, lost.request, false, std::string(peer) }, now);
    }
    for (const PartAge& withdrawn : report.withdrawn)
        this->onPeerWithdrawn(withdrawn, now, peer);
    for (const PartAge& begun : report.begun)
        this->onPeerBegun(begun, now);
    for (const PartAge& entry : report.quarantined)
        this->onPeerVerdict(entry, now);
}

// A node of a former build takes the head of an answer for its end, and doesn't mark what it tells of requests as such: it counts as that
// of a part, which is no request's.
void PromptQuarantine::onPeerBegun(const PartAge& begun, TimePoint now)
{
    auto& times = begun.isRequest ? this->peerAnsweredAt : this->peerBegunAt;
    if (times.size() >= this->settings.maxParts && !times.contains(begun.part))
        return;
    TimePoint& last = times[begun.part];
    last = std::max(last, now - begun.age);
    const auto found = this->quarantined.find(begun.part);
    if (found != this->quarantined.end() && found->second.isRequest == begun.isRequest && last >= found->second.since)
        this->release(begun.part, false);
}

void PromptQuarantine::onPeerWithdrawn(const PartAge& withdrawn, TimePoint now, std::string_view peer)
{
    const TimePoint at = now - withdrawn.age;
    if (this->isWithdrawn(withdrawn.part, at - this->settings.renewalMargin))
        return;
    const auto known = this->quarantined.find(withdrawn.part);
    if (known == this->quarantined.end() || known->second.since <= at + this->settings.renewalMargin)
        this->withdraw(withdrawn.part, at, { withdrawn.part, false, 0, false, false, std::string(peer) });
}

void PromptQuarantine::onPeerVerdict(const PartAge& entry, TimePoint now)
{
    if (entry.age >= forgottenAfter * this->settings.quarantineTime)
        return;
    const TimePoint since = now - entry.age;
    const TimePoint earliest = since - this->settings.renewalMargin;
    const auto known = this->quarantined.find(entry.part);
    const bool isRenewed = known != this->quarantined.end() && known->second.since < earliest;
    const bool isCleared = entry.isRequest ? this->isAnsweredSince(entry.part, earliest)
                                           : this->hasBegunSince(entry.part, earliest) || this->isWithdrawn(entry.part, earliest);
    if ((known == this->quarantined.end() && !isCleared) || isRenewed)
        this->quarantine(entry.part, 0, since, entry.isRequest);
}

} // namespace guavapond::edge
