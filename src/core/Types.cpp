// Names and HTTP statuses of the shared enumerations.
#include "core/Types.h"

#include <array>
#include <cassert>

namespace guavapond {

namespace {

constexpr std::array<std::string_view, tierCount> tierNames { "urgent", "standard", "batch" };

struct FailureKindInfo {
    FailureKind kind;
    std::string_view name;
    int status;
};

constexpr std::array<FailureKindInfo, failureKindCount> failureKinds { {
    { FailureKind::BadRequest, "bad_request", 400 },
    { FailureKind::Unauthorized, "unauthorized", 401 },
    { FailureKind::WorkspaceForbidden, "workspace_forbidden", 403 },
    { FailureKind::NotFound, "not_found", 404 },
    { FailureKind::SlowSender, "slow_sender", 408 },
    { FailureKind::TicketMismatch, "ticket_mismatch", 409 },
    { FailureKind::TicketRequired, "ticket_required", 428 },
    { FailureKind::BodyTooLarge, "body_too_large", 413 },
    { FailureKind::WrongType, "wrong_type", 422 },
    { FailureKind::LimitReached, "limit_reached", 429 },
    { FailureKind::QueueFull, "queue_full", 429 },
    { FailureKind::HeadersTooLarge, "headers_too_large", 431 },
    { FailureKind::DeadlineUnreachable, "deadline_unreachable", 504 },
    { FailureKind::DeadlineExceeded, "deadline_exceeded", 504 },
    { FailureKind::Shed, "shed", 503 },
    { FailureKind::Stopping, "stopping", 503 },
    { FailureKind::NoTarget, "no_target", 503 },
    { FailureKind::TargetFailed, "target_failed", 502 },
    { FailureKind::StreamCut, "stream_cut", 502 },
    { FailureKind::OutcomeUnknown, "outcome_unknown", 502 },
    { FailureKind::OwnerUnreachable, "owner_unreachable", 503 },
    { FailureKind::PlatformUnavailable, "platform_unavailable", 503 },
    { FailureKind::Conflict, "conflict", 409 },
    { FailureKind::InvalidEdit, "invalid_edit", 422 },
    { FailureKind::CallerGone, "caller_gone", 499 },
} };

const FailureKindInfo& infoOf(FailureKind kind)
{
    const auto& info = failureKinds.at(static_cast<size_t>(kind));
    assert(info.kind == kind && "failureKinds has to be in the order of FailureKind");
    return info;
}

} // namespace

std::string_view tierName(Tier tier) { return tierNames.at(raw(tier)); }

std::optional<Tier> parseTier(std::string_view name)
{
    for (size_t i = 0; i < tierCount; ++i) {
        if (tierNames.at(i) == name)
            return static_cast<Tier>(i);
    }
    return std::nullopt;
}

std::string_view dispositionName(Disposition disposition)
{
    switch (disposition) {
    case Disposition::NotRun:
        return "not_run";
    case Disposition::Ran:
        return "ran";
    case Disposition::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view failureKindName(FailureKind kind) { return infoOf(kind).name; }

int failureStatus(FailureKind kind) { return infoOf(kind).status; }

} // namespace guavapond
