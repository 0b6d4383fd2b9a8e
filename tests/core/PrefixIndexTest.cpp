// Tests of the prefix index: lookups, lost and late cache events, expiry and the memory bound.
#include "core/PrefixIndex.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace std::chrono_literals;

namespace {

constexpr TargetId first { 0 };
constexpr TargetId second { 1 };
constexpr TargetId third { 2 };

TimePoint at(Duration sinceStart) { return TimePoint {} + sinceStart; }

// Chains with the same seed share their first blocks.
std::vector<uint64_t> chainOf(size_t blocks, uint64_t seed = 1)
{
    std::vector<uint64_t> chain;
    for (size_t i = 0; i < blocks; ++i)
        chain.push_back(seed * 1000000 + i);
    return chain;
}

} // namespace

TEST_GROUP(PrefixIndex) {};

// Guards against equal blocks behind different beginnings, or of different models, that count as one cached prefix.
TEST(PrefixIndex, HashesAreChainedAndBelongToAModel)
{
    constexpr size_t blockChars = prefixBlockTokens * charsPerToken;
    std::string letter(3 * blockChars + 5, 'x');
    auto hashes = hashPrefix("brief", letter);
    LONGS_EQUAL(3, hashes.size());
    CHECK(hashes[0] != hashes[1]);
    CHECK(hashes != hashPrefix("tags", letter));
    letter[0] = 'y';
    CHECK(hashes[2] != hashPrefix("brief", letter)[2]);
    letter[0] = 'x';
    letter[2 * blockChars] = 'y';
    CHECK(hashes[1] == hashPrefix("brief", letter)[1]);
}

// Guards against a shorter prefix that hides a longer one.
TEST(PrefixIndex, LongestPrefixComesFirst)
{
    PrefixIndex index({});
    index.onDispatched(first, chainOf(3), at(0s));
    index.onDispatched(second, chainOf(40), at(0s));
    index.onDispatched(third, chainOf(12), at(0s));
    auto matches = index.find(chainOf(100), 2, at(1s));
    LONGS_EQUAL(2, matches.size());
    CHECK(matches[0].target == second);
    LONGS_EQUAL(40 * prefixBlockTokens, matches[0].cachedTokens);
    CHECK(matches[1].target == third);
    LONGS_EQUAL(3 * prefixBlockTokens, index.cachedTokens(first, chainOf(100), at(1s)));
    CHECK(index.find(chainOf(100, 2), 2, at(1s)).empty());
}

// Guards against stale holders at the head of a block's list that keep fresh ones from being found, or are returned themselves.
TEST(PrefixIndex, EntriesExpireWithoutAUse)
{
    PrefixIndex index({ .entryLifetime = 60s });
    index.onDispatched(first, chainOf(4), at(0s));
    index.onDispatched(second, chainOf(2), at(50s));
    auto matches = index.find(chainOf(4), 3, at(70s));
    LONGS_EQUAL(1, matches.size());
    CHECK(matches[0].target == second);
    LONGS_EQUAL(0, index.cachedTokens(first, chainOf(4), at(70s)));
    index.onDispatched(third, chainOf(1, 9), at(70s));
    LONGS_EQUAL(3, index.size());
}

// Guards against memory that grows with the prompts seen, and against holes in the chains that remain.
TEST(PrefixIndex, MemoryIsBoundedAndEvictionShortensChains)
{
    PrefixIndex index({ .maxEntries = 100 });
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        index.onDispatched(TargetId { static_cast<uint32_t>(seed % 7) }, chainOf(30, seed), at(Duration(seed)));
        CHECK(index.size() <= 100);
    }
    LONGS_EQUAL(100, index.size());
    LONGS_EQUAL(30 * prefixBlockTokens, index.cachedTokens(TargetId { 50 % 7 }, chainOf(30, 50), at(1ms)));
    LONGS_EQUAL(10 * prefixBlockTokens, index.cachedTokens(TargetId { 47 % 7 }, chainOf(30, 47), at(1ms)));
    index.onDispatched(first, chainOf(500, 99), at(1s));
    LONGS_EQUAL(100, index.size());
    LONGS_EQUAL(100 * prefixBlockTokens, index.cachedTokens(first, chainOf(500, 99), at(1s)));
}

// Guards against cache events that are lost, late, repeated or of a restarted target.
TEST(PrefixIndex, EventFaults)
{
    struct Event {
        uint64_t seq;
        size_t block; // of chainOf(4)
        bool added;
    };
    struct Case {
        const char* name;
        std::vector<Event> events;
        uint32_t tokens; // cached afterwards, of chainOf(4); all four blocks were announced by events 1 to 4
    };
    constexpr uint32_t block = prefixBlockTokens;
    const std::vector<Case> cases {
        { "in order", { { 5, 3, false } }, 3 * block },
        { "one gap halves the trust", { { 7, 9, true } }, 2 * block },
        { "a gap counts once whatever its length", { { 500, 9, true } }, 2 * block },
        { "two gaps quarter it", { { 7, 9, true }, { 9, 9, true } }, block },
        { "entries below the least trust are dropped", { { 6, 9, true }, { 8, 9, true }, { 10, 9, true }, { 12, 9, true } }, 0 },
        { "an entry confirmed after the gap is trusted", { { 7, 0, true } }, 2 * block },
        { "a late add is ignored", { { 5, 3, false }, { 4, 3, true } }, 3 * block },
        { "a late drop is applied", { { 2, 3, false } }, 3 * block },
        { "a repeated drop is harmless", { { 5, 3, false }, { 5, 3, false } }, 3 * block },
        { "a drop of an unknown block is harmless", { { 5, 77, false } }, 4 * block },
    };
    for (const Case& c : cases) {
        PrefixIndex index({});
        auto chain = chainOf(100);
        for (size_t i = 0; i < 4; ++i)
            index.onCacheEvent(first, i + 1, chain[i], true, at(0s));
        for (const Event& event : c.events)
            index.onCacheEvent(first, event.seq, chain[event.block], event.added, at(1s));
        LONGS_EQUAL_TEXT(c.tokens, index.cachedTokens(first, chainOf(4), at(2s)), c.name);
    }
}

// Guards against a count of events that starts over and is taken for late events for ever.
TEST(PrefixIndex, EventCountThatStartsOverMeansARestart)
{
    PrefixIndex index({});
    auto chain = chainOf(4);
    index.onCacheEvent(first, 5000, chain[0], true, at(0s));
    index.onCacheEvent(first, 1, chain[2], true, at(1s));
    LONGS_EQUAL(1, index.size());
    index.onCacheEvent(first, 2, chain[3], true, at(1s));
    LONGS_EQUAL(2, index.size());
}

// Guards against a drop that is older than this node's newer dispatch of the same block: events arrive late.
TEST(PrefixIndex, LateDropDoesNotUndoANewerDispatch)
{
    PrefixIndex index({ .eventLag = 2s });
    auto chain = chainOf(2);
    index.onDispatched(first, chain, at(10s));
    index.onCacheEvent(first, 1, chain[1], false, at(11s));
    LONGS_EQUAL(2 * prefixBlockTokens, index.cachedTokens(first, chain, at(11s)));
    index.onCacheEvent(first, 2, chain[1], false, at(13s));
    LONGS_EQUAL(prefixBlockTokens, index.cachedTokens(first, chain, at(13s)));
}

// Guards against routing by the cache of a process that is gone.
TEST(PrefixIndex, ForgottenTargetHoldsNothing)
{
    PrefixIndex index({});
    index.onDispatched(first, chainOf(5), at(0s));
    index.onDispatched(second, chainOf(5), at(0s));
    index.forget(first);
    index.forget(TargetId { 1000 });
    LONGS_EQUAL(5, index.size());
    LONGS_EQUAL(0, index.cachedTokens(first, chainOf(5), at(1s)));
    LONGS_EQUAL(1, index.find(chainOf(5), 3, at(1s)).size());
}

// Guards against a lookup whose cost or result is spoilt by a prefix that every target holds.
TEST(PrefixIndex, PrefixHeldByAllDoesNotHideTheLongOne)
{
    PrefixIndex index({});
    for (uint32_t target = 0; target < 500; ++target)
        index.onDispatched(TargetId { target }, chainOf(2), at(0s));
    index.onDispatched(TargetId { 321 }, chainOf(8), at(0s));
    auto matches = index.find(chainOf(8), 3, at(1s));
    LONGS_EQUAL(3, matches.size());
    LONGS_EQUAL(321, raw(matches[0].target));
    LONGS_EQUAL(8 * prefixBlockTokens, matches[0].cachedTokens);
}
