// Metrics in the text format of Prometheus.
//
// Index
//   Metrics    counters and histograms of the request path; gauges are read when the page is asked for
#pragma once

#include "node/MoveWatch.h"
#include "node/Observer.h"

#include <memory>

namespace guavapond {

class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    Observer observer(); // hooks that feed the counters
    std::string page(
        Decisions& decisions, const TableIndex& table, std::span<const MoveStatus> moves, TimePoint now); // what GET /metrics answers

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace guavapond
