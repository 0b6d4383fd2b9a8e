// Sends each HTTP request of a node to the part that answers it.
//
// Index
//   NodeApi    handle() is the handler of the HTTP server
//
//   POST /v1/chat/completions, POST /v1/completions, ANY /v1/services/{service}/...   RequestPath
//   POST /v1/tickets, GET /v1/tickets/{id}                                            RequestPath
//   GET /healthz, GET /readyz, GET /metrics, GET /v1/admin/status                     here
#pragma once

#include "node/MoveWatch.h"
#include "node/RequestPath.h"

namespace guavapond {

struct NodeApiPorts {
    std::function<TimePoint()> clock;
    std::function<std::string()> metrics;           // the page of GET /metrics
    std::function<std::vector<MoveStatus>()> moves; // empty: none
    std::function<bool()> hasTable;                 // a revision of the table is in force
    std::function<nlohmann::json()> members;        // the other nodes as membership sees them; empty: not shown
    std::string nodeName;
    std::string failureDomain;
    std::string adminToken; // for /v1/admin/; empty: no check
};

class NodeApi {
public:
    NodeApi(NodeApiPorts ports, RequestPath& path, const Snapshot<TableIndex>& table, Decisions& decisions);

    void handle(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply);

private:
    void ready(HttpReply& reply) const;
    void status(const HttpRequest& request, HttpReply& reply);
    nlohmann::json statusPage(const TableIndex& rows, TimePoint now);
    nlohmann::json targetStatus(const TableIndex& rows, const TargetRow& row, TimePoint now);

    NodeApiPorts ports;
    RequestPath& path;
    const Snapshot<TableIndex>& table;
    Decisions& decisions;
};

} // namespace guavapond
