// HTTP listener of a stand-in on a loopback port chosen by the kernel.
//
// Index
//   LoopbackListener   port, routing to one handler, silencing of open connections
//   jsonReply          a response with a JSON body
//   sendJson           the same, with a task that ends when it is written
#pragma once

#include <cpprest/http_listener.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace guavapond::standins {

class LoopbackListener {
public:
    using Handler = std::function<void(web::http::http_request)>;

    LoopbackListener(uint16_t port, const Handler& handler); // 0: chosen by the kernel
    ~LoopbackListener();
    LoopbackListener(const LoopbackListener&) = delete;
    LoopbackListener& operator=(const LoopbackListener&) = delete;

    uint16_t port() const { return this->boundPort; }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(this->boundPort); }

    // Connections that are open now stay open and never carry another byte; connections opened later work.
    void silenceOpenConnections();
    void close();

private:
    void open(uint16_t port, const Handler& handler);

    uint16_t boundPort = 0;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener;
    std::mutex mutex;          // guards silenced
    std::vector<int> silenced; // descriptors that keep silenced connections open
};

void jsonReply(const web::http::http_request& request, int status, const nlohmann::json& body);

// Wait for the task before the listener closes: cpprestsdk closes a connection's socket while another thread still writes to it. The task
// doesn't throw.
pplx::task<void> sendJson(const web::http::http_request& request, int status, const nlohmann::json& body);

} // namespace guavapond::standins
