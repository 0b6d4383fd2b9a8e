// Reads a caller's request: headers, path and body become a typed request, or a typed refusal. Pure, and bounded by its input.
//
// Index
//   Headers          names of the request headers
//   CallerSettings   defaults and bounds
//   CallerRequest    what the caller asks for
//   parseCallerRequest, errorBody
#pragma once

#include "core/Table.h"
#include "core/Types.h"

#include <functional>

namespace guavapond {

// ---- Headers
constexpr std::string_view workspaceHeader = "Guavapond-Workspace";
constexpr std::string_view tierHeader = "Guavapond-Tier";
constexpr std::string_view deadlineHeader = "Guavapond-Deadline-Ms";
constexpr std::string_view ticketHeader = "Guavapond-Ticket";
constexpr std::string_view idempotentHeader = "Guavapond-Idempotent";

struct CallerSettings {
    Duration defaultDeadline = std::chrono::minutes(2);
    Duration maxDeadline = std::chrono::hours(24 * 7);
    uint32_t maxPromptTokens = 1U << 21U; // tokens
    uint32_t maxOutputTokens = 1U << 17U; // tokens
};

enum class Operation : uint8_t {
    ChatCompletion,
    Completion,
    ServiceCall,
};

struct CallerRequest {
    Operation operation = Operation::ChatCompletion;
    RequestSpec spec;   // id is not set here
    std::string model;  // model or service
    std::string method; // of a service call
    std::string path;   // towards the target, with query
    std::string contentType;
    std::string body;    // towards the target; engines are always asked for a stream
    bool stream = false; // the caller wants server-sent events
    std::string ticket;  // text as sent; empty: none
    uint64_t digest = 0; // of everything that makes two requests the same
};

// What parseCallerRequest reads of an HTTP request.
struct CallerInput {
    std::string_view method;
    std::string_view target; // path with query
    std::string_view body;
    std::function<std::optional<std::string_view>(std::string_view name)> header;
};

Result<CallerRequest> parseCallerRequest(const CallerInput& input, const TableIndex& table, const CallerSettings& settings, TimePoint now);

// The workspace that the headers name, after the check of its token.
Result<WorkspaceId> authorize(const CallerInput& input, const TableIndex& table);

// {"error":{"type","message","disposition","retryAfterMs","ticket"}}; ticket is left out when empty.
std::string errorBody(const Failure& failure, std::string_view ticket);

} // namespace guavapond
