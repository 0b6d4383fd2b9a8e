// Keeps this node's entry in the store for as long as the process runs. The entry ends with a lease, which is renewed in time; where the
// lease has lapsed, the entry is written again under a new one.
//
// Index
//   NodeEntry    write, end
#pragma once

#include "core/Types.h"

#include <functional>
#include <optional>

namespace guavapond::edge {

class NodeEntry {
public:
    struct Lease {
        uint64_t id = 0;
        Duration ttl {};
    };
    enum class Renewal : uint8_t {
        Renewed,
        Failed, // or its answer is lost
        Lapsed, // the lease has ended, and the entry with it
    };
    // Each call answers once. An answer may come after the entry was written anew; it is ignored then.
    struct Hooks {
        std::function<void(std::function<void(std::optional<Lease>)> done)> grantLease;
        std::function<void(uint64_t lease, std::function<void(bool)> done)> writeEntry;
        std::function<void()> written; // the entry is in the store
        std::function<void(uint64_t lease, std::function<void(Renewal)> done)> renewLease;
        std::function<void(uint64_t lease, std::function<void()> done)> endLease;
        std::function<void(Duration, std::function<void()> action)> schedule; // replaces what was scheduled before
    };
    // `retryInterval`: after a failed call.
    NodeEntry(Duration retryInterval, Hooks hooks)
        : retryInterval(retryInterval)
        , hooks(std::move(hooks))
    {
    }

    void write();                         // also again, if the former lease is not this node's any more
    void end(std::function<void()> done); // so that the peers forget this node at once

private:
    void retry(uint64_t attempt);
    void renew();

    Duration retryInterval;
    Hooks hooks;
    std::optional<Lease> lease; // of the present entry; empty: there may be none
    uint64_t attempts = 0;      // to write it
    bool ended = false;
};

} // namespace guavapond::edge
