// The operators' configuration as one immutable snapshot, with the lookups that a request needs.
//
// Index
//   Route         what a request may do, and where it goes
//   Service       a pool of targets
//   CallerLimits  bounds for what a caller may send
//   Workspace     owner of keys, with its token rate
//   Catalog       all of it; immutable once built
#pragma once

#include "core/Types.h"

#include <memory>
#include <unordered_map>

namespace guavapond::edge {

enum class RouteKind : uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming,
};

struct ServiceShare {
    std::string service;
    uint32_t weight = 1; // relative to the other shares of the route
};

struct Route {
    std::string name;
    std::string host;   // lower case
    std::string prefix; // begins and ends with a slash
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout = std::chrono::seconds(10);         // an answer is due by then
    Duration objective = std::chrono::milliseconds(500); // to the whole answer, or to the first event of a stream
    int priority = 0;                                    // 0 is the highest
    uint32_t maxTargets = 1;                             // targets that one request may be sent to
    bool needsKey = true;
    bool resumable = false; // a stream may go on at another target
    std::vector<ServiceShare> shares;

    bool mayRepeat() const { return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Streaming && this->resumable); }
};

struct EngineSpec {
    uint32_t tokensPerEvent = 1; // tokens in one event of a stream
};

struct Service {
    std::string name;
    std::optional<EngineSpec> engine; // empty: a plain service
};

struct CallerLimits {
    uint32_t headerBytes = 16 * 1024;
    uint64_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct Workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; // goes before the route's
    bool countsTokens = false;   // false: each request counts as one
    uint64_t defaultTokens = 1;  // of a request that states no size
    double ratePerSecond = 0;    // tokens or requests; 0: no limit
    double burst = 0;            // tokens or requests
};

class Catalog {
public:
    uint64_t version = 0;  // the operators' number; grows in uneven steps
    uint64_t revision = 0; // of the store's item
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    CallerLimits limits;

    void index();                                                               // call once, after the last change
    const Route* findRoute(std::string_view host, std::string_view path) const; // longest prefix of that host
    const Workspace* findWorkspace(std::string_view key) const;
    const Service* findService(std::string_view name) const;

private:
    std::unordered_map<std::string, size_t> routesByPrefix; // host + prefix
    std::unordered_map<std::string, size_t> workspacesByKey;
    std::unordered_map<std::string, size_t> servicesByName;
};

std::string lowerCase(std::string_view text); // host names and header names are compared in it

using CatalogPointer = std::shared_ptr<const Catalog>;

} // namespace guavapond::edge
