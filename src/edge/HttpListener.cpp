// States of an incoming connection.
#include "edge/HttpListener.h"

#include <sstream>

namespace guavapond::edge {

namespace {

constexpr size_t readBytes = 16 * 1024;
constexpr size_t mostBuffered = 64 * 1024;                      // of further requests while one is being answered
constexpr Duration acceptRetry = std::chrono::milliseconds(50); // after descriptors ran out
constexpr unsigned httpOneOne = 11;

template <typename Header> void appendHead(std::string& output, const Header& head)
{
    std::ostringstream text;
    text << head;
    output += text.str();
}

// Bytes after a transfer encoding that is not understood would be read as a further request.
bool hasUnknownFraming(const http::fields& fields)
{
    const auto range = fields.equal_range(http::field::transfer_encoding);
    if (range.first == range.second)
        return false;
    return std::next(range.first) != range.second || !boost::beast::iequals(range.first->value(), "chunked")
        || fields.count(http::field::content_length) > 0;
}

} // namespace

LocalResponse makeErrorResponse(unsigned status, std::string_view reason)
{
    LocalResponse answer;
    answer.status = status;
    answer.body = "{\"error\":\"" + std::string(reason) + "\"}";
    return answer;
}

http::response<http::string_body> makeResponse(const LocalResponse& answer)
{
    http::response<http::string_body> message;
    message.result(answer.status);
    message.body() = answer.body;
    for (const auto& field : answer.fields)
        message.insert(field.name_string(), field.value());
    if (!answer.body.empty())
        message.set(http::field::content_type, answer.contentType);
    return message;
}

CallerConnection::CallerConnection(tcp::socket connected, HttpListener& listener)
    : socket(std::move(connected))
    , listener(listener)
    , timer(listener.loop)
{
}

void CallerConnection::start()
{
    tuneSocket(this->socket, {});
    this->arm(TimerUse::Idle, this->listener.limits().idleTimeout);
    this->read();
}

void CallerConnection::arm(TimerUse use, Duration bound)
{
    const uint64_t round = ++this->timerGeneration;
    this->timer.expires_after(bound);
    this->timer.async_wait([self = this->shared_from_this(), use, round](boost::system::error_code error) {
        if (error || !self->open || round != self->timerGeneration)
            return;
        if (use == TimerUse::Head || use == TimerUse::Body)
            self->refuse(http::status::request_timeout, "the request did not arrive in time");
        else
            self->close();
    });
}

void CallerConnection::read()
{
    if (this->reading || !this->open || (this->handling && this->input.size() >= mostBuffered))
        return;
    this->reading = true;
    this->socket.async_read_some(
        this->input.prepare(readBytes), [self = this->shared_from_this()](boost::system::error_code error, size_t count) {
            self->reading = false;
            if (!self->open)
                return;
            if (error)
                return self->close();
            self->input.commit(count);
            if (!self->handling)
                self->parse();
            self->read();
        });
}

void CallerConnection::parse()
{
    if (this->closeAfterWrite)
        return this->input.consume(this->input.size());
    const CallerLimits limits = this->listener.limits();
    while (this->open && !this->handling && this->input.size() > 0) {
        if (!this->receiving) {
            this->parser.emplace();
            this->parser->header_limit(limits.headerBytes);
            this->parser->body_limit(limits.bodyBytes);
            this->parser->eager(true);
            this->receiving = true;
            this->headDone = false;
            this->arm(TimerUse::Head, limits.headerTimeout);
        }
        boost::system::error_code error;
        const size_t used = this->parser->put(this->input.data(), error);
        this->input.consume(used);
        if (error == http::error::header_limit)
            return this->refuse(http::status::request_header_fields_too_large, "the header is too large");
        if (error == http::error::body_limit)
            return this->refuse(http::status::payload_too_large, "the body is too large");
        if (error && error != http::error::need_more)
            return this->refuse(http::status::bad_request, "the request can't be read");
        if (!this->headDone && this->parser->is_header_done()) {
            this->headDone = true;
            if (hasUnknownFraming(this->parser->get().base()))
                return this->refuse(http::status::bad_request, "the length of the body is not certain");
            if (boost::beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
                this->output += "HTTP/1.1 100 Continue\r\n\r\n";
                this->write();
            }
            this->arm(TimerUse::Body, limits.idleTimeout);
        }
        if (this->parser->is_done())
            return this->onRequestComplete();
        if (used == 0 || error == http::error::need_more)
            return;
    }
}

void CallerConnection::onRequestComplete()
{
    this->receiving = false;
    this->handling = true;
    ++this->timerGeneration; // no bound but the request's own
    this->timer.cancel();
    CallerRequest request { this->parser->release(), bootTime() };
    this->parser.reset();
    this->version = request.message.version();
    this->keepAlive = request.message.keep_alive();
    this->isHeadRequest = request.message.method() == http::verb::head;
    this->listener.handler(this->shared_from_this(), std::move(request));
}

void CallerConnection::refuse(http::status status, std::string_view reason)
{
    this->handling = true;
    this->closing = true;
    this->sendResponse(makeResponse(makeErrorResponse(static_cast<unsigned>(status), reason)));
}

void CallerConnection::setConnectionFields(http::fields& fields)
{
    fields.erase(http::field::connection);
    fields.erase(http::field::keep_alive);
    if (!this->listener.keepAliveEnabled)
        this->closing = true;
    const bool last = this->closing || !this->keepAlive || (this->version < httpOneOne && !this->chunked);
    if (last)
        fields.set(http::field::connection, "close");
    this->closeAfterWrite = last;
}

void CallerConnection::sendResponse(http::response<http::string_body> message)
{
    if (!this->open)
        return;
    message.version(httpOneOne);
    this->setConnectionFields(message.base());
    const bool bodiless = message.result_int() == static_cast<unsigned>(http::status::no_content)
        || message.result_int() == static_cast<unsigned>(http::status::not_modified);
    if (!bodiless && !this->isHeadRequest)
        message.content_length(message.body().size());
    appendHead(this->output, message.base());
    if (!this->isHeadRequest && !bodiless)
        this->output += message.body();
    this->finish();
}

void CallerConnection::beginStream(http::response_header<> head)
{
    if (!this->open)
        return;
    head.version(httpOneOne);
    this->chunked = this->version >= httpOneOne;
    this->setConnectionFields(head);
    head.erase(http::field::content_length);
    head.erase(http::field::transfer_encoding);
    if (this->chunked)
        head.set(http::field::transfer_encoding, "chunked");
    appendHead(this->output, head);
    this->write();
}

void CallerConnection::sendPiece(std::string_view piece)
{
    if (!this->open || piece.empty() || this->isHeadRequest)
        return;
    if (this->chunked) {
        const auto chunk = http::make_chunk(net::const_buffer(piece.data(), piece.size()));
        for (const net::const_buffer part : boost::beast::buffers_range_ref(chunk))
            this->output.append(static_cast<const char*>(part.data()), part.size());
    } else
        this->output += piece;
    this->write();
}

void CallerConnection::endStream()
{
    if (!this->open)
        return;
    if (this->chunked && !this->isHeadRequest)
        this->output += "0\r\n\r\n";
    this->finish();
}

void CallerConnection::abortResponse()
{
    // Where the end of the connection is the end of the answer, only a reset tells that the answer is not whole.
    boost::system::error_code ignored; // the socket is closed in any case
    if (!this->chunked)
        this->socket.set_option(net::socket_base::linger(true, 0), ignored);
    this->gone = {};
    this->close();
}

void CallerConnection::finish()
{
    this->gone = {};
    this->drained = {};
    this->handling = false;
    this->receiving = false;
    this->chunked = false;
    this->write();
    if (!this->open || this->closeAfterWrite)
        return this->arm(TimerUse::Write, this->listener.settings.writeTimeout);
    this->arm(TimerUse::Idle, this->listener.limits().idleTimeout);
    // The next request may have arrived already; it is handled from the loop, so that answers do not nest.
    net::post(this->listener.loop, [self = this->shared_from_this()] {
        if (!self->open || self->handling)
            return;
        self->parse();
        self->read();
    });
}

void CallerConnection::write()
{
    if (this->isWriting || !this->open)
        return;
    if (this->output.empty()) {
        if (this->closeAfterWrite && !this->handling)
            this->close();
        return;
    }
    this->isWriting = true;
    this->writing.swap(this->output);
    net::async_write(this->socket, net::buffer(this->writing), [self = this->shared_from_this()](boost::system::error_code error, size_t) {
        self->isWriting = false;
        self->writing.clear();
        if (!self->open)
            return;
        if (error)
            return self->close();
        if (self->output.empty() && self->drained)
            self->drained();
        self->write();
    });
}

void CallerConnection::close()
{
    if (!this->open)
        return;
    this->open = false;
    this->timer.cancel();
    const auto self = this->shared_from_this();
    boost::system::error_code ignored; // the other side may have closed first
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->socket.close(ignored);
    this->listener.open.erase(self);
    const auto hook = std::move(this->gone);
    this->gone = {};
    this->drained = {};
    if (hook)
        hook();
}

HttpListener::HttpListener(net::io_context& loop, const ListenerSettings& settings, Handler handler, std::function<CallerLimits()> limits)
    : loop(loop)
    , settings(settings)
    , handler(std::move(handler))
    , limits(std::move(limits))
    , acceptor(loop)
    , retry(loop)
{
}

void HttpListener::listen()
{
    const tcp::endpoint endpoint(net::ip::make_address(this->settings.address.ip), this->settings.address.port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(net::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->accepting = true;
    this->accept();
}

void HttpListener::accept()
{
    if (!this->accepting)
        return;
    if (this->open.size() >= this->settings.maxConnections) {
        this->retry.expires_after(acceptRetry);
        return this->retry.async_wait([this](boost::system::error_code) { this->accept(); });
    }
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (!this->accepting)
            return;
        if (error) {
            this->retry.expires_after(acceptRetry);
            return this->retry.async_wait([this](boost::system::error_code) { this->accept(); });
        }
        const auto connection = std::make_shared<CallerConnection>(std::move(socket), *this);
        this->open.insert(connection);
        connection->start();
        this->accept();
    });
}

void HttpListener::disableKeepAlive() { this->keepAliveEnabled = false; }

void HttpListener::closeIdle()
{
    const std::set<CallerPointer> copy = this->open;
    for (const CallerPointer& connection : copy) {
        if (connection->isIdle())
            connection->close();
    }
}

void HttpListener::shutDown()
{
    this->accepting = false;
    boost::system::error_code ignored; // nothing further is accepted either way
    this->acceptor.close(ignored);
}

} // namespace guavapond::edge
