// Guards the ticket format, the single dispatch of each ticket, and the bounds of what the ledger keeps.
#include "core/TicketLedger.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace guavapond;

namespace {

const NodeIdentity self { "lalitpur-1", 0x00c0ffee12345678 };
constexpr TimePoint start {};
const Failure shed { FailureKind::Shed, Disposition::NotRun, "shed", {} };
const Failure cut { FailureKind::StreamCut, Disposition::Unknown, "cut", {} };

LedgerSettings smallSettings()
{
    LedgerSettings settings;
    settings.answerBytes = 10;
    settings.totalAnswerBytes = 25;
    settings.retainedTickets = 4;
    settings.liveBelowMark = 2;
    return settings;
}

StoredAnswer answerOf(size_t bytes) { return { 200, "", std::string(bytes, 'a') }; }

Ticket dispatchNew(TicketLedger& ledger, uint64_t digest)
{
    Ticket ticket = ledger.mint(false, start);
    CHECK(ledger.claim(ticket, digest, start).kind == Claim::Kind::Run);
    CHECK(ledger.startDispatch(ticket, start));
    return ticket;
}

} // namespace

TEST_GROUP(Ticket) {};

TEST(Ticket, TextRoundTrips)
{
    for (uint64_t sequence : { uint64_t(1), uint64_t(0xabc), ~uint64_t(0) }) {
        for (bool witnessed : { false, true }) {
            Ticket ticket { self, sequence, witnessed };
            auto parsed = parseTicket(ticketText(ticket));
            CHECK(parsed && *parsed == ticket);
        }
    }
    STRCMP_EQUAL("gp1.lalitpur-1.00c0ffee12345678.2a.w", ticketText({ self, 0x2a, true }).c_str());
}

// A second spelling of a ticket would be a second key at engines and in logs.
TEST(Ticket, OtherSpellingsAreRefused)
{
    const std::string longName(maxNodeNameLength + 1, 'n');
    for (const std::string& text : {
             std::string(),
             std::string("gp1"),
             std::string("gp2.n.00c0ffee12345678.1.w"),
             std::string("GP1.n.00c0ffee12345678.1.w"),
             std::string("gp1..00c0ffee12345678.1.w"),
             std::string("gp1.a b.00c0ffee12345678.1.w"),
             std::string("gp1.n.c0ffee12345678.1.w"),
             std::string("gp1.n.00C0ffee12345678.1.w"),
             std::string("gp1.n.00c0ffee12345678.0.w"),
             std::string("gp1.n.00c0ffee12345678.01.w"),
             std::string("gp1.n.00c0ffee12345678.0x1.w"),
             std::string("gp1.n.00c0ffee12345678.-1.w"),
             std::string("gp1.n.00c0ffee12345678.11111111111111111.w"),
             std::string("gp1.n.00c0ffee12345678..w"),
             std::string("gp1.n.00c0ffee12345678.1"),
             std::string("gp1.n.00c0ffee12345678.1.x"),
             std::string("gp1.n.00c0ffee12345678.1.w."),
             std::string("gp1.n.00c0ffee12345678.1.w "),
             std::string(" gp1.n.00c0ffee12345678.1.w"),
             std::string("gp1.n.00c0ffee12345678.1.w\0", 27),
             "gp1." + longName + ".00c0ffee12345678.1.w",
             std::string(100'000, '.'),
         }) {
        auto parsed = parseTicket(text);
        CHECK_TEXT(!parsed && parsed.reason->kind == FailureKind::BadRequest, text.substr(0, 80).c_str());
    }
}

// Random edits of a valid text: what parses has to print as the same text.
TEST(Ticket, EveryAcceptedTextIsTheOnlyOne)
{
    std::mt19937_64 random(7);
    const std::string alphabet = "gp1.lw0afF-_ \n";
    for (int i = 0; i < 20'000; ++i) {
        std::string text = ticketText({ self, random() >> (random() % 64) | 1, (random() & 1) != 0 });
        for (int edits = static_cast<int>(random() % 3); edits >= 0; --edits)
            text.at(random() % text.size()) = alphabet.at(random() % alphabet.size());
        auto parsed = parseTicket(text);
        CHECK(!parsed || ticketText(*parsed) == text);
    }
}

TEST_GROUP(TicketLedger) {};

// A repeated request must never be dispatched twice (P1, P6).
TEST(TicketLedger, DispatchStartsOnceAndNeverAgain)
{
    TicketLedger ledger(self, {});
    Ticket ticket = ledger.mint(true, start);
    CHECK(!ledger.startDispatch(ticket, start)); // no request is bound yet
    CHECK(ledger.claim(ticket, 1, start).kind == Claim::Kind::Run);
    CHECK(ledger.claim(ticket, 1, start).kind == Claim::Kind::Attach);
    CHECK(ledger.startDispatch(ticket, start));
    CHECK(!ledger.startDispatch(ticket, start));
    CHECK(ledger.claim(ticket, 1, start).kind == Claim::Kind::Attach);
    CHECK(!ledger.giveUp(ticket, shed, start)); // P5: it may have run
    ledger.finish(ticket, StoredAnswer { 200, "text/plain", "yes" }, start);
    CHECK(!ledger.startDispatch(ticket, start));
    CHECK(!ledger.giveUp(ticket, shed, start));
    Claim repeated = ledger.claim(ticket, 1, start);
    CHECK(repeated.kind == Claim::Kind::Answer);
    STRCMP_EQUAL("yes", repeated.answer->body.c_str());
    CHECK(ledger.outcome(ticket, start).disposition == Disposition::Ran);
}

// An unsent request may go to another target; a sent one must not.
TEST(TicketLedger, OnlyAnUnsentDispatchGoesBackToTheQueue)
{
    TicketLedger ledger(self, smallSettings());
    Ticket ticket = dispatchNew(ledger, 1);
    CHECK(ledger.revertUnsent(ticket));
    CHECK(!ledger.revertUnsent(ticket));
    CHECK(ledger.startDispatch(ticket, start));
    ledger.finish(ticket, answerOf(1), start);
    CHECK(!ledger.revertUnsent(ticket));
    Ticket lost = dispatchNew(ledger, 2);
    ledger.lose(lost, cut, start);
    CHECK(!ledger.revertUnsent(lost));
}

// A lost run may have had its effect: it never becomes "not run", finished or runnable.
TEST(TicketLedger, ALostRunStaysUnknown)
{
    TicketLedger ledger(self, {});
    Ticket ticket = dispatchNew(ledger, 1);
    ledger.lose(ticket, shed, start); // even if the failure claims "not run"
    ledger.finish(ticket, answerOf(1), start);
    Claim repeated = ledger.claim(ticket, 1, start);
    CHECK(repeated.kind == Claim::Kind::Outcome);
    CHECK(repeated.failure->disposition == Disposition::Unknown);
    CHECK(!ledger.giveUp(ticket, shed, start));
    CHECK(!ledger.startDispatch(ticket, start));
}

// A caller that was told "not run" may send its call under a new ticket. A delayed copy of the first claim must not run then (P6).
TEST(TicketLedger, AGivenUpTicketNeverRuns)
{
    TicketLedger ledger(self, {});
    Ticket ticket = ledger.mint(false, start);
    ledger.claim(ticket, 1, start);
    CHECK(ledger.giveUp(ticket, cut, start));
    CHECK(ledger.outcome(ticket, start).disposition == Disposition::NotRun);
    CHECK(ledger.outcome(ticket, start).failure->disposition == Disposition::NotRun);
    CHECK(ledger.claim(ticket, 2, start).kind == Claim::Kind::Mismatch);
    auto again = ledger.claim(ticket, 1, start);
    CHECK(again.kind == Claim::Kind::Outcome);
    CHECK(again.failure->disposition == Disposition::NotRun);
    CHECK(!ledger.startDispatch(ticket, start));
}

TEST(TicketLedger, AnotherRequestIsAMismatchInEveryState)
{
    TicketLedger ledger(self, {});
    Ticket ticket = ledger.mint(false, start);
    ledger.claim(ticket, 1, start);
    CHECK(ledger.claim(ticket, 2, start).kind == Claim::Kind::Mismatch);
    ledger.startDispatch(ticket, start);
    CHECK(ledger.claim(ticket, 2, start).kind == Claim::Kind::Mismatch);
    ledger.finish(ticket, answerOf(1), start);
    CHECK(ledger.claim(ticket, 2, start).kind == Claim::Kind::Mismatch);
}

// Tickets of other owners must not reach a dispatch here.
TEST(TicketLedger, ForeignEarlierAndInventedTicketsDoNotRun)
{
    TicketLedger ledger(self, {});
    Ticket own = ledger.mint(true, start);
    struct Case {
        Ticket ticket;
        Claim::Kind kind;
        Outcome::Place place;
    };
    const std::vector<Case> cases {
        { { { "catania-2", self.incarnation }, 1, true }, Claim::Kind::Forward, Outcome::Place::OtherNode },
        { { { self.node, self.incarnation + 1 }, 1, true }, Claim::Kind::Gone, Outcome::Place::EarlierIncarnation },
        { { self, 2, true }, Claim::Kind::NotFound, Outcome::Place::NeverMinted },
        { { self, 1, false }, Claim::Kind::NotFound, Outcome::Place::NeverMinted },
        { { self, ~uint64_t(0), true }, Claim::Kind::NotFound, Outcome::Place::NeverMinted },
        { { self, 0, true }, Claim::Kind::NotFound, Outcome::Place::NeverMinted },
    };
    for (const Case& c : cases) {
        CHECK(ledger.claim(c.ticket, 1, start).kind == c.kind);
        CHECK(ledger.outcome(c.ticket, start).place == c.place);
        CHECK(!ledger.startDispatch(c.ticket, start));
        CHECK(!ledger.giveUp(c.ticket, shed, start));
    }
    CHECK(ledger.claim(own, 1, start).kind == Claim::Kind::Run);
}

// Answers are the largest thing kept: bounded per ticket and in total, and a dropped answer still says "ran".
TEST(TicketLedger, AnswersAreBoundedAndADroppedAnswerSaysRan)
{
    TicketLedger ledger(self, smallSettings());
    Ticket large = dispatchNew(ledger, 1);
    ledger.finish(large, answerOf(11), start);
    CHECK(ledger.claim(large, 1, start).failure->disposition == Disposition::Ran);
    Ticket first = dispatchNew(ledger, 1);
    Ticket second = dispatchNew(ledger, 1);
    Ticket third = dispatchNew(ledger, 1);
    for (const Ticket& ticket : { first, second, third })
        ledger.finish(ticket, answerOf(10), start);
    UNSIGNED_LONGS_EQUAL(20, ledger.keptAnswerBytes());
    CHECK(ledger.claim(first, 1, start).kind == Claim::Kind::Outcome);
    CHECK(ledger.claim(first, 1, start).failure->disposition == Disposition::Ran);
    CHECK(ledger.claim(third, 1, start).kind == Claim::Kind::Answer);
}

// A forgotten ticket must not look as if it had never run.
TEST(TicketLedger, EvictedTicketsAnswerUnknown)
{
    TicketLedger ledger(self, smallSettings());
    Ticket finished = dispatchNew(ledger, 1);
    ledger.finish(finished, answerOf(1), start);
    Ticket minted = ledger.mint(false, start);
    for (int i = 0; i < 4; ++i)
        ledger.mint(false, start);
    for (const Ticket& ticket : { finished, minted }) {
        CHECK(ledger.claim(ticket, 1, start).failure->disposition == Disposition::Unknown);
        CHECK(ledger.outcome(ticket, start).disposition == Disposition::Unknown);
        CHECK(!ledger.giveUp(ticket, shed, start));
    }
    UNSIGNED_LONGS_EQUAL(0, ledger.keptAnswerBytes());
    UNSIGNED_LONGS_EQUAL(3, ledger.lowWaterMark());
}

TEST(TicketLedger, RetentionEndsByTime)
{
    TicketLedger ledger(self, {});
    Ticket finished = dispatchNew(ledger, 1);
    Ticket queued = ledger.mint(false, start);
    ledger.claim(queued, 1, start);
    ledger.finish(finished, answerOf(1), start + std::chrono::minutes(1));
    TimePoint later = start + std::chrono::minutes(11);
    CHECK(ledger.claim(finished, 1, later - Duration(1)).kind == Claim::Kind::Answer);
    CHECK(ledger.outcome(finished, later).disposition == Disposition::Unknown);
    CHECK(ledger.claim(finished, 1, later).failure->disposition == Disposition::Unknown);
    CHECK(ledger.claim(queued, 1, later).kind == Claim::Kind::Attach); // live tickets have no age
}

// A long queue must not turn the oldest waiting requests into "unknown" because newer tickets were minted.
TEST(TicketLedger, LiveTicketsOutliveTheirRangeUpToABound)
{
    TicketLedger ledger(self, smallSettings());
    Ticket running = dispatchNew(ledger, 1);
    std::vector<Ticket> queued;
    for (int i = 0; i < 3; ++i) {
        queued.push_back(ledger.mint(true, start));
        ledger.claim(queued.back(), 1, start);
    }
    for (int i = 0; i < 2; ++i)
        ledger.mint(false, start);
    CHECK(ledger.claim(running, 1, start).kind == Claim::Kind::Attach);
    CHECK(ledger.giveUp(queued[0], shed, start));
    CHECK(ledger.claim(queued[0], 1, start).kind == Claim::Kind::Outcome); // below the mark it does not run again
    CHECK(ledger.outcome(queued[0], start).disposition == Disposition::NotRun);
    ledger.mint(false, start); // one more than liveBelowMark: the oldest goes
    CHECK(ledger.claim(running, 1, start).failure->disposition == Disposition::Unknown);
    CHECK((ledger.queuedWitnessed() == std::vector<uint64_t> { queued[1].sequence, queued[2].sequence }));
    CHECK(ledger.startDispatch(queued[1], start));
}

// Years of traffic must not grow the ledger.
TEST(TicketLedger, EverythingStaysBoundedUnderRandomUse)
{
    std::mt19937_64 random(11);
    LedgerSettings settings = smallSettings();
    settings.retainedTickets = 50;
    settings.liveBelowMark = 20;
    TicketLedger ledger(self, settings);
    std::map<uint64_t, int> dispatches;
    TimePoint now = start;
    for (int i = 0; i < 50'000; ++i) {
        now += std::chrono::seconds(random() % 20);
        Ticket ticket { self, std::max<uint64_t>(1, ledger.nextSequence() - random() % 120), false };
        switch (random() % 6) {
        case 0:
            ledger.mint(false, now);
            break;
        case 1:
            ledger.claim(ticket, 1, now);
            break;
        case 2:
            dispatches[ticket.sequence] += ledger.startDispatch(ticket, now) ? 1 : 0;
            break;
        case 3:
            ledger.finish(ticket, answerOf(random() % 12), now);
            break;
        case 4:
            CHECK(!ledger.giveUp(ticket, shed, now) || dispatches[ticket.sequence] == 0);
            break;
        default:
            ledger.lose(ticket, cut, now);
        }
        CHECK(dispatches[ticket.sequence] <= 1);
        CHECK(ledger.retained() <= settings.retainedTickets + settings.liveBelowMark);
        CHECK(ledger.keptAnswerBytes() <= settings.totalAnswerBytes);
    }
}
