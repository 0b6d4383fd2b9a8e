// Tokens of each workspace over all nodes together: at most rate x window + burst in any window. Every node simulates the same shared
// counts: what it dispatches itself and what its peers report. While peers are silent, a node keeps to the part of the nodes it hears.
//
// Index
//   QuotaVerdict
//   WorkspaceQuota    take, refund, peerUsed, setReachable
#pragma once

#include "edge/Catalog.h"

#include <algorithm>
#include <array>

namespace guavapond::edge {

struct QuotaVerdict {
    bool allowed = true;
    Duration retryAfter = Duration::zero(); // until there is room, if callers go on asking as they do
    double level = 0;                       // tokens that may be dispatched at once; below zero after a peer's late report
    double inWindow = 0;                    // tokens dispatched in the window
};

class WorkspaceQuota {
public:
    explicit WorkspaceQuota(TimePoint started) // of this process: what was dispatched before is unknown
        : started(started)
    {
    }
    void setWindow(Duration value); // over which the operators count; a change forgets what was counted
    // The last part of a workspace's tokens is kept for its urgent requests.
    QuotaVerdict take(const Workspace& workspace, uint64_t tokens, bool urgent, TimePoint now);
    void refund(const Workspace& workspace, uint64_t tokens, TimePoint now); // the request has not run
    // A peer reports that it dispatched this much more; below zero: refunds.
    void peerUsed(uint64_t workspaceHash, int64_t tokens, TimePoint now);
    void setReachable(double share) { this->reachableShare = share; } // heard nodes, this one included, over all nodes; above 0

    // Between two reports of a node. Where it is above zero, a node dispatches between its reports no more than its part of what is left
    // of a window: the nodes that use a workspace share that out, since none of them sees what the others do meanwhile.
    void setReportInterval(Duration value) { this->reportInterval = value; }
    void onUsageReported(); // peers know all that this node has dispatched

    struct Use {
        uint64_t workspaceHash;
        uint64_t tokens; // dispatched by this node since its start
    };
    std::vector<Use> uses() const;

    struct View { // for operators
        double level = 0;
        double inWindow = 0;
        double limit = 0; // of a window, at this node
    };
    View view(const Workspace& workspace, TimePoint now) const;

private:
    static constexpr size_t slices = 32; // of a window; a slice counts until all of it is older than the window
    struct Slice {
        double dispatched = 0;
        double refused = 0;
        uint32_t reports = 0;      // of peers that dispatched something
        double reachableShare = 1; // share of the nodes whose use is in `dispatched`
    };
    // `level` smooths the use of a window: it refills at the mean rate of a full window and holds one burst.
    struct Bucket {
        double level = 0;
        double burst = 0;
        uint64_t used = 0;     // by this node
        uint64_t reported = 0; // part of it that peers know
        std::array<Slice, slices + 1> recent {};
        int64_t newest = 0; // number of the newest slice since the epoch
        std::optional<TimePoint> filledAt;
    };
    int64_t sliceOf(TimePoint now) const { return now.time_since_epoch() / (this->window / slices); }
    void advance(Bucket& bucket, TimePoint now) const;
    static Slice& newestSlice(Bucket& bucket);
    void count(Bucket& bucket, double tokens, TimePoint now) const;
    // Of a slice, what this node's part of the limit has to bear: nodes that are not heard any longer bear theirs.
    double scaledToReachable(const Slice& slice) const
    {
        return slice.dispatched * std::min(1.0, this->reachableShare / slice.reachableShare);
    }
    Slice inWindow(const Bucket& bucket) const;
    bool exceedsOwnPart(const Bucket& bucket, double left, double asked) const;
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
