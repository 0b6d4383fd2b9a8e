// Fields of placement messages.
#include "edge/PlacementWire.h"

#include "edge/WorkspaceQuota.h"

#include <placement.pb.h>

namespace guavapond::edge {

namespace {

constexpr double percent = 100;
constexpr int64_t noTime = -1;
constexpr int64_t longestUs = 24LL * 3600 * 1000 * 1000; // durations beyond a day are errors of the sender
constexpr int longestColumn = 4096;

int64_t microseconds(const std::optional<Duration>& value) { return value ? std::max<int64_t>(value->count(), 0) : noTime; }

Duration duration(int64_t us) { return Duration(std::clamp<int64_t>(us, 0, longestUs)); }
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
    for (int i = 0; i < std::min({ wire.chains_size(), wire.tokens_size(), longestColumn }); ++i)
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
    for (int i = 0; i < std::min(wire.targets_size(), longestColumn); ++i)
        report.loads.push_back({ wire.targets(i), wire.running(i), wire.prefill_tokens(i), std::chrono::milliseconds(wire.silence_ms(i)) });
    return report;
}

bool hasEqualColumns(const wire::GroupLoads& wire)
{
    return wire.targets_size() == wire.running_size() && wire.targets_size() == wire.prefill_tokens_size()
        && wire.targets_size() == wire.silence_ms_size();
}

void encode(const PlaceAsk& ask, wire::Ask& wire)
{
    wire.set_id(ask.id);
    wire.set_service(ask.service);
    wire.set_group(ask.group);
    wire.set_failure_domain(ask.failureDomain);
    wire.set_workspace_rank(ask.rank.workspace);
    wire.set_route_rank(ask.rank.route);
    wire.set_prompt_tokens(ask.promptTokens);
    wire.set_output_events(ask.outputEvents);
    wire.set_urgent(ask.urgent);
    wire.set_repeatable(ask.repeatable);
    if (!ask.parts.empty())
        encode(ask.parts, *wire.mutable_parts());
    wire.set_only_version(ask.onlyVersion);
    wire.set_not_version(ask.notVersion);
    for (const uint64_t target : ask.leftOut)
        wire.add_left_out(target);
    wire.set_may_wait_us(ask.mayWait.count());
    wire.set_first_within_us(microseconds(ask.firstWithin));
    wire.set_may_go_elsewhere(ask.mayGoElsewhere);
}

PlaceAsk decode(const wire::Ask& wire, uint64_t node)
{
    PlaceAsk ask;
    ask.node = node;
    ask.id = wire.id();
    ask.service = wire.service();
    ask.group = wire.group();
    ask.failureDomain = wire.failure_domain();
    ask.rank = { wire.workspace_rank(), wire.route_rank() };
    ask.promptTokens = wire.prompt_tokens();
    ask.outputEvents = wire.output_events();
    ask.urgent = wire.urgent();
    ask.repeatable = wire.repeatable();
    ask.parts = decode(wire.parts());
    ask.onlyVersion = wire.only_version();
    ask.notVersion = wire.not_version();
    for (int i = 0; i < std::min(wire.left_out_size(), longestColumn); ++i)
        ask.leftOut.push_back(wire.left_out(i));
    ask.mayWait = duration(wire.may_wait_us());
    ask.firstWithin = optionalDuration(wire.first_within_us());
    ask.mayGoElsewhere = wire.may_go_elsewhere();
    return ask;
}

void encode(const RunSample& sample, wire::Sample& wire)
{
    wire.set_service(sample.service);
    wire.set_target(sample.target);
    wire.set_outcome(static_cast<uint32_t>(sample.outcome));
    wire.set_service_time_us(microseconds(sample.serviceTime));
    wire.set_backlog_tokens(sample.backlogTokens);
    wire.set_first_after_us(sample.firstAfter.count());
    wire.set_event_gap_us(microseconds(sample.eventGap));
    if (!sample.parts.empty())
        encode(sample.parts, *wire.mutable_parts());
}

RunSample decode(const wire::Sample& wire)
{
    RunSample sample;
    sample.service = wire.service();
    sample.target = wire.target();
    sample.outcome = static_cast<TargetOutcome>(wire.outcome());
    sample.serviceTime = optionalDuration(wire.service_time_us());
    sample.backlogTokens = wire.backlog_tokens();
    sample.firstAfter = duration(wire.first_after_us());
    sample.eventGap = optionalDuration(wire.event_gap_us());
    sample.parts = decode(wire.parts());
    return sample;
}

void encode(const PlaceAnswer& answer, wire::Answer& wire)
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
}

PlaceAnswer decode(const wire::Answer& wire)
{
    PlaceAnswer answer;
    answer.id = wire.id();
    answer.verdict = static_cast<PlaceVerdict>(wire.verdict());
    answer.service = wire.service();
    answer.group = wire.group();
    answer.otherGroup = wire.other_group();
    answer.target = wire.target();
    answer.grant = wire.grant();
    answer.firstEvent = duration(wire.first_event_us());
    answer.backlogTokens = wire.backlog_tokens();
    answer.occupancy = wire.occupancy_percent() / percent;
    return answer;
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
    for (const PlaceAsk& ask : message.asks)
        encode(ask, *wire.add_asks());
    for (const Withdrawal& withdrawal : message.withdrawn) {
        auto* entry = wire.add_withdrawn();
        entry->set_service(withdrawal.service);
        entry->set_group(withdrawal.group);
        entry->set_id(withdrawal.id);
    }
    for (const RunSample& sample : message.samples)
        encode(sample, *wire.add_samples());
    for (const PlaceAnswer& answer : message.answers)
        encode(answer, *wire.add_answers());
    for (const GroupSum& sum : message.sums) {
        auto* entry = wire.add_sums();
        entry->set_service(sum.service);
        entry->set_group(sum.group);
        entry->set_free_slots(sum.freeSlots);
        entry->set_soonest_us(std::min(sum.soonest.count(), longestUs));
    }
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
    for (const auto& ask : wire.asks())
        message.asks.push_back(decode(ask, node));
    for (const auto& withdrawal : wire.withdrawn())
        message.withdrawn.push_back({ withdrawal.service(), withdrawal.group(), withdrawal.id() });
    for (const auto& sample : wire.samples()) {
        if (sample.outcome() > static_cast<uint32_t>(TargetOutcome::Cancelled))
            return std::nullopt;
        message.samples.push_back(decode(sample));
    }
    for (const auto& answer : wire.answers()) {
        if (answer.verdict() >= placeVerdictCount)
            return std::nullopt;
        message.answers.push_back(decode(answer));
    }
    for (const auto& sum : wire.sums())
        message.sums.push_back({ sum.service(), sum.group(), sum.free_slots(), duration(sum.soonest_us()) });
    return message;
}

} // namespace guavapond::edge
