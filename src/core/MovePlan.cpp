// Steps of moves and the shares that follow from them.
#include "core/MovePlan.h"

#include <algorithm>
#include <cmath>

namespace guavapond {

namespace {

constexpr double whole = 100; // percent

// Gives `percent` of the two versions' sum to the new version and the rest to the old one.
void divide(std::vector<ShareRow>& shares, const MoveRow& row, double percent)
{
    auto find = [&](const std::string& version) -> ShareRow& {
        auto found = std::find_if(shares.begin(), shares.end(), [&](const ShareRow& share) { return share.version == version; });
        return found != shares.end() ? *found : shares.emplace_back(ShareRow { row.model, version, 0 });
    };
    double sum = find(row.fromVersion).percent + find(row.toVersion).percent;
    find(row.toVersion).percent = sum * percent / whole;
    find(row.fromVersion).percent = sum - sum * percent / whole;
}

} // namespace

std::string_view movePhaseName(MovePhase phase)
{
    constexpr std::array<std::string_view, 7> names { "unproved", "stepping", "whole", "bad", "timed_out", "finished", "taken_back" };
    return names[static_cast<size_t>(phase)];
}

MovePlan::MovePlan(const MovePlanSettings& s)
    : settings(s)
{
}

MoveView MovePlan::advance(const MoveRow& row, const MoveEvidence& evidence, int64_t unixMs)
{
    auto [entry, added] = this->progressById.try_emplace(row.id);
    Progress& progress = entry->second;
    if (added)
        progress.steppedAtUnixMs = unixMs;
    // A deadline that operators change starts a new term; a passed one stays passed.
    if (added || progress.deadlineUnixMs != row.deadlineUnixMs)
        progress.timedOut = false;
    progress.deadlineUnixMs = row.deadlineUnixMs;
    progress.bad = progress.bad || evidence.verdict == VerdictKind::Bad;
    progress.timedOut = progress.timedOut || unixMs >= row.deadlineUnixMs;
    if (row.state != MoveState::Running)
        progress.view = row.state == MoveState::Finished ? MoveView { whole, MovePhase::Finished, std::nullopt }
                                                         : MoveView { 0, MovePhase::TakenBack, std::nullopt };
    else if (progress.bad)
        progress.view = { 0, MovePhase::Bad, std::nullopt };
    else if (progress.timedOut)
        progress.view = { 0, MovePhase::TimedOut, std::nullopt };
    else
        this->step(row, evidence, unixMs, progress);
    return progress.view;
}

void MovePlan::step(const MoveRow& row, const MoveEvidence& evidence, int64_t unixMs, Progress& progress) const
{
    MoveView& view = progress.view;
    double unproved = std::min(row.maxUnprovedPercent, whole);
    if (evidence.verdict != VerdictKind::Good) {
        view = { unproved, MovePhase::Unproved, std::nullopt };
        return;
    }
    if (view.phase == MovePhase::Whole)
        return;
    if (view.phase != MovePhase::Stepping) {
        // The evidence behind the verdict justifies the first step at once.
        view = { std::max(unproved, 1.0), MovePhase::Stepping, std::nullopt };
        progress.steppedAtUnixMs = unixMs - toMilliseconds(this->settings.longestStep);
        progress.samplesAtStep = evidence.newSamples;
    }
    double steps = std::max(1.0, std::ceil(std::log(whole / view.percent) / std::log(this->settings.stepFactor)));
    int64_t left = row.deadlineUnixMs - toMilliseconds(this->settings.finishMargin) - progress.steppedAtUnixMs;
    auto interval = static_cast<int64_t>(static_cast<double>(left) / steps);
    interval = std::clamp(interval, toMilliseconds(this->settings.shortestStep), toMilliseconds(this->settings.longestStep));
    bool enoughSamples = evidence.newSamples >= progress.samplesAtStep + this->settings.samplesPerStep;
    int64_t since = unixMs - progress.steppedAtUnixMs;
    bool due = since >= interval || (enoughSamples && since >= toMilliseconds(this->settings.shortestStep));
    if (!due)
        return;
    // No step in the time that is left would be small enough: the verdict is Good, so the rest is given at once.
    bool last = unixMs + toMilliseconds(this->settings.finishMargin) >= row.deadlineUnixMs;
    view.percent = last ? whole : std::min(whole, view.percent * this->settings.stepFactor);
    progress.steppedAtUnixMs = unixMs;
    progress.samplesAtStep = evidence.newSamples;
    if (view.percent >= whole) {
        view.phase = MovePhase::Whole;
        view.wholeSinceUnixMs = unixMs;
    }
}

std::vector<ShareRow> MovePlan::sharesOf(std::string_view model, std::span<const ShareRow> shares, std::span<const MoveRow> moves) const
{
    std::vector<ShareRow> result(shares.begin(), shares.end());
    auto isOf = [&](const MoveRow& row) { return row.model == model; };
    // A model without shares gives everything to the old version of its first move.
    if (result.empty()) {
        auto first = std::find_if(moves.begin(), moves.end(), isOf);
        if (first == moves.end())
            return result;
        result.push_back({ std::string(model), first->fromVersion, whole });
    }
    // Ended moves first: a running move starts from what they left. Finished ones may form a chain in any order of rows, so one pass
    // for each row settles them. A taken-back move does not undo a later move to the same version.
    for (const MoveRow& row : moves) {
        bool repeated = std::any_of(moves.begin(), moves.end(),
            [&](const MoveRow& other) { return isOf(other) && other.toVersion == row.toVersion && other.state != MoveState::TakenBack; });
        if (isOf(row) && row.state == MoveState::TakenBack && !repeated)
            divide(result, row, 0);
    }
    for (size_t pass = 0; pass < moves.size(); ++pass) {
        for (const MoveRow& row : moves) {
            if (isOf(row) && row.state == MoveState::Finished)
                divide(result, row, whole);
        }
    }
    for (const MoveRow& row : moves) {
        auto known = this->progressById.find(row.id);
        if (isOf(row) && row.state == MoveState::Running)
            divide(result, row, known == this->progressById.end() ? 0 : known->second.view.percent);
    }
    return result;
}

void MovePlan::forgetMissing(std::span<const MoveRow> moves)
{
    std::erase_if(this->progressById, [&](const auto& entry) {
        return std::none_of(moves.begin(), moves.end(), [&](const MoveRow& row) { return row.id == entry.first; });
    });
}

} // namespace guavapond
