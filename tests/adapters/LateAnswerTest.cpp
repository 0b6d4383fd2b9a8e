// Answers that no request has asked for: a target may write a copy of an earlier answer, bearing the id of the request that it answered,
// on a connection that is idle or in front of the next answer.
#include "RawServer.h"

#include "adapters/HttpEngine.h"
#include "adapters/HttpService.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto patience = 30s; // upper bound of each wait; a test that needs it has failed
constexpr int calls = 50; // the library returns a connection to its pool at about the time when the answer ends, so not each call reuses

std::string answer(const std::string& status, const std::string& body, const std::string& id = {})
{
    std::string bytes = "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!id.empty())
        bytes += "X-Request-Id: " + id + "\r\n";
    return bytes + "\r\n" + body;
}

std::string idIn(const std::string& request)
{
    const std::string name = "\r\nX-Request-Id:";
    const size_t found = request.find(name);
    if (found == std::string::npos)
        return {};
    const size_t start = request.find_first_not_of(' ', found + name.size());
    return request.substr(start, request.find("\r\n", start) - start);
}

// A stream of one token that names the request.
std::string streamOf(const std::string& id)
{
    return answer("200 OK", "data: {\"id\":\"cmpl-" + id + "\",\"usage\":{\"completion_tokens\":1}}\n\ndata: [DONE]\n\n", id);
}

// When the copy of an answer is written.
enum class Copy : uint8_t { OnTheIdleConnection, BeforeTheNextAnswer };
constexpr Copy copies[] = { Copy::OnTheIdleConnection, Copy::BeforeTheNextAnswer };

// Answers each request by `answerTo`, called with the number of the request on all connections, and writes a copy of each answer.
class CopyingServer {
public:
    using AnswerTo = std::function<std::string(size_t number, const std::string& id)>;

    CopyingServer(AnswerTo how, Copy when)
        : answerTo(std::move(how))
        , copy(when)
    {
    }

    std::string url() const { return this->server.url(); }

    // To be called between two requests.
    void settle()
    {
        const std::lock_guard lock(this->mutex);
        if (this->copy == Copy::OnTheIdleConnection)
            this->server.writeOnAll(this->last);
    }

private:
    std::string next(size_t onConnection, const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        const std::string own = this->answerTo(this->number++, idIn(text));
        const std::string before = onConnection > 0 && this->copy == Copy::BeforeTheNextAnswer ? this->last : "";
        this->last = own;
        return before + own;
    }

    AnswerTo answerTo;
    Copy copy;
    std::mutex mutex; // guards number and last
    size_t number = 0;
    std::string last;
    RawServer server { [this](size_t onConnection, const std::string& text) { return std::optional(this->next(onConnection, text)); } };
};

ServiceAnswer callService(const Service& service, const std::string& url, const std::string& id)
{
    ServiceRequest request;
    request.url = url;
    request.method = "POST";
    request.path = "/deposits";
    request.requestId = id;
    request.contentType = "application/json";
    request.body = "{}";
    auto done = std::make_shared<std::promise<ServiceAnswer>>();
    auto received = done->get_future();
    service.call(request, [done](ServiceAnswer whole) { done->set_value(std::move(whole)); });
    CHECK_TRUE_TEXT(received.wait_for(patience) == std::future_status::ready, "no answer");
    return received.get();
}

struct EngineAnswer {
    std::vector<std::string> streamIds;
    EngineEvent last; // Terminator or Failed
};

EngineAnswer generate(const Engine& engine, const std::string& url, const std::string& id)
{
    EngineRequest request;
    request.url = url;
    request.path = "/v1/completions";
    request.requestId = id;
    request.body = R"({"prompt":"p","max_tokens":1})";
    auto events = std::make_shared<EngineAnswer>();
    auto done = std::make_shared<std::promise<EngineAnswer>>();
    auto received = done->get_future();
    engine.generate(request, [events, done, ended = false](const EngineEvent& event) mutable {
        if (event.kind == EngineEvent::Kind::Tokens) {
            events->streamIds.push_back(event.streamId);
        } else if (!std::exchange(ended, true)) {
            events->last = event;
            done->set_value(*events);
        }
    });
    CHECK_TRUE_TEXT(received.wait_for(patience) == std::future_status::ready, "no last event");
    return received.get();
}

} // namespace

TEST_GROUP(LateAnswer)
{
    Engine engine = makeHttpEngine({});
    Service service = makeHttpService({});
};

// Guards against a caller that receives the answer to another caller's call.
TEST(LateAnswer, ServiceCallsGetTheirOwnAnswers)
{
    for (const Copy copy : copies) {
        CopyingServer server([](size_t, const std::string& id) { return answer("200 OK", "of " + id); }, copy);
        for (int i = 0; i < calls; ++i) {
            const std::string id = "gp1." + std::to_string(i);
            const auto received = callService(this->service, server.url(), id);
            CHECK(!received.failure);
            STRCMP_EQUAL(("of " + id).c_str(), received.body.c_str());
            server.settle();
        }
    }
}

// Guards against a call that runs and is reported as refused, where the same request was refused before. The copy names it rightly.
TEST(LateAnswer, CopyOfARefusalDoesNotRefuseTheServiceCallSentAgain)
{
    for (const Copy copy : copies) {
        CopyingServer server(
            [](size_t number, const std::string& id) {
                return number % 2 == 0 ? answer("503 Service Unavailable", "refused", id) : answer("200 OK", "ran", id);
            },
            copy);
        for (int i = 0; i < calls; ++i) {
            const std::string id = "gp1.again" + std::to_string(i / 2);
            const auto received = callService(this->service, server.url(), id);
            CHECK(!received.failure);
            CHECK_EQUAL(i % 2 == 0 ? 503 : 200, received.status);
            server.settle();
        }
    }
}

// Guards against a generation that runs and is reported as refused by the engine, with the same or another id.
TEST(LateAnswer, CopyOfARefusalDoesNotRefuseAGeneration)
{
    for (const Copy copy : copies) {
        for (const bool sameId : { true, false }) {
            CopyingServer server(
                [](size_t number, const std::string& id) {
                    return number % 2 == 0 ? answer("503 Service Unavailable", "refused", id) : streamOf(id);
                },
                copy);
            for (int i = 0; i < calls; ++i) {
                const std::string id = "gp1.generation" + std::to_string(sameId ? i / 2 : i);
                const auto received = generate(this->engine, server.url(), id);
                const bool refused = received.last.failure && received.last.failure->disposition == Disposition::Ran;
                CHECK_EQUAL(i % 2 == 0, refused);
                if (!refused)
                    CHECK(received.last.kind == EngineEvent::Kind::Terminator);
                server.settle();
            }
        }
    }
}

// Guards against a generation that gets nothing but the events of an earlier one, and so is cut while it runs.
TEST(LateAnswer, GenerationsGetTheirOwnEvents)
{
    for (const Copy copy : copies) {
        CopyingServer server([](size_t, const std::string& id) { return streamOf(id); }, copy);
        for (int i = 0; i < calls; ++i) {
            const std::string id = "gp1." + std::to_string(i);
            const auto received = generate(this->engine, server.url(), id);
            CHECK(received.last.kind == EngineEvent::Kind::Terminator);
            CHECK_EQUAL(1, received.streamIds.size());
            STRCMP_EQUAL(("cmpl-" + id).c_str(), received.streamIds.front().c_str());
            server.settle();
        }
    }
}

// Guards against an order reported as "not run", by the copy of an earlier conflict, that the engine carries out, and the other way round.
TEST(LateAnswer, OrdersGetTheirOwnAnswers)
{
    for (const Copy copy : copies) {
        CopyingServer server(
            [](size_t number, const std::string&) { return number % 2 == 0 ? answer("409 Conflict", "{}") : answer("200 OK", "{}"); },
            copy);
        for (int i = 0; i < calls; ++i) {
            const auto received = this->engine.order(server.url(), "load", "2", 7);
            CHECK_EQUAL(i % 2 != 0, received.value.has_value());
            if (!received)
                CHECK(received.reason->disposition == Disposition::NotRun);
            server.settle();
        }
    }
}

// Guards against a load report that answers an earlier question, and stays one behind for as long as the engine is asked.
TEST(LateAnswer, LoadReportsAreOfTheirOwnQuestion)
{
    for (const Copy copy : copies) {
        CopyingServer server(
            [](size_t number, const std::string&) { return answer("200 OK", "{\"running\":" + std::to_string(number) + "}"); }, copy);
        for (int i = 0; i < calls; ++i) {
            auto received = this->engine.load(server.url());
            CHECK(received.value.has_value());
            CHECK_EQUAL(i, received->running);
            server.settle();
        }
    }
}

// Guards against an answer believed though it names another request: what became of the own one is not known.
TEST(LateAnswer, AnswerThatNamesAnotherRequestIsNotBelieved)
{
    for (const char* status : { "200 OK", "400 Bad Request", "409 Conflict", "421 Misdirected Request", "503 Service Unavailable" }) {
        RawServer server([status](size_t) { return std::optional(answer(status, "data: [DONE]\n\n", "gp1.other")); });
        const auto received = callService(this->service, server.url(), "gp1.own");
        CHECK_TEXT(received.failure && received.failure->disposition == Disposition::Unknown, status);
        CHECK_TEXT(received.sent, status);
        const auto generated = generate(this->engine, server.url(), "gp1.own");
        CHECK_TEXT(generated.last.failure && generated.last.failure->disposition == Disposition::Unknown, status);
        CHECK_TEXT(generated.last.sent, status);
    }
}
