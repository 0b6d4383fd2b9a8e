// Implements the HTTP server: accepting connections, receiving requests with their limits and timeouts, and writing responses.
#include "edge/HttpListener.h"

#include "adapters/HttpFraming.h"

#include <cassert>
#include <sstream>

namespace guavapond::edge {

namespace {

constexpr size_t readBufferBytes = 16 * 1024;
constexpr size_t maxPipelinedBytes = 64 * 1024;                      // of pipelined requests while one is being handled
constexpr size_t maxUnsentBytes = 64 * 1024;                         // of answers, for a pipelined request to begin
constexpr size_t maxAllowance = 256 * 1024;                          // unsent bytes of one answer until its source pauses
constexpr size_t minAllowance = 16 * 1024;                           // the same where memory is short; holds several events of a stream
constexpr Duration stoppedAfter = std::chrono::milliseconds(250);    // a caller on a sound link takes something in this time
constexpr const char* refusalRetryAfter = "1";                       // seconds
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50); // at maxConnections or after an error, e.g. no free descriptor
constexpr Duration lingerTime = std::chrono::milliseconds(500);      // for the caller to read the end of its answer and to close
constexpr Duration firstRequestTime = std::chrono::seconds(1);       // for a new connection to send a request, before it counts as idle

template <typename Header> void appendHead(std::string& output, const Header& head)
{
    std::ostringstream text;
    text << head;
    output += text.str();
}

} // namespace

LocalResponse makeErrorResponse(unsigned status, std::string_view reason)
{
    LocalResponse response;
    response.status = status;
    response.body = "{\"error\":\"" + std::string(reason) + "\"}";
    return response;
}

http::response<http::string_body> makeResponse(const LocalResponse& response)
{
    http::response<http::string_body> message;
    message.result(response.status);
    message.body() = response.body;
    for (const auto& field : response.fields)
        message.insert(field.name_string(), field.value());
    if (!response.body.empty())
        message.set(http::field::content_type, response.contentType);
    return message;
}

CallerConnection::CallerConnection(tcp::socket connected, HttpListener& listener, uint64_t number)
    : socket(std::move(connected))
    , listener(listener)
    , timer(listener.loop)
    , transmitWatch(listener.loop, this->socket, ConnectionSettings {}.unacknowledgedTimeout)
    , number(number)
{
}

void CallerConnection::start()
{
    tuneSocket(this->socket, {});
    this->openedAt = bootTime();
    this->arm(TimerUse::Idle, this->listener.limits().idleTimeout);
    this->read();
}

bool CallerConnection::isIdle(TimePoint now)
{
    if (!this->open || this->handling || this->receiving || this->isLingering || this->hasUnread())
        return false;
    if (!this->hasAnswered && now - this->openedAt < firstRequestTime)
        return false;
    boost::system::error_code ignored; // a socket that is lost has nothing to read
    return this->input.size() == 0 && this->socket.available(ignored) == 0;
}

template <typename Step> void CallerConnection::contain(const Step& step)
{
    const auto self = this->shared_from_this();
    try {
        step();
    } catch (const std::exception& error) {
        if (this->listener.settings.exceptionContained)
            this->listener.settings.exceptionContained("connection of a caller", error);
        this->closeIncomplete();
    }
}

void CallerConnection::arm(TimerUse use, Duration bound)
{
    const uint64_t generation = ++this->timerGeneration;
    this->timer.expires_after(bound);
    this->timer.async_wait([self = this->shared_from_this(), use, generation](boost::system::error_code error) {
        if (error || !self->open || generation != self->timerGeneration)
            return;
        self->contain([&] { self->onExpired(use); });
    });
}

void CallerConnection::onExpired(TimerUse use)
{
    if (use == TimerUse::Head || use == TimerUse::Body)
        return this->refuse(http::status::request_timeout, "the request did not arrive in time");
    // A caller that reads slowly is not idle.
    const Duration left = this->readBy - bootTime();
    if (left <= Duration::zero() || !this->hasUnread())
        return this->close();
    this->arm(use, std::min(left, use == TimerUse::Idle ? this->listener.limits().idleTimeout : lingerTime));
}

bool CallerConnection::hasUnread() { return this->unsentBytes() > 0 || unacknowledgedBytes(this->socket) > 0; }

void CallerConnection::read()
{
    const bool hasEnough = !this->mayBeginRequest() && (this->input.size() >= maxPipelinedBytes || this->listener.isFull());
    if (this->input.isReading() || !this->open || hasEnough)
        return;
    const std::span<char> space = this->input.beginRead(readBufferBytes);
    this->socket.async_read_some(
        net::buffer(space.data(), space.size()), [self = this->shared_from_this()](boost::system::error_code error, size_t count) {
            self->input.endRead(count);
            if (self->open)
                self->contain([&] { self->onRead(error); });
        });
}

void CallerConnection::onRead(boost::system::error_code error)
{
    if (error)
        return this->close();
    this->receivedAt = bootTime();
    if (this->handling)
        this->isPipelined = true;
    this->parse();
    this->countReceivedBytes();
    this->listener.limitReceivedBytes();
    this->read();
}

void CallerConnection::countReceivedBytes()
{
    const size_t body = this->receiving && this->parser ? this->parser->get().body().size() : this->handledBytes;
    const size_t held = this->open ? this->input.size() + body : 0;
    this->listener.receivedBytes += held - this->countedBytes; // unsigned arithmetic also subtracts
    this->countedBytes = held;
}

void CallerConnection::countUnsentBytes()
{
    const size_t held = this->open ? this->unsentBytes() : 0;
    if (this->countedUnsent == 0 && held > 0)
        this->queuedAt = this->writtenAt = bootTime();
    this->listener.unsentBytes += held - this->countedUnsent; // unsigned arithmetic also subtracts
    this->countedUnsent = held;
    if (this->listener.unsentBytes <= this->listener.settings.maxUnsentBytes || std::exchange(this->listener.isLimiting, true))
        return;
    // From the event loop, since it may end the answer that is being written here.
    net::post(this->listener.loop, [&listener = this->listener] { listener.limitUnsentBytes(); });
}

bool CallerConnection::isSlowerThan(const CallerConnection& other, TimePoint now) const
{
    const bool hasStopped = now - this->writtenAt > stoppedAfter;
    const bool hasOtherStopped = now - other.writtenAt > stoppedAfter;
    if (hasStopped != hasOtherStopped)
        return hasStopped;
    return hasStopped ? this->writtenAt < other.writtenAt : this->queuedAt < other.queuedAt;
}

bool CallerConnection::isMemoryShort() const { return this->listener.isMemoryShort(); }

bool CallerConnection::isBehind() const { return this->unsentBytes() > this->listener.unsentAllowance(); }

void CallerConnection::dropAnswer()
{
    this->contain([&] {
        if (this->listener.settings.answerDropped)
            this->listener.settings.answerDropped(this->unsentBytes());
        this->closeIncomplete();
    });
}

bool CallerConnection::mayBeginRequest() const { return !this->handling && this->unsentBytes() <= maxUnsentBytes; }

void CallerConnection::refuseForMemory() { this->refuse(http::status::service_unavailable, "the node holds too many unfinished requests"); }

void CallerConnection::parse()
{
    if (this->closeAfterWrite)
        return this->input.consume(this->input.size());
    const CallerLimits limits = this->listener.limits();
    while (this->open && (this->receiving || this->mayBeginRequest()) && this->input.size() > 0) {
        if (!this->receiving) {
            this->skipBlankLines();
            if (this->input.size() == 0 || this->input.bytes() == "\r")
                return;
            this->parser.emplace();
            this->parser->header_limit(limits.headerBytes);
            this->parser->body_limit(limits.bodyBytes);
            this->receiving = true;
            this->headDone = false;
            this->chunkedHead.reset();
            this->arm(TimerUse::Head, limits.headerTimeout);
        }
        boost::system::error_code error;
        const size_t used = this->parser->put(net::buffer(this->input.bytes()), error);
        this->input.consume(used);
        if (error == http::error::header_limit)
            return this->refuse(http::status::request_header_fields_too_large, "the header is too large");
        if (error == http::error::body_limit)
            return this->refuse(http::status::payload_too_large, "the body is too large");
        if (error && error != http::error::need_more)
            return this->refuse(http::status::bad_request, "the request can't be read");
        if (!this->headDone && this->parser->is_header_done()) {
            this->headDone = true;
            this->parser->eager(true);
            if (this->parser->chunked())
                this->chunkedHead = this->parser->get().base();
            if (hasAmbiguousLength(this->parser->get().base()))
                return this->refuse(http::status::bad_request, "the length of the body is not certain");
            if (boost::beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
                this->output += "HTTP/1.1 100 Continue\r\n\r\n";
                this->write();
            }
            this->arm(TimerUse::Body, limits.idleTimeout);
        }
        if (this->parser->is_done())
            return this->onRequestComplete();
        if (used == 0 || error == http::error::need_more) {
            // The parser keeps a chunk's header and the trailer until they are whole.
            if (this->headDone && this->input.size() > limits.headerBytes)
                return this->refuse(http::status::request_header_fields_too_large, "the header of a chunk or the trailer is too large");
            return;
        }
    }
}

// Some clients end a body with an additional line end. The time for an idle connection goes on.
void CallerConnection::skipBlankLines()
{
    constexpr std::string_view lineEnd = "\r\n";
    while (this->input.bytes().starts_with(lineEnd))
        this->input.consume(lineEnd.size());
}

void CallerConnection::onRequestComplete()
{
    assert(!this->handling && "one request at a time");
    if (!this->isPipelined)
        this->transmitWatch.heard();
    this->receiving = false;
    this->handling = true;
    ++this->timerGeneration; // while it is handled, only the deadline of the request itself applies
    this->timer.cancel();
    http::request<ReceivedBody> received = this->parser->release();
    if (this->chunkedHead)
        received.base() = *std::exchange(this->chunkedHead, {});
    CallerRequest request { http::request<http::string_body>(std::move(received.base()), std::move(received.body())), bootTime(),
        this->number, ++this->requests, std::exchange(this->isPipelined, this->input.size() > 0) };
    this->parser.reset();
    this->handledBytes = request.message.body().size();
    this->version = request.message.version();
    this->keepAlive = request.message.keep_alive();
    this->isHeadRequest = request.message.method() == http::verb::head;
    this->listener.handler(this->shared_from_this(), std::move(request));
}

void CallerConnection::refuse(http::status status, std::string_view reason)
{
    this->handling = true;
    this->closing = true;
    if (this->listener.settings.requestRefused)
        this->listener.settings.requestRefused(status);
    LocalResponse response = makeErrorResponse(static_cast<unsigned>(status), reason);
    if (status == http::status::service_unavailable)
        response.fields.set(http::field::retry_after, refusalRetryAfter);
    this->sendResponse(makeResponse(response));
    this->parser.reset();
}

void CallerConnection::setConnectionFields(http::fields& fields)
{
    fields.erase(http::field::connection);
    fields.erase(http::field::keep_alive);
    if (!this->listener.keepAliveEnabled)
        this->closing = true;
    const bool closes = this->closing || !this->keepAlive || (this->version < http11 && !this->chunked);
    if (closes)
        fields.set(http::field::connection, "close");
    this->closeAfterWrite = closes;
}

void CallerConnection::sendResponse(http::response<http::string_body> message)
{
    if (!this->open)
        return;
    assert(this->handling && "a request has one answer");
    message.version(http11);
    this->setConnectionFields(message.base());
    const bool hasNoBody = message.result_int() == static_cast<unsigned>(http::status::no_content)
        || message.result_int() == static_cast<unsigned>(http::status::not_modified);
    if (!hasNoBody && !this->isHeadRequest)
        message.content_length(message.body().size());
    appendHead(this->output, message.base());
    if (!this->isHeadRequest && !hasNoBody)
        this->output += message.body();
    this->finish();
}

void CallerConnection::beginStream(http::response_header<> head)
{
    if (!this->open)
        return;
    assert(this->handling && "a request has one answer");
    head.version(http11);
    this->chunked = this->version >= http11;
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
    this->disconnectHook = {};
    this->closeIncomplete();
}

void CallerConnection::closeIncomplete()
{
    // Without chunked encoding, closing the connection marks the end of the response, so only a reset shows that it is incomplete.
    boost::system::error_code ignored; // the socket is closed even if the option can't be set
    if (!this->chunked)
        this->socket.set_option(net::socket_base::linger(true, 0), ignored);
    this->close();
}

void CallerConnection::finish()
{
    this->disconnectHook = {};
    this->drainedHook = {};
    this->handling = false;
    this->hasAnswered = true;
    this->receiving = false;
    this->chunked = false;
    this->handledBytes = 0;
    this->countReceivedBytes();
    const TimePoint now = bootTime();
    this->readBy = std::max(this->deadline, now + this->listener.settings.writeTimeout);
    this->write();
    if (!this->open)
        return;
    if (this->closeAfterWrite)
        return this->arm(TimerUse::Write, this->readBy - now);
    this->arm(TimerUse::Idle, this->listener.limits().idleTimeout);
    // The next request may already be in the buffer. It is handled from the event loop, to avoid recursion into the request handler.
    net::post(this->listener.loop, [self = this->shared_from_this()] {
        if (self->open)
            self->contain([&] { self->resume(); });
    });
}

void CallerConnection::resume()
{
    this->parse();
    this->countReceivedBytes();
    this->read();
}

void CallerConnection::write()
{
    this->countUnsentBytes();
    if (this->isWriting || !this->open)
        return;
    if (this->output.empty()) {
        if (this->closeAfterWrite && !this->handling)
            this->closeWhenRead();
        return;
    }
    this->isWriting = true;
    this->writing.swap(this->output);
    const auto self = this->shared_from_this();
    const auto untilAll = [self](boost::system::error_code error, size_t sent) {
        if (sent > 0)
            self->writtenAt = bootTime();
        return net::transfer_all()(error, sent);
    };
    this->transmitWatch.written(this->writing.size(), self, [this] { this->contain([&] { this->close(); }); });
    net::async_write(this->socket, net::buffer(this->writing), untilAll, [self](boost::system::error_code error, size_t) {
        self->isWriting = false;
        self->writing.clear();
        if (self->writing.capacity() > maxAllowance)
            self->writing.shrink_to_fit();
        if (!self->open)
            return;
        self->contain([&] {
            self->countUnsentBytes();
            self->onWritten(error);
        });
    });
}

// Closing a socket with bytes that were not read resets the connection, and a reset makes the other side drop what it has not read yet.
// So only the sending half is closed first, and what still arrives is discarded until the caller closes too.
void CallerConnection::closeWhenRead()
{
    if (this->isLingering)
        return;
    this->isLingering = true;
    boost::system::error_code ignored; // the caller may have closed the connection first; then the next read says so
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->arm(TimerUse::Linger, lingerTime);
    this->read();
}

void CallerConnection::onWritten(boost::system::error_code error)
{
    if (error)
        return this->close();
    if (this->output.empty() && this->drainedHook)
        this->drainedHook();
    this->write();
    if (this->open && this->input.size() > 0 && this->mayBeginRequest())
        this->resume(); // a request may have waited for the answers before it
}

void CallerConnection::close()
{
    if (!this->open)
        return;
    this->open = false;
    this->timer.cancel();
    this->transmitWatch.stop();
    const auto self = this->shared_from_this();
    boost::system::error_code ignored; // the caller may have closed the connection first
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->socket.close(ignored);
    this->countReceivedBytes();
    this->countUnsentBytes();
    this->listener.openConnections.erase(self);
    const auto hook = std::move(this->disconnectHook);
    this->disconnectHook = {};
    this->drainedHook = {};
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
    if (this->openConnections.size() >= this->settings.maxConnections) {
        this->retry.expires_after(acceptRetryDelay);
        return this->retry.async_wait([this](boost::system::error_code) { this->accept(); });
    }
    this->acceptPending = true;
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        this->acceptPending = false;
        if (!error)
            this->add(std::move(socket));
        if (!this->accepting)
            return;
        if (error) {
            this->retry.expires_after(acceptRetryDelay);
            return this->retry.async_wait([this](boost::system::error_code) { this->accept(); });
        }
        this->accept();
    });
}

void HttpListener::add(tcp::socket socket)
{
    const auto connection = std::make_shared<CallerConnection>(std::move(socket), *this, ++this->accepted);
    this->openConnections.insert(connection);
    connection->start();
}

void HttpListener::limitReceivedBytes()
{
    while (this->isFull()) {
        CallerPointer oldest;
        for (const CallerPointer& connection : this->openConnections) {
            if (connection->isReceiving() && (!oldest || connection->lastReceivedAt() < oldest->lastReceivedAt()))
                oldest = connection;
        }
        if (!oldest)
            return;
        oldest->refuseForMemory();
    }
}

size_t HttpListener::unsentAllowance() const
{
    const double used = static_cast<double>(this->unsentBytes) / static_cast<double>(std::max<size_t>(this->settings.maxUnsentBytes, 1));
    const double left = std::clamp(2 * (1 - used), 0.0, 1.0); // the whole allowance until half of the memory is used
    return std::max(static_cast<size_t>(left * static_cast<double>(maxAllowance)), minAllowance);
}

size_t HttpListener::slowCallers() const
{
    return static_cast<size_t>(std::count_if(this->openConnections.begin(), this->openConnections.end(),
        [](const CallerPointer& connection) { return connection->isPeerSlow(); }));
}

void HttpListener::limitUnsentBytes()
{
    this->isLimiting = false;
    const TimePoint now = bootTime();
    while (this->unsentBytes > this->settings.maxUnsentBytes) {
        CallerPointer slowest;
        for (const CallerPointer& connection : this->openConnections) {
            const bool isLarge = connection->unsentBytes() > minAllowance;
            if (isLarge && (!slowest || connection->isSlowerThan(*slowest, now)))
                slowest = connection;
        }
        if (!slowest)
            return;
        slowest->dropAnswer();
    }
}

void HttpListener::disableKeepAlive() { this->keepAliveEnabled = false; }

void HttpListener::closeIdle(TimePoint now)
{
    const std::set<CallerPointer> snapshot = this->openConnections; // since close() erases from `openConnections`
    for (const CallerPointer& connection : snapshot) {
        if (connection->isIdle(now))
            connection->close();
    }
}

void HttpListener::closeAll()
{
    const std::set<CallerPointer> snapshot = this->openConnections; // since close() erases from `openConnections`
    for (const CallerPointer& connection : snapshot)
        connection->close();
}

void HttpListener::stopAccepting()
{
    // Connections that wait in the kernel are reset when the socket closes, with the requests that they may have sent already.
    boost::system::error_code none;
    this->acceptor.non_blocking(true, none);
    while (!none) {
        tcp::socket socket(this->loop);
        this->acceptor.accept(socket, none);
        if (!none)
            this->add(std::move(socket));
    }
    this->shutDown();
}

void HttpListener::shutDown()
{
    this->accepting = false;
    boost::system::error_code ignored; // no further connection is accepted even if an error is reported
    this->acceptor.close(ignored);
}

} // namespace guavapond::edge
