// Tracks the targets of one service and chooses the target for a request. The load of a target is what all nodes have in flight there:
// this node's requests and those that its peers report. Speeds and failure rates are estimated from the answers.
//
// Index
//   TargetInfo         a target's entry in the catalog
//   PromptPart         a part of a prompt, for the estimate of what a target has cached
//   Demand             what a request needs
//   PlacementSettings
//   TargetLoadReport   a node's load at one target, as reported to its peers
//   RunSample          measurements of one request, from the node that ran it
//   LeavingTarget      a target that announced that it is leaving, as nodes tell each other
//   LimitedRoom        targets that only their rates (SharedRate.h) keep from taking a request
//   TargetPool         upsert and markLeaving; choose; started, progress, firstEvent, eventGap, ended; load reports of peers;
//                      rates: setWarmUp, setEntriesOld, assumeWarmUp, onWarmUpReport, rate, takeFromRate, warmUpReports
//
//   if (auto choice = pool.choose(demand, tried, now))
//       pool.started(choice->target, demand, now);
#pragma once

#include "scheduling/Address.h"
#include "scheduling/Brittleness.h"
#include "scheduling/Catalog.h"
#include "scheduling/DomainSpill.h"
#include "scheduling/Ejection.h"
#include "scheduling/SharedRate.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <span>

namespace guavapond::edge {

struct TargetInfo {
    std::string id;
    std::string service;
    Address address;
    std::string failureDomain;
    std::string version;
    uint32_t slots = 1;
    bool draining = false;
    std::optional<Duration> warmUpLeft {}; // how much longer it warms up, when the entry was written; empty: it does not say
    int64_t startedUnixMs = 0;             // changes when the target restarts under the same id; 0: unknown
    uint64_t reportNumber = 0;             // grows with each report of the target's process on itself; 0: unknown
    uint64_t revision = 0;                 // of the target's entry in the store
};

struct PromptPart {
    uint64_t prefixHash; // hash of this part and all parts before it
    uint32_t tokens;
};

struct Demand {
    uint32_t promptTokens = 0;
    uint32_t outputEvents = 1;         // expected number of events of the answer
    bool urgent = false;               // has the highest priority
    bool repeatable = false;           // may be sent to a target on probation
    std::span<const PromptPart> parts; // the prompt's parts, in order
    std::string_view onlyVersion;      // only targets of this version are eligible; empty: any version
    std::string_view notVersion;       // targets of this version are excluded; empty: none
    std::string_view onlyDomain;       // only targets of this failure domain are eligible; empty: any domain
    std::string_view fromDomain;       // failure domain of the sending node; empty: that of this node
    uint32_t maxOwnInFlight = 0;       // limit on this node's own requests at a target; 0: no such limit
    uint64_t transferBytes = 0;        // of the body and of the expected answer; 0: not known
    size_t guessingNodes = 0;          // nodes that may place without a home, as this request is; 0: the load of the targets is known
    double scoreJitter = 0; // largest random increase of a score, as a fraction; separates nodes that choose without sharing loads
};

struct PlacementSettings {
    std::string failureDomain;                                // of this node
    double mostPerSlot = 1.5;                                 // requests at a target, as a multiple of its slots
    Duration queueForUrgent = std::chrono::milliseconds(120); // longest predicted wait for a slot, urgent requests
    Duration queueForOthers = std::chrono::milliseconds(15);  // longest predicted wait for a slot, other requests
    double otherDomainCost = 0.05;                            // fraction added to the predicted time in another failure domain
    SpillSettings spill;            // if enabled, the round trip and the price of the bytes are added instead of otherDomainCost
    double initialTokensPerMs = 60; // prefill speed until one is measured
    Duration initialEventGap = std::chrono::milliseconds(20);    // time between events until one is measured
    Duration initialServiceTime = std::chrono::milliseconds(15); // until one is measured
    Duration peerLoadTtl = std::chrono::milliseconds(1500);      // age at which a peer's report is ignored
    Duration stallAfter = std::chrono::milliseconds(700);        // a target with requests is stalled after this long without a byte
    double stallFactor = 3; // extends stallAfter by this multiple of the predicted time to the first event
    EjectionBounds ejection;
    Duration maxRequestedPause = std::chrono::seconds(60); // limit on the pause that a target requests with Retry-After
    Duration cacheTtl = std::chrono::seconds(10);          // a target is assumed to hold a prompt part in its cache for this long
    Duration failurePenalty = std::chrono::seconds(1);     // added to the predicted time, times the expected failure rate
    WarmUpTolerance warmUps;                               // of operators, for targets that warm up
    bool plansRoom = false;                                // homes refuse requests at once that can't get a slot within their wait
};

struct LimitedRoom {
    double perSecond = 0; // requests that this node may grant at them together
    Duration next {};     // until the first of them has room
    bool isAll = false;   // no other target could take the request, now or later
};

struct LeavingTarget {
    uint64_t targetHash = 0;
    std::optional<int64_t> startedUnixMs; // of the process that leaves; empty: told by a node of an earlier version
    bool operator==(const LeavingTarget&) const = default;
};

struct TargetLoadReport {
    uint64_t targetHash;
    uint32_t running;
    uint32_t prefillTokens;
    Duration silence {}; // time since the last byte of any answer
};

struct RunSample { // measurements of one request, for a node that did not run it itself
    uint64_t service = 0;
    uint64_t target = 0;
    TargetOutcome outcome = TargetOutcome::Cancelled; // Cancelled: no outcome yet, the request is still running
    std::optional<Duration> serviceTime;
    uint32_t backlogTokens = 0; // prompt tokens processed before the first event; 0: no first event is reported
    Duration firstAfter {};     // time to the first event
    std::optional<Duration> eventGap;
    std::vector<PromptPart> parts;             // prompt parts that the target has processed
    std::optional<double> brittlePerSecond {}; // the target says that it is brittle, see Brittleness.h; 0: it answered and does not
};

struct TargetCandidate;
enum class TargetExclusion : uint8_t;

class TargetPool {
public:
    using Index = uint32_t; // position in `targets`; never reassigned

    // `random` returns uniform values in [0, 1).
    TargetPool(const PlacementSettings& settings, bool isEngine, std::function<double()> random);

    void setEngine(bool value) { this->isEngine = value; }
    Index upsert(const TargetInfo& info, TimePoint now);
    void markLeaving(std::string_view id); // draining or removed: gets no new requests; running ones continue
    // The target itself or a peer announced that the target is leaving. Overrides the store's entry until the target restarts.
    void onLeaveAnnounced(Index target);
    void onLeaveAnnounced(const LeavingTarget& leaving); // ignored if it is about another process of the target
    std::vector<LeavingTarget> leavingTargets() const;   // targets whose leave was announced
    bool isLeaving(Index target) const { return this->targets[target].leaving; }
    void setEvacuated(std::set<std::string> domains); // failure domains whose targets get no new requests; running ones continue
    bool isEvacuated(Index target) const { return this->targets[target].evacuated; }
    bool isEvacuated(const std::string& domain) const { return this->evacuated.contains(domain); }
    void pauseFor(Index target, Duration requested, TimePoint now); // the target asked for no requests for this long

    // An answer of the target says that it is brittle, or, to a request sent then, does not. True: news.
    // Those of the service that have not said so yet count as brittle too: they are alike, and this node may not hear each of them in time.
    bool onBrittle(Index target, double perSecond, TimePoint now);
    bool onNotBrittle(Index target, TimePoint sentAt);
    std::optional<double> brittlePerSecond(Index target, TimePoint now) const { return this->targets[target].brittle.perSecond(now); }
    size_t brittleCount(TimePoint now) const;
    void takeGuess(Index target, size_t nodes, TimePoint now); // a place was taken whose room is not known

    SharedRate& rate(Index target) { return this->targets[target].rate; }
    size_t limitedCount() const;                                       // targets that name a request limit
    std::array<size_t, rateKindCount> rateCounts(TimePoint now) const; // targets by the kind of the rate in force
    bool hasRates(TimePoint now) const;                                // a rate is in force at any target
    // Parts of the rates that this node may grant, by group; the group "" holds all targets. Without any, each part is 1.
    void setShares(std::map<std::string, double> value) { this->shares = std::move(value); }
    bool takeFromRate(Index target, TimePoint now); // a place was granted; false: the target has no rate

    void setWarmUp(const WarmUpTerms& terms, TimePoint now); // of the service
    const WarmUpTerms& warmUpTerms() const { return this->warmUp; }
    bool hasWarmUpRate() const { return this->warmUp.perSecond > 0; }
    void setEntriesOld(bool value, TimePoint now);            // this node's copy of the targets' entries is too old to tell which warm up
    void assumeWarmUp(std::string_view group, TimePoint now); // its targets may warm up, though no entry says so yet
    bool onWarmUpReport(const WarmUpReport& report, TimePoint now);                       // of a peer; true: news
    std::vector<WarmUpReport> warmUpReports(std::string_view group, TimePoint now) const; // what this node knows itself
    bool takeWarmUpNews() { return std::exchange(this->warmUpNews, false); }            // entries have told of warm-ups since the last call
    std::vector<LimitReport> limitReports(std::string_view group, TimePoint now) const; // of targets that name a limit or did so lately
    std::optional<LimitedRoom> limitedRoom(const Demand& demand, std::span<const Index> tried, TimePoint now) const;

    struct Choice {
        Index target;
        Duration firstEvent;      // predicted time to the first event, or to the answer of a service that is no engine
        uint32_t backlogTokens;   // prompt tokens that the target processes until then, including this request's
        bool passedLimit = false; // a target was passed over for its request limit
        bool isIdle = false;      // no request runs there
    };
    // Empty: no usable target has capacity. Targets in `tried` are excluded.
    std::optional<Choice> choose(const Demand& demand, std::span<const Index> tried, TimePoint now);
    std::vector<TargetCandidate> candidates(const Demand& demand, TimePoint now) const; // all targets; see TargetCandidates.h
    bool takesWork(Index target, TimePoint now) const; // neither leaving nor paused, also for this node only
    bool isWarm(Index target, TimePoint now) const { return now >= this->targets[target].warmAt; }

    void started(Index target, const Demand& demand, TimePoint now);
    void progress(Index target, TimePoint now); // a byte of any answer arrived
    void firstEvent(Index target, uint32_t promptTokens, uint32_t backlogTokens, Duration afterStart, TimePoint now);
    void eventGap(Index target, Duration gap, TimePoint now); // `gap`: mean time between the events of one answer
    // `prefillPending`: prompt tokens of the request that were still counted as unprocessed.
    void ended(Index target, uint32_t prefillPending, TargetOutcome outcome, std::optional<Duration> serviceTime, TimePoint now);
    void recordCachedPrompt(Index target, std::span<const PromptPart> parts, TimePoint now); // the target has processed this prompt

    void peerLoads(uint64_t peer, std::span<const TargetLoadReport> loads, TimePoint now); // replaces the peer's previous report
    // Adds a request that the peer sent after its last report.
    void addPeerRun(uint64_t peer, uint64_t targetHash, uint32_t prefillTokens, TimePoint now);
    // `group` is a failure domain, here and below; empty: all targets.
    std::vector<TargetLoadReport> ownLoads(std::string_view group, TimePoint now) const;
    std::vector<uint64_t> unavailableTargets(std::string_view group, TimePoint now) const; // paused, or announced to be leaving
    void applySample(Index target, const RunSample& sample, uint64_t node, TimePoint now); // measured by another node, by hash of its name

    std::optional<Index> find(uint64_t targetHash) const;
    uint64_t hashOf(Index target) const { return this->targets[target].hash; }
    bool isGrouped() const { return this->grouped; }   // targets are grouped by failure domain, since the domains have enough of them
    std::vector<std::string> domains() const;          // failure domains with targets that are neither leaving nor evacuated
    std::vector<std::string> evacuatedDomains() const; // the evacuated ones with targets that are not leaving
    struct Room {
        uint32_t freeSlots = 0;
        Duration soonest {}; // predicted time to a first event at the fastest target; Duration::max(): no free slot
    };
    Room room(std::string_view group, TimePoint now) const;
    // Predicted time between two slots that become free, while all are taken; empty: no target of the group is usable.
    std::optional<Duration> slotInterval(std::string_view group, TimePoint now) const;
    Duration prefillTime(uint32_t tokens) const; // at an idle target of mean speed
    bool plansRoom() const { return this->settings.plansRoom; }
    Duration expectedSlotTime(uint32_t promptTokens, uint32_t outputEvents) const; // of a request at a mean target
    const SpillSettings& spillSettings() const { return this->settings.spill; }
    // Measured between this node's failure domain and each other one.
    void setRoundTrips(std::map<std::string, Duration, std::less<>> values) { this->roundTrips = std::move(values); }
    Duration roundTrip(std::string_view from, std::string_view to) const;

    const TargetInfo& info(Index target) const { return this->targets[target].info; }
    bool isStalled(Index target, TimePoint now) const;   // silent for longer than maxSilence of its predicted first event
    Duration silence(Index target, TimePoint now) const; // time since the last byte of any answer
    std::optional<TimePoint> lastAnswerAt(Index target) const { return this->targets[target].answeredAt; } // to this node; last byte
    Duration maxSilence(Duration predictedFirst) const; // longest silence of a healthy target, given the predicted time to a first event
    bool hasVersion(std::string_view version) const;    // a target of this version is not leaving
    uint64_t inFlightOutside(std::string_view version) const;                         // this node's requests at targets of other versions
    void addTargetsOf(std::string_view version, std::vector<uint64_t>& hashes) const; // those that are not leaving, by their ids
    // The targets of a version that get its requests while a move loads one of them (in each group): all nodes choose the same ones.
    struct LoadedTargets {
        double targetsPerLoaded = 0;     // targets of the version that take work, for each loaded one
        std::vector<uint64_t> notLoaded; // hashes of the ids of the others
    };
    LoadedTargets loadedTargets(std::string_view version, TimePoint now) const;
    size_t usableCount() const;    // targets that are neither leaving nor evacuated
    size_t evacuatedCount() const; // targets that are evacuated and not leaving
    // Targets that only a connection can show to be within reach again: this node lost requests there, and their pause has ended.
    std::vector<Index> takeDueProbes(TimePoint now);
    void probed(Index target, bool isReached, TimePoint now);
    void endPauses(); // of targets that were paused for failures, since these say nothing about the targets
    void forEachAddress(const std::function<void(const Address&)>& visit) const; // of targets that are not leaving
    bool isUnresponsive(std::string_view id) const; // requests to it have failed one after the other, without an answer since
    // Requests per slot of the targets that accept work; above 1: overloaded; 1 if there are no such targets.
    double occupancy(std::string_view group, TimePoint now) const;

    struct View { // for metrics and logs
        const TargetInfo* info;
        uint32_t running;
        uint32_t prefillTokens;
        double tokensPerMs;
        Duration gap;
        bool paused;
        bool leaving;
        bool evacuated;
        LimitStatement requestLimit;
        double share;        // part of the rate that this node may grant
        RateKind rateKind;   // of the rate in force
        Duration warmUpLeft; // stated by the target's entry or a peer
    };
    std::vector<View> view(TimePoint now) const;

private:
    struct PeerLoad {
        uint32_t running = 0;
        uint32_t prefillTokens = 0;
        TimePoint at {}; // of the last report or request
    };
    struct NodeTime {
        uint64_t node = ownNode; // by hash of its name
        std::optional<TimePoint> at;
    };
    static constexpr uint64_t ownNode = 0;
    struct Target {
        TargetInfo info;
        uint64_t hash = 0;
        bool leaving = false;
        bool leaveAnnounced = false; // by the target or a peer; overrides the store's entry
        bool evacuated = false;      // by the operators, with its failure domain
        uint32_t running = 0;
        uint32_t prefillTokens = 0;
        std::map<uint64_t, PeerLoad> peers; // by node
        double tokensPerMs = 0;             // prefill speed; 0: not measured yet
        double gapMs = 0;                   // time between events with a single request; 0: not measured yet
        double serviceMs = 0;               // duration of a request; 0: not measured yet
        AnswerHistory history;
        Pause shared;                // for the requests of all nodes
        Pause own;                   // for those of this node only, which may be the one that can't reach the target
        TimePoint requestedUntil {}; // end of the pause that the target asked for; within `shared` and `own`
        NodeTime newestAnswer;
        NodeTime answerOfOther;      // newest one to another node than newestAnswer
        std::set<uint64_t> lossesOf; // nodes that lost requests there since the newest answer
        TimePoint lastProgress {};
        std::optional<TimePoint> answeredAt; // last byte of an answer to this node
        TimePoint warmAt {};                 // until then the target is slow after its start
        SharedRate rate;
        Brittleness brittle;
        bool toldBrittleness = false; // it has answered with or without such a statement
    };
    struct CacheEntry {
        Index target;
        TimePoint at;
    };
    struct Load {
        uint32_t running;
        uint32_t prefillTokens;
    };
    // Estimates for targets without measurements: the mean of the measured targets, or the initial value of the settings.
    struct Means {
        double tokensPerMs;
        double gapMs;
        double serviceMs;
    };

    void updatePrefillSpeed(Index target, uint32_t backlogTokens, Duration afterStart, TimePoint now);
    void recordOutcome(Index target, TargetOutcome outcome, std::optional<Duration> serviceTime, uint64_t node, TimePoint now);
    void recordAnswer(Target& target, uint64_t node, TimePoint now);
    // Records that the node lost a request there. False: others get answers, so that the loss says more about the node than the target.
    bool recordLoss(Target& target, uint64_t node, TimePoint now);
    // By its failures or at its own request, for the requests of all nodes or of this one.
    static bool isPaused(const Target& target, TimePoint now)
    {
        return now < std::max(target.shared.until, target.own.until) || target.own.probation;
    }
    static bool isOpen(const Target& target) { return !target.leaving && !target.evacuated; } // may get new requests
    std::vector<std::string> domainsOf(bool (*includes)(const Target&)) const;
    Load load(const Target& target, TimePoint now) const;
    bool isStalled(const Target& target, TimePoint now) const;
    bool isEligible(const Target& target, const Demand& demand, TimePoint now) const; // apart from pauses
    bool isUsable(const Target& target, const Demand& demand, TimePoint now) const;
    bool hasCapacity(const Target& target, const Load& load, const Demand& demand, TimePoint now) const;
    double share(const Target& target) const;
    bool hasRateRoom(const Target& target, TimePoint now) const;
    void updateWarmUp(Target& target, const TargetInfo& info, bool isNew, TimePoint now);
    Duration predictFirst(const Target& target, const Load& load, uint32_t tokens) const;
    Duration slotWait(const Target& target, const Load& load) const; // predicted wait for a free slot
    double gapMs(const Target& target, uint32_t running) const;
    double score(const Target& target, const Load& load, uint32_t tokens, const Demand& demand, TimePoint now) const;
    TargetExclusion exclusion(const Target& target, const Demand& demand, TimePoint now) const;
    double expectedMs(const Target& target, const Load& load, uint32_t tokens, const Demand& demand, TimePoint now) const;
    double withDetour(double ms, const Target& target, const Demand& demand) const; // adds what it costs to leave the failure domain
    uint32_t cachedTokens(Index target, const Demand& demand, TimePoint now) const;
    OtherTargets othersThan(const Target& judged, TimePoint now) const;
    bool areAllPaused(TimePoint now) const; // those that are not leaving, for failures of any kind or since they asked for it
    bool isAnyUsable(const Demand& demand, std::span<const Index> tried, TimePoint now) const;
    // Whether a target that is paused for failures may serve while there is no other. `answeredAt`: its newest answer.
    static bool isLastResort(const Target& target, std::optional<TimePoint> answeredAt, TimePoint now);
    std::optional<Choice> chooseAmong(const Demand& demand, std::span<const Index> tried, bool lastResorts, TimePoint now);
    void refreshMeans();
    void refreshGroups();

    PlacementSettings settings;
    bool isEngine;
    std::function<double()> random;
    Means means {};
    std::vector<Target> targets; // never shrinks, since requests hold indices; a target that returns gets its former index
    std::unordered_map<std::string, Index> byId;
    std::unordered_map<uint64_t, Index> byHash;
    std::unordered_map<uint64_t, std::vector<Index>> reportedBy; // by node: targets with load of that node
    bool grouped = false;                 // also counts evacuated targets, so that nodes agree on it while an evacuation spreads
    std::set<std::string> evacuated;      // failure domains
    std::map<std::string, double> shares; // of the targets' rates, by group
    WarmUpTerms warmUp;
    bool entriesOld = false;
    bool warmUpNews = false;
    TimePoint brittleSpreadAt {};                                // when the statement of one target was last applied to all
    std::map<std::string, Duration, std::less<>> roundTrips;     // by failure domain
    std::unordered_map<uint64_t, std::vector<CacheEntry>> cache; // by prefix hash; bounded
};

} // namespace guavapond::edge
