// Admission control: how long a request may wait for a free slot, and when it is refused. Under overload, requests that can't be
// served in time are refused at once, so that callers can retry elsewhere and the queue stays short.
//
// Index
//   AdmissionSettings
//   Rank              priority of a request
//   WaitKey           identifies a request in the queue
//   WaitQueue         requests of one service that wait for a slot, by rank, then by turn, then by arrival
//   maxWait           longest time in the queue
//   firstEventBound   latest predicted first event with which a request is admitted
//   retryAfter        Retry-After of a refused request, by the load of the moment
//   ReturnInput       what is known when a request is refused for want of room
//   returnDelay       Retry-After of such a request, by how long the shortage lasts
#pragma once

#include "core/Types.h"

#include <functional>
#include <map>
#include <tuple>
#include <vector>

namespace guavapond::edge {

struct AdmissionSettings {
    double maxWaitFraction = 0.125;   // fraction of the route's objective that a request may wait in the queue
    double maxFirstEventFactor = 1.2; // multiple of the route's objective; refused if the first event is predicted later
    Duration minRetryAfter = std::chrono::milliseconds(120);
    // Upper bound of a random addition to minRetryAfter, so that refused callers don't retry together.
    Duration retryAfterJitter = std::chrono::milliseconds(400);
    // Requests that can't get a place within their wait are refused at once, and return times follow how long a shortage lasts.
    bool plansRoom = false;
    // Of the time that a caller has left, the part for which it heeds a Retry-After; 0: return times stay short also in a shortage that
    // lasts.
    double heededShare = 0;
};

// Ordered by the workspace's priority, then by the route's. 0 is the highest.
struct Rank {
    int workspace = 0;
    int route = 0;
    bool operator==(const Rank&) const = default;
    bool operator<(const Rank& other) const { return std::tie(this->workspace, this->route) < std::tie(other.workspace, other.route); }
};

// Identifies a waiting request. Ordered by rank, then by turn, then by arrival.
struct WaitKey {
    Rank rank;
    double turn = 0;     // of the request's workspace (WorkspaceTurns.h); 0 or above
    uint64_t ticket = 0; // increases by one per request
    bool operator==(const WaitKey&) const = default;
    bool operator<(const WaitKey& other) const
    {
        return std::tie(this->rank, this->turn, this->ticket) < std::tie(other.rank, other.turn, other.ticket);
    }
};

class WaitQueue {
public:
    WaitKey add(const Rank& rank, TimePoint giveUpAt, double turn = 0); // expires at `giveUpAt`
    void remove(const WaitKey& key) { this->waiting.erase(key); }
    bool empty() const { return this->waiting.empty(); }
    size_t size() const { return this->waiting.size(); }
    std::vector<WaitKey> expired(TimePoint now) const; // the entries stay in the queue
    std::vector<WaitKey> first(size_t count) const;    // at most `count`, in the order of service; they stay in the queue
    size_t ahead(const WaitKey& key) const;            // entries that are served before it
    bool isFirstOfRank(const WaitKey& key) const;

private:
    std::map<WaitKey, TimePoint> waiting; // value: when the entry expires
    uint64_t nextTicket = 0;
};

Duration maxWait(const AdmissionSettings& settings, Duration objective);
Duration firstEventBound(const AdmissionSettings& settings, Duration objective); // counted from the request's arrival
// `occupancy` is the number of the service's slots that are taken, divided by all its slots: above 1 the minimum grows with it. `random`
// is uniform in [0, 1).
Duration retryAfter(const AdmissionSettings& settings, double occupancy, double random);

struct ReturnInput {
    double occupancy = 1;    // as for retryAfter
    double refusedShare = 0; // of the requests of the same priority that were decided lately (RefusalShare.h)
    Duration left {};        // until the caller's deadline
    double random = 0;       // uniform in [0, 1)
};
// A caller that returns while its priority is still short of room is refused again, and has no further try. While few are refused it
// returns soon and can still be on time. The more are refused, the later it returns, at most as late as it heeds; callers are spread over
// the last quarter of that time, so that they don't return together after a burst.
Duration returnDelay(const AdmissionSettings& settings, const ReturnInput& input);

} // namespace guavapond::edge
