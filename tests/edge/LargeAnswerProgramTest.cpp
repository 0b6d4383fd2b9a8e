// System test of large answers: they pass through the node in pieces, so that its memory doesn't grow with their length, their number or
// the callers' slowness.
#include "EdgeProcess.h"

#include "Caller.h"
#include "ProcessMemory.h"
#include "StoreTexts.h"
#include "edge/PlatformStore.h"
#include "edge/ScriptedServer.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <filesystem>

using namespace guavapond;
using namespace std::chrono_literals;

TEST_GROUP(LargeAnswerProgram) {};

namespace {

constexpr size_t callerCount = 24;
constexpr Duration callerPause = 700ms; // shorter than the time-out of unacknowledged data
constexpr size_t answerBytes = 16 << 20;
constexpr size_t memoryMb = 110; // of the smallest VM of the platform's pages

} // namespace

// Guards against memory that grows with sound large answers, of callers that read at once and of callers that pause.
TEST(LargeAnswerProgram, MemoryStaysFlat)
{
    edge::net::io_context loop;
    standins::PlatformStore store(loop, { "127.0.0.1", 0 });
    store.start();
    std::string directory = (std::filesystem::temp_directory_path() / "guavapond-large-XXXXXX").string();
    CHECK(::mkdtemp(directory.data()) != nullptr);
    test::EdgeProcess files("node", directory, store.port());
    const std::string head = "HTTP/1.1 200 OK\r\nGuavapond-Attempt-Id: {id}\r\nGuavapond-Response-Seal: s\r\nContent-Length: "
        + std::to_string(answerBytes) + "\r\n\r\n";
    standins::ScriptedServer target(loop, head + std::string(answerBytes, 'x'), standins::ScriptedEnd::KeepOpen);
    store.model.put("op/config", test::plainConfigText(1, "idempotent", 60000));
    std::string entry = test::targetText("ready", 1, test::loopbackAddress(target.address().port));
    entry.replace(entry.find("\"slots\":13"), 10, "\"slots\":" + std::to_string(callerCount));
    store.model.put("servers/r1", entry);
    files.writeSettings();
    const auto node = files.start();
    const auto runUntil = [&](const std::function<bool()>& condition) { return edge::runLoopUntil(loop, condition, test::patience); };
    CHECK(runUntil([&] { return test::hasLogMessage(*node, "ready"); }));

    struct Caller {
        explicit Caller(edge::net::io_context& loop)
            : timer(loop)
        {
        }
        void pause()
        {
            this->connection->pauseReading();
            this->timer.expires_after(callerPause);
            this->timer.async_wait([this](boost::system::error_code) { this->connection->resumeReading(); });
        }
        edge::net::steady_timer timer;
        edge::ConnectionPointer connection;
        size_t received = 0;
        bool isComplete = false;
        bool hasEnded = false;
    };
    std::deque<Caller> callers;
    for (size_t i = 0; i < callerCount; ++i) {
        Caller& caller = callers.emplace_back(loop);
        caller.connection = std::make_shared<edge::ClientConnection>(
            loop, edge::Address { "127.0.0.1", files.callers.port() }, edge::ConnectionSettings {});
        edge::ResponseHooks events;
        events.head = [](const edge::http::response_header<>&) { return edge::HeadVerdict::Accept; };
        events.body = [&caller, i](std::string_view piece) {
            if (caller.received == 0 && i % 2 == 1)
                caller.pause();
            caller.received += piece.size();
        };
        events.complete = [&caller] { caller.isComplete = caller.hasEnded = true; };
        events.failed = [&caller](edge::ConnectionFault, bool) { caller.hasEnded = true; };
        caller.connection->start(
            "GET /x/large HTTP/1.1\r\nHost: a.example\r\nGuavapond-Attempt-Id: a" + std::to_string(i) + "\r\nGuavapond-Key: k\r\n\r\n", "",
            true, std::move(events));
    }
    CHECK(runUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const Caller& caller) { return caller.hasEnded; }); }));
    for (const Caller& caller : callers) {
        CHECK(caller.isComplete);
        LONGS_EQUAL(answerBytes, caller.received);
    }
    const size_t peak = test::peakResidentBytes(node->id());
    CHECK_TEXT(peak > 0 && peak < test::residentBound(memoryMb), std::to_string(peak).c_str());
    std::filesystem::remove_all(directory);
}

// Guards against callers that read slowly and together take the memory of the smallest VM, or the service of those who read at once.
TEST(LargeAnswerProgram, SlowCallersLeaveRoomForOthers)
{
    constexpr size_t slowCallers = 200;
    constexpr size_t bodyBytes = 400'000;
    constexpr int soundCallers = 40;
    edge::net::io_context loop;
    standins::PlatformStore store(loop, { "127.0.0.1", 0 });
    store.start();
    std::string directory = (std::filesystem::temp_directory_path() / "guavapond-slow-XXXXXX").string();
    CHECK(::mkdtemp(directory.data()) != nullptr);
    test::EdgeProcess files("node", directory, store.port());
    const std::string head = "HTTP/1.1 200 OK\r\nGuavapond-Attempt-Id: {id}\r\nGuavapond-Response-Seal: s\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
    standins::ScriptedServer target(loop, head + std::string(bodyBytes, 'x'), standins::ScriptedEnd::KeepOpen);
    store.model.put("op/config", test::plainConfigText(1, "idempotent", 60000));
    std::string entry = test::targetText("ready", 1, test::loopbackAddress(target.address().port));
    entry.replace(entry.find("\"slots\":13"), 10, "\"slots\":" + std::to_string(slowCallers));
    store.model.put("servers/r1", entry);
    files.writeSettings();
    const auto node = files.start();
    const auto runUntil = [&](const std::function<bool()>& condition) { return edge::runLoopUntil(loop, condition, test::patience); };
    CHECK(runUntil([&] { return test::hasLogMessage(*node, "ready"); }));
    const edge::Address address { "127.0.0.1", files.callers.port() };
    const std::string fields = "Host: a.example\r\nGuavapond-Key: k\r\nGuavapond-Attempt-Id: ";

    std::deque<edge::tcp::socket> slow;
    for (size_t i = 0; i < slowCallers; ++i) {
        edge::tcp::socket& socket = slow.emplace_back(loop);
        socket.open(edge::tcp::v4());
        socket.set_option(edge::net::socket_base::receive_buffer_size(4096));
        socket.connect({ edge::net::ip::address_v4::loopback(), address.port });
        edge::net::write(socket, edge::net::buffer("GET /x/large HTTP/1.1\r\n" + fields + "s" + std::to_string(i) + "\r\n\r\n"));
    }
    CHECK(runUntil([&] { return target.requests >= slowCallers; }));
    std::vector<edge::ConnectionPointer> connections;
    for (int i = 0; i < soundCallers; ++i) {
        const auto answer = edge::callNode(loop, address, "GET /x/large", fields + "q" + std::to_string(i) + "\r\n", "", connections);
        CHECK(runUntil([&] { return answer->ended; }));
        LONGS_EQUAL(200, answer->status);
        CHECK(answer->complete);
        LONGS_EQUAL(bodyBytes, answer->body.size());
    }
    const size_t peak = test::peakResidentBytes(node->id());
    UT_PRINT(("peak " + std::to_string(peak)).c_str());
    CHECK_TEXT(peak > 0 && peak < test::residentBound(memoryMb), std::to_string(peak).c_str());
    std::filesystem::remove_all(directory);
}
