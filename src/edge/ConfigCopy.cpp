// Decides which configuration is newer, and takes it into force.
#include "edge/ConfigCopy.h"

#include "adapters/Logging.h"

namespace guavapond::edge {

bool ConfigCopy::isNewer(const StoreItem& item, const Catalog& catalog) const
{
    const bool isLater = item.revision > this->config.revision;
    if (eraOf(item.revision) == eraOf(this->config.revision))
        return isLater && catalog.version >= this->version;
    return catalog.version > this->version || (isLater && catalog.version == this->version);
}

void ConfigCopy::apply(const StoreItem& item, std::string_view source)
{
    if (!this->config.value.empty() && this->isInForce(item)) {
        this->config.revision = std::max(this->config.revision, item.revision);
        return;
    }
    const uint64_t hash = nameHash(item.value);
    if (hash == this->unusable)
        return;
    DecodedCatalog decoded = this->hooks.decode(item);
    if (!decoded.value) {
        this->unusable = hash;
        return log(LogLevel::Error, "configuration can't be read",
            { { "from", source }, { "era", eraOf(item.revision) }, { "revision", revisionInEra(item.revision) },
                { "reason", decoded.reason } });
    }
    if (!this->isNewer(item, *decoded.value)) {
        this->unusable = hash;
        return log(LogLevel::Warn, "configuration ignored",
            { { "from", source }, { "era", eraOf(item.revision) }, { "revision", revisionInEra(item.revision) },
                { "version", decoded.value->version }, { "inForceEra", eraOf(this->config.revision) },
                { "inForceRevision", revisionInEra(this->config.revision) }, { "inForce", this->version } });
    }
    this->config = item;
    this->version = decoded.value->version;
    this->valueHash = hash;
    log(LogLevel::Info, "configuration in force",
        { { "from", source }, { "era", eraOf(item.revision) }, { "revision", revisionInEra(item.revision) },
            { "version", decoded.value->version }, { "routes", decoded.value->routes.size() },
            { "workspaces", decoded.value->workspaces.size() }, { "asksForKeys", decoded.value->workspaceList() != WorkspaceList::None } });
    decoded.value->source = std::string(source);
    this->hooks.inForce(std::make_shared<const Catalog>(std::move(*decoded.value)));
}

} // namespace guavapond::edge
