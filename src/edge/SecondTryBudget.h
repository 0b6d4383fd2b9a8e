// Bounds the sends of a request beyond its first, for each service. Each node keeps to its own part, so that all nodes together
// stay within the bound without talking: a fraction of its own requests, and an equal part of the fixed allowance.
//
// Index
//   SecondTrySettings
//   SecondTryBudget    onRequest, take
#pragma once

#include "core/Types.h"

#include <deque>
#include <unordered_map>

namespace guavapond::edge {

struct SecondTrySettings {
    double ratio = 0.2;                         // further sends per request
    Duration window = std::chrono::seconds(10); // sliding
    double allowance = 0;                       // further sends of all nodes together in a window
    double safety = 0.8;                        // part of both that is used: windows of nodes do not line up
};

class SecondTryBudget {
public:
    SecondTryBudget(const SecondTrySettings& settings, TimePoint started);

    void onRequest(std::string_view service, TimePoint now); // a caller's request for the service has come
    bool take(std::string_view service, TimePoint now);      // true: a further send is allowed and counted
    void setNodes(size_t count) { this->nodes = count; }     // nodes of the deployment, this one included
    void configure(const SecondTrySettings& value) { this->settings = value; }

private:
    struct Counts {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> sends;
    };
    void expire(Counts& counts, TimePoint now) const;

    SecondTrySettings settings;
    TimePoint started; // the allowance grows over the first window: the process before this one may have used its part
    size_t nodes = 1;
    std::unordered_map<std::string, Counts> services;
};

} // namespace guavapond::edge
