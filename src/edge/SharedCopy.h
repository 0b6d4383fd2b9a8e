// Tracks how current a node's copy of one part of the store is, and decides when the node reads that part again.
//
// All nodes read the same parts. Each node tells its peers the digest of its copy and when that copy was last known to equal the
// store. A peer with the same digest takes that over as its own proof and skips its next read, so the number of calls to the store
// hardly grows with the number of nodes. A node that hears no such report reads the store by itself: no leader is elected, and no node
// depends on another one.
//
// Index
//   CopyReport          digest and age of a copy, as sent to peers
//   CopyReports         the reports of both parts
//   ReadOrder           this node's place among the nodes that would read
//   SharedCopySettings  intervals and delays of the reads; copySettingsWithin
//   SharedCopy          wasRead, readFailed, peerReports, readDueAt
//
//   if (now >= copy.readDueAt(order))
//       read, then copy.wasRead(started, now) or copy.readFailed(now)
#pragma once

#include "core/Types.h"

namespace guavapond::edge {

struct CopyReport {
    uint64_t digest = 0;         // of the content; equal for equal copies
    std::optional<Duration> age; // since the copy was last known to equal the store; empty: never known
    bool operator==(const CopyReport&) const = default;
};

struct CopyReports {
    CopyReport operators; // configuration and orders of moves
    CopyReport targets;
};

struct ReadOrder {
    size_t place = 0;             // number of heard peers that read before this node; 0: it reads first
    size_t nodes = 1;             // heard peers and this node
    Duration propagationDelay {}; // from a peer's read until this node hears of it
};

struct SharedCopySettings {
    Duration interval = std::chrono::milliseconds(800);            // age of the copy at which the first node in order reads again
    Duration delayPerPlace = std::chrono::milliseconds(50);        // added for each node before this one in the order
    Duration maxPlaceDelay = std::chrono::milliseconds(350);       // keeps the operators' bound of 2 s if all nodes before this one fail
    Duration maxPropagationDelay = std::chrono::milliseconds(600); // keeps that bound in large deployments, where reports travel slowly
    Duration retryInterval = std::chrono::milliseconds(250);       // between failed reads, or while a peer's copy is newer
    Duration currentRetryInterval = std::chrono::seconds(1);       // between failed reads while peers' reports keep the copy current
    Duration peerFetchTime = std::chrono::milliseconds(400);       // how long a newer copy is asked of the peer before the store is read
    Duration retryIntervalPerNode = std::chrono::milliseconds(2);  // times the nodes: least retry interval; bounds the calls of all nodes
};

// For a part whose changes all nodes in touch have to know within `bound`, also if all nodes before one in the order fail.
SharedCopySettings copySettingsWithin(Duration bound);

class SharedCopy {
public:
    explicit SharedCopy(const SharedCopySettings& settings)
        : settings(settings)
    {
    }

    void setDigest(uint64_t value);                 // if it equals a newer copy of a peer, the peer's proof becomes this copy's
    void wasRead(TimePoint started, TimePoint now); // the copy equals the store as of `started`
    void readFailed(TimePoint now);                 // the read failed or returned unusable data
    // Takes in a peer's report from a beacon that echoes this node's beacon sent at `askedAt`. The proof is dated by this node's clock:
    // `askedAt` minus the age. Returns true if the copies are equal, so that the peer's proof also holds for this copy.
    bool peerReports(const CopyReport& report, TimePoint askedAt, TimePoint now);
    bool isNewerCopy(const CopyReport& report) const { return this->differs() && report.digest == this->differingDigest; }
    void peerFetchFailed() { this->differsSince.reset(); } // the store is read without waiting for peerFetchTime
    TimePoint readDueAt(const ReadOrder& order) const;     // may lie in the past; the epoch: no read was tried yet
    CopyReport report(TimePoint now) const;
    std::optional<TimePoint> provedAt() const { return this->equalAt; } // last time at which the copy was known to equal the store
    std::optional<TimePoint> lastKnownReadAt() const;                   // last time at which any node is known to have read the store
    // Whether a peer has a different copy that was known to equal the store later than this one.
    bool differs() const { return this->differingProvedAt && (!this->equalAt || *this->differingProvedAt > *this->equalAt); }

private:
    SharedCopySettings settings;
    uint64_t digest = 0;
    std::optional<TimePoint> equalAt;           // last time at which the copy was known to equal the store; never decreases
    std::optional<TimePoint> differingProvedAt; // last time at which a peer's different copy was known to equal the store
    uint64_t differingDigest = 0;               // of that different copy
    std::optional<TimePoint> differsSince;      // when this node heard of the newer copy; empty: read the store without waiting
    std::optional<TimePoint> triedAt;           // end of the last read, also of a failed one
    bool failing = false;                       // the last read failed
};

} // namespace guavapond::edge
