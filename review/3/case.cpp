// One runner of a plain service spoils some of its answers: the head promises far more bytes than any answer has. Do the requests that
// are under way at the other, sound runners get their answers?
#include "World.h"

using namespace world;

namespace {

constexpr int clients = 12;
constexpr double trafficSeconds = 12;
constexpr double spoiledSeconds = 5; // from the start of the script, where for_s = 5.5 is the longest
constexpr int spoiledOneIn = 50;     // answers of the faulty runner: x = 0.02 of them
constexpr int restartDelayMs = 300; // a process that exits is restarted after a short delay
constexpr int allowed = 3;       // LOST: more than three times

std::atomic<int> spoiled { 0 };

void serveSpoiled(Runner& runner, Connection& connection)
{
    static std::atomic<int> answers { 0 };
    while (const auto request = connection.read(false, 60000)) {
        if (!hasTrouble() || seconds() > spoiledSeconds || runner.isOther(*request) || ++answers % spoiledOneIn != 0) {
            if (!runner.answer(connection, *request))
                return;
            continue;
        }
        const std::string attempt = request->field("Guavapond-Attempt-Id");
        const std::string body = runner.run(*request);
        record.line("runner %s spoils its answer to %s", runner.id.c_str(), attempt.c_str());
        ++spoiled;
        connection.send("HTTP/1.1 200 OK\r\n" + runner.headFields(attempt) + "Content-Length: 1000000000000000\r\n\r\n" + body);
        sleepMs(5);
        return connection.close();
    }
}

} // namespace

int main(int, char** argv)
{
    record.open(argv[1]);
    const std::string folder = temporaryFolder();
    Store store;
    store.put("op/config",
        configText(1,
            { { "cert-issue", "/cert/", "non_idempotent", "approvals-app" }, { "listing-check", "/listing/", "idempotent", "approvals-app" } },
            { "approvals-app" }, { { "inspectors", "key-1" } }));
    std::vector<std::unique_ptr<Runner>> runners;
    for (const char* id : { "i-a", "i-b", "i-c" }) {
        runners.push_back(std::make_unique<Runner>(id, "approvals-app", store));
        runners.back()->workMs = 60;
    }
    runners[0]->serve = serveSpoiled; // 0.35 of three runners
    Edge edge("edge-1", folder, store.port());
    edge.start();
    if (!edge.waitReady(10000))
        finish(2, folder);

    std::atomic<int> lost { 0 };
    std::atomic<int> answered { 0 };
    const double end = seconds() + trafficSeconds;
    const auto client = [&](int number) {
        std::shared_ptr<Connection> connection;
        int onConnection = 0; // requests answered on the present one
        for (int i = 0; seconds() < end; ++i) {
            if (!connection) {
                connection = connectTo(edge.front);
                onConnection = 0;
            }
            if (!connection) {
                sleepMs(100);
                continue;
            }
            const std::string attempt = "c" + std::to_string(number) + "-" + std::to_string(i);
            const bool isOrder = number % 2 == 0;
            if (!connection->send(isOrder ? requestText("POST", "/cert/issue", attempt, "key-1", 1500, "certificate " + attempt)
                                          : requestText("GET", "/listing/" + attempt, attempt, "key-1", 1500))) {
                connection = nullptr;
                continue;
            }
            const auto answer = connection->read(true, 3000);
            if (answer) {
                ++answered;
                ++onConnection;
                if (lower(answer->field("Connection")) == "close")
                    connection = nullptr;
                continue;
            }
            const bool atSoundRunner = runners[0]->runsOf(attempt) == 0 && runners[1]->runsOf(attempt) + runners[2]->runsOf(attempt) > 0;
            record.line("client %d: the connection ends without an answer to %s, %s, the %d. request on it, %s", number, attempt.c_str(),
                isOrder ? "an order" : "a lookup", onConnection + 1,
                atSoundRunner ? "which a sound runner runs   <-- lost" : "which no sound runner runs");
            lost += atSoundRunner && onConnection > 0 ? 1 : 0;
            connection = nullptr;
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i)
        threads.emplace_back(client, i);
    int ends = 0;
    while (seconds() < end) {
        sleepMs(20);
        if (!edge.hasExited())
            continue;
        ++ends;
        record.line("process %s has ended by itself", edge.name.c_str());
        sleepMs(restartDelayMs);
        edge.start();
    }
    for (std::thread& thread : threads)
        thread.join();
    record.line("spoiled answers %d; the process ended by itself %d times; answers %d; requests of kept connections, at a sound runner, without "
                "an answer %d (allowed %d)",
        spoiled.load(), ends, answered.load(), lost.load(), allowed);
    edge.kill();
    if (hasTrouble() && spoiled == 0)
        finish(2, folder);
    finish(lost > allowed ? 1 : 0, folder);
}
