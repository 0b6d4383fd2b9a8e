// Readers, samples and what must hold for any bytes.
#include "Inputs.h"

#include "edge/EdgeSettings.h"
#include "edge/EventScanner.h"
#include "edge/Explain.h"
#include "edge/PlacementWire.h"
#include "edge/RequestFields.h"
#include "platform/Decode.h"

#include <array>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace guavapond::fuzz {

namespace {

void require(bool holds, std::string_view what)
{
    if (holds)
        return;
    std::cerr << "does not hold: " << what << '\n';
    std::abort();
}

void readCatalog(std::string_view bytes)
{
    const auto decoded = platform::decodeCatalog(bytes, 1);
    require(decoded.value.has_value() || !decoded.reason.empty(), "a configuration, or a reason why there is none");
    if (!decoded.value)
        return;
    for (const edge::Route& route : decoded.value->routes)
        require(!route.shares.empty(), "a route names a service");
}

void readTarget(std::string_view bytes)
{
    const auto decoded = platform::decodeTarget("i-1", bytes, 1);
    require(decoded.value.has_value() || !decoded.reason.empty(), "an entry, or a reason why there is none");
    if (decoded.value)
        require(decoded.value->slots > 0 && edge::parseAddress(edge::addressText(decoded.value->address)).has_value(),
            "a target has slots and an address");
}

void readMoveOrder(std::string_view bytes) { platform::decodeMoveOrder(bytes, 1); }

void readMoveStatus(std::string_view bytes) { platform::decodeMoveStatus(bytes); }

void readMember(std::string_view bytes) { platform::decodeMember(bytes); }

// Events come out as they went in, whole, however the bytes are split.
void readEvents(std::string_view bytes)
{
    const auto relayed = [&](size_t piece) {
        edge::EventScanner scanner;
        std::string text;
        for (size_t at = 0; at < bytes.size(); at += piece) {
            if (!scanner.feed(bytes.substr(at, piece), [&](std::string_view events) { text += events; }))
                break;
        }
        return text;
    };
    const std::string whole = relayed(std::max<size_t>(bytes.size(), 1));
    require(whole.size() <= bytes.size(), "nothing is added to a stream");
    require(relayed(1) == whole && relayed(7) == whole, "splits do not change a stream");
}

void readRequestFields(std::string_view bytes)
{
    edge::parseTokenCount(bytes);
    const auto parts = edge::parsePromptParts(bytes);
    require(parts.size() <= bytes.size() / 2 + 1, "each part takes bytes of the field");
    if (const auto address = edge::parseAddress(bytes))
        require(address->port > 0 && edge::addressText(*address).size() <= bytes.size(), "an address is what was written");
}

// What was read is written and read again as the same.
void readPlacement(std::string_view bytes)
{
    const auto message = edge::decodePlacement(bytes);
    if (!message)
        return;
    const std::string written = edge::encodePlacement(*message);
    const auto again = edge::decodePlacement(written);
    require(again.has_value() && edge::encodePlacement(*again) == written, "a message survives its own writing");
}

// A message with every part, for the reader above.
std::string_view samplePlacement()
{
    static const std::string text = [] {
        edge::PlacementMessage message;
        message.node = "n1";
        message.incarnation = 7;
        message.sequence = 3;
        message.reports.push_back({ 1, "d1", 7, 5, { { 11, 2, 300, std::chrono::milliseconds(20) } } });
        edge::PlacementRequest ask;
        ask.service = 1;
        ask.parts = { { 21, 60 }, { 22, 900 } };
        ask.excludedTargets = { 11 };
        ask.firstEventWithin = std::chrono::milliseconds(300);
        message.requests.push_back(ask);
        message.withdrawals.push_back({ 1, "d1", 4 });
        message.samples.push_back({ 1, 11, edge::TargetOutcome::Answered, std::chrono::milliseconds(90), 900, {}, {}, ask.parts });
        message.answers.push_back({ 0, 4, edge::PlacementVerdict::Granted, 1, "d1", "", 11, 6 });
        message.capacities.push_back({ 1, "d1", 12, std::chrono::milliseconds(8) });
        return edge::encodePlacement(message);
    }();
    return text;
}

void readSettings(std::string_view bytes)
{
    const auto result = edge::parseEdgeSettings(bytes);
    require(result.settings.has_value() || !result.faults.empty(), "settings, or every fault");
}

void readLog(std::string_view bytes)
{
    std::istringstream log { std::string(bytes) };
    std::ostringstream story;
    edge::explainRequest(log, "1f", story);
}

struct Input {
    void (*read)(std::string_view bytes);
    std::string_view sample;
};

const std::array<Input, inputKindCount>& inputs()
{
    static const std::array<Input, inputKindCount> list { {
        { readCatalog,
            R"({"version":7,"routes":[{"name":"r","host":"A.example","prefix":"/x/","route_type":"streaming","timeout_ms":12000,)"
            R"("split":[{"service":"s1","weight":3},{"service":"s2","weight":1}],"max_attempts":2}],"services":[{"name":"s1","engine":)"
            R"({"stride":6}}],"limits":{"max_body_bytes":2000},"tenants":[{"name":"t1","api_keys":["k"],"priority":1,"rate_per_s":3.5}]})" },
        { readTarget,
            R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":13,"state":"ready","born":1764800000000})" },
        { readMoveOrder, R"({"service":"s1","target":"v2","duration_s":12})" },
        { readMoveStatus, R"({"target":"v2","state":"in_progress"})" },
        { readMember, R"({"node":"n1","ip":"10.0.0.1","port":7600})" },
        { readEvents, "id: 1\ndata: a\n\n: note\r\n\r\nid: 2\nweights: 3\ndata: b\n\nid: 3\ndata: c\n\nid: 4\nda" },
        { readRequestFields, "5c1e07a2:800,91bd3f06:410,e4402b7d:250,10.0.0.9:8080" },
        { readPlacement, samplePlacement() },
        { readSettings,
            "node = \"n\"\nfailureDomain = \"z\"\n[listen]\ncallers = \"127.0.0.1:8221\"\nready = \"127.0.0.1:8224\"\n"
            "peers = \"127.0.0.1:7600\"\nmetrics = \"127.0.0.1:7601\"\n[store]\naddress = \"127.0.0.1:8225\"\n"
            "[quotas]\nwindowSeconds = 8\n" },
        { readLog,
            R"({"unixMs":1,"level":"INFO","node":"n1","message":"request ended","request":"1f","result":"refused","ms":12})"
            "\n" },
    } };
    return list;
}

} // namespace

void readInput(size_t kind, std::string_view bytes) { inputs().at(kind).read(bytes); }

std::string_view sampleInput(size_t kind) { return inputs().at(kind).sample; }

} // namespace guavapond::fuzz
