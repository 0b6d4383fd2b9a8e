// The targets of one service as this node believes them to be, and the choice among them. Load is what all nodes have in flight:
// this node's own work and what its peers report. Speeds are learned from answers.
//
// Index
//   TargetInfo      what a target says of itself
//   Demand          what a request needs
//   PlacementSettings
//   TargetPool      upsert and leave; choose; started, firstEvent, event, ended; peers' loads
//
//   if (auto choice = pool.choose(demand, tried, now))
//       pool.started(choice->target, demand, now);
#pragma once

#include "edge/Address.h"
#include "edge/Catalog.h"

#include <functional>
#include <map>
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
    int64_t startedUnixMs = 0; // changes when the target starts again under its id; 0: not told
    uint64_t revision = 0;     // of the store's item
};

struct PromptPart {
    uint64_t prefixHash; // hash of this part and all before it
    uint32_t tokens;
};

struct Demand {
    uint32_t promptTokens = 0;
    uint32_t outputEvents = 1;         // expected
    bool urgent = false;               // of the highest priority
    bool repeatable = false;           // may be sent to a target on probation
    std::span<const PromptPart> parts; // of the prompt, in order
    std::string_view onlyVersion;      // of targets; empty: any
    std::string_view notVersion;       // of targets that are left out; empty: none
    std::string_view onlyDomain;       // the same for failure domains
    std::string_view fromDomain;       // of the node that sends; empty: this one
    uint32_t maxOwnInFlight = 0;       // of this node's requests at the target; 0: no bound of its own
    double scoreJitter = 0;            // random part of the predicted time, for nodes that choose without a common view
};

struct PlacementSettings {
    std::string failureDomain;                                // of this node
    double mostPerSlot = 1.5;                                 // requests at a target, as a multiple of its slots
    Duration queueForUrgent = std::chrono::milliseconds(120); // predicted wait for a slot at a target, for urgent requests
    Duration queueForOthers = std::chrono::milliseconds(15);  // the same for all others
    double otherDomainCost = 0.05;                            // added to the predicted time at another failure domain, as a part of it
    double initialTokensPerMs = 60;                           // prefill speed before anything was learned, tokens/ms
    Duration initialEventGap = std::chrono::milliseconds(20); // time between events before anything was learned
    Duration initialServiceTime = std::chrono::milliseconds(15);
    Duration peerLoadTtl = std::chrono::milliseconds(1500); // a peer's report is dropped when it is older
    Duration stallAfter = std::chrono::milliseconds(700);   // without a byte while nothing much is to be read, a target gets no new work
    double stallFactor = 3;                                 // added to it, in multiples of the time its prompts and queue should take
    Duration firstPause = std::chrono::milliseconds(300);   // after a connection failure; doubles with each further one
    Duration longestPause = std::chrono::seconds(4);
    Duration maxRequestedPause = std::chrono::seconds(60); // a target may ask for more with Retry-After; it is not believed
    Duration cacheTtl = std::chrono::seconds(10);          // a prompt part is expected in a target's memory for that long
    double maxPausedShare = 0.5;                           // part of the targets that may be paused for failing answers
    Duration failurePenalty = std::chrono::seconds(1);     // a certain failure weighs like this much time; a likely one like its part of it
};

enum class TargetOutcome : uint8_t {
    Answered,    // whole answer
    Declined,    // full, or on its way out
    Unreachable, // no connection
    Broken,      // connection lost under a request
    Failed,      // an error, or an answer that can't be used
    Silent,      // no progress
    Cancelled,   // by this node or the caller
};

struct TargetLoadReport {
    uint64_t targetHash;
    uint32_t running;
    uint32_t prefillTokens;
    Duration silence {}; // since the last byte of any answer
};

struct RunSample { // what a run told of its target, for a node that did not see it
    uint64_t service = 0;
    uint64_t target = 0;
    TargetOutcome outcome = TargetOutcome::Cancelled; // Cancelled: none, the run goes on
    std::optional<Duration> serviceTime;
    uint32_t backlogTokens = 0; // read until the first event; 0: no first event is told of
    Duration firstAfter {};
    std::optional<Duration> eventGap;
    std::vector<PromptPart> parts; // that the target has read
};

class TargetPool {
public:
    using Index = uint32_t; // stable while the target is known

    TargetPool(const PlacementSettings& settings, bool isEngine, std::function<double()> random); // random: uniform in [0, 1)

    void setEngine(bool value) { this->isEngine = value; }
    Index upsert(const TargetInfo& info, TimePoint now);
    void markLeaving(std::string_view id); // draining or gone: no new work; what runs there goes on
    // The target itself, or a peer, says that it leaves: holds until it is gone or starts anew, whatever the store's entry says.
    void onLeaveAnnounced(Index target);
    void onLeaveAnnounced(uint64_t targetHash);
    std::vector<uint64_t> leavingHashes() const; // of targets that said so
    bool isLeaving(Index target) const { return this->targets[target].leaving; }
    void pauseFor(Index target, Duration asked, TimePoint now); // the target wants nothing from this node for so long

    struct Choice {
        Index target;
        Duration firstEvent;    // predicted time to the first event, or to the answer of a plain service
        uint32_t backlogTokens; // prompt tokens to be read there until then, the request's own included
    };
    // Empty: no usable target has room. `tried` are left out.
    std::optional<Choice> choose(const Demand& demand, std::span<const Index> tried, TimePoint now);
    bool takesWork(Index target, TimePoint now) const; // neither leaving nor paused

    void started(Index target, const Demand& demand, TimePoint now);
    void progress(Index target, TimePoint now); // any byte of an answer
    void firstEvent(Index target, uint32_t promptTokens, uint32_t backlogTokens, Duration afterStart, TimePoint now);
    void eventGap(Index target, Duration gap, TimePoint now); // mean over the events of an answer
    // `prefillPending` is the part of the prompt that was not known to be read yet.
    void ended(Index target, uint32_t prefillPending, TargetOutcome outcome, std::optional<Duration> serviceTime, TimePoint now);
    void recordCachedPrompt(Index target, std::span<const PromptPart> parts, TimePoint now); // the target has read this prompt

    void peerLoads(uint64_t peer, std::span<const TargetLoadReport> loads, TimePoint now);      // replaces the peer's earlier report
    void addPeerRun(uint64_t peer, uint64_t targetHash, uint32_t prefillTokens, TimePoint now); // sent since that report
    // `group`: a failure domain; empty: all targets.
    std::vector<TargetLoadReport> ownLoads(std::string_view group, TimePoint now) const;
    std::vector<uint64_t> unavailableTargets(std::string_view group, TimePoint now) const; // paused, or leaving by their own word
    void applySample(Index target, const RunSample& sample, TimePoint now);                // of another node

    std::optional<Index> find(uint64_t targetHash) const;
    uint64_t hashOf(Index target) const { return this->targets[target].hash; }
    bool isGrouped() const { return this->grouped; } // each failure domain has enough targets to be a group of its own
    std::vector<std::string> domains() const;        // with targets that take work
    struct Room {
        uint32_t freeSlots = 0;
        Duration soonest {}; // predicted wait for a first event at the best target
    };
    Room room(std::string_view group, TimePoint now) const;

    const TargetInfo& info(Index target) const { return this->targets[target].info; }
    bool isStalled(Index target, TimePoint now) const;        // silent for longer than a sound target would be
    Duration silence(Index target, TimePoint now) const;      // since the last byte of any answer
    Duration maxSilence(Duration predictedFirst) const;       // silence that is sound while a first event is predicted so far off
    bool hasVersion(std::string_view version) const;          // a target of it takes work
    uint64_t inFlightOutside(std::string_view version) const; // this node's work at targets of other versions
    size_t usableCount() const;
    double occupancy(std::string_view group, TimePoint now) const; // part of the usable slots that is taken; above 1: overloaded

    struct View { // for metrics and logs
        const TargetInfo* info;
        uint32_t running;
        uint32_t prefillTokens;
        double tokensPerMs;
        Duration gap;
        bool paused;
        bool leaving;
    };
    std::vector<View> view(TimePoint now) const;

private:
    struct PeerLoad {
        uint32_t running = 0;
        uint32_t prefillTokens = 0;
        TimePoint at {};
    };
    struct Target {
        TargetInfo info;
        uint64_t hash = 0;
        bool leaving = false;
        bool leaveAnnounced = false; // by itself or through a peer; outlives the store's entry
        uint32_t running = 0;
        uint32_t prefillTokens = 0;
        std::map<uint64_t, PeerLoad> peers;
        double tokensPerMs = 0;      // 0: not learned yet
        double gapMs = 0;            // with one request; 0: not learned yet
        double serviceMs = 0;        // 0: not learned yet
        uint32_t failures = 0;       // connection failures in a row
        uint32_t recentFailures = 0; // bits of the last answers, 1: failed
        double failedShare = 0;      // of answers, the last ones weigh most
        TimePoint judgedAt {};       // when failedShare was learned
        TimePoint pausedUntil {};
        bool probation = false; // paused before and not yet answered again
        TimePoint lastProgress {};
    };
    struct CacheEntry {
        Index target;
        TimePoint at;
    };
    struct Load {
        uint32_t running;
        uint32_t prefillTokens;
    };
    // Stand for what is not learned of a target yet: means over the others, else the settings' first values.
    struct Means {
        double tokensPerMs;
        double gapMs;
        double serviceMs;
    };

    void learnReading(Index target, uint32_t backlogTokens, Duration afterStart, TimePoint now);
    void learnOutcome(Index target, TargetOutcome outcome, std::optional<Duration> serviceTime, TimePoint now);
    Load load(const Target& target, TimePoint now) const;
    bool isStalled(const Target& target, TimePoint now) const;
    bool isUsable(const Target& target, const Demand& demand, TimePoint now) const;
    Duration predictFirst(const Target& target, const Load& load, uint32_t tokens) const;
    Duration slotWait(const Target& target, const Load& load) const; // predicted, until a slot is free
    double gapMs(const Target& target, uint32_t running) const;
    double score(const Target& target, const Load& load, uint32_t tokens, const Demand& demand, TimePoint now) const;
    double expectedFailures(const Target& target, TimePoint now) const; // share of the answers, fades while nothing is learned
    uint32_t cachedTokens(Index target, const Demand& demand, TimePoint now) const;
    void pause(Target& target, TimePoint now);
    void refreshMeans();
    void refreshGroups();

    PlacementSettings settings;
    bool isEngine;
    std::function<double()> random;
    Means means {};
    std::vector<Target> targets; // never shrinks while a run may refer to an index; a slot of one that left is reused by its id only
    std::unordered_map<std::string, Index> byId;
    std::unordered_map<uint64_t, Index> byHash;
    std::unordered_map<uint64_t, std::vector<Index>> reportedBy; // targets with work of a peer
    bool grouped = false;
    std::unordered_map<uint64_t, std::vector<CacheEntry>> cache; // by chain hash; bounded
};

} // namespace guavapond::edge
