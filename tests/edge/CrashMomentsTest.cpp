// A request that crashes each target that runs it, at different moments of the answer. It comes again and again.
#include "EdgeWorld.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::edge;
using namespace std::chrono_literals;
using standins::CrashMoment;
using standins::RunnerFault;

namespace {

constexpr size_t crashesOfVerdict = 3; // the platform's rule counts from the third crash
constexpr int repeats = 8;

const char* name(CrashMoment moment)
{
    return moment == CrashMoment::BeforeAnswer ? "before the answer" : moment == CrashMoment::AfterHead ? "after the head" : "in the body";
}

} // namespace

TEST_GROUP(CrashMoments)
{
    struct Play {
        EdgeWorld world;
        size_t crashes = 0;
        int attempts = 0;

        explicit Play(CrashMoment moment, int runners = 8)
        {
            this->world.setCatalog(this->world.catalog());
            for (int i = 0; i < runners; ++i) {
                auto& runner = this->world.addRunner("r" + std::to_string(i));
                runner.crashBody = "dead";
                runner.crashMoment = moment;
                runner.onCrash = [this](const std::string&) { ++this->crashes; };
            }
        }
        std::shared_ptr<CallerAnswer> ask(const std::string& path, const std::string& body)
        {
            this->world.relay.freshness.prove(bootTime());
            auto answer = this->world.send(
                path, "a" + std::to_string(++this->attempts), "Guavapond-Key: key-1\r\nGuavapond-Token-Count: 10,5\r\n", "POST", body);
            CHECK(this->world.runUntilEnded(answer));
            return answer;
        }
        // The request comes, and a sound one after it.
        void repeat(const std::string& path)
        {
            for (int i = 0; i < repeats; ++i) {
                this->ask(path, "dead");
                this->world.runFor(90ms);
                this->ask(path, "sound " + std::to_string(i));
                this->world.runFor(90ms);
            }
        }
    };
};

// Guards against a request that is taken for sound since its target sends the head of an answer, or a part of it, before it crashes.
TEST(CrashMoments, ARequestIsKeptBackWhereverItsAnswerEnds)
{
    for (const CrashMoment moment : { CrashMoment::BeforeAnswer, CrashMoment::AfterHead, CrashMoment::AfterPart }) {
        for (const char* const path : { "/plain/a", "/once/a", "/stream/a", "/resume/stream/a" }) {
            Play play(moment);
            play.repeat(path);
            const std::string text = std::string(path) + ", " + name(moment) + ": " + std::to_string(play.crashes) + " crashes";
            CHECK_TEXT(play.crashes >= crashesOfVerdict, text.c_str());
            CHECK_TEXT(play.crashes <= crashesOfVerdict + 1, text.c_str()); // a repeat may be under way at the verdict
        }
    }
}

// Guards against a stream that is resumed at one target after the other and crashes each of them.
TEST(CrashMoments, AStreamThatCrashesTargetsIsNotResumedAgain)
{
    Play play(CrashMoment::AfterPart);
    Catalog catalog = play.world.catalog();
    for (Route& route : catalog.routes)
        route.maxTargets = 6;
    play.world.setCatalog(std::move(catalog));
    play.ask("/resume/stream/a", "dead");
    CHECK_EQUAL(2, play.crashes);
}

// Guards against blaming a request whose answers a faulty target breaks off: the target lives, or another one answers it.
TEST(CrashMoments, BrokenAnswersOfATargetThatLivesAreNoCrashes)
{
    for (const char* const path : { "/plain/a", "/once/a", "/resume/stream/a" }) {
        Play play(CrashMoment::BeforeAnswer, 3);
        size_t refused = 0;
        for (int i = 0; i < 20; ++i) {
            play.world.runners[i % 3]->fault = i % 2 == 0 ? RunnerFault::BreaksMidway : RunnerFault::None;
            refused += play.ask(path, "the same order")->body.find("crashes targets") != std::string::npos ? 1 : 0;
            play.world.runFor(60ms);
        }
        CHECK_EQUAL_TEXT(0, refused, path);
        CHECK_EQUAL_TEXT(0, play.world.relay.quarantine.size(), path);
    }
}
