// Implements the HTTP client on Boost.Asio: connecting, sending a request, parsing the response with Boost.Beast, and the pool of idle
// connections.
#include "edge/HttpClient.h"

#include "scheduling/WorkspaceQuota.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <ctime>
#include <limits>
#include <netinet/tcp.h>

namespace guavapond::edge {

namespace {

constexpr size_t readBufferBytes = 16 * 1024;
constexpr uint32_t maxResponseHeadBytes = 64 * 1024;
constexpr Duration idleMargin = std::chrono::seconds(1); // an idle connection is no longer used this long before the server closes it
constexpr int64_t maxKeepAliveSeconds = 3600;            // keeps the conversion to a duration in range
constexpr int keepAliveProbes = 2;                       // without a reply, until the connection counts as lost
constexpr unsigned firstStatus = 100;
constexpr unsigned firstFinalStatus = 200; // lower status codes are informational; a further response follows
constexpr unsigned endOfStatuses = 600;    // RFC 9110 names no status code from here on

// Returns the value of `timeout=` in a Keep-Alive header field; empty if there is none.
std::optional<Duration> keepAliveTimeout(std::string_view field)
{
    constexpr std::string_view name = "timeout=";
    const size_t at = field.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    int64_t seconds = 0;
    const std::string_view digits = field.substr(at + name.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(std::clamp<int64_t>(seconds, 0, maxKeepAliveSeconds));
}

// True of a text like "HTTP/1.1 200", which begins a response.
bool holdsStatus(std::string_view text)
{
    constexpr std::string_view start = "HTTP/1.";
    constexpr size_t statusAt = start.size() + 2; // behind the minor version and a space
    for (size_t at = text.find(start); at != std::string_view::npos; at = text.find(start, at + 1)) {
        const std::string_view status = text.substr(std::min(at + statusAt, text.size()), 3);
        if (status.size() == 3 && text[at + statusAt - 1] == ' ' && status.find_first_not_of("0123456789") == std::string_view::npos)
            return true;
    }
    return false;
}

// A response that broke off in its head is continued by the next one, whose fields are then read as those of the first.
bool isJoined(const http::response_header<>& head)
{
    return holdsStatus(head.reason())
        || std::any_of(head.begin(), head.end(), [](const auto& field) { return holdsStatus(field.value()); });
}

template <int Level, int Name> using IntegerOption = net::detail::socket_option::integer<Level, Name>;

} // namespace

TimePoint bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

RequestTag requestTag(std::string_view requestId) { return RequestTag { nameHash(requestId) }; }

std::string_view connectionFaultName(ConnectionFault fault)
{
    static constexpr std::array<std::string_view, 6> names { "unreachable", "closed", "malformed", "withdrawn", "too_large", "internal" };
    return names.at(static_cast<size_t>(fault));
}

void tuneSocket(tcp::socket& socket, const ConnectionSettings& settings)
{
    // A socket on which an option can't be set remains usable; if the connection is lost, the next read or write reports it.
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(net::socket_base::keep_alive(true), ignored);
    const auto probe
        = static_cast<int>(std::max<int64_t>(1, std::chrono::duration_cast<std::chrono::seconds>(settings.keepAliveProbeInterval).count()));
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(probe), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(probe), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(keepAliveProbes), ignored);
    socket.set_option(
        IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(toMilliseconds(settings.unacknowledgedTimeout))), ignored);
}

ClientConnection::ClientConnection(net::io_context& loop, const Address& address, const ConnectionSettings& settings, uint64_t number)
    : loop(loop)
    , socket(loop)
    , timer(loop)
    , transmitWatch(loop, this->socket, settings.unacknowledgedTimeout)
    , remote(address)
    , settings(settings)
    , ownNumber(number)
{
}

void ClientConnection::resetParser()
{
    this->parser.emplace();
    this->parser->header_limit(maxResponseHeadBytes);
    this->parser->body_limit(std::numeric_limits<uint64_t>::max()); // maxBodyBytes is checked here
    this->parser->eager(false); // until the head was seen, so that fields of a trailer don't count as fields of the head
    this->parser->skip(!this->expectsBody);
    this->headSeen = false;
    this->skipping = false;
    this->headBytes = 0;
    this->bodyBytes = 0;
}

bool ClientConnection::reserve(std::optional<RequestTag> tag)
{
    if (tag && std::find(this->carried.begin(), this->carried.end(), *tag) != this->carried.end())
        return false;
    if (tag)
        this->carried.push_back(*tag);
    this->reserved = true;
    return true;
}

bool ClientConnection::isQuiet()
{
    if (!this->connected || this->busy)
        return false;
    char next = 0;
    boost::system::error_code error;
    this->socket.non_blocking(true, error);
    this->socket.receive(net::buffer(&next, 1), net::socket_base::message_peek, error);
    return error == net::error::would_block;
}

void ClientConnection::start(std::string requestHead, std::shared_ptr<const std::string> requestBody, bool withBody, ResponseHooks hooks)
{
    assert(this->reserved && !this->busy);
    this->reserved = false;
    this->head = std::move(requestHead);
    this->body = std::move(requestBody);
    this->expectsBody = withBody;
    this->events = std::make_shared<const ResponseHooks>(std::move(hooks));
    this->busy = true;
    ++this->requestCount;
    this->anyByteSent = false;
    this->skippedBytes = 0;
    this->informationalResponses = 0;
    this->resetParser();
    if (this->connected)
        this->send();
    else
        this->connect();
}

template <typename Step> void ClientConnection::contain(const Step& step)
{
    const auto self = this->shared_from_this();
    try {
        step();
    } catch (const std::exception& error) {
        if (this->settings.exceptionContained)
            this->settings.exceptionContained("connection to a server", error);
        this->fail(ConnectionFault::Internal);
    }
}

void ClientConnection::connect()
{
    const auto self = this->shared_from_this();
    this->timer.expires_after(this->settings.connectTimeout);
    this->timer.async_wait([self](boost::system::error_code error) {
        if (!error && self->open && !self->connected)
            self->contain([&] { self->fail(ConnectionFault::Unreachable); });
    });
    boost::system::error_code badAddress;
    const auto ip = net::ip::make_address(this->remote.ip, badAddress);
    if (badAddress) {
        net::post(this->loop, [self] { self->contain([&] { self->fail(ConnectionFault::Unreachable); }); });
        return;
    }
    this->socket.async_connect({ ip, this->remote.port }, [self](boost::system::error_code error) {
        if (!self->open)
            return;
        self->timer.cancel();
        self->contain([&] { self->onConnected(error); });
    });
}

void ClientConnection::onConnected(boost::system::error_code error)
{
    if (error)
        return this->fail(ConnectionFault::Unreachable);
    this->connected = true;
    tuneSocket(this->socket, this->settings);
    this->read();
    this->send();
}

void ClientConnection::send()
{
    const auto hooks = this->events;
    if (hooks->beforeSend && !hooks->beforeSend())
        return this->fail(ConnectionFault::Cancelled);
    const auto self = this->shared_from_this();
    this->anyByteSent = true;
    this->sending = true;
    const std::array<net::const_buffer, 2> buffers { net::buffer(this->head), net::buffer(*this->body) };
    this->transmitWatch.written(net::buffer_size(buffers), self, [this] { this->contain([&] { this->fail(ConnectionFault::Closed); }); });
    net::async_write(this->socket, buffers, [self](boost::system::error_code error, size_t sent) {
        self->sending = error && sent > 0;
        if (!error || !self->open)
            return;
        if (sent == 0) {
            self->anyByteSent = false;
            return self->contain([&] { self->fail(ConnectionFault::Closed); });
        }
        // An answer may have arrived before the connection was lost. The read that finds the end of the connection fails the request.
        self->contain([&] { self->read(); });
    });
}

// An end of file alone doesn't say that the server has closed the connection in order: a write may have consumed the error of a reset, and
// no read reports a reset behind the end. A server that has not received the whole request answers too early for an end to be told from a
// loss.
bool ClientConnection::hasEndedInOrder()
{
    if (this->sending)
        return false;
    tcp_info info {};
    socklen_t size = sizeof(info);
    // Where the system can't tell, the end of file decides.
    if (unacknowledgedBytes(this->socket) > 0)
        return false;
    return getsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state != TCP_CLOSE;
}

void ClientConnection::read()
{
    if (this->input.isReading() || this->isWaiting || this->paused || !this->open)
        return;
    if (!this->busy)
        return this->waitForBytes();
    const std::span<char> space = this->input.beginRead(readBufferBytes);
    const auto self = this->shared_from_this();
    this->socket.async_read_some(net::buffer(space.data(), space.size()), [self](boost::system::error_code error, size_t count) {
        self->input.endRead(count);
        if (self->open)
            self->contain([&] { self->onRead(error); });
    });
}

// Between requests nothing is read, so that isQuiet() finds in the kernel whatever has arrived.
void ClientConnection::waitForBytes()
{
    this->isWaiting = true;
    this->socket.async_wait(tcp::socket::wait_read, [self = this->shared_from_this()](boost::system::error_code error) {
        self->isWaiting = false;
        if (!self->open)
            return;
        if (error || !self->busy)
            return self->contain([&] { self->fail(ConnectionFault::Closed); });
        self->contain([&] { self->read(); });
    });
}

void ClientConnection::onRead(boost::system::error_code error)
{
    if (!error) {
        this->onBytes();
        return this->read();
    }
    // A response without a length ends when the server closes the connection, but the end of a skipped one is not that of the response
    // which is due. A reset never completes a response.
    if (error == net::error::eof && this->busy && this->headSeen && !this->skipping && this->hasEndedInOrder()) {
        boost::system::error_code incomplete;
        this->parser->put_eof(incomplete);
        if (!incomplete && this->parser->is_done()) {
            this->reusable = false;
            return this->finishResponse();
        }
    }
    this->fail(ConnectionFault::Closed);
}

void ClientConnection::onBytes()
{
    const auto self = this->shared_from_this();
    while (this->open && this->input.size() > 0) {
        if (!this->busy)
            return this->fail(ConnectionFault::Malformed);
        if (!this->parse())
            break;
    }
    // The parser consumes complete lines only, so a line without an end would grow the buffer until memory runs out.
    if (this->open && this->input.size() > this->settings.maxUnparsedBytes)
        this->fail(ConnectionFault::Malformed);
}

bool ClientConnection::parse()
{
    const auto hooks = this->events;
    boost::system::error_code error;
    const size_t used = this->parser->put(net::buffer(this->input.bytes()), error);
    this->input.consume(used);
    if (!this->headSeen)
        this->headBytes += used;
    if (this->skipping)
        this->skippedBytes += used;
    if (this->skippedBytes > this->settings.maxSkippedBytes || (error && error != http::error::need_more)) {
        this->fail(ConnectionFault::Malformed);
        return false;
    }
    if (!this->headSeen && this->parser->is_header_done()) {
        const unsigned status = this->parser->get().result_int();
        if (isJoined(this->parser->get().base()) || status < firstStatus || status >= endOfStatuses) {
            this->fail(ConnectionFault::Malformed);
            return false;
        }
        if (status < firstFinalStatus) {
            if (++this->informationalResponses > this->settings.maxInformationalResponses) {
                this->fail(ConnectionFault::Malformed);
                return false;
            }
            this->resetParser();
            return true;
        }
        this->headSeen = true;
        this->parser->eager(true);
        const HeadVerdict verdict = hooks->head(this->parser->get().base());
        if (!this->open)
            return false;
        if (verdict == HeadVerdict::Reject) {
            this->fail(ConnectionFault::Malformed);
            return false;
        }
        this->skipping = verdict == HeadVerdict::Skip;
        if (this->skipping)
            this->skippedBytes += this->headBytes;
        if (!this->parser->get().keep_alive() || this->skipping || !this->expectsBody)
            this->reusable = false;
        if (const auto limit = keepAliveTimeout(std::string(this->parser->get()[http::field::keep_alive])))
            this->serverIdleLimit = std::max(*limit - idleMargin, Duration::zero());
    }
    std::string& piece = this->parser->get().body();
    this->bodyBytes += piece.size();
    if (this->isBodyTooLong()) {
        this->fail(ConnectionFault::TooLarge);
        return false;
    }
    if (!piece.empty()) {
        if (!this->skipping)
            hooks->body(piece);
        if (!this->open || !this->busy)
            return false;
        piece.clear();
    }
    if (!this->parser->is_done())
        return used > 0 && error != http::error::need_more;
    if (this->skipping) {
        this->resetParser();
        return true;
    }
    // Bytes after the response belong to no request, and none may follow a request that was answered before it was whole.
    if (this->input.size() > 0 || this->sending)
        this->reusable = false;
    this->finishResponse();
    return this->open && this->busy;
}

bool ClientConnection::isBodyTooLong() const
{
    if (!this->settings.maxBodyBytes || !this->headSeen || this->skipping)
        return false;
    return std::max(this->bodyBytes, this->parser->content_length().value_or(0)) > *this->settings.maxBodyBytes;
}

void ClientConnection::finishResponse()
{
    this->busy = false;
    this->served = true;
    if (!this->sending) {
        this->body.reset();
        this->transmitWatch.heard();
    }
    this->paused = false; // the pause was for the caller of this response
    const bool keepOpen = this->reusable;
    const auto self = this->shared_from_this();
    const auto hooks = std::move(this->events);
    if (!keepOpen)
        this->close();
    hooks->complete();
}

void ClientConnection::fail(ConnectionFault fault)
{
    if (!this->open)
        return;
    const auto self = this->shared_from_this();
    const auto hooks = this->events;
    const bool wasBusy = this->busy;
    const bool sent = this->anyByteSent;
    this->close();
    if (wasBusy)
        hooks->failed(fault, sent);
}

void ClientConnection::close()
{
    if (!this->open)
        return;
    this->open = false;
    this->busy = false;
    this->events.reset();
    this->timer.cancel();
    this->transmitWatch.stop();
    boost::system::error_code ignored; // the socket is closed even if an error is reported
    this->socket.close(ignored);
}

void ClientConnection::pauseReading() { this->paused = true; }

void ClientConnection::resumeReading()
{
    if (!this->paused)
        return;
    this->paused = false;
    this->read();
}

ConnectionPool::ConnectionPool(net::io_context& loop, const ConnectionSettings& settings)
    : loop(loop)
    , settings(settings)
{
}

ConnectionPointer ConnectionPool::acquire(const Address& address, std::optional<RequestTag> tag, Duration maxIdle, TimePoint now)
{
    auto& connections = this->idle[{ address.ip, address.port }];
    for (size_t i = connections.size(); i-- > 0;) {
        const Idle candidate = connections[i];
        const bool isUsable = candidate.connection->isReusable()
            && now - candidate.since <= std::min(maxIdle, candidate.connection->idleLimit()) && candidate.connection->isQuiet();
        if (isUsable && !candidate.connection->reserve(tag))
            continue; // stays for other requests
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
        if (isUsable)
            return candidate.connection;
        candidate.connection->close();
    }
    return this->create(address, tag);
}

ConnectionPointer ConnectionPool::create(const Address& address, std::optional<RequestTag> tag)
{
    auto created = std::make_shared<ClientConnection>(this->loop, address, this->settings, ++this->openedCount);
    created->reserve(tag);
    return created;
}

void ConnectionPool::release(const ConnectionPointer& connection, TimePoint now)
{
    if (connection->isReusable())
        this->idle[{ connection->address().ip, connection->address().port }].push_back({ connection, now });
}

void ConnectionPool::drop(const Address& address)
{
    const auto found = this->idle.find({ address.ip, address.port });
    if (found == this->idle.end())
        return;
    for (const Idle& item : found->second)
        item.connection->close();
    this->idle.erase(found);
}

void ConnectionPool::expire(TimePoint now)
{
    for (auto& [address, connections] : this->idle) {
        std::erase_if(connections, [&](const Idle& item) {
            const bool expired = !item.connection->isReusable() || now - item.since > item.connection->idleLimit();
            if (expired)
                item.connection->close();
            return expired;
        });
    }
    std::erase_if(this->idle, [](const auto& item) { return item.second.empty(); });
}

} // namespace guavapond::edge
