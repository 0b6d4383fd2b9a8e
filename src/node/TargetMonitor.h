// Keeps what this node knows of its targets fresh: load reports, cache events, health checks of ejected targets, and the platform's list
// of VMs. All of it is soft state; a call that fails leaves what is known as it is.
//
// Index
//   TargetMonitorSettings
//   TargetMonitor    run() on a thread of its own; the calls go to the background
#pragma once

#include "node/Decisions.h"
#include "node/Snapshot.h"
#include "ports/Platform.h"
#include "ports/Target.h"

#include <atomic>
#include <condition_variable>
#include <unordered_set>

namespace guavapond {

struct TargetMonitorSettings {
    size_t pollsPerRound = 16; // targets asked in one round; the others follow in the next ones
    Duration loadInterval = std::chrono::milliseconds(500);
    Duration cacheInterval = std::chrono::seconds(1);
    Duration vmInterval = std::chrono::seconds(1);
    Duration tick = std::chrono::milliseconds(100);
};

struct TargetMonitorPorts {
    Engine engine;
    VmList vms;
    std::function<TimePoint()> clock;
    std::function<void(std::function<void()>)> background;
    std::function<void()> changed; // a target may have become usable
};

class TargetMonitor {
public:
    TargetMonitor(const TargetMonitorSettings& settings, TargetMonitorPorts ports, const Snapshot<TableIndex>& table, Decisions& decisions);

    void run(const std::atomic<bool>& stop);
    void wake();               // ends the present wait of run()
    void check(TimePoint now); // one round; run() calls it at each tick

private:
    struct Watched {
        TargetId id {};
        std::string name;
        std::string address;
        RequestKind kind = RequestKind::Engine;
    };
    enum class Call : uint8_t {
        Load,
        CacheEvents,
        Health,
    };

    std::vector<Watched> watched() const;
    void startRound(std::span<const Watched> targets, Call call, size_t& first);
    void start(const Watched& target, Call call);
    void readLoad(const Watched& target);
    void readCacheEvents(const Watched& target);
    void checkHealth(const Watched& target);
    void readVms();
    void applyVms(std::span<const VmEntry> vms);

    TargetMonitorSettings settings;
    TargetMonitorPorts ports;
    const Snapshot<TableIndex>& table;
    Decisions& decisions;

    size_t firstLoad = 0;  // position of the next round among the engines
    size_t firstCache = 0; // the same
    TimePoint nextLoad {};
    TimePoint nextCache {};
    TimePoint nextVms {};
    std::atomic<bool> vmsPending { false };

    std::mutex mutex;                                       // guards what follows
    std::unordered_set<std::string> pending;                // calls under way, so that a silent target gathers only one of each kind
    std::unordered_map<std::string, uint64_t> lastCacheSeq; // by target name

    std::mutex waitMutex;
    std::condition_variable waitChanged;
};

} // namespace guavapond
