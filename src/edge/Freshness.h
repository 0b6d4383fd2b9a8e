// Proof that the configuration in force is current. A key that was taken away must not be served for longer than a bound, on any
// node, so a request with a key is sent on only while a proof is young enough.
//
// A proof says: at `provedAt`, the store held no newer configuration. It is dated from the start of the call that brought it, this
// node's or a peer's (SharedCopy).
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
    std::optional<Duration> age(TimePoint now) const
    {
        return this->provedAt ? std::optional<Duration>(now - *this->provedAt) : std::nullopt;
    }
    void setBound(Duration value) { this->bound = value; }

private:
    Duration bound;                    // a request is not sent on with an older proof
    std::optional<TimePoint> provedAt; // never goes back
};

} // namespace guavapond::edge
