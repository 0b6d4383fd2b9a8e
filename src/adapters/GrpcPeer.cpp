// Calls between nodes over gRPC.
#include "adapters/GrpcPeer.h"

#include "node.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <mutex>
#include <unordered_map>

namespace guavapond {

namespace {

using Stub = node::Node::Stub;

// One channel for each peer; gRPC reconnects by itself.
class Channels {
public:
    explicit Channels(const GrpcPeerSettings& s)
        : settings(s)
    {
    }

    std::shared_ptr<Stub> stub(std::string_view address)
    {
        std::lock_guard lock(this->mutex);
        auto& entry = this->stubs[std::string(address)];
        if (!entry) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(toMilliseconds(this->settings.keepAlive)));
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(toMilliseconds(this->settings.keepAliveTimeout)));
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_MAX_RECEIVE_MESSAGE_LENGTH, static_cast<int>(this->settings.maxMessageBytes));
            // A retry by the library could run a forwarded request at two incarnations of its owner.
            arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
            entry = node::Node::NewStub(grpc::CreateCustomChannel(std::string(address), grpc::InsecureChannelCredentials(), arguments));
        }
        return entry;
    }

    const GrpcPeerSettings settings;

private:
    static constexpr int maxReconnectBackoffMs = 1000;
    std::mutex mutex;
    std::unordered_map<std::string, std::shared_ptr<Stub>> stubs;
};

Failure failureOf(const grpc::Status& status, bool mayHaveRun)
{
    auto disposition = mayHaveRun ? Disposition::Unknown : Disposition::NotRun;
    return { FailureKind::OwnerUnreachable, disposition, "the other node does not answer: " + status.error_message(),
        std::chrono::seconds(1) };
}

std::chrono::system_clock::time_point deadlineAfter(Duration timeout) { return std::chrono::system_clock::now() + timeout; }

std::optional<Failure> forwardCall(Channels& channels, std::string_view address, const ForwardedRequest& request,
    const std::function<bool(const ForwardedChunk&)>& onChunk)
{
    node::ForwardRequest message;
    message.set_method(request.method);
    message.set_target(request.path);
    message.set_body(request.body);
    for (const auto& [name, value] : request.headers) {
        auto* header = message.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
    grpc::ClientContext context;
    context.set_deadline(deadlineAfter(channels.settings.forwardTimeout));
    auto reader = channels.stub(address)->Forward(&context, message);
    node::ForwardChunk part;
    bool whole = false;
    bool unwanted = false;
    while (!whole && reader->Read(&part)) {
        ForwardedChunk chunk;
        chunk.status = static_cast<int>(part.status());
        for (const auto& header : part.headers())
            chunk.headers.emplace_back(header.name(), header.value());
        chunk.data = part.data();
        chunk.last = part.last();
        whole = chunk.last;
        if (!onChunk(chunk)) {
            unwanted = true;
            context.TryCancel();
            break;
        }
    }
    auto status = reader->Finish();
    if (whole || unwanted)
        return std::nullopt;
    return failureOf(status, true);
}

Result<std::string> outcomeCall(Channels& channels, std::string_view address, std::string_view ticket)
{
    node::OutcomeRequest request;
    request.set_ticket(std::string(ticket));
    node::OutcomeReply reply;
    grpc::ClientContext context;
    context.set_deadline(deadlineAfter(channels.settings.callTimeout));
    auto status = channels.stub(address)->Outcome(&context, request, &reply);
    if (!status.ok())
        return failureOf(status, true);
    return reply.json();
}

Result<std::optional<TableVersion>> tableCall(Channels& channels, std::string_view address, uint64_t revision)
{
    node::TableRequest request;
    request.set_revision(revision);
    node::TableReply reply;
    grpc::ClientContext context;
    context.set_deadline(deadlineAfter(channels.settings.callTimeout));
    auto status = channels.stub(address)->Table(&context, request, &reply);
    if (!status.ok())
        return failureOf(status, false);
    if (reply.revision() <= revision)
        return std::optional<TableVersion> {};
    TableVersion version;
    version.revision = reply.revision();
    version.snapshot = reply.snapshot();
    return std::optional<TableVersion>(std::move(version));
}

NodeIdentity fromProto(const node::NodeIdentity& message) { return { message.node(), message.incarnation() }; }

void toProto(const NodeIdentity& identity, node::NodeIdentity* message)
{
    message->set_node(identity.node);
    message->set_incarnation(identity.incarnation);
}

// Both enumerations are in the order of the message definitions.
node::OwnerMessage toProto(const OwnerMessage& from)
{
    node::OwnerMessage message;
    message.set_kind(static_cast<node::OwnerMessage::Kind>(from.kind));
    toProto(from.owner, message.mutable_owner());
    toProto(from.witness, message.mutable_witness());
    message.set_epoch(from.epoch);
    message.set_token(from.token);
    message.set_mark(from.mark);
    message.mutable_sequences()->Add(from.sequences.begin(), from.sequences.end());
    return message;
}

OwnerMessage fromProto(const node::OwnerMessage& message)
{
    OwnerMessage result;
    result.kind = static_cast<OwnerMessage::Kind>(message.kind());
    result.owner = fromProto(message.owner());
    result.witness = fromProto(message.witness());
    result.epoch = message.epoch();
    result.token = message.token();
    result.mark = message.mark();
    result.sequences.assign(message.sequences().begin(), message.sequences().end());
    return result;
}

void toProto(const WitnessMessage& from, node::WitnessMessage* message)
{
    message->set_kind(static_cast<node::WitnessMessage::Kind>(from.kind));
    toProto(from.witness, message->mutable_witness());
    toProto(from.owner, message->mutable_owner());
    message->set_epoch(from.epoch);
    message->set_token(from.token);
    message->mutable_sequences()->Add(from.sequences.begin(), from.sequences.end());
}

WitnessMessage fromProto(const node::WitnessMessage& message)
{
    WitnessMessage result;
    result.kind = static_cast<WitnessMessage::Kind>(message.kind());
    result.witness = fromProto(message.witness());
    result.owner = fromProto(message.owner());
    result.epoch = message.epoch();
    result.token = message.token();
    result.sequences.assign(message.sequences().begin(), message.sequences().end());
    return result;
}

Result<NodeIdentity> identityCall(Channels& channels, std::string_view address)
{
    node::NodeIdentity reply;
    grpc::ClientContext context;
    context.set_deadline(deadlineAfter(channels.settings.probeTimeout));
    auto status = channels.stub(address)->Identity(&context, node::IdentityRequest(), &reply);
    if (!status.ok())
        return failureOf(status, false);
    return fromProto(reply);
}

Result<std::optional<WitnessMessage>> witnessCall(Channels& channels, std::string_view address, const OwnerMessage& message)
{
    node::WitnessReply reply;
    grpc::ClientContext context;
    context.set_deadline(deadlineAfter(channels.settings.probeTimeout));
    auto status = channels.stub(address)->Witness(&context, toProto(message), &reply);
    if (!status.ok())
        return failureOf(status, true);
    if (!reply.answered())
        return std::optional<WitnessMessage> {};
    return std::optional<WitnessMessage>(fromProto(reply.message()));
}

Result<std::optional<Disposition>> takeoverCall(
    Channels& channels, std::string_view address, std::string_view ticket, const NodeIdentity& witness)
{
    node::TakeoverRequest request;
    request.set_ticket(std::string(ticket));
    toProto(witness, request.mutable_witness());
    node::TakeoverReply reply;
    grpc::ClientContext context;
    context.set_deadline(deadlineAfter(channels.settings.takeoverTimeout));
    auto status = channels.stub(address)->Takeover(&context, request, &reply);
    if (!status.ok())
        return failureOf(status, true);
    switch (reply.answer()) {
    case node::TakeoverReply::NOT_RUN:
        return std::optional<Disposition>(Disposition::NotRun);
    case node::TakeoverReply::UNKNOWN:
        return std::optional<Disposition>(Disposition::Unknown);
    default:
        return std::optional<Disposition> {};
    }
}

node::MemberUpdate toProto(const MemberUpdate& from)
{
    node::MemberUpdate message;
    message.set_node(from.node);
    message.set_incarnation(from.incarnation);
    message.set_version(from.version);
    message.set_state(static_cast<node::MemberUpdate::State>(from.state));
    message.set_leaving(from.leaving);
    return message;
}

// A value of a later version of the protocol counts as dead: it would otherwise be outside the enumeration.
MemberUpdate fromProto(const node::MemberUpdate& message)
{
    MemberState state = MemberState::Dead;
    if (message.state() == node::MemberUpdate::ALIVE)
        state = MemberState::Alive;
    else if (message.state() == node::MemberUpdate::SUSPECT)
        state = MemberState::Suspect;
    return { message.node(), message.incarnation(), message.version(), state, message.leaving() };
}

// The message's kinds begin with NONE.
node::GossipMessage toProto(const MembershipMessage& from)
{
    node::GossipMessage message;
    message.set_kind(static_cast<node::GossipMessage::Kind>(static_cast<int>(from.kind) + 1));
    message.set_to(from.to);
    message.set_subject(from.subject);
    message.set_sequence(from.sequence);
    message.set_joining(from.joining);
    *message.mutable_sender() = toProto(from.sender);
    for (const auto& update : from.updates)
        *message.add_updates() = toProto(update);
    return message;
}

std::optional<MembershipMessage> fromProto(const node::GossipMessage& message)
{
    if (message.kind() < node::GossipMessage::PING || message.kind() > node::GossipMessage::ACK)
        return std::nullopt;
    MembershipMessage result;
    result.kind = static_cast<MembershipMessage::Kind>(static_cast<int>(message.kind()) - 1);
    result.to = message.to();
    result.subject = message.subject();
    result.sequence = message.sequence();
    result.joining = message.joining();
    result.sender = fromProto(message.sender());
    for (const auto& update : message.updates())
        result.updates.push_back(fromProto(update));
    return result;
}

Result<std::optional<MembershipMessage>> gossipCall(Channels& channels, std::string_view address, const MembershipMessage& message)
{
    node::GossipMessage reply;
    grpc::ClientContext context;
    context.set_deadline(deadlineAfter(channels.settings.probeTimeout));
    auto status = channels.stub(address)->Gossip(&context, toProto(message), &reply);
    if (!status.ok())
        return failureOf(status, true);
    return fromProto(reply);
}

class NodeService final : public node::Node::Service {
public:
    explicit NodeService(PeerHandler h)
        : handler(std::move(h))
    {
    }

    grpc::Status Forward(grpc::ServerContext* context, const node::ForwardRequest* message,
        grpc::ServerWriter<node::ForwardChunk>* writer) override // NOLINT(readability-identifier-naming)
    {
        ForwardedRequest request;
        request.method = message->method();
        request.path = message->target();
        request.body = message->body();
        for (const auto& header : message->headers())
            request.headers.emplace_back(header.name(), header.value());
        this->handler.forward(request, [&](const ForwardedChunk& chunk) {
            node::ForwardChunk part;
            part.set_status(static_cast<uint32_t>(chunk.status));
            for (const auto& [name, value] : chunk.headers) {
                auto* header = part.add_headers();
                header->set_name(name);
                header->set_value(value);
            }
            part.set_data(chunk.data);
            part.set_last(chunk.last);
            return !context->IsCancelled() && writer->Write(part);
        });
        return grpc::Status::OK;
    }

    grpc::Status Outcome(grpc::ServerContext* /*context*/, const node::OutcomeRequest* request,
        node::OutcomeReply* reply) override // NOLINT(readability-identifier-naming)
    {
        reply->set_json(this->handler.outcome(request->ticket()));
        return grpc::Status::OK;
    }

    grpc::Status Table(grpc::ServerContext* /*context*/, const node::TableRequest* request,
        node::TableReply* reply) override // NOLINT(readability-identifier-naming)
    {
        auto version = this->handler.table(request->revision());
        if (!version)
            return grpc::Status::OK;
        reply->set_revision(version->revision);
        reply->set_snapshot(std::move(version->snapshot));
        return grpc::Status::OK;
    }

    grpc::Status Identity(grpc::ServerContext* /*context*/, const node::IdentityRequest* /*request*/,
        node::NodeIdentity* reply) override // NOLINT(readability-identifier-naming)
    {
        toProto(this->handler.identity(), reply);
        return grpc::Status::OK;
    }

    grpc::Status Witness(grpc::ServerContext* /*context*/, const node::OwnerMessage* message,
        node::WitnessReply* reply) override // NOLINT(readability-identifier-naming)
    {
        auto answer = this->handler.witness(fromProto(*message));
        reply->set_answered(answer.has_value());
        if (answer)
            toProto(*answer, reply->mutable_message());
        return grpc::Status::OK;
    }

    grpc::Status Takeover(grpc::ServerContext* /*context*/, const node::TakeoverRequest* request,
        node::TakeoverReply* reply) override // NOLINT(readability-identifier-naming)
    {
        auto answer = this->handler.takeover(request->ticket(), fromProto(request->witness()));
        if (answer)
            reply->set_answer(*answer == Disposition::NotRun ? node::TakeoverReply::NOT_RUN : node::TakeoverReply::UNKNOWN);
        return grpc::Status::OK;
    }

    grpc::Status Gossip(grpc::ServerContext* /*context*/, const node::GossipMessage* message,
        node::GossipMessage* reply) override // NOLINT(readability-identifier-naming)
    {
        auto received = fromProto(*message);
        auto answer = received ? this->handler.gossip(*received) : std::nullopt;
        if (answer)
            *reply = toProto(*answer);
        return grpc::Status::OK;
    }

private:
    PeerHandler handler;
};

} // namespace

Peer makeGrpcPeer(const GrpcPeerSettings& settings)
{
    auto channels = std::make_shared<Channels>(settings);
    Peer peer;
    peer.forward
        = [channels](std::string_view address, const ForwardedRequest& request, const std::function<bool(const ForwardedChunk&)>& onChunk) {
              return forwardCall(*channels, address, request, onChunk);
          };
    peer.outcome = [channels](std::string_view address, std::string_view ticket) { return outcomeCall(*channels, address, ticket); };
    peer.table = [channels](std::string_view address, uint64_t revision) { return tableCall(*channels, address, revision); };
    peer.identity = [channels](std::string_view address) { return identityCall(*channels, address); };
    peer.witness = [channels](std::string_view address, const OwnerMessage& message) { return witnessCall(*channels, address, message); };
    peer.takeover = [channels](std::string_view address, std::string_view ticket, const NodeIdentity& witness) {
        return takeoverCall(*channels, address, ticket, witness);
    };
    peer.gossip
        = [channels](std::string_view address, const MembershipMessage& message) { return gossipCall(*channels, address, message); };
    return peer;
}

struct GrpcPeerServer::State {
    std::string address;
    int port = 0;
    GrpcPeerSettings settings;
    NodeService service;
    std::unique_ptr<grpc::Server> server;
};

GrpcPeerServer::GrpcPeerServer(std::string address, uint16_t port, const GrpcPeerSettings& settings, PeerHandler handler)
    : state(new State { std::move(address), port, settings, NodeService(std::move(handler)), nullptr })
{
}

GrpcPeerServer::~GrpcPeerServer() { this->stop(Duration::zero()); }

std::optional<Failure> GrpcPeerServer::start()
{
    grpc::ServerBuilder builder;
    int chosen = 0;
    builder.AddListeningPort(this->state->address + ":" + std::to_string(this->state->port), grpc::InsecureServerCredentials(), &chosen);
    builder.RegisterService(&this->state->service);
    builder.SetMaxReceiveMessageSize(static_cast<int>(this->state->settings.maxMessageBytes));
    // Two nodes on one port would each get a part of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1000);
    this->state->server = builder.BuildAndStart();
    if (!this->state->server || chosen == 0) {
        return Failure { FailureKind::BadRequest, Disposition::NotRun,
            "can't listen for nodes on " + this->state->address + ":" + std::to_string(this->state->port), {} };
    }
    this->state->port = chosen;
    return std::nullopt;
}

uint16_t GrpcPeerServer::port() const { return static_cast<uint16_t>(this->state->port); }

void GrpcPeerServer::stop(Duration grace)
{
    if (this->state->server)
        this->state->server->Shutdown(deadlineAfter(grace));
}

} // namespace guavapond
