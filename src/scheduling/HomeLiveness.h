// Tells a home that is busy from one that is dead. A node asks homes for places and hears them: answers, receipts, replies to probes and
// beacons. A home is silent if it leaves a request unanswered and nothing of it has arrived for its timeout, which follows the measured
// answer times as that of TCP does: smoothed mean and mean deviation. A home that is heard may take longer, up to a bound: its answers may
// wait in the queue of a link that its callers fill.
//
// A silent home is skipped until anything of it arrives. A home that is heard but answers nothing, also after such a skip, does not receive
// the requests: it is skipped until it answers one, or for a short time.
//
// Index
//   HomeLivenessSettings   bounds
//   HomeState              what a wait for an answer says of the home
//   HomeLiveness           heard, answered, check, skip, isSkipped, isProbeDue, timeout, retryInterval
#pragma once

#include "core/Types.h"

#include <map>
#include <string>
#include <vector>

namespace guavapond::edge {

struct HomeLivenessSettings {
    Duration minRetry = std::chrono::milliseconds(8); // between transmissions of an unanswered request; a near home answers in 1 ms
    uint32_t retries = 3;                             // transmissions that fit into a timeout
    Duration minTimeout = std::chrono::milliseconds(24);
    Duration maxTimeout = std::chrono::milliseconds(48);      // with a probe before it and a tick, a dead home is noticed within 82 ms
    Duration sampleLifetime = std::chrono::milliseconds(100); // without an answer this long the longest timeout holds
    Duration maxUnanswered = std::chrono::milliseconds(150);  // of a request to a home that is heard
    Duration silentSkip = std::chrono::seconds(2);            // ended by any message
    Duration unansweredSkip = std::chrono::milliseconds(500); // ended by an answer
};

enum class HomeState : uint8_t {
    Waiting,
    Silent,    // nothing of it arrives
    Unanswered // it is heard, but answers no request of this node
};
std::string_view homeStateName(HomeState state); // lower_snake_case

class HomeLiveness {
public:
    explicit HomeLiveness(const HomeLivenessSettings& settings = {});

    void heard(const std::string& node, TimePoint now);                    // any message of the node arrived
    void answered(const std::string& node, Duration after, TimePoint now); // first answer or receipt, this long after the request
    HomeState check(const std::string& node, TimePoint askedAt, TimePoint now) const; // of a request without answer or receipt
    // Whether a home at which requests of this node wait has fallen silent, though it was probed.
    bool isSilent(const std::string& node, TimePoint now) const;
    bool isProbeDue(const std::string& node, TimePoint now) const; // a home at which requests wait says nothing
    void probed(const std::string& node, TimePoint now);
    bool skip(const std::string& node, HomeState reason, TimePoint now); // false: it is skipped already
    bool isSkipped(const std::string& node, TimePoint now) const;
    Duration timeout(const std::string& node, TimePoint now) const;
    Duration retryInterval(const std::string& node) const;
    std::optional<Duration> answerTime(const std::string& node) const; // smoothed; empty: none measured
    Duration slowestAnswer() const;                                    // greatest answer time of a home; zero: none measured
    void retain(const std::vector<std::string>& nodes);                // forgets all others

private:
    struct Peer {
        std::optional<Duration> mean; // of answer times
        Duration deviation {};        // this and the next are valid while `mean` is set
        TimePoint answeredAt {};
        TimePoint heardAt {};
        TimePoint probedAt {}; // first probe since heardAt; not valid if it lies before
        std::optional<HomeState> skippedFor;
        TimePoint skippedAt {};  // valid while `skippedFor` is set
        bool wasSkipped = false; // since its last answer
    };
    const Peer* find(const std::string& node) const;
    Duration spread(const Peer* peer) const; // answer time that few answers exceed

    HomeLivenessSettings settings;
    std::map<std::string, Peer> peers;
};

} // namespace guavapond::edge
