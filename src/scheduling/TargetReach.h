// Decides whether this node is cut off from all targets, from the outcomes of its connections to them. A node that is cut off is of use
// as an entry only: its peers carry its requests, it is no home of targets, and its failed sends say nothing about the targets.
//
// Index
//   ReachBounds   evidence that is needed
//   TargetReach   onContact, onFailure, isCutOff, isProbeDue
#pragma once

#include "core/Types.h"

#include <map>
#include <optional>

namespace guavapond::edge {

struct ReachBounds {
    // Different targets that could not be reached or did not answer, one after the other. Single targets that end are no cut.
    size_t minTargets = 3;
    Duration failureTtl = std::chrono::seconds(3);           // a failure counts this long
    Duration probeInterval = std::chrono::milliseconds(200); // between connections that look whether a target can be reached
    Duration contactTtl = std::chrono::milliseconds(300);    // a failure this soon after a contact may be of a send before the contact
};

class TargetReach {
public:
    explicit TargetReach(const ReachBounds& bounds = {})
        : bounds(bounds)
    {
    }

    void onContact(TimePoint now); // a connection to a target was established; true evidence that the node is not cut off
    // No connection to the target, or its connection ended or stayed silent without an answer. `known`: targets that the node could use.
    void onFailure(uint64_t target, size_t known, TimePoint now);

    bool isCutOff() const { return this->since.has_value(); }
    std::optional<TimePoint> cutOffSince() const { return this->since; }
    bool isProbeDue(TimePoint now); // true at most once in probeInterval, while the node is cut off

private:
    ReachBounds bounds;
    std::map<uint64_t, TimePoint> failures; // since the last contact, by hash of the target's id
    std::optional<TimePoint> since;         // empty: not cut off
    std::optional<TimePoint> contactAt;
    TimePoint probedAt {};
};

} // namespace guavapond::edge
