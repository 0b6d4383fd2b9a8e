// Parsers for the values of a request's header fields.
//
// Index
//   parseNumber         a number and nothing else
//   TokenCount
//   parseTokenCount     PROMPT,MOST_OUTPUT
//   parsePromptParts    ID:TOKENS entries, joined by commas
//   sharedPartIds       the ids of those that other requests may hold too
//   partKey, partText   key of a part by its id, and its text
//   requestKey          what a request and its repeats have in common
#pragma once

#include "scheduling/PromptQuarantine.h"
#include "scheduling/TargetPool.h"

#include <charconv>

namespace guavapond::edge {

// Empty if the text is not a number, has other characters before or after it, or is out of range.
template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

struct TokenCount {
    uint64_t prompt = 0;    // tokens of the prompt
    uint64_t maxOutput = 0; // upper limit of the output
};
// Empty unless the field holds exactly two counts that fit 32 bits.
std::optional<TokenCount> parseTokenCount(std::string_view field);

// Parts of the prompt in order, each with a hash over its id and those of all earlier parts. The list ends before the first malformed
// entry: a shorter prefix only makes the prediction of a target's prefix cache less accurate.
std::vector<PromptPart> parsePromptParts(std::string_view field);

// Ids of all parts but the last, which belongs to the request or its session. The views point into `field`.
std::vector<std::string_view> sharedPartIds(std::string_view field);
std::string partText(PartKey part);   // in hexadecimal
PartKey partKey(std::string_view id); // its value, if it is a hexadecimal number of up to 64 bits; else a hash
// `caller`: name of the workspace; empty for a request without a key.
RequestKey requestKey(std::string_view method, std::string_view path, std::string_view caller, std::string_view body);

} // namespace guavapond::edge
