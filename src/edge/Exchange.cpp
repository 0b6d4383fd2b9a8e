// Proxying of one request: placement, sending, relaying of the answer, retries and the final log line.
#include "edge/Exchange.h"

#include "adapters/Logging.h"
#include "scheduling/RequestFields.h"

#include <algorithm>
#include <sstream>

namespace guavapond::edge {

namespace {

constexpr double eventsMeanWeight = 0.05; // of a new answer in the moving mean of events per answer
constexpr double bytesMeanWeight = 0.05;  // of a new answer in the moving mean of bytes per answer
// From the grant of a place within a rate to the first byte of the request; a connection takes a few milliseconds.
constexpr Duration maxHeldPlace = std::chrono::milliseconds(200);
// Of reading a target's answer, for a slow caller. A target cuts off an answer that stays unread for some seconds.
constexpr Duration maxPause = std::chrono::seconds(1);
constexpr uint32_t maxRefusedPlaces = 3; // granted at targets that this node considers unusable; then the request is refused

constexpr double maxRetryAfterSeconds = 1e6; // keeps the conversion to a duration in range

constexpr std::string_view partReason = "a part of the prompt crashes targets";
constexpr std::string_view requestReason = "the request crashes targets";

constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;
constexpr unsigned firstFailureStatus = 400;
constexpr unsigned requestTimeout = 408;
constexpr unsigned misdirectedRequest = 421;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned serviceUnavailable = 503;
constexpr unsigned gatewayTimeout = 504;

// The answer has neither a length nor chunks.
bool endsWithConnection(const http::response_header<>& head)
{
    return head.count(http::field::content_length) == 0 && head.count(http::field::transfer_encoding) == 0;
}

// The views point into `head`.
std::vector<std::string_view> valuesOf(const http::response_header<>& head, std::string_view name)
{
    std::vector<std::string_view> values;
    const auto [first, end] = head.equal_range(name);
    for (auto field = first; field != end; ++field)
        values.push_back(field->value());
    return values;
}

} // namespace

bool promisesNotRun(unsigned status)
{
    return status == requestTimeout || status == misdirectedRequest || status == tooManyRequests || status == serviceUnavailable;
}

bool isEventStream(const http::response_header<>& head) { return head[http::field::content_type].starts_with("text/event-stream"); }

Exchange::Exchange(Relay& relay, CallerPointer callerConnection, CallerRequest callerRequest, ExchangePlan exchangePlan)
    : relay(relay)
    , caller(std::move(callerConnection))
    , request(std::move(callerRequest))
    , requestBody(std::make_shared<const std::string>(std::move(this->request.message.body())))
    , plan(std::move(exchangePlan))
    , service(relay.service(this->plan.service))
    , life(*this->plan.route, this->plan.callerLimit, this->request.arrivedAt)
    , timer(relay.loop)
{
    if (const auto lastReceivedId = parseNumber<int64_t>(this->request.message[this->relay.settings.headers.lastEventId]))
        this->scanner.setLastId(*lastReceivedId);
}

template <typename Step> void Exchange::contain(const Step& step)
{
    try {
        step();
    } catch (const std::exception& error) {
        this->onException(error);
    }
}

void Exchange::begin()
{
    const auto self = this->shared_from_this();
    this->caller->onDisconnect([self] { self->onCallerGone(); });
    this->caller->setDeadline(this->life.deadline());
    this->timer.expires_after(std::max(this->life.remaining(bootTime()), Duration::zero()));
    this->timer.async_wait([self](boost::system::error_code error) {
        if (!error)
            self->onDeadline();
    });
    this->relay.secondTries.onRequest(this->plan.service, this->request.arrivedAt);
    this->requestPlace();
}

PlacementRequest Exchange::placeAsk(TimePoint now) const
{
    PlacementRequest ask;
    ask.service = this->service.hash;
    ask.rank = this->plan.rank;
    ask.promptTokens = this->plan.demand.promptTokens;
    ask.outputEvents = this->plan.demand.outputEvents;
    ask.urgent = this->plan.demand.urgent;
    ask.repeatable = this->plan.demand.repeatable;
    ask.parts = this->plan.parts;
    for (const TargetPool::Index index : this->tried)
        ask.excludedTargets.push_back(this->service.targets.hashOf(index));
    ask.maxWait = maxWait(this->relay.settings.admission, this->plan.route->objective);
    // For a retry a late answer is better than none, so only the first attempt has this limit.
    if (this->life.sends() == 0)
        ask.firstEventWithin = firstEventBound(this->relay.settings.admission, this->plan.route->objective) - (now - this->life.arrival());
    if (this->relay.settings.placement.spill.enabled)
        ask.transferBytes = this->requestBody->size() + static_cast<uint64_t>(this->relay.bytesOfRoute[this->plan.route->name]);
    if (this->plan.workspace) {
        ask.workspace = nameHash(this->plan.workspace->name);
        // Rates in requests can't be compared with those in tokens.
        ask.workspaceWeight = this->plan.workspace->countsTokens ? this->plan.workspace->ratePerSecond : 0;
    }
    this->restrictVersion(ask);
    return ask;
}

void Exchange::requestPlace()
{
    const TimePoint now = bootTime();
    if (this->refuseQuarantined(this->relay.quarantine.blocks(this->plan.sharedParts, now, this->suspectKey()), now))
        return;
    if (!this->maySend(now))
        return this->takeStep(this->life.onNoTarget(), "no young proof of the configuration");
    if ((this->isForwarding || this->relay.reach.isCutOff()) && this->forward(now))
        return;
    if (this->isForwarding)
        return this->takeStep(this->life.onNoTarget(), "no peer reaches a target");
    if (this->targets().usableCount() == 0)
        return this->takeStep(
            this->life.onNoTarget(), this->targets().evacuatedCount() > 0 ? "all targets are evacuated" : "no usable target");
    this->waitingSince = now;
    this->isPlacing = true;
    const uint64_t id = this->relay.placement.request(
        this->placeAsk(now),
        [self = this->shared_from_this()](const PlacementAnswer& answer) { self->contain([&] { self->onPlaced(answer); }); }, now);
    if (this->isPlacing)
        this->askId = id;
}

bool Exchange::refuseQuarantined(bool isQuarantined, TimePoint now)
{
    if (!isQuarantined)
        return false;
    this->relay.metrics.keptByQuarantine();
    this->retryAfter = this->relay.quarantine.retryAfter(this->plan.sharedParts, now);
    this->takeStep(this->life.onNoTarget(), this->quarantineReason(now));
    return true;
}

std::string_view Exchange::quarantineReason(TimePoint now)
{
    this->isRefusedForGood = this->relay.quarantine.isRequestBlocked(this->suspectKey(), now);
    return this->isRefusedForGood ? requestReason : partReason;
}

void Exchange::endQuarantined(TimePoint now)
{
    if (!this->relay.quarantine.isBlocked(this->plan.sharedParts, now, this->suspectKey())
        || (this->attempt && this->attempt->firstEventAt))
        return;
    this->withdrawAsk();
    if (!this->attempt) {
        this->refuseQuarantined(true, now);
        return;
    }
    this->cancelAttempt(TargetOutcome::Cancelled);
    this->takeStep(this->life.attemptEnded(
                       AttemptOutcome::Silent, [] { return false; }, now),
        this->quarantineReason(now));
}

void Exchange::withdrawAsk()
{
    if (this->askId)
        this->relay.placement.withdraw(*this->askId);
    this->askId.reset();
    this->isPlacing = false;
}

void Exchange::onPlaced(const PlacementAnswer& answer)
{
    this->isPlacing = false;
    this->askId.reset();
    if (this->isFinished)
        return;
    const TimePoint now = bootTime();
    if (this->refuseQuarantined(this->relay.quarantine.isBlocked(this->plan.sharedParts, now, this->suspectKey()), now))
        return;
    this->relay.metrics.queueWaitEnded(now - *this->waitingSince);
    this->passedLimit = answer.passedLimit;
    this->retryAfter = answer.retryAfter;
    this->refusedShare = answer.refusedShare;
    this->spillReason = answer.spillReason;
    if (answer.passedLimit)
        this->relay.metrics.keptByLimit(answer.verdict == PlacementVerdict::Granted);
    if (answer.verdict == PlacementVerdict::Granted) {
        const auto target = this->targets().find(answer.target);
        if (target && this->targets().takesWork(*target, now) && this->relay.placement.accepts(*target, answer, now)) {
            this->placedWithoutHome = answer.grant == 0;
            return this->send({ *target, answer.firstEvent, answer.backlogTokens }, answer.countedByLimit, now);
        }
        // This node knows that the target is unusable, and the node that granted the place does not know it yet.
        if (target)
            this->tried.push_back(*target);
        if (++this->refusedPlaces < maxRefusedPlaces)
            return this->requestPlace();
    }
    if (std::exchange(this->plan.tryNewVersion, false))
        return this->requestPlace();
    this->takeStep(this->life.onNoTarget(), this->passedLimit ? "request limits of the targets" : "no room at any target");
}

bool Exchange::maySend(TimePoint now) const { return !this->plan.workspace || this->relay.freshness.holds(now); }

std::string Exchange::requestHead(const TargetInfo& target, TimePoint now) const
{
    const WireHeaders& names = this->relay.settings.headers;
    http::request_header<> head;
    head.method_string(this->request.message.method_string());
    head.target(this->request.message.target());
    head.version(11);
    // Fields named in the caller's Connection field are hop-by-hop and not passed on.
    http::token_list connectionTokens(this->request.message[http::field::connection]);
    for (const auto& field : this->request.message.base()) {
        const std::string name = lowerCase(field.name_string());
        if (this->relay.droppedFields.contains(name) || connectionTokens.exists(name))
            continue;
        head.insert(field.name_string(), field.value());
    }
    head.set(names.callerLimit, std::to_string(std::max<int64_t>(1, toMilliseconds(this->life.remaining(now)))));
    if (this->isForwarding) {
        head.set(names.forwardedBy, this->relay.name);
        if (this->request.message.count(names.key) > 0)
            head.set(names.key, this->request.message[names.key]);
    } else {
        head.set(names.expectedTarget, target.id);
        if (this->plan.workspace)
            head.set(names.workspace, this->plan.workspace->name);
    }
    if (const auto lastId = this->scanner.lastId())
        head.set(names.lastEventId, std::to_string(*lastId));
    const bool hasBody = !this->requestBody->empty() || this->request.message.method() == http::verb::post
        || this->request.message.method() == http::verb::put || this->request.message.method() == http::verb::patch;
    if (hasBody)
        head.set(http::field::content_length, std::to_string(this->requestBody->size()));
    std::ostringstream text;
    text << head;
    return text.str();
}

void Exchange::send(const TargetPool::Choice& choice, bool countedByLimit, TimePoint now)
{
    const TargetInfo& target = this->targets().info(choice.target);
    this->predictedFirstEvent = choice.firstEvent;
    this->lastTarget = target.id;
    this->life.sent();
    this->targets().started(choice.target, this->plan.demand, now);
    const Duration maxIdle
        = this->plan.route->mayRepeat() ? this->relay.settings.maxIdleForRepeatable : this->relay.settings.maxIdleForNonRepeatable;
    this->attempt.emplace(this->relay.keptAnswerBytes);
    this->attempt->target = choice.target;
    this->attempt->sentAt = now;
    this->attempt->countedByLimit = countedByLimit;
    this->attempt->warmTarget = this->targets().isWarm(choice.target, now);
    this->attempt->backlogTokens = choice.backlogTokens;
    this->attempt->predictedFirstEvent = choice.firstEvent;
    this->attempt->eventsBefore = this->scanner.events();
    this->attempt->prefillPending = this->plan.demand.promptTokens;
    const RequestTag tag = requestTag(this->request.message[this->relay.settings.headers.requestId]);
    const bool isHead = this->request.message.method() == http::verb::head;
    this->attempt->connection
        = isHead ? this->relay.connections.create(target.address, tag) : this->relay.connections.acquire(target.address, tag, maxIdle, now);
    this->attempt->reusedConnection = this->attempt->connection->hasServed();
    if (VersionMove* move = this->runningMove())
        move->onSent(target.version == move->order().version, this->plan.route->name);
    const auto self = this->shared_from_this();
    ResponseHooks events;
    events.beforeSend = [self] {
        const TimePoint sendTime = bootTime();
        const bool isAllowed = !self->isFinished && self->maySend(sendTime) && sendTime < self->life.deadline()
            && !self->targets().isEvacuated(self->attempt->target)
            && !self->relay.quarantine.isBlocked(self->plan.sharedParts, sendTime, self->suspectKey());
        if (!self->isForwarding && !self->attempt->reusedConnection)
            self->relay.onTargetContact(sendTime);
        // Places that were granted one after the other must not be used all at once when the target is reached again.
        const bool isHeld = self->attempt->countedByLimit && sendTime - self->attempt->sentAt > maxHeldPlace;
        if (isHeld)
            self->relay.metrics.ratedPlaceHeld();
        if (!isAllowed || isHeld)
            return false;
        self->attempt->writtenFrom = sendTime;
        if (self->attempt->countedByLimit)
            self->relay.metrics.sentToLimited(self->placedWithoutHome ? LimitedSend::WithoutHome
                    : self->hasWritten                                ? LimitedSend::SecondTry
                                                                      : LimitedSend::First);
        self->hasWritten = true;
        return true;
    };
    events.head = [self](const http::response_header<>& head) {
        HeadVerdict verdict = HeadVerdict::Reject;
        self->contain([&] { verdict = self->onHead(head); });
        return verdict;
    };
    events.body = [self](std::string_view bytes) { self->contain([&] { self->onBody(bytes); }); };
    events.complete = [self] { self->contain([&] { self->onComplete(); }); };
    events.failed = [self](ConnectionFault fault, bool anyByteSent) { self->contain([&] { self->onFailed(fault, anyByteSent); }); };
    this->attempt->connection->start(
        this->requestHead(target, now), this->requestBody, this->request.message.method() != http::verb::head, std::move(events));
}

std::optional<AttemptOutcome> Exchange::classifyHead(const http::response_header<>& head) const
{
    const WireHeaders& names = this->relay.settings.headers;
    const unsigned status = head.result_int();
    const bool isRefusal = status == misdirectedRequest || head.count(names.notRun) > 0;
    const size_t namedRequests = head.count(names.requestId);
    if (namedRequests > 1 || (isRefusal && status < firstFailureStatus))
        return AttemptOutcome::Invalid;
    // Where answers to other requests come too, a refusal that names none may be one of theirs.
    if (isRefusal && head[names.requestId].empty() && (this->attempt->reusedConnection || this->attempt->skippedAnswers > 0))
        return AttemptOutcome::Invalid;
    if (status == misdirectedRequest)
        return AttemptOutcome::Moved;
    if (head.count(names.notRun) > 0)
        return AttemptOutcome::Declined;
    if (head.count(http::field::content_encoding) > 0)
        return AttemptOutcome::Invalid;
    if (head[names.requestId] != this->request.message[names.requestId])
        return AttemptOutcome::Invalid;
    const bool success = status < 300;
    if (success && head.count(names.proof) == 0)
        return AttemptOutcome::Invalid;
    if (status >= 500 || promisesNotRun(status))
        return AttemptOutcome::Failed;
    return std::nullopt;
}

// Evaluates what a target reports about itself in any answer, including a late answer to an earlier request.
void Exchange::noteTargetState(const http::response_header<>& head)
{
    const TimePoint now = bootTime();
    this->targets().progress(this->attempt->target, now);
    if (head.count(this->relay.settings.headers.leaving) > 0 && !this->targets().isLeaving(this->attempt->target)) {
        log(LogLevel::Info, "target announced its shutdown", { { "target", this->lastTarget }, { "status", head.result_int() } });
        this->targets().onLeaveAnnounced(this->attempt->target);
    }
    this->noteRequestLimit(head);
    this->noteBrittleness(head, now);
    if (head.result_int() != serviceUnavailable)
        return;
    if (const auto seconds = parseNumber<double>(head[http::field::retry_after]); seconds && *seconds > 0)
        this->targets().pauseFor(this->attempt->target, fromSeconds(std::min(*seconds, maxRetryAfterSeconds)), now);
}

// A limit in an answer of another target, which has taken over the address, is not that of this target.
void Exchange::noteRequestLimit(const http::response_header<>& head)
{
    if (head.result_int() == misdirectedRequest)
        return;
    if (const auto perSecond = parseRequestLimit(valuesOf(head, this->relay.settings.headers.requestLimit)))
        this->onLimitAnswer(perSecond, head.result_int());
}

void Exchange::noteBrittleness(const http::response_header<>& head, TimePoint now)
{
    if (head.result_int() == misdirectedRequest)
        return;
    if (const auto perSecond = parseBrittleness(valuesOf(head, this->relay.settings.headers.brittle)))
        this->onBrittleness(*perSecond, now);
}

// 0: a sound answer does not say that the target is brittle.
void Exchange::onBrittleness(double perSecond, TimePoint now)
{
    const TargetPool::Index target = this->attempt->target;
    this->attempt->brittlePerSecond = perSecond;
    const bool isNews
        = perSecond > 0 ? this->targets().onBrittle(target, perSecond, now) : this->targets().onNotBrittle(target, this->attempt->sentAt);
    if (isNews)
        log(LogLevel::Info, perSecond > 0 ? "target is brittle" : "target is no longer brittle",
            { { "target", this->lastTarget }, { "perSecond", perSecond } });
}

void Exchange::onLimitAnswer(std::optional<double> perSecond, unsigned status)
{
    const LimitChange change = this->relay.placement.onLimitAnswer(
        this->service.hash, this->attempt->target, { perSecond, this->attempt->sentAt, this->attempt->countedByLimit }, bootTime());
    if (change == LimitChange::None)
        return;
    const LimitStatement& statement = this->targets().rate(this->attempt->target).limit().statement();
    log(LogLevel::Info, "request limit of a target",
        { { "target", this->lastTarget }, { "change", limitChangeName(change) }, { "perSecond", statement.perSecond.value_or(-1) },
            { "from", "target" }, { "status", status } });
    this->relay.metrics.requestLimitChanged(change);
}

HeadVerdict Exchange::onHead(const http::response_header<>& head)
{
    if (this->isForwarding)
        return this->onForwarderHead(head);
    this->noteTargetState(head);
    const auto id = head[this->relay.settings.headers.requestId];
    if (!id.empty() && id != this->request.message[this->relay.settings.headers.requestId]) {
        ++this->attempt->skippedAnswers;
        this->relay.metrics.answerSkipped(head.result_int());
        return HeadVerdict::Skip;
    }
    this->attempt->headSeen = true;
    this->attempt->head = head;
    this->attempt->verdict = this->classifyHead(head);
    if (this->attempt->verdict == AttemptOutcome::Invalid)
        return HeadVerdict::Reject;
    if (!this->attempt->verdict && head.count(this->relay.settings.headers.requestLimit) == 0)
        this->onLimitAnswer(std::nullopt, head.result_int());
    if (!this->attempt->verdict && head.count(this->relay.settings.headers.brittle) == 0)
        this->onBrittleness(0, bootTime());
    // The caller has a part of a stream, which only a stream can continue.
    if (!this->attempt->verdict && this->life.state() == RequestState::Answering && (head.result_int() >= 300 || !isEventStream(head)))
        this->attempt->verdict = AttemptOutcome::Failed;
    const bool isEvents = !this->attempt->verdict && this->plan.route->kind == RouteKind::Streaming && isEventStream(head);
    this->form = isEvents ? AnswerForm::Events : AnswerForm::Buffered;
    return HeadVerdict::Accept;
}

void Exchange::onBody(std::string_view bytes)
{
    this->targets().progress(this->attempt->target, bootTime());
    this->attempt->answerBytes += bytes.size();
    if (this->form != AnswerForm::Events)
        return this->onPlainBody(bytes);
    const bool accepted = this->scanner.feed(bytes, [this](std::string_view events) { this->onEvents(events); });
    if (!accepted) { // an event is too long
        this->cancelAttempt(TargetOutcome::Failed);
        this->onAttemptEnded(AttemptOutcome::Invalid);
        return;
    }
    this->applyBackpressure();
}

void Exchange::onPlainBody(std::string_view bytes)
{
    if (this->form == AnswerForm::PassThrough) {
        this->caller->sendPiece(bytes);
        return this->applyBackpressure();
    }
    this->attempt->body.append(bytes);
    const RelaySettings& bounds = this->relay.settings;
    if (this->attempt->body.size() <= bounds.maxBufferedAnswerBytes && *this->relay.keptAnswerBytes <= bounds.maxKeptAnswerBytes)
        return;
    if (this->attempt->verdict) { // this failure is too long to be kept and forwarded if no retry succeeds
        const AttemptOutcome verdict = *this->attempt->verdict;
        this->failure.reset();
        this->cancelAttempt(TargetOutcome::Failed);
        return this->onAttemptEnded(verdict);
    }
    this->form = AnswerForm::PassThrough;
    this->beginAnswer();
    this->caller->sendPiece(this->attempt->body.take());
    this->applyBackpressure();
}

// Stops reading from the target while the caller reads slowly, so that the answer does not accumulate in memory.
void Exchange::applyBackpressure()
{
    if (this->readsAhead ? !this->caller->isMemoryShort() : !this->caller->isBehind())
        return;
    const ConnectionPointer connection = this->attempt->connection;
    connection->pauseReading();
    if (!this->pausedSince)
        this->pausedSince = bootTime();
    this->caller->onDrained([self = this->shared_from_this(), connection] {
        self->pausedSince.reset();
        connection->resumeReading();
    });
}

void Exchange::readAhead(TimePoint now)
{
    if (!this->attempt || !this->pausedSince || now - *this->pausedSince < maxPause || this->caller->isMemoryShort())
        return;
    this->readsAhead = true;
    this->pausedSince.reset();
    this->attempt->connection->resumeReading();
}

void Exchange::onEvents(std::string_view events)
{
    const TimePoint now = bootTime();
    if (!this->attempt->firstEventAt) {
        this->attempt->firstEventAt = now;
        this->targets().firstEvent(
            this->attempt->target, this->attempt->prefillPending, this->attempt->backlogTokens, now - this->attempt->sentAt, now);
        if (!this->isForwarding)
            this->targets().recordCachedPrompt(this->attempt->target, this->plan.parts, now);
        this->relay.quarantine.onBegan(this->plan.sharedParts, now);
        RunSample sample;
        sample.backlogTokens = this->attempt->backlogTokens;
        sample.firstAfter = now - this->attempt->sentAt;
        sample.parts = this->plan.parts;
        this->reportSample(*this->attempt, std::move(sample));
        this->attempt->prefillPending = 0;
        if (!this->timeToFirstEvent)
            this->timeToFirstEvent = now - this->life.arrival();
        this->relay.placement.onLoadChanged(this->service.hash, now);
    }
    this->attempt->lastEventAt = now;
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
    if (this->life.state() == RequestState::Answering)
        return;
    this->life.answerBegan(this->form == AnswerForm::Events);
    this->caller->beginStream(this->callerHead(this->attempt->head));
}

void Exchange::onComplete()
{
    Attempt& finished = *this->attempt;
    const TimePoint now = bootTime();
    if (finished.verdict) {
        const AttemptOutcome verdict = *finished.verdict;
        if (this->isForwarding && verdict == AttemptOutcome::Declined)
            return this->onForwarderRefused();
        if (verdict == AttemptOutcome::Failed)
            this->noteWholeAnswer(now);
        this->failure = this->bufferedAnswer();
        this->endAttempt(verdict == AttemptOutcome::Failed ? TargetOutcome::Failed : TargetOutcome::Declined);
        if (verdict == AttemptOutcome::Moved)
            this->targets().markLeaving(this->lastTarget);
        return this->onAttemptEnded(verdict);
    }
    if (this->form == AnswerForm::PassThrough) {
        this->noteWholeAnswer(now);
        this->caller->endStream();
        this->endAttempt(TargetOutcome::Answered);
        return this->finish(RequestResult::Answered, "whole");
    }
    if (this->form == AnswerForm::Events) {
        const uint64_t events = this->scanner.events() - finished.eventsBefore;
        // A target that ends before its first event closes such an answer like a whole one.
        const bool isCut = this->scanner.isMidEvent() || (events == 0 && endsWithConnection(finished.head));
        if (isCut) {
            this->endAttempt(TargetOutcome::Failed);
            return this->onAttemptEnded(AttemptOutcome::Broken);
        }
        this->noteWholeAnswer(now);
        if (events >= minEventsForMeanGap) {
            const Duration gap = (finished.lastEventAt - *finished.firstEventAt) / (events - 1);
            this->targets().eventGap(finished.target, gap, now);
            RunSample sample;
            sample.eventGap = gap;
            this->reportSample(finished, std::move(sample));
            double& meanEvents = this->relay.eventsOfRoute[this->plan.route->name];
            meanEvents += eventsMeanWeight * (static_cast<double>(events) - meanEvents);
        }
        this->beginAnswer();
        this->caller->endStream();
        this->endAttempt(TargetOutcome::Answered);
        return this->finish(RequestResult::Answered, "whole");
    }
    this->noteWholeAnswer(now);
    this->sendBufferedAnswer();
}

// A target that crashes on a request can't end its answer: with all bytes of its length, or with its last chunk. An answer without either
// ends with its connection, as a crash ends it.
void Exchange::noteWholeAnswer(TimePoint now)
{
    if (this->isForwarding)
        return;
    const http::response_header<>& head = this->attempt->head;
    const unsigned status = head.result_int();
    const bool hasNoBody = this->request.message.method() == http::verb::head || status == noContent || status == notModified;
    if (hasNoBody || !endsWithConnection(head))
        this->relay.quarantine.onBegan({}, now, this->suspectKey());
    else
        this->relay.quarantine.onUnprovedEnd(this->targets().hashOf(this->attempt->target), this->suspectKey(), now);
}

http::response<http::string_body> Exchange::bufferedAnswer()
{
    http::response<http::string_body> message;
    message.base() = this->callerHead(this->attempt->head);
    message.body() = this->attempt->body.take();
    if (this->request.message.method() == http::verb::head && this->attempt->head.count(http::field::content_length) > 0)
        message.set(http::field::content_length, this->attempt->head[http::field::content_length]);
    return message;
}

void Exchange::sendBufferedAnswer()
{
    auto message = this->bufferedAnswer();
    const bool success = message.result_int() < 300;
    this->caller->sendResponse(std::move(message));
    this->endAttempt(TargetOutcome::Answered);
    this->finish(success ? RequestResult::Answered : RequestResult::FailureRelayed, "whole");
}

void Exchange::onFailed(ConnectionFault fault, bool anyByteSent)
{
    const std::optional<AttemptOutcome> verdict = this->attempt->verdict;
    const bool hadBegun = this->attempt->headSeen;
    const bool staleConnection = this->attempt->reusedConnection && !hadBegun;
    if (fault == ConnectionFault::Unreachable || (fault == ConnectionFault::Closed && !this->attempt->headSeen))
        this->noteUnreachable(bootTime());
    if (fault == ConnectionFault::Cancelled) {
        this->endAttempt(TargetOutcome::Cancelled);
        return this->onAttemptEnded(AttemptOutcome::NotSent);
    }
    if (!anyByteSent) {
        // The target may close an idle connection at any time, so this is no sign that it is unreachable.
        this->endAttempt(staleConnection ? TargetOutcome::Cancelled : TargetOutcome::Unreachable);
        return this->onAttemptEnded(AttemptOutcome::NotSent);
    }
    if (verdict && *verdict != AttemptOutcome::Failed) {
        this->endAttempt(*verdict == AttemptOutcome::Invalid ? TargetOutcome::Failed : TargetOutcome::Declined);
        return this->onAttemptEnded(*verdict);
    }
    if (staleConnection)
        this->relay.connections.drop(this->targets().info(this->attempt->target).address);
    const bool isInvalid = fault == ConnectionFault::Malformed || fault == ConnectionFault::Internal;
    if (isInvalid)
        this->endAttempt(TargetOutcome::Failed);
    else if (hadBegun)
        this->endAttempt(TargetOutcome::BrokenOff);
    else
        this->endAttempt(staleConnection ? TargetOutcome::Cancelled : TargetOutcome::Broken);
    this->onAttemptEnded(isInvalid ? AttemptOutcome::Invalid : AttemptOutcome::Broken);
}

void Exchange::onException(const std::exception& error)
{
    constexpr std::string_view reason = "internal error";
    this->relay.metrics.exceptionContained("request", error);
    if (this->isFinished)
        return;
    const NextStep step = this->life.onDeadline();
    this->cancelAttempt(TargetOutcome::Failed);
    if (step != NextStep::AnswerNotRun)
        return this->takeStep(step, reason);
    // Without a Retry-After, whose computing may be what has thrown.
    this->answerLocally(serviceUnavailable, RequestResult::Refused, reason, std::nullopt);
}

void Exchange::endAttempt(TargetOutcome outcome)
{
    const TimePoint now = bootTime();
    const Attempt finished = std::move(*this->attempt);
    this->attempt.reset();
    this->pausedSince.reset();
    this->lastHadEvent = finished.firstEventAt.has_value();
    this->lastWrittenFrom = finished.writtenFrom;
    this->lastReusedConnection = finished.reusedConnection;
    this->lastConnection = finished.connection->number();
    this->lastPosition = finished.connection->requests();
    this->lastSkippedAnswers = finished.skippedAnswers;
    this->lastStatus = finished.headSeen ? finished.head.result_int() : 0;
    this->lastTargetLeft = this->targets().isLeaving(finished.target);
    if (outcome == TargetOutcome::Answered) {
        double& meanBytes = this->relay.bytesOfRoute[this->plan.route->name];
        meanBytes += bytesMeanWeight * (static_cast<double>(finished.answerBytes) - meanBytes);
    }
    this->countForMove(finished, outcome, now);
    this->plan.tryNewVersion = false; // a retry goes to the old version
    this->targets().ended(finished.target, finished.prefillPending, outcome, now - finished.sentAt, now);
    RunSample sample;
    sample.outcome = outcome;
    sample.serviceTime = now - finished.sentAt;
    this->reportSample(finished, std::move(sample));
    if (finished.connection->isReusable())
        this->relay.connections.release(finished.connection, now);
    else
        finished.connection->close();
    // The queue is served from the event loop and not from here, so that no request starts within the end of another one.
    net::post(this->relay.loop, [self = this->shared_from_this()] { self->relay.placement.onLoadChanged(self->service.hash, bootTime()); });
    this->tried.push_back(finished.target);
}

void Exchange::reportSample(const Attempt& finished, RunSample sample)
{
    // What a node that is cut off fails at says nothing about the target.
    const bool isLoss = isOutOfReach(sample.outcome) || sample.outcome == TargetOutcome::BrokenOff;
    if (this->isForwarding || (isLoss && this->relay.reach.isCutOff()))
        return;
    sample.service = this->service.hash;
    sample.target = this->targets().hashOf(finished.target);
    sample.brittlePerSecond = finished.brittlePerSecond;
    this->relay.placement.shareSample(sample, bootTime());
}

void Exchange::cancelAttempt(TargetOutcome outcome)
{
    if (!this->attempt)
        return;
    this->attempt->connection->close();
    this->endAttempt(outcome);
}

void Exchange::onAttemptEnded(AttemptOutcome outcome)
{
    this->scanner.discardPartial();
    this->form = AnswerForm::Buffered;
    this->relay.metrics.runFailed(outcome);
    const TimePoint now = bootTime();
    this->noteLostRun(outcome, now);
    // A repeat of a request that seems to crash targets would only crash another one.
    const bool isSuspect = this->relay.quarantine.isSuspect(this->promptHash(), this->lostParts(), this->suspectKey());
    const NextStep step = this->life.attemptEnded(
        outcome, [&] { return !isSuspect && this->relay.secondTries.take(this->plan.service, now); }, now);
    if (this->plan.route->kind == RouteKind::Streaming && (outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::Silent))
        this->relay.metrics.streamLost(this->lastHadEvent);
    this->logFailedAttempt(outcome, step, now);
    this->takeStep(step, attemptOutcomeName(outcome));
}

// A part of a prompt crashes its target before the first event; a request may do so at any time until its answer is whole.
std::span<const PartKey> Exchange::lostParts() const
{
    return this->lastHadEvent ? std::span<const PartKey>() : std::span<const PartKey>(this->plan.sharedParts);
}

void Exchange::noteLostRun(AttemptOutcome outcome, TimePoint now)
{
    // The end of a target that was leaving is no crash.
    if (outcome != AttemptOutcome::Broken || this->lastTargetLeft || this->isForwarding || this->relay.reach.isCutOff())
        return;
    this->relay.quarantine.onLost(nameHash(this->lastTarget), this->promptHash(), this->lostParts(), now, this->requestKey());
    this->relay.updateQuarantine(now);
}

RequestKey Exchange::requestKey()
{
    if (!this->key)
        this->key = edge::requestKey(this->request.message.method_string(), this->request.message.target(),
            this->plan.workspace ? std::string_view(this->plan.workspace->name) : std::string_view(), *this->requestBody);
    return *this->key;
}

RequestKey Exchange::suspectKey() { return this->relay.quarantine.needsRequestKeys() ? this->requestKey() : 0; }

void Exchange::logFailedAttempt(AttemptOutcome outcome, NextStep step, TimePoint now)
{
    // The parts that other requests hold too show what requests that fail alike have in common.
    std::string sharedParts;
    for (const std::string_view part : sharedPartIds(this->request.message[this->relay.settings.headers.promptParts]))
        sharedParts += (sharedParts.empty() ? "" : ",") + std::string(part);
    log(LogLevel::Info, "run failed",
        { { "request", this->request.message[this->relay.settings.headers.requestId] }, { "target", this->lastTarget },
            { "end", attemptOutcomeName(outcome) }, { "writtenAfterMs", this->lastWrittenAfterMs() },
            { "reusedConnection", this->lastReusedConnection }, { "targetConnection", this->lastConnection },
            { "targetPosition", this->lastPosition }, { "skippedAnswers", this->lastSkippedAnswers }, { "status", this->lastStatus },
            { "answerBegan", this->lastStatus != 0 }, { "hadEvent", this->lastHadEvent }, { "sharedParts", sharedParts },
            { "requestKey", partText(this->requestKey()) }, { "sends", this->life.sends() },
            { "leftMs", toMilliseconds(this->life.remaining(now)) }, { "next", nextStepName(step) } });
}

int64_t Exchange::lastWrittenAfterMs() const
{
    return this->lastWrittenFrom ? toMilliseconds(*this->lastWrittenFrom - this->life.arrival()) : -1;
}

void Exchange::takeStep(NextStep step, std::string_view reason)
{
    switch (step) {
    case NextStep::SendElsewhere:
        return this->requestPlace();
    case NextStep::ForwardFailure:
        return this->forwardFailure();
    case NextStep::AnswerNotRun:
        if (this->isRefusedForGood)
            return this->answerLocally(serviceUnavailable, RequestResult::Refused, reason, std::nullopt);
        return this->answerLocally(serviceUnavailable, RequestResult::Refused, reason, this->returnDelay());
    case NextStep::AnswerUnknown:
        return this->answerLocally(badGateway, RequestResult::Unknown, reason, std::nullopt);
    case NextStep::AbortAnswer:
        return this->abortAnswer(reason);
    }
}

Duration Exchange::returnDelay()
{
    const TimePoint now = bootTime();
    const double occupancy = this->relay.placement.occupancy(this->service.hash, now);
    const Duration atLeast = this->retryAfter.value_or(Duration::zero());
    if (!this->refusedShare || !this->relay.settings.admission.plansRoom)
        return std::max(atLeast, this->relay.retryDelay(occupancy));
    return std::max(atLeast, this->relay.returnDelay({ occupancy, *this->refusedShare, this->life.remaining(now), 0 }));
}

void Exchange::forwardFailure()
{
    if (!this->failure || promisesNotRun(this->failure->result_int()))
        return this->answerLocally(badGateway, RequestResult::FailureRelayed, "the target failed", std::nullopt);
    this->caller->sendResponse(std::move(*this->failure));
    this->finish(RequestResult::FailureRelayed, "the target failed");
}

void Exchange::onDeadline() { this->endUnfinished("timeout"); }

void Exchange::endForStop() { this->endUnfinished("the node is stopping"); }

void Exchange::endUnfinished(std::string_view reason)
{
    if (this->isFinished)
        return;
    const NextStep step = this->life.onDeadline();
    this->cancelAttempt(TargetOutcome::Cancelled);
    if (step == NextStep::AbortAnswer)
        return this->abortAnswer(reason);
    if (step == NextStep::AnswerUnknown)
        return this->answerLocally(gatewayTimeout, RequestResult::Unknown, reason, std::nullopt);
    this->answerLocally(
        serviceUnavailable, RequestResult::Refused, std::string(reason) + " before any target had room", this->relay.retryDelay(1));
}

void Exchange::onCallerGone()
{
    if (this->isFinished)
        return;
    this->cancelAttempt(TargetOutcome::Cancelled);
    this->finish(RequestResult::CallerGone, "the caller closed its connection");
}

void Exchange::abandon()
{
    this->isFinished = true;
    this->timer.cancel();
    this->withdrawAsk();
    this->caller->onDisconnect({});
    this->caller->onDrained({});
    if (this->attempt)
        this->attempt->connection->close();
    this->attempt.reset();
}

bool Exchange::isStalled(TimePoint now) const
{
    // A peer that carries the request judges the silence of its target.
    if (!this->attempt || !this->plan.route->mayRepeat() || this->form == AnswerForm::PassThrough || this->isForwarding)
        return false;
    // Cancelling a stream wastes all work that the target did for its prompt. A stream is therefore cancelled only after a much longer
    // silence than other requests.
    const double factor = this->plan.route->kind == RouteKind::Streaming ? this->relay.settings.streamStallFactor : 1;
    const auto bound = std::chrono::duration_cast<Duration>(this->service.targets.maxSilence(this->attempt->predictedFirstEvent) * factor);
    if (this->pausedSince || now - this->attempt->connection->lastTakenAt().value_or(this->attempt->sentAt) < bound)
        return false; // the silence is the caller's, or the target still takes the request in
    return now - this->attempt->sentAt >= bound && this->service.targets.silence(this->attempt->target, now) >= bound;
}

void Exchange::leaveStalledTarget()
{
    if (!this->attempt->headSeen)
        this->noteUnreachable(bootTime());
    this->cancelAttempt(TargetOutcome::Silent);
    this->onAttemptEnded(AttemptOutcome::Silent);
}

void Exchange::answerLocally(unsigned status, RequestResult result, std::string_view reason, std::optional<Duration> retry)
{
    this->toldToReturnIn = retry;
    this->relay.answerLocally(this->caller, this->request.message[this->relay.settings.headers.requestId], status, reason, retry);
    this->finish(result, reason);
}

void Exchange::abortAnswer(std::string_view reason)
{
    this->caller->abortResponse();
    this->finish(RequestResult::CutOff, reason);
}

void Exchange::finish(RequestResult result, std::string_view reason)
{
    const TimePoint now = bootTime();
    this->isFinished = true;
    this->timer.cancel();
    this->withdrawAsk();
    const bool possiblyExecuted = this->life.mayHaveRun() || this->life.state() == RequestState::Answering
        || result == RequestResult::Answered || result == RequestResult::FailureRelayed
        || (result == RequestResult::CallerGone && this->life.sends() > 0) || this->life.state() == RequestState::Sent;
    if (!possiblyExecuted && !this->plan.route->mayRepeat())
        this->relay.admitted.erase(this->request.message[this->relay.settings.headers.requestId]);
    if (this->plan.workspace && !possiblyExecuted)
        this->relay.quota.refund(*this->plan.workspace, this->plan.tokens, now);
    this->life.ended();
    const Duration total = now - this->life.arrival();
    this->relay.metrics.requestEnded(result, total, this->timeToFirstEvent);
    if (this->isForwarding)
        this->relay.metrics.requestForwarded(result);
    const auto proofAge = this->relay.freshness.age(now);
    log(LogLevel::Info, "request ended",
        { { "request", this->request.message[this->relay.settings.headers.requestId] }, { "result", requestResultName(result) },
            { "reason", reason }, { "route", this->plan.route->name },
            { "workspace", this->plan.workspace ? std::string_view(this->plan.workspace->name) : std::string_view() },
            { "workspaceRank", this->plan.rank.workspace }, { "routeRank", this->plan.rank.route }, { "tokens", this->plan.tokens },
            { "mostOutputTokens", this->plan.maxOutputTokens }, { "hintTokens", this->plan.expectedOutputTokens },
            { "connection", this->request.connection }, { "position", this->request.position }, { "events", this->scanner.events() },
            { "target", this->lastTarget }, { "forwarding", this->isForwarding }, { "targetConnection", this->lastConnection },
            { "targetPosition", this->lastPosition }, { "skippedAnswers", this->lastSkippedAnswers }, { "sends", this->life.sends() },
            { "writtenAfterMs", this->lastWrittenAfterMs() }, { "ms", toMilliseconds(total) },
            { "firstEventMs", this->timeToFirstEvent ? toMilliseconds(*this->timeToFirstEvent) : -1 },
            { "predictedFirstMs", this->predictedFirstEvent ? toMilliseconds(*this->predictedFirstEvent) : -1 },
            { "waitedMs", this->waitingSince ? toMilliseconds(now - *this->waitingSince) : 0 },
            { "leftDomain", this->spillReason ? spillReasonName(*this->spillReason) : std::string_view() },
            { "occupancy", this->relay.placement.occupancy(this->service.hash, now) }, { "passedLimit", this->passedLimit },
            { "refusedShare", this->refusedShare.value_or(-1) },
            { "retryAfterMs", this->toldToReturnIn ? toMilliseconds(*this->toldToReturnIn) : -1 },
            { "catalogVersion", this->plan.catalog->version }, { "catalogFrom", this->plan.catalog->source },
            { "proofAgeMs", proofAge ? toMilliseconds(*proofAge) : -1 } });
    this->relay.finished(this->shared_from_this());
}

} // namespace guavapond::edge
