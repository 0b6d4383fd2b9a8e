// Demand reports of entry nodes, and the division of windows and limits by their homes.
#include "core/Slots.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <xxhash.h>

namespace guavapond {

namespace {

constexpr size_t framing = 120;   // bytes of HTTP/2, TCP and IP for a request or a response
constexpr size_t itemBytes = 20;  // key, scope, limit, tags and lengths
constexpr size_t tierBytes = 12;  // one tier with demand
constexpr size_t grantBytes = 18; // key, scope, share

// One tier's units by weight, each up to its demand: what a satisfied one leaves is divided among the others.
double fillTier(double room, std::span<const SlotItem> demands, size_t tier, std::vector<double>& shares)
{
    std::vector<double> missing;
    for (const auto& item : demands)
        missing.push_back(static_cast<double>(item.tiers[tier].running) + item.tiers[tier].waiting);
    while (room > 1e-9) {
        double weights = 0;
        for (size_t i = 0; i < demands.size(); ++i)
            weights += missing[i] > 0 ? std::max(1U, demands[i].tiers[tier].weight) : 0;
        if (weights == 0)
            break;
        double before = room;
        for (size_t i = 0; i < demands.size(); ++i) {
            if (missing[i] <= 0)
                continue;
            double given = std::min(missing[i], before * std::max(1U, demands[i].tiers[tier].weight) / weights);
            shares[i] += given;
            missing[i] -= given;
            room -= given;
        }
        bool satisfiedAny = std::any_of(missing.begin(), missing.end(), [](double rest) { return rest <= 0; });
        if (!satisfiedAny)
            break;
    }
    return std::max(0.0, room);
}

} // namespace

uint32_t SlotItem::total() const
{
    uint32_t sum = 0;
    for (const auto& tier : this->tiers)
        sum += tier.running + tier.waiting;
    return sum;
}

uint32_t SlotItem::waiting() const
{
    uint32_t sum = 0;
    for (const auto& tier : this->tiers)
        sum += tier.waiting;
    return sum;
}

uint64_t slotKey(std::string_view kind, std::string_view name)
{
    return XXH64(name.data(), name.size(), XXH64(kind.data(), kind.size(), 0));
}

size_t encodedBytes(const SlotReport& report)
{
    size_t bytes = framing + report.from.size() + report.to.size();
    for (const auto& item : report.items) {
        bytes += itemBytes;
        for (const auto& tier : item.tiers)
            bytes += tier.running + tier.waiting > 0 ? tierBytes : 0;
    }
    return bytes;
}

size_t encodedBytes(const SlotGrants& grants)
{
    return framing + grants.from.size() + grants.to.size() + grants.grants.size() * grantBytes;
}

std::vector<uint32_t> divideSlots(uint32_t limit, std::span<const SlotItem> demands, uint64_t turn)
{
    std::vector<double> shares(demands.size());
    double room = limit;
    for (size_t tier = 0; tier < tierCount; ++tier)
        room = fillTier(room, demands, tier, shares);
    for (auto& share : shares)
        share += room / static_cast<double>(demands.size());
    std::vector<uint32_t> whole(demands.size());
    std::vector<size_t> order(demands.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    uint32_t given = 0;
    for (size_t i = 0; i < shares.size(); ++i) {
        whole[i] = static_cast<uint32_t>(shares[i] + 1e-6);
        given += whole[i];
    }
    auto fraction = [&](size_t i) { return std::max(0.0, shares[i] - whole[i]); };
    auto rank = [&](size_t i) { return (i + turn) % demands.size(); };
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
        bool isEqual = std::abs(fraction(a) - fraction(b)) < 1e-6;
        return isEqual ? rank(a) < rank(b) : fraction(a) > fraction(b);
    });
    for (size_t i = 0; i < order.size() && given < limit; ++i, ++given)
        ++whole[order[i]];
    return whole;
}

Slots::Slots(std::string node, std::string domain, const SlotSettings& s)
    : self(std::move(node))
    , failureDomain(std::move(domain))
    , settings(s)
    , bytesLeft(s.burstBytes)
{
}

void Slots::setNodes(std::vector<SlotNode> liveNodes, std::vector<SlotNode> knownNodes)
{
    this->live = std::move(liveNodes);
    this->known = std::move(knownNodes);
    ++this->homesRevision;
}

// ---- Entry side

void Slots::setNeed(const SlotItem& item, std::string_view domain, TimePoint now)
{
    Key key { item.scope, item.key };
    if (item.total() > 0) {
        auto& need = this->needs[key];
        need.item = item;
        need.failureDomain = domain;
        return;
    }
    auto found = this->needs.find(key);
    if (found == this->needs.end())
        return;
    found->second.item = item;
    // The end of a demand is reported too, so that the home gives the share to others before it expires.
    bool mayForget = found->second.reported == 0 && (!found->second.expiry || *found->second.expiry <= now);
    if (mayForget)
        this->needs.erase(found);
}

uint32_t Slots::part(uint64_t key, SlotScope scope, uint32_t limit, std::string_view domain, TimePoint now) const
{
    auto found = this->needs.find({ scope, key });
    if (found != this->needs.end() && found->second.expiry && now < *found->second.expiry)
        return std::min(found->second.share, limit);
    return this->fairPart(scope, limit, domain);
}

std::optional<TimePoint> Slots::shareExpiry(uint64_t key, SlotScope scope) const
{
    auto found = this->needs.find({ scope, key });
    return found == this->needs.end() ? std::nullopt : found->second.expiry;
}

// A target's fair part is one of the live entry nodes in its failure domain, or of all for the others. A failure domain's part of a limit
// counts all known nodes, so that the parts on both sides of a partition add up to the limit.
uint32_t Slots::fairPart(SlotScope scope, uint32_t limit, std::string_view domain) const
{
    auto domainPart = [&] {
        return static_cast<uint32_t>(
            limit * std::max<size_t>(1, countIn(this->known, this->failureDomain)) / std::max<size_t>(1, this->known.size()));
    };
    if (scope == SlotScope::Total)
        return domainPart();
    size_t nodes
        = scope == SlotScope::Target && domain != this->failureDomain ? this->live.size() : countIn(this->live, this->failureDomain);
    uint32_t whole = scope == SlotScope::Domain ? domainPart() : limit;
    return std::max<uint32_t>(1, static_cast<uint32_t>(whole / std::max<size_t>(1, nodes)));
}

size_t Slots::countIn(std::span<const SlotNode> nodes, std::string_view domain)
{
    return static_cast<size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const SlotNode& node) { return node.failureDomain == domain; }));
}

uint32_t Slots::heldBack(uint32_t limit) const
{
    auto lost = std::count_if(
        this->known.begin(), this->known.end(), [this](const SlotNode& node) { return countIn(this->live, node.failureDomain) == 0; });
    return this->known.empty() ? 0 : static_cast<uint32_t>(limit * static_cast<size_t>(lost) / this->known.size());
}

std::optional<std::string> Slots::homeOf(uint64_t key, SlotScope scope, std::string_view domain, TimePoint now) const
{
    return this->homeAmong(key, scope, domain, now);
}

// `avoidAt`: passes over homes that do not answer at this time; none: by the live view alone.
std::optional<std::string> Slots::homeAmong(uint64_t key, SlotScope scope, std::string_view domain, std::optional<TimePoint> avoidAt) const
{
    const std::string* best = nullptr;
    uint64_t highest = 0;
    for (const auto& node : this->live) {
        if (scope != SlotScope::Total && node.failureDomain != domain)
            continue;
        auto asked = this->homes.find(node.name);
        if (avoidAt && asked != this->homes.end() && asked->second.avoidUntil && *avoidAt < *asked->second.avoidUntil)
            continue;
        auto rank = XXH64(node.name.data(), node.name.size(), key + static_cast<uint64_t>(scope));
        if (!best || rank > highest) {
            best = &node.name;
            highest = rank;
        }
    }
    return best ? std::optional<std::string>(*best) : std::nullopt;
}

void Slots::judgeHomes(TimePoint now)
{
    for (auto& [name, home] : this->homes) {
        if (home.avoidUntil && now >= *home.avoidUntil) {
            home.avoidUntil.reset();
            ++this->homesRevision;
        }
        if (!home.waitingSince || now < *home.waitingSince + this->settings.answerTimeout)
            continue;
        home.waitingSince.reset();
        home.lastReport.reset(); // again at once, there or at the next home
        if (++home.unanswered >= this->settings.unanswered) {
            home.avoidUntil = now + this->settings.avoidTime;
            home.unanswered = 0;
            ++this->homesRevision;
        }
    }
}

bool Slots::isDue(const Home& home, const std::string& name, std::span<Need* const> group, TimePoint now) const
{
    if (!home.lastReport)
        return true;
    auto age = now - *home.lastReport;
    if (age < this->settings.changeInterval)
        return false;
    bool waits = false;
    for (const auto* need : group) {
        uint32_t demand = need->item.total();
        double change = std::abs(static_cast<double>(demand) - need->reported);
        // At the start and end of a demand at once, since the fair part in between is far from what is needed.
        if (need->reportedTo != name || (demand == 0) != (need->reported == 0)
            || change > std::max(1.0, this->settings.changedPart * need->reported))
            return true;
        waits = waits || need->item.waiting() > 0;
    }
    return age >= (waits ? this->settings.demandInterval : this->settings.steadyInterval);
}

std::vector<SlotReport> Slots::advance(TimePoint now)
{
    this->judgeHomes(now);
    this->sumDomains(now);
    std::map<std::string, std::vector<Need*>> groups;
    for (auto& [key, need] : this->needs) {
        if (need.item.total() == 0 && need.reported == 0)
            continue;
        if (need.homeRevision != this->homesRevision)
            need.home = this->homeOf(key.second, key.first, need.failureDomain, now);
        need.homeRevision = this->homesRevision;
        if (need.home)
            groups[*need.home].push_back(&need);
    }
    std::vector<std::pair<uint64_t, std::string>> byDemand;
    for (const auto& [name, group] : groups) {
        uint64_t sum = 0;
        for (const auto* need : group)
            sum += need->item.total();
        byDemand.emplace_back(sum, name);
    }
    std::sort(byDemand.rbegin(), byDemand.rend());
    byDemand.resize(std::min<size_t>(byDemand.size(), this->settings.maxHomes));
    std::vector<SlotReport> out;
    for (const auto& [demand, name] : byDemand) {
        auto& group = groups[name];
        auto& home = this->homes[name];
        if (!this->isDue(home, name, group, now))
            continue;
        std::stable_sort(group.begin(), group.end(), [](const Need* a, const Need* b) { return a->item.total() > b->item.total(); });
        group.resize(std::min<size_t>(group.size(), this->settings.maxItems));
        SlotReport report { this->self, name, {} };
        for (const auto* need : group)
            report.items.push_back(need->item);
        if (name != this->self && !this->spend(encodedBytes(report), now))
            continue;
        home.lastReport = now;
        for (auto* need : group) {
            need->reported = need->item.total();
            need->reportedTo = name;
        }
        if (name == this->self) {
            this->onGrants(this->onReport(report, now), now);
            continue;
        }
        if (!home.waitingSince)
            home.waitingSince = now;
        out.push_back(std::move(report));
    }
    return out;
}

void Slots::onGrants(const SlotGrants& grants, TimePoint now)
{
    auto home = this->homes.find(grants.from);
    if (home == this->homes.end())
        return;
    home->second.waitingSince.reset();
    home->second.unanswered = 0;
    for (const auto& grant : grants.grants) {
        auto need = this->needs.find({ grant.scope, grant.key });
        if (need == this->needs.end() || need->second.reportedTo != grants.from)
            continue; // late: another home has been asked since
        need->second.share = grant.share;
        need->second.expiry = now + this->settings.shareTime;
    }
}

bool Slots::spend(size_t bytes, TimePoint now)
{
    double gained = toSeconds(now - this->refilled) * this->settings.bytesPerSecond;
    this->bytesLeft = std::min(this->settings.burstBytes, this->bytesLeft + std::max(0.0, gained));
    this->refilled = now;
    if (this->bytesLeft < static_cast<double>(bytes))
        return false;
    this->bytesLeft -= static_cast<double>(bytes);
    return true;
}

// ---- Home side

SlotGrants Slots::onReport(const SlotReport& report, TimePoint now)
{
    SlotGrants answer { this->self, report.from, {} };
    for (const auto& item : report.items) {
        Key key { item.scope, item.key };
        auto found = this->held.find(key);
        if (found == this->held.end()) {
            if (this->held.size() >= this->settings.maxKeys)
                continue; // without a grant the node uses its fair part
            found = this->held.emplace(key, Held { {}, now }).first;
        }
        found->second.reports.insert_or_assign(report.from, Reported { item, now });
        answer.grants.push_back({ item.key, item.scope, this->grantFor(key, report.from, now) });
    }
    // Answers are not refused for their bytes, but delay this node's own reports.
    if (report.from != this->self)
        this->bytesLeft = std::max(-this->settings.burstBytes, this->bytesLeft - static_cast<double>(encodedBytes(answer)));
    return answer;
}

uint32_t Slots::grantFor(const Key& key, const std::string& from, TimePoint now)
{
    auto& entry = this->held[key];
    std::vector<SlotItem> items;
    size_t own = 0;
    std::erase_if(entry.reports, [&](const auto& report) { return now - report.second.time > this->settings.shareTime; });
    for (const auto& [name, report] : entry.reports) {
        own = name == from ? items.size() : own;
        if (name == from || report.item.total() > 0)
            items.push_back(report.item);
    }
    uint32_t limit = this->limitOf(key, entry, now);
    if (this->mayBeSecond(key, entry, now))
        limit -= std::min(limit, this->reserved(key, limit, items.size()));
    auto turn = static_cast<uint64_t>(now.time_since_epoch() / std::chrono::seconds(1));
    return divideSlots(limit, items, turn)[own];
}

// Another home may still divide this window: this one is new, or took over from one that it takes to be live itself.
bool Slots::mayBeSecond(const Key& key, const Held& entry, TimePoint now) const
{
    // The total's home may be live on the other side of a partition: it is given up only when membership takes it for dead.
    auto avoidAt = key.first == SlotScope::Total ? std::nullopt : std::optional<TimePoint>(now);
    return now - entry.since < this->settings.learnTime
        || this->homeAmong(key.second, key.first, this->failureDomain, avoidAt) != this->self;
}

// Fair parts of those that have not reported here.
uint32_t Slots::reserved(const Key& key, uint32_t limit, size_t reporters) const
{
    if (key.first == SlotScope::Total)
        return limit - this->fairPart(key.first, limit, {});
    size_t nodes = countIn(this->live, this->failureDomain);
    return nodes <= reporters ? 0 : static_cast<uint32_t>(limit * (nodes - reporters) / nodes);
}

// Nodes may know different limits: a window is learned, and a table revision arrives earlier at some nodes. The median is what most know.
uint32_t Slots::limitOf(const Key& key, const Held& entry, TimePoint now) const
{
    std::vector<uint32_t> limits;
    for (const auto& [name, report] : entry.reports)
        limits.push_back(report.item.limit);
    auto middle = limits.begin() + static_cast<std::ptrdiff_t>(limits.size() / 2);
    std::nth_element(limits.begin(), middle, limits.end());
    if (key.first == SlotScope::Target)
        return *middle;
    if (key.first == SlotScope::Total)
        return *middle - this->heldBack(*middle);
    return this->part(key.second, SlotScope::Total, *middle, {}, now);
}

// As the home of a limit in this failure domain, this node needs a part of the total.
void Slots::sumDomains(TimePoint now)
{
    for (auto entry = this->held.begin(); entry != this->held.end();) {
        auto& reports = entry->second.reports;
        std::erase_if(reports, [&](const auto& report) { return now - report.second.time > this->settings.shareTime; });
        if (entry->first.first == SlotScope::Domain) {
            SlotItem sum { entry->first.second, SlotScope::Total, 0, {} };
            for (const auto& [name, report] : reports) {
                sum.limit = std::max(sum.limit, report.item.limit);
                for (size_t t = 0; t < tierCount; ++t) {
                    sum.tiers[t].running += report.item.tiers[t].running;
                    sum.tiers[t].waiting += report.item.tiers[t].waiting;
                }
            }
            this->setNeed(sum, {}, now);
        }
        entry = reports.empty() ? this->held.erase(entry) : std::next(entry);
    }
}

} // namespace guavapond
