// Remembers which targets hold which prompt prefixes in their KV cache. Bounded; a wrong entry costs prefill, nothing else.
//
// Index
//   hashPrefix    chained hashes of the full blocks of a prompt
//   PrefixIndex   own dispatches and cache events in, cached token counts out
#pragma once

#include "core/Types.h"

namespace guavapond {

constexpr uint32_t prefixBlockTokens = 256; // tokens in a block
constexpr uint32_t charsPerToken = 4;       // characters; estimate where the caller sends text

// One hash for each full block, each chained to the one before; the model is part of the chain.
std::vector<uint64_t> hashPrefix(std::string_view model, std::string_view prompt);

struct PrefixSettings {
    size_t maxEntries = 200000;                        // block and target pairs
    Duration entryLifetime = std::chrono::minutes(10); // without a use
    double gapTrust = 0.5;                             // factor on a target's trust for each gap in its events
    double minTrust = 0.1;                             // below it the target's entries are dropped
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
    void forget(TargetId target);                                                                // the target restarted or left

    // Targets with the longest cached prefix first; at most `most`.
    std::vector<PrefixMatch> find(std::span<const uint64_t> blocks, size_t most, TimePoint now) const;
    uint32_t cachedTokens(TargetId target, std::span<const uint64_t> blocks, TimePoint now) const;
    size_t size() const;

private:
    PrefixSettings settings;
};

} // namespace guavapond
