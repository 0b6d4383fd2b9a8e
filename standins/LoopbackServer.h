// Small HTTP/1.1 server on 127.0.0.1 for stand-ins and tests: one thread for each connection, handlers may block. It ends cleanly at any
// time; cpprestsdk's listener crashes now and then when it is closed while a connection is being finished.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace guavapond::standin {

struct HttpCall {
    std::string method;
    std::string path;                           // decoded
    std::map<std::string, std::string> query;   // decoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct HttpAnswer {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::vector<std::string> chunks; // if any: a chunked body instead of `body`
    bool cut = false;                // the connection is closed without an answer
};

class LoopbackServer {
public:
    using Handler = std::function<HttpAnswer(const HttpCall& call)>;

    // Port 0: chosen by the kernel. Throws std::exception if the port can't be bound. The handler is called from many threads.
    LoopbackServer(uint16_t port, Handler handler);
    ~LoopbackServer(); // closes all connections and waits for the handlers, which have to return by themselves
    LoopbackServer(const LoopbackServer&) = delete;
    LoopbackServer& operator=(const LoopbackServer&) = delete;

    uint16_t port() const;
    std::string url() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace guavapond::standin
