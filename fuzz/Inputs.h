// Bytes from outside, fed to every reader of them: what a peer, the store, an operator, a caller or a file may bring. Each check ends the
// process by an assert where a reader takes what it must refuse.
//
// Index
//   inputKindCount, readInput
#pragma once

#include <cstddef>
#include <string_view>

namespace guavapond::fuzz {

constexpr size_t inputKindCount = 10;

void readInput(size_t kind, std::string_view bytes); // kind is below inputKindCount
std::string_view sampleInput(size_t kind);           // good bytes of that kind, to start from

} // namespace guavapond::fuzz
