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
