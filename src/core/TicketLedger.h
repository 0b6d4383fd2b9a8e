// The states of the tickets that this incarnation of this node has minted, and the only path to a dispatch.
//
// Index
//   LedgerSettings   bounds of what is kept
//   StoredAnswer     a whole answer, kept for later claims of its ticket
//   TicketState      Minted -> Queued -> Dispatched -> Finished | Unknown, and Minted | Queued -> NotRun
//   Claim            what the holder of a ticket has to do now
//   Outcome          what became of a ticket
//   TicketLedger     not thread-safe: the caller guards it
//
// A witnessed ticket also needs a grant (Witness.h): ask WitnessedOwner::mayDispatch right before startDispatch, under the same guard.
#pragma once

#include "core/Ticket.h"

#include <deque>
#include <map>
#include <memory>

namespace guavapond {

struct LedgerSettings {
    size_t answerBytes = size_t(1) << 20;          // bytes kept per ticket; a larger answer is not kept
    size_t totalAnswerBytes = size_t(64) << 20;    // bytes; beyond it the oldest answers are dropped
    size_t retainedTickets = 200'000;              // tickets; beyond it the lowest sequence numbers are evicted
    size_t liveBelowMark = 20'000;                 // queued or running tickets that may outlive the eviction of their range
    Duration retention = std::chrono::minutes(10); // after the end, or after minting if never claimed
};

struct StoredAnswer {
    int status = 0; // HTTP
    std::string contentType;
    std::string body;

    size_t bytes() const { return this->contentType.size() + this->body.size(); }
};

enum class TicketState : uint8_t {
    Minted,
    Queued,     // claimed; its request waits for dispatch
    Dispatched, // sent, or about to be
    Finished,   // ran; its answer may still be kept
    Unknown,    // dispatched, end not seen
    NotRun,     // given up before dispatch: proved by this ledger
};
std::string_view ticketStateName(TicketState state); // lower_snake_case, as in JSON

struct Claim {
    enum class Kind : uint8_t {
        Run,      // the caller's request is now the one bound to the ticket
        Attach,   // it is queued or runs: wait for it and get its answer
        Answer,   // finished: `answer` is set
        Outcome,  // ended without a kept answer: `failure` says not run, ran or unknown
        Forward,  // another node owns it: `Ticket::owner.node`
        Gone,     // an earlier incarnation of this node owned it: unknown, unless its witness proves "not run"
        Mismatch, // bound to another request body
        NotFound, // never minted here
    };
    Kind kind = Kind::NotFound;
    std::shared_ptr<const StoredAnswer> answer;
    std::optional<Failure> failure; // Outcome, Gone, Mismatch, NotFound
};

struct Outcome {
    enum class Place : uint8_t {
        Here,
        OtherNode,
        EarlierIncarnation,
        NeverMinted,
    };
    Place place = Place::NeverMinted;
    std::optional<TicketState> state;       // Here, while retained
    std::optional<Disposition> disposition; // once it has ended, or when it can't be known any more
    std::shared_ptr<const StoredAnswer> answer;
    std::optional<Failure> failure;
};

class TicketLedger {
public:
    TicketLedger(const NodeIdentity& identity, const LedgerSettings& settings);

    // ---- Tickets and claims
    Ticket mint(bool witnessed, TimePoint now);
    // NotRun is final. Its caller may have sent the call again under a new ticket, and a delayed copy of the first claim must not run
    // beside it.
    Claim claim(const Ticket& ticket, uint64_t requestDigest, TimePoint now);

    // ---- Transitions
    bool startDispatch(const Ticket& ticket, TimePoint now); // true exactly once per ticket; only from Queued
    // Back to Queued, so that the request can go to another target. Only with the adapter's proof that no byte of it left this node:
    // nothing was dispatched then. False unless it is in Dispatched.
    bool revertUnsent(const Ticket& ticket);
    void finish(const Ticket& ticket, std::optional<StoredAnswer> answer, TimePoint now); // ran; none: not kept; ignored once ended
    bool giveUp(const Ticket& ticket, const Failure& failure, TimePoint now);             // false once dispatch has started
    void lose(const Ticket& ticket, const Failure& failure, TimePoint now);               // dispatched, end not seen: unknown

    // ---- Reading
    Outcome outcome(const Ticket& ticket, TimePoint now) const;
    const NodeIdentity& identity() const { return this->self; }
    uint64_t lowWaterMark() const { return this->firstRetained; } // below it: unknown, but for tickets still live
    uint64_t nextSequence() const { return this->firstRetained + this->records.size(); }
    std::vector<uint64_t> queuedWitnessed() const; // ascending; what a new witness may still prove "not run"
    size_t retained() const { return this->records.size() + this->belowMark.size(); }
    size_t keptAnswerBytes() const { return this->answerBytes; }

private:
    struct Record {
        TicketState state = TicketState::Minted;
        bool witnessed = false;
        std::optional<uint64_t> digest;   // of the request bound to the ticket
        TimePoint since {};               // minted, or ended
        std::unique_ptr<Failure> failure; // why it ended without an answer
        std::shared_ptr<const StoredAnswer> answer;
    };
    struct Ended {
        uint64_t sequence = 0;
        TimePoint at {};
    };

    bool isOwn(const Ticket& ticket) const { return ticket.owner == this->self; }
    const Record* find(const Ticket& ticket) const;
    Record* find(const Ticket& ticket);
    Record* findSequence(uint64_t sequence);
    bool isEvicted(const Ticket& ticket) const;
    Claim claimHere(Record& record, uint64_t requestDigest);
    void end(Record& record, uint64_t sequence, TicketState state, const Failure* failure, TimePoint now);
    void keepAnswer(Record& record, uint64_t sequence, StoredAnswer answer);
    void dropAnswer(Record& record);
    void compactAnswerOrder();
    void evict(TimePoint now);
    void evictFront();
    void evictBelowMark(TimePoint now);
    void dropBelowMark(uint64_t sequence);
    bool isExpired(const Record& record, TimePoint now) const;

    NodeIdentity self;
    LedgerSettings settings;
    uint64_t firstRetained = 1;           // sequence number of records.front()
    std::deque<Record> records;           // dense by sequence number
    std::map<uint64_t, Record> belowMark; // tickets that were live when their range was evicted
    std::deque<Ended> endedBelowMark;     // in order of their end; its ticket may have been dropped
    std::deque<uint64_t> answerOrder;     // oldest first; an entry may be stale
    size_t answerBytes = 0;               // sum of the kept answers
};

} // namespace guavapond
