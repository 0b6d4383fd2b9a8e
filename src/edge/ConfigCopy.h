// The operators' configuration as this node knows it from its reads and its peers: which item of the store is the one in force.
// Revisions order configurations within an era of the store only; across eras their versions do.
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

    void apply(const StoreItem& item, std::string_view source); // a newer one only
    // The store's configuration is the one in force, whatever its revision: it may have been written again.
    bool isInForce(const StoreItem& item) const { return item.value == this->config.value; }
    const StoreItem& item() const { return this->config; } // of the configuration in force
    uint64_t digest() const { return this->valueHash; }    // equal for equal configurations

private:
    bool isNewer(const StoreItem& item, const Catalog& catalog) const;

    Hooks hooks;
    StoreItem config;
    uint64_t version = 0;   // of the configuration in force; never goes back
    uint64_t valueHash = 0; // of the configuration in force
    uint64_t unusable = 0;  // hash of the last value that can't be read or is not newer; it is logged once
};

} // namespace guavapond::edge
