// Tests that EventScanner splits a stream into complete server-sent events.
#include "edge/EventScanner.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond::edge;

namespace {

std::string feed(EventScanner& scanner, std::string_view bytes)
{
    std::string relayed;
    CHECK(scanner.feed(bytes, [&](std::string_view events) { relayed += events; }));
    return relayed;
}

const std::string threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

} // namespace

TEST_GROUP(EventScanner) {};

// Guards against bytes that are lost, duplicated or relayed before their event is complete. A read from a socket may end at any byte of
// an event.
TEST(EventScanner, RelaysTheSameBytesForEverySplit)
{
    for (size_t cut = 0; cut <= threeEvents.size(); ++cut) {
        EventScanner scanner;
        const std::string first = feed(scanner, std::string_view(threeEvents).substr(0, cut));
        CHECK(first.empty() || first.ends_with("\n\n"));
        STRCMP_EQUAL(threeEvents.c_str(), (first + feed(scanner, std::string_view(threeEvents).substr(cut))).c_str());
        LONGS_EQUAL(3, scanner.events());
        CHECK_FALSE(scanner.isMidEvent());
    }
}

// Guards against joining the incomplete event at the end of an interrupted stream with the stream of the target that resumes it.
TEST(EventScanner, DropsIncompleteEventWhenAnotherTargetResumes)
{
    EventScanner scanner;
    STRCMP_EQUAL("id: 1\ndata: a\n\n", feed(scanner, "id: 1\ndata: a\n\nid: 2\nda").c_str());
    CHECK(scanner.isMidEvent());
    scanner.discardPartial();
    STRCMP_EQUAL("id: 2\ndata: b\n\n", feed(scanner, "id: 2\ndata: b\n\n").c_str());
}

// Guards against relaying events twice: a target that resumes a stream may repeat events that the caller has already received.
TEST(EventScanner, DropsEventsUpToTheLastId)
{
    EventScanner scanner;
    scanner.setLastId(2);
    STRCMP_EQUAL("id: 3\ndata: c\n\n", feed(scanner, threeEvents).c_str());
    LONGS_EQUAL(3, *scanner.lastId());
}

// Guards against buffering a stream forever because its events have no ids or its lines end in CRLF.
TEST(EventScanner, AcceptsCrlfAndEventsWithoutIds)
{
    EventScanner scanner;
    STRCMP_EQUAL("data: x\r\n\r\ndata: y\n\n", feed(scanner, "data: x\r\n\r\ndata: y\n\n").c_str());
    CHECK_FALSE(scanner.lastId().has_value());
}

// Guards against unbounded memory use by a stream whose event never ends.
TEST(EventScanner, RejectsEventAboveMaxEventBytes)
{
    EventScanner scanner;
    CHECK_FALSE(scanner.feed(std::string(EventScanner::maxEventBytes + 1, 'x'), [](std::string_view) {}));
}
