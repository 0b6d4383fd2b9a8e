// Test of the hash table of the prefix index against the standard one.
#include "core/SlotTable.h"

#include <random>
#include <unordered_map>

#include <CppUTest/TestHarness.h>

using namespace guavapond;

TEST_GROUP(SlotTable) {};

// Guards against keys that are lost or found twice after others were erased: few hash values, so that runs of cells are long and wrap.
TEST(SlotTable, AgreesWithAStandardMap)
{
    for (uint64_t hashes : { 1ULL, 7ULL, 61ULL, 1ULL << 40 }) {
        std::mt19937_64 random(hashes);
        auto hashOf = [&](uint64_t key) { return ~uint64_t { 0 } - key * 0x9e3779b97f4a7c15ULL % hashes; };
        SlotTable table;
        std::unordered_map<uint64_t, uint32_t> expected;
        std::vector<uint64_t> keyOfSlot;
        for (int step = 0; step < 5000; ++step) {
            uint64_t key = random() % 200;
            auto known = expected.find(key);
            auto isKey = [&](uint32_t slot) { return keyOfSlot[slot] == key; };
            LONGS_EQUAL(known == expected.end() ? SlotTable::none : known->second, table.find(hashOf(key), isKey));
            if (known == expected.end()) {
                keyOfSlot.push_back(key);
                table.insert(hashOf(key), static_cast<uint32_t>(keyOfSlot.size() - 1));
                expected.emplace(key, static_cast<uint32_t>(keyOfSlot.size() - 1));
            } else {
                table.erase(hashOf(key), known->second);
                expected.erase(known);
            }
            LONGS_EQUAL(expected.size(), table.size());
        }
    }
}
