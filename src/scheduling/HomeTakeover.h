// What a node does that begins to act as home of a group and knows nothing of what runs there. It asks all nodes for reports, and grants
// nothing until they have come, or for a few milliseconds at most: it must not grant again what its predecessor granted.
//
// A node may also be asked in the place of a home that it hears itself, by nodes that do not reach that home. It stands in: both grant at
// the same time, each without the other's newest grants. So a stand-in takes only a part of the room that it sees, and declines the rest;
// nodes whose requests it declines place them by themselves.
//
// Index
//   HomeTakeoverSettings   times, and the part of a stand-in
//   HomeTakeover           setHome, isCollectionDue, begin, reported, isCollecting, accept
#pragma once

#include "core/Types.h"

#include <cstdint>
#include <optional>
#include <set>

namespace guavapond::edge {

struct HomeTakeoverSettings {
    Duration collectTime = std::chrono::milliseconds(15);      // longest wait for reports; a node answers within a few milliseconds
    Duration standInInterval = std::chrono::milliseconds(150); // between collections of a stand-in; as that of load reports
    double standInShare = 0.25;                                // of the free slots, in each interval
};

class HomeTakeover {
public:
    explicit HomeTakeover(const HomeTakeoverSettings& settings = {});

    void setHome(bool isHome, TimePoint now);            // whether this node counts itself as the home
    bool isCollectionDue(TimePoint now) const;           // ask, before a request is decided
    void begin(std::set<uint64_t> asked, TimePoint now); // these nodes were asked for reports
    void reported(uint64_t node) { this->outstanding.erase(node); }
    bool isCollecting(TimePoint now) const;
    bool isStandIn() const { return !this->homeSince; }
    bool accept(uint32_t freeSlots, TimePoint now); // of one request; false: it is declined

private:
    HomeTakeoverSettings settings;
    std::optional<TimePoint> homeSince; // empty: another node is the home
    std::optional<TimePoint> collectedAt;
    std::set<uint64_t> outstanding; // nodes whose reports are awaited, by hash of the name
    TimePoint intervalAt {};
    double accepted = 0; // requests in the interval that began at intervalAt
};

} // namespace guavapond::edge
