// Port choice, routing and silencing for the stand-ins' listeners.
#include "LoopbackListener.h"

#include "PortReservation.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <optional>

namespace guavapond::standins {

namespace {

// The local port of an accepted or connected TCP socket; nothing for any other descriptor.
std::optional<uint16_t> connectedLocalPort(int fd)
{
    sockaddr_in local {};
    sockaddr_in peer {};
    socklen_t localLength = sizeof local;
    socklen_t peerLength = sizeof peer;
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &peerLength) != 0 || peer.sin_family != AF_INET)
        return std::nullopt;
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&local), &localLength) != 0)
        return std::nullopt;
    return ntohs(local.sin_port);
}

std::vector<int> openDescriptors()
{
    std::vector<int> descriptors;
    DIR* directory = ::opendir("/proc/self/fd");
    if (!directory)
        return descriptors;
    while (const dirent* entry = ::readdir(directory)) { // NOLINT(concurrency-mt-unsafe)
        int fd = std::atoi(entry->d_name);
        if (fd > 2)
            descriptors.push_back(fd);
    }
    ::closedir(directory);
    return descriptors;
}

} // namespace

LoopbackListener::LoopbackListener(uint16_t port, const Handler& handler)
{
    const PortReservation reservation; // held until the listener is open
    this->open(port == 0 ? reservation.port() : port, handler);
}

LoopbackListener::~LoopbackListener() { this->close(); }

void LoopbackListener::open(uint16_t port, const Handler& handler)
{
    this->listener = std::make_unique<web::http::experimental::listener::http_listener>("http://127.0.0.1:" + std::to_string(port));
    this->listener->support(handler);
    this->listener->open().get();
    this->boundPort = port;
}

void LoopbackListener::silenceOpenConnections()
{
    std::lock_guard lock(this->mutex);
    for (int fd : openDescriptors()) {
        if (connectedLocalPort(fd) != this->boundPort)
            continue;
        // The listener goes on with one end of a socket pair that nobody writes to, while a copy of the real descriptor keeps the
        // connection open: the peer sees neither data nor an end.
        int pair[2];
        if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair) != 0)
            continue;
        int copy = ::dup(fd);
        ::dup2(pair[0], fd);
        ::close(pair[0]);
        this->silenced.push_back(copy);
        this->silenced.push_back(pair[1]);
    }
}

void LoopbackListener::close()
{
    {
        // The other ends of the socket pairs go first: the listener's close waits until its connections have ended.
        std::lock_guard lock(this->mutex);
        for (int fd : this->silenced)
            ::close(fd);
        this->silenced.clear();
    }
    if (this->listener) {
        this->listener->close().wait();
        this->listener.reset();
    }
}

void jsonReply(const web::http::http_request& request, int status, const nlohmann::json& body) { sendJson(request, status, body); }

pplx::task<void> sendJson(const web::http::http_request& request, int status, const nlohmann::json& body)
{
    auto written = request.reply(static_cast<web::http::status_code>(status), body.dump(), "application/json");
    return written.then([](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): the caller has gone; nothing is left to tell it
        }
    });
}

} // namespace guavapond::standins
