// Decides whether the configuration in force is known to be current. A revoked key must not be served for longer than a fixed bound on
// any node, so a request with a key is forwarded only while the last proof is younger than that bound.
//
// A proof states that at `provedAt` the store held no newer configuration. It is dated from the start of the store call that brought
// it, which this node or one of its peers made (SharedCopy).
//
// Index
//   Freshness  prove, holds, age
#pragma once

#include "core/Types.h"

#include <algorithm>

namespace guavapond::edge {

class Freshness {
public:
    explicit Freshness(Duration bound)
        : bound(bound)
    {
    }
    void prove(TimePoint time) { this->provedAt = std::max(this->provedAt.value_or(time), time); }
    bool holds(TimePoint now) const { return this->provedAt && now - *this->provedAt < this->bound; }
    std::optional<Duration> age(TimePoint now) const // empty: no proof yet
    {
        return this->provedAt ? std::optional<Duration>(now - *this->provedAt) : std::nullopt;
    }
    void setBound(Duration value) { this->bound = value; }

private:
    Duration bound;                    // requests with a key are not forwarded when the proof is this old or older
    std::optional<TimePoint> provedAt; // never decreases; empty: no proof yet
};

} // namespace guavapond::edge
