// Finds prompt parts and whole requests that crash targets, and keeps them from all targets.
//
// A target that ends loses all its requests, so each crash has one culprit and several bystanders. Two kinds of suspects are compared
// over all crashes: a part of a prompt, which is lost in crash after crash in different prompts, and a request, which is lost itself each
// time it is repeated. No prompt with such a part ever delivers an event, and no such request gets a whole answer: its target may send the
// head, or a part of the answer, before it ends. All nodes tell each other their lost requests, and, for the
// suspects, when one of them was last seen sound. Each node draws the conclusion by itself and passes it on, so that a node that starts
// later knows it too.
//
// The parts are judged by all known crashes each time, those of a quarantined part included: a part that explains more crashes than the
// one in quarantine takes its place, and the verdict on that one is withdrawn on all nodes.
//
// Index
//   LostStream           a request whose target ended before its answer was whole
//   PartAge              a suspect, and how long ago something was seen of it
//   QuarantineReport     what a node tells its peers
//   QuarantineSettings
//   PromptQuarantine     onBegan, onUnprovedEnd, onLost, decide; blocks, isBlocked, isSuspect, lift; report, onPeerReport, isWithdrawn
//
//   if (quarantine.blocks(parts, now, request))
//       refuse the request
#pragma once

#include "core/Types.h"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

namespace guavapond::edge {

using PartKey = uint64_t;
using RequestKey = uint64_t; // equal for repeats of a request: hash of its method, path, workspace and body; 0: none

struct LostStream {
    uint64_t target = 0; // hash of the target's id
    uint64_t prompt = 0; // hash of the whole prompt; a repeat of the request has the same
    Duration age {};     // since its target ended
    std::vector<PartKey> parts;
    RequestKey request = 0; // equal for repeats; 0: told by a node of an earlier version
    bool operator==(const LostStream&) const = default;
};

struct PartAge {
    PartKey part = 0; // or the key of a request
    Duration age {};
    bool isRequest = false;
    bool operator==(const PartAge&) const = default;
};

struct QuarantineReport {
    std::vector<LostStream> lost;      // by this node, lately
    std::vector<PartAge> begun;        // last event that this node saw, of the parts in question
    std::vector<PartAge> quarantined;  // since when
    std::vector<PartAge> withdrawn {}; // parts whose crashes another part explains, and since when; nodes of earlier versions tell none
    bool operator==(const QuarantineReport&) const = default;
};

struct QuarantineSettings {
    size_t minCrashes = 3;                                  // with different prompts; fewer happen to bystanders by chance
    size_t minCrashesOfKnown = 6;                           // of a part that has delivered events before
    size_t minTargets = 2;                                  // that ended; one alone may be faulty itself
    Duration crashSpacing = std::chrono::milliseconds(300); // crashes closer together count as one: they may have a common outside cause
    // The same for crashes of one request, which is at one target at a time: copies of it at several targets may have such a cause.
    Duration requestCrashSpacing = std::chrono::milliseconds(50);
    Duration rivalTime = std::chrono::seconds(1); // a request that shares its crashes with another one is decided on this much later
    Duration answerMargin = std::chrono::milliseconds(50); // bytes that are read this long after a crash were under way before it
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
        PartKey part = 0;           // or the key of a request
        bool isQuarantined = false; // false: released
        size_t crashes = 0;         // that led to it; 0: told by a peer
        bool isOwn = false;         // decided, or released, by what this node knows by itself
        bool isRequest = false;
        std::string seenBy;            // the nodes that saw these crashes, joined by commas
        PartKey replacedBy {};         // released, since this part explains its crashes; 0: for another reason
        size_t replacementCrashes = 0; // of that part
    };
    // Last byte of an answer of the target, by the hash of its id; empty: none.
    using LastAnswer = std::function<std::optional<TimePoint>(uint64_t target)>;

    explicit PromptQuarantine(const QuarantineSettings& settings, LastAnswer lastAnswer = {})
        : settings(settings)
        , lastAnswer(std::move(lastAnswer))
    {
    }

    // How long it takes until all peers know a lost stream and this node has heard what they know of its parts.
    void setSettleTime(Duration value) { this->settleTime = value; }
    void setProbing(bool value) { this->isProbing = value; } // this node probes parts whose quarantine has ended; one node at a time does

    // While it is false no key of a request is needed below. A key is a hash of the whole request, so it is not computed for nothing.
    bool needsRequestKeys() const { return !this->crashes.empty() || !this->quarantined.empty(); }
    // A stream with these parts delivered an event, or the request got a whole answer.
    void onBegan(std::span<const PartKey> parts, TimePoint now, RequestKey request = 0);
    // The request got an answer that ended with its connection, as a crash would end it: it is sound if the target goes on answering.
    void onUnprovedEnd(uint64_t target, RequestKey request, TimePoint now);
    void onLost(uint64_t target, uint64_t prompt, std::span<const PartKey> parts, TimePoint now, RequestKey request = 0);
    std::vector<Change> decide(TimePoint now); // call often; returns what has changed since the last call

    bool blocks(std::span<const PartKey> parts, TimePoint now, RequestKey request = 0); // false may start the probe of a suspect
    // The same for a request that passed blocks(): starts no probe.
    bool isBlocked(std::span<const PartKey> parts, TimePoint now, RequestKey request = 0) const;
    bool isRequestBlocked(RequestKey request, TimePoint now) const { return this->isBlocked({}, now, request); }
    // A part was lost in a crash with another prompt as well, and is not known to have delivered an event; or the request was lost in two
    // crashes and has not been answered since.
    bool isSuspect(uint64_t prompt, std::span<const PartKey> parts, RequestKey request = 0) const;
    Duration retryAfter(std::span<const PartKey> parts, TimePoint now) const; // until the quarantine ends
    bool lift(PartKey key, TimePoint now);                                    // by an operator; false: not in quarantine
    size_t size() const { return this->quarantined.size(); }
    Duration quarantineTime() const { return this->settings.quarantineTime; }
    std::vector<PartAge> list(TimePoint now) const; // suspects in quarantine, and since when
    size_t keptBack(PartKey key) const;             // requests that this node kept from targets for it

    QuarantineReport report(TimePoint now) const;
    void onPeerReport(const QuarantineReport& report, TimePoint now, std::string_view peer = {});
    bool isWithdrawn(PartKey part, TimePoint quarantinedAt) const; // the verdict of that time is withdrawn since
    uint64_t changes() const { return this->changeCount; }         // grows with each change of report() but for ages

private:
    struct Lost {
        uint64_t prompt = 0;
        std::vector<PartKey> parts;
        RequestKey request = 0;
        bool isOwn = false;    // seen by this node
        std::string seenBy {}; // the peer that told of it
    };
    struct Crash {
        uint64_t target = 0;
        TimePoint at {};
        TimePoint heardAt {}; // when this node first knew of it
        std::vector<Lost> lost;
        bool isJudged = false;    // whether it is a crash
        bool isDismissed = false; // the target went on answering: connections were lost, not the target
    };
    struct PartRelease {
        TimePoint at {};
        bool isRequest = false;
    };
    struct UnprovedEnd {
        uint64_t target = 0;
        RequestKey request = 0;
        TimePoint at {};
    };
    struct Quarantine {
        TimePoint since {};
        std::optional<TimePoint> probedAt {}; // a request was let through to probe the suspect
        bool isRequest = false;
        size_t keptBack = 0; // requests, by this node
    };
    struct Count {
        std::vector<uint64_t> prompts;         // different ones
        std::vector<uint64_t> targets;         // different ones
        size_t crashes = 0;                    // apart from each other by crashSpacing
        std::optional<TimePoint> countedAt;    // the last of these
        size_t position = 0;                   // in the prompt; later parts are more specific
        TimePoint heardAt {};                  // of the first crash
        TimePoint lastHeardAt {};              // of the crash that was heard of last
        std::vector<TimePoint> countedHeardAt; // when this node first knew of each crash that counts
        std::vector<const Crash*> in;          // the crashes
        void add(const Crash& crash, const Lost& lost, size_t partPosition, Duration spacing);
    };

    void addLost(uint64_t target, TimePoint at, Lost lost, TimePoint now);
    static constexpr int forgottenAfter = 2;                       // quarantine times; no request has probed the suspect meanwhile
    static constexpr size_t crashesOfSuspect = 2;                  // from here on a request is not sent a second time
    std::optional<TimePoint> begunAt(PartKey part) const;          // last event of a stream with the part, at any node
    std::optional<TimePoint> answeredAt(RequestKey request) const; // last whole answer, at any node
    bool hasBegunSince(PartKey part, TimePoint time) const;
    bool isAnsweredSince(RequestKey request, TimePoint time) const;
    bool isExplained(const Crash& crash) const; // a part or a request in quarantine was lost in it
    void judgeCrashes(TimePoint now);
    using Crashes = std::vector<const Crash*>;
    Crashes knownCrashes() const; // the oldest first, whatever the order of the reports
    std::unordered_map<PartKey, Count> countParts(const Crashes& among) const;
    std::unordered_map<RequestKey, Count> countRequests(TimePoint now) const;
    std::vector<RequestKey> culpritRequests(const std::unordered_map<RequestKey, Count>& counts, TimePoint now) const;
    size_t crashesOf(RequestKey request) const; // in which it was lost without an answer since
    bool isInQuestion(RequestKey request) const;
    void onPeerBegun(const PartAge& begun, TimePoint now);
    void onPeerWithdrawn(const PartAge& withdrawn, TimePoint now, std::string_view peer);
    void onPeerVerdict(const PartAge& quarantined, TimePoint now);
    void judgeEnds(TimePoint now);
    bool mayConvict(PartKey part, const Count& count, TimePoint now) const;
    std::optional<PartKey> nextCulprit(const std::unordered_map<PartKey, Count>& counts, TimePoint now) const;
    struct Culprit {
        PartKey part = 0;
        size_t crashes = 0; // that it was lost in
    };
    void judgeParts(TimePoint now);
    void judgeRequests(TimePoint now);
    void withdrawReplaced(const std::vector<Culprit>& culprits, TimePoint now);
    void withdraw(PartKey part, TimePoint at, Change change);
    void convictAll(TimePoint now);
    void convict(PartKey key, const Count& count, bool isRequest, TimePoint now);
    void quarantine(PartKey part, size_t crashes, TimePoint since, bool isRequest, std::string seenBy = {});
    bool release(PartKey part, bool isOwn); // false: it was not in quarantine
    void onBegan(PartKey key, TimePoint now);
    bool isBlockedBy(PartKey key, TimePoint now) const;
    void renewAfterProbe(TimePoint now);
    void expire(TimePoint now);
    bool allows(const Quarantine& entry, TimePoint now) const; // one probe

    QuarantineSettings settings;
    LastAnswer lastAnswer;   // empty: no crash is dismissed
    TimePoint lastLossAt {}; // when this node last heard of a lost request
    TimePoint decidedAt {};  // last time at which the crashes were compared
    Duration settleTime {};
    bool isProbing = true;
    std::deque<Crash> crashes;                                // oldest first
    std::deque<UnprovedEnd> unprovedEnds;                     // oldest first; bounded
    std::unordered_map<PartKey, TimePoint> ownBegunAt;        // bounded; of parts, and of requests in question
    std::unordered_map<PartKey, TimePoint> peerBegunAt;       // of parts in question only; never reported, so that ages don't drift
    std::unordered_map<RequestKey, TimePoint> peerAnsweredAt; // the same of requests
    std::unordered_map<PartKey, Quarantine> quarantined;
    std::unordered_map<PartKey, PartRelease> releasedAt; // by an event that this node saw; peers are told for a while
    // Parts whose crashes another one explains. Crashes of before that time speak no longer against them. Peers are told for a while.
    std::unordered_map<PartKey, TimePoint> withdrawnAt; // bounded
    std::vector<Change> pendingChanges;
    uint64_t changeCount = 0;
};

} // namespace guavapond::edge
