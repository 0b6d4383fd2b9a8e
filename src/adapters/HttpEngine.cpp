// Engine port over HTTP: streams, resume, cancellation, load, cache events, health, orders.
#include "adapters/HttpEngine.h"

#include "adapters/HttpExchange.h"
#include "core/SseParser.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <future>

namespace guavapond {

namespace {

using json = nlohmann::json;

constexpr size_t shownErrorBytes = 200; // bytes of a target's error body that a message quotes

Failure toFailure(const ExchangeFailure& failure, bool streaming)
{
    const auto disposition = failure.sent ? Disposition::Unknown : Disposition::NotRun;
    if (failure.kind == ExchangeFailure::Kind::Cancelled)
        return { FailureKind::CallerGone, disposition, "the call was cancelled" };
    const auto kind = streaming ? FailureKind::StreamCut : FailureKind::TargetFailed;
    return { kind, disposition, failure.message };
}

// The body with "stream": true; unchanged if it says so already.
std::string streamedBody(const std::string& body)
{
    auto document = json::parse(body, nullptr, false);
    if (!document.is_object() || document.value("stream", json()) == json(true))
        return body;
    document["stream"] = true;
    return document.dump();
}

// Turns one answer's bytes into engine events.
class AnswerReader {
public:
    AnswerReader(size_t maxEventBytes, std::function<void(EngineEvent)> receiver)
        : parser(maxEventBytes)
        , receive(std::move(receiver))
    {
    }

    void onHead(int code) { this->status = code; }

    // Number of tokens and terminators in these bytes.
    size_t onBytes(std::string_view bytes)
    {
        if (this->finished)
            return 0;
        if (this->status != 200) {
            this->errorBody += bytes.substr(0, shownErrorBytes - std::min(shownErrorBytes, this->errorBody.size()));
            return 0;
        }
        size_t count = 0;
        const bool fits = this->parser.feed(bytes, [&](const SseEvent& event) { count += this->onEvent(event) ? 1 : 0; });
        if (!fits)
            this->fail({ FailureKind::TargetFailed, Disposition::Ran, "an event is larger than the limit" }, true);
        return count;
    }

    void onEnd(const std::optional<ExchangeFailure>& failure)
    {
        if (failure)
            return this->fail(toFailure(*failure, this->tokensSeen), failure->sent);
        if (this->status != 200) {
            std::string message = "the engine answered " + std::to_string(this->status) + ": " + this->errorBody;
            Failure refused { FailureKind::TargetFailed, Disposition::Ran, std::move(message) };
            // Other 4xx answers, such as 404 to every call, can be the fault of the version.
            refused.faultOfRequest = this->status == 400 || this->status == 413 || this->status == 422;
            return this->fail(refused, true);
        }
        this->fail({ FailureKind::StreamCut, Disposition::Unknown, "the stream ended without its terminator" }, true);
    }

    bool isFinished() const { return this->finished; }

private:
    bool onEvent(const SseEvent& event)
    {
        if (this->finished)
            return false;
        if (event.data == "[DONE]") {
            this->finished = true;
            EngineEvent terminator;
            terminator.kind = EngineEvent::Kind::Terminator;
            this->receive(std::move(terminator));
            return true;
        }
        if (event.name == "error") {
            this->fail({ FailureKind::TargetFailed, Disposition::Ran, "the engine ended the stream with an error event" }, true);
            return false;
        }
        const auto document = json::parse(event.data, nullptr, false);
        if (!document.is_object()) {
            this->fail({ FailureKind::TargetFailed, Disposition::Unknown, "an event of the stream is not a JSON object" }, true);
            return false;
        }
        EngineEvent tokens;
        tokens.data = event.data;
        if (auto id = document.find("id"); id != document.end() && id->is_string())
            tokens.streamId = id->get<std::string>();
        else
            tokens.streamId = event.id;
        if (auto usage = document.find("usage"); usage != document.end() && usage->is_object()) {
            if (auto count = usage->find("completion_tokens"); count != usage->end() && count->is_number_unsigned())
                tokens.offset = count->get<uint64_t>();
        }
        this->tokensSeen = true;
        this->receive(std::move(tokens));
        return true;
    }

    void fail(Failure failure, bool sent)
    {
        if (this->finished)
            return;
        this->finished = true;
        EngineEvent event;
        event.kind = EngineEvent::Kind::Failed;
        event.failure = std::move(failure);
        event.sent = sent;
        this->receive(std::move(event));
    }

    SseParser parser;
    std::function<void(EngineEvent)> receive;
    int status = 0;
    bool tokensSeen = false;
    bool finished = false; // the last event has been handed over
    std::string errorBody;
};

class HttpEngine {
public:
    explicit HttpEngine(const HttpEngineSettings& initial)
        : settings(initial)
    {
    }

    Cancellation generate(const EngineRequest& request, std::function<void(EngineEvent)> receive)
    {
        ExchangeRequest http;
        http.url = request.url;
        http.requestId = request.requestId;
        http.headers = { { "Accept", "text/event-stream" } };
        http.connectTimeout = request.connectTimeout;
        http.firstByteTimeout = request.firstByteTimeout;
        http.progressTimeout = request.betweenTokensTimeout;
        if (request.resumeOffset > 0) {
            http.method = "GET";
            http.path = streamPath(request.requestId) + "?offset=" + std::to_string(request.resumeOffset);
        } else {
            http.method = "POST";
            http.path = request.path;
            http.contentType = "application/json";
            http.body = streamedBody(request.body);
        }
        auto reader = std::make_shared<AnswerReader>(this->settings.maxEventBytes, std::move(receive));
        // The exchange's hooks need the exchange, which does not exist before start() returns.
        auto exchange = std::make_shared<std::weak_ptr<HttpExchange>>();
        auto mutex = std::make_shared<std::mutex>();
        ExchangeHooks hooks;
        hooks.onHead = [reader](int status, const std::string&) { reader->onHead(status); };
        hooks.onBytes = [reader, exchange, mutex](std::string_view bytes) {
            const size_t count = reader->onBytes(bytes);
            std::shared_ptr<HttpExchange> current;
            {
                std::lock_guard lock(*mutex);
                current = exchange->lock();
            }
            if (current && count > 0)
                current->onProgress();
            if (current && reader->isFinished() && count == 0)
                current->cancel(); // a failed stream has nothing more to say
        };
        hooks.onEnd = [reader](const std::optional<ExchangeFailure>& failure) { reader->onEnd(failure); };
        auto started = HttpExchange::start(this->settings.caFile, this->timer, std::move(http), std::move(hooks));
        {
            std::lock_guard lock(*mutex);
            *exchange = started;
        }
        return [weak = std::weak_ptr(started)] {
            if (auto running = weak.lock())
                running->cancel();
        };
    }

    struct Answer {
        int status = 0;
        std::string body;
        std::optional<ExchangeFailure> failure;
    };

    void startControl(ExchangeRequest http, std::function<void(Answer)> receive)
    {
        http.connectTimeout = this->settings.controlTimeout;
        http.firstByteTimeout = this->settings.controlTimeout;
        http.progressTimeout = this->settings.controlTimeout;
        auto answer = std::make_shared<Answer>();
        ExchangeHooks hooks;
        hooks.onHead = [answer](int status, const std::string&) { answer->status = status; };
        hooks.onBytes = [answer, most = this->settings.maxAnswerBytes](
                            std::string_view bytes) { answer->body += bytes.substr(0, most - std::min(most, answer->body.size())); };
        hooks.onEnd = [answer, receive = std::move(receive)](const std::optional<ExchangeFailure>& failure) {
            answer->failure = failure;
            receive(std::move(*answer));
        };
        HttpExchange::start(this->settings.caFile, this->timer, std::move(http), std::move(hooks));
    }

    Answer control(ExchangeRequest http)
    {
        auto done = std::make_shared<std::promise<Answer>>();
        auto answer = done->get_future();
        this->startControl(std::move(http), [done](Answer received) { done->set_value(std::move(received)); });
        return answer.get(); // the exchange's deadlines bound the wait
    }

    // The JSON object that a GET answers.
    Result<json> read(std::string_view url, std::string path)
    {
        auto answer = this->control(plain(url, "GET", std::move(path)));
        if (answer.failure)
            return toFailure(*answer.failure, false);
        if (answer.status != 200)
            return refused(answer);
        auto document = json::parse(answer.body, nullptr, false);
        if (!document.is_object())
            return Failure { FailureKind::TargetFailed, Disposition::Ran, "the engine's answer is not a JSON object" };
        return document;
    }

    Result<EngineLoad> load(std::string_view url)
    {
        auto document = this->read(url, "/v1/load");
        if (!document)
            return *document.reason;
        try {
            EngineLoad load;
            load.running = document->value("running", 0U);
            load.waiting = document->value("waiting", 0U);
            load.age = std::chrono::milliseconds(document->value("ageMs", int64_t { 0 }));
            return load;
        } catch (const json::exception& error) {
            return Failure { FailureKind::TargetFailed, Disposition::Ran, error.what() };
        }
    }

    Result<std::vector<CacheEvent>> cacheEvents(std::string_view url, uint64_t after)
    {
        auto document = this->read(url, "/v1/cache_events?after=" + std::to_string(after));
        if (!document)
            return *document.reason;
        try {
            std::vector<CacheEvent> events;
            for (const auto& entry : document->at("events")) {
                CacheEvent event;
                event.seq = entry.at("seq").get<uint64_t>();
                event.added = entry.at("op") == "add";
                const auto block = entry.at("block").get<std::string>();
                const char* end = block.data() + block.size();
                if (auto [at, error] = std::from_chars(block.data(), end, event.block, 16); error != std::errc {} || at != end)
                    return Failure { FailureKind::TargetFailed, Disposition::Ran, "a cache event's block is not a hexadecimal number" };
                events.push_back(event);
            }
            return events;
        } catch (const json::exception& error) {
            return Failure { FailureKind::TargetFailed, Disposition::Ran, error.what() };
        }
    }

    Result<bool> health(std::string_view url)
    {
        auto answer = this->control(plain(url, "GET", "/health"));
        if (answer.failure)
            return toFailure(*answer.failure, false);
        return answer.status == 200;
    }

    Result<bool> order(std::string_view url, std::string_view order, std::string_view version, uint64_t fencing)
    {
        auto http = plain(url, "POST", "/v1/orders");
        http.contentType = "application/json";
        http.body = json { { "order", order }, { "version", version }, { "fencing", fencing } }.dump();
        auto answer = this->control(std::move(http));
        if (answer.failure)
            return toFailure(*answer.failure, false);
        if (answer.status == 409)
            return Failure { FailureKind::Conflict, Disposition::NotRun, "the engine has seen a higher fencing number" };
        if (answer.status != 200)
            return refused(answer);
        return true;
    }

    void cancel(std::string_view url, std::string_view requestId)
    {
        this->startControl(plain(url, "DELETE", streamPath(requestId)), [](const Answer&) {});
    }

private:
    static std::string streamPath(std::string_view requestId)
    {
        return "/v1/streams/" + web::uri::encode_data_string(std::string(requestId));
    }

    static ExchangeRequest plain(std::string_view url, std::string method, std::string path)
    {
        ExchangeRequest http;
        http.url = url;
        http.method = std::move(method);
        http.path = std::move(path);
        return http;
    }

    static Failure refused(const Answer& answer)
    {
        return { FailureKind::TargetFailed, Disposition::Ran,
            "the engine answered " + std::to_string(answer.status) + ": " + answer.body.substr(0, shownErrorBytes) };
    }

    const HttpEngineSettings settings;
    DeadlineTimer timer;
};

} // namespace

Engine makeHttpEngine(const HttpEngineSettings& settings)
{
    auto adapter = std::make_shared<HttpEngine>(settings);
    Engine engine;
    engine.streamIdOf = [](std::string_view requestId) { return "cmpl-" + std::string(requestId); };
    engine.generate = [adapter](const EngineRequest& request, std::function<void(EngineEvent)> receive) {
        return adapter->generate(request, std::move(receive));
    };
    engine.cancel = [adapter](std::string_view url, std::string_view requestId) { adapter->cancel(url, requestId); };
    engine.load = [adapter](std::string_view url) { return adapter->load(url); };
    engine.cacheEvents = [adapter](std::string_view url, uint64_t after) { return adapter->cacheEvents(url, after); };
    engine.health = [adapter](std::string_view url) { return adapter->health(url); };
    engine.order = [adapter](std::string_view url, std::string_view order, std::string_view version, uint64_t fencing) {
        return adapter->order(url, order, version, fencing);
    };
    return engine;
}

} // namespace guavapond
