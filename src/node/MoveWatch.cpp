// From ended requests to verdicts, and from verdicts to shares.
#include "node/MoveWatch.h"

#include <set>

namespace guavapond {

namespace {

JudgeSettings settingsFor(JudgeSettings settings, const MoveRow& row)
{
    settings.badFailureRate = row.badFailureRate;
    settings.badLatencyRatio = row.badLatencyRatio;
    return settings;
}

bool isSameMove(const MoveRow& a, const MoveRow& b)
{
    return a.model == b.model && a.fromVersion == b.fromVersion && a.toVersion == b.toVersion && a.badFailureRate == b.badFailureRate
        && a.badLatencyRatio == b.badLatencyRatio;
}

VersionSample sampleOf(const RequestSummary& summary, VersionSide side)
{
    VersionSample sample { .side = side, .route = summary.route, .promptTokens = summary.promptTokens };
    sample.firstToken = summary.firstTokenAfterDispatch;
    sample.timePerToken = summary.timePerToken;
    if (summary.failure) {
        sample.failure = summary.failure->kind;
        sample.faultOfRequest = summary.failure->faultOfRequest;
    } else if (summary.failedByTarget) {
        sample.failure = FailureKind::TargetFailed;
    }
    // The times of a failed request say how fast it failed.
    if (sample.failure)
        sample.firstToken = sample.timePerToken = std::nullopt;
    return sample;
}

} // namespace

MoveWatch::MoveWatch(const JudgeSettings& judge, const MovePlanSettings& planSettings)
    : judgeSettings(judge)
    , plan(planSettings)
    , table(std::make_shared<const TableIndex>())
{
}

bool MoveWatch::observe(const RequestSummary& summary, TimePoint now)
{
    if (!summary.dispatched)
        return false;
    std::lock_guard lock(this->mutex);
    bool turnedBad = false;
    for (auto& [id, move] : this->moves) {
        bool isNew = summary.version == move.row.toVersion;
        bool concerns = summary.model == move.row.model && (isNew || summary.version == move.row.fromVersion);
        if (!concerns || move.row.state != MoveState::Running)
            continue;
        bool wasBad = move.judge.verdict().kind == VerdictKind::Bad;
        move.judge.add(sampleOf(summary, isNew ? VersionSide::New : VersionSide::Old), now);
        turnedBad = turnedBad || (!wasBad && move.judge.verdict().kind == VerdictKind::Bad);
    }
    return turnedBad;
}

std::vector<MoveChange> MoveWatch::applyTable(const std::shared_ptr<const TableIndex>& next, Router& router, int64_t unixMs)
{
    {
        std::lock_guard lock(this->mutex);
        this->table = next;
        this->applied.clear(); // the router has taken the table's shares
        const auto& rows = next->table().moves;
        this->plan.forgetMissing(rows);
        std::erase_if(this->moves, [&](const auto& entry) {
            return std::none_of(
                rows.begin(), rows.end(), [&](const MoveRow& row) { return row.id == entry.first && isSameMove(row, entry.second.row); });
        });
        for (const MoveRow& row : rows) {
            auto judge = VersionJudge(settingsFor(this->judgeSettings, row));
            auto entry = this->moves.try_emplace(row.id, Watched { row, std::move(judge), VerdictKind::Undecided, {} }).first;
            entry->second.row = row;
        }
    }
    return this->replan(router, unixMs);
}

std::vector<MoveChange> MoveWatch::replan(Router& router, int64_t unixMs)
{
    std::lock_guard lock(this->mutex);
    std::vector<MoveChange> changes;
    std::set<std::string> models;
    for (auto& [id, move] : this->moves) {
        models.insert(move.row.model);
        const VersionVerdict& verdict = move.judge.verdict();
        MoveView view = this->plan.advance(move.row, { verdict.kind, move.judge.newSamples() }, unixMs);
        MoveChange change { { move.row, verdict, view, move.judge.newSamples() }, verdict.kind != move.reported,
            view.percent != move.view.percent || view.phase != move.view.phase };
        move.reported = verdict.kind;
        move.view = view;
        if (change.verdictChanged || change.shareChanged)
            changes.push_back(std::move(change));
    }
    for (const std::string& model : models) {
        auto id = this->table->model(model);
        if (!id)
            continue;
        auto shares = this->plan.sharesOf(model, this->table->sharesOf(*id), this->table->table().moves);
        auto [known, added] = this->applied.try_emplace(model);
        if (!added && known->second == shares)
            continue;
        router.setShares(*id, shares);
        known->second = std::move(shares);
    }
    return changes;
}

std::vector<MoveStatus> MoveWatch::status() const
{
    std::lock_guard lock(this->mutex);
    std::vector<MoveStatus> result;
    for (const auto& [id, move] : this->moves)
        result.push_back({ move.row, move.judge.verdict(), move.view, move.judge.newSamples() });
    return result;
}

} // namespace guavapond
