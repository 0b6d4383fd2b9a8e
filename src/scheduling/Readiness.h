// Decides whether the balancer should send callers to this node, for the load of a fleet whose nodes can't prove their configuration
// current: the store is away, or out of their reach.
//
// A node without a young proof refuses requests with a key (see Freshness.h). It leaves the balancer so that callers come to nodes that
// serve them. Where all nodes lack the proof, there are none: balancers take seconds to bring nodes back, so that callers would find no
// connection for seconds after the store is back, in place of an answer that says when to return. A node that hears a peer with a proof and
// the same configuration takes that proof over, so one that hears most nodes and has none knows that the others have none either.
// See docs/design/readiness.md.
//
// Index
//   ReadinessInput   what is known of the node and its peers
//   Readiness        verdict, with its reason
//   judgeReadiness   the decision
//   readinessName    for logs
#pragma once

#include <cstdint>
#include <string_view>

namespace guavapond::edge {

struct ReadinessInput {
    bool hasConfiguration = false;
    bool hasTargets = false;   // that may get requests, now or when an evacuation ends
    bool wasProved = false;    // the configuration was known to be current at some time in this process
    bool isProofYoung = false; // it is known to be current now
    double reachableShare = 1; // nodes that this one hears, itself included, divided by all that it knows
};

enum class Readiness : uint8_t {
    Ready,
    ReadyWithoutProof, // nodes that are ready are not better off
    NoConfiguration,
    NoTargets,
    NoProof, // other nodes may have one
};
constexpr bool isReady(Readiness readiness) { return readiness == Readiness::Ready || readiness == Readiness::ReadyWithoutProof; }
std::string_view readinessName(Readiness readiness); // lower_snake_case

Readiness judgeReadiness(const ReadinessInput& input);

} // namespace guavapond::edge
