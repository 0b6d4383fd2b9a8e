// Stand-in for a runner of the platform: a streaming engine or a plain service that records what it ran and misbehaves on demand.
//
// Index
//   RunnerFault      what it does wrong with the next requests
//   CrashMoment
//   RunnerSettings
//   PlatformRunner
#pragma once

#include "edge/HttpListener.h"

#include <list>
#include <map>

namespace guavapond::standins {

enum class RunnerFault : uint8_t {
    None,
    Declines,     // 503 with its word that the request has not run
    OtherOwner,   // 421: the address has another owner
    Fails,        // 500 after it ran
    BareBusy,     // 503 without its word: it ran
    Unsealed,     // 200 without its mark
    Encoded,      // 200 with a content encoding
    WrongId,      // an answer to another request, then nothing
    BreaksBefore, // closes the connection without an answer
    BreaksMidway, // closes it in the middle of the second event, or of the body
    Hangs,        // never answers
};

// How far its answer is when a runner crashes on a request.
enum class CrashMoment : uint8_t {
    BeforeAnswer,
    AfterHead,
    AfterPart, // of the body; two events of a stream
};

struct RunnerSettings {
    std::string id = "r1";
    edge::Address address;
    int events = 5; // of a stream
    Duration eventGap = std::chrono::milliseconds(5);
    Duration work = std::chrono::milliseconds(5); // of a plain request
};

class PlatformRunner {
public:
    struct Run {
        std::string attempt;
        edge::http::request<edge::http::string_body> request;
        bool cancelled = false; // the caller's connection closed before the answer was whole
    };

    PlatformRunner(edge::net::io_context& loop, const RunnerSettings& settings);

    void start() { this->listener.listen(); }
    void stop() { this->listener.shutDown(); }
    edge::Address address() const { return { this->settings.address.ip, this->listener.port() }; }
    size_t runsOf(const std::string& attempt) const;

    RunnerFault fault = RunnerFault::None;
    std::shared_ptr<size_t> faultsLeft = std::make_shared<size_t>(SIZE_MAX); // requests that meet the fault; may be shared by runners
    bool isLeaving = false;                                                  // says so in all its answers
    std::vector<std::string> requestLimits;                                  // in all its answers, one field each; empty: none
    std::string retryAfter;                                                  // of its refusals, seconds; empty: none
    std::string crashPart;                                                   // crashes on prompts with this part; empty: on none
    std::string crashBody;                                                   // crashes on requests with this body; empty: on none
    CrashMoment crashMoment = CrashMoment::BeforeAnswer;
    Duration downTime = std::chrono::milliseconds(500);                             // after a crash
    std::vector<Run> runs;                                                          // that began, in order
    std::function<void(const std::string& attempt)> onArrival = [](const auto&) {}; // a request arrived
    std::function<void(const std::string& attempt)> onAnswer = [](const auto&) {};  // the head of an answer is sent
    std::function<void(const std::string& attempt)> onCrash = [](const auto&) {};   // the request has ended this runner
    size_t asked = 0;                                                               // requests that arrived

private:
    void onRequest(const edge::CallerPointer& caller, edge::CallerRequest request);
    void answerPlain(const edge::CallerPointer& caller, size_t run, RunnerFault now);
    void answerStream(const edge::CallerPointer& caller, size_t run, RunnerFault now);
    void sendEvent(const edge::CallerPointer& caller, size_t run, int next, RunnerFault now);
    edge::http::response<edge::http::string_body> makeHead(size_t run, unsigned status) const;
    bool crashesOn(const Run& run) const;
    void beginCrash(const edge::CallerPointer& caller, size_t run); // answers as far as crashMoment says, then crashes
    void crash(size_t run);
    void after(Duration delay, std::function<void()> action);

    edge::net::io_context& loop;
    RunnerSettings settings;
    edge::HttpListener listener;
    std::list<edge::net::steady_timer> timers;
    std::vector<edge::CallerPointer> hanging;
    std::map<size_t, edge::CallerPointer> answering; // by run
    TimePoint downUntil {};
};

} // namespace guavapond::standins
