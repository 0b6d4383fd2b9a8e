// Lookups of routes, workspaces and services in the configuration.
#include "scheduling/Catalog.h"

#include <algorithm>

namespace guavapond::edge {

void Catalog::index()
{
    for (size_t i = 0; i < this->routes.size(); ++i)
        this->routesByPrefix[this->routes[i].host + this->routes[i].prefix] = i;
    for (size_t i = 0; i < this->workspaces.size(); ++i) {
        for (const std::string& key : this->workspaces[i].keys)
            this->workspacesByKey[key] = i;
    }
    for (size_t i = 0; i < this->services.size(); ++i)
        this->servicesByName[this->services[i].name] = i;
}

const Route* Catalog::findRoute(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so the path is cut at each of its slashes and looked up, the longest part first.
    std::string key(host);
    key += path;
    for (size_t slash = key.rfind('/'); slash != std::string::npos && slash >= host.size(); slash = key.rfind('/', slash - 1)) {
        key.resize(slash + 1);
        const auto found = this->routesByPrefix.find(key);
        if (found != this->routesByPrefix.end())
            return &this->routes[found->second];
        if (slash == 0)
            break;
    }
    return nullptr;
}

WorkspaceList Catalog::workspaceList() const
{
    if (!this->workspaces.empty())
        return WorkspaceList::Some;
    return this->hasWorkspaceList ? WorkspaceList::Empty : WorkspaceList::None;
}

const Workspace* Catalog::findWorkspace(std::string_view key) const
{
    const auto found = this->workspacesByKey.find(std::string(key));
    return found == this->workspacesByKey.end() ? nullptr : &this->workspaces[found->second];
}

const Service* Catalog::findService(std::string_view name) const
{
    const auto found = this->servicesByName.find(std::string(name));
    return found == this->servicesByName.end() ? nullptr : &this->services[found->second];
}

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace guavapond::edge
