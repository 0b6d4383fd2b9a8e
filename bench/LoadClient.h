// Callers of the scenario `nodes`: each sends one request at a time to changing entry nodes and follows it to its final outcome.
//
// Index
//   RequestClass, CallerOutcome    what is sent; how it ended for the caller
//   RequestRecord, NodeEntry       what the judge reads
//   LoadClient                     the callers' threads
#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace web::http::client {
class http_client;
}

namespace guavapond::bench {

using SteadyTime = std::chrono::steady_clock::time_point;

enum class RequestClass : uint8_t {
    Question, // streamed, urgent, without a ticket: sent again as a new request when the connection is lost
    Letter,   // streamed, batch, under a ticket
    Call,     // service call that is not idempotent, under a ticket
};

enum class CallerOutcome : uint8_t {
    None, // no true final outcome: the request is lost
    Answered,
    Ran,     // told "ran" without an answer
    Unknown, // told "unknown"
    NotRun,  // told "not run" until the caller stopped sending it again
};

// One HTTP exchange.
struct AttemptRecord {
    size_t node = 0; // entry node
    std::string ticket;
    SteadyTime start;
    SteadyTime end;
    bool lost = false; // connection refused or lost, or nothing came in time
    bool sent = false; // lost after the connection was open
    int status = 0;
    std::string type;        // of an error
    std::string disposition; // of an error
};

struct RequestRecord {
    RequestClass kind = RequestClass::Question;
    SteadyTime start;
    SteadyTime end;
    CallerOutcome outcome = CallerOutcome::None;
    bool crossed = false;
    std::vector<AttemptRecord> attempts;
    std::vector<std::string> toldNotRun; // tickets
};

struct NodeEntry {
    std::string name;
    std::string url;
};

struct LoadSettings {
    size_t questionCallers = 16;
    size_t letterCallers = 4;
    size_t callCallers = 8;
    std::chrono::milliseconds pause { 60 };             // of a caller between two requests
    std::chrono::milliseconds questionTimeout { 1000 }; // without a byte, the caller gives its connection up
    std::chrono::milliseconds ticketTimeout { 3000 };   // the same, for requests under a ticket
    std::chrono::milliseconds avoidance { 1000 };       // of a node that lost a connection or refused: the callers' load balancer
    std::chrono::milliseconds patience { 25000 };       // of a caller, for one request
    size_t letterWords = 1500;
    uint32_t questionTokens = 8;
    uint32_t letterTokens = 40;
};

class LoadClient {
public:
    LoadClient(const LoadSettings& settings, std::vector<NodeEntry> nodes, uint64_t seed);
    ~LoadClient();
    LoadClient(const LoadClient&) = delete;
    LoadClient& operator=(const LoadClient&) = delete;

    void stop();                                // no new requests; waits for the ones under way
    size_t openAt(size_t node) const;           // requests under way that are connected to the node, or whose ticket it owns
    std::vector<RequestRecord> records() const; // of requests that have ended

private:
    struct Caller;
    void run(Caller& caller);
    void ask(Caller& caller, RequestRecord& record);
    void follow(Caller& caller, RequestRecord& record, const std::string& path, const std::string& body);
    std::string mint(Caller& caller, RequestRecord& record, SteadyTime until);
    AttemptRecord send(Caller& caller, RequestRecord& record, const std::string& path, const std::string& body, const std::string& ticket);
    void askTicket(Caller& caller, RequestRecord& record, const std::string& ticket);
    void checkAnswer(RequestRecord& record, const std::string& body, const std::string& answer, const std::string& ticket) const;
    void pauseBeforeRetry(const Caller& caller, const AttemptRecord& attempt) const;
    size_t pickNode(Caller& caller) const;
    web::http::client::http_client& clientOf(Caller& caller, size_t node) const;
    std::string ownerOf(const std::string& ticket) const;

    const LoadSettings settings;
    const std::vector<NodeEntry> nodes;
    std::atomic<bool> stopping { false };
    std::vector<std::atomic<int64_t>> avoidedUntil; // by node; steady clock, ms
    std::vector<std::atomic<uint64_t>> losses;      // connections lost, by node: older connections are not used again
    std::vector<std::unique_ptr<Caller>> callers;
    mutable std::mutex mutex;
    std::vector<RequestRecord> ended;         // guarded by mutex
    std::map<size_t, AttemptRecord> underWay; // by caller; guarded by mutex
};

} // namespace guavapond::bench
