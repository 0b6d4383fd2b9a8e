// One HTTP request over cpprestsdk's client with its own deadlines and a connection of its own.
// Included by adapters only: it brings in cpprestsdk.
//
// Index
//   DeadlineTimer   one thread that wakes exchanges
//   ExchangeRequest, ExchangeHooks, HttpExchange
#pragma once

#include "core/Types.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <queue>
#include <thread>

namespace guavapond {

class HttpExchange;

class DeadlineTimer {
public:
    DeadlineTimer();
    ~DeadlineTimer();
    DeadlineTimer(const DeadlineTimer&) = delete;
    DeadlineTimer& operator=(const DeadlineTimer&) = delete;

    void wakeAt(TimePoint when, std::weak_ptr<HttpExchange> exchange);

private:
    struct Entry {
        TimePoint when;
        std::weak_ptr<HttpExchange> exchange;
        bool operator>(const Entry& other) const { return this->when > other.when; }
    };
    void run();

    std::mutex mutex; // guards stopping and entries
    std::condition_variable changed;
    bool stopping = false;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries;
    std::thread thread; // last: it uses the members above
};

struct ExchangeRequest {
    std::string url; // base address
    std::string method;
    std::string path;      // with query
    std::string requestId; // sent as X-Request-Id, if any; an answer whose X-Request-Id differs is not taken
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType;
    std::string body;
    Duration connectTimeout {};   // until the body is asked for by an established connection
    Duration firstByteTimeout {}; // from the start until the first call of HttpExchange::onProgress
    Duration progressTimeout {};  // between two calls of HttpExchange::onProgress
};

// Why an exchange ended without a whole response.
struct ExchangeFailure {
    enum class Kind : uint8_t { Unsent, ConnectionLost, FirstByteTimeout, ProgressTimeout, Cancelled };
    Kind kind = Kind::ConnectionLost;
    bool sent = true; // false: proved that the target can't have received the request
    std::string message;
};

// Called one at a time, on the client's threads or the timer's. None is called after onEnd.
struct ExchangeHooks {
    std::function<void(int status, const std::string& contentType)> onHead;
    std::function<void(std::string_view bytes)> onBytes;
    std::function<void(const std::optional<ExchangeFailure>&)> onEnd;
};

// Each exchange has a client, and so a connection, of its own. A target may write a copy of an earlier answer on a connection that it has
// answered on, and an answer need not name its request, so that on a kept connection the copy can't be told from the answer. It also keeps
// cpprestsdk from repeating a request, which it does where a kept connection was closed.
// The body proves "not sent": a body that was never asked for is withdrawn, and the target can't have received the request.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    // caFile: PEM; empty: the system's authorities.
    static std::shared_ptr<HttpExchange> start(
        const std::string& caFile, DeadlineTimer& timer, ExchangeRequest request, ExchangeHooks hooks);
    ~HttpExchange();

    void cancel();     // from any thread, any number of times
    void onProgress(); // from onBytes: the part that the caller waits for has come; restarts the progress deadline

    // For DeadlineTimer: ends the exchange if a deadline has passed; otherwise the time to look again.
    std::optional<TimePoint> checkDeadlines(TimePoint now);

    class Body; // internal: request body
    class Sink; // internal: response body
    class Link; // internal: the connection

private:
    HttpExchange(ExchangeRequest request, ExchangeHooks hooks);
    void send(const std::string& caFile);
    void checkHead(const web::http::http_response& response); // throws if the answer can't be taken
    void onHead(const web::http::http_response& response);
    void onBytes(std::string_view bytes);
    void onError(const std::exception& error);
    void end(std::unique_lock<std::mutex> lock, const std::optional<ExchangeFailure>& failure);
    bool withdraw(); // true: the body was never handed out, and never will be

    ExchangeRequest request;
    ExchangeHooks hooks;
    std::unique_ptr<web::http::client::http_client> client;
    pplx::cancellation_token_source cancellation;
    std::shared_ptr<Link> link; // before body, which uses it
    std::shared_ptr<Body> body;
    std::atomic<bool> cancelled = false;
    std::atomic<int64_t> startedAt = 0;  // µs of TimePoint
    std::atomic<int64_t> progressAt = 0; // µs of TimePoint; 0: none yet

    std::mutex mutex; // guards the members below and serializes the hooks
    bool headSeen = false;
    bool ended = false;
    std::string early; // body bytes that came before the head was handed over
};

TimePoint presentTime();

} // namespace guavapond
