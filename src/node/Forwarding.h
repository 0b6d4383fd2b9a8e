// Requests whose ticket belongs to another node: passed on to it, or answered here for another node.
//
// Index
//   ForwardingPorts
//   Forwarding    send, answer, resolveLost
#pragma once

#include "core/Ticket.h"
#include "ports/Caller.h"
#include "ports/Peer.h"

#include <atomic>

namespace guavapond {

struct ForwardingPorts {
    Peer peer;
    std::function<void(std::function<void()>)> background;                        // runs a task that may block
    std::function<std::optional<std::string>(std::string_view node)> peerAddress; // of another node; none: not known
    std::function<Failure(const Ticket&)> resolve; // what became of a ticket whose owner is gone; may take seconds
    std::function<void(const HttpRequest&, const std::shared_ptr<HttpReply>&)> serve; // by this node
};

class Forwarding {
public:
    Forwarding(size_t mostAtATime, ForwardingPorts ports);

    static bool isForwarded(const HttpRequest& request);
    void send(const HttpRequest& request, const Ticket& ticket, const std::shared_ptr<HttpReply>& reply);    // to the ticket's owner
    void answer(const ForwardedRequest& message, const std::function<bool(const ForwardedChunk&)>& onChunk); // for another node
    void resolveLost(const Ticket& ticket, const std::shared_ptr<HttpReply>& reply); // answers with what became of it
    size_t active() const { return this->sent + this->answered; }

private:
    size_t mostAtATime;
    ForwardingPorts ports;
    std::atomic<size_t> sent { 0 };     // requests passed on to other nodes
    std::atomic<size_t> answered { 0 }; // requests of other nodes that are answered here
};

} // namespace guavapond
