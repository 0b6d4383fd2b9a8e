// Decisions on the events of one streamed answer.
#include "core/StreamTracker.h"

#include <cassert>

namespace guavapond {

StreamTracker::StreamTracker(std::string expectedStreamId, bool targetResumes, const StreamSettings& streamSettings, TimePoint now)
    : streamId(std::move(expectedStreamId))
    , resumes(targetResumes)
    , settings(streamSettings)
    , due(now + streamSettings.firstByteTimeout)
{
    assert(!this->streamId.empty());
}

StreamStep StreamTracker::onToken(uint32_t fromCall, std::string_view eventStreamId, uint64_t offset, TimePoint now)
{
    if (isStale(fromCall))
        return {};
    if (eventStreamId != this->streamId)
        return dropForeign();
    this->ownCall = true;
    // A repeated token is no progress: it leaves the deadline as it is.
    if (offset <= this->tokens)
        return {};
    if (offset != this->tokens + 1)
        return interrupt("a gap after token " + std::to_string(this->tokens), now);
    this->tokens = offset;
    this->due = now + this->settings.betweenTokensTimeout;
    return { StreamStep::Kind::Forward, offset, std::nullopt };
}

StreamStep StreamTracker::onTerminator(uint32_t fromCall, std::string_view eventStreamId, TimePoint now)
{
    if (isStale(fromCall))
        return {};
    if (!eventStreamId.empty() && eventStreamId != this->streamId)
        return dropForeign();
    if (eventStreamId.empty() && !this->ownCall)
        return interrupt("a terminator that may be of another request", now);
    this->over = true;
    return { StreamStep::Kind::Finish, this->tokens, std::nullopt };
}

StreamStep StreamTracker::onFailure(uint32_t fromCall, const Failure& failure, bool sent, TimePoint now)
{
    if (isStale(fromCall))
        return {};
    bool firstCall = this->currentCall == 0;
    if (firstCall && !sent) {
        Failure notSent = failure;
        notSent.disposition = Disposition::NotRun;
        return cut(std::move(notSent));
    }
    // The target's own answer is final; a resume would get the same one.
    if (firstCall && failure.disposition == Disposition::Ran)
        return cut(failure);
    return interrupt(failure.message, now);
}

StreamStep StreamTracker::onTime(TimePoint now)
{
    if (this->over || now < this->due)
        return {};
    return interrupt(this->tokens == 0 ? "no first token in time" : "no further token in time", now);
}

std::optional<TimePoint> StreamTracker::deadline() const
{
    if (this->over)
        return std::nullopt;
    return this->due;
}

StreamStep StreamTracker::dropForeign()
{
    this->ownCall = false;
    ++this->foreign;
    return {};
}

StreamStep StreamTracker::interrupt(std::string message, TimePoint now)
{
    Failure failure { FailureKind::StreamCut, Disposition::Unknown, "stream cut: " + std::move(message), {} };
    // Without a token there is no offset to resume after, and the request must not be sent again.
    if (!this->resumes || this->tokens == 0 || this->currentCall >= this->settings.maxResumes)
        return cut(std::move(failure));
    ++this->currentCall;
    this->ownCall = true;
    this->due = now + this->settings.firstByteTimeout;
    return { StreamStep::Kind::Resume, this->tokens, std::move(failure) };
}

StreamStep StreamTracker::cut(Failure failure)
{
    this->over = true;
    return { StreamStep::Kind::Cut, this->tokens, std::move(failure) };
}

} // namespace guavapond
