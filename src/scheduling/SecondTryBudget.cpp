// Counts requests and additional sends in sliding windows and grants additional sends within the limit.
#include "scheduling/SecondTryBudget.h"

#include <algorithm>

namespace guavapond::edge {

SecondTryBudget::SecondTryBudget(const SecondTrySettings& settings, TimePoint started)
    : settings(settings)
    , started(started)
{
}

void SecondTryBudget::expire(Counts& counts, TimePoint now) const
{
    for (auto* times : { &counts.requests, &counts.sends }) {
        while (!times->empty() && now - times->front() >= this->settings.window)
            times->pop_front();
    }
}

void SecondTryBudget::onRequest(std::string_view service, TimePoint now)
{
    Counts& counts = this->services[std::string(service)];
    counts.requests.push_back(now);
    this->expire(counts, now);
}

bool SecondTryBudget::take(std::string_view service, TimePoint now)
{
    Counts& counts = this->services[std::string(service)];
    this->expire(counts, now);
    const double elapsedShare = std::min(1.0, toSeconds(now - this->started) / toSeconds(this->settings.window));
    const double allowance = elapsedShare * this->settings.allowance / static_cast<double>(std::max<size_t>(this->nodes, 1));
    const double limit = this->settings.safety * (this->settings.ratio * static_cast<double>(counts.requests.size()) + allowance);
    if (static_cast<double>(counts.sends.size()) + 1 > limit)
        return false;
    counts.sends.push_back(now);
    return true;
}

} // namespace guavapond::edge
