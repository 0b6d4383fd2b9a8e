// Implements the ids of admitted requests.
#include "scheduling/AdmittedIds.h"

#include "scheduling/WorkspaceQuota.h"

namespace guavapond::edge {

void AdmittedIds::expire(TimePoint now)
{
    // Erased ids take no place of others.
    if (this->byAdmission.size() > 2 * maxIds) {
        std::erase_if(this->byAdmission, [&](const auto& admission) {
            const auto found = this->admittedAt.find(admission.second);
            return found == this->admittedAt.end() || found->second != admission.first;
        });
    }
    while (!this->byAdmission.empty() && (this->admittedAt.size() > maxIds || now - this->byAdmission.front().first > keepTime)) {
        const auto [time, hash] = this->byAdmission.front();
        this->byAdmission.pop_front();
        const auto found = this->admittedAt.find(hash);
        if (found != this->admittedAt.end() && found->second == time) // else it was erased, and admitted again later
            this->admittedAt.erase(found);
    }
}

bool AdmittedIds::contains(std::string_view id, TimePoint now)
{
    this->expire(now);
    return this->admittedAt.contains(nameHash(id));
}

void AdmittedIds::insert(std::string_view id, TimePoint now)
{
    const uint64_t hash = nameHash(id);
    this->admittedAt[hash] = now;
    this->byAdmission.emplace_back(now, hash);
    this->expire(now);
}

void AdmittedIds::erase(std::string_view id) { this->admittedAt.erase(nameHash(id)); }

} // namespace guavapond::edge
