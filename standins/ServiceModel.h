// Stand-in for a plain service: counts each executed call by request id, with faults.
//
// Index
//   ServiceSettings, ServiceFaults   what to serve; what to do wrong
//   ServiceModel                     the service with its listener; GET /log and PUT /faults beside the service's own paths
#pragma once

#include "LoopbackListener.h"

#include "core/Types.h"

#include <condition_variable>
#include <map>
#include <thread>

namespace guavapond::standins {

struct ServiceSettings {
    uint16_t port = 0; // 0: chosen by the kernel
    std::string service = "register";
    std::string version = "1";
};

// Set by PUT /faults; a body without a field sets the default. Counts go down with each call that they hit.
struct ServiceFaults {
    uint32_t failNext = 0; // calls answered with failStatus and not executed
    int failStatus = 500;
    uint32_t stallNext = 0; // calls executed and never answered; the connection stays open
    uint32_t cutNext = 0;   // calls executed whose connection closes in the middle of the answer
    Duration delay {};      // µs before each answer
};

class ServiceModel {
public:
    explicit ServiceModel(const ServiceSettings& settings);
    ~ServiceModel();
    ServiceModel(const ServiceModel&) = delete;
    ServiceModel& operator=(const ServiceModel&) = delete;

    uint16_t port() const { return this->listener->port(); }
    std::string url() const { return this->listener->url(); }
    void setFaults(const ServiceFaults& faults);
    void silenceOpenConnections() { this->listener->silenceOpenConnections(); }

    struct Call {
        std::string request;
        std::string method;
        std::string path;
        TimePoint start {};
    };
    std::vector<Call> log() const; // one entry for each executed call
    size_t executions(std::string_view request) const;

private:
    void handle(const web::http::http_request& request);
    void execute(const web::http::http_request& request, const std::string& body);
    void handleFaults(const web::http::http_request& request);
    std::string logLines() const;
    void answerLater(); // thread that sends delayed answers

    const ServiceSettings settings;
    mutable std::mutex mutex; // guards everything down to delayed
    std::condition_variable changed;
    bool stopping = false;
    ServiceFaults faults;
    std::vector<Call> calls;
    std::vector<web::http::http_request> unanswered; // kept so that their connections stay open
    std::multimap<TimePoint, std::function<void()>> delayed;
    std::thread timer;
    std::unique_ptr<LoopbackListener> listener; // last: opened when everything else is ready
};

ServiceFaults parseServiceFaults(const nlohmann::json& body);

} // namespace guavapond::standins
