// Blocking server over Boost.Beast.
#include "LoopbackServer.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace guavapond::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr uint64_t maxBodyBytes = 16 << 20; // bytes
constexpr int acceptPollMs = 20;            // ms; bound of the time to stop

int hexDigit(char c)
{
    return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::string decode(std::string_view text)
{
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool escaped = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
        if (!escaped) {
            out += text[i];
            continue;
        }
        out += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
        i += 2;
    }
    return out;
}

HttpCall readCall(const http::request<http::string_body>& request)
{
    HttpCall call;
    call.method = std::string(request.method_string());
    const std::string target(request.target());
    const size_t mark = target.find('?');
    call.path = decode(target.substr(0, mark));
    std::string_view rest = mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view part = rest.substr(0, rest.find('&'));
        const size_t equals = part.find('=');
        call.query[decode(part.substr(0, equals))] = equals == std::string_view::npos ? "" : decode(part.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    }
    for (const auto& field : request) {
        std::string name(field.name_string());
        for (char& c : name)
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        call.headers[name] = std::string(field.value());
    }
    call.body = request.body();
    return call;
}

void setHeaders(auto& response, const HttpAnswer& answer, bool keepAlive)
{
    response.result(static_cast<unsigned>(answer.status));
    response.version(11);
    response.keep_alive(keepAlive);
    response.set(http::field::content_type, answer.contentType);
    for (const auto& [name, value] : answer.headers)
        response.set(name, value);
}

void writeChunks(tcp::socket& socket, const HttpAnswer& answer, bool keepAlive)
{
    http::response<http::empty_body> response;
    setHeaders(response, answer, keepAlive);
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    http::write_header(socket, serializer);
    for (const std::string& chunk : answer.chunks)
        asio::write(socket, http::make_chunk(asio::buffer(chunk)));
    asio::write(socket, http::make_chunk_last());
}

void writeAnswer(tcp::socket& socket, const HttpAnswer& answer, bool keepAlive)
{
    if (!answer.chunks.empty()) {
        writeChunks(socket, answer, keepAlive);
        return;
    }
    http::response<http::string_body> response;
    setHeaders(response, answer, keepAlive);
    response.body() = answer.status == 304 ? "" : answer.body;
    response.prepare_payload();
    http::write(socket, response);
}

} // namespace

struct LoopbackServer::Impl {
    struct Connection {
        tcp::socket socket;
        std::thread thread;
        std::atomic<bool> ended = false;

        explicit Connection(tcp::socket s)
            : socket(std::move(s))
        {
        }
    };

    Handler handler;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping = false;
    std::list<Connection> connections; // used by the acceptor's thread only, and by the destructor after it
    std::thread thread;

    Impl(uint16_t port, Handler h)
        : handler(std::move(h))
        , acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), port))
    {
        this->thread = std::thread([this] { run(); });
    }

    ~Impl()
    {
        this->stopping = true;
        this->thread.join();
        // shutdown() ends blocking reads and writes of the connections' threads; the sockets are closed after the threads have ended.
        for (Connection& connection : this->connections)
            ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
        for (Connection& connection : this->connections)
            connection.thread.join();
    }

    void run()
    {
        while (!this->stopping) {
            pollfd waiting { this->acceptor.native_handle(), POLLIN, 0 };
            if (::poll(&waiting, 1, acceptPollMs) > 0)
                acceptOne();
            this->connections.remove_if([](Connection& connection) {
                if (!connection.ended)
                    return false;
                connection.thread.join();
                return true;
            });
        }
    }

    void acceptOne()
    {
        boost::system::error_code error;
        tcp::socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (error)
            return;
        socket.set_option(tcp::no_delay(true), error);
        Connection& connection = this->connections.emplace_back(std::move(socket));
        connection.thread = std::thread([this, &connection] {
            try {
                serve(connection.socket);
            } catch (const std::exception&) {
                // The caller is gone or sends something else than HTTP.
            }
            ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
            connection.ended = true;
        });
    }

    void serve(tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        while (!this->stopping) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(maxBodyBytes);
            http::read(socket, buffer, parser);
            const HttpAnswer answer = this->handler(readCall(parser.get()));
            if (answer.cut)
                return;
            const bool keepAlive = parser.get().keep_alive();
            writeAnswer(socket, answer, keepAlive);
            if (!keepAlive)
                return;
        }
    }
};

LoopbackServer::LoopbackServer(uint16_t port, Handler handler)
    : impl(std::make_unique<Impl>(port, std::move(handler)))
{
}

LoopbackServer::~LoopbackServer() = default;

uint16_t LoopbackServer::port() const { return this->impl->acceptor.local_endpoint().port(); }

std::string LoopbackServer::url() const { return "http://127.0.0.1:" + std::to_string(port()); }

} // namespace guavapond::standin
