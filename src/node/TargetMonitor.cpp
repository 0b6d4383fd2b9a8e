// Polls targets and the platform's VM list.
#include "node/TargetMonitor.h"

#include <algorithm>

namespace guavapond {

namespace {

// Host of a base URL or of host:port.
std::string_view hostOf(std::string_view address)
{
    auto scheme = address.find("://");
    auto host = scheme == std::string_view::npos ? address : address.substr(scheme + 3);
    return host.substr(0, host.find_first_of(":/"));
}

// A VM is named by host, or by host and port where several targets share a host.
bool isOn(std::string_view targetAddress, std::string_view vmAddress)
{
    auto scheme = targetAddress.find("://");
    auto target = scheme == std::string_view::npos ? targetAddress : targetAddress.substr(scheme + 3);
    target = target.substr(0, target.find('/'));
    bool namesPort = vmAddress.find(':') != std::string_view::npos;
    return namesPort ? target == vmAddress : hostOf(target) == vmAddress;
}

} // namespace

TargetMonitor::TargetMonitor(const TargetMonitorSettings& s, TargetMonitorPorts p, const Snapshot<TableIndex>& t, Decisions& d)
    : settings(s)
    , ports(std::move(p))
    , table(t)
    , decisions(d)
{
}

void TargetMonitor::run(const std::atomic<bool>& stop)
{
    while (!stop) {
        this->check(this->ports.clock());
        std::unique_lock lock(this->waitMutex);
        this->waitChanged.wait_for(lock, this->settings.tick);
    }
}

void TargetMonitor::wake() { this->waitChanged.notify_all(); }

void TargetMonitor::check(TimePoint now)
{
    auto targets = this->watched();
    std::vector<TargetId> due;
    {
        std::lock_guard lock(this->decisions.mutex);
        due = this->decisions.targets.dueHealthChecks(now);
    }
    bool loads = now >= this->nextLoad;
    bool caches = now >= this->nextCache;
    for (const auto& target : targets) {
        if (std::find(due.begin(), due.end(), target.id) != due.end())
            this->start(target, Call::Health);
    }
    std::erase_if(targets, [](const Watched& target) { return target.kind != RequestKind::Engine; });
    if (loads)
        this->startRound(targets, Call::Load, this->firstLoad);
    if (caches)
        this->startRound(targets, Call::CacheEvents, this->firstCache);
    if (loads)
        this->nextLoad = now + this->settings.loadInterval;
    if (caches)
        this->nextCache = now + this->settings.cacheInterval;
    if (now >= this->nextVms && !this->vmsPending.exchange(true)) {
        this->nextVms = now + this->settings.vmInterval;
        this->ports.background([this] { this->readVms(); });
    }
}

// At most pollsPerRound targets, the next ones in turn, so that the cost does not grow with the fleet.
void TargetMonitor::startRound(std::span<const Watched> targets, Call call, size_t& first)
{
    auto count = std::min(targets.size(), this->settings.pollsPerRound);
    for (size_t i = 0; i < count; ++i)
        this->start(targets[(first + i) % targets.size()], call);
    first = targets.empty() ? 0 : (first + count) % targets.size();
}

std::vector<TargetMonitor::Watched> TargetMonitor::watched() const
{
    return this->table.read([](const TableIndex& rows) {
        std::vector<Watched> targets;
        for (const auto& row : rows.table().targets) {
            if (auto id = rows.target(row.name))
                targets.push_back({ *id, row.name, row.address, row.kind });
        }
        return targets;
    });
}

void TargetMonitor::start(const Watched& target, Call call)
{
    auto key = target.name + "/" + std::to_string(static_cast<int>(call));
    {
        std::lock_guard lock(this->mutex);
        if (!this->pending.insert(key).second)
            return;
    }
    this->ports.background([this, target, call, key] {
        switch (call) {
        case Call::Load:
            this->readLoad(target);
            break;
        case Call::CacheEvents:
            this->readCacheEvents(target);
            break;
        case Call::Health:
            this->checkHealth(target);
            break;
        }
        std::lock_guard lock(this->mutex);
        this->pending.erase(key);
    });
}

void TargetMonitor::readLoad(const Watched& target)
{
    auto load = this->ports.engine.load(target.address);
    if (!load)
        return;
    std::lock_guard lock(this->decisions.mutex);
    this->decisions.targets.onLoadReport(target.id, load->running, load->waiting, load->age, this->ports.clock());
}

void TargetMonitor::readCacheEvents(const Watched& target)
{
    uint64_t after = 0;
    {
        std::lock_guard lock(this->mutex);
        after = this->lastCacheSeq[target.name];
    }
    auto events = this->ports.engine.cacheEvents(target.address, after);
    if (!events)
        return;
    auto now = this->ports.clock();
    {
        std::lock_guard lock(this->decisions.mutex);
        for (const auto& event : *events)
            this->decisions.prefixes.onCacheEvent(target.id, event.seq, event.block, event.added, now);
    }
    std::lock_guard lock(this->mutex);
    for (const auto& event : *events)
        this->lastCacheSeq[target.name] = std::max(this->lastCacheSeq[target.name], event.seq);
}

void TargetMonitor::checkHealth(const Watched& target)
{
    auto healthy = this->ports.engine.health(target.address);
    {
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.targets.onHealthCheck(target.id, healthy.value.value_or(false), this->ports.clock());
    }
    this->ports.changed();
}

void TargetMonitor::readVms()
{
    auto vms = this->ports.vms.list();
    if (vms)
        this->applyVms(*vms);
    this->vmsPending = false;
}

// A target whose VM is not on the list stays in use: the list lags, and an outage may leave it empty.
void TargetMonitor::applyVms(std::span<const VmEntry> vms)
{
    auto now = this->ports.clock();
    for (const auto& target : this->watched()) {
        bool isLeaving = std::any_of(
            vms.begin(), vms.end(), [&](const VmEntry& vm) { return vm.state == VmState::Leaving && isOn(target.address, vm.address); });
        // Set in each round: a row that is removed and added again has lost its mark in the target set.
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.targets.setLeaving(target.id, isLeaving, now);
    }
    this->ports.changed();
}

} // namespace guavapond
