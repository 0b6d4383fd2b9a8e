// The plain service's stand-in: executed calls, log, faults.
#include "ServiceModel.h"

#include <cpprest/producerconsumerstream.h>

#include <algorithm>

namespace guavapond::standins {

namespace {

using json = nlohmann::json;
using web::http::http_request;

TimePoint presentTime() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

// Announces more bytes than it sends and closes the connection.
void cutReply(const http_request& request)
{
    concurrency::streams::producer_consumer_buffer<uint8_t> buffer;
    web::http::http_response response(web::http::status_codes::OK);
    const std::string half = R"({"result":)";
    buffer.putn_nocopy(reinterpret_cast<const uint8_t*>(half.data()), half.size()).wait();
    response.set_body(buffer.create_istream(), 2 * half.size(), "application/json");
    buffer.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("fault: connection closed")));
    request.reply(response).then([](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): the failure is the fault asked for
        }
    });
}

} // namespace

ServiceFaults parseServiceFaults(const json& body)
{
    ServiceFaults faults;
    faults.failNext = body.value("failNext", 0U);
    faults.failStatus = body.value("failStatus", faults.failStatus);
    faults.stallNext = body.value("stallNext", 0U);
    faults.cutNext = body.value("cutNext", 0U);
    faults.delay = std::chrono::milliseconds(body.value("delayMs", 0));
    return faults;
}

ServiceModel::ServiceModel(const ServiceSettings& initial)
    : settings(initial)
{
    this->timer = std::thread([this] { this->answerLater(); });
    this->listener
        = std::make_unique<LoopbackListener>(this->settings.port, [this](const http_request& request) { this->handle(request); });
}

ServiceModel::~ServiceModel()
{
    std::vector<http_request> open;
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
        open.swap(this->unanswered);
    }
    this->changed.notify_all();
    this->timer.join();
    for (auto& [due, answer] : this->delayed)
        answer();
    for (auto& request : open)
        sendJson(request, 503, { { "error", "the service is stopping" } }).wait();
    this->listener->close();
}

void ServiceModel::setFaults(const ServiceFaults& next)
{
    std::lock_guard lock(this->mutex);
    this->faults = next;
}

std::vector<ServiceModel::Call> ServiceModel::log() const
{
    std::lock_guard lock(this->mutex);
    return this->calls;
}

size_t ServiceModel::executions(std::string_view request) const
{
    std::lock_guard lock(this->mutex);
    return static_cast<size_t>(std::ranges::count_if(this->calls, [&](const Call& call) { return call.request == request; }));
}

void ServiceModel::handle(const http_request& request)
{
    const std::string path = request.request_uri().path();
    if (path == "/health")
        return jsonReply(request, 200, { { "status", "ok" }, { "service", this->settings.service } });
    if (path == "/log") {
        request.reply(web::http::status_codes::OK, this->logLines(), "application/x-ndjson");
        return;
    }
    if (path == "/faults" && request.method() == "PUT")
        return this->handleFaults(request);
    request.extract_vector().then([this, request](const pplx::task<std::vector<unsigned char>>& read) {
        try {
            auto bytes = read.get();
            this->execute(request, std::string(bytes.begin(), bytes.end()));
        } catch (const std::exception& error) {
            jsonReply(request, 400, { { "error", error.what() } });
        }
    });
}

void ServiceModel::execute(const http_request& request, const std::string& body)
{
    auto header = request.headers().find("X-Request-Id");
    if (header == request.headers().end())
        return jsonReply(request, 400, { { "error", "X-Request-Id is missing" } });
    const auto now = presentTime();
    std::unique_lock lock(this->mutex);
    if (this->faults.failNext > 0) {
        --this->faults.failNext;
        const int status = this->faults.failStatus;
        lock.unlock();
        return jsonReply(request, status, { { "error", "fault: call refused" } });
    }
    this->calls.push_back({ header->second, request.method(), request.request_uri().to_string(), now });
    if (this->faults.stallNext > 0) {
        --this->faults.stallNext;
        this->unanswered.push_back(request);
        return;
    }
    if (this->faults.cutNext > 0) {
        --this->faults.cutNext;
        lock.unlock();
        return cutReply(request);
    }
    const json answer { { "request", header->second }, { "service", this->settings.service }, { "version", this->settings.version },
        { "method", request.method() }, { "path", request.request_uri().to_string() }, { "received", body } };
    const int status = request.method() == "POST" ? 201 : 200;
    if (this->faults.delay > Duration::zero()) {
        this->delayed.emplace(now + this->faults.delay, [request, status, answer] { sendJson(request, status, answer).wait(); });
        lock.unlock();
        this->changed.notify_all();
        return;
    }
    lock.unlock();
    jsonReply(request, status, answer);
}

void ServiceModel::handleFaults(const http_request& request)
{
    request.extract_vector().then([this, request](const pplx::task<std::vector<unsigned char>>& read) {
        try {
            auto bytes = read.get();
            auto body = json::parse(bytes.begin(), bytes.end());
            this->setFaults(parseServiceFaults(body));
            // The connection of this request goes silent too, so it is answered first.
            request.reply(web::http::status_codes::OK, "{}", "application/json").wait();
            if (body.value("silenceConnections", false))
                this->silenceOpenConnections();
        } catch (const std::exception& error) {
            jsonReply(request, 400, { { "error", error.what() } });
        }
    });
}

std::string ServiceModel::logLines() const
{
    std::string lines;
    for (const auto& call : this->log()) {
        const json line { { "request", call.request }, { "method", call.method }, { "path", call.path },
            { "startUs", call.start.time_since_epoch().count() } };
        lines += line.dump() + "\n";
    }
    return lines;
}

void ServiceModel::answerLater()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (this->delayed.empty()) {
            this->changed.wait(lock);
            continue;
        }
        const auto due = this->delayed.begin()->first;
        if (presentTime() < due) {
            this->changed.wait_until(lock, due);
            continue;
        }
        auto answer = std::move(this->delayed.begin()->second);
        this->delayed.erase(this->delayed.begin());
        lock.unlock();
        answer();
        lock.lock();
    }
}

} // namespace guavapond::standins
