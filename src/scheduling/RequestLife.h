// State machine of one request. It decides whether a failed attempt at a target is retried, and what the caller is told otherwise.
// It keeps two guarantees: a request that must not be repeated runs at most once, and the caller is told "not run" only if no target can
// have run the request.
//
// Index
//   AttemptOutcome  how one attempt at a target ended without an answer for the caller
//   NextStep        what the node does after it
//   RequestState    Waiting, Sent, Answering, Ended
//   RequestLife     state, deadline and retry limits of one request
//
// Waiting --sent--> Sent --answerBegan--> Answering --ended--> Ended
//    ^                |
//    +----------------+ attempt failed, retry allowed
//
// A stream that is resumed at another target stays in Answering.
#pragma once

#include "scheduling/Catalog.h"

#include <functional>

namespace guavapond::edge {

enum class AttemptOutcome : uint8_t {
    NotSent,  // no byte of the request was handed to the kernel
    Declined, // the target said that it did not run the request
    Moved,    // the address belongs to another target, which did not run the request
    Failed,   // the target answered with a failure status
    Broken,   // the connection ended after the first byte was handed over, before the answer was complete
    Invalid,  // the answer is malformed, belongs to another request or lacks the target's proof
    Silent,   // the target sent nothing for too long and the attempt was cancelled
};
constexpr size_t attemptOutcomeCount = static_cast<size_t>(AttemptOutcome::Silent) + 1;
std::string_view attemptOutcomeName(AttemptOutcome outcome); // lower_snake_case

enum class NextStep : uint8_t {
    SendElsewhere,  // retry at another target
    ForwardFailure, // pass the target's failure answer to the caller
    AnswerNotRun,   // refuse: no target has run the request, and none will
    AnswerUnknown,  // fail: a target may have run the request
    AbortAnswer,    // close the caller's connection: its answer has begun and can't be completed
};
std::string_view nextStepName(NextStep step); // lower_snake_case

enum class RequestState : uint8_t {
    Waiting,   // at no target
    Sent,      // a target may have received it
    Answering, // the head of an answer was sent to the caller
    Ended,
};

class RequestLife {
public:
    // Limit on all sends. The route's maxTargets counts only sends that reached a target, so without this limit a request would be
    // retried without end while all targets refuse connections.
    static constexpr uint32_t maxSends = 6;

    // `callerLimit` is how long the caller waits for the answer, if it stated that.
    RequestLife(const Route& route, std::optional<Duration> callerLimit, TimePoint arrival);

    void sent(); // call before the first byte is handed to the kernel
    // Call when the head of the answer is sent to the caller. `resumable`: another target can continue the answer where this one stops.
    void answerBegan(bool resumable);
    void ended();
    // `takeRetry` takes one retry from the budget, or returns false if there is none. It is called only if all other conditions for a
    // retry hold and a send has reached a target.
    NextStep attemptEnded(AttemptOutcome outcome, const std::function<bool()>& takeRetry, TimePoint now);
    NextStep onDeadline() const; // the deadline has passed
    NextStep onNoTarget() const; // no target has room

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
    TimePoint deadlineAt; // arrival plus the shorter of the route's timeout and the caller's limit
    uint32_t maxTargets;
    bool mayRepeat;
    uint32_t sendCount = 0;
    uint32_t deliveries = 0;  // sends that reached a target; no retry from maxTargets on
    bool possiblyRan = false; // a target may have run the request; never reset
};

} // namespace guavapond::edge
