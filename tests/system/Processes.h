// Real processes for the system tests: stand-ins and nodes on loopback ports chosen by the kernel, and a small HTTP client.
//
// Index
//   HttpResponse, HttpClient, fetch
//   Deployment       a directory, the platform's stand-in, engines, services, and nodes that know each other
#pragma once

#include "ChildProcess.h"
#include "PortReservation.h"
#include "core/TableStore.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>

namespace guavapond::test {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpResponse {
    int status = 0;
    std::string head;
    std::string body;   // without chunk framing
    bool whole = false; // ended by its length or its last chunk
    nlohmann::json json() const { return nlohmann::json::parse(this->body, nullptr, false); }
    std::string errorField(const char* field) const;
};

// One connection that carries one request. With a certificate to trust it uses TLS.
class HttpClient {
public:
    struct Options {
        std::string trusted;   // PEM file; empty: no TLS
        int receiveBuffer = 0; // bytes; 0: the kernel's default
    };
    explicit HttpClient(uint16_t port);
    HttpClient(uint16_t port, const Options& options);

    void send(const std::string& method, const std::string& target, const Headers& headers, const std::string& body = {});
    bool readUntil(const std::string& text); // false: the answer ended before
    HttpResponse finish();                   // reads to the end of the connection
    void close();

private:
    bool readSome();

    boost::asio::io_context context;
    boost::asio::ssl::context tls { boost::asio::ssl::context::tls_client };
    boost::asio::ssl::stream<boost::asio::ip::tcp::socket> stream { this->context, this->tls };
    bool secure = false;
    std::string received;
};

HttpResponse fetch(uint16_t port, const std::string& method, const std::string& target, const Headers& headers = {},
    const std::string& body = {}, const HttpClient::Options& options = {});

class Deployment {
public:
    Deployment();
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // ---- Back ends; each becomes a row of `table`
    Process& addEngine(const std::string& name, const std::string& model, const std::vector<std::string>& options = {});
    Process& addService(const std::string& name, const std::string& service);
    uint16_t portOf(Process& process);
    void putFaults(Process& standin, const nlohmann::json& faults);
    std::vector<nlohmann::json> logOf(Process& standin);
    size_t runsOf(Process& standin, const std::string& ticket);

    // ---- Platform
    uint64_t writeTable(); // the revision
    Process& platform() { return *this->platformProcess; }

    // ---- Nodes. Extra settings are lines of TOML that follow the fixed sections.
    void reservePeers(const std::vector<std::string>& names);
    Process& startNode(const std::string& name, const std::string& extra = {}, const std::string& callers = {});
    bool isReady(uint16_t port) const;
    std::string metric(uint16_t port, const std::string& line) const; // value of a line of /metrics that starts so; empty: none
    nlohmann::json targetStatus(uint16_t port, const std::string& target) const;

    Table table;
    std::string directory;

private:
    Process& start(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);

    std::vector<std::unique_ptr<Process>> processes;
    Process* platformProcess = nullptr;
    std::map<std::string, std::unique_ptr<PortReservation>> peerPorts;
    std::map<std::string, uint16_t> peerPortNumbers;
    int edits = 0;
};

} // namespace guavapond::test
