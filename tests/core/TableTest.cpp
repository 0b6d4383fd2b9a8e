// Tests of the table's validation and of the dense ids.
#include "core/Table.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace guavapond;

namespace {

Table sample()
{
    Table table;
    table.workspaces.resize(2);
    table.workspaces[0].name = "himal-labs";
    table.workspaces[0].token = "secret";
    table.workspaces[1].name = "assessors";
    TargetRow runner {
        .name = "runner-1", .address = "http://127.0.0.1:9000", .failureDomain = "lalitpur", .model = "dossier", .version = "v1"
    };
    table.targets = { runner, runner };
    table.targets[1].name = "runner-2";
    table.shares = { { "dossier", "v1", 60 }, { "dossier", "v2", 40 } };
    MoveRow move;
    move.id = "m1";
    move.model = "dossier";
    move.fromVersion = "v1";
    move.toVersion = "v2";
    move.deadlineUnixMs = 1;
    table.moves = { move };
    return table;
}

bool hasFault(const std::vector<CellFault>& faults, std::string_view cell)
{
    for (const CellFault& fault : faults) {
        if (fault.cell == cell && !fault.allowed.empty())
            return true;
    }
    return false;
}

} // namespace

TEST_GROUP(Table) {};

// Guards against a validator that rejects what operators need.
TEST(Table, ValidTableHasNoFaults) { LONGS_EQUAL(0, validate(sample()).size()); }

// Guards against an edit that has to be corrected one fault at a time.
TEST(Table, AllFaultsAreReportedWithTheirCells)
{
    Table table = sample();
    table.workspaces[0].tiers[0].weight = 0;
    table.workspaces[0].tiers[2].burstEngineSeconds = 0;
    table.workspaces[1].tiers[1].engineSecondsPerSecond = 2;
    table.workspaces[1].tiers[1].reservedEngineSeconds = 3;
    table.workspaces[1].name = "himal-labs";
    table.targets[0].address = "ftp://somewhere";
    table.targets[1].kind = RequestKind::Service;
    table.shares[1].percent = 41;
    table.shares.push_back({ "misspelt", "v1", 100 });
    table.moves[0].toVersion = "v1";
    const std::vector<CellFault> faults = validate(table);
    CHECK(hasFault(faults, "workspaces/himal-labs/urgent.weight"));
    CHECK(hasFault(faults, "workspaces/himal-labs/batch.burstEngineSeconds"));
    CHECK(hasFault(faults, "workspaces/himal-labs/standard.reservedEngineSeconds"));
    CHECK(hasFault(faults, "workspaces/himal-labs.name"));
    CHECK(hasFault(faults, "targets/runner-1.address"));
    CHECK(hasFault(faults, "targets/runner-2.kind"));
    CHECK(hasFault(faults, "shares/dossier.percent"));
    CHECK(hasFault(faults, "shares/misspelt/v1.model"));
    CHECK(hasFault(faults, "moves/m1.toVersion"));
    LONGS_EQUAL(9, faults.size());
}

// Guards against NaN passing a range check because every comparison with it is false.
TEST(Table, NotANumberIsAFault)
{
    Table table = sample();
    table.workspaces[0].tiers[0].weight = std::numeric_limits<double>::quiet_NaN();
    table.shares[0].percent = std::numeric_limits<double>::infinity();
    const std::vector<CellFault> faults = validate(table);
    CHECK(hasFault(faults, "workspaces/himal-labs/urgent.weight"));
    CHECK(hasFault(faults, "shares/dossier/v1.percent"));
}

// Guards against a secret in a fault message.
TEST(Table, TokenIsNotShownInAFault)
{
    Table table = sample();
    table.workspaces[0].token = "with blank";
    const std::vector<CellFault> faults = validate(table);
    LONGS_EQUAL(1, faults.size());
    CHECK(faults[0].value.find("blank") == std::string::npos);
}

// Guards against learned state of one target being applied to another after an edit.
TEST(Table, IdsStayAcrossRevisionsAndRemovedRowsLeaveHoles)
{
    const TableIndex first(sample(), 1);
    Table edited = sample();
    edited.targets.erase(edited.targets.begin());
    edited.workspaces.erase(edited.workspaces.begin());
    TargetRow added = edited.targets[0];
    added.name = "runner-3";
    added.model = "tags";
    edited.targets.insert(edited.targets.begin(), added);
    const TableIndex second(edited, 2, &first);

    CHECK(first.target("runner-2") == second.target("runner-2"));
    CHECK(first.workspace("assessors") == second.workspace("assessors"));
    CHECK(!second.target("runner-1"));
    CHECK(second.row(*first.target("runner-1")) == nullptr);
    CHECK(second.row(*first.workspace("himal-labs")) == nullptr);
    LONGS_EQUAL(3, second.targetCount());
    STRCMP_EQUAL("runner-3", second.row(*second.target("runner-3"))->name.c_str());
    CHECK(first.model("dossier") == second.model("dossier"));
    LONGS_EQUAL(1, second.targetsOf(*second.model("dossier")).size());
    LONGS_EQUAL(2, second.sharesOf(*second.model("dossier")).size());
    CHECK(second.modelOf(*second.target("runner-3")) == *second.model("tags"));
    CHECK(!second.model("unknown"));
}
