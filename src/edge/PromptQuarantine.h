// Finds prompt parts that crash targets, and keeps requests with such a part from all targets.
//
// A target that ends loses all its streams, so each crash has one culprit and several bystanders. A part that crashes targets shows in
// two ways: it is in the prompt of a lost stream of crash after crash, in different prompts, and no stream with it ever delivers an
// event. All nodes tell each other their lost streams, and, for the parts in question, when a stream with it last delivered an event.
// Each node draws the conclusion by itself and passes it on, so that a node that starts later knows it too.
//
// Index
//   LostStream           a stream whose target ended before its first event
//   PartAge              a part, and how long ago something was seen of it
//   QuarantineReport     what a node tells its peers
//   QuarantineSettings
//   PromptQuarantine     onBegan, onLost, decide; blocks, isSuspect; report, onPeerReport
//
//   if (quarantine.blocks(parts, now))
//       refuse the request
#pragma once

#include "core/Types.h"

#include <deque>
#include <unordered_map>

namespace guavapond::edge {

using PartKey = uint64_t;
using RequestKey = uint64_t; // equal for repeats of a request: hash of its method, path, workspace and body; 0: none

struct LostStream {
    uint64_t target = 0; // hash of the target's id
    uint64_t prompt = 0; // hash of the whole prompt; a repeat of the request has the same
    Duration age {};     // since its target ended
    std::vector<PartKey> parts;
    bool operator==(const LostStream&) const = default;
};

struct PartAge {
    PartKey part = 0;
    Duration age {};
    bool operator==(const PartAge&) const = default;
};

struct QuarantineReport {
    std::vector<LostStream> lost;     // by this node, lately
    std::vector<PartAge> begun;       // last event that this node saw, of the parts in question
    std::vector<PartAge> quarantined; // since when
    bool operator==(const QuarantineReport&) const = default;
};

struct QuarantineSettings {
    size_t minCrashes = 3;                                  // with different prompts; fewer happen to bystanders by chance
    size_t minCrashesOfKnown = 6;                           // of a part that has delivered events before
    size_t minTargets = 2;                                  // that ended; one alone may be faulty itself
    Duration crashSpacing = std::chrono::milliseconds(300); // crashes closer together count as one: they may have a common outside cause
    Duration quarantineTime = std::chrono::minutes(10);
    Duration probeTime = std::chrono::seconds(30);    // after it one more request may probe whether the part still crashes targets
    Duration knownTime = std::chrono::minutes(10);    // how long crashes and events are remembered
    Duration sameCrash = std::chrono::seconds(1);     // streams lost at a target within this time were lost in one crash
    Duration reportTime = std::chrono::seconds(2);    // how long a lost stream is told to the peers, beyond settleTime
    Duration renewalMargin = std::chrono::seconds(1); // reported times are late by the way of the report; closer ones count as equal
    Duration releaseReportTime = std::chrono::seconds(30);
    size_t maxCrashes = 64;         // remembered; the newest count
    size_t maxLostPerCrash = 32;    // remembered
    size_t maxQuarantined = 256;    // parts; keeps a faulty peer from filling the memory
    size_t maxParts = 16384;        // remembered with their last event
    size_t maxReportedStreams = 16; // bounds the size of a beacon
    size_t maxReportedParts = 64;   // bounds the size of a beacon
};

class PromptQuarantine {
public:
    struct Change {
        PartKey part = 0;
        bool isQuarantined = false; // false: released
        size_t crashes = 0;         // that led to it; 0: told by a peer
        bool isOwn = false;         // decided, or released, by what this node knows by itself
    };

    explicit PromptQuarantine(const QuarantineSettings& settings)
        : settings(settings)
    {
    }

    // How long it takes until all peers know a lost stream and this node has heard what they know of its parts.
    void setSettleTime(Duration value) { this->settleTime = value; }
    void setProbing(bool value) { this->isProbing = value; } // this node probes parts whose quarantine has ended; one node at a time does

    void onBegan(std::span<const PartKey> parts, TimePoint now); // a stream with these parts delivered an event
    void onLost(uint64_t target, uint64_t prompt, std::span<const PartKey> parts, TimePoint now);
    std::vector<Change> decide(TimePoint now); // call often; returns what has changed since the last call

    bool blocks(std::span<const PartKey> parts, TimePoint now);          // false may start the probe of a part
    bool isBlocked(std::span<const PartKey> parts, TimePoint now) const; // for a request that passed blocks(): starts no probe
    // A part was lost in a crash with another prompt as well, and is not known to have delivered an event.
    bool isSuspect(uint64_t prompt, std::span<const PartKey> parts) const;
    Duration retryAfter(std::span<const PartKey> parts, TimePoint now) const; // until the quarantine ends
    size_t size() const { return this->quarantined.size(); }
    Duration quarantineTime() const { return this->settings.quarantineTime; }
    std::vector<PartAge> list(TimePoint now) const; // parts in quarantine, and since when

    QuarantineReport report(TimePoint now) const;
    void onPeerReport(const QuarantineReport& report, TimePoint now);
    uint64_t changes() const { return this->changeCount; } // grows with each change of report() but for ages

private:
    struct Lost {
        uint64_t prompt = 0;
        std::vector<PartKey> parts;
        bool isOwn = false; // seen by this node
    };
    struct Crash {
        uint64_t target = 0;
        TimePoint at {};
        TimePoint heardAt {}; // when this node first knew of it
        std::vector<Lost> lost;
    };
    struct Quarantine {
        TimePoint since {};
        std::optional<TimePoint> probedAt; // a request was let through to probe the part
    };
    struct Count {
        std::vector<uint64_t> prompts;      // different ones
        std::vector<uint64_t> targets;      // different ones
        size_t crashes = 0;                 // apart from each other by crashSpacing
        std::optional<TimePoint> countedAt; // the last of these
        size_t position = 0;                // in the prompt; later parts are more specific
        TimePoint heardAt {};               // of the first crash
        void add(const Crash& crash, const Lost& lost, size_t partPosition, Duration spacing);
    };

    void addLost(uint64_t target, TimePoint at, Lost lost, TimePoint now);
    std::optional<TimePoint> begunAt(PartKey part) const; // last event of a stream with the part, at any node
    bool hasBegunSince(PartKey part, TimePoint time) const;
    bool isExplained(const Crash& crash) const; // by a part that is in quarantine
    std::unordered_map<PartKey, Count> countParts() const;
    std::optional<PartKey> likeliest(const std::unordered_map<PartKey, Count>& counts, bool begun) const;
    std::optional<PartKey> nextCulprit(const std::unordered_map<PartKey, Count>& counts, TimePoint now) const;
    void quarantine(PartKey part, size_t crashes, TimePoint since);
    bool release(PartKey part, bool isOwn); // false: it was not in quarantine
    void renewAfterProbe(TimePoint now);
    void expire(TimePoint now);
    bool allows(const Quarantine& entry, TimePoint now) const; // one probe

    QuarantineSettings settings;
    Duration settleTime {};
    bool isProbing = true;
    std::deque<Crash> crashes;                          // oldest first
    std::unordered_map<PartKey, TimePoint> ownBegunAt;  // bounded
    std::unordered_map<PartKey, TimePoint> peerBegunAt; // of parts in question only; never reported, so that ages don't drift
    std::unordered_map<PartKey, Quarantine> quarantined;
    std::unordered_map<PartKey, TimePoint> releasedAt; // by an event that this node saw; peers are told for a while
    std::vector<Change> pendingChanges;
    uint64_t changeCount = 0;
};

} // namespace guavapond::edge
