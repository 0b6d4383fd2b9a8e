// Explains one request from the logs of edge nodes: lists the log lines of the request in order of time, together with the lines
// that its node logged about the state of peers, targets and the store shortly before and during the request.
//
// Index
//   explainRequest   writes the timeline of one request
#pragma once

#include <istream>
#include <ostream>
#include <string>

namespace guavapond::edge {

// Reads JSON log lines, each with an optional prefix before the JSON object, and writes the timeline of the request. Returns the number
// of log lines that belong to the request; 0: the request was not found.
size_t explainRequest(std::istream& log, const std::string& requestId, std::ostream& output);

} // namespace guavapond::edge
