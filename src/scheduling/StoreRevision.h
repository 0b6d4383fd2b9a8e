// Orders the store's revisions across its eras. When the store comes back from an older copy, it names a new era, and gives revisions out
// again that it gave out before. A StoreRevision holds both, so that one of a later era is greater than all of the earlier ones.
//
// Index
//   StoreRevision, inEra, eraOf, revisionInEra
#pragma once

#include <cstdint>

namespace guavapond::edge {

using StoreRevision = uint64_t; // the era in the upper bits; 0: none

constexpr unsigned revisionBits = 40; // a thousand changes a second for 34 years

constexpr StoreRevision inEra(uint64_t era, uint64_t revision) { return (era << revisionBits) | revision; }
constexpr uint64_t eraOf(StoreRevision revision) { return revision >> revisionBits; }
constexpr uint64_t revisionInEra(StoreRevision revision)
{
    return revision & ((uint64_t { 1 } << revisionBits) - 1);
} // as the store names it

} // namespace guavapond::edge
