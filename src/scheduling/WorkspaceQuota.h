// Limits the tokens of each workspace over all nodes together: at most rate x window + burst in any window. Every node keeps the same
// counts: what it dispatches itself and what its peers report. While peers are unreachable, a node applies only the share of the limit
// that belongs to the nodes it can reach.
//
// Index
//   QuotaVerdict      result of a request for tokens
//   WorkspaceQuota    take, refund, peerUsed, setReachable, setReportInterval, onUsageReported, uses, view
//   nameHash          hash of a name, used as its identifier between nodes
#pragma once

#include "scheduling/Catalog.h"

#include <algorithm>
#include <array>

namespace guavapond::edge {

struct QuotaVerdict {
    bool allowed = true;
    Duration retryAfter = Duration::zero(); // estimated time until the request fits, at the present request rate
    double level = 0;                       // tokens that may be dispatched now; below zero after a late report of a peer
    double inWindow = 0;                    // tokens dispatched in the current window
};

class WorkspaceQuota {
public:
    explicit WorkspaceQuota(TimePoint started) // start of this process; usage before it is unknown
        : started(started)
    {
    }
    void setWindow(Duration value); // length of the sliding window; a change resets its counts
    // Reserves tokens for a request if the quota allows it. A part of the burst is reserved for urgent requests.
    QuotaVerdict take(const Workspace& workspace, uint64_t tokens, bool urgent, TimePoint now);
    void refund(const Workspace& workspace, uint64_t tokens, TimePoint now); // returns the tokens of a request that did not run
    // A peer reports `tokens` dispatched since its previous report; below zero: refunds.
    void peerUsed(uint64_t workspaceHash, int64_t tokens, TimePoint now);
    void setReachable(double share) { this->reachableShare = share; } // reachable nodes, this one included, divided by all nodes; above 0

    // Time between two usage reports of a node; zero: no limit between reports. Above zero, a node dispatches between its reports at
    // most an equal share of the tokens left in the window, divided among the nodes that use the workspace, since none of them sees
    // what the others dispatch meanwhile.
    void setReportInterval(Duration value) { this->reportInterval = value; }
    void onUsageReported(); // peers were sent everything that this node has dispatched

    struct Use {
        uint64_t workspaceHash;
        uint64_t tokens; // dispatched by this node since its start, less refunds
    };
    std::vector<Use> uses() const;

    struct View { // for operators
        double level = 0;
        double inWindow = 0;
        double limit = 0; // tokens per window, scaled to the reachable nodes
    };
    View view(const Workspace& workspace, TimePoint now) const;

private:
    static constexpr size_t slices = 32; // per window; a slice counts until it lies entirely outside the window
    struct Slice {
        double dispatched = 0;     // tokens
        double refused = 0;        // tokens of refused requests
        uint32_t reports = 0;      // reports of peers that dispatched tokens
        double reachableShare = 1; // share of the nodes whose usage is in `dispatched`
    };
    // A token bucket over the window's counts. `level` refills at the mean rate of a full window, up to one burst.
    struct Bucket {
        double level = 0;
        double burst = 0;
        uint64_t used = 0;                       // tokens dispatched by this node
        uint64_t reported = 0;                   // value of `used` at this node's last report
        std::array<Slice, slices + 1> recent {}; // ring buffer, by slice number
        int64_t newest = 0;                      // number of the newest slice since the epoch
        std::optional<TimePoint> filledAt;       // last refill; empty: never
    };
    int64_t sliceOf(TimePoint now) const { return now.time_since_epoch() / (this->window / slices); }
    void advance(Bucket& bucket, TimePoint now) const;
    static Slice& newestSlice(Bucket& bucket);
    void count(Bucket& bucket, double tokens, TimePoint now) const;
    // The part of a slice that counts against this node's scaled limit. The usage of nodes that became unreachable since then counts
    // against their own shares.
    double scaledToReachable(const Slice& slice) const
    {
        return slice.dispatched * std::min(1.0, this->reachableShare / slice.reachableShare);
    }
    Slice inWindow(const Bucket& bucket) const;
    bool exceedsOwnShare(const Bucket& bucket, double remaining, double requested) const;
    double windowLimit(const Workspace& workspace) const;
    void refill(Bucket& bucket, const Workspace& workspace, TimePoint now) const;
    Duration timeUntilCapacity(const Bucket& bucket, const Slice& sum, double needed, double limit) const;

    std::unordered_map<uint64_t, Bucket> buckets; // by hash of the workspace's name
    TimePoint started;
    Duration window = std::chrono::seconds(8);
    double reachableShare = 1;
    Duration reportInterval = Duration::zero();
};

uint64_t nameHash(std::string_view name); // stable between processes

} // namespace guavapond::edge
