// Stand-ins and helpers for the cases of this review: a store, runners, clients and processes of guavapond-edge, on loopback addresses and
// the real clock. Threads and blocking sockets; every stand-in keeps to the platform's pages.
//
// Index
//   Clock          seconds since the start of the case
//   Record         record.txt: what was sent, answered and run
//   HttpServer     one thread a connection
//   Store          the platform's store: items, leases, conditions
//   EdgeNode       a process of guavapond-edge with its settings
//   Client         a connection to a node that sends one request at a time
//   disrupts       false if the environment holds TROUBLE=0
#pragma once

#include <utility> // before Boost 1.74, whose headers lack it

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

inline bool disrupts()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline double seconds()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double value) { std::this_thread::sleep_for(std::chrono::duration<double>(std::max(value, 0.0))); }
inline void sleepUntil(double time) { sleepFor(time - seconds()); }

class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32] = {};
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        this->file << time << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline std::string encodeBase64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t k = 0; k < 3; ++k)
            group = (group << 8) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (size_t k = 0; k < 4; ++k)
            result += i + k <= bytes.size() ? digits[(group >> (18 - 6 * k)) & 63] : '=';
    }
    return result;
}

inline std::string decodeBase64(const std::string& text)
{
    std::string result;
    uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const char* at = c == '=' ? nullptr : std::strchr(digits, c);
        if (!at || c == '\0')
            break;
        group = (group << 6) | static_cast<uint32_t>(at - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += static_cast<char>((group >> bits) & 255);
        }
    }
    return result;
}

// Below the ports of outgoing connections, so that none of these takes it before its process does.
inline uint16_t freePort()
{
    static std::mt19937 generator(std::random_device {}());
    static std::set<uint16_t> given;
    std::uniform_int_distribution<int> choose(15000, 30000);
    for (;;) {
        const auto port = static_cast<uint16_t>(choose(generator));
        net::io_context loop;
        const net::ip::address local = net::ip::make_address("127.0.0.1");
        tcp::acceptor acceptor(loop);
        net::ip::udp::socket datagrams(loop);
        boost::system::error_code isTaken;
        boost::system::error_code isTakenByDatagrams;
        acceptor.open(tcp::v4());
        acceptor.bind({ local, port }, isTaken);
        datagrams.open(net::ip::udp::v4());
        datagrams.bind({ local, port }, isTakenByDatagrams);
        if (!isTaken && !isTakenByDatagrams && given.insert(port).second)
            return port;
    }
}

// A connection that a server has accepted. Handlers write to `socket`.
struct Connection {
    explicit Connection(tcp::socket connected)
        : socket(std::move(connected))
    {
    }
    tcp::socket socket;
    beast::flat_buffer buffer;
    bool isClosed() // the other side has closed, or reset
    {
        char byte = 0;
        const ssize_t count = recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool send(const std::string& bytes)
    {
        boost::system::error_code error;
        net::write(this->socket, net::buffer(bytes), error);
        return !error;
    }
    void reset()
    {
        boost::system::error_code ignored;
        this->socket.set_option(net::socket_base::linger(true, 0), ignored);
        this->socket.close(ignored);
    }
};

class HttpServer {
public:
    // Returns false to close the connection.
    using Handler = std::function<bool(Connection&, Request&)>;

    explicit HttpServer(Handler handler, uint16_t wantedPort = 0)
        : handler(std::move(handler))
        , acceptor(loop, { net::ip::make_address("127.0.0.1"), wantedPort })
    {
        this->ownPort = this->acceptor.local_endpoint().port();
        this->thread = std::thread([this] { this->accept(); });
    }
    ~HttpServer()
    {
        this->stop();
        for (std::thread& each : this->threads)
            each.join();
    }
    void stop() // closes the listening socket and all connections at once
    {
        if (this->stopped.exchange(true))
            return;
        ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
        this->thread.join();
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        const std::lock_guard lock(this->mutex);
        for (const auto& open : this->open)
            ::shutdown(open->socket.native_handle(), SHUT_RDWR);
    }
    bool isStopped() const { return this->stopped; }
    uint16_t port() const { return this->ownPort; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->ownPort); }

private:
    void accept()
    {
        while (!this->stopped) {
            boost::system::error_code error;
            tcp::socket socket(this->loop);
            this->acceptor.accept(socket, error);
            if (error || this->stopped)
                return;
            socket.set_option(tcp::no_delay(true), error);
            const auto connection = std::make_shared<Connection>(std::move(socket));
            const std::lock_guard lock(this->mutex);
            this->open.insert(connection);
            this->threads.emplace_back([this, connection] { this->serve(connection); });
        }
    }
    void serve(const std::shared_ptr<Connection>& connection)
    {
        while (!this->stopped) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(8 << 20);
            boost::system::error_code error;
            http::read(connection->socket, connection->buffer, parser, error);
            if (error)
                break;
            Request request = parser.release();
            if (!this->handler(*connection, request) || !request.keep_alive())
                break;
        }
        const std::lock_guard lock(this->mutex);
        this->open.erase(connection);
        boost::system::error_code ignored;
        connection->socket.close(ignored);
    }

    Handler handler;
    net::io_context loop;
    tcp::acceptor acceptor;
    uint16_t ownPort = 0;
    std::thread thread;
    std::mutex mutex;
    std::set<std::shared_ptr<Connection>> open;
    std::list<std::thread> threads;
    std::atomic<bool> stopped = false;
};

inline bool answer(Connection& connection, unsigned status, const std::string& body, const std::map<std::string, std::string>& fields = {})
{
    std::ostringstream text;
    text << "HTTP/1.1 " << status << " X\r\nContent-Length: " << body.size() << "\r\n";
    for (const auto& [name, value] : fields)
        text << name << ": " << value << "\r\n";
    text << "\r\n" << body;
    return connection.send(text.str());
}

class Store {
public:
    Store()
        : server([this](Connection& connection, Request& request) { return this->onCall(connection, request); })
    {
    }
    std::string address() const { return this->server.address(); }
    uint64_t put(const std::string& key, const std::string& value, uint64_t lease = 0)
    {
        const std::lock_guard lock(this->mutex);
        return this->write(key, value, lease);
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        if (this->items.erase(key) > 0)
            ++this->revision;
    }
    std::string value(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        this->expire();
        const auto found = this->items.find(key);
        return found == this->items.end() ? "" : found->second.value;
    }
    void stop() { this->server.stop(); }
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t created = 0;
        uint64_t lease = 0;
    };
    struct Copy {
        std::map<std::string, Item> items;
        uint64_t revision = 0;
    };
    Copy copy()
    {
        const std::lock_guard lock(this->mutex);
        return { this->items, this->revision };
    }
    // Comes back from an older copy: what was written since then is gone, leases too, and a new era begins.
    void restore(const Copy& copy)
    {
        const std::lock_guard lock(this->mutex);
        this->items = copy.items;
        this->revision = copy.revision;
        this->leases.clear();
        std::erase_if(this->items, [](const auto& item) { return item.second.lease != 0; });
        ++this->era;
    }
    // Called before each call is done; true: the call gets no answer and its connection is closed. May be empty.
    std::function<bool(Connection&, const Request&)> interrupt;
    std::function<void(const std::string& key, const std::string& value)> onWrite; // of the system; may be empty

private:
    struct Lease {
        double ttl = 0;
        double endsAt = 0;
    };
    uint64_t write(const std::string& key, const std::string& value, uint64_t lease)
    {
        Item& item = this->items[key];
        item.value = value;
        item.revision = ++this->revision;
        if (item.created == 0)
            item.created = item.revision;
        item.lease = lease;
        return item.revision;
    }
    void endLease(uint64_t id)
    {
        this->leases.erase(id);
        const size_t count = std::erase_if(this->items, [&](const auto& item) { return item.second.lease == id; });
        this->revision += count;
    }
    void expire()
    {
        std::vector<uint64_t> ended;
        for (const auto& [id, lease] : this->leases) {
            if (lease.endsAt <= seconds())
                ended.push_back(id);
        }
        for (const uint64_t id : ended)
            this->endLease(id);
    }
    json shown(const std::string& key, const Item& item) const
    {
        return { { "key", key }, { "value", encodeBase64(item.value) }, { "revision", item.revision }, { "created", item.created },
            { "lease", item.lease } };
    }
    static std::string parameter(const std::string& target, const std::string& name)
    {
        size_t at = target.find("?" + name + "=");
        if (at == std::string::npos)
            at = target.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        std::string text = target.substr(at + name.size() + 2);
        text = text.substr(0, text.find('&'));
        std::string result;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else
                result += text[i];
        }
        return result;
    }
    bool onCall(Connection& connection, Request& request)
    {
        if (this->interrupt && this->interrupt(connection, request))
            return false;
        sleepFor(0.004); // as the pages say of the store's answers
        std::vector<std::pair<std::string, std::string>> written;
        unsigned status = 404;
        json body = json::object();
        uint64_t era = 0;
        {
            const std::lock_guard lock(this->mutex);
            this->expire();
            std::tie(status, body) = this->handle(request, written);
            era = this->era;
        }
        if (this->onWrite) {
            for (const auto& [key, value] : written)
                this->onWrite(key, value);
        }
        return answer(connection, status, body.dump(), { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(era) } });
    }
    std::pair<unsigned, json> handle(Request& request, std::vector<std::pair<std::string, std::string>>& written)
    {
        const std::string target(request.target());
        const std::string path = target.substr(0, target.find('?'));
        const std::string method(request.method_string());
        if (method == "GET" && path == "/-/kv-range") {
            json entries = json::array();
            const std::string prefix = parameter(target, "prefix");
            const std::string after = parameter(target, "after");
            bool more = false;
            for (const auto& [key, item] : this->items) {
                if (!key.starts_with(prefix) || (!after.empty() && key <= after))
                    continue;
                more = entries.size() == 500;
                if (more)
                    break;
                entries.push_back(this->shown(key, item));
            }
            return { 200, { { "entries", entries }, { "more_pages", more }, { "store_revision", this->revision } } };
        }
        if (method == "GET" && path == "/-/kv-key") {
            const auto found = this->items.find(parameter(target, "key"));
            if (found == this->items.end())
                return { 404, { { "store_revision", this->revision } } };
            json shown = this->shown(found->first, found->second);
            shown["store_revision"] = this->revision;
            return { 200, shown };
        }
        if (method == "POST" && path == "/-/kv-txn")
            return this->transact(json::parse(request.body()), written);
        if (method == "POST" && path == "/-/kv-lease") {
            const double ttl = json::parse(request.body()).at("ttl_ms").get<double>() / 1000;
            this->leases[++this->lastLease] = { ttl, seconds() + ttl };
            return { 200, { { "lease", this->lastLease }, { "ttl_ms", static_cast<int64_t>(ttl * 1000) } } };
        }
        const auto idAfter = [&](const std::string& prefix) { return std::stoull(path.substr(prefix.size())); };
        if (method == "POST" && path.starts_with("/-/kv-keep/")) {
            const auto found = this->leases.find(idAfter("/-/kv-keep/"));
            if (found == this->leases.end())
                return { 404, json::object() };
            found->second.endsAt = seconds() + found->second.ttl;
            return { 200, { { "ttl_ms", static_cast<int64_t>(found->second.ttl * 1000) } } };
        }
        if (method == "DELETE" && path.starts_with("/-/kv-lease-end/")) {
            this->endLease(idAfter("/-/kv-lease-end/"));
            return { 200, json::object() };
        }
        return { 404, json::object() };
    }
    std::pair<unsigned, json> transact(const json& call, std::vector<std::pair<std::string, std::string>>& written)
    {
        json present = json::array();
        bool isConflict = false;
        for (const json& row : call.at("expected_revision")) {
            const std::string key = row.at("key");
            const auto found = this->items.find(key);
            const uint64_t current = found == this->items.end() ? 0 : found->second.revision;
            isConflict = isConflict || current != row.at("revision").get<uint64_t>();
            present.push_back(found == this->items.end() ? json { { "key", key }, { "revision", 0 } } : this->shown(key, found->second));
        }
        if (isConflict)
            return { 412, { { "entries", present } } };
        for (const json& write : call.at("writes")) {
            const auto lease = write.value("lease", uint64_t { 0 });
            if (lease != 0 && !this->leases.contains(lease))
                return { 404, json::object() };
            const std::string key = write.at("key");
            if (key.starts_with("op/") || key.starts_with("servers/"))
                return { 403, json::object() };
        }
        for (const json& write : call.at("writes")) {
            const std::string value = decodeBase64(write.at("value").get<std::string>());
            this->write(write.at("key"), value, write.value("lease", uint64_t { 0 }));
            written.emplace_back(write.at("key"), value);
        }
        for (const json& key : call.at("remove")) {
            if (this->items.erase(key.get<std::string>()) > 0)
                ++this->revision;
        }
        return { 200, { { "revision", this->revision } } };
    }

    std::mutex mutex;
    std::map<std::string, Item> items;
    std::map<uint64_t, Lease> leases;
    uint64_t revision = 100;
    uint64_t lastLease = 7000;
    uint64_t era = 1;
    HttpServer server; // last: its threads use the rest
};

struct NodeSettings {
    std::string name = "edge-1";
    std::string zone = "z1";
    std::string store;
    int memoryMb = 390;
    std::string more; // further lines, as the template fills them in
};

// The program of the deploy file. The settings file holds what platform/settings.toml.in makes of a small deployment's values.
class EdgeNode {
public:
    EdgeNode(const std::string& directory, const NodeSettings& settings)
        : directory(directory)
        , settings(settings)
        , front(freePort())
        , ready(freePort())
        , peers(freePort())
        , metrics(freePort())
    {
        const auto local = [](uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::ofstream(this->settingsFile()) << "node = \"" << settings.name << "\"\nfailureDomain = \"" << settings.zone
                                            << "\"\n[listen]\ncallers = " << local(this->front) << "ready = " << local(this->ready)
                                            << "peers = " << local(this->peers) << "metrics = " << local(this->metrics)
                                            << "[store]\naddress = \"" << settings.store
                                            << "\"\n[limits]\ndescriptors = 4100\nmemoryMb = " << settings.memoryMb
                                            << "\n[machine]\ncores = 1\ncoreShare = 0.5\nlinkMbps = 1500.0\n[keys]\nrevocationMs = "
                                               "5000\ncheckRevocation = true\n[stop]\ngraceSeconds = 8\n[moves]\nmostExposed = "
                                               "0.1\nexposedAllowance = 50\n[secondTries]\nratio = 0.2\nwindowSeconds = 10\nallowance = "
                                               "54\n[quotas]\nwindowSeconds = 8\n[admission]\nplansRoom = true\n[spill]\nenabled = "
                                               "true\ngigabytePrice = 5000\nwaitSecondPrice = 1\nmaxRequestPrice = 0.1\n"
                                            << settings.more;
        this->start();
    }
    ~EdgeNode() { this->kill(); }
    void start()
    {
        this->pid = fork();
        if (this->pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the case, however that ends
            const int log = open((this->directory + "/" + this->settings.name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("GUAVAPOND_SETTINGS", this->settingsFile().c_str(), 1);
            execl("target/guavapond-edge", "target/guavapond-edge", nullptr);
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (this->pid > 0)
            ::kill(this->pid, number);
    }
    void kill()
    {
        this->signal(SIGKILL);
        this->wait();
    }
    int wait() // for the end of the process; its wait status
    {
        int status = 0;
        if (this->pid > 0)
            waitpid(this->pid, &status, 0);
        this->pid = -1;
        return status;
    }
    std::optional<int> ended() // its wait status, if the process has ended
    {
        int status = 0;
        if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid)
            return std::nullopt;
        this->pid = -1;
        return status;
    }
    bool isReady() const
    {
        try {
            net::io_context loop;
            tcp::socket socket(loop);
            socket.connect({ net::ip::make_address("127.0.0.1"), this->ready });
            net::write(socket, net::buffer(std::string("GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
            beast::flat_buffer buffer;
            Response response;
            http::read(socket, buffer, response);
            return response.result_int() == 200;
        } catch (const std::exception&) {
            return false;
        }
    }
    bool waitUntilReady(double within = 10) const
    {
        const double end = seconds() + within;
        while (seconds() < end) {
            if (this->isReady())
                return true;
            sleepFor(0.05);
        }
        return false;
    }
    double memoryMb() const // resident, now
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmRSS:"))
                return std::stod(line.substr(6)) * 1024 / 1e6;
        }
        return 0;
    }
    std::string settingsFile() const { return this->directory + "/" + this->settings.name + ".toml"; }
    uint16_t frontPort() const { return this->front; }
    uint16_t peersPort() const { return this->peers; }
    pid_t process() const { return this->pid; }

private:
    std::string directory;
    NodeSettings settings;
    uint16_t front;
    uint16_t ready;
    uint16_t peers;
    uint16_t metrics;
    pid_t pid = -1;
};

struct Answer {
    bool isWhole = false;
    unsigned status = 0; // 0: none came
    std::string seal;
    std::string attempt;
    std::string body;
    std::string fault; // why it is not whole
};

inline std::string newAttempt()
{
    static std::atomic<uint64_t> last = 0;
    static const uint64_t seed = std::random_device()();
    char text[40] = {};
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(seed), static_cast<unsigned>(++last));
    return text;
}

class Client {
public:
    explicit Client(uint16_t port)
        : socket(loop)
        , port(port)
    {
    }
    bool connect()
    {
        boost::system::error_code error;
        this->socket.connect({ net::ip::make_address("127.0.0.1"), this->port }, error);
        if (!error)
            this->socket.set_option(tcp::no_delay(true), error);
        return !error;
    }
    bool isOpen() const { return this->socket.is_open(); }
    void close()
    {
        boost::system::error_code ignored;
        this->socket.close(ignored);
        this->buffer.clear();
    }
    bool send(const std::string& method, const std::string& path, const std::string& attempt, const std::string& body,
        const std::map<std::string, std::string>& fields)
    {
        if (!this->socket.is_open() && !this->connect())
            return false;
        std::ostringstream text;
        text << method << " " << path << " HTTP/1.1\r\nHost: shop.example\r\nGuavapond-Attempt-Id: " << attempt << "\r\n";
        if (!body.empty() || method == "POST")
            text << "Content-Length: " << body.size() << "\r\n";
        for (const auto& [name, value] : fields)
            text << name << ": " << value << "\r\n";
        text << "\r\n" << body;
        boost::system::error_code error;
        net::write(this->socket, net::buffer(text.str()), error);
        return !error;
    }
    Answer receive(double within)
    {
        Answer result;
        timeval limit { static_cast<time_t>(within), static_cast<suseconds_t>((within - static_cast<time_t>(within)) * 1e6) };
        setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        http::response_parser<http::string_body> parser;
        parser.body_limit(64 << 20);
        boost::system::error_code error;
        http::read(this->socket, this->buffer, parser, error);
        if (parser.is_header_done()) {
            const auto& head = parser.get();
            result.status = head.result_int();
            result.seal = std::string(head["Guavapond-Response-Seal"]);
            result.attempt = std::string(head["Guavapond-Attempt-Id"]);
            result.body = head.body();
        }
        result.isWhole = !error;
        if (error)
            result.fault = error.message();
        if (error || !parser.get().keep_alive())
            this->close();
        return result;
    }
    Answer ask(const std::string& method, const std::string& path, const std::string& attempt, const std::string& body,
        const std::map<std::string, std::string>& fields, double within)
    {
        if (!this->send(method, path, attempt, body, fields)) {
            this->close();
            return { .fault = "could not be sent" };
        }
        return this->receive(within);
    }

private:
    net::io_context loop;
    tcp::socket socket;
    uint16_t port;
    beast::flat_buffer buffer;
};

inline json route(const std::string& name, const std::string& prefix, const std::string& type, int timeoutMs, const std::string& service)
{
    return { { "name", name }, { "host", "shop.example" }, { "prefix", prefix }, { "route_type", type }, { "timeout_ms", timeoutMs },
        { "target_latency_ms", 100 }, { "priority", 2 }, { "service", service }, { "max_attempts", type == "idempotent" ? 2 : 1 },
        { "anonymous", true }, { "sticky", type == "streaming" }, { "resumable", false } };
}

inline json limits()
{
    return { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
}

inline std::string serverEntry(
    const std::string& service, const std::string& address, const std::string& version, int slots, const std::string& state, int sequence)
{
    static const int64_t born
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return json {
        { "service", service }, { "address", address }, { "zone", "z1" }, { "version", version }, { "slots", slots }, { "state", state },
        { "cold_left_ms", 0 }, { "sequence", sequence }, { "born", born }
    }.dump();
}

} // namespace world
