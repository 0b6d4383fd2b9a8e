// The version shares in effect on this node while moves run.
//
// Index
//   MovePlanSettings, MoveEvidence   pace of the steps; what the node's judge knows of a move
//   MoveView                         share of a move's new version, and why
//   MovePlan                         steps of all running moves, and effective shares of a model
//
// Invariants: without a Good verdict the new version's share is at most maxUnprovedPercent. After a Bad verdict, or once the deadline was
// seen to pass, it is 0 until the row changes; a wall clock that is set back does not undo it.
#pragma once

#include "core/Table.h"
#include "core/VersionJudge.h"

#include <map>

namespace guavapond {

struct MovePlanSettings {
    uint64_t samplesPerStep = 200;                          // ended requests of the new version that justify the next step
    double stepFactor = 2;                                  // largest growth of a share in one step
    Duration longestStep = std::chrono::minutes(5);         // with less evidence than that, as long as time is left
    Duration finishMargin = std::chrono::seconds(60);       // whole share this long before the deadline, where possible
    Duration shortestStep = std::chrono::milliseconds(500); // between two steps, however little time is left
};

struct MoveEvidence {
    VerdictKind verdict = VerdictKind::Undecided;
    uint64_t newSamples = 0;
};

enum class MovePhase : uint8_t {
    Unproved,
    Stepping,
    Whole,     // 100 %, not yet finished in the table
    Bad,       // verdict of this node
    TimedOut,  // deadline passed without Finished: rolled back here
    Finished,  // by the table
    TakenBack, // by the table
};
std::string_view movePhaseName(MovePhase phase);

struct MoveView {
    double percent = 0; // of the two versions' traffic that goes to the new one
    MovePhase phase = MovePhase::Unproved;
    std::optional<int64_t> wholeSinceUnixMs; // phase Whole
};

class MovePlan {
public:
    explicit MovePlan(const MovePlanSettings& settings);

    // Advances one move. `unixMs` is the present wall-clock time: deadlines are stated in it.
    MoveView advance(const MoveRow& row, const MoveEvidence& evidence, int64_t unixMs);
    // The model's shares with its moves applied; `advance` was called for each of the rows. Empty: all versions alike.
    std::vector<ShareRow> sharesOf(std::string_view model, std::span<const ShareRow> shares, std::span<const MoveRow> moves) const;
    void forgetMissing(std::span<const MoveRow> moves); // drops the state of rows that left the table

private:
    struct Progress {
        MoveView view;
        int64_t deadlineUnixMs = 0;
        int64_t steppedAtUnixMs = 0;
        uint64_t samplesAtStep = 0;
        bool bad = false;
        bool timedOut = false;
    };

    void step(const MoveRow& row, const MoveEvidence& evidence, int64_t unixMs, Progress& progress) const;

    MovePlanSettings settings;
    std::map<std::string, Progress, std::less<>> progressById;
};

} // namespace guavapond
