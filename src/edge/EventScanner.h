// Splits a stream of server-sent events into complete events, so that a caller never receives part of an event. Bytes of an incomplete
// event are buffered; complete events are relayed byte for byte.
//
// Index
//   EventScanner    feed, discardPartial, setLastId, lastId, events, isMidEvent
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace guavapond::edge {

class EventScanner {
public:
    static constexpr size_t maxEventBytes = 1 << 20; // feed returns false for a longer event

    // Calls `relay` with the complete events in `bytes`; adjacent events are passed in one call. Events with an id up to `lastId` are
    // dropped, since a target that resumes an interrupted stream may repeat them. Returns false if an event exceeds maxEventBytes.
    bool feed(std::string_view bytes, const std::function<void(std::string_view)>& relay);
    void discardPartial() { this->partial.clear(); }       // drops the incomplete event before another target resumes the stream
    void setLastId(int64_t id) { this->lastEventId = id; } // the caller has already received the events up to this id
    std::optional<int64_t> lastId() const { return this->lastEventId; } // highest event id so far; empty: no event had an id
    uint64_t events() const { return this->count; }                     // number of relayed events
    bool isMidEvent() const { return !this->partial.empty(); }          // part of an event is buffered

private:
    bool isNew(std::string_view event); // false: the caller already received it; otherwise updates lastEventId and count

    std::string partial; // bytes of the incomplete event at the end of the input
    std::optional<int64_t> lastEventId;
    uint64_t count = 0;
};

} // namespace guavapond::edge
