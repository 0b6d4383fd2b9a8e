// Grants, refusals and the account of granted places.
#include "edge/PlacementHome.h"

#include "edge/WorkspaceQuota.h"

#include <array>

namespace guavapond::edge {

std::string_view placeVerdictName(PlaceVerdict verdict)
{
    static constexpr std::array<std::string_view, placeVerdictCount> names { "granted", "queued", "elsewhere", "full" };
    return names.at(static_cast<size_t>(verdict));
}

PlacementHome::PlacementHome(TargetPool& pool, std::string group, const HomeSettings& settings)
    : pool(pool)
    , group(std::move(group))
    , settings(settings)
{
}

// Homes of several groups of a service may be on one node and share its pool.
uint64_t PlacementHome::loadKey(uint64_t node) const { return node ^ nameHash(this->group); }

void PlacementHome::ask(const PlaceAsk& ask, TimePoint now)
{
    if (this->keys.contains({ ask.node, ask.id }))
        return;
    Asker& asker = this->askers[ask.node];
    const auto answered = std::find_if(asker.answers.begin(), asker.answers.end(), [&](const PlaceAnswer& a) { return a.id == ask.id; });
    const bool isRepeat = answered != asker.answers.end();
    const WaitKey key = this->queue.add(ask.rank, now + ask.mayWait);
    Waiting& waiting = this->asks[key];
    waiting.ask = ask;
    waiting.giveUpAt = now + ask.mayWait;
    if (ask.firstWithin)
        waiting.latestFirst = now + *ask.firstWithin;
    this->keys[{ ask.node, ask.id }] = key;
    if (!isRepeat)
        return;
    // Its answer was lost; the grant that went with it is taken back and made anew.
    std::erase_if(asker.unseen, [&](const Grant& grant) { return grant.number == answered->grant; });
    asker.answers.erase(answered);
    this->count(ask.node, asker, now);
}

void PlacementHome::forget(const WaitKey& key)
{
    const auto found = this->asks.find(key);
    if (found == this->asks.end())
        return;
    this->keys.erase({ found->second.ask.node, found->second.ask.id });
    this->asks.erase(found);
    this->queue.remove(key);
}

void PlacementHome::withdraw(uint64_t node, uint64_t id)
{
    const auto found = this->keys.find({ node, id });
    if (found != this->keys.end())
        this->forget(found->second);
}

void PlacementHome::report(uint64_t node, uint64_t seenGrant, std::span<const TargetLoadReport> loads, TimePoint now)
{
    Asker& asker = this->askers[node];
    // Grants before one that was seen were seen as well, or lost.
    std::erase_if(asker.unseen, [&](const Grant& grant) { return grant.number <= seenGrant || now - grant.at > this->settings.grantLife; });
    asker.reported.assign(loads.begin(), loads.end());
    asker.reportedAt = now;
    this->count(node, asker, now);
}

void PlacementHome::count(uint64_t node, const Asker& asker, TimePoint now)
{
    this->pool.peerLoads(this->loadKey(node), asker.reported, asker.reportedAt);
    for (const Grant& grant : asker.unseen)
        this->pool.addPeerRun(this->loadKey(node), grant.target, grant.tokens, now);
}

void PlacementHome::hearSum(const GroupSum& sum, TimePoint now) { this->sums[sum.group] = { sum, now }; }

Demand demandOf(const PlaceAsk& ask)
{
    Demand demand;
    demand.promptTokens = ask.promptTokens;
    demand.outputEvents = ask.outputEvents;
    demand.urgent = ask.urgent;
    demand.repeatable = ask.repeatable;
    demand.parts = ask.parts;
    demand.onlyVersion = ask.onlyVersion;
    demand.notVersion = ask.notVersion;
    demand.onlyDomain = ask.group;
    demand.fromDomain = ask.failureDomain;
    return demand;
}

PlaceAnswer PlacementHome::answerTo(const PlaceAsk& ask) const
{
    PlaceAnswer answer;
    answer.node = ask.node;
    answer.id = ask.id;
    answer.service = ask.service;
    answer.group = this->group;
    return answer;
}

std::vector<TargetPool::Index> PlacementHome::leftOut(const PlaceAsk& ask) const
{
    std::vector<TargetPool::Index> result;
    for (const uint64_t hash : ask.leftOut) {
        if (const auto index = this->pool.find(hash))
            result.push_back(*index);
    }
    return result;
}

PlaceAnswer PlacementHome::grant(const PlaceAsk& ask, const TargetPool::Choice& choice, TimePoint now)
{
    PlaceAnswer answer = this->answerTo(ask);
    answer.verdict = PlaceVerdict::Granted;
    answer.target = this->pool.hashOf(choice.target);
    answer.grant = ++this->lastGrant;
    answer.firstEvent = choice.firstEvent;
    answer.backlogTokens = choice.backlogTokens;
    this->askers[ask.node].unseen.push_back({ answer.grant, answer.target, ask.promptTokens, now });
    this->pool.addPeerRun(this->loadKey(ask.node), answer.target, ask.promptTokens, now);
    return answer;
}

PlacementHome::HeardSum* PlacementHome::elsewhere(const Waiting& waiting, TimePoint now)
{
    if (!waiting.ask.mayGoElsewhere)
        return nullptr;
    HeardSum* best = nullptr;
    for (auto& [name, heard] : this->sums) {
        if (now - heard.at > this->settings.sumLife || heard.sum.freeSlots == 0)
            continue;
        if (waiting.latestFirst && now + heard.sum.soonest > *waiting.latestFirst)
            continue;
        if (!best || heard.sum.freeSlots > best->sum.freeSlots)
            best = &heard;
    }
    return best;
}

std::optional<PlaceAnswer> PlacementHome::answerFor(Waiting& waiting, TimePoint now)
{
    const PlaceAsk& ask = waiting.ask;
    const bool isPlain = ask.leftOut.empty() && ask.onlyVersion.empty();
    bool& full = ask.urgent ? this->fullForUrgent : this->fullForOthers;
    if (!isPlain || !full) {
        const auto tried = this->leftOut(ask);
        const auto choice = this->pool.choose(demandOf(ask), tried, now);
        if (choice && (!waiting.latestFirst || now + choice->firstEvent <= *waiting.latestFirst))
            return this->grant(ask, *choice, now);
        full = full || (isPlain && !choice);
    }
    PlaceAnswer answer = this->answerTo(ask);
    if (HeardSum* other = this->elsewhere(waiting, now)) {
        --other->sum.freeSlots;
        answer.verdict = PlaceVerdict::Elsewhere;
        answer.otherGroup = other->sum.group;
        return answer;
    }
    if (now >= waiting.giveUpAt)
        return answer;
    if (waiting.told)
        return std::nullopt;
    waiting.told = true;
    answer.verdict = PlaceVerdict::Queued;
    return answer;
}

std::vector<PlaceAnswer> PlacementHome::serve(TimePoint now)
{
    std::vector<PlaceAnswer> result;
    if (this->queue.empty())
        return result;
    this->fullForUrgent = this->fullForOthers = false;
    for (const WaitKey& key : this->queue.first(this->settings.looked)) {
        const auto answer = this->answerFor(this->asks.at(key), now);
        if (!answer)
            continue;
        result.push_back(*answer);
        if (answer->verdict != PlaceVerdict::Queued)
            this->forget(key);
    }
    for (const WaitKey& key : this->queue.expired(now)) {
        result.push_back(this->answerTo(this->asks.at(key).ask));
        this->forget(key);
    }
    const double occupancy = result.empty() ? 0 : this->pool.occupancy(this->group, now);
    for (PlaceAnswer& answer : result) {
        answer.occupancy = occupancy;
        if (answer.verdict == PlaceVerdict::Queued)
            continue;
        auto& answers = this->askers[answer.node].answers;
        answers.push_back(answer);
        if (answers.size() > this->settings.answersKept)
            answers.pop_front();
    }
    return result;
}

GroupSum PlacementHome::sum(uint64_t service, TimePoint now) const
{
    GroupSum result { service, this->group };
    const TargetPool::Room room = this->pool.room(this->group, now);
    result.freeSlots = room.freeSlots > this->queue.size() ? room.freeSlots - static_cast<uint32_t>(this->queue.size()) : 0;
    result.soonest = room.soonest;
    return result;
}

} // namespace guavapond::edge
