// Incoming HTTP/1.1 connections. Each connection keeps reading while its request is being answered, so that a caller that leaves is
// noticed at once, and every bound of the operators on what a caller may send is kept.
//
// Index
//   CallerRequest      one whole request
//   CallerConnection   answer, beginStream, sendPiece, endStream, cutOff
//   HttpListener       accepts connections
#pragma once

#include "edge/HttpClient.h"

#include <set>

namespace guavapond::edge {

struct CallerRequest {
    http::request<http::string_body> message; // the body is whole
    TimePoint arrivedAt {};                   // when its head was complete
};

struct ListenerSettings {
    Address address;
    size_t maxConnections = 4000;                     // further ones wait in the kernel's queue
    Duration writeTimeout = std::chrono::seconds(10); // a caller that does not read its answer is cut off
};

struct LocalResponse {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    http::fields fields; // further header fields
};

class HttpListener;

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(tcp::socket socket, HttpListener& listener);

    void start();
    // Exactly one of these per request. Header fields that concern the connection are set here.
    void sendResponse(http::response<http::string_body> message);
    void beginStream(http::response_header<> head); // then pieces, then endStream or cutOff
    void sendPiece(std::string_view piece);
    void endStream();
    void abortResponse(); // the answer can't be finished: closes without completing it

    void onDisconnect(std::function<void()> hook) { this->gone = std::move(hook); } // the caller left before its answer was whole
    void onDrained(std::function<void()> hook) { this->drained = std::move(hook); }
    size_t unsentBytes() const { return this->output.size() + this->writing.size(); }
    bool isIdle() const { return this->open && !this->handling && !this->receiving && this->unsentBytes() == 0; }
    void close();

private:
    enum class TimerUse : uint8_t {
        Idle,
        Head,
        Body,
        Write,
    };
    void read();
    void parse();
    void onRequestComplete();
    void refuse(http::status status, std::string_view reason); // of bytes that are no acceptable request
    void finish();
    void write();
    void arm(TimerUse use, Duration bound);
    void setConnectionFields(http::fields& fields);

    tcp::socket socket;
    HttpListener& listener;
    net::steady_timer timer;
    boost::beast::flat_buffer input;
    std::optional<http::request_parser<http::string_body>> parser;
    std::function<void()> gone;
    std::function<void()> drained;
    std::string output;           // waits for the write under way
    std::string writing;          // handed to the socket
    uint64_t timerGeneration = 0; // an earlier round's expiry is void
    unsigned version = 11;
    bool open = true;
    bool reading = false;
    bool receiving = false; // a request has begun to arrive
    bool headDone = false;
    bool handling = false; // a request is being answered
    bool keepAlive = true;
    bool closing = false;
    bool chunked = false; // framing of the stream
    bool isWriting = false;
    bool closeAfterWrite = false;
    bool isHeadRequest = false; // an answer to HEAD has no body
};

using CallerPointer = std::shared_ptr<CallerConnection>;

class HttpListener {
public:
    using Handler = std::function<void(const CallerPointer&, CallerRequest)>;

    HttpListener(net::io_context& loop, const ListenerSettings& settings, Handler handler, std::function<CallerLimits()> limits);

    void listen();           // throws boost::system::system_error if the address can't be used
    void disableKeepAlive(); // answers end their connections from now on
    void closeIdle();
    void shutDown(); // accepts no further connection
    size_t connections() const { return this->open.size(); }
    uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    friend class CallerConnection;
    void accept();

    net::io_context& loop;
    ListenerSettings settings;
    Handler handler;
    std::function<CallerLimits()> limits;
    tcp::acceptor acceptor;
    net::steady_timer retry;
    std::set<CallerPointer> open;
    bool keepAliveEnabled = true;
    bool accepting = false;
};

LocalResponse makeErrorResponse(unsigned status, std::string_view reason); // the reason as JSON
http::response<http::string_body> makeResponse(const LocalResponse& answer);

} // namespace guavapond::edge
