// Guards against final answers about tickets whose owner is only out of reach, and against requests that are kept from their outcome.
#include "node/WitnessLink.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;

TEST_GROUP(WitnessResolve)
{
    const Ticket unwitnessed { { "n1", 7 }, 3, false };
    TimePoint now { std::chrono::hours(1) };
    std::optional<NodeIdentity> answering; // at n1's address; none: nobody
    Decisions decisions { { "n2", 5 }, "lalitpur", {}, [](uint64_t) { return uint64_t(0); } };

    Failure resolve(const Ticket& ticket)
    {
        WitnessLinkPorts ports;
        ports.peers = { { "n1", "127.0.0.1:1", "lalitpur" } };
        ports.clock = [this] { return this->now; };
        ports.sleep = [this](Duration time) { this->now += time; };
        ports.peer.identity = [this](std::string_view) -> Result<NodeIdentity> {
            if (!this->answering)
                return Failure { FailureKind::OwnerUnreachable, Disposition::NotRun, "no answer", {} };
            return *this->answering;
        };
        return WitnessLink("lalitpur", {}, ports, this->decisions).resolve(ticket);
    }
};

// A node cut off from the others mints unwitnessed tickets and goes on: it knows their outcome once it is reached again.
TEST(WitnessResolve, AnUnwitnessedTicketOfAnOwnerOutOfReachMayBeAskedForAgain)
{
    auto failure = resolve(unwitnessed);
    CHECK(failure.kind == FailureKind::OwnerUnreachable);
    CHECK(failure.disposition == Disposition::Unknown);
    CHECK(failure.retryAfter > Duration::zero());
    answering = NodeIdentity { "n1", 7 };
    CHECK(resolve(unwitnessed).kind == FailureKind::OwnerUnreachable);
}

TEST(WitnessResolve, AnUnwitnessedTicketOfAReplacedIncarnationIsUnknownForGood)
{
    answering = NodeIdentity { "n1", 8 };
    auto failure = resolve(unwitnessed);
    CHECK(failure.kind == FailureKind::OutcomeUnknown);
    CHECK(failure.retryAfter == Duration::zero());
    const Ticket ownEarlier { { "n2", 4 }, 3, false };
    CHECK(resolve(ownEarlier).kind == FailureKind::OutcomeUnknown);
}
