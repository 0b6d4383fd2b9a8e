// A peer that is gone, as a test on loopback can have it: behind a cut, or without power.
//
// Index
//   dropIncoming
#pragma once

#include <boost/asio.hpp>
#include <linux/filter.h>
#include <stdexcept>
#include <sys/socket.h>

namespace guavapond::edge {

// From now on the socket drops all packets that arrive, so that its peer gets no acknowledgement.
inline void dropIncoming(boost::asio::ip::tcp::socket& socket)
{
    sock_filter dropAll { BPF_RET | BPF_K, 0, 0, 0 };
    const sock_fprog program { 1, &dropAll };
    if (setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0)
        throw std::runtime_error("a socket filter can't be set");
}

} // namespace guavapond::edge
