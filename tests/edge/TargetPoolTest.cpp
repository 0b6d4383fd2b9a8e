// Tests how TargetPool chooses a target from load reports, measured speeds, cached prompts and failures, and how it pauses targets.
#include "scheduling/TargetPool.h"
#include "scheduling/WorkspaceQuota.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <random>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {};

std::function<double()> seededRandom(uint64_t seed)
{
    return [generator = std::mt19937_64(seed), uniform = std::uniform_real_distribution<double>()]() mutable { return uniform(generator); };
}

TargetInfo makeTarget(const std::string& id, uint32_t slots)
{
    TargetInfo info;
    info.id = id;
    info.service = "drafts";
    info.address = { "127.0.0.1", 1 };
    info.slots = slots;
    return info;
}

Demand makeDemand(uint32_t tokens)
{
    Demand demand;
    demand.promptTokens = tokens;
    demand.outputEvents = 10;
    return demand;
}

TargetPool makePool(size_t count, uint32_t slots)
{
    TargetPool pool({}, true, seededRandom(1));
    for (size_t i = 0; i < count; ++i)
        pool.upsert(makeTarget("t" + std::to_string(i), slots), start);
    return pool;
}

void completeRequest(TargetPool& pool, TargetPool::Index index, const Demand& demand, TargetOutcome outcome, TimePoint now)
{
    pool.started(index, demand, now);
    pool.ended(index, demand.promptTokens, outcome, 10ms, now);
}

} // namespace

TEST_GROUP(TargetPool) {};

// Guards against several nodes that together send a target more requests than it has slots, because each counts only its own.
TEST(TargetPool, CountsRequestsOfPeers)
{
    TargetPool pool = makePool(1, 2);
    const TargetLoadReport report { nameHash("t0"), 2, 0 };
    pool.started(0, makeDemand(10), start);
    pool.ended(0, 10, TargetOutcome::Answered, 1s, start); // sets its service time to 1 s
    CHECK(pool.choose(makeDemand(10), {}, start).has_value());
    pool.peerLoads(7, { &report, 1 }, start);
    CHECK_FALSE(pool.choose(makeDemand(10), {}, start).has_value());
    CHECK_TEXT(pool.choose(makeDemand(10), {}, start + 5s).has_value(), "an expired report does not block a target");
    pool.peerLoads(7, {}, start);
    CHECK(pool.choose(makeDemand(10), {}, start).has_value());
}

// A request takes 30 ms, and a few are under way at the target of the caller's own domain. Guards against bytes that pass between domains
// only to spread requests over idle slots, and against an own target that is full and still preferred.
TEST(TargetPool, WithPricesARequestLeavesTheDomainOnlyForASavedWait)
{
    PlacementSettings settings;
    settings.failureDomain = "d0";
    settings.initialServiceTime = 30ms;
    settings.spill.enabled = true;
    settings.spill.gigabytePrice = 1000;
    settings.spill.waitSecondPrice = 1;
    TargetPool pool(settings, false, seededRandom(1));
    for (const char* domain : { "d0", "d1" }) {
        TargetInfo info = makeTarget(domain, 6);
        info.failureDomain = domain;
        pool.upsert(info, start);
    }
    Demand demand = makeDemand(1);
    demand.transferBytes = 2000; // worth 2 ms of waiting
    for (int i = 0; i < 5; ++i) {
        LONGS_EQUAL(0, pool.choose(demand, {}, start)->target);
        pool.started(0, demand, start);
    }
    for (int i = 0; i < 3; ++i)
        pool.started(0, demand, start);
    LONGS_EQUAL_TEXT(1, pool.choose(demand, {}, start)->target, "the wait of 15 ms is longer than the detour and the spread");
    demand.transferBytes = 20'000;
    LONGS_EQUAL_TEXT(0, pool.choose(demand, {}, start)->target, "these bytes are worth 20 ms of waiting");
    pool.setRoundTrips({ { "d1", 30ms } });
    demand.transferBytes = 0;
    LONGS_EQUAL_TEXT(0, pool.choose(demand, {}, start)->target, "the round trip is longer than the wait");
}

// Guards against long prompts that queue at one target while another target has none to process.
TEST(TargetPool, PrefersTargetWithShorterPromptBacklog)
{
    TargetPool pool = makePool(2, 8);
    pool.started(0, makeDemand(6000), start);
    LONGS_EQUAL(1, pool.choose(makeDemand(600), {}, start)->target);
}

// Guards against engines of different speed that get equal shares of a burst, so that requests wait at the slow one.
TEST(TargetPool, PrefersTargetMeasuredAsFaster)
{
    TargetPool pool = makePool(2, 64);
    for (int i = 0; i < 30; ++i) {
        for (TargetPool::Index index : { 0U, 1U }) {
            const Duration factor = index == 0 ? 1ms : 5ms;
            pool.started(index, makeDemand(1000), start);
            pool.firstEvent(index, 1000, 1000, 20 * factor, start);
            pool.eventGap(index, 10 * factor, start);
            pool.ended(index, 0, TargetOutcome::Answered, 100 * factor, start);
        }
    }
    std::array<int, 2> chosen {};
    for (int i = 0; i < 40; ++i) {
        const auto choice = pool.choose(makeDemand(1000), {}, start);
        ++chosen.at(choice->target);
        pool.started(choice->target, makeDemand(1000), start);
    }
    CHECK(chosen[0] > 2 * chosen[1]);
}

// Guards against requests to a target that is leaving, was already tried for the request, or just refused a connection.
TEST(TargetPool, SkipsUnusableTargets)
{
    TargetPool pool = makePool(3, 4);
    pool.markLeaving("t0");
    const TargetPool::Index tried = 1;
    LONGS_EQUAL(2, pool.choose(makeDemand(1), { &tried, 1 }, start)->target);
    completeRequest(pool, 2, makeDemand(1), TargetOutcome::Unreachable, start);
    CHECK_FALSE(pool.choose(makeDemand(1), { &tried, 1 }, start).has_value());
}

// Guards against a request that must not be repeated being the first one after a failure of the target, where it may be lost.
TEST(TargetPool, ProbesFailedTargetOnlyWithRepeatableRequests)
{
    TargetPool pool = makePool(1, 4);
    completeRequest(pool, 0, makeDemand(1), TargetOutcome::Broken, start);
    const TimePoint later = start + 2s; // probation would end without a probe 4 s after the pause
    CHECK_FALSE(pool.choose(makeDemand(1), {}, later).has_value());
    Demand repeatable = makeDemand(1);
    repeatable.repeatable = true;
    CHECK(pool.choose(repeatable, {}, later).has_value());
    completeRequest(pool, 0, repeatable, TargetOutcome::Answered, later);
    CHECK(pool.choose(makeDemand(1), {}, later).has_value());
}

// Guards against a target that stays in use while it fails half of its requests but passes its health check, and against pausing all
// targets when all of them fail.
TEST(TargetPool, PausesFailingTargetButNotAllTargets)
{
    TargetPool oneFailing = makePool(4, 4);
    TargetPool allFailing = makePool(4, 4);
    for (int i = 0; i < 8; ++i) {
        completeRequest(oneFailing, 0, makeDemand(1), i % 2 == 0 ? TargetOutcome::Failed : TargetOutcome::Answered, start);
        for (TargetPool::Index index = 0; index < 4; ++index)
            completeRequest(allFailing, index, makeDemand(1), TargetOutcome::Failed, start);
    }
    for (int i = 0; i < 20; ++i)
        CHECK(oneFailing.choose(makeDemand(1), {}, start)->target != 0);
    CHECK(allFailing.choose(makeDemand(1), {}, start).has_value());
}

// Guards against new requests for a target that stopped sending bytes while requests are in flight.
TEST(TargetPool, SkipsSilentTarget)
{
    TargetPool pool = makePool(1, 4);
    pool.started(0, makeDemand(1), start);
    CHECK(pool.choose(makeDemand(1), {}, start + 600ms).has_value());
    CHECK_FALSE(pool.choose(makeDemand(1), {}, start + 800ms).has_value());
    pool.progress(0, start + 900ms);
    CHECK(pool.choose(makeDemand(1), {}, start + 900ms).has_value());
}

// Guards against a prompt that is processed again although a target with free slots has it in its cache.
TEST(TargetPool, PrefersTargetThatCachedThePrompt)
{
    TargetPool pool = makePool(4, 16);
    const PromptPart part { 42, 6000 };
    Demand demand = makeDemand(6000);
    demand.parts = { &part, 1 };
    pool.recordCachedPrompt(3, demand.parts, start);
    pool.started(3, makeDemand(100), start); // a small load does not outweigh the cached prompt
    LONGS_EQUAL(3, pool.choose(demand, {}, start)->target);
    CHECK_TEXT(pool.choose(demand, {}, start + 20s)->target != 3, "the cached prompt has expired");
}

// Guards against a restarted target that stays paused for the failures of its previous process, which had the same id.
TEST(TargetPool, RestartClearsFailureHistory)
{
    TargetPool pool = makePool(1, 4);
    completeRequest(pool, 0, makeDemand(1), TargetOutcome::Broken, start);
    TargetInfo restartedTarget = makeTarget("t0", 4);
    restartedTarget.startedUnixMs = 5;
    pool.upsert(restartedTarget, start);
    CHECK(pool.choose(makeDemand(1), {}, start).has_value());
}

// Guards against targets that fail a part of their requests and get a full share again after each short pause, though others have
// capacity. In a recorded day, six of eight engines failed 0.4 of their requests for 4 s and got as many requests as the two healthy
// ones. Half of the targets fail here, the largest share that may be paused.
TEST(TargetPool, AvoidsPartlyFailingTargetsUntilTheyRecover)
{
    TargetPool pool = makePool(6, 8);
    std::mt19937_64 generator(5);
    int failures = 0;
    TimePoint now = start;
    struct SentRequest {
        TimePoint endsAt;
        TargetPool::Index target;
        bool fails;
    };
    std::vector<SentRequest> inFlight;
    const auto runLoad = [&](Duration span, unsigned failurePercent) { // 20 of 48 slots are busy; half of the requests are repeatable
        std::array<int, 6> sent {};
        for (const TimePoint end = now + span; now < end; now += 5ms) {
            std::erase_if(inFlight, [&](const SentRequest& item) {
                if (item.endsAt > now)
                    return false;
                pool.ended(item.target, 600, item.fails ? TargetOutcome::Failed : TargetOutcome::Answered, 100ms, now);
                return true;
            });
            Demand demand = makeDemand(600);
            demand.repeatable = generator() % 2 == 0;
            const auto choice = pool.choose(demand, {}, now);
            CHECK(choice.has_value());
            ++sent[choice->target];
            const bool fails = choice->target < 3 && generator() % 100 < failurePercent;
            failures += fails ? 1 : 0;
            pool.started(choice->target, demand, now);
            inFlight.push_back({ now + 100ms, choice->target, fails });
        }
        return sent;
    };
    runLoad(10s, 40);
    CHECK_TEXT(failures <= 2000 * 0.05, std::to_string(failures).c_str()); // a quarter of what an even split would lose
    runLoad(10s, 0);
    const auto sent = runLoad(5s, 0);
    CHECK_TEXT(sent[0] + sent[1] + sent[2] >= 1000 * 0.25, "recovered targets are used again");
}

// Guards against a paused target that is never tried again because no request is repeatable.
TEST(TargetPool, ProbationEndsWithoutRepeatableRequests)
{
    TargetPool pool = makePool(1, 2);
    completeRequest(pool, 0, makeDemand(100), TargetOutcome::Broken, start);
    CHECK_FALSE(pool.choose(makeDemand(100), {}, start + 1s).has_value());
    CHECK(pool.choose(makeDemand(100), {}, start + 6s).has_value());
}

// Guards against a healthy target that counts as stalled while it processes long prompts. This cancelled requests of thousands of tokens
// after 0.7 s; other targets processed them again, which made the queue longer.
TEST(TargetPool, LongPromptExtendsAllowedSilence)
{
    TargetPool pool = makePool(1, 8);
    pool.started(0, makeDemand(60'000), start); // takes 1 s at 60 tokens/ms
    CHECK_FALSE(pool.isStalled(0, start + 2s));
    CHECK(pool.choose(makeDemand(1), {}, start + 2s).has_value());
    CHECK(pool.isStalled(0, start + 4s));
}

// Guards against a target that announced its leave and is used again because its entry in the store still says that it is ready.
TEST(TargetPool, AnnouncedLeaveOverridesStoreEntry)
{
    TargetPool pool = makePool(2, 4);
    pool.onLeaveAnnounced(TargetPool::Index { 0 });
    pool.upsert(makeTarget("t0", 4), start + 1s);
    LONGS_EQUAL(1, pool.choose(makeDemand(1), {}, start + 1s)->target);
    CHECK((pool.leavingTargets() == std::vector<LeavingTarget> { { nameHash("t0"), 0 } }));
    TargetInfo restartedTarget = makeTarget("t0", 4);
    restartedTarget.startedUnixMs = 7;
    pool.upsert(restartedTarget, start + 2s);
    CHECK_FALSE(pool.isLeaving(0));
}

// Guards against requests to a target during the pause that it requested, and against an unlimited pause.
TEST(TargetPool, RespectsRequestedPauseUpToLimit)
{
    TargetPool pool = makePool(1, 4);
    pool.pauseFor(0, 2s, start);
    CHECK_FALSE(pool.choose(makeDemand(1), {}, start + 1900ms).has_value());
    CHECK(pool.choose(makeDemand(1), {}, start + 2s).has_value());
    pool.pauseFor(0, 24h, start);
    CHECK(pool.choose(makeDemand(1), {}, start + 61s).has_value());
}

// Guards against a sound target that is taken from all nodes, since one of them can't reach it.
TEST(TargetPool, LossesOfOneNodePauseATargetThatAnswersOthersForThatNodeOnly)
{
    constexpr uint64_t first = 7;
    constexpr uint64_t second = 8;
    RunSample answered;
    answered.outcome = TargetOutcome::Answered;
    RunSample lost;
    lost.outcome = TargetOutcome::Unreachable;
    TargetPool pool = makePool(1, 4);
    pool.applySample(0, answered, first, start);
    pool.applySample(0, lost, second, start + 100ms);
    CHECK(pool.choose(makeDemand(1), {}, start + 100ms).has_value());
    CHECK(pool.takesWork(0, start + 100ms));
    completeRequest(pool, 0, makeDemand(1), TargetOutcome::Unreachable, start + 101ms); // the second node that loses one
    CHECK_FALSE(pool.choose(makeDemand(1), {}, start + 101ms).has_value());

    TargetPool own = makePool(1, 4);
    own.applySample(0, answered, first, start);
    completeRequest(own, 0, makeDemand(1), TargetOutcome::Unreachable, start + 100ms);
    CHECK(own.choose(makeDemand(1), {}, start + 100ms).has_value()); // for others' requests
    CHECK_FALSE(own.takesWork(0, start + 100ms));
    LONGS_EQUAL(1, own.unavailableTargets("", start + 100ms).size());
}

// Guards against a target that has ended and stays in use, since it answered lately.
TEST(TargetPool, ALossWithoutLateAnswersToOthersPausesATargetForAllNodes)
{
    RunSample answered;
    answered.outcome = TargetOutcome::Answered;
    RunSample lost;
    lost.outcome = TargetOutcome::Broken;
    TargetPool pool = makePool(1, 4);
    pool.applySample(0, answered, 7, start);
    pool.applySample(0, lost, 7, start + 100ms); // the only node that knows the target
    CHECK_FALSE(pool.choose(makeDemand(1), {}, start + 100ms).has_value());
    TargetPool quiet = makePool(1, 4);
    quiet.applySample(0, answered, 7, start);
    quiet.applySample(0, lost, 8, start + 2s);
    CHECK_FALSE(quiet.choose(makeDemand(1), {}, start + 2s).has_value());
}

// Guards against callers' requests that are spent on a path that is still cut, and against a target that stays out of use after the cut.
TEST(TargetPool, AConnectionShowsWhetherATargetIsWithinReachAgain)
{
    TargetPool pool = makePool(2, 4);
    completeRequest(pool, 0, makeDemand(1), TargetOutcome::Unreachable, start);
    CHECK(pool.takeDueProbes(start + 100ms).empty());
    LONGS_EQUAL(1, pool.takeDueProbes(start + 400ms).size());
    CHECK(pool.takeDueProbes(start + 500ms).empty()); // one is under way
    pool.probed(0, false, start + 700ms);
    CHECK_FALSE(pool.takesWork(0, start + 1200ms));
    CHECK(pool.takeDueProbes(start + 800ms).empty());
    LONGS_EQUAL(1, pool.takeDueProbes(start + 2s).size());
    CHECK_FALSE(pool.takesWork(0, start + 2s));
    pool.probed(0, true, start + 2s);
    CHECK(pool.takesWork(0, start + 2s));
    CHECK(pool.unavailableTargets("", start + 2s).empty());
}

namespace {

// One target in each of the domains "d0", "d1" and so on.
TargetPool makeDomainPool(size_t domains, uint32_t slots)
{
    TargetPool pool({}, true, seededRandom(1));
    for (size_t i = 0; i < domains; ++i) {
        TargetInfo info = makeTarget("t" + std::to_string(i), slots);
        info.failureDomain = "d" + std::to_string(i);
        pool.upsert(info, start);
    }
    return pool;
}

} // namespace

// Load: a third of the targets is evacuated at once. Guards against requests that still go there, and against room that admission counts
// and nobody may use.
TEST(TargetPool, EvacuatedTargetsGetNothingAndCountForNothing)
{
    TargetPool pool = makeDomainPool(3, 4);
    pool.started(0, makeDemand(10), start);
    pool.setEvacuated({ "d0", "nowhere", "" });
    CHECK(pool.isEvacuated(0) && !pool.isEvacuated(1));
    CHECK_FALSE(pool.takesWork(0, start));
    for (int i = 0; i < 40; ++i)
        CHECK(pool.choose(makeDemand(10), {}, start)->target != 0);
    CHECK((pool.domains() == std::vector<std::string> { "d1", "d2" }));
    CHECK((pool.evacuatedDomains() == std::vector<std::string> { "d0" }));
    LONGS_EQUAL(8, pool.room("", start).freeSlots);
    LONGS_EQUAL(0, pool.room("d0", start).freeSlots);
    DOUBLES_EQUAL_TEXT(0, pool.occupancy("", start), 0, "what runs at evacuated targets takes no room of the others");
    DOUBLES_EQUAL(1, pool.occupancy("d0", start), 0);
    LONGS_EQUAL(2, pool.usableCount());
    LONGS_EQUAL(1, pool.evacuatedCount());
    CHECK_TEXT(pool.unavailableTargets("", start) == std::vector<uint64_t> { nameHash("t0") }, "a home that does not know it yet is told");
    pool.ended(0, 10, TargetOutcome::Answered, 10ms, start);
    pool.setEvacuated({});
    CHECK(pool.takesWork(0, start));
    LONGS_EQUAL(12, pool.room("", start).freeSlots);
}

// Guards against a target that joins an evacuated domain, or moves to it, and gets requests.
TEST(TargetPool, TargetThatJoinsAnEvacuatedDomainIsEvacuated)
{
    TargetPool pool = makeDomainPool(2, 4);
    pool.setEvacuated({ "d0" });
    TargetInfo info = makeTarget("new", 4);
    info.failureDomain = "d0";
    CHECK(pool.isEvacuated(pool.upsert(info, start)));
    info.failureDomain = "d1";
    CHECK_FALSE(pool.isEvacuated(pool.upsert(info, start)));
}

// Guards against targets that are regrouped by an evacuation, so that nodes which know it and others ask different homes.
TEST(TargetPool, EvacuationLeavesTheGroupingAsItIs)
{
    TargetPool pool({}, true, seededRandom(1));
    for (size_t i = 0; i < 30; ++i) {
        TargetInfo info = makeTarget("t" + std::to_string(i), 4);
        info.failureDomain = i < 16 ? "d0" : "d1";
        pool.upsert(info, start);
    }
    CHECK(pool.isGrouped());
    pool.setEvacuated({ "d0", "d1" });
    pool.upsert(pool.info(0), start);
    CHECK(pool.isGrouped());
    CHECK_FALSE(pool.choose(makeDemand(10), {}, start).has_value());
}

// Guards against nodes that each load another target of a new version, so that none has the load it will have after the switch, and
// against a failing target that is chosen for it.
TEST(TargetPool, NodesChooseTheSameTargetToLoadAndNoneThatIsPaused)
{
    TargetPool pool({}, false, seededRandom(1));
    TargetPool reversed({}, false, seededRandom(2));
    for (int i = 0; i < 4; ++i) {
        TargetInfo info = makeTarget("t" + std::to_string(i), 2);
        info.version = i == 3 ? "v1" : "v2";
        pool.upsert(info, start);
        info = makeTarget("t" + std::to_string(3 - i), 2);
        info.version = i == 0 ? "v1" : "v2";
        reversed.upsert(info, start);
    }
    const auto loadedIn = [](const TargetPool& nodes) {
        const auto loaded = nodes.loadedTargets("v2", start);
        DOUBLES_EQUAL(3, loaded.targetsPerLoaded, 0);
        LONGS_EQUAL(2, loaded.notLoaded.size());
        for (const char* id : { "t0", "t1", "t2" }) {
            if (std::find(loaded.notLoaded.begin(), loaded.notLoaded.end(), nameHash(id)) == loaded.notLoaded.end())
                return std::string(id);
        }
        return std::string();
    };
    const std::string chosen = loadedIn(pool);
    CHECK_EQUAL(chosen, loadedIn(reversed));
    const auto index = pool.find(nameHash(chosen));
    for (int i = 0; i < 20; ++i)
        completeRequest(pool, *index, makeDemand(1), TargetOutcome::Failed, start);
    const auto next = pool.loadedTargets("v2", start);
    DOUBLES_EQUAL(2, next.targetsPerLoaded, 0);
    CHECK(std::find(next.notLoaded.begin(), next.notLoaded.end(), nameHash(chosen)) != next.notLoaded.end());
    DOUBLES_EQUAL(0, pool.loadedTargets("v9", start).targetsPerLoaded, 0);
}
