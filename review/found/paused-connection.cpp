// Not a case, since no rule of the pages speaks of it: after an answer of a little over 1 MiB the connection to its runner, paused for the
// caller, goes back to the pool and stays paused. The next caller's order runs, and its answer is never read: 504 at its deadline.
// Build and run, in the repository: g++ -std=c++20 -pthread -I review/world review/found/paused-connection.cpp -o review/build/paused &&
// review/build/paused. Prints the status of each order; with an argument, the first caller reads at once, which changes nothing.
#include "World.h"

using namespace world;

int main(int count, char**)
{
    const bool readsAtOnce = count > 1;
    const std::string folder = temporaryFolder();
    Store store;
    store.put("op/config", configText(1, { { "cert-issue", "/cert/", "non_idempotent", "approvals-app", 3000 } }, { "approvals-app" },
                               { { "inspectors", "key-1" } }));
    Runner runner("i-a", "approvals-app", store);
    runner.serve = [](Runner& self, Connection& connection) {
        while (const auto request = connection.read(false, 60000)) {
            std::string body = self.run(*request);
            if (request->target().ends_with("/large"))
                body.resize(1050000, '.');
            connection.send(answerText(200, self.headFields(request->field("Guavapond-Attempt-Id")), body));
        }
    };
    Edge edge("edge-1", folder, store.port());
    edge.start();
    if (!edge.waitReady(10000))
        finish(2, folder);
    int failed = 0;
    for (int i = 0; i < 5; ++i) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int window = 16 * 1024;
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
        const sockaddr_in address = loopback(edge.front);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
            finish(2, folder);
        Connection large(fd);
        large.send(requestText("POST", "/cert/large", "large-" + std::to_string(i), "key-1", 3000, "x"));
        if (readsAtOnce)
            large.read(true, 3000);
        sleepMs(60);
        const std::string attempt = "order-" + std::to_string(i);
        const auto connection = connectTo(edge.front);
        connection->send(requestText("POST", "/cert/issue", attempt, "key-1", 1000, "x"));
        const auto answer = connection->read(true, 3000);
        failed += !answer || answer->status() != 200 ? 1 : 0;
        std::printf("%s: %d, runs %zu\n", attempt.c_str(), answer ? answer->status() : 0, runner.runsOf(attempt));
        sleepMs(1000);
    }
    edge.kill();
    finish(failed > 0 ? 1 : 0, folder);
}
