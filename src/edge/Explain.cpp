// Selects the log lines that explain a request, orders them by time and prints them.
#include "edge/Explain.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace guavapond::edge {

namespace {

using nlohmann::json;

constexpr int64_t contextBeforeMs = 3000; // a change of the node's state this long before a request may still affect it

struct LogLine {
    int64_t unixMs = 0;
    std::string node;
    json object;
};

// True for lines about the state of the node, in contrast to lines about one request.
bool isAboutNode(const json& object) { return !object.contains("request"); }

// Formats the message and the remaining fields of a log line.
std::string describe(const json& object)
{
    static const std::set<std::string> standardFields { "unixMs", "level", "node", "message", "request" };
    std::string text = object.value("message", "");
    for (const auto& [name, value] : object.items()) {
        if (!standardFields.contains(name))
            text += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

std::vector<LogLine> readLines(std::istream& log)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(log, text);) {
        const size_t start = text.find('{');
        if (start == std::string::npos)
            continue;
        json object = json::parse(text.substr(start), nullptr, false);
        if (!object.is_object() || !object.contains("unixMs"))
            continue;
        LogLine line { object["unixMs"].get<int64_t>(), object.value("node", ""), std::move(object) };
        lines.push_back(std::move(line));
    }
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine& a, const LogLine& b) { return a.unixMs < b.unixMs; });
    return lines;
}

} // namespace

size_t explainRequest(std::istream& log, const std::string& requestId, std::ostream& output)
{
    const std::vector<LogLine> lines = readLines(log);
    std::vector<const LogLine*> requestLines;
    for (const LogLine& line : lines) {
        if (line.object.value("request", "") == requestId)
            requestLines.push_back(&line);
    }
    if (requestLines.empty()) {
        output << "no log line found for request " << requestId
               << "; under load nodes discard log lines beyond a limit, see \"Discarded\" lines\n";
        return 0;
    }
    const std::string& node = requestLines.front()->node;
    // The start is computed from the last line, which contains the duration of the request in ms.
    const int64_t startMs
        = std::min(requestLines.front()->unixMs, requestLines.back()->unixMs - requestLines.back()->object.value("ms", int64_t { 0 }));
    const int64_t endMs = requestLines.back()->unixMs;
    output << "request " << requestId << " at " << node << ", " << endMs - startMs << " ms\n";
    for (const LogLine& line : lines) {
        const bool isOwn = line.object.value("request", "") == requestId;
        const bool isContext
            = line.node == node && isAboutNode(line.object) && line.unixMs >= startMs - contextBeforeMs && line.unixMs <= endMs;
        if (!isOwn && !isContext)
            continue;
        output << (isOwn ? "* " : "  ") << line.unixMs - startMs << " ms  " << describe(line.object) << "\n";
    }
    return requestLines.size();
}

} // namespace guavapond::edge
