// When a request waits, and when it is refused. Written for the hours in which callers ask for more than the targets can do: work
// that can't be done in time is refused at once, so that the caller can go elsewhere and the queue stays short.
//
// Index
//   AdmissionSettings
//   Rank           order of urgency
//   WaitQueue      requests of one service that wait for room: by rank, then by arrival
//   retryAfter     when a refused caller should come back
#pragma once

#include "core/Types.h"

#include <functional>
#include <map>
#include <tuple>
#include <vector>

namespace guavapond::edge {

struct AdmissionSettings {
    double maxWaitFraction = 0.125;   // part of the objective that a request may wait for room
    double maxFirstEventFactor = 1.2; // refused when the first event is predicted later than this multiple of the objective
    Duration minRetryAfter = std::chrono::milliseconds(120);
    Duration retryAfterJitter = std::chrono::milliseconds(400); // random addition, so that callers don't return together
};

// The workspace's priority goes before the route's; within one workspace's priority the route's decides. 0 is the highest.
struct Rank {
    int workspace = 0;
    int route = 0;
    bool operator==(const Rank&) const = default;
    bool operator<(const Rank& other) const { return std::tie(this->workspace, this->route) < std::tie(other.workspace, other.route); }
};

// Identifies a waiting request: by rank, then in order of arrival.
struct WaitKey {
    Rank rank;
    uint64_t ticket = 0; // grows with each request
    bool operator==(const WaitKey&) const = default;
    bool operator<(const WaitKey& other) const { return std::tie(this->rank, this->ticket) < std::tie(other.rank, other.ticket); }
};

class WaitQueue {
public:
    WaitKey add(const Rank& rank, TimePoint giveUpAt);
    void remove(const WaitKey& key) { this->waiting.erase(key); }
    bool empty() const { return this->waiting.empty(); }
    size_t size() const { return this->waiting.size(); }
    std::vector<WaitKey> expired(TimePoint now) const;
    std::vector<WaitKey> first(size_t count) const; // in the order in which they are served

private:
    std::map<WaitKey, TimePoint> waiting; // when each is given up
    uint64_t nextTicket = 0;
};

Duration maxWait(const AdmissionSettings& settings, Duration objective);
Duration firstEventBound(const AdmissionSettings& settings, Duration objective); // after the request's arrival, for a first event
// `random` is uniform in [0, 1). `occupancy` is the part of the service's slots that is taken.
Duration retryAfter(const AdmissionSettings& settings, double occupancy, double random);

} // namespace guavapond::edge
