// In-memory network, key-value service, owners and witnesses for the tests of the witness protocol. All choices come from the caller.
//
// Index
//   Item    a message or a record access in flight
//   Owner   one incarnation of the owner "o": ledger, grants, dispatches
//   World   everything; checks P1, P5 and P6 at every dispatch and every answer
#pragma once

#include "core/TicketLedger.h"
#include "core/Witness.h"

#include <deque>
#include <memory>
#include <variant>

// Last: its macros redefine `new`.
#include <CppUTest/TestHarness.h>

namespace guavapond::testing {

enum class AccessFault : uint8_t {
    None,
    NotApplied,  // the request is lost
    ResultLost,  // applied, the result is lost
    AppliedLate, // reported as lost, applied afterwards
};

struct OwnerAccess {
    NodeIdentity owner;
    RecordAccess access;
};
struct WitnessAccess {
    NodeIdentity witness;
    TakeoverAccess takeover;
};
struct LateWrite {
    RecordAccess access;
};
using Item = std::variant<OwnerMessage, WitnessMessage, OwnerAccess, WitnessAccess, LateWrite>;

struct Owner {
    explicit Owner(const NodeIdentity& identity)
        : ledger(identity, {})
        , grants(identity, {})
    {
    }
    TicketLedger ledger;
    WitnessedOwner grants;
    std::vector<Ticket> tickets; // minted, in order
    bool paused = false;
    bool dead = false;
};

class World {
public:
    static constexpr size_t witnessCount = 2;
    const Failure shed { FailureKind::Shed, Disposition::NotRun, "shed", {} };

    World()
    {
        startOwner();
        for (size_t i = 0; i < witnessCount; ++i)
            this->witnesses.push_back(
                std::make_unique<WitnessStore>(NodeIdentity { "w" + std::to_string(i), ++this->incarnations }, limits()));
        this->witnessPaused.assign(witnessCount, false);
    }

    // ---- Parties
    Owner& owner() { return *this->owners.back(); }
    void startOwner() { this->owners.push_back(std::make_unique<Owner>(NodeIdentity { "o", ++this->incarnations })); }
    NodeIdentity witnessIdentity(size_t i) const { return { "w" + std::to_string(i), this->witnessIncarnations[i] }; }
    void restartWitness(size_t i)
    {
        this->witnessIncarnations[i] = ++this->incarnations;
        this->witnesses[i] = std::make_unique<WitnessStore>(witnessIdentity(i), limits());
    }
    void replaceWitness(Owner& o, size_t i)
    {
        o.grants.replaceWitness(witnessIdentity(i), o.ledger.nextSequence(), o.ledger.queuedWitnessed(), this->now);
    }
    void mintAndClaim(Owner& o)
    {
        o.tickets.push_back(o.ledger.mint(o.grants.mintsWitnessed(), this->now));
        CHECK(o.ledger.claim(o.tickets.back(), o.tickets.back().sequence, this->now).kind == Claim::Kind::Run);
    }
    void giveUp(Owner& o, const Ticket& ticket)
    {
        if (!o.ledger.giveUp(ticket, this->shed, this->now))
            return;
        o.grants.withdraw(ticket.sequence);
        saidNotRun(ticket);
    }
    // An unwitnessed ticket needs no grant.
    void dispatch(Owner& o, const Ticket& ticket)
    {
        if (ticket.witnessed && !o.grants.useGrant(ticket.sequence))
            return;
        if (!o.ledger.startDispatch(ticket, this->now))
            return;
        CHECK_TEXT(++this->dispatches[ticketText(ticket)] == 1, "P1, P6: dispatched twice");
        CHECK_TEXT(!this->notRun.contains(ticketText(ticket)), "P5: dispatched after it was reported as not run");
    }
    // Asks for and dispatches all that may be dispatched.
    void work(Owner& o)
    {
        if (o.paused || o.dead)
            return;
        for (uint64_t sequence : o.ledger.queuedWitnessed())
            o.grants.ask(sequence);
        for (const Ticket& ticket : o.tickets)
            dispatch(o, ticket);
    }

    // ---- Network
    void collect()
    {
        for (auto& o : this->owners) {
            if (o->paused || o->dead)
                continue;
            OwnerOutput output = o->grants.advance(this->now);
            for (OwnerMessage& message : output.messages)
                this->items.emplace_back(std::move(message));
            if (output.access)
                this->items.emplace_back(OwnerAccess { o->ledger.identity(), *output.access });
        }
        for (size_t i = 0; i < witnessCount; ++i) {
            if (this->witnessPaused[i])
                continue;
            for (TakeoverAccess& takeover : this->witnesses[i]->advance(this->now))
                this->items.emplace_back(WitnessAccess { witnessIdentity(i), std::move(takeover) });
        }
    }
    Item take(size_t at)
    {
        Item item = std::move(this->items[at]);
        this->items.erase(this->items.begin() + static_cast<std::ptrdiff_t>(at));
        return item;
    }
    void deliver(const Item& item, AccessFault fault = AccessFault::None)
    {
        if (const auto* message = std::get_if<OwnerMessage>(&item))
            deliverToWitness(*message);
        else if (const auto* answer = std::get_if<WitnessMessage>(&item))
            deliverToOwner(*answer);
        else if (const auto* byOwner = std::get_if<OwnerAccess>(&item))
            accessByOwner(*byOwner, fault);
        else if (const auto* byWitness = std::get_if<WitnessAccess>(&item))
            accessByWitness(*byWitness, fault);
        else
            write(std::get<LateWrite>(item).access);
    }
    static bool isAccess(const Item& item)
    {
        return std::holds_alternative<OwnerAccess>(item) || std::holds_alternative<WitnessAccess>(item);
    }

    // ---- Answers: what each witness says about each ticket of each incarnation.
    void checkAnswers()
    {
        for (size_t i = 0; i < witnessCount; ++i) {
            for (const auto& o : this->owners) {
                for (const Ticket& ticket : o->tickets) {
                    if (!this->witnessPaused[i] && this->witnesses[i]->answer(ticket) == Disposition::NotRun)
                        saidNotRun(ticket);
                }
            }
        }
    }
    void saidNotRun(const Ticket& ticket)
    {
        this->notRun.insert(ticketText(ticket));
        CHECK_TEXT(!this->dispatches.contains(ticketText(ticket)), "P5: reported as not run after its dispatch");
    }

    TimePoint now {};
    std::vector<std::unique_ptr<Owner>> owners; // the last one is the newest incarnation
    std::vector<std::unique_ptr<WitnessStore>> witnesses;
    std::vector<bool> witnessPaused;
    std::deque<Item> items;
    bool platformDown = false;
    std::string value;
    Revision revision = 0;
    std::map<std::string, int> dispatches;
    std::set<std::string> notRun;

private:
    // Few owners per witness, so that stores are dropped as well.
    static WitnessSettings limits()
    {
        WitnessSettings settings;
        settings.maxOwners = 2;
        settings.maxRanges = 3;
        return settings;
    }
    std::optional<size_t> witnessAt(const NodeIdentity& identity) const
    {
        for (size_t i = 0; i < witnessCount; ++i) {
            if (witnessIdentity(i).node == identity.node)
                return i;
        }
        return std::nullopt;
    }
    // By name only: a message for an earlier incarnation reaches the present one, which has to ignore it.
    void deliverToWitness(const OwnerMessage& message)
    {
        size_t i = *witnessAt(message.witness);
        if (this->witnessPaused[i]) {
            this->items.emplace_back(message);
            return;
        }
        if (auto answer = this->witnesses[i]->onMessage(message, this->now))
            this->items.emplace_back(std::move(*answer));
    }
    void deliverToOwner(const WitnessMessage& message)
    {
        for (auto& o : this->owners) {
            if (!o->paused && !o->dead)
                o->grants.onMessage(message, this->now);
        }
    }
    Result<Revision> write(const RecordAccess& access)
    {
        if (access.expected != this->revision)
            return Failure { FailureKind::Conflict, Disposition::NotRun, "", {} };
        this->value = recordText(access.record);
        return ++this->revision;
    }
    template <typename Party> void access(const RecordAccess& access, AccessFault fault, Party onResult)
    {
        const Failure lost { FailureKind::PlatformUnavailable, Disposition::Unknown, "", {} };
        if (this->platformDown || fault == AccessFault::NotApplied) {
            onResult(Result<KeyValuePair>(lost), Result<Revision>(lost));
            return;
        }
        if (fault == AccessFault::AppliedLate && access.write) {
            this->items.emplace_back(LateWrite { access });
            onResult(Result<KeyValuePair>(lost), Result<Revision>(lost));
            return;
        }
        Result<Revision> written = access.write ? write(access) : Result<Revision>(lost);
        Result<KeyValuePair> read = KeyValuePair { this->value, this->revision };
        if (fault != AccessFault::None)
            onResult(Result<KeyValuePair>(lost), Result<Revision>(lost));
        else
            onResult(read, written);
    }
    void accessByOwner(const OwnerAccess& item, AccessFault fault)
    {
        access(item.access, fault, [&](const Result<KeyValuePair>& read, const Result<Revision>& written) {
            for (auto& o : this->owners) {
                if (o->dead || o->ledger.identity() != item.owner)
                    continue;
                if (item.access.write)
                    o->grants.onRecordWritten(written, this->now);
                else
                    o->grants.onRecordRead(read, this->now);
            }
        });
    }
    void accessByWitness(const WitnessAccess& item, AccessFault fault)
    {
        access(item.takeover.access, fault, [&](const Result<KeyValuePair>& read, const Result<Revision>& written) {
            size_t i = *witnessAt(item.witness);
            if (witnessIdentity(i) != item.witness)
                return;
            if (item.takeover.access.write)
                this->witnesses[i]->onRecordWritten(item.takeover.owner, written, this->now);
            else
                this->witnesses[i]->onRecordRead(item.takeover.owner, read, this->now);
        });
    }

    uint64_t incarnations = 0;
    std::vector<uint64_t> witnessIncarnations { 2, 3 }; // as given in the constructor
};

} // namespace guavapond::testing
