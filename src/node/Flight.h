// One request from its admission to its end: the callers that wait for it, its stream and its answer.
//
// Index
//   Listener       one caller that waits for the answer
//   FinalResult    the end of a request: a whole answer or a failure
//   Flight         all of it; guarded by its own mutex
#pragma once

#include "core/AnswerAssembler.h"
#include "core/CallerRequest.h"
#include "core/StreamTracker.h"
#include "core/TicketLedger.h"
#include "ports/Caller.h"
#include "ports/Target.h"

#include <mutex>

namespace guavapond {

struct Listener {
    std::shared_ptr<HttpReply> reply;
    bool live = true;     // gets events as they come; false: came later and gets the whole answer at the end
    bool started = false; // its response head is sent
};

struct FinalResult {
    std::shared_ptr<const StoredAnswer> answer;
    bool hasBody = true; // false: the answer was passed on as a stream only, or was too large to be put together
    std::optional<Failure> failure;
};

// Invariants: `result` is set once and never changes; after that no event reaches a listener. Never lock Decisions::mutex while
// holding `mutex`.
struct Flight {
    Flight(CallerRequest r, Ticket t, bool named, size_t answerBytes)
        : request(std::move(r))
        , ticket(std::move(t))
        , ticketText(guavapond::ticketText(this->ticket))
        , ticketByCaller(named)
        , workspace()
    {
        bool keepsAnswer = named || !this->request.stream;
        if (this->request.spec.kind == RequestKind::Engine && keepsAnswer)
            this->assembler.emplace(this->request.operation == Operation::ChatCompletion, answerBytes);
    }

    const CallerRequest request;
    const Ticket ticket;
    const std::string ticketText;
    const bool ticketByCaller; // the caller can ask again, so the request goes on when the connection is lost

    std::mutex mutex;
    std::vector<Listener> listeners;
    std::optional<AnswerAssembler> assembler;
    std::optional<StreamTracker> tracker; // from the dispatch on, engines only
    std::optional<FinalResult> result;
    Cancellation cancelCall;

    // Of the dispatch.
    std::string workspace;
    TargetRow target;
    uint32_t cachedTokens = 0;
    bool dispatched = false;
    TimePoint dispatchedAt {};
    std::optional<TimePoint> firstTokenAt;
    TimePoint lastTokenAt {};
    uint32_t unreportedTokens = 0; // not yet told to the scheduler
};

} // namespace guavapond
