// Cached prefixes by block hash: intrusive lists over one pool of entries, so that every update costs O(1).
#include "core/PrefixIndex.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <xxhash.h>

namespace guavapond {

std::vector<uint64_t> hashPrefix(std::string_view model, std::string_view prompt)
{
    constexpr size_t blockChars = static_cast<size_t>(prefixBlockTokens) * charsPerToken;
    std::vector<uint64_t> hashes;
    hashes.reserve(prompt.size() / blockChars);
    uint64_t chain = XXH3_64bits(model.data(), model.size());
    for (size_t start = 0; start + blockChars <= prompt.size(); start += blockChars) {
        chain = XXH3_64bits_withSeed(prompt.data() + start, blockChars, chain);
        hashes.push_back(chain);
    }
    return hashes;
}

namespace {

// Hashes of blocks differ in all bits, ids of targets do not: the sum is mixed once more.
uint64_t pairHash(uint64_t block, TargetId target)
{
    uint64_t hash = block + (raw(target) + 1) * 0x9e3779b97f4a7c15ULL;
    hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93ULL;
    return hash ^ (hash >> 32);
}

template <typename Item> uint32_t takeSlot(std::vector<Item>& pool, std::vector<uint32_t>& freeSlots)
{
    if (freeSlots.empty()) {
        pool.emplace_back();
        return static_cast<uint32_t>(pool.size() - 1);
    }
    uint32_t slot = freeSlots.back();
    freeSlots.pop_back();
    return slot;
}

} // namespace

PrefixIndex::PrefixIndex(const PrefixSettings& s)
    : settings(s)
{
    assert(s.maxEntries > 0 && s.maxEntries < none);
}

// ---- Intrusive lists
void PrefixIndex::unlink(List& list, ListKind kind, Slot slot)
{
    Links& links = this->entries[slot].links[kind];
    (links.previous == none ? list.head : this->entries[links.previous].links[kind].next) = links.next;
    (links.next == none ? list.tail : this->entries[links.next].links[kind].previous) = links.previous;
    links = {};
    --list.count;
}

void PrefixIndex::pushFront(List& list, ListKind kind, Slot slot)
{
    this->entries[slot].links[kind] = { .previous = none, .next = list.head };
    (list.head == none ? list.tail : this->entries[list.head].links[kind].previous) = slot;
    list.head = slot;
    ++list.count;
}

// ---- Updates
PrefixIndex::TargetEvents& PrefixIndex::eventsOf(TargetId target)
{
    if (raw(target) >= this->events.size())
        this->events.resize(raw(target) + 1);
    return this->events[raw(target)];
}

PrefixIndex::Block& PrefixIndex::blockFor(uint64_t hash)
{
    Slot slot = this->blockSlot(hash);
    if (slot == none) {
        slot = takeSlot(this->blocks, this->freeBlocks);
        this->blocks[slot] = { .hash = hash, .holders = {} };
        this->blockSlots.insert(hash, slot);
    }
    return this->blocks[slot];
}

void PrefixIndex::confirm(TargetId target, uint64_t block, bool dispatched, TimePoint now)
{
    TargetEvents& owner = this->eventsOf(target);
    Slot slot = this->slotOf(target, block);
    if (slot == none) {
        if (this->pairs.size() >= this->settings.maxEntries)
            this->remove(this->useOrder.tail);
        slot = takeSlot(this->entries, this->freeEntries);
        this->entries[slot] = { .block = block, .target = target };
        this->pairs.insert(pairHash(block, target), slot);
        this->pushFront(this->blockFor(block).holders, ByBlock, slot);
    } else {
        this->unlink(this->useOrder, ByUse, slot);
        this->unlink(owner.entries, ByTarget, slot);
    }
    this->pushFront(this->useOrder, ByUse, slot);
    this->pushFront(owner.entries, ByTarget, slot);
    Entry& entry = this->entries[slot];
    entry.lastUse = now;
    entry.gapsAtConfirm = owner.gaps;
    if (dispatched)
        entry.lastDispatch = now;
}

void PrefixIndex::remove(Slot slot)
{
    const Entry& entry = this->entries[slot];
    Slot block = this->blockSlot(entry.block);
    this->unlink(this->blocks[block].holders, ByBlock, slot);
    if (this->blocks[block].holders.count == 0) {
        this->blockSlots.erase(entry.block, block);
        this->freeBlocks.push_back(block);
    }
    this->unlink(this->useOrder, ByUse, slot);
    this->unlink(this->events[raw(entry.target)].entries, ByTarget, slot);
    this->pairs.erase(pairHash(entry.block, entry.target), slot);
    this->freeEntries.push_back(slot);
}

void PrefixIndex::expire(TimePoint now)
{
    while (this->useOrder.tail != none && this->entries[this->useOrder.tail].lastUse + this->settings.entryLifetime <= now)
        this->remove(this->useOrder.tail);
}

void PrefixIndex::onDispatched(TargetId target, std::span<const uint64_t> chain, TimePoint now)
{
    this->expire(now);
    // The deepest block goes first: eviction from the other end then shortens chains and leaves no holes in them.
    for (size_t depth = chain.size(); depth > 0; --depth)
        this->confirm(target, chain[depth - 1], true, now);
}

void PrefixIndex::onCacheEvent(TargetId target, uint64_t seq, uint64_t block, bool added, TimePoint now)
{
    this->expire(now);
    TargetEvents& owner = this->eventsOf(target);
    bool late = owner.seenEvent && seq <= owner.lastSeq;
    if (late && owner.lastSeq - seq > this->settings.reorderWindow) {
        this->forget(target);
        late = false;
    } else if (owner.seenEvent && seq > owner.lastSeq + 1) {
        ++owner.gaps;
        this->dropUntrusted(target);
    }
    owner.seenEvent = true;
    owner.lastSeq = std::max(owner.lastSeq, seq);
    if (added) {
        // A late "add" may be older than a "drop" that was applied; ignoring it costs prefill at most.
        if (!late)
            this->confirm(target, block, false, now);
        return;
    }
    Slot slot = this->slotOf(target, block);
    if (slot == none)
        return;
    const Entry& entry = this->entries[slot];
    bool dispatchedSince = entry.lastDispatch && now - *entry.lastDispatch < this->settings.eventLag;
    if (!dispatchedSince)
        this->remove(slot);
}

void PrefixIndex::dropUntrusted(TargetId target)
{
    List& owned = this->events[raw(target)].entries;
    while (owned.tail != none && this->trust(this->entries[owned.tail]) < this->settings.minTrust)
        this->remove(owned.tail);
}

void PrefixIndex::forget(TargetId target)
{
    if (raw(target) >= this->events.size())
        return;
    TargetEvents& owner = this->events[raw(target)];
    while (owner.entries.tail != none)
        this->remove(owner.entries.tail);
    owner = {};
}

// ---- Reading
double PrefixIndex::trust(const Entry& entry) const
{
    uint32_t gaps = this->events[raw(entry.target)].gaps - entry.gapsAtConfirm;
    return gaps == 0 ? 1.0 : std::pow(this->settings.gapTrust, gaps);
}

bool PrefixIndex::isUsable(const Entry& entry, TimePoint now) const { return entry.lastUse + this->settings.entryLifetime > now; }

PrefixIndex::Slot PrefixIndex::slotOf(TargetId target, uint64_t block) const
{
    return this->pairs.find(pairHash(block, target), [&](Slot slot) {
        const Entry& entry = this->entries[slot];
        return entry.block == block && entry.target == target;
    });
}

PrefixIndex::Slot PrefixIndex::blockSlot(uint64_t block) const
{
    return this->blockSlots.find(block, [&](Slot slot) { return this->blocks[slot].hash == block; });
}

uint32_t PrefixIndex::holders(uint64_t block) const
{
    Slot slot = this->blockSlot(block);
    return slot == none ? 0 : this->blocks[slot].holders.count;
}

uint32_t PrefixIndex::tokensAt(const Entry& entry, size_t depth) const
{
    return static_cast<uint32_t>(static_cast<double>(depth * prefixBlockTokens) * this->trust(entry));
}

std::vector<PrefixMatch> PrefixIndex::find(std::span<const uint64_t> chain, size_t most, TimePoint now) const
{
    std::vector<PrefixMatch> matches;
    size_t depth = chain.size();
    uint32_t seen = 0; // holders of the block last visited; a shorter prefix is held by at least as many targets
    while (matches.size() < most && depth > 0) {
        // The longest prefix that more targets hold than the last one.
        auto begin = chain.begin();
        auto end = std::partition_point(begin, begin + static_cast<ptrdiff_t>(depth), [&](uint64_t b) { return this->holders(b) > seen; });
        depth = static_cast<size_t>(end - begin);
        if (depth == 0)
            break;
        const List& holding = this->blocks[this->blockSlot(chain[depth - 1])].holders;
        seen = holding.count;
        uint32_t visited = 0;
        for (Slot slot = holding.head; slot != none && matches.size() < most; slot = this->entries[slot].links[ByBlock].next) {
            // Bounded: a prefix that most targets hold is found by the router's sample as well.
            if (++visited > most * 4)
                break;
            const Entry& entry = this->entries[slot];
            auto sameTarget = [&](const PrefixMatch& m) { return m.target == entry.target; };
            if (this->isUsable(entry, now) && std::none_of(matches.begin(), matches.end(), sameTarget))
                matches.push_back({ .target = entry.target, .cachedTokens = this->tokensAt(entry, depth) });
        }
    }
    std::stable_sort(matches.begin(), matches.end(), [](const auto& a, const auto& b) { return a.cachedTokens > b.cachedTokens; });
    return matches;
}

uint32_t PrefixIndex::cachedTokens(TargetId target, std::span<const uint64_t> chain, TimePoint now) const
{
    auto held = [&](uint64_t block) {
        Slot slot = this->slotOf(target, block);
        return slot != none && this->isUsable(this->entries[slot], now);
    };
    // Most targets that are asked about hold nothing: one lookup settles it.
    if (chain.empty() || !held(chain.front()))
        return 0;
    auto end = std::partition_point(chain.begin() + 1, chain.end(), held);
    return this->tokensAt(this->entries[this->slotOf(target, *(end - 1))], static_cast<size_t>(end - chain.begin()));
}

size_t PrefixIndex::size() const { return this->pairs.size(); }

} // namespace guavapond
