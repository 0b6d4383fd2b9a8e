// Transport of the witness protocol.
#include "node/WitnessLink.h"

#include <algorithm>

namespace guavapond {

WitnessLink::WitnessLink(std::string domain, const WitnessLinkSettings& s, WitnessLinkPorts p, Decisions& d)
    : failureDomain(std::move(domain))
    , settings(s)
    , ports(std::move(p))
    , decisions(d)
    , candidates(this->ports.peers)
{
    std::stable_partition(this->candidates.begin(), this->candidates.end(),
        [this](const PeerAddress& peer) { return peer.failureDomain == this->failureDomain; });
}

void WitnessLink::run(const std::atomic<bool>& stop)
{
    while (!stop) {
        auto now = this->ports.clock();
        this->step(now);
        std::optional<TimePoint> due;
        {
            std::lock_guard lock(this->decisions.mutex);
            due = this->decisions.owner.nextWake();
            auto other = this->decisions.witness.nextWake();
            if (!due || (other && *other < *due))
                due = other;
        }
        auto until = now + this->settings.longestWait;
        std::unique_lock lock(this->waitMutex);
        this->waitChanged.wait_until(lock, due ? std::min(*due, until) : until, [this] { return this->poked; });
        this->poked = false;
    }
}

void WitnessLink::poke()
{
    std::lock_guard lock(this->waitMutex);
    this->poked = true;
    this->waitChanged.notify_one();
}

void WitnessLink::step(TimePoint now)
{
    OwnerOutput output;
    std::vector<TakeoverAccess> takeovers;
    bool wants = false;
    {
        std::lock_guard lock(this->decisions.mutex);
        output = this->decisions.owner.advance(now);
        takeovers = this->decisions.witness.advance(now);
        wants = this->decisions.owner.wantsWitness(now);
    }
    for (const auto& message : output.messages)
        this->ports.background([this, message] { this->send(message); });
    if (output.access)
        this->ports.background([this, access = *output.access] { this->accessOwnRecord(access); });
    for (const auto& access : takeovers)
        this->ports.background([this, access] { this->accessOwnersRecord(access); });
    if (wants && !this->candidates.empty() && now >= this->nextSearch && !this->searching.exchange(true)) {
        this->nextSearch = now + this->settings.candidateInterval;
        this->ports.background([this] {
            this->findWitness(this->ports.clock());
            this->searching = false;
        });
    }
}

// All candidates from the next one on, those first that membership takes as live and not leaving. The others are asked last and not left
// out, since the view may be wrong.
std::vector<size_t> WitnessLink::searchOrder() const
{
    std::vector<size_t> order;
    for (size_t i = 0; i < this->candidates.size(); ++i)
        order.push_back((this->nextCandidate + i) % this->candidates.size());
    if (this->ports.isEligible)
        std::stable_partition(order.begin(), order.end(), [this](size_t i) { return this->ports.isEligible(this->candidates[i].name); });
    return order;
}

// Takes the next candidate that answers. The one that was lost is asked again only after the others.
void WitnessLink::findWitness(TimePoint now)
{
    for (auto position : this->searchOrder()) {
        const auto& candidate = this->candidates[position];
        this->nextCandidate = (position + 1) % this->candidates.size();
        auto identity = this->ports.peer.identity(candidate.address);
        if (!identity || identity->node != candidate.name)
            continue;
        {
            std::lock_guard lock(this->decisions.mutex);
            if (!this->decisions.owner.wantsWitness(this->ports.clock()))
                return;
            auto& ledger = this->decisions.ledger;
            this->decisions.owner.replaceWitness(*identity, ledger.nextSequence(), ledger.queuedWitnessed(), now);
        }
        this->ports.granted();
        return this->poke();
    }
}

void WitnessLink::send(const OwnerMessage& message)
{
    const auto* address = this->addressOf(message.witness.node);
    if (!address)
        return;
    auto reply = this->ports.peer.witness(address->address, message);
    if (!reply || !reply->has_value())
        return; // the state machine sends again
    OwnerState before {};
    OwnerState after {};
    {
        std::lock_guard lock(this->decisions.mutex);
        before = this->decisions.owner.state();
        this->decisions.owner.onMessage(**reply, this->ports.clock());
        after = this->decisions.owner.state();
    }
    if ((*reply)->kind == WitnessMessage::Kind::Granted || before != after)
        this->ports.granted();
    this->poke();
}

void WitnessLink::accessOwnRecord(const RecordAccess& access)
{
    auto key = recordKey(this->decisions.ledger.identity().node);
    if (access.write) {
        auto written = this->ports.keyValue.put(key, recordText(access.record), access.expected, std::nullopt);
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.owner.onRecordWritten(written, this->ports.clock());
    } else {
        auto read = this->ports.keyValue.get(key);
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.owner.onRecordRead(read, this->ports.clock());
    }
    this->ports.granted();
    this->poke();
}

void WitnessLink::accessOwnersRecord(const TakeoverAccess& takeover)
{
    auto key = recordKey(takeover.owner.node);
    if (takeover.access.write) {
        auto written = this->ports.keyValue.put(key, recordText(takeover.access.record), takeover.access.expected, std::nullopt);
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.witness.onRecordWritten(takeover.owner, written, this->ports.clock());
    } else {
        auto read = this->ports.keyValue.get(key);
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.witness.onRecordRead(takeover.owner, read, this->ports.clock());
    }
    this->poke();
}

// ---- As a witness

std::optional<WitnessMessage> WitnessLink::onOwnerMessage(const OwnerMessage& message)
{
    std::lock_guard lock(this->decisions.mutex);
    return this->decisions.witness.onMessage(message, this->ports.clock());
}

std::optional<Disposition> WitnessLink::takeover(std::string_view text, const NodeIdentity& witness)
{
    auto ticket = parseTicket(text);
    if (!ticket || witness != this->decisions.ledger.identity())
        return Disposition::Unknown;
    auto answer = [&]() {
        std::lock_guard lock(this->decisions.mutex);
        return this->decisions.witness.answer(*ticket);
    };
    if (auto known = answer())
        return known;
    // A false suspicion fences a live owner: it loses its witnessed queue, but nothing untrue is said.
    if (this->isAlive(ticket->owner))
        return std::nullopt;
    {
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.witness.presumeFailed(ticket->owner, this->ports.clock());
    }
    this->poke();
    auto until = this->ports.clock() + this->settings.resolveTime / 2;
    auto known = answer();
    while (!known && this->ports.clock() < until) {
        this->ports.sleep(this->settings.probeInterval / 4);
        known = answer();
    }
    return known;
}

bool WitnessLink::isAlive(const NodeIdentity& owner)
{
    const auto* address = this->addressOf(owner.node);
    if (!address)
        return false;
    for (uint32_t i = 0; i < this->settings.probes; ++i) {
        auto identity = this->ports.peer.identity(address->address);
        if (identity)
            return *identity == owner; // a later incarnation of it answers: this one is gone
        if (i + 1 < this->settings.probes)
            this->ports.sleep(this->settings.probeInterval);
    }
    return false;
}

// Whether another incarnation runs under the owner's name, or none can.
bool WitnessLink::isReplaced(const NodeIdentity& owner)
{
    const auto* address = this->addressOf(owner.node);
    if (!address)
        return true; // no peer, or this node, which asks only for its earlier incarnations
    auto identity = this->ports.peer.identity(address->address);
    return identity && *identity != owner;
}

// ---- For a ticket whose owner is gone

Failure WitnessLink::resolve(const Ticket& ticket)
{
    Failure unknown { FailureKind::OutcomeUnknown, Disposition::Unknown,
        "the owner of the ticket is gone and nobody can tell what became of it", {} };
    if (!ticket.witnessed) {
        if (this->isReplaced(ticket.owner))
            return unknown;
        // Cut off from here, an owner mints unwitnessed tickets and runs them: it can tell their outcome when it is reached again.
        return { FailureKind::OwnerUnreachable, Disposition::Unknown, "the owner of the ticket does not answer here",
            std::chrono::seconds(1) };
    }
    auto until = this->ports.clock() + this->settings.resolveTime;
    while (this->ports.clock() < until) {
        auto named = this->witnessOf(ticket);
        if (!named)
            return { FailureKind::PlatformUnavailable, Disposition::Unknown, "the record of the ticket's owner can't be read now",
                std::chrono::seconds(2) };
        if (!named->has_value())
            return unknown;
        const auto& witness = *named;
        std::optional<Disposition> answer;
        if (*witness == this->decisions.ledger.identity()) {
            answer = this->takeover(ticketText(ticket), *witness);
        } else {
            const auto* address = this->addressOf(witness->node);
            auto reply = address ? this->ports.peer.takeover(address->address, ticketText(ticket), *witness)
                                 : Result<std::optional<Disposition>>(unknown);
            if (!reply)
                return { FailureKind::OwnerUnreachable, Disposition::Unknown, "neither the owner of the ticket nor its witness answers",
                    std::chrono::seconds(2) };
            answer = *reply;
        }
        if (answer == Disposition::NotRun)
            return { FailureKind::OutcomeUnknown, Disposition::NotRun,
                "the owner of the ticket is gone; its witness proves that it was not run", Duration(1000) };
        if (answer)
            return unknown;
        this->ports.sleep(this->settings.probeInterval);
    }
    return { FailureKind::OwnerUnreachable, Disposition::Unknown, "the owner of the ticket does not answer here", std::chrono::seconds(1) };
}

// The witness that the record names for the ticket's incarnation; empty: none.
Result<std::optional<NodeIdentity>> WitnessLink::witnessOf(const Ticket& ticket)
{
    auto pair = this->ports.keyValue.get(recordKey(ticket.owner.node));
    if (!pair)
        return *pair.reason;
    auto record = parseRecord(pair->value);
    if (pair->revision == 0 || !record)
        return std::optional<NodeIdentity> {};
    if (record->current.incarnation == ticket.owner.incarnation)
        return std::optional<NodeIdentity>(record->current.witness);
    for (const auto& entry : record->previous) {
        if (entry.incarnation == ticket.owner.incarnation)
            return std::optional<NodeIdentity>(entry.witness);
    }
    return std::optional<NodeIdentity> {};
}

// ---- Planned stop

void WitnessLink::handOver()
{
    {
        std::lock_guard lock(this->decisions.mutex);
        this->decisions.owner.handOver(this->ports.clock());
    }
    this->poke();
    auto isOver = [this] {
        std::lock_guard lock(this->decisions.mutex);
        return this->decisions.owner.state() == OwnerState::Stopped;
    };
    auto until = this->ports.clock() + this->settings.handoverTime;
    while (!isOver() && this->ports.clock() < until)
        this->ports.sleep(this->settings.probeInterval / 10);
}

const PeerAddress* WitnessLink::addressOf(std::string_view node) const
{
    for (const auto& peer : this->ports.peers) {
        if (peer.name == node)
            return &peer;
    }
    return nullptr;
}

} // namespace guavapond
