// Tests of the guavapond command: the program is run against the platform's stand-in and against a small node on loopback.
#include "LoopbackServer.h"
#include "PlatformServer.h"

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace guavapond;
using namespace guavapond::standin;
using nlohmann::json;

namespace {

struct Run {
    int code = -1;
    std::string output; // standard output and error
};

Run command(const std::string& arguments)
{
    Run run;
    FILE* pipe = ::popen((std::string(GUAVAPOND_COMMAND) + " " + arguments + " 2>&1").c_str(), "r");
    char buffer[4096];
    for (size_t count = 0; (count = std::fread(buffer, 1, sizeof buffer, pipe)) > 0;)
        run.output.append(buffer, count);
    run.code = WEXITSTATUS(::pclose(pipe));
    return run;
}

bool has(const Run& run, std::string_view text) { return run.output.find(text) != std::string::npos; }

struct Fixture {
    PlatformModel model;
    PlatformServer server { model, 0 };
    std::string directory;

    Fixture()
    {
        std::string name = (std::filesystem::temp_directory_path() / "guavapond-XXXXXX").string();
        this->directory = ::mkdtemp(name.data());
    }
    ~Fixture() { std::filesystem::remove_all(this->directory); }
    Run table(const std::string& arguments) const { return command("--platform " + this->server.url() + " " + arguments); }
    Run addTarget() const
    {
        return table("table set --add targets/r1 targets/r1.address=http://h:1 targets/r1.failureDomain=palermo targets/r1.model=brief "
                     "targets/r1.version=v1 --add workspaces/ws workspaces/ws.token=s3cret --reason first --who ada");
    }
};

HttpAnswer stream(std::initializer_list<const char*> events)
{
    HttpAnswer answer;
    answer.contentType = "text/event-stream";
    answer.headers = { { "Guavapond-Ticket", "gp1.n.1.1.u" } };
    for (const char* event : events)
        answer.chunks.push_back(std::string(event) + "\n\n");
    return answer;
}

} // namespace

TEST_GROUP(Cli) { Fixture fixture; };

// Guards against a command that reports success without an effect, or shows a token.
TEST(Cli, SetShowGetAuditAndDrain)
{
    const Run added = fixture.addTarget();
    LONGS_EQUAL(0, added.code);
    CHECK(has(added, "revision 1"));
    STRCMP_EQUAL("active\n", fixture.table("table get targets/r1.state").output.c_str());
    LONGS_EQUAL(0, fixture.table("drain r1 --reason 'disk fault'").code);
    STRCMP_EQUAL("draining\n", fixture.table("table get targets/r1.state").output.c_str());
    const Run shown = fixture.table("table show --json");
    const json table = json::parse(shown.output, nullptr, false);
    CHECK(table["revision"] == 2 && table["targets"][0]["state"] == "draining");
    CHECK(!has(shown, "s3cret") && !has(fixture.table("audit"), "s3cret"));
    const Run audit = fixture.table("audit --after 1 --json");
    const json entry = json::parse(audit.output, nullptr, false);
    CHECK(entry["reason"] == "disk fault" && entry["cells"][0]["new"] == "draining");
    CHECK(has(fixture.table("table history"), "ada"));
}

// Guards against wrong exit codes, by which scripts decide whether to repeat an edit.
TEST(Cli, ExitCodesOfFailedEdits)
{
    LONGS_EQUAL(0, fixture.addTarget().code);
    LONGS_EQUAL(1, fixture.table("table set targets/r1.state --reason x").code);
    LONGS_EQUAL(1, command("table show").code);
    const Run invalid = fixture.table("table set targets/r1.maxRunning=0 targets/r1.address=x --reason x");
    LONGS_EQUAL(2, invalid.code);
    CHECK(has(invalid, "targets/r1.maxRunning = '0': allowed: 1 to 10000") && has(invalid, "targets/r1.address"));
    const Run conflict = fixture.table("table set targets/r1.maxRunning=5 --seen 0 --reason x");
    LONGS_EQUAL(3, conflict.code);
    CHECK(has(conflict, "ada") && has(conflict, "targets/r1.model"));
    LONGS_EQUAL(6, fixture.table("table get targets/r2.state").code);
    fixture.model.setFaults({ .outage = Outage::Refusing });
    LONGS_EQUAL(4, fixture.table("table set targets/r1.maxRunning=5 --reason x").code);
}

// Guards against an edit whose answer is lost being applied twice or reported as failed by the program as a whole.
TEST(Cli, LostAnswerIsSettledAndARepeatedIdIsNotAppliedAgain)
{
    LONGS_EQUAL(0, fixture.addTarget().code);
    fixture.model.setFaults({ .loseWriteAnswers = 2 }); // the page's and the head's
    LONGS_EQUAL(0, fixture.table("--timeout-ms 300 table set targets/r1.maxRunning=5 --id e1 --reason x").code);
    const Run again = fixture.table("table set targets/r1.maxRunning=5 --id e1 --reason x");
    LONGS_EQUAL(0, again.code);
    CHECK(has(again, "in effect already, revision 2"));
}

// Guards against a spreadsheet round trip that changes the table, and an import over a newer revision.
TEST(Cli, ExportDiffImport)
{
    LONGS_EQUAL(0, fixture.addTarget().code);
    const std::string sheets = fixture.directory + "/sheets";
    LONGS_EQUAL(0, fixture.table("table export " + sheets).code);
    CHECK(has(fixture.table("table import " + sheets + " --reason x"), "nothing to change"));
    std::ofstream(sheets + "/shares.csv") << "model,version,percent\nbrief,v1,100\n";
    CHECK(has(fixture.table("table diff " + sheets), "shares/brief/v1 "));
    LONGS_EQUAL(0, fixture.table("table import " + sheets + " --reason shares").code);
    std::ofstream(sheets + "/shares.csv") << "model,version,percent\nbrief,v1,90\n";
    LONGS_EQUAL(3, fixture.table("table import " + sheets + " --reason late").code);
    std::ofstream(sheets + "/shares.csv") << "model,version,percent\nbrief,v1,9O\n";
    const Run bad = fixture.table("table import " + sheets + " --reason bad");
    LONGS_EQUAL(2, bad.code);
    CHECK(has(bad, "shares.csv:2: percent = '9O'"));
}

// Guards against a move that starts with wrong cells, ends twice in different ways, or leaves no reason in the audit trail.
TEST(Cli, MovesAreEditsOfTheTable)
{
    LONGS_EQUAL(0, fixture.addTarget().code);
    const std::string start = "move start m1 --model brief --from v1 --to v2 --reason trial --max-unproved-percent 2.5 --deadline ";
    LONGS_EQUAL(1, fixture.table(start + "tomorrow").code);
    LONGS_EQUAL(1, fixture.table(start + "1000").code);
    LONGS_EQUAL(0, fixture.table(start + "+2h").code);
    const Run running = fixture.table("--json move status m1");
    LONGS_EQUAL(0, running.code);
    CHECK(has(running, "running") && has(running, "2.5") && has(running, "v2"));
    LONGS_EQUAL(6, fixture.table("move finish m2 --reason x").code);
    LONGS_EQUAL(0, fixture.table("move take-back m1 --reason 'letters too short'").code);
    LONGS_EQUAL(0, fixture.table("move take-back m1 --reason 'letters too short'").code);
    LONGS_EQUAL(3, fixture.table("move finish m1 --reason late").code);
    const Run ended = fixture.table("move status m1 --follow");
    LONGS_EQUAL(0, ended.code);
    CHECK(has(ended, "takenBack") && has(ended, "letters too short"));
    CHECK(has(fixture.table("audit --cell moves/m1.state"), "letters too short"));
}

// Guards against a settings check that passes a bad file.
TEST(Cli, CheckReportsErrors)
{
    LONGS_EQUAL(0, command("check " GUAVAPOND_SOURCE_DIR "/config/himal.toml").code);
    std::ofstream(fixture.directory + "/bad.toml") << "[node]\nname = \"n\"\nfailureDomian = \"x\"\n";
    const Run bad = command("check " + fixture.directory + "/bad.toml");
    LONGS_EQUAL(2, bad.code);
    CHECK(has(bad, "bad.toml:3: node.failureDomian") && has(bad, "the nearest is node.failureDomain"));
}

// Guards against a cut stream, or one with a late failure, that looks like a complete answer.
TEST(Cli, RequestPrintsAStreamAndKnowsItsEnd)
{
    HttpAnswer answer;
    const LoopbackServer node(0, [&](const HttpCall&) { return answer; });
    const std::string request = "--node " + node.url() + " request chat --workspace ws --model brief hello";
    const char* first = "data: {\"choices\":[{\"delta\":{\"content\":\"two \"}}]}";
    const char* second = "data: {\"choices\":[{\"delta\":{\"content\":\"words\"}}]}";
    answer = stream({ first, second, "data: [DONE]" });
    const Run whole = command(request);
    LONGS_EQUAL(0, whole.code);
    CHECK(has(whole, "two words") && has(whole, "gp1.n.1.1.u"));
    answer = stream({ first });
    LONGS_EQUAL(5, command(request).code);
    answer = stream({ first, "event: error\ndata: {\"error\":{\"type\":\"stream_cut\",\"message\":\"m\",\"disposition\":\"unknown\"}}" });
    const Run late = command(request);
    LONGS_EQUAL(5, late.code);
    CHECK(has(late, "stream_cut"));
}

// Guards against a call that must not be repeated being sent without a ticket, and a refusal that hides its disposition.
TEST(Cli, ServiceCallTakesATicketFirst)
{
    std::atomic<int> calls = 0;
    const LoopbackServer node(0, [&](const HttpCall& call) {
        HttpAnswer answer;
        if (call.path == "/v1/tickets") {
            answer.body = "{\"ticket\":\"gp1.n.1.7.w\"}";
            return answer;
        }
        calls += call.headers.at("guavapond-ticket") == "gp1.n.1.7.w" && call.headers.at("guavapond-workspace") == "ws";
        answer.status = 503;
        answer.body = "{\"error\":{\"type\":\"shed\",\"message\":\"m\",\"disposition\":\"not_run\",\"retryAfterMs\":70}}";
        return answer;
    });
    const Run run = command("--node " + node.url() + " request service ledger/deposits -X POST -d '{}' --workspace ws");
    LONGS_EQUAL(7, run.code);
    LONGS_EQUAL(1, calls.load());
    CHECK(has(run, "shed: m (not_run, retry after 70 ms)"));
}

// Guards against a node that does not answer being shown as up.
TEST(Cli, StatusNamesNodesThatDoNotAnswer)
{
    const LoopbackServer node(0, [](const HttpCall&) {
        HttpAnswer answer;
        answer.body = "{\"queued\":3}";
        return answer;
    });
    const Run run = command("--node " + node.url() + " --node http://127.0.0.1:1 status");
    LONGS_EQUAL(4, run.code);
    CHECK(has(run, "queued 3") && has(run, "no answer"));
}

// Guards against beliefs of a node that are not shown, and a node that does not answer being taken for one without beliefs.
TEST(Cli, ShowsWhatANodeBelieves)
{
    const LoopbackServer node(0, [](const HttpCall& call) {
        HttpAnswer answer;
        answer.status = call.path == "/beliefs" ? 200 : 404;
        answer.body = R"({"node":"n1","ready":true,"configurationVersion":7,"proofAgeMs":120,"inFlight":3,
            "services":[{"name":"drafts","waiting":1,"occupancy":0.5,"targets":[{"id":"r1","state":"paused","tokensPerMs":84.5}]}],
            "workspaces":[{"name":"inspectors","inWindow":900}],"nodes":[{"node":"n2","heardMsAgo":20}],"moves":[]})";
        return answer;
    });
    const Run run = command("--node " + node.url() + " beliefs");
    LONGS_EQUAL(0, run.code);
    for (const char* text : { "n1", "drafts", "r1", "paused", "84.5", "inspectors", "900", "n2" })
        CHECK_TEXT(has(run, text), text);
    CHECK(has(command("--json --node " + node.url() + " beliefs"), "\"configurationVersion\":7"));
    LONGS_EQUAL(4, command("--node http://127.0.0.1:1 beliefs").code);
}
