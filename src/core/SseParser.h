// Incremental parser of server-sent events: bytes in at arbitrary borders, whole events out.
//
// Index
//   SseEvent    one event
//   SseParser   feed bytes, receive events; bounded
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace guavapond {

struct SseEvent {
    std::string_view name; // "event" field; empty: a plain message
    std::string_view id;   // "id" field of this event
    std::string_view data; // "data" lines joined by a line feed
};

class SseParser {
public:
    static constexpr size_t defaultMaxEventBytes = 1 << 20; // bytes

    explicit SseParser(size_t maxEventBytes = defaultMaxEventBytes);

    // Calls `receive` for each event that is complete; the views are valid during the call only. Lines end in LF, CRLF or CR.
    // False: an event is larger than the bound; the parser takes nothing further.
    bool feed(std::string_view bytes, const std::function<void(const SseEvent&)>& receive);
    bool isMidEvent() const { return this->eventBytes != 0 || !this->line.empty(); } // an event has begun and not ended

private:
    void endLine(std::string_view text, const std::function<void(const SseEvent&)>& receive);
    void dispatch(const std::function<void(const SseEvent&)>& receive);

    size_t maxEventBytes;
    std::string line; // start of a line whose end has not come yet
    std::string name;
    std::string id;
    std::string data;
    size_t eventBytes = 0; // bytes of the lines of the current event
    bool hasData = false;
    bool atStart = true;       // a byte order mark may come
    bool skipLineFeed = false; // the last byte was a CR
    bool failed = false;
};

} // namespace guavapond
