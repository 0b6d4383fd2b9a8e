// An HTTP client that calls a node from the event loop of a test.
//
// Index
//   CallerAnswer
//   callNode
//   runLoopUntil
#pragma once

#include "edge/HttpClient.h"

namespace guavapond::edge {

struct CallerAnswer {
    unsigned status = 0; // 0: no head of an answer yet
    http::fields fields;
    std::string body;
    bool complete = false; // the whole answer arrived; false after the end: the connection failed before that
    bool ended = false;    // the answer is complete or the connection failed
};

// Sends one request. The returned answer is filled in while the loop runs. `line` is the method and the request target; each of `fields`
// ends with a line end. The connection is appended to `connections`.
inline std::shared_ptr<CallerAnswer> callNode(net::io_context& loop, const Address& node, const std::string& line,
    const std::string& fields, const std::string& body, std::vector<ConnectionPointer>& connections)
{
    auto answer = std::make_shared<CallerAnswer>();
    const auto connection = std::make_shared<ClientConnection>(loop, node, ConnectionSettings {});
    ResponseHooks events;
    events.head = [answer](const http::response_header<>& head) {
        answer->status = head.result_int();
        answer->fields = head;
        return HeadVerdict::Accept;
    };
    events.body = [answer](std::string_view bytes) { answer->body += bytes; };
    events.complete = [answer] { answer->complete = answer->ended = true; };
    events.failed = [answer](ConnectionFault, bool) { answer->ended = true; };
    connection->start(line + " HTTP/1.1\r\n" + fields + "\r\n", body, !line.starts_with("HEAD "), std::move(events));
    connections.push_back(connection);
    return answer;
}

// Runs the loop until the condition holds. False: it does not hold after `bound`.
inline bool runLoopUntil(net::io_context& loop, const std::function<bool()>& condition, Duration bound)
{
    const TimePoint end = bootTime() + bound;
    bool isMet = condition();
    while (!isMet && bootTime() < end) {
        loop.restart(); // a loop that has run out of work counts as stopped
        loop.run_for(std::chrono::milliseconds(1));
        isMet = condition();
    }
    return isMet;
}

} // namespace guavapond::edge
