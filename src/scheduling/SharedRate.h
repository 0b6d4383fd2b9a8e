// The rate at which all nodes together send requests to one target, where the target asks for one. Two things ask for it: a limit that
// the target names (RequestLimit.h), and a warm-up (the target has started a short time ago, and crashes when it gets much more).
// The smallest of the rates in force holds. See docs/design/shared-rates.md.
//
// Every request is sent to a place that a node has granted, so a rate is kept where places are granted. Up to four nodes may grant
// places at a target at the same time: its home, and others that act as home because nodes can't reach it. Each has a fixed share of
// every rate, by its rank among all known nodes of the target's group. The shares add up to 1.45 and the tokens that each may save to 5,
// less than operators tolerate (1.5 times the rate and 5 requests), so a rate holds without an agreement between the nodes, whichever of
// them are dead, cut off or late. Other nodes grant no place at such a target.
//
// Index
//   shareOfRank     part of each rate that a node may grant
//   WarmUpTerms     what targets of a service take while they warm up
//   checkedTerms    the terms, with values that make no sense replaced
//   WarmUpReport    how long a target still warms up, as nodes tell each other
//   RateKind        what asks for the rate in force
//   SharedRate      onNamed, onNotNamed, onReport, onEnded; setWarmUpRate, setEntryOld, onWarmUp, onLost, onReturned; hasRoom, take
#pragma once

#include "scheduling/RequestLimit.h"

namespace guavapond::edge {

double shareOfRank(size_t rank); // rank 0 is the home of the target while all nodes reach it

struct WarmUpTerms {
    double perSecond = 0; // requests that a target takes while it warms up; 0: the service names no such rate
    Duration time {};     // how long a target warms up after its start
    bool operator==(const WarmUpTerms&) const = default;
};
struct WarmUpTolerance { // what operators tolerate in one second: overrun x perSecond + allowance requests
    double overrun = 1.5;
    double allowance = 5;
};
// What a service names, as the rate that the shares of all nodes may add to without exceeding the tolerance. Numbers that make no sense
// are replaced by the strictest that still serves. `isSound`: false if one was replaced.
WarmUpTerms checkedTerms(double perSecond, double seconds, const WarmUpTolerance& tolerance, bool& isSound);

struct WarmUpReport {
    uint64_t service = 0;      // hash of its name
    uint64_t target = 0;       // hash of its id
    int64_t startedUnixMs = 0; // of the target's process; a report on an earlier process of the target is void
    Duration left {};          // from the arrival of the message, since the clocks of nodes differ
};

enum class RateKind : uint8_t {
    None,
    Limit,    // the target named it
    WarmUp,   // the target said that it warms up
    MayBeNew, // it may warm up: it was lost, or its entry is too old to tell
};
constexpr size_t rateKindCount = static_cast<size_t>(RateKind::MayBeNew) + 1;
std::string_view rateKindName(RateKind kind); // lower_snake_case

class SharedRate {
public:
    // The limit that the target names.
    LimitChange onNamed(double perSecond, TimePoint now);
    LimitChange onNotNamed(TimePoint sentAt, TimePoint now) { return this->named.onNotNamed(sentAt, now); }
    LimitChange onReport(const LimitReport& report, TimePoint now); // of another node
    LimitChange onEnded(TimePoint at) { return this->named.onEnded(at); }
    const RequestLimit& limit() const { return this->named; }

    // The warm-up. Ends only move later while the process runs: what an older entry says ends none early.
    void setWarmUpRate(double perSecond, TimePoint now); // 0: the service has none
    void setEntryOld(bool value, TimePoint now);         // this node's copy of the target's entry is too old to tell whether it warms up
    bool onWarmUp(Duration left, bool isOwn, TimePoint now); // `isOwn`: read in the target's entry, not told by a peer; true: news
    void onLost();                                           // no connection: the target may come back as a new process
    void onReturned(Duration warmUpTime, TimePoint now);     // a connection or an answer after onLost
    void onNewProcess();                                     // forgets the limit; a warm-up that is known stays
    Duration warmUpLeft(TimePoint now) const;                // that the target or a peer has stated; zero: none
    Duration ownWarmUpLeft(TimePoint now) const;             // that this node has read itself, or assumes after a loss

    RateKind kind(TimePoint now) const; // of the smallest rate in force
    bool isSet(TimePoint now) const { return this->kind(now) != RateKind::None; }
    bool isWarmUpCounted(TimePoint now) const; // places are counted by a rate for targets that warm up, or by a smaller one

    // Below, `share` is the part of the rate that this node may grant. A target without a rate has room for any number of requests.
    bool hasRoom(double share, TimePoint now) const;
    void take(double share, TimePoint now); // one request was granted a place; only while isSet()
    double tokens(double share, TimePoint now) const;
    double grantsPerSecond(double share, TimePoint now) const;
    Duration untilRoom(double share, TimePoint now) const; // Duration::max(): this node has no share

private:
    bool mayWarmUp(TimePoint now) const; // not stated, but can't be ruled out
    double perSecond(TimePoint now) const;
    void beginIfUnset(TimePoint now); // call before a change that may bring a rate into force

    RequestLimit named;
    double warmUpPerSecond = 0; // 0: none
    TimePoint warmUntil {};     // stated by the target's entry or a peer; never decreases
    TimePoint ownWarmUntil {};  // of warmUntil, what this node has read itself
    TimePoint mayWarmUntil {};  // assumed after the target was lost
    bool lost = false;
    bool entryOld = false;
    double saved = 0;      // tokens at filledAt; a request takes one
    TimePoint filledAt {}; // valid while a rate is in force
};

} // namespace guavapond::edge
