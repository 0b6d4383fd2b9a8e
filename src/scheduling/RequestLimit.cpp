// Parses request limits and keeps the last statement of a target.
#include "scheduling/RequestLimit.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace guavapond::edge {

namespace {

constexpr size_t maxNumberLength = 32; // characters; a longer text is no sensible figure
constexpr uint32_t answersToEnd = 2;   // consecutive answers without a limit that end it
// A report counts as newer than the own statement only beyond this difference: the time that it took to arrive makes it look newer.
constexpr Duration reportMargin = std::chrono::milliseconds(50);
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
    this->firstHand = true;
    return this->set(perSecond, now, now);
}

LimitChange RequestLimit::set(double perSecond, TimePoint at, TimePoint now)
{
    const std::optional<double> previous = this->last.perSecond;
    this->last = { perSecond, at };
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
    return this->end(now);
}

LimitChange RequestLimit::end(TimePoint at)
{
    this->last = { std::nullopt, at };
    this->firstHand = false;
    return LimitChange::Ended;
}

LimitChange RequestLimit::onEnded(TimePoint at)
{
    return this->isSet() && at > this->last.at + reportMargin ? this->end(at) : LimitChange::None;
}

LimitChange RequestLimit::onReport(const LimitReport& report, TimePoint now)
{
    const TimePoint at = now - report.age;
    switch (report.kind) {
    case LimitReport::Kind::NotNamed:
        return this->onNotNamed(now - report.sentAge, at);
    case LimitReport::Kind::Ended:
        return this->onEnded(at);
    case LimitReport::Kind::Named:
        break;
    }
    const bool isNews
        = at > this->last.at + reportMargin || (this->isSet() && at > this->last.at && *this->last.perSecond != report.perSecond);
    if (!isNews)
        return LimitChange::None;
    this->firstHand = this->isFirstHand();
    return this->set(report.perSecond, at, now);
}

} // namespace guavapond::edge
