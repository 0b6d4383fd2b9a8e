// Reads the kernel's state of a connection and acts on what it shows.
#include "edge/TransmitWatch.h"

#include "edge/HttpClient.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace guavapond::edge {

namespace {

constexpr Duration checkInterval = std::chrono::milliseconds(250); // several checks within the bound of silence
constexpr size_t minWatchedBytes = 2048;                           // fewer fit into any peer's window
constexpr int maxProbeIntervalMs = 1000;                           // between window probes; the least that the kernel takes
constexpr int probeIntervalOption = 44;                            // TCP_RTO_MAX_MS of Linux 6.15, which older headers lack

template <int Name> using TcpOption = net::detail::socket_option::integer<IPPROTO_TCP, Name>;

std::optional<TransmitState> readState(tcp::socket& socket)
{
    TransmitState state;
    state.unacknowledged = unacknowledgedBytes(socket);
    if (state.unacknowledged == 0)
        return state;
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    state.isInFlight = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
    state.sinceAck = std::chrono::milliseconds(info.tcpi_last_ack_recv);
    return state;
}

} // namespace

size_t unacknowledgedBytes(tcp::socket& socket)
{
    int count = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &count) == 0 && count > 0 ? static_cast<size_t>(count) : 0;
}

TransmitWatch::TransmitWatch(net::io_context& loop, tcp::socket& socket, Duration bound)
    : socket(socket)
    , timer(loop)
    , bound(bound)
    , liveness(bound)
{
}

void TransmitWatch::written(size_t bytes, std::shared_ptr<void> owner, std::function<void()> hook)
{
    this->unseenBytes += bytes;
    if (this->gone || this->unseenBytes < minWatchedBytes)
        return;
    this->gone = std::move(hook);
    this->arm(std::move(owner));
}

void TransmitWatch::stop()
{
    this->timer.cancel();
    this->gone = {};
    this->hasClosedWindow = false;
}

void TransmitWatch::arm(std::shared_ptr<void> owner)
{
    this->timer.expires_after(checkInterval);
    this->timer.async_wait([this, owner = std::move(owner)](boost::system::error_code error) {
        if (!error && this->gone)
            this->check(owner);
    });
}

void TransmitWatch::check(std::shared_ptr<void> owner)
{
    const std::optional<TransmitState> state = readState(this->socket);
    const PeerState peer = state ? this->liveness.judge(*state, bootTime()) : PeerState::HasAll;
    if (peer == PeerState::HasAll) {
        if (this->hasClosedWindow)
            this->setUserTimeout(this->bound);
        this->unseenBytes = 0;
        return this->stop();
    }
    if (peer == PeerState::WindowClosed && !this->hasClosedWindow) {
        this->hasClosedWindow = true;
        this->setUserTimeout(Duration::zero());
        boost::system::error_code ignored; // a kernel without the option probes less and less often, and finds a gone peer later
        this->socket.set_option(TcpOption<probeIntervalOption>(maxProbeIntervalMs), ignored);
    }
    // While its own option is in force, the kernel finds a peer that is gone.
    if (peer == PeerState::Gone && this->hasClosedWindow) {
        const auto hook = std::move(this->gone);
        this->stop();
        return hook();
    }
    this->arm(std::move(owner));
}

void TransmitWatch::setUserTimeout(Duration value)
{
    boost::system::error_code ignored; // the connection stays usable
    this->socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(toMilliseconds(value))), ignored);
}

} // namespace guavapond::edge
