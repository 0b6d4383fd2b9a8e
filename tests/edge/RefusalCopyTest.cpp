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
