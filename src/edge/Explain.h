// The story of one request, from the log lines of edge nodes: its own decisions in order, and what its node believed or lost shortly
// before and meanwhile.
//
// Index
//   explainRequest
#pragma once

#include <istream>
#include <ostream>
#include <string>

namespace guavapond::edge {

// Reads log lines, also with a prefix before the JSON object, and writes the story of the request. Returns how many of its lines were
// found.
size_t explainRequest(std::istream& log, const std::string& requestId, std::ostream& output);

} // namespace guavapond::edge
