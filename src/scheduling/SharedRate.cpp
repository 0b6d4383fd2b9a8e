// Keeps the rate of one target: what asks for it, and the tokens of this node's share.
#include "scheduling/SharedRate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace guavapond::edge {

namespace {

// Shares by rank. They add up to 1.45; with the tokens that they may save (2, 1, 1 and 1) at most 5.8 times a limit and 5 requests
// arrive in 4 s, where 6 times the limit and 5 requests are tolerated, and 1.45 times a warm-up's rate and 5 requests in 1 s.
constexpr std::array<double, 4> shares { 1.0, 0.3, 0.1, 0.05 };
constexpr double sumOfShares = 1.45;
constexpr double sumOfSaved = 5;
constexpr double savedTokens = 1;       // that a node may save
constexpr double savedTokensOfHome = 2; // that rank 0 may save at a rate of at least 1 request per second
constexpr double minPerSecond = 0.1;    // a target that takes less gets a request now and then, so that it can say something else
constexpr double roundingMargin = 1e-9; // tokens
constexpr Duration longestWarmUp = std::chrono::minutes(1); // a longer one is stated again while it lasts
// A read of the same statement gives an end that differs by the time it took; only a later one is news.
constexpr Duration endMargin = std::chrono::milliseconds(50);

} // namespace

double shareOfRank(size_t rank) { return rank < shares.size() ? shares.at(rank) : 0; }

std::string_view rateKindName(RateKind kind)
{
    static constexpr std::array<std::string_view, rateKindCount> names { "none", "limit", "warm_up", "may_warm_up" };
    return names.at(static_cast<size_t>(kind));
}

WarmUpTerms checkedTerms(double perSecond, double seconds, const WarmUpTolerance& tolerance, bool& isSound)
{
    const bool isRateSound = std::isfinite(perSecond) && perSecond >= 0;
    const double longest = toSeconds(longestWarmUp);
    const bool isTimeSound = std::isfinite(seconds) && seconds >= 0 && seconds <= longest;
    isSound = isRateSound && isTimeSound;
    if (isRateSound && perSecond == 0)
        return {};
    const double rate = isRateSound ? perSecond : minPerSecond;
    const double tolerated = (rate * tolerance.overrun + tolerance.allowance - sumOfSaved) / sumOfShares;
    return { std::max(std::min(rate, tolerated), minPerSecond), fromSeconds(isTimeSound ? seconds : longest) };
}

LimitChange SharedRate::onNamed(double perSecond, TimePoint now)
{
    this->beginIfUnset(now);
    return this->named.onNamed(perSecond, now);
}

LimitChange SharedRate::onReport(const LimitReport& report, TimePoint now)
{
    this->beginIfUnset(now);
    return this->named.onReport(report, now);
}

void SharedRate::setWarmUpRate(double perSecond, TimePoint now)
{
    this->beginIfUnset(now);
    this->warmUpPerSecond = perSecond;
}

void SharedRate::setEntryOld(bool value, TimePoint now)
{
    this->beginIfUnset(now);
    this->entryOld = value;
}

bool SharedRate::onWarmUp(Duration left, bool isOwn, TimePoint now)
{
    if (left <= Duration::zero())
        return false;
    this->beginIfUnset(now);
    const TimePoint until = now + std::min(left, longestWarmUp);
    const bool isNews = until > this->warmUntil + endMargin;
    this->warmUntil = std::max(this->warmUntil, until);
    if (isOwn)
        this->ownWarmUntil = std::max(this->ownWarmUntil, until);
    return isNews;
}

void SharedRate::onLost() { this->lost = true; }

void SharedRate::onReturned(Duration warmUpTime, TimePoint now)
{
    if (!this->lost)
        return;
    this->beginIfUnset(now);
    this->lost = false;
    this->mayWarmUntil = std::max(this->mayWarmUntil, now + warmUpTime);
}

void SharedRate::onNewProcess()
{
    this->named = {};
    this->lost = false;
}

Duration SharedRate::warmUpLeft(TimePoint now) const { return std::max(this->warmUntil - now, Duration::zero()); }

Duration SharedRate::ownWarmUpLeft(TimePoint now) const
{
    return std::max(std::max(this->ownWarmUntil, this->mayWarmUntil) - now, Duration::zero());
}

bool SharedRate::mayWarmUp(TimePoint now) const { return this->lost || this->entryOld || now < this->mayWarmUntil; }

bool SharedRate::isWarmUpCounted(TimePoint now) const
{
    return this->warmUpPerSecond > 0 && (now < this->warmUntil || this->mayWarmUp(now));
}

RateKind SharedRate::kind(TimePoint now) const
{
    const bool isWarmUp = this->isWarmUpCounted(now);
    const auto& perSecondNamed = this->named.statement().perSecond;
    if (perSecondNamed && (!isWarmUp || *perSecondNamed <= this->warmUpPerSecond))
        return RateKind::Limit;
    if (!isWarmUp)
        return RateKind::None;
    return now < this->warmUntil ? RateKind::WarmUp : RateKind::MayBeNew;
}

double SharedRate::perSecond(TimePoint now) const
{
    const double limit = this->kind(now) == RateKind::Limit ? this->named.statement().perSecond.value_or(0) : this->warmUpPerSecond;
    return std::max(limit, minPerSecond);
}

// What was not counted before must not be saved now.
void SharedRate::beginIfUnset(TimePoint now)
{
    if (this->isSet(now))
        return;
    this->saved = 0;
    this->filledAt = now;
}

double SharedRate::grantsPerSecond(double share, TimePoint now) const { return this->perSecond(now) * share; }

double SharedRate::tokens(double share, TimePoint now) const
{
    const double most = share >= 1 && this->perSecond(now) >= 1 ? savedTokensOfHome : savedTokens;
    const double gained = this->grantsPerSecond(share, now) * toSeconds(std::max(now - this->filledAt, Duration::zero()));
    return std::min(most, this->saved + gained);
}

bool SharedRate::hasRoom(double share, TimePoint now) const
{
    return !this->isSet(now) || (share > 0 && this->tokens(share, now) >= 1 - roundingMargin);
}

void SharedRate::take(double share, TimePoint now)
{
    this->saved = std::max(this->tokens(share, now) - 1, 0.0);
    this->filledAt = now;
}

Duration SharedRate::untilRoom(double share, TimePoint now) const
{
    if (share <= 0)
        return Duration::max();
    return fromSeconds(std::max(1 - this->tokens(share, now), 0.0) / this->grantsPerSecond(share, now));
}

} // namespace guavapond::edge
