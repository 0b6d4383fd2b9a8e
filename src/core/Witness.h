// Grants and takeover: how "not run" is proved for tickets whose owner is presumed failed (P5) without a second dispatch (P1, P6).
//
// Index
//   IncarnationRecord, parseRecord, recordText   kept in the key-value service under recordKey(node)
//   OwnerMessage, WitnessMessage                 between an owner and its witness; may be lost, late or repeated
//   WitnessedOwner                               the owner's side
//   SequenceSet                                  bounded set of sequence numbers
//   WitnessStore                                 the witness's side
//
// Both sides are state machines without I/O: events in, messages and record accesses out. Neither is thread-safe: the caller guards them.
//
// What holds:
// - An owner dispatches a witnessed ticket only on a grant of the epoch that the record names, from the witness that it names.
// - A number of an epoch is used for one attempt only, so that an epoch identifies its witness.
// - The witness numbers what is installed. A late Install that arrives after the store was dropped gets another token, and the record
//   then does not match: a store without its first grants never answers.
// - A witness answers for an owner only after it has stopped granting for it and the record shows that no later epoch can follow.
// - Whatever was forgotten, truncated or never seen is answered as unknown.
#pragma once

#include "core/Ticket.h"
#include "ports/Platform.h"

#include <map>
#include <set>

namespace guavapond {

// ---- Record

struct IncarnationEntry {
    uint64_t incarnation = 0; // of the owner
    NodeIdentity witness;
    uint64_t epoch = 0; // from 1
    uint64_t token = 0; // the witness's number for what was installed there

    bool operator==(const IncarnationEntry&) const = default;
};

struct IncarnationRecord {
    std::string node; // the owner's name
    IncarnationEntry current;
    bool fenced = false;                    // set by the witness: no later epoch of this incarnation follows
    std::vector<IncarnationEntry> previous; // incarnations that were replaced, newest first; fenced by that

    bool operator==(const IncarnationRecord&) const = default;
};

constexpr size_t maxPreviousIncarnations = 8; // beyond it the oldest is dropped: its tickets answer unknown
std::string recordKey(std::string_view node);
std::string recordText(const IncarnationRecord& record);
Result<IncarnationRecord> parseRecord(std::string_view text);

// ---- Messages

struct OwnerMessage {
    enum class Kind : uint8_t {
        Install,       // what may have been dispatched before the epoch begins
        RequestGrants, // `sequences` wait for dispatch
        Handover,      // the owner dispatches nothing any more; `sequences` were granted but never dispatched
    };
    Kind kind = Kind::Install;
    NodeIdentity owner;
    NodeIdentity witness; // addressee; another incarnation of it ignores the message
    uint64_t epoch = 0;
    uint64_t token = 0;              // of the answered Install; RequestGrants and Handover
    uint64_t mark = 0;               // Install: sequence numbers from here on were not minted yet
    std::vector<uint64_t> sequences; // Install: below the mark, never dispatched
};

struct WitnessMessage {
    enum class Kind : uint8_t {
        Installed,
        Granted, // `sequences` may be dispatched
        Refused, // no grants at this epoch any more
        HandoverTaken,
    };
    Kind kind = Kind::Refused;
    NodeIdentity witness; // sender
    NodeIdentity owner;   // addressee
    uint64_t epoch = 0;
    uint64_t token = 0; // Installed
    std::vector<uint64_t> sequences;
};

// An access to the record. Its result goes back to onRecordRead or onRecordWritten; a lost result is reported as a Failure.
struct RecordAccess {
    bool write = false;
    IncarnationRecord record; // write: the new value
    Revision expected = 0;    // write
};

// ---- Owner

struct OwnerSettings {
    Duration resend = std::chrono::milliseconds(50);          // until a message is answered
    Duration platformRetry = std::chrono::milliseconds(200);  // after a failed access to the record
    Duration witnessTimeout = std::chrono::milliseconds(500); // without any answer: the witness counts as lost
    size_t maxOutstanding = 4'096;                            // tickets that ask for a grant or hold an unused one
    size_t batch = 512;                                       // sequence numbers per message
    size_t installList = 20'000;                              // sequence numbers in an Install; the rest answers unknown
};

enum class OwnerState : uint8_t {
    Unwitnessed, // no witness yet, or it was lost: no witnessed ticket is dispatched
    Installing,  // waits for the new witness's acknowledgement
    Reading,     // reads the record
    Writing,     // advances the record
    Active,      // may ask for grants
    HandingOver, // planned stop: waits for the witness's acknowledgement
    Stopped,     // handed over, fenced, or replaced by another incarnation: for good
};

struct OwnerOutput {
    std::vector<OwnerMessage> messages;
    std::optional<RecordAccess> access; // at most one is outstanding
};

class WitnessedOwner {
public:
    WitnessedOwner(const NodeIdentity& identity, const OwnerSettings& ownerSettings);

    // ---- Choosing a witness: at start, and when wantsWitness. `queued`: TicketLedger::queuedWitnessed(), `mark`: nextSequence().
    // Grants of the epoch before are void from here on, even if its witness comes back. Once Active again, ask for the queued tickets.
    void replaceWitness(const NodeIdentity& candidate, uint64_t mark, std::vector<uint64_t> queued, TimePoint now);
    bool wantsWitness(TimePoint now) const; // none, lost or refusing

    // ---- Grants
    bool ask(uint64_t sequence);               // false: not Active, or too many outstanding
    void withdraw(uint64_t sequence);          // given up before dispatch
    bool mayDispatch(uint64_t sequence) const; // granted and unused; read in the same critical section as useGrant
    bool useGrant(uint64_t sequence);          // true once per grant

    // ---- Planned stop: dispatches nothing any more, and lets the witness prove that unused grants were not run
    void handOver(TimePoint now);

    // ---- Events
    void onMessage(const WitnessMessage& message, TimePoint now);
    void onRecordRead(const Result<KeyValuePair>& result, TimePoint now);
    void onRecordWritten(const Result<Revision>& result, TimePoint now);
    OwnerOutput advance(TimePoint now); // what is due; call after each event and at nextWake
    std::optional<TimePoint> nextWake() const;

    // ---- Reading
    OwnerState state() const { return this->phase; }
    uint64_t epoch() const { return this->currentEpoch; } // of the present attempt
    const NodeIdentity& witness() const { return this->currentWitness; }
    bool mintsWitnessed() const { return this->phase == OwnerState::Active; }
    size_t outstanding() const { return this->asked.size() + this->granted.size(); }

private:
    void enter(OwnerState next, TimePoint now);
    void dropGrants();
    void decideOnRecord(const std::optional<IncarnationRecord>& found, TimePoint now);
    IncarnationRecord nextRecord() const;
    OwnerMessage newMessage(OwnerMessage::Kind kind) const;
    void addRequests(OwnerOutput& output, std::span<const uint64_t> sequences) const;
    void addDue(OwnerOutput& output, TimePoint now);
    void onGranted(const WitnessMessage& message, TimePoint now);

    NodeIdentity self;
    OwnerSettings settings;
    OwnerState phase = OwnerState::Unwitnessed;
    NodeIdentity currentWitness;
    uint64_t currentEpoch = 0; // highest number used by any attempt
    uint64_t token = 0;        // from the witness's acknowledgement
    uint64_t installMark = 0;
    std::vector<uint64_t> installQueued;
    std::optional<IncarnationRecord> lastRecord; // as last read; none: the key is absent
    Revision revision = 0;                       // of lastRecord
    bool registered = false;                     // a write of this incarnation has taken effect
    bool accessOutstanding = false;
    TimePoint due {};                      // next message or access
    std::optional<TimePoint> waitingSince; // for the witness's next message
    std::set<uint64_t> asked;
    std::vector<uint64_t> fresh; // asked and not sent yet
    std::set<uint64_t> granted;  // unused; only of currentEpoch, only while Active
};

// ---- Witness

// Sequence numbers as ranges. When there are too many ranges the two lowest are joined: too many members, never too few.
class SequenceSet {
public:
    explicit SequenceSet(size_t maxRanges)
        : bound(maxRanges)
    {
    }
    void insert(uint64_t sequence);
    void erase(uint64_t sequence);
    bool contains(uint64_t sequence) const;
    size_t rangeCount() const { return this->ranges.size(); }

private:
    size_t bound;
    std::map<uint64_t, uint64_t> ranges; // first -> last, disjoint and not adjacent
};

struct WitnessSettings {
    size_t maxOwners = 64;          // beyond it the owner unheard for longest is dropped: unknown, and it has to install again
    size_t maxRanges = 1'024;       // per owner, of granted sequence numbers
    size_t maxInstallList = 20'000; // sequence numbers taken from one Install
    size_t maxBatch = 4'096;        // sequence numbers taken from one request
    Duration platformRetry = std::chrono::milliseconds(200); // after a failed access to the record
};

struct TakeoverAccess {
    NodeIdentity owner;
    RecordAccess access;
};

class WitnessStore {
public:
    WitnessStore(const NodeIdentity& identity, const WitnessSettings& witnessSettings);

    std::optional<WitnessMessage> onMessage(const OwnerMessage& message, TimePoint now); // none: ignored

    // ---- Takeover
    void presumeFailed(const NodeIdentity& owner, TimePoint now); // stops granting at once; then advance fences the record
    void onRecordRead(const NodeIdentity& owner, const Result<KeyValuePair>& result, TimePoint now);
    void onRecordWritten(const NodeIdentity& owner, const Result<Revision>& result, TimePoint now);
    std::vector<TakeoverAccess> advance(TimePoint now); // at most one access outstanding per owner
    std::optional<TimePoint> nextWake() const;

    // NotRun only if proved. None: the takeover is not over yet; ask again.
    std::optional<Disposition> answer(const Ticket& ticket) const;
    bool holds(const NodeIdentity& owner) const { return find(owner) != nullptr; }
    size_t owners() const { return this->stores.size(); }

private:
    enum class Phase : uint8_t {
        Granting,
        HandedOver, // the owner has stopped by itself; nothing is granted
        Reading,    // takeover: nothing is granted from here on
        Writing,
        Fenced, // may answer
    };
    struct Store {
        explicit Store(size_t maxRanges)
            : granted(maxRanges)
        {
        }
        uint64_t epoch = 0;
        uint64_t token = 0;
        Phase phase = Phase::Granting;
        uint64_t mark = 0;
        std::vector<uint64_t> notDispatched; // below the mark, ascending
        SequenceSet granted;
        IncarnationRecord record; // to write
        Revision expected = 0;
        bool accessOutstanding = false;
        TimePoint due {};
        TimePoint lastHeard {};
    };
    using Key = std::pair<std::string, uint64_t>;

    static Key keyOf(const NodeIdentity& owner) { return { owner.node, owner.incarnation }; }
    const Store* find(const NodeIdentity& owner) const;
    Store* find(const NodeIdentity& owner);
    WitnessMessage reply(const OwnerMessage& message, WitnessMessage::Kind kind) const;
    std::optional<WitnessMessage> install(const OwnerMessage& message, TimePoint now);
    WitnessMessage grant(const OwnerMessage& message, Store& store) const;
    WitnessMessage takeHandover(const OwnerMessage& message, Store& store) const;
    void decideOnRecord(const NodeIdentity& owner, Store& store, const IncarnationRecord& found, Revision foundRevision);
    void makeRoom();

    NodeIdentity self;
    WitnessSettings settings;
    std::map<Key, Store> stores;
    uint64_t lastToken = 0;
};

} // namespace guavapond
