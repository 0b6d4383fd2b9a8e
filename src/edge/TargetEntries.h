// The store's entries of targets, as this node knows them from its reads and its peers. Entries are ordered by their revisions. What is
// gone is remembered for a while, so that a peer that is behind does not bring it back.
//
// The store may carry out a write seconds after others that were made later, so a higher revision may hold an older report. What a
// process says of itself is ordered by the number of its report, and processes under one id by their starts.
//
// Index
//   TargetEntry      an entry as the store holds it
//   TargetReport     a process of a target, and the number of its report
//   TargetEntries    apply, onChangesLost, onStoreReturned, onRead, removeMissing; changesAfter, merge, digest
#pragma once

#include "scheduling/StoreRevision.h"
#include "scheduling/TargetPool.h"

#include <set>

namespace guavapond::edge {

struct TargetEntry {
    std::string id;
    std::string value; // as bytes
    StoreRevision revision = 0;
};

struct TargetReport {
    int64_t startedUnixMs = 0; // of the process; 0: unknown
    uint64_t number = 0;       // grows with each report of the process; 0: unknown
};

class TargetEntries {
public:
    struct Hooks {
        // Empty: the value can't be read, and the hook has logged why.
        std::function<std::optional<TargetInfo>(const TargetEntry& entry)> decode;
        std::function<void(const TargetInfo&)> changed; // what an entry says of its target
        std::function<void(const std::string& id)> gone;
        std::function<bool(const std::string& id)> isUnresponsive; // requests to the target fail, one after the other
    };
    explicit TargetEntries(Hooks hooks)
        : hooks(std::move(hooks))
    {
    }

    void apply(const TargetEntry& entry); // newer ones only
    // The store is back from an older copy. Until an entry is written again it may say what was true before: it brings back nothing that
    // has left or drains.
    void onChangesLost() { this->copiedUpTo.reset(); }
    void onStoreReturned() { this->mayHaveLapsed = true; } // the store was away, or lost changes: entries of living targets may be missing
    void onRead(StoreRevision revision);                   // call with the store's revision before the entries of a read
    // Removes what is not among the ids that the store holds at `revision`. While `isKept`, entries that lapsed may still come back.
    // Returns false if entries are missing and kept for that, so that the copy differs from the store's. After an outage a list that
    // lacks most targets is not believed: only unresponsive ones are removed, until most are listed again.
    bool removeMissing(const std::set<std::string>& present, StoreRevision revision, bool isKept, TimePoint now);
    struct Change {
        TargetEntry entry; // if it is gone: the last one, with the store's revision when it was missing
        bool gone = false;
    };
    std::vector<Change> changesAfter(StoreRevision revision) const; // without heartbeats
    void merge(const Change& change, TimePoint now);                // of a peer
    uint64_t digest() const;                                        // of all that the targets say of themselves

private:
    struct Known {
        TargetEntry entry;
        bool usable = false;
        TargetReport report;               // in the entry
        uint64_t digest = 0;               // of what it says, without its heartbeats; 0: can't be read
        StoreRevision changedRevision = 0; // of the newest entry that says something else than the one before
    };
    struct Gone {
        StoreRevision revision = 0; // of the store when it was missing
        TimePoint at {};
        TargetReport report; // the last one
        std::string value;   // of the entry that held it
    };
    void remove(const std::string& id, StoreRevision missingAt, TimePoint now);
    // Removes the target unless it has said more since than the entry does.
    void removeGone(const TargetEntry& last, TimePoint now);
    void rememberGone(const TargetEntry& last, const TargetReport& report, TimePoint now);
    bool mayBeCopied(const TargetEntry& entry) const; // from the copy that the store came back from
    bool isOutdated(const TargetEntry& entry, const TargetInfo& info) const;
    enum class Credibility : uint8_t {
        Later,  // than all that is known of the target
        Late,   // the process has said something else since
        Unclear // a late write, or a living target: its next report tells
    };
    Credibility credibility(const TargetReport& report, const TargetReport& known, bool isGone) const;
    bool isBelieved(const TargetEntry& entry, const TargetInfo& info);

    Hooks hooks;
    std::map<std::string, Known> targets;        // by id
    std::map<std::string, Gone> gone;            // by id
    std::map<std::string, TargetReport> unclear; // reports that wait for the next one of their process, by id
    std::optional<StoreRevision> copiedUpTo = 0; // the copy holds no later one; empty: not known yet
    bool mayHaveLapsed = false;                  // no read has listed most targets since the store was away
    size_t keptMissing = 0;                      // entries that the last read did not list and that were kept
};

} // namespace guavapond::edge
