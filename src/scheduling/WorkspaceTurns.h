// Order of the workspaces of one priority at a home, for the load of one workspace that sends several times its usual while requests wait
// (start-time fair queuing). Each request gets a turn when it arrives: the virtual time up to which its workspace has used its part of the
// room. A workspace advances by what its requests take, divided by its weight, so the turns of one that sends more than its part lie ahead
// of the others', and its own requests wait and are refused first.
//
// A request that isn't placed gives its part back, so that refused requests don't hold a workspace to less than its part. The entry of a
// workspace that is no longer ahead counts for the mean weight only; such entries are dropped at maxLanes. A new home begins with none and
// knows them again after their next requests.
//
// Index
//   Turn             place of a request in the order, and what its workspace is charged for it
//   WorkspaceWork    what a request takes, and whose it is
//   WorkspaceTurns   arrive, onPlaced, giveBack, aheadCount
#pragma once

#include "scheduling/Admission.h"

namespace guavapond::edge {

struct Turn {
    double start = 0;  // virtual time; 0 or above
    double charge = 0; // virtual time
};

struct WorkspaceWork {
    Rank rank;
    uint64_t workspace = 0; // hash of its name; 0: none, or not known: such requests go by their arrival
    double weight = 0;      // its part of the room, relative to the others'; 0: that of a mean workspace
    Duration slotTime {};   // expected time that it holds a slot
};

class WorkspaceTurns {
public:
    Turn arrive(const WorkspaceWork& work);
    void onPlaced(const Rank& rank, const Turn& turn);
    void giveBack(const Rank& rank, uint64_t workspace, const Turn& turn); // the request was not placed
    size_t aheadCount() const; // workspaces that have had more than their part, by more than their last request

private:
    struct Lane {
        double next = 0; // turn of its next request, unless the virtual time is later
        double weight = 0;
        double lastCharge = 0;
    };
    struct RankTurns {
        double now = 0; // virtual time: the latest turn that was placed; never decreases
        std::map<uint64_t, Lane> lanes;
    };
    RankTurns& turnsOf(const Rank& rank);
    static double weightOf(const RankTurns& turns, double stated);

    std::map<Rank, RankTurns> byRank; // bounded by maxRanks, the lanes of each by maxLanes
};

} // namespace guavapond::edge
