// Outgoing HTTP/1.1 connections. The caller sees whether a byte of its request was handed to the kernel, and which bytes belong to
// which answer; nothing is ever sent again by itself.
//
// Index
//   ConnectionFault    why a request on a connection failed
//   HeadVerdict        what to do with the head of an answer
//   ResponseHooks       hooks of one request
//   ClientConnection   one connection, one request at a time
//   ConnectionPool     idle connections by address
#pragma once

#include "edge/TargetPool.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace guavapond::edge {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

// Time since boot. Unlike the steady clock it also counts while the machine is suspended, so that nothing that is dated with it looks
// younger than it is.
TimePoint bootTime();

enum class ConnectionFault : uint8_t {
    Unreachable, // no connection within the bound
    Closed,      // by the other side, or lost
    Malformed,   // bytes that are no answer
    Cancelled,   // beforeSend said no
};
std::string_view connectionFaultName(ConnectionFault fault); // lower_snake_case

enum class HeadVerdict : uint8_t {
    Accept,
    Skip,   // an answer to an earlier request; the right one may follow
    Reject, // close the connection
};

struct ResponseHooks {
    std::function<bool()> beforeSend; // last check before the point of no return
    std::function<HeadVerdict(const http::response_header<>&)> head;
    std::function<void(std::string_view)> body; // as the bytes come
    std::function<void()> complete;
    std::function<void(ConnectionFault, bool anyByteSent)> failed;
};

struct ConnectionSettings {
    Duration connectTimeout = std::chrono::milliseconds(300);         // a path within a region takes a few milliseconds
    Duration unacknowledgedTimeout = std::chrono::milliseconds(1500); // sent data without an acknowledgement: the connection is dead
    size_t maxSkippedBytes = 1 << 20;                                 // bytes of answers to earlier requests; more are no answers
    size_t maxInformationalResponses = 16;                            // answers below 200 before the last one
    size_t maxUnparsedBytes = 128 * 1024;                             // bytes of a head, or of the lines between chunks
    Duration keepAliveProbeInterval = std::chrono::seconds(1);        // between probes while nothing is sent
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(net::io_context& loop, const Address& address, const ConnectionSettings& settings);

    // Connects first where it is not connected yet. `expectsBody` is false for an answer to HEAD.
    void start(std::string head, std::string body, bool expectsBody, ResponseHooks events);
    void close(); // no event comes after it
    void pauseReading();
    void resumeReading();

    bool isOpen() const { return this->open; }
    bool isReusable() const { return this->open && this->reusable && !this->busy; }
    bool hasServed() const { return this->served; } // an answer was received on it
    const Address& address() const { return this->remote; }
    Duration idleLimit() const { return this->serverIdleLimit; } // how long the other side keeps it idle, less a margin

private:
    void connect();
    void send();
    void read();
    void onBytes();
    bool parse(); // false: nothing further can be parsed now
    void finishResponse();
    void fail(ConnectionFault fault);
    void resetParser();

    net::io_context& loop;
    tcp::socket socket;
    net::steady_timer timer;
    Address remote;
    ConnectionSettings settings;
    boost::beast::flat_buffer input;
    std::optional<http::response_parser<http::string_body>> parser;
    std::shared_ptr<const ResponseHooks> events; // shared, so that a hook may close the connection that calls it
    std::string head;
    std::string body;
    Duration serverIdleLimit = std::chrono::seconds(3);
    bool open = true; // false after close
    bool connected = false;
    bool reading = false;
    bool paused = false;
    bool busy = false;                 // a request is under way
    bool anyByteSent = false;          // of the current request
    bool headSeen = false;             // of the answer that is being parsed
    bool skipping = false;             // it belongs to an earlier request
    size_t skippedBytes = 0;           // bytes, since the request began
    size_t informationalResponses = 0; // answers below 200 to the current request
    bool expectsBody = true;
    bool reusable = true;
    bool served = false;
};

using ConnectionPointer = std::shared_ptr<ClientConnection>;

class ConnectionPool {
public:
    ConnectionPool(net::io_context& loop, const ConnectionSettings& settings);

    // An idle connection that was used within `maxIdle`, else a new one.
    ConnectionPointer acquire(const Address& address, Duration maxIdle, TimePoint now);
    void release(const ConnectionPointer& connection, TimePoint now); // keeps it if it can be used again
    void drop(const Address& address);                                // closes the idle connections
    void expire(TimePoint now);
    uint64_t opened() const { return this->openedCount; }

private:
    struct Idle {
        ConnectionPointer connection;
        TimePoint since;
    };
    net::io_context& loop;
    ConnectionSettings settings;
    std::map<std::pair<std::string, uint16_t>, std::vector<Idle>> idle; // the last used at the back
    uint64_t openedCount = 0;
};

void tuneSocket(tcp::socket& socket, const ConnectionSettings& settings); // no delay, and bounds for silent connections

} // namespace guavapond::edge
