// Divides the window of each target, and each workspace's limits, among the entry nodes. Soft state: without news each node falls back to
// its fair part.
//
// Index
//   Settings   SlotSettings
//   Messages   SlotDemand, SlotItem, SlotReport, SlotGrant, SlotGrants, encodedBytes
//   Slots      entry side: needs in, reports out, shares; home side: reports in, grants out
//
// The home of a key is chosen by rendezvous hashing. For a target it is an entry node of the target's failure domain. For a workspace's
// limit each failure domain has a home, which divides the domain's part and reports the domain's demand to the home of the total. Two homes
// at once divide the same window twice, which costs efficiency only.
#pragma once

#include "core/Types.h"

#include <array>
#include <map>

namespace guavapond {

struct SlotSettings {
    Duration changeInterval = std::chrono::milliseconds(100); // least time between two reports to one home
    Duration demandInterval = std::chrono::milliseconds(500); // while requests wait
    Duration steadyInterval = std::chrono::seconds(2);        // while requests only run
    Duration answerTimeout = std::chrono::milliseconds(250);  // a report is counted as unanswered
    uint32_t unanswered = 4;                                  // in sequence: the next node becomes the home
    Duration avoidTime = std::chrono::seconds(5);             // such a home is asked again after this
    Duration shareTime = std::chrono::seconds(5);             // a share or a report is valid for this
    Duration learnTime = std::chrono::seconds(1);             // a new home reserves fair parts for nodes that have not reported yet
    uint32_t maxHomes = 4;                                    // reported to by one node; those with the most demand
    uint32_t maxItems = 24;                                   // in one report
    uint32_t maxKeys = 4096;                                  // that a home keeps
    double bytesPerSecond = 1200;                             // sent for reports and grants; membership and bursts need the rest of 3 KB/s
    double burstBytes = 2400;
    double changedPart = 0.2; // a demand changed by more than this part is reported without waiting for the interval
};

// In requests for a target; in thousandths of the limited quantity for a workspace.
struct SlotDemand {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t weight = 1; // of the workspaces that demand; shares within a tier are in proportion

    bool operator==(const SlotDemand&) const = default;
};

enum class SlotScope : uint8_t {
    Target, // home in the target's failure domain
    Domain, // a workspace's limit in this failure domain
    Total,  // a workspace's limit over all failure domains
};

struct SlotItem {
    uint64_t key = 0; // slotKey()
    SlotScope scope = SlotScope::Target;
    uint32_t limit = 0; // window, or limit, as the reporting node knows it
    std::array<SlotDemand, tierCount> tiers {};

    uint32_t total() const;
    uint32_t waiting() const;
};

struct SlotReport {
    std::string from;
    std::string to;
    std::vector<SlotItem> items;
};

struct SlotGrant {
    uint64_t key = 0;
    SlotScope scope = SlotScope::Target;
    uint32_t share = 0;
};

struct SlotGrants {
    std::string from;
    std::string to;
    std::vector<SlotGrant> grants;
};

uint64_t slotKey(std::string_view kind, std::string_view name); // the same on all nodes, whatever ids their tables give
size_t encodedBytes(const SlotReport& report);                  // upper estimates of the size as protobuf messages
size_t encodedBytes(const SlotGrants& grants);
// Shares of `limit`, which they add up to: higher tiers first, in a tier by weight up to the demand, the rest evenly. `turn` rotates who
// gets the odd units.
std::vector<uint32_t> divideSlots(uint32_t limit, std::span<const SlotItem> demands, uint64_t turn);

struct SlotNode {
    std::string name;
    std::string failureDomain;

    bool operator==(const SlotNode&) const = default;
};

class Slots {
public:
    Slots(std::string self, std::string failureDomain, const SlotSettings& settings);

    // Live entry nodes that may take duties, with this one, and all entry nodes of the settings. The part of a limit that a failure domain
    // without a live node would fall back to is held back, since it may be partitioned and not down.
    void setNodes(std::vector<SlotNode> live, std::vector<SlotNode> known);

    // ---- Entry side
    // `failureDomain`: of the target. For a limit the scope is Domain and the domain this node's own. No demand: the need is dropped.
    void setNeed(const SlotItem& item, std::string_view failureDomain, TimePoint now);
    // This node's part: the share, or without a valid one the fair part of `limit`.
    uint32_t part(uint64_t key, SlotScope scope, uint32_t limit, std::string_view failureDomain, TimePoint now) const;
    std::optional<TimePoint> shareExpiry(uint64_t key, SlotScope scope) const; // none: no share was ever given
    std::optional<std::string> homeOf(uint64_t key, SlotScope scope, std::string_view failureDomain, TimePoint now) const;
    std::vector<SlotReport> advance(TimePoint now);
    void onGrants(const SlotGrants& grants, TimePoint now);

    // ---- Home side
    SlotGrants onReport(const SlotReport& report, TimePoint now);
    size_t keysHeld() const { return this->held.size(); }

private:
    using Key = std::pair<SlotScope, uint64_t>;
    struct Need {
        SlotItem item;
        std::string failureDomain;
        uint32_t reported = 0; // demand in the last report
        std::string reportedTo;
        uint32_t share = 0;
        std::optional<TimePoint> expiry {};
        std::optional<std::string> home {}; // as of homeRevision
        uint64_t homeRevision = 0;
    };
    struct Home {
        std::optional<TimePoint> lastReport {};
        std::optional<TimePoint> waitingSince {}; // of the first unanswered report
        uint32_t unanswered = 0;
        std::optional<TimePoint> avoidUntil {};
    };
    struct Reported {
        SlotItem item;
        TimePoint time {};
    };
    struct Held {
        std::map<std::string, Reported, std::less<>> reports; // by entry node
        TimePoint since {};
    };

    std::optional<std::string> homeAmong(
        uint64_t key, SlotScope scope, std::string_view failureDomain, std::optional<TimePoint> avoidAt) const;
    void judgeHomes(TimePoint now);
    bool isDue(const Home& home, const std::string& name, std::span<Need* const> needs, TimePoint now) const;
    void sumDomains(TimePoint now);
    uint32_t limitOf(const Key& key, const Held& entry, TimePoint now) const;
    bool mayBeSecond(const Key& key, const Held& entry, TimePoint now) const;
    uint32_t reserved(const Key& key, uint32_t limit, size_t reporters) const;
    uint32_t grantFor(const Key& key, const std::string& from, TimePoint now);
    uint32_t heldBack(uint32_t limit) const;
    static size_t countIn(std::span<const SlotNode> nodes, std::string_view failureDomain);
    uint32_t fairPart(SlotScope scope, uint32_t limit, std::string_view failureDomain) const;
    bool spend(size_t bytes, TimePoint now);

    std::string self;
    std::string failureDomain;
    SlotSettings settings;
    std::vector<SlotNode> live;
    std::vector<SlotNode> known;
    uint64_t homesRevision = 1; // rises when a home may have changed
    std::map<Key, Need> needs;
    std::map<std::string, Home, std::less<>> homes;
    std::map<Key, Held> held;
    double bytesLeft;
    TimePoint refilled {};
};

} // namespace guavapond
