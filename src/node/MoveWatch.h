// Judges the running moves of this node from its ended requests and puts the shares that follow into effect.
//
// Index
//   MoveStatus    one move as this node sees it, for status pages and metrics
//   MoveChange    a new verdict or share, for the log
//   MoveWatch     observe() on the request path, replan() once a second and on each change
#pragma once

#include "core/MovePlan.h"
#include "node/Decisions.h"
#include "node/Observer.h"

namespace guavapond {

struct MoveStatus {
    MoveRow row;
    VersionVerdict verdict;
    MoveView view;
    uint64_t newSamples = 0; // ended requests of the new version that count
};

struct MoveChange {
    MoveStatus status;
    bool verdictChanged = false;
    bool shareChanged = false;
};

// Thread-safe. Decisions::mutex is taken before `mutex`, never while it is held.
class MoveWatch {
public:
    MoveWatch(const JudgeSettings& judge, const MovePlanSettings& plan);

    // True when the request made a version bad: replan at once.
    bool observe(const RequestSummary& summary, TimePoint now);
    // After Decisions::applyTable, under Decisions::mutex: shares of the new table with its moves applied.
    std::vector<MoveChange> applyTable(const std::shared_ptr<const TableIndex>& table, Router& router, int64_t unixMs);
    std::vector<MoveChange> replan(Router& router, int64_t unixMs); // under Decisions::mutex
    std::vector<MoveStatus> status() const;

private:
    struct Watched {
        MoveRow row;
        VersionJudge judge;
        VerdictKind reported = VerdictKind::Undecided;
        MoveView view;
    };

    JudgeSettings judgeSettings;
    mutable std::mutex mutex;
    MovePlan plan;                                        // guarded by mutex
    std::shared_ptr<const TableIndex> table;              // guarded by mutex; the one that the router holds
    std::map<std::string, Watched> moves;                 // guarded by mutex; by id
    std::map<std::string, std::vector<ShareRow>> applied; // guarded by mutex; shares in effect, by model
};

} // namespace guavapond
