// Compares lists of evacuations by the revisions at which they were whole.
#include "scheduling/Evacuation.h"

#include "adapters/Logging.h"
#include "scheduling/WorkspaceQuota.h"

#include <algorithm>
#include <set>

namespace guavapond::edge {

namespace {

constexpr size_t loggedNameBytes = 64; // of a domain's name, which operators write as they like

std::string_view loggedName(std::string_view domain) { return domain.substr(0, loggedNameBytes); }

std::set<std::string_view> namesOf(const EvacuationList& list)
{
    std::set<std::string_view> result;
    for (const EvacuationItem& item : list.items)
        result.insert(item.domain);
    return result;
}

} // namespace

bool Evacuation::onRead(const EvacuationList& listed, TimePoint now)
{
    this->merge(listed, "store", now);
    return listed.upTo < this->upTo || this->inForce.size() == namesOf(listed).size();
}

void Evacuation::onPeerList(const EvacuationList& listed, std::string_view peer, TimePoint now)
{
    if (listed.upTo > 0)
        this->merge(listed, peer, now);
}

void Evacuation::merge(const EvacuationList& listed, std::string_view source, TimePoint now)
{
    const StoreRevision knownUpTo = this->upTo;
    if (knownUpTo == 0 || eraOf(listed.upTo) > eraOf(knownUpTo))
        this->eraSince = now;
    this->upTo = std::max(this->upTo, listed.upTo);
    bool isChanged = false;
    for (const EvacuationItem& item : listed.items) {
        const bool isNews = listed.upTo > knownUpTo || item.revision > knownUpTo;
        if (this->isOfEarlierEra(item.revision) ? this->isSettling(now) : isNews)
            isChanged = this->begin(item, source, now) || isChanged;
    }
    if (listed.upTo >= knownUpTo)
        isChanged = this->endMissing(listed, source, now) || isChanged;
    if (isChanged)
        this->changed(this->inForce);
}

bool Evacuation::begin(const EvacuationItem& item, std::string_view source, TimePoint now)
{
    const auto [entry, isNew] = this->inForce.try_emplace(item.domain, EvacuatedDomain { item.revision, now, std::string(source) });
    entry->second.revision = std::max(entry->second.revision, item.revision);
    if (isNew)
        log(LogLevel::Warn, "evacuation in force",
            { { "domain", loggedName(item.domain) }, { "from", source }, { "era", eraOf(item.revision) },
                { "revision", revisionInEra(item.revision) } });
    return isNew;
}

bool Evacuation::endMissing(const EvacuationList& listed, std::string_view source, TimePoint now)
{
    const std::set<std::string_view> names = namesOf(listed);
    const size_t ended = std::erase_if(this->inForce, [&](const auto& entry) {
        const auto& [domain, evacuated] = entry;
        const bool isKept = evacuated.revision > listed.upTo || (this->isOfEarlierEra(evacuated.revision) && this->isSettling(now));
        if (isKept || names.contains(domain))
            return false;
        log(LogLevel::Warn, "evacuation ended",
            { { "domain", loggedName(domain) }, { "from", source }, { "era", eraOf(listed.upTo) },
                { "revision", revisionInEra(listed.upTo) }, { "lastedMs", toMilliseconds(now - evacuated.since) } });
        return true;
    });
    return ended > 0;
}

EvacuationList Evacuation::list() const
{
    EvacuationList result { this->upTo, {} };
    for (const auto& [domain, evacuated] : this->inForce)
        result.items.push_back({ domain, evacuated.revision });
    return result;
}

uint64_t Evacuation::digest() const
{
    uint64_t digest = 0;
    for (const auto& [domain, evacuated] : this->inForce)
        digest += nameHash("evacuation " + domain);
    return digest;
}

} // namespace guavapond::edge
