// Watches the sending side of a connection while the peer has not acknowledged all bytes, so that a peer that reads slowly keeps its
// connection and one that is gone loses it.
//
// TCP_USER_TIMEOUT can't tell the two apart: on Linux it also ends a connection whose peer answers each window probe and has merely kept
// its window closed for that long. It stays in force until the window is seen closed; from then on the watch judges the peer itself,
// until all bytes are acknowledged. Where the kernel doesn't say what is acknowledged, nothing is watched and the option decides alone.
//
// Index
//   unacknowledgedBytes
//   TransmitWatch   written, stop, heard; isPeerSlow, lastTakenAt
#pragma once

#include "scheduling/PeerLiveness.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>

namespace guavapond::edge {

// Bytes that the peer has not acknowledged; 0 where the system can't tell.
size_t unacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

class TransmitWatch {
public:
    // `bound`: of silence, until the peer counts as gone.
    TransmitWatch(boost::asio::io_context& loop, boost::asio::ip::tcp::socket& socket, Duration bound);

    // This many bytes are handed to the kernel. `gone` is called if the peer turns out to be gone; `owner` lives until then.
    void written(size_t bytes, std::shared_ptr<void> owner, std::function<void()> gone);
    void heard() { this->unseenBytes = 0; } // the peer has sent something that it sends only after it has read what came before
    void stop();                            // before the socket is closed

    bool isPeerSlow() const { return this->hasClosedWindow; } // it reads slowly, and has not read all yet
    // When the peer last took bytes of those that are watched; empty: not seen yet.
    std::optional<TimePoint> lastTakenAt() const { return this->liveness.lastTakenAt(); }

private:
    void arm(std::shared_ptr<void> owner);
    void check(std::shared_ptr<void> owner);
    void setUserTimeout(Duration value); // zero: none

    boost::asio::ip::tcp::socket& socket;
    boost::asio::steady_timer timer;
    Duration bound;
    PeerLiveness liveness;
    std::function<void()> gone;   // empty: the timer does not run. Its handler owns the connection
    size_t unseenBytes = 0;       // written since the peer was last known to have all
    bool hasClosedWindow = false; // TCP_USER_TIMEOUT is not in force
};

} // namespace guavapond::edge
