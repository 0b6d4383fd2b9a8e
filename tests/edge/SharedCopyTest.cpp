// Tests of when nodes read the store and when they rely on their peers' reads.
#include "edge/SharedCopy.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
constexpr uint64_t revisions = 77; // some digest

SharedCopy readAt(TimePoint time)
{
    SharedCopy copy { SharedCopySettings {} };
    copy.setDigest(revisions);
    copy.wasRead(time, time + 4ms);
    return copy;
}

} // namespace

TEST_GROUP(SharedCopy) {};

// Guards against a node that waits for others before it knows anything, and against one that believes in a copy it never compared.
TEST(SharedCopy, ReadsAtOnceAtTheStart)
{
    SharedCopy copy { SharedCopySettings {} };
    CHECK(copy.readDueAt({ 5, 6, 200ms }) <= start);
    CHECK_FALSE(copy.report(start).age.has_value());
    copy.readFailed(start);
    CHECK(copy.readDueAt({ 5, 6, 200ms }) == start + 250ms);
}

// Guards against a proof that is younger than the question it answers, and against one of another content.
TEST(SharedCopy, DatesAPeersProofFromItsOwnQuestion)
{
    SharedCopy copy = readAt(start);
    CHECK(copy.peerReports({ revisions, 300ms }, start + 2s, start + 2s));
    CHECK(copy.provedAt() == start + 1700ms);
    CHECK(copy.peerReports({ revisions, 2s }, start + 2s, start + 2s));
    CHECK_TEXT(copy.provedAt() == start + 1700ms, "never goes back");
    CHECK_FALSE(copy.peerReports({ revisions, std::nullopt }, start + 3s, start + 3s));
    CHECK_FALSE_TEXT(copy.peerReports({ revisions, 1ms }, TimePoint {}, start + 3s), "no question of this node was echoed");
    CHECK_FALSE(copy.peerReports({ revisions + 1, 1ms }, start + 3s, start + 3s));
    CHECK(copy.provedAt() == start + 1700ms);
}

// Guards against a change that a node hears of and does not read, and against reads for the sake of a peer that is behind.
TEST(SharedCopy, ReadsSoonWhenAPeerHoldsSomethingNewer)
{
    SharedCopy copy = readAt(start);
    copy.peerReports({ revisions + 1, 500ms }, start + 400ms, start + 400ms);
    CHECK_FALSE_TEXT(copy.differs(), "the peer read before this node did");
    copy.peerReports({ revisions + 1, 100ms }, start + 400ms, start + 400ms);
    CHECK(copy.differs());
    CHECK(copy.isNewerCopy({ revisions + 1, 100ms }));
    CHECK_TEXT(copy.readDueAt({ 4, 5, 250ms }) == start + 800ms, "the peer is asked first");
    copy.peerFetchFailed();
    CHECK_TEXT(copy.readDueAt({ 4, 5, 250ms }) <= start + 260ms, "then the store, at once");
    copy.wasRead(start + 410ms, start + 414ms);
    CHECK_FALSE(copy.differs());
}

// Guards against nodes that differ for good and call the store without a pause.
TEST(SharedCopy, BoundsTheReadsOfNodesThatDiffer)
{
    SharedCopy copy = readAt(start);
    copy.peerReports({ revisions + 1, 0ms }, start + 100ms, start + 100ms);
    copy.peerFetchFailed();
    CHECK(copy.readDueAt({ 0, 5, 0ms }) == start + 254ms);
    CHECK_TEXT(copy.readDueAt({ 0, 350, 0ms }) == start + 704ms, "350 nodes stay within 500 calls a second");
}

// Guards against a dead reader that leaves the others with an old copy: each is due in its turn, all within the operators' 2 s.
TEST(SharedCopy, OthersReadWhenTheFirstDoesNot)
{
    const SharedCopy copy = readAt(start);
    CHECK(copy.readDueAt({ 0, 40, 400ms }) == start + 800ms);
    CHECK(copy.readDueAt({ 1, 40, 400ms }) == start + 1250ms);
    CHECK(copy.readDueAt({ 2, 40, 400ms }) == start + 1300ms);
    for (size_t nodes : { 2, 5, 33, 350 })
        CHECK(copy.readDueAt({ nodes - 1, nodes, 3s }) <= start + 1750ms);
}

// Guards against a node that the store turns away and that gives up asking, because its peers keep it current.
TEST(SharedCopy, TriesOnWhileTheStoreTurnsItAway)
{
    SharedCopy copy = readAt(start);
    copy.readFailed(start + 2s);
    CHECK_TEXT(copy.readDueAt({ 1, 5, 250ms }) == start + 2250ms, "its copy is old");
    copy.peerReports({ revisions, 10ms }, start + 2s, start + 2s);
    CHECK_TEXT(copy.readDueAt({ 1, 5, 250ms }) == start + 3s, "its copy is current");
}

// Guards against calls that grow with the nodes: 40 nodes that hear each other within the news delay make about one read per interval.
TEST(SharedCopy, ManyNodesReadAboutAsOftenAsOne)
{
    constexpr size_t nodes = 40;
    constexpr Duration onTheWay = 300ms;
    constexpr Duration askedBefore = 150ms; // a peer asks so long before the read
    std::vector<SharedCopy> copies(nodes, SharedCopy { SharedCopySettings {} });
    struct News {
        TimePoint arrives;
        TimePoint readAt;
    };
    std::vector<News> underWay;
    size_t reads = 0;
    for (TimePoint now = start; now < start + 60s; now += 5ms) {
        for (size_t place = 0; place < nodes; ++place) {
            if (now < copies[place].readDueAt({ place, nodes, askedBefore + onTheWay }))
                continue;
            copies[place].setDigest(revisions);
            copies[place].wasRead(now, now + 4ms);
            underWay.push_back({ now + onTheWay, now });
            ++reads;
        }
        while (!underWay.empty() && underWay.front().arrives <= now) {
            for (SharedCopy& copy : copies)
                copy.peerReports({ revisions, 0ms }, underWay.front().readAt - askedBefore, now);
            underWay.erase(underWay.begin());
        }
    }
    CHECK_TEXT(reads <= nodes + 76, "one read a node at the start, then one per 0.8 s in all");
}

// Guards against one read of the store by each node for each change: a copy that a peer's items complete needs none.
TEST(SharedCopy, APeersItemsMakeACopyCurrent)
{
    SharedCopy copy = readAt(start);
    copy.peerReports({ revisions + 1, 100ms }, start + 400ms, start + 400ms);
    copy.setDigest(revisions + 2);
    CHECK_TEXT(copy.differs(), "other items than the peer's");
    copy.setDigest(revisions + 1);
    CHECK_FALSE(copy.differs());
    CHECK(copy.provedAt() == start + 300ms);
    CHECK(copy.readDueAt({ 0, 5, 0ms }) == start + 1100ms);
}
