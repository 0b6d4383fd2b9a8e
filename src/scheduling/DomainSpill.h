// Decides which requests leave a failure domain whose targets have no room, and to which other domain they go. Each home of a group
// decides for the requests that are asked of it; no node decides for several groups. The homes tell each other how much room each offers
// and how many requests each is short of places for (see PlacementHome.h).
//
// A request leaves if it would miss its objective here and makes it there, as long as its bytes cost no more than an operator's limit, or
// if the wait that it saves is worth more than its bytes. How many leave is bounded by what the other domain offers, and by a share of the
// arrivals that follows the lack gradually: a wait that is over before the detour pays moves nothing, and a domain that takes requests
// isn't surprised by a sudden multiple of them. A request whose wait is about to end isn't held back by the share.
//
// Index
//   SpillSettings    prices, and whether the decision is made
//   NeighborRoom     what the home of another failure domain last announced
//   SpillRequest     what the decision needs to know of a request
//   SpillReason      why a request leaves
//   Departure        where a request goes, and why
//   divideRoom       room of one domain, divided among those that compete for it
//   reservedSlots    room that a domain keeps for its own next arrivals
//   DomainSpill      onArrival, onAnnounced, choose, shortBy, offers, view
#pragma once

#include "core/Types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavapond::edge {

// Prices are in any one unit of account that the operators choose.
struct SpillSettings {
    bool enabled = false;       // false: a request that finds no room leaves whenever another domain announced room
    double gigabytePrice = 0;   // of bytes that pass between failure domains
    double waitSecondPrice = 0; // value of a second that one caller doesn't wait
    double maxRequestPrice = std::numeric_limits<double>::infinity(); // of the bytes of a request that would miss its objective otherwise
    Duration initialRoundTrip = std::chrono::milliseconds(2);         // between failure domains, until one is measured
};

double bytePrice(const SpillSettings& settings, uint64_t bytes);
// Time of waiting that is worth as much as these bytes between failure domains; zero if no price of waiting is set.
Duration waitWorth(const SpillSettings& settings, uint64_t bytes);

struct NeighborRoom {
    uint32_t offered = 0;     // slots that this domain may use
    uint32_t shortBy = 0;     // requests that the neighbor itself lacks places for
    Duration shortestWait {}; // predicted time to the first event of a short prompt at its best target
    Duration roundTrip {};    // measured, between the two domains
};

struct SpillRequest {
    uint64_t bytes = 0;                   // of its body and of the expected answer
    Duration prefill {};                  // of its prompt at a target that is idle, here or there
    std::optional<Duration> waitHere;     // predicted, for a place at a target of this domain; empty: there is none in sight
    std::optional<TimePoint> latestFirst; // latest acceptable first event; empty: no bound
    TimePoint giveUpAt {};                // end of its wait for a place
    bool isCounted = false;               // an earlier call already counted it as one that would leave
};

enum class SpillReason : uint8_t {
    LateHere,  // it would miss its objective in this domain
    WaitSaved, // the wait that it saves is worth more than its bytes
    Evacuated, // nothing may be sent to the targets of this domain
};
constexpr size_t spillReasonCount = static_cast<size_t>(SpillReason::Evacuated) + 1;
std::string_view spillReasonName(SpillReason reason); // lower_snake_case

struct Departure {
    std::string domain; // empty: the request stays for now
    SpillReason reason = SpillReason::LateHere;
    bool wouldLeave = false; // it pays to leave; with an empty domain, the share or the offers hold it back
};

// Slots for each of the needs: equal parts, none larger than its need; what the needs leave over is divided equally among all.
std::vector<uint32_t> divideRoom(uint32_t room, std::span<const uint32_t> needs);
// Two standard deviations of the arrivals during `reaction`, the time in which an offer can't be taken back.
uint32_t reservedSlots(double arrivalsPerSecond, Duration reaction);

class DomainSpill {
public:
    // `isEvacuated` tells whether requests may no longer be sent to the targets of a domain. Without it, none is evacuated.
    DomainSpill(std::string domain, const SpillSettings& settings, std::function<bool(const std::string& domain)> isEvacuated = {});

    void onArrival(TimePoint now); // once for each request that is asked of this domain's home
    void onAnnounced(const std::string& neighbor, const NeighborRoom& room, TimePoint now);
    Departure choose(const SpillRequest& request, TimePoint now);
    // Requests that lack a place here: `waiting` ones and those that left lately.
    uint32_t shortBy(size_t waiting, TimePoint now) const;
    // Slots for each of the neighbors, out of `freeSlots`; together they are no more than that, less what the next arrivals here need.
    std::vector<uint32_t> offers(uint32_t freeSlots, std::span<const std::string> names, TimePoint now) const;

    struct View { // for metrics and logs
        std::string neighbor;
        double share = 0;     // of this domain's arrivals
        uint32_t offered = 0; // slots, by the last announcement
        bool isOpen = false;
        uint64_t requests = 0; // that left for it, since the start
        uint64_t bytes = 0;    // estimated, of these requests
    };
    std::vector<View> view(TimePoint now) const;
    const std::map<SpillReason, uint64_t>& departures() const { return this->byReason; }

private:
    struct Rate {
        uint32_t count = 0;   // since the last adjustment
        double perSecond = 0; // exponentially weighted
        void update(double seconds);
    };
    struct Neighbor {
        NeighborRoom room;
        TimePoint announcedAt {};
        TimePoint shortAt {};       // last announcement that it is short itself; the epoch: none
        double share = 0;           // of the arrivals; between 0 and 1
        double credit = 0;          // departures that the share allows; grows by `share` with each arrival
        std::deque<TimePoint> sent; // departures of the last second, oldest first
        uint64_t requests = 0;
        uint64_t bytes = 0;
    };
    bool isOpen(const std::string& name, const Neighbor& neighbor, TimePoint now) const;
    uint32_t unusedRoom(const Neighbor& neighbor, TimePoint now) const;
    std::optional<SpillReason> reasonToLeave(const SpillRequest& request, const Neighbor& neighbor, TimePoint now) const;
    bool mayLeaveNow(const SpillRequest& request, const Neighbor& neighbor, SpillReason reason, TimePoint now) const;
    void depart(Neighbor& neighbor, const SpillRequest& request, SpillReason reason, TimePoint now);
    void adjustShares(TimePoint now);
    void adjustShare(Neighbor& neighbor, double desired, double seconds) const;

    std::string domain;
    SpillSettings settings;
    std::function<bool(const std::string& domain)> isEvacuated;
    std::map<std::string, Neighbor> neighbors; // by failure domain
    Rate arrivals;
    Rate wishes; // requests that it would pay to send away
    std::optional<TimePoint> adjustedAt;
    std::map<SpillReason, uint64_t> byReason; // departures since the start
};

} // namespace guavapond::edge
