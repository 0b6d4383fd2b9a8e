// Parses request limits and keeps the last statement of a target.
#include "edge/RequestLimit.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace guavapond::edge {

namespace {

constexpr size_t maxNumberLength = 32;                             // characters; a longer text is no sensible figure
constexpr uint32_t answersToEnd = 2;                               // consecutive answers without a limit that end it
constexpr Duration changeReportInterval = std::chrono::seconds(1); // between reports of a limit that changes all the time

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// Digits with at most one decimal point: no sign, exponent, infinity or NaN.
std::optional<double> parseDecimal(std::string_view text)
{
    const bool isDecimal = text.find_first_not_of("0123456789.") == std::string_view::npos;
    if (text.empty() || text.size() > maxNumberLength || !isDecimal)
        return std::nullopt;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::optional<double> parseRequestLimit(std::span<const std::string_view> values)
{
    std::optional<double> smallest;
    for (std::string_view value : values) {
        for (bool isLast = false; !isLast;) {
            const size_t comma = value.find(',');
            isLast = comma == std::string_view::npos;
            const auto number = parseDecimal(trim(value.substr(0, comma)));
            if (number && (!smallest || *number < *smallest))
                smallest = number;
            value.remove_prefix(isLast ? value.size() : comma + 1);
        }
    }
    return smallest;
}

std::string_view limitChangeName(LimitChange change)
{
    static constexpr std::array<std::string_view, 4> names { "none", "set", "changed", "ended" };
    return names.at(static_cast<size_t>(change));
}

LimitChange RequestLimit::onNamed(double perSecond, TimePoint now)
{
    const std::optional<double> previous = this->last.perSecond;
    this->last = { perSecond, now };
    this->answersWithout = 0;
    if (previous && (*previous == perSecond || now - this->changeReportedAt < changeReportInterval))
        return LimitChange::None;
    this->changeReportedAt = now;
    return previous ? LimitChange::Changed : LimitChange::Set;
}

LimitChange RequestLimit::onNotNamed(TimePoint sentAt, TimePoint now)
{
    if (!this->isSet() || sentAt <= this->last.at || ++this->answersWithout < answersToEnd)
        return LimitChange::None;
    this->last = { std::nullopt, now };
    this->changeReportedAt = now;
    return LimitChange::Ended;
}

} // namespace guavapond::edge
