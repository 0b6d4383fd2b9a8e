// A configuration takes the keys of the last tenant away, and the tenant with them.
#include "../world-2/World.h"

using namespace world;

namespace {

constexpr int64_t revokeMs = 5000; // of the sheets
constexpr int64_t judgedMs = 10000;

bool answer(Runner&, Connection& c, const Message& m) { return c.send(reply(200, std::string(800, 'x'), Runner::sealed(m))); }

int ask(const Node& node, const Ask& request)
{
    const auto c = connectTo(node.front);
    if (!c || !c->send(request.text()))
        return 0;
    const auto m = c->message(3000);
    return m ? m->status() : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = begin(argc, argv);
    Store store;
    store.start();
    Runner runner("r1", "s1", answer);
    runner.start();
    const json routes = json::array({ route("a", "/a/", "idempotent", "s1") });
    store.put("op/config", config(7, routes, json::array({ "k1" })).dump());
    store.put("servers/r1", runner.entry());
    std::vector<std::unique_ptr<Node>> nodes;
    for (const char* name : { "n1", "n2" }) {
        nodes.push_back(std::make_unique<Node>(name, folder, store.port()));
        nodes.back()->start();
    }
    for (const auto& node : nodes) {
        if (!node->waitReady())
            return conclude(nodes, std::nullopt, "CONFIG");
    }
    sleepMs(4000);
    const int before = ask(*nodes[0], { .method = "GET", .key = "k1" });
    const int never = ask(*nodes[0], { .method = "GET", .key = "never-held" });
    RECORD("with the key: %d, with a key that no configuration ever held: %d", before, never);

    json next = config(9, routes, json::array());
    if (hasTrouble())
        next["tenants"] = json::array();
    store.put("op/config", next.dump());
    const int64_t acknowledged = nowMs();
    RECORD("configuration 9 is acknowledged, with \"tenants\": %s", next["tenants"].dump().c_str());
    sleepMs(revokeMs);
    int revoked = 0, unknown = 0, answers = 0;
    for (const int64_t end = nowMs() + judgedMs; nowMs() < end; sleepMs(250)) {
        for (const auto& node : nodes) {
            for (const char* key : { "k1", "never-held" }) {
                const Ask request { .method = "GET", .key = key };
                const int64_t sent = nowMs() - acknowledged;
                answers += ask(*node, request) > 0;
                if (sent <= revokeMs || runner.runsOf(request.id) == 0)
                    continue;
                ++(std::string(key) == "k1" ? revoked : unknown);
            }
        }
    }
    RECORD("later than %lld ms after the acknowledgement %d requests with the key that was taken away have run, and %d with a key that no "
           "configuration ever held",
        static_cast<long long>(revokeMs), revoked, unknown);
    return conclude(nodes, before != 200 || answers == 0 ? std::nullopt : std::optional<bool>(revoked > 0), "CONFIG");
}
