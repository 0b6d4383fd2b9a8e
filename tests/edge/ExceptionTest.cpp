// Exceptions in the handlers of one connection: they end that connection and its request, and nothing else.
#include "EdgeWorld.h"

#include <CppUTest/TestHarness.h>
#include <new>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

TEST_GROUP(Exception)
{
    net::io_context loop;
    std::vector<std::string> contained; // parts that reported an exception
    ExceptionHook hook = [this](std::string_view part, const std::exception&) { this->contained.emplace_back(part); };

    bool runUntil(const std::function<bool()>& condition) { return runLoopUntil(this->loop, condition, 10s); }
};

// Guards against an exception in a callback of one response, for example for want of memory, that leaves the event loop and so ends all
// requests of the process.
TEST(Exception, OfAResponseEndsOnlyItsConnection)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nyours";
    for (const char* callback : { "head", "body", "complete" }) {
        standins::ScriptedServer server(loop, answer, standins::ScriptedEnd::KeepOpen);
        std::vector<ConnectionFault> faults;
        bool anyByteSent = false;
        const auto throwIf = [&](const std::string& name) {
            if (name == callback)
                throw std::bad_alloc();
        };
        ResponseHooks events;
        events.head = [&](const http::response_header<>&) {
            throwIf("head");
            return HeadVerdict::Accept;
        };
        events.body = [&](std::string_view) { throwIf("body"); };
        events.complete = [&] { throwIf("complete"); };
        events.failed = [&](ConnectionFault fault, bool sent) {
            faults.push_back(fault);
            anyByteSent = sent;
        };
        ConnectionSettings settings;
        settings.exceptionContained = hook;
        const auto connection = std::make_shared<ClientConnection>(loop, server.address(), settings);
        contained.clear();
        connection->start("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", true, events);
        CHECK_TEXT(runUntil([&] { return !contained.empty(); }), callback);
        CHECK_FALSE_TEXT(connection->isReusable(), callback);
        if (std::string(callback) == "complete") {
            CHECK_TEXT(faults.empty(), "a request that is complete doesn't fail afterwards");
            continue;
        }
        CHECK_EQUAL_TEXT(1, faults.size(), callback);
        CHECK_TEXT(faults[0] == ConnectionFault::Internal, callback);
        CHECK_TEXT(anyByteSent, "the request may have run");
    }
}

// Guards against an exception while one request is handled that ends the process, or leaves a second answer behind on the connection.
TEST(Exception, OfARequestEndsOnlyItsConnection)
{
    HttpListener listener(
        loop, { .address = { "127.0.0.1", 0 }, .exceptionContained = hook },
        [](const CallerPointer& caller, const CallerRequest& request) {
            if (request.message.target() == "/throws")
                throw std::length_error("too long");
            caller->sendResponse(makeResponse({ 200, "fine", "text/plain", {} }));
        },
        [] { return CallerLimits {}; });
    listener.listen();
    std::vector<ConnectionPointer> connections;
    const Address address { "127.0.0.1", listener.port() };
    const auto throwing = callNode(loop, address, "GET /throws", "Host: x\r\n", "", connections);
    const auto sound = callNode(loop, address, "GET /sound", "Host: x\r\n", "", connections);
    CHECK(runUntil([&] { return throwing->ended && sound->ended; }));
    CHECK_FALSE(throwing->complete);
    CHECK_EQUAL(200, sound->status);
    CHECK_EQUAL(1, contained.size());
    CHECK_EQUAL(1, listener.connections());
}

// Guards against a request whose handling throws and which then gets no answer before its deadline, or "not run" although its target may
// have run it.
TEST(Exception, OfARunningRequestIsAnsweredAsUnknown)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    const std::string begin = "HTTP/1.1 200 OK\r\nGuavapond-Attempt-Id: {id}\r\nGuavapond-Response-Seal: s\r\n\r\nyou";
    standins::ScriptedServer first(world.loop, begin, standins::ScriptedEnd::Reset);
    standins::ScriptedServer second(world.loop, begin, standins::ScriptedEnd::Reset);
    world.addTarget("t1", first.address());
    world.addTarget("t2", second.address());
    bool hasThrown = false;
    world.beforeRandom = [&] {
        if (first.requests + second.requests == 1 && !std::exchange(hasThrown, true))
            throw std::bad_alloc();
    };
    const auto running = world.send("/plain/x", "a1");
    CHECK(world.runUntil([&] { return running->ended; }, 1s));
    CHECK_EQUAL(502, running->status);
    CHECK(hasThrown);
    CHECK_EQUAL(1, first.requests + second.requests);
    world.relay.removeTarget("t1");
    world.relay.removeTarget("t2");
    world.addRunner("sound");
    const auto sound = world.send("/once/x", "a2");
    CHECK(world.runUntilEnded(sound));
    CHECK_EQUAL(200, sound->status);
}
