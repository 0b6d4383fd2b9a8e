// Prompt parts that crash targets, with real processes: several guavapond-edge processes before targets that end on such a prompt.
#include "EdgeFleet.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace std::chrono_literals;
using test::EdgeFleet;

namespace {

constexpr size_t crashesBeforeBound = 5; // from EdgeFleet::contact after this crash, the platform's bound holds
constexpr size_t maxArrivalsAfterBound = 3;

// What arrives at the targets while every eighth request holds a part that crashes them. All requests share their first part.
struct CrashingTraffic {
    explicit CrashingTraffic(size_t nodes)
        : fleet(nodes)
    {
        for (int i = 0; i < 8; ++i) {
            this->fleet.addTarget();
            auto& target = *this->fleet.targets.back();
            target.crashPart = "dead";
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
            const bool isCrashing = ++this->sent % 8 == 0;
            const auto call = this->fleet.call(this->sent % this->fleet.nodes.size(),
                std::string("aa11:3,") + (isCrashing ? "dead:3," : "") + std::to_string(this->sent) + ":4");
            if (isCrashing)
                this->crashing.insert(call->attempt);
            else
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

    EdgeFleet fleet;
    size_t sent = 0;
    std::set<std::string> crashing; // attempts
    std::vector<std::shared_ptr<test::FleetCall>> sound;
    std::vector<TimePoint> arrivals;
    std::vector<TimePoint> crashes;
};

} // namespace

TEST_GROUP(PromptQuarantineProgram) {};

// Guards against requests with one part in their prompts that crash target after target, and against refusing those that share the rest.
TEST(PromptQuarantineProgram, RequestsWithACrashingPartStopReachingTargets)
{
    CrashingTraffic traffic(3);
    CHECK(traffic.start());
    traffic.play(6s);
    traffic.sound.clear();
    traffic.play(2s);
    CHECK_TEXT(traffic.crashes.size() >= 2, "the part crashes targets");
    CHECK_TEXT(traffic.arrivalsAfterBound() <= maxArrivalsAfterBound,
        (std::to_string(traffic.arrivalsAfterBound()) + " requests with the part reached targets after the bound, "
            + std::to_string(traffic.crashes.size()) + " crashes")
            .c_str());
    const auto isEnded = [](const auto& call) { return call->answer.ended; };
    CHECK(traffic.fleet.runUntil([&] { return std::all_of(traffic.sound.begin(), traffic.sound.end(), isEnded); }));
    const auto served = std::count_if(
        traffic.sound.begin(), traffic.sound.end(), [](const auto& call) { return call->answer.status == 200 && call->answer.complete; });
    CHECK_TEXT(2 * served >= static_cast<ptrdiff_t>(traffic.sound.size()),
        (std::to_string(served) + " of " + std::to_string(traffic.sound.size()) + " sound requests were served").c_str());
}

// Guards against a quarantine that is forgotten when all processes end, so that the part crashes targets anew.
TEST(PromptQuarantineProgram, RestartOfAllNodesKeepsTheQuarantine)
{
    CrashingTraffic traffic(3);
    CHECK(traffic.start());
    traffic.play(3s);
    const size_t crashes = traffic.crashes.size();
    CHECK_TEXT(crashes >= 2, "the part crashes targets");
    for (size_t node = 0; node < traffic.fleet.nodes.size(); ++node)
        traffic.fleet.kill(node);
    for (size_t node = 0; node < traffic.fleet.nodes.size(); ++node)
        traffic.fleet.restart(node);
    CHECK(traffic.fleet.runUntil([&] { return traffic.fleet.allReady(); }));
    traffic.play(3s);
    CHECK_EQUAL_TEXT(crashes, traffic.crashes.size(), "crashes after the restart");
}
