// The path of a request: from a caller, through admission, ticket and queue, to a target and back.
//
// Index
//   RequestPathSettings, RequestPathPorts
//   RequestPath
//     callers     serve, mintTicket, outcome
//     peers       forwarded, outcomeJson
//     time        runTimer
//     stopping    stopAdmitting, active
//
// Threads: serve() and the targets' events come on many threads. The table is read by read-copy-update; the decision logic is behind one
// mutex that is held for microseconds; each request's stream is behind a mutex of its own.
#pragma once

#include "node/Decisions.h"
#include "node/Flight.h"
#include "node/Forwarding.h"
#include "node/Observer.h"
#include "node/Snapshot.h"
#include "ports/Caller.h"
#include "ports/Target.h"

#include <atomic>
#include <condition_variable>

namespace guavapond {

struct RequestPathSettings {
    CallerSettings callers;
    StreamSettings streams;
    size_t maxAnswerBytes = size_t(16) << 20;                     // bytes of an answer that is put together from a stream
    uint32_t tokensPerReport = 8;                                 // tokens between two reports of a stream to the scheduler
    size_t maxForwards = 48;                                      // requests at a time passed on to other nodes
    Duration grantTime = std::chrono::seconds(2);                 // without a witness: waiting requests are given up as not run
    Duration stoppingRetryAfter = std::chrono::milliseconds(200); // another node takes the request at once
};

struct RequestPathPorts {
    Engine engine;
    Service service;
    Peer peer;
    std::function<TimePoint()> clock;
    std::function<void(std::function<void()>)> background;                        // runs a task that may block
    std::function<std::optional<std::string>(std::string_view node)> peerAddress; // of another node; none: not known
    std::function<void()> askWitness;                                             // sends what waits for a grant
    std::function<Failure(const Ticket&)> resolve; // what became of a ticket whose owner is gone; may take seconds
    Observer observer;
};

class RequestPath {
public:
    RequestPath(const RequestPathSettings& settings, RequestPathPorts ports, const Snapshot<TableIndex>& table, Decisions& decisions);

    // ---- Callers
    void serve(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
    void mintTicket(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);
    void outcome(std::string_view ticket, const std::shared_ptr<HttpReply>& reply);

    // ---- Peers
    void forwarded(const ForwardedRequest& request, const std::function<bool(const ForwardedChunk&)>& onChunk)
    {
        this->forwarding.answer(request, onChunk);
    }
    std::string outcomeJson(std::string_view ticket);

    // ---- Time
    void runTimer(const std::atomic<bool>& stop); // on a thread of its own, until `stop` and wakeTimer()
    void wakeTimer();
    void grantsChanged(); // grants have arrived, or the witness was lost or replaced
    void poke();          // after a change of targets or table: carries out what has become possible

    // ---- Stopping
    void stopAdmitting();
    bool isStopping() const { return this->stopping; }
    size_t active() const; // requests that wait or run here, are passed on, or are answered to other nodes

private:
    using FlightPtr = std::shared_ptr<Flight>;

    struct Step { // one action with what is needed to carry it out after the decision mutex is released
        Action action;
        FlightPtr flight;
    };

    // ---- Admission
    void admit(CallerRequest request, const std::optional<Ticket>& ticket, const std::shared_ptr<HttpReply>& reply, TimePoint now);
    void answerClaim(const Claim& claim, const CallerRequest& request, const std::string& text, const FlightPtr& running,
        const std::shared_ptr<HttpReply>& reply);
    void attach(const FlightPtr& flight, const std::shared_ptr<HttpReply>& reply);

    // ---- Carrying out decisions
    std::vector<Step> takeSteps(TimePoint now);                             // under the decision mutex
    std::optional<Failure> enqueue(const FlightPtr& flight, TimePoint now); // under the decision mutex
    std::optional<Failure> waitForGrant(const FlightPtr& flight, TimePoint now);
    void giveUpWaiting(const std::vector<FlightPtr>& waiting, TimePoint now);
    void carryOut(const std::vector<Step>& steps, TimePoint now);
    void run(const FlightPtr& flight, TimePoint now);
    void callEngine(const FlightPtr& flight, uint32_t call, uint64_t resumeOffset);
    void callService(const FlightPtr& flight);

    // ---- Answers
    void onEngineEvent(const FlightPtr& flight, uint32_t call, const EngineEvent& event);
    void onServiceAnswer(const FlightPtr& flight, const ServiceAnswer& answer);
    void finishStream(const FlightPtr& flight, TimePoint now);
    void passOn(Flight& flight, const EngineEvent& event, TimePoint now);
    void complete(const FlightPtr& flight, const FinalResult& result, RunOutcome outcome, TimePoint now);
    void fail(const FlightPtr& flight, const Failure& failure, RunOutcome outcome, TimePoint now);
    bool requeueUnsent(const FlightPtr& flight, TimePoint now);
    void spreadReturn(Failure& failure, TimePoint now); // under the decision mutex
    void settle(Flight& flight, const FinalResult& result);
    void deliver(const Flight& flight, Listener& listener, const FinalResult& result);
    void onCallerGone(const FlightPtr& flight, const HttpReply* reply);
    void checkHealth(TargetId target, std::string url, RequestKind kind);
    void summarize(const Flight& flight, const FinalResult& result, TimePoint now);

    RequestPathSettings settings;
    RequestPathPorts ports;
    const Snapshot<TableIndex>& table;
    Decisions& decisions;

    // Guarded by Decisions::mutex.
    std::unordered_map<RequestId, FlightPtr> flights;
    std::unordered_map<std::string, FlightPtr> flightsByTicket;
    std::map<uint64_t, FlightPtr> awaitingGrant; // by sequence number; not known to the scheduler
    std::optional<TimePoint> ungrantedSince;     // requests wait and there is no witness
    uint64_t nextRequest = 1;

    Forwarding forwarding;
    std::atomic<bool> stopping { false };

    std::mutex timerMutex;
    std::condition_variable timerChanged;
    std::optional<TimePoint> wakeAt; // guarded by timerMutex
    bool woken = false;              // guarded by timerMutex
};

} // namespace guavapond
