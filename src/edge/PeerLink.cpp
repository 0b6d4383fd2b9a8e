// Sends and receives beacons as protobuf datagrams, and serves and fetches store items as JSON over HTTP.
#include "edge/PeerLink.h"

#include "adapters/Logging.h"
#include "edge/PlacementWire.h"
#include "scheduling/RequestFields.h"

#include <beacon.pb.h>
#include <nlohmann/json.hpp>

namespace guavapond::edge {

namespace {

using nlohmann::json;

constexpr size_t maxPeerConnections = 256;
constexpr size_t maxForwardedBytes = 8 << 20;  // of requests that peers forward, of all connections together
constexpr uint32_t forwardedFieldBytes = 1024; // of header fields that a peer adds to a request
constexpr size_t datagramBytes = 64 * 1024;
constexpr uint32_t beaconVersion = 1; // see docs/design/homes.md
constexpr uint32_t storeItemsVersion = 1;
constexpr uint64_t maxFetchedBytes = 16 << 20; // of store items from a peer: the configuration and the entries of all targets
constexpr std::string_view itemsPath = "/store-items";
constexpr std::string_view smallAnswerOnly = "small=1";     // the requester can read the store, so a long answer isn't worth the transfer
constexpr Duration maxReportedAge = std::chrono::hours(24); // keeps a damaged beacon from dating anything out of range
constexpr Duration propagationMargin = std::chrono::milliseconds(50); // for the store's answer and the transfer between nodes

int64_t microseconds(TimePoint time) { return time.time_since_epoch().count(); }
TimePoint fromMicroseconds(int64_t value) { return TimePoint(Duration(value)); }

CopyReport copyReport(uint64_t digest, int64_t ageUs) { return { digest, ageUs >= 0 ? std::optional<Duration>(ageUs) : std::nullopt }; }

int64_t ageField(const CopyReport& report) { return report.age ? report.age->count() : -1; }

bool hasEqualColumns(const wire::Beacon& message) { return message.used_workspaces_size() == message.used_tokens_size(); }

// A node of an earlier version names no eras: era 0.
constexpr std::string_view operatorsEra = "operatorsEra";
constexpr std::string_view targetsEra = "targetsEra";
constexpr std::string_view evacuations = "evacuations"; // a node of an earlier version names none: revision 0
constexpr std::string_view evacuationsEra = "evacuationsEra";

StoreRevision readRevision(const json& object, const char* name, std::string_view eraName)
{
    return inEra(object.value(std::string(eraName), uint64_t { 0 }), object.at(name).get<uint64_t>());
}

void readItem(const json& item, std::vector<StoreItem>& items)
{
    try {
        items.push_back({ item.at("key").get<std::string>(), item.at("value").get<std::string>(), readRevision(item, "revision", "era"),
            item.at("gone").get<bool>() });
    } catch (const json::exception& error) { // the others hold
        log(LogLevel::Warn, "store item of a peer could not be parsed", { { "reason", error.what() } });
    }
}

// Parses the items that a peer serves; empty: the text is not a valid list of items.
std::optional<StoreItems> readItems(const std::string& text)
{
    StoreItems result;
    try {
        const json object = json::parse(text);
        result.upTo = { readRevision(object, "operators", operatorsEra), readRevision(object, "targets", targetsEra),
            object.contains(evacuations) ? readRevision(object, evacuations.data(), evacuationsEra) : 0 };
        for (const json& item : object.at("items"))
            readItem(item, result.items);
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return result;
}

} // namespace

PeerLink::PeerLink(net::io_context& loop, const PeerLinkSettings& settings, Relay& relay, Hooks hooks, uint64_t incarnation)
    : loop(loop)
    , settings(settings)
    , relay(relay)
    , hooks(std::move(hooks))
    , incarnation(incarnation)
    , peers(settings.node, settings.peers)
    , socket(loop)
    , buffer(datagramBytes)
    , itemsListener(
          loop,
          { .address = settings.address,
              .maxConnections = maxPeerConnections,
              .maxReceivedBytes = maxForwardedBytes,
              .exceptionContained = relay.edgeMetrics().exceptionHook() },
          [this](const CallerPointer& caller, CallerRequest request) { this->onPeerRequest(caller, std::move(request)); },
          [this] { return this->peerLimits(); })
    , connections(loop, { .maxBodyBytes = maxFetchedBytes, .exceptionContained = relay.edgeMetrics().exceptionHook() })
{
    this->relay.setName(settings.node);
    this->relay.onForwardersNeeded([this](TimePoint now) { return this->peers.forwarders(now); });
    this->relay.placement.setSelf(
        { .name = settings.node, .failureDomain = settings.failureDomain, .homeCapacity = homeCapacity(settings.machine) }, incarnation);
    this->relay.onPlacementMessage(
        [this](const std::string& node, const PlacementMessage& message) { this->sendPlacement(node, message); });
}

void PeerLink::start()
{
    const net::ip::udp::endpoint endpoint(net::ip::make_address(this->settings.address.ip), this->settings.address.port);
    this->socket.open(endpoint.protocol());
    this->socket.bind(endpoint);
    this->socket.non_blocking(true);
    this->itemsListener.listen();
    this->receive();
}

void PeerLink::setStopping()
{
    this->stopping = true;
    this->relay.placement.setStopping();
}

// Requests that peers forward are callers' requests with fields of the peers' own.
CallerLimits PeerLink::peerLimits() const
{
    CallerLimits result = this->relay.callerLimits();
    result.headerBytes += forwardedFieldBytes;
    return result;
}

void PeerLink::onPeerRequest(const CallerPointer& caller, CallerRequest request)
{
    if (this->relay.isForwarded(request))
        return this->relay.handleForwarded(caller, std::move(request));
    this->answerItems(caller, request.message.target());
}

void PeerLink::setMembers(std::span<const Member> members)
{
    const TimePoint now = bootTime();
    this->peers.setMembers(members, now);
    const auto isSelf = [&](const Member& member) { return member.node == this->settings.node; };
    if (!this->listedAt && std::any_of(members.begin(), members.end(), isSelf))
        this->listedAt = now;
}

bool PeerLink::isStarting(TimePoint now) const
{
    return !this->startedAt || !this->listedAt || now - std::max(*this->startedAt, *this->listedAt) < this->settings.startTime;
}

void PeerLink::receive()
{
    this->socket.async_receive_from(net::buffer(this->buffer), this->sender, [this](boost::system::error_code error, size_t bytes) {
        if (error == net::error::operation_aborted)
            return;
        // An error here comes from an earlier send to a node that is gone; it does not affect later datagrams.
        if (!error)
            this->receiveDatagram(bytes);
        this->receive();
    });
}

void PeerLink::receiveDatagram(size_t bytes)
{
    try {
        this->onDatagram(bytes);
    } catch (const std::exception& error) { // it costs this datagram; peers repeat what they tell
        this->relay.edgeMetrics().exceptionContained("datagram of a peer", error);
    }
}

void PeerLink::onDatagram(size_t bytes)
{
    wire::Beacon message;
    if (!message.ParseFromArray(this->buffer.data(), static_cast<int>(bytes)) || !hasEqualColumns(message))
        return log(LogLevel::Warn, "beacon could not be parsed", { { "from", this->sender.address().to_string() }, { "bytes", bytes } });
    const TimePoint now = bootTime();
    if (!message.placement().empty())
        return this->onPlacement(message.placement(), now);
    Beacon beacon;
    beacon.failureDomain = message.failure_domain();
    beacon.stopping = message.stopping();
    beacon.starting = message.starting();
    beacon.cutOff = message.cut_off();
    beacon.version = message.version();
    beacon.homeCapacity = message.home_capacity();
    beacon.node = message.node();
    beacon.incarnation = message.incarnation();
    beacon.sequence = message.sequence();
    beacon.sentAt = fromMicroseconds(message.sent_at_us());
    // A send time of an earlier process of this node is not used: its clock may have restarted with the machine.
    if (message.echo_incarnation() == this->incarnation)
        beacon.echo = fromMicroseconds(message.echo_sent_at_us());
    if (message.has_echo_held_us())
        beacon.echoHeld = Duration(std::max<int64_t>(message.echo_held_us(), 0));
    beacon.copies.operators = copyReport(message.operators_digest(), message.operators_age_us());
    beacon.copies.targets = copyReport(message.targets_digest(), message.targets_age_us());
    beacon.port = static_cast<uint16_t>(message.tcp_port());
    for (int i = 0; i < message.used_workspaces_size(); ++i)
        beacon.uses.push_back({ message.used_workspaces(i), message.used_tokens(i) });
    const PeerTable::BeaconResult result = this->peers.onBeacon(beacon, this->sender.address().to_string(), now);
    if (!result.accepted)
        return;
    this->relay.placement.onHeard(beacon.node, now);
    if (result.isRegained)
        log(LogLevel::Info, "peer regained", { { "peer", beacon.node }, { "nodes", this->peers.nodeCount() } });
    for (const auto& [workspace, tokens] : result.uses)
        this->relay.quota.peerUsed(workspace, tokens, now);
    for (int i = 0; i < message.leaving_targets_size(); ++i) {
        LeavingTarget leaving { message.leaving_targets(i), std::nullopt };
        if (i < message.leaving_started_size())
            leaving.startedUnixMs = message.leaving_started(i);
        this->relay.onTargetLeaving(leaving);
    }
    for (const auto& move : message.moves()) {
        VersionMove::Report report { move.order_revision(), move.arrivals(), {}, move.old_in_flight(), move.called_bad(), move.switched(),
            move.order_age_us() > 0 ? std::optional<Duration>(move.order_age_us()) : std::nullopt };
        for (const auto& route : move.routes())
            report.routes[route.route()]
                = { { route.new_requests(), route.new_bad(), route.new_running() }, { route.old_requests(), route.old_bad(), 0 } };
        this->relay.onPeerMoveReport(nameHash(beacon.node), move.service(), report);
    }
    this->readQuarantine(message, now);
    this->compareCopies(beacon, now);
}

void PeerLink::compareCopies(const Beacon& beacon, TimePoint now)
{
    const bool isNewer = this->hooks.peerCopies(beacon.node, beacon.copies, beacon.echo);
    if (!beacon.copies.operators.age || (!isNewer && !this->hooks.isBehind(now)))
        return;
    const CopyReports ownCopies = this->hooks.copies(now);
    const bool differs
        = beacon.copies.operators.digest != ownCopies.operators.digest || beacon.copies.targets.digest != ownCopies.targets.digest;
    const Duration fetchInterval = isNewer ? this->settings.newerFetchInterval
        : differs                          ? this->settings.differingFetchInterval
                                           : this->settings.behindFetchInterval;
    if (now - this->itemsRequestedAt <= fetchInterval)
        return;
    this->itemsRequestedAt = now;
    this->fetchItems({ beacon.node, this->sender.address().to_string(), beacon.port }, isNewer && !this->hooks.isBehind(now));
}

void PeerLink::answerItems(const CallerPointer& caller, std::string_view target)
{
    const auto queryNumber = [&](std::string_view name) {
        const size_t at = target.find(name);
        return at == std::string_view::npos
            ? 0
            : parseNumber<uint64_t>(target.substr(at + name.size(), target.find('&', at) - at - name.size())).value_or(0);
    };
    const auto queryRevision = [&](std::string_view name, std::string_view eraName) {
        return inEra(queryNumber(std::string(eraName) + "="), queryNumber(std::string(name) + "="));
    };
    const StoreItems found = this->hooks.items({ queryRevision("operators", operatorsEra), queryRevision("targets", targetsEra) });
    json items = json::array();
    for (const StoreItem& item : found.items)
        items.push_back({ { "key", item.key }, { "value", item.value }, { "revision", revisionInEra(item.revision) },
            { "era", eraOf(item.revision) }, { "gone", item.gone } });
    const json object { { "version", storeItemsVersion }, { "operators", revisionInEra(found.upTo.operators) },
        { operatorsEra, eraOf(found.upTo.operators) }, { "targets", revisionInEra(found.upTo.targets) },
        { targetsEra, eraOf(found.upTo.targets) }, { evacuations, revisionInEra(found.upTo.evacuations) },
        { evacuationsEra, eraOf(found.upTo.evacuations) }, { "items", std::move(items) } };
    std::string text = object.dump(-1, ' ', false, json::error_handler_t::replace);
    if (target.find(smallAnswerOnly) != std::string_view::npos && text.size() > this->settings.maxItemsBytes)
        return caller->sendResponse(makeResponse(makeErrorResponse(503, "too much; read the store")));
    caller->sendResponse(makeResponse({ 200, std::move(text), "application/json", {} }));
}

ReadOrder PeerLink::readOrder(TimePoint now) const
{
    // A peer's proof is dated from this node's last beacon before the peer's read, and arrives with the peer's next beacon.
    const Duration propagationDelay = this->settings.idleInterval + 2 * this->interval() + propagationMargin;
    return { this->peers.heardNodesBefore(now), this->peers.heardCount(now) + 1, propagationDelay };
}

// `isNewer`: the peer's copy is newer, and this node can also read the change from the store. So only a small answer is requested, and
// after a failure the store is read.
void PeerLink::fetchItems(const Member& member, bool isNewer)
{
    const auto connection = this->connections.acquire({ member.ip, member.port }, std::nullopt, std::chrono::seconds(1), bootTime());
    const auto body = std::make_shared<std::string>();
    ResponseHooks events;
    events.head = [](const http::response_header<>& head) { return head.result_int() == 200 ? HeadVerdict::Accept : HeadVerdict::Reject; };
    events.body = [body](std::string_view bytes) { *body += bytes; };
    events.complete = [this, body, weak = std::weak_ptr(connection), member] {
        if (const auto usedConnection = weak.lock())
            this->connections.release(usedConnection, bootTime());
        auto items = readItems(*body);
        if (!items)
            return log(LogLevel::Warn, "store items could not be parsed", { { "peer", member.node }, { "bytes", body->size() } });
        log(LogLevel::Info, "store items received from peer", { { "peer", member.node }, { "items", items->items.size() } });
        items->from = member.node;
        this->hooks.itemsReceived(*items);
    };
    events.failed = [this, member, isNewer](ConnectionFault fault, bool) {
        log(LogLevel::Info, "store items could not be fetched from peer",
            { { "peer", member.node }, { "fault", connectionFaultName(fault) } });
        if (isNewer)
            this->hooks.fetchFailed();
    };
    const ItemRevisions after = this->hooks.knownRevisions();
    const auto query = [](std::string_view name, std::string_view eraName, StoreRevision revision) {
        return std::string(name) + "=" + std::to_string(revisionInEra(revision)) + "&" + std::string(eraName) + "="
            + std::to_string(eraOf(revision));
    };
    const std::string target = std::string(itemsPath) + "?" + query("operators", operatorsEra, after.operators) + "&"
        + query("targets", targetsEra, after.targets) + (isNewer ? "&" + std::string(smallAnswerOnly) : "");
    connection->start("GET " + target + " HTTP/1.1\r\nHost: " + member.ip + "\r\n\r\n", "", true, std::move(events));
}

Duration PeerLink::interval() const
{
    const double growth = static_cast<double>(this->peers.nodeCount()) / static_cast<double>(this->settings.nodesAtBusyInterval);
    return std::chrono::duration_cast<Duration>(this->settings.busyInterval * std::max(1.0, growth));
}

Duration PeerLink::otherDomainInterval() const
{
    return std::max(this->interval(), this->settings.idleInterval) * this->settings.otherDomainIntervals;
}

void PeerLink::tick()
{
    const TimePoint now = bootTime();
    if (!this->startedAt)
        this->startedAt = now;
    this->relay.placement.setStarting(this->isStarting(now));
    this->peers.setBeaconInterval(std::max(this->interval(), this->settings.idleInterval));
    this->peers.setOtherDomainInterval(this->settings.failureDomain, this->otherDomainInterval());
    for (const std::string& node : this->peers.takeNewlySilent(now)) {
        log(LogLevel::Warn, "peer lost", { { "peer", node }, { "heard", this->peers.heardCount(now) } });
    }
    this->relay.quota.setReachable(this->peers.reachableFraction(now));
    this->relay.setReachableShare(this->listedAt ? this->peers.reachableFraction(now) : 0);
    const Duration reportInterval = this->interval() * this->settings.otherDomainIntervals; // a changed use is told to all nodes by then
    this->relay.quota.setReportInterval(reportInterval > this->settings.maxPromptReportInterval ? reportInterval : Duration::zero());
    this->relay.secondTries.setNodes(this->peers.nodeCount());
    if (now - this->sentAt >= this->interval())
        this->sendBeacons(now);
    if (now - this->placementNodesSetAt >= this->settings.placementNodesInterval) {
        this->placementNodesSetAt = now;
        this->relay.placement.setNodes(this->peers.placementNodes(now));
        this->relay.setRoundTrips(this->peers.roundTrips(now));
        // A lost stream takes one beacon to the peers, and what they know of its parts one more.
        const ReadOrder order = this->readOrder(now);
        this->relay.quarantine.setSettleTime(order.propagationDelay);
        this->relay.quarantine.setProbing(order.place == 0);
    }
}

void PeerLink::onPlacement(std::string_view bytes, TimePoint now)
{
    const auto message = decodePlacement(bytes);
    if (!message)
        return log(LogLevel::Warn, "placement message could not be parsed",
            { { "from", this->sender.address().to_string() }, { "bytes", bytes.size() } });
    this->relay.placement.handleMessage(*message, now);
}

void PeerLink::sendPlacement(const std::string& node, const PlacementMessage& content)
{
    const auto member = this->peers.member(node);
    if (!member)
        return;
    wire::Beacon envelope;
    envelope.set_placement(encodePlacement(content));
    this->sendTo(*member, envelope.SerializeAsString());
}

void PeerLink::sendTo(const Member& member, const std::string& datagram)
{
    boost::system::error_code error;
    const auto ip = net::ip::make_address(member.ip, error);
    if (!error) // a send that the kernel refuses counts as a lost datagram, which peers tolerate
        this->socket.send_to(net::buffer(datagram), { ip, member.port }, 0, error);
}

void PeerLink::addMoves(wire::Beacon& message, TimePoint now)
{
    for (const auto& [service, move] : this->relay.moves()) {
        const auto report = move.plan.report(this->relay.inFlightOutside(service, move.plan.order().version), now);
        auto* entry = message.add_moves();
        entry->set_service(nameHash(service));
        entry->set_order_revision(report.revision);
        entry->set_arrivals(report.arrivals);
        for (const auto& [route, counts] : report.routes) {
            auto* outcomes = entry->add_routes();
            outcomes->set_route(route);
            outcomes->set_new_requests(counts.newVersion.requests);
            outcomes->set_new_bad(counts.newVersion.bad);
            outcomes->set_new_running(counts.newVersion.running);
            outcomes->set_old_requests(counts.oldVersion.requests);
            outcomes->set_old_bad(counts.oldVersion.bad);
        }
        entry->set_old_in_flight(report.oldInFlight);
        entry->set_called_bad(report.judgedBad);
        entry->set_switched(report.switched);
        entry->set_order_age_us(report.age ? report.age->count() : 0);
    }
}

void PeerLink::addQuarantine(wire::Beacon& message, TimePoint now)
{
    const QuarantineReport report = this->relay.quarantine.report(now);
    for (const LostStream& lost : report.lost) {
        auto* entry = message.add_lost_streams();
        entry->set_target(lost.target);
        entry->set_prompt(lost.prompt);
        entry->set_age_us(lost.age.count());
        entry->mutable_parts()->Add(lost.parts.begin(), lost.parts.end());
        entry->set_request(lost.request);
    }
    const auto add = [](wire::PartAge* entry, const PartAge& part) {
        entry->set_part(part.part);
        entry->set_age_us(part.age.count());
        entry->set_is_request(part.isRequest);
    };
    for (const PartAge& part : report.begun)
        add(message.add_begun_parts(), part);
    for (const PartAge& part : report.quarantined)
        add(message.add_quarantined_parts(), part);
    for (const PartAge& part : report.withdrawn)
        add(message.add_withdrawn_parts(), part);
}

void PeerLink::readQuarantine(const wire::Beacon& message, TimePoint now)
{
    QuarantineReport report;
    const auto age = [](int64_t us) { return std::clamp(Duration(us), Duration::zero(), maxReportedAge); };
    for (const auto& entry : message.lost_streams())
        report.lost.push_back(
            { entry.target(), entry.prompt(), age(entry.age_us()), { entry.parts().begin(), entry.parts().end() }, entry.request() });
    for (const auto& entry : message.begun_parts())
        report.begun.push_back({ entry.part(), age(entry.age_us()), entry.is_request() });
    for (const auto& entry : message.quarantined_parts())
        report.quarantined.push_back({ entry.part(), age(entry.age_us()), entry.is_request() });
    for (const auto& entry : message.withdrawn_parts())
        report.withdrawn.push_back({ entry.part(), age(entry.age_us()), entry.is_request() });
    this->relay.quarantine.onPeerReport(report, now, message.node());
}

void PeerLink::sendBeacons(TimePoint now)
{
    wire::Beacon message;
    for (const LeavingTarget& leaving : this->relay.leavingTargets()) {
        message.add_leaving_targets(leaving.targetHash);
        message.add_leaving_started(*leaving.startedUnixMs);
    }
    this->addMoves(message, now);
    std::string urgentContent = message.SerializeAsString();
    for (const WorkspaceQuota::Use& use : this->relay.quota.uses()) {
        message.add_used_workspaces(use.workspaceHash);
        message.add_used_tokens(use.tokens);
    }
    std::string content = message.SerializeAsString();
    const bool quarantineChanged = this->relay.quarantine.changes() != this->reportedQuarantineChanges;
    if (content == this->lastContent && !this->beaconForced && !quarantineChanged && now - this->sentAt < this->settings.idleInterval)
        return;
    const bool isUrgent = this->beaconForced || quarantineChanged || urgentContent != this->lastUrgentContent;
    const bool goesElsewhere = isUrgent || now - this->sentElsewhereAt >= this->interval() * this->settings.otherDomainIntervals;
    if (goesElsewhere) {
        this->relay.quota.onUsageReported();
        this->sentElsewhereAt = now;
    }
    this->lastUrgentContent = std::move(urgentContent);
    this->beaconForced = false;
    this->reportedQuarantineChanges = this->relay.quarantine.changes();
    this->addQuarantine(message, now);
    this->lastContent = std::move(content);
    this->sentAt = now;
    message.set_node(this->settings.node);
    message.set_failure_domain(this->settings.failureDomain);
    message.set_stopping(this->stopping);
    message.set_starting(this->isStarting(now));
    message.set_cut_off(this->relay.reach.isCutOff());
    message.set_version(beaconVersion);
    message.set_home_capacity(homeCapacity(this->settings.machine));
    message.set_incarnation(this->incarnation);
    message.set_sequence(++this->sequence);
    message.set_sent_at_us(microseconds(now));
    const CopyReports copies = this->hooks.copies(now);
    message.set_operators_digest(copies.operators.digest);
    message.set_operators_age_us(ageField(copies.operators));
    message.set_targets_digest(copies.targets.digest);
    message.set_targets_age_us(ageField(copies.targets));
    message.set_tcp_port(this->settings.address.port);
    // Only the echo differs by peer. Protobuf merges concatenated messages when it parses them, so the rest is serialized once.
    const std::string common = message.SerializeAsString();
    for (const Member& member : this->peers.members()) {
        if (!goesElsewhere && this->peers.isElsewhere(member.node))
            continue;
        wire::Beacon echoPart;
        const PeerTable::Echo echo = this->peers.echoFor(member.node);
        echoPart.set_echo_sent_at_us(microseconds(echo.sentAt));
        echoPart.set_echo_incarnation(echo.incarnation);
        if (this->settings.measuresRoundTrips && echo.sentAt != TimePoint {})
            echoPart.set_echo_held_us((now - echo.heardAt).count());
        this->sendTo(member, common + echoPart.SerializeAsString());
    }
}

} // namespace guavapond::edge
