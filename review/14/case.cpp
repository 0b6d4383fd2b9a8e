// The report of a runner that it is ready gets no answer from the store and is done seconds later, when the runner has removed its entry to
// leave. Four nodes, three runners of a plain service. Judged by what that runner has seen: no request later than drain_ms after the
// acknowledgement of its leaving.
#include "../world-3/World.h"

#include <cmath>
#include <memory>
#include <semaphore>

using namespace world;

namespace {

constexpr int nodeCount = 4;
constexpr int runnerCount = 3;
constexpr int slots = 6;
constexpr double workSeconds = 0.02; // in the median
constexpr double workSpread = 0.5;   // of its logarithm
constexpr double leavingSpeed = 2.8; // of the runner that leaves; the others have 1
constexpr double certIssuesPerSecond = 220;
constexpr double listingChecksPerSecond = 87.6;
constexpr double heartbeatSeconds = 1.2; // heartbeat_ms
constexpr double drainSeconds = 3;       // drain_ms
// Seconds after all nodes are ready.
constexpr double lostAt = 4;      // the first report from then on is done later
constexpr double lateBy = 6;      // "done 1 to 6 s later"
constexpr double leavingAt = 9.4; // over contact_ms after the store lost an answer, which it does by 5.2 s
constexpr double exitAt = 18;     // of the runner that leaves
constexpr double endAt = 19;

const std::string service = "approvals-app";

struct Seen {
    std::mutex mutex;
    std::map<std::string, double> sentAt;                               // by attempt
    std::vector<std::tuple<double, std::string, std::string>> arrivals; // time, runner, attempt
    std::map<unsigned, size_t> answers;
};

class Runner {
public:
    Runner(Store& store, Seen& seen, Record& record, const std::string& id)
        : store(store)
        , seen(seen)
        , record(record)
        , id(id)
        , server([this](Connection& connection, Request& request) { return this->onRequest(connection, request); })
        , heart([this] { this->beat(); })
    {
    }
    ~Runner()
    {
        this->stop();
        this->heart.join();
    }
    void stop()
    {
        if (this->isStopped.exchange(true))
            return;
        this->server.stop();
        this->store.remove("servers/" + this->id);
        this->record.line("runner " + this->id + " exits");
    }
    // Leaves without a report that it drains: its entry is removed, and it goes on serving. Returns the time of the acknowledgement.
    double leave()
    {
        const std::lock_guard lock(this->mutex);
        this->hasLeft = true;
        this->store.remove("servers/" + this->id);
        this->record.line("the store acknowledges that the entry of " + this->id + " is removed");
        return seconds();
    }
    // The next report gets no answer; the store does it `lateBy` later.
    void loseNextReport() { this->losesNext = true; }

private:
    void report()
    {
        ++this->sequence;
        const std::string entry = serverEntry(service, this->server.address(), "v1", slots, "ready", this->sequence);
        if (this->losesNext.exchange(false)) {
            this->record.line("the store loses the answer to the report of " + this->id + ": " + entry);
            this->late = entry;
            this->lateAt = seconds() + lateBy;
            return;
        }
        this->store.put("servers/" + this->id, entry);
    }
    void beat()
    {
        double next = seconds();
        while (!this->isStopped) {
            {
                const std::lock_guard lock(this->mutex);
                if (!this->late.empty() && seconds() >= this->lateAt) {
                    this->store.put("servers/" + this->id, this->late);
                    this->record.line("the store does the late report of " + this->id + ": " + this->late);
                    this->late.clear();
                    this->silentFrom = seconds();
                }
                if (this->hasLeft && this->silentFrom && seconds() >= *this->silentFrom + 3 * heartbeatSeconds) {
                    this->store.remove("servers/" + this->id);
                    this->record.line("the store removes the entry of " + this->id + " after three heartbeat intervals of silence");
                    this->silentFrom.reset();
                }
                if (!this->hasLeft && seconds() >= next) {
                    this->report();
                    next += heartbeatSeconds;
                }
            }
            sleepFor(0.01);
        }
    }
    bool onRequest(Connection& connection, Request& request)
    {
        const std::string attempt(request["Guavapond-Attempt-Id"]);
        if (request["Guavapond-Target-Instance"] != this->id)
            return answer(connection, 421, "", { { "Guavapond-Attempt-Id", attempt }, { "Guavapond-Instance-Id", this->id } });
        double work = 0;
        {
            const std::lock_guard lock(this->seen.mutex);
            work = workSeconds * std::exp(workSpread * this->normal(this->generator)) / (this->id == "i-0" ? leavingSpeed : 1);
            this->seen.arrivals.emplace_back(seconds(), this->id, attempt);
        }
        this->record.line("run " + attempt + " at " + this->id);
        this->slot.acquire();
        sleepFor(work);
        this->slot.release();
        return answer(connection, 200, std::string(800, 'x'),
            { { "Guavapond-Attempt-Id", attempt }, { "Guavapond-Response-Seal", "seal." + attempt } });
    }

    Store& store;
    Seen& seen;
    Record& record;
    std::string id;
    std::mutex mutex; // of the rest
    bool hasLeft = false;
    std::optional<double> silentFrom; // of its entry, which ends after three heartbeat intervals
    int sequence = 0;
    std::string late; // a report that the store has yet to do; empty: none
    double lateAt = 0;
    std::atomic<bool> losesNext = false;
    std::atomic<bool> isStopped = false;
    std::mt19937 generator { std::random_device()() };
    std::normal_distribution<double> normal { 0, 1 };
    std::counting_semaphore<64> slot { slots };
    HttpServer server;
    std::thread heart;
};

// One client of one node, on a kept connection.
void runClient(Seen& seen, Record& record, uint16_t port, double perSecond, bool isOrder, double end)
{
    std::mt19937 generator(std::random_device {}());
    std::exponential_distribution<double> gap(perSecond);
    Client client(port);
    for (double next = seconds() + gap(generator); next < end; next += gap(generator)) {
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
    std::vector<std::unique_ptr<Runner>> runners;
    for (int i = 0; i < runnerCount; ++i)
        runners.push_back(std::make_unique<Runner>(store, seen, record, "i-" + std::to_string(i)));
    std::vector<std::unique_ptr<EdgeNode>> nodes;
    for (int i = 1; i <= nodeCount; ++i)
        nodes.push_back(
            std::make_unique<EdgeNode>(directory, NodeSettings { .name = "edge-" + std::to_string(i), .store = store.address() }));
    for (const auto& node : nodes) {
        if (!node->waitUntilReady())
            return couldNotRun;
    }
    const double start = seconds();
    constexpr int clientsOfNode = 6;
    std::vector<std::thread> clients;
    for (const auto& node : nodes) {
        for (int i = 0; i < clientsOfNode; ++i) {
            clients.emplace_back([&, port = node->frontPort()] {
                runClient(seen, record, port, certIssuesPerSecond / nodeCount / clientsOfNode, true, start + endAt);
            });
            clients.emplace_back([&, port = node->frontPort()] {
                runClient(seen, record, port, listingChecksPerSecond / nodeCount / clientsOfNode, false, start + endAt);
            });
        }
    }
    Runner& leaving = *runners.front();
    sleepUntil(start + lostAt);
    if (disrupts())
        leaving.loseNextReport();
    sleepUntil(start + leavingAt);
    const double acknowledgedAt = leaving.leave();
    sleepUntil(start + exitAt);
    leaving.stop();
    for (std::thread& client : clients)
        client.join();
    for (const auto& node : nodes)
        node->kill();
    store.stop();

    const std::lock_guard lock(seen.mutex);
    size_t before = 0;
    size_t late = 0;
    double first = 0;
    double last = 0;
    for (const auto& [at, runner, attempt] : seen.arrivals) {
        if (runner != "i-0")
            continue;
        before += at < acknowledgedAt ? 1 : 0;
        if (at <= acknowledgedAt + drainSeconds)
            continue;
        first = late == 0 ? at - acknowledgedAt : first;
        last = at - acknowledgedAt;
        ++late;
        record.line(
            "broken: " + attempt + " reached i-0 " + std::to_string(at - acknowledgedAt) + " s after the acknowledgement of its leaving");
    }
    std::ostringstream text;
    text << "requests at the leaving runner: " << before << " before the acknowledgement, " << late << " later than 3 s after it";
    if (late > 0)
        text << " (" << first << " to " << last << " s after it)";
    text << "; answers:";
    for (const auto& [status, count] : seen.answers)
        text << " " << count << " x " << status;
    record.line(text.str());
    std::cout << text.str() << std::endl;
    if (before == 0)
        return couldNotRun;
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    char pattern[] = "/tmp/review-14-XXXXXX";
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
