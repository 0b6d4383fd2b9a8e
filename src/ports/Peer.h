// Port to the other nodes. The calls block or stream; adapters run them off the request path.
//
// Index
//   ForwardedRequest, ForwardedChunk  a caller's request passed to the owner of its ticket, and the answer on its way back
//   Peer                              outgoing calls
//   PeerHandler                       what this node answers to the others
#pragma once

#include "core/Membership.h"
#include "core/Types.h"
#include "core/Witness.h"

#include <functional>

namespace guavapond {

struct ForwardedRequest {
    std::string method;
    std::string path; // with query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct ForwardedChunk {
    int status = 0;                                           // first chunk only
    std::vector<std::pair<std::string, std::string>> headers; // first chunk only
    std::string data;
    bool last = false;
};

struct TableVersion {
    uint64_t revision = 0; // of the table
    std::string snapshot;  // as from TableStore::snapshot()
};

struct Peer {
    // Streams the owner's answer into `onChunk` (false: stop) and returns nothing, or why it ended early.
    std::function<std::optional<Failure>(
        std::string_view address, const ForwardedRequest&, const std::function<bool(const ForwardedChunk&)>& onChunk)>
        forward;
    // JSON of the ticket's outcome as in GET /v1/tickets/{id}.
    std::function<Result<std::string>(std::string_view address, std::string_view ticket)> outcome;
    // The peer's table if it is above `revision`; empty optional: it is not.
    std::function<Result<std::optional<TableVersion>>(std::string_view address, uint64_t revision)> table;
    // Who answers at the address now; also tells whether it is alive.
    std::function<Result<NodeIdentity>(std::string_view address)> identity;
    // To a witness; empty optional: ignored there.
    std::function<Result<std::optional<WitnessMessage>>(std::string_view address, const OwnerMessage&)> witness;
    // To the witness of an owner that does not answer; empty optional: not known yet, ask again.
    std::function<Result<std::optional<Disposition>>(std::string_view address, std::string_view ticket, const NodeIdentity& witness)>
        takeover;
    // A membership message and the answer to it; empty optional: there is none.
    std::function<Result<std::optional<MembershipMessage>>(std::string_view address, const MembershipMessage&)> gossip;
};

struct PeerHandler {
    std::function<void(const ForwardedRequest&, const std::function<bool(const ForwardedChunk&)>& onChunk)> forward;
    std::function<std::string(std::string_view ticket)> outcome;
    std::function<std::optional<TableVersion>(uint64_t revision)> table;
    std::function<NodeIdentity()> identity;
    std::function<std::optional<WitnessMessage>(const OwnerMessage&)> witness;
    std::function<std::optional<Disposition>(std::string_view ticket, const NodeIdentity& witness)> takeover;
    std::function<std::optional<MembershipMessage>(const MembershipMessage&)> gossip;
};

} // namespace guavapond
