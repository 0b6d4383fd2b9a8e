// HTTP/1.1 server towards callers and operators, with bounded memory for bad input: header bytes and count, body bytes, receive
// time-outs and the bytes that wait for a slow reader are all limited.
//
// Built on Boost.Beast, the nearest kin of the cpprestsdk listener, because that listener has no such limits: a trial showed it buffering
// an endless header block (300 MB) and the whole of a refused body (391 MB), and keeping slow senders without a time-out.
//
// Index
//   HttpServerSettings
//   HttpServer                 listens, reads requests, calls the handler
#pragma once

#include "core/Types.h"
#include "ports/Caller.h"

#include <functional>
#include <memory>

namespace guavapond {

struct HttpServerSettings {
    std::string address = "127.0.0.1";
    uint16_t port = 0; // 0: chosen by the kernel
    unsigned threads = 4;
    size_t maxHeaderBytes = 16 * 1024; // bytes
    size_t maxHeaders = 64;
    size_t maxBodyBytes = 8 * 1024 * 1024;    // bytes
    size_t maxPendingBytes = 4 * 1024 * 1024; // bytes not yet taken by a slow reader; above it the connection is closed
    size_t maxConnections = 4096;
    Duration receiveTimeout = std::chrono::seconds(20); // for a whole request, from its first byte
    Duration idleTimeout = std::chrono::seconds(60);    // between requests
    Duration writeTimeout = std::chrono::seconds(30);   // without progress of a reader
    std::string certificateFile;                        // PEM; empty: no TLS
    std::string keyFile;                                // PEM
};

// Makes the answer for input that never becomes a request (too large, malformed, slow).
using HttpFaultBody = std::function<std::string(const Failure&)>;

struct HttpServerState;

class HttpServer {
public:
    HttpServer(HttpServerSettings settings, HttpHandler handler, HttpFaultBody faultBody);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::optional<Failure> start(); // bad address, port in use, unreadable certificate
    uint16_t port() const;
    size_t answering() const; // requests whose answer is not wholly handed to the kernel yet
    void closeAfterAnswers(); // from now on each answer closes its connection, so that callers turn to another node
    void stopAccepting();     // keeps open connections; each is closed after its current answer
    void stop();

private:
    std::shared_ptr<HttpServerState> state;
};

} // namespace guavapond
