// Answers and faults of the runner.
#include "edge/PlatformRunner.h"

namespace guavapond::standins {

namespace {

namespace http = edge::http;

constexpr const char* idField = "Guavapond-Attempt-Id";
constexpr const char* sealField = "Guavapond-Response-Seal";
constexpr const char* notRunField = "Guavapond-Not-Executed";
constexpr const char* leavingField = "Server-Leaving";
constexpr const char* limitField = "Server-Limit";
constexpr const char* targetField = "Guavapond-Target-Instance";
constexpr const char* partsField = "Guavapond-Prompt-Prefix";
constexpr const char* instanceField = "Guavapond-Instance-Id";

std::string eventText(int id) { return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n"; }

bool isStream(const http::request<http::string_body>& request)
{
    return request.target().find("/stream") != boost::beast::string_view::npos;
}

} // namespace

PlatformRunner::PlatformRunner(edge::net::io_context& loop, const RunnerSettings& settings)
    : loop(loop)
    , settings(settings)
    , listener(
          loop, { settings.address, 256 },
          [this](const edge::CallerPointer& caller, edge::CallerRequest request) { this->onRequest(caller, std::move(request)); },
          [] { return edge::CallerLimits {}; })
{
}

size_t PlatformRunner::runsOf(const std::string& attempt) const
{
    return static_cast<size_t>(std::count_if(this->runs.begin(), this->runs.end(), [&](const Run& run) { return run.attempt == attempt; }));
}

void PlatformRunner::after(Duration delay, std::function<void()> action)
{
    auto& timer = this->timers.emplace_back(this->loop);
    timer.expires_after(delay);
    timer.async_wait([action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

http::response<http::string_body> PlatformRunner::makeHead(size_t run, unsigned status) const
{
    http::response<http::string_body> message;
    message.result(status);
    message.set(idField, this->runs[run].attempt);
    this->onAnswer(this->runs[run].attempt);
    message.set(sealField, "seal-of-" + this->settings.id);
    if (this->isLeaving)
        message.set(leavingField, "1");
    for (const std::string& limit : this->requestLimits)
        message.insert(limitField, limit);
    return message;
}

bool PlatformRunner::crashesOn(const Run& run) const
{
    if (!this->crashBody.empty() && run.request.body() == this->crashBody)
        return true;
    return !this->crashPart.empty()
        && run.request[partsField].find(boost::beast::string_view(this->crashPart + ":")) != boost::beast::string_view::npos;
}

void PlatformRunner::beginCrash(const edge::CallerPointer& caller, size_t run)
{
    constexpr int eventsBeforeCrash = 2;
    if (this->crashMoment != CrashMoment::BeforeAnswer) {
        auto message = this->makeHead(run, 200);
        const bool stream = isStream(this->runs[run].request);
        if (stream)
            message.set(http::field::content_type, "text/event-stream");
        caller->beginStream(message.base());
        if (this->crashMoment == CrashMoment::AfterPart && !stream)
            caller->sendPiece("half");
        const auto last = this->runs[run].request["Last-Event-Id"];
        const int first = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
        for (int event = first; this->crashMoment == CrashMoment::AfterPart && stream && event < first + eventsBeforeCrash; ++event)
            caller->sendPiece(eventText(event));
    }
    this->after(this->settings.work, [this, run] {
        if (!this->runs[run].cancelled)
            this->crash(run);
    });
}

// Breaks all answers off and takes no request until downTime has passed.
void PlatformRunner::crash(size_t run)
{
    this->downUntil = edge::bootTime() + this->downTime;
    this->onCrash(this->runs[run].attempt);
    for (const auto& [index, caller] : std::exchange(this->answering, {})) {
        this->runs[index].cancelled = true;
        caller->abortResponse();
    }
}

void PlatformRunner::onRequest(const edge::CallerPointer& caller, edge::CallerRequest request)
{
    if (edge::bootTime() < this->downUntil)
        return caller->abortResponse();
    ++this->asked;
    const std::string attempt(request.message[idField]);
    this->onArrival(attempt);
    RunnerFault now = RunnerFault::None;
    if (this->fault != RunnerFault::None && *this->faultsLeft > 0) {
        now = this->fault;
        --*this->faultsLeft;
    }
    const auto expected = request.message[targetField];
    if (now == RunnerFault::OtherOwner || (!expected.empty() && expected != this->settings.id)) {
        auto answer = edge::makeResponse({ 421, "", "", {} });
        answer.set(instanceField, this->settings.id);
        answer.set(idField, attempt);
        return caller->sendResponse(std::move(answer));
    }
    if (now == RunnerFault::Declines) {
        auto answer = edge::makeResponse({ 503, "", "", {} });
        answer.set(notRunField, "1");
        answer.set(idField, attempt);
        this->onAnswer(attempt);
        for (const std::string& limit : this->requestLimits)
            answer.insert(limitField, limit);
        if (!this->retryAfter.empty())
            answer.set(http::field::retry_after, this->retryAfter);
        return caller->sendResponse(std::move(answer));
    }
    const size_t run = this->runs.size();
    const bool stream = isStream(request.message);
    this->runs.push_back({ attempt, std::move(request.message), false });
    this->answering[run] = caller;
    caller->onDisconnect([this, run] {
        this->runs[run].cancelled = true;
        this->answering.erase(run);
    });
    if (this->crashesOn(this->runs[run]))
        return this->beginCrash(caller, run);
    if (now == RunnerFault::Hangs)
        return this->hanging.push_back(caller);
    if (now == RunnerFault::BreaksBefore)
        return this->after(this->settings.work, [caller] { caller->abortResponse(); });
    if (stream)
        this->answerStream(caller, run, now);
    else
        this->after(this->settings.work, [this, caller, run, now] { this->answerPlain(caller, run, now); });
}

void PlatformRunner::answerPlain(const edge::CallerPointer& caller, size_t run, RunnerFault now)
{
    auto message = this->makeHead(run, now == RunnerFault::Fails ? 500 : now == RunnerFault::BareBusy ? 503 : 200);
    message.body() = "answer of " + this->settings.id;
    if (now == RunnerFault::Unsealed)
        message.erase(sealField);
    if (now == RunnerFault::Encoded)
        message.set(http::field::content_encoding, "gzip");
    if (now == RunnerFault::WrongId)
        message.set(idField, "somebody-else");
    if (now == RunnerFault::BreaksMidway) {
        caller->beginStream(message.base());
        caller->sendPiece("half");
        return this->after(this->settings.work, [caller] { caller->abortResponse(); });
    }
    this->answering.erase(run);
    caller->sendResponse(std::move(message));
}

void PlatformRunner::answerStream(const edge::CallerPointer& caller, size_t run, RunnerFault now)
{
    if (now == RunnerFault::Fails || now == RunnerFault::Unsealed)
        return this->answerPlain(caller, run, now);
    auto message = this->makeHead(run, 200);
    message.set(http::field::content_type, "text/event-stream");
    caller->beginStream(message.base());
    const auto last = this->runs[run].request["Last-Event-Id"];
    this->sendEvent(caller, run, last.empty() ? 1 : std::stoi(std::string(last)) + 1, now);
}

void PlatformRunner::sendEvent(const edge::CallerPointer& caller, size_t run, int next, RunnerFault now)
{
    if (this->runs[run].cancelled)
        return;
    if (next > this->settings.events) {
        this->answering.erase(run);
        return caller->endStream();
    }
    if (now == RunnerFault::BreaksMidway && next == 2) {
        caller->sendPiece(eventText(next).substr(0, 6));
        return this->after(this->settings.eventGap, [caller] { caller->abortResponse(); });
    }
    caller->sendPiece(eventText(next));
    this->after(this->settings.eventGap, [this, caller, run, next, now] { this->sendEvent(caller, run, next + 1, now); });
}

} // namespace guavapond::standins
