// Takes configurations into force in the order of their revisions.
#include "edge/ConfigCopy.h"

#include "adapters/Logging.h"

namespace guavapond::edge {

void ConfigCopy::apply(const StoreItem& item)
{
    if (item.revision <= this->config.revision)
        return this->logIgnored(item);
    if (this->isKnownUnreadable(item))
        return;
    DecodedCatalog decoded = this->hooks.decode(item);
    if (!decoded.value) {
        this->unreadable = item.revision;
        return log(LogLevel::Error, "configuration can't be read", { { "revision", item.revision }, { "reason", decoded.reason } });
    }
    if (decoded.value->version < this->version) {
        this->unreadable = item.revision;
        return log(LogLevel::Error, "configuration has an older version",
            { { "revision", item.revision }, { "version", decoded.value->version }, { "inForce", this->version } });
    }
    this->config = item;
    this->version = decoded.value->version;
    log(LogLevel::Info, "configuration in force",
        { { "revision", item.revision }, { "version", decoded.value->version }, { "routes", decoded.value->routes.size() },
            { "workspaces", decoded.value->workspaces.size() } });
    this->hooks.inForce(std::make_shared<const Catalog>(std::move(*decoded.value)));
}

bool ConfigCopy::isInForce(const StoreItem& item) const { return item.revision == this->config.revision; }

// Once for each value.
void ConfigCopy::logIgnored(const StoreItem& item)
{
    const uint64_t value = nameHash(item.value);
    if (item.value == this->config.value || value == this->lastIgnored)
        return;
    this->lastIgnored = value;
    const DecodedCatalog decoded = this->hooks.decode(item);
    log(LogLevel::Warn, "configuration ignored",
        { { "revision", item.revision }, { "version", decoded.value ? decoded.value->version : 0 },
            { "inForceRevision", this->config.revision }, { "inForce", this->version } });
}

uint64_t ConfigCopy::digest() const { return nameHash(this->config.key + '@' + std::to_string(this->config.revision)); }

} // namespace guavapond::edge
