// Metrics of an edge node, exported in the Prometheus text format.
//
// Index
//   RequestResult   how a request ended
//   LimitedSend     how a request that goes to a target with a request limit was placed
//   EdgeMetrics     requestEnded, requestPipelined, requestIdRepeated, requestUnread, runFailed, streamLost, queueWaitEnded, storeCall,
//   requestLimitChanged, sentToLimited, ratedPlaceHeld, keptByLimit, keptByQuarantine, exceptionContained, setEvacuated, setGauge, page
#pragma once

#include "scheduling/RequestLife.h"
#include "scheduling/RequestLimit.h"

#include <functional>
#include <map>
#include <memory>
#include <span>

namespace guavapond::edge {

enum class RequestResult : uint8_t {
    Answered,       // the complete response of the target was relayed
    FailureRelayed, // an error response of the target was relayed
    Refused,        // not run on any target
    OverQuota,      // the workspace's quota is used up
    Rejected,       // unauthorized or malformed request
    Unknown,        // failed; a target may have run it
    CutOff,         // the response was aborted before its end
    CallerGone,     // the caller disconnected
};
constexpr size_t requestResultCount = static_cast<size_t>(RequestResult::CallerGone) + 1;
std::string_view requestResultName(RequestResult result); // in lower_snake_case

enum class LimitedSend : uint8_t {
    First,       // first send of the request
    SecondTry,   // after a failed send
    WithoutHome, // placed by this node itself
};
constexpr size_t limitedSendCount = static_cast<size_t>(LimitedSend::WithoutHome) + 1;

class EdgeMetrics {
public:
    EdgeMetrics();
    ~EdgeMetrics();
    EdgeMetrics(const EdgeMetrics&) = delete;
    EdgeMetrics& operator=(const EdgeMetrics&) = delete;

    // `firstEvent` is the time until the first event of a stream; empty: there was no event.
    void requestEnded(RequestResult result, Duration total, std::optional<Duration> firstEvent);
    void requestForwarded(RequestResult result);                   // to a peer, since this node reaches no target
    void requestPipelined();                                       // a request was received before the answer to the one before it
    void requestIdRepeated();                                      // a request was refused for the id of one that may have run
    void answerSkipped(unsigned status);                           // of a target, to another request than the one that is due
    void answerDropped(size_t unsentBytes);                        // its caller read too slowly, and memory was short
    void requestUnread(unsigned status);                           // refused before it was received as a whole
    void runFailed(AttemptOutcome end);                            // an attempt on a target failed
    void streamLost(bool hadEvents);                               // the target of a stream ended or fell silent
    void queueWaitEnded(Duration time);                            // time that a request waited for capacity at a target
    void storeCall(std::string_view call, bool ok, Duration time); // `call` is the value of the metric's label
    void requestLimitChanged(LimitChange change);
    void sentToLimited(LimitedSend kind);   // a place that was taken from a rate was used
    void ratedPlaceHeld();                  // a place within a rate was not used, since it was too late to send the request
    void keptByLimit(bool placedElsewhere); // a request was kept from a target by its rate; false: it found no place
    void keptByQuarantine();                // a request was refused for a prompt part that crashes targets
    // Logs and counts an exception that ended one connection, one request or one message, and nothing else.
    void exceptionContained(std::string_view part, const std::exception& error);
    std::function<void(std::string_view part, const std::exception& error)> exceptionHook();
    void setEvacuated(std::span<const std::string> domains);                   // all that are now
    void setGauge(std::string_view name, std::string_view help, double value); // creates the gauge on first use
    void setGauge(std::string_view name, std::string_view help, const std::map<std::string, std::string>& labels, double value);
    std::string page() const; // all metrics in the Prometheus text format

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace guavapond::edge
