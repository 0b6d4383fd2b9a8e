// Binds a socket to port 0 and keeps it.
#include "PortReservation.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace guavapond {

PortReservation::PortReservation(const std::string& address)
{
    this->socketFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (this->socketFd < 0)
        return;
    const int enabled = 1;
    ::setsockopt(this->socketFd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in endpoint {};
    endpoint.sin_family = AF_INET;
    socklen_t length = sizeof endpoint;
    auto* generic = reinterpret_cast<sockaddr*>(&endpoint);
    if (::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr) != 1 || ::bind(this->socketFd, generic, length) != 0)
        return;
    if (::getsockname(this->socketFd, generic, &length) == 0)
        this->number = ntohs(endpoint.sin_port);
}

PortReservation::~PortReservation()
{
    if (this->socketFd >= 0)
        ::close(this->socketFd);
}

} // namespace guavapond
