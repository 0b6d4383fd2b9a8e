// Counters and histograms of an edge node, in the text format of Prometheus.
//
// Index
//   RequestResult   how a request ended
//   EdgeMetrics     requestEnded, runEnded, gauges, page
#pragma once

#include "edge/RequestLife.h"

#include <memory>

namespace guavapond::edge {

enum class RequestResult : uint8_t {
    Answered,       // the target's whole answer
    FailureRelayed, // the target's own failure
    Refused,        // not run
    OverQuota,
    Rejected, // not allowed or not well formed
    Unknown,  // may have run
    CutOff,   // the answer was broken off
    CallerGone,
};
constexpr size_t requestResultCount = static_cast<size_t>(RequestResult::CallerGone) + 1;
std::string_view requestResultName(RequestResult result); // lower_snake_case

class EdgeMetrics {
public:
    EdgeMetrics();
    ~EdgeMetrics();
    EdgeMetrics(const EdgeMetrics&) = delete;
    EdgeMetrics& operator=(const EdgeMetrics&) = delete;

    void requestEnded(RequestResult result, Duration total, std::optional<Duration> firstEvent);
    void runFailed(RunEnd end);
    void queueWaitEnded(Duration time); // in the queue
    void storeCall(std::string_view call, bool ok, Duration time);
    void setGauge(std::string_view name, std::string_view help, double value);
    std::string page() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace guavapond::edge
