// Remembers which targets hold which prompt prefixes in their KV cache. Bounded; a wrong entry costs prefill, nothing else.
//
// Index
//   hashPrefix    chained hashes of the full blocks of a prompt
//   PrefixIndex   own dispatches and cache events in, cached token counts out
#pragma once

#include "core/SlotTable.h"
#include "core/Types.h"

#include <array>

namespace guavapond {

constexpr uint32_t prefixBlockTokens = 256; // tokens in a block
constexpr uint32_t charsPerToken = 4; // characters; estimate where the caller sends text

// One hash for each full block, each chained to the one before; the model is part of the chain.
std::vector<uint64_t> hashPrefix(std::string_view model, std::string_view prompt);

struct PrefixSettings {
    size_t maxEntries = 200000; // block and target pairs
    Duration entryLifetime = std::chrono::minutes(10); // without a use
    double gapTrust = 0.5; // factor on a target's trust for each gap in its events
    double minTrust = 0.1; // below it the target's entries are dropped
    Duration eventLag = std::chrono::seconds(2); // a drop this soon after an own dispatch may be older than the dispatch
    uint64_t reorderWindow = 1024; // events; a number further below the last one means that the target restarted its count
};

struct PrefixMatch {
    TargetId target {};
    uint32_t cachedTokens = 0; // tokens, already scaled by the trust in that target's entries
};

class PrefixIndex {
public:
    explicit PrefixIndex(const PrefixSettings& settings);

    void onDispatched(TargetId target, std::span<const uint64_t> blocks, TimePoint now);
    void onCacheEvent(TargetId target, uint64_t seq, uint64_t block, bool added, TimePoint now); // detects gaps by seq
    void forget(TargetId target); // the target restarted or left

    // Targets with the longest cached prefix first; at most `most`.
    std::vector<PrefixMatch> find(std::span<const uint64_t> blocks, size_t most, TimePoint now) const;
    uint32_t cachedTokens(TargetId target, std::span<const uint64_t> blocks, TimePoint now) const;
    size_t size() const;

private:
    using Slot = uint32_t;
    static constexpr Slot none = UINT32_MAX;

    enum ListKind : uint8_t {
        ByUse, // all entries, the last used first: eviction and expiry
        ByTarget, // entries of one target, the last confirmed first: lost trust, forget()
        ByBlock, // entries of one block, the last inserted first: find()
        ListKinds,
    };
    struct List {
        Slot head = none;
        Slot tail = none;
        uint32_t count = 0;
    };
    struct Links {
        Slot previous = none;
        Slot next = none;
    };
    struct Entry {
        uint64_t block = 0;
        TimePoint lastUse {};
        std::optional<TimePoint> lastDispatch {}; // by this node
        TargetId target {};
        uint32_t gapsAtConfirm = 0; // the target's gap count when a dispatch or an event last confirmed the entry
        std::array<Links, ListKinds> links {};
    };
    struct TargetEvents {
        List entries;
        uint64_t lastSeq = 0;
        bool seenEvent = false;
        uint32_t gaps = 0;
    };
    struct Block {
        uint64_t hash = 0;
        List holders;
    };

    TargetEvents& eventsOf(TargetId target);
    void confirm(TargetId target, uint64_t block, bool dispatched, TimePoint now);
    void remove(Slot slot);
    void expire(TimePoint now);
    void dropUntrusted(TargetId target);
    double trust(const Entry& entry) const;
    bool isUsable(const Entry& entry, TimePoint now) const;
    Slot slotOf(TargetId target, uint64_t block) const;
    Slot blockSlot(uint64_t block) const;
    Block& blockFor(uint64_t block);
    uint32_t holders(uint64_t block) const;
    uint32_t tokensAt(const Entry& entry, size_t depth) const;
    void unlink(List& list, ListKind kind, Slot slot);
    void pushFront(List& list, ListKind kind, Slot slot);

    PrefixSettings settings;
    std::vector<Entry> entries; // invariant: at most maxEntries; slots in freeEntries are unused
    std::vector<Slot> freeEntries;
    SlotTable pairs; // block and target to slot of entries
    std::vector<Block> blocks; // invariant: each has at least one holder; slots in freeBlocks are unused
    std::vector<Slot> freeBlocks;
    SlotTable blockSlots; // hash to slot of blocks
    List useOrder;
    std::vector<TargetEvents> events; // by target id
};

} // namespace guavapond
