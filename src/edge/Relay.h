// The path of a request on an edge node: admission, choice of a target, dispatch, and relaying of the answer. One event loop runs all
// of it; the decisions are made by RequestLife, TargetPool, Admission, WorkspaceQuota, SecondTryBudget and Freshness.
//
// Index
//   WireHeaders     names of the header fields that the node reads and sets
//   RelaySettings
//   Relay           setCatalog, upsertTarget, removeTarget, handle
#pragma once

#include "edge/Admission.h"
#include "edge/EdgeMetrics.h"
#include "edge/Freshness.h"
#include "edge/HttpListener.h"
#include "edge/Placement.h"
#include "edge/SecondTryBudget.h"
#include "edge/VersionMove.h"
#include "edge/WorkspaceQuota.h"

#include <unordered_set>

namespace guavapond::edge {

struct WireHeaders {
    std::string requestId = "Guavapond-Request-Id";     // of one attempt of a caller
    std::string callerLimit = "Guavapond-Deadline-Ms";  // how long the caller waits, or how much of it is left, ms
    std::string key = "Guavapond-Api-Key";              // names the workspace; never passed on
    std::string workspace = "Guavapond-Workspace";      // set towards targets
    std::string expectedTarget = "Guavapond-Target";    // set towards targets: any other one declines
    std::string proof = "Guavapond-Answer-Proof";       // a target's mark on its answer; an answer without it is not trusted
    std::string notRun = "Guavapond-Not-Run";           // a target says that it did not run the request
    std::string tokenCount = "Guavapond-Tokens";        // prompt tokens and most output tokens, joined by a comma
    std::string promptParts = "Guavapond-Prompt-Parts"; // ID:TOKENS entries, joined by commas
    std::string lengthHint = "Guavapond-Length-Hint";   // output tokens that the caller expects
    std::string lastEventId = "Last-Event-Id";
    std::string leaving = "Guavapond-Leaving"; // a target says in an answer that it leaves; its value is 1
    std::vector<std::string> reserved;         // the node's to set: a caller's values are dropped
};

struct RelaySettings {
    WireHeaders headers;
    PlacementSettings placement;
    AdmissionSettings admission;
    SecondTrySettings secondTries;
    Duration quotaWindow = std::chrono::seconds(8); // over which the operators count a workspace's tokens
    ConnectionSettings connections;
    Duration keyProofMaxAge = std::chrono::milliseconds(4500); // age of the newest proof with which a key is still honoured
    Duration rejectionProofMaxAge = std::chrono::seconds(2);   // "no such route" and "no such key" are said with a younger proof only
    double streamStallFactor = 3;                            // a stream is given up after this multiple of a sound target's longest silence
    Duration maxIdleForRepeatable = std::chrono::seconds(3); // an idle connection is used again within this time
    Duration maxIdleForNonRepeatable
        = std::chrono::milliseconds(800);    // the same for work that must not repeat: a stale connection makes it unknown
    size_t maxBufferedAnswerBytes = 1 << 20; // bytes; longer plain answers are passed on as they come
};

class Exchange;
struct ExchangePlan;

// The targets of a service.
struct ServiceTargets {
    explicit ServiceTargets(TargetPool pool, uint64_t hash)
        : targets(std::move(pool))
        , hash(hash)
    {
    }
    TargetPool targets;
    uint64_t hash; // of the service's name
};

class Relay {
public:
    Relay(net::io_context& loop, const RelaySettings& settings, EdgeMetrics& metrics, std::function<double()> random);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    void setCatalog(CatalogPointer catalog);
    void upsertTarget(const TargetInfo& info);
    void removeTarget(const std::string& id);
    void handle(const CallerPointer& caller, CallerRequest request);
    // A move of a service to a new version. `earliest` is the first moment at which the order may have been given.
    void orderMove(const MoveOrder& order, const MoveSettings& bounds, std::optional<TimePoint> earliest);
    struct RunningMove {
        VersionMove plan;
        MoveState lastState = MoveState::Trying;
        std::optional<TimePoint> changedAt; // when lastState was reached
    };
    std::map<std::string, RunningMove>& moves() { return this->movesByService; }
    void onPeerMoveReport(uint64_t peer, uint64_t serviceHash, const VersionMove::Report& report);
    uint64_t inFlightOutside(const std::string& service, std::string_view version) const;

    void onTargetLeaving(uint64_t targetHash); // as a peer heard from the target itself
    std::vector<uint64_t> leavingTargets() const;
    void tick(); // every few milliseconds: waiting requests, silent targets, idle connections

    // From now on a request is taken only if its answer is due before `end`, when the process ends.
    void setStopTime(TimePoint end) { this->stopsAt = end; }
    bool isReady() const; // has a configuration that is proved, and targets
    void configure(const RelaySettings& value);
    CallerLimits callerLimits() const;
    const CatalogPointer& catalog() const { return this->current; }
    size_t inFlight() const { return this->exchanges.size(); }
    size_t waiting() const { return this->placement.waiting(); }
    // How messages to other homes leave this node; without it, this node is the only one.
    void onPlacementMessage(std::function<void(const std::string& node, const PlacementMessage&)> hook)
    {
        this->sendPlacement = std::move(hook);
    }
    uint64_t connectionsOpened() const { return this->connections.opened(); }
    const std::map<std::string, std::unique_ptr<ServiceTargets>>& services() const { return this->byService; }

    Freshness freshness;
    WorkspaceQuota quota;
    SecondTryBudget secondTries;
    Placement placement;

private:
    friend class Exchange;
    ServiceTargets& service(const std::string& name);
    Placement::Hooks placementHooks();
    void finished(const std::shared_ptr<Exchange>& exchange);
    const std::string& chooseService(const Route& route);
    struct Refusal {
        unsigned status = 503;
        std::string_view reason;
        std::optional<Duration> retryAfter;
    };
    std::optional<Refusal> identify(const CallerRequest& request, ExchangePlan& plan, TimePoint now);
    std::optional<Refusal> admit(const CallerRequest& request, ExchangePlan& plan, TimePoint now);
    void reject(const CallerPointer& caller, const CallerRequest& request, const Refusal& refusal);
    void answerOwn(const CallerPointer& caller, std::string_view requestId, unsigned status, std::string_view reason,
        std::optional<Duration> retryAfter);
    Duration retryDelay(double occupancy); // for a refused caller

    net::io_context& loop;
    RelaySettings settings;
    EdgeMetrics& metrics;
    std::function<double()> random;
    CatalogPointer current;
    ConnectionPool connections;
    std::map<std::string, std::unique_ptr<ServiceTargets>> byService;
    std::unordered_map<uint64_t, ServiceTargets*> byServiceHash;
    std::function<void(const std::string& node, const PlacementMessage&)> sendPlacement;
    bool flushScheduled = false; // a flush of placement messages is on its way
    std::unordered_map<std::string, std::string> serviceOfTarget;
    std::set<std::shared_ptr<Exchange>> exchanges;
    std::unordered_map<std::string, double> eventsOfRoute; // mean events of an answer
    std::unordered_set<std::string> droppedFields;         // lower case; of requests
    std::map<std::string, RunningMove> movesByService;
    bool reservesTokens = true; // of a workspace for its urgent requests: targets have room, so that quotas decide who is served
    TimePoint lastHousekeeping {};
    std::optional<TimePoint> stopsAt; // of the process, once it is near
};

} // namespace guavapond::edge
