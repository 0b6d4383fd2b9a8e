// Passes untrusted bytes to each parser of data from peers, the store, operators, callers or files, for fuzzing and tests with damaged
// input. Aborts the process if a parser accepts input that it must reject, or breaks another of its guarantees.
//
// Index
//   inputKindCount   number of parsers
//   readInput        passes bytes to one parser
//   sampleInput      valid input of one parser
#pragma once

#include <cstddef>
#include <string_view>

namespace guavapond::fuzz {

constexpr size_t inputKindCount = 10;

void readInput(size_t kind, std::string_view bytes); // kind: index of the parser, below inputKindCount
std::string_view sampleInput(size_t kind);           // valid input for the parser, as a seed for mutations

} // namespace guavapond::fuzz
