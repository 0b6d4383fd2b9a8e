// Tests of the targets' entries: which of them a read of the store removes, after outages and after a loss of changes.
#include "edge/TargetEntries.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr Duration readInterval = 800ms;

class EntriesWorld : public Utest {
public:
    std::set<std::string> usable;
    std::set<std::string> unresponsive;      // ids of targets
    std::map<std::string, uint64_t> inStore; // revision by id
    uint64_t era = 1;
    uint64_t revision = 100;
    TimePoint now { 100s };
    TargetEntries entries { this->hooks() };

    TargetEntries::Hooks hooks()
    {
        TargetEntries::Hooks result;
        result.decode = [](const TargetEntry& entry) {
            TargetInfo info;
            info.id = entry.id;
            info.service = "s";
            info.slots = 1;
            return std::optional<TargetInfo>(info);
        };
        result.changed = [this](const TargetInfo& target) { this->usable.insert(target.id); };
        result.gone = [this](const std::string& id) { this->usable.erase(id); };
        result.isUnresponsive = [this](const std::string& id) { return this->unresponsive.contains(id); };
        return result;
    }
    static std::string id(int number) { return "t" + std::to_string(number); }
    void write(int number) { this->inStore[id(number)] = ++this->revision; }
    void read(bool isKept = false)
    {
        this->now += readInterval;
        const StoreRevision upTo = inEra(this->era, this->revision);
        this->entries.onRead(upTo);
        std::set<std::string> present;
        for (const auto& [name, written] : this->inStore) {
            this->entries.apply({ name, name + "@" + std::to_string(written), inEra(this->era, written) });
            present.insert(name);
        }
        this->entries.removeMissing(present, upTo, isKept, this->now);
    }
    void startTargets(int count)
    {
        for (int i = 0; i < count; ++i)
            this->write(i);
        this->read();
        LONGS_EQUAL(count, this->usable.size());
    }
    void loseAllEntries()
    {
        this->inStore.clear();
        ++this->era;
        this->entries.onChangesLost();
        this->entries.onStoreReturned();
    }
};

} // namespace

TEST_GROUP_BASE(TargetEntries, EntriesWorld) {};

// Guards against an outage of all services since a store that is back from a copy lists no target, and never will again.
TEST(TargetEntries, ServingTargetsAreKeptWhenTheStoreHasLostAllEntries)
{
    this->startTargets(13);
    this->loseAllEntries();
    this->read(true);
    for (int i = 0; i < 20; ++i)
        this->read();
    LONGS_EQUAL(13, this->usable.size());
}

// Guards against targets that ended during an outage and are kept since the store lists none.
TEST(TargetEntries, UnresponsiveTargetsAreRemovedWhenTheStoreHasLostAllEntries)
{
    this->startTargets(13);
    this->loseAllEntries();
    this->unresponsive = { id(3), id(7) };
    this->read();
    LONGS_EQUAL(11, this->usable.size());
    CHECK_FALSE(this->usable.contains(id(3)));
    this->unresponsive.insert(id(5));
    this->read();
    CHECK_FALSE(this->usable.contains(id(5)));
}

// Guards against a few entries that come back first and drop all other targets.
TEST(TargetEntries, ServingTargetsAreKeptWhileMostEntriesAreStillMissing)
{
    this->startTargets(13);
    this->loseAllEntries();
    this->read();
    this->write(0);
    this->write(20);
    this->read();
    LONGS_EQUAL(14, this->usable.size());
}

// Guards against a target that has left and stays in use since other entries had been lost before.
TEST(TargetEntries, MissingTargetsAreRemovedOnceMostEntriesAreBack)
{
    this->startTargets(13);
    this->loseAllEntries();
    this->read();
    for (int i = 0; i < 10; ++i)
        this->write(i);
    this->read();
    LONGS_EQUAL(10, this->usable.size());
    this->inStore.clear(); // without an outage the list is believed
    this->read();
    LONGS_EQUAL(0, this->usable.size());
}

// Guards against a delayed removal of targets when the store has not been away.
TEST(TargetEntries, ListIsBelievedWithoutAnOutage)
{
    this->startTargets(4);
    this->inStore.clear();
    this->read();
    LONGS_EQUAL(0, this->usable.size());
}

// Guards against one target that left during an outage and stays in use since it still answers.
TEST(TargetEntries, FewMissingTargetsAreRemovedAfterAnOutage)
{
    this->startTargets(13);
    this->entries.onStoreReturned();
    this->inStore.erase(id(2));
    this->read();
    LONGS_EQUAL(12, this->usable.size());
    CHECK_FALSE(this->usable.contains(id(2)));
}

namespace {

constexpr int64_t firstStart = 1'000; // Unix ms
constexpr int64_t secondStart = 9'000;

// One target whose reports the store may carry out late.
class ReportsWorld : public Utest {
public:
    struct Report {
        uint64_t number = 0;
        int64_t startedUnixMs = firstStart;
        std::string address = "10.0.0.9:8080";
        bool draining = false;
    };
    std::map<std::string, Report> written; // by value of the entry
    StoreRevision revision = 100;
    TimePoint now { 100s };
    std::optional<TargetInfo> known; // by the node; empty: gone or never seen
    TargetEntries entries { this->hooks(this->known) };

    TargetEntries::Hooks hooks(std::optional<TargetInfo>& target)
    {
        TargetEntries::Hooks result;
        result.decode = [this](const TargetEntry& entry) {
            const Report& report = this->written.at(entry.value);
            TargetInfo info;
            info.id = entry.id;
            info.service = "s";
            info.address = parseAddress(report.address).value();
            info.startedUnixMs = report.startedUnixMs;
            info.reportNumber = report.number;
            info.draining = report.draining;
            return std::optional<TargetInfo>(info);
        };
        result.changed = [&target](const TargetInfo& info) { target = info; };
        result.gone = [&target](const std::string&) { target.reset(); };
        result.isUnresponsive = [](const std::string&) { return false; };
        return result;
    }
    bool isUsed() const { return this->known && !this->known->draining; }
    TargetEntry write(const Report& report)
    {
        const std::string value = "value " + std::to_string(this->written.size());
        this->written[value] = report;
        return { "t", value, ++this->revision };
    }
    void read(const Report& report) { this->readAgain(this->write(report)); }
    void readAgain(const TargetEntry& entry)
    {
        this->entries.onRead(this->revision);
        this->entries.apply(entry);
        this->entries.removeMissing({ "t" }, this->revision, false, this->now += readInterval);
    }
    void readNone() { this->entries.removeMissing({}, ++this->revision, false, this->now += readInterval); }
};

} // namespace

TEST_GROUP_BASE(TargetReports, ReportsWorld) {};

// Guards against a target that has left and is in use again on a report that the store carries out late.
TEST(TargetReports, LateReportDoesNotBringBackATargetThatHasLeft)
{
    for (const uint64_t number : { 4, 5, 8 })
        this->read({ .number = number });
    this->readNone();
    this->read({ .number = 6 });
    CHECK_FALSE(this->isUsed());
    this->read({ .number = 7 });
    CHECK_FALSE_TEXT(this->isUsed(), "two in a row");
    this->read({ .number = 8 });
    CHECK_FALSE_TEXT(this->isUsed(), "the last one that was read before");
}

// Guards against the same by the last report that the target made. A living target that was silent for a while looks alike, and is in use
// again with its next report.
TEST(TargetReports, ReportAfterTheRemovalCountsWithTheNextOne)
{
    this->read({ .number = 5 });
    this->readNone();
    const TargetEntry last = this->write({ .number = 6 });
    for (int i = 0; i < 4; ++i)
        this->readAgain(last);
    CHECK_FALSE(this->isUsed());
    this->read({ .number = 7 });
    CHECK(this->isUsed());
}

// Guards against entries that lapsed in an outage of the store and are taken for late writes when they come back.
TEST(TargetReports, TargetThatLapsedInAnOutageIsBackAtOnce)
{
    this->read({ .number = 5 });
    this->entries.onStoreReturned();
    this->entries.removeMissing({ "other" }, ++this->revision, true, this->now += readInterval);
    this->entries.merge({ { "t", "", this->revision }, true }, this->now);
    CHECK_FALSE(this->isUsed());
    this->read({ .number = 9 });
    CHECK(this->isUsed());
}

// Guards against a target that drains and gets requests again on an earlier report.
TEST(TargetReports, LateReadyDoesNotEndADrain)
{
    this->read({ .number = 4 });
    this->read({ .number = 6, .draining = true });
    this->read({ .number = 5 });
    CHECK_FALSE(this->isUsed());
    CHECK(this->known.has_value());
    this->read({ .number = 1, .startedUnixMs = secondStart });
    CHECK_TEXT(this->isUsed(), "a restart under the same id");
}

// Guards against a draining target that goes on getting requests, since its number is unknown or out of order.
TEST(TargetReports, DrainIsBelievedWithAnyNumber)
{
    this->read({ .number = 9 });
    this->read({ .number = 3, .draining = true });
    CHECK_FALSE(this->isUsed());
    CHECK(this->known.has_value());
}

// Guards against an address that a target has left, which a report between two later ones brings back for a heartbeat.
TEST(TargetReports, LateReportDoesNotBringBackAFormerAddress)
{
    this->read({ .number = 4, .address = "10.0.0.1:80" });
    this->read({ .number = 6, .address = "10.0.0.2:80" });
    this->read({ .number = 5, .address = "10.0.0.1:80" });
    CHECK_EQUAL(std::string("10.0.0.2:80"), addressText(this->known->address));
    this->read({ .number = 7, .address = "10.0.0.3:80" });
    CHECK_EQUAL(std::string("10.0.0.3:80"), addressText(this->known->address));
}

// Guards against the report of the former process under an id that is taken for the present one's, and against a target that is never
// used again since its machine's clock was set back before its start.
TEST(TargetReports, ReportOfAFormerProcessCountsOnlyIfItGoesOn)
{
    this->read({ .number = 50, .startedUnixMs = firstStart, .address = "10.0.0.1:80" });
    this->read({ .number = 1, .startedUnixMs = secondStart, .address = "10.0.0.2:80" });
    CHECK_EQUAL(std::string("10.0.0.2:80"), addressText(this->known->address));
    this->read({ .number = 51, .startedUnixMs = firstStart, .address = "10.0.0.1:80" });
    CHECK_EQUAL(std::string("10.0.0.2:80"), addressText(this->known->address));
    this->read({ .number = 2, .startedUnixMs = secondStart, .address = "10.0.0.2:80" });
    this->read({ .number = 52, .startedUnixMs = firstStart, .address = "10.0.0.1:80" });
    CHECK_EQUAL_TEXT(std::string("10.0.0.2:80"), addressText(this->known->address), "the present process has reported since");
    this->read({ .number = 53, .startedUnixMs = firstStart, .address = "10.0.0.1:80" });
    CHECK_EQUAL(std::string("10.0.0.1:80"), addressText(this->known->address));
}

// Guards against entries without a usable start or number that are never taken: they are ordered by revision as far as can be told.
TEST(TargetReports, EntriesWithoutStartOrNumberAreOrderedByRevision)
{
    this->read({ .number = 0, .startedUnixMs = 0, .address = "10.0.0.1:80" });
    this->read({ .number = 0, .startedUnixMs = 0, .address = "10.0.0.2:80" });
    CHECK_EQUAL(std::string("10.0.0.2:80"), addressText(this->known->address));
    this->readNone();
    this->read({ .number = 0, .startedUnixMs = 0 });
    CHECK(this->isUsed());
    this->read({ .number = 7, .startedUnixMs = 0, .address = "10.0.0.3:80" });
    this->read({ .number = 1, .startedUnixMs = 0, .address = "10.0.0.4:80" });
    this->read({ .number = 2, .startedUnixMs = 0, .address = "10.0.0.4:80" });
    CHECK_EQUAL_TEXT(std::string("10.0.0.4:80"), addressText(this->known->address), "a restart that names no start");
    this->read({ .number = 3, .startedUnixMs = firstStart, .address = "10.0.0.5:80" });
    CHECK_EQUAL(std::string("10.0.0.5:80"), addressText(this->known->address));
}

// Guards against nodes that use a target that has left, since their own last read of it is older than the late report: they start, or
// rely on the reads of peers.
TEST(TargetReports, PeersTellTheLastReportOfATargetThatIsGone)
{
    this->read({ .number = 8 });
    const StoreRevision before = this->revision;
    this->readNone();
    const auto changes = this->entries.changesAfter(before);
    LONGS_EQUAL(1, changes.size());
    CHECK(changes[0].gone);
    const TargetEntry late = this->write({ .number = 6 });

    std::optional<TargetInfo> ofBehind;
    TargetEntries behind(this->hooks(ofBehind));
    behind.apply(this->write({ .number = 2 }));
    behind.removeMissing({}, this->revision, false, this->now);
    behind.merge(changes[0], this->now);
    behind.apply({ late.id, late.value, ++this->revision });
    CHECK_FALSE_TEXT(ofBehind.has_value(), "a node that knew an earlier report");

    std::optional<TargetInfo> ofStarted;
    TargetEntries started(this->hooks(ofStarted));
    started.apply({ late.id, late.value, ++this->revision });
    CHECK(ofStarted.has_value());
    started.merge(changes[0], this->now);
    CHECK_FALSE_TEXT(ofStarted.has_value(), "a node that has read the late report first");
    started.apply({ late.id, late.value, ++this->revision });
    CHECK_FALSE(ofStarted.has_value());

    std::optional<TargetInfo> ofLater;
    TargetEntries later(this->hooks(ofLater));
    later.merge(changes[0], this->now);
    later.apply({ late.id, late.value, ++this->revision });
    CHECK_FALSE_TEXT(ofLater.has_value(), "a node that has heard of the target from the peer only");
}
