// Stand-in for a language model engine: the protocol of section 7 of the design, with a deterministic answer, a dispatch log and faults.
//
// Index
//   EngineSettings, EngineFaults   rates and cache; what to do wrong
//   answerText                     the text that a prompt gets, for tests that check a whole answer
//   EngineModel                    the engine with its listener; GET /log and PUT /faults beside the engine's own paths
#pragma once

#include "LoopbackListener.h"

#include "core/Types.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <thread>
#include <unordered_map>

namespace guavapond::standins {

struct EngineSettings {
    uint16_t port = 0; // 0: chosen by the kernel
    std::string model = "demo";
    std::string version = "1";
    double prefillRate = 0;     // uncached prompt tokens/s of one request; 0: no prefill time
    double decodeRate = 0;      // tokens/s of one request; 0: as fast as possible
    size_t cacheBlocks = 4096;  // prefix blocks kept, least recently used dropped first
    bool checksFencing = false; // refuses an order with a lower fencing number than one seen before
    Duration loadLag {};        // µs; GET /v1/load reports the state of so long ago
    size_t emitterThreads = 2;  // threads that write tokens when they are due
};

// Set by PUT /faults; a body without a field sets the default. Numbers of tokens count from 1.
struct EngineFaults {
    uint32_t failNext = 0; // requests answered with failStatus
    int failStatus = 500;
    uint32_t requests = UINT32_MAX;          // dispatches to which the stream faults below apply
    bool stallHeaders = false;               // no answer at all; the connection stays open
    std::optional<uint32_t> stallAfter = {}; // tokens, then silence; 0: before the first token
    std::optional<uint32_t> closeAfter = {}; // tokens, then the connection is closed
    bool crossedId = false;                  // events carry another stream's id
    uint32_t repeatToken = 0;                // number of the token that is sent twice
    uint32_t skipToken = 0;                  // number of the token that is never sent
    bool noTerminator = false;               // the body ends without [DONE]
    double slowFactor = 1;                   // of prefill and decode time
    bool checksFencing = false;
    bool dropCacheEvents = false;         // sequence numbers go on, events are lost
    std::optional<Duration> loadLag = {}; // µs
};

// The answer's words are derived from a hash of the prompt, one per token.
std::string answerText(std::string_view prompt, uint32_t tokens);
uint32_t answerTokens(std::string_view prompt, std::optional<uint32_t> maxTokens); // tokens of the whole answer
// The prompt of a request body: "prompt", or each message as "role\ncontent\n", which is how the node builds it for hashPrefix.
std::string promptOf(const nlohmann::json& body);

class EngineModel {
public:
    explicit EngineModel(const EngineSettings& settings);
    ~EngineModel();
    EngineModel(const EngineModel&) = delete;
    EngineModel& operator=(const EngineModel&) = delete;

    uint16_t port() const { return this->listener->port(); }
    std::string url() const { return this->listener->url(); }
    void setFaults(const EngineFaults& faults);
    void silenceOpenConnections() { this->listener->silenceOpenConnections(); }

    struct Dispatch {
        std::string request;
        TimePoint start {};
        std::optional<TimePoint> end;
        uint32_t tokens = 0;             // generated
        uint32_t prefillTokens = 0;      // not cached
        std::string outcome = "running"; // running, completed, cancelled, refused
    };
    std::vector<Dispatch> log() const; // one entry for each POST that was dispatched here
    size_t dispatches(std::string_view request) const;
    size_t running() const { return this->runningStreams.load(); }

private:
    struct Output; // one connection that receives a stream
    struct Stream; // one dispatched request
    struct Shard;  // streams written by one thread

    void handle(const web::http::http_request& request);
    void handleGenerate(const web::http::http_request& request, bool chat);
    void startStream(const web::http::http_request& request, const std::string& id, const nlohmann::json& body, bool chat);
    void handleStream(const web::http::http_request& request, const std::string& id);
    void handleOrder(const web::http::http_request& request);
    void handleFaults(const web::http::http_request& request);
    nlohmann::json loadReport();
    nlohmann::json cacheEvents(uint64_t after);
    std::string logLines() const;
    uint32_t prefill(std::string_view prompt); // cached tokens before; the prompt's blocks are cached after
    void addOutput(const std::shared_ptr<Stream>& stream, const web::http::http_request& request, uint32_t offset);
    std::shared_ptr<Stream> find(const std::string& id) const;

    void emit(Shard& shard);
    std::optional<TimePoint> advance(Stream& stream, TimePoint now); // time of the next token; none when finished
    void write(Stream& stream, Output& output, uint32_t due);
    void finish(Stream& stream, std::string_view outcome, TimePoint now);

    const EngineSettings settings;
    mutable std::mutex mutex; // guards everything down to loadHistory
    EngineFaults faults;
    std::deque<Dispatch> dispatchLog; // stable references; entries are never removed
    std::unordered_map<std::string, std::shared_ptr<Stream>> streams;
    std::deque<std::string> finishedOrder; // ids of finished streams, oldest first; bounded
    std::list<uint64_t> cacheOrder;        // most recently used first
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache;
    std::deque<nlohmann::json> cacheEventLog;
    uint64_t cacheEventSeq = 0;
    uint64_t highestFencing = 0;
    std::string version;
    std::deque<std::pair<TimePoint, size_t>> loadHistory; // running streams at each change

    std::atomic<size_t> runningStreams = 0;
    std::atomic<bool> stopping = false;
    std::atomic<uint64_t> nextShard = 0;
    std::vector<std::unique_ptr<Shard>> shards;
    std::vector<web::http::http_request> unanswered; // kept so that their connections stay open; guarded by mutex
    std::unique_ptr<LoopbackListener> listener;      // last: opened when everything else is ready
};

EngineFaults parseFaults(const nlohmann::json& body);

} // namespace guavapond::standins
