// Learned speed, window, health and load of targets, and the free lists that follow from them.
#include "core/TargetSet.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <utility>

namespace guavapond {

namespace {

constexpr uint32_t paceOverheadTokens = 256; // tokens; damps the fixed part of the time to a first token for short prompts
constexpr uint32_t leastPrefillTokens = 128; // tokens; shorter prompts tell little about the prefill rate
constexpr uint32_t leastObservations = 5;    // observations of a target before its speed is compared
constexpr double negligibleLoad = 0.05;      // requests; a load report below it is dropped
constexpr int stableIntervals = 4;           // probe intervals without a new ejection after which the interval starts over

double halved(double value, Duration age, Duration halfLife)
{
    if (age <= Duration::zero())
        return value;
    return value * std::exp2(-toSeconds(age) / toSeconds(halfLife));
}

// The lower median: with two targets the slower one is compared with the faster one.
double lowerMedian(std::vector<double>& values)
{
    if (values.size() < 2)
        return 0;
    auto middle = values.begin() + static_cast<ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void TargetSet::Average::add(double observation, double weight)
{
    ++this->observations;
    this->value += std::max(weight, 1.0 / this->observations) * (observation - this->value);
}

TargetSet::TargetSet(const TargetSettings& s, std::string domain)
    : settings(s)
    , failureDomain(std::move(domain))
{
    assert(s.minWindow > 0 && s.recoverRatio < s.stragglerRatio && s.stragglerRatio <= s.ejectRatio);
}

// ---- Table and VM list
void TargetSet::applyTable(const TableIndex& table, TimePoint now)
{
    this->targets.resize(std::max(this->targets.size(), table.targetCount()));
    for (uint32_t i = 0; i < this->targets.size(); ++i)
        this->applyRow(TargetId { i }, table, now);
    this->rebuildGroups(table, now);
}

void TargetSet::applyRow(TargetId id, const TableIndex& table, TimePoint now)
{
    Target& target = this->at(id);
    const TargetRow* row = raw(id) < table.targetCount() ? table.row(id) : nullptr;
    if (row == nullptr) {
        if (target.present && this->forgetHook)
            this->forgetHook(id);
        target.present = false;
        return;
    }
    bool known = target.present && target.name == row->name && target.address == row->address;
    bool relearn = !known || target.version != row->version;
    target.present = true;
    target.name = row->name;
    target.address = row->address;
    target.version = row->version;
    target.kind = row->kind;
    target.model = table.modelOf(id);
    target.local = row->failureDomain == this->failureDomain;
    target.draining = row->state == TargetState::Draining;
    target.leaving = known && target.leaving;
    target.maxRunning = std::max(row->maxRunning, this->settings.minWindow);
    target.learned.window = std::min<double>(target.learned.window, target.maxRunning);
    if (!relearn)
        return;
    this->forgetLearned(id);
    target.health = TargetHealth::Healthy;
    target.consecutiveFailures = target.pendingLost = target.pendingTimeouts = 0;
    target.wasDown = false;
    target.probeInterval = this->settings.firstProbe;
    target.readmitted = now;
}

void TargetSet::rebuildGroups(const TableIndex& table, TimePoint now)
{
    this->models.resize(table.modelCount());
    this->groups.clear();
    for (uint32_t m = 0; m < this->models.size(); ++m) {
        Model& model = this->models[m];
        auto members = table.targetsOf(ModelId { m });
        model = {};
        model.targets.assign(members.begin(), members.end());
        model.firstGroup = static_cast<uint32_t>(this->groups.size());
        for (TargetId id : model.targets)
            this->at(id).group = this->groupFor(model, this->at(id).version);
    }
    for (uint32_t i = 0; i < this->targets.size(); ++i) {
        Target& target = this->targets[i];
        target.position.fill(unlisted);
        target.countedWindow = 0;
        this->reindex(TargetId { i }, now);
    }
}

uint32_t TargetSet::groupFor(Model& model, const std::string& version)
{
    uint32_t group = model.firstGroup;
    while (group < this->groups.size() && this->groups[group].version != version)
        ++group;
    if (group == this->groups.size()) {
        this->groups.emplace_back().version = version;
        ++model.groupCount;
    }
    ++this->groups[group].members;
    return group;
}

void TargetSet::setLeaving(TargetId id, bool leaving, TimePoint now)
{
    if (raw(id) >= this->targets.size() || this->at(id).leaving == leaving)
        return;
    this->at(id).leaving = leaving;
    this->reindex(id, now);
}

void TargetSet::setShare(TargetId id, uint32_t running, TimePoint expiry, TimePoint now)
{
    if (!this->contains(id) || expiry <= now)
        return;
    this->at(id).share = running;
    this->at(id).shareExpiry = expiry;
    this->wakeAt(id, expiry);
    this->reindex(id, now);
}

void TargetSet::forgetLearned(TargetId id)
{
    Target& target = this->at(id);
    target.learned = {};
    target.learned.window = std::clamp(this->settings.initialWindow, this->settings.minWindow, target.maxRunning);
    target.load.reset();
    if (this->forgetHook)
        this->forgetHook(id);
}

void TargetSet::onRestarted(TargetId id, TimePoint now)
{
    if (!this->contains(id))
        return;
    this->forgetLearned(id);
    this->reindex(id, now);
}

// ---- Slots and free lists
bool TargetSet::isUsable(const Target& target) const
{
    return target.present && !target.draining && !target.leaving && target.health != TargetHealth::Ejected;
}

uint32_t TargetSet::effectiveWindow(const Target& target) const
{
    if (!this->isUsable(target))
        return 0;
    auto window = static_cast<uint32_t>(target.learned.window);
    bool doubted = target.health == TargetHealth::Suspect || target.pendingLost + target.pendingTimeouts > 0;
    if (target.health == TargetHealth::Probing)
        return 1;
    if (doubted)
        window = static_cast<uint32_t>(target.learned.window * this->settings.suspectWindow);
    return std::max(window, this->settings.minWindow);
}

double TargetSet::foreignAt(const Target& target, TimePoint now) const
{
    if (!target.load)
        return 0;
    if (target.load->reported < negligibleLoad)
        return 0;
    double foreign = halved(target.load->reported, now - target.load->measured, this->settings.loadHalfLife);
    return foreign < negligibleLoad ? 0 : foreign;
}

// The largest load from other nodes that leaves a slot here; negative: no slot whatever they do.
double TargetSet::room(const Target& target, const RemainingWork& work, bool shortWork) const
{
    // A share caps the room and not the window: a share of zero does not make the target unusable.
    uint32_t window = std::min(this->effectiveWindow(target), target.share.value_or(UINT32_MAX));
    if (work.running >= window)
        return -1;
    // One request of this node always fits. Otherwise nodes whose reports show each other's work would starve the one that came late,
    // and a probed target would never be readmitted under load.
    if (work.running == 0)
        return std::numeric_limits<double>::infinity();
    double any = static_cast<double>(window) - work.running - 1;
    if (shortWork)
        return any;
    double reserved = std::max(1.0, std::floor(window * this->settings.shortWorkFraction));
    double longFree = window - reserved - work.runningLong - 1;
    return std::min(any, longFree / (1 - this->settings.shortWorkFraction));
}

// The earliest time at which the fading load report opens a slot that is shut now.
std::optional<TimePoint> TargetSet::slotOpening(const Target& target, TimePoint now) const
{
    double foreign = this->foreignAt(target, now);
    for (bool shortWork : { true, false }) {
        double space = shortWork ? target.roomShort : target.roomLong;
        if (foreign <= space || space < 0)
            continue;
        double halfLives = std::log2(target.load->reported / std::max(space, negligibleLoad));
        Duration fading = fromSeconds(halfLives * toSeconds(this->settings.loadHalfLife));
        return std::max(target.load->measured + fading, now) + Duration(1); // 1 µs against rounding
    }
    return std::nullopt;
}

void TargetSet::setListed(TargetId id, ListName list, bool listed)
{
    Target& target = this->at(id);
    uint32_t& position = target.position[list];
    if (listed == (position != unlisted))
        return;
    VersionGroup& group = this->groups[target.group];
    VersionGroup::Sides& sides = list == UsableList ? group.usable : list == FreeShortList ? group.freeShort : group.freeLong;
    std::vector<TargetId>& side = sides[target.local ? 0 : 1];
    if (listed) {
        position = static_cast<uint32_t>(side.size());
        side.push_back(id);
        return;
    }
    TargetId last = side.back();
    side[position] = last;
    this->at(last).position[list] = position;
    side.pop_back();
    position = unlisted;
}

void TargetSet::reindex(TargetId id, TimePoint now)
{
    Target& target = this->at(id);
    if (!target.present) {
        target.roomShort = target.roomLong = -1;
        return;
    }
    double foreign = this->foreignAt(target, now);
    uint32_t window = this->effectiveWindow(target);
    this->groups[target.group].windowSum += window - target.countedWindow;
    target.countedWindow = window;
    RemainingWork work { .running = target.running, .runningLong = target.runningLong };
    target.roomShort = this->room(target, work, true);
    target.roomLong = this->room(target, work, false);
    this->setListed(id, UsableList, window > 0);
    this->setListed(id, FreeShortList, foreign <= target.roomShort);
    this->setListed(id, FreeLongList, foreign <= target.roomLong);
    if (auto opening = this->slotOpening(target, now))
        this->wakeAt(id, *opening);
}

void TargetSet::wakeAt(TargetId id, TimePoint time)
{
    Target& target = this->at(id);
    if (target.wake && *target.wake <= time)
        return;
    target.wake = time;
    this->wakes.push({ time, id });
}

void TargetSet::refresh(TimePoint now)
{
    while (!this->wakes.empty() && this->wakes.top().time <= now) {
        Wake due = this->wakes.top();
        this->wakes.pop();
        Target& target = this->at(due.target);
        if (target.wake != due.time)
            continue;
        target.wake.reset();
        if (target.share && target.shareExpiry <= now)
            target.share.reset();
        else if (target.share)
            this->wakeAt(due.target, target.shareExpiry);
        bool slow = target.health == TargetHealth::Ejected && target.reason == EjectReason::Slowness;
        if (slow && target.nextProbe <= now)
            this->startProbing(due.target);
        else if (slow)
            this->wakeAt(due.target, target.nextProbe);
        this->reindex(due.target, now);
    }
}

std::optional<TimePoint> TargetSet::nextChange() const
{
    if (this->wakes.empty())
        return std::nullopt;
    return this->wakes.top().time;
}

// ---- Observations of requests
void TargetSet::notePeak(Target& target, TimePoint now) const
{
    double faded = halved(target.peakRunning, now - target.peakTime, this->settings.loadHalfLife);
    target.peakRunning = std::max<double>(target.running, faded);
    target.peakTime = now;
}

void TargetSet::onDispatched(TargetId id, const RequestSpec& request, uint32_t cachedTokens, Duration cost, TimePoint now)
{
    assert(raw(id) < this->targets.size());
    Target& target = this->at(id);
    uint32_t uncached = request.promptTokens - std::min(cachedTokens, request.promptTokens);
    Run run {
        .target = id,
        .kind = request.kind,
        .shortWork = cost <= this->settings.shortWork,
        .uncachedTokens = uncached,
        .tokensAhead = target.pendingTokens,
        .prefillAhead = target.pendingPrefill,
        .cost = cost,
        .prefill = fromSeconds(uncached / target.learned.rates.prefillTokensPerSecond),
        .dispatched = now,
    };
    bool inserted = this->runs.emplace(raw(request.id), run).second;
    assert(inserted && "a request runs on one target at a time");
    if (!inserted)
        return;
    ++target.running;
    target.runningLong += run.shortWork ? 0 : 1;
    target.backlog += cost;
    target.pendingPrefill += run.prefill;
    target.pendingTokens += uncached;
    this->notePeak(target, now);
    this->reindex(id, now);
    if (this->dispatchHook)
        this->dispatchHook(id, request, now);
}

void TargetSet::onFirstToken(RequestId request, TimePoint now)
{
    auto found = this->runs.find(raw(request));
    if (found == this->runs.end() || found->second.firstToken)
        return;
    Run& run = found->second;
    Target& target = this->at(run.target);
    Duration elapsed = now - run.dispatched;
    run.firstToken = now;
    run.lastToken = now;
    target.pendingPrefill -= run.prefill;
    target.pendingTokens -= run.uncachedTokens;
    run.prefill = Duration::zero();
    if (run.kind != RequestKind::Engine)
        return;
    this->observePrefill(target, run, elapsed);
    // A wait for prompts that were sent before says nothing about the window.
    if (run.shortWork && elapsed - run.prefillAhead > this->settings.firstTokenGoal) {
        run.missedGoal = true;
        // Requests dispatched before the last decrease still met the larger window.
        if (run.dispatched > target.learned.lastDecrease)
            this->decreaseWindow(target, now);
    }
    this->evaluate(target.model, now);
    this->reindex(run.target, now);
}

void TargetSet::onTokens(RequestId request, uint32_t count, TimePoint now)
{
    auto found = this->runs.find(raw(request));
    if (found == this->runs.end() || count == 0)
        return;
    if (!found->second.firstToken) {
        this->onFirstToken(request, now);
        --count;
        found->second.tokens = 1;
    }
    Run& run = found->second;
    Target& target = this->at(run.target);
    if (run.kind != RequestKind::Engine || count == 0)
        return;
    this->observeTokens(target, run, count, now);
    if (target.learned.tokenSeconds.value > this->tokenGoal(target)) {
        run.missedGoal = true;
        uint32_t before = this->effectiveWindow(target);
        this->decreaseWindow(target, now);
        if (this->effectiveWindow(target) != before)
            this->reindex(run.target, now);
    }
    this->evaluate(target.model, now);
}

void TargetSet::onFinished(RequestId request, RunOutcome outcome, TimePoint now)
{
    auto found = this->runs.find(raw(request));
    if (found == this->runs.end())
        return;
    Run run = found->second;
    this->runs.erase(found);
    Target& target = this->at(run.target);
    this->notePeak(target, now);
    --target.running;
    target.runningLong -= run.shortWork ? 0 : 1;
    target.backlog -= run.cost;
    target.pendingPrefill -= run.prefill;
    target.pendingTokens -= run.firstToken ? 0 : run.uncachedTokens;
    if (outcome == RunOutcome::Completed)
        this->onSuccess(run.target, run, now);
    else if (outcome != RunOutcome::Cancelled)
        this->onFailure(run.target, outcome, now);
    if (target.present)
        this->evaluate(target.model, now);
    this->reindex(run.target, now);
}

void TargetSet::observePrefill(Target& target, const Run& run, Duration elapsed)
{
    Learned& learned = target.learned;
    double seconds = std::max(toSeconds(elapsed), 1e-6);
    // An engine prefills prompts in the order in which they came.
    uint32_t tokens = run.uncachedTokens + run.tokensAhead;
    learned.pace.add(seconds / (tokens + paceOverheadTokens), this->settings.learningRate);
    if (tokens < leastPrefillTokens)
        return;
    learned.prefillSeconds.add(seconds / tokens, this->settings.learningRate);
    learned.rates.prefillTokensPerSecond = 1 / learned.prefillSeconds.value;
}

void TargetSet::observeTokens(Target& target, Run& run, uint32_t count, TimePoint now)
{
    Learned& learned = target.learned;
    double seconds = std::max(toSeconds(now - run.lastToken), 1e-6) / count;
    run.lastToken = now;
    run.tokens += count;
    learned.tokenSeconds.add(seconds, this->settings.learningRate);
    learned.rates.decodeTokensPerSecond = 1 / learned.tokenSeconds.value;
    if (learned.tokenSeconds.observations < leastObservations)
        return;
    bool better = learned.bestTokenSeconds == 0 || learned.tokenSeconds.value < learned.bestTokenSeconds;
    learned.bestTokenSeconds = better ? learned.tokenSeconds.value : learned.bestTokenSeconds;
}

void TargetSet::observeService(Target& target, Duration elapsed)
{
    Learned& learned = target.learned;
    double seconds = std::max(toSeconds(elapsed), 1e-6);
    learned.tokenSeconds.add(seconds, this->settings.learningRate);
    learned.rates.decodeTokensPerSecond = 1 / learned.tokenSeconds.value;
}

// ---- Window
// An engine that is slower than the goal even at its best gains nothing from a smaller window.
double TargetSet::tokenGoal(const Target& target) const
{
    return std::max(toSeconds(this->settings.betweenTokensGoal), target.learned.bestTokenSeconds * this->settings.engineFloor);
}

void TargetSet::decreaseWindow(Target& target, TimePoint now)
{
    Learned& learned = target.learned;
    if (learned.lastDecrease != TimePoint::min() && now - learned.lastDecrease < this->settings.windowCooldown)
        return;
    learned.lastDecrease = now;
    learned.window = std::max<double>(learned.window * this->settings.windowDecrease, this->settings.minWindow);
}

void TargetSet::increaseWindow(Target& target)
{
    Learned& learned = target.learned;
    // A window that is not used says nothing about a larger one.
    if ((target.running + 1) * 2 < learned.window)
        return;
    learned.window = std::min<double>(learned.window + this->settings.windowIncrease / learned.window, target.maxRunning);
}

// ---- Health
void TargetSet::onSuccess(TargetId id, const Run& run, TimePoint now)
{
    Target& target = this->at(id);
    bool missed = run.missedGoal;
    if (run.kind == RequestKind::Service) {
        Duration elapsed = now - run.dispatched;
        this->observeService(target, elapsed);
        missed = elapsed > this->settings.firstTokenGoal;
        if (missed)
            this->decreaseWindow(target, now);
    }
    target.consecutiveFailures = 0;
    target.wasDown = false;
    if (!missed)
        this->increaseWindow(target);
    if (target.health == TargetHealth::Probing) {
        ++target.probePassed;
        if (this->slowness(target) >= this->settings.stragglerRatio)
            this->eject(target, EjectReason::Slowness, now);
        else if (target.probePassed >= this->settings.probeSuccesses)
            this->readmit(target, now);
    }
}

void TargetSet::onFailure(TargetId id, RunOutcome outcome, TimePoint now)
{
    Target& target = this->at(id);
    switch (outcome) {
    case RunOutcome::FailedByTarget:
        ++target.consecutiveFailures;
        break;
    case RunOutcome::ConnectionLost:
        ++target.pendingLost;
        break;
    case RunOutcome::TimedOut:
        ++target.pendingTimeouts;
        this->decreaseWindow(target, now);
        break;
    case RunOutcome::Completed:
    case RunOutcome::Cancelled:
        return;
    }
    // The first loss since the last check asks for a check at once.
    if (target.health != TargetHealth::Ejected && target.pendingLost + target.pendingTimeouts == 1)
        target.nextProbe = now;
    if (target.health == TargetHealth::Ejected)
        return;
    if (target.health == TargetHealth::Probing || target.consecutiveFailures >= this->settings.ejectFailures)
        this->eject(target, EjectReason::Failures, now);
}

void TargetSet::onHealthCheck(TargetId id, bool healthy, TimePoint now)
{
    if (!this->contains(id))
        return;
    Target& target = this->at(id);
    uint32_t lost = std::exchange(target.pendingLost, 0);
    uint32_t timeouts = std::exchange(target.pendingTimeouts, 0);
    target.wasDown = target.wasDown || !healthy;
    if (target.health == TargetHealth::Ejected) {
        if (healthy && target.reason == EjectReason::Failures)
            this->startProbing(id);
    } else if (!healthy) {
        // A broken connection and a refused fresh one are two independent signs that the target is down.
        target.consecutiveFailures += lost + timeouts + 1;
        if (lost + timeouts > 0 || target.consecutiveFailures >= this->settings.ejectFailures)
            this->eject(target, EjectReason::Failures, now);
    } else {
        // The target answers checks and lets requests time out: those count as its failures.
        target.consecutiveFailures += timeouts;
        if (target.consecutiveFailures >= this->settings.ejectFailures)
            this->eject(target, EjectReason::Failures, now);
    }
    this->reindex(id, now);
}

void TargetSet::eject(Target& target, EjectReason reason, TimePoint now)
{
    // A target that was stable for some intervals since its readmission starts over; a flapping one waits longer each time.
    if (target.health != TargetHealth::Probing && now - target.readmitted >= stableIntervals * target.probeInterval)
        target.probeInterval = this->settings.firstProbe;
    target.health = TargetHealth::Ejected;
    target.reason = reason;
    target.probePassed = 0;
    target.nextProbe = now + target.probeInterval;
    target.probeInterval = std::min(target.probeInterval * 2, this->settings.maxProbe);
    if (reason == EjectReason::Slowness)
        this->wakeAt(TargetId { static_cast<uint32_t>(&target - this->targets.data()) }, target.nextProbe);
}

void TargetSet::startProbing(TargetId id)
{
    Target& target = this->at(id);
    // What refused a fresh connection and answers again is most likely a new process with an empty cache.
    if (std::exchange(target.wasDown, false))
        this->forgetLearned(id);
    target.health = TargetHealth::Probing;
    target.probePassed = 0;
    target.consecutiveFailures = 0;
    // The target may have been restarted or repaired: its speed is learned again from the probes.
    TokenRates rates = target.learned.rates;
    double best = target.learned.bestTokenSeconds;
    target.learned = {};
    target.learned.rates = rates;
    target.learned.bestTokenSeconds = best;
    target.learned.window = this->settings.minWindow;
    target.load.reset();
}

void TargetSet::readmit(Target& target, TimePoint now)
{
    target.health = TargetHealth::Healthy;
    target.readmitted = now;
    target.learned.window = std::max<double>(this->settings.minWindow, std::min(this->settings.initialWindow, target.maxRunning));
}

// Times the median of the model's targets; 0: not known.
double TargetSet::slowness(const Target& target) const
{
    const Model& model = this->models[raw(target.model)];
    uint32_t enough = target.health == TargetHealth::Probing ? 1 : leastObservations;
    double ratio = 0;
    if (model.medianTokenSeconds > 0 && target.learned.tokenSeconds.observations >= enough)
        ratio = target.learned.tokenSeconds.value / model.medianTokenSeconds;
    if (model.medianPace > 0 && target.learned.pace.observations >= enough)
        ratio = std::max(ratio, target.learned.pace.value / model.medianPace);
    return ratio;
}

void TargetSet::evaluate(ModelId id, TimePoint now)
{
    Model& model = this->models[raw(id)];
    if (now < model.nextEvaluation)
        return;
    model.nextEvaluation = now + this->settings.evaluationInterval;
    std::vector<double> tokenSeconds;
    std::vector<double> paces;
    for (TargetId member : model.targets) {
        const Learned& learned = this->at(member).learned;
        if (learned.tokenSeconds.observations >= leastObservations)
            tokenSeconds.push_back(learned.tokenSeconds.value);
        if (learned.pace.observations >= leastObservations)
            paces.push_back(learned.pace.value);
    }
    model.medianTokenSeconds = lowerMedian(tokenSeconds);
    model.medianPace = lowerMedian(paces);
    for (TargetId member : model.targets)
        this->judgeSpeed(member, now);
}

void TargetSet::judgeSpeed(TargetId id, TimePoint now)
{
    Target& target = this->at(id);
    if (target.health != TargetHealth::Healthy && target.health != TargetHealth::Suspect)
        return;
    double ratio = this->slowness(target);
    TargetHealth before = target.health;
    // A straggler passes through Suspect, so that one evaluation alone never ejects.
    if (before == TargetHealth::Healthy && ratio >= this->settings.stragglerRatio)
        target.health = TargetHealth::Suspect;
    else if (before == TargetHealth::Suspect && ratio >= this->settings.ejectRatio)
        this->eject(target, EjectReason::Slowness, now);
    else if (before == TargetHealth::Suspect && ratio < this->settings.recoverRatio)
        target.health = TargetHealth::Healthy;
    if (target.health != before)
        this->reindex(id, now);
}

std::vector<TargetId> TargetSet::dueHealthChecks(TimePoint now)
{
    std::vector<TargetId> due;
    for (uint32_t i = 0; i < this->targets.size(); ++i) {
        Target& target = this->targets[i];
        bool ejected = target.health == TargetHealth::Ejected && target.reason == EjectReason::Failures;
        bool doubted = target.pendingLost + target.pendingTimeouts > 0;
        if (!target.present || (!ejected && !doubted) || target.nextProbe > now)
            continue;
        target.nextProbe = now + target.probeInterval;
        if (ejected)
            target.probeInterval = std::min(target.probeInterval * 2, this->settings.maxProbe);
        due.push_back(TargetId { i });
    }
    return due;
}

// ---- Load reports
void TargetSet::onLoadReport(TargetId id, uint32_t running, uint32_t waiting, Duration age, TimePoint now)
{
    if (raw(id) >= this->targets.size())
        return;
    Target& target = this->at(id);
    // The report includes this node's own requests of that time: at least the present ones, at most the recent peak.
    this->notePeak(target, now);
    double foreign = std::max(0.0, static_cast<double>(running) + waiting - target.peakRunning);
    target.load = Load { .reported = foreign, .measured = now - std::max(age, Duration::zero()) };
    this->reindex(id, now);
}

// ---- Reading
size_t TargetSet::size() const
{
    return static_cast<size_t>(std::count_if(this->targets.begin(), this->targets.end(), [](const Target& t) { return t.present; }));
}

bool TargetSet::contains(TargetId id) const { return raw(id) < this->targets.size() && this->at(id).present; }

TargetView TargetSet::view(TargetId id, TimePoint now) const
{
    const Target& target = this->at(id);
    double foreign = this->foreignAt(target, now);
    return {
        .id = id,
        .model = target.model,
        .health = target.health,
        .draining = target.draining || target.leaving || !target.present,
        .local = target.local,
        .window = target.present ? target.countedWindow : 0,
        .running = target.running,
        .foreignRunning = foreign,
        .backlog = target.backlog,
        .pendingPrefill = target.pendingPrefill,
        .freeShort = foreign <= target.roomShort,
        .freeLong = foreign <= target.roomLong,
        .rates = target.learned.rates,
    };
}

const TokenRates& TargetSet::rates(TargetId id) const { return this->at(id).learned.rates; }

std::span<const TargetId> TargetSet::targetsOf(ModelId model) const
{
    if (raw(model) >= this->models.size())
        return {};
    return this->models[raw(model)].targets;
}

std::span<const VersionGroup> TargetSet::versionsOf(ModelId id) const
{
    if (raw(id) >= this->models.size())
        return {};
    const Model& model = this->models[raw(id)];
    return std::span(this->groups).subspan(model.firstGroup, model.groupCount);
}

bool TargetSet::accepts(TargetId id, bool shortWork, TimePoint now) const
{
    if (raw(id) >= this->targets.size())
        return false;
    const Target& target = this->at(id);
    return this->foreignAt(target, now) <= (shortWork ? target.roomShort : target.roomLong);
}

bool TargetSet::wouldAccept(TargetId id, const RemainingWork& remaining, bool shortWork, TimePoint now) const
{
    if (!this->contains(id) || !this->isUsable(this->at(id)))
        return false;
    return this->foreignAt(this->at(id), now) <= this->room(this->at(id), remaining, shortWork);
}

bool TargetSet::acceptsResume(TargetId id) const
{
    if (!this->contains(id))
        return false;
    const Target& target = this->at(id);
    return target.running < std::max(static_cast<uint32_t>(target.learned.window), this->settings.minWindow);
}

bool TargetSet::isIn(const VersionGroup& group, TargetId id) const
{
    return this->contains(id) && &this->groups[this->at(id).group] == &group;
}

std::optional<TargetId> TargetSet::targetOf(RequestId request) const
{
    auto found = this->runs.find(raw(request));
    if (found == this->runs.end())
        return std::nullopt;
    return found->second.target;
}

} // namespace guavapond
