// The operators' configuration as this node knows it from its reads and its peers: which item of the store is the one in force.
//
// Index
//   DecodedCatalog
//   ConfigCopy      apply, isInForce, item, digest
#pragma once

#include "edge/PeerLink.h"

namespace guavapond::edge {

struct DecodedCatalog {
    std::optional<Catalog> value;
    std::string reason; // why there is none
};

class ConfigCopy {
public:
    struct Hooks {
        std::function<DecodedCatalog(const StoreItem& item)> decode;
        std::function<void(CatalogPointer)> inForce; // a newer configuration is in force from now on
    };
    explicit ConfigCopy(Hooks hooks)
        : hooks(std::move(hooks))
    {
    }

    void apply(const StoreItem& item);                     // a newer one only
    bool isInForce(const StoreItem& item) const;           // so that the store's configuration is the one in force
    const StoreItem& item() const { return this->config; } // of the configuration in force
    uint64_t digest() const;

private:
    bool isKnownUnreadable(const StoreItem& item) const { return item.revision == this->unreadable; }
    void logIgnored(const StoreItem& item);

    Hooks hooks;
    StoreItem config;
    uint64_t version = 0;     // of the configuration in force; never goes back
    uint64_t unreadable = 0;  // revision of the last item that can't be used; it is logged once
    uint64_t lastIgnored = 0; // hash of the last value that was logged as ignored
};

} // namespace guavapond::edge
