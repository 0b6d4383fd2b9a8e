// An HTTP client that calls a node from the event loop of a test.
//
// Index
//   CallerAnswer
//   callNode
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

} // namespace guavapond::edge
