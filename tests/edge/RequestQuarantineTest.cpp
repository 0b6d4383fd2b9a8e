// Tests of the quarantine of whole requests: one node by itself, and up to 350 nodes in virtual time that tell each other what they see.
#include "scheduling/PromptQuarantine.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;

namespace {

constexpr RequestKey deadly = 0xdead;
constexpr RequestKey bystander = 0xb1;
constexpr PartKey common = 1;

bool isIn(const PromptQuarantine& quarantine, RequestKey request, TimePoint now) { return quarantine.isRequestBlocked(request, now); }

} // namespace

TEST_GROUP(RequestQuarantine)
{
    TimePoint now = TimePoint(1h);
    PromptQuarantine quarantine { {} };
    uint64_t target = 0;

    void crash(const std::vector<RequestKey>& requests, Duration pause = 1s)
    {
        ++this->target;
        for (const RequestKey request : requests)
            this->quarantine.onLost(this->target, request, std::vector { common }, this->now, request);
        this->now += pause;
        this->quarantine.decide(this->now);
    }
    bool isBlocked(RequestKey request) const { return isIn(this->quarantine, request, this->now); }
};

// Guards against a repeat that counts as nothing new, and against refusing what shares its prompt parts.
TEST(RequestQuarantine, ThirdCrashOfARequestBlocksItsRepeats)
{
    this->crash({ deadly });
    this->crash({ deadly });
    CHECK_FALSE(this->isBlocked(deadly));
    this->crash({ deadly });
    CHECK(this->isBlocked(deadly));
    CHECK_FALSE(this->isBlocked(bystander));
    CHECK_FALSE_TEXT(this->quarantine.isBlocked(std::vector { common }, this->now), "its part is in sound prompts too");
    CHECK(this->quarantine.blocks(std::vector { common }, this->now, deadly));
    CHECK_FALSE(this->quarantine.blocks(std::vector { common }, this->now, bystander));
    CHECK_EQUAL(1, this->quarantine.keptBack(deadly));
}

// Guards against a request of a plain service being missed since it states no parts.
TEST(RequestQuarantine, RequestWithoutPartsIsFound)
{
    for (uint64_t failed = 1; failed <= 3; ++failed) {
        this->quarantine.onLost(failed, 0, {}, this->now, deadly);
        this->now += 300ms;
        this->quarantine.decide(this->now);
    }
    CHECK(this->isBlocked(deadly));
}

// Guards against a health question or a poll, repeated with the same body by many clients, that is blamed for the crashes of others.
TEST(RequestQuarantine, RequestThatIsAnsweredBetweenCrashesIsSound)
{
    for (int i = 0; i < 20; ++i) {
        this->crash({ bystander }, 100ms);
        this->quarantine.onBegan({}, this->now, bystander);
        this->now += 100ms;
        this->quarantine.decide(this->now);
        this->crash({ bystander }, 100ms);
        CHECK_EQUAL(0, this->quarantine.size());
    }
}

// Guards against a bystander that was lost in each crash of another request and is refused before its answer can clear it.
TEST(RequestQuarantine, RivalOfACulpritHasTimeToBeAnswered)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ deadly, bystander }, 400ms);
    CHECK_EQUAL_TEXT(0, this->quarantine.size(), "either may be the culprit");
    this->quarantine.onBegan({}, this->now, bystander);
    this->quarantine.decide(this->now);
    CHECK(this->isBlocked(deadly));
    CHECK_FALSE(this->isBlocked(bystander));
}

// Guards against a culprit that is never blocked since another request was lost in all of its crashes.
TEST(RequestQuarantine, RivalsAreBlockedTogetherWhenNothingClearsOne)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ deadly, bystander }, 400ms);
    this->now += 2s;
    this->quarantine.decide(this->now);
    CHECK(this->isBlocked(deadly));
    CHECK(this->isBlocked(bystander));
    this->quarantine.onBegan({}, this->now, bystander);
    CHECK_FALSE_TEXT(this->isBlocked(bystander), "an answer ends a false verdict");
}

// Guards against blaming bystanders for the crashes of a request that is known already.
TEST(RequestQuarantine, CrashesOfAKnownCulpritBlameNothingElse)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ deadly });
    for (int i = 0; i < 10; ++i)
        this->crash({ deadly, bystander });
    CHECK_FALSE(this->isBlocked(bystander));
}

// Guards against lost connections that are taken for crashes: a proxy resets them, or an answer is lost, and the target serves on.
TEST(RequestQuarantine, LossesAtATargetThatGoesOnAnsweringAreNoCrashes)
{
    PromptQuarantine node { {}, [&](uint64_t) { return std::optional<TimePoint>(this->now); } };
    node.setSettleTime(240ms);
    for (uint64_t lost = 1; lost <= 10; ++lost) {
        node.onLost(lost, 0, {}, this->now, deadly);
        this->now += 300ms;
        node.decide(this->now);
    }
    CHECK_EQUAL(0, node.size());
}

// Guards against clearing a request by an answer that a crash may have ended, and against never clearing one whose answers all end so.
TEST(RequestQuarantine, AnswerThatEndsWithItsConnectionClearsOnlyIfItsTargetLives)
{
    for (const bool isAlive : { true, false }) {
        TimePoint lastByte {};
        PromptQuarantine node { {}, [&](uint64_t target) { return target == 50 ? std::optional<TimePoint>(lastByte) : std::nullopt; } };
        node.setSettleTime(240ms);
        for (uint64_t lost = 1; lost <= 3; ++lost) {
            node.onLost(lost, 0, {}, this->now, deadly);
            this->now += 300ms;
            node.decide(this->now);
        }
        CHECK(isIn(node, deadly, this->now));
        node.onUnprovedEnd(50, deadly, this->now);
        lastByte = this->now + (isAlive ? 100ms : 20ms);
        this->now += 300ms;
        node.decide(this->now);
        CHECK_EQUAL(!isAlive, isIn(node, deadly, this->now));
    }
}

// Guards against nodes of a former build, which take the head of an answer for its end and tell so of a request that crashes targets.
TEST(RequestQuarantine, HeadThatAFormerBuildSawClearsNothing)
{
    for (int i = 0; i < 2; ++i)
        this->crash({ deadly });
    this->quarantine.onPeerReport({ {}, { { deadly, 0ms } }, {} }, this->now);
    this->crash({ deadly });
    CHECK(this->isBlocked(deadly));
    this->quarantine.onPeerReport({ {}, { { deadly, 0ms, true } }, {} }, this->now);
    CHECK_FALSE_TEXT(this->isBlocked(deadly), "a whole answer at a node of this build");
}

// Guards against a sound request that is a bystander of crashes with long pauses between them, and is answered at other nodes meanwhile.
TEST(RequestQuarantine, AnswersAtOtherNodesCountLongAfterACrash)
{
    PromptQuarantine peer { {} };
    for (int i = 0; i < 6; ++i) {
        this->crash({ bystander }, 10ms);
        peer.onPeerReport(this->quarantine.report(this->now), this->now);
        this->now += 20s;
        peer.onBegan({}, this->now, bystander);
        this->now += 100ms;
        this->quarantine.onPeerReport(peer.report(this->now), this->now);
        this->quarantine.decide(this->now);
        CHECK_FALSE(this->isBlocked(bystander));
    }
}

// Guards against bytes that were under way when the target ended and that make its end no crash.
TEST(RequestQuarantine, BytesOfBeforeTheCrashDismissNothing)
{
    TimePoint lastByte {};
    PromptQuarantine node { {}, [&](uint64_t) { return std::optional<TimePoint>(lastByte); } };
    node.setSettleTime(240ms);
    for (uint64_t lost = 1; lost <= 3; ++lost) {
        node.onLost(lost, 0, {}, this->now, deadly);
        lastByte = this->now + 20ms;
        this->now += 300ms;
        node.decide(this->now);
    }
    CHECK(isIn(node, deadly, this->now));
}

// Guards against blaming copies of one request that a failure domain without power, or a cut of the node, ends at many targets at once.
TEST(RequestQuarantine, CommonCauseAtManyTargetsCountsOnce)
{
    for (uint64_t lost = 1; lost <= 40; ++lost)
        this->quarantine.onLost(lost, 0, {}, this->now + lost * 1ms, bystander);
    this->now += 1s;
    this->quarantine.decide(this->now);
    CHECK_EQUAL(0, this->quarantine.size());
}

// Guards against blaming what one broken target ends again and again.
TEST(RequestQuarantine, OneBrokenTargetBlamesNothing)
{
    for (int i = 0; i < 10; ++i) {
        this->quarantine.onLost(7, 0, {}, this->now, bystander);
        this->now += 2s;
        this->quarantine.decide(this->now);
    }
    CHECK_EQUAL(0, this->quarantine.size());
}

// Guards against second sends of a request that has crashed two targets and crashes a third.
TEST(RequestQuarantine, RequestOfTwoCrashesIsNotSentAgain)
{
    this->crash({ deadly });
    CHECK_FALSE(this->quarantine.isSuspect(deadly, {}, deadly));
    this->crash({ deadly });
    CHECK(this->quarantine.isSuspect(deadly, {}, deadly));
    this->quarantine.onBegan({}, this->now, deadly);
    CHECK_FALSE(this->quarantine.isSuspect(deadly, {}, deadly));
}

// Guards against a part that goes on crashing targets since its first request was taken for the only culprit.
TEST(RequestQuarantine, PartBehindAQuarantinedRequestIsFound)
{
    constexpr PartKey part = 77;
    const auto lose = [&](RequestKey request) {
        this->quarantine.onLost(++this->target, request, std::vector { part, PartKey { 1000 + request } }, this->now, request);
        this->now += 1s;
        this->quarantine.decide(this->now);
    };
    for (const RequestKey request : { 1, 1, 1, 2, 3 })
        lose(request);
    CHECK(this->quarantine.isBlocked(std::vector { part }, this->now));
}

// Guards against memory and reports that grow with a flood of different requests, and against a culprit that such a flood hides.
TEST(RequestQuarantine, FloodOfDifferentRequestsIsBounded)
{
    for (uint64_t i = 0; i < 1000000; ++i) {
        this->quarantine.onLost(1 + i / 10, 0, {}, this->now, 1'000'000 + i);
        this->now += 50us;
    }
    this->quarantine.decide(this->now);
    CHECK_EQUAL(0, this->quarantine.size());
    CHECK(this->quarantine.report(this->now).lost.size() <= 16);
    this->target = 10'000'000;
    for (int i = 0; i < 3; ++i)
        this->crash({ deadly });
    CHECK(this->isBlocked(deadly));
}

// Guards against a report that is full of bystanders and leaves out the request that was lost before.
TEST(RequestQuarantine, RequestThatWasLostBeforeIsReportedFirst)
{
    PromptQuarantine peer { {} };
    this->quarantine.onLost(100, 0, {}, this->now, deadly);
    this->now += 10ms;
    for (RequestKey request = 1; request <= 30; ++request)
        this->quarantine.onLost(101, 0, {}, this->now, request);
    this->quarantine.onLost(101, 0, {}, this->now, deadly);
    peer.onPeerReport(this->quarantine.report(this->now), this->now);
    CHECK(peer.isSuspect(0, {}, deadly));
}

// Guards against a node that starts later, or was cut off through the crashes, and sends the request on; and against a verdict that an
// operator can't lift for good.
TEST(RequestQuarantine, VerdictAndItsEndReachOtherNodes)
{
    for (int i = 0; i < 3; ++i)
        this->crash({ deadly });
    PromptQuarantine started { {} };
    started.onPeerReport(this->quarantine.report(this->now), this->now);
    CHECK(isIn(started, deadly, this->now));
    CHECK(started.list(this->now).front().isRequest);
    const QuarantineReport late = started.report(this->now);
    this->now += 1s;
    CHECK(this->quarantine.lift(deadly, this->now));
    CHECK_FALSE(this->isBlocked(deadly));
    this->quarantine.decide(this->now);
    this->quarantine.onPeerReport(late, this->now + 1ms);
    CHECK_FALSE_TEXT(this->isBlocked(deadly), "the crashes of before, or a late report, bring it back");
    this->now += 5s;
    started.onPeerReport(this->quarantine.report(this->now), this->now);
    CHECK_FALSE(isIn(started, deadly, this->now));
    CHECK_FALSE(this->quarantine.lift(deadly, this->now));
}

namespace {

// Nodes that hear each other's reports late or not at all. One request comes again and again, at any node, and ends each target that runs
// it; the target takes other requests along, some of which are repeated often and sound.
struct RepeatWorld {
    static constexpr Duration tick = 10ms;
    static constexpr Duration decideInterval = 100ms; // as the node calls it
    static constexpr RequestKey sharedPolls = 8;      // keys 1 to 8 are asked again and again

    RepeatWorld(size_t nodeCount, uint64_t seed, double lossProbability)
        : generator(seed)
        , lossProbability(lossProbability)
        , beaconInterval(std::max<Duration>(150ms, 20ms * static_cast<int64_t>(nodeCount) / 6))
    {
        for (size_t i = 0; i < nodeCount; ++i) {
            this->nodes.emplace_back(QuarantineSettings {});
            this->nodes.back().setSettleTime(150ms + 2 * this->beaconInterval + 50ms);
        }
    }

    void run(Duration span, Duration repeatInterval)
    {
        const TimePoint end = this->now + span;
        TimePoint nextRepeat = this->now;
        TimePoint nextExchange = this->now;
        for (; this->now < end; this->now += tick) {
            if (this->now >= nextRepeat) {
                nextRepeat += repeatInterval;
                this->sendDeadly();
            }
            this->answerPoll();
            if (this->now >= nextExchange) {
                nextExchange += this->beaconInterval;
                this->exchangeReports();
            }
            if (this->now.time_since_epoch() % decideInterval != 0us)
                continue;
            for (PromptQuarantine& node : this->nodes)
                node.decide(this->now);
        }
    }

    // The request ends a target, and is sent a second time unless the node suspects it by then.
    void sendDeadly()
    {
        const size_t sender = this->pick(this->nodes.size());
        for (int sends = 0; sends < 2; ++sends) {
            PromptQuarantine& node = this->nodes[sender];
            if (node.blocks({}, this->now, deadly) || (sends > 0 && node.isSuspect(0, {}, deadly)))
                return;
            this->arrivals.push_back(this->now);
            const uint64_t target = ++this->lastTarget;
            node.onLost(target, 0, {}, this->now, deadly);
            for (size_t others = this->pick(6); others > 0; --others) {
                const RequestKey key = this->pick(2) == 0 ? 1 + this->pick(sharedPolls) : 100 + ++this->lastRequest;
                this->nodes[this->pick(this->nodes.size())].onLost(target, 0, {}, this->now, key);
            }
        }
    }

    void answerPoll()
    {
        const RequestKey key = 1 + this->pick(sharedPolls);
        PromptQuarantine& node = this->nodes[this->pick(this->nodes.size())];
        if (node.blocks({}, this->now, key))
            ++this->refusedSound;
        else
            node.onBegan({}, this->now, key);
    }

    void exchangeReports()
    {
        for (size_t from = 0; from < this->nodes.size(); ++from) {
            const QuarantineReport report = this->nodes[from].report(this->now);
            if (report == QuarantineReport {})
                continue;
            for (size_t to = 0; to < this->nodes.size(); ++to) {
                if (to != from && this->uniform(this->generator) >= this->lossProbability)
                    this->nodes[to].onPeerReport(report, this->now + 1ms);
            }
        }
    }

    size_t arrivalsAfterBound(Duration contact) const
    {
        if (this->arrivals.size() < 3)
            return 0;
        const TimePoint bound = this->arrivals[2] + contact;
        return static_cast<size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(), [&](TimePoint at) { return at > bound; }));
    }

    uint64_t pick(uint64_t bound) { return this->generator() % bound; }

    std::mt19937_64 generator;
    std::uniform_real_distribution<double> uniform { 0, 1 };
    double lossProbability;
    Duration beaconInterval;
    std::vector<PromptQuarantine> nodes;
    TimePoint now = TimePoint(1h);
    uint64_t lastTarget = 0;
    uint64_t lastRequest = 0;
    size_t refusedSound = 0;
    std::vector<TimePoint> arrivals;
};

void playRepeats(size_t nodeCount, Duration contact, uint64_t seeds)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const Duration interval : { 200ms, 800ms, 2500ms }) {
            RepeatWorld world(nodeCount, seed, seed % 2 == 0 ? 0.3 : 0);
            world.run(20s, interval);
            const std::string text = std::to_string(nodeCount) + " nodes, seed " + std::to_string(seed) + ", a repeat each "
                + std::to_string(toMilliseconds(interval)) + " ms: " + std::to_string(world.arrivals.size()) + " arrivals, "
                + std::to_string(world.arrivalsAfterBound(contact)) + " after the bound, " + std::to_string(world.refusedSound)
                + " sound requests refused";
            CHECK_TEXT(world.arrivals.size() >= 3, text.c_str());
            CHECK_TEXT(world.arrivalsAfterBound(contact) <= 3, text.c_str());
            CHECK_EQUAL_TEXT(0, world.refusedSound, text.c_str());
        }
    }
}

} // namespace

// Guards against crashes that each of a few nodes sees once and that come faster than reports.
TEST(RequestQuarantine, FourNodesFindTheRequestTogether) { playRepeats(4, 3s, 40); }

// Guards against the same with as many nodes as a grown deployment has.
TEST(RequestQuarantine, ThirtyThreeNodesFindTheRequestTogether) { playRepeats(33, 3s, 12); }

// Guards against reports that come less often, since there are more nodes.
TEST(RequestQuarantine, HundredEighteenNodesFindTheRequestTogether) { playRepeats(118, 5s, 4); }

// Guards against a verdict that is late at the largest size.
TEST(RequestQuarantine, ThreeHundredFiftyNodesFindTheRequestTogether) { playRepeats(350, 5s, 2); }
