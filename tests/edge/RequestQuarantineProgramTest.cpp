// One request that crashes targets, with real processes: it comes again and again, with a new attempt id each time, at any node.
#include "EdgeFleet.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace std::chrono_literals;
using test::EdgeFleet;

namespace {

constexpr size_t crashesBeforeBound = 3; // from EdgeFleet::contact after this crash, the platform's bound holds
constexpr size_t maxArrivalsAfterBound = 3;
constexpr size_t requestsPerRepeat = 8;

// What arrives at the targets while one request in eight is the one that crashes them. Sound requests share all but their body.
struct RepeatedTraffic {
    RepeatedTraffic(size_t nodes, bool statesParts, std::string path = "/x/stream")
        : fleet(nodes)
        , statesParts(statesParts)
        , path(std::move(path))
    {
        for (int i = 0; i < 8; ++i) {
            this->fleet.addTarget();
            auto& target = *this->fleet.targets.back();
            target.crashBody = "dead";
            target.onArrival = [this](const std::string& attempt) {
                if (this->crashing.contains(attempt))
                    this->arrivals.push_back(edge::bootTime());
            };
            target.onCrash = [this](const std::string&) { this->crashes.push_back(edge::bootTime()); };
        }
    }

    bool start()
    {
        this->fleet.startNodes();
        return this->fleet.runUntil([&] { return this->fleet.allReady(); });
    }

    void play(Duration span)
    {
        const TimePoint end = edge::bootTime() + span;
        while (edge::bootTime() < end) {
            const bool isCrashing = ++this->sent % requestsPerRepeat == 0;
            const std::string body = isCrashing ? "dead" : std::to_string(this->sent);
            // Nodes change with each repeat.
            const size_t node = (this->sent + this->sent / requestsPerRepeat) % this->fleet.nodes.size();
            const auto call = this->fleet.call(node, this->statesParts ? "aa11:3," + body + ":4" : "", body, this->path);
            if (isCrashing) {
                this->crashing.insert(call->attempt);
                this->repeats.push_back(call);
            } else
                this->sound.push_back(call);
            this->fleet.runFor(20ms);
        }
    }

    size_t arrivalsAfterBound() const
    {
        if (this->crashes.size() < crashesBeforeBound)
            return 0;
        const TimePoint bound = this->crashes[crashesBeforeBound - 1] + EdgeFleet::contact;
        return static_cast<size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(), [&](TimePoint at) { return at > bound; }));
    }

    void checkBound()
    {
        CHECK_TEXT(this->crashes.size() >= crashesBeforeBound, "the request crashes targets");
        CHECK_TEXT(this->arrivalsAfterBound() <= maxArrivalsAfterBound,
            (std::to_string(this->arrivalsAfterBound()) + " repeats reached targets after the bound, "
                + std::to_string(this->crashes.size()) + " crashes")
                .c_str());
    }

    EdgeFleet fleet;
    bool statesParts;
    std::string path;
    size_t sent = 0;
    std::set<std::string> crashing; // attempts
    std::vector<std::shared_ptr<test::FleetCall>> repeats;
    std::vector<std::shared_ptr<test::FleetCall>> sound;
    std::vector<TimePoint> arrivals;
    std::vector<TimePoint> crashes;
};

} // namespace

TEST_GROUP(RequestQuarantineProgram) {};

// Guards against one request that crashes target after target each time it comes, and against refusing what shares its path and caller.
TEST(RequestQuarantineProgram, RepeatsOfACrashingRequestStopReachingTargets)
{
    RepeatedTraffic traffic(3, true);
    CHECK(traffic.start());
    traffic.play(6s);
    traffic.sound.clear();
    traffic.play(2s);
    traffic.checkBound();
    const auto isEnded = [](const auto& call) { return call->answer.ended; };
    CHECK(traffic.fleet.runUntil([&] { return std::all_of(traffic.sound.begin(), traffic.sound.end(), isEnded); }));
    const auto served = std::count_if(
        traffic.sound.begin(), traffic.sound.end(), [](const auto& call) { return call->answer.status == 200 && call->answer.complete; });
    CHECK_EQUAL_TEXT(traffic.sound.size(), static_cast<size_t>(served), "sound requests that were served");
}

// Guards against a refusal that sends callers round again, or that says less than the node knows.
TEST(RequestQuarantineProgram, CallersOfARefusedRequestAreNotToldToReturn)
{
    RepeatedTraffic traffic(3, true);
    CHECK(traffic.start());
    traffic.play(5s);
    const auto& answer = traffic.repeats.back()->answer;
    CHECK(traffic.fleet.runUntil([&] { return answer.ended; }));
    CHECK_EQUAL(503, answer.status);
    CHECK(answer.body.find("the request crashes targets") != std::string::npos);
    CHECK_EQUAL(0, answer.fields.count(edge::http::field::retry_after));
}

// Guards against a verdict that is forgotten when all processes end, so that the request crashes targets anew.
TEST(RequestQuarantineProgram, RestartOfAllNodesKeepsTheVerdict)
{
    RepeatedTraffic traffic(3, true);
    CHECK(traffic.start());
    traffic.play(4s);
    const size_t crashes = traffic.crashes.size();
    CHECK(crashes >= crashesBeforeBound);
    for (size_t node = 0; node < traffic.fleet.nodes.size(); ++node)
        traffic.fleet.kill(node);
    for (size_t node = 0; node < traffic.fleet.nodes.size(); ++node)
        traffic.fleet.restart(node);
    CHECK(traffic.fleet.runUntil([&] { return traffic.fleet.allReady(); }));
    traffic.play(3s);
    CHECK_EQUAL_TEXT(crashes, traffic.crashes.size(), "crashes after the restart");
}

// Guards against the same request at a plain service, whose answers have no events.
TEST(RequestQuarantineProgram, RepeatsOfAPlainRequestStopReachingTargets)
{
    RepeatedTraffic traffic(3, false, "/x/plain");
    CHECK(traffic.start());
    traffic.play(8s);
    traffic.checkBound();
}

// Guards against the same request being missed since it states no parts of its prompt.
TEST(RequestQuarantineProgram, RepeatsWithoutPartsStopReachingTargets)
{
    RepeatedTraffic traffic(3, false);
    CHECK(traffic.start());
    traffic.play(8s);
    traffic.checkBound();
}
