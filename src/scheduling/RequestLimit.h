// The request limit of a target: the requests per second that it takes from all nodes together. A target names it in its answers, and
// it holds for as long as the answers name it. SharedRate.h keeps it.
//
// Index
//   parseRequestLimit   the header field's values
//   LimitStatement      what a target said last
//   LimitReport         a statement, as nodes tell each other
//   LimitChange         what a statement changed
//   RequestLimit        onNamed, onNotNamed, onReport, onEnded
#pragma once

#include "core/Types.h"

#include <optional>
#include <span>
#include <string_view>

namespace guavapond::edge {

// Requests per second. Each value holds one decimal number, or several joined by commas; malformed ones are ignored, and the smallest of
// the others counts. Empty: no valid number.
std::optional<double> parseRequestLimit(std::span<const std::string_view> values);

struct LimitStatement {
    std::optional<double> perSecond; // empty: the target names no limit
    TimePoint at {};                 // arrival of the answer, by this node's clock; the epoch: no answer yet
};

struct LimitReport {
    enum class Kind : uint8_t {
        Named,    // an answer named the limit
        NotNamed, // an answer named none
        Ended,    // the sender counts the limit as ended
    };
    uint64_t service = 0;      // hash of its name
    uint64_t target = 0;       // hash of its id
    int64_t startedUnixMs = 0; // of the target's process; a report on another process of the target is void
    Kind kind = Kind::Named;
    double perSecond = 0; // with Named
    Duration age {};      // since the answer arrived
    Duration sentAge {};  // with NotNamed: since the request was sent
};

enum class LimitChange : uint8_t {
    None,
    Set,
    Changed, // reported at most once a second, since a target may name another figure in each answer
    Ended,
};
std::string_view limitChangeName(LimitChange change); // lower_snake_case

class RequestLimit {
public:
    LimitChange onNamed(double perSecond, TimePoint now);
    // A sound answer that names no limit, to a request that was sent at `sentAt`. Answers to requests that were sent before the last
    // answer that named one say nothing: the target may have composed them earlier.
    LimitChange onNotNamed(TimePoint sentAt, TimePoint now);
    LimitChange onReport(const LimitReport& report, TimePoint now); // of another node
    LimitChange onEnded(TimePoint at);                              // another node knows since `at` that the limit has ended

    const LimitStatement& statement() const { return this->last; }
    bool isSet() const { return this->last.perSecond.has_value(); }
    bool isFirstHand() const { return this->isSet() && this->firstHand; } // an answer to this node named the limit

private:
    LimitChange set(double perSecond, TimePoint at, TimePoint now);
    LimitChange end(TimePoint at);

    LimitStatement last;
    bool firstHand = false;      // valid while the limit is set
    uint32_t answersWithout = 0; // consecutive ones, since the limit was named
    TimePoint changeReportedAt {};
};

} // namespace guavapond::edge
