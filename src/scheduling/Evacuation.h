// The operators' evacuations of failure domains: nothing more is sent to the targets of an evacuated domain until the operators take its
// evacuation back. The store holds them; each node knows a list of them that was whole at one revision of the store, from its own reads
// or from a peer, and the list of the later revision replaces the earlier one. So the end of an evacuation spreads as its begin does, and
// a node that is behind brings back neither.
//
// When the store comes back from an older copy (a new era), an evacuation that the new era does not list may be lost rather than ended.
// It is kept for the settle time, in which the operators write again what was lost. One that the copy lists is in force, also where it
// had ended: nothing tells it from a new one.
//
// Index
//   EvacuationItem    an evacuation as the store holds it
//   EvacuationList    all of them at one revision
//   EvacuatedDomain   what a node tells of one that is in force
//   Evacuation        onRead, onPeerList; list, domains, digest
#pragma once

#include "core/Types.h"
#include "scheduling/StoreRevision.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavapond::edge {

struct EvacuationItem {
    std::string domain;
    StoreRevision revision = 0;
};

struct EvacuationList {
    StoreRevision upTo = 0; // every change up to it is in the list; 0: nothing is known, as from a peer of an earlier version
    std::vector<EvacuationItem> items;
};

struct EvacuatedDomain {
    StoreRevision revision = 0;
    TimePoint since {}; // when it came into force at this node
    std::string source; // the store, or the peer that told it
};
using EvacuatedDomains = std::map<std::string, EvacuatedDomain>; // by name of the domain

class Evacuation {
public:
    // `changed` is called with all evacuations in force, before the call that changed them returns.
    Evacuation(Duration settleTime, std::function<void(const EvacuatedDomains&)> changed)
        : settleTime(settleTime)
        , changed(std::move(changed))
    {
    }

    bool onRead(const EvacuationList& listed, TimePoint now); // by the store; false: this node keeps others than the store lists
    void onPeerList(const EvacuationList& listed, std::string_view peer, TimePoint now);

    EvacuationList list() const; // to pass on
    const EvacuatedDomains& domains() const { return this->inForce; }
    uint64_t digest() const; // equal for equal sets of domains; 0: none

private:
    void merge(const EvacuationList& listed, std::string_view source, TimePoint now);
    bool begin(const EvacuationItem& item, std::string_view source, TimePoint now);
    bool endMissing(const EvacuationList& listed, std::string_view source, TimePoint now);
    bool isOfEarlierEra(StoreRevision revision) const { return eraOf(revision) < eraOf(this->upTo); }
    bool isSettling(TimePoint now) const { return now < this->eraSince + this->settleTime; }

    Duration settleTime;
    std::function<void(const EvacuatedDomains&)> changed;
    EvacuatedDomains inForce;
    StoreRevision upTo = 0; // never decreases; `inForce` holds every change up to it, and what is kept of earlier eras
    TimePoint eraSince {};  // first list of the era of `upTo`
};

} // namespace guavapond::edge
