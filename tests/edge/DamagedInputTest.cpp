// Plays seeded damage of good bytes against every reader of bytes from outside. The same readers stand behind guavapond-fuzz.
#include "Inputs.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>

using namespace guavapond::fuzz;

namespace {

// Drops, doubles, exchanges or overwrites bytes in one to four places.
std::string damage(std::string text, std::mt19937_64& generator)
{
    const std::string_view favourites = "{}[]\",:0-9.eE\n\r\\\x00\xff";
    const auto below = [&](size_t bound) { return std::uniform_int_distribution<size_t>(0, bound - 1)(generator); };
    for (size_t places = 1 + below(4); places > 0 && !text.empty(); --places) {
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
            text[at] = favourites[below(favourites.size())];
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

// Guards against a process that ends, hangs or believes something because of bytes that nobody should send.
TEST(DamagedInput, IsReadOrRefusedByEveryReader)
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
