// Proxies one admitted request: connects the caller's connection and the connections to targets, asks Placement for a target and
// RequestLife for what follows a failed attempt.
//
// Index
//   ExchangePlan    results of admission
//   KeptAnswer      the part of an answer that is kept until the answer is whole
//   Attempt         one send of the request to a target
//   AnswerForm      how the body of the answer is relayed
//   promisesNotRun, isEventStream
//   Exchange        begin, endForStop, abandon, isStalled, leaveStalledTarget, readAhead, isTargetSlow, endQuarantined, judgePace
#pragma once

#include "edge/EventScanner.h"
#include "edge/Relay.h"

namespace guavapond::edge {

struct ExchangePlan {
    CatalogPointer catalog; // owns route and workspace
    const Route* route = nullptr;
    const Workspace* workspace = nullptr; // null: the request needs no key
    std::string service;
    uint64_t tokens = 0;                 // taken from the workspace's quota
    uint64_t maxOutputTokens = 0;        // the caller's limit on the output; 0: not stated
    uint64_t expectedOutputTokens = 0;   // the caller's estimate of the output; 0: not stated
    std::optional<Duration> callerLimit; // how long the caller waits; empty: not stated
    std::vector<PromptPart> parts;       // empty: not stated
    std::vector<PartKey> sharedParts;    // all but the last
    Rank rank;
    bool isForwarded = false;   // a peer that reaches no target forwards it for its caller
    bool tryNewVersion = false; // first try the version that a move is testing on a part of the requests
    Demand demand;
};

// The part of an answer that is kept until the answer is whole, counted in a total over all requests.
class KeptAnswer {
public:
    explicit KeptAnswer(std::shared_ptr<size_t> total)
        : total(std::move(total))
    {
    }
    ~KeptAnswer() { this->take(); }
    KeptAnswer(KeptAnswer&& other) noexcept
        : total(std::move(other.total))
        , bytes(std::exchange(other.bytes, {}))
    {
    }
    KeptAnswer(const KeptAnswer&) = delete;
    KeptAnswer& operator=(const KeptAnswer&) = delete;
    KeptAnswer& operator=(KeptAnswer&&) = delete;

    void append(std::string_view piece)
    {
        this->bytes += piece;
        *this->total += piece.size();
    }
    std::string take()
    {
        if (this->total)
            *this->total -= this->bytes.size();
        return std::exchange(this->bytes, {});
    }
    size_t size() const { return this->bytes.size(); }

private:
    std::shared_ptr<size_t> total; // empty: moved from, or nothing is kept
    std::string bytes;
};

// One send of the request to a target.
struct Attempt {
    explicit Attempt(std::shared_ptr<size_t> keptBytes)
        : body(std::move(keptBytes))
    {
    }

    TargetPool::Index target = 0;
    ConnectionPointer connection;
    TimePoint sentAt {};                    // when its target was chosen
    std::optional<TimePoint> writtenFrom;   // when the first byte was about to be handed to the kernel; empty: not yet
    std::optional<TimePoint> firstEventAt;  // empty: no event yet
    TimePoint lastEventAt {};               // valid once firstEventAt is set
    uint64_t eventsBefore = 0;              // events of the answer that earlier attempts delivered
    uint32_t prefillPending = 0;            // prompt tokens that the target has yet to process; 0 from the first event on
    uint32_t backlogTokens = 0;             // prompt tokens queued at the target when the request was sent, its own included
    Duration predictedFirstEvent {};        // predicted time from sending to the first event
    std::optional<AttemptOutcome> verdict;  // outcome that the head already decides, while the body is still read
    bool headSeen = false;                  // the head of an answer to this request has arrived
    uint32_t skippedAnswers = 0;            // answers to other requests that came first
    bool reusedConnection = false;          // the connection has served a request before
    bool warmTarget = true;                 // the target did not warm up when the request was sent
    bool countedForMove = false;            // as a slow one, while it ran
    std::optional<double> brittlePerSecond; // as its answer says; 0: it says nothing of it; empty: no answer
    bool countedByLimit = false;            // its place was taken from the target's request limit
    http::response_header<> head;
    KeptAnswer body;          // of a buffered answer
    uint64_t answerBytes = 0; // received, without the head
};

// Callers take these statuses to mean that the request has not run. A target's answer with one of them says so only if it also has the
// notRun field; otherwise it must not reach the caller. A peer's answer always says so.
bool promisesNotRun(unsigned status);
bool isEventStream(const http::response_header<>& head);

constexpr uint64_t minEventsForMeanGap = 4; // the mean gap of shorter answers is too noisy to be used

// How the body of a target's answer is relayed to the caller.
enum class AnswerForm : uint8_t {
    Buffered,    // sent when it is complete; until then the request may be retried
    Events,      // an event stream, relayed event by event
    PassThrough, // relayed as it arrives, since it is too long to be buffered
};

class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(Relay& relay, CallerPointer caller, CallerRequest request, ExchangePlan plan);

    void begin();
    void endForStop();                   // the process ends: answers the caller with what is true of the request
    void abandon();                      // for the shutdown of the relay: closes the connections without an answer to the caller
    bool isStalled(TimePoint now) const; // its target has been silent for too long, and the request may be retried
    void leaveStalledTarget();           // cancels the attempt and retries, if that is allowed
    void readAhead(TimePoint now);       // ends a long pause of the target's answer, if memory allows
    bool isTargetSlow() const { return this->attempt && this->attempt->connection->isPeerSlow(); } // it takes the request in slowly
    void endQuarantined(TimePoint now); // cancels the attempt and fails the request, if it or a part of its prompt is in quarantine
    void judgePace(TimePoint now);      // counts the attempt for a move of its service to a new version, if it is slow already

private:
    TargetPool& targets() { return this->isForwarding ? this->relay.forwarders.targets : this->service.targets; }
    const TargetPool& targets() const { return this->isForwarding ? this->relay.forwarders.targets : this->service.targets; }
    bool forward(TimePoint now); // to a peer, since this node reaches no target; false: no peer can take it
    HeadVerdict onForwarderHead(const http::response_header<>& head);
    void onForwarderRefused();
    void noteUnreachable(TimePoint now); // the target of the attempt could not be reached, or did not answer
    void requestPlace();                 // asks Placement for a slot at a target
    void onPlaced(const PlacementAnswer& answer);
    PlacementRequest placeAsk(TimePoint now) const;
    void restrictVersion(PlacementRequest& ask) const;            // to the versions that a move in progress allows
    void reportSample(const Attempt& finished, RunSample sample); // to the node that grants the places at the target
    VersionMove* runningMove() const;                             // of the service to a new version; null: none
    void countForMove(const Attempt& ended, TargetOutcome outcome, TimePoint now);
    void withdrawAsk();
    bool refuseQuarantined(bool isQuarantined, TimePoint now);
    std::string_view quarantineReason(TimePoint now);
    RequestKey requestKey(); // computed when it is first needed
    RequestKey suspectKey(); // requestKey(), or 0 while it is not needed
    uint64_t promptHash() const { return this->plan.parts.empty() ? 0 : this->plan.parts.back().prefixHash; }
    void noteLostRun(AttemptOutcome outcome, TimePoint now);
    void noteWholeAnswer(TimePoint now);
    std::span<const PartKey> lostParts() const; // of the prompt, that the last attempt speaks against
    void send(const TargetPool::Choice& choice, bool countedByLimit, TimePoint now);
    std::string requestHead(const TargetInfo& target, TimePoint now) const;
    bool maySend(TimePoint now) const;
    void noteTargetState(const http::response_header<>& head);
    void noteRequestLimit(const http::response_header<>& head);
    void noteBrittleness(const http::response_header<>& head, TimePoint now);
    void onBrittleness(double perSecond, TimePoint now);
    void onLimitAnswer(std::optional<double> perSecond, unsigned status);
    HeadVerdict onHead(const http::response_header<>& head);
    std::optional<AttemptOutcome> classifyHead(const http::response_header<>& head) const;
    void onBody(std::string_view bytes);
    void onPlainBody(std::string_view bytes);
    void onEvents(std::string_view events);
    void applyBackpressure();
    void onComplete();
    void onFailed(ConnectionFault fault, bool anyByteSent);
    template <typename Step>
    void contain(const Step& step); // runs a handler of the attempt's connection; an exception ends this request only
    void onException(const std::exception& error);
    void endAttempt(TargetOutcome outcome);
    void cancelAttempt(TargetOutcome outcome); // closes the connection of the attempt, if there is one
    void onAttemptEnded(AttemptOutcome outcome);
    void logFailedAttempt(AttemptOutcome outcome, NextStep step, TimePoint now);
    int64_t lastWrittenAfterMs() const; // ms from the arrival of the request; -1: no byte of it was written
    void takeStep(NextStep step, std::string_view reason);
    Duration returnDelay(); // Retry-After, if no target had room
    void forwardFailure();
    http::response<http::string_body> bufferedAnswer();
    void onDeadline();
    void endUnfinished(std::string_view reason);
    void onCallerGone();
    void beginAnswer();
    http::response_header<> callerHead(const http::response_header<>& head) const;
    void sendBufferedAnswer();
    void answerLocally(unsigned status, RequestResult result, std::string_view reason, std::optional<Duration> retryAfter);
    void abortAnswer(std::string_view reason);
    void finish(RequestResult result, std::string_view reason);

    Relay& relay;
    CallerPointer caller;
    CallerRequest request; // without its body
    std::shared_ptr<const std::string> requestBody;
    ExchangePlan plan;
    ServiceTargets& service;
    RequestLife life;
    net::steady_timer timer;
    EventScanner scanner;
    std::optional<Attempt> attempt;
    std::vector<TargetPool::Index> tried;        // targets that are not asked again for this request
    bool isPlacing = false;                      // a placement request is pending
    bool placedWithoutHome = false;              // the last place was
    bool hasWritten = false;                     // bytes were sent to a target
    std::optional<uint64_t> askId;               // its id; empty: none is pending, or it was answered at once
    uint32_t refusedPlaces = 0;                  // places granted at targets that this node considers unusable
    bool passedLimit = false;                    // a target was passed over for its request limit, in the last placement
    std::optional<double> refusedShare;          // of PlacementAnswer, from the last placement
    std::optional<Duration> retryAfter;          // from the last placement; empty: not known
    std::optional<SpillReason> spillReason;      // of the last placement: why the request leaves the failure domain
    std::optional<Duration> toldToReturnIn;      // Retry-After of the answer
    std::optional<TimePoint> waitingSince;       // start of the last placement request
    std::optional<Duration> predictedFirstEvent; // of the last attempt; empty: not sent yet
    std::optional<Duration> timeToFirstEvent;    // from the arrival of the request; empty: no event yet
    std::string lastTarget;                      // id of the target of the last attempt; empty: not sent yet
    std::optional<TimePoint> lastWrittenFrom;    // Attempt::writtenFrom of the last attempt
    bool lastReusedConnection = false;           // Attempt::reusedConnection of the last attempt
    uint64_t lastConnection = 0;                 // number of its connection
    uint64_t lastPosition = 0;                   // of its request on that connection, from 1
    uint32_t lastSkippedAnswers = 0;             // Attempt::skippedAnswers of the last attempt
    unsigned lastStatus = 0;                     // of the answer to it; 0: none
    bool lastHadEvent = false;                   // the last attempt delivered an event
    bool lastTargetLeft = false;                 // its target was leaving
    std::optional<TimePoint> pausedSince;        // reading of the target's answer is paused for the caller
    bool readsAhead = false;                     // the caller has held the answer up for long: it is read as far as memory allows
    bool isRefusedForGood = false;               // the request crashes targets, so that callers are not told to return
    AnswerForm form = AnswerForm::Buffered;
    bool isForwarding = false; // its targets are peers, for good: `tried` holds indices of peers
    bool isFinished = false;
    std::optional<RequestKey> key;                            // see requestKey()
    std::optional<http::response<http::string_body>> failure; // failure answer of the last target that sent one
};

} // namespace guavapond::edge
