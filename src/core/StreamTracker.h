// Binds one streamed answer to one request (P4): nothing of another request is passed on, and only a whole answer ends as whole.
//
// Index
//   StreamSettings   deadlines and the bound on resumes
//   StreamStep       what to do with an event
//   StreamTracker    one per dispatched request; not thread-safe: the caller guards it
//
// A resume opens a new call to the target. Events carry the number of the call that they came from, so that what an earlier connection
// still delivers can't end or fail the present one.
#pragma once

#include "core/Types.h"

namespace guavapond {

struct StreamSettings {
    Duration firstByteTimeout = std::chrono::seconds(30);    // from the start of each call
    Duration betweenTokensTimeout = std::chrono::seconds(5); // since the last new token
    uint32_t maxResumes = 2;                                 // per request
};

struct StreamStep {
    enum class Kind : uint8_t {
        Forward, // pass the event on to the caller
        Drop,    // ignore it
        Resume,  // close this call and open the next one after `offset` tokens
        Finish,  // the answer is whole
        Cut,     // it ended early: `failure` says why
    };
    Kind kind = Kind::Drop;
    uint64_t offset = 0;            // Resume: tokens already forwarded
    std::optional<Failure> failure; // Cut; Resume: why the call ended
};

class StreamTracker {
public:
    StreamTracker(std::string expectedStreamId, bool targetResumes, const StreamSettings& streamSettings, TimePoint now);

    // `offset` counts the tokens generated up to and with the event.
    StreamStep onToken(uint32_t fromCall, std::string_view streamId, uint64_t offset, TimePoint now);
    // A terminator need not name a stream. One without an id counts only if the call has shown whose it is.
    StreamStep onTerminator(uint32_t fromCall, std::string_view streamId, TimePoint now);
    // `sent` false: proved that no byte of the call left this node.
    StreamStep onFailure(uint32_t fromCall, const Failure& failure, bool sent, TimePoint now);
    StreamStep onTime(TimePoint now); // Drop before the deadline

    uint32_t call() const { return this->currentCall; } // from 0; each resume adds one
    uint64_t received() const { return this->tokens; }  // tokens forwarded
    bool ended() const { return this->over; }
    std::optional<TimePoint> deadline() const;               // none once ended
    uint64_t foreignEvents() const { return this->foreign; } // events of other requests, dropped

private:
    bool isStale(uint32_t fromCall) const { return this->over || fromCall != this->currentCall; }
    StreamStep dropForeign();
    StreamStep interrupt(std::string message, TimePoint now);
    StreamStep cut(Failure failure);

    std::string streamId;
    bool resumes = false;
    StreamSettings settings;
    uint32_t currentCall = 0;
    uint64_t tokens = 0;
    uint64_t foreign = 0;
    TimePoint due {};
    bool ownCall = false; // the last event with an id on this call was of this request, or the call is a resume by its id
    bool over = false;
};

} // namespace guavapond
