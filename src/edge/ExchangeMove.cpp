// What a request has to do with the move of its service to a new version: which versions it may go to, and how its outcome is counted.
#include "edge/Exchange.h"

#include <algorithm>

namespace guavapond::edge {

void Exchange::restrictVersion(PlacementRequest& ask) const
{
    const VersionMove* running = this->runningMove();
    if (!running)
        return;
    const VersionMove& move = *running;
    // What was learnt of a version holds after its order has been replaced.
    for (const std::string& reverted : this->service.revertedVersions)
        this->service.targets.addTargetsOf(reverted, ask.excludedTargets);
    const std::string& version = move.order().version;
    const bool isKnown = this->service.targets.hasVersion(version);
    if (move.hasSwitched()) {
        if (isKnown) // otherwise only the old version can answer
            ask.onlyVersion = version;
    } else if (move.state() != MoveState::Reverted && this->plan.tryNewVersion && isKnown) {
        ask.onlyVersion = version;
        ask.maxWait = Duration::zero(); // does not wait for the new version: if it has no room, the old one answers
        if (move.state() == MoveState::Loading) {
            const auto others = this->service.targets.loadedTargets(version, bootTime()).notLoaded;
            ask.excludedTargets.insert(ask.excludedTargets.end(), others.begin(), others.end());
        }
    } else
        ask.notVersion = version;
}

VersionMove* Exchange::runningMove() const
{
    if (this->isForwarding)
        return nullptr;
    const auto found = this->relay.movesByService.find(this->plan.service);
    return found == this->relay.movesByService.end() ? nullptr : &found->second.plan;
}

void Exchange::countForMove(const Attempt& ended, TargetOutcome outcome, TimePoint now)
{
    VersionMove* move = this->runningMove();
    if (!move || ended.countedForMove)
        return;
    const bool isNew = this->service.targets.info(ended.target).version == move->order().version;
    // What a node that is cut off fails at says nothing about the version.
    if (outcome == TargetOutcome::Cancelled || outcome == TargetOutcome::Declined
        || (outcome != TargetOutcome::Answered && this->relay.reach.isCutOff()))
        return move->onNotCounted(isNew, this->plan.route->name);
    VersionMove::Times times;
    if (ended.warmTarget) {
        times.first = ended.firstEventAt.value_or(now) - ended.sentAt;
        times.expectedFirst = ended.predictedFirstEvent;
        const uint64_t events = this->scanner.events() - ended.eventsBefore;
        if (ended.firstEventAt && events >= minEventsForMeanGap)
            times.gap = (ended.lastEventAt - *ended.firstEventAt) / static_cast<int64_t>(events - 1);
    }
    move->count(isNew, this->plan.route->name, outcome != TargetOutcome::Answered, times);
}

void Exchange::judgePace(TimePoint now)
{
    VersionMove* move = this->runningMove();
    if (!move || !this->attempt || this->attempt->countedForMove || !this->attempt->warmTarget || this->form == AnswerForm::PassThrough)
        return;
    VersionMove::Progress progress;
    progress.untilFirst = this->attempt->firstEventAt.value_or(now) - this->attempt->sentAt;
    progress.expectedFirst = this->attempt->predictedFirstEvent;
    if (this->attempt->firstEventAt) {
        progress.sinceFirst = now - *this->attempt->firstEventAt;
        progress.gaps = std::max<uint64_t>(this->scanner.events() - this->attempt->eventsBefore, 1) - 1;
    }
    if (!move->isSlow(this->plan.route->name, progress))
        return;
    this->attempt->countedForMove = true;
    move->countRunning(this->service.targets.info(this->attempt->target).version == move->order().version, this->plan.route->name);
}

} // namespace guavapond::edge
