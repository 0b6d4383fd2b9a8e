// One HTTP request with its own deadlines; written at most once.
#include "adapters/HttpExchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <cpprest/producerconsumerstream.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <unistd.h>

namespace guavapond {

namespace {

// False if Content-Length is no number, is given twice or stands beside a transfer encoding. The library then takes the body to end with
// the connection, so that an answer that breaks off would look whole.
bool hasCertainLength(const web::http::http_headers& headers)
{
    const auto field = headers.find("Content-Length");
    if (field == headers.end())
        return true;
    int64_t length = 0;
    const std::string& text = field->second;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool isNumber = error == std::errc() && end == text.data() + text.size() && length >= 0;
    return isNumber && headers.find("Transfer-Encoding") == headers.end();
}

// RFC 9110 names no status code outside this range; the library takes an informational one for the answer.
constexpr web::http::status_code firstFinalStatus = 200;
constexpr web::http::status_code endOfStatuses = 600;

bool endsWithConnection(const web::http::http_headers& headers)
{
    return headers.find("Content-Length") == headers.end() && headers.find("Transfer-Encoding") == headers.end();
}

bool isAddress(const std::string& host)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    return !error;
}

constexpr const char* idHeader = "X-Request-Id";

// An answer need not name its request.
bool namesAnother(const web::http::http_headers& headers, const std::string& requestId)
{
    const auto field = headers.find(idHeader);
    return field != headers.end() && !requestId.empty() && field->second != requestId;
}

constexpr size_t readBytes = 64 * 1024;                      // bytes read at once
constexpr auto libraryTimeout = std::chrono::hours(24);      // the library's own timeout is not used; HttpExchange has its own
constexpr Duration busyDelay = std::chrono::milliseconds(1); // until the next look at an exchange whose hook is running

using ByteBuffer = concurrency::streams::details::basic_producer_consumer_buffer<uint8_t>;

} // namespace

// A second handle of the connection's socket, since the library closes its own before it reports the end of the answer. Over TLS there is
// none: the end of an answer is authenticated there, so that the library reports a connection that ends without one. With a host name there
// is none either: for each further address of the name the library replaces the connection, whose socket would be gone.
class HttpExchange::Link {
public:
    Link() = default;
    ~Link() { this->drop(); }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    void setSocket(boost::asio::ip::tcp::socket* value) { this->socket = value; } // before the connection is made
    void follow()                                                                 // the library is about to write the body
    {
        std::lock_guard lock(this->mutex);
        if (this->socket && !this->dropped && this->handle < 0)
            this->handle = ::dup(this->socket->native_handle());
    }
    // An open handle would keep the library's close from telling the target that its answer isn't wanted.
    void drop()
    {
        std::lock_guard lock(this->mutex);
        this->dropped = true;
        if (this->handle >= 0)
            ::close(this->handle);
        this->handle = -1;
    }

    // The target has received the whole request and has not reset the connection. The library takes any end for an orderly one. True also
    // of a request without a body: if it is unread when the target closes, a reset takes the place of the end, which the library reports.
    bool hasEndedInOrder()
    {
        constexpr int ownEnd = 1; // the library's end of the connection counts as a byte
        std::lock_guard lock(this->mutex);
        int error = 0;
        int unacknowledged = 0; // bytes
        socklen_t size = sizeof(error);
        return this->handle < 0
            || (::getsockopt(this->handle, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0
                && ::ioctl(this->handle, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged <= ownEnd);
    }

private:
    std::mutex mutex;                               // guards dropped and handle
    boost::asio::ip::tcp::socket* socket = nullptr; // the library's; valid while it writes the request
    bool dropped = false;
    int handle = -1;
};

namespace {

web::http::client::http_client_config configOf(const std::string& caFile)
{
    web::http::client::http_client_config config;
    config.set_timeout(std::chrono::duration_cast<std::chrono::microseconds>(libraryTimeout));
    config.set_chunksize(readBytes);
    if (!caFile.empty())
        config.set_ssl_context_callback([file = caFile](boost::asio::ssl::context& context) { context.load_verify_file(file); });
    return config;
}

} // namespace

TimePoint presentTime() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

// ---- DeadlineTimer

DeadlineTimer::DeadlineTimer()
    : thread([this] { this->run(); })
{
}

DeadlineTimer::~DeadlineTimer()
{
    {
        std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->thread.join();
}

void DeadlineTimer::wakeAt(TimePoint when, std::weak_ptr<HttpExchange> exchange)
{
    bool earliest = false;
    {
        std::lock_guard lock(this->mutex);
        earliest = this->entries.empty() || when < this->entries.top().when;
        this->entries.push({ when, std::move(exchange) });
    }
    if (earliest)
        this->changed.notify_one();
}

void DeadlineTimer::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        if (this->entries.empty()) {
            this->changed.wait(lock);
            continue;
        }
        const auto when = this->entries.top().when;
        if (presentTime() < when) {
            this->changed.wait_until(lock, when);
            continue;
        }
        auto due = this->entries.top().exchange;
        this->entries.pop();
        lock.unlock();
        if (auto exchange = due.lock()) {
            if (auto next = exchange->checkDeadlines(presentTime()))
                this->wakeAt(*next, due);
        }
        lock.lock();
    }
}

// ---- Request and response bodies

// Hands out the request body once. After withdraw() it hands out nothing.
class HttpExchange::Body : public ByteBuffer {
public:
    Body(std::string bytes, std::shared_ptr<Link> connection)
        : ByteBuffer(1)
        , content(std::move(bytes))
        , link(std::move(connection))
    {
    }

    bool withdraw()
    {
        int expected = untouched;
        return this->state.compare_exchange_strong(expected, withdrawn) || expected == withdrawn;
    }
    bool isHandedOut() const { return this->state.load() == handedOut; }
    bool isProof() const { return !this->content.empty(); } // an empty body is never asked for, so it proves nothing

protected:
    pplx::task<size_t> _getn(uint8_t* target, size_t count) override
    {
        int expected = untouched;
        if (!this->state.compare_exchange_strong(expected, handedOut) && expected == withdrawn)
            return pplx::task_from_exception<size_t>(std::runtime_error("request withdrawn"));
        this->link->follow();
        const size_t size = std::min(count, this->content.size() - this->position);
        std::memcpy(target, this->content.data() + this->position, size);
        this->position += size;
        return pplx::task_from_result(size);
    }

private:
    static constexpr int untouched = 0;
    static constexpr int handedOut = 1;
    static constexpr int withdrawn = 2;

    const std::string content;
    const std::shared_ptr<Link> link;
    size_t position = 0;
    std::atomic<int> state = untouched;
};

// Receives the response body as the client reads it, without a task for each read.
class HttpExchange::Sink : public ByteBuffer {
public:
    explicit Sink(std::weak_ptr<HttpExchange> receiver)
        : ByteBuffer(1)
        , exchange(std::move(receiver))
    {
    }

protected:
    uint8_t* _alloc(size_t) override { return nullptr; }
    pplx::task<size_t> _putn(const uint8_t* bytes, size_t count) override
    {
        if (auto receiver = this->exchange.lock())
            receiver->onBytes({ reinterpret_cast<const char*>(bytes), count });
        return pplx::task_from_result(count);
    }
    pplx::task<bool> _sync() override { return pplx::task_from_result(true); }

private:
    std::weak_ptr<HttpExchange> exchange;
};

// ---- HttpExchange

HttpExchange::HttpExchange(ExchangeRequest what, ExchangeHooks receiver)
    : request(std::move(what))
    , hooks(std::move(receiver))
    , link(std::make_shared<Link>())
    , body(std::make_shared<Body>(this->request.body, this->link))
{
}

HttpExchange::~HttpExchange() = default;

std::shared_ptr<HttpExchange> HttpExchange::start(
    const std::string& caFile, DeadlineTimer& timer, ExchangeRequest request, ExchangeHooks hooks)
{
    std::shared_ptr<HttpExchange> exchange(new HttpExchange(std::move(request), std::move(hooks)));
    const auto now = presentTime();
    exchange->startedAt = now.time_since_epoch().count();
    exchange->send(caFile);
    if (auto first = exchange->checkDeadlines(now))
        timer.wakeAt(*first, exchange);
    return exchange;
}

void HttpExchange::send(const std::string& caFile)
{
    auto self = this->shared_from_this();
    try {
        auto config = configOf(caFile);
        const web::uri base(this->request.url);
        const bool isPlain = base.scheme() == "http";
        const bool showsEnd = !isPlain || isAddress(base.host());
        if (isPlain && showsEnd)
            config.set_nativehandle_options([followed = this->link](web::http::client::native_handle handle) {
                followed->setSocket(static_cast<boost::asio::ip::tcp::socket*>(handle));
            });
        this->client = std::make_unique<web::http::client::http_client>(this->request.url, config);
        web::http::http_request message(this->request.method);
        message.set_request_uri(web::uri(this->request.path));
        for (const auto& [name, value] : this->request.headers)
            message.headers().add(name, value);
        if (!this->request.requestId.empty())
            message.headers().add(idHeader, this->request.requestId);
        message.headers().add("Connection", "close");
        concurrency::streams::streambuf<uint8_t> source(this->body);
        const bool hasBody = !this->request.body.empty() || (this->request.method != "GET" && this->request.method != "HEAD");
        if (hasBody)
            message.set_body(source.create_istream(), this->request.body.size(), this->request.contentType);
        concurrency::streams::streambuf<uint8_t> sink(std::make_shared<Sink>(self));
        message.set_response_stream(sink.create_ostream());
        this->client->request(message, this->cancellation.get_token())
            .then([self](const web::http::http_response& response) {
                self->checkHead(response);
                self->onHead(response);
                return response.content_ready();
            })
            .then([self, showsEnd](const pplx::task<web::http::http_response>& done) {
                try {
                    if (endsWithConnection(done.get().headers()) && !(showsEnd && self->link->hasEndedInOrder()))
                        throw std::runtime_error("the answer broke off");
                    self->end(std::unique_lock(self->mutex), std::nullopt);
                } catch (const std::exception& error) {
                    self->onError(error);
                }
            });
    } catch (const std::exception& error) { // a malformed address or header
        this->withdraw();
        this->end(std::unique_lock(this->mutex), ExchangeFailure { ExchangeFailure::Kind::Unsent, false, error.what() });
    }
}

void HttpExchange::cancel()
{
    if (!this->cancelled.exchange(true))
        this->cancellation.cancel();
}

void HttpExchange::onProgress() { this->progressAt = presentTime().time_since_epoch().count(); }

bool HttpExchange::withdraw() { return this->body->withdraw() && this->body->isProof(); }

void HttpExchange::checkHead(const web::http::http_response& response)
{
    const char* fault = nullptr;
    if (response.status_code() < firstFinalStatus || response.status_code() >= endOfStatuses)
        fault = "the status of the answer is none";
    else if (!hasCertainLength(response.headers()))
        fault = "the length of the answer is not certain";
    else if (namesAnother(response.headers(), this->request.requestId))
        fault = "the answer names another request";
    if (!endsWithConnection(response.headers()))
        this->link->drop();
    if (!fault)
        return;
    this->cancellation.cancel();
    throw std::runtime_error(fault);
}

void HttpExchange::onHead(const web::http::http_response& response)
{
    std::lock_guard lock(this->mutex);
    if (this->ended)
        return;
    this->headSeen = true;
    this->hooks.onHead(response.status_code(), response.headers().content_type());
    if (!this->early.empty())
        this->hooks.onBytes(this->early);
    this->early.clear();
}

void HttpExchange::onBytes(std::string_view bytes)
{
    std::lock_guard lock(this->mutex);
    if (this->ended)
        return;
    if (this->headSeen)
        this->hooks.onBytes(bytes);
    else
        this->early += bytes;
}

void HttpExchange::onError(const std::exception& error)
{
    ExchangeFailure failure;
    failure.message = error.what();
    // The two texts are the library's, whose error codes don't tell a failed connect from a failed write. If they change, such a
    // failure counts as sent, which is the safe side.
    const bool connectFailed = failure.message.starts_with("Failed to connect") || failure.message.starts_with("Error resolving");
    failure.sent = !this->withdraw() && !connectFailed;
    if (this->cancelled)
        failure.kind = ExchangeFailure::Kind::Cancelled;
    else if (!failure.sent)
        failure.kind = ExchangeFailure::Kind::Unsent;
    this->end(std::unique_lock(this->mutex), failure);
}

void HttpExchange::end(std::unique_lock<std::mutex> lock, const std::optional<ExchangeFailure>& failure)
{
    if (this->ended)
        return;
    this->ended = true;
    this->link->drop();
    this->hooks.onEnd(failure);
    this->hooks = {}; // breaks cycles through captured owners
    lock.unlock();
}

std::optional<TimePoint> HttpExchange::checkDeadlines(TimePoint now)
{
    std::unique_lock lock(this->mutex, std::try_to_lock);
    if (!lock)
        return now + busyDelay;
    if (this->ended)
        return std::nullopt;
    const TimePoint started { Duration(this->startedAt.load()) };
    const TimePoint progress { Duration(this->progressAt.load()) };
    ExchangeFailure failure;
    if (this->progressAt == 0) {
        // The first progress starts a deadline that may be earlier than the present one, so this looks again within progressTimeout.
        const auto soon = std::min(started + this->request.firstByteTimeout, now + this->request.progressTimeout);
        const bool connecting = this->body->isProof() && !this->body->isHandedOut();
        if (connecting && now < started + this->request.connectTimeout)
            return std::min(started + this->request.connectTimeout, soon);
        const bool unsent = connecting && this->withdraw();
        if (!unsent && now < started + this->request.firstByteTimeout)
            return soon;
        failure = unsent ? ExchangeFailure { ExchangeFailure::Kind::Unsent, false, "no connection before the connect timeout" }
                         : ExchangeFailure { ExchangeFailure::Kind::FirstByteTimeout, true, "no answer before the first-byte timeout" };
    } else {
        if (now < progress + this->request.progressTimeout)
            return progress + this->request.progressTimeout;
        failure = { ExchangeFailure::Kind::ProgressTimeout, true, "silent for longer than the between-token timeout" };
    }
    this->end(std::move(lock), failure);
    this->cancellation.cancel();
    return std::nullopt;
}

} // namespace guavapond
