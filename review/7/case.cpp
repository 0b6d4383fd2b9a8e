// A part of prompts crashes each runner that begins to write on it. Its requests come in sessions: those of a session share one more part.
#include "../world-2/World.h"

using namespace world;

namespace {

constexpr const char* crashingPart = "91bd3f06";
constexpr int64_t contactMs = 3000; // of the sheets
constexpr int64_t downMs = 2000;    // of a runner after a crash
constexpr int64_t betweenMs = 1500; // from one request with the part to the next
constexpr int requestsWithPart = 32;
constexpr int perSession = 4; // requests with the part; then comes one without it
constexpr int64_t soundAfterMs = 3000;
constexpr size_t firstCrashes = 5; // of the rule
constexpr int allowed = 3;         // the same
constexpr int soundClients = 8;
constexpr int events = 10;

std::mutex mutex;
std::vector<int64_t> crashes;  // times
std::vector<int64_t> arrivals; // of requests with the part, at runners
std::set<std::string> begun;   // requests

bool answer(Runner& self, Connection& c, const Message& m)
{
    const std::string id = m.field("Guavapond-Attempt-Id");
    const bool hasPart = m.field("Guavapond-Prompt-Prefix").find(crashingPart) != std::string::npos;
    if (hasPart) {
        const std::lock_guard lock(mutex);
        arrivals.push_back(nowMs());
    }
    sleepMs(60); // until its first event
    if (hasPart && hasTrouble()) {
        RECORD("runner %s crashes on %s", self.id.c_str(), id.c_str());
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
    if (!c.send("HTTP/1.1 200 OK\r\n" + Runner::sealed(m) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    {
        const std::lock_guard lock(mutex);
        begun.insert(id);
    }
    for (int event = 1; event <= events; ++event, sleepMs(20)) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: some tokens\n\n";
        char size[16];
        snprintf(size, sizeof(size), "%zx\r\n", text.size());
        if (!c.send(size + text + "\r\n"))
            return false;
    }
    return c.send("0\r\n\r\n");
}

std::string text(const char* format, ...) __attribute__((format(printf, 1, 2)));
std::string text(const char* format, ...)
{
    char result[200];
    va_list args;
    va_start(args, format);
    vsnprintf(result, sizeof(result), format, args);
    va_end(args);
    return result;
}

int ask(const Node& node, const std::string& parts, const std::string& id)
{
    Ask request;
    request.path = "/s/1";
    request.id = id;
    request.fields = "Guavapond-Model: m\r\nGuavapond-Token-Count: 1460,80\r\nGuavapond-Prompt-Prefix: " + parts + "\r\n";
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
    json c = config(1, json::array({ route("s", "/s/", "streaming", "s1") }));
    c["services"][0]["engine"] = { { "slots", 13 }, { "kv_capacity", 797349 }, { "stride", 6 } };
    store.put("op/config", c.dump());
    std::vector<std::unique_ptr<Node>> nodes;
    for (const char* name : { "n1", "n2" }) {
        nodes.push_back(std::make_unique<Node>(name, folder, store.port()));
        nodes.back()->start();
    }
    for (const auto& node : nodes) {
        if (!node->waitReady())
            return conclude(nodes, std::nullopt, "BUDGET");
    }
    sleepMs(contactMs);

    // Sound requests, all of the same caller and with the same first part.
    std::atomic<bool> isOver = false;
    std::atomic<int> number = 0, soundAsked = 0, soundServed = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < soundClients; ++i)
        clients.emplace_back([&, i] {
            for (; !isOver; sleepMs(150)) {
                const int status = ask(
                    *nodes[static_cast<size_t>(i % 2)], text("5c1e07a2:800,d%07x:410,%08x:250", i % 3, 0x40000000 + ++number), attemptId());
                ++soundAsked;
                soundServed += status == 200;
            }
        });
    sleepMs(contactMs);

    std::atomic<int> laterAsked = 0, laterServed = 0;
    std::vector<std::thread> others;
    for (int i = 0; i < requestsWithPart; ++i, sleepMs(betweenMs)) {
        const int session = i / perSession;
        others.emplace_back([&, i, session] {
            const std::string id = attemptId();
            const int status = ask(*nodes[static_cast<size_t>(i % 2)],
                text("5c1e07a2:800,%s:410,e%07x:250,%08x:60", crashingPart, session, 0x50000000 + i), id);
            RECORD("request %s with the part, of session %d: %d", id.c_str(), session, status);
        });
        if (i % perSession == perSession - 1)
            others.emplace_back([&, session] {
                sleepMs(soundAfterMs);
                const int status = ask(*nodes[static_cast<size_t>(session % 2)],
                    text("5c1e07a2:800,e%07x:250,%08x:60", session, 0x60000000 + session), attemptId());
                RECORD("request of session %d without the part: %d", session, status);
                ++laterAsked;
                laterServed += status == 200;
            });
    }
    for (std::thread& other : others)
        other.join();
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    const std::lock_guard lock(mutex);
    const auto late = crashes.size() < firstCrashes
        ? 0
        : std::count_if(arrivals.begin(), arrivals.end(), [](int64_t at) { return at > crashes[firstCrashes - 1] + contactMs; });
    RECORD("%d requests with the part were sent, %zu reached runners, which crashed %zu times; %lld of them later than %lld ms after the "
           "fifth crash (%d are allowed)",
        requestsWithPart, arrivals.size(), crashes.size(), static_cast<long long>(late), static_cast<long long>(contactMs), allowed);
    RECORD("sound requests: %d of %d served; those of a session whose requests with the part had crashed runners: %d of %d",
        soundServed.load(), soundAsked.load(), laterServed.load(), laterAsked.load());
    return conclude(nodes, arrivals.empty() ? std::nullopt : std::optional<bool>(late > allowed), "BUDGET");
}
