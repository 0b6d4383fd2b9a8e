// Runners of a plain service need a second for each request, and say nothing until the answer is ready.
#include "../world-2/World.h"

using namespace world;

namespace {

constexpr int64_t shortWorkMs = 15; // as on the sheet
constexpr int64_t longWorkMs = 1000;
constexpr int64_t judgedMs = 25000;
constexpr int64_t contactMs = 3000;   // of the sheets
constexpr int deadlineMs = 12000;     // also the routes' timeout_ms
constexpr int targetLatencyMs = 4000; // of the routes
constexpr int clientsOfEach = 4;
constexpr int64_t betweenMs = 200;

int64_t workOf(const Runner& runner) { return runner.service == "s2" && hasTrouble() ? longWorkMs : shortWorkMs; }

bool answer(Runner& self, Connection& c, const Message& m)
{
    sleepMs(workOf(self));
    return c.send(reply(200, std::string(800, 'x'), Runner::sealed(m)));
}

struct Reply {
    int status = 0;
    int64_t returnAfterMs = 0; // clients wait as they are told, up to a third of the time they have left
};

Reply ask(const Node& node, const std::string& path)
{
    const Ask request { .method = "GET", .path = path, .deadlineMs = deadlineMs };
    const auto c = connectTo(node.front);
    const int64_t sent = nowMs();
    if (!c || !c->send(request.text()))
        return {};
    const auto m = c->message(deadlineMs);
    const int status = m ? m->status() : 0;
    if (status != 200)
        RECORD("client of %s has status %d after %lld ms", path.c_str(), status, static_cast<long long>(nowMs() - sent));
    return { status, m ? std::min<int64_t>(static_cast<int64_t>(1000 * atof(m->field("Retry-After").c_str())), deadlineMs / 3) : 0 };
}

struct Count {
    int asked = 0;
    int served = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = begin(argc, argv);
    Store store;
    store.start();
    std::vector<std::unique_ptr<Runner>> runners;
    for (const auto& [id, service] : std::vector<std::pair<std::string, std::string>> {
             { "a1", "s1" }, { "a2", "s1" }, { "a3", "s1" }, { "b1", "s2" }, { "b2", "s2" }, { "b3", "s2" } }) {
        runners.push_back(std::make_unique<Runner>(id, service, answer));
        runners.back()->slots = 6;
        runners.back()->start();
        store.put("servers/" + id, runners.back()->entry());
    }
    const auto configuration = [&](int version, json routes) {
        for (json& route : routes)
            route["target_latency_ms"] = targetLatencyMs;
        json c = config(version, routes);
        c["services"].push_back(c["services"][0]);
        c["services"][1]["name"] = "s2";
        return c.dump();
    };
    store.put("op/config", configuration(1, json::array({ route("a", "/a/", "idempotent", "s1", deadlineMs) })));
    std::vector<std::unique_ptr<Node>> nodes;
    nodes.push_back(std::make_unique<Node>("n1", folder, store.port()));
    nodes[0]->start();
    if (!nodes[0]->waitReady())
        return conclude(nodes, std::nullopt, "CONFIG");
    sleepMs(2000);
    store.put("op/config",
        configuration(
            3, json::array({ route("a", "/a/", "idempotent", "s1", deadlineMs), route("b", "/b/", "idempotent", "s2", deadlineMs) })));
    RECORD("configuration 3 adds route b, to service s2; its runners need %lld ms for a request",
        static_cast<long long>(workOf(*runners.back())));
    sleepMs(contactMs + 1000);
    std::mutex mutex;
    std::map<std::string, Count> counts;
    std::vector<std::thread> clients;
    for (int i = 0; i < 2 * clientsOfEach; ++i)
        clients.emplace_back([&, path = std::string(i % 2 ? "/b/1" : "/a/1")] {
            int64_t pause = 0;
            for (const int64_t end = nowMs() + judgedMs; nowMs() < end; sleepMs(pause)) {
                const Reply reply = ask(*nodes[0], path);
                pause = std::max(betweenMs, reply.returnAfterMs);
                const std::lock_guard lock(mutex);
                ++counts[path].asked;
                counts[path].served += reply.status == 200;
            }
        });
    for (std::thread& client : clients)
        client.join();
    const Count first = counts["/a/1"], later = counts["/b/1"];
    RECORD("route a served %d of %d, route b, which was added later, %d of %d", first.served, first.asked, later.served, later.asked);
    const bool canJudge = later.asked >= 20 && first.served > 0;
    const bool isBroken = static_cast<int64_t>(later.served) * first.asked * 4 < static_cast<int64_t>(first.served) * later.asked;
    return conclude(nodes, canJudge ? std::optional<bool>(isBroken) : std::nullopt, "CONFIG");
}
