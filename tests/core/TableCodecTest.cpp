// Tests of the table's JSON, CSV and cell forms.
#include "core/TableCodec.h"

#include <CppUTest/TestHarness.h>

using namespace guavapond;

namespace {

Table sample()
{
    Table table;
    table.workspaces.resize(2);
    table.workspaces[0].name = "assessors";
    table.workspaces[0].tiers[2].weight = 1.0 / 3; // has no short decimal form
    table.workspaces[1].name = "himal-labs";
    table.workspaces[1].token = "s3cret";
    table.workspaces[1].tiers[0].running = 4000000;
    TargetRow target;
    target.name = "runner-1";
    target.address = "http://10.0.0.1:8000";
    target.failureDomain = "lalitpur";
    target.model = "org/dossier.7b";
    target.version = "v1.2";
    target.state = TargetState::Draining;
    target.checksFencing = true;
    table.targets = { target };
    table.shares = { { "org/dossier.7b", "v1.2", 99.5 }, { "org/dossier.7b", "v1.3", 0.5 } };
    MoveRow move;
    move.id = "m1";
    move.deadlineUnixMs = 1767225600123;
    move.state = MoveState::TakenBack;
    move.reason = "slow, \"very\" slow\non one route\r\n;";
    table.moves = { move };
    return table;
}

Table joined(const std::vector<TablePage>& pages)
{
    Table table;
    for (const TablePage& page : pages) {
        const Result<Table> part = decodePage(encodePage(page, {}), page.name);
        CHECK(part.value.has_value());
        table.workspaces.insert(table.workspaces.end(), part->workspaces.begin(), part->workspaces.end());
        table.targets.insert(table.targets.end(), part->targets.begin(), part->targets.end());
        table.shares.insert(table.shares.end(), part->shares.begin(), part->shares.end());
        table.moves.insert(table.moves.end(), part->moves.begin(), part->moves.end());
    }
    sortRows(table);
    return table;
}

constexpr std::array<std::string_view, 4> sections { "workspaces", "targets", "shares", "moves" };

} // namespace

TEST_GROUP(TableCodec) {};

// Guards against a value that changes on its way through the key-value service.
TEST(TableCodec, PagesRoundTrip)
{
    CHECK(joined(splitPages(sample(), {})) == sample());
    CHECK(joined(splitPages(sample(), { { "workspaces", 7 }, { "targets", 3 } })) == sample());
}

// Guards against a spreadsheet round trip that changes a number, a quote or a line break.
TEST(TableCodec, CsvRoundTripChangesNothing)
{
    Table table;
    for (std::string_view section : sections)
        LONGS_EQUAL(0, importCsv(exportCsv(sample(), section), section, table).size());
    CHECK(table == sample());
    for (std::string_view section : sections)
        CHECK(exportCsv(table, section) == exportCsv(sample(), section));
}

// Guards against what spreadsheet programs change by themselves: byte order mark, line ends, column order, capitals.
TEST(TableCodec, CsvFromASpreadsheetIsAccepted)
{
    Table table;
    LONGS_EQUAL(0, importCsv("\xef\xbb\xbfpercent,version,model\n40,v1,a\n\n\"60\",v2,a", "shares", table).size());
    CHECK(table.shares == (std::vector<ShareRow> { { "a", "v1", 40 }, { "a", "v2", 60 } }));
    std::string targets = exportCsv(sample(), "targets");
    targets.replace(targets.find("true"), 4, "TRUE");
    LONGS_EQUAL(0, importCsv(targets, "targets", table).size());
    CHECK(table.targets == sample().targets);
}

// Guards against a damaged file that is imported in part, and against faults that name no place.
TEST(TableCodec, CsvFaultsNameLineAndColumnAndChangeNothing)
{
    struct Case {
        std::string_view text;
        size_t line;
        std::string_view column;
    };
    const Case cases[] = {
        { "model,version,percent\na,v1,100\nb,v1,1O0\n", 3, "percent" },
        { "model,version,percnt\na,v1,100\n", 1, "percnt" },
        { "model,version\na,v1\n", 1, "percent" },
        { "model,version,percent,percent\na,v1,1,1\n", 1, "percent" },
        { "model,version,percent\na,v1\n", 2, "" },
        { "model,version,percent\na,v1,nan\n", 2, "percent" },
        { "model,version,percent\na,\"v1,100\n", 2, "" },
        { "", 1, "" },
    };
    for (const Case& c : cases) {
        Table table = sample();
        const std::vector<CsvFault> faults = importCsv(c.text, "shares", table);
        CHECK(!faults.empty());
        LONGS_EQUAL(c.line, faults[0].line);
        CHECK(faults[0].column == c.column);
        CHECK(table == sample());
    }
    Table table;
    LONGS_EQUAL(1, importCsv("x", "share", table).size());
}

// Guards against pages above the platform's 1 MB limit at the design scale of 34,000 workspaces.
TEST(TableCodec, DesignScaleFitsIntoPages)
{
    Table table;
    table.workspaces.resize(34000);
    for (size_t i = 0; i < table.workspaces.size(); ++i) {
        WorkspaceRow& row = table.workspaces[i];
        row.name = "workspace-" + std::to_string(i);
        row.token = std::string(32, 'x');
        for (TierLimits& limits : row.tiers)
            limits = { 2.5, 100.25, 90, 40, 400, 10.125 };
    }
    const std::vector<TablePage> pages = splitPages(table, { { "workspaces", 32 } });
    size_t largest = 0;
    for (const TablePage& page : pages)
        largest = std::max(largest, encodePage(page, {}).size());
    CHECK(largest < maxPageBytes);
    sortRows(table);
    CHECK(joined(pages) == table);
}

// Guards against a page of another version or a damaged one being read as an empty or partial table.
TEST(TableCodec, StrictParsing)
{
    const char* pages[] = { "", "[]", "{}", "{\"format\":2,\"name\":\"shares-0\",\"rows\":[]}",
        "{\"format\":1,\"name\":\"shares-1\",\"rows\":[]}", "{\"format\":1,\"name\":\"shares-0\",\"rows\":{}}",
        "{\"format\":1,\"name\":\"shares-0\",\"rows\":[],\"more\":1}", "{\"format\":1,\"name\":\"shares-0\",\"rows\":[{\"model\":\"a\"}]}",
        "{\"format\":1,\"name\":\"shares-0\",\"rows\":[{\"model\":\"a\",\"version\":1}]}",
        "{\"format\":1,\"name\":\"shares-0\",\"rows\":[{\"model\":\"a\",\"version\":\"v\",\"percnt\":1}]}" };
    for (const char* text : pages) {
        const Result<Table> page = decodePage(text, "shares-0");
        CHECK(!page && page.reason->kind == FailureKind::WrongType && !page.reason->message.empty());
    }
    const char* heads[] = { "", "null", "{\"format\":1,\"revision\":0,\"pages\":[],\"retired\":[],\"edits\":[]}",
        "{\"format\":1,\"revision\":-1,\"pages\":[],\"retired\":[],\"edits\":[]}",
        "{\"format\":1,\"revision\":1,\"pages\":[],\"retired\":[]}",
        "{\"format\":1,\"revision\":1,\"pages\":[{\"name\":1}],\"retired\":[],\"edits\":[]}" };
    for (const char* text : heads)
        CHECK(!decodeHead(text));
}

// Guards against a head that outgrows its bound, and against the newest edit being dropped from it.
TEST(TableCodec, HeadStaysBoundedAndKeepsTheNewestEdits)
{
    TableHead head;
    head.revision = 300;
    for (uint64_t i = 1; i <= 300; ++i) {
        AuditEntry entry { "edit-" + std::to_string(i), i, 1, "who", "where", "why", {}, 0 };
        entry.cells.assign(50, { std::string(60, 'c'), "old", "new" });
        head.edits.push_back(entry);
    }
    const std::string text = encodeHead(head);
    CHECK(text.size() <= maxHeadBytes);
    const Result<TableHead> read = decodeHead(text);
    CHECK(read.value == head);
    CHECK(read->edits.back().editId == "edit-300");
}

// Guards against cells whose names hold '/' or '.', edits of rows that don't exist, and tokens in the audit trail.
TEST(TableCodec, CellsAreReadChangedAndCompared)
{
    Table table = sample();
    const CellEdit edits[] = { { CellEdit::Action::Set, "shares/org/dossier.7b/v1.3.percent", "1.5" },
        { CellEdit::Action::Set, "workspaces/himal-labs/urgent.weight", "4" },
        { CellEdit::Action::Set, "workspaces/himal-labs.token", "n3w" }, { CellEdit::Action::AddRow, "targets/runner-2", "" },
        { CellEdit::Action::Set, "targets/runner-2.model", "tags" }, { CellEdit::Action::RemoveRow, "moves/m1", "" } };
    LONGS_EQUAL(0, applyEdits(table, edits).size());
    CHECK(readCell(table, "shares/org/dossier.7b/v1.3.percent") == "1.5");
    CHECK(readCell(table, "workspaces/himal-labs/urgent.weight") == "4");
    CHECK(!readCell(table, "workspaces/himal-labs/urgent.wait"));
    const std::vector<CellChange> expected { { "workspaces/himal-labs.token", "(hidden)", "(hidden)" },
        { "workspaces/himal-labs/urgent.weight", "1", "4" }, { "targets/runner-2", "", "present" },
        { "targets/runner-2.model", "", "tags" }, { "shares/org/dossier.7b/v1.3.percent", "0.5", "1.5" },
        { "moves/m1", "present", "absent" } };
    CHECK(diffTables(sample(), table) == expected);

    const CellEdit bad[]
        = { { CellEdit::Action::Set, "targets/runner-9.model", "x" }, { CellEdit::Action::Set, "targets/runner-1.modl", "x" },
              { CellEdit::Action::Set, "targets/runner-1.maxRunning", "-1" }, { CellEdit::Action::Set, "target/runner-1.model", "x" },
              { CellEdit::Action::Set, "runner-1", "x" }, { CellEdit::Action::AddRow, "targets/runner-1", "" } };
    const std::vector<CellFault> faults = applyEdits(table, bad);
    LONGS_EQUAL(std::size(bad), faults.size());
    for (const CellFault& fault : faults)
        CHECK(!fault.cell.empty() && !fault.allowed.empty());
}
