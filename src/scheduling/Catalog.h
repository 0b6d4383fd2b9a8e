// Immutable snapshot of the operators' configuration, with the lookups that a request needs.
//
// Index
//   RouteKind     whether a request may be repeated, and whether its answer is a stream
//   ServiceShare  a service of a route, with its weight
//   Route         which requests it matches, their limits, and the services they go to
//   EngineSpec    properties of a service whose targets are inference engines
//   Service       a pool of targets
//   CallerLimits  bounds for what a caller may send
//   Workspace     owner of keys, with its rate limit
//   Catalog       the whole configuration; immutable once indexed
//   lowerCase     form in which host and header names are compared
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
    Duration timeout = std::chrono::seconds(10);         // an answer is due within it
    Duration objective = std::chrono::milliseconds(500); // latency objective: time to the whole answer, or to the first event of a stream
    int priority = 0;                                    // 0: the highest
    uint32_t maxTargets = 1;                             // targets that one request may be sent to
    bool needsKey = true;
    bool resumable = false; // an interrupted stream may be continued at another target
    std::vector<ServiceShare> shares;

    bool mayRepeat() const { return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Streaming && this->resumable); }
};

struct EngineSpec {
    uint32_t tokensPerEvent = 1; // tokens in one event of a stream
};

struct Service {
    std::string name;
    std::optional<EngineSpec> engine; // empty: the targets are not inference engines
    double warmUpPerSecond = 0;       // requests that a target takes from all nodes while it warms up, as written; 0: any number
    double warmUpSeconds = 0;         // how long a target warms up after its start, as written
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
    std::optional<int> priority; // overrides the route's; empty: the route's applies
    bool countsTokens = false;   // false: each request counts as one
    uint64_t defaultTokens = 1;  // charged for a request that states no size
    double ratePerSecond = 0;    // tokens or requests; 0: no limit
    double burst = 0;            // tokens or requests
};

// Whether requests need a key, as the configuration says.
enum class WorkspaceList : uint8_t {
    None,  // it has no list of workspaces: no request needs a key
    Empty, // its list is empty: no key is valid
    Some,
};

class Catalog {
public:
    uint64_t version = 0;  // set by the operators; grows, but may skip numbers
    uint64_t revision = 0; // of the store item that holds the configuration
    std::string source;    // "store", or the peer that passed the configuration on
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    bool hasWorkspaceList = false; // the configuration has a list, perhaps an empty one; see workspaceList()
    CallerLimits limits;

    void index(); // builds the lookups; called once, after the last change
    WorkspaceList workspaceList() const;
    bool needsKey(const Route& route) const { return route.needsKey && this->workspaceList() != WorkspaceList::None; }
    const Route* findRoute(std::string_view host, std::string_view path) const; // longest matching prefix of that host
    const Workspace* findWorkspace(std::string_view key) const;
    const Service* findService(std::string_view name) const;

private:
    std::unordered_map<std::string, size_t> routesByPrefix; // by host + prefix
    std::unordered_map<std::string, size_t> workspacesByKey;
    std::unordered_map<std::string, size_t> servicesByName;
};

std::string lowerCase(std::string_view text);

using CatalogPointer = std::shared_ptr<const Catalog>;

} // namespace guavapond::edge
