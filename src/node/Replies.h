// What callers of a node get: the header fields of answers, and failures as JSON.
#pragma once

#include "core/CallerRequest.h"
#include "ports/Caller.h"

namespace guavapond {

inline constexpr std::string_view jsonType = "application/json";
inline constexpr Duration callerRetryAfter = std::chrono::seconds(1); // where the node knows no better time

std::vector<HttpHeader> answerHeaders(std::string_view ticket, std::string_view contentType); // ticket empty: none
void sendFailure(HttpReply& reply, const Failure& failure, std::string_view ticket);
// A stream that can't be completed ends with an error event and without its terminator.
void endWithErrorEvent(HttpReply& reply, const Failure& failure, std::string_view ticket);

} // namespace guavapond
