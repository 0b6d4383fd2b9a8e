// Carries the witness protocol between this node, its witness, the owners it is a witness for, and the platform.
//
// Index
//   WitnessLinkSettings, WitnessLinkPorts
//   WitnessLink
//     run, poke          sends what the state machines have to say; on a thread of its own
//     onOwnerMessage     this node as a witness
//     takeover           this node as the witness of an owner that does not answer
//     resolve            what became of a ticket whose owner is gone; may take seconds
//     handOver           planned stop
//
// The state machines (core/Witness.h) are in Decisions and guarded by its mutex, so that a grant is read and used in one critical section.
#pragma once

#include "node/Decisions.h"
#include "node/TableWatcher.h"
#include "ports/Peer.h"
#include "ports/Platform.h"

#include <atomic>
#include <condition_variable>

namespace guavapond {

struct WitnessLinkSettings {
    Duration longestWait = std::chrono::milliseconds(250);       // between two rounds without an event
    Duration candidateInterval = std::chrono::milliseconds(200); // between two searches for a witness
    Duration probeInterval = std::chrono::milliseconds(200);     // between two probes of a presumed dead owner
    uint32_t probes = 3;                                         // without an answer: the owner is presumed failed
    Duration resolveTime = std::chrono::seconds(4);              // for the whole of resolve()
    Duration handoverTime = std::chrono::seconds(1);             // for the witness's acknowledgement at a planned stop
};

struct WitnessLinkPorts {
    Peer peer;
    KeyValue keyValue;
    std::vector<PeerAddress> peers;                        // all other nodes
    std::function<bool(std::string_view node)> isEligible; // by membership, for new duties; empty: all are
    std::function<TimePoint()> clock;
    std::function<void(Duration)> sleep;
    std::function<void(std::function<void()>)> background;
    std::function<void()> granted; // grants have arrived, or the witness was lost or replaced; called without locks
};

class WitnessLink {
public:
    WitnessLink(std::string failureDomain, const WitnessLinkSettings& settings, WitnessLinkPorts ports, Decisions& decisions);

    void run(const std::atomic<bool>& stop);
    void poke();
    void step(TimePoint now); // one round; run() calls it

    std::optional<WitnessMessage> onOwnerMessage(const OwnerMessage& message);
    std::optional<Disposition> takeover(std::string_view ticket, const NodeIdentity& witness);
    Failure resolve(const Ticket& ticket);
    void handOver();

private:
    void findWitness(TimePoint now);
    std::vector<size_t> searchOrder() const;
    void send(const OwnerMessage& message);
    void accessOwnRecord(const RecordAccess& access);
    void accessOwnersRecord(const TakeoverAccess& access);
    bool isAlive(const NodeIdentity& owner);
    bool isReplaced(const NodeIdentity& owner);
    Result<std::optional<NodeIdentity>> witnessOf(const Ticket& ticket);
    const PeerAddress* addressOf(std::string_view node) const;

    std::string failureDomain;
    WitnessLinkSettings settings;
    WitnessLinkPorts ports;
    Decisions& decisions;
    std::vector<PeerAddress> candidates; // own failure domain first
    size_t nextCandidate = 0;            // used by the thread of run() only
    TimePoint nextSearch {};             // the same
    std::atomic<bool> searching { false };
    std::mutex waitMutex;
    std::condition_variable waitChanged;
    bool poked = false; // guarded by waitMutex
};

} // namespace guavapond
