// A request crashes each runner that begins to run it; the runner has sent the head of its answer by then. It comes again and again.
#include "../world-2/World.h"

using namespace world;

namespace {

constexpr int64_t contactMs = 3000; // of the sheets
constexpr int64_t downMs = 2000;    // of a runner after a crash
constexpr int64_t betweenMs = 1500; // from one of these requests to the next
constexpr int times = 24;
constexpr size_t firstCrashes = 3; // of the rule
constexpr int allowed = 3;         // retries, the same
constexpr int soundClients = 8;
constexpr const char* path = "/a/deadly";

std::mutex mutex;
std::vector<int64_t> crashes;  // times
std::vector<int64_t> arrivals; // of the request, at runners

bool answer(Runner& self, Connection& c, const Message& m)
{
    const bool isDeadly = m.target() == path && hasTrouble();
    if (m.target() == path) {
        const std::lock_guard lock(mutex);
        arrivals.push_back(nowMs());
    }
    sleepMs(15);
    if (!c.send("HTTP/1.1 200 OK\r\n" + Runner::sealed(m) + "Transfer-Encoding: chunked\r\n\r\n"))
        return false;
    sleepMs(30);
    if (isDeadly) {
        RECORD("runner %s crashes on %s", self.id.c_str(), m.field("Guavapond-Attempt-Id").c_str());
        {
            const std::lock_guard lock(mutex);
            crashes.push_back(nowMs());
        }
        self.server.crash();
        std::thread([&self] {
            sleepMs(downMs);
            self.server.open();
        }).detach();
        return false;
    }
    return c.send("320\r\n" + std::string(800, 'x') + "\r\n0\r\n\r\n");
}

int ask(const Node& node, const Ask& request)
{
    const auto c = connectTo(node.front);
    if (!c || !c->send(request.text()))
        return 0;
    const auto m = c->message(request.deadlineMs);
    return m ? m->status() : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = begin(argc, argv);
    Store store;
    store.start();
    std::vector<std::unique_ptr<Runner>> runners;
    for (const char* id : { "r1", "r2", "r3", "r4", "r5", "r6" }) {
        runners.push_back(std::make_unique<Runner>(id, "s1", answer));
        runners.back()->start();
        store.put(std::string("servers/") + id, runners.back()->entry());
    }
    store.put(
        "op/config", config(1, json::array({ route("a", "/a/", "idempotent", "s1"), route("n", "/n/", "non_idempotent", "s1") })).dump());
    std::vector<std::unique_ptr<Node>> nodes;
    for (const char* name : { "n1", "n2" }) {
        nodes.push_back(std::make_unique<Node>(name, folder, store.port()));
        nodes.back()->start();
    }
    for (const auto& node : nodes) {
        if (!node->waitReady())
            return conclude(nodes, std::nullopt, "BUDGET");
    }
    sleepMs(contactMs + 1000);

    // Orders of other clients, which may not be repeated.
    std::atomic<bool> isOver = false;
    std::atomic<int> number = 0, asked = 0, unknown = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < soundClients; ++i)
        clients.emplace_back([&, i] {
            for (; !isOver; sleepMs(60)) {
                const int status = ask(*nodes[static_cast<size_t>(i % 2)], { .path = "/n/" + std::to_string(++number), .body = "order" });
                ++asked;
                unknown += status == 502 || status == 504 || status == 0;
            }
        });
    for (int i = 0; i < times; ++i, sleepMs(betweenMs)) {
        const Ask request { .path = path, .body = "the same" };
        const int status = ask(*nodes[static_cast<size_t>(i % 2)], request);
        RECORD("request %s for %s: %d", request.id.c_str(), path, status);
    }
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    const std::lock_guard lock(mutex);
    const auto late = crashes.size() < firstCrashes
        ? 0
        : std::count_if(arrivals.begin(), arrivals.end(), [](int64_t at) { return at > crashes[firstCrashes - 1] + contactMs; });
    RECORD("the request was sent %d times and reached runners %zu times, which crashed %zu times; %lld of them later than %lld ms after "
           "the third crash "
           "(%d are allowed)",
        times, arrivals.size(), crashes.size(), static_cast<long long>(late), static_cast<long long>(contactMs), allowed);
    RECORD("orders of others: %d of %d ended without an answer of their runner", unknown.load(), asked.load());
    return conclude(nodes, arrivals.empty() ? std::nullopt : std::optional<bool>(late > allowed), "BUDGET");
}
