// Probing, suspicion, refutation and the spread of updates.
#include "core/Membership.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace guavapond {

namespace {

constexpr size_t updateOverhead = 26;  // bytes: tags, lengths, incarnation, version, state, leaving
constexpr size_t messageOverhead = 20; // bytes: tags, lengths, kind, sequence, joining

} // namespace

size_t encodedBytes(const MembershipMessage& message)
{
    size_t bytes = messageOverhead + message.to.size() + message.subject.size() + updateOverhead + message.sender.node.size();
    for (const auto& update : message.updates)
        bytes += updateOverhead + update.node.size();
    return bytes;
}

Membership::Membership(const NodeIdentity& identity, std::string failureDomain, const MembershipSettings& s, Random r)
    : settings(s)
    , random(std::move(r))
{
    this->all.push_back(
        { .failureDomain = std::move(failureDomain), .known = { .node = identity.node, .incarnation = identity.incarnation } });
    this->positions[identity.node] = self;
}

// ---- What settings and platform say

void Membership::addPeer(std::string_view node, std::string_view failureDomain)
{
    if (!this->positions.emplace(std::string(node), this->all.size()).second)
        return;
    this->all.push_back({ .failureDomain = std::string(failureDomain), .known = { .node = std::string(node) } });
    ++this->live;
    ++this->changes;
    this->spread(self);
}

void Membership::setLeavingByPlatform(std::span<const std::string> nodes)
{
    for (auto& member : this->all) {
        bool leaving = std::find(nodes.begin(), nodes.end(), member.known.node) != nodes.end();
        this->changes += leaving != member.leavingByPlatform ? 1 : 0;
        member.leavingByPlatform = leaving;
    }
}

void Membership::leave()
{
    auto& own = this->all[self].known;
    if (own.leaving)
        return;
    own.leaving = true;
    ++own.version;
    ++this->changes;
    this->spread(self);
}

// ---- Protocol: time

std::vector<MembershipMessage> Membership::advance(TimePoint now)
{
    std::vector<MembershipMessage> out;
    if (!this->lastAdvance)
        this->nextProbe = now + Duration(static_cast<int64_t>(this->random(static_cast<uint64_t>(this->settings.period.count()))));
    else if (now - *this->lastAdvance > this->settings.pauseGap)
        this->forgive(now - *this->lastAdvance);
    this->lastAdvance = now;
    this->expireSuspicions(now);
    if (this->probe && !this->probe->askedHelpers && now >= this->probe->sent + this->stretched(this->settings.directTimeout))
        this->askHelpers(now, out);
    if (now < this->nextProbe)
        return out;
    this->updatesLeft = this->settings.maxUpdatesPerPeriod;
    this->judgeProbe(now);
    std::erase_if(this->relays, [now](const auto& entry) { return entry.second.expiry <= now; });
    this->startProbe(now, out);
    this->probeOneDead(out);
    this->tellOne(now, out);
    this->nextProbe = now + this->settings.period;
    return out;
}

std::optional<TimePoint> Membership::nextWake() const
{
    if (!this->lastAdvance)
        return std::nullopt;
    auto wake = this->nextProbe;
    if (this->probe && !this->probe->askedHelpers)
        wake = std::min(wake, this->probe->sent + this->stretched(this->settings.directTimeout));
    return wake;
}

// Answers may have waited unread while this node was paused, so that missing ones are no evidence.
void Membership::forgive(Duration gap)
{
    this->probe.reset();
    for (auto& member : this->all)
        member.suspectUntil += gap;
}

void Membership::judgeProbe(TimePoint now)
{
    if (!this->probe)
        return;
    auto member = this->probe->member;
    this->probe.reset();
    ++this->failedProbes;
    auto update = this->all[member].known;
    if (update.state != MemberState::Alive)
        return;
    update.state = MemberState::Suspect;
    this->record(member, update, now);
}

void Membership::expireSuspicions(TimePoint now)
{
    if (this->suspects == 0)
        return;
    for (size_t i = 1; i < this->all.size(); ++i) {
        if (this->all[i].known.state != MemberState::Suspect || now < this->all[i].suspectUntil)
            continue;
        auto update = this->all[i].known;
        update.state = MemberState::Dead;
        this->record(i, update, now);
    }
}

// ---- Protocol: probes

void Membership::startProbe(TimePoint now, std::vector<MembershipMessage>& out)
{
    auto member = this->nextInOrder();
    if (!member)
        return;
    this->probe = Probe { *member, ++this->lastSequence, now, false };
    ++this->probesStarted;
    out.push_back(this->make(MembershipMessage::Kind::Ping, *member, this->probe->sequence));
}

// Finds the return of a node or of a whole partition. The probe is not judged: silence of a dead node is no news. All live nodes together
// send each dead one about a probe in each period, so that a returning rack is not met by a burst from the whole fleet.
void Membership::probeOneDead(std::vector<MembershipMessage>& out)
{
    bool isTurn = this->random(this->live) < this->all.size() - this->live;
    if (auto member = isTurn ? this->sampleDead() : std::nullopt)
        out.push_back(this->make(MembershipMessage::Kind::Ping, *member, ++this->lastSequence));
}

std::optional<size_t> Membership::sampleDead()
{
    if (this->live == this->all.size())
        return std::nullopt;
    auto skip = this->random(this->all.size() - this->live);
    for (size_t i = 1; i < this->all.size(); ++i) {
        if (this->all[i].known.state == MemberState::Dead && skip-- == 0)
            return i;
    }
    return std::nullopt;
}

// Each live peer once a round, in an order that is shuffled anew for each round: bounds the time until a given node is probed.
std::optional<size_t> Membership::nextInOrder()
{
    for (int round = 0; round < 2; ++round) {
        while (!this->order.empty()) {
            auto member = this->order.back();
            this->order.pop_back();
            if (this->all[member].known.state != MemberState::Dead)
                return member;
        }
        for (size_t i = 1; i < this->all.size(); ++i)
            this->order.push_back(i);
        for (size_t i = this->order.size(); i > 1; --i)
            std::swap(this->order[i - 1], this->order[this->random(i)]);
    }
    return std::nullopt;
}

// Peers that were heard from lately; all live ones if there is none. Where most of the fleet is out of reach and not yet known to be
// dead, messages to peers chosen among all would be lost.
std::vector<size_t> Membership::answering(TimePoint now) const
{
    std::vector<size_t> heard;
    std::vector<size_t> alive;
    for (size_t i = 1; i < this->all.size(); ++i) {
        const auto& member = this->all[i];
        if (member.known.state != MemberState::Alive)
            continue;
        alive.push_back(i);
        if (member.heard && now - *member.heard <= this->settings.period * this->settings.heardPeriods)
            heard.push_back(i);
    }
    return heard.empty() ? alive : heard;
}

// One message more in each period while there are updates to tell.
void Membership::tellOne(TimePoint now, std::vector<MembershipMessage>& out)
{
    bool hasNews = std::any_of(this->all.begin() + 1, this->all.end(), [](const Member& member) { return member.sendsLeft > 0; });
    if (!hasNews)
        return;
    auto peers = this->answering(now);
    if (!peers.empty())
        out.push_back(this->make(MembershipMessage::Kind::Ping, peers[this->random(peers.size())], ++this->lastSequence));
}

void Membership::askHelpers(TimePoint now, std::vector<MembershipMessage>& out)
{
    this->probe->askedHelpers = true;
    auto helpers = this->answering(now);
    std::erase(helpers, this->probe->member);
    for (size_t i = 0; i < std::min<size_t>(this->settings.helpers, helpers.size()); ++i) {
        std::swap(helpers[i], helpers[i + this->random(helpers.size() - i)]);
        auto message = this->make(MembershipMessage::Kind::PingRequest, helpers[i], this->probe->sequence);
        message.subject = this->all[this->probe->member].known.node;
        out.push_back(std::move(message));
    }
}

std::vector<MembershipMessage> Membership::onMessage(const MembershipMessage& message, TimePoint now)
{
    std::vector<MembershipMessage> out;
    auto sender = this->positions.find(message.sender.node);
    if (message.to != this->all[self].known.node || sender == this->positions.end() || sender->second == self)
        return out; // an address that belongs to another node now, or a node outside the settings
    this->all[sender->second].heard = now;
    this->apply(message.sender, now);
    for (const auto& update : message.updates)
        this->apply(update, now);
    switch (message.kind) {
    case MembershipMessage::Kind::Ping: {
        bool knowsOlder = message.sender != this->all[sender->second].known;
        auto ack = this->make(MembershipMessage::Kind::Ack, sender->second, message.sequence, knowsOlder);
        if (message.joining)
            this->addNotLive(ack);
        out.push_back(std::move(ack));
        break;
    }
    case MembershipMessage::Kind::PingRequest: {
        auto subject = this->positions.find(message.subject);
        if (subject == this->positions.end() || subject->second == self || this->relays.size() >= this->settings.maxRelays)
            break;
        out.push_back(this->make(MembershipMessage::Kind::Ping, subject->second, ++this->lastSequence));
        this->relays[this->lastSequence] = { message.sender.node, message.sequence, now + this->settings.period };
        break;
    }
    case MembershipMessage::Kind::Ack:
        if (this->probe && this->probe->sequence == message.sequence) {
            this->probe.reset();
            this->failedProbes = 0;
        }
        if (auto relay = this->relays.find(message.sequence); relay != this->relays.end()) {
            out.push_back(this->make(MembershipMessage::Kind::Ack, this->positions[relay->second.origin], relay->second.originSequence));
            this->relays.erase(relay);
        }
        break;
    }
    return out;
}

// ---- Updates

bool Membership::isNewer(const MemberUpdate& update, const MemberUpdate& known)
{
    if (update.version != known.version)
        return update.version > known.version;
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

void Membership::apply(const MemberUpdate& update, TimePoint now)
{
    auto found = this->positions.find(update.node);
    if (found == this->positions.end())
        return;
    if (found->second == self)
        this->applyToSelf(update);
    else if (isNewer(update, this->all[found->second].known))
        this->record(found->second, update, now);
}

// Refutes a suspicion, and replaces what is known of an earlier process of the same name.
void Membership::applyToSelf(const MemberUpdate& update)
{
    auto& own = this->all[self].known;
    bool isOther = update.incarnation != own.incarnation || update.state != MemberState::Alive;
    if (!isOther || update.version < own.version)
        return;
    own.version = update.version + 1;
    this->spread(self);
}

void Membership::record(size_t position, const MemberUpdate& update, TimePoint now)
{
    auto& member = this->all[position];
    auto count = [&](int sign) {
        this->live += member.known.state != MemberState::Dead ? sign : 0;
        this->suspects += member.known.state == MemberState::Suspect ? sign : 0;
    };
    // Peers are taken as alive before they are heard of, so that the first word of one is no news to the others.
    bool isNews = member.known.incarnation != 0 || member.known.state != MemberState::Alive || update.state != MemberState::Alive
        || update.version > 0;
    count(-1);
    member.known = update;
    count(1);
    ++this->changes;
    if (update.state == MemberState::Suspect)
        member.suspectUntil
            = now + fromSeconds(toSeconds(this->stretched(this->settings.period)) * this->settings.suspicionPeriods * this->logNodes());
    if (isNews)
        this->spread(position);
}

void Membership::spread(size_t member)
{
    this->all[member].sendsLeft = static_cast<uint32_t>(std::ceil(this->settings.spreadFactor * this->logNodes()));
}

// One failed probe is the other node's fault more often than this node's.
Duration Membership::stretched(Duration time) const
{
    uint32_t delay = std::min(this->failedProbes > 0 ? this->failedProbes - 1 : 0, this->settings.maxLocalDelay);
    return time * (1 + delay);
}

double Membership::logNodes() const { return std::max(1.0, std::log2(static_cast<double>(this->all.size()) + 1)); }

// ---- Messages

MembershipMessage Membership::make(MembershipMessage::Kind kind, size_t to, uint64_t sequence, bool knowsOlder)
{
    MembershipMessage message;
    message.kind = kind;
    message.to = this->all[to].known.node;
    message.sequence = sequence;
    message.joining = kind == MembershipMessage::Kind::Ping && this->probesStarted <= this->settings.joinProbes;
    message.sender = this->all[self].known;
    this->addUpdates(message, to, knowsOlder);
    return message;
}

// The receiver's own record first if it has something to refute (`knowsOlder`: its last message showed an older one), then the updates that
// were sent the fewest times.
void Membership::addUpdates(MembershipMessage& message, size_t to, bool knowsOlder)
{
    const auto& receiver = this->all[to].known;
    if (receiver.state != MemberState::Alive || knowsOlder)
        message.updates.push_back(receiver);
    // What a suspect or dead node most likely does not receive would count as told.
    if (receiver.state != MemberState::Alive || message.kind == MembershipMessage::Kind::PingRequest)
        return;
    std::vector<size_t> waiting;
    for (size_t i = 1; i < this->all.size(); ++i) {
        if (i != to && this->all[i].sendsLeft > 0)
            waiting.push_back(i);
    }
    // Shuffled, so that updates of equal age do not all start with the same ones.
    for (size_t i = waiting.size(); i > 1; --i)
        std::swap(waiting[i - 1], waiting[this->random(i)]);
    size_t room = std::min<size_t>({ waiting.size(), this->settings.maxUpdates - message.updates.size(), this->updatesLeft });
    this->updatesLeft -= static_cast<uint32_t>(room);
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(room), waiting.end(),
        [this](size_t a, size_t b) { return this->all[a].sendsLeft > this->all[b].sendsLeft; });
    for (size_t i = 0; i < room; ++i) {
        --this->all[waiting[i]].sendsLeft;
        message.updates.push_back(this->all[waiting[i]].known);
    }
}

// A node that just started takes all peers as live, and the updates about dead ones were sent before its time.
void Membership::addNotLive(MembershipMessage& message)
{
    size_t dead = this->all.size() - this->live;
    for (size_t i = 0; i < dead && message.updates.size() < this->settings.maxUpdates; ++i) {
        if (auto member = this->sampleDead())
            message.updates.push_back(this->all[*member].known);
    }
}

// ---- Reading

MemberView Membership::viewOf(const Member& member) const
{
    return { member.known.node, member.failureDomain, member.known.incarnation, member.known.state,
        member.known.leaving || member.leavingByPlatform };
}

std::vector<MemberView> Membership::members() const
{
    std::vector<MemberView> views;
    views.reserve(this->all.size());
    for (const auto& member : this->all)
        views.push_back(this->viewOf(member));
    return views;
}

std::optional<MemberView> Membership::find(std::string_view node) const
{
    auto found = this->positions.find(std::string(node));
    if (found == this->positions.end())
        return std::nullopt;
    return this->viewOf(this->all[found->second]);
}

} // namespace guavapond
