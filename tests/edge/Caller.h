// A caller of a node, on the test's own event loop.
//
// Index
//   CallerAnswer
//   callNode
#pragma once

#include "edge/HttpClient.h"

namespace guavapond::edge {

struct CallerAnswer {
    unsigned status = 0;
    http::fields fields;
    std::string body;
    bool whole = false; // false: the connection ended before the answer did
    bool ended = false;
};

// Sends one request; the answer fills as it comes. `line` is method and target, `fields` has a line end after each field.
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
    events.complete = [answer] { answer->whole = answer->ended = true; };
    events.failed = [answer](ConnectionFault, bool) { answer->ended = true; };
    connection->start(line + " HTTP/1.1\r\n" + fields + "\r\n", body, !line.starts_with("HEAD "), std::move(events));
    connections.push_back(connection);
    return answer;
}

} // namespace guavapond::edge
