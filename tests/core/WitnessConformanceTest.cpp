// Replays random walks of spec/tickets.pml (spec/walks.txt) against the C++ state machines and compares the state after each event, so that
// what spin has proved of the specification is not proved of something else. Guards P1, P5, P6 and P8 against a drift between the two.
#include "core/TicketLedger.h"
#include "core/Witness.h"

#include <fstream>
#include <sstream>

// Last: its macros redefine `new`.
#include <CppUTest/TestHarness.h>

using namespace guavapond;

namespace {

constexpr size_t witnessCount = 2;
const Failure lost { FailureKind::PlatformUnavailable, Disposition::Unknown, "", {} };
const Failure shed { FailureKind::Shed, Disposition::NotRun, "", {} };

// The state variables that the specification prints.
struct State {
    std::string phase;
    uint64_t epoch = 0;
    unsigned granted = 0; // set of tickets
    std::string ticket0;
    std::string ticket1;
    Revision revision = 0;
    int recordOwner = 0;
    uint64_t recordEpoch = 0;
    int recordFenced = 0;
    unsigned answers0 = 0; // set of tickets that the first witness calls not run
    unsigned answers1 = 0;

    bool operator==(const State&) const = default;
};

class Replay {
public:
    Replay()
    {
        WitnessSettings settings;
        settings.maxOwners = 1; // the store is dropped when another owner installs
        for (size_t w = 0; w < witnessCount; ++w)
            this->witnesses.emplace_back(witnessIdentity(w), settings);
    }

    void apply(const std::string& event, uint64_t a, uint64_t b)
    {
        this->now += std::chrono::seconds(1); // all that is to be sent again is due
        collect();
        if (!applyToTicket(event, a) && !applyToOwner(event, a, b))
            applyToWitness(event, a, b);
        collect();
    }

    State state() const
    {
        static const char* const phases[] = { "Unwitnessed", "Installing", "Reading", "Writing", "Active", "Stopped", "Stopped" };
        State s;
        s.phase = phases[static_cast<size_t>(this->owner.state())];
        s.epoch = this->owner.epoch();
        s.granted = (this->owner.mayDispatch(1) ? 1U : 0U) + (this->owner.mayDispatch(2) ? 2U : 0U);
        s.ticket0 = ticketState(0);
        s.ticket1 = ticketState(1);
        s.revision = this->revision;
        s.answers0 = answers(0);
        s.answers1 = answers(1);
        if (this->revision == 0)
            return s;
        IncarnationRecord record = *parseRecord(this->value);
        s.recordOwner = record.current.incarnation == this->self.incarnation ? 1 : 2;
        s.recordEpoch = s.recordOwner == 1 ? record.current.epoch : 0;
        s.recordFenced = record.fenced ? 1 : 0;
        return s;
    }

private:
    static NodeIdentity witnessIdentity(size_t w) { return { "w" + std::to_string(w), 10 + w }; }

    bool applyToTicket(const std::string& event, uint64_t t)
    {
        if (event == "claim") {
            CHECK_EQUAL(t, this->tickets.size());
            this->tickets.push_back(this->ledger.mint(this->owner.mintsWitnessed(), this->now));
            CHECK(this->ledger.claim(this->tickets[t], t, this->now).kind == Claim::Kind::Run);
        } else if (event == "dispatch") {
            CHECK(!this->tickets[t].witnessed || this->owner.useGrant(t + 1));
            CHECK_TEXT(this->ledger.startDispatch(this->tickets[t], this->now), "P1");
            CHECK_TEXT(++this->dispatches[t] == 1, "P1, P6");
            CHECK_TEXT(((answers(0) | answers(1)) >> t & 1U) == 0, "P5");
        } else if (event == "giveUp") {
            CHECK_TEXT(this->ledger.giveUp(this->tickets[t], shed, this->now) && this->dispatches[t] == 0, "P5");
            this->owner.withdraw(t + 1);
        } else if (event == "claimNotRun") {
            auto again = this->ledger.claim(this->tickets[t], t, this->now);
            CHECK_TEXT(again.kind == Claim::Kind::Outcome && again.failure->disposition == Disposition::NotRun, "P5");
        } else if (event == "claimDispatched") {
            CHECK_TEXT(this->ledger.claim(this->tickets[t], t, this->now).kind == Claim::Kind::Attach, "P6");
        } else {
            return false;
        }
        return true;
    }

    bool applyToOwner(const std::string& event, uint64_t a, uint64_t b)
    {
        if (event == "replaceWitness") {
            this->witnessOf[a] = b;
            this->owner.replaceWitness(witnessIdentity(b), this->ledger.nextSequence(), this->ledger.queuedWitnessed(), this->now);
            // An access of the attempt before ends without a result.
            this->owner.onRecordRead(lost, this->now);
            this->owner.onRecordWritten(lost, this->now);
        } else if (event == "onInstalled") {
            this->owner.onMessage(this->installed.at({ a, b }), this->now);
        } else if (event == "ownerReads") {
            this->owner.onRecordRead(KeyValuePair { this->value, this->revision }, this->now);
        } else if (event == "onWritten") {
            this->owner.onRecordWritten(this->revision, this->now);
        } else if (event == "onWriteLost") {
            this->owner.onRecordWritten(lost, this->now);
        } else if (event == "applyPut") {
            write(this->puts.at(a));
        } else if (event == "ask") {
            CHECK(this->owner.ask(a + 1));
        } else if (event == "onGranted") {
            this->owner.onMessage(this->grants.at({ this->owner.epoch(), a }), this->now);
        } else if (event == "onRefused") {
            this->owner.onMessage(this->refusals.at(a), this->now);
        } else if (event == "handOver") {
            this->owner.handOver(this->now);
        } else if (event == "restart") {
            restart();
        } else {
            return false;
        }
        return true;
    }

    void applyToWitness(const std::string& event, uint64_t a, uint64_t b)
    {
        if (event == "install") {
            keepReply(this->witnesses[a].onMessage(this->installs.at(b), this->now), a);
        } else if (event == "request") {
            OwnerMessage request = this->requests.at({ a, b });
            keepReply(this->witnesses[this->witnessOf[a]].onMessage(request, this->now), this->witnessOf[a]);
        } else if (event == "takeHandover") {
            CHECK(this->witnesses[a].onMessage(this->handover, this->now)->kind == WitnessMessage::Kind::HandoverTaken);
        } else if (event == "suspect") {
            this->witnesses[a].presumeFailed(this->self, this->now);
        } else if (event == "witnessReads") {
            this->witnesses[a].onRecordRead(this->self, KeyValuePair { this->value, this->revision }, this->now);
        } else if (event == "applyFence") {
            write(this->fences.at(a));
        } else if (event == "onFenced") {
            this->witnesses[a].onRecordWritten(this->self, this->revision, this->now);
        } else if (event == "onFenceLost") {
            this->witnesses[a].onRecordWritten(this->self, lost, this->now);
        } else if (event == "forget") {
            this->witnesses[a].onMessage({ OwnerMessage::Kind::Install, { "p", 1 }, witnessIdentity(a), 1, 0, 1, {} }, this->now);
            CHECK(!this->witnesses[a].holds(this->self));
        } else if (event == "answer") {
            CHECK_TEXT(this->witnesses[a].answer(this->tickets[b]) == Disposition::NotRun && this->dispatches[b] == 0, "P5");
        } else {
            FAIL(event.c_str());
        }
    }

    // The specification counts tokens of the owner's installs only; the replay also installs for another owner.
    void keepReply(const std::optional<WitnessMessage>& reply, size_t w)
    {
        if (!reply)
            return;
        if (reply->kind == WitnessMessage::Kind::Refused)
            this->refusals[reply->epoch] = *reply;
        if (reply->kind == WitnessMessage::Kind::Granted)
            this->grants[{ reply->epoch, reply->sequences.at(0) - 1 }] = *reply;
        if (reply->kind != WitnessMessage::Kind::Installed)
            return;
        auto [at, isNew] = this->tokens[w].emplace(reply->token, this->tokens[w].size() + 1);
        if (isNew)
            this->installed[{ reply->epoch, at->second }] = *reply;
    }

    void write(const RecordAccess& access)
    {
        CHECK_EQUAL(access.expected, this->revision);
        this->value = recordText(access.record);
        ++this->revision;
    }

    // Another incarnation of the owner takes its place in the record.
    void restart()
    {
        const NodeIdentity next { this->self.node, this->self.incarnation + 1 };
        WitnessedOwner successor(next, {});
        successor.replaceWitness(witnessIdentity(0), 1, {}, this->now);
        successor.onMessage({ WitnessMessage::Kind::Installed, witnessIdentity(0), next, 1, 99, {} }, this->now);
        successor.advance(this->now);
        successor.onRecordRead(KeyValuePair { this->value, this->revision }, this->now);
        write(*successor.advance(this->now).access);
    }

    void collect()
    {
        OwnerOutput output = this->owner.advance(this->now);
        for (const OwnerMessage& message : output.messages) {
            if (message.kind == OwnerMessage::Kind::Install)
                this->installs[message.epoch] = message;
            if (message.kind == OwnerMessage::Kind::Handover)
                this->handover = message;
            if (message.kind != OwnerMessage::Kind::RequestGrants)
                continue;
            for (uint64_t sequence : message.sequences) {
                OwnerMessage& single = this->requests[{ message.epoch, sequence - 1 }];
                single = message;
                single.sequences = { sequence };
            }
        }
        if (output.access && output.access->write)
            this->puts[this->owner.epoch()] = *output.access;
        for (size_t w = 0; w < witnessCount; ++w) {
            for (const TakeoverAccess& takeover : this->witnesses[w].advance(this->now)) {
                if (takeover.access.write)
                    this->fences[w] = takeover.access;
            }
        }
    }

    std::string ticketState(size_t t) const
    {
        static const char* const names[] = { "Minted", "Queued", "Dispatched", "Finished", "Unknown", "NotRun" };
        return t < this->tickets.size() ? names[static_cast<size_t>(*this->ledger.outcome(this->tickets[t], this->now).state)] : "Minted";
    }
    unsigned answers(size_t w) const
    {
        unsigned notRun = 0;
        for (size_t t = 0; t < this->tickets.size(); ++t)
            notRun |= this->witnesses[w].answer(this->tickets[t]) == Disposition::NotRun ? 1U << t : 0U;
        return notRun;
    }

    using Pair = std::pair<uint64_t, uint64_t>;
    NodeIdentity self { "o", 1 };
    TimePoint now {};
    TicketLedger ledger { self, {} };
    WitnessedOwner owner { self, {} };
    std::vector<WitnessStore> witnesses;
    std::vector<Ticket> tickets;
    std::map<uint64_t, int> dispatches;
    std::string value;
    Revision revision = 0;
    // What was sent stays available, as in the specification: by epoch, by epoch and token or ticket, by witness.
    std::map<uint64_t, uint64_t> witnessOf;
    std::map<uint64_t, OwnerMessage> installs;
    std::map<Pair, OwnerMessage> requests;
    OwnerMessage handover;
    std::map<Pair, WitnessMessage> installed;
    std::map<Pair, WitnessMessage> grants;
    std::map<uint64_t, WitnessMessage> refusals;
    std::map<uint64_t, RecordAccess> puts;
    std::map<uint64_t, RecordAccess> fences;
    std::map<uint64_t, uint64_t> tokens[witnessCount]; // C++ -> specification
};

} // namespace

TEST_GROUP(WitnessConformance) {};

TEST(WitnessConformance, TheStateMachinesFollowTheWalksOfTheSpecification)
{
    std::ifstream walks(GUAVAPOND_WALKS); // set by CMakeLists.txt
    CHECK_TEXT(walks.good(), "spec/walks.txt is missing");
    std::unique_ptr<Replay> replay;
    std::map<std::string, int> seen;
    std::string line;
    for (int number = 1; std::getline(walks, line); ++number) {
        std::istringstream words(line);
        std::string event;
        uint64_t a = 0;
        uint64_t b = 0;
        words >> event >> a;
        if (event == "walk") {
            replay = std::make_unique<Replay>();
            continue;
        }
        std::string equals;
        State expected;
        words >> b >> equals >> expected.phase >> expected.epoch >> expected.granted >> expected.ticket0 >> expected.ticket1
            >> expected.revision >> expected.recordOwner >> expected.recordEpoch >> expected.recordFenced >> expected.answers0
            >> expected.answers1;
        CHECK_TEXT(!words.fail(), line.c_str());
        ++seen[event];
        replay->apply(event, a, b);
        CHECK_TEXT(replay->state() == expected, ("spec/walks.txt:" + std::to_string(number) + ": " + line).c_str());
    }
    // All kinds of events occur, so that none is left unchecked.
    CHECK(seen.size() >= 25);
}
