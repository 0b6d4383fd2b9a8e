// Ports to targets: language model engines and plain services. The calls start work and return; events arrive on other threads.
//
// Index
//   EngineRequest, EngineEvent, Engine      streamed generation, resume, cancel, load, cache events, orders
//   ServiceRequest, ServiceAnswer, Service  one plain call
//   Cancellation                            ends a call early; safe to use from any thread, any number of times
#pragma once

#include "core/Types.h"

#include <functional>
#include <map>
#include <memory>

namespace guavapond {

using Cancellation = std::function<void()>;

struct EngineRequest {
    std::string url;           // base address of the target
    std::string path;          // /v1/chat/completions or /v1/completions
    std::string requestId;     // the ticket's text; every event of the answer has to carry it
    std::string body;          // JSON; the adapter asks the engine for a stream in any case
    uint64_t resumeOffset = 0; // tokens already received; above 0: resume, never a second dispatch
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration firstByteTimeout = std::chrono::seconds(30);
    Duration betweenTokensTimeout = std::chrono::seconds(5);
};

struct EngineEvent {
    enum class Kind : uint8_t {
        Tokens,     // data holds one event's JSON as the engine sent it
        Terminator, // [DONE]
        Failed,     // failure is set; the last event of a call
    };
    Kind kind = Kind::Tokens;
    std::string data;
    std::string streamId; // the id that the event names
    uint64_t offset = 0;  // tokens generated up to and with this event
    std::optional<Failure> failure;
    bool sent = true; // Failed only. False: proved that the target can't have received the whole request
};

struct EngineLoad {
    uint32_t running = 0; // requests
    uint32_t waiting = 0; // requests
    Duration age {};      // µs since the engine measured it
};

struct CacheEvent {
    uint64_t seq = 0;
    uint64_t block = 0;
    bool added = true;
};

struct Engine {
    std::function<std::string(std::string_view requestId)> streamIdOf; // what the events of this request's answer name
    std::function<Cancellation(EngineRequest, std::function<void(EngineEvent)>)> generate;
    std::function<void(std::string_view url, std::string_view requestId)> cancel;
    std::function<Result<EngineLoad>(std::string_view url)> load;
    std::function<Result<std::vector<CacheEvent>>(std::string_view url, uint64_t after)> cacheEvents;
    std::function<Result<bool>(std::string_view url)> health; // always on a fresh connection
    std::function<Result<bool>(std::string_view url, std::string_view order, std::string_view version, uint64_t fencing)> order;
};

struct ServiceRequest {
    std::string url;
    std::string method;
    std::string path; // with query
    std::string requestId;
    std::string contentType;
    std::string body;
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration timeout = std::chrono::seconds(30);
};

struct ServiceAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    std::optional<Failure> failure; // set when no whole answer came
    bool sent = true;               // with failure. False: proved that the target can't have received the whole request
};

struct Service {
    std::function<Cancellation(ServiceRequest, std::function<void(ServiceAnswer)>)> call;
};

} // namespace guavapond
