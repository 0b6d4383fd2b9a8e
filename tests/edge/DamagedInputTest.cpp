// Passes randomly damaged copies of valid input to every parser of untrusted input, with a fixed seed. guavapond-fuzz uses the same
// parsers.
#include "Inputs.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>

using namespace guavapond::fuzz;

namespace {

// Removes, duplicates or replaces bytes, or cuts off the end of the text; one to four times.
std::string damage(std::string text, std::mt19937_64& generator)
{
    const std::string_view syntaxCharacters = "{}[]\",:0-9.eE\n\r\\\x00\xff";
    const auto below = [&](size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(generator); };
    for (size_t changes = 1 + below(4); changes > 0 && !text.empty(); --changes) {
        const size_t at = below(text.size());
        const size_t length = 1 + below(std::min<size_t>(8, text.size() - at));
        switch (below(5)) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, text.substr(at, length));
            break;
        case 2:
            text[at] = syntaxCharacters[below(syntaxCharacters.size())];
            break;
        case 3:
            text[at] = static_cast<char>(below(256));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

} // namespace

TEST_GROUP(DamagedInput) {};

// Guards against parsers that crash, hang or accept invalid values when peers, the store, callers or files deliver damaged input.
TEST(DamagedInput, IsParsedOrRejectedByEveryParser)
{
    constexpr int rounds = 4000;
    std::mt19937_64 generator(20261204);
    for (size_t kind = 0; kind < inputKindCount; ++kind) {
        const std::string sample(sampleInput(kind));
        readInput(kind, sample);
        readInput(kind, "");
        for (int round = 0; round < rounds; ++round)
            readInput(kind, damage(sample, generator));
    }
}
