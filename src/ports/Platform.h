// Port to the platform: key-value service, leases, watches and the list of VMs. The calls block; adapters run them off the request path.
//
// Index
//   KeyValue        get, put (compare-and-swap), watch, leases
//   VmList          live and leaving VMs
//
// A put whose answer is lost returns PlatformUnavailable with Disposition::Unknown: the caller reads back before it decides.
#pragma once

#include "core/Types.h"

#include <functional>

namespace guavapond {

using Revision = uint64_t; // of one key; 0: the key does not exist
enum class LeaseId : uint64_t {};

struct KeyValuePair {
    std::string value;
    Revision revision = 0;
};

struct KeyValue {
    // Absent key: a pair with revision 0.
    std::function<Result<KeyValuePair>(std::string_view key)> get;
    // Writes only if the key is at `expected`; a conflict is FailureKind::Conflict with Disposition::NotRun.
    std::function<Result<Revision>(std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId> lease)> put;
    // Waits until the key is above `after` or the wait is over; empty optional: nothing changed.
    std::function<Result<std::optional<KeyValuePair>>(std::string_view key, Revision after, Duration wait)> watch;
    std::function<Result<LeaseId>(Duration ttl)> grantLease;
    std::function<Result<bool>(LeaseId)> renewLease; // false: the lease has lapsed
    std::function<void(LeaseId)> revokeLease;
};

enum class VmState : uint8_t {
    Live,
    Leaving,
};

struct VmEntry {
    std::string address;
    std::string failureDomain;
    VmState state = VmState::Live;
};

struct VmList {
    std::function<Result<std::vector<VmEntry>>()> list;
};

} // namespace guavapond
