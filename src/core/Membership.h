// Which nodes are live, by probing each other. Soft state: it may be wrong for a while and corrects itself; no ticket depends on it.
//
// Index
//   Settings     MembershipSettings
//   Messages     MemberState, MemberUpdate, MembershipMessage, encodedBytes
//   State        MemberView
//   Membership   probes and updates in and out, views
//
// A node probes one live peer in each period. A peer that does not answer is probed through a few other nodes, then suspected, and dead
// when nobody refutes the suspicion in time. Updates travel on probes and answers. Their number in a message is bounded, so that the loss
// of half of all nodes and their return send no more bytes in a second than any other churn does.
#pragma once

#include "core/Ticket.h"
#include "core/Types.h"

#include <functional>
#include <unordered_map>

namespace guavapond {

struct MembershipSettings {
    Duration period = std::chrono::seconds(1);               // between two probes
    Duration directTimeout = std::chrono::milliseconds(300); // without an answer: indirect probes
    uint32_t helpers = 3;                                    // nodes asked for an indirect probe
    double suspicionPeriods = 1.0;                           // times log2(nodes): time to refute a suspicion
    double spreadFactor = 3.0;                               // times log2(nodes): how often an update is sent on
    uint32_t maxUpdatesPerPeriod = 24;                       // in all messages sent in a period; a large loss is told over several periods
    uint32_t maxUpdates = 10;                                // in one message
    uint32_t maxLocalDelay = 1; // added to the factor on timeouts while own probes fail in sequence: the fault may be this node's
    Duration pauseGap = std::chrono::seconds(1); // between two advance(): this node was paused, its timers prove nothing
    uint32_t joinProbes = 8;                     // first probes ask for members that are not live
    uint32_t heardPeriods = 10;                  // a peer heard from within them is preferred as a helper and for telling updates
    uint32_t maxRelays = 64;                     // indirect probes under way for other nodes
};

enum class MemberState : uint8_t {
    Alive,
    Suspect, // did not answer; still counted as live
    Dead,
};

// Order of two updates of a node: version, then incarnation, then state. Only the node itself raises its version.
struct MemberUpdate {
    std::string node;
    uint64_t incarnation = 0; // of the process; 0: never heard of
    uint32_t version = 0;
    MemberState state = MemberState::Alive;
    bool leaving = false; // announced by the node itself at a planned stop

    bool operator==(const MemberUpdate&) const = default;
};

struct MembershipMessage {
    enum class Kind : uint8_t {
        Ping,
        PingRequest, // probe `subject` for the sender
        Ack,
    };
    Kind kind = Kind::Ping;
    std::string to;
    std::string subject; // PingRequest: whom to probe
    uint64_t sequence = 0;
    bool joining = false; // the sender asks for members that are not live
    MemberUpdate sender;
    std::vector<MemberUpdate> updates;
};

size_t encodedBytes(const MembershipMessage& message); // upper estimate of the size as a protobuf message

struct MemberView {
    std::string_view node;
    std::string_view failureDomain;
    uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    bool leaving = false; // by itself or by the platform's list

    bool isLive() const { return this->state != MemberState::Dead; }
    bool isEligible() const { return this->state == MemberState::Alive && !this->leaving; } // for new duties
};

class Membership {
public:
    using Random = std::function<uint64_t(uint64_t bound)>; // below the bound
    Membership(const NodeIdentity& self, std::string failureDomain, const MembershipSettings& settings, Random random);

    // ---- What settings and platform say
    void addPeer(std::string_view node, std::string_view failureDomain); // taken as live until probed
    // Names that the platform lists as leaving. The list lags: a node missing from it is not thereby dead.
    void setLeavingByPlatform(std::span<const std::string> nodes);
    void leave(); // planned stop of this node

    // ---- Protocol
    std::vector<MembershipMessage> advance(TimePoint now);
    std::vector<MembershipMessage> onMessage(const MembershipMessage& message, TimePoint now);
    std::optional<TimePoint> nextWake() const; // none: not started

    // ---- Reading
    std::vector<MemberView> members() const; // this node first
    std::optional<MemberView> find(std::string_view node) const;
    size_t liveCount() const { return this->live; }     // with this node
    uint64_t revision() const { return this->changes; } // rises with each change of a view

private:
    struct Member {
        std::string failureDomain;
        MemberUpdate known;
        bool leavingByPlatform = false;
        uint32_t sendsLeft = 0; // of `known`, on messages
        TimePoint suspectUntil {};
        std::optional<TimePoint> heard {}; // last message from it
    };
    struct Probe {
        size_t member = 0;
        uint64_t sequence = 0;
        TimePoint sent {};
        bool askedHelpers = false;
    };
    struct Relay {
        std::string origin;
        uint64_t originSequence = 0;
        TimePoint expiry {};
    };
    static constexpr size_t self = 0; // position of this node in `all`

    MemberView viewOf(const Member& member) const;
    static bool isNewer(const MemberUpdate& update, const MemberUpdate& known);
    void apply(const MemberUpdate& update, TimePoint now);
    void applyToSelf(const MemberUpdate& update);
    void record(size_t member, const MemberUpdate& update, TimePoint now);
    void spread(size_t member);
    void forgive(Duration gap);
    void judgeProbe(TimePoint now);
    std::vector<size_t> answering(TimePoint now) const;
    void tellOne(TimePoint now, std::vector<MembershipMessage>& out);
    void askHelpers(TimePoint now, std::vector<MembershipMessage>& out);
    void startProbe(TimePoint now, std::vector<MembershipMessage>& out);
    void probeOneDead(std::vector<MembershipMessage>& out);
    void expireSuspicions(TimePoint now);
    std::optional<size_t> nextInOrder();
    std::optional<size_t> sampleDead();
    MembershipMessage make(MembershipMessage::Kind kind, size_t to, uint64_t sequence, bool knowsOlder = false);
    void addUpdates(MembershipMessage& message, size_t to, bool knowsOlder);
    void addNotLive(MembershipMessage& message);
    double logNodes() const;
    Duration stretched(Duration time) const;

    MembershipSettings settings;
    Random random;
    std::vector<Member> all; // [self] is this node
    std::unordered_map<std::string, size_t> positions;
    std::vector<size_t> order; // live peers to be probed in this round, shuffled; taken from the end
    std::optional<Probe> probe;
    std::unordered_map<uint64_t, Relay> relays; // by the sequence of the probe sent for another node
    uint64_t lastSequence = 0;
    uint32_t failedProbes = 0; // own probes without an answer in sequence
    uint32_t probesStarted = 0;
    uint32_t updatesLeft = 0; // of this period's
    size_t live = 1;
    size_t suspects = 0;
    uint64_t changes = 0;
    std::optional<TimePoint> lastAdvance;
    TimePoint nextProbe {};
};

} // namespace guavapond
