// Contract of the Peer port over gRPC on loopback: what a node sends arrives unchanged, and a peer that is away is a typed failure.
#include "adapters/GrpcPeer.h"

#include <CppUTest/TestHarness.h>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace guavapond;

namespace {

GrpcPeerSettings settingsOfTest()
{
    GrpcPeerSettings settings;
    // Generous, so that a busy machine does not fail a call that is answered.
    settings.callTimeout = settings.probeTimeout = settings.takeoverTimeout = std::chrono::seconds(20);
    settings.forwardTimeout = std::chrono::seconds(60);
    return settings;
}

class Latch {
public:
    void open()
    {
        std::lock_guard lock(this->mutex);
        this->isOpen = true;
        this->changed.notify_all();
    }
    bool wait()
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds(30), [this] { return this->isOpen; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    bool isOpen = false;
};

const NodeIdentity owner { "n1", 0xfedcba9876543210 };
const NodeIdentity witness { "n2", 2 };

} // namespace

TEST_GROUP(PeerContract)
{
    PeerHandler handler;
    std::unique_ptr<GrpcPeerServer> server;
    Peer peer = makeGrpcPeer(settingsOfTest());
    std::string address;

    void start()
    {
        server = std::make_unique<GrpcPeerServer>("127.0.0.1", 0, settingsOfTest(), handler);
        CHECK(!server->start());
        address = "127.0.0.1:" + std::to_string(server->port());
    }
};

// P4: guards against a forwarded request or answer that loses a header, a byte or a piece on its way.
TEST(PeerContract, AForwardedRequestAndItsAnswerArriveUnchanged)
{
    ForwardedRequest seen;
    handler.forward = [&](const ForwardedRequest& request, const auto& onChunk) {
        seen = request;
        onChunk({ 200, { { "Content-Type", "text/event-stream" }, { "Guavapond-Ticket", "t" } }, "", false });
        onChunk({ 0, {}, std::string("a\0\xff", 3), false });
        onChunk({ 0, {}, "b", true });
    };
    start();
    std::vector<ForwardedChunk> chunks;
    const ForwardedRequest sent { "POST", "/v1/x?a=%20b", { { "A", "1" }, { "A", "2" } }, std::string("\0\xfe", 2) };
    auto failure = peer.forward(address, sent, [&](const ForwardedChunk& chunk) {
        chunks.push_back(chunk);
        return true;
    });
    CHECK(!failure);
    CHECK(seen.method == sent.method && seen.path == sent.path && seen.headers == sent.headers && seen.body == sent.body);
    CHECK_EQUAL(3U, chunks.size());
    CHECK_EQUAL(200, chunks[0].status);
    CHECK_EQUAL(2U, chunks[0].headers.size());
    CHECK(chunks[1].data == std::string("a\0\xff", 3));
    CHECK(chunks[2].last && chunks[2].data == "b");
}

// Guards against an owner that goes on to write for a caller that has gone, and against a failure reported for the caller's own leaving.
TEST(PeerContract, AForwardThatIsEndedEarlyIsNoticedByTheOwner)
{
    Latch noticed;
    handler.forward = [&](const ForwardedRequest&, const auto& onChunk) {
        while (onChunk({ 200, {}, "x", false }))
            std::this_thread::yield();
        noticed.open();
    };
    start();
    auto failure = peer.forward(address, { "GET", "/", {}, "" }, [](const ForwardedChunk&) { return false; });
    CHECK(!failure);
    CHECK(noticed.wait());
}

// P4: guards against an answer that ends without its last piece and passes as whole.
TEST(PeerContract, AnAnswerWithoutItsLastPieceIsAFailure)
{
    handler.forward = [](const ForwardedRequest&, const auto& onChunk) { onChunk({ 200, {}, "part", false }); };
    start();
    auto failure = peer.forward(address, { "GET", "/", {}, "" }, [](const ForwardedChunk&) { return true; });
    CHECK(failure.has_value());
    CHECK(failure->disposition == Disposition::Unknown);
}

// P4: an owner that shuts down cancels its calls. Guards against a caller that waits for the rest of that answer for ever.
TEST(PeerContract, AnOwnerThatCancelsTheCallIsAFailure)
{
    Latch started;
    Latch over;
    handler.forward = [&](const ForwardedRequest&, const auto& onChunk) {
        onChunk({ 200, {}, "part", false });
        started.open();
        while (onChunk({}))
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        over.open();
    };
    start();
    std::optional<Failure> failure;
    std::thread caller([&] { failure = peer.forward(address, { "GET", "/", {}, "" }, [](const ForwardedChunk&) { return true; }); });
    CHECK(started.wait());
    server->stop(Duration::zero());
    caller.join();
    CHECK(over.wait());
    CHECK(failure.has_value());
    CHECK(failure->kind == FailureKind::OwnerUnreachable);
}

TEST(PeerContract, OutcomeAndIdentityAreThoseOfThePeer)
{
    handler.outcome = [](std::string_view ticket) { return "{\"ticket\":\"" + std::string(ticket) + "\"}"; };
    handler.identity = [] { return owner; };
    start();
    CHECK(*peer.outcome(address, "gp1.n1.1.1.u") == "{\"ticket\":\"gp1.n1.1.1.u\"}");
    CHECK(*peer.identity(address) == owner);
}

// P9: guards against an older table offered as new, and against a snapshot that is not valid UTF-8 and gets lost.
TEST(PeerContract, ATableArrivesOnlyAboveTheAskedRevision)
{
    const std::string snapshot("head\0\xff page", 11);
    handler.table = [&](uint64_t revision) -> std::optional<TableVersion> {
        if (revision >= 7)
            return std::nullopt;
        return TableVersion { 7, snapshot };
    };
    start();
    auto newer = peer.table(address, 6);
    CHECK(newer && newer->has_value());
    CHECK_EQUAL(7U, (*newer)->revision);
    CHECK((*newer)->snapshot == snapshot);
    auto same = peer.table(address, 7);
    CHECK(same && !same->has_value());
}

// P5: guards against a field of the witness protocol that is lost or confused in the message format.
TEST(PeerContract, WitnessMessagesArriveWithAllFields)
{
    OwnerMessage seen;
    bool answers = true;
    handler.witness = [&](const OwnerMessage& message) -> std::optional<WitnessMessage> {
        seen = message;
        if (!answers)
            return std::nullopt;
        return WitnessMessage { WitnessMessage::Kind::Granted, witness, owner, 3, 4, { 5, UINT64_MAX } };
    };
    start();
    for (auto kind : { OwnerMessage::Kind::Install, OwnerMessage::Kind::RequestGrants, OwnerMessage::Kind::Handover }) {
        auto reply = peer.witness(address, { kind, owner, witness, 11, 12, 13, { 14, UINT64_MAX } });
        CHECK(seen.kind == kind && seen.owner == owner && seen.witness == witness);
        CHECK(seen.epoch == 11 && seen.token == 12 && seen.mark == 13);
        CHECK(seen.sequences == (std::vector<uint64_t> { 14, UINT64_MAX }));
        CHECK(reply && reply->has_value());
        const auto& message = **reply;
        CHECK(message.kind == WitnessMessage::Kind::Granted && message.owner == owner && message.witness == witness);
        CHECK(message.epoch == 3 && message.token == 4 && message.sequences == (std::vector<uint64_t> { 5, UINT64_MAX }));
    }
    answers = false;
    auto ignored = peer.witness(address, {});
    CHECK(ignored && !ignored->has_value());
}

// P5: guards against "not known yet" or "unknown" that arrives as "not run".
TEST(PeerContract, TakeoverKeepsItsThreeAnswersApart)
{
    std::optional<Disposition> answer;
    NodeIdentity asked;
    handler.takeover = [&](std::string_view ticket, const NodeIdentity& identity) {
        CHECK(ticket == "gp1.n1.1.1.w");
        asked = identity;
        return answer;
    };
    start();
    for (auto expected : { std::optional<Disposition>(), std::optional(Disposition::NotRun), std::optional(Disposition::Unknown) }) {
        answer = expected;
        auto reply = peer.takeover(address, "gp1.n1.1.1.w", witness);
        CHECK(reply.value.has_value());
        CHECK(*reply == expected);
        CHECK(asked == witness);
    }
}

// P5: a peer that can't be reached proves nothing about a request that may have got there.
TEST(PeerContract, AnUnreachablePeerIsATypedFailure)
{
    start();
    server->stop(Duration::zero());
    server.reset();
    auto forwarded = peer.forward(address, { "GET", "/", {}, "" }, [](const ForwardedChunk&) { return true; });
    CHECK(forwarded && forwarded->kind == FailureKind::OwnerUnreachable && forwarded->disposition == Disposition::Unknown);
    CHECK(peer.outcome(address, "t").reason->kind == FailureKind::OwnerUnreachable);
    CHECK(peer.table(address, 0).reason->kind == FailureKind::OwnerUnreachable);
    CHECK(peer.identity(address).reason->kind == FailureKind::OwnerUnreachable);
    CHECK(peer.witness(address, {}).reason->disposition == Disposition::Unknown);
    CHECK(peer.takeover(address, "t", witness).reason->disposition == Disposition::Unknown);
}
