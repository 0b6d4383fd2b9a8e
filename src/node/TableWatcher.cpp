// Adoption of table revisions from the platform and from peers.
#include "node/TableWatcher.h"

#include <algorithm>
#include <xxhash.h>

namespace guavapond {

TableWatcher::TableWatcher(
    const std::string& nodeName, const std::string& failureDomain, const TableWatcherSettings& s, TableWatcherPorts p)
    : settings(s)
    , ports(std::move(p))
    , watches(this->isAmongWatchers(nodeName, failureDomain))
    , store(this->ports.keyValue, {})
{
}

// The same nodes on every node of the failure domain: those with the highest hash of their name.
bool TableWatcher::isAmongWatchers(const std::string& nodeName, const std::string& failureDomain) const
{
    auto rank = [](const std::string& name) { return XXH64(name.data(), name.size(), 0); };
    auto above = std::count_if(this->ports.peers.begin(), this->ports.peers.end(),
        [&](const PeerAddress& peer) { return peer.failureDomain == failureDomain && rank(peer.name) > rank(nodeName); });
    return static_cast<size_t>(above) < this->settings.watchersPerDomain;
}

void TableWatcher::watchPlatform(const std::atomic<bool>& stop)
{
    auto backoff = this->settings.minBackoff;
    while (!stop) {
        bool worked = this->watches && this->headRevision > 0 ? this->waitForChange() : this->refresh();
        if (!worked) {
            this->pause(fromSeconds(toSeconds(backoff) * (0.5 + this->ports.random())));
            backoff = std::min(backoff * 2, this->settings.maxBackoff);
            continue;
        }
        backoff = this->settings.minBackoff;
        if (!this->watches)
            this->pause(fromSeconds(toSeconds(this->settings.pollInterval) * (0.5 + this->ports.random())));
        else if (this->headRevision == 0)
            this->pause(this->settings.minBackoff); // no table yet
    }
}

bool TableWatcher::waitForChange()
{
    auto changed = this->ports.keyValue.watch(headKey, this->headRevision, this->settings.watchWait);
    if (!changed) {
        this->markFailed(*changed.reason);
        return false;
    }
    if (!changed->has_value())
        return true;
    return this->refresh();
}

bool TableWatcher::refresh()
{
    auto head = this->ports.keyValue.get(headKey);
    if (!head) {
        this->markFailed(*head.reason);
        return false;
    }
    std::lock_guard lock(this->storeMutex);
    auto adopted = this->store.refresh();
    this->publishIfNewer(adopted);
    if (!adopted) {
        this->markFailed(*adopted.reason);
        return false;
    }
    // Read before the refresh, so that a change between the two calls wakes the next watch at once.
    this->headRevision = head->revision;
    return true;
}

void TableWatcher::askPeers(const std::atomic<bool>& stop)
{
    while (!stop) {
        this->askOnePeer();
        this->pause(fromSeconds(toSeconds(this->settings.peerInterval) * (0.5 + this->ports.random())));
    }
}

void TableWatcher::askOnePeer()
{
    if (this->ports.peers.empty())
        return;
    std::vector<const PeerAddress*> asked;
    for (const auto& peer : this->ports.peers) {
        if (!this->ports.isLive || this->ports.isLive(peer.name))
            asked.push_back(&peer);
    }
    // The view may be wrong: when it leaves nobody, any of them may still answer.
    if (asked.empty()) {
        for (const auto& peer : this->ports.peers)
            asked.push_back(&peer);
    }
    auto count = asked.size();
    auto chosen = std::min(count - 1, static_cast<size_t>(this->ports.random() * static_cast<double>(count)));
    auto version = this->ports.peer.table(asked[chosen]->address, this->revisionInForce);
    if (!version || !version->has_value())
        return;
    std::lock_guard lock(this->storeMutex);
    this->publishIfNewer(this->store.offer((*version)->snapshot));
}

std::optional<TableVersion> TableWatcher::versionAbove(uint64_t revision)
{
    if (this->revisionInForce <= revision)
        return std::nullopt;
    std::lock_guard lock(this->storeMutex);
    return TableVersion { this->store.head().revision, this->store.snapshot() };
}

void TableWatcher::publishIfNewer(const Result<bool>& adopted)
{
    if (!adopted || !*adopted)
        return;
    // Published under the store's mutex, so that revisions come into force in their order.
    this->ports.adopted(this->store.current(), this->store.head());
    this->revisionInForce = this->store.current()->revision();
}

void TableWatcher::pause(Duration time)
{
    std::unique_lock lock(this->waitMutex);
    this->waitChanged.wait_for(lock, time);
}

void TableWatcher::wake() { this->waitChanged.notify_all(); }

void TableWatcher::markFailed(const Failure& failure)
{
    if (this->ports.failed)
        this->ports.failed(failure);
}

} // namespace guavapond
