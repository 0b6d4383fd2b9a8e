// Reads requests with their bodies, refuses or runs them, and writes copies of refusals.
#include "edge/RefusingServer.h"

namespace guavapond::standins {

using edge::tcp;
namespace net = edge::net;

namespace {

std::string fieldOf(const std::string& head, std::string_view name)
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const size_t at = head.find(start);
    return at == std::string::npos ? "" : head.substr(at + start.size(), head.find('\r', at + start.size()) - at - start.size());
}

std::string withId(std::string text, const std::string& id)
{
    constexpr std::string_view place = "{id}";
    for (size_t found = text.find(place); found != std::string::npos; found = text.find(place))
        text.replace(found, place.size(), id);
    return text;
}

} // namespace

RefusingServer::RefusingServer(net::io_context& loop)
    : loop(loop)
    , acceptor(loop, { net::ip::make_address("127.0.0.1"), 0 })
{
    this->accept();
}

void RefusingServer::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error)
            return;
        const auto peer = std::make_shared<Peer>(std::move(socket));
        peer->number = ++this->connections;
        this->read(peer);
        this->accept();
    });
}

void RefusingServer::read(const PeerPointer& peer)
{
    net::async_read_until(
        peer->socket, net::dynamic_buffer(peer->input), "\r\n\r\n", [this, peer](boost::system::error_code error, size_t size) {
            if (error)
                return;
            const std::string head = peer->input.substr(0, size);
            peer->input.erase(0, size);
            const std::string length = fieldOf(head, "Content-Length");
            this->readBody(peer, { fieldOf(head, "Guavapond-Attempt-Id"), fieldOf(head, "Guavapond-Target-Instance"), peer->number },
                length.empty() ? 0 : std::stoul(length));
        });
}

void RefusingServer::readBody(const PeerPointer& peer, const Request& request, size_t bytes)
{
    const size_t missing = bytes > peer->input.size() ? bytes - peer->input.size() : 0;
    net::async_read(peer->socket, net::dynamic_buffer(peer->input), net::transfer_exactly(missing),
        [this, peer, request, bytes](boost::system::error_code error, size_t) {
            if (error)
                return;
            peer->input.erase(0, bytes);
            this->answer(peer, request);
        });
}

void RefusingServer::answer(const PeerPointer& peer, const Request& request)
{
    this->repeated += peer->seen[request.id]++ > 0 ? 1 : 0;
    this->write(peer, std::exchange(peer->due, {}));
    const std::string fields = this->refuse(request);
    if (!fields.empty())
        return this->refuseWith(peer, withId(fields, request.id), request);
    this->runs.push_back(request);
    if (this->serviceTime == Duration::zero())
        return this->run(peer, request);
    this->after(this->serviceTime, [this, peer, request] { this->run(peer, request); });
}

void RefusingServer::refuseWith(const PeerPointer& peer, const std::string& fields, const Request& request)
{
    this->refused.push_back(request);
    const std::string text = fields + "Content-Length: 0\r\n\r\n";
    this->write(peer, text);
    for (size_t i = 0; i < this->copiesPerRefusal; ++i) {
        ++this->copies;
        if (this->copyDelay == Duration::zero())
            peer->due += text;
        else
            this->after(this->copyDelay, [this, peer, text] { this->write(peer, text); });
    }
    this->read(peer);
}

void RefusingServer::run(const PeerPointer& peer, const Request& request)
{
    this->write(peer,
        "HTTP/1.1 200 OK\r\nGuavapond-Attempt-Id: " + request.id + "\r\nGuavapond-Response-Seal: s\r\nContent-Length: 5\r\n\r\nyours");
    this->read(peer);
}

void RefusingServer::write(const PeerPointer& peer, const std::string& text)
{
    boost::system::error_code ignored;
    if (!text.empty())
        net::write(peer->socket, net::buffer(text), ignored);
}

void RefusingServer::after(Duration delay, std::function<void()> step)
{
    const auto timer = std::make_shared<net::steady_timer>(this->loop, delay);
    timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
        if (!error)
            step();
    });
}

} // namespace guavapond::standins
