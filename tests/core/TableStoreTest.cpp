// Tests of adoption and edits against a key-value service in memory whose answers can be lost.
#include "core/TableStore.h"

#include <deque>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace guavapond;

namespace {

enum class Fault : uint8_t {
    None,
    AnswerLost,  // the write takes effect
    RequestLost, // it doesn't, but the caller can't tell
    RateLimited,
    LateWrite, // it takes effect after the next call, if the revision still matches
};

struct FakeKeyValue {
    std::map<std::string, KeyValuePair, std::less<>> pairs;
    Revision last = 0;
    bool down = false;
    std::deque<Fault> putFaults; // of the next puts
    std::function<void()> beforeHeadWrite;
    std::function<void()> late;

    Result<Revision> write(const std::string& key, const std::string& value, Revision expected)
    {
        if (this->pairs[key].revision != expected)
            return Failure { FailureKind::Conflict, Disposition::NotRun, "conflict", {} };
        this->pairs[key] = { value, ++this->last };
        return this->last;
    }
    void deliverLate()
    {
        if (auto pending = std::exchange(this->late, nullptr))
            pending();
    }
    Result<Revision> put(const std::string& key, const std::string& value, Revision expected)
    {
        deliverLate();
        if (key == headKey && this->beforeHeadWrite)
            std::exchange(this->beforeHeadWrite, nullptr)();
        Fault fault = Fault::None;
        if (!this->putFaults.empty()) {
            fault = this->putFaults.front();
            this->putFaults.pop_front();
        }
        const Failure lost { FailureKind::PlatformUnavailable, Disposition::Unknown, "no answer", {} };
        if (this->down || fault == Fault::RequestLost)
            return lost;
        if (fault == Fault::RateLimited)
            return Failure { FailureKind::PlatformUnavailable, Disposition::NotRun, "rate limit", std::chrono::seconds(1) };
        if (fault == Fault::LateWrite) {
            this->late = [this, key, value, expected] { (void)write(key, value, expected); };
            return lost;
        }
        const Result<Revision> written = write(key, value, expected);
        return fault == Fault::AnswerLost ? Result<Revision>(lost) : written;
    }
    KeyValue port()
    {
        KeyValue kv;
        kv.get = [this](std::string_view key) -> Result<KeyValuePair> {
            if (this->down)
                return Failure { FailureKind::PlatformUnavailable, Disposition::NotRun, "down", {} };
            const auto found = this->pairs.find(key);
            const KeyValuePair pair = found == this->pairs.end() ? KeyValuePair {} : found->second;
            deliverLate();
            return pair;
        };
        kv.put = [this](std::string_view key, std::string_view value, Revision expected, std::optional<LeaseId>) {
            return put(std::string(key), std::string(value), expected);
        };
        kv.watch = [this](std::string_view key, Revision after, Duration) -> Result<std::optional<KeyValuePair>> {
            const KeyValuePair pair = this->pairs[std::string(key)];
            return pair.revision > after ? std::optional(pair) : std::nullopt;
        };
        kv.grantLease = [](Duration) { return LeaseId { 1 }; };
        kv.renewLease = [](LeaseId) { return true; };
        kv.revokeLease = [](LeaseId) {};
        return kv;
    }
    TableStore store() { return { port(), {} }; }
};

TableEdit addWorkspace(const std::string& id, uint64_t seen, const std::string& name)
{
    TableEdit edit;
    edit.id = id;
    edit.seenRevision = seen;
    edit.who = "operator-of-" + id;
    edit.cells = { { CellEdit::Action::AddRow, "workspaces/" + name, "" } };
    return edit;
}

bool inEffect(const EditOutcome& outcome, uint64_t revision) { return outcome.revision == revision && !outcome.reason; }

bool failedAs(const EditOutcome& outcome, FailureKind kind, Disposition disposition)
{
    return !outcome.revision && outcome.reason && outcome.reason->kind == kind && outcome.reason->disposition == disposition;
}

size_t workspaces(FakeKeyValue& kv)
{
    TableStore store = kv.store();
    CHECK(static_cast<bool>(store.refresh()));
    return store.current()->table().workspaces.size();
}

} // namespace

TEST_GROUP(TableStore)
{
    FakeKeyValue kv;
    TableStore store = kv.store();
};

// Guards against an accepted edit that another node does not see, or sees without its audit entry.
TEST(TableStore, EditReachesAnotherNodeWithItsAuditEntry)
{
    CHECK(inEffect(store.edit(addWorkspace("e1", 0, "a")), 1));
    TableStore node = kv.store();
    CHECK(*node.watch(Duration::zero()));
    LONGS_EQUAL(1, node.current()->revision());
    CHECK(node.current()->workspace("a").has_value());
    CHECK(node.head().edits.back().who == "operator-of-e1");
    CHECK(node.head().edits.back().cells[0].cell == "workspaces/a");
    CHECK(!*node.watch(Duration::zero()));
}

// Guards against an edit with a lost answer that is reported as failed or applied twice. Fault position 0 is the first page, 4 the head.
TEST(TableStore, LostAnswersAreSettledByReadingBack)
{
    for (Fault fault : { Fault::AnswerLost, Fault::RequestLost, Fault::LateWrite }) {
        for (size_t position = 0; position <= 4; ++position) {
            FakeKeyValue other;
            TableStore editor = other.store();
            other.putFaults.assign(position, Fault::None);
            other.putFaults.push_back(fault);
            CHECK(inEffect(editor.edit(addWorkspace("e1", 0, "a")), 1));
            LONGS_EQUAL(1, editor.head().edits.size());
            LONGS_EQUAL(1, workspaces(other));
        }
    }
}

// Guards against a repeated edit (the operator's program crashed and was run again) being applied again.
TEST(TableStore, TheSameIdIsAppliedOnce)
{
    CHECK(inEffect(store.edit(addWorkspace("e1", 0, "a")), 1));
    CHECK(inEffect(store.edit(addWorkspace("e2", 1, "b")), 2));
    TableStore restarted = kv.store();
    const EditOutcome again = restarted.edit(addWorkspace("e1", 0, "a"));
    CHECK(inEffect(again, 1) && again.repeated);
    LONGS_EQUAL(2, workspaces(kv));
}

// Guards against one operator overwriting another's change, and against a conflict that doesn't say with whom.
TEST(TableStore, ConflictSaysWhoChangedWhat)
{
    CHECK(inEffect(store.edit(addWorkspace("e1", 0, "a")), 1));
    const EditOutcome late = kv.store().edit(addWorkspace("e2", 0, "b"));
    CHECK(failedAs(late, FailureKind::Conflict, Disposition::NotRun));
    LONGS_EQUAL(1, late.changedSince.size());
    CHECK(late.changesComplete && late.changedSince[0].who == "operator-of-e1");
    // The other operator's write falls between reading and writing the head.
    kv.beforeHeadWrite = [&] { CHECK(inEffect(kv.store().edit(addWorkspace("e3", 1, "c")), 2)); };
    const EditOutcome raced = store.edit(addWorkspace("e4", 1, "d"));
    CHECK(failedAs(raced, FailureKind::Conflict, Disposition::NotRun));
    CHECK(raced.changedSince[0].editId == "e3");
    LONGS_EQUAL(2, workspaces(kv));
}

// Guards against a write whose answer is lost and which lost the race as well being reported as in effect.
TEST(TableStore, LostWriteBeatenByAnotherOperatorIsAConflict)
{
    CHECK(inEffect(store.edit(addWorkspace("e1", 0, "a")), 1));
    kv.putFaults = { Fault::None, Fault::RequestLost };
    kv.beforeHeadWrite = [&] {
        const std::deque<Fault> saved = std::exchange(kv.putFaults, {});
        CHECK(inEffect(kv.store().edit(addWorkspace("e2", 1, "b")), 2));
        kv.putFaults = saved;
    };
    CHECK(failedAs(store.edit(addWorkspace("e3", 1, "c")), FailureKind::Conflict, Disposition::NotRun));
}

// Guards against "not run" for an edit that may be in effect, and "unknown" for one that can't be.
TEST(TableStore, OutageBeforeAndAfterTheWriteOfTheHead)
{
    kv.down = true;
    CHECK(failedAs(store.edit(addWorkspace("e1", 0, "a")), FailureKind::PlatformUnavailable, Disposition::NotRun));
    kv.down = false;
    kv.putFaults = { Fault::None, Fault::None, Fault::None, Fault::None, Fault::RateLimited };
    const EditOutcome limited = store.edit(addWorkspace("e1", 0, "a"));
    CHECK(failedAs(limited, FailureKind::PlatformUnavailable, Disposition::NotRun));
    CHECK(limited.reason->retryAfter > Duration::zero());
    kv.beforeHeadWrite = [&] { kv.down = true; };
    CHECK(failedAs(store.edit(addWorkspace("e1", 0, "a")), FailureKind::PlatformUnavailable, Disposition::Unknown));
    kv.down = false;
    CHECK(inEffect(store.edit(addWorkspace("e1", 0, "a")), 1));
    LONGS_EQUAL(1, workspaces(kv));
}

// Guards against an invalid edit that is applied in part.
TEST(TableStore, InvalidEditIsRejectedAsAWhole)
{
    TableEdit edit = addWorkspace("e1", 0, "a");
    edit.cells.push_back({ CellEdit::Action::Set, "workspaces/a/urgent.weight", "-1" });
    edit.cells.push_back({ CellEdit::Action::Set, "workspaces/a/urgent.wait", "1" });
    const EditOutcome outcome = store.edit(edit);
    CHECK(failedAs(outcome, FailureKind::InvalidEdit, Disposition::NotRun));
    LONGS_EQUAL(2, outcome.faults.size());
    CHECK(kv.pairs[std::string(headKey)].revision == 0);
    CHECK(failedAs(store.edit(addWorkspace("no/id", 0, "a")), FailureKind::InvalidEdit, Disposition::NotRun));
}

// Guards against configuration that reverts: a store restored from an old copy, a removed head, a peer that lags behind.
TEST(TableStore, LowerRevisionIsNeverAdopted)
{
    CHECK(inEffect(store.edit(addWorkspace("e1", 0, "a")), 1));
    const FakeKeyValue old = kv;
    const std::string oldSnapshot = store.snapshot();
    CHECK(inEffect(store.edit(addWorkspace("e2", 1, "b")), 2));
    kv.pairs = old.pairs;
    CHECK(!*store.refresh());
    CHECK(!*store.offer(oldSnapshot));
    CHECK(failedAs(store.edit(addWorkspace("e3", 1, "c")), FailureKind::PlatformUnavailable, Disposition::NotRun));
    kv.pairs.clear();
    CHECK(!*store.refresh());
    LONGS_EQUAL(2, store.current()->revision());
    CHECK(store.current()->workspace("b").has_value());
    LONGS_EQUAL(4, store.lowerOffered());
}

// Guards against a node that can't start while the platform is down although a peer holds the table.
TEST(TableStore, NodeAdoptsAPeersSnapshotWhileThePlatformIsDown)
{
    CHECK(inEffect(store.edit(addWorkspace("e1", 0, "a")), 1));
    kv.down = true;
    TableStore node = kv.store();
    CHECK(!node.refresh());
    CHECK(*node.offer(store.snapshot()));
    CHECK(node.current()->workspace("a").has_value());
    kv.down = false;
    CHECK(!*node.refresh());
    CHECK(inEffect(node.edit(addWorkspace("e2", 1, "b")), 2));
    for (const char* text : { "", "{}", "{\"head\":\"x\",\"pages\":{}}" })
        CHECK(!node.offer(text));
    LONGS_EQUAL(2, node.current()->revision());
}

// Guards against a head whose page is missing or damaged replacing a working table.
TEST(TableStore, DamagedPageLeavesTheTableInEffect)
{
    CHECK(inEffect(store.edit(addWorkspace("e1", 0, "a")), 1));
    TableStore node = kv.store();
    CHECK(*node.refresh());
    CHECK(inEffect(store.edit(addWorkspace("e2", 1, "b")), 2));
    const std::string key = store.head().pages[0].key();
    const KeyValuePair page = std::exchange(kv.pairs[key], { "{}", 99 });
    CHECK(!node.refresh());
    LONGS_EQUAL(1, node.current()->revision());
    kv.pairs[key] = page;
    CHECK(*node.watch(Duration::zero()));
}

// Guards against replaced pages filling the store, and against one being removed while a node may still read it.
TEST(TableStore, ReplacedPagesAreKeptForSomeRevisionsOnly)
{
    for (uint64_t i = 0; i < 30; ++i)
        CHECK(inEffect(store.edit(addWorkspace("e" + std::to_string(i), i, "w" + std::to_string(i))), i + 1));
    size_t held = 0;
    for (const auto& [key, pair] : kv.pairs)
        held += !pair.value.empty() && key.find("/page/workspaces-0/") != std::string::npos;
    CHECK(held >= 8 && held <= 10);
    LONGS_EQUAL(30, workspaces(kv));
}

// Guards against an edit at the design scale that rewrites every page, and against rows lost when a section is split into more pages.
TEST(TableStore, EditAtDesignScaleRewritesItsPageOnly)
{
    TableEdit import = addWorkspace("e1", 0, "zz");
    import.whole = Table {};
    import.whole->workspaces.resize(34000);
    for (size_t i = 0; i < import.whole->workspaces.size(); ++i) {
        import.whole->workspaces[i].name = "workspace-" + std::to_string(i);
        import.whole->workspaces[i].token = std::string(64, 'x');
    }
    CHECK(inEffect(store.edit(import), 1));
    const std::vector<PageRef> before = store.head().pages;
    CHECK(before.size() > 4);
    for (const auto& [key, pair] : kv.pairs)
        CHECK(pair.value.size() <= maxPageBytes);
    CHECK(inEffect(store.edit(addWorkspace("e2", 1, "zzz")), 2));
    size_t rewritten = 0;
    for (size_t i = 0; i < before.size(); ++i)
        rewritten += !(store.head().pages[i] == before[i]);
    LONGS_EQUAL(1, rewritten);
    LONGS_EQUAL(34002, workspaces(kv));
}

// Guards against any order of lost, late and refused writes with two operators leading to a lost or a double edit.
TEST(TableStore, RandomFaultsLoseAndDoubleNoEdit)
{
    for (uint32_t seed = 1; seed <= 40; ++seed) {
        FakeKeyValue shared;
        std::mt19937 random(seed);
        std::array<TableStore, 2> operators { shared.store(), shared.store() };
        size_t confirmed = 0;
        size_t unknown = 0;
        for (uint32_t i = 0; i < 40; ++i) {
            for (int n = 0; n < 6; ++n)
                shared.putFaults.push_back(random() % 3 == 0 ? static_cast<Fault>(random() % 5) : Fault::None);
            TableStore& editor = operators[random() % 2];
            (void)editor.refresh();
            const uint64_t seen = editor.current()->revision() - (random() % 4 == 0 && editor.current()->revision() > 0);
            const std::string name = "w" + std::to_string(i);
            const EditOutcome outcome = editor.edit(addWorkspace("e" + std::to_string(i), seen, name));
            shared.putFaults.clear();
            shared.deliverLate();
            TableStore reader = shared.store();
            CHECK(static_cast<bool>(reader.refresh()));
            const bool present = reader.current()->workspace(name).has_value();
            const bool settled = outcome.revision || outcome.reason->disposition == Disposition::NotRun;
            if (settled)
                CHECK_EQUAL(outcome.revision.has_value(), present);
            confirmed += present;
            unknown += !settled;
        }
        LONGS_EQUAL(confirmed, workspaces(shared));
        CHECK(unknown < 40);
    }
}
