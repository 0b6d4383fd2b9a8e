// The home of a group of targets: one node that knows all work at them, and so gives out their places. Requests of all nodes wait here
// by rank, and the place that becomes free next is given to the first of them. Written for bursts at many nodes: each node's own view is
// older than most requests live, and all nodes would choose the same target.
//
// State is the nodes': every report of a node holds all that it runs at the group, so a new home knows the group after one report of
// each. A place that was granted counts until the node's next report has seen the grant. No safety rule rests on a home: two nodes that
// both believe to be it only grant more than fits, which targets turn away.
//
// Index
//   PlaceAsk        a node's wish for a place
//   PlaceAnswer
//   GroupSum        what homes tell each other of their groups
//   PlacementHome   ask, withdraw, report, hearSum, serve, sum
#pragma once

#include "edge/Admission.h"
#include "edge/TargetPool.h"

#include <deque>

namespace guavapond::edge {

// Durations count from the arrival of the message: clocks of nodes differ.
struct PlaceAsk {
    uint64_t node = 0; // hash of the asking node's name
    uint64_t id = 0;   // of that node; repeats of a message carry the same
    uint64_t service = 0;
    std::string group;         // failure domain; empty: all targets of the service
    std::string failureDomain; // of the asking node
    Rank rank;
    uint32_t promptTokens = 0;
    uint32_t outputEvents = 1;
    bool urgent = false;
    bool repeatable = false;
    std::vector<PromptPart> parts;
    std::string onlyVersion;
    std::string notVersion;
    std::vector<uint64_t> leftOut; // hashes of targets that the node does not want
    Duration mayWait {};
    std::optional<Duration> firstWithin; // a later first event is not wanted; empty: any is better than none
    bool mayGoElsewhere = true;
};

enum class PlaceVerdict : uint8_t {
    Granted,
    Queued,    // a final answer follows
    Elsewhere, // another group has room
    Full,
};
constexpr size_t placeVerdictCount = static_cast<size_t>(PlaceVerdict::Full) + 1;
std::string_view placeVerdictName(PlaceVerdict verdict); // lower_snake_case

struct PlaceAnswer {
    uint64_t node = 0;
    uint64_t id = 0;
    PlaceVerdict verdict = PlaceVerdict::Full;
    uint64_t service = 0;
    std::string group;      // of the home
    std::string otherGroup; // with Elsewhere
    uint64_t target = 0;    // hash of its id
    uint64_t grant = 0;     // number of the grant; grows with each
    Duration firstEvent {};
    uint32_t backlogTokens = 0;
    double occupancy = 1; // of the group's slots
};

struct GroupSum {
    uint64_t service = 0;
    std::string group;
    uint32_t freeSlots = 0;
    Duration soonest {}; // predicted wait for a first event of a short prompt at the best target
    bool operator==(const GroupSum&) const = default;
};

struct HomeSettings {
    Duration grantLife = std::chrono::milliseconds(250); // a grant that no report has seen was lost
    Duration sumLife = std::chrono::milliseconds(600);   // of another group's sum
    size_t answersKept = 64;                             // of each node, for messages that are repeated
    size_t looked = 64;                                  // requests looked at in one round, the most urgent first
};

Demand demandOf(const PlaceAsk& ask); // refers to the ask

class PlacementHome {
public:
    PlacementHome(TargetPool& pool, std::string group, const HomeSettings& settings = {});

    void ask(const PlaceAsk& ask, TimePoint now); // repeats are harmless
    void withdraw(uint64_t node, uint64_t id);
    // All that a node runs at the group, and the newest grant that it had received then.
    void report(uint64_t node, uint64_t seenGrant, std::span<const TargetLoadReport> loads, TimePoint now);
    void hearSum(const GroupSum& sum, TimePoint now);
    std::vector<PlaceAnswer> serve(TimePoint now); // that are due now
    GroupSum sum(uint64_t service, TimePoint now) const;
    size_t waiting() const { return this->queue.size(); }
    uint64_t granted() const { return this->lastGrant; }

private:
    struct Waiting {
        PlaceAsk ask;
        TimePoint giveUpAt;
        std::optional<TimePoint> latestFirst;
        bool told = false; // that it waits
    };
    struct Grant {
        uint64_t number;
        uint64_t target;
        uint32_t tokens;
        TimePoint at;
    };
    struct Asker {
        std::deque<Grant> unseen;        // in order of their numbers
        std::deque<PlaceAnswer> answers; // the last ones
        std::vector<TargetLoadReport> reported;
        TimePoint reportedAt {};
    };
    struct HeardSum {
        GroupSum sum;
        TimePoint at;
    };
    uint64_t loadKey(uint64_t node) const;           // in the pool: a node's work at this group
    PlaceAnswer answerTo(const PlaceAsk& ask) const; // Full
    std::vector<TargetPool::Index> leftOut(const PlaceAsk& ask) const;
    std::optional<PlaceAnswer> answerFor(Waiting& waiting, TimePoint now);
    PlaceAnswer grant(const PlaceAsk& ask, const TargetPool::Choice& choice, TimePoint now);
    HeardSum* elsewhere(const Waiting& waiting, TimePoint now);
    void forget(const WaitKey& key);
    void count(uint64_t node, const Asker& asker, TimePoint now); // its work, in the pool

    TargetPool& pool;
    std::string group;
    HomeSettings settings;
    WaitQueue queue;
    std::map<WaitKey, Waiting> asks;
    std::map<std::pair<uint64_t, uint64_t>, WaitKey> keys; // by node and its number
    std::map<uint64_t, Asker> askers;
    std::map<std::string, HeardSum> sums; // of other groups
    uint64_t lastGrant = 0;
    bool fullForUrgent = false; // in the present round
    bool fullForOthers = false;
};

} // namespace guavapond::edge
