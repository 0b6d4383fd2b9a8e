// Lengths that a peer names in its messages: none of them may decide how much memory the node takes, or end more than its own connection.
#include "EdgeWorld.h"

#include "platform/StoreClient.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;
using standins::ScriptedEnd;

TEST_GROUP(AnswerLength) {};

namespace {

const std::string ownHead = "HTTP/1.1 200 OK\r\nGuavapond-Attempt-Id: {id}\r\nGuavapond-Response-Seal: s\r\n";

struct Row {
    std::string fields; // that say how long the body is
    std::string body;
    unsigned status; // of the caller's answer
};

// A request that the target answers with `row` while another target has a request in progress.
void checkRow(const Row& row)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    standins::ScriptedServer server(world.loop, ownHead + row.fields + "\r\n" + row.body, ScriptedEnd::Close);
    world.addTarget("spoiling", server.address());
    const auto spoiled = world.send("/once/x", "a1");
    CHECK_TEXT(world.runUntilEnded(spoiled), row.fields.c_str());
    CHECK_EQUAL_TEXT(row.status, spoiled->status, row.fields.c_str());
    if (row.status == 200)
        STRCMP_EQUAL_TEXT("yours", spoiled->body.c_str(), row.fields.c_str());
    world.relay.removeTarget("spoiling");
    world.addRunner("sound");
    const auto sound = world.send("/once/x", "a2");
    CHECK_TEXT(world.runUntilEnded(sound), row.fields.c_str());
    CHECK_EQUAL_TEXT(200, sound->status, row.fields.c_str());
}

} // namespace

// Guards against an announced length that sizes memory: 10^15 bytes end the process with std::bad_alloc, and all its requests with it.
TEST(AnswerLength, AnnouncedLengthReservesNoMemory)
{
    for (const char* length : { "1000000000000000", "9223372036854775807", "9223372036854775808", "18446744073709551615" })
        checkRow({ std::string("Content-Length: ") + length + "\r\n", "yours", 502 });
}

// Guards against lengths that parsers read differently, and against an answer that is passed on as whole although its length is not
// certain.
TEST(AnswerLength, MalformedLengthIsNoAnswer)
{
    const Row rows[] = {
        { "Content-Length: 5\r\n", "yours", 200 },
        { "Content-Length:   5  \r\n", "yours", 200 },
        { "Content-Length: 6\r\n", "yours", 502 },
        { "Content-Length: -1\r\n", "yours", 502 },
        { "Content-Length: +5\r\n", "yours", 502 },
        { "Content-Length: 0x5\r\n", "yours", 502 },
        { "Content-Length: 1e400\r\n", "yours", 502 },
        { "Content-Length: 5 5\r\n", "yours", 502 },
        { "Content-Length: \r\n", "yours", 502 },
        { "Content-Length: 18446744073709551616\r\n", "yours", 502 },
        { "Content-Length: 5\r\nContent-Length: 4\r\n", "yours", 502 },
        { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "5\r\nyours\r\n0\r\n\r\n", 502 },
        { "Transfer-Encoding: chunked\r\n", "5\r\nyours\r\n0\r\n\r\n", 200 },
        { "Transfer-Encoding: chunked\r\n", "ffffffffffffffff\r\nyours\r\n0\r\n\r\n", 502 },
        { "Transfer-Encoding: chunked\r\n", "7fffffffffffffff\r\nyours\r\n0\r\n\r\n", 502 },
        { "Transfer-Encoding: chunked\r\n", "10000000000000000\r\nyours\r\n0\r\n\r\n", 502 },
        { "Transfer-Encoding: chunked\r\n", "-5\r\nyours\r\n0\r\n\r\n", 502 },
        { "Transfer-Encoding: chunked\r\n", "0x5\r\nyours\r\n0\r\n\r\n", 502 },
        { "Transfer-Encoding: chunked\r\n", "\r\nyours\r\n0\r\n\r\n", 502 },
    };
    for (const Row& row : rows)
        checkRow(row);
}

// Guards against a caller that makes the node reserve the whole body that the limits allow, with a head alone.
TEST(AnswerLength, AnnouncedLengthOfARequestReservesNoMemory)
{
    EdgeWorld world;
    Catalog catalog = world.catalog();
    catalog.limits.bodyBytes = 1'000'000'000'000'000;
    world.setCatalog(std::move(catalog));
    world.addRunner("sound");
    const auto unfinished = callNode(world.loop, { "127.0.0.1", world.listener.port() }, "POST /once/x",
        std::string("Host: ") + EdgeWorld::host
            + "\r\nGuavapond-Attempt-Id: a1\r\nGuavapond-Key: key-1\r\nContent-Length: 900000000000000\r\n",
        "its first bytes", world.callers);
    world.runFor(50ms);
    const auto sound = world.send("/once/x", "a2");
    CHECK(world.runUntilEnded(sound));
    CHECK_EQUAL(200, sound->status);
    CHECK_FALSE(unfinished->ended);
}

// Guards against a limit on a body that doesn't hold when the head and the first bytes of the body arrive in one packet.
TEST(AnswerLength, RequestOverTheLimitIsRefused)
{
    EdgeWorld world;
    Catalog catalog = world.catalog();
    catalog.limits.bodyBytes = 1000;
    world.setCatalog(std::move(catalog));
    auto& runner = world.addRunner("sound");
    const std::string body(2000, 'x');
    const auto announced = world.send("/once/x", "a1", "Guavapond-Key: key-1\r\n", "POST", body);
    const auto chunked = callNode(world.loop, { "127.0.0.1", world.listener.port() }, "POST /once/x",
        std::string("Host: ") + EdgeWorld::host + "\r\nGuavapond-Attempt-Id: a2\r\nGuavapond-Key: key-1\r\nTransfer-Encoding: chunked\r\n",
        "7d0\r\n" + body + "\r\n0\r\n\r\n", world.callers);
    const auto small = callNode(world.loop, { "127.0.0.1", world.listener.port() }, "POST /once/x",
        std::string("Host: ") + EdgeWorld::host + "\r\nGuavapond-Attempt-Id: a3\r\nGuavapond-Key: key-1\r\nContent-Length: 1000000\r\n",
        "few", world.callers);
    for (const auto& answer : { announced, chunked, small }) {
        CHECK(world.runUntilEnded(answer));
        CHECK_EQUAL(413, answer->status);
    }
    CHECK_EQUAL(0, runner.runs.size());
}

// Guards against a number in a field of an answer that overflows, and so spoils the connection's limits or the target's state.
TEST(AnswerLength, NumbersInFieldsAreBounded)
{
    for (const char* value : { "0", "-1", "1e400", "9223372036854775808", "18446744073709551615", "99999999999999", "0x10", "", "nan" }) {
        net::io_context loop;
        standins::ScriptedServer server(loop,
            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + std::string(value) + "\r\nContent-Length: 5\r\n\r\nyours", ScriptedEnd::KeepOpen);
        const auto connection = std::make_shared<ClientConnection>(loop, server.address(), ConnectionSettings {});
        bool isComplete = false;
        ResponseHooks events;
        events.head = [](const http::response_header<>&) { return HeadVerdict::Accept; };
        events.body = [](std::string_view) {};
        events.complete = [&] { isComplete = true; };
        events.failed = [](ConnectionFault, bool) {};
        connection->start("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", true, events);
        CHECK_TEXT(runLoopUntil(
                       loop, [&] { return isComplete; }, 10s),
            value);
        CHECK_TEXT(connection->idleLimit() >= Duration::zero() && connection->idleLimit() <= 24h, value);
        if (std::string(value) == "99999999999999")
            CHECK_TEXT(connection->idleLimit() > 1s, "a long time is not a short one");
    }
    for (const char* field : { "Retry-After", "Server-Limit", "Guavapond-Weight-Versions" }) {
        for (const char* value : { "0", "-1", "1e400", "9223372036854775808", "99999999999999", "1e15", "0x10", "", "nan", "inf" }) {
            EdgeWorld world;
            world.setCatalog(world.catalog());
            standins::ScriptedServer server(
                world.loop, ownHead + field + ": " + value + "\r\nContent-Length: 5\r\n\r\nyours", ScriptedEnd::KeepOpen);
            world.addTarget("t", server.address());
            for (const char* attempt : { "a1", "a2" }) {
                const auto answer = world.send("/once/x", attempt);
                CHECK_TEXT(world.runUntilEnded(answer), value);
                CHECK_TEXT(answer->status == 200 || std::string(field) == "Server-Limit", value);
            }
        }
    }
}

// Guards against a connection that is paused for the caller of a large answer and stays so: the next request on it runs, and its answer is
// never read.
TEST(AnswerLength, ConnectionOfALargeAnswerIsReadAgain)
{
    constexpr size_t bytes = 1'050'000; // ends with the piece that pauses the connection
    EdgeWorld world;
    world.setCatalog(world.catalog());
    standins::ScriptedServer server(world.loop, ownHead + "Content-Length: 5\r\n\r\nyours", ScriptedEnd::KeepOpen);
    server.first = { ownHead + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x') };
    world.addTarget("t", server.address());
    const auto large = world.send("/once/x", "a1");
    CHECK(world.runUntilEnded(large));
    CHECK(large->complete && large->body.size() == bytes);
    const auto next = world.send("/once/x", "a2");
    CHECK(world.runUntilEnded(next));
    CHECK_EQUAL(200, next->status);
    CHECK_EQUAL(1, server.connections);
}

// Guards against an answer of the store, which is read as a whole, that fills the node's memory: announced, in chunks, or without end.
TEST(AnswerLength, AnswerOfTheStoreIsBounded)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    const std::string filler(4000, 'x');
    constexpr size_t kernelBuffers = 12 << 20; // loopback sockets take megabytes before the writer has to wait
    const std::vector<std::pair<std::string, std::string>> rows {
        { head + "Content-Length: 1000000000000000\r\n\r\n", filler },
        { head + "Transfer-Encoding: chunked\r\n\r\n", "fa0\r\n" + filler + "\r\n" },
        { head + "Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n", filler },
        { head + "\r\n", filler },
    };
    for (const auto& [bytes, repeated] : rows) {
        net::io_context loop;
        EdgeMetrics metrics;
        standins::ScriptedServer server(loop, bytes, ScriptedEnd::Repeat, repeated);
        platform::StoreClient store(loop, server.address(), 5s, metrics);
        std::optional<platform::CallResult<platform::RangePage>> result;
        store.range("op/", "", false, [&](platform::CallResult<platform::RangePage> read) { result = std::move(read); });
        CHECK_TEXT(runLoopUntil(
                       loop, [&] { return result.has_value(); }, 10s),
            bytes.c_str());
        CHECK_TEXT(!result->value, bytes.c_str());
        STRCMP_EQUAL_TEXT("too_large", std::string(platform::callFailureName(result->reason)).c_str(), bytes.c_str());
        CHECK_TEXT(server.repeated < platform::StoreClient::maxAnswerBytes + kernelBuffers, bytes.c_str());
    }
}
