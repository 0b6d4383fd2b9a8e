// Guards against soft state of targets that is lost or kept wrongly.
#include "node/TargetMonitor.h"
#include "PathHarness.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;

namespace {

struct MonitorFixture : PathHarness {
    MonitorFixture()
        : monitor({}, this->monitorPorts(), this->table, this->decisions)
    {
    }

    TargetMonitorPorts monitorPorts()
    {
        TargetMonitorPorts ports;
        ports.engine.load = [this](std::string_view url) -> Result<EngineLoad> {
            ++this->loadCalls[std::string(url)];
            return EngineLoad {};
        };
        ports.engine.cacheEvents = [](std::string_view, uint64_t) -> Result<std::vector<CacheEvent>> { return std::vector<CacheEvent> {}; };
        ports.engine.health = [](std::string_view) -> Result<bool> { return true; };
        ports.vms.list = [this]() -> Result<std::vector<VmEntry>> {
            if (!this->vmsReadable)
                return Failure { FailureKind::PlatformUnavailable, Disposition::NotRun, "test", {} };
            return this->vmEntries;
        };
        ports.clock = [this] { return this->now; };
        ports.background = [this](std::function<void()> task) { this->tasks.push_back(std::move(task)); };
        ports.changed = [] {};
        return ports;
    }

    void apply(const Table& rows, uint64_t revision)
    {
        auto index = std::make_shared<const TableIndex>(rows, revision);
        {
            std::lock_guard lock(this->decisions.mutex);
            this->decisions.applyTable(*index, this->now);
        }
        this->table.publish(index);
    }
    void round()
    {
        this->now += std::chrono::seconds(2);
        this->monitor.check(this->now);
        this->runTasks();
    }
    bool takesWork(std::string_view name)
    {
        auto id = this->table.get()->target(name);
        std::lock_guard lock(this->decisions.mutex);
        return id && !this->decisions.targets.view(*id, this->now).draining;
    }

    std::vector<VmEntry> vmEntries { { "10.0.0.1", "lalitpur", VmState::Leaving }, { "10.0.0.2", "lalitpur", VmState::Live } };
    bool vmsReadable = true;
    std::map<std::string, int> loadCalls; // by address
    TargetMonitor monitor;
};

} // namespace

TEST_GROUP(TargetMonitor) { MonitorFixture fixture; };

// P7: guards against new work for a target whose VM is leaving, and against one that stays excluded after its VM is live again.
TEST(TargetMonitor, ALeavingVmTakesNoWorkUntilItIsLiveAgain)
{
    fixture.round();
    CHECK_FALSE(fixture.takesWork("e1"));
    CHECK(fixture.takesWork("e2"));
    fixture.vmEntries[0].state = VmState::Live;
    fixture.round();
    CHECK(fixture.takesWork("e1"));
}

// P7: a row that is removed and added again starts without the mark. Guards against a mark that is not set a second time.
TEST(TargetMonitor, ALeavingTargetThatIsAddedAgainTakesNoWork)
{
    fixture.round();
    auto rows = PathHarness::makeTable();
    auto without = rows;
    without.targets.erase(without.targets.begin());
    fixture.apply(without, 2);
    fixture.apply(rows, 3);
    fixture.round();
    CHECK_FALSE(fixture.takesWork("e1"));
}

// Guards against a mark that is dropped while the platform can't be read.
TEST(TargetMonitor, AnUnreadableListLeavesTheMarks)
{
    fixture.round();
    fixture.vmsReadable = false;
    fixture.round();
    CHECK_FALSE(fixture.takesWork("e1"));
}

// Polls of every target by every node would grow with the square of the fleet.
TEST(TargetMonitor, PollsABoundedNumberOfTargetsInTurn)
{
    Table rows = PathHarness::makeTable();
    for (int i = 0; i < 62; ++i) {
        TargetRow engine = rows.targets.front();
        engine.name = "more-" + std::to_string(i);
        engine.address = "http://10.1.0." + std::to_string(i) + ":1";
        rows.targets.push_back(engine);
    }
    fixture.apply(rows, 2);
    fixture.round();
    CHECK_EQUAL(TargetMonitorSettings {}.pollsPerRound, fixture.loadCalls.size());
    for (int i = 0; i < 3; ++i)
        fixture.round();
    CHECK_EQUAL(64U, fixture.loadCalls.size());
    for (const auto& [address, calls] : fixture.loadCalls)
        CHECK_EQUAL_TEXT(1, calls, address.c_str());
}
