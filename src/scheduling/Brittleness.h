// What a brittle target bears. Such a target says in all its answers how many requests a second it can turn away for want of room; one that
// turns away more falls over. So a place is granted there only if its room is known, and what is turned away all the same is counted.
//
// A home knows what runs at a target and grants no more than its slots: nothing queues there. A node that places without a home knows
// only its own requests. All such nodes together may send a quarter of what the target can turn away, an equal part each, since the target
// may be full. When another quarter has been turned away within a second, no node that knows of it sends anything until that second has
// passed.
//
// See docs/design/shared-rates.md.
//
// Index
//   parseBrittleness   the header field of an answer
//   Brittleness        onNamed, onNotNamed, onRejected; isSet, perSecond, isExhausted, mayGuess, guess
#pragma once

#include "core/Types.h"

#include <array>
#include <optional>
#include <span>
#include <string_view>

namespace guavapond::edge {

// Requests a second. Values that make no sense count as the strictest; empty: the answer has no such field.
std::optional<double> parseBrittleness(std::span<const std::string_view> values);

class Brittleness {
public:
    bool onNamed(double perSecond, TimePoint now);        // requests a second that the target can turn away; true: news
    bool onNotNamed(TimePoint sentAt);                    // a sound answer to a request sent then does not name it; true: it has ended
    void onRejected(TimePoint now);                       // the target turned a request of any node away
    std::optional<double> perSecond(TimePoint now) const; // empty: not brittle, or not named for a while
    bool isSet(TimePoint now) const { return this->perSecond(now).has_value(); }
    bool isExhausted(TimePoint now) const; // it has turned away as many as is safe
    // A place whose room is not known, for this one of `nodes` nodes.
    bool mayGuess(size_t nodes, TimePoint now) const; // always, while the target is not brittle
    void guess(size_t nodes, TimePoint now);

private:
    double tokens(size_t nodes, TimePoint now) const;

    static constexpr size_t keptRejections = 32;
    std::optional<double> limit;                         // as last named; empty: not brittle
    TimePoint namedAt {};                                // newest answer that named it
    std::array<TimePoint, keptRejections> rejections {}; // newest ones, in a ring; the epoch: none
    size_t nextRejection = 0;
    double saved = 0; // tokens at filledAt; a place whose room is not known takes one
    TimePoint filledAt {};
};

} // namespace guavapond::edge
