// The reverse proxy of an edge node: admits requests and relays them to targets, one Exchange per admitted request. It runs on one
// event loop. RequestLife, TargetPool, Admission, WorkspaceQuota, SecondTryBudget, PromptQuarantine and Freshness hold the rules
// that it applies.
//
// Index
//   WireHeaders     names of the header fields that the node reads and sets
//   RelaySettings
//   ServiceTargets  the targets of one service
//   Relay           setCatalog, upsertTarget, removeTarget, handle, orderMove, tick
#pragma once

#include "edge/EdgeMetrics.h"
#include "edge/HttpListener.h"
#include "edge/StopSequence.h"
#include "scheduling/Admission.h"
#include "scheduling/AdmittedIds.h"
#include "scheduling/Evacuation.h"
#include "scheduling/Freshness.h"
#include "scheduling/Placement.h"
#include "scheduling/PromptQuarantine.h"
#include "scheduling/Readiness.h"
#include "scheduling/SecondTryBudget.h"
#include "scheduling/TargetReach.h"
#include "scheduling/VersionMove.h"
#include "scheduling/WorkspaceQuota.h"

#include <unordered_set>

namespace guavapond::edge {

struct WireHeaders {
    std::string requestId = "Guavapond-Request-Id";     // chosen by the caller, unique per attempt; targets return it
    std::string callerLimit = "Guavapond-Deadline-Ms";  // ms that the caller still waits; the node passes on what remains
    std::string key = "Guavapond-Api-Key";              // API key of a workspace; never passed on
    std::string workspace = "Guavapond-Workspace";      // set in requests to targets: name of the workspace
    std::string expectedTarget = "Guavapond-Target";    // set in requests to targets: id of the target; any other target declines
    std::string proof = "Guavapond-Answer-Proof";       // set by targets in their answers; a successful answer without it is rejected
    std::string notRun = "Guavapond-Not-Run";           // set by a target that did not run the request
    std::string tokenCount = "Guavapond-Tokens";        // prompt tokens and limit of output tokens, joined by a comma
    std::string promptParts = "Guavapond-Prompt-Parts"; // ID:TOKENS entries in the order of the prompt, joined by commas
    std::string lengthHint = "Guavapond-Length-Hint";   // output tokens that the caller expects
    std::string lastEventId = "Last-Event-Id";          // a stream resumes after this event
    std::string leaving = "Guavapond-Leaving";          // set to 1 in any answer of a target that shuts down
    std::string requestLimit = "Guavapond-Limit";       // in answers of a target: requests per second that it takes from all nodes together
    std::string brittle = "Guavapond-Brittle"; // the same: requests per second that it can turn away for want of room without falling over
    std::string forwardedBy = "Guavapond-Forwarded-By"; // set in requests that a node forwards to a peer: name of the node
    std::vector<std::string> reserved;                  // fields that only the node may set: dropped from callers' requests
};

struct RelaySettings {
    WireHeaders headers;
    PlacementSettings placement;
    AdmissionSettings admission;
    SecondTrySettings secondTries;
    Duration quotaWindow = std::chrono::seconds(8); // period over which operators count a workspace's tokens
    ConnectionSettings connections;
    Duration keyProofMaxAge = std::chrono::milliseconds(4500); // requests with a key are refused if the newest proof is older
    // A target that has begun to warm up since the copy of its entry was read is not known to. Reads follow each other within 2 s.
    Duration entryMaxAge = std::chrono::milliseconds(2500);
    Duration rejectionProofMaxAge = std::chrono::seconds(2); // "no such route" and "unknown key" are answered only with a younger proof
    double streamStallFactor = 3; // multiple of the longest normal silence of a target after which a stream is cancelled
    // Idle time after which a connection to a target is not reused: for requests that may be repeated, and for all others. The latter is
    // shorter, since after a failure on a stale connection the caller can't be told whether the request has run.
    Duration maxIdleForRepeatable = std::chrono::seconds(3);
    Duration maxIdleForNonRepeatable = std::chrono::milliseconds(800);
    size_t maxBufferedAnswerBytes = 1 << 20; // longer answers that are not event streams are relayed as they arrive
    size_t maxKeptAnswerBytes = 16 << 20;    // of all buffered answers together; above it, answers are relayed as they arrive
};

class Exchange;
struct ExchangePlan;

// The targets of one service.
struct ServiceTargets {
    explicit ServiceTargets(TargetPool pool, uint64_t hash)
        : targets(std::move(pool))
        , hash(hash)
    {
    }
    TargetPool targets;
    uint64_t hash;                          // of the service's name
    std::set<std::string> revertedVersions; // by earlier moves; their targets may still be there
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
    void setEvacuated(const EvacuatedDomains& domains); // all that are; their targets get no new requests
    const EvacuatedDomains& evacuated() const { return this->evacuatedDomains; }
    bool isTargetUnresponsive(const std::string& id) const;
    void handle(const CallerPointer& caller, CallerRequest request);
    // Handles a request that a peer forwards, since it reaches no target. The peer has counted its tokens, and it is not forwarded again.
    void handleForwarded(const CallerPointer& caller, CallerRequest request);
    bool isForwarded(const CallerRequest& request) const { return request.message.count(this->settings.headers.forwardedBy) > 0; }
    // Sets the function that lists the peers which can send this node's requests to targets. Without it, none does.
    void onForwardersNeeded(std::function<std::vector<TargetInfo>(TimePoint)> hook) { this->listForwarders = std::move(hook); }
    // Measured between this node's failure domain and each other one.
    void setRoundTrips(const std::map<std::string, Duration, std::less<>>& values);
    // Of the known nodes, those that this one hears, itself included; 0: it may not know the others yet.
    void setReachableShare(double value) { this->reachableShare = value; }
    void setName(std::string value) { this->name = std::move(value); }
    // Starts the move of a service to a new version, unless an order of the same or a later revision is known. `earliest` is the first
    // time at which the order may have been given; empty: it may be older than this process.
    void orderMove(const MoveOrder& order, const MoveSettings& bounds, std::optional<TimePoint> earliest);
    struct RunningMove {
        VersionMove plan;
        MoveState lastState = MoveState::Trying; // at the node's last check
        std::optional<TimePoint> changedAt;      // when lastState was reached; empty: not checked yet
    };
    std::map<std::string, RunningMove>& moves() { return this->movesByService; }
    void onPeerMoveReport(uint64_t peer, uint64_t serviceHash, const VersionMove::Report& report);
    uint64_t inFlightOutside(const std::string& service, std::string_view version) const; // requests at targets of other versions
    double targetsPerLoaded(const std::string& service, std::string_view version, TimePoint now) const; // see TargetPool::LoadedTargets

    void onTargetLeaving(const LeavingTarget& leaving); // a peer reports that the target announced its shutdown
    std::vector<LeavingTarget> leavingTargets() const;
    void tick(); // call every few milliseconds: serves the queue, cancels stalled attempts, closes idle connections

    void setStop(const StopBounds& bounds) { this->stop = bounds; } // a planned stop has begun
    void endAll();               // answers each request in progress with what is true of it, because the process ends
    Readiness readiness() const; // whether the balancer should send callers to this node
    void configure(const RelaySettings& value);
    CallerLimits callerLimits() const;
    const RelaySettings& relaySettings() const { return this->settings; }
    const std::string& nodeName() const { return this->name; }
    const CatalogPointer& catalog() const { return this->current; }
    size_t inFlight() const { return this->exchanges.size(); }
    size_t slowTargets() const; // connections on which a target takes a request in slowly
    size_t waiting() const { return this->placement.waiting(); }
    // Sets the function that sends placement messages to other nodes. Without it, the node works alone.
    void onPlacementMessage(std::function<void(const std::string& node, const PlacementMessage&)> hook)
    {
        this->sendPlacement = std::move(hook);
    }
    void onQuarantineChange(std::function<void(const PromptQuarantine::Change&)> hook) { this->quarantineChanged = std::move(hook); }
    EdgeMetrics& edgeMetrics() { return this->metrics; }
    uint64_t connectionsOpened() const { return this->connections.opened(); }
    const std::map<std::string, std::unique_ptr<ServiceTargets>>& services() const { return this->byService; }

    Freshness freshness;
    WorkspaceQuota quota;
    SecondTryBudget secondTries;
    PromptQuarantine quarantine { {}, [this](uint64_t target) { return this->lastAnswerAt(target); } };
    Placement placement;
    TargetReach reach;

private:
    friend class Exchange;
    ConnectionSettings connectionSettings(const RelaySettings& settings) const;
    ServiceTargets& service(const std::string& name);
    std::set<std::string> evacuatedNames() const;
    Placement::Hooks placementHooks();
    void finished(const std::shared_ptr<Exchange>& exchange);
    void updateQuarantine(TimePoint now);
    std::optional<TimePoint> lastAnswerAt(uint64_t targetHash) const; // of the target, to this node
    const std::string& chooseService(const Route& route);
    struct Refusal {
        unsigned status = 503;
        std::string_view reason;
        std::optional<Duration> retryAfter;
    };
    std::optional<Refusal> identify(const CallerRequest& request, ExchangePlan& plan, TimePoint now);
    std::optional<Refusal> admit(const CallerRequest& request, ExchangePlan& plan, TimePoint now);
    void handle(const CallerPointer& caller, CallerRequest request, bool isForwarded);
    void onTargetContact(TimePoint now);
    void onTargetFailure(const ServiceTargets& service, TargetPool::Index target, TimePoint now);
    void updateForwarders(TimePoint now);
    void applyWarmUps(ServiceTargets& service, const Service& terms, TimePoint now);
    void checkEntryAge(TimePoint now); // the copy of the targets' entries may be too old to tell which targets warm up
    void connectTo(const Address& address, std::function<void(bool isReached)> hook);
    void probeTargets(TimePoint now); // those that this node lost requests at
    void probeTarget();               // connects to some target, to learn whether this node is still cut off
    void reject(const CallerPointer& caller, const CallerRequest& request, const Refusal& refusal);
    void answerLocally(const CallerPointer& caller, std::string_view requestId, unsigned status, std::string_view reason,
        std::optional<Duration> retryAfter);
    Duration returnDelay(ReturnInput input);                                 // the same, by how long a shortage lasts; draws input.random
    Duration retryDelay(double occupancy);                                   // Retry-After of a refused request
    Duration retryDelayElsewhere(const std::string& service, TimePoint now); // of one that this node can't take but others can

    net::io_context& loop;
    RelaySettings settings;
    EdgeMetrics& metrics;
    std::function<double()> random;
    CatalogPointer current;
    ConnectionPool connections;
    AdmittedIds admitted;      // of requests that must not run twice
    ServiceTargets forwarders; // peers; up to date only while this node reaches no target
    std::function<std::vector<TargetInfo>(TimePoint)> listForwarders = [](TimePoint) { return std::vector<TargetInfo> {}; };
    std::string name = "self"; // of this node
    std::map<std::string, std::unique_ptr<ServiceTargets>> byService;
    std::unordered_map<uint64_t, ServiceTargets*> byServiceHash;
    EvacuatedDomains evacuatedDomains;
    double reachableShare = 1;
    std::function<void(const std::string& node, const PlacementMessage&)> sendPlacement;
    std::function<void(const PromptQuarantine::Change&)> quarantineChanged = [](const auto&) {};
    bool flushScheduled = false;                                           // a flush of placement messages is posted to the loop
    std::unordered_map<std::string, std::string> serviceOfTarget;          // name of the service by id of the target
    std::shared_ptr<size_t> keptAnswerBytes = std::make_shared<size_t>(0); // of buffered answers that are not whole yet
    std::set<std::shared_ptr<Exchange>> exchanges;
    std::unordered_map<std::string, double> eventsOfRoute; // moving mean of the events per answer, by name of the route
    std::unordered_map<std::string, double> bytesOfRoute;  // moving mean of the bytes per answer, by name of the route
    std::unordered_set<std::string> droppedFields;         // request fields that are not passed on, in lower case
    std::map<std::string, RunningMove> movesByService;
    // A part of each workspace's quota is kept for its urgent requests. Off while a service is full: then ranks decide who is served.
    bool reservesTokens = true;
    TimePoint lastHousekeeping {};
    bool entriesOld = false;                                                // see checkEntryAge
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true); // expires with this relay
    std::optional<StopBounds> stop;                                         // empty: no stop is planned
};

} // namespace guavapond::edge
