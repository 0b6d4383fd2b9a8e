// Tests of the splitting of streams into whole events.
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

const std::string three = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

} // namespace

TEST_GROUP(EventScanner) {};

// Guards against bytes that are lost, doubled or relayed early when reads split events at any place.
TEST(EventScanner, RelaysTheSameBytesForEverySplit)
{
    for (size_t cut = 0; cut <= three.size(); ++cut) {
        EventScanner scanner;
        const std::string first = feed(scanner, std::string_view(three).substr(0, cut));
        CHECK(first.empty() || first.ends_with("\n\n"));
        STRCMP_EQUAL(three.c_str(), (first + feed(scanner, std::string_view(three).substr(cut))).c_str());
        LONGS_EQUAL(3, scanner.events());
        CHECK_FALSE(scanner.isMidEvent());
    }
}

// Guards against a part of an event of a run that broke off being joined with the run that goes on.
TEST(EventScanner, DropsTheCutEventWhenAnotherRunGoesOn)
{
    EventScanner scanner;
    STRCMP_EQUAL("id: 1\ndata: a\n\n", feed(scanner, "id: 1\ndata: a\n\nid: 2\nda").c_str());
    CHECK(scanner.isMidEvent());
    scanner.discardPartial();
    STRCMP_EQUAL("id: 2\ndata: b\n\n", feed(scanner, "id: 2\ndata: b\n\n").c_str());
}

// Guards against events that the caller has already received.
TEST(EventScanner, LeavesOutEventsUpToTheLastId)
{
    EventScanner scanner;
    scanner.setLastId(2);
    STRCMP_EQUAL("id: 3\ndata: c\n\n", feed(scanner, three).c_str());
    LONGS_EQUAL(3, *scanner.lastId());
}

// Guards against a stream without ids or with CRLF line ends being held back.
TEST(EventScanner, TakesCrlfAndMissingIds)
{
    EventScanner scanner;
    STRCMP_EQUAL("data: x\r\n\r\ndata: y\n\n", feed(scanner, "data: x\r\n\r\ndata: y\n\n").c_str());
    CHECK_FALSE(scanner.lastId().has_value());
}

// Guards against memory that grows without bound on a stream that never ends an event.
TEST(EventScanner, RefusesAnEventBeyondTheBound)
{
    EventScanner scanner;
    CHECK_FALSE(scanner.feed(std::string(EventScanner::maxEventBytes + 1, 'x'), [](std::string_view) {}));
}
