// System tests of the planned stop: guavapond-edge as a process, callers on new and on kept connections until the process is gone, and a
// store that answers, is slow to answer or does not answer the last calls.
#include "EdgeProcess.h"

#include "Caller.h"
#include "StoreTexts.h"
#include "edge/PlatformRunner.h"
#include "edge/PlatformStore.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <random>

using namespace guavapond;
using test::loopbackAddress;
using namespace std::chrono_literals;

TEST_GROUP(StopProgram)
{
    struct Call {
        std::string attempt;
        Duration sentAfterStop {}; // negative: before
        std::shared_ptr<edge::CallerAnswer> answer;
    };

    edge::net::io_context loop;
    standins::PlatformStore store { this->loop, { "127.0.0.1", 0 } };
    std::unique_ptr<standins::PlatformRunner> runner;
    std::vector<edge::ConnectionPointer> connections;
    std::vector<Call> calls;
    std::optional<TimePoint> stoppedAt;
    std::string directory;
    std::optional<test::EdgeProcess> files;
    std::unique_ptr<test::Process> node;

    void setup() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "guavapond-stop-XXXXXX").string();
        this->directory = ::mkdtemp(name.data());
        this->store.start();
        this->files.emplace("node", this->directory, this->store.port());
    }
    void teardown() override
    {
        this->node.reset();
        std::filesystem::remove_all(this->directory);
    }

    // Starts the node with a route of orders and a target that works for `work` on each.
    void start(Duration work, int timeoutMs, int graceSeconds)
    {
        this->runner = std::make_unique<standins::PlatformRunner>(
            this->loop, standins::RunnerSettings { .id = "r1", .address = { "127.0.0.1", 0 }, .work = work });
        this->runner->start();
        this->store.model.put("op/config", test::plainConfigText(1, "non_idempotent", timeoutMs));
        this->store.model.put("servers/r1", test::targetText("ready", 1, loopbackAddress(this->runner->address().port)));
        this->files->writeSettings("[stop]\ngraceSeconds = " + std::to_string(graceSeconds) + "\n");
        this->node = this->files->start();
        CHECK(this->runUntil([&] { return this->isReady(); }));
    }
    bool runUntil(const std::function<bool()>& condition, Duration timeout = test::patience)
    {
        return edge::runLoopUntil(this->loop, condition, timeout);
    }
    void runFor(Duration span) { this->loop.run_for(span); }
    bool isReady()
    {
        const auto answer = edge::callNode(
            this->loop, { "127.0.0.1", this->files->ready.port() }, "GET /-/readyz", "Host: node\r\n", "", this->connections);
        return this->runUntil([&] { return answer->ended; }) && answer->status == 200;
    }
    std::string fields(const std::string& attempt, int deadlineMs) const
    {
        return "Host: a.example\r\nGuavapond-Attempt-Id: " + attempt
            + "\r\nGuavapond-Key: k\r\nGuavapond-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nContent-Length: 4\r\n";
    }
    Call& send(int deadlineMs = 1500)
    {
        const std::string attempt = "a" + std::to_string(this->calls.size());
        const Duration since = this->stoppedAt ? edge::bootTime() - *this->stoppedAt : Duration(-1);
        const auto answer = edge::callNode(this->loop, { "127.0.0.1", this->files->callers.port() }, "POST /x/order",
            this->fields(attempt, deadlineMs), "text", this->connections);
        return this->calls.emplace_back(Call { attempt, since, answer });
    }
    void stop()
    {
        this->node->send(SIGTERM);
        this->stoppedAt = edge::bootTime();
    }
    Duration sinceStop() const { return edge::bootTime() - *this->stoppedAt; }
    bool haveAllEnded() const
    {
        return std::all_of(this->calls.begin(), this->calls.end(), [](const Call& call) { return call.answer->ended; });
    }
    // Orders that a target has run, or whose connection the node took, and that got no answer.
    std::vector<std::string> lost() const
    {
        std::vector<std::string> result;
        for (const Call& call : this->calls) {
            if (!call.answer->complete && this->runner->runsOf(call.attempt) > 0)
                result.push_back(call.attempt + " sent " + std::to_string(toMilliseconds(call.sentAfterStop)) + " ms after SIGTERM");
        }
        return result;
    }
    void checkNoneLost() const
    {
        const auto found = this->lost();
        CHECK_EQUAL_TEXT(0, found.size(), found.empty() ? "" : found.front().c_str());
    }
};

// Guards against orders that are taken after the node has found itself idle, while it ends its entry in the store: a target runs them and
// their connections end without an answer. A store that doesn't answer makes that time as long as it can be.
TEST(StopProgram, OrdersAreAnsweredWhileTheEntryIsRemoved)
{
    start(60ms, 1500, 8);
    for (int i = 0; i < 20; ++i) {
        send();
        runFor(20ms);
    }
    stop();
    // Idle meanwhile, so that the node begins to end its entry as soon as the balancer has removed it.
    runFor(2600ms);
    store.mode = standins::StoreMode::Silent;
    CHECK(runUntil([&] { return sinceStop() >= 3300ms; }));
    while (node->isRunning() && sinceStop() < 9s) {
        send();
        runFor(10ms);
    }
    CHECK_FALSE(node->isRunning());
    CHECK(runUntil([&] { return haveAllEnded(); }));
    checkNoneLost();
    LONGS_EQUAL(0, *node->waitForExit());
}

// Guards against an order that is still in progress when the grace ends, and whose caller gets a closed connection in place of an answer;
// and against orders that are taken late in the grace although they can't end in it.
TEST(StopProgram, EachOrderHasItsAnswerAtTheEndOfTheGrace)
{
    start(20s, 15000, 4);
    const Call before = send(15000);
    CHECK(runUntil([&] { return runner->runsOf(before.attempt) == 1; }));
    stop();
    runFor(1s);
    send(15000);
    CHECK(runUntil([&] { return sinceStop() >= 3s; }));
    const Call late = send(15000);
    CHECK(runUntil([&] { return late.answer->ended; }, 500ms));
    CHECK_EQUAL(503, late.answer->status);
    CHECK_EQUAL(1, late.answer->fields.count(edge::http::field::retry_after));
    STRCMP_EQUAL("close", std::string(late.answer->fields[edge::http::field::connection]).c_str());
    CHECK_EQUAL(0, runner->runsOf(late.attempt));
    CHECK(runUntil([&] { return haveAllEnded(); }));
    CHECK_TEXT(sinceStop() < 4s, "before the process is killed");
    for (const Call& call : calls) {
        CHECK_TEXT(call.answer->complete, call.attempt.c_str());
        const bool mayHaveRun = runner->runsOf(call.attempt) > 0;
        CHECK_EQUAL_TEXT(mayHaveRun ? 504U : 503U, call.answer->status, call.attempt.c_str());
    }
    CHECK(runUntil([&] { return !node->isRunning(); }));
    CHECK(sinceStop() < 4500ms);
    LONGS_EQUAL(0, *node->waitForExit());
    checkNoneLost();
}

// Guards against a node that runs late, or is suspended, over the end of its grace, and closes its callers' connections without an answer
// because it finds the time for that already past.
TEST(StopProgram, ALateNodeAnswersBeforeItCloses)
{
    start(20s, 15000, 4);
    const Call running = send(15000);
    CHECK(runUntil([&] { return runner->runsOf(running.attempt) == 1; }));
    stop();
    CHECK(runUntil([&] { return sinceStop() >= 3400ms; }));
    node->send(SIGSTOP);
    CHECK(runUntil([&] { return sinceStop() >= 4200ms; }));
    node->send(SIGCONT);
    CHECK(runUntil([&] { return haveAllEnded(); }));
    CHECK(running.answer->complete);
    CHECK_EQUAL(504, running.answer->status);
    CHECK(runUntil([&] { return !node->isRunning(); }));
    LONGS_EQUAL(0, *node->waitForExit());
}

// Guards against orders on kept connections that a stop drops: callers use theirs until the process is gone.
TEST(StopProgram, KeptConnectionsAreServedUntilTheirAnswerClosesThem)
{
    start(30ms, 1500, 8);
    edge::ConnectionPool pool(loop, {});
    const auto sendOnKept = [&] {
        const std::string attempt = "a" + std::to_string(calls.size());
        auto answer = std::make_shared<edge::CallerAnswer>();
        const auto connection = pool.acquire({ "127.0.0.1", files->callers.port() }, std::nullopt, 10s, edge::bootTime());
        edge::ResponseHooks events;
        events.head = [answer](const edge::http::response_header<>& head) {
            answer->status = head.result_int();
            return edge::HeadVerdict::Accept;
        };
        events.body = [](std::string_view) {};
        events.complete = [&pool, answer, weak = std::weak_ptr(connection)] {
            answer->complete = answer->ended = true;
            if (const auto used = weak.lock())
                pool.release(used, edge::bootTime());
        };
        events.failed = [answer](edge::ConnectionFault, bool) { answer->ended = true; };
        connection->start("POST /x/order HTTP/1.1\r\n" + fields(attempt, 1500) + "\r\n", "text", true, std::move(events));
        calls.push_back({ attempt, stoppedAt ? sinceStop() : Duration(-1), answer });
    };
    for (int i = 0; i < 30; ++i) {
        sendOnKept();
        runFor(20ms);
    }
    stop();
    while (node->isRunning() && sinceStop() < 9s) {
        sendOnKept();
        runFor(40ms);
    }
    CHECK_FALSE(node->isRunning());
    CHECK(runUntil([&] { return haveAllEnded(); }));
    checkNoneLost();
    LONGS_EQUAL(0, *node->waitForExit());
}

// Guards against a request that is half there when the stop begins and is dropped when its rest comes, and against one whose rest never
// comes and which keeps the process from ending.
TEST(StopProgram, HalfARequestIsWaitedForOnlyInTheGrace)
{
    start(30ms, 1500, 5);
    edge::tcp::socket unfinished(loop);
    edge::tcp::socket late(loop);
    const std::string head = "POST /x/order HTTP/1.1\r\n" + fields("h1", 1000) + "\r\n";
    for (edge::tcp::socket* socket : { &unfinished, &late }) {
        socket->connect({ edge::net::ip::address_v4::loopback(), files->callers.port() });
        edge::net::write(*socket, edge::net::buffer(head.substr(0, head.size() - 3)));
    }
    runFor(100ms);
    stop();
    CHECK(runUntil([&] { return sinceStop() >= 2800ms; }));
    edge::net::write(late, edge::net::buffer(head.substr(head.size() - 3) + "text"));
    std::string answer;
    bool hasEnded = false;
    edge::net::async_read(late, edge::net::dynamic_buffer(answer), [&](boost::system::error_code, size_t) { hasEnded = true; });
    CHECK(runUntil([&] { return hasEnded; }));
    CHECK_TEXT(answer.starts_with("HTTP/1.1 200 OK"), answer.c_str());
    CHECK(runUntil([&] { return !node->isRunning(); }));
    CHECK(sinceStop() < 5500ms);
    LONGS_EQUAL(0, *node->waitForExit());
}
