// Explains where a request would go now and why, without sending it: the route and workspace that it belongs to, the home that decides, and
// each target with its load, its predicted times and what excludes it. It shows the view of the node that is asked; where another node is
// the home, that node's view decides. It names no redirection to another group, and no target that serves only since all are paused.
//
// Index
//   PlacementQuestion    a request that is not sent
//   PlacementReport      status and JSON body of the answer
//   reportPlacement      answers a question given as JSON
#pragma once

#include "edge/Relay.h"

namespace guavapond::edge {

struct PlacementQuestion {
    std::string host;
    std::string path;
    std::string key;           // of the workspace; empty: none
    uint32_t promptTokens = 0; // 0: not stated
    uint32_t outputEvents = 1; // expected
    std::string promptParts;   // ID:TOKENS entries, as in a request
};

struct PlacementReport {
    unsigned status = 200; // 400: the question can't be read; 401: unknown key; 404: no such route; 503: no configuration yet
    std::string body;
};

// `question`: JSON with the fields of PlacementQuestion; host and path are needed.
PlacementReport reportPlacement(const std::string& node, const Relay& relay, std::string_view question, TimePoint now);

} // namespace guavapond::edge
