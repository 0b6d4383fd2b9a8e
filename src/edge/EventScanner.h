// Splits a stream of server-sent events into whole events, so that a caller never receives a part of one. It keeps the bytes of
// the event that has begun; a whole event is handed on as the bytes that came.
//
// Index
//   EventScanner    feed, lastId
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace guavapond::edge {

class EventScanner {
public:
    static constexpr size_t maxEventBytes = 1 << 20; // a longer event ends the stream

    // Calls `relay` with the whole events in `bytes`, joined where they are adjacent. Events up to `lastId` are left out: a run that
    // goes on elsewhere may repeat them. False: an event is too long.
    bool feed(std::string_view bytes, const std::function<void(std::string_view)>& relay);
    void discardPartial() { this->partial.clear(); }       // another run goes on; drops the event that was cut
    void setLastId(int64_t id) { this->lastEventId = id; } // the caller already has the events up to this one
    std::optional<int64_t> lastId() const { return this->lastEventId; }
    uint64_t events() const { return this->count; }
    bool isMidEvent() const { return !this->partial.empty(); }

private:
    bool isNew(std::string_view event); // false: the caller already has it

    std::string partial; // bytes of an event whose end has not come
    std::optional<int64_t> lastEventId;
    uint64_t count = 0;
};

} // namespace guavapond::edge
