// Prices a request's detour through another failure domain, and keeps the share of the arrivals that each neighbor takes.
#include "scheduling/DomainSpill.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace guavapond::edge {

namespace {

constexpr double bytesPerGigabyte = 1e9;
constexpr int roundTripsOfDetour = 2; // the place is asked for at the other home, and then the request is sent
constexpr double waitMargin = 1.5;    // a predicted wait counts this many times before a request relies on it
constexpr Duration announcementTtl = std::chrono::milliseconds(600);
constexpr Duration shortHold = std::chrono::milliseconds(150); // a neighbor that was short gets nothing for this long
// Until a request that left counts in what the neighbor announces, besides the round trip: the requesting node has to be told first.
constexpr Duration unannouncedFor = std::chrono::milliseconds(10);
constexpr Duration recently = std::chrono::milliseconds(50); // departures that count as a lack: two announcements
constexpr Duration reaction = std::chrono::milliseconds(30); // until a changed offer is known to the neighbors
constexpr Duration historyLength = std::chrono::seconds(1);
constexpr Duration adjustInterval = std::chrono::milliseconds(20);
constexpr double rateSeconds = 0.5; // over which arrivals are averaged
constexpr double firstShare = 0.05; // a share starts here at once, since most lacks are small
constexpr double risePerSecond = 2;
constexpr double fallPerSecond = 0.5;
constexpr double shareDeadband = 0.3; // a share stays while the desired one differs by less than this fraction
constexpr double leastShare = 0.01;   // a smaller one is none
constexpr double maxCredit = 8;       // departures that an unused share allows at once
constexpr double reservedDeviations = 2;

} // namespace

std::string_view spillReasonName(SpillReason reason)
{
    static constexpr std::array<std::string_view, spillReasonCount> names { "late_here", "wait_saved", "evacuated" };
    return names.at(static_cast<size_t>(reason));
}

double bytePrice(const SpillSettings& settings, uint64_t bytes)
{
    return static_cast<double>(bytes) / bytesPerGigabyte * settings.gigabytePrice;
}

Duration waitWorth(const SpillSettings& settings, uint64_t bytes)
{
    return settings.waitSecondPrice > 0 ? fromSeconds(bytePrice(settings, bytes) / settings.waitSecondPrice) : Duration::zero();
}

std::vector<uint32_t> divideRoom(uint32_t room, std::span<const uint32_t> needs)
{
    if (needs.empty())
        return {};
    std::vector<uint32_t> result(needs.size(), 0);
    std::vector<size_t> order(needs.size());
    for (size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) { return needs[a] < needs[b]; });
    const auto count = static_cast<uint32_t>(needs.size());
    uint32_t left = count;
    for (const size_t index : order) {
        result[index] = std::min(needs[index], room / std::max(left, 1U));
        room -= result[index];
        --left;
    }
    for (uint32_t& part : result)
        part += room / count;
    return result;
}

uint32_t reservedSlots(double arrivalsPerSecond, Duration reaction)
{
    return static_cast<uint32_t>(std::ceil(reservedDeviations * std::sqrt(arrivalsPerSecond * toSeconds(reaction))));
}

DomainSpill::DomainSpill(std::string domain, const SpillSettings& settings, std::function<bool(const std::string& domain)> isEvacuated)
    : domain(std::move(domain))
    , settings(settings)
    , isEvacuated(isEvacuated ? std::move(isEvacuated) : [](const std::string&) { return false; })
{
}

void DomainSpill::Rate::update(double seconds)
{
    const double weight = 1 - std::exp(-seconds / rateSeconds);
    this->perSecond += weight * (this->count / seconds - this->perSecond);
    this->count = 0;
}

void DomainSpill::onArrival(TimePoint now)
{
    ++this->arrivals.count;
    for (auto& [name, neighbor] : this->neighbors)
        neighbor.credit = std::min(neighbor.credit + neighbor.share, maxCredit);
    this->adjustShares(now);
}

void DomainSpill::onAnnounced(const std::string& name, const NeighborRoom& room, TimePoint now)
{
    Neighbor& neighbor = this->neighbors[name];
    neighbor.room = room;
    neighbor.announcedAt = now;
    if (room.shortBy > 0)
        neighbor.shortAt = now;
}

bool DomainSpill::isOpen(const std::string& name, const Neighbor& neighbor, TimePoint now) const
{
    const bool isSilent = now - neighbor.announcedAt > announcementTtl;
    const bool isShort = neighbor.shortAt != TimePoint {} && now - neighbor.shortAt < shortHold;
    return !isSilent && !isShort && !this->isEvacuated(name);
}

uint32_t DomainSpill::unusedRoom(const Neighbor& neighbor, TimePoint now) const
{
    const TimePoint from = std::min(neighbor.announcedAt, now) - neighbor.room.roundTrip - unannouncedFor;
    const auto unannounced
        = static_cast<uint32_t>(neighbor.sent.end() - std::lower_bound(neighbor.sent.begin(), neighbor.sent.end(), from));
    return neighbor.room.offered - std::min(neighbor.room.offered, unannounced);
}

std::optional<SpillReason> DomainSpill::reasonToLeave(const SpillRequest& request, const Neighbor& neighbor, TimePoint now) const
{
    const Duration detour = neighbor.room.roundTrip * roundTripsOfDetour;
    const Duration waitThere = detour + neighbor.room.shortestWait;
    if (now + neighbor.room.roundTrip > request.giveUpAt)
        return std::nullopt;
    if (request.latestFirst && now + waitThere + request.prefill > *request.latestFirst)
        return std::nullopt;
    if (this->isEvacuated(this->domain))
        return SpillReason::Evacuated;
    const double price = bytePrice(this->settings, request.bytes);
    const Duration certain = request.waitHere ? std::chrono::duration_cast<Duration>(*request.waitHere * waitMargin) : Duration::max();
    const bool isRefusedHere = !request.waitHere || certain > request.giveUpAt - now;
    const bool isLateHere = isRefusedHere || (request.latestFirst && now + certain + request.prefill > *request.latestFirst);
    if (isLateHere && price <= this->settings.maxRequestPrice)
        return SpillReason::LateHere;
    if (!request.waitHere || *request.waitHere <= waitThere)
        return std::nullopt;
    const double saved = toSeconds(*request.waitHere - waitThere) * this->settings.waitSecondPrice;
    return saved > price ? std::optional<SpillReason>(SpillReason::WaitSaved) : std::nullopt;
}

bool DomainSpill::mayLeaveNow(const SpillRequest& request, const Neighbor& neighbor, SpillReason reason, TimePoint now) const
{
    if (this->unusedRoom(neighbor, now) == 0)
        return false;
    const bool isLastChance = now + neighbor.room.roundTrip + adjustInterval >= request.giveUpAt;
    return neighbor.credit >= 1 || reason == SpillReason::Evacuated || (reason == SpillReason::LateHere && isLastChance);
}

Departure DomainSpill::choose(const SpillRequest& request, TimePoint now)
{
    this->adjustShares(now);
    Departure result;
    Neighbor* best = nullptr;
    Duration bestWait {};
    for (auto& [name, neighbor] : this->neighbors) {
        const auto reason = this->isOpen(name, neighbor, now) ? this->reasonToLeave(request, neighbor, now) : std::nullopt;
        if (!reason)
            continue;
        result.wouldLeave = true;
        const Duration wait = neighbor.room.roundTrip * roundTripsOfDetour + neighbor.room.shortestWait;
        if (!this->mayLeaveNow(request, neighbor, *reason, now) || (best && wait >= bestWait))
            continue;
        best = &neighbor;
        bestWait = wait;
        result.domain = name;
        result.reason = *reason;
    }
    if (result.wouldLeave && !request.isCounted)
        ++this->wishes.count;
    if (best)
        this->depart(*best, request, result.reason, now);
    return result;
}

void DomainSpill::depart(Neighbor& neighbor, const SpillRequest& request, SpillReason reason, TimePoint now)
{
    neighbor.credit = std::max(neighbor.credit - 1, 0.0);
    while (!neighbor.sent.empty() && now - neighbor.sent.front() > historyLength)
        neighbor.sent.pop_front();
    neighbor.sent.push_back(now);
    ++neighbor.requests;
    neighbor.bytes += request.bytes;
    ++this->byReason[reason];
}

uint32_t DomainSpill::shortBy(size_t waiting, TimePoint now) const
{
    auto count = static_cast<ptrdiff_t>(waiting);
    for (const auto& [name, neighbor] : this->neighbors)
        count += neighbor.sent.end() - std::lower_bound(neighbor.sent.begin(), neighbor.sent.end(), now - recently);
    return static_cast<uint32_t>(count);
}

std::vector<uint32_t> DomainSpill::offers(uint32_t freeSlots, std::span<const std::string> names, TimePoint now) const
{
    std::vector<uint32_t> needs;
    needs.reserve(names.size());
    for (const std::string& name : names) {
        const auto found = this->neighbors.find(name);
        const bool isHeard = found != this->neighbors.end() && now - found->second.announcedAt <= announcementTtl;
        needs.push_back(isHeard ? found->second.room.shortBy : 0);
    }
    const uint32_t reserved = reservedSlots(this->arrivals.perSecond, reaction);
    return divideRoom(freeSlots - std::min(freeSlots, reserved), needs);
}

void DomainSpill::adjustShares(TimePoint now)
{
    const double seconds = toSeconds(now - this->adjustedAt.value_or(now));
    if (this->adjustedAt && now - *this->adjustedAt < adjustInterval)
        return;
    this->adjustedAt = now;
    if (seconds <= 0)
        return;
    this->arrivals.update(seconds);
    this->wishes.update(seconds);
    const double need = this->arrivals.perSecond > 0 ? std::min(this->wishes.perSecond / this->arrivals.perSecond, 1.0) : 0;
    double offered = 0;
    for (const auto& [name, neighbor] : this->neighbors)
        offered += this->isOpen(name, neighbor, now) ? neighbor.room.offered : 0;
    for (auto& [name, neighbor] : this->neighbors) {
        if (!this->isOpen(name, neighbor, now)) {
            neighbor.share = neighbor.credit = 0;
            continue;
        }
        this->adjustShare(neighbor, offered > 0 ? need * neighbor.room.offered / offered : 0, seconds);
    }
}

void DomainSpill::adjustShare(Neighbor& neighbor, double desired, double seconds) const
{
    double& share = neighbor.share;
    if (desired < leastShare && share <= leastShare)
        share = neighbor.credit = 0;
    else if (desired > share * (1 + shareDeadband))
        share = std::min(desired, std::max(share, firstShare) + risePerSecond * seconds);
    else if (desired < share * (1 - shareDeadband))
        share = std::max(desired, share - fallPerSecond * seconds);
}

std::vector<DomainSpill::View> DomainSpill::view(TimePoint now) const
{
    std::vector<View> result;
    for (const auto& [name, neighbor] : this->neighbors) {
        const bool open = this->isOpen(name, neighbor, now);
        result.push_back({ name, open ? neighbor.share : 0, neighbor.room.offered, open, neighbor.requests, neighbor.bytes });
    }
    return result;
}

} // namespace guavapond::edge
