// Implements the metrics of an edge node with prometheus-cpp.
#include "edge/EdgeMetrics.h"

#include "adapters/Logging.h"

#include <array>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace guavapond::edge {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

constexpr size_t maxEvacuatedDomains = 32; // with a gauge of their own; operators may evacuate any name
constexpr size_t maxDomainBytes = 64;      // of a name in a label

const Histogram::BucketBoundaries secondsBuckets { 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

} // namespace

std::string_view requestResultName(RequestResult result)
{
    static constexpr std::array<std::string_view, requestResultCount> names { "answered", "failure_relayed", "refused", "over_quota",
        "rejected", "unknown", "cut_off", "caller_gone" };
    return names.at(static_cast<size_t>(result));
}

struct EdgeMetrics::State {
    prometheus::Registry registry;
    Family<Counter>& requests
        = BuildCounter().Name("guavapond_edge_requests_total").Help("Requests that ended, by result").Register(this->registry);
    Counter& pipelined = BuildCounter()
                             .Name("guavapond_edge_pipelined_requests_total")
                             .Help("Requests received before the answer to the one before them on the connection was complete")
                             .Register(this->registry)
                             .Add({});
    Counter& repeatedIds = BuildCounter()
                               .Name("guavapond_edge_repeated_ids_total")
                               .Help("Requests refused for the id of a request that may have run and must not run twice")
                               .Register(this->registry)
                               .Add({});
    Family<Counter>& unread = BuildCounter()
                                  .Name("guavapond_edge_unread_requests_total")
                                  .Help("Requests refused before they were received as a whole, by status")
                                  .Register(this->registry);
    Family<Counter>& runs
        = BuildCounter().Name("guavapond_edge_failed_runs_total").Help("Sends to targets that failed, by reason").Register(this->registry);
    Family<Counter>& lostStreams = BuildCounter()
                                       .Name("guavapond_edge_lost_streams_total")
                                       .Help("Streams whose target ended or fell silent, by whether an event had come")
                                       .Register(this->registry);
    Counter& lostWithEvents = this->lostStreams.Add({ { "events", "some" } });
    Counter& lostWithoutEvent = this->lostStreams.Add({ { "events", "none" } });
    Family<prometheus::Gauge>& evacuated = prometheus::BuildGauge()
                                               .Name("guavapond_edge_evacuated")
                                               .Help("1 for each failure domain that is evacuated, as this node knows")
                                               .Register(this->registry);
    std::map<std::string, prometheus::Gauge*> byEvacuatedDomain;
    Counter& quarantinedRequests = BuildCounter()
                                       .Name("guavapond_edge_quarantined_requests_total")
                                       .Help("Requests refused for a prompt part that crashes targets")
                                       .Register(this->registry)
                                       .Add({});
    Family<Counter>& forwarded = BuildCounter()
                                     .Name("guavapond_edge_forwarded_requests_total")
                                     .Help("Requests sent to a peer while this node reached no target, by result")
                                     .Register(this->registry);
    Family<Counter>& skippedAnswers = BuildCounter()
                                          .Name("guavapond_edge_skipped_answers_total")
                                          .Help("Answers of targets to another request than the one that was due, by status")
                                          .Register(this->registry);
    Counter& answersDropped = BuildCounter()
                                  .Name("guavapond_edge_dropped_answers_total")
                                  .Help("Answers broken off since their callers read too slowly and memory was short")
                                  .Register(this->registry)
                                  .Add({});
    Family<Counter>& exceptions = BuildCounter()
                                      .Name("guavapond_edge_exceptions_total")
                                      .Help("Exceptions that ended one connection or one request, by part")
                                      .Register(this->registry);
    Family<Counter>& storeCalls
        = BuildCounter().Name("guavapond_edge_store_calls_total").Help("Calls to the store, by call and result").Register(this->registry);
    Family<Histogram>& seconds = BuildHistogram()
                                     .Name("guavapond_edge_request_seconds")
                                     .Help("Time from the request's head to the end of its answer, s")
                                     .Register(this->registry);
    Histogram& firstEvent = BuildHistogram()
                                .Name("guavapond_edge_first_event_seconds")
                                .Help("Time from the request's head to the first event of its stream, s")
                                .Register(this->registry)
                                .Add({}, secondsBuckets);
    Histogram& wait = BuildHistogram()
                          .Name("guavapond_edge_wait_seconds")
                          .Help("Time that a request waited for room at a target, s")
                          .Register(this->registry)
                          .Add({}, secondsBuckets);
    Histogram& storeSeconds = BuildHistogram()
                                  .Name("guavapond_edge_store_seconds")
                                  .Help("Time that a call to the store took, s")
                                  .Register(this->registry)
                                  .Add({}, secondsBuckets);
    Family<Counter>& limitChanges = BuildCounter()
                                        .Name("guavapond_edge_limit_changes_total")
                                        .Help("Changes of the request limits of targets, by kind")
                                        .Register(this->registry);
    Family<Counter>& limitedSends = BuildCounter()
                                        .Name("guavapond_edge_limited_sends_total")
                                        .Help("Requests sent to targets with a rate, by kind of send")
                                        .Register(this->registry);
    Family<Counter>& keptByLimits = BuildCounter()
                                        .Name("guavapond_edge_limit_kept_total")
                                        .Help("Requests that rates kept from targets, by what became of them")
                                        .Register(this->registry);
    Counter& placedElsewhere = this->keptByLimits.Add({ { "outcome", "elsewhere" } });
    Counter& notPlaced = this->keptByLimits.Add({ { "outcome", "no_place" } });
    Counter& placeHeld = this->keptByLimits.Add({ { "outcome", "held_too_long" } });
    std::array<Counter*, limitedSendCount> byLimitedSend {};
    std::array<Counter*, requestResultCount> byResult {};
    std::array<Histogram*, requestResultCount> secondsByResult {};
    std::array<Counter*, attemptOutcomeCount> byRunEnd {};

    // Creates every series at the start: if a series appeared only with its first event, a rate over it would miss that event.
    State()
    {
        for (size_t i = 0; i < requestResultCount; ++i) {
            const std::map<std::string, std::string> label { { "result", std::string(requestResultName(static_cast<RequestResult>(i))) } };
            this->byResult.at(i) = &this->requests.Add(label);
            this->secondsByResult.at(i) = &this->seconds.Add(label, secondsBuckets);
        }
        for (size_t i = 0; i < attemptOutcomeCount; ++i)
            this->byRunEnd.at(i) = &this->runs.Add({ { "reason", std::string(attemptOutcomeName(static_cast<AttemptOutcome>(i))) } });
        static constexpr std::array<const char*, limitedSendCount> sendNames { "first", "second_try", "without_home" };
        for (size_t i = 0; i < limitedSendCount; ++i)
            this->byLimitedSend.at(i) = &this->limitedSends.Add({ { "kind", sendNames.at(i) } });
    }
};

EdgeMetrics::EdgeMetrics()
    : state(std::make_unique<State>())
{
}

EdgeMetrics::~EdgeMetrics() = default;

void EdgeMetrics::requestEnded(RequestResult result, Duration total, std::optional<Duration> firstEvent)
{
    const auto index = static_cast<size_t>(result);
    this->state->byResult.at(index)->Increment();
    this->state->secondsByResult.at(index)->Observe(toSeconds(total));
    if (firstEvent)
        this->state->firstEvent.Observe(toSeconds(*firstEvent));
}

void EdgeMetrics::requestForwarded(RequestResult result)
{
    this->state->forwarded.Add({ { "result", std::string(requestResultName(result)) } }).Increment();
}

void EdgeMetrics::requestPipelined() { this->state->pipelined.Increment(); }

void EdgeMetrics::answerSkipped(unsigned status) { this->state->skippedAnswers.Add({ { "status", std::to_string(status) } }).Increment(); }

void EdgeMetrics::requestIdRepeated() { this->state->repeatedIds.Increment(); }

void EdgeMetrics::answerDropped(size_t unsentBytes)
{
    this->state->answersDropped.Increment();
    log(LogLevel::Warn, "answer of a slow caller broken off for memory", { { "unsentBytes", unsentBytes } });
}

void EdgeMetrics::requestUnread(unsigned status) { this->state->unread.Add({ { "status", std::to_string(status) } }).Increment(); }

void EdgeMetrics::runFailed(AttemptOutcome end) { this->state->byRunEnd.at(static_cast<size_t>(end))->Increment(); }

void EdgeMetrics::streamLost(bool hadEvents) { (hadEvents ? this->state->lostWithEvents : this->state->lostWithoutEvent).Increment(); }

void EdgeMetrics::queueWaitEnded(Duration time) { this->state->wait.Observe(toSeconds(time)); }

void EdgeMetrics::storeCall(std::string_view call, bool ok, Duration time)
{
    this->state->storeCalls.Add({ { "call", std::string(call) }, { "result", ok ? "ok" : "failed" } }).Increment();
    this->state->storeSeconds.Observe(toSeconds(time));
}

void EdgeMetrics::requestLimitChanged(LimitChange change)
{
    this->state->limitChanges.Add({ { "change", std::string(limitChangeName(change)) } }).Increment();
}

void EdgeMetrics::sentToLimited(LimitedSend kind) { this->state->byLimitedSend.at(static_cast<size_t>(kind))->Increment(); }

void EdgeMetrics::ratedPlaceHeld() { this->state->placeHeld.Increment(); }

void EdgeMetrics::keptByLimit(bool placedElsewhere)
{
    (placedElsewhere ? this->state->placedElsewhere : this->state->notPlaced).Increment();
}

void EdgeMetrics::keptByQuarantine() { this->state->quarantinedRequests.Increment(); }

void EdgeMetrics::setEvacuated(std::span<const std::string> domains)
{
    this->setGauge(
        "guavapond_edge_evacuated_domains", "Failure domains that are evacuated, as this node knows", static_cast<double>(domains.size()));
    const std::set<std::string> present(domains.begin(), domains.end());
    std::erase_if(this->state->byEvacuatedDomain, [&](const auto& entry) {
        if (present.contains(entry.first))
            return false;
        this->state->evacuated.Remove(entry.second);
        return true;
    });
    for (const std::string& domain : present) {
        if (domain.size() <= maxDomainBytes && this->state->byEvacuatedDomain.size() < maxEvacuatedDomains
            && !this->state->byEvacuatedDomain.contains(domain)) {
            prometheus::Gauge& gauge = this->state->evacuated.Add({ { "domain", domain } });
            gauge.Set(1);
            this->state->byEvacuatedDomain[domain] = &gauge;
        }
    }
}

void EdgeMetrics::exceptionContained(std::string_view part, const std::exception& error)
{
    log(LogLevel::Error, "exception", { { "part", part }, { "reason", error.what() } });
    this->state->exceptions.Add({ { "part", std::string(part) } }).Increment();
}

std::function<void(std::string_view, const std::exception&)> EdgeMetrics::exceptionHook()
{
    return [this](std::string_view part, const std::exception& error) { this->exceptionContained(part, error); };
}

void EdgeMetrics::setGauge(std::string_view name, std::string_view help, double value) { this->setGauge(name, help, {}, value); }

void EdgeMetrics::setGauge(std::string_view name, std::string_view help, const std::map<std::string, std::string>& labels, double value)
{
    prometheus::BuildGauge().Name(std::string(name)).Help(std::string(help)).Register(this->state->registry).Add(labels).Set(value);
}

std::string EdgeMetrics::page() const { return prometheus::TextSerializer().Serialize(this->state->registry.Collect()); }

} // namespace guavapond::edge
