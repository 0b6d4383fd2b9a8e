// Fakes for the ports of the request path, all driven by the test: nothing runs on its own and time is set by hand.
#pragma once

#include "node/RequestPath.h"

#include <CppUTest/TestHarness.h>
#include <deque>

namespace guavapond {

class FakeReply final : public HttpReply {
public:
    void send(int s, std::span<const HttpHeader> h, std::string b) override
    {
        this->start(s, h);
        this->body = std::move(b);
        this->finished = true;
    }
    void start(int s, std::span<const HttpHeader> h) override
    {
        CHECK(this->status == 0);
        this->status = s;
        this->headers.assign(h.begin(), h.end());
    }
    void write(std::string_view data) override
    {
        CHECK(!this->finished);
        this->body += data;
    }
    void finish() override
    {
        CHECK(!this->finished);
        this->finished = true;
    }
    void abort() override { this->aborted = true; }
    bool isGone() const override { return this->gone; }
    void onGone(std::function<void()> callback) override { this->goneCallback = std::move(callback); }

    void leave()
    {
        this->gone = true;
        if (this->goneCallback)
            this->goneCallback();
    }
    std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (key == name)
                return value;
        }
        return {};
    }
    nlohmann::json json() const { return nlohmann::json::parse(this->body, nullptr, false); }
    std::string errorType() const { return this->json()["error"]["type"].get<std::string>(); }
    std::string disposition() const { return this->json()["error"]["disposition"].get<std::string>(); }

    int status = 0;
    std::vector<HttpHeader> headers;
    std::string body;
    bool finished = false;
    bool aborted = false;
    bool gone = false;
    std::function<void()> goneCallback;
};

struct EngineCall {
    EngineRequest request;
    std::function<void(EngineEvent)> events;
    bool cancelled = false;

    void token(uint64_t offset, const std::string& text, const std::string& streamId = {})
    {
        nlohmann::json data { { "id", "x" }, { "choices", { { { "index", 0 }, { "delta", { { "content", text } } } } } } };
        EngineEvent event;
        event.data = data.dump();
        event.offset = offset;
        event.streamId = streamId.empty() ? this->request.requestId : streamId;
        this->events(event);
    }
    void done()
    {
        EngineEvent event;
        event.kind = EngineEvent::Kind::Terminator;
        this->events(event);
    }
    void fail(FailureKind kind, Disposition disposition, bool sent)
    {
        EngineEvent event;
        event.kind = EngineEvent::Kind::Failed;
        event.failure = Failure { kind, disposition, "test", {} };
        event.sent = sent;
        this->events(event);
    }
};

// One node with two engines of one model and one plain service.
struct PathHarness {
    explicit PathHarness(const DecisionSettings& settings = {})
        : table(std::make_shared<TableIndex>(makeTable(), 1))
        , decisions({ "n1", 7 }, "lalitpur", settings, [this](uint64_t bound) { return this->random++ % bound; })
    {
        this->table.read([this](const TableIndex& rows) { this->decisions.applyTable(rows, this->now); });
        this->path = std::make_unique<RequestPath>(RequestPathSettings {}, this->makePorts(), this->table, this->decisions);
    }

    // Requests that a test leaves open hold their replies and calls, which hold them.
    ~PathHarness()
    {
        for (const auto& call : this->engineCalls)
            call->events = nullptr;
        for (const auto& reply : this->replies)
            reply->goneCallback = nullptr;
    }
    PathHarness(const PathHarness&) = delete;
    PathHarness& operator=(const PathHarness&) = delete;

    static Table makeTable()
    {
        Table t;
        t.workspaces.push_back({ "labs", "", {} });
        t.workspaces.push_back({ "secret", "s3cret", {} });
        t.targets.push_back({ "e1", RequestKind::Engine, "http://10.0.0.1:1", "lalitpur", "drafts", "v1" });
        t.targets.push_back({ "e2", RequestKind::Engine, "http://10.0.0.2:1", "lalitpur", "drafts", "v1" });
        t.targets.push_back({ "r1", RequestKind::Service, "http://10.0.0.3:1", "lalitpur", "register", "v1" });
        return t;
    }

    RequestPathPorts makePorts()
    {
        RequestPathPorts ports;
        ports.clock = [this] { return this->now; };
        ports.background = [this](std::function<void()> task) { this->tasks.push_back(std::move(task)); };
        ports.peerAddress = [](std::string_view node) { return node == "n2" ? std::optional<std::string>("10.0.1.2:9") : std::nullopt; };
        ports.engine.generate = [this](EngineRequest request, std::function<void(EngineEvent)> events) -> Cancellation {
            auto call = std::make_shared<EngineCall>(EngineCall { std::move(request), std::move(events) });
            this->engineCalls.push_back(call);
            return [call] { call->cancelled = true; };
        };
        ports.engine.streamIdOf = [](std::string_view requestId) { return std::string(requestId); };
        ports.engine.cancel = [this](std::string_view, std::string_view requestId) { this->cancelled.emplace_back(requestId); };
        ports.engine.health = [this](std::string_view) -> Result<bool> { return this->healthy; };
        ports.service.call = [this](ServiceRequest request, std::function<void(ServiceAnswer)> answer) -> Cancellation {
            this->serviceCalls.emplace_back(std::move(request), std::move(answer));
            this->serviceCalled = true;
            return [] {};
        };
        ports.peer.forward = [this](std::string_view, const ForwardedRequest& request,
                                 const std::function<bool(const ForwardedChunk&)>& onChunk) -> std::optional<Failure> {
            this->forwarded.push_back(request);
            if (this->peerFailure)
                return this->peerFailure;
            for (const auto& chunk : this->peerChunks)
                onChunk(chunk);
            return std::nullopt;
        };
        ports.askWitness = [this] { ++this->witnessAsked; };
        ports.resolve = [this](const Ticket&) { return this->resolution; };
        ports.observer.ended = [this](const RequestSummary& summary) { this->inTime.push_back(summary.inTime); };
        return ports;
    }

    static HttpRequest chat(bool stream = true, const std::string& text = "Which paint holds two hours?")
    {
        nlohmann::json body { { "model", "drafts" }, { "stream", stream },
            { "messages", { { { "role", "user" }, { "content", text } } } } };
        return { "POST", "/v1/chat/completions", { { "Guavapond-Workspace", "labs" }, { "Guavapond-Tier", "urgent" } }, body.dump(), "" };
    }
    static HttpRequest certificate(const std::string& ticket, const std::string& body = "{\"paint\":\"A1\"}")
    {
        HttpRequest request { "POST", "/v1/services/register/certificates", { { "Guavapond-Workspace", "labs" } }, body, "" };
        if (!ticket.empty())
            request.headers.emplace_back("Guavapond-Ticket", ticket);
        return request;
    }

    std::shared_ptr<FakeReply> serve(const HttpRequest& request)
    {
        auto reply = std::make_shared<FakeReply>();
        this->replies.push_back(reply);
        this->path->serve(request, reply);
        return reply;
    }
    std::string mint()
    {
        auto reply = std::make_shared<FakeReply>();
        this->path->mintTicket(chat(), reply);
        return reply->json()["ticket"].get<std::string>();
    }
    void runTasks()
    {
        while (!this->tasks.empty()) {
            auto task = std::move(this->tasks.front());
            this->tasks.pop_front();
            task();
        }
    }
    void pass(Duration time)
    {
        this->now += time;
        this->path->poke();
    }
    // Plays a witness that answers at once, and the platform with the node's record.
    void activateOwner()
    {
        auto& owner = this->decisions.owner;
        owner.replaceWitness({ "n2", 9 }, this->decisions.ledger.nextSequence(), {}, this->now);
        for (int i = 0; i < 4 && owner.state() != OwnerState::Active; ++i) {
            auto output = owner.advance(this->now);
            for (const auto& message : output.messages)
                owner.onMessage({ WitnessMessage::Kind::Installed, message.witness, message.owner, message.epoch, 1, {} }, this->now);
            if (output.access && output.access->write) {
                this->record = { recordText(output.access->record), this->record.revision + 1 };
                owner.onRecordWritten(this->record.revision, this->now);
            } else if (output.access) {
                owner.onRecordRead(this->record, this->now);
            }
        }
        CHECK(owner.state() == OwnerState::Active);
    }
    void answerGrants()
    {
        auto& owner = this->decisions.owner;
        for (const auto& message : owner.advance(this->now).messages)
            owner.onMessage(
                { WitnessMessage::Kind::Granted, message.witness, message.owner, message.epoch, message.token, message.sequences },
                this->now);
        this->path->grantsChanged();
    }
    // The next witness has not answered yet.
    void loseWitness()
    {
        this->decisions.owner.replaceWitness(
            { "n3", 1 }, this->decisions.ledger.nextSequence(), this->decisions.ledger.queuedWitnessed(), this->now);
    }
    void fillTargets()
    {
        size_t before = 0;
        do {
            before = this->engineCalls.size();
            this->serve(chat(true, "filler " + std::to_string(before)));
        } while (this->engineCalls.size() > before);
    }
    std::string stateOf(const std::string& ticket)
    {
        return nlohmann::json::parse(this->path->outcomeJson(ticket))["state"].get<std::string>();
    }

    TimePoint now { std::chrono::hours(1) };
    uint64_t random = 0;
    bool healthy = true;
    std::optional<Failure> peerFailure;
    std::vector<ForwardedChunk> peerChunks { { 200, { { "Content-Type", "application/json" } }, "{}", true } };
    std::deque<std::function<void()>> tasks;
    std::vector<std::shared_ptr<FakeReply>> replies;
    std::vector<std::shared_ptr<EngineCall>> engineCalls;
    std::vector<std::pair<ServiceRequest, std::function<void(ServiceAnswer)>>> serviceCalls;
    std::atomic<bool> serviceCalled { false };
    std::vector<ForwardedRequest> forwarded;
    std::vector<std::string> cancelled; // at an engine, by request id
    int witnessAsked = 0;
    KeyValuePair record; // as written by the owner; revision 0: absent
    Failure resolution { FailureKind::OutcomeUnknown, Disposition::Unknown, "gone", {} };
    std::vector<bool> inTime;
    Snapshot<TableIndex> table;
    Decisions decisions;
    std::unique_ptr<RequestPath> path;
};

} // namespace guavapond
