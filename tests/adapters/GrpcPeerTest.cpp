// Tests of the calls between nodes on loopback.
#include "adapters/GrpcPeer.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;

TEST_GROUP(GrpcPeer) {};

// Guards against a field of a membership message that is lost or changed between two nodes.
TEST(GrpcPeer, GossipArrivesUnchanged)
{
    MembershipMessage sent;
    sent.kind = MembershipMessage::Kind::PingRequest;
    sent.to = "b";
    sent.subject = "c";
    sent.sequence = 77;
    sent.joining = true;
    sent.sender = { "a", 0xfedcba9876543210, 3, MemberState::Alive, true };
    sent.updates = { { "c", 5, 1, MemberState::Suspect, false }, { "d", 6, 2, MemberState::Dead, false } };
    MembershipMessage received;
    PeerHandler handler;
    handler.gossip = [&](const MembershipMessage& message) -> std::optional<MembershipMessage> {
        received = message;
        if (message.kind == MembershipMessage::Kind::Ping)
            return std::nullopt;
        auto answer = message;
        answer.kind = MembershipMessage::Kind::Ack;
        return answer;
    };
    GrpcPeerServer server("127.0.0.1", 0, {}, std::move(handler));
    CHECK(!server.start());
    GrpcPeerSettings settings;
    settings.probeTimeout = std::chrono::seconds(20); // only a broken connection may end the call
    auto peer = makeGrpcPeer(settings);
    auto address = "127.0.0.1:" + std::to_string(server.port());
    auto answer = peer.gossip(address, sent);
    CHECK(answer && answer->has_value());
    CHECK(received.kind == sent.kind && received.to == sent.to && received.subject == sent.subject);
    CHECK(received.sequence == sent.sequence && received.joining == sent.joining);
    CHECK(received.sender == sent.sender && received.updates == sent.updates);
    CHECK((*answer)->kind == MembershipMessage::Kind::Ack && (*answer)->updates == sent.updates);
    sent.kind = MembershipMessage::Kind::Ping;
    auto none = peer.gossip(address, sent);
    CHECK(none && !none->has_value());
}
