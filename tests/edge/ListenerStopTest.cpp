// The end of callers' connections: what the kernel has accepted is served, and an answer reaches its caller whatever else the caller sent.
#include "Caller.h"
#include "edge/HttpListener.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

TEST_GROUP(ListenerStop)
{
    net::io_context loop;
    CallerLimits limits;
    std::unique_ptr<HttpListener> listener;

    void setup() override
    {
        this->listener = std::make_unique<HttpListener>(
            this->loop, ListenerSettings { .address = { "127.0.0.1", 0 }, .maxConnections = 10 },
            [](const CallerPointer& caller, const CallerRequest&) {
                caller->sendResponse(makeResponse({ 200, "fine", "text/plain", {} }));
            },
            [this] { return this->limits; });
        this->listener->listen();
    }
    tcp::socket connect()
    {
        tcp::socket socket(this->loop);
        socket.connect({ net::ip::address_v4::loopback(), this->listener->port() });
        return socket;
    }
    bool runUntil(const std::function<bool()>& condition) { return runLoopUntil(this->loop, condition, 10s); }
    // Reads until the listener closes; the text up to a reset.
    std::string readAll(tcp::socket & socket, boost::system::error_code & end)
    {
        std::string text;
        bool hasEnded = false;
        net::async_read(socket, net::dynamic_buffer(text), [&](boost::system::error_code error, size_t) {
            end = error;
            hasEnded = true;
        });
        this->runUntil([&] { return hasEnded; });
        return text;
    }
};

// Guards against connections that the kernel has accepted, with requests on them, and that are reset because the listening socket closes.
TEST(ListenerStop, ConnectionsInTheBacklogAreServed)
{
    constexpr size_t count = 5;
    std::vector<tcp::socket> callers;
    for (size_t i = 0; i < count; ++i) {
        callers.push_back(connect());
        net::write(callers.back(), net::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    }
    const uint16_t port = listener->port();
    listener->disableKeepAlive();
    listener->stopAccepting();
    for (tcp::socket& caller : callers) {
        boost::system::error_code end;
        const std::string answer = readAll(caller, end);
        CHECK_TEXT(answer.ends_with("fine"), answer.c_str());
        CHECK(end == net::error::eof);
        caller.close();
    }
    CHECK(runUntil([&] { return listener->connections() == 0; }));
    tcp::socket refused(loop);
    boost::system::error_code error;
    refused.connect({ net::ip::address_v4::loopback(), port }, error);
    CHECK(error == net::error::connection_refused);
}

// Guards against a last look that misses a connection: the event loop has taken it from the kernel, but its handler has not run yet.
TEST(ListenerStop, AConnectionThatIsBeingAcceptedCounts)
{
    tcp::socket first = connect();
    tcp::socket second = connect();
    net::write(second, net::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    while (listener->connections() == 0)
        loop.run_one(); // the next accept succeeds at once and waits for its handler
    listener->disableKeepAlive();
    listener->stopAccepting();
    LONGS_EQUAL(1, listener->connections());
    CHECK(listener->mayAddConnection());
    boost::system::error_code end;
    const std::string answer = readAll(second, end);
    CHECK_TEXT(answer.ends_with("fine"), answer.c_str());
    CHECK_FALSE(listener->mayAddConnection());
}

// Guards against an answer that the caller loses to a reset, because the node closes a connection on which bytes have come that it doesn't
// read: the rest of a body that is too large, or a further request.
TEST(ListenerStop, AnswerReachesACallerThatStillSends)
{
    limits.bodyBytes = 1000;
    const std::string rest(3'000'000, 'x');
    tcp::socket caller = connect();
    net::write(caller, net::buffer(std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n\r\n")));
    std::optional<boost::system::error_code> sent;
    net::async_write(caller, net::buffer(rest), [&](boost::system::error_code error, size_t) { sent = error; });
    loop.run_for(100ms); // the node has answered, and the rest is on its way
    boost::system::error_code end;
    const std::string answer = readAll(caller, end);
    CHECK_TEXT(answer.starts_with("HTTP/1.1 413"), answer.c_str());
    CHECK_TEXT(end == net::error::eof, end.message().c_str());
    CHECK(runUntil([&] { return sent.has_value(); }));
    CHECK_TEXT(!*sent, sent->message().c_str()); // a caller whose sending fails doesn't look for an answer
    caller.close();
    CHECK(runUntil([&] { return listener->connections() == 0; }));
}

// Guards against a new connection that is closed as idle in a stop before its first request has had time to arrive.
TEST(ListenerStop, NewConnectionHasTimeForItsFirstRequest)
{
    tcp::socket caller = connect();
    CHECK(runUntil([&] { return listener->connections() == 1; }));
    listener->closeIdle(bootTime());
    LONGS_EQUAL(1, listener->connections());
    net::write(caller, net::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    listener->closeIdle(bootTime() + 1h); // the request has reached the socket, not yet the node
    LONGS_EQUAL(1, listener->connections());
    std::array<char, 100> answer {};
    size_t bytes = 0;
    caller.async_read_some(net::buffer(answer), [&](boost::system::error_code, size_t count) { bytes = count; });
    CHECK(runUntil([&] { return bytes > 0; }));
    CHECK(runUntil([&] { return listener->connections() == 1; }));
    listener->closeIdle(bootTime());
    LONGS_EQUAL(0, listener->connections());
    tcp::socket silent = connect();
    CHECK(runUntil([&] { return listener->connections() == 1; }));
    listener->closeIdle(bootTime() + 1s);
    LONGS_EQUAL(0, listener->connections());
}
