// Reads the question, follows the steps of a request up to its placement, and lists the candidates.
#include "edge/PlacementReport.h"

#include "edge/JsonFields.h"
#include "scheduling/RequestFields.h"
#include "scheduling/TargetCandidates.h"

#include <algorithm>

namespace guavapond::edge {

namespace {

using nlohmann::json;

PlacementReport failure(unsigned status, std::string_view reason) { return { status, json { { "error", reason } }.dump() }; }

PlacementQuestion readQuestion(const json& object)
{
    PlacementQuestion question;
    question.host = jsonField<std::string>(object.at("host"));
    question.path = jsonField<std::string>(object.at("path"));
    question.key = valueOr(object, "key", std::string());
    question.promptTokens = valueOr(object, "promptTokens", 0U);
    question.outputEvents = std::max(valueOr(object, "outputEvents", 1U), 1U);
    question.promptParts = valueOr(object, "promptParts", std::string());
    return question;
}

json describe(const TargetPool& pool, const TargetCandidate& candidate, TimePoint now)
{
    const TargetInfo& info = pool.info(candidate.target);
    return { { "target", info.id }, { "failureDomain", info.failureDomain }, { "version", info.version },
        { "excludedBy", targetExclusionName(candidate.exclusion) }, { "running", candidate.running }, { "slots", info.slots },
        { "prefillTokens", candidate.prefillTokens }, { "cachedTokens", candidate.cachedTokens },
        { "firstEventMs", inMilliseconds(candidate.firstEvent) }, { "slotWaitMs", inMilliseconds(candidate.slotWait) },
        { "scoreMs", candidate.scoreMs }, { "brittle", pool.brittlePerSecond(candidate.target, now).has_value() } };
}

// Where the request is decided and what would come of it there, by this node's view.
json reportService(const Relay& relay, const ServiceShare& share, const Route& route, const Demand& asked, TimePoint now)
{
    json result { { "service", share.service }, { "weight", share.weight } };
    const auto found = relay.services().find(share.service);
    if (found == relay.services().end()) {
        result["verdict"] = "no_targets";
        return result;
    }
    const TargetPool& pool = found->second->targets;
    const std::string group = relay.placement.groupFor(pool);
    const std::string home = relay.placement.homeOf(found->second->hash, group, now);
    Demand demand = asked;
    demand.onlyDomain = group;
    const AdmissionSettings& admission = relay.relaySettings().admission;
    const Duration latestFirst = firstEventBound(admission, route.objective);
    std::vector<TargetCandidate> candidates = pool.candidates(demand, now);
    std::sort(candidates.begin(), candidates.end(), [](const TargetCandidate& a, const TargetCandidate& b) {
        const bool isOpenA = a.exclusion == TargetExclusion::None;
        const bool isOpenB = b.exclusion == TargetExclusion::None;
        return isOpenA != isOpenB ? isOpenA : a.scoreMs < b.scoreMs;
    });
    json list = json::array();
    for (const TargetCandidate& candidate : candidates)
        list.push_back(describe(pool, candidate, now));
    const bool isAnyOpen = !candidates.empty() && candidates.front().exclusion == TargetExclusion::None;
    const bool isInTime = isAnyOpen && (candidates.front().firstEvent <= latestFirst || candidates.front().running == 0);
    result["group"] = group;
    result["home"] = home;
    result["homeIsThisNode"] = home == relay.nodeName();
    result["occupancy"] = relay.placement.occupancy(found->second->hash, now);
    result["longestWaitMs"] = inMilliseconds(maxWait(admission, route.objective));
    result["latestFirstEventMs"] = inMilliseconds(latestFirst);
    result["verdict"] = isInTime ? "placed" : isAnyOpen ? "too_late" : pool.usableCount() == 0 ? "no_targets" : "waits";
    result["target"] = isInTime ? json(pool.info(candidates.front().target).id) : json();
    result["candidates"] = std::move(list);
    return result;
}

} // namespace

PlacementReport reportPlacement(const std::string& node, const Relay& relay, std::string_view text, TimePoint now)
{
    PlacementQuestion question;
    try {
        question = readQuestion(json::parse(text));
    } catch (const std::exception&) { // its text may quote the key
        return failure(400, "the question is no JSON object with a host and a path, or one of its fields makes no sense");
    }
    const CatalogPointer& catalog = relay.catalog();
    if (!catalog)
        return failure(503, "no configuration yet");
    const Route* route = catalog->findRoute(question.host, question.path.substr(0, question.path.find('?')));
    if (!route || route->shares.empty())
        return failure(404, "no such route");
    const Workspace* workspace = question.key.empty() ? nullptr : catalog->findWorkspace(question.key);
    if (catalog->needsKey(*route) && !workspace)
        return failure(401, question.key.empty() ? "the route needs a key" : "unknown key");
    const Rank rank { workspace ? workspace->priority.value_or(route->priority) : route->priority, route->priority };
    Demand demand;
    demand.promptTokens = question.promptTokens;
    demand.outputEvents = question.outputEvents;
    demand.urgent = rank.workspace == 0 || rank.route == 0;
    demand.repeatable = route->mayRepeat();
    const std::vector<PromptPart> parts = parsePromptParts(question.promptParts);
    demand.parts = parts;
    json services = json::array();
    for (const ServiceShare& share : route->shares)
        services.push_back(reportService(relay, share, *route, demand, now));
    std::string_view blockedBy;
    if (relay.reach.isCutOff())
        blockedBy = "cut_off_from_targets"; // peers send its requests
    if (workspace && !relay.freshness.holds(now))
        blockedBy = "no_young_proof";
    return { 200,
        json { { "node", node }, { "route", route->name }, { "workspace", workspace ? json(workspace->name) : json() },
            { "workspaceRank", rank.workspace }, { "routeRank", rank.route }, { "blockedBy", blockedBy.empty() ? json() : json(blockedBy) },
            { "services", std::move(services) } }
            .dump() };
}

} // namespace guavapond::edge
