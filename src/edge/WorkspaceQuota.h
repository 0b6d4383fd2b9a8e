// Token rate of each workspace over all nodes together. Every node simulates the same shared bucket: it takes out what it
// dispatches itself and what its peers report. While peers are silent, a node keeps to the part of the rate of the nodes it hears.
//
// Index
//   WorkspaceQuota    take, refund, peerUsed, setReachable
#pragma once

#include "edge/Catalog.h"

namespace guavapond::edge {

struct QuotaVerdict {
    bool allowed = true;
    Duration retryAfter = Duration::zero(); // until the bucket holds enough
};

class WorkspaceQuota {
public:
    explicit WorkspaceQuota(TimePoint started) // of this process: buckets fill from then on
        : started(started)
    {
    }
    QuotaVerdict take(const Workspace& workspace, uint64_t tokens, TimePoint now);
    void refund(const Workspace& workspace, uint64_t tokens);    // the request has not run
    void peerUsed(uint64_t workspaceHash, int64_t tokens);       // a peer reports that it dispatched this much more; below zero: refunds
    void setReachable(double share) { this->reachable = share; } // heard nodes, this one included, over all nodes; 0 to 1

    struct Use {
        uint64_t workspaceHash;
        uint64_t tokens; // dispatched by this node since its start
    };
    std::vector<Use> uses() const;

private:
    struct Bucket {
        double level = 0; // tokens that may be dispatched now; below zero after a peer's late report
        uint64_t used = 0;
        double burst = 0;
        std::optional<TimePoint> filledAt;
    };
    void fill(Bucket& bucket, const Workspace& workspace, TimePoint now) const;

    std::unordered_map<uint64_t, Bucket> buckets; // by hash of the workspace's name
    TimePoint started;
    double reachable = 1;
};

uint64_t nameHash(std::string_view name); // stable between processes

} // namespace guavapond::edge
