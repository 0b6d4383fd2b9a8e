// How many of the requests of a priority, and of one workspace among them, were refused lately for want of room. It tells a shortage that
// lasts for seconds from one that ends before a caller returns: returnDelay() in Admission.h uses it.
//
// Index
//   RefusalShare   onDecided, share
#pragma once

#include "scheduling/Admission.h"

namespace guavapond::edge {

class RefusalShare {
public:
    // `workspace`: hash of its name; 0: none.
    void onDecided(const Rank& rank, uint64_t workspace, bool isRefused, TimePoint now);
    double share(const Rank& rank, TimePoint now) const; // 0 to 1; 0 where nothing was decided lately
    // The same for one workspace: the fewer of its requests were decided, the more it goes by all of the rank.
    double share(const Rank& rank, uint64_t workspace, TimePoint now) const;

private:
    struct Counts { // decayed
        double decided = 0;
        double refused = 0;
        TimePoint at {};
    };
    static void count(Counts& counts, bool isRefused, TimePoint now);

    std::map<Rank, Counts> byRank;                           // bounded by maxRanks
    std::map<std::pair<Rank, uint64_t>, Counts> byWorkspace; // bounded by maxWorkspaces
};

} // namespace guavapond::edge
