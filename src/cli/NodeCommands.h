// Commands that talk to nodes over the callers' interface.
#pragma once

#include "cli/Output.h"

namespace guavapond::cli {

struct NodeOptions {
    std::vector<std::string> nodes;              // base URLs
    std::string caFile;                          // PEM; empty: the system's certificates
    Duration timeout = std::chrono::seconds(10); // of silence
    bool json = false;
};

struct RequestOptions {
    std::string kind; // chat, completion or service
    std::string workspace;
    std::string tier = "standard";
    std::string token;
    std::string ticket;
    std::optional<uint64_t> deadlineMs;
    std::string model;                 // chat, completion
    std::string prompt;                // chat, completion
    std::optional<uint64_t> maxTokens; // chat, completion
    std::string method = "GET";        // service
    std::string path;                  // service: SERVICE/PATH
    std::string body;                  // service
    std::string idempotent;            // service: "", "true" or "false"
};

struct WhereOptions { // a request that is not sent
    std::string host;
    std::string path;
    std::string key;
    uint32_t promptTokens = 0;
    uint32_t outputEvents = 1; // expected
    std::string promptParts;   // ID:TOKENS entries, joined by commas
};

int showStatus(const NodeOptions& options);  // GET /v1/admin/status of each node
int showBeliefs(const NodeOptions& options); // GET /beliefs at the metrics address of each edge node
// POST /where at the metrics address of each edge node: where the request would go now, and why. Nothing is sent to a target.
int showWhere(const NodeOptions& options, const WhereOptions& question);
int showTicket(const NodeOptions& options, const std::string& id, const std::string& token);
int sendRequest(const NodeOptions& options, const RequestOptions& request); // a stream is printed as it arrives

} // namespace guavapond::cli
