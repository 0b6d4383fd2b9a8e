// Scenario relay: what a node adds to a stream. Real processes on loopback; the same requests go straight to the stand-in engine and
// through one node, alternating in one run.
//
// Keys
//   addedFirstTokenMs      ms; median first-token time through the node less the median straight to the engine, one request at a time
//   tokensPerSecond        streamed through the node, many streams at a time
//   directTokensPerSecond  the same straight to the engine: the baseline
//
// --set streams=N (64), --set tokens=N of each stream (400), --set samples=N for the first token (200)
#include "Bench.h"
#include "ProcessGroup.h"

#include "adapters/HttpPlatform.h"
#include "core/TableStore.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace guavapond::bench {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds startTime { 15000 };
constexpr std::string_view tokenMark = "data: {";
constexpr std::string_view terminator = "data: [DONE]";

struct StreamResult {
    double firstTokenMs = 0;
    size_t tokens = 0;
    bool whole = false;
};

// One connection that is used for one request after another.
class StreamClient {
public:
    explicit StreamClient(uint16_t port)
    {
        this->socket.connect({ asio::ip::make_address("127.0.0.1"), port });
        this->socket.set_option(tcp::no_delay(true));
    }

    StreamResult stream(size_t tokens, size_t salt)
    {
        Json body { { "model", "drafts" }, { "stream", true }, { "max_tokens", tokens },
            { "messages", { { { "role", "user" }, { "content", "question " + std::to_string(salt) } } } } };
        auto text = body.dump();
        auto request = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nGuavapond-Workspace: labs\r\n"
                       "Guavapond-Tier: urgent\r\nX-Request-Id: r"
            + std::to_string(salt) + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
        auto started = Clock::now();
        asio::write(this->socket, asio::buffer(request));
        return this->read(started);
    }

private:
    StreamResult read(Clock::time_point started)
    {
        StreamResult result;
        std::string text;
        size_t searched = 0;
        while (!result.whole) {
            boost::system::error_code ec;
            auto bytes = this->socket.read_some(asio::buffer(this->buffer), ec);
            if (ec)
                return result;
            text.append(this->buffer.data(), bytes);
            if (!text.starts_with("HTTP/1.1 200"))
                return result; // refused
            for (auto at = text.find(tokenMark, searched); at != std::string::npos; at = text.find(tokenMark, searched)) {
                if (result.tokens++ == 0)
                    result.firstTokenMs = std::chrono::duration<double, std::milli>(Clock::now() - started).count();
                searched = at + tokenMark.size();
            }
            result.whole = text.find(terminator, searched) != std::string::npos && text.ends_with("0\r\n\r\n");
        }
        return result;
    }

    asio::io_context context;
    tcp::socket socket { this->context };
    std::array<char, 65536> buffer {};
};

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

// The platform, one engine without delays and one node.
class Setup {
public:
    Setup()
        : directory(std::filesystem::temp_directory_path() / ("guavapond-relay-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(this->directory);
        auto platformPort = this->start("platform", { "standin-platform", "--port", "0" });
        this->enginePort = this->start("engine",
            { "standin-engine", "--port", "0", "--model", "drafts", "--version", "v1", "--prefill-rate", "0", "--decode-rate", "0" });
        auto platform = "http://127.0.0.1:" + std::to_string(platformPort);
        this->importTable(platform);
        this->writeSettings(platform);
        this->nodePort = this->start("node", { "guavapondd", "--settings", (this->directory / "node.toml").string() });
        this->waitUntilReady();
    }
    ~Setup()
    {
        this->children.clear();
        std::filesystem::remove_all(this->directory);
    }
    Setup(const Setup&) = delete;
    Setup& operator=(const Setup&) = delete;

    uint16_t enginePort = 0;
    uint16_t nodePort = 0;

private:
    uint16_t start(const std::string& name, std::vector<std::string> command)
    {
        command.front() = programDirectory() + "/" + command.front();
        this->children.push_back(std::make_unique<ChildProcess>(command, (this->directory / (name + ".log")).string()));
        return this->children.back()->readLine(startTime).at("port").get<uint16_t>();
    }

    void importTable(const std::string& platform) const
    {
        Table table;
        table.workspaces.push_back({ "labs", "", {} });
        TargetRow engine;
        engine.name = "e1";
        engine.address = "http://127.0.0.1:" + std::to_string(this->enginePort);
        engine.failureDomain = "lalitpur";
        engine.model = "drafts";
        engine.version = "v1";
        engine.maxRunning = 512;
        table.targets.push_back(engine);
        HttpPlatformSettings settings;
        settings.urls = { platform };
        TableStore store(httpKeyValue(settings), {});
        TableEdit edit;
        edit.id = "relay";
        edit.who = "guavapond-bench";
        edit.whole = table;
        auto outcome = store.edit(edit);
        if (!outcome.revision)
            throw std::runtime_error("the table was refused: " + (outcome.reason ? outcome.reason->message : std::string()));
    }

    void writeSettings(const std::string& platform) const
    {
        std::ofstream file(this->directory / "node.toml");
        file << "[node]\nname = \"n1\"\nfailureDomain = \"lalitpur\"\n[callers]\nport = 0\n[nodes]\nport = 0\n[platform]\nurls = [\""
             << platform << "\"]\n[log]\nfile = \"" << (this->directory / "node.jsonl").string() << "\"\nlevel = \"warn\"\n";
    }

    void waitUntilReady() const
    {
        auto until = Clock::now() + startTime;
        while (Clock::now() < until) {
            if (StreamClient(this->nodePort).stream(1, 0).whole)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        throw std::runtime_error("the node did not answer in time");
    }

    std::filesystem::path directory;
    std::vector<std::unique_ptr<ChildProcess>> children;
};

struct Throughput {
    double tokensPerSecond = 0;
    size_t cut = 0; // streams that did not end whole
};

Throughput measureThroughput(uint16_t port, size_t streams, size_t tokens, size_t rounds, size_t salt)
{
    std::atomic<size_t> received { 0 };
    std::atomic<size_t> cut { 0 };
    std::vector<std::thread> threads;
    auto started = Clock::now();
    for (size_t i = 0; i < streams; ++i) {
        threads.emplace_back([&, i] {
            for (size_t round = 0; round < rounds; ++round) {
                StreamClient client(port);
                auto result = client.stream(tokens, salt + i * rounds + round);
                received += result.tokens;
                cut += result.whole ? 0 : 1;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    auto seconds = std::chrono::duration<double>(Clock::now() - started).count();
    return { static_cast<double>(received) / seconds, cut };
}

size_t setting(const BenchOptions& options, const std::string& name, size_t fallback)
{
    auto found = options.extra.find(name);
    return found == options.extra.end() ? fallback : std::stoul(found->second);
}

Json runRelay(const BenchOptions& options)
{
    Setup setup;
    auto samples = setting(options, "samples", options.quick ? 50 : 200);
    auto streams = setting(options, "streams", 64);
    auto tokens = setting(options, "tokens", 400);
    auto rounds = setting(options, "rounds", options.quick ? 2 : 8);
    std::vector<double> direct;
    std::vector<double> relayed;
    {
        StreamClient engine(setup.enginePort);
        StreamClient node(setup.nodePort);
        for (size_t i = 0; i < samples; ++i) {
            direct.push_back(engine.stream(4, 2 * i + 1).firstTokenMs);
            relayed.push_back(node.stream(4, 2 * i + 2).firstTokenMs);
        }
    }
    auto salt = 10 * samples;
    std::vector<double> directRates;
    std::vector<double> relayedRates;
    size_t cut = 0;
    constexpr size_t pairs = 3;
    for (size_t pair = 0; pair < pairs; ++pair) {
        auto straight = measureThroughput(setup.enginePort, streams, tokens, rounds, salt += streams * rounds);
        auto through = measureThroughput(setup.nodePort, streams, tokens, rounds, salt += streams * rounds);
        directRates.push_back(straight.tokensPerSecond);
        relayedRates.push_back(through.tokensPerSecond);
        cut += straight.cut + through.cut;
    }
    return { { "scenario", "relay" }, { "seed", options.seed }, { "addedFirstTokenMs", median(relayed) - median(direct) },
        { "directFirstTokenMs", median(direct) }, { "firstTokenMs", median(relayed) }, { "tokensPerSecond", median(relayedRates) },
        { "directTokensPerSecond", median(directRates) }, { "cutStreams", cut }, { "streams", streams } };
}

const bool registered = registerScenario({ "relay", "what a node adds to a stream", runRelay });

} // namespace

} // namespace guavapond::bench
