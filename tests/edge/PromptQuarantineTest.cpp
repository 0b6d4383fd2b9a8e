// Tests of the quarantine of prompt parts: one node by itself, and several nodes in virtual time that tell each other what they see.
#include "edge/QuarantineRecord.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <random>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr PartKey common = 1; // first part of many prompts
constexpr PartKey crashing = 2;
constexpr PartKey other = 3;

// A stream with these parts is lost at the target. Each prompt is different.
struct Losses {
    PromptQuarantine& quarantine;
    uint64_t prompts = 100;
    void add(uint64_t target, std::vector<PartKey> parts, TimePoint now) { this->quarantine.onLost(target, ++this->prompts, parts, now); }
};

bool isIn(const PromptQuarantine& quarantine, PartKey part, TimePoint now) { return quarantine.isBlocked(std::vector { part }, now); }

} // namespace

TEST_GROUP(PromptQuarantine)
{
    TimePoint now = TimePoint(1h);
    PromptQuarantine quarantine { {} };
    Losses losses { this->quarantine };
    void began(std::vector<PartKey> parts) { this->quarantine.onBegan(parts, this->now); }
    void crash(std::vector<PartKey> parts)
    {
        this->losses.add(++this->target, std::move(parts), this->now);
        this->now += 1s;
        this->quarantine.decide(this->now);
    }
    uint64_t target = 0;
};

// Guards against refusing all requests that share a part with those that crash targets.
TEST(PromptQuarantine, SharedPartsOfCrashingPromptsStayInUse)
{
    this->began({ common });
    for (int i = 0; i < 3; ++i)
        this->crash({ common, crashing });
    CHECK(isIn(this->quarantine, crashing, this->now));
    CHECK_FALSE(isIn(this->quarantine, common, this->now));
    for (int i = 0; i < 10; ++i)
        this->crash({ common, crashing });
    CHECK_FALSE(isIn(this->quarantine, common, this->now));
}

// Guards against the same mistake where no node knows the shared part yet, and a bystander with it was lost once more.
TEST(PromptQuarantine, MostSpecificPartIsSuspectedFirst)
{
    this->crash({ common });
    for (int i = 0; i < 3; ++i)
        this->crash({ common, crashing });
    CHECK(isIn(this->quarantine, crashing, this->now));
    CHECK_FALSE(isIn(this->quarantine, common, this->now));
}

// Guards against a part being missed since it is also the only shared one.
TEST(PromptQuarantine, FirstPartCanBeTheCrashingOne)
{
    for (PartKey different = 10; different < 13; ++different)
        this->crash({ crashing, different });
    CHECK(isIn(this->quarantine, crashing, this->now));
    CHECK_EQUAL(1, this->quarantine.size());
}

// Guards against blaming the parts of whatever a common cause ends at one moment, or one request that is repeated again and again.
TEST(PromptQuarantine, OutsideCausesAndRepeatsQuarantineNothing)
{
    for (uint64_t failed = 1; failed <= 40; ++failed)
        this->losses.add(failed, { other }, this->now + failed * 5ms);
    for (int i = 0; i < 10; ++i) {
        const std::vector<PartKey> parts { crashing };
        this->quarantine.onLost(++this->target, 7, parts, this->now);
        this->now += 1s;
        this->quarantine.decide(this->now);
    }
    CHECK_EQUAL(0, this->quarantine.size());
}

// Guards against blaming what a single faulty target breaks off.
TEST(PromptQuarantine, OneTargetAloneQuarantinesNothing)
{
    for (int i = 0; i < 10; ++i) {
        this->losses.add(1, { crashing }, this->now);
        this->now += 2s;
        this->quarantine.decide(this->now);
    }
    CHECK_EQUAL(0, this->quarantine.size());
}

// Guards against blaming a part whose streams are sometimes lost and otherwise delivered.
TEST(PromptQuarantine, DeliveredEventClearsAPart)
{
    for (int i = 0; i < 30; ++i) {
        this->crash({ other });
        if (i % 2 == 1)
            this->began({ other });
    }
    CHECK_EQUAL(0, this->quarantine.size());
}

// Guards against a sound part that is quarantined after many crashes of others, between which its streams deliver events.
TEST(PromptQuarantine, SoundPartIsNotQuarantinedByCrashesOfOthers)
{
    this->began({ other });
    for (int i = 0; i < 30; ++i) {
        this->crash({ other });
        CHECK_EQUAL(0, this->quarantine.size());
        this->began({ other });
        this->now += 100ms;
    }
}

// Guards against a part that becomes fatal after an update of the targets, and was fine before.
TEST(PromptQuarantine, PartThatWorkedBeforeNeedsMoreCrashes)
{
    this->began({ other });
    this->now += 1s;
    for (int i = 0; i < 5; ++i)
        this->crash({ other });
    CHECK_FALSE(isIn(this->quarantine, other, this->now));
    this->crash({ other });
    CHECK(isIn(this->quarantine, other, this->now));
}

// Guards against a stream that was under way when its part was quarantined, delivers, and does not lift the quarantine.
TEST(PromptQuarantine, EventReleasesAPart)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ crashing });
    CHECK(isIn(this->quarantine, crashing, this->now));
    this->began({ crashing });
    CHECK_FALSE(isIn(this->quarantine, crashing, this->now));
}

// Guards against a quarantine that never ends, and against one whose end lets all requests through at once.
TEST(PromptQuarantine, OneRequestProbesAfterTheQuarantine)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ crashing });
    const std::vector<PartKey> parts { crashing };
    CHECK(this->quarantine.retryAfter(parts, this->now) > 9min);
    this->now += 9min;
    CHECK(this->quarantine.blocks(parts, this->now));
    this->now += 1min;
    this->quarantine.setProbing(false);
    CHECK_TEXT(this->quarantine.blocks(parts, this->now), "another node probes");
    this->quarantine.setProbing(true);
    CHECK_FALSE(this->quarantine.blocks(parts, this->now));
    CHECK_FALSE_TEXT(this->quarantine.isBlocked(parts, this->now), "the probe is sent");
    CHECK_TEXT(this->quarantine.blocks(parts, this->now + 1s), "one probe at a time");
    this->crash({ crashing });
    CHECK_TEXT(this->quarantine.blocks(parts, this->now + 9min), "the probe has crashed a target");
}

// Guards against parts that no request holds any more and that nodes go on telling each other for ever.
TEST(PromptQuarantine, PartWithoutRequestsIsForgotten)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ crashing });
    PromptQuarantine peer { {} };
    this->now += 19min;
    peer.onPeerReport(this->quarantine.report(this->now), this->now);
    CHECK_EQUAL(1, peer.size());
    this->now += 2min;
    this->quarantine.onPeerReport(peer.report(this->now), this->now);
    this->quarantine.decide(this->now);
    peer.decide(this->now);
    this->quarantine.onPeerReport(peer.report(this->now), this->now);
    CHECK_EQUAL(0, this->quarantine.size());
    CHECK_EQUAL(0, peer.size());
}

// Guards against repeats that crash a target each while a part is only suspected.
TEST(PromptQuarantine, SuspectsAreKnownAfterTheFirstCrash)
{
    const std::vector<PartKey> parts { common, crashing };
    this->began({ common });
    this->quarantine.onLost(1, 7, parts, this->now);
    CHECK_FALSE_TEXT(this->quarantine.isSuspect(7, parts), "one crash alone may be anything");
    this->quarantine.onLost(2, 8, parts, this->now);
    CHECK(this->quarantine.isSuspect(7, parts));
    CHECK_FALSE_TEXT(this->quarantine.isSuspect(9, std::vector<PartKey> { common }), "it has delivered events");
}

namespace {

// Nodes that hear each other's reports late or not at all. Targets end on the crashing part and take bystanders with them.
struct QuarantineWorld {
    QuarantineWorld(size_t nodeCount, uint64_t seed, double lossProbability)
        : generator(seed)
        , lossProbability(lossProbability)
    {
        QuarantineSettings settings;
        for (size_t i = 0; i < nodeCount; ++i) {
            this->nodes.emplace_back(settings);
            this->nodes.back().setSettleTime(2 * this->beaconInterval + 100ms);
        }
    }

    void run(Duration span, double crashingShare)
    {
        const TimePoint end = this->now + span;
        for (; this->now < end; this->now += 10ms) {
            this->requests(crashingShare);
            if ((this->now.time_since_epoch() % this->beaconInterval) == 0us)
                this->exchangeReports();
            for (PromptQuarantine& node : this->nodes)
                node.decide(this->now);
        }
    }

    void requests(double crashingShare)
    {
        const size_t sender = this->pick(this->nodes.size());
        const PartKey first = 1 + this->pick(3);
        const bool isCrashing = this->uniform(this->generator) < crashingShare;
        std::vector<PartKey> parts { first };
        if (isCrashing)
            parts.push_back(crashingPart);
        if (this->nodes[sender].blocks(parts, this->now)) {
            this->refusedSound += isCrashing ? 0 : 1;
            return;
        }
        if (!isCrashing)
            return this->nodes[sender].onBegan(parts, this->now);
        this->crashesAt.push_back(this->now);
        const uint64_t target = ++this->lastTarget;
        this->nodes[sender].onLost(target, ++this->lastPrompt, parts, this->now);
        for (size_t bystanders = this->pick(6); bystanders > 0; --bystanders)
            this->nodes[this->pick(this->nodes.size())].onLost(
                target, ++this->lastPrompt, std::vector<PartKey> { 1 + this->pick(40) }, this->now);
    }

    void exchangeReports()
    {
        for (size_t from = 0; from < this->nodes.size(); ++from) {
            const QuarantineReport report = this->nodes[from].report(this->now);
            for (size_t to = 0; to < this->nodes.size(); ++to) {
                if (to != from && this->uniform(this->generator) >= this->lossProbability)
                    this->nodes[to].onPeerReport(report, this->now + 1ms);
            }
        }
    }

    uint64_t pick(uint64_t bound) { return this->generator() % bound; }

    static constexpr PartKey crashingPart = 1000;
    std::mt19937_64 generator;
    std::uniform_real_distribution<double> uniform { 0, 1 };
    double lossProbability;
    Duration beaconInterval = 100ms;
    std::vector<PromptQuarantine> nodes;
    TimePoint now = TimePoint(1h);
    uint64_t lastTarget = 0;
    uint64_t lastPrompt = 0;
    size_t refusedSound = 0;
    std::vector<TimePoint> crashesAt;
};

} // namespace

// Guards against nodes of which each sees too few crashes, and against sound requests being refused for what they share.
TEST(PromptQuarantine, ManyNodesFindThePartTogether)
{
    constexpr Duration contact = 3s;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        const size_t nodeCount = seed % 2 == 0 ? 4 : 60;
        QuarantineWorld world(nodeCount, seed, seed % 4 < 2 ? 0 : 0.3);
        world.run(2s, 0);
        world.run(20s, 0.02 + 0.02 * static_cast<double>(seed % 5));
        const auto text = "seed " + std::to_string(seed) + ", " + std::to_string(world.crashesAt.size()) + " crashes, "
            + std::to_string(world.refusedSound) + " sound requests refused";
        CHECK_TEXT(world.crashesAt.size() >= 3, text.c_str());
        const TimePoint bound = world.crashesAt.size() >= 5 ? world.crashesAt[4] + contact : world.now;
        const auto late = std::count_if(world.crashesAt.begin(), world.crashesAt.end(), [&](TimePoint at) { return at > bound; });
        CHECK_TEXT(late <= 3, text.c_str());
        CHECK_TEXT(world.refusedSound == 0, text.c_str());
    }
}

// Guards against a node that starts later, or starts again, and sends the part to targets once more.
TEST(PromptQuarantine, StartedNodeLearnsOfTheQuarantineFromAPeer)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ crashing });
    PromptQuarantine started { {} };
    started.onPeerReport(this->quarantine.report(this->now + 5min), this->now + 5min);
    CHECK(isIn(started, crashing, this->now + 5min));
    CHECK(started.retryAfter(std::vector<PartKey> { crashing }, this->now + 5min) < 6min);
}

// Guards against two nodes that keep a part in quarantine for each other after an event has released it.
TEST(PromptQuarantine, ReleaseReachesPeersAndStays)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ crashing });
    PromptQuarantine peer { {} };
    peer.onPeerReport(this->quarantine.report(this->now), this->now);
    const QuarantineReport late = peer.report(this->now);
    this->began({ crashing });
    this->quarantine.onPeerReport(late, this->now + 1ms);
    CHECK_FALSE_TEXT(isIn(this->quarantine, crashing, this->now), "a report of the time before the release brings it back");
    this->now += 5s;
    peer.onPeerReport(this->quarantine.report(this->now), this->now);
    CHECK_FALSE(isIn(peer, crashing, this->now));
}

// Guards against entries that are lost with the store's newest changes, or were never written since the store was away.
TEST(PromptQuarantine, WriterRestoresMissingEntries)
{
    bool isWriter = false;
    std::vector<PartAge> written;
    std::vector<PartKey> removed;
    QuarantineRecord record(this->quarantine,
        { [&](TimePoint) { return isWriter; }, [&](const PartAge& part) { written.push_back(part); },
            [&](PartKey part) { removed.push_back(part); } });
    for (int i = 0; i < 3; ++i)
        this->crash({ crashing });
    record.onListed({}, this->now);
    CHECK_TEXT(written.empty(), "another node writes");
    isWriter = true;
    record.onListed({}, this->now + 1min);
    record.onListed({}, this->now + 1min);
    CHECK_EQUAL_TEXT(1, written.size(), "the first call is still under way");
    CHECK(written.front().part == crashing && written.front().age == 1min);
    record.written(crashing);
    record.onListed({}, this->now + 1min);
    CHECK_EQUAL(2, written.size());
    record.written(crashing);
    record.onListed(std::vector<PartAge> { { crashing, 1min } }, this->now + 1min);
    CHECK_EQUAL_TEXT(2, written.size(), "it is there");
    this->began({ crashing });
    for (const auto& change : this->quarantine.decide(this->now))
        record.onChange(change, this->now);
    CHECK(removed == std::vector<PartKey> { crashing });
}

// Guards against a node that knows a quarantine only from the store and lets a request through.
TEST(PromptQuarantine, ListedPartsAreBlocked)
{
    QuarantineRecord record(this->quarantine, { [](TimePoint) { return false; }, [](const PartAge&) {}, [](PartKey) {} });
    record.onListed(std::vector<PartAge> { { crashing, 4min } }, this->now);
    CHECK(isIn(this->quarantine, crashing, this->now));
}

namespace {

// Requests with the crashing part come in sessions, whose requests share further parts.
struct Sessions {
    size_t count = 6;
    size_t size = 4;            // requests of a session
    size_t place = 1;           // of the crashing part in the prompt; the common part and the session's parts are around it
    bool areSideBySide = false; // otherwise one after the other
    bool haveGroups = false;    // each two sessions share one more part
    bool holdsBegun = false;    // the crashing part has delivered events before
};

struct SessionResult {
    size_t crashes = 0;
    size_t refusedSound = 0; // sessions whose requests without the part are refused in the end
    bool isFound = false;
    std::string text;
};

constexpr PartKey firstSession = 1000;
constexpr PartKey firstGroup = 2000;

std::vector<PartKey> partsOf(size_t session, const Sessions& sessions, bool isCrashing)
{
    std::vector<PartKey> parts { common };
    if (sessions.haveGroups)
        parts.push_back(firstGroup + session / 2);
    parts.push_back(firstSession + session);
    if (isCrashing)
        parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(std::min(sessions.place, parts.size())), crashing);
    return parts;
}

SessionResult playSessions(const Sessions& sessions)
{
    constexpr Duration between = 1500ms;
    PromptQuarantine quarantine { {} };
    quarantine.setSettleTime(200ms);
    Losses losses { quarantine };
    TimePoint now = TimePoint(1h);
    SessionResult result;
    if (sessions.holdsBegun)
        quarantine.onBegan(std::vector { crashing }, now);
    const auto pass = [&](Duration time) {
        for (const TimePoint end = now + time; now < end; now += 100ms) {
            quarantine.onBegan(std::vector { common }, now); // sound requests of other callers
            quarantine.decide(now);
        }
    };
    for (size_t i = 0; i < sessions.count * sessions.size; ++i) {
        const size_t session = sessions.areSideBySide ? i % sessions.count : i / sessions.size;
        const std::vector<PartKey> parts = partsOf(session, sessions, true);
        if (!quarantine.blocks(parts, now))
            losses.add(++result.crashes, parts, now);
        pass(between);
    }
    for (size_t session = 0; session < sessions.count; ++session)
        result.refusedSound += quarantine.isBlocked(partsOf(session, sessions, false), now) ? 1 : 0;
    result.isFound = isIn(quarantine, crashing, now);
    result.text = std::to_string(sessions.count) + " sessions of " + std::to_string(sessions.size) + ", part at place "
        + std::to_string(sessions.place) + (sessions.areSideBySide ? ", side by side" : "") + (sessions.haveGroups ? ", in groups" : "")
        + (sessions.holdsBegun ? ", was fine before" : "") + ": " + std::to_string(result.crashes) + " crashes, "
        + std::to_string(result.refusedSound) + " sessions refused";
    return result;
}

constexpr size_t crashesBeforeBound = 5; // the platform's rule counts from the fifth crash
constexpr size_t maxAfterBound = 3;

} // namespace

// Guards against parts of sessions that are quarantined one after the other in the place of the part that all of them share: each wrong
// verdict explains the crashes that would show the culprit.
TEST(PromptQuarantine, CulpritOfManySessionsIsFound)
{
    for (const size_t size : { 2, 3, 4, 8 }) {
        for (const size_t place : { 0, 1, 2 }) {
            for (const bool areSideBySide : { false, true }) {
                for (const bool haveGroups : { false, true }) {
                    const SessionResult result
                        = playSessions({ .size = size, .place = place, .areSideBySide = areSideBySide, .haveGroups = haveGroups });
                    CHECK_TEXT(result.isFound, result.text.c_str());
                    CHECK_TEXT(result.crashes <= crashesBeforeBound + maxAfterBound, result.text.c_str());
                }
            }
        }
    }
}

// Guards against sessions that stay refused after the culprit was found, though nothing speaks against their parts any more.
TEST(PromptQuarantine, PartsOfSessionsAreInUseAgainOnceTheCulpritIsFound)
{
    for (const size_t size : { 2, 3, 4, 8 }) {
        for (const bool areSideBySide : { false, true }) {
            const SessionResult result = playSessions({ .size = size, .areSideBySide = areSideBySide });
            CHECK_EQUAL_TEXT(0, result.refusedSound, result.text.c_str());
        }
    }
}

// Guards against the same where the part crashes targets since an update of them, and delivered events before.
TEST(PromptQuarantine, CulpritThatWorkedBeforeIsFoundBehindSessions)
{
    for (const size_t size : { 2, 4, 8 }) {
        const SessionResult result = playSessions({ .size = size, .holdsBegun = true });
        CHECK_TEXT(result.isFound, result.text.c_str());
        CHECK_TEXT(result.crashes <= crashesBeforeBound + maxAfterBound, result.text.c_str());
        CHECK_EQUAL_TEXT(0, result.refusedSound, result.text.c_str());
    }
}

// Guards against a withdrawn verdict that late reports or the store's list bring back, or that stays in the store's list.
TEST(PromptQuarantine, WithdrawnVerdictStaysWithdrawn)
{
    constexpr PartKey session = firstSession;
    for (int i = 0; i < 3; ++i)
        this->crash({ crashing, session });
    CHECK_TEXT(isIn(this->quarantine, session, this->now), "the most specific part comes first");
    const QuarantineReport late = this->quarantine.report(this->now);
    PromptQuarantine started { {} };
    started.onPeerReport(late, this->now);
    std::vector<PartKey> removed;
    bool isWriter = false;
    QuarantineRecord record(
        this->quarantine, { [&](TimePoint) { return isWriter; }, [](const PartAge&) {}, [&](PartKey part) { removed.push_back(part); } });
    for (PartKey other = session + 1; other < session + 3; ++other) {
        this->losses.add(++this->target, { crashing, other }, this->now);
        this->now += 2s;
        for (const PromptQuarantine::Change& change : this->quarantine.decide(this->now)) {
            record.onChange(change, this->now);
            if (change.part != session)
                continue;
            CHECK(!change.isQuarantined && change.crashes == 3);
            CHECK(change.replacedBy == crashing && change.replacementCrashes == 5);
        }
    }
    CHECK(isIn(this->quarantine, crashing, this->now));
    CHECK_FALSE(isIn(this->quarantine, session, this->now));
    CHECK_TEXT(removed.empty(), "another node writes");
    this->quarantine.onPeerReport({ {}, {}, { { session, 5s } } }, this->now);
    CHECK_FALSE_TEXT(isIn(this->quarantine, session, this->now), "a report of before the withdrawal");
    isWriter = true;
    record.onListed(std::vector<PartAge> { { session, 5s } }, this->now);
    CHECK(removed == std::vector<PartKey> { session });
    started.onPeerReport(this->quarantine.report(this->now), this->now);
    CHECK_FALSE_TEXT(isIn(started, session, this->now), "a node without any evidence of its own");
    CHECK(isIn(started, crashing, this->now));
}

// Guards against nodes that keep the wrong verdict since they know fewer crashes, or hear of them late, twice or in another order.
TEST(PromptQuarantine, EveryNodeComesToTheSameVerdict)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 generator(seed);
        const size_t nodeCount = seed % 3 == 0 ? 33 : 4;
        std::deque<PromptQuarantine> nodes;
        for (size_t i = 0; i < nodeCount; ++i)
            nodes.emplace_back(QuarantineSettings {}).setSettleTime(400ms);
        TimePoint time = TimePoint(1h);
        uint64_t prompt = 0;
        std::vector<std::pair<TimePoint, std::pair<size_t, QuarantineReport>>> underWay;
        const auto pass = [&](Duration span) {
            for (const TimePoint end = time + span; time < end; time += 100ms) {
                for (PromptQuarantine& node : nodes) {
                    for (size_t to = 0; to < nodeCount; ++to) {
                        if (&nodes[to] != &node && generator() % 10 >= 3)
                            underWay.push_back({ time + 1ms * (generator() % 500), { to, node.report(time) } });
                    }
                }
                std::erase_if(underWay, [&](const auto& item) {
                    if (item.first <= time)
                        nodes[item.second.first].onPeerReport(item.second.second, time);
                    return item.first <= time;
                });
                for (PromptQuarantine& node : nodes) {
                    node.onBegan(std::vector { common }, time);
                    node.decide(time);
                }
            }
        };
        for (PartKey session = 0; session < 4; ++session) {
            for (int i = 0; i < 4; ++i) {
                const std::vector<PartKey> parts { common, crashing, firstSession + session };
                PromptQuarantine& node = nodes[generator() % nodeCount];
                ++prompt;
                if (!node.blocks(parts, time))
                    node.onLost(prompt, prompt, parts, time);
                pass(800ms);
            }
        }
        pass(4s);
        for (const PromptQuarantine& node : nodes) {
            CHECK_TEXT(isIn(node, crashing, time), ("seed " + std::to_string(seed)).c_str());
            CHECK_EQUAL_TEXT(1, node.size(), ("seed " + std::to_string(seed)).c_str());
        }
    }
}
