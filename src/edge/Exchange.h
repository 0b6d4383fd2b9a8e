// One request on its way: binds the caller's connection, the connection to a target and the RequestLife that decides. It holds no
// decision of its own.
//
// Index
//   ExchangePlan    what was decided on admission
//   Run             one send to a target
//   Exchange        begin, leaveStalledTarget
#pragma once

#include "edge/EventScanner.h"
#include "edge/Relay.h"

namespace guavapond::edge {

struct ExchangePlan {
    CatalogPointer catalog; // keeps route and workspace alive
    const Route* route = nullptr;
    const Workspace* workspace = nullptr; // null: the route needs no key
    std::string service;
    uint64_t tokens = 0;               // counted against the workspace's rate
    uint64_t mostOutputTokens = 0;     // as the caller states; 0: not stated
    uint64_t expectedOutputTokens = 0; // the same
    std::optional<Duration> callerLimit;
    std::vector<PromptPart> parts;
    Rank rank;
    bool triesNewVersion = false; // while a move is unproved
    Demand demand;
};

// One send to a target.
struct Run {
    TargetPool::Index target = 0;
    ConnectionPointer connection;
    TimePoint sentAt {};
    std::optional<TimePoint> firstEventAt;
    TimePoint lastEventAt {};
    uint64_t eventsBefore = 0;
    uint32_t prefillPending = 0;
    uint32_t backlogTokens = 0;
    Duration predictedFirst {};
    std::optional<RunEnd> verdict; // already certain, while the rest of the answer is read
    bool headSeen = false;
    bool reusedConnection = false;
    http::response_header<> head;
    std::string body;
};

// How the body of a target's answer reaches the caller.
enum class AnswerForm : uint8_t {
    Held,     // whole, at its end: until then it may be asked for elsewhere
    Events,   // event by event
    PassedOn, // as it comes: it is too long to be held
};

class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(Relay& relay, CallerPointer caller, CallerRequest request, ExchangePlan plan);

    void begin();
    void abandon();                      // the relay ends: releases the connections, answers nobody
    bool isStalled(TimePoint now) const; // it runs at a target that went silent, and may go elsewhere
    void leaveStalledTarget();

private:
    TargetPool& targets() { return this->service.targets; }
    void place(); // asks for a place at a target
    void onPlaced(const PlacementAnswer& answer);
    PlacementRequest placeAsk(TimePoint now) const;
    void ruleVersion(PlacementRequest& ask) const;
    void tell(const Run& run, RunSample sample); // to the home of the target
    void countForMove(const Run& ended, TargetOutcome outcome, TimePoint now);
    void stopAsking();
    void send(const TargetPool::Choice& choice, TimePoint now);
    std::string requestHead(const TargetInfo& target, TimePoint now) const;
    bool maySend(TimePoint now) const;
    void noteTargetState(const http::response_header<>& head);
    HeadVerdict onHead(const http::response_header<>& head);
    std::optional<RunEnd> judgeHead(const http::response_header<>& head) const;
    void onBody(std::string_view bytes);
    void onPlainBody(std::string_view bytes);
    void onEvents(std::string_view events);
    void holdBackTarget();
    void onComplete();
    void onFailed(ConnectionFault fault, bool anyByteSent);
    void endRun(TargetOutcome outcome);
    void stopRun(TargetOutcome outcome); // closes the connection of a run, if there is one
    void afterRun(RunEnd end);
    void follow(NextStep step, std::string_view reason);
    void passFailureOn();
    http::response<http::string_body> wholeAnswer();
    void onDue();
    void onCallerGone();
    void beginAnswer();
    http::response_header<> callerHead(const http::response_header<>& head) const;
    void answerWhole();
    void answerOwn(unsigned status, RequestResult result, std::string_view reason, std::optional<Duration> retryAfter);
    void cutOff(std::string_view reason);
    void finish(RequestResult result, std::string_view reason);

    Relay& relay;
    CallerPointer caller;
    CallerRequest request;
    ExchangePlan plan;
    ServiceTargets& service;
    RequestLife life;
    net::steady_timer timer;
    EventScanner scanner;
    std::optional<Run> run;
    std::vector<TargetPool::Index> tried;
    bool isAsking = false;         // for a place
    std::optional<uint64_t> askId; // while the answer is not there
    uint32_t refusedPlaces = 0;    // granted at targets that this node does not use
    std::optional<TimePoint> waitingSince;
    std::optional<Duration> predictedFirst;
    std::optional<Duration> firstEventAfter;
    std::string lastTarget;
    AnswerForm form = AnswerForm::Held;
    bool finishedFlag = false;
    std::optional<http::response<http::string_body>> failure; // of the last target that answered with one
};

} // namespace guavapond::edge
