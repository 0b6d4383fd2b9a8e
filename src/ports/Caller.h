// Port to callers and operators: one HTTP request, and the way its answer is written.
//
// Index
//   HttpHeader, HttpRequest    what the caller sent
//   HttpReply                  how the answer goes back
//   HttpHandler                what the server calls for each request
#pragma once

#include "core/Types.h"

#include <functional>
#include <memory>

namespace guavapond {

using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest {
    std::string method;
    std::string target; // path with query
    std::vector<HttpHeader> headers;
    std::string body;
    std::string remoteAddress;

    std::string_view path() const // without the query
    {
        std::string_view whole = this->target;
        return whole.substr(0, whole.find('?'));
    }

    std::optional<std::string_view> header(std::string_view name) const // names compare without regard to case
    {
        auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
        for (const auto& [key, value] : this->headers) {
            bool same = key.size() == name.size();
            for (size_t i = 0; same && i < name.size(); ++i)
                same = lower(key[i]) == lower(name[i]);
            if (same)
                return value;
        }
        return std::nullopt;
    }
};

// Writes one answer. All members may be called from any thread, in the order start, write any number of times, finish.
class HttpReply {
public:
    HttpReply() = default;
    HttpReply(const HttpReply&) = delete;
    HttpReply& operator=(const HttpReply&) = delete;
    virtual ~HttpReply() = default;

    virtual void send(int status, std::span<const HttpHeader> headers, std::string body) = 0; // whole answer
    virtual void start(int status, std::span<const HttpHeader> headers) = 0;                  // chunked answer
    virtual void write(std::string_view data) = 0;
    virtual void finish() = 0;
    virtual void abort() = 0;                                // closes the connection, so that a cut answer can't pass as whole
    virtual bool isGone() const = 0;                         // the caller closed the connection
    virtual void onGone(std::function<void()> callback) = 0; // at most once, on any thread
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

} // namespace guavapond
