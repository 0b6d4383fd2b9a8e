// One HTTP request over cpprestsdk's client with its own deadlines, and the pool of clients that the target adapters share.
// Included by adapters only: it brings in cpprestsdk.
//
// Index
//   HttpClientSettings   connection settings
//   ClientPool           one client, and so one set of kept connections, for each target
//   DeadlineTimer        one thread that wakes exchanges
//   ExchangeRequest, ExchangeHooks, HttpExchange
#pragma once

#include "core/Types.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <thread>
#include <unordered_map>

namespace guavapond {

struct HttpClientSettings {
    std::string caFile;                         // PEM; empty: the system's authorities
    Duration maxIdle = std::chrono::seconds(2); // an unused client is replaced, so that no connection that the target closed is met
};

// Connections are kept by cpprestsdk inside each client object, so replacing the object drops them all.
class ClientPool {
public:
    using Client = std::shared_ptr<web::http::client::http_client>;

    explicit ClientPool(HttpClientSettings settings);

    Client get(const std::string& url, TimePoint now);
    Client fresh(const std::string& url) const;                 // a client that no other call uses
    void discard(const std::string& url, const Client& client); // after a timeout; later calls get new connections

private:
    struct Entry {
        Client client;
        TimePoint lastUse {};
    };

    const HttpClientSettings settings;
    std::mutex mutex; // guards clients
    std::unordered_map<std::string, Entry> clients;
};

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
    std::string path; // with query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType;
    std::string body;
    Duration connectTimeout {};   // until the body is asked for by an established connection
    Duration firstByteTimeout {}; // from the start until the first call of HttpExchange::onProgress
    Duration progressTimeout {};  // between two calls of HttpExchange::onProgress
    bool freshConnection = false;
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

// A request is written at most once: its body comes from a stream that can't be rewound, because cpprestsdk repeats a request whose
// kept connection the server closed if it can rewind the body. The body is also what proves "not sent": a body that was never asked
// for is withdrawn, and the target can't have received the request.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    static std::shared_ptr<HttpExchange> start(ClientPool& pool, DeadlineTimer& timer, ExchangeRequest request, ExchangeHooks hooks);
    ~HttpExchange();

    void cancel();     // from any thread, any number of times
    void onProgress(); // from onBytes: the part that the caller waits for has come; restarts the progress deadline

    // For DeadlineTimer: ends the exchange if a deadline has passed; otherwise the time to look again.
    std::optional<TimePoint> checkDeadlines(TimePoint now);

    class Body; // internal: request body
    class Sink; // internal: response body

private:
    HttpExchange(ClientPool& pool, ExchangeRequest request, ExchangeHooks hooks);
    void send(TimePoint now);
    void onHead(const web::http::http_response& response);
    void onBytes(std::string_view bytes);
    void onError(const std::exception& error);
    void end(std::unique_lock<std::mutex> lock, const std::optional<ExchangeFailure>& failure);
    bool withdraw(); // true: the body was never handed out, and never will be

    ClientPool& pool;
    ExchangeRequest request;
    ExchangeHooks hooks;
    ClientPool::Client client;
    pplx::cancellation_token_source cancellation;
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
