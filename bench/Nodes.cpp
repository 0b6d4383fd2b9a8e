// Scenario `nodes`: real processes on loopback under load, while nodes, targets, links and the platform fail. Judged by the targets' own
// logs.
//
// Index
//   Deployment       nodes, engines and services by failure domain
//   Cluster          the processes and the relays between them
//   FaultPlan        the faults, one after another, with a quiet time after each
//   judge            figures from the callers' records and the targets' logs
//
// --set keep=1 keeps the work directory with the nodes' logs; its name goes to standard error.
#include "Bench.h"
#include "LoadClient.h"
#include "ProcessGroup.h"
#include "Relay.h"

#include "PortReservation.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <cmath>
#include <cpprest/http_client.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace guavapond::bench {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds startWait(15000);
constexpr milliseconds stopWait(20000);
constexpr milliseconds questionInTime(2000);
constexpr double recoveredShare = 0.95;

struct Deployment {
    std::vector<std::string> domains;
    std::vector<size_t> nodeDomains; // failure domain of each node
    size_t engines = 6;
    size_t services = 3;
};

Deployment deploymentOf(const std::string& name)
{
    if (name == "consorzio")
        return { { "palermo", "catania", "acireale", "siracusa" }, { 0, 0, 1, 2, 3 }, 5, 4 };
    return { { "lalitpur", "bhaktapur", "kirtipur" }, { 0, 0, 1, 1, 2 }, 6, 3 };
}

json callJson(const std::string& url, const std::string& method, const std::string& path, const json& body = nullptr)
{
    web::http::client::http_client client(url);
    web::http::http_request request(method);
    request.set_request_uri(path);
    if (!body.is_null())
        request.set_body(body.dump(), "application/json");
    return json::parse(client.request(request).get().extract_utf8string(true).get(), nullptr, false);
}

std::vector<json> readLog(const std::string& url)
{
    web::http::client::http_client client(url);
    std::istringstream lines(client.request(web::http::methods::GET, "/log").get().extract_utf8string(true).get());
    std::vector<json> entries;
    for (std::string line; std::getline(lines, line);)
        entries.push_back(json::parse(line));
    return entries;
}

// ---- The processes

class Cluster {
public:
    struct Node {
        std::string name;
        std::string domain;
        std::unique_ptr<PortReservation> callerPort; // held, so that a restart finds its address free
        std::unique_ptr<PortReservation> peerPort;
        std::unique_ptr<Relay> platformLink;
        std::vector<std::unique_ptr<Relay>> peerLinks; // to each node; none to itself
        std::unique_ptr<ChildProcess> process;
    };

    Cluster(const Deployment& deployment, bool keep)
        : keepFiles(keep)
        , work(makeWorkDirectory())
        , guard(boost::asio::make_work_guard(this->context))
        , thread([this] { this->context.run(); })
    {
        this->startStandins(deployment);
        this->importTable(deployment);
        this->startNodes(deployment);
    }
    ~Cluster()
    {
        // The relays' thread first: its handlers use the relays.
        this->context.stop();
        this->thread.join();
        this->nodes.clear();
        this->standins.clear();
        if (this->keepFiles)
            std::cerr << "work directory: " << this->work << "\n";
        else
            std::filesystem::remove_all(this->work);
    }
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    void start(size_t index)
    {
        auto& node = this->nodes[index];
        node.process = std::make_unique<ChildProcess>(
            std::vector<std::string> { programDirectory() + "/guavapondd", "--settings", this->work + "/" + node.name + ".toml" },
            this->work + "/" + node.name + ".err");
        node.process->readLine(startWait);
    }
    void waitReady(size_t index)
    {
        const auto until = steady_clock::now() + startWait;
        while (steady_clock::now() < until) {
            try {
                web::http::client::http_client client(this->urlOf(index));
                if (client.request(web::http::methods::GET, "/readyz").get().status_code() == web::http::status_codes::OK)
                    return;
            } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): it is asked again
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        throw std::runtime_error("a node was not ready in time");
    }
    std::string urlOf(size_t index) const { return "http://127.0.0.1:" + std::to_string(this->nodes[index].callerPort->port()); }
    std::vector<NodeEntry> entries() const
    {
        std::vector<NodeEntry> list;
        for (size_t i = 0; i < this->nodes.size(); ++i)
            list.push_back({ this->nodes[i].name, this->urlOf(i) });
        return list;
    }
    // All links of a node to and from other nodes.
    void setPeerLinks(size_t index, LinkState state)
    {
        for (size_t other = 0; other < this->nodes.size(); ++other) {
            if (other == index)
                continue;
            this->nodes[index].peerLinks[other]->setState(state);
            this->nodes[other].peerLinks[index]->setState(state);
        }
    }
    uint64_t controlBytes() const
    {
        uint64_t sum = 0;
        for (const auto& node : this->nodes) {
            sum += node.platformLink->bytes();
            for (const auto& link : node.peerLinks)
                sum += link ? link->bytes() : 0;
        }
        return sum;
    }

    std::vector<Node> nodes;
    std::vector<std::string> engineUrls;
    std::vector<std::string> serviceUrls;
    std::string platformUrl;

private:
    static std::string makeWorkDirectory()
    {
        std::string pattern = std::filesystem::temp_directory_path().string() + "/guavapond-nodes-XXXXXX";
        if (!::mkdtemp(pattern.data()))
            throw std::runtime_error("no work directory");
        return pattern;
    }
    uint16_t startStandin(std::vector<std::string> command)
    {
        command[0] = programDirectory() + "/" + command[0];
        this->standins.push_back(std::make_unique<ChildProcess>(command, this->work + "/standins.err"));
        return this->standins.back()->readLine(startWait).at("port").get<uint16_t>();
    }
    void startStandins(const Deployment& deployment)
    {
        auto url = [](uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); };
        this->platformUrl = url(this->startStandin({ "standin-platform", "--port", "0" }));
        const std::vector<std::pair<const char*, const char*>> speeds { { "20000", "200" }, { "10000", "120" }, { "6000", "80" } };
        for (size_t i = 0; i < deployment.engines; ++i) {
            const auto& [prefill, decode] = speeds[i % speeds.size()];
            this->engineUrls.push_back(url(this->startStandin({ "standin-engine", "--port", "0", "--model", "drafts", "--version", "v1",
                "--prefill-rate", prefill, "--decode-rate", decode })));
        }
        for (size_t i = 0; i < deployment.services; ++i) {
            this->serviceUrls.push_back(url(this->startStandin({ "standin-service", "--port", "0", "--service", "register" })));
            callJson(this->serviceUrls.back(), "PUT", "/faults", { { "delayMs", 40 } });
        }
    }
    void importTable(const Deployment& deployment)
    {
        const auto folder = this->work + "/table";
        std::filesystem::create_directory(folder);
        std::ofstream workspaces(folder + "/workspaces.csv");
        workspaces << "name,token";
        for (const std::string tier : { "urgent", "standard", "batch" }) {
            for (const auto* column :
                { "weight", "engineSecondsPerSecond", "burstEngineSeconds", "running", "queued", "reservedEngineSeconds" })
                workspaces << ',' << tier << '.' << column;
        }
        workspaces << "\ninspectors,,4,0,60,0,0,0,2,0,60,0,0,0,1,0,60,0,0,0\nassessors,,1,0,60,0,0,0,1,0,60,0,0,0,1,0,60,0,0,0\n";
        workspaces.close();
        std::ofstream targets(folder + "/targets.csv");
        targets << "name,kind,address,failureDomain,model,version,state,checksFencing,resumes,maxRunning\n";
        for (size_t i = 0; i < this->engineUrls.size(); ++i)
            targets << "runner-" << i << ",engine," << this->engineUrls[i] << ',' << deployment.domains[i % deployment.domains.size()]
                    << ",drafts,v1,active,false,true,64\n";
        for (size_t i = 0; i < this->serviceUrls.size(); ++i)
            targets << "register-" << i << ",service," << this->serviceUrls[i] << ',' << deployment.domains[i % deployment.domains.size()]
                    << ",register,v1,active,false,false,64\n";
        targets.close();
        ChildProcess import(
            { programDirectory() + "/guavapond", "--platform", this->platformUrl, "table", "import", folder, "--reason", "first table" },
            this->work + "/import.err");
        if (import.waitForEnd(startWait) != 0)
            throw std::runtime_error("the table could not be imported");
    }
    void startNodes(const Deployment& deployment)
    {
        const auto count = deployment.nodeDomains.size();
        const auto platformPort = static_cast<uint16_t>(std::stoi(this->platformUrl.substr(this->platformUrl.rfind(':') + 1)));
        for (size_t i = 0; i < count; ++i) {
            Node node;
            node.domain = deployment.domains[deployment.nodeDomains[i]];
            node.name = node.domain + "-" + std::to_string(i);
            node.callerPort = std::make_unique<PortReservation>();
            node.peerPort = std::make_unique<PortReservation>();
            node.platformLink = std::make_unique<Relay>(this->context, platformPort);
            this->nodes.push_back(std::move(node));
        }
        for (size_t i = 0; i < count; ++i) {
            for (size_t j = 0; j < count; ++j)
                this->nodes[i].peerLinks.push_back(
                    i == j ? nullptr : std::make_unique<Relay>(this->context, this->nodes[j].peerPort->port()));
            this->writeSettings(i);
        }
        for (size_t i = 0; i < count; ++i)
            this->start(i);
        for (size_t i = 0; i < count; ++i)
            this->waitReady(i);
    }
    void writeSettings(size_t index)
    {
        const auto& node = this->nodes[index];
        std::ofstream file(this->work + "/" + node.name + ".toml");
        file << "[node]\nname = \"" << node.name << "\"\nfailureDomain = \"" << node.domain
             << "\"\n[callers]\nport = " << node.callerPort->port() << "\n[nodes]\nport = " << node.peerPort->port()
             << "\n[platform]\nurls = [\"http://127.0.0.1:" << node.platformLink->port()
             << "\"]\ntimeoutMs = 1000\n[targets]\nfirstByteMs = 1500\nbetweenTokensMs = 800\nhealthMs = 500\n"
             << "[log]\nfile = \"" << this->work << "/" << node.name << ".log\"\n";
        for (size_t j = 0; j < this->nodes.size(); ++j) {
            if (j != index)
                file << "[[peers]]\nname = \"" << this->nodes[j].name << "\"\naddress = \"127.0.0.1:" << node.peerLinks[j]->port()
                     << "\"\nfailureDomain = \"" << this->nodes[j].domain << "\"\n";
        }
    }

    bool keepFiles;
    std::string work;
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread thread; // of the relays
    std::vector<std::unique_ptr<ChildProcess>> standins;
};

// ---- The faults

struct FaultSpan {
    std::string name;
    SteadyTime start;
    SteadyTime end; // with the quiet time after it
    bool plannedStop = false;
    size_t node = 0;
};

class FaultPlan {
public:
    FaultPlan(Cluster& c, LoadClient& l, uint64_t seed, bool q)
        : cluster(c)
        , load(l)
        , random(seed)
        , quick(q)
    {
    }

    void run()
    {
        this->killAndRestart();
        this->pause();
        this->silenceTarget();
        if (!this->quick) {
            this->platformOutage();
            this->cutFromNodes(LinkState::Drop);
            this->cutFromNodes(LinkState::Stall);
            this->cutFromPlatform();
        }
        const size_t stops = this->quick ? 1 : 2;
        const auto first = this->pick();
        for (size_t i = 0; i < stops; ++i)
            this->plannedStop((first + i) % this->cluster.nodes.size());
    }

    std::vector<FaultSpan> spans;
    size_t unknownBound = 0;
    std::vector<std::string> wrongExits;

private:
    size_t pick() { return std::uniform_int_distribution<size_t>(0, this->cluster.nodes.size() - 1)(this->random); }
    void quiet() const { std::this_thread::sleep_for(milliseconds(this->quick ? 1500 : 2500)); }
    void fault(const std::string& name, size_t node, const std::function<void()>& act, bool planned = false)
    {
        FaultSpan span { name, steady_clock::now(), {}, planned, node };
        act();
        this->quiet();
        span.end = steady_clock::now();
        this->spans.push_back(span);
    }
    void killAndRestart()
    {
        const auto node = this->pick();
        this->fault("kill", node, [&] {
            this->unknownBound += this->load.openAt(node);
            this->cluster.nodes[node].process->signal(SIGKILL);
            this->cluster.nodes[node].process->waitForEnd(stopWait);
            this->quiet();
            this->cluster.start(node);
            this->cluster.waitReady(node);
        });
    }
    void pause()
    {
        const auto node = this->pick();
        this->fault("pause", node, [&] {
            this->unknownBound += this->load.openAt(node);
            this->cluster.nodes[node].process->signal(SIGSTOP);
            std::this_thread::sleep_for(milliseconds(this->quick ? 3500 : 9000));
            this->cluster.nodes[node].process->signal(SIGCONT);
        });
    }
    void silenceTarget()
    {
        const auto engine = std::uniform_int_distribution<size_t>(0, this->cluster.engineUrls.size() - 1)(this->random);
        this->fault("silentTarget", 0, [&] {
            callJson(this->cluster.engineUrls[engine], "PUT", "/faults", { { "stallAfter", 2 } });
            std::this_thread::sleep_for(milliseconds(1500));
            callJson(this->cluster.engineUrls[engine], "PUT", "/faults", json::object());
        });
    }
    void platformOutage()
    {
        this->fault("platformOutage", 0, [&] {
            callJson(this->cluster.platformUrl, "PUT", "/faults", { { "outage", "silent" } });
            std::this_thread::sleep_for(milliseconds(2500));
            callJson(this->cluster.platformUrl, "PUT", "/faults", { { "outage", false } });
        });
    }
    void cutFromNodes(LinkState state)
    {
        const auto node = this->pick();
        this->fault(state == LinkState::Drop ? "nodeCutOff" : "nodeLinksStalled", node, [&] {
            this->unknownBound += this->load.openAt(node);
            this->cluster.setPeerLinks(node, state);
            std::this_thread::sleep_for(milliseconds(3000));
            this->cluster.setPeerLinks(node, LinkState::Pass);
        });
    }
    void cutFromPlatform()
    {
        const auto node = this->pick();
        this->fault("cutFromPlatform", node, [&] {
            this->cluster.nodes[node].platformLink->setState(LinkState::Stall);
            std::this_thread::sleep_for(milliseconds(2000));
            this->cluster.nodes[node].platformLink->setState(LinkState::Pass);
        });
    }
    void plannedStop(size_t node)
    {
        this->fault(
            "plannedStop", node,
            [&] {
                auto& process = *this->cluster.nodes[node].process;
                process.signal(SIGTERM);
                const int status = process.waitForEnd(stopWait);
                if (status != 0)
                    this->wrongExits.push_back(this->cluster.nodes[node].name + " ended with status " + std::to_string(status));
                this->cluster.start(node);
                this->cluster.waitReady(node);
            },
            true);
    }

    Cluster& cluster;
    LoadClient& load;
    std::mt19937_64 random;
    bool quick;
};

// ---- Figures

// Seconds from the fault until the rate of top-tier answers is back; 0: it never fell.
double recoverySeconds(const std::vector<SteadyTime>& answers, const FaultSpan& span)
{
    constexpr milliseconds window(1000);
    constexpr milliseconds step(100);
    constexpr milliseconds before(2000);
    auto count = [&](SteadyTime from, milliseconds length) {
        auto low = std::ranges::lower_bound(answers, from);
        return static_cast<double>(std::ranges::lower_bound(answers, from + length) - low);
    };
    const double wanted = recoveredShare * count(span.start - before, before) * window.count() / before.count();
    SteadyTime lowest = span.start;
    for (auto at = span.start; at + window <= span.end; at += step) {
        if (count(at, window) < count(lowest, window))
            lowest = at;
    }
    auto at = lowest;
    while (at + window < span.end && count(at, window) < wanted)
        at += step;
    if (at == lowest)
        return 0;
    return std::chrono::duration<double>(at - span.start).count();
}

std::string spanAt(const FaultPlan& plan, SteadyTime time)
{
    for (const auto& span : plan.spans) {
        if (time >= span.start && time < span.end)
            return span.name;
    }
    return "none";
}

void judgeRequests(json& line, const std::vector<RequestRecord>& records, const Cluster& cluster, const FaultPlan& plan)
{
    std::unordered_map<std::string, size_t> runs;
    for (const auto* urls : { &cluster.engineUrls, &cluster.serviceUrls }) {
        for (const auto& url : *urls) {
            for (const auto& entry : readLog(url))
                ++runs[entry.at("request").get<std::string>()];
        }
    }
    json examples = json::array();
    constexpr size_t maxExamples = 5;
    auto example = [&](const char* what, const std::string& ticket) {
        if (examples.size() < maxExamples)
            examples.push_back(std::string(what) + " " + ticket);
    };
    size_t doubles = 0;
    for (const auto& [ticket, count] : runs) {
        if (count > 1) {
            ++doubles;
            example("dispatched twice:", ticket);
        }
    }
    size_t falseNotRun = 0;
    size_t lost = 0;
    size_t crossed = 0;
    size_t unknown = 0;
    size_t cuts = 0;
    size_t lateResets = 0;
    std::map<std::string, size_t> outcomes;
    std::map<std::string, size_t> unknownBy;
    for (const auto& record : records) {
        static constexpr std::array names { "lost", "answered", "ran", "unknown", "notRun" };
        ++outcomes[names.at(static_cast<size_t>(record.outcome))];
        for (const auto& ticket : std::unordered_set<std::string>(record.toldNotRun.begin(), record.toldNotRun.end())) {
            if (runs.contains(ticket)) {
                ++falseNotRun;
                example("told not run:", ticket);
            }
        }
        const auto& last = record.attempts.empty() ? std::string() : record.attempts.back().ticket;
        const bool saidToRun = record.outcome == CallerOutcome::Answered || record.outcome == CallerOutcome::Ran;
        if (record.outcome == CallerOutcome::None || (saidToRun && !runs.contains(last))) {
            ++lost;
            example("lost:", last + " " + (record.attempts.empty() ? "" : record.attempts.back().type));
        }
        crossed += record.crossed ? 1 : 0;
        if (record.crossed)
            example("crossed:", last);
        if (record.outcome == CallerOutcome::Unknown) {
            ++unknown;
            const auto& attempt = record.attempts.back();
            ++unknownBy[spanAt(plan, record.end) + ": " + attempt.type + (runs.contains(last) ? ", had run" : ", had not run")];
        }
        for (const auto& attempt : record.attempts) {
            const bool bad = attempt.lost || attempt.disposition == "unknown";
            if (!bad)
                continue;
            for (const auto& span : plan.spans) {
                if (!span.plannedStop || attempt.end < span.start || attempt.start > span.end)
                    continue;
                if (attempt.start < span.start) {
                    ++cuts;
                    example("cut by a planned stop:", attempt.ticket + " at " + cluster.nodes[attempt.node].name + " " + attempt.type);
                } else if (attempt.lost && attempt.sent) {
                    ++lateResets;
                }
            }
        }
    }
    line["requests"] = records.size();
    line["outcomes"] = outcomes;
    line["doubleDispatches"] = doubles;
    line["falseNotRun"] = falseNotRun;
    line["lostRequests"] = lost;
    line["crossedAnswers"] = crossed;
    line["unknownOutcomes"] = unknown;
    line["unknownBy"] = unknownBy;
    line["unknownBound"] = plan.unknownBound;
    line["plannedStopCuts"] = cuts;
    line["resetsAfterStop"] = lateResets;
    line["examples"] = examples;
}

void judgeGoodput(json& line, const std::vector<RequestRecord>& records, const FaultPlan& plan)
{
    std::vector<SteadyTime> answers;
    size_t started = 0;
    size_t inTime = 0;
    for (const auto& record : records) {
        if (record.kind != RequestClass::Question)
            continue;
        const bool good = record.outcome == CallerOutcome::Answered && record.end - record.start <= questionInTime;
        if (good)
            answers.push_back(record.end);
        if (record.start < plan.spans.front().start || record.start > plan.spans.back().end)
            continue;
        ++started;
        inTime += good ? 1 : 0;
    }
    std::ranges::sort(answers);
    double longest = 0;
    for (const auto& span : plan.spans) {
        const double seconds = recoverySeconds(answers, span);
        line["recoveryByFault"].push_back({ { "fault", span.name }, { "seconds", seconds } });
        longest = std::max(longest, seconds);
    }
    line["recoverySeconds"] = longest;
    line["topTierGoodputDuring"] = started == 0 ? 0 : static_cast<double>(inTime) / static_cast<double>(started);
}

// What the nodes use without load.
void measureIdle(json& line, const Cluster& cluster, milliseconds length)
{
    auto writes = [](const json& stats) { return stats.at("puts").get<double>() + stats.at("leaseCalls").get<double>(); };
    auto reads = [](const json& stats) {
        return stats.at("gets").get<double>() + stats.at("watches").get<double>() + stats.at("vmLists").get<double>();
    };
    std::vector<ChildUsage> before;
    for (const auto& node : cluster.nodes)
        before.push_back(node.process->usage());
    const auto bytesBefore = cluster.controlBytes();
    const auto statsBefore = callJson(cluster.platformUrl, "GET", "/stats");
    const auto start = steady_clock::now();
    std::this_thread::sleep_for(length);
    const double seconds = std::chrono::duration<double>(steady_clock::now() - start).count();
    const auto statsAfter = callJson(cluster.platformUrl, "GET", "/stats");
    const double count = static_cast<double>(cluster.nodes.size());
    double cpu = 0;
    double memory = 0;
    for (size_t i = 0; i < cluster.nodes.size(); ++i) {
        const auto after = cluster.nodes[i].process->usage();
        cpu += after.cpuSeconds - before[i].cpuSeconds;
        memory = std::max(memory, after.residentMb);
    }
    line["controlBytesPerSecond"] = static_cast<double>(cluster.controlBytes() - bytesBefore) / seconds / count;
    line["controlCpuShare"] = cpu / seconds / count;
    line["controlMemoryMb"] = memory;
    line["platformWritesPerSecond"] = (writes(statsAfter) - writes(statsBefore)) / seconds;
    line["platformReadsPerSecond"] = (reads(statsAfter) - reads(statsBefore)) / seconds;
}

json runNodes(const BenchOptions& options)
{
    json line;
    Cluster cluster(deploymentOf(options.deployment), options.extra.contains("keep"));
    std::this_thread::sleep_for(milliseconds(1000)); // the nodes find their witnesses
    measureIdle(line, cluster, milliseconds(options.quick ? 1500 : 4000));
    LoadClient load(LoadSettings {}, cluster.entries(), options.seed);
    std::this_thread::sleep_for(milliseconds(options.quick ? 2000 : 3000));
    FaultPlan plan(cluster, load, options.seed, options.quick);
    plan.run();
    load.stop();
    const auto records = load.records();
    judgeRequests(line, records, cluster, plan);
    judgeGoodput(line, records, plan);
    line["violations"] = json::array();
    for (const auto* key : { "doubleDispatches", "falseNotRun", "lostRequests", "crossedAnswers", "plannedStopCuts" }) {
        if (line.at(key).get<size_t>() != 0)
            line["violations"].push_back(key);
    }
    for (const auto& text : plan.wrongExits)
        line["violations"].push_back(text);
    return line;
}

const bool registered = registerScenario({ "nodes", "real processes with kills, pauses, restarts and partitions", runNodes });

} // namespace

} // namespace guavapond::bench
