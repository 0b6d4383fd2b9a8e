// Guards P1, P5 and P6 in the witness protocol against every single fault at every step, and against seeded mixes of faults.
#include "WitnessWorld.h"

#include <random>

using namespace guavapond;
using namespace guavapond::testing;

namespace {

// Faults of one item in flight or of one party, applied at one step of the scenario.
enum class Fault : uint8_t {
    None,
    Drop,
    Delay,
    Repeat,
    Reorder,
    ResultLost,
    AppliedLate,
    PlatformDown,
    KillOwner,
    PauseOwner,
    RestartOwner,
    KillWitness,
    PauseWitness,
    SuspectOwner,
    HandOver,
};
constexpr size_t faultCount = static_cast<size_t>(Fault::HandOver) + 1;

// The scenario: two tickets under the first witness, one of them dispatched; a new witness; a third ticket; then a takeover.
class Scenario {
public:
    explicit Scenario(Fault fault, size_t faultStep)
        : plannedFault(fault)
        , plannedStep(faultStep)
    {
        this->world.replaceWitness(this->world.owner(), 0);
    }

    void run()
    {
        settle(40);
        this->world.mintAndClaim(this->world.owner());
        settle(20);
        this->world.mintAndClaim(this->world.owner());
        this->world.replaceWitness(this->world.owner(), 1);
        settle(40);
        this->world.mintAndClaim(this->world.owner());
        settle(20);
        resumeAll();
        settle(60);
        this->epochBeforeTakeover = this->world.owner().grants.epoch();
        this->world.mintAndClaim(this->world.owner()); // stays queued: the takeover begins before its request is delivered
        for (const auto& o : this->world.owners) {
            for (auto& witness : this->world.witnesses)
                witness->presumeFailed(o->ledger.identity(), this->world.now);
        }
        settle(80);
    }

    World world;
    size_t steps = 0;
    uint64_t epochBeforeTakeover = 0;
    bool hit = false;

private:
    void settle(size_t ticks)
    {
        for (size_t i = 0; i < ticks; ++i) {
            this->world.now += std::chrono::milliseconds(10);
            work();
            for (size_t batch = this->world.items.size(); batch > 0; --batch) {
                step();
                work();
            }
        }
    }
    void work()
    {
        for (auto& o : this->world.owners) {
            this->world.work(*o);
            if (!o->dead && o->grants.wantsWitness(this->world.now) && !o->paused)
                this->world.replaceWitness(*o, this->replacements++ % World::witnessCount);
        }
        this->world.collect();
        this->world.checkAnswers();
    }
    void step()
    {
        if (this->world.items.empty())
            return;
        bool now = this->steps++ == this->plannedStep;
        Item item = this->world.take(0);
        if (!now) {
            this->world.deliver(item);
            return;
        }
        this->hit = true;
        apply(item);
    }
    void apply(const Item& item)
    {
        Owner& o = this->world.owner();
        switch (this->plannedFault) {
        case Fault::Drop:
            if (World::isAccess(item))
                this->world.deliver(item, AccessFault::NotApplied);
            return;
        case Fault::Delay:
        case Fault::Reorder:
            if (this->plannedFault == Fault::Reorder && !this->world.items.empty())
                this->world.deliver(this->world.take(this->world.items.size() - 1));
            this->world.items.push_back(item);
            return;
        case Fault::Repeat:
            this->world.deliver(item);
            if (!World::isAccess(item))
                this->world.items.push_back(item);
            return;
        case Fault::ResultLost:
            this->world.deliver(item, AccessFault::ResultLost);
            return;
        case Fault::AppliedLate:
            this->world.deliver(item, AccessFault::AppliedLate);
            return;
        case Fault::PlatformDown:
            this->world.platformDown = true;
            break;
        case Fault::KillOwner:
            o.dead = true;
            break;
        case Fault::PauseOwner:
            o.paused = true;
            break;
        case Fault::RestartOwner:
            o.paused = true; // the old incarnation comes back later
            this->world.startOwner();
            break;
        case Fault::KillWitness:
            this->world.restartWitness(0);
            this->world.restartWitness(1);
            break;
        case Fault::PauseWitness:
            this->world.witnessPaused[0] = true;
            break;
        case Fault::SuspectOwner:
            for (auto& witness : this->world.witnesses)
                witness->presumeFailed(o.ledger.identity(), this->world.now);
            break;
        case Fault::HandOver:
            o.grants.handOver(this->world.now);
            break;
        case Fault::None:
            break;
        }
        this->world.deliver(item);
    }
    void resumeAll()
    {
        for (auto& o : this->world.owners)
            o->paused = false;
        this->world.witnessPaused.assign(World::witnessCount, false);
        this->world.platformDown = false;
    }

    Fault plannedFault;
    size_t plannedStep;
    size_t replacements = 1;
};

bool isTransient(Fault fault) { return fault <= Fault::PlatformDown; }

} // namespace

TEST_GROUP(Witness) {};

// The invariants are checked by World; here also that a passing fault costs no ticket.
TEST(Witness, EveryFaultAtEveryStepKeepsTheGuarantees)
{
    Scenario clean(Fault::None, 0);
    clean.run();
    CHECK_EQUAL(3, clean.world.dispatches.size());
    CHECK_EQUAL(1, clean.world.notRun.size()); // the fourth, proved by the takeover
    for (size_t fault = 1; fault < faultCount; ++fault) {
        size_t at = 0;
        for (bool hit = true; hit; ++at) {
            Scenario scenario(static_cast<Fault>(fault), at);
            scenario.run();
            hit = scenario.hit;
            if (isTransient(static_cast<Fault>(fault)))
                CHECK(scenario.world.dispatches.size() >= 3);
            if (static_cast<Fault>(fault) == Fault::Repeat)
                CHECK_EQUAL(2, scenario.epochBeforeTakeover); // a repeated message costs no witness
        }
        CHECK_TEXT(at > 10, "the scenario has to be longer than that");
    }
}

// Mixes of all faults in any order; each seed is one history.
TEST(Witness, RandomHistoriesKeepTheGuarantees)
{
    size_t dispatched = 0;
    size_t proved = 0;
    for (uint32_t seed = 0; seed < 3'000; ++seed) {
        std::mt19937 random(seed);
        auto pick = [&](size_t bound) { return static_cast<size_t>(random() % bound); };
        World world;
        for (int i = 0; i < 250; ++i) {
            Owner& o = *world.owners[pick(world.owners.size())];
            size_t witness = pick(World::witnessCount);
            switch (pick(40)) {
            case 0:
                o.paused = !o.paused;
                break;
            case 1:
                if (world.owners.size() < 4)
                    world.startOwner();
                break;
            case 2:
                world.witnessPaused[witness] = !world.witnessPaused[witness];
                break;
            case 3:
                if (pick(3) == 0)
                    world.restartWitness(witness);
                break;
            case 4:
                world.witnesses[witness]->presumeFailed(o.ledger.identity(), world.now);
                break;
            case 5:
                world.platformDown = !world.platformDown;
                break;
            case 6:
                if (pick(4) == 0)
                    o.grants.handOver(world.now);
                break;
            case 7:
            case 8:
                if (o.tickets.size() < 6 && !o.dead)
                    world.mintAndClaim(o);
                break;
            case 9:
                if (!o.tickets.empty() && !o.dead && !o.paused)
                    world.giveUp(o, o.tickets[pick(o.tickets.size())]);
                break;
            case 10:
                if (!o.dead && !o.paused)
                    world.replaceWitness(o, witness);
                break;
            case 11:
                o.dead = o.dead || pick(4) == 0;
                break;
            case 12:
            case 13:
            case 14:
                world.work(o);
                break;
            case 15:
                world.now += std::chrono::milliseconds(10 * pick(60));
                break;
            default:
                if (world.items.empty() || pick(20) == 0)
                    break;
                // Mostly the newest: what is passed over stays for long and arrives late.
                Item item = world.take(pick(2) == 0 ? world.items.size() - 1 : pick(world.items.size()));
                if (pick(12) == 0) // lost
                    item = World::isAccess(item) ? item : Item(LateWrite { { true, {}, ~Revision(0) } });
                if (!World::isAccess(item) && pick(8) == 0) // repeated later
                    world.items.push_back(item);
                world.deliver(item, pick(5) == 0 ? static_cast<AccessFault>(pick(4)) : AccessFault::None);
            }
            if (o.grants.wantsWitness(world.now) && !o.dead && !o.paused && pick(3) == 0)
                world.replaceWitness(o, witness);
            world.collect();
            world.checkAnswers();
        }
        dispatched += world.dispatches.size();
        proved += world.notRun.size();
    }
    CHECK(dispatched > 2'000 && proved > 2'000);
}

// Messages that arrive long after their time: each of them would let a witness answer without its grants.
TEST(Witness, LateMessagesOfEarlierEpochsAreIgnored)
{
    const NodeIdentity o { "o", 1 };
    const NodeIdentity first { "w0", 2 };
    const NodeIdentity second { "w1", 3 };
    WitnessedOwner owner(o, {});
    auto activate = [&](const NodeIdentity& witness, Revision revision) {
        owner.replaceWitness(witness, 2, { 1 }, {});
        owner.onMessage({ WitnessMessage::Kind::Installed, witness, o, owner.epoch(), 1, {} }, {});
        owner.advance({});
        std::string text = revision == 0 ? "" : recordText({ "o", { 1, first, 1, 1 }, false, {} });
        owner.onRecordRead(KeyValuePair { text, revision }, {});
        owner.advance({});
        owner.onRecordWritten(revision + 1, {});
        CHECK(owner.state() == OwnerState::Active && owner.ask(1));
    };
    activate(first, 0);
    activate(second, 1);
    owner.onMessage({ WitnessMessage::Kind::Granted, first, o, 1, 0, { 1 } }, {});
    owner.onMessage({ WitnessMessage::Kind::Granted, second, o, 1, 0, { 1 } }, {});
    owner.onMessage({ WitnessMessage::Kind::Granted, first, o, 2, 0, { 1 } }, {});
    CHECK(!owner.mayDispatch(1));
    owner.onMessage({ WitnessMessage::Kind::Granted, second, o, 2, 0, { 1 } }, {});
    CHECK(owner.useGrant(1) && !owner.useGrant(1));

    // An Install that arrives again after its store was dropped, and another that reaches a restarted witness.
    WitnessSettings settings;
    settings.maxOwners = 1;
    WitnessStore witness(first, settings);
    const OwnerMessage install { OwnerMessage::Kind::Install, o, first, 1, 0, 1, {} };
    uint64_t token = witness.onMessage(install, {})->token;
    CHECK(
        witness.onMessage({ OwnerMessage::Kind::RequestGrants, o, first, 1, token, 0, { 1 } }, {})->kind == WitnessMessage::Kind::Granted);
    witness.onMessage({ OwnerMessage::Kind::Install, { "p", 9 }, first, 1, 0, 1, {} }, {});
    CHECK(witness.onMessage(install, {})->token != token);
    CHECK(
        witness.onMessage({ OwnerMessage::Kind::RequestGrants, o, first, 1, token, 0, { 2 } }, {})->kind == WitnessMessage::Kind::Refused);
    witness.presumeFailed(o, {});
    witness.onRecordRead(o, KeyValuePair { recordText({ "o", { 1, first, 1, token }, false, {} }), 1 }, {});
    CHECK(witness.answer({ o, 1, true }) == Disposition::Unknown);
    WitnessStore restarted({ "w0", 4 }, settings);
    CHECK(!restarted.onMessage(install, {}) && !restarted.holds(o));
}

// An owner that can't reach the platform must not go on with a witness that the record does not name.
TEST(Witness, NoWitnessedDispatchWhileThePlatformIsDown)
{
    World world;
    world.platformDown = true;
    world.replaceWitness(world.owner(), 0);
    for (int i = 0; i < 100; ++i) {
        world.now += std::chrono::milliseconds(10);
        world.collect();
        if (!world.items.empty())
            world.deliver(world.take(0));
    }
    CHECK(world.owner().grants.state() == OwnerState::Reading);
    CHECK(!world.owner().grants.mintsWitnessed() && !world.owner().grants.ask(1));
    world.mintAndClaim(world.owner()); // unwitnessed
    world.work(world.owner());
    CHECK_EQUAL(1, world.dispatches.size());
}

// A witness that forgets grants to stay within its bounds must not call them "not run".
TEST(Witness, BoundedSetsOnlyGainMembers)
{
    std::mt19937 random(5);
    SequenceSet set(4);
    std::set<uint64_t> members;
    for (int i = 0; i < 2'000; ++i) {
        uint64_t sequence = random() % 64;
        if (random() % 4 == 0) {
            set.erase(sequence);
            members.erase(sequence);
        } else {
            set.insert(sequence);
            members.insert(sequence);
        }
        CHECK(set.rangeCount() <= 4);
        for (uint64_t member : members)
            CHECK(set.contains(member));
    }
    SequenceSet exact(4);
    for (uint64_t sequence : { 5, 7, 6, 1 })
        exact.insert(sequence);
    exact.erase(6);
    CHECK(exact.contains(5) && !exact.contains(6) && exact.contains(7) && exact.contains(1) && !exact.contains(2));
}

// A record that does not parse must stop the takeover, not let it pass as an absent or an older one.
TEST(Witness, RecordsRoundTripAndOthersAreRefused)
{
    IncarnationRecord record { "o", { ~uint64_t(0), { "w", 2 }, 3, 4 }, true, { { 1, { "w", 2 }, 9, 8 } } };
    auto parsed = parseRecord(recordText(record));
    CHECK(parsed && *parsed == record);
    const std::string text = recordText(record);
    for (size_t length = 0; length < text.size(); ++length)
        CHECK(!parseRecord(text.substr(0, length)));
    const std::pair<std::string, std::string> edits[] = { { "\"epoch\":\"3\"", "\"epoch\":3" }, { "\"epoch\":\"3\"", "\"epoch\":\"\"" },
        { "true", "1" }, { "\"token\"", "\"taken\"" }, { "\"node\":\"o\"", "\"node\":\"a b\"" }, { "\"previous\":[", "\"previous\":[1," } };
    for (const auto& [from, to] : edits) {
        std::string edited = text;
        size_t at = edited.find(from);
        CHECK(at != std::string::npos);
        CHECK_TEXT(!parseRecord(edited.replace(at, from.size(), to)), to.c_str());
    }
}
