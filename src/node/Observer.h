// What the request path reports for metrics and logs. Hooks that are not set are not called.
#pragma once

#include "core/Types.h"

#include <functional>

namespace guavapond {

struct RequestSummary {
    std::string_view ticket;
    std::string_view workspace;
    std::string_view model;
    std::string_view target; // empty: never dispatched
    Tier tier = Tier::Standard;
    Duration queueTime {};     // µs from admission to dispatch, or to the refusal
    Duration firstToken {};    // µs from admission
    Duration total {};         // µs from admission
    uint32_t promptTokens = 0; // tokens
    uint32_t cachedTokens = 0; // tokens expected in the target's cache
    uint64_t outputTokens = 0; // tokens
    bool dispatched = false;
    bool inTime = false;              // whole, before its deadline
    const Failure* failure = nullptr; // null: whole

    // Of the target's version, for version moves.
    std::string_view version;
    std::string route;                               // chat, completion, or the prefix of a service's path
    bool failedByTarget = false;                     // a service answered 5xx
    std::optional<Duration> firstTokenAfterDispatch; // µs; for a service the whole call
    std::optional<Duration> timePerToken;            // µs; mean after the first token
};

struct Observer {
    std::function<void(const RequestSummary&)> ended;   // once for each request that was admitted
    std::function<void(const Failure&)> refusedOnEntry; // bad input, unknown workspace and the like
    std::function<void(Duration)> betweenTokens;        // µs between two tokens of a stream
};

} // namespace guavapond
