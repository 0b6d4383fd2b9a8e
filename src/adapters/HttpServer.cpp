// HTTP/1.1 server on Boost.Beast: one strand for each connection, a few threads for all.
#include "adapters/HttpServer.h"

#include "adapters/HttpFraming.h"
#include "adapters/Logging.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <mutex>
#include <thread>

namespace guavapond {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

struct HttpServerState {
    HttpServerState(HttpServerSettings s, HttpHandler h, HttpFaultBody f)
        : settings(std::move(s))
        , handler(std::move(h))
        , faultBody(std::move(f))
        , acceptor(this->context)
        , tls(asio::ssl::context::tls_server)
    {
    }

    HttpServerSettings settings;
    HttpHandler handler;
    HttpFaultBody faultBody;
    asio::io_context context;
    tcp::acceptor acceptor;
    asio::ssl::context tls;
    std::vector<std::thread> threads;
    std::atomic<size_t> connections { 0 };
    std::atomic<size_t> answers { 0 }; // requests whose answer is not wholly written
    std::atomic<bool> stopping { false };
    std::atomic<bool> closing { false }; // answers close their connections
    uint16_t port = 0;
};

namespace {

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

std::chrono::steady_clock::duration toSteady(Duration d) { return std::chrono::duration_cast<std::chrono::steady_clock::duration>(d); }

// One connection; it serves one request after another.
template <typename Stream> class Session final : public std::enable_shared_from_this<Session<Stream>> {
public:
    Session(std::shared_ptr<HttpServerState> s, Stream str)
        : server(std::move(s))
        , stream(std::move(str))
        , receiveTimer(this->stream.get_executor())
        , buffer(this->server->settings.maxHeaderBytes + bodyReadBytes)
    {
        ++this->server->connections;
    }
    ~Session() { --this->server->connections; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void run()
    {
        asio::dispatch(this->stream.get_executor(), [self = this->shared_from_this()] { self->handshake(); });
    }

private:
    // The answer to one request. Bytes wait in `pending` while a write is under way, so a burst of tokens goes out in one write.
    class Reply final : public HttpReply, public std::enable_shared_from_this<Reply> {
    public:
        Reply(std::shared_ptr<Session> s, bool keep, unsigned v)
            : session(std::move(s))
            , keepAlive(keep)
            , version(v)
        {
            ++this->session->server->answers;
        }
        ~Reply() override { --this->session->server->answers; }
        Reply(const Reply&) = delete;
        Reply& operator=(const Reply&) = delete;

        void send(int status, std::span<const HttpHeader> headers, std::string body) override
        {
            this->postHead(status, headers, std::move(body), false);
        }

        void start(int status, std::span<const HttpHeader> headers) override { this->postHead(status, headers, {}, true); }

        void write(std::string_view data) override
        {
            if (data.empty() || this->gone)
                return;
            bool first = false;
            {
                std::lock_guard lock(this->mutex);
                first = this->pending.empty();
                this->pending.append(data);
                if (this->pending.size() > this->session->server->settings.maxPendingBytes)
                    this->overflow = true;
            }
            if (first)
                this->post([](Reply& reply) { reply.flush(); });
        }

        void finish() override
        {
            this->post([](Reply& reply) {
                reply.finished = true;
                reply.flush();
            });
        }

        void abort() override
        {
            this->post([](Reply& reply) { reply.close(); });
        }

        bool isGone() const override { return this->gone; }

        void onGone(std::function<void()> callback) override
        {
            {
                std::lock_guard lock(this->mutex);
                if (!this->gone) {
                    this->goneCallback = std::move(callback);
                    return;
                }
            }
            callback();
        }

        void markGone()
        {
            std::function<void()> callback;
            {
                std::lock_guard lock(this->mutex);
                if (this->gone.exchange(true))
                    return;
                callback = std::move(this->goneCallback);
                this->goneCallback = nullptr;
            }
            if (callback)
                callback();
        }

        bool isDone() const { return this->done; }

    private:
        using Step = void (*)(Reply&);

        void post(Step step)
        {
            asio::post(this->session->stream.get_executor(), [self = this->shared_from_this(), step] { step(*self); });
        }

        void postHead(int status, std::span<const HttpHeader> headers, std::string body, bool chunked)
        {
            http::response<http::string_body> message;
            message.version(this->version);
            message.result(static_cast<unsigned>(status));
            for (const auto& [name, value] : headers)
                message.insert(name, value);
            message.keep_alive(this->keepAlive);
            message.body() = std::move(body);
            if (chunked)
                message.chunked(true);
            else
                message.prepare_payload();
            auto task = [self = this->shared_from_this(), chunked, held = std::make_shared<decltype(message)>(std::move(message))] {
                self->writeHead(held, chunked);
            };
            asio::post(this->session->stream.get_executor(), std::move(task));
        }

        void writeHead(const std::shared_ptr<http::response<http::string_body>>& message, bool chunked)
        {
            assert(!this->started && "an answer has one head");
            if (this->started || this->done)
                return;
            this->started = true;
            this->writing = true;
            this->session->expireWrite();
            auto serializer = std::make_shared<http::response_serializer<http::string_body>>(*message);
            auto next = [self = this->shared_from_this(), message, serializer, chunked](error_code ec, size_t) {
                self->writing = false;
                if (ec)
                    return self->close();
                if (!chunked)
                    return self->complete();
                self->flush();
            };
            if (chunked)
                http::async_write_header(this->session->stream, *serializer, std::move(next));
            else
                http::async_write(this->session->stream, *serializer, std::move(next));
        }

        void flush()
        {
            if (this->writing || this->done || !this->started)
                return;
            bool tooMuch = false;
            {
                std::lock_guard lock(this->mutex);
                this->current.clear();
                this->current.swap(this->pending);
                tooMuch = this->overflow;
            }
            if (tooMuch)
                return this->close();
            if (!this->current.empty())
                return this->writeChunk();
            if (this->finished)
                this->writeLastChunk();
        }

        void writeChunk()
        {
            this->writing = true;
            this->session->expireWrite();
            asio::async_write(this->session->stream, http::make_chunk(asio::buffer(this->current)),
                [self = this->shared_from_this()](error_code ec, size_t) {
                    self->writing = false;
                    if (ec)
                        return self->close();
                    self->flush();
                });
        }

        void writeLastChunk()
        {
            this->writing = true;
            this->session->expireWrite();
            asio::async_write(this->session->stream, http::make_chunk_last(), [self = this->shared_from_this()](error_code ec, size_t) {
                self->writing = false;
                if (ec)
                    return self->close();
                self->complete();
            });
        }

        void complete()
        {
            this->done = true;
            this->session->answered(this->keepAlive);
        }

        void close()
        {
            if (this->done)
                return;
            this->done = true;
            this->session->shut();
            this->markGone();
        }

        std::shared_ptr<Session> session;
        const bool keepAlive;
        const unsigned version;
        // Used on the session's strand only.
        bool started = false;
        bool finished = false;
        bool writing = false;
        bool done = false;
        std::string current; // bytes of the write under way
        // Guarded by the mutex.
        std::mutex mutex;
        std::string pending;
        bool overflow = false;
        std::function<void()> goneCallback;
        std::atomic<bool> gone { false };
    };

    beast::tcp_stream& lowest() { return beast::get_lowest_layer(this->stream); }

    void expireWrite() { this->lowest().expires_after(toSteady(this->server->settings.writeTimeout)); }

    void handshake()
    {
        if constexpr (std::is_same_v<Stream, TlsStream>) {
            this->lowest().expires_after(toSteady(this->server->settings.receiveTimeout));
            this->stream.async_handshake(asio::ssl::stream_base::server, [self = this->shared_from_this()](error_code ec) {
                if (!ec)
                    self->waitForRequest();
            });
        } else {
            this->waitForRequest();
        }
    }

    // The idle time-out runs until the first byte, the receive time-out from there on.
    void waitForRequest()
    {
        this->parser.emplace();
        this->parser->header_limit(static_cast<uint32_t>(this->server->settings.maxHeaderBytes));
        this->parser->body_limit(this->server->settings.maxBodyBytes);
        if (this->buffer.size() > 0)
            return this->readHeader();
        this->lowest().expires_after(toSteady(this->server->settings.idleTimeout));
        this->stream.async_read_some(this->buffer.prepare(readAhead), [self = this->shared_from_this()](error_code ec, size_t bytes) {
            if (ec)
                return self->shut();
            self->buffer.commit(bytes);
            self->readHeader();
        });
    }

    void readHeader()
    {
        this->lowest().expires_never();
        this->startReceiveTimer();
        http::async_read_header(this->stream, this->buffer, *this->parser, [self = this->shared_from_this()](error_code ec, size_t) {
            if (ec)
                return self->refuse(self->failureOf(ec), ec);
            self->checkHeader();
        });
    }

    // A timer of its own: when the stream's time-out fires it closes the socket, and the sender would never see the reason.
    void startReceiveTimer()
    {
        this->receiveTimer.expires_after(toSteady(this->server->settings.receiveTimeout));
        this->receiveTimer.async_wait([self = this->shared_from_this()](error_code ec) {
            if (ec || self->reply)
                return;
            self->receiveTimedOut = true;
            self->lowest().cancel();
        });
    }

    Failure failureOf(const error_code& ec) const
    {
        if (this->receiveTimedOut)
            return { FailureKind::SlowSender, Disposition::NotRun, "the request did not arrive in time", std::chrono::seconds(1) };
        if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
            return { FailureKind::HeadersTooLarge, Disposition::NotRun, "the header block is too large", {} };
        if (ec == http::error::body_limit)
            return { FailureKind::BodyTooLarge, Disposition::NotRun, "the body is too large", {} };
        return { FailureKind::BadRequest, Disposition::NotRun, "malformed HTTP: " + ec.message(), {} };
    }

    void checkHeader()
    {
        const auto& fields = this->parser->get().base();
        if (hasAmbiguousLength(fields))
            return this->refuse({ FailureKind::BadRequest, Disposition::NotRun, "the length of the body is not certain", {} }, {});
        auto count = static_cast<size_t>(std::distance(fields.begin(), fields.end()));
        if (count > this->server->settings.maxHeaders)
            return this->refuse({ FailureKind::HeadersTooLarge, Disposition::NotRun, "too many headers", {} }, {});
        this->headers.clear();
        for (const auto& field : fields) // before the parser adds those of a trailer
            this->headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        if (beast::iequals(fields[http::field::expect], "100-continue"))
            return this->sendContinue();
        this->readBody();
    }

    void sendContinue()
    {
        static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(this->stream, asio::buffer(text), [self = this->shared_from_this()](error_code ec, size_t) {
            if (ec)
                return self->shut();
            self->readBody();
        });
    }

    void readBody()
    {
        http::async_read(this->stream, this->buffer, *this->parser, [self = this->shared_from_this()](error_code ec, size_t) {
            if (ec)
                return self->refuse(self->failureOf(ec), ec);
            self->handle();
        });
    }

    void handle()
    {
        this->receiveTimer.cancel();
        auto message = this->parser->release();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.headers = std::move(this->headers);
        request.body = std::move(message.body());
        error_code ec;
        auto endpoint = this->lowest().socket().remote_endpoint(ec);
        if (!ec)
            request.remoteAddress = endpoint.address().to_string();
        this->lowest().expires_never();
        this->reply = std::make_shared<Reply>(this->shared_from_this(), message.keep_alive() && !this->server->closing, message.version());
        auto held = this->reply;
        this->watchCaller(held);
        try {
            this->server->handler(std::move(request), held);
        } catch (const std::exception& error) { // it costs this connection; the request may have been passed on
            log(LogLevel::Error, "exception", { { "part", "connection of a caller" }, { "reason", error.what() } });
            this->shut();
        }
    }

    // Notices a caller that closes its connection while its request waits or runs.
    void watchCaller(const std::shared_ptr<Reply>& watched)
    {
        this->lowest().socket().async_wait(tcp::socket::wait_read, [self = this->shared_from_this(), watched](error_code ec) {
            if (ec || watched->isDone() || self->reply != watched)
                return;
            char byte = 0;
            error_code peekError;
            auto& socket = self->lowest().socket();
            error_code modeError;
            socket.non_blocking(true, modeError);
            size_t count = socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
            // Bytes that are there belong to a pipelined request or to TLS; the next write finds out whether the caller is still there.
            if (count > 0 || peekError == asio::error::would_block)
                return;
            // Ends the session too: nobody may ever write to an answer that no caller waits for.
            self->shut();
        });
    }

    void answered(bool keepAlive)
    {
        this->reply.reset();
        error_code ec;
        this->lowest().socket().cancel(ec); // ends the watch for the caller's close
        if (!keepAlive || this->server->closing)
            return this->shut();
        this->waitForRequest();
    }

    // Answers input that is no request, then closes the connection: what follows on it can't be told apart from the bad input.
    void refuse(const Failure& failure, const error_code& ec)
    {
        this->receiveTimer.cancel();
        if (!this->receiveTimedOut
            && (ec == http::error::end_of_stream || ec == asio::error::operation_aborted || ec == asio::error::connection_reset
                || ec == asio::error::eof))
            return this->shut();
        auto message = std::make_shared<http::response<http::string_body>>();
        message->version(11);
        message->result(static_cast<unsigned>(failureStatus(failure.kind)));
        message->set(http::field::content_type, "application/json");
        message->keep_alive(false);
        message->body() = this->server->faultBody(failure);
        message->prepare_payload();
        this->expireWrite();
        http::async_write(this->stream, *message, [self = this->shared_from_this(), message](error_code, size_t) { self->drainAndShut(); });
    }

    // Reads and drops a bounded part of what is still on its way: closing with unread bytes resets the connection and loses the answer.
    void drainAndShut()
    {
        error_code ec;
        this->lowest().socket().shutdown(tcp::socket::shutdown_send, ec);
        this->lowest().expires_after(drainTime);
        this->drain();
    }

    void drain()
    {
        this->lowest().async_read_some(asio::buffer(this->scratch), [self = this->shared_from_this()](error_code ec, size_t bytes) {
            self->drained += bytes;
            if (ec || self->drained > maxDrainedBytes)
                return self->shut();
            self->drain();
        });
    }

    void shut()
    {
        error_code ec;
        this->lowest().socket().shutdown(tcp::socket::shutdown_both, ec);
        this->lowest().close();
        if (auto current = this->reply) {
            this->reply.reset();
            current->markGone();
        }
    }

    static constexpr size_t readAhead = 4096;                  // bytes
    static constexpr size_t bodyReadBytes = 64 * 1024;         // that may wait for the parser beside a header
    static constexpr size_t maxDrainedBytes = 4 * 1024 * 1024; // bytes
    static constexpr std::chrono::steady_clock::duration drainTime = std::chrono::seconds(2);

    std::shared_ptr<HttpServerState> server;
    Stream stream;
    asio::steady_timer receiveTimer;
    bool receiveTimedOut = false;
    beast::flat_buffer buffer;       // bounded: a chunk's header and the trailer stay in it until they are whole
    std::vector<HttpHeader> headers; // of the request being received
    std::optional<http::request_parser<http::string_body>> parser;
    std::shared_ptr<Reply> reply;
    std::array<char, 16384> scratch {};
    size_t drained = 0;
};

// An exception that leaves a handler of one connection releases that connection; the others go on.
void runLoop(asio::io_context& context)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception& error) {
            log(LogLevel::Error, "exception", { { "part", "event loop" }, { "reason", error.what() } });
        }
    }
}

void accept(const std::shared_ptr<HttpServerState>& server)
{
    server->acceptor.async_accept(asio::make_strand(server->context), [server](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted || server->stopping)
            return;
        if (!ec && server->connections < server->settings.maxConnections) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            if (server->settings.certificateFile.empty())
                std::make_shared<Session<PlainStream>>(server, PlainStream(std::move(socket)))->run();
            else
                std::make_shared<Session<TlsStream>>(server, TlsStream(std::move(socket), server->tls))->run();
        }
        accept(server);
    });
}

Failure listenFailure(std::string message) { return { FailureKind::BadRequest, Disposition::NotRun, std::move(message), {} }; }

} // namespace

HttpServer::HttpServer(HttpServerSettings settings, HttpHandler handler, HttpFaultBody faultBody)
    : state(std::make_shared<HttpServerState>(std::move(settings), std::move(handler), std::move(faultBody)))
{
}

HttpServer::~HttpServer() { this->stop(); }

std::optional<Failure> HttpServer::start()
{
    auto& server = *this->state;
    error_code ec;
    auto address = asio::ip::make_address(server.settings.address, ec);
    if (ec)
        return listenFailure("listen address " + server.settings.address + ": " + ec.message());
    if (!server.settings.certificateFile.empty()) {
        server.tls.use_certificate_chain_file(server.settings.certificateFile, ec);
        if (!ec)
            server.tls.use_private_key_file(server.settings.keyFile, asio::ssl::context::pem, ec);
        if (ec)
            return listenFailure("TLS certificate or key: " + ec.message());
    }
    tcp::endpoint endpoint(address, server.settings.port);
    server.acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        server.acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        server.acceptor.bind(endpoint, ec);
    if (!ec)
        server.acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return listenFailure("listen on " + server.settings.address + ":" + std::to_string(server.settings.port) + ": " + ec.message());
    server.port = server.acceptor.local_endpoint().port();
    accept(this->state);
    for (unsigned i = 0; i < std::max(1U, server.settings.threads); ++i)
        server.threads.emplace_back([held = this->state] { runLoop(held->context); });
    return std::nullopt;
}

uint16_t HttpServer::port() const { return this->state->port; }

size_t HttpServer::answering() const { return this->state->answers; }

void HttpServer::closeAfterAnswers() { this->state->closing = true; }

void HttpServer::stopAccepting()
{
    this->state->closing = true;
    this->state->stopping = true;
    asio::post(this->state->context, [held = this->state] {
        error_code ec;
        held->acceptor.close(ec);
    });
}

void HttpServer::stop()
{
    this->stopAccepting();
    this->state->context.stop();
    for (auto& thread : this->state->threads) {
        if (thread.joinable())
            thread.join();
    }
    this->state->threads.clear();
}

} // namespace guavapond
