// Text format of tickets. The incarnation has 16 digits, the sequence number no leading zeros, all digits are lower case.
#include "core/Ticket.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>

namespace guavapond {

namespace {

constexpr std::string_view prefix = "gp1";
constexpr size_t fieldCount = 5;
constexpr size_t maxHexDigits = 16;

bool isNodeCharacter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'; }

bool isLowerHex(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

std::optional<uint64_t> parseHex(std::string_view text)
{
    if (text.empty() || text.size() > maxHexDigits || !std::all_of(text.begin(), text.end(), isLowerHex))
        return std::nullopt;
    uint64_t value = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string hexText(uint64_t value)
{
    std::array<char, maxHexDigits> digits {};
    auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
    return { digits.data(), end };
}

Failure malformed(std::string message) { return { FailureKind::BadRequest, Disposition::NotRun, "ticket: " + std::move(message), {} }; }

// Empty optional: not exactly fieldCount fields.
std::optional<std::array<std::string_view, fieldCount>> splitFields(std::string_view text)
{
    std::array<std::string_view, fieldCount> fields;
    for (size_t i = 0; i + 1 < fieldCount; ++i) {
        size_t dot = text.find('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        fields.at(i) = text.substr(0, dot);
        text.remove_prefix(dot + 1);
    }
    if (text.find('.') != std::string_view::npos)
        return std::nullopt;
    fields.back() = text;
    return fields;
}

} // namespace

bool isNodeName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNodeNameLength && std::all_of(name.begin(), name.end(), isNodeCharacter);
}

std::string ticketText(const Ticket& ticket)
{
    assert(isNodeName(ticket.owner.node));
    std::string incarnation = hexText(ticket.owner.incarnation);
    incarnation.insert(0, maxHexDigits - incarnation.size(), '0');
    std::string text(prefix);
    text += '.';
    text += ticket.owner.node;
    text += '.';
    text += incarnation;
    text += '.';
    text += hexText(ticket.sequence);
    text += ticket.witnessed ? ".w" : ".u";
    return text;
}

Result<Ticket> parseTicket(std::string_view text)
{
    if (text.size() > maxTicketLength)
        return malformed("longer than " + std::to_string(maxTicketLength) + " characters");
    auto fields = splitFields(text);
    if (!fields || fields->at(0) != prefix)
        return malformed("expected gp1.<node>.<incarnation>.<sequence>.<w|u>");
    auto [start, node, incarnationText, sequenceText, mode] = *fields;
    if (!isNodeName(node))
        return malformed("the node name has to be 1 to 64 letters, digits, '-' or '_'");
    auto incarnation = parseHex(incarnationText);
    if (!incarnation || incarnationText.size() != maxHexDigits)
        return malformed("the incarnation has to be 16 lower-case hexadecimal digits");
    auto sequence = parseHex(sequenceText);
    if (!sequence || sequenceText.front() == '0')
        return malformed("the sequence number has to be 1 to 16 lower-case hexadecimal digits without leading zeros");
    if (mode != "w" && mode != "u")
        return malformed("the last field has to be w or u");
    return Ticket { { std::string(node), *incarnation }, *sequence, mode == "w" };
}

} // namespace guavapond
