// Fields of each row type, by name. Cells, JSON pages, CSV and the audit trail all use this one list.
//
// A field of a tier is named "urgent.weight" and its cell "workspaces/NAME/urgent.weight"; other cells are "targets/NAME.address".
#pragma once

#include "core/Table.h"

#include <charconv>
#include <cmath>

namespace guavapond::fields {

// ---- visit(row, visitor): visitor(name, member&) for each field; the first ones are the row's key.
template <typename Visitor> void visit(WorkspaceRow& row, Visitor&& visitor)
{
    visitor("name", row.name);
    visitor("token", row.token);
    for (size_t i = 0; i < tierCount; ++i) {
        const std::string tier(tierName(static_cast<Tier>(i)));
        TierLimits& limits = row.tiers[i];
        visitor(tier + ".weight", limits.weight);
        visitor(tier + ".engineSecondsPerSecond", limits.engineSecondsPerSecond);
        visitor(tier + ".burstEngineSeconds", limits.burstEngineSeconds);
        visitor(tier + ".running", limits.running);
        visitor(tier + ".queued", limits.queued);
        visitor(tier + ".reservedEngineSeconds", limits.reservedEngineSeconds);
    }
}

template <typename Visitor> void visit(TargetRow& row, Visitor&& visitor)
{
    visitor("name", row.name);
    visitor("kind", row.kind);
    visitor("address", row.address);
    visitor("failureDomain", row.failureDomain);
    visitor("model", row.model);
    visitor("version", row.version);
    visitor("state", row.state);
    visitor("checksFencing", row.checksFencing);
    visitor("resumes", row.resumes);
    visitor("maxRunning", row.maxRunning);
}

template <typename Visitor> void visit(ShareRow& row, Visitor&& visitor)
{
    visitor("model", row.model);
    visitor("version", row.version);
    visitor("percent", row.percent);
}

template <typename Visitor> void visit(MoveRow& row, Visitor&& visitor)
{
    visitor("id", row.id);
    visitor("model", row.model);
    visitor("fromVersion", row.fromVersion);
    visitor("toVersion", row.toVersion);
    visitor("deadlineUnixMs", row.deadlineUnixMs);
    visitor("maxUnprovedPercent", row.maxUnprovedPercent);
    visitor("badFailureRate", row.badFailureRate);
    visitor("badLatencyRatio", row.badLatencyRatio);
    visitor("state", row.state);
    visitor("reason", row.reason);
}

// ---- Keys of rows
inline std::string key(const WorkspaceRow& row) { return row.name; }
inline std::string key(const TargetRow& row) { return row.name; }
inline std::string key(const ShareRow& row) { return row.model + "/" + row.version; }
inline std::string key(const MoveRow& row) { return row.id; }

inline bool setKey(WorkspaceRow& row, std::string_view k) { return row.name = k, true; }
inline bool setKey(TargetRow& row, std::string_view k) { return row.name = k, true; }
inline bool setKey(MoveRow& row, std::string_view k) { return row.id = k, true; }
inline bool setKey(ShareRow& row, std::string_view k)
{
    const size_t slash = k.rfind('/'); // models may hold '/', versions may not
    if (slash == std::string_view::npos)
        return false;
    row.model = k.substr(0, slash);
    row.version = k.substr(slash + 1);
    return true;
}

template <typename Row> constexpr size_t keyFields = std::is_same_v<Row, ShareRow> ? 2 : 1;

// ---- forEachSection(table, visitor): visitor(section name, vector of rows&)
template <typename TableType, typename Visitor> void forEachSection(TableType& table, Visitor&& visitor)
{
    visitor("workspaces", table.workspaces);
    visitor("targets", table.targets);
    visitor("shares", table.shares);
    visitor("moves", table.moves);
}

// ---- Text of a value, and back. The text of a number is the shortest that reads back as the same number.
inline std::string toText(const std::string& v) { return v; }
inline std::string toText(bool v) { return v ? "true" : "false"; }
inline std::string toText(RequestKind v) { return v == RequestKind::Engine ? "engine" : "service"; }
inline std::string toText(TargetState v) { return v == TargetState::Active ? "active" : "draining"; }
inline std::string toText(MoveState v) { return v == MoveState::Running ? "running" : v == MoveState::Finished ? "finished" : "takenBack"; }
template <typename Number>
requires std::is_arithmetic_v<Number> std::string toText(Number v)
{
    char buffer[32];
    return { buffer, std::to_chars(buffer, buffer + sizeof buffer, v).ptr };
}

// Each returns the rule that the text breaks, or an empty view.
inline std::string_view fromText(std::string_view text, std::string& v) { return v = text, std::string_view(); }
inline std::string_view fromText(std::string_view text, bool& v)
{
    const bool yes = text == "true" || text == "TRUE"; // spreadsheets write capitals
    if (!yes && text != "false" && text != "FALSE")
        return "true or false";
    v = yes;
    return {};
}
inline std::string_view fromText(std::string_view text, RequestKind& v)
{
    if (text != "engine" && text != "service")
        return "engine or service";
    v = text == "engine" ? RequestKind::Engine : RequestKind::Service;
    return {};
}
inline std::string_view fromText(std::string_view text, TargetState& v)
{
    if (text != "active" && text != "draining")
        return "active or draining";
    v = text == "active" ? TargetState::Active : TargetState::Draining;
    return {};
}
inline std::string_view fromText(std::string_view text, MoveState& v)
{
    for (MoveState state : { MoveState::Running, MoveState::Finished, MoveState::TakenBack }) {
        if (text == toText(state)) {
            v = state;
            return {};
        }
    }
    return "running, finished or takenBack";
}
template <typename Number>
requires std::is_arithmetic_v<Number> std::string_view fromText(std::string_view text, Number& v)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    if constexpr (std::is_floating_point_v<Number>)
        return whole && std::isfinite(v) ? "" : "a number";
    return whole ? "" : "a whole number that is not negative";
}

} // namespace guavapond::fields
