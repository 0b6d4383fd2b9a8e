// Relay by asynchronous reads and writes. A stalled direction keeps the piece that it has read until the link passes again.
#include "Relay.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace guavapond::bench {

namespace asio = boost::asio;
using asio::ip::tcp;

struct Relay::Connection {
    explicit Connection(tcp::socket accepted)
        : near(std::move(accepted))
        , far(near.get_executor())
    {
    }
    struct Direction {
        std::array<char, 16384> buffer {};
        size_t held = 0; // bytes read and not yet written; kept while the link is stalled
        bool writing = false;
    };
    tcp::socket near;
    tcp::socket far;
    Direction forward;
    Direction backward;
};

Relay::Relay(asio::io_context& c, uint16_t to)
    : context(c)
    , acceptor(c, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , destination(to)
{
    this->accept();
}

void Relay::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error)
            return;
        this->accept();
        if (this->state == LinkState::Drop)
            return; // the socket closes here
        auto connection = std::make_shared<Connection>(std::move(socket));
        this->connections.insert(connection);
        connection->far.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), this->destination),
            [this, connection](const boost::system::error_code& failed) {
                if (failed)
                    return this->close(connection);
                this->pump(connection, true);
                this->pump(connection, false);
            });
    });
}

void Relay::pump(const std::shared_ptr<Connection>& connection, bool forward)
{
    auto& direction = forward ? connection->forward : connection->backward;
    auto& from = forward ? connection->near : connection->far;
    auto& to = forward ? connection->far : connection->near;
    if (direction.held > 0) {
        if (this->state == LinkState::Stall || direction.writing)
            return; // setState() or the write under way goes on
        direction.writing = true;
        asio::async_write(to, asio::buffer(direction.buffer, direction.held),
            [this, connection, forward, &direction](const boost::system::error_code& error, size_t written) {
                direction.writing = false;
                if (error)
                    return this->close(connection);
                this->passed += written;
                direction.held = 0;
                this->pump(connection, forward);
            });
        return;
    }
    from.async_read_some(
        asio::buffer(direction.buffer), [this, connection, forward, &direction](const boost::system::error_code& error, size_t read) {
            if (error)
                return this->close(connection);
            direction.held = read;
            this->pump(connection, forward);
        });
}

void Relay::close(const std::shared_ptr<Connection>& connection)
{
    boost::system::error_code ignored;
    connection->near.close(ignored);
    connection->far.close(ignored);
    this->connections.erase(connection);
}

void Relay::setState(LinkState next)
{
    asio::post(this->context, [this, next] {
        const auto before = this->state;
        this->state = next;
        const auto open = this->connections;
        for (const auto& connection : open) {
            if (next == LinkState::Drop) {
                this->close(connection);
            } else if (next == LinkState::Pass && before == LinkState::Stall) {
                if (connection->forward.held > 0)
                    this->pump(connection, true);
                if (connection->backward.held > 0)
                    this->pump(connection, false);
            }
        }
    });
}

} // namespace guavapond::bench
