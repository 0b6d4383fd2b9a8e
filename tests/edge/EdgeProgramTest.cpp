// System tests of guavapond-edge as a process: start, refusal to start, serving, signals, and its log.
#include "ChildProcess.h"

#include "Caller.h"
#include "PortReservation.h"
#include "StoreTexts.h"
#include "edge/PlatformRunner.h"
#include "edge/PlatformStore.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

using namespace guavapond;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::string at(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

std::vector<json> linesOf(const test::Process& process)
{
    std::istringstream text(process.output());
    std::vector<json> lines;
    for (std::string line; std::getline(text, line);)
        lines.push_back(json::parse(line, nullptr, false));
    return lines;
}

bool hasLine(const test::Process& process, const std::string& message)
{
    const auto lines = linesOf(process);
    return std::any_of(
        lines.begin(), lines.end(), [&](const json& line) { return line.is_object() && line.value("message", "") == message; });
}

struct Ports {
    PortReservation callers;
    PortReservation ready;
    PortReservation peers;
    PortReservation metrics;
};

} // namespace

TEST_GROUP(EdgeProgram)
{
    edge::net::io_context loop;
    standins::PlatformStore store { this->loop, { "127.0.0.1", 0 } };
    standins::PlatformRunner runner { this->loop, { .id = "r1", .address = { "127.0.0.1", 0 }, .events = 40, .eventGap = 20ms } };
    std::vector<edge::ConnectionPointer> callers;
    std::string directory;
    Ports ports; // held, so that a restart finds its addresses free

    void setup() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "guavapond-XXXXXX").string();
        this->directory = ::mkdtemp(name.data());
        this->store.start();
        this->runner.start();
        this->store.model.put("op/config", test::configText(1, "r"));
        this->store.model.put("servers/r1", test::targetText("ready", 1, at(this->runner.address().port)));
    }
    void teardown() override { std::filesystem::remove_all(this->directory); }

    void writeSettings(const std::string& more = "") const
    {
        std::ofstream(this->directory + "/node.toml")
            << "node = \"n1\"\nfailureDomain = \"z\"\n[listen]\ncallers = \"" << at(this->ports.callers.port()) << "\"\nready = \""
            << at(this->ports.ready.port()) << "\"\npeers = \"" << at(this->ports.peers.port()) << "\"\nmetrics = \""
            << at(this->ports.metrics.port()) << "\"\n[store]\naddress = \"" << at(this->store.port()) << "\"\n"
            << more;
    }
    std::unique_ptr<test::Process> start() const
    {
        return std::make_unique<test::Process>(
            this->directory, "node", GUAVAPOND_EDGE, std::vector<std::string> { "--settings", this->directory + "/node.toml" });
    }
    bool runUntil(const std::function<bool()>& condition, Duration bound = test::patience)
    {
        const TimePoint end = edge::bootTime() + bound;
        bool holds = condition();
        while (!holds && edge::bootTime() < end) {
            this->loop.run_for(2ms);
            holds = condition();
        }
        return holds;
    }
    std::shared_ptr<edge::CallerAnswer> get(uint16_t port, const std::string& target)
    {
        return edge::callNode(this->loop, { "127.0.0.1", port }, "GET " + target, "Host: node\r\n", "", this->callers);
    }
    bool isReady()
    {
        const auto answer = this->get(this->ports.ready.port(), "/-/readyz");
        return this->runUntil([&] { return answer->ended; }) && answer->status == 200;
    }
    std::shared_ptr<edge::CallerAnswer> ask(const std::string& attempt)
    {
        return edge::callNode(this->loop, { "127.0.0.1", this->ports.callers.port() }, "POST /x/stream",
            "Host: a.example\r\nGuavapond-Attempt-Id: " + attempt
                + "\r\nGuavapond-Key: k\r\nGuavapond-Token-Count: 10,5\r\nContent-Length: 4\r\n",
            "text", this->callers);
    }
};

// Guards against a program that starts with settings that it does not understand, or names one fault at a time.
TEST(EdgeProgram, NamesAllFaultsOfItsSettings)
{
    writeSettings("[quotas]\nwindowSeconds = -1\n[stop]\ngraceSeconds = \"long\"\n");
    const auto node = start();
    const auto exit = node->waitForExit();
    CHECK(exit.has_value());
    LONGS_EQUAL(2, *exit);
    std::set<std::string> keys;
    for (const json& line : linesOf(*node))
        keys.insert(line.value("key", ""));
    CHECK(keys.contains("quotas.windowSeconds") && keys.contains("stop.graceSeconds"));
}

// Guards against a program that runs without one of its addresses.
TEST(EdgeProgram, EndsWhereAnAddressIsInUse)
{
    const edge::tcp::acceptor occupied(loop, { edge::net::ip::address_v4::loopback(), ports.callers.port() });
    writeSettings();
    const auto node = start();
    const auto exit = node->waitForExit();
    CHECK(exit.has_value());
    LONGS_EQUAL(3, *exit);
    CHECK(hasLine(*node, "an address can't be used"));
}

// Guards against a path that holds in parts only: configuration and target from the store, a stream to a caller, a reload, a planned stop
// that lets a stream end, and a log that tells all of it in JSON lines.
TEST(EdgeProgram, ServesReloadsAndStops)
{
    writeSettings();
    const auto node = start();
    CHECK(runUntil([&] { return this->isReady(); }));
    const auto first = ask("a1");
    CHECK(runUntil([&] { return first->ended; }));
    LONGS_EQUAL(200, first->status);
    CHECK(first->complete && first->body.find("id: 40") != std::string::npos);
    const auto metrics = get(ports.metrics.port(), "/metrics");
    const auto beliefs = get(ports.metrics.port(), "/beliefs");
    CHECK(runUntil([&] { return metrics->ended && beliefs->ended; }));
    CHECK(metrics->body.find("guavapond_edge_requests_total{result=\"answered\"} 1") != std::string::npos);
    CHECK(json::parse(beliefs->body)["configurationVersion"] == 1);

    writeSettings("[quotas]\nwindowSeconds = -1\n");
    node->send(SIGHUP);
    CHECK(runUntil([&] { return hasLine(*node, "settings are wrong"); }));
    writeSettings("[log]\nlevel = \"debug\"\n");
    const auto reloads = [&] {
        const auto lines = linesOf(*node);
        return std::count_if(lines.begin(), lines.end(),
            [](const json& line) { return line.is_object() && line.value("message", "") == "reload" && line.value("accepted", false); });
    };
    CHECK_TEXT(runUntil([&] { return reloads() > 0; }), "a change of the file without a signal");

    const auto last = ask("a2");
    CHECK(runUntil([&] { return last->body.find("id: 2") != std::string::npos; }));
    node->send(SIGTERM);
    CHECK(runUntil([&] { return last->ended; }));
    CHECK_TEXT(last->complete && last->body.find("id: 40") != std::string::npos, "a stream under way ends whole");
    CHECK(runUntil([&] { return !node->isRunning(); }));
    LONGS_EQUAL(0, *node->waitForExit());
    for (const json& line : linesOf(*node))
        CHECK(line.is_object() && line["unixMs"].is_number() && line["level"].is_string());
    for (const char* message :
        { "start", "configuration in force", "target joined", "ready", "request ended", "reload", "stopping", "stopped" })
        CHECK_TEXT(hasLine(*node, message), message);
    CHECK_TEXT(store.model.items().size() == 2, "its entry is gone from the store");
}

// Guards against a process that needs anything of its predecessor after a kill.
TEST(EdgeProgram, ServesAgainAfterAKill)
{
    writeSettings();
    auto node = start();
    CHECK(runUntil([&] { return this->isReady(); }));
    node->send(SIGKILL);
    CHECK(runUntil([&] { return !node->isRunning(); }));
    node = start();
    CHECK(runUntil([&] { return this->isReady(); }));
    const auto answer = ask("a1");
    CHECK(runUntil([&] { return answer->ended; }));
    CHECK(answer->status == 200 && answer->complete);
}
