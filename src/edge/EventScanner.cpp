// Finds the blank lines that terminate server-sent events, and reads the ids of the events.
#include "edge/EventScanner.h"

#include <charconv>

namespace guavapond::edge {

namespace {

// Returns the position after the first blank line at or after `from`; npos: there is none.
size_t endOfEvent(std::string_view text, size_t from)
{
    for (size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n')
            return at + 2;
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n')
            return at + 3;
    }
    return std::string_view::npos;
}

// Returns the id of the event; empty: it has no numeric id.
std::optional<int64_t> eventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    size_t at = 0;
    while (at < event.size()) {
        const size_t lineEnd = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, lineEnd - at);
        at = lineEnd + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        int64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

bool EventScanner::isNew(std::string_view event)
{
    const auto id = eventId(event);
    if (id && this->lastEventId && *id <= *this->lastEventId)
        return false;
    if (id)
        this->lastEventId = id;
    ++this->count;
    return true;
}

bool EventScanner::feed(std::string_view bytes, const std::function<void(std::string_view)>& relay)
{
    std::string_view text = bytes;
    if (!this->partial.empty()) {
        this->partial += bytes;
        text = this->partial;
    }
    size_t begin = 0;
    size_t relayFrom = 0;
    for (size_t end = endOfEvent(text, begin); end != std::string_view::npos; end = endOfEvent(text, begin)) {
        if (!this->isNew(text.substr(begin, end - begin))) {
            if (begin > relayFrom)
                relay(text.substr(relayFrom, begin - relayFrom));
            relayFrom = end;
        }
        begin = end;
    }
    if (begin > relayFrom)
        relay(text.substr(relayFrom, begin - relayFrom));
    std::string rest(text.substr(begin));
    this->partial = std::move(rest);
    return this->partial.size() <= maxEventBytes;
}

} // namespace guavapond::edge
