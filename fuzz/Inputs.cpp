// The parsers of untrusted input, a valid sample for each, and the guarantees that each parser must keep for any input.
#include "Inputs.h"

#include "edge/EdgeSettings.h"
#include "edge/EventScanner.h"
#include "edge/Explain.h"
#include "edge/PlacementWire.h"
#include "platform/Decode.h"
#include "scheduling/RequestFields.h"

#include <array>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace guavapond::fuzz {

namespace {

// Aborts the process with the violated guarantee if `condition` is false.
void require(bool condition, std::string_view guarantee)
{
    if (condition)
        return;
    std::cerr << "violated: " << guarantee << '\n';
    std::abort();
}

void readCatalog(std::string_view bytes)
{
    const auto decoded = platform::decodeCatalog(bytes, 1);
    require(decoded.value.has_value() || !decoded.reason.empty(), "the result is a configuration or a reason for the failure");
    if (!decoded.value)
        return;
    for (const edge::Route& route : decoded.value->routes)
        require(!route.shares.empty(), "a route has at least one service");
}

void readTarget(std::string_view bytes)
{
    const auto decoded = platform::decodeTarget("i-1", bytes, 1);
    require(decoded.value.has_value() || !decoded.reason.empty(), "the result is a target or a reason for the failure");
    if (decoded.value)
        require(decoded.value->slots > 0 && edge::parseAddress(edge::addressText(decoded.value->address)).has_value(),
            "a target has at least one slot and a valid address");
}

void readMoveOrder(std::string_view bytes) { platform::decodeMoveOrder(bytes, 1); }

void readMoveStatus(std::string_view bytes) { platform::decodeMoveStatus(bytes); }

// The items that nodes write themselves: a node's entry and a quarantined prompt part.
void readOwnItem(std::string_view bytes)
{
    platform::decodeMember(bytes);
    const auto quarantine = platform::decodeQuarantine(bytes, 1'700'000'000'000);
    if (quarantine.value)
        require(quarantine.value->age >= Duration::zero() && quarantine.value->age <= std::chrono::hours(1),
            "the age of a quarantine is in range");
}

// The relayed stream must not depend on how the input is split into reads, and must not contain additional bytes.
void readEvents(std::string_view bytes)
{
    const auto relayInReadsOf = [&](size_t readSize) {
        edge::EventScanner scanner;
        std::string relayed;
        for (size_t at = 0; at < bytes.size(); at += readSize) {
            if (!scanner.feed(bytes.substr(at, readSize), [&](std::string_view events) { relayed += events; }))
                break;
        }
        return relayed;
    };
    const std::string expected = relayInReadsOf(std::max<size_t>(bytes.size(), 1));
    require(expected.size() <= bytes.size(), "no bytes are added to a stream");
    require(relayInReadsOf(1) == expected && relayInReadsOf(7) == expected, "the relayed stream does not depend on how the input is split");
}

void readRequestFields(std::string_view bytes)
{
    edge::parseTokenCount(bytes);
    const auto parts = edge::parsePromptParts(bytes);
    require(parts.size() <= bytes.size() / 2 + 1, "there are no more parts than the field has room for");
    const auto shared = edge::sharedPartIds(bytes);
    require(shared.size() == std::max<size_t>(parts.size(), 1) - 1, "all parts but the last are shared");
    for (const std::string_view id : shared)
        edge::partKey(id);
    if (const auto address = edge::parseAddress(bytes))
        require(address->port > 0 && edge::addressText(*address).size() <= bytes.size(),
            "a parsed address has a port and is written with no more bytes than the input");
}

// A decoded message must be unchanged after encoding and decoding it again.
void readPlacement(std::string_view bytes)
{
    const auto message = edge::decodePlacement(bytes);
    if (!message)
        return;
    const std::string encoded = edge::encodePlacement(*message);
    const auto decodedAgain = edge::decodePlacement(encoded);
    require(
        decodedAgain.has_value() && edge::encodePlacement(*decodedAgain) == encoded, "a message is unchanged after encoding and decoding");
}

// Returns an encoded message in which every kind of entry occurs, as the sample for readPlacement.
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
        edge::PlacementAnswer answer;
        answer.id = 4;
        answer.verdict = edge::PlacementVerdict::Granted;
        answer.service = 1;
        answer.group = "d1";
        answer.target = 11;
        answer.grant = 6;
        answer.countedByLimit = answer.passedLimit = true;
        answer.limitEndedFor = std::chrono::milliseconds(3);
        answer.retryAfter = std::chrono::milliseconds(400);
        message.answers.push_back(answer);
        message.capacities.push_back({ 1, "d1", 12, std::chrono::milliseconds(8) });
        message.limits.push_back(
            { 1, 11, 1700, edge::LimitReport::Kind::NotNamed, 0, std::chrono::milliseconds(2), std::chrono::milliseconds(90) });
        message.limits.push_back({ 1, 12, 1700, edge::LimitReport::Kind::Named, 2.5, std::chrono::milliseconds(2), {} });
        return edge::encodePlacement(message);
    }();
    return text;
}

void readSettings(std::string_view bytes)
{
    const auto result = edge::parseEdgeSettings(bytes);
    require(result.settings.has_value() || !result.faults.empty(), "the result is settings or at least one fault");
}

void readLog(std::string_view bytes)
{
    std::istringstream log { std::string(bytes) };
    std::ostringstream output;
    edge::explainRequest(log, "1f", output);
}

struct InputKind {
    void (*read)(std::string_view bytes); // parses the bytes and checks the guarantees
    std::string_view sample;              // valid input
};

const std::array<InputKind, inputKindCount>& inputKinds()
{
    static const std::array<InputKind, inputKindCount> kinds { {
        { readCatalog,
            R"({"version":7,"routes":[{"name":"r","host":"A.example","prefix":"/x/","route_type":"streaming","timeout_ms":12000,)"
            R"("split":[{"service":"s1","weight":3},{"service":"s2","weight":1}],"max_attempts":2}],"services":[{"name":"s1","engine":)"
            R"({"stride":6}}],"limits":{"max_body_bytes":2000},"tenants":[{"name":"t1","api_keys":["k"],"priority":1,"rate_per_s":3.5}]})" },
        { readTarget,
            R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":13,"state":"ready","born":1764800000000})" },
        { readMoveOrder, R"({"service":"s1","target":"v2","duration_s":12})" },
        { readMoveStatus, R"({"target":"v2","state":"in_progress"})" },
        { readOwnItem, R"({"node":"n1","ip":"10.0.0.1","port":7600,"part":57005,"since_unix_ms":1699999990000})" },
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
    return kinds;
}

} // namespace

void readInput(size_t kind, std::string_view bytes) { inputKinds().at(kind).read(bytes); }

std::string_view sampleInput(size_t kind) { return inputKinds().at(kind).sample; }

} // namespace guavapond::fuzz
