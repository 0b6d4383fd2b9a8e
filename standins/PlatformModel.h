// Model of the platform for tests and trials: key-value service with compare-and-swap and leases, list of VMs, and faults that can be
// switched on. No I/O and no clock, so that tests use it in process; PlatformServer puts it behind HTTP.
//
// Index
//   PlatformFaults   faults and rate limits
//   PlatformStats    calls counted by kind
//   PlatformModel    the service; all calls are thread-safe
#pragma once

#include "ports/Platform.h"

#include <array>
#include <map>
#include <mutex>

namespace guavapond::standin {

enum class Outage : uint8_t {
    None,
    Refusing, // every call is answered with an error and has no effect
    Silent,   // no call is answered or has an effect
};

struct PlatformFaults {
    Outage outage = Outage::None;
    Duration delay {};             // before each answer
    Duration watchDelay {};        // before each answer of a watch, in addition
    uint32_t loseWriteAnswers = 0; // writes still to come that take effect without an answer
    double writesPerSecond = 0;    // 0: no limit; one second's worth may be saved up
    double readsPerSecond = 0;
};

struct PlatformStats {
    uint64_t gets = 0;
    uint64_t puts = 0; // accepted or not
    uint64_t watches = 0;
    uint64_t leaseCalls = 0;
    uint64_t vmLists = 0;
    uint64_t conflicts = 0;
    uint64_t rateLimited = 0;
    uint64_t lostAnswers = 0;
    uint64_t unavailable = 0; // calls during an outage
};

// Fails with PlatformUnavailable: NotRun when the call had no effect, Unknown when a write took effect and its answer is lost.
class PlatformModel {
public:
    static constexpr size_t maxValueBytes = 1 << 20;

    Result<KeyValuePair> get(std::string_view key, TimePoint now);
    Result<Revision> put(std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId> lease, TimePoint now);
    // Counts and limits a watch; the caller then polls until the key has changed.
    std::optional<Failure> startWatch(TimePoint now);
    // The pair once the key is above `after`, or with revision 0 once it has been removed.
    std::optional<KeyValuePair> pollWatch(std::string_view key, Revision after, TimePoint now);
    Result<LeaseId> grantLease(Duration ttl, TimePoint now);
    Result<bool> renewLease(LeaseId lease, TimePoint now); // false: lapsed
    void revokeLease(LeaseId lease, TimePoint now);
    Result<std::vector<VmEntry>> listVms(TimePoint now);

    void setVms(std::vector<VmEntry> list);
    void setFaults(const PlatformFaults& faults);
    PlatformFaults faults() const;
    PlatformStats stats() const;

    // The port in process. A watch polls once and does not wait.
    KeyValue keyValue(const std::function<TimePoint()>& clock);

private:
    struct Entry {
        std::string value;
        Revision revision = 0;
        std::optional<LeaseId> lease;
    };
    struct Lease {
        Duration ttl {};
        TimePoint expires {};
    };
    struct Bucket {
        double tokens = 0;
        TimePoint filled {};
        bool started = false;
    };

    std::optional<Failure> admit(Bucket& bucket, double perSecond, TimePoint now);
    void expire(TimePoint now);
    void removeLease(LeaseId lease);

    mutable std::mutex mutex;
    std::map<std::string, Entry, std::less<>> entries;
    std::map<LeaseId, Lease> leases;
    std::vector<VmEntry> vms;
    PlatformFaults active;
    PlatformStats counts;
    Bucket reads;
    Bucket writes;
    Revision lastRevision = 0; // one counter for all keys, so that a key that is removed and written again never repeats a revision
    uint64_t lastLease = 0;
};

} // namespace guavapond::standin
