// Converts placement messages to and from their protobuf form, and rejects messages that are malformed.
#include "edge/PlacementWire.h"

#include "scheduling/WorkspaceQuota.h"

#include <cmath>
#include <placement.pb.h>

namespace guavapond::edge {

namespace {

constexpr double percent = 100;
constexpr int64_t absentTime = -1;
constexpr int64_t maxDurationUs = 24LL * 3600 * 1000 * 1000; // one day; a longer duration is an error of the sender
constexpr int maxColumnEntries = 4096;

int64_t microseconds(const std::optional<Duration>& value) { return value ? std::max<int64_t>(value->count(), 0) : absentTime; }

Duration duration(int64_t us) { return Duration(std::clamp<int64_t>(us, 0, maxDurationUs)); }
std::optional<Duration> optionalDuration(int64_t us) { return us < 0 ? std::nullopt : std::optional<Duration>(duration(us)); }

void encode(const std::vector<PromptPart>& parts, wire::PromptParts& wire)
{
    for (const PromptPart& part : parts) {
        wire.add_chains(part.prefixHash);
        wire.add_tokens(part.tokens);
    }
}

std::vector<PromptPart> decode(const wire::PromptParts& wire)
{
    std::vector<PromptPart> parts;
    for (int i = 0; i < std::min({ wire.chains_size(), wire.tokens_size(), maxColumnEntries }); ++i)
        parts.push_back({ wire.chains(i), wire.tokens(i) });
    return parts;
}

void encode(const GroupReport& report, wire::GroupLoads& wire)
{
    wire.set_service(report.service);
    wire.set_group(report.group);
    wire.set_home_incarnation(report.homeIncarnation);
    wire.set_seen_grant(report.seenGrant);
    for (const TargetLoadReport& load : report.loads) {
        wire.add_targets(load.targetHash);
        wire.add_running(load.running);
        wire.add_prefill_tokens(load.prefillTokens);
        wire.add_silence_ms(static_cast<uint32_t>(std::clamp<int64_t>(toMilliseconds(load.silence), 0, UINT32_MAX)));
    }
}

GroupReport decode(const wire::GroupLoads& wire)
{
    GroupReport report { wire.service(), wire.group(), wire.home_incarnation(), wire.seen_grant(), {} };
    for (int i = 0; i < std::min(wire.targets_size(), maxColumnEntries); ++i)
        report.loads.push_back({ wire.targets(i), wire.running(i), wire.prefill_tokens(i), std::chrono::milliseconds(wire.silence_ms(i)) });
    return report;
}

bool hasEqualColumns(const wire::GroupLoads& wire)
{
    return wire.targets_size() == wire.running_size() && wire.targets_size() == wire.prefill_tokens_size()
        && wire.targets_size() == wire.silence_ms_size();
}

void encode(const PlacementRequest& request, wire::Ask& wire)
{
    wire.set_id(request.id);
    wire.set_service(request.service);
    wire.set_group(request.group);
    wire.set_failure_domain(request.failureDomain);
    wire.set_workspace_rank(request.rank.workspace);
    wire.set_route_rank(request.rank.route);
    wire.set_prompt_tokens(request.promptTokens);
    wire.set_output_events(request.outputEvents);
    wire.set_urgent(request.urgent);
    wire.set_repeatable(request.repeatable);
    if (!request.parts.empty())
        encode(request.parts, *wire.mutable_parts());
    wire.set_only_version(request.onlyVersion);
    wire.set_not_version(request.notVersion);
    for (const uint64_t target : request.excludedTargets)
        wire.add_left_out(target);
    wire.set_may_wait_us(request.maxWait.count());
    wire.set_first_within_us(microseconds(request.firstEventWithin));
    wire.set_may_go_elsewhere(request.mayRedirect);
    wire.set_transfer_bytes(request.transferBytes);
    wire.set_workspace(request.workspace);
    wire.set_workspace_weight(request.workspaceWeight);
}

PlacementRequest decode(const wire::Ask& wire, uint64_t node)
{
    PlacementRequest request;
    request.node = node;
    request.id = wire.id();
    request.service = wire.service();
    request.group = wire.group();
    request.failureDomain = wire.failure_domain();
    request.rank = { wire.workspace_rank(), wire.route_rank() };
    request.promptTokens = wire.prompt_tokens();
    request.outputEvents = wire.output_events();
    request.urgent = wire.urgent();
    request.repeatable = wire.repeatable();
    request.parts = decode(wire.parts());
    request.onlyVersion = wire.only_version();
    request.notVersion = wire.not_version();
    for (int i = 0; i < std::min(wire.left_out_size(), maxColumnEntries); ++i)
        request.excludedTargets.push_back(wire.left_out(i));
    request.maxWait = duration(wire.may_wait_us());
    request.firstEventWithin = optionalDuration(wire.first_within_us());
    request.mayRedirect = wire.may_go_elsewhere();
    request.transferBytes = wire.transfer_bytes();
    request.workspace = wire.workspace();
    request.workspaceWeight = wire.workspace_weight();
    return request;
}

void encode(const RunSample& sample, wire::Sample& wire)
{
    wire.set_service(sample.service);
    wire.set_target(sample.target);
    // A peer of an earlier version knows no answer that broke off, and takes it for a lost connection.
    const bool isBrokenOff = sample.outcome == TargetOutcome::BrokenOff;
    wire.set_outcome(static_cast<uint32_t>(isBrokenOff ? TargetOutcome::Broken : sample.outcome));
    wire.set_answer_had_begun(isBrokenOff);
    wire.set_service_time_us(microseconds(sample.serviceTime));
    wire.set_backlog_tokens(sample.backlogTokens);
    wire.set_first_after_us(sample.firstAfter.count());
    wire.set_event_gap_us(microseconds(sample.eventGap));
    if (!sample.parts.empty())
        encode(sample.parts, *wire.mutable_parts());
    if (sample.brittlePerSecond)
        wire.set_brittle_per_second(*sample.brittlePerSecond > 0 ? *sample.brittlePerSecond : -1);
}

RunSample decode(const wire::Sample& wire)
{
    RunSample sample;
    sample.service = wire.service();
    sample.target = wire.target();
    sample.outcome = static_cast<TargetOutcome>(wire.outcome());
    if (sample.outcome == TargetOutcome::Broken && wire.answer_had_begun())
        sample.outcome = TargetOutcome::BrokenOff;
    sample.serviceTime = optionalDuration(wire.service_time_us());
    sample.backlogTokens = wire.backlog_tokens();
    sample.firstAfter = duration(wire.first_after_us());
    sample.eventGap = optionalDuration(wire.event_gap_us());
    sample.parts = decode(wire.parts());
    if (std::isfinite(wire.brittle_per_second()) && wire.brittle_per_second() != 0)
        sample.brittlePerSecond = std::max(wire.brittle_per_second(), 0.0);
    return sample;
}

void encode(const PlacementAnswer& answer, wire::Answer& wire)
{
    wire.set_id(answer.id);
    wire.set_verdict(static_cast<uint32_t>(answer.verdict));
    wire.set_service(answer.service);
    wire.set_group(answer.group);
    wire.set_other_group(answer.otherGroup);
    wire.set_target(answer.target);
    wire.set_grant(answer.grant);
    wire.set_first_event_us(answer.firstEvent.count());
    wire.set_backlog_tokens(answer.backlogTokens);
    wire.set_occupancy_percent(static_cast<uint32_t>(answer.occupancy * percent));
    wire.set_counted_by_limit(answer.countedByLimit);
    wire.set_passed_limit(answer.passedLimit);
    wire.set_counted_by_warm_up(answer.countedByWarmUp);
    wire.set_limit_ended_us(answer.limitEndedFor ? answer.limitEndedFor->count() + 1 : 0);
    wire.set_retry_after_us(answer.retryAfter ? answer.retryAfter->count() : 0);
    if (answer.refusedShare)
        wire.set_refused_percent(static_cast<uint32_t>(*answer.refusedShare * percent) + 1);
    wire.set_spill_reason(answer.spillReason ? static_cast<uint32_t>(*answer.spillReason) + 1 : 0);
}

PlacementAnswer decode(const wire::Answer& wire)
{
    PlacementAnswer answer;
    answer.id = wire.id();
    answer.verdict = static_cast<PlacementVerdict>(wire.verdict());
    answer.service = wire.service();
    answer.group = wire.group();
    answer.otherGroup = wire.other_group();
    answer.target = wire.target();
    answer.grant = wire.grant();
    answer.firstEvent = duration(wire.first_event_us());
    answer.backlogTokens = wire.backlog_tokens();
    answer.occupancy = wire.occupancy_percent() / percent;
    answer.countedByLimit = wire.counted_by_limit();
    answer.passedLimit = wire.passed_limit();
    answer.countedByWarmUp = wire.counted_by_warm_up();
    if (wire.limit_ended_us() > 0)
        answer.limitEndedFor = duration(wire.limit_ended_us() - 1);
    if (wire.retry_after_us() > 0)
        answer.retryAfter = duration(wire.retry_after_us());
    if (wire.refused_percent() > 0)
        answer.refusedShare = std::min((wire.refused_percent() - 1) / percent, 1.0);
    // A reason that only a later version knows is not told; the answer holds without it.
    if (wire.spill_reason() > 0 && wire.spill_reason() <= spillReasonCount)
        answer.spillReason = static_cast<SpillReason>(wire.spill_reason() - 1);
    return answer;
}

void encode(const LimitReport& report, wire::Limit& wire)
{
    wire.set_service(report.service);
    wire.set_target(report.target);
    wire.set_started_unix_ms(report.startedUnixMs);
    wire.set_kind(static_cast<uint32_t>(report.kind));
    wire.set_per_second(report.perSecond);
    wire.set_age_us(report.age.count());
    wire.set_sent_age_us(report.sentAge.count());
}

LimitReport decode(const wire::Limit& wire)
{
    return { wire.service(), wire.target(), wire.started_unix_ms(), static_cast<LimitReport::Kind>(wire.kind()), wire.per_second(),
        duration(wire.age_us()), duration(wire.sent_age_us()) };
}

bool isValid(const wire::Limit& wire)
{
    return wire.kind() <= static_cast<uint32_t>(LimitReport::Kind::Ended) && std::isfinite(wire.per_second()) && wire.per_second() >= 0;
}

} // namespace

std::string encodePlacement(const PlacementMessage& message)
{
    wire::Placement wire;
    wire.set_node(message.node);
    wire.set_incarnation(message.incarnation);
    wire.set_sequence(message.sequence);
    for (const GroupReport& report : message.reports)
        encode(report, *wire.add_reports());
    for (const PlacementRequest& request : message.requests)
        encode(request, *wire.add_asks());
    for (const Withdrawal& withdrawal : message.withdrawals) {
        auto* entry = wire.add_withdrawn();
        entry->set_service(withdrawal.service);
        entry->set_group(withdrawal.group);
        entry->set_id(withdrawal.id);
    }
    for (const RunSample& sample : message.samples)
        encode(sample, *wire.add_samples());
    for (const PlacementAnswer& answer : message.answers)
        encode(answer, *wire.add_answers());
    for (const GroupCapacity& capacity : message.capacities) {
        auto* entry = wire.add_sums();
        entry->set_service(capacity.service);
        entry->set_group(capacity.group);
        entry->set_free_slots(capacity.freeSlots);
        entry->set_soonest_us(std::min(capacity.shortestWait.count(), maxDurationUs));
        entry->set_short_by(capacity.shortBy);
        if (capacity.offered)
            entry->set_offered(*capacity.offered);
    }
    for (const LimitReport& report : message.limits)
        encode(report, *wire.add_limits());
    for (const WarmUpReport& report : message.warmUps) {
        auto* entry = wire.add_warm_ups();
        entry->set_service(report.service);
        entry->set_target(report.target);
        entry->set_started_unix_ms(report.startedUnixMs);
        entry->set_left_us(report.left.count());
    }
    wire.set_version(message.version);
    wire.mutable_received()->Add(message.received.begin(), message.received.end());
    wire.mutable_declined()->Add(message.declined.begin(), message.declined.end());
    for (const GroupName& wanted : message.wanted) {
        auto* entry = wire.add_wanted();
        entry->set_service(wanted.service);
        entry->set_group(wanted.group);
    }
    wire.set_probe(message.isProbe);
    wire.set_probe_reply(message.isProbeReply);
    return wire.SerializeAsString();
}

std::optional<PlacementMessage> decodePlacement(std::string_view bytes)
{
    wire::Placement wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || wire.node().empty())
        return std::nullopt;
    PlacementMessage message;
    message.node = wire.node();
    message.incarnation = wire.incarnation();
    message.sequence = wire.sequence();
    const uint64_t node = nameHash(message.node);
    for (const auto& report : wire.reports()) {
        if (!hasEqualColumns(report))
            return std::nullopt;
        message.reports.push_back(decode(report));
    }
    for (const auto& request : wire.asks())
        message.requests.push_back(decode(request, node));
    for (const auto& withdrawal : wire.withdrawn())
        message.withdrawals.push_back({ withdrawal.service(), withdrawal.group(), withdrawal.id() });
    for (const auto& sample : wire.samples()) {
        if (sample.outcome() > static_cast<uint32_t>(TargetOutcome::Cancelled))
            return std::nullopt;
        message.samples.push_back(decode(sample));
    }
    for (const auto& answer : wire.answers()) {
        if (answer.verdict() >= placementVerdictCount)
            return std::nullopt;
        message.answers.push_back(decode(answer));
    }
    for (const auto& capacity : wire.sums()) {
        message.capacities.push_back(
            { capacity.service(), capacity.group(), capacity.free_slots(), duration(capacity.soonest_us()), capacity.short_by(), {} });
        if (capacity.has_offered())
            message.capacities.back().offered = capacity.offered();
    }
    for (const auto& limit : wire.limits()) {
        if (!isValid(limit))
            return std::nullopt;
        message.limits.push_back(decode(limit));
    }
    for (const auto& report : wire.warm_ups())
        message.warmUps.push_back({ report.service(), report.target(), report.started_unix_ms(), duration(report.left_us()) });
    message.version = wire.version();
    message.received.assign(wire.received().begin(), wire.received().end());
    message.declined.assign(wire.declined().begin(), wire.declined().end());
    for (const auto& wanted : wire.wanted())
        message.wanted.push_back({ wanted.service(), wanted.group() });
    message.isProbe = wire.probe();
    message.isProbeReply = wire.probe_reply();
    return message;
}

} // namespace guavapond::edge
