// Tells a peer that is gone from one that reads slowly, while bytes of a connection wait for it. A peer that is gone acknowledges nothing;
// one that reads slowly acknowledges all that it is sent and keeps its window closed.
//
// Index
//   TransmitState   what the kernel says of the sending side of a connection
//   PeerState
//   PeerLiveness    judge
#pragma once

#include "core/Types.h"

#include <optional>

namespace guavapond::edge {

struct TransmitState {
    size_t unacknowledged = 0; // bytes that the kernel holds, sent or not
    bool isInFlight = false;   // a segment or a window probe was sent, and is not acknowledged
    Duration sinceAck {};      // since the last acknowledgement of any kind
};

enum class PeerState : uint8_t {
    HasAll,       // the peer has acknowledged all bytes
    Answering,    // it is due to acknowledge some, and not late
    WindowClosed, // it has acknowledged what it was sent, and takes no more for now
    Gone,         // it has acknowledged nothing for as long as the bound
};

class PeerLiveness {
public:
    explicit PeerLiveness(Duration bound)
        : bound(bound)
    {
    }
    PeerState judge(const TransmitState& state, TimePoint now); // call several times within the bound
    // When the peer last took bytes, as far as the calls of judge() show it.
    std::optional<TimePoint> lastTakenAt() const { return this->takenAt; }

private:
    Duration bound;
    std::optional<TimePoint> unansweredSince; // something is in flight, and nothing was acknowledged since then
    std::optional<TimePoint> takenAt;
    size_t lastUnacknowledged = 0;
};

} // namespace guavapond::edge
