// Picks and orders the lines of a story.
#include "edge/Explain.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace guavapond::edge {

namespace {

using nlohmann::json;

constexpr int64_t contextBeforeMs = 3000; // what a node believed that long before may decide a request

struct Line {
    int64_t unixMs = 0;
    std::string node;
    json object;
};

// Lines about what a node believes, in contrast to lines about one request.
bool isBelief(const json& object) { return !object.contains("request"); }

std::string describe(const json& object)
{
    static const std::set<std::string> header { "unixMs", "level", "node", "message", "request" };
    std::string text = object.value("message", "");
    for (const auto& [name, value] : object.items()) {
        if (!header.contains(name))
            text += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

std::vector<Line> readLines(std::istream& log)
{
    std::vector<Line> lines;
    for (std::string text; std::getline(log, text);) {
        const size_t start = text.find('{');
        if (start == std::string::npos)
            continue;
        json object = json::parse(text.substr(start), nullptr, false);
        if (!object.is_object() || !object.contains("unixMs"))
            continue;
        Line line { object["unixMs"].get<int64_t>(), object.value("node", ""), std::move(object) };
        lines.push_back(std::move(line));
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) { return a.unixMs < b.unixMs; });
    return lines;
}

} // namespace

size_t explainRequest(std::istream& log, const std::string& requestId, std::ostream& output)
{
    const std::vector<Line> lines = readLines(log);
    std::vector<const Line*> own;
    for (const Line& line : lines) {
        if (line.object.value("request", "") == requestId)
            own.push_back(&line);
    }
    if (own.empty()) {
        output << "no line names the request " << requestId << "; nodes log under load up to a bound, see \"Discarded\" lines\n";
        return 0;
    }
    const std::string& node = own.front()->node;
    // The last line tells how long the request took, so it gives the start.
    const int64_t began = std::min(own.front()->unixMs, own.back()->unixMs - own.back()->object.value("ms", int64_t { 0 }));
    const int64_t ended = own.back()->unixMs;
    output << "request " << requestId << " at " << node << ", " << ended - began << " ms\n";
    for (const Line& line : lines) {
        const bool isOwn = line.object.value("request", "") == requestId;
        const bool isContext = line.node == node && isBelief(line.object) && line.unixMs >= began - contextBeforeMs && line.unixMs <= ended;
        if (!isOwn && !isContext)
            continue;
        output << (isOwn ? "* " : "  ") << line.unixMs - began << " ms  " << describe(line.object) << "\n";
    }
    return own.size();
}

} // namespace guavapond::edge
