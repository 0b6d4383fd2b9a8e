// A roll-out of a plain service to a version that is bad under load only. Four nodes, three runners of each version; nothing else is
// disturbed. Judged by what the runners have seen: how many requests the bad version got until the deadline, and whether it got requests
// that clients sent later than rollback_ms after its 50th bad answer.
#include "../world-3/World.h"

#include <memory>
#include <semaphore>

using namespace world;

namespace {

constexpr int nodeCount = 4;
constexpr int runnersOfVersion = 3;
constexpr int slots = 6;
constexpr int queueLength = 24;
constexpr double workSeconds = 0.015;
constexpr double certIssuesPerSecond = 35.3;
constexpr double listingChecksPerSecond = 14.1;
constexpr double badShare = 0.5;    // of the new version's answers under load
constexpr size_t loadPerSecond = 6; // requests in the last second from which on a runner of the new version is under load
constexpr double orderAfter = 4;    // once all nodes are ready
constexpr double orderSeconds = 12;
constexpr double endAfter = 34;          // the same
constexpr double rollbackSeconds = 5;    // rollback_ms
constexpr double exposureShare = 0.1;    // exposure_share
constexpr double exposureAllowance = 50; // exposure_allowance
constexpr size_t badAnswersUntilVerdict = 50;

const std::string service = "approvals-app";

struct Seen {
    std::mutex mutex;
    std::map<std::string, double> sentAt; // by attempt
    struct Arrival {
        double at = 0;
        std::string attempt;
        std::string version;
        bool isBad = false;
    };
    std::vector<Arrival> arrivals;
    std::vector<std::string> statuses; // written by the system
    std::map<unsigned, size_t> answers;
};

class Runner {
public:
    Runner(Store& store, Seen& seen, Record& record, const std::string& id, const std::string& version, bool isBad)
        : store(store)
        , seen(seen)
        , record(record)
        , id(id)
        , version(version)
        , isBad(isBad)
        , server([this](Connection& connection, Request& request) { return this->onRequest(connection, request); })
        , heart([this] { this->beat(); })
    {
    }
    ~Runner()
    {
        this->stop();
        this->heart.join();
    }
    void stop() // at once, without draining; its entry goes with it
    {
        if (this->isStopped.exchange(true))
            return;
        this->server.stop();
        this->store.remove("servers/" + this->id);
        this->record.line("runner " + this->id + " of " + this->version + " stops");
    }

private:
    void beat()
    {
        for (int sequence = 1; !this->isStopped; ++sequence) {
            this->store.put("servers/" + this->id, serverEntry(service, this->server.address(), this->version, slots, "ready", sequence));
            for (int i = 0; i < 12 && !this->isStopped; ++i)
                sleepFor(0.1);
        }
    }
    bool onRequest(Connection& connection, Request& request)
    {
        const std::string attempt(request["Guavapond-Attempt-Id"]);
        if (request["Guavapond-Target-Instance"] != this->id)
            return answer(connection, 421, "", { { "Guavapond-Attempt-Id", attempt }, { "Guavapond-Instance-Id", this->id } });
        if (++this->present > slots + queueLength) {
            --this->present;
            return answer(connection, 503, "", { { "Guavapond-Attempt-Id", attempt }, { "Guavapond-Not-Executed", "1" } });
        }
        this->slot.acquire();
        bool fails = false;
        {
            const std::lock_guard lock(this->seen.mutex);
            std::erase_if(this->lately, [](double at) { return seconds() - at > 1; });
            this->lately.push_back(seconds());
            fails = this->isBad && this->lately.size() > loadPerSecond && this->uniform(this->generator) < badShare;
            this->seen.arrivals.push_back({ seconds(), attempt, this->version, fails });
        }
        sleepFor(workSeconds);
        this->slot.release();
        --this->present;
        this->record.line("run " + attempt + " at " + this->id + " " + this->version + " " + std::string(request.method_string()) + " "
            + std::string(request.target()) + (fails ? " 500" : " 200"));
        return answer(connection, fails ? 500 : 200, std::string(800, 'x'),
            { { "Guavapond-Attempt-Id", attempt }, { "Guavapond-Response-Seal", "seal." + attempt } });
    }

    Store& store;
    Seen& seen;
    Record& record;
    std::string id;
    std::string version;
    bool isBad;
    std::vector<double> lately; // arrivals in the last second
    std::atomic<bool> isStopped = false;
    std::atomic<int> present = 0; // requests, those that wait for a slot included
    std::counting_semaphore<slots> slot { slots };
    std::mt19937 generator { std::random_device()() };
    std::uniform_real_distribution<double> uniform { 0, 1 };
    HttpServer server;
    std::thread heart;
};

// One client of one node: requests at fixed mean distances, on a kept connection.
void runClient(Seen& seen, Record& record, uint16_t port, double perSecond, bool isOrder, double endAt)
{
    std::mt19937 generator(std::random_device {}());
    std::exponential_distribution<double> gap(perSecond);
    Client client(port);
    for (double next = seconds() + gap(generator); next < endAt; next += gap(generator)) {
        sleepUntil(next);
        const std::string attempt = newAttempt();
        {
            const std::lock_guard lock(seen.mutex);
            seen.sentAt[attempt] = seconds();
        }
        const Answer got = isOrder
            ? client.ask("POST", "/cert/2f", attempt, std::string(600, 'b'), { { "Guavapond-Deadline-Ms", "1500" } }, 1.6)
            : client.ask("GET", "/listing/2f", attempt, "", { { "Guavapond-Deadline-Ms", "1500" } }, 1.6);
        record.line("answer " + attempt + " " + (got.isWhole ? std::to_string(got.status) : "none: " + got.fault));
        if (!got.isWhole)
            client.close();
        const std::lock_guard lock(seen.mutex);
        ++seen.answers[got.isWhole ? got.status : 0];
    }
}

int judge(Seen& seen, Record& record, double orderAt)
{
    const std::lock_guard lock(seen.mutex);
    const double deadline = orderAt + orderSeconds;
    size_t all = 0;
    size_t exposed = 0;
    size_t bad = 0;
    size_t late = 0;
    std::optional<double> verdictAt;
    for (const Seen::Arrival& arrival : seen.arrivals) {
        if (arrival.at >= orderAt && arrival.at < deadline) {
            ++all;
            exposed += arrival.version == "v2" ? 1 : 0;
        }
        if (arrival.version != "v2")
            continue;
        const auto sent = seen.sentAt.find(arrival.attempt);
        if (verdictAt && sent != seen.sentAt.end() && sent->second > *verdictAt + rollbackSeconds)
            ++late;
        if (arrival.isBad && ++bad == badAnswersUntilVerdict)
            verdictAt = arrival.at + workSeconds;
    }
    const double allowed = exposureShare * static_cast<double>(all) + exposureAllowance;
    std::ostringstream text;
    text << "order at " << orderAt << ", its deadline at " << deadline << "; statuses:";
    for (const std::string& status : seen.statuses)
        text << " " << status;
    text << "; answers:";
    for (const auto& [status, count] : seen.answers)
        text << " " << count << " x " << status;
    text << "; until the deadline " << exposed << " of " << all << " at v2, allowed " << allowed << "; bad answers of v2 " << bad
         << "; 50th at " << verdictAt.value_or(-1) << " s; requests at v2 sent later than 5 s after it: " << late;
    record.line(text.str());
    std::cout << text.str() << std::endl;
    return disrupts() && (static_cast<double>(exposed) > allowed || late > 0) ? ruleBroken : ruleHeld;
}

int run(const std::string& directory, Record& record)
{
    Store store;
    Seen seen;
    json config { { "version", 7 }, { "limits", limits() } };
    config["routes"] = json::array(
        { route("cert", "/cert/", "non_idempotent", 1500, service), route("listing", "/listing/", "idempotent", 1500, service) });
    config["services"] = json::array(
        { { { "name", service }, { "health_path", "/healthz" }, { "max_conns", 100 }, { "protocol", "h1" }, { "tls", false } } });
    store.put("op/config", config.dump());
    std::vector<std::unique_ptr<Runner>> oldRunners;
    std::vector<std::unique_ptr<Runner>> newRunners;
    for (int i = 0; i < runnersOfVersion; ++i)
        oldRunners.push_back(std::make_unique<Runner>(store, seen, record, "i-old" + std::to_string(i), "v1", false));
    std::atomic<bool> isCompleted = false;
    store.onWrite = [&](const std::string& key, const std::string& value) {
        if (!key.starts_with("status/rollout/"))
            return;
        record.line("the system writes " + key + " " + value);
        const std::string state = json::parse(value).value("state", "");
        const std::lock_guard lock(seen.mutex);
        seen.statuses.push_back(state + "@" + std::to_string(seconds()).substr(0, 6));
        if (state == "completed")
            isCompleted = true;
    };
    std::vector<std::unique_ptr<EdgeNode>> nodes;
    for (int i = 1; i <= nodeCount; ++i)
        nodes.push_back(
            std::make_unique<EdgeNode>(directory, NodeSettings { .name = "edge-" + std::to_string(i), .store = store.address() }));
    for (const auto& node : nodes) {
        if (!node->waitUntilReady())
            return couldNotRun;
    }
    const double orderAt = seconds() + orderAfter;
    const double endAt = seconds() + endAfter;
    constexpr int clientsOfNode = 3;
    std::vector<std::thread> clients;
    for (const auto& node : nodes) {
        for (int i = 0; i < clientsOfNode; ++i) {
            clients.emplace_back([&, port = node->frontPort()] {
                runClient(seen, record, port, certIssuesPerSecond / nodeCount / clientsOfNode, true, endAt);
            });
            clients.emplace_back([&, port = node->frontPort()] {
                runClient(seen, record, port, listingChecksPerSecond / nodeCount / clientsOfNode, false, endAt);
            });
        }
    }
    sleepUntil(orderAt);
    for (int i = 0; i < runnersOfVersion; ++i)
        newRunners.push_back(std::make_unique<Runner>(store, seen, record, "i-new" + std::to_string(i), "v2", disrupts()));
    store.put("op/rollout/" + service, json { { "service", service }, { "target", "v2" }, { "duration_s", orderSeconds } }.dump());
    record.line("the operator orders v2");
    while (seconds() < endAt) {
        sleepFor(0.01);
        if (isCompleted.exchange(false)) {
            for (const auto& runner : oldRunners)
                runner->stop();
        }
    }
    for (std::thread& client : clients)
        client.join();
    for (const auto& node : nodes)
        node->kill();
    store.stop();
    return judge(seen, record, orderAt);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    char pattern[] = "/tmp/review-12-XXXXXX";
    const char* directory = mkdtemp(pattern);
    if (!directory)
        return couldNotRun;
    Record record(folder + "/record.txt");
    int code = couldNotRun;
    try {
        code = run(directory, record);
    } catch (const std::exception& error) {
        record.line(std::string("could not run: ") + error.what());
    }
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(directory);
    else
        std::cout << directory << std::endl;
    return code;
}
