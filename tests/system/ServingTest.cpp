// A deployment of real processes serves callers through stops, silent connections, lost callers and outages of the platform.
#include "Processes.h"

#include "EngineModel.h"

#include <CppUTest/TestHarness.h>
#include <csignal>
#include <fstream>
#include <thread>

using namespace guavapond;
using namespace guavapond::test;
using nlohmann::json;

namespace {

constexpr const char* shortTimeouts = "[targets]\nfirstByteMs = 2000\nbetweenTokensMs = 1000\nhealthMs = 500\n"
                                      "[scheduler]\nfirstProbeMs = 200\nmaxProbeMs = 400\n";

Headers callerHeaders(const std::string& ticket = {})
{
    Headers headers { { "Guavapond-Workspace", "labs" }, { "Guavapond-Deadline-Ms", "3600000" }, { "Content-Type", "application/json" } };
    if (!ticket.empty())
        headers.emplace_back("Guavapond-Ticket", ticket);
    return headers;
}

std::string question(const std::string& text, uint32_t tokens, bool stream = true, const std::string& model = "drafts")
{
    return json {
        { "model", model }, { "stream", stream }, { "max_tokens", tokens }, { "messages", { { { "role", "user" }, { "content", text } } } }
    }.dump();
}

// What the stand-in answers to question(text, tokens).
std::string expectedText(const std::string& text, uint32_t tokens)
{
    auto prompt = standins::promptOf(json::parse(question(text, tokens)));
    return standins::answerText(prompt, standins::answerTokens(prompt, tokens));
}

std::string streamedText(const HttpResponse& response)
{
    std::string text;
    std::istringstream lines(response.body);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("data: {"))
            continue;
        auto event = json::parse(line.substr(6), nullptr, false);
        if (event.contains("choices"))
            text += event["choices"][0]["delta"].value("content", "");
    }
    return text;
}

bool isWholeStream(const HttpResponse& response)
{
    return response.status == 200 && response.whole && response.body.ends_with("data: [DONE]\n\n");
}

HttpResponse ask(uint16_t port, const std::string& body, const std::string& ticket = {}, const HttpClient::Options& options = {})
{
    return fetch(port, "POST", "/v1/chat/completions", callerHeaders(ticket), body, options);
}

std::string mintTicket(uint16_t port) { return fetch(port, "POST", "/v1/tickets", callerHeaders()).json().value("ticket", ""); }

// A caller on a thread of its own.
class Caller {
public:
    Caller(uint16_t port, const std::string& text, uint32_t tokens)
        : expected(expectedText(text, tokens))
        , thread([this, port, text, tokens] { this->response = ask(port, question(text, tokens)); })
    {
    }
    ~Caller()
    {
        if (this->thread.joinable()) // a check has failed
            this->thread.join();
    }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;
    bool gotWholeAnswer()
    {
        this->thread.join();
        return isWholeStream(this->response) && streamedText(this->response) == this->expected;
    }
    std::string answer() const { return std::to_string(this->response.status) + " " + this->response.body; }

private:
    HttpResponse response;
    std::string expected;
    std::thread thread;
};

std::string readLines(const std::string& path)
{
    std::ifstream in(path);
    return { std::istreambuf_iterator<char>(in), {} };
}

} // namespace

TEST_GROUP(Serving)
{
    Deployment deployment;

    uint16_t startReadyNode(const std::string& name, const std::string& extra = {}, const std::string& callers = {})
    {
        auto port = deployment.portOf(deployment.startNode(name, extra, callers));
        CHECK_TEXT(waitFor([&] { return deployment.isReady(port); }), (name + " is not ready").c_str());
        return port;
    }
};

// P8: guards against a planned stop that cuts running or queued streams, or an answer that its caller reads slowly.
TEST(Serving, StopUnderLoadCutsNoRequest)
{
    deployment.addEngine("drafts-1", "drafts", { "--decode-rate", "60" });
    deployment.addEngine("bulk-1", "bulk");
    deployment.table.targets[0].maxRunning = 2;
    deployment.writeTable();
    auto& node = deployment.startNode("n1", "[scheduler]\ninitialWindow = 2\n");
    auto port = deployment.portOf(node);
    CHECK(waitFor([&] { return deployment.isReady(port); }));
    // More than the kernel's buffers take and less than the node's bound for a slow reader.
    HttpClient slow(port, { {}, 4096 });
    slow.send("POST", "/v1/chat/completions", callerHeaders(), question("bulk", 26000, true, "bulk"));
    CHECK(slow.readUntil("data: "));
    std::vector<std::unique_ptr<Caller>> callers;
    callers.reserve(6);
    for (int i = 0; i < 6; ++i)
        callers.push_back(std::make_unique<Caller>(port, "question " + std::to_string(i), 60));
    CHECK(waitFor([&] {
        auto page = fetch(port, "GET", "/v1/admin/status").json();
        return page.is_object() && page["queued"]["standard"] > 0 && page["running"]["standard"] > 0
            && page.value("active", 0) >= 7; // with the slow reader
    }));
    node.send(SIGTERM);
    CHECK(waitFor([&] { return fetch(port, "GET", "/readyz").status == 503; }));
    auto refused = ask(port, question("late", 5));
    CHECK_EQUAL(503, refused.status);
    STRCMP_EQUAL("stopping", refused.errorField("type").c_str());
    STRCMP_EQUAL("not_run", refused.errorField("disposition").c_str());
    for (auto& caller : callers)
        CHECK_TEXT(caller->gotWholeAnswer(), caller->answer().c_str());
    // All other work is done; the stop has to wait for the slow reader too.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK_TEXT(isWholeStream(slow.finish()), "the slow reader's answer was cut");
    auto status = node.waitForExit();
    CHECK(status.has_value());
    CHECK_EQUAL(0, *status);
}

// P7: guards against new requests for a target that leaves or drains, and against its running streams being cut.
TEST(Serving, LeavingAndDrainingTargetsGetNoNewRequests)
{
    std::vector<Process*> engines;
    for (const char* name : { "leaving", "draining", "staying" })
        engines.push_back(&deployment.addEngine(name, "drafts", { "--decode-rate", "40" }));
    deployment.writeTable();
    auto port = startReadyNode("n1");
    std::vector<std::unique_ptr<Caller>> callers;
    callers.reserve(9);
    for (int i = 0; i < 9; ++i)
        callers.push_back(std::make_unique<Caller>(port, "early " + std::to_string(i), 120));
    CHECK(waitFor([&] { return !deployment.logOf(*engines[0]).empty() && !deployment.logOf(*engines[1]).empty(); }));
    const json vm { { "address", deployment.table.targets[0].address.substr(7) }, { "state", "leaving" } };
    fetch(deployment.portOf(deployment.platform()), "PUT", "/v1/vms", {}, json { { "vms", { vm } } }.dump());
    deployment.table.targets[1].state = TargetState::Draining;
    deployment.writeTable();
    CHECK(waitFor([&] {
        return deployment.targetStatus(port, "leaving").value("draining", false)
            && deployment.targetStatus(port, "draining").value("draining", false);
    }));
    auto before = std::pair(deployment.logOf(*engines[0]).size(), deployment.logOf(*engines[1]).size());
    for (int i = 0; i < 12; ++i)
        CHECK(isWholeStream(ask(port, question("new " + std::to_string(i), 2))));
    CHECK(before == std::pair(deployment.logOf(*engines[0]).size(), deployment.logOf(*engines[1]).size()));
    for (auto& caller : callers)
        CHECK(caller->gotWholeAnswer());
}

// P1, P4: guards against a stream that is lost or dispatched again when its connection goes silent for good.
TEST(Serving, AStreamOnASilentConnectionIsResumedWithoutASecondDispatch)
{
    auto& engine = deployment.addEngine("drafts-1", "drafts", { "--decode-rate", "30" });
    deployment.writeTable();
    auto port = startReadyNode("n1", shortTimeouts);
    HttpClient client(port);
    client.send("POST", "/v1/chat/completions", callerHeaders(), question("long", 90));
    CHECK(client.readUntil("\"completion_tokens\":3}"));
    deployment.putFaults(engine, { { "silenceConnections", true } });
    auto response = client.finish();
    CHECK(isWholeStream(response));
    STRCMP_EQUAL(expectedText("long", 90).c_str(), streamedText(response).c_str());
    CHECK_EQUAL(1U, deployment.logOf(engine).size());
}

// Guards against requests that hang on a target that is silent on all connections, and against one that is never used again.
TEST(Serving, ASilentTargetIsEjectedAndProbedBack)
{
    auto& engine = deployment.addEngine("drafts-1", "drafts", { "--decode-rate", "30" });
    deployment.writeTable();
    auto port = startReadyNode("n1", shortTimeouts);
    HttpClient client(port);
    client.send("POST", "/v1/chat/completions", callerHeaders(), question("long", 90));
    CHECK(client.readUntil("\"completion_tokens\":3}"));
    engine.send(SIGSTOP);
    auto response = client.finish();
    CHECK(response.body.find("event: error") != std::string::npos);
    CHECK(response.body.find("[DONE]") == std::string::npos);
    CHECK(response.body.find("\"disposition\":\"unknown\"") != std::string::npos);
    CHECK(waitFor([&] {
        auto health = deployment.targetStatus(port, "drafts-1").value("health", "");
        return health == "ejected" || health == "probing";
    }));
    engine.send(SIGCONT);
    CHECK(waitFor([&] { return isWholeStream(ask(port, question("again", 3))); }));
    // Each request that ends well is one probe.
    CHECK(waitFor([&] {
        return isWholeStream(ask(port, question("probe", 3))) && deployment.targetStatus(port, "drafts-1").value("health", "") == "healthy";
    }));
}

// P4, P6: guards against a second run, or a lost answer, for a caller that asks again at another node.
TEST(Serving, ACallerThatAsksAgainAtTheOtherNodeGetsTheFirstRunsAnswer)
{
    auto& service = deployment.addService("register-1", "register");
    auto& engine = deployment.addEngine("drafts-1", "drafts", { "--decode-rate", "30" });
    deployment.writeTable();
    deployment.reservePeers({ "n1", "n2" });
    auto first = startReadyNode("n1");
    auto second = startReadyNode("n2");
    // Longer than the owner waits before it sends an empty piece.
    deployment.putFaults(service, { { "delayMs", 2500 } });
    auto ticket = mintTicket(first);
    const std::string path = "/v1/services/register/certificates";
    {
        HttpClient lost(first);
        lost.send("POST", path, callerHeaders(ticket), "{\"paint\":\"A1\"}");
        CHECK(waitFor([&] { return deployment.runsOf(service, ticket) == 1; }));
    }
    auto again = fetch(second, "POST", path, callerHeaders(ticket), "{\"paint\":\"A1\"}");
    CHECK_EQUAL(201, again.status);
    STRCMP_EQUAL(ticket.c_str(), again.json().value("request", "").c_str());
    CHECK_EQUAL(1U, deployment.runsOf(service, ticket));

    auto streamTicket = mintTicket(first);
    {
        HttpClient lost(first);
        lost.send("POST", "/v1/chat/completions", callerHeaders(streamTicket), question("letter", 60));
        CHECK(lost.readUntil("\"completion_tokens\":3}"));
    }
    auto stream = ask(second, question("letter", 60), streamTicket);
    CHECK(isWholeStream(stream));
    STRCMP_EQUAL(expectedText("letter", 60).c_str(), streamedText(stream).c_str());
    CHECK_EQUAL(1U, deployment.runsOf(engine, streamTicket));
    STRCMP_EQUAL("ticket_mismatch", ask(second, question("other", 60), streamTicket).errorField("type").c_str());
}

// P9: guards against an outage of the platform that stops serving, keeps a new node without a table, or loses the next change.
TEST(Serving, NodesServeThroughAnOutageOfThePlatform)
{
    deployment.addEngine("drafts-1", "drafts");
    auto revision = deployment.writeTable();
    deployment.reservePeers({ "n1", "n2" });
    auto first = startReadyNode("n1");
    deployment.putFaults(deployment.platform(), { { "outage", "refusing" } });
    auto second = startReadyNode("n2");
    STRCMP_EQUAL(std::to_string(revision).c_str(), deployment.metric(second, "guavapond_table_revision").c_str());
    CHECK(isWholeStream(ask(first, question("one", 5))));
    CHECK(isWholeStream(ask(second, question("two", 5))));
    deployment.putFaults(deployment.platform(), { { "outage", false } });
    deployment.table.workspaces.push_back({ "late", "", {} });
    auto next = std::to_string(deployment.writeTable());
    CHECK(next != "0");
    for (auto port : { first, second })
        CHECK(waitFor([&] { return deployment.metric(port, "guavapond_table_revision") == next; }));
}

namespace {

// Ends TLS in front of a stand-in, one connection at a time in each direction.
class TlsFront {
public:
    TlsFront(const std::string& certificate, const std::string& key, uint16_t behind)
        : backend(boost::asio::ip::address_v4::loopback(), behind)
    {
        this->tls.use_certificate_chain_file(certificate);
        this->tls.use_private_key_file(key, boost::asio::ssl::context::pem);
        this->acceptLoop = std::thread([this] { this->accept(); });
    }
    ~TlsFront()
    {
        this->stopping = true;
        Socket wake(this->context);
        boost::system::error_code ec;
        wake.connect(this->acceptor.local_endpoint(), ec);
        this->acceptLoop.join();
        for (auto& socket : this->open)
            ::shutdown(socket, SHUT_RDWR);
        for (auto& relay : this->relays)
            relay.join();
        for (auto& socket : this->open)
            ::close(socket);
    }
    uint16_t port() const { return this->acceptor.local_endpoint().port(); }
    size_t handshakes() const { return this->completed; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept()
    {
        while (true) {
            Socket socket(this->context);
            this->acceptor.accept(socket);
            if (this->stopping)
                return;
            this->open.push_back(::dup(socket.native_handle()));
            this->relays.emplace_back([this, held = std::make_shared<Socket>(std::move(socket))] { this->serve(std::move(*held)); });
        }
    }

    // One request and its answer: the requests that the node sends end before their answers begin.
    void serve(Socket socket)
    {
        try {
            boost::asio::ssl::stream<Socket> caller(std::move(socket), this->tls);
            caller.handshake(boost::asio::ssl::stream_base::server);
            ++this->completed;
            Socket target(this->context);
            target.connect(this->backend);
            std::thread answers([&] { copy(target, caller); });
            copy(caller, target);
            boost::system::error_code ec;
            target.shutdown(Socket::shutdown_both, ec);
            answers.join();
        } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): a failed handshake ends this connection only
        }
    }

    template <typename From, typename To> static void copy(From& from, To& to)
    {
        std::array<char, 16384> block {};
        boost::system::error_code ec;
        while (true) {
            auto count = from.read_some(boost::asio::buffer(block), ec);
            if (ec || boost::asio::write(to, boost::asio::buffer(block.data(), count), ec) == 0)
                return;
        }
    }

    boost::asio::io_context context;
    boost::asio::ssl::context tls { boost::asio::ssl::context::tls_server };
    boost::asio::ip::tcp::endpoint backend;
    boost::asio::ip::tcp::acceptor acceptor { this->context, { boost::asio::ip::address_v4::loopback(), 0 } };
    std::atomic<bool> stopping { false };
    std::atomic<size_t> completed { 0 };
    std::vector<int> open;
    std::vector<std::thread> relays;
    std::thread acceptLoop;
};

} // namespace

// Guards against a certificate that is not used or not checked, on the way in and on the way out.
TEST(Serving, TlsTowardsCallersAndTargets)
{
    auto certificate = deployment.directory + "/cert.pem";
    auto key = deployment.directory + "/key.pem";
    Process openssl(deployment.directory, "openssl", "/usr/bin/openssl",
        { "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2", "-subj", "/CN=127.0.0.1", "-addext", "subjectAltName=IP:127.0.0.1",
            "-keyout", key, "-out", certificate });
    CHECK_EQUAL(0, openssl.waitForExit().value_or(-1));
    auto& engine = deployment.addEngine("drafts-1", "drafts");
    TlsFront front(certificate, key, deployment.portOf(engine));
    deployment.table.targets[0].address = "https://127.0.0.1:" + std::to_string(front.port());
    deployment.writeTable();
    auto port = deployment.portOf(deployment.startNode(
        "n1", "[targets]\ncaFile = \"" + certificate + "\"\n", "tlsCert = \"" + certificate + "\"\ntlsKey = \"" + key + "\"\n"));
    const HttpClient::Options trusting { certificate, 0 };
    CHECK(waitFor([&] { return fetch(port, "GET", "/readyz", {}, {}, trusting).status == 200; }));
    auto response = ask(port, question("over TLS", 20), {}, trusting);
    CHECK(isWholeStream(response));
    STRCMP_EQUAL(expectedText("over TLS", 20).c_str(), streamedText(response).c_str());
    CHECK(front.handshakes() > 0);
    CHECK_EQUAL(0, fetch(port, "GET", "/healthz").status);

    // A node that does not trust the target's certificate must not send it a request.
    auto wary = startReadyNode("n2");
    auto sent = deployment.logOf(engine).size();
    CHECK(ask(wary, question("not trusted", 5)).status >= 500);
    CHECK_EQUAL(sent, deployment.logOf(engine).size());
}

// Guards against a node that starts with settings that it does not understand, or that reports one fault at a time.
TEST(Serving, WrongSettingsAreAllReported)
{
    auto file = deployment.directory + "/bad.toml";
    std::ofstream(file) << "[node]\nname = \"n 1\"\nfailureDomain = \"lalitpur\"\n[callers]\nport = 70000\n[platform]\n"
                           "urls = [\"http://127.0.0.1:1\"]\n[limits]\nmaxHedders = 3\n";
    Process node(deployment.directory, "bad", std::string(GUAVAPOND_PROGRAMS) + "/guavapondd", { "--settings", file });
    CHECK_EQUAL(2, node.waitForExit().value_or(-1));
    auto errors = node.errors();
    for (const char* expected : { ":2: node.name", ":5: callers.port", "0 to 65535", ":9: limits.maxHedders", "limits.maxHeaders" })
        CHECK_TEXT(errors.find(expected) != std::string::npos, (std::string(expected) + " in " + errors).c_str());
    CHECK(errors.find(file) != std::string::npos);
    STRCMP_EQUAL("", node.output().c_str());
}

// Guards against metrics that are missing or do not count, bodies in the log, and changes missing from the audit trail.
TEST(Serving, MetricsLogAndAuditTrailShowWhatHappened)
{
    auto& engine = deployment.addEngine("drafts-1", "drafts", { "--decode-rate", "200" });
    auto revision = deployment.writeTable();
    auto port = startReadyNode("n1");
    for (int i = 0; i < 3; ++i)
        CHECK(isWholeStream(ask(port, question("confidential-" + std::to_string(i), 10))));
    ask(port, question("confidential", 10, true, "no-such-model"));
    CHECK(waitFor([&] { return deployment.metric(port, "guavapond_goodput_total{tier=\"standard\"}") == "3"; }));
    auto value = [&](const std::string& name) {
        auto text = deployment.metric(port, name);
        CHECK_TEXT(!text.empty(), (name + " is missing").c_str());
        return std::atof(text.c_str());
    };
    const std::string tier = "{tier=\"standard\"}";
    CHECK_EQUAL(3, value("guavapond_queue_seconds_count" + tier));
    CHECK_EQUAL(3, value("guavapond_time_to_first_token_seconds_count" + tier));
    size_t tokens = 0;
    size_t prefill = 0;
    for (const auto& entry : deployment.logOf(engine)) {
        tokens += entry.value("tokens", size_t { 0 });
        prefill += entry.value("prefillTokens", size_t { 0 });
    }
    CHECK_EQUAL(static_cast<double>(tokens - 3), value("guavapond_time_between_tokens_seconds_count"));
    CHECK(value("guavapond_time_between_tokens_seconds_sum") > 0);
    auto sent = value("guavapond_prefill_tokens_total" + tier);
    CHECK(sent > 0 && sent < 10 * static_cast<double>(prefill));
    CHECK_EQUAL(0, value("guavapond_prefill_tokens_wasted_total" + tier));
    CHECK_EQUAL(0, value("guavapond_shed_total{reason=\"shed\",tier=\"standard\"}"));
    CHECK_EQUAL(0, value("guavapond_running{target=\"drafts-1\"}"));
    CHECK_EQUAL(0, value("guavapond_queued{tier=\"urgent\"}"));
    CHECK_EQUAL(static_cast<double>(revision), value("guavapond_table_revision"));

    auto log = readLines(deployment.directory + "/n1.log");
    CHECK(log.find("confidential") == std::string::npos);
    size_t ended = 0;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        auto entry = json::parse(line, nullptr, false);
        CHECK_TEXT(entry.is_object(), line.c_str());
        ended += line.find("request ended") != std::string::npos ? 1 : 0;
    }
    CHECK_EQUAL(3U, ended);
    auto audit = readLines(deployment.directory + "/n1.audit");
    auto change = json::parse(audit.substr(0, audit.find('\n')), nullptr, false);
    CHECK(change.is_object());
    STRCMP_EQUAL("system-test", change.value("who", "").c_str());
    CHECK_EQUAL(revision, change.value("revision", uint64_t { 0 }));
}
