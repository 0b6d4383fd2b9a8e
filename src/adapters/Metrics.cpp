// Metrics by prometheus-cpp.
#include "adapters/Metrics.h"

#include <algorithm>
#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace guavapond {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

const Histogram::BucketBoundaries secondsBuckets { 0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.64, 1, 2.5, 5, 10, 30, 60, 300, 1800 };
const Histogram::BucketBoundaries tokenBuckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.044, 0.1, 0.25, 0.5, 1, 5 };

constexpr std::array givenUpKinds { FailureKind::Shed, FailureKind::DeadlineExceeded, FailureKind::DeadlineUnreachable };

std::map<std::string, std::string> tierLabel(Tier tier) { return { { "tier", std::string(tierName(tier)) } }; }

} // namespace

struct Metrics::State {
    prometheus::Registry registry;
    Family<Histogram>& queueSeconds
        = BuildHistogram().Name("guavapond_queue_seconds").Help("Time from admission to dispatch, s").Register(this->registry);
    Family<Histogram>& firstTokenSeconds = BuildHistogram()
                                               .Name("guavapond_time_to_first_token_seconds")
                                               .Help("Time from admission to the first token, s")
                                               .Register(this->registry);
    Family<Histogram>& betweenTokens = BuildHistogram()
                                           .Name("guavapond_time_between_tokens_seconds")
                                           .Help("Time between two tokens of a stream, s")
                                           .Register(this->registry);
    Family<Counter>& goodput
        = BuildCounter().Name("guavapond_goodput_total").Help("Requests answered whole before their deadline").Register(this->registry);
    Family<Counter>& late
        = BuildCounter().Name("guavapond_late_total").Help("Requests answered whole after their deadline").Register(this->registry);
    Family<Counter>& failed = BuildCounter()
                                  .Name("guavapond_failed_total")
                                  .Help("Admitted requests that ended without a whole answer")
                                  .Register(this->registry);
    Family<Counter>& shed = BuildCounter()
                                .Name("guavapond_shed_total")
                                .Help("Admitted requests that were given up, never run or cancelled, by reason")
                                .Register(this->registry);
    Family<Counter>& refused
        = BuildCounter().Name("guavapond_refused_total").Help("Requests refused on entry, by reason").Register(this->registry);
    Family<Counter>& prefill = BuildCounter()
                                   .Name("guavapond_prefill_tokens_total")
                                   .Help("Prompt tokens sent to engines and not expected in their cache")
                                   .Register(this->registry);
    Family<Counter>& wasted = BuildCounter()
                                  .Name("guavapond_prefill_tokens_wasted_total")
                                  .Help("The same, of requests that did not end whole before their deadline")
                                  .Register(this->registry);
    Family<Counter>& tokens
        = BuildCounter().Name("guavapond_output_tokens_total").Help("Tokens relayed to callers").Register(this->registry);
    Family<Gauge>& running = BuildGauge().Name("guavapond_running").Help("Requests that run, by target").Register(this->registry);
    Family<Gauge>& window
        = BuildGauge().Name("guavapond_window").Help("Requests that may run at a time, by target").Register(this->registry);
    Family<Gauge>& health
        = BuildGauge().Name("guavapond_target_health").Help("0 healthy, 1 suspect, 2 ejected, 3 probing").Register(this->registry);
    Family<Gauge>& queued = BuildGauge().Name("guavapond_queued").Help("Requests that wait, by tier").Register(this->registry);
    Family<Gauge>& revision = BuildGauge().Name("guavapond_table_revision").Help("Revision of the table in force").Register(this->registry);
    Family<Gauge>& inversions
        = BuildGauge()
              .Name("guavapond_tier_inversions")
              .Help("Requests refused for want of capacity while lower-tier work could have been displaced; must stay 0")
              .Register(this->registry);
    Family<Gauge>& verdict = BuildGauge()
                                 .Name("guavapond_version_verdict")
                                 .Help("Verdict on the new version of a move: 0 undecided, 1 good, 2 bad")
                                 .Register(this->registry);
    Family<Gauge>& share = BuildGauge()
                               .Name("guavapond_version_share")
                               .Help("Part of a move's traffic that goes to its new version, %")
                               .Register(this->registry);
    std::vector<std::pair<Gauge*, Gauge*>> moveGauges; // verdict and share, of the last page
    std::mutex moveMutex;
    Histogram& tokenGap = this->betweenTokens.Add({}, tokenBuckets);

    // Each series is there from the start: a rate over a series that appears with its first event misses that event.
    State()
    {
        for (size_t i = 0; i < tierCount; ++i) {
            auto label = tierLabel(static_cast<Tier>(i));
            this->queueSeconds.Add(label, secondsBuckets);
            this->firstTokenSeconds.Add(label, secondsBuckets);
            for (auto* family : { &this->goodput, &this->late, &this->prefill, &this->wasted, &this->tokens })
                family->Add(label);
            for (auto kind : givenUpKinds) {
                label["reason"] = std::string(failureKindName(kind));
                this->shed.Add(label);
            }
        }
    }

    void ended(const RequestSummary& summary)
    {
        auto label = tierLabel(summary.tier);
        this->queueSeconds.Add(label, secondsBuckets).Observe(toSeconds(summary.queueTime));
        if (summary.outputTokens > 0)
            this->firstTokenSeconds.Add(label, secondsBuckets).Observe(toSeconds(summary.firstToken));
        this->tokens.Add(label).Increment(static_cast<double>(summary.outputTokens));
        if (summary.dispatched) {
            auto uncached = static_cast<double>(summary.promptTokens - std::min(summary.promptTokens, summary.cachedTokens));
            this->prefill.Add(label).Increment(uncached);
            if (!summary.inTime)
                this->wasted.Add(label).Increment(uncached);
        }
        if (!summary.failure)
            return (summary.inTime ? this->goodput : this->late).Add(label).Increment();
        label["reason"] = std::string(failureKindName(summary.failure->kind));
        auto kind = summary.failure->kind;
        bool givenUp = std::find(givenUpKinds.begin(), givenUpKinds.end(), kind) != givenUpKinds.end();
        (givenUp ? this->shed : this->failed).Add(label).Increment();
    }

    void readMoves(std::span<const MoveStatus> moves)
    {
        std::lock_guard lock(this->moveMutex);
        for (auto [verdictGauge, shareGauge] : this->moveGauges) {
            this->verdict.Remove(verdictGauge);
            this->share.Remove(shareGauge);
        }
        this->moveGauges.clear();
        for (const MoveStatus& move : moves) {
            std::map<std::string, std::string> label { { "move", move.row.id }, { "model", move.row.model },
                { "version", move.row.toVersion } };
            auto& verdictGauge = this->verdict.Add(label);
            auto& shareGauge = this->share.Add(label);
            verdictGauge.Set(static_cast<double>(move.verdict.kind));
            shareGauge.Set(move.view.percent);
            this->moveGauges.emplace_back(&verdictGauge, &shareGauge);
        }
    }

    void readGauges(Decisions& decisions, const TableIndex& table, TimePoint now)
    {
        std::lock_guard lock(decisions.mutex);
        auto stats = decisions.scheduler.stats();
        for (size_t i = 0; i < tierCount; ++i)
            this->queued.Add(tierLabel(static_cast<Tier>(i))).Set(static_cast<double>(stats.queued.at(i)));
        this->inversions.Add({}).Set(static_cast<double>(stats.tierInversions));
        this->revision.Add({}).Set(static_cast<double>(table.revision()));
        for (const auto& row : table.table().targets) {
            auto id = table.target(row.name);
            if (!id || raw(*id) >= decisions.targets.size())
                continue;
            auto view = decisions.targets.view(*id, now);
            std::map<std::string, std::string> label { { "target", row.name } };
            this->running.Add(label).Set(view.running);
            this->window.Add(label).Set(view.window);
            this->health.Add(label).Set(static_cast<double>(view.health));
        }
    }
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

Observer Metrics::observer()
{
    Observer observer;
    observer.ended = [this](const RequestSummary& summary) { this->state->ended(summary); };
    observer.refusedOnEntry = [this](const Failure& failure) {
        this->state->refused.Add({ { "reason", std::string(failureKindName(failure.kind)) } }).Increment();
    };
    observer.betweenTokens = [this](Duration gap) { this->state->tokenGap.Observe(toSeconds(gap)); };
    return observer;
}

std::string Metrics::page(Decisions& decisions, const TableIndex& table, std::span<const MoveStatus> moves, TimePoint now)
{
    this->state->readMoves(moves);
    this->state->readGauges(decisions, table, now);
    return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

} // namespace guavapond
