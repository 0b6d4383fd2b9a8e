// Forwarding of a request to a peer while this node reaches no target. The peer handles it like a request of its own callers, but counts
// no tokens for it and forwards it to nobody; what it answers goes to the caller as it is.
#include "edge/Exchange.h"

namespace guavapond::edge {

namespace {

constexpr unsigned firstRedirection = 300;
constexpr unsigned tooManyRequests = 429;

} // namespace

bool Exchange::forward(TimePoint now)
{
    if (this->plan.isForwarded)
        return false;
    Demand demand;
    demand.repeatable = true;
    const std::span<const TargetPool::Index> triedPeers = this->isForwarding ? this->tried : std::span<const TargetPool::Index> {};
    const auto choice = this->relay.forwarders.targets.choose(demand, triedPeers, now);
    if (!choice)
        return false;
    if (!std::exchange(this->isForwarding, true))
        this->tried.clear();
    this->send(*choice, false, now);
    return true;
}

// A peer's answer is that of a target, or the peer's own. Its refusals are true of all targets.
HeadVerdict Exchange::onForwarderHead(const http::response_header<>& head)
{
    const WireHeaders& names = this->relay.settings.headers;
    this->targets().progress(this->attempt->target, bootTime());
    if (head.count(names.requestId) != 1)
        return HeadVerdict::Reject;
    if (head[names.requestId] != this->request.message[names.requestId]) {
        ++this->attempt->skippedAnswers;
        return HeadVerdict::Skip;
    }
    const unsigned status = head.result_int();
    if (status < firstRedirection && head.count(names.proof) == 0)
        return HeadVerdict::Reject;
    this->attempt->headSeen = true;
    this->attempt->head = head;
    if (promisesNotRun(status))
        this->attempt->verdict = AttemptOutcome::Declined;
    else if (this->life.state() == RequestState::Answering && (status >= firstRedirection || !isEventStream(head)))
        this->attempt->verdict = AttemptOutcome::Failed;
    const bool isEvents = !this->attempt->verdict && this->plan.route->kind == RouteKind::Streaming && isEventStream(head);
    this->form = isEvents ? AnswerForm::Events : AnswerForm::Buffered;
    return HeadVerdict::Accept;
}

void Exchange::onForwarderRefused()
{
    auto message = this->bufferedAnswer();
    const unsigned status = message.result_int();
    this->endAttempt(TargetOutcome::Answered);
    const NextStep step = this->life.attemptEnded(
        AttemptOutcome::Declined, [] { return false; }, bootTime());
    if (step != NextStep::AnswerNotRun)
        return this->takeStep(step, "a peer refused");
    this->caller->sendResponse(std::move(message));
    this->finish(status == tooManyRequests ? RequestResult::OverQuota : RequestResult::Refused, "a peer refused");
}

void Exchange::noteUnreachable(TimePoint now)
{
    if (!this->isForwarding)
        this->relay.onTargetFailure(this->service, this->attempt->target, now);
}

} // namespace guavapond::edge
