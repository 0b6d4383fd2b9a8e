// Judges a peer by what the kernel says of its acknowledgements.
#include "scheduling/PeerLiveness.h"

namespace guavapond::edge {

PeerState PeerLiveness::judge(const TransmitState& state, TimePoint now)
{
    if (state.unacknowledged < this->lastUnacknowledged)
        this->takenAt = now;
    this->lastUnacknowledged = state.unacknowledged;
    const TimePoint acknowledgedAt = now - state.sinceAck;
    if (state.unacknowledged == 0 || !state.isInFlight || (this->unansweredSince && acknowledgedAt > *this->unansweredSince))
        this->unansweredSince.reset();
    if (state.unacknowledged == 0)
        return PeerState::HasAll;
    if (!state.isInFlight)
        return PeerState::WindowClosed;
    if (!this->unansweredSince)
        this->unansweredSince = now;
    return now - *this->unansweredSince >= this->bound ? PeerState::Gone : PeerState::Answering;
}

} // namespace guavapond::edge
