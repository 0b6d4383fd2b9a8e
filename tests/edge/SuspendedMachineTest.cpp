// Tests of a node whose machine has been suspended: the time since boot is then ahead of the steady clock that timers use.
#include "StoreSyncWorld.h"

#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

using namespace guavapond;
using namespace std::chrono_literals;
using test::configText;

namespace {

std::chrono::seconds suspendedFor { 0 };

} // namespace

// Replaces the C library's function in this program, so that the machine seems to have been suspended.
extern "C" int clock_gettime(clockid_t clock, timespec* time)
{
    const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
    if (clock == CLOCK_BOOTTIME)
        time->tv_sec += suspendedFor.count();
    return result;
}

TEST_GROUP_BASE(SuspendedMachine, test::StoreSyncWorld) { void teardown() override { suspendedFor = 0s;
}
}
;

// Guards against a configuration that is not in force in time since each read of the store is late by the time of the suspension.
TEST(SuspendedMachine, ReadsOfTheStoreStartInTimeAfterASuspension)
{
    this->store->model.put("op/config", configText(1, "r"));
    this->startSync();
    CHECK(this->runUntil([&] { return this->catalog != nullptr; }));
    suspendedFor = 5s;
    this->runUntil([] { return false; }, 100ms); // reads that were scheduled before
    this->store->model.put("op/config", configText(2, "r"));
    CHECK(this->runUntil([&] { return this->catalog->version == 2; }, 2s));
}
