// What a node's copy of one part of the store is worth, and when the node reads that part again. All nodes read the same parts. One
// that has just read tells its peers a digest of what it holds, and a peer whose copy is equal needs no read of its own; so the calls
// to the store hardly grow with the nodes. Without such news each node reads by itself: nobody is elected, and nothing waits for
// another node.
//
// Index
//   CopyReport      what nodes tell each other of a copy
//   ReadOrder       this node's place among those that would read
//   SharedCopySettings
//   SharedCopy      wasRead, readFailed, peerReports, readDueAt
//
//   if (now >= copy.readDueAt(order))
//       read, then copy.wasRead(started, now) or copy.readFailed(now)
#pragma once

#include "core/Types.h"

namespace guavapond::edge {

struct CopyReport {
    uint64_t digest = 0;         // of what the copy says; equal for equal copies
    std::optional<Duration> age; // since the copy was known to equal the store; empty: it isn't known
    bool operator==(const CopyReport&) const = default;
};

struct CopyReports {
    CopyReport operators; // configuration and orders of moves
    CopyReport targets;
};

struct ReadOrder {
    size_t place = 0;             // peers that are heard and read before this node; 0: it reads first
    size_t nodes = 1;             // with this one
    Duration propagationDelay {}; // from a peer's read until this node knows of it
};

struct SharedCopySettings {
    Duration interval = std::chrono::milliseconds(800);            // age at which the first node in order reads again
    Duration delayPerPlace = std::chrono::milliseconds(50);        // the next in order waits that much longer
    Duration maxPlaceDelay = std::chrono::milliseconds(350);       // so that the operators' 2 s hold when all nodes before this one fail
    Duration maxPropagationDelay = std::chrono::milliseconds(600); // the same for the news of large deployments
    Duration retryInterval = std::chrono::milliseconds(250);       // between reads that fail, or while a peer's copy differs
    Duration currentRetryInterval = std::chrono::seconds(1);       // between reads that fail while peers keep the copy current
    Duration peerFetchTime = std::chrono::milliseconds(400);       // a peer's newer copy is asked for before the store, for this long
    Duration retryIntervalPerNode = std::chrono::milliseconds(2);  // least share of the retries; bounds the calls of all nodes together
};

class SharedCopy {
public:
    explicit SharedCopy(const SharedCopySettings& settings)
        : settings(settings)
    {
    }

    void setDigest(uint64_t value);                 // a copy that has become a peer's newer one is as current as that
    void wasRead(TimePoint started, TimePoint now); // the copy equals the store as of `started`
    void readFailed(TimePoint now);                 // or brought nothing that can be used
    // A peer's report in a beacon that echoes one sent by this node at `askedAt`. True: the copies are equal, and the peer's proof
    // is this copy's, too.
    bool peerReports(const CopyReport& report, TimePoint askedAt, TimePoint now);
    bool isNewerCopy(const CopyReport& report) const { return this->differs() && report.digest == this->differingDigest; }
    void peerFetchFailed() { this->differsSince.reset(); } // the store is asked for what a peer has read
    TimePoint readDueAt(const ReadOrder& order) const;     // may lie in the past; the epoch: never read yet
    CopyReport report(TimePoint now) const;
    std::optional<TimePoint> provedAt() const { return this->equalAt; } // last time at which the copy was known to equal the store
    std::optional<TimePoint> lastKnownReadAt() const;                   // last time at which any node is known to have read the store
    bool differs() const
    {
        return this->differingProvedAt && (!this->equalAt || *this->differingProvedAt > *this->equalAt);
    } // a peer knows something newer

private:
    SharedCopySettings settings;
    uint64_t digest = 0;
    std::optional<TimePoint> equalAt;           // never goes back
    std::optional<TimePoint> differingProvedAt; // last time at which a peer's copy that is different was known to equal the store
    uint64_t differingDigest = 0;               // of that copy
    std::optional<TimePoint> differsSince;      // when this node heard of it
    std::optional<TimePoint> triedAt;           // end of the last read
    bool failing = false;                       // the last read failed
};

} // namespace guavapond::edge
