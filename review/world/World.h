// Stand-ins for the review's scripts: the platform's store, runners and clients as PROTOCOL.md describes them, over plain sockets and
// threads, and guavapond-edge as a separate process with the settings that the deploy file's template gives. No other library is used.
//
// Index
//   Record    record.txt: what was sent, answered and run
//   Message   an HTTP message; readMessage, Connection
//   Listener  a server with a thread for each connection
//   Store     the platform's store
//   Runner    a sound runner; a case replaces `serve` for what its disruption does
//   Edge      a guavapond-edge process
//   call      one request on a connection of its own
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point startTime = Clock::now();
inline double seconds() { return std::chrono::duration<double>(Clock::now() - startTime).count(); }
inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline bool hasTrouble() // TROUBLE=0: the same without the disruption
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// ---- Record

class Record {
public:
    void open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...)
    {
        const std::lock_guard guard(this->mutex);
        char text[4096];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        if (this->file) {
            std::fprintf(this->file, "%8.3f s  %s\n", seconds(), text);
            std::fflush(this->file);
        }
    }

private:
    std::mutex mutex;
    std::FILE* file = nullptr;
};
inline Record record;

// ---- HTTP

inline std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

struct Message {
    std::string startLine;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    bool complete = false; // the whole message arrived
    std::string field(const std::string& name) const
    {
        const auto found = this->fields.find(lower(name));
        return found == this->fields.end() ? "" : found->second;
    }
    int status() const { return this->startLine.size() > 12 ? std::atoi(this->startLine.c_str() + 9) : 0; }
    std::string method() const { return this->startLine.substr(0, this->startLine.find(' ')); }
    std::string target() const
    {
        const size_t from = std::min(this->startLine.find(' ') + 1, this->startLine.size());
        return this->startLine.substr(from, this->startLine.find(' ', from) - from);
    }
};

class Connection {
public:
    explicit Connection(int fd)
        : fd(fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { this->close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool send(const std::string& bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }
    // Reads one message. Empty: the connection ended, or `timeoutMs` passed, before a head. `isAnswer`: a body without a length ends with
    // the connection.
    std::optional<Message> read(bool isAnswer, int timeoutMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
        size_t end = 0;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(until))
                return std::nullopt;
        }
        Message message;
        const std::string head = this->input.substr(0, end + 2);
        this->input.erase(0, end + 4);
        message.startLine = head.substr(0, head.find("\r\n"));
        for (size_t at = head.find("\r\n") + 2; at < head.size();) {
            const size_t lineEnd = head.find("\r\n", at);
            const std::string line = head.substr(at, lineEnd - at);
            at = lineEnd + 2;
            const size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        if (lower(message.field("transfer-encoding")) == "chunked")
            return this->readChunks(std::move(message), until);
        const std::string length = message.field("content-length");
        if (length.empty()) {
            while (isAnswer && this->more(until)) { }
            if (isAnswer)
                message.body = std::exchange(this->input, {});
            message.complete = !isAnswer || this->ended;
            return message;
        }
        const size_t size = std::strtoull(length.c_str(), nullptr, 10);
        while (this->input.size() < size && this->more(until)) { }
        message.complete = this->input.size() >= size;
        message.body = this->input.substr(0, size);
        this->input.erase(0, size);
        return message;
    }
    bool hasEnded() const { return this->ended; }
    void close()
    {
        if (this->fd >= 0)
            ::close(this->fd);
        this->fd = -1;
    }
    void reset()
    {
        const linger now { 1, 0 };
        ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        this->close();
    }
    int descriptor() const { return this->fd; }
    std::string input; // received and not yet read

private:
    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd entry { this->fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char buffer[65536];
        const ssize_t count = ::recv(this->fd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            this->ended = count == 0;
            return false;
        }
        this->input.append(buffer, static_cast<size_t>(count));
        return true;
    }
    std::optional<Message> readChunks(Message message, Clock::time_point until)
    {
        for (;;) {
            size_t lineEnd = 0;
            while ((lineEnd = this->input.find("\r\n")) == std::string::npos) {
                if (!this->more(until))
                    return message;
            }
            const size_t size = std::strtoull(this->input.c_str(), nullptr, 16);
            while (this->input.size() < lineEnd + 2 + size + 2) {
                if (!this->more(until))
                    return message;
            }
            message.body += this->input.substr(lineEnd + 2, size);
            this->input.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                message.complete = true;
                return message;
            }
        }
    }

    int fd;
    bool ended = false; // orderly, by the other side
};

inline sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::shared_ptr<Connection> connectTo(uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Connection>(fd);
}

inline uint16_t freePort() // not given out twice in one run
{
    static std::set<uint16_t> given;
    static std::mutex mutex;
    const std::lock_guard guard(mutex);
    for (;;) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        ::bind(tcp, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size);
        const bool isFree = ::bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(tcp);
        ::close(udp);
        const uint16_t port = ntohs(address.sin_port);
        if (isFree && given.insert(port).second)
            return port;
    }
}

class Listener {
public:
    using Handler = std::function<void(Connection&)>;
    explicit Listener(Handler handler, uint16_t fixedPort = 0)
        : handler(std::move(handler))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address = loopback(fixedPort);
        socklen_t size = sizeof(address);
        if (::bind(this->fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(this->fd, 256) != 0)
            std::exit(2);
        ::getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size);
        this->port = ntohs(address.sin_port);
        std::thread([this] {
            for (;;) {
                const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                std::thread([this, accepted] {
                    Connection connection(accepted);
                    this->handler(connection);
                }).detach();
            }
        }).detach();
    }
    uint16_t port = 0;

private:
    Handler handler;
    int fd = -1;
};

inline std::string answerText(int status, const std::string& fields, const std::string& body)
{
    const char* reason = status == 200 ? "OK" : status == 404 ? "Not Found" : status == 503 ? "Service Unavailable" : "Answer";
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

// ---- Base64, and the few values that are read from JSON bodies of the node

inline constexpr const char* base64Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
inline std::string encode64(const std::string& bytes)
{
    std::string result;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            result += i + k > bytes.size() ? '=' : base64Letters[group >> (18 - 6 * k) & 63];
    }
    return result;
}
inline std::string decode64(const std::string& text)
{
    std::string result;
    uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const char* at = std::strchr(base64Letters, c);
        if (c == '=' || !at)
            break;
        group = group << 6 | static_cast<uint32_t>(at - base64Letters);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>(group >> bits & 255);
        }
    }
    return result;
}
inline std::string jsonText(const std::string& object, const std::string& name, size_t from = 0)
{
    const size_t at = object.find("\"" + name + "\":\"", from);
    if (at == std::string::npos)
        return "";
    const size_t begin = at + name.size() + 4;
    return object.substr(begin, object.find('"', begin) - begin);
}
inline std::optional<uint64_t> jsonNumber(const std::string& object, const std::string& name, size_t from = 0)
{
    const size_t at = object.find("\"" + name + "\":", from);
    return at == std::string::npos ? std::nullopt : std::optional<uint64_t>(std::strtoull(object.c_str() + at + name.size() + 3, nullptr, 10));
}

// ---- The platform's store

class Store {
public:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t created = 0;
        uint64_t lease = 0;
    };
    struct State { // all that a copy holds
        std::map<std::string, Item> items;
        std::map<uint64_t, std::pair<int, Clock::time_point>> leases; // ttl in ms, end
        uint64_t revision = 100;
        uint64_t nextLease = 7000;
    };

    Store()
        : listener([this](Connection& connection) { this->serve(connection); })
    {
    }
    uint16_t port() const { return this->listener.port; }
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard guard(this->mutex);
        this->write(key, value, 0);
    }
    void remove(const std::string& key)
    {
        const std::lock_guard guard(this->mutex);
        if (this->state.items.erase(key) > 0)
            ++this->state.revision;
    }
    State copy()
    {
        const std::lock_guard guard(this->mutex);
        return this->state;
    }
    void restore(const State& older) // the store comes back from a copy: the era rises
    {
        const std::lock_guard guard(this->mutex);
        this->state = older;
        ++this->era;
    }
    std::string range(const std::string& prefix)
    {
        const std::lock_guard guard(this->mutex);
        return this->rangeBody(prefix, "");
    }

    std::atomic<bool> isAway { false }; // connections are reset
    uint64_t era = 1;

private:
    void write(const std::string& key, const std::string& value, uint64_t lease)
    {
        Item& item = this->state.items[key];
        item.value = value;
        item.revision = ++this->state.revision;
        item.created = item.created ? item.created : item.revision;
        item.lease = lease;
    }
    void endLease(uint64_t id)
    {
        this->state.leases.erase(id);
        for (auto at = this->state.items.begin(); at != this->state.items.end();) {
            if (at->second.lease == id && id != 0) {
                at = this->state.items.erase(at);
                ++this->state.revision;
            } else
                ++at;
        }
    }
    void expire()
    {
        std::vector<uint64_t> over;
        for (const auto& [id, lease] : this->state.leases) {
            if (lease.second <= Clock::now())
                over.push_back(id);
        }
        for (const uint64_t id : over)
            this->endLease(id);
    }
    std::string rangeBody(const std::string& prefix, const std::string& after)
    {
        std::string entries;
        for (const auto& [key, item] : this->state.items) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after))
                continue;
            entries += std::string(entries.empty() ? "" : ",") + "{\"key\":\"" + key + "\",\"value\":\"" + encode64(item.value)
                + "\",\"revision\":" + std::to_string(item.revision) + ",\"created\":" + std::to_string(item.created)
                + ",\"lease\":" + std::to_string(item.lease) + "}";
        }
        return "{\"entries\":[" + entries + "],\"more_pages\":false,\"store_revision\":" + std::to_string(this->state.revision) + "}";
    }
    static std::string unescape(const std::string& text)
    {
        std::string result;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else
                result += text[i];
        }
        return result;
    }
    static std::string query(const std::string& target, const std::string& name)
    {
        const size_t at = target.find(name + "=");
        if (at == std::string::npos)
            return "";
        const size_t begin = at + name.size() + 1;
        return unescape(target.substr(begin, target.find('&', begin) - begin));
    }
    std::pair<int, std::string> transact(const std::string& body)
    {
        const size_t writes = body.find("\"writes\":");
        const size_t expected = body.find("\"expected_revision\":[{");
        if (expected != std::string::npos) { // the node sends one row at most
            const std::string key = jsonText(body, "key", expected);
            const auto found = this->state.items.find(key);
            const uint64_t present = found == this->state.items.end() ? 0 : found->second.revision;
            if (present != jsonNumber(body, "revision", expected + 20).value_or(0))
                return { 412, "{\"entries\":[{\"key\":\"" + key + "\",\"revision\":" + std::to_string(present) + "}]}" };
        }
        if (writes != std::string::npos && body.find("\"writes\":[{") != std::string::npos) {
            const uint64_t lease = jsonNumber(body, "lease", writes).value_or(0);
            if (lease != 0 && !this->state.leases.contains(lease))
                return { 404, "{}" };
            this->write(jsonText(body, "key", writes), decode64(jsonText(body, "value", writes)), lease);
        }
        const size_t removal = body.find("\"remove\":[\"");
        if (removal != std::string::npos) {
            const size_t begin = removal + 11;
            this->state.items.erase(body.substr(begin, body.find('"', begin) - begin));
            ++this->state.revision;
        }
        return { 200, "{\"revision\":" + std::to_string(this->state.revision) + "}" };
    }
    std::pair<int, std::string> handle(const Message& call)
    {
        this->expire();
        const std::string target = call.target();
        if (target.starts_with("/-/kv-range"))
            return { 200, this->rangeBody(query(target, "prefix"), query(target, "after")) };
        if (target.starts_with("/-/kv-txn"))
            return this->transact(call.body);
        if (target == "/-/kv-lease") {
            const int ttl = static_cast<int>(jsonNumber(call.body, "ttl_ms").value_or(5000));
            const uint64_t id = ++this->state.nextLease;
            this->state.leases[id] = { ttl, Clock::now() + std::chrono::milliseconds(ttl) };
            return { 200, "{\"lease\":" + std::to_string(id) + ",\"ttl_ms\":" + std::to_string(ttl) + "}" };
        }
        const uint64_t id = std::strtoull(target.substr(target.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = this->state.leases.find(id);
        if (lease == this->state.leases.end())
            return { 404, "{}" };
        if (target.starts_with("/-/kv-keep/")) {
            lease->second.second = Clock::now() + std::chrono::milliseconds(lease->second.first);
            return { 200, "{\"ttl_ms\":" + std::to_string(lease->second.first) + "}" };
        }
        if (target.starts_with("/-/kv-lease-end/"))
            this->endLease(id);
        return { 200, "{}" };
    }
    void serve(Connection& connection)
    {
        while (const auto call = connection.read(false, 60000)) {
            if (this->isAway)
                return connection.reset();
            std::string text;
            {
                const std::lock_guard guard(this->mutex);
                const auto [status, body] = this->handle(*call);
                text = answerText(status, "Content-Type: application/json\r\nStore-Era: " + std::to_string(this->era) + "\r\n", body);
            }
            sleepMs(4); // an answer takes 4 ms
            if (this->isAway)
                return connection.reset();
            if (!connection.send(text))
                return;
        }
    }

    std::mutex mutex;
    State state;
    Listener listener;
};

// ---- Runners

// A sound runner of a plain service: it answers one request at a time on a connection, with the request's id and a signature.
class Runner {
public:
    Runner(std::string id, std::string service, Store& store)
        : id(std::move(id))
        , service(std::move(service))
        , listener([this](Connection& connection) { this->onConnection(connection); })
        , store(store)
    {
        this->beat();
        std::thread([this] {
            for (;;) {
                sleepMs(1200); // heartbeat_ms
                if (this->isBeating && !this->store.isAway)
                    this->beat();
            }
        }).detach();
    }
    uint16_t port() const { return this->listener.port; }
    std::string entry() const
    {
        return "{\"service\":\"" + this->service + "\",\"address\":\"127.0.0.1:" + std::to_string(this->listener.port)
            + "\",\"zone\":\"" + this->zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots)
            + ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":" + std::to_string(this->sequence.load())
            + ",\"born\":" + std::to_string(this->born) + "}";
    }
    void beat()
    {
        ++this->sequence;
        this->store.put("servers/" + this->id, this->entry());
    }
    // Waits for the work, and returns the body of the answer. Records the run.
    std::string run(const Message& request)
    {
        const std::string attempt = request.field("Guavapond-Attempt-Id");
        record.line("runner %s runs %s (%s, tenant %s)", this->id.c_str(), attempt.c_str(), request.startLine.c_str(),
            request.field("Guavapond-Tenant").c_str());
        {
            const std::lock_guard guard(this->mutex);
            this->runs.push_back(attempt);
        }
        sleepMs(this->workMs);
        return "result of " + attempt + " by " + this->id;
    }
    std::string seal(const std::string& attempt) const { return "seal-" + this->id + "-" + attempt; }
    std::string headFields(const std::string& attempt) const
    {
        return "Guavapond-Attempt-Id: " + attempt + "\r\nGuavapond-Response-Seal: " + this->seal(attempt) + "\r\n";
    }
    size_t runsOf(const std::string& attempt)
    {
        const std::lock_guard guard(this->mutex);
        return static_cast<size_t>(std::count(this->runs.begin(), this->runs.end(), attempt));
    }
    bool isOther(const Message& request) const // 421: the request is for another runner
    {
        const std::string expected = request.field("Guavapond-Target-Instance");
        return !expected.empty() && expected != this->id;
    }
    void onConnection(Connection& connection)
    {
        if (this->serve)
            return this->serve(*this, connection);
        while (const auto request = connection.read(false, 60000)) {
            if (!this->answer(connection, *request))
                return;
        }
    }
    bool answer(Connection& connection, const Message& request)
    {
        if (this->isOther(request))
            return connection.send(answerText(421, "Guavapond-Instance-Id: " + this->id + "\r\n", ""));
        const std::string attempt = request.field("Guavapond-Attempt-Id");
        const std::string body = this->run(request);
        return connection.send(answerText(200, this->headFields(attempt), body));
    }

    std::string id;
    std::string service;
    std::string zone = "lalitpur";
    int slots = 6;
    int workMs = 15;
    int64_t born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::atomic<bool> isBeating { true };
    std::atomic<uint64_t> sequence { 0 };
    std::function<void(Runner&, Connection&)> serve; // in place of the sound one
    std::mutex mutex;
    std::vector<std::string> runs; // ids of the requests that it ran, in order

private:
    Listener listener;
    Store& store;
};

// ---- Configuration

struct RouteText {
    std::string name, prefix, type, service;
    int timeoutMs = 1500;
    int maxAttempts = 2;
    bool resumable = false;
};

inline std::string configText(int version, const std::vector<RouteText>& routes, const std::vector<std::string>& services,
    const std::vector<std::pair<std::string, std::string>>& tenantKeys)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (size_t i = 0; i < routes.size(); ++i) {
        const RouteText& route = routes[i];
        text += std::string(i ? "," : "") + "{\"name\":\"" + route.name + "\",\"host\":\"approvals.example\",\"prefix\":\"" + route.prefix
            + "\",\"route_type\":\"" + route.type + "\",\"timeout_ms\":" + std::to_string(route.timeoutMs)
            + ",\"target_latency_ms\":100,\"priority\":2,\"service\":\"" + route.service
            + "\",\"max_attempts\":" + std::to_string(route.maxAttempts) + ",\"anonymous\":false,\"resumable\":"
            + (route.resumable ? "true" : "false") + "}";
    }
    text += "],\"services\":[";
    for (size_t i = 0; i < services.size(); ++i)
        text += std::string(i ? "," : "") + "{\"name\":\"" + services[i] + "\",\"health_path\":\"/healthz\",\"max_conns\":100}";
    text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            "\"tenants\":[";
    for (size_t i = 0; i < tenantKeys.size(); ++i)
        text += std::string(i ? "," : "") + "{\"name\":\"" + tenantKeys[i].first + "\",\"api_keys\":["
            + (tenantKeys[i].second.empty() ? "" : "\"" + tenantKeys[i].second + "\"")
            + "],\"priority\":2,\"unit\":\"token_count\",\"uncached_tokens\":200,\"rate_per_s\":0,\"burst\":0}";
    return text + "]}";
}

// ---- The program under test

class Edge {
public:
    Edge(std::string name, const std::string& directory, uint16_t storePort, std::string zone = "lalitpur")
        : name(std::move(name))
        , settings(directory + "/" + this->name + ".toml")
        , logFile(directory + "/" + this->name + ".log")
    {
        // platform/settings.toml.in, filled in with the bounds of himal-chhap
        std::ofstream(this->settings) << "node = \"" << this->name << "\"\nfailureDomain = \"" << zone << "\"\n\n[listen]\ncallers = \"127.0.0.1:"
                                      << this->front << "\"\nready = \"127.0.0.1:" << this->ready << "\"\npeers = \"127.0.0.1:" << this->peers
                                      << "\"\nmetrics = \"127.0.0.1:" << this->metrics << "\"\n\n[store]\naddress = \"127.0.0.1:" << storePort
                                      << "\"\n\n[limits]\ndescriptors = 6150\n\n[keys]\nrevocationMs = 5000\ncheckRevocation = true\n\n"
                                         "[stop]\ngraceSeconds = 8\n\n[moves]\nmostExposed = 0.1\nexposedAllowance = 50\n\n"
                                         "[secondTries]\nratio = 0.2\nwindowSeconds = 10\nallowance = 54\n\n[quotas]\nwindowSeconds = 8\n";
    }
    ~Edge()
    {
        if (this->pid > 0)
            this->kill();
    }
    void start()
    {
        this->pid = ::fork();
        if (this->pid != 0) {
            record.line("process %s started", this->name.c_str());
            return;
        }
        const int log = ::open(this->logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the script, however that ends
        ::setenv("GUAVAPOND_SETTINGS", this->settings.c_str(), 1);
        ::execl("target/guavapond-edge", "target/guavapond-edge", static_cast<char*>(nullptr));
        ::_exit(127);
    }
    void signal(int number)
    {
        record.line("signal %d to %s", number, this->name.c_str());
        ::kill(this->pid, number);
    }
    void kill()
    {
        this->signal(SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }
    bool hasExited() // by itself
    {
        int status = 0;
        return this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid;
    }
    bool isReady() const
    {
        const auto connection = connectTo(this->ready);
        if (!connection || !connection->send("GET /-/readyz HTTP/1.1\r\nHost: node\r\n\r\n"))
            return false;
        const auto answer = connection->read(true, 1000);
        return answer && answer->status() == 200;
    }
    bool waitReady(int ms) const
    {
        for (int waited = 0; waited < ms; waited += 50) {
            if (this->isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }

    std::string name;
    uint16_t front = freePort();
    uint16_t ready = freePort();
    uint16_t peers = freePort();
    uint16_t metrics = freePort();
    std::string settings;
    std::string logFile;
    pid_t pid = 0;
};

// ---- Clients

inline std::string requestText(const std::string& method, const std::string& path, const std::string& attempt, const std::string& key,
    int deadlineMs, const std::string& body = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: approvals.example\r\nGuavapond-Attempt-Id: " + attempt
        + "\r\nGuavapond-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nGuavapond-Key: " + key + "\r\n"
        + (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : std::string()) + "\r\n" + body;
}

inline std::string temporaryFolder()
{
    char name[] = "/tmp/guavapond-review-XXXXXX";
    return ::mkdtemp(name);
}

// Ends the script: 1 the rule was broken, 0 it held, 2 the case couldn't run. Threads of stand-ins end with the process.
[[noreturn]] inline void finish(int code, const std::string& folder)
{
    record.line("exit %d", code);
    std::error_code ignored; // what is left lies in /tmp
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(folder, ignored);
    std::fflush(nullptr);
    ::_exit(code);
}

} // namespace world
