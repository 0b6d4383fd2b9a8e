// Several guavapond-edge processes with stand-ins of the store and of targets, and callers that keep their connections open. Faults come
// from outside: signals to the processes, a store that does not answer, targets that name request limits.
//
// Index
//   FleetCall    one request of a caller and its answer
//   EdgeFleet    addTarget, startNodes, call, runFor, runUntil, kill, freeze, resume, stop, restart, writeConfig,
//                schedule, runDue
#pragma once

#include "Caller.h"
#include "EdgeProcess.h"
#include "RequestLimitJudge.h"
#include "StoreTexts.h"
#include "edge/PlatformRunner.h"
#include "edge/PlatformStore.h"

#include <filesystem>
#include <random>

namespace guavapond::test {

struct FleetCall {
    std::string attempt;
    size_t node = 0; // index
    edge::CallerAnswer answer;
};

class EdgeFleet {
public:
    static constexpr Duration contact = std::chrono::seconds(3); // the platform's bound for learning of a change
    static constexpr int eventsOfAnswer = 3;

    struct Node {
        Node(const std::string& name, const std::string& directory, uint16_t storePort)
            : files(name, directory, storePort)
        {
        }
        EdgeProcess files;
        std::unique_ptr<Process> process;
    };

    explicit EdgeFleet(size_t nodeCount)
    {
        std::string path = (std::filesystem::temp_directory_path() / "guavapond-fleet-XXXXXX").string();
        this->directory = ::mkdtemp(path.data());
        this->store.start();
        this->writeConfig(1);
        for (size_t i = 0; i < nodeCount; ++i) {
            this->nodes.emplace_back("n" + std::to_string(i), this->directory, this->store.port());
            this->nodes.back().files.writeSettings();
        }
    }
    ~EdgeFleet()
    {
        this->nodes.clear();
        std::filesystem::remove_all(this->directory);
    }
    EdgeFleet(const EdgeFleet&) = delete;
    EdgeFleet& operator=(const EdgeFleet&) = delete;

    // The operators' configuration, without a quota that would bound the callers.
    void writeConfig(uint64_t version)
    {
        std::string config = configText(static_cast<int>(version), "r");
        const std::string quota = R"("rate_per_s":310)";
        config.replace(config.find(quota), quota.size(), R"("rate_per_s":1000000)");
        this->store.model.put("op/config", config);
    }

    void addTarget(Duration work = std::chrono::milliseconds(5))
    {
        const std::string id = "t" + std::to_string(this->targets.size());
        standins::RunnerSettings settings {
            .id = id, .address = { "127.0.0.1", 0 }, .events = eventsOfAnswer, .eventGap = eventGap, .work = work
        };
        auto& target = *this->targets.emplace_back(std::make_unique<standins::PlatformRunner>(this->loop, settings));
        target.onArrival = [this, id](const std::string& attempt) { this->limits.onArrival(nodeOf(attempt), id, edge::bootTime()); };
        target.onAnswer = [this, id](const std::string& attempt) { this->limits.onAnswer(nodeOf(attempt), id, edge::bootTime()); };
        target.start();
        this->store.model.put("servers/" + id, targetText("ready", 1, loopbackAddress(target.address().port)));
    }
    void nameLimit(size_t target, std::optional<double> perSecond)
    {
        this->targets[target]->requestLimits
            = perSecond ? std::vector<std::string> { std::to_string(*perSecond) } : std::vector<std::string> {};
        this->limits.onNamed("t" + std::to_string(target), perSecond, edge::bootTime());
    }

    void startNodes()
    {
        for (Node& node : this->nodes)
            node.process = node.files.start();
    }
    bool allReady()
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const Node& node) { return hasLogMessage(*node.process, "ready"); });
    }

    void kill(size_t node) { this->signalNode(node, SIGKILL); }
    void freeze(size_t node) { this->signalNode(node, SIGSTOP); }
    void resume(size_t node) { this->signalNode(node, SIGCONT); }
    void stop(size_t node) { this->signalNode(node, SIGTERM); }
    void restart(size_t node)
    {
        this->limits.forget(this->nodes[node].files.name);
        this->excuse(node);
        this->nodes[node].process.reset(); // its ports have to be free
        this->nodes[node].process = this->nodes[node].files.start();
    }

    // Ends of faults: actions for later, which runDue() carries out.
    void schedule(TimePoint at, std::function<void()> action) { this->due.emplace_back(at, std::move(action)); }
    void runDue(TimePoint now)
    {
        for (size_t i = 0; i < this->due.size();) {
            if (now < this->due[i].first) {
                ++i;
                continue;
            }
            const auto action = std::move(this->due[i].second);
            this->due.erase(this->due.begin() + static_cast<ptrdiff_t>(i));
            action();
        }
    }

    // Sends one request on an open connection to the node, if there is one.
    // `parts` of the prompt, as ID:TOKENS entries; empty: not stated.
    std::shared_ptr<FleetCall> call(
        size_t node, const std::string& parts = "", const std::string& body = "text", const std::string& path = "/x/stream")
    {
        auto call = std::make_shared<FleetCall>();
        call->node = node;
        call->attempt = this->nodes[node].files.name + "-" + std::to_string(++this->lastCall);
        this->calls.push_back(call);
        const auto connection = this->connections.acquire(
            { "127.0.0.1", this->nodes[node].files.callers.port() }, std::nullopt, callerIdle, edge::bootTime());
        edge::ResponseHooks events;
        events.head = [call](const edge::http::response_header<>& head) {
            call->answer.status = head.result_int();
            call->answer.fields = head;
            return edge::HeadVerdict::Accept;
        };
        events.body = [call](std::string_view bytes) { call->answer.body += bytes; };
        events.complete = [this, call, weak = std::weak_ptr(connection)] {
            call->answer.complete = call->answer.ended = true;
            if (const auto used = weak.lock())
                this->connections.release(used, edge::bootTime());
        };
        events.failed = [call](edge::ConnectionFault, bool) { call->answer.ended = true; };
        connection->start("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nGuavapond-Attempt-Id: " + call->attempt
                + "\r\nGuavapond-Key: k\r\nGuavapond-Token-Count: 10,5\r\nGuavapond-Deadline-Ms: 5000\r\n"
                + (parts.empty() ? "" : "Guavapond-Prompt-Prefix: " + parts + "\r\n") + "Content-Length: " + std::to_string(body.size())
                + "\r\n\r\n",
            body, true, std::move(events));
        return call;
    }

    void runFor(Duration span) { this->loop.run_for(span); }
    bool runUntil(const std::function<bool()>& condition, Duration timeout = patience)
    {
        const TimePoint deadline = edge::bootTime() + timeout;
        while (!condition() && edge::bootTime() < deadline)
            this->loop.run_for(std::chrono::milliseconds(5));
        return condition();
    }

    size_t runsOf(const std::string& attempt) const
    {
        size_t count = 0;
        for (const auto& target : this->targets)
            count += target->runsOf(attempt);
        return count;
    }

    edge::net::io_context loop;
    standins::PlatformStore store { this->loop, { "127.0.0.1", 0 } };
    std::vector<std::unique_ptr<standins::PlatformRunner>> targets;
    std::deque<Node> nodes;
    std::vector<std::shared_ptr<FleetCall>> calls;
    edge::RequestLimitJudge limits { contact };

private:
    static constexpr Duration eventGap = std::chrono::milliseconds(4);
    static constexpr Duration callerIdle = std::chrono::seconds(10);

    static std::string nodeOf(const std::string& attempt) { return attempt.substr(0, attempt.find('-')); }
    void excuse(size_t node) { this->limits.excuse(this->nodes[node].files.name, edge::bootTime()); }
    void signalNode(size_t node, int signal)
    {
        this->excuse(node);
        this->nodes[node].process->send(signal);
    }

    std::vector<std::pair<TimePoint, std::function<void()>>> due;
    std::string directory;
    edge::ConnectionPool connections { this->loop, {} };
    uint64_t lastCall = 0;
};

} // namespace guavapond::test
