// Commands on the table and its audit trail. They talk to the platform's key-value service directly, so they work while nodes are down.
#pragma once

#include "cli/Output.h"

namespace guavapond::cli {

struct TableOptions {
    std::vector<std::string> platformUrls;
    Duration timeout = std::chrono::seconds(5); // of a call to the platform
    bool json = false;
    // Edits
    std::string who;
    std::string where;
    std::string reason;
    std::string editId;                   // empty: drawn at random
    std::optional<uint64_t> seenRevision; // empty: the revision that the command reads first
};

int showTable(const TableOptions& options, const std::string& section); // empty: all sections
int getCell(const TableOptions& options, const std::string& cell);
int editCells(const TableOptions& options, std::vector<CellEdit> edits);
struct MoveOptions {
    std::string id;
    std::string model;
    std::string fromVersion;
    std::string toVersion;
    std::string deadline;                     // ms since 1970, or from now: +90s, +30m, +2h
    std::optional<double> maxUnprovedPercent; // the row's default if absent
    std::optional<double> badFailureRate;
    std::optional<double> badLatencyRatio;
    bool follow = false; // print each change until no move runs
};

int startMove(const TableOptions& options, const MoveOptions& move);
int endMove(const TableOptions& options, const std::string& id, MoveState state); // Finished or TakenBack
int showMoves(const TableOptions& options, const MoveOptions& move);              // empty id: all
int exportTable(const TableOptions& options, const std::string& directory);
int importTable(const TableOptions& options, const std::string& directory);
int diffTable(const TableOptions& options, const std::string& directory);                          // what an import would change
int showHistory(const TableOptions& options);                                                      // one line for each edit
int showAudit(const TableOptions& options, uint64_t afterRevision, const std::string& cellPrefix); // one line for each cell

} // namespace guavapond::cli
