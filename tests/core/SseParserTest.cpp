// Tests of the server-sent events parser.
#include "core/SseParser.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <vector>

using namespace guavapond;

namespace {

std::vector<std::string> parse(SseParser& parser, const std::vector<std::string_view>& pieces, bool* fits = nullptr)
{
    std::vector<std::string> events;
    bool all = true;
    for (auto piece : pieces) {
        all = parser.feed(piece, [&](const SseEvent& event) {
            events.push_back(std::string(event.name) + "|" + std::string(event.id) + "|" + std::string(event.data));
        });
    }
    if (fits)
        *fits = all;
    return events;
}

std::vector<std::string> parseWhole(std::string_view text)
{
    SseParser parser;
    return parse(parser, { text });
}

} // namespace

TEST_GROUP(SseParser) {};

// Guards against fields, comments and line ends that engines may legally send being misread.
TEST(SseParser, FieldsCommentsAndLineEnds)
{
    using Events = std::vector<std::string>;
    CHECK(parseWhole("data: a\n\n") == Events { "||a" });
    CHECK(parseWhole("data:a\r\n\r\n") == Events { "||a" });
    CHECK(parseWhole("data: a\r\rdata: b\r\r") == Events({ "||a", "||b" }));
    CHECK(parseWhole("data: a\ndata:  b\n\n") == Events { "||a\n b" });
    CHECK(parseWhole("event: error\nid: 7\ndata: x\n\ndata: y\n\n") == Events({ "error|7|x", "||y" }));
    CHECK(parseWhole(": keep-alive\n\nretry: 10\n\ndata\n\n") == Events { "||" });
    CHECK(parseWhole("\xEF\xBB\xBF"
                     "data: a\n\n")
        == Events { "||a" });
    CHECK(parseWhole("event: x\n\n").empty());
    CHECK(parseWhole("data: unfinished\n").empty());
}

// Guards against events that depend on where the network cut the bytes.
TEST(SseParser, EveryCutGivesTheSameEvents)
{
    const std::string text = "\xEF\xBB\xBF: c\r\ndata: one\r\ndata: 1\r\n\r\nid: 2\ndata: two\n\ndata: three\r\revent: e\rdata: four\r\r\n";
    const auto expected = parseWhole(text);
    CHECK_EQUAL(4, expected.size());
    for (size_t cut = 0; cut <= text.size(); ++cut) {
        SseParser parser;
        CHECK(parse(parser, { std::string_view(text).substr(0, cut), std::string_view(text).substr(cut) }) == expected);
    }
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round) {
        SseParser parser;
        std::vector<std::string_view> pieces;
        for (size_t at = 0; at < text.size();) {
            const size_t length = std::min<size_t>(1 + random() % 5, text.size() - at);
            pieces.push_back(std::string_view(text).substr(at, length));
            at += length;
        }
        CHECK(parse(parser, pieces) == expected);
    }
}

// Guards against unbounded memory for one event, in one line or in many, and against taking input after that.
TEST(SseParser, EventSizeIsBounded)
{
    bool fits = true;
    SseParser exact(7);
    CHECK_EQUAL(2, parse(exact, { "data:a\n\ndata:b\n\n" }, &fits).size());
    CHECK(fits);
    SseParser oneLine(64);
    parse(oneLine, { "data: ", std::string(100, 'x') }, &fits);
    CHECK(!fits);
    CHECK(parse(oneLine, { "\n\ndata: a\n\n" }).empty());
    SseParser manyLines(64);
    std::string many;
    for (int i = 0; i < 30; ++i)
        many += "data:\n";
    parse(manyLines, { many }, &fits);
    CHECK(!fits);
}

// Guards against taking a stream that ends inside an event for one that ended between two.
TEST(SseParser, ReportsAnUnfinishedEvent)
{
    SseParser parser;
    parse(parser, { "data: a\n\n" });
    CHECK(!parser.isMidEvent());
    parse(parser, { "da" });
    CHECK(parser.isMidEvent());
    parse(parser, { "ta: b\n" });
    CHECK(parser.isMidEvent());
    parse(parser, { "\n" });
    CHECK(!parser.isMidEvent());
}
