// Guards the path of a request against double dispatch, answers that are cut, crossed or passed as whole, and untrue refusals.
#include "PathHarness.h"

#include <thread>

using namespace guavapond;

TEST_GROUP(RequestPath) { PathHarness harness; };

TEST(RequestPath, StreamsTheWholeAnswerAndItsTerminator)
{
    auto reply = harness.serve(PathHarness::chat());
    CHECK_EQUAL(1U, harness.engineCalls.size());
    auto& call = *harness.engineCalls.front();
    call.token(1, "Two");
    CHECK_EQUAL(200, reply->status);
    CHECK(reply->header("Guavapond-Ticket") == call.request.requestId);
    call.token(2, " hours");
    CHECK(!reply->finished);
    call.done();
    CHECK(reply->finished);
    CHECK(reply->body.ends_with("data: [DONE]\n\n"));
    CHECK_EQUAL(0U, harness.path->active());
    CHECK(harness.inTime == std::vector<bool> { true });
}

TEST(RequestPath, PutsTheAnswerTogetherForACallerWithoutStream)
{
    auto reply = harness.serve(PathHarness::chat(false));
    auto& call = *harness.engineCalls.front();
    call.token(1, "Two");
    call.token(2, " hours");
    CHECK_EQUAL(0, reply->status);
    call.done();
    CHECK_EQUAL(200, reply->status);
    CHECK(reply->json()["choices"][0]["message"]["content"] == "Two hours");
}

// P4: an answer that outgrew its buffer must not be passed on in part as if it were whole.
TEST(RequestPath, AnAnswerTooLargeToKeepIsNeverPassedOnInPart)
{
    const std::string big(1U << 20U, 'x');
    auto plain = harness.serve(PathHarness::chat(false));
    auto request = PathHarness::chat(true, "another question");
    request.headers.emplace_back("Guavapond-Ticket", harness.mint());
    auto live = harness.serve(request);
    auto late = harness.serve(request);
    for (auto& call : std::vector(harness.engineCalls)) {
        for (uint64_t offset = 1; offset <= 17; ++offset)
            call->token(offset, big);
        call->done();
    }
    CHECK_EQUAL(502, plain->status);
    CHECK(plain->disposition() == "ran");
    CHECK(live->body.ends_with("data: [DONE]\n\n"));
    CHECK(late->disposition() == "ran");
    CHECK(harness.serve(request)->disposition() == "ran");
}

// P4: a token of another request must never reach this caller, and a stream that ends early must not look whole.
TEST(RequestPath, DropsCrossedTokensAndReportsACut)
{
    auto reply = harness.serve(PathHarness::chat());
    auto& call = *harness.engineCalls.front();
    call.token(1, "mine");
    call.token(2, "theirs", "another-request");
    call.token(2, "mine too");
    CHECK(reply->body.find("theirs") == std::string::npos);
    for (int i = 0; i < 3; ++i) // the first failures lead to a resume at the offset
        harness.engineCalls.back()->fail(FailureKind::TargetFailed, Disposition::Unknown, true);
    CHECK(reply->finished);
    CHECK(reply->body.find("event: error") != std::string::npos);
    CHECK(reply->body.find("[DONE]") == std::string::npos);
}

TEST(RequestPath, ResumesABrokenStreamAtItsOffsetOnce)
{
    auto reply = harness.serve(PathHarness::chat());
    harness.engineCalls[0]->token(1, "a");
    harness.engineCalls[0]->token(2, "b");
    harness.engineCalls[0]->fail(FailureKind::TargetFailed, Disposition::Unknown, true);
    CHECK_EQUAL(2U, harness.engineCalls.size());
    auto& resumed = *harness.engineCalls[1];
    CHECK_EQUAL(2U, resumed.request.resumeOffset);
    CHECK(resumed.request.url == harness.engineCalls[0]->request.url);
    harness.engineCalls[0]->token(3, "late");
    resumed.token(3, "c");
    resumed.done();
    CHECK(reply->body.find("late") == std::string::npos);
    CHECK(reply->body.ends_with("data: [DONE]\n\n"));
}

// P1: a request that may have reached a target is never sent to another one.
TEST(RequestPath, ASentRequestIsNotSentAgain)
{
    auto reply = harness.serve(PathHarness::chat());
    harness.engineCalls[0]->fail(FailureKind::TargetFailed, Disposition::Unknown, true);
    harness.pass(std::chrono::seconds(1));
    CHECK_EQUAL(1U, harness.engineCalls.size());
    CHECK_EQUAL(502, reply->status);
    CHECK(reply->disposition() == "unknown");
}

TEST(RequestPath, AnUnsentRequestGoesToAnotherTarget)
{
    auto reply = harness.serve(PathHarness::chat());
    auto first = harness.engineCalls[0]->request.url;
    harness.engineCalls[0]->fail(FailureKind::TargetFailed, Disposition::NotRun, false);
    harness.pass(std::chrono::seconds(1));
    CHECK_EQUAL(2U, harness.engineCalls.size());
    harness.engineCalls[1]->token(1, "ok");
    harness.engineCalls[1]->done();
    CHECK_EQUAL(200, reply->status);
    CHECK(first != harness.engineCalls[1]->request.url);
}

// P6: a retry under the same ticket gets the first run's answer, whatever connection it comes on.
TEST(RequestPath, ANonIdempotentCallRunsOnceAcrossRetries)
{
    auto refused = harness.serve(PathHarness::certificate(""));
    CHECK_EQUAL(428, refused->status);
    CHECK(refused->disposition() == "not_run");
    auto ticket = harness.mint();
    auto first = harness.serve(PathHarness::certificate(ticket));
    CHECK_EQUAL(1U, harness.serviceCalls.size());
    first->leave();
    auto second = harness.serve(PathHarness::certificate(ticket));
    CHECK_EQUAL(1U, harness.serviceCalls.size());
    harness.serviceCalls[0].second({ 201, "application/json", "{\"certificate\":1}", std::nullopt, true });
    CHECK_EQUAL(201, second->status);
    auto third = harness.serve(PathHarness::certificate(ticket));
    CHECK_EQUAL(201, third->status);
    CHECK(third->body == second->body);
    CHECK_EQUAL(1U, harness.serviceCalls.size());
}

TEST(RequestPath, AnotherBodyUnderTheSameTicketIsRefused)
{
    auto ticket = harness.mint();
    harness.serve(PathHarness::certificate(ticket));
    auto other = harness.serve(PathHarness::certificate(ticket, "{\"paint\":\"B2\"}"));
    CHECK_EQUAL(409, other->status);
    CHECK_EQUAL(1U, harness.serviceCalls.size());
}

TEST(RequestPath, ALostServiceCallStaysUnknown)
{
    auto ticket = harness.mint();
    auto reply = harness.serve(PathHarness::certificate(ticket));
    ServiceAnswer lost;
    lost.failure = Failure { FailureKind::TargetFailed, Disposition::Unknown, "connection lost", {} };
    harness.serviceCalls[0].second(lost);
    CHECK(reply->disposition() == "unknown");
    auto again = harness.serve(PathHarness::certificate(ticket));
    CHECK(again->disposition() == "unknown");
    CHECK_EQUAL(1U, harness.serviceCalls.size());
}

TEST(RequestPath, AStreamingCallerThatLeavesFreesTheTarget)
{
    auto reply = harness.serve(PathHarness::chat());
    harness.engineCalls[0]->token(1, "a");
    reply->leave();
    CHECK(harness.engineCalls[0]->cancelled);
    CHECK_EQUAL(1U, harness.cancelled.size());
    CHECK_EQUAL(0U, harness.path->active());
}

TEST(RequestPath, ATicketOfAnotherNodeIsForwardedToItsOwner)
{
    auto request = PathHarness::chat();
    request.headers.emplace_back("Guavapond-Ticket", ticketText({ { "n2", 9 }, 4, false }));
    auto reply = harness.serve(request);
    harness.runTasks();
    CHECK_EQUAL(200, reply->status);
    CHECK_EQUAL(1U, harness.forwarded.size());
    CHECK_EQUAL(0U, harness.engineCalls.size());
}

// P5: nothing is known when the owner does not answer, so "not run" must not be said.
TEST(RequestPath, AnUnreachableOwnerIsNotReportedAsNotRun)
{
    harness.peerFailure = Failure { FailureKind::OwnerUnreachable, Disposition::Unknown, "down", std::chrono::seconds(1) };
    auto request = PathHarness::chat();
    request.headers.emplace_back("Guavapond-Ticket", ticketText({ { "n2", 9 }, 4, false }));
    auto reply = harness.serve(request);
    harness.runTasks();
    CHECK(reply->disposition() == "unknown");
}

TEST(RequestPath, ATicketOfAnEarlierIncarnationIsUnknownAndNeverRuns)
{
    auto request = PathHarness::chat();
    request.headers.emplace_back("Guavapond-Ticket", ticketText({ { "n1", 6 }, 4, false }));
    auto reply = harness.serve(request);
    harness.runTasks();
    CHECK(reply->disposition() == "unknown");
    CHECK_EQUAL(0U, harness.engineCalls.size());
}

// P5: the caller learns what the witness proves, and nothing runs here.
TEST(RequestPath, TheWitnessOfALostOwnerDecidesWhatIsSaid)
{
    harness.resolution.disposition = Disposition::NotRun;
    auto request = PathHarness::chat();
    request.headers.emplace_back("Guavapond-Ticket", ticketText({ { "n1", 6 }, 4, true }));
    auto reply = harness.serve(request);
    harness.runTasks();
    CHECK(reply->disposition() == "not_run");
    CHECK_EQUAL(0U, harness.engineCalls.size());
}

TEST(RequestPath, AWitnessedRequestWaitsForItsGrant)
{
    harness.activateOwner();
    auto ticket = harness.mint();
    CHECK(ticket.ends_with(".w"));
    auto reply = harness.serve(PathHarness::certificate(ticket));
    CHECK_EQUAL(0U, harness.serviceCalls.size());
    harness.answerGrants();
    CHECK_EQUAL(1U, harness.serviceCalls.size());
    harness.serviceCalls[0].second({ 201, "application/json", "{}", std::nullopt, true });
    CHECK_EQUAL(201, reply->status);
}

// A request that waits for a witness which does not come back is given up at once after a bound, and truly as not run.
TEST(RequestPath, WithoutAWitnessAWaitingRequestIsGivenUpAsNotRun)
{
    harness.activateOwner();
    auto reply = harness.serve(PathHarness::certificate(harness.mint()));
    harness.loseWitness();
    harness.path->grantsChanged();
    CHECK_EQUAL(0, reply->status);
    harness.now += std::chrono::seconds(3);
    harness.path->grantsChanged();
    CHECK(reply->disposition() == "not_run");
    CHECK_EQUAL(0U, harness.serviceCalls.size());
    CHECK_EQUAL(0U, harness.path->active());
}

// A grant of an epoch that has ended must not be used.
TEST(RequestPath, AQueuedRequestLosesItsGrantWithTheEpoch)
{
    harness.activateOwner();
    harness.fillTargets();
    auto request = PathHarness::chat(false);
    request.headers.emplace_back("Guavapond-Ticket", harness.mint());
    auto reply = harness.serve(request);
    harness.answerGrants();
    auto sent = harness.engineCalls.size();
    harness.loseWitness();
    harness.engineCalls[0]->done();
    harness.pass(std::chrono::milliseconds(50));
    CHECK_EQUAL(sent, harness.engineCalls.size());
    CHECK_EQUAL(0, reply->status);
}

// A request that lost its grant and can't ask for another one must not stay without an answer.
TEST(RequestPath, ARequestThatCanNotAskForItsNextGrantIsRefusedAsNotRun)
{
    DecisionSettings settings;
    settings.owner.maxOutstanding = 1;
    PathHarness narrow(settings);
    narrow.activateOwner();
    narrow.fillTargets();
    auto first = PathHarness::chat(false);
    first.headers.emplace_back("Guavapond-Ticket", narrow.mint());
    auto reply = narrow.serve(first);
    narrow.answerGrants();
    narrow.loseWitness();
    narrow.activateOwner();
    auto second = PathHarness::chat(false, "another question");
    second.headers.emplace_back("Guavapond-Ticket", narrow.mint());
    narrow.serve(second);                                    // asks for the only grant
    for (size_t i = 0; i < narrow.engineCalls.size(); ++i) { // with the fillers that were queued
        narrow.engineCalls[i]->token(1, "word");
        narrow.engineCalls[i]->done();
        narrow.pass(std::chrono::milliseconds(50));
    }
    CHECK(reply->finished);
    CHECK(reply->disposition() == "not_run");
}

// P8: work that was admitted goes on; new work is refused as not run.
TEST(RequestPath, AStoppingNodeFinishesWhatItHas)
{
    auto reply = harness.serve(PathHarness::chat());
    harness.engineCalls[0]->token(1, "a");
    harness.path->stopAdmitting();
    auto refused = harness.serve(PathHarness::chat());
    CHECK_EQUAL(503, refused->status);
    CHECK(refused->errorType() == "stopping");
    CHECK(refused->disposition() == "not_run");
    CHECK_EQUAL(1U, harness.path->active());
    harness.engineCalls[0]->done();
    CHECK(reply->finished);
    CHECK_EQUAL(0U, harness.path->active());
}

// A request that is given up on is answered at once, with the time to come back.
TEST(RequestPath, AQueuedRequestPastItsDeadlineIsAnsweredAsNotRun)
{
    std::vector<std::shared_ptr<FakeReply>> replies;
    for (int i = 0; i < 60; ++i) {
        auto request = PathHarness::chat(true, "question " + std::to_string(i));
        request.headers.emplace_back("Guavapond-Deadline-Ms", "60000");
        replies.push_back(harness.serve(request));
    }
    auto running = harness.engineCalls.size();
    CHECK(running < replies.size());
    harness.pass(std::chrono::seconds(61));
    size_t notRun = 0;
    for (const auto& reply : replies) {
        if (reply->status >= 400 && reply->disposition() == "not_run")
            ++notRun;
    }
    CHECK_EQUAL(replies.size() - running, notRun);
    CHECK_EQUAL(running, harness.engineCalls.size());
}

struct BadInput {
    const char* name;
    HttpRequest request;
    int status;
};

TEST(RequestPath, BadInputGetsATypedRefusalAndNothingRuns)
{
    auto with = [](HttpRequest request, const char* name, const char* value) {
        std::erase_if(request.headers, [name](const HttpHeader& header) { return header.first == name; });
        request.headers.emplace_back(name, value);
        return request;
    };
    auto body = [](const std::string& text) {
        auto request = PathHarness::chat();
        request.body = text;
        return request;
    };
    const std::vector<BadInput> cases {
        { "malformed JSON", body("{\"model\":"), 400 },
        { "not an object", body("[1]"), 422 },
        { "deep nesting", body(std::string(100000, '[')), 400 },
        { "no model", body("{\"messages\":[]}"), 422 },
        { "no messages", body("{\"model\":\"drafts\",\"messages\":[]}"), 422 },
        { "wrong type", body(R"({"model":"drafts","messages":[{"role":"user","content":"a"}],"max_tokens":"many"})"), 422 },
        { "several choices", body(R"({"model":"drafts","n":3,"messages":[{"role":"user","content":"a"}]})"), 422 },
        { "unknown model", body(R"({"model":"none","messages":[{"role":"user","content":"a"}]})"), 404 },
        { "a service as model", body(R"({"model":"register","messages":[{"role":"user","content":"a"}]})"), 404 },
        { "unknown workspace", with(PathHarness::chat(), "Guavapond-Workspace", "nobody"), 403 },
        { "missing token", with(PathHarness::chat(), "Guavapond-Workspace", "secret"), 401 },
        { "unknown tier", with(PathHarness::chat(), "Guavapond-Tier", "gold"), 400 },
        { "expired deadline", with(PathHarness::chat(), "Guavapond-Deadline-Ms", "0"), 504 },
        { "deadline that is no number", with(PathHarness::chat(), "Guavapond-Deadline-Ms", "soon"), 400 },
        { "bad ticket", with(PathHarness::chat(), "Guavapond-Ticket", "gp9"), 400 },
        { "unknown path", { "POST", "/v1/unknown", { { "Guavapond-Workspace", "labs" } }, "{}", "" }, 404 },
    };
    for (const auto& input : cases) {
        auto reply = harness.serve(input.request);
        CHECK_EQUAL_TEXT(input.status, reply->status, input.name);
        CHECK_TEXT(reply->disposition() == "not_run", input.name);
    }
    CHECK_EQUAL(0U, harness.engineCalls.size());
}

// The owner of a ticket sends empty pieces while the request waits there. Guards against an answer with status 0 to the caller.
TEST(RequestPath, EmptyPiecesBeforeTheHeadOfAForwardedAnswerArePassedOver)
{
    harness.peerChunks = { {}, {}, { 201, { { "Content-Type", "application/json" } }, "{\"a\":1}", true } };
    auto reply = harness.serve(PathHarness::certificate("gp1.n2.0000000000000005.1.u"));
    harness.runTasks();
    CHECK_EQUAL(201, reply->status);
    CHECK(reply->body == "{\"a\":1}");
    CHECK(reply->finished);
}

// Guards against a node that ends while the answer to a forwarded request still waits for the other node to take it.
TEST(RequestPath, AForwardedAnswerThatIsNotTakenYetKeepsTheNodeActive)
{
    auto request = PathHarness::certificate(harness.mint());
    size_t atLastPiece = 0;
    std::thread owner([&] {
        harness.path->forwarded({ request.method, request.target, request.headers, request.body }, [&](const ForwardedChunk& chunk) {
            if (chunk.last)
                atLastPiece = harness.path->active();
            return true;
        });
    });
    while (!harness.serviceCalled)
        std::this_thread::yield();
    harness.serviceCalls[0].second({ 201, "application/json", "{}", std::nullopt });
    owner.join();
    CHECK_EQUAL(1U, atLastPiece);
    CHECK_EQUAL(0U, harness.path->active());
}

// P4: guards against an answer above the bound that passes as whole although its text was dropped.
TEST(RequestPath, AnAnswerAboveTheBoundIsNeverGivenInPart)
{
    const std::string piece(size_t(1) << 20, 'x');
    auto run = [&](const HttpRequest& request, uint64_t pieces) {
        auto reply = harness.serve(request);
        auto& call = *harness.engineCalls.back();
        for (uint64_t i = 1; i <= pieces; ++i)
            call.token(i, piece);
        call.done();
        return reply;
    };
    // Not streamed: whole up to the bound for answers under way, then a typed failure.
    auto whole = run(PathHarness::chat(false, "some"), 3);
    CHECK_EQUAL(200, whole->status);
    CHECK_EQUAL(3 * piece.size(), whole->json()["choices"][0]["message"]["content"].get<std::string>().size());
    auto above = run(PathHarness::chat(false, "many"), 20);
    CHECK_EQUAL(502, above->status);
    CHECK(above->disposition() == "ran");
    // Streamed under a ticket: the stream is whole, and the same call again does not get the rest of a dropped text.
    auto request = PathHarness::chat(true, "streamed");
    request.headers.emplace_back("Guavapond-Ticket", harness.mint());
    auto streamed = run(request, 3);
    CHECK(streamed->finished && streamed->body.size() > 3 * piece.size());
    CHECK(streamed->body.ends_with("data: [DONE]\n\n"));
    auto again = harness.serve(request);
    CHECK(again->status >= 400);
    CHECK(again->disposition() == "ran");
}
