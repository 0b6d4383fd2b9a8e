// Decides from how requests at a target ended whether it gets no new ones for a while. Two kinds of evidence are told apart:
// - out of reach: no connection, or one that ended or stayed silent without an answer. Such a target is left at once.
// - failed answers: error answers, and answers that broke off. Such a target is alive, and leaving it takes room from callers. It is left
//   only if it is clearly worse than the others and enough of them stay in use.
//
// Index
//   TargetOutcome      how a request at a target ended
//   isOutOfReach, isFailedAnswer
//   EjectionBounds
//   Pause              a time without new requests, and the probation after it
//   AnswerHistory      outcomes of the newest answers of one target
//   OtherTargets       what the decision needs of the other targets of the service
//   ejectsForAnswers
#pragma once

#include "core/Types.h"

namespace guavapond::edge {

enum class TargetOutcome : uint8_t {
    Answered,    // complete answer
    Declined,    // at capacity or shutting down
    Unreachable, // no connection
    Broken,      // connection lost during a request, before its answer began
    Failed,      // an error or an unusable answer
    Silent,      // no byte within the time limit
    Cancelled,   // by this node or the caller
    BrokenOff,   // connection lost in the answer
};
bool isOutOfReach(TargetOutcome outcome);
bool isFailedAnswer(TargetOutcome outcome);

struct EjectionBounds {
    Duration firstPause = std::chrono::milliseconds(300); // doubles with each consecutive one
    Duration longestPause = std::chrono::seconds(4);
    double maxPausedShare = 0.5; // largest share of a service's targets that failed answers may pause at a time
};

struct Pause {
    TimePoint until {};
    bool probation = false; // was paused and has not answered since
    uint32_t failures = 0;  // consecutive ones that caused a pause
    bool isProbing = false; // a connection is being tried

    void begin(const EjectionBounds& bounds, TimePoint now);
};

class AnswerHistory {
public:
    void record(TargetOutcome outcome, TimePoint now); // Answered, a failed answer or one out of reach
    double expectedFailures(TimePoint now) const;      // share of failures, decayed over the time since the last outcome
    double meanFailures() const { return this->mean; } // share of failed answers over the last half second or so of work
    bool hasManyFailures() const;                      // among the newest answers
    void forgetNewest() { this->recentFailures = 0; }  // a pause follows from them

private:
    uint32_t recentFailures = 0; // one bit for each of the newest answers; 1: failed
    double failedShare = 0;      // exponentially weighted by answers
    double mean = 0;             // exponentially weighted by time
    TimePoint updatedAt {};      // of failedShare and mean
};

struct OtherTargets {
    size_t total = 0;        // targets that are not leaving, the judged one included
    size_t paused = 0;       // of them, without the judged one
    double meanFailures = 0; // mean of AnswerHistory::meanFailures() of those in use; 0 if there are none
};

bool ejectsForAnswers(const AnswerHistory& history, const OtherTargets& others, const EjectionBounds& bounds);

} // namespace guavapond::edge
