// Accepts, copies bytes both ways, and loses, resets or refuses connections as the link's state says.
#include "edge/LinkProxy.h"

namespace guavapond::standins {

using edge::tcp;
namespace net = edge::net;

namespace {

constexpr int fillerCount = 4; // more than a backlog of 0 holds

} // namespace

LinkProxy::LinkProxy(net::io_context& loop, const edge::Address& server)
    : loop(loop)
    , server(server)
    , acceptor(loop)
{
    this->listen();
}

LinkProxy::~LinkProxy()
{
    this->state = LinkState::Resets;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const PairPointer& pair : std::set<PairPointer>(this->pairs))
        this->close(pair, false);
}

void LinkProxy::listen()
{
    this->acceptor.open(tcp::v4());
    this->acceptor.set_option(net::socket_base::reuse_address(true));
    this->acceptor.bind({ net::ip::address_v4::loopback(), this->reservation.port() });
    this->acceptor.listen();
    this->accept();
}

void LinkProxy::accept()
{
    if (std::exchange(this->accepting, true))
        return;
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket client) {
        if (error == net::error::operation_aborted)
            return; // the proxy may be gone
        this->accepting = false;
        if (!error && this->state == LinkState::Up)
            this->open(std::move(client));
        if (this->state == LinkState::Up)
            this->accept();
    });
}

void LinkProxy::set(LinkState value)
{
    this->state = value;
    boost::system::error_code ignored;
    if (value == LinkState::Resets) {
        for (const PairPointer& pair : std::set<PairPointer>(this->pairs))
            this->close(pair, true);
    }
    if (value == LinkState::Hangs)
        return this->fillBacklog();
    if (value != LinkState::Up) {
        this->acceptor.close(ignored);
        this->accepting = false;
        return;
    }
    this->fillers.clear();
    if (this->acceptor.is_open()) {
        this->acceptor.close(ignored); // with what is in its backlog
        this->accepting = false;
    }
    this->listen();
    for (const auto& step : std::exchange(this->waitingForLink, {}))
        step();
}

// A backlog that is full lets the kernel drop the handshakes of further connections.
void LinkProxy::fillBacklog()
{
    boost::system::error_code ignored;
    this->acceptor.cancel(ignored);
    this->accepting = false;
    this->acceptor.listen(0, ignored);
    for (int i = 0; i < fillerCount; ++i) {
        tcp::socket& filler = this->fillers.emplace_back(this->loop);
        filler.async_connect({ net::ip::address_v4::loopback(), this->reservation.port() }, [](boost::system::error_code) {});
    }
}

void LinkProxy::open(tcp::socket client)
{
    const auto pair = std::make_shared<Pair>(this->loop);
    pair->client = std::move(client);
    this->pairs.insert(pair);
    pair->server.async_connect(
        { net::ip::make_address(this->server.ip), this->server.port }, [this, pair](boost::system::error_code error) {
            if (!this->pairs.contains(pair))
                return;
            if (error)
                return this->close(pair, true);
            this->pump(pair, pair->client, pair->server, pair->upward);
            this->pump(pair, pair->server, pair->client, pair->downward);
        });
}

void LinkProxy::pump(const PairPointer& pair, tcp::socket& from, tcp::socket& to, std::array<char, 16384>& buffer)
{
    from.async_read_some(net::buffer(buffer), [this, pair, &from, &to, &buffer](boost::system::error_code error, size_t bytes) {
        if (error == net::error::operation_aborted)
            return; // closed here; the proxy may be gone
        const auto step = [this, pair, &from, &to, &buffer, error, bytes] {
            if (!this->pairs.contains(pair))
                return;
            boost::system::error_code failure = error;
            if (!failure)
                net::write(to, net::buffer(buffer.data(), bytes), failure);
            if (failure)
                return this->close(pair, failure != net::error::eof);
            this->pump(pair, from, to, buffer);
        };
        if (this->state == LinkState::Hangs)
            this->waitingForLink.emplace_back(step);
        else
            step();
    });
}

void LinkProxy::close(const PairPointer& pair, bool isReset)
{
    if (this->pairs.erase(pair) == 0)
        return;
    boost::system::error_code ignored;
    for (tcp::socket* socket : { &pair->client, &pair->server }) {
        if (isReset)
            socket->set_option(net::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

} // namespace guavapond::standins
