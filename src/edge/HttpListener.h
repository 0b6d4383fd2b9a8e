// HTTP/1.1 server. Each connection keeps reading while its request is being handled, so that a disconnect of the caller is noticed at
// once. The operators' limits on header size, body size and receive times (CallerLimits) are enforced.
//
// Index
//   CallerRequest      one fully received request
//   ListenerSettings   address, connection limit, write timeout
//   LocalResponse      response that this node generates itself
//   CallerConnection   sendResponse, beginStream, sendPiece, endStream, abortResponse
//   HttpListener       accepts connections
//   makeErrorResponse, makeResponse
#pragma once

#include "edge/HttpClient.h"

#include <set>

namespace guavapond::edge {

struct CallerRequest {
    http::request<http::string_body> message; // with the complete body
    TimePoint arrivedAt {};                   // when the complete body was received
    uint64_t connection = 0;                  // number of the caller's connection at its listener, from 1
    uint64_t position = 0;                    // of the request on its connection, from 1
    bool isPipelined = false;                 // its first byte was received before the answer to the request before it was complete
};

struct ListenerSettings {
    Address address;
    size_t maxConnections = 4000; // further connections wait in the kernel's accept queue
    // For a caller to read the end of its answer, where the deadline of its request is over sooner.
    Duration writeTimeout = std::chrono::seconds(10);
    size_t maxReceivedBytes = 32 << 20; // of requests, of all connections together
    // Of answers that callers have not read, of all connections together. Above it, the answers of those that read slowest are broken off.
    size_t maxUnsentBytes = 32 << 20;
    ExceptionHook exceptionContained {};                 // may be empty
    std::function<void(size_t bytes)> answerDropped {};  // broken off for memory, with this much unread; may be empty
    std::function<void(http::status)> requestRefused {}; // the listener itself has refused bytes that are no whole request; may be empty
};

struct LocalResponse {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    http::fields fields; // additional header fields
};

class HttpListener;

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(tcp::socket socket, HttpListener& listener, uint64_t number);

    void start();
    // Each request is completed by exactly one of: sendResponse; or beginStream, any number of sendPiece, then endStream; abortResponse
    // may end it at any time. These functions set the header fields Connection, Content-Length and Transfer-Encoding.
    void sendResponse(http::response<http::string_body> message);
    void beginStream(http::response_header<> head); // starts a response whose length is not known yet
    void sendPiece(std::string_view piece);
    void endStream();
    void abortResponse(); // closes the connection so that the caller sees an incomplete response

    void onDisconnect(std::function<void()> hook) { this->disconnectHook = std::move(hook); } // called if the caller leaves before the end
    void onDrained(std::function<void()> hook) { this->drainedHook = std::move(hook); }       // called when all pending output was written
    size_t unsentBytes() const { return this->output.size() + this->writing.size(); }
    bool isBehind() const;      // it holds as much as the caller's share of the memory allows: the source of the answer should pause
    bool isMemoryShort() const; // of all unread answers together: no source should read ahead of its caller
    bool isPeerSlow() const { return this->transmitWatch.isPeerSlow(); } // it keeps its window closed, and reads its answer slowly
    void setDeadline(TimePoint value) { this->deadline = value; }        // of the current request: its caller may read until then
    // Order in which answers are dropped: callers that have taken nothing for a while, the longest first; then the oldest answers.
    bool isSlowerThan(const CallerConnection& other, TimePoint now) const;
    void dropAnswer(); // for memory: the caller sees that it is incomplete
    // No request is in progress or on its way: nothing of one was received, a new connection has had time to send its first, and the
    // caller has received all of the last answer.
    bool isIdle(TimePoint now);
    bool isReceiving() const { return this->open && this->receiving; } // a part of a request
    TimePoint lastReceivedAt() const { return this->receivedAt; }      // the newest bytes
    void refuseForMemory();                                            // the request being received
    void close();

private:
    enum class TimerUse : uint8_t {
        Idle,
        Head,
        Body,
        Write,
        Linger,
    };
    template <typename Step> void contain(const Step& step); // runs a handler; an exception closes the connection
    void read();
    void onRead(boost::system::error_code error);
    void parse();
    void skipBlankLines();        // before a request
    bool mayBeginRequest() const; // the one before it was answered, and its answer is not much behind
    void countReceivedBytes();
    void countUnsentBytes();
    void resume(); // with the bytes that were received while a request was handled
    void onRequestComplete();
    void closeIncomplete();                                    // so that the caller sees that its answer is not whole
    void refuse(http::status status, std::string_view reason); // answers an invalid request with an error and closes the connection
    void finish();
    void write();
    void closeWhenRead(); // once the caller has received all output
    void onWritten(boost::system::error_code error);
    void arm(TimerUse use, Duration bound);
    void onExpired(TimerUse use);
    bool hasUnread(); // the caller has not received all that was sent
    void setConnectionFields(http::fields& fields);

    tcp::socket socket;
    HttpListener& listener;
    net::steady_timer timer;
    TransmitWatch transmitWatch;
    ReceiveBuffer input;
    std::optional<http::request_parser<ReceivedBody>> parser;
    std::optional<http::request_header<>> chunkedHead; // of the request being received: the parser adds fields of a trailer to its own
    std::function<void()> disconnectHook;
    std::function<void()> drainedHook;
    size_t handledBytes = 0;      // body of the request being handled
    size_t countedBytes = 0;      // part of HttpListener::receivedBytes
    TimePoint receivedAt {};      // of the newest bytes
    size_t countedUnsent = 0;     // part of HttpListener::unsentBytes
    TimePoint queuedAt {};        // when bytes were first queued after all had been written
    TimePoint writtenAt {};       // when the kernel last took bytes, or queuedAt if that is later
    std::string output;           // queued until the current write ends
    std::string writing;          // buffer of the current write
    uint64_t timerGeneration = 0; // incremented when the timer is set or cancelled; an expiry of an older generation is ignored
    unsigned version = 11;        // HTTP version of the current request; 11 is 1.1
    bool open = true;
    bool receiving = false; // part of a request was received
    bool headDone = false;  // the head of the request being received was parsed
    bool handling = false;  // a request was received and its response is not complete
    bool keepAlive = true;  // the caller accepts keep-alive for the current request
    bool closing = false;   // the connection closes after the current response, whatever the caller accepts
    bool chunked = false;   // the current stream uses chunked transfer encoding
    bool isWriting = false;
    bool closeAfterWrite = false;
    bool isLingering = false; // all output is with the kernel; the connection is open until the caller closes it too
    bool hasAnswered = false; // at least one request
    TimePoint openedAt {};
    TimePoint deadline {};      // of the newest request that has one
    TimePoint readBy {};        // until then a caller may read the end of its last answer
    bool isHeadRequest = false; // a response to HEAD has no body
    const uint64_t number;      // of this connection at its listener, from 1
    uint64_t requests = 0;      // received as a whole on this connection
    bool isPipelined = false;   // see CallerRequest, of the request being received
};

using CallerPointer = std::shared_ptr<CallerConnection>;

class HttpListener {
public:
    using Handler = std::function<void(const CallerPointer&, CallerRequest)>;

    HttpListener(net::io_context& loop, const ListenerSettings& settings, Handler handler, std::function<CallerLimits()> limits);

    void listen();                 // throws boost::system::system_error if the address can't be used
    void disableKeepAlive();       // each connection is closed after its next response
    void closeIdle(TimePoint now); // closes connections that are idle, see CallerConnection::isIdle
    void closeAll();
    void stopAccepting(); // takes the connections that the kernel has accepted already, then no more; open connections stay
    void shutDown();      // stops accepting at once; open connections stay
    // After stopAccepting(): one more connection may have been taken from the kernel that is not yet in connections().
    bool mayAddConnection() const { return this->acceptPending; }
    size_t connections() const { return this->openConnections.size(); }
    size_t unsent() const { return this->unsentBytes; } // bytes of answers that callers have not read
    size_t slowCallers() const;                         // see CallerConnection::isPeerSlow
    uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    friend class CallerConnection;
    bool isFull() const { return this->receivedBytes > this->settings.maxReceivedBytes; }
    void limitReceivedBytes(); // refuses the requests whose bytes have stopped coming longest ago
    void limitUnsentBytes();   // drops the answers of callers that have taken nothing for longest
    bool isMemoryShort() const { return this->unsentBytes > this->settings.maxUnsentBytes / 2; } // leaves room for sound callers
    size_t unsentAllowance() const; // bytes of one connection; less as the memory fills
    void accept();
    void add(tcp::socket socket);

    net::io_context& loop;
    ListenerSettings settings;
    Handler handler;
    std::function<CallerLimits()> limits;
    tcp::acceptor acceptor;
    net::steady_timer retry; // delays the next accept after an error or at maxConnections
    std::set<CallerPointer> openConnections;
    size_t receivedBytes = 0; // that the connections hold: not yet parsed, and bodies until their answers are complete
    size_t unsentBytes = 0;   // of answers, that callers have not read
    bool isLimiting = false;  // limitUnsentBytes will run
    uint64_t accepted = 0;    // connections since the start
    bool keepAliveEnabled = true;
    bool accepting = false;
    bool acceptPending = false; // an accept has begun and its handler has not run
};

LocalResponse makeErrorResponse(unsigned status, std::string_view reason); // body: {"error": reason}
http::response<http::string_body> makeResponse(const LocalResponse& answer);

} // namespace guavapond::edge
