// The path of a request.
#include "node/RequestPath.h"

#include "node/Replies.h"

#include <algorithm>
#include <cassert>

namespace guavapond {

using Json = nlohmann::json;

namespace {

constexpr std::string_view eventStreamType = "text/event-stream";
constexpr Duration callbackTimerSlack = std::chrono::milliseconds(50);

Failure notRun(FailureKind kind, std::string message, Duration retryAfter = {})
{
    return { kind, Disposition::NotRun, std::move(message), retryAfter };
}

CallerInput inputOf(const HttpRequest& request)
{
    return { request.method, request.target, request.body, [&request](std::string_view name) { return request.header(name); } };
}

} // namespace

RequestPath::RequestPath(const RequestPathSettings& s, RequestPathPorts p, const Snapshot<TableIndex>& t, Decisions& d)
    : settings(s)
    , ports(std::move(p))
    , table(t)
    , decisions(d)
    , forwarding(s.maxForwards,
          { this->ports.peer, this->ports.background, this->ports.peerAddress, this->ports.resolve,
              [this](const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) { this->serve(request, reply); } })
{
}

// ---- Callers

void RequestPath::serve(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    auto now = this->ports.clock();
    auto input = inputOf(request);
    auto parsed = this->table.read([&](const TableIndex& rows) { return parseCallerRequest(input, rows, this->settings.callers, now); });
    if (!parsed) {
        if (this->ports.observer.refusedOnEntry)
            this->ports.observer.refusedOnEntry(*parsed.reason);
        return sendFailure(*reply, *parsed.reason, {});
    }
    if (parsed->ticket.empty()) {
        if (!parsed->spec.idempotent) {
            return sendFailure(*reply,
                notRun(FailureKind::TicketRequired,
                    "a call that is not idempotent needs a ticket: POST /v1/tickets, then send it as " + std::string(ticketHeader)),
                {});
        }
        return this->admit(std::move(*parsed), std::nullopt, reply, now);
    }
    auto ticket = parseTicket(parsed->ticket);
    if (!ticket)
        return sendFailure(*reply, *ticket.reason, {});
    if (ticket->owner.node != this->decisions.ledger.identity().node) {
        if (Forwarding::isForwarded(request))
            return sendFailure(
                *reply, { FailureKind::OutcomeUnknown, Disposition::Unknown, "this node does not own the ticket", {} }, parsed->ticket);
        return this->forwarding.send(request, *ticket, reply);
    }
    this->admit(std::move(*parsed), *ticket, reply, now);
}

void RequestPath::mintTicket(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    auto now = this->ports.clock();
    auto input = inputOf(request);
    auto workspace = this->table.read([&](const TableIndex& rows) { return authorize(input, rows); });
    if (!workspace)
        return sendFailure(*reply, *workspace.reason, {});
    if (this->stopping)
        return sendFailure(*reply, notRun(FailureKind::Stopping, "the node is shutting down", this->settings.stoppingRetryAfter), {});
    std::string text;
    {
        std::lock_guard lock(this->decisions.mutex);
        text = ticketText(this->decisions.ledger.mint(this->decisions.owner.mintsWitnessed(), now));
    }
    reply->send(201, answerHeaders(text, jsonType), Json { { "ticket", text } }.dump());
}

void RequestPath::outcome(std::string_view text, const std::shared_ptr<HttpReply>& reply)
{
    auto ticket = parseTicket(text);
    if (!ticket)
        return sendFailure(*reply, *ticket.reason, {});
    auto send = [reply](const std::string& json) { reply->send(200, answerHeaders({}, jsonType), json); };
    if (ticket->owner.node == this->decisions.ledger.identity().node)
        return send(this->outcomeJson(text));
    auto address = this->ports.peerAddress(ticket->owner.node);
    if (!address)
        return sendFailure(*reply, { FailureKind::NotFound, Disposition::Unknown, "the ticket names an unknown node", {} }, text);
    this->ports.background([this, reply, send, address = *address, held = std::string(text)] {
        auto json = this->ports.peer.outcome(address, held);
        if (!json)
            return sendFailure(*reply, *json.reason, held);
        send(*json);
    });
}

std::string RequestPath::outcomeJson(std::string_view text)
{
    auto ticket = parseTicket(text);
    if (!ticket)
        return errorBody(*ticket.reason, {});
    Outcome outcome;
    {
        std::lock_guard lock(this->decisions.mutex);
        outcome = this->decisions.ledger.outcome(*ticket, this->ports.clock());
    }
    Json json { { "ticket", text }, { "state", outcome.state ? std::string(ticketStateName(*outcome.state)) : "unknown" },
        { "answerKept", outcome.answer != nullptr } };
    if (outcome.place == Outcome::Place::NeverMinted)
        json["state"] = "never_minted";
    if (outcome.disposition)
        json["disposition"] = dispositionName(*outcome.disposition);
    if (outcome.answer)
        json["status"] = outcome.answer->status;
    if (outcome.failure) {
        json["reason"] = failureKindName(outcome.failure->kind);
        json["message"] = outcome.failure->message;
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// ---- Admission

void RequestPath::admit(CallerRequest request, const std::optional<Ticket>& given, const std::shared_ptr<HttpReply>& reply, TimePoint now)
{
    auto workspaceName = this->table.read([&](const TableIndex& rows) {
        const auto* row = rows.row(request.spec.workspace);
        return row ? row->name : std::string();
    });
    std::vector<Step> steps;
    FlightPtr running;
    Claim claim;
    std::optional<Failure> refused;
    std::string text;
    {
        std::lock_guard lock(this->decisions.mutex);
        auto& ledger = this->decisions.ledger;
        // A ticket minted here is known to its caller only after the dispatch, when a witness could prove nothing.
        auto ticket = given ? *given : ledger.mint(false, now);
        text = ticketText(ticket);
        claim = ledger.claim(ticket, request.digest, now);
        if (claim.kind == Claim::Kind::Attach) {
            auto found = this->flightsByTicket.find(text);
            running = found == this->flightsByTicket.end() ? nullptr : found->second;
        }
        if (claim.kind == Claim::Kind::Run) {
            request.spec.id = static_cast<RequestId>(this->nextRequest++);
            auto flight = std::make_shared<Flight>(request, ticket, given.has_value(), this->settings.maxAnswerBytes);
            flight->workspace = workspaceName;
            flight->listeners.push_back({ reply });
            if (this->stopping)
                refused = notRun(FailureKind::Stopping, "the node is shutting down", this->settings.stoppingRetryAfter);
            else
                refused = this->enqueue(flight, now);
            if (refused) {
                this->spreadReturn(*refused, now);
                ledger.giveUp(ticket, *refused, now);
            } else {
                this->flights[request.spec.id] = flight;
                this->flightsByTicket[text] = flight;
                running = flight;
            }
            // A refused submit may still have displaced work of lower tiers.
            steps = this->takeSteps(now);
        }
    }
    this->carryOut(steps, now);
    if (given && given->witnessed && this->ports.askWitness)
        this->ports.askWitness();
    if (refused) {
        if (this->ports.observer.refusedOnEntry)
            this->ports.observer.refusedOnEntry(*refused);
        return sendFailure(*reply, *refused, text);
    }
    if (claim.kind == Claim::Kind::Gone)
        return this->forwarding.resolveLost(*given, reply);
    if (claim.kind != Claim::Kind::Run)
        return this->answerClaim(claim, request, text, running, reply);
    reply->onGone([this, running, raw = reply.get()] { this->onCallerGone(running, raw); });
}

// A witnessed ticket is dispatched only on a grant; it enters the queue when the grant is there.
std::optional<Failure> RequestPath::enqueue(const FlightPtr& flight, TimePoint now)
{
    if (flight->ticket.witnessed && !this->decisions.owner.mayDispatch(flight->ticket.sequence))
        return this->waitForGrant(flight, now);
    return this->decisions.scheduler.submit(flight->request.spec, now);
}

std::optional<Failure> RequestPath::waitForGrant(const FlightPtr& flight, TimePoint now)
{
    bool asked = this->decisions.owner.ask(flight->ticket.sequence);
    if (!asked && this->decisions.owner.mintsWitnessed())
        return notRun(FailureKind::QueueFull, "too many requests wait for the witness", callerRetryAfter);
    // Without a witness the request waits for the next one; grantsChanged() asks again.
    if (!asked && !this->ungrantedSince)
        this->ungrantedSince = now;
    this->awaitingGrant[flight->ticket.sequence] = flight;
    return std::nullopt;
}

void RequestPath::grantsChanged()
{
    auto now = this->ports.clock();
    std::vector<Step> steps;
    std::vector<std::pair<FlightPtr, Failure>> refused;
    std::vector<FlightPtr> overdue;
    {
        std::lock_guard lock(this->decisions.mutex);
        bool active = this->decisions.owner.mintsWitnessed();
        bool tooLong = !active && this->ungrantedSince && now - *this->ungrantedSince >= this->settings.grantTime;
        if (active || this->awaitingGrant.empty())
            this->ungrantedSince.reset();
        else if (!this->ungrantedSince)
            this->ungrantedSince = now;
        for (auto entry = this->awaitingGrant.begin(); entry != this->awaitingGrant.end();) {
            auto flight = entry->second;
            if (tooLong || now >= flight->request.spec.deadline) {
                overdue.push_back(flight);
            } else if (this->decisions.owner.mayDispatch(entry->first)) {
                if (auto failure = this->decisions.scheduler.submit(flight->request.spec, now))
                    refused.emplace_back(flight, *failure);
            } else {
                this->decisions.owner.ask(entry->first);
                ++entry;
                continue;
            }
            entry = this->awaitingGrant.erase(entry);
        }
        steps = this->takeSteps(now);
    }
    for (const auto& [flight, failure] : refused)
        this->fail(flight, failure, RunOutcome::Cancelled, now);
    this->giveUpWaiting(overdue, now);
    this->carryOut(steps, now);
}

// Never dispatched, so this node may say so by itself.
void RequestPath::giveUpWaiting(const std::vector<FlightPtr>& waiting, TimePoint now)
{
    for (const auto& flight : waiting) {
        bool late = now >= flight->request.spec.deadline;
        auto failure = late
            ? notRun(FailureKind::DeadlineExceeded, "the deadline passed before the dispatch")
            : notRun(FailureKind::PlatformUnavailable, "no witness: ask for a new ticket", this->settings.stoppingRetryAfter);
        this->fail(flight, failure, RunOutcome::Cancelled, now);
    }
}

void RequestPath::answerClaim(const Claim& claim, const CallerRequest& request, const std::string& text, const FlightPtr& running,
    const std::shared_ptr<HttpReply>& reply)
{
    if (claim.kind == Claim::Kind::Attach) {
        if (running)
            return this->attach(running, reply);
        return sendFailure(*reply, { FailureKind::Conflict, Disposition::Unknown, "the request is about to end", callerRetryAfter }, text);
    }
    if (claim.kind == Claim::Kind::Answer) {
        auto headers = answerHeaders(text, claim.answer->contentType);
        return reply->send(claim.answer->status, headers, claim.answer->body);
    }
    auto failure = claim.failure.value_or(
        Failure { FailureKind::OutcomeUnknown, Disposition::Unknown, "what became of " + request.model + " is not known", {} });
    sendFailure(*reply, failure, text);
}

void RequestPath::attach(const FlightPtr& flight, const std::shared_ptr<HttpReply>& reply)
{
    std::optional<FinalResult> ended;
    {
        std::lock_guard lock(flight->mutex);
        bool canWait = flight->request.spec.kind == RequestKind::Service || flight->assembler.has_value();
        if (!canWait && !flight->result) {
            Failure failure { FailureKind::Conflict, Disposition::Unknown,
                "the request runs for another connection and its answer is not kept", callerRetryAfter };
            return sendFailure(*reply, failure, flight->ticketText);
        }
        if (flight->result)
            ended = flight->result;
        else
            flight->listeners.push_back({ reply, false });
    }
    if (ended) {
        Listener listener { reply, false };
        return this->deliver(*flight, listener, *ended);
    }
    reply->onGone([this, flight, raw = reply.get()] { this->onCallerGone(flight, raw); });
}

// ---- Carrying out decisions

std::vector<RequestPath::Step> RequestPath::takeSteps(TimePoint now)
{
    std::vector<Step> steps;
    for (auto& action : this->decisions.scheduler.advance(now)) {
        auto found = this->flights.find(action.request);
        if (found == this->flights.end())
            continue;
        auto flight = found->second;
        if (action.kind == Action::Kind::Dispatch) {
            // A grant of an epoch that has ended since is void: the request waits for the next one.
            if (flight->ticket.witnessed && !this->decisions.owner.useGrant(flight->ticket.sequence)) {
                this->decisions.scheduler.onFinished(action.request, RunOutcome::Cancelled, now);
                // It may not be able to wait, and the scheduler does not know it any more.
                if (auto refused = this->waitForGrant(flight, now))
                    steps.push_back({ { Action::Kind::Refuse, action.request, {}, refused }, std::move(flight) });
                continue;
            }
            // The ledger is the only path to a dispatch.
            if (!this->decisions.ledger.startDispatch(flight->ticket, now)) {
                // The ledger has dropped the ticket, so nothing can be said of it any more.
                this->decisions.scheduler.onFinished(action.request, RunOutcome::Cancelled, now);
                action.kind = Action::Kind::Refuse;
                action.failure = Failure { FailureKind::OutcomeUnknown, Disposition::Unknown, "the ticket is no longer known", {} };
                steps.push_back({ std::move(action), std::move(flight) });
                continue;
            }
            flight->target = this->table.read([&](const TableIndex& rows) {
                const auto* row = rows.row(action.target);
                return row ? *row : TargetRow {};
            });
        }
        steps.push_back({ std::move(action), std::move(flight) });
    }
    auto wake = this->decisions.scheduler.nextWake(now);
    auto change = this->decisions.targets.nextChange();
    if (change && (!wake || *change < *wake))
        wake = change;
    if (wake) {
        std::lock_guard lock(this->timerMutex);
        if (!this->wakeAt || *wake < *this->wakeAt) {
            this->wakeAt = wake;
            this->timerChanged.notify_one();
        }
    }
    return steps;
}

void RequestPath::carryOut(const std::vector<Step>& steps, TimePoint now)
{
    for (const auto& step : steps) {
        switch (step.action.kind) {
        case Action::Kind::Dispatch: {
            std::lock_guard lock(step.flight->mutex);
            step.flight->dispatched = true;
            step.flight->dispatchedAt = now;
            step.flight->cachedTokens = step.action.cachedTokens;
        }
            this->run(step.flight, now);
            break;
        case Action::Kind::Refuse:
            this->fail(step.flight, step.action.failure.value_or(notRun(FailureKind::Shed, "refused")), RunOutcome::Cancelled, now);
            break;
        case Action::Kind::CancelRunning:
            this->fail(step.flight, step.action.failure.value_or(Failure { FailureKind::Shed, Disposition::Unknown, "cancelled", {} }),
                RunOutcome::Cancelled, now);
            break;
        }
    }
}

void RequestPath::run(const FlightPtr& flight, TimePoint now)
{
    {
        std::lock_guard lock(flight->mutex);
        if (flight->result)
            return; // ended between the decision and now
    }
    if (flight->request.spec.kind == RequestKind::Service)
        return this->callService(flight);
    {
        std::lock_guard lock(flight->mutex);
        flight->tracker.emplace(this->ports.engine.streamIdOf(flight->ticketText), flight->target.resumes, this->settings.streams, now);
    }
    this->callEngine(flight, 0, 0);
}

void RequestPath::callEngine(const FlightPtr& flight, uint32_t call, uint64_t resumeOffset)
{
    EngineRequest request;
    request.url = flight->target.address;
    request.path = flight->request.path;
    request.requestId = flight->ticketText;
    request.body = flight->request.body;
    request.resumeOffset = resumeOffset;
    request.firstByteTimeout = this->settings.streams.firstByteTimeout;
    request.betweenTokensTimeout = this->settings.streams.betweenTokensTimeout;
    auto cancel = this->ports.engine.generate(
        std::move(request), [this, flight, call](const EngineEvent& event) { this->onEngineEvent(flight, call, event); });
    bool ended = false;
    {
        std::lock_guard lock(flight->mutex);
        ended = flight->result.has_value();
        bool current = flight->tracker && flight->tracker->call() == call;
        if (!ended && current)
            flight->cancelCall = cancel;
    }
    if (ended)
        cancel();
}

void RequestPath::callService(const FlightPtr& flight)
{
    ServiceRequest request;
    request.url = flight->target.address;
    request.method = flight->request.method;
    request.path = flight->request.path;
    request.requestId = flight->ticketText;
    request.contentType = flight->request.contentType;
    request.body = flight->request.body;
    request.timeout
        = std::chrono::duration_cast<Duration>(std::max(flight->request.spec.deadline - flight->dispatchedAt, callbackTimerSlack));
    auto cancel = this->ports.service.call(
        std::move(request), [this, flight](const ServiceAnswer& answer) { this->onServiceAnswer(flight, answer); });
    std::lock_guard lock(flight->mutex);
    if (!flight->result)
        flight->cancelCall = cancel;
}

// ---- Answers

void RequestPath::onEngineEvent(const FlightPtr& flight, uint32_t call, const EngineEvent& event)
{
    auto now = this->ports.clock();
    StreamStep step;
    uint32_t report = 0;
    bool first = false;
    {
        std::lock_guard lock(flight->mutex);
        if (flight->result || !flight->tracker)
            return;
        auto& tracker = *flight->tracker;
        if (event.kind == EngineEvent::Kind::Tokens)
            step = tracker.onToken(call, event.streamId, event.offset, now);
        else if (event.kind == EngineEvent::Kind::Terminator)
            step = tracker.onTerminator(call, event.streamId, now);
        else
            step = tracker.onFailure(call, event.failure.value_or(Failure {}), event.sent, now);
        if (step.kind == StreamStep::Kind::Forward) {
            first = !flight->firstTokenAt;
            this->passOn(*flight, event, now);
            if (!first && ++flight->unreportedTokens >= this->settings.tokensPerReport)
                report = std::exchange(flight->unreportedTokens, 0);
        } else if (step.kind == StreamStep::Kind::Finish || step.kind == StreamStep::Kind::Cut) {
            report = std::exchange(flight->unreportedTokens, 0);
        }
    }
    if (first || report > 0) {
        std::lock_guard lock(this->decisions.mutex);
        if (first)
            this->decisions.scheduler.onFirstToken(flight->request.spec.id, now);
        if (report > 0)
            this->decisions.scheduler.onTokens(flight->request.spec.id, report, now);
    }
    switch (step.kind) {
    case StreamStep::Kind::Forward:
    case StreamStep::Kind::Drop:
        return;
    case StreamStep::Kind::Resume:
        return this->callEngine(flight, call + 1, step.offset);
    case StreamStep::Kind::Finish:
        return this->finishStream(flight, now);
    case StreamStep::Kind::Cut: {
        auto failure = step.failure.value_or(Failure { FailureKind::StreamCut, Disposition::Unknown, "stream cut", {} });
        bool unsent = event.kind == EngineEvent::Kind::Failed && !event.sent && call == 0;
        if (unsent && this->requeueUnsent(flight, now))
            return;
        auto outcome = failure.disposition == Disposition::Ran ? RunOutcome::FailedByTarget : RunOutcome::ConnectionLost;
        return this->fail(flight, failure, outcome, now);
    }
    }
}

void RequestPath::finishStream(const FlightPtr& flight, TimePoint now)
{
    bool stream = flight->request.stream;
    FinalResult result;
    result.streamIsWhole = stream;
    if (!flight->assembler || !flight->assembler->isWhole()) {
        result.failure
            = Failure { FailureKind::StreamCut, Disposition::Ran, "the answer is whole but too large to keep: ask for a stream", {} };
    } else {
        auto body = stream ? flight->assembler->events() : flight->assembler->answer();
        result.answer
            = std::make_shared<const StoredAnswer>(StoredAnswer { 200, std::string(stream ? eventStreamType : jsonType), std::move(body) });
    }
    this->complete(flight, result, RunOutcome::Completed, now);
}

void RequestPath::passOn(Flight& flight, const EngineEvent& event, TimePoint now)
{
    if (flight.firstTokenAt && this->ports.observer.betweenTokens)
        this->ports.observer.betweenTokens(now - flight.lastTokenAt);
    if (!flight.firstTokenAt)
        flight.firstTokenAt = now;
    flight.lastTokenAt = now;
    if (flight.assembler)
        flight.assembler->add(event.data);
    if (!flight.request.stream)
        return;
    std::string framed;
    framed.reserve(event.data.size() + 8);
    framed.append("data: ").append(event.data).append("\n\n");
    for (auto& listener : flight.listeners) {
        if (!listener.live)
            continue;
        if (!listener.started) {
            auto headers = answerHeaders(flight.ticketText, eventStreamType);
            headers.emplace_back("Cache-Control", "no-cache");
            listener.reply->start(200, headers);
            listener.started = true;
        }
        listener.reply->write(framed);
    }
}

void RequestPath::onServiceAnswer(const FlightPtr& flight, const ServiceAnswer& answer)
{
    auto now = this->ports.clock();
    if (!answer.failure) {
        constexpr int firstServerError = 500;
        auto outcome = answer.status >= firstServerError ? RunOutcome::FailedByTarget : RunOutcome::Completed;
        FinalResult result;
        result.answer = std::make_shared<const StoredAnswer>(StoredAnswer { answer.status, answer.contentType, answer.body });
        return this->complete(flight, result, outcome, now);
    }
    auto failure = *answer.failure;
    if (!answer.sent) {
        failure.disposition = Disposition::NotRun;
        if (this->requeueUnsent(flight, now))
            return;
    }
    this->fail(flight, failure, RunOutcome::ConnectionLost, now);
}

void RequestPath::complete(const FlightPtr& flight, const FinalResult& result, RunOutcome outcome, TimePoint now)
{
    std::vector<Step> steps;
    {
        std::lock_guard lock(this->decisions.mutex);
        if (this->flights.erase(flight->request.spec.id) == 0)
            return; // it has ended another way
        this->flightsByTicket.erase(flight->ticketText);
        this->decisions.ledger.finish(flight->ticket, result.answer ? std::optional(*result.answer) : std::nullopt, now);
        this->decisions.scheduler.onFinished(flight->request.spec.id, outcome, now);
        if (outcome == RunOutcome::Completed)
            this->decisions.retries.onSuccess(now);
        steps = this->takeSteps(now);
    }
    this->settle(*flight, result);
    this->summarize(*flight, result, now);
    this->carryOut(steps, now);
}

void RequestPath::fail(const FlightPtr& flight, const Failure& failure, RunOutcome outcome, TimePoint now)
{
    FinalResult result;
    result.failure = failure;
    std::vector<Step> steps;
    TargetId target {};
    bool wasSent = false;
    {
        std::lock_guard lock(this->decisions.mutex);
        if (this->flights.erase(flight->request.spec.id) == 0)
            return; // it has ended another way
        this->flightsByTicket.erase(flight->ticketText);
        if (flight->ticket.witnessed) {
            this->decisions.owner.withdraw(flight->ticket.sequence);
            this->awaitingGrant.erase(flight->ticket.sequence);
        }
        this->spreadReturn(*result.failure, now);
        // The ledger decides whether "not run" can be said: it can't once the dispatch has started, unless the adapter proved that
        // nothing was sent.
        if (!this->decisions.ledger.giveUp(flight->ticket, failure, now)) {
            wasSent = true;
            bool unsent = failure.disposition == Disposition::NotRun;
            if (unsent && this->decisions.ledger.revertUnsent(flight->ticket))
                this->decisions.ledger.giveUp(flight->ticket, failure, now);
            else
                this->decisions.ledger.lose(flight->ticket, failure, now);
            if (auto ran = this->decisions.targets.targetOf(flight->request.spec.id))
                target = *ran;
            this->decisions.scheduler.onFinished(flight->request.spec.id, outcome, now);
        }
        steps = this->takeSteps(now);
    }
    Cancellation cancel;
    {
        std::lock_guard lock(flight->mutex);
        cancel = flight->cancelCall;
    }
    if (cancel)
        cancel();
    // Where the connection is lost, only an explicit cancel ends the work at the engine.
    if (wasSent && flight->request.spec.kind == RequestKind::Engine && outcome != RunOutcome::FailedByTarget)
        this->ports.engine.cancel(flight->target.address, flight->ticketText);
    if (wasSent && outcome == RunOutcome::ConnectionLost)
        this->checkHealth(target, flight->target.address, flight->request.spec.kind);
    this->settle(*flight, result);
    this->summarize(*flight, result, now);
    this->carryOut(steps, now);
}

// No byte left this node, so the request goes back to the queue under the same ticket.
bool RequestPath::requeueUnsent(const FlightPtr& flight, TimePoint now)
{
    {
        // Before the request is queued again: from then on another thread may dispatch it.
        std::lock_guard lock(flight->mutex);
        flight->tracker.reset();
        flight->dispatched = false;
        flight->cancelCall = nullptr;
    }
    std::vector<Step> steps;
    TargetId target {};
    bool queued = false;
    {
        std::lock_guard lock(this->decisions.mutex);
        auto id = flight->request.spec.id;
        if (this->flights.find(id) == this->flights.end())
            return true; // it has ended another way
        if (now >= flight->request.spec.deadline || !this->decisions.retries.takeRetry(now)
            || !this->decisions.ledger.revertUnsent(flight->ticket))
            return false;
        if (auto ran = this->decisions.targets.targetOf(id))
            target = *ran;
        this->decisions.scheduler.onFinished(id, RunOutcome::ConnectionLost, now);
        this->decisions.targets.onHealthCheck(target, false, now);
        queued = !this->enqueue(flight, now);
        // Refused: the ticket is queued in the ledger, so that fail() can still prove "not run".
        steps = this->takeSteps(now);
    }
    this->carryOut(steps, now);
    return queued;
}

// Callers that are refused together must not come back together: each gets a return time of its own.
void RequestPath::spreadReturn(Failure& failure, TimePoint now)
{
    if (failure.retryAfter > Duration::zero())
        failure.retryAfter = std::max(failure.retryAfter, this->decisions.retries.retryAfter(failure.retryAfter, now));
}

// Ends the flight for all its listeners.
void RequestPath::settle(Flight& flight, const FinalResult& result)
{
    std::vector<Listener> listeners;
    {
        std::lock_guard lock(flight.mutex);
        if (flight.result)
            return;
        flight.result = result;
        listeners.swap(flight.listeners);
    }
    for (auto& listener : listeners)
        this->deliver(flight, listener, result);
}

void RequestPath::deliver(const Flight& flight, Listener& listener, const FinalResult& result)
{
    if (listener.started && result.streamIsWhole) {
        listener.reply->write("data: [DONE]\n\n");
        return listener.reply->finish();
    }
    if (listener.started)
        return endWithErrorEvent(*listener.reply, result.failure.value_or(Failure {}), flight.ticketText);
    if (!result.answer)
        return sendFailure(*listener.reply, result.failure.value_or(Failure {}), flight.ticketText);
    const auto& answer = *result.answer;
    listener.reply->send(answer.status, answerHeaders(flight.ticketText, answer.contentType), answer.body);
}

// The request ends when nobody waits for it and nobody can ask for it again by a ticket of their own.
void RequestPath::onCallerGone(const FlightPtr& flight, const HttpReply* reply)
{
    bool abandoned = false;
    {
        std::lock_guard lock(flight->mutex);
        std::erase_if(flight->listeners, [reply](const Listener& listener) { return listener.reply.get() == reply; });
        abandoned = !flight->result && flight->listeners.empty() && !flight->ticketByCaller && flight->request.spec.idempotent;
    }
    if (!abandoned)
        return;
    auto now = this->ports.clock();
    {
        std::lock_guard lock(this->decisions.mutex);
        if (this->flights.find(flight->request.spec.id) == this->flights.end())
            return;
        this->decisions.scheduler.abandon(flight->request.spec.id, now);
    }
    this->fail(
        flight, { FailureKind::CallerGone, Disposition::Unknown, "the caller closed the connection", {} }, RunOutcome::Cancelled, now);
}

// A lost connection says little of the target: a check on a fresh connection decides whether the target is to blame.
void RequestPath::checkHealth(TargetId target, std::string url, RequestKind /*kind*/)
{
    this->ports.background([this, target, url = std::move(url)] {
        auto healthy = this->ports.engine.health(url);
        {
            std::lock_guard lock(this->decisions.mutex);
            this->decisions.targets.onHealthCheck(target, healthy.value.value_or(false), this->ports.clock());
        }
        this->poke();
    });
}

namespace {

// Route by which versions are judged: the operation, or the first segment of a service's path.
std::string routeOf(const CallerRequest& request)
{
    if (request.operation == Operation::ChatCompletion)
        return "chat";
    if (request.operation == Operation::Completion)
        return "completion";
    return request.path.substr(0, request.path.find_first_of("/?", 1));
}

void summarizeVersion(const Flight& flight, const FinalResult& result, TimePoint now, RequestSummary& summary)
{
    constexpr int firstServerError = 500;
    summary.route = routeOf(flight.request);
    if (!flight.dispatched)
        return;
    summary.version = flight.target.version;
    bool isService = flight.request.operation == Operation::ServiceCall;
    summary.failedByTarget = isService && result.answer && result.answer->status >= firstServerError;
    if (isService)
        summary.firstTokenAfterDispatch = now - flight.dispatchedAt;
    else if (flight.firstTokenAt)
        summary.firstTokenAfterDispatch = *flight.firstTokenAt - flight.dispatchedAt;
    if (flight.firstTokenAt && summary.outputTokens > 1)
        summary.timePerToken = (flight.lastTokenAt - *flight.firstTokenAt) / static_cast<int64_t>(summary.outputTokens - 1);
}

} // namespace

void RequestPath::summarize(const Flight& flight, const FinalResult& result, TimePoint now)
{
    if (!this->ports.observer.ended)
        return;
    const auto& spec = flight.request.spec;
    RequestSummary summary;
    summary.ticket = flight.ticketText;
    summary.workspace = flight.workspace;
    summary.model = flight.request.model;
    summary.target = flight.dispatched ? std::string_view(flight.target.name) : std::string_view {};
    summary.tier = spec.tier;
    summary.queueTime = (flight.dispatched ? flight.dispatchedAt : now) - spec.arrival;
    summary.firstToken = flight.firstTokenAt.value_or(now) - spec.arrival;
    summary.total = now - spec.arrival;
    summary.promptTokens = spec.promptTokens;
    summary.cachedTokens = flight.cachedTokens;
    summary.outputTokens = flight.tracker ? flight.tracker->received() : 0;
    summary.dispatched = flight.dispatched;
    bool isWhole = result.answer || result.streamIsWhole;
    summary.inTime = isWhole && now <= spec.deadline;
    summary.failure = isWhole ? nullptr : &*result.failure;
    summarizeVersion(flight, result, now, summary);
    this->ports.observer.ended(summary);
}

// ---- Time

void RequestPath::poke()
{
    auto now = this->ports.clock();
    std::vector<Step> steps;
    {
        std::lock_guard lock(this->decisions.mutex);
        steps = this->takeSteps(now);
    }
    this->carryOut(steps, now);
}

void RequestPath::runTimer(const std::atomic<bool>& stop)
{
    constexpr Duration longestSleep = std::chrono::milliseconds(500);
    while (!stop) {
        {
            std::unique_lock lock(this->timerMutex);
            auto until = this->ports.clock() + longestSleep;
            while (!this->woken && !(this->wakeAt && *this->wakeAt <= this->ports.clock()) && this->ports.clock() < until) {
                auto next = this->wakeAt ? std::min(*this->wakeAt, until) : until;
                this->timerChanged.wait_until(lock, next);
            }
            this->woken = false;
            this->wakeAt.reset();
        }
        this->grantsChanged();
    }
}

void RequestPath::wakeTimer()
{
    std::lock_guard lock(this->timerMutex);
    this->woken = true;
    this->timerChanged.notify_one();
}

// ---- Stopping

void RequestPath::stopAdmitting() { this->stopping = true; }

size_t RequestPath::active() const
{
    std::lock_guard lock(this->decisions.mutex);
    return this->flights.size() + this->forwarding.active();
}

} // namespace guavapond
