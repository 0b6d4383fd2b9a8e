// The engine's stand-in: dispatches, streams written by a few threads as tokens fall due, cache, load, orders, faults.
#include "EngineModel.h"

#include "core/PrefixIndex.h"

#include <cpprest/producerconsumerstream.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace guavapond::standins {

namespace {

using json = nlohmann::json;
using web::http::http_request;
using Buffer = concurrency::streams::producer_consumer_buffer<uint8_t>;

constexpr size_t maxBufferedBytes = 256 * 1024; // bytes per connection; a slow reader holds its stream back
constexpr uint32_t maxTokensPerWrite = 256;     // tokens
constexpr size_t finishedKept = 20000;          // finished streams that can still be resumed
constexpr size_t cacheEventsKept = 65536;
constexpr Duration minPause = std::chrono::microseconds(200); // between two passes of an emitter
constexpr Duration maxPause = std::chrono::milliseconds(50);
constexpr uint32_t minAnswerTokens = 16;
constexpr uint32_t answerTokenSpread = 48; // without max_tokens an answer has 16 to 63 tokens

TimePoint presentTime() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

uint64_t promptHash(std::string_view prompt) { return XXH3_64bits(prompt.data(), prompt.size()); }

// Token number `number` (from 1) of the answer to a prompt.
void appendWord(std::string& text, uint64_t hash, uint32_t number)
{
    constexpr std::string_view consonants = "bdfgklmnprstvz";
    constexpr std::string_view vowels = "aeiou";
    uint64_t value = XXH3_64bits_withSeed(&hash, sizeof hash, number);
    for (int i = 0; i < 3; ++i) {
        text += consonants[value % consonants.size()];
        value /= consonants.size();
        text += vowels[value % vowels.size()];
        value /= vowels.size();
    }
    text += ' ';
}

void quietReply(const http_request& request, const web::http::http_response& response, std::function<void()> onFailure)
{
    request.reply(response).then([onFailure = std::move(onFailure)](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) {
            onFailure();
        }
    });
}

std::string lastSegment(const std::string& path) { return path.substr(path.rfind('/') + 1); }

uint64_t queryNumber(const http_request& request, const std::string& name)
{
    auto query = web::uri::split_query(request.request_uri().query());
    auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string contentOf(const json& message)
{
    const auto content = message.value("content", json());
    if (content.is_string())
        return content.get<std::string>();
    std::string text;
    if (content.is_array()) {
        for (const auto& part : content)
            text += part.value("text", "");
    }
    return text;
}

json errorBody(std::string_view message) { return { { "error", { { "message", message } } } }; }

} // namespace

std::string answerText(std::string_view prompt, uint32_t tokens)
{
    std::string text;
    uint64_t hash = promptHash(prompt);
    for (uint32_t number = 1; number <= tokens; ++number)
        appendWord(text, hash, number);
    return text;
}

uint32_t answerTokens(std::string_view prompt, std::optional<uint32_t> maxTokens)
{
    return maxTokens ? *maxTokens : minAnswerTokens + static_cast<uint32_t>(promptHash(prompt) % answerTokenSpread);
}

std::string promptOf(const json& body)
{
    if (body.contains("prompt"))
        return body.at("prompt").get<std::string>();
    std::string prompt;
    for (const auto& message : body.value("messages", json::array()))
        prompt += message.at("role").get<std::string>() + "\n" + contentOf(message) + "\n";
    return prompt;
}

EngineFaults parseFaults(const json& body)
{
    EngineFaults faults;
    faults.failNext = body.value("failNext", faults.failNext);
    faults.failStatus = body.value("failStatus", faults.failStatus);
    faults.requests = body.value("requests", faults.requests);
    faults.stallHeaders = body.value("stallHeaders", false);
    if (body.contains("stallAfter"))
        faults.stallAfter = body.at("stallAfter").get<uint32_t>();
    if (body.contains("closeAfter"))
        faults.closeAfter = body.at("closeAfter").get<uint32_t>();
    faults.crossedId = body.value("crossedId", false);
    faults.repeatToken = body.value("repeatToken", 0U);
    faults.skipToken = body.value("skipToken", 0U);
    faults.noTerminator = body.value("noTerminator", false);
    faults.slowFactor = body.value("slowFactor", 1.0);
    faults.checksFencing = body.value("checksFencing", false);
    faults.dropCacheEvents = body.value("dropCacheEvents", false);
    if (body.contains("loadLagMs"))
        faults.loadLag = std::chrono::milliseconds(body.at("loadLagMs").get<int64_t>());
    return faults;
}

struct EngineModel::Output {
    Buffer buffer;
    uint32_t sent = 0;              // tokens
    std::atomic<bool> gone = false; // the caller closed its connection
    bool closed = false;
};

struct EngineModel::Stream {
    std::string id;
    std::string eventId;
    std::string model;
    uint64_t hash = 0;
    bool chat = true;
    uint32_t total = 0; // tokens of the whole answer
    TimePoint firstDue {};
    double decodeRate = 0;     // tokens/s
    EngineFaults faults;       // as they were at dispatch
    Dispatch* entry = nullptr; // guarded by EngineModel::mutex
    Shard* shard = nullptr;

    // Guarded by the shard's mutex.
    uint32_t generated = 0; // tokens
    bool finished = false;
    std::vector<std::shared_ptr<Output>> outputs;
};

struct EngineModel::Shard {
    std::mutex mutex;
    std::condition_variable changed;
    bool wake = false;
    std::vector<std::shared_ptr<Stream>> active;
    std::thread thread;
};

EngineModel::EngineModel(const EngineSettings& initial)
    : settings(initial)
    , version(initial.version)
{
    for (size_t i = 0; i < std::max<size_t>(1, this->settings.emitterThreads); ++i) {
        this->shards.push_back(std::make_unique<Shard>());
        Shard& shard = *this->shards.back();
        shard.thread = std::thread([this, &shard] { this->emit(shard); });
    }
    this->listener
        = std::make_unique<LoopbackListener>(this->settings.port, [this](const http_request& request) { this->handle(request); });
}

EngineModel::~EngineModel()
{
    this->stopping = true;
    for (auto& shard : this->shards) {
        {
            std::lock_guard lock(shard->mutex);
            shard->wake = true;
        }
        shard->changed.notify_all();
        shard->thread.join();
    }
    std::vector<http_request> open;
    std::unordered_map<std::string, std::shared_ptr<Stream>> remaining;
    {
        std::lock_guard lock(this->mutex);
        open.swap(this->unanswered);
        remaining = this->streams;
    }
    // Open answers end here, stalled ones among them, because the listener's close waits for them.
    for (auto& [id, stream] : remaining) {
        std::lock_guard lock(stream->shard->mutex);
        for (auto& output : stream->outputs)
            output->buffer.close(std::ios_base::out);
    }
    for (auto& request : open)
        sendJson(request, 503, errorBody("the engine is stopping")).wait();
    this->listener->close();
}

void EngineModel::setFaults(const EngineFaults& next)
{
    std::lock_guard lock(this->mutex);
    this->faults = next;
}

std::vector<EngineModel::Dispatch> EngineModel::log() const
{
    std::lock_guard lock(this->mutex);
    return { this->dispatchLog.begin(), this->dispatchLog.end() };
}

size_t EngineModel::dispatches(std::string_view request) const
{
    std::lock_guard lock(this->mutex);
    return static_cast<size_t>(
        std::ranges::count_if(this->dispatchLog, [&](const Dispatch& dispatch) { return dispatch.request == request; }));
}

// ---- Requests

void EngineModel::handle(const http_request& request)
{
    try {
        const std::string path = request.request_uri().path();
        const std::string& method = request.method();
        if (path == "/v1/chat/completions" || path == "/v1/completions")
            return this->handleGenerate(request, path == "/v1/chat/completions");
        if (path.starts_with("/v1/streams/"))
            return this->handleStream(request, web::uri::decode(lastSegment(path)));
        if (path == "/v1/load")
            return jsonReply(request, 200, this->loadReport());
        if (path == "/v1/cache_events")
            return jsonReply(request, 200, this->cacheEvents(queryNumber(request, "after")));
        if (path == "/health")
            return jsonReply(request, 200, { { "status", "ok" }, { "model", this->settings.model } });
        if (path == "/v1/orders")
            return this->handleOrder(request);
        if (path == "/faults" && method == "PUT")
            return this->handleFaults(request);
        if (path == "/log") {
            request.reply(web::http::status_codes::OK, this->logLines(), "application/x-ndjson");
            return;
        }
        jsonReply(request, 404, errorBody("no such path"));
    } catch (const std::exception& error) {
        jsonReply(request, 400, errorBody(error.what()));
    }
}

void EngineModel::handleGenerate(const http_request& request, bool chat)
{
    request.extract_vector().then([this, request, chat](const pplx::task<std::vector<unsigned char>>& read) {
        try {
            auto bytes = read.get();
            auto body = json::parse(bytes.begin(), bytes.end());
            auto header = request.headers().find("X-Request-Id");
            if (header == request.headers().end())
                return jsonReply(request, 400, errorBody("X-Request-Id is missing"));
            this->startStream(request, header->second, body, chat);
        } catch (const std::exception& error) {
            jsonReply(request, 400, errorBody(error.what()));
        }
    });
}

void EngineModel::startStream(const http_request& request, const std::string& id, const json& body, bool chat)
{
    const auto prompt = promptOf(body);
    std::optional<uint32_t> maxTokens;
    if (body.contains("max_tokens"))
        maxTokens = body.at("max_tokens").get<uint32_t>();
    const auto now = presentTime();

    auto stream = std::make_shared<Stream>();
    {
        std::lock_guard lock(this->mutex);
        Dispatch& entry = this->dispatchLog.emplace_back();
        entry.request = id;
        entry.start = now;
        if (this->faults.failNext > 0) {
            --this->faults.failNext;
            entry.outcome = "refused";
            entry.end = now;
            return jsonReply(request, this->faults.failStatus, errorBody("fault: request refused"));
        }
        if (this->faults.requests > 0) {
            stream->faults = this->faults;
            if (this->faults.requests != UINT32_MAX)
                --this->faults.requests;
        } else {
            stream->faults.slowFactor = this->faults.slowFactor;
        }
        const auto promptTokens = static_cast<uint32_t>(prompt.size() / charsPerToken) + 1;
        entry.prefillTokens = promptTokens - std::min(promptTokens, this->prefill(prompt));
        const double factor = stream->faults.slowFactor;
        stream->firstDue = now;
        if (this->settings.prefillRate > 0)
            stream->firstDue += fromSeconds(entry.prefillTokens * factor / this->settings.prefillRate);
        stream->decodeRate = this->settings.decodeRate / factor;
        stream->entry = &entry;
        stream->id = id;
        stream->eventId = "cmpl-" + id;
        stream->model = this->settings.model;
        stream->hash = promptHash(prompt);
        stream->chat = chat;
        stream->total = answerTokens(prompt, maxTokens);
        stream->shard = this->shards[this->nextShard++ % this->shards.size()].get();
        if (stream->faults.crossedId)
            stream->eventId = "cmpl-other-" + id;
        this->streams[id] = stream;
        this->loadHistory.emplace_back(now, ++this->runningStreams);
        if (stream->faults.stallHeaders)
            this->unanswered.push_back(request);
    }
    if (!stream->faults.stallHeaders)
        this->addOutput(stream, request, 0);
    {
        std::lock_guard lock(stream->shard->mutex);
        stream->shard->active.push_back(stream);
        stream->shard->wake = true;
    }
    stream->shard->changed.notify_one();
}

void EngineModel::addOutput(const std::shared_ptr<Stream>& stream, const http_request& request, uint32_t offset)
{
    auto output = std::make_shared<Output>();
    output->sent = offset;
    web::http::http_response response(web::http::status_codes::OK);
    response.headers().add("Cache-Control", "no-store");
    response.set_body(output->buffer.create_istream(), "text/event-stream");
    {
        std::lock_guard lock(stream->shard->mutex);
        stream->outputs.push_back(output);
        if (stream->finished) {
            // A finished stream is no longer visited by its thread; the rest is written at once.
            this->write(*stream, *output, stream->generated);
        }
    }
    quietReply(request, response, [output] { output->gone = true; });
}

std::shared_ptr<EngineModel::Stream> EngineModel::find(const std::string& id) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->streams.find(id);
    return found == this->streams.end() ? nullptr : found->second;
}

void EngineModel::handleStream(const http_request& request, const std::string& id)
{
    auto stream = this->find(id);
    if (request.method() == "DELETE") {
        if (stream) {
            std::lock_guard lock(stream->shard->mutex);
            if (!stream->finished) {
                this->finish(*stream, "cancelled", presentTime());
                // Not waited for: the close ends on a thread of the pool that this handler runs on.
                for (auto& output : stream->outputs)
                    output->buffer.close(std::ios_base::out);
            }
        }
        return jsonReply(request, 200, { { "cancelled", stream != nullptr } });
    }
    if (!stream)
        return jsonReply(request, 404, errorBody("no such stream"));
    {
        std::lock_guard lock(stream->shard->mutex);
        stream->faults = EngineFaults {}; // stream faults hit the first connection only
        stream->eventId = "cmpl-" + id;
    }
    this->addOutput(stream, request, static_cast<uint32_t>(queryNumber(request, "offset")));
}

void EngineModel::handleOrder(const http_request& request)
{
    request.extract_vector().then([this, request](const pplx::task<std::vector<unsigned char>>& read) {
        try {
            auto bytes = read.get();
            auto body = json::parse(bytes.begin(), bytes.end());
            const auto fencing = body.at("fencing").get<uint64_t>();
            std::lock_guard lock(this->mutex);
            if ((this->settings.checksFencing || this->faults.checksFencing) && fencing < this->highestFencing)
                return jsonReply(request, 409, errorBody("old fencing number"));
            this->highestFencing = std::max(this->highestFencing, fencing);
            if (body.at("order") == "load")
                this->version = body.at("version").get<std::string>();
            jsonReply(request, 200, { { "version", this->version } });
        } catch (const std::exception& error) {
            jsonReply(request, 400, errorBody(error.what()));
        }
    });
}

void EngineModel::handleFaults(const http_request& request)
{
    request.extract_vector().then([this, request](const pplx::task<std::vector<unsigned char>>& read) {
        try {
            auto bytes = read.get();
            auto body = json::parse(bytes.begin(), bytes.end());
            this->setFaults(parseFaults(body));
            // The connection of this request goes silent too, so it is answered first.
            request.reply(web::http::status_codes::OK, "{}", "application/json").wait();
            if (body.value("silenceConnections", false))
                this->silenceOpenConnections();
        } catch (const std::exception& error) {
            jsonReply(request, 400, errorBody(error.what()));
        }
    });
}

// ---- Reports

json EngineModel::loadReport()
{
    std::lock_guard lock(this->mutex);
    const auto lag = this->faults.loadLag.value_or(this->settings.loadLag);
    const auto measured = presentTime() - lag;
    while (this->loadHistory.size() > 1 && this->loadHistory[1].first <= measured)
        this->loadHistory.pop_front();
    size_t running = 0;
    if (!this->loadHistory.empty() && this->loadHistory.front().first <= measured)
        running = this->loadHistory.front().second;
    const double used
        = this->settings.cacheBlocks == 0 ? 0 : static_cast<double>(this->cache.size()) / static_cast<double>(this->settings.cacheBlocks);
    return { { "running", running }, { "waiting", 0 }, { "ageMs", toMilliseconds(lag) }, { "kvUsed", used } };
}

json EngineModel::cacheEvents(uint64_t after)
{
    std::lock_guard lock(this->mutex);
    json events = json::array();
    for (const auto& event : this->cacheEventLog) {
        if (event.at("seq").get<uint64_t>() > after)
            events.push_back(event);
    }
    return { { "events", std::move(events) } };
}

std::string EngineModel::logLines() const
{
    std::string lines;
    for (const auto& dispatch : this->log()) {
        json line { { "request", dispatch.request }, { "startUs", dispatch.start.time_since_epoch().count() },
            { "tokens", dispatch.tokens }, { "prefillTokens", dispatch.prefillTokens }, { "outcome", dispatch.outcome } };
        line["endUs"] = dispatch.end ? json(dispatch.end->time_since_epoch().count()) : json(nullptr);
        lines += line.dump() + "\n";
    }
    return lines;
}

uint32_t EngineModel::prefill(std::string_view prompt)
{
    auto record = [this](uint64_t block, bool added) {
        ++this->cacheEventSeq;
        if (this->faults.dropCacheEvents)
            return;
        char text[17];
        std::snprintf(text, sizeof text, "%016lx", static_cast<unsigned long>(block));
        this->cacheEventLog.push_back({ { "seq", this->cacheEventSeq }, { "block", text }, { "op", added ? "add" : "drop" } });
        if (this->cacheEventLog.size() > cacheEventsKept)
            this->cacheEventLog.pop_front();
    };
    uint32_t cachedTokens = 0;
    bool unbroken = true;
    for (const uint64_t block : hashPrefix(this->settings.model, prompt)) {
        auto found = this->cache.find(block);
        if (found != this->cache.end()) {
            this->cacheOrder.splice(this->cacheOrder.begin(), this->cacheOrder, found->second);
            if (unbroken)
                cachedTokens += prefixBlockTokens;
            continue;
        }
        unbroken = false;
        if (this->settings.cacheBlocks == 0)
            continue;
        this->cacheOrder.push_front(block);
        this->cache[block] = this->cacheOrder.begin();
        record(block, true);
        if (this->cache.size() > this->settings.cacheBlocks) {
            const uint64_t oldest = this->cacheOrder.back();
            this->cacheOrder.pop_back();
            this->cache.erase(oldest);
            record(oldest, false);
        }
    }
    return cachedTokens;
}

// ---- Token emission

void EngineModel::emit(Shard& shard)
{
    std::unique_lock lock(shard.mutex);
    while (!this->stopping) {
        const auto now = presentTime();
        auto wakeAt = now + maxPause;
        std::erase_if(shard.active, [&](const std::shared_ptr<Stream>& stream) {
            auto next = this->advance(*stream, now);
            if (next)
                wakeAt = std::min(wakeAt, *next);
            return !next;
        });
        wakeAt = std::max(wakeAt, now + minPause);
        shard.changed.wait_until(lock, wakeAt, [&] { return shard.wake || this->stopping; });
        shard.wake = false;
    }
}

std::optional<TimePoint> EngineModel::advance(Stream& stream, TimePoint now)
{
    if (stream.finished)
        return std::nullopt;
    if (now < stream.firstDue)
        return stream.firstDue;
    uint32_t due = stream.total;
    if (stream.decodeRate > 0) {
        const double elapsed = toSeconds(now - stream.firstDue);
        due = static_cast<uint32_t>(std::min<double>(stream.total, std::floor(elapsed * stream.decodeRate) + 1));
    }
    stream.generated = due;
    bool written = true;
    for (auto& output : stream.outputs) {
        this->write(stream, *output, due);
        written = written && (output->closed || output->gone);
    }
    const bool held = stream.faults.stallHeaders || stream.faults.stallAfter;
    if (due == stream.total && (written || held)) {
        this->finish(stream, "completed", now);
        return std::nullopt;
    }
    if (due == stream.total)
        return now + minPause;
    return stream.firstDue + fromSeconds(due / stream.decodeRate);
}

void EngineModel::write(Stream& stream, Output& output, uint32_t due)
{
    if (output.closed || output.gone || output.buffer.in_avail() > maxBufferedBytes)
        return;
    const auto& bad = stream.faults;
    const uint32_t limit = std::min({ due, bad.stallAfter.value_or(UINT32_MAX), bad.closeAfter.value_or(UINT32_MAX) });
    const uint32_t until = stream.finished ? limit : std::min(limit, output.sent + maxTokensPerWrite);
    std::string text;
    while (output.sent < until) {
        const uint32_t number = ++output.sent;
        if (number == bad.skipToken)
            continue;
        const int copies = number == bad.repeatToken ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            text += R"(data: {"id":")" + stream.eventId + R"(","model":")" + stream.model;
            text += stream.chat ? R"(","choices":[{"index":0,"delta":{"content":")" : R"(","choices":[{"index":0,"text":")";
            appendWord(text, stream.hash, number);
            text += stream.chat ? R"("},"finish_reason":)" : R"(","finish_reason":)";
            text += number == stream.total ? R"("stop"}],"usage":{"completion_tokens":)" : R"(null}],"usage":{"completion_tokens":)";
            text += std::to_string(number) + "}}\n\n";
        }
    }
    const bool cut = bad.closeAfter && output.sent >= *bad.closeAfter;
    const bool stalled = bad.stallAfter && output.sent >= *bad.stallAfter;
    const bool whole = !cut && !stalled && output.sent >= stream.total;
    if (whole && !bad.noTerminator)
        text += "data: [DONE]\n\n";
    if (!text.empty()) {
        // The buffer copies at once. Waiting for the tasks here would need a pool thread while all of them may wait for the shard.
        output.buffer.putn_nocopy(reinterpret_cast<const uint8_t*>(text.data()), text.size());
        output.buffer.sync();
    }
    if (cut) {
        output.closed = true;
        output.buffer.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("fault: connection closed")));
    } else if (whole) {
        output.closed = true;
        output.buffer.close(std::ios_base::out);
    }
}

void EngineModel::finish(Stream& stream, std::string_view outcome, TimePoint now)
{
    stream.finished = true;
    std::lock_guard lock(this->mutex);
    stream.entry->end = now;
    stream.entry->tokens = stream.generated;
    stream.entry->outcome = outcome;
    this->loadHistory.emplace_back(now, --this->runningStreams);
    this->finishedOrder.push_back(stream.id);
    if (this->finishedOrder.size() > finishedKept) {
        this->streams.erase(this->finishedOrder.front());
        this->finishedOrder.pop_front();
    }
}

} // namespace guavapond::standins
