// Late copies of answers on kept connections: copies that name no request or break off, copies of answers to HEAD requests, copies without
// end. Also what the id alone decides about orders that are running.
#include "EdgeWorld.h"
#include "edge/RefusingServer.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;
using standins::RefusingServer;
using standins::ScriptedEnd;
using standins::ScriptedServer;

TEST_GROUP(LateCopy) {};

namespace {

const std::string ownId = "Guavapond-Attempt-Id: {id}\r\n";
const std::string firstId = "Guavapond-Attempt-Id: o0\r\n";
const std::string seal = "Guavapond-Response-Seal: s\r\n";
const std::string notRun = "Guavapond-Not-Executed: 1\r\n";
const std::string noBody = "Content-Length: 0\r\n\r\n";
const std::string busy = "HTTP/1.1 503 Busy\r\n";
const std::string success = "HTTP/1.1 200 OK\r\n" + ownId + seal + "Content-Length: 5\r\n\r\nyours";

// What is untrue of the order "o1", which ran once at its target, behind which `bytes` are written on a kept connection; empty: nothing.
std::string untruthBehind(const std::string& name, const std::string& bytes)
{
    EdgeWorld world;
    Catalog catalog = world.catalog();
    for (Route& route : catalog.routes)
        route.timeout = 500ms; // an order whose answer can't be read ends then
    world.setCatalog(std::move(catalog));
    ScriptedServer server(world.loop, bytes, ScriptedEnd::KeepOpen);
    server.first = { success };
    world.addTarget("t", server.address());
    const auto first = world.send("/once/x", "o0");
    CHECK_TEXT(world.runUntilEnded(first), name.c_str());
    standins::PlatformRunner* second = nullptr;
    server.onRequest = [&] { second = &world.addRunner("second"); };
    const auto answer = world.send("/once/x", "o1");
    CHECK_TEXT(world.runUntilEnded(answer), name.c_str());
    CHECK_EQUAL_TEXT(1, server.connections, name.c_str());
    if (!second->runs.empty())
        return "TWICE: " + name + "\n";
    return answer->status < 500 || answer->status == 502 || answer->status == 504 ? "" : "REFUSED: " + name + "\n";
}

// Answers the second request with `bytes` if it comes on the connection of the first.
void copyOnKeptConnection(ScriptedServer& server, const std::string& bytes)
{
    server.onRequest = [&server, bytes] {
        if (server.requests == 2 && server.connections == 1)
            server.first.push_back(bytes);
    };
}

} // namespace

// Guards against a refusal on a kept connection that is believed since its id is empty.
TEST(LateCopy, RefusalWithAnEmptyId)
{
    const std::string emptyId = "Guavapond-Attempt-Id: \r\n";
    std::string wrong;
    wrong += untruthBehind("503 with an empty id", busy + emptyId + notRun + noBody + success);
    wrong += untruthBehind("421 with an empty id", "HTTP/1.1 421 Misdirected\r\n" + emptyId + noBody + success);
    wrong += untruthBehind("503 with an empty id and that of another", busy + emptyId + firstId + notRun + noBody + success);
    STRCMP_EQUAL("", wrong.c_str());
}

// Guards against a copy of a refusal that breaks off in its head, so that the head of the order's answer, with its id, continues it.
TEST(LateCopy, HeadThatBreaksOffBeforeTheAnswer)
{
    std::string wrong;
    const std::string busyCopy = busy + notRun + firstId + noBody;
    const std::string misdirectedCopy = "HTTP/1.1 421 Misdirected\r\n" + firstId + noBody;
    for (const std::string& copy : { busyCopy, misdirectedCopy }) {
        for (size_t length = 1; length < copy.size(); ++length)
            wrong += untruthBehind(
                "the first " + std::to_string(length) + " bytes of " + copy.substr(0, 12), copy.substr(0, length) + success);
    }
    STRCMP_EQUAL("", wrong.c_str());
}

// Guards against the answer to an order that is taken for the body of a late copy of the answer to a HEAD request, which has none.
TEST(LateCopy, CopyOfAnAnswerToHead)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    const std::string answerToHead = "HTTP/1.1 200 OK\r\n" + firstId + seal + "Content-Length: 5\r\n\r\n";
    ScriptedServer server(world.loop, success, ScriptedEnd::KeepOpen);
    server.first = { answerToHead };
    copyOnKeptConnection(server, answerToHead + success);
    world.addTarget("t", server.address());
    const auto first = world.send("/once/x", "o0", "Guavapond-Key: key-1\r\n", "HEAD", "");
    CHECK(world.runUntilEnded(first));
    CHECK_EQUAL(200, first->status);
    const auto answer = world.send("/once/x", "o1");
    CHECK(world.runUntilEnded(answer));
    CHECK_EQUAL(200, answer->status);
}

// Guards against the answer to a HEAD request that is lost since the body of a late copy of another answer is taken for a head.
TEST(LateCopy, CopyWithABodyBeforeAnAnswerToHead)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    const std::string copy = "HTTP/1.1 503 Busy\r\n" + firstId + notRun + "Content-Length: 4\r\n\r\nbusy";
    const std::string headAnswer = "HTTP/1.1 200 OK\r\n" + ownId + seal + "Content-Length: 5\r\n\r\n";
    ScriptedServer server(world.loop, headAnswer, ScriptedEnd::KeepOpen);
    server.first = { copy };
    copyOnKeptConnection(server, copy + headAnswer);
    world.addTarget("t", server.address());
    const auto first = world.send("/once/x", "o0");
    CHECK(world.runUntilEnded(first));
    CHECK_EQUAL(503, first->status);
    const auto answer = world.send("/once/x", "o1", "Guavapond-Key: key-1\r\n", "HEAD", "");
    CHECK(world.runUntilEnded(answer));
    CHECK_EQUAL(200, answer->status);
}

// Guards against a connection that counts as quiet although its next bytes, or its end, were received before the request is sent: the read
// that follows an answer may have taken them from the kernel already, while its handler waits behind others in the event loop.
TEST(LateCopy, ConnectionWhoseNextReadHasEndedIsNotUsed)
{
    for (const bool isClosed : { false, true }) {
        EdgeWorld world;
        tcp::acceptor acceptor(world.loop, { net::ip::make_address("127.0.0.1"), 0 });
        tcp::socket accepted(world.loop);
        ConnectionPool pool(world.loop, {});
        const Address address { "127.0.0.1", acceptor.local_endpoint().port() };
        const ConnectionPointer connection = pool.acquire(address, requestTag("a"), 1min, bootTime());
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        ConnectionPointer next;
        ResponseHooks hooks;
        hooks.head = [](const auto&) { return HeadVerdict::Accept; };
        hooks.body = [](std::string_view) {};
        hooks.complete = [&] {
            if (isClosed)
                accepted.close();
            else
                net::write(accepted, net::buffer(answer));
            pool.release(connection, bootTime());
            // As Exchange::endAttempt() lets the queue of the service be served.
            net::post(world.loop, [&] { next = pool.acquire(address, requestTag("b"), 1min, bootTime()); });
        };
        hooks.failed = [](ConnectionFault, bool) {};
        connection->start("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", true, std::move(hooks));
        acceptor.accept(accepted);
        CHECK(world.runUntil([&] { return accepted.available() > 0; }));
        world.runFor(2ms); // the request is sent as a whole
        net::write(accepted, net::buffer(answer));
        CHECK(world.runUntil([&] { return next != nullptr; }));
        CHECK_EQUAL_TEXT(2, next->number(), isClosed ? "closed" : "bytes");
    }
}

// Guards against copies without end, each of which is short: maxSkippedBytes bounds what a request skips.
TEST(LateCopy, ShortCopiesWithoutEnd)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    const std::string copy = busy + firstId + notRun + noBody;
    std::string many;
    while (many.size() < 64 * 1024)
        many += copy;
    ScriptedServer server(world.loop, copy, ScriptedEnd::Repeat, many);
    server.first = { success };
    world.addTarget("t", server.address());
    CHECK(world.runUntilEnded(world.send("/once/x", "o0")));
    const auto answer = world.send("/once/x", "o1");
    CHECK(world.runUntilEnded(answer));
    CHECK_EQUAL(502, answer->status);
    CHECK(server.repeated < 8 * ConnectionSettings {}.maxSkippedBytes); // what was in buffers included
}

// Guards against an order that is refused although the order with its id, which was admitted before, is running.
TEST(LateCopy, IdOfARunningOrderIsNotRefusedAsNotRun)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    RefusingServer server(world.loop);
    server.serviceTime = 300ms;
    world.addTarget("t", server.address(), 100);
    const auto first = world.send("/once/x", "o");
    CHECK(world.runUntil([&] { return !server.runs.empty(); }));
    world.relay.freshness.setBound(1us); // no young proof
    const auto again = world.send("/once/x", "o");
    CHECK(world.runUntilEnded(first));
    CHECK(world.runUntilEnded(again));
    CHECK_EQUAL(1, server.runs.size());
    CHECK_EQUAL(200, first->status);
    CHECK_EQUAL(409, again->status);
}

// Guards against an order that runs twice, since a request of another kind with its id was refused while it was running.
TEST(LateCopy, RefusalOfARepeatableRequestLeavesAnOrdersIdAdmitted)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    RefusingServer server(world.loop);
    server.serviceTime = 300ms;
    bool isBusy = false;
    server.refuse = [&](const auto&) { return isBusy ? busy + ownId + notRun : ""; };
    world.addTarget("t", server.address(), 100);
    const auto first = world.send("/once/x", "o");
    CHECK(world.runUntil([&] { return !server.runs.empty(); }));
    isBusy = true;
    const auto other = world.send("/plain/x", "o");
    CHECK(world.runUntilEnded(other));
    CHECK_EQUAL(503, other->status);
    isBusy = false;
    const auto again = world.send("/once/x", "o");
    CHECK(world.runUntilEnded(first));
    CHECK(world.runUntilEnded(again));
    CHECK_EQUAL(1, server.runs.size());
}
