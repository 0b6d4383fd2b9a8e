// Contract of the Engine port, checked on HttpEngine against the engine's stand-in over loopback.
#include "EngineModel.h"
#include "RawServer.h"

#include "adapters/HttpEngine.h"

#include <cpprest/http_client.h>

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::standins;
using namespace guavapond::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 30s;    // upper bound of each wait; a test that needs it has failed
constexpr int reuseAttempts = 50; // calls one after the other; a client that keeps connections reuses one in nearly each

struct Answer {
    std::string text;
    std::vector<uint64_t> offsets;
    std::vector<std::string> streamIds;
    EngineEvent last; // Terminator or Failed
    size_t eventsAfterLast = 0;
};

// Collects the events of one call.
class Recorder {
public:
    std::function<void(EngineEvent)> hook()
    {
        return [this](const EngineEvent& event) { this->receive(event); };
    }

    Answer wait()
    {
        std::unique_lock lock(this->mutex);
        CHECK_TRUE_TEXT(this->changed.wait_for(lock, patience, [this] { return this->ended; }), "no last event");
        return this->answer;
    }

    void waitForTokens(size_t count)
    {
        std::unique_lock lock(this->mutex);
        auto enough = [&] { return this->answer.offsets.size() >= count; };
        CHECK_TRUE_TEXT(this->changed.wait_for(lock, patience, enough), "too few tokens");
    }

private:
    void receive(const EngineEvent& event)
    {
        std::lock_guard lock(this->mutex);
        if (this->ended)
            ++this->answer.eventsAfterLast;
        if (event.kind == EngineEvent::Kind::Tokens) {
            const auto choice = nlohmann::json::parse(event.data).at("choices").at(0);
            this->answer.text += choice.contains("text") ? choice.at("text") : choice.at("delta").at("content");
            this->answer.offsets.push_back(event.offset);
            this->answer.streamIds.push_back(event.streamId);
        } else {
            this->answer.last = event;
            this->ended = true;
        }
        this->changed.notify_all();
    }

    std::mutex mutex;
    std::condition_variable changed;
    bool ended = false;
    Answer answer;
};

EngineRequest requestTo(const std::string& url, const std::string& id, uint32_t tokens = 8)
{
    EngineRequest request;
    request.url = url;
    request.path = "/v1/completions";
    request.requestId = id;
    request.body = nlohmann::json { { "prompt", "prompt of " + id }, { "max_tokens", tokens } }.dump();
    request.firstByteTimeout = 400ms;
    request.betweenTokensTimeout = 400ms;
    return request;
}

Answer complete(const Engine& engine, const EngineRequest& request)
{
    Recorder recorder;
    engine.generate(request, recorder.hook());
    return recorder.wait();
}

bool isWhole(const Answer& answer, const std::string& id, uint32_t tokens = 8)
{
    return answer.last.kind == EngineEvent::Kind::Terminator && answer.text == answerText("prompt of " + id, tokens);
}

template <typename Condition> void eventually(Condition condition, const char* what)
{
    const auto until = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        CHECK_TRUE_TEXT(std::chrono::steady_clock::now() < until, what);
        std::this_thread::sleep_for(1ms);
    }
}

constexpr auto chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr auto shortAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n";

std::optional<std::string> closeOnSecondRequest(size_t request)
{
    return request == 0 ? std::optional<std::string>(shortAnswer) : std::nullopt;
}

} // namespace

TEST_GROUP(EngineContract)
{
    EngineModel model { EngineSettings {} };
    Engine engine = makeHttpEngine({});
};

// Guards against a lost, reordered or foreign token in a plain answer.
TEST(EngineContract, WholeAnswerWithIdsAndOffsets)
{
    auto answer = complete(this->engine, requestTo(this->model.url(), "gp1.whole"));
    CHECK(isWhole(answer, "gp1.whole"));
    CHECK_EQUAL(8, answer.offsets.size());
    for (size_t i = 0; i < answer.offsets.size(); ++i) {
        CHECK_EQUAL(i + 1, answer.offsets[i]);
        STRCMP_EQUAL("cmpl-gp1.whole", answer.streamIds[i].c_str());
    }
    CHECK_EQUAL(1, this->model.dispatches("gp1.whole"));
}

namespace {

struct FaultCase {
    const char* name;
    EngineFaults faults;
    size_t tokens; // Tokens events before the last event
    EngineEvent::Kind last;
    FailureKind kind = FailureKind::TargetFailed;
    Disposition disposition = Disposition::Unknown;
};

std::vector<FaultCase> faultCases()
{
    using Kind = EngineEvent::Kind;
    return {
        { "refused", { .failNext = 1 }, 0, Kind::Failed, FailureKind::TargetFailed, Disposition::Ran },
        { "no head", { .stallHeaders = true }, 0, Kind::Failed, FailureKind::TargetFailed },
        { "stalled before the first token", { .stallAfter = 0 }, 0, Kind::Failed, FailureKind::TargetFailed },
        { "stalled after 3 tokens", { .stallAfter = 3 }, 3, Kind::Failed, FailureKind::StreamCut },
        { "closed before the first token", { .closeAfter = 0 }, 0, Kind::Failed, FailureKind::TargetFailed },
        { "closed after 3 tokens", { .closeAfter = 3 }, 3, Kind::Failed, FailureKind::StreamCut },
        { "no terminator", { .noTerminator = true }, 8, Kind::Failed, FailureKind::StreamCut },
        { "crossed id", { .crossedId = true }, 8, Kind::Terminator },
        { "repeated token", { .repeatToken = 3 }, 9, Kind::Terminator },
        { "missing token", { .skipToken = 3 }, 7, Kind::Terminator },
        { "slow", { .slowFactor = 4 }, 8, Kind::Terminator },
    };
}

} // namespace

// Guards against a fault that is reported with a wrong disposition, not at all, or answered by a second dispatch.
TEST(EngineContract, EveryFaultGivesItsEvent)
{
    for (const auto& fault : faultCases()) {
        this->model.setFaults(fault.faults);
        const std::string id = std::string("gp1.") + fault.name;
        auto answer = complete(this->engine, requestTo(this->model.url(), id));
        CHECK_EQUAL_TEXT(fault.tokens, answer.offsets.size(), fault.name);
        CHECK_TRUE_TEXT(fault.last == answer.last.kind, fault.name);
        CHECK_EQUAL_TEXT(fault.last == EngineEvent::Kind::Failed, answer.last.failure.has_value(), fault.name);
        if (answer.last.failure) {
            CHECK_TRUE_TEXT(fault.kind == answer.last.failure->kind, fault.name);
            CHECK_TRUE_TEXT(fault.disposition == answer.last.failure->disposition, fault.name);
            CHECK_TRUE_TEXT(answer.last.sent, fault.name);
        }
        CHECK_EQUAL_TEXT(1, this->model.dispatches(id), fault.name);
    }
}

// Guards against hiding from the stream tracker what it has to detect.
TEST(EngineContract, CrossedRepeatedAndMissingTokensStayVisible)
{
    this->model.setFaults({ .crossedId = true, .repeatToken = 2, .skipToken = 4 });
    auto answer = complete(this->engine, requestTo(this->model.url(), "gp1.odd", 5));
    CHECK(answer.offsets == std::vector<uint64_t>({ 1, 2, 2, 3, 5 }));
    CHECK(answer.streamIds.front() != "cmpl-gp1.odd");
}

// Guards against "not run" without proof, and against "unknown" where nothing can have left the node.
TEST(EngineContract, UnsentOnlyWithoutAConnection)
{
    FullListener full;
    for (const std::string& url : { std::string("http://127.0.0.1:1"), std::string("http://no-such-host.invalid"), full.url() }) {
        auto request = requestTo(url, "gp1.unsent");
        request.connectTimeout = 200ms;
        request.firstByteTimeout = patience;
        auto answer = complete(this->engine, request);
        CHECK_TRUE_TEXT(answer.last.failure.has_value(), url.c_str());
        CHECK_TRUE_TEXT(answer.last.failure->disposition == Disposition::NotRun, url.c_str());
        CHECK_FALSE_TEXT(answer.last.sent, url.c_str());
    }
}

// Guards against a connection that went silent spoiling any later call, or its request being sent again.
TEST(EngineContract, SilentConnectionSpoilsNoLaterCallAndItsRequestIsNotRepeated)
{
    SilentListener silent;
    auto answer = complete(this->engine, requestTo(silent.url(), "gp1.silent"));
    CHECK(answer.last.failure && answer.last.failure->disposition == Disposition::Unknown);
    CHECK(answer.last.sent);
    CHECK_EQUAL(1, silent.connections());

    for (int call = 0; call < reuseAttempts; ++call) {
        const std::string id = "gp1.after" + std::to_string(call);
        CHECK(isWhole(complete(this->engine, requestTo(this->model.url(), id)), id));
        CHECK_EQUAL(1, this->model.dispatches(id));
        this->model.silenceOpenConnections();
    }
    auto health = this->engine.health(this->model.url());
    CHECK(health && *health);
}

// Guards against a health check that fails because kept connections are silent while new ones work.
TEST(EngineContract, HealthUsesAFreshConnection)
{
    CHECK(this->engine.load(this->model.url()).value.has_value());
    this->model.silenceOpenConnections();
    auto health = this->engine.health(this->model.url());
    CHECK(health && *health);
}

// Shows one reason for a connection of its own for each call: the library sends a request again when a kept connection was closed.
TEST(EngineContract, LibraryAloneRepeatsAPostOnAClosedConnection)
{
    RawServer server(closeOnSecondRequest);
    web::http::client::http_client client(server.url());
    size_t calls = 0;
    while (calls < reuseAttempts && server.requests() == calls) {
        ++calls;
        try {
            client.request(web::http::methods::POST, "/", "{}").get().content_ready().get();
        } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): only the number of requests counts
        }
    }
    CHECK(server.requests() > calls); // the repeated request may meet another closed connection and be repeated again
}

// Guards P1: a connection that the engine closes after it read the request must not lead to a second POST.
TEST(EngineContract, PostIsNotRepeatedOnAClosedConnection)
{
    std::atomic<size_t> answered = 0;
    RawServer server([&answered](size_t) { return answered++ == 0 ? std::optional<std::string>(shortAnswer) : std::nullopt; });
    CHECK(complete(this->engine, requestTo(server.url(), "gp1.first")).last.kind == EngineEvent::Kind::Terminator);
    for (int call = 1; call < reuseAttempts; ++call) {
        auto closed = complete(this->engine, requestTo(server.url(), "gp1.closed"));
        CHECK(closed.last.failure && closed.last.failure->disposition == Disposition::Unknown);
        CHECK(closed.last.sent);
    }
    CHECK_EQUAL(reuseAttempts, server.requests());
    CHECK_EQUAL(reuseAttempts, server.connections());
}

// Guards against an engine that fills the node's memory with one event, and against events that are no JSON.
TEST(EngineContract, BadEventsEndTheCall)
{
    const std::string large = "data: {\"id\":\"" + std::string(8192, 'x') + "\"}\n\n";
    for (const std::string& event : { large, std::string("data: nonsense\n\n"), std::string("event: error\ndata: {}\n\n") }) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx", event.size());
        const std::string bytes = std::string(chunkedHead) + size + "\r\n" + event + "\r\n";
        RawServer server([bytes](size_t) { return std::optional(bytes); });
        auto bounded = makeHttpEngine({ .maxEventBytes = 4096 });
        auto answer = complete(bounded, requestTo(server.url(), "gp1.bad"));
        CHECK(answer.last.failure && answer.last.failure->kind == FailureKind::TargetFailed);
        CHECK_EQUAL(0, answer.offsets.size());
    }
}

// Guards against a cancelled call that goes on, or ends without its last event.
TEST(EngineContract, CancellationEndsTheCallAndTheEnginesWork)
{
    EngineSettings slow;
    slow.decodeRate = 200;
    EngineModel steady(slow);
    Recorder recorder;
    auto cancel = this->engine.generate(requestTo(steady.url(), "gp1.cancel", 100000), recorder.hook());
    recorder.waitForTokens(3);
    cancel();
    cancel();
    auto answer = recorder.wait();
    CHECK(answer.last.failure && answer.last.failure->kind == FailureKind::CallerGone);
    CHECK_EQUAL(0, answer.eventsAfterLast);
    this->engine.cancel(steady.url(), "gp1.cancel");
    this->engine.cancel(steady.url(), "gp1.cancel");
    eventually([&] { return steady.running() == 0; }, "the engine still runs the stream");
    STRCMP_EQUAL("cancelled", steady.log().front().outcome.c_str());
}

// Guards against a resumed stream that repeats or loses tokens, or runs as a second dispatch.
TEST(EngineContract, ResumeContinuesAtTheOffset)
{
    this->model.setFaults({ .closeAfter = 3 });
    auto request = requestTo(this->model.url(), "gp1.resume");
    auto cut = complete(this->engine, request);
    CHECK(cut.last.failure && cut.last.failure->kind == FailureKind::StreamCut);
    request.resumeOffset = cut.offsets.back();
    auto rest = complete(this->engine, request);
    CHECK(rest.last.kind == EngineEvent::Kind::Terminator);
    CHECK_EQUAL(4, rest.offsets.front());
    STRCMP_EQUAL(answerText("prompt of gp1.resume", 8).c_str(), (cut.text + rest.text).c_str());
    CHECK_EQUAL(1, this->model.dispatches("gp1.resume"));
}

// Guards against answers crossed between concurrent calls over the same client.
TEST(EngineContract, ConcurrentStreamsGetTheirOwnAnswers)
{
    constexpr size_t count = 100;
    std::vector<Recorder> recorders(count);
    for (size_t i = 0; i < count; ++i) {
        auto request = requestTo(this->model.url(), "gp1." + std::to_string(i), 50);
        request.firstByteTimeout = request.betweenTokensTimeout = patience;
        this->engine.generate(request, recorders[i].hook());
    }
    for (size_t i = 0; i < count; ++i) {
        auto answer = recorders[i].wait();
        CHECK(isWhole(answer, "gp1." + std::to_string(i), 50));
    }
}

// Guards against reports that are misread, and orders whose refusal is taken for success.
TEST(EngineContract, LoadCacheEventsAndOrders)
{
    this->model.setFaults({ .checksFencing = true, .loadLag = 5s });
    auto load = this->engine.load(this->model.url());
    CHECK(load && load->age == 5s && load->running == 0);

    auto request = requestTo(this->model.url(), "gp1.cache");
    const std::string prompt(3000, 'p'); // two full blocks of 1024 characters
    request.body = nlohmann::json { { "prompt", prompt }, { "max_tokens", 1 } }.dump();
    CHECK(complete(this->engine, request).last.kind == EngineEvent::Kind::Terminator);
    auto events = this->engine.cacheEvents(this->model.url(), 0);
    CHECK(events.value.has_value());
    CHECK_EQUAL(2, events->size());
    CHECK(events->front().added && events->front().seq == 1 && events->front().block != 0);
    CHECK_EQUAL(1, this->engine.cacheEvents(this->model.url(), 1)->size());

    CHECK(this->engine.order(this->model.url(), "load", "2", 7).value.has_value());
    auto old = this->engine.order(this->model.url(), "load", "1", 6);
    CHECK(!old && old.reason->kind == FailureKind::Conflict);
}
