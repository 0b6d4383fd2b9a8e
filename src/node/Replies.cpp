// Answers and failures to callers.
#include "node/Replies.h"

namespace guavapond {

std::vector<HttpHeader> answerHeaders(std::string_view ticket, std::string_view contentType)
{
    std::vector<HttpHeader> headers { { "Content-Type", std::string(contentType) } };
    if (!ticket.empty())
        headers.emplace_back(ticketHeader, ticket);
    return headers;
}

void sendFailure(HttpReply& reply, const Failure& failure, std::string_view ticket)
{
    auto headers = answerHeaders(ticket, jsonType);
    if (failure.retryAfter > Duration::zero()) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retryAfter).count();
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    reply.send(failureStatus(failure.kind), headers, errorBody(failure, ticket));
}

void endWithErrorEvent(HttpReply& reply, const Failure& failure, std::string_view ticket)
{
    reply.write("event: error\ndata: " + errorBody(failure, ticket) + "\n\n");
    reply.finish();
}

} // namespace guavapond
