// Start-time fair queueing among workspaces, shortest first with ageing inside each.
#include "core/FairQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace guavapond {

namespace {

double secondsOf(TimePoint time) { return toSeconds(time.time_since_epoch()); }

// A request without a known cost still counts, so that free work does not pass the weights by.
constexpr double minCost = 1e-3; // engine seconds

double costOf(const QueuedItem& item) { return std::max(minCost, toSeconds(item.cost)); }

} // namespace

FairQueue::FairQueue(const FairQueueSettings& initial)
    : settings(initial)
{
}

bool FairQueue::isFull(ModelId model) const
{
    size_t waiting = 0;
    for (size_t t = 0; t < tierCount; ++t)
        waiting += this->size(model, static_cast<Tier>(t));
    return waiting >= this->settings.maxPerModel;
}

void FairQueue::push(const QueuedItem& item)
{
    assert(!this->isFull(item.model) && item.weight > 0);
    [[maybe_unused]] bool isNew = this->items.emplace(item.id, item).second;
    assert(isNew && "a request is queued once");
    auto& lane = this->laneFor(item.model, item.tier);
    auto [position, isNewFlow] = lane.flows.try_emplace(item.workspace);
    auto& flow = position->second;
    if (isNewFlow)
        flow.start = lane.virtualTime;
    delist(lane, item.workspace, flow);
    if (flow.isEmpty())
        flow.start = std::max(flow.start, lane.virtualTime);
    flow.weight = item.weight;
    (item.shortWork ? flow.shortItems : flow.longItems).emplace(this->keyOf(item), item.id);
    flow.work[sizeClass(item.cost)] += costOf(item);
    lane.work[sizeClass(item.cost)] += costOf(item);
    lane.shortWork += item.shortWork ? costOf(item) : 0;
    lane.byLatestStart.emplace(item.latestStart, item.id);
    enlist(lane, item.workspace, flow);
}

const QueuedItem* FairQueue::find(RequestId id) const
{
    auto position = this->items.find(id);
    return position == this->items.end() ? nullptr : &position->second;
}

const QueuedItem* FairQueue::peek(ModelId model, Tier tier, QueueClass which) const
{
    const auto* lane = this->lane(model, tier);
    if (!lane)
        return nullptr;
    const auto& order = which == QueueClass::ShortOnly ? lane->shortOrder : lane->order;
    if (order.empty())
        return nullptr;
    const auto& flow = lane->flows.at(order.begin()->second);
    bool takeShort = which == QueueClass::ShortOnly || flow.longItems.empty()
        || (!flow.shortItems.empty() && *flow.shortItems.begin() < *flow.longItems.begin());
    return this->find((takeShort ? flow.shortItems : flow.longItems).begin()->second);
}

QueuedItem FairQueue::take(RequestId id) { return this->extract(id, true); }

QueuedItem FairQueue::remove(RequestId id) { return this->extract(id, false); }

void FairQueue::correctCharge(ModelId model, Tier tier, WorkspaceId workspace, double weight, Duration difference)
{
    auto& lane = this->laneFor(model, tier);
    auto position = lane.flows.find(workspace);
    if (position == lane.flows.end())
        return;
    auto& flow = position->second;
    delist(lane, workspace, flow);
    // A refund does not take the tag below the virtual time: unused time is not saved up.
    flow.start = std::max(std::min(flow.start, lane.virtualTime), flow.start + toSeconds(difference) / weight);
    enlist(lane, workspace, flow);
}

void FairQueue::block(ModelId model, Tier tier, WorkspaceId workspace)
{
    auto& lane = this->laneFor(model, tier);
    auto position = lane.flows.find(workspace);
    if (position == lane.flows.end() || position->second.blocked)
        return;
    delist(lane, workspace, position->second);
    position->second.blocked = true;
    enlist(lane, workspace, position->second);
}

void FairQueue::unblock(ModelId model, Tier tier, WorkspaceId workspace)
{
    auto& lane = this->laneFor(model, tier);
    auto position = lane.flows.find(workspace);
    if (position == lane.flows.end() || !position->second.blocked)
        return;
    auto& flow = position->second;
    delist(lane, workspace, flow);
    flow.blocked = false;
    flow.start = std::max(flow.start, lane.virtualTime); // no credit for the time it was held back by its own limit
    enlist(lane, workspace, flow);
}

const QueuedItem* FairQueue::victimBelow(ModelId model, Tier tier) const
{
    for (size_t t = tierCount - 1; t > raw(tier); --t) {
        const auto* lane = this->lane(model, static_cast<Tier>(t));
        if (lane && !lane->byLatestStart.empty())
            return this->lastOf(*lane);
    }
    return nullptr;
}

const QueuedItem* FairQueue::earliest(ModelId model, Tier tier) const
{
    const auto* lane = this->lane(model, tier);
    return lane && !lane->byLatestStart.empty() ? this->find(lane->byLatestStart.begin()->second) : nullptr;
}

size_t FairQueue::countStartingBefore(ModelId model, Tier tier, TimePoint time, size_t most) const
{
    const auto* lane = this->lane(model, tier);
    size_t count = 0;
    if (!lane)
        return count;
    for (auto position = lane->byLatestStart.begin(); position != lane->byLatestStart.end() && position->first < time && count < most;
         ++position)
        ++count;
    return count;
}

WorkAhead FairQueue::workAhead(ModelId model, Tier tier, WorkspaceId workspace, double weight, Duration cost, bool shortWork) const
{
    const auto* lane = this->lane(model, tier);
    if (!lane)
        return {};
    auto position = lane->flows.find(workspace);
    const Flow* flow = position == lane->flows.end() ? nullptr : &position->second;
    auto upTo = static_cast<std::ptrdiff_t>(sizeClass(cost)) + 1;
    double own = flow ? std::accumulate(flow->work.begin(), flow->work.begin() + upTo, 0.0) : 0;
    double ownAll = flow ? std::accumulate(flow->work.begin(), flow->work.end(), 0.0) : 0;
    double lag = flow ? std::max(0.0, flow->start - lane->virtualTime) : 0;
    bool isActive = flow && !flow->isEmpty() && !flow->blocked;
    double othersWeight = std::max(0.0, lane->activeWeight - (isActive ? flow->weight : 0));
    // Others are served until their tags reach the one that this workspace has after its own work ahead.
    double others = othersWeight * (lag + own / weight);
    double othersAll = std::max(0.0, std::accumulate(lane->work.begin(), lane->work.end(), 0.0) - ownAll);
    double othersShort = std::min(othersAll, lane->shortWork);
    return { own + std::min(others, othersAll), std::min(own, shortWork ? own : lane->shortWork) + std::min(others, othersShort) };
}

WorkAhead FairQueue::work(ModelId model, Tier tier) const
{
    const auto* lane = this->lane(model, tier);
    return lane ? WorkAhead { std::accumulate(lane->work.begin(), lane->work.end(), 0.0), lane->shortWork } : WorkAhead {};
}

size_t FairQueue::size(ModelId model, Tier tier) const
{
    const auto* lane = this->lane(model, tier);
    return lane ? lane->byLatestStart.size() : 0;
}

size_t FairQueue::sizeClass(Duration cost)
{
    int exponent = static_cast<int>(std::ceil(std::log2(std::max(minCost, toSeconds(cost))))) + 4;
    return static_cast<size_t>(std::clamp(exponent, 0, static_cast<int>(sizeClasses) - 1));
}

const FairQueue::Lane* FairQueue::lane(ModelId model, Tier tier) const
{
    return raw(model) < this->lanes.size() ? &this->lanes[raw(model)][raw(tier)] : nullptr;
}

FairQueue::Lane& FairQueue::laneFor(ModelId model, Tier tier)
{
    if (raw(model) >= this->lanes.size())
        this->lanes.resize(static_cast<size_t>(raw(model)) + 1);
    return this->lanes[raw(model)][raw(tier)];
}

double FairQueue::keyOf(const QueuedItem& item) const { return costOf(item) + this->settings.ageing * secondsOf(item.arrival); }

void FairQueue::enlist(Lane& lane, WorkspaceId workspace, Flow& flow)
{
    lane.largestTag = std::max(lane.largestTag, flow.start);
    Tag tag { flow.start, workspace };
    if (flow.isEmpty()) {
        lane.idle.insert(tag);
        return;
    }
    if (flow.blocked) {
        lane.blockedOrder.insert(tag);
        return;
    }
    lane.order.insert(tag);
    lane.activeWeight += flow.weight;
    if (!flow.shortItems.empty())
        lane.shortOrder.insert(tag);
}

void FairQueue::delist(Lane& lane, WorkspaceId workspace, Flow& flow)
{
    Tag tag { flow.start, workspace };
    lane.idle.erase(tag);
    lane.blockedOrder.erase(tag);
    lane.shortOrder.erase(tag);
    if (lane.order.erase(tag) > 0)
        lane.activeWeight -= flow.weight;
}

void FairQueue::advanceVirtualTime(Lane& lane)
{
    // With nothing left to serve a new busy period starts, in which all workspaces are equal again.
    double next = lane.order.empty() ? lane.largestTag : lane.order.begin()->first;
    lane.virtualTime = std::max(lane.virtualTime, next);
    while (!lane.idle.empty() && lane.idle.begin()->first <= lane.virtualTime) {
        lane.flows.erase(lane.idle.begin()->second);
        lane.idle.erase(lane.idle.begin());
    }
    if (lane.byLatestStart.empty()) {
        // Sums of differences would otherwise collect rounding errors.
        lane.work.fill(0);
        lane.shortWork = 0;
        lane.activeWeight = 0;
    }
}

QueuedItem FairQueue::extract(RequestId id, bool charge)
{
    auto position = this->items.find(id);
    assert(position != this->items.end() && "the request is not queued");
    QueuedItem item = position->second;
    this->items.erase(position);
    auto& lane = this->laneFor(item.model, item.tier);
    auto& flow = lane.flows.at(item.workspace);
    delist(lane, item.workspace, flow);
    (item.shortWork ? flow.shortItems : flow.longItems).erase({ this->keyOf(item), id });
    size_t size = sizeClass(item.cost);
    flow.work[size] = std::max(0.0, flow.work[size] - costOf(item));
    lane.work[size] = std::max(0.0, lane.work[size] - costOf(item));
    lane.shortWork = std::max(0.0, lane.shortWork - (item.shortWork ? costOf(item) : 0));
    lane.byLatestStart.erase({ item.latestStart, id });
    if (charge) {
        lane.virtualTime = std::max(lane.virtualTime, std::min(flow.start, lane.order.empty() ? flow.start : lane.order.begin()->first));
        flow.start += costOf(item) / flow.weight;
    }
    flow.blocked = flow.blocked && !flow.isEmpty();
    enlist(lane, item.workspace, flow);
    advanceVirtualTime(lane);
    return item;
}

const QueuedItem* FairQueue::lastOf(const Lane& lane) const
{
    // Blocked workspaces can't run now, so their requests are the last in any case.
    const auto& order = lane.blockedOrder.empty() ? lane.order : lane.blockedOrder;
    const auto& flow = lane.flows.at(order.rbegin()->second);
    const auto& candidates = flow.longItems.empty() ? flow.shortItems : flow.longItems;
    return this->find(candidates.rbegin()->second);
}

} // namespace guavapond
