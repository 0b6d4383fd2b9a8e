// Builds the status page from its sections: routes, services, workspaces, nodes and moves.
#include "edge/Beliefs.h"

#include "scheduling/RequestFields.h"
#include "scheduling/StoreRevision.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavapond::edge {

namespace {

using nlohmann::json;

std::string_view kindName(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::NonIdempotent:
        return "non_idempotent";
    case RouteKind::Streaming:
        break;
    }
    return "streaming";
}

json routes(const Catalog& catalog)
{
    json list = json::array();
    for (const Route& route : catalog.routes) {
        json shares = json::object();
        for (const ServiceShare& share : route.shares)
            shares[share.service] = share.weight;
        list.push_back({ { "name", route.name }, { "host", route.host }, { "prefix", route.prefix }, { "kind", kindName(route.kind) },
            { "priority", route.priority }, { "shares", shares } });
    }
    return list;
}

json services(const Relay& relay, TimePoint now)
{
    json list = json::array();
    for (const auto& [name, service] : relay.services()) {
        json targets = json::array();
        for (const TargetPool::View& view : service->targets.view(now)) {
            const TargetInfo& info = *view.info;
            targets.push_back({ { "id", info.id }, { "address", addressText(info.address) }, { "failureDomain", info.failureDomain },
                { "version", info.version }, { "running", view.running }, { "slots", info.slots }, { "prefillTokens", view.prefillTokens },
                { "tokensPerMs", view.tokensPerMs }, { "eventGapMs", inMilliseconds(view.gap) },
                { "requestLimit", view.requestLimit.perSecond ? json(*view.requestLimit.perSecond) : json() },
                { "requestLimitShare", view.requestLimit.perSecond ? json(view.share) : json() },
                { "requestLimitAgeMs", view.requestLimit.at == TimePoint {} ? json() : json(toMilliseconds(now - view.requestLimit.at)) },
                { "rateBy", rateKindName(view.rateKind) }, { "warmUpLeftMs", toMilliseconds(view.warmUpLeft) },
                { "state",
                    view.leaving         ? "leaving"
                        : view.evacuated ? "evacuated"
                        : view.paused    ? "paused"
                                         : "usable" } });
        }
        json homes = json::array();
        for (const Placement::HomeView& view : relay.placement.view(service->hash, now))
            homes.push_back({ { "group", view.group }, { "home", view.home }, { "waiting", view.waiting }, { "granted", view.granted },
                { "workspacesAhead", view.workspacesAhead } });
        list.push_back({ { "name", name }, { "occupancy", relay.placement.occupancy(service->hash, now) }, { "homes", homes },
            { "targets", targets } });
    }
    return list;
}

json workspaces(Relay& relay, const Catalog& catalog, TimePoint now)
{
    json list = json::array();
    for (const Workspace& workspace : catalog.workspaces) {
        const WorkspaceQuota::View view = relay.quota.view(workspace, now);
        list.push_back({ { "name", workspace.name }, { "ratePerSecond", workspace.ratePerSecond }, { "burst", workspace.burst },
            { "level", view.level }, { "inWindow", view.inWindow }, { "windowLimit", view.limit } });
    }
    return list;
}

json nodes(const PeerTable& peers, TimePoint now)
{
    json list = json::array();
    for (const Member& member : peers.members()) {
        const auto sinceLastBeacon = peers.sinceLastBeacon(member.node, now);
        list.push_back({ { "node", member.node }, { "address", addressText({ member.ip, member.port }) },
            { "heardMsAgo", sinceLastBeacon ? inMilliseconds(*sinceLastBeacon) : -1 } });
    }
    return list;
}

json moves(Relay& relay)
{
    json list = json::array();
    for (const auto& [service, move] : relay.moves()) {
        const RouteCounts counts = move.plan.counts();
        list.push_back({ { "service", service }, { "version", move.plan.order().version }, { "state", moveStateName(move.plan.state()) },
            { "newRequests", counts.newVersion.requests }, { "newBad", counts.newVersion.bad },
            { "oldRequests", counts.oldVersion.requests }, { "oldBad", counts.oldVersion.bad } });
    }
    return list;
}

size_t targetsIn(const Relay& relay, const std::string& domain, TimePoint now)
{
    size_t count = 0;
    for (const auto& item : relay.services()) {
        const auto views = item.second->targets.view(now);
        count += static_cast<size_t>(
            std::count_if(views.begin(), views.end(), [&](const auto& view) { return view.info->failureDomain == domain; }));
    }
    return count;
}

json evacuations(const Relay& relay, TimePoint now)
{
    json list = json::array();
    for (const auto& [domain, evacuated] : relay.evacuated())
        list.push_back({ { "domain", domain }, { "from", evacuated.source }, { "era", eraOf(evacuated.revision) },
            { "revision", revisionInEra(evacuated.revision) }, { "sinceMs", toMilliseconds(now - evacuated.since) },
            { "targets", targetsIn(relay, domain, now) } });
    return list;
}

// `requests`: whole requests; else parts of prompts.
json quarantined(const PromptQuarantine& quarantine, bool requests, TimePoint now)
{
    json list = json::array();
    for (const PartAge& entry : quarantine.list(now)) {
        if (entry.isRequest == requests)
            list.push_back({ { requests ? "requestKey" : "part", partText(entry.part) }, { "ageMs", inMilliseconds(entry.age) },
                { "keptBack", quarantine.keptBack(entry.part) } });
    }
    return list;
}

} // namespace

std::string nodeStatusPage(const std::string& node, Relay& relay, const PeerTable& peers, TimePoint now, size_t slowCallers)
{
    const auto proofAge = relay.freshness.age(now);
    json page { { "node", node }, { "ready", isReady(relay.readiness()) }, { "readiness", readinessName(relay.readiness()) },
        { "inFlight", relay.inFlight() }, { "slowCallers", slowCallers }, { "slowTargets", relay.slowTargets() },
        { "proofAgeMs", proofAge ? inMilliseconds(*proofAge) : -1 }, { "services", services(relay, now) }, { "nodes", nodes(peers, now) },
        { "moves", moves(relay) }, { "evacuations", evacuations(relay, now) },
        { "quarantinedParts", quarantined(relay.quarantine, false, now) },
        { "quarantinedRequests", quarantined(relay.quarantine, true, now) } };
    if (const CatalogPointer& catalog = relay.catalog()) {
        page["configurationVersion"] = catalog->version;
        page["configurationFrom"] = catalog->source;
        page["configurationEra"] = eraOf(catalog->revision);
        page["configurationRevision"] = revisionInEra(catalog->revision);
        page["routes"] = routes(*catalog);
        page["workspaces"] = workspaces(relay, *catalog, now);
    }
    return page.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace guavapond::edge
