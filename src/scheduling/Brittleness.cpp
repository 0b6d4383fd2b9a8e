// Counts what a brittle target turns away, and the places that are taken there without knowing their room.
#include "scheduling/Brittleness.h"

#include "scheduling/RequestFields.h"

#include <algorithm>
#include <cmath>

namespace guavapond::edge {

namespace {

constexpr Duration window = std::chrono::seconds(1); // in which operators count what a target turns away
constexpr double safeShare = 0.25;                   // of the limit, for homes and for guesses each; the rest is for what is under way then
constexpr double strictest = 1;                      // requests a second, where the stated number makes no sense
constexpr double mostSaved = 1;                      // tokens
// A statement normally ends with an answer that lacks it. One of many nodes without a home may send a target nothing for this long.
constexpr Duration namedTtl = std::chrono::minutes(2);

} // namespace

std::optional<double> parseBrittleness(std::span<const std::string_view> values)
{
    if (values.empty())
        return std::nullopt;
    const auto number = values.size() == 1 ? parseNumber<double>(values.front()) : std::nullopt;
    return number && std::isfinite(*number) && *number >= strictest ? *number : strictest;
}

bool Brittleness::onNamed(double perSecond, TimePoint now)
{
    const bool isNews = this->perSecond(now) != perSecond;
    if (!this->limit) {
        this->saved = 0; // what was not counted before must not be saved now
        this->filledAt = now;
    }
    this->limit = perSecond;
    this->namedAt = now;
    return isNews;
}

bool Brittleness::onNotNamed(TimePoint sentAt)
{
    if (!this->limit || sentAt <= this->namedAt)
        return false;
    this->limit.reset();
    return true;
}

void Brittleness::onRejected(TimePoint now) { this->rejections.at(this->nextRejection++ % keptRejections) = now; }

std::optional<double> Brittleness::perSecond(TimePoint now) const { return now - this->namedAt < namedTtl ? this->limit : std::nullopt; }

bool Brittleness::isExhausted(TimePoint now) const
{
    const auto recent = std::count_if(
        this->rejections.begin(), this->rejections.end(), [&](TimePoint at) { return at != TimePoint {} && now - at < window; });
    const double safe = std::min(safeShare * this->perSecond(now).value_or(0), static_cast<double>(keptRejections));
    return this->isSet(now) && static_cast<double>(recent) >= std::max(safe, 1.0);
}

double Brittleness::tokens(size_t nodes, TimePoint now) const
{
    const double perSecond = safeShare * this->limit.value_or(0) / static_cast<double>(std::max<size_t>(nodes, 1));
    return std::min(mostSaved, this->saved + perSecond * toSeconds(std::max(now - this->filledAt, Duration::zero())));
}

// Also after the statement has run out: the answer to the next request tells whether it still holds.
bool Brittleness::mayGuess(size_t nodes, TimePoint now) const { return !this->limit || this->tokens(nodes, now) >= 1; }

void Brittleness::guess(size_t nodes, TimePoint now)
{
    this->saved = std::max(this->tokens(nodes, now) - 1, 0.0);
    this->filledAt = now;
}

} // namespace guavapond::edge
