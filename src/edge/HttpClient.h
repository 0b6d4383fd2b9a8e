// Client side of HTTP/1.1 with a pool of keep-alive connections. A failed request reports whether any of its bytes were handed to the
// kernel, so that the caller can decide whether it is safe to retry; this part never retries. The caller also matches each response head
// to its request (HeadVerdict), since a reused connection may still deliver a response to an earlier request. A late copy of a response
// bears the id of its request, so that it can be told from the response that is due only if no connection carries an id twice.
//
// Index
//   RequestTag         identifies a request to the connections that carry it
//   ConnectionFault    why a request failed
//   ExceptionHook      told of an exception that ended one connection
//   HeadVerdict        what to do with a received response head
//   ResponseHooks      callbacks of one request
//   ConnectionSettings timeouts and limits
//   ClientConnection   one connection; carries one request at a time
//   ConnectionPool     idle keep-alive connections by address
//   bootTime, connectionFaultName, tuneSocket
#pragma once

#include "edge/ReceiveBuffer.h"
#include "edge/ReceivedBody.h"
#include "edge/TransmitWatch.h"
#include "scheduling/TargetPool.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace guavapond::edge {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

// Time since boot. Unlike the steady clock, it also advances while the machine is suspended, so the age of a timestamp is never
// underestimated.
TimePoint bootTime();

// Hash of a request's id. Requests whose responses name no id (those to the store and to peers) have none.
enum class RequestTag : uint64_t {};
RequestTag requestTag(std::string_view requestId);

enum class ConnectionFault : uint8_t {
    Unreachable, // no connection was established within connectTimeout
    Closed,      // the connection was closed by the server or lost
    Malformed,   // the received bytes are not a valid response
    Cancelled,   // beforeSend returned false; nothing was sent
    TooLarge,    // the body of the response is longer than maxBodyBytes
    Internal,    // this process threw an exception while it handled the request or its response
};
std::string_view connectionFaultName(ConnectionFault fault); // in lower_snake_case

// Called with the part of the program and the exception that ended a connection. An exception in the handler of one connection ends that
// connection only, whatever the peer has sent.
using ExceptionHook = std::function<void(std::string_view part, const std::exception& error)>;

enum class HeadVerdict : uint8_t {
    Accept, // the response belongs to the current request
    Skip,   // it belongs to an earlier request: discard it and wait for the next response
    Reject, // close the connection and report Malformed
};

struct ResponseHooks {
    std::function<bool()> beforeSend; // called just before the first byte is sent; false cancels the request; may be empty
    std::function<HeadVerdict(const http::response_header<>&)> head;
    std::function<void(std::string_view)> body;                    // each part of the body as it is received
    std::function<void()> complete;                                // the whole response was received
    std::function<void(ConnectionFault, bool anyByteSent)> failed; // anyByteSent: the server may have received part of the request
};

struct ConnectionSettings {
    Duration connectTimeout = std::chrono::milliseconds(300);         // connecting within a region takes a few milliseconds
    Duration unacknowledgedTimeout = std::chrono::milliseconds(1500); // the peer has acknowledged nothing: it counts as gone
    size_t maxSkippedBytes = 1 << 20;                                 // of skipped responses per request; more are reported as Malformed
    size_t maxInformationalResponses = 16;                            // 1xx responses before the final response
    size_t maxUnparsedBytes = 128 * 1024;                             // of a response head or chunk header that is not yet complete
    Duration keepAliveProbeInterval = std::chrono::seconds(1);        // between TCP keep-alive probes on a silent connection
    std::optional<uint64_t> maxBodyBytes; // of a response; empty: no limit, for bodies that are passed on in pieces
    ExceptionHook exceptionContained;     // may be empty
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    // `number` names the connection in logs.
    ClientConnection(net::io_context& loop, const Address& address, const ConnectionSettings& settings, uint64_t number = 0);

    // Takes the connection for one request. False: it has carried a request with this tag, whose late answer could not be told from the
    // one that is due.
    bool reserve(std::optional<RequestTag> tag);
    // Sends the request that the connection is reserved for, after connecting if necessary. `expectsBody` is false for a HEAD request,
    // whose response has no body.
    void start(std::string head, std::shared_ptr<const std::string> body, bool expectsBody, ResponseHooks events);
    void start(std::string requestHead, std::string requestBody, bool withBody, ResponseHooks hooks)
    {
        this->start(std::move(requestHead), std::make_shared<const std::string>(std::move(requestBody)), withBody, std::move(hooks));
    }
    void close(); // no callback is called afterwards
    void pauseReading();
    void resumeReading();

    bool isOpen() const { return this->open; }
    bool isReusable() const { return this->open && this->reusable && !this->busy && this->carried.size() < maxTaggedRequests; }
    bool isPeerSlow() const { return this->transmitWatch.isPeerSlow(); } // it keeps its window closed, and takes the request in slowly
    // When the server last took bytes of a request that is too large for its buffers; empty: not seen.
    std::optional<TimePoint> lastTakenAt() const { return this->transmitWatch.lastTakenAt(); }
    bool isQuiet(); // idle, and nothing has arrived that is not read yet: neither bytes nor the end of the connection
    bool hasServed() const { return this->served; } // at least one response was received on this connection
    const Address& address() const { return this->remote; }
    uint64_t number() const { return this->ownNumber; }
    uint64_t requests() const { return this->requestCount; }     // started on this connection
    Duration idleLimit() const { return this->serverIdleLimit; } // how long the server keeps the connection open while idle, less a margin

private:
    static constexpr size_t maxTaggedRequests = 256; // bounds the memory of a connection for their tags

    void connect();
    void onConnected(boost::system::error_code error);
    void send();
    void read();
    void waitForBytes();
    void onRead(boost::system::error_code error);
    bool hasEndedInOrder(); // the server has received the whole request, then closed its side; valid when a read has met the end
    void onBytes();
    bool parse();               // false: needs more input, or the request has ended
    bool isBodyTooLong() const; // that of the current response, received or announced
    void finishResponse();
    void fail(ConnectionFault fault);
    template <typename Step> void contain(const Step& step); // runs a handler; an exception fails the request and closes the connection
    void resetParser();

    net::io_context& loop;
    tcp::socket socket;
    net::steady_timer timer;
    TransmitWatch transmitWatch;
    Address remote;
    ConnectionSettings settings;
    const uint64_t ownNumber;
    uint64_t requestCount = 0;
    std::vector<RequestTag> carried; // of all requests since the connection was opened; each only once
    bool reserved = true;            // for the next start(); a new connection is
    ReceiveBuffer input;
    std::optional<http::response_parser<ReceivedBody>> parser;
    std::shared_ptr<const ResponseHooks> events; // shared, so that a callback may close the connection that calls it
    std::string head;
    std::shared_ptr<const std::string> body; // shared with the owner of the request, which may send it again
    Duration serverIdleLimit = std::chrono::seconds(3);
    bool open = true; // until close(); true also before the connection is established
    bool connected = false;
    bool paused = false;
    bool isWaiting = false;            // for bytes, between requests; the wait may last into the next request
    bool busy = false;                 // a request is in progress
    bool anyByteSent = false;          // of the current request, to the kernel
    bool sending = false;              // the current request is not with the kernel as a whole: not yet, or never, since a write failed
    bool headSeen = false;             // the head of the current response was parsed
    bool skipping = false;             // the current response belongs to an earlier request
    size_t headBytes = 0;              // of the head of the current response
    uint64_t bodyBytes = 0;            // of the body of the current response
    size_t skippedBytes = 0;           // since the current request started
    size_t informationalResponses = 0; // 1xx responses to the current request
    bool expectsBody = true;
    bool reusable = true; // false: the connection can't carry another request
    bool served = false;  // see hasServed
};

using ConnectionPointer = std::shared_ptr<ClientConnection>;

class ConnectionPool {
public:
    ConnectionPool(net::io_context& loop, const ConnectionSettings& settings);

    // Returns a connection that is reserved for the request: an idle one that was released at most `maxIdle` ago and has not carried its
    // tag, or a new one if there is none.
    ConnectionPointer acquire(const Address& address, std::optional<RequestTag> tag, Duration maxIdle, TimePoint now);
    // Returns a new connection. A HEAD request needs one: where its response ends differs from that of late ones to other requests.
    ConnectionPointer create(const Address& address, std::optional<RequestTag> tag);
    void release(const ConnectionPointer& connection, TimePoint now); // keeps the connection if it is reusable
    void drop(const Address& address);                                // closes the idle connections to this address
    void expire(TimePoint now);                                       // closes connections that were idle for longer than their idleLimit
    uint64_t opened() const { return this->openedCount; }             // connections created since the start

private:
    struct Idle {
        ConnectionPointer connection;
        TimePoint since; // when the connection was released
    };
    net::io_context& loop;
    ConnectionSettings settings;
    std::map<std::pair<std::string, uint16_t>, std::vector<Idle>> idle; // by IP and port; the most recently released connection is last
    uint64_t openedCount = 0;
};

// Sets TCP_NODELAY, keep-alive probes and the timeout for unacknowledged data. TransmitWatch lifts that timeout for a peer that reads
// slowly.
void tuneSocket(tcp::socket& socket, const ConnectionSettings& settings);

} // namespace guavapond::edge
