// Reads heads of requests, writes the script.
#include "edge/ScriptedServer.h"

namespace guavapond::standins {

using edge::tcp;
namespace net = edge::net;

ScriptedServer::ScriptedServer(net::io_context& loop, std::string bytes, ScriptedEnd end, std::string filler)
    : bytes(std::move(bytes))
    , end(end)
    , filler(std::move(filler))
    , acceptor(loop, { net::ip::make_address("127.0.0.1"), 0 })
{
    this->accept();
}

void ScriptedServer::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error)
            return;
        ++this->connections;
        this->read(this->peers.emplace_back(std::make_shared<Peer>(std::move(socket))));
        this->accept();
    });
}

void ScriptedServer::read(const std::shared_ptr<Peer>& peer)
{
    net::async_read_until(
        peer->socket, net::dynamic_buffer(peer->input), "\r\n\r\n", [this, peer](boost::system::error_code error, size_t size) {
            if (error)
                return;
            ++this->requests;
            this->onRequest();
            const std::string head = peer->input.substr(0, size);
            peer->input.erase(0, size);
            this->answer(peer, head);
        });
}

void ScriptedServer::push(const std::string& text)
{
    boost::system::error_code ignored; // the other side may have closed it
    for (const auto& peer : this->peers)
        net::write(peer->socket, net::buffer(text), ignored);
}

void ScriptedServer::repeat(const std::shared_ptr<Peer>& peer)
{
    net::async_write(peer->socket, net::buffer(this->filler), [this, peer](boost::system::error_code error, size_t bytes) {
        this->repeated += bytes;
        this->closed = this->closed || error;
        if (!error)
            this->repeat(peer);
    });
}

void ScriptedServer::answer(const std::shared_ptr<Peer>& peer, const std::string& head)
{
    constexpr std::string_view field = "Guavapond-Attempt-Id: ";
    constexpr std::string_view place = "{id}";
    const size_t at = head.find(field);
    const std::string id = at == std::string::npos ? "" : head.substr(at + field.size(), head.find('\r', at) - at - field.size());
    this->attempts.push_back(id);
    const bool isFirst = this->requests <= this->first.size();
    peer->output = isFirst ? this->first[this->requests - 1] : this->bytes;
    for (size_t found = peer->output.find(place); found != std::string::npos; found = peer->output.find(place))
        peer->output.replace(found, place.size(), id);
    net::async_write(peer->socket, net::buffer(peer->output), [this, peer, isFirst](boost::system::error_code error, size_t) {
        if (error)
            return;
        if (isFirst || this->end == ScriptedEnd::KeepOpen)
            return this->read(peer);
        if (this->end == ScriptedEnd::Repeat)
            return this->repeat(peer);
        if (this->end == ScriptedEnd::Stall)
            return;
        if (this->end == ScriptedEnd::Reset)
            peer->socket.set_option(net::socket_base::linger(true, 0));
        peer->socket.close();
    });
}

} // namespace guavapond::standins
