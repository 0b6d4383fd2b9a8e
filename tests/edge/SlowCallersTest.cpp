// Callers that read slowly or not at all: what the node holds for them has one bound, and the others are served.
#include "Caller.h"
#include "edge/HttpListener.h"

#include "PacketLoss.h"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr size_t answerBytes = 8 << 20; // more than the kernel's buffers hold
constexpr size_t memory = 20 << 20;
constexpr Duration longPause = 2500ms; // longer than the time-out of unacknowledged data
constexpr Duration contact = 3s;       // the shortest bound of the platform's pages for noticing that a peer is gone

} // namespace

TEST_GROUP(SlowCallers)
{
    net::io_context loop;
    CallerLimits limits;
    std::unique_ptr<HttpListener> listener;
    std::vector<CallerPointer> streams;
    std::deque<tcp::socket> callers; // references stay valid
    size_t handled = 0;              // requests
    size_t dropped = 0;
    size_t mostUnsent = 0;

    void setup() override
    {
        ListenerSettings settings { .address = { "127.0.0.1", 0 }, .maxUnsentBytes = memory };
        settings.answerDropped = [this](size_t) { ++this->dropped; };
        this->listener = std::make_unique<HttpListener>(
            this->loop, settings, [this](const CallerPointer& caller, const CallerRequest& request) { this->answer(caller, request); },
            [this] { return this->limits; });
        this->listener->listen();
    }
    void answer(const CallerPointer& caller, const CallerRequest& request)
    {
        ++this->handled;
        if (request.message.target() == "/stream") {
            caller->beginStream({});
            return this->streams.push_back(caller);
        }
        caller->sendResponse(makeResponse({ 200, std::string(answerBytes, 'a'), "text/plain", {} }));
    }
    // A caller that sends a request and reads nothing.
    tcp::socket& ask(const std::string& path, const std::string& fields = "")
    {
        tcp::socket& socket = this->callers.emplace_back(this->loop);
        socket.open(tcp::v4());
        socket.set_option(net::socket_base::receive_buffer_size(4096));
        socket.connect({ net::ip::address_v4::loopback(), this->listener->port() });
        net::write(socket, net::buffer("GET " + path + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n"));
        CHECK(this->runUntil([&, before = this->handled] { return this->handled > before; }));
        return socket;
    }
    void wait(Duration time)
    {
        CHECK(this->runUntil([end = bootTime() + time] { return bootTime() >= end; }));
    }
    // Reads until `bytes` of the body have come, or the connection has ended.
    std::string readBody(tcp::socket & socket, size_t bytes)
    {
        std::string text;
        std::array<char, 65536> space {};
        bool hasEnded = false;
        const auto bodyBytes = [&] {
            const size_t head = text.find("\r\n\r\n");
            return head == std::string::npos ? 0 : text.size() - head - 4;
        };
        std::function<void()> readOn = [&] {
            socket.async_read_some(net::buffer(space), [&](boost::system::error_code error, size_t count) {
                text.append(space.data(), count);
                hasEnded = static_cast<bool>(error);
                if (!hasEnded && bodyBytes() < bytes)
                    readOn();
            });
        };
        readOn();
        CHECK(this->runUntil([&] { return hasEnded || bodyBytes() >= bytes; }));
        return text.substr(text.find("\r\n\r\n") + 4);
    }
    // Returns the time from now until the listener has no connection any more.
    Duration timeUntilClosed()
    {
        const TimePoint start = bootTime();
        CHECK(this->runUntil([&] { return this->listener->connections() == 0; }));
        return bootTime() - start;
    }
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto observed = [&] {
            this->mostUnsent = std::max(this->mostUnsent, this->listener->unsent());
            return condition();
        };
        return runLoopUntil(this->loop, observed, 10s);
    }
};

// Guards against answers that nobody reads and that together take the node's memory, and against callers who read and lose theirs for it.
TEST(SlowCallers, UnreadAnswersHaveOneBound)
{
    for (int i = 0; i < 8; ++i)
        ask("/whole");
    CHECK(runUntil([&] { return this->dropped >= 6; })); // two of eight answers fit
    CHECK(this->mostUnsent <= memory + answerBytes);     // the answer that exceeds it is counted once
    CHECK(this->listener->unsent() <= memory);
    std::vector<ConnectionPointer> connections;
    const auto reader = callNode(this->loop, { "127.0.0.1", this->listener->port() }, "GET /whole", "Host: x\r\n", "", connections);
    CHECK(runLoopUntil(
        this->loop, [&] { return reader->ended; }, 10s));
    CHECK(reader->complete);
    LONGS_EQUAL(answerBytes, reader->body.size());
}

// Guards against an answer that is broken off for memory and looks complete to its caller.
TEST(SlowCallers, ADroppedAnswerIsNotComplete)
{
    tcp::socket& first = ask("/whole");
    ask("/whole");
    CHECK(runUntil([end = bootTime() + 50ms] { return bootTime() >= end; })); // both have filled the kernel's buffers
    ask("/whole");
    CHECK(runUntil([&] { return this->dropped > 0; }));
    std::string text;
    boost::system::error_code end;
    bool hasEnded = false;
    net::async_read(first, net::dynamic_buffer(text), [&](boost::system::error_code error, size_t) {
        end = error;
        hasEnded = true;
    });
    CHECK(runLoopUntil(
        this->loop, [&] { return hasEnded; }, 10s));
    CHECK(text.size() < answerBytes && end);
}

// Guards against sources of streams that go on at full speed while memory is short: the less is left, the sooner each of them pauses.
TEST(SlowCallers, StreamsPauseSoonerWhenMemoryIsShort)
{
    ask("/stream");
    const auto bytesUntilPause = [&](const CallerPointer& stream) {
        size_t count = 0;
        for (; !stream->isBehind() && count < 2 << 20; count += 1024)
            stream->sendPiece(std::string(1024, 'e'));
        return count;
    };
    const size_t before = bytesUntilPause(this->streams.back());
    ask("/whole");
    ask("/whole");
    ask("/stream");
    const size_t after = bytesUntilPause(this->streams.back());
    CHECK(before > 200 * 1024);
    CHECK(after < before / 2);
    CHECK(after >= 16 * 1024);
}

// Guards against a caller that reads slowly being taken for one that is gone: it acknowledges all that comes, but its window stays closed
// for longer than the time-out of unacknowledged data.
TEST(SlowCallers, CallersThatPauseGetTheirWholeAnswers)
{
    tcp::socket& kept = ask("/whole");
    tcp::socket& closing = ask("/whole", "Connection: close\r\n");
    wait(longPause);
    LONGS_EQUAL(2, this->listener->slowCallers());
    LONGS_EQUAL(answerBytes, readBody(kept, answerBytes).size());
    LONGS_EQUAL(answerBytes, readBody(closing, answerBytes).size());
}

// Guards against the same in an answer that comes in pieces, each of which waits for the caller.
TEST(SlowCallers, ACallerThatPausesGetsItsWholeStream)
{
    constexpr size_t streamBytes = 24 * 1024;
    tcp::socket& caller = ask("/stream", "Connection: close\r\n");
    for (size_t sent = 0; sent < streamBytes; sent += 1024)
        this->streams.back()->sendPiece(std::string(1024, 'e'));
    wait(longPause);
    this->streams.back()->endStream();
    const std::string body = readBody(caller, SIZE_MAX);
    LONGS_EQUAL(streamBytes, std::count(body.begin(), body.end(), 'e') - std::count(body.begin(), body.end(), 'E'));
    STRCMP_EQUAL("0\r\n\r\n", body.substr(body.size() - 5).c_str());
}

// Guards against callers that are gone, behind a cut or without power, and stay for as long as one that reads slowly may.
TEST(SlowCallers, ACallerThatIsGoneIsFoundWhileItsAnswerWaits)
{
    tcp::socket& caller = ask("/whole");
    wait(600ms); // its window is closed
    dropIncoming(caller);
    const Duration time = timeUntilClosed();
    UT_PRINT(("found after " + std::to_string(toMilliseconds(time)) + " ms").c_str());
    CHECK(time < contact);
}

// Guards against the same where the answer is under way when the caller is gone.
TEST(SlowCallers, ACallerThatIsGoneIsFoundWhileBytesAreUnderWay)
{
    tcp::socket& caller = ask("/stream");
    dropIncoming(caller);
    this->streams.back()->sendPiece(std::string(20 * 1024, 'e'));
    const Duration time = timeUntilClosed();
    UT_PRINT(("found after " + std::to_string(toMilliseconds(time)) + " ms").c_str());
    CHECK(time < contact);
}

// Guards against the same while nothing is sent.
TEST(SlowCallers, ACallerThatIsGoneIsFoundWhileNothingIsSent)
{
    tcp::socket& caller = ask("/stream");
    dropIncoming(caller);
    const Duration time = timeUntilClosed();
    UT_PRINT(("found after " + std::to_string(toMilliseconds(time)) + " ms").c_str());
    CHECK(time < contact);
}
