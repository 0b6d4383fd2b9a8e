// Late copies of refusals, which bear the id of the request that was refused, also where that request is under way again.
#include "EdgeWorld.h"
#include "edge/RefusingServer.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;
using standins::RefusingServer;

TEST_GROUP(RefusalCopy) {};

namespace {

constexpr unsigned orders = 12; // of a case
const std::string notRun = "Guavapond-Attempt-Id: {id}\r\nGuavapond-Not-Executed: 1\r\n";
const std::string busy = "HTTP/1.1 503 Busy\r\n" + notRun;
const std::string misdirected = "HTTP/1.1 421 Misdirected\r\n" + notRun;

size_t runsOf(const RefusingServer& server, const std::string& id)
{
    return static_cast<size_t>(std::count_if(server.runs.begin(), server.runs.end(), [&](const auto& run) { return run.id == id; }));
}

// What is untrue of an order that ran `runs` times and whose caller got `status`; empty: nothing.
std::string untruth(const std::string& id, size_t runs, unsigned status)
{
    if (runs > 1)
        return "TWICE: " + id + " ran " + std::to_string(runs) + " times\n";
    const bool isRefused = status == 503 || status == 429 || status == 421 || status == 408;
    if (isRefused && runs > 0)
        return "REFUSED: " + id + " ran, its caller got " + std::to_string(status) + "\n";
    return "";
}

} // namespace

// Guards against an order that ran and is refused, or runs twice, since a copy of its first refusal answers its second send.
TEST(RefusalCopy, SecondEntryAtTheAddressOfTheFirst)
{
    for (const std::string& refusal : { misdirected, busy }) {
        for (const Duration copyDelay : { 0ms, 4ms }) {
            size_t refused = 0;
            for (unsigned seed = 0; seed < orders; ++seed) {
                EdgeWorld world;
                world.generator.seed(seed);
                world.setCatalog(world.catalog());
                RefusingServer server(world.loop);
                server.copyDelay = copyDelay;
                server.serviceTime = 2 * copyDelay;
                server.refuse = [&](const auto& request) { return request.target == "lives" ? "" : refusal; };
                world.addTarget("gone", server.address());
                world.addTarget("lives", server.address());
                const auto answer = world.send("/once/x", "o");
                CHECK(world.runUntilEnded(answer));
                STRCMP_EQUAL("", untruth("o", runsOf(server, "o"), answer->status).c_str());
                CHECK_EQUAL(200, answer->status);
                CHECK_EQUAL(0, server.repeated);
                refused += server.refused.size();
            }
            CHECK(refused > 0);
        }
    }
}

// Guards against an order that ran and is refused, since it came again after a refusal and its new exchange got the copy.
TEST(RefusalCopy, IdThatComesAgainAfterItsRefusal)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    RefusingServer server(world.loop);
    bool isBusy = true;
    server.refuse = [&](const auto&) { return isBusy ? busy : ""; };
    world.addTarget("t", server.address(), 100);
    for (unsigned i = 0; i < orders; ++i) {
        const std::string id = "o" + std::to_string(i);
        isBusy = true;
        const auto refused = world.send("/once/x", id);
        CHECK(world.runUntilEnded(refused));
        CHECK_EQUAL(503, refused->status);
        isBusy = false;
        const auto answer = world.send("/once/x", id);
        CHECK(world.runUntilEnded(answer));
        STRCMP_EQUAL("", untruth(id, runsOf(server, id), answer->status).c_str());
        CHECK_EQUAL(200, answer->status);
    }
}

// Guards against a connection that carries an id twice, and against one that its requests are kept from for another's id.
TEST(RefusalCopy, ConnectionsCarryEachIdOnce)
{
    EdgeWorld world;
    RefusingServer server(world.loop);
    ConnectionPool pool(world.loop, {});
    const auto run = [&](const std::string& id) {
        const ConnectionPointer connection = pool.acquire(server.address(), requestTag(id), 1min, bootTime());
        bool hasEnded = false;
        ResponseHooks hooks;
        hooks.head = [](const auto&) { return HeadVerdict::Accept; };
        hooks.body = [](std::string_view) {};
        hooks.complete = [&] { hasEnded = true; };
        hooks.failed = [](ConnectionFault, bool) {};
        connection->start("GET / HTTP/1.1\r\nHost: x\r\nGuavapond-Attempt-Id: " + id + "\r\n\r\n", "", true, std::move(hooks));
        CHECK(world.runUntil([&] { return hasEnded; }));
        pool.release(connection, bootTime());
        return connection->number();
    };
    CHECK_EQUAL(1, run("a"));
    CHECK_EQUAL(1, run("b"));
    CHECK_EQUAL(2, run("a"));
    CHECK_EQUAL(3, run("a"));
    CHECK_EQUAL(3, run("c")); // released last
    for (int i = 0; i < 1000; ++i)
        run("many" + std::to_string(i));
    CHECK(pool.opened() < 10);
    CHECK_EQUAL(0, server.repeated);
}

// Guards against bytes that came before a request was sent and are taken for its answer, and against a send on a connection that has ended.
TEST(RefusalCopy, ConnectionsWithUnreadBytesAreNotUsed)
{
    for (const bool isClosed : { false, true }) {
        EdgeWorld world;
        tcp::acceptor acceptor(world.loop, { net::ip::make_address("127.0.0.1"), 0 });
        tcp::socket accepted(world.loop);
        ConnectionPool pool(world.loop, {});
        const Address address { "127.0.0.1", acceptor.local_endpoint().port() };
        const ConnectionPointer connection = pool.acquire(address, requestTag("a"), 1min, bootTime());
        bool hasEnded = false;
        ResponseHooks hooks;
        hooks.head = [](const auto&) { return HeadVerdict::Accept; };
        hooks.body = [](std::string_view) {};
        hooks.complete = [&] { hasEnded = true; };
        hooks.failed = [](ConnectionFault, bool) {};
        connection->start("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", true, std::move(hooks));
        acceptor.accept(accepted);
        CHECK(world.runUntil([&] { return accepted.available() > 0; }));
        world.runFor(2ms); // the request is sent as a whole
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        net::write(accepted, net::buffer(answer));
        CHECK(world.runUntil([&] { return hasEnded; }));
        CHECK(connection->isReusable());
        pool.release(connection, bootTime());
        if (isClosed)
            accepted.close();
        else
            net::write(accepted, net::buffer(answer));
        const ConnectionPointer next = pool.acquire(address, requestTag("b"), 1min, bootTime());
        CHECK_EQUAL(2, next->number());
        CHECK_FALSE(connection->isOpen());
    }
}

// Guards against an id that counts as run, and tokens that are not given back, after a refusal by as many targets as the route allows.
TEST(RefusalCopy, IdThatComesAgainAfterTheLastAllowedTargetRefused)
{
    EdgeWorld world;
    world.setCatalog(world.catalog());
    RefusingServer first(world.loop);
    RefusingServer second(world.loop);
    bool isBusy = true;
    first.refuse = second.refuse = [&](const auto&) { return isBusy ? busy : ""; };
    world.addTarget("t1", first.address(), 100);
    world.addTarget("t2", second.address(), 100);
    const auto refused = world.send("/once/x", "o");
    CHECK(world.runUntilEnded(refused));
    CHECK_EQUAL(503, refused->status);
    CHECK_EQUAL(2, first.refused.size() + second.refused.size());
    isBusy = false;
    const auto answer = world.send("/once/x", "o");
    CHECK(world.runUntilEnded(answer));
    CHECK_EQUAL(200, answer->status);
    CHECK_EQUAL(1, first.runs.size() + second.runs.size());
}
