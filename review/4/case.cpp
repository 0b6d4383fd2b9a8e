// The nodes of a zone are stopped in turn (SIGTERM) and started again, under light traffic, as in a release. The platform's balancer still
// hands new connections to a node that stops, since fewer than half of the zone's nodes are in rotation. Does each request that a node
// has passed on to a runner get its answer?
#include "World.h"

#include <random>

using namespace world;

namespace {

constexpr int nodes = 3;
constexpr int rounds = 9;
constexpr int gapMs = 1300;         // between two stops of a round
constexpr int restartDelayMs = 500; // of a process that has exited
constexpr int graceMs = 8000;
constexpr int clients = 24;
constexpr int pauseBetweenMs = 100; // of a client, on the mean: about 70 requests a second for each node

struct Node {
    std::unique_ptr<Edge> edge;
    std::atomic<bool> inRotation { false };
    std::atomic<double> stoppedAt { -1 }; // SIGTERM; -1: none since its start
};
std::vector<std::unique_ptr<Node>> zone;
std::atomic<bool> isOver { false };

// Asks each node once a second whether it is ready; two misses take it out of rotation.
void balance(Node& node)
{
    int misses = 0;
    while (!isOver) {
        misses = node.edge->isReady() ? 0 : misses + 1;
        node.inRotation = misses == 0 ? true : misses >= 2 ? false : node.inRotation.load();
        sleepMs(1000);
    }
}

// The node of a new connection: of those in rotation, or of all where fewer than half are.
Node& pick(std::mt19937& random, std::string& rotation)
{
    std::vector<Node*> candidates;
    rotation.clear();
    for (const auto& node : zone) {
        if (!node->inRotation)
            continue;
        candidates.push_back(node.get());
        rotation += " " + node->edge->name;
    }
    if (candidates.size() * 2 < zone.size()) {
        candidates.clear();
        for (const auto& node : zone)
            candidates.push_back(node.get());
    }
    return *candidates[random() % candidates.size()];
}

} // namespace

int main(int, char** argv)
{
    record.open(argv[1]);
    const std::string folder = temporaryFolder();
    Store store;
    store.put("op/config",
        configText(1, { { "cert-issue", "/cert/", "non_idempotent", "approvals-app" } }, { "approvals-app" }, { { "inspectors", "key-1" } }));
    std::vector<std::unique_ptr<Runner>> runners;
    for (const char* id : { "i-a", "i-b", "i-c" })
        runners.push_back(std::make_unique<Runner>(id, "approvals-app", store));
    for (int i = 1; i <= nodes; ++i) {
        zone.push_back(std::make_unique<Node>());
        zone.back()->edge = std::make_unique<Edge>("edge-" + std::to_string(i), folder, store.port());
        zone.back()->edge->start();
    }
    for (const auto& node : zone) {
        if (!node->edge->waitReady(10000))
            finish(2, folder);
        node->inRotation = true;
    }
    std::vector<std::thread> threads;
    for (const auto& node : zone)
        threads.emplace_back([&node] { balance(*node); });

    std::atomic<int> lost { 0 };
    std::atomic<int> answered { 0 };
    std::atomic<int> unread { 0 };
    std::atomic<int> served { 0 };
    const auto client = [&](int number) {
        std::mt19937 random(static_cast<unsigned>(number));
        for (int i = 0; !isOver; ++i) {
            sleepMs(static_cast<int>(random() % (2 * pauseBetweenMs)));
            std::string rotation;
            Node& node = pick(random, rotation);
            const std::string attempt = "c" + std::to_string(number) + "-" + std::to_string(i);
            const auto connection = connectTo(node.edge->front);
            if (!connection || !connection->send(requestText("POST", "/cert/issue", attempt, "key-1", 1500, "certificate " + attempt)))
                continue; // no process there at the moment
            const double sentAt = seconds();
            const auto answer = connection->read(true, 3000);
            if (answer && answer->complete) {
                ++answered;
                served += answer->status() == 200 ? 1 : 0;
                continue;
            }
            sleepMs(100);
            size_t runs = 0;
            for (const auto& runner : runners)
                runs += runner->runsOf(attempt);
            record.line("%s, sent to %s at %.3f s, %.3f s after its SIGTERM, in rotation:%s; the connection ends without an answer; runs at a "
                        "runner: %zu%s",
                attempt.c_str(), node.edge->name.c_str(), sentAt, sentAt - node.stoppedAt, rotation.c_str(), runs,
                runs > 0 ? "   <-- lost" : "");
            ++(runs > 0 ? lost : unread);
        }
    };
    for (int i = 0; i < clients; ++i)
        threads.emplace_back(client, i);

    // A round: each node gets SIGTERM, one each gapMs; it starts again when its process has exited.
    const auto restart = [](Node& node) {
        node.stoppedAt = seconds();
        node.edge->signal(SIGTERM);
        int waited = 0;
        while (!node.edge->hasExited() && waited < graceMs) {
            sleepMs(10);
            waited += 10;
        }
        if (waited >= graceMs)
            node.edge->kill();
        record.line("process %s has exited", node.edge->name.c_str());
        sleepMs(restartDelayMs);
        node.edge->start();
    };
    sleepMs(3000);
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::thread> stops;
        for (const auto& node : zone) {
            if (hasTrouble())
                stops.emplace_back([&] { restart(*node); });
            sleepMs(gapMs);
        }
        for (std::thread& stop : stops)
            stop.join();
        sleepMs(3000);
    }
    isOver = true;
    for (std::thread& thread : threads)
        thread.join();
    record.line("answers %d (%d of them served), connections that ended before a runner had the request %d, requests that were passed on and "
                "got no answer %d",
        answered.load(), served.load(), unread.load(), lost.load());
    for (const auto& node : zone)
        node->edge->kill();
    finish(lost > 0 ? 1 : 0, folder);
}
