// Glue between connections and decisions.
#include "edge/Exchange.h"

#include "adapters/Logging.h"
#include "edge/RequestFields.h"

#include <algorithm>
#include <sstream>

namespace guavapond::edge {

namespace {

constexpr size_t pauseAboveUnsent = 256 * 1024; // bytes that a caller has not taken yet
constexpr uint64_t fewestGapEvents = 4;         // a mean over fewer gaps says little
constexpr double eventsLearnWeight = 0.05;
constexpr uint32_t mostRefusedPlaces = 3; // of a request, at targets that this node does not use

constexpr double longestRetryAfterSeconds = 1e6; // keeps the conversion to a duration in range

constexpr unsigned misdirected = 421;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;

// These statuses promise that a request has not run. A target's answer with one of them, without its own word for it, is no promise.
bool promisesNotRun(unsigned status) { return status == 408 || status == misdirected || status == 429 || status == unavailable; }

bool isEventStream(const http::response_header<>& head) { return head[http::field::content_type].starts_with("text/event-stream"); }

} // namespace

Exchange::Exchange(Relay& relay, CallerPointer callerConnection, CallerRequest callerRequest, ExchangePlan exchangePlan)
    : relay(relay)
    , caller(std::move(callerConnection))
    , request(std::move(callerRequest))
    , plan(std::move(exchangePlan))
    , service(relay.service(this->plan.service))
    , life(*this->plan.route, this->plan.callerLimit, this->request.arrivedAt)
    , timer(relay.loop)
{
    if (const auto resumedAfter = parseNumber<int64_t>(this->request.message[this->relay.settings.headers.lastEventId]))
        this->scanner.setLastId(*resumedAfter);
}

void Exchange::begin()
{
    const auto self = this->shared_from_this();
    this->caller->onDisconnect([self] { self->onCallerGone(); });
    this->timer.expires_after(std::max(this->life.left(bootTime()), Duration::zero()));
    this->timer.async_wait([self](boost::system::error_code error) {
        if (!error)
            self->onDue();
    });
    this->relay.secondTries.onRequest(this->plan.service, this->request.arrivedAt);
    this->place();
}

PlaceAsk Exchange::placeAsk(TimePoint now) const
{
    PlaceAsk ask;
    ask.service = this->service.hash;
    ask.rank = this->plan.rank;
    ask.promptTokens = this->plan.demand.promptTokens;
    ask.outputEvents = this->plan.demand.outputEvents;
    ask.urgent = this->plan.demand.urgent;
    ask.repeatable = this->plan.demand.repeatable;
    ask.parts = this->plan.parts;
    for (const TargetPool::Index index : this->tried)
        ask.leftOut.push_back(this->service.targets.hashOf(index));
    ask.mayWait = waitBound(this->relay.settings.admission, this->plan.route->objective);
    // A request that was sent before is better answered late than not at all.
    if (this->life.sends() == 0)
        ask.firstWithin = latestFirst(this->relay.settings.admission, this->plan.route->objective) - (now - this->life.arrival());
    this->ruleVersion(ask);
    return ask;
}

void Exchange::ruleVersion(PlaceAsk& ask) const
{
    const auto found = this->relay.movesByService.find(this->plan.service);
    if (found == this->relay.movesByService.end())
        return;
    const VersionMove& move = found->second.plan;
    const std::string& version = move.order().version;
    const bool isKnown = this->service.targets.hasVersion(version);
    if (move.state() == MoveState::Switching || move.state() == MoveState::Completed) {
        if (isKnown) // else there is nobody but the old version to ask
            ask.onlyVersion = version;
    } else if (move.state() == MoveState::Trying && this->plan.triesNewVersion && isKnown) {
        ask.onlyVersion = version;
        ask.mayWait = Duration::zero(); // the old version answers where the new one has no room
    } else
        ask.notVersion = version;
}

void Exchange::countForMove(const Run& ended, TargetOutcome outcome, TimePoint now)
{
    const auto found = this->relay.movesByService.find(this->plan.service);
    if (found == this->relay.movesByService.end() || outcome == TargetOutcome::Cancelled || outcome == TargetOutcome::Declined)
        return;
    VersionMove& move = found->second.plan;
    const bool isNew = this->service.targets.info(ended.target).version == move.order().version;
    const Duration time = ended.firstEventAt.value_or(now) - ended.sentAt;
    move.count(isNew, this->plan.route->name, outcome != TargetOutcome::Answered, time);
}

void Exchange::place()
{
    const TimePoint now = bootTime();
    if (!this->maySend(now))
        return this->follow(this->life.onNoTarget(), "no young proof of the configuration");
    if (this->targets().usableCount() == 0)
        return this->follow(this->life.onNoTarget(), "no usable target");
    this->waitingSince = now;
    this->isAsking = true;
    const uint64_t id = this->relay.placement.ask(
        this->placeAsk(now), [self = this->shared_from_this()](const PlaceAnswer& answer) { self->onPlaced(answer); }, now);
    if (this->isAsking)
        this->askId = id;
}

void Exchange::stopAsking()
{
    if (this->askId)
        this->relay.placement.withdraw(*this->askId);
    this->askId.reset();
    this->isAsking = false;
}

void Exchange::onPlaced(const PlaceAnswer& answer)
{
    this->isAsking = false;
    this->askId.reset();
    if (this->finishedFlag)
        return;
    const TimePoint now = bootTime();
    this->relay.metrics.queueWaitEnded(now - *this->waitingSince);
    if (answer.verdict == PlaceVerdict::Granted) {
        const auto target = this->targets().find(answer.target);
        if (target && this->targets().takesWork(*target, now))
            return this->send({ *target, answer.firstEvent, answer.backlogTokens }, now);
        // This node knows something of the target that its home does not.
        if (target)
            this->tried.push_back(*target);
        if (++this->refusedPlaces < mostRefusedPlaces)
            return this->place();
    }
    if (std::exchange(this->plan.triesNewVersion, false))
        return this->place();
    this->follow(this->life.onNoTarget(), "no room at any target");
}

bool Exchange::maySend(TimePoint now) const { return !this->plan.workspace || this->relay.freshness.holds(now); }

std::string Exchange::requestHead(const TargetInfo& target, TimePoint now) const
{
    const WireHeaders& names = this->relay.settings.headers;
    http::request_header<> head;
    head.method_string(this->request.message.method_string());
    head.target(this->request.message.target());
    head.version(11);
    // Fields that the caller's Connection field names concern its connection only.
    http::token_list connectionTokens(this->request.message[http::field::connection]);
    for (const auto& field : this->request.message.base()) {
        const std::string name = lowerCase(field.name_string());
        if (this->relay.droppedFields.contains(name) || connectionTokens.exists(name))
            continue;
        head.insert(field.name_string(), field.value());
    }
    head.set(names.callerLimit, std::to_string(std::max<int64_t>(1, toMilliseconds(this->life.left(now)))));
    head.set(names.expectedTarget, target.id);
    if (this->plan.workspace)
        head.set(names.workspace, this->plan.workspace->name);
    if (const auto lastId = this->scanner.lastId())
        head.set(names.lastEventId, std::to_string(*lastId));
    const bool hasBody = !this->request.message.body().empty() || this->request.message.method() == http::verb::post
        || this->request.message.method() == http::verb::put || this->request.message.method() == http::verb::patch;
    if (hasBody)
        head.set(http::field::content_length, std::to_string(this->request.message.body().size()));
    std::ostringstream text;
    text << head;
    return text.str();
}

void Exchange::send(const TargetPool::Choice& choice, TimePoint now)
{
    const TargetInfo& target = this->targets().info(choice.target);
    this->predictedFirst = choice.firstEvent;
    this->lastTarget = target.id;
    this->life.sent();
    this->targets().started(choice.target, this->plan.demand, now);
    const Duration reuse = this->plan.route->mayRepeat() ? this->relay.settings.reuseForRepeatable : this->relay.settings.reuseForOthers;
    this->run.emplace();
    this->run->target = choice.target;
    this->run->sentAt = now;
    this->run->backlogTokens = choice.backlogTokens;
    this->run->predictedFirst = choice.firstEvent;
    this->run->eventsBefore = this->scanner.events();
    this->run->prefillPending = this->plan.demand.promptTokens;
    this->run->connection = this->relay.connections.acquire(target.address, reuse, now);
    this->run->reusedConnection = this->run->connection->hasServed();
    const auto self = this->shared_from_this();
    ResponseHooks events;
    events.beforeSend = [self] { return !self->finishedFlag && self->maySend(bootTime()) && bootTime() < self->life.due(); };
    events.head = [self](const http::response_header<>& head) { return self->onHead(head); };
    events.body = [self](std::string_view bytes) { self->onBody(bytes); };
    events.complete = [self] { self->onComplete(); };
    events.failed = [self](ConnectionFault fault, bool anyByteSent) { self->onFailed(fault, anyByteSent); };
    this->run->connection->start(this->requestHead(target, now), this->request.message.body(),
        this->request.message.method() != http::verb::head, std::move(events));
}

std::optional<RunEnd> Exchange::judgeHead(const http::response_header<>& head) const
{
    const WireHeaders& names = this->relay.settings.headers;
    const unsigned status = head.result_int();
    if (status == misdirected)
        return RunEnd::Moved;
    if (head.count(names.notRun) > 0)
        return RunEnd::Declined;
    if (head.count(http::field::content_encoding) > 0)
        return RunEnd::Invalid;
    if (head[names.requestId] != this->request.message[names.requestId])
        return RunEnd::Invalid;
    const bool success = status < 300;
    if (success && head.count(names.proof) == 0)
        return RunEnd::Invalid;
    if (status >= 500 || promisesNotRun(status))
        return RunEnd::Failed;
    return std::nullopt;
}

// What a target says of itself in any answer, also one to an earlier request.
void Exchange::noteTargetState(const http::response_header<>& head)
{
    const TimePoint now = bootTime();
    this->targets().progress(this->run->target, now);
    if (head.count(this->relay.settings.headers.leaving) > 0 && !this->targets().isLeaving(this->run->target)) {
        log(LogLevel::Info, "target says that it leaves", { { "target", this->lastTarget }, { "status", head.result_int() } });
        this->targets().sayLeaving(this->run->target);
    }
    if (head.result_int() != unavailable)
        return;
    if (const auto asked = parseNumber<double>(head[http::field::retry_after]); asked && *asked > 0)
        this->targets().holdBack(this->run->target, fromSeconds(std::min(*asked, longestRetryAfterSeconds)), now);
}

HeadVerdict Exchange::onHead(const http::response_header<>& head)
{
    this->noteTargetState(head);
    const auto id = head[this->relay.settings.headers.requestId];
    if (!id.empty() && id != this->request.message[this->relay.settings.headers.requestId])
        return HeadVerdict::Skip;
    this->run->headSeen = true;
    this->run->head = head;
    this->run->verdict = this->judgeHead(head);
    if (this->run->verdict == RunEnd::Invalid)
        return HeadVerdict::Reject;
    if (!this->run->verdict && this->life.state() == LifeState::Answering && head.result_int() >= 300)
        this->run->verdict = RunEnd::Failed; // nothing but a stream can continue a stream
    const bool isEvents = !this->run->verdict && this->plan.route->kind == RouteKind::Streaming && isEventStream(head);
    this->form = isEvents ? AnswerForm::Events : AnswerForm::Held;
    return HeadVerdict::Accept;
}

void Exchange::onBody(std::string_view bytes)
{
    this->targets().progress(this->run->target, bootTime());
    if (this->form != AnswerForm::Events)
        return this->onPlainBody(bytes);
    const bool whole = this->scanner.feed(bytes, [this](std::string_view events) { this->onEvents(events); });
    if (!whole) {
        this->stopRun(TargetOutcome::Failed);
        this->afterRun(RunEnd::Invalid);
        return;
    }
    this->holdBackTarget();
}

void Exchange::onPlainBody(std::string_view bytes)
{
    if (this->form == AnswerForm::PassedOn) {
        this->caller->sendPiece(bytes);
        return this->holdBackTarget();
    }
    this->run->body += bytes;
    if (this->run->body.size() <= this->relay.settings.mostBufferedAnswer)
        return;
    if (this->run->verdict) { // a failure too long to be passed on later
        const RunEnd verdict = *this->run->verdict;
        this->failure.reset();
        this->stopRun(TargetOutcome::Failed);
        return this->afterRun(verdict);
    }
    this->form = AnswerForm::PassedOn;
    this->beginAnswer();
    this->caller->sendPiece(std::exchange(this->run->body, {}));
    this->holdBackTarget();
}

// A caller that reads slowly must not make the answer pile up here.
void Exchange::holdBackTarget()
{
    if (this->caller->unsentBytes() <= pauseAboveUnsent)
        return;
    const ConnectionPointer connection = this->run->connection;
    connection->pauseReading();
    this->caller->onDrained([connection] { connection->resumeReading(); });
}

void Exchange::onEvents(std::string_view events)
{
    const TimePoint now = bootTime();
    if (!this->run->firstEventAt) {
        this->run->firstEventAt = now;
        this->targets().firstEvent(this->run->target, this->run->prefillPending, this->run->backlogTokens, now - this->run->sentAt, now);
        this->targets().remember(this->run->target, this->plan.parts, now);
        RunSample sample;
        sample.backlogTokens = this->run->backlogTokens;
        sample.firstAfter = now - this->run->sentAt;
        sample.parts = this->plan.parts;
        this->tell(*this->run, std::move(sample));
        this->run->prefillPending = 0;
        if (!this->firstEventAfter)
            this->firstEventAfter = now - this->life.arrival();
        this->relay.placement.changed(this->service.hash, now);
    }
    this->run->lastEventAt = now;
    this->beginAnswer();
    this->caller->sendPiece(events);
}

http::response_header<> Exchange::callerHead(const http::response_header<>& head) const
{
    http::response_header<> result = head;
    for (const auto field : { http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
             http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::content_length })
        result.erase(field);
    return result;
}

void Exchange::beginAnswer()
{
    if (this->life.state() == LifeState::Answering)
        return;
    this->life.answerBegan(this->form == AnswerForm::Events);
    this->caller->beginStream(this->callerHead(this->run->head));
}

void Exchange::onComplete()
{
    Run& finished = *this->run;
    const TimePoint now = bootTime();
    if (finished.verdict) {
        const RunEnd verdict = *finished.verdict;
        this->failure = this->wholeAnswer();
        this->endRun(verdict == RunEnd::Failed ? TargetOutcome::Failed : TargetOutcome::Declined);
        if (verdict == RunEnd::Moved)
            this->targets().leave(this->lastTarget);
        return this->afterRun(verdict);
    }
    if (this->form == AnswerForm::PassedOn) {
        this->caller->endStream();
        this->endRun(TargetOutcome::Answered);
        return this->finish(RequestResult::Answered, "whole");
    }
    if (this->form == AnswerForm::Events) {
        if (this->scanner.isMidEvent()) {
            this->endRun(TargetOutcome::Failed);
            return this->afterRun(RunEnd::Broken);
        }
        const uint64_t events = this->scanner.events() - finished.eventsBefore;
        if (events >= fewestGapEvents) {
            const Duration gap = (finished.lastEventAt - *finished.firstEventAt) / (events - 1);
            this->targets().eventGap(finished.target, gap, now);
            RunSample sample;
            sample.eventGap = gap;
            this->tell(finished, std::move(sample));
            double& mean = this->relay.eventsOfRoute[this->plan.route->name];
            mean += eventsLearnWeight * (static_cast<double>(events) - mean);
        }
        this->beginAnswer();
        this->caller->endStream();
        this->endRun(TargetOutcome::Answered);
        return this->finish(RequestResult::Answered, "whole");
    }
    this->answerWhole();
}

http::response<http::string_body> Exchange::wholeAnswer()
{
    http::response<http::string_body> message;
    message.base() = this->callerHead(this->run->head);
    message.body() = std::move(this->run->body);
    if (this->request.message.method() == http::verb::head && this->run->head.count(http::field::content_length) > 0)
        message.set(http::field::content_length, this->run->head[http::field::content_length]);
    return message;
}

void Exchange::answerWhole()
{
    auto message = this->wholeAnswer();
    const bool success = message.result_int() < 300;
    this->caller->sendResponse(std::move(message));
    this->endRun(TargetOutcome::Answered);
    this->finish(success ? RequestResult::Answered : RequestResult::FailureRelayed, "whole");
}

void Exchange::onFailed(ConnectionFault fault, bool anyByteSent)
{
    const std::optional<RunEnd> verdict = this->run->verdict;
    const bool staleConnection = this->run->reusedConnection && !this->run->headSeen;
    if (fault == ConnectionFault::Cancelled) {
        this->endRun(TargetOutcome::Cancelled);
        return this->afterRun(RunEnd::NotSent);
    }
    if (!anyByteSent) {
        // A kept connection that was closed meanwhile says nothing of the target.
        this->endRun(staleConnection ? TargetOutcome::Cancelled : TargetOutcome::Unreachable);
        return this->afterRun(RunEnd::NotSent);
    }
    if (verdict && *verdict != RunEnd::Failed) {
        this->endRun(*verdict == RunEnd::Invalid ? TargetOutcome::Failed : TargetOutcome::Declined);
        return this->afterRun(*verdict);
    }
    if (staleConnection)
        this->relay.connections.drop(this->targets().info(this->run->target).address);
    if (fault == ConnectionFault::Malformed)
        this->endRun(TargetOutcome::Failed);
    else
        this->endRun(staleConnection ? TargetOutcome::Cancelled : TargetOutcome::Broken);
    this->afterRun(fault == ConnectionFault::Malformed ? RunEnd::Invalid : RunEnd::Broken);
}

void Exchange::endRun(TargetOutcome outcome)
{
    const TimePoint now = bootTime();
    const Run finished = std::move(*this->run);
    this->run.reset();
    this->countForMove(finished, outcome, now);
    this->plan.triesNewVersion = false; // a second try goes to the old version
    this->targets().ended(finished.target, finished.prefillPending, outcome, now - finished.sentAt, now);
    RunSample sample;
    sample.outcome = outcome;
    sample.serviceTime = now - finished.sentAt;
    this->tell(finished, std::move(sample));
    if (finished.connection->isReusable())
        this->relay.connections.release(finished.connection, now);
    else
        finished.connection->close();
    // Requests that wait are served from the loop, not from within the end of another one.
    net::post(this->relay.loop, [self = this->shared_from_this()] { self->relay.placement.changed(self->service.hash, bootTime()); });
    this->tried.push_back(finished.target);
}

void Exchange::tell(const Run& finished, RunSample sample)
{
    sample.service = this->service.hash;
    sample.target = this->targets().hashOf(finished.target);
    this->relay.placement.learned(sample, bootTime());
}

void Exchange::stopRun(TargetOutcome outcome)
{
    if (!this->run)
        return;
    this->run->connection->close();
    this->endRun(outcome);
}

void Exchange::afterRun(RunEnd end)
{
    this->scanner.discardPartial();
    this->form = AnswerForm::Held;
    this->relay.metrics.runFailed(end);
    const TimePoint now = bootTime();
    const NextStep step = this->life.runEnded(
        end, [&] { return this->relay.secondTries.take(this->plan.service, now); }, now);
    log(LogLevel::Info, "run failed",
        { { "request", this->request.message[this->relay.settings.headers.requestId] }, { "target", this->lastTarget },
            { "end", runEndName(end) }, { "sends", this->life.sends() }, { "leftMs", toMilliseconds(this->life.left(now)) },
            { "next", nextStepName(step) } });
    this->follow(step, runEndName(end));
}

void Exchange::follow(NextStep step, std::string_view reason)
{
    switch (step) {
    case NextStep::SendElsewhere:
        return this->place();
    case NextStep::PassFailureOn:
        return this->passFailureOn();
    case NextStep::AnswerNotRun:
        return this->answerOwn(unavailable, RequestResult::Refused, reason,
            this->relay.comeBack(this->relay.placement.occupancy(this->service.hash, bootTime())));
    case NextStep::AnswerUnknown:
        return this->answerOwn(badGateway, RequestResult::Unknown, reason, std::nullopt);
    case NextStep::CutOff:
        return this->cutOff(reason);
    }
}

void Exchange::passFailureOn()
{
    if (!this->failure || promisesNotRun(this->failure->result_int()))
        return this->answerOwn(badGateway, RequestResult::FailureRelayed, "the target failed", std::nullopt);
    this->caller->sendResponse(std::move(*this->failure));
    this->finish(RequestResult::FailureRelayed, "the target failed");
}

void Exchange::onDue()
{
    if (this->finishedFlag)
        return;
    const NextStep step = this->life.onDue();
    this->stopRun(TargetOutcome::Cancelled);
    if (step == NextStep::CutOff)
        return this->cutOff("timeout");
    if (step == NextStep::AnswerUnknown)
        return this->answerOwn(gatewayTimeout, RequestResult::Unknown, "timeout", std::nullopt);
    this->answerOwn(unavailable, RequestResult::Refused, "timeout before any target had room", this->relay.comeBack(1));
}

void Exchange::onCallerGone()
{
    if (this->finishedFlag)
        return;
    this->stopRun(TargetOutcome::Cancelled);
    this->finish(RequestResult::CallerGone, "the caller closed its connection");
}

void Exchange::abandon()
{
    this->finishedFlag = true;
    this->timer.cancel();
    this->stopAsking();
    this->caller->onDisconnect({});
    this->caller->onDrained({});
    if (this->run)
        this->run->connection->close();
    this->run.reset();
}

bool Exchange::isStalled(TimePoint now) const
{
    if (!this->run || !this->plan.route->mayRepeat() || this->form == AnswerForm::PassedOn)
        return false;
    // A stream that is given up costs all that was read for it, so it takes much more than the silence that ends new work.
    const double factor = this->plan.route->kind == RouteKind::Streaming ? this->relay.settings.silentStreamFactor : 1;
    const auto bound = std::chrono::duration_cast<Duration>(this->service.targets.patience(this->run->predictedFirst) * factor);
    return now - this->run->sentAt >= bound && this->service.targets.silence(this->run->target, now) >= bound;
}

void Exchange::leaveStalledTarget()
{
    this->stopRun(TargetOutcome::Silent);
    this->afterRun(RunEnd::Silent);
}

void Exchange::answerOwn(unsigned status, RequestResult result, std::string_view reason, std::optional<Duration> retry)
{
    this->relay.answerOwn(this->caller, this->request.message[this->relay.settings.headers.requestId], status, reason, retry);
    this->finish(result, reason);
}

void Exchange::cutOff(std::string_view reason)
{
    this->caller->abortResponse();
    this->finish(RequestResult::CutOff, reason);
}

void Exchange::finish(RequestResult result, std::string_view reason)
{
    const TimePoint now = bootTime();
    this->finishedFlag = true;
    this->timer.cancel();
    this->stopAsking();
    const bool ran = this->life.mayHaveRun() || this->life.state() == LifeState::Answering || result == RequestResult::Answered
        || result == RequestResult::FailureRelayed || (result == RequestResult::CallerGone && this->life.sends() > 0)
        || this->life.state() == LifeState::Sent;
    if (this->plan.workspace && !ran)
        this->relay.quota.refund(*this->plan.workspace, this->plan.tokens, now);
    this->life.ended();
    const Duration total = now - this->life.arrival();
    this->relay.metrics.requestEnded(result, total, this->firstEventAfter);
    const auto proofAge = this->relay.freshness.age(now);
    log(LogLevel::Info, "request ended",
        { { "request", this->request.message[this->relay.settings.headers.requestId] }, { "result", requestResultName(result) },
            { "reason", reason }, { "route", this->plan.route->name },
            { "workspace", this->plan.workspace ? std::string_view(this->plan.workspace->name) : std::string_view() },
            { "workspaceRank", this->plan.rank.workspace }, { "routeRank", this->plan.rank.route }, { "tokens", this->plan.tokens },
            { "mostOutputTokens", this->plan.mostOutputTokens }, { "hintTokens", this->plan.expectedOutputTokens },
            { "events", this->scanner.events() }, { "target", this->lastTarget }, { "sends", this->life.sends() },
            { "ms", toMilliseconds(total) }, { "firstEventMs", this->firstEventAfter ? toMilliseconds(*this->firstEventAfter) : -1 },
            { "predictedFirstMs", this->predictedFirst ? toMilliseconds(*this->predictedFirst) : -1 },
            { "waitedMs", this->waitingSince ? toMilliseconds(now - *this->waitingSince) : 0 },
            { "occupancy", this->relay.placement.occupancy(this->service.hash, now) }, { "catalogVersion", this->plan.catalog->version },
            { "proofAgeMs", proofAge ? toMilliseconds(*proofAge) : -1 } });
    this->relay.finished(this->shared_from_this());
}

} // namespace guavapond::edge
