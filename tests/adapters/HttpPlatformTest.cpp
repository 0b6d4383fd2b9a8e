// Contract test of the platform port: HttpPlatform against the stand-in over HTTP on loopback.
#include "adapters/HttpPlatform.h"
#include "PlatformServer.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::standin;

namespace {

constexpr Duration longTimeout = std::chrono::seconds(20);        // far above what an answer takes on a busy machine
constexpr Duration shortTimeout = std::chrono::milliseconds(300); // for answers that never come

struct Fixture {
    PlatformModel model;
    PlatformServer server { model, 0 };

    KeyValue client(Duration timeout = longTimeout) const { return httpKeyValue({ { this->server.url() }, timeout, "" }); }
    void setFaults(auto change)
    {
        PlatformFaults faults;
        change(faults);
        this->model.setFaults(faults);
    }
};

bool succeeded(const auto& result) { return static_cast<bool>(result); }

bool failedAs(const auto& result, FailureKind kind, Disposition disposition)
{
    return !result && result.reason->kind == kind && result.reason->disposition == disposition;
}

} // namespace

TEST_GROUP(HttpPlatform) { Fixture platform; };

// Guards against a port whose compare-and-swap lets two writers through, and against values changed on the way.
TEST(HttpPlatform, CompareAndSwapOverHttp)
{
    const KeyValue kv = platform.client();
    LONGS_EQUAL(0, kv.get("guavapond/table/head")->revision);
    const std::string value = "{\"a\":\"line\\nbreak \xc3\xa9 %2F?&\"}";
    const auto first = kv.put("guavapond/table/head", value, 0, std::nullopt);
    CHECK(first && *first > 0);
    CHECK(failedAs(kv.put("guavapond/table/head", "other", 0, std::nullopt), FailureKind::Conflict, Disposition::NotRun));
    const auto second = kv.put("guavapond/table/head", "{}", *first, std::nullopt);
    CHECK(second && *second > *first);
    CHECK(failedAs(kv.put("guavapond/table/head", "late", *first, std::nullopt), FailureKind::Conflict, Disposition::NotRun));
    CHECK(succeeded(kv.put("guavapond/node/a b?c", value, 0, std::nullopt)));
    CHECK(kv.get("guavapond/node/a b?c")->value == value);
}

// Guards against a write whose answer is lost being reported as not run, or being sent again by the HTTP library, which would turn it into
// a conflict with itself. The second write would find a connection to reuse if the first one left it open.
TEST(HttpPlatform, LostAnswerOfAWriteIsUnknownAndItIsSentOnce)
{
    const KeyValue kv = platform.client();
    CHECK(succeeded(kv.get("key")));
    CHECK(succeeded(kv.put("key", "first", 0, std::nullopt)));
    platform.setFaults([](PlatformFaults& f) { f.loseWriteAnswers = 1; });
    CHECK(failedAs(kv.put("key", "second", 1, std::nullopt), FailureKind::PlatformUnavailable, Disposition::Unknown));
    CHECK(platform.model.get("key", TimePoint::max())->value == "second");
    LONGS_EQUAL(2, platform.model.stats().puts);
}

// Guards against an outage that looks like an absent key, on which a node would drop its table.
TEST(HttpPlatform, OutageIsAFailureAndNotAnAbsentKey)
{
    const KeyValue kv = platform.client();
    CHECK(succeeded(kv.put("key", "value", 0, std::nullopt)));
    platform.setFaults([](PlatformFaults& f) { f.outage = Outage::Refusing; });
    CHECK(failedAs(kv.get("key"), FailureKind::PlatformUnavailable, Disposition::NotRun));
    CHECK(failedAs(kv.put("key", "other", 1, std::nullopt), FailureKind::PlatformUnavailable, Disposition::Unknown));
    CHECK(failedAs(kv.watch("key", 1, longTimeout), FailureKind::PlatformUnavailable, Disposition::NotRun));
    platform.setFaults([](PlatformFaults& f) { f.outage = Outage::Silent; });
    CHECK(failedAs(platform.client(shortTimeout).get("key"), FailureKind::PlatformUnavailable, Disposition::NotRun));
    platform.setFaults([](PlatformFaults&) {});
    CHECK(kv.get("key")->value == "value");
}

// Guards against a dead first address making the platform unreachable.
TEST(HttpPlatform, ReadFallsBackToTheNextAddress)
{
    const KeyValue kv = httpKeyValue({ { "http://127.0.0.1:1", platform.server.url() }, longTimeout, "" });
    CHECK(succeeded(kv.get("key")));
}

// Guards against retrying into a rate limit: the failure carries the time to wait and says that nothing was written.
TEST(HttpPlatform, RateLimitCarriesRetryAfter)
{
    platform.setFaults([](PlatformFaults& f) { f.writesPerSecond = 0.001; });
    const auto result = platform.client().put("key", "value", 0, std::nullopt);
    CHECK(failedAs(result, FailureKind::PlatformUnavailable, Disposition::NotRun));
    CHECK(result.reason->retryAfter > Duration::zero());
}

// Guards against a watch that reports a timeout as a change, misses a change, or fails when the change is announced late.
TEST(HttpPlatform, WatchReportsAChangeAndATimeout)
{
    const KeyValue kv = platform.client();
    const Revision first = *kv.put("key", "1", 0, std::nullopt);
    const auto unchanged = kv.watch("key", first, std::chrono::milliseconds(30));
    CHECK(unchanged && !*unchanged);
    const Revision second = *kv.put("key", "2", first, std::nullopt);
    platform.setFaults([](PlatformFaults& f) { f.watchDelay = std::chrono::milliseconds(100); });
    const auto changed = kv.watch("key", first, longTimeout);
    CHECK(changed && *changed);
    LONGS_EQUAL(second, (*changed)->revision);
    STRCMP_EQUAL("2", (*changed)->value.c_str());
}

// Guards against a lapsed lease that still holds its key. The model takes the time as an argument, so nothing waits.
TEST(HttpPlatform, LeaseLapsesWithItsKey)
{
    const KeyValue kv = platform.client();
    const auto lease = kv.grantLease(std::chrono::hours(1));
    CHECK(succeeded(lease));
    CHECK(succeeded(kv.put("key", "held", 0, *lease)));
    CHECK(*kv.renewLease(*lease));
    const TimePoint later = TimePoint::max();
    LONGS_EQUAL(0, platform.model.get("key", later)->revision);
    CHECK(!*kv.renewLease(*lease));
    CHECK(failedAs(kv.put("key", "held", 0, *lease), FailureKind::NotFound, Disposition::NotRun));
    const auto other = kv.grantLease(std::chrono::hours(1));
    CHECK(succeeded(kv.put("key", "held", 0, *other)));
    kv.revokeLease(*other);
    LONGS_EQUAL(0, kv.get("key")->revision);
}

// Guards against a leaving VM that is listed as live.
TEST(HttpPlatform, VmListCarriesStates)
{
    platform.model.setVms({ { "127.0.0.1:1", "lalitpur", VmState::Live }, { "127.0.0.1:2", "kirtipur", VmState::Leaving } });
    const auto list = httpVmList({ { platform.server.url() }, longTimeout, "" }).list();
    CHECK(succeeded(list));
    LONGS_EQUAL(2, list->size());
    CHECK((*list)[1].state == VmState::Leaving);
    STRCMP_EQUAL("kirtipur", (*list)[1].failureDomain.c_str());
}
