// Parsers for token counts and prompt parts in header fields.
#include "scheduling/RequestFields.h"

#include "scheduling/WorkspaceQuota.h"

#include <sstream>

namespace guavapond::edge {

namespace {

constexpr uint64_t chainSeed = 0x9e3779b97f4a7c15ULL; // start of the hash chain over prompt parts

std::string_view trimLeadingSpaces(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    return text;
}

struct PartEntry {
    std::string_view id;
    uint32_t tokens = 0;
};

// Removes the first entry from `list`. Empty: the list ends here, or the entry is malformed.
std::optional<PartEntry> takeEntry(std::string_view& list)
{
    const size_t comma = std::min(list.find(','), list.size());
    const std::string_view entry = trimLeadingSpaces(list.substr(0, comma));
    list.remove_prefix(std::min(comma + 1, list.size()));
    const size_t colon = entry.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto tokens = parseNumber<uint32_t>(entry.substr(colon + 1));
    if (!tokens)
        return std::nullopt;
    return PartEntry { entry.substr(0, colon), *tokens };
}

} // namespace

std::optional<TokenCount> parseTokenCount(std::string_view field)
{
    const size_t comma = field.find(',');
    if (comma == std::string_view::npos)
        return std::nullopt;
    const auto prompt = parseNumber<uint32_t>(field.substr(0, comma));
    const auto output = parseNumber<uint32_t>(trimLeadingSpaces(field.substr(comma + 1)));
    if (!prompt || !output)
        return std::nullopt;
    return TokenCount { *prompt, *output };
}

std::vector<PromptPart> parsePromptParts(std::string_view field)
{
    std::vector<PromptPart> parts;
    uint64_t chain = chainSeed;
    while (const auto entry = takeEntry(field)) {
        chain = nameHash(std::to_string(chain) + std::string(entry->id));
        parts.push_back({ chain, entry->tokens });
    }
    return parts;
}

std::vector<std::string_view> sharedPartIds(std::string_view field)
{
    std::vector<std::string_view> ids;
    while (const auto entry = takeEntry(field))
        ids.push_back(entry->id);
    if (!ids.empty())
        ids.pop_back();
    return ids;
}

std::string partText(PartKey part)
{
    std::ostringstream text;
    text << std::hex << part;
    return text.str();
}

PartKey partKey(std::string_view id)
{
    PartKey value = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), value, 16);
    return error == std::errc() && end == id.data() + id.size() ? value : nameHash(lowerCase(id));
}

RequestKey requestKey(std::string_view method, std::string_view path, std::string_view caller, std::string_view body)
{
    // No field can hold the separator, and the body has a hash of its own, so that it is not copied.
    std::string text;
    for (const std::string_view field : { method, path, caller })
        (text += field) += '\n';
    return nameHash(text + std::to_string(nameHash(body)));
}

} // namespace guavapond::edge
