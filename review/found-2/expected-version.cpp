// A client names a version of the weights that the runners of a service don't have. Others then use a route to that service.
#include "../world-2/World.h"

using namespace world;

namespace {

constexpr int64_t contactMs = 3000; // of the sheets
constexpr int64_t judgedMs = 20000;
constexpr int requestsWithVersion = 4;

// A runner of weights of version 1.
bool answer(Runner& self, Connection& c, const Message& m)
{
    const std::string expected = m.field("Guavapond-Expected-Version");
    if (!expected.empty() && expected != "1")
        return c.send(reply(421, "",
            "Guavapond-Not-Executed: 1\r\nGuavapond-Instance-Id: " + self.id
                + "\r\nGuavapond-Attempt-Id: " + m.field("Guavapond-Attempt-Id") + "\r\n"));
    sleepMs(15);
    return c.send(reply(200, std::string(800, 'x'), Runner::sealed(m) + "Guavapond-Weight-Versions: 1\r\n"));
}

int ask(const Node& node, const Ask& request)
{
    const auto c = connectTo(node.front);
    if (!c || !c->send(request.text()))
        return 0;
    const auto m = c->message(5000);
    return m ? m->status() : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = begin(argc, argv);
    Store store;
    store.start();
    std::vector<std::unique_ptr<Runner>> runners;
    int sequence = 0;
    for (const auto& [id, service] : std::vector<std::pair<std::string, std::string>> {
             { "a1", "s1" }, { "a2", "s1" }, { "b1", "s2" }, { "b2", "s2" }, { "b3", "s2" } }) {
        runners.push_back(std::make_unique<Runner>(id, service, answer));
        runners.back()->start();
        store.put("servers/" + id, runners.back()->entry());
    }
    const auto configuration = [&](int version, const json& routes) {
        json c = config(version, routes);
        c["services"].push_back(c["services"][0]);
        c["services"][1]["name"] = "s2";
        return c.dump();
    };
    store.put("op/config", configuration(1, json::array({ route("a", "/a/", "idempotent", "s1") })));
    std::vector<std::unique_ptr<Node>> nodes;
    nodes.push_back(std::make_unique<Node>("n1", folder, store.port()));
    nodes[0]->start();
    if (!nodes[0]->waitReady())
        return conclude(nodes, std::nullopt, "CONFIG");
    sleepMs(2000);
    store.put("op/config", configuration(3, json::array({ route("a", "/a/", "idempotent", "s1"), route("b", "/b/", "idempotent", "s2") })));
    RECORD("configuration 3 adds route b");
    sleepMs(contactMs + 1000);
    for (int i = 0; i < 5; ++i)
        RECORD("before: route b answers %d", ask(*nodes[0], { .method = "GET", .path = "/b/1" }));
    for (int i = 0; hasTrouble() && i < requestsWithVersion; ++i) {
        RECORD("with Guavapond-Expected-Version: 2, route b answers %d",
            ask(*nodes[0], { .method = "GET", .path = "/b/1", .fields = "Guavapond-Expected-Version: 2\r\n" }));
        sleepMs(100);
    }
    sleepMs(contactMs);
    int asked = 0, servedA = 0, servedB = 0;
    for (const int64_t end = nowMs() + judgedMs; nowMs() < end; sleepMs(100), ++asked) {
        if (asked % 10 == 0) { // a runner's heartbeat
            ++sequence;
            for (const auto& runner : runners) {
                json entry = json::parse(runner->entry());
                entry["sequence"] = sequence;
                store.put("servers/" + runner->id, entry.dump());
            }
        }
        servedA += ask(*nodes[0], { .method = "GET", .path = "/a/1" }) == 200;
        const int status = ask(*nodes[0], { .method = "GET", .path = "/b/1" });
        servedB += status == 200;
        if (status != 200)
            RECORD("route b answers %d", status);
    }
    RECORD("later than %lld ms after the last of them: route a served %d of %d, route b, which was added later, %d of %d",
        static_cast<long long>(contactMs), servedA, asked, servedB, asked);
    return conclude(nodes, asked >= 20 && servedA > 0 ? std::optional<bool>(servedB * 4 < servedA) : std::nullopt, "CONFIG");
}
