// Forwarding between nodes.
#include "node/Forwarding.h"

#include "node/QueueReply.h"
#include "node/Replies.h"

namespace guavapond {

namespace {

constexpr std::string_view forwardedHeader = "Guavapond-Forwarded";
constexpr Duration poll = std::chrono::seconds(1); // between two looks whether the other node still waits

// Counts a request while it is under way.
class Count {
public:
    explicit Count(std::atomic<size_t>& counter)
        : value(counter)
    {
        ++this->value;
    }
    Count(const Count&) = delete;
    Count& operator=(const Count&) = delete;
    ~Count() { --this->value; }

private:
    std::atomic<size_t>& value;
};

// Passes the pieces of an owner's answer on. False: the caller is gone.
bool passOn(HttpReply& reply, const ForwardedChunk& chunk, bool& started)
{
    // Empty pieces come while the request waits at its owner; the first one with a status carries the head.
    if (!started && chunk.status == 0)
        return !reply.isGone();
    if (!started && chunk.last) {
        started = true;
        reply.send(chunk.status, chunk.headers, chunk.data);
        return true;
    }
    if (!started)
        reply.start(chunk.status, chunk.headers);
    started = true;
    reply.write(chunk.data);
    if (chunk.last)
        reply.finish();
    return !reply.isGone();
}

} // namespace

Forwarding::Forwarding(size_t most, ForwardingPorts p)
    : mostAtATime(most)
    , ports(std::move(p))
{
}

bool Forwarding::isForwarded(const HttpRequest& request) { return request.header(forwardedHeader).has_value(); }

void Forwarding::resolveLost(const Ticket& ticket, const std::shared_ptr<HttpReply>& reply)
{
    this->ports.background([this, ticket, reply] { sendFailure(*reply, this->ports.resolve(ticket), ticketText(ticket)); });
}

void Forwarding::send(const HttpRequest& request, const Ticket& ticket, const std::shared_ptr<HttpReply>& reply)
{
    auto text = ticketText(ticket);
    auto address = this->ports.peerAddress(ticket.owner.node);
    if (!address)
        return this->resolveLost(ticket, reply);
    auto count = std::make_shared<Count>(this->sent);
    if (this->sent > this->mostAtATime) {
        // The owner was not asked, so nothing is known of an earlier call under this ticket.
        return sendFailure(
            *reply, { FailureKind::OwnerUnreachable, Disposition::Unknown, "too many requests for other nodes", callerRetryAfter }, text);
    }
    ForwardedRequest message { request.method, request.target, request.headers, request.body };
    message.headers.emplace_back(forwardedHeader, "1");
    this->ports.background([this, message = std::move(message), address = *address, ticket, text, reply, count] {
        bool started = false;
        auto failure
            = this->ports.peer.forward(address, message, [&](const ForwardedChunk& chunk) { return passOn(*reply, chunk, started); });
        if (failure && !started)
            sendFailure(*reply, this->ports.resolve(ticket), text);
        else if (failure)
            endWithErrorEvent(*reply, *failure, text);
    });
}

void Forwarding::answer(const ForwardedRequest& message, const std::function<bool(const ForwardedChunk&)>& onChunk)
{
    // Counted until the other node has taken the last piece, which may be after the request itself has ended here.
    const Count count(this->answered);
    HttpRequest request { message.method, message.path, message.headers, message.body, {} };
    auto reply = std::make_shared<QueueReply>();
    this->ports.serve(request, reply);
    while (true) {
        auto chunk = reply->take(poll);
        if (!chunk && reply->isAborted())
            return;
        // An empty piece at each poll finds out whether the other node still waits.
        bool wanted = onChunk(chunk.value_or(ForwardedChunk {}));
        if (chunk && chunk->last)
            return;
        if (!wanted) {
            reply->markGone();
            return;
        }
    }
}

} // namespace guavapond
