// The Peer port over gRPC: calls to other nodes, and the server that answers theirs.
//
// Index
//   GrpcPeerSettings
//   makeGrpcPeer        outgoing calls; one channel for each address, kept open
//   GrpcPeerServer      incoming calls
#pragma once

#include "ports/Peer.h"

#include <memory>

namespace guavapond {

struct GrpcPeerSettings {
    Duration callTimeout = std::chrono::seconds(2);         // outcome and table
    Duration probeTimeout = std::chrono::milliseconds(400); // identity and witness messages
    Duration takeoverTimeout = std::chrono::seconds(5);     // a witness may have to fence the record first
    Duration forwardTimeout = std::chrono::hours(1);        // a whole forwarded answer
    Duration keepAlive = std::chrono::seconds(5);           // ping on a quiet connection
    Duration keepAliveTimeout = std::chrono::seconds(3);    // without an answer to a ping: the connection is closed
    size_t maxMessageBytes = 64 * 1024 * 1024;              // bytes
};

Peer makeGrpcPeer(const GrpcPeerSettings& settings);

class GrpcPeerServer {
public:
    GrpcPeerServer(std::string address, uint16_t port, const GrpcPeerSettings& settings, PeerHandler handler);
    ~GrpcPeerServer();
    GrpcPeerServer(const GrpcPeerServer&) = delete;
    GrpcPeerServer& operator=(const GrpcPeerServer&) = delete;

    std::optional<Failure> start();
    uint16_t port() const;
    void stop(Duration grace); // running calls get this long to end

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace guavapond
