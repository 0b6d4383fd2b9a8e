// The life of one request as a state machine: what may happen after each end of a run, and what a caller may be told. It holds the
// two promises of dispatch: work that must not repeat is sent once, and "not run" is said only where it is certain.
//
// Index
//   RunEnd        how one send to a target ended
//   NextStep      what the node does then
//   RequestLife   states, bounds and counts of one request
//
// Waiting --send--> Sent --answerBegan--> Answering --> Ended
//    ^                |  not run, or may repeat  |
//    +----------------+--------------------------+
#pragma once

#include "edge/Catalog.h"

#include <functional>

namespace guavapond::edge {

enum class AttemptOutcome : uint8_t {
    NotSent,  // no byte was handed to the kernel for the target
    Declined, // the target said that it did not run the request
    Moved,    // the address belongs to another target, which did not run the request
    Failed,   // the target answered whole with a server error
    Broken,   // the connection ended after the first byte was handed over, without a whole answer
    Invalid,  // the answer can't be bound to the request or trusted
    Silent,   // the target made no progress for too long and the run was cancelled
};
constexpr size_t attemptOutcomeCount = static_cast<size_t>(AttemptOutcome::Silent) + 1;
std::string_view attemptOutcomeName(AttemptOutcome outcome); // lower_snake_case

enum class NextStep : uint8_t {
    SendElsewhere,  // to another target
    ForwardFailure, // the target's own failure is the answer
    AnswerNotRun,   // refuse: has not run and never will
    AnswerUnknown,  // fail: may have run
    AbortAnswer,    // the answer has begun and can't be finished
};
std::string_view nextStepName(NextStep step); // lower_snake_case

enum class RequestState : uint8_t {
    Waiting,   // no target has it
    Sent,      // past the point of no return
    Answering, // the caller has the head of an answer
    Ended,
};

class RequestLife {
public:
    // Sends that never reached a target are not bounded by the route; this bound keeps a request from going round an outage.
    static constexpr uint32_t maxSends = 6;

    // `callerLimit` is how long the caller waits, if it said so.
    RequestLife(const Route& route, std::optional<Duration> callerLimit, TimePoint arrival);

    void sent(); // the first byte is about to be handed to the kernel
    // The head of the answer goes to the caller. `goesOnElsewhere`: another target can continue it where this one stops.
    void answerBegan(bool resumable);
    void ended();
    // `takeSecondTry` is asked only where a further send would be allowed otherwise.
    NextStep attemptEnded(AttemptOutcome outcome, const std::function<bool()>& takeRetry, TimePoint now);
    NextStep onDeadline() const; // the route's timeout or the caller's limit has passed
    NextStep onNoTarget() const; // no target can take it

    RequestState state() const { return this->current; }
    TimePoint arrival() const { return this->arrivedAt; }
    TimePoint deadline() const { return this->deadlineAt; }
    Duration remaining(TimePoint now) const { return this->deadlineAt - now; }
    bool mayHaveRun() const { return this->possiblyRan; }
    uint32_t sends() const { return this->sendCount; }

private:
    bool allowsRetry(TimePoint now) const;
    NextStep finalStep() const;

    RequestState current = RequestState::Waiting;
    TimePoint arrivedAt;
    TimePoint deadlineAt;
    uint32_t maxTargets;
    bool mayRepeat;
    uint32_t sendCount = 0;
    uint32_t deliveries = 0;  // sends that reached a target; at most maxTargets
    bool possiblyRan = false; // a run may have begun; never becomes false again
};

} // namespace guavapond::edge
