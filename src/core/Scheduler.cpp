// Decides what is admitted, what runs next, and what gives way.
#include "core/Scheduler.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace guavapond {

namespace {

constexpr size_t urgentLooked = 8;  // urgent requests looked at for each event; the others follow at the next one
constexpr size_t maxPassedOver = 3; // requests passed over in one round because their best target has too much prefill or is too slow
constexpr Duration noTargetRetry = std::chrono::seconds(1);
constexpr double minWaitFactor = 0.5;
constexpr double maxWaitFactor = 3;
constexpr double waitDamping = 0.5; // s; added to both waits, so that the ratio of two short ones is not learned

Failure refusal(FailureKind kind, std::string message, Duration retryAfter = Duration::zero())
{
    return { kind, Disposition::NotRun, std::move(message), retryAfter };
}

} // namespace

Scheduler::Scheduler(const SchedulerSettings& initial, TargetSet& targetSet, Router& targetRouter, CostModel& costModel)
    : settings(initial)
    , targets(targetSet)
    , router(targetRouter)
    , costs(costModel)
    , limits(initial.limits)
    , queue(initial.queue)
{
}

void Scheduler::applyTable(const TableIndex& table, TimePoint now)
{
    this->limits.applyTable(table, now);
    for (auto& [key, held] : this->heldBack) {
        for (ModelId model : held)
            this->queue.unblock(model, key.second, key.first);
    }
    this->heldBack.clear();
    this->bucketTimers.clear();
    for (size_t m = 0; m < std::max<size_t>(table.modelCount(), this->models.size()); ++m) {
        auto model = static_cast<ModelId>(m);
        this->stateOf(model).capacityRead.reset();
        this->markDirty(model);
    }
}

// ---- Admission
std::optional<Failure> Scheduler::submit(const RequestSpec& request, TimePoint now)
{
    assert(!this->entries.contains(request.id) && "a request is submitted once");
    if (auto failure = this->checkRequest(request, now)) {
        this->noteRefusal(request, *failure);
        return failure;
    }
    if (request.onlyTarget) {
        this->entries.emplace(request.id, Entry { .spec = request });
        this->limits.onQueued(request.workspace, request.tier);
        this->pinned.push_back(request.id);
        return std::nullopt;
    }
    auto best = this->router.estimate(request, now);
    if (!best) {
        auto failure = refusal(FailureKind::NoTarget, "no usable target", noTargetRetry);
        this->noteRefusal(request, failure);
        return failure;
    }
    QueuedItem item { .id = request.id,
        .workspace = request.workspace,
        .tier = request.tier,
        .model = request.model,
        .cost = best->engineTime,
        .shortWork = best->engineTime <= this->targets.settingsInUse().shortWork,
        .arrival = request.arrival,
        .latestStart = request.deadline - fromSeconds(toSeconds(best->engineTime) * (1 + this->settings.deadlineMargin)),
        .weight = this->limits.weight(request.workspace, request.tier) };
    Duration wait = this->expectedWait(item, now);
    if (auto failure = this->admit(request, item, wait, now)) {
        bool isForCapacity = failure->kind != FailureKind::LimitReached;
        auto placement
            = isForCapacity && this->limits.mayRun(item.workspace, item.tier, now) ? this->findPlacement(request, now) : std::nullopt;
        if (failure->kind == FailureKind::QueueFull && !placement)
            this->cancelBelow(item.model, item.tier);
        if (!placement)
            return this->refuseNew(request, std::move(*failure), now);
        this->entries.emplace(request.id, Entry { .spec = request, .cost = item.cost, .predictedWait = wait });
        this->limits.onQueued(item.workspace, item.tier);
        this->place(request.id, *placement, now);
        return std::nullopt;
    }
    item.latestStart = std::max(item.latestStart, now);
    this->queue.push(item);
    this->limits.onQueued(item.workspace, item.tier);
    this->entries.emplace(request.id, Entry { .spec = request, .cost = item.cost, .predictedWait = wait });
    auto& state = this->stateOf(item.model);
    bool isFull = item.shortWork ? state.isFullForShort : state.isFullForLong;
    if (!isFull)
        this->markDirty(item.model);
    else if (!state.retry || item.latestStart < *state.retry)
        this->scheduleRetry(item.model, now);
    return std::nullopt;
}

// Why the request can't be queued.
std::optional<Failure> Scheduler::admit(const RequestSpec& request, const QueuedItem& item, Duration wait, TimePoint now)
{
    // Without a retry hint: the same deadline would be too short later too.
    if (now + fromSeconds(toSeconds(item.cost) * (1 - this->settings.deadlineTolerance)) > request.deadline)
        return refusal(FailureKind::DeadlineUnreachable, "the request takes longer than the time to its deadline");
    if (auto failure = this->limits.checkQueue(item.workspace, item.tier, item.latestStart, now))
        return failure;
    Duration factored = fromSeconds(toSeconds(wait) * this->stateOf(item.model).waitFactor[raw(item.tier)]);
    if (now + factored > std::max(item.latestStart, now))
        return refusal(FailureKind::DeadlineUnreachable, "the work ahead takes longer than the time to the deadline",
            this->retryHint(now + factored - item.latestStart));
    if (this->isHeldByHigherTier(item.model, item.tier, now) && !this->hasDisplaceable(item.model, item.tier))
        return refusal(FailureKind::Shed, "higher tiers need all slots", this->retryHint(this->settings.overloadHold));
    if (!this->makeRoom(request, now))
        return refusal(FailureKind::QueueFull, "the queue of the model is full", this->retryHint(this->settings.overloadHold));
    return std::nullopt;
}

Failure Scheduler::refuseNew(const RequestSpec& request, Failure failure, TimePoint now)
{
    bool isForCapacity = failure.kind != FailureKind::LimitReached;
    if (isForCapacity && !this->limits.mayRun(request.workspace, request.tier, now)) {
        if (this->isPlaceable(request, now))
            failure = refusal(FailureKind::LimitReached, "the workspace's limit allows no request now, and the queue is too long",
                this->retryHint(failure.retryAfter));
    } else if (isForCapacity && failure.retryAfter > Duration::zero()) {
        this->shedQueuedBelow(request.model, request.tier, now);
        this->noteCapacityRefusal(request, now);
    }
    this->noteRefusal(request, failure);
    return failure;
}

std::optional<Failure> Scheduler::checkRequest(const RequestSpec& request, TimePoint now) const
{
    if (!this->limits.isKnown(request.workspace))
        return refusal(FailureKind::WorkspaceForbidden, "unknown workspace");
    if (request.deadline <= now)
        return refusal(FailureKind::DeadlineExceeded, "the deadline has passed");
    return std::nullopt;
}

// Makes room in a full queue by displacing the last of a lower tier.
bool Scheduler::makeRoom(const RequestSpec& request, TimePoint now)
{
    if (!this->queue.isFull(request.model))
        return true;
    const auto* victim = this->queue.victimBelow(request.model, request.tier);
    if (!victim)
        return false;
    RequestId id = victim->id;
    if (this->placeQueued(id, now))
        return true;
    this->cancelBelow(request.model, victim->tier);
    this->shedQueued(id, now);
    return true;
}

// Time until a slot is free for the request, from the work that is served before it; without later arrivals.
Duration Scheduler::expectedWait(const QueuedItem& item, TimePoint now)
{
    auto& state = this->stateOf(item.model);
    auto ahead = this->queue.workAhead(item.model, item.tier, item.workspace, item.weight, item.cost, item.shortWork);
    for (size_t t = 0; t < raw(item.tier); ++t) {
        auto higher = this->queue.work(item.model, static_cast<Tier>(t));
        ahead.all += higher.all;
        ahead.shortWork += higher.shortWork;
    }
    bool isFull = item.shortWork ? state.isFullForShort : state.isFullForLong;
    if (!isFull && ahead.all <= 0)
        return Duration::zero();
    double slots = std::max<double>(1, this->capacityOf(item.model, now));
    double reserved = slots * this->targets.settingsInUse().shortWorkFraction;
    double meanCost = state.running > 0 ? toSeconds(state.runningCost) / static_cast<double>(state.running) : 0;
    double untilNextSlot = isFull ? meanCost / slots : 0;
    double all = ahead.all / slots + untilNextSlot;
    if (!item.shortWork)
        return fromSeconds(std::max(all, (ahead.all - ahead.shortWork) / std::max(1.0, slots - reserved)));
    return fromSeconds(reserved >= 1 ? std::min(all, ahead.shortWork / reserved) : all);
}

uint32_t Scheduler::capacityOf(ModelId model, TimePoint now)
{
    auto& state = this->stateOf(model);
    if (!state.capacityRead || now - *state.capacityRead >= this->settings.capacityLifetime) {
        state.capacity = this->router.capacity(model, now);
        state.capacityRead = now;
    }
    return state.capacity;
}

Duration Scheduler::retryHint(Duration wait) const { return std::clamp(wait, this->settings.minRetryAfter, this->settings.maxRetryAfter); }

// ---- Dispatch
std::vector<Action> Scheduler::advance(TimePoint now)
{
    this->targets.refresh(now);
    this->expireRunning(now);
    while (!this->bucketTimers.empty() && this->bucketTimers.begin()->first <= now) {
        auto key = this->bucketTimers.begin()->second;
        this->bucketTimers.erase(this->bucketTimers.begin());
        this->release(key.first, key.second);
    }
    while (!this->retries.empty() && this->retries.begin()->first <= now) {
        ModelId model = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        this->stateOf(model).retry.reset();
        this->markDirty(model);
    }
    this->startPinned(now);
    for (ModelId model : std::exchange(this->dirtyModels, {})) {
        this->stateOf(model).dirty = false;
        this->advanceModel(model, now);
    }
    return std::exchange(this->actions, {});
}

void Scheduler::advanceModel(ModelId model, TimePoint now)
{
    this->expireQueued(model, now);
    this->dispatchModel(model, now);
    this->preemptForUrgent(model, now);
    this->scheduleRetry(model, now);
}

void Scheduler::dispatchModel(ModelId model, TimePoint now)
{
    auto& state = this->stateOf(model);
    state.isFullForLong = false;
    state.isFullForShort = false;
    std::vector<QueuedItem> passedOver;
    for (size_t t = 0; t < tierCount && !state.isFullForShort; ++t) {
        auto tier = static_cast<Tier>(t);
        if (this->isHeldByHigherTier(model, tier, now))
            break;
        while (!state.isFullForShort && passedOver.size() < maxPassedOver) {
            const auto* next = this->nextItem(model, tier, state.isFullForLong ? QueueClass::ShortOnly : QueueClass::Any, now);
            if (!next)
                break;
            QueuedItem item = *next;
            if (!this->limits.mayRun(item.workspace, item.tier, now)) {
                this->holdBack(item, now);
                continue;
            }
            auto choice = this->router.pick(this->entries.at(item.id).spec, now);
            if (!choice) {
                state.isFullForLong = true;
                state.isFullForShort = item.shortWork;
                continue;
            }
            // An engine prefills prompts in order of arrival, so that long ones would hold up the short work of higher tiers.
            Duration backlog = this->targets.view(choice->target, now).pendingPrefill;
            if (backlog > this->settings.maxPrefillBacklog * (tier == Tier::Urgent ? 2 : 1)) {
                passedOver.push_back(this->queue.remove(item.id));
                continue;
            }
            if (this->isTooLate(item, *choice, now)) {
                // Another target may still do it in time. In an overloaded tier waiting for that would hold up the others.
                if (now >= state.refusedUntil[t] || item.latestStart > now + this->settings.preemptLead)
                    passedOver.push_back(this->queue.remove(item.id));
                else
                    this->expire(item, now);
                continue;
            }
            this->queue.take(item.id);
            this->learnWait(this->entries.at(item.id), now);
            this->start(item.id, *choice, now);
        }
    }
    for (const auto& item : passedOver)
        this->queue.push(item);
}

const QueuedItem* Scheduler::nextItem(ModelId model, Tier tier, QueueClass which, TimePoint now) const
{
    // A request that is about to miss its latest start goes first, unless the tier is overloaded: then this order would let all miss it.
    const auto* urgent = this->queue.earliest(model, tier);
    bool isOverloaded = raw(model) < this->models.size() && now < this->models[raw(model)].refusedUntil[raw(tier)];
    if (urgent && !isOverloaded && urgent->latestStart < now + this->settings.preemptLead && (which == QueueClass::Any || urgent->shortWork)
        && this->limits.mayRun(urgent->workspace, tier, now))
        return urgent;
    return this->queue.peek(model, tier, which);
}

// A request that came at once may try its luck; one that waited takes its slot from others and keeps a reserve.
bool Scheduler::isTooLate(const QueuedItem& item, const Choice& choice, TimePoint now) const
{
    double factor = now > item.arrival ? 1 + this->settings.deadlineMargin : 1 - this->settings.deadlineTolerance;
    return now + fromSeconds(toSeconds(choice.completion) * factor) > this->entries.at(item.id).spec.deadline;
}

void Scheduler::start(RequestId id, const Choice& choice, TimePoint now)
{
    auto& entry = this->entries.at(id);
    const auto& spec = entry.spec;
    this->limits.onUnqueued(spec.workspace, spec.tier);
    this->limits.onStarted(spec.workspace, spec.tier, entry.cost, now);
    this->targets.onDispatched(choice.target, spec, choice.cachedTokens, choice.engineTime, now);
    entry.state = State::Running;
    entry.target = choice.target;
    entry.shortWork = choice.engineTime <= this->targets.settingsInUse().shortWork;
    entry.dispatched = now;
    this->list(id, entry, choice.prefill);
    auto& state = this->stateOf(spec.model);
    ++state.running;
    state.runningCost += entry.cost;
    if (spec.idempotent) {
        ++state.displaceable[raw(spec.tier)];
        this->runningDeadlines.emplace(spec.deadline, id);
    }
    ++this->counters.running[raw(spec.tier)];
    ++this->counters.dispatched;
    this->actions.push_back({ .kind = Action::Kind::Dispatch,
        .request = id,
        .target = choice.target,
        .failure = std::nullopt,
        .cachedTokens = choice.cachedTokens,
        .cost = choice.engineTime });
}

// A resumed stream continues work that its target already holds, so it needs no slot.
void Scheduler::startPinned(TimePoint now)
{
    for (RequestId id : std::exchange(this->pinned, {})) {
        auto position = this->entries.find(id);
        if (position != this->entries.end()) // else it was abandoned
            this->start(id, Choice { .target = *position->second.spec.onlyTarget }, now);
    }
}

void Scheduler::holdBack(const QueuedItem& item, TimePoint now)
{
    WorkspaceTier key { item.workspace, item.tier };
    this->queue.block(item.model, item.tier, item.workspace);
    auto& held = this->heldBack[key];
    if (std::find(held.begin(), held.end(), item.model) == held.end())
        held.push_back(item.model);
    if (auto allowed = this->limits.nextAllowed(item.workspace, item.tier, now))
        this->bucketTimers.emplace(*allowed, key);
}

void Scheduler::release(WorkspaceId workspace, Tier tier)
{
    auto position = this->heldBack.find({ workspace, tier });
    if (position == this->heldBack.end())
        return;
    for (ModelId model : position->second) {
        this->queue.unblock(model, tier, workspace);
        this->markDirty(model);
    }
    this->heldBack.erase(position);
}

void Scheduler::learnWait(const Entry& entry, TimePoint now)
{
    Duration observed = now - entry.spec.arrival;
    double ratio = (toSeconds(observed) + waitDamping) / (toSeconds(entry.predictedWait) + waitDamping);
    double& factor = this->stateOf(entry.spec.model).waitFactor[raw(entry.spec.tier)];
    factor += this->settings.waitLearningRate * (std::clamp(ratio, minWaitFactor, maxWaitFactor) - factor);
}

// ---- Events of running requests
void Scheduler::onFirstToken(RequestId request, TimePoint now)
{
    this->targets.onFirstToken(request, now);
    // Its target has less prefill to do and may take more.
    auto position = this->entries.find(request);
    if (position == this->entries.end())
        return;
    auto& entry = position->second;
    this->markDirty(entry.spec.model);
    if (auto* work = entry.state == State::Running ? this->findWork(request, entry.target) : nullptr)
        work->prefill = Duration::zero();
}

void Scheduler::onTokens(RequestId request, uint32_t count, TimePoint now)
{
    auto position = this->entries.find(request);
    if (position == this->entries.end())
        return;
    position->second.tokens += count;
    this->targets.onTokens(request, count, now);
}

void Scheduler::onFinished(RequestId request, RunOutcome outcome, TimePoint now)
{
    auto position = this->entries.find(request);
    if (position == this->entries.end() || position->second.state == State::Queued)
        return;
    this->withdrawCancellation(request, position->second);
    Entry entry = std::move(position->second);
    this->entries.erase(position);
    const auto& spec = entry.spec;
    auto& state = this->stateOf(spec.model);
    Duration actual = now - entry.dispatched;
    this->targets.onFinished(request, entry.state == State::Cancelling ? RunOutcome::Cancelled : outcome, now);
    this->limits.onFinished(spec.workspace, spec.tier, entry.cost, actual, now);
    double weight = this->limits.weight(spec.workspace, spec.tier);
    this->queue.correctCharge(spec.model, spec.tier, spec.workspace, weight, actual - entry.cost);
    if (outcome == RunOutcome::Completed && spec.kind == RequestKind::Engine && entry.tokens > 0)
        this->costs.learn(spec, entry.tokens);
    --state.running;
    state.runningCost -= entry.cost;
    if (entry.state == State::Running) {
        --this->counters.running[raw(spec.tier)];
        state.displaceable[raw(spec.tier)] -= spec.idempotent ? 1 : 0;
        this->unlist(request, entry);
        this->runningDeadlines.erase({ spec.deadline, request });
    }
    this->release(spec.workspace, spec.tier);
    this->markDirty(spec.model);
}

// A request that finished before its cancellation was handed out has its answer already.
void Scheduler::withdrawCancellation(RequestId request, const Entry& entry)
{
    if (entry.state != State::Cancelling)
        return;
    auto isIts = [&](const Action& action) { return action.request == request && action.kind == Action::Kind::CancelRunning; };
    auto position = std::find_if(this->actions.begin(), this->actions.end(), isIts);
    if (position == this->actions.end())
        return;
    --this->counters.refused[raw(entry.spec.tier)][static_cast<size_t>(position->failure->kind)];
    this->actions.erase(position);
}

void Scheduler::abandon(RequestId request, TimePoint)
{
    auto position = this->entries.find(request);
    if (position == this->entries.end())
        return;
    auto& entry = position->second;
    if (entry.state == State::Running && entry.spec.idempotent)
        this->cancel(request, entry, { FailureKind::CallerGone, Disposition::Unknown, "the caller went away", Duration::zero() });
    if (entry.state != State::Queued)
        return;
    if (this->queue.find(request))
        this->queue.remove(request);
    this->limits.onUnqueued(entry.spec.workspace, entry.spec.tier);
    this->entries.erase(position);
}

// ---- Shedding
void Scheduler::expireQueued(ModelId model, TimePoint now)
{
    for (size_t t = 0; t < tierCount; ++t) {
        auto tier = static_cast<Tier>(t);
        while (const auto* item = this->queue.earliest(model, tier)) {
            if (item->latestStart >= now)
                break;
            this->expire(*item, now);
        }
    }
}

// Gives up a queued request that can't meet its deadline any more.
void Scheduler::expire(QueuedItem item, TimePoint now)
{
    if (!this->limits.mayRun(item.workspace, item.tier, now)) {
        this->refuseQueued(item.id,
            refusal(FailureKind::LimitReached, "the workspace's limit left no time to start before the deadline",
                this->retryHint(Duration::zero())));
        return;
    }
    if (this->placeQueued(item.id, now))
        return;
    const auto& entry = this->entries.at(item.id);
    this->learnWait(entry, now);
    this->shedQueuedBelow(item.model, item.tier, now);
    this->noteCapacityRefusal(entry.spec, now);
    Duration wait = fromSeconds(this->queue.work(item.model, item.tier).all / std::max<double>(1, this->capacityOf(item.model, now)));
    this->refuseQueued(
        item.id, refusal(FailureKind::DeadlineUnreachable, "no slot was free in time to meet the deadline", this->retryHint(wait)));
}

void Scheduler::expireRunning(TimePoint now)
{
    while (!this->runningDeadlines.empty() && this->runningDeadlines.begin()->first <= now) {
        RequestId id = this->runningDeadlines.begin()->second;
        this->cancel(id, this->entries.at(id),
            { FailureKind::DeadlineExceeded, Disposition::Unknown, "the deadline passed while the request ran", Duration::zero() });
    }
}

// Requests that are about to miss their latest start displace lower-tier work.
void Scheduler::preemptForUrgent(ModelId model, TimePoint now)
{
    for (size_t t = 0; t + 1 < tierCount; ++t) {
        auto tier = static_cast<Tier>(t);
        for (size_t looked = 0; looked < urgentLooked && this->hasDisplaceable(model, tier); ++looked) {
            const auto* item = this->queue.earliest(model, tier);
            if (!item || item->latestStart >= now + this->settings.preemptLead || !this->placeQueued(item->id, now))
                break;
        }
    }
}

// Before a request is refused for want of capacity, queued lower-tier work is refused, the lowest tier first. A tier above one that still
// runs, where it can't help, waits on.
void Scheduler::shedQueuedBelow(ModelId model, Tier tier, TimePoint now)
{
    for (size_t t = tierCount - 1; t > raw(tier); --t) {
        if (this->hasDisplaceable(model, static_cast<Tier>(t)))
            return;
        while (const auto* item = this->queue.earliest(model, static_cast<Tier>(t)))
            this->shedQueued(item->id, now);
    }
}

void Scheduler::shedQueued(RequestId request, TimePoint now)
{
    const auto& spec = this->entries.at(request).spec;
    if (!this->limits.mayRun(spec.workspace, spec.tier, now)) {
        this->refuseQueued(request,
            refusal(FailureKind::LimitReached, "the workspace's limit held the request back until a higher tier needed the queue",
                this->retryHint(this->settings.overloadHold)));
        return;
    }
    this->checkInversion(spec, now);
    this->refuseQueued(request, refusal(FailureKind::Shed, "displaced by a higher tier", this->retryHint(this->settings.overloadHold)));
}

// Work that can't be kept waiting for want of memory is shed only after all work of lower tiers.
void Scheduler::cancelBelow(ModelId model, Tier tier)
{
    std::vector<RequestId> lower;
    for (const auto& works : this->targetWork) {
        for (const auto& work : works) {
            if (work.tier > tier && work.isDisplaceable && this->entries.at(work.id).spec.model == model)
                lower.push_back(work.id);
        }
    }
    for (RequestId id : lower)
        this->displace(id);
}

// ---- Displacing
bool Scheduler::hasDisplaceable(ModelId model, Tier tier) const
{
    if (raw(model) >= this->models.size())
        return false;
    const auto& running = this->models[raw(model)].displaceable;
    return std::any_of(running.begin() + raw(tier) + 1, running.end(), [](size_t count) { return count > 0; });
}

RemainingWork Scheduler::workWithoutLower(TargetId target, Tier tier) const
{
    RemainingWork remaining;
    if (raw(target) >= this->targetWork.size())
        return remaining;
    for (const auto& work : this->targetWork[raw(target)]) {
        if (work.tier > tier && work.isDisplaceable)
            continue;
        ++remaining.running;
        remaining.runningLong += work.shortWork ? 0 : 1;
        remaining.prefill += work.prefill;
    }
    return remaining;
}

// True if the request would meet its deadline on some target without lower-tier work.
bool Scheduler::isPlaceable(const RequestSpec& request, TimePoint now)
{
    if (!this->hasDisplaceable(request.model, request.tier))
        return false;
    auto candidates = this->router.placeable(request.model);
    return std::any_of(candidates.begin(), candidates.end(), [&](TargetId target) {
        auto choice = this->router.estimateBeside(request, target, this->workWithoutLower(target, request.tier), now);
        return choice.free && now + choice.completion <= request.deadline;
    });
}

// The place that costs the least: no victim of a higher tier that a lower one spares, then the least work lost, then the earliest end.
std::optional<Scheduler::Placement> Scheduler::findPlacement(const RequestSpec& request, TimePoint now)
{
    std::optional<Placement> best;
    if (!this->hasDisplaceable(request.model, request.tier))
        return best;
    auto rank = [](const Placement& p) { return std::tie(p.victimsByTier[0], p.victimsByTier[1], p.lost, p.choice.completion); };
    for (TargetId target : this->router.placeable(request.model)) {
        auto placement = this->placementOn(request, target, now);
        if (placement && (!best || rank(*placement) < rank(*best)))
            best = std::move(placement);
    }
    return best;
}

// Feasibility is judged without lower-tier work. The victims are as few as free a slot and meet the deadline within the tolerance: of
// the lowest tier first, of the same length if there is one, because a short request loses little and its slot is enough for another,
// and the last to have started, which has done the least. With a slot free, prompts that are prefilled first are in the way.
std::optional<Scheduler::Placement> Scheduler::placementOn(const RequestSpec& request, TargetId target, TimePoint now) const
{
    auto remaining = this->workWithoutLower(target, request.tier);
    Placement placement;
    placement.choice = this->router.estimateBeside(request, target, remaining, now);
    if (!placement.choice.free || now + placement.choice.completion > request.deadline)
        return std::nullopt;
    bool isShort = placement.choice.engineTime <= this->targets.settingsInUse().shortWork;
    std::vector<TargetWork> lower;
    if (raw(target) < this->targetWork.size()) {
        for (const auto& work : this->targetWork[raw(target)]) {
            if (work.tier > request.tier && work.isDisplaceable)
                lower.push_back(work);
        }
    }
    for (const auto& work : lower) {
        ++remaining.running;
        remaining.runningLong += work.shortWork ? 0 : 1;
        remaining.prefill += work.prefill;
    }
    while (!lower.empty()) {
        placement.choice = this->router.estimateBeside(request, target, remaining, now);
        Duration tolerated = fromSeconds(toSeconds(placement.choice.completion) * (1 - this->settings.deadlineTolerance));
        if (placement.choice.free && now + tolerated <= request.deadline)
            return placement;
        auto rank = [&](const TargetWork& work) {
            bool fits = placement.choice.free || work.shortWork == isShort;
            return std::tuple(work.tier, fits, work.prefill > Duration::zero(), work.dispatched, work.id);
        };
        auto victim = std::max_element(lower.begin(), lower.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
        placement.victims.push_back(victim->id);
        ++placement.victimsByTier[raw(victim->tier)];
        placement.lost += now - victim->dispatched;
        --remaining.running;
        remaining.runningLong -= victim->shortWork ? 0 : 1;
        remaining.prefill -= victim->prefill;
        lower.erase(victim);
    }
    placement.choice = this->router.estimateBeside(request, target, remaining, now);
    return placement;
}

bool Scheduler::placeQueued(RequestId request, TimePoint now)
{
    const auto& entry = this->entries.at(request);
    if (!this->limits.mayRun(entry.spec.workspace, entry.spec.tier, now))
        return false;
    auto placement = this->findPlacement(entry.spec, now);
    if (!placement)
        return false;
    this->queue.take(request);
    this->learnWait(entry, now);
    this->place(request, *placement, now);
    return true;
}

void Scheduler::displace(RequestId request)
{
    auto& entry = this->entries.at(request);
    ++this->counters.cancelled[raw(entry.spec.tier)];
    this->cancel(request, entry,
        { FailureKind::Shed, Disposition::Unknown, "cancelled in favour of a higher tier", this->retryHint(this->settings.overloadHold) });
}

void Scheduler::place(RequestId request, const Placement& placement, TimePoint now)
{
    for (RequestId victim : placement.victims)
        this->displace(victim);
    this->start(request, placement.choice, now);
}

void Scheduler::list(RequestId request, const Entry& entry, Duration prefill)
{
    if (raw(entry.target) >= this->targetWork.size())
        this->targetWork.resize(static_cast<size_t>(raw(entry.target)) + 1);
    this->targetWork[raw(entry.target)].push_back({ .id = request,
        .tier = entry.spec.tier,
        .shortWork = entry.shortWork,
        .isDisplaceable = entry.spec.idempotent,
        .prefill = prefill,
        .dispatched = entry.dispatched });
}

Scheduler::TargetWork* Scheduler::findWork(RequestId request, TargetId target)
{
    auto& works = this->targetWork[raw(target)];
    auto position = std::find_if(works.begin(), works.end(), [&](const TargetWork& work) { return work.id == request; });
    return position == works.end() ? nullptr : &*position;
}

void Scheduler::unlist(RequestId request, const Entry& entry)
{
    auto& works = this->targetWork[raw(entry.target)];
    *this->findWork(request, entry.target) = works.back();
    works.pop_back();
}

// While a higher tier is being refused, a lower one gets no slot: it would be cancelled at the next refusal.
bool Scheduler::isHeldByHigherTier(ModelId model, Tier tier, TimePoint now) const
{
    if (raw(model) >= this->models.size())
        return false;
    const auto& state = this->models[raw(model)];
    for (size_t t = 0; t < raw(tier); ++t) {
        if (now < state.refusedUntil[t])
            return true;
    }
    return false;
}

void Scheduler::cancel(RequestId request, Entry& entry, Failure failure)
{
    assert(entry.state == State::Running && entry.spec.idempotent);
    auto& state = this->stateOf(entry.spec.model);
    --state.displaceable[raw(entry.spec.tier)];
    this->unlist(request, entry);
    this->runningDeadlines.erase({ entry.spec.deadline, request });
    entry.state = State::Cancelling;
    --this->counters.running[raw(entry.spec.tier)];
    this->noteRefusal(entry.spec, failure);
    this->actions.push_back(
        { .kind = Action::Kind::CancelRunning, .request = request, .target = entry.target, .failure = std::move(failure) });
}

void Scheduler::refuseQueued(RequestId request, Failure failure)
{
    QueuedItem item = this->queue.remove(request);
    this->limits.onUnqueued(item.workspace, item.tier);
    this->noteRefusal(this->entries.at(request).spec, failure);
    this->entries.erase(request);
    this->actions.push_back({ .kind = Action::Kind::Refuse, .request = request, .target = {}, .failure = std::move(failure) });
}

void Scheduler::noteRefusal(const RequestSpec& request, const Failure& failure)
{
    ++this->counters.refused[raw(request.tier)][static_cast<size_t>(failure.kind)];
}

// Starts the overload hold of the tier.
void Scheduler::noteCapacityRefusal(const RequestSpec& request, TimePoint now)
{
    this->checkInversion(request, now);
    this->stateOf(request.model).refusedUntil[raw(request.tier)] = now + this->settings.overloadHold;
}

void Scheduler::checkInversion(const RequestSpec& request, TimePoint now)
{
    const auto* queued = this->queue.victimBelow(request.model, request.tier);
    bool isInverted = (queued && !this->hasDisplaceable(request.model, queued->tier)) || this->isPlaceable(request, now);
    this->counters.tierInversions += isInverted ? 1 : 0;
}

// ---- Upkeep
Scheduler::ModelState& Scheduler::stateOf(ModelId model)
{
    if (raw(model) >= this->models.size())
        this->models.resize(static_cast<size_t>(raw(model)) + 1);
    return this->models[raw(model)];
}

void Scheduler::markDirty(ModelId model)
{
    auto& state = this->stateOf(model);
    if (std::exchange(state.dirty, true))
        return;
    this->dirtyModels.push_back(model);
}

// The next time at which the model has to be looked at without an event: an expiry, or another attempt to place what waits.
void Scheduler::scheduleRetry(ModelId model, TimePoint now)
{
    auto& state = this->stateOf(model);
    std::optional<TimePoint> next;
    for (size_t t = 0; t < tierCount; ++t) {
        const auto* item = this->queue.earliest(model, static_cast<Tier>(t));
        if (item)
            next = std::min({ next.value_or(TimePoint::max()), item->latestStart + Duration(1), now + this->settings.retryInterval });
    }
    if (state.retry == next)
        return;
    if (state.retry)
        this->retries.erase({ *state.retry, model });
    state.retry = next;
    if (next)
        this->retries.emplace(*next, model);
}

std::optional<TimePoint> Scheduler::nextWake(TimePoint now) const
{
    if (!this->actions.empty() || !this->dirtyModels.empty() || !this->pinned.empty())
        return now;
    std::optional<TimePoint> next;
    auto consider = [&](const auto& timers) {
        if (!timers.empty())
            next = std::min(next.value_or(TimePoint::max()), timers.begin()->first);
    };
    consider(this->retries);
    consider(this->runningDeadlines);
    consider(this->bucketTimers);
    return next;
}

SchedulerStats Scheduler::stats() const
{
    auto result = this->counters;
    for (size_t m = 0; m < this->models.size(); ++m) {
        for (size_t t = 0; t < tierCount; ++t)
            result.queued[t] += this->queue.size(static_cast<ModelId>(m), static_cast<Tier>(t));
    }
    return result;
}

} // namespace guavapond
