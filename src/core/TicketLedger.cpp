// Ticket state machine with bounded retention. All that is forgotten answers "outcome unknown".
#include "core/TicketLedger.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace guavapond {

namespace {

constexpr size_t maxFailureMessage = 200; // bytes kept per ticket

bool isLive(TicketState state) { return state == TicketState::Queued || state == TicketState::Dispatched; }

Failure unknownOutcome(std::string message) { return { FailureKind::OutcomeUnknown, Disposition::Unknown, std::move(message), {} }; }

Failure neverMinted() { return { FailureKind::NotFound, Disposition::NotRun, "this node never minted the ticket", {} }; }

Failure earlierIncarnation() { return unknownOutcome("the node that owned the ticket has restarted since"); }

Failure noLongerRetained() { return unknownOutcome("the ticket is no longer retained"); }

Failure answerNotKept() { return { FailureKind::NotFound, Disposition::Ran, "the request ran; its answer is not kept", {} }; }

Failure otherRequest() { return { FailureKind::TicketMismatch, Disposition::NotRun, "the ticket is bound to another request", {} }; }

Claim refuse(Claim::Kind kind, Failure failure) { return { kind, nullptr, std::move(failure) }; }

} // namespace

std::string_view ticketStateName(TicketState state)
{
    constexpr std::array<std::string_view, 6> names { "minted", "queued", "dispatched", "finished", "unknown", "not_run" };
    return names.at(static_cast<size_t>(state));
}

TicketLedger::TicketLedger(const NodeIdentity& identity, const LedgerSettings& ledgerSettings)
    : self(identity)
    , settings(ledgerSettings)
{
    assert(isNodeName(identity.node));
    assert(ledgerSettings.retainedTickets > 0);
}

// ---- Tickets and claims

Ticket TicketLedger::mint(bool witnessed, TimePoint now)
{
    evict(now);
    Ticket ticket { this->self, nextSequence(), witnessed };
    Record& record = this->records.emplace_back();
    record.witnessed = witnessed;
    record.since = now;
    if (this->records.size() > this->settings.retainedTickets)
        evictFront();
    return ticket;
}

Claim TicketLedger::claim(const Ticket& ticket, uint64_t requestDigest, TimePoint now)
{
    evict(now);
    if (ticket.owner.node != this->self.node)
        return { Claim::Kind::Forward, nullptr, std::nullopt };
    if (!isOwn(ticket))
        return refuse(Claim::Kind::Gone, earlierIncarnation());
    if (Record* record = find(ticket))
        return claimHere(*record, requestDigest);
    if (isEvicted(ticket))
        return refuse(Claim::Kind::Outcome, noLongerRetained());
    return refuse(Claim::Kind::NotFound, neverMinted());
}

Claim TicketLedger::claimHere(Record& record, uint64_t requestDigest)
{
    if (record.digest && *record.digest != requestDigest)
        return refuse(Claim::Kind::Mismatch, otherRequest());
    switch (record.state) {
    case TicketState::Minted:
        record.state = TicketState::Queued;
        record.digest = requestDigest;
        record.failure = nullptr;
        return { Claim::Kind::Run, nullptr, std::nullopt };
    case TicketState::Queued:
    case TicketState::Dispatched:
        return { Claim::Kind::Attach, nullptr, std::nullopt };
    case TicketState::Finished:
        if (record.answer)
            return { Claim::Kind::Answer, record.answer, std::nullopt };
        return refuse(Claim::Kind::Outcome, answerNotKept());
    case TicketState::NotRun:
    case TicketState::Unknown:
        break;
    }
    return refuse(Claim::Kind::Outcome, *record.failure);
}

// ---- Transitions

bool TicketLedger::startDispatch(const Ticket& ticket, TimePoint now)
{
    evict(now);
    Record* record = find(ticket);
    if (!record || record->state != TicketState::Queued)
        return false;
    record->state = TicketState::Dispatched;
    return true;
}

bool TicketLedger::revertUnsent(const Ticket& ticket)
{
    auto* record = find(ticket);
    if (!record || record->state != TicketState::Dispatched)
        return false;
    record->state = TicketState::Queued;
    return true;
}

void TicketLedger::finish(const Ticket& ticket, std::optional<StoredAnswer> answer, TimePoint now)
{
    Record* record = find(ticket);
    if (!record || record->state != TicketState::Dispatched)
        return;
    end(*record, ticket.sequence, TicketState::Finished, nullptr, now);
    if (answer)
        keepAnswer(*record, ticket.sequence, std::move(*answer));
    evict(now);
}

bool TicketLedger::giveUp(const Ticket& ticket, const Failure& failure, TimePoint now)
{
    evict(now);
    Record* record = find(ticket);
    if (!record)
        return false;
    if (record->state == TicketState::NotRun)
        return true;
    if (record->state != TicketState::Minted && record->state != TicketState::Queued)
        return false;
    end(*record, ticket.sequence, TicketState::NotRun, &failure, now);
    return true;
}

void TicketLedger::lose(const Ticket& ticket, const Failure& failure, TimePoint now)
{
    Record* record = find(ticket);
    if (!record || record->state != TicketState::Dispatched)
        return;
    end(*record, ticket.sequence, TicketState::Unknown, &failure, now);
    evict(now);
}

void TicketLedger::end(Record& record, uint64_t sequence, TicketState state, const Failure* failure, TimePoint now)
{
    record.state = state;
    record.since = now;
    if (failure) {
        record.failure = std::make_unique<Failure>(*failure);
        record.failure->message.resize(std::min(record.failure->message.size(), maxFailureMessage));
        record.failure->disposition = state == TicketState::NotRun ? Disposition::NotRun : Disposition::Unknown;
    }
    if (sequence < this->firstRetained)
        this->endedBelowMark.push_back({ sequence, now });
}

// ---- Reading

Outcome TicketLedger::outcome(const Ticket& ticket, TimePoint now) const
{
    if (ticket.owner.node != this->self.node)
        return { Outcome::Place::OtherNode, {}, {}, nullptr, std::nullopt };
    if (!isOwn(ticket))
        return { Outcome::Place::EarlierIncarnation, {}, Disposition::Unknown, nullptr, earlierIncarnation() };
    const Record* record = find(ticket);
    if (!record && !isEvicted(ticket))
        return { Outcome::Place::NeverMinted, {}, {}, nullptr, neverMinted() };
    if (!record || isExpired(*record, now))
        return { Outcome::Place::Here, {}, Disposition::Unknown, nullptr, noLongerRetained() };

    Outcome outcome { Outcome::Place::Here, record->state, {}, record->answer, std::nullopt };
    if (record->failure)
        outcome.failure = *record->failure;
    if (record->state == TicketState::Finished)
        outcome.disposition = Disposition::Ran;
    else if (record->state == TicketState::Unknown)
        outcome.disposition = Disposition::Unknown;
    else if (record->state == TicketState::NotRun)
        outcome.disposition = Disposition::NotRun;
    return outcome;
}

std::vector<uint64_t> TicketLedger::queuedWitnessed() const
{
    std::vector<uint64_t> queued;
    for (const auto& [sequence, record] : this->belowMark) {
        if (record.witnessed && record.state == TicketState::Queued)
            queued.push_back(sequence);
    }
    for (size_t i = 0; i < this->records.size(); ++i) {
        if (this->records[i].witnessed && this->records[i].state == TicketState::Queued)
            queued.push_back(this->firstRetained + i);
    }
    return queued;
}

const TicketLedger::Record* TicketLedger::find(const Ticket& ticket) const { return const_cast<TicketLedger*>(this)->find(ticket); }

TicketLedger::Record* TicketLedger::find(const Ticket& ticket)
{
    Record* record = isOwn(ticket) ? findSequence(ticket.sequence) : nullptr;
    // A text with the other mode was never handed out.
    return record && record->witnessed == ticket.witnessed ? record : nullptr;
}

TicketLedger::Record* TicketLedger::findSequence(uint64_t sequence)
{
    if (sequence >= nextSequence())
        return nullptr;
    if (sequence >= this->firstRetained)
        return &this->records[sequence - this->firstRetained];
    auto found = this->belowMark.find(sequence);
    return found == this->belowMark.end() ? nullptr : &found->second;
}

bool TicketLedger::isEvicted(const Ticket& ticket) const
{
    return ticket.sequence > 0 && ticket.sequence < this->firstRetained && !this->belowMark.contains(ticket.sequence);
}

// ---- Bounds

void TicketLedger::keepAnswer(Record& record, uint64_t sequence, StoredAnswer answer)
{
    if (answer.bytes() > this->settings.answerBytes || answer.bytes() > this->settings.totalAnswerBytes)
        return;
    this->answerBytes += answer.bytes();
    record.answer = std::make_shared<const StoredAnswer>(std::move(answer));
    this->answerOrder.push_back(sequence);
    while (this->answerBytes > this->settings.totalAnswerBytes) {
        if (Record* oldest = findSequence(this->answerOrder.front()))
            dropAnswer(*oldest);
        this->answerOrder.pop_front();
    }
    compactAnswerOrder();
}

void TicketLedger::compactAnswerOrder()
{
    if (this->answerOrder.size() <= 2 * retained())
        return;
    std::erase_if(this->answerOrder, [this](uint64_t sequence) {
        const Record* record = findSequence(sequence);
        return !record || !record->answer;
    });
}

void TicketLedger::dropAnswer(Record& record)
{
    if (!record.answer)
        return;
    this->answerBytes -= record.answer->bytes();
    record.answer = nullptr;
}

bool TicketLedger::isExpired(const Record& record, TimePoint now) const
{
    return !isLive(record.state) && record.since + this->settings.retention <= now;
}

void TicketLedger::evict(TimePoint now)
{
    while (!this->records.empty() && isExpired(this->records.front(), now))
        evictFront();
    evictBelowMark(now);
}

void TicketLedger::evictFront()
{
    Record& front = this->records.front();
    if (isLive(front.state))
        this->belowMark.emplace(this->firstRetained, std::move(front));
    else
        dropAnswer(front);
    this->records.pop_front();
    ++this->firstRetained;
    if (this->belowMark.size() > this->settings.liveBelowMark)
        dropBelowMark(this->belowMark.begin()->first);
}

void TicketLedger::evictBelowMark(TimePoint now)
{
    // Entries of dropped tickets also take room, so the number of entries is bounded as well as their age.
    const size_t maxEntries = 2 * this->settings.liveBelowMark;
    while (!this->endedBelowMark.empty()) {
        const Ended& oldest = this->endedBelowMark.front();
        if (oldest.at + this->settings.retention > now && this->endedBelowMark.size() <= maxEntries)
            break;
        dropBelowMark(oldest.sequence);
        this->endedBelowMark.pop_front();
    }
}

void TicketLedger::dropBelowMark(uint64_t sequence)
{
    auto found = this->belowMark.find(sequence);
    if (found == this->belowMark.end())
        return;
    dropAnswer(found->second);
    this->belowMark.erase(found);
}

} // namespace guavapond
