// Asking, answering and passing over homes.
#include "edge/Placement.h"

#include "adapters/Logging.h"
#include "edge/WorkspaceQuota.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace guavapond::edge {

namespace {

constexpr Duration occupancyLife = std::chrono::seconds(1); // of what a home told
constexpr uint32_t placedAlone = 1;                         // requests of this node at a target that it chose without a home

// Finalizer of splitmix64: spreads the bits of joined hashes.
uint64_t mixed(uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

Placement::Placement(Hooks hooks, const PlacementBounds& bounds)
    : hooks(std::move(hooks))
    , bounds(bounds)
{
    this->setSelf({ "self", "" }, 1);
}

void Placement::setSelf(const Node& value, uint64_t processIncarnation)
{
    this->self = value;
    this->selfHash = nameHash(value.name);
    this->incarnation = processIncarnation;
    this->setNodes({});
}

void Placement::setNodes(std::vector<Node> others)
{
    others.push_back(this->self);
    if (others == this->nodes)
        return;
    this->nodes = std::move(others);
    for (const Node& node : this->nodes)
        this->names[nameHash(node.name)] = node.name;
}

bool Placement::isMuted(const std::string& node, TimePoint now) const
{
    const auto found = this->muted.find(node);
    return found != this->muted.end() && now - found->second < this->bounds.mutedFor;
}

std::string Placement::homeOf(uint64_t service, const std::string& group, TimePoint now) const
{
    const uint64_t key = mixed(service ^ nameHash(group));
    const Node* best = nullptr;
    uint64_t bestScore = 0;
    const auto consider = [&](const Node& node) {
        if (node.name != this->self.name && this->isMuted(node.name, now))
            return;
        const uint64_t score = mixed(key ^ nameHash(node.name));
        if (!best || score > bestScore) {
            best = &node;
            bestScore = score;
        }
    };
    for (const Node& node : this->nodes) {
        if (group.empty() || node.failureDomain == group)
            consider(node);
    }
    if (!best) // nobody is heard in the targets' failure domain
        std::for_each(this->nodes.begin(), this->nodes.end(), consider);
    return best ? best->name : this->self.name;
}

std::vector<std::string> Placement::groups(const TargetPool& pool)
{
    return pool.isGrouped() ? pool.domains() : std::vector<std::string> { "" };
}

std::string Placement::firstGroup(const TargetPool& pool) const
{
    const std::vector<std::string> all = groups(pool);
    if (all.empty() || std::find(all.begin(), all.end(), this->self.failureDomain) != all.end())
        return all.empty() ? "" : this->self.failureDomain;
    return all[static_cast<size_t>(this->hooks.random() * static_cast<double>(all.size()))];
}

Placement::OwnHome* Placement::ownHome(const GroupKey& key)
{
    OwnHome& own = this->homes[key];
    if (own.home)
        return &own;
    TargetPool* pool = this->hooks.pool(key.first);
    if (!pool) {
        this->homes.erase(key);
        return nullptr;
    }
    own.home = std::make_unique<PlacementHome>(*pool, key.second);
    log(LogLevel::Info, "home of targets", { { "service", std::to_string(key.first) }, { "group", key.second } });
    return &own;
}

PlacementMessage& Placement::outbox(const std::string& node)
{
    if (this->outgoing.empty())
        this->hooks.flushSoon();
    return this->outgoing[node];
}

uint64_t Placement::ask(PlaceAsk ask, Done done, TimePoint now)
{
    const uint64_t id = ++this->lastAsk;
    ++this->total.asked;
    TargetPool* pool = this->hooks.pool(ask.service);
    ask.node = this->selfHash;
    ask.id = id;
    ask.failureDomain = this->self.failureDomain;
    if (pool) {
        ask.group = this->firstGroup(*pool);
        const auto unwanted = pool->unavailableTargets(ask.group, now);
        ask.leftOut.insert(ask.leftOut.end(), unwanted.begin(), unwanted.end());
    }
    Pending& entry = this->pending[id];
    entry.giveUpAt = now + ask.mayWait;
    if (ask.firstWithin)
        entry.latestFirst = now + *ask.firstWithin;
    entry.done = std::move(done);
    entry.ask = std::move(ask);
    this->dispatch(id, now);
    return id;
}

void Placement::dispatch(uint64_t id, TimePoint now)
{
    Pending& entry = this->pending.at(id);
    const GroupKey key { entry.ask.service, entry.ask.group };
    entry.home = this->homeOf(key.first, key.second, now);
    entry.askedAt = now;
    entry.sentAt = now;
    entry.queued = false;
    entry.ask.mayWait = std::max(entry.giveUpAt - now, Duration::zero());
    if (entry.latestFirst)
        entry.ask.firstWithin = *entry.latestFirst - now;
    if (entry.home != this->self.name) {
        this->outbox(entry.home).asks.push_back(entry.ask);
        this->states[key].reportDue = true;
        return;
    }
    OwnHome* own = this->ownHome(key);
    if (!own)
        return this->placeAlone(id, now);
    own->home->ask(entry.ask, now);
    this->serve(key, now);
}

// Answers run this node's requests, which may ask again or end; those that come up meanwhile are served in a further round.
void Placement::serve(const GroupKey& key, TimePoint now)
{
    OwnHome* own = this->ownHome(key);
    if (!own)
        return;
    own->serveAgain = true;
    if (own->serving)
        return;
    own->serving = true;
    while (own->serveAgain) {
        own->serveAgain = false;
        for (const PlaceAnswer& answer : own->home->serve(now)) {
            if (answer.node != this->selfHash) {
                const auto name = this->names.find(answer.node);
                if (name != this->names.end())
                    this->outbox(name->second).answers.push_back(answer);
                continue;
            }
            this->answered(answer, this->self.name, this->incarnation, now);
            // This node's work is in the pool by itself.
            if (answer.verdict == PlaceVerdict::Granted)
                own->home->report(this->selfHash, answer.grant, {}, now);
        }
    }
    own->serving = false;
}

void Placement::answered(const PlaceAnswer& answer, const std::string& from, uint64_t homeIncarnation, TimePoint now)
{
    GroupState& state = this->states[{ answer.service, answer.group }];
    if (state.homeIncarnation != homeIncarnation)
        state.seenGrant = 0;
    state.homeIncarnation = homeIncarnation;
    state.seenGrant = std::max(state.seenGrant, answer.grant);
    state.occupancy = answer.occupancy;
    state.toldAt = now;
    const auto found = this->pending.find(answer.id);
    if (found == this->pending.end() || found->second.home != from) {
        state.reportDue = true; // the home learns that a grant is not used
        return;
    }
    Pending& entry = found->second;
    switch (answer.verdict) {
    case PlaceVerdict::Queued:
        entry.queued = true;
        return;
    case PlaceVerdict::Elsewhere:
        ++this->total.elsewhere;
        entry.ask.group = answer.otherGroup;
        entry.ask.mayGoElsewhere = false;
        entry.homesAsked = 0;
        return this->dispatch(answer.id, now);
    case PlaceVerdict::Granted:
    case PlaceVerdict::Full:
        return this->finish(answer.id, answer);
    }
}

void Placement::finish(uint64_t id, const PlaceAnswer& answer)
{
    const auto found = this->pending.find(id);
    const Done done = std::move(found->second.done);
    this->pending.erase(found);
    ++(answer.verdict == PlaceVerdict::Granted ? this->total.granted : this->total.full);
    done(answer);
}

void Placement::withdraw(uint64_t id)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end())
        return;
    const PlaceAsk& ask = found->second.ask;
    if (found->second.home != this->self.name)
        this->outbox(found->second.home).withdrawn.push_back({ ask.service, ask.group, id });
    else if (OwnHome* own = this->ownHome({ ask.service, ask.group }))
        own->home->withdraw(this->selfHash, id);
    this->pending.erase(found);
}

void Placement::changed(uint64_t service, TimePoint now)
{
    for (auto state = this->states.lower_bound({ service, "" }); state != this->states.end() && state->first.first == service; ++state) {
        state->second.reportDue = true;
        this->hooks.flushSoon();
    }
    std::vector<GroupKey> own;
    for (auto home = this->homes.lower_bound({ service, "" }); home != this->homes.end() && home->first.first == service; ++home)
        own.push_back(home->first);
    for (const GroupKey& key : own)
        this->serve(key, now);
}

void Placement::learned(const RunSample& sample, TimePoint now)
{
    TargetPool* pool = this->hooks.pool(sample.service);
    const auto index = pool ? pool->find(sample.target) : std::nullopt;
    if (!index)
        return;
    const std::string group = pool->isGrouped() ? pool->info(*index).failureDomain : "";
    const std::string home = this->homeOf(sample.service, group, now);
    if (home != this->self.name)
        this->outbox(home).samples.push_back(sample);
}

void Placement::mute(const std::string& node, TimePoint now)
{
    if (this->isMuted(node, now))
        return;
    this->muted[node] = now;
    ++this->total.silent;
    log(LogLevel::Info, "home does not answer", { { "node", node }, { "asks", this->pending.size() } });
}

void Placement::chase(uint64_t id, TimePoint now)
{
    Pending& entry = this->pending.at(id);
    if (entry.home == this->self.name) // its queue ends the wait
        return;
    const bool isLate = entry.queued ? now > entry.giveUpAt + this->bounds.lateAnswer : now - entry.askedAt > this->bounds.homeSilent;
    if (!isLate && !entry.queued && now - entry.sentAt > this->bounds.repeatAfter) {
        entry.sentAt = now;
        this->outbox(entry.home).asks.push_back(entry.ask);
    }
    if (!isLate && !this->isMuted(entry.home, now))
        return;
    this->mute(entry.home, now);
    if (++entry.homesAsked < this->bounds.homesAsked && now < entry.giveUpAt)
        return this->dispatch(id, now);
    this->placeAlone(id, now);
}

void Placement::placeAlone(uint64_t id, TimePoint now)
{
    const Pending& entry = this->pending.at(id);
    ++this->total.alone;
    PlaceAnswer answer;
    answer.id = id;
    answer.service = entry.ask.service;
    if (TargetPool* pool = this->hooks.pool(entry.ask.service)) {
        Demand demand = demandOf(entry.ask);
        demand.onlyDomain = {};
        demand.maxOwnInFlight = placedAlone;
        demand.scoreJitter = this->bounds.aloneSpread;
        std::vector<TargetPool::Index> leftOut;
        for (const uint64_t hash : entry.ask.leftOut) {
            if (const auto index = pool->find(hash))
                leftOut.push_back(*index);
        }
        const auto choice = pool->choose(demand, leftOut, now);
        if (choice && (!entry.latestFirst || now + choice->firstEvent <= *entry.latestFirst)) {
            answer.verdict = PlaceVerdict::Granted;
            answer.target = pool->hashOf(choice->target);
            answer.firstEvent = choice->firstEvent;
            answer.backlogTokens = choice->backlogTokens;
        }
    }
    this->finish(id, answer);
}

void Placement::received(const PlacementMessage& message, TimePoint now)
{
    if (message.node == this->self.name)
        return;
    this->muted.erase(message.node);
    const uint64_t from = nameHash(message.node);
    this->names[from] = message.node;
    auto& [lastIncarnation, lastSequence] = this->heard[message.node];
    // A report that was overtaken by a newer one is old; all else stands for itself.
    const bool isNewest = lastIncarnation != message.incarnation || message.sequence > lastSequence;
    if (isNewest) {
        lastIncarnation = message.incarnation;
        lastSequence = message.sequence;
    }
    std::set<GroupKey> touched;
    for (const GroupReport& report : message.reports) {
        OwnHome* own = isNewest ? this->ownHome({ report.service, report.group }) : nullptr;
        if (!own)
            continue;
        own->home->report(from, report.homeIncarnation == this->incarnation ? report.seenGrant : 0, report.loads, now);
        touched.insert({ report.service, report.group });
    }
    for (const RunSample& sample : message.samples) {
        TargetPool* pool = this->hooks.pool(sample.service);
        if (const auto index = pool ? pool->find(sample.target) : std::nullopt)
            pool->applySample(*index, sample, now);
    }
    for (const PlaceAsk& ask : message.asks) {
        if (OwnHome* own = ask.node == from ? this->ownHome({ ask.service, ask.group }) : nullptr) {
            own->home->ask(ask, now);
            touched.insert({ ask.service, ask.group });
        }
    }
    for (const Withdrawal& withdrawal : message.withdrawn) {
        if (OwnHome* own = this->ownHome({ withdrawal.service, withdrawal.group }))
            own->home->withdraw(from, withdrawal.id);
    }
    for (const GroupSum& sum : message.sums) {
        for (auto& [key, own] : this->homes) {
            if (key.first == sum.service && key.second != sum.group)
                own.home->hearSum(sum, now);
        }
    }
    for (const PlaceAnswer& answer : message.answers)
        this->answered(answer, message.node, message.incarnation, now);
    for (const GroupKey& key : touched)
        this->serve(key, now);
}

void Placement::tick(TimePoint now)
{
    std::vector<uint64_t> ids;
    ids.reserve(this->pending.size());
    for (const auto& item : this->pending)
        ids.push_back(item.first);
    for (const uint64_t id : ids) {
        if (this->pending.contains(id))
            this->chase(id, now);
    }
    std::vector<GroupKey> waiting;
    for (const auto& [key, own] : this->homes) {
        if (own.home->waiting() > 0)
            waiting.push_back(key);
    }
    for (const GroupKey& key : waiting)
        this->serve(key, now);
    for (auto& [key, state] : this->states)
        state.reportDue = state.reportDue || (state.hadWork && now - state.reportedAt >= this->bounds.reportInterval);
    this->sendSums(now);
    this->flush(now);
}

void Placement::takeHomes(TimePoint now)
{
    if (now - this->homesLookedAt < this->bounds.sumRepeat)
        return;
    this->homesLookedAt = now;
    for (const uint64_t service : this->hooks.services()) {
        const TargetPool* pool = this->hooks.pool(service);
        if (!pool || !pool->isGrouped())
            continue;
        for (const std::string& group : groups(*pool)) {
            if (this->homeOf(service, group, now) == this->self.name)
                this->ownHome({ service, group });
        }
    }
}

void Placement::sendSums(TimePoint now)
{
    this->takeHomes(now);
    for (auto& [key, own] : this->homes) {
        const TargetPool* pool = this->hooks.pool(key.first);
        if (now - own.summedAt >= this->bounds.sumInterval && pool && pool->isGrouped()
            && this->homeOf(key.first, key.second, now) == this->self.name)
            this->sendSum(key, own, now);
    }
}

void Placement::sendSum(const GroupKey& key, OwnHome& own, TimePoint now)
{
    const GroupSum sum = own.home->sum(key.first, now);
    if (sum == own.lastSum && now - own.summedAt < this->bounds.sumRepeat)
        return;
    own.lastSum = sum;
    own.summedAt = now;
    for (const std::string& group : groups(*this->hooks.pool(key.first))) {
        if (group == key.second)
            continue;
        const std::string home = this->homeOf(key.first, group, now);
        if (home != this->self.name)
            this->outbox(home).sums.push_back(sum);
        else if (const auto other = this->homes.find({ key.first, group }); other != this->homes.end())
            other->second.home->hearSum(sum, now);
    }
}

void Placement::addReports(TimePoint now)
{
    for (auto& [key, state] : this->states) {
        const std::string home = this->homeOf(key.first, key.second, now);
        TargetPool* pool = this->hooks.pool(key.first);
        const bool isNewHome = home != state.home && state.hadWork;
        if ((!state.reportDue && !isNewHome) || !pool)
            continue;
        state.reportDue = false;
        state.home = home;
        if (home == this->self.name)
            continue;
        GroupReport report { key.first, key.second, state.homeIncarnation, state.seenGrant, pool->ownLoads(key.second, now) };
        state.hadWork = !report.loads.empty();
        state.reportedAt = now;
        this->outgoing[home].reports.push_back(std::move(report));
    }
}

void Placement::flush(TimePoint now)
{
    this->addReports(now);
    const auto messages = std::exchange(this->outgoing, {});
    for (const auto& [node, content] : messages) {
        if (content.empty())
            continue;
        PlacementMessage message = content;
        message.node = this->self.name;
        message.incarnation = this->incarnation;
        message.sequence = ++this->sequence;
        this->hooks.send(node, message);
    }
}

double Placement::occupancy(uint64_t service, TimePoint now) const
{
    const TargetPool* pool = this->hooks.pool(service);
    if (!pool)
        return 1;
    const std::string group = pool->isGrouped() ? this->self.failureDomain : "";
    const auto found = this->states.find({ service, group });
    if (found != this->states.end() && found->second.occupancy && now - found->second.toldAt < occupancyLife
        && this->homeOf(service, group, now) != this->self.name)
        return *found->second.occupancy;
    return pool->occupancy(group, now);
}

std::vector<Placement::HomeView> Placement::view(uint64_t service, TimePoint now) const
{
    std::vector<HomeView> result;
    const TargetPool* pool = this->hooks.pool(service);
    if (!pool)
        return result;
    for (const std::string& group : groups(*pool)) {
        HomeView entry { service, group, this->homeOf(service, group, now) };
        const auto own = this->homes.find({ service, group });
        if (own != this->homes.end()) {
            entry.waiting = own->second.home->waiting();
            entry.granted = own->second.home->granted();
        }
        result.push_back(entry);
    }
    return result;
}

} // namespace guavapond::edge
