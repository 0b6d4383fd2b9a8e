// Forms of the table: JSON pages and head in the key-value service, CSV for spreadsheets, single cells for operators.
//
// Index
//   Audit      CellChange, AuditEntry and their JSON
//   Head       PageRef, RetiredPage, TableHead, encodeHead, decodeHead
//   Pages      splitPages, encodePage, decodePage
//   Cells      CellEdit, applyEdits, readCell, diffTables, sortRows
//   CSV        exportCsv, importCsv
//
// Parsing is strict: an unknown field, a missing key or a value of the wrong type is a Failure of kind WrongType.
#pragma once

#include "core/Table.h"

#include <nlohmann/json_fwd.hpp>

namespace guavapond {

constexpr size_t maxPageBytes = 900 * 1000; // bytes; the platform takes values up to 1 MB
constexpr size_t maxHeadBytes = 256 * 1000; // bytes; every node reads the head on every change
constexpr size_t maxRecentEdits = 200;      // kept in the head
constexpr size_t maxAuditCells = 100;       // per entry; the rest is counted
constexpr std::string_view headKey = "guavapond/table/head";

// ---- Audit
struct CellChange {
    std::string cell;
    std::string before; // empty: the row did not exist
    std::string after;  // tokens are masked

    bool operator==(const CellChange&) const = default;
};

struct AuditEntry {
    std::string editId;
    uint64_t revision = 0; // of the table after the edit
    int64_t unixMs = 0;
    std::string who;
    std::string where; // address or host that the edit came from
    std::string reason;
    std::vector<CellChange> cells; // at most maxAuditCells
    uint64_t omittedCells = 0;     // changed as well, but not listed

    bool operator==(const AuditEntry&) const = default;
};

nlohmann::json auditJson(const AuditEntry& entry);

// ---- Head
struct PageRef {
    std::string name;           // "workspaces-3"
    std::string revision;       // "<table revision>-<edit id>-<hash>": of one content only, so attempts never overwrite each other's pages
    uint64_t storeRevision = 0; // of the page's key

    std::string key() const { return "guavapond/table/page/" + this->name + "/" + this->revision; }
    bool operator==(const PageRef&) const = default;
};

struct RetiredPage {
    std::string key;
    uint64_t storeRevision = 0;
    uint64_t since = 0; // table revision that replaced it

    bool operator==(const RetiredPage&) const = default;
};

struct TableHead {
    uint64_t revision = 0; // of the table; grows by 1 with each edit; 0: no table yet
    std::vector<PageRef> pages;
    std::vector<RetiredPage> retired; // still readable, for nodes that are reading an earlier head
    std::vector<AuditEntry> edits;    // newest last

    bool operator==(const TableHead&) const = default;
};

std::string encodeHead(TableHead& head); // drops the oldest edits beyond the bounds
Result<TableHead> decodeHead(std::string_view text);

// ---- Pages: each row belongs to the page given by the hash of its key, so an edit rewrites the pages of its rows only.
struct TablePage {
    std::string name;
    Table rows; // rows of one section
};

using PageCounts = std::map<std::string, size_t, std::less<>>; // by section

PageCounts pageCounts(const TableHead& head);
std::vector<TablePage> splitPages(const Table& table, const PageCounts& counts);
std::string encodePage(const TablePage& page, const AuditEntry& edit);
std::string pageRevision(uint64_t revision, std::string_view editId, std::string_view text);
Result<Table> decodePage(std::string_view text, std::string_view name);

// ---- Cells
struct CellEdit {
    enum class Action : uint8_t {
        Set,
        AddRow, // cell: "targets/NAME"
        RemoveRow,
    } action
        = Action::Set;
    std::string cell;
    std::string value; // of Set
};

void sortRows(Table& table);                                                      // canonical order: by key
std::vector<CellFault> applyEdits(Table& table, std::span<const CellEdit> edits); // on a fault the table is left half edited
std::optional<std::string> readCell(const Table& table, std::string_view cell);
std::vector<CellChange> diffTables(const Table& before, const Table& after); // tokens are masked

// ---- CSV (RFC 4180), one file per section: workspaces, targets, shares, moves. Tokens are included.
struct CsvFault {
    size_t line = 0; // from 1; 0: the file as a whole
    std::string column;
    std::string value;
    std::string allowed;
};

std::string exportCsv(const Table& table, std::string_view section);
std::vector<CsvFault> importCsv(std::string_view text, std::string_view section, Table& table); // replaces the section

} // namespace guavapond
