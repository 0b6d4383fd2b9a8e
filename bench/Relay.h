// TCP relay between two processes on loopback, which can drop or stall their connections and counts their bytes.
//
// Index
//   LinkState    what happens to connections
//   Relay        one listening port, one destination
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>

namespace guavapond::bench {

enum class LinkState : uint8_t {
    Pass,
    Drop,  // open connections are closed, new ones are closed at once
    Stall, // connections stay open and nothing passes
};

// All relays of one io_context share its single thread; setState() may be called on any thread.
class Relay {
public:
    Relay(boost::asio::io_context& context, uint16_t destination);

    uint16_t port() const { return this->acceptor.local_endpoint().port(); }
    void setState(LinkState next);
    uint64_t bytes() const { return this->passed; }

private:
    struct Connection;
    void accept();
    void pump(const std::shared_ptr<Connection>& connection, bool forward);
    void close(const std::shared_ptr<Connection>& connection);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    uint16_t destination;
    std::atomic<uint64_t> passed { 0 }; // bytes, both directions
    // Used by the io_context's thread only.
    LinkState state = LinkState::Pass;
    std::set<std::shared_ptr<Connection>> connections;
};

} // namespace guavapond::bench
