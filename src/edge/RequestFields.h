// Values of a request's header fields.
//
// Index
//   lowerCase
//   parseNumber         a whole number and nothing else
//   parseTokenCount     PROMPT,MOST_OUTPUT
//   parsePromptParts    ID:TOKENS entries
#pragma once

#include "edge/TargetPool.h"

#include <charconv>

namespace guavapond::edge {

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

struct TokenCount {
    uint64_t prompt = 0;
    uint64_t maxOutput = 0;
};
std::optional<TokenCount> parseTokenCount(std::string_view field);

// Entries that can't be read end the list: a shorter prefix only makes a wrong guess about a cache.
std::vector<PromptPart> parsePromptParts(std::string_view field);

} // namespace guavapond::edge
