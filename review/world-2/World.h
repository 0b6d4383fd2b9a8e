// Stand-ins for the cases 6 to 10 of the review: the platform's store, runners and clients as blocking threads on loopback sockets, and
// nodes as processes of their own. They speak as PROTOCOL.md says and use nothing of the project's own code.
//
// Index
//   Clock, Record            time since the start of the case, and record.txt
//   Message, Connection      one HTTP message, and a socket that messages are read from
//   Store                    the platform's store: ranges, transactions, leases
//   Runner                   answers requests as its hook says, and records what it ran
//   Node                     a guavapond-edge process with its settings
//   Answer, Client           one client connection
//   Case                     the exit code of a case
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using nlohmann::json;
using Ms = std::chrono::milliseconds;

// ---- Time and record

inline std::chrono::steady_clock::time_point startTime()
{
    static const auto t = std::chrono::steady_clock::now();
    return t;
}
inline int64_t nowMs() { return std::chrono::duration_cast<Ms>(std::chrono::steady_clock::now() - startTime()).count(); }
inline void sleepMs(int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }

class Record {
public:
    static Record& get()
    {
        static Record r;
        return r;
    }
    void open(const std::string& path) { this->file.open(path, std::ios::trunc); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list args;
        va_start(args, format);
        vsnprintf(text, sizeof(text), format, args);
        va_end(args);
        const std::lock_guard lock(this->mutex);
        char time[32];
        snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(nowMs()) / 1000);
        this->file << time << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};
#define RECORD(...) world::Record::get().line(__VA_ARGS__)

// ---- HTTP

inline std::string lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
    return text;
}

struct Message {
    std::string first; // request line or status line
    std::map<std::string, std::string> fields;
    std::string body;
    std::string field(const std::string& name) const
    {
        const auto f = this->fields.find(lower(name));
        return f == this->fields.end() ? "" : f->second;
    }
    std::string method() const { return this->first.substr(0, this->first.find(' ')); }
    std::string target() const
    {
        const size_t a = this->first.find(' ') + 1;
        return this->first.substr(a, this->first.find(' ', a) - a);
    }
    int status() const { return this->first.size() < 12 ? 0 : atoi(this->first.c_str() + 9); }
};

class Connection {
public:
    explicit Connection(int handle)
        : handle(handle)
    {
    }
    ~Connection() { this->close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    void close()
    {
        if (this->handle >= 0)
            ::close(std::exchange(this->handle, -1));
    }
    void reset()
    {
        const linger hard { 1, 0 };
        setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        this->close();
    }
    bool send(const std::string& bytes)
    {
        size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t n = ::send(this->handle, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            done += static_cast<size_t>(n);
        }
        return true;
    }
    // More bytes into `input`; false: the connection ended (`error` tells how) or nothing came in `timeoutMs`.
    bool fill(int64_t timeoutMs = 120000, size_t most = 65536)
    {
        if (this->isEnded)
            return false;
        pollfd p { this->handle, POLLIN, 0 };
        if (poll(&p, 1, static_cast<int>(timeoutMs)) <= 0) {
            this->error = ETIMEDOUT;
            return false;
        }
        std::string part(most, '\0');
        const ssize_t n = ::recv(this->handle, part.data(), part.size(), 0);
        if (n <= 0) {
            this->error = n == 0 ? 0 : errno;
            return false;
        }
        this->input.append(part, 0, static_cast<size_t>(n));
        return true;
    }
    std::optional<Message> head(int64_t timeoutMs = 120000)
    {
        size_t end = std::string::npos;
        while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(timeoutMs))
                return std::nullopt;
        }
        Message m;
        std::istringstream lines(this->input.substr(0, end));
        this->input.erase(0, end + 4);
        std::getline(lines, m.first);
        if (!m.first.empty() && m.first.back() == '\r')
            m.first.pop_back();
        for (std::string l; std::getline(lines, l);) {
            if (!l.empty() && l.back() == '\r')
                l.pop_back();
            const size_t colon = l.find(':');
            if (colon != std::string::npos)
                m.fields[lower(l.substr(0, colon))] = l.substr(std::min(l.find_first_not_of(' ', colon + 1), l.size()));
        }
        return m;
    }
    bool take(size_t count, std::string& to, int64_t timeoutMs = 120000)
    {
        while (this->input.size() < count) {
            if (!this->fill(timeoutMs))
                return false;
        }
        to.append(this->input, 0, count);
        this->input.erase(0, count);
        return true;
    }
    // With its body; empty: the connection ended before the message was whole.
    std::optional<Message> message(int64_t timeoutMs = 120000)
    {
        auto m = this->head(timeoutMs);
        if (!m || !this->body(*m, timeoutMs))
            return std::nullopt;
        return m;
    }
    bool body(Message& m, int64_t timeoutMs = 120000)
    {
        if (lower(m.field("transfer-encoding")) == "chunked") {
            while (true) {
                size_t end = 0;
                while ((end = this->input.find("\r\n")) == std::string::npos) {
                    if (!this->fill(timeoutMs))
                        return false;
                }
                const size_t size = strtoull(this->input.c_str(), nullptr, 16);
                this->input.erase(0, end + 2);
                std::string tail;
                if (!this->take(size, m.body, timeoutMs) || !this->take(2, tail, timeoutMs))
                    return false;
                if (size == 0)
                    return true;
            }
        }
        const std::string length = m.field("content-length");
        return length.empty() || this->take(strtoull(length.c_str(), nullptr, 10), m.body, timeoutMs);
    }
    int handle;
    bool isEnded = false; // there is nothing but `input`
    int error = 0;        // of the last fill(); 0: an orderly end
    std::string input;
};

inline sockaddr_in loopback(uint16_t port)
{
    sockaddr_in a {};
    a.sin_family = AF_INET;
    a.sin_port = htons(port);
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}

// A listening socket; -1: the port is taken.
inline int tryToListen(uint16_t port)
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in a = loopback(port);
    if (bind(handle, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) == 0 && listen(handle, 128) == 0)
        return handle;
    ::close(handle);
    return -1;
}

// Below the ports that the kernel gives to outgoing connections, so that none of these takes the port of a process that is restarted.
inline int listenOn(uint16_t& port) // 0: a free one
{
    static std::mutex mutex;
    static std::mt19937 random { std::random_device()() };
    static std::set<uint16_t> used;
    const std::lock_guard lock(mutex);
    for (int attempt = 0; attempt < 500; ++attempt) {
        const auto candidate = port != 0 ? port : static_cast<uint16_t>(10000 + random() % 20000);
        if (port == 0 && !used.insert(candidate).second)
            continue;
        const int handle = tryToListen(candidate);
        if (handle < 0)
            continue;
        port = candidate;
        return handle;
    }
    perror("listen");
    _exit(2);
}

inline uint16_t freePort()
{
    uint16_t port = 0;
    ::close(listenOn(port));
    return port;
}

// Threads that serve the connections of one port. They end with the process.
class Server {
public:
    void listen(std::function<void(Connection&)> serveConnection)
    {
        this->serve = std::move(serveConnection);
        this->open();
    }
    // The process of the server ends: its connections are closed, and new ones are refused until open().
    void crash()
    {
        const std::lock_guard lock(this->mutex);
        ::shutdown(this->handle, SHUT_RDWR);
        ::close(std::exchange(this->handle, -1));
        for (const int connection : this->connections)
            ::shutdown(connection, SHUT_RDWR);
    }
    void open()
    {
        const std::lock_guard lock(this->mutex);
        this->handle = listenOn(this->port);
        std::thread([this, listening = this->handle] { this->accept(listening); }).detach();
    }
    uint16_t port = 0;

private:
    void accept(int listening)
    {
        while (true) {
            const int accepted = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(this->mutex);
            this->connections.insert(accepted);
            std::thread([this, accepted] {
                Connection c(accepted);
                this->serve(c);
                const std::lock_guard end(this->mutex);
                this->connections.erase(accepted);
                c.close();
            }).detach();
        }
    }
    std::mutex mutex;
    std::function<void(Connection&)> serve;
    std::set<int> connections;
    int handle = -1;
};

inline std::string reply(int status, const std::string& body, const std::string& fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The platform's store

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t v = 0;
        for (size_t k = 0; k < 3; ++k)
            v = (v << 8) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (size_t k = 0; k < 4; ++k)
            out += i + k <= bytes.size() ? digits[(v >> (18 - 6 * k)) & 63] : '=';
    }
    return out;
}

inline std::string fromBase64(const std::string& text)
{
    std::string out;
    uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const int v = c >= 'A' && c <= 'Z' ? c - 'A'
            : c >= 'a' && c <= 'z'         ? c - 'a' + 26
            : c >= '0' && c <= '9'         ? c - '0' + 52
            : c == '+'                     ? 62
            : c == '/'                     ? 63
                                           : -1;
        if (v < 0)
            break;
        bits = (bits << 6) | static_cast<uint32_t>(v);
        if (++count % 4 != 1)
            out += static_cast<char>((bits >> (2 * (3 - (count - 1) % 4))) & 255);
    }
    return out;
}

class Store {
public:
    struct Item {
        std::string value; // base64
        uint64_t revision = 0, created = 0, lease = 0;
    };
    struct State {
        std::map<std::string, Item> items;
        std::map<uint64_t, std::pair<int64_t, int64_t>> leases; // ttl, end
        uint64_t revision = 100;
        uint64_t nextLease = 7000;
    };
    void start()
    {
        this->server.listen([this](Connection& c) { this->serve(c); });
    }
    uint16_t port() const { return this->server.port; }
    uint64_t put(const std::string& key, const std::string& value) // as the operator or a runner does
    {
        const std::lock_guard lock(this->mutex);
        return this->write(key, base64(value), 0);
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        if (this->state.items.erase(key))
            ++this->state.revision;
    }
    std::string value(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        const auto f = this->state.items.find(key);
        return f == this->state.items.end() ? "" : fromBase64(f->second.value);
    }
    State copy()
    {
        const std::lock_guard lock(this->mutex);
        return this->state;
    }
    void restore(State older) // it comes back from a copy
    {
        const std::lock_guard lock(this->mutex);
        this->state = std::move(older);
        this->state.leases.clear();
        std::erase_if(this->state.items, [](const auto& item) { return item.second.lease != 0; });
        ++this->era;
    }
    std::atomic<bool> isDown = false;       // no call is answered; open connections are cut
    std::atomic<bool> losesAnswers = false; // calls are done and not answered; such a connection returns nothing more
    std::atomic<uint64_t> era = 1;

private:
    uint64_t write(const std::string& key, const std::string& value, uint64_t lease)
    {
        Item& item = this->state.items[key];
        item.value = value;
        item.revision = ++this->state.revision;
        if (item.created == 0)
            item.created = item.revision;
        item.lease = lease;
        return item.revision;
    }
    static json toJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created },
            { "lease", item.lease } };
    }
    void expire()
    {
        for (auto lease = this->state.leases.begin(); lease != this->state.leases.end();) {
            if (lease->second.second > nowMs()) {
                ++lease;
                continue;
            }
            if (std::erase_if(this->state.items, [&](const auto& item) { return item.second.lease == lease->first; }))
                ++this->state.revision;
            lease = this->state.leases.erase(lease);
        }
    }
    static std::string query(const std::string& target, const std::string& name)
    {
        size_t at = target.find('?');
        while (at != std::string::npos) {
            if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
                std::string text;
                for (size_t i = at + 2 + name.size(); i < target.size() && target[i] != '&'; ++i) {
                    if (target[i] == '%' && i + 2 < target.size()) {
                        text += static_cast<char>(strtol(target.substr(i + 1, 2).c_str(), nullptr, 16));
                        i += 2;
                    } else
                        text += target[i];
                }
                return text;
            }
            at = target.find('&', at + 1);
        }
        return "";
    }
    std::pair<int, json> call(const Message& m)
    {
        const std::string target = m.target();
        const std::string path = target.substr(0, target.find('?'));
        this->expire();
        if (path == "/-/kv-key") {
            const auto f = this->state.items.find(query(target, "key"));
            return f == this->state.items.end() ? std::pair { 404, json::object() } : std::pair { 200, toJson(f->first, f->second) };
        }
        if (path == "/-/kv-range") {
            json entries = json::array();
            const std::string prefix = query(target, "prefix"), after = query(target, "after");
            for (const auto& [key, item] : this->state.items) {
                if (key.starts_with(prefix) && key > after)
                    entries.push_back(toJson(key, item));
            }
            return { 200, { { "entries", entries }, { "more_pages", false }, { "store_revision", this->state.revision } } };
        }
        if (path == "/-/kv-txn") {
            const json request = json::parse(m.body);
            json conflicts = json::array();
            for (const json& row : request.at("expected_revision")) {
                const auto f = this->state.items.find(row.at("key").get<std::string>());
                if ((f == this->state.items.end() ? 0 : f->second.revision) != row.at("revision").get<uint64_t>())
                    conflicts.push_back(
                        f == this->state.items.end() ? json { { "key", row.at("key") }, { "revision", 0 } } : toJson(f->first, f->second));
            }
            if (!conflicts.empty())
                return { 412, { { "entries", conflicts } } };
            for (const json& w : request.at("writes")) {
                const uint64_t lease = w.value("lease", uint64_t { 0 });
                if (lease != 0 && !this->state.leases.contains(lease))
                    return { 404, json::object() };
            }
            for (const json& w : request.at("writes")) {
                this->write(w.at("key"), w.at("value"), w.value("lease", uint64_t { 0 }));
                if (w.at("key").get<std::string>().starts_with("status/"))
                    RECORD("a node writes %s = %s", w.at("key").get<std::string>().c_str(), fromBase64(w.at("value")).c_str());
            }
            for (const json& key : request.at("remove")) {
                if (this->state.items.erase(key.get<std::string>()))
                    ++this->state.revision;
            }
            return { 200, { { "revision", this->state.revision } } };
        }
        if (path == "/-/kv-lease") {
            const int64_t ttl = json::parse(m.body).at("ttl_ms").get<int64_t>();
            this->state.leases[++this->state.nextLease] = { ttl, nowMs() + ttl };
            return { 200, { { "lease", this->state.nextLease }, { "ttl_ms", ttl } } };
        }
        const uint64_t id = strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = this->state.leases.find(id);
        if (lease == this->state.leases.end())
            return { 404, json::object() };
        if (path.starts_with("/-/kv-keep/"))
            lease->second.second = nowMs() + lease->second.first;
        else {
            lease->second.second = 0;
            this->expire();
            return { 200, json::object() };
        }
        return { 200, { { "ttl_ms", lease->second.first } } };
    }
    void serve(Connection& c)
    {
        while (const auto m = c.message()) {
            if (this->isDown)
                return c.reset();
            std::string text;
            {
                const std::lock_guard lock(this->mutex);
                const auto [status, body] = this->call(*m);
                text = reply(status, body.dump(), "Content-Type: application/json\r\nStore-Era: " + std::to_string(this->era) + "\r\n");
            }
            sleepMs(4);
            if (this->losesAnswers && m->method() != "GET") {
                while (c.fill())
                    c.input.clear();
                return;
            }
            if (this->isDown || !c.send(text))
                return c.reset();
        }
    }
    std::mutex mutex;
    State state;
    Server server;
};

// ---- Runners

class Runner {
public:
    // Answers one request; false: the connection ends.
    using Hook = std::function<bool(Runner&, Connection&, const Message&)>;

    Runner(std::string id, std::string service, Hook hook)
        : id(std::move(id))
        , service(std::move(service))
        , hook(std::move(hook))
    {
    }
    void start()
    {
        this->server.listen([this](Connection& c) {
            while (const auto m = this->readRequest ? this->readRequest(c) : c.message()) {
                if (this->isStopped)
                    return c.reset();
                const std::string expected = m->field("Guavapond-Target-Instance");
                if (!expected.empty() && expected != this->id) {
                    if (!c.send(reply(421, "",
                            "Guavapond-Instance-Id: " + this->id + "\r\nGuavapond-Attempt-Id: " + m->field("Guavapond-Attempt-Id")
                                + "\r\n")))
                        return;
                    continue;
                }
                RECORD("runner %s runs %s (%s, tenant %s)", this->id.c_str(), m->field("Guavapond-Attempt-Id").c_str(), m->first.c_str(),
                    m->field("Guavapond-Tenant").c_str());
                {
                    const std::lock_guard lock(this->mutex);
                    this->runs.push_back(m->field("Guavapond-Attempt-Id"));
                }
                if (!this->hook(*this, c, *m))
                    return;
            }
        });
    }
    std::string entry(const std::string& state = "ready") const
    {
        return json {
            { "service", this->service }, { "address", "127.0.0.1:" + std::to_string(this->server.port) }, { "zone", "z" },
            { "version", this->version }, { "slots", this->slots }, { "state", state }, { "cold_left_ms", 0 }, { "sequence", 1 },
            { "born", 1700000000000 }
        }.dump();
    }
    size_t runsOf(const std::string& attempt) const
    {
        const std::lock_guard lock(this->mutex);
        return static_cast<size_t>(std::count(this->runs.begin(), this->runs.end(), attempt));
    }
    static std::string sealed(const Message& m)
    {
        return "Guavapond-Attempt-Id: " + m.field("Guavapond-Attempt-Id") + "\r\nGuavapond-Response-Seal: 3e1b.07.5a2\r\n";
    }
    std::string id;
    std::string service;
    std::string version = "v1";
    int slots = 13;
    std::atomic<bool> isStopped = false; // the process is gone: connections are reset
    std::function<std::optional<Message>(Connection&)> readRequest;
    Server server;

private:
    Hook hook;
    mutable std::mutex mutex;
    std::vector<std::string> runs;
};

// ---- Nodes

class Node {
public:
    Node(std::string name, const std::string& folder, uint16_t store)
        : name(std::move(name))
        , folder(folder)
        , store(store)
    {
        for (uint16_t* port : { &this->front, &this->ready, &this->peers, &this->metrics })
            *port = freePort();
    }
    ~Node() { this->stop(SIGKILL); }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    std::string settingsFile() const { return this->folder + "/" + this->name + ".toml"; }
    void writeSettings() const // as platform/settings.toml.in, filled in for a small machine
    {
        const auto at = [](uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::ofstream(this->settingsFile())
            << "node = \"" << this->name << "\"\nfailureDomain = \"z\"\n[listen]\ncallers = " << at(this->front)
            << "ready = " << at(this->ready) << "peers = " << at(this->peers) << "metrics = " << at(this->metrics)
            << "[store]\naddress = " << at(this->store) << "[limits]\ndescriptors = 8200\nmemoryMb = " << this->memoryMb
            << "\n[machine]\ncores = 1\ncoreShare = 0.5\nlinkMbps = 2000.0\n"
            << "[keys]\nrevocationMs = 5000\ncheckRevocation = true\n[stop]\ngraceSeconds = 8\n[moves]\nmostExposed = "
               "0.1\nexposedAllowance = 50\n"
            << "[secondTries]\nratio = 0.2\nwindowSeconds = 10\nallowance = 56\n[quotas]\nwindowSeconds = 8\n[admission]\nplansRoom = "
               "true\n"
            << "[spill]\nenabled = true\ngigabytePrice = 5000\nwaitSecondPrice = 1\nmaxRequestPrice = 0.1\n";
    }
    void start()
    {
        this->writeSettings();
        RECORD("node %s starts", this->name.c_str());
        const pid_t parent = getpid();
        this->process = fork();
        if (this->process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the case
            if (getppid() != parent)
                _exit(127);
            const int log = open((this->folder + "/" + this->name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("GUAVAPOND_SETTINGS", this->settingsFile().c_str(), 1);
            execl("target/guavapond-edge", "target/guavapond-edge", nullptr);
            _exit(127);
        }
    }
    bool waitReady(int64_t timeoutMs = 15000) const
    {
        for (const int64_t end = nowMs() + timeoutMs; nowMs() < end; sleepMs(20)) {
            if (this->isReady())
                return true;
        }
        return false;
    }
    bool isReady() const;
    void signal(int number) const
    {
        RECORD("node %s gets signal %d", this->name.c_str(), number);
        if (this->process > 0)
            kill(this->process, number);
    }
    void stop(int number)
    {
        if (this->process <= 0)
            return;
        kill(this->process, number);
        waitpid(std::exchange(this->process, -1), nullptr, 0);
    }
    bool hasEnded() // by itself or by a signal
    {
        int status = 0;
        if (this->process > 0 && waitpid(this->process, &status, WNOHANG) == this->process) {
            RECORD("node %s has ended, status %d", this->name.c_str(), status);
            this->process = -1;
        }
        return this->process <= 0;
    }
    std::string name;
    std::string folder;
    uint16_t store;
    uint16_t front = 0, ready = 0, peers = 0, metrics = 0;
    int memoryMb = 220;
    pid_t process = -1;
};

// ---- Clients

struct ClientSocket {
    int receiveBuffer = 0; // bytes; 0: the system's
    int segment = 0;       // bytes; 0: the system's
};

inline std::unique_ptr<Connection> connectTo(uint16_t port, const ClientSocket& options = {})
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.receiveBuffer)
        setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof(int));
    if (options.segment)
        setsockopt(handle, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof(int));
    sockaddr_in a = loopback(port);
    if (connect(handle, reinterpret_cast<sockaddr*>(&a), sizeof(a)) != 0) {
        ::close(handle);
        return nullptr;
    }
    return std::make_unique<Connection>(handle);
}

inline bool Node::isReady() const
{
    const auto c = connectTo(this->ready);
    if (!c || !c->send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
        return false;
    const auto m = c->message(1000);
    return m && m->status() == 200;
}

inline std::string attemptId()
{
    static std::atomic<uint64_t> next { static_cast<uint64_t>(getpid()) << 20 };
    char text[32];
    snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++next * 0x9e3779b97f4a7c15ULL));
    return text;
}

struct Ask {
    std::string method = "POST";
    std::string path = "/a/1";
    std::string id = attemptId();
    std::string key = "k1";
    int deadlineMs = 12000;
    std::string fields;
    std::string body;
    std::string text() const
    {
        return this->method + " " + this->path + " HTTP/1.1\r\nHost: h.example\r\nGuavapond-Attempt-Id: " + this->id
            + (this->key.empty() ? "" : "\r\nGuavapond-Key: " + this->key)
            + "\r\nGuavapond-Deadline-Ms: " + std::to_string(this->deadlineMs) + "\r\n" + this->fields
            + (this->body.empty() && this->method == "GET" ? "" : "Content-Length: " + std::to_string(this->body.size()) + "\r\n") + "\r\n"
            + this->body;
    }
};

// ---- The configuration

inline json route(
    const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service, int timeoutMs = 12000)
{
    return { { "name", name }, { "host", "h.example" }, { "prefix", prefix }, { "route_type", kind }, { "timeout_ms", timeoutMs },
        { "target_latency_ms", 600 }, { "priority", 0 }, { "service", service }, { "max_attempts", 2 }, { "anonymous", false },
        { "sticky", false }, { "resumable", false }, { "itl_target_ms", 300 } };
}
inline json config(int version, const json& routes, const json& keys = json::array({ "k1" }))
{
    return { { "version", version }, { "routes", routes },
        { "services",
            json::array(
                { { { "name", "s1" }, { "health_path", "/healthz" }, { "max_conns", 110 }, { "protocol", "h1" }, { "tls", false } } }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } },
        { "tenants",
            json::array({ { { "name", "t1" }, { "api_keys", keys }, { "priority", 1 }, { "unit", "token_count" },
                { "uncached_tokens", 200 }, { "rate_per_s", 1000000 }, { "burst", 1000000 } } }) } };
}

// ---- A case

inline bool hasTrouble()
{
    const char* value = getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline std::string begin(int argc, char** argv) // folder for settings and logs; arguments: record.txt, folder
{
    ::signal(SIGPIPE, SIG_IGN);
    startTime();
    if (argc < 3)
        _exit(2);
    Record::get().open(argv[1]);
    RECORD("disruption: %s", hasTrouble() ? "yes" : "no");
    return argv[2];
}

inline int conclude(std::vector<std::unique_ptr<Node>>& nodes, std::optional<bool> isBroken, const std::string& rule)
{
    for (const auto& node : nodes)
        node->stop(SIGKILL);
    const int code = !isBroken ? 2 : *isBroken ? 1 : 0;
    RECORD("%s: %s", rule.c_str(), code == 2 ? "the case could not run" : code == 1 ? "BROKEN" : "held");
    fprintf(stderr, "%s: %s\n", rule.c_str(), code == 2 ? "could not run" : code == 1 ? "broken" : "held");
    _exit(code); // threads of the stand-ins end with the process
}

} // namespace world
