// Callers over cpprestsdk's client, one thread each.
#include "LoadClient.h"

#include "../standins/EngineModel.h"

#include <cpprest/http_client.h>
#include <random>

namespace guavapond::bench {

namespace {

using nlohmann::json;
using web::http::http_request;
using web::http::client::http_client;

constexpr std::string_view terminator = "data: [DONE]";
constexpr std::chrono::milliseconds longestRetryPause(400);
constexpr std::chrono::milliseconds lostRetryPause(30);

// The words of a streamed answer.
std::string wordsOf(std::string_view events)
{
    std::string words;
    while (!events.empty()) {
        auto end = events.find('\n');
        auto line = events.substr(0, end);
        events = end == std::string_view::npos ? std::string_view() : events.substr(end + 1);
        if (!line.starts_with("data: {"))
            continue;
        auto event = json::parse(line.substr(6), nullptr, false);
        if (event.is_object() && event.contains("choices"))
            words += event["choices"][0].value("delta", json::object()).value("content", "");
    }
    return words;
}

json errorOf(const std::string& text)
{
    auto body = text;
    auto event = text.find("event: error\ndata: ");
    if (event != std::string::npos) {
        body = text.substr(event + std::string_view("event: error\ndata: ").size());
        body = body.substr(0, body.find('\n'));
    }
    auto parsed = json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.contains("error") ? parsed["error"] : json();
}

int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

const char* tierOf(RequestClass kind)
{
    if (kind == RequestClass::Question)
        return "urgent";
    return kind == RequestClass::Letter ? "batch" : "standard";
}

} // namespace

struct LoadClient::Caller {
    size_t index = 0;
    RequestClass kind = RequestClass::Question;
    std::mt19937_64 random;
    size_t sent = 0;
    std::vector<std::unique_ptr<http_client>> clients; // one for each node
    std::vector<uint64_t> lossesSeen;                  // by node, when its client was made
    std::string lastAnswer;
    uint32_t retryAfterMs = 0;
    std::thread thread;
};

LoadClient::LoadClient(const LoadSettings& s, std::vector<NodeEntry> n, uint64_t seed)
    : settings(s)
    , nodes(std::move(n))
    , avoidedUntil(this->nodes.size())
    , losses(this->nodes.size())
{
    const auto total = s.questionCallers + s.letterCallers + s.callCallers;
    for (size_t i = 0; i < total; ++i) {
        auto caller = std::make_unique<Caller>();
        caller->index = i;
        caller->random.seed(seed * 1000 + i);
        if (i >= s.questionCallers)
            caller->kind = i < s.questionCallers + s.letterCallers ? RequestClass::Letter : RequestClass::Call;
        caller->clients.resize(this->nodes.size());
        caller->lossesSeen.resize(this->nodes.size());
        this->callers.push_back(std::move(caller));
    }
    for (auto& caller : this->callers)
        caller->thread = std::thread([this, raw = caller.get()] { this->run(*raw); });
}

LoadClient::~LoadClient() { this->stop(); }

void LoadClient::stop()
{
    this->stopping = true;
    for (auto& caller : this->callers) {
        if (caller->thread.joinable())
            caller->thread.join();
    }
}

size_t LoadClient::openAt(size_t node) const
{
    const std::lock_guard lock(this->mutex);
    size_t count = 0;
    for (const auto& [caller, attempt] : this->underWay)
        count += attempt.node == node || this->ownerOf(attempt.ticket) == this->nodes[node].name ? 1 : 0;
    return count;
}

std::vector<RequestRecord> LoadClient::records() const
{
    const std::lock_guard lock(this->mutex);
    return this->ended;
}

size_t LoadClient::pickNode(Caller& caller) const
{
    const auto now = steadyMs();
    std::vector<size_t> usable;
    for (size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->avoidedUntil[i] <= now)
            usable.push_back(i);
    }
    const auto count = usable.empty() ? this->nodes.size() : usable.size();
    const auto picked = std::uniform_int_distribution<size_t>(0, count - 1)(caller.random);
    return usable.empty() ? picked : usable[picked];
}

// A load balancer closes its connections to a node that was lost, so that one loss does not follow another after a restart.
http_client& LoadClient::clientOf(Caller& caller, size_t node) const
{
    const uint64_t present = this->losses[node];
    auto& client = caller.clients[node];
    if (!client || caller.lossesSeen[node] != present) {
        web::http::client::http_client_config config;
        config.set_timeout(caller.kind == RequestClass::Question ? this->settings.questionTimeout : this->settings.ticketTimeout);
        client = std::make_unique<http_client>(this->nodes[node].url, config);
        caller.lossesSeen[node] = present;
    }
    return *client;
}

std::string LoadClient::ownerOf(const std::string& ticket) const
{
    // gp1.<node>.<incarnation>.<sequence>.<w|u>
    auto start = ticket.find('.');
    auto end = start == std::string::npos ? start : ticket.find('.', start + 1);
    return end == std::string::npos ? std::string() : ticket.substr(start + 1, end - start - 1);
}

void LoadClient::run(Caller& caller)
{
    while (!this->stopping) {
        RequestRecord record;
        record.kind = caller.kind;
        record.start = std::chrono::steady_clock::now();
        this->ask(caller, record);
        record.end = std::chrono::steady_clock::now();
        {
            const std::lock_guard lock(this->mutex);
            this->ended.push_back(std::move(record));
        }
        std::this_thread::sleep_for(this->settings.pause);
    }
}

void LoadClient::ask(Caller& caller, RequestRecord& record)
{
    const auto name = std::to_string(caller.index) + "-" + std::to_string(++caller.sent);
    if (record.kind == RequestClass::Call)
        return this->follow(caller, record, "/v1/services/register/certificates", json { { "paint", name } }.dump());
    const bool letter = record.kind == RequestClass::Letter;
    std::string content = "request " + name;
    for (size_t i = 0; letter && i < this->settings.letterWords; ++i)
        content += " armour";
    const json body { { "model", "drafts" }, { "stream", true },
        { "max_tokens", letter ? this->settings.letterTokens : this->settings.questionTokens },
        { "messages", json::array({ { { "role", "user" }, { "content", content } } }) } };
    this->follow(caller, record, "/v1/chat/completions", body.dump());
}

void LoadClient::follow(Caller& caller, RequestRecord& record, const std::string& path, const std::string& body)
{
    const auto until = record.start + this->settings.patience;
    const bool ticketed = record.kind != RequestClass::Question;
    std::string ticket;
    while (std::chrono::steady_clock::now() < until) {
        if (ticketed && ticket.empty()) {
            ticket = this->mint(caller, record, until);
            if (ticket.empty())
                break; // nothing was sent
        }
        const auto attempt = this->send(caller, record, path, body, ticket);
        const auto& known = attempt.ticket.empty() ? ticket : attempt.ticket;
        if (attempt.lost) {
            record.outcome = CallerOutcome::None;
            if (ticketed)
                this->askTicket(caller, record, ticket);
            std::this_thread::sleep_for(lostRetryPause);
            continue;
        }
        if (attempt.disposition.empty() && attempt.status / 100 == 2) {
            record.outcome = CallerOutcome::Answered;
            return this->checkAnswer(record, body, caller.lastAnswer, known);
        }
        if (attempt.disposition == "not_run") {
            if (!known.empty())
                record.toldNotRun.push_back(known);
            record.outcome = CallerOutcome::NotRun;
            ticket.clear();
            this->pauseBeforeRetry(caller, attempt);
            continue;
        }
        if (attempt.disposition == "ran") {
            record.outcome = CallerOutcome::Ran;
            return;
        }
        // "Unknown" that may change, or a repeatable question: asked again.
        record.outcome = CallerOutcome::Unknown;
        if (ticketed && caller.retryAfterMs == 0)
            return this->askTicket(caller, record, ticket);
        this->pauseBeforeRetry(caller, attempt);
    }
}

std::string LoadClient::mint(Caller& caller, RequestRecord& record, SteadyTime until)
{
    while (std::chrono::steady_clock::now() < until) {
        const auto attempt = this->send(caller, record, "/v1/tickets", "", "");
        if (attempt.status == 201)
            return json::parse(caller.lastAnswer).at("ticket").get<std::string>();
        record.outcome = CallerOutcome::NotRun; // nothing but the minting was asked for so far
        this->pauseBeforeRetry(caller, attempt);
    }
    return {};
}

AttemptRecord LoadClient::send(
    Caller& caller, RequestRecord& record, const std::string& path, const std::string& body, const std::string& ticket)
{
    AttemptRecord attempt;
    attempt.node = this->pickNode(caller);
    attempt.ticket = ticket;
    attempt.start = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(this->mutex);
        this->underWay[caller.index] = attempt;
    }
    caller.lastAnswer.clear();
    caller.retryAfterMs = 0;
    try {
        http_request request(web::http::methods::POST);
        request.set_request_uri(path);
        request.headers().add("Guavapond-Workspace", record.kind == RequestClass::Question ? "inspectors" : "assessors");
        request.headers().add("Guavapond-Tier", tierOf(record.kind));
        request.headers().add("Guavapond-Deadline-Ms", "15000");
        if (!ticket.empty())
            request.headers().add("Guavapond-Ticket", ticket);
        request.set_body(body, "application/json");
        auto response = this->clientOf(caller, attempt.node).request(request).get();
        attempt.sent = true;
        attempt.status = response.status_code();
        auto header = response.headers().find("Guavapond-Ticket");
        if (header != response.headers().end())
            attempt.ticket = header->second;
        caller.lastAnswer = response.extract_utf8string(true).get();
        const auto error = errorOf(caller.lastAnswer);
        if (error.is_object()) {
            attempt.type = error.value("type", "");
            attempt.disposition = error.value("disposition", "unknown");
            caller.retryAfterMs = error.value("retryAfterMs", 0U);
        } else if (path.ends_with("completions") && caller.lastAnswer.find(terminator) == std::string::npos) {
            attempt.lost = true; // a stream without its terminator
        }
    } catch (const std::exception& failure) {
        attempt.lost = true;
        attempt.sent = attempt.sent || std::string_view(failure.what()).find("connect") == std::string_view::npos;
        attempt.type = failure.what();
    }
    attempt.end = std::chrono::steady_clock::now();
    if (attempt.lost)
        ++this->losses[attempt.node];
    if (attempt.lost || attempt.type == "stopping")
        this->avoidedUntil[attempt.node] = steadyMs() + this->settings.avoidance.count();
    record.attempts.push_back(attempt);
    const std::lock_guard lock(this->mutex);
    this->underWay.erase(caller.index);
    return attempt;
}

// What another node says of the ticket has to be true as well.
void LoadClient::askTicket(Caller& caller, RequestRecord& record, const std::string& ticket)
{
    try {
        auto response = this->clientOf(caller, this->pickNode(caller)).request(web::http::methods::GET, "/v1/tickets/" + ticket).get();
        auto body = json::parse(response.extract_utf8string(true).get(), nullptr, false);
        if (response.status_code() == web::http::status_codes::OK && body.is_object() && body.value("disposition", "") == "not_run")
            record.toldNotRun.push_back(ticket);
    } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): the node asked may be the one that is gone
    }
}

void LoadClient::checkAnswer(RequestRecord& record, const std::string& body, const std::string& answer, const std::string& ticket) const
{
    const auto sent = json::parse(body);
    if (record.kind == RequestClass::Call) {
        const auto received = json::parse(answer, nullptr, false);
        record.crossed = !received.is_object() || received.value("request", "") != ticket || received.value("received", "") != body;
        return;
    }
    record.crossed = wordsOf(answer) != standins::answerText(standins::promptOf(sent), sent.at("max_tokens").get<uint32_t>());
}

void LoadClient::pauseBeforeRetry(const Caller& caller, const AttemptRecord& attempt) const
{
    const std::chrono::milliseconds told(caller.retryAfterMs);
    std::this_thread::sleep_for(attempt.lost ? lostRetryPause : std::clamp(told, lostRetryPause, longestRetryPause));
}

} // namespace guavapond::bench
