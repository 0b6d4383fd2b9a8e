// A link to a server that can be cut: a TCP proxy on loopback with an address of its own.
//
// Index
//   LinkState   what the link does with connections
//   LinkProxy
#pragma once

#include "PortReservation.h"
#include "edge/HttpClient.h"

#include <deque>
#include <set>

namespace guavapond::standins {

enum class LinkState : uint8_t {
    Up,
    Hangs,      // packets are lost: open connections are silent, and new ones are not established
    Resets,     // open connections are reset, and new ones are refused
    RefusesNew, // open connections live on, and new ones are refused
};

class LinkProxy {
public:
    LinkProxy(edge::net::io_context& loop, const edge::Address& server);
    LinkProxy(const LinkProxy&) = delete;
    LinkProxy& operator=(const LinkProxy&) = delete;
    ~LinkProxy();

    edge::Address address() const { return { "127.0.0.1", this->reservation.port() }; }
    void set(LinkState state);

private:
    struct Pair { // the two connections of one that goes through the link
        explicit Pair(edge::net::io_context& loop)
            : client(loop)
            , server(loop)
        {
        }
        edge::tcp::socket client;
        edge::tcp::socket server;
        std::array<char, 16384> upward {};
        std::array<char, 16384> downward {};
    };
    using PairPointer = std::shared_ptr<Pair>;
    void listen();
    void accept();
    void open(edge::tcp::socket client);
    void pump(const PairPointer& pair, edge::tcp::socket& from, edge::tcp::socket& to, std::array<char, 16384>& buffer);
    void close(const PairPointer& pair, bool isReset);
    void fillBacklog();

    edge::net::io_context& loop;
    edge::Address server;
    edge::tcp::acceptor acceptor;
    PortReservation reservation; // also while the acceptor is closed, when the kernel might give the port to a connection
    LinkState state = LinkState::Up;
    bool accepting = false;
    std::set<PairPointer> pairs;
    std::deque<edge::tcp::socket> fillers;             // occupy the backlog while new connections hang
    std::vector<std::function<void()>> waitingForLink; // pumps that go on when the link is up
};

} // namespace guavapond::standins
