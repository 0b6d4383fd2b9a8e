// Retry budget: limits how often the nodes send requests of a service again, in total. Each node applies its own share of the limit, so
// that all nodes together stay within it without communicating: a fraction of its own requests plus an equal share of a fixed allowance.
//
// Index
//   SecondTrySettings  limits of the budget
//   SecondTryBudget    onRequest, take
#pragma once

#include "core/Types.h"

#include <deque>
#include <unordered_map>

namespace guavapond::edge {

struct SecondTrySettings {
    double ratio = 0.2;                         // additional sends per request
    Duration window = std::chrono::seconds(10); // length of the sliding window
    double allowance = 0;                       // additional sends of all nodes together per window, besides the ratio
    double safety = 0.8;                        // fraction of the limit that is used, since the windows of the nodes are not aligned
};

class SecondTryBudget {
public:
    SecondTryBudget(const SecondTrySettings& settings, TimePoint started);

    void onRequest(std::string_view service, TimePoint now); // counts a new request of a caller
    bool take(std::string_view service, TimePoint now);      // true: one additional send is allowed and counted
    void setNodes(size_t count) { this->nodes = count; }     // all nodes of the deployment, this one included
    void configure(const SecondTrySettings& value) { this->settings = value; }

private:
    struct Counts {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> sends;
    };
    void expire(Counts& counts, TimePoint now) const;

    SecondTrySettings settings;
    TimePoint started; // the allowance grows over the first window, since the process before a restart may have used its share
    size_t nodes = 1;
    std::unordered_map<std::string, Counts> services;
};

} // namespace guavapond::edge
