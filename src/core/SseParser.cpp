// Line splitting and field handling for server-sent events.
#include "core/SseParser.h"

namespace guavapond {

namespace {
constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
}

SseParser::SseParser(size_t bound)
    : maxEventBytes(bound)
{
}

bool SseParser::feed(std::string_view bytes, const std::function<void(const SseEvent&)>& receive)
{
    while (!bytes.empty() && !this->failed) {
        if (this->skipLineFeed) {
            this->skipLineFeed = false;
            if (bytes.front() == '\n') {
                bytes.remove_prefix(1);
                continue;
            }
        }
        const size_t end = bytes.find_first_of("\r\n");
        const std::string_view part = bytes.substr(0, end);
        if (this->eventBytes + this->line.size() + part.size() > this->maxEventBytes) {
            this->failed = true;
            break;
        }
        if (end == std::string_view::npos) {
            this->line += part;
            break;
        }
        this->skipLineFeed = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        if (this->line.empty()) {
            this->endLine(part, receive);
        } else {
            this->line += part;
            const std::string whole = std::move(this->line);
            this->line.clear();
            this->endLine(whole, receive);
        }
    }
    return !this->failed;
}

void SseParser::endLine(std::string_view text, const std::function<void(const SseEvent&)>& receive)
{
    if (this->atStart) {
        this->atStart = false;
        if (text.starts_with(byteOrderMark))
            text.remove_prefix(byteOrderMark.size());
    }
    if (text.empty())
        return this->dispatch(receive);
    if (text.front() == ':')
        return; // a comment, used as a keep-alive
    this->eventBytes += text.size() + 1;
    const size_t colon = text.find(':');
    const std::string_view field = text.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view {} : text.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "data") {
        if (this->hasData)
            this->data += '\n';
        this->data += value;
        this->hasData = true;
    } else if (field == "event") {
        this->name = value;
    } else if (field == "id") {
        this->id = value;
    }
}

void SseParser::dispatch(const std::function<void(const SseEvent&)>& receive)
{
    if (this->hasData)
        receive({ this->name, this->id, this->data });
    this->name.clear();
    this->id.clear();
    this->data.clear();
    this->eventBytes = 0;
    this->hasData = false;
}

} // namespace guavapond
