// Routing of a node's HTTP paths, and its own status pages.
#include "node/NodeApi.h"

#include "node/Replies.h"

namespace guavapond {

using Json = nlohmann::json;

namespace {

constexpr std::string_view ticketPrefix = "/v1/tickets/";

void sendText(HttpReply& reply, int status, std::string_view type, std::string body)
{
    const std::vector<HttpHeader> headers { { "Content-Type", std::string(type) } };
    reply.send(status, headers, std::move(body));
}

std::string_view healthName(TargetHealth health)
{
    switch (health) {
    case TargetHealth::Healthy:
        return "healthy";
    case TargetHealth::Suspect:
        return "suspect";
    case TargetHealth::Ejected:
        return "ejected";
    case TargetHealth::Probing:
        return "probing";
    }
    return "healthy";
}

Json moveStatus(const MoveStatus& move)
{
    return { { "id", move.row.id }, { "model", move.row.model }, { "fromVersion", move.row.fromVersion },
        { "toVersion", move.row.toVersion }, { "deadlineUnixMs", move.row.deadlineUnixMs }, { "verdict", verdictName(move.verdict.kind) },
        { "reason", badReasonName(move.verdict.reason) }, { "route", move.verdict.route }, { "phase", movePhaseName(move.view.phase) },
        { "percent", move.view.percent }, { "newRequests", move.newSamples } };
}

} // namespace

NodeApi::NodeApi(NodeApiPorts p, RequestPath& r, const Snapshot<TableIndex>& t, Decisions& d)
    : ports(std::move(p))
    , path(r)
    , table(t)
    , decisions(d)
{
}

void NodeApi::handle(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    auto path = request.path();
    bool isGet = request.method == "GET";
    if (path == "/healthz" && isGet)
        return sendText(*reply, 200, "text/plain", "ok\n");
    if (path == "/readyz" && isGet)
        return this->ready(*reply);
    if (path == "/metrics" && isGet)
        return sendText(*reply, 200, "text/plain; version=0.0.4", this->ports.metrics());
    if (path == "/v1/admin/status" && isGet)
        return this->status(request, *reply);
    if (path == "/v1/tickets" && request.method == "POST")
        return this->path.mintTicket(request, reply);
    if (path.starts_with(ticketPrefix) && isGet)
        return this->path.outcome(path.substr(ticketPrefix.size()), reply);
    this->path.serve(request, reply);
}

void NodeApi::ready(HttpReply& reply) const
{
    if (this->path.isStopping())
        return sendText(reply, 503, "text/plain", "stopping\n");
    if (!this->ports.hasTable())
        return sendText(reply, 503, "text/plain", "no table\n");
    sendText(reply, 200, "text/plain", "ready\n");
}

void NodeApi::status(const HttpRequest& request, HttpReply& reply)
{
    if (!this->ports.adminToken.empty() && request.header("Authorization") != "Bearer " + this->ports.adminToken)
        return sendFailure(
            reply, { FailureKind::Unauthorized, Disposition::NotRun, "the administrator's token is missing or wrong", {} }, {});
    auto now = this->ports.clock();
    auto active = this->path.active();
    auto rows = this->table.get();
    Json page;
    {
        std::lock_guard lock(this->decisions.mutex);
        page = this->statusPage(*rows, now);
    }
    page["active"] = active;
    if (this->ports.members)
        page["members"] = this->ports.members();
    page["moves"] = Json::array();
    for (const MoveStatus& move : this->ports.moves ? this->ports.moves() : std::vector<MoveStatus> {})
        page["moves"].push_back(moveStatus(move));
    sendText(reply, 200, "application/json", page.dump(-1, ' ', false, Json::error_handler_t::replace));
}

// Under the decision mutex.
Json NodeApi::statusPage(const TableIndex& rows, TimePoint now)
{
    auto stats = this->decisions.scheduler.stats();
    Json page {
        { "node", this->ports.nodeName },
        { "failureDomain", this->ports.failureDomain },
        { "incarnation", this->decisions.ledger.identity().incarnation },
        { "revision", rows.revision() },
        { "stopping", this->path.isStopping() },
        { "dispatched", stats.dispatched },
        { "tierInversions", stats.tierInversions },
        { "tickets", this->decisions.ledger.retained() },
        { "targets", Json::array() },
    };
    for (size_t i = 0; i < tierCount; ++i) {
        std::string name(tierName(static_cast<Tier>(i)));
        page["queued"][name] = stats.queued.at(i);
        page["running"][name] = stats.running.at(i);
        page["cancelled"][name] = stats.cancelled.at(i);
    }
    for (const auto& row : rows.table().targets)
        page["targets"].push_back(this->targetStatus(rows, row, now));
    return page;
}

Json NodeApi::targetStatus(const TableIndex& rows, const TargetRow& row, TimePoint now)
{
    Json json { { "name", row.name }, { "failureDomain", row.failureDomain }, { "model", row.model }, { "version", row.version } };
    auto id = rows.target(row.name);
    if (!id || raw(*id) >= this->decisions.targets.size())
        return json;
    auto view = this->decisions.targets.view(*id, now);
    json["health"] = healthName(view.health);
    json["draining"] = view.draining;
    json["running"] = view.running;
    json["window"] = view.window;
    json["prefillTokensPerSecond"] = view.rates.prefillTokensPerSecond;
    json["decodeTokensPerSecond"] = view.rates.decodeTokensPerSecond;
    return json;
}

} // namespace guavapond
